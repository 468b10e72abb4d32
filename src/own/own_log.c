/* Applies the records of the ownership stream. Who owns a key and which members have ended depends
   only on the records read so far, so that all readers agree. */
#include "own/own_state.h"

/* Time before an owner that lost a key to a claim may claim it back, doubled up to
   RECLAIM_DOUBLINGS_MAX times. A running owner loses a key to a claim if the two VMs do not receive
   each other's heartbeats; without the backoff the key would change its owner every few seconds. */
#define RECLAIM_BACKOFF_MS 10000
#define RECLAIM_DOUBLINGS_MAX 3

static void
schedule_refresh (OwnState *state, OwnKey *key, int64_t now_ms)
{
  int64_t interval = state->options.refresh_interval_ms;
  /* The previous read of the log did not have the record, so the record is newer than that read. */
  key->recorded_ms = state->log_read_sent_ms >= 0 ? state->log_read_sent_ms : now_ms;
  key->refresh_at_ms = key->recorded_ms + interval - own_random (state, interval / 10 + 1);
}

static void
set_owner (OwnState *state, OwnKey *key, const OwnRecord *record, const GrVmRef *owner,
           int64_t now_ms, OwnCmds *out)
{
  bool was_self = own_key_is_self (state, key);
  bool is_self = gr_vm_ref_equal (owner, &state->options.self);
  if (was_self)
    own_emit_key (out, OWN_CMD_KEY_LOST, key);
  if (was_self && !is_self && record->kind == OWN_RECORD_CLAIM) {
    key->reclaim_not_before_ms = now_ms + (RECLAIM_BACKOFF_MS << key->reclaim_doublings);
    key->reclaim_doublings += key->reclaim_doublings < RECLAIM_DOUBLINGS_MAX;
    key->lost_to_claim_ms = now_ms;
  }
  MbrMember *member = mbr_find_or_add (&state->members, owner, now_ms);
  if (member)
    member->in_member_set = true;
  key->has_owner = true;
  key->tentative = false;
  key->epoch = record->epoch;
  key->owner = *owner;
  key->ownerless_since_ms = -1;
  key->inventory_taken = false;
  key->inventory_sent = false;
  key->gained = false;
  /* A previous owner that hands over has stopped work on the key before it appends the record. An
     owner that raises its own epoch replaces no other VM. */
  bool wait
      = record->kind != OWN_RECORD_HANDOVER && !was_self && !state->options.faults.no_claim_wait;
  int64_t usable_ms = wait ? now_ms + state->options.lease_ms + state->options.margin_ms : now_ms;
  if (!was_self || key->usable_at_ms < usable_ms)
    key->usable_at_ms = usable_ms;
  schedule_refresh (state, key, now_ms);
}

static void
drop_superseded_pending (OwnKey *key)
{
  OwnPending *pending = &key->pending;
  if (pending->state == OWN_PENDING_NONE)
    return;
  /* A pending record can no longer take effect once the log has reached its epoch. */
  if (pending->epoch <= key->epoch)
    pending->state = OWN_PENDING_NONE;
}

static void
apply_key_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  OwnKey *key = own_key_find_or_add (state, &record->key);
  switch (record->kind) {
  case OWN_RECORD_CLAIM: {
    /* Where retention removed older records, the first record of a key may be above epoch 1. */
    bool first = !key->has_owner && record->epoch >= 1;
    /* The owner may raise its epoch by any number, since targets may have been fenced with a higher
       one. */
    bool raise = key->has_owner && record->epoch > key->epoch
                 && gr_vm_ref_equal (&record->writer, &key->owner);
    /* The writer of the claim has not read the record of this ownership, because retention had
       removed it. An immediate refresh repeats it. */
    if (own_key_is_self (state, key) && record->epoch <= key->epoch
        && !gr_vm_ref_equal (&record->writer, &state->options.self))
      key->refresh_at_ms = now_ms;
    /* Earlier records may be missing, so this reader cannot check that the epoch follows the last
       one. */
    bool unproven = first || (key->tentative && record->epoch > key->epoch);
    if (unproven || raise || record->epoch == key->epoch + 1) {
      bool follows = record->epoch == key->epoch + 1 && !first;
      set_owner (state, key, record, &record->writer, now_ms, out);
      key->tentative = unproven && !follows;
    }
    break;
  }
  case OWN_RECORD_HANDOVER: {
    bool by_owner = key->has_owner && gr_vm_ref_equal (&record->writer, &key->owner);
    /* Earlier records may be missing, so this reader cannot check that the writer is the owner. */
    bool unproven = !key->has_owner || (key->tentative && record->epoch > key->epoch);
    if ((by_owner && record->epoch == key->epoch + 1) || unproven) {
      set_owner (state, key, record, &record->to, now_ms, out);
      key->tentative = unproven && !by_owner;
    }
    break;
  }
  case OWN_RECORD_REFRESH:
    if (!key->has_owner || record->epoch > key->epoch
        || (record->epoch == key->epoch && key->tentative)) {
      if (!key->has_owner || !gr_vm_ref_equal (&key->owner, &record->writer))
        set_owner (state, key, record, &record->writer, now_ms, out);
      key->epoch = record->epoch;
      key->tentative = false;
    }
    if (gr_vm_ref_equal (&record->writer, &state->options.self))
      schedule_refresh (state, key, now_ms);
    break;
  case OWN_RECORD_JOIN:
  case OWN_RECORD_GONE:
  case OWN_RECORD_LEAVE:
    break;
  }
  drop_superseded_pending (key);
}

