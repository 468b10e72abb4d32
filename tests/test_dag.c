/* Unit tests of the step job scheduler. prop_dag.cc covers random schedules with faults. */
#include "dag_fixture.h"

#define TARGETS 48

static void
invalid_submissions_are_refused (void **state)
{
  (void) state;
  DagStepSpec valid = step_of (1, 1000, false);
  DagStepSpec empty = step_of (0, 1000, false);
  DagStepSpec negative = step_of (1, -1, false);
  DagStepSpec forward = valid;
  forward.depends_on = 1;
  DagStepSpec too_long = valid;
  too_long.estimate_ms = INT64_MAX;
  DagStepSpec many = step_of (DAG_MAX_TASKS + 1, 1, false);
  const struct {
    const DagStepSpec *step;
    size_t count;
    DagSubmitResult result;
    GrErrCode code;
  } cases[] = { { &valid, 1, DAG_SUBMIT_PENDING, GR_ERR_NONE },
                { &valid, 0, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &empty, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &negative, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &forward, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &too_long, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &many, 1, DAG_SUBMIT_INVALID, GR_ERR_TOO_LARGE } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (false, 0, 0);
    GrErr err = { 0 };
    assert_int_equal (submit (&fixture, cases[i].step, cases[i].count, &err), cases[i].result);
    assert_int_equal (err.code, cases[i].code);
    dag_free (fixture.dag);
  }
}

/* Guards against gangs that never start if advice is slow and most targets are not allowed. If the
   first call names too few targets, the gang asks again until its first tickets have expired. */
static void
first_call_for_advice_names_enough_targets (void **state)
{
  (void) state;
  static const struct {
    double fixed_ms, per_target_ms;
    size_t min_targets;
  } cases[] = { { 410, 5.9, 34 }, { 53, 0.75, 35 }, { 9.3, 0.13, 35 }, { 10, 10, 10 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (true, cases[i].fixed_ms, cases[i].per_target_ms);
    add_targets (&fixture, TARGETS);
    DagStepSpec gang = step_of (5, 9000, true);
    GrErr err = { 0 };
    assert_int_equal (submit (&fixture, &gang, 1, &err), DAG_SUBMIT_PENDING);
    dag_tick (fixture.dag, fixture.now_ms);
    size_t named = 0;
    for (size_t c = 0; c < dag_cmds (fixture.dag)->count; c++) {
      const DagCmd *cmd = &dag_cmds (fixture.dag)->items[c];
      if (cmd->type == DAG_CMD_ADVISE)
        named += cmd->u.advise.count; /* one round may consist of several calls */
    }
    assert_true (named >= cases[i].min_targets);
    dag_free (fixture.dag);
  }
}

/* Finds the pending command of the type; there must be one. */
static DagCmd
pending_cmd (const Fixture *fixture, DagCmdType type)
{
  const DagCmds *cmds = dag_cmds (fixture->dag);
  for (size_t i = 0; i < cmds->count; i++) {
    if (cmds->items[i].type == type)
      return cmds->items[i];
  }
  fail_msg ("no command of type %d", (int) type);
  return (DagCmd){ 0 };
}

/* Delivers the answer to the command: its target may run the step, or runs nothing. */
static void
answer_cmd (Fixture *fixture, const DagCmd *cmd)
{
  DagAllowed allowed = { gr_name ("t0"), "ticket" };
  DagInventory inventory = { .incarnation = 1, .clock_ms = fixture->now_ms };
  if (cmd->type == DAG_CMD_HOLD)
    dag_handle_hold_result (fixture->dag, &cmd->target.target, cmd->u.hold.token, DAG_ORDER_OK,
                            &inventory, fixture->now_ms);
  else
    dag_handle_advice (fixture->dag, &cmd->u.advise.job, cmd->u.advise.step, cmd->u.advise.token,
                       true, &allowed, 1, 0, fixture->now_ms);
}

/* A target, and a step that waits for it; with_inventory: the target has answered. */
static Fixture
fixture_of_term (int64_t term, bool with_inventory)
{
  Fixture fixture = new_fixture_of_term (term << 32, true, 10, 0);
  DagTargetInfo info = target_info (0);
  DagStepSpec step = step_of (1, 1000, false);
  GrErr err = { 0 };
  dag_target_seen (fixture.dag, &info, fixture.now_ms);
  if (with_inventory)
    answer_holds (&fixture, true);
  submit (&fixture, &step, 1, &err);
  dag_tick (fixture.dag, fixture.now_ms);
  return fixture;
}

/* Guards against advice and inventories of a former term: the VMs that fetched them for a leader
   live on, and the next leader on its VM, which counts its tokens anew, asked for something else
   under the same token. */
static void
answers_to_an_earlier_term_are_ignored (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    DagCmdType type;
  } cases[] = { { "advice", DAG_CMD_ADVISE }, { "inventory", DAG_CMD_HOLD } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    bool advice = cases[i].type == DAG_CMD_ADVISE;
    Fixture former = fixture_of_term (1, advice);
    Fixture present = fixture_of_term (2, advice);
    DagCmd stale = pending_cmd (&former, cases[i].type);
    DagCmd cmd = pending_cmd (&present, cases[i].type);
    for (int answers = 0; answers < 2; answers++) {
      answer_cmd (&present, answers == 0 ? &stale : &cmd);
      present.now_ms += 100;
      dag_tick (present.dag, present.now_ms);
      store (&present);
      size_t taken = advice ? count_cmds (&present, DAG_CMD_START)
                            : dag_counts (present.dag, present.now_ms).usable_targets;
      if (taken != (size_t) answers)
        fail_msg ("%s, answer %d: taken %zu", cases[i].name, answers, taken);
    }
    dag_free (former.dag);
    dag_free (present.dag);
  }
}

