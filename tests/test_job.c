/* Tests of the job module. They guard against outcomes sent before they are certain, lost answers
   and work that runs twice. */
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
} Fixture;

static void
step (Fixture *fixture, JobMsg msg)
{
  gr_list_reset (&fixture->out);
  job_step (fixture->state, &msg, fixture->now_ms, &fixture->out);
}

/* Returns the command of this kind from the last step, or NULL; fails if there are several. */
static const JobCmd *
only_cmd (const Fixture *fixture, JobCmdKind kind)
{
  const JobCmd *found = NULL;
  for (size_t i = 0; i < fixture->out.count; i++) {
    if (fixture->out.items[i].kind != kind)
      continue;
    assert_null (found);
    found = &fixture->out.items[i];
  }
  return found;
}

/* Delivers the records that the last step appended, as if read back from the log. Afterwards
   fixture->out holds the commands of the last delivered record. */
static void
replay_appends (Fixture *fixture)
{
  GrBuf records[8] = { 0 };
  size_t count = 0;
  for (size_t i = 0; i < fixture->out.count; i++) {
    if (fixture->out.items[i].kind == JOB_CMD_APPEND)
      gr_buf_append_str (&records[count++], fixture->out.items[i].bytes);
  }
  for (size_t i = 0; i < count; i++) {
    step (fixture, (JobMsg){ .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&records[i]) } });
    gr_buf_clear (&records[i]);
  }
}

static void
gain_partition (Fixture *fixture)
{
  step (fixture, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 1 } });
  replay_appends (fixture);
  step (fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  step (fixture, (JobMsg){ .kind = JOB_MSG_PART_SYNCED });
}

static Fixture
fixture_new (void)
{
  JobOptions options = { .parts = 1, .seed = 7 };
  Fixture fixture = { .state = job_new (&options, NULL), .now_ms = 1000 };
  assert_non_null (fixture.state);
  gain_partition (&fixture);
  return fixture;
}

static void
fixture_clear (Fixture *fixture)
{
  job_free (fixture->state);
  gr_list_clear (&fixture->out);
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
submit (Fixture *fixture, const JobSpec *spec, int64_t call, bool wait)
{
  step (fixture, (JobMsg){ .kind = JOB_MSG_SUBMIT, .submit = { call, spec, wait } });
}

static void
report (Fixture *fixture, const char *id, int32_t attempt, JobTaskState state, const char *answer)
{
  JobMsg msg = { .kind = JOB_MSG_TASK_REPORT };
  msg.report.id = gr_name (id);
  msg.report.attempt = attempt;
  msg.report.state = state;
  msg.report.scheduler = gr_name ("e1");
  msg.report.answer = gr_str_from_c (answer);
  step (fixture, msg);
}

static void
place_result (Fixture *fixture, const char *id, int32_t attempt, JobPlaceResult result,
              GrErrCode why)
{
  JobMsg msg = { .kind = JOB_MSG_PLACE_RESULT };
  msg.place.id = gr_name (id);
  msg.place.attempt = attempt;
  msg.place.result = result;
  msg.place.why = why;
  if (why == GR_ERR_NONE)
    msg.place.scheduler = gr_name ("e1");
  step (fixture, msg);
}

static void
commit (Fixture *fixture, int64_t token)
{
  step (fixture, (JobMsg){ .kind = JOB_MSG_COMMITTED, .append = { token } });
}

static void
idempotent_request_is_placed_without_the_log (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  step (&fixture, (JobMsg){ .kind = JOB_MSG_STORE_STATE, .store = { false } });
  JobSpec spec = request_spec ("r1", true);
  submit (&fixture, &spec, 1, true);
  const JobCmd *place = only_cmd (&fixture, JOB_CMD_PLACE);
  assert_non_null (place);
  assert_int_equal (place->attempt, 1);
  report (&fixture, "r1/0", 1, JOB_TASK_RUNNING, "");
  report (&fixture, "r1/0", 1, JOB_TASK_SUCCEEDED, "the whole answer");
  const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->outcome, JOB_OUTCOME_COMPLETED);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("the whole answer")));
  submit (&fixture, &spec, 2, true);
  reply = only_cmd (&fixture, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->call, 2);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("the whole answer")));
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  fixture_clear (&fixture);
}

static void
non_idempotent_request_waits_for_two_records (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("s1", false);
  submit (&fixture, &spec, 1, true);
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
  assert_non_null (only_cmd (&fixture, JOB_CMD_PLACE));
  fixture_clear (&fixture);
}

