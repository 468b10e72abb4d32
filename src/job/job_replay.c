/* Records of the stream, takeover of partitions, and snapshots. */
#include "job/job_private.h"

/* Marks all unfinished tasks unresolved. The state of their attempts has to be requested again,
   since only the earlier owner had it. First attempts of idempotent work are not recorded, and the
   earlier owner may have begun one that no scheduler reports correctly, for instance because it was
   paused: such a task may have run, whatever the schedulers say later. */
static void
reset_tasks (Job *job)
{
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    JobTask *task = &job->tasks[i];
    if (task->phase == JOB_TASK_DONE)
      continue;
    task->phase = JOB_TASK_UNRESOLVED;
    task->maybe_ran = task->maybe_ran || job->spec.idempotent;
    task->due_ms = JOB_NEVER;
    task->avoid_count = 0;
    task->scheduler = gr_name ("");
  }
  job->gang_restart = false;
}

static int64_t
local_deadline (const JobState *state, int64_t unix_ms)
{
  return unix_ms == JOB_NEVER ? JOB_NEVER : unix_ms - state->options.unix_offset_ms;
}

static void
replay_accept (JobState *state, const JobRecord *record, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &record->id);
  if (job) {
    job->accept_appended = true;
    job_accept_committed (state, job, now_ms, out);
    job->durable = true;
    return;
  }
  JobSpec spec = record->spec;
  spec.deadline_ms = local_deadline (state, spec.deadline_unix_ms);
  job = job_create (state, &spec, record->must_record);
  job->accept_appended = true;
  job->durable = true;
  job->phase = JOB_QUEUED;
  reset_tasks (job);
  if (!state->parts[job->part].owned)
    return;
  /* An earlier owner wrote the record before the OPEN record: resolve each task by itself. */
  job_adopt_orphans (state, job, now_ms, out);
  for (int32_t i = 0; i < spec.tasks && job->phase != JOB_ENDED; i++) {
    if (job->tasks[i].phase == JOB_TASK_UNRESOLVED)
      job_resolve_task (state, job, i, now_ms, out);
  }
}

/* True if the log may still decide about the job. An end that was not read back does not count:
   reopen () undoes it, and the records of a later owner hold. */
static bool
is_undecided (const Job *job)
{
  return job && (job->phase != JOB_ENDED || job->end_pending);
}

/* True if a scheduler has reported an attempt that waits or runs. */
static bool
is_placed (const JobTask *task)
{
  return task->phase == JOB_TASK_QUEUED || task->phase == JOB_TASK_HELD
         || task->phase == JOB_TASK_ON_TARGET;
}

static void
replay_attempt (JobState *state, const JobRecord *record, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &record->id);
  if (!is_undecided (job) || record->index >= job->spec.tasks)
    return;
  JobTask *task = &job->tasks[record->index];
  if (record->attempt < task->attempt)
    return;
  bool superseded = record->attempt > task->attempt && is_placed (task);
  task->attempt = record->attempt;
  task->attempt_recorded = true;
  if (superseded && state->parts[job->part].owned) {
    /* An earlier owner wrote the record before the OPEN record, after the attempt that was reported
       here. */
    task->attempt_open = true;
    job_resolve_task (state, job, record->index, now_ms, out);
    return;
  }
  if (job_part_active (state, job->part, now_ms))
    job_attempt_recorded (state, job, record->index, record->attempt, now_ms, out);
}

static void
replay_task_end (JobState *state, const JobRecord *record)
{
  Job *job = job_find (state, &record->id);
  if (!is_undecided (job) || record->index >= job->spec.tasks)
    return;
  JobTask *task = &job->tasks[record->index];
  if (task->end_recorded)
    return;
  job->done_tasks += task->phase != JOB_TASK_DONE;
  task->phase = JOB_TASK_DONE;
  task->end_recorded = true;
  task->outcome = record->outcome;
  task->why = record->why;
}

static void
replay_end (JobState *state, const JobRecord *record, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &record->id);
  if (!job) {
    JobSpec spec = { .id = record->id, .tasks = 1, .deadline_ms = JOB_NEVER };
    job = job_create (state, &spec, true);
  }
  if (job->phase == JOB_ENDED && !job->end_pending)
    return;
  if (job->phase != JOB_ENDED)
    state->unfinished--;
  /* The first end record in log order decides, also over an end of this owner that is pending. */
  job->phase = JOB_ENDED;
  job->end_pending = false;
  job->outcome = record->outcome;
  job->why = record->why;
  job->durable = true;
  gr_buf_clear (&job->answer);
  gr_buf_append_str (&job->answer, record->answer);
  job_reply_all (state, job, out);
  job->outcome_expiry_ms = job_outcome_expiry_ms (state, &job->id, now_ms);
  job_timer_add (state, job->outcome_expiry_ms, &job->id, JOB_TIMER_JOB);
}

/* Returns false for a record of an earlier owner that follows the OPEN record of a later one. */
static bool
admit_epoch (JobPartState *part, const JobRecord *record)
{
  if (record->epoch < part->log_epoch)
    return false;
  part->log_epoch = record->epoch;
  return true;
}

static void
advance_part (JobState *state, int32_t part, int64_t now_ms, JobCmds *out)
{
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part == part && job->phase != JOB_ENDED)
      job_advance_all (state, job, now_ms, out);
  }
}

