/* Ownership: codecs, the effect of records on the owner of a key, and one VM driven step by step.
   Guards against decoders that accept malformed bytes, readers that derive different owners from
   the same records, keys that are refreshed or handed over at the wrong time, and a planned stop
   that keeps keys. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "own/own.h"

static GrVmRef
ref (const char *vm, int64_t incarnation)
{
  return (GrVmRef){ gr_name (vm), incarnation };
}

static OwnOptions
options_of (const char *vm)
{
  return (OwnOptions){ .self = ref (vm, 10), .region = gr_name ("r1"), .seed = 7 };
}

static void
options_are_checked (void **state)
{
  (void) state;
  static const struct {
    const char *vm, *region;
    int64_t lease_ms;
    GrErrCode code;
    const char *field;
  } cases[] = {
    { "e1", "r1", 0, GR_ERR_NONE, "" },
    { "", "r1", 0, GR_ERR_MISSING, "self" },
    { "e1", "", 0, GR_ERR_MISSING, "region" },
    { "e1", "r1", -1, GR_ERR_INVALID, "lease_ms" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    OwnOptions options = { .self = ref (cases[i].vm, 1),
                           .region = gr_name (cases[i].region),
                           .lease_ms = cases[i].lease_ms };
    GrErr err = { 0 };
    OwnState *own = own_new (&options, &err);
    assert_int_equal (own != NULL, cases[i].code == GR_ERR_NONE);
    assert_int_equal (err.code, cases[i].code);
    assert_true (gr_str_equal (gr_name_str (&err.field), gr_str_from_c (cases[i].field)));
    own_free (own);
  }
}

static OwnRecord
record (OwnRecordKind kind, const char *writer, int64_t incarnation, int64_t epoch, const char *to,
        int64_t to_incarnation)
{
  OwnRecord r = { .kind = kind, .writer = ref (writer, incarnation), .epoch = epoch };
  if (kind == OWN_RECORD_CLAIM || kind == OWN_RECORD_HANDOVER || kind == OWN_RECORD_REFRESH)
    r.key = gr_name ("part/r1/00");
  if (to)
    r.to = ref (to, to_incarnation);
  return r;
}

static void
records_round_trip_and_malformed_ones_are_refused (void **state)
{
  (void) state;
  const OwnRecord cases[] = {
    record (OWN_RECORD_JOIN, "e1", 5, 1, NULL, 0),
    record (OWN_RECORD_CLAIM, "e1", 5, 3, NULL, 0),
    record (OWN_RECORD_HANDOVER, "e1", 5, 4, "e2", 1733299200000),
    record (OWN_RECORD_GONE, "e1", 5, 1, "e2", 9),
    record (OWN_RECORD_LEAVE, "e1", 5, 0, NULL, 0),
    record (OWN_RECORD_REFRESH, "e1", 5, 3, NULL, 0),
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf buf = { 0 };
    own_record_encode (&cases[i], &buf);
    OwnRecord decoded;
    assert_true (own_record_decode (gr_buf_str (&buf), &decoded, NULL));
    assert_memory_equal (&decoded, &cases[i], sizeof decoded);
    for (size_t len = 0; len < buf.len; len++) {
      GrErr err = { 0 };
      assert_false (own_record_decode ((GrStr){ buf.data, len }, &decoded, &err));
      assert_int_equal (err.code, GR_ERR_PROTOCOL);
    }
    gr_buf_append (&buf, "\xc0", 1); /* trailing byte */
    assert_false (own_record_decode (gr_buf_str (&buf), &decoded, NULL));
    gr_buf_clear (&buf);
  }
  const OwnRecord incomplete[] = {
    record (OWN_RECORD_CLAIM, "", 5, 3, NULL, 0),           /* no writer */
    record (OWN_RECORD_CLAIM, "e1", 5, 0, NULL, 0),         /* no epoch */
    record (OWN_RECORD_HANDOVER, "e1", 5, 4, NULL, 0),      /* no new owner */
    record (OWN_RECORD_GONE, "e1", 5, 1, NULL, 0),          /* no VM that is gone */
    record ((OwnRecordKind) 6, "e1", 5, 1, NULL, 0),        /* unknown kind */
    record (OWN_RECORD_CLAIM, "e1", -5, 1, NULL, 0),        /* negative incarnation */
    record (OWN_RECORD_CLAIM, "e1", 5, INT64_MAX, NULL, 0), /* no next epoch */
  };
  for (size_t i = 0; i < sizeof incomplete / sizeof incomplete[0]; i++) {
    GrBuf buf = { 0 };
    own_record_encode (&incomplete[i], &buf);
    OwnRecord decoded;
    assert_false (own_record_decode (gr_buf_str (&buf), &decoded, NULL));
    gr_buf_clear (&buf);
  }
}

