/* Table of jobs: submission, cancellation, states, and the steps that are ready to be placed. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* The hard deadline is this multiple of the objective; later completion is worth nothing. */
#define HARD_DEADLINE_FACTOR 3
/* Targets that a typical call for advice names. Objectives allow for one such call per step. */
#define TYPICAL_ADVICE_TARGETS 30
/* Starting values of the moving averages. Estimates are taken as they are until runs end. */
#define INITIAL_RUNTIME_RATIO 1.0
#define INITIAL_ALLOWED_SHARE 0.5

const char *
dag_job_state_name (DagJobState state)
{
  switch (state) {
  case DAG_JOB_UNKNOWN:
    break;
  case DAG_JOB_QUEUED:
    return "queued";
  case DAG_JOB_IN_PROGRESS:
    return "in_progress";
  case DAG_JOB_COMPLETED:
    return "completed";
  case DAG_JOB_FAILED:
    return "failed";
  case DAG_JOB_CANCELLED:
    return "cancelled";
  }
  return "unknown";
}

const char *
dag_order_result_name (DagOrderResult result)
{
  static const char *const names[] = {
    [DAG_ORDER_OK] = "ok",           [DAG_ORDER_FENCED] = "fenced",
    [DAG_ORDER_OLD] = "old",         [DAG_ORDER_LATE] = "late",
    [DAG_ORDER_NO_ROOM] = "no-room", [DAG_ORDER_NO_TICKET] = "no-ticket",
    [DAG_ORDER_INVALID] = "invalid", [DAG_ORDER_REFUSED] = "refused",
    [DAG_ORDER_GONE] = "gone",       [DAG_ORDER_NOT_SENT] = "not-sent",
    [DAG_ORDER_LOST] = "lost",       [DAG_ORDER_CLOSED] = "closed",
  };
  return names[result];
}

const char *
dag_end_kind_name (DagEndKind kind)
{
  static const char *const names[] = {
    [DAG_END_DONE] = "done",     [DAG_END_FAILED] = "failed", [DAG_END_STOPPED] = "stopped",
    [DAG_END_LAPSED] = "lapsed", [DAG_END_BROKEN] = "broken", [DAG_END_ALONE] = "alone",
  };
  return names[kind];
}

DagJob *
dag_find_job (const DagState *dag, const GrName *id)
{
  DagJob *job = NULL;
  HASH_FIND (hh, dag->jobs, id->data, id->len, job);
  return job;
}

DagQueueStats *
dag_queue_stats (DagState *dag, const GrName *queue)
{
  DagQueueStats *stats = NULL;
  HASH_FIND (hh, dag->queue_stats, queue->data, queue->len, stats);
  if (stats)
    return stats;
  stats = gr_calloc (1, sizeof *stats);
  stats->queue = *queue;
  stats->runtime_ratio = INITIAL_RUNTIME_RATIO;
  stats->allowed_share = INITIAL_ALLOWED_SHARE;
  stats->work_kind = dag_work_kind (queue, &(GrName){ 0 });
  stats->runtimes = &dag->runtimes;
  stats->classes = &dag->classes;
  HASH_ADD_KEYPTR (hh, dag->queue_stats, stats->queue.data, stats->queue.len, stats);
  return stats;
}

bool
dag_job_is_open (const DagJob *job)
{
  return job->state == DAG_JOB_QUEUED || job->state == DAG_JOB_IN_PROGRESS;
}

bool
dag_job_has_runs (const DagJob *job)
{
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    for (size_t i = 0; i < step->tasks.count; i++) {
      if (step->tasks.items[i]->target)
        return true;
    }
  }
  return false;
}

void
dag_job_mark_dirty (DagState *dag, DagJob *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  job->dirty_next = dag->dirty;
  dag->dirty = job;
}

bool
dag_step_is_ready (const DagStep *step)
{
  const DagJob *job = step->job;
  return dag_job_is_open (job) && !dag_has_timetable (job)
         && (step->spec.depends_on & job->steps_done) == step->spec.depends_on;
}

void
dag_queue_step (DagState *dag, DagStep *step)
{
  dag->place_wanted = true;
  if (step->queued || step->waiting == 0 || !dag_step_is_ready (step))
    return;
  step->queued = true;
  gr_list_push (&dag->ready, step); /* NOLINT(bugprone-sizeof-expression): a list of pointers */
}

void
dag_queue_ready_steps (DagState *dag, DagJob *job)
{
  for (size_t s = 0; s < job->step_count; s++)
    dag_queue_step (dag, &job->steps[s]);
}

DagJob *
dag_find_task_job (const DagState *dag, const GrName *name)
{
  DagJob *job = dag_find_job (dag, name);
  if (!job || !dag_has_timetable (job))
    return job;
  GrName first = gr_name_format ("%.*s.0", GR_NAME_ARG (*name));
  return dag_find_job (dag, &first);
}

