/* Pure parts of a cell: routes, lanes for advice, relays, links, and messages between VMs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/gr_name_key.h"
#include "cell/cell_config.h"
#include "cell/cell_confirm.h"
#include "cell/cell_lanes.h"
#include "cell/cell_links.h"
#include "cell/cell_relays.h"
#include "cell/cell_wire.h"

#define LONG_HOST "a-host-of-more-than-sixty-three-bytes.in-a-domain-of-a-domain.example.a"

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
  queue.name = gr_name ("long host");
  host = gr_name_key (GR_STR (LONG_HOST "a"));
  cell_config_add (&config, &host, GR_STR ("/x/"), &queue);
  static const struct {
    const char *host, *path, *queue; /* NULL: no route */
  } cases[] = { { "a.example", "/x/1", "short" },       { "a.example", "/x/y/1", "long" },
                { "a.example:8080", "/x/1", "short" },  { "b.example", "/x/1", NULL },
                { "a.example", "/z/1", NULL },          { "", "/x/1", NULL },
                { LONG_HOST "a", "/x/1", "long host" }, { LONG_HOST "a:8080", "/x/1", "long host" },
                { LONG_HOST "b", "/x/1", NULL },        { LONG_HOST, "/x/1", NULL } };
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

/* Guards against steps that wait for advice behind a backlog although lanes are idle: after a
   change of leader on a cell of 147 VMs all steps ask anew, with long requests, and a third of the
   lanes was kept for short ones, which need a few. */
static void
large_cells_use_most_lanes_for_long_requests (void **state)
{
  (void) state;
  static const struct {
    size_t vms, long_min, long_max;
  } cases[]
      = { { 1, 1, 1 }, { 3, 2, 2 }, { 7, 4, 4 }, { 9, 6, 6 }, { 38, 26, 26 }, { 147, 135, 135 } };
  static GrName vms[147];
  for (size_t i = 0; i < 147; i++)
    vms[i] = gr_name_format ("vm%zu", i);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellLanes *lanes = cell_lanes_new ();
    cell_lanes_set (lanes, vms, cases[i].vms);
    for (int64_t token = 1; token <= 400; token++)
      push_request (lanes, token, 1, 600);
    GrName vm;
    size_t sent = 0;
    while (cell_lanes_next (lanes, &vm, 0))
      sent++;
    if (sent < cases[i].long_min || sent > cases[i].long_max)
      fail_msg ("%zu VMs: %zu long requests in flight", cases[i].vms, sent);
    push_request (lanes, 1000, 0, 15);
    assert_int_equal (cell_lanes_next (lanes, &vm, 0) != NULL, cases[i].vms > 1);
    cell_lanes_free (lanes);
  }
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

/* Members "vm0", "vm1", ... in six zones; the first strong ones have half a core, the others an
   eighth. */
static void
make_members (LdrMember *members, size_t count, size_t strong)
{
  for (size_t i = 0; i < count; i++)
    members[i] = (LdrMember){ .vm = { gr_name_format ("vm%zu", i), 1 },
                              .zone = gr_name_format ("z%zu", i % 6),
                              .weight = i < strong ? 500 : 120 };
}

/* Guards against a leader whose processor is spent on exchanges with targets: on a cell of a
   thousand targets it sent every start and hold itself, half of them went unanswered, and the
   repeats made it worse. Cells that one VM carries must stay without the extra hop. */
static void
relays_are_chosen_by_the_number_of_targets (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    size_t members, strong, targets;
    int32_t self_weight;
    size_t relays_min, relays_max;
  } cases[] = { { "small cell", 9, 0, 48, 250, 0, 0 },
                { "one strong leader", 40, 10, 150, 500, 0, 0 },
                { "weak VMs, few targets", 23, 0, 120, 120, 4, 8 },
                { "a thousand targets", 146, 17, 1100, 500, 12, 17 },
                { "more than all VMs carry", 146, 17, 100000, 500, 146, 146 },
                { "nobody linked", 0, 0, 1100, 500, 0, 0 } };
  static LdrMember members[146];
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellRelays *relays = cell_relays_new ();
    LdrMember self = { .vm = { gr_name ("self"), 1 }, .weight = cases[i].self_weight };
    make_members (members, cases[i].members, cases[i].strong);
    cell_relays_set (relays, &self, members, cases[i].members, cases[i].targets);
    size_t count = cell_relays_count (relays);
    if (count < cases[i].relays_min || count > cases[i].relays_max)
      fail_msg ("%s: %zu relays", cases[i].name, count);
    cell_relays_free (relays);
  }
}

