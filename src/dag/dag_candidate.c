/* Candidates: the targets on which tasks of a step can start now, in order of preference. */
#include <stdlib.h>

#include "dag/dag_priv.h"

bool
dag_may_run (const DagStep *step, const DagTarget *target)
{
  return gr_name_equal (&target->info.service, &step->job->queue.service)
         && (step->spec.label.len == 0 || gr_name_equal (&step->spec.label, &target->info.kind));
}

/* Number of runs of the step on the target. */
static int32_t
runs_of_step (const DagStep *step, const DagTarget *target)
{
  int32_t count = 0;
  for (size_t i = 0; i < step->tasks.count; i++)
    count += step->tasks.items[i]->target == target;
  return count;
}

/* Number of times that need fits into room. */
static int32_t
fits_in (const GrRes *need, const GrRes *room)
{
  int32_t fits = DAG_MAX_TASKS;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (need->v[d] <= 0)
      continue;
    int32_t times = room->v[d] > 0 ? room->v[d] / need->v[d] : 0;
    if (times < fits)
      fits = times;
  }
  return fits;
}

/* Caps fits so that the target does not exceed max_per_target. */
static int32_t
limit_per_target (const DagStep *step, const DagTarget *target, int32_t fits)
{
  if (step->spec.max_per_target <= 0)
    return fits;
  int32_t left = step->spec.max_per_target - runs_of_step (step, target);
  return left < fits ? (left > 0 ? left : 0) : fits;
}

int32_t
dag_fit_count (const DagStep *step, const DagTarget *target)
{
  GrRes need = dag_reserved_demand (&step->spec);
  GrRes room = dag_target_free_room (target);
  return limit_per_target (step, target, fits_in (&need, &room));
}

int32_t
dag_fit_count_idle (const DagStep *step, const DagTarget *target)
{
  GrRes need = dag_reserved_demand (&step->spec);
  int32_t fits = fits_in (&need, &target->info.capacity);
  int32_t limit = step->spec.max_per_target;
  return limit > 0 && limit < fits ? limit : fits;
}

static const char no_ticket[sizeof ((DagTask *) 0)->ticket];

/* True if a run of the step failed on this incarnation of the target. */
static bool
has_failed_on (const DagStep *step, const DagTarget *target)
{
  for (size_t i = 0; i < step->failed_on.count; i++) {
    if (step->failed_on.items[i] == target->serial)
      return true;
  }
  return false;
}

/* Number of tasks of the step that can start on the target now, leaving advice aside. */
static int32_t
startable_count (const DagState *dag, const DagStep *step, const DagTarget *target, int64_t now_ms)
{
  if (!dag_target_usable (target, now_ms) || !dag_may_run (step, target)
      || target->reserved_pass == dag->pass)
    return 0;
  return dag_fit_count (step, target);
}

static bool
is_valid_permit (const DagPermit *permit, int64_t now_ms)
{
  return permit->valid_until > now_ms + DAG_TICKET_MARGIN_MS;
}

bool
dag_has_room (DagState *dag, DagStep *step, int64_t now_ms)
{
  if (step->job->queue.advised) {
    for (size_t i = 0; i < step->permits.count; i++) {
      const DagPermit *permit = &step->permits.items[i];
      if (is_valid_permit (permit, now_ms) && !dag_trial_closes (permit->target, step->job, now_ms)
          && startable_count (dag, step, permit->target, now_ms) > 0)
        return true;
    }
    return false;
  }
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!dag_trial_closes (target, step->job, now_ms)
        && startable_count (dag, step, target, now_ms) > 0)
      return true;
  }
  return false;
}

/* Appends the target to out if tasks of the step can start on it. permit is NULL if the queue needs
   no advice. */
