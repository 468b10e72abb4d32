/* Orders on their way to the simulated targets, which may be late or lost, and what the targets do
   with them. Invariants of starts, stops and ends are checked here. */
#pragma once

#include "dag_world_targets.hh"

namespace dag_test
{

class SimulatedOrders : public SimulatedTargets
{
protected:
  using SimulatedTargets::SimulatedTargets;

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
    int64_t arrives;     /* -1: never */
    int64_t answered;    /* -1: never */
    int64_t incarnation; /* the only one that carries it out; 0: any, as it names the id only */
    bool closed = false; /* the target's process has ended, and its system says so */
  };

  /* True if the target's process has ended and its system can say so. */
  bool
  is_closed (const Target *target) const
  {
    return target && !target->up && now_ >= target->partitioned_until;
  }

  Delivery
  plan_delivery (const GrName &id)
  {
    int64_t arrives = now_ + 1 + random_below (15);
    int64_t answered = arrives + 1 + random_below (15);
    Target *target = find_target (id);
    if (is_closed (target))
      return { -1, answered, 0, true };
    if (!target || !target->up || now_ < target->partitioned_until)
      return { -1, -1, 0 };
    if (now_ < target->paused_until)
      return { target->paused_until + random_below (15), -1, target->incarnation };
    if (in_fault_phase () && options_.faults.late_orders && chance (0.05)) {
      /* An order that the target has received and left lying ends with its process. */
      if (chance (0.5))
        return { now_ + 2000 + random_below (10000), -1, target->incarnation };
      return { arrives, -1, 0 };
    }
    return { arrives, answered, 0 };
  }

  /* Sends an order: handle carries it out on the target, answer gets the outcome, or DAG_ORDER_LOST
     after a timeout. Answers for a former term are dropped. */
  template <typename Handle, typename Answer>
  void
  send_order (const GrName &id, int64_t timeout_ms, Handle handle, Answer answer)
  {
    Delivery delivery = plan_delivery (id);
    int64_t term = term_;
    if (delivery.closed) {
      schedule (delivery.answered, [this, answer, term] {
        if (term == term_)
          answer (decltype (handle (targets_[0])){ DAG_ORDER_CLOSED, {} });
      });
      return;
    }
    if (delivery.arrives >= 0) {
      schedule (delivery.arrives, [this, id, handle, answer, delivery, term] {
        Target *target = find_target (id);
        bool unreachable
            = !target || !target->up || now_ < target->partitioned_until
              || (delivery.incarnation > 0 && delivery.incarnation != target->incarnation);
        bool paused = !unreachable && now_ < target->paused_until;
        if (paused)
          handle_after_pause (*target, handle);
        auto outcome = unreachable || paused ? std::nullopt : std::make_optional (handle (*target));
        bool closed = is_closed (target);
        bool answers = outcome && now_ >= target->mute_until;
        if (delivery.answered >= 0 && answers && term == term_)
          schedule (delivery.answered, [this, answer, outcome, term] {
            if (term == term_)
              answer (*outcome);
          });
        else if (delivery.answered >= 0 && closed)
          schedule (delivery.answered, [this, answer, term] {
            if (term == term_)
              answer (decltype (handle (*target)){ DAG_ORDER_CLOSED, {} });
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

  /* The order waits in the target's sockets. Its answer comes too late. */
  template <typename Handle>
  void
  handle_after_pause (const Target &target, Handle handle)
  {
    int index = target.index;
    int64_t incarnation = target.incarnation;
    schedule (target.paused_until + random_below (15), [this, index, incarnation, handle] {
      Target &there = targets_[(size_t) index];
      if (there.up && there.incarnation == incarnation)
        handle (there);
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
  check_start (Target &target, const DagTaskRef &task, int64_t term, int64_t sent_at)
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
    int failures = step.gang ? (int) job.gang_failures[task.step].size () : known.failures;
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
    int32_t limit = now_ - sent_at > kLateOrderMs ? kCapacity : target.limit;
    if (used.v[GR_RES_CPU_MILLI] > limit || used.v[GR_RES_MEMORY_MB] > limit)
      report_violation ("start of " + name + ": target " + target.id + " is over its capacity");
    if (!job.account.empty ())
      check_maximum (job, name, step.demand, sent_at);
  }

  void
  check_maximum (const Job &job, const std::string &name, const GrRes &demand, int64_t sent_at)
  {
    GrRes used = usage_of (job.account);
    gr_res_add (&used, &demand);
    result_.most_used = std::max (result_.most_used, used.v[GR_RES_CPU_MILLI]);
    int32_t maximum = maximum_since (sent_at);
    if (used.v[GR_RES_CPU_MILLI] > maximum || used.v[GR_RES_MEMORY_MB] > maximum)
      report_violation ("start of " + name + ": account " + job.account + " is over its maximum of "
                        + std::to_string (maximum));
  }

  OrderOutcome
  handle_start (Target &target, const DagCmd &cmd, int64_t term, int64_t sent_at)
  {
    const auto &start = cmd.u.start;
    std::string name = name_of (start.task);
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
    check_start (target, start.task, term, sent_at);
    trace ("start " + name + " run " + std::to_string (start.run) + " on " + target.id);
    result_.starts++;
    Job &job = job_of (start.task);
    if (job.cancel_answered_at >= 0 && sent_at > job.cancel_answered_at)
      report_violation ("start of " + name + " after its cancellation was answered");
    if (job.refused)
      report_violation ("start of " + name + ", whose submission was refused");
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
    if (start.task.step == 0 && start.task.index == 0 && job.silences_left > 0 && in_fault_phase ())
      silence_soon (job, target);
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

  void
  silence_soon (Job &job, const Target &target)
  {
    job.silences_left--;
    int index = target.index;
    int64_t length = 500 + random_below (kSilenceMaxMs - 500);
    schedule (now_ + random_below (kUnluckyWithinMs),
              [this, index, length] { silence (index, length); });
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
      if (there.incarnation == incarnation && now_ < there.paused_until) {
        auto run = there.running.find (name);
        if (run != there.running.end () && run->second.run == number)
          start_run (there, name, there.paused_until - now_);
        return;
      }
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
      job.gang_failures[end.task.step].insert (end.run);
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
};

} // namespace dag_test
