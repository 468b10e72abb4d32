/* Reports of attempts, retries, orphans, and the end of tasks and jobs. */
#include "job/job_private.h"

#include <stdlib.h>

/* Largest exponent of the backoff. JobOptions.backoff_max_ms limits the delay as well. */
#define BACKOFF_SHIFT_MAX 10

void
job_schedule_retry (JobState *state, Job *job, int32_t index, bool count_retry, int64_t now_ms)
{
  JobTask *task = &job->tasks[index];
  const JobOptions *options = &state->options;
  int shift = task->failures < BACKOFF_SHIFT_MAX ? task->failures : BACKOFF_SHIFT_MAX;
  int64_t delay = options->backoff_min_ms << shift;
  if (count_retry && state->retry_tokens < 1.0)
    delay = options->backoff_max_ms;
  else if (count_retry)
    state->retry_tokens -= 1.0;
  if (delay > options->backoff_max_ms)
    delay = options->backoff_max_ms;
  int64_t half = delay / 2;
  delay = half + (int64_t) (erand48 (state->random) * (double) half);
  task->phase = JOB_TASK_IDLE;
  task->due_ms = now_ms + delay;
  if (task->due_ms > job->spec.deadline_ms)
    task->due_ms = job->spec.deadline_ms;
  job_timer_add (state, task->due_ms, &job->id, index);
}

/* Returns whether the end record must be read back before callers get the outcome. Otherwise a new
   owner could run the job again and send another outcome. A completion is true in any case; it is
   sent at once unless an earlier owner may have ended the job with an outcome that was not read
   yet. While the partition is ready, "not run" is sent at once if the job has no accept record, or
   if the deadline has passed, since no owner starts the job after it. */
static bool
end_must_be_read_back (const JobState *state, const Job *job, int64_t now_ms)
{
  if (job->outcome == JOB_OUTCOME_COMPLETED)
    return job->accept_appended && !state->parts[job->part].opened;
  if (!job_part_ready (state, job->part, now_ms))
    return true;
  if (job->outcome == JOB_OUTCOME_NOT_RUN)
    return job->accept_appended && job->spec.deadline_ms > now_ms;
  return true;
}

void
job_finish (JobState *state, Job *job, JobOutcome outcome, GrErrCode why, GrStr answer,
            int64_t now_ms, JobCmds *out)
{
  job->phase = JOB_ENDED;
  job->outcome = outcome;
  job->why = why;
  gr_buf_append_str (&job->answer, answer);
  state->unfinished--;
  job->end_pending = end_must_be_read_back (state, job, now_ms);
  if (job->accept_appended || job->end_pending) {
    JobRecord record = { .kind = JOB_RECORD_END, .id = job->id, .outcome = outcome, .why = why };
    record.answer = answer;
    job_append (state, &record, out);
  }
  job->outcome_expiry_ms = job_outcome_expiry_ms (state, &job->id, now_ms);
  job_timer_add (state, job->outcome_expiry_ms, &job->id, JOB_TIMER_JOB);
  if (!job->end_pending) {
    job_reply_all (state, job, out);
    return;
  }
  if (job->spec.deadline_ms != JOB_NEVER)
    job_timer_add (state, job->spec.deadline_ms, &job->id, JOB_TIMER_JOB);
}

static JobOutcome
combined_outcome (const Job *job, GrErrCode *why)
{
  /* The most severe outcome of a task decides; a higher number is more severe. */
  static const int severity[] = {
    [JOB_OUTCOME_NONE] = 0,   [JOB_OUTCOME_COMPLETED] = 0, [JOB_OUTCOME_NOT_RUN] = 1,
    [JOB_OUTCOME_FAILED] = 2, [JOB_OUTCOME_UNKNOWN] = 3,   [JOB_OUTCOME_CANCELLED] = 4,
  };
  JobOutcome worst = JOB_OUTCOME_COMPLETED;
  bool all_not_run = true;
  *why = GR_ERR_NONE;
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    const JobTask *task = &job->tasks[i];
    all_not_run = all_not_run && task->outcome == JOB_OUTCOME_NOT_RUN;
    if (severity[task->outcome] > severity[worst]) {
      worst = task->outcome;
      *why = task->why;
    }
  }
  /* A job is "not run" only if none of its tasks ran. */
  return worst == JOB_OUTCOME_NOT_RUN && !all_not_run ? JOB_OUTCOME_FAILED : worst;
}

