/* A simulated region for the ownership module: VMs with their own clocks, a log, a VM list, peer
   links and targets, run through one schedule of faults in virtual time.

   All randomness comes from the seed of the schedule, so a schedule always gives the same verdict.
   Times are simulated ms, common to all VMs, unless a name says local. */
#pragma once

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "own/own.h"

namespace own_test
{

enum FaultKind {
  FAULT_PAUSE,       /* vm does not run; its messages are processed after the fault */
  FAULT_CRASH,       /* the process ends; unless mode is 0, a new incarnation starts at the end */
  FAULT_LINK_CUT,    /* no messages between vm and peer */
  FAULT_ISOLATE,     /* no messages between vm and any peer */
  FAULT_STORE_DOWN,  /* store unreachable for all VMs; `mode` decides what happens to appends */
  FAULT_STORE_CUT,   /* the same for vm only */
  FAULT_APPEND_LATE, /* appends of vm: unknown outcome; in the log up to 15 s later or never */
  FAULT_LIST_CUT,    /* vm cannot read the list */
  FAULT_LIST_DROP,   /* the list lacks vm although it runs */
  FAULT_SLOW_LINKS,  /* peer messages of vm take up to 2 s and are reordered */
  FAULT_LATE_BOOT,   /* vm first starts at the end of the fault */
  FAULT_STOP,        /* planned stop; a new incarnation starts at the end */
  FAULT_KIND_COUNT
};

struct Fault {
  int kind = 0; /* a FaultKind */
  int vm = 0;
  int peer = 0;
  int mode = 0; /* 0 to 3 */
  int start_ms = 0;
  int length_ms = 0;
};

struct Schedule {
  uint64_t seed = 1;
  int vm_count = 4;
  std::vector<Fault> faults;
  /* Set by hand-written schedules; negative: drawn from the seed. */
  int list_lag_ms = -1;
  int late_append_ms = -1;
  bool list_lag_extremes = false; /* each read of the list lags by 0 or by the maximum */
  int64_t retention_ms = 0;       /* 0: the log keeps everything */
  int64_t refresh_ms = 0;
  int64_t list_max_age_ms = 0; /* options of the VMs; 0: the defaults */
  int64_t list_lag_option_ms = 0;
  int64_t max_rate_ppm = 20000;
  bool reliable_network = false; /* no loss, duplication or latency spikes */
  int64_t end_ms = 0;            /* 0: LIVENESS_MS + 500 after the end of the faults */
  bool trace = false;            /* records and commands on standard error */
};

struct Verdict {
  std::string violation;     /* empty: all properties hold */
  bool two_starters = false; /* the violation allows work by two owners of a key */
  /* Longest time without a VM that may start on a key, if one may before and after it. */
  int64_t max_gap_ms = 0;
  int64_t handovers = 0;
  int64_t claims = 0;
  int64_t promise_starts = 0; /* checks at which promise mode allowed a start */
  int64_t stale_starts_refused = 0;
  int64_t stale_epochs = 0;
  int64_t gone_records = 0;
  int64_t steps = 0;
};

struct Rng {
  uint64_t state;

  uint64_t
  next ()
  {
    uint64_t z = (state += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
  }

  int64_t
  range (int64_t low, int64_t high)
  {
    return high <= low ? low : low + (int64_t) (next () % (uint64_t) (high - low + 1));
  }

  bool
  chance (int per_mille)
  {
    return (int64_t) (next () % 1000) < per_mille;
  }
};

/* The simulation begins this long before 0, so that all VMs can join and claim. */
constexpr int64_t WARM_UP_MS = 9000;
constexpr int KEY_COUNT = 2;
constexpr int64_t TICK_MS = 200;
constexpr int64_t READ_INTERVAL_MS = 250;
constexpr int64_t LIST_INTERVAL_MS = 1000;
constexpr int64_t MAX_LAG_MS = 5000; /* of the VM list */
constexpr int64_t RPC_TIMEOUT_MS = 1000;
constexpr int64_t LIVENESS_MS = 10000;
/* If no running VM was acknowledged by the owner, a key can be claimed only after a gone record:
   list_max_age_ms + 2 * list_lag_ms + margin_ms, then the lag of the VM that reads the list, then a
   claim. */
constexpr int64_t GONE_LIVENESS_MS = 5000 + 2 * MAX_LAG_MS + 500 + MAX_LAG_MS + 3000 + LIVENESS_MS;

class World
{
public:
  World (const Schedule &schedule, const OwnFaults &faults);
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;
  Verdict run ();

private:
  enum EventKind {
    EVENT_TICK,
    EVENT_READ_SEND,
    EVENT_READ_RESPONSE,
    EVENT_LIST_SEND,
    EVENT_LIST_RESPONSE,
    EVENT_APPEND_REACHES_LOG,
    EVENT_APPEND_RESULT,
    EVENT_HEARTBEAT,
    EVENT_INVENTORY_ARRIVE,
    EVENT_INVENTORY_DONE,
    EVENT_START_ARRIVE,
    EVENT_BOOT,
    EVENT_FAULT_START,
    EVENT_MONITOR
  };