/* Guards against moving targets between relays for nothing, which costs their connections, against
   uneven shares, and against a relay that does not answer and keeps its targets. */
static void
targets_keep_their_relay_while_it_answers (void **state)
{
  (void) state;
  enum {
    MEMBERS = 40,
    TARGETS = 600
  };
  static LdrMember members[MEMBERS];
  make_members (members, MEMBERS, MEMBERS);
  CellRelays *relays = cell_relays_new ();
  LdrMember self = { .vm = { gr_name ("self"), 1 }, .weight = 100 };
  cell_relays_set (relays, &self, members, MEMBERS, TARGETS);
  static GrName before[TARGETS];
  int share[MEMBERS] = { 0 };
  for (int t = 0; t < TARGETS; t++) {
    GrName target = gr_name_format ("t%d", t), zone = gr_name_format ("z%d", t % 6);
    before[t] = *cell_relays_choose (relays, &target, &zone, 0);
    int vm = atoi (before[t].data + 2);
    share[vm]++;
    assert_int_equal (vm % 6, t % 6); /* a relay of the target's zone */
  }
  for (int m = 0; m < MEMBERS; m++)
    assert_true (share[m] <= 4 * TARGETS / (int) cell_relays_count (relays));
  const GrName silent = before[0];
  for (int lost = 0; lost < 3; lost++)
    cell_relays_result (relays, &silent, &before[0], CELL_RELAY_SILENT, 0);
  for (int t = 0; t < TARGETS; t++) {
    GrName target = gr_name_format ("t%d", t), zone = gr_name_format ("z%d", t % 6);
    const GrName *now = cell_relays_choose (relays, &target, &zone, 10);
    const GrName *later = cell_relays_choose (relays, &target, &zone, 1000);
    bool was_silent = gr_name_equal (&before[t], &silent);
    assert_int_equal (gr_name_equal (now, &before[t]), !was_silent);
    assert_true (gr_name_equal (later, &before[t]));
  }
  cell_relays_free (relays);
}

/* Guards against relays that lose their targets because some of these crash, and against a relay
   that keeps them although it does not reach them. */
static void
relays_that_reach_no_targets_are_left_out (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    CellRelayOutcome outcome;
    int orders, targets; /* orders in a row with this outcome, and the targets that they name */
    bool answer_between; /* another target answers after each of them */
    bool left_out;
  } cases[] = {
    { "relay silent", CELL_RELAY_SILENT, 3, 3, false, true },
    { "one order lost", CELL_RELAY_SILENT, 1, 1, false, false },
    { "one target crashes under many orders", CELL_RELAY_TARGET_SILENT, 50, 1, false, false },
    { "five targets crash at once", CELL_RELAY_TARGET_SILENT, 20, 5, false, false },
    { "targets crash one after the other", CELL_RELAY_TARGET_SILENT, 200, 60, true, false },
    { "no target answers", CELL_RELAY_TARGET_SILENT, 60, 60, false, true },
  };
  enum {
    MEMBERS = 40,
    TARGETS = 1100
  };
  static LdrMember members[MEMBERS];
  make_members (members, MEMBERS, MEMBERS);
  LdrMember self = { .vm = { gr_name ("self"), 1 }, .weight = 100 };
  GrName first = gr_name ("t0"), zone = gr_name ("z0");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellRelays *relays = cell_relays_new ();
    cell_relays_set (relays, &self, members, MEMBERS, TARGETS);
    const GrName relay = *cell_relays_choose (relays, &first, &zone, 0);
    int64_t left_out_ms = 0;
    for (int o = 0; o < cases[i].orders; o++) {
      GrName target = gr_name_format ("t%d", o % cases[i].targets);
      left_out_ms += cell_relays_result (relays, &relay, &target, cases[i].outcome, o);
      if (cases[i].answer_between)
        cell_relays_result (relays, &relay, &first, CELL_RELAY_ANSWERED, o);
    }
    if ((left_out_ms > 0) != cases[i].left_out)
      fail_msg ("%s: left out for %lld ms", cases[i].name, (long long) left_out_ms);
    cell_relays_free (relays);
  }
}

