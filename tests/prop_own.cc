/* Ownership under generated schedules of faults. Guards against two VMs that may start work on one
   key, readers of the log that derive different owners, epochs that fall, and keys that stay
   without an owner. */
#include "own_gen.hh"

using namespace own_test;

static bool
at_most_one_vm_may_start_under_any_faults ()
{
  Totals totals;
  bool ok = rc::check (
      "any faults: at most one VM may start, readers agree, epochs rise, an owner after 10 s", [&] {
        Schedule schedule = *gen_schedule (all_kinds (), 1, 5);
        Verdict verdict = World (schedule, OwnFaults{}).run ();
        totals.add (verdict);
        if (!verdict.violation.empty ())
          RC_FAIL (verdict.violation);
      });
  totals.print ("any faults");
  return ok;
}

/* The store is unreachable for all VMs or for some while one or two other faults happen. */
static bool
at_most_one_vm_may_start_while_the_store_is_unreachable ()
{
  Totals totals;
  bool ok = rc::check ("store unreachable and other faults: at most one VM may start", [&] {
    std::vector<int> others = all_kinds ();
    Schedule schedule = *gen_schedule (others, 1, 2);
    int cut = *whole_range (1, schedule.vm_count);
    int start = *whole_range (0, 6000);
    int length = *whole_range (6000, 20000);
    for (int vm = 0; vm < cut; vm++) {
      Fault fault;
      fault.kind = cut == schedule.vm_count ? FAULT_STORE_DOWN : FAULT_STORE_CUT;
      fault.vm = vm;
      fault.mode = *whole_range (0, 3);
      fault.start_ms = start;
      fault.length_ms = length;
      schedule.faults.push_back (fault);
      if (fault.kind == FAULT_STORE_DOWN)
        break;
    }
    Verdict verdict = World (schedule, OwnFaults{}).run ();
    totals.add (verdict);
    if (!verdict.violation.empty ())
      RC_FAIL (verdict.violation);
  });
  totals.print ("store away");
  return ok && totals.sum.promise_starts > 0;
}

int
main ()
{
  bool ok = at_most_one_vm_may_start_under_any_faults ();
  ok = at_most_one_vm_may_start_while_the_store_is_unreachable () && ok;
  return ok ? 0 : 1;
}