/* An answer of the simulated advice service that is not delivered yet. */
typedef struct {
  int64_t due;
  GrName job;
  int64_t token;
  DagAllowed *allowed;
  size_t count;
} Answer;

/* Answers that are not delivered yet. More than limit are an error of the scheduler. */
typedef struct {
  Answer items[128];
  size_t count;
  size_t limit;
} OpenAnswers;

/* Adds an answer for each call for advice and drops all commands. The service allows one target in
   three. */
static void
take_advice_calls (Fixture *fixture, OpenAnswers *open)
{
  const DagCmds *cmds = dag_cmds (fixture->dag);
  for (size_t c = 0; c < cmds->count; c++) {
    const DagCmd *cmd = &cmds->items[c];
    if (cmd->type != DAG_CMD_ADVISE)
      continue;
    Answer answer = { .due = fixture->now_ms + cmd->u.advise.expected_ms,
                      .job = cmd->u.advise.job,
                      .token = cmd->u.advise.token };
    answer.allowed = gr_calloc (cmd->u.advise.count, sizeof *answer.allowed);
    for (size_t i = 0; i < cmd->u.advise.count; i++) {
      if (atoi (cmd->u.advise.targets[i].data + 1) % 3 == 0)
        answer.allowed[answer.count++].target = cmd->u.advise.targets[i];
    }
    assert_true (open->count + 1 < open->limit);
    open->items[open->count++] = answer;
  }
  dag_cmds_reset (fixture->dag);
}

/* Delivers the answers that are due. */
static void
deliver_answers (Fixture *fixture, OpenAnswers *open)
{
  size_t left = 0;
  for (size_t i = 0; i < open->count; i++) {
    Answer answer = open->items[i];
    if (answer.due > fixture->now_ms) {
      open->items[left++] = answer;
      continue;
    }
    dag_handle_advice (fixture->dag, &answer.job, 0, answer.token, true, answer.allowed,
                       answer.count, 0, fixture->now_ms);
    free (answer.allowed);
  }
  open->count = left;
}

/* Lets the time pass until there are as many runs as wanted, at most timeout_ms; answers calls for
   advice meanwhile. Returns the number of runs. */
