/* An executor is cut off from all edges a moment after it has started a task; the cut resets
   channels. The run ends as done behind the cut. Later the executor crashes, idle, and starts again
   under its id, and the cut is over. The same happens to each executor that starts the task. */
#include <string.h>

#include "world3.h"

#define SUBMIT_AT_MS 6000
/* From the start of the run on; the run itself takes 500 ms. */
#define CUT_AFTER_MS 150
#define CRASH_AFTER_MS 1600
#define BACK_AFTER_MS 1800
#define WHOLE_AFTER_MS 2000
#define RUNS_MAX 16

typedef struct {
  int slot;
  int64_t started_at, ended_at; /* 0: at work */
  char how[16];
  bool cut, crashed, over;
} Run;

static Run runs[RUNS_MAX];
static int count;
static OwnJob job = { .id = "00000000000000e1",
                      .body = "{\"spec\":\"ms=500 fail=0\",\"steps\":[{\"count\":1,\"cpu\":500,"
                              "\"memMb\":256,\"estimateMs\":500}]}" };

static void
event (Soak *soak, int slot, char kind, const char *task, int64_t at, const char *how)
{
  (void) soak;
  (void) task;
  if (kind == 'S' && count < RUNS_MAX)
    runs[count++] = (Run){ .slot = slot, .started_at = at };
  for (int i = count - 1; kind == 'E' && i >= 0; i--) {
    Run *run = &runs[i];
    if (run->slot != slot || run->ended_at > 0)
      continue;
    run->ended_at = at;
    snprintf (run->how, sizeof run->how, "%s", how);
    break;
  }
}

static void
tick_run (Soak *soak, Run *run)
{
  int64_t age = soak_now () - run->started_at;
  if (!run->cut && age >= CUT_AFTER_MS) {
    run->cut = true;
    soak_note (soak, "t%02d is cut off with resets", run->slot);
  }
  if (!run->crashed && age >= CRASH_AFTER_MS && run->ended_at > 0) {
    run->crashed = true;
    soak_procs_crash (soak->procs, (SoakEnd){ true, run->slot }, run->started_at + BACK_AFTER_MS,
                      false);
  }
  if (!run->over && age >= WHOLE_AFTER_MS) {
    run->over = true;
    soak_note (soak, "the cut of t%02d is over", run->slot);
  }
}

static void
tick (Soak *soak, int64_t now_ms, bool trouble)
{
  if (now_ms >= SUBMIT_AT_MS)
    own_job_tick (soak, &job);
  for (int i = 0; trouble && i < count; i++)
    tick_run (soak, &runs[i]);
}

static SoakPathMode
path (const Soak *soak, int edge, SoakEnd end)
{
  (void) soak;
  (void) edge;
  SoakPathMode mode = { 0 };
  for (int i = 0; end.target && i < count; i++)
    mode.resets |= runs[i].slot == end.number && runs[i].cut && !runs[i].over;
  return mode;
}

static int
judge (Soak *soak)
{
  bool cause = false;
  for (int i = 0; i < count; i++) {
    const Run *run = &runs[i];
    /* An executor crashes only after the run on it has ended. */
    cause |= strcmp (run->how, "done") != 0;
    printf ("run %d on t%02d from %.3f to %.3f: %s; executor %s\n", i + 1, run->slot,
            soak_at (soak, run->started_at), soak_at (soak, run->ended_at),
            run->ended_at > 0 ? run->how : "at work",
            run->crashed ? "crashed idle later" : "lives");
  }
  bool broken = strcmp (job.state, "failed") == 0 && !cause;
  printf ("%s: accepted=%d state=%s, each run ended as done: %s\n", broken ? "LOST" : "held",
          job.accepted, job.state, cause ? "no" : "yes");
  if (!job.accepted || count == 0)
    soak_die ("the job was not accepted or did not start");
  return broken;
}

const Scenario scenario_reset_cut = {
  .name = "reset-cut", .tick = tick, .path = path, .event = event, .judge = judge, .own = true
};
