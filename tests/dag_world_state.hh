/* State of the simulated environment of the step job scheduler (dag_world.hh). Time is simulated,
   and the seed determines the whole schedule. */
#pragma once

#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dag/dag.h"
namespace dag_test
{

/* Faults of a schedule; they may overlap. */
struct Faults {
  bool late_orders = true;
  bool crashes = true;
  bool partitions = true;
  bool store_outages = true;
  bool takeovers = true;
  bool cancels = true;
  bool drains = true;
  bool culprits = true; /* tasks that crash each target that starts them */
  bool resizes = true;  /* the capacity of targets shrinks and grows again */
  /* Targets fall silent without a crash, often, and some tasks meet one such target after the
     other. Fewer targets crash by themselves. */
  bool silences = false;
};

struct Options {
  uint32_t seed = 1;
  int targets = 8;
  int jobs = 60;
  int64_t arrivals_ms = 20000; /* jobs are submitted within this time */
  int64_t faults_ms = 25000;   /* faults occur within this time */
  int64_t settle_ms = 60000;   /* time without faults after it, in which all jobs must end */
  Faults faults;
  /* Client accounts with a maximum, which changes twice. */
  bool accounts = false;
  /* The configuration lists accounts of which no job is submitted. */
  bool other_accounts = false;
  bool broken_start_before_store = false;
  bool broken_restart_before_lapse = false;
  bool broken_interrupt_unchecked = false;
  bool trace = false; /* prints events, for debugging */
};

struct Result {
  std::string violation; /* first violated invariant; empty: none */
  int completed = 0, failed = 0, cancelled = 0, unfinished = 0, starts = 0;
  int64_t mean_ms = 0;   /* acceptance to completion */
  uint64_t commands = 0; /* hash of all commands */
  int32_t most_used = 0; /* highest cpu usage of an account that the targets have seen */
};

constexpr int64_t kLeaseMs = 4000;
constexpr int64_t kLeaseMaxMs = 8000;
constexpr int64_t kStopTimeoutMs = 150;
constexpr int64_t kGangStartTimeoutMs = 3000;
constexpr int64_t kReportIntervalMs = 1500;
constexpr int64_t kOrderTimeoutMs = 700;
constexpr int64_t kStartTimeoutMs = 250;
constexpr int64_t kAdviceValidMs = 2500;
constexpr int kMaxAttempts = 3;
constexpr int32_t kCapacity = 8000;
/* Orders that are on their way when a target reports a smaller capacity arrive within this time. */
constexpr int64_t kResizeGraceMs = 300;
/* An order that arrives later than this was held up on its way. */
constexpr int64_t kLateOrderMs = 300;
/* A long-running task is at work this long after its start. */
constexpr int64_t kStartupMs = 300;
/* After the last fault: when a target leaves, and when long-running jobs are cancelled. */
constexpr int64_t kLateDrainAfterMs = 9000;
constexpr int64_t kCancelLongAfterMs = 15000;
/* A culprit crashes its target this long after its start. */
constexpr int64_t kCulpritCrashMs = 10;
/* Crashes under one task after which it may be given up although it did not cause them: by the
   platform's rules, two are enough. */
constexpr int kCoincidencesMax = 2;
/* Most starts of a culprit after three targets have crashed under it. */
constexpr int kStartsAfterThirdMax = 2;
/* A target falls silent for this long at most. */
constexpr int64_t kSilenceMaxMs = 15000;
/* An unlucky task meets this many targets that fall silent, each this soon after its start. */
constexpr int kUnluckySilences = 7;
constexpr int64_t kUnluckyWithinMs = 250;
/* Maxima of accounts, in cpu and memory: every gang fits under the usual one. */
constexpr int32_t kUsualMaximum = 21500;
constexpr int32_t kLowMaximum = 4000;
/* A new configuration is in force everywhere after this time. */
constexpr int64_t kConfigApplyMs = 4000;
/* Shortest time that a draining target keeps serving after its notice. */
constexpr int64_t kDrainMs = 3000;

inline std::string
text_of (const GrName &name)
{
  return std::string (name.data, name.len);
}

/* State that all layers of the simulation share, and the schedule of events. */
class SimulatedState
{
protected:
  explicit SimulatedState (const Options &options) : options_{ options }, random_{ options.seed }
  {
  }

  struct Event {
    int64_t time;
    uint64_t serial;
    std::function<void ()> func;
    bool
    operator<(const Event &other) const
    {
      return time != other.time ? time > other.time : serial > other.serial;
    }
  };