static void
immediate_refusals_are_not_run (void **unused)
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
    Fixture fixture = fixture_new ();
    step (&fixture, (JobMsg){ .kind = JOB_MSG_STORE_STATE, .store = { cases[i].store_up } });
    JobSpec spec = request_spec ("s1", false);
    spec.deadline_ms = cases[i].deadline_ms;
    submit (&fixture, &spec, 1, true);
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, JOB_OUTCOME_NOT_RUN);
    assert_int_equal (reply->why, cases[i].why);
    fixture_clear (&fixture);
  }
}

static void
non_idempotent_outcome_follows_the_attempt (void **unused)
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
    Fixture fixture = fixture_new ();
    JobSpec spec = request_spec ("s1", false);
    submit (&fixture, &spec, 1, true);
    commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
    commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
    report (&fixture, "s1/0", 1, cases[i].state, "");
    assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
    /* A completion is sent at once, any other outcome once its record is read back. */
    if (cases[i].outcome != JOB_OUTCOME_COMPLETED) {
      assert_null (only_cmd (&fixture, JOB_CMD_REPLY));
      replay_appends (&fixture);
    }
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, cases[i].outcome);
    assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
    fixture_clear (&fixture);
  }
}

static void
failed_idempotent_attempt_is_retried_within_bounds (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("r1", true);
  submit (&fixture, &spec, 1, true);
  for (int32_t attempt = 1; attempt <= 4; attempt++) {
    report (&fixture, "r1/0", attempt, JOB_TASK_FAILED, "");
    if (attempt == 4)
      replay_appends (&fixture);
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    assert_int_equal (reply != NULL, attempt == 4);
    if (reply)
      assert_int_equal (reply->outcome, JOB_OUTCOME_FAILED);
    fixture.now_ms += 6000;
    step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
  }
  fixture_clear (&fixture);
}

/* A lapsed attempt may never have started, and "failed" would claim that it ran. */
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
    Fixture fixture = fixture_new ();
    JobSpec spec = request_spec ("r1", true);
    submit (&fixture, &spec, 1, true);
    report (&fixture, "r1/0", 1, cases[i].state, "");
    fixture.now_ms = DEADLINE_MS + 1;
    step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
    replay_appends (&fixture);
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    assert_non_null (reply);
    assert_int_equal (reply->outcome, cases[i].outcome);
    fixture_clear (&fixture);
  }
}

/* Each new owner submits configured work again, which must not run twice. */
static void
outcome_of_configured_work_never_expires (void **unused)
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
    Fixture fixture = fixture_new ();
    JobSpec spec = request_spec (cases[i].id, true);
    spec.policy = JOB_POLICY_BATCH;
    spec.deadline_ms = spec.deadline_unix_ms = INT64_MAX;
    submit (&fixture, &spec, 1, false);
    commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
    char task[GR_NAME_MAX + 1];
    snprintf (task, sizeof task, "%s/0", cases[i].id);
    report (&fixture, task, 1, JOB_TASK_SUCCEEDED, "");
    fixture.now_ms += 3600000;
    step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
    submit (&fixture, &spec, 2, false);
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    assert_int_equal (reply == NULL, cases[i].runs_again);
    fixture_clear (&fixture);
  }
}

static void
cancelled_job_never_starts (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("j1", true);
  submit (&fixture, &spec, 1, false);
  int64_t accept = only_cmd (&fixture, JOB_CMD_APPEND)->token;
  JobMsg cancel = { .kind = JOB_MSG_CANCEL, .ref = { .call = 2, .id = gr_name ("j1") } };
  step (&fixture, cancel);
  commit (&fixture, accept);
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  fixture.now_ms += 1000;
  step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  fixture_clear (&fixture);
}

static void
owner_without_lease_sends_no_reply (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("r1", true);
  submit (&fixture, &spec, 1, true);
  place_result (&fixture, "r1/0", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, fixture.now_ms, 0 } });
  fixture.now_ms = DEADLINE_MS + 1;
  step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_null (only_cmd (&fixture, JOB_CMD_REPLY));
  fixture_clear (&fixture);
}

