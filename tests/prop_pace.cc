/* Properties of the pace of best-effort runs beside tasks that serve users: whatever the
   disturbance and its steps, tails return below their target within seconds, the pace settles
   without oscillation, and it uses most of the speed that the tails allow. */
#include <algorithm>
#include <cstdio>
#include <random>

#include <rapidcheck.h>

extern "C" {
#include "dag/dag_priv.h"
}

namespace
{

constexpr int64_t FIGURE_MS = 500; /* interval of the figures */
constexpr int64_t RUN_MS = 60000;
constexpr int64_t IMPACT_MS = 4000;   /* longest time over the target that is allowed */
constexpr int64_t SETTLED_MS = 15000; /* after a step */

/* A target whose tail, relative to its objective, grows with the pace of the best-effort runs. */
struct Plant {
  double alone;       /* ratio without best-effort runs */
  double disturbance; /* added at full pace */
  double noise;       /* relative, uniform */
};

double
ratio_at (const Plant &plant, int32_t limit, std::mt19937 &random)
{
  std::uniform_real_distribution<double> spread (1 - plant.noise, 1 + plant.noise);
  return (plant.alone + plant.disturbance * limit / 100) * spread (random);
}

struct Outcome {
  int64_t longest_over_ms = 0;
  int reversals = 0; /* changes of direction after the plant has settled */
  double mean_limit = 0;
};

/* Runs the controller against one plant for half the time, then against another. */
Outcome
play (const Plant &first, const Plant &second, uint32_t seed)
{
  std::mt19937 random (seed);
  DagPace pace;
  dag_pace_init (&pace);
  Outcome outcome;
  int64_t over_since = -1;
  int last_direction = 0;
  int samples = 0;
  for (int64_t now = FIGURE_MS; now <= RUN_MS; now += FIGURE_MS) {
    bool late = now > RUN_MS / 2;
    const Plant &plant = late ? second : first;
    int64_t since_step = late ? now - RUN_MS / 2 : now;
    double ratio = ratio_at (plant, pace.limit, random);
    if (ratio < 1)
      over_since = -1;
    else if (over_since < 0)
      over_since = now;
    else
      outcome.longest_over_ms = std::max (outcome.longest_over_ms, now - over_since);
    int32_t before = pace.limit;
    dag_pace_update (&pace, ratio, now);
    int direction = pace.limit > before ? 1 : pace.limit < before ? -1 : 0;
    if (since_step >= SETTLED_MS) {
      outcome.reversals += direction != 0 && last_direction != 0 && direction != last_direction;
      outcome.mean_limit += pace.limit;
      samples++;
    }
    if (direction != 0)
      last_direction = direction;
  }
  outcome.mean_limit /= samples;
  return outcome;
}

Plant
arbitrary_plant ()
{
  Plant plant;
  plant.alone = *rc::gen::inRange (10, 55) / 100.0;
  plant.disturbance = *rc::gen::inRange (0, 400) / 100.0;
  plant.noise = *rc::gen::inRange (0, 10) / 100.0;
  return plant;
}

/* Speed at which the tail, with its noise, just stays below the target. */
double
best_limit (const Plant &plant)
{
  double room = 1 / (1 + plant.noise) - plant.alone;
  return plant.disturbance <= 0 ? 100 : std::min (100.0, 100 * room / plant.disturbance);
}

} // namespace

int
main ()
{
  bool ok = rc::check ("a tail over its target returns below it in time", [] () {
    Outcome outcome
        = play (arbitrary_plant (), arbitrary_plant (), *rc::gen::arbitrary<uint32_t> ());
    RC_ASSERT (outcome.longest_over_ms < IMPACT_MS);
  });
  ok &= rc::check ("the pace does not oscillate after a step", [] () {
    Outcome outcome
        = play (arbitrary_plant (), arbitrary_plant (), *rc::gen::arbitrary<uint32_t> ());
    /* One probe of a higher speed per ceiling period, up and down, in each half. */
    RC_ASSERT (outcome.reversals <= 6);
  });
  ok &= rc::check ("most of the allowed speed is used", [] () {
    Plant plant = arbitrary_plant ();
    plant.alone = std::min (plant.alone, 0.45);
    Outcome outcome = play (plant, plant, *rc::gen::arbitrary<uint32_t> ());
    RC_ASSERT (outcome.mean_limit >= 0.4 * best_limit (plant) - 5);
  });
  return ok ? 0 : 1;
}
