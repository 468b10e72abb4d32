/* Runs of tasks: assignment, start, stop and end. */
#include "dag/dag_priv.h"

/* A start without an answer is sent this many times in all. Repeating it is harmless, while
   stopping a run that may have started breaks its gang. */
#define START_ATTEMPTS_MAX 3
/* Pause before a failed stop is repeated. */
#define STOP_RETRY_MS 300
/* Members of a broken gang that still run after this delay are stopped. */
#define GANG_STOP_DELAY_MS 350
/* A run without progress for the longer of STALL_MIN_MS and STALL_SHARE of its expected run time is
   stopped, and its target excluded from placement for a time. */
#define STALL_MIN_MS 2500
#define STALL_SHARE 0.1
/* Weight of one run in the moving average DagQueueStats.runtime_ratio. */
#define RUNTIME_RATIO_WEIGHT 0.05
/* Approximate time until a start reaches its target; the ticket must be valid then. */
#define START_LATENCY_MS 40
/* A start that has not left within this time is given up and the task placed again. */
#define START_QUEUE_MAX_MS 1000
/* Most targets with a failed run that a step remembers. */
#define FAILED_ON_MAX 64

GrRes
dag_reserved_demand (const DagStepSpec *spec)
{
  GrRes need = spec->demand;
  if (spec->best_effort_cpu)
    need.v[GR_RES_CPU_MILLI] = 0;
  return need;
}

GrName *
dag_checkpoint (DagTask *task)
{
  return task->step->spec.gang ? &task->step->checkpoint : &task->checkpoint;
}

void
dag_keep_checkpoint (DagTask *task, GrStr checkpoint)
{
  GrName kept;
  if (checkpoint.len > 0 && gr_name_set (&kept, checkpoint))
    *dag_checkpoint (task) = kept;
}

void
dag_run_assign (DagState *dag, DagTask *task, DagTarget *target, int64_t run, const char *ticket,
                int64_t ticket_until)
{
  DagStep *step = task->step;
  task->state = TASK_ASSIGNED;
  task->run = run;
  task->starts_unanswered = 0;
  task->restart_at = 0;
  task->batch = 0;
  task->stop_acked_at = 0;
  task->stop_retry_at = 0;
  task->stop_in_flight = false;
  task->stop_outdated = false;
  task->incarnation = dag_target_incarnation (target);
  task->listed = false;
  task->crash_noted = false;
  task->confirmed_at = 0;
  task->confirmed_clock_ms = 0;
  task->confirmed = false;
  task->seen_at = 0;
  task->start_closed = false;
  task->sight = CRASH_UNSEEN;
  task->assigned_at = dag->placed_at;
  task->timed = false;
  task->news_by = 0;
  task->survived_ms = 0;
  task->percent = 0;
  task->pace = 100;
  task->pace_open = false;
  task->usage = -1;
  memcpy (task->ticket, ticket, sizeof task->ticket);
  task->ticket_until = ticket_until;
  if (step->run < run)
    step->run = run;
  dag_share_note_assigned (step, dag->placed_at);
  dag_target_attach (task, target);
  dag_job_mark_dirty (dag, step->job);
}

static void
send_stop (DagState *dag, DagTask *task)
{
  /* The entry of the target is not read yet, or gone: the next tick tries again. */
  if (task->target->info.address.len == 0)
    return;
  DagCmd cmd = { .type = DAG_CMD_STOP };
  cmd.target = dag_target_ref (task->target);
  cmd.u.stop.task = dag_task_ref (task);
  cmd.u.stop.run = task->run;
  gr_list_push (&dag->cmds, cmd);
  task->stop_in_flight = true;
  task->stop_address_serial = task->target->address_serial;
}

void
dag_run_stop (DagState *dag, DagTask *task, int64_t now_ms)
{
  switch (task->state) {
  case TASK_WAITING:
  case TASK_DONE:
  case TASK_STOPPING:
    return;
  case TASK_ASSIGNED:
    /* No start was sent yet. */
    dag_run_release (dag, task, now_ms);
    return;
  case TASK_STARTING:
  case TASK_RUNNING:
  case TASK_ADOPTED:
    break;
  }
  task->state = TASK_STOPPING;
  task->stop_acked_at = 0;
  send_stop (dag, task);
}

