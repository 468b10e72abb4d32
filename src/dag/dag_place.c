/* Placement: assigns waiting tasks to targets.

   Long-running steps come first: they hold their room for long, and work that ends frees some again
   soon. Jobs within the share of their account come before those beyond it. Steps whose job can
   still meet its objective are placed first, then, under overload, those that dag_triage.c leaves
   out so that the others can, then those whose job can meet its hard deadline, then the rest.
   Within each group the order is by priority, then between accounts by dominant resource fairness,
   then by the latest start time that meets the objective, earliest first. Gang scheduling is all or
   nothing. The first gangs that do not fit reserve targets, so that later, smaller steps do not
   starve them. So do the first steps of single tasks, while accounts with a larger weighted share,
   or work beyond a share, would take each gap before it is large enough. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most waiting gangs that reserve targets in one pass, and most other steps. */
#define RESERVING_GANGS_MAX 2
#define RESERVING_STEPS_MAX 2
/* All waiting steps together reserve at most this share of the targets. */
#define RESERVED_SHARE_MAX 0.5
/* Advice is requested for work of up to this multiple of the free cpu: some targets are not
   allowed, and gangs with advice may still not fit. */
#define ADVICE_BUDGET_FACTOR 3.0
/* Shortest interval between two passes, since inputs come in bursts. */
#define PASS_INTERVAL_MS 4
/* Most repeated placements of steps in one pass, which arise because accounts take turns; the next
   pass continues. Besides these a pass places each step once, some hundred under load. */
#define TURNS_MAX 250

static int64_t
next_run (const DagTask *task)
{
  return (task->step->spec.gang ? task->step->run : task->run) + 1;
}

/* Next waiting task that may start now, either suspected or not, from position *at of step->tasks
   on and then of the untouched ones; NULL if there is none, or no room for one under the maximum of
   the account. Advances *at. */
static DagTask *
next_waiting (DagStep *step, bool suspected, size_t *at, int64_t now_ms)
{
  if (dag_client_room (step) == 0)
    return NULL;
  while (*at < step->tasks.count) {
    DagTask *task = step->tasks.items[(*at)++];
    if (task->state == TASK_WAITING && task->suspected == suspected && now_ms >= task->restart_at)
      return task;
  }
  if (suspected || dag_step_untouched (step) == 0)
    return NULL;
  (*at)++;
  return dag_step_touch (step);
}

static void
assign (DagState *dag, DagTask *task, const DagCandidate *candidate, int64_t run)
{
  dag_run_assign (dag, task, candidate->target, run, candidate->ticket, candidate->ticket_until);
}

