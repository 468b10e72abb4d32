/* Decides when this VM appends join, claim, handover, refresh, gone and leave records. */
#include "own/own_state.h"

/* Delay before the retry of an append that failed or whose outcome is unknown. */
#define RETRY_MS 1000
/* Delay of a claim or gone record per rank of the VM, in case the VMs ranked before it may not or
   cannot append one. */
#define RANK_STAGGER_MS 700
/* Delay of the claims of a VM that receives heartbeats from a minority of the other members only,
   so that a VM cut off from its peers does not take over the region. */
#define MINORITY_DELAY_MS 10000

static void
append (OwnState *state, OwnPending *pending, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  if (pending->state == OWN_PENDING_NONE)
    pending->earlier_attempt_unknown = false;
  pending->state = OWN_PENDING_SENT;
  pending->kind = record->kind;
  pending->token = ++state->last_token;
  pending->epoch = record->epoch;
  pending->to = record->to;
  pending->retry_at_ms = now_ms + RETRY_MS;
  OwnCmd cmd = { .kind = OWN_CMD_APPEND };
  cmd.append.token = pending->token;
  cmd.append.record = *record;
  cmd.append.record.writer = state->options.self;
  gr_list_push (out, cmd);
}

static void
append_for_key (OwnState *state, OwnKey *key, OwnRecordKind kind, int64_t epoch, const GrVmRef *to,
                int64_t now_ms, OwnCmds *out)
{
  OwnRecord record = { .kind = kind, .key = key->key, .epoch = epoch };
  if (to)
    record.to = *to;
  append (state, &key->pending, &record, now_ms, out);
}

static bool
retry_due (const OwnPending *pending, int64_t now_ms)
{
  return pending->state == OWN_PENDING_UNKNOWN && now_ms >= pending->retry_at_ms;
}

static void
tick_join (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  if (state->caught_up_ms < 0 || state->stopping_since_ms >= 0)
    return;
  bool first = state->join.epoch == 0;
  /* If this VM was absent from a list read, or its reads were interrupted, since its last join, a
     gone record may end that join. */
  bool again = state->join.state == OWN_PENDING_NONE && state->members.self_missing
               && state->members.self_listed && own_log_fresh (state, now_ms);
  if (!first && !again && !retry_due (&state->join, now_ms))
    return;
  int64_t number = first || again ? state->join.epoch + 1 : state->join.epoch;
  if (first || again)
    state->join_missing_count = state->members.missing_count;
  OwnRecord record = { .kind = OWN_RECORD_JOIN, .epoch = number };
  append (state, &state->join, &record, now_ms, out);
}

/* Appends a gone record for a member that has been absent from the VM list for long enough. */
static void
tick_gone (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  if (state->gone.state == OWN_PENDING_UNKNOWN)
    state->gone.state = OWN_PENDING_NONE; /* a second gone record is harmless */
  if (state->gone.state != OWN_PENDING_NONE || now_ms < state->gone_not_before_ms
      || !own_log_fresh (state, now_ms))
    return;
  int64_t rank = 0;
  const MbrMembers *members = &state->members.members;
  for (size_t i = 0; i < members->count; i++) {
    if (mbr_is_self (&state->members, &members->items[i]))
      break;
    rank += members->items[i].reported_state == MBR_LIVE;
  }
  for (size_t i = 0; i < members->count; i++) {
    const MbrMember *member = &members->items[i];
    /* The live member with the lowest id appends first; the others append later if it has not. */
    if (!member->in_member_set
        || !mbr_may_declare_gone (&state->members, member, rank * RANK_STAGGER_MS))
      continue;
    OwnRecord record = { .kind = OWN_RECORD_GONE, .to = member->ref };
    if (member->log_incarnation == member->ref.incarnation)
      record.epoch = member->log_join;
    append (state, &state->gone, &record, now_ms, out);
    state->gone_not_before_ms = now_ms + RETRY_MS;
    return;
  }
}

/* Recomputes the preferred member of each key and the rank of this VM by rendezvous hashing, when
   the live members or the number of keys have changed. */
