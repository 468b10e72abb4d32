/* Shared by the files of the message codec only. */
#pragma once

#include "base/gr_pack.h"
#include "cell/cell_wire.h"

/* Begins a message of this type with this number of fields. */
void cell_wire_pack_head (msgpack_packer *packer, CellWireType type, size_t fields);

/* cell_wire_order.c */
void cell_wire_pack_order (msgpack_packer *packer, const CellWireOrder *order);
void cell_wire_pack_order_result (msgpack_packer *packer, const CellWireOrderResult *result);
bool cell_wire_read_order (const msgpack_object *fields, uint32_t size, CellWireOrder *order);
bool cell_wire_read_order_result (const msgpack_object *fields, uint32_t size, CellWireMsg *msg);
