/* Target health: a target on which everything fails is quarantined, i.e. gets no work other than
   probes, until a probe succeeds.

   The weight of a failure is how unlikely it is for that job and kind on other targets, so that
   faulty jobs do not quarantine a healthy target. */
#include <math.h>

#include "sch/sch_priv.h"

/* A target is quarantined when at least FAILURES_MIN failures are recorded and the probability that
   they are chance is below 1 in 10,000. The weight of a failure is the negative natural logarithm
   of its probability, so the sum of the weights must reach -log (1 / 10000). */
#define EVIDENCE_MIN 9.2
#define FAILURES_MIN 3
/* Lower bounds of the assumed failure rate: of any kind, and of a kind with fewer than
   KIND_OUTCOMES_MIN outcomes. */
#define FAIL_RATE_MIN 0.05
#define NEW_KIND_FAIL_RATE_MIN 0.2
#define KIND_OUTCOMES_MIN 8
/* Step of the moving average of a kind's failure rate. It is large so that the rate follows a burst
   of faulty jobs before their failures quarantine a target. If the target is at fault, the kind
   succeeds elsewhere between two of its failures and the rate falls again. */
#define FAIL_RATE_STEP 0.2
/* Weight of the kind's failure rate, as a number of outcomes, against the outcomes of one job. */
#define JOB_PRIOR_WEIGHT 4.0
/* Max consecutive failures on one target that count for the failure rates of their kinds. Otherwise
   a target that fails all its tasks at once would raise the rate of every kind. */
#define KIND_FAILURES_MAX 3
/* Cooldown after a failure, doubled for each recorded failure. Outcomes of the tasks that already
   run there can arrive before another one starts, so that fewer tasks are lost to a faulty
   target. */
#define COOLDOWN_MS 100
#define COOLDOWN_MAX_MS 2000
/* Cooldown after the target refused a start: the scheduler's view of the target is out of date. */
#define REFUSED_COOLDOWN_MS 200
/* Backoff from the quarantine to the first probe; doubled after each further failure. */
#define PROBE_MIN_MS 1000
#define PROBE_MAX_MS 60000
/* Batch work is used for a probe first; other work only once the probe has been due for this
   long. */
#define PROBE_ANY_MS 10000
#define JOB_STATS_MAX 8192

static SchJobStat *
job_stat (SchState *s, const GrName *job)
{
  uint64_t key = gr_name_hash (job, 0);
  SchJobStat *stat;
  HASH_FIND (hh, s->job_stats, &key, sizeof key, stat);
  if (stat)
    return stat;
  if (HASH_COUNT (s->job_stats) >= JOB_STATS_MAX) {
    SchJobStat *oldest = s->job_order;
    DL_DELETE (s->job_order, oldest);
    HASH_DEL (s->job_stats, oldest);
    free (oldest);
  }
  stat = gr_calloc (1, sizeof *stat);
  stat->key = key;
  stat->first_target = -1;
  stat->last_target = -1;
  HASH_ADD (hh, s->job_stats, key, sizeof stat->key, stat);
  DL_APPEND (s->job_order, stat);
  return stat;
}

int32_t
sch_health_last_failed_target (const SchState *s, const GrName *job)
{
  uint64_t key = gr_name_hash (job, 0);
  SchJobStat *stat;
  HASH_FIND (hh, s->job_stats, &key, sizeof key, stat);
  return stat ? stat->last_target : -1;
}

void
sch_health_clear (SchState *s)
{
  gr_hash_clear (s->job_stats, free);
}

static void
remove_number (int32_t *items, size_t *count, int32_t i)
{
  for (size_t k = 0; k < *count; k++) {
    if (items[k] == i) {
      items[k] = items[--*count];
      return;
    }
  }
}

void
sch_health_remove_target (SchState *s, int32_t i)
{
  remove_number (s->cooldown.items, &s->cooldown.count, i);
  remove_number (s->quarantined.items, &s->quarantined.count, i);
  remove_number (s->preempting.items, &s->preempting.count, i);
}

static void
emit_state (const SchState *s, int32_t i, SchWhy why, SchCmds *out)
{
  SchCmd cmd = { .kind = SCH_CMD_TARGET_STATE, .why = why };
  cmd.target = s->targets.name[i]->name;
  gr_list_push (out, cmd);
}

static void
start_cooldown (SchState *s, int32_t i, int64_t ms)
{
  s->targets.health[i].cooldown_until_ms = s->now_ms + ms;
  if (s->targets.flags[i] & SCH_TARGET_COOLDOWN)
    return;
  sch_target_flag (s, i, SCH_TARGET_COOLDOWN, 0);
  gr_list_push (&s->cooldown, i);
}

void
sch_health_refused_start (SchState *s, int32_t i)
{
  start_cooldown (s, i, REFUSED_COOLDOWN_MS);
}

/* Removes the failures of a job that has failed on another target too. */
static void
remove_evidence (SchHealth *health, uint64_t job)
{
  for (int32_t k = health->records; k-- > 0;) {
    if (health->job_keys[k] != job)
      continue;
    health->records--;
    health->job_keys[k] = health->job_keys[health->records];
    health->weights[k] = health->weights[health->records];
  }
}

static double
evidence_sum (const SchHealth *health)
{
  double sum = 0;
  for (int32_t k = 0; k < health->records; k++)
    sum += health->weights[k];
  return sum;
}

