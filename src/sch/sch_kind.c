/* Estimates of run time and size, measured per team and kind. */
#include "sch/sch_priv.h"

/* With fewer samples a quantile is unreliable; the declared run time is used instead. */
#define SAMPLES_MIN 8
/* All counts are halved when their sum reaches this, so that estimates follow changing work. */
#define SAMPLES_MAX 512
/* With more than 4 * SAMPLES_MIN samples, quantiles are recomputed only every this many runs. */
#define QUANTILE_EVERY 8
/* The peak use decays by a sixteenth after this many usage reports, so that an outlier does not
   inflate reservations for good. */
#define PEAK_DECAY_EVERY 64
/* Kinds that are kept. Beyond this, the least recently used kind is removed unless it has tasks. */
#define KINDS_MAX 8192

SchKind *
sch_kind_get (SchState *s, const SchTask *task)
{
  uint64_t key = gr_name_hash (&task->kind, gr_name_hash (&task->team, 0));
  SchKind *kind;
  HASH_FIND (hh, s->kinds, &key, sizeof key, kind);
  if (kind) {
    DL_DELETE (s->kind_order, kind);
  } else {
    SchKind *oldest = s->kind_order;
    if (HASH_COUNT (s->kinds) >= KINDS_MAX && oldest->refs == 0) {
      DL_DELETE (s->kind_order, oldest);
      HASH_DEL (s->kinds, oldest);
      free (oldest);
    }
    kind = gr_calloc (1, sizeof *kind);
    kind->key = key;
    HASH_ADD (hh, s->kinds, key, sizeof kind->key, kind);
  }
  DL_APPEND (s->kind_order, kind);
  kind->refs++;
  return kind;
}

void
sch_kind_release (SchKind *kind)
{
  kind->refs--;
}

/* Upper bound of a bucket: four buckets per power of two, in equal steps. */
static int64_t
bucket_ms (int bucket)
{
  return ((int64_t) (5 + bucket % 4) << (bucket / 4)) / 4;
}

static int
bucket_of (int64_t run_ms)
{
  int low = 0;
  int high = SCH_RUN_BUCKETS - 1;
  while (low < high) {
    int middle = (low + high) / 2;
    if (bucket_ms (middle) < run_ms)
      low = middle + 1;
    else
      high = middle;
  }
  return low;
}

static int64_t
quantile_ms (const SchKind *kind, int32_t percent)
{
  int64_t rank = ((int64_t) kind->run_count * percent + 99) / 100;
  int64_t sum = 0;
  int bucket = 0;
  for (; bucket < SCH_RUN_BUCKETS - 1; bucket++) {
    sum += kind->runs[bucket];
    if (sum >= rank)
      break;
  }
  return bucket_ms (bucket);
}

void
sch_kind_add_run (SchKind *kind, int64_t run_ms)
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
  if (kind->run_count > 4 * SAMPLES_MIN && kind->run_count % QUANTILE_EVERY != 0)
    return;
  kind->run_p50_ms = quantile_ms (kind, 50);
  kind->run_p90_ms = quantile_ms (kind, 90);
}

void
sch_kind_add_usage (SchKind *kind, const GrRes *used)
{
  bool decay = ++kind->usage_reports % PEAK_DECAY_EVERY == 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (decay)
      kind->peak_used.v[d] -= kind->peak_used.v[d] / 16;
    if (used->v[d] > kind->peak_used.v[d])
      kind->peak_used.v[d] = used->v[d];
  }
}

void
sch_classify (const SchState *s, SchEntry *e)
{
  const SchTask *task = &e->task;
  bool learned = e->kind->run_count >= SAMPLES_MIN;
  e->run_ms = learned ? e->kind->run_p50_ms : task->declared_run_ms;
  e->run_p90_ms = learned ? e->kind->run_p90_ms : task->declared_run_ms;
  bool is_long = e->run_p90_ms <= 0 || e->run_p90_ms >= s->options.long_after_ms;
  bool urgent = task->urgent;
  e->is_long = false;
  e->bulk = false;
  switch (task->policy.kind) {
  case SCH_POLICY_REQUEST:
    urgent = urgent || task->policy.request.urgent;
    e->is_long = is_long;
    e->bulk = is_long && !urgent;
    e->class = urgent ? SCH_CLASS_URGENT : is_long ? SCH_CLASS_LONG : SCH_CLASS_SHORT;
    break;
  case SCH_POLICY_SERVICE:
    e->class = urgent ? SCH_CLASS_URGENT : SCH_CLASS_SERVICE;
    break;
  case SCH_POLICY_BATCH:
    e->is_long = is_long;
    e->bulk = !urgent;
    e->class = urgent ? SCH_CLASS_URGENT : SCH_CLASS_BATCH;
    break;
  case SCH_POLICY_GANG:
    e->class = SCH_CLASS_GANG;
    break;
  }
  e->work_ms = 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int32_t total = s->targets.usable_total.v[d];
    double part = total > 0 ? (double) e->reserve.v[d] / total : 0;
    if (part * (double) e->run_ms > e->work_ms)
      e->work_ms = part * (double) e->run_ms;
  }
}