static int64_t
wait_for_runs (Fixture *fixture, OpenAnswers *open, int64_t wanted, int64_t timeout_ms)
{
  int64_t deadline = fixture->now_ms + timeout_ms;
  int64_t runs = 0;
  do {
    dag_tick (fixture->dag, fixture->now_ms);
    take_advice_calls (fixture, open);
    fixture->now_ms += 20;
    deliver_answers (fixture, open);
    runs = (int64_t) dag_counts (fixture->dag, fixture->now_ms).runs;
  } while (runs < wanted && fixture->now_ms < deadline);
  return runs;
}

static void
free_advised (Fixture *fixture, OpenAnswers *open)
{
  fixture->now_ms += 60000;
  deliver_answers (fixture, open);
  dag_free (fixture->dag);
}

/* Guards against gangs that never start on an idle cell because they need a large share of the
   targets that they are allowed on. One call names at most a hundred targets. If the calls are made
   one after the other, the first tickets expire before the last targets are known. */
static void
wide_gangs_get_advice_on_enough_targets (void **state)
{
  (void) state;
  static const struct {
    int32_t width;
    int32_t cpu;
  } cases[] = { { 8, 9000 }, { 60, 15000 }, { 120, 15000 }, { 150, 10000 } };
  enum {
    WIDE_TARGETS = 350
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (true, 440, 6.4);
    add_targets (&fixture, WIDE_TARGETS);
    DagStepSpec gang = step_of (cases[i].width, cases[i].cpu, true);
    GrErr err = { 0 };
    submit (&fixture, &gang, 1, &err);
    OpenAnswers open = { .limit = 32 };
    assert_int_equal (wait_for_runs (&fixture, &open, 1, 2500), cases[i].width);
    free_advised (&fixture, &open);
  }
}

/* Reports the targets from..to as able to run this many tasks of a gang that takes 15000 of cpu. */
static void
report_room (Fixture *fixture, int from, int to, int32_t tasks)
{
  for (int i = from; i < to; i++) {
    DagTargetInfo info = target_info (i);
    info.capacity.v[GR_RES_CPU_MILLI] = tasks * 15000;
    dag_target_seen (fixture->dag, &info, fixture->now_ms);
  }
}

/* Guards against a gang that never starts although the cell has become nearly idle. It has reserved
   targets that together lack room for it. If these got their tickets at different times, the calls
   that renew the tickets follow each other without a pause and leave no turn for calls about the
   other targets. */
