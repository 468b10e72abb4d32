/* Messages, timers and calls; see job.h. */
#include "job/job_private.h"

#include <stdlib.h>

void
job_options_defaults (JobOptions *options)
{
  const struct {
    int64_t *field;
    int64_t value;
  } defaults[] = {
    { &options->max_attempts, 4 },           { &options->backoff_min_ms, 100 },
    { &options->backoff_max_ms, 5000 },      { &options->retry_budget_pct, 10 },
    { &options->keep_ended_ms, 600000 },     { &options->jobs_max, 200000 },
    { &options->resolve_interval_ms, 1000 },
  };
  for (size_t i = 0; i < sizeof defaults / sizeof defaults[0]; i++) {
    if (*defaults[i].field == 0)
      *defaults[i].field = defaults[i].value;
  }
  if (options->parts == 0)
    options->parts = 16;
}

JobState *
job_new (const JobOptions *options, GrErr *err)
{
  JobOptions checked = *options;
  job_options_defaults (&checked);
  if (checked.parts < 1 || checked.parts > JOB_PARTS_MAX) {
    gr_err_set (err, GR_ERR_INVALID, "parts", "parts is %d; allowed is 1 to %d", checked.parts,
                JOB_PARTS_MAX);
    return NULL;
  }
  if (checked.backoff_min_ms < 0 || checked.backoff_max_ms < checked.backoff_min_ms) {
    gr_err_set (err, GR_ERR_INVALID, "backoff_max_ms",
                "backoff_min_ms is negative or above backoff_max_ms");
    return NULL;
  }
  JobState *state = gr_calloc (1, sizeof *state);
  state->options = checked;
  state->store_up = true;
  state->retry_tokens = JOB_RETRY_TOKENS_START;
  for (int i = 0; i < 3; i++)
    state->random[i] = (unsigned short) (checked.seed >> (16 * i));
  return state;
}

/* Frees the data that only the commands of the last step point into. */
static void
release_last_step (JobState *state)
{
  for (size_t i = 0; i < state->ended.count; i++) {
    Job *job = job_find (state, &state->ended.items[i]);
    if (job && job->phase == JOB_ENDED && !job->end_pending)
      job_release_tasks (job);
  }
  gr_list_reset (&state->ended);
  for (size_t i = 0; i < state->cmd_bytes.count; i++)
    free ((char *) state->cmd_bytes.items[i].data);
  gr_list_reset (&state->cmd_bytes);
}

void
job_free (JobState *state)
{
  if (!state)
    return;
  while (state->jobs)
    job_delete (state, state->jobs);
  while (state->orphans)
    job_drop_orphan (state, state->orphans);
  gr_hash_clear (state->pending, free);
  release_last_step (state);
  gr_list_clear (&state->cmd_bytes);
  gr_list_clear (&state->ended);
  gr_list_clear (&state->timers);
  free (state);
}

static void
reply_timed_out (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  for (size_t i = 0; i < job->waiters.count;) {
    if (job->waiters.items[i].until_ms <= now_ms) {
      job_reply_status (state, job, job->waiters.items[i].call, out);
      gr_list_swap_remove (&job->waiters, i);
    } else {
      i++;
    }
  }
}

/* At the deadline, ends the tasks that have no attempt at a scheduler. */
static void
expire_unplaced (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  if (job->spec.deadline_ms > now_ms)
    return;
  if (!job_part_ready (state, job->part, now_ms)) {
    if (state->parts[job->part].owned)
      job_timer_add (state, now_ms + JOB_SUSPENDED_RETRY_MS, &job->id, JOB_TIMER_JOB);
    return;
  }
  for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
    JobTask *task = &job->tasks[i];
    if (task->phase != JOB_TASK_IDLE && task->phase != JOB_TASK_RECORDING)
      continue;
    job_finish_task (state, job, i, job_expired_outcome (task), GR_ERR_DEADLINE, GR_STR (""),
                     now_ms, out);
  }
}

