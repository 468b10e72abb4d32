/* Runs a load on simulated targets in virtual time, under the scheduler or the baseline. */
#include <malloc.h>
#include <time.h>

#include "bench.h"

#define TICK_MS 50

typedef enum {
  EVENT_END,
  EVENT_CANCEL,
  EVENT_USAGE
} EventKind;

typedef struct {
  int64_t at_ms;
  int64_t order; /* of creation; breaks ties at the same at_ms */
  EventKind kind;
  int32_t task;
} Event;

typedef GR_LIST (Event) Events;

typedef struct {
  BenchCell *cell;
  BenchLoad *load;
  SchState *sch;
  SchCmds cmds;
  Events events; /* binary heap, earliest first */
  int64_t order;
  int64_t now_ms;
  int32_t *gang_held; /* parts that hold their reservation, by the gang's first task */
  /* baseline */
  int32_t *queue; /* task numbers */
  size_t queue_head, queue_tail;
  double used_sum[GR_RES_COUNT]; /* integral of used over the measured time in ms */
  int64_t used_from_ms;
  GrRes used;  /* demand of the running tasks */
  GrRes total; /* capacity of all targets */
  int64_t running;
  int64_t running_max;
} Run;

static bool
event_before (const Event *a, const Event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
push_event (Run *run, int64_t at_ms, EventKind kind, int32_t task)
{
  Event event = { at_ms, run->order++, kind, task };
  gr_list_push (&run->events, event);
  Event *items = run->events.items;
  size_t i = run->events.count - 1;
  while (i > 0 && event_before (&items[i], &items[(i - 1) / 2])) {
    Event swap = items[i];
    items[i] = items[(i - 1) / 2];
    items[(i - 1) / 2] = swap;
    i = (i - 1) / 2;
  }
}

static Event
pop_event (Run *run)
{
  Event *items = run->events.items;
  Event first = items[0];
  items[0] = items[--run->events.count];
  size_t count = run->events.count;
  for (size_t i = 0;;) {
    size_t least = i;
    for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < count; child++) {
      if (event_before (&items[child], &items[least]))
        least = child;
    }
    if (least == i)
      break;
    Event swap = items[i];
    items[i] = items[least];
    items[least] = swap;
    i = least;
  }
  return first;
}

/* Adds the use since the last call to used_sum. Called before each change of used. */
static void
accumulate_use (Run *run)
{
  int64_t from = run->used_from_ms > run->cell->measure_from_ms ? run->used_from_ms
                                                                : run->cell->measure_from_ms;
  int64_t to = run->now_ms < run->cell->measure_to_ms ? run->now_ms : run->cell->measure_to_ms;
  if (to > from) {
    for (int d = 0; d < GR_RES_COUNT; d++)
      run->used_sum[d] += (double) run->used.v[d] * (double) (to - from);
  }
  run->used_from_ms = run->now_ms;
}

static int32_t
task_number (const GrName *id)
{
  int64_t number = 0;
  GrStr text = gr_name_str (id);
  size_t slash = 0;
  while (slash < text.len && text.data[slash] != '/')
    slash++;
  if (slash < text.len)
    gr_str_to_int64 ((GrStr){ text.data + slash + 1, text.len - slash - 1 }, &number);
  return (int32_t) number;
}

static int32_t
target_number (const GrName *name)
{
  int64_t number = 0;
  gr_str_to_int64 ((GrStr){ name->data + 1, name->len - 1U }, &number);
  return (int32_t) number;
}

/* Returns the wait in ms until all parts of a gang, which arrives now, could run if nothing else
   started meanwhile. */
