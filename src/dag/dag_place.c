/* Placement: assigns waiting tasks to targets.

   Long-running steps come first: they hold their room for long, and work that ends frees some again
   soon. Steps whose job can still meet its objective are placed first, then, under overload, those
   that dag_triage.c leaves out so that the others can, then those whose job can meet its hard
   deadline, then the rest. Within each group the order is by priority, then by the latest start
   time that meets the objective, earliest first. Gang scheduling is all or nothing.
   The first gangs that do not fit reserve targets, so that later, smaller steps do not starve them.
 */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most waiting gangs that reserve targets in one pass. */
#define RESERVING_GANGS_MAX 2
/* All waiting gangs together reserve at most this share of the targets. */
#define RESERVED_SHARE_MAX 0.5
/* Advice is requested for work of up to this multiple of the free cpu: some targets are not
   allowed, and gangs with advice may still not fit. */
#define ADVICE_BUDGET_FACTOR 3.0
/* Shortest interval between two passes, since inputs come in bursts. */
#define PASS_INTERVAL_MS 4

static int64_t
next_run (const DagTask *task)
{
  return (task->step->spec.gang ? task->step->run : task->run) + 1;
}

/* Next waiting task from index *at on that may start now, either suspected or not; NULL if there is
   none. Advances *at. */
static DagTask *
next_waiting (DagStep *step, bool suspected, int32_t *at, int64_t now_ms)
{
  while (*at < step->spec.count) {
    DagTask *task = &step->tasks[(*at)++];
    if (task->state == TASK_WAITING && task->suspected == suspected && now_ms >= task->restart_at)
      return task;
  }
  return NULL;
}

static void
assign (DagState *dag, DagTask *task, const DagCandidate *candidate, int64_t run)
{
  dag_run_assign (dag, task, candidate->target, run, candidate->ticket, candidate->ticket_until);
}

/* Starts suspected tasks in isolation. */
static void
place_suspects (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count,
                int64_t now_ms)
{
  int32_t at = 0;
  DagTask *task;
  while ((task = next_waiting (step, true, &at, now_ms)) != NULL) {
    DagCandidate *chosen = dag_trial_choose (step, candidates, count, now_ms);
    if (!chosen) {
      dag_trial_prepare (dag, step->job, candidates, count, now_ms);
      return;
    }
    assign (dag, task, chosen, next_run (task));
    chosen->fits--;
  }
}

static void
place_single_tasks (DagState *dag, DagStep *step, const DagCandidate *candidates, size_t count,
                    int64_t now_ms)
{
  int32_t at = 0;
  for (size_t i = 0; i < count; i++) {
    for (int32_t n = 0; n < candidates[i].fits && !candidates[i].closed; n++) {
      DagTask *task = next_waiting (step, false, &at, now_ms);
      if (!task)
        return;
      assign (dag, task, &candidates[i], next_run (task));
    }
  }
}

/* Counts a run on the other target. */
static void
add_exposure (DagExposure *sum, const DagTarget *target, const DagTarget *other)
{
  sum->on_target += other == target;
  sum->on_rack += gr_name_equal (&other->info.rack, &target->info.rack);
  sum->in_zone += gr_name_equal (&other->info.zone, &target->info.zone);
}

static int
compare_exposures (const DagExposure *a, const DagExposure *b)
{
  if (a->on_target != b->on_target)
    return a->on_target - b->on_target;
  if (a->on_rack != b->on_rack)
    return a->on_rack - b->on_rack;
  return a->in_zone - b->in_zone;
}

/* The candidate on which the next long-running task shares the least with the other tasks of its
   step; NULL if none has room. Among equals the order of the candidates decides. */
static DagCandidate *
choose_spread (DagCandidate *candidates, size_t count)
{
  DagCandidate *best = NULL;
  for (size_t i = 0; i < count; i++) {
    DagCandidate *candidate = &candidates[i];
    if (candidate->fits == 0 || candidate->closed)
      continue;
    if (best && candidate->failed_before > best->failed_before)
      break;
    if (!best || compare_exposures (&candidate->exposure, &best->exposure) < 0)
      best = candidate;
  }
  return best;
}

