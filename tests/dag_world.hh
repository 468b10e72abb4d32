/* Simulation of the environment of the step job scheduler: targets with late orders and lost
   answers, a store with outages, an advice service, and takeovers by schedulers of later terms.
   Invariants are checked from the state of the simulated targets. Time is simulated, and the seed
   determines the whole schedule. */
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
};

struct Options {
  uint32_t seed = 1;
  int targets = 8;
  int jobs = 60;
  int64_t arrivals_ms = 20000; /* jobs are submitted within this time */
  int64_t faults_ms = 25000;   /* faults occur within this time */
  int64_t settle_ms = 60000;   /* time without faults after it, in which all jobs must end */
  Faults faults;
  bool broken_start_before_store = false;
  bool broken_restart_before_lapse = false;
  bool broken_interrupt_unchecked = false;
  bool trace = false; /* prints events, for debugging */
};

struct Result {
  std::string violation; /* first violated invariant; empty: none */
  int completed = 0, failed = 0, cancelled = 0, unfinished = 0, starts = 0;
  int64_t mean_ms = 0; /* acceptance to completion */
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
/* Most starts of a culprit after three targets have crashed under it. */
constexpr int kStartsAfterThirdMax = 2;
/* Shortest time that a draining target keeps serving after its notice. */
constexpr int64_t kDrainMs = 3000;

inline std::string
text_of (const GrName &name)
{
  return std::string (name.data, name.len);
}

class Simulation
{
public:
  explicit Simulation (const Options &options) : options_{ options }, random_{ options.seed }
  {
    for (int i = 0; i < options_.targets; i++)
      add_target (i);
    for (int i = 0; i < options_.jobs; i++)
      schedule (random_below (options_.arrivals_ms), [this, i] { submit (i); });
    plan_faults ();
    take_over ();
  }

  ~Simulation ()
  {
    dag_free (dag_);
  }

  Result
  run ()
  {
    int64_t end = options_.faults_ms + options_.settle_ms;
    while (!events_.empty () && result_.violation.empty ()) {
      Event event = events_.top ();
      if (event.time > end || (event.time > options_.faults_ms && all_ended ()))
        break;
      events_.pop ();
      now_ = event.time;
      event.func ();
      process_outputs ();
    }
    if (result_.violation.empty ())
      check_end ();
    return result_;
  }

private:
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
    std::vector<DagStepSpec> steps;
    int64_t submitted_at = 0;
    int64_t accepted_at = -1;
    bool cancelled = false;
    bool always_fails = false;
    bool culprit = false; /* its first task crashes each target that starts it */
    bool advised = false;
    bool long_running = false;
    std::map<std::string, Task> tasks; /* by "step.index" */
    std::map<std::string, int> gang_failures;
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
  std::map<int64_t, int> calls_; /* pending submit calls, and the indices of their jobs */
  int64_t next_call_ = 0;
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

  /* --- Targets --- */

  void
  add_target (int index)
  {
    Target target;
    target.index = index;
    target.id = "t" + std::to_string (index);
    target.vm = "v" + std::to_string (index);
    target.clock_rate = 0.98 + 0.02 * (double) random_below (100) / 100;
    targets_.push_back (target);
    schedule (random_below (kReportIntervalMs), [this, index] { report_target (index); });
  }

  int64_t
  clock_of (const Target &target) const
  {
    return 1000 + (int64_t) ((double) (now_ - target.booted_at) * target.clock_rate);
  }

  DagTargetInfo
  info_of (const Target &target) const
  {
    DagTargetInfo info = {};
    info.id = gr_name (target.id.c_str ());
    info.vm = gr_name (target.vm.c_str ());
    info.incarnation = target.incarnation;
    info.service = gr_name ("svc");
    info.address = gr_name (target.id.c_str ());
    info.kind = gr_name (target.index % 2 ? "a" : "b");
    info.rack = gr_name (target.index % 3 ? "r1" : "r2");
    info.capacity.v[GR_RES_CPU_MILLI] = target.capacity;
    info.capacity.v[GR_RES_MEMORY_MB] = target.capacity;
    info.draining = target.drains_until > 0;
    info.remaining_ms = std::max<int64_t> (0, target.drains_until - now_);
    return info;
  }

  bool
  store_down () const
  {
    return now_ < store_down_until_;
  }

  void
  report_target (int index)
  {
    Target &target = targets_[(size_t) index];
    schedule (now_ + kReportIntervalMs, [this, index] { report_target (index); });
    if (!target.up || store_down ())
      return;
    target.reported_at = now_;
    target.listed = true;
    DagTargetInfo info = info_of (target);
    dag_target_seen (dag_, &info, now_);
    if (target.capacity < target.limit)
      lower_limit_later (target);
  }

  void
  lower_limit_later (const Target &target)
  {
    int index = target.index;
    int64_t incarnation = target.incarnation;
    int32_t reported = target.capacity;
    schedule (now_ + kResizeGraceMs, [this, index, incarnation, reported] {
      Target &there = targets_[(size_t) index];
      if (there.incarnation == incarnation && there.capacity <= reported)
        there.limit = std::min (there.limit, reported);
    });
  }

  void
  resize (int index, int32_t capacity)
  {
    Target &target = targets_[(size_t) index];
    trace ("resize " + target.id + " to " + std::to_string (capacity));
    target.capacity = capacity;
    target.limit = std::max (target.limit, capacity);
  }

