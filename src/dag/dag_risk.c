/* How likely a start of each queue is to crash its target.

   If a target stops answering, that is blamed on the runs that may be the cause (dag_crash.c), in
   proportion to what is known of their queues. This is done long before it is certain that the
   target has crashed, and undone if it answers again. Targets that fall silent without such a run
   tell how likely other causes are, so that an outage is not blamed on whatever has just started.

   Tasks of a queue that crashes its targets start where the least work would be lost. Nothing else
   follows from these estimates: whether a task is suspected or given up depends on its own crashes
   only. */
#include <math.h>

#include "dag/dag_priv.h"

/* Starts lose their weight within MEMORY_MS while there are more than MEMORY_STARTS of them, and
   the last ones more slowly: queues with few starts are remembered for longer. */
#define MEMORY_STARTS 60.0
#define MEMORY_MS 3000.0
#define MEMORY_LAST_MS 30000.0
/* Counts that each queue begins with. */
#define PRIOR_STARTS 20.0
#define PRIOR_CRASHES 0.02
/* Weight of other causes when no other target is silent. */
#define OTHER_CAUSES_MIN 0.01
/* A queue is crash-prone from the first of these probabilities on, until it falls below the second.
 */
#define CRASH_PRONE_PROBABILITY 0.004
#define NOT_CRASH_PRONE_PROBABILITY 0.0015
/* Many targets may fall silent at the same moment: their share is then counted once. */
#define SILENT_SHARE_VALID_MS 20
/* Failed holds in a row that are blamed on the runs of the target: one connection may be reset by
   itself. */
#define BLAMED_HOLDS 2

static double
crash_probability (const DagQueueStats *stats)
{
  return (stats->crashes + PRIOR_CRASHES)
         / (stats->starts + stats->crashes + PRIOR_STARTS + PRIOR_CRASHES);
}

static void
decay_to (DagQueueStats *stats, int64_t now_ms)
{
  double passed_ms = (double) (now_ms - stats->counted_at);
  if (passed_ms <= 0)
    return;
  double factor = exp (-passed_ms / MEMORY_MS);
  if (stats->starts * factor < MEMORY_STARTS) {
    double slow = exp (-passed_ms / MEMORY_LAST_MS);
    double to_last = stats->starts > MEMORY_STARTS ? MEMORY_STARTS / stats->starts : 1;
    factor = fmin (slow, to_last);
  }
  stats->starts *= factor;
  stats->crashes *= factor;
  stats->counted_at = now_ms;
}

static void
update_crash_prone (const DagState *dag, DagQueueStats *stats)
{
  double probability = crash_probability (stats);
  double limit = stats->crash_prone ? NOT_CRASH_PRONE_PROBABILITY : CRASH_PRONE_PROBABILITY;
  bool crash_prone = probability >= limit;
  if (crash_prone == stats->crash_prone)
    return;
  stats->crash_prone = crash_prone;
  DAG_LOG (dag, GR_EV_CRASH_PRONE, "queue=%.*s crash_prone=%d probability=%.4f starts=%.1f",
           GR_NAME_ARG (stats->queue), crash_prone, probability, stats->starts);
}

void
dag_risk_note_start (DagState *dag, const DagTask *task, int64_t now_ms)
{
  if (task->suspected)
    return;
  DagQueueStats *stats = task->step->job->stats;
  decay_to (stats, now_ms);
  stats->starts += 1;
  update_crash_prone (dag, stats);
}

/* Of the targets without a run that may be the cause, the share that is silent. Targets that were
   not heard of since the given time do not count. */
static double
silent_share (DagState *dag, int64_t since, int64_t now_ms)
{
  if (now_ms < dag->silent_share_until)
    return dag->silent_share;
  double settled = 1;
  double silent = OTHER_CAUSES_MIN;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    bool is_silent = target->hold_failures > 0;
    if (!target->listed || (!is_silent && target->clock_at < since)
        || !dag_trial_is_settled (target))
      continue;
    settled++;
    silent += is_silent;
  }
  dag->silent_share = silent / settled;
  dag->silent_share_until = now_ms + SILENT_SHARE_VALID_MS;
  return dag->silent_share;
}

void
dag_risk_note_silence (DagState *dag, DagTarget *target, bool crashed, int64_t now_ms)
{
  if (target->blamed || (!crashed && target->hold_failures < BLAMED_HOLDS))
    return;
  /* Beside a trial nothing else may be the cause, and trials tell nothing about new tasks. */
  if (target->trials > 0 || dag_trial_is_settled (target))
    return;
  target->blamed = true;
  double sum = silent_share (dag, target->silent_at, now_ms);
  for (DagTask *task = target->runs; task; task = task->target_next) {
    task->blame = 0;
    if (!dag_crash_may_be_cause (task))
      continue;
    decay_to (task->step->job->stats, now_ms);
    task->blame = crash_probability (task->step->job->stats);
    sum += task->blame;
  }
  for (DagTask *task = target->runs; task; task = task->target_next) {
    task->blame /= sum;
    task->step->job->stats->crashes += task->blame;
  }
  for (const DagTask *task = target->runs; task; task = task->target_next)
    update_crash_prone (dag, task->step->job->stats);
}

void
dag_risk_note_innocent (DagState *dag, DagTask *task)
{
  DagQueueStats *stats = task->step->job->stats;
  stats->crashes = fmax (0, stats->crashes - task->blame);
  task->blame = 0;
  update_crash_prone (dag, stats);
}

void
dag_risk_note_answer (DagState *dag, DagTarget *target)
{
  if (!target->blamed)
    return;
  target->blamed = false;
  for (DagTask *task = target->runs; task; task = task->target_next)
    dag_risk_note_innocent (dag, task);
}
