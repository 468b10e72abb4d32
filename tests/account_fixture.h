/* Jobs of client accounts on the fixture of step jobs. */
#pragma once

#include "dag_fixture.h"

#include "dag/dag_priv.h"

#define CPU 1000
#define NO_LIMIT 0

typedef struct {
  const char *name;
  double weight;
  int32_t cpu, memory; /* maximum */
} Account;

HELPER void
set_accounts (Fixture *fixture, const Account *accounts, size_t count)
{
  DagAccount list[8] = { 0 };
  for (size_t i = 0; i < count; i++) {
    list[i].name = gr_name (accounts[i].name);
    list[i].weight = accounts[i].weight;
    list[i].maximum.v[GR_RES_CPU_MILLI] = accounts[i].cpu;
    list[i].maximum.v[GR_RES_MEMORY_MB] = accounts[i].memory;
  }
  dag_set_accounts (fixture->dag, &(DagAccounts){ list, count }, fixture->now_ms);
}

HELPER DagSubmitResult
submit_for (Fixture *fixture, const char *account, const char *id, const DagStepSpec *step,
            int64_t *retry_after_ms)
{
  DagJobSpec spec = { .id = gr_name (id),
                      .queue = gr_name ("q"),
                      .payload = GR_STR ("work"),
                      .steps = step,
                      .step_count = 1 };
  if (account)
    spec.account = gr_name (account);
  return dag_submit (fixture->dag, &spec, 1, fixture->now_ms, retry_after_ms, NULL);
}

HELPER void
submit_ok (Fixture *fixture, const char *account, const char *id, const DagStepSpec *step)
{
  int64_t retry;
  assert_int_equal (submit_for (fixture, account, id, step, &retry), DAG_SUBMIT_PENDING);
}

/* Runs a placement pass and stores its assignments; returns the starts and drops all commands. */
HELPER size_t
place (Fixture *fixture)
{
  fixture->now_ms += 100;
  dag_tick (fixture->dag, fixture->now_ms);
  store (fixture);
  size_t starts = count_cmds (fixture, DAG_CMD_START);
  dag_cmds_reset (fixture->dag);
  return starts;
}

HELPER void
report_end (Fixture *fixture, DagTaskRef task, int64_t run, int64_t number)
{
  const DagTarget *target = dag_find_task (fixture->dag, &task)->target;
  int64_t token = target->holds[target->hold_count - 1].token;
  DagEnd end = { .number = number, .task = task, .run = run, .kind = DAG_END_DONE };
  DagRunReport reports[64];
  size_t count = 0;
  for (const DagTask *other = target->runs; other; other = other->target_next) {
    DagTaskRef ref = dag_task_ref (other);
    if (ref.index != task.index || !gr_name_equal (&ref.job, &task.job))
      reports[count++] = (DagRunReport){ .task = ref, .run = other->run };
  }
  DagInventory inventory = { .incarnation = 1,
                             .clock_ms = fixture->now_ms,
                             .running = reports,
                             .running_count = count,
                             .ends = &end,
                             .end_count = 1 };
  dag_handle_hold_result (fixture->dag, &target->info.id, token, DAG_ORDER_OK, &inventory,
                          fixture->now_ms);
}

/* Confirms all runs, so that their targets are asked for their ends. */
HELPER void
confirm_runs (Fixture *fixture)
{
  for (size_t t = 0; t < fixture->dag->target_list.count; t++) {
    for (DagTask *task = fixture->dag->target_list.items[t]->runs; task; task = task->target_next) {
      DagTaskRef ref = dag_task_ref (task);
      dag_handle_start_result (fixture->dag, &ref, task->run, DAG_ORDER_OK, fixture->now_ms,
                               fixture->now_ms);
    }
  }
  fixture->now_ms += 100;
  dag_tick (fixture->dag, fixture->now_ms);
}