  /* The target announces that it leaves, and does so after kDrainMs. */
  void
  drain (int index)
  {
    Target &target = targets_[(size_t) index];
    if (!target.up || target.drains_until > 0 || store_down ())
      return;
    target.drains_until = now_ + kDrainMs;
    target.reported_at = now_;
    target.listed = true;
    trace ("drain " + target.id);
    DagTargetInfo info = info_of (target);
    dag_target_seen (dag_, &info, now_);
    int64_t incarnation = target.incarnation;
    schedule (target.drains_until, [this, index, incarnation] {
      if (targets_[(size_t) index].incarnation == incarnation)
        crash (index, false);
    });
  }

  void
  expire_entries ()
  {
    for (Target &target : targets_) {
      if (!target.listed || store_down ()
          || now_ - target.reported_at < 3 * kReportIntervalMs + 600)
        continue;
      target.listed = false;
      GrName id = gr_name (target.id.c_str ());
      dag_target_unlisted (dag_, &id, now_);
    }
  }

  Job &
  job_of (const DagTaskRef &task)
  {
    return jobs_[(size_t) job_index_.at (text_of (task.job))];
  }

  static std::string
  key_of (const DagTaskRef &task)
  {
    return std::to_string (task.step) + "." + std::to_string (task.index);
  }

  static std::string
  name_of (const DagTaskRef &task)
  {
    return text_of (task.job) + "." + key_of (task);
  }

  GrRes
  demand_of (const DagTaskRef &task)
  {
    return job_of (task).steps[task.step].demand;
  }

  /* name is a copy, since callers pass the key of the entry that is erased. */
  void
  end_run (Target &target, std::string name, DagEndKind kind)
  {
    auto it = target.running.find (name);
    if (it == target.running.end ())
      return;
    Run run = it->second;
    target.running.erase (it);
    GrRes need = demand_of (run.task);
    trace ("end " + name + " run " + std::to_string (run.run) + " on " + target.id + " kind "
           + std::to_string (kind));
    gr_res_sub (&target.used, &need);
    target.ended[name] = std::max (target.ended[name], run.run);
    target.ends.push_back ({ target.next_end++, run.task, run.run, kind, false });
    Job &job = job_of (run.task);
    if (kind == DAG_END_DONE)
      job.tasks[key_of (run.task)].done = true;
    job.tasks[key_of (run.task)].failed_runs += kind == DAG_END_FAILED;
    if (job.steps[run.task.step].gang && kind != DAG_END_DONE)
      break_gang (run, kind);
  }

  void
  break_gang (const Run &run, DagEndKind kind)
  {
    (void) kind;
    for (Target &target : targets_) {
      std::vector<std::string> names;
      for (auto &entry : target.running) {
        if (gr_name_equal (&entry.second.task.job, &run.task.job)
            && entry.second.task.step == run.task.step && entry.second.run == run.run)
          names.push_back (entry.first);
      }
      for (auto &name : names) {
        Run member = target.running[name];
        target.running.erase (name);
        GrRes need = demand_of (member.task);
        gr_res_sub (&target.used, &need);
        target.ended[name] = std::max (target.ended[name], member.run);
        target.ends.push_back (
            { target.next_end++, member.task, member.run, DAG_END_BROKEN, false });
      }
    }
  }

  void
  end_lapsed_runs (Target &target)
  {
    if (clock_of (target) <= target.lease)
      return;
    /* Ends that were not acknowledged before the lease lapsed do not bind the scheduler, which may
       start these tasks again. */
    for (End &end : target.ends)
      end.lapsed = true;
    std::vector<std::string> names;
    for (auto &entry : target.running)
      names.push_back (entry.first);
    for (auto &name : names)
      end_run (target, name, DAG_END_LAPSED);
  }

  void
  crash (int index, bool same_id)
  {
    Target &target = targets_[(size_t) index];
    target.up = false;
    crashed_at_ = now_;
    trace ("crash " + target.id + (same_id ? " same id" : ""));
    std::vector<Run> runs;
    for (auto &entry : target.running)
      runs.push_back (entry.second);
    target.running.clear ();
    target.used = GrRes{};
    for (Run &run : runs) {
      job_of (run.task).tasks[key_of (run.task)].crashes++;
      if (job_of (run.task).steps[run.task.step].gang)
        break_gang (run, DAG_END_BROKEN);
    }
    schedule (now_ + 500 + random_below (6000), [this, index, same_id] {
      Target &crashed = targets_[(size_t) index];
      if (crashed.up)
        return;
      Target fresh;
      fresh.index = index;
      fresh.clock_rate = crashed.clock_rate;
      fresh.vm = crashed.vm;
      fresh.id = same_id ? crashed.id : crashed.id + "x";
      fresh.incarnation = crashed.incarnation + 1;
      fresh.booted_at = now_;
      fresh.partitioned_until = crashed.partitioned_until;
      crashed = fresh;
    });
  }

  /* --- Orders --- */

  Target *
  find_target (const GrName &id)
  {
    for (Target &target : targets_) {
      if (target.id == text_of (id))
        return &target;
    }
    return nullptr;
  }

  /* Times at which an order is carried out and at which its answer arrives. */
  struct Delivery {
    int64_t arrives;  /* -1: never */
    int64_t answered; /* -1: never */
  };

