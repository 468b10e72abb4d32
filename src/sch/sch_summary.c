/* Summary of the free capacity, sent to other VMs, and names for the decision log. */
#include "sch/sch_priv.h"

void
sch_summary (const SchState *s, SchSummary *out)
{
  const SchTargets *t = &s->targets;
  memset (out, 0, sizeof *out);
  for (int32_t i = 0; i < t->count; i++) {
    if (!sch_target_usable (t, i))
      continue;
    for (int d = 0; d < GR_RES_COUNT; d++) {
      int32_t left = t->free[i].v[d] > 0 ? t->free[i].v[d] : 0;
      out->free.v[d] += left;
      if (left > out->largest_hole.v[d])
        out->largest_hole.v[d] = left;
    }
  }
  out->queued = s->queued;
  out->running = s->running;
  /* The run time of work submitted later is unknown, so this is the wait behind all urgent and
     short work. */
  out->short_wait_ms = sch_queue_wait_ms (s, true, INT32_MAX);
  int64_t workers_ms = sch_queue_wait_ms (s, false, INT32_MAX);
  if (workers_ms > out->short_wait_ms)
    out->short_wait_ms = workers_ms;
}

const char *
sch_why_name (SchWhy why)
{
  switch (why) {
  case SCH_WHY_BEST_FIT:
    return "best_fit";
  case SCH_WHY_SPREAD:
    return "spread";
  case SCH_WHY_BACKFILL:
    return "backfill";
  case SCH_WHY_RESERVED:
    return "reserved";
  case SCH_WHY_PROBE:
    return "probe";
  case SCH_WHY_QUEUE_FULL:
    return "queue_full";
  case SCH_WHY_DEADLINE:
    return "deadline";
  case SCH_WHY_NEVER_FITS:
    return "never_fits";
  case SCH_WHY_QUOTA:
    return "quota";
  case SCH_WHY_CANCELLED:
    return "cancelled";
  case SCH_WHY_HOLD_EXPIRED:
    return "hold_expired";
  case SCH_WHY_NO_TARGET:
    return "no_target";
  case SCH_WHY_TARGET_REFUSED:
    return "target_refused";
  case SCH_WHY_PREEMPTED:
    return "preempted";
  case SCH_WHY_FAILS_EVERYTHING:
    return "fails_everything";
  case SCH_WHY_OVERRUN:
    return "overrun";
  }
  return "unknown";
}
