/* Ownership rules that have a test-only switch: with the rule disabled, some schedule violates a
   property; with all rules, the same schedule violates none. Guards against a rule that no property
   needs and against properties that detect no fault. Seeds are tried in order, so the result is
   reproducible. */
#include "own_world_impl.hh"

using namespace own_test;

namespace
{

Schedule
any_faults (uint64_t seed)
{
  std::vector<int> kinds;
  for (int kind = 0; kind < FAULT_KIND_COUNT; kind++)
    kinds.push_back (kind);
  return draw_schedule (seed, kinds, 5);
}

/* e0 crashes and stays down. The claims of e1 reach the log late, after e1 has restarted and joined
   again. */
Schedule
late_claims (uint64_t seed)
{
  Rng rng{ seed };
  Schedule schedule;
  schedule.seed = seed;
  schedule.vm_count = 2;
  int restart = (int) rng.range (4000, 6000);
  schedule.faults = { { FAULT_CRASH, 0, 0, 0, 1000, 30000 },
                      { FAULT_APPEND_LATE, 1, 0, 0, 2000, restart - 2000 },
                      { FAULT_CRASH, 1, 0, 1, restart, 500 } };
  return schedule;
}

/* e0 and e2 reach each other but not the store. e1 reaches the store but no peer. */
Schedule
split_set (uint64_t seed)
{
  Rng rng{ seed };
  Schedule schedule;
  schedule.seed = seed;
  schedule.vm_count = 3;
  int cut = (int) rng.range (500, 3000);
  int isolated = (int) rng.range (500, 3000);
  schedule.faults = { { FAULT_STORE_CUT, 0, 0, 0, cut, 60000 - cut },
                      { FAULT_STORE_CUT, 2, 0, 0, cut, 60000 - cut },
                      { FAULT_ISOLATE, 1, 0, 0, isolated, 60000 - isolated } };
  schedule.end_ms = 60000;
  return schedule;
}

/* e0 owns keys and can no longer reach the store. e1 boots later, cannot reach e0 and sees it only
   in the log. */
Schedule
unknown_claimer (uint64_t seed)
{
  Rng rng{ seed };
  Schedule schedule;
  schedule.seed = seed;
  schedule.vm_count = 2;
  int cut = (int) rng.range (500, 4000);
  schedule.faults = { { FAULT_STORE_CUT, 0, 0, 0, cut, 60000 - cut },
                      { FAULT_LATE_BOOT, 1, 0, 0, -8000, (int) rng.range (9000, 16000) },
                      { FAULT_LINK_CUT, 1, 0, 0, -9000, 69000 } };
  schedule.end_ms = 60000;
  return schedule;
}

/* As unknown_claimer, and the VM list lacks e0 although it runs, while e2, which cannot reach the
   store either, continues to give promises to e0. */
Schedule
wrong_list (uint64_t seed)
{
  Rng rng{ seed * 77 + 5 };
  Schedule schedule;
  schedule.seed = seed;
  schedule.vm_count = 3;
  int drop = (int) rng.range (4000, 12000);
  int cut = (int) rng.range (1000, drop);
  schedule.faults = { { FAULT_STORE_CUT, 0, 0, 0, cut, 60000 - cut },
                      { FAULT_STORE_CUT, 2, 0, 0, 2000, 58000 },
                      { FAULT_LATE_BOOT, 1, 0, 0, -8000, (int) rng.range (9000, drop + 8000) },
                      { FAULT_LINK_CUT, 1, 0, 0, -9000, 69000 },
                      { FAULT_LIST_DROP, 0, 0, 0, drop, (int) rng.range (1000, 45000) } };
  if (rng.chance (500)) {
    int start = drop - (int) rng.range (0, 3000);
    schedule.faults.push_back ({ FAULT_LIST_CUT, 0, 0, 0, start, (int) rng.range (1000, 40000) });
  }
  schedule.end_ms = 60000;
  return schedule;
}

struct Case {
  const char *name;
  bool OwnFaults::*rule;
  Schedule (*draw) (uint64_t seed);
  uint64_t seeds;
};

const Case cases[] = {
  { "no_claim_wait", &OwnFaults::no_claim_wait, any_faults, 2000 },
  { "no_read_age_check", &OwnFaults::no_read_age_check, any_faults, 2000 },
  { "promise_from_any", &OwnFaults::promise_from_any, split_set, 200 },
  { "no_acknowledged_rule", &OwnFaults::no_acknowledged_rule, unknown_claimer, 200 },
  { "no_unknown_claim_rule", &OwnFaults::no_unknown_claim_rule, any_faults, 4000 },
  { "no_list_age_check", &OwnFaults::no_list_age_check, wrong_list, 200 },
  { "no_gone_delay", &OwnFaults::no_gone_delay, wrong_list, 4000 },
  { "no_void_rule", &OwnFaults::no_void_rule, late_claims, 200 },
  { "act_on_moving_key", &OwnFaults::act_on_moving_key, any_faults, 4000 },
};

bool
rule_is_needed (const Case &c)
{
  OwnFaults faults = {};
  faults.*c.rule = true;
  for (uint64_t seed = 1; seed <= c.seeds; seed++) {
    Schedule schedule = c.draw (seed);
    Verdict broken = World (schedule, faults).run ();
    if (broken.violation.empty ())
      continue;
    Verdict whole = World (schedule, OwnFaults{}).run ();
    printf ("%s: caught at seed %llu (%s), two starters: %s; with the rule: %s\n", c.name,
            (unsigned long long) seed, broken.violation.c_str (),
            broken.two_starters ? "yes" : "no",
            whole.violation.empty () ? "no violation" : whole.violation.c_str ());
    return whole.violation.empty ();
  }
  printf ("%s: NOT caught in %llu seeds\n", c.name, (unsigned long long) c.seeds);
  return false;
}

} // namespace

int
main ()
{
  bool ok = true;
  for (const Case &c : cases)
    ok = rule_is_needed (c) && ok;
  return ok ? 0 : 1;
}
