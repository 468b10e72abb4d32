/* HTTP calls to targets: task start, task stop and lease renewal. */
#pragma once

#include "node/node_tasks.h"

/* The target refuses a start that arrives later than this after its sending. */
#define NODE_START_BY_MS 1000
/* Interval of lease renewals to one target. */
#define NODE_LEASE_RENEW_MS 3000
/* Time from the end of a lease until the task counts as lapsed. */
#define NODE_LAPSE_MARGIN_MS 2000

typedef struct NodeStart NodeStart;

NodeStart *node_start_new (Node *node);
void node_start_free (NodeStart *start);
/* Sends a start and sets the task's start_by_ms and lease_until_ms. The outcome is delivered to
   node_tasks_start_result, unless the task has been removed by then. */
void node_start_send (NodeStart *start, NodeTask *task, const NodeTarget *target);
/* Sends a stop. The answer is ignored; the end of the task is read from the target's listing. */
void node_start_stop (NodeStart *start, const NodeTask *task, const NodeTarget *target);
/* Renews the leases of the target's running and unconfirmed tasks if a renewal is due. */
void node_start_renew (NodeStart *start, NodeTarget *target, int64_t now_ms);
/* Length of a task lease by the configuration. */
int64_t node_start_lease_ms (const Node *node);
