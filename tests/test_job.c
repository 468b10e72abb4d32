/* Jobs and requests: guards against replies without proof, lost answers and repeated work. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "job/job_private.h"

#define DEADLINE_MS 60000

typedef struct {
  JobState *state;
  JobCmds out;
  int64_t now_ms;
} Bench;

static void
step (Bench *bench, JobMsg msg)
{
  gr_list_reset (&bench->out);
  job_step (bench->state, &msg, bench->now_ms, &bench->out);
}

/* The only command of a kind in the last step, or NULL. */
static const JobCmd *
only (const Bench *bench, JobCmdKind kind)
{
  const JobCmd *found = NULL;
  for (size_t i = 0; i < bench->out.count; i++) {
    if (bench->out.items[i].kind != kind)
      continue;
    assert_null (found);
    found = &bench->out.items[i];
  }
  return found;
}

/* Reads the appended records of the last step back from the log. Bench->out then holds the commands
   that follow from the last of them. */
static void
read_back (Bench *bench)
{
  GrBuf records[8] = { 0 };
  size_t count = 0;
  for (size_t i = 0; i < bench->out.count; i++) {
    if (bench->out.items[i].kind == JOB_CMD_APPEND)
      gr_buf_append_str (&records[count++], bench->out.items[i].bytes);
  }
  for (size_t i = 0; i < count; i++) {
    step (bench, (JobMsg){ .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&records[i]) } });
    gr_buf_clear (&records[i]);
  }
}

static void
take_part (Bench *bench)
{
  step (bench, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 1 } });
  read_back (bench);
  step (bench, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  step (bench, (JobMsg){ .kind = JOB_MSG_PART_SYNCED });
}

static Bench
new_bench (void)
{
  JobOptions options = { .parts = 1, .seed = 7 };
  Bench bench = { .state = job_new (&options, NULL), .now_ms = 1000 };
  assert_non_null (bench.state);
  take_part (&bench);
  return bench;
}

static void
clear_bench (Bench *bench)
{
  job_free (bench->state);
  gr_list_clear (&bench->out);
}

static JobSpec
request_spec (const char *id, bool idempotent)
{
  JobSpec spec = { .id = gr_name (id), .team = gr_name ("desk"), .kind = gr_name ("review") };
  spec.tasks = 1;
  spec.idempotent = idempotent;
  spec.deadline_ms = DEADLINE_MS;
  spec.deadline_unix_ms = DEADLINE_MS;
  spec.payload = GR_STR ("body");
  return spec;
}

static void
submit (Bench *bench, const JobSpec *spec, int64_t call, bool wait)
{
  step (bench, (JobMsg){ .kind = JOB_MSG_SUBMIT, .submit = { call, spec, wait } });
}

static void
report (Bench *bench, const char *id, int32_t attempt, JobTaskState state, const char *answer)
{
  JobMsg msg = { .kind = JOB_MSG_TASK_REPORT };
  msg.report.id = gr_name (id);
  msg.report.attempt = attempt;
  msg.report.state = state;
  msg.report.scheduler = gr_name ("e1");
  msg.report.answer = gr_str_from_c (answer);
  step (bench, msg);
}

static void
place_result (Bench *bench, const char *id, int32_t attempt, JobPlaceResult result, GrErrCode why)
{
  JobMsg msg = { .kind = JOB_MSG_PLACE_RESULT };
  msg.place.id = gr_name (id);
  msg.place.attempt = attempt;
  msg.place.result = result;
  msg.place.why = why;
  if (why == GR_ERR_NONE)
    msg.place.scheduler = gr_name ("e1");
  step (bench, msg);
}

static void
commit (Bench *bench, int64_t token)
{
  step (bench, (JobMsg){ .kind = JOB_MSG_COMMITTED, .append = { token } });
}

static void
idempotent_request_is_placed_without_the_log (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  step (&bench, (JobMsg){ .kind = JOB_MSG_STORE_STATE, .store = { false } });
  JobSpec spec = request_spec ("r1", true);
  submit (&bench, &spec, 1, true);
  const JobCmd *place = only (&bench, JOB_CMD_PLACE);
  assert_non_null (place);
  assert_int_equal (place->attempt, 1);
  report (&bench, "r1/0", 1, JOB_TASK_RUNNING, "");
  report (&bench, "r1/0", 1, JOB_TASK_SUCCEEDED, "the whole answer");
  const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->outcome, JOB_OUTCOME_COMPLETED);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("the whole answer")));
  submit (&bench, &spec, 2, true);
  reply = only (&bench, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->call, 2);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("the whole answer")));
  assert_null (only (&bench, JOB_CMD_PLACE));
  clear_bench (&bench);
}

static void
non_idempotent_request_waits_for_two_records (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobSpec spec = request_spec ("s1", false);
  submit (&bench, &spec, 1, true);
  assert_null (only (&bench, JOB_CMD_PLACE));
  commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
  assert_null (only (&bench, JOB_CMD_PLACE));
  commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
  assert_non_null (only (&bench, JOB_CMD_PLACE));
  clear_bench (&bench);
}

