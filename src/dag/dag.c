/* Creation and destruction of the state, batches for the store, and timers. */
#include "dag/dag.h"

#include <stdlib.h>

#include "dag/dag_priv.h"

/* A batch takes no further job once its record values reach this size; the rest goes into the next
   one. */
#define BATCH_MAX_BYTES (512 * 1024)
/* Longest interval between two ticks while a job is open, and while none is. */
#define TICK_MS 20
#define IDLE_TICK_MS 100
/* Placement is retried this often while steps wait, since tickets expire and excluded targets
   become usable again. */
#define PLACEMENT_RETRY_MS 50
/* Interval between scans for ended jobs whose retention is over. */
#define EXPIRE_SCAN_INTERVAL_MS 1000

DagState *
dag_new (const DagOptions *options, GrErr *err)
{
  if (options->lease_ms <= 0 || options->lease_ms > options->lease_max_ms) {
    gr_err_set (err, GR_ERR_INVALID, "lease_ms",
                "the lease is %lld ms; it must be between 1 and %lld",
                (long long) options->lease_ms, (long long) options->lease_max_ms);
    return NULL;
  }
  DagState *dag = gr_calloc (1, sizeof *dag);
  dag->options = *options;
  dag->next_token = options->first_token;
  dag->lease_limit_ms = INT64_MAX;
  dag_speed_init (dag);
  return dag;
}

void
dag_limit_leases (DagState *dag, int64_t until_ms)
{
  dag->lease_limit_ms = until_ms;
}

void
dag_set_former_leases (DagState *dag, int64_t lapse_at_ms)
{
  dag->options.former_leases_lapse_at_ms = lapse_at_ms;
}

void
dag_free (DagState *dag)
{
  if (!dag)
    return;
  while (dag->jobs)
    dag_job_free (dag, dag->jobs);
  dag_tasks_free_done (dag);
  gr_hash_clear (dag->targets, dag_target_free);
  gr_hash_clear (dag->queue_stats, free);
  gr_hash_clear (dag->clients, free);
  dag_pace_clear (dag);
  dag_speed_clear (dag);
  dag_triage_clear (dag);
  dag_cmds_reset (dag);
  gr_list_clear (&dag->cmds);
  gr_list_clear (&dag->advise_names);
  gr_list_clear (&dag->queues);
  gr_list_clear (&dag->ready);
  gr_list_clear (&dag->target_list);
  gr_list_clear (&dag->timetables);
  gr_hash_clear (dag->loaded_accounts, free);
  gr_list_clear (&dag->orphans);
  gr_list_clear (&dag->fair.clients);
  free (dag);
}

void
dag_loaded (DagState *dag, int64_t now_ms)
{
  dag->loaded = true;
  dag_accounts_loaded (dag);
  dag_share_loaded (dag, now_ms);
  dag_timetable_loaded (dag, now_ms);
  /* Jobs were loaded before what was learned of their run times. */
  if (dag->runtimes.count > 0)
    dag_runtime_renew_objectives (dag, true);
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    if (dag_job_is_open (job)) {
      dag_triage_note_job (dag, job);
      dag_queue_ready_steps (dag, job);
      continue;
    }
    /* An ended job must not keep runs. */
    for (size_t s = 0; s < job->step_count; s++) {
      const DagStep *step = &job->steps[s];
      for (size_t i = 0; i < step->tasks.count; i++)
        dag_run_stop (dag, step->tasks.items[i], now_ms);
    }
  }
  dag->place_wanted = true;
}

/* Records the batch in the assignments that it stores. */
static void
mark_assignments (DagJob *job, int64_t batch)
{
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    for (size_t i = 0; i < step->tasks.count; i++) {
      DagTask *task = step->tasks.items[i];
      if (task->state == TASK_ASSIGNED && task->batch == 0)
        task->batch = batch;
    }
  }
}

int64_t
dag_take_batch (DagState *dag, DagRecords *out)
{
  if (dag->batch_open || !dag->dirty)
    return 0;
  dag->batch++;
  dag->batch_open = true;
  size_t bytes = 0;
  while (dag->dirty && bytes < BATCH_MAX_BYTES) {
    DagJob *job = dag->dirty;
    dag->dirty = job->dirty_next;
    job->dirty = false;
    job->batch = dag->batch;
    job->batch_state = job->state;
    job->batch_cancels = job->cancel_calls.count;
    job->batch_next = dag->batch_jobs;
    dag->batch_jobs = job;
    if (job->dropped) {
      dag_pack_drop (job, out);
      continue;
    }
    mark_assignments (job, dag->batch);
    bytes += dag_pack_job (dag, job, out);
  }
  dag_pack_orphans (dag, out);
  dag_learn_pack (dag, out);
  /* The job of a processed end may be among those that did not fit. All ends that are not stored
     yet are therefore acknowledged after the next batch at the earliest. */
  if (dag->dirty) {
    for (size_t i = 0; i < dag->target_list.count; i++) {
      if (dag->target_list.items[i]->end_processed > dag->target_list.items[i]->acknowledged)
        dag->target_list.items[i]->end_batch = dag->batch + 1;
    }
  }
  return dag->batch;
}

