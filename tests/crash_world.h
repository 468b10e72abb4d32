/* A small cell for tests of the step job scheduler: targets that run tasks, crash and come back,
   and a durable store from which a scheduler of a later term recovers. Orders arrive at once; time
   passes in steps of STEP_MS. Some tasks, the culprits, crash each target that starts them. */
#pragma once

#include "crash_world_targets.h"

/* Whether an order to a target that is not there finds nobody listening or reaches another one. */
WORLD_HELPER DagOrderResult
result_of_missing (const World *world, const DagCmd *cmd)
{
  int vm = atoi (cmd->target.target.data + 1);
  if (world_is_cut (world, &world->targets[vm]))
    return DAG_ORDER_LOST;
  bool next_life = world->targets[vm].up_at == 0;
  if (world->options.address_reused && next_life)
    return DAG_ORDER_GONE;
  return cmd->type == DAG_CMD_HOLD ? DAG_ORDER_CLOSED : DAG_ORDER_LOST;
}

WORLD_HELPER GrRes
world_used (const World *world, const WorldTarget *target)
{
  GrRes used = { 0 };
  for (int r = 0; r < target->run_count; r++)
    used.v[GR_RES_CPU_MILLI] += job_cpu (world, job_number (&target->runs[r].task.job));
  return used;
}

WORLD_HELPER void
world_handle_start (World *world, const DagCmd *cmd)
{
  int number = world_find_target (world, &cmd->target.target);
  WorldTarget *target = number < 0 ? NULL : &world->targets[number];
  const DagTaskRef *ref = &cmd->u.start.task;
  if (!world_answers (world, target)) {
    dag_handle_start_result (world->dag, ref, cmd->u.start.run, result_of_missing (world, cmd), 0,
                             world->now);
    return;
  }
  if (target->lease < cmd->u.start.lease_until)
    target->lease = cmd->u.start.lease_until;
  for (int r = 0; r < target->run_count; r++) {
    if (gr_name_equal (&target->runs[r].task.job, &ref->job)
        && target->runs[r].task.index == ref->index) {
      dag_handle_start_result (world->dag, ref, cmd->u.start.run, DAG_ORDER_OK,
                               target_clock (world, target), world->now);
      return;
    }
  }
  WorldTask *task = world_task (world, ref);
  bool culprit = is_culprit (world, job_number (&ref->job), ref->index);
  task->starts_after_third += task->crashes >= 3;
  if (task->done && !world->options.long_running && world->options.occurrences == 0)
    world->violation = "start of a task that is done";
  assert_true (target->run_count < MAX_RUNS);
  bool ends = !world->options.gang && !world->options.long_running;
  target->runs[target->run_count++]
      = (WorldRun){ .task = *ref,
                    .run = cmd->u.start.run,
                    .started_at = world->now,
                    .ends_at
                    = ends ? world->now + job_duration_ms (world, job_number (&ref->job)) : 0 };
  GrRes used = world_used (world, target);
  world->overloads += !gr_res_fits (&used, &target->capacity);
  if (culprit && world->options.notice_ms > 0) {
    DagTargetInfo info = world_target_info (world, number);
    info.draining = true;
    info.remaining_ms = world->options.notice_ms;
    dag_target_seen (world->dag, &info, world->now);
  }
  bool crashes_at_once = culprit && world->options.crash_after_ms == 0 && !world->options.gang;
  if (crashes_at_once)
    world_crash (world, number);
  if (world->cuts_left > 0 && job_number (&ref->job) == 0 && ref->index == 0) {
    world->cuts_left--;
    target->cut_until = world->now + STEP_MS + world->options.cut_ms;
    target->crashes_idle = true;
  }
  if (crashes_at_once && world->options.no_answer)
    dag_handle_start_result (world->dag, ref, cmd->u.start.run, DAG_ORDER_CLOSED, 0, world->now);
  else
    dag_handle_start_result (world->dag, ref, cmd->u.start.run, DAG_ORDER_OK,
                             target_clock (world, target), world->now);
}

WORLD_HELPER void
world_handle_stop (World *world, const DagCmd *cmd)
{
  int number = world_find_target (world, &cmd->target.target);
  WorldTarget *target = number < 0 ? NULL : &world->targets[number];
  DagOrderResult result = DAG_ORDER_OK;
  if (!world_answers (world, target))
    result = result_of_missing (world, cmd);
  for (int r = 0; result == DAG_ORDER_OK && r < target->run_count; r++) {
    if (gr_name_equal (&target->runs[r].task.job, &cmd->u.stop.task.job)
        && target->runs[r].task.index == cmd->u.stop.task.index) {
      world_end_run (world, target, r, DAG_END_STOPPED);
      break;
    }
  }
  dag_handle_stop_result (world->dag, &cmd->u.stop.task, cmd->u.stop.run, result, world->now);
}

