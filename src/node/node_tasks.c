#include "node/node_tasks.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/gr_random.h"
#include "node/node_config.h"
#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_report.h"
#include "node/node_start.h"
#include "node/node_tasks_priv.h"

#define TASKS_TICK_MS 20
#define LIMITS_INTERVAL_MS 1000
#define STOP_RETRY_MS 2000
/* A full listing this long after the latest start time decides an unconfirmed start. */
#define UNCONFIRMED_CHECK_MS 500

NodeTask *
node_tasks_find (const Node *node, const char *key)
{
  NodeTask *task = NULL;
  HASH_FIND_STR (node->tasks->table, key, task);
  return task;
}

NodeTask *
node_tasks_first (const Node *node)
{
  return node->tasks->table;
}

/* Returns the task with this sch.attempt, or NULL. */
static NodeTask *
find_local (const NodeTasks *tasks, int32_t number)
{
  NodeTask *task = NULL;
  HASH_FIND (hh_local, tasks->by_local, &number, sizeof number, task);
  return task;
}

static void
make_key (char *key, const GrName *id, int32_t attempt)
{
  snprintf (key, NODE_TASK_KEY_MAX, "%.*s#%d", GR_NAME_ARG (*id), attempt);
}

NodeTask *
node_tasks_lookup (const Node *node, const GrName *id, int32_t attempt)
{
  char key[NODE_TASK_KEY_MAX];
  make_key (key, id, attempt);
  return node_tasks_find (node, key);
}

NodeTask *
node_tasks_add (NodeTasks *tasks, const GrName *id, int32_t attempt)
{
  NodeTask *task = gr_calloc (1, sizeof *task);
  make_key (task->key, id, attempt);
  task->attempt = attempt;
  task->sch.id = *id;
  task->sch.attempt = tasks->last_local = tasks->last_local % INT32_MAX + 1;
  task->sch.job = job_of_task (id);
  task->placed_ms = node_now (tasks->node);
  HASH_ADD_STR (tasks->table, key, task);
  HASH_ADD (hh_local, tasks->by_local, sch.attempt, sizeof task->sch.attempt, task);
  return task;
}

static void
remove_task (NodeTasks *tasks, NodeTask *task)
{
  if (!task->dropped)
    HASH_DEL (tasks->table, task);
  HASH_DELETE (hh_local, tasks->by_local, task);
  free (task->payload);
  free (task->answer);
  free (task);
}

void
node_tasks_set_target (NodeTasks *tasks, NodeTask *task, const GrName *target)
{
  NodeTarget *old = task->target.len ? node_targets_find (tasks->node, &task->target) : NULL;
  if (old && old->tasks > 0)
    old->tasks--;
  task->target = *target;
  NodeTarget *now = target->len ? node_targets_find (tasks->node, target) : NULL;
  if (now)
    now->tasks++;
}

/* Error code of the placement result for the partition owner. */
static GrErrCode
refusal_code (NodeTasks *tasks, const SchCmd *cmd, const NodeTask *task)
{
  switch (cmd->why) {
  case SCH_WHY_QUEUE_FULL:
    return GR_ERR_OVERLOADED;
  case SCH_WHY_DEADLINE:
    return GR_ERR_DEADLINE;
  case SCH_WHY_NEVER_FITS:
    /* Other schedulers of the region may own larger targets. */
    return node_targets_could_hold (tasks->node, &task->sch.demand) ? GR_ERR_UNAVAILABLE
                                                                    : GR_ERR_UNPLACEABLE;
  case SCH_WHY_QUOTA:
    return GR_ERR_QUOTA;
  case SCH_WHY_CANCELLED:
    return task->stopping ? GR_ERR_CANCELLED : GR_ERR_UNAVAILABLE;
  case SCH_WHY_BEST_FIT:
  case SCH_WHY_SPREAD:
  case SCH_WHY_BACKFILL:
  case SCH_WHY_RESERVED:
  case SCH_WHY_PROBE:
  case SCH_WHY_HOLD_EXPIRED:
  case SCH_WHY_NO_TARGET:
  case SCH_WHY_TARGET_REFUSED:
  case SCH_WHY_PREEMPTED:
  case SCH_WHY_FAILS_EVERYTHING:
  case SCH_WHY_OVERRUN:
    return GR_ERR_UNAVAILABLE;
  }
  return GR_ERR_UNAVAILABLE;
}

