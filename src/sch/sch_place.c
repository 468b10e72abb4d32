/* Starts, refusals, stops and ends of tasks. */
#include "sch/sch_priv.h"

/* SCH_CMD_STOP is repeated at this interval until the task's end is reported. */
#define STOP_RETRY_MS 5000

SchCmd *
sch_emit (SchCmds *out, SchCmdKind kind, const SchEntry *e, SchWhy why)
{
  SchCmd cmd = { .kind = kind, .id = e->task.id, .attempt = e->task.attempt, .why = why };
  gr_list_push (out, cmd);
  return &out->items[out->count - 1];
}

void
sch_drop (SchState *s, SchEntry *e)
{
  sch_timer_clear (s, e);
  sch_queue_remove (s, e);
  sch_gang_leave (s, e);
  if (e->target >= 0) {
    SchHealth *health = &s->targets.health[e->target];
    if (health->probe == e)
      health->probe = NULL;
    s->running -= e->phase != SCH_PHASE_HELD;
    sch_target_release (s, e);
  }
  sch_kind_release (e->kind);
  sch_entry_free (s, e);
}

/* Removes the entry; later messages about this attempt are recognised as duplicates. */
static void
finish (SchState *s, SchEntry *e)
{
  sch_ttl_set_add (&s->ended, sch_attempt_hash (&e->task.id, e->task.attempt), s->now_ms);
  sch_drop (s, e);
}

void
sch_refuse (SchState *s, SchEntry *e, SchWhy why, GrResDim dim, SchCmds *out)
{
  SchGang *gang = e->gang;
  bool other_parts = gang && gang->parts->gang_next;
  sch_emit (out, SCH_CMD_REFUSED, e, why)->dim = dim;
  if (gang)
    sch_ttl_set_add (&s->failed_gangs, gang->key, s->now_ms);
  finish (s, e);
  if (other_parts)
    sch_gang_fail (s, gang, why == SCH_WHY_CANCELLED ? why : SCH_WHY_HOLD_EXPIRED, out);
}

void
sch_end (SchState *s, SchEntry *e, SchEnd end, SchCmds *out)
{
  SchGang *gang = e->gang;
  bool other_parts = gang && gang->parts->gang_next;
  SchCmd *cmd = sch_emit (out, SCH_CMD_ENDED, e, e->stop_why);
  cmd->end = end;
  if (e->target >= 0) {
    cmd->target = s->targets.name[e->target]->name;
    s->last_target = e->target;
    s->last_reserve = e->reserve;
  }
  finish (s, e);
  /* If a part ends before the commit, the gang can no longer start as a whole. */
  if (other_parts)
    sch_gang_fail (s, gang, SCH_WHY_HOLD_EXPIRED, out);
}

void
sch_stop (SchState *s, SchEntry *e, SchWhy why, SchCmds *out)
{
  if (!e->stopping) {
    e->stopping = true;
    gr_res_add (&s->targets.releasing[e->target], &e->reserve);
    e->stop_why = why;
  }
  sch_emit (out, SCH_CMD_STOP, e, e->stop_why)->target = s->targets.name[e->target]->name;
  sch_timer_set (s, e, s->now_ms + STOP_RETRY_MS);
}

/* Whether e fits into the share of the cell that batch and long work may hold together; the rest is
   kept for short work. */
static bool
within_bulk_share (const SchState *s, const SchEntry *e)
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

bool
sch_may_start (SchState *s, const SchEntry *e, SchWhy *why, GrResDim *dim)
{
  if (!sch_team_allows (s, e->team, &e->reserve, dim)) {
    *why = SCH_WHY_QUOTA;
    e->team->quota_blocked = true;
    return false;
  }
  *why = SCH_WHY_NO_TARGET;
  if (within_bulk_share (s, e))
    return true;
  s->bulk_blocked = true;
  return false;
}

int32_t
sch_pick_target (SchState *s, const SchEntry *e, SchWhy *why)
{
  int32_t i = sch_health_probe (s, e);
  if (i >= 0) {
    *why = SCH_WHY_PROBE;
    return i;
  }
  if (e->reserved_target >= 0 && sch_target_allows (s, e->reserved_target, e)) {
    *why = SCH_WHY_RESERVED;
    return e->reserved_target;
  }
  *why = SCH_WHY_SPREAD;
  if (e->task.policy.kind == SCH_POLICY_SERVICE)
    i = sch_spread_pick (s, e);
  if (i >= 0)
    return i;
  i = sch_index_best_fit (s, e);
  *why = i >= 0 && s->targets.reserved_for[i] ? SCH_WHY_BACKFILL : SCH_WHY_BEST_FIT;
  return i;
}

void
sch_start (SchState *s, SchEntry *e, SchWhy why, SchCmds *out)
{
  e->phase = SCH_PHASE_STARTING;
  e->start_ms = s->now_ms;
  s->running++;
  SchCmd *cmd = sch_emit (out, SCH_CMD_START, e, why);
  cmd->target = s->targets.name[e->target]->name;
  cmd->task = &e->task;
  /* A request classified as short counts as long work once it has run for long_after_ms. */
  if (!e->is_long && e->task.policy.kind == SCH_POLICY_REQUEST)
    sch_timer_set (s, e, s->now_ms + s->options.long_after_ms);
  else
    sch_timer_clear (s, e);
}

void
sch_place_on (SchState *s, SchEntry *e, int32_t target, SchWhy why, SchCmds *out)
{
  if (s->targets.reserved_for[target] && s->targets.reserved_for[target] != e)
    s->targets.backfills[target]++;
  sch_queue_remove (s, e);
  sch_target_assign (s, target, e);
  if (why == SCH_WHY_PROBE)
    s->targets.health[target].probe = e;
  if (e->gang) {
    e->phase = SCH_PHASE_HELD;
    e->start_ms = s->now_ms;
    e->gang->waiting--;
    e->gang->held++;
    sch_emit (out, SCH_CMD_HELD, e, why)->target = s->targets.name[target]->name;
    sch_timer_set (s, e, e->task.policy.gang.hold_deadline_ms);
  } else {
    sch_start (s, e, why, out);
  }
}

bool
sch_try_place (SchState *s, SchEntry *e, SchCmds *out)
{
  SchWhy why;
  GrResDim dim = GR_RES_CPU_MILLI;
  if (sch_may_start (s, e, &why, &dim)) {
    int32_t target = sch_pick_target (s, e, &why);
    if (target >= 0) {
      sch_place_on (s, e, target, why, out);
      return true;
    }
    why = SCH_WHY_NO_TARGET;
    sch_preempt_for (s, e, out);
  }
  if (e->queue) {
    e->queue->why = why;
    e->queue->dim = dim;
  }
  return false;
}
