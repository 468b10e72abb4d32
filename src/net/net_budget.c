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
/* Without room for a few of the largest requests, one that stops short would hold up all others. */
#define REQUESTS_MIN 4
/* The rate of a request is that of the last whole window. */
#define WINDOW_MS 1000
#define RATE_UNIT_BYTES 1024
/* Once the total is spent, this part of it is left, so that not every read that follows has to look
   for a request to close. */
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
  int64_t ahead;   /* will hold so much after the next read */
  int64_t granted; /* may hold so much; 0: no grant */
  int64_t phase_at, due_at, moved_at;
  int64_t received;                /* in this phase */
  int64_t window_at, window_bytes; /* current window */
  int64_t rate;                    /* bytes in the last whole window */
  int64_t wait_since;
  bool waiting;
  bool closed; /* a command to close it was given */
  NetBudgetItem *prev, *next;
  NetBudgetItem *wait_prev, *wait_next;
};

struct NetBudget {
  NetBudgetOptions options;
  NetBudgetItem *items; /* newest first */
  NetBudgetItem *first_waiting, *last_waiting;
  size_t waiting;
  int64_t total;
  size_t granted;     /* items with a grant */
  int64_t resumed_at; /* last time that a request stopped waiting */
  bool pressed;       /* requests above small_bytes need a grant */
  bool due;
  Address *addresses;
};

static int64_t
or_default (int64_t value, int64_t fallback)
{
  return value > 0 ? value : fallback;
}

static int64_t
larger (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
smaller (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
cost (const NetBudgetItem *item)
{
  return larger (item->held, item->granted);
}

static void
set_cost (NetBudgetItem *item, int64_t held, int64_t granted)
{
  int64_t before = cost (item);
  item->budget->granted += (granted > 0) - (item->granted > 0);
  item->held = held;
  item->granted = granted;
  int64_t change = cost (item) - before;
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
  o->request_bytes = or_default (o->request_bytes, DEFAULT_REQUEST_BYTES);
  o->total_bytes
      = larger (or_default (o->total_bytes, DEFAULT_TOTAL_BYTES), REQUESTS_MIN * o->request_bytes);
  o->wait_bytes = or_default (o->wait_bytes, o->total_bytes / 2);
  o->grant_bytes = or_default (o->grant_bytes, o->total_bytes / 4 * 3);
  o->small_bytes = or_default (o->small_bytes, DEFAULT_SMALL_BYTES);
  o->stall_ms = or_default (o->stall_ms, DEFAULT_STALL_MS);
  o->wait_max_ms = or_default (o->wait_max_ms, DEFAULT_WAIT_MAX_MS);
  o->idle_ms = or_default (o->idle_ms, NET_BUDGET_IDLE_MS);
  o->head_ms = or_default (o->head_ms, NET_BUDGET_HEAD_MS);
  o->body_ms = or_default (o->body_ms, DEFAULT_BODY_MS);
  o->body_grace_ms = or_default (o->body_grace_ms, DEFAULT_BODY_GRACE_MS);
  o->body_min_bytes_per_s = or_default (o->body_min_bytes_per_s, DEFAULT_BODY_MIN_BYTES_PER_S);
  o->reply_ms = or_default (o->reply_ms, DEFAULT_REPLY_MS);
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
           + smaller (o->body_ms,
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
  GrName name = { 0 };
  Address *address;
  gr_name_set (&name, (GrStr){ text.data, text.len < GR_NAME_MAX ? text.len : GR_NAME_MAX });
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
  int64_t request_bytes = larger (budget->options.request_bytes, item->held);
  /* Without any grant nothing would become free. */
  if (budget->granted > 0
      && budget->total - cost (item) + request_bytes > budget->options.grant_bytes)
    return false;
  set_cost (item, item->held, request_bytes);
  return true;
}

static bool
needs_grant (const NetBudgetItem *item)
{
  return is_unfinished (item) && !item->closed && !item->waiting && item->granted == 0
         && item->ahead > item->budget->options.small_bytes;
}

static void
update_pressure (NetBudget *budget)
{
  if (!budget->pressed && budget->total > budget->options.wait_bytes) {
    budget->pressed = true;
    budget->due = true;
  } else if (budget->pressed && budget->waiting == 0
             && budget->total < budget->options.wait_bytes / AFTER_CUT_DEN * AFTER_CUT_NUM) {
    budget->pressed = false;
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
  item->ahead = next;
  set_cost (item, held, item->granted);
  update_pressure (budget);
  if (!budget->pressed || !needs_grant (item) || (!budget->first_waiting && try_grant (item)))
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

static int64_t
score (const NetBudgetItem *item, int64_t now_ms)
{
  int64_t rate = larger (item->rate, item->window_bytes);
  if (now_ms - item->moved_at >= item->budget->options.stall_ms)
    rate = 0;
  return item->held / (1 + rate / RATE_UNIT_BYTES) * (1 + item->address->held / RATE_UNIT_BYTES);
}

typedef struct {
  int64_t min_held; /* only requests that hold so much */
  int64_t still_ms; /* and have not moved for so long */
} Filter;

static NetBudgetItem *
find_worst (const NetBudget *budget, Filter filter, int64_t now_ms)
{
  NetBudgetItem *worst = NULL;
  int64_t worst_score = -1;
  for (NetBudgetItem *item = budget->items; item; item = item->next) {
    if (!is_unfinished (item) || item->closed || item->waiting || item->held < filter.min_held
        || now_ms - item->moved_at < filter.still_ms)
      continue;
    int64_t value = score (item, now_ms);
    if (value > worst_score) {
      worst = item;
      worst_score = value;
    }
  }
  return worst;
}

/* To be closed because the total is spent. */
static NetBudgetItem *
find_dispensable (const NetBudget *budget, int64_t now_ms)
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
    /* The deadline does not run while this side does not read. */
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
  for (NetBudgetItem *item = budget->items; budget->pressed && item; item = item->next) {
    /* Those that do not move need not be stopped, and have no claim to finish before others. */
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
      && now_ms - larger (budget->first_waiting->wait_since, budget->resumed_at) >= o->wait_max_ms
      && (worst = find_worst (budget, (Filter){ o->small_bytes, 0 }, now_ms))) {
    close_item (worst, NET_BUDGET_CUT, cmds);
    grant_waiting (budget, now_ms, cmds);
  }
  if (budget->total > o->total_bytes) {
    int64_t goal = o->total_bytes / AFTER_CUT_DEN * AFTER_CUT_NUM;
    while (budget->total > goal && (worst = find_dispensable (budget, now_ms)))
      close_item (worst, NET_BUDGET_CUT, cmds);
  }
  update_pressure (budget);
  budget->due = false;
}

void
net_budget_make_room (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds)
{
  NetBudgetItem *idle = NULL, *still = NULL;
  int64_t still_since = now_ms - budget->options.stall_ms;
  for (NetBudgetItem *item = budget->items; item; item = item->next) {
    NetBudgetItem **longest = item->phase == NET_PHASE_IDLE ? &idle : &still;
    if (item->closed || item->waiting || item->phase == NET_PHASE_WORK
        || item->phase == NET_PHASE_REPLY || item->moved_at > still_since)
      continue;
    if (!*longest || item->moved_at < (*longest)->moved_at)
      *longest = item;
  }
  if (idle || still)
    close_item (idle ? idle : still, NET_BUDGET_CUT, cmds);
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