GrName
dag_task_job_name (const DagJob *job)
{
  return job->timetable_job && job->occurrence == 0 ? job->timetable_job->id : job->id;
}

DagTask *
dag_find_task (const DagState *dag, const DagTaskRef *ref)
{
  DagJob *job = dag_find_task_job (dag, &ref->job);
  if (!job || ref->step >= job->step_count)
    return NULL;
  return dag_step_find_task (&job->steps[ref->step], ref->index);
}

DagTaskRef
dag_task_ref (const DagTask *task)
{
  return (DagTaskRef){ dag_task_job_name (task->step->job), task->step->number, task->index };
}

/* Expected duration of a call for advice; 0 if the queue needs none. */
static double
expected_advice_ms (const DagQueue *queue)
{
  return queue->advised ? queue->advice_ms + TYPICAL_ADVICE_TARGETS * queue->advice_ms_per_target
                        : 0;
}

/* Sets the critical path of each step, with this time for advice before each; returns the longest,
   which is that of the job. */
static int64_t
set_critical_paths (DagJob *job, double advice_ms)
{
  int64_t longest = 0;
  for (size_t s = job->step_count; s-- > 0;) {
    DagStep *step = &job->steps[s];
    int64_t after = 0;
    for (size_t d = s + 1; d < job->step_count; d++) {
      if ((job->steps[d].spec.depends_on >> s & 1) && job->steps[d].critical_path_ms > after)
        after = job->steps[d].critical_path_ms;
    }
    step->after_ms = after;
    step->critical_path_ms = after + (int64_t) (advice_ms + dag_expected_run (step));
    if (step->critical_path_ms > longest)
      longest = step->critical_path_ms;
  }
  return longest;
}

void
dag_job_set_objective (DagJob *job)
{
  double slack = job->queue.slack_factor > 0 ? job->queue.slack_factor : 1;
  double work = (double) set_critical_paths (job, 0);
  double chain = (double) set_critical_paths (job, expected_advice_ms (&job->queue));
  job->objective_without_advice_at
      = job->accepted_at + (int64_t) (work * slack) + job->queue.target_latency_ms;
  int64_t objective = (int64_t) (chain * slack) + job->queue.target_latency_ms;
  job->objective_at = job->accepted_at + objective;
  job->hard_deadline_at = job->accepted_at + HARD_DEADLINE_FACTOR * objective;
}

DagJob *
dag_job_create (DagState *dag, const DagJobSpec *spec, const DagQueue *queue, int64_t accepted_at)
{
  DagJob *job = gr_calloc (1, sizeof *job);
  job->id = spec->id;
  job->queue = *queue;
  job->stats = dag_queue_stats (dag, &queue->name);
  job->client = dag_client_ref (dag, &spec->account);
  job->payload = gr_str_dup (spec->payload);
  job->payload_len = spec->payload.len;
  job->accepted_at = accepted_at;
  job->serial = ++dag->next_job_serial;
  job->state = DAG_JOB_QUEUED;
  job->step_count = spec->step_count;
  job->steps = gr_calloc (spec->step_count ? spec->step_count : 1, sizeof *job->steps);
  for (size_t s = 0; s < spec->step_count; s++) {
    DagStep *step = &job->steps[s];
    step->job = job;
    step->number = (uint32_t) s;
    step->spec = spec->steps[s];
    step->work_kind = dag_work_kind (&queue->name, &step->spec.image);
    step->waiting = step->spec.count;
  }
  job->timetable = spec->timetable;
  if (dag_has_timetable (job))
    dag_timetable_init (dag, job);
  dag_job_set_objective (job);
  HASH_ADD_KEYPTR (hh, dag->jobs, job->id.data, job->id.len, job);
  dag->open_jobs++;
  dag_share_add_job (job);
  return job;
}

DagJob *
dag_job_create_ended (DagState *dag, const GrName *id, const GrName *account, DagJobState state,
                      int64_t ended_at)
{
  DagJobSpec spec = { .id = *id, .account = *account };
  DagJob *job = dag_job_create (dag, &spec, &(DagQueue){ 0 }, ended_at);
  job->state = state;
  job->ended_at = ended_at;
  job->spec_written = true;
  job->spec_dropped = true;
  dag->open_jobs--;
  return job;
}

/* Removes the steps of the job from dag->ready. */
static void
unqueue_steps (DagState *dag, const DagJob *job)
{
  size_t kept = 0;
  for (size_t i = 0; i < dag->ready.count; i++) {
    if (dag->ready.items[i]->job != job)
      dag->ready.items[kept++] = dag->ready.items[i];
  }
  dag->ready.count = kept;
}

