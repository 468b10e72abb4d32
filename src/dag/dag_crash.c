/* Targets that crash, and the tasks that cause it.

   A task may crash each target that starts it, and all runs beside it are lost with the target.
   When a target crashes, the runs that had only just started, or that were suspected before, may be
   the cause; those that had worked for a while are not. A task that may be the cause is suspected:
   it starts again in isolation from other jobs (dag_trial.c), so that at the next crash no other
   job can be the cause. Then its job is given up. A run that lasts clears its task.

   A task is given up only for crashes that were seen: the target showed the run at work, closed its
   connections a moment later, and has started again since, or another one has taken its place. A
   target that falls silent may be cut off or paused; it may have ended the run and have crashed
   idle before it was heard of again. That makes tasks suspected and nothing more, however often it
   comes. A suspected task waits for news of such a target before it starts elsewhere, and on trial
   its target is asked so often that a crash is seen. */
#include "dag/dag_priv.h"

/* A run is ruled out as the cause of a crash once its target has lived for this long since the
   start. */
#define CAUSE_WINDOW_MS 500
/* A task is given up after this many crashes, if the last one was seen, no other job can have
   caused it, and so many of them were seen: those before the first trial may not be. Crashes as
   soon as a run has started are rarely a coincidence, so fewer of them are enough. */
#define GIVE_UP_CRASHES 3
#define GIVE_UP_CRASHES_SEEN 2
#define GIVE_UP_CRASHES_AT_ONCE 2
/* The same if targets closed the connection of the start: some may never have received it. A task
   that crashes them before they answer is not started a sixth time. */
#define GIVE_UP_CRASHES_IN_START 4
/* A target that ends within this time of showing a run at work has ended with it: there is no time
   for a cut in which the run ends and the target crashes later. */
#define SEEN_MS 300
/* Interval at which a target is asked about a run whose end has to be seen. */
#define WATCH_INTERVAL_MS 100
/* A task is suspected after this many crashes, however long its runs had lasted. */
#define SUSPECT_CRASHES 3
/* A run that has worked for longer than this has not caused the crash of its target. */
#define COUNTED_MAX_MS 60000
/* How long a suspected task waits for news of a silent target after its leases have lapsed: a
   crashed target is back within seconds. The time doubles with each target that has crashed under
   the task and while there is no news, so that a task whose targets stay away for long does not go
   on crashing them. Long-running tasks are to be at work: they wait for the shortest time unless
   so many targets have crashed that this is no coincidence. */
#define NEWS_WAIT_MIN_MS 5000
#define NEWS_WAIT_MAX_MS 20000
#define COINCIDENCES_MAX 1
/* A crash that is learned of later than this after the lapse does not count for the run: until it
   lapsed, the target was only cut off. */
#define LAPSED_COUNTS_MS 20000
/* The notice of a target that leaves may be read this much later than it was given. */
#define NOTICE_LAG_MS 500
/* A trial has to outlast earlier runs that ended with a crash by this time: how long these had
   lasted is known from inventories about a second apart. */
#define TRIAL_MARGIN_MS 1000

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

/* How long the target is known to have lived since it started the run. */
static int64_t
target_survived_ms (const DagTask *task)
{
  if (task->confirmed_clock_ms == 0)
    return 0;
  return task->target->clock_ms - task->confirmed_clock_ms;
}

bool
dag_crash_may_be_cause (const DagTask *task)
{
  if (!may_have_run (task))
    return false;
  /* Beside a trial there are only runs that were ruled out before it began. */
  return task->target->trials > 0 ? task->on_trial : target_survived_ms (task) < CAUSE_WINDOW_MS;
}

void
dag_crash_set_suspected (DagTask *task, bool suspected)
{
  task->step->suspects += suspected - task->suspected;
  task->suspected = suspected;
}

/* How long a run of the suspected task has to last. */
static int64_t
trial_ms (const DagTask *task)
{
  int64_t outlast_ms = task->crash_survived_ms > 0 ? task->crash_survived_ms + TRIAL_MARGIN_MS : 0;
  return outlast_ms > CAUSE_WINDOW_MS ? outlast_ms : CAUSE_WINDOW_MS;
}

