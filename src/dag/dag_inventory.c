/* Inventories: what a target lists as running and ended, and which runs are proven to be over. */
#include "dag/dag_priv.h"

/* Exponential backoff after failed holds. */
#define HOLD_RETRY_MIN_MS 200
#define HOLD_RETRY_MAX_MS 1600

/* Moves the hold with the token from the open ones to *hold; false if it is not open, for instance
   because it was sent to an earlier incarnation. */
static bool
remove_open_hold (DagTarget *target, int64_t token, DagOpenHold *hold)
{
  for (int i = 0; i < target->hold_count; i++) {
    if (target->holds[i].token != token)
      continue;
    *hold = target->holds[i];
    target->holds[i] = target->holds[--target->hold_count];
    return true;
  }
  return false;
}

/* The run was released before its end was known. */
static void
log_ignored_end (const DagState *dag, const DagTarget *target, const DagTask *task,
                 const DagEnd *end)
{
  bool has_result = end->kind == DAG_END_DONE || end->kind == DAG_END_FAILED;
  if (!has_result || task->state == TASK_DONE || !dag_job_is_open (task->step->job))
    return;
  dag_count (dag, GR_METRIC_ENDS_IGNORED, 1);
  DAG_LOG (dag, GR_EV_END_IGNORED,
           "id=%.*s step=%u index=%u run=%lld target=%.*s how=%s newest_run=%lld on=%.*s",
           GR_NAME_ARG (end->task.job), end->task.step, end->task.index, (long long) end->run,
           GR_NAME_ARG (target->info.id), dag_end_kind_name (end->kind), (long long) task->run,
           GR_NAME_ARG (task->target ? task->target->info.id : (GrName){ 0 }));
}

/* Handles the ends in the inventory that were not processed before. */
static void
process_ends (DagState *dag, DagTarget *target, const DagInventory *inventory, int64_t now_ms)
{
  int64_t highest = target->end_processed;
  for (size_t i = 0; i < inventory->end_count; i++) {
    const DagEnd *end = &inventory->ends[i];
    if (end->number <= target->end_processed)
      continue;
    if (end->number > highest)
      highest = end->number;
    DagTask *task = dag_find_task (dag, &end->task);
    if (!task)
      continue;
    if (task->target != target || task->run != end->run) {
      log_ignored_end (dag, target, task, end);
      if (end->kind == DAG_END_DONE && task->run == end->run)
        dag_run_handle_late_done (dag, task, now_ms);
      continue;
    }
    dag_run_handle_end (dag, task, end->kind, end->checkpoint, now_ms);
  }
  if (highest == target->end_processed)
    return;
  target->end_processed = highest;
  /* The next batch that is taken holds the changes made here. */
  target->end_batch = dag->batch + 1;
}

static void
stop_unknown_run (DagState *dag, DagTarget *target, const DagRunReport *report)
{
  DagCmd cmd = { .type = DAG_CMD_STOP };
  cmd.target = dag_target_ref (target);
  cmd.u.stop.task = report->task;
  cmd.u.stop.run = report->run;
  gr_list_push (&dag->cmds, cmd);
  DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s target=%.*s run=%lld reason=not-ours",
           GR_NAME_ARG (report->task.job), GR_NAME_ARG (target->info.id), (long long) report->run);
}

static void
process_report (DagState *dag, DagTarget *target, const DagRunReport *report, int64_t clock_ms,
                int64_t now_ms)
{
  DagTask *task = dag_find_task (dag, &report->task);
  if (!task || task->target != target || task->run != report->run) {
    /* The run is from an earlier term, or the task has just been assigned elsewhere. It must not
       continue here, even if its number is higher than the assigned one. */
    stop_unknown_run (dag, target, report);
    target->unknown_runs++;
    target->probe_wanted = true;
    return;
  }
  dag_keep_checkpoint (task, report->checkpoint);
  task->incarnation = target->incarnation;
  task->listed = true;
  dag_run_note_alive (dag, task, clock_ms, now_ms);
  if (task->state == TASK_STARTING || task->state == TASK_ADOPTED)
    dag_run_confirm (dag, task, now_ms);
  task->usage = report->usage;
  if (task->percent != report->percent) {
    task->percent = report->percent;
    task->percent_at = now_ms;
  }
}

static bool
is_newest_run (const DagTask *task, const DagTaskRef *ref, const DagTaskRef *other, int64_t run)
{
  return run == task->run && other->step == ref->step && other->index == ref->index
         && gr_name_equal (&other->job, &ref->job);
}

bool
dag_inventory_has_run (const DagInventory *inventory, const DagTask *task)
{
  DagTaskRef ref = dag_task_ref (task);
  for (size_t i = 0; i < inventory->running_count; i++) {
    if (is_newest_run (task, &ref, &inventory->running[i].task, inventory->running[i].run))
      return true;
  }
  return false;
}

bool
dag_inventory_is_partial (const DagInventory *inventory)
{
  return inventory->end_count >= DAG_INVENTORY_ENDS_MAX;
}

bool
dag_inventory_has_end (const DagInventory *inventory, const DagTask *task)
{
  DagTaskRef ref = dag_task_ref (task);
  for (size_t i = 0; i < inventory->end_count; i++) {
    if (is_newest_run (task, &ref, &inventory->ends[i].task, inventory->ends[i].run))
      return true;
  }
  return false;
}

/* Releases runs that the inventory does not list although they were known when the hold was sent.
   Such runs are over. */
