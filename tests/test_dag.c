/* Step job scheduler: single cases; prop_dag covers schedules with faults. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "dag/dag.h"

#define TARGETS 48
#define LEASE_MS 4000

typedef struct {
  DagState *dag;
  int64_t now_ms;
  int64_t stored; /* batches stored */
} World;

static DagTargetInfo
target_info (int number)
{
  DagTargetInfo info = { .id = gr_name_format ("t%d", number),
                         .incarnation = 1,
                         .service = gr_name ("svc"),
                         .address = gr_name ("addr"),
                         .rack = gr_name_format ("r%d", number / 8) };
  info.capacity.v[GR_RES_CPU_MILLI] = 32000;
  info.capacity.v[GR_RES_MEMORY_MB] = 64000;
  return info;
}

static World
new_world (bool advised, double advice_ms, double per_target_ms)
{
  DagOptions options = { .lease_ms = LEASE_MS,
                         .lease_max_ms = 2 * LEASE_MS,
                         .stop_timeout_ms = 200,
                         .status_keep_ms = 60000,
                         .quiet = true };
  World world = { dag_new (&options, NULL), 100000, 0 };
  DagQueue queue = { .name = gr_name ("q"),
                     .service = gr_name ("svc"),
                     .max_attempts = 2,
                     .slack_factor = 2,
                     .target_latency_ms = 1000,
                     .advised = advised,
                     .advice_ms = advice_ms,
                     .advice_ms_per_target = per_target_ms,
                     .advice_valid_ms = 2500 };
  DagQueues queues = { &queue, 1 };
  dag_set_queues (world.dag, &queues, world.now_ms);
  dag_loaded (world.dag, world.now_ms);
  return world;
}

/* Answers all holds with an empty inventory, or not at all. */
static int
answer_holds (World *world, bool answer)
{
  int leases = 0;
  const DagCmds *cmds = dag_cmds (world->dag);
  size_t count = cmds->count;
  DagCmd *copy = gr_calloc (count ? count : 1, sizeof *copy);
  memcpy (copy, cmds->items, count * sizeof *copy);
  dag_cmds_reset (world->dag);
  for (size_t i = 0; i < count; i++) {
    if (copy[i].type != DAG_CMD_HOLD)
      continue;
    leases += copy[i].u.hold.lease_until > 0;
    DagInventory inventory = { .incarnation = 1, .clock_ms = world->now_ms };
    dag_handle_hold_result (world->dag, &copy[i].u.hold.target.target, copy[i].u.hold.token,
                            answer ? DAG_ORDER_OK : DAG_ORDER_LOST, answer ? &inventory : NULL,
                            world->now_ms);
  }
  free (copy);
  return leases;
}

static void
add_targets (World *world, int count)
{
  for (int i = 0; i < count; i++) {
    DagTargetInfo info = target_info (i);
    dag_target_seen (world->dag, &info, world->now_ms);
  }
  answer_holds (world, true);
}

static DagSubmitResult
submit_as (World *world, const char *id, const DagStepSpec *steps, size_t count, GrErr *err)
{
  DagJobSpec spec = { .id = gr_name (id),
                      .queue = gr_name ("q"),
                      .payload = GR_STR ("work"),
                      .steps = steps,
                      .step_count = count };
  int64_t retry;
  return dag_submit (world->dag, &spec, 1, world->now_ms, &retry, err);
}

static DagSubmitResult
submit (World *world, const DagStepSpec *steps, size_t count, GrErr *err)
{
  return submit_as (world, "job", steps, count, err);
}

static void
store (World *world)
{
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (world->dag, &records);
  dag_records_clear (&records);
  if (batch > 0)
    dag_stored (world->dag, batch, world->now_ms);
}

static size_t
count_cmds (const World *world, DagCmdType type)
{
  size_t count = 0;
  for (size_t i = 0; i < dag_cmds (world->dag)->count; i++)
    count += dag_cmds (world->dag)->items[i].type == type;
  return count;
}

static DagStepSpec
step_of (int32_t count, int32_t cpu, bool gang)
{
  DagStepSpec step = { .count = count, .estimate_ms = 1000, .gang = gang };
  step.demand.v[GR_RES_CPU_MILLI] = cpu;
  return step;
}

