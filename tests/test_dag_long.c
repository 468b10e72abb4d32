/* Unit tests of long-running steps: restarts, spreading, moves off leaving targets, and the pace of
   best-effort runs beside them. prop_dag.cc covers random schedules with faults. */
#include "dag_fixture.h"

static DagStepSpec
long_step (int32_t count, int32_t cpu)
{
  DagStepSpec step = step_of (count, cpu, false);
  step.long_running = true;
  step.estimate_ms = 0;
  return step;
}

static void
add_target_in (Fixture *fixture, int number, const char *rack, const char *zone)
{
  DagTargetInfo info = target_info (number);
  info.rack = gr_name (rack);
  info.zone = gr_name (zone);
  dag_target_seen (fixture->dag, &info, fixture->now_ms);
}

/* What the simulated targets run, and what they answer to holds. */
typedef struct {
  struct {
    DagTaskRef task;
    int64_t run;
    GrName target;
  } runs[64];
  size_t count;
  int32_t percent; /* progress of all runs */
  int64_t usage;
  DagEnd end;   /* listed by t0 if its number is not 0 */
  size_t stops; /* stop orders received */
  size_t pace_orders;
  DagCmd last_pace;
} Targets;

static void
answer_hold (Fixture *fixture, const Targets *targets, const DagCmd *cmd)
{
  const GrName *target = &cmd->target.target;
  DagRunReport reports[64];
  size_t reported = 0;
  for (size_t r = 0; r < targets->count; r++) {
    if (gr_name_equal (&targets->runs[r].target, target))
      reports[reported++] = (DagRunReport){ .task = targets->runs[r].task,
                                            .run = targets->runs[r].run,
                                            .percent = targets->percent,
                                            .usage = targets->usage };
  }
  GrName first = gr_name ("t0");
  bool lists_end = targets->end.number > 0 && gr_name_equal (target, &first);
  DagInventory inventory = { .incarnation = 1,
                             .clock_ms = fixture->now_ms,
                             .running = reports,
                             .running_count = reported,
                             .ends = &targets->end,
                             .end_count = lists_end };
  dag_handle_hold_result (fixture->dag, target, cmd->u.hold.token, DAG_ORDER_OK, &inventory,
                          fixture->now_ms);
}

static void
carry_out (Fixture *fixture, Targets *targets, const DagCmd *cmd)
{
  switch (cmd->type) {
  case DAG_CMD_START:
    assert_true (targets->count < 64);
    targets->runs[targets->count].task = cmd->u.start.task;
    targets->runs[targets->count].run = cmd->u.start.run;
    targets->runs[targets->count++].target = cmd->target.target;
    dag_handle_start_result (fixture->dag, &cmd->u.start.task, cmd->u.start.run, DAG_ORDER_OK,
                             fixture->now_ms, fixture->now_ms);
    return;
  case DAG_CMD_HOLD:
    answer_hold (fixture, targets, cmd);
    return;
  case DAG_CMD_STOP:
    targets->stops++;
    return;
  case DAG_CMD_PACE:
    targets->pace_orders++;
    targets->last_pace = *cmd;
    return;
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    return;
  }
}

/* Lets time pass in steps of 20 ms; in each the targets carry out all commands. */
static void
pass_time (Fixture *fixture, Targets *targets, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 20) {
    fixture->now_ms += 20;
    dag_tick (fixture->dag, fixture->now_ms);
    store (fixture);
    DagCmd cmds[64];
    size_t count = take_cmds (fixture->dag, cmds, 64);
    for (size_t i = 0; i < count; i++)
      carry_out (fixture, targets, &cmds[i]);
  }
}

/* Guards against a service that stays down: a long-running task starts again however its run ends,
   also after a success and after more failures than the queue allows attempts, and its job is never
   over before it is cancelled. A task that fails at once must not be started in a loop. */
