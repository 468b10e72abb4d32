#include "net/net_budget.h"

#include <stdlib.h>

#include <uthash.h>

#define DEFAULT_TOTAL_BYTES 41943040
#define DEFAULT_SMALL_BYTES 16384
#define DEFAULT_REQUEST_BYTES 1048576
#define DEFAULT_STALL_MS 1000
#define DEFAULT_WAIT_MAX_MS 3000
#define DEFAULT_BODY_MS 30000
#define DEFAULT_BODY_GRACE_MS 20000
#define DEFAULT_BODY_MIN_BYTES_PER_S 4096
#define DEFAULT_REPLY_MS 30000
/* Without room for a few of the largest requests, one that stops short would block all others. */
#define REQUESTS_MIN 4
/* The rate of a request is measured over the last whole window. */
#define WINDOW_MS 1000
#define RATE_UNIT_BYTES 1024
/* Once the total is exceeded, requests are closed down to this part of it, so that not every read
   that follows has to look for a request to close. */
#define AFTER_CUT_NUM 7
#define AFTER_CUT_DEN 8

/* What one client holds on all its connections. */
typedef struct {
  GrName name;
  int64_t held;
  size_t items;
  UT_hash_handle hh;
} Address;

struct NetBudgetItem {
  NetBudget *budget;
  Address *address;
  void *user;
  NetBudgetPhase phase;
  int64_t held;
  int64_t next_held; /* after the next read */
  int64_t granted;   /* amount that it may hold; 0: no grant */
  int64_t phase_at, due_at;
  int64_t moved_at;                /* when bytes last arrived, or the phase or the wait ended */
  int64_t received;                /* in this phase */
  int64_t window_at, window_bytes; /* current window */
  int64_t rate;                    /* bytes in the last whole window */
  int64_t wait_since;
  bool waiting;
  bool closed; /* a command to close it was issued */
  NetBudgetItem *prev, *next;
  NetBudgetItem *wait_prev, *wait_next;
};

struct NetBudget {
  NetBudgetOptions options;
  NetBudgetItem *items; /* newest first */
  NetBudgetItem *first_waiting, *last_waiting;
  size_t waiting;
  int64_t total;
  size_t granted;      /* items with a grant */
  int64_t resumed_at;  /* last time that a request stopped waiting */
  bool under_pressure; /* requests above small_bytes need a grant */
  bool due;
  Address *addresses;
};

static int64_t
value_or_default (int64_t value, int64_t fallback)
{
  return value > 0 ? value : fallback;
}

