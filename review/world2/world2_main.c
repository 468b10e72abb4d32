/* Runs one case: world2 CASE FOLDER. FOLDER receives the logs of the processes and record.txt.
   Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <time.h>

#include "world2.h"

#define HOST "q.example"
#define PREFIX "/jobs/"

int64_t
w2_now (void)
{
  return (int64_t) (uv_hrtime () / 1000000);
}

int64_t
w2_unix_now (void)
{
  uv_timeval64_t now;
  uv_gettimeofday (&now);
  return now.tv_sec * 1000 + now.tv_usec / 1000;
}

void
w2_note (World *world, const char *format, ...)
{
  va_list args;
  fprintf (world->record, "%8.3f  ", (double) (w2_now () - world->began_at) / 1000);
  va_start (args, format);
  vfprintf (world->record, format, args);
  va_end (args);
  fputc ('\n', world->record);
  fflush (world->record);
}

void
w2_fail (World *world, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  w2_edges_stop (world);
  exit (2);
}

static void
on_wake (uv_timer_t *timer)
{
  bool *over = timer->data;
  *over = true;
}

void
w2_run (World *world, int64_t ms)
{
  bool over = false;
  uv_timer_t *timer = gr_calloc (1, sizeof *timer);
  uv_timer_init (world->loop, timer);
  timer->data = &over;
  uv_update_time (world->loop);
  uv_timer_start (timer, on_wake, ms > 0 ? (uint64_t) ms : 0, 0);
  while (!over)
    uv_run (world->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *) timer, (uv_close_cb) free);
}

static void
wait_answered (World *world, const W2Call *calls, int count)
{
  for (int i = 0; i < count; i++) {
    while (calls[i].answered_at == 0)
      uv_run (world->loop, UV_RUN_ONCE);
  }
}

static void
write_config (World *world, int version, const char *more_routes)
{
  char text[4096];
  snprintf (text, sizeof text,
            "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"" HOST
            "\",\"pathPrefix\":\"" PREFIX "\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,"
            "\"targetLatencyMs\":1200,\"priority\":1,\"service\":\"svc\",\"maxAttempts\":4,"
            "\"slackFactor\":2.2}%s],\"services\":[{\"name\":\"svc\",\"healthPath\":\"/healthz\","
            "\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,"
            "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            version, more_routes);
  w2_store_write (world->store, "keyed.op", "config", text);
  w2_note (world, "operator: config %d is acknowledged: %s", version, text);
}

static void
start_world (World *world, int edges, const char *first_share, int targets, const char *kind)
{
  world->store = w2_store_new (world);
  write_config (world, 3, "");
  for (int i = 0; i < targets; i++)
    w2_target_new (world, i + 1, kind);
  w2_edges_new (world, edges, first_share, "0.25");
  for (int i = 0; i < edges; i++)
    w2_edge_start (world, i);
  w2_edges_wait_ready (world);
  /* As on the sheets, traffic starts later than the machines. */
  w2_run (world, 3000);
}

static void
make_id (char *id, int kind, int number)
{
  snprintf (id, 20, "5c0e7a21%04x%04x", (unsigned) kind, (unsigned) number);
}

static const char one_task[] = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                               "\"memMb\":256,\"estimateMs\":300}]}";

/* --- Case 6 --- */

#define ROUNDS 8
#define EARLIER 16
#define LATER 16

typedef struct {
  W2Call earlier[EARLIER], later[LATER];
  int later_count;
} Round;

/* A young process of the system is killed while its first calls wait for the store, whose answer to
   one append is lost. Clients go on calling once it is back: they submit jobs, or cancel those of
   the round. */
static void
play_round (World *world, Round *round, int number, int edge, bool cancels)
{
  char id[20];
  int64_t began_at = w2_now ();
  if (world->trouble)
    w2_store_lose (world->store, 1);
  for (int i = 0; i < EARLIER; i++) {
    make_id (id, 2 * number, i);
    w2_call (&round->earlier[i], world, edge, "POST", HOST, PREFIX, id, one_task);
  }
  /* The times differ between the rounds, in steps of 10 ms. */
  w2_run (world, 80 + 10 * number);
  if (world->trouble) {
    w2_edge_kill (world, edge);
    w2_run (world, 180);
    w2_edge_start (world, edge);
  }
  w2_run (world, 40);
  while (round->later_count < LATER && w2_now () < began_at + 700) {
    int i = round->later_count++;
    make_id (id, 2 * number + 1, i);
    w2_call (&round->later[i], world, edge, cancels ? "DELETE" : "POST", HOST, PREFIX, id,
             cancels ? "" : one_task);
    w2_run (world, 5);
  }
  wait_answered (world, round->earlier, EARLIER);
  wait_answered (world, round->later, round->later_count);
  w2_run (world, 1500);
}

