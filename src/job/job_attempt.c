/* Attempts of tasks: records, placement, gang reservations, cancellation and resolution. */
#include "job/job_private.h"

static bool
is_gang (const Job *job)
{
  return job->spec.policy == JOB_POLICY_GANG;
}

void
job_emit_task_cmd (Job *job, int32_t index, JobCmdKind kind, JobCmds *out)
{
  const JobTask *task = &job->tasks[index];
  JobCmd cmd = { .kind = kind, .index = index, .id = job_task_id (job, index) };
  cmd.attempt = task->attempt;
  cmd.scheduler = task->scheduler;
  cmd.spec = &job->spec;
  cmd.avoid_count = task->avoid_count;
  memcpy (cmd.avoid, task->avoid, sizeof cmd.avoid);
  gr_list_push (out, cmd);
}

static void
emit_place (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->phase = JOB_TASK_PLACING;
  task->scheduler = gr_name ("");
  task->due_ms = now_ms + JOB_PLACE_TIMEOUT_MS;
  job_timer_add (state, task->due_ms, &job->id, index);
  if (job->phase == JOB_QUEUED || job->phase == JOB_ACCEPTING)
    job->phase = JOB_PLACING;
  job_emit_task_cmd (job, index, JOB_CMD_PLACE, out);
}

/* Starts the next attempt number unless the current one is still in use. Attempts of tasks that
   have not failed add to the retry budget. */
static void
open_attempt (JobState *state, const Job *job, JobTask *task)
{
  if (task->attempt_open)
    return;
  int64_t base = (state->parts[job->part].epoch - 1) * JOB_ATTEMPTS_PER_EPOCH;
  if (task->attempt < base)
    task->attempt = (int32_t) base;
  task->attempt++;
  task->attempt_open = true;
  task->attempt_recorded = false;
  if (task->failures == 0) {
    state->retry_tokens += (double) state->options.retry_budget_pct / 100.0;
    if (state->retry_tokens > JOB_RETRY_TOKENS_MAX)
      state->retry_tokens = JOB_RETRY_TOKENS_MAX;
  }
}

/* Appends a record of the attempt if it needs one; returns whether to wait for the commit before
   the attempt is placed. A non-idempotent attempt must be in the log first, so that a new owner
   does not run it again. Retries of idempotent work are recorded without waiting, to keep their
   number bounded. */
static bool
record_attempt (JobState *state, Job *job, int32_t index, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  if (task->attempt_recorded || (job->spec.idempotent && task->failures == 0))
    return false;
  JobRecord record = { .kind = JOB_RECORD_ATTEMPT, .id = job->id, .index = index };
  record.attempt = task->attempt;
  task->attempt_recorded = true;
  job_append (state, &record, out);
  return !job->spec.idempotent && !state->options.faults.start_before_commit;
}

JobOutcome
job_expired_outcome (const JobTask *task)
{
  if (!task->maybe_ran)
    return JOB_OUTCOME_NOT_RUN;
  return task->ran ? JOB_OUTCOME_FAILED : JOB_OUTCOME_UNKNOWN;
}

static bool
may_place (const JobState *state, const Job *job, int64_t now_ms)
{
  if (job->phase == JOB_ENDED || job->gang_restart)
    return false;
  if (job->must_record && !job->durable && !state->options.faults.start_before_commit)
    return false;
  return job_part_ready (state, job->part, now_ms);
}

void
job_advance_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  if (job->phase == JOB_ENDED)
    return;
  JobTask *task = &job->tasks[index];
  if (task->phase != JOB_TASK_IDLE || task->due_ms > now_ms)
    return;
  if (!may_place (state, job, now_ms))
    return;
  if (job->cancelled) {
    job_finish_task (state, job, index, JOB_OUTCOME_CANCELLED, GR_ERR_CANCELLED, GR_STR (""),
                     now_ms, out);
    return;
  }
  if (job->spec.deadline_ms <= now_ms) {
    job_finish_task (state, job, index, job_expired_outcome (task), GR_ERR_DEADLINE, GR_STR (""),
                     now_ms, out);
    return;
  }
  open_attempt (state, job, task);
  if (record_attempt (state, job, index, out)) {
    task->phase = JOB_TASK_RECORDING;
    return;
  }
  emit_place (state, job, index, now_ms, out);
}

