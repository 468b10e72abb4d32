/* Targets whose capacity changes while runs start, wait and stop. */
#include "dag_fixture.h"

#define CPU 8000

static void
report_capacity (Fixture *fixture, int32_t cpu)
{
  DagTargetInfo info = target_info (0);
  info.capacity.v[GR_RES_CPU_MILLI] = cpu;
  dag_target_seen (fixture->dag, &info, fixture->now_ms);
}

/* Submits "job" with this number of tasks and assigns them to the only target, which has room for
   four. */
static Fixture
fixture_with_tasks (int32_t tasks, bool gang)
{
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  DagStepSpec step = step_of (tasks, CPU, gang);
  submit (&fixture, &step, 1, NULL);
  dag_tick (fixture.dag, fixture.now_ms);
  return fixture;
}

static size_t
count_starts (Fixture *fixture)
{
  size_t starts = count_cmds (fixture, DAG_CMD_START);
  dag_cmds_reset (fixture->dag);
  return starts;
}

/* Guards against starts that bring a target over its capacity: it shrinks between the placement and
   the moment at which the record of the assignment is stored. */
static void
tasks_start_only_if_they_still_fit (void **state)
{
  (void) state;
  static const struct {
    int32_t tasks;
    bool gang;
    int32_t capacity; /* when the record is stored */
    size_t starts;
  } cases[] = { { 4, false, 4 * CPU, 4 }, { 4, false, 4 * CPU - 1, 3 }, { 4, false, 2 * CPU, 2 },
                { 4, false, CPU - 1, 0 }, { 4, false, 0, 0 },           { 2, false, 2 * CPU, 2 },
                { 4, true, 4 * CPU, 4 },  { 4, true, 4 * CPU - 1, 0 },  { 4, true, 0, 0 },
                { 1, true, CPU, 1 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_tasks (cases[i].tasks, cases[i].gang);
    report_capacity (&fixture, cases[i].capacity);
    store (&fixture);
    assert_int_equal (count_starts (&fixture), cases[i].starts);
    GrRes used, capacity;
    GrName target = gr_name ("t0");
    assert_true (dag_target_room (fixture.dag, &target, &used, &capacity));
    assert_true (gr_res_fits (&used, &capacity) || cases[i].gang);
    dag_free (fixture.dag);
  }
}

/* Lets a second pass, with the targets alive. Stores what changes; returns the starts, which are
   not answered. */
static size_t
run_for_a_second (Fixture *fixture)
{
  size_t starts = 0;
  for (int i = 0; i < 50; i++) {
    fixture->now_ms += 20;
    dag_tick (fixture->dag, fixture->now_ms);
    store (fixture);
    starts += count_cmds (fixture, DAG_CMD_START);
    answer_holds (fixture, true);
  }
  return starts;
}

/* Guards against tasks that wait although the target has grown again, and against a gang that keeps
   members assigned after others could not start. */
static void
tasks_start_when_the_capacity_grows_again (void **state)
{
  (void) state;
  for (int gang = 0; gang < 2; gang++) {
    Fixture fixture = fixture_with_tasks (4, gang);
    report_capacity (&fixture, CPU - 1);
    store (&fixture);
    assert_int_equal (count_starts (&fixture), 0);
    assert_int_equal (run_for_a_second (&fixture), 0);
    report_capacity (&fixture, 4 * CPU);
    assert_int_equal (run_for_a_second (&fixture), 4);
    dag_free (fixture.dag);
  }
}

/* Guards against an unanswered start that is repeated after the target has shrunk: it may arrive
   for the first time. */
static void
starts_are_not_repeated_above_the_capacity (void **state)
{
  (void) state;
  static const struct {
    int32_t capacity;
    size_t starts;
  } cases[] = { { CPU, 1 }, { CPU - 1, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_tasks (1, false);
    store (&fixture);
    report_capacity (&fixture, cases[i].capacity);
    assert_int_equal (answer_start (&fixture, DAG_ORDER_LOST), 1);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_START), cases[i].starts);
    dag_free (fixture.dag);
  }
}

/* Guards against work that takes the room of runs that are being stopped, on a target that has
   shrunk. */
