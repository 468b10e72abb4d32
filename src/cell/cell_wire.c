#include <stdlib.h>

#include "cell/cell_wire_priv.h"

/* Most targets in one advice request or in the answer to it. */
#define MAX_TARGETS 4096
#define MEMBER_FIELDS 5
/* Of a call without an account. */
#define CALL_FIELDS 6

static void
pack_ref (msgpack_packer *packer, const GrVmRef *ref)
{
  gr_pack_name (packer, &ref->vm);
  msgpack_pack_int64 (packer, ref->incarnation);
}

void
cell_wire_pack_head (msgpack_packer *packer, CellWireType type, size_t fields)
{
  msgpack_pack_array (packer, fields + 1);
  msgpack_pack_int (packer, (int) type);
}

static void
pack_status (msgpack_packer *packer, const CellWireStatus *status)
{
  cell_wire_pack_head (packer, CELL_WIRE_STATUS, 9);
  pack_ref (packer, &status->status.vm);
  msgpack_pack_int64 (packer, status->status.term);
  gr_pack_bool (packer, status->status.leads);
  gr_pack_bool (packer, status->status.serves);
  gr_pack_bool (packer, status->status.store_ok);
  gr_pack_bool (packer, status->status.leaving);
  msgpack_pack_int64 (packer, status->status.store_rtt_ms);
  msgpack_pack_int64 (packer, status->config_version);
}

static void
pack_call (msgpack_packer *packer, const CellWireCall *call)
{
  cell_wire_pack_head (packer, CELL_WIRE_CALL, CALL_FIELDS + (call->account.len > 0));
  msgpack_pack_int64 (packer, call->id);
  msgpack_pack_int (packer, (int) call->verb);
  msgpack_pack_int64 (packer, call->config_version);
  gr_pack_name (packer, &call->queue);
  gr_pack_name (packer, &call->job);
  gr_pack_bin (packer, call->spec);
  if (call->account.len > 0)
    gr_pack_name (packer, &call->account);
}

static void
pack_advice_request (msgpack_packer *packer, const CellWireAdviceRequest *request)
{
  cell_wire_pack_head (packer, CELL_WIRE_ADVICE_REQUEST, 5);
  msgpack_pack_int64 (packer, request->token);
  gr_pack_name (packer, &request->job);
  msgpack_pack_uint32 (packer, request->step);
  msgpack_pack_int64 (packer, request->expected_ms);
  msgpack_pack_array (packer, request->count);
  for (size_t i = 0; i < request->count; i++)
    gr_pack_name (packer, &request->targets[i]);
}

static void
pack_advice (msgpack_packer *packer, const CellWireAdvice *advice)
{
  cell_wire_pack_head (packer, CELL_WIRE_ADVICE, 3);
  msgpack_pack_int64 (packer, advice->token);
  gr_pack_bool (packer, advice->ok);
  msgpack_pack_array (packer, advice->count);
  for (size_t i = 0; i < advice->count; i++) {
    msgpack_pack_array (packer, 2);
    gr_pack_name (packer, &advice->allowed[i].target);
    gr_pack_str (packer, gr_str_from_c (advice->allowed[i].ticket));
  }
}

void
cell_wire_encode (const CellWireMsg *msg, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  switch (msg->type) {
  case CELL_WIRE_STATUS:
    pack_status (&packer, &msg->u.status);
    return;
  case CELL_WIRE_CALL:
    pack_call (&packer, &msg->u.call);
    return;
  case CELL_WIRE_ANSWER:
    cell_wire_pack_head (&packer, CELL_WIRE_ANSWER, 3);
    msgpack_pack_int64 (&packer, msg->u.answer.id);
    msgpack_pack_int (&packer, (int) msg->u.answer.answer.kind);
    msgpack_pack_int64 (&packer, msg->u.answer.answer.value);
    return;
  case CELL_WIRE_ADVICE_REQUEST:
    pack_advice_request (&packer, &msg->u.advice_request);
    return;
  case CELL_WIRE_ADVICE:
    pack_advice (&packer, &msg->u.advice);
    return;
  case CELL_WIRE_CONFIG:
    cell_wire_pack_head (&packer, CELL_WIRE_CONFIG, 1);
    gr_pack_bin (&packer, msg->u.config);
    return;
  case CELL_WIRE_ORDER:
    cell_wire_pack_order (&packer, &msg->u.order);
    return;
  case CELL_WIRE_ORDER_RESULT:
    cell_wire_pack_order_result (&packer, &msg->u.order_result);
    return;
  case CELL_WIRE_TERM_CHECK:
  case CELL_WIRE_TERM:
    cell_wire_pack_head (&packer, msg->type, 3);
    msgpack_pack_int64 (&packer, msg->u.term.term);
    msgpack_pack_int64 (&packer, msg->u.term.incarnation);
    msgpack_pack_int64 (&packer, msg->u.term.boot_ms);
    return;
  case CELL_WIRE_CAPABILITIES:
    cell_wire_pack_head (&packer, CELL_WIRE_CAPABILITIES, 1);
    msgpack_pack_int64 (&packer, msg->u.capabilities);
    return;
  }
}