void
job_advance_all (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++)
    job_advance_task (state, job, i, now_ms, out);
}

void
job_attempt_recorded (JobState *state, Job *job, int32_t index, int32_t attempt, int64_t now_ms,
                      JobCmds *out)
{
  if (job->phase == JOB_ENDED)
    return;
  JobTask *task = &job->tasks[index];
  if (task->phase != JOB_TASK_RECORDING || task->attempt != attempt)
    return;
  /* Meanwhile the lease or the deadline may have passed, or the job may have been cancelled. */
  task->phase = JOB_TASK_IDLE;
  task->due_ms = now_ms;
  job_timer_add (state, now_ms, &job->id, index);
  job_advance_task (state, job, index, now_ms, out);
}

void
job_resolve_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->phase = JOB_TASK_UNRESOLVED;
  task->maybe_ran = true;
  task->due_ms = now_ms + state->options.resolve_interval_ms;
  job_timer_add (state, task->due_ms, &job->id, index);
  if (state->options.faults.retry_without_lapse) {
    job_schedule_retry (state, job, index, false, now_ms);
    return;
  }
  job_emit_task_cmd (job, index, JOB_CMD_RESOLVE, out);
}

static bool
all_tasks_held (const Job *job)
{
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    if (job->tasks[i].phase != JOB_TASK_HELD && job->tasks[i].phase != JOB_TASK_DONE)
      return false;
  }
  return true;
}

/* Emits one command for each scheduler that has tasks of the gang. */
static void
emit_gang_cmd (Job *job, JobCmdKind kind, JobCmds *out)
{
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    const GrName *scheduler = &job->tasks[i].scheduler;
    bool first = scheduler->len > 0;
    for (int32_t k = 0; first && k < i; k++)
      first = !gr_name_equal (scheduler, &job->tasks[k].scheduler);
    if (!first)
      continue;
    JobCmd cmd = { .kind = kind, .id = job->id, .scheduler = *scheduler };
    cmd.attempt = job->tasks[i].attempt;
    gr_list_push (out, cmd);
  }
}

static void
commit_gang (Job *job, JobCmds *out)
{
  emit_gang_cmd (job, JOB_CMD_COMMIT_GANG, out);
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    if (job->tasks[i].phase != JOB_TASK_HELD)
      continue;
    job->tasks[i].phase = JOB_TASK_QUEUED;
    job->tasks[i].maybe_ran = true;
  }
  job->phase = JOB_RUNNING;
}

void
job_restart_gang (Job *job, JobCmds *out)
{
  if (job->gang_restart)
    return;
  job->gang_restart = true;
  emit_gang_cmd (job, JOB_CMD_RELEASE_GANG, out);
}

void
job_reschedule_gang (JobState *state, Job *job, int64_t now_ms)
{
  if (!job->gang_restart || job->phase == JOB_ENDED)
    return;
  int64_t due_ms = now_ms;
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    const JobTask *task = &job->tasks[i];
    if (task->phase == JOB_TASK_DONE)
      continue;
    if (task->phase != JOB_TASK_IDLE)
      return;
    if (task->due_ms > due_ms)
      due_ms = task->due_ms;
  }
  job->gang_restart = false;
  job->phase = JOB_QUEUED;
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    if (job->tasks[i].phase != JOB_TASK_IDLE)
      continue;
    job->tasks[i].due_ms = due_ms;
    job_timer_add (state, due_ms, &job->id, i);
  }
}

