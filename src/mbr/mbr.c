#include "mbr/mbr.h"

#include <stdlib.h>

void
mbr_init (MbrState *state, const MbrOptions *options)
{
  memset (state, 0, sizeof *state);
  state->options = *options;
  state->list_read_sent_ms = -1;
  state->self_missing = true;
}

void
mbr_clear (MbrState *state)
{
  gr_list_clear (&state->members);
}

/* Returns the index of the first member whose id is not below vm. */
static size_t
lower_bound (const MbrState *state, const GrName *vm)
{
  size_t low = 0, high = state->members.count;
  while (low < high) {
    size_t middle = (low + high) / 2;
    if (gr_name_compare (&state->members.items[middle].ref.vm, vm) < 0)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

MbrMember *
mbr_find (const MbrState *state, const GrName *vm)
{
  size_t i = lower_bound (state, vm);
  if (i < state->members.count && gr_name_equal (&state->members.items[i].ref.vm, vm))
    return &state->members.items[i];
  return NULL;
}

bool
mbr_is_self (const MbrState *state, const MbrMember *member)
{
  return gr_name_equal (&member->ref.vm, &state->options.self.vm);
}

static void
start_incarnation (MbrMember *member, int64_t incarnation, int64_t now_ms)
{
  MbrMember fresh = { .ref = { member->ref.vm, incarnation },
                      .log_incarnation = member->log_incarnation,
                      .log_join = member->log_join,
                      .log_ended = member->log_ended,
                      .predecessor_unresolved = member->predecessor_unresolved
                                                || (member->in_member_set && !member->log_ended
                                                    && member->ref.incarnation < incarnation),
                      .last_seen_ms = now_ms,
                      .live_since_ms = now_ms,
                      .absent_since_ms = -1,
                      .reported_state = member->reported_state,
                      .promise_received_until_ms = INT64_MIN,
                      .promise_given_until_ms = INT64_MIN };
  *member = fresh;
}

MbrMember *
mbr_find_or_add (MbrState *state, const GrVmRef *ref, int64_t now_ms)
{
  size_t i = lower_bound (state, &ref->vm);
  MbrMembers *members = &state->members;
  if (i < members->count && gr_name_equal (&members->items[i].ref.vm, &ref->vm)) {
    if (ref->incarnation > members->items[i].ref.incarnation)
      start_incarnation (&members->items[i], ref->incarnation, now_ms);
    return ref->incarnation < members->items[i].ref.incarnation ? NULL : &members->items[i];
  }
  MbrMember member = { .ref = *ref, .reported_state = MBR_JOINING };
  start_incarnation (&member, ref->incarnation, now_ms);
  gr_list_push (members, member);
  memmove (&members->items[i + 1], &members->items[i],
           (members->count - 1 - i) * sizeof members->items[0]);
  members->items[i] = member;
  return &members->items[i];
}

MbrMember *
mbr_heartbeat_received (MbrState *state, const GrVmRef *from, bool joining, bool leaving,
                        int64_t now_ms)
{
  MbrMember *member = mbr_find_or_add (state, from, now_ms);
  if (!member)
    return NULL;
  member->in_member_set = true;
  member->heartbeat_seen = true;
  member->last_heartbeat_ms = now_ms;
  member->last_seen_ms = now_ms;
  member->joining = joining;
  member->leaving = leaving;
  return member;
}

void
mbr_heartbeat_relayed (MbrState *state, const GrVmRef *vm, int64_t age_ms, int64_t now_ms)
{
  MbrMember *member = mbr_find (state, &vm->vm);
  if (!member || member->ref.incarnation != vm->incarnation || age_ms < 0)
    return;
  if (now_ms - age_ms > member->last_seen_ms)
    member->last_seen_ms = now_ms - age_ms;
}

static const MbrListedVm *
find_listed (const GrVmRef *ref, const MbrListedVm *vms, size_t count)
{
  for (size_t i = 0; i < count; i++) {
    /* A higher incarnation in the list means that the incarnation in ref has ended. */
    if (gr_name_equal (&vms[i].vm, &ref->vm) && vms[i].incarnation <= ref->incarnation)
      return &vms[i];
  }
  return NULL;
}

void
mbr_list_read (MbrState *state, int64_t sent_ms, const MbrListedVm *vms, size_t count,
               int64_t now_ms)
{
  if (sent_ms < state->list_read_sent_ms)
    return;
  /* Measured from the request of the previous read to the response of this one, since a response
     may show the list of any moment between its request and its receipt. */
  bool uninterrupted = state->list_read_sent_ms >= 0
                       && now_ms - state->list_read_sent_ms <= state->options.list_max_age_ms;
  state->list_read_sent_ms = sent_ms;
  const MbrListedVm *self = find_listed (&state->options.self, vms, count);
  state->self_listed = self != NULL;
  state->self_listed_leaving = self && self->leaving;
  if (!self || !uninterrupted) {
    state->self_missing = true;
    state->missing_count++;
  }
  for (size_t i = 0; i < count; i++) {
    GrVmRef ref = { vms[i].vm, vms[i].incarnation };
    if (ref.incarnation > 0 && !gr_name_equal (&ref.vm, &state->options.self.vm))
      mbr_find_or_add (state, &ref, now_ms);
  }
  for (size_t i = 0; i < state->members.count; i++) {
    MbrMember *member = &state->members.items[i];
    const MbrListedVm *listed = find_listed (&member->ref, vms, count);
    member->listed_leaving = listed && listed->leaving;
    if (listed) {
      member->absent_since_ms = -1;
    } else if (member->absent_since_ms < 0 || !uninterrupted) {
      member->absent_since_ms = now_ms;
    }
  }
}

void
mbr_reset_ages (MbrState *state, int64_t now_ms)
{
  for (size_t i = 0; i < state->members.count; i++)
    state->members.items[i].last_seen_ms = now_ms;
}

bool
mbr_ended (const MbrState *state, const GrVmRef *ref)
{
  const MbrMember *member = mbr_find (state, &ref->vm);
  if (!member)
    return false;
  return ref->incarnation < member->log_incarnation
         || (ref->incarnation == member->log_incarnation && member->log_ended);
}

MbrMemberState
mbr_state_of (const MbrState *state, const MbrMember *member, int64_t now_ms)
{
  if (mbr_ended (state, &member->ref))
    return MBR_GONE;
  if (!mbr_is_self (state, member)
      && now_ms - member->last_seen_ms > state->options.suspect_after_ms)
    return MBR_SUSPECTED;
  if (member->leaving || member->listed_leaving)
    return MBR_LEAVING;
  if (member->joining || (!member->heartbeat_seen && !mbr_is_self (state, member)))
    return MBR_JOINING;
  return MBR_LIVE;
}

bool
mbr_may_declare_gone (const MbrState *state, const MbrMember *member, int64_t extra_ms)
{
  if (mbr_is_self (state, member) || mbr_ended (state, &member->ref))
    return false;
  return member->absent_since_ms >= 0
         && state->list_read_sent_ms - member->absent_since_ms
                >= state->options.gone_delay_ms + extra_ms;
}

bool
mbr_in_minority (const MbrState *state, int64_t now_ms)
{
  size_t others = 0, reachable = 0;
  for (size_t i = 0; i < state->members.count; i++) {
    const MbrMember *member = &state->members.items[i];
    if (mbr_is_self (state, member) || !member->in_member_set || mbr_ended (state, &member->ref)
        || member->absent_since_ms >= 0)
      continue;
    others++;
    reachable += member->heartbeat_seen
                 && now_ms - member->last_heartbeat_ms <= state->options.suspect_after_ms;
  }
  return others >= 2 && reachable * 2 < others;
}
