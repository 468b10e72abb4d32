/* I/O of the simulated region: peer links, appends and reads of the log, reads of the list. */
#pragma once

#include "own_world.hh"

extern "C" {
#include "own/own_state.h"
}

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace own_test
{

inline void
World::send_heartbeat (int from, const OwnCmd &cmd)
{
  int to = -1;
  for (size_t j = 0; j < m_vms.size (); j++) {
    if (gr_name_equal (&m_vms[j].name, &cmd.heartbeat.to.vm))
      to = (int) j;
  }
  if (to < 0 || to == from || !link_up (from, to) || !m_vms[(size_t) to].up
      || m_vms[(size_t) to].incarnation != cmd.heartbeat.to.incarnation)
    return;
  bool slow = vm_fault (FAULT_SLOW_LINKS, from) || vm_fault (FAULT_SLOW_LINKS, to);
  bool reliable = m_schedule.reliable_network || m_now >= m_faults_end;
  if (!reliable && m_rng.chance (slow ? 200 : 10))
    return;
  int copies = !reliable && m_rng.chance (slow ? 200 : 10) ? 2 : 1;
  auto heartbeat = std::make_shared<OwnHeartbeat> ();
  /* The unused part of the peers list is not copied. */
  memcpy (heartbeat.get (), cmd.heartbeat.heartbeat,
          offsetof (OwnHeartbeat, peers)
              + cmd.heartbeat.heartbeat->peer_count * sizeof (OwnPeerAge));
  for (int n = 0; n < copies; n++) {
    int64_t delay = m_rng.range (1, 15);
    if (slow)
      delay = m_rng.range (1, 2000);
    else if (!reliable && m_rng.chance (5))
      delay = m_rng.range (500, 6000);
    push_event ({ m_now + delay, 0, EVENT_HEARTBEAT, to, m_vms[(size_t) to].generation, 0, 0, 0,
                  heartbeat, nullptr });
  }
}

inline void
World::append (int from, const OwnCmd &cmd)
{
  auto record = std::make_shared<OwnRecord> (cmd.append.record);
  auto reach_log_at = [&] (int64_t at) {
    push_event ({ at, 0, EVENT_APPEND_REACHES_LOG, -1, 0, 0, 0, 0, nullptr, record });
  };
  int64_t token = cmd.append.token;
  int64_t late
      = m_schedule.late_append_ms >= 0 ? m_schedule.late_append_ms : m_rng.range (1000, 15000);
  const Fault *outage = nullptr;
  for (const Fault &fault : m_schedule.faults) {
    if (active (fault, FAULT_STORE_DOWN) || (fault.vm == from && active (fault, FAULT_STORE_CUT)))
      outage = &fault;
  }
  if (vm_fault (FAULT_APPEND_LATE, from)) {
    if (m_rng.chance (800)) {
      reach_log_at (m_now + late);
      m_faults_end = std::max (m_faults_end, m_now + late);
    }
    push (m_now + RPC_TIMEOUT_MS, EVENT_APPEND_RESULT, from, token, OWN_APPEND_UNKNOWN);
    return;
  }
  if (outage) {
    switch (outage->mode % 4) {
    case 0: /* refused */
      push (m_now + 10, EVENT_APPEND_RESULT, from, token, OWN_APPEND_FAILED);
      return;
    case 1: /* the request is lost */
      break;
    case 2: /* the response is lost */
      reach_log_at (m_now + 10);
      break;
    case 3: /* the append is delayed on its way */
      reach_log_at (m_now + late);
      m_faults_end = std::max (m_faults_end, m_now + late);
      break;
    }
    push (m_now + RPC_TIMEOUT_MS, EVENT_APPEND_RESULT, from, token, OWN_APPEND_UNKNOWN);
    return;
  }
  int64_t delay = m_rng.range (2, 30);
  reach_log_at (m_now + delay);
  if (!m_schedule.reliable_network && m_now < m_faults_end && m_rng.chance (10))
    push (m_now + RPC_TIMEOUT_MS, EVENT_APPEND_RESULT, from, token, OWN_APPEND_UNKNOWN);
  else
    push (m_now + delay + m_rng.range (2, 30), EVENT_APPEND_RESULT, from, token,
          OWN_APPEND_COMMITTED);
}

inline void
World::append_to_log (const OwnRecord &record)
{
  if (m_schedule.trace) {
    static const char *const kinds[]
        = { "join", "claim", "handover", "gone", "farewell", "refresh" };
    fprintf (stderr, "%8lld log %s %.*s/%lld key %.*s epoch %lld to %.*s/%lld\n", (long long) m_now,
             kinds[record.kind], GR_NAME_ARG (record.writer.vm),
             (long long) record.writer.incarnation, GR_NAME_ARG (record.key),
             (long long) record.epoch, GR_NAME_ARG (record.to.vm),
             (long long) record.to.incarnation);
  }
  m_log.push_back ({ record, m_now });
  m_verdict.handovers += record.kind == OWN_RECORD_HANDOVER;
  m_verdict.claims += record.kind == OWN_RECORD_CLAIM;
  m_verdict.gone_records += record.kind == OWN_RECORD_GONE;
  const OwnKey *known = own_key_find (m_observer, &record.key);
  int64_t log_epoch_before = known ? known->epoch : 0;
  int64_t before[KEY_COUNT] = {};
  GrVmRef owner;
  for (int k = 0; k < KEY_COUNT; k++)
    own_owner (m_observer, &m_keys[k], &owner, &before[k]);
  OwnMsg msg = {};
  msg.kind = OWN_MSG_RECORD;
  msg.record = record;
  OwnCmds cmds = {};
  own_step (m_observer, &msg, m_now + 2 * WARM_UP_MS, &cmds);
  own_cmds_clear (&cmds);
  for (int k = 0; k < KEY_COUNT; k++) {
    int64_t after = 0;
    if (!own_owner (m_observer, &m_keys[k], &owner, &after))
      continue;
    if (after < before[k])
      report_violation ("the epoch of a key fell in the log");
  }
  check_ended_writer (record, log_epoch_before);
}

/* Checks that a record that reaches the log after the gone or leave record of its writer changes no
   owner. */
inline void
World::check_ended_writer (const OwnRecord &record, int64_t before)
{
  bool ended = false;
  for (const GrVmRef &ref : m_ended)
    ended = ended || gr_vm_ref_equal (&ref, &record.writer);
  /* The join of a later process on the same VM ends the earlier one. */
  for (const GrVmRef &ref : m_joined)
    ended = ended
            || (gr_name_equal (&ref.vm, &record.writer.vm)
                && ref.incarnation > record.writer.incarnation);
  if (record.kind == OWN_RECORD_JOIN)
    m_joined.push_back (record.writer);
  if (record.kind == OWN_RECORD_LEAVE)
    m_ended.push_back (record.writer);
  if (record.kind == OWN_RECORD_GONE && mbr_ended (&m_observer->members, &record.to))
    m_ended.push_back (record.to);
  const OwnKey *key = own_key_find (m_observer, &record.key);
  if (ended && key && key->epoch == record.epoch && before < record.epoch
      && gr_vm_ref_equal (&key->owner, &record.writer))
    report_violation ("a record by a VM that had ended took a key");
}

inline void
World::apply_log_read (const Event &event)
{
  int i = event.vm;
  int64_t generation = m_vms[(size_t) i].generation;
  /* a: local time of the request; b: end of the log in the response; c: first retained offset. */
  if (event.c > m_vms[(size_t) i].read_next) {
    /* Retention has removed records that this VM has not read, so it restarts. */
    end_process (i);
    push (m_now + 200, EVENT_BOOT, i);
    return;
  }
  while (m_vms[(size_t) i].read_next < event.b) {
    OwnMsg msg = {};
    msg.kind = OWN_MSG_RECORD;
    msg.record = m_log[(size_t) m_vms[(size_t) i].read_next++].record;
    step (i, &msg);
    Vm &vm = m_vms[(size_t) i];
    if (!vm.up || vm.generation != generation)
      return;
    for (int k = 0; k < KEY_COUNT; k++) {
      int64_t epoch = 0;
      GrVmRef owner;
      if (!own_owner (vm.own, &m_keys[k], &owner, &epoch))
        continue;
      if (epoch < vm.epochs[k])
        report_violation ("the epoch of a key fell for a reader");
      vm.epochs[k] = epoch;
    }
  }
  OwnMsg msg = {};
  msg.kind = OWN_MSG_LOG_READ;
  msg.log_read.sent_ms = event.a;
  step (i, &msg);
}

inline void
World::apply_list_read (const Event &event)
{
  Vm &vm = m_vms[(size_t) event.vm];
  /* b: time of the list state that the response shows. */
  std::vector<OwnListedVm> listed;
  for (const Vm &other : m_vms) {
    const ListState *shown = nullptr;
    for (const ListState &state : other.list_history) {
      if (state.at <= event.b)
        shown = &state;
    }
    if (shown && shown->present)
      listed.push_back ({ other.name, m_list_shows_incarnation ? shown->incarnation : 0, false });
  }
  vm.list_shown_at = std::max (vm.list_shown_at, event.b);
  OwnMsg msg = {};
  msg.kind = OWN_MSG_LIST_READ;
  msg.list_read.sent_ms = event.a;
  msg.list_read.vms = listed.data ();
  msg.list_read.count = listed.size ();
  step (event.vm, &msg);
}

} // namespace own_test
