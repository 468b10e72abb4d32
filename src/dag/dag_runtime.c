/* Expected run times of steps, learned from ended runs, and the report of run times and speeds. */
#include <math.h>

#include "dag/dag_priv.h"

/* Placement and the detection of stalls assume the run time that this share of the runs does not
   exceed. The few others take many times as long; no target is fast enough for them. */
#define RUN_TIME_QUANTILE 0.95
/* Variance of the logarithm of run times against an estimate that nothing is known about. */
#define UNKNOWN_VARIANCE 1.0
/* Least interval between two recomputations of the objectives of waiting jobs. */
#define OBJECTIVES_INTERVAL_MS 2000
/* Interval between reports. */
#define REPORT_INTERVAL_MS 10000

uint64_t
dag_work_kind (const GrName *queue, const GrName *image)
{
  uint64_t kind = gr_name_hash (queue, 0);
  if (image->len > 0)
    kind = gr_name_hash (image, kind);
  /* Records hold signed numbers. */
  return kind >> 1;
}

/* Expected run time by the moving average of the queue, without the learned models. */
static double
baseline_run_ms (const DagStep *step)
{
  return step->job->stats->runtime_ratio * (double) step->spec.estimate_ms;
}

/* Model of the image, else of the queue; NULL if none is known. */
static const LearnRuntime *
find_model (const DagStep *step)
{
  const DagQueueStats *stats = step->job->stats;
  const LearnRuntime *model = learn_runtime_find (stats->runtimes, step->work_kind);
  return model && model->in_use ? model : learn_runtime_find (stats->runtimes, stats->work_kind);
}

double
dag_expected_run (const DagStep *step)
{
  return learn_runtime_expected (find_model (step), (double) step->spec.estimate_ms,
                                 baseline_run_ms (step));
}

int64_t
dag_expected_run_ms (const DagStep *step)
{
  return (int64_t) dag_expected_run (step);
}

double
dag_expected_run_variance (const DagStep *step)
{
  const LearnRuntime *model = find_model (step);
  if (!model || !model->in_use)
    return UNKNOWN_VARIANCE;
  double deviation
      = log (learn_runtime_quantile (model, 0.84) / learn_runtime_quantile (model, 0.16)) / 2;
  return deviation * deviation;
}

double
dag_run_p95 (const DagStep *step, int32_t tasks)
{
  double quantile
      = learn_runtime_quantile (find_model (step), pow (RUN_TIME_QUANTILE, 1.0 / tasks));
  return dag_expected_run (step) * (quantile > 1 ? quantile : 1);
}

/* Mean speed of the target's class. Its own value has errors, and the least of the values of many
   targets would be too low by chance. */
static double
speed_of (const DagStep *step, const DagTarget *target)
{
  return step->job->stats->classes->factor[target->speed.speed_class];
}

double
dag_stall_run (const DagTask *task)
{
  const DagStep *step = task->step;
  const LearnRuntime *model = find_model (step);
  double run_ms = model && model->in_use ? dag_run_p95 (step, 1) : baseline_run_ms (step);
  return run_ms / speed_of (step, task->target);
}

/* Speed at which the run works; that of a gang is the one of the slowest member. */
static double
speed_of_run (const DagTask *task)
{
  const DagStep *step = task->step;
  double slowest = speed_of (step, task->target);
  for (size_t i = 0; step->spec.gang && i < step->tasks.count; i++) {
    const DagTarget *target = step->tasks.items[i]->target;
    if (target)
      slowest = fmin (slowest, speed_of (step, target));
  }
  return slowest;
}

/* Weight of one run in the models: tasks of a step do the same work, so together they count as one
   observation. */
static double
weight_of_run (const DagStep *step)
{
  return step->spec.gang ? 1 : 1.0 / step->spec.count;
}

/* Adds the run to what is reported about its queue. */
static void
count_run (DagState *dag, DagQueueStats *stats, double expected_ms, double real_ms)
{
  DagRunSums *sums = &stats->sums;
  sums->runs++;
  sums->expected_ms += expected_ms;
  sums->real_ms += real_ms;
  sums->error += fabs (log ((real_ms + 1) / (expected_ms + 1)));
  if (dag->options.metrics && expected_ms >= 1)
    gr_metric_observe (dag->options.metrics, GR_METRIC_RUN_PERCENT,
                       (int64_t) (100 * real_ms / expected_ms));
}

void
dag_runtime_note_end (DagState *dag, const DagTask *task, int64_t run_ms)
{
  const DagStep *step = task->step;
  DagQueueStats *stats = step->job->stats;
  double estimate = (double) step->spec.estimate_ms, baseline = baseline_run_ms (step);
  double speed = speed_of_run (task), weight = weight_of_run (step);
  count_run (dag, stats, dag_expected_run (step) / speed, (double) run_ms);
  double work_ms = (double) run_ms * speed;
  learn_runtime_observe (&dag->runtimes, stats->work_kind, estimate, baseline, work_ms, weight);
  if (step->work_kind != stats->work_kind)
    learn_runtime_observe (&dag->runtimes, step->work_kind, estimate, baseline, work_ms, weight);
}

void
dag_runtime_note_interrupted (DagState *dag, const DagTask *task)
{
  const DagStep *step = task->step;
  if (!task->timed || task->survived_ms <= 0)
    return;
  learn_runtime_observe_censored (&dag->runtimes, step->work_kind, (double) step->spec.estimate_ms,
                                  (double) task->survived_ms * speed_of_run (task),
                                  weight_of_run (step));
}

void
dag_runtime_renew_objectives (DagState *dag, bool begun)
{
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    if (dag_job_is_open (job) && (begun || !job->begun))
      dag_job_set_objective (job);
  }
  dag->runtimes_used = dag->runtimes.changes;
}

/* Logs the run times of the queues, and the fastest and slowest targets. */
static void
report (const DagState *dag)
{
  for (DagQueueStats *stats = dag->queue_stats; stats; stats = stats->hh.next) {
    DagRunSums *sums = &stats->sums;
    if (sums->runs == 0)
      continue;
    double runs = (double) sums->runs;
    DAG_LOG (dag, GR_EV_RUN_TIMES,
             "queue=%.*s expected_ms=%.0f real_ms=%.0f runs=%lld error_percent=%.0f",
             GR_NAME_ARG (stats->queue), sums->expected_ms / runs, sums->real_ms / runs,
             (long long) sums->runs, 100 * (exp (sums->error / runs) - 1));
    *sums = (DagRunSums){ 0 };
  }
  const DagTarget *slowest = NULL, *fastest = NULL;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!slowest || target->speed.mean < slowest->speed.mean)
      slowest = target;
    if (!fastest || target->speed.mean > fastest->speed.mean)
      fastest = target;
  }
  if (slowest && fastest && dag->classes.count > 1)
    DAG_LOG (dag, GR_EV_SPEEDS, "classes=%zu slowest=%.*s lowest=%.2f fastest=%.*s highest=%.2f",
             dag->classes.count, GR_NAME_ARG (slowest->info.id),
             learn_speed_factor (&slowest->speed), GR_NAME_ARG (fastest->info.id),
             learn_speed_factor (&fastest->speed));
}

void
dag_runtime_tick (DagState *dag, int64_t now_ms)
{
  if (dag->runtimes.changes != dag->runtimes_used && now_ms >= dag->objectives_at) {
    dag->objectives_at = now_ms + OBJECTIVES_INTERVAL_MS;
    dag_runtime_renew_objectives (dag, false);
  }
  if (now_ms < dag->report_at)
    return;
  dag->report_at = now_ms + REPORT_INTERVAL_MS;
  report (dag);
}