/* Guards against starts without a payload, after a relay has restarted or has dropped old ones. */
static void
payloads_are_sent_once_for_each_relay (void **state)
{
  (void) state;
  CellRelays *relays = cell_relays_new ();
  LdrMember self = { .vm = { gr_name ("self"), 1 }, .weight = 100 };
  LdrMember members[2];
  make_members (members, 2, 2);
  cell_relays_set (relays, &self, members, 2, 100);
  GrName job = gr_name ("job");
  const GrName *vm = &members[0].vm.vm;
  assert_false (cell_relays_has_payload (relays, vm, &job));
  assert_true (cell_relays_has_payload (relays, vm, &job));
  assert_false (cell_relays_has_payload (relays, &members[1].vm.vm, &job));
  cell_relays_link_down (relays, vm);
  assert_false (cell_relays_has_payload (relays, vm, &job));
  members[0].vm.incarnation++;
  cell_relays_set (relays, &self, members, 2, 100);
  assert_false (cell_relays_has_payload (relays, vm, &job));
  for (int i = 0; i < CELL_RELAY_PAYLOADS; i++) {
    GrName other = gr_name_format ("other%d", i);
    assert_false (cell_relays_has_payload (relays, vm, &other));
  }
  assert_false (cell_relays_has_payload (relays, vm, &job));
  cell_relays_free (relays);
}

/* Guards against links and heartbeats that grow with the square of the number of VMs, against VMs
   that disagree about the electors, and against electors that one zone takes away. */
