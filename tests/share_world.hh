/* A cell without faults under load of client accounts. Time is simulated; starts, holds and advice
   are answered at once. */
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dag/dag.h"

namespace dag_test
{

struct ShareAccount {
  std::string name;
  double weight;
  GrRes maximum;
};

struct ShareJob {
  std::string account, queue;
  DagStepSpec step;
  int64_t submitted_at, ended_at; /* ended_at -1: not yet */
  int32_t started, done;
};

class ShareWorld
{
public:
  ShareWorld (int targets, int32_t cpu, int32_t memory, const std::vector<DagQueue> &queues,
              const std::vector<ShareAccount> &accounts)
  {
    DagOptions options = {};
    options.lease_ms = 4000;
    options.lease_max_ms = 8000;
    options.stop_timeout_ms = 200;
    options.status_keep_ms = 3600 * 1000;
    options.quiet = true;
    dag_ = dag_new (&options, nullptr);
    DagQueues queue_list = { queues.data (), queues.size () };
    dag_set_queues (dag_, &queue_list, now_);
    std::vector<DagAccount> list (accounts.size ());
    for (size_t i = 0; i < accounts.size (); i++)
      list[i] = { gr_name (accounts[i].name.c_str ()), accounts[i].weight, accounts[i].maximum };
    DagAccounts account_list = { list.data (), list.size () };
    dag_set_accounts (dag_, &account_list, now_);
    dag_loaded (dag_, now_);
    for (int i = 0; i < targets; i++) {
      DagTargetInfo info = {};
      std::string id = "t" + std::to_string (i);
      info.id = gr_name (id.c_str ());
      info.incarnation = 1;
      info.service = gr_name ("svc");
      info.address = info.id;
      info.rack = gr_name (("r" + std::to_string (i / 4)).c_str ());
      info.capacity.v[GR_RES_CPU_MILLI] = cpu;
      info.capacity.v[GR_RES_MEMORY_MB] = memory;
      targets_[id] = {};
      dag_target_seen (dag_, &info, now_);
    }
    process ();
  }

  ~ShareWorld ()
  {
    dag_free (dag_);
  }

  ShareWorld (const ShareWorld &) = delete;
  ShareWorld &operator= (const ShareWorld &) = delete;

  DagSubmitResult
  submit (const std::string &account, const std::string &queue, const DagStepSpec &step)
  {
    std::string id = "job" + std::to_string (jobs.size ());
    DagJobSpec spec = {};
    spec.id = gr_name (id.c_str ());
    spec.queue = gr_name (queue.c_str ());
    spec.account = gr_name (account.c_str ());
    spec.payload = { "work", 4 };
    spec.steps = &step;
    spec.step_count = 1;
    int64_t retry;
    DagSubmitResult result = dag_submit (dag_, &spec, 1, now_, &retry, nullptr);
    if (result == DAG_SUBMIT_PENDING) {
      index_[id] = jobs.size ();
      jobs.push_back ({ account, queue, step, now_, -1, 0, 0 });
    }
    return result;
  }

  /* Runs for 5 ms. */
  void
  advance ()
  {
    now_ += 5;
    for (auto &entry : targets_)
      end_runs (entry.second);
    dag_tick (dag_, now_);
    process ();
  }

  int64_t
  now () const
  {
    return now_;
  }

  std::vector<ShareJob> jobs;
  std::map<std::string, GrRes> used; /* by account, runs that no hold has reported as ended */

private:
  struct Run {
    DagTaskRef task;
    int64_t run, ends_at;
    size_t job;
  };

  struct Target {
    std::vector<Run> runs;
    std::vector<DagEnd> ends;
    int64_t next_end = 1, reported = 1; /* numbers */
    std::map<int64_t, int64_t> holds;   /* by token: latest answer */
  };

  void
  end_runs (Target &target)
  {
    for (size_t i = target.runs.size (); i-- > 0;) {
      Run run = target.runs[i];
      if (run.ends_at > now_)
        continue;
      target.runs.erase (target.runs.begin () + (std::ptrdiff_t) i);
      target.ends.push_back ({ target.next_end++, run.task, run.run, DAG_END_DONE, { "", 0 } });
      ShareJob &job = jobs[run.job];
      if (++job.done == job.step.count)
        job.ended_at = now_;
    }
  }

