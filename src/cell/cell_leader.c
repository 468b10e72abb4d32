/* The leader of a cell: carries out the commands of the pure scheduler (dag) through the platform,
   passes calls to it and fetches placement advice for it. */
#include <stdlib.h>

#include "cell/cell_leader_priv.h"

/* Time after which callers should retry, sent while the store does not answer. */
#define RETRY_AFTER_MS 1000
#define LOAD_LOG_INTERVAL_MS 1000
/* Links that come and go update the lanes at once; this is for those that were missed. */
#define LANES_INTERVAL_MS 500
#define NS_PER_US 1000
/* Tokens of a term; its number stands above them. */
#define TOKEN_BITS 32

int64_t
cell_leader_first_token (const CellLeader *leader)
{
  return leader->term << TOKEN_BITS;
}

int64_t
cell_leader_now (const CellLeader *leader)
{
  return cell_now (leader->cell);
}

static void
unref (CellLeader *leader)
{
  if (--leader->refs > 0)
    return;
  free (leader);
}

bool
cell_leader_unref_ended (CellLeader *leader)
{
  if (leader->freeing) {
    unref (leader);
    return true;
  }
  leader->refs--;
  return false;
}

void
cell_leader_fenced (CellLeader *leader)
{
  gr_log (&leader->cell->log, GR_EV_FENCED, "term=%lld", (long long) leader->term);
  ldr_fenced (leader->cell->ldr, cell_leader_now (leader));
  cell_tick_soon (leader->cell);
}

void
cell_leader_store_result (CellLeader *leader, bool ok)
{
  int64_t now_ms = cell_leader_now (leader);
  ldr_store_result (leader->cell->ldr, ok, now_ms);
  if (!ok)
    leader->store_failed_at = now_ms;
}

/* --- Commands --- */

void
cell_leader_answer (CellLeader *leader, const GrName *from, uint64_t id, CellAnswer answer)
{
  if (from->len == 0) {
    cell_calls_handle_answer (leader->cell, id, &answer);
    return;
  }
  CellWireMsg msg = { .type = CELL_WIRE_ANSWER };
  msg.u.answer = (CellWireAnswer){ (int64_t) id, answer };
  cell_send (leader->cell, from, &msg);
}

static void
answer_waiting (CellLeader *leader, int64_t token)
{
  for (size_t i = 0; i < leader->waiting.count; i++) {
    if (leader->waiting.items[i].token != token)
      continue;
    WaitingCall call = leader->waiting.items[i];
    gr_list_swap_remove (&leader->waiting, i);
    cell_leader_answer (leader, &call.from, call.id, (CellAnswer){ call.answer, 0 });
    return;
  }
}

static void
queue_advice_request (CellLeader *leader, const DagCmd *cmd)
{
  CellAdviceRequest request = { .token = cmd->u.advise.token,
                                .job = cmd->u.advise.job,
                                .step = cmd->u.advise.step,
                                .priority = cmd->u.advise.priority,
                                .expected_ms = cmd->u.advise.expected_ms,
                                .count = cmd->u.advise.count };
  request.targets = gr_calloc (request.count ? request.count : 1, sizeof *request.targets);
  memcpy (request.targets, cmd->u.advise.targets, request.count * sizeof *request.targets);
  cell_lanes_push (leader->lanes, &request);
}

static void
run_command (CellLeader *leader, const DagCmd *cmd)
{
  switch (cmd->type) {
  case DAG_CMD_ACCEPTED:
  case DAG_CMD_CANCELLED:
    answer_waiting (leader, cmd->u.call);
    return;
  case DAG_CMD_START:
  case DAG_CMD_STOP:
  case DAG_CMD_HOLD:
  case DAG_CMD_PACE:
    cell_orders_send (leader->orders, cmd);
    return;
  case DAG_CMD_ADVISE:
    queue_advice_request (leader, cmd);
    return;
  case DAG_CMD_DEPOSED:
    cell_leader_fenced (leader);
    return;
  }
}

/* --- Advice --- */

/* A request that this VM has sent to the advice service itself. */
typedef struct {
  CellLeader *leader;
  int64_t token;
} OwnAdvice;

