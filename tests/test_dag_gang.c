/* Gangs whose members fail: a run of a gang is one attempt. */
#include "dag_fixture.h"

#define MEMBERS 4
#define RECORDS_MAX 16
/* Attempts that the fixture's queue grants. */
#define ATTEMPTS 2

/* A gang on target t0, and the store of its scheduler. */
typedef struct {
  Fixture fixture;
  struct {
    GrBuf key, value;
  } records[RECORDS_MAX];
  size_t record_count;
  DagEnd ends[ATTEMPTS * MEMBERS];
  size_t end_count;
  int64_t run; /* of the gang; 0: none was started */
  size_t starts;
} Cell;

static void
keep_record (Cell *cell, const DagRecord *record)
{
  size_t at = 0;
  while (at < cell->record_count
         && !gr_str_equal (gr_buf_str (&cell->records[at].key), gr_buf_str (&record->key)))
    at++;
  assert_true (at < RECORDS_MAX);
  if (at == cell->record_count)
    gr_buf_append_str (&cell->records[cell->record_count++].key, gr_buf_str (&record->key));
  gr_buf_clear (&cell->records[at].value);
  gr_buf_append_str (&cell->records[at].value, gr_buf_str (&record->value));
}

static void
store_changes (Cell *cell)
{
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (cell->fixture.dag, &records);
  for (size_t i = 0; i < records.count; i++)
    keep_record (cell, &records.items[i]);
  dag_records_clear (&records);
  if (batch > 0)
    dag_stored (cell->fixture.dag, batch, cell->fixture.now_ms);
}

static void
answer_hold (Cell *cell, const DagCmd *cmd)
{
  DagInventory inventory = { .incarnation = 1,
                             .clock_ms = cell->fixture.now_ms,
                             .ends = cell->ends,
                             .end_count = cell->end_count };
  DagRunReport reports[MEMBERS];
  for (uint32_t i = 0; i < MEMBERS; i++) {
    bool ended = false;
    for (size_t e = 0; e < cell->end_count; e++)
      ended |= cell->ends[e].task.index == i && cell->ends[e].run == cell->run;
    if (!ended && cell->run > 0)
      reports[inventory.running_count++]
          = (DagRunReport){ .task = { gr_name ("job"), 0, i }, .run = cell->run, .usage = -1 };
  }
  inventory.running = reports;
  dag_handle_hold_result (cell->fixture.dag, &cmd->target.target, cmd->u.hold.token, DAG_ORDER_OK,
                          &inventory, cell->fixture.now_ms);
}

/* Lets a fifth of a second pass; starts and holds are answered, changes are stored. */
static void
run_cell (Cell *cell)
{
  for (int i = 0; i < 10; i++) {
    cell->fixture.now_ms += 20;
    dag_tick (cell->fixture.dag, cell->fixture.now_ms);
    store_changes (cell);
    DagCmd cmds[64];
    size_t count = take_cmds (cell->fixture.dag, cmds, 64);
    for (size_t c = 0; c < count; c++) {
      if (cmds[c].type == DAG_CMD_HOLD)
        answer_hold (cell, &cmds[c]);
      if (cmds[c].type != DAG_CMD_START)
        continue;
      cell->starts++;
      cell->run = cmds[c].u.start.run;
      dag_handle_start_result (cell->fixture.dag, &cmds[c].u.start.task, cell->run, DAG_ORDER_OK,
                               cell->fixture.now_ms, cell->fixture.now_ms);
    }
  }
}

static void
end_members (Cell *cell, uint32_t from, uint32_t to, DagEndKind kind)
{
  for (uint32_t i = from; i < to; i++) {
    assert_true (cell->end_count < ATTEMPTS * MEMBERS);
    cell->ends[cell->end_count++] = (DagEnd){ .number = (int64_t) cell->end_count + 1,
                                              .task = { gr_name ("job"), 0, i },
                                              .run = cell->run,
                                              .kind = kind };
  }
  run_cell (cell);
}