static void
refuses_bad_submissions (void **state)
{
  (void) state;
  DagStepSpec good = step_of (1, 1000, false);
  DagStepSpec empty = step_of (0, 1000, false);
  DagStepSpec negative = step_of (1, -1, false);
  DagStepSpec forward = good;
  forward.depends_on = 1;
  DagStepSpec endless = good;
  endless.estimate_ms = INT64_MAX;
  DagStepSpec many = step_of (DAG_MAX_TASKS + 1, 1, false);
  const struct {
    const DagStepSpec *step;
    size_t count;
    DagSubmitResult result;
    GrErrCode code;
  } cases[] = { { &good, 1, DAG_SUBMIT_PENDING, GR_ERR_NONE },
                { &good, 0, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &empty, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &negative, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &forward, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &endless, 1, DAG_SUBMIT_INVALID, GR_ERR_INVALID },
                { &many, 1, DAG_SUBMIT_INVALID, GR_ERR_TOO_LARGE } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (false, 0, 0);
    GrErr err = { 0 };
    assert_int_equal (submit (&world, cases[i].step, cases[i].count, &err), cases[i].result);
    assert_int_equal (err.code, cases[i].code);
    dag_free (world.dag);
  }
}

/* Load pattern: gangs whose placement advice is slow and whose targets are mostly not allowed. A
   first call that names few targets makes the gang ask again until its tickets expire. */
