/* Creation and step function of the scheduler. */
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
  s->long_slots_pct = options->long_slots_pct;
  sch_targets_init (&s->targets);
  return s;
}

/* Frees the entry and those that follow it with the same id. */
static void
free_entries (SchEntry *first)
{
  for (SchEntry *e = first, *next; e; e = next) {
    next = e->same_id;
    free (e);
  }
}

void
sch_free (SchState *s)
{
  if (!s)
    return;
  gr_hash_clear (s->entries, free_entries);
  free_entries (s->free_entries);
  gr_hash_clear (s->teams, free);
  gr_hash_clear (s->kinds, free);
  gr_hash_clear (s->gangs, free);
  sch_spread_clear (s);
  sch_health_clear (s);
  sch_queues_clear (s);
  sch_targets_clear (&s->targets);
  sch_ttl_set_clear (&s->cancelled);
  sch_ttl_set_clear (&s->ended);
  sch_ttl_set_clear (&s->orphaned);
  sch_ttl_set_clear (&s->failed_gangs);
  gr_list_clear (&s->freed);
  gr_list_clear (&s->preempting);
  gr_list_clear (&s->cooldown);
  gr_list_clear (&s->quarantined);
  gr_list_clear (&s->retry_teams);
  free (s);
}

/* Interval of the periodic work. */
#define PERIOD_MS 100

static void
run_periodic (SchState *s)
{
  if (s->now_ms < s->next_tick_ms)
    return;
  s->next_tick_ms = s->now_ms + PERIOD_MS;
  sch_ttl_set_expire (&s->cancelled, s->now_ms);
  sch_ttl_set_expire (&s->ended, s->now_ms);
  sch_ttl_set_expire (&s->orphaned, s->now_ms);
  sch_ttl_set_expire (&s->failed_gangs, s->now_ms);
  sch_health_tick (s);
  sch_target_update_long_share (s);
  if (s->aged)
    sch_reserve_aged (s);
  s->refill = true;
  s->gangs_dirty = true;
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
    sch_on_timer (s, e, out);
  run_periodic (s);
  switch (msg->kind) {
  case SCH_MSG_TICK:
    break;
  case SCH_MSG_LIMITS:
    sch_teams_limit (s, msg->limits.teams, msg->limits.count);
    s->refill = true;
    break;
  case SCH_MSG_TARGET_UP:
    sch_on_target_up (s, msg, out);
    break;
  case SCH_MSG_TARGET_LEAVING:
  case SCH_MSG_TARGET_DOWN:
    sch_on_target_state (s, msg, out);
    break;
  case SCH_MSG_TARGET_GONE:
    sch_on_target_gone (s, &msg->target.target, out);
    break;
  case SCH_MSG_SUBMIT:
    sch_on_submit (s, msg->submit, out);
    break;
  case SCH_MSG_CANCEL:
    sch_on_cancel (s, &msg->ref.id, out);
    break;
  case SCH_MSG_COMMIT:
  case SCH_MSG_RELEASE:
    sch_gang_resolve (s, &msg->ref.id, msg->ref.attempt, msg->kind == SCH_MSG_COMMIT, out);
    break;
  case SCH_MSG_START_RESULT:
    sch_on_start_result (s, &msg->start_result.id, msg->start_result.attempt,
                         msg->start_result.result, out);
    break;
  case SCH_MSG_ENDED:
    sch_on_ended (s, &msg->ended.id, msg->ended.attempt, msg->ended.end, msg->ended.run_ms, out);
    break;
  case SCH_MSG_USAGE:
    sch_on_usage (s, &msg->usage.id, msg->usage.attempt, &msg->usage.used, out);
    break;
  }
  sch_fill (s, out);
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