/* Counts a run of the step on the target for all candidates. */
static void
expose (DagCandidate *candidates, size_t count, const DagTarget *target)
{
  for (size_t i = 0; i < count; i++)
    add_exposure (&candidates[i].exposure, candidates[i].target, target);
}

/* Spreads the tasks of a long-running step over targets, racks and zones, so that a loss takes few
   of them. */
static void
place_spread (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count, int64_t now_ms)
{
  for (int32_t i = 0; i < step->spec.count; i++) {
    if (step->tasks[i].target)
      expose (candidates, count, step->tasks[i].target);
  }
  int32_t at = 0;
  DagTask *task;
  while ((task = next_waiting (step, false, &at, now_ms)) != NULL) {
    DagCandidate *chosen = choose_spread (candidates, count);
    if (!chosen)
      return;
    chosen->fits--;
    assign (dag, task, chosen, next_run (task));
    expose (candidates, count, chosen->target);
  }
}

/* Number of tasks that fit on the candidates, of one rack or, if rack is NULL, of all. */
static int32_t
room_on (const DagCandidate *candidates, size_t count, const GrName *rack)
{
  int32_t fits = 0;
  for (size_t i = 0; i < count; i++) {
    if (!candidates[i].closed && (!rack || gr_name_equal (&candidates[i].target->info.rack, rack)))
      fits += candidates[i].fits;
  }
  return fits;
}

/* Best fit: the rack with the least room that fits this number of tasks; NULL if none does. */
static const GrName *
choose_rack (int32_t tasks, const DagCandidate *candidates, size_t count)
{
  const GrName *best = NULL;
  int32_t best_fits = 0;
  for (size_t i = 0; i < count; i++) {
    const GrName *rack = &candidates[i].target->info.rack;
    int32_t fits = room_on (candidates, count, rack);
    if (fits >= tasks && (!best || fits < best_fits)) {
      best = rack;
      best_fits = fits;
    }
  }
  return best;
}

/* Chooses a target for each suspected member of the gang and takes it from the candidates. Returns
   false if there are not enough. */
static bool
choose_trials (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count,
               DagCandidate **chosen, int32_t *chosen_count, int64_t now_ms)
{
  int32_t at = 0;
  while (next_waiting (step, true, &at, now_ms)) {
    DagCandidate *candidate = dag_trial_choose (step, candidates, count, now_ms);
    if (!candidate) {
      dag_trial_prepare (dag, step->job, candidates, count, now_ms);
      return false;
    }
    candidate->trial = true;
    candidate->fits--;
    chosen[(*chosen_count)++] = candidate;
  }
  return true;
}

/* Assigns the members of the gang that are not suspected. */
static void
place_members (DagState *dag, DagStep *step, const DagCandidate *candidates, size_t count,
               const GrName *rack, int64_t run, int64_t now_ms)
{
  int32_t at = 0;
  for (size_t i = 0; i < count; i++) {
    if (candidates[i].closed || (rack && !gr_name_equal (&candidates[i].target->info.rack, rack)))
      continue;
    for (int32_t n = 0; n < candidates[i].fits; n++) {
      DagTask *task = next_waiting (step, false, &at, now_ms);
      if (!task)
        return;
      assign (dag, task, &candidates[i], run);
    }
  }
}

/* Assigns all tasks of the gang, or none and returns false. Suspected members start in isolation
   from other jobs. */
static bool
place_gang (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count, int64_t now_ms)
{
  int32_t trials = 0;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  DagCandidate **chosen = gr_calloc ((size_t) step->suspects + 1, sizeof *chosen);
  bool placed = choose_trials (dag, step, candidates, count, chosen, &trials, now_ms)
                && room_on (candidates, count, NULL) >= step->waiting - trials;
  if (placed) {
    const GrName *rack
        = step->spec.one_rack ? choose_rack (step->waiting - trials, candidates, count) : NULL;
    int64_t run = step->run + 1;
    int32_t at = 0;
    for (int32_t i = 0; i < trials; i++)
      assign (dag, next_waiting (step, true, &at, now_ms), chosen[i], run);
    place_members (dag, step, candidates, count, rack, run, now_ms);
  }
  free (chosen);
  return placed;
}

