/* Starting, refusing and ending tasks, and the order in which waiting work is served. */
#include "sch/sch_priv.h"

void
sch_emit (SchCmds *out, SchCmdKind kind, const SchEntry *e, SchWhy why)
{
  SchCmd cmd = { .kind = kind, .id = e->task.id, .attempt = e->task.attempt, .why = why };
  gr_list_push (out, cmd);
}

static SchCmd *
last_cmd (SchCmds *out)
{
  return &out->items[out->count - 1];
}

/* Takes the task out of every list and forgets it. */
static void
drop (SchState *s, SchEntry *e)
{
  sch_timer_clear (s, e);
  sch_queue_remove (s, e);
  if (e->target >= 0) {
    s->running -= e->phase != SCH_PHASE_HELD;
    sch_target_give_back (s, e);
  }
  sch_mark (&s->ended, sch_attempt_hash (&e->task.id, e->task.attempt), s->now_ms);
  sch_entry_free (s, e);
}

void
sch_refuse (SchState *s, SchEntry *e, SchWhy why, GrResDim dim, SchCmds *out)
{
  sch_emit (out, SCH_CMD_REFUSED, e, why);
  last_cmd (out)->dim = dim;
  drop (s, e);
}

void
sch_end (SchState *s, SchEntry *e, SchEnd end, SchCmds *out)
{
  sch_emit (out, SCH_CMD_ENDED, e, e->stop_why);
  last_cmd (out)->end = end;
  if (e->target >= 0) {
    last_cmd (out)->target = s->targets.name[e->target]->name;
    s->last_target = e->target;
    s->last_reserve = e->reserve;
  }
  drop (s, e);
}

static bool
bulk_allows (const SchState *s, const SchEntry *e)
{
  if (!e->bulk)
    return true;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int64_t share = (int64_t) s->targets.usable_total.v[d] * s->options.batch_share_pct / 100;
    if (e->reserve.v[d] > 0 && s->bulk_used.v[d] > 0
        && (int64_t) s->bulk_used.v[d] + e->reserve.v[d] > share)
      return false;
  }
  return true;
}

/* Checks that do not depend on the target. */
static bool
may_start (const SchState *s, const SchEntry *e, SchWhy *why, GrResDim *dim)
{
  if (!sch_team_allows (s, e->team, &e->reserve, dim)) {
    *why = SCH_WHY_QUOTA;
    return false;
  }
  *why = SCH_WHY_NO_TARGET;
  return bulk_allows (s, e);
}

static void
place_on (SchState *s, SchEntry *e, int32_t target, SchWhy why, SchCmds *out)
{
  sch_queue_remove (s, e);
  sch_timer_clear (s, e);
  sch_target_take (s, target, e);
  bool gang = e->task.policy.kind == SCH_POLICY_GANG;
  e->phase = gang ? SCH_PHASE_HELD : SCH_PHASE_STARTING;
  e->start_ms = s->now_ms;
  sch_emit (out, gang ? SCH_CMD_HELD : SCH_CMD_START, e, why);
  last_cmd (out)->target = s->targets.name[target]->name;
  last_cmd (out)->task = &e->task;
  if (gang)
    sch_timer_set (s, e, e->task.policy.gang.hold_deadline_ms);
  else
    s->running++;
}

bool
sch_try_place (SchState *s, SchEntry *e, SchCmds *out)
{
  SchWhy why;
  GrResDim dim = GR_RES_CPU_MILLI;
  if (may_start (s, e, &why, &dim)) {
    int32_t target = sch_target_pick (s, e);
    if (target >= 0) {
      place_on (s, e, target, SCH_WHY_BEST_FIT, out);
      return true;
    }
  }
  if (e->queue) {
    e->queue->why = why;
    e->queue->dim = dim;
  }
  return false;
}

/* Whether queue a is served before queue b of the same class. */
static bool
goes_before (const SchState *s, const SchQueue *a, const SchQueue *b)
{
  if (a->key.priority != b->key.priority)
    return a->key.priority > b->key.priority;
  if (a->key.team != b->key.team) {
    double share_a = sch_team_share (s, a->key.team);
    double share_b = sch_team_share (s, b->key.team);
    if (share_a != share_b)
      return share_a < share_b;
  }
  return a->head->submit_ms < b->head->submit_ms;
}

static SchEntry *
next_for_target (const SchState *s, int32_t i)
{
  for (int c = 0; c < SCH_CLASS_COUNT; c++) {
    SchQueue *best = NULL;
    for (size_t k = 0; k < s->active[c].count; k++) {
      SchQueue *queue = s->active[c].items[k];
      SchWhy why;
      GrResDim dim;
      if (!sch_target_allows (s, i, queue->head) || !may_start (s, queue->head, &why, &dim))
        continue;
      if (!best || goes_before (s, queue, best))
        best = queue;
    }
    if (best)
      return best->head;
  }
  return NULL;
}

void
sch_fill_target (SchState *s, int32_t i, SchCmds *out)
{
  SchEntry *e;
  while (s->queued > 0 && sch_target_usable (&s->targets, i) && (e = next_for_target (s, i)))
    place_on (s, e, i, SCH_WHY_BEST_FIT, out);
}

void
sch_fill_all (SchState *s, SchCmds *out)
{
  for (int c = 0; c < SCH_CLASS_COUNT; c++) {
    for (size_t k = 0; k < s->active[c].count;) {
      SchQueue *queue = s->active[c].items[k];
      size_t count = s->active[c].count;
      if (!sch_try_place (s, queue->head, out))
        k++;
      else if (s->active[c].count == count)
        continue;
    }
  }
}
