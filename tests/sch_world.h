/* A simulated cell for the property tests of the scheduler. It applies a generated schedule of
   messages and answers the scheduler's commands as targets would, with delayed, duplicated and
   reordered messages. It checks the rules below against its own record of the tasks. */
#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sch/sch.h"

namespace sch_test
{

using Schedule = std::vector<uint32_t>;
using Attempt = std::pair<std::string, int32_t>;

/* Rules that are checked; bits of a mask. */
enum Rule {
  RULE_CAPACITY = 1,
  RULE_QUOTA = 2,
  RULE_GANG = 4,
  RULE_CANCEL = 8,
  RULE_LEAK = 16,
  RULE_ONE_OUTCOME = 32,
  RULE_TARGET_STATE = 64
};

inline std::string
to_string (const GrName &name)
{
  return std::string (name.data, name.len);
}

class World
{
public:
  World (const SchFaults &faults, uint32_t setup) : random_ (setup * 2654435761U + 1)
  {
    SchOptions options;
    sch_options_defaults (&options);
    options.faults = faults;
    options.aging_ms = 300 + random () % 2000;
    options.batch_share_pct = 50 + random () % 51;
    options.long_slots_pct = 25 + random () % 76;
    sch_ = sch_new (&options, nullptr);
    int count = 1 + (int) (random () % 5);
    for (int i = 0; i < count; i++) {
      Target target;
      target.capacity.v[GR_RES_CPU_MILLI] = 1000 * (1 + (int32_t) (random () % 8));
      target.capacity.v[GR_RES_MEMORY_MB] = 1000 * (1 + (int32_t) (random () % 8));
      target.capacity.v[GR_RES_ACCELERATORS] = random () % 3 ? 0 : 2;
      target.capacity.v[GR_RES_SLOTS] = random () % 2 ? 8 : 0;
      targets_["t" + std::to_string (i)] = target;
    }
    for (auto &entry : targets_)
      target_up (entry.first);
  }

  ~World ()
  {
    gr_list_clear (&cmds_);
    sch_free (sch_);
  }

  World (const World &) = delete;
  World &operator= (const World &) = delete;

  void
  run (const Schedule &schedule)
  {
    for (uint32_t op : schedule)
      apply (op);
  }

  /* Delivers all pending messages, ends every task and checks that no task or reservation is
     left. */
  void
  drain ()
  {
    /* Without limits and with all targets up, every waiting task can run. */
    SchMsg limits = {};
    limits.kind = SCH_MSG_LIMITS;
    quotas_.clear ();
    step (limits);
    for (auto &entry : targets_) {
      if (entry.second.leaving)
        target_gone (entry.first);
      target_up (entry.first);
    }
    for (int round = 0; round < 200 && (sch_task_count (sch_) > 0 || !reports_.empty ()); round++) {
      for (auto &entry : tasks_) {
        if (entry.second.at_target)
          end_at_target (entry.second, SCH_END_SUCCEEDED, 1);
      }
      advance (round < 20 ? 200 : 20000);
    }
    advance (20000);
    if (sch_task_count (sch_) != 0)
      fail (RULE_LEAK, std::to_string (sch_task_count (sch_)) + " tasks remain");
    SchSummary summary;
    sch_summary (sch_, &summary);
    if (summary.queued != 0 || summary.running != 0)
      fail (RULE_LEAK, "queue or running count is not zero");
    for (auto &entry : targets_) {
      GrName name = gr_name (entry.first.c_str ());
      GrRes reserved;
      if (!sch_target_reserved (sch_, &name, &reserved))
        continue;
      for (int d = 0; d < GR_RES_COUNT; d++) {
        if (reserved.v[d] != 0)
          fail (RULE_LEAK, "reservation remains on " + entry.first);
      }
    }
    for (auto &entry : tasks_) {
      if (entry.second.submitted && entry.second.outcomes == 0 && !entry.second.dropped)
        fail (RULE_ONE_OUTCOME, entry.first.first + " has no outcome");
    }
  }

  int
  broken () const
  {
    return broken_;
  }