static void
first_call_for_advice_names_enough_targets (void **state)
{
  (void) state;
  static const struct {
    double fixed_ms, per_target_ms;
    size_t least;
  } cases[] = { { 410, 5.9, 34 }, { 53, 0.75, 35 }, { 9.3, 0.13, 35 }, { 10, 10, 10 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (true, cases[i].fixed_ms, cases[i].per_target_ms);
    add_targets (&world, TARGETS);
    DagStepSpec gang = step_of (5, 9000, true);
    GrErr err = { 0 };
    assert_int_equal (submit (&world, &gang, 1, &err), DAG_SUBMIT_PENDING);
    dag_tick (world.dag, world.now_ms);
    size_t named = 0;
    for (size_t c = 0; c < dag_cmds (world.dag)->count; c++) {
      const DagCmd *cmd = &dag_cmds (world.dag)->items[c];
      if (cmd->type == DAG_CMD_ADVISE)
        named += cmd->u.advise.count; /* one round may consist of several calls */
    }
    assert_true (named >= cases[i].least);
    dag_free (world.dag);
  }
}

/* An answer of the simulated advice service that is under way. */
typedef struct {
  int64_t due;
  GrName job;
  int64_t token;
  DagAllowed *allowed;
  size_t count;
} Answer;

/* Takes the calls for advice among the commands; the service allows one target in three. */
static size_t
take_asks (World *world, Answer *answers, size_t count)
{
  const DagCmds *cmds = dag_cmds (world->dag);
  for (size_t c = 0; c < cmds->count; c++) {
    const DagCmd *cmd = &cmds->items[c];
    if (cmd->type != DAG_CMD_ADVISE)
      continue;
    Answer answer = { .due = world->now_ms + cmd->u.advise.expected_ms,
                      .job = cmd->u.advise.job,
                      .token = cmd->u.advise.token };
    answer.allowed = gr_calloc (cmd->u.advise.count, sizeof *answer.allowed);
    for (size_t i = 0; i < cmd->u.advise.count; i++) {
      if (atoi (cmd->u.advise.targets[i].data + 1) % 3 == 0)
        answer.allowed[answer.count++].target = cmd->u.advise.targets[i];
    }
    answers[count++] = answer;
  }
  dag_cmds_reset (world->dag);
  return count;
}

static size_t
give_advice (World *world, Answer *answers, size_t count)
{
  size_t open = 0;
  for (size_t i = 0; i < count; i++) {
    Answer answer = answers[i];
    if (answer.due > world->now_ms) {
      answers[open++] = answer;
      continue;
    }
    dag_handle_advice (world->dag, &answer.job, 0, answer.token, true, answer.allowed, answer.count,
                       0, world->now_ms);
    free (answer.allowed);
  }
  return open;
}

/* Load pattern: a gang that needs a large share of the targets it is allowed on, on an idle cell.
   One call names a hundred targets at most; asked one after the other, the first tickets expire
   before the last targets are known, and the gang never starts. */
static void
wide_gangs_learn_enough_targets_at_once (void **state)
{
  (void) state;
  static const struct {
    int32_t width;
    int32_t cpu;
  } cases[] = { { 8, 9000 }, { 60, 15000 }, { 120, 15000 }, { 150, 10000 } };
  enum {
    WIDE_TARGETS = 350,
    ANSWERS_MAX = 64
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (true, 440, 6.4);
    add_targets (&world, WIDE_TARGETS);
    DagStepSpec gang = step_of (cases[i].width, cases[i].cpu, true);
    GrErr err = { 0 };
    submit (&world, &gang, 1, &err);
    Answer answers[ANSWERS_MAX];
    size_t open = 0;
    int64_t deadline = world.now_ms + 2500;
    DagCounts counts = dag_counts (world.dag, world.now_ms);
    while (counts.runs == 0 && world.now_ms < deadline) {
      dag_tick (world.dag, world.now_ms);
      open = take_asks (&world, answers, open);
      assert_true (open < ANSWERS_MAX / 2);
      world.now_ms += 20;
      open = give_advice (&world, answers, open);
      counts = dag_counts (world.dag, world.now_ms);
    }
    assert_int_equal (counts.runs, cases[i].width);
    world.now_ms += 60000;
    give_advice (&world, answers, open);
    dag_free (world.dag);
  }
}

/* Load pattern: gangs that arrive together on a cell with room for all of them. Each names the same
   targets with the most room; where a call names just enough, the first gang takes the room and the
   others have asked in vain. */
static void
gangs_that_arrive_together_start_together (void **state)
{
  (void) state;
  enum {
    CELL_TARGETS = 350,
    GANGS = 12,
    WIDTH = 20,
    ANSWERS_MAX = 128
  };
  World world = new_world (true, 440, 6.4);
  add_targets (&world, CELL_TARGETS);
  DagStepSpec gang = step_of (WIDTH, 9000, true);
  for (int i = 0; i < GANGS; i++) {
    GrErr err = { 0 };
    char id[16];
    snprintf (id, sizeof id, "job%d", i);
    submit_as (&world, id, &gang, 1, &err);
  }
  Answer answers[ANSWERS_MAX];
  size_t open = 0;
  /* Two calls that name a hundred targets each take 2.2 s. */
  int64_t deadline = world.now_ms + 2500;
  DagCounts counts = dag_counts (world.dag, world.now_ms);
  while (counts.runs < GANGS * WIDTH && world.now_ms < deadline) {
    dag_tick (world.dag, world.now_ms);
    open = take_asks (&world, answers, open);
    assert_true (open < ANSWERS_MAX / 2);
    world.now_ms += 20;
    open = give_advice (&world, answers, open);
    counts = dag_counts (world.dag, world.now_ms);
  }
  assert_int_equal (counts.runs, GANGS * WIDTH);
  world.now_ms += 60000;
  give_advice (&world, answers, open);
  dag_free (world.dag);
}

/* Load pattern: a long queue of bulk work on a nearly full cell. If every waiting step asks about
   the little room that is left, the lanes are busy with calls of which one can succeed. */
static void
waiting_steps_do_not_all_ask_about_the_same_room (void **state)
{
  (void) state;
  World world = new_world (true, 53, 0.75);
  add_targets (&world, 1);
  DagStepSpec step = step_of (4, 8000, false);
  for (int i = 0; i < 50; i++) {
    GrErr err = { 0 };
    GrName id = gr_name_format ("job%d", i);
    char text[16] = { 0 };
    memcpy (text, id.data, id.len);
    submit_as (&world, text, &step, 1, &err);
  }
  dag_tick (world.dag, world.now_ms);
  size_t asks = count_cmds (&world, DAG_CMD_ADVISE);
  assert_in_range (asks, 1, 3);
  dag_free (world.dag);
}

/* Guards against dropping tasks assigned to an idle target whose last lease is long over. */
static void
idle_targets_keep_their_assignments (void **state)
{
  (void) state;
  World world = new_world (false, 0, 0);
  add_targets (&world, 2);
  world.now_ms += 60000;
  DagStepSpec gang = step_of (4, 9000, true);
  GrErr err = { 0 };
  submit (&world, &gang, 1, &err);
  dag_tick (world.dag, world.now_ms);
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (world.dag, &records);
  dag_records_clear (&records);
  world.now_ms += 30;
  dag_tick (world.dag, world.now_ms);
  assert_int_equal (count_cmds (&world, DAG_CMD_START), 0);
  dag_stored (world.dag, batch, world.now_ms);
  assert_int_equal (count_cmds (&world, DAG_CMD_START), 4);
  dag_free (world.dag);
}

/* One target to which the start of task 0 of step 0 of "job" is about to be sent. */
static World
world_with_open_start (void)
{
  World world = new_world (false, 0, 0);
  add_targets (&world, 1);
  DagStepSpec step = step_of (1, 1000, false);
  GrErr err = { 0 };
  submit (&world, &step, 1, &err);
  dag_tick (world.dag, world.now_ms);
  store (&world);
  return world;
}

/* Answers the first open start with the result; returns how many starts were open. */
static size_t
answer_start (World *world, DagOrderResult result)
{
  size_t starts = count_cmds (world, DAG_CMD_START);
  DagCmd first = { 0 };
  for (size_t i = 0; i < dag_cmds (world->dag)->count && first.type != DAG_CMD_START; i++)
    first = dag_cmds (world->dag)->items[i];
  dag_cmds_reset (world->dag);
  if (starts > 0)
    dag_handle_start_result (world->dag, &first.u.start.task, first.u.start.run, result, 0,
                             world->now_ms);
  return starts;
}

/* Fault: one start in twenty has no answer and may be carried out seconds later. Guards against
   gangs that are stopped as a whole for one lost answer, and against taking the answer to a
   repeated order as proof that the first one did nothing. */
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
    { "never answered", { DAG_ORDER_LOST, DAG_ORDER_LOST, DAG_ORDER_LOST }, 3, 1 },
    { "ticket expired meanwhile", { DAG_ORDER_LOST, DAG_ORDER_NO_TICKET }, 2, 1 },
    { "no room for the repeat", { DAG_ORDER_LOST, DAG_ORDER_NO_ROOM }, 2, 1 },
    { "no room at first", { DAG_ORDER_NO_ROOM }, 1, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = world_with_open_start ();
    for (size_t a = 0; a < cases[i].count; a++) {
      if (answer_start (&world, cases[i].answers[a]) != 1)
        fail_msg ("%s: no start before answer %zu", cases[i].name, a);
    }
    assert_int_equal (count_cmds (&world, DAG_CMD_START), 0);
    if (count_cmds (&world, DAG_CMD_STOP) != cases[i].stops)
      fail_msg ("%s: %zu stops", cases[i].name, count_cmds (&world, DAG_CMD_STOP));
    dag_free (world.dag);
  }
}

