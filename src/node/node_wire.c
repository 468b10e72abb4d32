#include "node/node_wire.h"

#include <msgpack.h>
#include <stdlib.h>

#include "base/gr_pack.h"

/* Groups of a region: 4,900 workers in racks of 8 make 613. */
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
    [NODE_WIRE_CONFIG_OFFER] = 3, [NODE_WIRE_FAREWELL] = 0,   [NODE_WIRE_LOG_HINT] = 0,
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
  case NODE_WIRE_FAREWELL:
  case NODE_WIRE_LOG_HINT:
    break;
  }
}

/* Takes the fields of one array in order; the first mismatch is kept and makes the rest fail. */
typedef struct {
  const msgpack_object *items;
  size_t count;
  size_t next;
  bool ok;
  GrErr *err;
} Fields;

static const msgpack_object *
take (Fields *f, const char *field)
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
wrong (Fields *f, const char *field)
{
  f->ok = gr_err_set (f->err, GR_ERR_PROTOCOL, field, "wrong type or out of range");
}

static int64_t
take_int (Fields *f, const char *field, int64_t min, int64_t max)
{
  const msgpack_object *o = take (f, field);
  if (!o)
    return min;
  int64_t value = 0;
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    value = o->via.i64;
  else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    value = (int64_t) o->via.u64;
  else {
    wrong (f, field);
    return min;
  }
  if (value < min || value > max) {
    wrong (f, field);
    return min;
  }
  return value;
}

static bool
take_bool (Fields *f, const char *field)
{
  const msgpack_object *o = take (f, field);
  if (o && o->type != MSGPACK_OBJECT_BOOLEAN)
    wrong (f, field);
  return f->ok && o && o->via.boolean;
}

static GrStr
take_str (Fields *f, const char *field)
{
  const msgpack_object *o = take (f, field);
  if (o && o->type == MSGPACK_OBJECT_BIN)
    return (GrStr){ o->via.bin.ptr, o->via.bin.size };
  if (o)
    wrong (f, field);
  return (GrStr){ NULL, 0 };
}

static GrName
take_name (Fields *f, const char *field)
{
  GrName name = { 0 };
  GrStr s = take_str (f, field);
  if (f->ok && !gr_name_set (&name, s))
    wrong (f, field);
  return name;
}

static Fields
take_array (Fields *f, const char *field)
{
  const msgpack_object *o = take (f, field);
  if (o && o->type != MSGPACK_OBJECT_ARRAY)
    wrong (f, field);
  if (!f->ok || !o)
    return (Fields){ .ok = false, .err = NULL };
  return (
      Fields){ .items = o->via.array.ptr, .count = o->via.array.size, .ok = true, .err = f->err };
}

static GrRes
take_res (Fields *f, const char *field)
{
  GrRes res = { 0 };
  Fields inner = take_array (f, field);
  for (int d = 0; d < GR_RES_COUNT; d++)
    res.v[d] = (int32_t) take_int (&inner, field, INT32_MIN, INT32_MAX);
  f->ok = f->ok && inner.ok;
  return res;
}

static JobSpec
take_spec (Fields *f, const char *field)
{
  JobSpec spec = { 0 };
  Fields s = take_array (f, field);
  spec.id = take_name (&s, "id");
  spec.team = take_name (&s, "team");
  spec.kind = take_name (&s, "kind");
  spec.policy = (JobPolicy) take_int (&s, "policy", 0, JOB_POLICY_GANG);
  spec.idempotent = take_bool (&s, "idempotent");
  spec.exclusive = take_bool (&s, "exclusive");
  spec.urgent = take_bool (&s, "urgent");
  spec.tasks = (int32_t) take_int (&s, "tasks", 1, INT32_MAX);
  spec.priority = (int32_t) take_int (&s, "priority", 0, INT32_MAX);
  spec.demand = take_res (&s, "demand");
  spec.run_ms = take_int (&s, "run_ms", 0, INT64_MAX);
  spec.deadline_unix_ms = take_int (&s, "deadline_ms", 0, INT64_MAX);
  spec.payload = take_str (&s, "payload");
  f->ok = f->ok && s.ok;
  return spec;
}

static void
decode_call (Fields *f, NodeWire *wire)
{
  NodeCallBody *body = &wire->call.body;
  wire->call.id = take_int (f, "call", 0, INT64_MAX);
  body->verb = (NodeVerb) take_int (f, "verb", 0, NODE_VERB_COUNT - 1);
  body->id = take_name (f, "id");
  body->region = take_name (f, "region");
  if (body->verb == NODE_VERB_REQUEST || body->verb == NODE_VERB_JOB)
    body->spec = take_spec (f, "spec");
  else
    take (f, "spec");
  body->wait_until_unix_ms = take_int (f, "wait_until", 0, INT64_MAX);
  body->deadline_unix_ms = take_int (f, "deadline", 0, INT64_MAX);
  body->hops = (int32_t) take_int (f, "hops", 0, 100);
}