static int64_t
gang_bound (Run *run, int32_t first)
{
  const BenchLoad *load = run->load;
  const GrRes *part = &load->items[first].task.demand;
  int32_t need = load->items[first].task.policy.gang.tasks;
  int32_t count = run->cell->count;
  GrRes *left = gr_calloc ((size_t) count, sizeof *left);
  int32_t fits = 0;
  Run ends = { .order = 0 };
  for (int32_t i = 0; i < count; i++) {
    left[i] = run->cell->targets[i].free;
    while (gr_res_fits (part, &left[i])) {
      gr_res_sub (&left[i], part);
      fits++;
    }
  }
  for (size_t k = 0; k < run->events.count; k++) {
    const Event *event = &run->events.items[k];
    if (event->kind == EVENT_END)
      push_event (&ends, event->at_ms, EVENT_END, event->task);
  }
  int64_t at_ms = run->now_ms;
  while (fits < need && ends.events.count > 0) {
    Event event = pop_event (&ends);
    at_ms = event.at_ms;
    const BenchTask *task = &load->items[event.task];
    int32_t i = task->target;
    gr_res_add (&left[i], &task->task.demand);
    while (gr_res_fits (part, &left[i])) {
      gr_res_sub (&left[i], part);
      fits++;
    }
  }
  gr_list_clear (&ends.events);
  free (left);
  return at_ms - run->now_ms;
}

static void
start_task (Run *run, int32_t number, int32_t target)
{
  BenchTask *task = &run->load->items[number];
  BenchTarget *to = &run->cell->targets[target];
  accumulate_use (run);
  if (task->start_ms < 0)
    task->start_ms = run->now_ms;
  task->target = target;
  run->cell->starts++;
  run->running++;
  if (run->running > run->running_max)
    run->running_max = run->running;
  gr_res_add (&run->used, &task->task.demand);
  gr_res_sub (&to->free, &task->task.demand);
  gr_res_add (&to->used, &task->used);
  run->cell->use_samples++;
  run->cell->overloaded_samples += !gr_res_fits (&to->used, &to->capacity);
  bool faulty = run->now_ms >= to->faulty_from_ms && run->now_ms < to->faulty_to_ms;
  int64_t run_ms = faulty || task->faulty ? task->run_ms / 10 + 1 : task->run_ms;
  push_event (run, run->now_ms + run_ms, EVENT_END, number);
  if (run->cell->usage && run_ms > 1000)
    push_event (run, run->now_ms + 1000, EVENT_USAGE, number);
}

static void step (Run *run, const SchMsg *msg);

static void
execute_cmds (Run *run, size_t from)
{
  for (size_t k = from; k < run->cmds.count; k++) {
    SchCmd cmd = run->cmds.items[k];
    int32_t number = task_number (&cmd.id);
    SchMsg msg = { .kind = SCH_MSG_START_RESULT };
    switch (cmd.kind) {
    case SCH_CMD_START:
      start_task (run, number, target_number (&cmd.target));
      msg.start_result.id = cmd.id;
      msg.start_result.attempt = cmd.attempt;
      msg.start_result.result = SCH_START_TAKEN;
      step (run, &msg);
      break;
    case SCH_CMD_HELD: {
      const BenchTask *task = &run->load->items[number];
      int32_t first = number - task->tag; /* tag: position within the gang */
      if (++run->gang_held[first] == task->task.policy.gang.tasks) {
        msg.kind = SCH_MSG_COMMIT;
        msg.ref.id = task->task.job;
        step (run, &msg);
      }
      break;
    }
    case SCH_CMD_STOP:
      push_event (run, run->now_ms + 5, EVENT_END, number);
      break;
    case SCH_CMD_REFUSED:
      run->load->items[number].done = true;
      break;
    case SCH_CMD_ENDED:
    case SCH_CMD_TARGET_STATE:
      break;
    }
  }
}

static double
cpu_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double) t.tv_sec * 1e6 + (double) t.tv_nsec / 1e3;
}

static void
step (Run *run, const SchMsg *msg)
{
  size_t from = run->cmds.count;
  BenchCell *cell = run->cell;
  double begin = cell->time_steps ? cpu_us () : 0;
  sch_step (run->sch, msg, run->now_ms, &run->cmds);
  if (cell->time_steps) {
    double us = cpu_us () - begin;
    cell->cpu_s += us / 1e6;
    if (run->now_ms >= cell->measure_from_ms)
      cell->step_us[cell->steps++ % (1U << 20)] = us;
  }
  execute_cmds (run, from);
  if (from == 0)
    gr_list_reset (&run->cmds);
}

