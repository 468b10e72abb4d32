/* Holds: when the next one is sent to a target, and whether it waits there and renews the leases.
 */
#include "dag/dag_priv.h"

/* Longest wait of a hold at the target for an end. Each hold renews the leases. */
#define HOLD_WAIT_MS 1000
/* The same for targets whose best-effort runs are paced: their figures change every half second. */
#define HOLD_WAIT_MIXED_MS 500
/* Time after which the answer to a hold counts as lost, in addition to its wait at the target. Ends
   of runs go unnoticed until another hold is answered. */
#define HOLD_ANSWER_MS 150
/* The clock of a target that runs nothing is read this often: a lease is set by the lowest time
   that it may show, and is shorter by 2% of the age of the reading. */
#define CLOCK_AGE_MAX_MS 60000
/* Interval of renewals while ends wait to be stored. */
#define LEASE_RENEW_MS 1000

/* True if a hold is in flight whose answer may still come in time; without_wait: one that does not
   wait at the target. */
static bool
expects_answer (const DagTarget *target, bool without_wait, int64_t now_ms)
{
  for (int i = 0; i < target->hold_count; i++) {
    const DagOpenHold *hold = &target->holds[i];
    if (now_ms < hold->expected_by && !(without_wait && hold->long_poll))
      return true;
  }
  return false;
}

/* True if the answer to a hold is overdue and no later hold was answered. */
static bool
is_overdue (const DagTarget *target, int64_t now_ms)
{
  for (int i = 0; i < target->hold_count; i++) {
    const DagOpenHold *hold = &target->holds[i];
    if (now_ms >= hold->expected_by && hold->sent_at >= target->hold_answered_at)
      return true;
  }
  return false;
}

/* True if the target has answered all that was due. */
static bool
answers_in_time (const DagTarget *target, int64_t now_ms)
{
  return target->hold_failures == 0 && !is_overdue (target, now_ms);
}

/* Ends to acknowledge with the next hold; 0: none. The numbers of ends start anew with an
   incarnation, so an acknowledgement that reaches the next one would drop ends that nobody has
   read. Therefore it is not repeated once it was answered, and not sent while the target may have
   ended. */
static int64_t
due_acknowledgement (const DagTarget *target, int64_t now_ms)
{
  bool due = target->acknowledged > target->acknowledged_known && answers_in_time (target, now_ms);
  return due ? target->acknowledged : 0;
}

static void
send_hold (DagState *dag, DagTarget *target, int64_t wait_ms, int64_t now_ms)
{
  if (target->hold_count == DAG_MAX_HOLDS)
    return;
  DagCmd cmd = { .type = DAG_CMD_HOLD };
  cmd.target = dag_target_ref (target);
  cmd.u.hold.token = ++dag->next_token;
  cmd.u.hold.wait_ms = wait_ms;
  cmd.u.hold.acknowledged = due_acknowledgement (target, now_ms);
  /* A target that does not answer gets no renewal, so that its runs lapse eventually. */
  if (target->inventoried && target->run_count > 0 && answers_in_time (target, now_ms)
      && dag_may_lease (dag, now_ms))
    cmd.u.hold.lease_until = dag_target_lease (dag, target, now_ms);
  gr_list_push (&dag->cmds, cmd);
  if (cmd.u.hold.acknowledged > 0)
    target->acknowledged_sent = cmd.u.hold.acknowledged;
  target->hold_sent_at = now_ms;
  target->holds[target->hold_count++]
      = (DagOpenHold){ .token = cmd.u.hold.token,
                       .sent_at = now_ms,
                       .address_serial = target->address_serial,
                       .expected_by = now_ms + wait_ms + HOLD_ANSWER_MS,
                       .long_poll = wait_ms > 0,
                       .acknowledged = cmd.u.hold.acknowledged };
}

/* True if the target has runs past their start. */
static bool
has_live_runs (const DagTarget *target)
{
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    if (task->state == TASK_RUNNING || task->state == TASK_STOPPING || task->state == TASK_ADOPTED)
      return true;
  }
  return false;
}

static int64_t
long_poll_ms (const DagTarget *target)
{
  return dag_pace_is_mixed (target) ? HOLD_WAIT_MIXED_MS : HOLD_WAIT_MS;
}

void
dag_hold_if_due (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (now_ms < target->hold_retry_at || target->info.address.len == 0)
    return;
  if (target->probe_wanted && !expects_answer (target, true, now_ms)) {
    target->probe_wanted = false;
    send_hold (dag, target, 0, now_ms);
    return;
  }
  if (expects_answer (target, false, now_ms))
    return;
  if (!target->inventoried) {
    if (target->listed || target->run_count > 0)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  bool ends_unstored = target->end_processed > target->acknowledged;
  if (!ends_unstored && target->acknowledged > target->acknowledged_sent
      && answers_in_time (target, now_ms)) {
    send_hold (dag, target, has_live_runs (target) ? long_poll_ms (target) : 0, now_ms);
    return;
  }
  if (!has_live_runs (target)) {
    /* A target that stopped answering gets holds until it answers, and no work before. Others are
       asked for their clock, by which leases are set. */
    bool clock_is_old = now_ms - target->clock_at >= CLOCK_AGE_MAX_MS;
    if ((target->hold_failures > 0 || clock_is_old) && target->listed)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  if (ends_unstored) {
    if (now_ms - target->hold_sent_at >= LEASE_RENEW_MS)
      send_hold (dag, target, 0, now_ms);
    return;
  }
  /* After a hold without an answer, the next one does not wait for an end. */
  if (target->hold_failures > 0 || is_overdue (target, now_ms))
    send_hold (dag, target, 0, now_ms);
  else
    send_hold (dag, target, long_poll_ms (target), now_ms);
}