/* Guards against leases that are renewed for a target that never answers. */
static void
silent_targets_get_no_new_lease (void **state)
{
  (void) state;
  World world = world_with_open_start ();
  DagTaskRef task = { gr_name ("job"), 0, 0 };
  dag_cmds_reset (world.dag);
  dag_handle_start_result (world.dag, &task, 1, DAG_ORDER_OK, world.now_ms, world.now_ms);
  dag_tick (world.dag, world.now_ms);
  assert_int_equal (answer_holds (&world, false), 1);
  int leases = 0;
  for (int i = 0; i < 500; i++) {
    world.now_ms += 20;
    dag_tick (world.dag, world.now_ms);
    leases += answer_holds (&world, false);
  }
  assert_int_equal (leases, 0);
  /* The first inventory allows for leases of an earlier term. After the longest one the run counts
   * as over, and the task waits for another target. */
  assert_int_equal (dag_counts (world.dag, world.now_ms).runs, 0);
  dag_free (world.dag);
}

/* Guards against a target that stays out of use for good after its runs lapsed in a silence. */
static void
silent_targets_are_asked_until_they_answer (void **state)
{
  (void) state;
  World world = world_with_open_start ();
  DagTaskRef task = { gr_name ("job"), 0, 0 };
  dag_handle_start_result (world.dag, &task, 1, DAG_ORDER_OK, world.now_ms, world.now_ms);
  for (int i = 0; i < 600; i++) {
    world.now_ms += 20;
    dag_tick (world.dag, world.now_ms);
    answer_holds (&world, false);
  }
  assert_int_equal (dag_counts (world.dag, world.now_ms).runs, 0);
  assert_int_equal (dag_counts (world.dag, world.now_ms).usable_targets, 0);
  for (int i = 0; i < 200; i++) {
    world.now_ms += 20;
    dag_tick (world.dag, world.now_ms);
    answer_holds (&world, true);
  }
  assert_int_equal (dag_counts (world.dag, world.now_ms).usable_targets, 1);
  dag_free (world.dag);
}

static void
withdraws_only_what_was_not_handed_out (void **state)
{
  (void) state;
  for (int handed_out = 0; handed_out < 2; handed_out++) {
    World world = new_world (false, 0, 0);
    DagStepSpec step = step_of (1, 1000, false);
    GrErr err = { 0 };
    GrName id = gr_name ("job");
    submit (&world, &step, 1, &err);
    if (handed_out)
      store (&world);
    assert_int_equal (dag_withdraw (world.dag, &id), !handed_out);
    assert_int_equal (dag_status (world.dag, &id), handed_out ? DAG_JOB_QUEUED : DAG_JOB_UNKNOWN);
    dag_free (world.dag);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (refuses_bad_submissions),
    cmocka_unit_test (first_call_for_advice_names_enough_targets),
    cmocka_unit_test (wide_gangs_learn_enough_targets_at_once),
    cmocka_unit_test (gangs_that_arrive_together_start_together),
    cmocka_unit_test (waiting_steps_do_not_all_ask_about_the_same_room),
    cmocka_unit_test (idle_targets_keep_their_assignments),
    cmocka_unit_test (lost_starts_are_repeated_before_they_are_stopped),
    cmocka_unit_test (silent_targets_get_no_new_lease),
    cmocka_unit_test (silent_targets_are_asked_until_they_answer),
    cmocka_unit_test (withdraws_only_what_was_not_handed_out),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
