/* Property of the scheduler's aging: under a steady stream of small tasks, a task that needs a
   whole target starts within a bounded time. Without aging, small tasks take all capacity that
   becomes free and the large one waits without bound. */
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "sch/sch.h"

namespace
{

constexpr int VARIANT_CELLS = 10000;
constexpr int64_t AGING_MS = 400;
constexpr int64_t RUN_MAX_MS = 300;
/* Below the aging time: small tasks that arrived earlier and aged would rightly be served first. */
constexpr int64_t SMALL_WINDOW_MS = 300;
/* Interval at which the scheduler reserves targets for aged tasks. */
constexpr int64_t PERIOD_MS = 100;
constexpr int64_t STEP_MS = 10;

/* A cell of workers that is kept full by small tasks, and one large task that needs a whole
   worker. */
class FullCell
{
public:
  FullCell (const SchFaults &faults, uint32_t seed) : random_state_ (seed * 2654435761U + 1)
  {
    SchOptions options;
    sch_options_defaults (&options);
    options.aging_ms = AGING_MS;
    options.faults = faults;
    sch_ = sch_new (&options, nullptr);
    workers_ = 1 + (int) (random () % 4);
    cores_ = 2 + (int32_t) (random () % 4);
    policy_ = (SchPolicyKind) (random () % 3);
    for (int i = 0; i < workers_; i++) {
      SchMsg msg = {};
      msg.kind = SCH_MSG_TARGET_UP;
      msg.target.target = gr_name_format ("w%d", i);
      msg.target.group = gr_name ("rack");
      msg.target.zone = gr_name ("zone");
      msg.target.capacity = GrRes{ { cores_ * 1000, 8000, 0, 0 } };
      step (msg);
    }
  }

  ~FullCell ()
  {
    gr_list_clear (&cmds_);
    sch_free (sch_);
  }

  FullCell (const FullCell &) = delete;
  FullCell &operator= (const FullCell &) = delete;

  /* Waiting time of the large task; limit_ms if it did not start within that time. */
  int64_t
  wait_ms (int64_t limit_ms)
  {
    for (int i = 0; i < 10 * workers_ * cores_; i++)
      submit_small ();
    submit_large ();
    int64_t begin = now_ms_;
    while (now_ms_ - begin < limit_ms) {
      now_ms_ += STEP_MS;
      for (auto it = running_.begin (); it != running_.end ();) {
        if (it->second > now_ms_) {
          ++it;
          continue;
        }
        SchMsg msg = {};
        msg.kind = SCH_MSG_ENDED;
        msg.ended.id = gr_name (it->first.c_str ());
        msg.ended.attempt = 1;
        msg.ended.end = SCH_END_SUCCEEDED;
        msg.ended.run_ms = 100;
        it = running_.erase (it);
        step (msg);
        submit_small ();
        submit_small ();
      }
      SchMsg tick = {};
      tick.kind = SCH_MSG_TICK;
      step (tick);
      if (large_started_)
        return now_ms_ - begin;
    }
    return limit_ms;
  }

private:
  uint32_t
  random ()
  {
    random_state_ ^= random_state_ << 13;
    random_state_ ^= random_state_ >> 17;
    random_state_ ^= random_state_ << 5;
    return random_state_;
  }

  void
  submit (const char *id, int32_t cpu_milli, int64_t declared_ms, int64_t deadline_ms,
          SchPolicyKind policy)
  {
    SchTask task = {};
    task.id = gr_name (id);
    task.job = task.id;
    task.attempt = 1;
    task.team = gr_name_format ("team%u", random () % 3);
    task.kind = gr_name (id[0] == 'b' ? "big" : "small");
    task.demand.v[GR_RES_CPU_MILLI] = cpu_milli;
    task.declared_run_ms = declared_ms;
    task.deadline_ms = deadline_ms;
    task.policy.kind = policy;
    SchMsg msg = {};
    msg.kind = SCH_MSG_SUBMIT;
    msg.submit = &task;
    step (msg);
  }

  void
  submit_small ()
  {
    std::string id = "small" + std::to_string (next_id_++);
    submit (id.c_str (), 1000, 50 + random () % 100, now_ms_ + SMALL_WINDOW_MS, SCH_POLICY_REQUEST);
  }

  void
  submit_large ()
  {
    submit ("big", cores_ * 1000, 200, 0, policy_);
  }

  void
  step (const SchMsg &msg)
  {
    gr_list_reset (&cmds_);
    sch_step (sch_, &msg, now_ms_, &cmds_);
    for (size_t i = 0; i < cmds_.count; i++) {
      if (cmds_.items[i].kind != SCH_CMD_START)
        continue;
      std::string id (cmds_.items[i].id.data, cmds_.items[i].id.len);
      large_started_ = large_started_ || id == "big";
      running_[id] = now_ms_ + 20 + random () % (RUN_MAX_MS - 20);
    }
  }

  SchState *sch_;
  SchCmds cmds_ = {};
  uint32_t random_state_;
  int64_t now_ms_ = 1000;
  int workers_;
  int32_t cores_;
  SchPolicyKind policy_;
  std::map<std::string, int64_t> running_;
  int next_id_ = 0;
  bool large_started_ = false;
};

/* After the aging time the large task reserves a target in the next period. The tasks that run
   there at that time, and those that backfill because they are expected to end in time, each take
   at most the longest run time. */
constexpr int64_t WAIT_MAX_MS = AGING_MS + 2 * PERIOD_MS + 2 * RUN_MAX_MS + 2 * STEP_MS;

} // namespace

int
main ()
{
  bool ok = rc::check ("a task that needs a whole target waits for a bounded time", [] () {
    uint32_t seed = *rc::gen::resize (rc::kNominalSize * 2, rc::gen::arbitrary<uint32_t> ());
    FullCell cell (SchFaults{}, seed);
    int64_t wait_ms = cell.wait_ms (WAIT_MAX_MS + 1);
    if (wait_ms > WAIT_MAX_MS)
      RC_FAIL ("the task waited longer than " + std::to_string (WAIT_MAX_MS) + " ms");
  });
  SchFaults faults = {};
  faults.no_aging = true;
  int caught = 0;
  for (uint32_t i = 0; i < VARIANT_CELLS && !caught; i++) {
    FullCell cell (faults, i);
    if (cell.wait_ms (WAIT_MAX_MS + 1) > WAIT_MAX_MS)
      caught = (int) i + 1;
  }
  std::printf ("broken variant no_aging: %s %d\n", caught ? "caught by cell" : "NOT caught",
               caught);
  return ok && caught ? 0 : 1;
}