  const std::string &
  detail () const
  {
    return detail_;
  }

private:
  struct Task {
    SchTask task = {};
    bool submitted = false;
    bool held = false;
    bool started = false;
    bool ran = false;
    bool at_target = false;      /* runs on the target, and no end was sent yet */
    bool holds_capacity = false; /* placed, and no outcome was reported yet */
    bool dropped = false;        /* its target is gone */
    int outcomes = 0;
    std::string target;
  };

  struct Target {
    GrRes capacity = {};
    bool known = false;
    bool up = false;
    bool leaving = false;
  };

  /* A message that is delivered later. */
  struct Report {
    int64_t at_ms;
    SchMsg msg;
    SchTask task; /* of SCH_MSG_SUBMIT */
  };

  uint32_t
  random ()
  {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 17;
    random_ ^= random_ << 5;
    return random_;
  }

  void
  fail (Rule rule, const std::string &what)
  {
    if (!(broken_ & rule))
      detail_ += what + "; ";
    broken_ |= rule;
  }

  void
  apply (uint32_t op)
  {
    uint32_t bits = op / 32;
    random_ ^= op | 1;
    switch (op % 32) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
    case 5:
    case 6:
    case 7:
      submit_new (bits);
      break;
    case 8:
    case 9:
      submit_gang (bits);
      break;
    case 10:
    case 11:
    case 12:
      commit_or_release (bits);
      break;
    case 13:
    case 14:
      cancel (bits);
      break;
    case 15:
      resubmit (bits);
      break;
    case 16:
    case 17:
      change_target (bits);
      break;
    case 18:
      usage (bits);
      break;
    case 19:
      limits (bits);
      break;
    case 20:
    case 21:
      end_tasks (bits);
      break;
    case 22:
      advance (bits % 4000);
      break;
    default:
      advance (bits % 60);
      break;
    }
  }

  SchTask
  make_task (uint32_t bits)
  {
    SchTask task = {};
    task.attempt = 1;
    task.team = gr_name_format ("team%u", bits % 3);
    task.kind = gr_name_format ("kind%u", bits / 3 % 4);
    task.priority = bits / 12 % 3 ? 0 : (int32_t) (bits / 12 % 1000);
    task.urgent = bits / 36 % 8 == 0;
    task.demand.v[GR_RES_CPU_MILLI] = (int32_t) (bits / 7 % 5) * 500;
    task.demand.v[GR_RES_MEMORY_MB] = (int32_t) (bits / 11 % 5) * 700;
    task.demand.v[GR_RES_ACCELERATORS] = bits / 13 % 8 == 0;
    task.demand.v[GR_RES_SLOTS] = bits / 17 % 3 == 0;
    if (bits / 19 % 10 == 0)
      task.demand.v[GR_RES_CPU_MILLI] *= 5;
    task.declared_run_ms = (int64_t) (bits / 23 % 4) * 900;
    task.deadline_ms = bits / 29 % 3 ? 0 : now_ms_ + 200 + bits % 9000;
    return task;
  }

  void
  submit_new (uint32_t bits)
  {
    SchTask task = make_task (bits);
    task.job = gr_name_format ("job%d", next_id_);
    task.id = gr_name_format ("job%d/0", next_id_++);
    switch (bits / 31 % 4) {
    case 0:
      task.policy.kind = SCH_POLICY_SERVICE;
      break;
    case 1:
      task.policy.kind = SCH_POLICY_BATCH;
      task.policy.batch.preemptible = bits / 37 % 2;
      break;
    default:
      task.policy.kind = SCH_POLICY_REQUEST;
      break;
    }
    send_submit (task, bits);
  }

  /* Parts are submitted at once or with a delay; the last one may never be submitted. */
  void
  submit_gang (uint32_t bits)
  {
    SchTask task = make_task (bits);
    int32_t parts = 2 + (int32_t) (bits / 41 % 3);
    int gang = next_id_++;
    task.job = gr_name_format ("gang%d", gang);
    task.policy.kind = SCH_POLICY_GANG;
    task.policy.gang.tasks = parts;
    task.policy.gang.hold_deadline_ms = now_ms_ + 500 + bits % 3000;
    for (int32_t part = 0; part < parts; part++) {
      task.id = gr_name_format ("gang%d/%d", gang, part);
      if (bits / 43 % 16 == 0 && part == parts - 1)
        continue;
      send_submit (task, bits + (uint32_t) part);
    }
    gangs_.push_back (to_string (task.job));
  }

