/* Estimates of run time and size, learned per team and kind. */
#include "sch/sch_priv.h"

/* Fewer samples than this say little about a quantile; the declared time is used instead. */
#define SAMPLES_MIN 8
/* Counts are halved at this total, so that estimates follow a change of the work. */
#define SAMPLES_MAX 512

SchKind *
sch_kind_get (SchState *s, const SchTask *task)
{
  uint64_t key = gr_name_hash (&task->kind, gr_name_hash (&task->team, 0));
  SchKind *kind;
  HASH_FIND (hh, s->kinds, &key, sizeof key, kind);
  if (!kind) {
    kind = gr_calloc (1, sizeof *kind);
    kind->key = key;
    HASH_ADD (hh, s->kinds, key, sizeof kind->key, kind);
  }
  return kind;
}

/* Upper bound of a bucket: quarter octaves by a linear step within the octave. */
static int64_t
bucket_ms (int bucket)
{
  return ((int64_t) (5 + bucket % 4) << (bucket / 4)) / 4;
}

static int
bucket_of (int64_t run_ms)
{
  int bucket = 0;
  while (bucket < SCH_RUN_BUCKETS - 1 && bucket_ms (bucket) < run_ms)
    bucket++;
  return bucket;
}

static int64_t
quantile_ms (const SchKind *kind, int32_t percent)
{
  int64_t want = ((int64_t) kind->run_count * percent + 99) / 100;
  int64_t sum = 0;
  int bucket = 0;
  for (; bucket < SCH_RUN_BUCKETS - 1; bucket++) {
    sum += kind->runs[bucket];
    if (sum >= want)
      break;
  }
  return bucket_ms (bucket);
}

void
sch_kind_ran (SchKind *kind, int64_t run_ms)
{
  kind->runs[bucket_of (run_ms)]++;
  kind->run_count++;
  if (kind->run_count >= SAMPLES_MAX) {
    kind->run_count = 0;
    for (int b = 0; b < SCH_RUN_BUCKETS; b++) {
      kind->runs[b] /= 2;
      kind->run_count += kind->runs[b];
    }
  }
  kind->run_p50_ms = quantile_ms (kind, 50);
  kind->run_p90_ms = quantile_ms (kind, 90);
}

int64_t
sch_kind_run_ms (const SchKind *kind, const SchTask *task)
{
  return kind->run_count >= SAMPLES_MIN ? kind->run_p50_ms : task->declared_run_ms;
}

void
sch_classify (const SchState *s, SchEntry *e)
{
  const SchTask *task = &e->task;
  int64_t high = e->kind->run_count >= SAMPLES_MIN ? e->kind->run_p90_ms : task->declared_run_ms;
  bool is_long = high <= 0 || high >= s->options.long_after_ms;
  e->run_ms = sch_kind_run_ms (e->kind, task);
  e->is_long = false;
  e->bulk = false;
  switch (task->policy.kind) {
  case SCH_POLICY_REQUEST:
    e->is_long = is_long;
    e->bulk = is_long && !task->urgent;
    e->class = is_long ? SCH_CLASS_LONG : SCH_CLASS_SHORT;
    break;
  case SCH_POLICY_SERVICE:
    e->class = SCH_CLASS_SERVICE;
    break;
  case SCH_POLICY_BATCH:
    e->is_long = is_long;
    e->bulk = !task->urgent;
    e->class = SCH_CLASS_BATCH;
    break;
  case SCH_POLICY_GANG:
    e->class = SCH_CLASS_GANG;
    break;
  }
  if (task->urgent || (task->policy.kind == SCH_POLICY_REQUEST && task->policy.request.urgent))
    e->class = task->policy.kind == SCH_POLICY_GANG ? SCH_CLASS_GANG : SCH_CLASS_URGENT;
}
