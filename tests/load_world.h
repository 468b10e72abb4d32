/* A cell under load for tests of the order of steps: targets that run every task for its true time,
   jobs whose estimates are wrong, a peak of one kind of jobs. Orders, records and ends take no
   time; time passes in steps of LOAD_STEP_MS. All random numbers are drawn before the run, so two
   runs of the same options see the same jobs. */
#pragma once

#include <math.h>
#include <string.h>

#include "dag_fixture.h"
#include "random_unit.h"

#define LOAD_STEP_MS 10
#define LOAD_KINDS_MAX 3
#define LOAD_START_MS 100000
#define LOAD_TASKS_MAX 64
#define LOAD_RUNS_MAX 128

typedef struct {
  double rate;  /* jobs a second */
  double steps; /* mean: 1 or 2 of them, one after the other */
  int32_t tasks, cpu;
  double run_ms;
  bool gang;
  double error; /* estimates are off by up to this part */
  double slack;
  int64_t latency_ms;
  int32_t priority;
} LoadKind;

typedef struct {
  LoadKind kinds[LOAD_KINDS_MAX];
  int targets;
  int32_t target_cpu;
  int64_t length_ms; /* of the arrivals */
  int peak_kind;
  int64_t peak_from_ms, peak_ms;
  double peak;       /* factor on the rate of that kind */
  double stragglers; /* part of the tasks that take seven times as long */
  int64_t held_ms;   /* jobs of this time arrive together at its end, as after an outage */
  uint64_t seed;
  bool advised; /* each step needs placement advice */
  bool no_triage;
} LoadOptions;

typedef struct {
  int kind;
  int64_t arrives_at, objective_at, ended_at;
  DagStepSpec steps[2];
  size_t step_count;
  double run_ms[2][LOAD_TASKS_MAX], work; /* true */
  int32_t left;
} LoadJob;

typedef struct {
  DagTaskRef task;
  int64_t run, started_at, ends_at;
} LoadRun;

typedef struct {
  LoadRun runs[LOAD_RUNS_MAX];
  int run_count;
  DagEnd ends[LOAD_RUNS_MAX];
  int end_count;
  int64_t next_end, poll_token, poll_due;
} LoadTarget;

/* Answer to a call for advice, sent when it is due. */
typedef struct {
  int64_t due, token;
  GrName job;
  uint32_t step;
  DagAllowed *allowed;
  size_t count;
} LoadAdvice;

typedef struct {
  LoadOptions options;
  Fixture fixture;
  GR_LIST (LoadAdvice) advice;
  GR_LIST (LoadJob) jobs;
  LoadTarget *targets;
  GrMetrics *metrics;
  uint64_t random_state;
  size_t submitted, open;
  uint64_t starts; /* hash of all starts in their order */
} LoadWorld;

typedef struct {
  size_t jobs[LOAD_KINDS_MAX], within_objective[LOAD_KINDS_MAX], all, all_within_objective, never;
  double value; /* share of the worth of all jobs, a fifth for an end within three objectives */
} LoadScore;

static double
load_draw (LoadWorld *world)
{
  return random_unit (&world->random_state);
}

static void
load_add_job (LoadWorld *world, int kind_number, int64_t at)
{
  const LoadKind *kind = &world->options.kinds[kind_number];
  LoadJob job = { .kind = kind_number, .arrives_at = at, .step_count = 1 };
  double path = 0, size = 0.5 + load_draw (world),
         error = kind->error * (2 * load_draw (world) - 1);
  job.step_count += load_draw (world) < kind->steps - 1;
  for (size_t s = 0; s < job.step_count; s++) {
    double run_ms = kind->run_ms * (0.7 + 0.6 * load_draw (world));
    int32_t count = kind->tasks < 4 ? kind->tasks : (int32_t) (size * kind->tasks);
    job.steps[s] = (DagStepSpec){ .count = count,
                                  .estimate_ms = (int64_t) (run_ms * (1 + error)),
                                  .depends_on = s,
                                  .gang = kind->gang };
    job.steps[s].demand.v[GR_RES_CPU_MILLI] = kind->cpu;
    for (int32_t i = 0; i < count; i++) {
      bool straggles = !kind->gang && load_draw (world) < world->options.stragglers;
      double part = kind->gang ? 1 : 0.85 + 0.3 * load_draw (world);
      job.run_ms[s][i] = run_ms * part * (straggles ? 7 : 1);
      job.work += run_ms * kind->cpu;
    }
    job.left += count;
    path += run_ms;
  }
  job.objective_at = at + (int64_t) (kind->slack * path) + kind->latency_ms;
  gr_list_push (&world->jobs, job);
}

