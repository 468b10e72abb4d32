#include "node/node_targets.h"

#include <stdlib.h>

#include "base/gr_backoff.h"
#include "node/node_list.h"
#include "node/node_own.h"
#include "node/node_poll.h"
#include "node/node_start.h"
#include "node/node_tasks.h"

#define TARGETS_TICK_MS 50
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 2000

struct NodeTargets {
  Node *node;
  GrLog log;
  NodePoll *poll;
  NodeGroup *groups;
  NodeTarget *targets;
  uv_timer_t timer;
};

NodeGroup *
node_targets_first_group (const Node *node)
{
  return node->targets->groups;
}

NodeGroup *
node_targets_group (const Node *node, const GrName *key)
{
  NodeGroup *group = NULL;
  HASH_FIND (hh, node->targets->groups, key->data, key->len, group);
  return group;
}

NodeTarget *
node_targets_find (const Node *node, const GrName *id)
{
  NodeTarget *target = NULL;
  HASH_FIND (hh, node->targets->targets, id->data, id->len, target);
  return target;
}

NodeTarget *
node_targets_first (const Node *node)
{
  return node->targets->targets;
}

static NodeGroup *
ensure_group (NodeTargets *targets, const GrName *key)
{
  NodeGroup *group = node_targets_group (targets->node, key);
  if (!group) {
    group = gr_calloc (1, sizeof *group);
    group->key = *key;
    HASH_ADD_KEYPTR (hh, targets->groups, group->key.data, group->key.len, group);
  }
  return group;
}

static bool
is_leaving (const NodeTarget *target)
{
  return target->list_leaving || target->self_leaving || !target->in_vm_list;
}

/* Makes the scheduler place no new work on the target if it is leaving. */
static void
report_leaving (NodeTargets *targets, NodeTarget *target)
{
  if (target->in_sched && is_leaving (target)) {
    gr_log (&targets->log, GR_EV_TARGET_STATE, "%.*s leaving: %s", GR_NAME_ARG (target->id),
            !target->in_vm_list    ? "not in the VM list"
            : target->list_leaving ? "by the VM list"
                                   : "by its own answer");
    node_tasks_target_leaving (targets->node, target);
  }
}

/* Resets the target, so that the next poll fences it with the epoch and requests a full listing. */
static void
begin_listing (NodeTarget *target, int64_t epoch)
{
  target->state = NODE_TARGET_UNKNOWN;
  target->epoch = epoch;
  target->seq = 0;
  target->polled_once = false;
  target->retry_at_ms = 0;
  target->retry_delay_ms = RETRY_MIN_MS;
}

static void
add_to_sched (NodeTargets *targets, NodeTarget *target)
{
  if (target->state != NODE_TARGET_LISTED)
    return;
  target->in_sched = true;
  node_tasks_target_up (targets->node, target);
  report_leaving (targets, target);
}

/* Ends polls of a target and removes it and its tasks from the scheduler. */
static void
drop_target (NodeTargets *targets, NodeTarget *target)
{
  node_poll_cancel (targets->poll, target);
  if (target->in_sched || target->state != NODE_TARGET_IDLE)
    node_tasks_target_gone (targets->node, target);
  target->in_sched = false;
  target->state = NODE_TARGET_IDLE;
  target->self_leaving = false;
}

static void
remove_target (NodeTargets *targets, NodeTarget *target)
{
  drop_target (targets, target);
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
  HASH_DEL (targets->targets, target);
  free (target->url);
  free (target);
}

static void
put_target (NodeTargets *targets, const NodeVm *vm)
{
  NodeTarget *target = node_targets_find (targets->node, &vm->id);
  bool moved = target && !gr_name_equal (&target->group, &vm->group);
  if (moved) {
    remove_target (targets, target);
    target = NULL;
  }
  NodeGroup *group = ensure_group (targets, &vm->group);
  if (!target) {
    target = gr_calloc (1, sizeof *target);
    target->id = vm->id;
    HASH_ADD_KEYPTR (hh, targets->targets, target->id.data, target->id.len, target);
    if (group->state != NODE_GROUP_FOREIGN)
      begin_listing (target, group->epoch);
  }
  bool was_leaving = is_leaving (target);
  bool same_url = target->url && strcmp (target->url, vm->url) == 0;
  if (!same_url) {
    free (target->url);
    target->url = gr_str_dup (gr_str_from_c (vm->url));
  }
  target->group = vm->group;
  target->zone = vm->zone;
  target->capacity = vm->capacity;
  target->list_leaving = vm->leaving;
  target->in_vm_list = true;
  group->targets++;
  if (!was_leaving)
    report_leaving (targets, target);
  else if (target->in_sched && !is_leaving (target))
    node_tasks_target_up (targets->node, target);
}

