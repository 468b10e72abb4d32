/* The target of soak/, with tasks that last until they are stopped: their spec begins with "last".
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "net/net_http.h"
#include "world3.h"

#define HOLD_MAX_MS 10000
#define WAIT_MAX_MS 2000
#define STOP_MS 150
#define TICK_MS 5
/* A longer gap between ticks means that the process was paused: no work was done meanwhile. */
#define PAUSE_MS 150
#define REPORT_MS 1500
#define ENDS_MAX 500
#define PPM 1000000
/* A task that lasts is at work after this time. */
#define STARTUP_MS 300
#define NEVER INT64_MAX

typedef struct {
  char task[SOAK_NAME_SIZE];
  int64_t run, began_at, ends_at; /* clock of the process */
  const char *how;
} Run;

typedef struct {
  int64_t number, run, at; /* at: own clock */
  char task[SOAK_NAME_SIZE];
  const char *how;
} End;

/* Highest run of a task that was stopped or has ended. */
typedef struct {
  char task[SOAK_NAME_SIZE];
  int64_t run;
} Mark;

typedef struct Wait Wait;

struct Wait {
  Wait *next;
  NetHttpExchange *exchange;
  int64_t due;
};

static struct {
  const char *id;
  int64_t rate_ppm, zero, born;
  int64_t deadline; /* own clock */
  int64_t gap_at;   /* newest time at which no lease was held; own clock */
  int64_t fence, end_number, ticked_at, report_at;
  GR_LIST (Run) runs;
  GR_LIST (End) ends;
  GR_LIST (Mark) marks;
  Wait *waits;
  NetHttpServer *server;
} target;

static int64_t
own_clock (void)
{
  return (soak_now () - target.zero) * target.rate_ppm / PPM;
}

/* Time of the process for a time of the own clock. */
static int64_t
time_of_clock (int64_t clock)
{
  return target.zero + clock * PPM / target.rate_ppm;
}

static Mark *
find_mark (const char *task)
{
  for (size_t i = 0; i < target.marks.count; i++) {
    if (strcmp (target.marks.items[i].task, task) == 0)
      return &target.marks.items[i];
  }
  Mark mark = { .run = 0 };
  snprintf (mark.task, sizeof mark.task, "%s", task);
  gr_list_push (&target.marks, mark);
  return &target.marks.items[target.marks.count - 1];
}

static void
raise_mark (const char *task, int64_t run)
{
  Mark *mark = find_mark (task);
  if (mark->run < run)
    mark->run = run;
}

static void
end_run (size_t index, const char *how, int64_t at)
{
  Run run = target.runs.items[index];
  gr_list_swap_remove (&target.runs, index);
  End end = { .number = ++target.end_number,
              .run = run.run,
              .at = (at - target.zero) * target.rate_ppm / PPM,
              .how = how };
  memcpy (end.task, run.task, sizeof end.task);
  gr_list_push (&target.ends, end);
  raise_mark (run.task, run.run);
  printf ("E %lld %s %lld %s\n", (long long) at, run.task, (long long) run.run, how);
}

/* Ends what is due. After a pause the work goes on where it was, but the lease has gone on. */
static void
advance (void)
{
  int64_t now = soak_now ();
  int64_t gap = target.ticked_at > 0 ? now - target.ticked_at : 0;
  target.ticked_at = now;
  bool lapsed = target.deadline > 0 && own_clock () >= target.deadline;
  if (lapsed)
    target.gap_at = own_clock ();
  for (size_t i = 0; i < target.runs.count;) {
    Run *run = &target.runs.items[i];
    if (gap > PAUSE_MS && run->ends_at != NEVER)
      run->ends_at += gap;
    if (lapsed && time_of_clock (target.deadline) <= run->ends_at)
      end_run (i, "lapsed", time_of_clock (target.deadline));
    else if (now >= run->ends_at)
      end_run (i, run->how, run->ends_at);
    else
      i++;
  }
}

