/* Jobs of client accounts: who sees them, and how the account is stored. */
#include "base/gr_pack.h"
#include "dag_fixture.h"

#define RECORDS_MAX 32

/* Newest record of each key, as in the durable store. */
typedef struct {
  GrBuf keys[RECORDS_MAX], values[RECORDS_MAX];
  size_t count;
} Store;

static GrBuf *
find_record (Store *store, GrStr key)
{
  for (size_t i = 0; i < store->count; i++) {
    if (gr_str_equal (gr_buf_str (&store->keys[i]), key))
      return &store->values[i];
  }
  return NULL;
}

static void
write_record (Store *store, GrStr key, GrStr value)
{
  GrBuf *record = find_record (store, key);
  if (!record) {
    assert_true (store->count < RECORDS_MAX);
    gr_buf_append_str (&store->keys[store->count], key);
    record = &store->values[store->count++];
  }
  gr_buf_clear (record);
  gr_buf_append_str (record, value);
}

/* Number of keys that are not deleted. */
static size_t
live_records (const Store *store)
{
  size_t live = 0;
  for (size_t i = 0; i < store->count; i++)
    live += store->values[i].len > 0;
  return live;
}

static void
clear_store (Store *store)
{
  for (size_t i = 0; i < store->count; i++) {
    gr_buf_clear (&store->keys[i]);
    gr_buf_clear (&store->values[i]);
  }
}

static void
store_to (Fixture *fixture, Store *store)
{
  for (int n = 0; n < 2; n++) {
    DagRecords records = { 0 };
    int64_t batch = dag_take_batch (fixture->dag, &records);
    for (size_t i = 0; i < records.count; i++)
      write_record (store, gr_buf_str (&records.items[i].key),
                    gr_buf_str (&records.items[i].value));
    dag_records_clear (&records);
    if (batch > 0)
      dag_stored (fixture->dag, batch, fixture->now_ms);
  }
}

/* A scheduler of the next term recovers from the store; returns the number of refused records. */
static int
take_over (Fixture *fixture, const Store *store)
{
  static const char kinds[] = "ajp";
  int64_t now_ms = fixture->now_ms;
  int refused = 0;
  dag_free (fixture->dag);
  *fixture = new_fixture (false, 0, 0);
  fixture->now_ms = now_ms;
  dag_set_former_leases (fixture->dag, fixture->now_ms + 2 * LEASE_MS);
  for (int k = 0; kinds[k]; k++) {
    for (size_t i = 0; i < store->count; i++) {
      GrErr err = { 0 };
      if (store->keys[i].data[0] == kinds[k] && store->values[i].len > 0
          && !dag_load (fixture->dag, gr_buf_str (&store->keys[i]), gr_buf_str (&store->values[i]),
                        now_ms, &err)) {
        assert_int_equal (err.code, GR_ERR_PROTOCOL);
        refused++;
      }
    }
  }
  dag_loaded (fixture->dag, now_ms);
  return refused;
}

static const DagStepSpec one_task = { .count = 1, .estimate_ms = 1000 };

static DagSubmitResult
submit_for (Fixture *fixture, const char *id, const char *account, int32_t occurrences)
{
  DagJobSpec spec = { .id = gr_name (id),
                      .queue = gr_name ("q"),
                      .account = gr_name (account),
                      .payload = GR_STR ("work"),
                      .steps = &one_task,
                      .step_count = 1,
                      .timetable = { .count = occurrences } };
  int64_t retry;
  return dag_submit (fixture->dag, &spec, 1, fixture->now_ms, &retry, NULL);
}

static DagCancelResult
cancel_for (Fixture *fixture, const char *id, const char *account)
{
  GrName name = gr_name (id), whose = gr_name (account);
  return dag_cancel_for (fixture->dag, &name, &whose, 2, fixture->now_ms);
}

static bool
is_foreign (const Fixture *fixture, const char *id, const char *account)
{
  GrName name = gr_name (id), whose = gr_name (account);
  return dag_is_foreign (fixture->dag, &name, &whose);
}

static DagJobState
status (const Fixture *fixture, const char *id)
{
  GrName name = gr_name (id);
  return dag_status (fixture->dag, &name);
}