static void
on_own_advice (void *user, bool ok, const DagAllowed *allowed, size_t count)
{
  OwnAdvice *own = user;
  CellLeader *leader = own->leader;
  if (!cell_leader_unref_ended (leader)) {
    CellWireAdvice advice = { own->token, ok, allowed, count };
    cell_leader_handle_advice (leader, &advice);
  }
  free (own);
}

static void
send_advice_request (CellLeader *leader, const CellAdviceRequest *request, const GrName *vm)
{
  Cell *cell = leader->cell;
  if (gr_name_equal (vm, &cell->options.self.vm.vm)) {
    int64_t timeout_at = cell_advice_timeout_at (cell, request->expected_ms);
    OwnAdvice *own = gr_calloc (1, sizeof *own);
    *own = (OwnAdvice){ leader, request->token };
    leader->refs++;
    cell->platform->advise (cell->platform->adapter, &request->job, request->step, request->targets,
                            request->count, timeout_at, on_own_advice, own);
    return;
  }
  CellWireMsg msg = { .type = CELL_WIRE_ADVICE_REQUEST };
  msg.u.advice_request
      = (CellWireAdviceRequest){ request->token,       request->job,     request->step,
                                 request->expected_ms, request->targets, request->count };
  cell_send (cell, vm, &msg);
}

static void
pump_lanes (CellLeader *leader)
{
  int64_t token;
  while ((token = cell_lanes_overdue (leader->lanes, cell_leader_now (leader))) != 0) {
    CellWireAdvice advice = { .token = token };
    cell_leader_handle_advice (leader, &advice);
  }
  GrName vm;
  const CellAdviceRequest *request;
  while ((request = cell_lanes_next (leader->lanes, &vm, cell_leader_now (leader))) != NULL)
    send_advice_request (leader, request, &vm);
}

void
cell_leader_handle_advice (CellLeader *leader, const CellWireAdvice *advice)
{
  CellAdviceRequest request;
  int64_t sent_at;
  int64_t now_ms = cell_leader_now (leader);
  if (!cell_lanes_finish (leader->lanes, advice->token, advice->ok, now_ms, &request, &sent_at))
    return;
  gr_metric_observe (leader->cell->options.metrics, GR_METRIC_ADVICE_MS, now_ms - sent_at);
  /* Upper bound: the ticket may have been issued as soon as the expected time had passed. */
  int64_t age_ms = now_ms - sent_at - request.expected_ms;
  dag_handle_advice (cell_leader_limited_dag (leader), &request.job, request.step, request.token,
                     advice->ok, advice->allowed, advice->count, age_ms > 0 ? age_ms : 0, now_ms);
  free (request.targets);
  cell_leader_run_commands (leader);
}

void
cell_leader_update_lanes (CellLeader *leader)
{
  Cell *cell = leader->cell;
  leader->lanes_set_at = cell_leader_now (leader);
  GR_LIST (GrName) vms = { 0 };
  gr_list_push (&vms, cell->options.self.vm.vm);
  for (size_t i = 0; i < cell->members.count; i++) {
    const GrName *vm = &cell->members.items[i].vm.vm;
    if (net_peers_is_up (cell->peers, vm))
      gr_list_push (&vms, *vm);
  }
  cell_lanes_set (leader->lanes, vms.items, vms.count);
  gr_list_clear (&vms);
}

/* --- Calls --- */

/* job is that of a submission, else NULL. */
static void
wait_for_store (CellLeader *leader, const GrName *from, uint64_t id, int64_t token,
                const GrName *job, CellAnswerKind answer)
{
  WaitingCall call = { .token = token, .from = *from, .id = id, .answer = answer };
  if (job)
    call.job = *job;
  gr_list_push (&leader->waiting, call);
}

