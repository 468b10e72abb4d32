/* Targets: leases, inventories, health, and the proofs that runs are over. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Longest wait of a hold at the target for an end. Each hold renews the leases. */
#define HOLD_WAIT_MS 1000
/* The same for targets whose best-effort runs are paced: their figures change every half second. */
#define HOLD_WAIT_MIXED_MS 500
/* Time after which the answer to a hold counts as lost, in addition to its wait at the target. Ends
   of runs go unnoticed until another hold is answered. */
#define HOLD_ANSWER_MS 150
/* Interval of renewals while ends wait to be stored. */
#define LEASE_RENEW_MS 1000
/* Exponential backoff after failed holds. */
#define HOLD_RETRY_MIN_MS 200
#define HOLD_RETRY_MAX_MS 1600
/* Lowest rate of a target's monotonic clock relative to the local one. */
#define CLOCK_RATE_MIN 0.98
/* Margin after the computed end of a lease before it counts as lapsed. */
#define LAPSE_MARGIN_MS 150
/* Failures of different jobs in a row after which a target is excluded from placement. The time
   doubles with each exclusion, from AVOID_MIN_MS to AVOID_MAX_MS. */
#define CONSECUTIVE_FAILURES_MAX 2
#define AVOID_MIN_MS 2000
#define AVOID_MAX_MS 16000
/* Runs of a draining target are stopped this long before it leaves, to keep their checkpoints. */
#define DRAIN_MARGIN_MS 500
/* If the entry of a draining target disappears this soon after it was read, the target has
   withdrawn it. Entries of targets that stop reporting stay for three report intervals of 1.5 s. */
#define WITHDRAWN_ENTRY_MS 3000

DagTarget *
dag_find_target (const DagState *dag, const GrName *id)
{
  DagTarget *target = NULL;
  HASH_FIND (hh, dag->targets, id->data, id->len, target);
  return target;
}

void
dag_depose (DagState *dag)
{
  dag->deposed = true;
  gr_list_push (&dag->cmds, (DagCmd){ .type = DAG_CMD_DEPOSED });
}

DagTarget *
dag_target_create (DagState *dag, const GrName *id)
{
  DagTarget *target = dag_find_target (dag, id);
  if (target)
    return target;
  target = gr_calloc (1, sizeof *target);
  target->info.id = *id;
  dag_pace_init (&target->pace);
  target->serial = ++dag->next_target_serial;
  HASH_ADD_KEYPTR (hh, dag->targets, target->info.id.data, target->info.id.len, target);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->target_list, target);
  return target;
}

DagTargetRef
dag_target_ref (const DagTarget *target)
{
  return (DagTargetRef){ target->info.id, target->info.address, target->info.zone,
                         target->info.incarnation };
}

void
dag_target_attach (DagTask *task, DagTarget *target)
{
  GrRes need = dag_reserved_demand (&task->step->spec);
  task->target = target;
  task->target_prev = NULL;
  task->target_next = target->runs;
  if (target->runs)
    target->runs->target_prev = task;
  target->runs = task;
  target->run_count++;
  gr_res_add (&target->used, &need);
}

void
dag_target_detach (DagTask *task)
{
  DagTarget *target = task->target;
  GrRes need = dag_reserved_demand (&task->step->spec);
  if (task->target_prev)
    task->target_prev->target_next = task->target_next;
  else
    target->runs = task->target_next;
  if (task->target_next)
    task->target_next->target_prev = task->target_prev;
  task->target_prev = NULL;
  task->target_next = NULL;
  task->target = NULL;
  target->run_count--;
  gr_res_sub (&target->used, &need);
}

GrRes
dag_target_free_room (const DagTarget *target)
{
  GrRes room = target->info.capacity;
  gr_res_sub (&room, &target->used);
  return room;
}

bool
dag_target_usable (const DagTarget *target, int64_t now_ms)
{
  return target->listed && target->inventoried && !target->info.draining
         && target->hold_failures == 0 && target->unknown_runs == 0
         && now_ms >= target->avoid_until;
}

