/* Scheduler: placement, refusals and ends. Guards against work on targets that cannot hold it or
   may not get it, and against reservations that stay after an end. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "sch/sch.h"

typedef struct {
  SchState *sch;
  SchCmds cmds;
  int64_t now_ms;
} Bench;

static int
set_up (void **state)
{
  Bench *bench = gr_calloc (1, sizeof *bench);
  SchOptions options;
  sch_options_defaults (&options);
  bench->sch = sch_new (&options, NULL);
  bench->now_ms = 1000;
  *state = bench;
  return 0;
}

static int
tear_down (void **state)
{
  Bench *bench = *state;
  sch_free (bench->sch);
  gr_list_clear (&bench->cmds);
  free (bench);
  return 0;
}

static void
step (Bench *bench, SchMsg msg)
{
  gr_list_reset (&bench->cmds);
  sch_step (bench->sch, &msg, bench->now_ms, &bench->cmds);
}

static void
tick (Bench *bench, int64_t ms)
{
  bench->now_ms += ms;
  step (bench, (SchMsg){ .kind = SCH_MSG_TICK });
}

static void
target (Bench *bench, SchMsgKind kind, const char *name, GrRes capacity)
{
  SchMsg msg = { .kind = kind };
  msg.target.target = gr_name (name);
  msg.target.group = gr_name ("rack1");
  msg.target.zone = gr_name ("zone1");
  msg.target.capacity = capacity;
  step (bench, msg);
}

static SchTask
make_task (const char *id, GrRes demand)
{
  SchTask task = { .attempt = 1, .demand = demand, .declared_run_ms = 100 };
  task.id = gr_name (id);
  task.job = gr_name (id);
  task.team = gr_name ("team");
  task.kind = gr_name ("kind");
  return task;
}

static void
submit (Bench *bench, const SchTask *task)
{
  step (bench, (SchMsg){ .kind = SCH_MSG_SUBMIT, .submit = task });
}

static void
refer (Bench *bench, SchMsgKind kind, const char *id)
{
  SchMsg msg = { .kind = kind };
  msg.ref.id = gr_name (id);
  step (bench, msg);
}

static void
start_result (Bench *bench, const char *id, SchStartResult result)
{
  SchMsg msg = { .kind = SCH_MSG_START_RESULT };
  msg.start_result.id = gr_name (id);
  msg.start_result.attempt = 1;
  msg.start_result.result = result;
  step (bench, msg);
}

static void
ended (Bench *bench, const char *id, SchEnd end)
{
  SchMsg msg = { .kind = SCH_MSG_ENDED };
  msg.ended.id = gr_name (id);
  msg.ended.attempt = 1;
  msg.ended.end = end;
  msg.ended.run_ms = 100;
  step (bench, msg);
}

static void
expect_one (const Bench *bench, SchCmdKind kind, const char *id, SchWhy why)
{
  assert_int_equal (bench->cmds.count, 1);
  assert_int_equal (bench->cmds.items[0].kind, kind);
  assert_true (gr_str_equal (gr_name_str (&bench->cmds.items[0].id), gr_str_from_c (id)));
  assert_string_equal (sch_why_name (bench->cmds.items[0].why), sch_why_name (why));
}

static const GrRes small = { { 1000, 1000, 0, 0 } };
static const GrRes worker = { { 4000, 8000, 0, 0 } };

static void
work_is_refused_with_its_reason (void **state)
{
  (void) state;
  static const struct {
    GrRes demand;
    int64_t deadline_ms;
    SchCmdKind kind;
    SchWhy why;
    GrResDim dim;
  } cases[] = {
    { { { 4000, 8000, 0, 0 } }, 0, SCH_CMD_START, SCH_WHY_BEST_FIT, GR_RES_CPU_MILLI },
    { { { 4001, 8000, 0, 0 } }, 0, SCH_CMD_REFUSED, SCH_WHY_NEVER_FITS, GR_RES_CPU_MILLI },
    { { { 1, 8001, 0, 0 } }, 0, SCH_CMD_REFUSED, SCH_WHY_NEVER_FITS, GR_RES_MEMORY_MB },
    { { { 1, 1, 1, 0 } }, 0, SCH_CMD_REFUSED, SCH_WHY_NEVER_FITS, GR_RES_ACCELERATORS },
    { { { 1, 1, 0, 1 } }, 0, SCH_CMD_REFUSED, SCH_WHY_NEVER_FITS, GR_RES_SLOTS },
    { { { 1, 1, 0, 0 } }, 1050, SCH_CMD_REFUSED, SCH_WHY_DEADLINE, GR_RES_CPU_MILLI },
    { { { 1, 1, 0, 0 } }, 1200, SCH_CMD_START, SCH_WHY_BEST_FIT, GR_RES_CPU_MILLI },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    void *own = NULL;
    set_up (&own);
    Bench *bench = own;
    target (bench, SCH_MSG_TARGET_UP, "w1", worker);
    SchTask task = make_task ("job/0", cases[i].demand);
    task.deadline_ms = cases[i].deadline_ms;
    submit (bench, &task);
    expect_one (bench, cases[i].kind, "job/0", cases[i].why);
    assert_int_equal (bench->cmds.items[0].dim, cases[i].dim);
    tear_down (&own);
  }
}

static void
capacity_returns_when_a_task_ends (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask first = make_task ("a/0", worker);
  SchTask second = make_task ("b/0", small);
  submit (bench, &first);
  expect_one (bench, SCH_CMD_START, "a/0", SCH_WHY_BEST_FIT);
  submit (bench, &second);
  assert_int_equal (bench->cmds.count, 0);
  start_result (bench, "a/0", SCH_START_TAKEN);
  ended (bench, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (bench->cmds.count, 2);
  assert_int_equal (bench->cmds.items[0].kind, SCH_CMD_ENDED);
  assert_int_equal (bench->cmds.items[1].kind, SCH_CMD_START);
  ended (bench, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (bench->cmds.count, 0);
  GrRes reserved;
  GrName name = gr_name ("w1");
  assert_true (sch_target_reserved (bench->sch, &name, &reserved));
  assert_memory_equal (&reserved, &small, sizeof small);
}

static void
a_target_that_leaves_gets_no_new_work (void **state)
{
  static const SchMsgKind kinds[] = { SCH_MSG_TARGET_LEAVING, SCH_MSG_TARGET_DOWN };
  Bench *bench = *state;
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++) {
    target (bench, SCH_MSG_TARGET_UP, i ? "w2" : "w1", worker);
    target (bench, kinds[i], i ? "w2" : "w1", worker);
    SchTask task = make_task (i ? "b/0" : "a/0", small);
    submit (bench, &task);
    for (size_t k = 0; k < bench->cmds.count; k++)
      assert_int_not_equal (bench->cmds.items[k].kind, SCH_CMD_START);
  }
}

static void
a_cancelled_task_never_starts (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  /* The cancel overtakes the submit. */
  refer (bench, SCH_MSG_CANCEL, "a/0");
  SchTask early = make_task ("a/0", small);
  submit (bench, &early);
  expect_one (bench, SCH_CMD_REFUSED, "a/0", SCH_WHY_CANCELLED);
  /* Cancel of a waiting, and of a running task. */
  SchTask running = make_task ("b/0", worker);
  SchTask waiting = make_task ("c/0", small);
  submit (bench, &running);
  submit (bench, &waiting);
  refer (bench, SCH_MSG_CANCEL, "c/0");
  expect_one (bench, SCH_CMD_REFUSED, "c/0", SCH_WHY_CANCELLED);
  refer (bench, SCH_MSG_CANCEL, "b/0");
  expect_one (bench, SCH_CMD_STOP, "b/0", SCH_WHY_CANCELLED);
  ended (bench, "b/0", SCH_END_STOPPED);
  expect_one (bench, SCH_CMD_ENDED, "b/0", SCH_WHY_CANCELLED);
  assert_int_equal (sch_task_count (bench->sch), 0);
}

