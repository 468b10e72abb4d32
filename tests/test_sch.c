/* Unit tests of the scheduler: placement, refusals and ends. They guard against work placed on a
   target that lacks the capacity or takes no new work, and against reservations that leak after an
   end. */
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
} Fixture;

static int
set_up (void **state)
{
  Fixture *fixture = gr_calloc (1, sizeof *fixture);
  SchOptions options;
  sch_options_defaults (&options);
  fixture->sch = sch_new (&options, NULL);
  fixture->now_ms = 1000;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;
  sch_free (fixture->sch);
  gr_list_clear (&fixture->cmds);
  free (fixture);
  return 0;
}

static void
step (Fixture *fixture, SchMsg msg)
{
  gr_list_reset (&fixture->cmds);
  sch_step (fixture->sch, &msg, fixture->now_ms, &fixture->cmds);
}

static void
send_tick (Fixture *fixture, int64_t ms)
{
  fixture->now_ms += ms;
  step (fixture, (SchMsg){ .kind = SCH_MSG_TICK });
}

static void
send_target (Fixture *fixture, SchMsgKind kind, const char *name, GrRes capacity)
{
  SchMsg msg = { .kind = kind };
  msg.target.target = gr_name (name);
  msg.target.group = gr_name ("rack1");
  msg.target.zone = gr_name ("zone1");
  msg.target.capacity = capacity;
  step (fixture, msg);
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
submit (Fixture *fixture, const SchTask *task)
{
  step (fixture, (SchMsg){ .kind = SCH_MSG_SUBMIT, .submit = task });
}

static void
send_ref (Fixture *fixture, SchMsgKind kind, const char *id)
{
  SchMsg msg = { .kind = kind };
  msg.ref.id = gr_name (id);
  step (fixture, msg);
}

static void
send_start_result (Fixture *fixture, const char *id, SchStartResult result)
{
  SchMsg msg = { .kind = SCH_MSG_START_RESULT };
  msg.start_result.id = gr_name (id);
  msg.start_result.attempt = 1;
  msg.start_result.result = result;
  step (fixture, msg);
}

static void
send_ended (Fixture *fixture, const char *id, SchEnd end)
{
  SchMsg msg = { .kind = SCH_MSG_ENDED };
  msg.ended.id = gr_name (id);
  msg.ended.attempt = 1;
  msg.ended.end = end;
  msg.ended.run_ms = 100;
  step (fixture, msg);
}

static void
expect_one (const Fixture *fixture, SchCmdKind kind, const char *id, SchWhy why)
{
  assert_int_equal (fixture->cmds.count, 1);
  assert_int_equal (fixture->cmds.items[0].kind, kind);
  assert_true (gr_str_equal (gr_name_str (&fixture->cmds.items[0].id), gr_str_from_c (id)));
  assert_string_equal (sch_why_name (fixture->cmds.items[0].why), sch_why_name (why));
}

static const GrRes small = { { 1000, 1000, 0, 0 } };
static const GrRes worker = { { 4000, 8000, 0, 0 } };

static void
work_is_started_or_refused_with_a_reason (void **state)
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
    void *fixture_state = NULL;
    set_up (&fixture_state);
    Fixture *fixture = fixture_state;
    send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
    SchTask task = make_task ("job/0", cases[i].demand);
    task.deadline_ms = cases[i].deadline_ms;
    submit (fixture, &task);
    expect_one (fixture, cases[i].kind, "job/0", cases[i].why);
    assert_int_equal (fixture->cmds.items[0].dim, cases[i].dim);
    tear_down (&fixture_state);
  }
}