static void
answer_hold (World *world, WorldTarget *target, int64_t token)
{
  DagRunReport reports[MAX_RUNS];
  for (int r = 0; r < target->run_count; r++) {
    bool at_work = world->options.long_running;
    int64_t passed = (world->now - target->runs[r].started_at) / STEP_MS;
    reports[r] = (DagRunReport){ .task = target->runs[r].task,
                                 .run = target->runs[r].run,
                                 .percent = at_work ? 100 : (int32_t) (passed % 99),
                                 .usage = -1 };
  }
  DagInventory inventory = { .incarnation = target->incarnation,
                             .clock_ms = target_clock (world, target),
                             .running = reports,
                             .running_count = (size_t) target->run_count,
                             .ends = target->ends,
                             .end_count = (size_t) target->end_count };
  dag_handle_hold_result (world->dag, &target->id, token, DAG_ORDER_OK, &inventory, world->now);
}

static void
answer_poll (World *world, WorldTarget *target, DagOrderResult result)
{
  int64_t token = target->poll_token;
  target->poll_token = 0;
  if (token == 0)
    return;
  if (result == DAG_ORDER_OK)
    answer_hold (world, target, token);
  else
    dag_handle_hold_result (world->dag, &target->id, token, result, NULL, world->now);
}

WORLD_HELPER void
world_handle_hold (World *world, const DagCmd *cmd)
{
  int number = world_find_target (world, &cmd->target.target);
  WorldTarget *target = number < 0 ? NULL : &world->targets[number];
  if (!world_answers (world, target)) {
    dag_handle_hold_result (world->dag, &cmd->target.target, cmd->u.hold.token,
                            result_of_missing (world, cmd), NULL, world->now);
    return;
  }
  if (target->lease < cmd->u.hold.lease_until)
    target->lease = cmd->u.hold.lease_until;
  int kept = 0;
  for (int e = 0; e < target->end_count; e++) {
    const DagEnd *end = &target->ends[e];
    if (end->number > cmd->u.hold.acknowledged)
      target->ends[kept++] = *end;
    else if (end->kind == DAG_END_DONE)
      world_task (world, &end->task)->done = true;
  }
  target->end_count = kept;
  if (cmd->u.hold.wait_ms > 0 && kept == 0) {
    answer_poll (world, target, DAG_ORDER_OK);
    target->poll_token = cmd->u.hold.token;
    target->poll_due = world->now + cmd->u.hold.wait_ms;
    return;
  }
  answer_hold (world, target, cmd->u.hold.token);
}

WORLD_HELPER void
world_take_advice (World *world, const DagCmd *cmd)
{
  assert_true (world->advice_count < MAX_JOBS);
  size_t at = world->advice_count++;
  world->advice[at].due = world->now + cmd->u.advise.expected_ms;
  world->advice[at].token = cmd->u.advise.token;
  world->advice[at].job = cmd->u.advise.job;
  world->advice[at].step = cmd->u.advise.step;
  world->advice[at].allowed = gr_calloc (cmd->u.advise.count, sizeof (DagAllowed));
  world->advice[at].count = 0;
  for (size_t i = 0; i < cmd->u.advise.count; i++) {
    /* Two targets in three are allowed. */
    int number = world_find_target (world, &cmd->u.advise.targets[i]);
    if (number >= 0 && (number + job_number (&cmd->u.advise.job)) % 3 != 0)
      world->advice[at].allowed[world->advice[at].count++]
          = (DagAllowed){ .target = cmd->u.advise.targets[i], .ticket = "t" };
  }
}

WORLD_HELPER void
world_run_commands (World *world)
{
  while (dag_cmds (world->dag)->count > 0) {
    size_t count = dag_cmds (world->dag)->count;
    DagCmd *cmds = gr_calloc (count, sizeof *cmds);
    memcpy (cmds, dag_cmds (world->dag)->items, count * sizeof *cmds);
    for (size_t i = 0; i < count; i++) {
      if (cmds[i].type == DAG_CMD_ADVISE)
        world_take_advice (world, &cmds[i]);
    }
    dag_cmds_reset (world->dag);
    for (size_t i = 0; i < count; i++) {
      switch (cmds[i].type) {
      case DAG_CMD_START:
        world_handle_start (world, &cmds[i]);
        break;
      case DAG_CMD_STOP:
        world_handle_stop (world, &cmds[i]);
        break;
      case DAG_CMD_HOLD:
        world_handle_hold (world, &cmds[i]);
        break;
      case DAG_CMD_ACCEPTED:
      case DAG_CMD_CANCELLED:
      case DAG_CMD_PACE:
      case DAG_CMD_ADVISE:
      case DAG_CMD_DEPOSED:
        break;
      }
    }
    free (cmds);
  }
}

