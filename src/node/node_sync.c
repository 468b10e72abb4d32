/* Sync queries of a partition owner to all schedulers of its region. */
#include <stdlib.h>

#include "node/node_own.h"
#include "node/node_parts_priv.h"
#include "node/node_peers.h"
#include "node/node_targets.h"

/* Interval at which an unanswered query for a partition is resent. It is short because a takeover
   also waits for groups that change their owner at the same time. */
#define SYNC_RESEND_MS 100

static void
send_sync (NodeParts *parts, NodeSync *sync)
{
  Node *node = parts->node;
  const NodePart *part = &parts->items[sync->part];
  sync->sent_ms = node_now (node);
  NodeWire wire = { .kind = NODE_WIRE_SYNC,
                    .sync = { sync->id, part->key, part->epoch, sync->task, sync->attempt } };
  node_peers_broadcast (node, &node->region, &wire);
  node_peers_send (node, &node->self.vm, &wire, NULL);
}

static NodeSync *
add_sync (NodeParts *parts, int32_t part)
{
  NodeSync *sync = gr_calloc (1, sizeof *sync);
  sync->id = gr_ids_next (&parts->sync_ids);
  sync->part = part;
  HASH_ADD (hh, parts->syncs, id, sizeof sync->id, sync);
  return sync;
}

static void
drop_sync (NodeParts *parts, NodeSync *sync)
{
  HASH_DEL (parts->syncs, sync);
  gr_list_clear (&sync->groups);
  free (sync);
}

void
node_sync_part (NodeParts *parts, const NodePart *part)
{
  send_sync (parts, add_sync (parts, part->number));
}

void
node_sync_drop_part (NodeParts *parts, const NodePart *part)
{
  NodeSync *sync, *next;
  HASH_ITER (hh, parts->syncs, sync, next)
  {
    if (sync->part == part->number)
      drop_sync (parts, sync);
  }
}

void
node_sync_resolve (NodeParts *parts, const GrName *task, int32_t attempt)
{
  GrName job = job_of_task (task);
  NodePart *part = node_parts_find (parts, &job);
  if (!part || !part->replayed)
    return;
  for (NodeSync *sync = parts->syncs; sync; sync = sync->hh.next) {
    if (sync->attempt == attempt && gr_name_equal (&sync->task, task)) {
      send_sync (parts, sync);
      return;
    }
  }
  NodeSync *sync = add_sync (parts, part->number);
  sync->task = *task;
  sync->attempt = attempt;
  send_sync (parts, sync);
}

static void
add_group (NodeSync *sync, const NodeWireGroup *group)
{
  for (size_t i = 0; i < sync->groups.count; i++) {
    if (gr_name_equal (&sync->groups.items[i].key, &group->key)) {
      sync->groups.items[i].epoch = group->epoch;
      return;
    }
  }
  gr_list_push (&sync->groups, *group);
}

/* True if the current owner of every group with targets has answered the query. */
static bool
all_groups_answered (const NodeParts *parts, const NodeSync *sync)
{
  for (NodeGroup *group = node_targets_first_group (parts->node); group; group = group->hh.next) {
    GrVmRef owner;
    int64_t epoch;
    bool found = false;
    if (group->targets == 0)
      continue;
    if (!node_own_owner (parts->node, &group->key, &owner, &epoch))
      return false;
    for (size_t i = 0; i < sync->groups.count && !found; i++)
      found = sync->groups.items[i].epoch == epoch
              && gr_name_equal (&sync->groups.items[i].key, &group->key);
    if (!found)
      return false;
  }
  return true;
}

void
node_parts_sync_done (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeParts *parts = node->parts;
  (void) from;
  NodeSync *sync = NULL;
  HASH_FIND (hh, parts->syncs, &wire->sync_done.sync, sizeof wire->sync_done.sync, sync);
  if (!sync)
    return;
  if (sync->task.len > 0 && wire->sync_done.present) {
    drop_sync (parts, sync);
    return;
  }
  for (size_t i = 0; i < wire->sync_done.count; i++)
    add_group (sync, &wire->sync_done.groups[i]);
  if (!all_groups_answered (parts, sync))
    return;
  JobMsg msg = { 0 };
  /* The owners of all groups answered and none of them holds the attempt: it counts as lapsed. */
  if (sync->task.len > 0) {
    msg.kind = JOB_MSG_TASK_REPORT;
    msg.report.id = sync->task;
    msg.report.attempt = sync->attempt;
    msg.report.state = JOB_TASK_LAPSED;
  } else {
    msg.kind = JOB_MSG_PART_SYNCED;
    msg.part.part = sync->part;
    gr_log (&parts->log, GR_EV_KEY_GAINED, "%.*s: all groups answered",
            GR_NAME_ARG (parts->items[sync->part].key));
  }
  drop_sync (parts, sync);
  node_parts_step (parts, &msg);
}

/* Queries for single attempts are not resent here: the job state repeats JOB_CMD_RESOLVE. */
void
node_sync_retry (NodeParts *parts)
{
  int64_t now = node_now (parts->node);
  for (NodeSync *sync = parts->syncs; sync; sync = sync->hh.next) {
    if (sync->task.len == 0 && now - sync->sent_ms >= SYNC_RESEND_MS)
      send_sync (parts, sync);
  }
}