static CellAnswer
submit (CellLeader *leader, const GrName *from, uint64_t id, const CellWireCall *call, bool *waits)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  DagStepSpec steps[DAG_MAX_STEPS];
  DagJobSpec spec = { 0 };
  CellAnswer answer = { CELL_ANSWER_INVALID, 0 };
  GrErr err = { 0 };
  if (dag_unpack_job_spec (call->spec, &unpacked, steps, &spec)) {
    spec.account = call->account;
    int64_t token = ++leader->next_token;
    int64_t retry_after_ms = 0;
    switch (
        dag_submit (leader->dag, &spec, token, cell_leader_now (leader), &retry_after_ms, &err)) {
    case DAG_SUBMIT_PENDING:
      wait_for_store (leader, from, id, token, &spec.id, CELL_ANSWER_ACCEPTED);
      *waits = true;
      break;
    case DAG_SUBMIT_KNOWN:
      answer.kind = CELL_ANSWER_ACCEPTED;
      break;
    case DAG_SUBMIT_NO_QUEUE:
      answer.kind = CELL_ANSWER_NO_QUEUE;
      break;
    case DAG_SUBMIT_OVERLOAD:
      answer = (CellAnswer){ CELL_ANSWER_REFUSED, retry_after_ms };
      break;
    case DAG_SUBMIT_FOREIGN:
      answer.kind = CELL_ANSWER_FOREIGN;
      break;
    case DAG_SUBMIT_INVALID:
      gr_log (&leader->cell->log, GR_EV_BAD_INPUT, "id=%.*s field=%.*s %s", GR_NAME_ARG (call->job),
              GR_NAME_ARG (err.field), err.detail);
      break;
    }
  }
  msgpack_unpacked_destroy (&unpacked);
  return answer;
}

static bool
knows_account (const CellLeader *leader, const CellWireCall *call)
{
  return cell_config_knows_account (&leader->cell->config, &call->queue, &call->account);
}

/* True if the call is about a job of another account. */
static bool
is_foreign (const CellLeader *leader, const CellWireCall *call)
{
  return knows_account (leader, call) && dag_is_foreign (leader->dag, &call->job, &call->account);
}

/* Returns false if the job is certainly over and nothing has to be stored. */
static bool
cancel (CellLeader *leader, const GrName *from, uint64_t id, const CellWireCall *call)
{
  int64_t token = ++leader->next_token;
  int64_t now_ms = cell_leader_now (leader);
  DagState *dag = cell_leader_limited_dag (leader);
  switch (knows_account (leader, call)
              ? dag_cancel_for (dag, &call->job, &call->account, token, now_ms)
              : dag_cancel (dag, &call->job, token, now_ms)) {
  case DAG_CANCEL_PENDING:
    wait_for_store (leader, from, id, token, NULL, CELL_ANSWER_CANCELLED);
    return true;
  case DAG_CANCEL_UNKNOWN:
    /* Another VM may have become the leader and accepted the job: the store tells. */
    wait_for_store (leader, from, id, token, NULL, CELL_ANSWER_NO_JOB);
    return true;
  case DAG_CANCEL_FOREIGN: /* answered like the status of an unknown job */
  case DAG_CANCEL_DROPPED:
    return false;
  }
  return false;
}

/* Refuses submissions that are in no batch yet. The scheduler drops them: they have no effect. */
static void
refuse_unsent (CellLeader *leader)
{
  for (size_t i = leader->waiting.count; i-- > 0;) {
    WaitingCall call = leader->waiting.items[i];
    if (call.job.len == 0 || !dag_withdraw (leader->dag, &call.job))
      continue;
    for (size_t k = leader->waiting.count; k-- > 0;) {
      WaitingCall other = leader->waiting.items[k];
      if (!gr_name_equal (&other.job, &call.job))
        continue;
      gr_list_swap_remove (&leader->waiting, k);
      cell_leader_answer (leader, &other.from, other.id,
                          (CellAnswer){ CELL_ANSWER_REFUSED, RETRY_AFTER_MS });
    }
    i = leader->waiting.count;
  }
}

