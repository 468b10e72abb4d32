/* Simulates the environment of the job module: schedulers, targets, a log, and two VMs that own one
   partition in turn. A byte string determines each step, so that a schedule can be repeated and
   shrunk. */
#pragma once

#include "job_world_types.hh"

namespace job_test
{

class World
{
public:
  World (const std::vector<uint8_t> &bytes, JobFaults faults) : choices_{ bytes }
  {
    for (auto &owner : owners_) {
      JobOptions options = {};
      options.parts = 1;
      options.seed = 11;
      options.max_attempts = 3;
      options.faults = faults;
      owner.state = job_new (&options, nullptr);
    }
    take_over (0);
  }

  ~World ()
  {
    for (auto &owner : owners_)
      job_free (owner.state);
    gr_list_clear (&cmds_);
  }

  /* Runs the schedule. Returns the first violation of a property, or an empty string. */
  std::string
  run ()
  {
    while (!choices_.exhausted () && violation_.empty ())
      random_step ();
    for (int i = 0; i < kFaultFreeRounds && violation_.empty () && !is_idle (); i++)
      fault_free_round ();
    if (violation_.empty ())
      check_all_jobs_ended ();
    return violation_;
  }

private:
  Choices choices_;
  Owner owners_[2];
  int current_ = -1; /* index of the owner of the partition */
  int64_t epoch_ = 0;
  int64_t fence_ = 0; /* schedulers refuse placements with a lower epoch */
  int64_t now_ms_ = 1;
  bool store_up_ = true;
  std::vector<std::string> log_;
  std::map<AttemptKey, Attempt> attempts_;
  std::set<AttemptKey> tombstones_; /* attempts that no scheduler has and none may start */
  std::set<AttemptKey> lapsed_;
  std::vector<Place> places_;
  std::vector<Message> messages_;
  std::map<std::string, TaskHistory> histories_;
  std::map<std::string, JobOutcome> outcomes_; /* sent to callers, except not run */
  std::map<int64_t, std::string> calls_;       /* job ids of calls that wait for a reply */
  std::map<int64_t, JobSpec> specs_;
  std::set<std::string> accepted_; /* ids that a reply reported as accepted */
  int64_t next_call_ = 0;
  JobCmds cmds_ = {};
  std::string violation_;

  /* Set GR_PROP_TRACE=1 to print the schedule of a violation. */
  void
  trace (const std::string &what)
  {
    static const bool on = std::getenv ("GR_PROP_TRACE") != nullptr;
    if (on)
      std::printf ("%lld %s\n", static_cast<long long> (now_ms_), what.c_str ());
  }

  void
  record_violation (const std::string &what)
  {
    trace ("violation: " + what);
    if (violation_.empty ())
      violation_ = what;
  }

  void
  deliver (int owner, const JobMsg &msg)
  {
    JobCmds out = {};
    job_step (owners_[owner].state, &msg, now_ms_, &out);
    std::vector<JobCmd> cmds (out.items, out.items + out.count);
    for (const auto &cmd : cmds)
      execute (owner, cmd);
    gr_list_clear (&out);
  }

  void
  execute (int owner, const JobCmd &cmd)
  {
    Owner &o = owners_[owner];
    trace ("owner " + std::to_string (owner) + " epoch " + std::to_string (o.epoch) + " command "
           + std::to_string (cmd.kind) + " token " + std::to_string (cmd.token) + " "
           + text (cmd.id) + " attempt " + std::to_string (cmd.attempt) + " outcome "
           + std::to_string (cmd.outcome) + " why " + std::to_string (cmd.why));
    switch (cmd.kind) {
    case JOB_CMD_APPEND:
      o.appends.emplace_back (cmd.token, std::string (cmd.bytes.data, cmd.bytes.len));
      return;
    case JOB_CMD_PLACE:
      places_.push_back ({ owner,
                           o.epoch,
                           { text (cmd.id), cmd.attempt },
                           cmd.spec->deadline_ms,
                           static_cast<int> (choices_.pick (kSchedulers)) });
      return;
    case JOB_CMD_CANCEL_TASK:
      cancel_attempt (owner, { text (cmd.id), cmd.attempt });
      return;
    case JOB_CMD_RESOLVE:
      resolve_attempt (owner, { text (cmd.id), cmd.attempt });
      return;
    case JOB_CMD_REPLY:
      check_reply (cmd);
      return;
    case JOB_CMD_COMMIT_GANG:
    case JOB_CMD_RELEASE_GANG:
      return;
    }
  }

