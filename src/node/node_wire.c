#include "node/node_wire.h"

#include <msgpack.h>
#include <stdlib.h>

#include "base/gr_pack.h"

/* Limit of groups in one message. A region of 4,900 workers in racks of 8 has 613 groups. */
#define GROUPS_MAX 4096

static void
pack_name (msgpack_packer *pk, const GrName *name)
{
  gr_pack_bin (pk, gr_name_str (name));
}

static void
pack_res (msgpack_packer *pk, const GrRes *res)
{
  msgpack_pack_array (pk, GR_RES_COUNT);
  for (int d = 0; d < GR_RES_COUNT; d++)
    msgpack_pack_int32 (pk, res->v[d]);
}

#define SPEC_FIELDS 13

static void
pack_spec (msgpack_packer *pk, const JobSpec *spec)
{
  msgpack_pack_array (pk, SPEC_FIELDS);
  pack_name (pk, &spec->id);
  pack_name (pk, &spec->team);
  pack_name (pk, &spec->kind);
  msgpack_pack_int (pk, (int) spec->policy);
  gr_pack_bool (pk, spec->idempotent);
  gr_pack_bool (pk, spec->exclusive);
  gr_pack_bool (pk, spec->urgent);
  msgpack_pack_int32 (pk, spec->tasks);
  msgpack_pack_int32 (pk, spec->priority);
  pack_res (pk, &spec->demand);
  msgpack_pack_int64 (pk, spec->run_ms);
  msgpack_pack_int64 (pk, spec->deadline_unix_ms);
  gr_pack_bin (pk, spec->payload);
}

void
node_wire_encode (const NodeWire *wire, GrBuf *out)
{
  msgpack_packer pk;
  gr_pack_init (&pk, out);
  static const int fields[] = {
    [NODE_WIRE_HEARTBEAT] = 1,    [NODE_WIRE_SUMMARY] = 7,    [NODE_WIRE_CALL] = 8,
    [NODE_WIRE_REPLY] = 6,        [NODE_WIRE_PLACE] = 6,      [NODE_WIRE_PLACE_RESULT] = 4,
    [NODE_WIRE_REPORT] = 4,       [NODE_WIRE_REPORT_ACK] = 2, [NODE_WIRE_CANCEL] = 1,
    [NODE_WIRE_GANG] = 2,         [NODE_WIRE_SYNC] = 5,       [NODE_WIRE_SYNC_DONE] = 4,
    [NODE_WIRE_CONFIG_OFFER] = 3, [NODE_WIRE_LEAVE] = 0,      [NODE_WIRE_LOG_HINT] = 0,
  };
  msgpack_pack_array (&pk, (size_t) fields[wire->kind] + 1);
  msgpack_pack_int (&pk, (int) wire->kind);
  switch (wire->kind) {
  case NODE_WIRE_HEARTBEAT:
    gr_pack_bin (&pk, wire->heartbeat);
    break;
  case NODE_WIRE_SUMMARY:
    pack_res (&pk, &wire->summary.load.free);
    pack_res (&pk, &wire->summary.load.largest_hole);
    msgpack_pack_int64 (&pk, wire->summary.load.queued);
    msgpack_pack_int64 (&pk, wire->summary.load.running);
    msgpack_pack_int64 (&pk, wire->summary.load.short_wait_ms);
    msgpack_pack_int64 (&pk, wire->summary.groups);
    pack_name (&pk, &wire->summary.region);
    break;
  case NODE_WIRE_CALL: {
    const NodeCallBody *body = &wire->call.body;
    bool with_spec = body->verb == NODE_VERB_REQUEST || body->verb == NODE_VERB_JOB;
    msgpack_pack_int64 (&pk, wire->call.id);
    msgpack_pack_int (&pk, (int) body->verb);
    pack_name (&pk, &body->id);
    pack_name (&pk, &body->region);
    if (with_spec)
      pack_spec (&pk, &body->spec);
    else
      msgpack_pack_nil (&pk);
    msgpack_pack_int64 (&pk, body->wait_until_unix_ms);
    msgpack_pack_int64 (&pk, body->deadline_unix_ms);
    msgpack_pack_int32 (&pk, body->hops);
    break;
  }
  case NODE_WIRE_REPLY:
    msgpack_pack_int64 (&pk, wire->reply.id);
    msgpack_pack_int (&pk, (int) wire->reply.body.status);
    msgpack_pack_int (&pk, (int) wire->reply.body.phase);
    msgpack_pack_int (&pk, (int) wire->reply.body.outcome);
    msgpack_pack_int (&pk, (int) wire->reply.body.why);
    gr_pack_bin (&pk, wire->reply.body.text);
    break;
  case NODE_WIRE_PLACE:
    pack_name (&pk, &wire->place.id);
    msgpack_pack_int32 (&pk, wire->place.attempt);
    pack_spec (&pk, &wire->place.spec);
    pack_name (&pk, &wire->place.part);
    msgpack_pack_int64 (&pk, wire->place.epoch);
    msgpack_pack_int64 (&pk, wire->place.place_by_unix_ms);
    break;
  case NODE_WIRE_PLACE_RESULT:
    pack_name (&pk, &wire->place_result.id);
    msgpack_pack_int32 (&pk, wire->place_result.attempt);
    msgpack_pack_int (&pk, (int) wire->place_result.result);
    msgpack_pack_int (&pk, (int) wire->place_result.why);
    break;
  case NODE_WIRE_REPORT:
    pack_name (&pk, &wire->report.id);
    msgpack_pack_int32 (&pk, wire->report.attempt);
    msgpack_pack_int (&pk, (int) wire->report.state);
    gr_pack_bin (&pk, wire->report.answer);
    break;
  case NODE_WIRE_REPORT_ACK:
    pack_name (&pk, &wire->report_ack.id);
    msgpack_pack_int32 (&pk, wire->report_ack.attempt);
    break;
  case NODE_WIRE_CANCEL:
    pack_name (&pk, &wire->cancel.id);
    break;
  case NODE_WIRE_GANG:
    pack_name (&pk, &wire->gang.job);
    gr_pack_bool (&pk, wire->gang.commit);
    break;
  case NODE_WIRE_SYNC:
    msgpack_pack_int64 (&pk, wire->sync.sync);
    pack_name (&pk, &wire->sync.part);
    msgpack_pack_int64 (&pk, wire->sync.epoch);
    pack_name (&pk, &wire->sync.id);
    msgpack_pack_int32 (&pk, wire->sync.attempt);
    break;
  case NODE_WIRE_SYNC_DONE:
    msgpack_pack_int64 (&pk, wire->sync_done.sync);
    pack_name (&pk, &wire->sync_done.part);
    gr_pack_bool (&pk, wire->sync_done.present);
    msgpack_pack_array (&pk, wire->sync_done.count * 2);
    for (size_t i = 0; i < wire->sync_done.count; i++) {
      pack_name (&pk, &wire->sync_done.groups[i].key);
      msgpack_pack_int64 (&pk, wire->sync_done.groups[i].epoch);
    }
    break;
  case NODE_WIRE_CONFIG_OFFER:
    msgpack_pack_int64 (&pk, wire->config.version);
    gr_pack_bool (&pk, wire->config.want);
    gr_pack_bin (&pk, wire->config.record);
    break;
  case NODE_WIRE_LEAVE:
  case NODE_WIRE_LOG_HINT:
    break;
  }
}