static void
heartbeats_round_trip_and_malformed_ones_are_refused (void **state)
{
  (void) state;
  OwnHeartbeat *heartbeat = gr_calloc (1, sizeof *heartbeat);
  OwnHeartbeat *decoded = gr_calloc (1, sizeof *decoded);
  heartbeat->from = ref ("e1", 10);
  heartbeat->seq = 77;
  heartbeat->reply = heartbeat->promise_given = heartbeat->joining = true;
  heartbeat->owned_hash = UINT64_MAX;
  heartbeat->moving_key = gr_name ("part/south/03");
  heartbeat->peer_count = 2;
  heartbeat->peers[0] = (OwnPeerAge){ ref ("e2", 11), 250, true };
  heartbeat->peers[1] = (OwnPeerAge){ ref ("e3", 12), -1, false };
  GrBuf buf = { 0 };
  own_heartbeat_encode (heartbeat, &buf);
  assert_true (own_heartbeat_decode (gr_buf_str (&buf), decoded, NULL));
  assert_memory_equal (decoded, heartbeat, sizeof *decoded);
  for (size_t len = 0; len < buf.len; len++)
    assert_false (own_heartbeat_decode ((GrStr){ buf.data, len }, decoded, NULL));
  /* A single changed byte must not crash the decoder or make it exceed its bounds. */
  for (size_t i = 0; i < buf.len; i++) {
    char original = buf.data[i];
    for (int value = 0; value < 256; value++) {
      buf.data[i] = (char) value;
      if (own_heartbeat_decode (gr_buf_str (&buf), decoded, NULL))
        assert_true (decoded->peer_count <= OWN_PEERS_MAX && decoded->from.vm.len > 0);
    }
    buf.data[i] = original;
  }
  /* A peers list whose declared size is above the bound and has no elements. */
  static const char oversized[] = "\x96\xa2"
                                  "e1\x0a\x01\x00\x00\xdd\xff\xff\xff\xff";
  assert_false (own_heartbeat_decode ((GrStr){ oversized, sizeof oversized - 1 }, decoded, NULL));
  gr_buf_clear (&buf);
  free (heartbeat);
  free (decoded);
}

