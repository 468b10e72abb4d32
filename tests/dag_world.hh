/* The world around the step job scheduler: targets with late orders and lost answers, a store with
   outages, an advice service, and schedulers that are replaced. It checks the promises from what
   the targets see. Time is simulated; a seed decides everything. */
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

/* Which faults a schedule has; all may come at once. */
struct Faults {
  bool late_orders = true;
  bool crashes = true;
  bool cuts = true;
  bool outages = true;
  bool takeovers = true;
  bool cancels = true;
};

struct Options {
  uint32_t seed = 1;
  int targets = 8;
  int jobs = 60;
  int64_t arrivals_ms = 20000; /* jobs come over this time */
  int64_t faults_ms = 25000;
  int64_t settle_ms = 60000; /* without faults afterwards */
  Faults faults;
  bool broken_start_before_store = false;
  bool broken_restart_before_lapse = false;
  bool trace = false; /* prints what happens, for the search of a cause */
};

struct Result {
  std::string violation; /* empty: all promises held */
  int completed = 0, failed = 0, cancelled = 0, unfinished = 0, starts = 0;
  int64_t mean_ms = 0; /* acceptance to completion */
};

constexpr int64_t kLeaseMs = 4000;
constexpr int64_t kLeaseMaxMs = 8000;
constexpr int64_t kStopMs = 150;
constexpr int64_t kGangMs = 3000;
constexpr int64_t kReportMs = 1500;
constexpr int64_t kOrderTimeoutMs = 700;
constexpr int64_t kStartTimeoutMs = 250;
constexpr int64_t kAdviceValidMs = 2500;

inline std::string
text_of (const GrName &name)
{
  return std::string (name.data, name.len);
}

class World
{
public:
  explicit World (const Options &options) : options_{ options }, random_{ options.seed }
  {
    for (int i = 0; i < options_.targets; i++)
      add_target (i);
    for (int i = 0; i < options_.jobs; i++)
      at (below (options_.arrivals_ms), [this, i] { submit (i); });
    plan_faults ();
    take_over ();
  }

  ~World ()
  {
    dag_free (dag_);
  }