static void
capacity_returns_when_a_task_ends (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask first = make_task ("a/0", worker);
  SchTask second = make_task ("b/0", small);
  submit (fixture, &first);
  expect_one (fixture, SCH_CMD_START, "a/0", SCH_WHY_BEST_FIT);
  submit (fixture, &second);
  assert_int_equal (fixture->cmds.count, 0);
  send_start_result (fixture, "a/0", SCH_START_TAKEN);
  send_ended (fixture, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (fixture->cmds.count, 2);
  assert_int_equal (fixture->cmds.items[0].kind, SCH_CMD_ENDED);
  assert_int_equal (fixture->cmds.items[1].kind, SCH_CMD_START);
  send_ended (fixture, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (fixture->cmds.count, 0);
  GrRes reserved;
  GrName name = gr_name ("w1");
  assert_true (sch_target_reserved (fixture->sch, &name, &reserved));
  assert_memory_equal (&reserved, &small, sizeof small);
}

static void
a_leaving_or_unreachable_target_gets_no_new_work (void **state)
{
  static const SchMsgKind kinds[] = { SCH_MSG_TARGET_LEAVING, SCH_MSG_TARGET_DOWN };
  Fixture *fixture = *state;
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++) {
    send_target (fixture, SCH_MSG_TARGET_UP, i ? "w2" : "w1", worker);
    send_target (fixture, kinds[i], i ? "w2" : "w1", worker);
    SchTask task = make_task (i ? "b/0" : "a/0", small);
    submit (fixture, &task);
    for (size_t k = 0; k < fixture->cmds.count; k++)
      assert_int_not_equal (fixture->cmds.items[k].kind, SCH_CMD_START);
  }
}

static void
a_cancelled_task_never_starts (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  /* The cancel arrives before the submit. */
  send_ref (fixture, SCH_MSG_CANCEL, "a/0");
  SchTask early = make_task ("a/0", small);
  submit (fixture, &early);
  expect_one (fixture, SCH_CMD_REFUSED, "a/0", SCH_WHY_CANCELLED);
  /* Cancel of a waiting and of a running task. */
  SchTask running = make_task ("b/0", worker);
  SchTask waiting = make_task ("c/0", small);
  submit (fixture, &running);
  submit (fixture, &waiting);
  send_ref (fixture, SCH_MSG_CANCEL, "c/0");
  expect_one (fixture, SCH_CMD_REFUSED, "c/0", SCH_WHY_CANCELLED);
  send_ref (fixture, SCH_MSG_CANCEL, "b/0");
  expect_one (fixture, SCH_CMD_STOP, "b/0", SCH_WHY_CANCELLED);
  send_ended (fixture, "b/0", SCH_END_STOPPED);
  expect_one (fixture, SCH_CMD_ENDED, "b/0", SCH_WHY_CANCELLED);
  assert_int_equal (sch_task_count (fixture->sch), 0);
}

static void
waiting_work_is_refused_when_it_would_miss_its_deadline (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask running = make_task ("a/0", worker);
  SchTask waiting = make_task ("b/0", small);
  waiting.deadline_ms = fixture->now_ms + 1000;
  submit (fixture, &running);
  submit (fixture, &waiting);
  send_tick (fixture, 500);
  assert_int_equal (fixture->cmds.count, 0);
  send_tick (fixture, 450);
  expect_one (fixture, SCH_CMD_REFUSED, "b/0", SCH_WHY_DEADLINE);
}

static void
running_tasks_in_an_inventory_reserve_capacity (void **state)
{
  Fixture *fixture = *state;
  SchInventoryTask tasks[2] = { { .running = true }, { .end = SCH_END_FAILED } };
  tasks[0].task = make_task ("a/0", worker);
  tasks[1].task = make_task ("b/0", small);
  SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
  msg.target.target = gr_name ("w1");
  msg.target.capacity = worker;
  msg.target.tasks = tasks;
  msg.target.count = 2;
  step (fixture, msg);
  expect_one (fixture, SCH_CMD_ENDED, "b/0", SCH_WHY_BEST_FIT);
  /* A second inventory with the same tasks changes nothing. */
  step (fixture, msg);
  assert_int_equal (fixture->cmds.count, 0);
  SchTask task = make_task ("c/0", small);
  submit (fixture, &task);
  assert_int_equal (fixture->cmds.count, 0);
  send_ended (fixture, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (fixture->cmds.count, 2);
}

static int
count_cmds (const Fixture *fixture, SchCmdKind kind, SchWhy why)
{
  int count = 0;
  for (size_t k = 0; k < fixture->cmds.count; k++)
    count += fixture->cmds.items[k].kind == kind && fixture->cmds.items[k].why == why;
  return count;
}

static void
urgent_work_preempts_batch_work (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask batch = make_task ("batch/0", worker);
  batch.policy.kind = SCH_POLICY_BATCH;
  batch.policy.batch.preemptible = true;
  submit (fixture, &batch);
  expect_one (fixture, SCH_CMD_START, "batch/0", SCH_WHY_BEST_FIT);
  SchTask urgent = make_task ("urgent/0", small);
  urgent.urgent = true;
  submit (fixture, &urgent);
  expect_one (fixture, SCH_CMD_STOP, "batch/0", SCH_WHY_PREEMPTED);
  /* A second urgent task fits into the capacity that is being released, so no other task is
     stopped. */
  SchTask second = make_task ("urgent2/0", small);
  second.urgent = true;
  submit (fixture, &second);
  assert_int_equal (fixture->cmds.count, 0);
  send_ended (fixture, "batch/0", SCH_END_STOPPED);
  assert_int_equal (count_cmds (fixture, SCH_CMD_ENDED, SCH_WHY_PREEMPTED), 1);
  assert_int_equal (count_cmds (fixture, SCH_CMD_START, SCH_WHY_BEST_FIT), 2);
}

static void
batch_that_is_not_preemptible_is_not_stopped (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask batch = make_task ("batch/0", worker);
  batch.policy.kind = SCH_POLICY_BATCH;
  submit (fixture, &batch);
  SchTask urgent = make_task ("urgent/0", small);
  urgent.urgent = true;
  submit (fixture, &urgent);
  assert_int_equal (fixture->cmds.count, 0);
}

static SchTask
make_gang_part (int index, int32_t tasks, GrRes demand, int64_t hold_deadline_ms)
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
    int parts; /* number submitted, of a gang of 2; a worker holds one */
    int workers;
    SchMsgKind outcome; /* SCH_MSG_TICK: the hold deadline passes */
    int starts, refusals;
  } cases[] = {
    { 2, 2, SCH_MSG_COMMIT, 2, 0 },  { 2, 2, SCH_MSG_RELEASE, 0, 2 },
    { 2, 2, SCH_MSG_TICK, 0, 2 },    { 2, 1, SCH_MSG_COMMIT, 0, 0 },
    { 2, 1, SCH_MSG_RELEASE, 0, 2 }, { 1, 2, SCH_MSG_RELEASE, 0, 1 },
  };
  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    void *fixture_state = NULL;
    set_up (&fixture_state);
    Fixture *fixture = fixture_state;
    send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
    if (cases[i].workers > 1)
      send_target (fixture, SCH_MSG_TARGET_UP, "w2", worker);
    for (int k = 0; k < cases[i].parts; k++) {
      SchTask part = make_gang_part (k, 2, worker, fixture->now_ms + 1000);
      submit (fixture, &part);
    }
    if (cases[i].outcome == SCH_MSG_TICK)
      send_tick (fixture, 1100);
    else
      send_ref (fixture, cases[i].outcome, "gang");
    assert_int_equal (count_cmds (fixture, SCH_CMD_START, SCH_WHY_RESERVED), cases[i].starts);
    assert_int_equal (count_cmds (fixture, SCH_CMD_REFUSED, SCH_WHY_HOLD_EXPIRED),
                      cases[i].refusals);
    tear_down (&fixture_state);
  }
}

