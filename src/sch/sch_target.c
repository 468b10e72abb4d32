/* Targets, what is reserved on them, and the index by free capacity. */
#include "sch/sch_priv.h"

/* Targets of one cell that a first and a second search look at. A cell at the edge of the demand
   also holds targets that are slightly too small, so the second search looks further. */
#define CELL_LOOKS_FIRST 8
#define CELL_LOOKS_SECOND 64
/* A search ends after this many targets that fit, as later cells only fit worse. */
#define CANDIDATES_MAX 12

void
sch_targets_init (SchTargets *t)
{
  t->cells = gr_calloc (SCH_CELLS, sizeof *t->cells);
  for (int32_t c = 0; c < SCH_CELLS; c++)
    t->cells[c] = -1;
}

void
sch_targets_clear (SchTargets *t)
{
  SchTargetName *name, *next;
  HASH_ITER (hh, t->names, name, next)
  {
    HASH_DEL (t->names, name);
    free (name);
  }
  free (t->name);
  free (t->group);
  free (t->zone);
  free (t->total);
  free (t->reserved);
  free (t->free);
  free (t->flags);
  free (t->long_slots);
  free (t->tasks);
  free (t->reserved_for);
  free (t->backfills);
  free (t->health);
  free (t->cell);
  free (t->cell_prev);
  free (t->cell_next);
  free (t->cells);
  gr_list_clear (&t->free_numbers);
  gr_list_clear (&t->shapes);
}

int32_t
sch_target_find (const SchTargets *t, const GrName *name)
{
  SchTargetName *found;
  HASH_FIND (hh, t->names, name->data, name->len, found);
  return found ? found->number : -1;
}

#define GROW(field) t->field = gr_realloc_items (t->field, (size_t) t->capacity, sizeof *t->field)

static void
grow (SchTargets *t)
{
  t->capacity = t->capacity ? t->capacity * 2 : 64;
  GROW (name);
  GROW (group);
  GROW (zone);
  GROW (total);
  GROW (reserved);
  GROW (free);
  GROW (flags);
  GROW (long_slots);
  GROW (tasks);
  GROW (reserved_for);
  GROW (backfills);
  GROW (health);
  GROW (cell);
  GROW (cell_prev);
  GROW (cell_next);
}

int32_t
sch_target_add (SchTargets *t, const GrName *name)
{
  int32_t i;
  if (t->free_numbers.count > 0) {
    i = t->free_numbers.items[--t->free_numbers.count];
  } else {
    if (t->count == t->capacity)
      grow (t);
    i = t->count++;
  }
  SchTargetName *entry = gr_calloc (1, sizeof *entry);
  entry->name = *name;
  entry->number = i;
  HASH_ADD_KEYPTR (hh, t->names, entry->name.data, entry->name.len, entry);
  t->name[i] = entry;
  t->group[i] = 0;
  t->zone[i] = 0;
  memset (&t->total[i], 0, sizeof t->total[i]);
  memset (&t->reserved[i], 0, sizeof t->reserved[i]);
  memset (&t->free[i], 0, sizeof t->free[i]);
  t->flags[i] = 0;
  t->long_slots[i] = 0;
  t->tasks[i] = NULL;
  t->reserved_for[i] = NULL;
  t->backfills[i] = 0;
  memset (&t->health[i], 0, sizeof t->health[i]);
  t->cell[i] = -1;
  return i;
}

static void
shape_count (SchTargets *t, const GrRes *total, int32_t delta)
{
  for (size_t k = 0; k < t->shapes.count; k++) {
    SchShape *shape = &t->shapes.items[k];
    if (memcmp (&shape->total, total, sizeof *total) != 0)
      continue;
    shape->count += delta;
    if (shape->count == 0)
      gr_list_swap_remove (&t->shapes, k);
    return;
  }
  gr_list_push (&t->shapes, (SchShape){ *total, delta });
}

