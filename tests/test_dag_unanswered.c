/* Tasks whose starts go unanswered, on targets that crash afterwards. */
#include "dag_fixture.h"

#define ROUNDS_MAX 6

/* Lists the target of the given number and answers its hold. Each is on a VM of its own; a later
   generation replaces the one before. */
static void
add_generation (Fixture *fixture, int number, int generation)
{
  DagTargetInfo info = target_info (number);
  info.id = gr_name_format ("t%d-%d", number, generation);
  info.vm = gr_name_format ("v%d", number);
  info.incarnation = generation;
  dag_target_seen (fixture->dag, &info, fixture->now_ms);
  DagCmd cmds[64];
  size_t count = take_cmds (fixture->dag, cmds, 64);
  for (size_t i = 0; i < count; i++) {
    if (cmds[i].type != DAG_CMD_HOLD)
      continue;
    DagInventory inventory = { .incarnation = generation, .clock_ms = fixture->now_ms };
    dag_handle_hold_result (fixture->dag, &cmds[i].target.target, cmds[i].u.hold.token,
                            DAG_ORDER_OK, &inventory, fixture->now_ms);
  }
}

/* Ticks, and fails the holds that are sent: the target has closed its connections. */
static void
close_holds (Fixture *fixture)
{
  DagCmd cmds[64];
  dag_tick (fixture->dag, fixture->now_ms);
  size_t count = take_cmds (fixture->dag, cmds, 64);
  for (size_t i = 0; i < count; i++) {
    if (cmds[i].type == DAG_CMD_HOLD)
      dag_handle_hold_result (fixture->dag, &cmds[i].target.target, cmds[i].u.hold.token,
                              DAG_ORDER_CLOSED, NULL, fixture->now_ms);
  }
}

/* Starts the task of "job", which gets the result, and crashes its target; closes: the target's
   system closes its connections then. Returns true if the task started. */
static bool
start_and_crash (Fixture *fixture, int round, DagOrderResult result, bool closes)
{
  add_generation (fixture, round, 1);
  for (int i = 0; i < 50 && count_cmds (fixture, DAG_CMD_START) == 0; i++) {
    fixture->now_ms += 20;
    dag_tick (fixture->dag, fixture->now_ms);
    store (fixture);
  }
  size_t starts = 0;
  DagCmd cmds[64];
  for (size_t count; count_cmds (fixture, DAG_CMD_START) > 0; fixture->now_ms += 20) {
    count = take_cmds (fixture->dag, cmds, 64);
    for (size_t i = 0; i < count; i++) {
      if (cmds[i].type != DAG_CMD_START)
        continue;
      starts++;
      dag_handle_start_result (fixture->dag, &cmds[i].u.start.task, cmds[i].u.start.run, result,
                               fixture->now_ms, fixture->now_ms);
    }
  }
  if (closes)
    close_holds (fixture);
  fixture->now_ms += 200;
  add_generation (fixture, round, 2);
  return starts > 0;
}

/* Guards against a job that is given up for starts that never arrived, or for runs that may have
   ended before: its targets had been cut off and crashed later. A task that crashes its targets
   before they answer is given up all the same, before its sixth start. */
static void
unanswered_starts_are_weak_evidence (void **state)
{
  (void) state;
  static const struct {
    DagOrderResult result;
    bool closes;
    int starts; /* until the job is given up; ROUNDS_MAX: it is not */
  } cases[] = { { DAG_ORDER_OK, true, 2 },
                { DAG_ORDER_CLOSED, true, 5 },
                { DAG_ORDER_OK, false, ROUNDS_MAX },
                { DAG_ORDER_LOST, false, ROUNDS_MAX } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    DagStepSpec step = step_of (1, 1000, false);
    GrName id = gr_name ("job");
    submit (&fixture, &step, 1, NULL);
    int rounds = 0;
    while (rounds < ROUNDS_MAX
           && start_and_crash (&fixture, rounds, cases[i].result, cases[i].closes))
      rounds++;
    store (&fixture);
    bool given_up = dag_status (fixture.dag, &id) == DAG_JOB_FAILED;
    assert_int_equal (given_up, cases[i].starts < ROUNDS_MAX);
    assert_int_equal (rounds, cases[i].starts);
    dag_free (fixture.dag);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (unanswered_starts_are_weak_evidence),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
