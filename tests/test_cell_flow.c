/* Load test of the flow control of starts, on a simulated sender of limited speed. The pattern is a
   leader that is offered more starts than its processor or link carries: orders wait in its queue
   until their answers come after the timeout, are repeated up to three times, then stopped. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cell/cell_flow.h"

/* Orders that the sender carries in a second, and the time of an answer without a queue. */
#define CAPACITY_PER_S 400
#define TRANSIT_MS 15
/* Repeats of a start without an answer; then an order to stop it is sent. */
#define ATTEMPTS 3
#define FIXED_TIMEOUT_MS 250
#define ORDERS_MAX 400000
#define BUSY_PERIOD_MS 100

/* An order in the sender's queue. */
typedef struct {
  int task;
  int attempt; /* ATTEMPTS: the stop */
  int64_t sent_at;
  int64_t timeout_at;
  int64_t answered_at; /* 0: still in the queue */
  bool closed;         /* answered or timed out */
} Order;

typedef struct {
  CellFlow flow;
  bool controlled;
  int waiting; /* starts that the flow control holds back */
  Order *orders;
  size_t count, served; /* the sender works in order */
  size_t open_from;     /* all earlier orders are closed */
  double credit;        /* orders that the sender may carry now */
  double arrivals;      /* starts offered, less those that count as waiting */
  int next_task;
  int started; /* tasks whose start was answered in time */
  int64_t now_ms;
  int64_t busy_ms; /* of each BUSY_PERIOD_MS it neither sends nor reads answers */
} Sender;

static void
send (Sender *sender, int task, int attempt)
{
  assert_true (sender->count < ORDERS_MAX);
  int64_t timeout = sender->controlled ? cell_flow_timeout_ms (&sender->flow) : FIXED_TIMEOUT_MS;
  cell_flow_sent (&sender->flow);
  sender->orders[sender->count++] = (Order){ .task = task,
                                             .attempt = attempt,
                                             .sent_at = sender->now_ms,
                                             .timeout_at = sender->now_ms + timeout };
}

static void
close_order (Sender *sender, Order *order)
{
  order->closed = true;
  bool answered = order->answered_at > 0 && order->answered_at <= order->timeout_at;
  if (answered) {
    cell_flow_answered (&sender->flow, sender->now_ms - order->sent_at, sender->now_ms);
    sender->started += order->attempt < ATTEMPTS;
    return;
  }
  cell_flow_lost (&sender->flow, sender->now_ms);
  if (order->attempt < ATTEMPTS)
    send (sender, order->task, order->attempt + 1);
  else
    sender->waiting++; /* stopped: the task is placed again */
}

static void
pass_ms (Sender *sender, double offered_per_s)
{
  sender->now_ms++;
  for (sender->arrivals += offered_per_s / 1000; sender->arrivals >= 1; sender->arrivals--)
    sender->waiting++;
  bool busy = sender->now_ms % BUSY_PERIOD_MS < sender->busy_ms;
  while (!busy && sender->waiting > 0
         && (!sender->controlled || cell_flow_may_send (&sender->flow))) {
    sender->waiting--;
    send (sender, sender->next_task++, 1);
  }
  sender->credit += CAPACITY_PER_S / 1000.0;
  while (sender->credit >= 1 && sender->served < sender->count) {
    sender->credit--;
    sender->orders[sender->served++].answered_at = sender->now_ms + TRANSIT_MS;
  }
  if (sender->credit > 1)
    sender->credit = 1;
  if (busy)
    return;
  size_t count = sender->count;
  for (size_t i = sender->open_from; i < count; i++) {
    Order *order = &sender->orders[i];
    bool due = (order->answered_at > 0 && sender->now_ms >= order->answered_at)
               || sender->now_ms >= order->timeout_at;
    if (!order->closed && due)
      close_order (sender, order);
    if (sender->open_from == i && sender->orders[i].closed)
      sender->open_from++;
  }
}

static Sender
new_sender (bool controlled)
{
  Sender sender = { .controlled = controlled };
  cell_flow_init (&sender.flow);
  sender.orders = gr_calloc (ORDERS_MAX, sizeof *sender.orders);
  return sender;
}

/* Tasks started per second over the second half of a constant load. */
static double
goodput (bool controlled, double offered_per_s, int64_t length_ms)
{
  Sender sender = new_sender (controlled);
  while (sender.now_ms < length_ms / 2)
    pass_ms (&sender, offered_per_s);
  int before = sender.started;
  while (sender.now_ms < length_ms)
    pass_ms (&sender, offered_per_s);
  double rate = (sender.started - before) * 2000.0 / (double) length_ms;
  free (sender.orders);
  return rate;
}