/* Returns why a start must not be sent, or NULL. The group's lease and the partition's epoch may
   have ended since the scheduler's decision, so they are checked at the moment of sending. */
static const char *
start_refusal (NodeTasks *tasks, const NodeTask *task, const NodeTarget *target)
{
  Node *node = tasks->node;
  GrVmRef owner;
  int64_t epoch;
  if (task->dropped)
    return "returned to its partition";
  if (!target || target->state != NODE_TARGET_LISTED)
    return "target not listed";
  if (!node_own_may_start (node, &target->group))
    return "group lease not held";
  if (!node_own_owner (node, &task->part, &owner, &epoch) || epoch != task->epoch)
    return "partition has a new owner";
  return NULL;
}

static void
run_start (NodeTasks *tasks, const SchCmd *cmd)
{
  NodeTask *task = find_local (tasks, cmd->attempt);
  NodeTarget *target = node_targets_find (tasks->node, &cmd->target);
  if (!task)
    return;
  node_tasks_set_target (tasks, task, &cmd->target);
  const char *refusal = start_refusal (tasks, task, target);
  if (refusal) {
    gr_log (&tasks->log, GR_EV_REFUSED, "%s: start not sent to %.*s: %s", task->key,
            GR_NAME_ARG (cmd->target), refusal);
    task->phase = NODE_TASK_STARTING;
    gr_list_push (&tasks->refused, task->sch.attempt);
    return;
  }
  gr_log (&tasks->log, GR_EV_PLACED, "%s on %.*s of %.*s: %s", task->key, GR_NAME_ARG (cmd->target),
          GR_NAME_ARG (target->group), sch_why_name (cmd->why));
  task->phase = NODE_TASK_STARTING;
  node_start_send (tasks->start, task, target);
  gr_metric_observe (&tasks->node->metrics, GR_METRIC_WAIT_MS,
                     node_now (tasks->node) - task->placed_ms);
}

static void
run_refused (NodeTasks *tasks, const SchCmd *cmd)
{
  NodeTask *task = find_local (tasks, cmd->attempt);
  if (!task)
    return;
  GrErrCode why = refusal_code (tasks, cmd, task);
  gr_log (&tasks->log, GR_EV_REFUSED, "%s: %s (%s)%s%s", task->key, sch_why_name (cmd->why),
          gr_err_name (why), cmd->why == SCH_WHY_NEVER_FITS ? " in " : "",
          cmd->why == SCH_WHY_NEVER_FITS ? gr_res_name (cmd->dim) : "");
  if (!task->dropped)
    node_report_place (tasks->node, task, JOB_PLACE_REFUSED, why);
  node_tasks_set_target (tasks, task, &(GrName){ 0 });
  remove_task (tasks, task);
}

static void
run_stop (NodeTasks *tasks, const SchCmd *cmd)
{
  NodeTask *task = find_local (tasks, cmd->attempt);
  if (!task)
    return;
  task->stopping = true;
  task->stop_next_ms = 0;
  gr_log (&tasks->log, GR_EV_REFUSED, "%s: stopping on %.*s: %s", task->key,
          GR_NAME_ARG (task->target), sch_why_name (cmd->why));
}

