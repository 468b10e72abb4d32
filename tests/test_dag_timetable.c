/* Unit tests of jobs with a timetable: when occurrences start, what ends the job, and recovery. */
#include "dag_fixture.h"

#define UNIX_OFFSET_MS 1700000000000
#define RECORDS_MAX 64
/* Time from a stop to the end of the run. */
#define STOP_MS 1500

/* The durable store of the tests: newest value of each key. */
typedef struct {
  struct {
    GrBuf key, value;
  } records[RECORDS_MAX];
  size_t count;
} Store;

/* One target that runs everything for run_ms, and the store. */
typedef struct {
  DagState *dag;
  int64_t now_ms;
  Store store;
  struct {
    DagTaskRef task;
    int64_t run;
    int64_t ends_at;
    bool stopping;
  } runs[32];
  size_t run_count;
  DagEnd ends[64]; /* not acknowledged yet */
  size_t end_count;
  int64_t next_end;
  int64_t run_ms;
  DagEndKind end_kind;
  size_t starts;
  int64_t started_at[32]; /* by order of the starts */
  size_t stops;
} World;

static void
put (Store *store, const DagRecord *record)
{
  size_t at = 0;
  while (at < store->count
         && !gr_str_equal (gr_buf_str (&store->records[at].key), gr_buf_str (&record->key)))
    at++;
  if (at == store->count) {
    assert_true (store->count < RECORDS_MAX);
    gr_buf_append_str (&store->records[store->count++].key, gr_buf_str (&record->key));
  }
  store->records[at].value.len = 0;
  gr_buf_append_str (&store->records[at].value, gr_buf_str (&record->value));
}

static void
clear_store (Store *store)
{
  for (size_t i = 0; i < store->count; i++) {
    gr_buf_clear (&store->records[i].key);
    gr_buf_clear (&store->records[i].value);
  }
}

/* Starts a scheduler of the next term, which recovers from the store. */
static void
take_over (World *world)
{
  dag_free (world->dag);
  DagOptions options = { .lease_ms = 4000,
                         .lease_max_ms = 8000,
                         .stop_timeout_ms = 200,
                         .status_keep_ms = 60000,
                         .unix_offset_ms = UNIX_OFFSET_MS,
                         .former_leases_lapse_at_ms = world->now_ms + 4000,
                         .quiet = true };
  world->dag = dag_new (&options, NULL);
  DagQueue queue = { .name = gr_name ("q"), .service = gr_name ("svc"), .max_attempts = 1 };
  DagQueues queues = { &queue, 1 };
  dag_set_queues (world->dag, &queues, world->now_ms);
  for (int pass = 0; pass < 2; pass++) {
    for (size_t i = 0; i < world->store.count; i++) {
      GrStr key = gr_buf_str (&world->store.records[i].key);
      GrStr value = gr_buf_str (&world->store.records[i].value);
      if ((key.data[0] == 'j') == (pass == 0) && value.len > 0)
        assert_true (dag_load (world->dag, key, value, world->now_ms, NULL));
    }
  }
  DagTargetInfo info = target_info (0);
  dag_target_seen (world->dag, &info, world->now_ms);
  dag_loaded (world->dag, world->now_ms);
}

static void
hold (World *world, const DagCmd *cmd)
{
  while (world->end_count > 0 && world->ends[0].number <= cmd->u.hold.acknowledged)
    memmove (world->ends, world->ends + 1, --world->end_count * sizeof world->ends[0]);
  DagRunReport reports[32];
  for (size_t i = 0; i < world->run_count; i++)
    reports[i] = (DagRunReport){ .task = world->runs[i].task, .run = world->runs[i].run };
  DagInventory inventory
      = { 1, world->now_ms, reports, world->run_count, world->ends, world->end_count };
  dag_handle_hold_result (world->dag, &cmd->target.target, cmd->u.hold.token, DAG_ORDER_OK,
                          &inventory, world->now_ms);
}

static void
end_run (World *world, size_t at, DagEndKind kind)
{
  assert_true (world->end_count < 64);
  world->ends[world->end_count++] = (DagEnd){ .number = ++world->next_end,
                                              .task = world->runs[at].task,
                                              .run = world->runs[at].run,
                                              .kind = kind };
  world->runs[at] = world->runs[--world->run_count];
}

