/* A task crashes each machine that starts it. The machine loses power with all that runs on it: it
   does not respond, and channels to it hang; it is back some seconds later, with an executor under
   the former id. Nothing else is handed in. */
#include "world3.h"

#define SUBMIT_AT_MS 6000
/* From the start of a run to the loss of power, and from there until the machine is back. */
#define CRASH_AFTER_MS 150
#define BACK_AFTER_MS 3000
#define CRASHES_MAX 64
/* Rule BUDGET: such a task is not started so often after so many executors have crashed. */
#define FREE_CRASHES 3
#define STARTS_MORE 3

typedef struct {
  int slot;
  int64_t started_at, crashed_at; /* 0: not yet */
} Crash;

static Crash crashes[CRASHES_MAX];
static int count;
static OwnJob job = { .id = "00000000000000c1",
                      .body = "{\"spec\":\"ms=1000 fail=0\",\"steps\":[{\"count\":1,\"cpu\":500,"
                              "\"memMb\":256,\"estimateMs\":1000}]}" };

static void
event (Soak *soak, int slot, char kind, const char *task, int64_t at, const char *how)
{
  (void) soak;
  (void) task;
  (void) how;
  if (kind == 'S' && count < CRASHES_MAX)
    crashes[count++] = (Crash){ .slot = slot, .started_at = at };
}

static void
tick_crashes (Soak *soak, bool trouble)
{
  int64_t now = soak_now ();
  for (int i = 0; trouble && i < count; i++) {
    Crash *crash = &crashes[i];
    if (crash->crashed_at > 0 || now < crash->started_at + CRASH_AFTER_MS)
      continue;
    crash->crashed_at = now;
    soak_note (soak, "machine of t%02d loses power", crash->slot);
    soak_procs_crash (soak->procs, (SoakEnd){ true, crash->slot }, now + BACK_AFTER_MS, false);
  }
}

static void
tick (Soak *soak, int64_t now_ms, bool trouble)
{
  if (now_ms >= SUBMIT_AT_MS)
    own_job_tick (soak, &job);
  tick_crashes (soak, trouble);
}

static SoakPathMode
path (const Soak *soak, int edge, SoakEnd end)
{
  (void) soak;
  (void) edge;
  SoakPathMode mode = { 0 };
  int64_t now = soak_now ();
  for (int i = 0; end.target && i < count; i++) {
    const Crash *crash = &crashes[i];
    if (crash->slot == end.number && crash->crashed_at > 0
        && now < crash->crashed_at + BACK_AFTER_MS)
      mode.forward_silent = mode.back_silent = true;
  }
  return mode;
}

static int
judge (Soak *soak)
{
  int crashed = 0, more = 0;
  for (int i = 0; i < count; i++) {
    more += crashed >= FREE_CRASHES;
    crashed += crashes[i].crashed_at > 0;
    printf ("start %d on t%02d at %.3f%s\n", i + 1, crashes[i].slot,
            soak_at (soak, crashes[i].started_at), crashes[i].crashed_at > 0 ? ", crashes it" : "");
  }
  bool broken = more >= STARTS_MORE;
  printf ("%s: %d starts after %d executors had crashed under the task; accepted=%d state=%s\n",
          broken ? "BUDGET" : "held", more, FREE_CRASHES, job.accepted, job.state);
  if (!job.accepted || count == 0)
    soak_die ("the job was not accepted or did not start");
  return broken;
}

const Scenario scenario_dark_crash = {
  .name = "dark-crash", .tick = tick, .path = path, .event = event, .judge = judge, .own = true
};