static int
load_compare_jobs (const void *a, const void *b)
{
  const LoadJob *x = a, *y = b;
  return x->arrives_at < y->arrives_at ? -1 : x->arrives_at > y->arrives_at;
}

static void
load_make_jobs (LoadWorld *world)
{
  const LoadOptions *options = &world->options;
  for (int k = 0; k < LOAD_KINDS_MAX; k++) {
    double at = 0;
    while (options->kinds[k].rate > 0 && at < (double) options->length_ms) {
      bool peak = (k == options->peak_kind || options->peak_kind < 0)
                  && at >= (double) options->peak_from_ms
                  && at < (double) (options->peak_from_ms + options->peak_ms);
      at -= log (1 - load_draw (world)) * 1000
            / (options->kinds[k].rate * (peak ? options->peak : 1));
      bool held = at < (double) options->held_ms;
      load_add_job (world, k, LOAD_START_MS + (held ? options->held_ms : (int64_t) at));
    }
  }
  qsort (world->jobs.items, world->jobs.count, sizeof *world->jobs.items, load_compare_jobs);
}

static LoadWorld
load_new (const LoadOptions *options)
{
  LoadWorld world = { .options = *options, .random_state = options->seed };
  world.metrics = gr_calloc (1, sizeof *world.metrics);
  DagOptions dag_options = { .lease_ms = LEASE_MS,
                             .lease_max_ms = 2 * LEASE_MS,
                             .stop_timeout_ms = 200,
                             .status_keep_ms = 60000,
                             .quiet = !getenv ("LOAD_TRACE"),
                             .metrics = world.metrics,
                             .no_triage = options->no_triage };
  world.fixture = (Fixture){ dag_new (&dag_options, NULL), LOAD_START_MS, 0 };
  DagQueue queues[LOAD_KINDS_MAX];
  for (int k = 0; k < LOAD_KINDS_MAX; k++)
    queues[k] = (DagQueue){ .name = gr_name_format ("q%d", k),
                            .service = gr_name ("svc"),
                            .max_attempts = 2,
                            .priority = options->kinds[k].priority,
                            .slack_factor = options->kinds[k].slack,
                            .target_latency_ms = options->kinds[k].latency_ms,
                            .advised = options->advised,
                            .advice_ms = 20,
                            .advice_ms_per_target = 1,
                            .advice_valid_ms = 2500 };
  dag_set_queues (world.fixture.dag, &(DagQueues){ queues, LOAD_KINDS_MAX }, LOAD_START_MS);
  world.targets = gr_calloc ((size_t) options->targets, sizeof *world.targets);
  for (int i = 0; i < options->targets; i++) {
    DagTargetInfo info = target_info (i);
    info.capacity.v[GR_RES_CPU_MILLI] = options->target_cpu;
    dag_target_seen (world.fixture.dag, &info, LOAD_START_MS);
  }
  dag_loaded (world.fixture.dag, LOAD_START_MS);
  answer_holds (&world.fixture, true);
  load_make_jobs (&world);
  return world;
}

static LoadJob *
load_job (LoadWorld *world, const GrName *id)
{
  return &world->jobs.items[atoi (id->data + 1)];
}

static void
load_start (LoadWorld *world, const DagCmd *cmd)
{
  LoadTarget *target = &world->targets[atoi (cmd->target.target.data + 1)];
  const DagTaskRef *ref = &cmd->u.start.task;
  const LoadJob *job = load_job (world, &ref->job);
  assert_true (target->run_count < LOAD_RUNS_MAX);
  target->runs[target->run_count++]
      = (LoadRun){ *ref, cmd->u.start.run, world->fixture.now_ms,
                   world->fixture.now_ms + (int64_t) job->run_ms[ref->step][ref->index] };
  uint64_t start = (uint64_t) (job - world->jobs.items) << 32 | ref->step << 16 | ref->index;
  world->starts = (world->starts ^ start ^ (uint64_t) world->fixture.now_ms << 20) * 1099511628211U;
  dag_handle_start_result (world->fixture.dag, ref, cmd->u.start.run, DAG_ORDER_OK,
                           world->fixture.now_ms, world->fixture.now_ms);
}