static void
extend (const json_t *body)
{
  int64_t deadline = json_integer_value (json_object_get (body, "deadlineMs"));
  int64_t longest = own_clock () + HOLD_MAX_MS;
  if (deadline > longest)
    deadline = longest;
  if (deadline <= target.deadline)
    return;
  target.deadline = deadline;
  printf ("L %lld %lld %lld\n", (long long) soak_now (), (long long) time_of_clock (deadline),
          (long long) target.fence);
}

static void
answer (NetHttpExchange *exchange, int status, json_t *body)
{
  json_object_set_new (body, "clockMs", json_integer (own_clock ()));
  char *text = json_dumps (body, JSON_COMPACT);
  net_http_reply (exchange, status, GR_STR ("application/json"), gr_str_from_c (text));
  free (text);
  json_decref (body);
}

static void
refuse (NetHttpExchange *exchange, const char *reason)
{
  answer (exchange, 409, json_pack ("{s:s}", "reason", reason));
}

/* The field of the spec, as in "ms=700 fail=0". */
static int64_t
spec_field (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);
  return at ? atoll (at + strlen (name)) : 0;
}

static void
handle_start (NetHttpExchange *exchange, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int64_t number = json_integer_value (json_object_get (body, "runId"));
  if (!task || !spec || strlen (task) >= SOAK_NAME_SIZE) {
    answer (exchange, 400, json_object ());
    return;
  }
  for (size_t i = 0; i < target.runs.count; i++) {
    const Run *run = &target.runs.items[i];
    if (run->run == number && strcmp (run->task, task) == 0) {
      extend (body);
      answer (exchange, 200, json_object ());
      return;
    }
  }
  if (number <= find_mark (task)->run) {
    extend (body);
    refuse (exchange, "old");
    return;
  }
  if (json_integer_value (json_object_get (body, "deadlineMs")) <= own_clock ()) {
    refuse (exchange, "late");
    return;
  }
  extend (body);
  int64_t now = soak_now ();
  Run run = { .run = number, .began_at = now, .ends_at = now + spec_field (spec, "ms=") };
  if (strncmp (spec, "last", 4) == 0)
    run.ends_at = NEVER;
  /* The first runs fail, as many as the spec says. */
  run.how = number <= spec_field (spec, "fail=") ? "failed" : "done";
  snprintf (run.task, sizeof run.task, "%s", task);
  gr_list_push (&target.runs, run);
  printf ("S %lld %s %lld %lld %s\n", (long long) now, task, (long long) number,
          (long long) target.fence, spec);
  answer (exchange, 200, json_object ());
}

static void
handle_stop (NetHttpExchange *exchange, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int64_t number = json_integer_value (json_object_get (body, "runId"));
  if (!task) {
    answer (exchange, 400, json_object ());
    return;
  }
  raise_mark (task, number);
  for (size_t i = 0; i < target.runs.count; i++) {
    Run *run = &target.runs.items[i];
    int64_t at = soak_now () + STOP_MS;
    if (strcmp (run->task, task) != 0 || run->run > number || run->ends_at <= at)
      continue;
    run->ends_at = at;
    run->how = "stopped";
  }
  printf ("X %lld %s %lld\n", (long long) soak_now (), task, (long long) number);
  answer (exchange, 200, json_object ());
}

static void
answer_hold (NetHttpExchange *exchange)
{
  json_t *running = json_array (), *finished = json_array ();
  for (size_t i = 0; i < target.runs.count; i++) {
    const Run *run = &target.runs.items[i];
    int64_t span = run->ends_at > run->began_at ? run->ends_at - run->began_at : 1;
    int64_t lasted = soak_now () - run->began_at;
    int64_t percent = run->ends_at != NEVER ? 99 * lasted / span : lasted >= STARTUP_MS ? 100 : 0;
    json_array_append_new (running, json_pack ("[s,I,s,I,i]", run->task, (json_int_t) run->run, "",
                                               (json_int_t) percent, 1000));
  }
  for (size_t i = 0; i < target.ends.count && i < ENDS_MAX; i++) {
    const End *end = &target.ends.items[i];
    json_array_append_new (finished, json_pack ("[I,s,I,s,s]", (json_int_t) end->number, end->task,
                                                (json_int_t) end->run, end->how, ""));
  }
  answer (exchange, 200,
          json_pack ("{s:I,s:o,s:o}", "born", (json_int_t) target.born, "running", running,
                     "finished", finished));
}

