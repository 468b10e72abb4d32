/* Targets and runs of the cell in crash_world.h. */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "dag/dag.h"

#define WORLD_HELPER __attribute__ ((unused)) static

#define STEP_MS 10
#define MAX_TARGETS 64
#define MAX_JOBS 320
#define MAX_TASKS 32 /* of one job, over all its occurrences */
#define MAX_RUNS 64  /* on one target */
#define MAX_ENDS 256 /* not acknowledged, of one target */
#define MAX_RECORDS (4 * MAX_JOBS)
#define WORLD_LEASE_MS 5000
#define TARGET_CPU 32000
#define GANG_TIMEOUT_MS 3000
#define BEAT_MS 1500

/* Sizes and times that are 0 have the default. */
typedef struct {
  int targets;         /* 24 */
  int jobs;            /* 40 */
  int tasks;           /* of each job; 4 */
  int32_t cpu;         /* of a task, in millicores; 4000 */
  int64_t duration_ms; /* of a run; 1500 */
  int64_t arrival_ms;  /* interval between submissions; 100 */
  int64_t down_ms;     /* until a crashed target is back; 3200 */
  int64_t run_ms;      /* length of the test; 60000 */
  bool gang;
  bool long_running;
  int occurrences; /* of a timetable; 0: none */
  bool advised;
  int other_every; /* each n-th job is of another queue, which has no culprits; 0: none */
  int32_t other_cpu;
  int64_t other_duration_ms;
  int culprit_every; /* in each n-th job task 0 is a culprit; 0: none */
  bool all_tasks;    /* all tasks of these jobs are culprits */
  int64_t crash_after_ms;
  int64_t slow_start_ms;     /* a complete gang begins to work after this time */
  int64_t notice_ms;         /* a target that starts a culprit gives notice that it leaves then */
  bool no_answer;            /* culprits crash their target before the start is answered */
  bool same_id;              /* a crashed target comes back under its former id */
  bool address_reused;       /* orders to a crashed target reach its next life */
  int64_t takeover_ms;       /* interval of changes of leader; 0: none */
  int64_t takeover_until_ms; /* no change of leader later; 0: no limit */
  int64_t self_crash_ms;     /* interval at which target 0 crashes by itself; 0: never */
  int64_t store_away_ms;     /* from a crash on the store takes no appends for this long */
  bool append_answers_lost;  /* the first append after a crash is answered a second late */
  /* So many targets that start task 0 of job 0 are cut off at once, for cut_ms. Behind the cut the
     run ends as done, and the target crashes when it has been idle for idle_ms. */
  int cuts;
  int64_t cut_ms, idle_ms;
} WorldOptions;

typedef struct {
  DagTaskRef task;
  int64_t run, started_at, ends_at; /* ends_at 0: a gang that is not complete */
} WorldRun;

typedef struct {
  GrName id, vm;
  int64_t incarnation, booted_at, up_at; /* up_at: when it is back; 0: it is up */
  int64_t lease, beat_at;
  GrRes capacity;
  WorldRun runs[MAX_RUNS];
  int run_count;
  DagEnd ends[MAX_ENDS];
  int end_count;
  int64_t next_end;
  int64_t poll_token, poll_due; /* long poll that is waiting; token 0: none */
  int64_t cut_until;            /* nothing reaches it or comes from it before */
  bool crashes_idle;
  int64_t idle_since;
} WorldTarget;

typedef struct {
  int crashes, starts_after_third;
  bool done; /* its end as done was acknowledged */
} WorldTask;

typedef struct {
  WorldOptions options;
  DagState *dag;
  int64_t now;
  int64_t term;
  WorldTarget targets[MAX_TARGETS];
  WorldTask tasks[MAX_JOBS][MAX_TASKS];
  int submitted, cuts_left;
  GrBuf keys[MAX_RECORDS], values[MAX_RECORDS];
  size_t record_count;
  DagRecords open_records; /* of the append in flight */
  int64_t open_batch, append_due, store_away_until;
  bool delay_append;
  struct {
    int64_t due, token;
    GrName job;
    uint32_t step;
    DagAllowed *allowed;
    size_t count;
  } advice[MAX_JOBS];
  size_t advice_count;
  int64_t last_done_at;   /* when an innocent task last ended done */
  int innocent_runs_lost; /* with their target */
  int other_runs_lost;    /* of these, runs of the other queue */
  int overloads;          /* starts above the capacity */
  int64_t completed, failed_innocents, failed_culprits;
  const char *violation;
} World;