  Delivery
  plan_delivery (const GrName &id)
  {
    int64_t arrives = now_ + 1 + random_below (15);
    int64_t answered = arrives + 1 + random_below (15);
    Target *target = find_target (id);
    if (!target || !target->up || now_ < target->partitioned_until)
      return { -1, -1 };
    if (in_fault_phase () && options_.faults.late_orders && chance (0.05)) {
      if (chance (0.5))
        return { now_ + 2000 + random_below (10000), -1 };
      return { arrives, -1 };
    }
    return { arrives, answered };
  }

  /* Sends an order: handle carries it out on the target, answer gets the outcome, or DAG_ORDER_LOST
     after a timeout. Answers for a former term are dropped. */
  template <typename Handle, typename Answer>
  void
  send_order (const GrName &id, int64_t timeout_ms, Handle handle, Answer answer)
  {
    Delivery delivery = plan_delivery (id);
    int64_t term = term_;
    if (delivery.arrives >= 0) {
      schedule (delivery.arrives, [this, id, handle, answer, delivery, term] {
        Target *target = find_target (id);
        bool unreachable = !target || !target->up || now_ < target->partitioned_until;
        auto outcome = unreachable ? std::nullopt : std::make_optional (handle (*target));
        if (delivery.answered >= 0 && outcome && term == term_)
          schedule (delivery.answered, [this, answer, outcome, term] {
            if (term == term_)
              answer (*outcome);
          });
        else if (delivery.answered >= 0)
          schedule (now_ + kOrderTimeoutMs, [this, answer, term] {
            if (term == term_)
              answer (decltype (handle (*target)){ DAG_ORDER_LOST, {} });
          });
      });
    }
    if (delivery.answered < 0)
      schedule (now_ + timeout_ms, [this, answer, term] {
        if (term == term_)
          answer (decltype (handle (targets_[0])){ DAG_ORDER_LOST, {} });
      });
  }

  struct OrderOutcome {
    DagOrderResult result;
    int64_t clock;
  };

  struct HoldOutcome {
    DagOrderResult result;
    std::optional<Target> seen; /* copy of the target after the hold */
  };

  /* True if the target has seen a later term; otherwise it records the term. */
  bool
  fenced (Target &target, int64_t term)
  {
    if (term < target.fence)
      return true;
    target.fence = term;
    return false;
  }

  void
  extend_lease (Target &target, int64_t until)
  {
    until = std::min (until, clock_of (target) + kLeaseMaxMs);
    target.lease = std::max (target.lease, until);
  }

  bool
  is_culprit (const DagTaskRef &task)
  {
    return job_of (task).culprit && task.step == 0 && task.index == 0;
  }

  /* Checks the invariants of a start that is about to be carried out. */
  void
  check_start (Target &target, const DagTaskRef &task, int64_t term, bool late)
  {
    Job &job = job_of (task);
    const DagStepSpec &step = job.steps[task.step];
    std::string name = name_of (task);
    Task &known = job.tasks[key_of (task)];
    for (Target &other : targets_) {
      if (other.running.count (name))
        report_violation ("two runs of " + name + " on " + other.id + " and " + target.id
                          + " in term " + std::to_string (term));
    }
    if (known.done_acknowledged && !job.long_running)
      report_violation ("start of " + name + " after its end was acknowledged");
    if (known.crashes >= 3 && is_culprit (task)
        && ++known.starts_after_third > kStartsAfterThirdMax)
      report_violation ("another start of " + name + ", which has crashed "
                        + std::to_string (known.crashes) + " targets");
    int failures = step.gang ? job.gang_failures[std::to_string (task.step)] : known.failures;
    if (failures >= kMaxAttempts && !job.long_running)
      report_violation ("start of " + name + " after its last attempt");
    for (size_t s = 0; s < job.steps.size (); s++) {
      if (!(step.depends_on >> s & 1))
        continue;
      for (int i = 0; i < job.steps[s].count; i++) {
        if (!job.tasks[std::to_string (s) + "." + std::to_string (i)].done)
          report_violation ("start of " + name + " before step " + std::to_string (s)
                            + " was done");
      }
    }
    if (step.label.len > 0 && text_of (step.label) != (target.index % 2 ? "a" : "b"))
      report_violation ("start of " + name + " on a target without its label");
    if (step.max_per_target > 0) {
      int count = 1;
      for (auto &entry : target.running)
        count += gr_name_equal (&entry.second.task.job, &task.job)
                 && entry.second.task.step == task.step;
      if (count > step.max_per_target)
        report_violation ("too many tasks of a step on " + target.id);
    }
    GrRes used = target.used;
    gr_res_add (&used, &step.demand);
    int32_t limit = late ? kCapacity : target.limit;
    if (used.v[GR_RES_CPU_MILLI] > limit || used.v[GR_RES_MEMORY_MB] > limit)
      report_violation ("start of " + name + ": target " + target.id + " is over its capacity");
  }

