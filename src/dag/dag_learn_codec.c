/* Encoding of what was learned about targets and run times, in MessagePack.

   Key "l", without an id: [format, [target, speed, deviation, ...], noise, [[kind, weight, x, y,
   xx, xy, estimate error, baseline error, line error, in use, histogram of errors], ...]]. Numbers
   are in thousandths; speeds are logarithms, see LearnSpeed and LearnRuntime. The histogram has a
   byte for each bin, in parts of the highest. Earlier versions skip the record. */
#include <math.h>
#include <stdlib.h>

#include "base/gr_pack.h"
#include "dag/dag_priv.h"

#define FORMAT 1
#define FIELDS 4
#define SPEED_FIELDS 3
#define RUNTIME_FIELDS 11
#define SCALE 1000.0
/* Most targets in the record, which then stays under 150 KB with the longest ids. */
#define TARGETS_MAX 2000
/* Targets with a greater variance are left out: too little is known of them. */
#define VARIANCE_MAX 0.1
/* Largest absolute logarithm of a speed that is accepted. */
#define SPEED_MAX 10.0
/* The record is written at this interval at most, after a change of a speed by about a tenth or of
   the predictions of run times. */
#define RECORD_INTERVAL_MS 5000
#define CLEAR_CHANGE 0.1

static bool
is_known (const DagTarget *target)
{
  return target->listed && target->speed.variance < VARIANCE_MAX;
}

void
dag_learn_check_record (DagState *dag, int64_t now_ms)
{
  if (now_ms < dag->record_at)
    return;
  bool changed = dag->runtimes.changes != dag->runtimes_stored;
  for (size_t i = 0; i < dag->target_list.count && !changed; i++) {
    const DagTarget *target = dag->target_list.items[i];
    changed = is_known (target) && fabs (target->speed.mean - target->stored_speed) > CLEAR_CHANGE;
  }
  if (!changed)
    return;
  dag->record_at = now_ms + RECORD_INTERVAL_MS;
  dag->record_due = true;
}

static void
pack_scaled (msgpack_packer *packer, double value)
{
  msgpack_pack_int64 (packer, (int64_t) round (value * SCALE));
}

static void
pack_speeds (DagState *dag, msgpack_packer *packer)
{
  size_t count = 0;
  for (size_t i = 0; i < dag->target_list.count && count < TARGETS_MAX; i++)
    count += is_known (dag->target_list.items[i]);
  msgpack_pack_array (packer, count * SPEED_FIELDS);
  for (size_t i = 0; count > 0; i++) {
    DagTarget *target = dag->target_list.items[i];
    if (!is_known (target))
      continue;
    gr_pack_name (packer, &target->info.id);
    pack_scaled (packer, target->speed.mean);
    pack_scaled (packer, sqrt (target->speed.variance));
    target->stored_speed = target->speed.mean;
    count--;
  }
}

static void
pack_runtime (msgpack_packer *packer, const LearnRuntime *model)
{
  double highest = 0;
  char bins[LEARN_ERROR_BINS];
  for (int i = 0; i < LEARN_ERROR_BINS; i++)
    highest = fmax (highest, model->errors[i]);
  for (int i = 0; i < LEARN_ERROR_BINS; i++)
    bins[i] = (char) (unsigned char) (highest > 0 ? round (255 * model->errors[i] / highest) : 0);
  msgpack_pack_array (packer, RUNTIME_FIELDS);
  msgpack_pack_uint64 (packer, model->kind);
  pack_scaled (packer, model->weight);
  pack_scaled (packer, model->x);
  pack_scaled (packer, model->y);
  pack_scaled (packer, model->xx);
  pack_scaled (packer, model->xy);
  pack_scaled (packer, model->estimate_error);
  pack_scaled (packer, model->baseline_error);
  pack_scaled (packer, model->line_error);
  gr_pack_bool (packer, model->in_use);
  gr_pack_bin (packer, (GrStr){ bins, sizeof bins });
}

