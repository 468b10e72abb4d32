/* Heartbeats between members, acknowledgement of members and promises. */
#include "own/own_state.h"

#include <stdlib.h>

/* Size of the peers list of a heartbeat: the receiver and a rotating part of the other members.
   With a full list the bytes sent per VM would grow with the square of the number of members. */
#define PEERS_PER_HEARTBEAT 4

static void
add_peer (OwnHeartbeat *heartbeat, const MbrMember *member, int64_t now_ms)
{
  heartbeat->peers[heartbeat->peer_count++]
      = (OwnPeerAge){ .vm = member->ref,
                      .age_ms = member->heartbeat_seen ? now_ms - member->last_heartbeat_ms : -1,
                      .acknowledged = member->in_member_set };
}

OwnKey *
own_moving_key (const OwnState *state)
{
  for (size_t i = 0; i < state->keys.count; i++) {
    OwnKey *key = &state->keys.items[i];
    if (key->pending.state != OWN_PENDING_NONE && key->pending.kind == OWN_RECORD_HANDOVER)
      return key;
  }
  return NULL;
}

/* Hash of the keys that the owner has by the log as read so far, with their epochs and without
   moving_key; 0 if there are none. */
static uint64_t
owned_hash (const OwnState *state, const GrVmRef *owner, const GrName *moving_key)
{
  uint64_t hash = 0;
  for (size_t i = 0; i < state->keys.count; i++) {
    const OwnKey *key = &state->keys.items[i];
    if (key->has_owner && gr_vm_ref_equal (&key->owner, owner)
        && !gr_name_equal (&key->key, moving_key))
      hash ^= gr_name_hash (&key->key, (uint64_t) key->epoch);
  }
  return hash;
}

static OwnHeartbeat *
build_heartbeat (OwnState *state, const MbrMember *to, int64_t now_ms)
{
  OwnHeartbeat *heartbeat = gr_calloc (1, sizeof *heartbeat);
  heartbeat->from = state->options.self;
  heartbeat->leaving = state->stopping_since_ms >= 0;
  heartbeat->joining
      = state->caught_up_ms < 0 || state->join.state != OWN_PENDING_NONE || state->join.epoch == 0;
  const OwnKey *moving = own_moving_key (state);
  if (moving)
    heartbeat->moving_key = moving->key;
  heartbeat->owned_hash = owned_hash (state, &state->options.self, &heartbeat->moving_key);
  add_peer (heartbeat, to, now_ms);
  const MbrMembers *members = &state->members.members;
  for (size_t n = 0; n < members->count && heartbeat->peer_count < PEERS_PER_HEARTBEAT; n++) {
    const MbrMember *member = &members->items[(state->heartbeat_window + n) % members->count];
    if (member != to && !mbr_is_self (&state->members, member)
        && !mbr_ended (&state->members, &member->ref))
      add_peer (heartbeat, member, now_ms);
  }
  return heartbeat;
}

static void
emit_heartbeat (const GrVmRef *to, OwnHeartbeat *heartbeat, OwnCmds *out)
{
  OwnCmd cmd = { .kind = OWN_CMD_HEARTBEAT };
  cmd.heartbeat.to = *to;
  cmd.heartbeat.heartbeat = heartbeat;
  gr_list_push (out, cmd);
}

static bool
owns_any (const OwnState *state)
{
  for (size_t i = 0; i < state->keys.count; i++) {
    if (own_key_is_self (state, &state->keys.items[i]))
      return true;
  }
  return false;
}

void
own_peer_tick (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  if (now_ms < state->next_heartbeat_ms)
    return;
  state->next_heartbeat_ms = now_ms + state->options.heartbeat_interval_ms;
  /* Promises are requested before the newest read of the log expires, so that promise mode begins
     without a gap. Each costs a reply, so none are requested while the log is read regularly. */
  bool want = owns_any (state) && now_ms - state->log_read_sent_ms >= state->options.lease_ms / 3;
  state->heartbeat_seq++;
  OwnKey *moving = own_moving_key (state);
  if (want && moving)
    moving->promise_excluded_ms = now_ms;
  const MbrMembers *members = &state->members.members;
  for (size_t i = 0; i < members->count; i++) {
    MbrMember *member = &members->items[i];
    if (mbr_is_self (&state->members, member) || mbr_ended (&state->members, &member->ref))
      continue;
    OwnHeartbeat *heartbeat = build_heartbeat (state, member, now_ms);
    heartbeat->seq = state->heartbeat_seq;
    heartbeat->promise_wanted = want;
    if (want) {
      size_t slot = (size_t) (state->heartbeat_seq % MBR_PROMISE_REQUESTS_MAX);
      member->promise_requests[slot].seq = state->heartbeat_seq;
      member->promise_requests[slot].sent_ms = now_ms;
    }
    emit_heartbeat (&member->ref, heartbeat, out);
  }
  if (members->count > 0)
    state->heartbeat_window = (state->heartbeat_window + PEERS_PER_HEARTBEAT - 1) % members->count;
}