/* Passes the records of each case to a VM that only reads the log, and checks the owner. */
static void
records_decide_the_owner (void **state)
{
  (void) state;
  enum {
    J = OWN_RECORD_JOIN,
    C = OWN_RECORD_CLAIM,
    H = OWN_RECORD_HANDOVER,
    G = OWN_RECORD_GONE,
    L = OWN_RECORD_LEAVE,
    R = OWN_RECORD_REFRESH
  };
  static const struct {
    const char *what;
    struct {
      int kind;
      const char *writer;
      int64_t incarnation, epoch;
      const char *to;
      int64_t to_incarnation;
    } records[5];
    const char *owner; /* NULL: none */
    int64_t epoch;
  } cases[] = {
    { "no records", { { 0 } }, NULL, 0 },
    { "the first claim of an epoch wins", { { C, "a", 1, 1 }, { C, "b", 1, 1 } }, "a", 1 },
    { "a claim of the next epoch wins", { { C, "a", 1, 1 }, { C, "b", 1, 2 } }, "b", 2 },
    { "a second claim of an epoch is void",
      { { C, "a", 1, 1 }, { C, "b", 1, 2 }, { C, "c", 1, 2 } },
      "b",
      2 },
    { "the owner hands over", { { C, "a", 1, 1 }, { H, "a", 1, 2, "b", 1 } }, "b", 2 },
    { "a handover by another VM is void",
      { { C, "a", 1, 1 }, { C, "b", 1, 2 }, { H, "a", 1, 3, "c", 1 } },
      "b",
      2 },
    { "an owner that has left owns nothing", { { C, "a", 1, 1 }, { L, "a", 1 } }, NULL, 0 },
    { "a claim after a leave record is void", { { L, "a", 1 }, { C, "a", 1, 1 } }, NULL, 0 },
    { "a claim after a gone record is void",
      { { J, "a", 1, 1 }, { G, "b", 1, 1, "a", 1 }, { C, "a", 1, 1 } },
      NULL,
      0 },
    { "a gone record ends only the join that its writer had read",
      { { J, "a", 1, 1 }, { J, "a", 1, 2 }, { G, "b", 1, 1, "a", 1 }, { C, "a", 1, 1 } },
      "a",
      1 },
    { "a higher incarnation ends the lower one",
      { { C, "a", 1, 1 }, { J, "a", 2, 1 }, { C, "a", 1, 2 } },
      NULL,
      0 },
    { "a refresh sets the owner of an unknown key", { { R, "a", 1, 7 } }, "a", 7 },
    { "a refresh of an old epoch changes nothing",
      { { C, "a", 1, 1 }, { C, "b", 1, 2 }, { R, "a", 1, 1 } },
      "b",
      2 },
    { "a refresh replaces a claim that may have lost to a removed record",
      { { C, "a", 1, 5 }, { R, "b", 1, 5 } },
      "b",
      5 },
    { "a confirmed owner is not replaced at its own epoch",
      { { C, "a", 1, 5 }, { R, "a", 1, 5 }, { R, "b", 1, 5 } },
      "a",
      5 },
    { "an owner raises its own epoch", { { R, "a", 1, 2 }, { C, "a", 1, 9 } }, "a", 9 },
    { "another VM cannot skip an epoch", { { R, "a", 1, 2 }, { C, "b", 1, 9 } }, "a", 2 },
  };
  GrName key = gr_name ("part/r1/00");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    OwnOptions options = options_of ("reader");
    OwnState *own = own_new (&options, NULL);
    OwnCmds cmds = { 0 };
    for (size_t n = 0; n < 5 && cases[i].records[n].writer; n++) {
      OwnMsg msg = { .kind = OWN_MSG_RECORD };
      msg.record = record ((OwnRecordKind) cases[i].records[n].kind, cases[i].records[n].writer,
                           cases[i].records[n].incarnation, cases[i].records[n].epoch,
                           cases[i].records[n].to, cases[i].records[n].to_incarnation);
      own_step (own, &msg, 1000, &cmds);
    }
    GrVmRef owner = { 0 };
    int64_t epoch = 0;
    bool has = own_owner (own, &key, &owner, &epoch);
    if (has != (cases[i].owner != NULL) || epoch != cases[i].epoch
        || (has && !gr_str_equal (gr_name_str (&owner.vm), gr_str_from_c (cases[i].owner))))
      fail_msg ("%s: owner %.*s epoch %lld", cases[i].what, GR_NAME_ARG (owner.vm),
                (long long) epoch);
    own_cmds_clear (&cmds);
    own_free (own);
  }
}

/* One VM, "e1", whose appends commit and are read back at the next step. */
typedef struct {
  OwnState *own;
  int64_t now_ms;
  GR_LIST (OwnRecord) written; /* all records that it appended */
  size_t read;
  size_t handovers, refreshes;
  int64_t first_handover_ms, last_handover_ms, least_handover_gap_ms;
  bool stopped, reidentified, peer_up; /* peer_up: "e2" sends heartbeats */
  bool store_up;
  int64_t stale_fence; /* fence of the targets: an inventory of a lower epoch is refused */
} Driver;

static void driver_execute (Driver *driver, OwnCmds *cmds);

static void
driver_step (Driver *driver, const OwnMsg *msg)
{
  OwnCmds cmds = { 0 };
  own_step (driver->own, msg, driver->now_ms, &cmds);
  driver_execute (driver, &cmds);
  own_cmds_clear (&cmds);
}

