/* Scheduler: placement, refusals and ends. Guards against work on targets that cannot hold it or
   may not get it, and against reservations that stay after an end. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
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

static int
count_cmds (const Bench *bench, SchCmdKind kind, SchWhy why)
{
  int count = 0;
  for (size_t k = 0; k < bench->cmds.count; k++)
    count += bench->cmds.items[k].kind == kind && bench->cmds.items[k].why == why;
  return count;
}

static void
urgent_work_takes_back_capacity_lent_to_batch (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask batch = make_task ("batch/0", worker);
  batch.policy.kind = SCH_POLICY_BATCH;
  batch.policy.batch.preemptible = true;
  submit (bench, &batch);
  expect_one (bench, SCH_CMD_START, "batch/0", SCH_WHY_BEST_FIT);
  SchTask urgent = make_task ("urgent/0", small);
  urgent.urgent = true;
  submit (bench, &urgent);
  expect_one (bench, SCH_CMD_STOP, "batch/0", SCH_WHY_PREEMPTED);
  /* A second one fits into what comes free, so nothing else is stopped. */
  SchTask second = make_task ("urgent2/0", small);
  second.urgent = true;
  submit (bench, &second);
  assert_int_equal (bench->cmds.count, 0);
  ended (bench, "batch/0", SCH_END_STOPPED);
  assert_int_equal (count_cmds (bench, SCH_CMD_ENDED, SCH_WHY_PREEMPTED), 1);
  assert_int_equal (count_cmds (bench, SCH_CMD_START, SCH_WHY_BEST_FIT), 2);
}

static void
batch_that_is_not_preemptible_is_not_stopped (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask batch = make_task ("batch/0", worker);
  batch.policy.kind = SCH_POLICY_BATCH;
  submit (bench, &batch);
  SchTask urgent = make_task ("urgent/0", small);
  urgent.urgent = true;
  submit (bench, &urgent);
  assert_int_equal (bench->cmds.count, 0);
}

static SchTask
make_part (int index, int32_t tasks, GrRes demand, int64_t hold_deadline_ms)
{
  SchTask part = make_task ("gang/0", demand);
  part.id = gr_name_format ("gang/%d", index);
  part.job = gr_name ("gang");
  part.policy.kind = SCH_POLICY_GANG;
  part.policy.gang.tasks = tasks;
  part.policy.gang.hold_deadline_ms = hold_deadline_ms;
  return part;
}

static void
a_gang_starts_as_a_whole_or_not_at_all (void **state)
{
  static const struct {
    int parts; /* that arrive, of 2; a worker holds one */
    int workers;
    SchMsgKind settle; /* SCH_MSG_TICK: the deadline passes */
    int starts, refusals;
  } cases[] = {
    { 2, 2, SCH_MSG_COMMIT, 2, 0 },  { 2, 2, SCH_MSG_RELEASE, 0, 2 },
    { 2, 2, SCH_MSG_TICK, 0, 2 },    { 2, 1, SCH_MSG_COMMIT, 0, 0 },
    { 2, 1, SCH_MSG_RELEASE, 0, 2 }, { 1, 2, SCH_MSG_RELEASE, 0, 1 },
  };
  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    void *own = NULL;
    set_up (&own);
    Bench *bench = own;
    target (bench, SCH_MSG_TARGET_UP, "w1", worker);
    if (cases[i].workers > 1)
      target (bench, SCH_MSG_TARGET_UP, "w2", worker);
    for (int k = 0; k < cases[i].parts; k++) {
      SchTask part = make_part (k, 2, worker, bench->now_ms + 1000);
      submit (bench, &part);
    }
    if (cases[i].settle == SCH_MSG_TICK)
      tick (bench, 1100);
    else
      refer (bench, cases[i].settle, "gang");
    assert_int_equal (count_cmds (bench, SCH_CMD_START, SCH_WHY_RESERVED), cases[i].starts);
    assert_int_equal (count_cmds (bench, SCH_CMD_REFUSED, SCH_WHY_HOLD_EXPIRED), cases[i].refusals);
    tear_down (&own);
  }
}

