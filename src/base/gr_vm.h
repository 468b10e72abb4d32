/* Identity of one run of the process on an entry VM. */
#pragma once

#include "base/gr_str.h"

/* incarnation is the start time of the process in Unix ms; it is higher after a restart and on a VM
   that replaces one of the same id. */
typedef struct {
  GrName vm;
  int64_t incarnation;
} GrVmRef;

static inline bool
gr_vm_ref_equal (const GrVmRef *a, const GrVmRef *b)
{
  return a->incarnation == b->incarnation && gr_name_equal (&a->vm, &b->vm);
}