void
sch_target_remove (SchTargets *t, int32_t i)
{
  GrRes none = { { 0 } };
  sch_target_set (t, i, &none, SCH_TARGET_LEAVES);
  HASH_DEL (t->names, t->name[i]);
  free (t->name[i]);
  t->name[i] = NULL;
  t->flags[i] = 0;
  gr_list_push (&t->free_numbers, i);
}

bool
sch_target_usable (const SchTargets *t, int32_t i)
{
  return t->flags[i] == SCH_TARGET_UP;
}

static bool
counts_as_shape (uint8_t flags)
{
  return flags != 0 && !(flags & SCH_TARGET_LEAVES);
}

void
sch_target_set (SchTargets *t, int32_t i, const GrRes *total, uint8_t flags)
{
  if (sch_target_usable (t, i))
    gr_res_sub (&t->usable_total, &t->total[i]);
  if (counts_as_shape (t->flags[i]))
    shape_count (t, &t->total[i], -1);
  t->total[i] = *total;
  t->flags[i] = flags;
  t->free[i] = *total;
  gr_res_sub (&t->free[i], &t->reserved[i]);
  if (sch_target_usable (t, i))
    gr_res_add (&t->usable_total, total);
  if (counts_as_shape (flags))
    shape_count (t, total, 1);
  sch_target_reindex (t, i);
}

bool
sch_targets_could_fit (const SchTargets *t, const GrRes *need, GrResDim *dim)
{
  int least = GR_RES_COUNT + 1;
  for (size_t k = 0; k < t->shapes.count; k++) {
    const GrRes *total = &t->shapes.items[k].total;
    int missing = 0;
    GrResDim first = GR_RES_CPU_MILLI;
    for (int d = GR_RES_COUNT - 1; d >= 0; d--) {
      if (need->v[d] > total->v[d]) {
        missing++;
        first = (GrResDim) d;
      }
    }
    if (missing == 0)
      return true;
    if (missing < least) {
      least = missing;
      *dim = first;
    }
  }
  return false;
}

/* Half octaves from 16 units; level 0 is nothing, level 1 less than 16. */
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

/* Targets without accelerators come first, so that others keep room for work that needs them. */
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
cell_of (int acc, int slot, int cpu, int memory)
{
  return ((acc * SCH_SLOT_LEVELS + slot) * SCH_FREE_LEVELS + cpu) * SCH_FREE_LEVELS + memory;
}