static void
carry_out (World *world, const DagCmd *cmd)
{
  switch (cmd->type) {
  case DAG_CMD_START:
    assert_true (world->run_count < 32 && world->starts < 32);
    world->runs[world->run_count].task = cmd->u.start.task;
    world->runs[world->run_count].run = cmd->u.start.run;
    world->runs[world->run_count].stopping = false;
    world->runs[world->run_count++].ends_at = world->now_ms + world->run_ms;
    world->started_at[world->starts++] = world->now_ms;
    dag_handle_start_result (world->dag, &cmd->u.start.task, cmd->u.start.run, DAG_ORDER_OK,
                             world->now_ms, world->now_ms);
    return;
  case DAG_CMD_STOP:
    world->stops++;
    for (size_t i = 0; i < world->run_count; i++) {
      if (gr_name_equal (&world->runs[i].task.job, &cmd->u.stop.task.job)
          && world->runs[i].task.index == cmd->u.stop.task.index && !world->runs[i].stopping) {
        world->runs[i].stopping = true;
        world->runs[i].ends_at = world->now_ms + STOP_MS;
      }
    }
    dag_handle_stop_result (world->dag, &cmd->u.stop.task, cmd->u.stop.run, DAG_ORDER_OK,
                            world->now_ms);
    return;
  case DAG_CMD_HOLD:
    hold (world, cmd);
    return;
  case DAG_CMD_PACE:
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    return;
  }
}

static void
pass_time (World *world, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 10) {
    world->now_ms += 10;
    for (size_t i = world->run_count; i-- > 0;) {
      if (world->now_ms >= world->runs[i].ends_at)
        end_run (world, i, world->runs[i].stopping ? DAG_END_STOPPED : world->end_kind);
    }
    dag_tick (world->dag, world->now_ms);
    DagRecords records = { 0 };
    int64_t batch = dag_take_batch (world->dag, &records);
    for (size_t i = 0; i < records.count; i++)
      put (&world->store, &records.items[i]);
    dag_records_clear (&records);
    if (batch > 0)
      dag_stored (world->dag, batch, world->now_ms);
    DagCmd cmds[64];
    size_t count = take_cmds (world->dag, cmds, 64);
    for (size_t i = 0; i < count; i++)
      carry_out (world, &cmds[i]);
  }
}

static World
new_world (int64_t run_ms)
{
  World world = { .now_ms = 100000, .run_ms = run_ms, .end_kind = DAG_END_DONE };
  take_over (&world);
  return world;
}

static void
free_world (World *world)
{
  dag_free (world->dag);
  clear_store (&world->store);
}

static DagSubmitResult
submit_timed (World *world, int32_t count, int64_t start_in_ms, int64_t interval_ms, int32_t tasks,
              GrErr *err)
{
  DagStepSpec step = step_of (tasks, 1000, false);
  DagJobSpec spec
      = { .id = gr_name ("job"),
          .queue = gr_name ("q"),
          .payload = GR_STR ("work"),
          .steps = &step,
          .step_count = 1,
          .timetable = { count, world->now_ms + UNIX_OFFSET_MS + start_in_ms, interval_ms } };
  int64_t retry;
  return dag_submit (world->dag, &spec, 1, world->now_ms, &retry, err);
}

static DagJobState
status (const World *world)
{
  GrName id = gr_name ("job");
  return dag_status (world->dag, &id);
}

/* Guards against occurrences that start early, late, not at all or twice, also if they overlap or
   were due before the submission. */
static void
occurrences_start_when_they_are_due (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int32_t count;
    int64_t start_in_ms, interval_ms, run_ms;
  } cases[] = { { "one after the other", 4, 1000, 1000, 200 },
                { "overlapping", 6, 500, 300, 1500 },
                { "all at the same time", 5, 700, 0, 300 },
                { "due before the submission", 3, -2000, 500, 100 },
                { "only one", 1, 1000, 0, 100 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (cases[i].run_ms);
    int64_t submitted_at = world.now_ms;
    assert_int_equal (
        submit_timed (&world, cases[i].count, cases[i].start_in_ms, cases[i].interval_ms, 1, NULL),
        DAG_SUBMIT_PENDING);
    pass_time (&world, 8000);
    if (world.starts != (size_t) cases[i].count)
      fail_msg ("%s: %zu starts", cases[i].name, world.starts);
    for (size_t k = 0; k < world.starts; k++) {
      int64_t due = submitted_at + cases[i].start_in_ms + (int64_t) k * cases[i].interval_ms;
      if (due < submitted_at)
        due = submitted_at;
      if (world.started_at[k] < due || world.started_at[k] > due + 150)
        fail_msg ("%s: occurrence %zu started %lld ms after its time", cases[i].name, k,
                  (long long) (world.started_at[k] - due));
    }
    assert_int_equal (status (&world), DAG_JOB_COMPLETED);
    free_world (&world);
  }
}

