/* Step function of the scheduler: one case for each message. */
#include "sch/sch.h"

#include "sch/sch_priv.h"

void
sch_options_defaults (SchOptions *options)
{
  *options = (SchOptions){
    .queue_max = 50000,
    .long_slots_pct = 50,
    .long_after_ms = 2000,
    .batch_share_pct = 90,
    .aging_ms = 30000,
    .seed = 1,
  };
}

SchState *
sch_new (const SchOptions *options, GrErr *err)
{
  const struct {
    const char *field;
    int64_t value, min, max;
  } checks[] = {
    { "queue_max", options->queue_max, 1, 10000000 },
    { "long_slots_pct", options->long_slots_pct, 1, 100 },
    { "long_after_ms", options->long_after_ms, 1, INT32_MAX },
    { "batch_share_pct", options->batch_share_pct, 1, 100 },
    { "aging_ms", options->aging_ms, 1, INT32_MAX },
  };
  for (size_t i = 0; i < sizeof checks / sizeof checks[0]; i++) {
    if (checks[i].value < checks[i].min || checks[i].value > checks[i].max) {
      gr_err_set (err, GR_ERR_INVALID, checks[i].field, "%lld is not in %lld..%lld",
                  (long long) checks[i].value, (long long) checks[i].min,
                  (long long) checks[i].max);
      return NULL;
    }
  }
  SchState *s = gr_calloc (1, sizeof *s);
  s->options = *options;
  s->last_target = -1;
  sch_targets_init (&s->targets);
  return s;
}

void
sch_free (SchState *s)
{
  if (!s)
    return;
  SchEntry *first, *next_first;
  HASH_ITER (hh, s->entries, first, next_first)
  {
    HASH_DEL (s->entries, first);
    for (SchEntry *e = first, *next; e; e = next) {
      next = e->same_id;
      free (e);
    }
  }
  for (SchEntry *e = s->spare, *next; e; e = next) {
    next = e->same_id;
    free (e);
  }
  SchTeam *team, *next_team;
  HASH_ITER (hh, s->teams, team, next_team)
  {
    HASH_DEL (s->teams, team);
    free (team);
  }
  SchKind *kind, *next_kind;
  HASH_ITER (hh, s->kinds, kind, next_kind)
  {
    HASH_DEL (s->kinds, kind);
    free (kind);
  }
  sch_queues_clear (s);
  sch_targets_clear (&s->targets);
  sch_marks_clear (&s->cancelled);
  sch_marks_clear (&s->ended);
  gr_list_clear (&s->freed);
  free (s);
}

/* Larger of the declared and the seen size, unless no target or quota part could hold that. */
static void
set_reserve (const SchState *s, SchEntry *e)
{
  GrRes larger = e->task.demand;
  GrResDim dim;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (e->kind->seen.v[d] > larger.v[d])
      larger.v[d] = e->kind->seen.v[d];
  }
  bool fits = sch_targets_could_fit (&s->targets, &larger, &dim);
  e->reserve = fits ? larger : e->task.demand;
}

static SchEntry *
add_entry (SchState *s, const SchTask *task)
{
  SchEntry *e = sch_entry_new (s, task);
  e->team = sch_team_get (s, &task->team);
  e->kind = sch_kind_get (s, task);
  e->submit_ms = s->now_ms;
  set_reserve (s, e);
  sch_classify (s, e);
  int64_t deadline = task->deadline_ms;
  e->latest_ms = deadline > 0 ? deadline - e->run_ms : INT64_MAX;
  return e;
}

static void
submit (SchState *s, const SchTask *task, SchCmds *out)
{
  uint64_t attempt = sch_attempt_hash (&task->id, task->attempt);
  if (sch_marked (&s->ended, attempt) || sch_entry_find (s, &task->id, task->attempt))
    return;
  SchEntry *e = add_entry (s, task);
  GrResDim dim = GR_RES_CPU_MILLI;
  if (sch_marked (&s->cancelled, gr_name_hash (&task->id, 0))) {
    sch_refuse (s, e, SCH_WHY_CANCELLED, dim, out);
  } else if (s->queued >= s->options.queue_max) {
    sch_refuse (s, e, SCH_WHY_QUEUE_FULL, dim, out);
  } else if (s->targets.shapes.count == 0) {
    sch_refuse (s, e, SCH_WHY_NO_TARGET, dim, out);
  } else if (!sch_targets_could_fit (&s->targets, &e->reserve, &dim)) {
    sch_refuse (s, e, SCH_WHY_NEVER_FITS, dim, out);
  } else if (s->now_ms >= e->latest_ms) {
    sch_refuse (s, e, SCH_WHY_DEADLINE, dim, out);
  } else {
    sch_queue_push (s, e);
    if (e->queue->head == e && sch_try_place (s, e, out))
      return;
    if (e->latest_ms < INT64_MAX)
      sch_timer_set (s, e, e->latest_ms);
  }
}

