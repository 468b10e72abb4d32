/* Clock, heap counter and slope shared by the capacity programs. */
#pragma once

#include <malloc.h>
#include <stdio.h>
#include <time.h>

/* Processor time of this process in microseconds. */
static inline double
capacity_cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double) t.tv_sec * 1e6 + (double) t.tv_nsec / 1e3;
}

/* Heap bytes in use, including blocks that malloc has mapped separately. */
static inline double
capacity_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double) info.uordblks + (double) info.hblkhd;
}

/* Slope of the line through (x0, y0) and (x1, y1): cost per unit of x without the fixed cost. */
static inline double
capacity_slope (double y0, double y1, double x0, double x1)
{
  return (y1 - y0) / (x1 - x0);
}