/* Emits the commands for the calls that waited for the stored record. */
static void
answer_calls (DagState *dag, DagJob *job)
{
  for (size_t i = 0; i < job->submit_calls.count; i++) {
    DagCmd cmd = { .type = DAG_CMD_ACCEPTED };
    cmd.u.call = job->submit_calls.items[i];
    gr_list_push (&dag->cmds, cmd);
  }
  gr_list_clear (&job->submit_calls);
  for (size_t i = 0; i < job->batch_cancels; i++) {
    DagCmd cmd = { .type = DAG_CMD_CANCELLED };
    cmd.u.call = job->cancel_calls.items[i];
    gr_list_push (&dag->cmds, cmd);
  }
  size_t left = job->cancel_calls.count - job->batch_cancels;
  if (left > 0)
    memmove (job->cancel_calls.items, job->cancel_calls.items + job->batch_cancels,
             left * sizeof *job->cancel_calls.items);
  job->cancel_calls.count = left;
  job->batch_cancels = 0;
}

static void
handle_job_stored (DagState *dag, DagJob *job, int64_t batch, int64_t now_ms)
{
  job->stored = true;
  if (job->batch_state != DAG_JOB_QUEUED && job->batch_state != DAG_JOB_IN_PROGRESS)
    job->stored_state = job->batch_state;
  answer_calls (dag, job);
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    for (size_t i = 0; i < step->tasks.count; i++) {
      DagTask *task = step->tasks.items[i];
      if (task->state == TASK_ASSIGNED && task->batch == batch)
        dag_run_start (dag, task, now_ms);
    }
  }
}

void
dag_stored (DagState *dag, int64_t batch, int64_t now_ms)
{
  if (!dag->batch_open || batch != dag->batch)
    return;
  dag->batch_open = false;
  DagJob *job = dag->batch_jobs;
  dag->batch_jobs = NULL;
  while (job) {
    DagJob *next = job->batch_next;
    job->batch_next = NULL;
    job->batch = 0;
    if (job->dropped)
      dag_job_free (dag, job);
    else
      handle_job_stored (dag, job, batch, now_ms);
    job = next;
  }
  for (size_t i = 0; i < dag->target_list.count; i++) {
    DagTarget *target = dag->target_list.items[i];
    if (target->end_processed > target->acknowledged && target->end_batch <= batch)
      target->acknowledged = target->end_processed;
  }
  dag_targets_tick (dag, now_ms);
}

bool
dag_has_changes (const DagState *dag)
{
  return dag->dirty && !dag->batch_open;
}

/* True if nothing needs the ended job any more. Callers ask for a job for some time; an occurrence
   is needed until the job with the timetable is stored. */
static bool
is_expired (const DagState *dag, const DagJob *job, int64_t now_ms)
{
  if (job->stored_state == DAG_JOB_UNKNOWN || job->dirty || job->batch != 0
      || job->occurrences.count > 0 || dag_job_has_runs (job))
    return false;
  const DagJob *owner = job->timetable_job;
  if (owner)
    return !owner->dirty && owner->batch == 0;
  return now_ms - job->ended_at >= dag->options.status_keep_ms;
}

static void
drop_expired_jobs (DagState *dag, int64_t now_ms)
{
  if (now_ms < dag->expire_scan_at)
    return;
  dag->expire_scan_at = now_ms + EXPIRE_SCAN_INTERVAL_MS;
  DagJob *job, *next;
  HASH_ITER (hh, dag->jobs, job, next)
  {
    if (is_expired (dag, job, now_ms) && !job->dropped) {
      job->dropped = true;
      dag_job_mark_dirty (dag, job);
    }
  }
}

void
dag_tick (DagState *dag, int64_t now_ms)
{
  dag_tasks_free_done (dag);
  if (!dag->loaded || dag->deposed)
    return;
  dag_targets_tick (dag, now_ms);
  dag_timetable_tick (dag, now_ms);
  dag_runs_tick (dag, now_ms);
  dag_avail_tick (dag, now_ms);
  dag_clients_tick (dag, now_ms);
  dag_speed_tick (dag, now_ms);
  dag_runtime_tick (dag, now_ms);
  if (dag->ready.count > 0 && now_ms - dag->placed_at >= PLACEMENT_RETRY_MS)
    dag->place_wanted = true;
  dag_triage_update (dag, now_ms);
  dag_place (dag, now_ms);
  drop_expired_jobs (dag, now_ms);
}

int64_t
dag_next_tick (const DagState *dag, int64_t now_ms)
{
  return now_ms + (dag->place_wanted ? 5 : dag->open_jobs > 0 ? TICK_MS : IDLE_TICK_MS);
}

const DagCmds *
dag_cmds (const DagState *dag)
{
  return &dag->cmds;
}

void
dag_cmds_reset (DagState *dag)
{
  gr_list_reset (&dag->cmds);
  for (size_t i = 0; i < dag->advise_names.count; i++)
    free (dag->advise_names.items[i]);
  gr_list_reset (&dag->advise_names);
}

DagCounts
dag_counts (const DagState *dag, int64_t now_ms)
{
  DagCounts counts = { .open_jobs = dag->open_jobs };
  counts.jobs = HASH_COUNT (dag->jobs);
  for (size_t i = 0; i < dag->ready.count; i++)
    counts.waiting_tasks += (size_t) dag->ready.items[i]->waiting;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!target->listed)
      continue;
    counts.targets++;
    counts.usable_targets += dag_target_usable (target, now_ms);
    counts.runs += (size_t) target->run_count;
    counts.capacity_cpu_milli += target->info.capacity.v[GR_RES_CPU_MILLI];
    counts.free_cpu_milli += dag_target_free_cpu (target);
  }
  return counts;
}

bool
dag_target_room (const DagState *dag, const GrName *id, GrRes *used, GrRes *capacity)
{
  const DagTarget *target = dag_find_target (dag, id);
  if (!target)
    return false;
  *used = target->used;
  *capacity = target->info.capacity;
  return true;
}
