/* Client accounts: maxima of what an account has running. */
#include "account_fixture.h"

static void
set_maximum (Fixture *fixture, int32_t cpu, int32_t memory)
{
  set_accounts (fixture, &(Account){ "a", 1, cpu, memory }, 1);
}

/* Guards against starts above the maximum, gangs that start in part, and wide steps that wait until
   all of their tasks fit. */
static void
starts_stay_within_the_maximum (void **state)
{
  (void) state;
  static const struct {
    int32_t tasks, cpu, memory;
    bool gang, best_effort, long_running;
    int32_t max_cpu, max_memory;
    size_t starts;
  } cases[] = {
    { 8, CPU, 100, false, false, false, NO_LIMIT, NO_LIMIT, 8 },
    { 8, CPU, 100, false, false, false, 5 * CPU, NO_LIMIT, 5 },
    { 8, CPU, 100, false, false, false, 5 * CPU - 1, NO_LIMIT, 4 },
    { 8, CPU, 100, false, false, false, NO_LIMIT, 250, 2 },
    { 8, CPU, 100, false, false, false, 5 * CPU, 300, 3 },
    { 8, CPU, 100, false, false, false, CPU - 1, NO_LIMIT, 0 },
    { 8, CPU, 100, true, false, false, 8 * CPU, 800, 8 },
    { 8, CPU, 100, true, false, false, 8 * CPU - 1, 800, 0 },
    { 8, CPU, 100, true, false, false, 8 * CPU, 799, 0 },
    /* The cpu of best-effort tasks takes no room of a target, but counts for the account. */
    { 8, CPU, 100, false, true, false, 5 * CPU, NO_LIMIT, 5 },
    { 8, CPU, 100, false, false, true, 5 * CPU, NO_LIMIT, 5 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    add_targets (&fixture, 2);
    set_maximum (&fixture, cases[i].max_cpu, cases[i].max_memory);
    DagStepSpec step = step_of (cases[i].tasks, cases[i].cpu, cases[i].gang);
    step.demand.v[GR_RES_MEMORY_MB] = cases[i].memory;
    step.best_effort_cpu = cases[i].best_effort;
    step.long_running = cases[i].long_running;
    submit_ok (&fixture, "a", "job", &step);
    submit_ok (&fixture, "b", "other", &step);
    assert_int_equal (place (&fixture), cases[i].starts + 8);
    assert_int_equal (place (&fixture), 0);
    dag_free (fixture.dag);
  }
}

/* Guards against wide steps that do not go on when a run ends, and against starts after a lowered
   maximum before enough runs have ended. */
static void
wide_steps_run_in_waves (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  set_maximum (&fixture, 4 * CPU, NO_LIMIT);
  DagStepSpec step = step_of (8, CPU, false);
  submit_ok (&fixture, "a", "job", &step);
  assert_int_equal (place (&fixture), 4);
  confirm_runs (&fixture);
  report_end (&fixture, (DagTaskRef){ gr_name ("job"), 0, 0 }, 1, 1);
  assert_int_equal (place (&fixture), 1);
  confirm_runs (&fixture);
  set_maximum (&fixture, 2 * CPU, NO_LIMIT);
  store (&fixture);
  fixture.now_ms += 100;
  dag_tick (fixture.dag, fixture.now_ms);
  /* Nothing is assigned that could not be sent. */
  assert_false (dag_has_changes (fixture.dag));
  for (uint32_t i = 1; i < 4; i++) {
    dag_cmds_reset (fixture.dag);
    report_end (&fixture, (DagTaskRef){ gr_name ("job"), 0, i }, 1, i + 1);
    /* Three run, then two, which is the maximum, then one. */
    assert_int_equal (place (&fixture), i == 3);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_STOP), 0);
  }
  dag_free (fixture.dag);
}

/* Guards against starts above a maximum that is lowered while the records of their assignments are
   being stored. */
static void
starts_are_checked_again_when_they_are_sent (void **state)
{
  (void) state;
  static const struct {
    int32_t tasks;
    bool gang;
    int32_t max_cpu;
    size_t starts;
  } cases[] = { { 4, false, 4 * CPU, 4 }, { 4, false, 3 * CPU, 3 }, { 4, false, 1, 0 },
                { 4, true, 4 * CPU, 4 },  { 4, true, 3 * CPU, 0 },  { 4, false, NO_LIMIT, 4 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    add_targets (&fixture, 1);
    set_maximum (&fixture, 4 * CPU, NO_LIMIT);
    DagStepSpec step = step_of (cases[i].tasks, CPU, cases[i].gang);
    submit_ok (&fixture, "a", "job", &step);
    dag_tick (fixture.dag, fixture.now_ms);
    set_maximum (&fixture, cases[i].max_cpu, NO_LIMIT);
    store (&fixture);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_START), cases[i].starts);
    dag_free (fixture.dag);
  }
}

