/* Options, keys, leases and the dispatch of messages; see own.h. */
#include "own/own_state.h"

#include <stdlib.h>

_Static_assert((int) MBR_GONE == (int) OWN_MEMBER_GONE, "member states have the same order");

void
own_options_defaults (OwnOptions *options)
{
  if (options->lease_ms == 0)
    options->lease_ms = 3000;
  if (options->margin_ms == 0)
    options->margin_ms = 500;
  if (options->heartbeat_interval_ms == 0)
    options->heartbeat_interval_ms = 500;
  if (options->suspect_after_ms == 0)
    options->suspect_after_ms = 2000;
  if (options->list_max_age_ms == 0)
    options->list_max_age_ms = 5000;
  if (options->list_lag_ms == 0)
    options->list_lag_ms = 5000;
  if (options->handover_interval_ms == 0)
    options->handover_interval_ms = 1000;
  if (options->refresh_interval_ms == 0)
    options->refresh_interval_ms = 1800000;
}

OwnState *
own_new (const OwnOptions *options, GrErr *err)
{
  OwnOptions checked = *options;
  own_options_defaults (&checked);
  if (checked.self.vm.len == 0) {
    gr_err_set (err, GR_ERR_MISSING, "self", "a VM id is required");
    return NULL;
  }
  if (checked.region.len == 0) {
    gr_err_set (err, GR_ERR_MISSING, "region", "a region is required");
    return NULL;
  }
  const struct {
    const char *name;
    int64_t value;
  } times[] = {
    { "lease_ms", checked.lease_ms },
    { "margin_ms", checked.margin_ms },
    { "heartbeat_interval_ms", checked.heartbeat_interval_ms },
    { "suspect_after_ms", checked.suspect_after_ms },
    { "list_max_age_ms", checked.list_max_age_ms },
    { "list_lag_ms", checked.list_lag_ms },
    { "handover_interval_ms", checked.handover_interval_ms },
    { "refresh_interval_ms", checked.refresh_interval_ms },
  };
  for (size_t i = 0; i < sizeof times / sizeof times[0]; i++) {
    if (times[i].value < 0) {
      gr_err_set (err, GR_ERR_INVALID, times[i].name, "must be positive, is %lld",
                  (long long) times[i].value);
      return NULL;
    }
  }
  OwnState *state = gr_calloc (1, sizeof *state);
  state->options = checked;
  /* The VM list read by the declaring VM and the one read by the VM that is declared gone may lag
     by different amounts, so the lag counts twice. The margin covers clock drift. */
  int64_t gone_delay = checked.list_max_age_ms + 2 * checked.list_lag_ms + checked.margin_ms;
  MbrOptions members = { .self = checked.self,
                         .suspect_after_ms = checked.suspect_after_ms,
                         .list_max_age_ms = checked.list_max_age_ms,
                         .gone_delay_ms = checked.faults.no_gone_delay ? 0 : gone_delay };
  mbr_init (&state->members, &members);
  state->random = gr_name_hash (&checked.self.vm, checked.seed);
  state->log_read_sent_ms = -1;
  state->caught_up_ms = -1;
  state->stopping_since_ms = -1;
  return state;
}

void
own_free (OwnState *state)
{
  if (!state)
    return;
  mbr_clear (&state->members);
  gr_list_clear (&state->keys);
  free (state);
}

