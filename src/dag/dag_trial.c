/* Trials: a suspected task (dag_crash.c) starts on a target where no run of another job may be the
   cause of a crash, and no other job starts tasks there until the run has lasted. Tasks of one job
   share such a target, and a job has one at a time unless it is a gang: they behave alike, so the
   others need not crash further targets. Targets on which the least work would be lost come first.
 */
#include "dag/dag_priv.h"

/* A target whose VM crashed within this time is used for trials only if no other can be: it may
   crash by itself again. */
#define RECENT_CRASH_MS 30000
/* Most targets that wait for a trial at a time, as a share of all; at least one. */
#define QUIET_SHARE_MAX 0.125
/* How long a target is kept for a trial: long enough for its newest runs to be ruled out as the
   cause of a crash. */
#define QUIET_MS 900
/* Interval at which it is asked meanwhile whether it lives. */
#define QUIET_PROBE_MS 300

bool
dag_trial_closes (const DagTarget *target, const DagJob *job, int64_t now_ms)
{
  if (target->trials > 0)
    return target->trial_job != job;
  return now_ms < target->quiet_until;
}

bool
dag_trial_is_settled (const DagTarget *target)
{
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    if (task->state == TASK_ASSIGNED || dag_crash_may_be_cause (task))
      return false;
  }
  return true;
}

static bool
crashed_recently (const DagTarget *target, int64_t now_ms)
{
  return target->vm_crashed_at > 0 && now_ms - target->vm_crashed_at < RECENT_CRASH_MS;
}

/* True if a is the better target for a trial. */
static bool
is_better (const DagTarget *a, const DagTarget *b, int64_t now_ms)
{
  bool a_crashed = crashed_recently (a, now_ms);
  bool b_crashed = crashed_recently (b, now_ms);
  if (a_crashed != b_crashed)
    return b_crashed;
  return a->stake < b->stake;
}

/* True if tasks of the job are on trial on the candidate or will be. */
static bool
is_trial_of (const DagCandidate *candidate, const DagJob *job)
{
  const DagTarget *target = candidate->target;
  return candidate->trial || (target->trials > 0 && target->trial_job == job);
}

DagCandidate *
dag_trial_choose (const DagStep *step, DagCandidate *candidates, size_t count, int64_t now_ms)
{
  DagCandidate *best = NULL;
  for (size_t i = 0; i < count; i++) {
    DagCandidate *candidate = &candidates[i];
    if (candidate->fits <= 0)
      continue;
    if (is_trial_of (candidate, step->job))
      return candidate;
    if (candidate->target->trials > 0
        || (best && !is_better (candidate->target, best->target, now_ms))
        || !dag_trial_is_settled (candidate->target))
      continue;
    best = candidate;
  }
  return step->job->trials > 0 && !step->spec.gang ? NULL : best;
}

/* Number of targets that are kept for trials. */
static size_t
count_quiet (const DagState *dag, int64_t now_ms)
{
  size_t count = 0;
  for (size_t i = 0; i < dag->target_list.count; i++)
    count += now_ms < dag->target_list.items[i]->quiet_until;
  return count;
}

/* Asks the candidates that are kept for a trial whether they live. Returns true if there are any.
 */
static bool
probe_quiet (const DagCandidate *candidates, size_t count, int64_t now_ms)
{
  bool found = false;
  for (size_t i = 0; i < count; i++) {
    DagTarget *target = candidates[i].target;
    if (candidates[i].fits <= 0 || now_ms >= target->quiet_until)
      continue;
    found = true;
    if (now_ms - target->clock_at >= QUIET_PROBE_MS)
      target->probe_wanted = true;
  }
  return found;
}

void
dag_trial_prepare (DagState *dag, const DagJob *job, const DagCandidate *candidates, size_t count,
                   int64_t now_ms)
{
  size_t most = (size_t) (QUIET_SHARE_MAX * (double) dag->target_list.count);
  if (job->trials > 0 || probe_quiet (candidates, count, now_ms)
      || count_quiet (dag, now_ms) >= (most > 0 ? most : 1))
    return;
  DagTarget *best = NULL;
  for (size_t i = 0; i < count; i++) {
    DagTarget *target = candidates[i].target;
    if (candidates[i].fits <= 0 || candidates[i].closed)
      continue;
    if (!best || is_better (target, best, now_ms))
      best = target;
  }
  if (best)
    best->quiet_until = now_ms + QUIET_MS;
}
