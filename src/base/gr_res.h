/* Resource vectors: the capacity of a target and the demand of a task. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  GR_RES_CPU_MILLI,
  GR_RES_MEMORY_MB,
  GR_RES_ACCELERATORS,
  GR_RES_SLOTS,
  GR_RES_COUNT
} GrResDim;

/* Amounts indexed by GrResDim. */
typedef struct {
  int32_t v[GR_RES_COUNT];
} GrRes;

/* True if need does not exceed free in any dimension. */
static inline bool
gr_res_fits (const GrRes *need, const GrRes *free)
{
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (need->v[d] > free->v[d])
      return false;
  }
  return true;
}

static inline void
gr_res_add (GrRes *sum, const GrRes *term)
{
  for (int d = 0; d < GR_RES_COUNT; d++)
    sum->v[d] += term->v[d];
}

static inline void
gr_res_sub (GrRes *sum, const GrRes *term)
{
  for (int d = 0; d < GR_RES_COUNT; d++)
    sum->v[d] -= term->v[d];
}

/* "cpu_milli", "memory_mb", "accelerators" or "slots". */
const char *gr_res_name (GrResDim dim);

#ifdef __cplusplus
}
#endif
