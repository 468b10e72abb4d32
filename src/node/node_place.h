/* Placement component: chooses the scheduler for an attempt from the load summaries that the VMs of
   the region broadcast, and broadcasts the summary of this VM. */
#pragma once

#include "base/gr_res.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodePlace NodePlace;

NodePlace *node_place_new (Node *node);
void node_place_free (NodePlace *place);
/* Stores the load summary of a VM. */
void node_place_summary (Node *node, const GrName *from, const NodeWire *wire);
/* Excludes the VM until its next summary: it sent a leave message or its link closed. */
void node_place_forget (Node *node, const GrName *vm);
/* Chooses this VM if its groups have room for the demand, else the better of two other VMs picked
   at random: one with room, then the one with the shorter expected wait, then the one with fewer
   queued tasks per group. This VM is also chosen if there is no other VM, or if the picked one has
   no room either and is worse than this VM. VMs in avoid are left out. Writes the reason of the
   choice to reason. Returns false if no usable VM owns a target that is large enough for the
   demand. */
bool node_place_choose (Node *node, const GrRes *demand, const GrName *avoid, size_t avoid_count,
                        GrName *chosen, char *reason, size_t reason_size);