void
dag_job_free (DagState *dag, DagJob *job)
{
  unqueue_steps (dag, job);
  dag_share_remove_job (job);
  dag_timetable_release (dag, job);
  for (size_t s = 0; s < job->step_count; s++) {
    DagStep *step = &job->steps[s];
    dag_advice_clear (step);
    gr_list_clear (&step->failed_on);
    gr_list_clear (&step->measured);
    dag_step_clear_tasks (step);
  }
  free (job->steps);
  free (job->payload);
  gr_list_clear (&job->submit_calls);
  gr_list_clear (&job->cancel_calls);
  HASH_DEL (dag->jobs, job);
  dag_client_unref (dag, job->client);
  free (job);
}

void
dag_drop_target_refs (DagState *dag, const DagTarget *target)
{
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    for (size_t s = 0; s < job->step_count; s++)
      dag_advice_drop_target (&job->steps[s], target);
  }
}

void
dag_job_end (DagState *dag, DagJob *job, DagJobState state, int64_t now_ms)
{
  if (!dag_job_is_open (job))
    return;
  dag_share_remove_job (job);
  job->state = state;
  job->ended_at = now_ms;
  dag->open_jobs--;
  dag_job_mark_dirty (dag, job);
  for (size_t s = 0; s < job->step_count; s++) {
    DagStep *step = &job->steps[s];
    dag_advice_clear (step);
    for (size_t i = 0; i < step->tasks.count; i++)
      dag_run_stop (dag, step->tasks.items[i], now_ms);
  }
  DAG_LOG (dag, GR_EV_ENDED, "id=%.*s queue=%.*s state=%s after_ms=%lld", GR_NAME_ARG (job->id),
           GR_NAME_ARG (job->queue.name), dag_job_state_name (state),
           (long long) (now_ms - job->accepted_at));
  dag_count (dag, GR_METRIC_ENDED, 1);
  dag_timetable_handle_end (dag, job, now_ms);
}

static const DagQueue *
find_queue (const DagState *dag, const GrName *name)
{
  for (size_t i = 0; i < dag->queues.count; i++) {
    if (gr_name_equal (&dag->queues.items[i].name, name))
      return &dag->queues.items[i];
  }
  return NULL;
}

void
dag_set_queues (DagState *dag, const DagQueues *queues, int64_t now_ms)
{
  (void) now_ms;
  gr_list_reset (&dag->queues);
  for (size_t i = 0; i < queues->count; i++)
    gr_list_push (&dag->queues, queues->queues[i]);
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    const DagQueue *queue = find_queue (dag, &job->queue.name);
    if (queue)
      job->queue = *queue;
  }
  dag->place_wanted = true;
}

bool
dag_check_job_spec (const DagJobSpec *spec, GrErr *err)
{
  int64_t tasks = 0;
  if (!dag_check_timetable (&spec->timetable, err))
    return false;
  if (spec->step_count == 0 || spec->step_count > DAG_MAX_STEPS)
    return gr_err_set (err, GR_ERR_INVALID, "steps", "a job must have 1 to %d steps, not %zu",
                       DAG_MAX_STEPS, spec->step_count);
  for (size_t s = 0; s < spec->step_count; s++) {
    const DagStepSpec *step = &spec->steps[s];
    if (step->count < 1)
      return gr_err_set (err, GR_ERR_INVALID, "count", "step %zu has no tasks", s);
    if (step->estimate_ms < 0 || step->estimate_ms > DAG_DURATION_MAX_MS)
      return gr_err_set (err, GR_ERR_INVALID, "estimate",
                         "the estimate of step %zu must be between 0 ms and a year", s);
    if (step->depends_on >> s)
      return gr_err_set (err, GR_ERR_INVALID, "depends_on",
                         "step %zu depends on itself or on a later step", s);
    for (int d = 0; d < GR_RES_COUNT; d++) {
      if (step->demand.v[d] < 0)
        return gr_err_set (err, GR_ERR_INVALID, gr_res_name ((GrResDim) d),
                           "the demand of step %zu must not be negative", s);
    }
    tasks += step->count;
  }
  if (tasks > DAG_MAX_TASKS)
    return gr_err_set (err, GR_ERR_TOO_LARGE, "steps",
                       "the job has %lld tasks; at most %d are allowed", (long long) tasks,
                       DAG_MAX_TASKS);
  return true;
}

/* Stores the submission as cancelled if its account had cancelled the id before. */
static bool
submit_cancelled (DagState *dag, const DagJobSpec *spec, int64_t call)
{
  GrName id = dag_cancelled_id (&spec->id, &spec->account);
  const DagJob *cancelled = dag_find_job (dag, &id);
  if (!cancelled || cancelled->dropped)
    return false;
  DagJob *job = dag_job_create_ended (dag, &spec->id, &spec->account, DAG_JOB_CANCELLED,
                                      cancelled->ended_at);
  gr_list_push (&job->submit_calls, call);
  dag_job_mark_dirty (dag, job);
  return true;
}