static void
a_gang_is_refused_when_a_target_with_a_hold_leaves (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  send_target (fixture, SCH_MSG_TARGET_UP, "w2", worker);
  for (int k = 0; k < 2; k++) {
    SchTask part = make_gang_part (k, 2, worker, fixture->now_ms + 1000);
    submit (fixture, &part);
  }
  send_target (fixture, SCH_MSG_TARGET_LEAVING, "w2", worker);
  assert_int_equal (count_cmds (fixture, SCH_CMD_REFUSED, SCH_WHY_NO_TARGET), 2);
  send_ref (fixture, SCH_MSG_COMMIT, "gang");
  assert_int_equal (fixture->cmds.count, 0);
}

static void
send_usage (Fixture *fixture, const char *id, GrRes used)
{
  SchMsg msg = { .kind = SCH_MSG_USAGE };
  msg.usage.id = gr_name (id);
  msg.usage.attempt = 1;
  msg.usage.used = used;
  step (fixture, msg);
}

static void
work_that_uses_more_than_declared_reserves_more_or_is_stopped (void **state)
{
  Fixture *fixture = *state;
  GrName name = gr_name ("w1");
  GrRes reserved;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  SchTask task = make_task ("a/0", small);
  submit (fixture, &task);
  send_usage (fixture, "a/0", (GrRes){ { 1500, 3000, 0, 0 } });
  assert_int_equal (fixture->cmds.count, 0);
  sch_target_reserved (fixture->sch, &name, &reserved);
  assert_int_equal (reserved.v[GR_RES_MEMORY_MB], 3000);
  /* The next task of the kind reserves the observed size from the start. */
  SchTask next = make_task ("b/0", small);
  submit (fixture, &next);
  sch_target_reserved (fixture->sch, &name, &reserved);
  assert_int_equal (reserved.v[GR_RES_MEMORY_MB], 6000);
  send_usage (fixture, "a/0", (GrRes){ { 1500, 6000, 0, 0 } });
  expect_one (fixture, SCH_CMD_STOP, "a/0", SCH_WHY_OVERRUN);
}

