/* The order in which waiting work is served when capacity or limits change. */
#include "sch/sch_priv.h"

/* Tasks of one queue that are looked at: they are of similar size, but not equal. */
#define QUEUE_LOOKS 4
/* Queues tried on any target in one step; the next step goes on from there. */
#define SWEEP_QUEUES 64

/* Whether the head of queue a is served before that of queue b of the same class. */
static bool
goes_before (const SchQueue *a, const SchQueue *b)
{
  if (a->head->aged != b->head->aged)
    return a->head->aged;
  if (a->key.priority != b->key.priority)
    return a->key.priority > b->key.priority;
  /* Long work of a team does not put its short work behind that of other teams. */
  bool now = a->key.class <= SCH_CLASS_SERVICE;
  double share_a = now ? a->key.team->share_now : a->key.team->share;
  double share_b = now ? b->key.team->share_now : b->key.team->share;
  if (share_a != share_b)
    return share_a < share_b;
  if (a->key.class <= SCH_CLASS_SHORT && a->head->run_ms != b->head->run_ms)
    return a->head->run_ms < b->head->run_ms;
  return a->head->submit_ms < b->head->submit_ms;
}

static SchEntry *
startable (SchState *s, const SchQueue *queue, int32_t i)
{
  SchEntry *e = queue->head;
  for (int looks = 0; e && looks < QUEUE_LOOKS; e = e->queue_next, looks++) {
    SchWhy why;
    GrResDim dim;
    if (sch_target_allows (s, i, e) && sch_may_start (s, e, &why, &dim))
      return e;
  }
  return NULL;
}

static void
fill_target (SchState *s, int32_t i, int first_class, int last_class, SchCmds *out)
{
  for (int c = first_class; c <= last_class; c++) {
    while (s->active[c].count > 0 && sch_target_usable (&s->targets, i)) {
      SchQueue *best = NULL;
      SchEntry *best_entry = NULL;
      for (size_t k = 0; k < s->active[c].count; k++) {
        SchQueue *queue = s->active[c].items[k];
        if (best && !goes_before (queue, best))
          continue;
        SchEntry *e = startable (s, queue, i);
        if (e) {
          best = queue;
          best_entry = e;
        }
      }
      if (!best)
        break;
      bool own = s->targets.reserved_for[i] == best_entry;
      bool other = s->targets.reserved_for[i] && !own;
      sch_place_on (s, best_entry, i,
                    own     ? SCH_WHY_RESERVED
                    : other ? SCH_WHY_BACKFILL
                            : SCH_WHY_BEST_FIT,
                    out);
    }
  }
}

/* The task that a target keeps room for goes first there. */
static void
serve_reservation (SchState *s, int32_t i, SchCmds *out)
{
  SchEntry *e = s->targets.reserved_for[i];
  SchWhy why;
  GrResDim dim;
  if (e && !e->gang && sch_target_allows (s, i, e) && sch_may_start (s, e, &why, &dim))
    sch_place_on (s, e, i, SCH_WHY_RESERVED, out);
}

/* Tries the head of every queue of one team that waits for its quota part. */
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

/* Tries the best queues of long and batch work after some of their share was freed. */
static void
retry_bulk (SchState *s, SchCmds *out)
{
  for (int c = SCH_CLASS_LONG; c <= SCH_CLASS_BATCH; c++) {
    SchQueue *best = NULL;
    for (size_t k = 0; k < s->active[c].count; k++) {
      if (!best || goes_before (s->active[c].items[k], best))
        best = s->active[c].items[k];
    }
    if (best)
      sch_try_place (s, best->head, out);
  }
}

/* Tries the heads of some queues on any target, in turn. */
static void
sweep (SchState *s, SchCmds *out)
{
  size_t total = 0;
  for (int c = 0; c < SCH_CLASS_COUNT; c++)
    total += c == SCH_CLASS_GANG ? 0 : s->active[c].count;
  size_t skip = total > SWEEP_QUEUES ? s->sweep % total : 0;
  size_t tries = 0;
  s->sweep = skip + SWEEP_QUEUES;
  for (int c = 0; c < SCH_CLASS_COUNT && tries < SWEEP_QUEUES; c++) {
    if (c == SCH_CLASS_GANG)
      continue;
    if (skip >= s->active[c].count) {
      skip -= s->active[c].count;
      continue;
    }
    size_t end = s->active[c].count - skip;
    skip = 0;
    for (size_t k = end; k-- > 0 && tries < SWEEP_QUEUES; tries++) {
      /* A queue that ends is replaced by the last one, which was tried already. */
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
    team->retry = false;
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