void
dag_crash_check_trial (DagState *dag, DagTask *task)
{
  if (!task->on_trial || task->survived_ms < trial_ms (task))
    return;
  task->on_trial = false;
  task->target->trials--;
  task->step->job->trials--;
  task->news_wait_ms = 0;
  dag_crash_set_suspected (task, false);
  dag_risk_note_innocent (dag, task);
  dag_job_mark_dirty (dag, task->step->job);
  dag->place_wanted = true;
}

/* True if the next crash of its target has to be seen to count: the task is on trial, or one crash
   away from being suspected. */
static bool
is_watched (const DagTask *task)
{
  return task->on_trial
         || (task->crashes >= SUSPECT_CRASHES - 1 && task->survived_ms <= COUNTED_MAX_MS);
}

void
dag_crash_watch (DagTask *task, int64_t now_ms)
{
  if (!is_watched (task) || task->state != TASK_RUNNING)
    return;
  if (now_ms - task->seen_at >= WATCH_INTERVAL_MS)
    task->target->probe_wanted = true;
}

static void
log_lost_run (const DagState *dag, const DagTask *task, const char *proof)
{
  const DagTarget *target = task->target;
  dag_count (dag, GR_METRIC_RUNS_LOST, 1);
  DAG_LOG (dag, GR_EV_RUN_LOST,
           "id=%.*s queue=%.*s step=%u index=%u run=%lld target=%.*s proof=%s survived_ms=%lld "
           "others=%d crashes=%d seen=%d suspected=%d",
           GR_NAME_ARG (task->step->job->id), GR_NAME_ARG (task->step->job->queue.name),
           task->step->number, task->index, (long long) task->run, GR_NAME_ARG (target->info.id),
           proof, (long long) task->survived_ms, target->run_count - 1, task->crashes,
           task->crashes_seen, task->suspected);
}

/* Time by which the target, which is known to have ended now, had fallen silent. */
static int64_t
silent_by (const DagTarget *target, int64_t now_ms)
{
  return target->hold_failures > 0 ? target->silent_at : now_ms;
}

bool
dag_crash_may_have_left (const DagTarget *target, int64_t now_ms)
{
  if (target->restarting)
    return target->left;
  return target->info.draining && silent_by (target, now_ms) >= target->drain_until - NOTICE_LAG_MS;
}

static DagCrashSight
sight_of (const DagTask *task)
{
  /* What an earlier term has seen. */
  if (task->state == TASK_ADOPTED)
    return task->sight;
  int64_t closed_at = task->target->closed_at;
  if (closed_at == 0)
    return CRASH_UNSEEN;
  if (task->seen_at == 0)
    return task->start_closed ? CRASH_IN_START : CRASH_UNSEEN;
  if (closed_at - task->seen_at > SEEN_MS)
    return CRASH_UNSEEN;
  bool at_once = task->confirmed_at > 0 && closed_at - task->confirmed_at <= SEEN_MS;
  return at_once ? CRASH_SEEN_AT_ONCE : CRASH_SEEN;
}

void
dag_crash_note_closed (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (target->closed_at > 0)
    return;
  target->closed_at = now_ms;
  for (DagTask *task = target->runs; task; task = task->target_next) {
    DagCrashSight sight = sight_of (task);
    /* Later terms have to know it: the crash is proved seconds later. */
    if (!task->on_trial || task->sight == sight)
      continue;
    task->sight = sight;
    dag_job_mark_dirty (dag, task->step->job);
  }
}

static void
count_crash (DagTask *task, int64_t survived_ms, DagCrashSight sight)
{
  task->crashes++;
  switch (sight) {
  case CRASH_UNSEEN:
    break;
  case CRASH_IN_START:
    task->crashes_in_start++;
    break;
  case CRASH_SEEN_AT_ONCE:
    task->crashes_at_once++;
    task->crashes_seen++;
    break;
  case CRASH_SEEN:
    task->crashes_seen++;
    break;
  }
  task->news_wait_ms = 0;
  if (task->crash_survived_ms < survived_ms)
    task->crash_survived_ms = survived_ms;
  if (task->crashes >= SUSPECT_CRASHES)
    dag_crash_set_suspected (task, true);
}

static bool
crash_counts (const DagTask *task)
{
  return task->suspected || task->confirmed_clock_ms > 0;
}

/* True if the task has crashed enough targets to be given up. */
static bool
has_crashed_enough (const DagTask *task)
{
  return task->crashes_at_once >= GIVE_UP_CRASHES_AT_ONCE
         || (task->crashes_seen >= GIVE_UP_CRASHES_SEEN && task->crashes >= GIVE_UP_CRASHES)
         || task->crashes_seen + task->crashes_in_start >= GIVE_UP_CRASHES_IN_START;
}

