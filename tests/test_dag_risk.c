/* Where tasks start after targets have fallen silent or crashed under starts of their queue. */
#include "dag/dag_priv.h"
#include "dag_fixture.h"

#define TARGETS 4
#define RUNS_MAX 16
#define STEP_MS 20
/* Time after which a silent target has failed several holds; shorter than the leases. */
#define SILENCE_MS 1500
/* Targets whose answers show that there is no outage. */
#define ANSWERING_TARGETS 40

/* A run that its target lists until the target crashes. */
typedef struct {
  DagTaskRef task;
  int64_t run;
  int target;
} Run;

typedef struct {
  Fixture fixture;
  Run runs[RUNS_MAX];
  int run_count;
  bool silent[TARGETS];
  int64_t incarnation[TARGETS];
  int last_started; /* target of the newest start */
} Cell;

static int
target_number (const GrName *id)
{
  return id->data[1] - '0';
}

static void
report_target (Cell *cell, int number)
{
  DagTargetInfo info = target_info (number);
  info.incarnation = cell->incarnation[number];
  info.rack = gr_name_format ("r%d", number);
  dag_target_seen (cell->fixture.dag, &info, cell->fixture.now_ms);
}

static void
answer_hold (Cell *cell, const DagCmd *cmd)
{
  int number = target_number (&cmd->target.target);
  int64_t now_ms = cell->fixture.now_ms;
  DagRunReport reports[RUNS_MAX];
  DagInventory inventory
      = { .incarnation = cell->incarnation[number], .clock_ms = now_ms, .running = reports };
  for (int i = 0; i < cell->run_count; i++) {
    if (cell->runs[i].target == number)
      reports[inventory.running_count++]
          = (DagRunReport){ .task = cell->runs[i].task,
                            .run = cell->runs[i].run,
                            .percent = (int32_t) (now_ms / STEP_MS % 99) };
  }
  bool answers = !cell->silent[number];
  dag_handle_hold_result (cell->fixture.dag, &cmd->target.target, cmd->u.hold.token,
                          answers ? DAG_ORDER_OK : DAG_ORDER_LOST, answers ? &inventory : NULL,
                          now_ms);
}

static void
answer_orders (Cell *cell)
{
  DagCmd cmds[64];
  size_t count = take_cmds (cell->fixture.dag, cmds, 64);
  for (size_t i = 0; i < count; i++) {
    if (cmds[i].type == DAG_CMD_HOLD)
      answer_hold (cell, &cmds[i]);
    if (cmds[i].type != DAG_CMD_START)
      continue;
    assert_true (cell->run_count < RUNS_MAX);
    cell->last_started = target_number (&cmds[i].target.target);
    cell->runs[cell->run_count++]
        = (Run){ cmds[i].u.start.task, cmds[i].u.start.run, cell->last_started };
    dag_handle_start_result (cell->fixture.dag, &cmds[i].u.start.task, cmds[i].u.start.run,
                             DAG_ORDER_OK, cell->fixture.now_ms, cell->fixture.now_ms);
  }
}

static void
pass_time (Cell *cell, int64_t duration_ms)
{
  for (int64_t end = cell->fixture.now_ms + duration_ms; cell->fixture.now_ms < end;) {
    cell->fixture.now_ms += STEP_MS;
    dag_tick (cell->fixture.dag, cell->fixture.now_ms);
    store (&cell->fixture);
    answer_orders (cell);
  }
}

/* Submits a job with one task and returns the target on which it starts. data_at is the target near
   its data; -1: none. */
static int
start_job (Cell *cell, const char *id, int32_t cpu, int data_at)
{
  DagStepSpec step = step_of (1, cpu, false);
  if (data_at >= 0)
    step.near_rack = gr_name_format ("r%d", data_at);
  cell->last_started = -1;
  assert_int_equal (submit_as (&cell->fixture, id, &step, 1, NULL), DAG_SUBMIT_PENDING);
  pass_time (cell, 2 * STEP_MS);
  assert_in_range (cell->last_started, 0, TARGETS - 1);
  return cell->last_started;
}

static void
crash_target (Cell *cell, int number)
{
  int kept = 0;
  for (int i = 0; i < cell->run_count; i++) {
    if (cell->runs[i].target != number)
      cell->runs[kept++] = cell->runs[i];
  }
  cell->run_count = kept;
  cell->incarnation[number]++;
}

typedef enum {
  NOTHING,
  STARTS_CRASH,             /* each start crashes its target */
  STARTS_SILENCE,           /* each start silences its target for a time */
  CRASHES_ELSEWHERE,        /* targets without starts crash */
  ALL_SILENT_AFTER_A_START, /* an outage begins with each start */
  ALL_CRASH_AFTER_A_START
} Trouble;

/* Brings about the trouble once. The job that starts meanwhile is cancelled in the end. */
static void
cause_trouble (Cell *cell, Trouble trouble, int number)
{
  GrName id = gr_name_format ("c%d", number);
  int target = start_job (cell, id.data, 1000, -1);
  bool all = trouble == ALL_SILENT_AFTER_A_START || trouble == ALL_CRASH_AFTER_A_START;
  bool crashes = trouble == STARTS_CRASH || trouble == CRASHES_ELSEWHERE
                 || trouble == ALL_CRASH_AFTER_A_START;
  if (trouble == CRASHES_ELSEWHERE) {
    pass_time (cell, SILENCE_MS);
    target = (target + 1) % TARGETS;
  }
  for (int t = 0; t < TARGETS; t++) {
    cell->silent[t] = all || (trouble != NOTHING && t == target);
    if (crashes && cell->silent[t])
      crash_target (cell, t);
  }
  pass_time (cell, SILENCE_MS);
  memset (cell->silent, 0, sizeof cell->silent);
  for (int t = 0; t < TARGETS; t++)
    report_target (cell, t);
  dag_cancel (cell->fixture.dag, &id, 1, cell->fixture.now_ms);
  for (int i = cell->run_count; i-- > 0;) {
    if (gr_name_equal (&cell->runs[i].task.job, &id))
      cell->runs[i] = cell->runs[--cell->run_count];
  }
  pass_time (cell, SILENCE_MS);
}