/* The cancel record was not written: appends it again after a while. */
static void
retry_cancel (JobState *state, Job *job, int64_t now_ms)
{
  job->cancel_appended = job->cancel_durable;
  job_timer_add (state, now_ms + state->options.backoff_min_ms, &job->id, JOB_TIMER_JOB);
}

static void
append_due_cancel (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  if (!job->cancelled || job->cancel_appended || !state->parts[job->part].owned)
    return;
  if (job_part_active (state, job->part, now_ms))
    job_cancel (state, job, now_ms, out);
  else
    job_timer_add (state, now_ms + JOB_SUSPENDED_RETRY_MS, &job->id, JOB_TIMER_JOB);
}

static void
job_timer_due (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  reply_timed_out (state, job, now_ms, out);
  if (job->phase != JOB_ENDED) {
    append_due_cancel (state, job, now_ms, out);
    expire_unplaced (state, job, now_ms, out);
    return;
  }
  if (job->end_pending && job->outcome == JOB_OUTCOME_NOT_RUN && job->spec.deadline_ms <= now_ms
      && job_part_ready (state, job->part, now_ms)) {
    job->end_pending = false;
    job_reply_all (state, job, out);
  }
  if (job->outcome_expiry_ms <= now_ms && job->waiters.count == 0)
    job_delete (state, job);
}

static void
task_timer_due (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  if (job->phase == JOB_ENDED || !state->parts[job->part].owned)
    return;
  JobTask *task = &job->tasks[index];
  if (!job_part_active (state, job->part, now_ms)) {
    job_timer_add (state, now_ms + JOB_SUSPENDED_RETRY_MS, &job->id, index);
    return;
  }
  switch (task->phase) {
  case JOB_TASK_IDLE:
    job_advance_task (state, job, index, now_ms, out);
    return;
  case JOB_TASK_PLACING:
    if (task->due_ms <= now_ms)
      job_resolve_task (state, job, index, now_ms, out);
    return;
  case JOB_TASK_QUEUED:
    if (job->spec.deadline_ms != JOB_NEVER
        && job->spec.deadline_ms + JOB_PLACE_TIMEOUT_MS <= now_ms)
      job_resolve_task (state, job, index, now_ms, out);
    return;
  case JOB_TASK_UNRESOLVED:
    if (task->due_ms > now_ms)
      return;
    if (job->spec.deadline_ms != JOB_NEVER
        && job->spec.deadline_ms + JOB_RESOLVE_GRACE_MS <= now_ms)
      job_finish_task (state, job, index, JOB_OUTCOME_UNKNOWN, GR_ERR_UNKNOWN, GR_STR (""), now_ms,
                       out);
    else
      job_resolve_task (state, job, index, now_ms, out);
    return;
  case JOB_TASK_RECORDING:
  case JOB_TASK_HELD:
  case JOB_TASK_ON_TARGET:
  case JOB_TASK_DONE:
    return;
  }
}

static void
handle_tick (JobState *state, int64_t now_ms, JobCmds *out)
{
  JobTimer timer;
  while (job_timer_pop (state, now_ms, &timer)) {
    if (timer.index == JOB_TIMER_ORPHAN) {
      JobOrphan *orphan = job_find_orphan (state, &timer.id);
      if (orphan && orphan->expiry_ms <= now_ms)
        job_drop_orphan (state, orphan);
      continue;
    }
    Job *job = job_find (state, &timer.id);
    if (!job)
      continue;
    if (timer.index == JOB_TIMER_JOB)
      job_timer_due (state, job, now_ms, out);
    else if (timer.index < job->spec.tasks)
      task_timer_due (state, job, timer.index, now_ms, out);
  }
}

static JobPending *
take_pending (JobState *state, int64_t token)
{
  JobPending *pending = NULL;
  HASH_FIND (hh, state->pending, &token, sizeof token, pending);
  if (pending)
    HASH_DEL (state->pending, pending);
  return pending;
}