void
dag_learn_pack (DagState *dag, DagRecords *out)
{
  if (!dag->record_due)
    return;
  DagRecord record = { 0 };
  gr_buf_append (&record.key, &(char){ DAG_LEARN_KEY }, 1);
  msgpack_packer packer;
  gr_pack_init (&packer, &record.value);
  msgpack_pack_array (&packer, FIELDS);
  msgpack_pack_int (&packer, FORMAT);
  pack_speeds (dag, &packer);
  pack_scaled (&packer, dag->noise.variance);
  msgpack_pack_array (&packer, dag->runtimes.count);
  for (size_t i = 0; i < dag->runtimes.count; i++)
    pack_runtime (&packer, &dag->runtimes.kinds[i]);
  gr_list_push (out, record);
  dag->record_due = false;
  dag->runtimes_stored = dag->runtimes.changes;
}

static bool
read_scaled (const msgpack_object *object, double *value)
{
  int64_t scaled;
  if (!gr_unpack_int (object, &scaled))
    return false;
  *value = (double) scaled / SCALE;
  return true;
}

static bool
load_speeds (DagState *dag, const msgpack_object *list, int64_t now_ms)
{
  if (list->type != MSGPACK_OBJECT_ARRAY || list->via.array.size % SPEED_FIELDS != 0
      || list->via.array.size > TARGETS_MAX * SPEED_FIELDS)
    return false;
  for (uint32_t i = 0; i < list->via.array.size; i += SPEED_FIELDS) {
    const msgpack_object *f = &list->via.array.ptr[i];
    GrName id;
    double mean, deviation;
    if (!gr_unpack_name (&f[0], &id) || !read_scaled (&f[1], &mean)
        || !read_scaled (&f[2], &deviation) || fabs (mean) > SPEED_MAX || deviation <= 0
        || deviation > 1)
      return false;
    LearnSpeed speed = { .mean = mean, .variance = deviation * deviation, .at_ms = now_ms };
    dag_speed_remember (dag, &id, &speed);
  }
  return true;
}

static bool
load_runtime (DagState *dag, const msgpack_object *object)
{
  if (!gr_unpack_is_array (object, RUNTIME_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  LearnRuntime model = { 0 };
  int64_t kind;
  GrStr bins;
  if (!gr_unpack_int (&f[0], &kind) || !read_scaled (&f[1], &model.weight)
      || !read_scaled (&f[2], &model.x) || !read_scaled (&f[3], &model.y)
      || !read_scaled (&f[4], &model.xx) || !read_scaled (&f[5], &model.xy)
      || !read_scaled (&f[6], &model.estimate_error) || !read_scaled (&f[7], &model.baseline_error)
      || !read_scaled (&f[8], &model.line_error) || !gr_unpack_bool (&f[9], &model.in_use)
      || !gr_unpack_bytes (&f[10], &bins) || bins.len != LEARN_ERROR_BINS)
    return false;
  double total = 0;
  for (int i = 0; i < LEARN_ERROR_BINS; i++)
    total += (unsigned char) bins.data[i];
  for (int i = 0; i < LEARN_ERROR_BINS && total > 0; i++)
    model.errors[i] = model.weight * (unsigned char) bins.data[i] / total;
  model.kind = (uint64_t) kind;
  return learn_runtime_load (&dag->runtimes, &model);
}

bool
dag_learn_load (DagState *dag, GrStr value, int64_t now_ms)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  int64_t format;
  const msgpack_object *f = NULL;
  bool ok = gr_unpack_array (&unpacked, value) && gr_unpack_is_array (&unpacked.data, FIELDS);
  if (ok)
    f = unpacked.data.via.array.ptr;
  ok = ok && gr_unpack_int (&f[0], &format) && format == FORMAT && load_speeds (dag, &f[1], now_ms)
       && read_scaled (&f[2], &dag->noise.variance) && f[3].type == MSGPACK_OBJECT_ARRAY;
  for (uint32_t i = 0; ok && i < f[3].via.array.size; i++)
    ok = load_runtime (dag, &f[3].via.array.ptr[i]);
  learn_noise_check (&dag->noise);
  dag->runtimes_stored = dag->runtimes.changes;
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
