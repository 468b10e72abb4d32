/* Overload: input of the triage plan from the state of the scheduler, and admission of jobs.

   The plan is made only while more work waits than free room, at most every PLAN_INTERVAL_MS. Its
   verdicts enter deadline_class() in dag_place.c. Nothing is stored: a new leader plans anew
   before its first placement. */
#include <stdlib.h>

#include "dag/dag_priv.h"

#define PLAN_INTERVAL_MS 250
/* A plan of many jobs and runs is made less often, so that planning leaves the processor time of
   the leader to starts and holds. */
#define PLAN_ITEMS_PER_MS 10
/* Worth of a job: this part is the same for all jobs of a queue, the rest is in proportion to the
   work of the job over the mean of its queue. */
#define WORTH_FIXED 0.3
/* Weight of one job in the mean work of its queue. */
#define MEAN_WORK_WEIGHT 0.05
/* Weight of one plan in the moving average of the share of the capacity that runs use while work
   waits, and the least value of that average. */
#define PACKING_WEIGHT 0.06
#define PACKING_MIN 0.5
/* A run is expected to need at least this part of its expected run time from now on, however long
   it has worked. */
#define OVERDUE_PART 0.25
/* Submissions are refused for this time after a job of their rank became too late. */
#define MISSED_MEMORY_MS 2000
/* An overload has ended after this time without one. */
#define CALM_MS 2000
/* Shortest and longest Retry-After of a refusal. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 30000

/* Input of the plan for the targets of one service. */
typedef struct {
  DagServiceLoad *load;
  TriageAmount capacity, used, wanted; /* wanted: by waiting tasks */
  double listed_cpu;                   /* of the targets in the list, usable or not */
  GR_LIST (TriageRun) runs;
  GR_LIST (TriageJob) jobs;
  GR_LIST (DagJob *) dag_jobs; /* the job of each entry of jobs */
} Plan;

static void
add_amount (TriageAmount *sum, const GrRes *demand, double times)
{
  for (int d = 0; d < GR_RES_COUNT; d++)
    sum->v[d] += times * (double) demand->v[d];
}

static double
total_work (const DagJob *job)
{
  double work = 0;
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStepSpec *spec = &job->steps[s].spec;
    work += (double) spec->count * (double) spec->estimate_ms
            * (double) spec->demand.v[GR_RES_CPU_MILLI];
  }
  return work;
}

static double
worth (const DagJob *job)
{
  double mean = job->stats->mean_work;
  return mean > 0 ? WORTH_FIXED + (1 - WORTH_FIXED) * total_work (job) / mean : 1;
}

/* Work of the tasks of the job that have no run. */
static TriageAmount
waiting_work (const DagJob *job)
{
  TriageAmount work = { 0 };
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    if (step->waiting == 0 || step->spec.long_running)
      continue;
    GrRes demand = dag_reserved_demand (&step->spec);
    add_amount (&work, &demand, (double) step->waiting * (double) dag_expected_run_ms (step));
  }
  return work;
}

/* Longest critical path of the steps with waiting tasks. */
static int64_t
waiting_path_ms (const DagJob *job)
{
  int64_t longest = 0;
  for (size_t s = 0; s < job->step_count; s++) {
    const DagStep *step = &job->steps[s];
    if (step->waiting > 0 && step->critical_path_ms > longest)
      longest = step->critical_path_ms;
  }
  return longest;
}

static TriageVerdict
best_verdict (const DagJob *job, int64_t now_ms)
{
  int64_t done_at = now_ms + waiting_path_ms (job);
  if (done_at <= job->objective_at)
    return TRIAGE_OBJECTIVE;
  return done_at <= job->hard_deadline_at ? TRIAGE_HARD : TRIAGE_NONE;
}

static DagServiceLoad *
find_load (const DagState *dag, const GrName *service)
{
  for (size_t i = 0; i < dag->triage.loads.count; i++) {
    if (gr_name_equal (&dag->triage.loads.items[i]->service, service))
      return dag->triage.loads.items[i];
  }
  return NULL;
}

