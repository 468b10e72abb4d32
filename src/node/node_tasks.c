#include "node/node_tasks.h"

#include <stdio.h>
#include <stdlib.h>

#include "node/node_config.h"
#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_report.h"
#include "node/node_start.h"
#include "node/node_tasks_priv.h"

#define TASKS_TICK_MS 20
#define LIMITS_INTERVAL_MS 1000
#define STOP_RETRY_MS 2000
/* A full listing this long after the latest start time shows whether an unsure start arrived. */
#define UNSURE_CHECK_MS 500

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

static NodeTask *
add_task (NodeTasks *tasks, const GrName *id, int32_t attempt)
{
  NodeTask *task = gr_calloc (1, sizeof *task);
  make_key (task->key, id, attempt);
  task->sch.id = *id;
  task->sch.attempt = attempt;
  task->sch.job = job_of_task (id);
  task->placed_ms = node_now (tasks->node);
  HASH_ADD_STR (tasks->table, key, task);
  return task;
}

static void
remove_task (NodeTasks *tasks, NodeTask *task)
{
  HASH_DEL (tasks->table, task);
  free (task->payload);
  free (task->answer);
  free (task);
}

static void
set_target (NodeTasks *tasks, NodeTask *task, const GrName *target)
{
  NodeTarget *old = task->target.len ? node_targets_find (tasks->node, &task->target) : NULL;
  if (old && old->tasks > 0)
    old->tasks--;
  task->target = *target;
  NodeTarget *now = target->len ? node_targets_find (tasks->node, target) : NULL;
  if (now)
    now->tasks++;
}

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
    return GR_ERR_UNAVAILABLE;
  }
  return GR_ERR_UNAVAILABLE;
}

/* The group's lease and the partition's epoch are checked at the moment of sending. */
static const char *
start_obstacle (NodeTasks *tasks, const NodeTask *task, const NodeTarget *target)
{
  Node *node = tasks->node;
  GrVmRef owner;
  int64_t epoch;
  if (!target || target->state != NODE_TARGET_LISTED)
    return "target not listed";
  if (!node_own_may_start (node, &target->group))
    return "group lease does not hold";
  if (!node_own_owner (node, &task->part, &owner, &epoch) || epoch != task->epoch)
    return "partition has a new owner";
  return NULL;
}