static void
release_unlisted_runs (DagState *dag, DagTarget *target, const DagInventory *inventory,
                       const DagOpenHold *hold, int64_t now_ms)
{
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    bool proven_over = false;
    bool not_started = false;
    switch (task->state) {
    case TASK_RUNNING:
      proven_over = hold->sent_at > task->confirmed_at;
      break;
    case TASK_ADOPTED:
      /* The hold carried the fencing token of this term, so the target now refuses starts of
         earlier terms. */
      proven_over = true;
      break;
    case TASK_STOPPING:
      /* By the time alone, a hold that was sent in the same millisecond before the target got the
         stop would do. */
      proven_over = task->stop_acked_at > 0 && hold->token > task->stop_acked_token;
      break;
    case TASK_STARTING:
      not_started = !task->start_open && hold->sent_at >= task->start_lost_at;
      break;
    case TASK_WAITING:
    case TASK_ASSIGNED:
    case TASK_DONE:
      break;
    }
    if ((!proven_over && !not_started) || dag_inventory_has_run (inventory, task))
      continue;
    if (task->state == TASK_ADOPTED && task->incarnation < target->incarnation)
      dag_crash_note_loaded (task);
    /* A start without an answer may still arrive, unless the target has seen a stop of its run. */
    if (not_started)
      dag_run_stop_with_gang (dag, task, now_ms);
    else
      dag_run_release (dag, task, now_ms);
    /* Stopping a gang may have removed the next run from the list. */
    if (next && next->target != target)
      next = target->runs;
  }
}

static void
handle_failed_hold (DagState *dag, DagTarget *target, const DagOpenHold *hold,
                    DagOrderResult result, int64_t now_ms)
{
  if (result == DAG_ORDER_CLOSED && hold->address_serial == target->address_serial)
    dag_crash_note_closed (dag, target, now_ms);
  int64_t pause = HOLD_RETRY_MIN_MS;
  for (int i = 0; i < target->hold_failures && pause < HOLD_RETRY_MAX_MS; i++)
    pause *= 2;
  if (target->hold_failures++ == 0) {
    target->silent_at = now_ms;
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=silent result=%s runs=%d",
             GR_NAME_ARG (target->info.id), dag_order_result_name (result), target->run_count);
  }
  target->hold_retry_at = now_ms + pause;
  dag_risk_note_silence (dag, target, false, now_ms);
}

void
dag_handle_hold_result (DagState *dag, const GrName *id, int64_t token, DagOrderResult result,
                        const DagInventory *inventory, int64_t now_ms)
{
  DagTarget *target = dag_find_target (dag, id);
  DagOpenHold hold;
  if (!target || !remove_open_hold (target, token, &hold))
    return;
  if (result == DAG_ORDER_FENCED) {
    dag_depose (dag);
    return;
  }
  if (result == DAG_ORDER_GONE && hold.address_serial == target->address_serial) {
    target->listed = false;
    dag_crash_handle (dag, target, "another target answered", now_ms);
    return;
  }
  if (result != DAG_ORDER_OK) {
    if (hold.acknowledged > target->acknowledged_known)
      target->acknowledged_sent = target->acknowledged_known;
    if (hold.sent_at >= target->hold_answered_at)
      handle_failed_hold (dag, target, &hold, result, now_ms);
    return;
  }
  if (hold.sent_at > target->hold_answered_at)
    target->hold_answered_at = hold.sent_at;
  if (inventory->incarnation > 0) {
    int64_t known_incarnation = dag_target_incarnation (target);
    /* Holds that were sent before a later incarnation was known are not open any more, so the
       answer is not one of an earlier incarnation. */
    if (inventory->incarnation < known_incarnation)
      dag_restart_notice_set_back (dag, target, now_ms);
    else if (known_incarnation > 0 && inventory->incarnation > known_incarnation)
      dag_restart_notice (dag, target, now_ms);
    target->incarnation = inventory->incarnation;
  }
  if (target->restarting && !dag_restart_settle (dag, target, inventory, hold.sent_at, now_ms)) {
    /* The next ends are listed once these are acknowledged. */
    if (dag_inventory_is_partial (inventory))
      process_ends (dag, target, inventory, now_ms);
    return;
  }
  if (target->acknowledged_known < hold.acknowledged)
    target->acknowledged_known = hold.acknowledged;
  if (target->hold_failures > 0) {
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=answers", GR_NAME_ARG (*id));
    dag->place_wanted = true;
  }
  target->hold_failures = 0;
  target->closed_at = 0;
  target->hold_retry_at = 0;
  dag_crash_forget_lapse (dag, target);
  dag_risk_note_answer (dag, target);
  if (inventory->clock_ms >= target->clock_ms) {
    target->clock_ms = inventory->clock_ms;
    target->clock_at = now_ms;
  }
  if (!target->inventoried) {
    target->inventoried = true;
    dag->place_wanted = true;
    /* A scheduler of an earlier term may have set any lease up to the maximum. */
    if (target->lease_sent < target->clock_ms + dag->options.lease_max_ms)
      target->lease_sent = target->clock_ms + dag->options.lease_max_ms;
  }
  process_ends (dag, target, inventory, now_ms);
  target->unknown_runs = 0;
  for (size_t i = 0; i < inventory->running_count; i++)
    process_report (dag, target, &inventory->running[i], inventory->clock_ms, now_ms);
  if (!dag_inventory_is_partial (inventory))
    release_unlisted_runs (dag, target, inventory, &hold, now_ms);
  dag_pace_target (dag, target, now_ms);
  dag_hold_if_due (dag, target, now_ms);
}