static DagServiceLoad *
get_load (DagState *dag, const GrName *service)
{
  DagServiceLoad *load = find_load (dag, service);
  if (load)
    return load;
  load = gr_calloc (1, sizeof *load);
  load->service = *service;
  load->packing = 1;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->triage.loads, load);
  return load;
}

static int64_t
expected_end (const DagTask *task, int64_t now_ms)
{
  int64_t expected = dag_expected_run_ms (task->step);
  int64_t worked = task->confirmed_at > 0 ? now_ms - task->confirmed_at : 0;
  int64_t least = (int64_t) (OVERDUE_PART * (double) expected);
  return now_ms + (expected - worked > least ? expected - worked : least);
}

/* Adds the capacity and the use of the targets of the service, and what waits for them. */
static void
measure (DagState *dag, Plan *plan, int64_t now_ms)
{
  const GrName *service = &plan->load->service;
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!gr_name_equal (&target->info.service, service))
      continue;
    if (target->listed && !target->info.draining)
      plan->listed_cpu += target->info.capacity.v[GR_RES_CPU_MILLI];
    if (!dag_target_usable (target, now_ms))
      continue;
    add_amount (&plan->capacity, &target->info.capacity, 1);
    add_amount (&plan->used, &target->used, 1);
  }
  for (size_t i = 0; i < dag->ready.count; i++) {
    const DagStep *step = dag->ready.items[i];
    GrRes demand = dag_reserved_demand (&step->spec);
    if (gr_name_equal (&step->job->queue.service, service) && !step->spec.long_running
        && dag_step_is_ready (step))
      add_amount (&plan->wanted, &demand, step->waiting);
  }
}

/* True if more waits than there is free room, so that the order of the steps matters. */
static bool
lacks_room (const Plan *plan)
{
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (plan->wanted.v[d] > 0 && plan->wanted.v[d] > plan->capacity.v[d] - plan->used.v[d])
      return true;
  }
  return false;
}

/* False if most targets do not answer, as just after a takeover: what the cell can do in the next
   seconds is not known then. */
static bool
knows_capacity (const Plan *plan)
{
  return 2 * plan->capacity.v[GR_RES_CPU_MILLI] >= plan->listed_cpu;
}

static void
add_job (DagState *dag, Plan *plan, DagJob *job, int64_t now_ms)
{
  if (job->triage_mark == dag->triage.mark || !dag_job_is_open (job)
      || !gr_name_equal (&job->queue.service, &plan->load->service))
    return;
  job->triage_mark = dag->triage.mark;
  /* On average half a run of the last tasks goes on after the last one has started. */
  int64_t tail_ms = dag_expected_run_ms (&job->steps[job->step_count - 1]) / 2;
  TriageJob entry = { .work = waiting_work (job),
                      .due_at = job->objective_at - tail_ms,
                      .hard_due_at = job->hard_deadline_at - tail_ms,
                      .worth = worth (job),
                      .best = best_verdict (job, now_ms),
                      .priority = job->queue.priority,
                      .beyond_share = job->beyond_share,
                      .account = job->client ? gr_name_hash (&job->client->policy.name, 0) : 0,
                      .weight = job->client ? dag_client_weight (job->client) : 1,
                      .left_out = job->verdict != TRIAGE_OBJECTIVE };
  gr_list_push (&plan->jobs, entry);
  gr_list_push (&plan->dag_jobs, job); /* NOLINT(bugprone-sizeof-expression): a list of pointers */
}

/* Runs, and the jobs that have runs or steps that can be placed. All other open jobs wait for a
   timetable. */
