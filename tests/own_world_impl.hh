/* Implementation of own_world.hh, included by the property tests that use it. */
#pragma once

#include "own_world.hh"
#include "own_world_ports.hh"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace own_test
{

inline World::World (const Schedule &schedule, const OwnFaults &faults)
    : m_schedule (schedule), m_faults (faults), m_rng{ schedule.seed }
{
  m_now = -WARM_UP_MS;
  for (int k = 0; k < KEY_COUNT; k++) {
    /* One key with targets, which are fenced by epoch, and one without. */
    m_keys[k] = gr_name (k == 0 ? "group/r1/g0" : "part/r1/00");
    m_last_starter_at[k] = INT64_MIN;
  }
  m_list_shows_incarnation = m_rng.chance (500);
  m_vms.resize ((size_t) schedule.vm_count);
  for (int i = 0; i < schedule.vm_count; i++) {
    Vm &vm = m_vms[(size_t) i];
    vm.name = gr_name_format ("e%d", i);
    vm.rate_ppm = m_rng.range (-schedule.max_rate_ppm, schedule.max_rate_ppm);
    vm.lag_ms = schedule.list_lag_ms >= 0
                    ? schedule.list_lag_ms
                    : (m_rng.chance (500) ? m_rng.range (0, MAX_LAG_MS) : 200);
    vm.list_history.push_back ({ INT64_MIN / 2, false, 0 });
    int64_t boot_at = m_now + m_rng.range (0, 400);
    for (const Fault &fault : m_schedule.faults) {
      if (fault.kind == FAULT_LATE_BOOT && fault.vm == i)
        boot_at = fault.start_ms + fault.length_ms;
    }
    push (boot_at, EVENT_BOOT, i, vm.generation);
  }
  for (size_t f = 0; f < m_schedule.faults.size (); f++) {
    const Fault &fault = m_schedule.faults[f];
    push (fault.start_ms, EVENT_FAULT_START, -1, (int64_t) f);
    m_faults_end = std::max (m_faults_end, (int64_t) fault.start_ms + fault.length_ms);
  }
  OwnOptions options = {};
  options.self.vm = gr_name ("observer");
  options.self.incarnation = 1;
  options.region = gr_name ("r1");
  options.faults = m_faults;
  m_observer = own_new (&options, nullptr);
  push (m_now + 50, EVENT_MONITOR, -1);
}

inline World::~World ()
{
  for (Vm &vm : m_vms)
    own_free (vm.own);
  own_free (m_observer);
}

inline void
World::push_event (Event event)
{
  event.order = m_order++;
  m_events.push (std::move (event));
}

inline void
World::push (int64_t at, EventKind kind, int vm, int64_t a, int64_t b, int64_t c)
{
  int64_t generation = vm >= 0 ? m_vms[(size_t) vm].generation : 0;
  push_event ({ at, 0, kind, vm, generation, a, b, c, nullptr, nullptr });
}

inline int64_t
World::local (const Vm &vm, int64_t at) const
{
  int64_t age = at - vm.boot_at;
  return 100000 + age + age * vm.rate_ppm / 1000000;
}

inline void
World::report_violation (const std::string &text)
{
  if (m_verdict.violation.empty ())
    m_verdict.violation = "at " + std::to_string (m_now) + " ms: " + text;
}

inline bool
World::active (const Fault &fault, FaultKind kind) const
{
  return fault.kind == kind && m_now >= fault.start_ms && m_now < fault.start_ms + fault.length_ms;
}

inline bool
World::vm_fault (FaultKind kind, int vm) const
{
  for (const Fault &fault : m_schedule.faults) {
    if (fault.vm == vm && active (fault, kind))
      return true;
  }
  return false;
}

inline bool
World::link_up (int a, int b) const
{
  if (vm_fault (FAULT_ISOLATE, a) || vm_fault (FAULT_ISOLATE, b))
    return false;
  for (const Fault &fault : m_schedule.faults) {
    if (active (fault, FAULT_LINK_CUT)
        && ((fault.vm == a && fault.peer == b) || (fault.vm == b && fault.peer == a)))
      return false;
  }
  return true;
}

inline bool
World::store_reachable (int vm) const
{
  for (const Fault &fault : m_schedule.faults) {
    if (active (fault, FAULT_STORE_DOWN) || (fault.vm == vm && active (fault, FAULT_STORE_CUT)))
      return false;
  }
  return true;
}

inline void
World::show_in_list (int i, bool present)
{
  Vm &vm = m_vms[(size_t) i];
  vm.list_history.push_back ({ m_now, present, vm.incarnation });
}

inline void
World::boot (int i)
{
  Vm &vm = m_vms[(size_t) i];
  if (vm.up)
    return;
  vm.up = true;
  vm.may_run = true;
  vm.stopping = false;
  vm.paused_until = INT64_MIN;
  vm.boot_at = m_now;
  vm.incarnation = 1000000 + m_now;
  vm.list_shown_at = INT64_MIN;
  std::fill_n (vm.epochs, KEY_COUNT, 0);
  OwnOptions options = {};
  options.self.vm = vm.name;
  options.self.incarnation = vm.incarnation;
  options.region = gr_name ("r1");
  options.seed = m_schedule.seed;
  options.refresh_interval_ms = m_schedule.refresh_ms;
  options.list_max_age_ms = m_schedule.list_max_age_ms;
  options.list_lag_ms = m_schedule.list_lag_option_ms;
  options.faults = m_faults;
  vm.own = own_new (&options, nullptr);
  vm.read_next = first_retained ();
  if (!vm_fault (FAULT_LIST_DROP, i))
    show_in_list (i, true);
  OwnMsg keys = {};
  keys.kind = OWN_MSG_KEYS;
  keys.keys.keys = m_keys;
  keys.keys.count = KEY_COUNT;
  step (i, &keys);
  push (m_now + m_rng.range (0, TICK_MS), EVENT_TICK, i);
  push (m_now + 1, EVENT_READ_SEND, i);
  push (m_now + m_rng.range (1, LIST_INTERVAL_MS), EVENT_LIST_SEND, i);
}

inline void
World::end_process (int i)
{
  Vm &vm = m_vms[(size_t) i];
  if (!vm.up)
    return;
  vm.up = false;
  vm.generation++;
  own_free (vm.own);
  vm.own = nullptr;
}

inline int
World::key_index (const GrName &key) const
{
  for (int k = 0; k < KEY_COUNT; k++) {
    if (gr_name_equal (&m_keys[k], &key))
      return k;
  }
  return -1;
}

inline int64_t
World::first_retained () const
{
  if (m_schedule.retention_ms == 0)
    return 0;
  size_t first = 0;
  while (first < m_log.size () && m_log[first].at < m_now - m_schedule.retention_ms)
    first++;
  return (int64_t) first;
}

inline void
World::step (int i, OwnMsg *msg)
{
  Vm &vm = m_vms[(size_t) i];
  m_verdict.steps++;
  OwnCmds cmds = {};
  own_step (vm.own, msg, local (vm, m_now), &cmds);
  int64_t generation = vm.generation;
  execute (i, &cmds);
  own_cmds_clear (&cmds);
  if (vm.up && vm.generation == generation)
    check_starters (i);
}

/* At most one VM may start work on a key. Paused VMs are not compared, since they cannot start. */
inline void
World::check_starters (int i)
{
  Vm &vm = m_vms[(size_t) i];
  for (int k = 0; k < KEY_COUNT; k++) {
    if (!own_may_start (vm.own, &m_keys[k], local (vm, m_now)))
      continue;
    GrVmRef owner;
    int64_t epoch = 0;
    own_owner (vm.own, &m_keys[k], &owner, &epoch);
    /* A key without targets begins again at epoch 1 when retention has removed all its records:
       no record with the old epoch remains, and its owner has ended its incarnation. */
    if (epoch < m_started_epoch[k] && (k == 0 || m_schedule.retention_ms == 0)) {
      m_verdict.two_starters = true;
      report_violation ("start on epoch " + std::to_string (epoch) + " after a start on epoch "
                        + std::to_string (m_started_epoch[k]));
    }
    m_started_epoch[k] = std::max (m_started_epoch[k], epoch);
    if (k == 0 && epoch < m_fence[k])
      report_violation ("a VM may start below the fence of the targets");
    m_verdict.promise_starts += own_in_promise_mode (vm.own, local (vm, m_now));
    for (size_t j = 0; j < m_vms.size (); j++) {
      const Vm &other = m_vms[j];
      if ((int) j != i && other.up && m_now >= other.paused_until
          && own_may_start (other.own, &m_keys[k], local (other, m_now))) {
        m_verdict.two_starters = true;
        report_violation ("e" + std::to_string (i) + " and e" + std::to_string (j)
                          + " may both start on key " + std::to_string (k));
      }
    }
    /* A start is sent after its check. A pause between the two may delay it past the lease. */
    if (k == 0 && m_rng.chance (100)) {
      int64_t delay = m_rng.chance (100) ? m_rng.range (1000, 15000) : m_rng.range (1, 20);
      push (m_now + delay, EVENT_START_ARRIVE, -1, k, epoch);
    }
  }
}

inline void
World::execute (int i, OwnCmds *cmds)
{
  for (size_t c = 0; c < cmds->count; c++) {
    const OwnCmd &cmd = cmds->items[c];
    Vm &vm = m_vms[(size_t) i];
    if (m_schedule.trace && cmd.kind != OWN_CMD_HEARTBEAT) {
      static const char *const kinds[]
          = { "append", "", "inventory", "gained", "lost", "member", "reidentify", "stopped" };
      const GrName &name = cmd.kind == OWN_CMD_MEMBER_STATE ? cmd.member.vm.vm : cmd.key.key;
      if (cmd.kind == OWN_CMD_APPEND)
        fprintf (stderr, "%8lld e%d append kind %d %.*s\n", (long long) m_now, i,
                 cmd.append.record.kind, GR_NAME_ARG (cmd.append.record.key));
      else
        fprintf (stderr, "%8lld e%d %s %.*s %d\n", (long long) m_now, i, kinds[cmd.kind],
                 GR_NAME_ARG (name),
                 cmd.kind == OWN_CMD_MEMBER_STATE ? (int) cmd.member.state : (int) cmd.key.epoch);
    }
    switch (cmd.kind) {
    case OWN_CMD_APPEND:
      append (i, cmd);
      break;
    case OWN_CMD_HEARTBEAT:
      send_heartbeat (i, cmd);
      break;
    case OWN_CMD_TAKE_INVENTORY:
      push (m_now + m_rng.range (1, 30), EVENT_INVENTORY_ARRIVE, i, key_index (cmd.key.key),
            cmd.key.epoch);
      break;
    case OWN_CMD_KEY_GAINED:
      if (key_index (cmd.key.key) == 0 && cmd.key.epoch < m_fence[0])
        report_violation ("a key was gained below the fence of its targets");
      break;
    case OWN_CMD_KEY_LOST:
    case OWN_CMD_MEMBER_STATE:
      break;
    case OWN_CMD_REIDENTIFY:
      end_process (i);
      if (vm.may_run)
        push (m_now + 200, EVENT_BOOT, i);
      return;
    case OWN_CMD_STOPPED:
      end_process (i);
      show_in_list (i, false);
      return;
    }
  }
}

inline void
World::start_fault (const Fault &fault)
{
  Vm &vm = m_vms[(size_t) fault.vm];
  int64_t end = (int64_t) fault.start_ms + fault.length_ms;
  switch ((FaultKind) fault.kind) {
  case FAULT_PAUSE:
    if (vm.up)
      vm.paused_until = std::max (vm.paused_until, end);
    break;
  case FAULT_CRASH:
    /* Mode 0: the VM does not come back. */
    end_process (fault.vm);
    vm.may_run = false;
    if (fault.mode % 4 == 0)
      show_in_list (fault.vm, false);
    else
      push (end, EVENT_BOOT, fault.vm);
    break;
  case FAULT_STOP:
    if (vm.up) {
      vm.may_run = false;
      push_event ({ std::max (m_now, vm.paused_until), 0, EVENT_TICK, fault.vm, vm.generation, 1, 0,
                    0, nullptr, nullptr });
      push_event ({ end, 0, EVENT_BOOT, fault.vm, -1, 1, 0, 0, nullptr, nullptr });
    }
    break;
  case FAULT_LIST_DROP:
    if (vm.up) {
      show_in_list (fault.vm, false);
      push_event ({ end, 0, EVENT_FAULT_START, fault.vm, -1, -1, 0, 0, nullptr, nullptr });
    }
    break;
  case FAULT_LINK_CUT:
  case FAULT_ISOLATE:
  case FAULT_STORE_DOWN:
  case FAULT_STORE_CUT:
  case FAULT_APPEND_LATE:
  case FAULT_LIST_CUT:
  case FAULT_SLOW_LINKS:
  case FAULT_LATE_BOOT:
  case FAULT_KIND_COUNT:
    break;
  }
}

inline bool
World::acknowledged_by (int vm, const GrVmRef &owner) const
{
  for (const Ack &ack : m_acks) {
    if (ack.vm == vm && ack.generation == m_vms[(size_t) vm].generation
        && gr_vm_ref_equal (&ack.by, &owner))
      return true;
  }
  return false;
}

/* Measures the time in which no VM may start on a key, and checks that it is bounded once the
   faults have ended. */
inline void
World::monitor ()
{
  for (int k = 0; k < KEY_COUNT; k++) {
    bool started = false;
    for (const Vm &vm : m_vms)
      started = started
                || (vm.up && m_now >= vm.paused_until
                    && own_may_start (vm.own, &m_keys[k], local (vm, m_now)));
    if (started) {
      if (m_last_starter_at[k] != INT64_MIN)
        m_verdict.max_gap_ms = std::max (m_verdict.max_gap_ms, m_now - m_last_starter_at[k]);
      m_last_starter_at[k] = m_now;
      continue;
    }
    bool any_up = false, reachable = false;
    GrVmRef owner;
    bool owned = own_owner (m_observer, &m_keys[k], &owner, nullptr);
    for (size_t j = 0; j < m_vms.size (); j++) {
      const Vm &vm = m_vms[j];
      if (!vm.up)
        continue;
      any_up = true;
      reachable = reachable || !owned || acknowledged_by ((int) j, owner)
                  || (gr_name_equal (&owner.vm, &vm.name) && owner.incarnation == vm.incarnation);
    }
    if (!reachable || m_now < m_faults_end)
      m_claimable_since[k] = m_now;
    int64_t bound = reachable ? LIVENESS_MS : GONE_LIVENESS_MS;
    int64_t since = std::max (m_faults_end, m_last_starter_at[k]);
    if (reachable)
      since = std::max (since, m_claimable_since[k]);
    if (any_up && m_now - since > bound)
      report_violation ("key " + std::to_string (k) + " has no owner "
                        + std::to_string (m_now - since) + " ms after the faults ended");
  }
}

/* Checks that all VMs that have read the log to its end derive the same owners as the observer,
   which has read the whole log. With retention they are compared with each other, since the
   observer has records that no VM may have read. */
inline void
World::check_agreement ()
{
  const OwnState *reference_reader = m_schedule.retention_ms > 0 ? nullptr : m_observer;
  for (size_t j = 0; j < m_vms.size (); j++) {
    const Vm &vm = m_vms[j];
    if (!vm.up || vm.read_next < (int64_t) m_log.size ())
      continue;
    if (!reference_reader)
      reference_reader = vm.own;
    for (int k = 0; k < KEY_COUNT; k++) {
      GrVmRef mine = {}, reference = {};
      int64_t my_epoch = 0, epoch = 0;
      bool has = own_owner (vm.own, &m_keys[k], &mine, &my_epoch);
      bool should = own_owner (reference_reader, &m_keys[k], &reference, &epoch);
      if (has != should || my_epoch != epoch || (has && !gr_vm_ref_equal (&mine, &reference)))
        report_violation ("e" + std::to_string (j) + " and another reader of the log differ on key "
                          + std::to_string (k));
    }
  }
}

inline Verdict
World::run ()
{
  int64_t end_fixed = m_schedule.end_ms;
  while (!m_events.empty () && m_verdict.violation.empty ()) {
    Event event = m_events.top ();
    m_events.pop ();
    int64_t end = end_fixed > 0 ? end_fixed : m_faults_end + LIVENESS_MS + 500;
    if (event.at > end)
      break;
    m_now = event.at;
    if (event.vm >= 0 && event.kind != EVENT_BOOT && event.kind != EVENT_FAULT_START
        && event.kind != EVENT_INVENTORY_ARRIVE) {
      Vm &vm = m_vms[(size_t) event.vm];
      if (!vm.up || vm.generation != event.generation)
        continue;
      if (m_now < vm.paused_until) {
        /* Processed after the pause, in random order. */
        event.at = vm.paused_until + m_rng.range (0, 30);
        push_event (event);
        continue;
      }
    }
    switch (event.kind) {
    case EVENT_TICK: {
      OwnMsg msg = {};
      msg.kind = event.a == 1 ? OWN_MSG_STOP : OWN_MSG_TICK;
      if (event.a != 1)
        push (m_now + TICK_MS, EVENT_TICK, event.vm);
      step (event.vm, &msg);
      break;
    }
    case EVENT_READ_SEND: {
      Vm &vm = m_vms[(size_t) event.vm];
      if (!store_reachable (event.vm)) {
        push (m_now + RPC_TIMEOUT_MS, EVENT_READ_SEND, event.vm);
        break;
      }
      /* The response has the log as of the arrival of the request. */
      bool reliable = m_schedule.reliable_network || m_now >= m_faults_end;
      int64_t delay
          = !reliable && m_rng.chance (20) ? m_rng.range (100, 5000) : m_rng.range (2, 30);
      push (m_now + delay, EVENT_READ_RESPONSE, event.vm, local (vm, m_now),
            (int64_t) m_log.size (), first_retained ());
      push (m_now + std::max (delay + 1, READ_INTERVAL_MS), EVENT_READ_SEND, event.vm);
      break;
    }
    case EVENT_READ_RESPONSE:
      apply_log_read (event);
      break;
    case EVENT_LIST_SEND: {
      Vm &vm = m_vms[(size_t) event.vm];
      push (m_now + LIST_INTERVAL_MS, EVENT_LIST_SEND, event.vm);
      if (vm_fault (FAULT_LIST_CUT, event.vm))
        break;
      int64_t lag = m_schedule.list_lag_ms >= 0 ? vm.lag_ms : m_rng.range (0, vm.lag_ms);
      if (m_schedule.list_lag_extremes)
        lag = m_rng.chance (500) ? 0 : MAX_LAG_MS;
      int64_t shown = std::max (m_now - lag, vm.list_shown_at);
      push (m_now + m_rng.range (2, 30), EVENT_LIST_RESPONSE, event.vm, local (vm, m_now), shown);
      break;
    }
    case EVENT_LIST_RESPONSE:
      apply_list_read (event);
      break;
    case EVENT_APPEND_REACHES_LOG:
      append_to_log (*event.record);
      break;
    case EVENT_APPEND_RESULT: {
      OwnMsg msg = {};
      msg.kind = OWN_MSG_APPEND_RESULT;
      msg.append_result.token = event.a;
      msg.append_result.outcome = (OwnAppendOutcome) event.b;
      step (event.vm, &msg);
      break;
    }
    case EVENT_HEARTBEAT: {
      const OwnHeartbeat &heartbeat = *event.heartbeat;
      Vm &vm = m_vms[(size_t) event.vm];
      for (size_t p = 0; p < heartbeat.peer_count; p++) {
        const OwnPeerAge &peer = heartbeat.peers[p];
        if (peer.acknowledged && gr_name_equal (&peer.vm.vm, &vm.name)
            && peer.vm.incarnation == vm.incarnation && !acknowledged_by (event.vm, heartbeat.from))
          m_acks.push_back ({ event.vm, vm.generation, heartbeat.from });
      }
      OwnMsg msg = {};
      msg.kind = OWN_MSG_HEARTBEAT;
      msg.heartbeat = event.heartbeat.get ();
      step (event.vm, &msg);
      break;
    }
    case EVENT_INVENTORY_ARRIVE: {
      /* The request arrives even if its sender has ended. */
      int64_t k = event.a;
      if (event.b < m_fence[k]) {
        m_verdict.stale_epochs++;
        push_event ({ m_now + 10, 0, EVENT_INVENTORY_DONE, event.vm, event.generation, k,
                      m_fence[k], 1, nullptr, nullptr });
      } else {
        m_fence[k] = event.b;
        push_event ({ m_now + m_rng.range (1, 30), 0, EVENT_INVENTORY_DONE, event.vm,
                      event.generation, k, event.b, 0, nullptr, nullptr });
      }
      break;
    }
    case EVENT_INVENTORY_DONE: {
      OwnMsg msg = {};
      if (event.c == 1) {
        msg.kind = OWN_MSG_STALE_EPOCH;
        msg.stale_epoch.key = m_keys[event.a];
        msg.stale_epoch.fence_epoch = event.b;
      } else {
        msg.kind = OWN_MSG_INVENTORY_DONE;
        msg.inventory_done.key = m_keys[event.a];
        msg.inventory_done.epoch = event.b;
      }
      step (event.vm, &msg);
      break;
    }
    case EVENT_START_ARRIVE:
      if (event.b < m_fence[event.a]) {
        m_verdict.stale_starts_refused++;
      } else if (event.b < m_started_epoch[event.a]) {
        m_verdict.two_starters = true;
        report_violation ("targets accepted a start of epoch " + std::to_string (event.b)
                          + " after the owner of epoch "
                          + std::to_string (m_started_epoch[event.a]));
      }
      break;
    case EVENT_BOOT:
      boot (event.vm);
      break;
    case EVENT_FAULT_START:
      if (event.a >= 0)
        start_fault (m_schedule.faults[(size_t) event.a]);
      else if (m_vms[(size_t) event.vm].up && !vm_fault (FAULT_LIST_DROP, event.vm))
        show_in_list (event.vm, true);
      break;
    case EVENT_MONITOR:
      monitor ();
      push (m_now + 50, EVENT_MONITOR, -1);
      break;
    }
  }
  if (m_verdict.violation.empty ())
    check_agreement ();
  return m_verdict;
}

inline Schedule
draw_schedule (uint64_t seed, const std::vector<int> &kinds, int most)
{
  Rng rng{ seed * 0x9e3779b97f4a7c15U + 1 };
  Schedule schedule;
  schedule.seed = seed;
  schedule.vm_count = (int) rng.range (2, 5);
  int64_t count = rng.range (1, most);
  for (int64_t f = 0; f < count; f++) {
    Fault fault;
    fault.kind = kinds[(size_t) rng.range (0, (int64_t) kinds.size () - 1)];
    fault.vm = (int) rng.range (0, schedule.vm_count - 1);
    fault.peer = (int) rng.range (0, schedule.vm_count - 1);
    fault.mode = (int) rng.range (0, 3);
    fault.start_ms = (int) rng.range (-4000, 12000);
    fault.length_ms = (int) (rng.chance (300) ? rng.range (10000, 30000) : rng.range (200, 10000));
    schedule.faults.push_back (fault);
  }
  return schedule;
}

inline std::string
describe (const Schedule &schedule)
{
  static const char *const names[]
      = { "pause",       "crash",    "link_cut",  "isolate",    "store_down", "store_cut",
          "append_late", "list_cut", "list_drop", "slow_links", "late_boot",  "stop" };
  std::string text = "seed " + std::to_string (schedule.seed) + ", "
                     + std::to_string (schedule.vm_count) + " VMs";
  for (const Fault &fault : schedule.faults) {
    char line[160];
    snprintf (line, sizeof line, "; %s vm=e%d peer=e%d mode=%d %d..%d ms", names[fault.kind],
              fault.vm, fault.peer, fault.mode, fault.start_ms, fault.start_ms + fault.length_ms);
    text += line;
  }
  return text;
}

} // namespace own_test