static void
gang_starts_on_targets_that_it_did_not_reserve (void **state)
{
  (void) state;
  enum {
    CELL_TARGETS = 350,
    OCCUPIED_TARGETS = 48, /* a third of the targets is allowed */
    GROUPS = 3,
    GROUP_TARGETS = 24,
    RESERVED_TARGETS = OCCUPIED_TARGETS + GROUPS * GROUP_TARGETS,
    WIDTH = RESERVED_TARGETS / 3,
    EXPIRY_MS = 4000 /* a call for advice and the validity of its tickets */
  };
  static const struct {
    double fixed_ms, per_target_ms;
    int64_t interval_ms; /* between the times at which the groups get room */
  } cases[] = { { 494, 7.15, 700 }, { 494, 7.15, 0 }, { 585, 8.45, 850 }, { 53, 0.75, 250 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (true, cases[i].fixed_ms, cases[i].per_target_ms);
    add_targets (&fixture, CELL_TARGETS);
    report_room (&fixture, OCCUPIED_TARGETS, CELL_TARGETS, 0);
    report_room (&fixture, 0, OCCUPIED_TARGETS, 1);
    OpenAnswers open = { .limit = 32 };
    GrErr err = { 0 };
    DagStepSpec other = step_of (OCCUPIED_TARGETS / 3, 15000, false);
    submit_as (&fixture, "other", &other, 1, &err);
    assert_int_equal (wait_for_runs (&fixture, &open, other.count, EXPIRY_MS), other.count);
    DagStepSpec gang = step_of (WIDTH, 15000, true);
    gang.estimate_ms = 60000; /* a gang past its deadline reserves nothing */
    submit_as (&fixture, "gang", &gang, 1, &err);
    report_room (&fixture, CELL_TARGETS - 1, CELL_TARGETS, 1); /* no calls without any room */
    int64_t all = other.count + WIDTH;
    assert_int_equal (wait_for_runs (&fixture, &open, all, EXPIRY_MS), other.count);
    for (int g = 0; g < GROUPS; g++) {
      int from = OCCUPIED_TARGETS + g * GROUP_TARGETS;
      report_room (&fixture, from, from + GROUP_TARGETS, 1);
      wait_for_runs (&fixture, &open, all, cases[i].interval_ms);
    }
    assert_int_equal (wait_for_runs (&fixture, &open, all, EXPIRY_MS), other.count);
    report_room (&fixture, RESERVED_TARGETS, CELL_TARGETS, 2);
    assert_int_equal (wait_for_runs (&fixture, &open, all, EXPIRY_MS), all);
    free_advised (&fixture, &open);
  }
}

/* Guards against useless calls for advice when several gangs arrive together on a cell with room
   for all of them. Each names the same targets with the most room. If a call names just enough, the
   first gang takes that room and the others have to ask again. */
static void
gangs_that_arrive_together_start_together (void **state)
{
  (void) state;
  enum {
    CELL_TARGETS = 350,
    GANGS = 12,
    WIDTH = 20
  };
  Fixture fixture = new_fixture (true, 440, 6.4);
  add_targets (&fixture, CELL_TARGETS);
  DagStepSpec gang = step_of (WIDTH, 9000, true);
  for (int i = 0; i < GANGS; i++) {
    GrErr err = { 0 };
    char id[16];
    snprintf (id, sizeof id, "job%d", i);
    submit_as (&fixture, id, &gang, 1, &err);
  }
  OpenAnswers open = { .limit = 64 };
  /* Two successive calls of a hundred targets each take 2.2 s together. */
  assert_int_equal (wait_for_runs (&fixture, &open, GANGS * WIDTH, 2500), GANGS * WIDTH);
  free_advised (&fixture, &open);
}

/* Guards against keeping the advice service busy with useless calls when a long queue of bulk work
   waits for a nearly full cell. If every waiting step asks about the little room that is left, only
   one call can succeed. */
static void
waiting_steps_do_not_all_ask_about_the_same_room (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (true, 53, 0.75);
  add_targets (&fixture, 1);
  DagStepSpec step = step_of (4, 8000, false);
  for (int i = 0; i < 50; i++) {
    GrErr err = { 0 };
    GrName id = gr_name_format ("job%d", i);
    char text[16] = { 0 };
    memcpy (text, id.data, id.len);
    submit_as (&fixture, text, &step, 1, &err);
  }
  dag_tick (fixture.dag, fixture.now_ms);
  size_t calls = count_cmds (&fixture, DAG_CMD_ADVISE);
  assert_in_range (calls, 1, 3);
  dag_free (fixture.dag);
}

/* Guards against acting on a ticket that has run out, when the record is stored late or the start
   has to wait for its turn: it must leave before the ticket expires, or not at all. */
static void
starts_leave_before_their_ticket_expires (void **state)
{
  (void) state;
  enum {
    TICKET_MS = 2500 /* as the queue of the fixture has it */
  };
  static const struct {
    int64_t stored_after_ms;
    size_t starts;
  } cases[] = { { 0, 1 }, { 2000, 1 }, { 2600, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = new_fixture (true, 53, 0.75);
    add_targets (&fixture, 1);
    DagStepSpec step = step_of (1, 1000, false);
    GrErr err = { 0 };
    submit (&fixture, &step, 1, &err);
    OpenAnswers open = { .limit = 32 };
    assert_int_equal (wait_for_runs (&fixture, &open, 1, 1000), 1);
    int64_t expires_by = fixture.now_ms + TICKET_MS;
    dag_cmds_reset (fixture.dag);
    fixture.now_ms += cases[i].stored_after_ms;
    store (&fixture);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_START), cases[i].starts);
    for (size_t c = 0; c < dag_cmds (fixture.dag)->count; c++) {
      const DagCmd *cmd = &dag_cmds (fixture.dag)->items[c];
      if (cmd->type == DAG_CMD_START)
        assert_in_range (cmd->u.start.send_by, fixture.now_ms, expires_by);
    }
    free_advised (&fixture, &open);
  }
}

