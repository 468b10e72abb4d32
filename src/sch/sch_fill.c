/* Order in which waiting tasks are placed when capacity or limits change. */
#include "sch/sch_priv.h"

/* Max tasks of one queue that are examined for a target: their sizes are similar, not equal. */
#define QUEUE_SCAN_MAX 4
/* Max queues tried in one sweep; the next sweep continues after them. */
#define SWEEP_QUEUES_MAX 64

/* Whether the head of queue a is served before that of queue b of the same class. */
static bool
served_before (const SchQueue *a, const SchQueue *b)
{
  if (a->head->aged != b->head->aged)
    return a->head->aged;
  if (a->key.priority != b->key.priority)
    return a->key.priority > b->key.priority;
  /* Batch and long work of a team does not count against its urgent, short and service work. */
  bool not_bulk = a->key.class <= SCH_CLASS_SERVICE;
  double share_a = not_bulk ? a->key.team->share_not_bulk : a->key.team->share;
  double share_b = not_bulk ? b->key.team->share_not_bulk : b->key.team->share;
  if (share_a != share_b)
    return share_a < share_b;
  if (a->key.class <= SCH_CLASS_SHORT && a->head->run_ms != b->head->run_ms)
    return a->head->run_ms < b->head->run_ms;
  return a->head->submit_ms < b->head->submit_ms;
}

/* First task of the queue, within QUEUE_SCAN_MAX, that may start on target i; NULL if none. */
static SchEntry *
find_startable (SchState *s, const SchQueue *queue, int32_t i)
{
  SchEntry *e = queue->head;
  for (int scanned = 0; e && scanned < QUEUE_SCAN_MAX; e = e->queue_next, scanned++) {
    SchWhy why;
    GrResDim dim;
    if (sch_target_allows (s, i, e) && sch_may_start (s, e, &why, &dim))
      return e;
  }
  return NULL;
}

/* Starts waiting tasks of the given classes on target i until no queue has one that may start. */
static void
fill_target (SchState *s, int32_t i, int first_class, int last_class, SchCmds *out)
{
  for (int c = first_class; c <= last_class; c++) {
    while (s->active[c].count > 0 && sch_target_usable (&s->targets, i)) {
      SchQueue *best = NULL;
      SchEntry *best_entry = NULL;
      for (size_t k = 0; k < s->active[c].count; k++) {
        SchQueue *queue = s->active[c].items[k];
        if (best && !served_before (queue, best))
          continue;
        SchEntry *e = find_startable (s, queue, i);
        if (e) {
          best = queue;
          best_entry = e;
        }
      }
      if (!best)
        break;
      bool for_holder = s->targets.reserved_for[i] == best_entry;
      bool backfill = s->targets.reserved_for[i] && !for_holder;
      sch_place_on (s, best_entry, i,
                    for_holder ? SCH_WHY_RESERVED
                    : backfill ? SCH_WHY_BACKFILL
                               : SCH_WHY_BEST_FIT,
                    out);
    }
  }
}

/* Starts the task for which target i is reserved, if it fits now. */
static void
serve_reservation (SchState *s, int32_t i, SchCmds *out)
{
  SchEntry *e = s->targets.reserved_for[i];
  SchWhy why;
  GrResDim dim;
  if (e && !e->gang && sch_target_allows (s, i, e) && sch_may_start (s, e, &why, &dim))
    sch_place_on (s, e, i, SCH_WHY_RESERVED, out);
}

/* Tries the heads of a team's queues that wait for its quota part. */
static void
retry_team (SchState *s, const SchTeam *team, SchCmds *out)
{
  for (int c = 0; c < SCH_CLASS_COUNT; c++) {
    if (c == SCH_CLASS_GANG)
      continue;
    for (size_t k = s->active[c].count; k-- > 0;) {
      SchQueue *queue = s->active[c].items[k];
      if (queue->key.team == team && queue->why == SCH_WHY_QUOTA)
        sch_try_place (s, queue->head, out);
    }
  }
}

/* Tries the head of the queue that is served first among those of long work, then among those of
   batch work, after some of their common share became free. */
static void
retry_bulk (SchState *s, SchCmds *out)
{
  for (int c = SCH_CLASS_LONG; c <= SCH_CLASS_BATCH; c++) {
    SchQueue *best = NULL;
    for (size_t k = 0; k < s->active[c].count; k++) {
      if (!best || served_before (s->active[c].items[k], best))
        best = s->active[c].items[k];
    }
    if (best)
      sch_try_place (s, best->head, out);
  }
}

/* Tries the heads of up to SWEEP_QUEUES_MAX queues on any target, round-robin over steps. */
static void
sweep (SchState *s, SchCmds *out)
{
  size_t total = 0;
  for (int c = 0; c < SCH_CLASS_COUNT; c++)
    total += c == SCH_CLASS_GANG ? 0 : s->active[c].count;
  size_t skip = total > SWEEP_QUEUES_MAX ? s->queue_cursor % total : 0;
  size_t tries = 0;
  s->queue_cursor = skip + SWEEP_QUEUES_MAX;
  for (int c = 0; c < SCH_CLASS_COUNT && tries < SWEEP_QUEUES_MAX; c++) {
    if (c == SCH_CLASS_GANG)
      continue;
    if (skip >= s->active[c].count) {
      skip -= s->active[c].count;
      continue;
    }
    size_t end = s->active[c].count - skip;
    skip = 0;
    for (size_t k = end; k-- > 0 && tries < SWEEP_QUEUES_MAX; tries++) {
      /* A queue that becomes empty is replaced by the last one, which was already tried. */
      if (k < s->active[c].count)
        sch_try_place (s, s->active[c].items[k]->head, out);
    }
  }
}

void
sch_fill (SchState *s, SchCmds *out)
{
  if (s->queued > 0) {
    for (size_t k = 0; k < s->freed.count; k++) {
      int32_t i = s->freed.items[k];
      if (!sch_target_usable (&s->targets, i))
        continue;
      serve_reservation (s, i, out);
      fill_target (s, i, SCH_CLASS_URGENT, SCH_CLASS_SERVICE, out);
    }
    if (s->gangs_dirty || s->freed.count > 0)
      sch_gangs_place (s, out);
    for (size_t k = 0; k < s->freed.count; k++)
      fill_target (s, s->freed.items[k], SCH_CLASS_LONG, SCH_CLASS_BATCH, out);
    if (s->bulk_blocked && s->bulk_freed) {
      s->bulk_blocked = false;
      retry_bulk (s, out);
    }
  }
  for (size_t k = 0; k < s->retry_teams.count; k++) {
    SchTeam *team = s->retry_teams.items[k];
    team->in_retry_teams = false;
    team->quota_blocked = false;
    if (s->queued > 0)
      retry_team (s, team, out);
  }
  if (s->refill && s->queued > 0)
    sweep (s, out);
  gr_list_reset (&s->freed);
  gr_list_reset (&s->retry_teams);
  s->bulk_freed = false;
  s->gangs_dirty = false;
  s->refill = false;
}
