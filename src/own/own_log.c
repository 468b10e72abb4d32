/* What the records of the ownership stream mean. Depends on nothing but the records read so far,
   so that all readers agree. */
#include "own/own_state.h"

/* An owner that lost a key to a claim is alive, so the two VMs cannot hear each other. It does not
   claim the key back for this time, doubled up to HOLD_STREAK_MAX times, or the key would change
   hands every few seconds. */
#define HOLD_MS 10000
#define HOLD_STREAK_MAX 3

static void
schedule_refresh (OwnState *state, OwnKey *key, int64_t now_ms)
{
  int64_t interval = state->options.refresh_interval_ms;
  /* The record was not in the log at the read before this one. */
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
    key->hold_until_ms = now_ms + (HOLD_MS << key->hold_streak);
    key->hold_streak += key->hold_streak < HOLD_STREAK_MAX;
    key->lost_at_ms = now_ms;
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
  /* After a handover the previous owner had stopped before it wrote the record. An owner that
     raises its own epoch excludes nobody else. */
  bool wait
      = record->kind != OWN_RECORD_HANDOVER && !was_self && !state->options.faults.no_claim_wait;
  int64_t usable_ms = wait ? now_ms + state->options.lease_ms + state->options.margin_ms : now_ms;
  if (!was_self || key->usable_at_ms < usable_ms)
    key->usable_at_ms = usable_ms;
  schedule_refresh (state, key, now_ms);
}

static void
settle (OwnKey *key)
{
  OwnPending *pending = &key->pending;
  if (pending->state == OWN_PENDING_NONE)
    return;
  /* A record of an epoch that is not above the current one can never win. */
  if (pending->epoch <= key->epoch)
    pending->state = OWN_PENDING_NONE;
}

static void
key_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  OwnKey *key = own_key_find_or_add (state, &record->key);
  switch (record->kind) {
  case OWN_RECORD_CLAIM: {
    /* The first record of a key may stand above epoch 1 where retention removed older ones. */
    bool first = !key->has_owner && record->epoch >= 1;
    /* The owner itself may raise the epoch, when targets know a higher one. */
    bool raise = key->has_owner && record->epoch > key->epoch
                 && gr_vm_ref_equal (&record->writer, &key->owner);
    /* Its writer has not read what this VM knows: retention had removed it. Tell it. */
    if (own_key_is_self (state, key) && record->epoch <= key->epoch
        && !gr_vm_ref_equal (&record->writer, &state->options.self))
      key->refresh_at_ms = now_ms;
    /* A reader that may lack earlier records cannot tell that the epoch does not follow. */
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
    /* A reader that may lack earlier records cannot tell that the writer is not the owner. */
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
  settle (key);
}

void
own_die (OwnState *state, OwnCmds *out)
{
  if (state->dead)
    return;
  state->dead = true;
  for (size_t i = 0; i < state->keys.count; i++) {
    if (own_key_is_self (state, &state->keys.items[i]))
      own_emit_key (out, OWN_CMD_KEY_LOST, &state->keys.items[i]);
  }
  gr_list_push (out, (OwnCmd){ .kind = OWN_CMD_REIDENTIFY });
}

static void
observe_in_log (OwnState *state, const GrVmRef *ref, int64_t now_ms)
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
member_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
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
    /* A new join restarts the count of its absence, so that it ends every older `gone`. */
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
    observe_in_log (state, &record->to, now_ms);
    MbrMember *target = mbr_find (&state->members, &record->to.vm);
    /* It ends only the join that its writer had read: a VM that joined again since is in the list
       again. */
    if (target->log_incarnation != record->to.incarnation || target->log_join > record->epoch)
      break;
    target->log_ended = true;
    if (gr_vm_ref_equal (&record->to, self))
      own_die (state, out);
    break;
  }
  case OWN_RECORD_LEAVE:
    if (newest)
      writer->log_ended = true;
    if (gr_vm_ref_equal (&record->writer, self) && !state->farewell_done) {
      state->farewell.state = OWN_PENDING_NONE;
      state->farewell_done = true;
      state->dead = true;
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
own_log_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out)
{
  if (mbr_ended (&state->members, &record->writer) && !state->options.faults.no_void_rule)
    return;
  observe_in_log (state, &record->writer, now_ms);
  if (gr_name_equal (&record->writer.vm, &state->options.self.vm)
      && record->writer.incarnation > state->options.self.incarnation)
    own_die (state, out);
  switch (record->kind) {
  case OWN_RECORD_JOIN:
  case OWN_RECORD_GONE:
  case OWN_RECORD_LEAVE:
    member_record (state, record, now_ms, out);
    break;
  case OWN_RECORD_CLAIM:
  case OWN_RECORD_HANDOVER:
  case OWN_RECORD_REFRESH:
    key_record (state, record, now_ms, out);
    break;
  }
}