DagSubmitResult
dag_submit (DagState *dag, const DagJobSpec *spec, int64_t call, int64_t now_ms,
            int64_t *retry_after_ms, GrErr *err)
{
  *retry_after_ms = 0;
  DagJob *job = dag_find_job (dag, &spec->id);
  if (job) {
    if (spec->account.len > 0 && dag_is_foreign (dag, &spec->id, &spec->account))
      return DAG_SUBMIT_FOREIGN;
    if (job->never_submitted && !job->dropped) {
      job->never_submitted = false;
      job->client = dag_client_ref (dag, &spec->account);
      job->stored = false;
      dag_job_mark_dirty (dag, job);
    }
    if (job->stored)
      return DAG_SUBMIT_KNOWN;
    gr_list_push (&job->submit_calls, call);
    return DAG_SUBMIT_PENDING;
  }
  if (submit_cancelled (dag, spec, call))
    return DAG_SUBMIT_PENDING;
  const DagQueue *queue = find_queue (dag, &spec->queue);
  if (!queue)
    return DAG_SUBMIT_NO_QUEUE;
  if (!dag_check_job_spec (spec, err))
    return DAG_SUBMIT_INVALID;
  if (!dag_share_admits (dag, spec, now_ms, retry_after_ms))
    return DAG_SUBMIT_OVERLOAD;
  job = dag_job_create (dag, spec, queue, now_ms);
  dag_share_decide (job, now_ms);
  if (!dag_triage_admits (dag, job, now_ms, retry_after_ms)) {
    dag_share_return_token (job);
    dag->open_jobs--;
    dag_job_free (dag, job);
    return DAG_SUBMIT_OVERLOAD;
  }
  dag_share_note_accepted (dag, job, now_ms);
  dag_triage_note_job (dag, job);
  gr_list_push (&job->submit_calls, call);
  dag_job_mark_dirty (dag, job);
  dag_queue_ready_steps (dag, job);
  return DAG_SUBMIT_PENDING;
}

static void
remove_from_dirty (DagState *dag, const DagJob *job)
{
  DagJob **slot = &dag->dirty;
  while (*slot && *slot != job)
    slot = &(*slot)->dirty_next;
  if (*slot)
    *slot = job->dirty_next;
}

bool
dag_withdraw (DagState *dag, const GrName *id)
{
  DagJob *job = dag_find_job (dag, id);
  if (!job || job->stored || job->spec_written || job->cancel_calls.count > 0)
    return false;
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    for (size_t i = 0; i < step->tasks.count; i++) {
      /* No start was sent without a record; an assignment only reserves resources. */
      if (step->tasks.items[i]->target)
        dag_target_detach (step->tasks.items[i]);
    }
  }
  remove_from_dirty (dag, job);
  dag_share_return_token (job);
  dag->open_jobs--;
  dag_job_free (dag, job);
  dag->place_wanted = true;
  return true;
}

DagCancelResult
dag_cancel (DagState *dag, const GrName *id, int64_t call, int64_t now_ms)
{
  DagJob *job = dag_find_job (dag, id);
  /* The records of a dropped job are being deleted, and nothing may be added to them. */
  if (job && job->dropped)
    return DAG_CANCEL_DROPPED;
  if (!job) {
    job = dag_job_create_ended (dag, id, &(GrName){ 0 }, DAG_JOB_CANCELLED, now_ms);
    job->never_submitted = true;
  }
  gr_list_push (&job->cancel_calls, call);
  dag_job_end (dag, job, DAG_JOB_CANCELLED, now_ms);
  dag_job_mark_dirty (dag, job);
  return job->never_submitted ? DAG_CANCEL_UNKNOWN : DAG_CANCEL_PENDING;
}

DagJobState
dag_status (const DagState *dag, const GrName *id)
{
  const DagJob *job = dag_find_job (dag, id);
  if (!job || job->never_submitted)
    return DAG_JOB_UNKNOWN;
  if (job->stored_state != DAG_JOB_UNKNOWN)
    return job->stored_state;
  return job->begun ? DAG_JOB_IN_PROGRESS : DAG_JOB_QUEUED;
}

bool
dag_payload (const DagState *dag, const DagTaskRef *task, GrStr *payload)
{
  const DagJob *job = dag_find_task_job (dag, &task->job);
  if (!job || !dag_job_is_open (job))
    return false;
  *payload = (GrStr){ job->payload, job->payload_len };
  return true;
}

int64_t
dag_pending (const DagState *dag, const GrName *queue)
{
  int64_t count = 0;
  for (const DagJob *job = dag->jobs; job; job = job->hh.next) {
    if (dag_job_is_open (job) && !job->begun && !job->timetable_job
        && gr_name_equal (&job->queue.name, queue))
      count++;
  }
  return count;
}