void
node_tasks_step (NodeTasks *tasks, const SchMsg *msg)
{
  SchCmds cmds = { 0 };
  uint64_t begin = uv_hrtime ();
  sch_step (tasks->sch, msg, node_now (tasks->node), &cmds);
  if (msg->kind == SCH_MSG_SUBMIT)
    gr_metric_observe (&tasks->node->metrics, GR_METRIC_DECISION_US,
                       (int64_t) ((uv_hrtime () - begin) / 1000));
  for (size_t i = 0; i < cmds.count; i++) {
    const SchCmd *cmd = &cmds.items[i];
    switch (cmd->kind) {
    case SCH_CMD_START:
      run_start (tasks, cmd);
      break;
    case SCH_CMD_STOP:
      run_stop (tasks, cmd);
      break;
    case SCH_CMD_HELD: {
      NodeTask *task = find_local (tasks, cmd->attempt);
      if (task && !task->dropped) {
        task->phase = NODE_TASK_HELD;
        node_report_place (tasks->node, task, JOB_PLACE_HELD, GR_ERR_NONE);
      }
      break;
    }
    case SCH_CMD_REFUSED:
      run_refused (tasks, cmd);
      break;
    case SCH_CMD_ENDED:
      gr_metric_add (&tasks->node->metrics, GR_METRIC_ENDED, 1);
      break;
    case SCH_CMD_TARGET_STATE:
      gr_log (&tasks->log, GR_EV_TARGET_STATE, "%.*s: %s", GR_NAME_ARG (cmd->target),
              sch_why_name (cmd->why));
      break;
    }
  }
  gr_list_clear (&cmds);
}

static SchPolicy
policy_of (const JobSpec *spec, int32_t index, int64_t hold_deadline_ms)
{
  switch (spec->policy) {
  case JOB_POLICY_REQUEST:
    return (SchPolicy){ .kind = SCH_POLICY_REQUEST, .request = { spec->urgent } };
  case JOB_POLICY_SERVICE:
    return (SchPolicy){ .kind = SCH_POLICY_SERVICE, .service = { index } };
  case JOB_POLICY_BATCH:
    return (SchPolicy){ .kind = SCH_POLICY_BATCH,
                        .batch = { spec->idempotent && !spec->exclusive } };
  case JOB_POLICY_GANG:
    return (SchPolicy){ .kind = SCH_POLICY_GANG, .gang = { spec->tasks, hold_deadline_ms } };
  }
  return (SchPolicy){ 0 };
}

/* Returns why a placement is refused before it reaches the scheduler, or NULL. */
static const char *
place_refusal (NodeTasks *tasks, const NodeWire *wire)
{
  Node *node = tasks->node;
  GrVmRef owner;
  int64_t epoch;
  if (node->stopping)
    return "this VM is stopping";
  if (node_unix () > wire->place.place_by_unix_ms)
    return "late";
  if (node_own_owner (node, &wire->place.part, &owner, &epoch) && wire->place.epoch < epoch)
    return "older partition epoch";
  if (wire->place.epoch < node_report_floor (node, &wire->place.part))
    return "older partition epoch";
  if (node_report_forbidden (node, &wire->place.id, wire->place.attempt))
    return "reported absent before";
  if (node_targets_open_groups (node) == 0)
    return "no owned group may start work";
  return NULL;
}

/* True if a run of the declared length that started now would end after the deadline. */
static bool
misses_deadline (const NodeWire *wire)
{
  const JobSpec *spec = &wire->place.spec;
  return spec->run_ms > 0 && spec->deadline_unix_ms != INT64_MAX
         && node_unix () + spec->run_ms > spec->deadline_unix_ms;
}

static void
send_place_result (Node *node, const GrName *to, const NodeWire *wire, JobPlaceResult result,
                   GrErrCode why)
{
  NodeWire answer = { .kind = NODE_WIRE_PLACE_RESULT,
                      .place_result = { wire->place.id, wire->place.attempt, result, why } };
  node_peers_send (node, to, &answer, NULL);
}

/* A gang's reservations are released if they are not committed within this time. */
#define GANG_HOLD_MS 10000

