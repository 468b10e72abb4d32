/* Jobs with a timetable. Each occurrence becomes a job of its own once it is due; there is no timer
   for occurrences that are still to come. An occurrence that fell due while no scheduler ran starts
   late, once. The job is completed when all occurrences are, and fails with the first that fails.
 */
#include <stdio.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most occurrences of one job that exist at a time; further ones that are due wait. */
#define OCCURRENCES_OPEN_MAX 64

bool
dag_has_timetable (const DagJob *job)
{
  return job->timetable.count > 0;
}

bool
dag_check_timetable (const DagTimetable *timetable, GrErr *err)
{
  if (timetable->count < 0 || timetable->count > DAG_MAX_OCCURRENCES)
    return gr_err_set (err, GR_ERR_INVALID, "occurrences",
                       "a timetable must have at most %d occurrences", DAG_MAX_OCCURRENCES);
  if (timetable->start_at_unix_ms < 0 || timetable->start_at_unix_ms > DAG_UNIX_TIME_MAX_MS)
    return gr_err_set (err, GR_ERR_INVALID, "start_at", "the first time must be a Unix time in ms");
  if (timetable->interval_ms < 0 || timetable->interval_ms > DAG_DURATION_MAX_MS)
    return gr_err_set (err, GR_ERR_INVALID, "interval",
                       "the interval must be between 0 ms and a year");
  return true;
}

size_t
dag_timetable_bytes (const DagJob *job)
{
  return ((size_t) job->timetable.count + 7) / 8;
}

void
dag_timetable_init (DagState *dag, DagJob *job)
{
  job->done_bits = gr_calloc (dag_timetable_bytes (job), 1);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->timetables, job);
}

static void
remove_occurrence (DagJob *job)
{
  DagJob *owner = job->timetable_job;
  for (size_t i = owner->occurrences.count; i-- > 0;) {
    if (owner->occurrences.items[i] == job)
      gr_list_swap_remove (&owner->occurrences, i);
  }
}

void
dag_timetable_release (DagState *dag, DagJob *job)
{
  if (job->timetable_job)
    remove_occurrence (job);
  for (size_t i = 0; i < job->occurrences.count; i++)
    job->occurrences.items[i]->timetable_job = NULL;
  gr_list_clear (&job->occurrences);
  free (job->done_bits);
  for (size_t i = dag->timetables.count; i-- > 0;) {
    if (dag->timetables.items[i] == job)
      gr_list_swap_remove (&dag->timetables, i);
  }
}

static bool
is_done (const DagJob *job, int32_t number)
{
  return job->done_bits[number / 8] >> (number % 8) & 1;
}

static void
set_done (DagJob *job, int32_t number)
{
  if (is_done (job, number))
    return;
  job->done_bits[number / 8] |= (unsigned char) (1 << (number % 8));
  job->done_count++;
}

bool
dag_timetable_set_done (DagJob *job, GrStr bits)
{
  if (bits.len != dag_timetable_bytes (job))
    return false;
  memcpy (job->done_bits, bits.data, bits.len);
  job->done_count = 0;
  for (int32_t i = 0; i < job->timetable.count; i++)
    job->done_count += is_done (job, i);
  return true;
}

static int64_t
due_at (const DagState *dag, const DagJob *job, int32_t number)
{
  return job->timetable.start_at_unix_ms + number * job->timetable.interval_ms
         - dag->options.unix_offset_ms;
}

DagJob *
dag_timetable_occurrence (DagState *dag, DagJob *job, int32_t number)
{
  if (number < 0 || number >= job->timetable.count)
    return NULL;
  GrName id = gr_name_format ("%.*s.%d", GR_NAME_ARG (job->id), (int) number);
  DagJob *occurrence = dag_find_job (dag, &id);
  if (occurrence)
    return occurrence;
  DagStepSpec steps[DAG_MAX_STEPS];
  for (size_t s = 0; s < job->step_count; s++)
    steps[s] = job->steps[s].spec;
  DagJobSpec spec = { .id = id,
                      .queue = job->queue.name,
                      .account = job->client ? job->client->policy.name : (GrName){ 0 },
                      .payload = { job->payload, job->payload_len },
                      .steps = steps,
                      .step_count = job->step_count };
  occurrence = dag_job_create (dag, &spec, &job->queue, due_at (dag, job, number));
  occurrence->timetable_job = job;
  occurrence->occurrence = number;
  occurrence->stored = true;
  occurrence->spec_written = true;
  occurrence->spec_dropped = true;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&job->occurrences, occurrence);
  return occurrence;
}

void
dag_timetable_handle_end (DagState *dag, DagJob *job, int64_t now_ms)
{
  for (size_t i = 0; i < job->occurrences.count; i++)
    dag_job_end (dag, job->occurrences.items[i], DAG_JOB_CANCELLED, now_ms);
  DagJob *owner = job->timetable_job;
  if (!owner || !dag_job_is_open (owner))
    return;
  if (job->state == DAG_JOB_FAILED) {
    dag_job_end (dag, owner, DAG_JOB_FAILED, now_ms);
    return;
  }
  if (job->state != DAG_JOB_COMPLETED)
    return;
  set_done (owner, job->occurrence);
  dag_job_mark_dirty (dag, owner);
  if (owner->done_count == owner->timetable.count)
    dag_job_end (dag, owner, DAG_JOB_COMPLETED, now_ms);
}

void
dag_timetable_loaded (DagState *dag, int64_t now_ms)
{
  for (size_t t = 0; t < dag->timetables.count; t++) {
    DagJob *job = dag->timetables.items[t];
    for (size_t i = 0; i < job->occurrences.count; i++) {
      DagJob *occurrence = job->occurrences.items[i];
      if (!dag_job_is_open (job))
        dag_job_end (dag, occurrence, DAG_JOB_CANCELLED, now_ms);
      else if (!dag_job_is_open (occurrence))
        dag_timetable_handle_end (dag, occurrence, now_ms);
    }
  }
}

static void
start_due (DagState *dag, DagJob *job, int64_t now_ms)
{
  while (job->next_occurrence < job->timetable.count
         && job->occurrences.count < OCCURRENCES_OPEN_MAX
         && now_ms >= due_at (dag, job, job->next_occurrence)) {
    int32_t number = job->next_occurrence++;
    if (is_done (job, number))
      continue;
    DagJob *occurrence = dag_timetable_occurrence (dag, job, number);
    if (dag_share_decide (occurrence, now_ms))
      dag_share_note_accepted (dag, occurrence, now_ms);
    dag_queue_ready_steps (dag, occurrence);
    dag_count (dag, GR_METRIC_OCCURRENCES, 1);
  }
}

void
dag_timetable_tick (DagState *dag, int64_t now_ms)
{
  for (size_t t = 0; t < dag->timetables.count; t++) {
    DagJob *job = dag->timetables.items[t];
    if (job->stored && dag_job_is_open (job))
      start_due (dag, job, now_ms);
  }
}