void
dag_target_avoid (DagState *dag, DagTarget *target, const char *reason, int64_t now_ms)
{
  if (now_ms < target->avoid_until)
    return;
  target->avoid_ms = target->avoid_ms == 0 ? AVOID_MIN_MS : target->avoid_ms * 2;
  if (target->avoid_ms > AVOID_MAX_MS)
    target->avoid_ms = AVOID_MAX_MS;
  target->avoid_until = now_ms + target->avoid_ms;
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=avoided reason=%s for_ms=%lld",
           GR_NAME_ARG (target->info.id), reason, (long long) target->avoid_ms);
}

void
dag_target_failed (DagState *dag, DagTarget *target, const GrName *job, int64_t now_ms)
{
  if (gr_name_equal (&target->failed_job, job))
    return;
  target->failed_job = *job;
  if (++target->consecutive_failures >= CONSECUTIVE_FAILURES_MAX)
    dag_target_avoid (dag, target, "failures", now_ms);
}

void
dag_target_succeeded (DagTarget *target)
{
  target->consecutive_failures = 0;
  target->avoid_ms = 0;
  target->failed_job.len = 0;
}

/* Estimate of the target's clock, behind it by no more than the transit time of an answer. */
static int64_t
target_clock (const DagTarget *target, int64_t now_ms)
{
  return target->clock_ms + (now_ms - target->clock_at);
}

int64_t
dag_target_lease (DagState *dag, DagTarget *target, int64_t now_ms)
{
  int64_t until = target_clock (target, now_ms) + dag->options.lease_ms;
  if (target->lease_sent < until)
    target->lease_sent = until;
  return until;
}

/* Local time at which every lease that the target can hold has lapsed. If it has not answered in
   this term, only the leases of earlier terms count. */
static int64_t
leases_lapse_at (const DagState *dag, const DagTarget *target)
{
  if (!target->inventoried)
    return dag->options.former_leases_lapse_at_ms;
  int64_t left = target->lease_sent - target->clock_ms;
  if (left < 0)
    left = 0;
  return target->clock_at + (int64_t) ((double) left / CLOCK_RATE_MIN) + LAPSE_MARGIN_MS;
}

/* Releases all runs of the target, which are proven to be over. proof is for the log. */
static void
release_all_runs (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms)
{
  if (target->run_count > 0)
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=lost proof=%s runs=%d",
             GR_NAME_ARG (target->info.id), proof, target->run_count);
  while (target->runs)
    dag_run_release (dag, target->runs, now_ms);
}

/* All leases of the target have lapsed: releases the runs that were sent. Runs that wait for their
   record have no lease yet. */
static void
release_lapsed_runs (DagState *dag, DagTarget *target, int64_t now_ms)
{
  int released = 0;
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    if (task->state == TASK_ASSIGNED)
      continue;
    released++;
    dag_run_release (dag, task, now_ms);
  }
  if (released > 0)
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=lost proof=leases lapsed runs=%d",
             GR_NAME_ARG (target->info.id), released);
}

/* The target has restarted under the same id: releases its runs and resets its state. */
static void
handle_restart (DagState *dag, DagTarget *target, int64_t incarnation, int64_t now_ms)
{
  release_all_runs (dag, target, "restart", now_ms);
  target->info.incarnation = incarnation;
  target->inventoried = false;
  target->clock_ms = 0;
  target->clock_at = 0;
  target->lease_sent = 0;
  target->end_processed = 0;
  target->end_batch = 0;
  target->acknowledged = 0;
  target->acknowledged_sent = 0;
  target->hold_count = 0;
  target->hold_answered_at = 0;
  target->unknown_runs = 0;
  target->hold_retry_at = 0;
  target->hold_failures = 0;
  target->consecutive_failures = 0;
  target->avoid_until = 0;
  target->avoid_ms = 0;
  dag_pace_init (&target->pace);
  /* Advice may differ for the new incarnation, so calls may name the target again. */
  dag_drop_target_refs (dag, target);
  target->serial = ++dag->next_target_serial;
  dag->place_wanted = true;
}