static void
long_running_tasks_start_again_however_they_end (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    DagEndKind kind;
    int64_t worked_ms;
    int64_t restart_min_ms, restart_max_ms; /* after the end */
  } cases[] = {
    { "success", DAG_END_DONE, 10000, 0, 150 },
    { "failure after long work", DAG_END_FAILED, 10000, 0, 150 },
    { "lapsed lease", DAG_END_LAPSED, 10000, 0, 150 },
    { "failure at once", DAG_END_FAILED, 100, 150, 2500 },
    { "success at once", DAG_END_DONE, 100, 150, 2500 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    add_targets (&fixture, 1);
    DagStepSpec step = long_step (1, 1000);
    submit (&fixture, &step, 1, NULL);
    Targets targets = { .percent = 100, .usage = -1 };
    for (int round = 1; round <= 5; round++) {
      pass_time (&fixture, &targets, 60);
      assert_int_equal (targets.count, 1);
      pass_time (&fixture, &targets, cases[i].worked_ms);
      targets.end = (DagEnd){ .number = round,
                              .task = targets.runs[0].task,
                              .run = targets.runs[0].run,
                              .kind = cases[i].kind };
      targets.count = 0;
      int64_t ended_at = fixture.now_ms;
      while (targets.count == 0 && fixture.now_ms < ended_at + 10000)
        pass_time (&fixture, &targets, 20);
      int64_t pause = fixture.now_ms - ended_at;
      if (targets.count != 1 || pause < cases[i].restart_min_ms || pause > cases[i].restart_max_ms)
        fail_msg ("%s: %zu starts after %lld ms in round %d", cases[i].name, targets.count,
                  (long long) pause, round);
      GrName id = gr_name ("job");
      assert_int_equal (dag_status (fixture.dag, &id), DAG_JOB_IN_PROGRESS);
    }
    dag_free (fixture.dag);
  }
}

/* Guards against losing most of a service with one target, rack or zone, although there was room to
   spread it. */
static void
long_running_tasks_are_spread (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int32_t count;
    int max_on_target, max_on_rack, max_in_zone;
  } cases[] = { { "one for each target", 8, 1, 2, 4 },
                { "one for each rack", 4, 1, 1, 2 },
                { "one for each zone", 2, 1, 1, 1 },
                { "more tasks than targets", 10, 2, 3, 5 } };
  static const char *const racks[] = { "r0", "r0", "r1", "r1", "r2", "r2", "r3", "r3" };
  static const char *const zones[] = { "za", "za", "za", "za", "zb", "zb", "zb", "zb" };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    for (int t = 0; t < 8; t++)
      add_target_in (&fixture, t, racks[t], zones[t]);
    DagStepSpec step = long_step (cases[i].count, 1000);
    submit (&fixture, &step, 1, NULL);
    Targets targets = { 0 };
    pass_time (&fixture, &targets, 60);
    assert_int_equal (targets.count, cases[i].count);
    int on_target[8] = { 0 }, on_rack[4] = { 0 }, in_zone[2] = { 0 };
    for (size_t r = 0; r < targets.count; r++) {
      int target = atoi (targets.runs[r].target.data + 1);
      on_target[target]++;
      on_rack[target / 2]++;
      in_zone[target / 4]++;
    }
    for (int t = 0; t < 8; t++) {
      if (on_target[t] > cases[i].max_on_target || on_rack[t / 2] > cases[i].max_on_rack
          || in_zone[t / 4] > cases[i].max_in_zone)
        fail_msg ("%s: target t%d has %d, its rack %d, its zone %d", cases[i].name, t, on_target[t],
                  on_rack[t / 2], in_zone[t / 4]);
    }
    dag_free (fixture.dag);
  }
}

/* Guards against a service that waits behind a queue of batch work that came before it. */
static void
long_running_tasks_come_before_work_that_ends (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  DagStepSpec batch = step_of (40, 8000, false);
  batch.estimate_ms = 0;
  submit_as (&fixture, "batch", &batch, 1, NULL);
  DagStepSpec step = long_step (2, 8000);
  submit_as (&fixture, "job", &step, 1, NULL);
  Targets targets = { 0 };
  pass_time (&fixture, &targets, 60);
  GrName id = gr_name ("job");
  int long_running = 0;
  for (size_t i = 0; i < targets.count; i++)
    long_running += gr_name_equal (&targets.runs[i].task.job, &id);
  assert_int_equal (targets.count, 4);
  assert_int_equal (long_running, 2);
  dag_free (fixture.dag);
}

/* Guards against taking down too much of a service at once when its target leaves: tasks move one
   after the other within the limit, only once there is room elsewhere, and before the target is
   gone. */
