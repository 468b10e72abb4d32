/* Properties of the scheduler under generated schedules of submits, cancels, commits, reports,
   timeouts and target changes, with delayed, duplicated and reordered messages. */
#include <cstdio>

#include <rapidcheck.h>

#include "sch_world.h"

using namespace sch_test;

namespace
{

/* Max schedules that are tried until a broken variant violates its rule. */
constexpr int VARIANT_SCHEDULES = 10000;
constexpr int SCHEDULE_SIZE = 100;
/* Up to 200 operations, 100 on average. */
constexpr double SCHEDULE_SCALE = 2.0;

rc::Gen<uint32_t>
operations ()
{
  return rc::gen::noShrink (
      rc::gen::resize (rc::kNominalSize * 2, rc::gen::arbitrary<uint32_t> ()));
}

/* Whether no generated schedule violates one of the rules. */
bool
holds (const char *name, int rules)
{
  return rc::check (name, [rules] () {
    auto schedule = *rc::gen::scale (SCHEDULE_SCALE, rc::gen::container<Schedule> (operations ()));
    std::string detail;
    int violated = run_schedule (SchFaults{}, schedule, &detail);
    if (violated & rules)
      RC_FAIL (detail);
  });
}

/* Whether the same property detects a broken variant, in which one rule is disabled. */
bool
detects (const char *name, int rules, const SchFaults &faults)
{
  for (int i = 0; i < VARIANT_SCHEDULES; i++) {
    auto schedule
        = rc::gen::container<Schedule> (operations ()) (rc::Random ((uint64_t) i), SCHEDULE_SIZE)
              .value ();
    std::string detail;
    if (run_schedule (faults, schedule, &detail) & rules) {
      std::printf ("broken variant %s: caught by schedule %d: %s\n", name, i + 1, detail.c_str ());
      return true;
    }
  }
  std::printf ("broken variant %s: NOT caught by %d schedules\n", name, VARIANT_SCHEDULES);
  return false;
}

} // namespace

int
main ()
{
  bool ok = true;
  ok &= holds ("reserved and running work never exceed a target's capacity", RULE_CAPACITY);
  ok &= holds ("a team never starts work above its quota part", RULE_QUOTA);
  ok &= holds ("a gang starts as a whole or not at all", RULE_GANG);
  ok &= holds ("a cancelled task never starts afterwards", RULE_CANCEL);
  ok &= holds ("no slot, hold or queue entry leaks", RULE_LEAK);
  ok &= holds ("each submitted attempt gets exactly one outcome", RULE_ONE_OUTCOME);
  ok &= holds ("no work starts on a target that is leaving, down or gone", RULE_TARGET_STATE);

  SchFaults faults = {};
  faults.no_capacity_check = true;
  ok &= detects ("no_capacity_check", RULE_CAPACITY, faults);
  faults = {};
  faults.no_quota_check = true;
  ok &= detects ("no_quota_check", RULE_QUOTA, faults);
  faults = {};
  faults.no_cancel_mark = true;
  ok &= detects ("no_cancel_mark", RULE_CANCEL, faults);
  faults = {};
  faults.no_duplicate_end_check = true;
  ok &= detects ("no_duplicate_end_check", RULE_LEAK, faults);
  faults = {};
  faults.gang_partial_commit = true;
  ok &= detects ("gang_partial_commit", RULE_GANG, faults);
  return ok ? 0 : 1;
}