static void
stopping_runs_count_against_the_capacity (void **state)
{
  (void) state;
  Fixture fixture = fixture_with_tasks (2, false);
  store (&fixture);
  assert_int_equal (count_starts (&fixture), 2);
  for (uint32_t i = 0; i < 2; i++) {
    DagTaskRef task = { gr_name ("job"), 0, i };
    dag_handle_start_result (fixture.dag, &task, 1, DAG_ORDER_OK, fixture.now_ms, fixture.now_ms);
  }
  report_capacity (&fixture, 2 * CPU);
  GrName id = gr_name ("job");
  assert_int_equal (dag_cancel (fixture.dag, &id, 2, fixture.now_ms), DAG_CANCEL_PENDING);
  DagStepSpec step = step_of (1, CPU, false);
  submit_as (&fixture, "next", &step, 1, NULL);
  for (int i = 0; i < 10; i++) {
    fixture.now_ms += 20;
    dag_tick (fixture.dag, fixture.now_ms);
    store (&fixture);
    assert_int_equal (count_starts (&fixture), 0);
  }
  dag_free (fixture.dag);
}

/* Answers all calls for advice: every named target is allowed. Confirms all starts, answers all
   holds with what runs; returns the starts of the job. */
static size_t
answer_all (Fixture *fixture, const char *job)
{
  DagCmd cmds[64];
  size_t count = take_cmds (fixture->dag, cmds, 64);
  size_t starts = 0;
  GrName id = gr_name (job);
  for (size_t i = 0; i < count; i++) {
    const DagCmd *cmd = &cmds[i];
    if (cmd->type == DAG_CMD_START) {
      starts += gr_name_equal (&cmd->u.start.task.job, &id);
      dag_handle_start_result (fixture->dag, &cmd->u.start.task, cmd->u.start.run, DAG_ORDER_OK,
                               fixture->now_ms, fixture->now_ms);
    }
    if (cmd->type != DAG_CMD_ADVISE)
      continue;
    DagAllowed allowed[2] = { { gr_name ("t0"), "t" }, { gr_name ("t1"), "t" } };
    dag_handle_advice (fixture->dag, &cmd->u.advise.job, cmd->u.advise.step, cmd->u.advise.token,
                       true, allowed, 2, 0, fixture->now_ms);
  }
  return starts;
}

/* Lets the time pass; returns the starts of the job. */
static size_t
pass_time (Fixture *fixture, const char *job, int ticks)
{
  size_t starts = 0;
  for (int i = 0; i < ticks; i++) {
    fixture->now_ms += 20;
    dag_tick (fixture->dag, fixture->now_ms);
    store (fixture);
    starts += answer_all (fixture, job);
  }
  return starts;
}

/* Guards against room that stays reserved for a gang on a target that has become too small for any
   member, and against a gang that does not come back when the target has grown again. */
static void
reservations_follow_the_capacity (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (true, 10, 1);
  add_targets (&fixture, 2);
  DagStepSpec filler = step_of (4, CPU, false);
  DagStepSpec gang = step_of (6, CPU, true);
  DagStepSpec small = step_of (1, 1000, false);
  submit_as (&fixture, "filler", &filler, 1, NULL);
  assert_int_equal (pass_time (&fixture, "filler", 10), 4);
  submit_as (&fixture, "gang", &gang, 1, NULL);
  assert_int_equal (pass_time (&fixture, "gang", 10), 0);
  submit_as (&fixture, "small", &small, 1, NULL);
  assert_int_equal (pass_time (&fixture, "small", 10), 0);
  GrRes used[2], capacity;
  for (int i = 0; i < 2; i++) {
    GrName id = gr_name_format ("t%d", i);
    assert_true (dag_target_room (fixture.dag, &id, &used[i], &capacity));
  }
  int empty = used[1].v[GR_RES_CPU_MILLI] == 0;
  assert_int_equal (used[empty].v[GR_RES_CPU_MILLI], 0);
  DagTargetInfo info = target_info (empty);
  info.capacity.v[GR_RES_CPU_MILLI] = CPU - 1;
  dag_target_seen (fixture.dag, &info, fixture.now_ms);
  assert_int_equal (pass_time (&fixture, "small", 10), 1);
  info.capacity.v[GR_RES_CPU_MILLI] = 6 * CPU + 1000;
  dag_target_seen (fixture.dag, &info, fixture.now_ms);
  assert_int_equal (pass_time (&fixture, "gang", 20), 6);
  dag_free (fixture.dag);
}

