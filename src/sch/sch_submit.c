/* Messages about one task: submit, cancel, start result, end and usage. */
#include "sch/sch_priv.h"

/* Sets the reservation to the larger of the declared demand and the peak use of the kind, if some
   target and the team's quota part could hold that; otherwise to the declared demand. */
static void
set_reserve (const SchState *s, SchEntry *e)
{
  GrRes larger = e->task.demand;
  GrResDim dim;
  bool grown = false;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (e->kind->peak_used.v[d] > larger.v[d]) {
      larger.v[d] = e->kind->peak_used.v[d];
      grown = true;
    }
  }
  bool usable = grown && sch_targets_could_fit (&s->targets, &larger, &dim)
                && sch_team_could_allow (s, e->team, &larger, &dim);
  e->reserve = usable ? larger : e->task.demand;
}

SchEntry *
sch_add_entry (SchState *s, const SchTask *task)
{
  SchEntry *e = sch_entry_new (s, task);
  e->team = sch_team_get (s, &task->team);
  e->kind = sch_kind_get (s, task);
  e->avoid_target = task->attempt > 1 ? sch_health_last_failed_target (s, &task->job) : -1;
  e->submit_ms = s->now_ms;
  set_reserve (s, e);
  sch_classify (s, e);
  /* Nine of ten tasks that start by then end before the deadline; most later starts would miss it
     and waste their capacity. */
  e->latest_start_ms = task->deadline_ms > 0 ? task->deadline_ms - e->run_p90_ms : INT64_MAX;
  return e;
}

void
sch_set_wait_timer (SchState *s, SchEntry *e)
{
  int64_t at_ms = e->latest_start_ms;
  int64_t age_ms = e->submit_ms + s->options.aging_ms;
  if (!e->aged && !s->options.faults.no_aging && age_ms < at_ms)
    at_ms = age_ms;
  if (e->gang && e->task.policy.gang.hold_deadline_ms < at_ms)
    at_ms = e->task.policy.gang.hold_deadline_ms;
  if (at_ms < INT64_MAX)
    sch_timer_set (s, e, at_ms);
}

/* Whether the gang, once all of its parts are submitted, exceeds its team's quota part; sets *why
   and *dim. */
static bool
gang_never_fits (const SchState *s, const SchGang *gang, SchWhy *why, GrResDim *dim)
{
  if (gang->waiting + gang->held < gang->tasks)
    return false;
  const GrRes *quota = &gang->parts->team->quota;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int64_t need = 0;
    for (const SchEntry *part = gang->parts; part; part = part->gang_next)
      need += part->reserve.v[d];
    *dim = (GrResDim) d;
    *why = SCH_WHY_QUOTA;
    if (quota->v[d] > 0 && need > quota->v[d] && !s->options.faults.no_quota_check)
      return true;
  }
  return false;
}

/* Whether e cannot start in time, given the expected wait of urgent and short work. */
static bool
misses_deadline (const SchState *s, const SchEntry *e)
{
  if (e->latest_start_ms == INT64_MAX)
    return false;
  bool slots = e->reserve.v[GR_RES_SLOTS] > 0;
  bool ordered_by_run_time = e->class <= SCH_CLASS_SHORT;
  /* Half of the expected wait: some of the work ahead expires, and a wrong refusal loses a
     request. */
  int64_t wait_ms = ordered_by_run_time ? sch_queue_wait_ms (s, slots, e->run_ms) / 2 : 0;
  return s->now_ms + wait_ms >= e->latest_start_ms;
}

/* Admission control: refuses a task that cannot start here. */
static bool
refuse_on_arrival (SchState *s, SchEntry *e, SchCmds *out)
{
  const SchTask *task = &e->task;
  GrResDim dim = GR_RES_CPU_MILLI;
  SchWhy why;
  if (sch_ttl_set_contains (&s->cancelled, gr_name_hash (&task->id, 0)))
    why = SCH_WHY_CANCELLED;
  else if (s->queued >= s->options.queue_max)
    why = SCH_WHY_QUEUE_FULL;
  else if (s->targets.shapes.count == 0)
    why = SCH_WHY_NO_TARGET;
  else if (!s->options.faults.no_capacity_check
           && !sch_targets_could_fit (&s->targets, &e->reserve, &dim))
    why = SCH_WHY_NEVER_FITS;
  else if (!sch_team_could_allow (s, e->team, &e->reserve, &dim))
    why = SCH_WHY_QUOTA;
  else if (misses_deadline (s, e))
    why = SCH_WHY_DEADLINE;
  else if (e->gang
           && (sch_ttl_set_contains (&s->failed_gangs, e->gang->key)
               || s->now_ms >= task->policy.gang.hold_deadline_ms))
    why = SCH_WHY_HOLD_EXPIRED;
  else if (!e->gang || !gang_never_fits (s, e->gang, &why, &dim))
    return false;
  sch_refuse (s, e, why, dim, out);
  return true;
}

/* A submitted task is tried at once if its queue holds at most this many tasks, itself included. */
#define TRY_QUEUE_MAX 4

