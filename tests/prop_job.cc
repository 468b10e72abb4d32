/* Properties of the job module under generated schedules with lost, duplicated and late messages,
   takeovers, paused owners, store outages, lost schedulers and targets, cancellations and repeated
   ids. */
#include <rapidcheck.h>

#include "job_world.hh"

using namespace job_test;

namespace
{

/* Runs random schedules with a fixed seed. Returns the first violation, or an empty string. */
std::string
first_violation (JobFaults faults, int schedules)
{
  std::mt19937_64 random (20261204);
  for (int i = 0; i < schedules; i++) {
    std::vector<uint8_t> bytes (60 + random () % 400);
    for (auto &byte : bytes)
      byte = static_cast<uint8_t> (random ());
    std::string violation = World (bytes, faults).run ();
    if (!violation.empty ())
      return violation;
  }
  return "";
}

/* Each disabled rule must violate a property. Otherwise the properties do not test that rule. */
bool
broken_variants_are_caught ()
{
  struct Variant {
    const char *label;
    bool JobFaults::*rule;
  };
  const Variant variants[] = {
    { "start_before_commit", &JobFaults::start_before_commit },
    { "retry_non_idempotent", &JobFaults::retry_non_idempotent },
    { "retry_without_lapse", &JobFaults::retry_without_lapse },
    { "not_run_without_proof", &JobFaults::not_run_without_proof },
    { "forget_cancel", &JobFaults::forget_cancel },
  };
  bool all = true;
  for (const auto &variant : variants) {
    JobFaults faults = {};
    faults.*variant.rule = true;
    std::string violation = first_violation (faults, 5000);
    std::printf ("broken variant %s: %s\n", variant.label,
                 violation.empty () ? "NOT CAUGHT" : violation.c_str ());
    all = all && !violation.empty ();
  }
  return all;
}

} // namespace

int
main ()
{
  bool ok = rc::check (
      "exclusive tasks run in one place, non-idempotent ones start once, replies match what "
      "happened, and each accepted job ends once",
      [] {
        auto length = *rc::gen::inRange<size_t> (60, 460);
        auto bytes
            = *rc::gen::container<std::vector<uint8_t>> (length, rc::gen::arbitrary<uint8_t> ());
        std::string violation = World (bytes, JobFaults{}).run ();
        if (!violation.empty ())
          RC_FAIL (violation);
      });
  ok = broken_variants_are_caught () && ok;
  return ok ? 0 : 1;
}
