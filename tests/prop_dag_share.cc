/* Shares of client accounts on a full cell: the bound between two accounts that wait, for generated
   weights and demands; one account that sends seven times its usual load; gangs of a small account
   beside many small tasks of a large one. */
#include <cstdio>

#include <rapidcheck.h>

#include "share_world.hh"

using namespace dag_test;

namespace
{

DagQueue
queue_named (const char *name, bool advised)
{
  DagQueue queue = {};
  queue.name = gr_name (name);
  queue.service = gr_name ("svc");
  queue.max_attempts = 3;
  queue.slack_factor = 1.5;
  queue.target_latency_ms = 400;
  queue.advised = advised;
  queue.advice_ms = 10;
  queue.advice_ms_per_target = 0.1;
  queue.advice_valid_ms = 2500;
  return queue;
}

DagStepSpec
step_of (int32_t count, int32_t cpu, int32_t memory, int64_t estimate_ms, bool gang)
{
  DagStepSpec step = {};
  step.count = count;
  step.demand.v[GR_RES_CPU_MILLI] = cpu;
  step.demand.v[GR_RES_MEMORY_MB] = memory;
  step.estimate_ms = estimate_ms;
  step.gang = gang;
  return step;
}

constexpr int kTargets = 4;
constexpr int32_t kCpu = 16000, kMemory = 32000;

/* Guards against an account that starts a task although another one waits with a lower weighted
   share and with tasks that would have fit in its place. */
bool
shares_differ_by_one_task ()
{
  return rc::check ("weighted shares differ by one task at most", [] () {
    int count = *rc::gen::inRange (2, 5);
    std::vector<ShareAccount> accounts;
    std::vector<DagStepSpec> steps;
    for (int i = 0; i < count; i++) {
      /* All jobs are within the share, and none is late: the keys before are equal. */
      accounts.push_back ({ "a" + std::to_string (i), 100.0 * *rc::gen::inRange (1, 9), {} });
      steps.push_back (step_of (40, *rc::gen::inRange (300, 4000), *rc::gen::inRange (300, 8000),
                                *rc::gen::inRange<int64_t> (50, 600), false));
    }
    DagQueue queue = queue_named ("q", false);
    queue.target_latency_ms = 3600 * 1000;
    ShareWorld world (kTargets, kCpu, kMemory, { queue }, accounts);
    size_t compared = 0;
    for (int64_t until = world.now () + 3000; world.now () < until;) {
      std::vector<int32_t> started ((size_t) count), waiting ((size_t) count);
      auto sum_tasks = [&] (int32_t sign) {
        for (const ShareJob &job : world.jobs) {
          size_t a = (size_t) (job.account[1] - '0');
          started[a] += sign * job.started;
          waiting[a] += sign > 0 ? job.step.count - job.started : 0;
        }
      };
      sum_tasks (-1);
      /* The scheduler places tasks before it learns of ends. */
      std::map<std::string, GrRes> used = world.used;
      world.advance ();
      sum_tasks (1);
      auto share_without = [&] (size_t a, int32_t tasks) {
        GrRes sum = used[accounts[a].name];
        for (int32_t i = tasks; i < started[a]; i++)
          gr_res_add (&sum, &steps[a].demand);
        return std::max ((double) sum.v[GR_RES_CPU_MILLI] / kCpu,
                         (double) sum.v[GR_RES_MEMORY_MB] / kMemory)
               / kTargets / accounts[a].weight;
      };
      for (size_t x = 0; x < (size_t) count; x++) {
        for (size_t y = 0; y < (size_t) count && started[x] > 0; y++) {
          if (waiting[y] == 0 || !gr_res_fits (&steps[y].demand, &steps[x].demand))
            continue;
          compared += x != y;
          RC_ASSERT (share_without (x, 1) <= share_without (y, 0) + 1e-9);
        }
      }
      for (size_t a = 0; a < (size_t) count; a++) {
        if (waiting[a] < 40 && world.jobs.size () < 400)
          world.submit (accounts[a].name, "q", steps[a]);
      }
    }
    RC_CLASSIFY (compared > 50);
  });
}

/* Load of one account: a job of so many tasks in each interval. */
struct Source {
  const char *name;
  const char *account;
  DagStepSpec step;
  int64_t interval_ms, from_ms, until_ms;
};

/* Submits the load to eight targets of 32 cores and waits until all accepted work has ended.
   Returns the longest time from submission to end for each source; -1 if a job has not ended. */
std::map<std::string, int64_t>
longest_times (const std::vector<ShareAccount> &accounts, const DagQueue &queue,
               const std::vector<Source> &sources)
{
  ShareWorld world (8, 32000, 128000, { queue }, accounts);
  std::vector<const char *> names; /* of the sources of world.jobs */
  const int64_t begin = world.now ();
  for (; world.now () < begin + 40000; world.advance ()) {
    for (const Source &source : sources) {
      int64_t time = world.now () - begin;
      if (time >= source.from_ms && time < source.until_ms && time % source.interval_ms == 0
          && world.submit (source.account, "q", source.step) == DAG_SUBMIT_PENDING)
        names.push_back (source.name);
    }
  }
  std::map<std::string, int64_t> longest;
  for (size_t i = 0; i < names.size (); i++) {
    const ShareJob &job = world.jobs[i];
    int64_t &time = longest[names[i]];
    if (job.ended_at < 0)
      time = -1;
    else if (time >= 0)
      time = std::max (time, job.ended_at - job.submitted_at);
  }
  return longest;
}

/* The objective of a gang or of a wide step in the users' cells. */
int64_t
objective_of (const DagStepSpec &step)
{
  return (int64_t) ((step.gang ? 2.2 : 4) * (double) step.estimate_ms) + (step.gang ? 1200 : 3000);
}

bool
expect_at_most (const char *what, int64_t measured, int64_t limit)
{
  bool ok = measured >= 0 && measured <= limit;
  std::printf ("%s: %lld ms, at most %lld: %s\n", what, (long long) measured, (long long) limit,
               ok ? "ok" : "FAILED");
  return ok;
}

/* Guards against short work of others that is late because one account sends seven times its usual
   load: together 75% of the cell, then 187%. Its own work within the share is as fast as usual only
   if it is not what makes the cell full, so only that all of it ends is checked. */
bool
a_burst_delays_nobody_else ()
{
  DagQueue queue = queue_named ("q", true);
  std::vector<ShareAccount> accounts;
  std::vector<Source> sources;
  DagStepSpec lookup = step_of (3, 4000, 100, 800, false);
  for (const char *name : { "a", "b", "c", "d" }) {
    accounts.push_back ({ name, 5, {} });
    sources.push_back ({ name, name, lookup, 200, 0, 12000 });
  }
  sources.push_back ({ "a", "a", lookup, 35, 3000, 9000 });
  std::map<std::string, int64_t> times = longest_times (accounts, queue, sources);
  int64_t objective = (int64_t) (1.5 * 800) + 400;
  bool ok = expect_at_most ("burst of a, longest of b", times["b"], objective);
  ok &= expect_at_most ("burst of a, longest of c", times["c"], objective);
  ok &= expect_at_most ("burst of a, longest of d", times["d"], objective);
  return ok & expect_at_most ("burst of a, longest of a", times["a"], 30000);
}

/* Guards against gangs and wide steps of a small account that wait while a large one keeps a
   backlog of many small tasks. The small one takes less than its fifth of the cell. */
bool
small_tasks_do_not_crowd_out (const char *what, const DagStepSpec &step, double large, double small)
{
  /* Nothing is late, so that the fairness between accounts decides. */
  DagQueue queue = queue_named ("q", true);
  queue.target_latency_ms = 3600 * 1000;
  std::vector<ShareAccount> accounts = { { "large", large, {} }, { "small", small, {} } };
  std::vector<Source> sources
      = { { "large", "large", step_of (25, 2000, 100, 500, false), 75, 0, 15000 },
          { "small", "small", step, 3000, 1500, 15000 } };
  std::map<std::string, int64_t> times = longest_times (accounts, queue, sources);
  bool ok = expect_at_most (what, times["small"], objective_of (step));
  return ok & expect_at_most ("small tasks of the large account", times["large"], 30000);
}

/* Guards against gangs and larger tasks of an account that wait under its maximum while its own
   small tasks take all room that becomes free. They are most of the load, which fills the maximum.
 */
bool
small_tasks_leave_room_under_the_maximum (const char *what, const DagStepSpec &step,
                                          int64_t interval_ms)
{
  DagQueue queue = queue_named ("q", true);
  queue.target_latency_ms = 3600 * 1000;
  std::vector<ShareAccount> accounts = { { "a", 400, {} } };
  accounts[0].maximum.v[GR_RES_CPU_MILLI] = 128000;
  std::vector<Source> sources
      = { { "small", "a", step_of (25, 2000, 100, 500, false), interval_ms, 0, 15000 },
          { "large", "a", step, 4000, 1500, 15000 } };
  std::map<std::string, int64_t> times = longest_times (accounts, queue, sources);
  return expect_at_most (what, times["large"], objective_of (step));
}

} // namespace

int
main ()
{
  bool ok = a_burst_delays_nobody_else ();
  ok &= small_tasks_do_not_crowd_out ("gangs of a small account",
                                      step_of (20, 6000, 100, 1000, true), 400, 100);
  ok &= small_tasks_do_not_crowd_out ("wide steps of a small account",
                                      step_of (20, 6000, 100, 1000, false), 400, 100);
  /* Twice the capacity of the cell; as work within the share it comes first. */
  ok &= small_tasks_do_not_crowd_out ("wide steps beside work beyond a share",
                                      step_of (80, 6000, 100, 1000, false), 1, 1);
  ok &= small_tasks_leave_room_under_the_maximum ("gangs under the maximum of their account",
                                                  step_of (20, 6000, 100, 1000, true), 300);
  ok &= small_tasks_leave_room_under_the_maximum ("large tasks under the maximum",
                                                  step_of (2, 20000, 100, 1000, false), 195);
  ok &= shares_differ_by_one_task ();
  return ok ? 0 : 1;
}