/* Asks a process that was not killed for the job, up to three times. */
static bool
is_unknown (World *world, int edge, const W2Call *submitted)
{
  W2Call get;
  for (int i = 0; i < 3; i++) {
    w2_call (&get, world, edge, "GET", HOST, PREFIX, submitted->id, "");
    wait_answered (world, &get, 1);
    if (get.status != 410)
      return false;
    w2_run (world, 200);
  }
  return true;
}

static int
run_call_ids (World *world)
{
  static Round rounds[ROUNDS];
  int accepted = 0, lost = 0;
  /* The first VM leads: it has the largest share. */
  start_world (world, ROUNDS + 1, "0.5", 8, "a");
  int leader = w2_edge_leader (world);
  int next = 0;
  for (int r = 0; r < ROUNDS; r++, next++) {
    next += next == leader;
    play_round (world, &rounds[r], r, next, false);
  }
  w2_note (world, "the traffic ends; answers of the store that were lost: %d of %d",
           w2_store_lost (world->store), w2_store_calls (world->store));
  w2_run (world, W2_FINISH_MS);
  leader = w2_edge_leader (world);
  for (int r = 0; r < ROUNDS; r++) {
    for (int i = 0; i < rounds[r].later_count; i++) {
      const W2Call *call = &rounds[r].later[i];
      if (call->status / 100 != 2)
        continue;
      accepted++;
      if (!is_unknown (world, leader < 0 ? 0 : leader, call))
        continue;
      lost++;
      w2_note (world, "LOST: %s was accepted by %s, is answered 410, and has had %d starts",
               call->id, world->edges[call->edge].name, w2_target_starts (world, call->id));
    }
  }
  w2_note (world, "accepted by processes that were back: %d; of these not known: %d", accepted,
           lost);
  return lost > 0;
}

/* --- Case 7 --- */

/* The share of node_cut is 0.17 on the sheet. */
#define CUT_TARGETS 48
#define CUT_AT_ONCE 8
#define CUTS 40
#define CUT_EVERY_MS 1000
#define CUT_MS 950
#define CRASH_AFTER_MS 500
#define CUT_JOBS 7000
#define CUT_JOB_EVERY_MS 7

/* Executors are cut off, end their runs behind the cut, then crash there and start again. */
static int
run_crash_after_end (World *world)
{
  static W2Call calls[CUT_JOBS];
  static const char short_task[]
      = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":16000,\"memMb\":256,"
        "\"estimateMs\":300}]}";
  int count = 0, accepted = 0, broken = 0, cuts = 0;
  uint32_t random = 2463534242;
  char id[20];
  start_world (world, 3, "0.25", CUT_TARGETS, "a");
  int64_t began_at = w2_now (), cut_at = began_at + CUT_EVERY_MS;
  while (count < CUT_JOBS && w2_now () < began_at + (CUTS + 2) * CUT_EVERY_MS) {
    make_id (id, 1, count);
    w2_call (&calls[count], world, count % 3, "POST", HOST, PREFIX, id, short_task);
    count++;
    w2_run (world, CUT_JOB_EVERY_MS);
    if (!world->trouble || cuts == CUTS || w2_now () < cut_at)
      continue;
    cut_at += CUT_EVERY_MS;
    cuts++;
    for (int cut = 0; cut < CUT_AT_ONCE;) {
      random ^= random << 13;
      random ^= random >> 17;
      random ^= random << 5;
      cut += w2_target_cut (world->targets[random % CUT_TARGETS], CRASH_AFTER_MS, CUT_MS);
    }
  }
  wait_answered (world, calls, count);
  w2_run (world, W2_FINISH_MS);
  int leader = w2_edge_leader (world);
  for (int i = 0; i < count; i++) {
    W2Call get;
    if (calls[i].status / 100 != 2)
      continue;
    accepted++;
    w2_call (&get, world, leader < 0 ? 0 : leader, "GET", HOST, PREFIX, calls[i].id, "");
    wait_answered (world, &get, 1);
    if (!strstr (get.body, "failed"))
      continue;
    w2_note (world, "%s is shown as failed; executors that crashed under its tasks: %d",
             calls[i].id, w2_target_crashes (world, calls[i].id));
    broken += w2_target_crashes (world, calls[i].id) < 2;
  }
  w2_note (world, "accepted: %d; of these shown as failed without cause: %d", accepted, broken);
  return broken > 0;
}