  Result
  run ()
  {
    int64_t end = options_.faults_ms + options_.settle_ms;
    while (!events_.empty () && result_.violation.empty ()) {
      Event event = events_.top ();
      if (event.time > end || (event.time > options_.faults_ms && all_over ()))
        break;
      events_.pop ();
      now_ = event.time;
      event.func ();
      pump ();
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
    int64_t ends_at = 0; /* 0: a gang that waits */
    int64_t started_at = 0;
    bool fails = false;
    bool stopping = false;
  };

  struct End {
    int64_t number;
    DagTaskRef task;
    int64_t run;
    DagEndKind kind;
    bool lapsed = false; /* the lease ran out before anybody took note of the end */
  };

  struct Target {
    std::string id, vm;
    int index;
    int64_t incarnation = 1;
    int64_t born_at = 0;
    bool up = true;
    int64_t cut_until = 0;
    double rate = 1;
    std::map<std::string, Run> running;
    std::map<std::string, int64_t> ended; /* highest run number stopped or ended */
    std::vector<End> ends;
    int64_t next_end = 1;
    int64_t acknowledged = 0;
    int64_t fence = 0;
    int64_t lease = 0; /* own clock */
    GrRes used{};
    int64_t reported_at = 0;
    bool listed = false;
  };

  struct Task {
    bool done_noted = false;
    bool done = false;
    int failures = 0;
  };

  struct Job {
    std::string id;
    std::vector<DagStepSpec> steps;
    int64_t submitted_at = 0;
    int64_t accepted_at = -1;
    bool cancelled = false;
    bool poison = false;
    bool advised = false;
    std::map<std::string, Task> tasks; /* by "step.index" */
    std::map<std::string, int> gang_failures;
    DagJobState shown = DAG_JOB_UNKNOWN;
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
  int64_t store_away_until_ = 0;
  int64_t tick_at_ = -1;
  Result result_;
  std::map<int64_t, int> calls_; /* submit call to job */
  int64_t next_call_ = 0;
  int64_t total_ms_ = 0;

  int64_t
  below (int64_t limit)
  {
    return limit <= 0 ? 0 : (int64_t) (random_ () % (uint64_t) limit);
  }

  bool
  chance (double share)
  {
    return (random_ () % 10000) < share * 10000;
  }

  void
  at (int64_t time, std::function<void ()> func)
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
  violate (const std::string &text)
  {
    if (result_.violation.empty ())
      result_.violation = "at " + std::to_string (now_) + " ms: " + text;
  }

  bool
  faulty () const
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
    target.rate = 0.98 + 0.02 * (double) below (100) / 100;
    targets_.push_back (target);
    at (below (kReportMs), [this, index] { report (index); });
  }

  int64_t
  clock (const Target &target) const
  {
    return 1000 + (int64_t) ((double) (now_ - target.born_at) * target.rate);
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
    info.capacity.v[GR_RES_CPU_MILLI] = 8000;
    info.capacity.v[GR_RES_MEMORY_MB] = 8000;
    return info;
  }

  bool
  store_away () const
  {
    return now_ < store_away_until_;
  }

  void
  report (int index)
  {
    Target &target = targets_[(size_t) index];
    at (now_ + kReportMs, [this, index] { report (index); });
    if (!target.up || store_away ())
      return;
    target.reported_at = now_;
    target.listed = true;
    DagTargetInfo info = info_of (target);
    dag_target_seen (dag_, &info, now_);
  }

  void
  drop_silent ()
  {
    for (Target &target : targets_) {
      if (!target.listed || store_away () || now_ - target.reported_at < 3 * kReportMs + 600)
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

  void
  end_run (Target &target, const std::string &name, DagEndKind kind)
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
  lapse (Target &target)
  {
    if (clock (target) <= target.lease)
      return;
    /* Ends that nobody took note of before the lapse do not bind. */
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
    trace ("crash " + target.id + (same_id ? " same id" : ""));
    std::vector<Run> runs;
    for (auto &entry : target.running)
      runs.push_back (entry.second);
    target.running.clear ();
    target.used = GrRes{};
    for (Run &run : runs) {
      if (job_of (run.task).steps[run.task.step].gang)
        break_gang (run, DAG_END_BROKEN);
    }
    at (now_ + 500 + below (6000), [this, index, same_id] {
      Target &again = targets_[(size_t) index];
      if (again.up)
        return;
      Target fresh;
      fresh.index = index;
      fresh.rate = again.rate;
      fresh.vm = again.vm;
      fresh.id = same_id ? again.id : again.id + "x";
      fresh.incarnation = again.incarnation + 1;
      fresh.born_at = now_;
      fresh.cut_until = again.cut_until;
      again = fresh;
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

  /* How an order travels: the time at which it is carried out, and at which its answer is back. */
  struct Journey {
    int64_t arrives;
    int64_t answered; /* -1: never */
  };

  Journey
  travel (const GrName &id)
  {
    int64_t arrives = now_ + 1 + below (15);
    int64_t answered = arrives + 1 + below (15);
    Target *target = find_target (id);
    if (!target || !target->up || now_ < target->cut_until)
      return { -1, -1 };
    if (faulty () && options_.faults.late_orders && chance (0.05)) {
      if (chance (0.5))
        return { now_ + 2000 + below (10000), -1 };
      return { arrives, -1 };
    }
    return { arrives, answered };
  }

  template <typename Carry, typename Answer>
  void
  order (const GrName &id, int64_t timeout_ms, Carry carry, Answer answer)
  {
    Journey journey = travel (id);
    int64_t term = term_;
    if (journey.arrives >= 0) {
      at (journey.arrives, [this, id, carry, answer, journey, term] {
        Target *target = find_target (id);
        bool cut = !target || !target->up || now_ < target->cut_until;
        auto outcome = cut ? std::nullopt : std::make_optional (carry (*target));
        if (journey.answered >= 0 && outcome && term == term_)
          at (journey.answered, [this, answer, outcome, term] {
            if (term == term_)
              answer (*outcome);
          });
        else if (journey.answered >= 0)
          at (now_ + kOrderTimeoutMs, [this, answer, term] {
            if (term == term_)
              answer (decltype (carry (*target)){ DAG_ORDER_LOST, {} });
          });
      });
    }
    if (journey.answered < 0)
      at (now_ + timeout_ms, [this, answer, term] {
        if (term == term_)
          answer (decltype (carry (targets_[0])){ DAG_ORDER_LOST, {} });
      });
  }

  struct OrderOutcome {
    DagOrderResult result;
    int64_t clock;
  };

  struct HoldOutcome {
    DagOrderResult result;
    std::optional<Target> seen;
  };

  bool
  fenced (Target &target, int64_t term)
  {
    if (term < target.fence)
      return true;
    target.fence = term;
    return false;
  }

  void
  raise_lease (Target &target, int64_t until)
  {
    until = std::min (until, clock (target) + kLeaseMaxMs);
    target.lease = std::max (target.lease, until);
  }

  void
  check_start (Target &target, const DagTaskRef &task, int64_t term)
  {
    Job &job = job_of (task);
    const DagStepSpec &step = job.steps[task.step];
    std::string name = name_of (task);
    Task &known = job.tasks[key_of (task)];
    for (Target &other : targets_) {
      if (other.running.count (name))
        violate ("two runs of " + name + " on " + other.id + " and " + target.id + " in term "
                 + std::to_string (term));
    }
    if (known.done_noted)
      violate ("start of " + name + " after its end was noted");
    int failures = step.gang ? job.gang_failures[std::to_string (task.step)] : known.failures;
    if (failures >= 3)
      violate ("start of " + name + " after all its attempts");
    for (size_t s = 0; s < job.steps.size (); s++) {
      if (!(step.depends_on >> s & 1))
        continue;
      for (int i = 0; i < job.steps[s].count; i++) {
        if (!job.tasks[std::to_string (s) + "." + std::to_string (i)].done)
          violate ("start of " + name + " before step " + std::to_string (s) + " was done");
      }
    }
    if (step.label.len > 0 && text_of (step.label) != (target.index % 2 ? "a" : "b"))
      violate ("start of " + name + " on a target without its label");
    if (step.max_per_target > 0) {
      int count = 1;
      for (auto &entry : target.running)
        count += gr_name_equal (&entry.second.task.job, &task.job)
                 && entry.second.task.step == task.step;
      if (count > step.max_per_target)
        violate ("too many tasks of a step on " + target.id);
    }
    GrRes used = target.used;
    gr_res_add (&used, &step.demand);
    if (used.v[GR_RES_CPU_MILLI] > 8000 || used.v[GR_RES_MEMORY_MB] > 8000)
      violate ("target " + target.id + " is over its capacity");
  }

  OrderOutcome
  carry_start (Target &target, const DagCmd &cmd, int64_t term)
  {
    const auto &start = cmd.u.start;
    std::string name = name_of (start.task);
    if (start.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, 0 };
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, clock (target) };
    lapse (target);
    raise_lease (target, start.lease_until);
    if (clock (target) > start.lease_until)
      return { DAG_ORDER_LATE, clock (target) };
    auto it = target.running.find (name);
    if (it != target.running.end ())
      return { it->second.run == start.run ? DAG_ORDER_OK : DAG_ORDER_OLD, clock (target) };
    if (target.ended.count (name) && start.run <= target.ended[name])
      return { DAG_ORDER_OLD, clock (target) };
    check_start (target, start.task, term);
    trace ("start " + name + " run " + std::to_string (start.run) + " on " + target.id);
    result_.starts++;
    Job &job = job_of (start.task);
    const DagStepSpec &step = job.steps[start.task.step];
    Run run;
    run.name = name;
    run.task = start.task;
    run.run = start.run;
    run.started_at = now_;
    run.fails = job.poison || chance (0.04);
    target.running[name] = run;
    gr_res_add (&target.used, &step.demand);
    if (step.gang)
      begin_gang (job, start.task, start.run);
    else
      begin_run (target, name, step.estimate_ms / 2 + 1 + below (step.estimate_ms));
    return { DAG_ORDER_OK, clock (target) };
  }

  void
  begin_run (Target &target, const std::string &name, int64_t duration)
  {
    Run &run = target.running[name];
    run.ends_at = now_ + duration;
    int index = target.index;
    int64_t number = run.run, incarnation = target.incarnation;
    at (run.ends_at, [this, index, name, number, incarnation] {
      Target &there = targets_[(size_t) index];
      lapse (there);
      auto it = there.running.find (name);
      if (there.incarnation != incarnation || it == there.running.end ()
          || it->second.run != number)
        return;
      Run run = it->second;
      bool gang = job_of (run.task).steps[run.task.step].gang;
      if (run.fails)
        end_run (there, name, DAG_END_FAILED);
      else if (gang)
        end_gang (run);
      else
        end_run (there, name, DAG_END_DONE);
    });
  }

  /* All members end as done together. */
  void
  end_gang (const Run &run)
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

  void
  begin_gang (Job &job, const DagTaskRef &task, int64_t number)
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
      int64_t duration = step.estimate_ms / 2 + 1 + below (step.estimate_ms);
      for (auto &member : members)
        begin_run (*member.first, member.second, duration);
      return;
    }
    DagTaskRef ref = task;
    at (now_ + kGangMs, [this, ref, number] {
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
  carry_stop (Target &target, const DagCmd &cmd, int64_t term)
  {
    const auto &stop = cmd.u.stop;
    std::string name = name_of (stop.task);
    if (stop.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, 0 };
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, clock (target) };
    trace ("stop " + name + " run " + std::to_string (stop.run) + " on " + target.id);
    target.ended[name] = std::max (target.ended[name], stop.run);
    auto it = target.running.find (name);
    if (it != target.running.end () && it->second.run <= stop.run) {
      it->second.stopping = true;
      int index = target.index;
      int64_t number = it->second.run;
      at (now_ + below (kStopMs), [this, index, name, number] {
        Target &there = targets_[(size_t) index];
        auto run = there.running.find (name);
        if (run != there.running.end () && run->second.run == number)
          end_run (there, name, DAG_END_STOPPED);
      });
    }
    return { DAG_ORDER_OK, clock (target) };
  }

  HoldOutcome
  carry_hold (Target &target, const DagCmd &cmd, int64_t term)
  {
    const auto &hold = cmd.u.hold;
    if (hold.target.incarnation != target.incarnation)
      return { DAG_ORDER_GONE, std::nullopt };
    lapse (target);
    if (fenced (target, term))
      return { DAG_ORDER_FENCED, std::nullopt };
    if (hold.lease_until > 0)
      raise_lease (target, hold.lease_until);
    while (!target.ends.empty () && target.ends.front ().number <= hold.acknowledged) {
      End end = target.ends.front ();
      target.ends.erase (target.ends.begin ());
      target.acknowledged = end.number;
      trace ("noted " + name_of (end.task) + " run " + std::to_string (end.run) + " on "
             + target.id);
      note_end (end);
    }
    return { DAG_ORDER_OK, target };
  }

  void
  note_end (const End &end)
  {
    Job &job = job_of (end.task);
    Task &task = job.tasks[key_of (end.task)];
    if (end.lapsed)
      return;
    if (end.kind == DAG_END_DONE)
      task.done_noted = true;
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
          = entry.second.ends_at == 0
                ? 0
                : (int32_t) std::min<int64_t> (99, (now_ - entry.second.started_at) / 10);
      running.push_back ({ entry.second.task, entry.second.run, { "", 0 }, percent });
    }
    for (auto &end : seen.ends)
      ends.push_back ({ end.number, end.task, end.run, end.kind, { "", 0 } });
    DagInventory inventory = {};
    inventory.incarnation = seen.incarnation;
    inventory.clock_ms = clock (seen);
    inventory.running = running.data ();
    inventory.running_count = running.size ();
    inventory.ends = ends.data ();
    inventory.end_count = ends.size ();
    dag_handle_hold_result (dag_, &id, token, DAG_ORDER_OK, &inventory, now_);
  }

  /* --- Scheduler --- */

  void
  take_over ()
  {
    dag_free (dag_);
    DagOptions options = {};
    options.lease_ms = kLeaseMs;
    options.lease_max_ms = kLeaseMaxMs;
    options.stop_timeout_ms = kStopMs;
    options.status_keep_ms = 1000000;
    options.former_leases_lapse_at_ms = now_ + (int64_t) (kLeaseMs / 0.98) + 300;
    options.quiet = !options_.trace;
    options.broken_start_before_store = options_.broken_start_before_store;
    options.broken_restart_before_lapse = options_.broken_restart_before_lapse;
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
      queues[q].max_attempts = 3;
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
          violate (std::string ("a record cannot be loaded: ") + err.detail);
      }
    }
    for (Target &target : targets_) {
      if (!target.listed)
        continue;
      DagTargetInfo info = info_of (target);
      dag_target_seen (dag_, &info, now_);
    }
    dag_loaded (dag_, now_);
    /* Callers without an answer send their jobs again. */
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
    job.poison = chance (0.05);
    job.advised = chance (0.4);
    int steps = 1 + (int) below (3);
    for (int s = 0; s < steps; s++) {
      DagStepSpec step = {};
      step.count = 1 + (int32_t) below (6);
      step.demand.v[GR_RES_CPU_MILLI] = 500 + (int32_t) below (3000);
      step.demand.v[GR_RES_MEMORY_MB] = 100 + (int32_t) below (2000);
      step.estimate_ms = 100 + below (1500);
      step.gang = chance (0.35);
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
             + (step.max_per_target ? " apart" : "") + (job.advised ? " advised" : ""));
    job_index_[job.id] = (int) jobs_.size ();
    jobs_.push_back (job);
    int index = (int) jobs_.size () - 1;
    send_job (index);
    if (options_.faults.cancels && chance (0.1))
      at (now_ + below (4000), [this, index] { cancel (index); });
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
      violate ("a job was refused: " + std::string (err.detail));
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
  advise (const DagCmd &cmd)
  {
    const auto &ask = cmd.u.advise;
    std::vector<DagAllowed> allowed;
    trace ("advise " + text_of (ask.job) + " step " + std::to_string (ask.step) + " targets "
           + std::to_string (ask.count));
    for (size_t i = 0; i < ask.count; i++) {
      /* Two of eight targets are not allowed, so that every job can be done. */
      Target *target = find_target (ask.targets[i]);
      size_t step = std::hash<std::string>{}(text_of (ask.job) + std::to_string (ask.step));
      if (!target || ((size_t) target->index + step) % 8 < 2)
        continue;
      DagAllowed one = {};
      one.target = ask.targets[i];
      one.ticket[0] = 't';
      allowed.push_back (one);
    }
    GrName job = ask.job;
    uint32_t step = ask.step;
    int64_t token = ask.token, term = term_;
    bool ok = !(faulty () && chance (0.05));
    at (now_ + ask.expected_ms + 5, [this, job, step, token, term, ok, allowed] {
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
      order (
          cmd.u.start.target.target, kStartTimeoutMs,
          [this, cmd, term] (Target &target) { return carry_start (target, cmd, term); },
          [this, cmd] (const OrderOutcome &outcome) {
            dag_handle_start_result (dag_, &cmd.u.start.task, cmd.u.start.run, outcome.result,
                                     outcome.clock, now_);
          });
      break;
    case DAG_CMD_STOP:
      order (
          cmd.u.stop.target.target, kOrderTimeoutMs,
          [this, cmd, term] (Target &target) { return carry_stop (target, cmd, term); },
          [this, cmd] (const OrderOutcome &outcome) {
            dag_handle_stop_result (dag_, &cmd.u.stop.task, cmd.u.stop.run, outcome.result, now_);
          });
      break;
    case DAG_CMD_HOLD: {
      /* A hold that waits is modelled as one that is asked a little later. */
      int64_t wait = cmd.u.hold.wait_ms > 0 ? 60 : 0;
      at (now_ + wait, [this, cmd, term] {
        if (term != term_)
          return;
        order (
            cmd.u.hold.target.target, kOrderTimeoutMs,
            [this, cmd, term] (Target &target) { return carry_hold (target, cmd, term); },
            [this, cmd] (const HoldOutcome &outcome) {
              answer_hold (cmd.u.hold.target.target, cmd.u.hold.token, outcome);
            });
      });
      break;
    }
    case DAG_CMD_ADVISE:
      advise (cmd);
      break;
    }
  }

  void
  pump ()
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
    check_shown ();
    append ();
    int64_t next = std::max (dag_next_tick (dag_, now_), now_ + 1);
    if (tick_at_ < 0 || next < tick_at_) {
      tick_at_ = next;
      at (next, [this] {
        tick_at_ = -1;
        for (Target &target : targets_)
          lapse (target);
        drop_silent ();
        dag_tick (dag_, now_);
      });
    }
  }

  void
  append ()
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
    int64_t lands = std::max (now_, store_away_until_) + 3 + below (8);
    at (lands, [this, batch, copy, term] {
      if (term != term_)
        return; /* fenced */
      if (store_away ()) {
        send_append (batch, copy, term);
        return;
      }
      for (auto &record : copy) {
        if (record.second.empty ())
          store_.erase (record.first);
        else
          store_[record.first] = record.second;
      }
      at (now_ + 2, [this, batch, term] {
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
      int index = (int) below (options_.targets);
      bool same_id = chance (0.5);
      at (1000 + below (span), [this, index, same_id] { crash (index, same_id); });
    }
    for (int i = 0; faults.cuts && i < 4; i++) {
      int index = (int) below (options_.targets);
      int64_t length = 500 + below (9000);
      at (1000 + below (span), [this, index, length] {
        targets_[(size_t) index].cut_until = now_ + length;
        trace ("cut " + targets_[(size_t) index].id + " for " + std::to_string (length));
      });
    }
    for (int i = 0; faults.outages && i < 2; i++) {
      int64_t length = 300 + below (4000);
      at (1000 + below (span), [this, length] {
        if (!store_away ())
          store_away_until_ = now_ + length;
      });
    }
    for (int i = 0; faults.takeovers && i < 4; i++)
      at (1000 + below (span), [this] {
        if (!store_away ())
          take_over ();
      });
  }

  void
  check_shown ()
  {
    for (Job &job : jobs_) {
      GrName id = gr_name (job.id.c_str ());
      DagJobState state = dag_status (dag_, &id);
      if (job.accepted_at >= 0 && state == DAG_JOB_UNKNOWN)
        violate ("accepted " + job.id + " is unknown");
      bool was_over = job.shown >= DAG_JOB_COMPLETED;
      if (was_over && state != job.shown)
        violate (job.id + " was shown as ended and now as another state");
      if (state < DAG_JOB_COMPLETED || was_over)
        continue;
      job.shown = state;
      if (state == DAG_JOB_COMPLETED) {
        result_.completed++;
        total_ms_ += now_ - job.submitted_at;
        for (size_t s = 0; s < job.steps.size (); s++) {
          for (int i = 0; i < job.steps[s].count; i++) {
            if (!job.tasks[std::to_string (s) + "." + std::to_string (i)].done)
              violate (job.id + " is shown as completed before all its tasks are done");
          }
        }
      }
      result_.failed += state == DAG_JOB_FAILED;
      result_.cancelled += state == DAG_JOB_CANCELLED;
    }
  }

  bool
  all_over () const
  {
    if ((int) jobs_.size () < options_.jobs)
      return false;
    for (const Job &job : jobs_) {
      if (job.shown < DAG_JOB_COMPLETED)
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
      if (job.shown < DAG_JOB_COMPLETED) {
        result_.unfinished++;
        violate (job.id + " has not ended long after the last fault");
      }
    }
    for (const Target &target : targets_) {
      if (!target.running.empty ())
        violate (target.running.begin ()->first + " still runs after its job has ended");
      GrName id = gr_name (target.id.c_str ());
      GrRes used, capacity;
      if (dag_target_room (dag_, &id, &used, &capacity) && used.v[GR_RES_CPU_MILLI] != 0)
        violate ("room on " + target.id + " is still reserved");
    }
    if (result_.completed > 0)
      result_.mean_ms = total_ms_ / result_.completed;
  }
};

} // namespace dag_test