/* Guards against an account that sees or changes the jobs of another, before their record is
   stored, after it, after a takeover, and once they have ended and only their state is kept. */
static void
jobs_are_foreign_to_other_accounts (void **state)
{
  (void) state;
  static const struct {
    const char *id, *caller;
    bool foreign;
    DagSubmitResult again;
  } cases[]
      = { { "a1", "A", false, DAG_SUBMIT_KNOWN },    { "a1", "B", true, DAG_SUBMIT_FOREIGN },
          { "a1", "", true, DAG_SUBMIT_KNOWN },      { "none", "A", false, DAG_SUBMIT_KNOWN },
          { "none", "", false, DAG_SUBMIT_KNOWN },   { "table", "A", false, DAG_SUBMIT_KNOWN },
          { "table", "B", true, DAG_SUBMIT_FOREIGN } };
  enum {
    FRESH,
    STORED,
    TAKEN_OVER,
    ENDED,
    STAGES
  };
  Store store = { 0 };
  Fixture fixture = new_fixture (false, 0, 0);
  assert_int_equal (submit_for (&fixture, "a1", "A", 0), DAG_SUBMIT_PENDING);
  assert_int_equal (submit_for (&fixture, "none", "", 0), DAG_SUBMIT_PENDING);
  assert_int_equal (submit_for (&fixture, "table", "A", 3), DAG_SUBMIT_PENDING);
  for (int stage = FRESH; stage < STAGES; stage++) {
    if (stage == STORED)
      store_to (&fixture, &store);
    if (stage == ENDED) {
      for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        if (!cases[i].foreign)
          cancel_for (&fixture, cases[i].id, cases[i].caller);
      }
      store_to (&fixture, &store);
    }
    if (stage >= TAKEN_OVER)
      assert_int_equal (take_over (&fixture, &store), 0);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
      if (is_foreign (&fixture, cases[i].id, cases[i].caller) != cases[i].foreign)
        fail_msg ("stage %d: %s for '%s'", stage, cases[i].id, cases[i].caller);
      if (cases[i].foreign)
        assert_int_equal (cancel_for (&fixture, cases[i].id, cases[i].caller), DAG_CANCEL_FOREIGN);
      if (stage >= STORED)
        assert_int_equal (submit_for (&fixture, cases[i].id, cases[i].caller, 0), cases[i].again);
      assert_int_equal (status (&fixture, cases[i].id),
                        stage == ENDED ? DAG_JOB_CANCELLED : DAG_JOB_QUEUED);
    }
  }
  /* Nothing of them is left once their retention is over. */
  fixture.now_ms += 70000;
  dag_tick (fixture.dag, fixture.now_ms);
  store_to (&fixture, &store);
  assert_int_equal (live_records (&store), 0);
  dag_free (fixture.dag);
  clear_store (&store);
}

/* Guards against an occurrence of a timetable that belongs to nobody, here or at the next leader:
   it would run outside the maximum of its account. */
static void
occurrences_belong_to_the_account_of_their_job (void **state)
{
  (void) state;
  Store store = { 0 };
  Fixture fixture = new_fixture (false, 0, 0);
  submit_for (&fixture, "table", "A", 2);
  for (int takeover = 0; takeover < 2; takeover++) {
    store_to (&fixture, &store);
    if (takeover)
      assert_int_equal (take_over (&fixture, &store), 0);
    dag_tick (fixture.dag, fixture.now_ms);
    assert_true (is_foreign (&fixture, "table.0", "B"));
    assert_false (is_foreign (&fixture, "table.1", "A"));
  }
  /* Their records name no account: it is that of the job. */
  assert_null (find_record (&store, GR_STR ("atable.0")));
  dag_free (fixture.dag);
  clear_store (&store);
}

/* Guards against a cancellation that stops the job of another account which uses the id, and
   against one that is lost because another account cancels the id too. */
