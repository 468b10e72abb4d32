/* Records of the stream, takeover of partitions, snapshots. */
#include "job/job_private.h"

/* Forgets what only the earlier owner could know: every open task has to be found again. */
static void
reset_tasks (Job *job)
{
  for (int32_t i = 0; i < job->spec.tasks; i++) {
    JobTask *task = &job->tasks[i];
    if (task->phase == JOB_TASK_DONE)
      continue;
    task->phase = JOB_TASK_UNRESOLVED;
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
    job->accept_sent = true;
    job->durable = true;
    return;
  }
  JobSpec spec = record->spec;
  spec.deadline_ms = local_deadline (state, spec.deadline_unix_ms);
  job = job_create (state, &spec, record->must_record);
  job->accept_sent = true;
  job->durable = true;
  job->phase = JOB_QUEUED;
  reset_tasks (job);
  const JobPartState *part = &state->parts[job->part];
  if (!part->owned || !part->targets_known)
    return;
  /* An earlier owner wrote this late: its attempts have to be looked for one by one. */
  job_adopt_orphans (state, job, now_ms, out);
  for (int32_t i = 0; i < spec.tasks && job->phase != JOB_ENDED; i++) {
    if (job->tasks[i].phase == JOB_TASK_UNRESOLVED)
      job_task_unresolved (state, job, i, now_ms, out);
  }
}

static void
replay_attempt (JobState *state, const JobRecord *record)
{
  Job *job = job_find (state, &record->id);
  if (!job || record->index >= job->spec.tasks)
    return;
  JobTask *task = &job->tasks[record->index];
  if (record->attempt < task->attempt)
    return;
  task->attempt = record->attempt;
  task->attempt_recorded = true;
}

static void
replay_task_end (JobState *state, const JobRecord *record)
{
  Job *job = job_find (state, &record->id);
  if (!job || job->phase == JOB_ENDED || record->index >= job->spec.tasks)
    return;
  JobTask *task = &job->tasks[record->index];
  if (task->phase == JOB_TASK_DONE)
    return;
  task->phase = JOB_TASK_DONE;
  task->outcome = record->outcome;
  task->why = record->why;
  job->done_tasks++;
}

static void
replay_end (JobState *state, const JobRecord *record, int64_t now_ms, JobCmds *out)
{
  Job *job = job_find (state, &record->id);
  if (!job) {
    JobSpec spec = { .id = record->id, .tasks = 1, .deadline_ms = JOB_NEVER };
    job = job_create (state, &spec, true);
  }
  if (job->phase == JOB_ENDED)
    return;
  job->phase = JOB_ENDED;
  job->outcome = record->outcome;
  job->why = record->why;
  job->durable = true;
  gr_buf_append_str (&job->answer, record->answer);
  state->unfinished--;
  job_answer_all (state, job, out);
  job->forget_ms = now_ms + state->options.keep_ended_ms;
  job_timer_add (state, job->forget_ms, &job->id, JOB_TIMER_JOB);
}

void
job_take_record (JobState *state, GrStr bytes, int64_t now_ms, JobCmds *out)
{
  JobRecord record;
  if (!job_record_decode (bytes, &record, NULL))
    return;
  switch (record.kind) {
  case JOB_RECORD_ACCEPT:
    replay_accept (state, &record, now_ms, out);
    return;
  case JOB_RECORD_ATTEMPT:
    replay_attempt (state, &record);
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
      job->cancelled = true;
    return;
  }
  }
}

void
job_part_gained (JobState *state, int32_t part)
{
  state->parts[part].owned = true;
  state->parts[part].targets_known = false;
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part == part && job->phase != JOB_ENDED)
      reset_tasks (job);
  }
}

void
job_part_lost (JobState *state, int32_t part, JobCmds *out)
{
  state->parts[part] = (JobPartState){ 0 };
  Job *next;
  for (Job *job = state->jobs; job; job = next) {
    next = job->hh.next;
    if (job->part != part || (job->phase == JOB_ENDED && !job->end_pending))
      continue;
    job_refuse_waiters (job, GR_ERR_UNAVAILABLE, out);
    if (job->phase == JOB_ENDED)
      continue;
    if (!job->durable)
      job_delete (state, job);
    else
      reset_tasks (job);
  }
}

/* Nobody reported the attempt: it ended unseen or never began. */
static void
settle_unreported (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out)
{
  JobTask *task = &job->tasks[index];
  if (!job->spec.idempotent && task->attempt_recorded) {
    job_finish_task (state, job, index, JOB_OUTCOME_UNKNOWN, GR_ERR_UNKNOWN, GR_STR (""), now_ms,
                     out);
    return;
  }
  /* Attempts of idempotent work are not recorded, so that it may have run before; and a late report
     of such an attempt must not be taken for the next one. */
  if (job->spec.idempotent && job->durable) {
    task->maybe_ran = true;
    if (task->attempt == 0)
      task->attempt = 1;
  }
  task->attempt_open = false;
  task->phase = JOB_TASK_IDLE;
  task->due_ms = now_ms;
  job_timer_add (state, now_ms, &job->id, index);
}

void
job_targets_known (JobState *state, int32_t part, int64_t now_ms, JobCmds *out)
{
  if (!state->parts[part].owned)
    return;
  state->parts[part].targets_known = true;
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (job->part != part)
      continue;
    for (int32_t i = 0; i < job->spec.tasks && job->phase != JOB_ENDED; i++) {
      if (job->tasks[i].phase == JOB_TASK_UNRESOLVED)
        settle_unreported (state, job, i, now_ms, out);
    }
    if (job->phase != JOB_ENDED)
      job_advance_all (state, job, now_ms, out);
  }
}

/* Records that are appended twice change nothing, so the live state is its own snapshot. */
void
job_snapshot (JobState *state, JobCmds *out)
{
  for (Job *job = state->jobs; job; job = job->hh.next) {
    if (!state->parts[job->part].owned || job->phase == JOB_ENDED || !job->durable)
      continue;
    JobRecord record;
    job_record_accept (job, &record);
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
