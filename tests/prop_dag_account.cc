/* Properties of client accounts in the schedules of prop_dag.cc, with its faults: what the targets
   run of an account, those that are silent included, stays within its maximum while that changes,
   and every job ends. Guards also against decisions that change as soon as the configuration lists
   accounts, although none of them sends anything. */
#include <cstdio>

#include <rapidcheck.h>

#include "dag_world.hh"

using namespace dag_test;

namespace
{

bool
maxima_hold ()
{
  return rc::check ("maxima hold under faults", [] () {
    Options options;
    options.seed = *rc::gen::noShrink (rc::gen::arbitrary<uint32_t> ());
    options.accounts = true;
    Result result = Simulation (options).run ();
    if (!result.violation.empty ())
      RC_FAIL ("seed " + std::to_string (options.seed) + ": " + result.violation);
    RC_CLASSIFY (result.most_used > kUsualMaximum - 4000);
  });
}

bool
accounts_of_others_change_nothing ()
{
  return rc::check ("accounts of others change nothing", [] () {
    Options options;
    options.seed = *rc::gen::noShrink (rc::gen::arbitrary<uint32_t> ());
    uint64_t commands = Simulation (options).run ().commands;
    options.other_accounts = true;
    RC_ASSERT (Simulation (options).run ().commands == commands);
  });
}

} // namespace

int
main ()
{
  bool ok = maxima_hold ();
  ok &= accounts_of_others_change_nothing ();
  return ok ? 0 : 1;
}
