/* Targets: the table of targets, their health, their leases, and when they are gone. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Lowest rate of a target's monotonic clock relative to the local one. */
#define CLOCK_RATE_MIN 0.98
/* Margin after the computed end of a lease before it counts as lapsed. */
#define LAPSE_MARGIN_MS 150
/* Failures of different jobs in a row after which a target is excluded from placement. The time
   doubles with each exclusion, from AVOID_MIN_MS to AVOID_MAX_MS. */
#define CONSECUTIVE_FAILURES_MAX 2
#define AVOID_MIN_MS 2000
#define AVOID_MAX_MS 16000
/* If the entry of a draining target was removed this soon after it was written, the target has
   withdrawn it. Entries of targets that stop reporting stay for three report intervals of 1.5 s.
   The time of the write is known to about a second. */
#define WITHDRAWN_ENTRY_MS 3500
/* A scheduler of an earlier term that did not know of a restart yet has learned of it within this
   time. */
#define RESTART_KNOWN_MS 30000
/* Bounds of the run time that counts for the stake of a run, and that of long-running tasks. */
#define STAKE_MIN_MS 100
#define STAKE_MAX_MS 60000
#define LONG_RUNNING_STAKE_MS 10000

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
  dag_speed_recall (dag, target);
  target->serial = ++dag->next_target_serial;
  target->leases_lapse_by = dag->options.former_leases_lapse_at_ms;
  HASH_ADD_KEYPTR (hh, dag->targets, target->info.id.data, target->info.id.len, target);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->target_list, target);
  return target;
}

void
dag_target_free (DagTarget *target)
{
  gr_list_clear (&target->lapsed);
  free (target);
}

DagTargetRef
dag_target_ref (const DagTarget *target)
{
  return (DagTargetRef){ target->info.id, target->info.address, target->info.zone,
                         dag_target_incarnation (target) };
}

int64_t
dag_target_incarnation (const DagTarget *target)
{
  return target->incarnation > target->info.incarnation ? target->incarnation
                                                        : target->info.incarnation;
}

int64_t
dag_target_lease_max_ms (const DagState *dag)
{
  return (int64_t) ((double) dag->options.lease_max_ms / CLOCK_RATE_MIN) + LAPSE_MARGIN_MS;
}

int64_t
dag_step_stake (const DagStep *step)
{
  int64_t run_ms = step->spec.long_running ? LONG_RUNNING_STAKE_MS : step->spec.estimate_ms;
  if (run_ms < STAKE_MIN_MS)
    run_ms = STAKE_MIN_MS;
  if (run_ms > STAKE_MAX_MS)
    run_ms = STAKE_MAX_MS;
  int64_t runs = step->spec.gang ? step->spec.count : 1;
  int64_t cores = step->spec.demand.v[GR_RES_CPU_MILLI] / 1000 + 1;
  return run_ms * runs * cores;
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
  target->stake += dag_step_stake (task->step);
  gr_res_add (&target->used, &need);
  dag_client_attach (task);
  task->on_trial = task->suspected;
  if (!task->on_trial)
    return;
  target->trials++;
  target->trial_job = task->step->job;
  task->step->job->trials++;
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
  target->trials -= task->on_trial;
  task->step->job->trials -= task->on_trial;
  task->on_trial = false;
  target->run_count--;
  target->stake -= dag_step_stake (task->step);
  gr_res_sub (&target->used, &need);
  dag_client_detach (task);
}

GrRes
dag_target_free_room (const DagTarget *target)
{
  GrRes room = target->info.capacity;
  gr_res_sub (&room, &target->used);
  return room;
}

int32_t
dag_target_free_cpu (const DagTarget *target)
{
  int32_t cpu = dag_target_free_room (target).v[GR_RES_CPU_MILLI];
  return cpu > 0 ? cpu : 0;
}

/* True if the newest entry is not that of an earlier incarnation, which may differ in all it says.
 */
static bool
is_entry_current (const DagTarget *target)
{
  return target->info.incarnation >= target->incarnation;
}

bool
dag_target_usable (const DagTarget *target, int64_t now_ms)
{
  return target->listed && target->inventoried && is_entry_current (target)
         && !target->info.draining && target->hold_failures == 0 && target->unknown_runs == 0
         && now_ms >= target->avoid_until;
}