void
own_end_incarnation (OwnState *state, OwnCmds *out)
{
  if (state->ended)
    return;
  state->ended = true;
  for (size_t i = 0; i < state->keys.count; i++) {
    if (own_key_is_self (state, &state->keys.items[i]))
      own_emit_key (out, OWN_CMD_KEY_LOST, &state->keys.items[i]);
  }
  gr_list_push (out, (OwnCmd){ .kind = OWN_CMD_REIDENTIFY });
}

static void
update_log_incarnation (OwnState *state, const GrVmRef *ref, int64_t now_ms)
{
  mbr_find_or_add (&state->members, ref, now_ms);
  MbrMember *member = mbr_find (&state->members, &ref->vm);
  if (ref->incarnation > member->log_incarnation) {
    member->log_incarnation = ref->incarnation;
    member->log_ended = false;
    member->log_join = 0;
  }
  if (member->log_incarnation == member->ref.incarnation)
    member->predecessor_unresolved = false;
  if (member->ref.incarnation == ref->incarnation)
    member->in_member_set = true;
}

static void
apply_member_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  const GrVmRef *self = &state->options.self;
  MbrMember *writer = mbr_find (&state->members, &record->writer.vm);
  bool newest = writer->log_incarnation == record->writer.incarnation;
  switch (record->kind) {
  case OWN_RECORD_JOIN:
    if (!newest)
      break;
    if (record->epoch > writer->log_join)
      writer->log_join = record->epoch;
    /* A new join clears the member's absence from the list. A gone record for this join then needs
       an absence that began after it. */
    writer->absent_since_ms = -1;
    if (gr_vm_ref_equal (&record->writer, self) && record->epoch >= state->join.epoch) {
      state->join.state = OWN_PENDING_NONE;
      if (state->join_missing_count == state->members.missing_count)
        state->members.self_missing = !state->members.self_listed;
    }
    break;
  case OWN_RECORD_GONE: {
    if (gr_vm_ref_equal (&record->writer, self))
      state->gone.state = OWN_PENDING_NONE;
    update_log_incarnation (state, &record->to, now_ms);
    MbrMember *target = mbr_find (&state->members, &record->to.vm);
    /* A gone record ends only the join that its writer had read: a VM that has joined again since
       is in the VM list again. */
    if (target->log_incarnation != record->to.incarnation || target->log_join > record->epoch)
      break;
    target->log_ended = true;
    if (gr_vm_ref_equal (&record->to, self))
      own_end_incarnation (state, out);
    break;
  }
  case OWN_RECORD_LEAVE:
    if (newest)
      writer->log_ended = true;
    if (gr_vm_ref_equal (&record->writer, self) && !state->leave_done) {
      state->leave.state = OWN_PENDING_NONE;
      state->leave_done = true;
      state->ended = true;
      gr_list_push (out, (OwnCmd){ .kind = OWN_CMD_STOPPED });
    }
    break;
  case OWN_RECORD_CLAIM:
  case OWN_RECORD_HANDOVER:
  case OWN_RECORD_REFRESH:
    break;
  }
}

void
own_log_apply (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  if (mbr_ended (&state->members, &record->writer) && !state->options.faults.no_void_rule)
    return;
  update_log_incarnation (state, &record->writer, now_ms);
  if (gr_name_equal (&record->writer.vm, &state->options.self.vm)
      && record->writer.incarnation > state->options.self.incarnation)
    own_end_incarnation (state, out);
  switch (record->kind) {
  case OWN_RECORD_JOIN:
  case OWN_RECORD_GONE:
  case OWN_RECORD_LEAVE:
    apply_member_record (state, record, now_ms, out);
    break;
  case OWN_RECORD_CLAIM:
  case OWN_RECORD_HANDOVER:
  case OWN_RECORD_REFRESH:
    apply_key_record (state, record, now_ms, out);
    break;
  }
}