static void
gang_commits_only_when_all_tasks_are_held (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("g1", true);
  spec.policy = JOB_POLICY_GANG;
  spec.tasks = 2;
  submit (&fixture, &spec, 1, false);
  commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
  assert_int_equal (fixture.out.count, 3); /* one reply and two PLACE */
  place_result (&fixture, "g1/0", 1, JOB_PLACE_HELD, GR_ERR_NONE);
  assert_null (only_cmd (&fixture, JOB_CMD_COMMIT_GANG));
  place_result (&fixture, "g1/1", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  assert_non_null (only_cmd (&fixture, JOB_CMD_RELEASE_GANG));
  assert_null (only_cmd (&fixture, JOB_CMD_COMMIT_GANG));
  place_result (&fixture, "g1/0", 1, JOB_PLACE_REFUSED, GR_ERR_OVERLOADED);
  fixture.now_ms += 1000;
  step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
  assert_int_equal (fixture.out.count, 2); /* both tasks are placed again */
  place_result (&fixture, "g1/0", 2, JOB_PLACE_HELD, GR_ERR_NONE);
  place_result (&fixture, "g1/1", 2, JOB_PLACE_HELD, GR_ERR_NONE);
  assert_non_null (only_cmd (&fixture, JOB_CMD_COMMIT_GANG));
  fixture_clear (&fixture);
}

static void
new_owner_replies_with_the_reported_answer (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobOptions options = { .parts = 1, .seed = 7 };
  Fixture other = { .state = job_new (&options, NULL), .now_ms = 1000 };
  step (&other, (JobMsg){ .kind = JOB_MSG_PART_GAINED });
  step (&other, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  JobSpec spec = request_spec ("r1", true);
  submit (&other, &spec, 1, true);
  assert_null (only_cmd (&other, JOB_CMD_PLACE));
  report (&other, "r1/0", 1, JOB_TASK_SUCCEEDED, "late");
  const JobCmd *reply = only_cmd (&other, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_true (gr_str_equal (reply->bytes, GR_STR ("late")));
  fixture_clear (&other);
  fixture_clear (&fixture);
}

static void
malformed_records_are_rejected (void **unused)
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

/* Records that the fixture's last step appended; freed by the caller. */
static size_t
copy_appends (const Fixture *fixture, GrBuf *records, size_t max)
{
  size_t count = 0;
  for (size_t i = 0; i < fixture->out.count; i++) {
    if (fixture->out.items[i].kind != JOB_CMD_APPEND)
      continue;
    assert_true (count < max);
    gr_buf_append_str (&records[count++], fixture->out.items[i].bytes);
  }
  return count;
}

/* Guards against telling "not run" of a request that ran: its first owner began an attempt, which
   for an idempotent request is not recorded, and was paused; the next owner knows the request from
   the log, and its scheduler reports the attempt as waiting, refuses it or does not know it. */
static void
idempotent_requests_of_an_earlier_owner_may_have_run (void **unused)
{
  (void) unused;
  static const struct {
    const char *name;
    bool known_before; /* the record is read before the takeover */
    bool reported_waiting, refused;
  } cases[] = { { "attempt unknown", true, false, false },
                { "attempt waits", true, true, false },
                { "attempt waits and is refused", true, true, true },
                { "record read late, attempt waits and is refused", false, true, true } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture first = fixture_new ();
    JobSpec spec = request_spec ("r1", true);
    submit (&first, &spec, 1, true);
    place_result (&first, "r1/0", 1, JOB_PLACE_QUEUED, GR_ERR_NONE);
    GrBuf records[4] = { 0 };
    size_t count = copy_appends (&first, records, 4);
    assert_int_equal (count, 1);
    fixture_clear (&first);

    JobOptions options = { .parts = 1, .seed = 7 };
    Fixture next = { .state = job_new (&options, NULL), .now_ms = 3000 };
    JobMsg record = { .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&records[0]) } };
    if (cases[i].known_before)
      step (&next, record);
    step (&next, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 2 } });
    GrBuf open[1] = { 0 };
    assert_int_equal (copy_appends (&next, open, 1), 1);
    step (&next, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
    if (!cases[i].known_before)
      step (&next, record);
    step (&next, (JobMsg){ .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&open[0]) } });
    if (cases[i].reported_waiting)
      place_result (&next, "r1/0", 1, JOB_PLACE_QUEUED, GR_ERR_NONE);
    step (&next, (JobMsg){ .kind = JOB_MSG_PART_SYNCED });
    submit (&next, &spec, 2, true);
    next.now_ms = DEADLINE_MS + 1;
    if (cases[i].refused)
      place_result (&next, "r1/0", 1, JOB_PLACE_REFUSED, GR_ERR_DEADLINE);
    else
      step (&next, (JobMsg){ .kind = JOB_MSG_TICK });
    for (size_t c = 0; c < next.out.count; c++) {
      const JobCmd *cmd = &next.out.items[c];
      if (cmd->kind == JOB_CMD_REPLY && cmd->outcome == JOB_OUTCOME_NOT_RUN)
        fail_msg ("%s: told as not run", cases[i].name);
    }
    gr_buf_clear (&records[0]);
    gr_buf_clear (&open[0]);
    fixture_clear (&next);
  }
}

