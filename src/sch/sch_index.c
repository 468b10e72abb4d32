/* Index of the usable targets by free capacity, for the search of a best fit. */
#include "sch/sch_priv.h"

/* Max targets of one bucket that the first and the second pass examine. A bucket at the level of
   the demand also holds targets that are slightly too small, so the second pass examines more. */
#define BUCKET_SCAN_FIRST 8
#define BUCKET_SCAN_SECOND 64
/* A search ends after this many targets that fit, as later buckets only fit worse. */
#define CANDIDATES_MAX 12

void
sch_index_init (SchTargets *t)
{
  t->buckets = gr_calloc (SCH_INDEX_BUCKETS, sizeof *t->buckets);
  for (int32_t c = 0; c < SCH_INDEX_BUCKETS; c++)
    t->buckets[c] = -1;
}

/* Level of a free amount: 0 for nothing, 1 below 16 units, then two levels per power of two. */
static int
free_level (int32_t value)
{
  if (value <= 0)
    return 0;
  if (value < 16)
    return 1;
  int octave = 31 - __builtin_clz ((unsigned) value);
  int level = 2 + (octave - 4) * 2 + ((value >> (octave - 1)) & 1);
  return level < SCH_FREE_LEVELS ? level : SCH_FREE_LEVELS - 1;
}

static int
slot_level (int32_t slots)
{
  return slots <= 0 ? 0 : slots == 1 ? 1 : slots < 4 ? 2 : 3;
}

/* Level 0 has the targets without accelerators. It is searched first, so that targets with
   accelerators stay free for work that needs them. */
static int
accelerator_level (int32_t total, int32_t left)
{
  if (total <= 0)
    return 0;
  return left <= 0 ? 1 : left == 1 ? 2 : left < 4 ? 3 : 4;
}

static int
accelerator_level_needed (int32_t need)
{
  return need <= 0 ? 0 : need == 1 ? 2 : need < 4 ? 3 : 4;
}

static int32_t
bucket_at (int acc, int slot, int cpu, int memory)
{
  return ((acc * SCH_SLOT_LEVELS + slot) * SCH_FREE_LEVELS + cpu) * SCH_FREE_LEVELS + memory;
}

static void
leave_bucket (SchTargets *t, int32_t i)
{
  int32_t c = t->bucket[i];
  if (c < 0)
    return;
  if (t->bucket_prev[i] >= 0)
    t->bucket_next[t->bucket_prev[i]] = t->bucket_next[i];
  else
    t->buckets[c] = t->bucket_next[i];
  if (t->bucket_next[i] >= 0)
    t->bucket_prev[t->bucket_next[i]] = t->bucket_prev[i];
  t->bucket[i] = -1;
  if (t->buckets[c] >= 0)
    return;
  int memory = c % SCH_FREE_LEVELS;
  int cpu = c / SCH_FREE_LEVELS % SCH_FREE_LEVELS;
  int slot = c / (SCH_FREE_LEVELS * SCH_FREE_LEVELS) % SCH_SLOT_LEVELS;
  int acc = c / (SCH_FREE_LEVELS * SCH_FREE_LEVELS * SCH_SLOT_LEVELS);
  t->columns[acc][slot][cpu] &= ~(1U << memory);
  if (t->columns[acc][slot][cpu] == 0)
    t->rows[acc][slot] &= ~(1U << cpu);
}

void
sch_index_update (SchTargets *t, int32_t i, bool usable)
{
  int32_t c = -1;
  int acc = 0;
  int slot = 0;
  int cpu = 0;
  int memory = 0;
  if (usable) {
    const GrRes *left = &t->free[i];
    acc = accelerator_level (t->total[i].v[GR_RES_ACCELERATORS], left->v[GR_RES_ACCELERATORS]);
    slot = slot_level (left->v[GR_RES_SLOTS]);
    cpu = free_level (left->v[GR_RES_CPU_MILLI]);
    memory = free_level (left->v[GR_RES_MEMORY_MB]);
    c = bucket_at (acc, slot, cpu, memory);
  }
  if (c == t->bucket[i])
    return;
  leave_bucket (t, i);
  if (c < 0)
    return;
  t->bucket[i] = c;
  t->bucket_prev[i] = -1;
  t->bucket_next[i] = t->buckets[c];
  if (t->buckets[c] >= 0)
    t->bucket_prev[t->buckets[c]] = i;
  t->buckets[c] = i;
  t->columns[acc][slot][cpu] |= 1U << memory;
  t->rows[acc][slot] |= 1U << cpu;
}

/* Free capacity that would remain, as the sum of the fractions of the target's capacity in each
   dimension; smaller is a better fit. */
static double
leftover (const SchTargets *t, int32_t i, const GrRes *need)
{
  double sum = 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int32_t total = t->total[i].v[d];
    if (total > 0)
      sum += (double) (t->free[i].v[d] - need->v[d]) / total;
  }
  return sum;
}

typedef struct {
  int32_t best;
  double best_left;
  int candidates;
} Search;

static void
search_bucket (const SchState *s, const SchEntry *e, int32_t bucket, int remaining, Search *search)
{
  const SchTargets *t = &s->targets;
  for (int32_t i = t->buckets[bucket]; i >= 0 && remaining > 0;
       i = t->bucket_next[i], remaining--) {
    if (!sch_target_allows (s, i, e))
      continue;
    double left = leftover (t, i, &e->reserve);
    if (search->best < 0 || left < search->best_left) {
      search->best = i;
      search->best_left = left;
    }
    if (++search->candidates >= CANDIDATES_MAX)
      return;
  }
}

static void
search_plane (const SchState *s, const SchEntry *e, int acc, int slot, int scan_max, Search *search)
{
  const SchTargets *t = &s->targets;
  int cpu_from = free_level (e->reserve.v[GR_RES_CPU_MILLI]);
  int memory_from = free_level (e->reserve.v[GR_RES_MEMORY_MB]);
  uint32_t rows = t->rows[acc][slot] >> cpu_from << cpu_from;
  while (rows) {
    int cpu = __builtin_ctz (rows);
    rows &= rows - 1;
    uint32_t columns = t->columns[acc][slot][cpu] >> memory_from << memory_from;
    while (columns) {
      int memory = __builtin_ctz (columns);
      columns &= columns - 1;
      search_bucket (s, e, bucket_at (acc, slot, cpu, memory), scan_max, search);
      if (search->candidates >= CANDIDATES_MAX)
        return;
    }
  }
}

static int32_t
find_any (const SchState *s, const SchEntry *e)
{
  for (int32_t i = 0; i < s->targets.count; i++) {
    if (sch_target_allows (s, i, e))
      return i;
  }
  return -1;
}

int32_t
sch_index_best_fit (const SchState *s, const SchEntry *e)
{
  if (s->options.faults.no_capacity_check)
    return find_any (s, e);
  for (int pass = 0; pass < 2; pass++) {
    int scan_max = pass == 0 ? BUCKET_SCAN_FIRST : BUCKET_SCAN_SECOND;
    Search search = { .best = -1 };
    for (int acc = accelerator_level_needed (e->reserve.v[GR_RES_ACCELERATORS]);
         acc < SCH_ACC_LEVELS; acc++) {
      for (int slot = slot_level (e->reserve.v[GR_RES_SLOTS]); slot < SCH_SLOT_LEVELS; slot++) {
        if (s->targets.rows[acc][slot])
          search_plane (s, e, acc, slot, scan_max, &search);
      }
      /* A higher accelerator level is used only if the lower ones hold no target that fits. */
      if (search.best >= 0)
        return search.best;
    }
  }
  return -1;
}
