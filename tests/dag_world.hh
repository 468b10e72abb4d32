/* Simulation of the environment of the step job scheduler: targets with late orders and lost
   answers, a store with outages, an advice service, and takeovers by schedulers of later terms.
   Invariants are checked from the state of the simulated targets. Time is simulated, and the seed
   determines the whole schedule. */
#pragma once

#include "dag_world_orders.hh"

namespace dag_test
{

class Simulation : public SimulatedOrders
{
public:
  explicit Simulation (const Options &options) : SimulatedOrders (options)
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
    term_++;
    options.first_token = term_ << 32;
    dag_ = dag_new (&options, nullptr);
    open_polls_.clear ();
    trace ("term " + std::to_string (term_));
    batch_open_ = 0;
    calls_.clear ();
    cancel_calls_.clear ();
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
    configure_accounts ();
    for (char kind : { 'a', 'j', 'p' }) {
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

  /* A scheduler that has just begun may still have the version before. */
  void
  configure_accounts ()
  {
    if (options_.other_accounts)
      set_accounts ("other", kLowMaximum);
    if (!options_.accounts)
      return;
    int64_t newest_by = maximum_published_at_ + kConfigApplyMs;
    set_accounts ("a", now_ < newest_by && chance (0.5) ? maximum_before_ : maximum_);
    int64_t term = term_;
    if (now_ < newest_by)
      schedule (newest_by, [this, term] {
        if (term == term_)
          set_accounts ("a", maximum_);
      });
  }

  void
  set_accounts (const std::string &prefix, int32_t maximum)
  {
    DagAccount accounts[3] = {};
    for (int i = 0; i < 3; i++) {
      accounts[i].name = gr_name ((prefix + std::to_string (i)).c_str ());
      accounts[i].weight = i + 1;
      accounts[i].maximum.v[GR_RES_CPU_MILLI] = maximum;
      accounts[i].maximum.v[GR_RES_MEMORY_MB] = maximum;
    }
    DagAccounts list = { accounts, 3 };
    dag_set_accounts (dag_, &list, now_);
    maxima_in_force_.push_back ({ now_, maximum });
  }

  void
  publish_maximum (int32_t maximum)
  {
    maximum_before_ = maximum_;
    maximum_ = maximum;
    maximum_published_at_ = now_;
    set_accounts ("a", maximum);
  }

  void
  submit (int number)
  {
    Job job;
    job.id = "job" + std::to_string (number);
    job.submitted_at = now_;
    job.always_fails = chance (0.05);
    job.culprit = options_.faults.culprits && chance (0.05);
    if (options_.faults.silences && chance (0.3))
      job.silences_left = kUnluckySilences;
    job.advised = chance (0.4);
    job.long_running = chance (0.06);
    /* Most work is that of one account; some has none. */
    static const char *const accounts[] = { "a0", "a0", "a0", "a1", "" };
    if (options_.accounts)
      job.account = accounts[number % 5];
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
    spec.account = gr_name (job.account.c_str ());
    spec.payload = { "work", 4 };
    spec.steps = job.steps.data ();
    spec.step_count = job.steps.size ();
    int64_t call = ++next_call_;
    int64_t retry = 0;
    GrErr err = {};
    DagSubmitResult result = dag_submit (dag_, &spec, call, now_, &retry, &err);
    job.refused = result == DAG_SUBMIT_OVERLOAD;
    switch (result) {
    case DAG_SUBMIT_PENDING:
      calls_[call] = index;
      break;
    case DAG_SUBMIT_KNOWN:
      if (job.accepted_at < 0)
        job.accepted_at = now_;
      break;
    case DAG_SUBMIT_OVERLOAD:
      if (job.account.empty () || job.accepted_at >= 0 || retry <= 0)
        report_violation ("job " + job.id + " was refused");
      /* Its caller comes back when it was told to. */
      schedule (now_ + retry, [this, index] { send_job (index); });
      break;
    case DAG_SUBMIT_NO_QUEUE:
    case DAG_SUBMIT_INVALID:
    case DAG_SUBMIT_FOREIGN:
      report_violation ("a valid job was refused: " + std::string (err.detail));
      break;
    }
  }

  void
  cancel (int index)
  {
    Job &job = jobs_[(size_t) index];
    GrName id = gr_name (job.id.c_str ());
    int64_t call = ++next_call_;
    if (dag_cancel (dag_, &id, call, now_) == DAG_CANCEL_DROPPED)
      return;
    job.cancelled = true;
    cancel_calls_[call] = index;
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

  /* Covers what a command orders, and when. */
  void
  note_command (const DagCmd &cmd)
  {
    std::string text = std::to_string (now_) + " " + std::to_string (cmd.type) + " ";
    text += text_of (cmd.target.target);
    if (cmd.type == DAG_CMD_START)
      text += name_of (cmd.u.start.task) + " " + std::to_string (cmd.u.start.run);
    if (cmd.type == DAG_CMD_STOP)
      text += name_of (cmd.u.stop.task) + " " + std::to_string (cmd.u.stop.run);
    if (cmd.type == DAG_CMD_HOLD)
      text += std::to_string (cmd.u.hold.lease_until) + " " + std::to_string (cmd.u.hold.wait_ms);
    for (size_t i = 0; cmd.type == DAG_CMD_ADVISE && i < cmd.u.advise.count; i++)
      text += text_of (cmd.u.advise.targets[i]) + " ";
    result_.commands = result_.commands * 31 + std::hash<std::string>{}(text);
  }

  void
  run_command (const DagCmd &cmd)
  {
    int64_t term = term_;
    note_command (cmd);
    switch (cmd.type) {
    case DAG_CMD_ACCEPTED:
      if (calls_.count (cmd.u.call)) {
        Job &job = jobs_[(size_t) calls_[cmd.u.call]];
        if (job.accepted_at < 0)
          job.accepted_at = now_;
      }
      break;
    case DAG_CMD_CANCELLED:
      if (cancel_calls_.count (cmd.u.call))
        jobs_[(size_t) cancel_calls_[cmd.u.call]].cancel_answered_at = now_;
      break;
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
      /* A long poll is modelled as a hold that is sent 60 ms later, unless its target ends before.
       */
      int64_t wait = cmd.u.hold.wait_ms > 0 ? 60 : 0;
      if (wait > 0)
        open_polls_[cmd.u.hold.token] = text_of (cmd.target.target);
      schedule (now_ + wait, [this, cmd, term, wait] {
        if (term != term_ || (wait > 0 && open_polls_.erase (cmd.u.hold.token) == 0))
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

  void
  plan_faults ()
  {
    const Faults &faults = options_.faults;
    int64_t span = options_.faults_ms - 2000;
    int crashes = faults.silences ? 2 : 5;
    for (int i = 0; faults.crashes && i < crashes; i++) {
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
    for (int i = 0; faults.silences && i < 10; i++) {
      int index = (int) random_below (options_.targets);
      int64_t length = 500 + random_below (kSilenceMaxMs - 500);
      schedule (1000 + random_below (span), [this, index, length] { silence (index, length); });
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
    if (options_.accounts) {
      schedule (span / 4 + random_below (span / 4), [this] { publish_maximum (kLowMaximum); });
      schedule (span / 2 + random_below (span / 2), [this] { publish_maximum (kUsualMaximum); });
    }
    /* A target that leaves in calm times. */
    if (faults.drains)
      schedule (options_.faults_ms + kLateDrainAfterMs, [this] { drain (0); });
    for (int i = 0; faults.takeovers && i < 4; i++)
      schedule (1000 + random_below (span), [this] {
        if (!store_down ())
          take_over ();
      });
  }

  /* A run of a gang is one attempt, however many of its members fail. An innocent task may be given
     up after so many crashes of its targets that a coincidence cannot be told from a cause. */
  static bool
  has_reason_to_fail (const Job &job)
  {
    bool failed = job.culprit;
    for (auto &task : job.tasks)
      failed |= task.second.failed_runs >= kMaxAttempts || task.second.crashes >= kCoincidencesMax;
    for (auto &gang : job.gang_failed_runs)
      failed |= (int) gang.second.size () >= kMaxAttempts;
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