  void
  check_reply (const JobCmd &cmd)
  {
    if (!calls_.count (cmd.call))
      return record_violation ("a call was answered twice");
    std::string id = text (cmd.id);
    calls_.erase (cmd.call);
    if (cmd.phase != JOB_ENDED) {
      if (cmd.why == GR_ERR_NONE)
        accepted_.insert (id);
      return;
    }
    TaskHistory &history = histories_[id + "/0"];
    if (cmd.outcome == JOB_OUTCOME_NOT_RUN) {
      history.replied_not_run = true;
      if (history.starts > 0)
        record_violation ("replied not run although an attempt had started");
      /* A refused id may be submitted again and then run. */
      return;
    }
    if (cmd.outcome == JOB_OUTCOME_COMPLETED) {
      std::string answer (cmd.bytes.data, cmd.bytes.len);
      if (!history.succeeded || answer != "answer " + id + "/0")
        record_violation ("replied completed without the complete answer of the task");
    }
    if (cmd.outcome == JOB_OUTCOME_FAILED && !history.failed)
      record_violation ("replied failed although no attempt had failed");
    if (cmd.outcome == JOB_OUTCOME_CANCELLED) {
      history.replied_cancelled = true;
      if (history.running > 0)
        record_violation ("replied cancelled while an attempt was running");
    }
    if (outcomes_.count (id) && outcomes_[id] != cmd.outcome)
      record_violation ("replied two different outcomes for one id");
    outcomes_[id] = cmd.outcome;
  }

  void
  send_report (int owner, const AttemptKey &key, JobTaskState state)
  {
    Message message{ owner, {}, "" };
    message.msg.kind = JOB_MSG_TASK_REPORT;
    message.msg.report.id = name (key.first);
    message.msg.report.attempt = key.second;
    message.msg.report.state = state;
    auto found = attempts_.find (key);
    if (found != attempts_.end ())
      message.msg.report.scheduler = name ("s" + std::to_string (found->second.scheduler));
    if (state == JOB_TASK_SUCCEEDED)
      message.answer = "answer " + key.first;
    messages_.push_back (message);
  }

  void
  send_place_result (int owner, const AttemptKey &key, JobPlaceResult result, int scheduler)
  {
    Message message{ owner, {}, "" };
    message.msg.kind = JOB_MSG_PLACE_RESULT;
    message.msg.place.id = name (key.first);
    message.msg.place.attempt = key.second;
    message.msg.place.result = result;
    message.msg.place.why = result == JOB_PLACE_REFUSED ? GR_ERR_OVERLOADED : GR_ERR_NONE;
    if (scheduler >= 0)
      message.msg.place.scheduler = name ("s" + std::to_string (scheduler));
    messages_.push_back (message);
  }

  void
  report_attempt (int owner, const AttemptKey &key)
  {
    switch (attempts_[key].state) {
    case AttemptState::Queued:
      return send_place_result (owner, key, JOB_PLACE_QUEUED, attempts_[key].scheduler);
    case AttemptState::Running:
      return send_report (owner, key, JOB_TASK_RUNNING);
    case AttemptState::Succeeded:
      return send_report (owner, key, JOB_TASK_SUCCEEDED);
    case AttemptState::Failed:
      return send_report (owner, key, JOB_TASK_FAILED);
    case AttemptState::Stopped:
      return send_report (owner, key, JOB_TASK_STOPPED);
    }
  }

  /* A scheduler receives a place message, which may be old. */
  void
  receive_place (const Place &place)
  {
    /* The answer for an attempt that the scheduler has is its state, even if the message is old. A
       refusal would prove to the owner that the attempt does not run. */
    if (attempts_.count (place.key))
      return report_attempt (place.owner, place.key);
    if (lapsed_.count (place.key))
      return send_report (place.owner, place.key, JOB_TASK_LAPSED);
    if (place.epoch < fence_ || tombstones_.count (place.key))
      return send_place_result (place.owner, place.key, JOB_PLACE_REFUSED, -1);
    if (choices_.one_in (4) || now_ms_ >= place.deadline_ms) {
      tombstones_.insert (place.key);
      return send_place_result (place.owner, place.key, JOB_PLACE_REFUSED, place.scheduler);
    }
    attempts_[place.key] = { AttemptState::Queued, place.scheduler };
    send_place_result (place.owner, place.key, JOB_PLACE_QUEUED, place.scheduler);
  }