void
sch_on_submit (SchState *s, const SchTask *task, SchCmds *out)
{
  uint64_t attempt = sch_attempt_hash (&task->id, task->attempt);
  if (sch_ttl_set_contains (&s->ended, attempt) || sch_ttl_set_contains (&s->orphaned, attempt)
      || sch_entry_find (s, &task->id, task->attempt))
    return;
  SchEntry *e = sch_add_entry (s, task);
  if (task->policy.kind == SCH_POLICY_GANG)
    sch_gang_join (s, e);
  if (refuse_on_arrival (s, e, out))
    return;
  sch_queue_push (s, e);
  if (!e->gang && e->queue->count <= TRY_QUEUE_MAX && sch_try_place (s, e, out))
    return;
  if (!e->gang && e->queue->count > TRY_QUEUE_MAX)
    sch_preempt_for (s, e, out);
  sch_set_wait_timer (s, e);
}

void
sch_on_cancel (SchState *s, const GrName *id, SchCmds *out)
{
  if (!s->options.faults.no_cancel_mark)
    sch_ttl_set_add (&s->cancelled, gr_name_hash (id, 0), s->now_ms);
  for (SchEntry *e = sch_entry_first (s, id), *next; e; e = next) {
    next = e->same_id;
    switch (e->phase) {
    case SCH_PHASE_QUEUED:
    case SCH_PHASE_HELD:
      sch_refuse (s, e, SCH_WHY_CANCELLED, GR_RES_CPU_MILLI, out);
      break;
    case SCH_PHASE_STARTING:
    case SCH_PHASE_RUNNING:
      if (!e->stopping)
        sch_stop (s, e, SCH_WHY_CANCELLED, out);
      break;
    }
  }
}

void
sch_on_start_result (SchState *s, const GrName *id, int32_t attempt, SchStartResult result,
                     SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, id, attempt);
  if (!e || e->phase != SCH_PHASE_STARTING)
    return;
  switch (result) {
  case SCH_START_TAKEN:
    e->phase = SCH_PHASE_RUNNING;
    /* The stop may have reached the target before the start did. */
    if (e->stopping)
      sch_stop (s, e, e->stop_why, out);
    break;
  case SCH_START_REFUSED:
    /* The attempt is not started on another target: a late duplicate of this answer would count as
       the answer to that start. The owner of the job decides on a next attempt. */
    sch_health_refused_start (s, e->target);
    sch_refuse (s, e, e->stopping ? e->stop_why : SCH_WHY_TARGET_REFUSED, GR_RES_CPU_MILLI, out);
    break;
  case SCH_START_UNKNOWN:
    break;
  }
}

void
sch_on_ended (SchState *s, const GrName *id, int32_t attempt, SchEnd end, int64_t run_ms,
              SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, id, attempt);
  if (!e) {
    if (s->options.faults.no_duplicate_end_check && s->last_target >= 0
        && sch_ttl_set_contains (&s->ended, sch_attempt_hash (id, attempt))) {
      gr_res_sub (&s->targets.reserved[s->last_target], &s->last_reserve);
      gr_res_add (&s->targets.free[s->last_target], &s->last_reserve);
    }
    return;
  }
  if (end == SCH_END_SUCCEEDED && run_ms >= 0)
    sch_kind_add_run (e->kind, run_ms);
  sch_health_ended (s, e, end, out);
  sch_end (s, e, end, out);
}

void
sch_on_usage (SchState *s, const GrName *id, int32_t attempt, const GrRes *used, SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, id, attempt);
  if (!e || e->target < 0 || e->phase == SCH_PHASE_HELD)
    return;
  sch_kind_add_usage (e->kind, used);
  GrRes more = { { 0 } };
  bool grows = false;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (used->v[d] > e->reserve.v[d]) {
      more.v[d] = used->v[d] - e->reserve.v[d];
      grows = true;
    }
  }
  GrResDim dim;
  if (!grows || e->stopping)
    return;
  if (gr_res_fits (&more, &s->targets.free[e->target]) && sch_team_allows (s, e->team, &more, &dim))
    sch_target_grow (s, e, &more);
  else
    sch_stop (s, e, SCH_WHY_OVERRUN, out);
}

void
sch_on_timer (SchState *s, SchEntry *e, SchCmds *out)
{
  switch (e->phase) {
  case SCH_PHASE_QUEUED:
    if (e->gang && s->now_ms >= e->task.policy.gang.hold_deadline_ms) {
      sch_refuse (s, e, SCH_WHY_HOLD_EXPIRED, GR_RES_CPU_MILLI, out);
    } else if (s->now_ms >= e->latest_start_ms) {
      sch_refuse (s, e, SCH_WHY_DEADLINE, GR_RES_CPU_MILLI, out);
    } else {
      sch_mark_aged (s, e);
      sch_set_wait_timer (s, e);
    }
    break;
  case SCH_PHASE_HELD:
    sch_refuse (s, e, SCH_WHY_HOLD_EXPIRED, GR_RES_CPU_MILLI, out);
    break;
  case SCH_PHASE_STARTING:
  case SCH_PHASE_RUNNING:
    if (e->stopping) {
      sch_stop (s, e, e->stop_why, out);
    } else {
      sch_target_mark_long (s, e);
      sch_kind_add_run (e->kind, s->options.long_after_ms);
    }
    break;
  }
}
