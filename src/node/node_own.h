/* Ownership task: drives own_step with the list, the stream ownership-REGION and heartbeats. */
#pragma once

#include "node/node_ctx.h"
#include "own/own.h"

typedef struct NodeOwn NodeOwn;

NodeOwn *node_own_new (Node *node, GrErr *err);
void node_own_free (NodeOwn *own);
void node_own_list_read (Node *node, int64_t sent_ms, bool changed);
void node_own_heartbeat (Node *node, GrStr bytes);
/* A peer committed a record: read the stream before the next poll. */
void node_own_log_hint (Node *node);
/* Every target of the group that answers was fenced with the epoch and listed. */
void node_own_inventory_done (Node *node, const GrName *key, int64_t epoch);
/* A target refused an epoch of this VM because its fence is higher. */
void node_own_fence_seen (Node *node, const GrName *key, int64_t fence_epoch);
/* Begins the planned stop: hand over all keys, then say farewell. */
void node_own_stop (Node *node);

/* True if this VM may start work on the key at this moment. */
bool node_own_may_start (const Node *node, const GrName *key);
/* Local time until which node_own_may_start holds if nothing changes; 0 if it does not hold. */
int64_t node_own_may_start_until (const Node *node, const GrName *key);
bool node_own_owner (const Node *node, const GrName *key, GrVmRef *owner, int64_t *epoch);
bool node_own_is_self (const Node *node, const GrName *key);
size_t node_own_members (const Node *node, GrVmRef *out, size_t max);
size_t node_own_key_count (const Node *node);
bool node_own_promise_mode (const Node *node);
/* True once the stream was read to its end. */
bool node_own_ready (const Node *node);
/* Number of job partitions of the region; 0 until the configuration is known. */
int32_t node_own_parts (const Node *node);