static size_t
key_lower_bound (const OwnState *state, const GrName *name)
{
  size_t low = 0, high = state->keys.count;
  while (low < high) {
    size_t middle = (low + high) / 2;
    if (gr_name_compare (&state->keys.items[middle].key, name) < 0)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

OwnKey *
own_key_find (const OwnState *state, const GrName *name)
{
  size_t i = key_lower_bound (state, name);
  if (i < state->keys.count && gr_name_equal (&state->keys.items[i].key, name))
    return &state->keys.items[i];
  return NULL;
}

OwnKey *
own_key_find_or_add (OwnState *state, const GrName *name)
{
  size_t i = key_lower_bound (state, name);
  OwnKeys *keys = &state->keys;
  if (i < keys->count && gr_name_equal (&keys->items[i].key, name))
    return &keys->items[i];
  OwnKey key = { .key = *name, .ownerless_since_ms = -1 };
  gr_list_push (keys, key);
  memmove (&keys->items[i + 1], &keys->items[i], (keys->count - 1 - i) * sizeof keys->items[0]);
  keys->items[i] = key;
  return &keys->items[i];
}

bool
own_key_is_self (const OwnState *state, const OwnKey *key)
{
  return key->has_owner && gr_vm_ref_equal (&key->owner, &state->options.self);
}

bool
own_log_fresh (const OwnState *state, int64_t now_ms)
{
  return state->log_read_sent_ms >= 0 && now_ms < state->log_read_sent_ms + state->options.lease_ms;
}

bool
own_joined (const OwnState *state)
{
  return state->join.epoch > 1 || (state->join.epoch == 1 && state->join.state == OWN_PENDING_NONE);
}

int64_t
own_random (OwnState *state, int64_t bound)
{
  /* splitmix64 */
  uint64_t z = (state->random += 0x9e3779b97f4a7c15U);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  z ^= z >> 31;
  return bound > 0 ? (int64_t) (z % (uint64_t) bound) : 0;
}

void
own_emit_key (OwnCmds *out, OwnCmdKind kind, const OwnKey *key)
{
  OwnCmd cmd = { .kind = kind };
  cmd.key.key = key->key;
  cmd.key.epoch = key->epoch;
  gr_list_push (out, cmd);
}

/* Returns true while no other VM can have become owner of a key that this VM owns by its own
   reading of the log. A key that a promise request excluded is not covered by promises until the
   log has been read again. */
static bool
lease_holds (const OwnState *state, const OwnKey *key, int64_t now_ms)
{
  if (own_log_fresh (state, now_ms) || state->options.faults.no_read_age_check)
    return true;
  bool covered
      = key->promise_excluded_ms == 0 || key->promise_excluded_ms < state->log_read_sent_ms;
  return covered && own_peer_promises_hold (state, now_ms);
}

void
own_key_advance (OwnState *state, OwnKey *key, int64_t now_ms, OwnCmds *out)
{
  if (key->gained || !own_key_is_self (state, key) || state->ended || now_ms < key->usable_at_ms
      || !lease_holds (state, key, now_ms))
    return;
  if (key->pending.state != OWN_PENDING_NONE && key->pending.kind == OWN_RECORD_HANDOVER)
    return;
  bool has_targets = gr_str_starts_with (gr_name_str (&key->key), GR_STR ("group/"));
  if (has_targets && !key->inventory_taken) {
    if (!key->inventory_sent)
      own_emit_key (out, OWN_CMD_TAKE_INVENTORY, key);
    key->inventory_sent = true;
    return;
  }
  key->gained = true;
  key->gained_ms = now_ms;
  own_emit_key (out, OWN_CMD_KEY_GAINED, key);
}

static void
set_keys (OwnState *state, const GrName *keys, size_t count)
{
  for (size_t i = 0; i < state->keys.count; i++)
    state->keys.items[i].configured = false;
  for (size_t i = 0; i < count; i++)
    own_key_find_or_add (state, &keys[i])->configured = true;
}

static void
list_read (OwnState *state, const OwnMsg *msg, int64_t now_ms)
{
  GR_LIST (MbrListedVm) listed = { 0 };
  for (size_t i = 0; i < msg->list_read.count; i++) {
    const OwnListedVm *vm = &msg->list_read.vms[i];
    gr_list_push (&listed, (MbrListedVm){ vm->vm, vm->incarnation, vm->leaving });
  }
  mbr_list_read (&state->members, msg->list_read.sent_ms, listed.items, listed.count, now_ms);
  gr_list_clear (&listed);
}

static void
report_members (OwnState *state, int64_t now_ms, OwnCmds *out)
{
  for (size_t i = 0; i < state->members.members.count; i++) {
    MbrMember *member = &state->members.members.items[i];
    MbrMemberState now = mbr_state_of (&state->members, member, now_ms);
    if (now == member->reported_state)
      continue;
    member->reported_state = now;
    if (now == MBR_LIVE)
      member->live_since_ms = now_ms;
    OwnCmd cmd = { .kind = OWN_CMD_MEMBER_STATE };
    cmd.member.vm = member->ref;
    cmd.member.state = (OwnMemberState) now;
    gr_list_push (out, cmd);
  }
}

void
own_step (OwnState *state, const OwnMsg *msg, int64_t now_ms, OwnCmds *out)
{
  switch (msg->kind) {
  case OWN_MSG_TICK:
    if (state->ended)
      break;
    for (size_t i = 0; i < state->keys.count; i++)
      own_key_advance (state, &state->keys.items[i], now_ms, out);
    own_rules_tick (state, now_ms, out);
    if (state->ended)
      break;
    own_peer_tick (state, now_ms, out);
    report_members (state, now_ms, out);
    break;
  case OWN_MSG_KEYS:
    set_keys (state, msg->keys.keys, msg->keys.count);
    break;
  case OWN_MSG_LIST_READ:
    list_read (state, msg, now_ms);
    break;
  case OWN_MSG_RECORD:
    own_log_apply (state, &msg->record, now_ms, out);
    break;
  case OWN_MSG_LOG_READ:
    if (msg->log_read.sent_ms > state->log_read_sent_ms)
      state->log_read_sent_ms = msg->log_read.sent_ms;
    if (state->caught_up_ms < 0)
      state->caught_up_ms = now_ms;
    for (size_t i = 0; i < state->keys.count; i++)
      own_key_advance (state, &state->keys.items[i], now_ms, out);
    break;
  case OWN_MSG_APPEND_RESULT:
    own_rules_append_result (state, msg->append_result.token, msg->append_result.outcome, now_ms,
                             out);
    break;
  case OWN_MSG_HEARTBEAT:
    if (!state->ended)
      own_peer_heartbeat (state, msg->heartbeat, now_ms, out);
    break;
  case OWN_MSG_INVENTORY_DONE: {
    OwnKey *key = own_key_find (state, &msg->inventory_done.key);
    if (!key || !key->inventory_sent || key->epoch != msg->inventory_done.epoch)
      break;
    key->inventory_taken = true;
    own_key_advance (state, key, now_ms, out);
    break;
  }
  case OWN_MSG_STOP:
    if (state->stopping_since_ms < 0)
      state->stopping_since_ms = now_ms;
    if (!state->ended)
      own_rules_stop (state, now_ms, out);
    break;
  case OWN_MSG_STALE_EPOCH: {
    OwnKey *key = own_key_find (state, &msg->stale_epoch.key);
    if (key && msg->stale_epoch.fence_epoch > key->fence_epoch)
      key->fence_epoch = msg->stale_epoch.fence_epoch;
    break;
  }
  }
}

bool
own_in_promise_mode (const OwnState *state, int64_t now_ms)
{
  return !state->ended && !own_log_fresh (state, now_ms) && own_peer_promises_hold (state, now_ms);
}

bool
own_may_start (const OwnState *state, const GrName *name, int64_t now_ms)
{
  const OwnKey *key = own_key_find (state, name);
  if (!key || state->ended || !own_key_is_self (state, key) || !key->gained)
    return false;
  /* Once a handover or leave record may be in the log, the next owner may start without waiting. */
  bool moving = key->pending.state != OWN_PENDING_NONE && key->pending.kind == OWN_RECORD_HANDOVER
                && !state->options.faults.act_on_moving_key;
  if (moving || state->leave.state != OWN_PENDING_NONE)
    return false;
  /* Retention may have removed the newest record of this ownership. */
  if (now_ms - key->recorded_ms
      >= state->options.refresh_interval_ms + state->options.refresh_interval_ms / 2)
    return false;
  return lease_holds (state, key, now_ms);
}

bool
own_owner (const OwnState *state, const GrName *name, GrVmRef *owner, int64_t *epoch)
{
  const OwnKey *key = own_key_find (state, name);
  if (!key || !key->has_owner || mbr_ended (&state->members, &key->owner))
    return false;
  if (owner)
    *owner = key->owner;
  if (epoch)
    *epoch = key->epoch;
  return true;
}

bool
own_is_self (const OwnState *state, const GrName *name)
{
  const OwnKey *key = own_key_find (state, name);
  return key && !state->ended && own_key_is_self (state, key);
}

OwnMemberState
own_member_state (const OwnState *state, const GrVmRef *vm)
{
  const MbrMember *member = mbr_find (&state->members, &vm->vm);
  if (!member)
    return OWN_MEMBER_JOINING;
  if (vm->incarnation < member->ref.incarnation)
    return OWN_MEMBER_GONE;
  return (OwnMemberState) member->reported_state;
}

size_t
own_members (const OwnState *state, GrVmRef *out, size_t max)
{
  size_t count = 0;
  for (size_t i = 0; i < state->members.members.count && count < max; i++) {
    const MbrMember *member = &state->members.members.items[i];
    if (member->reported_state == MBR_LIVE)
      out[count++] = member->ref;
  }
  return count;
}

size_t
own_key_count (const OwnState *state)
{
  size_t count = 0;
  for (size_t i = 0; i < state->keys.count; i++)
    count += own_key_is_self (state, &state->keys.items[i]) && !state->ended;
  return count;
}

void
own_cmds_reset (OwnCmds *cmds)
{
  for (size_t i = 0; i < cmds->count; i++) {
    if (cmds->items[i].kind == OWN_CMD_HEARTBEAT)
      free (cmds->items[i].heartbeat.heartbeat);
  }
  gr_list_reset (cmds);
}

void
own_cmds_clear (OwnCmds *cmds)
{
  own_cmds_reset (cmds);
  gr_list_clear (cmds);
}
