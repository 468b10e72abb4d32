#include "cell/cell_relays.h"

#include <math.h>
#include <stdlib.h>

#include "base/gr_backoff.h"
#include "base/gr_hash_priv.h"
#include "cell/cell_links.h"

/* A VM sends the orders of a target itself if it has this much processor time for each. LdrMember
   weights are in thousandths of a core. */
#define DIRECT_WEIGHT_PER_TARGET 3
/* Relays are added until they have this much together for each target. */
#define RELAY_WEIGHT_PER_TARGET 6
/* Orders that a relay does not answer in a row until it is left out. The time doubles with each
   exclusion. */
#define UNANSWERED_MAX 3
/* The same for targets that do not answer the relay, as a share of the targets that a relay has. A
   few are silent because they have crashed, many because the relay does not reach them. */
#define SILENT_TARGETS_SHARE 0.25
#define AVOID_MIN_MS 1000
#define AVOID_MAX_MS 16000
/* Payloads that a relay is taken to have. Lower than what it keeps: it may also receive payloads
   from a former leader. */
#define SENT_PAYLOADS_MAX (CELL_RELAY_PAYLOADS / 2)

typedef struct {
  GrName job;
  UT_hash_handle hh;
} SentPayload;

typedef struct {
  LdrMember member;
  uint64_t hash;  /* of the name of the VM */
  int unanswered; /* orders without an answer of the relay since the last answer of a target */
  GR_LIST (GrName) silent_targets; /* targets that have not answered it since then */
  int64_t avoid_until;
  int64_t avoid_ms;      /* length of the last exclusion, 0 after an answer */
  SentPayload *payloads; /* in the order in which they were sent */
  bool chosen;           /* only used while the set is replaced */
} Relay;

struct CellRelays {
  GR_LIST (Relay) items;
  size_t targets; /* of all relays */
};

CellRelays *
cell_relays_new (void)
{
  return gr_calloc (1, sizeof (CellRelays));
}

static void
forget_payloads (Relay *relay)
{
  gr_hash_clear (relay->payloads, free);
}

static void
clear_relay (Relay *relay)
{
  forget_payloads (relay);
  gr_list_clear (&relay->silent_targets);
}

void
cell_relays_free (CellRelays *relays)
{
  if (!relays)
    return;
  for (size_t i = 0; i < relays->items.count; i++)
    clear_relay (&relays->items.items[i]);
  gr_list_clear (&relays->items);
  free (relays);
}

static Relay *
find_relay (const CellRelays *relays, const GrName *vm)
{
  for (size_t i = 0; i < relays->items.count; i++) {
    if (gr_name_equal (&relays->items.items[i].member.vm.vm, vm))
      return &relays->items.items[i];
  }
  return NULL;
}

static void
keep_relay (CellRelays *relays, const LdrMember *member)
{
  Relay *relay = find_relay (relays, &member->vm.vm);
  if (!relay) {
    Relay added = { .member = *member, .hash = gr_name_hash (&member->vm.vm, 0), .chosen = true };
    gr_list_push (&relays->items, added);
    return;
  }
  if (relay->member.vm.incarnation != member->vm.incarnation)
    forget_payloads (relay);
  relay->member = *member;
  relay->chosen = true;
}

void
cell_relays_set (CellRelays *relays, const LdrMember *self, const LdrMember *linked, size_t count,
                 size_t targets)
{
  relays->targets = targets;
  int64_t wanted = (int64_t) targets * RELAY_WEIGHT_PER_TARGET;
  if (self->weight >= (int64_t) targets * DIRECT_WEIGHT_PER_TARGET)
    wanted = 0;
  for (size_t i = 0; i < relays->items.count; i++)
    relays->items.items[i].chosen = false;
  bool *chosen = gr_calloc (count + 1, sizeof *chosen);
  while (wanted > 0) {
    size_t next = cell_links_next_strongest (linked, chosen, count);
    if (next == count)
      break;
    chosen[next] = true;
    wanted -= linked[next].weight > 0 ? linked[next].weight : 1;
    keep_relay (relays, &linked[next]);
  }
  free (chosen);
  for (size_t i = relays->items.count; i-- > 0;) {
    if (relays->items.items[i].chosen)
      continue;
    clear_relay (&relays->items.items[i]);
    gr_list_swap_remove (&relays->items, i);
  }
}