uint64_t
dag_step_key (const DagStep *step)
{
  return step->job->serial * DAG_MAX_STEPS + step->number;
}

/* Next target to reserve for a gang: one that the gang reserved before, else the one with the least
   cpu in use. Returns NULL if there is none. */
static DagTarget *
choose_target_to_reserve (DagState *dag, const DagStep *step, int64_t now_ms)
{
  DagTarget *best = NULL;
  bool best_was_reserved = false;
  for (size_t i = 0; i < step->permits.count; i++) {
    DagTarget *target = step->permits.items[i].target;
    if (target->reserved_pass == dag->pass || !dag_target_usable (target, now_ms)
        || !dag_may_run (step, target) || dag_fit_count_idle (step, target) == 0)
      continue;
    bool was_reserved = target->reserved_for == dag_step_key (step);
    if (best
        && (best_was_reserved > was_reserved
            || (best_was_reserved == was_reserved
                && target->used.v[GR_RES_CPU_MILLI] >= best->used.v[GR_RES_CPU_MILLI])))
      continue;
    best = target;
    best_was_reserved = was_reserved;
  }
  return best;
}

/* Reserves targets for a gang that does not fit now; they get no other work in this pass. Each
   counts for the tasks that fit on it now, but at least for one: runs end one by one, so many
   targets have room for one more task sooner than a few targets are idle. */
static void
reserve_for_gang (DagState *dag, DagStep *step, size_t *reserved, int64_t now_ms)
{
  size_t max_reserved = (size_t) (RESERVED_SHARE_MAX * (double) dag->target_list.count);
  int32_t missing = step->waiting;
  while (missing > 0 && *reserved < max_reserved) {
    DagTarget *target = choose_target_to_reserve (dag, step, now_ms);
    if (!target)
      return;
    target->reserved_pass = dag->pass;
    target->reserved_for = dag_step_key (step);
    (*reserved)++;
    int32_t fits = dag_fit_count (step, target);
    missing -= fits > 0 ? fits : 1;
  }
}

/* Cpu demand of waiting tasks, in millicores, for which advice may be requested. Without a limit,
   more steps than fit would all ask about the same targets. */
static int64_t
advice_budget (const DagState *dag, int64_t now_ms)
{
  int64_t budget = 0;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (dag_target_usable (target, now_ms))
      budget += dag_target_free_cpu (target);
  }
  return (int64_t) (ADVICE_BUDGET_FACTOR * (double) budget);
}

/* Requests advice for the step while the budget lasts, and charges calls in flight to it. */
static void
request_advice_within_budget (DagState *dag, DagStep *step, int64_t *budget, int64_t now_ms)
{
  if (step->advice_calls.count == 0 && *budget > 0)
    dag_advice_request (dag, step, step->waiting, now_ms);
  if (step->advice_calls.count > 0)
    *budget -= (int64_t) step->waiting * step->spec.demand.v[GR_RES_CPU_MILLI];
}

static DagDeadlineClass
deadline_class (const DagStep *step, int64_t now_ms)
{
  int64_t done_at = now_ms + step->critical_path_ms;
  if (done_at > step->job->hard_deadline_at)
    return DEADLINE_HARD_MISSED;
  DagDeadlineClass class = done_at <= step->job->objective_at ? DEADLINE_MET : DEADLINE_SOFT_MISSED;
  if (step->spec.long_running)
    return class;
  /* Under overload, jobs that are left out come after those that are not, but before those that are
     too late for certain: the plan rests on estimates. */
  switch (step->job->verdict) {
  case TRIAGE_OBJECTIVE:
    return class;
  case TRIAGE_HARD:
    return class == DEADLINE_MET ? DEADLINE_LEFT_OUT : class;
  case TRIAGE_NONE:
    return DEADLINE_HARD_MISSED;
  }
  return class;
}