  void
  send_submit (const SchTask &task, uint32_t bits)
  {
    submitted_.push_back (task);
    SchMsg msg = {};
    msg.kind = SCH_MSG_SUBMIT;
    if (bits / 47 % 4 == 0)
      send_later (msg, &task, random () % 200);
    else
      deliver_submit (task);
    if (bits / 53 % 8 == 0)
      send_later (msg, &task, random () % 3000); /* a duplicate */
  }

  void
  deliver_submit (const SchTask &task)
  {
    Task &known = tasks_[Attempt (to_string (task.id), task.attempt)];
    known.task = task;
    known.submitted = true;
    SchMsg msg = {};
    msg.kind = SCH_MSG_SUBMIT;
    msg.submit = &task;
    step (msg);
  }

  void
  resubmit (uint32_t bits)
  {
    if (submitted_.empty ())
      return;
    SchTask task = submitted_[bits % submitted_.size ()];
    Task &known = tasks_[Attempt (to_string (task.id), task.attempt)];
    /* A next attempt is submitted only after the previous one has an outcome. */
    if (bits / 7 % 2 && known.outcomes > 0 && !known.at_target
        && task.policy.kind != SCH_POLICY_GANG)
      task.attempt++;
    send_submit (task, bits);
  }

  void
  cancel (uint32_t bits)
  {
    /* Some cancels arrive before the submit of the task. */
    std::string id = bits % 5 == 0 || submitted_.empty ()
                         ? "job" + std::to_string (next_id_) + "/0"
                         : to_string (submitted_[bits % submitted_.size ()].id);
    SchMsg msg = {};
    msg.kind = SCH_MSG_CANCEL;
    msg.ref.id = gr_name (id.c_str ());
    cancelled_.insert (id);
    step (msg);
    if (bits / 5 % 4 == 0)
      send_later (msg, nullptr, random () % 500);
  }

  /* Commits or releases a gang; a commit may arrive although not all parts hold. */
  void
  commit_or_release (uint32_t bits)
  {
    if (gangs_.empty ())
      return;
    /* One of the four latest gangs. */
    size_t back = bits % 4 % gangs_.size ();
    std::string job = gangs_[gangs_.size () - 1 - back];
    SchMsg msg = {};
    msg.kind = bits / 4 % 8 == 0 ? SCH_MSG_RELEASE : SCH_MSG_COMMIT;
    msg.ref.id = gr_name (job.c_str ());
    if (msg.kind == SCH_MSG_COMMIT)
      committing_ = job;
    step (msg);
    committing_.clear ();
    if (bits / 32 % 4 == 0)
      send_later (msg, nullptr, random () % 1000);
  }

  std::string
  pick_target (uint32_t bits)
  {
    auto it = targets_.begin ();
    std::advance (it, bits % targets_.size ());
    return it->first;
  }

  void
  change_target (uint32_t bits)
  {
    std::string name = pick_target (bits);
    Target &target = targets_[name];
    SchMsg msg = {};
    msg.target.target = gr_name (name.c_str ());
    switch (bits / 8 % 6) {
    case 0:
      target.leaving = true;
      target.known = true;
      msg.kind = SCH_MSG_TARGET_LEAVING;
      step (msg);
      break;
    case 1:
      target.up = false;
      msg.kind = SCH_MSG_TARGET_DOWN;
      step (msg);
      break;
    case 2:
      target_gone (name);
      break;
    default:
      target_up (name);
      break;
    }
  }

  void
  target_gone (const std::string &name)
  {
    for (auto &entry : tasks_) {
      Task &task = entry.second;
      if (task.target == name && task.holds_capacity) {
        task.holds_capacity = false;
        task.dropped = true;
      }
    }
    Target &target = targets_[name];
    target.known = target.up = target.leaving = false;
    SchMsg msg = {};
    msg.kind = SCH_MSG_TARGET_GONE;
    msg.target.target = gr_name (name.c_str ());
    step (msg);
  }

