/* The machine of the leader is removed, by SIGTERM as planned. Another one leads at once. Less than
   a second later one executor is lost for good, with tasks that have lasted for long. The executors
   that are left have room for them many times over. HANDOVER=0 leaves out the SIGTERM only. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "world3.h"

#define SUBMIT_AT_MS 6000
#define TASKS 24
#define TERM_AFTER_MS 8000
#define LOSS_AFTER_MS 800
#define NEVER_MS 1000000
/* Rule LOST, for each task that lasts: nothing runs for 3 s, from 6 s after its last run on, and
   these 3 s and the 4 s before them are calm. */
#define FROM_MS 6000
#define FOR_MS 3000
#define CALM_MS 4000

typedef struct {
  int slot, starts;
  int64_t lost_at, back_at; /* 0: not yet */
} Task;

static Task tasks[TASKS];
static int started, lost_slot = -1;
static int64_t all_at, term_at, ended_at;
static OwnJob job
    = { .id = "00000000000000f2",
        .body = "{\"spec\":\"last\",\"steps\":[{\"count\":24,\"cpu\":1500,\"memMb\":256,"
                "\"longRunning\":true,\"maxUnavailable\":4}]}" };

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
  if (task->lost_at > 0 && task->back_at == 0)
    task->back_at = at;
  if (started == TASKS && all_at == 0)
    all_at = at;
}

static void
remove_leader (Soak *soak)
{
  int leader = soak_store_leader (soak->store);
  int pid = world_edge_pid (leader);
  if (pid <= 0)
    soak_die ("there is no leader");
  term_at = soak_now ();
  soak_note (soak, "the leader, e%d, is to be removed", leader + 1);
  const char *handover = getenv ("HANDOVER");
  if (!handover || strcmp (handover, "0") != 0)
    kill (pid, SIGTERM);
}

static void
lose (Soak *soak)
{
  lost_slot = tasks[0].slot;
  soak_note (soak, "t%02d is lost for good", lost_slot);
  soak_procs_crash (soak->procs, (SoakEnd){ true, lost_slot }, soak_now () + NEVER_MS, false);
  for (int i = 0; i < TASKS; i++) {
    if (tasks[i].slot == lost_slot)
      tasks[i].lost_at = soak_now ();
  }
}

static void
tick (Soak *soak, int64_t now_ms, bool trouble)
{
  int64_t now = soak_now ();
  if (now_ms >= SUBMIT_AT_MS)
    own_job_tick (soak, &job);
  if (!trouble || all_at == 0)
    return;
  if (term_at == 0 && now >= all_at + TERM_AFTER_MS)
    remove_leader (soak);
  if (lost_slot < 0 && term_at > 0 && now >= term_at + LOSS_AFTER_MS)
    lose (soak);
  if (term_at > 0 && ended_at == 0 && world_edges_ended () > 0)
    ended_at = now;
}

/* A machine that is lost does not respond. */
static SoakPathMode
path (const Soak *soak, int edge, SoakEnd end)
{
  (void) soak;
  (void) edge;
  bool lost = end.target && lost_slot == end.number;
  return (SoakPathMode){ .forward_silent = lost, .back_silent = lost };
}

static int
judge (Soak *soak)
{
  int broken = 0;
  if (!job.accepted || started < TASKS)
    soak_die ("the job was not accepted, or only %d tasks started", started);
  printf ("%d tasks at work from %.3f on; SIGTERM %.3f, the process ended %.3f\n", TASKS,
          soak_at (soak, all_at), soak_at (soak, term_at), soak_at (soak, ended_at));
  for (int i = 0; i < TASKS; i++) {
    const Task *task = &tasks[i];
    if (task->lost_at == 0)
      continue;
    int64_t back = task->back_at > 0 ? task->back_at : soak_now ();
    /* The planned stop counts as calm only once the process has ended. */
    int64_t calm = (ended_at > task->lost_at ? ended_at : task->lost_at) + CALM_MS;
    int64_t from = task->lost_at + FROM_MS > calm ? task->lost_at + FROM_MS : calm;
    bool breaks = back - from >= FOR_MS;
    broken += breaks;
    printf ("task %d: lost %.3f, %s after %.3f s%s\n", i, soak_at (soak, task->lost_at),
            task->back_at > 0 ? "starts again" : "not back", (double) (back - task->lost_at) / 1000,
            breaks ? ": LOST" : "");
  }
  printf (
      "%s: %d tasks that were lost with their executor had nothing running for 3 s that count\n",
      broken ? "LOST" : "held", broken);
  return broken > 0;
}

const Scenario scenario_loss_after_handover = { .name = "loss-after-handover",
                                                .tick = tick,
                                                .path = path,
                                                .event = event,
                                                .judge = judge,
                                                .own = true };
