/* Identity of one process on an entry VM. */
#pragma once

#include "base/gr_str.h"

/* Incarnation is the process start in Unix ms; a replaced VM has a higher one. */
typedef struct {
  GrName vm;
  int64_t incarnation;
} GrVmRef;

static inline bool
gr_vm_ref_equal (const GrVmRef *a, const GrVmRef *b)
{
  return a->incarnation == b->incarnation && gr_name_equal (&a->vm, &b->vm);
}
