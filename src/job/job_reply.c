/* Replies to callers. */
#include "job/job_private.h"

void
job_reply_refusal (int64_t call, const GrName *id, JobOutcome outcome, GrErrCode why, JobCmds *out)
{
  JobCmd cmd = { .kind = JOB_CMD_REPLY, .call = call, .id = *id, .outcome = outcome, .why = why };
  cmd.phase = outcome == JOB_OUTCOME_NONE ? JOB_ACCEPTING : JOB_ENDED;
  gr_list_push (out, cmd);
}

void
job_reply_status (JobState *state, const Job *job, int64_t call, JobCmds *out)
{
  JobCmd cmd = { .kind = JOB_CMD_REPLY, .call = call, .id = job->id };
  cmd.phase = job->phase;
  cmd.outcome = job->outcome;
  cmd.why = job->why;
  cmd.bytes = job_copy_cmd_bytes (state, gr_buf_str (&job->answer));
  gr_list_push (out, cmd);
}

void
job_add_waiter (JobState *state, Job *job, int64_t call, int64_t until_ms, bool reply_on_accept)
{
  JobWaiter waiter = { call, until_ms, reply_on_accept };
  gr_list_push (&job->waiters, waiter);
  if (until_ms != JOB_NEVER)
    job_timer_add (state, until_ms, &job->id, -1);
}

void
job_reply_accepted (JobState *state, Job *job, JobCmds *out)
{
  for (size_t i = 0; i < job->waiters.count;) {
    if (job->waiters.items[i].reply_on_accept) {
      job_reply_status (state, job, job->waiters.items[i].call, out);
      gr_list_swap_remove (&job->waiters, i);
    } else {
      i++;
    }
  }
}

void
job_reply_all (JobState *state, Job *job, JobCmds *out)
{
  for (size_t i = 0; i < job->waiters.count; i++)
    job_reply_status (state, job, job->waiters.items[i].call, out);
  gr_list_reset (&job->waiters);
  if (job->phase == JOB_ENDED && !job->end_pending)
    gr_list_push (&state->ended, job->id);
}

void
job_refuse_waiters (Job *job, GrErrCode why, JobCmds *out)
{
  for (size_t i = 0; i < job->waiters.count; i++)
    job_reply_refusal (job->waiters.items[i].call, &job->id, JOB_OUTCOME_NONE, why, out);
  gr_list_reset (&job->waiters);
}

void
job_drop_call (JobState *state, const GrName *id, int64_t call)
{
  Job *job = job_find (state, id);
  if (!job)
    return;
  for (size_t i = 0; i < job->waiters.count;) {
    if (job->waiters.items[i].call == call)
      gr_list_swap_remove (&job->waiters, i);
    else
      i++;
  }
}