/* --- Case 8 --- */

#define CANCEL_ROUNDS 6
/* contactMs, cancel_ms, stopTimeoutMs and a second more. */
#define CANCELLED_MS (4000 + 3000 + W2_STOP_TIMEOUT_MS + 1000)

static int
run_cancel_ids (World *world)
{
  static Round rounds[CANCEL_ROUNDS];
  static W2Call submitted[CANCEL_ROUNDS * LATER];
  static const char long_task[] = "{\"spec\":\"ms=40000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                                  "\"memMb\":256,\"estimateMs\":40000}]}";
  int acknowledged = 0, broken = 0;
  char id[20];
  start_world (world, CANCEL_ROUNDS + 1, "0.5", 8, "a");
  int leader = w2_edge_leader (world);
  for (int i = 0; i < CANCEL_ROUNDS * LATER; i++) {
    make_id (id, 2 * (i / LATER) + 1, i % LATER);
    w2_call (&submitted[i], world, leader < 0 ? 0 : leader, "POST", HOST, PREFIX, id, long_task);
    w2_run (world, 10);
  }
  wait_answered (world, submitted, CANCEL_ROUNDS * LATER);
  w2_run (world, 3000);
  int next = 0;
  for (int r = 0; r < CANCEL_ROUNDS; r++, next++) {
    next += next == leader;
    play_round (world, &rounds[r], r, next, true);
  }
  w2_note (world, "the traffic ends; answers of the store that were lost: %d of %d",
           w2_store_lost (world->store), w2_store_calls (world->store));
  w2_run (world, CANCELLED_MS);
  for (int r = 0; r < CANCEL_ROUNDS; r++) {
    for (int i = 0; i < rounds[r].later_count; i++) {
      const W2Call *call = &rounds[r].later[i];
      if (call->status / 100 != 2)
        continue;
      acknowledged++;
      if (!w2_target_works_on (world, call->id))
        continue;
      broken++;
      w2_note (world, "UNASKED: the cancelling of %s was acknowledged by %s, and its task runs on",
               call->id, world->edges[call->edge].name);
    }
  }
  w2_note (world,
           "cancels acknowledged by processes that were back: %d; of these without effect: %d",
           acknowledged, broken);
  return broken > 0;
}

/* --- Case 9 --- */

/* A host name of 75 characters; those of the domain name system have up to 253. */
#define LONG_HOST "thread-rescan.moderation.attica-a.newsroom-publishing-systems.krisi.example"
#define SHORT_HOST "nony24.example"
#define JOBS 12
#define ASKED 40

/* HOST_NAME=short: the same disruption with a short name, to see what the name changes. */
static void
add_route (World *world)
{
  char route[512];
  const char *name = getenv ("HOST_NAME");
  bool is_short = name && strcmp (name, "short") == 0;
  snprintf (route, sizeof route,
            ",{\"name\":\"r-2\",\"host\":\"%s\",\"pathPrefix\":\"/new/\",\"type\":"
            "\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1200,\"priority\":1,"
            "\"service\":\"svc\",\"maxAttempts\":4,\"slackFactor\":2.2}",
            is_short ? SHORT_HOST : LONG_HOST);
  write_config (world, 8, route);
}

static void
kill_all_and_start (World *world)
{
  for (int i = 0; i < world->edge_count; i++)
    w2_edge_kill (world, i);
  w2_run (world, 1000);
  for (int i = 0; i < world->edge_count; i++)
    w2_edge_start (world, i);
}

/* A config that adds a route is acknowledged, and right after that all processes are killed. Then
   the jobs that were accepted before are asked for, and others are handed in on the old route. */
