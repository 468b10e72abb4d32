/* Chooses which VMs send orders to targets. A leader whose processor does not carry the exchanges
   with all targets leaves them to relays: linked VMs, the strongest first and spread over zones.
   Each target has one relay, near it if possible, so that connections are kept. A relay that does
   not answer, or that a quarter of its targets do not answer, is left out for a time, and only its
   targets move.

   The module also knows which payloads a relay has received, since a job's payload is large and
   the same for all its tasks. The state is pure: the caller passes the time in ms. */
#pragma once

#include "ldr/ldr.h"

/* A relay keeps the payloads of this many jobs, the newest ones. */
#define CELL_RELAY_PAYLOADS 2048

typedef struct CellRelays CellRelays;

/* Outcome of an order by way of a relay. */
typedef enum {
  CELL_RELAY_ANSWERED,      /* by the target */
  CELL_RELAY_TARGET_SILENT, /* the relay got no answer from the target */
  CELL_RELAY_SILENT         /* the relay itself did not answer */
} CellRelayOutcome;

CellRelays *cell_relays_new (void);
void cell_relays_free (CellRelays *relays);
/* Chooses the relays among the linked VMs for this number of targets; none if self carries them
   alone. */
void cell_relays_set (CellRelays *relays, const LdrMember *self, const LdrMember *linked,
                      size_t count, size_t targets);
size_t cell_relays_count (const CellRelays *relays);
/* Returns the relay for the target, or NULL if this VM sends its orders. Valid until the next
   cell_relays_set(). */
const GrName *cell_relays_choose (const CellRelays *relays, const GrName *target,
                                  const GrName *zone, int64_t now_ms);
/* Input: the outcome of an order to the target by way of the relay vm. Returns the time in ms for
   which the relay is left out from now on; 0 if it is not. */
int64_t cell_relays_result (CellRelays *relays, const GrName *vm, const GrName *target,
                            CellRelayOutcome outcome, int64_t now_ms);
/* Returns true if the relay has the payload of the job; otherwise it counts as sent now. */
bool cell_relays_has_payload (CellRelays *relays, const GrName *vm, const GrName *job);
/* Input: the link to the VM closed. It may have restarted and lost all payloads. */
void cell_relays_link_down (CellRelays *relays, const GrName *vm);
