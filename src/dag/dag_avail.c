/* Availability of long-running tasks: which runs the scheduler may end by its own choice, when a
   task starts again after its run has ended, and what happens to the runs of draining targets.

   A long-running task is available while its run reports full progress. */
#include "dag/dag_priv.h"

/* A run that ends sooner than this after its start counts as failed at once. */
#define QUICK_END_MS 3000
/* Runs of a draining target are stopped this long before it leaves, to keep their checkpoints. */
#define DRAIN_MARGIN_MS 500
/* Exponential backoff of a task whose runs fail at once. */
#define RESTART_BACKOFF_MIN_MS 200
#define RESTART_BACKOFF_MAX_MS 2000
/* Limit of unavailable tasks of a step that sets none, as a share of its tasks; at least one. */
#define UNAVAILABLE_SHARE 0.25

static bool
is_available (const DagTask *task)
{
  return task->state == TASK_RUNNING && task->percent >= 100 && task->target->hold_failures == 0;
}

static int32_t
max_unavailable (const DagStepSpec *spec)
{
  if (spec->max_unavailable > 0)
    return spec->max_unavailable;
  int32_t share = (int32_t) (UNAVAILABLE_SHARE * spec->count);
  return share > 0 ? share : 1;
}

bool
dag_may_interrupt (const DagState *dag, const DagTask *task)
{
  const DagStep *step = task->step;
  if (!step->spec.long_running || !is_available (task) || dag->options.broken_interrupt_unchecked)
    return true;
  int32_t available = 0;
  for (size_t i = 0; i < step->tasks.count; i++)
    available += is_available (step->tasks.items[i]);
  return step->spec.count - available < max_unavailable (&step->spec);
}

void
dag_interrupt (DagState *dag, DagTask *task, const char *reason, int64_t now_ms)
{
  const DagStep *step = task->step;
  DAG_LOG (dag, GR_EV_INTERRUPTED, "id=%.*s step=%u index=%u run=%lld target=%.*s reason=%s",
           GR_NAME_ARG (step->job->id), step->number, task->index, (long long) task->run,
           GR_NAME_ARG (task->target->info.id), reason);
  dag_count (dag, GR_METRIC_INTERRUPTED, 1);
  dag_run_stop (dag, task, now_ms);
}

void
dag_avail_handle_end (DagTask *task, int64_t now_ms)
{
  if (task->state == TASK_STOPPING)
    return;
  if (task->confirmed_at > 0 && now_ms - task->confirmed_at >= QUICK_END_MS) {
    task->restart_pause_ms = 0;
    return;
  }
  task->restart_pause_ms
      = gr_backoff_next (task->restart_pause_ms, RESTART_BACKOFF_MIN_MS, RESTART_BACKOFF_MAX_MS);
  task->restart_at = now_ms + task->restart_pause_ms;
}

static bool
is_leaving (const DagTask *task)
{
  return task->step->spec.long_running && task->state == TASK_RUNNING
         && dag_job_is_open (task->step->job);
}

static void
move_runs (DagState *dag, DagTarget *target, int64_t now_ms)
{
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    DagStep *step = task->step;
    /* While its account exceeds the maximum, the task could not start elsewhere. */
    if (!is_leaving (task) || dag_client_exceeds_maximum (step->job->client))
      continue;
    if (step->job->queue.advised)
      dag_advice_request (dag, step, 1, now_ms);
    if (dag_may_interrupt (dag, task) && dag_has_room (dag, step, now_ms))
      dag_interrupt (dag, task, "draining", now_ms);
  }
}

/* Stops runs that would be cut off when a draining target leaves. */
static void
stop_draining_runs (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (now_ms < target->drain_until - DRAIN_MARGIN_MS)
    return;
  for (DagTask *task = target->runs, *next; task; task = next) {
    next = task->target_next;
    if (task->state == TASK_RUNNING)
      dag_run_stop (dag, task, now_ms);
  }
}

void
dag_avail_tick (DagState *dag, int64_t now_ms)
{
  for (size_t i = 0; i < dag->target_list.count; i++) {
    DagTarget *target = dag->target_list.items[i];
    if (!target->info.draining || !target->listed || target->run_count == 0)
      continue;
    move_runs (dag, target, now_ms);
    stop_draining_runs (dag, target, now_ms);
  }
}