static void
waiting_work_is_refused_when_its_window_closes (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask running = make_task ("a/0", worker);
  SchTask waiting = make_task ("b/0", small);
  waiting.deadline_ms = bench->now_ms + 1000;
  submit (bench, &running);
  submit (bench, &waiting);
  tick (bench, 500);
  assert_int_equal (bench->cmds.count, 0);
  tick (bench, 450);
  expect_one (bench, SCH_CMD_REFUSED, "b/0", SCH_WHY_DEADLINE);
}

static void
running_tasks_of_an_inventory_hold_capacity (void **state)
{
  Bench *bench = *state;
  SchInventoryTask tasks[2] = { { .running = true }, { .end = SCH_END_FAILED } };
  tasks[0].task = make_task ("a/0", worker);
  tasks[1].task = make_task ("b/0", small);
  SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
  msg.target.target = gr_name ("w1");
  msg.target.capacity = worker;
  msg.target.tasks = tasks;
  msg.target.count = 2;
  step (bench, msg);
  expect_one (bench, SCH_CMD_ENDED, "b/0", SCH_WHY_BEST_FIT);
  /* A second inventory repeats what is known. */
  step (bench, msg);
  assert_int_equal (bench->cmds.count, 0);
  SchTask task = make_task ("c/0", small);
  submit (bench, &task);
  assert_int_equal (bench->cmds.count, 0);
  ended (bench, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (bench->cmds.count, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (work_is_refused_with_its_reason),
    cmocka_unit_test_setup_teardown (capacity_returns_when_a_task_ends, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_target_that_leaves_gets_no_new_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_cancelled_task_never_starts, set_up, tear_down),
    cmocka_unit_test_setup_teardown (waiting_work_is_refused_when_its_window_closes, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (running_tasks_of_an_inventory_hold_capacity, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