void
node_targets_list_changed (Node *node)
{
  NodeTargets *targets = node->targets;
  for (NodeGroup *group = targets->groups; group; group = group->hh.next)
    group->targets = 0;
  for (NodeTarget *target = targets->targets; target; target = target->hh.next) {
    const NodeVm *vm = node_list_find (node, gr_name_str (&target->id));
    if (target->in_vm_list && !vm) {
      target->in_vm_list = false;
      report_leaving (targets, target);
    }
  }
  for (NodeVm *vm = node_list_first (node); vm; vm = vm->hh.next) {
    if (vm->role != NODE_ROLE_ENTRY && gr_name_equal (&vm->region, &node->region))
      put_target (targets, vm);
  }
}

void
node_targets_take_inventory (Node *node, const GrName *key, int64_t epoch)
{
  NodeTargets *targets = node->targets;
  NodeGroup *group = ensure_group (targets, key);
  group->state = NODE_GROUP_INVENTORY;
  group->epoch = epoch;
  group->claimed_ms = node_now (node);
  group->inventory_reported = false;
  for (NodeTarget *target = targets->targets; target; target = target->hh.next) {
    if (!gr_name_equal (&target->group, key))
      continue;
    node_poll_cancel (targets->poll, target);
    begin_listing (target, epoch);
  }
}

void
node_targets_group_gained (Node *node, const GrName *key, int64_t epoch)
{
  NodeTargets *targets = node->targets;
  NodeGroup *group = ensure_group (targets, key);
  group->state = NODE_GROUP_OWNED;
  group->epoch = epoch;
  for (NodeTarget *target = targets->targets; target; target = target->hh.next) {
    if (gr_name_equal (&target->group, key))
      add_to_sched (targets, target);
  }
  node_tasks_limits_changed (node);
}

void
node_targets_group_lost (Node *node, const GrName *key)
{
  NodeTargets *targets = node->targets;
  NodeGroup *group = ensure_group (targets, key);
  group->state = NODE_GROUP_FOREIGN;
  for (NodeTarget *target = targets->targets; target; target = target->hh.next) {
    if (gr_name_equal (&target->group, key))
      drop_target (targets, target);
  }
  node_tasks_limits_changed (node);
  for (group = targets->groups; group && group->state == NODE_GROUP_FOREIGN;)
    group = group->hh.next;
  if (!group)
    node_tasks_return_queue (node);
}

static void
on_listed (void *user, NodeTarget *target, const NodePollAnswer *answer)
{
  NodeTargets *targets = user;
  NodeGroup *group = node_targets_group (targets->node, &target->group);
  bool full = answer->full;
  target->polled_once = true;
  target->seq = answer->seq;
  target->retry_delay_ms = RETRY_MIN_MS;
  node_tasks_listed (targets->node, target, answer->tasks, answer->count, full, answer->sent_ms);
  bool was_leaving = is_leaving (target);
  target->self_leaving = answer->leaving;
  if (target->state != NODE_TARGET_LISTED) {
    target->state = NODE_TARGET_LISTED;
    if (group && group->state == NODE_GROUP_OWNED)
      add_to_sched (targets, target);
  } else if (!was_leaving) {
    report_leaving (targets, target);
  } else if (!is_leaving (target) && target->in_sched) {
    node_tasks_target_up (targets->node, target);
  }
}

static void
on_poll_failed (void *user, NodeTarget *target, int64_t stale_epoch)
{
  NodeTargets *targets = user;
  int64_t now = node_now (targets->node);
  target->polled_once = true;
  target->seq = 0;
  target->retry_at_ms = now + target->retry_delay_ms;
  target->retry_delay_ms = gr_backoff_next (target->retry_delay_ms, RETRY_MIN_MS, RETRY_MAX_MS);
  if (target->state == NODE_TARGET_LISTED) {
    target->state = NODE_TARGET_UNKNOWN;
    gr_log (&targets->log, GR_EV_TARGET_STATE,
            "%.*s does not answer; no new work until it is listed", GR_NAME_ARG (target->id));
    if (target->in_sched)
      node_tasks_target_down (targets->node, target);
  }
  if (stale_epoch > target->epoch)
    node_own_fence_seen (targets->node, &target->group, stale_epoch);
}

