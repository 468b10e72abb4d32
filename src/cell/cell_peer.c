/* Messages between VMs: heartbeats, forwarded calls, placement advice and configurations. */
#include <stdlib.h>

#include "cell/cell_priv.h"

#define HEARTBEAT_MS 300
/* Shorter for the leader, since all calls wait until its loss is detected. */
#define LEADER_HEARTBEAT_MS 150
/* Between an elector that does not lead and the VMs that are not electors. These take an elector
   for a candidate, behind which they wait, only while its heartbeats are recent. */
#define OTHER_HEARTBEAT_MS 1000
#define LEADER_OTHER_HEARTBEAT_MS 250
/* A link that received nothing for this long is closed and reconnected. */
#define LINK_TIMEOUT_MS 1500
#define OTHER_LINK_TIMEOUT_MS 3000

bool
cell_send (Cell *cell, const GrName *vm, const CellWireMsg *msg)
{
  GrBuf body = { 0 };
  GrErr err = { 0 };
  cell_wire_encode (msg, &body);
  bool sent = net_peers_send (cell->peers, vm, gr_buf_str (&body), &err);
  gr_buf_clear (&body);
  return sent;
}

static void
send_status (Cell *cell, const GrName *vm)
{
  CellWireMsg msg = { .type = CELL_WIRE_STATUS };
  msg.u.status.status = ldr_status (cell->ldr, cell_now (cell));
  msg.u.status.config_version = cell->config.version;
  cell_send (cell, vm, &msg);
}

static void
send_config (Cell *cell, const GrName *vm)
{
  CellWireMsg msg = { .type = CELL_WIRE_CONFIG };
  msg.u.config = gr_buf_str (&cell->config_doc);
  cell_send (cell, vm, &msg);
}

CellPeerState *
cell_peer_state (Cell *cell, const GrName *vm)
{
  for (size_t i = 0; i < cell->peer_states.count; i++) {
    if (gr_name_equal (&cell->peer_states.items[i].vm, vm))
      return &cell->peer_states.items[i];
  }
  gr_list_push (&cell->peer_states, (CellPeerState){ .vm = *vm });
  return &cell->peer_states.items[cell->peer_states.count - 1];
}

/* Sends a heartbeat, or resets the link if nothing has arrived on it for too long. */
static void
check_link (Cell *cell, const GrName *vm, int64_t timeout_ms)
{
  int64_t now_ms = cell_now (cell);
  CellPeerState *state = cell_peer_state (cell, vm);
  if (state->last_frame_at > 0 && now_ms - state->last_frame_at > timeout_ms) {
    state->last_frame_at = now_ms;
    net_peers_reset (cell->peers, vm);
    return;
  }
  send_status (cell, vm);
}

/* A VM that is not an elector reports to the leader like one, since the leader works with it. */
static bool
is_close_peer (const Cell *cell, size_t member)
{
  const GrName *vm = &cell->members.items[member].vm.vm;
  return (cell->is_elector && cell->electors.items[member])
         || gr_name_equal (vm, &cell->linked_leader);
}

void
cell_heartbeat (Cell *cell)
{
  int64_t now_ms = cell_now (cell);
  bool close_due = now_ms >= cell->heartbeat_at;
  bool other_due = now_ms >= cell->other_heartbeat_at;
  if (close_due)
    cell->heartbeat_at = now_ms + (cell->leader ? LEADER_HEARTBEAT_MS : HEARTBEAT_MS);
  if (other_due)
    cell->other_heartbeat_at
        = now_ms + (cell->leader ? LEADER_OTHER_HEARTBEAT_MS : OTHER_HEARTBEAT_MS);
  if (!close_due && !other_due)
    return;
  for (size_t i = 0; i < cell->members.count; i++) {
    const GrName *vm = &cell->members.items[i].vm.vm;
    bool close = is_close_peer (cell, i);
    if ((close ? !close_due : !other_due) || !net_peers_is_up (cell->peers, vm))
      continue;
    check_link (cell, vm, close ? LINK_TIMEOUT_MS : OTHER_LINK_TIMEOUT_MS);
  }
}

int64_t
cell_advice_timeout_at (const Cell *cell, int64_t expected_ms)
{
  return cell_now (cell) + CELL_ADVICE_MARGIN_MS + CELL_ADVICE_DEPTH * expected_ms;
}

typedef struct {
  Cell *cell;
  GrName vm;
  int64_t token;
} AdviceContext;

static void
on_advice (void *user, bool ok, const DagAllowed *allowed, size_t count)
{
  AdviceContext *context = user;
  CellWireMsg msg = { .type = CELL_WIRE_ADVICE };
  msg.u.advice = (CellWireAdvice){ context->token, ok, allowed, count };
  if (!context->cell->freeing)
    cell_send (context->cell, &context->vm, &msg);
  free (context);
}

static void
handle_advice_request (Cell *cell, const GrName *vm, const CellWireAdviceRequest *request)
{
  AdviceContext *context = gr_calloc (1, sizeof *context);
  *context = (AdviceContext){ .cell = cell, .vm = *vm, .token = request->token };
  cell->platform->advise (cell->platform->adapter, &request->job, request->step, request->targets,
                          request->count, cell_advice_timeout_at (cell, request->expected_ms),
                          on_advice, context);
}