  void
  start_attempt (const AttemptKey &key, Attempt &attempt)
  {
    TaskHistory &history = histories_[key.first];
    attempt.state = AttemptState::Running;
    trace ("start " + key.first + " attempt " + std::to_string (key.second));
    history.starts++;
    history.running++;
    if (history.running > 1)
      record_violation ("a task runs in two places");
    if (!history.idempotent && history.starts > 1)
      record_violation ("a non-idempotent request started twice");
    if (history.replied_not_run && !resubmitted_.count (key.first))
      record_violation ("an attempt started after the reply not run");
    if (history.replied_cancelled)
      record_violation ("an attempt started after the reply cancelled");
    report_attempt (current_, key);
  }

  void
  end_attempt (const AttemptKey &key, Attempt &attempt, AttemptState state)
  {
    attempt.state = state;
    trace ("end " + key.first + " attempt " + std::to_string (key.second) + " state "
           + std::to_string (static_cast<int> (state)));
    histories_[key.first].running--;
    if (state == AttemptState::Succeeded)
      histories_[key.first].succeeded = true;
    if (state == AttemptState::Failed)
      histories_[key.first].failed = true;
    report_attempt (current_, key);
  }

  void
  cancel_attempt (int owner, const AttemptKey &key)
  {
    auto found = attempts_.find (key);
    if (found == attempts_.end ()) {
      tombstones_.insert (key);
      send_place_result (owner, key, JOB_PLACE_REFUSED, -1);
      return;
    }
    found->second.cancel = true;
    if (found->second.state != AttemptState::Queued)
      return;
    attempts_.erase (found);
    tombstones_.insert (key);
    send_place_result (owner, key, JOB_PLACE_REFUSED, -1);
  }

  void
  resolve_attempt (int owner, const AttemptKey &key)
  {
    if (owner != current_ || owners_[owner].paused)
      return;
    if (attempts_.count (key))
      return report_attempt (owner, key);
    tombstones_.insert (key);
    send_report (owner, key, JOB_TASK_LAPSED);
  }

  void
  commit_next_append (int owner)
  {
    Owner &o = owners_[owner];
    if (!store_up_ || o.appends.empty ())
      return;
    auto [token, bytes] = o.appends.front ();
    o.appends.pop_front ();
    log_.push_back (bytes);
    trace ("owner " + std::to_string (owner) + " commits token " + std::to_string (token));
    JobMsg msg = {};
    msg.kind = JOB_MSG_COMMITTED;
    msg.append.token = token;
    deliver (owner, msg);
  }

  void
  read_log (int owner)
  {
    Owner &o = owners_[owner];
    while (o.read < log_.size ()) {
      std::string bytes = log_[o.read++];
      JobMsg msg = {};
      msg.kind = JOB_MSG_RECORD;
      msg.record.bytes = { bytes.data (), bytes.size () };
      deliver (owner, msg);
    }
  }

  void
  renew_lease (int owner)
  {
    Owner &o = owners_[owner];
    if (!o.owns || o.paused || owner != current_)
      return;
    o.active_until_ms = now_ms_ + kLeaseMs;
    JobMsg msg = {};
    msg.kind = JOB_MSG_PART_ACTIVE;
    msg.part.until_ms = o.active_until_ms;
    deliver (owner, msg);
  }

  void
  lose_partition (int owner)
  {
    owners_[owner].owns = false;
    JobMsg msg = {};
    msg.kind = JOB_MSG_PART_LOST;
    deliver (owner, msg);
  }

  /* A new owner claims the partition only after the lease of the earlier owner has expired. */
  void
  take_over (int owner)
  {
    if (current_ >= 0 && now_ms_ < owners_[current_].active_until_ms)
      now_ms_ = owners_[current_].active_until_ms;
    Owner &o = owners_[owner];
    current_ = owner;
    o.epoch = fence_ = ++epoch_;
    o.owns = true;
    read_log (owner);
    JobMsg msg = {};
    msg.kind = JOB_MSG_PART_GAINED;
    msg.part.epoch = o.epoch;
    deliver (owner, msg);
    renew_lease (owner);
    std::vector<Message> kept;
    std::vector<Message> in_flight;
    in_flight.swap (messages_);
    for (const auto &entry : attempts_)
      report_attempt (owner, entry.first);
    for (const auto &message : messages_)
      deliver_to_owner (message);
    messages_.swap (in_flight);
    msg.kind = JOB_MSG_PART_SYNCED;
    deliver (owner, msg);
  }

  void
  deliver_to_owner (const Message &message)
  {
    JobMsg msg = message.msg;
    trace (
        "deliver to " + std::to_string (message.to_owner) + " message " + std::to_string (msg.kind)
        + " " + text (msg.place.id) + " attempt " + std::to_string (msg.place.attempt) + " state "
        + std::to_string (msg.kind == JOB_MSG_TASK_REPORT ? static_cast<int> (msg.report.state)
                                                          : static_cast<int> (msg.place.result)));
    if (msg.kind == JOB_MSG_TASK_REPORT)
      msg.report.answer = { message.answer.data (), message.answer.size () };
    deliver (message.to_owner, msg);
  }