  /* Sends SCH_MSG_TARGET_UP with an inventory: the running tasks and some of the ended ones. */
  void
  target_up (const std::string &name)
  {
    Target &target = targets_[name];
    target.known = target.up = true;
    std::vector<SchInventoryTask> tasks;
    for (auto &entry : tasks_) {
      Task &task = entry.second;
      if (task.target != name || !task.ran)
        continue;
      SchInventoryTask item = {};
      item.task = task.task;
      item.running = task.at_target;
      item.end = SCH_END_SUCCEEDED;
      if (task.at_target && task.outcomes == 0)
        task.holds_capacity = true;
      if (task.at_target || random () % 2)
        tasks.push_back (item);
    }
    SchMsg msg = {};
    msg.kind = SCH_MSG_TARGET_UP;
    msg.target.target = gr_name (name.c_str ());
    msg.target.group = gr_name_format ("rack%u", (unsigned) name.back () % 3);
    msg.target.zone = gr_name_format ("zone%u", (unsigned) name.back () % 2);
    msg.target.capacity = target.capacity;
    msg.target.tasks = tasks.data ();
    msg.target.count = tasks.size ();
    step (msg);
  }

  void
  usage (uint32_t bits)
  {
    for (auto &entry : tasks_) {
      Task &task = entry.second;
      if (!task.at_target || random () % 3)
        continue;
      SchMsg msg = {};
      msg.kind = SCH_MSG_USAGE;
      msg.usage.id = task.task.id;
      msg.usage.attempt = task.task.attempt;
      for (int d = 0; d < GR_RES_SLOTS; d++)
        msg.usage.used.v[d] = (int32_t) (task.task.demand.v[d] * (int64_t) (bits % 30) / 10);
      step (msg);
    }
  }

  void
  limits (uint32_t bits)
  {
    SchTeamLimit teams[3];
    for (uint32_t i = 0; i < 3; i++) {
      teams[i].team = gr_name_format ("team%u", i);
      teams[i].weight = 1 + (int32_t) (bits / 3 % 3);
      teams[i].quota_part
          = GrRes{ { (int32_t) (bits / 5 % 8) * 1000, (int32_t) (bits / 7 % 8) * 1000, 0,
                     (int32_t) (bits / 11 % 4) } };
      quotas_["team" + std::to_string (i)] = teams[i].quota_part;
      bits = bits * 5 + i;
    }
    SchMsg msg = {};
    msg.kind = SCH_MSG_LIMITS;
    msg.limits.teams = teams;
    msg.limits.count = 3;
    step (msg);
  }

  void
  end_tasks (uint32_t bits)
  {
    for (auto &entry : tasks_) {
      if (entry.second.at_target && random () % 3 == 0)
        end_at_target (entry.second, bits % 3 ? SCH_END_SUCCEEDED : SCH_END_FAILED, random () % 20);
    }
  }

  void
  end_at_target (Task &task, SchEnd end, int64_t delay_ms)
  {
    task.at_target = false;
    SchMsg msg = {};
    msg.kind = SCH_MSG_ENDED;
    msg.ended.id = task.task.id;
    msg.ended.attempt = task.task.attempt;
    msg.ended.end = end;
    msg.ended.run_ms = random () % 3000;
    send_later (msg, nullptr, delay_ms);
    if (random () % 3 == 0)
      send_later (msg, nullptr, delay_ms + random () % 1000);
  }

  void
  send_later (const SchMsg &msg, const SchTask *task, int64_t delay_ms)
  {
    Report report = { now_ms_ + delay_ms, msg, {} };
    if (task)
      report.task = *task;
    reports_.push_back (report);
  }