static void
collect (DagState *dag, Plan *plan, int64_t now_ms)
{
  dag->triage.mark++;
  for (size_t i = 0; i < dag->ready.count; i++)
    add_job (dag, plan, dag->ready.items[i]->job, now_ms);
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    if (!gr_name_equal (&target->info.service, &plan->load->service))
      continue;
    bool usable = dag_target_usable (target, now_ms);
    for (const DagTask *task = target->runs; task; task = task->target_next) {
      DagJob *job = task->step->job;
      GrRes demand = dag_reserved_demand (&task->step->spec);
      add_job (dag, plan, job, now_ms);
      if (usable && task->step->spec.long_running) {
        add_amount (&plan->capacity, &demand, -1);
      } else if (usable) {
        TriageRun run = { .ends_at = expected_end (task, now_ms) };
        add_amount (&run.demand, &demand, 1);
        gr_list_push (&plan->runs, run);
      }
    }
  }
  for (size_t i = 0; i < dag->ready.count; i++) {
    const DagStep *step = dag->ready.items[i];
    GrRes demand = dag_reserved_demand (&step->spec);
    if (step->spec.long_running && gr_name_equal (&step->job->queue.service, &plan->load->service))
      add_amount (&plan->capacity, &demand, -step->waiting);
  }
}

/* Runs never use all of the capacity: what is free on a target may fit no waiting task. */
static void
apply_packing (Plan *plan)
{
  double share = 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (plan->capacity.v[d] > 0 && plan->used.v[d] / plan->capacity.v[d] > share)
      share = plan->used.v[d] / plan->capacity.v[d];
  }
  DagServiceLoad *load = plan->load;
  load->packing += PACKING_WEIGHT * (share - load->packing);
  if (load->packing < PACKING_MIN)
    load->packing = PACKING_MIN;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    double usable = plan->capacity.v[d] * load->packing;
    plan->capacity.v[d] = usable > plan->used.v[d] ? usable : plan->used.v[d];
  }
}

static void
add_backlog (DagServiceLoad *load, const DagJob *job, double work)
{
  bool beyond_share = job->beyond_share;
  for (size_t i = 0; i < load->backlogs.count; i++) {
    DagBacklog *backlog = &load->backlogs.items[i];
    if (backlog->priority == job->queue.priority && backlog->beyond_share == beyond_share
        && backlog->verdict == job->verdict) {
      backlog->work += work;
      return;
    }
  }
  gr_list_push (&load->backlogs, (DagBacklog){ .priority = job->queue.priority,
                                               .beyond_share = beyond_share,
                                               .verdict = job->verdict,
                                               .work = work });
}

static DagDeadlineMiss *
get_missed (DagServiceLoad *load, const DagJob *job)
{
  for (size_t i = 0; i < load->missed.count; i++) {
    DagDeadlineMiss *missed = &load->missed.items[i];
    if (missed->priority == job->queue.priority && missed->beyond_share == job->beyond_share)
      return missed;
  }
  gr_list_push (&load->missed, (DagDeadlineMiss){ .priority = job->queue.priority,
                                                  .beyond_share = job->beyond_share,
                                                  .at = INT64_MIN / 2 });
  return &load->missed.items[load->missed.count - 1];
}

static bool
missed_lately (DagServiceLoad *load, const DagJob *job, int64_t now_ms)
{
  return now_ms - get_missed (load, job)->at < MISSED_MEMORY_MS;
}

/* Notes a job that has become too late for its hard deadline since one of the last two plans. */
static void
note_missed (DagServiceLoad *load, const DagJob *job, int64_t now_ms)
{
  int64_t late_ms = now_ms + waiting_path_ms (job) - job->hard_deadline_at;
  if (!job->begun && late_ms > 0 && late_ms <= 2 * PLAN_INTERVAL_MS)
    get_missed (load, job)->at = now_ms;
}

/* Forgets the verdicts on the jobs of the service. */
static void
clear_verdicts (DagState *dag, DagServiceLoad *load)
{
  load->result = (TriageResult){ 0 };
  gr_list_reset (&load->backlogs);
  if (!load->has_verdicts)
    return;
  load->has_verdicts = false;
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    if (gr_name_equal (&job->queue.service, &load->service))
      job->verdict = TRIAGE_OBJECTIVE;
  }
}

