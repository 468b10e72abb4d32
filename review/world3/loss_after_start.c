/* A job of tasks that last has just started on all executors. Half a second later some executors
   are lost for good. Those that are left have room for the tasks many times over. */
#include <stdlib.h>
#include <string.h>

#include "world3.h"

#define SUBMIT_AT_MS 6000
#define TASKS 96
/* Of 48 executors: 12.5%. */
#define LOST 6
#define LOSS_AFTER_MS 500
#define NEVER_MS 1000000
/* Rule LOST, for each task that lasts: nothing runs for 3 s, from 6 s after its last run on, and
   these 3 s and the 4 s before them are calm. */
#define ALLOWED_MS 9000

typedef struct {
  int slot, starts;
  int64_t started_at, lost_at, back_at; /* 0: not yet */
} Task;

static Task tasks[TASKS];
static int started;
static int64_t all_at, lost_at;
static OwnJob job
    = { .id = "00000000000000f1",
        .body = "{\"spec\":\"last\",\"steps\":[{\"count\":96,\"cpu\":1500,\"memMb\":256,"
                "\"longRunning\":true,\"maxUnavailable\":8,\"antiAffinity\":3}]}" };

static void
event (Soak *soak, int slot, char kind, const char *name, int64_t at, const char *how)
{
  (void) soak;
  (void) how;
  const char *index = strrchr (name, '.');
  if (kind != 'S' || !index || atoi (index + 1) >= TASKS)
    return;
  Task *task = &tasks[atoi (index + 1)];
  started += task->starts == 0;
  task->starts++;
  task->slot = slot;
  if (task->started_at == 0)
    task->started_at = at;
  if (task->lost_at > 0 && task->back_at == 0)
    task->back_at = at;
  if (started == TASKS && all_at == 0)
    all_at = at;
}

static void
lose (Soak *soak)
{
  lost_at = soak_now ();
  for (int slot = 0; slot < LOST; slot++) {
    soak_note (soak, "t%02d is lost for good", slot);
    soak_procs_crash (soak->procs, (SoakEnd){ true, slot }, lost_at + NEVER_MS, false);
  }
  for (int i = 0; i < TASKS; i++) {
    if (tasks[i].slot < LOST)
      tasks[i].lost_at = lost_at;
  }
}

static void
tick (Soak *soak, int64_t now_ms, bool trouble)
{
  if (now_ms >= SUBMIT_AT_MS)
    own_job_tick (soak, &job);
  if (trouble && lost_at == 0 && all_at > 0 && soak_now () >= all_at + LOSS_AFTER_MS)
    lose (soak);
}

/* A machine that is lost does not respond. */
static SoakPathMode
path (const Soak *soak, int edge, SoakEnd end)
{
  (void) soak;
  (void) edge;
  bool lost = end.target && lost_at > 0 && end.number < LOST;
  return (SoakPathMode){ .forward_silent = lost, .back_silent = lost };
}

static int
judge (Soak *soak)
{
  int broken = 0, lost = 0;
  if (!job.accepted || started < TASKS)
    soak_die ("the job was not accepted, or only %d tasks started", started);
  printf ("%d tasks at work from %.3f on\n", TASKS, soak_at (soak, all_at));
  for (int i = 0; i < TASKS; i++) {
    const Task *task = &tasks[i];
    if (task->lost_at == 0)
      continue;
    lost++;
    int64_t gap = (task->back_at > 0 ? task->back_at : soak_now ()) - task->lost_at;
    bool breaks = gap >= ALLOWED_MS;
    broken += breaks;
    printf ("task %d: lost %.3f, %s after %.3f s%s\n", i, soak_at (soak, task->lost_at),
            task->back_at > 0 ? "starts again" : "not back", (double) gap / 1000,
            breaks ? ": LOST" : "");
  }
  printf ("%s: %d of %d tasks that were lost with their executors had nothing running for 9 s or "
          "more\n",
          broken ? "LOST" : "held", broken, lost);
  return broken > 0;
}

const Scenario scenario_loss_after_start = { .name = "loss-after-start",
                                             .tick = tick,
                                             .path = path,
                                             .event = event,
                                             .judge = judge,
                                             .own = true };