void
node_tasks_place (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeTasks *tasks = node->tasks;
  const JobSpec *spec = &wire->place.spec;
  NodeTask *task = node_tasks_lookup (node, &wire->place.id, wire->place.attempt);
  if (task) {
    node_report_state (node, task);
    return;
  }
  const char *refusal = place_refusal (tasks, wire);
  if (refusal) {
    gr_log (&tasks->log, GR_EV_REFUSED, "%.*s#%d: %s", GR_NAME_ARG (wire->place.id),
            wire->place.attempt, refusal);
    send_place_result (node, from, wire, JOB_PLACE_REFUSED, GR_ERR_UNAVAILABLE);
    return;
  }
  if (misses_deadline (wire)) {
    gr_log (&tasks->log, GR_EV_REFUSED, "%.*s#%d: declared run of %lld ms ends after the deadline",
            GR_NAME_ARG (wire->place.id), wire->place.attempt, (long long) spec->run_ms);
    send_place_result (node, from, wire, JOB_PLACE_REFUSED, GR_ERR_DEADLINE);
    return;
  }
  task = node_tasks_add (tasks, &wire->place.id, wire->place.attempt);
  task->phase = NODE_TASK_QUEUED;
  task->part = wire->place.part;
  task->epoch = wire->place.epoch;
  task->payload = gr_str_dup (spec->payload);
  task->payload_len = spec->payload.len;
  GrStr id = gr_name_str (&task->sch.id);
  int64_t index = 0;
  gr_str_to_int64 ((GrStr){ id.data + task->sch.job.len + 1, id.len - task->sch.job.len - 1 },
                   &index);
  task->sch.team = spec->team;
  task->sch.kind = spec->kind;
  task->sch.priority = spec->priority;
  task->sch.urgent = spec->urgent;
  task->sch.demand = spec->demand;
  task->sch.declared_run_ms = spec->run_ms;
  task->sch.deadline_ms = spec->deadline_unix_ms == INT64_MAX
                              ? 0
                              : node_local_from_unix (node, spec->deadline_unix_ms);
  task->sch.policy = policy_of (spec, (int32_t) index, node_now (node) + GANG_HOLD_MS);
  /* QUEUED is sent before the step, which may send the next result at once. */
  send_place_result (node, from, wire, JOB_PLACE_QUEUED, GR_ERR_NONE);
  SchTask copy = task->sch;
  SchMsg msg = { .kind = SCH_MSG_SUBMIT, .submit = &copy };
  node_tasks_step (tasks, &msg);
}

void
node_tasks_cancel (Node *node, const NodeWire *wire)
{
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next) {
    if (gr_name_equal (&task->sch.id, &wire->cancel.id) && task->phase != NODE_TASK_ENDED)
      task->stopping = true;
  }
  SchMsg msg = { .kind = SCH_MSG_CANCEL, .ref = { wire->cancel.id } };
  node_tasks_step (node->tasks, &msg);
}

void
node_tasks_gang (Node *node, const NodeWire *wire)
{
  SchMsg msg
      = { .kind = wire->gang.commit ? SCH_MSG_COMMIT : SCH_MSG_RELEASE, .ref = { wire->gang.job } };
  node_tasks_step (node->tasks, &msg);
}

void
node_tasks_start_result (Node *node, NodeTask *task, SchStartResult result)
{
  NodeTasks *tasks = node->tasks;
  if (task->phase != NODE_TASK_STARTING)
    return;
  NodeTarget *target = node_targets_find (node, &task->target);
  switch (result) {
  case SCH_START_TAKEN:
    task->phase = NODE_TASK_RUNNING;
    task->started_ms = node_now (node);
    node_report_state (node, task);
    if (target && target->lease_confirmed_until_ms < task->lease_until_ms)
      target->lease_confirmed_until_ms = task->lease_until_ms;
    break;
  case SCH_START_REFUSED:
    break;
  case SCH_START_UNKNOWN:
    task->phase = NODE_TASK_UNCONFIRMED;
    if (target)
      node_targets_check_at (target, task->start_by_ms + UNCONFIRMED_CHECK_MS);
    break;
  }
  SchMsg msg = { .kind = SCH_MSG_START_RESULT,
                 .start_result = { task->sch.id, task->sch.attempt, result } };
  node_tasks_step (tasks, &msg);
}