/* Submits one job and reports its end if it starts. It fails if job_fails is set or the scheduler
   picks failing_target. Returns whether its end quarantined the target. */
static bool
run_job (Fixture *fixture, int number, const char *failing_target, bool job_fails)
{
  char id[32];
  snprintf (id, sizeof id, "job%d/0", number);
  SchTask task = make_task (id, small);
  task.job = gr_name_format ("job%d", number);
  task.policy.kind = SCH_POLICY_BATCH;
  submit (fixture, &task);
  if (fixture->cmds.count == 0)
    return false;
  GrStr where = gr_name_str (&fixture->cmds.items[0].target);
  bool fails = job_fails || gr_str_equal (where, gr_str_from_c (failing_target));
  send_ended (fixture, id, fails ? SCH_END_FAILED : SCH_END_SUCCEEDED);
  return count_cmds (fixture, SCH_CMD_TARGET_STATE, SCH_WHY_FAILS_EVERYTHING) > 0;
}

static void
a_target_on_which_all_tasks_fail_is_quarantined (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w2", worker);
  int number = 0;
  for (; number < 30; number++)
    assert_false (run_job (fixture, number, "w1", false));
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  bool quarantined = false;
  for (; number < 200 && !quarantined; number++) {
    quarantined = run_job (fixture, number, "w1", false);
    send_tick (fixture, 100);
  }
  assert_true (quarantined);
  /* A successful probe readmits the target. */
  bool probed = false;
  for (int k = 0; k < 50 && !probed; k++) {
    send_tick (fixture, 1000);
    run_job (fixture, 1000 + k, "none", false);
    probed = count_cmds (fixture, SCH_CMD_TARGET_STATE, SCH_WHY_PROBE) > 0;
  }
  assert_true (probed);
}

static void
faulty_jobs_do_not_quarantine_targets (void **state)
{
  Fixture *fixture = *state;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  send_target (fixture, SCH_MSG_TARGET_UP, "w2", worker);
  for (int number = 0; number < 400; number++) {
    assert_false (run_job (fixture, number, "none", number > 30 && number % 2));
    send_tick (fixture, 100);
  }
}

static void
replicas_of_a_service_are_spread_over_groups (void **state)
{
  Fixture *fixture = *state;
  for (int i = 0; i < 8; i++) {
    SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
    msg.target.target = gr_name_format ("w%d", i);
    msg.target.group = gr_name_format ("rack%d", i / 2);
    msg.target.zone = gr_name_format ("zone%d", i / 4);
    msg.target.capacity = worker;
    step (fixture, msg);
  }
  int racks[4] = { 0 };
  for (int replica = 0; replica < 4; replica++) {
    SchTask task = make_task ("svc/0", small);
    task.id = gr_name_format ("svc/%d", replica);
    task.job = gr_name ("svc");
    task.policy.kind = SCH_POLICY_SERVICE;
    submit (fixture, &task);
    assert_int_equal (count_cmds (fixture, SCH_CMD_START, SCH_WHY_SPREAD), 1);
    racks[(fixture->cmds.items[0].target.data[1] - '0') / 2]++;
  }
  for (int rack = 0; rack < 4; rack++)
    assert_int_equal (racks[rack], 1);
}