static void
load_answer (LoadWorld *world, int number, int64_t token)
{
  LoadTarget *target = &world->targets[number];
  DagRunReport reports[LOAD_RUNS_MAX];
  for (int r = 0; r < target->run_count; r++) {
    const LoadRun *run = &target->runs[r];
    int64_t worked = world->fixture.now_ms - run->started_at;
    reports[r]
        = (DagRunReport){ .task = run->task,
                          .run = run->run,
                          .percent = (int32_t) (worked * 99 / (run->ends_at - run->started_at + 1)),
                          .usage = -1 };
  }
  DagInventory inventory = { .incarnation = 1,
                             .clock_ms = world->fixture.now_ms,
                             .running = reports,
                             .running_count = (size_t) target->run_count,
                             .ends = target->ends,
                             .end_count = (size_t) target->end_count };
  GrName id = gr_name_format ("t%d", number);
  dag_handle_hold_result (world->fixture.dag, &id, token, DAG_ORDER_OK, &inventory,
                          world->fixture.now_ms);
}

static void
load_hold (LoadWorld *world, const DagCmd *cmd)
{
  int number = atoi (cmd->target.target.data + 1);
  LoadTarget *target = &world->targets[number];
  int kept = 0;
  for (int e = 0; e < target->end_count; e++) {
    if (target->ends[e].number > cmd->u.hold.acknowledged)
      target->ends[kept++] = target->ends[e];
  }
  target->end_count = kept;
  if (target->poll_token > 0)
    load_answer (world, number, target->poll_token);
  target->poll_token = 0;
  if (cmd->u.hold.wait_ms == 0 || kept > 0) {
    load_answer (world, number, cmd->u.hold.token);
    return;
  }
  target->poll_token = cmd->u.hold.token;
  target->poll_due = world->fixture.now_ms + cmd->u.hold.wait_ms;
}

/* Two targets in three are allowed. */
static void
load_advise (LoadWorld *world, const DagCmd *cmd)
{
  LoadAdvice advice = { .due = world->fixture.now_ms + cmd->u.advise.expected_ms,
                        .token = cmd->u.advise.token,
                        .job = cmd->u.advise.job,
                        .step = cmd->u.advise.step };
  advice.allowed = gr_calloc (cmd->u.advise.count, sizeof *advice.allowed);
  for (size_t i = 0; i < cmd->u.advise.count; i++) {
    if ((atoi (cmd->u.advise.targets[i].data + 1) + atoi (advice.job.data + 1)) % 3 != 0)
      advice.allowed[advice.count++]
          = (DagAllowed){ .target = cmd->u.advise.targets[i], .ticket = "t" };
  }
  gr_list_push (&world->advice, advice);
}

static void
load_answer_advice (LoadWorld *world)
{
  for (size_t i = world->advice.count; i-- > 0;) {
    LoadAdvice advice = world->advice.items[i];
    if (advice.due > world->fixture.now_ms)
      continue;
    gr_list_swap_remove (&world->advice, i);
    dag_handle_advice (world->fixture.dag, &advice.job, advice.step, advice.token, true,
                       advice.allowed, advice.count, 0, world->fixture.now_ms);
    free (advice.allowed);
  }
}

static void
load_run_commands (LoadWorld *world)
{
  for (int round = 0; round < 20 && dag_cmds (world->fixture.dag)->count > 0; round++) {
    size_t count = dag_cmds (world->fixture.dag)->count;
    DagCmd *cmds = gr_calloc (count, sizeof *cmds);
    memcpy (cmds, dag_cmds (world->fixture.dag)->items, count * sizeof *cmds);
    for (size_t i = 0; i < count; i++) {
      if (cmds[i].type == DAG_CMD_ADVISE)
        load_advise (world, &cmds[i]);
    }
    dag_cmds_reset (world->fixture.dag);
    for (size_t i = 0; i < count; i++) {
      if (cmds[i].type == DAG_CMD_START)
        load_start (world, &cmds[i]);
      else if (cmds[i].type == DAG_CMD_HOLD)
        load_hold (world, &cmds[i]);
      else
        assert_true (cmds[i].type == DAG_CMD_ACCEPTED || cmds[i].type == DAG_CMD_ADVISE);
    }
    free (cmds);
  }
}

static void
load_end_runs (LoadWorld *world, int number)
{
  LoadTarget *target = &world->targets[number];
  for (int r = target->run_count; r-- > 0;) {
    LoadRun run = target->runs[r];
    if (run.ends_at > world->fixture.now_ms || target->end_count == LOAD_RUNS_MAX)
      continue;
    target->runs[r] = target->runs[--target->run_count];
    target->ends[target->end_count++] = (DagEnd){
      .number = ++target->next_end, .task = run.task, .run = run.run, .kind = DAG_END_DONE
    };
    LoadJob *job = load_job (world, &run.task.job);
    if (--job->left == 0) {
      job->ended_at = world->fixture.now_ms;
      world->open--;
    }
  }
  if (target->poll_token > 0
      && (target->end_count > 0 || world->fixture.now_ms >= target->poll_due)) {
    int64_t token = target->poll_token;
    target->poll_token = 0;
    load_answer (world, number, token);
  }
}