/* Baseline, first come, first served: the head of the queue starts on the first target that fits;
   while none fits, the tasks behind it wait. */
static void
first_fit (Run *run)
{
  while (run->queue_head < run->queue_tail) {
    int32_t number = run->queue[run->queue_head];
    BenchTask *task = &run->load->items[number];
    bool gang = task->task.policy.kind == SCH_POLICY_GANG;
    int32_t parts = gang ? task->task.policy.gang.tasks : 1;
    if (task->done || (task->task.deadline_ms > 0 && run->now_ms >= task->task.deadline_ms)) {
      task->done = true;
      run->queue_head++;
      continue;
    }
    int32_t *picks = gr_calloc ((size_t) parts, sizeof *picks);
    int32_t found = 0;
    for (int32_t i = 0; i < run->cell->count && found < parts; i++) {
      GrRes left = run->cell->targets[i].free;
      while (found < parts && gr_res_fits (&task->task.demand, &left)) {
        gr_res_sub (&left, &task->task.demand);
        picks[found++] = i;
      }
    }
    bool fits = found == parts;
    for (int32_t k = 0; fits && k < parts; k++)
      start_task (run, number + k, picks[k]);
    free (picks);
    if (!fits)
      return;
    run->queue_head++;
  }
}

static void
arrive (Run *run, int32_t number)
{
  BenchTask *task = &run->load->items[number];
  bool gang = task->task.policy.kind == SCH_POLICY_GANG;
  if (gang && task->tag == 0)
    task->bound_ms = gang_bound (run, number);
  if (task->cancel_ms > 0)
    push_event (run, task->cancel_ms, EVENT_CANCEL, number);
  if (run->cell->first_fit) {
    if (!gang || task->tag == 0)
      run->queue[run->queue_tail++] = number;
    first_fit (run);
  } else {
    SchMsg msg = { .kind = SCH_MSG_SUBMIT, .submit = &task->task };
    step (run, &msg);
  }
}

static void
end_task (Run *run, int32_t number)
{
  BenchTask *task = &run->load->items[number];
  if (task->done || task->target < 0)
    return;
  accumulate_use (run);
  BenchTarget *target = &run->cell->targets[task->target];
  int64_t ran_ms = run->now_ms - task->start_ms;
  bool faulty_target
      = task->start_ms >= target->faulty_from_ms && task->start_ms < target->faulty_to_ms;
  bool ran_fully = ran_ms >= task->run_ms;
  gr_res_sub (&run->used, &task->task.demand);
  gr_res_add (&target->free, &task->task.demand);
  gr_res_sub (&target->used, &task->used);
  run->running--;
  task->done = true;
  task->lost = faulty_target && !task->faulty;
  if (ran_fully && !faulty_target && !task->faulty)
    task->end_ms = run->now_ms;
  if (run->cell->first_fit) {
    first_fit (run);
    return;
  }
  SchMsg msg = { .kind = SCH_MSG_ENDED };
  msg.ended.id = task->task.id;
  msg.ended.attempt = task->task.attempt;
  msg.ended.end = faulty_target || task->faulty ? SCH_END_FAILED
                  : ran_fully                   ? SCH_END_SUCCEEDED
                                                : SCH_END_STOPPED;
  msg.ended.run_ms = ran_ms;
  step (run, &msg);
}

static void
on_event (Run *run, const Event *event)
{
  BenchTask *task = &run->load->items[event->task];
  SchMsg msg = { .kind = SCH_MSG_CANCEL };
  switch (event->kind) {
  case EVENT_END:
    end_task (run, event->task);
    break;
  case EVENT_CANCEL:
    if (task->done)
      break;
    if (run->cell->first_fit) {
      if (task->start_ms < 0)
        task->done = true;
      else
        push_event (run, run->now_ms + 5, EVENT_END, event->task);
      break;
    }
    msg.ref.id = task->task.id;
    step (run, &msg);
    break;
  case EVENT_USAGE:
    if (task->done || run->cell->first_fit)
      break;
    msg.kind = SCH_MSG_USAGE;
    msg.usage.id = task->task.id;
    msg.usage.attempt = task->task.attempt;
    msg.usage.used = task->used;
    step (run, &msg);
    break;
  }
}

