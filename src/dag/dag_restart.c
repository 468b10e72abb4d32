/* Targets that start again under the id that they had.

   Orders name a target by its id, so a start that was meant for an earlier incarnation may have
   been carried out by the new one before its restart was known. A run is known to be over if an
   inventory of an earlier incarnation listed it. Any other run may be at work at the new
   incarnation, or may have ended there: its first inventory decides. A start without an answer may
   arrive even later, so its run is stopped there before its task can start elsewhere. */
#include "dag/dag_priv.h"

/* Pause until the next hold if an inventory did not tell yet which runs are over. */
#define SETTLE_RETRY_MS 30

/* Releases the tasks whose start was not sent yet: the new incarnation may differ. */
static void
release_unsent (DagState *dag, DagTarget *target, int64_t now_ms)
{
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    if (task->state != TASK_ASSIGNED)
      continue;
    dag_run_release (dag, task, now_ms);
    dag_run_stop_with_gang (dag, task, now_ms);
    /* Stopping a gang may have removed the next run from the list. */
    if (next && next->target != target)
      next = target->runs;
  }
}

/* True if the run has certainly ended with an earlier incarnation. */
static bool
ended_before (const DagTask *task)
{
  switch (task->state) {
  case TASK_STARTING:
  case TASK_RUNNING:
  case TASK_STOPPING:
    return task->listed && task->starts_unanswered == 0 && !task->start_open;
  case TASK_ADOPTED:
  case TASK_WAITING:
  case TASK_ASSIGNED:
  case TASK_DONE:
    break;
  }
  return false;
}

/* True if an inventory that does not list the run proves nothing yet: a start that was carried out
   after it may be answered before. */
static bool
is_uncertain (const DagTask *task, int64_t sent_at)
{
  switch (task->state) {
  case TASK_STARTING:
    return task->start_open;
  case TASK_RUNNING:
  case TASK_STOPPING:
    return !task->listed && (task->start_open || sent_at <= task->confirmed_at);
  case TASK_ADOPTED:
    /* The hold carried the fencing token of this term, so starts of earlier terms are refused. */
  case TASK_WAITING:
  case TASK_ASSIGNED:
  case TASK_DONE:
    break;
  }
  return false;
}

/* Handles the end of the earlier incarnation and of the runs that are marked as over. */
static void
finish (DagState *dag, DagTarget *target, int64_t now_ms)
{
  dag_crash_handle_restart (dag, target, now_ms);
  for (DagTask *task = target->runs; task; task = task->target_next) {
    if (task->state == TASK_STOPPING && !task->stop_outdated)
      dag_run_stop_again (dag, task);
  }
  if (target->crashed)
    target->vm_crashed_at = now_ms;
  target->crashed = false;
  target->blamed = false;
  target->restarting = false;
  target->clock_ms = 0;
  target->clock_at = 0;
  target->hold_failures = 0;
  target->closed_at = 0;
  target->unknown_runs = 0;
  dag_pace_init (&target->pace);
}

static void
settle_if_all_ended (DagState *dag, DagTarget *target, int64_t now_ms)
{
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    if (!ended_before (task))
      return;
  }
  for (DagTask *task = target->runs; task; task = task->target_next)
    task->over = true;
  finish (dag, target, now_ms);
}

void
dag_restart_notice (DagState *dag, DagTarget *target, int64_t now_ms)
{
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=restarted runs=%d",
           GR_NAME_ARG (target->info.id), target->run_count);
  target->left = dag_crash_may_have_left (target, now_ms);
  target->restarting = true;
  target->inventoried = false;
  /* The notice was that of an earlier incarnation. */
  target->info.draining = false;
  release_unsent (dag, target, now_ms);
  target->address_serial++;
  /* Holds in flight and acknowledgements are those of an earlier incarnation. */
  target->hold_count = 0;
  target->hold_answered_at = 0;
  target->hold_retry_at = 0;
  target->end_processed = 0;
  target->end_batch = 0;
  target->acknowledged = 0;
  target->acknowledged_sent = 0;
  target->acknowledged_known = 0;
  target->lease_sent = 0;
  /* Leases are times on the clock of the target, which has started anew: one that was meant for an
     earlier incarnation may last as long as targets permit. */
  int64_t lapse_by = now_ms + dag_target_lease_max_ms (dag);
  if (target->leases_lapse_by < lapse_by)
    target->leases_lapse_by = lapse_by;
  target->consecutive_failures = 0;
  target->avoid_until = 0;
  target->avoid_ms = 0;
  learn_speed_restart (&target->speed, now_ms);
  /* Advice may differ for the new incarnation, so calls may name the target again. */
  dag_drop_target_refs (dag, target);
  target->serial = ++dag->next_target_serial;
  dag->place_wanted = true;
  settle_if_all_ended (dag, target, now_ms);
}

void
dag_restart_notice_set_back (DagState *dag, DagTarget *target, int64_t now_ms)
{
  target->superseded_incarnation = dag_target_incarnation (target);
  /* Whether the earlier incarnation may have left is judged by its entry. */
  dag_restart_notice (dag, target, now_ms);
  target->info.incarnation = 0;
  target->info.number = 0;
}

bool
dag_restart_settle (DagState *dag, DagTarget *target, const DagInventory *inventory,
                    int64_t sent_at, int64_t now_ms)
{
  int over = 0;
  bool uncertain = false;
  for (DagTask *task = target->runs; task; task = task->target_next) {
    bool is_there
        = dag_inventory_has_run (inventory, task) || dag_inventory_has_end (inventory, task);
    if (is_there)
      task->incarnation = target->incarnation;
    uncertain
        |= !is_there && (is_uncertain (task, sent_at) || dag_inventory_is_partial (inventory));
    task->over = !is_there;
    over += task->over;
  }
  if (uncertain) {
    target->hold_retry_at = now_ms + SETTLE_RETRY_MS;
    return false;
  }
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=settled runs=%d over=%d",
           GR_NAME_ARG (target->info.id), target->run_count, over);
  finish (dag, target, now_ms);
  return true;
}