void
node_tasks_end (NodeTasks *tasks, NodeTask *task, JobTaskState end, GrStr answer, int64_t run_ms)
{
  static const SchEnd ends[] = { [JOB_TASK_SUCCEEDED] = SCH_END_SUCCEEDED,
                                 [JOB_TASK_FAILED] = SCH_END_FAILED,
                                 [JOB_TASK_STOPPED] = SCH_END_STOPPED,
                                 [JOB_TASK_LAPSED] = SCH_END_LAPSED };
  if (task->phase == NODE_TASK_ENDED)
    return;
  task->phase = NODE_TASK_ENDED;
  task->end = end;
  task->ended_ms = node_now (tasks->node);
  free (task->answer);
  task->answer = gr_str_dup (answer);
  task->answer_len = answer.len;
  free (task->payload);
  task->payload = NULL;
  node_tasks_set_target (tasks, task, &(GrName){ 0 });
  node_report_state (tasks->node, task);
  SchMsg msg
      = { .kind = SCH_MSG_ENDED, .ended = { task->sch.id, task->sch.attempt, ends[end], run_ms } };
  node_tasks_step (tasks, &msg);
}

void
node_tasks_target_up (Node *node, NodeTarget *target)
{
  GR_LIST (SchInventoryTask) list = { 0 };
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next) {
    bool live = task->phase == NODE_TASK_RUNNING || task->phase == NODE_TASK_UNCONFIRMED;
    if (live && gr_name_equal (&task->target, &target->id))
      gr_list_push (&list, (SchInventoryTask){ .task = task->sch, .running = true });
  }
  SchMsg msg = { .kind = SCH_MSG_TARGET_UP,
                 .target = { target->id, target->group, target->zone, target->capacity, list.items,
                             list.count } };
  node_tasks_step (node->tasks, &msg);
  gr_list_clear (&list);
}

static void
send_target_msg (Node *node, const NodeTarget *target, SchMsgKind kind)
{
  SchMsg msg = { .kind = kind,
                 .target = { .target = target->id,
                             .group = target->group,
                             .zone = target->zone,
                             .capacity = target->capacity } };
  node_tasks_step (node->tasks, &msg);
}

void
node_tasks_target_leaving (Node *node, const NodeTarget *target)
{
  send_target_msg (node, target, SCH_MSG_TARGET_LEAVING);
}

void
node_tasks_target_down (Node *node, const NodeTarget *target)
{
  send_target_msg (node, target, SCH_MSG_TARGET_DOWN);
}

void
node_tasks_target_gone (Node *node, NodeTarget *target)
{
  NodeTasks *tasks = node->tasks;
  send_target_msg (node, target, SCH_MSG_TARGET_GONE);
  NodeTask *task, *next;
  HASH_ITER (hh, tasks->table, task, next)
  {
    if (!gr_name_equal (&task->target, &target->id))
      continue;
    /* The target may have accepted a start in flight before the new owner fenced it. */
    if (task->phase == NODE_TASK_STARTING || task->phase == NODE_TASK_UNCONFIRMED)
      node_report_place (node, task, JOB_PLACE_UNKNOWN, GR_ERR_UNKNOWN);
    remove_task (tasks, task);
  }
  target->tasks = 0;
}

void
node_tasks_load (const Node *node, SchSummary *out)
{
  sch_summary (node->tasks->sch, out);
}

bool
node_tasks_explain (const Node *node, const GrName *job, GrBuf *out)
{
  static const char *const phases[]
      = { "waits", "holds", "starts", "starts, no answer yet", "runs", "ended" };
  bool found = false;
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next) {
    if (!gr_name_equal (&task->sch.job, job))
      continue;
    SchWhy why;
    GrResDim dim;
    found = true;
    gr_buf_printf (out, "%s%s %s%s%.*s", out->len ? "; " : "", task->key, phases[task->phase],
                   task->target.len ? " on " : "", GR_NAME_ARG (task->target));
    if (task->phase == NODE_TASK_QUEUED
        && sch_explain (node->tasks->sch, &task->sch.id, &why, &dim))
      gr_buf_printf (out, ": %s (%s)", sch_why_name (why), gr_res_name (dim));
  }
  return found;
}

size_t
node_tasks_open (const Node *node)
{
  size_t open = 0;
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next)
    open += task->phase != NODE_TASK_ENDED;
  return open;
}

