/* Calls whose answer rests on this VM being the leader still: that a job does not exist is known to
   the leader only, and a VM that was paused or cut off may not know that another one has taken
   over. Such a call is answered after a check with the store that began after its arrival. */
#pragma once

#include "base/gr_str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
  GrName from; /* VM that forwarded the call; empty: this VM */
  uint64_t id;
} CellConfirmCall;

typedef GR_LIST (CellConfirmCall) CellConfirmCalls;

/* Zero-initialised before use, and cleared by cell_confirm_clear(). */
typedef struct {
  CellConfirmCalls waiting; /* for the next check */
  CellConfirmCalls asked;   /* for the check in flight */
  bool open;                /* a check is in flight */
} CellConfirm;

void cell_confirm_add (CellConfirm *confirm, const GrName *from, uint64_t id);
/* Returns true if a check is to be sent now, which covers all calls that wait; wanted: also if none
   does. */
bool cell_confirm_begin (CellConfirm *confirm, bool wanted);
/* The check has ended: moves the calls that it covers to *calls, which the caller clears. */
void cell_confirm_end (CellConfirm *confirm, CellConfirmCalls *calls);
void cell_confirm_clear (CellConfirm *confirm);