static void
cancel (SchState *s, const GrName *id, SchCmds *out)
{
  if (!s->options.faults.no_cancel_mark)
    sch_mark (&s->cancelled, gr_name_hash (id, 0), s->now_ms);
  for (SchEntry *e = sch_entry_first (s, id), *next; e; e = next) {
    next = e->same_id;
    switch (e->phase) {
    case SCH_PHASE_QUEUED:
    case SCH_PHASE_HELD:
      sch_refuse (s, e, SCH_WHY_CANCELLED, GR_RES_CPU_MILLI, out);
      break;
    case SCH_PHASE_STARTING:
    case SCH_PHASE_RUNNING:
      if (!e->cancelled) {
        e->cancelled = true;
        e->stop_why = SCH_WHY_CANCELLED;
        sch_emit (out, SCH_CMD_STOP, e, SCH_WHY_CANCELLED);
        out->items[out->count - 1].target = s->targets.name[e->target]->name;
      }
      break;
    }
  }
}

static void
start_result (SchState *s, const GrName *id, int32_t attempt, SchStartResult result, SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, id, attempt);
  if (!e || e->phase != SCH_PHASE_STARTING)
    return;
  switch (result) {
  case SCH_START_TAKEN:
    e->phase = SCH_PHASE_RUNNING;
    break;
  case SCH_START_REFUSED:
    /* Another target could take it, but a late copy of this answer would then count for that
       start; the owner of the job decides on a next attempt. */
    sch_refuse (s, e, e->cancelled ? SCH_WHY_CANCELLED : SCH_WHY_TARGET_REFUSED, GR_RES_CPU_MILLI,
                out);
    break;
  case SCH_START_UNKNOWN:
    break;
  }
}

static void
ended (SchState *s, const GrName *id, int32_t attempt, SchEnd end, int64_t run_ms, SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, id, attempt);
  if (!e) {
    bool again = s->options.faults.no_release_on_duplicate_end_check && s->last_target >= 0
                 && sch_marked (&s->ended, sch_attempt_hash (id, attempt));
    if (again) {
      gr_res_sub (&s->targets.reserved[s->last_target], &s->last_reserve);
      gr_res_add (&s->targets.free[s->last_target], &s->last_reserve);
    }
    return;
  }
  if (end == SCH_END_SUCCEEDED && run_ms >= 0)
    sch_kind_ran (e->kind, run_ms);
  sch_end (s, e, end, out);
}

/* A running task of the inventory takes its reservation, whatever the target has free. */
static void
adopt (SchState *s, int32_t i, const SchTask *task)
{
  SchEntry *e = sch_entry_find (s, &task->id, task->attempt);
  if (!e) {
    if (sch_marked (&s->ended, sch_attempt_hash (&task->id, task->attempt)))
      return;
    e = add_entry (s, task);
    e->reserve = task->demand;
  }
  if (e->target < 0) {
    sch_queue_remove (s, e);
    sch_timer_clear (s, e);
    sch_target_take (s, i, e);
    e->start_ms = s->now_ms;
    s->running++;
  } else if (e->phase == SCH_PHASE_HELD) {
    s->running++;
  }
  sch_timer_clear (s, e);
  e->phase = SCH_PHASE_RUNNING;
}

static void
target_up (SchState *s, const SchMsg *msg, SchCmds *out)
{
  SchTargets *t = &s->targets;
  int32_t i = sch_target_find (t, &msg->target.target);
  if (i < 0)
    i = sch_target_add (t, &msg->target.target);
  t->group[i] = (uint32_t) gr_name_hash (&msg->target.group, 0);
  t->zone[i] = (uint32_t) gr_name_hash (&msg->target.zone, 0);
  /* A target that leaves never comes back under its name; see SCH_MSG_TARGET_GONE. */
  uint8_t kept = t->flags[i] & (SCH_TARGET_LEAVES | SCH_TARGET_QUARANTINED);
  sch_target_set (t, i, &msg->target.capacity, kept | SCH_TARGET_UP);
  for (size_t k = 0; k < msg->target.count; k++) {
    const SchInventoryTask *item = &msg->target.tasks[k];
    const GrName *id = &item->task.id;
    if (item->running) {
      adopt (s, i, &item->task);
    } else if (sch_entry_find (s, id, item->task.attempt)) {
      ended (s, id, item->task.attempt, item->end, -1, out);
    } else if (!sch_marked (&s->ended, sch_attempt_hash (id, item->task.attempt))) {
      SchEntry *e = add_entry (s, &item->task);
      sch_end (s, e, item->end, out);
    }
  }
  gr_list_push (&s->freed, i);
}