/* Reads the fields of one array in order. After the first error, which is kept, all further reads
   fail and return an empty value or the minimum. */
typedef struct {
  const msgpack_object *items;
  size_t count;
  size_t next;
  bool ok;
  GrErr *err;
} FieldReader;

static const msgpack_object *
next_field (FieldReader *f, const char *field)
{
  if (!f->ok)
    return NULL;
  if (f->next >= f->count) {
    f->ok = gr_err_set (f->err, GR_ERR_PROTOCOL, field, "field missing");
    return NULL;
  }
  return &f->items[f->next++];
}

static void
reject_field (FieldReader *f, const char *field)
{
  f->ok = gr_err_set (f->err, GR_ERR_PROTOCOL, field, "wrong type or out of range");
}

static int64_t
read_int (FieldReader *f, const char *field, int64_t min, int64_t max)
{
  const msgpack_object *o = next_field (f, field);
  if (!o)
    return min;
  int64_t value = 0;
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    value = o->via.i64;
  else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    value = (int64_t) o->via.u64;
  else {
    reject_field (f, field);
    return min;
  }
  if (value < min || value > max) {
    reject_field (f, field);
    return min;
  }
  return value;
}

static bool
read_bool (FieldReader *f, const char *field)
{
  const msgpack_object *o = next_field (f, field);
  if (o && o->type != MSGPACK_OBJECT_BOOLEAN)
    reject_field (f, field);
  return f->ok && o && o->via.boolean;
}

static GrStr
read_str (FieldReader *f, const char *field)
{
  const msgpack_object *o = next_field (f, field);
  if (o && o->type == MSGPACK_OBJECT_BIN)
    return (GrStr){ o->via.bin.ptr, o->via.bin.size };
  if (o)
    reject_field (f, field);
  return (GrStr){ NULL, 0 };
}

