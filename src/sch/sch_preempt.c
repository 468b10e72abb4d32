/* Preemption: stops preemptible batch tasks when urgent, short or service work finds no capacity.

   A waiting task for which others were stopped claims its demand on that target, so that the same
   capacity does not count for a second waiting task. */
#include "sch/sch_priv.h"

/* Max batch tasks, and targets in s->preempting, that are examined for one waiting task. */
#define VICTIM_SCAN_MAX 32
#define PREEMPTING_SCAN_MAX 16
/* If the task still waits after this time, it may preempt other batch work. */
#define PREEMPT_RETRY_MS 2000

/* Capacity of target i that is free or being released and that no waiting task claims. */
static GrRes
unclaimed (const SchState *s, int32_t i)
{
  GrRes left = s->targets.free[i];
  gr_res_add (&left, &s->targets.releasing[i]);
  gr_res_sub (&left, &s->targets.claimed[i]);
  return left;
}

static void
claim (SchState *s, SchEntry *e, int32_t i)
{
  sch_unclaim (s, e);
  e->claimed_target = i;
  gr_res_add (&s->targets.claimed[i], &e->reserve);
  e->preempt_retry_ms = s->now_ms + PREEMPT_RETRY_MS;
}

void
sch_unclaim (SchState *s, SchEntry *e)
{
  if (e->claimed_target < 0)
    return;
  gr_res_sub (&s->targets.claimed[e->claimed_target], &e->reserve);
  e->claimed_target = -1;
}

/* Claims capacity that is already being released, so that nothing more is stopped. Also removes
   targets on which no stop is pending from s->preempting. */
static bool
claim_releasing (SchState *s, SchEntry *e)
{
  for (size_t k = 0, scanned = 0; k < s->preempting.count && scanned < PREEMPTING_SCAN_MAX;
       scanned++) {
    int32_t i = s->preempting.items[k];
    bool pending = false;
    for (int d = 0; d < GR_RES_COUNT; d++)
      pending = pending || s->targets.releasing[i].v[d] > 0;
    if (!pending) {
      gr_list_swap_remove (&s->preempting, k);
      continue;
    }
    GrRes left = unclaimed (s, i);
    if (sch_target_usable (&s->targets, i) && gr_res_fits (&e->reserve, &left)) {
      claim (s, e, i);
      return true;
    }
    k++;
  }
  return false;
}

/* Whether e would fit on target i if all preemptible tasks there were stopped. */
static bool
fits_after_preemption (const SchState *s, int32_t i, const SchEntry *e)
{
  if (!sch_target_usable (&s->targets, i) || !gr_res_fits (&e->reserve, &s->targets.total[i]))
    return false;
  GrRes left = unclaimed (s, i);
  for (const SchEntry *task = s->targets.tasks[i]; task; task = task->target_next) {
    if (task->in_batch_list && !task->stopping)
      gr_res_add (&left, &task->reserve);
  }
  return gr_res_fits (&e->reserve, &left);
}

/* Stops batch tasks on target i until e fits. The latest started go first: they lose the least
   work. */
static void
preempt_on (SchState *s, int32_t i, SchEntry *e, SchCmds *out)
{
  SchEntry *first = s->targets.tasks[i];
  SchEntry *task = first->target_prev; /* the last of the list */
  bool more = true;
  while (more) {
    more = task != first;
    SchEntry *previous = task->target_prev;
    GrRes left = unclaimed (s, i);
    if (gr_res_fits (&e->reserve, &left))
      break;
    if (task->in_batch_list && !task->stopping)
      sch_stop (s, task, SCH_WHY_PREEMPTED, out);
    task = previous;
  }
  gr_list_push (&s->preempting, i);
}

bool
sch_preempt_for (SchState *s, SchEntry *e, SchCmds *out)
{
  if (e->class > SCH_CLASS_SERVICE || !e->queue || s->now_ms < e->preempt_retry_ms)
    return false;
  sch_unclaim (s, e);
  if (claim_releasing (s, e))
    return true;
  int scanned = 0;
  SchEntry *victim;
  DL_FOREACH2 (s->batch, victim, batch_next)
  {
    if (++scanned > VICTIM_SCAN_MAX)
      break;
    if (victim->stopping || !fits_after_preemption (s, victim->target, e))
      continue;
    int32_t i = victim->target;
    preempt_on (s, i, e, out);
    claim (s, e, i);
    return true;
  }
  return false;
}