void
dag_run_stop_again (DagState *dag, DagTask *task)
{
  task->state = TASK_STOPPING;
  task->stop_acked_at = 0;
  task->incarnation = dag_target_incarnation (task->target);
  dag_job_mark_dirty (dag, task->step->job);
  if (task->stop_in_flight)
    task->stop_outdated = true;
  else
    send_stop (dag, task);
}

void
dag_run_stop_gang_later (DagStep *step, int64_t now_ms)
{
  if (step->spec.gang && step->gang_stop_at == 0)
    step->gang_stop_at = now_ms + GANG_STOP_DELAY_MS;
}

/* Stops the members of a gang. No effect on other steps. */
static void
stop_gang (DagState *dag, DagStep *step, int64_t now_ms)
{
  if (!step->spec.gang)
    return;
  step->gang_stop_at = 0;
  for (size_t i = 0; i < step->tasks.count; i++)
    dag_run_stop (dag, step->tasks.items[i], now_ms);
}

/* True if the target can still hold all that is assigned to it, as far as the task needs it. */
static bool
still_fits (const DagTask *task)
{
  GrRes need = dag_reserved_demand (&task->step->spec);
  GrRes room = dag_target_free_room (task->target);
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (need.v[d] > 0 && room.v[d] < 0)
      return false;
  }
  return true;
}

/* Reason why the start must not be sent, or NULL. Since the task was assigned, the target may have
   left or lost capacity, the ticket may have expired, the maximum of the account may have been
   lowered, and another VM may have taken over. */
static const char *
reason_not_to_start (const DagState *dag, const DagTask *task, int64_t now_ms)
{
  const DagTarget *target = task->target;
  if (!dag_may_lease (dag, now_ms))
    return "leadership-unconfirmed";
  if (!target->inventoried || !target->listed || target->info.draining)
    return "target-left";
  if (task->incarnation != dag_target_incarnation (target))
    return "target-restarted";
  if (task->ticket_until > 0 && now_ms > task->ticket_until - START_LATENCY_MS)
    return "ticket-expired";
  if (!still_fits (task))
    return "no-room";
  if (dag_client_exceeds_maximum (task->step->job->client))
    return "account-maximum";
  return NULL;
}

/* Last time at which the start may leave. A target must get it before the ticket expires, and long
   before the lease that it carries. */
static int64_t
last_start_time (const DagTask *task, int64_t now_ms)
{
  int64_t by_lease = now_ms + START_QUEUE_MAX_MS;
  int64_t by_ticket = task->ticket_until - START_LATENCY_MS;
  return task->ticket_until > 0 && by_ticket < by_lease ? by_ticket : by_lease;
}

static void
send_start (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagJob *job = task->step->job;
  DagCmd cmd = { .type = DAG_CMD_START };
  cmd.target = dag_target_ref (task->target);
  cmd.u.start.task = dag_task_ref (task);
  cmd.u.start.run = task->run;
  cmd.u.start.lease_until = dag_target_lease (dag, task->target, now_ms);
  cmd.u.start.payload = (GrStr){ job->payload, job->payload_len };
  cmd.u.start.priority = job->queue.priority;
  cmd.u.start.send_by = last_start_time (task, now_ms);
  if (task->step->spec.checkpoints)
    cmd.u.start.checkpoint = *dag_checkpoint (task);
  memcpy (cmd.u.start.ticket, task->ticket, sizeof cmd.u.start.ticket);
  gr_list_push (&dag->cmds, cmd);
  task->start_open = true;
  task->start_address_serial = task->target->address_serial;
}

static void
set_begun (DagJob *job)
{
  job->begun = true;
  if (dag_job_is_open (job))
    job->state = DAG_JOB_IN_PROGRESS;
}

/* A run of the job was at work. */
static void
mark_begun (DagState *dag, DagJob *job, int64_t now_ms)
{
  if (job->begun)
    return;
  set_begun (job);
  if (dag->options.metrics)
    gr_metric_observe (dag->options.metrics, GR_METRIC_WAIT_MS, now_ms - job->accepted_at);
  DagJob *owner = job->timetable_job;
  if (!owner || owner->begun)
    return;
  set_begun (owner);
  dag_job_mark_dirty (dag, owner);
}