void
job_handle_record (JobState *state, GrStr bytes, int64_t now_ms, JobCmds *out)
{
  JobRecord record;
  if (!job_record_decode (bytes, &record, NULL))
    return;
  int32_t part
      = record.kind == JOB_RECORD_OPEN ? record.index : job_part (&record.id, state->options.parts);
  if (part >= state->options.parts || !admit_epoch (&state->parts[part], &record))
    return;
  switch (record.kind) {
  case JOB_RECORD_ACCEPT:
    replay_accept (state, &record, now_ms, out);
    return;
  case JOB_RECORD_ATTEMPT:
    replay_attempt (state, &record, now_ms, out);
    return;
  case JOB_RECORD_TASK_END:
    replay_task_end (state, &record);
    return;
  case JOB_RECORD_END:
    replay_end (state, &record, now_ms, out);
    return;
  case JOB_RECORD_CANCEL: {
    Job *job = job_find (state, &record.id);
    if (job)
      job_cancel_recorded (state, job, now_ms, out);
    return;
  }
  case JOB_RECORD_OPEN:
    state->parts[part].opened = record.epoch == state->parts[part].epoch;
    if (job_part_ready (state, part, now_ms))
      advance_part (state, part, now_ms, out);
    return;
  }
}

void
job_part_gained (JobState *state, int32_t part, int64_t epoch, int64_t now_ms, JobCmds *out)
{
  JobPartState *p = &state->parts[part];
  p->owned = true;
  p->opened = false;
  p->synced = false;
  p->epoch = epoch;
  p->gained_ms = now_ms;
  JobRecord open = { .kind = JOB_RECORD_OPEN, .index = part };
  job_append (state, &open, out);
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part == part && job->phase != JOB_ENDED)
      reset_tasks (job);
  }
}

/* Undoes an end that was neither sent to a caller nor read back. The next owner decides it. */
static void
reopen (JobState *state, Job *job)
{
  job->phase = JOB_QUEUED;
  job->outcome = JOB_OUTCOME_NONE;
  job->end_pending = false;
  job->done_tasks = 0;
  state->unfinished++;
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    if (job->tasks[i].end_recorded)
      job->done_tasks++;
    else
      job->tasks[i].phase = JOB_TASK_UNRESOLVED;
  }
}

void
job_part_lost (JobState *state, int32_t part, JobCmds *out)
{
  JobPartState *p = &state->parts[part];
  *p = (JobPartState){ .epoch = p->epoch, .log_epoch = p->log_epoch };
  Job *next;
  for (Job *job = state->jobs; job; job = next) {
    next = job->hh.next;
    if (job->part != part || (job->phase == JOB_ENDED && !job->end_pending))
      continue;
    job_refuse_waiters (job, GR_ERR_UNAVAILABLE, out);
    job->cancelled = job->cancel_appended = job->cancel_durable;
    if (job->phase == JOB_ENDED)
      reopen (state, job);
    if (!job->durable)
      job_delete (state, job);
    else
      reset_tasks (job);
  }
}

/* No scheduler reported the attempt, which therefore has ended or never began. */
static void
resolve_unreported (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  if (!job->spec.idempotent && task->attempt_recorded) {
    job_finish_task (state, job, index, JOB_OUTCOME_UNKNOWN, GR_ERR_UNKNOWN, GR_STR (""), now_ms,
                     out);
    return;
  }
  task->attempt_open = false;
  task->phase = JOB_TASK_IDLE;
  task->due_ms = now_ms;
  job_timer_add (state, now_ms, &job->id, index);
}

void
job_part_synced (JobState *state, int32_t part, int64_t now_ms, JobCmds *out)
{
  if (!state->parts[part].owned)
    return;
  state->parts[part].synced = true;
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part != part)
      continue;
    for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
      if (job->tasks[i].phase == JOB_TASK_UNRESOLVED)
        resolve_unreported (state, job, i, now_ms, out);
    }
  }
  advance_part (state, part, now_ms, out);
}

/* Appends the end record again if the outcome never expires. */
static void
snapshot_end (JobState *state, const Job *job, JobCmds *out)
{
  if (job->outcome_expiry_ms != JOB_NEVER || job->end_pending)
    return;
  JobRecord end = { .kind = JOB_RECORD_END, .id = job->id };
  end.outcome = job->outcome;
  end.why = job->why;
  end.answer = gr_buf_str (&job->answer);
  job_append (state, &end, out);
}

/* Reading a record a second time changes nothing, so a snapshot appends the records of the current
   state again. */
void
job_snapshot (JobState *state, JobCmds *out)
{
  for (int32_t part = 0; part < state->options.parts; part++) {
    JobRecord open = { .kind = JOB_RECORD_OPEN, .index = part };
    if (state->parts[part].owned)
      job_append (state, &open, out);
  }
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (!state->parts[job->part].owned || !job->durable)
      continue;
    if (job->phase == JOB_ENDED) {
      snapshot_end (state, job, out);
      continue;
    }
    JobRecord record;
    job_make_accept_record (job, &record);
    job_append (state, &record, out);
    for (int32_t i = 0; i < job->spec.tasks; i++) {
      const JobTask *task = &job->tasks[i];
      if (task->phase == JOB_TASK_DONE) {
        JobRecord end = { .kind = JOB_RECORD_TASK_END, .id = job->id, .index = i };
        end.outcome = task->outcome;
        end.why = task->why;
        job_append (state, &end, out);
      } else if (task->attempt_recorded) {
        JobRecord attempt = { .kind = JOB_RECORD_ATTEMPT, .id = job->id, .index = i };
        attempt.attempt = task->attempt;
        job_append (state, &attempt, out);
      }
    }
    if (job->cancelled) {
      JobRecord cancel = { .kind = JOB_RECORD_CANCEL, .id = job->id };
      job_append (state, &cancel, out);
    }
  }
}