static void
on_close (void *user)
{
  Wait *wait = user;
  wait->exchange = NULL;
}

static void
acknowledge (int64_t cursor)
{
  size_t kept = 0;
  for (size_t i = 0; i < target.ends.count; i++) {
    End *end = &target.ends.items[i];
    if (end->number > cursor) {
      target.ends.items[kept++] = *end;
      continue;
    }
    bool lapsed = target.gap_at > end->at;
    printf ("A %lld %s %lld %d %lld\n", (long long) soak_now (), end->task, (long long) end->run,
            lapsed, (long long) target.fence);
  }
  target.ends.count = kept;
}

static void
handle_hold (NetHttpExchange *exchange, const json_t *body)
{
  acknowledge (json_integer_value (json_object_get (body, "ackCursor")));
  extend (body);
  int64_t wait_ms = json_integer_value (json_object_get (body, "waitMs"));
  if (wait_ms <= 0 || target.ends.count > 0) {
    answer_hold (exchange);
    return;
  }
  Wait *wait = gr_calloc (1, sizeof *wait);
  wait->exchange = exchange;
  wait->due = soak_now () + (wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS);
  net_http_on_close (exchange, on_close, wait);
  wait->next = target.waits;
  target.waits = wait;
}

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  (void) user;
  advance ();
  if (request->kept_header.len > 0
      && !gr_str_equal (request->kept_header, gr_str_from_c (target.id))) {
    answer (exchange, 421, json_object ());
    return;
  }
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  int64_t fence = json_integer_value (json_object_get (body, "fencingToken"));
  if (!body) {
    answer (exchange, 400, json_object ());
  } else if (fence < target.fence) {
    refuse (exchange, "fence");
  } else {
    target.fence = fence;
    if (gr_str_equal (request->path, GR_STR ("/gentianrelay/run-start")))
      handle_start (exchange, body);
    else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/run-stop")))
      handle_stop (exchange, body);
    else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/hold")))
      handle_hold (exchange, body);
    else
      answer (exchange, 200, json_object ());
  }
  json_decref (body);
}

static void
on_tick (uv_timer_t *timer)
{
  (void) timer;
  advance ();
  /* An answer may bring the next call of its connection at once. */
  for (Wait *wait = target.waits; wait; wait = wait->next) {
    if (!wait->exchange || (target.ends.count == 0 && soak_now () < wait->due))
      continue;
    net_http_on_close (wait->exchange, NULL, NULL);
    answer_hold (wait->exchange);
    wait->exchange = NULL;
  }
  for (Wait **at = &target.waits; *at;) {
    Wait *wait = *at;
    if (wait->exchange) {
      at = &wait->next;
      continue;
    }
    *at = wait->next;
    free (wait);
  }
  if (soak_now () >= target.report_at) {
    target.report_at = soak_now () + REPORT_MS;
    printf ("R\n");
  }
}

/* Arguments: id, speed of the lease clock in millionths, time of birth. */
int
soak_target_main (int argc, char **argv)
{
  if (argc != 3)
    soak_die ("usage: gr-edge-soak target ID PPM BORN");
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  uv_loop_t *loop = uv_default_loop ();
  static char out[65536];
  /* A line is out before the answer, so that a crash loses none. */
  setvbuf (stdout, out, _IOLBF, sizeof out);
  target.id = argv[0];
  target.rate_ppm = atoll (argv[1]);
  target.born = atoll (argv[2]);
  target.zero = soak_now () - (soak_unix_now () - target.born);
  NetHttpServerOptions options
      = { .listen_host = "127.0.0.1", .kept_header = "x-gentianrelay-expect-instance" };
  GrErr err = { 0 };
  target.server = net_http_server_new (loop, &options, on_request, NULL, &err);
  if (!target.server)
    soak_die ("a target cannot listen: %s", err.detail);
  printf ("P %d\n", net_http_server_port (target.server));
  uv_timer_t tick;
  uv_timer_init (loop, &tick);
  uv_timer_start (&tick, on_tick, 0, TICK_MS);
  return uv_run (loop, UV_RUN_DEFAULT);
}
