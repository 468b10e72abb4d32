/* A scheduler of step jobs with targets t0, t1, ... for tests: commands are answered by the tests,
   time is simulated. */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "dag/dag.h"

/* Not every test program uses all helpers. */
#define HELPER __attribute__ ((unused)) static

#define LEASE_MS 4000

typedef struct {
  DagState *dag;
  int64_t now_ms;
  int64_t stored; /* batches stored */
} Fixture;

HELPER DagTargetInfo
target_info (int number)
{
  DagTargetInfo info = { .id = gr_name_format ("t%d", number),
                         .incarnation = 1,
                         .service = gr_name ("svc"),
                         .address = gr_name ("addr"),
                         .rack = gr_name_format ("r%d", number / 8) };
  info.capacity.v[GR_RES_CPU_MILLI] = 32000;
  info.capacity.v[GR_RES_MEMORY_MB] = 64000;
  return info;
}

/* Of a scheduler whose tokens are higher than first_token. */
HELPER Fixture
new_fixture_of_term (int64_t first_token, bool advised, double advice_ms, double per_target_ms)
{
  DagOptions options = { .lease_ms = LEASE_MS,
                         .lease_max_ms = 2 * LEASE_MS,
                         .stop_timeout_ms = 200,
                         .status_keep_ms = 60000,
                         .first_token = first_token,
                         .quiet = true };
  Fixture fixture = { dag_new (&options, NULL), 100000, 0 };
  DagQueue queue = { .name = gr_name ("q"),
                     .service = gr_name ("svc"),
                     .max_attempts = 2,
                     .slack_factor = 2,
                     .target_latency_ms = 1000,
                     .advised = advised,
                     .advice_ms = advice_ms,
                     .advice_ms_per_target = per_target_ms,
                     .advice_valid_ms = 2500 };
  DagQueues queues = { &queue, 1 };
  dag_set_queues (fixture.dag, &queues, fixture.now_ms);
  dag_loaded (fixture.dag, fixture.now_ms);
  return fixture;
}

HELPER Fixture
new_fixture (bool advised, double advice_ms, double per_target_ms)
{
  return new_fixture_of_term (0, advised, advice_ms, per_target_ms);
}

/* Answers all pending holds with an empty inventory, or not at all; drops the other commands.
   Returns the number of holds that renewed a lease. */
HELPER int
answer_holds (Fixture *fixture, bool answer)
{
  int leases = 0;
  const DagCmds *cmds = dag_cmds (fixture->dag);
  size_t count = cmds->count;
  DagCmd *copy = gr_calloc (count ? count : 1, sizeof *copy);
  memcpy (copy, cmds->items, count * sizeof *copy);
  dag_cmds_reset (fixture->dag);
  for (size_t i = 0; i < count; i++) {
    if (copy[i].type != DAG_CMD_HOLD)
      continue;
    leases += copy[i].u.hold.lease_until > 0;
    DagInventory inventory = { .incarnation = 1, .clock_ms = fixture->now_ms };
    dag_handle_hold_result (fixture->dag, &copy[i].target.target, copy[i].u.hold.token,
                            answer ? DAG_ORDER_OK : DAG_ORDER_LOST, answer ? &inventory : NULL,
                            fixture->now_ms);
  }
  free (copy);
  return leases;
}

HELPER void
add_targets (Fixture *fixture, int count)
{
  for (int i = 0; i < count; i++) {
    DagTargetInfo info = target_info (i);
    dag_target_seen (fixture->dag, &info, fixture->now_ms);
  }
  answer_holds (fixture, true);
}

HELPER DagSubmitResult
submit_as (Fixture *fixture, const char *id, const DagStepSpec *steps, size_t count, GrErr *err)
{
  DagJobSpec spec = { .id = gr_name (id),
                      .queue = gr_name ("q"),
                      .payload = GR_STR ("work"),
                      .steps = steps,
                      .step_count = count };
  int64_t retry;
  return dag_submit (fixture->dag, &spec, 1, fixture->now_ms, &retry, err);
}

