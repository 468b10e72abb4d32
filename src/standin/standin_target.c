#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "standin/standin_answer.h"
#include "standin/standin_target.h"

/* Run time of a task on a target that fails every task. */
#define FAIL_ALL_RUN_MS 20
/* A start without a run time, such as that of a service, runs until it is stopped or its lease
   expires. */
#define UNBOUNDED_RUN_MS (INT64_C (1) << 40)

static size_t
task_key (const GrName *id, int32_t attempt, char *out, size_t size)
{
  return (size_t) snprintf (out, size, "%.*s#%d", GR_NAME_ARG (*id), attempt);
}

StandinTask *
standin_task_find (StandinTarget *target, const GrName *id, int32_t attempt)
{
  char key[GR_NAME_MAX + 16];
  size_t len = task_key (id, attempt, key, sizeof key);
  StandinTask *task = NULL;
  HASH_FIND (hh, target->tasks, key, len, task);
  return task;
}

static StandinTask *
add_task (StandinTarget *target, const GrName *id, int32_t attempt)
{
  StandinTask *task = gr_calloc (1, sizeof *task);
  task->target = target;
  task->id = *id;
  task->attempt = attempt;
  size_t len = task_key (id, attempt, task->key, sizeof task->key);
  HASH_ADD (hh, target->tasks, key, (unsigned) len, task);
  return task;
}

static void
free_task (StandinTask *task)
{
  gr_buf_clear (&task->answer);
  free (task);
}

static void
on_task_timer_closed (uv_handle_t *handle)
{
  free_task (handle->data);
}

static void
remove_task (StandinTask *task)
{
  HASH_DEL (task->target->tasks, task);
  if (task->timer_open)
    uv_close ((uv_handle_t *) &task->timer, on_task_timer_closed);
  else
    free_task (task);
}

static void
mark_changed (StandinTask *task)
{
  task->seq = task->target->seq + 1;
  standin_target_changed (task->target);
}

static void
end_task (StandinTask *task, StandinTaskState state)
{
  StandinTarget *target = task->target;
  uv_timer_stop (&task->timer);
  task->state = state;
  task->ended_ms = standin_now ();
  gr_res_sub (&target->demanded, &task->demand);
  gr_res_sub (&target->used, &task->use);
  DL_DELETE (target->running, task);
  DL_APPEND (target->ended, task);
  if (state != STANDIN_SUCCEEDED)
    gr_buf_clear (&task->answer);
  standin_records_end (target->standin->records, &task->id, task->attempt, &target->vm.id, state);
  mark_changed (task);
}

static void on_task_timer (uv_timer_t *timer);

static void
arm_timer (StandinTask *task)
{
  int64_t due
      = task->run_until_ms < task->lease_until_ms ? task->run_until_ms : task->lease_until_ms;
  int64_t use_at = task->started_ms + STANDIN_USE_DELAY_MS;
  if (!task->use_reported && use_at < due)
    due = use_at;
  int64_t left = due - standin_now ();
  uv_update_time (task->target->standin->loop);
  uv_timer_start (&task->timer, on_task_timer, left > 0 ? (uint64_t) left : 0, 0);
}

static void
on_task_timer (uv_timer_t *timer)
{
  StandinTask *task = timer->data;
  int64_t now = standin_now ();
  if (now >= task->run_until_ms && task->run_until_ms <= task->lease_until_ms) {
    end_task (task, task->fails ? STANDIN_FAILED : STANDIN_SUCCEEDED);
    return;
  }
  if (now >= task->lease_until_ms) {
    end_task (task, STANDIN_LAPSED);
    return;
  }
  if (!task->use_reported && now >= task->started_ms + STANDIN_USE_DELAY_MS) {
    task->use_reported = true;
    mark_changed (task);
  }
  arm_timer (task);
}

static bool
exceeds (const GrRes *sum, const GrRes *capacity)
{
  return !gr_res_fits (sum, capacity);
}

