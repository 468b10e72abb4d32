#include "cell/cell_links.h"

/* Claims of VMs that are not electors come this long after those of the electors, spread over
   CLAIM_SPREAD_MS. */
#define CLAIM_DELAY_MS 1200
#define CLAIM_SPREAD_MS 1200

/* Number of chosen members in the zone. */
static size_t
chosen_in_zone (const LdrMember *members, const bool *chosen, size_t count, const GrName *zone)
{
  size_t sum = 0;
  for (size_t i = 0; i < count; i++)
    sum += chosen[i] && gr_name_equal (&members[i].zone, zone);
  return sum;
}

/* Order among members of the same weight and with the same number of chosen ones in their zones.
   The hash keeps it independent of how names are given. */
static bool
precedes (const LdrMember *a, const LdrMember *b)
{
  uint64_t x = gr_name_hash (&a->vm.vm, 0), y = gr_name_hash (&b->vm.vm, 0);
  return x != y ? x < y : gr_name_compare (&a->vm.vm, &b->vm.vm) < 0;
}

size_t
cell_links_next_strongest (const LdrMember *members, const bool *chosen, size_t count)
{
  size_t best = count;
  size_t best_in_zone = 0;
  for (size_t i = 0; i < count; i++) {
    if (chosen[i] || (best < count && members[i].weight < members[best].weight))
      continue;
    size_t in_zone = chosen_in_zone (members, chosen, count, &members[i].zone);
    bool better = best == count || members[i].weight > members[best].weight
                  || in_zone < best_in_zone
                  || (in_zone == best_in_zone && precedes (&members[i], &members[best]));
    if (!better)
      continue;
    best = i;
    best_in_zone = in_zone;
  }
  return best;
}

void
cell_links_choose_electors (const LdrMember *members, size_t count, bool *electors)
{
  for (size_t i = 0; i < count; i++)
    electors[i] = count <= CELL_ELECTORS_MAX;
  if (count <= CELL_ELECTORS_MAX)
    return;
  for (int chosen = 0; chosen < CELL_ELECTORS_MAX; chosen++)
    electors[cell_links_next_strongest (members, electors, count)] = true;
}

int64_t
cell_links_claim_delay_ms (const GrName *vm)
{
  return CLAIM_DELAY_MS + (int64_t) (gr_name_hash (vm, 0) % CLAIM_SPREAD_MS);
}