static void
electors_are_few_strong_and_spread (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    size_t members, strong, electors, max_in_zone, weak_electors;
  } cases[] = { { "small cell", 9, 0, 9, 2, 9 },
                { "limit", 16, 0, 16, 3, 16 },
                { "equal VMs", 100, 0, 16, 3, 16 },
                { "enough strong VMs", 147, 18, 16, 3, 0 },
                { "few strong VMs", 147, 6, 16, 3, 10 } };
  static LdrMember members[147], shuffled[147];
  bool electors[147], others[147];
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    size_t count = cases[i].members;
    make_members (members, count, cases[i].strong);
    for (size_t m = 0; m < count; m++)
      shuffled[m] = members[count - 1 - m];
    cell_links_choose_electors (members, count, electors);
    cell_links_choose_electors (shuffled, count, others);
    size_t chosen = 0, weak = 0, in_zone[6] = { 0 };
    for (size_t m = 0; m < count; m++) {
      assert_int_equal (electors[m], others[count - 1 - m]);
      chosen += electors[m];
      weak += electors[m] && members[m].weight < 500;
      in_zone[m % 6] += electors[m];
    }
    if (chosen != cases[i].electors || weak != cases[i].weak_electors)
      fail_msg ("%s: %zu electors, %zu weak", cases[i].name, chosen, weak);
    for (size_t z = 0; z < 6; z++) {
      if (in_zone[z] > cases[i].max_in_zone)
        fail_msg ("%s: %zu electors in a zone", cases[i].name, in_zone[z]);
    }
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
    { .type = CELL_WIRE_CALL,
      .u.call
      = { 4, CELL_VERB_CANCEL, 9, gr_name ("q"), gr_name ("j"), { "x", 1 }, gr_name ("A") } },
    { .type = CELL_WIRE_ANSWER, .u.answer = { 4, { CELL_ANSWER_REFUSED, 1000 } } },
    { .type = CELL_WIRE_ANSWER, .u.answer = { 4, { CELL_ANSWER_FOREIGN, 0 } } },
    { .type = CELL_WIRE_ADVICE_REQUEST,
      .u.advice_request = { 5, gr_name ("j"), 2, 30, targets, 2 } },
    { .type = CELL_WIRE_ADVICE, .u.advice = { 5, true, allowed, 1 } },
    { .type = CELL_WIRE_CONFIG, .u.config = { "doc", 3 } },
    { .type = CELL_WIRE_TERM_CHECK, .u.term = { 3, 7, 5000 } },
    { .type = CELL_WIRE_TERM, .u.term = { 4, 7, 5000 } },
    { .type = CELL_WIRE_CAPABILITIES, .u.capabilities = CELL_WIRE_CAPABILITY_ACCOUNTS },
    { .type = CELL_WIRE_ORDER,
      .u.order = { 6,
                   3,
                   250,
                   false,
                   { .type = DAG_CMD_START,
                     .target = { gr_name ("t1"), gr_name ("h:1"), { 0 }, 7 },
                     .u.start = { .task = { gr_name ("j"), 1, 2 },
                                  .run = 4,
                                  .lease_until = 5000,
                                  .payload = { "work", 4 },
                                  .checkpoint = gr_name ("c"),
                                  .ticket = "k" } } } },
    { .type = CELL_WIRE_ORDER,
      .u.order = { 7,
                   3,
                   250,
                   true,
                   { .type = DAG_CMD_START, .u.start = { .task = { gr_name ("j"), 1, 3 } } } } },
    { .type = CELL_WIRE_ORDER,
      .u.order
      = { 8,
          3,
          700,
          false,
          { .type = DAG_CMD_STOP, .u.stop = { .task = { gr_name ("j"), 1, 2 }, .run = 4 } } } },
    { .type = CELL_WIRE_ORDER,
      .u.order = { 9,
                   3,
                   700,
                   false,
                   { .type = DAG_CMD_PACE,
                     .u.pace = { .task = { gr_name ("j"), 1, 2 }, .percent = 40 } } } },
    { .type = CELL_WIRE_ORDER,
      .u.order = { 10,
                   3,
                   1700,
                   false,
                   { .type = DAG_CMD_HOLD,
                     .u.hold = { .lease_until = 9, .acknowledged = 8, .wait_ms = 1000 } } } },
    { .type = CELL_WIRE_ORDER_RESULT, .u.order_result = { 6, DAG_ORDER_NO_ROOM, 0, false, { 0 } } },
    { .type = CELL_WIRE_ORDER_RESULT,
      .u.order_result
      = { 10,
          DAG_ORDER_OK,
          77,
          true,
          { 5, 77, &(DagRunReport){ { gr_name ("j"), 1, 2 }, 4, { "c", 1 }, 50, -1 }, 1,
            &(DagEnd){ 3, { gr_name ("j"), 1, 1 }, 2, DAG_END_FAILED, { "", 0 } }, 1 } } },
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

/* Guards against calls without an account that VMs of the version before accounts do not
   understand, and against a call whose account is lost on its way to them: they refuse it. */
static void
calls_without_an_account_keep_their_form (void **state)
{
  (void) state;
  CellWireMsg msg = {
    .type = CELL_WIRE_CALL,
    .u.call = { 4, CELL_VERB_STATUS, 9, gr_name ("q"), gr_name ("j"), { "x", 1 }, { 0 } },
  };
  /* As that version writes it. */
  static const char before[] = "\x97\x02\x04\x01\x09\xa1q\xa1j\xc4\x01x";
  static const char with_account[] = "\x98\x02\x04\x01\x09\xa1q\xa1j\xc4\x01x\xa1"
                                     "A";
  static const char with_empty_account[] = "\x98\x02\x04\x01\x09\xa1q\xa1j\xc4\x01x\xa0";
  GrBuf bytes = { 0 };
  cell_wire_encode (&msg, &bytes);
  assert_true (gr_str_equal (gr_buf_str (&bytes), GR_STR (before)));
  gr_buf_clear (&bytes);
  msg.u.call.account = gr_name ("A");
  cell_wire_encode (&msg, &bytes);
  assert_true (gr_str_equal (gr_buf_str (&bytes), GR_STR (with_account)));
  gr_buf_clear (&bytes);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  assert_false (cell_wire_decode (GR_STR (with_empty_account), &unpacked, &msg, NULL));
  msgpack_unpacked_destroy (&unpacked);
}