/* Guards against the collapse of a leader at its limit: at 0.5 to 4 times what it carries, the work
   done stays at 90% of the best. The uncontrolled sender shows that the simulated load is one that
   collapses. */
static void
overload_does_not_lower_the_work_done (void **state)
{
  (void) state;
  static const double loads[] = { 0.5, 0.9, 1, 1.5, 2, 3, 4 };
  double best = 0, rates[7];
  for (size_t i = 0; i < 7; i++) {
    rates[i] = goodput (true, loads[i] * CAPACITY_PER_S, 30000);
    if (rates[i] > best)
      best = rates[i];
  }
  assert_true (best >= 0.9 * CAPACITY_PER_S);
  for (size_t i = 0; i < 7; i++) {
    double possible = loads[i] < 1 ? loads[i] * CAPACITY_PER_S : best;
    if (rates[i] < 0.9 * possible)
      fail_msg ("load %.1f: %.0f of %.0f starts a second", loads[i], rates[i], possible);
  }
  double uncontrolled = goodput (false, 2 * CAPACITY_PER_S, 6000);
  if (uncontrolled >= 0.5 * best)
    fail_msg ("the load does not collapse without control: %.0f starts a second", uncontrolled);
}

/* Guards against a leader that throttles paths which are not at their limit: it is busy with other
   work by turns, and answers wait for it meanwhile. */
static void
own_pauses_do_not_lower_the_work_done (void **state)
{
  (void) state;
  static const int64_t busy[] = { 0, 20, 50, 70 };
  for (size_t i = 0; i < sizeof busy / sizeof busy[0]; i++) {
    Sender sender = new_sender (true);
    sender.busy_ms = busy[i];
    while (sender.now_ms < 20000)
      pass_ms (&sender, 0.8 * CAPACITY_PER_S);
    print_message ("busy %lld ms of %d: %d started, %d waiting, window %.0f\n", (long long) busy[i],
                   BUSY_PERIOD_MS, sender.started, sender.waiting, sender.flow.window);
    assert_true (sender.started >= 0.9 * 0.8 * CAPACITY_PER_S * 20);
    free (sender.orders);
  }
}

/* Guards against a sender that stays slow after a burst: two seconds after its end, new starts are
   answered at once again. */
static void
recovers_after_a_burst (void **state)
{
  (void) state;
  Sender sender = new_sender (true);
  while (sender.now_ms < 3000)
    pass_ms (&sender, 0.5 * CAPACITY_PER_S);
  while (sender.now_ms < 5000)
    pass_ms (&sender, 1.8 * CAPACITY_PER_S);
  /* The backlog of 640 starts needs 3.2 s at half load; it is not part of the recovery. */
  int64_t burst_end = sender.now_ms;
  while (sender.waiting > 0 && sender.now_ms < burst_end + 8000)
    pass_ms (&sender, 0.5 * CAPACITY_PER_S);
  assert_true (sender.now_ms - burst_end <= 3600);
  int64_t drained_at = sender.now_ms;
  while (sender.now_ms < drained_at + 2000)
    pass_ms (&sender, 0.5 * CAPACITY_PER_S);
  assert_int_equal (sender.waiting, 0);
  assert_true (sender.flow.srtt_ms < TRANSIT_MS + 20);
  free (sender.orders);
}

/* Guards against taking lost answers for a full path: one in ten starts has no answer. */
static void
lost_answers_do_not_lower_the_window (void **state)
{
  (void) state;
  CellFlow flow;
  cell_flow_init (&flow);
  double before = flow.window;
  for (int i = 1; i <= 500; i++) {
    cell_flow_sent (&flow);
    if (i % 10 == 0)
      cell_flow_lost (&flow, i * 10);
    else
      cell_flow_answered (&flow, 20 + i % 5, i * 10);
  }
  assert_int_equal (flow.in_flight, 0);
  assert_true (flow.window >= before);
  assert_in_range (cell_flow_timeout_ms (&flow), 100, 250);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (overload_does_not_lower_the_work_done),
    cmocka_unit_test (own_pauses_do_not_lower_the_work_done),
    cmocka_unit_test (recovers_after_a_burst),
    cmocka_unit_test (lost_answers_do_not_lower_the_window),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
