/* Starts that wait for a path to targets: the most urgent one comes first, the oldest among equals.
   A leader that is offered thousands of starts at once must not spend its time on the queue.

   The queue is pure: the caller passes the time in ms, and what it queues is opaque. */
#pragma once

#include "base/gr_str.h"

typedef struct {
  int32_t priority; /* 0 goes first */
  uint64_t serial;  /* order of arrival */
  int64_t send_by;
  void *start; /* owned by the caller */
} CellQueuedStart;

/* Empty if zero-initialised, a binary heap. */
typedef struct {
  GR_LIST (CellQueuedStart) heap;
  uint64_t next_serial;
} CellStartQueue;

typedef GR_LIST (void *) CellStarts;

void cell_start_queue_push (CellStartQueue *queue, int32_t priority, int64_t send_by, void *start);
/* Removes the first start; NULL if the queue is empty. */
void *cell_start_queue_pop (CellStartQueue *queue);
/* Moves the starts that should have been sent before now to *expired. */
void cell_start_queue_expire (CellStartQueue *queue, int64_t now_ms, CellStarts *expired);
size_t cell_start_queue_count (const CellStartQueue *queue);
/* Releases the memory of the queue, which must be empty. */
void cell_start_queue_clear (CellStartQueue *queue);