static void
cancellations_bind_submissions_of_their_account_only (void **state)
{
  (void) state;
  static const struct {
    const char *cancels[3]; /* accounts, in this order; "-" is dag_cancel() */
    const char *submits;
    bool cancelled;
  } cases[] = {
    { { "A" }, "A", true },      { { "A" }, "B", false },      { { "A" }, "", false },
    { { "" }, "", true },        { { "" }, "A", false },       { { "A", "B" }, "A", true },
    { { "A", "B" }, "B", true }, { { "A", "B" }, "C", false }, { { "B", "A", "" }, "B", true },
    { { "A", "A" }, "A", true }, { { "-" }, "", true },        { { "-" }, "A", true },
    { { "A", "-" }, "A", true },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    for (int takeover = 0; takeover < 2; takeover++) {
      Store store = { 0 };
      Fixture fixture = new_fixture (false, 0, 0);
      GrName id = gr_name ("job");
      for (int c = 0; c < 3 && cases[i].cancels[c]; c++) {
        DagCancelResult result = cases[i].cancels[c][0] == '-'
                                     ? dag_cancel (fixture.dag, &id, 2, fixture.now_ms)
                                     : cancel_for (&fixture, "job", cases[i].cancels[c]);
        assert_int_equal (result, DAG_CANCEL_UNKNOWN);
      }
      store_to (&fixture, &store);
      if (takeover)
        assert_int_equal (take_over (&fixture, &store), 0);
      assert_int_equal (status (&fixture, "job"), DAG_JOB_UNKNOWN);
      assert_int_equal (submit_for (&fixture, "job", cases[i].submits, 0), DAG_SUBMIT_PENDING);
      store_to (&fixture, &store);
      if (takeover)
        assert_int_equal (take_over (&fixture, &store), 0);
      DagJobState expected = cases[i].cancelled ? DAG_JOB_CANCELLED : DAG_JOB_QUEUED;
      if (status (&fixture, "job") != expected)
        fail_msg ("case %zu, takeover %d: %s", i, takeover,
                  dag_job_state_name (status (&fixture, "job")));
      if (cases[i].submits[0])
        assert_true (is_foreign (&fixture, "job", "other"));
      assert_int_equal (cancel_for (&fixture, "job", cases[i].submits), DAG_CANCEL_PENDING);
      store_to (&fixture, &store);
      /* Ids that were cancelled only are dropped like ended jobs. */
      fixture.now_ms += 70000;
      dag_tick (fixture.dag, fixture.now_ms);
      store_to (&fixture, &store);
      assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).jobs, 0);
      assert_int_equal (live_records (&store), 0);
      dag_free (fixture.dag);
      clear_store (&store);
    }
  }
}

/* The submission record of earlier versions: one array of 6 or 9 fields and nothing after it. They
   refuse the whole record otherwise, and then lose the job. */
static bool
earlier_version_reads_submission (GrStr value)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, value)
            && (gr_unpack_is_array (&unpacked.data, 6) || gr_unpack_is_array (&unpacked.data, 9));
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

/* Bytes that the version before accounts writes for the same submission. */
static const char earlier_submission[]
    = "\x96\x01\xa3job\x9a\xa1q\xa3svc\x00\x02\xcb\x40\x00\x00\x00\x00\x00\x00\x00\xcd\x03\xe8\xc2"
      "\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xcd\x09\xc4\xce\x00"
      "\x01\x86\xa0\xc4\x04work\x91\x9b\x00\x00\x00\x00\x01\xcd\x03\xe8\x00\xa0\xa0\x00\x00";
static const char earlier_progress[] = "\x95\x01\x01\xc2\x00\x91\x91\x00";

/* Guards against jobs that are lost when a VM of the earlier version takes over, and against any
   change to the records of jobs without an account. */