static void
a_hold_on_a_target_that_leaves_drops_the_gang (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  target (bench, SCH_MSG_TARGET_UP, "w2", worker);
  for (int k = 0; k < 2; k++) {
    SchTask part = make_part (k, 2, worker, bench->now_ms + 1000);
    submit (bench, &part);
  }
  target (bench, SCH_MSG_TARGET_LEAVING, "w2", worker);
  assert_int_equal (count_cmds (bench, SCH_CMD_REFUSED, SCH_WHY_NO_TARGET), 2);
  refer (bench, SCH_MSG_COMMIT, "gang");
  assert_int_equal (bench->cmds.count, 0);
}

static void
usage (Bench *bench, const char *id, GrRes used)
{
  SchMsg msg = { .kind = SCH_MSG_USAGE };
  msg.usage.id = gr_name (id);
  msg.usage.attempt = 1;
  msg.usage.used = used;
  step (bench, msg);
}

static void
work_that_uses_more_than_declared_holds_more_or_stops (void **state)
{
  Bench *bench = *state;
  GrName name = gr_name ("w1");
  GrRes reserved;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask task = make_task ("a/0", small);
  submit (bench, &task);
  usage (bench, "a/0", (GrRes){ { 1500, 3000, 0, 0 } });
  assert_int_equal (bench->cmds.count, 0);
  sch_target_reserved (bench->sch, &name, &reserved);
  assert_int_equal (reserved.v[GR_RES_MEMORY_MB], 3000);
  /* The next task of the kind reserves the larger size at once. */
  SchTask next = make_task ("b/0", small);
  submit (bench, &next);
  sch_target_reserved (bench->sch, &name, &reserved);
  assert_int_equal (reserved.v[GR_RES_MEMORY_MB], 6000);
  usage (bench, "a/0", (GrRes){ { 1500, 6000, 0, 0 } });
  expect_one (bench, SCH_CMD_STOP, "a/0", SCH_WHY_OVERRUN);
}

/* Runs one job on w1 or w2, whichever the scheduler takes, and reports its end. */
static bool
run_one (Bench *bench, int number, const char *bad_target, bool bad_job)
{
  char id[32];
  snprintf (id, sizeof id, "job%d/0", number);
  SchTask task = make_task (id, small);
  task.job = gr_name_format ("job%d", number);
  task.policy.kind = SCH_POLICY_BATCH;
  submit (bench, &task);
  if (bench->cmds.count == 0)
    return false;
  GrStr where = gr_name_str (&bench->cmds.items[0].target);
  bool fails = bad_job || gr_str_equal (where, gr_str_from_c (bad_target));
  ended (bench, id, fails ? SCH_END_FAILED : SCH_END_SUCCEEDED);
  return count_cmds (bench, SCH_CMD_TARGET_STATE, SCH_WHY_FAILS_EVERYTHING) > 0;
}

static void
a_target_that_fails_everything_gets_no_more_work (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w2", worker);
  int number = 0;
  for (; number < 30; number++)
    assert_false (run_one (bench, number, "w1", false));
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  bool quarantined = false;
  for (; number < 200 && !quarantined; number++) {
    quarantined = run_one (bench, number, "w1", false);
    tick (bench, 100);
  }
  assert_true (quarantined);
  /* A probe that succeeds readmits it. */
  bool probed = false;
  for (int k = 0; k < 50 && !probed; k++) {
    tick (bench, 1000);
    run_one (bench, 1000 + k, "none", false);
    probed = count_cmds (bench, SCH_CMD_TARGET_STATE, SCH_WHY_PROBE) > 0;
  }
  assert_true (probed);
}

static void
bad_jobs_condemn_no_target (void **state)
{
  Bench *bench = *state;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  target (bench, SCH_MSG_TARGET_UP, "w2", worker);
  for (int number = 0; number < 400; number++) {
    assert_false (run_one (bench, number, "none", number > 30 && number % 2));
    tick (bench, 100);
  }
}

