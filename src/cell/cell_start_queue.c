#include "cell/cell_start_queue.h"

#include <stdlib.h>

static bool
goes_before (const CellQueuedStart *a, const CellQueuedStart *b)
{
  return a->priority != b->priority ? a->priority < b->priority : a->serial < b->serial;
}

static void
swap (CellStartQueue *queue, size_t a, size_t b)
{
  CellQueuedStart item = queue->heap.items[a];
  queue->heap.items[a] = queue->heap.items[b];
  queue->heap.items[b] = item;
}

static void
sift_down (CellStartQueue *queue, size_t at)
{
  CellQueuedStart *items = queue->heap.items;
  for (;;) {
    size_t first = at;
    for (size_t child = 2 * at + 1; child <= 2 * at + 2 && child < queue->heap.count; child++) {
      if (goes_before (&items[child], &items[first]))
        first = child;
    }
    if (first == at)
      return;
    swap (queue, at, first);
    at = first;
  }
}

void
cell_start_queue_push (CellStartQueue *queue, int32_t priority, int64_t send_by, void *start)
{
  size_t at = queue->heap.count;
  CellQueuedStart item = { priority, queue->next_serial++, send_by, start };
  gr_list_push (&queue->heap, item);
  while (at > 0 && goes_before (&queue->heap.items[at], &queue->heap.items[(at - 1) / 2])) {
    swap (queue, at, (at - 1) / 2);
    at = (at - 1) / 2;
  }
}

void *
cell_start_queue_pop (CellStartQueue *queue)
{
  if (queue->heap.count == 0)
    return NULL;
  void *start = queue->heap.items[0].start;
  gr_list_swap_remove (&queue->heap, 0);
  sift_down (queue, 0);
  return start;
}

void
cell_start_queue_expire (CellStartQueue *queue, int64_t now_ms, CellStarts *expired)
{
  size_t kept = 0;
  for (size_t i = 0; i < queue->heap.count; i++) {
    if (now_ms > queue->heap.items[i].send_by)
      gr_list_push (expired, queue->heap.items[i].start);
    else
      queue->heap.items[kept++] = queue->heap.items[i];
  }
  if (kept == queue->heap.count)
    return;
  queue->heap.count = kept;
  for (size_t i = kept / 2; i-- > 0;)
    sift_down (queue, i);
}

size_t
cell_start_queue_count (const CellStartQueue *queue)
{
  return queue->heap.count;
}

void
cell_start_queue_clear (CellStartQueue *queue)
{
  gr_list_clear (&queue->heap);
}