static void
launch (StandinTarget *target, const StandinStart *start)
{
  StandinTotals *totals = standin_records_totals (target->standin->records);
  StandinDirectives directives = standin_directives (start->payload);
  StandinTask *task = add_task (target, &start->id, start->attempt);
  task->state = STANDIN_RUNNING;
  task->demand = start->demand;
  task->use = start->demand;
  task->use.v[GR_RES_CPU_MILLI]
      = (int32_t) (start->demand.v[GR_RES_CPU_MILLI] * directives.use_pct / 100);
  task->use.v[GR_RES_MEMORY_MB]
      = (int32_t) (start->demand.v[GR_RES_MEMORY_MB] * directives.use_pct / 100);
  task->fails = directives.fail || target->fail_all;
  int64_t run_ms = directives.run_ms >= 0 ? directives.run_ms
                   : start->run_ms > 0    ? start->run_ms
                                          : UNBOUNDED_RUN_MS;
  if (target->fail_all)
    run_ms = FAIL_ALL_RUN_MS;
  task->started_ms = standin_now ();
  task->run_until_ms = task->started_ms + run_ms;
  task->lease_until_ms = start->lease_until_ms;
  standin_answer (&task->id, start->payload, &task->answer);
  gr_res_add (&target->demanded, &task->demand);
  gr_res_add (&target->used, &task->use);
  if (exceeds (&target->demanded, &target->vm.capacity))
    totals->overloaded++;
  if (exceeds (&target->used, &target->vm.capacity))
    totals->overused++;
  DL_APPEND (target->running, task);
  standin_records_start (target->standin->records, &task->id, task->attempt, &target->vm.id);
  uv_timer_init (target->standin->loop, &task->timer);
  task->timer.data = task;
  task->timer_open = true;
  arm_timer (task);
  mark_changed (task);
}

bool
standin_target_fence (StandinTarget *target, int64_t epoch)
{
  if (epoch < target->epoch)
    return false;
  if (epoch > target->epoch) {
    target->epoch = epoch;
    standin_target_refuse_stale_waiters (target);
  }
  return true;
}

StandinStartResult
standin_target_start (StandinTarget *target, const StandinStart *start)
{
  StandinTotals *totals = standin_records_totals (target->standin->records);
  const StandinTask *existing = standin_task_find (target, &start->id, start->attempt);
  if (existing)
    return existing->stopped_before_start ? STANDIN_START_STOPPED : STANDIN_START_DONE;
  int64_t now = standin_now ();
  if (target->leaving_since_ms > 0 && now > target->leaving_since_ms + STANDIN_LEAVING_GRACE_MS)
    totals->started_after_leaving++;
  if (!standin_target_fence (target, start->epoch)) {
    totals->refused_stale++;
    return STANDIN_START_STALE;
  }
  if (now > start->start_by_ms || now >= start->lease_until_ms) {
    totals->refused_late++;
    return STANDIN_START_LATE;
  }
  if (target->leaving) {
    totals->refused_leaving++;
    return STANDIN_START_LEAVING;
  }
  GrRes sum = target->demanded;
  gr_res_add (&sum, &start->demand);
  if (exceeds (&sum, &target->vm.capacity)) {
    totals->overcommit_refused++;
    if (!target->standin->options.accept_overcommit)
      return STANDIN_START_FULL;
  }
  launch (target, start);
  return STANDIN_START_DONE;
}

void
standin_target_lease (StandinTarget *target, const GrName *id, int32_t attempt,
                      int64_t lease_until_ms)
{
  StandinTask *task = standin_task_find (target, id, attempt);
  if (!task || task->state != STANDIN_RUNNING || lease_until_ms <= task->lease_until_ms)
    return;
  task->lease_until_ms = lease_until_ms;
  arm_timer (task);
}

void
standin_target_stop (StandinTarget *target, const GrName *id, int32_t attempt)
{
  StandinTask *task = standin_task_find (target, id, attempt);
  if (task) {
    if (task->state == STANDIN_RUNNING)
      end_task (task, STANDIN_STOPPED);
    return;
  }
  task = add_task (target, id, attempt);
  task->stopped_before_start = true;
  task->state = STANDIN_STOPPED;
  task->started_ms = task->ended_ms = standin_now ();
  DL_APPEND (target->ended, task);
  mark_changed (task);
}

static void
drop_ended (StandinTarget *target)
{
  while (target->ended) {
    StandinTask *task = target->ended;
    DL_DELETE (target->ended, task);
    remove_task (task);
  }
}

void
standin_target_kill (StandinTarget *target)
{
  while (target->running)
    end_task (target->running, STANDIN_KILLED);
  drop_ended (target);
}

void
standin_target_purge (StandinTarget *target, int64_t now_ms)
{
  while (target->ended && target->ended->ended_ms + STANDIN_ENDED_RETENTION_MS < now_ms) {
    StandinTask *task = target->ended;
    DL_DELETE (target->ended, task);
    remove_task (task);
  }
}
