/* Targets that end without draining, and the runs that are lost with them. */
#include "dag/dag_priv.h"

/* True if the run may have been at work when its target ended. */
static bool
may_have_run (const DagTask *task)
{
  switch (task->state) {
  case TASK_STARTING:
  case TASK_RUNNING:
  case TASK_ADOPTED:
  case TASK_STOPPING:
    return true;
  case TASK_WAITING:
  case TASK_ASSIGNED:
  case TASK_DONE:
    return false;
  }
  return false;
}

void
dag_crash_log_run (const DagState *dag, const DagTask *task, const char *proof)
{
  const DagTarget *target = task->target;
  dag_count (dag, GR_METRIC_RUNS_LOST, 1);
  DAG_LOG (dag, GR_EV_RUN_LOST,
           "id=%.*s step=%u index=%u run=%lld target=%.*s proof=%s survived_ms=%lld others=%d",
           GR_NAME_ARG (task->step->job->id), task->step->number, task->index,
           (long long) task->run, GR_NAME_ARG (target->info.id), proof,
           (long long) task->survived_ms, target->run_count - 1);
}

void
dag_crash_handle (DagState *dag, DagTarget *target, const char *proof)
{
  if (target->crashed || target->info.draining)
    return;
  target->crashed = true;
  dag_count (dag, GR_METRIC_TARGET_CRASHES, 1);
  for (DagTask *task = target->runs; task; task = task->target_next) {
    if (may_have_run (task))
      dag_crash_log_run (dag, task, proof);
  }
}
