/* Simulated targets: they run tasks, report themselves, drain, crash and change their capacity. */
#pragma once

#include "dag_world_state.hh"

namespace dag_test
{

class SimulatedTargets : public SimulatedState
{
protected:
  using SimulatedState::SimulatedState;

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
    if (!target.up || store_down () || now_ < target.dark_until || now_ < target.paused_until)
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
    if (!target.up || target.drains_until > 0 || store_down () || now_ < target.dark_until
        || now_ < target.paused_until)
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

  /* The target stops answering for a time, in one of several ways. Its runs go on under their
     leases. */
  void
  silence (int index, int64_t length)
  {
    enum {
      CUT_OFF,
      DARK,
      MUTE,
      PAUSED,
      KINDS
    };
    static const char *const names[KINDS] = { "cut off", "dark", "mute", "paused" };
    Target &target = targets_[(size_t) index];
    int64_t until = std::min (now_ + length, options_.faults_ms);
    int64_t kind = random_below (KINDS);
    if (kind == CUT_OFF || kind == DARK)
      target.partitioned_until = std::max (target.partitioned_until, until);
    if (kind == DARK)
      target.dark_until = std::max (target.dark_until, until);
    if (kind == MUTE)
      target.mute_until = std::max (target.mute_until, until);
    if (kind == PAUSED)
      target.paused_until = std::max (target.paused_until, until);
    trace (std::string (names[kind]) + " " + target.id + " until " + std::to_string (until));
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
      dag_target_unlisted (dag_, &id, now_, now_);
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
  count_failure (const Run &run, DagEndKind kind)
  {
    if (kind != DAG_END_FAILED)
      return;
    Job &job = job_of (run.task);
    if (job.steps[run.task.step].gang)
      job.gang_failed_runs[run.task.step].insert (run.run);
    else
      job.tasks[key_of (run.task)].failed_runs++;
  }

  /* What the targets run of the account, except runs whose leases have lapsed. */
  GrRes
  usage_of (const std::string &account)
  {
    GrRes used{};
    for (const Target &target : targets_) {
      if (!target.up || clock_of (target) > target.lease)
        continue;
      for (auto &entry : target.running) {
        GrRes need = demand_of (entry.second.task);
        if (job_of (entry.second.task).account == account)
          gr_res_add (&used, &need);
      }
    }
    return used;
  }

  /* Highest maximum that was in force at a scheduler from this time on. */
  int32_t
  maximum_since (int64_t time) const
  {
    int32_t highest = 0;
    for (size_t i = 0; i < maxima_in_force_.size (); i++) {
      bool over = i + 1 < maxima_in_force_.size () && maxima_in_force_[i + 1].first < time;
      if (!over)
        highest = std::max (highest, maxima_in_force_[i].second);
    }
    return highest;
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
    count_failure (run, kind);
    if (job.steps[run.task.step].gang && kind != DAG_END_DONE)
      break_gang (run);
  }

  /* Ends the other members of the gang. Those that fail anyway may do so before they notice. */
  void
  break_gang (const Run &run)
  {
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
        DagEndKind kind = member.fails && chance (0.5) ? DAG_END_FAILED : DAG_END_BROKEN;
        target.ends.push_back ({ target.next_end++, member.task, member.run, kind, false });
        count_failure (member, kind);
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

  /* The scheduler learns that the long polls at the target have ended with it, unless it is cut
     off. */
  void
  close_polls (const Target &target)
  {
    if (now_ < target.partitioned_until)
      return;
    int64_t term = term_;
    for (auto it = open_polls_.begin (); it != open_polls_.end ();) {
      if (it->second != target.id) {
        ++it;
        continue;
      }
      int64_t token = it->first;
      std::string id = target.id;
      schedule (now_ + 1 + random_below (15), [this, id, token, term] {
        GrName name = gr_name (id.c_str ());
        if (term == term_)
          dag_handle_hold_result (dag_, &name, token, DAG_ORDER_CLOSED, nullptr, now_);
      });
      it = open_polls_.erase (it);
    }
  }

  void
  crash (int index, bool same_id)
  {
    Target &target = targets_[(size_t) index];
    target.up = false;
    crashed_at_ = now_;
    trace ("crash " + target.id + (same_id ? " same id" : ""));
    close_polls (target);
    std::vector<Run> runs;
    for (auto &entry : target.running)
      runs.push_back (entry.second);
    target.running.clear ();
    target.used = GrRes{};
    for (Run &run : runs) {
      job_of (run.task).tasks[key_of (run.task)].crashes++;
      if (job_of (run.task).steps[run.task.step].gang)
        break_gang (run);
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
      fresh.incarnation = now_;
      fresh.booted_at = now_;
      fresh.partitioned_until = crashed.partitioned_until;
      crashed = fresh;
    });
  }
};

} // namespace dag_test
