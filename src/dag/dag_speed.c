/* Learned speeds of targets: how ended runs update them, and the order of targets for a step.
   Speeds only order candidates; they never exclude one. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Interval at which the classes of speed are recomputed. */
#define CLASSIFY_INTERVAL_MS 1000
/* A class of speed has room to spare while at least this share of its cpu is free. Without the rule
   short work ended in time less often in a full cell; with a larger share wide steps ended in time
   less often in a cell with room (tests/test_dag_speed.c at 1 to 1.4 times its load). */
#define SPARE_SHARE 0.3
/* Expected run times of a waiting step are cached for this time. */
#define RUNS_KEPT_MS 500
/* Most targets that have left whose speed is kept; at the limit all of them are dropped. */
#define KNOWN_SPEEDS_MAX 2000
/* Most runs of one step that are compared. */
#define MEASURED_RUNS_MAX 512
/* Weight of one start in the moving average DagState.start_delay_ms. */
#define START_DELAY_WEIGHT 0.02

void
dag_speed_init (DagState *dag)
{
  learn_noise_init (&dag->noise);
  dag->classes = (LearnClasses){ .count = 1, .factor = { 1 } };
}

void
dag_speed_remember (DagState *dag, const GrName *id, const LearnSpeed *speed)
{
  DagKnownSpeed *known = NULL;
  HASH_FIND (hh, dag->known_speeds, id->data, id->len, known);
  if (!known) {
    if (HASH_COUNT (dag->known_speeds) >= KNOWN_SPEEDS_MAX)
      dag_speed_clear (dag);
    known = gr_calloc (1, sizeof *known);
    known->id = *id;
    HASH_ADD_KEYPTR (hh, dag->known_speeds, known->id.data, known->id.len, known);
  }
  known->speed = *speed;
}

void
dag_speed_recall (DagState *dag, DagTarget *target)
{
  DagKnownSpeed *known = NULL;
  learn_speed_init (&target->speed, 0);
  HASH_FIND (hh, dag->known_speeds, target->info.id.data, target->info.id.len, known);
  if (!known)
    return;
  target->speed = known->speed;
  target->stored_speed = known->speed.mean;
  HASH_DEL (dag->known_speeds, known);
  free (known);
}

void
dag_speed_clear (DagState *dag)
{
  gr_hash_clear (dag->known_speeds, free);
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
  for (size_t i = 0; step->spec.one_rack && i < step->tasks.count; i++) {
    const DagTarget *other = step->tasks.items[i]->target;
    if (other && !gr_name_equal (&other->info.rack, rack))
      return true;
  }
  return false;
}

