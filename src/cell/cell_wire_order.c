/* Codec of the orders that one VM sends to targets for another, and of their outcomes.

   An order is [token, term, timeout, kind, target, address, incarnation, fields of the kind], an
   outcome [token, result, clock] or, with an inventory, [token, result, clock, incarnation,
   [run, ...], [end, ...]]. */
#include <stdlib.h>

#include "cell/cell_wire_priv.h"

#define ORDER_FIELDS 8
#define START_FIELDS 9
#define STOP_FIELDS 4
#define HOLD_FIELDS 3
#define PACE_FIELDS 5
#define RESULT_FIELDS 3
#define INVENTORY_FIELDS 6
#define RUN_FIELDS 7
#define END_FIELDS 7
/* Most runs or ends of one inventory. */
#define LIST_MAX 65536

static void
pack_task (msgpack_packer *packer, const DagTaskRef *task, int64_t run)
{
  gr_pack_name (packer, &task->job);
  msgpack_pack_uint32 (packer, task->step);
  msgpack_pack_uint32 (packer, task->index);
  msgpack_pack_int64 (packer, run);
}

static void
pack_start (msgpack_packer *packer, const DagCmd *cmd, bool payload_stored)
{
  msgpack_pack_array (packer, START_FIELDS);
  pack_task (packer, &cmd->u.start.task, cmd->u.start.run);
  msgpack_pack_int64 (packer, cmd->u.start.lease_until);
  gr_pack_name (packer, &cmd->u.start.checkpoint);
  gr_pack_str (packer, gr_str_from_c (cmd->u.start.ticket));
  gr_pack_bool (packer, payload_stored);
  gr_pack_bin (packer, payload_stored ? (GrStr){ "", 0 } : cmd->u.start.payload);
}

void
cell_wire_pack_order (msgpack_packer *packer, const CellWireOrder *order)
{
  const DagCmd *cmd = &order->cmd;
  cell_wire_pack_head (packer, CELL_WIRE_ORDER, ORDER_FIELDS);
  msgpack_pack_int64 (packer, order->token);
  msgpack_pack_int64 (packer, order->term);
  msgpack_pack_int64 (packer, order->timeout_ms);
  msgpack_pack_int (packer, (int) cmd->type);
  gr_pack_name (packer, &cmd->target.target);
  gr_pack_name (packer, &cmd->target.address);
  msgpack_pack_int64 (packer, cmd->target.incarnation);
  switch (cmd->type) {
  case DAG_CMD_START:
    pack_start (packer, cmd, order->payload_stored);
    return;
  case DAG_CMD_STOP:
    msgpack_pack_array (packer, STOP_FIELDS);
    pack_task (packer, &cmd->u.stop.task, cmd->u.stop.run);
    return;
  case DAG_CMD_PACE:
    msgpack_pack_array (packer, PACE_FIELDS);
    pack_task (packer, &cmd->u.pace.task, cmd->u.pace.run);
    msgpack_pack_int (packer, cmd->u.pace.percent);
    return;
  case DAG_CMD_HOLD:
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
  case DAG_CMD_ADVISE:
  case DAG_CMD_DEPOSED:
    break;
  }
  msgpack_pack_array (packer, HOLD_FIELDS);
  msgpack_pack_int64 (packer, cmd->u.hold.lease_until);
  msgpack_pack_int64 (packer, cmd->u.hold.acknowledged);
  msgpack_pack_int64 (packer, cmd->u.hold.wait_ms);
}

void
cell_wire_pack_order_result (msgpack_packer *packer, const CellWireOrderResult *result)
{
  const DagInventory *inventory = &result->inventory;
  cell_wire_pack_head (packer, CELL_WIRE_ORDER_RESULT,
                       result->has_inventory ? INVENTORY_FIELDS : RESULT_FIELDS);
  msgpack_pack_int64 (packer, result->token);
  msgpack_pack_int (packer, (int) result->result);
  msgpack_pack_int64 (packer, result->clock_ms);
  if (!result->has_inventory)
    return;
  msgpack_pack_int64 (packer, inventory->incarnation);
  msgpack_pack_array (packer, inventory->running_count);
  for (size_t i = 0; i < inventory->running_count; i++) {
    const DagRunReport *report = &inventory->running[i];
    msgpack_pack_array (packer, RUN_FIELDS);
    pack_task (packer, &report->task, report->run);
    gr_pack_str (packer, report->checkpoint);
    msgpack_pack_int (packer, report->percent);
    msgpack_pack_int64 (packer, report->usage);
  }
  msgpack_pack_array (packer, inventory->end_count);
  for (size_t i = 0; i < inventory->end_count; i++) {
    const DagEnd *end = &inventory->ends[i];
    msgpack_pack_array (packer, END_FIELDS);
    pack_task (packer, &end->task, end->run);
    msgpack_pack_int64 (packer, end->number);
    msgpack_pack_int (packer, (int) end->kind);
    gr_pack_str (packer, end->checkpoint);
  }
}

static bool
read_task (const msgpack_object *f, DagTaskRef *task, int64_t *run)
{
  int64_t step, index;
  if (!gr_unpack_name (&f[0], &task->job) || !gr_unpack_int (&f[1], &step)
      || !gr_unpack_int (&f[2], &index) || !gr_unpack_int (&f[3], run) || step < 0
      || step > UINT32_MAX || index < 0 || index > UINT32_MAX)
    return false;
  task->step = (uint32_t) step;
  task->index = (uint32_t) index;
  return true;
}

