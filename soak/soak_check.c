/* Judges a run by what targets and clients have seen. The targets' lines are kept until the end,
   since a paused target writes its lines late. */
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define NOT_ENDED INT64_MAX
/* A start so long after a job was shown as completed breaks the rule. */
#define COMPLETED_SLACK_MS 1000
/* A start so long after the job's cancelling was answered breaks the rule while all is calm. */
#define CANCEL_SLACK_MS 5000
/* A job that was handed in so long before the end should be over, unless its tasks are at work. */
#define IDLE_MAX_MS 5000
#define CRASHES_TO_GIVE_UP 2
/* A run of this length ends behind a cut that begins with it. */
#define SHORT_RUN_MS 1100

typedef struct {
  char task[SOAK_NAME_SIZE], id[SOAK_NAME_SIZE], spec[SOAK_NAME_SIZE];
  int slot;
  int64_t born, run, fence, started_at;
  int64_t ended_at; /* NOT_ENDED: at work */
  char how[16];     /* "crash": with its target */
  int64_t noted_at; /* 0: the end is not acknowledged */
  int64_t noted_fence;
  bool lapsed_between; /* the lease lapsed between the end and its acknowledgement */
} Run;

struct SoakCheck {
  Soak *soak;
  size_t starts_seen; /* by soak_check_next_start() */
  GR_LIST (Run) runs;
  int violations;
};

SoakCheck *
soak_check_new (Soak *soak)
{
  SoakCheck *check = gr_calloc (1, sizeof *check);
  check->soak = soak;
  return check;
}

static bool
is_short (const Run *run)
{
  long long duration;
  return sscanf (run->spec, "ms=%lld", &duration) == 1 && duration <= SHORT_RUN_MS;
}

int
soak_check_next_start (SoakCheck *check, int first_run)
{
  while (check->starts_seen < check->runs.count) {
    const Run *run = &check->runs.items[check->starts_seen++];
    if (run->run >= first_run && is_short (run) && run->ended_at == NOT_ENDED)
      return run->slot;
  }
  return -1;
}

bool
soak_check_is_idle (const SoakCheck *check, int slot)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    if (run->slot == slot && run->ended_at == NOT_ENDED)
      return false;
  }
  return true;
}

static Run *
find_run (SoakCheck *check, const char *id, int64_t born, const char *task, int64_t number)
{
  for (size_t i = check->runs.count; i > 0; i--) {
    Run *run = &check->runs.items[i - 1];
    if (run->run == number && run->born == born && strcmp (run->task, task) == 0
        && strcmp (run->id, id) == 0)
      return run;
  }
  return NULL;
}

static void
add_start (SoakCheck *check, int slot, const char *id, int64_t born, const char *line)
{
  Run run = { .slot = slot, .born = born, .ended_at = NOT_ENDED };
  long long at, number, fence;
  snprintf (run.id, sizeof run.id, "%s", id);
  if (sscanf (line, "S %lld %63s %lld %lld %63[^\n]", &at, run.task, &number, &fence, run.spec)
      != 5)
    soak_die ("line of %s: %s", id, line);
  run.started_at = at;
  run.run = number;
  run.fence = fence;
  gr_list_push (&check->runs, run);
}

void
soak_check_event (SoakCheck *check, int slot, const char *id, int64_t born, const char *line)
{
  char task[SOAK_NAME_SIZE] = "", how[16] = "";
  long long at = 0, number = 0, fence = 0;
  int lapsed = 0;
  soak_note (check->soak, "%s %s", id, line);
  if (line[0] == 'S') {
    add_start (check, slot, id, born, line);
  } else if (sscanf (line, "E %lld %63s %lld %15s", &at, task, &number, how) == 4) {
    Run *run = find_run (check, id, born, task, number);
    if (!run)
      return;
    run->ended_at = at;
    memcpy (run->how, how, sizeof how);
  } else if (sscanf (line, "A %lld %63s %lld %d %lld", &at, task, &number, &lapsed, &fence) == 5) {
    Run *run = find_run (check, id, born, task, number);
    if (!run)
      return;
    run->noted_at = at;
    run->noted_fence = fence;
    run->lapsed_between = lapsed != 0;
  }
}

