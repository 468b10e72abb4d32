/* Graceful handover and retention under generated schedules. Guards against a key on which no VM
   may start for more than 1 s when a VM stops or joins as planned, and against a VM that starts
   after retention has removed records and replaces an epoch that others still have. */
#include "own_gen.hh"

using namespace own_test;

/* Design target for the time without an owner that may start. */
static const int64_t HANDOVER_GAP_MS = 1000;

static bool
graceful_handover_has_no_long_gap ()
{
  Totals totals;
  bool ok = rc::check ("planned stops and joins: no gap in ownership above 1 s", [&] {
    Schedule schedule = *gen_schedule ({ FAULT_STOP, FAULT_LATE_BOOT }, 1, 2);
    schedule.vm_count = std::max (schedule.vm_count, 3);
    schedule.reliable_network = true;
    /* One stop at a time: with two at once there may be no live member to hand over to. */
    if (schedule.faults.size () == 2)
      schedule.faults[1].start_ms
          = schedule.faults[0].start_ms + schedule.faults[0].length_ms + 4000;
    /* Later than the first claims, which are not handovers. */
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
known_epochs_win_after_short_retention ()
{
  Totals totals;
  bool ok = rc::check ("short retention and late empty VMs: known epochs win, readers agree", [&] {
    Schedule schedule
        = *gen_schedule ({ FAULT_CRASH, FAULT_STOP, FAULT_LATE_BOOT, FAULT_PAUSE }, 1, 4);
    /* As on the platform, half of the retention is longer than it takes to declare a failed
       owner gone and to claim its key. A small lag of the VM list keeps both times short. */
    schedule.retention_ms = *whole_range (34000, 40000);
    schedule.refresh_ms = schedule.retention_ms / 2;
    schedule.list_lag_ms = 200;
    schedule.list_lag_option_ms = 500;
    schedule.list_max_age_ms = 1500;
    /* In one of four schedules all VMs are down for longer than the retention. */
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
  bool ok = graceful_handover_has_no_long_gap ();
  ok = known_epochs_win_after_short_retention () && ok;
  return ok ? 0 : 1;
}