static void
add_target (Run *run, int32_t i)
{
  SchMsg msg = { .kind = SCH_MSG_TARGET_UP };
  msg.target.target = gr_name_format ("t%d", i);
  msg.target.group = gr_name_format ("rack%d", i / 8);
  msg.target.zone = gr_name_format ("zone%d", i / 8 % 6);
  msg.target.capacity = run->cell->targets[i].capacity;
  sch_step (run->sch, &msg, run->now_ms, &run->cmds);
}

void
bench_run (BenchCell *cell, BenchLoad *load)
{
  Run run = { .cell = cell, .load = load, .now_ms = 1 };
  run.gang_held = gr_calloc (load->count + 1, sizeof *run.gang_held);
  run.queue = gr_calloc (load->count + 1, sizeof *run.queue);
  cell->starts = 0;
  cell->use_samples = cell->overloaded_samples = 0;
  cell->steps = 0;
  cell->cpu_s = 0;
  if (cell->time_steps && !cell->step_us)
    cell->step_us = gr_calloc (1U << 20, sizeof *cell->step_us);
  for (size_t k = 0; k < load->count; k++) {
    BenchTask *task = &load->items[k];
    task->start_ms = task->end_ms = -1;
    task->target = -1;
    task->done = task->lost = false;
  }
  size_t before_bytes = mallinfo2 ().uordblks;
  run.sch = sch_new (&cell->options, NULL);
  for (int32_t i = 0; i < cell->count; i++) {
    cell->targets[i].free = cell->targets[i].capacity;
    memset (&cell->targets[i].used, 0, sizeof cell->targets[i].used);
    gr_res_add (&run.total, &cell->targets[i].capacity);
    add_target (&run, i);
  }
  gr_list_reset (&run.cmds);
  size_t target_bytes = mallinfo2 ().uordblks;
  if (cell->limits) {
    SchMsg msg = { .kind = SCH_MSG_LIMITS };
    msg.limits.teams = cell->limits;
    msg.limits.count = cell->limit_count;
    step (&run, &msg);
  }
  size_t next = 0;
  int64_t tick_ms = TICK_MS;
  size_t tasks_max = 0;
  size_t task_bytes = 0;
  while (run.now_ms < cell->stop_ms) {
    int64_t at = next < load->count ? load->items[next].arrive_ms : INT64_MAX;
    int64_t event = run.events.count > 0 ? run.events.items[0].at_ms : INT64_MAX;
    if (tick_ms < at && tick_ms < event) {
      run.now_ms = tick_ms;
      tick_ms += TICK_MS;
      if (!cell->first_fit) {
        SchMsg msg = { .kind = SCH_MSG_TICK };
        step (&run, &msg);
        if (sch_task_count (run.sch) > tasks_max * 11 / 10) {
          tasks_max = sch_task_count (run.sch);
          task_bytes = mallinfo2 ().uordblks - run.events.capacity * sizeof *run.events.items;
        }
      }
    } else if (event <= at) {
      Event first = pop_event (&run);
      run.now_ms = first.at_ms;
      on_event (&run, &first);
    } else {
      run.now_ms = at;
      arrive (&run, (int32_t) next++);
    }
  }
  accumulate_use (&run);
  double span = (double) (cell->measure_to_ms - cell->measure_from_ms);
  for (int d = 0; d < GR_RES_COUNT; d++)
    cell->used_avg[d]
        = run.total.v[d] > 0 && span > 0 ? run.used_sum[d] / span / run.total.v[d] : 0;
  cell->bytes_per_target = (target_bytes - before_bytes) / (size_t) cell->count;
  cell->bytes_per_task = tasks_max > 0 ? (task_bytes - target_bytes) / tasks_max : 0;
  sch_free (run.sch);
  gr_list_clear (&run.cmds);
  gr_list_clear (&run.events);
  free (run.gang_held);
  free (run.queue);
}