/* Stops the other tasks of a gang, which cannot run without the one that ended. */
static void
abandon_gang (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  if (job->abandoned)
    return;
  job->abandoned = true;
  job_restart_gang (job, out);
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
    JobTask *task = &job->tasks[i];
    if (task->phase == JOB_TASK_IDLE || task->phase == JOB_TASK_RECORDING)
      job_finish_task (state, job, i, task->maybe_ran ? JOB_OUTCOME_FAILED : JOB_OUTCOME_NOT_RUN,
                       GR_ERR_FAILED, GR_STR (""), now_ms, out);
    else if (task->phase != JOB_TASK_DONE)
      job_emit_task_cmd (job, i, JOB_CMD_CANCEL_TASK, out);
  }
}

void
job_finish_task (JobState *state, Job *job, int32_t index, JobOutcome outcome, GrErrCode why,
                 GrStr answer, int64_t now_ms, JobCmds *out)
{
  if (job->phase == JOB_ENDED || job->tasks[index].phase == JOB_TASK_DONE)
    return;
  JobTask *task = &job->tasks[index];
  task->phase = JOB_TASK_DONE;
  task->outcome = outcome;
  task->why = why;
  job->done_tasks++;
  if (job->done_tasks == job->spec.tasks) {
    GrErrCode job_why;
    JobOutcome job_outcome = combined_outcome (job, &job_why);
    job_finish (state, job, job_outcome, job_why, answer, now_ms, out);
    return;
  }
  if (job->accept_appended) {
    JobRecord record = { .kind = JOB_RECORD_TASK_END, .id = job->id, .index = index };
    record.outcome = outcome;
    record.why = why;
    task->end_recorded = true;
    job_append (state, &record, out);
  }
  if (job->spec.policy == JOB_POLICY_GANG && outcome != JOB_OUTCOME_COMPLETED)
    abandon_gang (state, job, now_ms, out);
}

static bool
may_retry (const JobState *state, const Job *job, const JobTask *task)
{
  if (!job->spec.idempotent && !state->options.faults.retry_non_idempotent)
    return false;
  if (job->abandoned)
    return false;
  return job->spec.policy == JOB_POLICY_SERVICE || task->failures < state->options.max_attempts;
}

static JobOutcome
outcome_of_report (const JobState *state, JobTaskState task_state)
{
  switch (task_state) {
  case JOB_TASK_RUNNING:
    return JOB_OUTCOME_NONE;
  case JOB_TASK_SUCCEEDED:
    return JOB_OUTCOME_COMPLETED;
  case JOB_TASK_FAILED:
  case JOB_TASK_STOPPED:
    return JOB_OUTCOME_FAILED;
  case JOB_TASK_LAPSED:
    return state->options.faults.not_run_without_proof ? JOB_OUTCOME_NOT_RUN : JOB_OUTCOME_UNKNOWN;
  }
  return JOB_OUTCOME_UNKNOWN;
}

/* Retries or ends the task after an attempt that did not succeed. */
static void
attempt_failed (JobState *state, Job *job, int32_t index, JobTaskState task_state, int64_t now_ms,
                JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->attempt_open = false;
  if (job->cancelled) {
    job_finish_task (state, job, index, JOB_OUTCOME_CANCELLED, GR_ERR_CANCELLED, GR_STR (""),
                     now_ms, out);
    return;
  }
  if (task_state != JOB_TASK_STOPPED)
    task->failures++;
  if (!may_retry (state, job, task)) {
    JobOutcome outcome = outcome_of_report (state, task_state);
    /* Idempotent work that has certainly started counts as failed when its last attempt lapses. */
    if (outcome == JOB_OUTCOME_UNKNOWN && job->spec.idempotent && task->ran)
      outcome = JOB_OUTCOME_FAILED;
    GrErrCode why = outcome == JOB_OUTCOME_UNKNOWN ? GR_ERR_UNKNOWN : GR_ERR_FAILED;
    job_finish_task (state, job, index, outcome, why, GR_STR (""), now_ms, out);
    return;
  }
  job_schedule_retry (state, job, index, task_state != JOB_TASK_STOPPED, now_ms);
  if (job->spec.policy != JOB_POLICY_GANG)
    return;
  if (!job->gang_restart) {
    job_restart_gang (job, out);
    for (int32_t i = 0; i < job->spec.tasks; i++) {
      JobTaskPhase phase = job->tasks[i].phase;
      if (phase == JOB_TASK_QUEUED || phase == JOB_TASK_ON_TARGET || phase == JOB_TASK_UNRESOLVED)
        job_emit_task_cmd (job, i, JOB_CMD_CANCEL_TASK, out);
    }
  }
  job_reschedule_gang (state, job, now_ms);
}