/* True if a hold is in flight whose answer may still come in time; without_wait: one that does not
   wait at the target. */
static bool
expects_answer (const DagTarget *target, bool without_wait, int64_t now_ms)
{
  for (int i = 0; i < target->hold_count; i++) {
    const DagOpenHold *hold = &target->holds[i];
    if (now_ms < hold->expected_by && !(without_wait && hold->long_poll))
      return true;
  }
  return false;
}

/* True if the answer to a hold is overdue and no later hold was answered. */
static bool
is_overdue (const DagTarget *target, int64_t now_ms)
{
  for (int i = 0; i < target->hold_count; i++) {
    const DagOpenHold *hold = &target->holds[i];
    if (now_ms >= hold->expected_by && hold->sent_at >= target->hold_answered_at)
      return true;
  }
  return false;
}

static void
send_hold (DagState *dag, DagTarget *target, int64_t wait_ms, int64_t now_ms)
{
  if (target->hold_count == DAG_MAX_HOLDS)
    return;
  DagCmd cmd = { .type = DAG_CMD_HOLD };
  cmd.u.hold.target = dag_target_ref (target);
  cmd.u.hold.token = ++dag->next_token;
  cmd.u.hold.wait_ms = wait_ms;
  cmd.u.hold.acknowledged = target->acknowledged;
  /* A target that does not answer gets no renewal, so that its runs lapse eventually. */
  if (target->inventoried && target->run_count > 0 && target->hold_failures == 0
      && !is_overdue (target, now_ms))
    cmd.u.hold.lease_until = dag_target_lease (dag, target, now_ms);
  gr_list_push (&dag->cmds, cmd);
  target->acknowledged_sent = target->acknowledged;
  target->hold_sent_at = now_ms;
  target->holds[target->hold_count++]
      = (DagOpenHold){ cmd.u.hold.token, now_ms, now_ms + wait_ms + HOLD_ANSWER_MS, wait_ms > 0 };
}

/* True if the target has runs past their start. */
static bool
has_live_runs (const DagTarget *target)
{
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    if (task->state == TASK_RUNNING || task->state == TASK_STOPPING || task->state == TASK_ADOPTED)
      return true;
  }
  return false;
}

static int64_t
long_poll_ms (const DagTarget *target)
{
  return dag_pace_is_mixed (target) ? HOLD_WAIT_MIXED_MS : HOLD_WAIT_MS;
}