static void
add_candidate (DagState *dag, DagStep *step, DagTarget *target, const DagPermit *permit,
               const DagSpeedRank *rank, DagCandidate *out, size_t *count, int64_t now_ms)
{
  int32_t fits = startable_count (dag, step, target, now_ms);
  if (fits == 0)
    return;
  GrRes room = dag_target_free_room (target);
  int32_t cpu = step->spec.demand.v[GR_RES_CPU_MILLI];
  out[(*count)++] = (DagCandidate){
    .target = target,
    .ticket = permit ? permit->ticket : no_ticket,
    .ticket_until = permit ? permit->valid_until : 0,
    .fits = fits,
    .closed = dag_trial_closes (target, step->job, now_ms),
    .spare_cpu_milli
    = room.v[GR_RES_CPU_MILLI] - cpu * (fits < step->waiting ? fits : step->waiting),
    .failed_before = has_failed_on (step, target),
    .near_data
    = step->spec.near_rack.len == 0 || gr_name_equal (&step->spec.near_rack, &target->info.rack),
    .best_effort = step->spec.best_effort_cpu,
    .crash_prone = step->job->stats->crash_prone,
    .expected_harm = dag_pace_expected_harm (dag, step, target),
    .speed_rank = dag_speed_rank_of (rank, target),
  };
}

/* Targets on which no run of the step failed come first, then those with the least harm between
   neighbours, then those near the data, then, for crash-prone queues, those on which the least work
   would be lost, then those whose speed suits the step, then the best fit, which has the least
   spare cpu; for best-effort steps the most. */
static int
compare_candidates (const void *a, const void *b)
{
  const DagCandidate *x = a, *y = b;
  if (x->failed_before != y->failed_before)
    return x->failed_before - y->failed_before;
  if (x->expected_harm != y->expected_harm)
    return x->expected_harm < y->expected_harm ? -1 : 1;
  if (x->near_data != y->near_data)
    return y->near_data - x->near_data;
  if (x->crash_prone && x->target->stake != y->target->stake)
    return x->target->stake < y->target->stake ? -1 : 1;
  if (x->speed_rank != y->speed_rank)
    return x->speed_rank < y->speed_rank ? -1 : 1;
  if (x->spare_cpu_milli != y->spare_cpu_milli)
    return (x->spare_cpu_milli < y->spare_cpu_milli) != x->best_effort ? -1 : 1;
  return x->target->serial < y->target->serial ? -1 : 1;
}

size_t
dag_list_candidates (DagState *dag, DagStep *step, DagCandidate *out, int64_t now_ms)
{
  size_t count = 0;
  DagSpeedRank rank;
  dag_speed_rank (dag, step, now_ms, &rank);
  if (step->job->queue.advised) {
    for (size_t i = 0; i < step->permits.count; i++) {
      const DagPermit *permit = &step->permits.items[i];
      if (is_valid_permit (permit, now_ms))
        add_candidate (dag, step, permit->target, permit, &rank, out, &count, now_ms);
    }
  } else {
    for (size_t i = 0; i < dag->target_list.count; i++)
      add_candidate (dag, step, dag->target_list.items[i], NULL, &rank, out, &count, now_ms);
  }
  qsort (out, count, sizeof *out, compare_candidates);
  return count;
}

void
dag_prefer_one_speed (DagCandidate *candidates, size_t count, const GrName *rack, int32_t tasks)
{
  int32_t room[LEARN_SPEED_CLASSES_MAX] = { 0 };
  for (size_t i = 0; i < count; i++) {
    const DagCandidate *candidate = &candidates[i];
    if (!candidate->closed && !candidate->failed_before
        && (!rack || gr_name_equal (&candidate->target->info.rack, rack)))
      room[candidate->speed_rank] += candidate->fits;
  }
  int32_t chosen = 0;
  while (chosen < LEARN_SPEED_CLASSES_MAX && room[chosen] < tasks)
    chosen++;
  if (chosen == 0 || chosen == LEARN_SPEED_CLASSES_MAX)
    return;
  for (size_t i = 0; i < count; i++) {
    if (candidates[i].speed_rank == chosen)
      candidates[i].speed_rank = -1;
  }
  qsort (candidates, count, sizeof *candidates, compare_candidates);
}
