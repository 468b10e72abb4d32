/* Takes back capacity lent to preemptible batch work for work of a higher class. */
#include "sch/sch_priv.h"

/* Batch tasks and draining targets looked at for one waiting task. */
#define VICTIM_LOOKS 32
#define DRAIN_LOOKS 16
/* If the capacity did not arrive by then, other batch work is stopped. */
#define RETRY_MS 2000

/* What is free or comes free on target i and is promised to no other task. */
static GrRes
unpromised (const SchState *s, int32_t i)
{
  GrRes left = s->targets.free[i];
  gr_res_add (&left, &s->targets.coming[i]);
  gr_res_sub (&left, &s->targets.promised[i]);
  return left;
}

static void
promise (SchState *s, SchEntry *e, int32_t i)
{
  sch_unpromise (s, e);
  e->promised_target = i;
  gr_res_add (&s->targets.promised[i], &e->reserve);
  e->retry_ms = s->now_ms + RETRY_MS;
}

void
sch_unpromise (SchState *s, SchEntry *e)
{
  if (e->promised_target < 0)
    return;
  gr_res_sub (&s->targets.promised[e->promised_target], &e->reserve);
  e->promised_target = -1;
}

static bool
use_draining (SchState *s, SchEntry *e)
{
  for (size_t k = 0, looks = 0; k < s->draining.count && looks < DRAIN_LOOKS; looks++) {
    int32_t i = s->draining.items[k];
    bool drains = false;
    for (int d = 0; d < GR_RES_COUNT; d++)
      drains = drains || s->targets.coming[i].v[d] > 0;
    if (!drains) {
      gr_list_swap_remove (&s->draining, k);
      continue;
    }
    GrRes left = unpromised (s, i);
    if (sch_target_usable (&s->targets, i) && gr_res_fits (&e->reserve, &left)) {
      promise (s, e, i);
      return true;
    }
    k++;
  }
  return false;
}

static bool
room_with_stops (const SchState *s, int32_t i, const SchEntry *e)
{
  if (!sch_target_usable (&s->targets, i) || !gr_res_fits (&e->reserve, &s->targets.total[i]))
    return false;
  GrRes left = unpromised (s, i);
  for (const SchEntry *task = s->targets.tasks[i]; task; task = task->target_next) {
    if (task->in_batch_list && !task->stopping)
      gr_res_add (&left, &task->reserve);
  }
  return gr_res_fits (&e->reserve, &left);
}

/* Stops the latest started batch tasks on target i, which lose the least work. */
static void
make_room (SchState *s, int32_t i, SchEntry *e, SchCmds *out)
{
  SchEntry *first = s->targets.tasks[i];
  SchEntry *task = first->target_prev; /* the last of the list */
  bool more = true;
  while (more) {
    more = task != first;
    SchEntry *previous = task->target_prev;
    GrRes left = unpromised (s, i);
    if (gr_res_fits (&e->reserve, &left))
      break;
    if (task->in_batch_list && !task->stopping)
      sch_stop (s, task, SCH_WHY_PREEMPTED, out);
    task = previous;
  }
  gr_list_push (&s->draining, i);
}

bool
sch_preempt_for (SchState *s, SchEntry *e, SchCmds *out)
{
  if (e->class > SCH_CLASS_SERVICE || !e->queue || s->now_ms < e->retry_ms)
    return false;
  sch_unpromise (s, e);
  if (use_draining (s, e))
    return true;
  int looks = 0;
  SchEntry *victim;
  DL_FOREACH2 (s->batch, victim, batch_next)
  {
    if (++looks > VICTIM_LOOKS)
      break;
    if (victim->stopping || !room_with_stops (s, victim->target, e))
      continue;
    int32_t i = victim->target;
    make_room (s, i, e, out);
    promise (s, e, i);
    return true;
  }
  return false;
}