static bool
read_start (const msgpack_object *object, CellWireOrder *order)
{
  DagCmd *cmd = &order->cmd;
  GrStr ticket;
  if (!gr_unpack_is_array (object, START_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  if (!read_task (f, &cmd->u.start.task, &cmd->u.start.run)
      || !gr_unpack_int (&f[4], &cmd->u.start.lease_until)
      || !gr_unpack_name (&f[5], &cmd->u.start.checkpoint) || !gr_unpack_bytes (&f[6], &ticket)
      || ticket.len >= sizeof cmd->u.start.ticket || !gr_unpack_bool (&f[7], &order->payload_stored)
      || !gr_unpack_bytes (&f[8], &cmd->u.start.payload))
    return false;
  memcpy (cmd->u.start.ticket, ticket.data, ticket.len);
  return true;
}

static bool
read_stop (const msgpack_object *object, DagCmd *cmd)
{
  return gr_unpack_is_array (object, STOP_FIELDS)
         && read_task (object->via.array.ptr, &cmd->u.stop.task, &cmd->u.stop.run);
}

static bool
read_pace (const msgpack_object *object, DagCmd *cmd)
{
  return gr_unpack_is_array (object, PACE_FIELDS)
         && read_task (object->via.array.ptr, &cmd->u.pace.task, &cmd->u.pace.run)
         && gr_unpack_int32 (&object->via.array.ptr[4], &cmd->u.pace.percent);
}

static bool
read_hold (const msgpack_object *object, DagCmd *cmd)
{
  if (!gr_unpack_is_array (object, HOLD_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  return gr_unpack_int (&f[0], &cmd->u.hold.lease_until)
         && gr_unpack_int (&f[1], &cmd->u.hold.acknowledged)
         && gr_unpack_int (&f[2], &cmd->u.hold.wait_ms);
}

bool
cell_wire_read_order (const msgpack_object *fields, uint32_t size, CellWireOrder *order)
{
  int64_t kind;
  DagTargetRef *target = &order->cmd.target;
  if (size != ORDER_FIELDS || !gr_unpack_int (&fields[0], &order->token)
      || !gr_unpack_int (&fields[1], &order->term)
      || !gr_unpack_int (&fields[2], &order->timeout_ms) || !gr_unpack_int (&fields[3], &kind)
      || !gr_unpack_name (&fields[4], &target->target)
      || !gr_unpack_name (&fields[5], &target->address)
      || !gr_unpack_int (&fields[6], &target->incarnation))
    return false;
  order->cmd.type = (DagCmdType) kind;
  switch (kind) {
  case DAG_CMD_START:
    return read_start (&fields[7], order);
  case DAG_CMD_STOP:
    return read_stop (&fields[7], &order->cmd);
  case DAG_CMD_HOLD:
    return read_hold (&fields[7], &order->cmd);
  case DAG_CMD_PACE:
    return read_pace (&fields[7], &order->cmd);
  default:
    return false;
  }
}

static bool
read_run (const msgpack_object *object, DagRunReport *report)
{
  if (!gr_unpack_is_array (object, RUN_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  return read_task (f, &report->task, &report->run) && gr_unpack_bytes (&f[4], &report->checkpoint)
         && gr_unpack_int32 (&f[5], &report->percent) && gr_unpack_int (&f[6], &report->usage);
}

static bool
read_end (const msgpack_object *object, DagEnd *end)
{
  int64_t kind;
  if (!gr_unpack_is_array (object, END_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  if (!read_task (f, &end->task, &end->run) || !gr_unpack_int (&f[4], &end->number)
      || !gr_unpack_int (&f[5], &kind) || kind < DAG_END_DONE || kind > DAG_END_ALONE
      || !gr_unpack_bytes (&f[6], &end->checkpoint))
    return false;
  end->kind = (DagEndKind) kind;
  return true;
}

static bool
is_list (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size <= LIST_MAX;
}

static bool
read_inventory (const msgpack_object *fields, CellWireMsg *msg)
{
  DagInventory *inventory = &msg->u.order_result.inventory;
  if (!gr_unpack_int (&fields[0], &inventory->incarnation) || !is_list (&fields[1])
      || !is_list (&fields[2]))
    return false;
  inventory->running_count = fields[1].via.array.size;
  inventory->end_count = fields[2].via.array.size;
  DagRunReport *running = gr_calloc (inventory->running_count + 1, sizeof *running);
  msg->decoded_list = running;
  inventory->running = running;
  DagEnd *ends = gr_calloc (inventory->end_count + 1, sizeof *ends);
  msg->decoded_ends = ends;
  inventory->ends = ends;
  for (size_t i = 0; i < inventory->running_count; i++) {
    if (!read_run (&fields[1].via.array.ptr[i], &running[i]))
      return false;
  }
  for (size_t i = 0; i < inventory->end_count; i++) {
    if (!read_end (&fields[2].via.array.ptr[i], &ends[i]))
      return false;
  }
  return true;
}

bool
cell_wire_read_order_result (const msgpack_object *fields, uint32_t size, CellWireMsg *msg)
{
  CellWireOrderResult *result = &msg->u.order_result;
  int64_t kind;
  if ((size != RESULT_FIELDS && size != INVENTORY_FIELDS)
      || !gr_unpack_int (&fields[0], &result->token) || !gr_unpack_int (&fields[1], &kind)
      || kind < DAG_ORDER_OK || kind > DAG_ORDER_CLOSED
      || !gr_unpack_int (&fields[2], &result->clock_ms))
    return false;
  result->result = (DagOrderResult) kind;
  result->has_inventory = size == INVENTORY_FIELDS;
  if (!result->has_inventory)
    return true;
  result->inventory.clock_ms = result->clock_ms;
  return read_inventory (&fields[3], msg);
}