static void
set_order (DagStep *step, int64_t now_ms)
{
  const DagJob *job = step->job;
  step->order = (DagStepOrder){
    .long_running = step->spec.long_running,
    .deadline_class = deadline_class (step, now_ms),
    .priority = job->queue.priority,
    .start_by = job->objective_at - step->critical_path_ms,
    .serial = job->serial,
  };
}

/* Under overload, steps that have missed their objective must not make others miss theirs too. */
static int
compare_steps (const void *a, const void *b)
{
  const DagStepOrder *x = &(*(DagStep *const *) a)->order, *y = &(*(DagStep *const *) b)->order;
  if (x->long_running != y->long_running)
    return x->long_running ? -1 : 1;
  if (x->deadline_class != y->deadline_class)
    return x->deadline_class < y->deadline_class ? -1 : 1;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->start_by != y->start_by)
    return x->start_by < y->start_by ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

static void
sort_ready_steps (DagState *dag, int64_t now_ms)
{
  for (size_t i = 0; i < dag->ready.count; i++)
    set_order (dag->ready.items[i], now_ms);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  qsort (dag->ready.items, dag->ready.count, sizeof *dag->ready.items, compare_steps);
}

/* A gang can be placed only when none of its unfinished tasks has a run. */
static bool
is_placeable (const DagStep *step)
{
  return step->waiting > 0 && dag_step_is_ready (step)
         && (!step->spec.gang || step->waiting == step->spec.count - step->done);
}

/* Removes the steps from dag->ready that have no waiting tasks or are not ready any more. */
static void
drop_placed_steps (DagState *dag)
{
  size_t kept = 0;
  for (size_t i = 0; i < dag->ready.count; i++) {
    DagStep *step = dag->ready.items[i];
    if (step->waiting > 0 && dag_step_is_ready (step))
      dag->ready.items[kept++] = step;
    else
      step->queued = false;
  }
  dag->ready.count = kept;
}

void
dag_place (DagState *dag, int64_t now_ms)
{
  if (!dag->loaded || dag->deposed || !dag->place_wanted
      || now_ms - dag->placed_at < PASS_INTERVAL_MS)
    return;
  dag->place_wanted = false;
  dag->placed_at = now_ms;
  dag->pass++;
  drop_placed_steps (dag);
  if (dag->ready.count == 0 || dag->target_list.count == 0)
    return;
  sort_ready_steps (dag, now_ms);
  DagCandidate *candidates = gr_calloc (dag->target_list.count, sizeof *candidates);
  int64_t budget = advice_budget (dag, now_ms);
  size_t reserved = 0;
  int reserving = 0;
  for (size_t i = 0; i < dag->ready.count; i++) {
    DagStep *step = dag->ready.items[i];
    if (!is_placeable (step))
      continue;
    bool reserves = false;
    size_t count = dag_list_candidates (dag, step, candidates, now_ms);
    if (step->suspects > 0 && !step->spec.gang)
      place_suspects (dag, step, candidates, count, now_ms);
    if (step->spec.long_running && !step->spec.gang) {
      place_spread (dag, step, candidates, count, now_ms);
    } else if (!step->spec.gang) {
      place_single_tasks (dag, step, candidates, count, now_ms);
    } else if (!place_gang (dag, step, candidates, count, now_ms) && reserving < RESERVING_GANGS_MAX
               && now_ms <= step->job->hard_deadline_at) {
      reserving++;
      reserve_for_gang (dag, step, &reserved, now_ms);
      reserves = true;
    }
    if (step->waiting > 0 && step->job->queue.advised) {
      request_advice_within_budget (dag, step, &budget, now_ms);
      /* Only if no other call is useful: the reserved targets alone may never have enough room. */
      if (reserves)
        dag_advice_renew (dag, step, now_ms);
    }
  }
  free (candidates);
  drop_placed_steps (dag);
  if (dag->options.broken_start_before_store)
    dag_runs_start_unstored (dag, now_ms);
}