/* Guards against releasing tasks that are assigned to an idle target whose last lease lapsed long
   ago. */
static void
idle_targets_keep_their_assignments (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 2);
  fixture.now_ms += 60000;
  DagStepSpec gang = step_of (4, 9000, true);
  GrErr err = { 0 };
  submit (&fixture, &gang, 1, &err);
  dag_tick (fixture.dag, fixture.now_ms);
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (fixture.dag, &records);
  dag_records_clear (&records);
  fixture.now_ms += 30;
  dag_tick (fixture.dag, fixture.now_ms);
  assert_int_equal (count_cmds (&fixture, DAG_CMD_START), 0);
  dag_stored (fixture.dag, batch, fixture.now_ms);
  assert_int_equal (count_cmds (&fixture, DAG_CMD_START), 4);
  dag_free (fixture.dag);
}

/* Guards against stopping a whole gang for one lost answer, and against taking the answer to a
   repeated start as proof that the first one had no effect. In operation one start in twenty has no
   answer and may be carried out seconds later. */
static void
lost_starts_are_repeated_before_they_are_stopped (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    DagOrderResult answers[4];
    size_t count;
    size_t stops;
  } cases[] = {
    { "answered at once", { DAG_ORDER_OK }, 1, 0 },
    { "answered after a repeat", { DAG_ORDER_LOST, DAG_ORDER_OK }, 2, 0 },
    { "ticket expired meanwhile", { DAG_ORDER_LOST, DAG_ORDER_NO_TICKET }, 2, 1 },
    { "no room for the repeat", { DAG_ORDER_LOST, DAG_ORDER_NO_ROOM }, 2, 1 },
    { "no room at first", { DAG_ORDER_NO_ROOM }, 1, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_start ();
    for (size_t a = 0; a < cases[i].count; a++) {
      if (answer_start (&fixture, cases[i].answers[a]) != 1)
        fail_msg ("%s: no start before answer %zu", cases[i].name, a);
    }
    assert_int_equal (count_cmds (&fixture, DAG_CMD_START), 0);
    if (count_cmds (&fixture, DAG_CMD_STOP) != cases[i].stops)
      fail_msg ("%s: %zu stops", cases[i].name, count_cmds (&fixture, DAG_CMD_STOP));
    dag_free (fixture.dag);
  }
}

/* Guards against ending work whose start was carried out and not answered: the next inventory
   decides whether the run goes on or is stopped. */
static void
inventory_decides_about_unanswered_starts (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    bool running;
    size_t stops;
  } cases[] = { { "not started", false, 1 }, { "started", true, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_start ();
    for (int a = 0; a < 3; a++)
      assert_int_equal (answer_start (&fixture, DAG_ORDER_LOST), 1);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_START), 0);
    assert_int_equal (count_cmds (&fixture, DAG_CMD_STOP), 0);
    report_inventory (&fixture, cases[i].running, 1, 10);
    if (count_cmds (&fixture, DAG_CMD_STOP) != cases[i].stops)
      fail_msg ("%s: %zu stops", cases[i].name, count_cmds (&fixture, DAG_CMD_STOP));
    assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).runs, 1);
    dag_free (fixture.dag);
  }
}

/* One target on which task 0 of step 0 of "job" runs. */
static Fixture
fixture_with_run (void)
{
  Fixture fixture = fixture_with_start ();
  DagTaskRef task = { gr_name ("job"), 0, 0 };
  dag_cmds_reset (fixture.dag);
  dag_handle_start_result (fixture.dag, &task, 1, DAG_ORDER_OK, fixture.now_ms, fixture.now_ms);
  return fixture;
}

