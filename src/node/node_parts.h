/* Partitions component: reads the stream jobs-REGION, feeds it and the messages of schedulers and
   callers into job_step, and executes the commands for the job partitions that this VM owns. */
#pragma once

#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeParts NodeParts;

NodeParts *node_parts_new (Node *node);
void node_parts_free (NodeParts *parts);
/* This VM gained or lost a partition by the ownership log. */
void node_parts_gained (Node *node, const GrName *key, int64_t epoch);
void node_parts_lost (Node *node, const GrName *key);
/* The VM is suspected or gone, or its link closed: the state of the attempts that were placed there
   is unknown. */
void node_parts_peer_down (Node *node, const GrName *vm);
/* Messages of schedulers. */
void node_parts_place_result (Node *node, const GrName *from, const NodeWire *wire);
void node_parts_report (Node *node, const GrName *from, const NodeWire *wire);
void node_parts_sync_done (Node *node, const GrName *from, const NodeWire *wire);

/* Passes a call to the job state of its partition. The reply goes to node_route_job_reply, or to
   node_route_finish for EXPLAIN, possibly before this function returns. Call 0 gets no reply. */
void node_parts_call (Node *node, int64_t call, const NodeCallBody *body);
/* The caller of the call no longer waits; the job goes on. */
void node_parts_call_closed (Node *node, int64_t call, const GrName *id);
/* True if this VM owns the partition of the id, has read its records and holds its lease now. */
bool node_parts_acting (const Node *node, const GrName *id);
/* Number of unfinished jobs in the job state. */
size_t node_parts_unfinished (const Node *node);
/* Number of records that are not yet committed. */
size_t node_parts_pending (const Node *node);
