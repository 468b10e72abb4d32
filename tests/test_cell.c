/* Pure parts of a cell: routes, lanes for advice, and messages between VMs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cell/cell_config.h"
#include "cell/cell_lanes.h"
#include "cell/cell_wire.h"

static void
finds_the_longest_prefix (void **state)
{
  (void) state;
  CellConfig config = { 0 };
  GrName host = gr_name ("a.example");
  DagQueue queue = { .name = gr_name ("short") };
  cell_config_add (&config, &host, GR_STR ("/x/"), &queue);
  queue.name = gr_name ("long");
  cell_config_add (&config, &host, GR_STR ("/x/y/"), &queue);
  static const struct {
    const char *host, *path, *queue; /* NULL: no route */
  } cases[] = { { "a.example", "/x/1", "short" },      { "a.example", "/x/y/1", "long" },
                { "a.example:8080", "/x/1", "short" }, { "b.example", "/x/1", NULL },
                { "a.example", "/z/1", NULL },         { "", "/x/1", NULL } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const CellRoute *route
        = cell_config_find (&config, gr_str_from_c (cases[i].host), gr_str_from_c (cases[i].path));
    if (!cases[i].queue) {
      assert_null (route);
      continue;
    }
    assert_non_null (route);
    assert_true (gr_str_equal (gr_name_str (&config.queues.items[route->queue].name),
                               gr_str_from_c (cases[i].queue)));
  }
  cell_config_clear (&config);
}

static void
push_request (CellLanes *lanes, int64_t token, int32_t priority, int64_t expected_ms)
{
  CellAdviceRequest request = { .token = token, .priority = priority, .expected_ms = expected_ms };
  request.targets = gr_calloc (1, sizeof *request.targets);
  cell_lanes_push (lanes, &request);
}

/* Guards against head-of-line blocking: long requests for large jobs are queued ahead of a short
   one for an urgent job. */
static void
short_requests_do_not_wait_behind_long_ones (void **state)
{
  (void) state;
  CellLanes *lanes = cell_lanes_new ();
  GrName vms[3] = { gr_name ("a"), gr_name ("b"), gr_name ("c") };
  cell_lanes_set (lanes, vms, 3);
  for (int64_t token = 1; token <= 6; token++)
    push_request (lanes, token, 1, 600);
  push_request (lanes, 7, 0, 15);
  GrName vm;
  bool short_sent = false;
  size_t sent = 0;
  const CellAdviceRequest *request;
  while ((request = cell_lanes_next (lanes, &vm, 0)) != NULL) {
    sent++;
    short_sent |= request->token == 7;
  }
  assert_true (short_sent);
  /* Two of the three lanes carry one long request each. */
  assert_int_equal (sent, 3);
  cell_lanes_free (lanes);
}

static void
requests_of_a_removed_lane_are_sent_again (void **state)
{
  (void) state;
  CellLanes *lanes = cell_lanes_new ();
  GrName vms[2] = { gr_name ("a"), gr_name ("b") };
  cell_lanes_set (lanes, vms, 1);
  push_request (lanes, 1, 0, 15);
  GrName vm;
  assert_non_null (cell_lanes_next (lanes, &vm, 0));
  assert_null (cell_lanes_next (lanes, &vm, 0));
  cell_lanes_set (lanes, &vms[1], 1);
  assert_non_null (cell_lanes_next (lanes, &vm, 10));
  assert_true (gr_name_equal (&vm, &vms[1]));
  assert_int_equal (cell_lanes_overdue (lanes, 20), 0);
  assert_int_equal (cell_lanes_overdue (lanes, 5000), 1);
  CellAdviceRequest request;
  int64_t sent_at;
  assert_true (cell_lanes_finish (lanes, 1, false, 5000, &request, &sent_at));
  assert_int_equal (sent_at, 10);
  free (request.targets);
  cell_lanes_free (lanes);
}

/* Guards against the loss of a healthy leader when a configuration of hundreds of kilobytes is
   published on a cell of forty VMs: a copy sent with each heartbeat fills the links, and heartbeats
   are lost. */
static void
limits_configuration_pushes (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    bool has_store;
    int64_t reads_after_ms; /* the VM has the newest configuration from then on */
    int pushes_min, pushes_max;
  } cases[] = {
    { "reads it from the store", true, 600, 0, 0 },
    { "without the store", false, 10000, 3, 4 },
    { "without the store, applies the first copy", false, 300, 1, 1 },
    { "reads from the store hang", true, 2500, 1, 1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellConfigPush push = { 0 };
    int pushes = 0;
    for (int64_t now = 0; now < 3500; now += 300) {
      bool is_outdated = now < cases[i].reads_after_ms;
      pushes += cell_config_push_due (&push, is_outdated, cases[i].has_store, 1000 + now);
    }
    if (pushes < cases[i].pushes_min || pushes > cases[i].pushes_max)
      fail_msg ("%s: %d copies", cases[i].name, pushes);
  }
}

static void
messages_round_trip_and_truncated_ones_are_rejected (void **state)
{
  (void) state;
  DagAllowed allowed[1] = { { .target = gr_name ("t1"), .ticket = "k" } };
  GrName targets[2] = { gr_name ("t1"), gr_name ("t2") };
  CellWireMsg msgs[] = {
    { .type = CELL_WIRE_STATUS,
      .u.status = { { { gr_name ("a"), 7 }, 3, true, true, false, true, 12 }, 9 } },
    { .type = CELL_WIRE_CALL,
      .u.call = { 4, CELL_VERB_CANCEL, 9, gr_name ("q"), gr_name ("j"), { "x", 1 } } },
    { .type = CELL_WIRE_ANSWER, .u.answer = { 4, { CELL_ANSWER_REFUSED, 1000 } } },
    { .type = CELL_WIRE_ADVICE_REQUEST,
      .u.advice_request = { 5, gr_name ("j"), 2, 30, targets, 2 } },
    { .type = CELL_WIRE_ADVICE, .u.advice = { 5, true, allowed, 1 } },
    { .type = CELL_WIRE_CONFIG, .u.config = { "doc", 3 } },
  };
  for (size_t i = 0; i < sizeof msgs / sizeof msgs[0]; i++) {
    GrBuf first = { 0 }, second = { 0 };
    cell_wire_encode (&msgs[i], &first);
    for (size_t len = 0; len <= first.len; len++) {
      msgpack_unpacked unpacked;
      msgpack_unpacked_init (&unpacked);
      CellWireMsg msg;
      GrErr err = { 0 };
      /* A truncated message is a protocol error; a whole one encodes to the same bytes again. */
      bool ok = cell_wire_decode ((GrStr){ first.data, len }, &unpacked, &msg, &err);
      assert_int_equal (ok, len == first.len);
      if (ok)
        cell_wire_encode (&msg, &second);
      else
        assert_int_equal (err.code, GR_ERR_PROTOCOL);
      cell_wire_clear (&msg);
      msgpack_unpacked_destroy (&unpacked);
    }
    assert_true (gr_str_equal (gr_buf_str (&first), gr_buf_str (&second)));
    gr_buf_clear (&first);
    gr_buf_clear (&second);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (finds_the_longest_prefix),
    cmocka_unit_test (short_requests_do_not_wait_behind_long_ones),
    cmocka_unit_test (requests_of_a_removed_lane_are_sent_again),
    cmocka_unit_test (limits_configuration_pushes),
    cmocka_unit_test (messages_round_trip_and_truncated_ones_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
