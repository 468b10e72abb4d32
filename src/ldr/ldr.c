#include "ldr/ldr.h"

#include <stdlib.h>

/* Five heartbeats of a leader. */
#define DEFAULT_ELECTION_TIMEOUT_MS 750
/* The leader is lost if its link closes and no heartbeat follows within this time. */
#define LINK_DOWN_TIMEOUT_MS 400
/* Between the claims of two candidates, in the order of preference. */
#define CLAIM_STAGGER_MS 120
/* A leader that reports for this long that it lacks the store is replaced by a candidate that
   reaches the store. */
#define LEADER_WITHOUT_STORE_MS 300
/* The candidate must also have reached the store for this long: when an outage ends, the leader may
   detect it later than the candidate. */
#define STORE_STABLE_MS 1000
/* The store counts as reachable for this long after its last answer. */
#define STORE_FRESH_MS 2600
/* The store counts as unreachable once calls have failed for this long without a success. */
#define STORE_FAILING_MS 350
/* A leader that for this long neither reaches the store nor receives a heartbeat steps down. */
#define ISOLATED_MS 2700
/* The result of a claim without an answer is found by reading the topic. After this time another
   claim may be sent. */
#define CLAIM_OPEN_MS 1500
/* Backoff after a claim that failed or lost. */
#define CLAIM_RETRY_MS 300
/* A longer gap between ticks means that this VM was paused: heartbeats that it missed meanwhile do
   not show that the leader is lost. */
#define PAUSE_MS 400
/* Members whose last heartbeat is younger than this are candidates. */
#define CANDIDATE_FRESH_MS 1500
/* For this long after its start, a VM counts members without a heartbeat as candidates: after a
   power failure all VMs start at once, and their first heartbeats arrive only later. */
#define STARTUP_GRACE_MS 1500
/* Lowest rate of a target's clock relative to that of a VM: a lease may last that much longer. */
#define CLOCK_RATE_MIN 0.98
/* For the rates of the VMs' clocks relative to each other. */
#define LAPSE_MARGIN_MS 150
/* Round trips to the store in the same class of this width count as equal: the zones of one region
   are equivalent, and another region adds more than this. */
#define STORE_RTT_CLASS_MS 10

typedef struct {
  LdrMember member;
  LdrStatus status;
  int64_t last_heartbeat_at; /* 0: never */
  int64_t store_lost_at;     /* since when its heartbeats lack store_ok; 0: the last one had it */
  int64_t leaving_since;     /* first heartbeat that told of its planned stop; 0: none did */
  int64_t confirmed_boot_ms; /* newest check that it answered without a later term; 0: none */
  bool listed;               /* only used while the members are replaced */
} Peer;

struct LdrState {
  LdrOptions options;
  GR_LIST (Peer) peers;
  LdrRecord record; /* of the newest term */
  int64_t end_offset;
  bool topic_read; /* the topic was read at least once */
  bool leads;
  bool announced; /* LDR_CMD_LEAD was issued for the term */
  bool serves;    /* this VM leads and has recovered */
  bool leaving;
  bool fenced;
  int64_t started_at; /* first tick; 0: none yet */
  int64_t ticked_at;
  int64_t claim_delay_ms;
  int64_t leader_lost_at; /* the leader is lost at this time unless a heartbeat moves it */
  int64_t claim_sent_at;  /* 0: none open */
  int64_t claim_not_before;
  int64_t store_ok_at;         /* last success; 0: never */
  int64_t store_stable_since;  /* first success after the last failure */
  int64_t store_failing_since; /* 0: last call succeeded */
  int64_t store_rtt_ms;        /* shortest round trip to the store; 0: not measured */
  int64_t last_peer_heartbeat_at;
  int64_t store_confirmed_boot_ms; /* see ldr_confirmed_boot_ms(); 0: never */
};

