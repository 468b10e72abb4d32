#include <stdlib.h>

#include <uthash.h>

#include "standin/standin.h"

typedef struct {
  int32_t attempt;
  GrName target;
  int64_t started_ms;
  int64_t ended_ms; /* 0 while the attempt runs */
  StandinTaskState state;
} Attempt;

typedef struct {
  char id[GR_NAME_MAX + 1];
  GR_LIST (Attempt) attempts;
  int32_t running;     /* attempts that run */
  int32_t completions; /* attempts that succeeded */
  int32_t concurrent;  /* starts while another attempt ran */
  UT_hash_handle hh;
} TaskRecord;

struct StandinRecords {
  TaskRecord *tasks;
  StandinTotals totals;
};

const char *
standin_state_name (StandinTaskState state)
{
  switch (state) {
  case STANDIN_RUNNING:
    return "running";
  case STANDIN_SUCCEEDED:
    return "succeeded";
  case STANDIN_FAILED:
    return "failed";
  case STANDIN_STOPPED:
    return "stopped";
  case STANDIN_LAPSED:
    return "lapsed";
  case STANDIN_KILLED:
    return "killed";
  }
  return "unknown";
}

StandinRecords *
standin_records_new (void)
{
  return gr_calloc (1, sizeof (StandinRecords));
}

StandinTotals *
standin_records_totals (StandinRecords *records)
{
  return &records->totals;
}

static TaskRecord *
find_task (StandinRecords *records, const GrName *id)
{
  TaskRecord *task = NULL;
  HASH_FIND (hh, records->tasks, id->data, id->len, task);
  return task;
}

void
standin_records_start (StandinRecords *records, const GrName *id, int32_t attempt,
                       const GrName *target)
{
  TaskRecord *task = find_task (records, id);
  if (!task) {
    task = gr_calloc (1, sizeof *task);
    memcpy (task->id, id->data, id->len);
    HASH_ADD (hh, records->tasks, id, id->len, task);
  }
  if (task->running > 0) {
    task->concurrent++;
    records->totals.concurrent++;
  }
  task->running++;
  records->totals.started++;
  gr_list_push (&task->attempts,
                (Attempt){ .attempt = attempt, .target = *target, .started_ms = standin_now () });
}

void
standin_records_end (StandinRecords *records, const GrName *id, int32_t attempt,
                     const GrName *target, StandinTaskState state)
{
  TaskRecord *task = find_task (records, id);
  if (!task)
    return;
  for (size_t i = 0; i < task->attempts.count; i++) {
    Attempt *a = &task->attempts.items[i];
    if (a->attempt == attempt && a->ended_ms == 0 && gr_name_equal (&a->target, target)) {
      a->ended_ms = standin_now ();
      a->state = state;
    }
  }
  task->running--;
  switch (state) {
  case STANDIN_RUNNING:
    break;
  case STANDIN_SUCCEEDED:
    records->totals.succeeded++;
    if (task->completions++ > 0)
      records->totals.duplicated++;
    break;
  case STANDIN_FAILED:
    records->totals.failed++;
    break;
  case STANDIN_STOPPED:
    records->totals.stopped++;
    break;
  case STANDIN_LAPSED:
    records->totals.lapsed++;
    break;
  case STANDIN_KILLED:
    records->totals.killed++;
    break;
  }
}

static json_t *
task_to_json (const TaskRecord *task)
{
  json_t *attempts = json_array ();
  for (size_t i = 0; i < task->attempts.count; i++) {
    const Attempt *a = &task->attempts.items[i];
    json_array_append_new (
        attempts, json_pack ("{s:i,s:o,s:I,s:I,s:s}", "attempt", a->attempt, "target",
                             standin_json_text (gr_name_str (&a->target)), "started_ms",
                             (json_int_t) a->started_ms, "ended_ms", (json_int_t) a->ended_ms,
                             "end", standin_state_name (a->state)));
  }
  return json_pack ("{s:s,s:o,s:i,s:i}", "id", task->id, "attempts", attempts, "completions",
                    task->completions, "concurrent", task->concurrent);
}

static json_t *
totals_to_json (const StandinTotals *totals)
{
  const struct {
    const char *name;
    int64_t value;
  } fields[] = {
    { "started", totals->started },
    { "succeeded", totals->succeeded },
    { "failed", totals->failed },
    { "stopped", totals->stopped },
    { "lapsed", totals->lapsed },
    { "killed", totals->killed },
    { "overloaded", totals->overloaded },
    { "overused", totals->overused },
    { "overcommit_refused", totals->overcommit_refused },
    { "duplicated", totals->duplicated },
    { "concurrent", totals->concurrent },
    { "started_after_leaving", totals->started_after_leaving },
    { "refused_leaving", totals->refused_leaving },
    { "refused_stale", totals->refused_stale },
    { "refused_late", totals->refused_late },
  };
  json_t *json = json_object ();
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    json_object_set_new (json, fields[i].name, json_integer (fields[i].value));
  return json;
}

void
standin_records_call (StandinRecords *records, StandinCall *call, bool with_tasks)
{
  json_t *json = json_object ();
  json_object_set_new (json, "totals", totals_to_json (&records->totals));
  if (with_tasks) {
    json_t *tasks = json_array ();
    TaskRecord *task, *next;
    HASH_ITER (hh, records->tasks, task, next)
    {
      json_array_append_new (tasks, task_to_json (task));
    }
    json_object_set_new (json, "tasks", tasks);
  }
  standin_call_json (call, 200, json);
}
