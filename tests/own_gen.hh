/* rapidcheck generators of schedules for own_world.hh. */
#pragma once

#include <rapidcheck.h>

#include "own_world_impl.hh"

namespace own_test
{

inline std::ostream &
operator<< (std::ostream &out, const Schedule &schedule)
{
  return out << describe (schedule);
}

/* Full range for every test case: the size parameter of rapidcheck would make the first schedules
   trivial. */
inline rc::Gen<int>
whole_range (int low, int high)
{
  return rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high + 1));
}

inline rc::Gen<Fault>
gen_fault (const std::vector<int> &kinds, int vm_count)
{
  return rc::gen::build<Fault> (
      rc::gen::set (&Fault::kind, rc::gen::elementOf (kinds)),
      rc::gen::set (&Fault::vm, whole_range (0, vm_count - 1)),
      rc::gen::set (&Fault::peer, whole_range (0, vm_count - 1)),
      rc::gen::set (&Fault::mode, whole_range (0, 3)),
      rc::gen::set (&Fault::start_ms, whole_range (-4000, 12000)),
      rc::gen::set (&Fault::length_ms,
                    rc::gen::oneOf (whole_range (200, 10000), whole_range (10000, 30000))));
}

inline rc::Gen<Schedule>
gen_schedule (const std::vector<int> &kinds, int least, int most)
{
  return rc::gen::mapcat (whole_range (2, 5), [=] (int vm_count) {
    return rc::gen::mapcat (whole_range (least, most), [=] (int fault_count) {
      return rc::gen::map (rc::gen::pair (rc::gen::arbitrary<uint64_t> (),
                                          rc::gen::container<std::vector<Fault>> (
                                              (size_t) fault_count, gen_fault (kinds, vm_count))),
                           [=] (const std::pair<uint64_t, std::vector<Fault>> &drawn) {
                             Schedule schedule;
                             schedule.seed = drawn.first;
                             schedule.vm_count = vm_count;
                             schedule.faults = drawn.second;
                             return schedule;
                           });
    });
  });
}

inline std::vector<int>
all_kinds ()
{
  std::vector<int> kinds;
  for (int kind = 0; kind < FAULT_KIND_COUNT; kind++)
    kinds.push_back (kind);
  return kinds;
}

/* Sums over the schedules of one property. They show whether the schedules exercised the rule that
   the property tests. */
struct Totals {
  int64_t runs = 0;
  Verdict sum;

  void
  add (const Verdict &verdict)
  {
    runs++;
    sum.steps += verdict.steps;
    sum.claims += verdict.claims;
    sum.handovers += verdict.handovers;
    sum.promise_starts += verdict.promise_starts;
    sum.stale_starts_refused += verdict.stale_starts_refused;
    sum.stale_epochs += verdict.stale_epochs;
    sum.gone_records += verdict.gone_records;
    sum.max_gap_ms = std::max (sum.max_gap_ms, verdict.max_gap_ms);
  }

  void
  print (const char *name) const
  {
    printf ("%s: schedules=%lld steps=%lld claims=%lld handovers=%lld promise_starts=%lld "
            "stale_starts_refused=%lld stale_epochs=%lld gone=%lld max_gap_ms=%lld\n",
            name, (long long) runs, (long long) sum.steps, (long long) sum.claims,
            (long long) sum.handovers, (long long) sum.promise_starts,
            (long long) sum.stale_starts_refused, (long long) sum.stale_epochs,
            (long long) sum.gone_records, (long long) sum.max_gap_ms);
  }
};

} // namespace own_test