static void
run_start (NodeTasks *tasks, const SchCmd *cmd)
{
  NodeTask *task = node_tasks_lookup (tasks->node, &cmd->id, cmd->attempt);
  NodeTarget *target = node_targets_find (tasks->node, &cmd->target);
  if (!task)
    return;
  set_target (tasks, task, &cmd->target);
  const char *obstacle = start_obstacle (tasks, task, target);
  if (obstacle) {
    gr_log (&tasks->log, GR_EV_REFUSED, "%s: not sent to %.*s: %s", task->key,
            GR_NAME_ARG (cmd->target), obstacle);
    task->phase = NODE_TASK_STARTING;
    gr_list_push (&tasks->refused, task->sch.id);
    gr_list_push (&tasks->refused_attempt, task->sch.attempt);
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
  NodeTask *task = node_tasks_lookup (tasks->node, &cmd->id, cmd->attempt);
  if (!task)
    return;
  GrErrCode why = refusal_code (tasks, cmd, task);
  gr_log (&tasks->log, GR_EV_REFUSED, "%s: %s (%s)%s%s", task->key, sch_why_name (cmd->why),
          gr_err_name (why), cmd->why == SCH_WHY_NEVER_FITS ? " in " : "",
          cmd->why == SCH_WHY_NEVER_FITS ? gr_res_name (cmd->dim) : "");
  node_report_place (tasks->node, task, JOB_PLACE_REFUSED, why);
  set_target (tasks, task, &(GrName){ 0 });
  remove_task (tasks, task);
}

static void
run_stop (NodeTasks *tasks, const SchCmd *cmd)
{
  NodeTask *task = node_tasks_lookup (tasks->node, &cmd->id, cmd->attempt);
  if (!task)
    return;
  task->stopping = true;
  task->stop_next_ms = 0;
  gr_log (&tasks->log, GR_EV_REFUSED, "%s: stopped on %.*s: %s", task->key,
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
      NodeTask *task = node_tasks_lookup (tasks->node, &cmd->id, cmd->attempt);
      if (task) {
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

/* Reason to refuse a placement before the scheduler sees it, or NULL. */
static const char *
place_obstacle (NodeTasks *tasks, const NodeWire *wire)
{
  Node *node = tasks->node;
  GrVmRef owner;
  int64_t epoch;
  if (node->stopping)
    return "this VM stops";
  if (node_unix () > wire->place.place_by_unix_ms)
    return "late";
  if (node_own_owner (node, &wire->place.part, &owner, &epoch) && wire->place.epoch < epoch)
    return "older partition epoch";
  if (wire->place.epoch < node_report_floor (node, &wire->place.part))
    return "older partition epoch";
  if (node_report_forbidden (node, &wire->place.id, wire->place.attempt))
    return "answered absent before";
  if (node_targets_open_groups (node) == 0)
    return "no group may start work";
  return NULL;
}

static void
answer_place (Node *node, const GrName *to, const NodeWire *wire, JobPlaceResult result,
              GrErrCode why)
{
  NodeWire answer = { .kind = NODE_WIRE_PLACE_RESULT,
                      .place_result = { wire->place.id, wire->place.attempt, result, why } };
  node_peers_send (node, to, &answer, NULL);
}

/* Time a gang's holds may wait for the other parts. */
#define HOLD_MS 10000

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
  const char *obstacle = place_obstacle (tasks, wire);
  if (obstacle) {
    gr_log (&tasks->log, GR_EV_REFUSED, "%.*s#%d: %s", GR_NAME_ARG (wire->place.id),
            wire->place.attempt, obstacle);
    answer_place (node, from, wire, JOB_PLACE_REFUSED, GR_ERR_UNAVAILABLE);
    return;
  }
  task = add_task (tasks, &wire->place.id, wire->place.attempt);
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
  task->sch.policy = policy_of (spec, (int32_t) index, node_now (node) + HOLD_MS);
  /* The answer goes out before the scheduler's own word, which may follow at once. */
  answer_place (node, from, wire, JOB_PLACE_QUEUED, GR_ERR_NONE);
  size_t before = sch_task_count (tasks->sch);
  char key[NODE_TASK_KEY_MAX];
  memcpy (key, task->key, sizeof key);
  SchTask copy = task->sch;
  SchMsg msg = { .kind = SCH_MSG_SUBMIT, .submit = &copy };
  node_tasks_step (tasks, &msg);
  /* The scheduler ignores an attempt that it refused before; the owner may ask again. */
  task = node_tasks_find (node, key);
  if (task && task->phase == NODE_TASK_QUEUED && sch_task_count (tasks->sch) == before) {
    node_report_place (node, task, JOB_PLACE_REFUSED, GR_ERR_UNAVAILABLE);
    remove_task (tasks, task);
  }
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
    if (target && target->lease_ok_ms < task->lease_until_ms)
      target->lease_ok_ms = task->lease_until_ms;
    break;
  case SCH_START_REFUSED:
    break;
  case SCH_START_UNKNOWN:
    task->phase = NODE_TASK_UNSURE;
    if (target)
      node_targets_check_at (target, task->start_by_ms + UNSURE_CHECK_MS);
    break;
  }
  SchMsg msg = { .kind = SCH_MSG_START_RESULT,
                 .start_result = { task->sch.id, task->sch.attempt, result } };
  node_tasks_step (tasks, &msg);
}

/* The end of an attempt by the target's word, or because its lease lapsed. */
static void
end_task (NodeTasks *tasks, NodeTask *task, JobTaskState end, GrStr answer, int64_t run_ms)
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
  set_target (tasks, task, &(GrName){ 0 });
  node_report_state (tasks->node, task);
  SchMsg msg
      = { .kind = SCH_MSG_ENDED, .ended = { task->sch.id, task->sch.attempt, ends[end], run_ms } };
  node_tasks_step (tasks, &msg);
}

/* A task that an earlier owner started. Its team and kind are not known here. */
static NodeTask *
adopt_task (NodeTasks *tasks, NodeTarget *target, const NodeListedTask *listed)
{
  Node *node = tasks->node;
  NodeTask *task = add_task (tasks, &listed->id, listed->attempt);
  int32_t parts = node_own_parts (node);
  task->part = node_part_key (&node->region, parts > 0 ? job_part (&task->sch.job, parts) : 0);
  GrVmRef owner;
  node_own_owner (node, &task->part, &owner, &task->epoch);
  task->sch.demand = listed->demand;
  task->phase = NODE_TASK_RUNNING;
  task->started_ms = task->placed_ms;
  task->lease_until_ms = task->placed_ms + node_start_lease_ms (node);
  set_target (tasks, task, &target->id);
  target->lease_next_ms = 0;
  return task;
}

static void
take_listed (NodeTasks *tasks, NodeTarget *target, const NodeListedTask *listed)
{
  Node *node = tasks->node;
  NodeTask *task = node_tasks_lookup (node, &listed->id, listed->attempt);
  bool adopted = !task;
  if (adopted)
    task = adopt_task (tasks, target, listed);
  if (!listed->running) {
    end_task (tasks, task, listed->end, listed->answer, listed->run_ms);
    return;
  }
  if (adopted) {
    node_report_state (node, task);
  } else if (task->phase == NODE_TASK_STARTING || task->phase == NODE_TASK_UNSURE) {
    task->phase = NODE_TASK_STARTING;
    node_tasks_start_result (node, task, SCH_START_TAKEN);
  }
  if (task->phase == NODE_TASK_RUNNING && listed->used.v[GR_RES_CPU_MILLI] > 0) {
    SchMsg usage
        = { .kind = SCH_MSG_USAGE, .usage = { listed->id, listed->attempt, listed->used } };
    node_tasks_step (tasks, &usage);
  }
}

/* What a full listing leaves out does not run: the target lost it, or its end is too old. A start
   without an answer is only decided by a listing asked for after its latest start time. */
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
                   || (task->phase == NODE_TASK_UNSURE && task->start_by_ms < sent_ms);
    for (size_t i = 0; decided && i < count; i++)
      decided = !(listed[i].attempt == task->sch.attempt
                  && gr_name_equal (&listed[i].id, &task->sch.id));
    if (decided)
      end_task (tasks, task, JOB_TASK_LAPSED, GR_STR (""), 0);
  }
}