  struct Run {
    std::string name;
    DagTaskRef task;
    int64_t run;
    int64_t ends_at = 0; /* 0: a gang that is not complete yet */
    int64_t started_at = 0;
    bool fails = false;
    bool stopping = false;
  };

  struct End {
    int64_t number;
    DagTaskRef task;
    int64_t run;
    DagEndKind kind;
    bool lapsed = false; /* the lease lapsed before the end was acknowledged */
  };

  struct Target {
    std::string id, vm;
    int index;
    int64_t incarnation = 1;
    int64_t booted_at = 0;
    bool up = true;
    int64_t drains_until = 0; /* 0: not draining */
    int64_t partitioned_until = 0;
    int64_t dark_until = 0;   /* its entry is not renewed before */
    int64_t mute_until = 0;   /* its answers are lost before */
    int64_t paused_until = 0; /* orders that arrive earlier wait until then */
    double clock_rate = 1;
    std::map<std::string, Run> running;
    std::map<std::string, int64_t> ended; /* by task: highest run number stopped or ended */
    std::vector<End> ends;
    int64_t next_end = 1;
    int64_t acknowledged = 0;
    int64_t fence = 0;
    int64_t lease = 0; /* end of the lease, own clock */
    GrRes used{};
    int32_t capacity = kCapacity; /* cpu and memory */
    /* Starts must stay within this: a smaller capacity counts kResizeGraceMs after it was reported.
     */
    int32_t limit = kCapacity;
    int64_t reported_at = 0;
    bool listed = false;
  };

  struct Task {
    bool done_acknowledged = false;
    bool done = false;
    int failures = 0;
    int failed_runs = 0;        /* whether their ends are acknowledged or not */
    int crashes = 0;            /* targets that crashed under it */
    int starts_after_third = 0; /* after three such crashes */
  };

  struct Job {
    std::string id;
    std::string account; /* empty: none */
    std::vector<DagStepSpec> steps;
    int64_t submitted_at = 0;
    int64_t accepted_at = -1;
    bool refused = false; /* its newest submission was refused, and no other was accepted */
    bool cancelled = false;
    int64_t cancel_answered_at = -1; /* -1: not yet */
    bool always_fails = false;
    bool culprit = false;  /* its first task crashes each target that starts it */
    int silences_left = 0; /* targets that will fall silent soon after they start its first task */
    bool advised = false;
    bool long_running = false;
    std::map<std::string, Task> tasks; /* by "step.index" */
    /* By step of a gang: its runs with a failed member, those of which an end is acknowledged, and
       all. */
    std::map<uint32_t, std::set<int64_t>> gang_failures, gang_failed_runs;
    DagJobState last_state = DAG_JOB_UNKNOWN;
  };

  Options options_;
  std::mt19937 random_;
  int64_t now_ = 0;
  uint64_t serial_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Target> targets_;
  std::vector<Job> jobs_;
  std::map<std::string, int> job_index_;
  std::map<std::string, std::string> store_;
  DagState *dag_ = nullptr;
  int64_t term_ = 0;
  int64_t batch_open_ = 0;
  int64_t store_down_until_ = 0;
  int64_t tick_at_ = -1;
  int64_t crashed_at_ = 0; /* last crash of a target; culprits cause some after the other faults */
  Result result_;
  /* Long polls that wait at a target, by token. */
  std::map<int64_t, std::string> open_polls_;
  /* Pending submit and cancel calls, and the indices of their jobs. */
  std::map<int64_t, int> calls_, cancel_calls_;
  int64_t next_call_ = 0;
  /* Maximum of each account: as published, before that, and as in force at the schedulers since a
     time. */
  int32_t maximum_ = kUsualMaximum, maximum_before_ = kUsualMaximum;
  int64_t maximum_published_at_ = -kConfigApplyMs;
  std::vector<std::pair<int64_t, int32_t>> maxima_in_force_;
  int64_t total_ms_ = 0;

  int64_t
  random_below (int64_t limit)
  {
    return limit <= 0 ? 0 : (int64_t) (random_ () % (uint64_t) limit);
  }

  bool
  chance (double share)
  {
    return (random_ () % 10000) < share * 10000;
  }

  void
  schedule (int64_t time, std::function<void ()> func)
  {
    events_.push ({ time, ++serial_, std::move (func) });
  }

  void
  trace (const std::string &text) const
  {
    if (options_.trace)
      std::printf ("%6lld %s\n", (long long) now_, text.c_str ());
  }

  void
  report_violation (const std::string &text)
  {
    if (result_.violation.empty ())
      result_.violation = "at " + std::to_string (now_) + " ms: " + text;
  }

  bool
  in_fault_phase () const
  {
    return now_ < options_.faults_ms;
  }
};

} // namespace dag_test