LdrState *
ldr_new (const LdrOptions *options)
{
  LdrState *ldr = gr_calloc (1, sizeof *ldr);
  ldr->options = *options;
  if (ldr->options.election_timeout_ms <= 0)
    ldr->options.election_timeout_ms = DEFAULT_ELECTION_TIMEOUT_MS;
  return ldr;
}

void
ldr_free (LdrState *ldr)
{
  if (!ldr)
    return;
  gr_list_clear (&ldr->peers);
  free (ldr);
}

static Peer *
find_peer (const LdrState *ldr, const GrName *vm)
{
  for (size_t i = 0; i < ldr->peers.count; i++) {
    if (gr_name_equal (&ldr->peers.items[i].member.vm.vm, vm))
      return &ldr->peers.items[i];
  }
  return NULL;
}

static bool
is_self (const LdrState *ldr, const GrVmRef *vm)
{
  return gr_vm_ref_equal (vm, &ldr->options.self.vm);
}

void
ldr_set_members (LdrState *ldr, const LdrMember *members, size_t count)
{
  for (size_t i = 0; i < ldr->peers.count; i++)
    ldr->peers.items[i].listed = false;
  for (size_t i = 0; i < count; i++) {
    if (gr_name_equal (&members[i].vm.vm, &ldr->options.self.vm.vm))
      continue;
    Peer *peer = find_peer (ldr, &members[i].vm.vm);
    if (!peer) {
      gr_list_push (&ldr->peers, (Peer){ .member = members[i], .listed = true });
      continue;
    }
    peer->member = members[i];
    peer->listed = true;
  }
  for (size_t i = ldr->peers.count; i-- > 0;) {
    if (!ldr->peers.items[i].listed)
      gr_list_swap_remove (&ldr->peers, i);
  }
}

void
ldr_set_claim_delay (LdrState *ldr, int64_t delay_ms)
{
  ldr->claim_delay_ms = delay_ms;
}

void
ldr_topic_read (LdrState *ldr, const LdrRecord *newest, int64_t end_offset, int64_t now_ms)
{
  ldr->topic_read = true;
  ldr->end_offset = end_offset;
  if (newest->term <= ldr->record.term)
    return;
  ldr->record = *newest;
  ldr->leader_lost_at = now_ms + ldr->options.election_timeout_ms;
  if (is_self (ldr, &newest->member.vm)) {
    /* The answer to this VM's claim was lost or has not arrived yet. */
    ldr->leads = true;
    ldr->announced = false;
    ldr->claim_sent_at = 0;
  } else {
    ldr->leads = false;
  }
}

void
ldr_fenced (LdrState *ldr, int64_t now_ms)
{
  ldr->fenced = true;
  ldr->leads = false;
  ldr->leader_lost_at = now_ms + ldr->options.election_timeout_ms;
}

/* Another VM reports the newest term that it has seen: this VM leads no longer if it is later. */
static void
handle_later_term (LdrState *ldr, const GrName *vm, int64_t term, int64_t now_ms)
{
  if (!ldr->leads || term <= ldr->record.term)
    return;
  gr_log (&ldr->options.log, GR_EV_FENCED, "term=%lld later=%lld reported-by=%.*s",
          (long long) ldr->record.term, (long long) term, GR_NAME_ARG (*vm));
  ldr_fenced (ldr, now_ms);
}

void
ldr_heartbeat_received (LdrState *ldr, const LdrStatus *status, int64_t now_ms)
{
  ldr->last_peer_heartbeat_at = now_ms;
  Peer *peer = find_peer (ldr, &status->vm.vm);
  if (peer) {
    peer->status = *status;
    peer->last_heartbeat_at = now_ms;
    if (!status->leaving)
      peer->leaving_since = 0;
    else if (peer->leaving_since == 0)
      peer->leaving_since = now_ms;
    if (status->store_ok)
      peer->store_lost_at = 0;
    else if (peer->store_lost_at == 0)
      peer->store_lost_at = now_ms;
  }
  if (!status->leads)
    handle_later_term (ldr, &status->vm.vm, status->term, now_ms);
  if (!status->leads || status->term < ldr->record.term)
    return;
  if (status->term > ldr->record.term) {
    /* The heartbeat arrived before this VM read the election record. */
    ldr->record.term = status->term;
    ldr->record.member = peer ? peer->member : (LdrMember){ .vm = status->vm };
    ldr->record.member.vm = status->vm;
    ldr->leads = false;
  }
  if (gr_vm_ref_equal (&status->vm, &ldr->record.member.vm))
    ldr->leader_lost_at = now_ms + ldr->options.election_timeout_ms;
}

