#include "base/gr_ids.h"

#define NUMBER_BITS 32
/* The highest bit of an id is 0. */
#define PROCESS_BITS 31

void
gr_ids_init (GrIds *ids, const GrVmRef *vm, uint64_t random)
{
  uint64_t hash = gr_name_hash (&vm->vm, random ^ (uint64_t) vm->incarnation);
  *ids = (GrIds){ .process = hash >> (64 - PROCESS_BITS) << NUMBER_BITS };
}

int64_t
gr_ids_next (GrIds *ids)
{
  return (int64_t) (ids->process | ++ids->newest);
}

bool
gr_ids_is_own (const GrIds *ids, int64_t id)
{
  return (uint64_t) id >> NUMBER_BITS == ids->process >> NUMBER_BITS;
}