/* Returns true if this VM may promise to claim none of the keys of `to` for lease_ms: by the log as
   this VM has read it, `to` owns exactly the keys of the request, and no claim of this VM on them
   is pending. */
static bool
may_promise (const OwnState *state, const MbrMember *to, const OwnHeartbeat *request)
{
  if (mbr_ended (&state->members, &to->ref))
    return false;
  if (state->options.faults.no_unknown_claim_rule)
    return true;
  if (request->owned_hash != owned_hash (state, &to->ref, &request->moving_key))
    return false;
  for (size_t i = 0; i < state->keys.count; i++) {
    const OwnKey *key = &state->keys.items[i];
    if (key->pending.state != OWN_PENDING_NONE && key->pending.kind == OWN_RECORD_CLAIM
        && key->has_owner && gr_vm_ref_equal (&key->owner, &to->ref))
      return false;
  }
  return true;
}

static void
answer_promise_request (OwnState *state, MbrMember *from, const OwnHeartbeat *request,
                        int64_t now_ms, OwnCmds *out)
{
  OwnHeartbeat *reply = build_heartbeat (state, from, now_ms);
  reply->reply = true;
  reply->seq = request->seq;
  reply->promise_given = may_promise (state, from, request);
  if (reply->promise_given && now_ms + state->options.lease_ms > from->promise_given_until_ms)
    from->promise_given_until_ms = now_ms + state->options.lease_ms;
  emit_heartbeat (&from->ref, reply, out);
}

static void
store_promise (OwnState *state, MbrMember *from, const OwnHeartbeat *reply)
{
  if (!reply->promise_given || reply->seq <= 0)
    return;
  size_t slot = (size_t) (reply->seq % MBR_PROMISE_REQUESTS_MAX);
  if (from->promise_requests[slot].seq != reply->seq)
    return;
  /* Counted from the sent time of the request. The peer counts from its receipt, which is later, so
     its promise is valid at least this long. */
  int64_t until = from->promise_requests[slot].sent_ms + state->options.lease_ms;
  if (until > from->promise_received_until_ms)
    from->promise_received_until_ms = until;
}

void
own_peer_heartbeat (OwnState *state, const OwnHeartbeat *heartbeat, int64_t now_ms, OwnCmds *out)
{
  const GrVmRef *self = &state->options.self;
  if (gr_name_equal (&heartbeat->from.vm, &self->vm))
    return;
  MbrMember *from = mbr_heartbeat_received (&state->members, &heartbeat->from, heartbeat->joining,
                                            heartbeat->leaving, now_ms);
  if (!from)
    return;
  for (size_t i = 0; i < heartbeat->peer_count; i++) {
    const OwnPeerAge *peer = &heartbeat->peers[i];
    if (gr_vm_ref_equal (&peer->vm, self))
      from->acknowledged = from->acknowledged || peer->acknowledged;
    else
      mbr_heartbeat_relayed (&state->members, &peer->vm, peer->age_ms, now_ms);
  }
  if (heartbeat->reply)
    store_promise (state, from, heartbeat);
  else if (heartbeat->promise_wanted)
    answer_promise_request (state, from, heartbeat, now_ms, out);
}

bool
own_peer_promises_hold (const OwnState *state, int64_t now_ms)
{
  const MbrState *members = &state->members;
  if (state->log_read_sent_ms < 0)
    return false;
  if (!state->options.faults.no_list_age_check
      && (members->list_read_sent_ms < 0 || !members->self_listed || members->self_missing
          || now_ms - members->list_read_sent_ms >= state->options.list_max_age_ms))
    return false;
  size_t needed = 0, given = 0;
  for (size_t i = 0; i < members->members.count; i++) {
    const MbrMember *member = &members->members.items[i];
    if (member->predecessor_unresolved && !mbr_is_self (members, member))
      needed++;
    if (mbr_is_self (members, member) || !member->in_member_set
        || mbr_ended (members, &member->ref))
      continue;
    needed++;
    given += now_ms < member->promise_received_until_ms;
  }
  if (state->options.faults.promise_from_any && given > 0)
    return true;
  return given == needed;
}