/* Guards against renewing leases of a target that does not answer: its runs would never lapse. */
static void
unresponsive_targets_get_no_renewal (void **state)
{
  (void) state;
  Fixture fixture = fixture_with_run ();
  dag_tick (fixture.dag, fixture.now_ms);
  assert_int_equal (answer_holds (&fixture, false), 1);
  int leases = 0;
  for (int i = 0; i < 500; i++) {
    fixture.now_ms += 20;
    dag_tick (fixture.dag, fixture.now_ms);
    leases += answer_holds (&fixture, false);
  }
  assert_int_equal (leases, 0);
  /* After the first inventory, leases of an earlier term may last up to the maximum. Then the run
     is over and the task waits for another target. */
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).runs, 0);
  dag_free (fixture.dag);
}

/* Guards against a target that is never used again once its runs lapsed while it did not answer. */
static void
unresponsive_targets_get_holds_until_they_answer (void **state)
{
  (void) state;
  Fixture fixture = fixture_with_run ();
  for (int i = 0; i < 600; i++) {
    fixture.now_ms += 20;
    dag_tick (fixture.dag, fixture.now_ms);
    answer_holds (&fixture, false);
  }
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).runs, 0);
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).usable_targets, 0);
  for (int i = 0; i < 200; i++) {
    fixture.now_ms += 20;
    dag_tick (fixture.dag, fixture.now_ms);
    answer_holds (&fixture, true);
  }
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).usable_targets, 1);
  dag_free (fixture.dag);
}

/* Guards against ends of runs that go unnoticed for as long as a hold may take, when its answer is
   lost: another hold is sent as soon as the answer is overdue. A single lost answer must not take
   the target out of use, and a silent target must not get its leases renewed. */
static void
overdue_holds_are_repeated (void **state)
{
  (void) state;
  Fixture fixture = fixture_with_run ();
  dag_tick (fixture.dag, fixture.now_ms);
  DagCmd lost = dag_cmds (fixture.dag)->items[0];
  assert_int_equal (lost.type, DAG_CMD_HOLD);
  assert_true (lost.u.hold.wait_ms > 0);
  dag_cmds_reset (fixture.dag);
  int64_t sent_at = fixture.now_ms;
  while (count_cmds (&fixture, DAG_CMD_HOLD) == 0) {
    fixture.now_ms += 20;
    dag_tick (fixture.dag, fixture.now_ms);
    assert_true (fixture.now_ms - sent_at <= lost.u.hold.wait_ms + 250);
  }
  DagCmd repeat = dag_cmds (fixture.dag)->items[0];
  assert_int_equal (repeat.u.hold.wait_ms, 0);
  assert_int_equal (repeat.u.hold.lease_until, 0);
  dag_cmds_reset (fixture.dag);
  DagRunReport report = { .task = { gr_name ("job"), 0, 0 }, .run = 1, .percent = 10 };
  DagInventory inventory = { 1, fixture.now_ms, &report, 1, NULL, 0 };
  dag_handle_hold_result (fixture.dag, &repeat.target.target, repeat.u.hold.token, DAG_ORDER_OK,
                          &inventory, fixture.now_ms);
  dag_handle_hold_result (fixture.dag, &lost.target.target, lost.u.hold.token, DAG_ORDER_LOST, NULL,
                          fixture.now_ms);
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).usable_targets, 1);
  /* The next hold waits again: there is one, not a row of them. */
  fixture.now_ms += 20;
  dag_tick (fixture.dag, fixture.now_ms);
  assert_int_equal (count_cmds (&fixture, DAG_CMD_HOLD), 1);
  dag_free (fixture.dag);
}

/* Guards against jobs that are not shown as pending although none of their tasks has started: the
   target was gone when the start arrived. */
