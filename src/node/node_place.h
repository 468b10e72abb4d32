/* Choice of the scheduler that is asked to run an attempt, by the summaries of the region. */
#pragma once

#include "base/gr_res.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodePlace NodePlace;

NodePlace *node_place_new (Node *node);
void node_place_free (NodePlace *place);
void node_place_summary (Node *node, const GrName *from, const NodeWire *wire);
/* The VM said farewell or its link closed. */
void node_place_forget (Node *node, const GrName *vm);
/* Own groups first if they have room, else the better of two VMs at random, else the one with the
   shortest wait. False if no VM can hold the demand; reason tells why the choice was made. */
bool node_place_choose (Node *node, const GrRes *demand, const GrName *avoid, size_t avoid_count,
                        GrName *chosen, char *reason, size_t reason_size);