/* Answers the pending hold of the target with an empty inventory and drops all commands. */
static void
answer_hold_of (Fixture *fixture, const char *id)
{
  GrName name = gr_name (id);
  const DagTarget *target = dag_find_target (fixture->dag, &name);
  int64_t token = target->holds[target->hold_count - 1].token;
  dag_cmds_reset (fixture->dag);
  DagInventory inventory = { .incarnation = 1, .clock_ms = fixture->now_ms };
  dag_handle_hold_result (fixture->dag, &name, token, DAG_ORDER_OK, &inventory, fixture->now_ms);
}

/* Guards against usage that is forgotten while a target is silent or a run is being stopped, and
   against usage that stays after the run is over. */
static void
usage_counts_until_runs_are_over (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  set_maximum (&fixture, 2 * CPU, NO_LIMIT);
  DagStepSpec step = step_of (2, CPU, false);
  submit_ok (&fixture, "a", "first", &step);
  assert_int_equal (place (&fixture), 2);
  confirm_runs (&fixture);
  DagTargetInfo other = target_info (1);
  dag_target_seen (fixture.dag, &other, fixture.now_ms);
  answer_hold_of (&fixture, "t1");
  submit_ok (&fixture, "a", "second", &step);
  GrName first = gr_name ("first");
  dag_cancel (fixture.dag, &first, 2, fixture.now_ms);
  /* No hold was answered since the starts, so t0 is silent. */
  int64_t lapse_at = fixture.now_ms + (int64_t) (LEASE_MS / 0.98) - 200;
  size_t starts = 0;
  while (fixture.now_ms < lapse_at)
    starts += place (&fixture);
  assert_int_equal (starts, 0);
  while (starts == 0 && fixture.now_ms < lapse_at + 2 * LEASE_MS)
    starts += place (&fixture);
  assert_int_equal (starts, 2);
  GrName name = gr_name ("a");
  DagClient *client = dag_client_ref (fixture.dag, &name);
  assert_int_equal (client->used[GR_RES_CPU_MILLI], 2 * CPU);
  dag_client_unref (fixture.dag, client);
  dag_free (fixture.dag);
}

/* Guards against a maximum that is lost while the account is missing from the configuration, and
   against one that is not applied when the account is back. */
static void
vanished_accounts_keep_their_maximum (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  set_maximum (&fixture, 2 * CPU, NO_LIMIT);
  DagStepSpec step = step_of (8, CPU, false);
  submit_ok (&fixture, "a", "job", &step);
  assert_int_equal (place (&fixture), 2);
  set_accounts (&fixture, NULL, 0);
  assert_int_equal (place (&fixture), 0);
  set_maximum (&fixture, 5 * CPU, NO_LIMIT);
  assert_int_equal (place (&fixture), 3);
  dag_free (fixture.dag);
}

/* Guards against a withdrawn job whose assignments count forever. */
static void
withdrawn_jobs_leave_no_usage (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  set_maximum (&fixture, 2 * CPU, NO_LIMIT);
  DagStepSpec step = step_of (2, CPU, false);
  submit_ok (&fixture, "a", "first", &step);
  dag_tick (fixture.dag, fixture.now_ms);
  GrName first = gr_name ("first");
  assert_true (dag_withdraw (fixture.dag, &first));
  submit_ok (&fixture, "a", "second", &step);
  assert_int_equal (place (&fixture), 2);
  dag_free (fixture.dag);
}

/* Guards against calls for advice on work that must not start. */
static void
held_steps_ask_for_no_advice (void **state)
{
  (void) state;
  static const struct {
    int32_t tasks;
    bool gang;
    int32_t max_cpu;
    size_t calls;
  } cases[] = { { 8, false, CPU - 1, 0 },
                { 8, false, CPU, 1 },
                { 8, true, 8 * CPU - 1, 0 },
                { 8, true, 8 * CPU, 1 },
                { 8, true, NO_LIMIT, 1 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (true, 100, 1);
    add_targets (&fixture, 8);
    set_maximum (&fixture, cases[i].max_cpu, NO_LIMIT);
    DagStepSpec step = step_of (cases[i].tasks, CPU, cases[i].gang);
    submit_ok (&fixture, "a", "job", &step);
    dag_tick (fixture.dag, fixture.now_ms);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_ADVISE), cases[i].calls);
    dag_free (fixture.dag);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (starts_stay_within_the_maximum),
    cmocka_unit_test (wide_steps_run_in_waves),
    cmocka_unit_test (starts_are_checked_again_when_they_are_sent),
    cmocka_unit_test (usage_counts_until_runs_are_over),
    cmocka_unit_test (vanished_accounts_keep_their_maximum),
    cmocka_unit_test (withdrawn_jobs_leave_no_usage),
    cmocka_unit_test (held_steps_ask_for_no_advice),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