static void
leave_cell (SchTargets *t, int32_t i)
{
  int32_t c = t->cell[i];
  if (c < 0)
    return;
  if (t->cell_prev[i] >= 0)
    t->cell_next[t->cell_prev[i]] = t->cell_next[i];
  else
    t->cells[c] = t->cell_next[i];
  if (t->cell_next[i] >= 0)
    t->cell_prev[t->cell_next[i]] = t->cell_prev[i];
  t->cell[i] = -1;
  if (t->cells[c] >= 0)
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
sch_target_reindex (SchTargets *t, int32_t i)
{
  int32_t c = -1;
  int acc = 0;
  int slot = 0;
  int cpu = 0;
  int memory = 0;
  if (sch_target_usable (t, i)) {
    const GrRes *left = &t->free[i];
    acc = accelerator_level (t->total[i].v[GR_RES_ACCELERATORS], left->v[GR_RES_ACCELERATORS]);
    slot = slot_level (left->v[GR_RES_SLOTS]);
    cpu = free_level (left->v[GR_RES_CPU_MILLI]);
    memory = free_level (left->v[GR_RES_MEMORY_MB]);
    c = cell_of (acc, slot, cpu, memory);
  }
  if (c == t->cell[i])
    return;
  leave_cell (t, i);
  if (c < 0)
    return;
  t->cell[i] = c;
  t->cell_prev[i] = -1;
  t->cell_next[i] = t->cells[c];
  if (t->cells[c] >= 0)
    t->cell_prev[t->cells[c]] = i;
  t->cells[c] = i;
  t->columns[acc][slot][cpu] |= 1U << memory;
  t->rows[acc][slot] |= 1U << cpu;
}

void
sch_target_take (SchState *s, int32_t i, SchEntry *e)
{
  SchTargets *t = &s->targets;
  gr_res_add (&t->reserved[i], &e->reserve);
  gr_res_sub (&t->free[i], &e->reserve);
  gr_res_add (&e->team->used, &e->reserve);
  if (e->bulk)
    gr_res_add (&s->bulk_used, &e->reserve);
  if (e->is_long)
    t->long_slots[i] += e->reserve.v[GR_RES_SLOTS];
  e->target = i;
  DL_APPEND2 (t->tasks[i], e, target_prev, target_next);
  sch_target_reindex (t, i);
}

void
sch_target_give_back (SchState *s, SchEntry *e)
{
  SchTargets *t = &s->targets;
  int32_t i = e->target;
  gr_res_sub (&t->reserved[i], &e->reserve);
  gr_res_add (&t->free[i], &e->reserve);
  gr_res_sub (&e->team->used, &e->reserve);
  if (e->bulk)
    gr_res_sub (&s->bulk_used, &e->reserve);
  if (e->is_long)
    t->long_slots[i] -= e->reserve.v[GR_RES_SLOTS];
  DL_DELETE2 (t->tasks[i], e, target_prev, target_next);
  e->target = -1;
  sch_target_reindex (t, i);
  gr_list_push (&s->freed, i);
}

bool
sch_target_allows (const SchState *s, int32_t i, const SchEntry *e)
{
  const SchTargets *t = &s->targets;
  if (!sch_target_usable (t, i))
    return false;
  if (!s->options.faults.no_capacity_check && !gr_res_fits (&e->reserve, &t->free[i]))
    return false;
  int32_t slots = e->reserve.v[GR_RES_SLOTS];
  if (e->is_long && slots > 0) {
    int64_t share = (int64_t) t->total[i].v[GR_RES_SLOTS] * s->options.long_slots_pct / 100;
    if (t->long_slots[i] > 0 && t->long_slots[i] + slots > share)
      return false;
  }
  return true;
}

/* What would be left, as a share of the target; smaller is a better fit. */
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
search_cell (const SchState *s, const SchEntry *e, int32_t cell, int looks, Search *search)
{
  const SchTargets *t = &s->targets;
  for (int32_t i = t->cells[cell]; i >= 0 && looks > 0; i = t->cell_next[i], looks--) {
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
search_plane (const SchState *s, const SchEntry *e, int acc, int slot, int looks, Search *search)
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
      search_cell (s, e, cell_of (acc, slot, cpu, memory), looks, search);
      if (search->candidates >= CANDIDATES_MAX)
        return;
    }
  }
}

static int32_t
search_any (const SchState *s, const SchEntry *e)
{
  for (int32_t i = 0; i < s->targets.count; i++) {
    if (sch_target_allows (s, i, e))
      return i;
  }
  return -1;
}

int32_t
sch_target_pick (const SchState *s, const SchEntry *e)
{
  if (s->options.faults.no_capacity_check)
    return search_any (s, e);
  for (int pass = 0; pass < 2; pass++) {
    int looks = pass == 0 ? CELL_LOOKS_FIRST : CELL_LOOKS_SECOND;
    Search search = { .best = -1 };
    for (int acc = accelerator_level_needed (e->reserve.v[GR_RES_ACCELERATORS]);
         acc < SCH_ACC_LEVELS; acc++) {
      for (int slot = slot_level (e->reserve.v[GR_RES_SLOTS]); slot < SCH_SLOT_LEVELS; slot++) {
        if (s->targets.rows[acc][slot])
          search_plane (s, e, acc, slot, looks, &search);
      }
      /* Within an accelerator level the best fit counts; a higher level is a last resort. */
      if (search.best >= 0)
        return search.best;
    }
  }
  return -1;
}