  void
  advance (int64_t ms)
  {
    int64_t end = now_ms_ + ms;
    for (;;) {
      size_t best = reports_.size ();
      for (size_t i = 0; i < reports_.size (); i++) {
        if (reports_[i].at_ms <= end
            && (best == reports_.size () || reports_[i].at_ms < reports_[best].at_ms))
          best = i;
      }
      if (best == reports_.size ())
        break;
      Report report = reports_[best];
      reports_.erase (reports_.begin () + (long) best);
      if (report.at_ms > now_ms_)
        now_ms_ = report.at_ms;
      if (report.msg.kind == SCH_MSG_SUBMIT) {
        deliver_submit (report.task);
        continue;
      }
      if (report.msg.kind == SCH_MSG_COMMIT)
        committing_ = to_string (report.msg.ref.id);
      step (report.msg);
      committing_.clear ();
    }
    now_ms_ = end;
    SchMsg msg = {};
    msg.kind = SCH_MSG_TICK;
    step (msg);
  }

  void
  step (const SchMsg &msg)
  {
    gr_list_reset (&cmds_);
    sch_step (sch_, &msg, now_ms_, &cmds_);
    /* Outcomes first: an end and the start that uses the released capacity may be in one step. */
    for (size_t i = 0; i < cmds_.count; i++) {
      if (cmds_.items[i].kind == SCH_CMD_ENDED || cmds_.items[i].kind == SCH_CMD_REFUSED)
        on_outcome (cmds_.items[i]);
    }
    std::set<std::string> started_gangs;
    for (size_t i = 0; i < cmds_.count; i++) {
      const SchCmd &cmd = cmds_.items[i];
      if (cmd.kind == SCH_CMD_START)
        on_start (cmd, &started_gangs);
      else if (cmd.kind == SCH_CMD_HELD)
        on_held (cmd);
      else if (cmd.kind == SCH_CMD_STOP)
        on_stop (cmd);
    }
    for (const std::string &job : started_gangs)
      check_gang (job);
    check_capacity ();
  }

  void
  on_outcome (const SchCmd &cmd)
  {
    Task &task = tasks_[Attempt (to_string (cmd.id), cmd.attempt)];
    if (++task.outcomes > 1)
      fail (RULE_ONE_OUTCOME, to_string (cmd.id) + " has two outcomes");
    if (cmd.kind == SCH_CMD_REFUSED && task.at_target)
      fail (RULE_ONE_OUTCOME, to_string (cmd.id) + " was refused while it runs");
    task.holds_capacity = false;
    task.held = false;
  }

  void
  record_placement (Task &task, const SchCmd &cmd)
  {
    bool held = task.held;
    task.target = to_string (cmd.target);
    task.holds_capacity = true;
    const Target &target = targets_[task.target];
    if (!target.known || !target.up || target.leaving)
      fail (RULE_TARGET_STATE, to_string (cmd.id) + " placed on " + task.target);
    /* A hold already uses the quota part; a quota part reduced since then does not prevent the
       commit. */
    if (!held)
      check_quota (to_string (task.task.team), task.task.demand);
  }

  void
  on_held (const SchCmd &cmd)
  {
    Task &task = tasks_[Attempt (to_string (cmd.id), cmd.attempt)];
    record_placement (task, cmd);
    task.held = true;
  }

  void
  on_start (const SchCmd &cmd, std::set<std::string> *started_gangs)
  {
    std::string id = to_string (cmd.id);
    Task &task = tasks_[Attempt (id, cmd.attempt)];
    if (cancelled_.count (id))
      fail (RULE_CANCEL, id + " started after its cancel");
    if (task.started || task.outcomes > 0)
      fail (RULE_ONE_OUTCOME, id + " started twice");
    if (task.task.policy.kind == SCH_POLICY_GANG) {
      if (committing_ != to_string (task.task.job))
        fail (RULE_GANG, id + " started without a commit");
      started_gangs->insert (to_string (task.task.job));
    }
    record_placement (task, cmd);
    task.held = false;
    task.started = true;
    SchMsg msg = {};
    msg.kind = SCH_MSG_START_RESULT;
    msg.start_result.id = cmd.id;
    msg.start_result.attempt = cmd.attempt;
    uint32_t roll = random () % 16;
    if (roll == 0) {
      msg.start_result.result = SCH_START_REFUSED;
    } else if (roll == 1) {
      /* The start was lost without an answer: the lease expires without a report. */
      msg.start_result.result = SCH_START_UNKNOWN;
      end_at_target (task, SCH_END_LAPSED, 2000);
    } else {
      msg.start_result.result = roll == 2 ? SCH_START_UNKNOWN : SCH_START_TAKEN;
      task.at_target = true;
      task.ran = true;
      if (roll < 10)
        end_at_target (task, roll % 4 ? SCH_END_SUCCEEDED : SCH_END_FAILED, random () % 2000);
      /* An inventory may list the ended task before its end is delivered. */
    }
    send_later (msg, nullptr, random () % 50);
    if (random () % 4 == 0)
      send_later (msg, nullptr, random () % 800);
  }