static Cell
new_cell (void)
{
  Cell cell = { .fixture = new_fixture (false, 0, 0) };
  for (int t = 0; t < TARGETS; t++) {
    cell.incarnation[t] = 1;
    report_target (&cell, t);
  }
  answer_orders (&cell);
  /* Each target runs something, so that its silence is noticed. */
  DagStepSpec step = step_of (TARGETS, 20000, false);
  step.estimate_ms = 60000;
  assert_int_equal (submit_as (&cell.fixture, "base", &step, 1, NULL), DAG_SUBMIT_PENDING);
  pass_time (&cell, SILENCE_MS);
  return cell;
}

/* Guards against neighbours that are lost with each task of a queue that crashes its targets, and
   against a queue that is blamed for an outage or for crashes of other targets, or whose tasks run
   far from their data. */
static void
tasks_of_crash_prone_queues_start_where_little_is_lost (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    Trouble trouble;
    bool data_there;    /* the next task has its data near the target in use */
    bool beside_others; /* it starts on the target in use, which is the best fit */
  } cases[] = {
    { "nothing happened", NOTHING, false, true },
    { "starts crash their targets", STARTS_CRASH, false, false },
    { "starts crash their targets, data near one", STARTS_CRASH, true, true },
    { "starts silence their targets for a time", STARTS_SILENCE, false, true },
    { "other targets crash", CRASHES_ELSEWHERE, false, true },
    { "an outage begins with each start", ALL_SILENT_AFTER_A_START, false, true },
    { "all targets crash after each start", ALL_CRASH_AFTER_A_START, false, true },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Cell cell = new_cell ();
    for (int n = 0; n < 2; n++)
      cause_trouble (&cell, cases[i].trouble, n);
    int in_use = start_job (&cell, "long", 8000, -1);
    int chosen = start_job (&cell, "short", 1000, cases[i].data_there ? in_use : -1);
    print_message ("%s: target in use %d, chosen %d\n", cases[i].name, in_use, chosen);
    assert_int_equal (chosen == in_use, cases[i].beside_others);
    dag_free (cell.fixture.dag);
  }
}

/* Share of the time in which the queue counts as crash-prone, after the first two seconds. */
static double
crash_prone_share (DagState *dag, int starts_per_s, int starts_per_crash)
{
  GrName queue = gr_name_format ("q%d-%d", starts_per_s, starts_per_crash);
  DagJob job = { .stats = dag_queue_stats (dag, &queue) };
  DagStep step = { .job = &job };
  int64_t begin = 100000;
  int counted = 0, crash_prone = 0;
  for (int n = 1; n <= 12 * starts_per_s; n++) {
    int64_t now_ms = begin + (int64_t) n * 1000 / starts_per_s;
    DagTask task = { .step = &step, .state = TASK_RUNNING, .confirmed_clock_ms = 1 };
    DagTarget target = { .runs = &task, .run_count = 1, .clock_ms = 1 };
    task.target = &target;
    dag_risk_note_start (dag, &task, now_ms);
    /* At irregular intervals. */
    uint32_t random = (uint32_t) n * 2654435761U >> 12;
    if (starts_per_crash > 0 && random % (uint32_t) starts_per_crash == 0)
      dag_risk_note_silence (dag, &target, true, now_ms);
    if (now_ms < begin + 2000)
      continue;
    counted++;
    crash_prone += job.stats->crash_prone;
  }
  return (double) crash_prone / counted;
}

/* Guards against a queue with many starts that is forgotten between two of its crashes, and against
   one that is blamed for rare crashes. */
static void
crashes_are_remembered_at_any_rate_of_starts (void **state)
{
  (void) state;
  static const struct {
    int starts_per_s, starts_per_crash; /* 0: no crash */
    bool crash_prone;
  } cases[] = { { 10, 0, false },   { 10, 20, true },     { 70, 30, true },    { 500, 20, true },
                { 500, 50, true },  { 500, 100, true },   { 2000, 100, true }, { 500, 5000, false },
                { 2000, 0, false }, { 2000, 8000, false } };
  Fixture fixture = new_fixture (false, 0, 0);
  for (int t = 0; t < ANSWERING_TARGETS; t++) {
    DagTargetInfo info = target_info (t);
    dag_target_seen (fixture.dag, &info, fixture.now_ms);
  }
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    double share
        = crash_prone_share (fixture.dag, cases[i].starts_per_s, cases[i].starts_per_crash);
    print_message ("%d starts a second, a crash each %d: crash-prone for %.2f of the time\n",
                   cases[i].starts_per_s, cases[i].starts_per_crash, share);
    assert_true (cases[i].crash_prone ? share >= 0.95 : share <= 0.05);
  }
  dag_free (fixture.dag);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (tasks_of_crash_prone_queues_start_where_little_is_lost),
    cmocka_unit_test (crashes_are_remembered_at_any_rate_of_starts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