WORLD_HELPER int
job_number (const GrName *job)
{
  return atoi (job->data + 1);
}

WORLD_HELPER WorldTask *
world_task (World *world, const DagTaskRef *task)
{
  const char *dot = memchr (task->job.data, '.', task->job.len);
  uint32_t occurrence = dot ? (uint32_t) atoi (dot + 1) : 0;
  uint32_t at = occurrence * (uint32_t) world->options.tasks + task->index;
  assert_true (at < MAX_TASKS);
  return &world->tasks[job_number (&task->job)][at];
}

WORLD_HELPER bool
is_other (const World *world, int job)
{
  return world->options.other_every > 0 && job % world->options.other_every == 1;
}

WORLD_HELPER int32_t
job_cpu (const World *world, int job)
{
  return is_other (world, job) ? world->options.other_cpu : world->options.cpu;
}

WORLD_HELPER int64_t
job_duration_ms (const World *world, int job)
{
  return is_other (world, job) ? world->options.other_duration_ms : world->options.duration_ms;
}

WORLD_HELPER bool
is_culprit (const World *world, int job, uint32_t index)
{
  const WorldOptions *options = &world->options;
  return options->culprit_every > 0 && job % options->culprit_every == 0 && !is_other (world, job)
         && (index == 0 || options->all_tasks);
}

WORLD_HELPER bool
is_culprit_job (const World *world, int job)
{
  return is_culprit (world, job, 0);
}

WORLD_HELPER int64_t
target_clock (const World *world, const WorldTarget *target)
{
  return 1000 + world->now - target->booted_at;
}

WORLD_HELPER DagTargetInfo
world_target_info (const World *world, int number)
{
  const WorldTarget *target = &world->targets[number];
  DagTargetInfo info = { .id = target->id,
                         .vm = target->vm,
                         .incarnation = target->incarnation,
                         .service = gr_name ("svc"),
                         .zone = gr_name_format ("z%d", number % 3),
                         .address = gr_name ("addr"),
                         .rack = gr_name_format ("r%d", number / 8),
                         .capacity = target->capacity };
  return info;
}

WORLD_HELPER void
world_scheduler (World *world)
{
  dag_free (world->dag);
  DagOptions options = { .lease_ms = WORLD_LEASE_MS,
                         .lease_max_ms = 2 * WORLD_LEASE_MS,
                         .stop_timeout_ms = 200,
                         .status_keep_ms = 10000000,
                         .former_leases_lapse_at_ms = world->now + WORLD_LEASE_MS + 300,
                         .quiet = !getenv ("WORLD_TRACE") };
  world->dag = dag_new (&options, NULL);
  world->term++;
  DagQueue queue = { .name = gr_name ("q"),
                     .service = gr_name ("svc"),
                     .max_attempts = 3,
                     .slack_factor = 2,
                     .target_latency_ms = 1000,
                     .advised = world->options.advised,
                     .advice_ms = 30,
                     .advice_ms_per_target = 0.5,
                     .advice_valid_ms = 2500 };
  DagQueue both[] = { queue, queue };
  both[1].name = gr_name ("other");
  DagQueues queues = { both, 2 };
  dag_set_queues (world->dag, &queues, world->now);
  for (const char *kind = "jp"; *kind; kind++) {
    for (size_t i = 0; i < world->record_count; i++) {
      GrErr err = { 0 };
      if (world->keys[i].data[0] == *kind && world->values[i].len > 0)
        assert_true (dag_load (world->dag, gr_buf_str (&world->keys[i]),
                               gr_buf_str (&world->values[i]), world->now, &err));
    }
  }
  for (int i = 0; i < world->options.targets; i++) {
    DagTargetInfo info = world_target_info (world, i);
    if (world->targets[i].up_at == 0)
      dag_target_seen (world->dag, &info, world->now);
    world->targets[i].poll_token = 0;
  }
  dag_loaded (world->dag, world->now);
  dag_records_clear (&world->open_records);
  world->open_batch = 0;
  for (size_t i = 0; i < world->advice_count; i++)
    free (world->advice[i].allowed);
  world->advice_count = 0;
}

WORLD_HELPER void
world_boot (World *world, int number)
{
  WorldTarget *target = &world->targets[number];
  target->incarnation++;
  target->id = world->options.same_id
                   ? gr_name_format ("t%d", number)
                   : gr_name_format ("t%d-%d", number, (int) target->incarnation);
  target->vm = gr_name_format ("v%d", number);
  target->booted_at = world->now;
  target->up_at = 0;
  target->beat_at = world->now;
  target->run_count = 0;
  target->end_count = 0;
  target->next_end = 1;
  target->crashes_idle = false;
}