static void
refusals_without_a_start_are_not_run (void **unused)
{
  (void) unused;
  static const struct {
    bool store_up;
    int64_t deadline_ms;
    GrErrCode why;
  } cases[] = {
    { false, DEADLINE_MS, GR_ERR_UNAVAILABLE },
    { true, 10, GR_ERR_DEADLINE },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Bench bench = new_bench ();
    step (&bench, (JobMsg){ .kind = JOB_MSG_STORE_STATE, .store = { cases[i].store_up } });
    JobSpec spec = request_spec ("s1", false);
    spec.deadline_ms = cases[i].deadline_ms;
    submit (&bench, &spec, 1, true);
    const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, JOB_OUTCOME_NOT_RUN);
    assert_int_equal (reply->why, cases[i].why);
    clear_bench (&bench);
  }
}

static void
non_idempotent_outcomes_are_truthful (void **unused)
{
  (void) unused;
  static const struct {
    JobTaskState state;
    JobOutcome outcome;
  } cases[] = {
    { JOB_TASK_SUCCEEDED, JOB_OUTCOME_COMPLETED },
    { JOB_TASK_FAILED, JOB_OUTCOME_FAILED },
    { JOB_TASK_STOPPED, JOB_OUTCOME_FAILED },
    { JOB_TASK_LAPSED, JOB_OUTCOME_UNKNOWN },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Bench bench = new_bench ();
    JobSpec spec = request_spec ("s1", false);
    submit (&bench, &spec, 1, true);
    commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
    commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
    report (&bench, "s1/0", 1, cases[i].state, "");
    assert_null (only (&bench, JOB_CMD_PLACE));
    /* A completion is told at once, any other end once it is in the log. */
    if (cases[i].outcome != JOB_OUTCOME_COMPLETED) {
      assert_null (only (&bench, JOB_CMD_REPLY));
      read_back (&bench);
    }
    const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, cases[i].outcome);
    assert_null (only (&bench, JOB_CMD_PLACE));
    clear_bench (&bench);
  }
}

static void
failed_idempotent_attempt_is_retried_within_bounds (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobSpec spec = request_spec ("r1", true);
  submit (&bench, &spec, 1, true);
  for (int32_t attempt = 1; attempt <= 4; attempt++) {
    report (&bench, "r1/0", attempt, JOB_TASK_FAILED, "");
    if (attempt == 4)
      read_back (&bench);
    const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
    assert_int_equal (reply != NULL, attempt == 4);
    if (reply)
      assert_int_equal (reply->outcome, JOB_OUTCOME_FAILED);
    bench.now_ms += 6000;
    step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
  }
  clear_bench (&bench);
}

/* An attempt that lapsed may never have started; "failed" would say that it ran. */
static void
expired_work_is_failed_only_if_it_ran (void **unused)
{
  (void) unused;
  static const struct {
    JobTaskState state;
    JobOutcome outcome;
  } cases[] = {
    { JOB_TASK_LAPSED, JOB_OUTCOME_UNKNOWN },
    { JOB_TASK_FAILED, JOB_OUTCOME_FAILED },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Bench bench = new_bench ();
    JobSpec spec = request_spec ("r1", true);
    submit (&bench, &spec, 1, true);
    report (&bench, "r1/0", 1, cases[i].state, "");
    bench.now_ms = DEADLINE_MS + 1;
    step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
    read_back (&bench);
    const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, cases[i].outcome);
    clear_bench (&bench);
  }
}

/* Work of the configuration is submitted again by each new owner and must not run twice. */
static void
outcome_of_standing_work_is_never_forgotten (void **unused)
{
  (void) unused;
  static const struct {
    const char *id;
    bool runs_again;
  } cases[] = {
    { "conf:night", false },
    { "night", true },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Bench bench = new_bench ();
    JobSpec spec = request_spec (cases[i].id, true);
    spec.policy = JOB_POLICY_BATCH;
    spec.deadline_ms = spec.deadline_unix_ms = INT64_MAX;
    submit (&bench, &spec, 1, false);
    commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
    char task[GR_NAME_MAX + 1];
    snprintf (task, sizeof task, "%s/0", cases[i].id);
    report (&bench, task, 1, JOB_TASK_SUCCEEDED, "");
    bench.now_ms += 3600000;
    step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
    submit (&bench, &spec, 2, false);
    const JobCmd *reply = only (&bench, JOB_CMD_REPLY);
    assert_int_equal (reply == NULL, cases[i].runs_again);
    clear_bench (&bench);
  }
}