/* How long the run has worked; 0 if that is not known or not representative of such runs. */
static int64_t
measured_run_ms (const DagTask *task, int64_t now_ms)
{
  const DagTarget *target = task->target;
  /* Ends during a silence are reported when it is over. */
  if (!task->timed || target->silent_at >= task->work_at || task->pace != 100
      || is_misplaced (task))
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

static int
compare_runs (const void *a, const void *b)
{
  const DagMeasuredRun *x = a, *y = b;
  return x->target < y->target ? -1 : x->target > y->target;
}

void
dag_speed_note_step (DagState *dag, DagStep *step, int64_t now_ms)
{
  size_t count = step->measured.count, known = 0;
  LearnRun *runs = gr_calloc (count + 1, sizeof *runs);
  if (count > 0)
    qsort (step->measured.items, count, sizeof *step->measured.items, compare_runs);
  DagTarget *target = NULL;
  for (size_t i = 0; i < count; i++) {
    const DagMeasuredRun *run = &step->measured.items[i];
    if (i == 0 || run->target != run[-1].target)
      target = find_by_serial (dag, run->target);
    if (target)
      runs[known++] = (LearnRun){ &target->speed, run->log_run_ms };
  }
  learn_speed_observe (runs, known, dag_expected_run (step), dag_expected_run_variance (step),
                       &dag->noise, now_ms);
  free (runs);
  gr_list_clear (&step->measured);
}

void
dag_speed_note_end (DagState *dag, DagTask *task, int64_t now_ms)
{
  int64_t run_ms = measured_run_ms (task, now_ms);
  if (run_ms == 0)
    return;
  dag_runtime_note_end (dag, task, run_ms);
  /* The members of a gang end together, at the speed of the slowest. */
  if (task->step->spec.gang)
    return;
  DagMeasuredRun run = { task->target->serial, (float) log ((double) run_ms) };
  if (task->step->measured.count < MEASURED_RUNS_MAX)
    gr_list_push (&task->step->measured, run);
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
  dag_learn_check_record (dag, now_ms);
}

/* Speed at which a run of run_ms at the mean speed ends within left_ms. */
static double
speed_for (double run_ms, int64_t left_ms)
{
  return left_ms > 0 ? run_ms / (double) left_ms : INFINITY;
}

/* Recomputes the cached run times if they are old. Computing them takes microseconds, and a pass
   visits hundreds of steps. */
static void
renew_runs (DagStep *step, int64_t now_ms)
{
  DagStepRuns *runs = &step->runs;
  if (runs->known && now_ms - runs->known_at < RUNS_KEPT_MS)
    return;
  runs->known = true;
  runs->known_at = now_ms;
  runs->expected = dag_expected_run (step);
  runs->p95_one = dag_run_p95 (step, 1);
  /* The members of a gang end together. */
  runs->p95_all = step->spec.gang ? runs->p95_one : dag_run_p95 (step, step->spec.count);
}

/* Speed at which a run that takes long_ms at the mean speed ends within the time of the step if it
   starts now. An objective that is out of reach even on the fastest targets must not occupy them:
   then the hard deadline counts. */
static double
needed_speed (const DagState *dag, const DagStep *step, double long_ms, int64_t now_ms)
{
  const DagJob *job = step->job;
  /* The report of the end takes as long as the start did: a message and a record each. */
  int64_t ready_at = now_ms + 2 * (int64_t) dag->start_delay_ms + step->after_ms;
  double fastest = dag->classes.factor[dag->classes.count - 1];
  int64_t deadline = job->objective_without_advice_at;
  if (speed_for (step->runs.expected, deadline - ready_at) > fastest)
    deadline = job->hard_deadline_at;
  double needed = speed_for (long_ms, deadline - ready_at);
  return deadline == job->hard_deadline_at && needed > fastest ? 0 : needed;
}

/* Slowest class that is fast enough, or the fastest one. */
static size_t
slowest_class (const LearnClasses *classes, double needed)
{
  size_t c = 0;
  while (c + 1 < classes->count && classes->factor[c] < needed)
    c++;
  return c;
}

void
dag_speed_measure_room (DagState *dag, int64_t now_ms)
{
  int64_t capacity[LEARN_SPEED_CLASSES_MAX] = { 0 }, room[LEARN_SPEED_CLASSES_MAX] = { 0 };
  if (dag->classes.count < 2)
    return;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!dag_target_usable (target, now_ms))
      continue;
    capacity[target->speed.speed_class] += target->info.capacity.v[GR_RES_CPU_MILLI];
    room[target->speed.speed_class] += dag_target_free_cpu (target);
  }
  for (size_t c = 0; c < dag->classes.count; c++)
    dag->class_free[c] = capacity[c] > 0 ? (double) room[c] / (double) capacity[c] : 0;
}

void
dag_speed_rank (const DagState *dag, DagStep *step, int64_t now_ms, DagSpeedRank *out)
{
  *out = (DagSpeedRank){ 0 };
  /* Long-running and best-effort tasks have no run time. */
  if (dag->classes.count < 2 || step->spec.long_running || step->spec.best_effort_cpu)
    return;
  renew_runs (step, now_ms);
  double needed = needed_speed (dag, step, step->runs.p95_one, now_ms);
  /* The last of many tasks to end takes longer than one task does. If only that calls for faster
     targets, the step gets them while they have room to spare. */
  double needed_by_all = needed_speed (dag, step, step->runs.p95_all, now_ms);
  if (dag->class_free[slowest_class (&dag->classes, needed_by_all)] >= SPARE_SHARE)
    needed = needed_by_all;
  learn_speed_rank (&dag->classes, needed, out->of_class);
}

int32_t
dag_speed_rank_of (const DagSpeedRank *rank, const DagTarget *target)
{
  return rank->of_class[target->speed.speed_class];
}