static bool
read_status (const msgpack_object *f, uint32_t size, CellWireStatus *status)
{
  return size == 9 && gr_unpack_name (&f[0], &status->status.vm.vm)
         && gr_unpack_int (&f[1], &status->status.vm.incarnation)
         && gr_unpack_int (&f[2], &status->status.term)
         && gr_unpack_bool (&f[3], &status->status.leads)
         && gr_unpack_bool (&f[4], &status->status.serves)
         && gr_unpack_bool (&f[5], &status->status.store_ok)
         && gr_unpack_bool (&f[6], &status->status.leaving)
         && gr_unpack_int (&f[7], &status->status.store_rtt_ms)
         && gr_unpack_int (&f[8], &status->config_version);
}

static bool
read_term (const msgpack_object *f, uint32_t size, CellWireTerm *term)
{
  return size == 3 && gr_unpack_int (&f[0], &term->term)
         && gr_unpack_int (&f[1], &term->incarnation) && gr_unpack_int (&f[2], &term->boot_ms);
}

static bool
read_call (const msgpack_object *f, uint32_t size, CellWireCall *call)
{
  int64_t verb;
  if (size < CALL_FIELDS || size > CALL_FIELDS + 1 || !gr_unpack_int (&f[0], &call->id)
      || !gr_unpack_int (&f[1], &verb) || verb < CELL_VERB_SUBMIT || verb > CELL_VERB_PENDING)
    return false;
  if (size > CALL_FIELDS
      && (!gr_unpack_name (&f[CALL_FIELDS], &call->account) || call->account.len == 0))
    return false;
  call->verb = (CellVerb) verb;
  return gr_unpack_int (&f[2], &call->config_version) && gr_unpack_name (&f[3], &call->queue)
         && gr_unpack_name (&f[4], &call->job) && gr_unpack_bytes (&f[5], &call->spec);
}

static bool
read_answer (const msgpack_object *f, uint32_t size, CellWireAnswer *answer)
{
  int64_t kind;
  if (size != 3 || !gr_unpack_int (&f[0], &answer->id) || !gr_unpack_int (&f[1], &kind)
      || kind < CELL_ANSWER_ACCEPTED || kind > CELL_ANSWER_FOREIGN)
    return false;
  answer->answer.kind = (CellAnswerKind) kind;
  return gr_unpack_int (&f[2], &answer->answer.value);
}

static bool
read_advice_request (const msgpack_object *f, uint32_t size, CellWireMsg *msg)
{
  CellWireAdviceRequest *request = &msg->u.advice_request;
  int64_t step;
  if (size != 5 || !gr_unpack_int (&f[0], &request->token) || !gr_unpack_name (&f[1], &request->job)
      || !gr_unpack_int (&f[2], &step) || step < 0 || step >= DAG_MAX_STEPS
      || !gr_unpack_int (&f[3], &request->expected_ms) || f[4].type != MSGPACK_OBJECT_ARRAY
      || f[4].via.array.size > MAX_TARGETS)
    return false;
  request->step = (uint32_t) step;
  request->count = f[4].via.array.size;
  GrName *targets = gr_calloc (request->count ? request->count : 1, sizeof *targets);
  msg->decoded_list = targets;
  request->targets = targets;
  for (size_t i = 0; i < request->count; i++) {
    if (!gr_unpack_name (&f[4].via.array.ptr[i], &targets[i]))
      return false;
  }
  return true;
}

static bool
read_allowed (const msgpack_object *object, DagAllowed *allowed)
{
  GrStr ticket;
  if (!gr_unpack_is_array (object, 2)
      || !gr_unpack_name (&object->via.array.ptr[0], &allowed->target)
      || !gr_unpack_bytes (&object->via.array.ptr[1], &ticket)
      || ticket.len >= sizeof allowed->ticket)
    return false;
  memcpy (allowed->ticket, ticket.data, ticket.len);
  return true;
}