  void
  start (const DagCmd &cmd)
  {
    const auto &order = cmd.u.start;
    size_t index = index_.at (std::string (order.task.job.data, order.task.job.len));
    ShareJob &job = jobs[index];
    job.started++;
    gr_res_add (&used[job.account], &job.step.demand);
    Target &target = targets_.at (std::string (cmd.target.target.data, cmd.target.target.len));
    /* Run times of single tasks differ by up to 15%. */
    int64_t percent = job.step.gang ? 100 : 85 + (int64_t) (random_ () % 31);
    int64_t ends_at = now_ + job.step.estimate_ms * percent / 100;
    target.runs.push_back ({ order.task, order.run, ends_at, index });
    dag_handle_start_result (dag_, &order.task, order.run, DAG_ORDER_OK, now_, now_);
  }

  void
  answer_hold (const std::string &id, Target &target, int64_t token)
  {
    std::vector<DagRunReport> running;
    for (const Run &run : target.runs)
      running.push_back ({ run.task, run.run, { "", 0 }, (int32_t) (now_ / 100 % 100), -1 });
    DagInventory inventory
        = { 1, now_, running.data (), running.size (), target.ends.data (), target.ends.size () };
    for (; target.reported < target.next_end; target.reported++) {
      const DagEnd &end
          = target.ends[target.ends.size () - (size_t) (target.next_end - target.reported)];
      const ShareJob &job = jobs[index_.at (std::string (end.task.job.data, end.task.job.len))];
      gr_res_sub (&used[job.account], &job.step.demand);
    }
    GrName name = gr_name (id.c_str ());
    dag_handle_hold_result (dag_, &name, token, DAG_ORDER_OK, &inventory, now_);
  }

  void
  run_command (const DagCmd &cmd)
  {
    if (cmd.type == DAG_CMD_START)
      start (cmd);
    if (cmd.type == DAG_CMD_HOLD) {
      Target &target = targets_.at (std::string (cmd.target.target.data, cmd.target.target.len));
      while (!target.ends.empty () && target.ends.front ().number <= cmd.u.hold.acknowledged)
        target.ends.erase (target.ends.begin ());
      target.holds[cmd.u.hold.token] = now_ + cmd.u.hold.wait_ms;
    }
    if (cmd.type != DAG_CMD_ADVISE)
      return;
    std::vector<DagAllowed> allowed (cmd.u.advise.count);
    for (size_t i = 0; i < allowed.size (); i++)
      allowed[i] = { cmd.u.advise.targets[i], "t" };
    GrName job = cmd.u.advise.job;
    dag_handle_advice (dag_, &job, cmd.u.advise.step, cmd.u.advise.token, true, allowed.data (),
                       allowed.size (), 0, now_);
  }

  void
  process ()
  {
    for (bool busy = true; busy;) {
      busy = false;
      std::vector<DagCmd> cmds (dag_cmds (dag_)->items,
                                dag_cmds (dag_)->items + dag_cmds (dag_)->count);
      for (const DagCmd &cmd : cmds)
        run_command (cmd);
      dag_cmds_reset (dag_);
      for (auto &entry : targets_) {
        std::map<int64_t, int64_t> holds = entry.second.holds;
        for (auto &hold : holds) {
          if (now_ < hold.second && entry.second.ends.empty ())
            continue;
          entry.second.holds.erase (hold.first);
          answer_hold (entry.first, entry.second, hold.first);
        }
      }
      DagRecords records = {};
      int64_t batch = dag_take_batch (dag_, &records);
      dag_records_clear (&records);
      if (batch > 0)
        dag_stored (dag_, batch, now_);
      busy = batch > 0 || dag_cmds (dag_)->count > 0;
    }
  }

  std::minstd_rand random_;
  DagState *dag_ = nullptr;
  int64_t now_ = 100000;
  std::map<std::string, Target> targets_;
  std::map<std::string, size_t> index_;
};

} // namespace dag_test
