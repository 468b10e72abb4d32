#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "load/load.h"

#define RECORDS_TIMEOUT_MS 15000

/* A task as the stand-in saw it. */
typedef struct {
  char id[GR_NAME_MAX + 1];
  int attempts;
  int completions;
  int concurrent;
  int failures;
  int64_t first_start_ms;
  int64_t last_start_ms;
  UT_hash_handle hh;
} Seen;

typedef struct {
  int64_t completed, refused, failed, cancelled, unknown;
  int64_t duplicated, lost;
  int64_t wrong_answers, false_not_run, started_after_cancel, twice_started, no_outcome, untrue;
} Counts;

static Seen *
read_tasks (const json_t *tasks)
{
  Seen *table = NULL;
  for (size_t i = 0; i < json_array_size (tasks); i++) {
    const json_t *task = json_array_get (tasks, i);
    const char *id = json_string_value (json_object_get (task, "id"));
    const json_t *attempts = json_object_get (task, "attempts");
    if (!id || strlen (id) > GR_NAME_MAX)
      continue;
    Seen *seen = gr_calloc (1, sizeof *seen);
    memcpy (seen->id, id, strlen (id));
    seen->attempts = (int) json_array_size (attempts);
    seen->completions = (int) json_integer_value (json_object_get (task, "completions"));
    seen->concurrent = (int) json_integer_value (json_object_get (task, "concurrent"));
    for (size_t a = 0; a < json_array_size (attempts); a++) {
      const json_t *attempt = json_array_get (attempts, a);
      int64_t at = json_integer_value (json_object_get (attempt, "started_ms"));
      const char *end = json_string_value (json_object_get (attempt, "end"));
      if (end && strcmp (end, "failed") == 0)
        seen->failures++;
      if (seen->first_start_ms == 0 || at < seen->first_start_ms)
        seen->first_start_ms = at;
      if (at > seen->last_start_ms)
        seen->last_start_ms = at;
    }
    HASH_ADD (hh, table, id, (unsigned) strlen (id), seen);
  }
  return table;
}

/* Sum over the tasks of one submission. */
typedef struct {
  int started, completed, concurrent, duplicates, twice, failures;
  int64_t first_start_ms, last_start_ms;
} ItemSeen;

static ItemSeen
look_up (Seen *table, const LoadItem *item)
{
  ItemSeen sum = { 0 };
  for (int32_t i = 0; i < item->tasks; i++) {
    GrName task = gr_name_format ("%.*s/%d", GR_NAME_ARG (item->id), i);
    Seen *seen = NULL;
    HASH_FIND (hh, table, task.data, task.len, seen);
    if (!seen)
      continue;
    sum.started += seen->attempts > 0;
    sum.completed += seen->completions > 0;
    sum.concurrent += seen->concurrent;
    sum.duplicates += seen->completions > 1 ? seen->completions - 1 : 0;
    sum.twice += seen->attempts > 1;
    sum.failures += seen->failures;
    if (sum.first_start_ms == 0 || seen->first_start_ms < sum.first_start_ms)
      sum.first_start_ms = seen->first_start_ms;
    if (seen->last_start_ms > sum.last_start_ms)
      sum.last_start_ms = seen->last_start_ms;
  }
  return sum;
}

static bool
is_true (const LoadItem *item, const ItemSeen *seen)
{
  switch (item->told) {
  case LOAD_TOLD_NOTHING:
  case LOAD_TOLD_ERROR:
    return false;
  case LOAD_TOLD_COMPLETED:
    return !item->answer_wrong && seen->completed == item->tasks;
  case LOAD_TOLD_NOT_RUN:
    return seen->started == 0;
  case LOAD_TOLD_FAILED:
    return seen->failures > 0 && seen->completed < item->tasks;
  case LOAD_TOLD_CANCELLED:
    return item->cancel_at_ms > 0;
  case LOAD_TOLD_UNKNOWN:
    /* Idempotent work is run again until its deadline; only then its fate may stay open. */
    return !item->idempotent || item->told_ms >= item->deadline_ms;
  }
  return false;
}

static void
complain (const LoadItem *item, const ItemSeen *seen, const char *what)
{
  static const char *const told[]
      = { "nothing", "completed", "not_run", "failed", "cancelled", "unknown", "error" };
  fprintf (stderr,
           "gr-load: %.*s: %s: told %s (%.*s), started %d of %d, completed %d, twice %d, "
           "concurrent %d, repeats %d\n",
           GR_NAME_ARG (item->id), what, told[item->told], GR_NAME_ARG (item->why), seen->started,
           item->tasks, seen->completed, seen->twice, seen->concurrent, item->repeats);
}

static void
judge (const LoadItem *item, const ItemSeen *seen, Counts *counts)
{
  bool lost = false;
  if (!is_true (item, seen)) {
    lost = true;
    counts->wrong_answers += item->answer_wrong;
    counts->no_outcome += item->told == LOAD_TOLD_NOTHING;
    counts->untrue += item->told != LOAD_TOLD_NOTHING && !item->answer_wrong;
    complain (item, seen, "lost");
  } else {
    counts->completed += seen->completed == item->tasks;
    counts->refused += item->told == LOAD_TOLD_NOT_RUN;
    counts->failed += item->told == LOAD_TOLD_FAILED;
    counts->cancelled += item->told == LOAD_TOLD_CANCELLED && seen->completed < item->tasks;
    counts->unknown += item->told == LOAD_TOLD_UNKNOWN && seen->completed < item->tasks;
  }
  if (item->told_not_run_ms > 0 && seen->first_start_ms > 0
      && seen->first_start_ms < item->told_not_run_ms) {
    counts->false_not_run++;
    if (!lost)
      complain (item, seen, "told not_run after it had started");
    lost = true;
  }
  counts->lost += lost;
  bool twice = !item->idempotent && seen->twice > 0;
  if (seen->duplicates > 0 || seen->concurrent > 0 || twice) {
    counts->duplicated++;
    counts->twice_started += twice;
    complain (item, seen, "duplicated");
  }
  if (item->cancelled_ms > 0 && seen->last_start_ms > item->cancelled_ms) {
    counts->started_after_cancel++;
    complain (item, seen, "started after its cancellation was acknowledged");
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
             GR_NAME_ARG (item->id), item->policy, item->idempotent, item->told,
             GR_NAME_ARG (item->why), item->repeats);
  }
  fclose (file);
}

static int64_t
total_of (const json_t *json, const char *name)
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
  Seen *table = read_tasks (json_object_get (json, "tasks"));
  Counts counts = { 0 };
  int64_t non_idempotent_run = 0;
  for (int64_t i = 0; i < load->submitted; i++) {
    ItemSeen seen = look_up (table, &load->items[i]);
    judge (&load->items[i], &seen, &counts);
    non_idempotent_run += !load->items[i].idempotent && seen.started > 0;
  }
  int64_t overloaded = total_of (json, "overloaded");
  /* Completions of work that this program did not submit count as well. */
  if (total_of (json, "duplicated") > counts.duplicated)
    counts.duplicated = total_of (json, "duplicated");
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
          (long long) total_of (json, "started"), (long long) total_of (json, "succeeded"),
          (long long) total_of (json, "lapsed"), (long long) total_of (json, "concurrent"),
          (long long) total_of (json, "overcommit_refused"),
          (long long) total_of (json, "refused_stale"), (long long) total_of (json, "refused_late"),
          (long long) total_of (json, "started_after_leaving"));
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
load_verdict (Load *load)
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
