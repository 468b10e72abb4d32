/* What the tasks task tells partition owners, and its answers to their questions. */
#pragma once

#include "node/node_tasks.h"

/* Tells the partition owner the result of a placement. */
void node_report_place (Node *node, const NodeTask *task, JobPlaceResult result, GrErrCode why);
/* Tells the partition owner where the attempt stands; an end is repeated until it is acknowledged.
 */
void node_report_state (Node *node, NodeTask *task);
/* True if an end need not be kept any longer; repeats it if it is due. */
bool node_report_expired (Node *node, NodeTask *task, int64_t now_ms);
/* Lowest partition epoch whose placements are taken. */
int64_t node_report_floor (const Node *node, const GrName *part);
/* True if the attempt was answered absent: it must never start here. */
bool node_report_forbidden (const Node *node, const GrName *id, int32_t attempt);