HELPER DagSubmitResult
submit (Fixture *fixture, const DagStepSpec *steps, size_t count, GrErr *err)
{
  return submit_as (fixture, "job", steps, count, err);
}

/* Takes a batch, if there is one, and reports it as stored. */
HELPER void
store (Fixture *fixture)
{
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (fixture->dag, &records);
  dag_records_clear (&records);
  if (batch > 0)
    dag_stored (fixture->dag, batch, fixture->now_ms);
}

/* Moves the pending commands to cmds and returns their number. */
HELPER size_t
take_cmds (DagState *dag, DagCmd *cmds, size_t max)
{
  size_t count = dag_cmds (dag)->count;
  assert_true (count <= max);
  memcpy (cmds, dag_cmds (dag)->items, count * sizeof *cmds);
  dag_cmds_reset (dag);
  return count;
}

HELPER size_t
count_cmds (const Fixture *fixture, DagCmdType type)
{
  size_t count = 0;
  for (size_t i = 0; i < dag_cmds (fixture->dag)->count; i++)
    count += dag_cmds (fixture->dag)->items[i].type == type;
  return count;
}

HELPER DagStepSpec
step_of (int32_t count, int32_t cpu, bool gang)
{
  DagStepSpec step = { .count = count, .estimate_ms = 1000, .gang = gang };
  step.demand.v[GR_RES_CPU_MILLI] = cpu;
  return step;
}

/* One target, and a pending command that starts task 0 of step 0 of "job" on it. */
HELPER Fixture
fixture_with_start (void)
{
  Fixture fixture = new_fixture (false, 0, 0);
  add_targets (&fixture, 1);
  DagStepSpec step = step_of (1, 1000, false);
  GrErr err = { 0 };
  submit (&fixture, &step, 1, &err);
  dag_tick (fixture.dag, fixture.now_ms);
  store (&fixture);
  return fixture;
}

/* Answers the first pending start with the result and drops the other commands; returns how many
   starts were pending. */
HELPER size_t
answer_start (Fixture *fixture, DagOrderResult result)
{
  size_t starts = count_cmds (fixture, DAG_CMD_START);
  DagCmd first = { 0 };
  for (size_t i = 0; i < dag_cmds (fixture->dag)->count && first.type != DAG_CMD_START; i++)
    first = dag_cmds (fixture->dag)->items[i];
  dag_cmds_reset (fixture->dag);
  if (starts > 0)
    dag_handle_start_result (fixture->dag, &first.u.start.task, first.u.start.run, result, 0,
                             fixture->now_ms);
  return starts;
}

/* Reports an inventory of target t0 that lists task 0 of step 0 of "job" as running, or nothing.
   The holds before are taken as answered, other commands are dropped. */
HELPER void
report_inventory (Fixture *fixture, bool running, int64_t run, int32_t percent)
{
  fixture->now_ms += 20;
  dag_tick (fixture->dag, fixture->now_ms);
  const DagCmds *cmds = dag_cmds (fixture->dag);
  DagCmd hold = { 0 };
  for (size_t i = 0; i < cmds->count; i++) {
    if (cmds->items[i].type == DAG_CMD_HOLD)
      hold = cmds->items[i];
  }
  assert_int_equal (hold.type, DAG_CMD_HOLD);
  dag_cmds_reset (fixture->dag);
  DagRunReport report = { .task = { gr_name ("job"), 0, 0 }, .run = run, .percent = percent };
  DagInventory inventory = {
    .incarnation = 1, .clock_ms = fixture->now_ms, .running = &report, .running_count = running
  };
  dag_handle_hold_result (fixture->dag, &hold.target.target, hold.u.hold.token, DAG_ORDER_OK,
                          &inventory, fixture->now_ms);
}