  OrderOutcome
  handle_start (Target &target, const DagCmd &cmd, int64_t term, int64_t sent_at)
  {
    const auto &start = cmd.u.start;
    std::string name = name_of (start.task);
    if (cmd.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, 0 };
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, clock_of (target) };
    end_lapsed_runs (target);
    extend_lease (target, start.lease_until);
    if (clock_of (target) > start.lease_until)
      return { DAG_ORDER_LATE, clock_of (target) };
    auto it = target.running.find (name);
    if (it != target.running.end ())
      return { it->second.run == start.run ? DAG_ORDER_OK : DAG_ORDER_OLD, clock_of (target) };
    if (target.ended.count (name) && start.run <= target.ended[name])
      return { DAG_ORDER_OLD, clock_of (target) };
    check_start (target, start.task, term, now_ - sent_at > kLateOrderMs);
    trace ("start " + name + " run " + std::to_string (start.run) + " on " + target.id);
    result_.starts++;
    Job &job = job_of (start.task);
    const DagStepSpec &step = job.steps[start.task.step];
    Run run;
    run.name = name;
    run.task = start.task;
    run.run = start.run;
    run.started_at = now_;
    run.fails = job.always_fails || (chance (0.04) && (!job.long_running || in_fault_phase ()));
    target.running[name] = run;
    gr_res_add (&target.used, &step.demand);
    if (is_culprit (start.task))
      crash_soon (target);
    if (step.gang)
      start_gang_if_complete (job, start.task, start.run);
    else if (job.long_running && !run.fails)
      target.running[name].ends_at = INT64_MAX;
    else
      start_run (target, name, step.estimate_ms / 2 + 1 + random_below (step.estimate_ms));
    return { DAG_ORDER_OK, clock_of (target) };
  }

  void
  crash_soon (const Target &target)
  {
    int index = target.index;
    int64_t incarnation = target.incarnation;
    schedule (now_ + kCulpritCrashMs, [this, index, incarnation] {
      if (targets_[(size_t) index].incarnation == incarnation && targets_[(size_t) index].up)
        crash (index, chance (0.5));
    });
  }

  /* The run ends after duration unless it is stopped before. */
  void
  start_run (Target &target, const std::string &name, int64_t duration)
  {
    Run &started = target.running[name];
    started.ends_at = now_ + duration;
    int index = target.index;
    int64_t number = started.run, incarnation = target.incarnation;
    schedule (started.ends_at, [this, index, name, number, incarnation] {
      Target &there = targets_[(size_t) index];
      end_lapsed_runs (there);
      auto it = there.running.find (name);
      if (there.incarnation != incarnation || it == there.running.end ()
          || it->second.run != number)
        return;
      Run run = it->second;
      bool gang = job_of (run.task).steps[run.task.step].gang;
      if (run.fails)
        end_run (there, name, DAG_END_FAILED);
      else if (gang)
        complete_gang (run);
      else
        end_run (there, name, DAG_END_DONE);
    });
  }

  /* Ends all members as done if all of them are running. */
  void
  complete_gang (const Run &run)
  {
    std::vector<std::pair<Target *, std::string>> members;
    for (Target &target : targets_) {
      for (auto &entry : target.running) {
        if (gr_name_equal (&entry.second.task.job, &run.task.job)
            && entry.second.task.step == run.task.step && entry.second.run == run.run)
          members.push_back ({ &target, entry.first });
      }
    }
    const DagStepSpec &step = job_of (run.task).steps[run.task.step];
    if ((int) members.size () < step.count)
      return;
    for (auto &member : members)
      end_run (*member.first, member.second, DAG_END_DONE);
  }

  /* Starts all members once the last one has arrived; a member that waits longer than
     kGangStartTimeoutMs ends. */
  void
  start_gang_if_complete (Job &job, const DagTaskRef &task, int64_t number)
  {
    const DagStepSpec &step = job.steps[task.step];
    std::vector<std::pair<Target *, std::string>> members;
    for (Target &target : targets_) {
      for (auto &entry : target.running) {
        if (gr_name_equal (&entry.second.task.job, &task.job) && entry.second.task.step == task.step
            && entry.second.run == number)
          members.push_back ({ &target, entry.first });
      }
    }
    if ((int) members.size () == step.count) {
      int64_t duration = step.estimate_ms / 2 + 1 + random_below (step.estimate_ms);
      for (auto &member : members)
        start_run (*member.first, member.second, duration);
      return;
    }
    DagTaskRef ref = task;
    schedule (now_ + kGangStartTimeoutMs, [this, ref, number] {
      for (Target &target : targets_) {
        auto it = target.running.find (name_of (ref));
        if (it != target.running.end () && it->second.run == number && it->second.ends_at == 0) {
          end_run (target, it->first, DAG_END_ALONE);
          return;
        }
      }
    });
  }