/* The only job whose runs may be the cause, among those that have ended with the target; NULL if
   there is none or if there are several. */
static DagJob *
find_only_cause (const DagTarget *target)
{
  DagJob *found = NULL;
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    if (!task->over || !dag_crash_may_be_cause (task))
      continue;
    if (found && found != task->step->job)
      return NULL;
    found = task->step->job;
  }
  return target->unknown_runs == 0 ? found : NULL;
}

static void
give_up (DagState *dag, const DagTask *task, int64_t now_ms)
{
  DagJob *job = task->step->job;
  dag_count (dag, GR_METRIC_GIVEN_UP, 1);
  DAG_LOG (dag, GR_EV_GIVEN_UP,
           "id=%.*s step=%u index=%u run=%lld crashes=%d seen=%d at_once=%d in_start=%d",
           GR_NAME_ARG (job->id), task->step->number, task->index, (long long) task->run,
           task->crashes, task->crashes_seen, task->crashes_at_once, task->crashes_in_start);
  dag_job_end (dag, job, DAG_JOB_FAILED, now_ms);
}

/* True if the end of the target may count against the task of the run. */
static bool
is_accountable (const DagTask *task)
{
  return may_have_run (task) && !task->crash_noted && dag_job_is_open (task->step->job)
         && task->survived_ms <= COUNTED_MAX_MS;
}

/* The crash of a target may be due to the run. Returns true if its task is to be given up. */
static bool
note_run (DagTask *task, const DagJob *only_cause)
{
  if (!is_accountable (task))
    return false;
  bool alone = dag_crash_may_be_cause (task) && task->step->job == only_cause;
  bool was_suspected = task->suspected;
  DagCrashSight sight = sight_of (task);
  if (crash_counts (task))
    count_crash (task, task->survived_ms, sight);
  if (dag_crash_may_be_cause (task))
    dag_crash_set_suspected (task, true);
  return alone && was_suspected && sight != CRASH_UNSEEN && has_crashed_enough (task);
}

/* Runs that were released when their leases had lapsed: the target has crashed after all. Their
   tasks may have started elsewhere since. */
static void
count_lapsed_runs (DagState *dag, DagTarget *target, int64_t now_ms)
{
  for (size_t i = 0; i < target->lapsed.count; i++) {
    const DagLapsedRun *run = &target->lapsed.items[i];
    DagTask *task = dag_find_task (dag, &run->task);
    if (!task || now_ms >= run->count_until || !dag_job_is_open (task->step->job))
      continue;
    count_crash (task, run->survived_ms, run->sight);
    dag_job_mark_dirty (dag, task->step->job);
  }
  gr_list_reset (&target->lapsed);
}

bool
dag_crash_awaits_news (const DagTarget *target, int64_t now_ms)
{
  size_t count = target->lapsed.count;
  return count > 0 && now_ms < target->lapsed.items[count - 1].count_until;
}

void
dag_crash_forget_lapse (DagState *dag, DagTarget *target)
{
  for (size_t i = 0; i < target->lapsed.count; i++) {
    DagTask *task = dag_find_task (dag, &target->lapsed.items[i].task);
    if (task)
      task->news_wait_ms = 0;
  }
  gr_list_reset (&target->lapsed);
}

static void
mark_all_over (DagTarget *target)
{
  for (DagTask *task = target->runs; task; task = task->target_next)
    task->over = true;
}

/* Handles the end of the target and of the runs that are marked as over; returns a task that is to
   be given up, or NULL. */
static DagTask *
note_end (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms)
{
  bool crashed = !target->crashed && !dag_crash_may_have_left (target, now_ms);
  if (!crashed)
    return NULL;
  DagTask *culprit = NULL;
  target->crashed = true;
  dag_count (dag, GR_METRIC_TARGET_CRASHES, 1);
  count_lapsed_runs (dag, target, now_ms);
  dag_risk_note_silence (dag, target, true, now_ms);
  const DagJob *only_cause = find_only_cause (target);
  for (DagTask *task = target->runs; task; task = task->target_next) {
    if (!task->over)
      continue;
    if (note_run (task, only_cause))
      culprit = task;
    if (may_have_run (task))
      log_lost_run (dag, task, proof);
  }
  return culprit;
}