static void
update_fail_rate (SchKind *kind, bool failed)
{
  kind->fail_rate += ((failed ? 1.0 : 0.0) - kind->fail_rate) * FAIL_RATE_STEP;
  if (kind->outcomes < KIND_OUTCOMES_MIN)
    kind->outcomes++;
}

/* Weight of a failure of this job on target i; see EVIDENCE_MIN. */
static double
failure_weight (const SchKind *kind, const SchJobStat *job, int32_t i)
{
  double rate = kind->fail_rate > FAIL_RATE_MIN ? kind->fail_rate : FAIL_RATE_MIN;
  if (kind->outcomes < KIND_OUTCOMES_MIN && rate < NEW_KIND_FAIL_RATE_MIN)
    rate = NEW_KIND_FAIL_RATE_MIN;
  int32_t elsewhere = job->first_target == i ? job->fails_other : job->fails_first;
  double likely
      = (elsewhere + JOB_PRIOR_WEIGHT * rate) / (elsewhere + job->successes + JOB_PRIOR_WEIGHT);
  return -log (likely);
}

static void
record_failure (SchState *s, SchEntry *e, SchCmds *out)
{
  int32_t i = e->target;
  SchHealth *health = &s->targets.health[i];
  SchJobStat *job = job_stat (s, &e->task.job);
  double weight = failure_weight (e->kind, job, i);
  if (health->failures++ < KIND_FAILURES_MAX)
    update_fail_rate (e->kind, true);
  /* A job without successes whose first failure was on this target is already recorded. */
  bool repeated = job->first_target == i && job->successes == 0;
  if (job->first_target < 0)
    job->first_target = i;
  if (job->first_target == i) {
    job->fails_first++;
  } else {
    job->fails_other++;
    remove_evidence (&s->targets.health[job->first_target], job->key);
  }
  job->last_target = i;
  if (s->targets.flags[i] & SCH_TARGET_QUARANTINED) {
    health->backoff_ms
        = health->backoff_ms * 2 < PROBE_MAX_MS ? health->backoff_ms * 2 : PROBE_MAX_MS;
    health->probe_ms = s->now_ms + health->backoff_ms;
    return;
  }
  if (!repeated && health->records < SCH_HEALTH_JOBS) {
    health->job_keys[health->records] = job->key;
    health->weights[health->records] = weight;
    health->records++;
  }
  if (health->records >= FAILURES_MIN && evidence_sum (health) >= EVIDENCE_MIN) {
    health->backoff_ms = PROBE_MIN_MS;
    health->probe_ms = s->now_ms + PROBE_MIN_MS;
    gr_list_push (&s->quarantined, i);
    sch_target_flag (s, i, SCH_TARGET_QUARANTINED, 0);
    emit_state (s, i, SCH_WHY_FAILS_EVERYTHING, out);
    sch_gangs_fail_on (s, i, out);
  } else {
    int64_t ms = COOLDOWN_MS << (health->records < 5 ? health->records : 5);
    start_cooldown (s, i, ms < COOLDOWN_MAX_MS ? ms : COOLDOWN_MAX_MS);
  }
}

void
sch_health_ended (SchState *s, SchEntry *e, SchEnd end, SchCmds *out)
{
  int32_t i = e->target;
  if (i < 0)
    return;
  SchHealth *health = &s->targets.health[i];
  switch (end) {
  case SCH_END_SUCCEEDED:
    health->failures = 0;
    health->records = 0;
    job_stat (s, &e->task.job)->successes++;
    update_fail_rate (e->kind, false);
    if (s->targets.flags[i] & SCH_TARGET_QUARANTINED) {
      remove_number (s->quarantined.items, &s->quarantined.count, i);
      sch_target_flag (s, i, 0, SCH_TARGET_QUARANTINED);
      emit_state (s, i, SCH_WHY_PROBE, out);
    }
    break;
  case SCH_END_FAILED:
    record_failure (s, e, out);
    break;
  case SCH_END_STOPPED:
  case SCH_END_LAPSED:
    break;
  }
}

void
sch_health_tick (SchState *s)
{
  for (size_t k = 0; k < s->cooldown.count;) {
    int32_t i = s->cooldown.items[k];
    if (s->now_ms < s->targets.health[i].cooldown_until_ms) {
      k++;
      continue;
    }
    gr_list_swap_remove (&s->cooldown, k);
    sch_target_flag (s, i, 0, SCH_TARGET_COOLDOWN);
  }
}

int32_t
sch_health_probe (const SchState *s, const SchEntry *e)
{
  if (s->quarantined.count == 0 || e->gang || e->class == SCH_CLASS_URGENT
      || e->task.policy.kind == SCH_POLICY_SERVICE)
    return -1;
  bool batch = e->task.policy.kind == SCH_POLICY_BATCH;
  for (size_t k = 0; k < s->quarantined.count; k++) {
    int32_t i = s->quarantined.items[k];
    const SchHealth *health = &s->targets.health[i];
    if (s->targets.flags[i] == (SCH_TARGET_UP | SCH_TARGET_QUARANTINED) && !health->probe
        && s->now_ms >= health->probe_ms + (batch ? 0 : PROBE_ANY_MS) && e->avoid_target != i
        && gr_res_fits (&e->reserve, &s->targets.free[i]))
      return i;
  }
  return -1;
}
