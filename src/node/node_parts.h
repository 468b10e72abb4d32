/* Partitions task: drives job_step for the owned job partitions and follows jobs-REGION. */
#pragma once

#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeParts NodeParts;

NodeParts *node_parts_new (Node *node);
void node_parts_free (NodeParts *parts);
void node_parts_gained (Node *node, const GrName *key, int64_t epoch);
void node_parts_lost (Node *node, const GrName *key);
/* The fate of what was placed there is not known. */
void node_parts_peer_down (Node *node, const GrName *vm);
void node_parts_place_result (Node *node, const GrName *from, const NodeWire *wire);
void node_parts_report (Node *node, const GrName *from, const NodeWire *wire);
void node_parts_sync_done (Node *node, const GrName *from, const NodeWire *wire);

/* Hands a call to the partition; the reply comes by node_route_job_reply, never inside. */
void node_parts_call (Node *node, int64_t call, const NodeCallBody *body);
void node_parts_call_closed (Node *node, int64_t call, const GrName *id);
/* True if this VM acts for the partition of the id now. */
bool node_parts_acting (const Node *node, const GrName *id);
size_t node_parts_unfinished (const Node *node);
/* Records that are not yet in the log. */
size_t node_parts_pending (const Node *node);
