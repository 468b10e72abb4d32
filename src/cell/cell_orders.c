#include "cell/cell_orders.h"

#include <stdlib.h>

#include "base/gr_hash_priv.h"
#include "cell/cell_flow.h"
#include "cell/cell_leader_priv.h"
#include "cell/cell_start_queue.h"

#define STOP_TIMEOUT_MS 700
#define PACE_TIMEOUT_MS 700
/* Timeout of a hold, in addition to the time that it waits at the target. */
#define HOLD_MARGIN_MS 700
/* A relay that has not answered this long after the timeout of the order is taken as lost. */
#define RELAY_MARGIN_MS 500
/* Interval between two choices of the relays, and between two looks for overdue orders. */
#define RELAYS_INTERVAL_MS 500
#define OVERDUE_INTERVAL_MS 50
#define REPORT_INTERVAL_MS 1000

typedef struct Path Path;

/* An order without a result. */
typedef struct {
  CellLeader *leader;
  Path *path;      /* of a start */
  int64_t sent_at; /* of a start */
  int64_t token;   /* of an order by way of a relay */
  DagCmdType type;
  GrName target;
  GrName relay; /* empty: sent by this VM */
  DagTaskRef task;
  int64_t run;        /* or the token of a hold */
  int32_t percent;    /* of a pace order */
  int64_t overdue_at; /* by way of a relay */
  UT_hash_handle hh;
} Order;

/* A start that waits until its path carries it. The scheduler keeps the payload. */
typedef struct {
  Order *order;
  DagCmd cmd;
} QueuedStart;

/* Way of starts to targets: this VM's own connections, or a relay. Other orders are not held back:
   renewals of leases and stops go before new starts. */
struct Path {
  GrName relay; /* empty: this VM */
  CellFlow flow;
  CellStartQueue queue; /* of QueuedStart */
};

struct CellOrders {
  CellLeader *leader;
  CellRelays *relays;
  GR_LIST (Path *) paths;
  Order *relayed; /* by token */
  int64_t next_token;
  int64_t relays_set_at;
  int64_t overdue_scan_at;
  int64_t report_at;
  int64_t expired; /* starts given up in a queue since the last report */
};

CellOrders *
cell_orders_new (CellLeader *leader)
{
  CellOrders *orders = gr_calloc (1, sizeof *orders);
  orders->leader = leader;
  orders->relays = cell_relays_new ();
  orders->next_token = cell_leader_first_token (leader);
  return orders;
}

static void
free_path (Path *path)
{
  QueuedStart *queued;
  while ((queued = cell_start_queue_pop (&path->queue)) != NULL) {
    free (queued->order);
    free (queued);
  }
  cell_start_queue_clear (&path->queue);
  free (path);
}

void
cell_orders_free (CellOrders *orders)
{
  if (!orders)
    return;
  for (size_t i = 0; i < orders->paths.count; i++)
    free_path (orders->paths.items[i]);
  gr_list_clear (&orders->paths);
  gr_hash_clear (orders->relayed, free);
  cell_relays_free (orders->relays);
  free (orders);
}

static void
measure (const Order *order, DagOrderResult result, int64_t now_ms)
{
  CellFlow *flow = &order->path->flow;
  if (dag_order_is_unanswered (result))
    cell_flow_lost (flow, now_ms);
  else if (result == DAG_ORDER_NOT_SENT)
    cell_flow_not_sent (flow);
  else
    cell_flow_answered (flow, now_ms - order->sent_at, now_ms);
}

/* Passes the result to the scheduler and frees the order. */
static void
finish (Order *order, DagOrderResult result, int64_t clock_ms, const DagInventory *inventory)
{
  CellLeader *leader = order->leader;
  DagState *dag = cell_leader_limited_dag (leader);
  int64_t now_ms = cell_leader_now (leader);
  if (order->sent_at > 0)
    measure (order, result, now_ms);
  switch (order->type) {
  case DAG_CMD_START:
    dag_handle_start_result (dag, &order->task, order->run, result, clock_ms, now_ms);
    break;
  case DAG_CMD_STOP:
    dag_handle_stop_result (dag, &order->task, order->run, result, now_ms);
    break;
  case DAG_CMD_PACE:
    dag_handle_pace_result (dag, &order->task, order->run, order->percent, result, now_ms);
    break;
  case DAG_CMD_HOLD:
    dag_handle_hold_result (dag, &order->target, order->run, result, inventory, now_ms);
    break;
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    break;
  }
  free (order);
}

