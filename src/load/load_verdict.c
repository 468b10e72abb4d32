#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "load/load.h"

#define RECORDS_TIMEOUT_MS 15000

/* Executions of one task as recorded by the stand-in. */
typedef struct {
  char id[GR_NAME_MAX + 1];
  int attempts;
  int completions;
  int concurrent;         /* starts while another attempt of the task ran */
  int failures;           /* attempts that ended as failed */
  int64_t first_start_ms; /* Unix time */
  int64_t last_start_ms;
  UT_hash_handle hh;
} TaskRecord;

/* Submissions by result; the names are the keys of the result lines.

   lost: the records of the stand-in do not allow the reported outcome. The reason is counted as
   wrong_answers, no_outcome, false_not_run (not_run was reported after a task had started) or
   untrue (any other mismatch).
   duplicated: a task completed more than once, ran twice at the same time or, counted as
   twice_started, was started again although it is not idempotent. */
typedef struct {
  int64_t completed, refused, failed, cancelled, unknown;
  int64_t duplicated, lost;
  int64_t wrong_answers, false_not_run, started_after_cancel, twice_started, no_outcome, untrue;
} Counts;

static TaskRecord *
read_tasks (const json_t *tasks)
{
  TaskRecord *table = NULL;
  for (size_t i = 0; i < json_array_size (tasks); i++) {
    const json_t *task = json_array_get (tasks, i);
    const char *id = json_string_value (json_object_get (task, "id"));
    const json_t *attempts = json_object_get (task, "attempts");
    if (!id || strlen (id) > GR_NAME_MAX)
      continue;
    TaskRecord *record = gr_calloc (1, sizeof *record);
    memcpy (record->id, id, strlen (id));
    record->attempts = (int) json_array_size (attempts);
    record->completions = (int) json_integer_value (json_object_get (task, "completions"));
    record->concurrent = (int) json_integer_value (json_object_get (task, "concurrent"));
    for (size_t a = 0; a < json_array_size (attempts); a++) {
      const json_t *attempt = json_array_get (attempts, a);
      int64_t started_ms = json_integer_value (json_object_get (attempt, "started_ms"));
      const char *end = json_string_value (json_object_get (attempt, "end"));
      if (end && strcmp (end, "failed") == 0)
        record->failures++;
      if (record->first_start_ms == 0 || started_ms < record->first_start_ms)
        record->first_start_ms = started_ms;
      if (started_ms > record->last_start_ms)
        record->last_start_ms = started_ms;
    }
    HASH_ADD (hh, table, id, (unsigned) strlen (id), record);
  }
  return table;
}

/* Sums over the tasks of one submission. */
typedef struct {
  int started;                           /* tasks with an attempt */
  int completed;                         /* tasks with a completion */
  int concurrent;                        /* starts while another attempt of the task ran */
  int duplicates;                        /* completions after the first one of a task */
  int restarted;                         /* tasks with more than one attempt */
  int failures;                          /* attempts that ended as failed */
  int64_t first_start_ms, last_start_ms; /* Unix time */
} ItemRecord;

static ItemRecord
sum_task_records (TaskRecord *table, const LoadItem *item)
{
  ItemRecord sum = { 0 };
  for (int32_t i = 0; i < item->tasks; i++) {
    GrName task = gr_name_format ("%.*s/%d", GR_NAME_ARG (item->id), i);
    TaskRecord *record = NULL;
    HASH_FIND (hh, table, task.data, task.len, record);
    if (!record)
      continue;
    sum.started += record->attempts > 0;
    sum.completed += record->completions > 0;
    sum.concurrent += record->concurrent;
    sum.duplicates += record->completions > 1 ? record->completions - 1 : 0;
    sum.restarted += record->attempts > 1;
    sum.failures += record->failures;
    if (sum.first_start_ms == 0 || record->first_start_ms < sum.first_start_ms)
      sum.first_start_ms = record->first_start_ms;
    if (record->last_start_ms > sum.last_start_ms)
      sum.last_start_ms = record->last_start_ms;
  }
  return sum;
}

/* True if the records of the stand-in allow the reported outcome. */
static bool
outcome_matches_record (const LoadItem *item, const ItemRecord *record)
{
  switch (item->outcome) {
  case LOAD_OUTCOME_NONE:
  case LOAD_OUTCOME_ERROR:
    return false;
  case LOAD_OUTCOME_COMPLETED:
    return !item->wrong_answer && record->completed == item->tasks;
  case LOAD_OUTCOME_NOT_RUN:
    return record->started == 0;
  case LOAD_OUTCOME_FAILED:
    return record->failures > 0 && record->completed < item->tasks;
  case LOAD_OUTCOME_CANCELLED:
    return item->cancel_at_ms > 0;
  case LOAD_OUTCOME_UNKNOWN:
    /* Idempotent work is retried until its deadline, so "unknown" is valid only after it. */
    return !item->idempotent || item->outcome_ms >= item->deadline_ms;
  }
  return false;
}

static void
print_mismatch (const LoadItem *item, const ItemRecord *record, const char *what)
{
  static const char *const names[]
      = { "nothing", "completed", "not_run", "failed", "cancelled", "unknown", "error" };
  fprintf (stderr,
           "gr-load: %.*s: %s: reported outcome %s (%.*s), tasks started %d of %d, completed %d, "
           "restarted %d, concurrent %d, repeats %d\n",
           GR_NAME_ARG (item->id), what, names[item->outcome], GR_NAME_ARG (item->why),
           record->started, item->tasks, record->completed, record->restarted, record->concurrent,
           item->repeats);
}

