/* Ownership under generated schedules of faults. Guards against two VMs that may start work on one
   key, readers that disagree, epochs that fall and keys that stay without an owner. */
#include "own_gen.hh"

using namespace own_test;

static bool
faults_leave_one_starter_and_an_owner_in_the_end ()
{
  Totals totals;
  bool ok = rc::check (
      "any faults: one starter, agreement, rising epochs, an owner 10 s after the faults", [&] {
        Schedule schedule = *gen_schedule (all_kinds (), 1, 5);
        Verdict verdict = World (schedule, OwnFaults{}).run ();
        totals.add (verdict);
        if (!verdict.violation.empty ())
          RC_FAIL (verdict.violation);
      });
  totals.print ("any faults");
  return ok;
}

/* The store is away from all VMs or from some while one other fault happens. */
static bool
promises_leave_one_starter_while_the_store_is_away ()
{
  Totals totals;
  bool ok = rc::check ("store away and another fault: one starter", [&] {
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
  bool ok = faults_leave_one_starter_and_an_owner_in_the_end ();
  ok = promises_leave_one_starter_while_the_store_is_away () && ok;
  return ok ? 0 : 1;
}