static void send_queued (CellOrders *orders, Path *path);

static void
on_ordered (void *user, DagOrderResult result, int64_t clock_ms)
{
  Order *order = user;
  CellLeader *leader = order->leader;
  if (cell_leader_unref_ended (leader)) {
    free (order);
    return;
  }
  Path *path = order->path;
  finish (order, result, clock_ms, NULL);
  if (path)
    send_queued (leader->orders, path);
  cell_leader_run_commands (leader);
}

static void
on_held (void *user, DagOrderResult result, const DagInventory *inventory)
{
  Order *order = user;
  CellLeader *leader = order->leader;
  if (cell_leader_unref_ended (leader)) {
    free (order);
    return;
  }
  finish (order, result, 0, inventory);
  cell_leader_run_commands (leader);
}

/* Fills in the fields that depend on the kind of the command. */
static void
describe (Order *order, const DagCmd *cmd, int64_t *timeout_ms)
{
  order->type = cmd->type;
  switch (cmd->type) {
  case DAG_CMD_START:
    order->task = cmd->u.start.task;
    order->run = cmd->u.start.run;
    return;
  case DAG_CMD_STOP:
    order->task = cmd->u.stop.task;
    order->run = cmd->u.stop.run;
    *timeout_ms = STOP_TIMEOUT_MS;
    return;
  case DAG_CMD_PACE:
    order->task = cmd->u.pace.task;
    order->run = cmd->u.pace.run;
    order->percent = cmd->u.pace.percent;
    *timeout_ms = PACE_TIMEOUT_MS;
    return;
  case DAG_CMD_HOLD:
    order->run = cmd->u.hold.token;
    *timeout_ms = cmd->u.hold.wait_ms + HOLD_MARGIN_MS;
    return;
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    break;
  }
  abort ();
}

/* Returns false if the order was certainly not sent. */
static bool
send_to_relay (CellOrders *orders, Order *order, const DagCmd *cmd, int64_t timeout_ms)
{
  CellLeader *leader = orders->leader;
  CellWireMsg msg = { .type = CELL_WIRE_ORDER };
  order->token = ++orders->next_token;
  order->overdue_at = cell_leader_now (leader) + timeout_ms + RELAY_MARGIN_MS;
  msg.u.order = (CellWireOrder){
    .token = order->token, .term = leader->term, .timeout_ms = timeout_ms, .cmd = *cmd
  };
  if (cmd->type == DAG_CMD_START)
    msg.u.order.payload_stored
        = cell_relays_has_payload (orders->relays, &order->relay, &order->task.job);
  if (!cell_send (leader->cell, &order->relay, &msg)) {
    cell_relays_link_down (orders->relays, &order->relay);
    return false;
  }
  HASH_ADD (hh, orders->relayed, token, sizeof order->token, order);
  return true;
}

/* Returns the path; creates it on first use. */
static Path *
find_path (CellOrders *orders, const GrName *relay)
{
  for (size_t i = 0; i < orders->paths.count; i++) {
    if (gr_name_equal (&orders->paths.items[i]->relay, relay))
      return orders->paths.items[i];
  }
  Path *path = gr_calloc (1, sizeof *path);
  path->relay = *relay;
  cell_flow_init (&path->flow);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&orders->paths, path);
  return path;
}

/* Sends the order by way of order->relay if there is one, else from this VM. */
static void
transmit (CellOrders *orders, Order *order, const DagCmd *cmd, int64_t timeout_ms)
{
  CellLeader *leader = orders->leader;
  const CellPlatform *platform = leader->cell->platform;
  if (order->relay.len > 0 && send_to_relay (orders, order, cmd, timeout_ms))
    return;
  order->relay.len = 0;
  leader->refs++;
  int64_t timeout_at = cell_leader_now (leader) + timeout_ms;
  if (cmd->type == DAG_CMD_HOLD)
    platform->hold (platform->adapter, cmd, leader->term, timeout_at, on_held, order);
  else
    cell_send_order (platform, cmd, leader->term, timeout_at, on_ordered, order);
}