static void
rank_keys (OwnState *state, int64_t now_ms)
{
  const MbrMembers *members = &state->members.members;
  uint64_t hash = state->keys.count;
  for (size_t i = 0; i < members->count; i++) {
    const MbrMember *member = &members->items[i];
    if (mbr_state_of (&state->members, member, now_ms) == MBR_LIVE)
      hash = gr_name_hash (&member->ref.vm, hash + (uint64_t) member->ref.incarnation);
  }
  if (hash == state->live_hash)
    return;
  state->live_hash = hash;
  for (size_t k = 0; k < state->keys.count; k++) {
    OwnKey *key = &state->keys.items[k];
    uint64_t best = 0, self_score = 0;
    bool self_live = false;
    key->preferred.incarnation = 0;
    for (size_t i = 0; i < members->count; i++) {
      const MbrMember *member = &members->items[i];
      if (mbr_state_of (&state->members, member, now_ms) != MBR_LIVE)
        continue;
      uint64_t score = gr_name_hash (&key->key, gr_name_hash (&member->ref.vm, 0));
      if (key->preferred.incarnation == 0 || score > best) {
        best = score;
        key->preferred = member->ref;
      }
      if (mbr_is_self (&state->members, member)) {
        self_live = true;
        self_score = score;
      }
    }
    key->self_rank = self_live ? 0 : -1;
    for (size_t i = 0; i < members->count && self_live; i++) {
      const MbrMember *member = &members->items[i];
      if (mbr_state_of (&state->members, member, now_ms) == MBR_LIVE
          && gr_name_hash (&key->key, gr_name_hash (&member->ref.vm, 0)) > self_score)
        key->self_rank++;
    }
  }
}

/* Returns true if the state of the owner allows this VM to claim the key now. Sets *ownerless if
   the key needs a claim by some member. */
static bool
may_claim (const OwnState *state, OwnKey *key, int64_t now_ms, bool *ownerless)
{
  *ownerless = true;
  if (!key->has_owner || mbr_ended (&state->members, &key->owner))
    return true;
  const MbrMember *owner = mbr_find (&state->members, &key->owner.vm);
  bool current = owner && gr_vm_ref_equal (&owner->ref, &key->owner);
  if (current && mbr_state_of (&state->members, owner, now_ms) != MBR_SUSPECTED) {
    *ownerless = false;
    return false;
  }
  if (!current) /* with a higher incarnation on the VM of the owner, the owner has ended */
    return owner && owner->ref.incarnation > key->owner.incarnation;
  /* An owner that does not count this VM in its member set may be in promise mode without a promise
     of this VM. */
  if (!owner->acknowledged && !state->options.faults.no_acknowledged_rule)
    return false;
  if (now_ms < owner->promise_given_until_ms)
    return false;
  /* The owner is suspected and absent from the VM list: it has failed. */
  if (owner->absent_since_ms >= 0)
    return true;
  if (owner->heartbeat_seen && owner->last_heartbeat_ms > key->lost_to_claim_ms)
    key->reclaim_doublings = 0;
  else if (now_ms < key->reclaim_not_before_ms)
    return false;
  return key->ownerless_since_ms >= 0
         && (now_ms - key->ownerless_since_ms >= MINORITY_DELAY_MS
             || !mbr_in_minority (&state->members, now_ms));
}

static void
tick_claims (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  /* Until heartbeats had time to arrive, this VM would find itself the only live member and claim
     every key. */
  bool startup_wait_over
      = state->caught_up_ms >= 0 && now_ms - state->caught_up_ms >= state->options.suspect_after_ms;
  bool can_claim = own_joined (state) && startup_wait_over && own_log_fresh (state, now_ms)
                   && state->stopping_since_ms < 0;
  for (size_t i = 0; i < state->keys.count; i++) {
    OwnKey *key = &state->keys.items[i];
    if (!key->configured || own_key_is_self (state, key))
      continue;
    if (key->pending.state != OWN_PENDING_NONE) {
      if (can_claim && key->pending.kind == OWN_RECORD_CLAIM && retry_due (&key->pending, now_ms))
        append_for_key (state, key, OWN_RECORD_CLAIM, key->pending.epoch, NULL, now_ms, out);
      continue;
    }
    bool ownerless;
    bool allowed = may_claim (state, key, now_ms, &ownerless);
    if (!ownerless)
      key->ownerless_since_ms = -1;
    else if (key->ownerless_since_ms < 0)
      key->ownerless_since_ms = now_ms;
    if (!allowed || !can_claim || key->self_rank < 0 || now_ms < key->append_not_before_ms
        || now_ms < key->ownerless_since_ms + key->self_rank * RANK_STAGGER_MS)
      continue;
    append_for_key (state, key, OWN_RECORD_CLAIM, key->epoch + 1, NULL, now_ms, out);
  }
}