  std::set<std::string> resubmitted_;

  void
  submit ()
  {
    int id_number = static_cast<int> (choices_.pick (kIds));
    bool idempotent = id_number % 2 == 0;
    std::string id = (idempotent ? "r" : "s") + std::to_string (id_number);
    TaskHistory &history = histories_[id + "/0"];
    if (history.replied_not_run)
      resubmitted_.insert (id + "/0");
    history.idempotent = idempotent;
    int64_t call = ++next_call_;
    calls_[call] = id;
    JobSpec spec = {};
    spec.id = name (id);
    spec.team = gr_name ("desk");
    spec.kind = gr_name ("review");
    spec.idempotent = idempotent;
    spec.exclusive = true;
    spec.tasks = 1;
    spec.deadline_ms = 1 + kDeadlineMs;
    spec.deadline_unix_ms = spec.deadline_ms;
    spec.payload = GR_STR ("x");
    trace ("submit " + id + " call " + std::to_string (call));
    JobMsg msg = {};
    msg.kind = JOB_MSG_SUBMIT;
    msg.submit.call = call;
    msg.submit.spec = &spec;
    msg.submit.wait = id_number != 2;
    deliver (current_, msg);
  }

  void
  cancel ()
  {
    int id_number = static_cast<int> (choices_.pick (kIds));
    std::string id = (id_number % 2 == 0 ? "r" : "s") + std::to_string (id_number);
    int64_t call = ++next_call_;
    calls_[call] = id;
    trace ("cancel " + id + " call " + std::to_string (call));
    JobMsg msg = {};
    msg.kind = JOB_MSG_CANCEL;
    msg.ref.call = call;
    msg.ref.id = name (id);
    deliver (current_, msg);
  }

  void
  lose_scheduler ()
  {
    int scheduler = static_cast<int> (choices_.pick (kSchedulers));
    for (auto it = attempts_.begin (); it != attempts_.end ();) {
      if (it->second.scheduler == scheduler && it->second.state == AttemptState::Queued)
        it = attempts_.erase (it);
      else
        ++it;
    }
    JobMsg msg = {};
    msg.kind = JOB_MSG_SCHEDULER_LOST;
    msg.scheduler_lost.vm = name ("s" + std::to_string (scheduler));
    deliver (current_, msg);
  }

  /* A target is lost with its task. After the lease, the owner of its group reports LAPSED. */
  void
  lose_target ()
  {
    for (auto it = attempts_.begin (); it != attempts_.end (); ++it) {
      if (it->second.state != AttemptState::Running)
        continue;
      AttemptKey key = it->first;
      trace ("target lost " + key.first + " attempt " + std::to_string (key.second));
      histories_[key.first].running--;
      histories_[key.first].failed = true;
      attempts_.erase (it);
      tombstones_.insert (key);
      lapsed_.insert (key);
      return send_report (current_, key, JOB_TASK_LAPSED);
    }
  }

  void
  advance_attempt ()
  {
    if (attempts_.empty ())
      return;
    auto it = attempts_.begin ();
    std::advance (it, choices_.pick (static_cast<unsigned> (attempts_.size ())));
    AttemptKey key = it->first;
    Attempt &attempt = it->second;
    if (attempt.state == AttemptState::Queued)
      start_attempt (key, attempt);
    else if (attempt.state == AttemptState::Running)
      end_attempt (key, attempt,
                   attempt.cancel        ? AttemptState::Stopped
                   : choices_.one_in (3) ? AttemptState::Failed
                                         : AttemptState::Succeeded);
  }

  void
  tick ()
  {
    JobMsg msg = {};
    msg.kind = JOB_MSG_TICK;
    for (int i = 0; i < 2; i++) {
      if (!owners_[i].paused)
        deliver (i, msg);
    }
  }

  void
  set_store_up (bool up)
  {
    store_up_ = up;
    JobMsg msg = {};
    msg.kind = JOB_MSG_STORE_STATE;
    msg.store.up = up;
    deliver (current_, msg);
  }

  void
  deliver_message ()
  {
    if (messages_.empty ())
      return;
    size_t i = choices_.pick (static_cast<unsigned> (messages_.size ()));
    Message message = messages_[i];
    unsigned fault = choices_.pick (8);
    if (fault != 0)
      messages_.erase (messages_.begin () + static_cast<long> (i));
    /* 0: the message is delivered, and a duplicate later; 1: it is lost. */
    if (fault != 1 && !owners_[message.to_owner].paused)
      deliver_to_owner (message);
  }