void
cell_leader_handle_call (CellLeader *leader, const GrName *from, uint64_t id,
                         const CellWireCall *call)
{
  CellAnswer answer = { CELL_ANSWER_NOT_LEADER, 0 };
  bool waits = false;
  /* The VM that received the call may have a newer configuration. The call is retried until the
     leader has it too. */
  if (leader->state != LEADER_ACTIVE || call->config_version > leader->cell->config.version) {
    cell_leader_answer (leader, from, id, answer);
    return;
  }
  /* The caller gets the same answer as for a job that nobody submitted, except to a submission. */
  bool foreign = call->verb != CELL_VERB_PENDING && is_foreign (leader, call);
  gr_metric_add (leader->cell->options.metrics, GR_METRIC_CALLS_FOREIGN, foreign);
  switch (call->verb) {
  case CELL_VERB_SUBMIT:
    if (foreign)
      answer.kind = CELL_ANSWER_FOREIGN;
    else if (cell_records_stalled (leader)
             && dag_status (leader->dag, &call->job) == DAG_JOB_UNKNOWN)
      answer = (CellAnswer){ CELL_ANSWER_REFUSED, RETRY_AFTER_MS };
    else
      answer = submit (leader, from, id, call, &waits);
    break;
  case CELL_VERB_STATUS: {
    DagJobState state = foreign ? DAG_JOB_UNKNOWN : dag_status (leader->dag, &call->job);
    answer = (CellAnswer){ CELL_ANSWER_STATE, state };
    waits = state == DAG_JOB_UNKNOWN;
    if (waits)
      cell_confirm_add (&leader->confirm, from, id);
    break;
  }
  case CELL_VERB_CANCEL:
    answer.kind = CELL_ANSWER_NO_JOB;
    waits = foreign || cancel (leader, from, id, call);
    if (foreign)
      cell_confirm_add (&leader->confirm, from, id);
    break;
  case CELL_VERB_PENDING:
    answer = (CellAnswer){ CELL_ANSWER_PENDING, dag_pending (leader->dag, &call->queue) };
    break;
  }
  if (!waits)
    cell_leader_answer (leader, from, id, answer);
  cell_leadership_confirm (leader);
  cell_leader_run_commands (leader);
}

/* --- Lifecycle --- */

void
cell_leader_run_commands (CellLeader *leader)
{
  /* No command calls back into the scheduler, so the list does not change during the loop. */
  const DagCmds *cmds = dag_cmds (leader->dag);
  for (size_t i = 0; i < cmds->count && !leader->freeing; i++) {
    DagCmd cmd = cmds->items[i];
    run_command (leader, &cmd);
  }
  dag_cmds_reset (leader->dag);
  if (leader->state == LEADER_ACTIVE)
    pump_lanes (leader);
  cell_records_pump (leader);
  if (leader->state == LEADER_ACTIVE)
    cell_tick_at (leader->cell, dag_next_tick (leader->dag, cell_leader_now (leader)));
}

static void
log_load (CellLeader *leader)
{
  int64_t now_ms = cell_leader_now (leader);
  if (now_ms < leader->load_logged_at + LOAD_LOG_INTERVAL_MS)
    return;
  leader->load_logged_at = now_ms;
  DagCounts counts = dag_counts (leader->dag, now_ms);
  gr_log (&leader->cell->log, GR_EV_CELL_LOAD,
          "open=%zu waiting=%zu runs=%zu targets=%zu usable=%zu free_cpu=%lld cpu=%lld",
          counts.open_jobs, counts.waiting_tasks, counts.runs, counts.targets,
          counts.usable_targets, (long long) counts.free_cpu_milli,
          (long long) counts.capacity_cpu_milli);
  dag_log_waiting (leader->dag, now_ms);
}

void
cell_leader_tick (CellLeader *leader)
{
  cell_recovery_report_unlisted (leader);
  if (cell_records_stalled (leader))
    refuse_unsent (leader);
  if (cell_leader_now (leader) >= leader->lanes_set_at + LANES_INTERVAL_MS)
    cell_leader_update_lanes (leader);
  cell_leadership_tick (leader);
  cell_orders_tick (leader->orders);
  if (leader->state == LEADER_ACTIVE) {
    uint64_t began_ns = uv_hrtime ();
    dag_tick (cell_leader_limited_dag (leader), cell_leader_now (leader));
    gr_metric_observe (leader->cell->options.metrics, GR_METRIC_DECISION_US,
                       (int64_t) ((uv_hrtime () - began_ns) / NS_PER_US));
    log_load (leader);
  }
  cell_leader_run_commands (leader);
}

