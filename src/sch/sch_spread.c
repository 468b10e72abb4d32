/* Spreads the replicas of a service over availability zones first, then over groups. */
#include "sch/sch_priv.h"

/* Max targets examined for one replica. */
#define TARGET_SCAN_MAX 64
/* The search ends after this many targets that fit. */
#define CANDIDATES_MAX 16
/* Step of the scan if there are more than TARGET_SCAN_MAX targets, so that the targets examined are
   far apart. Coprime to any number of targets met in practice, so that every target is reached. */
#define SCAN_STRIDE 7919

static int32_t
domain_count (const SchDomainCount *domains, size_t count, uint32_t domain)
{
  for (size_t k = 0; k < count; k++) {
    if (domains[k].domain == domain)
      return domains[k].count;
  }
  return 0;
}

#define CHANGE_COUNT(list, at, delta)                                                              \
  do {                                                                                             \
    size_t k_ = 0;                                                                                 \
    while (k_ < (list)->count && (list)->items[k_].domain != (at))                                 \
      k_++;                                                                                        \
    if (k_ == (list)->count)                                                                       \
      gr_list_push ((list), (SchDomainCount){ (at), 0 });                                          \
    (list)->items[k_].count += (delta);                                                            \
    if ((list)->items[k_].count == 0)                                                              \
      gr_list_swap_remove ((list), k_);                                                            \
  } while (0)

int32_t
sch_spread_pick (SchState *s, const SchEntry *e)
{
  const SchTargets *t = &s->targets;
  SchService *service;
  HASH_FIND (hh, s->services, e->task.job.data, e->task.job.len, service);
  int32_t best = -1;
  int64_t best_score = INT64_MAX;
  int candidates = 0;
  int scan_max = t->count < TARGET_SCAN_MAX ? t->count : TARGET_SCAN_MAX;
  for (int k = 0; k < scan_max && candidates < CANDIDATES_MAX; k++) {
    s->target_cursor
        = (int32_t) (((int64_t) s->target_cursor + (t->count <= TARGET_SCAN_MAX ? 1 : SCAN_STRIDE))
                     % t->count);
    int32_t i = s->target_cursor;
    if (!t->name[i] || !sch_target_allows (s, i, e))
      continue;
    candidates++;
    int64_t zone = 0;
    int64_t group = 0;
    if (service) {
      zone = domain_count (service->zones.items, service->zones.count, t->zone[i]);
      group = domain_count (service->groups.items, service->groups.count, t->group[i]);
    }
    /* With equal counts, targets with accelerators are left to work that needs them. */
    bool unused_accelerators
        = t->total[i].v[GR_RES_ACCELERATORS] > 0 && e->reserve.v[GR_RES_ACCELERATORS] == 0;
    int64_t score = zone << 24 | group << 2 | unused_accelerators;
    if (score < best_score) {
      best_score = score;
      best = i;
    }
  }
  return best;
}

void
sch_spread_add (SchState *s, SchEntry *e)
{
  if (e->task.policy.kind != SCH_POLICY_SERVICE)
    return;
  SchService *service;
  HASH_FIND (hh, s->services, e->task.job.data, e->task.job.len, service);
  if (!service) {
    service = gr_calloc (1, sizeof *service);
    service->job = e->task.job;
    HASH_ADD_KEYPTR (hh, s->services, service->job.data, service->job.len, service);
  }
  service->refs++;
  e->service = service;
  CHANGE_COUNT (&service->zones, s->targets.zone[e->target], 1);
  CHANGE_COUNT (&service->groups, s->targets.group[e->target], 1);
}

static void
free_service (SchService *service)
{
  gr_list_clear (&service->zones);
  gr_list_clear (&service->groups);
  free (service);
}

void
sch_spread_remove (SchState *s, SchEntry *e)
{
  SchService *service = e->service;
  if (!service)
    return;
  e->service = NULL;
  CHANGE_COUNT (&service->zones, s->targets.zone[e->target], -1);
  CHANGE_COUNT (&service->groups, s->targets.group[e->target], -1);
  if (--service->refs > 0)
    return;
  HASH_DEL (s->services, service);
  free_service (service);
}

void
sch_spread_clear (SchState *s)
{
  gr_hash_clear (s->services, free_service);
}