static void
handle_call (Cell *cell, const GrName *vm, const CellWireCall *call)
{
  if (cell->leader) {
    cell_leader_handle_call (cell->leader, vm, (uint64_t) call->id, call);
    return;
  }
  CellWireMsg msg = { .type = CELL_WIRE_ANSWER };
  msg.u.answer = (CellWireAnswer){ call->id, { CELL_ANSWER_NOT_LEADER, 0 } };
  cell_send (cell, vm, &msg);
}

static void
handle_term_check (Cell *cell, const GrName *vm, const CellWireTerm *check)
{
  CellWireMsg msg = { .type = CELL_WIRE_TERM };
  msg.u.term = (CellWireTerm){ ldr_term (cell->ldr), check->incarnation, check->boot_ms };
  cell_send (cell, vm, &msg);
}

static void
handle_capabilities (Cell *cell, const GrName *vm, int64_t capabilities)
{
  CellPeerState *state = cell_peer_state (cell, vm);
  state->capabilities = capabilities;
  state->capabilities_known = true;
}

static void
send_capabilities (Cell *cell, const GrName *vm)
{
  CellWireMsg msg
      = { .type = CELL_WIRE_CAPABILITIES,
          .u.capabilities = CELL_WIRE_CAPABILITY_ACCOUNTS | CELL_WIRE_CAPABILITY_CLOSED };
  cell_send (cell, vm, &msg);
}

static void
handle_status (Cell *cell, const CellWireStatus *status)
{
  ldr_heartbeat_received (cell->ldr, &status->status, cell_now (cell));
  const GrName *vm = &status->status.vm.vm;
  /* Only the leader pushes its configuration. A leader that cannot reach the store is replaced. */
  if (!cell->leader)
    return;
  CellPeerState *state = cell_peer_state (cell, vm);
  bool is_outdated = status->config_version < cell->config.version;
  if (cell_config_push_due (&state->push, is_outdated, status->status.store_ok, cell_now (cell)))
    send_config (cell, vm);
}

void
cell_peer_frame (void *user, const NetPeerInfo *peer, GrStr body)
{
  Cell *cell = user;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  CellWireMsg msg;
  GrErr err = { 0 };
  cell_peer_state (cell, &peer->vm.vm)->last_frame_at = cell_now (cell);
  if (!cell_wire_decode (body, &unpacked, &msg, &err)) {
    gr_log (&cell->log, GR_EV_BAD_INPUT, "vm=%.*s %s", GR_NAME_ARG (peer->vm.vm), err.detail);
    msgpack_unpacked_destroy (&unpacked);
    return;
  }
  switch (msg.type) {
  case CELL_WIRE_CAPABILITIES:
    handle_capabilities (cell, &peer->vm.vm, msg.u.capabilities);
    break;
  case CELL_WIRE_STATUS:
    cell_peer_state (cell, &peer->vm.vm)->capabilities_known = true;
    handle_status (cell, &msg.u.status);
    break;
  case CELL_WIRE_CALL:
    handle_call (cell, &peer->vm.vm, &msg.u.call);
    break;
  case CELL_WIRE_ANSWER:
    cell_calls_handle_answer (cell, (uint64_t) msg.u.answer.id, &msg.u.answer.answer);
    break;
  case CELL_WIRE_ADVICE_REQUEST:
    handle_advice_request (cell, &peer->vm.vm, &msg.u.advice_request);
    break;
  case CELL_WIRE_ADVICE:
    if (cell->leader)
      cell_leader_handle_advice (cell->leader, &msg.u.advice);
    break;
  case CELL_WIRE_CONFIG:
    cell_apply_config (cell, msg.u.config, "peer");
    break;
  case CELL_WIRE_ORDER:
    cell_relay_handle_order (cell, &peer->vm.vm, &msg.u.order);
    break;
  case CELL_WIRE_ORDER_RESULT:
    if (cell->leader)
      cell_leader_handle_order_result (cell->leader, &peer->vm.vm, &msg.u.order_result);
    break;
  case CELL_WIRE_TERM_CHECK:
    handle_term_check (cell, &peer->vm.vm, &msg.u.term);
    break;
  case CELL_WIRE_TERM:
    if (cell->leader)
      cell_leader_handle_term (cell->leader, &peer->vm.vm, &msg.u.term);
    break;
  }
  cell_wire_clear (&msg);
  msgpack_unpacked_destroy (&unpacked);
}

void
cell_peer_up (void *user, const NetPeerInfo *peer)
{
  Cell *cell = user;
  CellPeerState *state = cell_peer_state (cell, &peer->vm.vm);
  state->last_frame_at = cell_now (cell);
  state->capabilities_known = false;
  state->capabilities = 0;
  send_capabilities (cell, &peer->vm.vm);
  send_status (cell, &peer->vm.vm);
  if (cell->leader)
    cell_leader_update_lanes (cell->leader);
}

void
cell_peer_down (void *user, const NetPeerInfo *peer)
{
  Cell *cell = user;
  int64_t now_ms = cell_now (cell);
  const LdrRecord *leader = ldr_leader (cell->ldr, now_ms);
  bool was_leader = leader && gr_name_equal (&leader->member.vm.vm, &peer->vm.vm);
  ldr_link_down (cell->ldr, &peer->vm.vm, now_ms);
  if (was_leader)
    cell_calls_resend (cell);
  if (cell->leader)
    cell_leader_link_down (cell->leader, &peer->vm.vm);
}