/* Reports finished inventories. The inventory of a group is done when each of its targets has
   answered or failed once. */
static void
finish_inventories (NodeTargets *targets)
{
  for (NodeGroup *group = targets->groups; group; group = group->hh.next) {
    if (group->state != NODE_GROUP_INVENTORY || group->inventory_reported)
      continue;
    bool done = true;
    /* NOLINTBEGIN(clang-analyzer-unix.Malloc): the analyzer does not follow uthash's links */
    for (NodeTarget *t = targets->targets; t && done; t = t->hh.next)
      done = !gr_name_equal (&t->group, &group->key) || t->polled_once;
    /* NOLINTEND(clang-analyzer-unix.Malloc) */
    if (done) {
      group->inventory_reported = true;
      node_own_inventory_done (targets->node, &group->key, group->epoch);
    }
  }
}

static void
targets_tick (uv_timer_t *timer)
{
  NodeTargets *targets = timer->data;
  int64_t now = node_now (targets->node);
  NodeTarget *target, *next;
  HASH_ITER (hh, targets->targets, target, next)
  {
    if (!target->in_vm_list && target->tasks == 0) {
      remove_target (targets, target);
      continue;
    }
    if (target->state == NODE_TARGET_IDLE)
      continue;
    if (!target->polling && now >= target->retry_at_ms)
      node_poll_send (targets->poll, target);
    if (target->check_at_ms > 0 && now >= target->check_at_ms) {
      target->check_at_ms = 0;
      node_poll_check (targets->poll, target);
    }
  }
  finish_inventories (targets);
}

NodeTargets *
node_targets_new (Node *node)
{
  NodeTargets *targets = gr_calloc (1, sizeof *targets);
  targets->node = node;
  targets->log = node_log_context (node, "targets");
  targets->poll = node_poll_new (node, on_listed, on_poll_failed, targets);
  uv_timer_init (node->loop, &targets->timer);
  targets->timer.data = targets;
  uv_timer_start (&targets->timer, targets_tick, TARGETS_TICK_MS, TARGETS_TICK_MS);
  return targets;
}

void
node_targets_free (NodeTargets *targets)
{
  uv_close ((uv_handle_t *) &targets->timer, NULL);
  node_poll_free (targets->poll);
}

size_t
node_targets_settled (const Node *node, NodeWireGroup **groups)
{
  NodeTargets *targets = node->targets;
  int64_t now = node_now (node);
  size_t count = 0;
  *groups = gr_calloc (HASH_COUNT (targets->groups) + 1, sizeof **groups);
  for (NodeGroup *group = targets->groups; group; group = group->hh.next) {
    if (group->state != NODE_GROUP_OWNED)
      continue;
    /* The former owner renews no leases after it has read the claim or written the handover. */
    bool lapsed = now > group->claimed_ms + node_start_lease_ms (node) + NODE_LAPSE_MARGIN_MS;
    bool settled = true;
    for (NodeTarget *t = targets->targets; t && settled && !lapsed; t = t->hh.next)
      settled = !gr_name_equal (&t->group, &group->key) || t->in_sched;
    if (settled)
      (*groups)[count++] = (NodeWireGroup){ group->key, group->epoch };
  }
  return count;
}

int64_t
node_targets_open_groups (const Node *node)
{
  int64_t count = 0;
  for (NodeGroup *group = node->targets->groups; group; group = group->hh.next) {
    if (group->state == NODE_GROUP_OWNED && group->targets > 0
        && node_own_may_start (node, &group->key))
      count++;
  }
  return count;
}

bool
node_targets_could_hold (const Node *node, const GrRes *demand)
{
  for (NodeTarget *target = node->targets->targets; target; target = target->hh.next) {
    if (target->in_vm_list && gr_res_fits (demand, &target->capacity))
      return true;
  }
  return false;
}

void
node_targets_check_at (NodeTarget *target, int64_t at_ms)
{
  if (target->check_at_ms == 0 || at_ms > target->check_at_ms)
    target->check_at_ms = at_ms;
}