void
ldr_link_down (LdrState *ldr, const GrName *vm, int64_t now_ms)
{
  if (!gr_name_equal (vm, &ldr->record.member.vm.vm))
    return;
  if (ldr->leader_lost_at > now_ms + LINK_DOWN_TIMEOUT_MS)
    ldr->leader_lost_at = now_ms + LINK_DOWN_TIMEOUT_MS;
}

void
ldr_store_result (LdrState *ldr, bool ok, int64_t now_ms)
{
  if (ok) {
    if (ldr->store_ok_at == 0 || ldr->store_failing_since > 0)
      ldr->store_stable_since = now_ms;
    ldr->store_ok_at = now_ms;
    ldr->store_failing_since = 0;
  } else if (ldr->store_failing_since == 0) {
    ldr->store_failing_since = now_ms;
  }
}

void
ldr_store_rtt (LdrState *ldr, int64_t rtt_ms)
{
  int64_t ms = rtt_ms > 0 ? rtt_ms : 1;
  if (ldr->store_rtt_ms == 0 || ms < ldr->store_rtt_ms)
    ldr->store_rtt_ms = ms;
}

void
ldr_store_confirmed (LdrState *ldr, int64_t boot_ms)
{
  if (ldr->store_confirmed_boot_ms < boot_ms)
    ldr->store_confirmed_boot_ms = boot_ms;
}

void
ldr_peer_confirmed (LdrState *ldr, const GrName *vm, int64_t term, int64_t boot_ms, int64_t now_ms)
{
  /* Once this VM does not lead, its newest term is that of its successor. */
  if (!ldr->leads)
    return;
  Peer *peer = find_peer (ldr, vm);
  if (peer && term <= ldr->record.term && peer->confirmed_boot_ms < boot_ms)
    peer->confirmed_boot_ms = boot_ms;
  handle_later_term (ldr, vm, term, now_ms);
}

int64_t
ldr_confirmed_boot_ms (const LdrState *ldr)
{
  /* Any member may take over, so all of them count. */
  int64_t by_peers = ldr->peers.count > 0 ? INT64_MAX : 0;
  for (size_t i = 0; i < ldr->peers.count; i++) {
    if (ldr->peers.items[i].confirmed_boot_ms < by_peers)
      by_peers = ldr->peers.items[i].confirmed_boot_ms;
  }
  return by_peers > ldr->store_confirmed_boot_ms ? by_peers : ldr->store_confirmed_boot_ms;
}

int64_t
ldr_leases_until_boot_ms (const LdrState *ldr)
{
  int64_t confirmed = ldr_confirmed_boot_ms (ldr);
  return ldr->leads && confirmed > 0 ? confirmed + LDR_UNCONFIRMED_MS : 0;
}

int64_t
ldr_former_leases_ms (int64_t lease_ms)
{
  return (int64_t) ((double) (LDR_UNCONFIRMED_MS + lease_ms) / CLOCK_RATE_MIN) + LAPSE_MARGIN_MS;
}

int64_t
ldr_term (const LdrState *ldr)
{
  return ldr->record.term;
}

void
ldr_claim_result (LdrState *ldr, LdrClaimResult result, int64_t offset, int64_t now_ms)
{
  switch (result) {
  case LDR_CLAIM_WON:
    ldr->claim_sent_at = 0;
    if (offset + 1 <= ldr->record.term)
      return;
    ldr->record = (LdrRecord){ ldr->options.self, offset + 1 };
    ldr->end_offset = offset + 1;
    ldr->leads = true;
    ldr->announced = false;
    return;
  case LDR_CLAIM_LOST:
  case LDR_CLAIM_FAILED:
    ldr->claim_sent_at = 0;
    ldr->claim_not_before = now_ms + CLAIM_RETRY_MS;
    return;
  case LDR_CLAIM_UNKNOWN:
    return;
  }
}