/* Returns true if retention may have removed the newest record of a key of this VM: another VM
   could then claim the key as if it never had an owner. */
static bool
ownership_record_expired (const OwnState *state, int64_t now_ms)
{
  int64_t limit = state->options.refresh_interval_ms + state->options.refresh_interval_ms / 2;
  for (size_t i = 0; i < state->keys.count; i++) {
    const OwnKey *key = &state->keys.items[i];
    if (own_key_is_self (state, key) && now_ms - key->recorded_ms >= limit)
      return true;
  }
  return false;
}

static void
tick_owned_keys (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  if (!own_log_fresh (state, now_ms))
    return;
  const MbrMember *self = mbr_find (&state->members, &state->options.self.vm);
  bool leaving = state->stopping_since_ms >= 0
                 || (self && mbr_state_of (&state->members, self, now_ms) == MBR_LEAVING);
  /* At most one key is rebalanced at a time: if a store outage begins during a handover, no VM may
     start work on that key until the store is back. */
  bool moving = own_moving_key (state) != NULL;
  for (size_t i = 0; i < state->keys.count; i++) {
    OwnKey *key = &state->keys.items[i];
    if (!own_key_is_self (state, key))
      continue;
    if (key->pending.state != OWN_PENDING_NONE) {
      if (retry_due (&key->pending, now_ms)) {
        GrVmRef to = key->pending.to;
        append_for_key (state, key, key->pending.kind, key->pending.epoch, &to, now_ms, out);
      }
      continue;
    }
    /* A target was fenced with a higher epoch whose record retention has removed from the log. */
    if (key->fence_epoch > key->epoch) {
      append_for_key (state, key, OWN_RECORD_CLAIM, key->fence_epoch + 1, NULL, now_ms, out);
      continue;
    }
    /* The next owner starts without waiting, so the wait of this one has to be over. */
    if (now_ms < key->usable_at_ms || now_ms < key->append_not_before_ms)
      continue;
    const MbrMember *to
        = key->preferred.incarnation > 0 ? mbr_find (&state->members, &key->preferred.vm) : NULL;
    if (to && !mbr_is_self (&state->members, to)
        && (leaving
            || (!moving && key->gained && now_ms >= state->next_handover_ms
                && now_ms - key->gained_ms >= state->options.handover_interval_ms
                && now_ms - to->live_since_ms >= state->options.suspect_after_ms))) {
      append_for_key (state, key, OWN_RECORD_HANDOVER, key->epoch + 1, &to->ref, now_ms, out);
      moving = true;
      state->next_handover_ms = now_ms + state->options.handover_interval_ms
                                + own_random (state, state->options.handover_interval_ms / 4 + 1);
      continue;
    }
    if (key->gained && now_ms >= key->refresh_at_ms) {
      OwnCmd cmd = { .kind = OWN_CMD_APPEND };
      cmd.append.token = ++state->last_token;
      cmd.append.record = (OwnRecord){ .kind = OWN_RECORD_REFRESH,
                                       .writer = state->options.self,
                                       .key = key->key,
                                       .epoch = key->epoch };
      gr_list_push (out, cmd);
      /* Time of a retry; reading the record back schedules the next regular refresh. */
      key->refresh_at_ms = now_ms + state->options.refresh_interval_ms / 8 + 1;
    }
  }
}

