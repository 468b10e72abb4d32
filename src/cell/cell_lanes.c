#include "cell/cell_lanes.h"

#include <stdlib.h>

/* Asks under way on one lane: the next one travels while the first is served. */
#define DEPTH_SHORT 2
#define DEPTH_LONG 1
/* Share of the lanes that take long asks. */
#define LONG_SHARE 0.67
/* An ask is given up after its expected time, that of the one before it, and this. */
#define OVERDUE_MS 900
/* A lane that failed is passed over for so long. */
#define FAILED_MS 1500

typedef struct {
  GrName vm;
  int under_way;
  int long_under_way;
  int64_t failed_until;
  bool keep;
} Lane;

typedef struct {
  CellAsk ask;
  bool sent;
  GrName vm;
  int64_t sent_at;
  int64_t overdue_at;
  uint64_t serial;
} Entry;

struct CellLanes {
  GR_LIST (Lane) lanes;
  GR_LIST (Entry) entries;
  uint64_t serial;
};

CellLanes *
cell_lanes_new (void)
{
  return gr_calloc (1, sizeof (CellLanes));
}

void
cell_lanes_free (CellLanes *lanes)
{
  if (!lanes)
    return;
  for (size_t i = 0; i < lanes->entries.count; i++)
    free (lanes->entries.items[i].ask.targets);
  gr_list_clear (&lanes->entries);
  gr_list_clear (&lanes->lanes);
  free (lanes);
}

static Lane *
find_lane (const CellLanes *lanes, const GrName *vm)
{
  for (size_t i = 0; i < lanes->lanes.count; i++) {
    if (gr_name_equal (&lanes->lanes.items[i].vm, vm))
      return &lanes->lanes.items[i];
  }
  return NULL;
}

static bool
is_long (const CellAsk *ask)
{
  return ask->expected_ms > CELL_LANE_LONG_MS;
}

void
cell_lanes_set (CellLanes *lanes, const GrName *vms, size_t count)
{
  for (size_t i = 0; i < lanes->lanes.count; i++)
    lanes->lanes.items[i].keep = false;
  for (size_t i = 0; i < count; i++) {
    Lane *lane = find_lane (lanes, &vms[i]);
    if (lane)
      lane->keep = true;
    else
      gr_list_push (&lanes->lanes, (Lane){ .vm = vms[i], .keep = true });
  }
  for (size_t i = lanes->lanes.count; i-- > 0;) {
    if (lanes->lanes.items[i].keep)
      continue;
    for (size_t e = 0; e < lanes->entries.count; e++) {
      Entry *entry = &lanes->entries.items[e];
      if (entry->sent && gr_name_equal (&entry->vm, &lanes->lanes.items[i].vm))
        entry->sent = false;
    }
    gr_list_swap_remove (&lanes->lanes, i);
  }
}

void
cell_lanes_push (CellLanes *lanes, const CellAsk *ask)
{
  gr_list_push (&lanes->entries, (Entry){ .ask = *ask, .serial = ++lanes->serial });
}

/* The lane on which the ask is served first, or NULL if all that may take it are full. */
static Lane *
choose_lane (CellLanes *lanes, const CellAsk *ask, int64_t now_ms)
{
  size_t long_lanes = (size_t) (LONG_SHARE * (double) lanes->lanes.count);
  if (long_lanes == 0)
    long_lanes = 1;
  Lane *best = NULL;
  for (size_t i = 0; i < lanes->lanes.count; i++) {
    /* Short asks look from the other end, where no long ones go. */
    Lane *lane = &lanes->lanes.items[is_long (ask) ? i : lanes->lanes.count - 1 - i];
    if (now_ms < lane->failed_until)
      continue;
    if (is_long (ask) && (i >= long_lanes || lane->under_way >= DEPTH_LONG))
      continue;
    if (!is_long (ask) && (lane->under_way >= DEPTH_SHORT || lane->long_under_way > 0))
      continue;
    if (!best || lane->under_way < best->under_way)
      best = lane;
  }
  return best;
}

const CellAsk *
cell_lanes_next (CellLanes *lanes, GrName *vm, int64_t now_ms)
{
  Entry *best = NULL;
  Lane *best_lane = NULL;
  for (size_t i = 0; i < lanes->entries.count; i++) {
    Entry *entry = &lanes->entries.items[i];
    if (entry->sent)
      continue;
    if (best
        && (entry->ask.priority > best->ask.priority
            || (entry->ask.priority == best->ask.priority && entry->serial > best->serial)))
      continue;
    Lane *lane = choose_lane (lanes, &entry->ask, now_ms);
    if (!lane)
      continue;
    best = entry;
    best_lane = lane;
  }
  if (!best)
    return NULL;
  best->sent = true;
  best->vm = best_lane->vm;
  best->sent_at = now_ms;
  best->overdue_at = now_ms + best->ask.expected_ms * (best_lane->under_way + 1) + OVERDUE_MS;
  best_lane->under_way++;
  best_lane->long_under_way += is_long (&best->ask);
  *vm = best_lane->vm;
  return &best->ask;
}

bool
cell_lanes_done (CellLanes *lanes, int64_t token, bool ok, int64_t now_ms, CellAsk *ask,
                 int64_t *sent_at)
{
  for (size_t i = 0; i < lanes->entries.count; i++) {
    Entry *entry = &lanes->entries.items[i];
    if (entry->ask.token != token || !entry->sent)
      continue;
    Lane *lane = find_lane (lanes, &entry->vm);
    if (lane) {
      lane->under_way--;
      lane->long_under_way -= is_long (&entry->ask);
      if (!ok)
        lane->failed_until = now_ms + FAILED_MS;
    }
    *ask = entry->ask;
    *sent_at = entry->sent_at;
    gr_list_swap_remove (&lanes->entries, i);
    return true;
  }
  return false;
}

int64_t
cell_lanes_overdue (const CellLanes *lanes, int64_t now_ms)
{
  for (size_t i = 0; i < lanes->entries.count; i++) {
    const Entry *entry = &lanes->entries.items[i];
    if (entry->sent && now_ms >= entry->overdue_at)
      return entry->ask.token;
  }
  return 0;
}