static void
plan_jobs (DagState *dag, Plan *plan, int64_t now_ms)
{
  DagServiceLoad *load = plan->load;
  apply_packing (plan);
  collect (dag, plan, now_ms);
  TriageCell cell = { .now_ms = now_ms,
                      .capacity = plan->capacity,
                      .runs = plan->runs.items,
                      .run_count = plan->runs.count };
  load->result = triage_plan (&cell, plan->jobs.items, plan->jobs.count);
  dag->triage.planned_items += plan->jobs.count + plan->runs.count;
  gr_list_reset (&load->backlogs);
  for (size_t i = 0; i < plan->jobs.count; i++) {
    DagJob *job = plan->dag_jobs.items[i];
    job->verdict = plan->jobs.items[i].verdict;
    load->has_verdicts |= job->verdict != TRIAGE_OBJECTIVE;
    note_missed (load, job, now_ms);
    add_backlog (load, job, plan->jobs.items[i].work.v[load->result.dim]);
  }
}

/* Logs the begin and the end of an overload. */
static void
note_overload (DagState *dag, DagServiceLoad *load, int64_t now_ms)
{
  const TriageResult *result = &load->result;
  if (result->left_out > 0) {
    load->overloaded_at = now_ms;
    if (load->left_out_most < result->left_out)
      load->left_out_most = result->left_out;
    if (load->overloaded)
      return;
    load->overloaded = true;
    load->overloaded_since = now_ms;
    load->refused = 0;
    DAG_LOG (dag, GR_EV_OVERLOAD,
             "state=begin service=%.*s resource=%s waiting=%.0f running=%.0f capacity=%.0f "
             "drain_ms=%.0f left_out=%zu",
             GR_NAME_ARG (load->service), gr_res_name (result->dim), result->waiting / 1000,
             result->running / 1000, result->capacity,
             result->capacity > 0 ? (result->waiting + result->running) / result->capacity : 0,
             result->left_out);
  } else if (load->overloaded && now_ms - load->overloaded_at >= CALM_MS) {
    load->overloaded = false;
    DAG_LOG (dag, GR_EV_OVERLOAD,
             "state=end service=%.*s after_ms=%lld left_out_most=%zu refused=%lld",
             GR_NAME_ARG (load->service), (long long) (now_ms - load->overloaded_since),
             load->left_out_most, (long long) load->refused);
    load->left_out_most = 0;
  }
}

static void
update_load (DagState *dag, DagServiceLoad *load, int64_t now_ms)
{
  Plan plan = { .load = load };
  measure (dag, &plan, now_ms);
  if (lacks_room (&plan) && knows_capacity (&plan))
    plan_jobs (dag, &plan, now_ms);
  else
    clear_verdicts (dag, load);
  note_overload (dag, load, now_ms);
  gr_list_clear (&plan.runs);
  gr_list_clear (&plan.jobs);
  gr_list_clear (&plan.dag_jobs);
}

static void
set_metrics (const DagState *dag)
{
  if (!dag->options.metrics)
    return;
  int64_t left_out = 0, overloaded = 0;
  for (size_t i = 0; i < dag->triage.loads.count; i++) {
    left_out += (int64_t) dag->triage.loads.items[i]->result.left_out;
    overloaded |= dag->triage.loads.items[i]->overloaded;
  }
  gr_metric_set (dag->options.metrics, GR_METRIC_LEFT_OUT, left_out);
  gr_metric_set (dag->options.metrics, GR_METRIC_OVERLOADED, overloaded);
}

/* True if nothing waits and nothing is left of an earlier overload. */
static bool
is_calm (const DagState *dag)
{
  for (size_t i = 0; i < dag->triage.loads.count; i++) {
    if (dag->triage.loads.items[i]->has_verdicts || dag->triage.loads.items[i]->overloaded
        || dag->triage.loads.items[i]->result.capacity > 0)
      return false;
  }
  return dag->ready.count == 0;
}