  OrderOutcome
  handle_stop (Target &target, const DagCmd &cmd, int64_t term)
  {
    const auto &stop = cmd.u.stop;
    std::string name = name_of (stop.task);
    if (cmd.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, 0 };
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, clock_of (target) };
    trace ("stop " + name + " run " + std::to_string (stop.run) + " on " + target.id);
    target.ended[name] = std::max (target.ended[name], stop.run);
    auto it = target.running.find (name);
    if (it != target.running.end () && it->second.run <= stop.run) {
      check_interruption (target, it->second);
      it->second.stopping = true;
      int index = target.index;
      int64_t number = it->second.run;
      schedule (now_ + random_below (kStopTimeoutMs), [this, index, name, number] {
        Target &there = targets_[(size_t) index];
        auto run = there.running.find (name);
        if (run != there.running.end () && run->second.run == number)
          end_run (there, name, DAG_END_STOPPED);
      });
    }
    return { DAG_ORDER_OK, clock_of (target) };
  }

  bool
  is_at_work (const Run &run) const
  {
    return !run.stopping && now_ - run.started_at >= kStartupMs;
  }

  /* A stop must not end a task at work while too many others of its step are away. Left out are
     times near faults, since a loss may cross the order, and runs that their target is about to
     end by leaving. */
  void
  check_interruption (const Target &target, const Run &run)
  {
    const Job &job = job_of (run.task);
    const DagStepSpec &step = job.steps[run.task.step];
    bool calm = now_ >= std::max (options_.faults_ms, crashed_at_) + kLeaseMaxMs;
    bool leaves = target.drains_until > 0 && now_ >= target.drains_until - kDrainMs / 4;
    if (step.max_unavailable <= 0 || job.cancelled || leaves || !calm || !is_at_work (run))
      return;
    int at_work = 0;
    for (const Target &other : targets_) {
      for (const auto &entry : other.running)
        at_work
            += gr_name_equal (&entry.second.task.job, &run.task.job) && is_at_work (entry.second);
    }
    if (step.count - at_work >= step.max_unavailable)
      report_violation ("stop of " + run.name + " while " + std::to_string (step.count - at_work)
                        + " tasks of its step are away");
  }

  /* Each long-running task must be at work long after the last fault. */
  void
  check_long_running ()
  {
    for (const Job &job : jobs_) {
      if (!job.long_running || job.cancelled || job.culprit || job.accepted_at < 0)
        continue;
      for (int i = 0; i < job.steps[0].count; i++) {
        std::string name = job.id + ".0." + std::to_string (i);
        bool found = false;
        for (const Target &target : targets_)
          found |= target.running.count (name) > 0;
        if (!found)
          report_violation ("long-running " + name + " has no run");
      }
    }
  }

  HoldOutcome
  handle_hold (Target &target, const DagCmd &cmd, int64_t term)
  {
    const auto &hold = cmd.u.hold;
    if (cmd.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, std::nullopt };
    end_lapsed_runs (target);
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, std::nullopt };
    if (hold.lease_until > 0)
      extend_lease (target, hold.lease_until);
    while (!target.ends.empty () && target.ends.front ().number <= hold.acknowledged) {
      End end = target.ends.front ();
      target.ends.erase (target.ends.begin ());
      target.acknowledged = end.number;
      trace ("acknowledged " + name_of (end.task) + " run " + std::to_string (end.run) + " on "
             + target.id);
      handle_acknowledged_end (end);
    }
    return { DAG_ORDER_OK, target };
  }

  /* Records an end that the scheduler acknowledged: a done task must not start again, and a failed
     run counts as an attempt. */
  void
  handle_acknowledged_end (const End &end)
  {
    Job &job = job_of (end.task);
    Task &task = job.tasks[key_of (end.task)];
    if (end.lapsed)
      return;
    if (end.kind == DAG_END_DONE)
      task.done_acknowledged = true;
    if (end.kind != DAG_END_FAILED)
      return;
    if (job.steps[end.task.step].gang)
      job.gang_failures[std::to_string (end.task.step)]++;
    else
      task.failures++;
  }

  void
  answer_hold (const GrName &id, int64_t token, const HoldOutcome &outcome)
  {
    if (outcome.result != DAG_ORDER_OK) {
      dag_handle_hold_result (dag_, &id, token, outcome.result, nullptr, now_);
      return;
    }
    const Target &seen = *outcome.seen;
    std::vector<DagRunReport> running;
    std::vector<DagEnd> ends;
    for (auto &entry : seen.running) {
      int32_t percent
          = job_of (entry.second.task).long_running ? (is_at_work (entry.second) ? 100 : 50)
            : entry.second.ends_at == 0
                ? 0
                : (int32_t) std::min<int64_t> (99, (now_ - entry.second.started_at) / 10);
      running.push_back ({ entry.second.task, entry.second.run, { "", 0 }, percent, -1 });
    }
    for (auto &end : seen.ends)
      ends.push_back ({ end.number, end.task, end.run, end.kind, { "", 0 } });
    DagInventory inventory = {};
    inventory.incarnation = seen.incarnation;
    inventory.clock_ms = clock_of (seen);
    inventory.running = running.data ();
    inventory.running_count = running.size ();
    inventory.ends = ends.data ();
    inventory.end_count = ends.size ();
    dag_handle_hold_result (dag_, &id, token, DAG_ORDER_OK, &inventory, now_);
  }

  /* --- Scheduler --- */

  /* Replaces the scheduler by one of the next term that recovers from the store. */
  void
  take_over ()
  {
    dag_free (dag_);
    DagOptions options = {};
    options.lease_ms = kLeaseMs;
    options.lease_max_ms = kLeaseMaxMs;
    options.stop_timeout_ms = kStopTimeoutMs;
    options.status_keep_ms = 1000000;
    options.former_leases_lapse_at_ms = now_ + (int64_t) (kLeaseMs / 0.98) + 300;
    options.quiet = !options_.trace;
    options.broken_start_before_store = options_.broken_start_before_store;
    options.broken_restart_before_lapse = options_.broken_restart_before_lapse;
    options.broken_interrupt_unchecked = options_.broken_interrupt_unchecked;
    dag_ = dag_new (&options, nullptr);
    term_++;
    trace ("term " + std::to_string (term_));
    batch_open_ = 0;
    calls_.clear ();
    DagQueue queues[2] = {};
    for (int q = 0; q < 2; q++) {
      queues[q].name = gr_name (q ? "advised" : "plain");
      queues[q].service = gr_name ("svc");
      queues[q].priority = q;
      queues[q].max_attempts = kMaxAttempts;
      queues[q].slack_factor = 2;
      queues[q].target_latency_ms = 500;
      queues[q].advised = q == 1;
      queues[q].advice_ms = 30;
      queues[q].advice_ms_per_target = 1;
      queues[q].advice_valid_ms = kAdviceValidMs;
    }
    DagQueues list = { queues, 2 };
    dag_set_queues (dag_, &list, now_);
    for (char kind : { 'j', 'p' }) {
      for (auto &record : store_) {
        GrErr err = {};
        if (record.first[0] == kind && !record.second.empty ()
            && !dag_load (dag_, { record.first.data (), record.first.size () },
                          { record.second.data (), record.second.size () }, now_, &err))
          report_violation (std::string ("cannot load a record: ") + err.detail);
      }
    }
    for (Target &target : targets_) {
      if (!target.listed)
        continue;
      DagTargetInfo info = info_of (target);
      dag_target_seen (dag_, &info, now_);
    }
    dag_loaded (dag_, now_);
    /* Callers without an answer submit their jobs again. */
    for (size_t i = 0; i < jobs_.size (); i++) {
      if (jobs_[i].accepted_at < 0)
        send_job ((int) i);
    }
  }

  void
  submit (int number)
  {
    Job job;
    job.id = "job" + std::to_string (number);
    job.submitted_at = now_;
    job.always_fails = chance (0.05);
    job.culprit = options_.faults.culprits && chance (0.05);
    job.advised = chance (0.4);
    job.long_running = chance (0.06);
    int steps = job.long_running ? 1 : 1 + (int) random_below (3);
    for (int s = 0; s < steps; s++) {
      DagStepSpec step = {};
      step.count = 1 + (int32_t) random_below (6);
      step.demand.v[GR_RES_CPU_MILLI] = 500 + (int32_t) random_below (3000);
      step.demand.v[GR_RES_MEMORY_MB] = 100 + (int32_t) random_below (2000);
      step.estimate_ms = 100 + random_below (1500);
      step.gang = chance (0.35);
      if (job.long_running) {
        job.always_fails = false;
        step.gang = false;
        step.long_running = true;
        step.count = 1 + (int32_t) random_below (4);
        step.demand.v[GR_RES_CPU_MILLI] = 500 + (int32_t) random_below (1000);
        step.max_unavailable = (int32_t) random_below (3);
      }
      step.one_rack = step.gang && chance (0.3);
      step.max_per_target = chance (0.2) ? 2 : 0;
      if (!step.gang && !job.advised && chance (0.15))
        step.label = gr_name (chance (0.5) ? "a" : "b");
      for (int d = 0; d < s; d++) {
        if (chance (0.6))
          step.depends_on |= (uint64_t) 1 << d;
      }
      job.steps.push_back (step);
    }
    for (const DagStepSpec &step : job.steps)
      trace ("submit " + job.id + " count " + std::to_string (step.count) + " cpu "
             + std::to_string (step.demand.v[GR_RES_CPU_MILLI]) + (step.gang ? " gang" : "")
             + (step.long_running ? " long-running" : "") + (step.max_per_target ? " apart" : "")
             + (job.advised ? " advised" : ""));
    job_index_[job.id] = (int) jobs_.size ();
    jobs_.push_back (job);
    int index = (int) jobs_.size () - 1;
    send_job (index);
    if (job.long_running)
      schedule (options_.faults_ms + kCancelLongAfterMs, [this, index] { end_long (index); });
    if (options_.faults.cancels && chance (0.1))
      schedule (now_ + random_below (4000), [this, index] { cancel (index); });
  }

  /* Checks and cancels a long-running job once no target has crashed for a while. */
  void
  end_long (int index)
  {
    if (now_ < crashed_at_ + kLeaseMaxMs) {
      schedule (crashed_at_ + kLeaseMaxMs, [this, index] { end_long (index); });
      return;
    }
    check_long_running ();
    cancel (index);
  }

  void
  send_job (int index)
  {
    Job &job = jobs_[(size_t) index];
    DagJobSpec spec = {};
    spec.id = gr_name (job.id.c_str ());
    spec.queue = gr_name (job.advised ? "advised" : "plain");
    spec.payload = { "work", 4 };
    spec.steps = job.steps.data ();
    spec.step_count = job.steps.size ();
    int64_t call = ++next_call_;
    int64_t retry = 0;
    GrErr err = {};
    switch (dag_submit (dag_, &spec, call, now_, &retry, &err)) {
    case DAG_SUBMIT_PENDING:
      calls_[call] = index;
      break;
    case DAG_SUBMIT_KNOWN:
      if (job.accepted_at < 0)
        job.accepted_at = now_;
      break;
    case DAG_SUBMIT_NO_QUEUE:
    case DAG_SUBMIT_OVERLOAD:
    case DAG_SUBMIT_INVALID:
      report_violation ("a valid job was refused: " + std::string (err.detail));
      break;
    }
  }

  void
  cancel (int index)
  {
    Job &job = jobs_[(size_t) index];
    GrName id = gr_name (job.id.c_str ());
    if (dag_cancel (dag_, &id, ++next_call_, now_))
      job.cancelled = true;
  }

  void
  answer_advice_call (const DagCmd &cmd)
  {
    const auto &call = cmd.u.advise;
    std::vector<DagAllowed> allowed;
    trace ("advise " + text_of (call.job) + " step " + std::to_string (call.step) + " targets "
           + std::to_string (call.count));
    for (size_t i = 0; i < call.count; i++) {
      /* Two of eight targets are not allowed, so that every job can still complete. */
      Target *target = find_target (call.targets[i]);
      size_t step = std::hash<std::string>{}(text_of (call.job) + std::to_string (call.step));
      if (!target || ((size_t) target->index + step) % 8 < 2)
        continue;
      DagAllowed one = {};
      one.target = call.targets[i];
      one.ticket[0] = 't';
      allowed.push_back (one);
    }
    GrName job = call.job;
    uint32_t step = call.step;
    int64_t token = call.token, term = term_;
    bool ok = !(in_fault_phase () && chance (0.05));
    schedule (now_ + call.expected_ms + 5, [this, job, step, token, term, ok, allowed] {
      if (term == term_)
        dag_handle_advice (dag_, &job, step, token, ok, allowed.data (), ok ? allowed.size () : 0,
                           5, now_);
    });
  }

  void
  run_command (const DagCmd &cmd)
  {
    int64_t term = term_;
    switch (cmd.type) {
    case DAG_CMD_ACCEPTED:
      if (calls_.count (cmd.u.call)) {
        Job &job = jobs_[(size_t) calls_[cmd.u.call]];
        if (job.accepted_at < 0)
          job.accepted_at = now_;
      }
      break;
    case DAG_CMD_CANCELLED:
    case DAG_CMD_DEPOSED:
      break;
    case DAG_CMD_START:
      send_order (
          cmd.target.target, kStartTimeoutMs,
          [this, cmd, term, sent_at = now_] (Target &target) {
            return handle_start (target, cmd, term, sent_at);
          },
          [this, cmd] (const OrderOutcome &outcome) {
            dag_handle_start_result (dag_, &cmd.u.start.task, cmd.u.start.run, outcome.result,
                                     outcome.clock, now_);
          });
      break;
    case DAG_CMD_STOP:
      send_order (
          cmd.target.target, kOrderTimeoutMs,
          [this, cmd, term] (Target &target) { return handle_stop (target, cmd, term); },
          [this, cmd] (const OrderOutcome &outcome) {
            dag_handle_stop_result (dag_, &cmd.u.stop.task, cmd.u.stop.run, outcome.result, now_);
          });
      break;
    case DAG_CMD_PACE:
      report_violation ("a pace order without best-effort runs");
      break;
    case DAG_CMD_HOLD: {
      /* A long poll is modelled as a hold that is sent 60 ms later. */
      int64_t wait = cmd.u.hold.wait_ms > 0 ? 60 : 0;
      schedule (now_ + wait, [this, cmd, term] {
        if (term != term_)
          return;
        send_order (
            cmd.target.target, kOrderTimeoutMs,
            [this, cmd, term] (Target &target) { return handle_hold (target, cmd, term); },
            [this, cmd] (const HoldOutcome &outcome) {
              answer_hold (cmd.target.target, cmd.u.hold.token, outcome);
            });
      });
      break;
    }
    case DAG_CMD_ADVISE:
      answer_advice_call (cmd);
      break;
    }
  }

  /* Carries out commands, stores records and schedules the next tick. */
  void
  process_outputs ()
  {
    for (int round = 0; round < 100; round++) {
      std::vector<DagCmd> cmds (dag_cmds (dag_)->items,
                                dag_cmds (dag_)->items + dag_cmds (dag_)->count);
      for (const DagCmd &cmd : cmds)
        run_command (cmd);
      dag_cmds_reset (dag_);
      if (cmds.empty ())
        break;
    }
    check_states ();
    start_append ();
    int64_t next = std::max (dag_next_tick (dag_, now_), now_ + 1);
    if (tick_at_ < 0 || next < tick_at_) {
      tick_at_ = next;
      schedule (next, [this] {
        tick_at_ = -1;
        for (Target &target : targets_)
          end_lapsed_runs (target);
        expire_entries ();
        dag_tick (dag_, now_);
      });
    }
  }

  void
  start_append ()
  {
    if (batch_open_ != 0)
      return;
    DagRecords records = {};
    int64_t batch = dag_take_batch (dag_, &records);
    if (batch == 0)
      return;
    batch_open_ = batch;
    std::map<std::string, std::string> copy;
    for (size_t i = 0; i < records.count; i++)
      copy[std::string (records.items[i].key.data, records.items[i].key.len)]
          = records.items[i].value.len
                ? std::string (records.items[i].value.data, records.items[i].value.len)
                : std::string ();
    dag_records_clear (&records);
    send_append (batch, copy, term_);
  }

  void
  send_append (int64_t batch, const std::map<std::string, std::string> &copy, int64_t term)
  {
    int64_t lands = std::max (now_, store_down_until_) + 3 + random_below (8);
    schedule (lands, [this, batch, copy, term] {
      if (term != term_)
        return; /* the store fences appends of former terms */
      if (store_down ()) {
        send_append (batch, copy, term);
        return;
      }
      for (auto &record : copy) {
        if (record.second.empty ())
          store_.erase (record.first);
        else
          store_[record.first] = record.second;
      }
      schedule (now_ + 2, [this, batch, term] {
        if (term != term_)
          return;
        batch_open_ = 0;
        dag_stored (dag_, batch, now_);
      });
    });
  }

  /* --- Faults and checks --- */

  void
  plan_faults ()
  {
    const Faults &faults = options_.faults;
    int64_t span = options_.faults_ms - 2000;
    for (int i = 0; faults.crashes && i < 5; i++) {
      int index = (int) random_below (options_.targets);
      bool same_id = chance (0.5);
      schedule (1000 + random_below (span), [this, index, same_id] { crash (index, same_id); });
    }
    for (int i = 0; faults.partitions && i < 4; i++) {
      int index = (int) random_below (options_.targets);
      int64_t length = 500 + random_below (9000);
      schedule (1000 + random_below (span), [this, index, length] {
        targets_[(size_t) index].partitioned_until = now_ + length;
        trace ("partition " + targets_[(size_t) index].id + " for " + std::to_string (length));
      });
    }
    for (int i = 0; faults.store_outages && i < 2; i++) {
      int64_t length = 300 + random_below (4000);
      schedule (1000 + random_below (span), [this, length] {
        if (!store_down ())
          store_down_until_ = now_ + length;
      });
    }
    for (int i = 0; faults.drains && i < 3; i++) {
      int index = (int) random_below (options_.targets);
      schedule (1000 + random_below (span), [this, index] { drain (index); });
    }
    for (int i = 0; faults.resizes && i < 12; i++) {
      int index = (int) random_below (options_.targets);
      int32_t capacity = 1000 + (int32_t) random_below (kCapacity - 1000);
      schedule (1000 + random_below (span), [this, index, capacity] { resize (index, capacity); });
    }
    for (int i = 0; faults.resizes && i < options_.targets; i++)
      schedule (options_.faults_ms, [this, i] { resize (i, kCapacity); });
    /* A target that leaves in calm times. */
    if (faults.drains)
      schedule (options_.faults_ms + kLateDrainAfterMs, [this] { drain (0); });
    for (int i = 0; faults.takeovers && i < 4; i++)
      schedule (1000 + random_below (span), [this] {
        if (!store_down ())
          take_over ();
      });
  }

  /* A gang counts the failed runs of its members together. */
  static bool
  has_reason_to_fail (const Job &job)
  {
    bool failed = job.culprit;
    for (size_t s = 0; s < job.steps.size (); s++) {
      int sum = 0;
      for (auto &task : job.tasks) {
        if (std::stoul (task.first) != s)
          continue;
        sum += task.second.failed_runs;
        failed |= task.second.failed_runs >= kMaxAttempts;
      }
      failed |= job.steps[s].gang && sum >= kMaxAttempts;
    }
    return failed;
  }

  /* Checks the states that callers see. */
  void
  check_states ()
  {
    for (Job &job : jobs_) {
      GrName id = gr_name (job.id.c_str ());
      DagJobState state = dag_status (dag_, &id);
      if (job.accepted_at >= 0 && state == DAG_JOB_UNKNOWN)
        report_violation ("accepted " + job.id + " is unknown to the scheduler");
      bool had_ended = job.last_state >= DAG_JOB_COMPLETED;
      if (had_ended && state != job.last_state)
        report_violation (job.id + " had ended and now has another state");
      if (state < DAG_JOB_COMPLETED || had_ended)
        continue;
      job.last_state = state;
      if (state == DAG_JOB_COMPLETED) {
        result_.completed++;
        total_ms_ += now_ - job.submitted_at;
        for (size_t s = 0; s < job.steps.size (); s++) {
          for (int i = 0; i < job.steps[s].count; i++) {
            if (!job.tasks[std::to_string (s) + "." + std::to_string (i)].done)
              report_violation (job.id + " is completed before all its tasks are done");
          }
        }
      }
      if (state == DAG_JOB_FAILED && !has_reason_to_fail (job))
        report_violation (job.id + " has failed without a reason");
      result_.failed += state == DAG_JOB_FAILED;
      result_.cancelled += state == DAG_JOB_CANCELLED;
    }
  }

  bool
  all_ended () const
  {
    if ((int) jobs_.size () < options_.jobs)
      return false;
    for (const Job &job : jobs_) {
      if (job.last_state < DAG_JOB_COMPLETED)
        return false;
    }
    for (const Target &target : targets_) {
      GrName id = gr_name (target.id.c_str ());
      GrRes used, capacity;
      if (!target.running.empty ())
        return false;
      if (dag_target_room (dag_, &id, &used, &capacity) && used.v[GR_RES_CPU_MILLI] != 0)
        return false;
    }
    return true;
  }

  void
  check_end ()
  {
    for (const Job &job : jobs_) {
      if (job.last_state < DAG_JOB_COMPLETED) {
        result_.unfinished++;
        report_violation (job.id + " has not ended long after the last fault");
      }
    }
    for (const Target &target : targets_) {
      if (!target.running.empty ())
        report_violation (target.running.begin ()->first + " still runs after its job has ended");
      GrName id = gr_name (target.id.c_str ());
      GrRes used, capacity;
      if (dag_target_room (dag_, &id, &used, &capacity) && used.v[GR_RES_CPU_MILLI] != 0)
        report_violation ("resources of " + target.id + " are still reserved");
    }
    if (result_.completed > 0)
      result_.mean_ms = total_ms_ / result_.completed;
  }
};

} // namespace dag_test
