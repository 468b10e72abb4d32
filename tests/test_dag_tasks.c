/* States of tasks: which exist, and what a record of them gives after a takeover. */
#include <malloc.h>

#include "dag/dag_priv.h"
#include "dag_fixture.h"

#define TASKS 6
#define RUN 7
#define FAILURES 1

/* Jobs of the most tasks that one may have, and what each waiting task may take at most. */
#define WIDE_JOBS 100
#define WAITING_TASK_BYTES_MAX 4

static size_t
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

/* Guards against jobs whose tasks take memory from their acceptance on: a caller hands in millions
   of tasks that wait for months. */
static void
test_waiting_tasks_take_no_memory (void **state)
{
  (void) state;
  Fixture fixture = new_fixture (false, 0, 0);
  DagStepSpec step = step_of (DAG_MAX_TASKS, 1000, false);
  size_t before = bytes_in_use ();
  for (int i = 0; i < WIDE_JOBS; i++) {
    GrName id = gr_name_format ("job%d", i);
    GrErr err = { 0 };
    assert_int_equal (submit_as (&fixture, id.data, &step, 1, &err), DAG_SUBMIT_PENDING);
  }
  size_t bytes = bytes_in_use () - before;
  assert_true (bytes < (size_t) WIDE_JOBS * DAG_MAX_TASKS * WAITING_TASK_BYTES_MAX);
  dag_free (fixture.dag);
}

/* '0' waits, '1' is done, 'w' waits after a run, 'r' runs. */
typedef struct {
  const char *name;
  const char *tasks;
  size_t with_state;
  int32_t waiting, done;
} RecordCase;

static const RecordCase records[] = {
  { "none was assigned", "000000", 0, 6, 0 },
  { "some are done", "110000", 0, 4, 2 },
  { "some run", "1rr000", 2, 3, 1 },
  { "one waits again", "1w0000", 1, 5, 1 },
  { "an earlier version skipped some", "01r01w", 4, 3, 2 },
  { "the last is done", "000001", 5, 5, 1 },
  { "all have run", "rw1rw1", 4, 2, 2 },
};

static void
pack_progress (const char *tasks, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_int (&packer, 1);
  msgpack_pack_int (&packer, DAG_JOB_IN_PROGRESS);
  gr_pack_bool (&packer, true);
  msgpack_pack_int64 (&packer, 0);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_array (&packer, TASKS);
  for (const char *task = tasks; *task; task++) {
    bool runs = *task == 'r';
    if (*task == '0' || *task == '1') {
      msgpack_pack_int (&packer, *task - '0');
      continue;
    }
    msgpack_pack_array (&packer, 6);
    msgpack_pack_int (&packer, runs ? TASK_ADOPTED : TASK_WAITING);
    msgpack_pack_int64 (&packer, RUN);
    msgpack_pack_int (&packer, FAILURES);
    gr_pack_str (&packer, runs ? GR_STR ("t0") : GR_STR (""));
    msgpack_pack_int64 (&packer, runs);
    gr_pack_str (&packer, GR_STR ("saved"));
  }
}

static void
load (DagState *dag, const char *kind, GrBuf *value)
{
  GrBuf key = { 0 };
  GrErr err = { 0 };
  gr_buf_printf (&key, "%sjob", kind);
  assert_true (dag_load (dag, gr_buf_str (&key), gr_buf_str (value), 100000, &err));
  gr_buf_clear (&key);
}

/* Guards against tasks that a takeover loses, runs twice or takes as done: their states are stored
   as a list of all tasks and kept only where they differ from the first one. */
static void
test_record_is_kept_by_takeover (void **state)
{
  (void) state;
  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++) {
    const RecordCase *test_case = &records[i];
    Fixture fixture = new_fixture (false, 0, 0);
    DagStepSpec step = step_of (TASKS, 1000, false);
    DagQueue queue = { .name = gr_name ("q"), .service = gr_name ("svc"), .max_attempts = 2 };
    DagJobSpec spec
        = { .id = gr_name ("job"), .queue = queue.name, .steps = &step, .step_count = 1 };
    DagState *source = dag_new (&(DagOptions){ .lease_ms = 1, .lease_max_ms = 1 }, NULL);
    GrBuf submission = { 0 }, progress = { 0 }, again = { 0 };
    dag_pack_spec (source, dag_job_create (source, &spec, &queue, 0), &submission);
    pack_progress (test_case->tasks, &progress);
    load (fixture.dag, "j", &submission);
    load (fixture.dag, "p", &progress);
    const DagJob *job = dag_find_job (fixture.dag, &spec.id);
    dag_pack_progress (fixture.dag, job, &again);
    print_message ("%s\n", test_case->name);
    assert_int_equal (job->steps[0].tasks.count, test_case->with_state);
    assert_int_equal (job->steps[0].waiting, test_case->waiting);
    assert_int_equal (job->steps[0].done, test_case->done);
    assert_int_equal (again.len, progress.len);
    assert_memory_equal (again.data, progress.data, progress.len);
    gr_buf_clear (&submission);
    gr_buf_clear (&progress);
    gr_buf_clear (&again);
    dag_free (source);
    dag_free (fixture.dag);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_tasks_take_no_memory),
    cmocka_unit_test (test_record_is_kept_by_takeover),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
