/* Cost of the scheduler per target, task and placement, for the capacity page. Targets accept every
   start immediately; only the scheduler's steps are timed. Prints name=value lines. */
#include <stdlib.h>

#include "capacity.h"
#include "sch/sch.h"

#define TEAMS 110
#define KINDS 20
/* Timed placements at each size. The time includes the start result and the end of a task. */
#define PLACEMENTS 20000

typedef struct {
  SchState *sch;
  int64_t now_ms;
  int64_t starts;
} Harness;

static void
step (Harness *harness, const SchMsg *msg)
{
  SchCmds cmds = { 0 };
  sch_step (harness->sch, msg, harness->now_ms, &cmds);
  size_t count = cmds.count;
  SchCmd *items = cmds.items;
  for (size_t i = 0; i < count; i++) {
    if (items[i].kind != SCH_CMD_START)
      continue;
    harness->starts++;
    SchMsg taken = { .kind = SCH_MSG_START_RESULT };
    taken.start_result.id = items[i].id;
    taken.start_result.attempt = items[i].attempt;
    taken.start_result.result = SCH_START_TAKEN;
    step (harness, &taken);
  }
  gr_list_clear (&cmds);
}

static void
add_targets (Harness *harness, size_t count)
{
  for (size_t i = 0; i < count; i++) {
    SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
    msg.target.target = gr_name_format ("worker-%05zu", i);
    msg.target.group = gr_name_format ("rack-%04zu", i / 8);
    msg.target.zone = gr_name_format ("zone-%zu", i / 8 % 6);
    /* 32 cores; 8,200 accelerators on 4,900 workers are about 8 on every fifth. */
    msg.target.capacity = (GrRes){ { 32000, 64 * 1024, i % 5 == 0 ? 8 : 0, 0 } };
    step (harness, &msg);
  }
}

static void
submit (Harness *harness, size_t number)
{
  SchTask task
      = { .id = gr_name_format ("job-%08zu/0", number),
          .attempt = 1,
          .job = gr_name_format ("job-%08zu", number),
          .team = gr_name_format ("team-%03zu", number % TEAMS),
          .kind = gr_name_format ("kind-%02zu", number % KINDS),
          .priority = 100,
          .demand
          = { { 2000 + (int32_t) (number % 3) * 500, 2048 + (int32_t) (number % 5) * 512, 0, 0 } },
          .declared_run_ms = 1000,
          .deadline_ms = INT64_MAX / 2,
          .policy = { .kind = SCH_POLICY_REQUEST } };
  SchMsg msg = { .kind = SCH_MSG_SUBMIT, .submit = &task };
  step (harness, &msg);
}

static void
end_task (Harness *harness, size_t number)
{
  SchMsg msg = { .kind = SCH_MSG_ENDED };
  msg.ended.id = gr_name_format ("job-%08zu/0", number);
  msg.ended.attempt = 1;
  msg.ended.end = SCH_END_SUCCEEDED;
  msg.ended.run_ms = 1000;
  step (harness, &msg);
}

typedef struct {
  double target_heap, task_heap, queue_heap;
  double placement_us, tick_us;
} Cost;

static Cost
measure (size_t targets, size_t running)
{
  Cost cost = { 0 };
  SchOptions options = { .seed = 1 };
  sch_options_defaults (&options);
  Harness harness = { .now_ms = 1000 };
  harness.sch = sch_new (&options, NULL);
  double heap = capacity_heap_bytes ();
  add_targets (&harness, targets);
  cost.target_heap = capacity_heap_bytes () - heap;
  heap = capacity_heap_bytes ();
  for (size_t i = 0; i < running; i++)
    submit (&harness, i);
  cost.task_heap = capacity_heap_bytes () - heap;
  if ((size_t) harness.starts != running)
    fprintf (stderr, "started %lld of %zu tasks\n", (long long) harness.starts, running);
  /* Steady state: for each task that ends one is submitted, 590 pairs per virtual second. */
  size_t oldest = 0;
  size_t next = running;
  double start = capacity_cpu_us ();
  for (size_t i = 0; i < PLACEMENTS; i++) {
    if (i % 590 == 0)
      harness.now_ms += 1000;
    end_task (&harness, oldest++);
    submit (&harness, next++);
  }
  cost.placement_us = (capacity_cpu_us () - start) / PLACEMENTS;
  start = capacity_cpu_us ();
  for (int i = 0; i < 1000; i++) {
    harness.now_ms += 20;
    SchMsg tick = { .kind = SCH_MSG_TICK };
    step (&harness, &tick);
  }
  cost.tick_us = (capacity_cpu_us () - start) / 1000;
  sch_free (harness.sch);
  return cost;
}

/* Heap bytes per waiting task of a scheduler without free capacity. */
static double
bytes_per_waiting_task (void)
{
  static const size_t counts[] = { 4000, 16000 };
  double bytes[2];
  for (int c = 0; c < 2; c++) {
    SchOptions options = { .seed = 1 };
    sch_options_defaults (&options);
    Harness harness = { .now_ms = 1000 };
    harness.sch = sch_new (&options, NULL);
    add_targets (&harness, 8);
    for (size_t i = 0; i < 200; i++)
      submit (&harness, i);
    double heap = capacity_heap_bytes ();
    for (size_t i = 0; i < counts[c]; i++)
      submit (&harness, 1000 + i);
    bytes[c] = capacity_heap_bytes () - heap;
    sch_free (harness.sch);
  }
  return capacity_slope (bytes[0], bytes[1], (double) counts[0], (double) counts[1]);
}

int
main (void)
{
  /* Each worker runs 8 tasks, about as many as at the scale expected in two years. */
  static const size_t sizes[] = { 50, 272, 1225, 4900 };
  enum {
    SIZES = sizeof sizes / sizeof sizes[0]
  };
  Cost c[SIZES];
  for (size_t i = 0; i < SIZES; i++) {
    c[i] = measure (sizes[i], sizes[i] * 8);
    printf ("sch_placement_us_targets_%zu=%.2f\n", sizes[i], c[i].placement_us);
    printf ("sch_tick_us_targets_%zu=%.2f\n", sizes[i], c[i].tick_us);
  }
  double x0 = (double) sizes[0];
  double x1 = (double) sizes[SIZES - 1];
  printf ("sch_bytes_per_target=%.0f\n",
          capacity_slope (c[0].target_heap, c[SIZES - 1].target_heap, x0, x1));
  printf ("sch_bytes_per_running_task=%.0f\n",
          capacity_slope (c[0].task_heap, c[SIZES - 1].task_heap, x0 * 8, x1 * 8));
  printf ("sch_bytes_per_waiting_task=%.0f\n", bytes_per_waiting_task ());
  printf ("sch_placement_us_per_1000_targets=%.3f\n",
          1000 * capacity_slope (c[0].placement_us, c[SIZES - 1].placement_us, x0, x1));
  printf ("sch_tick_us_per_1000_targets=%.3f\n",
          1000 * capacity_slope (c[0].tick_us, c[SIZES - 1].tick_us, x0, x1));
  return 0;
}
