/* Sends orders to targets for the leader. Fencing and leases are the leader's: an order that waited
   here for long is refused by the target if a later term or stop has reached it. A target that has
   restarted meanwhile knows neither, so orders that waited while this VM was paused are not sent.
 */
#include <stdlib.h>

#include "cell/cell_leader_priv.h"

/* An order that has waited for longer than its timeout was taken as lost by the leader. */
#define STALL_MS 700
/* After a stall, the orders that have waited meanwhile are read within this time. */
#define STALL_READ_MS 200

/* Payloads of jobs, kept for the starts of their other tasks; the oldest are dropped. */
struct CellPayload {
  GrName job;
  char *data;
  size_t len;
  UT_hash_handle hh;
};

typedef struct {
  Cell *cell;
  GrName leader;
  int64_t token;
} RelayedOrder;

static void
send_result (Cell *cell, const GrName *leader, const CellWireOrderResult *result)
{
  CellWireMsg msg = { .type = CELL_WIRE_ORDER_RESULT };
  msg.u.order_result = *result;
  if (cell->freeing)
    return;
  int64_t capabilities = cell_peer_state (cell, leader)->capabilities;
  if (result->result == DAG_ORDER_CLOSED && !(capabilities & CELL_WIRE_CAPABILITY_CLOSED))
    msg.u.order_result.result = DAG_ORDER_LOST;
  cell_send (cell, leader, &msg);
}

static void
on_ordered (void *user, DagOrderResult result, int64_t clock_ms)
{
  RelayedOrder *order = user;
  CellWireOrderResult outcome = { .token = order->token, .result = result, .clock_ms = clock_ms };
  send_result (order->cell, &order->leader, &outcome);
  free (order);
}

static void
on_held (void *user, DagOrderResult result, const DagInventory *inventory)
{
  RelayedOrder *order = user;
  CellWireOrderResult outcome = { .token = order->token, .result = result };
  if (inventory) {
    outcome.clock_ms = inventory->clock_ms;
    outcome.has_inventory = true;
    outcome.inventory = *inventory;
  }
  send_result (order->cell, &order->leader, &outcome);
  free (order);
}

static void
free_payload (CellPayload *payload)
{
  if (!payload)
    return;
  free (payload->data);
  free (payload);
}

static CellPayload *
find_payload (const Cell *cell, const GrName *job)
{
  CellPayload *payload = NULL;
  HASH_FIND (hh, cell->payloads, job->data, job->len, payload);
  return payload;
}

static void
keep_payload (Cell *cell, const GrName *job, GrStr data)
{
  /* The hash keeps the order of insertion, so its first entry is the oldest. */
  CellPayload *dropped = find_payload (cell, job);
  if (!dropped && HASH_COUNT (cell->payloads) >= CELL_RELAY_PAYLOADS)
    dropped = cell->payloads;
  if (dropped)
    HASH_DEL (cell->payloads, dropped);
  CellPayload *payload = gr_calloc (1, sizeof *payload);
  payload->job = *job;
  payload->data = gr_str_dup (data);
  payload->len = data.len;
  HASH_ADD_KEYPTR (hh, cell->payloads, payload->job.data, payload->job.len, payload);
  free_payload (dropped);
}

/* Completes the payload of a start; false if this VM does not have it. */
static bool
resolve_payload (Cell *cell, CellWireOrder *order)
{
  const GrName *job = &order->cmd.u.start.task.job;
  if (!order->payload_stored) {
    keep_payload (cell, job, order->cmd.u.start.payload);
    return true;
  }
  const CellPayload *payload = find_payload (cell, job);
  if (!payload)
    return false;
  order->cmd.u.start.payload = (GrStr){ payload->data, payload->len };
  return true;
}

void
cell_relay_note_run (Cell *cell)
{
  int64_t now_ms = cell_boot_now ();
  if (cell->ran_boot_ms > 0 && now_ms - cell->ran_boot_ms > STALL_MS)
    cell->orders_late_until_boot_ms = now_ms + STALL_READ_MS;
  cell->ran_boot_ms = now_ms;
}

/* True if the order may have waited here while this VM was paused. Meanwhile its target may have
   started again under the same id, and take the acknowledgement or the lease that was meant for its
   earlier incarnation. */
static bool
may_be_late (Cell *cell)
{
  cell_relay_note_run (cell);
  return cell->ran_boot_ms < cell->orders_late_until_boot_ms;
}

static void
refuse (Cell *cell, const GrName *leader, const CellWireOrder *order)
{
  CellWireOrderResult outcome = { .token = order->token, .result = DAG_ORDER_NOT_SENT };
  send_result (cell, leader, &outcome);
}

void
cell_relay_handle_order (Cell *cell, const GrName *leader, CellWireOrder *order)
{
  const CellPlatform *platform = cell->platform;
  if (order->cmd.type == DAG_CMD_START && !resolve_payload (cell, order)) {
    refuse (cell, leader, order);
    return;
  }
  if (may_be_late (cell)) {
    gr_log (&cell->log, GR_EV_REFUSED, "target=%.*s reason=order-waited-during-a-pause",
            GR_NAME_ARG (order->cmd.target.target));
    refuse (cell, leader, order);
    return;
  }
  RelayedOrder *relayed = gr_calloc (1, sizeof *relayed);
  *relayed = (RelayedOrder){ cell, *leader, order->token };
  int64_t timeout_at = cell_now (cell) + order->timeout_ms;
  if (order->cmd.type == DAG_CMD_HOLD)
    platform->hold (platform->adapter, &order->cmd, order->term, timeout_at, on_held, relayed);
  else
    cell_send_order (platform, &order->cmd, order->term, timeout_at, on_ordered, relayed);
}

void
cell_relay_clear (Cell *cell)
{
  gr_hash_clear (cell->payloads, free_payload);
}

void
cell_send_order (const CellPlatform *platform, const DagCmd *cmd, int64_t term,
                 int64_t timeout_at_ms, CellOrderDone done, void *user)
{
  switch (cmd->type) {
  case DAG_CMD_START:
    platform->start (platform->adapter, cmd, term, timeout_at_ms, done, user);
    return;
  case DAG_CMD_STOP:
    platform->stop (platform->adapter, cmd, term, timeout_at_ms, done, user);
    return;
  case DAG_CMD_PACE:
    platform->pace (platform->adapter, cmd, term, timeout_at_ms, done, user);
    return;
  case DAG_CMD_HOLD:
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    break;
  }
  abort ();
}