WORLD_HELPER bool
world_is_cut (const World *world, const WorldTarget *target)
{
  return world->now < target->cut_until;
}

/* target may be NULL. */
WORLD_HELPER bool
world_answers (const World *world, const WorldTarget *target)
{
  return target && target->up_at == 0 && !world_is_cut (world, target);
}

#define DEFAULT(field, value) ((field) = (field) ? (field) : (value))

WORLD_HELPER World *
world_new (const WorldOptions *given)
{
  World *world = gr_calloc (1, sizeof *world);
  world->options = *given;
  WorldOptions *options = &world->options;
  DEFAULT (options->targets, 24);
  DEFAULT (options->jobs, 40);
  DEFAULT (options->tasks, 4);
  DEFAULT (options->cpu, 4000);
  DEFAULT (options->duration_ms, 1500);
  DEFAULT (options->arrival_ms, 100);
  DEFAULT (options->down_ms, 3200);
  DEFAULT (options->run_ms, 60000);
  world->now = 100000;
  world->cuts_left = options->cuts;
  for (int i = 0; i < options->targets; i++) {
    world->targets[i].capacity.v[GR_RES_CPU_MILLI] = TARGET_CPU;
    world_boot (world, i);
  }
  world_scheduler (world);
  return world;
}

WORLD_HELPER void
world_free (World *world)
{
  dag_free (world->dag);
  for (size_t i = 0; i < world->record_count; i++) {
    gr_buf_clear (&world->keys[i]);
    gr_buf_clear (&world->values[i]);
  }
  for (size_t i = 0; i < world->advice_count; i++)
    free (world->advice[i].allowed);
  dag_records_clear (&world->open_records);
  free (world);
}

static void answer_poll (World *world, WorldTarget *target, DagOrderResult result);

WORLD_HELPER void
world_end_run (World *world, WorldTarget *target, int at, DagEndKind kind)
{
  WorldRun run = target->runs[at];
  target->runs[at] = target->runs[--target->run_count];
  assert_true (target->end_count < MAX_ENDS);
  target->ends[target->end_count++]
      = (DagEnd){ .number = target->next_end++, .task = run.task, .run = run.run, .kind = kind };
  if (kind == DAG_END_DONE && !is_culprit (world, job_number (&run.task.job), run.task.index))
    world->last_done_at = world->now;
}

/* Ends the other members of a gang after one of them was lost or has ended. */
WORLD_HELPER void
world_break_gang (World *world, const WorldRun *run, DagEndKind kind)
{
  for (int i = 0; i < world->options.targets; i++) {
    WorldTarget *target = &world->targets[i];
    for (int r = target->run_count; r-- > 0;) {
      const WorldRun *member = &target->runs[r];
      if (gr_name_equal (&member->task.job, &run->task.job) && member->run == run->run)
        world_end_run (world, target, r, kind);
    }
  }
}

WORLD_HELPER void
world_crash (World *world, int number)
{
  WorldTarget *target = &world->targets[number];
  if (target->up_at > 0)
    return;
  for (int r = 0; r < target->run_count; r++) {
    WorldRun *run = &target->runs[r];
    WorldTask *task = world_task (world, &run->task);
    bool culprit = is_culprit (world, job_number (&run->task.job), run->task.index);
    task->crashes += culprit;
    world->innocent_runs_lost += !culprit;
    world->other_runs_lost += is_other (world, job_number (&run->task.job));
  }
  WorldRun runs[MAX_RUNS];
  int count = target->run_count;
  memcpy (runs, target->runs, sizeof runs);
  target->run_count = 0;
  target->up_at = world->now + world->options.down_ms;
  for (int r = 0; r < count && world->options.gang; r++)
    world_break_gang (world, &runs[r], DAG_END_BROKEN);
  if (world->options.store_away_ms > 0)
    world->store_away_until = world->now + world->options.store_away_ms;
  world->delay_append = world->options.append_answers_lost;
  if (!world_is_cut (world, target))
    answer_poll (world, target, DAG_ORDER_CLOSED);
}

WORLD_HELPER int
world_find_target (const World *world, const GrName *id)
{
  for (int i = 0; i < world->options.targets; i++) {
    if (gr_name_equal (&world->targets[i].id, id))
      return i;
  }
  return -1;
}