WORLD_HELPER void
world_put (World *world, const DagRecord *record)
{
  for (size_t i = 0; i < world->record_count; i++) {
    if (!gr_str_equal (gr_buf_str (&world->keys[i]), gr_buf_str (&record->key)))
      continue;
    gr_buf_clear (&world->values[i]);
    gr_buf_append_str (&world->values[i], gr_buf_str (&record->value));
    return;
  }
  assert_true (world->record_count < MAX_RECORDS);
  gr_buf_append_str (&world->keys[world->record_count], gr_buf_str (&record->key));
  gr_buf_append_str (&world->values[world->record_count], gr_buf_str (&record->value));
  world->record_count++;
}

/* Takes a batch if none is in flight. It is durable at once; the answer takes a step or longer. */
WORLD_HELPER void
world_store (World *world)
{
  if (world->open_batch > 0 && world->now >= world->append_due) {
    int64_t batch = world->open_batch;
    world->open_batch = 0;
    dag_stored (world->dag, batch, world->now);
  }
  if (world->open_batch > 0 || world->now < world->store_away_until)
    return;
  dag_records_clear (&world->open_records);
  world->open_batch = dag_take_batch (world->dag, &world->open_records);
  if (world->open_batch == 0)
    return;
  for (size_t i = 0; i < world->open_records.count; i++)
    world_put (world, &world->open_records.items[i]);
  world->append_due = world->now + (world->delay_append ? 1000 : STEP_MS);
  world->delay_append = false;
}

WORLD_HELPER void
world_send_job (World *world, int number)
{
  const WorldOptions *options = &world->options;
  DagStepSpec step = { .count = options->tasks,
                       .estimate_ms = job_duration_ms (world, number),
                       .gang = options->gang,
                       .long_running = options->long_running };
  step.demand.v[GR_RES_CPU_MILLI] = job_cpu (world, number);
  DagJobSpec spec = { .id = gr_name_format ("j%d", number),
                      .queue = gr_name (is_other (world, number) ? "other" : "q"),
                      .payload = GR_STR ("work"),
                      .steps = &step,
                      .step_count = 1 };
  spec.timetable = (DagTimetable){ .count = options->occurrences,
                                   .start_at_unix_ms = options->occurrences ? world->now : 0,
                                   .interval_ms = 500 };
  int64_t retry;
  GrErr err = { 0 };
  assert_int_equal (dag_submit (world->dag, &spec, 1, world->now, &retry, &err),
                    DAG_SUBMIT_PENDING);
}

/* Sends the jobs that are due, and again those that a change of leader has lost. */
WORLD_HELPER void
world_submit (World *world)
{
  const WorldOptions *options = &world->options;
  for (int j = 0; j < world->submitted; j++) {
    GrName id = gr_name_format ("j%d", j);
    if (dag_status (world->dag, &id) == DAG_JOB_UNKNOWN)
      world_send_job (world, j);
  }
  while (world->submitted < options->jobs
         && world->now >= 100000 + world->submitted * options->arrival_ms)
    world_send_job (world, world->submitted++);
}

/* Starts gangs that are complete and ends members that have waited for too long. */
WORLD_HELPER void
world_check_gangs (World *world)
{
  for (int i = 0; i < world->options.targets; i++) {
    WorldTarget *target = &world->targets[i];
    for (int r = target->run_count; r-- > 0;) {
      WorldRun run = target->runs[r];
      if (run.ends_at > 0)
        continue;
      WorldRun *members[MAX_TASKS];
      int count = 0;
      for (int t = 0; t < world->options.targets; t++) {
        WorldTarget *other = &world->targets[t];
        for (int o = 0; o < other->run_count; o++) {
          if (gr_name_equal (&other->runs[o].task.job, &run.task.job)
              && other->runs[o].run == run.run)
            members[count++] = &other->runs[o];
        }
      }
      bool complete = count == world->options.tasks
                      && world->now - run.started_at >= world->options.slow_start_ms;
      for (int m = 0; complete && m < count; m++)
        members[m]->ends_at = world->now + world->options.duration_ms;
      if (count < world->options.tasks && world->now - run.started_at >= GANG_TIMEOUT_MS) {
        world_end_run (world, target, r, DAG_END_ALONE);
        r = r < target->run_count ? r : target->run_count;
      }
    }
  }
}

