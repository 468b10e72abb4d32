/* Ageing: a task that waits too long gets a target that keeps room for it, so that work that
   arrives later cannot pass it without end. Small work may use the room in the meantime. */
#include "sch/sch_priv.h"

/* Waiting tasks that may hold a reservation by age. */
#define AGED_LOOKS 16
/* Targets compared for one reservation. */
#define TARGET_LOOKS 32
#define STRIDE 7919
/* Later tasks let past one reservation, even if they are expected to end in time. */
#define BACKFILLS_MAX 32
/* Running tasks of one target that an estimate considers. */
#define ESTIMATE_TASKS 64
/* Bound of the assumed remaining time of a task that is over its estimate or has none. */
#define UNKNOWN_LEFT_MS 60000

void
sch_age (SchState *s, SchEntry *e)
{
  if (e->aged || s->options.faults.no_aging)
    return;
  e->aged = true;
  DL_APPEND2 (s->aged, e, aged_prev, aged_next);
}

typedef struct {
  int64_t end_ms;
  const SchEntry *task;
} Ending;

static int
compare_ends (const void *a, const void *b)
{
  const Ending *x = a;
  const Ending *y = b;
  return (x->end_ms > y->end_ms) - (x->end_ms < y->end_ms);
}

/* When target i is expected to have room for e. */
static int64_t
room_ms (const SchState *s, int32_t i, const SchEntry *e)
{
  GrRes left = s->targets.free[i];
  if (gr_res_fits (&e->reserve, &left))
    return s->now_ms;
  Ending ends[ESTIMATE_TASKS];
  size_t count = 0;
  for (const SchEntry *task = s->targets.tasks[i]; task && count < ESTIMATE_TASKS;
       task = task->target_next) {
    int64_t end_ms = task->start_ms + task->high_ms;
    /* Run times are heavy-tailed: what ran for long is likely to run that long again. */
    if (task->high_ms <= 0 || end_ms < s->now_ms) {
      int64_t ran_ms = s->now_ms - task->start_ms;
      end_ms = s->now_ms + (ran_ms < UNKNOWN_LEFT_MS ? ran_ms : UNKNOWN_LEFT_MS);
    }
    ends[count++] = (Ending){ end_ms, task };
  }
  qsort (ends, count, sizeof ends[0], compare_ends);
  for (size_t k = 0; k < count; k++) {
    gr_res_add (&left, &ends[k].task->reserve);
    if (gr_res_fits (&e->reserve, &left))
      return ends[k].end_ms;
  }
  return s->now_ms + UNKNOWN_LEFT_MS;
}

bool
sch_reserve (SchState *s, SchEntry *e)
{
  SchTargets *t = &s->targets;
  if (e->reserved_target >= 0)
    return true;
  /* Most targets stay open, so that reservations do not stop the cell. */
  if (s->reserved > t->usable / 4)
    return false;
  int32_t best = -1;
  int64_t best_ms = INT64_MAX;
  int looks = t->count < TARGET_LOOKS ? t->count : TARGET_LOOKS;
  for (int k = 0; k < looks; k++) {
    s->cursor = (int32_t) (((int64_t) s->cursor + (t->count <= looks ? 1 : STRIDE)) % t->count);
    int32_t i = s->cursor;
    if (!t->name[i] || !sch_target_usable (t, i) || t->reserved_for[i]
        || !gr_res_fits (&e->reserve, &t->total[i]))
      continue;
    int64_t ms = room_ms (s, i, e);
    if (ms < best_ms) {
      best_ms = ms;
      best = i;
    }
  }
  if (best < 0)
    return false;
  t->reserved_for[best] = e;
  t->reserve_ms[best] = best_ms;
  t->backfills[best] = 0;
  e->reserved_target = best;
  s->reserved++;
  return true;
}

void
sch_unreserve (SchState *s, SchEntry *e)
{
  int32_t i = e->reserved_target;
  if (i < 0)
    return;
  e->reserved_target = -1;
  s->targets.reserved_for[i] = NULL;
  s->reserved--;
  gr_list_push (&s->freed, i);
}

void
sch_unreserve_target (SchState *s, int32_t i)
{
  if (s->targets.reserved_for[i])
    sch_unreserve (s, s->targets.reserved_for[i]);
}

void
sch_reserve_aged (SchState *s)
{
  SchEntry *e;
  int looks = 0;
  DL_FOREACH2 (s->aged, e, aged_next)
  {
    if (++looks > AGED_LOOKS)
      break;
    SchWhy why;
    GrResDim dim;
    /* Work that waits for its own quota part reserves nothing. */
    if (!sch_may_start (s, e, &why, &dim))
      sch_unreserve (s, e);
    else if (!e->gang)
      sch_reserve (s, e);
  }
}

bool
sch_backfill_allows (const SchState *s, int32_t i, const SchEntry *e)
{
  const SchTargets *t = &s->targets;
  const SchEntry *owner = t->reserved_for[i];
  if (e->gang && e->gang == owner->gang)
    return true;
  GrRes both = e->reserve;
  gr_res_add (&both, &owner->reserve);
  if (gr_res_fits (&both, &t->free[i]))
    return true;
  return t->backfills[i] < BACKFILLS_MAX && e->high_ms > 0
         && s->now_ms + e->high_ms <= t->reserve_ms[i];
}
