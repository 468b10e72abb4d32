/* Ids of requests that one process sends to others, which return them with their answers.

   An answer may come after the process that sent the request has ended and another one runs under
   the same name. So an id also names the process: its upper half is drawn at the start. Others only
   return ids and need not know their form. */
#pragma once

#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  uint64_t process; /* upper half of all ids; the lower one is 0 */
  uint32_t newest;  /* lower half of the newest id */
} GrIds;

/* random differs from start to start; it tells processes apart that started in the same ms, or
   before a clock was set back. */
void gr_ids_init (GrIds *ids, const GrVmRef *vm, uint64_t random);
/* Returns a positive id. */
int64_t gr_ids_next (GrIds *ids);
/* Returns true if this process may have given out the id. */
bool gr_ids_is_own (const GrIds *ids, int64_t id);

#ifdef __cplusplus
}
#endif