static void
handle_committed (JobState *state, int64_t token, int64_t now_ms, JobCmds *out)
{
  JobPending *pending = take_pending (state, token);
  if (!pending)
    return;
  Job *job = job_find (state, &pending->id);
  /* Readers may ignore a record of an earlier ownership epoch; reading it back shows whether. */
  if (!job || !job_part_active (state, job->part, now_ms)
      || pending->epoch != state->parts[job->part].epoch)
    goto done;
  switch (pending->kind) {
  case JOB_RECORD_ACCEPT:
    job_accept_committed (state, job, now_ms, out);
    break;
  case JOB_RECORD_ATTEMPT:
    job_attempt_recorded (state, job, pending->index, pending->attempt, now_ms, out);
    break;
  case JOB_RECORD_CANCEL:
    /* Without an accept record before it, readers ignore it. */
    if (job->durable)
      job_cancel_recorded (state, job, now_ms, out);
    else
      retry_cancel (state, job, now_ms);
    break;
  case JOB_RECORD_END:
    /* The first end record in log order decides, which is known only once it is read back. */
  case JOB_RECORD_TASK_END:
  case JOB_RECORD_OPEN:
    break;
  }

done:
  free (pending);
}

/* The record was not written, so nothing that depends on it has started. */
static void
handle_append_rejected (JobState *state, int64_t token, int64_t now_ms, JobCmds *out)
{
  JobPending *pending = take_pending (state, token);
  if (!pending)
    return;
  Job *job = job_find (state, &pending->id);
  if (!job || job->phase == JOB_ENDED)
    goto done;
  if (pending->kind == JOB_RECORD_ACCEPT) {
    job->accept_appended = false;
    if (job->must_record && !job->durable)
      job_finish (state, job, JOB_OUTCOME_NOT_RUN, GR_ERR_OVERLOADED, GR_STR (""), now_ms, out);
  } else if (pending->kind == JOB_RECORD_ATTEMPT) {
    JobTask *task = &job->tasks[pending->index];
    task->attempt_recorded = false;
    if (task->phase == JOB_TASK_RECORDING)
      job_schedule_retry (state, job, pending->index, false, now_ms);
  } else if (pending->kind == JOB_RECORD_CANCEL) {
    retry_cancel (state, job, now_ms);
  }

done:
  free (pending);
}

static void
handle_cancel (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &msg->ref.id);
  int32_t part = job_part (&msg->ref.id, state->options.parts);
  if (!job_part_active (state, part, now_ms)) {
    job_reply_refusal (msg->ref.call, &msg->ref.id, JOB_OUTCOME_NONE, GR_ERR_UNAVAILABLE, out);
    return;
  }
  if (!job) {
    job_reply_refusal (msg->ref.call, &msg->ref.id, JOB_OUTCOME_NONE, GR_ERR_NOT_FOUND, out);
    return;
  }
  if (job->phase == JOB_ENDED && !job->end_pending) {
    job_reply_status (state, job, msg->ref.call, out);
    return;
  }
  job_add_waiter (state, job, msg->ref.call, JOB_NEVER, false);
  if (job->cancelled || job->phase == JOB_ENDED)
    return;
  job_cancel (state, job, now_ms, out);
}

static void
handle_wait (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &msg->ref.id);
  int32_t part = job_part (&msg->ref.id, state->options.parts);
  bool ended = job && job->phase == JOB_ENDED && !job->end_pending;
  if (!ended && !job_part_active (state, part, now_ms)) {
    job_reply_refusal (msg->ref.call, &msg->ref.id, JOB_OUTCOME_NONE, GR_ERR_UNAVAILABLE, out);
    return;
  }
  if (!job) {
    job_reply_refusal (msg->ref.call, &msg->ref.id, JOB_OUTCOME_NONE, GR_ERR_NOT_FOUND, out);
    return;
  }
  if (ended || msg->ref.wait_until_ms <= now_ms)
    job_reply_status (state, job, msg->ref.call, out);
  else
    job_add_waiter (state, job, msg->ref.call, msg->ref.wait_until_ms, false);
}

