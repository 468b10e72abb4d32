/* Aging and backfill: a task that has waited for the aging time reserves a target, so that work
   that arrives later cannot delay it without bound. Until it starts, small tasks may backfill the
   reserved target. */
#include "sch/sch_priv.h"

/* Max aged tasks that reserve a target, oldest first. */
#define AGED_SCAN_MAX 16
/* Targets compared for one reservation. In a larger cell the scan takes steps of SCAN_STRIDE. */
#define TARGET_SCAN_MAX 32
#define SCAN_STRIDE 7919
/* Max tasks that backfill one reservation because they are expected to end in time. */
#define BACKFILLS_MAX 32
/* Max running tasks of one target that an estimate takes into account. */
#define ESTIMATE_TASKS_MAX 64
/* Upper bound of the assumed remaining time of a task that exceeded its estimate or has none. */
#define REMAINING_MAX_MS 60000

void
sch_mark_aged (SchState *s, SchEntry *e)
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

/* Time at which target i is expected to have enough free capacity for e. */
static int64_t
expected_fit_ms (const SchState *s, int32_t i, const SchEntry *e)
{
  GrRes left = s->targets.free[i];
  if (gr_res_fits (&e->reserve, &left))
    return s->now_ms;
  Ending ends[ESTIMATE_TASKS_MAX];
  size_t count = 0;
  for (const SchEntry *task = s->targets.tasks[i]; task && count < ESTIMATE_TASKS_MAX;
       task = task->target_next) {
    int64_t end_ms = task->start_ms + task->run_p90_ms;
    /* Run times are heavy-tailed: a task that exceeded its estimate is assumed to run as long again
       as it has run so far. */
    if (task->run_p90_ms <= 0 || end_ms < s->now_ms) {
      int64_t ran_ms = s->now_ms - task->start_ms;
      end_ms = s->now_ms + (ran_ms < REMAINING_MAX_MS ? ran_ms : REMAINING_MAX_MS);
    }
    ends[count++] = (Ending){ end_ms, task };
  }
  qsort (ends, count, sizeof ends[0], compare_ends);
  for (size_t k = 0; k < count; k++) {
    gr_res_add (&left, &ends[k].task->reserve);
    if (gr_res_fits (&e->reserve, &left))
      return ends[k].end_ms;
  }
  return s->now_ms + REMAINING_MAX_MS;
}

bool
sch_reserve (SchState *s, SchEntry *e)
{
  SchTargets *t = &s->targets;
  if (e->reserved_target >= 0)
    return true;
  /* At most about a quarter of the usable targets are reserved, so that the cell keeps serving
     other work. */
  if (s->reserved > t->usable / 4)
    return false;
  int32_t best = -1;
  int64_t best_ms = INT64_MAX;
  int scan_max = t->count < TARGET_SCAN_MAX ? t->count : TARGET_SCAN_MAX;
  for (int k = 0; k < scan_max; k++) {
    s->target_cursor
        = (int32_t) (((int64_t) s->target_cursor + (t->count <= scan_max ? 1 : SCAN_STRIDE))
                     % t->count);
    int32_t i = s->target_cursor;
    if (!t->name[i] || !sch_target_usable (t, i) || t->reserved_for[i]
        || !gr_res_fits (&e->reserve, &t->total[i]))
      continue;
    int64_t ms = expected_fit_ms (s, i, e);
    if (ms < best_ms) {
      best_ms = ms;
      best = i;
    }
  }
  if (best < 0)
    return false;
  t->reserved_for[best] = e;
  t->reserve_fit_ms[best] = best_ms;
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
  int scanned = 0;
  DL_FOREACH2 (s->aged, e, aged_next)
  {
    if (++scanned > AGED_SCAN_MAX)
      break;
    SchWhy why;
    GrResDim dim;
    /* A task that waits for its team's quota part, or for the share of batch and long work,
       reserves no target. */
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
  const SchEntry *holder = t->reserved_for[i];
  if (e->gang && e->gang == holder->gang)
    return true;
  GrRes both = e->reserve;
  gr_res_add (&both, &holder->reserve);
  if (gr_res_fits (&both, &t->free[i]))
    return true;
  return t->backfills[i] < BACKFILLS_MAX && e->run_p90_ms > 0
         && s->now_ms + e->run_p90_ms <= t->reserve_fit_ms[i];
}