static void
driver_execute (Driver *driver, OwnCmds *cmds)
{
  for (size_t i = 0; i < cmds->count; i++) {
    const OwnCmd *cmd = &cmds->items[i];
    switch (cmd->kind) {
    case OWN_CMD_APPEND: {
      gr_list_push (&driver->written, cmd->append.record);
      OwnMsg msg = { .kind = OWN_MSG_APPEND_RESULT };
      msg.append_result.token = cmd->append.token;
      msg.append_result.outcome = OWN_APPEND_COMMITTED;
      driver_step (driver, &msg);
      driver->refreshes += cmd->append.record.kind == OWN_RECORD_REFRESH;
      if (cmd->append.record.kind == OWN_RECORD_HANDOVER) {
        int64_t gap = driver->now_ms - driver->last_handover_ms;
        if (driver->handovers == 0)
          driver->first_handover_ms = driver->now_ms;
        else if (gap < driver->least_handover_gap_ms)
          driver->least_handover_gap_ms = gap;
        driver->last_handover_ms = driver->now_ms;
        driver->handovers++;
      }
      break;
    }
    case OWN_CMD_TAKE_INVENTORY: {
      bool stale = cmd->key.epoch < driver->stale_fence;
      OwnMsg msg = { .kind = stale ? OWN_MSG_STALE_EPOCH : OWN_MSG_INVENTORY_DONE };
      if (stale) {
        msg.stale_epoch.key = cmd->key.key;
        msg.stale_epoch.fence_epoch = driver->stale_fence;
      } else {
        msg.inventory_done.key = cmd->key.key;
        msg.inventory_done.epoch = cmd->key.epoch;
      }
      driver_step (driver, &msg);
      break;
    }
    case OWN_CMD_STOPPED:
      driver->stopped = true;
      break;
    case OWN_CMD_REIDENTIFY:
      driver->reidentified = true;
      break;
    case OWN_CMD_HEARTBEAT:
    case OWN_CMD_KEY_GAINED:
    case OWN_CMD_KEY_LOST:
    case OWN_CMD_MEMBER_STATE:
      break;
    }
  }
}

static void
driver_run (Driver *driver, int64_t duration_ms)
{
  OwnHeartbeat *heartbeat = gr_calloc (1, sizeof *heartbeat);
  for (int64_t end = driver->now_ms + duration_ms; driver->now_ms < end; driver->now_ms += 100) {
    OwnMsg tick = { .kind = OWN_MSG_TICK };
    driver_step (driver, &tick);
    if (driver->peer_up) {
      heartbeat->from = ref ("e2", 20);
      heartbeat->seq++;
      OwnMsg msg = { .kind = OWN_MSG_HEARTBEAT, .heartbeat = heartbeat };
      driver_step (driver, &msg);
    }
    if (!driver->store_up)
      continue;
    while (driver->read < driver->written.count) {
      OwnMsg msg = { .kind = OWN_MSG_RECORD };
      msg.record = driver->written.items[driver->read++];
      driver_step (driver, &msg);
    }
    OwnMsg read = { .kind = OWN_MSG_LOG_READ };
    read.log_read.sent_ms = driver->now_ms;
    driver_step (driver, &read);
  }
  free (heartbeat);
}

static void
driver_init (Driver *driver, const OwnOptions *options, size_t keys)
{
  memset (driver, 0, sizeof *driver);
  driver->own = own_new (options, NULL);
  driver->now_ms = 1000;
  driver->least_handover_gap_ms = INT64_MAX;
  driver->store_up = true;
  GrName names[32];
  for (size_t i = 0; i < keys; i++)
    names[i] = gr_name_format ("group/r1/g%02zu", i);
  OwnMsg msg = { .kind = OWN_MSG_KEYS };
  msg.keys.keys = names;
  msg.keys.count = keys;
  driver_step (driver, &msg);
}

static void
driver_clear (Driver *driver)
{
  own_free (driver->own);
  gr_list_clear (&driver->written);
}

static void
a_claim_waits_before_the_first_start (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  Driver driver;
  driver_init (&driver, &options, 1);
  GrName key = gr_name ("group/r1/g00");
  int64_t owner_at = -1, start_at = -1;
  while (driver.now_ms < 20000 && start_at < 0) {
    driver_run (&driver, 100);
    if (owner_at < 0 && own_is_self (driver.own, &key))
      owner_at = driver.now_ms;
    if (own_may_start (driver.own, &key, driver.now_ms))
      start_at = driver.now_ms;
  }
  assert_true (owner_at > 0);
  assert_in_range (start_at - owner_at, 3400, 3800); /* lease and margin, in steps of 100 ms */
  driver_clear (&driver);
}

static void
an_expired_log_read_stops_starts_without_promises (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  Driver driver;
  driver_init (&driver, &options, 1);
  GrName key = gr_name ("group/r1/g00");
  driver_run (&driver, 10000);
  assert_true (own_may_start (driver.own, &key, driver.now_ms));
  driver.store_up = false;
  driver_run (&driver, 2500);
  assert_true (own_may_start (driver.own, &key, driver.now_ms));
  driver_run (&driver, 1000);
  assert_false (own_may_start (driver.own, &key, driver.now_ms));
  assert_false (own_in_promise_mode (driver.own, driver.now_ms)); /* the list was never read */
  driver.store_up = true;
  driver_run (&driver, 200);
  assert_true (own_may_start (driver.own, &key, driver.now_ms));
  driver_clear (&driver);
}