static void
the_earlier_version_reads_the_records (void **state)
{
  (void) state;
  static const struct {
    const char *account;
    size_t records;
  } cases[] = { { "", 2 }, { "A", 3 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Store store = { 0 };
    Fixture fixture = new_fixture (false, 0, 0);
    submit_for (&fixture, "job", cases[i].account, 0);
    store_to (&fixture, &store);
    assert_int_equal (store.count, cases[i].records);
    GrStr submission = gr_buf_str (find_record (&store, GR_STR ("jjob")));
    assert_true (earlier_version_reads_submission (submission));
    assert_true (gr_str_equal (submission, GR_STR (earlier_submission)));
    assert_true (gr_str_equal (gr_buf_str (find_record (&store, GR_STR ("pjob"))),
                               GR_STR (earlier_progress)));
    dag_free (fixture.dag);
    clear_store (&store);
  }
  GrBuf longer = { 0 };
  gr_buf_append_str (&longer, GR_STR (earlier_submission));
  gr_buf_append (&longer,
                 "\xa1"
                 "A",
                 2);
  assert_false (earlier_version_reads_submission (gr_buf_str (&longer)));
  gr_buf_clear (&longer);
}

/* Guards against a damaged account that is taken for another one, and against an accepted job that
   is lost with it. */
static void
damaged_account_records_are_refused (void **state)
{
  (void) state;
  static const struct {
    GrStr value;
    bool refused;
  } cases[] = { { GR_STR ("\x92\x01\xa1"
                          "A"),
                  false },
                { GR_STR ("\x92\x02\xa1"
                          "A"),
                  true },
                { GR_STR ("\x92\x01\xa0"), true },
                { GR_STR ("\x92\x01\x07"), true },
                { GR_STR ("\x92\x01\xa2"
                          "A"),
                  true },
                { GR_STR ("\x91\x01"), true },
                { GR_STR ("\x93\x01\xa1"
                          "A\x00"),
                  true },
                { GR_STR ("\x92\x01\xa1"
                          "AA"),
                  true },
                { GR_STR ("\xa1"
                          "A"),
                  true },
                { GR_STR ("\xc1"), true } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Store store = { 0 };
    Fixture fixture = new_fixture (false, 0, 0);
    submit_for (&fixture, "job", "A", 0);
    store_to (&fixture, &store);
    write_record (&store, GR_STR ("ajob"), cases[i].value);
    assert_int_equal (take_over (&fixture, &store), cases[i].refused);
    assert_int_equal (status (&fixture, "job"), DAG_JOB_QUEUED);
    assert_int_equal (is_foreign (&fixture, "job", "B"), !cases[i].refused);
    dag_free (fixture.dag);
    clear_store (&store);
  }
}

/* Guards against account records that nobody deletes, after a leader of the earlier version has
   dropped their job, and against a new job under the id that gets the account of the old one. */
static void
account_records_without_a_job_are_deleted (void **state)
{
  (void) state;
  static const struct {
    const char *next; /* account of the next job under the id; NULL: another id */
    size_t accounts;  /* account records of the id at the end */
  } cases[] = { { NULL, 0 }, { "", 0 }, { "B", 1 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Store store = { 0 };
    Fixture fixture = new_fixture (false, 0, 0);
    submit_for (&fixture, "job", "A", 0);
    store_to (&fixture, &store);
    write_record (&store, GR_STR ("jjob"), GR_STR (""));
    write_record (&store, GR_STR ("pjob"), GR_STR (""));
    assert_int_equal (take_over (&fixture, &store), 0);
    assert_int_equal (dag_counts (fixture.dag, fixture.now_ms).jobs, 0);
    submit_for (&fixture, cases[i].next ? "job" : "more", cases[i].next ? cases[i].next : "", 0);
    store_to (&fixture, &store);
    assert_int_equal (find_record (&store, GR_STR ("ajob"))->len > 0, cases[i].accounts);
    assert_int_equal (take_over (&fixture, &store), 0);
    if (cases[i].accounts > 0) {
      assert_false (is_foreign (&fixture, "job", "B"));
      assert_true (is_foreign (&fixture, "job", "A"));
    }
    dag_free (fixture.dag);
    clear_store (&store);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (jobs_are_foreign_to_other_accounts),
    cmocka_unit_test (occurrences_belong_to_the_account_of_their_job),
    cmocka_unit_test (cancellations_bind_submissions_of_their_account_only),
    cmocka_unit_test (the_earlier_version_reads_the_records),
    cmocka_unit_test (damaged_account_records_are_refused),
    cmocka_unit_test (account_records_without_a_job_are_deleted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
