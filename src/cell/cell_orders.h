/* Orders of the leader to targets: sent by this VM, or by a relay (see cell_relays.h). Starts wait
   here while their path is at its limit (see cell_flow.h). */
#pragma once

#include "cell/cell_relays.h"
#include "cell/cell_wire.h"

typedef struct CellLeader CellLeader;
typedef struct CellOrders CellOrders;

CellOrders *cell_orders_new (CellLeader *leader);
/* Drops the orders that relays have not answered. */
void cell_orders_free (CellOrders *orders);
/* Sends a start, stop, hold or pace order. Its result reaches the scheduler exactly once, unless
   the leadership ends before. */
void cell_orders_send (CellOrders *orders, const DagCmd *cmd);
void cell_orders_handle_result (CellOrders *orders, const GrName *vm,
                                const CellWireOrderResult *result);
/* Input: the link to the VM closed. Its open orders count as lost. */
void cell_orders_link_down (CellOrders *orders, const GrName *vm);
/* Chooses the relays anew if that is due, and ends orders without an answer. */
void cell_orders_tick (CellOrders *orders);
