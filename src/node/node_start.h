/* HTTP towards targets about tasks: start, stop and lease renewal. */
#pragma once

#include "node/node_tasks.h"

/* A start that arrives at the target later than this after its sending is refused there. */
#define NODE_START_BY_MS 1000
#define NODE_LEASE_RENEW_MS 3000
/* Waiting time after a lease end until the task counts as lapsed. */
#define NODE_LAPSE_MARGIN_MS 2000

typedef struct NodeStart NodeStart;

NodeStart *node_start_new (Node *node);
void node_start_free (NodeStart *start);
/* Sends the start; its outcome is reported by node_tasks_start_result. */
void node_start_send (NodeStart *start, NodeTask *task, const NodeTarget *target);
void node_start_stop (NodeStart *start, const NodeTask *task, const NodeTarget *target);
/* Renews the leases of the running tasks of a target if it is time. */
void node_start_renew (NodeStart *start, NodeTarget *target, int64_t now_ms);
int64_t node_start_lease_ms (const Node *node);