void
dag_triage_update (DagState *dag, int64_t now_ms)
{
  if (dag->options.no_triage || is_calm (dag))
    return;
  int64_t interval_ms = (int64_t) dag->triage.planned_items / PLAN_ITEMS_PER_MS;
  if (interval_ms < PLAN_INTERVAL_MS)
    interval_ms = PLAN_INTERVAL_MS;
  if (dag->triage.planned_at > 0 && now_ms - dag->triage.planned_at < interval_ms)
    return;
  dag->triage.planned_at = now_ms;
  dag->triage.planned_items = 0;
  for (size_t i = 0; i < dag->ready.count; i++)
    get_load (dag, &dag->ready.items[i]->job->queue.service);
  for (size_t i = 0; i < dag->triage.loads.count; i++)
    update_load (dag, dag->triage.loads.items[i], now_ms);
  set_metrics (dag);
}

void
dag_triage_clear (DagState *dag)
{
  for (size_t i = 0; i < dag->triage.loads.count; i++) {
    gr_list_clear (&dag->triage.loads.items[i]->backlogs);
    gr_list_clear (&dag->triage.loads.items[i]->missed);
    free (dag->triage.loads.items[i]);
  }
  gr_list_clear (&dag->triage.loads);
}

void
dag_triage_note_job (DagState *dag, const DagJob *job)
{
  DagQueueStats *stats = job->stats;
  double work = total_work (job);
  if (stats->mean_work <= 0)
    stats->mean_work = work;
  stats->mean_work += MEAN_WORK_WEIGHT * (work - stats->mean_work);
  DagServiceLoad *load = find_load (dag, &job->queue.service);
  if (load && load->result.capacity > 0)
    add_backlog (load, job, waiting_work (job).v[load->result.dim]);
}

/* Work that is served before a job that comes next in its class. */
static double
work_ahead (const DagServiceLoad *load, const DagJob *job)
{
  double ahead = load->result.running;
  for (size_t i = 0; i < load->backlogs.count; i++) {
    const DagBacklog *backlog = &load->backlogs.items[i];
    if (backlog->beyond_share != job->beyond_share) {
      ahead += job->beyond_share ? backlog->work : 0;
      continue;
    }
    if (backlog->verdict == TRIAGE_OBJECTIVE && backlog->priority < job->queue.priority)
      ahead += backlog->work;
  }
  return ahead;
}

static bool
waits_beyond_share (const DagServiceLoad *load)
{
  for (size_t i = 0; i < load->backlogs.count; i++) {
    if (load->backlogs.items[i].beyond_share && load->backlogs.items[i].work > 0)
      return true;
  }
  return false;
}

bool
dag_triage_admits (DagState *dag, const DagJob *job, int64_t now_ms, int64_t *retry_after_ms)
{
  DagServiceLoad *load = find_load (dag, &job->queue.service);
  if (!dag->loaded || !job->client || dag_has_timetable (job) || !load || load->result.left_out == 0
      || load->result.capacity <= 0 || (!job->beyond_share && waits_beyond_share (load)))
    return true;
  int64_t end = triage_earliest_end (now_ms, load->result.capacity, work_ahead (load, job),
                                     waiting_work (job).v[load->result.dim], waiting_path_ms (job));
  /* The work ahead alone says too little: small tasks start in gaps that larger ones leave. */
  if (end <= job->hard_deadline_at || !missed_lately (load, job, now_ms))
    return true;
  int64_t late_ms = end - job->hard_deadline_at;
  *retry_after_ms = late_ms < RETRY_MIN_MS   ? RETRY_MIN_MS
                    : late_ms > RETRY_MAX_MS ? RETRY_MAX_MS
                                             : late_ms;
  load->refused++;
  dag_count (dag, GR_METRIC_REFUSED_LATE, 1);
  return false;
}