void
dag_run_confirm (DagState *dag, DagTask *task, int64_t now_ms)
{
  task->state = TASK_RUNNING;
  task->confirmed_at = now_ms;
  task->percent_at = now_ms;
  /* The crash of its target counts for the task in later terms too. */
  if (task->on_trial)
    dag_job_mark_dirty (dag, task->step->job);
  mark_begun (dag, task->step->job, now_ms);
  dag_risk_note_start (dag, task, now_ms);
}

void
dag_run_note_alive (DagState *dag, DagTask *task, int64_t clock_ms, int64_t now_ms)
{
  task->seen_at = now_ms;
  if (task->sight != CRASH_UNSEEN) {
    task->sight = CRASH_UNSEEN;
    dag_job_mark_dirty (dag, task->step->job);
  }
  task->confirmed = true;
  task->news_by = 0;
  if (task->confirmed_clock_ms == 0)
    task->confirmed_clock_ms = clock_ms;
  if (task->survived_ms < clock_ms - task->confirmed_clock_ms)
    task->survived_ms = clock_ms - task->confirmed_clock_ms;
  dag_crash_check_trial (dag, task);
}

void
dag_run_start (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagJob *job = task->step->job;
  DagTarget *target = task->target;
  const char *reason = reason_not_to_start (dag, task, now_ms);
  if (reason) {
    DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s step=%u index=%u run=%lld target=%.*s reason=%s",
             GR_NAME_ARG (job->id), task->step->number, task->index, (long long) task->run,
             GR_NAME_ARG (target->info.id), reason);
    DagStep *step = task->step;
    dag_run_release (dag, task, now_ms);
    stop_gang (dag, step, now_ms);
    return;
  }
  task->state = TASK_STARTING;
  send_start (dag, task, now_ms);
  dag_count (dag, GR_METRIC_STARTS, 1);
  dag_count (dag, GR_METRIC_RETRIES, task->run > 1);
  dag_count (dag, GR_METRIC_TRIALS, task->on_trial);
  DAG_LOG (dag, GR_EV_PLACED,
           "id=%.*s step=%u index=%u run=%lld target=%.*s waited_ms=%lld free_cpu=%d crashes=%d "
           "trial=%d",
           GR_NAME_ARG (job->id), task->step->number, task->index, (long long) task->run,
           GR_NAME_ARG (target->info.id), (long long) (now_ms - job->accepted_at),
           target->info.capacity.v[GR_RES_CPU_MILLI] - target->used.v[GR_RES_CPU_MILLI],
           task->crashes, task->on_trial);
}

void
dag_run_stop_with_gang (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagStep *step = task->step;
  dag_run_stop (dag, task, now_ms);
  stop_gang (dag, step, now_ms);
}

void
dag_run_release (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagStep *step = task->step;
  DagJob *job = step->job;
  dag_target_detach (task);
  task->state = TASK_WAITING;
  dag_step_add_waiting (step, 1);
  dag->place_wanted = true;
  dag_job_mark_dirty (dag, job);
  if (!dag_job_is_open (job))
    return;
  if (step->waiting == step->spec.count - step->done)
    step->gang_stop_at = 0;
  else
    dag_run_stop_gang_later (step, now_ms);
  dag_queue_step (dag, step);
}

static void
update_runtime_ratio (const DagTask *task, int64_t now_ms)
{
  int64_t estimate = task->step->spec.estimate_ms;
  if (estimate <= 0 || task->confirmed_at <= 0)
    return;
  DagQueueStats *stats = task->step->job->stats;
  double ratio = (double) (now_ms - task->confirmed_at) / (double) estimate;
  stats->runtime_ratio += RUNTIME_RATIO_WEIGHT * (ratio - stats->runtime_ratio);
}

/* Marks the task as done. In a gang the end of one member counts for all, so the task may have been
   marked before or have no run. */
static void
mark_task_done (DagState *dag, DagTask *task)
{
  DagStep *step = task->step;
  if (task->state == TASK_DONE)
    return;
  if (task->target)
    dag_target_detach (task);
  else
    dag_step_add_waiting (step, -1);
  dag_step_finish_task (dag, task);
  step->done++;
  dag->place_wanted = true;
}

