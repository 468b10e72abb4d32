/* Acceptance of jobs and requests. */
#include "job/job_private.h"

void
job_make_accept_record (const Job *job, JobRecord *record)
{
  memset (record, 0, sizeof *record);
  record->kind = JOB_RECORD_ACCEPT;
  record->id = job->id;
  record->must_record = job->must_record;
  record->spec = job->spec;
}

void
job_append_accept (JobState *state, Job *job, JobCmds *out)
{
  if (job->accept_appended)
    return;
  job->accept_appended = true;
  JobRecord record;
  job_make_accept_record (job, &record);
  job_append (state, &record, out);
}

static bool
spec_matches (const Job *job, const JobSpec *b)
{
  const JobSpec *a = &job->spec;
  return gr_name_equal (&a->team, &b->team) && gr_name_equal (&a->kind, &b->kind)
         && a->policy == b->policy && a->tasks == b->tasks && a->idempotent == b->idempotent
         && job->payload_hash == job_payload_hash (b->payload);
}

static void
submit_again (JobState *state, Job *job, const JobMsg *msg, JobCmds *out)
{
  int64_t call = msg->submit.call;
  /* A job of which only the end record was read has no specification to compare with. */
  if (job->spec.team.len > 0 && !spec_matches (job, msg->submit.spec)) {
    job_reply_refusal (call, &job->id, JOB_OUTCOME_NONE, GR_ERR_CONFLICT, out);
    return;
  }
  bool ended = job->phase == JOB_ENDED && !job->end_pending;
  bool accepted = job->phase != JOB_ENDED && job->durable && !msg->submit.wait;
  if (ended || accepted)
    job_reply_status (state, job, call, out);
  else
    job_add_waiter (state, job, call, JOB_NEVER, !msg->submit.wait);
}

/* Returns the reason to refuse a new id, or GR_ERR_NONE. */
static GrErrCode
refusal_reason (const JobState *state, const JobSpec *spec, bool must_record, int64_t now_ms)
{
  if (spec->deadline_ms <= now_ms)
    return GR_ERR_DEADLINE;
  if ((int64_t) state->unfinished >= state->options.jobs_max)
    return GR_ERR_OVERLOADED;
  if (must_record && !state->store_up)
    return GR_ERR_UNAVAILABLE;
  return GR_ERR_NONE;
}

bool
job_is_provably_new (const JobState *state, const JobSpec *spec, int64_t now_ms)
{
  const JobPartState *part = &state->parts[job_part (&spec->id, state->options.parts)];
  bool first_owner = part->epoch <= 1;
  return !spec->idempotent || first_owner || now_ms >= part->gained_ms + JOB_RESUBMIT_WINDOW_MS;
}

static bool
has_orphan (JobState *state, const JobSpec *spec)
{
  GrName task_id = gr_name_format ("%.*s/0", GR_NAME_ARG (spec->id));
  return job_find_orphan (state, &task_id) != NULL;
}

static void
refuse_new (JobState *state, const JobMsg *msg, int32_t part, GrErrCode why, int64_t now_ms,
            JobCmds *out)
{
  const JobSpec *spec = msg->submit.spec;
  /* Until the takeover is complete, an earlier attempt of the same id may still run. */
  bool proven = job_part_ready (state, part, now_ms) && !has_orphan (state, spec)
                && job_is_provably_new (state, spec, now_ms);
  job_reply_refusal (msg->submit.call, &spec->id, proven ? JOB_OUTCOME_NOT_RUN : JOB_OUTCOME_NONE,
                     proven ? why : GR_ERR_UNAVAILABLE, out);
}

void
job_submit (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out)
{
  const JobSpec *spec = msg->submit.spec;
  int32_t part = job_part (&spec->id, state->options.parts);
  if (!job_part_active (state, part, now_ms)) {
    job_reply_refusal (msg->submit.call, &spec->id, JOB_OUTCOME_NONE, GR_ERR_UNAVAILABLE, out);
    return;
  }
  Job *job = job_find (state, &spec->id);
  if (job) {
    submit_again (state, job, msg, out);
    return;
  }
  bool must_record = !msg->submit.wait || !spec->idempotent;
  GrErrCode why = refusal_reason (state, spec, must_record, now_ms);
  if (why != GR_ERR_NONE) {
    refuse_new (state, msg, part, why, now_ms, out);
    return;
  }
  job = job_create (state, spec, must_record);
  for (int32_t i = 0; i < spec->tasks; i++)
    job->tasks[i].maybe_ran = !job_is_provably_new (state, spec, now_ms);
  job_add_waiter (state, job, msg->submit.call, JOB_NEVER, !msg->submit.wait);
  if (spec->deadline_ms != JOB_NEVER)
    job_timer_add (state, spec->deadline_ms, &job->id, JOB_TIMER_JOB);
  job_adopt_orphans (state, job, now_ms, out);
  if (job->phase == JOB_ENDED)
    return;
  if (must_record)
    job_append_accept (state, job, out);
  job_advance_all (state, job, now_ms, out);
}

void
job_accept_committed (JobState *state, Job *job, int64_t now_ms, JobCmds *out)
{
  /* Without the lease, a new owner may have fenced off the record; reading it back decides. */
  if (job->durable || !job_part_active (state, job->part, now_ms))
    return;
  job->durable = true;
  if (job->phase == JOB_ENDED)
    return;
  if (job->phase == JOB_ACCEPTING)
    job->phase = JOB_QUEUED;
  job_reply_accepted (state, job, out);
  job_advance_all (state, job, now_ms, out);
}