static void
cancelled_job_never_starts (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobSpec spec = request_spec ("j1", true);
  submit (&bench, &spec, 1, false);
  int64_t accept = only (&bench, JOB_CMD_APPEND)->token;
  JobMsg cancel = { .kind = JOB_MSG_CANCEL, .ref = { .call = 2, .id = gr_name ("j1") } };
  step (&bench, cancel);
  commit (&bench, accept);
  assert_null (only (&bench, JOB_CMD_PLACE));
  bench.now_ms += 1000;
  step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_null (only (&bench, JOB_CMD_PLACE));
  clear_bench (&bench);
}

static void
suspended_owner_tells_nothing (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobSpec spec = request_spec ("r1", true);
  submit (&bench, &spec, 1, true);
  place_result (&bench, "r1/0", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  step (&bench, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, bench.now_ms, 0 } });
  bench.now_ms = DEADLINE_MS + 1;
  step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_null (only (&bench, JOB_CMD_REPLY));
  clear_bench (&bench);
}

static void
gang_commits_only_when_every_part_holds (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobSpec spec = request_spec ("g1", true);
  spec.policy = JOB_POLICY_GANG;
  spec.tasks = 2;
  submit (&bench, &spec, 1, false);
  commit (&bench, only (&bench, JOB_CMD_APPEND)->token);
  assert_int_equal (bench.out.count, 3); /* the accepted reply and two places */
  place_result (&bench, "g1/0", 1, JOB_PLACE_HELD, GR_ERR_NONE);
  assert_null (only (&bench, JOB_CMD_COMMIT_GANG));
  place_result (&bench, "g1/1", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  assert_non_null (only (&bench, JOB_CMD_RELEASE_GANG));
  assert_null (only (&bench, JOB_CMD_COMMIT_GANG));
  place_result (&bench, "g1/0", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  bench.now_ms += 1000;
  step (&bench, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_int_equal (bench.out.count, 2); /* both parts are placed again */
  place_result (&bench, "g1/0", 2, JOB_PLACE_HELD, GR_ERR_NONE);
  place_result (&bench, "g1/1", 2, JOB_PLACE_HELD, GR_ERR_NONE);
  assert_non_null (only (&bench, JOB_CMD_COMMIT_GANG));
  clear_bench (&bench);
}

static void
new_owner_gives_the_earlier_owners_answer (void **unused)
{
  (void) unused;
  Bench bench = new_bench ();
  JobOptions options = { .parts = 1, .seed = 7 };
  Bench other = { .state = job_new (&options, NULL), .now_ms = 1000 };
  step (&other, (JobMsg){ .kind = JOB_MSG_PART_GAINED });
  step (&other, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  JobSpec spec = request_spec ("r1", true);
  submit (&other, &spec, 1, true);
  assert_null (only (&other, JOB_CMD_PLACE));
  report (&other, "r1/0", 1, JOB_TASK_SUCCEEDED, "late");
  const JobCmd *reply = only (&other, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("late")));
  clear_bench (&other);
  clear_bench (&bench);
}

static void
malformed_records_are_refused (void **unused)
{
  (void) unused;
  static const GrStr cases[] = {
    { "", 0 },
    { "\x93\x00\x01", 3 },
    { "\x92\x04\xc4\x00", 4 },
    { "\xdd\xff\xff\xff\xff", 5 },
    { "\x92\x09\xc4\x01x", 5 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    JobRecord record;
    GrErr err = { 0 };
    assert_false (job_record_decode (cases[i], &record, &err));
    assert_int_equal (err.code, GR_ERR_PROTOCOL);
  }
  JobSpec spec = request_spec ("r1", true);
  JobRecord record = { .kind = JOB_RECORD_ACCEPT, .id = spec.id, .spec = spec };
  GrBuf bytes = { 0 };
  job_record_encode (&record, &bytes);
  for (size_t len = 0; len < bytes.len; len++) {
    JobRecord decoded;
    assert_false (job_record_decode ((GrStr){ bytes.data, len }, &decoded, NULL));
  }
  JobRecord decoded;
  assert_true (job_record_decode (gr_buf_str (&bytes), &decoded, NULL));
  assert_true (gr_str_equal (decoded.spec.payload, GR_STR ("body")));
  gr_buf_clear (&bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (idempotent_request_is_placed_without_the_log),
    cmocka_unit_test (non_idempotent_request_waits_for_two_records),
    cmocka_unit_test (refusals_without_a_start_are_not_run),
    cmocka_unit_test (non_idempotent_outcomes_are_truthful),
    cmocka_unit_test (failed_idempotent_attempt_is_retried_within_bounds),
    cmocka_unit_test (expired_work_is_failed_only_if_it_ran),
    cmocka_unit_test (outcome_of_standing_work_is_never_forgotten),
    cmocka_unit_test (cancelled_job_never_starts),
    cmocka_unit_test (suspended_owner_tells_nothing),
    cmocka_unit_test (gang_commits_only_when_every_part_holds),
    cmocka_unit_test (new_owner_gives_the_earlier_owners_answer),
    cmocka_unit_test (malformed_records_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