static int
run_long_host (World *world)
{
  static W2Call submitted[JOBS], asked[ASKED];
  int accepted = 0, served = 0;
  char id[20];
  start_world (world, 3, "0.25", 4, "a");
  for (int i = 0; i < JOBS; i++) {
    make_id (id, 1, i);
    w2_call (&submitted[i], world, i % 3, "POST", HOST, PREFIX, id, one_task);
    w2_run (world, 100);
  }
  wait_answered (world, submitted, JOBS);
  for (int i = 0; i < JOBS; i++)
    accepted += submitted[i].status / 100 == 2;
  w2_note (world, "accepted before the final fault: %d of %d", accepted, JOBS);
  if (world->trouble) {
    add_route (world);
    kill_all_and_start (world);
  }
  w2_run (world, W2_RECOVERY_MS);
  for (int i = 0; i < ASKED; i++) {
    make_id (id, 2, i);
    if (i % 2 == 0)
      w2_call (&asked[i], world, i % 3, "GET", HOST, PREFIX, submitted[i / 2 % JOBS].id, "");
    else
      w2_call (&asked[i], world, i % 3, "POST", HOST, PREFIX, id, one_task);
    w2_run (world, 250);
  }
  wait_answered (world, asked, ASKED);
  for (int i = 0; i < ASKED; i++)
    served += asked[i].status / 100 == 2;
  w2_note (world, "of %d requests later than recoveryS after the start, %d were served", ASKED,
           served);
  return accepted * 4 >= JOBS && served * 4 < ASKED;
}

/* --- Case 10 --- */

#define LABEL "accelerator=tensor-unit-v5e;interconnect=ring-2;memory=hbm-32;zone=attica-a"
#define MIXED_JOBS 80
#define POISON_EVERY 20
#define JOBS_EVERY_MS 37

/* Jobs come that can never be done: no executor has the label that they require. */
static int
run_long_label (World *world)
{
  static W2Call calls[MIXED_JOBS];
  static const char poison[]
      = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,"
        "\"estimateMs\":300,\"requirements\":\"" LABEL "\"}]}";
  int broken = 0;
  char id[20];
  start_world (world, 3, "0.25", 4, "a");
  for (int i = 0; i < MIXED_JOBS; i++) {
    bool is_poison = world->trouble && i % POISON_EVERY == 0;
    make_id (id, 1, i);
    w2_call (&calls[i], world, i % 3, "POST", HOST, PREFIX, id, is_poison ? poison : one_task);
    w2_run (world, JOBS_EVERY_MS);
  }
  wait_answered (world, calls, MIXED_JOBS);
  w2_run (world, 5000);
  for (int i = 0; world->trouble && i < MIXED_JOBS; i += POISON_EVERY) {
    if (w2_target_starts (world, calls[i].id) == 0)
      continue;
    broken++;
    w2_note (world, "ROUTE: %s was started on an executor of kind a, without the label",
             calls[i].id);
  }
  w2_note (world, "jobs: %d; with the label: %d; of these started: %d", MIXED_JOBS,
           world->trouble ? MIXED_JOBS / POISON_EVERY : 0, broken);
  return broken > 0;
}

static const struct {
  const char *name;
  int (*run) (World *world);
} cases[] = { { "call-ids", run_call_ids },
              { "cancel-ids", run_cancel_ids },
              { "crash-after-end", run_crash_after_end },
              { "long-host", run_long_host },
              { "long-label", run_long_label } };

/* The script that runs the case has no more time. */
static void
on_signal (uv_signal_t *handle, int signal_number)
{
  World *world = handle->data;
  w2_fail (world, "signal %d", signal_number);
}

int
main (int argc, char **argv)
{
  static World world;
  static uv_signal_t signals[2];
  char path[512];
  const char *trouble = getenv ("TROUBLE");
  setenv ("TZ", "UTC", 1);
  if (argc != 3) {
    fprintf (stderr, "usage: world2 CASE FOLDER\n");
    return 2;
  }
  world.loop = uv_default_loop ();
  world.case_name = argv[1];
  world.folder = argv[2];
  world.trouble = !trouble || strcmp (trouble, "0") != 0;
  world.began_at = w2_now ();
  snprintf (path, sizeof path, "%s/record.txt", world.folder);
  world.record = fopen (path, "w");
  world.client = net_http_client_new (world.loop, NULL, NULL);
  if (!world.record || !world.client)
    return 2;
  for (int i = 0; i < 2; i++) {
    uv_signal_init (world.loop, &signals[i]);
    signals[i].data = &world;
    uv_signal_start (&signals[i], on_signal, i == 0 ? SIGTERM : SIGINT);
  }
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    if (strcmp (cases[i].name, world.case_name) != 0)
      continue;
    int code = cases[i].run (&world);
    w2_edges_stop (&world);
    w2_note (&world, "%s", code ? "the rule was broken" : "the rule held");
    return code;
  }
  return 2;
}
