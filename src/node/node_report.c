#include "node/node_report.h"

#include <stdio.h>
#include <stdlib.h>

#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_tasks_priv.h"

#define REPORT_RETRY_MS 1000
/* An acknowledged end is kept as long as targets keep theirs, for the next partition owner. */
#define KEEP_ACKED_MS 60000
#define KEEP_UNACKED_MS 600000
/* Longer than a placement message stays valid, so that a delayed one cannot start the attempt. */
#define FORBID_MS 60000

/* Returns false if the partition has no owner. */
static bool
partition_owner (const Node *node, const GrName *part, GrName *vm)
{
  GrVmRef owner;
  int64_t epoch;
  if (!node_own_owner (node, part, &owner, &epoch))
    return false;
  *vm = owner.vm;
  return true;
}

void
node_report_place (Node *node, const NodeTask *task, JobPlaceResult result, GrErrCode why)
{
  GrName owner;
  if (!partition_owner (node, &task->part, &owner))
    return;
  NodeWire wire = { .kind = NODE_WIRE_PLACE_RESULT,
                    .place_result = { task->sch.id, task->attempt, result, why } };
  node_peers_send (node, &owner, &wire, NULL);
}

/* Sends a placement result for an attempt that is not known to run yet, else a report. */
static void
send_state (Node *node, const NodeTask *task, const GrName *to)
{
  NodeWire wire
      = { .kind = NODE_WIRE_REPORT, .report = { .id = task->sch.id, .attempt = task->attempt } };
  switch (task->phase) {
  case NODE_TASK_QUEUED:
  case NODE_TASK_STARTING:
  case NODE_TASK_UNCONFIRMED:
  case NODE_TASK_HELD:
    /* id and attempt have the same place in both members of the union. */
    wire.kind = NODE_WIRE_PLACE_RESULT;
    wire.place_result.result = task->phase == NODE_TASK_HELD ? JOB_PLACE_HELD : JOB_PLACE_QUEUED;
    wire.place_result.why = GR_ERR_NONE;
    break;
  case NODE_TASK_RUNNING:
    wire.report.state = JOB_TASK_RUNNING;
    break;
  case NODE_TASK_ENDED:
    wire.report.state = task->end;
    wire.report.answer = (GrStr){ task->answer, task->answer_len };
    break;
  }
  node_peers_send (node, to, &wire, NULL);
}

void
node_report_state (Node *node, NodeTask *task)
{
  GrName owner;
  task->report_next_ms = node_now (node) + REPORT_RETRY_MS;
  if (partition_owner (node, &task->part, &owner))
    send_state (node, task, &owner);
}

bool
node_report_expired (Node *node, NodeTask *task, int64_t now_ms)
{
  if (now_ms - task->ended_ms > (task->acked ? KEEP_ACKED_MS : KEEP_UNACKED_MS))
    return true;
  if (!task->acked && now_ms >= task->report_next_ms)
    node_report_state (node, task);
  return false;
}

void
node_tasks_report_ack (Node *node, const NodeWire *wire)
{
  NodeTask *task = node_tasks_lookup (node, &wire->report_ack.id, wire->report_ack.attempt);
  if (task && task->phase == NODE_TASK_ENDED)
    task->acked = true;
}

int64_t
node_report_floor (const Node *node, const GrName *part)
{
  NodeFloor *floor = NULL;
  HASH_FIND (hh, node->tasks->floors, part->data, part->len, floor);
  return floor ? floor->epoch : 0;
}

static void
raise_floor (NodeTasks *tasks, const GrName *part, int64_t epoch)
{
  NodeFloor *floor = NULL;
  HASH_FIND (hh, tasks->floors, part->data, part->len, floor);
  if (!floor) {
    floor = gr_calloc (1, sizeof *floor);
    floor->part = *part;
    HASH_ADD_KEYPTR (hh, tasks->floors, floor->part.data, floor->part.len, floor);
  }
  if (epoch > floor->epoch)
    floor->epoch = epoch;
}

bool
node_report_forbidden (const Node *node, const GrName *id, int32_t attempt)
{
  char key[NODE_TASK_KEY_MAX];
  snprintf (key, sizeof key, "%.*s#%d", GR_NAME_ARG (*id), attempt);
  NodeForbidden *found = NULL;
  HASH_FIND_STR (node->tasks->forbidden, key, found);
  return found != NULL;
}

/* Bars the attempt from starting here. The table is in order of expiry; expired items are removed
   from its head. */
static void
forbid (NodeTasks *tasks, const GrName *id, int32_t attempt)
{
  int64_t now = node_now (tasks->node);
  NodeForbidden *item, *next;
  HASH_ITER (hh, tasks->forbidden, item, next)
  {
    if (item->until_ms > now)
      break;
    /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
    HASH_DEL (tasks->forbidden, item);
    free (item);
  }
  if (node_report_forbidden (tasks->node, id, attempt))
    return;
  item = gr_calloc (1, sizeof *item);
  snprintf (item->key, sizeof item->key, "%.*s#%d", GR_NAME_ARG (*id), attempt);
  item->until_ms = now + FORBID_MS;
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
  HASH_ADD_STR (tasks->forbidden, key, item);
}

void
node_tasks_sync (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeTasks *tasks = node->tasks;
  bool present = false;
  if (wire->sync.epoch < node_report_floor (node, &wire->sync.part))
    return;
  raise_floor (tasks, &wire->sync.part, wire->sync.epoch);
  if (wire->sync.id.len > 0) {
    NodeTask *task = node_tasks_lookup (node, &wire->sync.id, wire->sync.attempt);
    present = task != NULL;
    if (task) {
      task->epoch = wire->sync.epoch;
      send_state (node, task, from);
    } else {
      forbid (tasks, &wire->sync.id, wire->sync.attempt);
    }
  } else {
    for (NodeTask *task = tasks->table; task; task = task->hh.next) {
      if (!gr_name_equal (&task->part, &wire->sync.part))
        continue;
      task->epoch = wire->sync.epoch;
      send_state (node, task, from);
    }
  }
  NodeWireGroup *groups;
  size_t count = node_targets_settled (node, &groups);
  NodeWire done = { .kind = NODE_WIRE_SYNC_DONE,
                    .sync_done = { wire->sync.sync, wire->sync.part, present, groups, count } };
  node_peers_send (node, from, &done, NULL);
  free (groups);
}