/* Guards against losing or repeating occurrences at a change of leader: those that are done stay
   done, running ones are adopted, and those that fell due meanwhile run late, once. */
static void
timetables_survive_changes_of_leader (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int64_t away_ms; /* time without a leader */
  } cases[] = { { "at once", 0 }, { "after an outage", 1500 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (700);
    submit_timed (&world, 8, 100, 400, 1, NULL);
    for (int change = 0; change < 5; change++) {
      pass_time (&world, 450);
      world.now_ms += cases[i].away_ms;
      take_over (&world);
      assert_int_not_equal (status (&world), DAG_JOB_UNKNOWN);
    }
    pass_time (&world, 8000);
    if (world.starts != 8)
      fail_msg ("%s: %zu starts", cases[i].name, world.starts);
    assert_int_equal (status (&world), DAG_JOB_COMPLETED);
    /* The state of the ended job stays known to the next leader, and nothing else is left. */
    take_over (&world);
    assert_int_equal (status (&world), DAG_JOB_COMPLETED);
    assert_int_equal (dag_counts (world.dag, world.now_ms).jobs, 1);
    free_world (&world);
  }
}

/* Guards against occurrences that go on after the job has failed or was cancelled, and against
   memory of an occurrence that is used after its record was dropped while runs were stopping. */
static void
ended_jobs_start_no_more_occurrences (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    bool cancel;
    DagEndKind kind;
    DagJobState state;
  } cases[] = { { "cancelled", true, DAG_END_DONE, DAG_JOB_CANCELLED },
                { "failed", false, DAG_END_FAILED, DAG_JOB_FAILED } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (600);
    world.end_kind = cases[i].kind;
    submit_timed (&world, 10, 0, 500, 3, NULL);
    pass_time (&world, 550);
    if (cases[i].cancel) {
      GrName id = gr_name ("job");
      assert_int_equal (dag_cancel (world.dag, &id, 2, world.now_ms), DAG_CANCEL_PENDING);
    }
    pass_time (&world, 200);
    size_t starts = world.starts;
    pass_time (&world, 7000);
    if (world.starts != starts || world.run_count != 0)
      fail_msg ("%s: %zu starts more, %zu runs left", cases[i].name, world.starts - starts,
                world.run_count);
    assert_int_equal (status (&world), cases[i].state);
    DagCounts counts = dag_counts (world.dag, world.now_ms);
    assert_int_equal (counts.jobs, 1);
    assert_int_equal (counts.open_jobs, 0);
    assert_int_equal (counts.runs, 0);
    free_world (&world);
  }
}

static void
invalid_timetables_are_refused (void **state)
{
  (void) state;
  static const struct {
    int32_t count;
    int64_t start_in_ms, interval_ms;
    const char *field; /* NULL: accepted */
  } cases[]
      = { { DAG_MAX_OCCURRENCES, 0, 1, NULL }, { DAG_MAX_OCCURRENCES + 1, 0, 1, "occurrences" },
          { -1, 0, 1, "occurrences" },         { 2, INT64_MIN / 2, 1, "start_at" },
          { 2, INT64_MAX / 2, 1, "start_at" }, { 2, 0, -1, "interval" },
          { 2, 0, INT64_MAX, "interval" } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    World world = new_world (100);
    GrErr err = { 0 };
    DagSubmitResult result = submit_timed (&world, cases[i].count, cases[i].start_in_ms,
                                           cases[i].interval_ms, 1, &err);
    assert_int_equal (result, cases[i].field ? DAG_SUBMIT_INVALID : DAG_SUBMIT_PENDING);
    if (cases[i].field)
      assert_true (gr_str_equal (gr_name_str (&err.field), gr_str_from_c (cases[i].field)));
    free_world (&world);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (occurrences_start_when_they_are_due),
    cmocka_unit_test (timetables_survive_changes_of_leader),
    cmocka_unit_test (ended_jobs_start_no_more_occurrences),
    cmocka_unit_test (invalid_timetables_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
