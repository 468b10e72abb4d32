/* Learned speeds of targets: what ended runs tell about them, and the order of targets that follows
   for a step. They only order choices. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Classes of speed are formed anew at this interval. */
#define CLASSIFY_INTERVAL_MS 1000
/* Weight of one start in the moving average DagState.start_delay_ms. */
#define START_DELAY_WEIGHT 0.02

void
dag_speed_init (DagState *dag)
{
  learn_noise_init (&dag->noise);
  dag->classes = (LearnClasses){ .count = 1, .factor = { 1 } };
}

void
dag_speed_note_start (DagState *dag, DagTask *task, int64_t clock_ms, int64_t now_ms)
{
  const DagStepSpec *spec = &task->step->spec;
  bool resumed = spec->checkpoints && dag_checkpoint (task)->len > 0;
  /* A start that was repeated may have been carried out long before its answer. */
  task->timed = task->starts_unanswered == 0 && !resumed && !spec->best_effort_cpu;
  task->work_clock_ms = clock_ms;
  task->work_at = now_ms;
  double delay = (double) (now_ms - task->assigned_at);
  dag->start_delay_ms += START_DELAY_WEIGHT * (delay - dag->start_delay_ms);
}

/* True if the run is slowed by where it was placed: far from its data, or a gang that is spread
   over racks. */
static bool
is_misplaced (const DagTask *task)
{
  const DagStep *step = task->step;
  const GrName *rack = &task->target->info.rack;
  if (step->spec.near_rack.len > 0 && !gr_name_equal (&step->spec.near_rack, rack))
    return true;
  for (int32_t i = 0; step->spec.one_rack && i < step->spec.count; i++) {
    const DagTarget *other = step->tasks[i].target;
    if (other && !gr_name_equal (&other->info.rack, rack))
      return true;
  }
  return false;
}

/* How long the run has worked, 0 if that is not known or does not tell how long such runs take. */
static int64_t
measured_run_ms (const DagTask *task, int64_t now_ms)
{
  const DagTarget *target = task->target;
  if (!task->timed || task->pace != 100 || is_misplaced (task))
    return 0;
  int64_t run_ms = task->work_clock_ms > 0 && target->clock_ms > task->work_clock_ms
                       ? target->clock_ms - task->work_clock_ms
                       : now_ms - task->work_at;
  return run_ms > 0 ? run_ms : 1;
}

static DagTarget *
find_by_serial (const DagState *dag, uint32_t serial)
{
  for (size_t i = 0; i < dag->target_list.count; i++) {
    if (dag->target_list.items[i]->serial == serial)
      return dag->target_list.items[i];
  }
  return NULL;
}

/* Compares the target with those on which other tasks of the step have ended. */
static void
compare_with_siblings (DagState *dag, DagStep *step, DagTarget *target, int64_t run_ms,
                       int64_t now_ms)
{
  LearnWork *work = &step->work;
  if (work->ends == 0) {
    learn_work_init (work, dag_expected_run (step), dag_expected_run_variance (step));
    step->first_end_serial = target->serial;
    step->first_end_ms = run_ms;
  } else if (step->first_end_serial == target->serial) {
    /* Two runs on one target say nothing about its speed. */
    return;
  }
  bool second = work->ends == 1;
  learn_speed_observe (&target->speed, work, &dag->noise, (double) run_ms, now_ms);
  DagTarget *first = second ? find_by_serial (dag, step->first_end_serial) : NULL;
  if (first)
    learn_speed_compare (&first->speed, (double) step->first_end_ms, &target->speed,
                         (double) run_ms, &dag->noise, now_ms);
}

void
dag_speed_note_end (DagState *dag, DagTask *task, int64_t now_ms)
{
  int64_t run_ms = measured_run_ms (task, now_ms);
  if (run_ms == 0)
    return;
  dag_runtime_note_end (dag, task, run_ms);
  /* The members of a gang end together, at the speed of the slowest. */
  if (!task->step->spec.gang)
    compare_with_siblings (dag, task->step, task->target, run_ms, now_ms);
}

void
dag_speed_tick (DagState *dag, int64_t now_ms)
{
  size_t count = dag->target_list.count;
  if (now_ms < dag->classify_at || count == 0)
    return;
  dag->classify_at = now_ms + CLASSIFY_INTERVAL_MS;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  LearnSpeed **speeds = gr_calloc (count, sizeof *speeds);
  for (size_t i = 0; i < count; i++) {
    speeds[i] = &dag->target_list.items[i]->speed;
    learn_speed_fade (speeds[i], now_ms);
  }
  learn_speed_classify (speeds, count, &dag->classes);
  free (speeds);
}

/* Speed at which a run of run_ms at the mean speed ends within left_ms. */
static double
speed_for (double run_ms, int64_t left_ms)
{
  return left_ms > 0 ? run_ms / (double) left_ms : INFINITY;
}

/* Speed that the step needs if it starts now. An objective that is out of reach even on the fastest
   targets must not occupy them: then the hard deadline counts. */
static double
needed_speed (const DagState *dag, const DagStep *step, int64_t now_ms)
{
  const DagJob *job = step->job;
  int64_t ready_at = now_ms + (int64_t) dag->start_delay_ms + step->after_ms;
  double fastest = dag->classes.factor[dag->classes.count - 1];
  int64_t deadline = job->objective_at;
  if (speed_for (dag_expected_run (step), deadline - ready_at) > fastest)
    deadline = job->hard_deadline_at;
  double needed = speed_for (dag_long_run (step), deadline - ready_at);
  return deadline == job->hard_deadline_at && needed > fastest ? 0 : needed;
}

void
dag_speed_rank (const DagState *dag, const DagStep *step, int64_t now_ms, DagSpeedRank *out)
{
  *out = (DagSpeedRank){ 0 };
  /* Long-running and best-effort tasks have no run time. */
  if (dag->classes.count > 1 && !step->spec.long_running && !step->spec.best_effort_cpu)
    learn_speed_rank (&dag->classes, needed_speed (dag, step, now_ms), out->of_class);
}

int32_t
dag_speed_rank_of (const DagSpeedRank *rank, const DagTarget *target)
{
  return rank->of_class[target->speed.speed_class];
}