/* Guards against callers who see jobs of an account for which they have no key, and against calls
   that lose sight of their jobs while a version with the first accounts spreads: the VM that has
   received them may not check keys yet. */
static void
calls_without_an_account_are_told_apart (void **state)
{
  (void) state;
  static const struct {
    bool has_keys;
    const char *queue, *account;
    bool told;
  } cases[] = { { true, "open", "", true },    { true, "closed", "", false },
                { true, "closed", "A", true }, { true, "gone", "", false },
                { false, "open", "", false },  { false, "closed", "", false },
                { false, "closed", "A", true } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellConfig config = { .keys = cases[i].has_keys ? acct_keys_new () : NULL };
    GrName host = gr_name ("h");
    cell_config_add (&config, &host, GR_STR ("/c/"), &(DagQueue){ .name = gr_name ("closed") });
    cell_config_add (&config, &host, GR_STR ("/o/"), &(DagQueue){ .name = gr_name ("open") });
    config.routes.items[1].is_public = true;
    GrName queue = gr_name (cases[i].queue), account = gr_name (cases[i].account);
    if (cell_config_knows_account (&config, &queue, &account) != cases[i].told)
      fail_msg ("case %zu", i);
    cell_config_clear (&config);
  }
}

/* Guards against answers of a VM that is not the leader any more: a call that arrives while a check
   of the leadership is in flight is not answered by it. */
static void
checks_cover_the_calls_before_them (void **state)
{
  (void) state;
  CellConfirm confirm = { 0 };
  CellConfirmCalls calls;
  GrName self = { 0 }, vm = gr_name ("e1");
  assert_false (cell_confirm_begin (&confirm, false));
  cell_confirm_add (&confirm, &self, 1);
  assert_true (cell_confirm_begin (&confirm, false));
  cell_confirm_add (&confirm, &vm, 2);
  cell_confirm_add (&confirm, &self, 3);
  assert_false (cell_confirm_begin (&confirm, false));
  cell_confirm_end (&confirm, &calls);
  assert_int_equal (calls.count, 1);
  assert_int_equal (calls.items[0].id, 1);
  gr_list_clear (&calls);
  assert_true (cell_confirm_begin (&confirm, false));
  cell_confirm_end (&confirm, &calls);
  assert_int_equal (calls.count, 2);
  assert_true (gr_name_equal (&calls.items[0].from, &vm));
  assert_int_equal (calls.items[1].id, 3);
  gr_list_clear (&calls);
  assert_false (cell_confirm_begin (&confirm, false));
  assert_true (cell_confirm_begin (&confirm, true));
  assert_false (cell_confirm_begin (&confirm, true));
  cell_confirm_end (&confirm, &calls);
  assert_int_equal (calls.count, 0);
  cell_confirm_add (&confirm, &self, 4);
  cell_confirm_clear (&confirm);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (checks_cover_the_calls_before_them),
    cmocka_unit_test (finds_the_longest_prefix),
    cmocka_unit_test (calls_without_an_account_keep_their_form),
    cmocka_unit_test (calls_without_an_account_are_told_apart),
    cmocka_unit_test (short_requests_do_not_wait_behind_long_ones),
    cmocka_unit_test (large_cells_use_most_lanes_for_long_requests),
    cmocka_unit_test (requests_of_a_removed_lane_are_sent_again),
    cmocka_unit_test (limits_configuration_pushes),
    cmocka_unit_test (relays_are_chosen_by_the_number_of_targets),
    cmocka_unit_test (targets_keep_their_relay_while_it_answers),
    cmocka_unit_test (relays_that_reach_no_targets_are_left_out),
    cmocka_unit_test (payloads_are_sent_once_for_each_relay),
    cmocka_unit_test (electors_are_few_strong_and_spread),
    cmocka_unit_test (messages_round_trip_and_truncated_ones_are_rejected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