/* Starts suspected tasks in isolation, up to limit. */
static void
place_suspects (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count, int32_t limit,
                int64_t now_ms)
{
  size_t at = 0;
  DagTask *task;
  while (limit-- > 0 && (task = next_waiting (step, true, &at, now_ms)) != NULL) {
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
                    int32_t limit, int64_t now_ms)
{
  size_t at = 0;
  for (size_t i = 0; i < count; i++) {
    for (int32_t n = 0; n < candidates[i].fits && !candidates[i].closed; n++) {
      DagTask *task = limit-- > 0 ? next_waiting (step, false, &at, now_ms) : NULL;
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
place_spread (DagState *dag, DagStep *step, DagCandidate *candidates, size_t count, int32_t limit,
              int64_t now_ms)
{
  for (size_t i = 0; i < step->tasks.count; i++) {
    if (step->tasks.items[i]->target)
      expose (candidates, count, step->tasks.items[i]->target);
  }
  size_t at = 0;
  DagCandidate *chosen;
  while (limit-- > 0 && (chosen = choose_spread (candidates, count)) != NULL) {
    DagTask *task = next_waiting (step, false, &at, now_ms);
    if (!task)
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
  size_t at = 0;
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
  size_t at = 0;
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
    size_t at = 0;
    for (int32_t i = 0; i < trials; i++)
      assign (dag, next_waiting (step, true, &at, now_ms), chosen[i], run);
    /* The slowest member decides when the gang ends. */
    dag_prefer_one_speed (candidates, count, rack, step->waiting);
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

/* Next target to reserve for a step: one that it reserved before, else of those whose speed suits
   it best the one with the least cpu in use. Returns NULL if there is none. */
static DagTarget *
choose_target_to_reserve (DagState *dag, const DagStep *step, const DagSpeedRank *speeds,
                          int64_t now_ms)
{
  DagTarget *best = NULL;
  bool best_was_reserved = false;
  int32_t best_rank = 0;
  /* Gangs of queues without advice reserve nothing. */
  bool any = !step->job->queue.advised && !step->spec.gang;
  size_t count = any ? dag->target_list.count : step->permits.count;
  for (size_t i = 0; i < count; i++) {
    DagTarget *target = any ? dag->target_list.items[i] : step->permits.items[i].target;
    if (target->reserved_pass == dag->pass || !dag_target_usable (target, now_ms)
        || !dag_may_run (step, target) || dag_fit_count_idle (step, target) == 0)
      continue;
    bool was_reserved = target->reserved_for == dag_step_key (step);
    int32_t rank = dag_speed_rank_of (speeds, target);
    bool equal = best && best_was_reserved == was_reserved;
    if (best
        && (best_was_reserved > was_reserved || (equal && best_rank < rank)
            || (equal && best_rank == rank
                && target->used.v[GR_RES_CPU_MILLI] >= best->used.v[GR_RES_CPU_MILLI])))
      continue;
    best = target;
    best_rank = rank;
    best_was_reserved = was_reserved;
  }
  return best;
}

/* Reserves targets for tasks that do not fit now; they get no other work in this pass. Each counts
   for the tasks that fit on it now, but at least for one: runs end one by one, so many targets have
   room for one more task sooner than a few targets are idle. */
static void
reserve_targets (DagState *dag, DagStep *step, int32_t missing, size_t *reserved, int64_t now_ms)
{
  size_t max_reserved = (size_t) (RESERVED_SHARE_MAX * (double) dag->target_list.count);
  DagSpeedRank speeds;
  dag_speed_rank (dag, step, now_ms, &speeds);
  while (missing > 0 && *reserved < max_reserved) {
    DagTarget *target = choose_target_to_reserve (dag, step, &speeds, now_ms);
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

/* Requests advice for tasks of the step while the budget lasts, and charges calls in flight to it.
 */
static void
request_advice_within_budget (DagState *dag, DagStep *step, int32_t tasks, int64_t *budget,
                              int64_t now_ms)
{
  if (step->advice_calls.count == 0 && *budget > 0)
    dag_advice_request (dag, step, tasks, now_ms);
  if (step->advice_calls.count > 0)
    *budget -= (int64_t) tasks * step->spec.demand.v[GR_RES_CPU_MILLI];
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
    .beyond_share = job->beyond_share,
    .deadline_class = deadline_class (step, now_ms),
    .priority = job->queue.priority,
    .start_by = job->objective_at - step->critical_path_ms,
    .serial = job->serial,
  };
}

/* Compares the keys before the fairness between accounts. Under overload, steps that have missed
   their objective must not make others miss theirs too. */
static int
compare_classes (const DagStepOrder *x, const DagStepOrder *y)
{
  if (x->long_running != y->long_running)
    return x->long_running ? -1 : 1;
  if (x->beyond_share != y->beyond_share)
    return x->beyond_share ? 1 : -1;
  if (x->deadline_class != y->deadline_class)
    return x->deadline_class < y->deadline_class ? -1 : 1;
  return x->priority < y->priority ? -1 : x->priority > y->priority;
}

static int
compare_steps (const void *a, const void *b)
{
  const DagStepOrder *x = &(*(DagStep *const *) a)->order, *y = &(*(DagStep *const *) b)->order;
  int classes = compare_classes (x, y);
  if (classes != 0)
    return classes;
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

/* Number of waiting tasks of the step that may start under the maximum of its account. A gang
   starts as a whole or not at all. */
static int32_t
allowed_tasks (const DagStep *step)
{
  int32_t room = dag_client_room (step);
  if (room >= step->waiting)
    return step->waiting;
  return step->spec.gang ? 0 : room;
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

/* What one pass shares between its steps. */
typedef struct {
  DagCandidate *candidates; /* scratch, with room for all targets */
  int64_t budget;           /* see advice_budget() */
  size_t reserved;          /* targets */
  int reserving;            /* gangs that reserve targets */
  int reserving_steps;      /* other steps that do */
  bool beyond_share;        /* some step is beyond the share of its account */
  int turns;                /* repeated placements, see TURNS_MAX */
} Pass;

/* Number of single tasks of the step for which targets may be reserved: limit, by which its account
   reaches the share of the next one with waiting work, or, with DAG_MAX_TASKS as the limit, all
   that may start if work beyond a share waits too. */
static int32_t
reservable_tasks (const Pass *pass, const DagStep *step, int32_t limit, int64_t now_ms)
{
  if (step->spec.gang || pass->reserving_steps == RESERVING_STEPS_MAX
      || now_ms > step->job->hard_deadline_at)
    return 0;
  int32_t tasks = allowed_tasks (step);
  if (limit < DAG_MAX_TASKS)
    return tasks < limit ? tasks : limit;
  return pass->beyond_share && !step->order.beyond_share ? tasks : 0;
}

/* Places a gang, or up to limit other tasks of the step; DAG_MAX_TASKS: all that fit. Returns true
   if the limit keeps more of them from being placed; else it reserves targets or requests advice
   for those that remain. */
static bool
place_step (DagState *dag, Pass *pass, DagStep *step, int32_t limit, int64_t now_ms)
{
  DagCandidate *candidates = pass->candidates;
  int32_t waiting = step->waiting;
  bool reserves = false;
  if (!is_placeable (step))
    return false;
  if (allowed_tasks (step) == 0) {
    dag_client_note_held (dag, step, now_ms);
    return false;
  }
  size_t count = dag_list_candidates (dag, step, candidates, now_ms);
  if (step->suspects > 0 && !step->spec.gang)
    place_suspects (dag, step, candidates, count, limit, now_ms);
  int32_t left = limit - (waiting - step->waiting);
  if (step->spec.long_running && !step->spec.gang) {
    place_spread (dag, step, candidates, count, left, now_ms);
  } else if (!step->spec.gang) {
    place_single_tasks (dag, step, candidates, count, left, now_ms);
  } else if (!place_gang (dag, step, candidates, count, now_ms)
             && pass->reserving < RESERVING_GANGS_MAX && now_ms <= step->job->hard_deadline_at) {
    pass->reserving++;
    reserve_targets (dag, step, step->waiting, &pass->reserved, now_ms);
    reserves = true;
  }
  if (step->waiting > 0 && waiting - step->waiting >= limit)
    return true;
  int32_t reservable = reservable_tasks (pass, step, limit, now_ms);
  if (reservable > 0) {
    pass->reserving_steps++;
    reserve_targets (dag, step, reservable, &pass->reserved, now_ms);
    reserves = true;
  }
  int32_t tasks = allowed_tasks (step);
  if (tasks < step->waiting)
    dag_client_note_held (dag, step, now_ms);
  if (tasks > 0 && step->job->queue.advised) {
    request_advice_within_budget (dag, step, tasks, &pass->budget, now_ms);
    /* Only if no other call is useful: the reserved targets alone may never have enough room. */
    if (reserves)
      dag_advice_renew (dag, step, now_ms);
  }
  return false;
}

/* Places the steps of several accounts in turns. */
static void
place_fairly (DagState *dag, Pass *pass, int64_t now_ms)
{
  DagStep *step;
  int32_t tasks;
  while (pass->turns < TURNS_MAX && (step = dag_fair_next (dag, &tasks)) != NULL) {
    int32_t waiting = step->waiting;
    bool again = place_step (dag, pass, step, tasks, now_ms);
    pass->turns += again;
    dag_fair_done (dag, step, waiting - step->waiting, again);
  }
  dag_fair_end (dag);
}

/* Index after the steps from start on that are equal up to the fairness between accounts. */
static size_t
end_of_class (const DagState *dag, size_t start)
{
  size_t end = start + 1;
  while (end < dag->ready.count
         && compare_classes (&dag->ready.items[start]->order, &dag->ready.items[end]->order) == 0)
    end++;
  return end;
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
  Pass pass = { .candidates = gr_calloc (dag->target_list.count, sizeof *pass.candidates),
                .budget = advice_budget (dag, now_ms) };
  dag_speed_measure_room (dag, now_ms);
  dag_clients_begin_pass (dag);
  for (size_t i = 0; i < dag->ready.count && dag->clients; i++)
    pass.beyond_share |= dag->ready.items[i]->order.beyond_share;
  size_t end;
  for (size_t i = 0; i < dag->ready.count && pass.turns < TURNS_MAX; i = end) {
    end = end_of_class (dag, i);
    if (dag->clients && dag_fair_begin (dag, &dag->ready.items[i], end - i)) {
      place_fairly (dag, &pass, now_ms);
      continue;
    }
    for (size_t k = i; k < end; k++)
      place_step (dag, &pass, dag->ready.items[k], DAG_MAX_TASKS, now_ms);
  }
  if (pass.turns >= TURNS_MAX)
    dag->place_wanted = true;
  free (pass.candidates);
  drop_placed_steps (dag);
  if (dag->options.broken_start_before_store)
    dag_runs_start_unstored (dag, now_ms);
}