static int64_t
max_of (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
min_of (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
charged_bytes (const NetBudgetItem *item)
{
  return max_of (item->held, item->granted);
}

static void
set_cost (NetBudgetItem *item, int64_t held, int64_t granted)
{
  int64_t before = charged_bytes (item);
  item->budget->granted += (granted > 0) - (item->granted > 0);
  item->held = held;
  item->granted = granted;
  int64_t change = charged_bytes (item) - before;
  item->budget->total += change;
  item->address->held += change;
  if (change < 0 && item->budget->waiting > 0)
    item->budget->due = true;
}

static bool
is_unfinished (const NetBudgetItem *item)
{
  return item->phase == NET_PHASE_HEAD || item->phase == NET_PHASE_BODY;
}

static void
enqueue (NetBudgetItem *item, int64_t now_ms)
{
  NetBudget *budget = item->budget;
  item->waiting = true;
  item->wait_since = now_ms;
  item->wait_prev = budget->last_waiting;
  item->wait_next = NULL;
  if (budget->last_waiting)
    budget->last_waiting->wait_next = item;
  else
    budget->first_waiting = item;
  budget->last_waiting = item;
  budget->waiting++;
}

static void
dequeue (NetBudgetItem *item)
{
  NetBudget *budget = item->budget;
  if (!item->waiting)
    return;
  item->waiting = false;
  if (item->wait_prev)
    item->wait_prev->wait_next = item->wait_next;
  else
    budget->first_waiting = item->wait_next;
  if (item->wait_next)
    item->wait_next->wait_prev = item->wait_prev;
  else
    budget->last_waiting = item->wait_prev;
  budget->waiting--;
}

NetBudget *
net_budget_new (const NetBudgetOptions *options)
{
  NetBudget *budget = gr_calloc (1, sizeof *budget);
  NetBudgetOptions *o = &budget->options;
  *o = *options;
  o->request_bytes = value_or_default (o->request_bytes, DEFAULT_REQUEST_BYTES);
  o->total_bytes = max_of (value_or_default (o->total_bytes, DEFAULT_TOTAL_BYTES),
                           REQUESTS_MIN * o->request_bytes);
  o->wait_bytes = value_or_default (o->wait_bytes, o->total_bytes / 2);
  o->grant_bytes = value_or_default (o->grant_bytes, o->total_bytes / 4 * 3);
  o->small_bytes = value_or_default (o->small_bytes, DEFAULT_SMALL_BYTES);
  o->stall_ms = value_or_default (o->stall_ms, DEFAULT_STALL_MS);
  o->wait_max_ms = value_or_default (o->wait_max_ms, DEFAULT_WAIT_MAX_MS);
  o->idle_ms = value_or_default (o->idle_ms, NET_BUDGET_IDLE_MS);
  o->head_ms = value_or_default (o->head_ms, NET_BUDGET_HEAD_MS);
  o->body_ms = value_or_default (o->body_ms, DEFAULT_BODY_MS);
  o->body_grace_ms = value_or_default (o->body_grace_ms, DEFAULT_BODY_GRACE_MS);
  o->body_min_bytes_per_s
      = value_or_default (o->body_min_bytes_per_s, DEFAULT_BODY_MIN_BYTES_PER_S);
  o->reply_ms = value_or_default (o->reply_ms, DEFAULT_REPLY_MS);
  return budget;
}

void
net_budget_free (NetBudget *budget)
{
  free (budget);
}

/* Deadline of the phase, which the minimum rate of a body moves as bytes arrive. */
static int64_t
deadline (const NetBudgetItem *item)
{
  const NetBudgetOptions *o = &item->budget->options;
  switch (item->phase) {
  case NET_PHASE_IDLE:
    return item->phase_at + o->idle_ms;
  case NET_PHASE_HEAD:
    return item->phase_at + o->head_ms;
  case NET_PHASE_BODY:
    return item->phase_at
           + min_of (o->body_ms,
                     o->body_grace_ms + item->received * 1000 / o->body_min_bytes_per_s);
  case NET_PHASE_WORK:
    return INT64_MAX;
  case NET_PHASE_REPLY:
    return item->phase_at + o->reply_ms;
  }
  return INT64_MAX;
}

static Address *
address_of (NetBudget *budget, GrStr text)
{
  GrName name = gr_name_cut (text);
  Address *address;
  HASH_FIND (hh, budget->addresses, &name, sizeof name, address);
  if (!address) {
    address = gr_calloc (1, sizeof *address);
    address->name = name;
    HASH_ADD (hh, budget->addresses, name, sizeof name, address);
  }
  address->items++;
  return address;
}

NetBudgetItem *
net_budget_add (NetBudget *budget, GrStr address, void *user, int64_t now_ms)
{
  NetBudgetItem *item = gr_calloc (1, sizeof *item);
  item->budget = budget;
  item->address = address_of (budget, address);
  item->user = user;
  item->next = budget->items;
  if (item->next)
    item->next->prev = item;
  budget->items = item;
  net_budget_enter (item, NET_PHASE_IDLE, now_ms);
  return item;
}

void
net_budget_remove (NetBudgetItem *item)
{
  NetBudget *budget = item->budget;
  Address *address = item->address;
  set_cost (item, 0, 0);
  dequeue (item);
  if (--address->items == 0) {
    HASH_DEL (budget->addresses, address);
    free (address);
  }
  if (item->prev)
    item->prev->next = item->next;
  else
    budget->items = item->next;
  if (item->next)
    item->next->prev = item->prev;
  free (item);
}

void
net_budget_enter (NetBudgetItem *item, NetBudgetPhase phase, int64_t now_ms)
{
  bool same_request = item->phase == NET_PHASE_HEAD && phase == NET_PHASE_BODY;
  if (!same_request) {
    dequeue (item);
    set_cost (item, item->held, 0);
    item->window_at = now_ms;
    item->window_bytes = 0;
    item->rate = 0;
  }
  item->phase = phase;
  item->phase_at = now_ms;
  item->moved_at = now_ms;
  item->received = 0;
  item->due_at = deadline (item);
}

NetBudgetPhase
net_budget_phase (const NetBudgetItem *item)
{
  return item->phase;
}

static bool
try_grant (NetBudgetItem *item)
{
  NetBudget *budget = item->budget;
  int64_t request_bytes = max_of (budget->options.request_bytes, item->held);
  /* One grant is always given: without any, no request could be completed. */
  if (budget->granted > 0
      && budget->total - charged_bytes (item) + request_bytes > budget->options.grant_bytes)
    return false;
  set_cost (item, item->held, request_bytes);
  return true;
}

static bool
needs_grant (const NetBudgetItem *item)
{
  return is_unfinished (item) && !item->closed && !item->waiting && item->granted == 0
         && item->next_held > item->budget->options.small_bytes;
}

static void
update_pressure (NetBudget *budget)
{
  if (!budget->under_pressure && budget->total > budget->options.wait_bytes) {
    budget->under_pressure = true;
    budget->due = true;
  } else if (budget->under_pressure && budget->waiting == 0
             && budget->total < budget->options.wait_bytes / AFTER_CUT_DEN * AFTER_CUT_NUM) {
    budget->under_pressure = false;
  }
  if (budget->total > budget->options.total_bytes)
    budget->due = true;
}

bool
net_budget_charge (NetBudgetItem *item, int64_t held, int64_t next, int64_t arrived, int64_t now_ms)
{
  NetBudget *budget = item->budget;
  if (item->closed)
    return false;
  if (now_ms - item->window_at >= WINDOW_MS) {
    item->rate = now_ms - item->window_at < 2 * WINDOW_MS ? item->window_bytes : 0;
    item->window_at = now_ms;
    item->window_bytes = 0;
  }
  item->window_bytes += arrived;
  item->received += arrived;
  if (arrived > 0)
    item->moved_at = now_ms;
  item->due_at = deadline (item);
  item->next_held = next;
  set_cost (item, held, item->granted);
  update_pressure (budget);
  if (!budget->under_pressure || !needs_grant (item)
      || (!budget->first_waiting && try_grant (item)))
    return item->waiting;
  enqueue (item, now_ms);
  return true;
}

bool
net_budget_admits (const NetBudgetItem *item)
{
  return !item->closed && item->budget->total <= item->budget->options.total_bytes;
}

bool
net_budget_is_due (const NetBudget *budget)
{
  return budget->due;
}

static void
close_item (NetBudgetItem *item, NetBudgetVerb verb, NetBudgetCmds *cmds)
{
  dequeue (item);
  set_cost (item, 0, 0);
  item->closed = true;
  item->due_at = INT64_MAX;
  gr_list_push (cmds, (NetBudgetCmd){ verb, item->user });
}

/* The request with the highest score is closed first: it holds the most for its rate, weighed by
   what its client holds on all connections. */
static int64_t
score (const NetBudgetItem *item, int64_t now_ms)
{
  int64_t rate = max_of (item->rate, item->window_bytes);
  if (now_ms - item->moved_at >= item->budget->options.stall_ms)
    rate = 0;
  return item->held / (1 + rate / RATE_UNIT_BYTES) * (1 + item->address->held / RATE_UNIT_BYTES);
}

typedef struct {
  int64_t min_held;   /* only requests that hold so much */
  int64_t stalled_ms; /* and from which nothing has arrived for so long */
} Filter;

static NetBudgetItem *
find_worst (const NetBudget *budget, Filter filter, int64_t now_ms)
{
  NetBudgetItem *worst = NULL;
  int64_t worst_score = -1;
  for (NetBudgetItem *item = budget->items; item; item = item->next) {
    if (!is_unfinished (item) || item->closed || item->waiting || item->held < filter.min_held
        || now_ms - item->moved_at < filter.stalled_ms)
      continue;
    int64_t value = score (item, now_ms);
    if (value > worst_score) {
      worst = item;
      worst_score = value;
    }
  }
  return worst;
}

/* The request to be closed next because the total is exceeded. */
static NetBudgetItem *
find_least_needed (const NetBudget *budget, int64_t now_ms)
{
  NetBudgetItem *item = find_worst (budget, (Filter){ 1, budget->options.stall_ms }, now_ms);
  if (!item)
    item = budget->last_waiting;
  return item ? item : find_worst (budget, (Filter){ 1, 0 }, now_ms);
}

static void
grant_waiting (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds)
{
  while (budget->first_waiting && try_grant (budget->first_waiting)) {
    NetBudgetItem *item = budget->first_waiting;
    dequeue (item);
    /* The deadline does not run while the server does not read. */
    item->phase_at += now_ms - item->wait_since;
    item->due_at = deadline (item);
    budget->resumed_at = now_ms;
    item->moved_at = now_ms;
    gr_list_push (cmds, (NetBudgetCmd){ NET_BUDGET_RESUME, item->user });
  }
}

void
net_budget_decide (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds)
{
  const NetBudgetOptions *o = &budget->options;
  for (NetBudgetItem *item = budget->items; item; item = item->next) {
    if (!item->waiting && item->due_at <= now_ms)
      close_item (item, NET_BUDGET_DEADLINE, cmds);
  }
  update_pressure (budget);
  for (NetBudgetItem *item = budget->items; budget->under_pressure && item; item = item->next) {
    /* Requests from which nothing arrives need neither be stopped nor granted before others. */
    if (!needs_grant (item) || now_ms - item->moved_at >= o->stall_ms
        || (!budget->first_waiting && try_grant (item)))
      continue;
    enqueue (item, now_ms);
    gr_list_push (cmds, (NetBudgetCmd){ NET_BUDGET_WAIT, item->user });
  }
  grant_waiting (budget, now_ms, cmds);
  NetBudgetItem *worst;
  while (budget->first_waiting
         && (worst = find_worst (budget, (Filter){ o->small_bytes, o->stall_ms }, now_ms))) {
    close_item (worst, NET_BUDGET_CUT, cmds);
    grant_waiting (budget, now_ms, cmds);
  }
  if (budget->first_waiting
      && now_ms - max_of (budget->first_waiting->wait_since, budget->resumed_at) >= o->wait_max_ms
      && (worst = find_worst (budget, (Filter){ o->small_bytes, 0 }, now_ms))) {
    close_item (worst, NET_BUDGET_CUT, cmds);
    grant_waiting (budget, now_ms, cmds);
  }
  if (budget->total > o->total_bytes) {
    int64_t goal = o->total_bytes / AFTER_CUT_DEN * AFTER_CUT_NUM;
    while (budget->total > goal && (worst = find_least_needed (budget, now_ms)))
      close_item (worst, NET_BUDGET_CUT, cmds);
  }
  update_pressure (budget);
  budget->due = false;
}

void
net_budget_make_room (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds)
{
  NetBudgetItem *idle = NULL, *stalled = NULL;
  int64_t stalled_since = now_ms - budget->options.stall_ms;
  for (NetBudgetItem *item = budget->items; item; item = item->next) {
    NetBudgetItem **longest = item->phase == NET_PHASE_IDLE ? &idle : &stalled;
    if (item->closed || item->waiting || item->phase == NET_PHASE_WORK
        || item->phase == NET_PHASE_REPLY || item->moved_at > stalled_since)
      continue;
    if (!*longest || item->moved_at < (*longest)->moved_at)
      *longest = item;
  }
  if (idle || stalled)
    close_item (idle ? idle : stalled, NET_BUDGET_CUT, cmds);
}

int64_t
net_budget_held (const NetBudget *budget)
{
  return budget->total;
}

size_t
net_budget_waiting (const NetBudget *budget)
{
  return budget->waiting;
}