static void
read_record (Fixture *fixture, const JobRecord *record)
{
  GrBuf bytes = { 0 };
  job_record_encode (record, &bytes);
  step (fixture, (JobMsg){ .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&bytes) } });
  gr_buf_clear (&bytes);
}

/* A fixture whose request r1 is not idempotent and runs. */
static Fixture
fixture_with_run (void)
{
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("r1", false);
  submit (&fixture, &spec, 1, true);
  commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
  commit (&fixture, only_cmd (&fixture, JOB_CMD_APPEND)->token);
  assert_non_null (only_cmd (&fixture, JOB_CMD_PLACE));
  report (&fixture, "r1/0", 1, JOB_TASK_RUNNING, "");
  return fixture;
}

/* Guards against telling "failed" of a run that a cancellation stopped: the cancellation was not in
   the log when the partition changed hands, and the next owner saw the stop only. */
static void
cancelled_runs_are_stopped_once_that_is_recorded (void **unused)
{
  (void) unused;
  static const struct {
    const char *name;
    bool rejected, lease_lapses, read_back;
  } cases[] = {
    { "committed", false, false, false },
    { "rejected, appended again and committed", true, false, false },
    { "read back without a lease, which then returns", false, true, true },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_run ();
    step (&fixture, (JobMsg){ .kind = JOB_MSG_CANCEL, .ref = { .call = 2, .id = gr_name ("r1") } });
    assert_null (only_cmd (&fixture, JOB_CMD_CANCEL_TASK));
    int64_t token = only_cmd (&fixture, JOB_CMD_APPEND)->token;
    if (cases[i].rejected) {
      step (&fixture, (JobMsg){ .kind = JOB_MSG_APPEND_REJECTED, .append = { token } });
      assert_null (only_cmd (&fixture, JOB_CMD_CANCEL_TASK));
      fixture.now_ms += 1000;
      step (&fixture, (JobMsg){ .kind = JOB_MSG_TICK });
      token = only_cmd (&fixture, JOB_CMD_APPEND)->token;
    }
    if (cases[i].lease_lapses)
      step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, fixture.now_ms, 0 } });
    if (cases[i].read_back)
      read_record (&fixture,
                   &(JobRecord){ .kind = JOB_RECORD_CANCEL, .id = gr_name ("r1"), .epoch = 1 });
    else
      commit (&fixture, token);
    if (cases[i].lease_lapses) {
      assert_null (only_cmd (&fixture, JOB_CMD_CANCEL_TASK));
      step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
    }
    if (!only_cmd (&fixture, JOB_CMD_CANCEL_TASK))
      fail_msg ("%s: not stopped", cases[i].name);
    fixture_clear (&fixture);
  }
}

/* Guards against a cancellation that is read after the takeover and never carried out. */
static void
new_owner_stops_a_run_whose_cancellation_it_reads_late (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_with_run ();
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_LOST });
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 2 } });
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  report (&fixture, "r1/0", 1, JOB_TASK_RUNNING, "");
  read_record (&fixture,
               &(JobRecord){ .kind = JOB_RECORD_CANCEL, .id = gr_name ("r1"), .epoch = 1 });
  assert_non_null (only_cmd (&fixture, JOB_CMD_CANCEL_TASK));
  fixture_clear (&fixture);
}

/* Guards against a wrong outcome of a request that the next owner ran: a paused owner had ended the
   request, its end never reached the log, and it ignored the attempt of the next owner. */
static void
records_of_the_next_owner_hold_over_an_undecided_end (void **unused)
{
  (void) unused;
  Fixture fixture = fixture_new ();
  JobSpec spec = request_spec ("r1", false);
  submit (&fixture, &spec, 1, true);
  int64_t accept = only_cmd (&fixture, JOB_CMD_APPEND)->token;
  step (&fixture, (JobMsg){ .kind = JOB_MSG_CANCEL, .ref = { .call = 2, .id = gr_name ("r1") } });
  assert_null (only_cmd (&fixture, JOB_CMD_REPLY));
  commit (&fixture, accept);
  read_record (&fixture, &(JobRecord){ .kind = JOB_RECORD_OPEN, .epoch = 2 });
  read_record (&fixture, &(JobRecord){ .kind = JOB_RECORD_ATTEMPT,
                                       .id = gr_name ("r1"),
                                       .epoch = 2,
                                       .attempt = JOB_ATTEMPTS_PER_EPOCH + 1 });
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_LOST });
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 3 } });
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
  read_record (&fixture, &(JobRecord){ .kind = JOB_RECORD_OPEN, .epoch = 3 });
  submit (&fixture, &spec, 3, true);
  step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_SYNCED });
  assert_null (only_cmd (&fixture, JOB_CMD_PLACE));
  replay_appends (&fixture);
  const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->outcome, JOB_OUTCOME_UNKNOWN);
  fixture_clear (&fixture);
}