static bool
read_advice (const msgpack_object *f, uint32_t size, CellWireMsg *msg)
{
  CellWireAdvice *advice = &msg->u.advice;
  if (size != 3 || !gr_unpack_int (&f[0], &advice->token) || !gr_unpack_bool (&f[1], &advice->ok)
      || f[2].type != MSGPACK_OBJECT_ARRAY || f[2].via.array.size > MAX_TARGETS)
    return false;
  advice->count = f[2].via.array.size;
  DagAllowed *allowed = gr_calloc (advice->count ? advice->count : 1, sizeof *allowed);
  msg->decoded_list = allowed;
  advice->allowed = allowed;
  for (size_t i = 0; i < advice->count; i++) {
    if (!read_allowed (&f[2].via.array.ptr[i], &allowed[i]))
      return false;
  }
  return true;
}

bool
cell_wire_decode (GrStr body, msgpack_unpacked *unpacked, CellWireMsg *msg, GrErr *err)
{
  int64_t type;
  *msg = (CellWireMsg){ 0 };
  if (!gr_unpack_array (unpacked, body) || unpacked->data.via.array.size < 1
      || !gr_unpack_int (&unpacked->data.via.array.ptr[0], &type))
    return gr_err_set (err, GR_ERR_PROTOCOL, "message",
                       "frame of %zu bytes is not an array that starts with a message type",
                       body.len);
  const msgpack_object *fields = unpacked->data.via.array.ptr + 1;
  uint32_t size = unpacked->data.via.array.size - 1;
  msg->type = (CellWireType) type;
  bool ok = false;
  switch (type) {
  case CELL_WIRE_STATUS:
    ok = read_status (fields, size, &msg->u.status);
    break;
  case CELL_WIRE_CALL:
    ok = read_call (fields, size, &msg->u.call);
    break;
  case CELL_WIRE_ANSWER:
    ok = read_answer (fields, size, &msg->u.answer);
    break;
  case CELL_WIRE_ADVICE_REQUEST:
    ok = read_advice_request (fields, size, msg);
    break;
  case CELL_WIRE_ADVICE:
    ok = read_advice (fields, size, msg);
    break;
  case CELL_WIRE_CONFIG:
    ok = size == 1 && gr_unpack_bytes (&fields[0], &msg->u.config);
    break;
  case CELL_WIRE_ORDER:
    ok = cell_wire_read_order (fields, size, &msg->u.order);
    break;
  case CELL_WIRE_ORDER_RESULT:
    ok = cell_wire_read_order_result (fields, size, msg);
    break;
  case CELL_WIRE_TERM_CHECK:
  case CELL_WIRE_TERM:
    ok = read_term (fields, size, &msg->u.term);
    break;
  case CELL_WIRE_CAPABILITIES:
    ok = size == 1 && gr_unpack_int (&fields[0], &msg->u.capabilities);
    break;
  default:
    break;
  }
  if (ok)
    return true;
  cell_wire_clear (msg);
  return gr_err_set (err, GR_ERR_PROTOCOL, "message", "malformed message of type %lld",
                     (long long) type);
}

void
cell_wire_clear (CellWireMsg *msg)
{
  free (msg->decoded_list);
  free (msg->decoded_ends);
  msg->decoded_list = NULL;
  msg->decoded_ends = NULL;
}

void
cell_member_encode (const LdrMember *member, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, MEMBER_FIELDS);
  pack_ref (&packer, &member->vm);
  gr_pack_name (&packer, &member->address);
  gr_pack_name (&packer, &member->zone);
  msgpack_pack_int (&packer, member->weight);
}

bool
cell_member_decode (GrStr value, LdrMember *member)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok
      = gr_unpack_array (&unpacked, value) && gr_unpack_is_array (&unpacked.data, MEMBER_FIELDS);
  if (ok) {
    const msgpack_object *f = unpacked.data.via.array.ptr;
    ok = gr_unpack_name (&f[0], &member->vm.vm) && gr_unpack_int (&f[1], &member->vm.incarnation)
         && gr_unpack_name (&f[2], &member->address) && gr_unpack_name (&f[3], &member->zone)
         && gr_unpack_int32 (&f[4], &member->weight);
  }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
