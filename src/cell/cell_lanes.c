#include "cell/cell_lanes.h"

#include <math.h>
#include <stdlib.h>

/* Two short requests per lane: the second is in transit while the first is served. */
#define MAX_IN_FLIGHT_SHORT 2
#define MAX_IN_FLIGHT_LONG 1
/* Lanes that carry short requests only: this share of them, at most SHORT_LANES_MAX. Short requests
   take little of a lane, so that few lanes carry those of any cell. */
#define SHORT_LANES_SHARE 0.33
#define SHORT_LANES_MAX 12
/* A request times out after its expected time, the same again for each request ahead of it on the
   lane, and this margin. */
#define OVERDUE_MARGIN_MS 900
/* A lane whose request failed or timed out gets no requests for this long. */
#define FAILED_LANE_BACKOFF_MS 1500

typedef struct {
  GrName vm;
  int in_flight;
  int long_in_flight;
  int64_t backoff_until;
  bool listed; /* scratch flag of cell_lanes_set() */
} Lane;

typedef struct {
  CellAdviceRequest request;
  bool sent;
  GrName vm;
  int64_t sent_at;
  int64_t overdue_at;
  uint64_t serial; /* order of arrival */
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
    free (lanes->entries.items[i].request.targets);
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
is_long (const CellAdviceRequest *request)
{
  return request->expected_ms > CELL_LANE_LONG_MS;
}

void
cell_lanes_set (CellLanes *lanes, const GrName *vms, size_t count)
{
  for (size_t i = 0; i < lanes->lanes.count; i++)
    lanes->lanes.items[i].listed = false;
  for (size_t i = 0; i < count; i++) {
    Lane *lane = find_lane (lanes, &vms[i]);
    if (lane)
      lane->listed = true;
    else
      gr_list_push (&lanes->lanes, (Lane){ .vm = vms[i], .listed = true });
  }
  for (size_t i = lanes->lanes.count; i-- > 0;) {
    if (lanes->lanes.items[i].listed)
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
cell_lanes_push (CellLanes *lanes, const CellAdviceRequest *request)
{
  gr_list_push (&lanes->entries, (Entry){ .request = *request, .serial = ++lanes->serial });
}

/* Number of lanes, at the start of the list, that carry long requests too. */
static size_t
count_long_lanes (size_t lanes)
{
  size_t short_only = (size_t) ceil (SHORT_LANES_SHARE * (double) lanes);
  if (short_only > SHORT_LANES_MAX)
    short_only = SHORT_LANES_MAX;
  return lanes > short_only ? lanes - short_only : 1;
}

/* Returns the lane with the fewest requests in flight, or NULL if all lanes that may carry the
   request are full or in backoff. */
static Lane *
choose_lane (CellLanes *lanes, const CellAdviceRequest *request, int64_t now_ms)
{
  size_t long_lane_count = count_long_lanes (lanes->lanes.count);
  Lane *best = NULL;
  for (size_t i = 0; i < lanes->lanes.count; i++) {
    /* Short requests start at the other end: if there are two lanes or more, those at that end
       carry no long ones. */
    Lane *lane = &lanes->lanes.items[is_long (request) ? i : lanes->lanes.count - 1 - i];
    if (now_ms < lane->backoff_until)
      continue;
    if (is_long (request) && (i >= long_lane_count || lane->in_flight >= MAX_IN_FLIGHT_LONG))
      continue;
    if (!is_long (request) && (lane->in_flight >= MAX_IN_FLIGHT_SHORT || lane->long_in_flight > 0))
      continue;
    if (!best || lane->in_flight < best->in_flight)
      best = lane;
  }
  return best;
}

const CellAdviceRequest *
cell_lanes_next (CellLanes *lanes, GrName *vm, int64_t now_ms)
{
  Entry *best = NULL;
  Lane *best_lane = NULL;
  for (size_t i = 0; i < lanes->entries.count; i++) {
    Entry *entry = &lanes->entries.items[i];
    if (entry->sent)
      continue;
    if (best
        && (entry->request.priority > best->request.priority
            || (entry->request.priority == best->request.priority && entry->serial > best->serial)))
      continue;
    Lane *lane = choose_lane (lanes, &entry->request, now_ms);
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
  best->overdue_at
      = now_ms + best->request.expected_ms * (best_lane->in_flight + 1) + OVERDUE_MARGIN_MS;
  best_lane->in_flight++;
  best_lane->long_in_flight += is_long (&best->request);
  *vm = best_lane->vm;
  return &best->request;
}

bool
cell_lanes_finish (CellLanes *lanes, int64_t token, bool ok, int64_t now_ms,
                   CellAdviceRequest *request, int64_t *sent_at)
{
  for (size_t i = 0; i < lanes->entries.count; i++) {
    Entry *entry = &lanes->entries.items[i];
    if (entry->request.token != token || !entry->sent)
      continue;
    Lane *lane = find_lane (lanes, &entry->vm);
    if (lane) {
      lane->in_flight--;
      lane->long_in_flight -= is_long (&entry->request);
      if (!ok)
        lane->backoff_until = now_ms + FAILED_LANE_BACKOFF_MS;
    }
    *request = entry->request;
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
      return entry->request.token;
  }
  return 0;
}
