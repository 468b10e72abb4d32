#include "base/gr_res.h"

const char *
gr_res_name (GrResDim dim)
{
  static const char *const names[GR_RES_COUNT] = {
    [GR_RES_CPU_MILLI] = "cpu_milli",
    [GR_RES_MEMORY_MB] = "memory_mb",
    [GR_RES_ACCELERATORS] = "accelerators",
    [GR_RES_SLOTS] = "slots",
  };
  return dim < GR_RES_COUNT ? names[dim] : "unknown";
}
