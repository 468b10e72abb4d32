/* Client calls at the VM that received them. A call is forwarded to the leader, and again after a
   change of leader, until it is answered or its caller stops waiting. The job id makes retries
   idempotent. */
#include <stdlib.h>

#include "cell/cell_priv.h"

/* Calls are refused when no leader has accepted calls for this long; most changes of leader take
   less. */
#define NO_LEADER_TIMEOUT_MS 900
/* A call that is still open is answered this long before the caller's deadline, or after three
   quarters of the wait if that is later. */
#define ANSWER_MARGIN_MS 150
#define RETRY_INTERVAL_MS 60
/* Time after which callers should retry, sent when no leader has answered. */
#define RETRY_AFTER_MS 1000

static const char *
verb_name (CellVerb verb)
{
  static const char *const names[] = { [CELL_VERB_SUBMIT] = "submit",
                                       [CELL_VERB_STATUS] = "status",
                                       [CELL_VERB_CANCEL] = "cancel",
                                       [CELL_VERB_PENDING] = "pending" };
  return names[verb];
}

static const char *
answer_name (CellAnswerKind kind)
{
  static const char *const names[] = {
    [CELL_ANSWER_ACCEPTED] = "accepted", [CELL_ANSWER_CANCELLED] = "cancelled",
    [CELL_ANSWER_STATE] = "state",       [CELL_ANSWER_PENDING] = "pending",
    [CELL_ANSWER_NO_JOB] = "no-job",     [CELL_ANSWER_NO_QUEUE] = "no-queue",
    [CELL_ANSWER_INVALID] = "invalid",   [CELL_ANSWER_REFUSED] = "refused",
    [CELL_ANSWER_UNKNOWN] = "unknown",   [CELL_ANSWER_NOT_LEADER] = "not-leader",
    [CELL_ANSWER_FOREIGN] = "foreign",
  };
  return names[kind];
}

static CellOpenCall *
find_call (const Cell *cell, uint64_t id)
{
  for (CellOpenCall *call = cell->calls; call; call = call->next) {
    if (call->id == id)
      return call;
  }
  return NULL;
}

static void
remove_call (Cell *cell, CellOpenCall *call)
{
  if (call->prev)
    call->prev->next = call->next;
  else
    cell->calls = call->next;
  if (call->next)
    call->next->prev = call->prev;
  gr_buf_clear (&call->spec);
  free (call);
}

static void
finish (Cell *cell, CellOpenCall *call, CellAnswer answer)
{
  /* A refusal states that no attempt had an effect, which is always true of reads. */
  bool reads = call->verb == CELL_VERB_STATUS || call->verb == CELL_VERB_PENDING;
  if (answer.kind == CELL_ANSWER_REFUSED && call->maybe_applied && !reads)
    answer.kind = CELL_ANSWER_UNKNOWN;
  else if (answer.kind == CELL_ANSWER_UNKNOWN && reads)
    answer.kind = CELL_ANSWER_REFUSED;
  gr_log (&cell->log, GR_EV_ROUTED,
          "id=%.*s queue=%.*s verb=%s answer=%s value=%lld term=%lld after_ms=%lld",
          GR_NAME_ARG (call->job), GR_NAME_ARG (call->queue), verb_name (call->verb),
          answer_name (answer.kind), (long long) answer.value, (long long) call->term,
          (long long) (cell_now (cell) - call->received_at));
  GrMetrics *metrics = cell->options.metrics;
  gr_metric_observe (metrics, GR_METRIC_CALL_MS, cell_now (cell) - call->received_at);
  gr_metric_add (metrics, GR_METRIC_CALLS_REFUSED, answer.kind == CELL_ANSWER_REFUSED);
  CellCallDone done = call->done;
  void *user = call->user;
  remove_call (cell, call);
  if (done)
    done (user, &answer);
}

/* Removes the account from a call to a leader of a version before accounts; the job then belongs to
   no account. Returns false while the capabilities of the leader are not known. */
static bool
adapt_to_leader (Cell *cell, const GrName *leader, CellWireCall *call)
{
  if (call->account.len == 0)
    return true;
  const CellPeerState *state = cell_peer_state (cell, leader);
  if (!(state->capabilities & CELL_WIRE_CAPABILITY_ACCOUNTS))
    call->account = (GrName){ 0 };
  return state->capabilities_known;
}

static void
dispatch (Cell *cell, CellOpenCall *call)
{
  int64_t now_ms = cell_now (cell);
  const LdrRecord *leader = ldr_leader (cell->ldr, now_ms);
  call->retry_at = now_ms + RETRY_INTERVAL_MS;
  if (!leader || !ldr_leader_serves (cell->ldr, now_ms))
    return;
  CellWireMsg msg = { .type = CELL_WIRE_CALL };
  msg.u.call = (CellWireCall){
    .id = (int64_t) call->id,
    .verb = call->verb,
    .config_version = call->config_version,
    .queue = call->queue,
    .job = call->job,
    .spec = gr_buf_str (&call->spec),
    .account = call->account,
  };
  call->term = leader->term;
  if (gr_vm_ref_equal (&leader->member.vm, &cell->options.self.vm)) {
    if (!cell->leader)
      return;
    call->sent = true;
    cell_leader_handle_call (cell->leader, &(GrName){ 0 }, call->id, &msg.u.call);
    return;
  }
  call->sent = adapt_to_leader (cell, &leader->member.vm.vm, &msg.u.call)
               && cell_send (cell, &leader->member.vm.vm, &msg);
  gr_metric_add (cell->options.metrics, GR_METRIC_CALLS_FORWARDED, call->sent);
}