/* If all tasks of the step are done, queues the steps that depend on it or completes the job. */
static void
finish_step_if_done (DagState *dag, DagStep *step, int64_t now_ms)
{
  DagJob *job = step->job;
  if (step->done < step->spec.count)
    return;
  job->steps_done |= (uint64_t) 1 << step->number;
  step->gang_stop_at = 0;
  dag_speed_note_step (dag, step, now_ms);
  dag_advice_clear (step);
  for (size_t s = 0; s < job->step_count; s++) {
    if (job->steps[s].done < job->steps[s].spec.count) {
      dag_queue_ready_steps (dag, job);
      return;
    }
  }
  dag_job_end (dag, job, DAG_JOB_COMPLETED, now_ms);
}

static void
handle_done_run (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagStep *step = task->step;
  dag_speed_note_end (dag, task, now_ms);
  update_runtime_ratio (task, now_ms);
  dag_target_succeeded (task->target);
  if (!step->spec.gang) {
    mark_task_done (dag, task);
    finish_step_if_done (dag, step, now_ms);
    return;
  }
  int64_t run = task->run;
  for (size_t i = step->tasks.count; i-- > 0;) {
    /* The other members end on their own. A target that still lists one counts it as an unknown run
       and gets no new work until it is gone. */
    DagTask *member = step->tasks.items[i];
    if (member == task || member->run == run)
      mark_task_done (dag, member);
  }
  finish_step_if_done (dag, step, now_ms);
}

/* Notes that a run of the step failed on this incarnation of the target. */
static void
add_failed_on (DagStep *step, const DagTarget *target)
{
  for (size_t i = 0; i < step->failed_on.count; i++) {
    if (step->failed_on.items[i] == target->serial)
      return;
  }
  if (step->failed_on.count == FAILED_ON_MAX)
    gr_list_swap_remove (&step->failed_on, 0);
  gr_list_push (&step->failed_on, target->serial);
}

/* A run of a long-running step has ended, in whatever way: the task waits for its next one. */
static void
restart_long_running (DagState *dag, DagTask *task, DagEndKind kind, int64_t now_ms)
{
  DagTarget *target = task->target;
  if (kind == DAG_END_FAILED) {
    add_failed_on (task->step, target);
    dag_target_failed (dag, target, &task->step->job->id, now_ms);
  }
  dag_avail_handle_end (task, now_ms);
  dag_run_release (dag, task, now_ms);
}

/* Several members of a gang may fail in one run, which is one attempt. */
static void
count_failure (DagTask *task)
{
  DagStep *step = task->step;
  if (!step->spec.gang) {
    task->failures++;
    return;
  }
  if (step->failed_run >= task->run)
    return;
  step->failed_run = task->run;
  for (size_t i = 0; i < step->tasks.count; i++)
    step->tasks.items[i]->failures++;
}

static void
handle_failed_run (DagState *dag, DagTask *task, int64_t now_ms)
{
  DagStep *step = task->step;
  DagJob *job = step->job;
  DagTarget *target = task->target;
  add_failed_on (step, target);
  count_failure (task);
  int32_t failures = task->failures;
  dag_target_failed (dag, target, &job->id, now_ms);
  dag_run_release (dag, task, now_ms);
  if (dag_job_is_open (job) && failures >= job->queue.max_attempts)
    dag_job_end (dag, job, DAG_JOB_FAILED, now_ms);
}

void
dag_run_handle_end (DagState *dag, DagTask *task, DagEndKind kind, GrStr checkpoint, int64_t now_ms)
{
  DagJob *job = task->step->job;
  mark_begun (dag, job, now_ms);
  if (checkpoint.len > GR_NAME_MAX)
    DAG_LOG (dag, GR_EV_BAD_INPUT, "id=%.*s step=%u index=%u checkpoint of %zu bytes is not kept",
             GR_NAME_ARG (task->step->job->id), task->step->number, task->index, checkpoint.len);
  dag_keep_checkpoint (task, checkpoint);
  dag_job_mark_dirty (dag, job);
  if (!dag_job_is_open (job)) {
    dag_run_release (dag, task, now_ms);
    return;
  }
  if (task->step->spec.long_running) {
    restart_long_running (dag, task, kind, now_ms);
    return;
  }
  switch (kind) {
  case DAG_END_DONE:
    handle_done_run (dag, task, now_ms);
    return;
  case DAG_END_FAILED:
    handle_failed_run (dag, task, now_ms);
    return;
  case DAG_END_STOPPED:
  case DAG_END_LAPSED:
    dag_runtime_note_interrupted (dag, task);
    dag_run_release (dag, task, now_ms);
    return;
  case DAG_END_BROKEN:
  case DAG_END_ALONE:
    dag_run_release (dag, task, now_ms);
    return;
  }
}

