/* Table of task attempts, sets of hashes that expire, and the timer wheel. */
#include "sch/sch_priv.h"

/* Lifetime of a key: a duplicate message that arrives within this time after an end or a cancel is
   recognised. */
#define TTL_MS 600000
/* Bounds the memory of each set; at the limit, the oldest key is removed. */
#define TTL_SET_MAX 200000

SchEntry *
sch_entry_first (const SchState *s, const GrName *id)
{
  SchEntry *e;
  HASH_FIND (hh, s->entries, id->data, id->len, e);
  return e;
}

SchEntry *
sch_entry_find (const SchState *s, const GrName *id, int32_t attempt)
{
  SchEntry *e = sch_entry_first (s, id);
  while (e && e->task.attempt != attempt)
    e = e->same_id;
  return e;
}

SchEntry *
sch_entry_new (SchState *s, const SchTask *task)
{
  SchEntry *e = s->free_entries;
  if (e) {
    s->free_entries = e->same_id;
    memset (e, 0, sizeof *e);
  } else {
    e = gr_calloc (1, sizeof *e);
  }
  e->task = *task;
  e->target = -1;
  e->reserved_target = -1;
  e->claimed_target = -1;
  e->avoid_target = -1;
  e->timer_slot = -1;
  SchEntry *first = sch_entry_first (s, &task->id);
  if (first) {
    e->same_id = first->same_id;
    first->same_id = e;
  } else {
    HASH_ADD_KEYPTR (hh, s->entries, e->task.id.data, e->task.id.len, e);
  }
  s->entry_count++;
  return e;
}

void
sch_entry_free (SchState *s, SchEntry *e)
{
  SchEntry *first = sch_entry_first (s, &e->task.id);
  if (first && first == e) {
    SchEntry *next = e->same_id;
    HASH_DEL (s->entries, e);
    if (next)
      HASH_ADD_KEYPTR (hh, s->entries, next->task.id.data, next->task.id.len, next);
  } else {
    while (first && first->same_id != e)
      first = first->same_id;
    if (first)
      first->same_id = e->same_id;
  }
  s->entry_count--;
  e->same_id = s->free_entries;
  s->free_entries = e;
}

uint64_t
sch_attempt_hash (const GrName *id, int32_t attempt)
{
  return gr_name_hash (id, (uint64_t) (uint32_t) attempt + 1);
}

bool
sch_ttl_set_contains (const SchTtlSet *set, uint64_t key)
{
  SchTtlKey *entry;
  HASH_FIND (hh, set->table, &key, sizeof key, entry);
  return entry != NULL;
}

static void
remove_oldest (SchTtlSet *set)
{
  SchTtlKey *entry = set->oldest;
  if (!entry || !set->table)
    return;
  DL_DELETE (set->oldest, entry);
  HASH_DEL (set->table, entry);
  free (entry);
}

void
sch_ttl_set_add (SchTtlSet *set, uint64_t key, int64_t now_ms)
{
  SchTtlKey *entry;
  HASH_FIND (hh, set->table, &key, sizeof key, entry);
  if (entry) {
    DL_DELETE (set->oldest, entry);
  } else {
    if (HASH_COUNT (set->table) >= TTL_SET_MAX)
      remove_oldest (set);
    entry = gr_calloc (1, sizeof *entry);
    entry->key = key;
    HASH_ADD (hh, set->table, key, sizeof entry->key, entry);
  }
  entry->until_ms = now_ms + TTL_MS;
  DL_APPEND (set->oldest, entry);
}

void
sch_ttl_set_expire (SchTtlSet *set, int64_t now_ms)
{
  while (set->oldest && set->oldest->until_ms <= now_ms)
    remove_oldest (set);
}

void
sch_ttl_set_clear (SchTtlSet *set)
{
  while (set->oldest)
    remove_oldest (set);
}

void
sch_timer_clear (SchState *s, SchEntry *e)
{
  if (e->timer_slot < 0)
    return;
  DL_DELETE2 (s->timers[e->timer_slot], e, timer_prev, timer_next);
  e->timer_slot = -1;
}

void
sch_timer_set (SchState *s, SchEntry *e, int64_t at_ms)
{
  sch_timer_clear (s, e);
  /* A slot that was already run is visited again only after a full turn of the timer wheel, so a
     timer that is due now goes into the next slot. */
  int64_t step = at_ms / SCH_TIMER_STEP_MS + 1;
  if (step <= s->timer_at)
    step = s->timer_at + 1;
  e->timer_ms = at_ms;
  e->timer_slot = (int32_t) (step % SCH_TIMER_SLOTS);
  DL_APPEND2 (s->timers[e->timer_slot], e, timer_prev, timer_next);
}

SchEntry *
sch_timer_next (SchState *s)
{
  int64_t last = s->now_ms / SCH_TIMER_STEP_MS;
  if (last - s->timer_at > SCH_TIMER_SLOTS)
    s->timer_at = last - SCH_TIMER_SLOTS;
  for (; s->timer_at < last; s->timer_at++) {
    SchEntry *e;
    DL_FOREACH2 (s->timers[(s->timer_at + 1) % SCH_TIMER_SLOTS], e, timer_next)
    {
      if (e->timer_ms <= s->now_ms) {
        sch_timer_clear (s, e);
        return e;
      }
    }
  }
  return NULL;
}