void
ldr_leave (LdrState *ldr)
{
  ldr->leaving = true;
}

bool
ldr_store_ok (const LdrState *ldr, int64_t now_ms)
{
  if (ldr->store_ok_at == 0 || now_ms - ldr->store_ok_at > STORE_FRESH_MS)
    return false;
  return ldr->store_failing_since == 0 || now_ms - ldr->store_failing_since < STORE_FAILING_MS;
}

/* Returns a smaller class for a shorter round trip. VMs that have not measured it come last. */
static int64_t
store_rtt_class (int64_t store_rtt_ms)
{
  return store_rtt_ms > 0 ? store_rtt_ms / STORE_RTT_CLASS_MS : INT64_MAX;
}

/* Order of preference: higher weight; then the shorter round trip to the store, which each accepted
   job and each start waits for; then the newest process, which in a rolling restart will not be
   restarted again; then the name. */
static bool
is_preferred (const LdrMember *a, int64_t a_store_rtt_ms, const LdrMember *b,
              int64_t b_store_rtt_ms)
{
  if (a->weight != b->weight)
    return a->weight > b->weight;
  if (store_rtt_class (a_store_rtt_ms) != store_rtt_class (b_store_rtt_ms))
    return store_rtt_class (a_store_rtt_ms) < store_rtt_class (b_store_rtt_ms);
  if (a->vm.incarnation != b->vm.incarnation)
    return a->vm.incarnation > b->vm.incarnation;
  return gr_name_compare (&a->vm.vm, &b->vm.vm) < 0;
}

/* Returns the number of candidates that are preferred to this VM. */
static int64_t
self_rank (const LdrState *ldr, int64_t now_ms)
{
  int64_t rank = 0;
  const LdrMember *self = &ldr->options.self;
  for (size_t i = 0; i < ldr->peers.count; i++) {
    const Peer *peer = &ldr->peers.items[i];
    if (peer->last_heartbeat_at == 0 && now_ms - ldr->started_at < STARTUP_GRACE_MS) {
      rank += peer->member.weight > self->weight;
      continue;
    }
    bool fresh
        = peer->last_heartbeat_at > 0 && now_ms - peer->last_heartbeat_at < CANDIDATE_FRESH_MS;
    if (!fresh || peer->status.leaving || !peer->status.store_ok
        || gr_name_equal (&peer->member.vm.vm, &ldr->record.member.vm.vm))
      continue;
    rank += is_preferred (&peer->member, peer->status.store_rtt_ms, self, ldr->store_rtt_ms);
  }
  return rank;
}

/* Returns the local time from which on this VM may claim. */
static int64_t
claim_at (const LdrState *ldr, int64_t now_ms)
{
  int64_t stagger = self_rank (ldr, now_ms) * CLAIM_STAGGER_MS + ldr->claim_delay_ms;
  if (ldr->record.term == 0 || is_self (ldr, &ldr->record.member.vm))
    return ldr->started_at + ldr->options.election_timeout_ms / 2 + stagger;
  const Peer *leader = find_peer (ldr, &ldr->record.member.vm.vm);
  int64_t at = ldr->leader_lost_at + stagger;
  if (!leader)
    return at;
  bool current = gr_vm_ref_equal (&leader->status.vm, &ldr->record.member.vm);
  if (leader->last_heartbeat_at > 0 && !current
      && leader->status.vm.incarnation > ldr->record.member.vm.incarnation) {
    /* The leader's process has restarted and does not lead any more. */
    return stagger == 0 ? now_ms : at;
  }
  if (current && leader->status.leaving)
    return leader->leaving_since + stagger;
  if (current && leader->store_lost_at > 0) {
    int64_t store_claim_at = leader->store_lost_at + LEADER_WITHOUT_STORE_MS;
    if (store_claim_at < ldr->store_stable_since + STORE_STABLE_MS)
      store_claim_at = ldr->store_stable_since + STORE_STABLE_MS;
    store_claim_at += stagger;
    return store_claim_at < at ? store_claim_at : at;
  }
  return at;
}