void
node_tasks_return_queue (Node *node)
{
  NodeTasks *tasks = node->tasks;
  NodeTask *task, *next;
  HASH_ITER (hh, tasks->table, task, next)
  {
    if (task->phase != NODE_TASK_QUEUED && task->phase != NODE_TASK_HELD)
      continue;
    node_report_place (node, task, JOB_PLACE_REFUSED, GR_ERR_UNAVAILABLE);
    HASH_DEL (tasks->table, task);
    task->dropped = true;
  }
}

/* Ends the task if its lease has lapsed; resends a stop that is due. */
static void
maintain_task (NodeTasks *tasks, NodeTask *task, int64_t now)
{
  if (task->phase != NODE_TASK_RUNNING && task->phase != NODE_TASK_UNCONFIRMED)
    return;
  NodeTarget *target = node_targets_find (tasks->node, &task->target);
  if (now > task->lease_until_ms + NODE_LAPSE_MARGIN_MS) {
    gr_log (&tasks->log, GR_EV_TARGET_STATE, "%s: task lease on %.*s lapsed", task->key,
            GR_NAME_ARG (task->target));
    node_tasks_end (tasks, task, JOB_TASK_LAPSED, GR_STR (""), 0);
  } else if (task->stopping && target && now >= task->stop_next_ms) {
    task->stop_next_ms = now + STOP_RETRY_MS;
    node_start_stop (tasks->start, task, target);
  }
}

static void
tasks_tick (uv_timer_t *timer)
{
  NodeTasks *tasks = timer->data;
  Node *node = tasks->node;
  int64_t now = node_now (node);
  size_t refused = tasks->refused.count;
  int32_t *numbers = tasks->refused.items;
  memset (&tasks->refused, 0, sizeof tasks->refused);
  for (size_t i = 0; i < refused; i++) {
    NodeTask *task = find_local (tasks, numbers[i]);
    if (task)
      node_tasks_start_result (node, task, SCH_START_REFUSED);
  }
  free (numbers);
  if (tasks->limits_due || now >= tasks->limits_next_ms) {
    tasks->limits_due = false;
    tasks->limits_next_ms = now + LIMITS_INTERVAL_MS;
    node_limits_send (tasks);
  }
  SchMsg tick = { .kind = SCH_MSG_TICK };
  node_tasks_step (tasks, &tick);
  if (now < tasks->maintain_next_ms)
    return;
  tasks->maintain_next_ms = now + TASKS_MAINTAIN_MS;
  NodeTask *task, *next;
  size_t running = 0;
  size_t queued = 0;
  HASH_ITER (hh, tasks->table, task, next)
  {
    running += task->phase == NODE_TASK_RUNNING;
    queued += task->phase == NODE_TASK_QUEUED;
    if (task->phase == NODE_TASK_ENDED && node_report_expired (node, task, now))
      remove_task (tasks, task);
    else
      maintain_task (tasks, task, now);
  }
  for (NodeTarget *target = node_targets_first (node); target; target = target->hh.next)
    node_start_renew (tasks->start, target, now);
  gr_metric_set (&node->metrics, GR_METRIC_RUNNING, (int64_t) running);
  gr_metric_set (&node->metrics, GR_METRIC_QUEUED, (int64_t) queued);
}

NodeTasks *
node_tasks_new (Node *node, GrErr *err)
{
  NodeTasks *tasks = gr_calloc (1, sizeof *tasks);
  tasks->node = node;
  tasks->log = node_log_context (node, "sched");
  SchOptions options = { 0 };
  sch_options_defaults (&options);
  options.seed = gr_random ();
  tasks->sch = sch_new (&options, err);
  if (!tasks->sch) {
    free (tasks);
    return NULL;
  }
  tasks->start = node_start_new (node);
  uv_timer_init (node->loop, &tasks->timer);
  tasks->timer.data = tasks;
  uv_timer_start (&tasks->timer, tasks_tick, TASKS_TICK_MS, TASKS_TICK_MS);
  return tasks;
}

void
node_tasks_free (NodeTasks *tasks)
{
  uv_close ((uv_handle_t *) &tasks->timer, NULL);
  node_start_free (tasks->start);
  sch_free (tasks->sch);
}
