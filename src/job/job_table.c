/* Tables of jobs, timers and pending records. */
#include "job/job_private.h"

#include <stdlib.h>
#include <xxhash.h>

Job *
job_find (JobState *state, const GrName *id)
{
  Job *job = NULL;
  HASH_FIND (hh, state->jobs, id, sizeof *id, job);
  return job;
}

Job *
job_create (JobState *state, const JobSpec *spec, bool must_record)
{
  Job *job = gr_calloc (1, sizeof *job);
  job->id = spec->id;
  job->spec = *spec;
  job->payload_copy = gr_str_dup (spec->payload);
  job->payload_hash = job_payload_hash (spec->payload);
  job->spec.payload = (GrStr){ job->payload_copy, spec->payload.len };
  job->part = job_part (&spec->id, state->options.parts);
  job->phase = JOB_ACCEPTING;
  job->must_record = must_record;
  job->tasks = gr_calloc ((size_t) spec->tasks, sizeof *job->tasks);
  HASH_ADD (hh, state->jobs, id, sizeof job->id, job);
  state->unfinished++;
  return job;
}

uint64_t
job_payload_hash (GrStr payload)
{
  return XXH64 (payload.data, payload.len, 0);
}

/* An ended job is stored for a long time to answer repeated ids. Only its outcome and answer are
   needed for that. */
void
job_release_tasks (Job *job)
{
  free (job->tasks);
  free (job->payload_copy);
  job->tasks = NULL;
  job->payload_copy = NULL;
  job->spec.payload = GR_STR ("");
}

int64_t
job_outcome_expiry_ms (const JobState *state, const GrName *id, int64_t now_ms)
{
  if (gr_str_starts_with (gr_name_str (id), GR_STR (JOB_CONFIG_PREFIX)))
    return JOB_NEVER;
  return now_ms + state->options.keep_ended_ms;
}

void
job_delete (JobState *state, Job *job)
{
  if (job->phase != JOB_ENDED)
    state->unfinished--;
  HASH_DEL (state->jobs, job);
  gr_list_clear (&job->waiters);
  gr_buf_clear (&job->answer);
  job_release_tasks (job);
  free (job);
}

GrName
job_task_id (const Job *job, int32_t index)
{
  return gr_name_format ("%.*s/%d", GR_NAME_ARG (job->id), (int) index);
}

GrName
job_of_task (const GrName *task_id)
{
  GrName id = *task_id;
  size_t len = id.len;
  while (len > 0 && id.data[len - 1] != '/')
    len--;
  if (len == 0)
    return id;
  return gr_name_cut ((GrStr){ task_id->data, len - 1 });
}

Job *
job_find_task (JobState *state, const GrName *task_id, int32_t *index)
{
  GrName id = job_of_task (task_id);
  if (id.len >= task_id->len)
    return NULL;
  GrStr digits = { task_id->data + id.len + 1, (size_t) (task_id->len - id.len - 1) };
  int64_t value;
  if (!gr_str_to_int64 (digits, &value) || value < 0)
    return NULL;
  Job *job = job_find (state, &id);
  if (!job || value >= job->spec.tasks)
    return NULL;
  *index = (int32_t) value;
  return job;
}

int32_t
job_part (const GrName *id, int32_t parts)
{
  return (int32_t) (gr_name_hash (id, 0) % (uint64_t) parts);
}

bool
job_part_active (const JobState *state, int32_t part, int64_t now_ms)
{
  const JobPartState *p = &state->parts[part];
  return p->owned && now_ms < p->active_until_ms;
}

/* Once the takeover is complete, no unknown attempt or record of an earlier owner can appear. */
bool
job_part_ready (const JobState *state, int32_t part, int64_t now_ms)
{
  const JobPartState *p = &state->parts[part];
  return job_part_active (state, part, now_ms) && p->opened && p->synced;
}

static void
timer_swap (JobTimer *a, JobTimer *b)
{
  JobTimer copy = *a;
  *a = *b;
  *b = copy;
}

void
job_timer_add (JobState *state, int64_t due_ms, const GrName *id, int32_t index)
{
  gr_list_push (&state->timers, (JobTimer){ due_ms, *id, index });
  JobTimer *items = state->timers.items;
  size_t i = state->timers.count - 1;
  while (i > 0 && items[i].due_ms < items[(i - 1) / 2].due_ms) {
    timer_swap (&items[i], &items[(i - 1) / 2]);
    i = (i - 1) / 2;
  }
}

bool
job_timer_pop (JobState *state, int64_t now_ms, JobTimer *timer)
{
  if (state->timers.count == 0 || state->timers.items[0].due_ms > now_ms)
    return false;
  JobTimer *items = state->timers.items;
  *timer = items[0];
  items[0] = items[--state->timers.count];
  size_t count = state->timers.count;
  for (size_t i = 0;;) {
    size_t least = i;
    for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < count; child++) {
      if (items[child].due_ms < items[least].due_ms)
        least = child;
    }
    if (least == i)
      return true;
    timer_swap (&items[i], &items[least]);
    i = least;
  }
}

GrStr
job_copy_cmd_bytes (JobState *state, GrStr bytes)
{
  gr_list_push (&state->cmd_bytes, (GrStr){ gr_str_dup (bytes), bytes.len });
  return state->cmd_bytes.items[state->cmd_bytes.count - 1];
}

void
job_append (JobState *state, const JobRecord *record, JobCmds *out)
{
  JobRecord fenced = *record;
  int32_t part = record->kind == JOB_RECORD_OPEN ? record->index
                                                 : job_part (&record->id, state->options.parts);
  fenced.epoch = state->parts[part].epoch;
  GrBuf bytes = { 0 };
  job_record_encode (&fenced, &bytes);
  JobPending *pending = gr_calloc (1, sizeof *pending);
  pending->token = ++state->last_token;
  pending->epoch = fenced.epoch;
  pending->kind = record->kind;
  pending->id = record->id;
  pending->index = record->index;
  pending->attempt = record->attempt;
  HASH_ADD (hh, state->pending, token, sizeof pending->token, pending);
  JobCmd cmd = { .kind = JOB_CMD_APPEND, .token = pending->token, .id = record->id };
  /* The list takes over the memory of the buffer, so no copy is needed. */
  cmd.bytes = gr_buf_str (&bytes);
  gr_list_push (&state->cmd_bytes, cmd.bytes);
  gr_list_push (out, cmd);
}
