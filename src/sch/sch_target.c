/* Targets and the capacity that tasks reserve on them. */
#include "sch/sch_priv.h"

/* Long work is limited to the slots that the peak use of short work over the last one to two
   windows leaves free, less a margin. Long work is not preempted, so a burst of short work within
   seconds needs slots that are already free. */
#define PEAK_WINDOW_MS 300000
#define PEAK_MARGIN_PCT 5
#define LONG_SHARE_MIN_PCT 10
/* A retried task avoids the target of its job's latest failure for this long after the submit. */
#define AVOID_MS 2000

void
sch_targets_init (SchTargets *t)
{
  sch_index_init (t);
}

void
sch_targets_clear (SchTargets *t)
{
  gr_hash_clear (t->names, free);
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
  free (t->reserve_fit_ms);
  free (t->backfills);
  free (t->releasing);
  free (t->claimed);
  free (t->health);
  free (t->bucket);
  free (t->bucket_prev);
  free (t->bucket_next);
  free (t->buckets);
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
grow_arrays (SchTargets *t)
{
  t->capacity = t->capacity ? t->capacity * 2 : 64;
  GROW (name); // NOLINT(bugprone-sizeof-expression): pointers
  GROW (group);
  GROW (zone);
  GROW (total);
  GROW (reserved);
  GROW (free);
  GROW (flags);
  GROW (long_slots);
  GROW (tasks);        // NOLINT(bugprone-sizeof-expression): pointers
  GROW (reserved_for); // NOLINT(bugprone-sizeof-expression): pointers
  GROW (reserve_fit_ms);
  GROW (backfills);
  GROW (releasing);
  GROW (claimed);
  GROW (health);
  GROW (bucket);
  GROW (bucket_prev);
  GROW (bucket_next);
}

int32_t
sch_target_add (SchTargets *t, const GrName *name)
{
  int32_t i;
  if (t->free_numbers.count > 0) {
    i = t->free_numbers.items[--t->free_numbers.count];
  } else {
    if (t->count == t->capacity)
      grow_arrays (t);
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
  t->reserve_fit_ms[i] = 0;
  t->backfills[i] = 0;
  memset (&t->releasing[i], 0, sizeof t->releasing[i]);
  memset (&t->claimed[i], 0, sizeof t->claimed[i]);
  memset (&t->health[i], 0, sizeof t->health[i]);
  t->bucket[i] = -1;
  return i;
}

static void
update_shape (SchTargets *t, const GrRes *total, int32_t delta)
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

bool
sch_target_usable (const SchTargets *t, int32_t i)
{
  return t->flags[i] == SCH_TARGET_UP;
}

/* Whether a target with these flags counts for sch_targets_could_fit. */
static bool
counts_as_shape (uint8_t flags)
{
  return flags != 0 && !(flags & SCH_TARGET_LEAVING);
}

void
sch_target_set (SchState *s, int32_t i, const GrRes *total, uint8_t flags)
{
  SchTargets *t = &s->targets;
  bool was_usable = sch_target_usable (t, i);
  GrRes before = t->total[i];
  if (was_usable) {
    gr_res_sub (&t->usable_total, &before);
    t->usable--;
  }
  if (counts_as_shape (t->flags[i]))
    update_shape (t, &before, -1);
  t->total[i] = *total;
  t->flags[i] = flags;
  t->free[i] = *total;
  gr_res_sub (&t->free[i], &t->reserved[i]);
  bool usable = sch_target_usable (t, i);
  if (usable) {
    gr_res_add (&t->usable_total, total);
    t->usable++;
  }
  if (counts_as_shape (flags))
    update_shape (t, total, 1);
  sch_index_update (t, i, usable);
  if (!usable)
    sch_unreserve_target (s, i);
  if (usable != was_usable || memcmp (&before, total, sizeof before) != 0)
    sch_teams_update_shares (s);
  if (usable)
    gr_list_push (&s->freed, i);
}

void
sch_target_flag (SchState *s, int32_t i, uint8_t set, uint8_t clear)
{
  GrRes total = s->targets.total[i];
  sch_target_set (s, i, &total, (uint8_t) ((s->targets.flags[i] | set) & ~clear));
}

void
sch_target_remove (SchState *s, int32_t i)
{
  SchTargets *t = &s->targets;
  GrRes none = { { 0 } };
  sch_target_set (s, i, &none, SCH_TARGET_LEAVING);
  HASH_DEL (t->names, t->name[i]);
  free (t->name[i]);
  t->name[i] = NULL;
  t->flags[i] = 0;
  gr_list_push (&t->free_numbers, i);
}

bool
sch_targets_could_fit (const SchTargets *t, const GrRes *need, GrResDim *dim)
{
  int missing_min = GR_RES_COUNT + 1;
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
    if (missing < missing_min) {
      missing_min = missing;
      *dim = first;
    }
  }
  return false;
}

/* Adds (sign 1) or removes (sign -1) resources that a task holds, in all sums that count them. */
static void
apply_change (SchState *s, SchEntry *e, const GrRes *change, int sign)
{
  SchTargets *t = &s->targets;
  int32_t i = e->target;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int32_t v = sign * change->v[d];
    t->reserved[i].v[d] += v;
    t->free[i].v[d] -= v;
    if (e->bulk)
      s->bulk_used.v[d] += v;
  }
  if (e->is_long)
    t->long_slots[i] += sign * change->v[GR_RES_SLOTS];
  else
    s->short_slots += sign * change->v[GR_RES_SLOTS];
  if (e->bulk && sign < 0)
    s->bulk_freed = true;
  sch_team_use (s, e->team, change, sign, e->bulk);
  sch_index_update (t, i, sch_target_usable (t, i));
}