static void
leaving_targets_are_emptied_within_the_limit (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int32_t count, max_unavailable;
    bool room_elsewhere;
    size_t stops;
  } cases[] = { { "limit of one", 4, 1, true, 1 },
                { "limit of two", 4, 2, true, 2 },
                { "default of a quarter", 8, 0, true, 2 },
                { "no room elsewhere", 4, 1, false, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    add_targets (&fixture, 1);
    DagStepSpec step = long_step (cases[i].count, 1000);
    step.max_unavailable = cases[i].max_unavailable;
    submit (&fixture, &step, 1, NULL);
    Targets targets = { .percent = 100, .usage = -1 };
    pass_time (&fixture, &targets, 1500);
    assert_int_equal (targets.count, cases[i].count);
    if (cases[i].room_elsewhere)
      add_target_in (&fixture, 1, "r1", "z1");
    pass_time (&fixture, &targets, 100);
    DagTargetInfo info = target_info (0);
    info.draining = true;
    info.remaining_ms = 4000;
    dag_target_seen (fixture.dag, &info, fixture.now_ms);
    pass_time (&fixture, &targets, 200);
    if (targets.stops != cases[i].stops)
      fail_msg ("%s: %zu stops", cases[i].name, targets.stops);
    dag_free (fixture.dag);
  }
}

/* Guards against a service whose users wait because best-effort work beside it is not slowed down,
   and against slowing work down for nothing. */
static void
best_effort_runs_are_paced_beside_tasks_that_serve (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int64_t tail_ms;
    bool paced;
  } cases[] = { { "tail above the target", 150, true },
                { "tail just below the target", 90, true },
                { "tail well below the target", 40, false },
                { "no figure", -1, false } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    add_targets (&fixture, 1);
    DagStepSpec step = long_step (1, 1000);
    step.tail_target_ms = 100;
    step.image = gr_name ("web");
    submit_as (&fixture, "serve", &step, 1, NULL);
    DagStepSpec filler = step_of (1, 8000, false);
    filler.best_effort_cpu = true;
    filler.image = gr_name ("index");
    submit_as (&fixture, "fill", &filler, 1, NULL);
    Targets targets = { .percent = 50, .usage = cases[i].tail_ms };
    pass_time (&fixture, &targets, 600);
    assert_int_equal (targets.count, 2);
    bool paced = targets.pace_orders > 0 && targets.last_pace.u.pace.percent < 100;
    GrName fill = gr_name ("fill");
    if (paced != cases[i].paced)
      fail_msg ("%s: %zu orders", cases[i].name, targets.pace_orders);
    if (paced)
      assert_true (gr_name_equal (&targets.last_pace.u.pace.task.job, &fill));
    dag_free (fixture.dag);
  }
}

/* Guards against losing the shape of a job at a change of leader, and against records that an
   earlier version, which knows fewer fields, could not read although it knew the job's shape. */
static void
shapes_survive_a_change_of_leader (void **state)
{
  (void) state;
  DagStepSpec plain = step_of (2, 1000, false);
  DagStepSpec lasting = long_step (3, 1000);
  DagStepSpec full = long_step (4, 1000);
  full.max_unavailable = 2;
  full.image = gr_name ("web");
  full.tail_target_ms = 120;
  const DagStepSpec *const cases[] = { &plain, &lasting, &full };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    DagJobSpec spec = { .id = gr_name ("job"),
                        .queue = gr_name ("q"),
                        .payload = GR_STR ("work"),
                        .steps = cases[i],
                        .step_count = 1 };
    GrBuf first = { 0 }, second = { 0 };
    dag_pack_job_spec (&spec, &first);
    msgpack_unpacked unpacked;
    msgpack_unpacked_init (&unpacked);
    DagStepSpec steps[DAG_MAX_STEPS];
    DagJobSpec again = { 0 };
    assert_true (dag_unpack_job_spec (gr_buf_str (&first), &unpacked, steps, &again));
    assert_int_equal (steps[0].long_running, cases[i]->long_running);
    assert_int_equal (steps[0].max_unavailable, cases[i]->max_unavailable);
    assert_int_equal (steps[0].tail_target_ms, cases[i]->tail_target_ms);
    assert_true (gr_name_equal (&steps[0].image, &cases[i]->image));
    dag_pack_job_spec (&again, &second);
    assert_true (gr_str_equal (gr_buf_str (&first), gr_buf_str (&second)));
    msgpack_unpacked_destroy (&unpacked);
    gr_buf_clear (&first);
    gr_buf_clear (&second);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (long_running_tasks_start_again_however_they_end),
    cmocka_unit_test (long_running_tasks_are_spread),
    cmocka_unit_test (long_running_tasks_come_before_work_that_ends),
    cmocka_unit_test (leaving_targets_are_emptied_within_the_limit),
    cmocka_unit_test (best_effort_runs_are_paced_beside_tasks_that_serve),
    cmocka_unit_test (shapes_survive_a_change_of_leader),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