  void
  on_stop (const SchCmd &cmd)
  {
    Task &task = tasks_[Attempt (to_string (cmd.id), cmd.attempt)];
    if (task.at_target)
      end_at_target (task, SCH_END_STOPPED, random () % 100);
  }

  /* After a start of the gang, all submitted parts without an outcome must have started in the same
     step. */
  void
  check_gang (const std::string &job)
  {
    for (auto &entry : tasks_) {
      const Task &task = entry.second;
      if (task.submitted && to_string (task.task.job) == job && task.outcomes == 0
          && !task.holds_capacity && !task.dropped)
        fail (RULE_GANG, entry.first.first + " did not start with its gang");
      if (task.submitted && to_string (task.task.job) == job && task.held)
        fail (RULE_GANG, entry.first.first + " still holds after its gang started");
    }
  }

  void
  check_capacity ()
  {
    std::map<std::string, GrRes> sums;
    for (auto &entry : tasks_) {
      if (entry.second.holds_capacity)
        gr_res_add (&sums[entry.second.target], &entry.second.task.demand);
    }
    for (auto &entry : targets_) {
      GrName name = gr_name (entry.first.c_str ());
      GrRes reserved = {};
      bool known = sch_target_reserved (sch_, &name, &reserved);
      if (!gr_res_fits (&reserved, &entry.second.capacity))
        fail (RULE_CAPACITY, "reservations on " + entry.first + " exceed its capacity");
      if (!gr_res_fits (&sums[entry.first], &entry.second.capacity))
        fail (RULE_CAPACITY, "tasks on " + entry.first + " exceed its capacity");
      if (known && !gr_res_fits (&sums[entry.first], &reserved))
        fail (RULE_LEAK, "reservations on " + entry.first + " are less than its tasks demand");
    }
  }

  /* A quota part may be reduced below the current use; then no work that needs more of that
     dimension may start. */
  void
  check_quota (const std::string &team, const GrRes &added)
  {
    GrRes used = {};
    for (auto &entry : tasks_) {
      if (entry.second.holds_capacity && to_string (entry.second.task.team) == team)
        gr_res_add (&used, &entry.second.task.demand);
    }
    const GrRes &quota = quotas_[team];
    for (int d = 0; d < GR_RES_COUNT; d++) {
      if (added.v[d] > 0 && quota.v[d] > 0 && used.v[d] > quota.v[d])
        fail (RULE_QUOTA, team + " is over its quota part in " + gr_res_name ((GrResDim) d));
    }
  }

  SchState *sch_;
  SchCmds cmds_ = {};
  int64_t now_ms_ = 1000;
  uint32_t random_;
  std::map<Attempt, Task> tasks_;
  std::map<std::string, Target> targets_;
  std::map<std::string, GrRes> quotas_;
  std::set<std::string> cancelled_;
  std::vector<std::string> gangs_;
  std::vector<Report> reports_;
  std::vector<SchTask> submitted_;
  int next_id_ = 0;
  int broken_ = 0;
  std::string detail_;
  std::string committing_;
};

/* Runs one schedule. Returns the mask of the violated rules; *detail describes the first violation
   of each. */
inline int
run_schedule (const SchFaults &faults, const Schedule &schedule, std::string *detail)
{
  World world (faults, schedule.empty () ? 1 : schedule[0]);
  world.run (schedule);
  world.drain ();
  *detail = world.detail ();
  return world.broken ();
}

} // namespace sch_test