/* A scheduler of the next term recovers from the store. */
static void
take_over (Cell *cell)
{
  dag_free (cell->fixture.dag);
  int64_t now_ms = cell->fixture.now_ms;
  cell->fixture = new_fixture (false, 0, 0);
  cell->fixture.now_ms = now_ms;
  for (const char *kind = "jp"; *kind; kind++) {
    for (size_t i = 0; i < cell->record_count; i++) {
      if (cell->records[i].key.data[0] == *kind && cell->records[i].value.len > 0)
        assert_true (dag_load (cell->fixture.dag, gr_buf_str (&cell->records[i].key),
                               gr_buf_str (&cell->records[i].value), now_ms, NULL));
    }
  }
  DagTargetInfo info = target_info (0);
  dag_target_seen (cell->fixture.dag, &info, now_ms);
  dag_loaded (cell->fixture.dag, now_ms);
}

static Cell *
new_cell (void)
{
  Cell *cell = gr_calloc (1, sizeof *cell);
  cell->fixture = new_fixture (false, 0, 0);
  DagTargetInfo info = target_info (0);
  dag_target_seen (cell->fixture.dag, &info, cell->fixture.now_ms);
  DagStepSpec step = step_of (MEMBERS, 1000, true);
  submit (&cell->fixture, &step, 1, NULL);
  run_cell (cell);
  return cell;
}

static void
free_cell (Cell *cell)
{
  dag_free (cell->fixture.dag);
  for (size_t i = 0; i < cell->record_count; i++) {
    gr_buf_clear (&cell->records[i].key);
    gr_buf_clear (&cell->records[i].value);
  }
  free (cell);
}

typedef struct {
  const char *name;
  uint32_t together[ATTEMPTS]; /* members that fail in each run and are reported together */
  uint32_t later[ATTEMPTS];    /* members that fail in that run and are reported later */
  bool takeover;               /* between these reports the scheduler changes */
  size_t runs;
  DagJobState state;
} Case;

/* clang-format off */
static const Case cases[] = {
  { "one member fails", { 1 }, { 0 }, false, 2, DAG_JOB_IN_PROGRESS },
  { "two members fail", { 2 }, { 0 }, false, 2, DAG_JOB_IN_PROGRESS },
  { "all members fail", { 4 }, { 0 }, false, 2, DAG_JOB_IN_PROGRESS },
  { "another member fails a moment later", { 1 }, { 1 }, false, 2, DAG_JOB_IN_PROGRESS },
  { "the next scheduler learns of another one", { 1 }, { 1 }, true, 2, DAG_JOB_IN_PROGRESS },
  { "the next scheduler learns of all", { 0 }, { 3 }, true, 2, DAG_JOB_IN_PROGRESS },
  { "one member fails in each run", { 1, 1 }, { 0 }, false, 2, DAG_JOB_FAILED },
  { "members fail in each run", { 2, 1 }, { 1, 2 }, false, 2, DAG_JOB_FAILED },
  { "the same with changes of scheduler", { 1, 2 }, { 1, 1 }, true, 2, DAG_JOB_FAILED },
};
/* clang-format on */

static bool
check_case (const Case *test)
{
  Cell *cell = new_cell ();
  for (int r = 0; r < ATTEMPTS && test->together[r] + test->later[r] > 0; r++) {
    uint32_t failed = test->together[r] + test->later[r];
    end_members (cell, 0, test->together[r], DAG_END_FAILED);
    if (test->takeover)
      take_over (cell);
    end_members (cell, test->together[r], failed, DAG_END_FAILED);
    end_members (cell, failed, MEMBERS, DAG_END_BROKEN);
    run_cell (cell);
  }
  GrName id = gr_name ("job");
  DagJobState state = dag_status (cell->fixture.dag, &id);
  bool ok = state == test->state && cell->starts == test->runs * MEMBERS;
  print_message ("%-45s %s: %zu starts, %s\n", test->name, ok ? "ok" : "FAILED", cell->starts,
                 dag_job_state_name (state));
  free_cell (cell);
  return ok;
}

/* Guards against a gang that is given up after one run in which several of its members failed. */
static void
a_run_of_a_gang_is_one_attempt (void **state)
{
  (void) state;
  bool ok = true;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ok &= check_case (&cases[i]);
  assert_true (ok);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_run_of_a_gang_is_one_attempt),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