/* Sends the next hold if one is due. */
static void
hold_if_due (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (now_ms < target->hold_retry_at || target->info.address.len == 0)
    return;
  if (target->probe_wanted && !expects_answer (target, true, now_ms)) {
    target->probe_wanted = false;
    send_hold (dag, target, 0, now_ms);
    return;
  }
  if (expects_answer (target, false, now_ms))
    return;
  if (!target->inventoried) {
    if (target->listed || target->run_count > 0)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  bool ends_unstored = target->end_processed > target->acknowledged;
  if (!ends_unstored && target->acknowledged > target->acknowledged_sent) {
    send_hold (dag, target, has_live_runs (target) ? long_poll_ms (target) : 0, now_ms);
    return;
  }
  if (!has_live_runs (target)) {
    /* A target that stopped answering gets holds until it answers, and no work before. */
    if (target->hold_failures > 0 && target->listed)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  if (ends_unstored) {
    if (now_ms - target->hold_sent_at >= LEASE_RENEW_MS)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  /* After a hold without an answer, the next one does not wait for an end. */
  if (target->hold_failures > 0 || is_overdue (target, now_ms))
    send_hold (dag, target, 0, now_ms);
  else
    send_hold (dag, target, long_poll_ms (target), now_ms);
}

void
dag_target_seen (DagState *dag, const DagTargetInfo *info, int64_t now_ms)
{
  DagTarget *target = dag_target_create (dag, &info->id);
  if (info->incarnation < target->info.incarnation)
    return;
  if (target->info.incarnation > 0 && info->incarnation > target->info.incarnation)
    handle_restart (dag, target, info->incarnation, now_ms);
  bool was_draining = target->info.draining;
  bool state_changed = !target->listed || was_draining != info->draining;
  target->info = *info;
  target->listed = true;
  target->seen_at = now_ms;
  if (info->draining)
    target->drain_until = now_ms + info->remaining_ms;
  if (state_changed) {
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=%s zone=%.*s rack=%.*s remaining_ms=%lld",
             GR_NAME_ARG (info->id), info->draining ? "draining" : "ready",
             GR_NAME_ARG (info->zone), GR_NAME_ARG (info->rack), (long long) info->remaining_ms);
    dag->place_wanted = true;
  }
  if (info->vm.len > 0) {
    for (size_t i = 0; i < dag->target_list.count; i++) {
      DagTarget *other = dag->target_list.items[i];
      if (other == target || !gr_name_equal (&other->info.vm, &info->vm)
          || other->info.incarnation >= info->incarnation)
        continue;
      other->listed = false;
      release_all_runs (dag, other, "vm restarted", now_ms);
    }
  }
  hold_if_due (dag, target, now_ms);
}

void
dag_target_unlisted (DagState *dag, const GrName *id, int64_t now_ms)
{
  DagTarget *target = dag_find_target (dag, id);
  if (!target || !target->listed)
    return;
  target->listed = false;
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=unlisted runs=%d", GR_NAME_ARG (*id),
           target->run_count);
  /* The entry of a target that only stops reporting stays longer, so this target has left. */
  if (target->info.draining && now_ms - target->seen_at < WITHDRAWN_ENTRY_MS)
    release_all_runs (dag, target, "left", now_ms);
}

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
    if (!task || task->target != target || task->run != end->run)
      continue;
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
  cmd.u.stop.target = dag_target_ref (target);
  cmd.u.stop.task = report->task;
  cmd.u.stop.run = report->run;
  gr_list_push (&dag->cmds, cmd);
  DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s target=%.*s run=%lld reason=not-ours",
           GR_NAME_ARG (report->task.job), GR_NAME_ARG (target->info.id), (long long) report->run);
}

static void
process_report (DagState *dag, DagTarget *target, const DagRunReport *report, int64_t now_ms)
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
  if (task->state == TASK_STARTING || task->state == TASK_ADOPTED) {
    task->state = TASK_RUNNING;
    task->confirmed_at = now_ms;
    task->percent_at = now_ms;
  }
  task->usage = report->usage;
  if (task->percent != report->percent) {
    task->percent = report->percent;
    task->percent_at = now_ms;
  }
}

static bool
is_reported (const DagInventory *inventory, const DagTask *task)
{
  DagTaskRef ref = dag_task_ref (task);
  for (size_t i = 0; i < inventory->running_count; i++) {
    const DagRunReport *report = &inventory->running[i];
    if (report->run == task->run && report->task.step == ref.step && report->task.index == ref.index
        && gr_name_equal (&report->task.job, &ref.job))
      return true;
  }
  return false;
}

/* Releases runs that the inventory does not list although they were known when the hold was sent.
   Such runs are over. */