size_t
cell_relays_count (const CellRelays *relays)
{
  return relays->items.count;
}

/* Weighted rendezvous hashing: the highest score wins. */
static double
score (const Relay *relay, const GrName *target)
{
  uint64_t hash = gr_name_hash (target, relay->hash);
  double uniform = ((double) (hash >> 11) + 0.5) / (double) ((uint64_t) 1 << 53);
  return -(double) relay->member.weight / log (uniform);
}

const GrName *
cell_relays_choose (const CellRelays *relays, const GrName *target, const GrName *zone,
                    int64_t now_ms)
{
  const Relay *best = NULL;
  bool best_near = false;
  double best_score = 0;
  for (size_t i = 0; i < relays->items.count; i++) {
    const Relay *relay = &relays->items.items[i];
    bool near = gr_name_equal (&relay->member.zone, zone);
    if (now_ms < relay->avoid_until || (best_near && !near))
      continue;
    double value = score (relay, target);
    if (best && best_near == near && value <= best_score)
      continue;
    best = relay;
    best_near = near;
    best_score = value;
  }
  return best ? &best->member.vm.vm : NULL;
}

static void
note_silent_target (Relay *relay, const GrName *target)
{
  for (size_t i = 0; i < relay->silent_targets.count; i++) {
    if (gr_name_equal (&relay->silent_targets.items[i], target))
      return;
  }
  gr_list_push (&relay->silent_targets, *target);
}

/* True if the relay, or its way to the targets, seems to be broken. */
static bool
is_broken (const CellRelays *relays, const Relay *relay)
{
  double targets_each = (double) relays->targets / (double) relays->items.count;
  double silent_max = fmax (UNANSWERED_MAX, targets_each * SILENT_TARGETS_SHARE);
  return relay->unanswered >= UNANSWERED_MAX || (double) relay->silent_targets.count >= silent_max;
}

int64_t
cell_relays_result (CellRelays *relays, const GrName *vm, const GrName *target,
                    CellRelayOutcome outcome, int64_t now_ms)
{
  Relay *relay = find_relay (relays, vm);
  if (!relay)
    return 0;
  switch (outcome) {
  case CELL_RELAY_ANSWERED:
    relay->unanswered = 0;
    gr_list_reset (&relay->silent_targets);
    relay->avoid_ms = 0;
    return 0;
  case CELL_RELAY_TARGET_SILENT:
    note_silent_target (relay, target);
    break;
  case CELL_RELAY_SILENT:
    relay->unanswered++;
    break;
  }
  if (now_ms < relay->avoid_until || !is_broken (relays, relay))
    return 0;
  relay->avoid_ms = gr_backoff_next (relay->avoid_ms, AVOID_MIN_MS, AVOID_MAX_MS);
  relay->avoid_until = now_ms + relay->avoid_ms;
  return relay->avoid_ms;
}

bool
cell_relays_has_payload (CellRelays *relays, const GrName *vm, const GrName *job)
{
  Relay *relay = find_relay (relays, vm);
  if (!relay)
    return false;
  SentPayload *payload = NULL;
  HASH_FIND (hh, relay->payloads, job->data, job->len, payload);
  if (payload)
    return true;
  /* The hash keeps the order of insertion, so its first entry is the oldest. */
  SentPayload *oldest = NULL;
  if (HASH_COUNT (relay->payloads) >= SENT_PAYLOADS_MAX) {
    oldest = relay->payloads;
    HASH_DEL (relay->payloads, oldest);
  }
  payload = gr_calloc (1, sizeof *payload);
  payload->job = *job;
  HASH_ADD_KEYPTR (hh, relay->payloads, payload->job.data, payload->job.len, payload);
  free (oldest);
  return false;
}

void
cell_relays_link_down (CellRelays *relays, const GrName *vm)
{
  Relay *relay = find_relay (relays, vm);
  if (relay)
    forget_payloads (relay);
}
