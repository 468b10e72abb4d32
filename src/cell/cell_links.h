/* Which VMs of a cell keep a link to each other, so that links and heartbeats grow with the number
   of VMs and not with its square.

   A fixed number of VMs are electors: the strongest ones, spread over zones. Every VM keeps a link
   to each elector and to the leader. Electors replace a lost leader; the other VMs do so only if no
   elector does. A small cell consists of electors. All VMs derive the same electors from the same
   members. The functions are pure. */
#pragma once

#include "ldr/ldr.h"

/* Most electors of a cell. */
#define CELL_ELECTORS_MAX 16

/* Returns the index of the strongest member that is not chosen, among equals one of the zone with
   the fewest chosen ones; count if all are chosen. */
size_t cell_links_next_strongest (const LdrMember *members, const bool *chosen, size_t count);
/* Sets electors[i] for each member; the array has room for count flags. */
void cell_links_choose_electors (const LdrMember *members, size_t count, bool *electors);
/* Delay that a VM which is not an elector adds to its claims to leadership, so that electors go
   first and the others do not all claim at once. */
int64_t cell_links_claim_delay_ms (const GrName *vm);