  void
  deliver_place ()
  {
    if (places_.empty ())
      return;
    size_t i = choices_.pick (static_cast<unsigned> (places_.size ()));
    Place place = places_[i];
    unsigned fault = choices_.pick (8);
    if (fault != 0)
      places_.erase (places_.begin () + static_cast<long> (i));
    if (fault != 1)
      receive_place (place);
  }

  void
  switch_owner ()
  {
    int old = current_;
    trace ("switch owner from " + std::to_string (old));
    owners_[old].paused = true;
    owners_[1 - old].paused = false;
    if (owners_[1 - old].owns)
      lose_partition (1 - old);
    take_over (1 - old);
  }

  /* The paused owner resumes. It runs its timers, commits an append and reads the log before it
     processes the loss of the partition. */
  void
  resume_old_owner ()
  {
    int old = 1 - current_;
    if (!owners_[old].paused)
      return;
    trace ("resume owner " + std::to_string (old));
    owners_[old].paused = false;
    JobMsg msg = {};
    msg.kind = JOB_MSG_TICK;
    deliver (old, msg);
    commit_next_append (old);
    read_log (old);
    if (owners_[old].owns)
      lose_partition (old);
  }

  void
  random_step ()
  {
    now_ms_ += kStepMs * (1 + choices_.pick (4));
    renew_lease (current_);
    switch (choices_.pick (16)) {
    case 0:
    case 1:
      return submit ();
    case 2:
    case 3:
    case 4:
      return deliver_place ();
    case 5:
    case 6:
    case 7:
      return deliver_message ();
    case 8:
    case 9:
      return advance_attempt ();
    case 10:
      commit_next_append (current_);
      return commit_next_append (current_);
    case 11:
      return tick ();
    case 12:
      return choices_.one_in (3) ? cancel () : read_log (current_);
    case 13:
      return choices_.one_in (2) ? switch_owner () : resume_old_owner ();
    case 14:
      switch (choices_.pick (3)) {
      case 0:
        return lose_scheduler ();
      case 1:
        return lose_target ();
      default:
        return set_store_up (!store_up_);
      }
    default:
      now_ms_ += choices_.one_in (4) ? kLeaseMs * 2 : 0;
      renew_lease (current_);
      return tick ();
    }
  }

  bool
  is_idle ()
  {
    bool idle = calls_.empty () && places_.empty ();
    for (const auto &owner : owners_)
      idle = idle && owner.appends.empty () && owner.read == log_.size () && !owner.paused;
    return idle && job_unfinished (owners_[current_].state) == 0;
  }

  void
  fault_free_round ()
  {
    now_ms_ += kStepMs;
    if (!store_up_)
      set_store_up (true);
    resume_old_owner ();
    renew_lease (current_);
    commit_next_append (current_);
    commit_next_append (1 - current_);
    read_log (0);
    read_log (1);
    while (!places_.empty ())
      deliver_last_place ();
    while (!messages_.empty ()) {
      Message message = messages_.front ();
      messages_.erase (messages_.begin ());
      deliver_to_owner (message);
    }
    std::vector<AttemptKey> keys;
    for (const auto &entry : attempts_)
      keys.push_back (entry.first);
    for (const auto &key : keys) {
      Attempt &attempt = attempts_[key];
      if (attempt.state == AttemptState::Queued)
        start_attempt (key, attempt);
      else if (attempt.state == AttemptState::Running)
        end_attempt (key, attempt,
                     attempt.cancel ? AttemptState::Stopped : AttemptState::Succeeded);
      else
        report_attempt (current_, key);
    }
    for (const auto &key : lapsed_)
      send_report (current_, key, JOB_TASK_LAPSED);
    tick ();
  }

  void
  deliver_last_place ()
  {
    Place place = places_.back ();
    places_.pop_back ();
    receive_place (place);
  }

  void
  check_all_jobs_ended ()
  {
    if (!calls_.empty ())
      record_violation ("a call was never answered");
    if (job_unfinished (owners_[current_].state) > 0)
      record_violation ("an accepted job never ended");
    for (const auto &id : accepted_) {
      int64_t call = ++next_call_;
      calls_[call] = id;
      JobMsg msg = {};
      msg.kind = JOB_MSG_WAIT;
      msg.ref.call = call;
      msg.ref.id = name (id);
      deliver (current_, msg);
      if (calls_.count (call) || !outcomes_.count (id))
        if (!histories_[id + "/0"].replied_not_run)
          record_violation ("the outcome of an accepted job was lost");
    }
  }
};

} // namespace job_test