void
sch_target_assign (SchState *s, int32_t i, SchEntry *e)
{
  e->target = i;
  DL_APPEND2 (s->targets.tasks[i], e, target_prev, target_next);
  apply_change (s, e, &e->reserve, 1);
  sch_spread_add (s, e);
  if (e->task.policy.kind == SCH_POLICY_BATCH && e->task.policy.batch.preemptible) {
    e->in_batch_list = true;
    DL_PREPEND2 (s->batch, e, batch_prev, batch_next);
  }
}

void
sch_target_release (SchState *s, SchEntry *e)
{
  int32_t i = e->target;
  if (e->in_batch_list) {
    DL_DELETE2 (s->batch, e, batch_prev, batch_next);
    e->in_batch_list = false;
  }
  if (e->stopping)
    gr_res_sub (&s->targets.releasing[i], &e->reserve);
  e->stopping = false;
  sch_spread_remove (s, e);
  apply_change (s, e, &e->reserve, -1);
  DL_DELETE2 (s->targets.tasks[i], e, target_prev, target_next);
  e->target = -1;
  gr_list_push (&s->freed, i);
}

void
sch_target_grow (SchState *s, SchEntry *e, const GrRes *more)
{
  apply_change (s, e, more, 1);
  gr_res_add (&e->reserve, more);
  if (e->stopping)
    gr_res_add (&s->targets.releasing[e->target], more);
}

void
sch_target_mark_long (SchState *s, SchEntry *e)
{
  if (e->is_long)
    return;
  e->is_long = true;
  s->short_slots -= e->reserve.v[GR_RES_SLOTS];
  s->targets.long_slots[e->target] += e->reserve.v[GR_RES_SLOTS];
  if (!e->bulk && !e->task.urgent) {
    e->bulk = true;
    gr_res_add (&s->bulk_used, &e->reserve);
    sch_team_mark_bulk (s, e->team, &e->reserve);
  }
}

void
sch_target_update_long_share (SchState *s)
{
  int64_t total = s->targets.usable_total.v[GR_RES_SLOTS];
  if (s->now_ms >= s->short_peak_ms + PEAK_WINDOW_MS) {
    s->short_peak_ms = s->now_ms;
    s->short_peak_before = s->short_peak;
    s->short_peak = 0;
  }
  if (s->short_slots > s->short_peak)
    s->short_peak = s->short_slots;
  int64_t peak = s->short_peak > s->short_peak_before ? s->short_peak : s->short_peak_before;
  int64_t left = total > 0 ? 100 - PEAK_MARGIN_PCT - 100 * peak / total : 100;
  left = left > LONG_SHARE_MIN_PCT ? left : LONG_SHARE_MIN_PCT;
  s->long_slots_pct = left < s->options.long_slots_pct ? left : s->options.long_slots_pct;
}

bool
sch_target_allows (const SchState *s, int32_t i, const SchEntry *e)
{
  const SchTargets *t = &s->targets;
  if (!s->options.faults.no_capacity_check && !gr_res_fits (&e->reserve, &t->free[i]))
    return false;
  if (!sch_target_usable (t, i))
    return false;
  int32_t slots = e->reserve.v[GR_RES_SLOTS];
  if (e->is_long && slots > 0 && t->long_slots[i] > 0) {
    int64_t share = (int64_t) t->total[i].v[GR_RES_SLOTS] * s->long_slots_pct / 100;
    if (t->long_slots[i] + slots > share)
      return false;
  }
  /* A retry first tries other targets, so that one faulty target does not use up the attempts of a
     job. */
  if (e->avoid_target == i && s->now_ms < e->submit_ms + AVOID_MS)
    return false;
  return !t->reserved_for[i] || t->reserved_for[i] == e || sch_backfill_allows (s, i, e);
}