static void
owners_refresh_at_half_of_the_retention (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  options.refresh_interval_ms = 60000;
  Driver driver;
  driver_init (&driver, &options, 4);
  driver_run (&driver, 50000);
  assert_int_equal (driver.refreshes, 0);
  driver_run (&driver, 20000);
  assert_int_equal (driver.refreshes, 4);
  driver_run (&driver, 60000);
  assert_int_equal (driver.refreshes, 8);
  driver_clear (&driver);
}

static void
an_owner_that_could_not_refresh_ends_its_incarnation (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  options.refresh_interval_ms = 60000;
  Driver driver;
  driver_init (&driver, &options, 1);
  driver_run (&driver, 10000);
  driver.store_up = false;
  driver_run (&driver, 70000);
  assert_false (driver.reidentified);
  driver_run (&driver, 30000);
  assert_true (driver.reidentified);
  assert_int_equal (own_key_count (driver.own), 0);
  driver_clear (&driver);
}

static void
rebalancing_moves_at_most_one_key_per_interval (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  options.handover_interval_ms = 2000;
  Driver driver;
  driver_init (&driver, &options, 24);
  driver_run (&driver, 10000);
  assert_int_equal (own_key_count (driver.own), 24);
  assert_int_equal (driver.handovers, 0);
  driver.peer_up = true;
  driver_run (&driver, 120000);
  /* About half of the keys prefer the other VM; all that do have moved by now. */
  assert_in_range (driver.handovers, 5, 19);
  assert_int_equal (own_key_count (driver.own), 24 - driver.handovers);
  assert_true (driver.least_handover_gap_ms >= 2000);
  driver_clear (&driver);
}

static void
a_stop_hands_over_all_keys_and_appends_a_leave_record (void **state)
{
  (void) state;
  static const struct {
    bool peer_up;
    size_t handovers;
  } cases[] = { { true, 16 }, { false, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    OwnOptions options = options_of ("e1");
    options.handover_interval_ms = 1000000; /* rebalancing is too slow to move the keys */
    Driver driver;
    driver_init (&driver, &options, 16);
    driver_run (&driver, 10000);
    driver.peer_up = cases[i].peer_up;
    driver_run (&driver, 1000);
    size_t before = driver.handovers;
    assert_int_equal (before, 0);
    OwnMsg msg = { .kind = OWN_MSG_STOP };
    int64_t stop_ms = driver.now_ms;
    driver_step (&driver, &msg);
    driver_run (&driver, 2000);
    assert_int_equal (driver.handovers, cases[i].handovers);
    if (cases[i].handovers > 0)
      assert_true (driver.last_handover_ms - stop_ms <= 200);
    assert_true (driver.stopped);
    assert_int_equal (driver.written.items[driver.written.count - 1].kind, OWN_RECORD_LEAVE);
    GrName key = gr_name ("group/r1/g00");
    assert_false (own_may_start (driver.own, &key, driver.now_ms));
    driver_clear (&driver);
  }
}

static void
a_claim_below_the_fence_of_the_targets_is_raised (void **state)
{
  (void) state;
  OwnOptions options = options_of ("e1");
  Driver driver;
  driver_init (&driver, &options, 1);
  driver.stale_fence = 41;
  driver_run (&driver, 15000);
  GrName key = gr_name ("group/r1/g00");
  int64_t epoch = 0;
  assert_true (own_owner (driver.own, &key, NULL, &epoch));
  assert_int_equal (epoch, 42);
  assert_true (own_may_start (driver.own, &key, driver.now_ms));
  driver_clear (&driver);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (options_are_checked),
    cmocka_unit_test (records_round_trip_and_malformed_ones_are_refused),
    cmocka_unit_test (heartbeats_round_trip_and_malformed_ones_are_refused),
    cmocka_unit_test (records_decide_the_owner),
    cmocka_unit_test (a_claim_waits_before_the_first_start),
    cmocka_unit_test (an_expired_log_read_stops_starts_without_promises),
    cmocka_unit_test (owners_refresh_at_half_of_the_retention),
    cmocka_unit_test (an_owner_that_could_not_refresh_ends_its_incarnation),
    cmocka_unit_test (rebalancing_moves_at_most_one_key_per_interval),
    cmocka_unit_test (a_stop_hands_over_all_keys_and_appends_a_leave_record),
    cmocka_unit_test (a_claim_below_the_fence_of_the_targets_is_raised),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