void
soak_check_crash (SoakCheck *check, int slot, const char *id, int64_t born, int64_t at)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    Run *run = &check->runs.items[i];
    if (run->slot != slot || run->born != born || strcmp (run->id, id) != 0
        || run->ended_at != NOT_ENDED)
      continue;
    run->ended_at = at;
    snprintf (run->how, sizeof run->how, "crash");
  }
}

static void
describe (const SoakCheck *check, const char *what, const Run *run)
{
  int sender = soak_store_winner (check->soak->store, run->fence);
  printf ("  %s: run %lld on %s (zone z%d) started %.3f by term %lld (e%d)", what,
          (long long) run->run, run->id, soak_zone (run->slot) + 1,
          soak_at (check->soak, run->started_at), (long long) run->fence, sender + 1);
  if (run->ended_at != NOT_ENDED)
    printf (", ended %.3f %s", soak_at (check->soak, run->ended_at), run->how);
  if (run->noted_at > 0)
    printf (", noted %.3f by term %lld%s", soak_at (check->soak, run->noted_at),
            (long long) run->noted_fence, run->lapsed_between ? " after a lapse" : "");
  printf ("\n");
}

static void
report (SoakCheck *check, const char *rule, const char *why, const char *name, const Run *first,
        const Run *second)
{
  check->violations++;
  printf ("%s: %s: %s\n", rule, name, why);
  if (first)
    describe (check, "first", first);
  if (second)
    describe (check, "second", second);
}

/* Rule TWICE for a run and a later one of the same task. */
static void
check_pair (SoakCheck *check, const Run *first, const Run *second)
{
  if (second->started_at < first->ended_at) {
    report (check, "TWICE", "two runs at the same time", first->task, first, second);
    return;
  }
  bool done = strcmp (first->how, "done") == 0;
  if (done && first->noted_at > 0 && !first->lapsed_between)
    report (check, "TWICE", "started after an acknowledged end as done", first->task, first,
            second);
}

static int
compare_runs (const void *a, const void *b)
{
  const Run *left = a, *right = b;
  int order = strcmp (left->task, right->task);
  if (order != 0)
    return order;
  return left->started_at < right->started_at ? -1 : left->started_at > right->started_at;
}

static void
check_starts (SoakCheck *check)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    const SoakJob *job = soak_clients_find (check->soak->clients, run->task);
    if (!job || job->sent_at == 0) {
      report (check, "UNASKED", "a job that no client sent", run->task, run, NULL);
      continue;
    }
    if (strcmp (job->spec, run->spec) != 0)
      report (check, "UNASKED", "another spec", run->task, run, NULL);
    if (job->accepted_at == 0 && job->unanswered == 0 && job->refused > 0)
      report (check, "REFUSED", "all attempts were refused", run->task, run, NULL);
    if (job->completed_at > 0 && run->started_at > job->completed_at + COMPLETED_SLACK_MS)
      report (check, "TWICE", "started after the job was shown as completed", run->task, run, NULL);
    if (job->cancelled_at > 0 && run->started_at > job->cancelled_at + CANCEL_SLACK_MS)
      report (check, "UNASKED", "started after the job was cancelled", run->task, run, NULL);
    if (job->hopeless)
      report (check, "ROUTE", "started without the label that it needs", run->task, run, NULL);
  }
}

static void
check_pairs (SoakCheck *check)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    for (size_t k = i + 1; k < check->runs.count
                           && strcmp (check->runs.items[i].task, check->runs.items[k].task) == 0;
         k++)
      check_pair (check, &check->runs.items[i], &check->runs.items[k]);
  }
}

/* Step and number of a task named ID.OCCURRENCE.STEP.INDEX. */
static bool
split_task (const char *task, int *step, int *index)
{
  const char *dot = strchr (task, '.');
  return dot && sscanf (dot, ".%*d.%d.%d", step, index) == 2;
}

static bool
has_done (const SoakCheck *check, const SoakJob *job, int step, int index, int64_t before)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    int s, n;
    if (strncmp (run->task, job->id, strlen (job->id)) == 0 && split_task (run->task, &s, &n)
        && s == step && n == index && strcmp (run->how, "done") == 0 && run->ended_at <= before)
      return true;
  }
  return false;
}

static bool
all_done (const SoakCheck *check, const SoakJob *job, int steps, int64_t before)
{
  for (int s = 0; s < steps; s++) {
    for (int n = 0; n < job->counts[s]; n++) {
      if (!has_done (check, job, s, n, before))
        return false;
    }
  }
  return true;
}