/* A member of a gang works, and crashes its target, once the gang is complete. */
WORLD_HELPER bool
crashes_now (const World *world, const WorldRun *run)
{
  const WorldOptions *options = &world->options;
  if (!is_culprit (world, job_number (&run->task.job), run->task.index)
      || (options->gang && run->ends_at == 0))
    return false;
  int64_t works_since = options->gang ? run->ends_at - options->duration_ms : run->started_at;
  return world->now - works_since >= options->crash_after_ms;
}

WORLD_HELPER void
world_run_target (World *world, int number)
{
  WorldTarget *target = &world->targets[number];
  if (target->up_at > 0) {
    if (world->now >= target->up_at)
      world_boot (world, number);
    return;
  }
  if (target->run_count > 0)
    target->idle_since = world->now;
  if (target->crashes_idle && world->now - target->idle_since >= world->options.idle_ms) {
    world_crash (world, number);
    return;
  }
  bool ended = false;
  for (int r = target->run_count; r-- > 0;) {
    WorldRun run = target->runs[r];
    if (crashes_now (world, &run)) {
      world_crash (world, number);
      return;
    }
    DagEndKind kind = target_clock (world, target) > target->lease ? DAG_END_LAPSED : DAG_END_DONE;
    if (kind == DAG_END_DONE && (run.ends_at == 0 || world->now < run.ends_at))
      continue;
    ended = true;
    if (world->options.gang) {
      world_break_gang (world, &run, kind);
      r = r < target->run_count ? r : target->run_count;
    } else {
      world_end_run (world, target, r, kind);
    }
  }
  if (target->poll_token > 0 && (ended || world->now >= target->poll_due)
      && !world_is_cut (world, target))
    answer_poll (world, target, DAG_ORDER_OK);
}

WORLD_HELPER void
world_report_targets (World *world)
{
  for (int i = 0; i < world->options.targets; i++) {
    WorldTarget *target = &world->targets[i];
    if (target->up_at > 0 || world->now < target->beat_at || world_is_cut (world, target))
      continue;
    target->beat_at = world->now + BEAT_MS;
    DagTargetInfo info = world_target_info (world, i);
    dag_target_seen (world->dag, &info, world->now);
  }
}

WORLD_HELPER void
world_deliver_advice (World *world)
{
  for (size_t i = world->advice_count; i-- > 0;) {
    if (world->now < world->advice[i].due)
      continue;
    dag_handle_advice (world->dag, &world->advice[i].job, world->advice[i].step,
                       world->advice[i].token, true, world->advice[i].allowed,
                       world->advice[i].count, 0, world->now);
    free (world->advice[i].allowed);
    world->advice[i] = world->advice[--world->advice_count];
  }
}

WORLD_HELPER void
world_step (World *world)
{
  const WorldOptions *options = &world->options;
  world->now += STEP_MS;
  int64_t passed = world->now - 100000;
  bool may_take_over = options->takeover_until_ms == 0 || passed <= options->takeover_until_ms;
  if (options->takeover_ms > 0 && passed % options->takeover_ms == 0 && may_take_over
      && world->now >= world->store_away_until)
    world_scheduler (world);
  if (options->self_crash_ms > 0 && passed % options->self_crash_ms == 0)
    world_crash (world, 0);
  world_submit (world);
  world_report_targets (world);
  world_deliver_advice (world);
  if (options->gang)
    world_check_gangs (world);
  for (int i = 0; i < options->targets; i++)
    world_run_target (world, i);
  dag_tick (world->dag, world->now);
  world_run_commands (world);
  world_store (world);
  world_run_commands (world);
}

/* Lets the test's time pass and counts how the jobs ended. */
WORLD_HELPER void
world_run (World *world)
{
  int64_t end = world->now + world->options.run_ms;
  while (world->now < end)
    world_step (world);
  for (int j = 0; j < world->submitted; j++) {
    GrName id = gr_name_format ("j%d", j);
    DagJobState state = dag_status (world->dag, &id);
    world->completed += state == DAG_JOB_COMPLETED;
    if (state != DAG_JOB_FAILED)
      continue;
    if (is_culprit_job (world, j))
      world->failed_culprits++;
    else
      world->failed_innocents++;
  }
}

/* Of all culprits, the most crashes and the most starts after the third one. */
WORLD_HELPER WorldTask
world_worst (const World *world)
{
  WorldTask worst = { 0 };
  for (int j = 0; j < MAX_JOBS; j++) {
    for (int t = 0; t < MAX_TASKS; t++) {
      const WorldTask *task = &world->tasks[j][t];
      if (task->crashes > worst.crashes)
        worst.crashes = task->crashes;
      if (task->starts_after_third > worst.starts_after_third)
        worst.starts_after_third = task->starts_after_third;
    }
  }
  return worst;
}
