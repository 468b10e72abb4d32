/* Targets component: the groups of this VM's region, their targets, and the polls of the targets.

   A gained group is owned once its inventory is done: every reachable target was fenced with the
   new epoch and its tasks were listed. Each target of an owned group is then followed by a long
   poll; a target that does not answer gets no new work until it has been listed again. */
#pragma once

#include <uthash.h>

#include "base/gr_res.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef enum {
  NODE_GROUP_FOREIGN,   /* owned by another VM, or by none */
  NODE_GROUP_INVENTORY, /* the targets are being fenced with the epoch and listed */
  NODE_GROUP_OWNED
} NodeGroupState;

typedef struct NodeGroup {
  GrName key;
  NodeGroupState state;
  int64_t epoch;           /* of this VM's ownership */
  int64_t claimed_ms;      /* begin of the inventory */
  bool inventory_reported; /* the end of the inventory was passed to the ownership component */
  size_t targets;          /* targets of the group in the VM list */
  UT_hash_handle hh;
} NodeGroup;

typedef enum {
  NODE_TARGET_IDLE,    /* in a group that this VM does not own */
  NODE_TARGET_UNKNOWN, /* not yet listed under the epoch, or it no longer answers */
  NODE_TARGET_LISTED,  /* inventory taken; its long poll runs */
} NodeTargetState;

/* A target of the region. Times are local ms. */
typedef struct NodeTarget {
  GrName id;
  GrName group;
  GrName zone;
  char *url;
  GrRes capacity;
  bool in_vm_list;
  bool list_leaving; /* leaving by the VM list */
  bool self_leaving; /* leaving by its own answers */
  NodeTargetState state;
  bool in_sched;    /* added to the scheduler */
  bool polling;     /* a poll is in flight */
  bool polled_once; /* at least one answer or failure under the epoch */
  int64_t epoch;
  int64_t seq;            /* of the last answer; 0 requests a full listing */
  int64_t retry_at_ms;    /* no poll before this time */
  int64_t retry_delay_ms; /* exponential backoff after failed polls */
  int64_t lease_next_ms;  /* time of the next lease renewal */
  int64_t check_at_ms;    /* time of an extra full listing; 0: none */
  bool lease_in_flight;
  int64_t lease_confirmed_until_ms; /* renewals go on until this time; extended by each success */
  size_t tasks;                     /* running or starting on it */
  UT_hash_handle hh;
} NodeTarget;

typedef struct NodeTargets NodeTargets;

NodeTargets *node_targets_new (Node *node);
void node_targets_free (NodeTargets *targets);
/* Groups and targets belong to the component. The others follow the first by hh.next; NULL if there
   is none. */
NodeGroup *node_targets_first_group (const Node *node);
NodeGroup *node_targets_group (const Node *node, const GrName *key);
NodeTarget *node_targets_find (const Node *node, const GrName *id);
NodeTarget *node_targets_first (const Node *node);

/* Updates groups and targets from the VM list. */
void node_targets_list_changed (Node *node);
/* Begins to fence the targets of the group with the epoch and to list their tasks. Ends with
   node_own_inventory_done. */
void node_targets_take_inventory (Node *node, const GrName *key, int64_t epoch);
/* This VM may now start work in the group. */
void node_targets_group_gained (Node *node, const GrName *key, int64_t epoch);
void node_targets_group_lost (Node *node, const GrName *key);
/* Stores a list of the owned groups whose targets were all listed, or whose tasks under the former
   owner have lapsed, and returns its length. Release *groups with free(). */
size_t node_targets_settled (const Node *node, NodeWireGroup **groups);
/* Number of owned groups in which work may start now. */
int64_t node_targets_open_groups (const Node *node);
/* True if some target of the region in the VM list could hold the demand when empty. */
bool node_targets_could_hold (const Node *node, const GrRes *demand);
/* Schedules a full listing of the target's tasks; of two times the later one is kept. */
void node_targets_check_at (NodeTarget *target, int64_t at_ms);