static void
check_order (SoakCheck *check)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    const SoakJob *job = soak_clients_find (check->soak->clients, run->task);
    int step, index;
    if (job && split_task (run->task, &step, &index) && step > 0
        && !all_done (check, job, step, run->started_at))
      report (check, "ORDER", "started before the step that it depends on", run->task, run, NULL);
  }
}

/* Whether a task of the job has failed often enough, or has seen the crashes of two targets. */
static bool
may_fail (const SoakCheck *check, const SoakJob *job)
{
  const char *task = "";
  int failed = 0, crashed = 0;
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    if (strncmp (run->task, job->id, strlen (job->id)) != 0)
      continue;
    if (strcmp (task, run->task) != 0)
      failed = crashed = 0;
    task = run->task;
    failed += strcmp (run->how, "failed") == 0;
    crashed += strcmp (run->how, "crash") == 0;
    if (failed >= SOAK_MAX_ATTEMPTS || crashed >= CRASHES_TO_GIVE_UP)
      return true;
  }
  return false;
}

static void
describe_job (const SoakCheck *check, const SoakJob *job)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    if (strncmp (run->task, job->id, strlen (job->id)) == 0)
      describe (check, run->task + strlen (job->id), run);
  }
}

static bool
worked_lately (const SoakCheck *check, const SoakJob *job, int64_t since)
{
  for (size_t i = 0; i < check->runs.count; i++) {
    const Run *run = &check->runs.items[i];
    if (strncmp (run->task, job->id, strlen (job->id)) == 0 && run->ended_at >= since)
      return true;
  }
  return false;
}

/* Whether far less than half of the targets' capacity is in use. */
static bool
has_room (const SoakCheck *check)
{
  int64_t at_work = 0;
  for (size_t i = 0; i < check->runs.count; i++)
    at_work += check->runs.items[i].ended_at == NOT_ENDED;
  return at_work <= check->soak->settings.targets;
}

static void
check_job (SoakCheck *check, const SoakJob *job)
{
  int64_t now = soak_now ();
  int before = check->violations;
  bool final = strcmp (job->state, "completed") == 0 || strcmp (job->state, "failed") == 0
               || strcmp (job->state, "cancelled") == 0;
  if (job->leaks > 0)
    report (check, "LEAK", "shown to or changed by a caller with another key", job->id, NULL, NULL);
  if (strcmp (job->state, "failed") == 0 && !may_fail (check, job))
    report (check, "LOST", "shown as failed without cause", job->id, NULL, NULL);
  if (strcmp (job->state, "cancelled") == 0 && job->cancel_sent_at == 0)
    report (check, "LOST", "shown as cancelled though nobody did", job->id, NULL, NULL);
  if (strcmp (job->state, "completed") == 0
      && !all_done (check, job, job->steps, job->completed_at))
    report (check, "MIXED", "shown as completed before its tasks were done", job->id, NULL, NULL);
  if (job->accepted_at > 0 && job->cancel_sent_at == 0 && !final && !job->hopeless
      && !worked_lately (check, job, now - IDLE_MAX_MS) && has_room (check))
    report (check, "LOST", "not over at the end and not at work", job->id, NULL, NULL);
  if (check->violations > before)
    describe_job (check, job);
}

int
soak_check_finish (SoakCheck *check)
{
  int jobs = soak_clients_count (check->soak->clients);
  int accepted = 0, completed = 0, unknown = 0;
  qsort (check->runs.items, check->runs.count, sizeof check->runs.items[0], compare_runs);
  check_pairs (check);
  check_starts (check);
  check_order (check);
  for (int i = 0; i < jobs; i++) {
    const SoakJob *job = soak_clients_job (check->soak->clients, i);
    check_job (check, job);
    accepted += job->accepted_at > 0;
    completed += job->completed_at > 0;
    unknown += job->unknown_answers > 0 && job->cancel_sent_at == 0;
  }
  printf ("seed=%lld jobs=%d accepted=%d completed=%d unknown=%d starts=%zu violations=%d\n",
          (long long) check->soak->settings.seed, jobs, accepted, completed, unknown,
          check->runs.count, check->violations);
  fflush (stdout);
  return check->violations;
}