static void
jobs_are_pending_until_a_start_is_confirmed (void **state)
{
  (void) state;
  static const struct {
    DagOrderResult result; /* of the first start */
    bool listed;           /* by the inventory afterwards */
    int64_t pending;
    DagJobState state;
  } cases[] = { { DAG_ORDER_OK, false, 0, DAG_JOB_IN_PROGRESS },
                { DAG_ORDER_LOST, false, 1, DAG_JOB_QUEUED },
                { DAG_ORDER_LOST, true, 0, DAG_JOB_IN_PROGRESS },
                { DAG_ORDER_NO_ROOM, false, 1, DAG_JOB_QUEUED } };
  GrName queue = gr_name ("q");
  GrName id = gr_name ("job");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_start ();
    assert_int_equal (dag_pending (fixture.dag, &queue), 1);
    answer_start (&fixture, cases[i].result);
    if (cases[i].result == DAG_ORDER_LOST) {
      fixture.now_ms += 400;
      for (int n = 0; n < 2; n++)
        answer_start (&fixture, DAG_ORDER_LOST);
      report_inventory (&fixture, cases[i].listed, 1, 0);
    }
    assert_int_equal (dag_pending (fixture.dag, &queue), cases[i].pending);
    assert_int_equal (dag_status (fixture.dag, &id), cases[i].state);
    dag_free (fixture.dag);
  }
}

static void
jobs_are_withdrawn_only_before_their_record_is_taken (void **state)
{
  (void) state;
  for (int taken = 0; taken < 2; taken++) {
    Fixture fixture = new_fixture (false, 0, 0);
    DagStepSpec step = step_of (1, 1000, false);
    GrErr err = { 0 };
    GrName id = gr_name ("job");
    submit (&fixture, &step, 1, &err);
    if (taken)
      store (&fixture);
    assert_int_equal (dag_withdraw (fixture.dag, &id), !taken);
    assert_int_equal (dag_status (fixture.dag, &id), taken ? DAG_JOB_QUEUED : DAG_JOB_UNKNOWN);
    dag_free (fixture.dag);
  }
}

/* Guards against memory that is used after a job was freed: a cancellation arrives while the
   deletion of a job, which ended long ago, is being stored. */
static void
cancellations_of_dropped_jobs_find_no_job (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  DagStepSpec step = step_of (1, 1000, false);
  GrName id = gr_name ("job");
  submit (&fixture, &step, 1, NULL);
  store (&fixture);
  assert_int_equal (dag_cancel (fixture.dag, &id, 2, fixture.now_ms), DAG_CANCEL_PENDING);
  store (&fixture);
  fixture.now_ms += 70000;
  dag_tick (fixture.dag, fixture.now_ms);
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (fixture.dag, &records);
  assert_int_not_equal (batch, 0);
  dag_records_clear (&records);
  assert_int_equal (dag_cancel (fixture.dag, &id, 3, fixture.now_ms), DAG_CANCEL_DROPPED);
  dag_stored (fixture.dag, batch, fixture.now_ms);
  store (&fixture);
  assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).jobs, 0);
  dag_free (fixture.dag);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_submissions_are_refused),
    cmocka_unit_test (first_call_for_advice_names_enough_targets),
    cmocka_unit_test (answers_to_an_earlier_term_are_ignored),
    cmocka_unit_test (wide_gangs_get_advice_on_enough_targets),
    cmocka_unit_test (gang_starts_on_targets_that_it_did_not_reserve),
    cmocka_unit_test (starts_leave_before_their_ticket_expires),
    cmocka_unit_test (gangs_that_arrive_together_start_together),
    cmocka_unit_test (waiting_steps_do_not_all_ask_about_the_same_room),
    cmocka_unit_test (idle_targets_keep_their_assignments),
    cmocka_unit_test (lost_starts_are_repeated_before_they_are_stopped),
    cmocka_unit_test (inventory_decides_about_unanswered_starts),
    cmocka_unit_test (unresponsive_targets_get_no_renewal),
    cmocka_unit_test (unresponsive_targets_get_holds_until_they_answer),
    cmocka_unit_test (overdue_holds_are_repeated),
    cmocka_unit_test (cancellations_of_dropped_jobs_find_no_job),
    cmocka_unit_test (jobs_are_pending_until_a_start_is_confirmed),
    cmocka_unit_test (jobs_are_withdrawn_only_before_their_record_is_taken),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