static void
avoid_scheduler (JobTask *task, const GrName *scheduler)
{
  if (scheduler->len == 0 || task->avoid_count >= JOB_AVOID_MAX)
    return;
  task->avoid[task->avoid_count++] = *scheduler;
}

/* Places a refused task at another scheduler, or ends the round. The attempt number is not used
   again, since a late copy of its place message must not start the new attempt. */
static void
try_next_scheduler (JobState *state, Job *job, int32_t index, const JobMsg *msg, int64_t now_ms,
                    JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->attempt_open = false;
  bool never_fits = msg->place.why == GR_ERR_UNPLACEABLE;
  bool first = task->avoid_count == 0;
  task->all_unplaceable = never_fits && (first || task->all_unplaceable);
  avoid_scheduler (task, &msg->place.scheduler);
  bool round_over = msg->place.scheduler.len == 0 || task->avoid_count == JOB_AVOID_MAX;
  task->phase = JOB_TASK_IDLE;
  if (!round_over) {
    task->due_ms = now_ms;
    job_timer_add (state, now_ms, &job->id, index);
    job_advance_task (state, job, index, now_ms, out);
    return;
  }
  task->avoid_count = 0;
  bool never_ran = !task->maybe_ran && job->spec.policy == JOB_POLICY_REQUEST;
  if (task->all_unplaceable && !task->maybe_ran) {
    job_finish_task (state, job, index, JOB_OUTCOME_NOT_RUN, GR_ERR_UNPLACEABLE, GR_STR (""),
                     now_ms, out);
  } else if (msg->place.why == GR_ERR_DEADLINE && never_ran) {
    job_finish_task (state, job, index, JOB_OUTCOME_NOT_RUN, GR_ERR_DEADLINE, GR_STR (""), now_ms,
                     out);
  } else {
    job_schedule_retry (state, job, index, false, now_ms);
  }
}

static void
place_refused (JobState *state, Job *job, int32_t index, const JobMsg *msg, int64_t now_ms,
               JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  if (job->cancelled) {
    job_finish_task (state, job, index, JOB_OUTCOME_CANCELLED, GR_ERR_CANCELLED, GR_STR (""),
                     now_ms, out);
    return;
  }
  if (!is_gang (job)) {
    try_next_scheduler (state, job, index, msg, now_ms, out);
    return;
  }
  bool committed = task->phase == JOB_TASK_QUEUED && job->phase == JOB_RUNNING;
  job_restart_gang (job, out);
  if (committed)
    job_apply_report (state, job, index, task->attempt, JOB_TASK_STOPPED, &msg->place.scheduler,
                      GR_STR (""), now_ms, out);
  else
    try_next_scheduler (state, job, index, msg, now_ms, out);
  job_reschedule_gang (state, job, now_ms);
}

void
job_mark_queued (JobState *state, Job *job, int32_t index, int32_t attempt, const GrName *scheduler,
                 JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  task->phase = JOB_TASK_QUEUED;
  task->attempt = attempt;
  task->attempt_open = true;
  task->scheduler = *scheduler;
  job_append_accept (state, job, out);
  if (job->spec.deadline_ms != JOB_NEVER)
    job_timer_add (state, job->spec.deadline_ms + JOB_PLACE_TIMEOUT_MS, &job->id, index);
  if (job->cancel_durable)
    job_emit_task_cmd (job, index, JOB_CMD_CANCEL_TASK, out);
}

/* Stores or drops the state of a waiting attempt whose job this state does not have. */
static void
handle_orphan_place_result (JobState *state, const JobMsg *msg, int64_t now_ms)
{
  JobOrphan *orphan = job_find_orphan (state, &msg->place.id);
  if (msg->place.result == JOB_PLACE_QUEUED) {
    orphan = job_store_orphan (state, &msg->place.id, msg->place.attempt, &msg->place.scheduler,
                               now_ms);
    if (orphan)
      orphan->queued = true;
  } else if (orphan && orphan->queued && orphan->attempt == msg->place.attempt) {
    job_drop_orphan (state, orphan);
  }
}