void
dag_crash_handle (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms)
{
  mark_all_over (target);
  DagTask *culprit = note_end (dag, target, proof, now_ms);
  dag_target_release_all (dag, target, proof, now_ms);
  if (culprit)
    give_up (dag, culprit, now_ms);
}

static DagTask *
find_over (const DagTarget *target)
{
  DagTask *task = target->runs;
  while (task && !task->over)
    task = task->target_next;
  return task;
}

void
dag_crash_handle_restart (DagState *dag, DagTarget *target, int64_t now_ms)
{
  DagTask *culprit = note_end (dag, target, "restart", now_ms);
  DagTask *task;
  while ((task = find_over (target)) != NULL) {
    task->over = false;
    task->crash_noted = true;
    if (task->starts_unanswered > 0)
      dag_run_stop_again (dag, task);
    else
      dag_run_release (dag, task, now_ms);
  }
  if (culprit)
    give_up (dag, culprit, now_ms);
}

static int64_t
next_news_wait_ms (const DagTask *task)
{
  if (task->step->spec.long_running && task->crashes <= COINCIDENCES_MAX)
    return NEWS_WAIT_MIN_MS;
  int64_t min_ms = NEWS_WAIT_MIN_MS;
  for (int32_t i = 0; i < task->crashes && min_ms < NEWS_WAIT_MAX_MS; i++)
    min_ms *= 2;
  return gr_backoff_next (task->news_wait_ms, min_ms, NEWS_WAIT_MAX_MS);
}

/* Called for a run whose leases have lapsed. Returns true if it is not released yet because its
   task is suspected and news of the target may come soon. */
static bool
waits_for_news (const DagState *dag, DagTask *task, int64_t now_ms)
{
  if (!task->on_trial || !dag_job_is_open (task->step->job))
    return false;
  if (task->news_by > 0)
    return now_ms < task->news_by;
  task->news_wait_ms = next_news_wait_ms (task);
  task->news_by = now_ms + task->news_wait_ms;
  dag_run_stop_gang_later (task->step, now_ms);
  DAG_LOG (dag, GR_EV_TARGET_STATE,
           "target=%.*s state=awaited id=%.*s step=%u index=%u for_ms=%lld",
           GR_NAME_ARG (task->target->info.id), GR_NAME_ARG (task->step->job->id),
           task->step->number, task->index, (long long) task->news_wait_ms);
  return true;
}

/* The run is released because its leases have lapsed: its task may be the cause, and the crash
   counts if it is learned of later. */
static void
note_lapse (DagTask *task, int64_t now_ms)
{
  if (!is_accountable (task))
    return;
  DagTarget *target = task->target;
  if (crash_counts (task)) {
    DagLapsedRun lapsed = { .task = dag_task_ref (task),
                            .survived_ms = task->survived_ms,
                            .sight = sight_of (task),
                            .count_until = now_ms + LAPSED_COUNTS_MS };
    gr_list_push (&target->lapsed, lapsed);
  }
  if (dag_crash_may_be_cause (task))
    dag_crash_set_suspected (task, true);
}

void
dag_crash_handle_lapse (DagState *dag, DagTarget *target, int64_t now_ms)
{
  int released = 0;
  DagTask *next;
  for (DagTask *task = target->runs; task; task = next) {
    next = task->target_next;
    /* Runs that wait for their record have no lease yet. */
    if (task->state == TASK_ASSIGNED || waits_for_news (dag, task, now_ms))
      continue;
    released++;
    note_lapse (task, now_ms);
    log_lost_run (dag, task, "leases lapsed");
    dag_run_release (dag, task, now_ms);
  }
  if (released > 0)
    DAG_LOG (dag, GR_EV_TARGET_STATE,
             "target=%.*s state=lost proof=leases lapsed runs=%d answered=%d silent_ms=%lld "
             "clock_ms=%lld clock_age_ms=%lld lease_until=%lld",
             GR_NAME_ARG (target->info.id), released, target->inventoried,
             (long long) (target->hold_failures > 0 ? now_ms - target->silent_at : 0),
             (long long) target->clock_ms, (long long) (now_ms - target->clock_at),
             (long long) target->lease_sent);
}

void
dag_crash_note_loaded (DagTask *task)
{
  if (task->suspected)
    count_crash (task, 0, CRASH_UNSEEN);
  dag_crash_set_suspected (task, true);
}
