/* Ownership component: feeds the VM list, the stream ownership-REGION and peer heartbeats into
   own_step and executes its commands. */
#pragma once

#include "node/node_ctx.h"
#include "own/own.h"

typedef struct NodeOwn NodeOwn;

/* Returns NULL on error. Errors as own_new and node_stream_new. */
NodeOwn *node_own_new (Node *node, GrErr *err);
void node_own_free (NodeOwn *own);
/* The VM list was read by a request sent at sent_ms. changed is the result of node_list_apply. */
void node_own_list_read (Node *node, int64_t sent_ms, bool changed);
/* Delivers an encoded heartbeat of a peer. */
void node_own_heartbeat (Node *node, GrStr bytes);
/* A peer committed a record: reads the stream now instead of at the next poll. */
void node_own_log_hint (Node *node);
/* Every reachable target of the group was fenced with the epoch and listed. */
void node_own_inventory_done (Node *node, const GrName *key, int64_t epoch);
/* A target refused an epoch of this VM because its fence is at the higher fence_epoch. */
void node_own_fence_seen (Node *node, const GrName *key, int64_t fence_epoch);
/* Begins the graceful shutdown: hands over all keys, then appends the leave record. Sets
   node->handed_over at the end, or at once if this VM has not read the log or is not in the VM
   list yet. */
void node_own_stop (Node *node);

/* True if this VM may start work under the key now. */
bool node_own_may_start (const Node *node, const GrName *key);
/* Local ms until which node_own_may_start stays true if no message arrives, rounded down to steps
   of 100 ms and at most 10 s ahead; 0 if it is false now. */
int64_t node_own_may_start_until (const Node *node, const GrName *key);
/* Owner and epoch of the key by the log as read so far; false if it has no owner. */
bool node_own_owner (const Node *node, const GrName *key, GrVmRef *owner, int64_t *epoch);
/* True if this VM owns the key by the log as read so far, with or without a lease. */
bool node_own_is_self (const Node *node, const GrName *key);
/* Live members of the region, this VM included; returns the number, at most max. */
size_t node_own_members (const Node *node, GrVmRef *out, size_t max);
/* Number of keys that this VM owns. */
size_t node_own_key_count (const Node *node);
/* True while the newest read of the log is too old for a lease and promises of the peers replace
   it; as of the last tick. */
bool node_own_promise_mode (const Node *node);
/* True once the stream was read to its end for the first time. */
bool node_own_ready (const Node *node);
/* Number of job partitions of the region; 0 until the configuration is loaded. */
int32_t node_own_parts (const Node *node);