static GrName
read_name (FieldReader *f, const char *field)
{
  GrName name = { 0 };
  GrStr s = read_str (f, field);
  if (f->ok && !gr_name_set (&name, s))
    reject_field (f, field);
  return name;
}

static FieldReader
read_array (FieldReader *f, const char *field)
{
  const msgpack_object *o = next_field (f, field);
  if (o && o->type != MSGPACK_OBJECT_ARRAY)
    reject_field (f, field);
  if (!f->ok || !o)
    return (FieldReader){ .ok = false, .err = NULL };
  return (FieldReader){
    .items = o->via.array.ptr, .count = o->via.array.size, .ok = true, .err = f->err
  };
}

static GrRes
read_res (FieldReader *f, const char *field)
{
  GrRes res = { 0 };
  FieldReader inner = read_array (f, field);
  for (int d = 0; d < GR_RES_COUNT; d++)
    res.v[d] = (int32_t) read_int (&inner, field, INT32_MIN, INT32_MAX);
  f->ok = f->ok && inner.ok;
  return res;
}

static JobSpec
read_spec (FieldReader *f, const char *field)
{
  JobSpec spec = { 0 };
  FieldReader s = read_array (f, field);
  spec.id = read_name (&s, "id");
  spec.team = read_name (&s, "team");
  spec.kind = read_name (&s, "kind");
  spec.policy = (JobPolicy) read_int (&s, "policy", 0, JOB_POLICY_GANG);
  spec.idempotent = read_bool (&s, "idempotent");
  spec.exclusive = read_bool (&s, "exclusive");
  spec.urgent = read_bool (&s, "urgent");
  spec.tasks = (int32_t) read_int (&s, "tasks", 1, INT32_MAX);
  spec.priority = (int32_t) read_int (&s, "priority", 0, INT32_MAX);
  spec.demand = read_res (&s, "demand");
  spec.run_ms = read_int (&s, "run_ms", 0, INT64_MAX);
  spec.deadline_unix_ms = read_int (&s, "deadline_ms", 0, INT64_MAX);
  spec.payload = read_str (&s, "payload");
  f->ok = f->ok && s.ok;
  return spec;
}

static void
decode_call (FieldReader *f, NodeWire *wire)
{
  NodeCallBody *body = &wire->call.body;
  wire->call.id = read_int (f, "call", 0, INT64_MAX);
  body->verb = (NodeVerb) read_int (f, "verb", 0, NODE_VERB_COUNT - 1);
  body->id = read_name (f, "id");
  body->region = read_name (f, "region");
  if (body->verb == NODE_VERB_REQUEST || body->verb == NODE_VERB_JOB)
    body->spec = read_spec (f, "spec");
  else
    next_field (f, "spec");
  body->wait_until_unix_ms = read_int (f, "wait_until", 0, INT64_MAX);
  body->deadline_unix_ms = read_int (f, "deadline", 0, INT64_MAX);
  body->hops = (int32_t) read_int (f, "hops", 0, 100);
}

static void
decode_sync_done (FieldReader *f, NodeWire *wire)
{
  wire->sync_done.sync = read_int (f, "sync", 0, INT64_MAX);
  wire->sync_done.part = read_name (f, "part");
  wire->sync_done.present = read_bool (f, "present");
  FieldReader inner = read_array (f, "groups");
  if (!f->ok)
    return;
  if (inner.count % 2 != 0 || inner.count / 2 > GROUPS_MAX) {
    reject_field (f, "groups");
    return;
  }
  NodeWireGroup *groups = gr_calloc (inner.count / 2 + 1, sizeof *groups);
  for (size_t i = 0; i < inner.count / 2; i++) {
    groups[i].key = read_name (&inner, "group");
    groups[i].epoch = read_int (&inner, "epoch", 0, INT64_MAX);
  }
  wire->sync_done.groups = groups;
  wire->sync_done.count = inner.count / 2;
  f->ok = inner.ok;
}