/* Guards against a stale read of the list that brings back a capacity which the target has lost. A
   later life of the target counts its entries anew. */
static void
outdated_entries_are_ignored (void **state)
{
  (void) state;
  static const struct {
    int64_t incarnation, number;
    int32_t cpu, expected;
  } entries[]
      = { { 1, 4, CPU, CPU },         { 1, 3, 4 * CPU, CPU },     { 1, 5, 2 * CPU, 2 * CPU },
          { 1, 5, 2 * CPU, 2 * CPU }, { 2, 1, 3 * CPU, 3 * CPU }, { 1, 6, CPU, 3 * CPU },
          { 2, 0, CPU, CPU } };
  Fixture fixture = new_fixture (false, 0, 0);
  for (size_t i = 0; i < sizeof entries / sizeof entries[0]; i++) {
    DagTargetInfo info = target_info (0);
    info.incarnation = entries[i].incarnation;
    info.number = entries[i].number;
    info.capacity.v[GR_RES_CPU_MILLI] = entries[i].cpu;
    dag_target_seen (fixture.dag, &info, fixture.now_ms);
    GrRes used, capacity;
    assert_true (dag_target_room (fixture.dag, &info.id, &used, &capacity));
    assert_int_equal (capacity.v[GR_RES_CPU_MILLI], entries[i].expected);
  }
  dag_free (fixture.dag);
}

/* Guards against a cell that seems full because some targets hold more than they have. */
static void
overfull_targets_do_not_reduce_the_room_of_others (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (true, 30, 1);
  add_targets (&fixture, 2);
  DagStepSpec big = step_of (4, CPU, false);
  submit (&fixture, &big, 1, NULL);
  DagAllowed allowed = { .target = gr_name ("t0"), .ticket = "t" };
  dag_tick (fixture.dag, fixture.now_ms);
  DagCmd call = { 0 };
  for (size_t i = 0; i < dag_cmds (fixture.dag)->count; i++) {
    if (dag_cmds (fixture.dag)->items[i].type == DAG_CMD_ADVISE)
      call = dag_cmds (fixture.dag)->items[i];
  }
  assert_int_equal (call.type, DAG_CMD_ADVISE);
  dag_handle_advice (fixture.dag, &call.u.advise.job, 0, call.u.advise.token, true, &allowed, 1, 0,
                     fixture.now_ms);
  fixture.now_ms += 20;
  dag_tick (fixture.dag, fixture.now_ms);
  store (&fixture);
  assert_int_equal (count_starts (&fixture), 4);
  for (uint32_t i = 0; i < 4; i++) {
    DagTaskRef task = { gr_name ("job"), 0, i };
    dag_handle_start_result (fixture.dag, &task, 1, DAG_ORDER_OK, fixture.now_ms, fixture.now_ms);
  }
  report_capacity (&fixture, 0);
  dag_cmds_reset (fixture.dag);
  DagStepSpec small = step_of (1, 1000, false);
  submit_as (&fixture, "next", &small, 1, NULL);
  fixture.now_ms += 20;
  dag_tick (fixture.dag, fixture.now_ms);
  assert_int_equal (count_cmds (&fixture, DAG_CMD_ADVISE), 1);
  assert_true (dag_counts (fixture.dag, fixture.now_ms).free_cpu_milli >= 32000);
  dag_free (fixture.dag);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tasks_start_only_if_they_still_fit),
    cmocka_unit_test (tasks_start_when_the_capacity_grows_again),
    cmocka_unit_test (starts_are_not_repeated_above_the_capacity),
    cmocka_unit_test (stopping_runs_count_against_the_capacity),
    cmocka_unit_test (reservations_follow_the_capacity),
    cmocka_unit_test (outdated_entries_are_ignored),
    cmocka_unit_test (overfull_targets_do_not_reduce_the_room_of_others),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