void
node_tasks_listed (Node *node, NodeTarget *target, const NodeListedTask *listed, size_t count,
                   bool everything, int64_t sent_ms)
{
  for (size_t i = 0; i < count; i++)
    take_listed (node->tasks, target, &listed[i]);
  if (everything)
    end_unlisted (node->tasks, target, listed, count, sent_ms);
}

void
node_tasks_target_up (Node *node, NodeTarget *target)
{
  GR_LIST (SchInventoryTask) list = { 0 };
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next) {
    bool live = task->phase == NODE_TASK_RUNNING || task->phase == NODE_TASK_UNSURE;
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
target_step (Node *node, const NodeTarget *target, SchMsgKind kind)
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
  target_step (node, target, SCH_MSG_TARGET_LEAVING);
}

void
node_tasks_target_down (Node *node, const NodeTarget *target)
{
  target_step (node, target, SCH_MSG_TARGET_DOWN);
}

void
node_tasks_target_gone (Node *node, NodeTarget *target)
{
  NodeTasks *tasks = node->tasks;
  target_step (node, target, SCH_MSG_TARGET_GONE);
  NodeTask *task, *next;
  HASH_ITER (hh, tasks->table, task, next)
  {
    if (!gr_name_equal (&task->target, &target->id))
      continue;
    /* Whether a start in flight was taken before the new owner's fence is not known here. */
    if (task->phase == NODE_TASK_STARTING || task->phase == NODE_TASK_UNSURE)
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
  GR_LIST (GrName) waiting = { 0 };
  for (NodeTask *task = node->tasks->table; task; task = task->hh.next) {
    if (task->phase == NODE_TASK_QUEUED || task->phase == NODE_TASK_HELD)
      gr_list_push (&waiting, task->sch.id);
  }
  for (size_t i = 0; i < waiting.count; i++) {
    SchMsg msg = { .kind = SCH_MSG_CANCEL, .ref = { waiting.items[i] } };
    node_tasks_step (node->tasks, &msg);
  }
  gr_list_clear (&waiting);
}

/* Each group of the region carries a fixed part of every quota, so that the parts of all owners
   never add up to more, whoever owns the groups. */
void
node_tasks_limits_changed (Node *node)
{
  if (node->tasks)
    node->tasks->limits_due = true;
}

static int32_t
quota_part (int64_t quota, size_t index, size_t groups)
{
  int64_t n = (int64_t) groups;
  int64_t i = (int64_t) index;
  return (int32_t) (quota * (i + 1) / n - quota * i / n);
}

static int
compare_keys (const void *a, const void *b)
{
  return gr_name_compare (&(*(NodeGroup *const *) a)->key, &(*(NodeGroup *const *) b)->key);
}

static void
send_limits (NodeTasks *tasks)
{
  Node *node = tasks->node;
  const CfgTree *tree = node_config_tree (node);
  GR_LIST (NodeGroup *) groups = { 0 };
  for (NodeGroup *group = node_targets_first_group (node); group; group = group->hh.next)
    gr_list_push (&groups, group);
  if (groups.count > 0)
    qsort (groups.items, groups.count, sizeof *groups.items, compare_keys);
  GR_LIST (SchTeamLimit) limits = { 0 };
  for (size_t t = 0; t < cfg_team_count (tree); t++) {
    const CfgTeam *team = cfg_team_at (tree, t);
    SchTeamLimit limit = { .team = team->name, .weight = (int32_t) team->priority + 1 };
    for (int d = 0; d < GR_RES_COUNT; d++) {
      int64_t quota = team->quota.v[d];
      int64_t part = 0;
      for (size_t g = 0; quota > 0 && g < groups.count; g++) {
        if (groups.items[g]->state == NODE_GROUP_OWNED)
          part += quota_part (quota, g, groups.count);
      }
      /* 0 would mean no limit. */
      limit.quota_part.v[d] = quota > 0 && part == 0 ? -1 : (int32_t) part;
    }
    gr_list_push (&limits, limit);
  }
  SchMsg msg = { .kind = SCH_MSG_LIMITS, .limits = { limits.items, limits.count } };
  node_tasks_step (tasks, &msg);
  gr_list_clear (&limits);
  gr_list_clear (&groups);
}

static void
tend_task (NodeTasks *tasks, NodeTask *task, int64_t now)
{
  if (task->phase != NODE_TASK_RUNNING && task->phase != NODE_TASK_UNSURE)
    return;
  NodeTarget *target = node_targets_find (tasks->node, &task->target);
  if (now > task->lease_until_ms + NODE_LAPSE_MARGIN_MS) {
    gr_log (&tasks->log, GR_EV_TARGET_STATE, "%s: lease on %.*s lapsed", task->key,
            GR_NAME_ARG (task->target));
    end_task (tasks, task, JOB_TASK_LAPSED, GR_STR (""), 0);
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
  for (size_t i = 0; i < refused; i++) {
    NodeTask *task
        = node_tasks_lookup (node, &tasks->refused.items[i], tasks->refused_attempt.items[i]);
    if (task)
      node_tasks_start_result (node, task, SCH_START_REFUSED);
  }
  for (size_t i = refused; i < tasks->refused.count; i++) {
    tasks->refused.items[i - refused] = tasks->refused.items[i];
    tasks->refused_attempt.items[i - refused] = tasks->refused_attempt.items[i];
  }
  tasks->refused.count -= refused;
  tasks->refused_attempt.count -= refused;
  if (tasks->limits_due || now >= tasks->limits_next_ms) {
    tasks->limits_due = false;
    tasks->limits_next_ms = now + LIMITS_INTERVAL_MS;
    send_limits (tasks);
  }
  SchMsg tick = { .kind = SCH_MSG_TICK };
  node_tasks_step (tasks, &tick);
  if (now < tasks->tend_next_ms)
    return;
  tasks->tend_next_ms = now + TASKS_TEND_MS;
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
      tend_task (tasks, task, now);
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
  options.seed = node_random ();
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
