#include "node/node_place.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/gr_random.h"
#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_targets.h"
#include "node/node_tasks.h"

#define SUMMARY_INTERVAL_MS 1000
/* A VM whose summary is older than this is not chosen. */
#define SUMMARY_MAX_AGE_MS 5000
/* Distinct target capacities that are recorded for one VM. */
#define SHAPES_MAX 16

typedef struct {
  GrName vm;
  SchSummary load;
  int64_t groups; /* groups in which work may start; 0: not to be chosen */
  int64_t at_ms;  /* arrival of the summary */
  size_t shape_count;
  GrRes shapes[SHAPES_MAX]; /* distinct capacities of its targets */
  UT_hash_handle hh;
} Scheduler;

struct NodePlace {
  Node *node;
  Scheduler *table;
  uv_timer_t timer;
};

static Scheduler *
ensure_scheduler (NodePlace *place, const GrName *vm)
{
  Scheduler *s = NULL;
  HASH_FIND (hh, place->table, vm->data, vm->len, s);
  if (!s) {
    s = gr_calloc (1, sizeof *s);
    s->vm = *vm;
    HASH_ADD_KEYPTR (hh, place->table, s->vm.data, s->vm.len, s);
  }
  return s;
}

void
node_place_summary (Node *node, const GrName *from, const NodeWire *wire)
{
  if (!gr_name_equal (&wire->summary.region, &node->region))
    return;
  Scheduler *s = ensure_scheduler (node->place, from);
  s->load = wire->summary.load;
  s->groups = wire->summary.groups;
  s->at_ms = node_now (node);
}

void
node_place_forget (Node *node, const GrName *vm)
{
  Scheduler *s = NULL;
  HASH_FIND (hh, node->place->table, vm->data, vm->len, s);
  if (s)
    s->groups = 0;
}

/* True if some target of the VM could hold the demand when empty. */
static bool
could_hold (const Scheduler *s, const GrRes *demand)
{
  for (size_t i = 0; i < s->shape_count; i++) {
    if (gr_res_fits (demand, &s->shapes[i]))
      return true;
  }
  return false;
}

static bool
usable (const NodePlace *place, const Scheduler *s, const GrRes *demand, const GrName *avoid,
        size_t avoid_count)
{
  if (s->groups == 0 || !could_hold (s, demand)
      || node_now (place->node) - s->at_ms > SUMMARY_MAX_AGE_MS
      || !node_peers_is_up (place->node, &s->vm))
    return false;
  for (size_t i = 0; i < avoid_count; i++) {
    if (gr_name_equal (&avoid[i], &s->vm))
      return false;
  }
  return true;
}

static bool
has_room (const Scheduler *s, const GrRes *demand)
{
  return gr_res_fits (demand, &s->load.largest_hole);
}

/* True if a is the better choice: it has room and b has not, else by a shorter expected wait, else
   by fewer queued tasks per group. */
static bool
better (const Scheduler *a, const Scheduler *b, const GrRes *demand)
{
  if (has_room (a, demand) != has_room (b, demand))
    return has_room (a, demand);
  if (a->load.short_wait_ms != b->load.short_wait_ms)
    return a->load.short_wait_ms < b->load.short_wait_ms;
  return a->load.queued * (b->groups + 1) < b->load.queued * (a->groups + 1);
}

bool
node_place_choose (Node *node, const GrRes *demand, const GrName *avoid, size_t avoid_count,
                   GrName *chosen, char *reason, size_t reason_size)
{
  NodePlace *place = node->place;
  GR_LIST (Scheduler *) others = { 0 };
  Scheduler *self = NULL;
  Scheduler *best = NULL;
  for (Scheduler *s = place->table; s; s = s->hh.next) {
    if (gr_name_equal (&s->vm, &node->self.vm)) {
      s->groups = node_targets_open_groups (node);
      s->at_ms = node_now (node);
      node_tasks_load (node, &s->load);
    }
    if (!usable (place, s, demand, avoid, avoid_count))
      continue;
    if (gr_name_equal (&s->vm, &node->self.vm))
      self = s;
    else
      gr_list_push (&others, s); /* NOLINT(bugprone-sizeof-expression): a list of pointers */
  }
  if (self && has_room (self, demand)) {
    best = self;
    snprintf (reason, reason_size, "own groups have room");
  } else if (others.count > 0) {
    Scheduler *one = others.items[gr_random () % others.count];
    Scheduler *two = others.items[gr_random () % others.count];
    best = better (two, one, demand) ? two : one;
    snprintf (reason, reason_size, "better of two at random, expected wait %lld ms",
              (long long) best->load.short_wait_ms);
  }
  if (self && self != best
      && (!best || (!has_room (best, demand) && better (self, best, demand)))) {
    best = self;
    snprintf (reason, reason_size, "own groups, expected wait %lld ms",
              (long long) self->load.short_wait_ms);
  }
  gr_list_clear (&others);
  if (!best) {
    snprintf (reason, reason_size, "%zu tried before; no other owner of a fitting target is up",
              avoid_count);
    return false;
  }
  /* Until the next summary of the VM, its recorded load includes this attempt. */
  gr_res_sub (&best->load.free, demand);
  best->load.queued++;
  *chosen = best->vm;
  return true;
}

/* Updates the target capacities of each VM from the ownership log and the VM list. */
static void
update_shapes (NodePlace *place)
{
  Node *node = place->node;
  for (Scheduler *s = place->table; s; s = s->hh.next)
    s->shape_count = 0;
  GrName group = { 0 };
  Scheduler *s = NULL;
  for (NodeTarget *t = node_targets_first (node); t; t = t->hh.next) {
    GrVmRef owner;
    int64_t epoch;
    if (!t->in_vm_list || t->list_leaving)
      continue;
    if (!gr_name_equal (&t->group, &group)) {
      group = t->group;
      s = node_own_owner (node, &group, &owner, &epoch) ? ensure_scheduler (place, &owner.vm)
                                                        : NULL;
    }
    bool known = !s;
    for (size_t i = 0; !known && i < s->shape_count; i++)
      known = memcmp (&s->shapes[i], &t->capacity, sizeof t->capacity) == 0;
    if (!known && s->shape_count < SHAPES_MAX)
      s->shapes[s->shape_count++] = t->capacity;
  }
}

static void
summary_tick (uv_timer_t *timer)
{
  NodePlace *place = timer->data;
  Node *node = place->node;
  update_shapes (place);
  NodeWire wire = { .kind = NODE_WIRE_SUMMARY };
  node_tasks_load (node, &wire.summary.load);
  wire.summary.groups = node->stopping ? 0 : node_targets_open_groups (node);
  wire.summary.region = node->region;
  ensure_scheduler (place, &node->self.vm);
  node_peers_broadcast (node, &node->region, &wire);
}

NodePlace *
node_place_new (Node *node)
{
  NodePlace *place = gr_calloc (1, sizeof *place);
  place->node = node;
  uv_timer_init (node->loop, &place->timer);
  place->timer.data = place;
  uv_timer_start (&place->timer, summary_tick, SUMMARY_INTERVAL_MS / 4, SUMMARY_INTERVAL_MS);
  return place;
}

void
node_place_free (NodePlace *place)
{
  uv_close ((uv_handle_t *) &place->timer, NULL);
}
