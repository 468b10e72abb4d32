/* Exponential backoff. */
#pragma once

#include <stdint.h>

/* Pause after the next failure in a row: twice the last one, within the bounds. last_ms is 0 after
   a success. */
static inline int64_t
gr_backoff_next (int64_t last_ms, int64_t min_ms, int64_t max_ms)
{
  int64_t next_ms = last_ms == 0 ? min_ms : last_ms * 2;
  return next_ms < max_ms ? next_ms : max_ms;
}