static void
transmit_start (CellOrders *orders, Order *order, const DagCmd *cmd)
{
  order->sent_at = cell_leader_now (orders->leader);
  cell_flow_sent (&order->path->flow);
  transmit (orders, order, cmd, cell_flow_timeout_ms (&order->path->flow));
}

/* Takes over the queued start. */
static void
give_up (CellOrders *orders, QueuedStart *queued)
{
  orders->expired++;
  finish (queued->order, DAG_ORDER_NOT_SENT, 0, NULL);
  free (queued);
}

/* Gives up the starts that waited too long. */
static void
expire_queued (CellOrders *orders, Path *path)
{
  CellStarts expired = { 0 };
  cell_start_queue_expire (&path->queue, cell_leader_now (orders->leader), &expired);
  for (size_t i = 0; i < expired.count; i++)
    give_up (orders, expired.items[i]);
  gr_list_clear (&expired);
}

/* Sends the starts that the path now carries, and gives up those whose time or job is over. */
static void
send_queued (CellOrders *orders, Path *path)
{
  const DagState *dag = orders->leader->dag;
  while (cell_start_queue_count (&path->queue) > 0 && cell_flow_may_send (&path->flow)) {
    QueuedStart *queued = cell_start_queue_pop (&path->queue);
    DagCmd *cmd = &queued->cmd;
    if (cell_leader_now (orders->leader) > cmd->u.start.send_by
        || !dag_payload (dag, &cmd->u.start.task, &cmd->u.start.payload)) {
      give_up (orders, queued);
      continue;
    }
    transmit_start (orders, queued->order, cmd);
    free (queued);
  }
}

static void
send_or_queue_start (CellOrders *orders, Order *order, const DagCmd *cmd)
{
  Path *path = find_path (orders, &order->relay);
  order->path = path;
  if (cell_start_queue_count (&path->queue) == 0 && cell_flow_may_send (&path->flow)) {
    transmit_start (orders, order, cmd);
    return;
  }
  QueuedStart *queued = gr_calloc (1, sizeof *queued);
  *queued = (QueuedStart){ order, *cmd };
  cell_start_queue_push (&path->queue, cmd->u.start.priority, cmd->u.start.send_by, queued);
  gr_metric_add (orders->leader->cell->options.metrics, GR_METRIC_STARTS_QUEUED, 1);
}

void
cell_orders_send (CellOrders *orders, const DagCmd *cmd)
{
  CellLeader *leader = orders->leader;
  int64_t timeout_ms = 0;
  Order *order = gr_calloc (1, sizeof *order);
  describe (order, cmd, &timeout_ms);
  order->leader = leader;
  order->target = cmd->target.target;
  const GrName *relay = cell_relays_choose (orders->relays, &cmd->target.target, &cmd->target.zone,
                                            cell_leader_now (leader));
  if (relay)
    order->relay = *relay;
  if (cmd->type == DAG_CMD_START)
    send_or_queue_start (orders, order, cmd);
  else
    transmit (orders, order, cmd, timeout_ms);
}

static void
note_relay_outcome (CellOrders *orders, const GrName *relay, const GrName *target,
                    CellRelayOutcome outcome)
{
  const CellLeader *leader = orders->leader;
  int64_t left_out_ms
      = cell_relays_result (orders->relays, relay, target, outcome, cell_leader_now (leader));
  if (left_out_ms > 0)
    gr_log (&leader->cell->log, GR_EV_RELAY_LEFT_OUT, "relay=%.*s for_ms=%lld",
            GR_NAME_ARG (*relay), (long long) left_out_ms);
}