static void
load_submit (LoadWorld *world)
{
  while (world->submitted < world->jobs.count
         && world->jobs.items[world->submitted].arrives_at <= world->fixture.now_ms) {
    LoadJob *job = &world->jobs.items[world->submitted];
    DagJobSpec spec = { .id = gr_name_format ("j%zu", world->submitted++),
                        .queue = gr_name_format ("q%d", job->kind),
                        .payload = GR_STR ("work"),
                        .steps = job->steps,
                        .step_count = job->step_count };
    int64_t retry;
    assert_int_equal (
        dag_submit (world->fixture.dag, &spec, 1, world->fixture.now_ms, &retry, NULL),
        DAG_SUBMIT_PENDING);
    world->open++;
  }
}

/* Runs until all jobs have ended or the time is over, and rates them. */
static LoadScore
load_run (LoadWorld *world, int64_t until_ms)
{
  while (world->fixture.now_ms < LOAD_START_MS + until_ms
         && (world->submitted < world->jobs.count || world->open > 0)) {
    world->fixture.now_ms += LOAD_STEP_MS;
    load_submit (world);
    load_answer_advice (world);
    for (int i = 0; i < world->options.targets; i++)
      load_end_runs (world, i);
    for (int i = 0; i < 2; i++) {
      dag_tick (world->fixture.dag, world->fixture.now_ms);
      store (&world->fixture);
      load_run_commands (world);
    }
  }
  LoadScore score = { 0 };
  double mean[LOAD_KINDS_MAX] = { 0 }, worth = 0;
  for (size_t i = 0; i < world->jobs.count; i++) {
    score.jobs[world->jobs.items[i].kind]++;
    mean[world->jobs.items[i].kind] += world->jobs.items[i].work;
  }
  for (size_t i = 0; i < world->jobs.count; i++) {
    const LoadJob *job = &world->jobs.items[i];
    double job_worth = 0.3 + 0.7 * job->work * (double) score.jobs[job->kind] / mean[job->kind];
    bool within_objective = job->ended_at > 0 && job->ended_at <= job->objective_at;
    bool in_time = job->ended_at > 0
                   && job->ended_at - job->arrives_at <= 3 * (job->objective_at - job->arrives_at);
    score.all++;
    score.all_within_objective += within_objective;
    score.within_objective[job->kind] += within_objective;
    score.never += job->ended_at == 0;
    worth += job_worth;
    score.value += within_objective ? job_worth : in_time ? job_worth / 5 : 0;
  }
  score.value /= worth;
  return score;
}

static int
load_compare_work (const void *a, const void *b)
{
  const LoadJob *x = *(const LoadJob *const *) a, *y = *(const LoadJob *const *) b;
  return x->work < y->work ? -1 : x->work > y->work;
}

/* Jobs that arrive and are due between two times, beyond the most that fit between them. jobs are
   sorted by work. */
static size_t
load_excess (const LoadWorld *world, const LoadJob *const *jobs, int64_t from, int64_t to)
{
  double room = (double) world->options.targets * world->options.target_cpu * (double) (to - from);
  size_t excess = 0;
  for (size_t i = 0; i < world->jobs.count; i++) {
    if (jobs[i]->arrives_at < from || jobs[i]->objective_at > to)
      continue;
    room -= jobs[i]->work;
    excess += room < 0;
  }
  return excess;
}

/* Upper bound of the share of the jobs that any schedule can end within their objectives. */
static double
load_bound (const LoadWorld *world)
{
  size_t excess = 0;
  const LoadJob **jobs = gr_calloc (world->jobs.count, sizeof *jobs);
  for (size_t i = 0; i < world->jobs.count; i++)
    jobs[i] = &world->jobs.items[i];
  qsort (jobs, world->jobs.count, sizeof *jobs, load_compare_work);
  for (int64_t from = 0; from < world->options.length_ms; from += 1000) {
    for (int64_t to = from + 1000; to < world->options.length_ms + 30000; to += 1000) {
      size_t more = load_excess (world, jobs, LOAD_START_MS + from, LOAD_START_MS + to);
      excess = more > excess ? more : excess;
    }
  }
  free (jobs);
  return 1 - (double) excess / (double) world->jobs.count;
}

static void
load_free (LoadWorld *world)
{
  dag_free (world->fixture.dag);
  for (size_t i = 0; i < world->advice.count; i++)
    free (world->advice.items[i].allowed);
  gr_list_clear (&world->advice);
  gr_list_clear (&world->jobs);
  free (world->targets);
  free (world->metrics);
}