static void
long_work_leaves_slots_to_short_work (void **state)
{
  Fixture *fixture = *state;
  static const GrRes executor = { { 0, 0, 0, 8 } };
  static const GrRes slot = { { 0, 0, 0, 1 } };
  send_target (fixture, SCH_MSG_TARGET_UP, "x1", executor);
  int starts = 0;
  for (int k = 0; k < 8; k++) {
    SchTask task = make_task ("long/0", slot);
    task.id = gr_name_format ("long/%d", k);
    task.kind = gr_name ("report");
    task.declared_run_ms = 60000;
    submit (fixture, &task);
    starts += (int) fixture->cmds.count;
  }
  assert_int_equal (starts, 4);
  SchTask task = make_task ("short/0", slot);
  submit (fixture, &task);
  expect_one (fixture, SCH_CMD_START, "short/0", SCH_WHY_BEST_FIT);
}

static void
work_above_a_quota_part_waits_or_is_refused (void **state)
{
  Fixture *fixture = *state;
  SchTeamLimit limit = { .weight = 1, .quota_part = { { 1500, 0, 0, 0 } } };
  limit.team = gr_name ("team");
  SchMsg msg = { .kind = SCH_MSG_LIMITS };
  msg.limits.teams = &limit;
  msg.limits.count = 1;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  step (fixture, msg);
  SchTask large = make_task ("large/0", (GrRes){ { 2000, 0, 0, 0 } });
  submit (fixture, &large);
  expect_one (fixture, SCH_CMD_REFUSED, "large/0", SCH_WHY_QUOTA);
  SchTask first = make_task ("a/0", small);
  SchTask second = make_task ("b/0", small);
  submit (fixture, &first);
  expect_one (fixture, SCH_CMD_START, "a/0", SCH_WHY_BEST_FIT);
  submit (fixture, &second);
  assert_int_equal (fixture->cmds.count, 0);
  SchWhy why;
  GrResDim dim;
  assert_true (sch_explain (fixture->sch, &second.id, &why, &dim));
  assert_int_equal (why, SCH_WHY_QUOTA);
  assert_int_equal (dim, GR_RES_CPU_MILLI);
  send_ended (fixture, "a/0", SCH_END_SUCCEEDED);
  assert_int_equal (count_cmds (fixture, SCH_CMD_START, SCH_WHY_BEST_FIT), 1);
}

/* A VM whose groups have no part of a quota must not treat the team as unlimited. */
static void
a_negative_quota_part_admits_no_work (void **state)
{
  Fixture *fixture = *state;
  SchTeamLimit limit = { .weight = 1, .quota_part = { { -1, 0, 0, 0 } } };
  limit.team = gr_name ("team");
  SchMsg msg = { .kind = SCH_MSG_LIMITS };
  msg.limits.teams = &limit;
  msg.limits.count = 1;
  send_target (fixture, SCH_MSG_TARGET_UP, "w1", worker);
  step (fixture, msg);
  SchTask task = make_task ("a/0", small);
  submit (fixture, &task);
  expect_one (fixture, SCH_CMD_REFUSED, "a/0", SCH_WHY_QUOTA);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (work_is_started_or_refused_with_a_reason),
    cmocka_unit_test_setup_teardown (capacity_returns_when_a_task_ends, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_leaving_or_unreachable_target_gets_no_new_work, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_cancelled_task_never_starts, set_up, tear_down),
    cmocka_unit_test_setup_teardown (waiting_work_is_refused_when_it_would_miss_its_deadline,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (running_tasks_in_an_inventory_reserve_capacity, set_up,
                                     tear_down),
    cmocka_unit_test (a_gang_starts_as_a_whole_or_not_at_all),
    cmocka_unit_test_setup_teardown (urgent_work_preempts_batch_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (batch_that_is_not_preemptible_is_not_stopped, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_gang_is_refused_when_a_target_with_a_hold_leaves, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (work_that_uses_more_than_declared_reserves_more_or_is_stopped,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_target_on_which_all_tasks_fail_is_quarantined, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (faulty_jobs_do_not_quarantine_targets, set_up, tear_down),
    cmocka_unit_test_setup_teardown (replicas_of_a_service_are_spread_over_groups, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (long_work_leaves_slots_to_short_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_negative_quota_part_admits_no_work, set_up, tear_down),
    cmocka_unit_test_setup_teardown (work_above_a_quota_part_waits_or_is_refused, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