uint64_t
cell_call (Cell *cell, const CellCall *request, CellCallDone done, void *user)
{
  CellOpenCall *call = gr_calloc (1, sizeof *call);
  int64_t now_ms = cell_now (cell);
  uint64_t id = (uint64_t) gr_ids_next (&cell->call_ids);
  gr_metric_add (cell->options.metrics, GR_METRIC_CALLS, 1);
  call->id = id;
  call->verb = request->verb;
  call->queue = request->queue;
  call->job = request->job;
  call->account = request->account;
  if (request->spec)
    dag_pack_job_spec (request->spec, &call->spec);
  call->config_version = cell->config.version;
  call->received_at = now_ms;
  int64_t margin = (request->deadline_at_ms - now_ms) / 4;
  call->deadline_at
      = request->deadline_at_ms - (margin < ANSWER_MARGIN_MS ? margin : ANSWER_MARGIN_MS);
  call->done = done;
  call->user = user;
  call->next = cell->calls;
  if (call->next)
    call->next->prev = call;
  cell->calls = call;
  /* A leader on this VM may answer immediately, but done must not run from within this function:
     such calls are dispatched by the tick. */
  call->retry_at = now_ms;
  const LdrRecord *leader = ldr_leader (cell->ldr, now_ms);
  if (leader && !gr_vm_ref_equal (&leader->member.vm, &cell->options.self.vm))
    dispatch (cell, call);
  else
    cell_tick_soon (cell);
  return id;
}

void
cell_calls_clear (Cell *cell)
{
  CellOpenCall *call = cell->calls;
  cell->calls = NULL;
  while (call) {
    CellOpenCall *next = call->next;
    gr_buf_clear (&call->spec);
    free (call);
    call = next;
  }
}

void
cell_cancel_call (Cell *cell, uint64_t id)
{
  CellOpenCall *call = find_call (cell, id);
  if (!call)
    return;
  call->done = NULL;
  /* A call that was never sent cannot take effect. A sent one is kept until it is answered. */
  if (!call->sent && !call->maybe_applied)
    remove_call (cell, call);
}

/* True if a leader may give an answer of this kind to a call of this verb. */
static bool
verb_allows (CellVerb verb, CellAnswerKind kind)
{
  switch (kind) {
  case CELL_ANSWER_ACCEPTED:
  case CELL_ANSWER_FOREIGN:
    return verb == CELL_VERB_SUBMIT;
  case CELL_ANSWER_CANCELLED:
    return verb == CELL_VERB_CANCEL;
  case CELL_ANSWER_STATE:
    return verb == CELL_VERB_STATUS;
  case CELL_ANSWER_PENDING:
    return verb == CELL_VERB_PENDING;
  case CELL_ANSWER_NO_JOB:
    return verb == CELL_VERB_STATUS || verb == CELL_VERB_CANCEL;
  case CELL_ANSWER_NO_QUEUE:
  case CELL_ANSWER_INVALID:
  case CELL_ANSWER_REFUSED:
  case CELL_ANSWER_UNKNOWN:
  case CELL_ANSWER_NOT_LEADER:
    return true;
  }
  return false;
}

static void
drop_answer (Cell *cell, uint64_t id, const CellAnswer *answer, const char *reason)
{
  gr_metric_add (cell->options.metrics, GR_METRIC_ANSWERS_DROPPED, 1);
  gr_log (&cell->log, GR_EV_ANSWER_DROPPED, "call=%llu answer=%s reason=%s",
          (unsigned long long) id, answer_name (answer->kind), reason);
}

void
cell_calls_handle_answer (Cell *cell, uint64_t id, const CellAnswer *answer)
{
  if (!gr_ids_is_own (&cell->call_ids, (int64_t) id)) {
    drop_answer (cell, id, answer, "earlier-process");
    return;
  }
  CellOpenCall *call = find_call (cell, id);
  if (!call)
    return;
  if (!verb_allows (call->verb, answer->kind)) {
    drop_answer (cell, id, answer, verb_name (call->verb));
    return;
  }
  if (answer->kind == CELL_ANSWER_NOT_LEADER) {
    call->sent = false;
    call->maybe_applied |= answer->value != 0;
    call->retry_at = cell_now (cell) + RETRY_INTERVAL_MS;
    return;
  }
  finish (cell, call, *answer);
}

void
cell_calls_resend (Cell *cell)
{
  for (CellOpenCall *call = cell->calls; call; call = call->next) {
    if (!call->sent)
      continue;
    call->sent = false;
    call->maybe_applied = true;
    call->retry_at = cell_now (cell);
  }
}

void
cell_calls_tick (Cell *cell)
{
  int64_t now_ms = cell_now (cell);
  const LdrRecord *leader = ldr_leader (cell->ldr, now_ms);
  if (ldr_leader_serves (cell->ldr, now_ms))
    cell->leader_served_at = now_ms;
  CellOpenCall *next;
  for (CellOpenCall *call = cell->calls; call; call = next) {
    next = call->next;
    if (call->sent && (!leader || leader->term != call->term)) {
      call->sent = false;
      call->maybe_applied = true;
      call->retry_at = now_ms;
    }
    if (now_ms >= call->deadline_at) {
      bool unknown = call->sent || call->maybe_applied;
      finish (cell, call,
              (CellAnswer){ unknown ? CELL_ANSWER_UNKNOWN : CELL_ANSWER_REFUSED, RETRY_AFTER_MS });
      continue;
    }
    if (call->sent)
      continue;
    if (!call->maybe_applied && now_ms - cell->leader_served_at >= NO_LEADER_TIMEOUT_MS) {
      finish (cell, call, (CellAnswer){ CELL_ANSWER_REFUSED, RETRY_AFTER_MS });
      continue;
    }
    if (now_ms >= call->retry_at)
      dispatch (cell, call);
  }
}
