/* Waiting tasks, in first-come first-served queues by class, team, priority and similar size. */
#include "sch/sch_priv.h"

static int32_t
log2_of (int32_t value)
{
  return value > 0 ? 32 - __builtin_clz ((unsigned) value) : 0;
}

static SchQueueKey
queue_key (const SchEntry *e)
{
  SchQueueKey key;
  memset (&key, 0, sizeof key);
  key.team = e->team;
  key.class = (int32_t) e->class;
  key.priority = e->task.priority;
  key.shape = log2_of (e->reserve.v[GR_RES_CPU_MILLI]) << 16
              | log2_of (e->reserve.v[GR_RES_MEMORY_MB]) << 10
              | (log2_of (e->reserve.v[GR_RES_ACCELERATORS]) & 7) << 7
              | (log2_of (e->reserve.v[GR_RES_SLOTS]) & 3) << 5
              | (e->class <= SCH_CLASS_SHORT ? log2_of ((int32_t) (e->run_ms & INT32_MAX)) : 0);
  return key;
}

void
sch_queue_push (SchState *s, SchEntry *e)
{
  SchQueueKey key = queue_key (e);
  SchQueue *queue;
  HASH_FIND (hh, s->queues, &key, sizeof key, queue);
  if (!queue) {
    queue = gr_calloc (1, sizeof *queue);
    queue->key = key;
    queue->active_at = (int32_t) s->active[e->class].count;
    queue->why = SCH_WHY_NO_TARGET;
    HASH_ADD (hh, s->queues, key, sizeof queue->key, queue);
    gr_list_push (&s->active[e->class], queue);
  }
  DL_APPEND2 (queue->head, e, queue_prev, queue_next);
  queue->count++;
  e->queue = queue;
  s->queued++;
}

void
sch_queue_remove (SchState *s, SchEntry *e)
{
  SchQueue *queue = e->queue;
  if (!queue)
    return;
  DL_DELETE2 (queue->head, e, queue_prev, queue_next);
  e->queue = NULL;
  s->queued--;
  if (--queue->count > 0)
    return;
  int class = queue->key.class;
  int32_t at = queue->active_at;
  gr_list_swap_remove (&s->active[class], (size_t) at);
  if ((size_t) at < s->active[class].count)
    s->active[class].items[at]->active_at = at;
  HASH_DEL (s->queues, queue);
  free (queue);
}

void
sch_queues_clear (SchState *s)
{
  SchQueue *queue, *next;
  HASH_ITER (hh, s->queues, queue, next)
  {
    HASH_DEL (s->queues, queue);
    free (queue);
  }
  for (int c = 0; c < SCH_CLASS_COUNT; c++)
    gr_list_clear (&s->active[c]);
}
