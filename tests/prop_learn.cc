/* Properties of learned speeds and run times over generated loads. */
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "learn/learn_runtime.h"
#include "learn/learn_speed.h"
}

namespace
{

constexpr int TARGETS = 10;
constexpr int ENDS = 20; /* for each target */

/* Runs of one target have to follow one another. */
void
observe (std::vector<LearnRun> runs, double estimate, LearnNoise *noise, int64_t now)
{
  std::stable_sort (runs.begin (), runs.end (),
                    [] (const LearnRun &a, const LearnRun &b) { return a.speed < b.speed; });
  learn_speed_observe (runs.data (), runs.size (), estimate, 1, noise, now);
}

/* Observes steps of tasks on random targets; fast ones work ratio times as fast. */
std::vector<LearnSpeed>
observe_steps (double ratio, double noise, uint32_t seed, LearnClasses *classes)
{
  std::mt19937 random (seed);
  std::normal_distribution<double> normal (0, noise);
  std::uniform_real_distribution<double> share (0, 1);
  std::vector<LearnSpeed> speeds (TARGETS);
  LearnNoise spread;
  learn_noise_init (&spread);
  for (LearnSpeed &speed : speeds)
    learn_speed_init (&speed, 0);
  for (int ends = 0; ends < ENDS * TARGETS;) {
    int tasks = 2 + (int) (random () % 12);
    double work = std::exp (5 + 4 * share (random));
    std::vector<LearnRun> runs;
    for (int i = 0; i < tasks; i++) {
      int t = (int) (random () % TARGETS);
      double log_ms = std::log (work) + normal (random) - (t < 3 ? std::log (ratio) : 0);
      log_ms += share (random) < 0.03 ? std::log (7) : 0;
      runs.push_back ({ &speeds[(size_t) t], log_ms });
    }
    ends += tasks;
    double estimate = work * (0.1 + 1.8 * share (random));
    observe (runs, estimate, &spread, 100 * ends);
  }
  std::vector<LearnSpeed *> all;
  for (LearnSpeed &speed : speeds)
    all.push_back (&speed);
  learn_speed_classify (all.data (), all.size (), classes);
  return speeds;
}

/* Guards against targets that are still taken for the other kind after ENDS ends each. */
void
speeds_are_ordered (uint32_t seed)
{
  LearnClasses classes;
  double ratio = *rc::gen::inRange (180, 400) / 100.0;
  auto speeds = observe_steps (ratio, 0.15, seed, &classes);
  for (int fast = 0; fast < 3; fast++) {
    for (int slow = 3; slow < TARGETS; slow++)
      RC_ASSERT (speeds[(size_t) fast].mean > speeds[(size_t) slow].mean);
  }
}

/* Guards against values that are not numbers or leave their range, whatever runs are reported. */
void
values_stay_finite (uint32_t seed)
{
  std::mt19937 random (seed);
  std::uniform_real_distribution<double> log_ms (0, 24);
  std::vector<LearnSpeed> speeds (3);
  LearnNoise noise;
  learn_noise_init (&noise);
  LearnRuntimes table = {};
  for (LearnSpeed &speed : speeds)
    learn_speed_init (&speed, 0);
  int64_t now = 0;
  for (int i = 0; i < 60; i++) {
    std::vector<LearnRun> runs;
    for (size_t t = 0; t < 1 + random () % 5; t++)
      runs.push_back ({ &speeds[random () % 3], log_ms (random) });
    now += (int64_t) (random () % 100000);
    double estimate = random () % 4 ? std::exp (log_ms (random)) : 0;
    observe (runs, estimate, &noise, now);
    learn_runtime_observe (&table, random () % 3, estimate, estimate, std::exp (log_ms (random)),
                           1);
    learn_runtime_observe_censored (&table, random () % 3, estimate, std::exp (log_ms (random)), 1);
  }
  for (const LearnSpeed &speed : speeds)
    RC_ASSERT (std::isfinite (speed.mean) && speed.variance > 0 && speed.variance <= 0.25);
  for (uint64_t kind = 0; kind < 3; kind++) {
    const LearnRuntime *model = learn_runtime_find (&table, kind);
    double expected = learn_runtime_expected (model, std::exp (log_ms (random)), 1);
    RC_ASSERT (expected >= 1 && expected < 1e11);
    RC_ASSERT (std::isfinite (learn_runtime_quantile (model, 0.95)));
  }
}

} // namespace

int
main ()
{
  bool ok = rc::check ("speeds are ordered after some ends", speeds_are_ordered);
  ok &= rc::check ("values stay finite", values_stay_finite);
  return ok ? 0 : 1;
}