static void
handle_scheduler_lost (JobState *state, const GrName *vm, int64_t now_ms, JobCmds *out)
{
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (!state->parts[job->part].owned)
      continue;
    for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
      const JobTask *task = &job->tasks[i];
      bool at_scheduler = task->phase == JOB_TASK_QUEUED || task->phase == JOB_TASK_HELD
                          || task->phase == JOB_TASK_ON_TARGET;
      if (at_scheduler && gr_name_equal (&task->scheduler, vm))
        job_resolve_task (state, job, i, now_ms, out);
    }
  }
}

/* When the lease becomes active again, sends the pending replies and places the due attempts. */
static void
handle_part_active (JobState *state, int32_t part, int64_t until_ms, int64_t now_ms, JobCmds *out)
{
  bool resumes = !job_part_active (state, part, now_ms);
  state->parts[part].active_until_ms = until_ms;
  if (!resumes || !job_part_active (state, part, now_ms))
    return;
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part != part || job->phase == JOB_ENDED)
      continue;
    if (job->durable)
      job_reply_accepted (state, job, out);
    job_stop_cancelled (state, job, now_ms, out);
    job_advance_all (state, job, now_ms, out);
  }
}

void
job_step (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  release_last_step (state);
  switch (msg->kind) {
  case JOB_MSG_TICK:
    handle_tick (state, now_ms, out);
    return;
  case JOB_MSG_PART_GAINED:
    job_part_gained (state, msg->part.part, msg->part.epoch, now_ms, out);
    return;
  case JOB_MSG_PART_ACTIVE:
    handle_part_active (state, msg->part.part, msg->part.until_ms, now_ms, out);
    return;
  case JOB_MSG_PART_LOST:
    job_part_lost (state, msg->part.part, out);
    return;
  case JOB_MSG_RECORD:
    job_handle_record (state, msg->record.bytes, now_ms, out);
    return;
  case JOB_MSG_SUBMIT:
    job_submit (state, msg, now_ms, out);
    return;
  case JOB_MSG_CANCEL:
    handle_cancel (state, msg, now_ms, out);
    return;
  case JOB_MSG_WAIT:
    handle_wait (state, msg, now_ms, out);
    return;
  case JOB_MSG_CALL_CLOSED:
    job_drop_call (state, &msg->ref.id, msg->ref.call);
    return;
  case JOB_MSG_COMMITTED:
    handle_committed (state, msg->append.token, now_ms, out);
    return;
  case JOB_MSG_APPEND_REJECTED:
    handle_append_rejected (state, msg->append.token, now_ms, out);
    return;
  case JOB_MSG_SNAPSHOT:
    job_snapshot (state, out);
    return;
  case JOB_MSG_STORE_STATE:
    state->store_up = msg->store.up;
    return;
  case JOB_MSG_PLACE_RESULT:
    job_handle_place_result (state, msg, now_ms, out);
    return;
  case JOB_MSG_TASK_REPORT:
    job_handle_report (state, msg, now_ms, out);
    return;
  case JOB_MSG_SCHEDULER_LOST:
    handle_scheduler_lost (state, &msg->scheduler_lost.vm, now_ms, out);
    return;
  case JOB_MSG_PART_SYNCED:
    job_part_synced (state, msg->part.part, now_ms, out);
    return;
  }
}

size_t
job_unfinished (const JobState *state)
{
  return state->unfinished;
}

const char *
job_outcome_name (JobOutcome outcome)
{
  static const char *const names[] = {
    [JOB_OUTCOME_NONE] = "none",       [JOB_OUTCOME_COMPLETED] = "completed",
    [JOB_OUTCOME_FAILED] = "failed",   [JOB_OUTCOME_CANCELLED] = "cancelled",
    [JOB_OUTCOME_NOT_RUN] = "not_run", [JOB_OUTCOME_UNKNOWN] = "unknown",
  };
  return names[outcome];
}

const char *
job_phase_name (JobPhase phase)
{
  static const char *const names[] = {
    [JOB_ACCEPTING] = "accepting", [JOB_QUEUED] = "queued", [JOB_PLACING] = "placing",
    [JOB_RUNNING] = "running",     [JOB_ENDED] = "ended",
  };
  return names[phase];
}