static void
release_unlisted_runs (DagState *dag, DagTarget *target, const DagInventory *inventory,
                       int64_t sent_at, int64_t now_ms)
{
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    bool proven_over = false;
    bool not_started = false;
    switch (task->state) {
    case TASK_RUNNING:
      proven_over = sent_at > task->confirmed_at;
      break;
    case TASK_ADOPTED:
      /* The hold carried the fencing token of this term, so the target now refuses starts of
         earlier terms. */
      proven_over = true;
      break;
    case TASK_STOPPING:
      proven_over = task->stop_acked_at > 0 && sent_at >= task->stop_acked_at;
      break;
    case TASK_STARTING:
      not_started = !task->start_open && sent_at >= task->start_lost_at;
      break;
    case TASK_WAITING:
    case TASK_ASSIGNED:
    case TASK_DONE:
      break;
    }
    if ((!proven_over && !not_started) || is_reported (inventory, task))
      continue;
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
handle_failed_hold (DagState *dag, DagTarget *target, DagOrderResult result, int64_t now_ms)
{
  int64_t pause = HOLD_RETRY_MIN_MS;
  for (int i = 0; i < target->hold_failures && pause < HOLD_RETRY_MAX_MS; i++)
    pause *= 2;
  if (target->hold_failures++ == 0)
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=silent result=%s runs=%d",
             GR_NAME_ARG (target->info.id), dag_order_result_name (result), target->run_count);
  target->hold_retry_at = now_ms + pause;
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
  if (result == DAG_ORDER_GONE) {
    target->listed = false;
    release_all_runs (dag, target, "another target answered", now_ms);
    return;
  }
  if (result != DAG_ORDER_OK) {
    if (hold.sent_at >= target->hold_answered_at)
      handle_failed_hold (dag, target, result, now_ms);
    return;
  }
  if (hold.sent_at > target->hold_answered_at)
    target->hold_answered_at = hold.sent_at;
  if (inventory->incarnation > 0 && inventory->incarnation != target->info.incarnation) {
    if (inventory->incarnation < target->info.incarnation)
      return;
    if (target->info.incarnation > 0)
      handle_restart (dag, target, inventory->incarnation, now_ms);
    target->info.incarnation = inventory->incarnation;
  }
  if (target->hold_failures > 0) {
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=answers", GR_NAME_ARG (*id));
    dag->place_wanted = true;
  }
  target->hold_failures = 0;
  target->hold_retry_at = 0;
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
    process_report (dag, target, &inventory->running[i], now_ms);
  release_unlisted_runs (dag, target, inventory, hold.sent_at, now_ms);
  dag_pace_target (dag, target, now_ms);
  hold_if_due (dag, target, now_ms);
}

/* Stops runs that would be cut off when a draining target leaves. */
static void
stop_draining_runs (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (!target->info.draining || !target->listed || now_ms < target->drain_until - DRAIN_MARGIN_MS)
    return;
  for (DagTask *task = target->runs, *next; task; task = next) {
    next = task->target_next;
    if (task->state == TASK_RUNNING)
      dag_run_stop (dag, task, now_ms);
  }
}

static void
remove_target (DagState *dag, size_t at)
{
  DagTarget *target = dag->target_list.items[at];
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=forgotten", GR_NAME_ARG (target->info.id));
  dag_drop_target_refs (dag, target);
  HASH_DEL (dag->targets, target);
  gr_list_swap_remove (&dag->target_list, at);
  free (target);
}

void
dag_targets_tick (DagState *dag, int64_t now_ms)
{
  for (size_t i = dag->target_list.count; i-- > 0;) {
    DagTarget *target = dag->target_list.items[i];
    if (target->run_count > 0 && now_ms >= leases_lapse_at (dag, target)
        && !dag->options.broken_restart_before_lapse) {
      release_lapsed_runs (dag, target, now_ms);
    } else if (dag->options.broken_restart_before_lapse && target->hold_failures > 1) {
      release_all_runs (dag, target, "silence", now_ms);
    }
    if (!target->listed && target->run_count == 0 && target->hold_count == 0
        && target->end_processed <= target->acknowledged) {
      remove_target (dag, i);
      continue;
    }
    if (!target->listed && target->run_count == 0 && target->hold_failures > 3) {
      remove_target (dag, i);
      continue;
    }
    stop_draining_runs (dag, target, now_ms);
    hold_if_due (dag, target, now_ms);
  }
}