/* Guards against accepted work that never ends: a scheduler reported an attempt, and the record of
   a later one, whose end nobody reports, was read after that. */
static void
attempt_that_is_read_late_is_resolved (void **unused)
{
  (void) unused;
  static const struct {
    const char *name;
    bool running; /* otherwise it waits */
  } cases[] = { { "earlier attempt reported as running", true },
                { "earlier attempt reported as waiting", false } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_new ();
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_LOST });
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 2 } });
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
    JobSpec spec = request_spec ("r1", true);
    submit (&fixture, &spec, 1, true);
    if (cases[i].running)
      report (&fixture, "r1/0", 1, JOB_TASK_RUNNING, "");
    else
      place_result (&fixture, "r1/0", 1, JOB_PLACE_QUEUED, GR_ERR_NONE);
    read_record (
        &fixture,
        &(JobRecord){ .kind = JOB_RECORD_ATTEMPT, .id = gr_name ("r1"), .epoch = 1, .attempt = 2 });
    const JobCmd *resolve = only_cmd (&fixture, JOB_CMD_RESOLVE);
    if (!resolve || resolve->attempt != 2)
      fail_msg ("%s: the later attempt is not resolved", cases[i].name);
    fixture_clear (&fixture);
  }
}

/* Guards against two outcomes for one request: a new owner answers "completed" although the owner
   before it has ended the request with another outcome, whose record it has not read yet. */
static void
completion_waits_for_the_end_of_an_earlier_owner (void **unused)
{
  (void) unused;
  static const struct {
    const char *name;
    bool ended; /* by the earlier owner */
    JobOutcome outcome;
  } cases[] = { { "earlier owner ended it as unknown", true, JOB_OUTCOME_UNKNOWN },
                { "earlier owner did not end it", false, JOB_OUTCOME_COMPLETED } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture = fixture_with_run ();
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_LOST });
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .epoch = 2 } });
    step (&fixture, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { 0, INT64_MAX, 0 } });
    JobSpec spec = request_spec ("r1", false);
    submit (&fixture, &spec, 3, true);
    report (&fixture, "r1/0", 1, JOB_TASK_SUCCEEDED, "answer");
    if (only_cmd (&fixture, JOB_CMD_REPLY))
      fail_msg ("%s: answered too early", cases[i].name);
    JobRecord end = { .kind = JOB_RECORD_END, .id = gr_name ("r1"), .outcome = cases[i].outcome };
    end.epoch = cases[i].ended ? 1 : 2;
    if (!cases[i].ended)
      read_record (&fixture, &(JobRecord){ .kind = JOB_RECORD_OPEN, .epoch = 2 });
    read_record (&fixture, &end);
    const JobCmd *reply = only_cmd (&fixture, JOB_CMD_REPLY);
    if (!reply || reply->outcome != cases[i].outcome)
      fail_msg ("%s: wrong outcome", cases[i].name);
    fixture_clear (&fixture);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (idempotent_request_is_placed_without_the_log),
    cmocka_unit_test (non_idempotent_request_waits_for_two_records),
    cmocka_unit_test (immediate_refusals_are_not_run),
    cmocka_unit_test (non_idempotent_outcome_follows_the_attempt),
    cmocka_unit_test (failed_idempotent_attempt_is_retried_within_bounds),
    cmocka_unit_test (expired_work_is_failed_only_if_it_ran),
    cmocka_unit_test (outcome_of_configured_work_never_expires),
    cmocka_unit_test (cancelled_job_never_starts),
    cmocka_unit_test (owner_without_lease_sends_no_reply),
    cmocka_unit_test (gang_commits_only_when_all_tasks_are_held),
    cmocka_unit_test (new_owner_replies_with_the_reported_answer),
    cmocka_unit_test (malformed_records_are_rejected),
    cmocka_unit_test (idempotent_requests_of_an_earlier_owner_may_have_run),
    cmocka_unit_test (cancelled_runs_are_stopped_once_that_is_recorded),
    cmocka_unit_test (new_owner_stops_a_run_whose_cancellation_it_reads_late),
    cmocka_unit_test (records_of_the_next_owner_hold_over_an_undecided_end),
    cmocka_unit_test (attempt_that_is_read_late_is_resolved),
    cmocka_unit_test (completion_waits_for_the_end_of_an_earlier_owner),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