static void
target_state (SchState *s, const SchMsg *msg)
{
  SchTargets *t = &s->targets;
  int32_t i = sch_target_find (t, &msg->target.target);
  if (msg->kind == SCH_MSG_TARGET_LEAVING) {
    if (i < 0)
      i = sch_target_add (t, &msg->target.target);
    GrRes total = t->total[i];
    sch_target_set (t, i, &total, t->flags[i] | SCH_TARGET_LEAVES);
  } else if (i >= 0) {
    GrRes total = t->total[i];
    sch_target_set (t, i, &total, t->flags[i] & (uint8_t) ~SCH_TARGET_UP);
  }
}

/* The tasks go on under the next owner, so nothing is reported for them. */
static void
target_gone (SchState *s, const GrName *name)
{
  int32_t i = sch_target_find (&s->targets, name);
  if (i < 0)
    return;
  while (s->targets.tasks[i]) {
    SchEntry *e = s->targets.tasks[i];
    s->running -= e->phase != SCH_PHASE_HELD;
    sch_timer_clear (s, e);
    sch_target_give_back (s, e);
    sch_entry_free (s, e);
  }
  sch_target_remove (&s->targets, i);
}

static void
gang (SchState *s, const GrName *job, bool commit, SchCmds *out)
{
  (void) s;
  (void) job;
  (void) commit;
  (void) out;
}

static void
timer (SchState *s, SchEntry *e, SchCmds *out)
{
  if (e->phase == SCH_PHASE_QUEUED)
    sch_refuse (s, e, SCH_WHY_DEADLINE, GR_RES_CPU_MILLI, out);
  else if (e->phase == SCH_PHASE_HELD)
    sch_refuse (s, e, SCH_WHY_HOLD_EXPIRED, GR_RES_CPU_MILLI, out);
}

void
sch_step (SchState *s, const SchMsg *msg, int64_t now_ms, SchCmds *out)
{
  if (now_ms > s->now_ms)
    s->now_ms = now_ms;
  if (s->timer_at == 0)
    s->timer_at = s->now_ms / SCH_TIMER_STEP_MS;
  SchEntry *e;
  while ((e = sch_timer_next (s)))
    timer (s, e, out);
  switch (msg->kind) {
  case SCH_MSG_TICK:
    sch_marks_expire (&s->cancelled, s->now_ms);
    sch_marks_expire (&s->ended, s->now_ms);
    s->refill = true;
    break;
  case SCH_MSG_LIMITS:
    sch_teams_limit (s, msg->limits.teams, msg->limits.count);
    s->refill = true;
    break;
  case SCH_MSG_TARGET_UP:
    target_up (s, msg, out);
    break;
  case SCH_MSG_TARGET_LEAVING:
  case SCH_MSG_TARGET_DOWN:
    target_state (s, msg);
    break;
  case SCH_MSG_TARGET_GONE:
    target_gone (s, &msg->target.target);
    break;
  case SCH_MSG_SUBMIT:
    submit (s, msg->submit, out);
    break;
  case SCH_MSG_CANCEL:
    cancel (s, &msg->ref.id, out);
    break;
  case SCH_MSG_COMMIT:
    gang (s, &msg->ref.id, true, out);
    break;
  case SCH_MSG_RELEASE:
    gang (s, &msg->ref.id, false, out);
    break;
  case SCH_MSG_START_RESULT:
    start_result (s, &msg->start_result.id, msg->start_result.attempt, msg->start_result.result,
                  out);
    break;
  case SCH_MSG_ENDED:
    ended (s, &msg->ended.id, msg->ended.attempt, msg->ended.end, msg->ended.run_ms, out);
    break;
  case SCH_MSG_USAGE:
    break;
  }
  for (size_t k = 0; k < s->freed.count; k++)
    sch_fill_target (s, s->freed.items[k], out);
  gr_list_reset (&s->freed);
  if (s->refill && s->queued > 0)
    sch_fill_all (s, out);
  s->refill = false;
}

size_t
sch_task_count (const SchState *s)
{
  return s->entry_count;
}

bool
sch_target_reserved (const SchState *s, const GrName *target, GrRes *reserved)
{
  int32_t i = sch_target_find (&s->targets, target);
  if (i < 0)
    return false;
  *reserved = s->targets.reserved[i];
  return true;
}

bool
sch_explain (const SchState *s, const GrName *id, SchWhy *why, GrResDim *dim)
{
  for (const SchEntry *e = sch_entry_first (s, id); e; e = e->same_id) {
    if (!e->queue)
      continue;
    *why = e->queue->why;
    *dim = e->queue->dim;
    return true;
  }
  return false;
}
