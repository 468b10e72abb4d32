/* Targets task: groups of this VM's region, their targets, and what the targets say.

   A group is owned after its inventory. Each target of an owned group is followed by a long poll;
   one that does not answer gets no new work until it has been listed again. */
#pragma once

#include <uthash.h>

#include "base/gr_res.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef enum {
  NODE_GROUP_FOREIGN,
  NODE_GROUP_INVENTORY, /* fencing and listing the targets for the epoch */
  NODE_GROUP_OWNED
} NodeGroupState;

typedef struct NodeGroup {
  GrName key;
  NodeGroupState state;
  int64_t epoch;
  int64_t claimed_ms;
  bool inventory_reported;
  size_t targets; /* listed targets */
  UT_hash_handle hh;
} NodeGroup;

typedef enum {
  NODE_TARGET_IDLE,    /* of a group that is not ours */
  NODE_TARGET_UNKNOWN, /* not yet listed under the epoch, or it no longer answers */
  NODE_TARGET_LISTED,  /* inventory taken; its long poll runs */
} NodeTargetState;

typedef struct NodeTarget {
  GrName id;
  GrName group;
  GrName zone;
  char *url;
  GrRes capacity;
  bool listed;       /* in the VM list */
  bool list_leaving; /* leaving by the VM list */
  bool self_leaving; /* leaving by its own word */
  NodeTargetState state;
  bool in_sched; /* known to the scheduler */
  bool polling;
  bool polled_once; /* at least one answer or failure under the epoch */
  int64_t epoch;
  int64_t seq; /* of the last answer; 0 asks for everything */
  int64_t retry_at_ms;
  int64_t retry_delay_ms;
  int64_t lease_next_ms;
  int64_t check_at_ms; /* a full listing is wanted at this time; 0: none */
  bool lease_in_flight;
  int64_t lease_confirmed_until_ms; /* renewals go on until this time; extended by each success */
  size_t tasks;                     /* running or starting here */
  UT_hash_handle hh;
} NodeTarget;

typedef struct NodeTargets NodeTargets;

NodeTargets *node_targets_new (Node *node);
void node_targets_free (NodeTargets *targets);
NodeGroup *node_targets_first_group (const Node *node);
NodeGroup *node_targets_group (const Node *node, const GrName *key);
NodeTarget *node_targets_find (const Node *node, const GrName *id);
NodeTarget *node_targets_first (const Node *node);

void node_targets_list_changed (Node *node);
void node_targets_take_inventory (Node *node, const GrName *key, int64_t epoch);
void node_targets_group_gained (Node *node, const GrName *key, int64_t epoch);
void node_targets_group_lost (Node *node, const GrName *key);
/* Groups that are owned and whose targets were all listed, or whose leases have lapsed. Release
   items with free(). */
size_t node_targets_settled (const Node *node, NodeWireGroup **groups);
/* Owned groups in which work may start now. */
int64_t node_targets_open_groups (const Node *node);
/* True if some listed target of the region could hold the demand when empty. */
bool node_targets_could_hold (const Node *node, const GrRes *demand);
/* Asks the target for everything it knows at the given time. */
void node_targets_check_at (NodeTarget *target, int64_t at_ms);