static void
step_down_if_isolated (LdrState *ldr, int64_t now_ms)
{
  if (now_ms - ldr->store_ok_at > ISOLATED_MS && now_ms - ldr->last_peer_heartbeat_at > ISOLATED_MS
      && ldr->peers.count > 0) {
    gr_log (&ldr->options.log, GR_EV_FENCED, "term=%lld reason=isolated",
            (long long) ldr->record.term);
    ldr->leads = false;
  }
}

void
ldr_tick (LdrState *ldr, int64_t now_ms, LdrCmds *out)
{
  if (ldr->started_at == 0) {
    ldr->started_at = now_ms;
    ldr->last_peer_heartbeat_at = now_ms;
  }
  bool paused = ldr->ticked_at > 0 && now_ms - ldr->ticked_at > PAUSE_MS;
  ldr->ticked_at = now_ms;
  if (paused) {
    ldr->leader_lost_at = now_ms + ldr->options.election_timeout_ms;
    ldr->last_peer_heartbeat_at = now_ms;
  }
  if (ldr->leads)
    step_down_if_isolated (ldr, now_ms);
  if (ldr->leads != ldr->announced || (ldr->leads && !ldr->announced)) {
    ldr->announced = ldr->leads;
    ldr->serves = false;
    gr_list_push (out, (LdrCmd){ .type = ldr->leads ? LDR_CMD_LEAD : LDR_CMD_STEP_DOWN,
                                 .term = ldr->record.term });
  }
  if (ldr->leads || ldr->leaving || !ldr->topic_read || !ldr_store_ok (ldr, now_ms))
    return;
  if (ldr->claim_sent_at > 0 && now_ms - ldr->claim_sent_at < CLAIM_OPEN_MS)
    return;
  if (now_ms < ldr->claim_not_before || now_ms < claim_at (ldr, now_ms))
    return;
  ldr->claim_sent_at = now_ms;
  gr_list_push (out, (LdrCmd){ .type = LDR_CMD_CLAIM, .offset = ldr->end_offset });
}

bool
ldr_leads (const LdrState *ldr)
{
  return ldr->leads && ldr->announced;
}

const LdrRecord *
ldr_leader (const LdrState *ldr, int64_t now_ms)
{
  if (ldr->record.term == 0)
    return NULL;
  if (is_self (ldr, &ldr->record.member.vm))
    return ldr->leads ? &ldr->record : NULL;
  return now_ms < ldr->leader_lost_at ? &ldr->record : NULL;
}

void
ldr_set_serving (LdrState *ldr)
{
  ldr->serves = true;
}

bool
ldr_leader_serves (const LdrState *ldr, int64_t now_ms)
{
  const LdrRecord *leader = ldr_leader (ldr, now_ms);
  if (!leader)
    return false;
  if (is_self (ldr, &leader->member.vm))
    return ldr_leads (ldr) && ldr->serves;
  const Peer *peer = find_peer (ldr, &leader->member.vm.vm);
  return peer && gr_vm_ref_equal (&peer->status.vm, &leader->member.vm)
         && peer->status.term == leader->term && peer->status.leads && peer->status.serves;
}

LdrStatus
ldr_status (const LdrState *ldr, int64_t now_ms)
{
  return (LdrStatus){
    .vm = ldr->options.self.vm,
    .term = ldr->record.term,
    .leads = ldr_leads (ldr),
    .serves = ldr_leads (ldr) && ldr->serves,
    .store_ok = ldr_store_ok (ldr, now_ms),
    .leaving = ldr->leaving,
    .store_rtt_ms = ldr->store_rtt_ms,
  };
}