void
cell_orders_handle_result (CellOrders *orders, const GrName *vm, const CellWireOrderResult *result)
{
  Order *order = NULL;
  HASH_FIND (hh, orders->relayed, &result->token, sizeof result->token, order);
  if (!order)
    return;
  HASH_DEL (orders->relayed, order);
  bool answered = !dag_order_is_unanswered (result->result) && result->result != DAG_ORDER_NOT_SENT;
  note_relay_outcome (orders, vm, &order->target,
                      answered ? CELL_RELAY_ANSWERED : CELL_RELAY_TARGET_SILENT);
  Path *path = order->path;
  finish (order, result->result, result->clock_ms,
          result->has_inventory ? &result->inventory : NULL);
  if (path)
    send_queued (orders, path);
}

/* The relay has not answered: whether the order was sent is unknown. */
static void
lose (CellOrders *orders, Order *order)
{
  HASH_DEL (orders->relayed, order);
  note_relay_outcome (orders, &order->relay, &order->target, CELL_RELAY_SILENT);
  finish (order, DAG_ORDER_LOST, 0, NULL);
}

void
cell_orders_link_down (CellOrders *orders, const GrName *vm)
{
  cell_relays_link_down (orders->relays, vm);
  Order *order, *next;
  HASH_ITER (hh, orders->relayed, order, next)
  {
    if (gr_name_equal (&order->relay, vm))
      lose (orders, order);
  }
}

static void
set_relays (CellOrders *orders)
{
  const Cell *cell = orders->leader->cell;
  GR_LIST (LdrMember) linked = { 0 };
  for (size_t i = 0; i < cell->members.count; i++) {
    const LdrMember *member = &cell->members.items[i];
    if (net_peers_is_up (cell->peers, &member->vm.vm))
      gr_list_push (&linked, *member);
  }
  size_t before = cell_relays_count (orders->relays);
  size_t targets = dag_counts (orders->leader->dag, cell_leader_now (orders->leader)).targets;
  cell_relays_set (orders->relays, &cell->options.self, linked.items, linked.count, targets);
  if (cell_relays_count (orders->relays) != before)
    gr_log (&cell->log, GR_EV_RELAYS, "relays=%zu before=%zu targets=%zu linked=%zu",
            cell_relays_count (orders->relays), before, targets, linked.count);
  gr_list_clear (&linked);
}

/* Logs how many starts wait for their paths and were given up, and the path with most of them. */
static void
report_paths (CellOrders *orders)
{
  const Path *longest = NULL;
  size_t queued = 0;
  for (size_t i = 0; i < orders->paths.count; i++) {
    const Path *path = orders->paths.items[i];
    size_t here = cell_start_queue_count (&path->queue);
    queued += here;
    if (!longest || here > cell_start_queue_count (&longest->queue))
      longest = path;
  }
  if (!longest || (queued == 0 && orders->expired == 0))
    return;
  const CellFlow *flow = &longest->flow;
  gr_log (&orders->leader->cell->log, GR_EV_PATHS_FULL,
          "paths=%zu queued=%zu given_up=%lld relay=%.*s queued_here=%zu in_flight=%d window=%.0f "
          "answer_ms=%.0f shortest_ms=%lld lost_share=%.2f",
          orders->paths.count, queued, (long long) orders->expired, GR_NAME_ARG (longest->relay),
          cell_start_queue_count (&longest->queue), flow->in_flight, flow->window, flow->srtt_ms,
          (long long) flow->floor_ms, flow->lost_share);
  orders->expired = 0;
}

void
cell_orders_tick (CellOrders *orders)
{
  int64_t now_ms = cell_leader_now (orders->leader);
  if (now_ms >= orders->relays_set_at + RELAYS_INTERVAL_MS) {
    orders->relays_set_at = now_ms;
    set_relays (orders);
  }
  if (now_ms >= orders->report_at) {
    orders->report_at = now_ms + REPORT_INTERVAL_MS;
    report_paths (orders);
  }
  if (now_ms < orders->overdue_scan_at)
    return;
  orders->overdue_scan_at = now_ms + OVERDUE_INTERVAL_MS;
  Order *order, *next;
  HASH_ITER (hh, orders->relayed, order, next)
  {
    if (now_ms >= order->overdue_at)
      lose (orders, order);
  }
  for (size_t i = 0; i < orders->paths.count; i++) {
    expire_queued (orders, orders->paths.items[i]);
    send_queued (orders, orders->paths.items[i]);
  }
}