void
dag_target_avoid (DagState *dag, DagTarget *target, const char *reason, int64_t now_ms)
{
  if (now_ms < target->avoid_until)
    return;
  target->avoid_ms = gr_backoff_next (target->avoid_ms, AVOID_MIN_MS, AVOID_MAX_MS);
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

/* Lowest time that the target's clock may show. */
static int64_t
target_clock_min (const DagTarget *target, int64_t now_ms)
{
  return target->clock_ms + (int64_t) ((double) (now_ms - target->clock_at) * CLOCK_RATE_MIN);
}

bool
dag_may_lease (const DagState *dag, int64_t now_ms)
{
  return now_ms < dag->lease_limit_ms;
}

int64_t
dag_target_lease (DagState *dag, DagTarget *target, int64_t now_ms)
{
  int64_t until = target_clock_min (target, now_ms) + dag->options.lease_ms;
  if (target->lease_sent < until)
    target->lease_sent = until;
  return until;
}

/* Local time at which every lease that the target can hold has lapsed. If it has not answered in
   this term and incarnation, only the leases of earlier ones count. */
static int64_t
leases_lapse_at (const DagTarget *target)
{
  if (!target->inventoried)
    return target->leases_lapse_by;
  int64_t left = target->lease_sent - target->clock_ms;
  if (left < 0)
    left = 0;
  return target->clock_at + (int64_t) ((double) left / CLOCK_RATE_MIN) + LAPSE_MARGIN_MS;
}

void
dag_target_release_all (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms)
{
  if (target->run_count > 0)
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=lost proof=%s runs=%d",
             GR_NAME_ARG (target->info.id), proof, target->run_count);
  while (target->runs)
    dag_run_release (dag, target->runs, now_ms);
}

/* True if the entry was written before the newest one of the target. */
static bool
is_outdated (const DagTarget *target, const DagTargetInfo *info)
{
  if (info->incarnation < dag_target_incarnation (target)
      || info->incarnation == target->superseded_incarnation)
    return true;
  return info->incarnation == target->info.incarnation && info->number > 0
         && info->number < target->info.number;
}

static void
log_capacity (const DagState *dag, const DagTarget *target, const GrRes *capacity)
{
  DAG_LOG (dag, GR_EV_TARGET_STATE,
           "target=%.*s state=resized cpu=%d memory=%d accelerators=%d used_cpu=%d used_memory=%d "
           "used_accelerators=%d",
           GR_NAME_ARG (target->info.id), capacity->v[GR_RES_CPU_MILLI],
           capacity->v[GR_RES_MEMORY_MB], capacity->v[GR_RES_ACCELERATORS],
           target->used.v[GR_RES_CPU_MILLI], target->used.v[GR_RES_MEMORY_MB],
           target->used.v[GR_RES_ACCELERATORS]);
}

/* A target that has started lately may have taken an order that was meant for its earlier
   incarnation: a lease on the former clock lasts as long as targets permit. */
static void
extend_former_leases (const DagState *dag, DagTarget *target, int64_t now_ms)
{
  int64_t started_at = target->info.incarnation - dag->options.unix_offset_ms;
  if (target->inventoried || now_ms - started_at >= RESTART_KNOWN_MS)
    return;
  int64_t lapse_by
      = dag->options.former_leases_lapse_at_ms
        + (int64_t) ((double) (dag->options.lease_max_ms - dag->options.lease_ms) / CLOCK_RATE_MIN);
  if (target->leases_lapse_by < lapse_by)
    target->leases_lapse_by = lapse_by;
}

/* An entry that is read again, in a listing, may come without the time of its write. */
static int64_t
entry_written_after (const DagTarget *target, const DagTargetInfo *info)
{
  bool known = info->number > 0 && info->number == target->info.number
               && info->incarnation == target->info.incarnation;
  return known && info->written_after_ms < target->info.written_after_ms
             ? target->info.written_after_ms
             : info->written_after_ms;
}

/* True if the target has removed its entry itself, as it does when it has left. A target that only
   stops reporting, for instance since it is cut off from the store, keeps its entry for longer. How
   soon the removal was read after the entry tells nothing: both are read at once after a pause. */
static bool
has_withdrawn (const DagTarget *target, int64_t removed_by_ms)
{
  return target->info.draining && target->info.written_after_ms > 0 && removed_by_ms > 0
         && removed_by_ms - target->info.written_after_ms < WITHDRAWN_ENTRY_MS;
}

/* True if the other target, which runs on the same VM, shows that this one has ended. Their start
   times are those of a clock that may have been set between them, so the other one may also be an
   earlier one whose entry is read again, or late after a takeover: a target that has answered since
   it appeared, or was not asked yet, is not taken as ended. */