static void
replicas_of_a_service_are_spread_over_groups (void **state)
{
  Bench *bench = *state;
  for (int i = 0; i < 8; i++) {
    SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
    msg.target.target = gr_name_format ("w%d", i);
    msg.target.group = gr_name_format ("rack%d", i / 2);
    msg.target.zone = gr_name_format ("zone%d", i / 4);
    msg.target.capacity = worker;
    step (bench, msg);
  }
  int racks[4] = { 0 };
  for (int replica = 0; replica < 4; replica++) {
    SchTask task = make_task ("svc/0", small);
    task.id = gr_name_format ("svc/%d", replica);
    task.job = gr_name ("svc");
    task.policy.kind = SCH_POLICY_SERVICE;
    submit (bench, &task);
    assert_int_equal (count_cmds (bench, SCH_CMD_START, SCH_WHY_SPREAD), 1);
    racks[(bench->cmds.items[0].target.data[1] - '0') / 2]++;
  }
  for (int rack = 0; rack < 4; rack++)
    assert_int_equal (racks[rack], 1);
}

static void
long_work_leaves_slots_to_short_work (void **state)
{
  Bench *bench = *state;
  static const GrRes executor = { { 0, 0, 0, 8 } };
  static const GrRes slot = { { 0, 0, 0, 1 } };
  target (bench, SCH_MSG_TARGET_UP, "x1", executor);
  int starts = 0;
  for (int k = 0; k < 8; k++) {
    SchTask task = make_task ("long/0", slot);
    task.id = gr_name_format ("long/%d", k);
    task.kind = gr_name ("report");
    task.declared_run_ms = 60000;
    submit (bench, &task);
    starts += (int) bench->cmds.count;
  }
  assert_int_equal (starts, 4);
  SchTask task = make_task ("short/0", slot);
  submit (bench, &task);
  expect_one (bench, SCH_CMD_START, "short/0", SCH_WHY_BEST_FIT);
}

static void
work_above_a_quota_part_waits_or_is_refused (void **state)
{
  Bench *bench = *state;
  SchTeamLimit limit = { .weight = 1, .quota_part = { { 1500, 0, 0, 0 } } };
  limit.team = gr_name ("team");
  SchMsg msg = { .kind = SCH_MSG_LIMITS };
  msg.limits.teams = &limit;
  msg.limits.count = 1;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  step (bench, msg);
  SchTask large = make_task ("large/0", (GrRes){ { 2000, 0, 0, 0 } });
  submit (bench, &large);
  expect_one (bench, SCH_CMD_REFUSED, "large/0", SCH_WHY_QUOTA);
  SchTask first = make_task ("a/0", small);
  SchTask second = make_task ("b/0", small);
  submit (bench, &first);
  expect_one (bench, SCH_CMD_START, "a/0", SCH_WHY_BEST_FIT);
  submit (bench, &second);
  assert_int_equal (bench->cmds.count, 0);
  SchWhy why;
  GrResDim dim;
  assert_true (sch_explain (bench->sch, &second.id, &why, &dim));
  assert_int_equal (why, SCH_WHY_QUOTA);
  assert_int_equal (dim, GR_RES_CPU_MILLI);
  ended (bench, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (count_cmds (bench, SCH_CMD_START, SCH_WHY_BEST_FIT), 1);
}

/* A VM whose groups carry no part of a quota must not treat the team as unlimited. */
static void
no_quota_part_admits_no_work (void **state)
{
  Bench *bench = *state;
  SchTeamLimit limit = { .weight = 1, .quota_part = { { -1, 0, 0, 0 } } };
  limit.team = gr_name ("team");
  SchMsg msg = { .kind = SCH_MSG_LIMITS };
  msg.limits.teams = &limit;
  msg.limits.count = 1;
  target (bench, SCH_MSG_TARGET_UP, "w1", worker);
  step (bench, msg);
  SchTask task = make_task ("a/0", small);
  submit (bench, &task);
  expect_one (bench, SCH_CMD_REFUSED, "a/0", SCH_WHY_QUOTA);
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
    cmocka_unit_test (a_gang_starts_as_a_whole_or_not_at_all),
    cmocka_unit_test_setup_teardown (urgent_work_takes_back_capacity_lent_to_batch, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (batch_that_is_not_preemptible_is_not_stopped, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_hold_on_a_target_that_leaves_drops_the_gang, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (work_that_uses_more_than_declared_holds_more_or_stops, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_target_that_fails_everything_gets_no_more_work, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (bad_jobs_condemn_no_target, set_up, tear_down),
    cmocka_unit_test_setup_teardown (replicas_of_a_service_are_spread_over_groups, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (long_work_leaves_slots_to_short_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (no_quota_part_admits_no_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (work_above_a_quota_part_waits_or_is_refused, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
