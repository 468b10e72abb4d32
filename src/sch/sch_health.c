/* Target health: a target that fails everything gets no work until a probe succeeds.

   A failure counts against a target by how unlikely it is for that job and kind elsewhere, so a
   bad job condemns no good target. */
#include <math.h>

#include "sch/sch_priv.h"

/* A target is quarantined when chance explains its failures with less than 1 in 10,000 ... */
#define EVIDENCE_MIN 9.2
/* ... and at least this many of them count. */
#define RECORDS_MIN 3
/* No kind is taken to fail less often; one of few outcomes not less often than NEW_FAIL_RATE. */
#define FAIL_RATE_MIN 0.05
#define NEW_FAIL_RATE 0.2
#define NEW_OUTCOMES 8
/* Large, so that a wave of bad jobs is noticed before it condemns a target; between two failures
   of a bad target the kind succeeds elsewhere and its rate falls again. */
#define FAIL_RATE_STEP 0.2
/* Weight of the rate of the kind against the outcomes of one job. */
#define JOB_PRIOR 4.0
/* Only the first failures in a row on a target count for the kind, as a target that fails all its
   tasks at once would otherwise make every kind look bad. */
#define KIND_FAILURES_MAX 3
/* A target with some failures gets the next task after a pause, to see the outcome of the first
   ones before more are lost. */
#define COOL_MS 100
#define COOL_MAX_MS 2000
/* Pause after a start was refused by the target: its state and ours differ. */
#define REFUSED_MS 200
#define PROBE_MIN_MS 1000
#define PROBE_MAX_MS 60000
/* Batch work probes first; other work only if there was none for this long. */
#define PROBE_ANY_MS 10000
#define JOBS_MAX 8192

static SchJobStat *
job_stat (SchState *s, const GrName *job)
{
  uint64_t key = gr_name_hash (job, 0);
  SchJobStat *stat;
  HASH_FIND (hh, s->job_stats, &key, sizeof key, stat);
  if (stat)
    return stat;
  if (HASH_COUNT (s->job_stats) >= JOBS_MAX) {
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
sch_health_avoid (const SchState *s, const GrName *job)
{
  uint64_t key = gr_name_hash (job, 0);
  SchJobStat *stat;
  HASH_FIND (hh, s->job_stats, &key, sizeof key, stat);
  return stat ? stat->last_target : -1;
}

void
sch_health_clear (SchState *s)
{
  SchJobStat *stat = s->job_stats;
  HASH_CLEAR (hh, s->job_stats);
  for (SchJobStat *next; stat; stat = next) {
    next = stat->hh.next;
    free (stat);
  }
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
sch_health_removed (SchState *s, int32_t i)
{
  remove_number (s->cooling.items, &s->cooling.count, i);
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
cool (SchState *s, int32_t i, int64_t ms)
{
  s->targets.health[i].cool_until_ms = s->now_ms + ms;
  if (s->targets.flags[i] & SCH_TARGET_COOLS)
    return;
  sch_target_flag (s, i, SCH_TARGET_COOLS, 0);
  gr_list_push (&s->cooling, i);
}

void
sch_health_refused_start (SchState *s, int32_t i)
{
  cool (s, i, REFUSED_MS);
}

static void
forget_evidence (SchHealth *health, uint64_t job)
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
evidence (const SchHealth *health)
{
  double sum = 0;
  for (int32_t k = 0; k < health->records; k++)
    sum += health->weights[k];
  return sum;
}

static void
count_for_kind (SchKind *kind, bool failed)
{
  kind->fail_rate += ((failed ? 1.0 : 0.0) - kind->fail_rate) * FAIL_RATE_STEP;
  if (kind->outcomes < NEW_OUTCOMES)
    kind->outcomes++;
}

static double
weight_of (const SchKind *kind, const SchJobStat *job, int32_t i)
{
  double rate = kind->fail_rate > FAIL_RATE_MIN ? kind->fail_rate : FAIL_RATE_MIN;
  if (kind->outcomes < NEW_OUTCOMES && rate < NEW_FAIL_RATE)
    rate = NEW_FAIL_RATE;
  int32_t elsewhere = job->first_target == i ? job->fails_other : job->fails_first;
  double likely = (elsewhere + JOB_PRIOR * rate) / (elsewhere + job->successes + JOB_PRIOR);
  return -log (likely);
}

static void
failed (SchState *s, SchEntry *e, SchCmds *out)
{
  int32_t i = e->target;
  SchHealth *health = &s->targets.health[i];
  SchJobStat *job = job_stat (s, &e->task.job);
  double weight = weight_of (e->kind, job, i);
  if (health->failures++ < KIND_FAILURES_MAX)
    count_for_kind (e->kind, true);
  bool again = job->first_target == i && job->successes == 0;
  if (job->first_target < 0)
    job->first_target = i;
  if (job->first_target == i) {
    job->fails_first++;
  } else {
    job->fails_other++;
    forget_evidence (&s->targets.health[job->first_target], job->key);
  }
  job->last_target = i;
  if (s->targets.flags[i] & SCH_TARGET_QUARANTINED) {
    health->backoff_ms
        = health->backoff_ms * 2 < PROBE_MAX_MS ? health->backoff_ms * 2 : PROBE_MAX_MS;
    health->probe_ms = s->now_ms + health->backoff_ms;
    return;
  }
  if (!again && health->records < SCH_HEALTH_JOBS) {
    health->job_keys[health->records] = job->key;
    health->weights[health->records] = weight;
    health->records++;
  }
  if (health->records >= RECORDS_MIN && evidence (health) >= EVIDENCE_MIN) {
    health->backoff_ms = PROBE_MIN_MS;
    health->probe_ms = s->now_ms + PROBE_MIN_MS;
    gr_list_push (&s->quarantined, i);
    sch_target_flag (s, i, SCH_TARGET_QUARANTINED, 0);
    emit_state (s, i, SCH_WHY_FAILS_EVERYTHING, out);
    sch_gangs_fail_on (s, i, out);
  } else {
    int64_t ms = COOL_MS << (health->records < 5 ? health->records : 5);
    cool (s, i, ms < COOL_MAX_MS ? ms : COOL_MAX_MS);
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
    count_for_kind (e->kind, false);
    if (s->targets.flags[i] & SCH_TARGET_QUARANTINED) {
      remove_number (s->quarantined.items, &s->quarantined.count, i);
      sch_target_flag (s, i, 0, SCH_TARGET_QUARANTINED);
      emit_state (s, i, SCH_WHY_PROBE, out);
    }
    break;
  case SCH_END_FAILED:
    failed (s, e, out);
    break;
  case SCH_END_STOPPED:
  case SCH_END_LAPSED:
    break;
  }
}

void
sch_health_tick (SchState *s)
{
  for (size_t k = 0; k < s->cooling.count;) {
    int32_t i = s->cooling.items[k];
    if (s->now_ms < s->targets.health[i].cool_until_ms) {
      k++;
      continue;
    }
    gr_list_swap_remove (&s->cooling, k);
    sch_target_flag (s, i, 0, SCH_TARGET_COOLS);
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