static bool
is_replaced (const DagTarget *target, const DagTarget *other)
{
  if (!gr_name_equal (&target->info.vm, &other->info.vm)
      || dag_target_incarnation (target) >= other->info.incarnation)
    return false;
  if (target->hold_answered_at > other->appeared_at)
    return false;
  return target->inventoried || target->hold_failures > 0;
}

void
dag_target_seen (DagState *dag, const DagTargetInfo *info, int64_t now_ms)
{
  DagTarget *target = dag_target_create (dag, &info->id);
  if (is_outdated (target, info))
    return;
  int64_t known_incarnation = dag_target_incarnation (target);
  if (known_incarnation > 0 && info->incarnation > known_incarnation)
    dag_restart_notice (dag, target, now_ms);
  bool state_changed = !target->listed || target->info.draining != info->draining
                       || target->info.incarnation != info->incarnation;
  bool capacity_changed
      = target->listed
        && memcmp (&target->info.capacity, &info->capacity, sizeof info->capacity) != 0;
  if (capacity_changed)
    log_capacity (dag, target, &info->capacity);
  int64_t written_after_ms = entry_written_after (target, info);
  if (!gr_name_equal (&target->info.address, &info->address))
    target->address_serial++;
  if (target->info.incarnation != info->incarnation)
    target->appeared_at = now_ms;
  target->info = *info;
  target->info.written_after_ms = written_after_ms;
  extend_former_leases (dag, target, now_ms);
  target->listed = true;
  if (info->draining)
    target->drain_until = now_ms + info->remaining_ms;
  if (state_changed) {
    DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=%s zone=%.*s rack=%.*s remaining_ms=%lld",
             GR_NAME_ARG (info->id), info->draining ? "draining" : "ready",
             GR_NAME_ARG (info->zone), GR_NAME_ARG (info->rack), (long long) info->remaining_ms);
  }
  if (state_changed || capacity_changed)
    dag->place_wanted = true;
  if (info->vm.len > 0) {
    for (size_t i = 0; i < dag->target_list.count; i++) {
      DagTarget *other = dag->target_list.items[i];
      if (other == target || !is_replaced (other, target))
        continue;
      other->listed = false;
      dag_crash_handle (dag, other, "vm restarted", now_ms);
      if (other->crashed && target->vm_crashed_at == 0)
        target->vm_crashed_at = now_ms;
    }
  }
  dag_hold_if_due (dag, target, now_ms);
}

void
dag_target_unlisted (DagState *dag, const GrName *id, int64_t removed_by_ms, int64_t now_ms)
{
  DagTarget *target = dag_find_target (dag, id);
  if (!target || !target->listed)
    return;
  target->listed = false;
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=unlisted runs=%d", GR_NAME_ARG (*id),
           target->run_count);
  if (has_withdrawn (target, removed_by_ms))
    dag_target_release_all (dag, target, "left", now_ms);
}

static void
remove_target (DagState *dag, size_t at, int64_t now_ms)
{
  DagTarget *target = dag->target_list.items[at];
  /* Silence is no proof of a crash, however long it lasts. */
  DAG_LOG (dag, GR_EV_TARGET_STATE, "target=%.*s state=forgotten answered=%d silent_ms=%lld",
           GR_NAME_ARG (target->info.id), target->inventoried,
           (long long) (target->hold_failures > 0 ? now_ms - target->silent_at : 0));
  dag_drop_target_refs (dag, target);
  dag_speed_remember (dag, &target->info.id, &target->speed);
  HASH_DEL (dag->targets, target);
  gr_list_swap_remove (&dag->target_list, at);
  dag_target_free (target);
}

void
dag_targets_tick (DagState *dag, int64_t now_ms)
{
  for (size_t i = dag->target_list.count; i-- > 0;) {
    DagTarget *target = dag->target_list.items[i];
    if (target->run_count > 0 && now_ms >= leases_lapse_at (target)
        && !dag->options.broken_restart_before_lapse) {
      dag_crash_handle_lapse (dag, target, now_ms);
    } else if (dag->options.broken_restart_before_lapse && target->hold_failures > 1) {
      dag_target_release_all (dag, target, "silence", now_ms);
    }
    bool unused
        = !target->listed && target->run_count == 0 && !dag_crash_awaits_news (target, now_ms);
    if (unused && target->hold_count == 0 && target->end_processed <= target->acknowledged) {
      remove_target (dag, i, now_ms);
      continue;
    }
    if (unused && target->hold_failures > 3) {
      remove_target (dag, i, now_ms);
      continue;
    }
    dag_hold_if_due (dag, target, now_ms);
  }
}
