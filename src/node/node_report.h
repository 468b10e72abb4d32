/* Messages of the tasks component to partition owners: placement results, states of attempts, and
   answers to sync queries. */
#pragma once

#include "node/node_tasks.h"

/* Sends the result of a placement to the partition owner. */
void node_report_place (Node *node, const NodeTask *task, JobPlaceResult result, GrErrCode why);
/* Sends the state of the attempt to the partition owner. */
void node_report_state (Node *node, NodeTask *task);
/* Called at intervals for an attempt that has ended. Returns true once its retention is over;
   otherwise resends an unacknowledged end when that is due. */
bool node_report_expired (Node *node, NodeTask *task, int64_t now_ms);
/* Lowest partition epoch whose placements are accepted; 0 if no owner has sent a sync query. */
int64_t node_report_floor (const Node *node, const GrName *part);
/* True if a sync query for the attempt was answered as absent: it must never start here. */
bool node_report_forbidden (const Node *node, const GrName *id, int32_t attempt);