static void
tick_leave (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  if (state->stopping_since_ms < 0 || state->leave_done)
    return;
  if (state->join.epoch == 0) {
    /* No record of this incarnation can be in the log. */
    state->leave_done = state->ended = true;
    gr_list_push (out, (OwnCmd){ .kind = OWN_CMD_STOPPED });
    return;
  }
  if (state->leave.state != OWN_PENDING_NONE) {
    if (!retry_due (&state->leave, now_ms))
      return;
  } else {
    /* Another VM may hand over a key to this one until a heartbeat has announced the stop to it. */
    if (state->log_read_sent_ms < state->stopping_since_ms + state->options.heartbeat_interval_ms)
      return;
    bool others = false;
    for (size_t i = 0; i < state->members.members.count; i++) {
      const MbrMember *member = &state->members.members.items[i];
      others = others
               || (!mbr_is_self (&state->members, member)
                   && mbr_state_of (&state->members, member, now_ms) == MBR_LIVE);
    }
    for (size_t i = 0; i < state->keys.count; i++) {
      const OwnKey *key = &state->keys.items[i];
      /* Without another live member no key can be handed over. */
      if (key->pending.state != OWN_PENDING_NONE || (others && own_key_is_self (state, key)))
        return;
    }
  }
  OwnRecord record = { .kind = OWN_RECORD_LEAVE };
  append (state, &state->leave, &record, now_ms, out);
}

void
own_rules_tick (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  /* This VM was paused: the heartbeats of that time have not been processed. */
  if (state->last_tick_ms > 0
      && now_ms - state->last_tick_ms >= state->options.suspect_after_ms / 2)
    mbr_reset_ages (&state->members, now_ms);
  state->last_tick_ms = now_ms;
  MbrMember *self = mbr_find (&state->members, &state->options.self.vm);
  if (self)
    self->leaving = state->stopping_since_ms >= 0;
  if (ownership_record_expired (state, now_ms)) {
    own_end_incarnation (state, out);
    return;
  }
  tick_join (state, now_ms, out);
  tick_gone (state, now_ms, out);
  rank_keys (state, now_ms);
  tick_claims (state, now_ms, out);
  tick_owned_keys (state, now_ms, out);
  tick_leave (state, now_ms, out);
}

void
own_rules_stop (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  state->next_heartbeat_ms = now_ms; /* announce the stop at the next tick */
  own_rules_tick (state, now_ms, out);
}

/* Returns false if the token is not that of the pending append. */
static bool
apply_append_result (OwnPending *pending, int64_t token, OwnAppendOutcome outcome, int64_t now_ms)
{
  if (pending->token != token || pending->state != OWN_PENDING_SENT)
    return false;
  switch (outcome) {
  case OWN_APPEND_COMMITTED:
    pending->state = OWN_PENDING_COMMITTED;
    break;
  case OWN_APPEND_FAILED:
    pending->state = pending->earlier_attempt_unknown ? OWN_PENDING_UNKNOWN : OWN_PENDING_NONE;
    break;
  case OWN_APPEND_UNKNOWN:
    pending->earlier_attempt_unknown = true;
    pending->state = OWN_PENDING_UNKNOWN;
    break;
  }
  pending->retry_at_ms = now_ms + RETRY_MS;
  return true;
}

void
own_rules_append_result (OwnState *state, int64_t token, OwnAppendOutcome outcome, int64_t now_ms,
                         OwnCmds *out)
{
  (void) out;
  if (apply_append_result (&state->join, token, outcome, now_ms)) {
    /* Without its join record this VM can claim no keys, so a failed append is retried as well. */
    if (outcome == OWN_APPEND_FAILED)
      state->join.state = OWN_PENDING_UNKNOWN;
    return;
  }
  if (apply_append_result (&state->leave, token, outcome, now_ms))
    return;
  if (apply_append_result (&state->gone, token, outcome, now_ms))
    return;
  for (size_t i = 0; i < state->keys.count; i++) {
    OwnKey *key = &state->keys.items[i];
    if (apply_append_result (&key->pending, token, outcome, now_ms)) {
      if (outcome == OWN_APPEND_FAILED)
        key->append_not_before_ms = now_ms + RETRY_MS + own_random (state, RETRY_MS);
      return;
    }
  }
}
