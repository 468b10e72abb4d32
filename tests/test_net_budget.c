/* Memory budget and early reading of request headers. Guards against a process that runs out of
   memory because of requests that never end, and against limits that close ordinary requests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "net/net_budget.h"
#include "net/net_head.h"

#define KB 1024
static const NetBudgetOptions options
    = { .total_bytes = 1000 * KB, .small_bytes = 10 * KB, .request_bytes = 100 * KB };

/* Expected commands of one decision for a list of requests, one letter each: 'w'ait, 'r'esume,
   'c'ut, 'd'eadline, '-' none, ' ' any. */
typedef struct {
  const char *name;
  struct {
    const char *address;
    NetBudgetPhase phase;
    int64_t held_kb;
    int64_t still_ms;
  } requests[6];
  const char *expected;
} Case;

/* Guards against stalled requests that keep memory for which others wait, and against decisions
   that close requests that are complete, still receive bytes, or are within their deadline. */
static void
decisions_follow_phase_size_and_progress (void **state)
{
  (void) state;
  static const Case cases[] = {
    { "nothing waits below the budget",
      { { "a", NET_PHASE_BODY, 90, 0 }, { "a", NET_PHASE_BODY, 90, 5000 } },
      "--" },
    { "above half, large requests wait unless they can be granted",
      { { "a", NET_PHASE_BODY, 400, 0 },
        { "a", NET_PHASE_BODY, 200, 0 },
        { "a", NET_PHASE_HEAD, 9, 0 } },
      "--- " },
    { "above the total, the stalled request is closed",
      { { "a", NET_PHASE_BODY, 400, 0 },
        { "a", NET_PHASE_BODY, 300, 2000 },
        { "a", NET_PHASE_BODY, 400, 0 } },
      " c " },
    { "of stalled requests, the one that holds most; one that waited goes on",
      { { "a", NET_PHASE_BODY, 300, 2000 },
        { "a", NET_PHASE_BODY, 400, 2000 },
        { "a", NET_PHASE_BODY, 350, 2000 } },
      "-cr" },
    { "of equal ones, that of the client that holds more elsewhere",
      { { "a", NET_PHASE_BODY, 300, 2000 },
        { "b", NET_PHASE_BODY, 300, 2000 },
        { "b", NET_PHASE_BODY, 450, 0 } },
      "-c " },
    { "complete requests are never closed",
      { { "a", NET_PHASE_WORK, 900, 9000 },
        { "a", NET_PHASE_BODY, 150, 0 },
        { "a", NET_PHASE_REPLY, 200, 9000 } },
      "-c-" },
    { "deadlines of each phase",
      { { "a", NET_PHASE_IDLE, 0, 15000 },
        { "a", NET_PHASE_IDLE, 0, 30000 },
        { "a", NET_PHASE_HEAD, 1, 3000 },
        { "a", NET_PHASE_HEAD, 1, 6000 },
        { "a", NET_PHASE_WORK, 1, 90000 },
        { "a", NET_PHASE_REPLY, 1, 30000 } },
      "-d-d-d" },
    { "a stalled body, and one at the minimum rate",
      { { "a", NET_PHASE_BODY, 0, 20000 },
        { "a", NET_PHASE_BODY, 30, 20000 },
        { "a", NET_PHASE_BODY, 90, 30000 } },
      "d-d" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const int64_t now = 1000000;
    NetBudget *budget = net_budget_new (&options);
    NetBudgetItem *items[6] = { NULL };
    char got[7] = "      ";
    size_t count = 0;
    for (; count < 6 && cases[i].requests[count].address; count++) {
      int64_t at = now - cases[i].requests[count].still_ms;
      int64_t held = cases[i].requests[count].held_kb * KB;
      items[count] = net_budget_add (budget, gr_str_from_c (cases[i].requests[count].address),
                                     &got[count], at);
      net_budget_enter (items[count], cases[i].requests[count].phase, at);
      net_budget_charge (items[count], held, held, held, at);
      got[count] = '-';
    }
    NetBudgetCmds cmds = { 0 };
    net_budget_decide (budget, now, &cmds);
    for (size_t c = 0; c < cmds.count; c++)
      *(char *) cmds.items[c].user = "wrcd"[cmds.items[c].verb];
    for (size_t c = 0; c < count; c++) {
      if (cases[i].expected[c] != ' ' && got[c] != cases[i].expected[c])
        fail_msg ("%s: %s, expected %s", cases[i].name, got, cases[i].expected);
      net_budget_remove (items[c]);
    }
    assert_int_equal (net_budget_held (budget), 0);
    gr_list_clear (&cmds);
    net_budget_free (budget);
  }
}

/* Requests of one size that arrive in pieces, in a seeded order. */
enum {
  REQUESTS = 24, /* before their first grant, they hold a quarter of the total */
  PIECE = 8 * KB,
  BODY = 88 * KB
};

typedef struct {
  NetBudgetItem *item;
  int64_t received;
  bool stops_short, paused, closed, done;
} Sender;

static void
apply_decision (NetBudget *budget, int64_t now)
{
  NetBudgetCmds cmds = { 0 };
  net_budget_decide (budget, now, &cmds);
  for (size_t i = 0; i < cmds.count; i++) {
    Sender *sender = cmds.items[i].user;
    sender->paused = cmds.items[i].verb == NET_BUDGET_WAIT;
    sender->closed
        = cmds.items[i].verb == NET_BUDGET_CUT || cmds.items[i].verb == NET_BUDGET_DEADLINE;
    if (sender->closed && !sender->stops_short)
      fail_msg ("an ordinary request was closed by verb %d at %lld after %lld bytes, %lld held",
                cmds.items[i].verb, (long long) now, (long long) sender->received,
                (long long) net_budget_held (budget));
  }
  gr_list_clear (&cmds);
}

/* Guards against a deadlock of waiting requests and against closing requests that would be
   completed while other senders stop short of the end, and against a total above the budget. */
static void
ordinary_requests_are_completed_beside_stalled_ones (void **state)
{
  (void) state;
  for (unsigned seed = 1; seed <= 200; seed++) {
    NetBudget *budget = net_budget_new (&options);
    Sender senders[REQUESTS] = { 0 };
    int64_t now = 1000;
    srandom (seed);
    size_t ordinary = 0, completed = 0;
    for (size_t i = 0; i < REQUESTS; i++) {
      senders[i].stops_short = (unsigned) random () % 24 < seed % 24;
      ordinary += !senders[i].stops_short;
      senders[i].item = net_budget_add (budget, GR_STR ("a"), &senders[i], now);
      net_budget_enter (senders[i].item, NET_PHASE_BODY, now);
    }
    for (int step = 0; step < 60000 && completed < ordinary; step++) {
      Sender *sender = &senders[(size_t) random () % REQUESTS];
      int64_t limit = sender->stops_short ? BODY - PIECE : BODY;
      if (step % 2 == 0)
        now++;
      if (step % 200 == 0 || net_budget_is_due (budget))
        apply_decision (budget, now);
      if (sender->paused || sender->closed || sender->done || sender->received == limit)
        continue;
      sender->received += PIECE;
      if (sender->received == BODY) {
        net_budget_enter (sender->item, NET_PHASE_WORK, now);
        net_budget_charge (sender->item, BODY, BODY, 0, now);
        assert_true (net_budget_admits (sender->item));
        net_budget_charge (sender->item, 0, 0, 0, now);
        net_budget_enter (sender->item, NET_PHASE_IDLE, now);
        sender->done = true;
        completed++;
      } else {
        sender->paused = net_budget_charge (sender->item, sender->received,
                                            sender->received + PIECE, PIECE, now);
      }
      assert_true (net_budget_held (budget) <= options.total_bytes + options.request_bytes);
    }
    assert_int_equal (completed, ordinary);
    for (size_t i = 0; i < REQUESTS; i++)
      net_budget_remove (senders[i].item);
    net_budget_free (budget);
  }
}

/* Guards against new connections that are kept out by idle ones, and against closing connections
   whose request is being processed or answered. */
static void
room_is_made_by_the_connection_that_was_idle_longest (void **state)
{
  (void) state;
  static const struct {
    NetBudgetPhase phases[3];
    int64_t still_ms[3];
    int closed; /* -1: none */
  } cases[] = {
    { { NET_PHASE_IDLE, NET_PHASE_IDLE, NET_PHASE_BODY }, { 2000, 3000, 9000 }, 1 },
    { { NET_PHASE_IDLE, NET_PHASE_HEAD, NET_PHASE_BODY }, { 500, 2000, 4000 }, 2 },
    { { NET_PHASE_IDLE, NET_PHASE_WORK, NET_PHASE_REPLY }, { 500, 9000, 9000 }, -1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NetBudget *budget = net_budget_new (&options);
    NetBudgetItem *items[3];
    int users[3];
    for (size_t c = 0; c < 3; c++) {
      items[c] = net_budget_add (budget, GR_STR ("a"), &users[c], 10000 - cases[i].still_ms[c]);
      net_budget_enter (items[c], cases[i].phases[c], 10000 - cases[i].still_ms[c]);
    }
    NetBudgetCmds cmds = { 0 };
    net_budget_make_room (budget, 10000, &cmds);
    assert_int_equal (cmds.count, cases[i].closed >= 0);
    if (cmds.count > 0)
      assert_ptr_equal (cmds.items[0].user, &users[cases[i].closed]);
    for (size_t c = 0; c < 3; c++)
      net_budget_remove (items[c]);
    gr_list_clear (&cmds);
    net_budget_free (budget);
  }
}

/* Guards against a header or an announced length that is missed because it arrives in pieces. */
static void
heads_are_read_however_they_arrive (void **state)
{
  (void) state;
  static const struct {
    const char *text;
    size_t len; /* of the head; 0: not complete */
    bool has_body;
    int64_t body_bytes;
  } cases[] = {
    { "GET / HTTP/1.1\r\nhost: x\r\n\r\n", 27, false, -1 },
    { "GET / HTTP/1.1\nhost: x\n\n", 24, false, -1 },
    { "GET / HTTP/1.1\r\nhost: x\r\n", 0, false, 0 },
    { "POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\nabc", 39, true, 12 },
    { "POST / HTTP/1.1\r\ncontent-length:7\r\ncontent-length: 9\r\n\r\n", 56, true, 9 },
    { "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", 38, true, -1 },
    { "POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n", 57, true, -1 },
    { "POST / HTTP/1.1\r\nTRANSFER-ENCODING: chunked\r\n\r\n", 47, true, -1 },
    { "\r\n\r\n", 4, false, -1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    size_t all = strlen (cases[i].text);
    for (size_t piece = 1; piece <= all; piece++) {
      NetHead head = { 0 };
      for (size_t at = 0; at < all; at += piece)
        net_head_scan (&head, (GrStr){ cases[i].text, at + piece < all ? at + piece : all });
      if (head.len != cases[i].len || head.has_body != cases[i].has_body
          || (head.len > 0 && head.body_bytes != cases[i].body_bytes))
        fail_msg ("case %zu in pieces of %zu: %zu %d %lld", i, piece, head.len, head.has_body,
                  (long long) head.body_bytes);
    }
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decisions_follow_phase_size_and_progress),
    cmocka_unit_test (ordinary_requests_are_completed_beside_stalled_ones),
    cmocka_unit_test (room_is_made_by_the_connection_that_was_idle_longest),
    cmocka_unit_test (heads_are_read_however_they_arrive),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