  struct Event {
    int64_t at;
    uint64_t order;
    EventKind kind;
    int vm;             /* receiver or subject; -1: the store or a target */
    int64_t generation; /* of the receiver; dropped if its process has ended since */
    int64_t a, b, c;    /* arguments; their meaning depends on kind */
    std::shared_ptr<OwnHeartbeat> heartbeat;
    std::shared_ptr<OwnRecord> record;

    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct ListState {
    int64_t at;
    bool present;
    int64_t incarnation;
  };

  struct Vm {
    OwnState *own = nullptr;
    GrName name;
    int64_t incarnation = 0;
    int64_t generation = 0; /* number of processes of this VM that have ended */
    bool up = false;
    bool stopping = false;
    bool may_run = true; /* false after a crash or a planned stop, until the next boot */
    int64_t paused_until = INT64_MIN;
    int64_t boot_at = 0;
    int64_t rate_ppm = 0;
    int64_t lag_ms = 0;
    int64_t list_shown_at = INT64_MIN; /* time of the list state that the newest read showed */
    int64_t read_next = 0;
    int64_t epochs[KEY_COUNT] = {};
    std::vector<ListState> list_history;
  };

  struct LogEntry {
    OwnRecord record;
    int64_t at;
  };

  void push (int64_t at, EventKind kind, int vm, int64_t a = 0, int64_t b = 0, int64_t c = 0);
  void push_event (Event event);
  int64_t local (const Vm &vm, int64_t at) const;
  bool active (const Fault &fault, FaultKind kind) const;
  bool vm_fault (FaultKind kind, int vm) const;
  bool link_up (int a, int b) const;
  bool store_reachable (int vm) const;
  void boot (int vm);
  void end_process (int vm);
  void show_in_list (int vm, bool present);
  void step (int vm, OwnMsg *msg);
  void execute (int vm, OwnCmds *cmds);
  void check_starters (int vm);
  void send_heartbeat (int from, const OwnCmd &cmd);
  void append (int from, const OwnCmd &cmd);
  void append_to_log (const OwnRecord &record);
  void check_ended_writer (const OwnRecord &record, int64_t before);
  void apply_log_read (const Event &event);
  void apply_list_read (const Event &event);
  void start_fault (const Fault &fault);
  void monitor ();
  void check_agreement ();
  void report_violation (const std::string &text);
  bool acknowledged_by (int vm, const GrVmRef &owner) const;
  int64_t first_retained () const;
  int key_index (const GrName &key) const;

  Schedule m_schedule;
  OwnFaults m_faults;
  Rng m_rng;
  Verdict m_verdict;
  int64_t m_now = 0;
  uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Vm> m_vms;
  std::vector<LogEntry> m_log;
  OwnState *m_observer = nullptr; /* reads every record when it reaches the log; no retention */
  GrName m_keys[KEY_COUNT];
  int64_t m_fence[KEY_COUNT] = {};
  int64_t m_started_epoch[KEY_COUNT] = {};
  int64_t m_last_starter_at[KEY_COUNT];
  int64_t m_claimable_since[KEY_COUNT] = {}; /* since when a VM that may claim is up */
  int64_t m_faults_end = 0;
  bool m_list_shows_incarnation = false;
  struct Ack {
    int vm;
    int64_t generation;
    GrVmRef by;
  };
  std::vector<Ack> m_acks;
  std::vector<GrVmRef> m_joined;
  std::vector<GrVmRef> m_ended; /* with a gone or leave record in the log */
};

/* A schedule drawn from a seed: up to `most` faults of the kinds in `kinds`. */
Schedule draw_schedule (uint64_t seed, const std::vector<int> &kinds, int most);
std::string describe (const Schedule &schedule);

} // namespace own_test