static void
decode_sync_done (Fields *f, NodeWire *wire)
{
  wire->sync_done.sync = take_int (f, "sync", 0, INT64_MAX);
  wire->sync_done.part = take_name (f, "part");
  wire->sync_done.present = take_bool (f, "present");
  Fields inner = take_array (f, "groups");
  if (!f->ok)
    return;
  if (inner.count % 2 != 0 || inner.count / 2 > GROUPS_MAX) {
    wrong (f, "groups");
    return;
  }
  NodeWireGroup *groups = gr_calloc (inner.count / 2 + 1, sizeof *groups);
  for (size_t i = 0; i < inner.count / 2; i++) {
    groups[i].key = take_name (&inner, "group");
    groups[i].epoch = take_int (&inner, "epoch", 0, INT64_MAX);
  }
  wire->sync_done.groups = groups;
  wire->sync_done.count = inner.count / 2;
  f->ok = inner.ok;
}

static void
decode_fields (Fields *f, NodeWire *wire)
{
  switch (wire->kind) {
  case NODE_WIRE_HEARTBEAT:
    wire->heartbeat = take_str (f, "heartbeat");
    break;
  case NODE_WIRE_SUMMARY:
    wire->summary.load.free = take_res (f, "free");
    wire->summary.load.largest_hole = take_res (f, "largest_hole");
    wire->summary.load.queued = take_int (f, "queued", 0, INT64_MAX);
    wire->summary.load.running = take_int (f, "running", 0, INT64_MAX);
    wire->summary.load.short_wait_ms = take_int (f, "short_wait_ms", 0, INT64_MAX);
    wire->summary.groups = take_int (f, "groups", 0, INT64_MAX);
    wire->summary.region = take_name (f, "region");
    break;
  case NODE_WIRE_CALL:
    decode_call (f, wire);
    break;
  case NODE_WIRE_REPLY:
    wire->reply.id = take_int (f, "call", 0, INT64_MAX);
    wire->reply.body.status = (NodeReplyStatus) take_int (f, "status", 0, NODE_REPLY_COUNT - 1);
    wire->reply.body.phase = (JobPhase) take_int (f, "phase", 0, JOB_ENDED);
    wire->reply.body.outcome = (JobOutcome) take_int (f, "outcome", 0, JOB_OUTCOME_UNKNOWN);
    wire->reply.body.why = (GrErrCode) take_int (f, "why", 0, GR_ERR_COUNT - 1);
    wire->reply.body.text = take_str (f, "text");
    break;
  case NODE_WIRE_PLACE:
    wire->place.id = take_name (f, "task");
    wire->place.attempt = (int32_t) take_int (f, "attempt", 0, INT32_MAX);
    wire->place.spec = take_spec (f, "spec");
    wire->place.part = take_name (f, "part");
    wire->place.epoch = take_int (f, "epoch", 0, INT64_MAX);
    wire->place.place_by_unix_ms = take_int (f, "place_by", 0, INT64_MAX);
    break;
  case NODE_WIRE_PLACE_RESULT:
    wire->place_result.id = take_name (f, "task");
    wire->place_result.attempt = (int32_t) take_int (f, "attempt", 0, INT32_MAX);
    wire->place_result.result = (JobPlaceResult) take_int (f, "result", 0, JOB_PLACE_UNKNOWN);
    wire->place_result.why = (GrErrCode) take_int (f, "why", 0, GR_ERR_COUNT - 1);
    break;
  case NODE_WIRE_REPORT:
    wire->report.id = take_name (f, "task");
    wire->report.attempt = (int32_t) take_int (f, "attempt", 0, INT32_MAX);
    wire->report.state = (JobTaskState) take_int (f, "state", 0, JOB_TASK_LAPSED);
    wire->report.answer = take_str (f, "answer");
    break;
  case NODE_WIRE_REPORT_ACK:
    wire->report_ack.id = take_name (f, "task");
    wire->report_ack.attempt = (int32_t) take_int (f, "attempt", 0, INT32_MAX);
    break;
  case NODE_WIRE_CANCEL:
    wire->cancel.id = take_name (f, "task");
    break;
  case NODE_WIRE_GANG:
    wire->gang.job = take_name (f, "job");
    wire->gang.commit = take_bool (f, "commit");
    break;
  case NODE_WIRE_SYNC:
    wire->sync.sync = take_int (f, "sync", 0, INT64_MAX);
    wire->sync.part = take_name (f, "part");
    wire->sync.epoch = take_int (f, "epoch", 0, INT64_MAX);
    wire->sync.id = take_name (f, "task");
    wire->sync.attempt = (int32_t) take_int (f, "attempt", 0, INT32_MAX);
    break;
  case NODE_WIRE_SYNC_DONE:
    decode_sync_done (f, wire);
    break;
  case NODE_WIRE_CONFIG_OFFER:
    wire->config.version = take_int (f, "version", 0, INT64_MAX);
    wire->config.want = take_bool (f, "want");
    wire->config.record = take_str (f, "record");
    break;
  case NODE_WIRE_FAREWELL:
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
  Fields f = { .items = unpacked.data.via.array.ptr,
               .count = unpacked.data.via.array.size,
               .ok = true,
               .err = err };
  wire->kind = (NodeWireKind) take_int (&f, "type", NODE_WIRE_HEARTBEAT, NODE_WIRE_LOG_HINT);
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