void
job_handle_place_result (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  int32_t index;
  GrName job_id = job_of_task (&msg->place.id);
  if (!state->parts[job_part (&job_id, state->options.parts)].owned)
    return;
  Job *job = job_find_task (state, &msg->place.id, &index);
  if (!job) {
    handle_orphan_place_result (state, msg, now_ms);
    return;
  }
  if (job->phase == JOB_ENDED)
    return;
  JobTask *task = &job->tasks[index];
  bool waits = task->phase == JOB_TASK_PLACING || task->phase == JOB_TASK_QUEUED
               || task->phase == JOB_TASK_HELD || task->phase == JOB_TASK_UNRESOLVED;
  /* During a takeover, a scheduler can report an attempt that has no record. */
  bool open = task->phase == JOB_TASK_UNRESOLVED || task->phase == JOB_TASK_IDLE;
  bool adopted = open && msg->place.attempt > task->attempt
                 && (msg->place.result == JOB_PLACE_QUEUED || msg->place.result == JOB_PLACE_HELD);
  bool current = waits && msg->place.attempt == task->attempt;
  if (!current && !adopted)
    return;
  switch (msg->place.result) {
  case JOB_PLACE_QUEUED:
    job_mark_queued (state, job, index, msg->place.attempt, &msg->place.scheduler, out);
    return;
  case JOB_PLACE_HELD:
    task->phase = JOB_TASK_HELD;
    task->attempt = msg->place.attempt;
    task->attempt_open = true;
    task->scheduler = msg->place.scheduler;
    if (job->cancel_durable)
      job_emit_task_cmd (job, index, JOB_CMD_CANCEL_TASK, out);
    else if (is_gang (job) && all_tasks_held (job))
      commit_gang (job, out);
    return;
  case JOB_PLACE_REFUSED:
    place_refused (state, job, index, msg, now_ms, out);
    return;
  case JOB_PLACE_UNKNOWN:
    job_resolve_task (state, job, index, now_ms, out);
    return;
  }
}

/* The accept record comes first, since readers ignore the cancellation of an unknown job. */
static void
append_cancel (JobState *state, Job *job, JobCmds *out)
{
  job_append_accept (state, job, out);
  job->cancel_appended = true;
  JobRecord record = { .kind = JOB_RECORD_CANCEL, .id = job->id };
  job_append (state, &record, out);
}

void
job_cancel (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  job->cancelled = true;
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
    JobTaskPhase phase = job->tasks[i].phase;
    if (phase == JOB_TASK_IDLE || phase == JOB_TASK_RECORDING)
      job_finish_task (state, job, i, JOB_OUTCOME_CANCELLED, GR_ERR_CANCELLED, GR_STR (""), now_ms,
                       out);
  }
  if (job->phase != JOB_ENDED && !job->cancel_appended)
    append_cancel (state, job, out);
}

void
job_cancel_recorded (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  if (job->cancel_durable)
    return;
  job->cancelled = job->cancel_appended = job->cancel_durable = true;
  job_stop_cancelled (state, job, now_ms, out);
}

void
job_stop_cancelled (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  if (!job->cancel_durable || !job_part_active (state, job->part, now_ms))
    return;
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
    switch (job->tasks[i].phase) {
    case JOB_TASK_IDLE:
    case JOB_TASK_RECORDING:
    case JOB_TASK_DONE:
      break;
    case JOB_TASK_PLACING:
    case JOB_TASK_QUEUED:
    case JOB_TASK_HELD:
    case JOB_TASK_ON_TARGET:
    case JOB_TASK_UNRESOLVED:
      if (state->options.faults.forget_cancel)
        job_finish_task (state, job, i, JOB_OUTCOME_CANCELLED, GR_ERR_CANCELLED, GR_STR (""),
                         now_ms, out);
      else
        job_emit_task_cmd (job, i, JOB_CMD_CANCEL_TASK, out);
      break;
    }
  }
}
