/* Waiting tasks, in FIFO queues by class, team, priority and similar size. */
#include "sch/sch_priv.h"

/* Number of bits of value, i.e. 1 + floor (log2 (value)), at most 31; 0 if it is not positive. */
static int32_t
bit_length (int64_t value)
{
  if (value <= 0)
    return 0;
  return 32 - __builtin_clz ((unsigned) (value > INT32_MAX ? INT32_MAX : value));
}

static bool
ordered_by_run_time (const SchEntry *e)
{
  return e->class <= SCH_CLASS_SHORT;
}

static SchQueueKey
queue_key (const SchEntry *e)
{
  SchQueueKey key;
  memset (&key, 0, sizeof key);
  key.team = e->team;
  key.class = (int32_t) e->class;
  key.priority = e->task.priority;
  key.size_bits = bit_length (e->reserve.v[GR_RES_CPU_MILLI]) << 16
                  | bit_length (e->reserve.v[GR_RES_MEMORY_MB]) << 10
                  | (bit_length (e->reserve.v[GR_RES_ACCELERATORS]) & 7) << 7
                  | (bit_length (e->reserve.v[GR_RES_SLOTS]) & 3) << 5;
  /* The shortest work is served first within a class and team, so run time is part of the key. */
  if (ordered_by_run_time (e))
    key.size_bits |= bit_length (e->run_ms) & 31;
  return key;
}

static double *
backlog (SchState *s, const SchEntry *e)
{
  return &s->backlog_ms[e->reserve.v[GR_RES_SLOTS] > 0][bit_length (e->run_ms) & 31];
}

int64_t
sch_queue_wait_ms (const SchState *s, bool slots, int64_t run_ms)
{
  double sum = 0;
  for (int octave = 0; octave <= (bit_length (run_ms) & 31); octave++)
    sum += s->backlog_ms[slots][octave];
  return sum > 0 ? (int64_t) sum : 0;
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
    gr_list_push (&s->active[e->class], queue); // NOLINT(bugprone-sizeof-expression): pointers
  }
  DL_APPEND2 (queue->head, e, queue_prev, queue_next);
  queue->count++;
  e->queue = queue;
  s->queued++;
  if (ordered_by_run_time (e))
    *backlog (s, e) += e->work_ms;
  if (!e->is_long)
    s->short_slots += e->reserve.v[GR_RES_SLOTS];
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
  if (!e->is_long)
    s->short_slots -= e->reserve.v[GR_RES_SLOTS];
  if (ordered_by_run_time (e)) {
    double *sum = backlog (s, e);
    *sum = *sum > e->work_ms ? *sum - e->work_ms : 0;
  }
  if (e->aged) {
    DL_DELETE2 (s->aged, e, aged_prev, aged_next);
    e->aged = false;
  }
  sch_unreserve (s, e);
  sch_unclaim (s, e);
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
  gr_hash_clear (s->queues, free);
  for (int c = 0; c < SCH_CLASS_COUNT; c++)
    gr_list_clear (&s->active[c]);
}