void
dag_run_handle_late_done (DagState *dag, DagTask *task, int64_t now_ms)
{
  const DagStepSpec *spec = &task->step->spec;
  if (task->state != TASK_WAITING || spec->gang || spec->long_running
      || !dag_job_is_open (task->step->job))
    return;
  mark_begun (dag, task->step->job, now_ms);
  dag_job_mark_dirty (dag, task->step->job);
  mark_task_done (dag, task);
  finish_step_if_done (dag, task->step, now_ms);
}

/* Handles an answer other than DAG_ORDER_OK and DAG_ORDER_LOST to the only start order of a run.
   Unless the run number is old, the target has not started the run. */
static void
handle_refused_start (DagState *dag, DagTask *task, DagOrderResult result, bool same_incarnation,
                      int64_t now_ms)
{
  switch (result) {
  case DAG_ORDER_OLD:
    dag_run_stop_with_gang (dag, task, now_ms);
    return;
  case DAG_ORDER_REFUSED:
    dag_target_avoid (dag, task->target, "starts refused", now_ms);
    break;
  case DAG_ORDER_NO_TICKET:
    dag_advice_clear (task->step);
    break;
  case DAG_ORDER_GONE:
    if (same_incarnation)
      task->target->listed = false;
    break;
  case DAG_ORDER_OK:
  case DAG_ORDER_LOST:
  case DAG_ORDER_CLOSED:
  case DAG_ORDER_LATE:
  case DAG_ORDER_NO_ROOM:
  case DAG_ORDER_INVALID:
  case DAG_ORDER_NOT_SENT:
  case DAG_ORDER_FENCED:
    break;
  }
  DagStep *step = task->step;
  dag_run_release (dag, task, now_ms);
  stop_gang (dag, step, now_ms);
}

void
dag_handle_start_result (DagState *dag, const DagTaskRef *ref, int64_t run, DagOrderResult result,
                         int64_t clock_ms, int64_t now_ms)
{
  DagTask *task = dag_find_task (dag, ref);
  if (result == DAG_ORDER_FENCED) {
    dag_depose (dag);
    return;
  }
  if (!task || task->run != run || !task->target)
    return;
  DagTarget *target = task->target;
  bool same_incarnation = task->incarnation == dag_target_incarnation (target);
  bool same_clock = task->start_address_serial == target->address_serial;
  task->start_open = false;
  if (result == DAG_ORDER_CLOSED && same_clock) {
    task->start_closed = true;
    dag_crash_note_closed (dag, target, now_ms);
  }
  if (result == DAG_ORDER_CLOSED)
    result = DAG_ORDER_LOST;
  if (result == DAG_ORDER_LOST)
    task->starts_unanswered++;
  if (result == DAG_ORDER_OK && same_clock && clock_ms > target->clock_ms) {
    target->clock_ms = clock_ms;
    target->clock_at = now_ms;
  }
  if (result == DAG_ORDER_OK && (task->state == TASK_STARTING || task->state == TASK_RUNNING))
    dag_speed_note_start (dag, task, same_clock ? clock_ms : 0, now_ms);
  if (task->state != TASK_STARTING)
    return;
  if (result != DAG_ORDER_OK)
    DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s step=%u index=%u run=%lld target=%.*s result=%s",
             GR_NAME_ARG (ref->job), ref->step, ref->index, (long long) run,
             GR_NAME_ARG (target->info.id), dag_order_result_name (result));
  if (result == DAG_ORDER_OK) {
    dag_run_confirm (dag, task, now_ms);
    dag_run_note_alive (dag, task, clock_ms, now_ms);
    return;
  }
  if (result == DAG_ORDER_LOST && task->starts_unanswered < START_ATTEMPTS_MAX
      && !reason_not_to_start (dag, task, now_ms)) {
    /* A target starts a run only once, however many of these orders arrive. */
    send_start (dag, task, now_ms);
    return;
  }
  if (result == DAG_ORDER_LOST) {
    /* The run may be at work: the next inventory tells. If it lacks the run, the run is stopped. */
    task->start_lost_at = now_ms;
    target->probe_wanted = true;
    return;
  }
  if (task->starts_unanswered > 0) {
    /* Whatever the answer to the last order, an earlier one without an answer may have started the
       run or may still do so. The run is stopped before the task can start elsewhere. */
    dag_run_stop_with_gang (dag, task, now_ms);
    return;
  }
  handle_refused_start (dag, task, result, same_incarnation, now_ms);
}