static void
decode_fields (FieldReader *f, NodeWire *wire)
{
  switch (wire->kind) {
  case NODE_WIRE_HEARTBEAT:
    wire->heartbeat = read_str (f, "heartbeat");
    break;
  case NODE_WIRE_SUMMARY:
    wire->summary.load.free = read_res (f, "free");
    wire->summary.load.largest_hole = read_res (f, "largest_hole");
    wire->summary.load.queued = read_int (f, "queued", 0, INT64_MAX);
    wire->summary.load.running = read_int (f, "running", 0, INT64_MAX);
    wire->summary.load.short_wait_ms = read_int (f, "short_wait_ms", 0, INT64_MAX);
    wire->summary.groups = read_int (f, "groups", 0, INT64_MAX);
    wire->summary.region = read_name (f, "region");
    break;
  case NODE_WIRE_CALL:
    decode_call (f, wire);
    break;
  case NODE_WIRE_REPLY:
    wire->reply.id = read_int (f, "call", 0, INT64_MAX);
    wire->reply.body.status = (NodeReplyStatus) read_int (f, "status", 0, NODE_REPLY_COUNT - 1);
    wire->reply.body.phase = (JobPhase) read_int (f, "phase", 0, JOB_ENDED);
    wire->reply.body.outcome = (JobOutcome) read_int (f, "outcome", 0, JOB_OUTCOME_UNKNOWN);
    wire->reply.body.why = (GrErrCode) read_int (f, "why", 0, GR_ERR_COUNT - 1);
    wire->reply.body.text = read_str (f, "text");
    break;
  case NODE_WIRE_PLACE:
    wire->place.id = read_name (f, "task");
    wire->place.attempt = (int32_t) read_int (f, "attempt", 0, INT32_MAX);
    wire->place.spec = read_spec (f, "spec");
    wire->place.part = read_name (f, "part");
    wire->place.epoch = read_int (f, "epoch", 0, INT64_MAX);
    wire->place.place_by_unix_ms = read_int (f, "place_by", 0, INT64_MAX);
    break;
  case NODE_WIRE_PLACE_RESULT:
    wire->place_result.id = read_name (f, "task");
    wire->place_result.attempt = (int32_t) read_int (f, "attempt", 0, INT32_MAX);
    wire->place_result.result = (JobPlaceResult) read_int (f, "result", 0, JOB_PLACE_UNKNOWN);
    wire->place_result.why = (GrErrCode) read_int (f, "why", 0, GR_ERR_COUNT - 1);
    break;
  case NODE_WIRE_REPORT:
    wire->report.id = read_name (f, "task");
    wire->report.attempt = (int32_t) read_int (f, "attempt", 0, INT32_MAX);
    wire->report.state = (JobTaskState) read_int (f, "state", 0, JOB_TASK_LAPSED);
    wire->report.answer = read_str (f, "answer");
    break;
  case NODE_WIRE_REPORT_ACK:
    wire->report_ack.id = read_name (f, "task");
    wire->report_ack.attempt = (int32_t) read_int (f, "attempt", 0, INT32_MAX);
    break;
  case NODE_WIRE_CANCEL:
    wire->cancel.id = read_name (f, "task");
    break;
  case NODE_WIRE_GANG:
    wire->gang.job = read_name (f, "job");
    wire->gang.commit = read_bool (f, "commit");
    break;
  case NODE_WIRE_SYNC:
    wire->sync.sync = read_int (f, "sync", 0, INT64_MAX);
    wire->sync.part = read_name (f, "part");
    wire->sync.epoch = read_int (f, "epoch", 0, INT64_MAX);
    wire->sync.id = read_name (f, "task");
    wire->sync.attempt = (int32_t) read_int (f, "attempt", 0, INT32_MAX);
    break;
  case NODE_WIRE_SYNC_DONE:
    decode_sync_done (f, wire);
    break;
  case NODE_WIRE_CONFIG_OFFER:
    wire->config.version = read_int (f, "version", 0, INT64_MAX);
    wire->config.want = read_bool (f, "want");
    wire->config.record = read_str (f, "record");
    break;
  case NODE_WIRE_LEAVE:
  case NODE_WIRE_LOG_HINT:
    break;
  }
}

bool
node_wire_decode (GrStr body, NodeWire *wire, GrErr *err)
{
  memset (wire, 0, sizeof *wire);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = false;
  if (!gr_unpack_array (&unpacked, body)) {
    gr_err_set (err, GR_ERR_PROTOCOL, "frame", "not one msgpack array");
    goto done;
  }
  FieldReader f = { .items = unpacked.data.via.array.ptr,
                    .count = unpacked.data.via.array.size,
                    .ok = true,
                    .err = err };
  wire->kind = (NodeWireKind) read_int (&f, "type", NODE_WIRE_HEARTBEAT, NODE_WIRE_LOG_HINT);
  if (f.ok)
    decode_fields (&f, wire);
  if (f.ok && f.next != f.count)
    f.ok = gr_err_set (err, GR_ERR_PROTOCOL, "frame", "%zu fields too many", f.count - f.next);
  ok = f.ok;
  if (!ok)
    node_wire_clear (wire);
done:
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

void
node_wire_clear (NodeWire *wire)
{
  if (wire->kind == NODE_WIRE_SYNC_DONE) {
    free ((void *) wire->sync_done.groups);
    wire->sync_done.groups = NULL;
    wire->sync_done.count = 0;
  }
}