static void
check_item (const LoadItem *item, const ItemRecord *record, Counts *counts)
{
  bool lost = false;
  if (!outcome_matches_record (item, record)) {
    lost = true;
    counts->wrong_answers += item->wrong_answer;
    counts->no_outcome += item->outcome == LOAD_OUTCOME_NONE;
    counts->untrue += item->outcome != LOAD_OUTCOME_NONE && !item->wrong_answer;
    print_mismatch (item, record, "lost");
  } else {
    counts->completed += record->completed == item->tasks;
    counts->refused += item->outcome == LOAD_OUTCOME_NOT_RUN;
    counts->failed += item->outcome == LOAD_OUTCOME_FAILED;
    counts->cancelled += item->outcome == LOAD_OUTCOME_CANCELLED && record->completed < item->tasks;
    counts->unknown += item->outcome == LOAD_OUTCOME_UNKNOWN && record->completed < item->tasks;
  }
  if (item->first_not_run_ms > 0 && record->first_start_ms > 0
      && record->first_start_ms < item->first_not_run_ms) {
    counts->false_not_run++;
    if (!lost)
      print_mismatch (item, record, "reported not_run after a task had started");
    lost = true;
  }
  counts->lost += lost;
  bool restarted = !item->idempotent && record->restarted > 0;
  if (record->duplicates > 0 || record->concurrent > 0 || restarted) {
    counts->duplicated++;
    counts->twice_started += restarted;
    print_mismatch (item, record, "duplicated");
  }
  if (item->cancelled_ms > 0 && record->last_start_ms > item->cancelled_ms) {
    counts->started_after_cancel++;
    print_mismatch (item, record, "started after its cancellation was acknowledged");
  }
}

static void
write_lines (const Load *load)
{
  FILE *file = load->options.lines[0] ? fopen (load->options.lines, "w") : NULL;
  if (!file)
    return;
  for (int64_t i = 0; i < load->submitted; i++) {
    const LoadItem *item = &load->items[i];
    fprintf (file, "%.*s policy=%d idempotent=%d told=%d why=%.*s repeats=%d\n",
             GR_NAME_ARG (item->id), item->policy, item->idempotent, item->outcome,
             GR_NAME_ARG (item->why), item->repeats);
  }
  fclose (file);
}

static int64_t
record_total (const json_t *json, const char *name)
{
  return json_integer_value (json_object_get (json_object_get (json, "totals"), name));
}

static void
on_records (void *user, const NetHttpAnswer *answer)
{
  Load *load = user;
  json_t *json = json_loadb (answer->body.data ? answer->body.data : "", answer->body.len, 0, NULL);
  uv_stop (load->loop);
  load->code = 1;
  if (answer->status != 200 || !json) {
    fprintf (stderr, "gr-load: the stand-in's records cannot be read\n");
    json_decref (json);
    return;
  }
  TaskRecord *table = read_tasks (json_object_get (json, "tasks"));
  Counts counts = { 0 };
  int64_t non_idempotent_run = 0;
  for (int64_t i = 0; i < load->submitted; i++) {
    ItemRecord record = sum_task_records (table, &load->items[i]);
    check_item (&load->items[i], &record, &counts);
    non_idempotent_run += !load->items[i].idempotent && record.started > 0;
  }
  int64_t overloaded = record_total (json, "overloaded");
  /* The total of the stand-in also covers work that this program did not submit. */
  if (record_total (json, "duplicated") > counts.duplicated)
    counts.duplicated = record_total (json, "duplicated");
  printf ("load reconnects=%lld failed=%lld cancelled=%lld unknown=%lld wrong_answers=%lld "
          "no_outcome=%lld untrue=%lld false_not_run=%lld twice_started=%lld "
          "started_after_cancel=%lld non_idempotent_run=%lld\n",
          (long long) load->reconnects, (long long) counts.failed, (long long) counts.cancelled,
          (long long) counts.unknown, (long long) counts.wrong_answers,
          (long long) counts.no_outcome, (long long) counts.untrue,
          (long long) counts.false_not_run, (long long) counts.twice_started,
          (long long) counts.started_after_cancel, (long long) non_idempotent_run);
  printf ("standin started=%lld succeeded=%lld lapsed=%lld concurrent=%lld overcommit_refused=%lld "
          "refused_stale=%lld refused_late=%lld started_after_leaving=%lld\n",
          (long long) record_total (json, "started"), (long long) record_total (json, "succeeded"),
          (long long) record_total (json, "lapsed"), (long long) record_total (json, "concurrent"),
          (long long) record_total (json, "overcommit_refused"),
          (long long) record_total (json, "refused_stale"),
          (long long) record_total (json, "refused_late"),
          (long long) record_total (json, "started_after_leaving"));
  printf ("submitted=%lld completed=%lld refused=%lld duplicated=%lld lost=%lld overloaded=%lld "
          "cut_off=%lld\n",
          (long long) load->submitted, (long long) counts.completed, (long long) counts.refused,
          (long long) counts.duplicated, (long long) counts.lost, (long long) overloaded,
          (long long) load->cut_off);
  bool clean = counts.duplicated == 0 && counts.lost == 0 && overloaded == 0 && load->cut_off == 0
               && counts.started_after_cancel == 0;
  load->code = clean && load->submitted > 0 ? 0 : 1;
  json_decref (json);
  write_lines (load);
}

void
load_report_result (Load *load)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s/control/records", load->options.standin);
  net_http_client_send (
      load->client,
      &(NetHttpCall){ .method = "GET",
                      .url = gr_buf_str (&url),
                      .timeout_at_ms = (int64_t) uv_now (load->loop) + RECORDS_TIMEOUT_MS },
      on_records, load);
  gr_buf_clear (&url);
}