void
dag_handle_stop_result (DagState *dag, const DagTaskRef *ref, int64_t run, DagOrderResult result,
                        int64_t now_ms)
{
  DagTask *task = dag_find_task (dag, ref);
  if (result == DAG_ORDER_FENCED) {
    dag_depose (dag);
    return;
  }
  if (!task || task->run != run || task->state != TASK_STOPPING)
    return;
  task->stop_in_flight = false;
  if (task->stop_outdated) {
    task->stop_outdated = false;
    send_stop (dag, task);
    return;
  }
  if (result == DAG_ORDER_GONE && task->stop_address_serial == task->target->address_serial) {
    task->target->listed = false;
    dag_crash_handle (dag, task->target, "another target answered", now_ms);
    return;
  }
  if (result != DAG_ORDER_OK && result != DAG_ORDER_OLD) {
    task->stop_retry_at = now_ms + STOP_RETRY_MS;
    return;
  }
  task->stop_acked_at = now_ms;
  task->stop_acked_token = dag->next_token;
  task->target->probe_wanted = true;
}

/* True if the run has made no progress for too long and its target has answered at least
   STALL_MIN_MS after the last progress. */
static bool
is_stalled (const DagTask *task, int64_t now_ms)
{
  /* A best-effort run may get no cpu time at all. */
  if (task->state != TASK_RUNNING || task->percent >= 100 || task->step->spec.best_effort_cpu)
    return false;
  double limit = dag_stall_run (task) * STALL_SHARE;
  if (limit < STALL_MIN_MS)
    limit = STALL_MIN_MS;
  return (double) (now_ms - task->percent_at) > limit
         && task->target->clock_at >= task->percent_at + STALL_MIN_MS;
}

static void
tick_task (DagState *dag, DagTask *task, int64_t now_ms)
{
  if (task->state == TASK_STOPPING) {
    if (!task->stop_in_flight && task->stop_acked_at == 0 && now_ms >= task->stop_retry_at)
      send_stop (dag, task);
    else if (task->stop_acked_at > 0 && now_ms - task->stop_acked_at > dag->options.stop_timeout_ms)
      task->target->probe_wanted = true;
    return;
  }
  dag_crash_watch (task, now_ms);
  DagStep *step = task->step;
  if (step->gang_stop_at > 0 && now_ms >= step->gang_stop_at)
    stop_gang (dag, step, now_ms);
  else if (is_stalled (task, now_ms)) {
    DAG_LOG (dag, GR_EV_REFUSED,
             "id=%.*s step=%u index=%u run=%lld target=%.*s reason=stands-still percent=%d "
             "since_ms=%lld running_ms=%lld estimate_ms=%lld",
             GR_NAME_ARG (step->job->id), step->number, task->index, (long long) task->run,
             GR_NAME_ARG (task->target->info.id), task->percent,
             (long long) (now_ms - task->percent_at), (long long) (now_ms - task->confirmed_at),
             (long long) step->spec.estimate_ms);
    dag_target_avoid (dag, task->target, "no progress", now_ms);
    dag_run_stop_with_gang (dag, task, now_ms);
  }
}

void
dag_runs_tick (DagState *dag, int64_t now_ms)
{
  for (size_t i = 0; i < dag->target_list.count; i++) {
    DagTarget *target = dag->target_list.items[i];
    DagTask *next;
    for (DagTask *task = target->runs; task; task = next) {
      next = task->target_next;
      tick_task (dag, task, now_ms);
      /* Stopping a gang may have removed the next run from the list. */
      if (next && next->target != target)
        next = target->runs;
    }
  }
}

void
dag_runs_start_unstored (DagState *dag, int64_t now_ms)
{
  for (size_t i = 0; i < dag->target_list.count; i++) {
    DagTarget *target = dag->target_list.items[i];
    DagTask *next;
    for (DagTask *task = target->runs; task; task = next) {
      next = task->target_next;
      if (task->state == TASK_ASSIGNED)
        dag_run_start (dag, task, now_ms);
      if (next && next->target != target)
        next = target->runs;
    }
  }
}