static void
attempt_running (JobState *state, Job *job, int32_t index, const GrName *scheduler, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->phase = JOB_TASK_ON_TARGET;
  task->scheduler = *scheduler;
  task->avoid_count = 0;
  job->phase = JOB_RUNNING;
  job_append_accept (state, job, out);
  if (job->cancel_durable || job->abandoned)
    job_emit_task_cmd (job, index, JOB_CMD_CANCEL_TASK, out);
}

void
job_apply_report (JobState *state, Job *job, int32_t index, int32_t attempt,
                  JobTaskState task_state, const GrName *scheduler, GrStr answer, int64_t now_ms,
                  JobCmds *out)
{
  if (job->phase == JOB_ENDED)
    return;
  JobTask *task = &job->tasks[index];
  if (task->phase == JOB_TASK_DONE || attempt < task->attempt)
    return;
  if (attempt > task->attempt) {
    task->attempt = attempt;
    task->attempt_open = true;
  }
  /* A late duplicate: the attempt has already ended. */
  if (!task->attempt_open && task->phase == JOB_TASK_IDLE)
    return;
  task->maybe_ran = true;
  task->ran = task->ran || task_state != JOB_TASK_LAPSED;
  switch (task_state) {
  case JOB_TASK_RUNNING:
    attempt_running (state, job, index, scheduler, out);
    return;
  case JOB_TASK_SUCCEEDED:
    if (job->spec.policy == JOB_POLICY_SERVICE && !job->cancelled) {
      task->attempt_open = false;
      job_schedule_retry (state, job, index, false, now_ms);
      return;
    }
    job_finish_task (state, job, index, JOB_OUTCOME_COMPLETED, GR_ERR_NONE, answer, now_ms, out);
    return;
  case JOB_TASK_FAILED:
  case JOB_TASK_STOPPED:
  case JOB_TASK_LAPSED:
    attempt_failed (state, job, index, task_state, now_ms, out);
    return;
  }
}

void
job_drop_orphan (JobState *state, JobOrphan *orphan)
{
  HASH_DEL (state->orphans, orphan);
  gr_buf_clear (&orphan->answer);
  free (orphan);
}

JobOrphan *
job_find_orphan (JobState *state, const GrName *task_id)
{
  JobOrphan *orphan = NULL;
  HASH_FIND (hh, state->orphans, task_id, sizeof *task_id, orphan);
  return orphan;
}

JobOrphan *
job_store_orphan (JobState *state, const GrName *task_id, int32_t attempt, const GrName *scheduler,
                  int64_t now_ms)
{
  JobOrphan *orphan = job_find_orphan (state, task_id);
  if (orphan && orphan->attempt > attempt)
    return NULL;
  if (!orphan) {
    orphan = gr_calloc (1, sizeof *orphan);
    orphan->id = *task_id;
    HASH_ADD (hh, state->orphans, id, sizeof orphan->id, orphan);
  }
  orphan->attempt = attempt;
  orphan->queued = false;
  orphan->scheduler = *scheduler;
  gr_buf_clear (&orphan->answer);
  orphan->expiry_ms = now_ms + JOB_ORPHAN_KEEP_MS;
  job_timer_add (state, orphan->expiry_ms, &orphan->id, JOB_TIMER_ORPHAN);
  return orphan;
}

void
job_adopt_orphans (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
    GrName task_id = job_task_id (job, i);
    JobOrphan *orphan = job_find_orphan (state, &task_id);
    if (!orphan)
      continue;
    if (orphan->queued)
      job_mark_queued (state, job, i, orphan->attempt, &orphan->scheduler, out);
    else
      job_apply_report (state, job, i, orphan->attempt, orphan->state, &orphan->scheduler,
                        gr_buf_str (&orphan->answer), now_ms, out);
    job_drop_orphan (state, orphan);
  }
}

void
job_handle_report (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  int32_t index;
  GrName job_id = job_of_task (&msg->report.id);
  if (!state->parts[job_part (&job_id, state->options.parts)].owned)
    return;
  Job *job = job_find_task (state, &msg->report.id, &index);
  if (!job) {
    JobOrphan *orphan = job_store_orphan (state, &msg->report.id, msg->report.attempt,
                                          &msg->report.scheduler, now_ms);
    if (orphan) {
      orphan->state = msg->report.state;
      gr_buf_append_str (&orphan->answer, msg->report.answer);
    }
    return;
  }
  job_apply_report (state, job, index, msg->report.attempt, msg->report.state,
                    &msg->report.scheduler, msg->report.answer, now_ms, out);
}
