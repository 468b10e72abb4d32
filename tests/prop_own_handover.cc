/* Graceful handover and retention under generated schedules. Guards against a gap above 1 s when a
   VM stops or joins as planned, and against a VM without state that wins over kept state. */
#include "own_gen.hh"

using namespace own_test;

/* Target of the design page. */
static const int64_t HANDOVER_GAP_MS = 1000;

static bool
graceful_handover_leaves_no_gap ()
{
  Totals totals;
  bool ok = rc::check ("planned stops and joins: no gap above 1 s", [&] {
    Schedule schedule = *gen_schedule ({ FAULT_STOP, FAULT_LATE_BOOT }, 1, 2);
    schedule.vm_count = std::max (schedule.vm_count, 3);
    schedule.quiet_network = true;
    /* One stop at a time: two at once may leave nobody to hand over to. */
    if (schedule.faults.size () == 2)
      schedule.faults[1].start_ms
          = schedule.faults[0].start_ms + schedule.faults[0].length_ms + 4000;
    /* The first claims are not handovers. */
    for (Fault &fault : schedule.faults)
      fault.start_ms += 4000;
    Verdict verdict = World (schedule, OwnFaults{}).run ();
    totals.add (verdict);
    if (!verdict.violation.empty ())
      RC_FAIL (verdict.violation);
    RC_ASSERT (verdict.max_gap_ms <= HANDOVER_GAP_MS);
  });
  totals.print ("graceful handover");
  return ok && totals.sum.handovers > 0;
}

static bool
kept_state_wins_over_a_new_vm ()
{
  Totals totals;
  bool ok = rc::check ("short retention and late empty VMs: kept epochs win, readers agree", [&] {
    Schedule schedule
        = *gen_schedule ({ FAULT_CRASH, FAULT_STOP, FAULT_LATE_BOOT, FAULT_PAUSE }, 1, 4);
    /* Half of the retention is longer than the time in which a dead owner is declared gone and its
       key is claimed, as on the platform; the list is quick, which keeps both short. */
    schedule.retention_ms = *whole_range (34000, 40000);
    schedule.refresh_ms = schedule.retention_ms / 2;
    schedule.list_lag_ms = 200;
    schedule.list_lag_option_ms = 500;
    schedule.list_max_age_ms = 1500;
    /* Now and then everything is down for longer than the retention. */
    if (*whole_range (0, 3) == 0) {
      int start = *whole_range (0, 8000);
      int length = (int) schedule.retention_ms + *whole_range (0, 10000);
      for (int vm = 0; vm < schedule.vm_count; vm++)
        schedule.faults.push_back ({ FAULT_CRASH, vm, 0, 1, start, length });
    }
    Verdict verdict = World (schedule, OwnFaults{}).run ();
    totals.add (verdict);
    if (!verdict.violation.empty ())
      RC_FAIL (verdict.violation);
  });
  totals.print ("short retention");
  return ok && totals.sum.stale_epochs > 0;
}

int
main ()
{
  bool ok = graceful_handover_leaves_no_gap ();
  ok = kept_state_wins_over_a_new_vm () && ok;
  return ok ? 0 : 1;
}