void
cell_leader_update_metrics (CellLeader *leader, GrMetrics *metrics)
{
  DagCounts counts = dag_counts (leader->dag, cell_leader_now (leader));
  gr_metric_set (metrics, GR_METRIC_RUNNING, (int64_t) counts.runs);
  gr_metric_set (metrics, GR_METRIC_QUEUED, (int64_t) counts.waiting_tasks);
  gr_metric_set (metrics, GR_METRIC_FREE_CPU, counts.free_cpu_milli);
}

void
cell_leader_apply_config (CellLeader *leader)
{
  DagQueues queues = { leader->cell->config.queues.items, leader->cell->config.queues.count };
  dag_set_queues (leader->dag, &queues, cell_leader_now (leader));
  DagAccounts accounts
      = { leader->cell->config.accounts.items, leader->cell->config.accounts.count };
  dag_set_accounts (leader->dag, &accounts, cell_leader_now (leader));
}

void
cell_leader_handle_order_result (CellLeader *leader, const GrName *vm,
                                 const CellWireOrderResult *result)
{
  cell_orders_handle_result (leader->orders, vm, result);
  cell_leader_run_commands (leader);
}

void
cell_leader_link_down (CellLeader *leader, const GrName *vm)
{
  cell_orders_link_down (leader->orders, vm);
  cell_leader_update_lanes (leader);
  cell_leader_run_commands (leader);
}

int64_t
cell_leader_term (const CellLeader *leader)
{
  return leader->term;
}

CellLeader *
cell_leader_new (Cell *cell, int64_t term)
{
  CellLeader *leader = gr_calloc (1, sizeof *leader);
  leader->cell = cell;
  leader->term = term;
  leader->refs = 1;
  leader->lanes = cell_lanes_new ();
  leader->orders = cell_orders_new (leader);
  const CellOptions *options = &cell->options;
  int64_t now_ms = cell_now (cell);
  uv_timeval64_t unix_now;
  uv_gettimeofday (&unix_now);
  int64_t unix_ms = unix_now.tv_sec * 1000 + unix_now.tv_usec / 1000;
  DagOptions dag_options = {
    .lease_ms = options->lease_ms,
    .lease_max_ms = options->lease_max_ms,
    .stop_timeout_ms = options->stop_timeout_ms,
    .status_keep_ms = options->status_keep_ms,
    .former_leases_lapse_at_ms = INT64_MAX, /* set once the store has taken the term */
    .unix_offset_ms = unix_ms - now_ms,
    .first_token = cell_leader_first_token (leader),
    .metrics = options->metrics,
    .log = options->log,
  };
  dag_options.log.component = "sched";
  GrErr err = { 0 };
  leader->dag = dag_new (&dag_options, &err);
  if (!leader->dag) {
    gr_log (&cell->log, GR_EV_BAD_SETTING, "%.*s %s", GR_NAME_ARG (err.field), err.detail);
    abort ();
  }
  cell_leader_apply_config (leader);
  cell_leader_update_lanes (leader);
  cell_records_pump (leader);
  return leader;
}

void
cell_leader_free (CellLeader *leader)
{
  if (!leader)
    return;
  leader->freeing = true;
  cell_follow_free (leader->follow_targets);
  /* The VMs that forwarded these calls send them again, to the next leader. */
  for (size_t i = 0; i < leader->waiting.count; i++) {
    const WaitingCall *call = &leader->waiting.items[i];
    if (call->from.len > 0)
      cell_leader_answer (leader, &call->from, call->id, (CellAnswer){ CELL_ANSWER_NOT_LEADER, 1 });
  }
  gr_list_clear (&leader->waiting);
  cell_confirm_clear (&leader->confirm);
  gr_list_clear (&leader->unlisted);
  cell_recovery_clear (leader);
  dag_records_clear (&leader->records);
  cell_lanes_free (leader->lanes);
  cell_orders_free (leader->orders);
  dag_free (leader->dag);
  unref (leader);
}
