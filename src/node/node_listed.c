/* Applies a target's task listing: adopts running tasks that this VM did not start, records ends,
   and decides whether starts that were never answered took place. */
#include "node/node_own.h"
#include "node/node_report.h"
#include "node/node_tasks_priv.h"

/* Adds a running task that an earlier owner started. The listing has neither team nor kind. */
static NodeTask *
adopt_task (NodeTasks *tasks, NodeTarget *target, const NodeListedTask *listed)
{
  Node *node = tasks->node;
  NodeTask *task = node_tasks_add (tasks, &listed->id, listed->attempt);
  int32_t parts = node_own_parts (node);
  task->part = node_part_key (&node->region, parts > 0 ? job_part (&task->sch.job, parts) : 0);
  GrVmRef owner;
  node_own_owner (node, &task->part, &owner, &task->epoch);
  task->sch.demand = listed->demand;
  task->phase = NODE_TASK_RUNNING;
  task->started_ms = task->placed_ms;
  task->lease_until_ms = task->placed_ms + node_start_lease_ms (node);
  node_tasks_set_target (tasks, task, &target->id);
  target->lease_next_ms = 0;
  return task;
}

static void
apply_listed (NodeTasks *tasks, NodeTarget *target, const NodeListedTask *listed)
{
  Node *node = tasks->node;
  NodeTask *task = node_tasks_lookup (node, &listed->id, listed->attempt);
  bool adopted = !task;
  if (adopted)
    task = adopt_task (tasks, target, listed);
  if (!listed->running) {
    node_tasks_end (tasks, task, listed->end, listed->answer, listed->run_ms);
    return;
  }
  if (adopted) {
    node_report_state (node, task);
  } else if (task->phase == NODE_TASK_STARTING || task->phase == NODE_TASK_UNCONFIRMED) {
    task->phase = NODE_TASK_STARTING;
    node_tasks_start_result (node, task, SCH_START_TAKEN);
  }
  if (task->phase == NODE_TASK_RUNNING && listed->used.v[GR_RES_CPU_MILLI] > 0) {
    SchMsg usage
        = { .kind = SCH_MSG_USAGE, .usage = { listed->id, task->sch.attempt, listed->used } };
    node_tasks_step (tasks, &usage);
  }
}

/* Ends tasks that a full listing does not contain. They do not run: the target lost them, or they
   ended too long ago for it to list them. An unanswered start is decided only by a listing that
   was requested after the latest time at which the target may accept the start. */
static void
end_unlisted (NodeTasks *tasks, const NodeTarget *target, const NodeListedTask *listed,
              size_t count, int64_t sent_ms)
{
  NodeTask *task, *next;
  HASH_ITER (hh, tasks->table, task, next)
  {
    if (!gr_name_equal (&task->target, &target->id))
      continue;
    bool decided = (task->phase == NODE_TASK_RUNNING && task->started_ms < sent_ms)
                   || (task->phase == NODE_TASK_UNCONFIRMED && task->start_by_ms < sent_ms);
    for (size_t i = 0; decided && i < count; i++)
      decided
          = !(listed[i].attempt == task->attempt && gr_name_equal (&listed[i].id, &task->sch.id));
    if (decided)
      node_tasks_end (tasks, task, JOB_TASK_LAPSED, GR_STR (""), 0);
  }
}

void
node_tasks_listed (Node *node, NodeTarget *target, const NodeListedTask *listed, size_t count,
                   bool full, int64_t sent_ms)
{
  for (size_t i = 0; i < count; i++)
    apply_listed (node->tasks, target, &listed[i]);
  if (full)
    end_unlisted (node->tasks, target, listed, count, sent_ms);
}
