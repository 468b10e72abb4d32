/* Executors, as PROTOCOL.md tells them: starts, stops, holds and leases. A task works for the time
   that its spec names ("ms=700") and ends done. */
#include <stdlib.h>

#include "world2.h"

#define TICK_MS 5
#define REPORT_MS 1500
#define STOP_MS 20
#define ENDS_MAX 500
#define WAIT_MAX_MS 2000

typedef struct {
  char task[W2_TEXT_SIZE];
  int64_t run, began_at, ends_at;
  const char *how;
} Run;

typedef struct {
  int64_t number, run;
  char task[W2_TEXT_SIZE];
  const char *how;
} End;

typedef struct Wait Wait;
struct Wait {
  Wait *next;
  NetHttpExchange *exchange;
  int64_t due;
};

struct W2Target {
  World *world;
  NetHttpServer *server;
  char id[W2_TEXT_SIZE], kind[W2_TEXT_SIZE], rack[16], zone[16];
  int number;
  int64_t born, zero, fence, deadline, sequence, report_at;
  int64_t crash_at, back_at; /* behind the cut; 0: not cut off */
  GR_LIST (Run) runs;
  GR_LIST (End) ends;
  GR_LIST (Run) marks; /* highest run of each task that was here */
  GR_LIST (Run) started;
  GR_LIST (Run) crashed; /* at work when the executor crashed */
  int64_t end_number;
  Wait *waits;
  uv_timer_t timer;
};

static int64_t
own_clock (const W2Target *target)
{
  return w2_now () - target->zero;
}

static Run *
find_mark (W2Target *target, const char *task)
{
  for (size_t i = 0; i < target->marks.count; i++) {
    if (strcmp (target->marks.items[i].task, task) == 0)
      return &target->marks.items[i];
  }
  Run mark = { .run = 0 };
  snprintf (mark.task, sizeof mark.task, "%s", task);
  gr_list_push (&target->marks, mark);
  return &target->marks.items[target->marks.count - 1];
}

static void
raise_mark (W2Target *target, const char *task, int64_t run)
{
  Run *mark = find_mark (target, task);
  if (mark->run < run)
    mark->run = run;
}

static void
end_run (W2Target *target, size_t index, const char *how)
{
  Run run = target->runs.items[index];
  gr_list_swap_remove (&target->runs, index);
  End end = { .number = ++target->end_number, .run = run.run, .how = how };
  memcpy (end.task, run.task, sizeof end.task);
  gr_list_push (&target->ends, end);
  raise_mark (target, run.task, run.run);
  w2_note (target->world, "executor %s: task %s run %lld ends %s", target->id, run.task,
           (long long) run.run, how);
}

static void
advance (W2Target *target)
{
  bool lapsed = target->deadline > 0 && own_clock (target) >= target->deadline;
  for (size_t i = 0; i < target->runs.count;) {
    const Run *run = &target->runs.items[i];
    if (w2_now () >= run->ends_at)
      end_run (target, i, run->how);
    else if (lapsed)
      end_run (target, i, "lapsed");
    else
      i++;
  }
}

static void
extend (W2Target *target, const json_t *body)
{
  int64_t deadline = json_integer_value (json_object_get (body, "deadlineMs"));
  int64_t longest = own_clock (target) + W2_HOLD_MAX_MS;
  if (deadline > longest)
    deadline = longest;
  if (deadline > target->deadline)
    target->deadline = deadline;
}

static void
answer (W2Target *target, NetHttpExchange *exchange, int status, json_t *body)
{
  json_object_set_new (body, "clockMs", json_integer (own_clock (target)));
  char *text = json_dumps (body, JSON_COMPACT);
  net_http_reply (exchange, status, GR_STR ("application/json"), gr_str_from_c (text));
  free (text);
  json_decref (body);
}

static void
refuse (W2Target *target, NetHttpExchange *exchange, const char *reason)
{
  answer (target, exchange, 409, json_pack ("{s:s}", "reason", reason));
}

static bool
is_running (const W2Target *target, const char *task, int64_t number)
{
  for (size_t i = 0; i < target->runs.count; i++) {
    if (target->runs.items[i].run == number && strcmp (target->runs.items[i].task, task) == 0)
      return true;
  }
  return false;
}

static void
start_run (W2Target *target, const char *task, const char *spec, int64_t number)
{
  const char *ms = strstr (spec, "ms=");
  int64_t now = w2_now ();
  Run run = {
    .run = number, .began_at = now, .ends_at = now + (ms ? atoll (ms + 3) : 0), .how = "done"
  };
  snprintf (run.task, sizeof run.task, "%s", task);
  gr_list_push (&target->runs, run);
  gr_list_push (&target->started, run);
  w2_note (target->world, "executor %s (kind %s): starts task %s run %lld fence %lld", target->id,
           target->kind, task, (long long) number, (long long) target->fence);
}

static void
handle_start (W2Target *target, NetHttpExchange *exchange, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  int64_t number = json_integer_value (json_object_get (body, "runId"));
  if (!task || !spec || strlen (task) >= W2_TEXT_SIZE) {
    answer (target, exchange, 400, json_object ());
  } else if (is_running (target, task, number)) {
    extend (target, body);
    answer (target, exchange, 200, json_object ());
  } else if (number <= find_mark (target, task)->run) {
    extend (target, body);
    refuse (target, exchange, "old");
  } else if (json_integer_value (json_object_get (body, "deadlineMs")) <= own_clock (target)) {
    refuse (target, exchange, "late");
  } else {
    extend (target, body);
    start_run (target, task, spec, number);
    answer (target, exchange, 200, json_object ());
  }
}

static void
handle_stop (W2Target *target, NetHttpExchange *exchange, const json_t *body)
{
  const char *task = json_string_value (json_object_get (body, "task"));
  int64_t number = json_integer_value (json_object_get (body, "runId"));
  if (!task) {
    answer (target, exchange, 400, json_object ());
    return;
  }
  raise_mark (target, task, number);
  for (size_t i = 0; i < target->runs.count; i++) {
    Run *run = &target->runs.items[i];
    int64_t at = w2_now () + STOP_MS;
    if (strcmp (run->task, task) != 0 || run->run > number || run->ends_at <= at)
      continue;
    run->ends_at = at;
    run->how = "stopped";
  }
  answer (target, exchange, 200, json_object ());
}

static void
answer_hold (W2Target *target, NetHttpExchange *exchange)
{
  json_t *running = json_array (), *finished = json_array ();
  for (size_t i = 0; i < target->runs.count; i++) {
    const Run *run = &target->runs.items[i];
    int64_t span = run->ends_at > run->began_at ? run->ends_at - run->began_at : 1;
    json_array_append_new (
        running, json_pack ("[s,I,s,I,i]", run->task, (json_int_t) run->run, "",
                            (json_int_t) (99 * (w2_now () - run->began_at) / span), 1000));
  }
  for (size_t i = 0; i < target->ends.count && i < ENDS_MAX; i++) {
    const End *end = &target->ends.items[i];
    json_array_append_new (finished, json_pack ("[I,s,I,s,s]", (json_int_t) end->number, end->task,
                                                (json_int_t) end->run, end->how, ""));
  }
  answer (target, exchange, 200,
          json_pack ("{s:I,s:o,s:o}", "born", (json_int_t) target->born, "running", running,
                     "finished", finished));
}

static void
on_close (void *user)
{
  Wait *wait = user;
  wait->exchange = NULL;
}

static void
acknowledge (W2Target *target, int64_t cursor)
{
  size_t kept = 0;
  for (size_t i = 0; i < target->ends.count; i++) {
    if (target->ends.items[i].number > cursor)
      target->ends.items[kept++] = target->ends.items[i];
  }
  target->ends.count = kept;
}

static void
handle_hold (W2Target *target, NetHttpExchange *exchange, const json_t *body)
{
  acknowledge (target, json_integer_value (json_object_get (body, "ackCursor")));
  extend (target, body);
  int64_t wait_ms = json_integer_value (json_object_get (body, "waitMs"));
  if (wait_ms <= 0 || target->ends.count > 0) {
    answer_hold (target, exchange);
    return;
  }
  Wait *wait = gr_calloc (1, sizeof *wait);
  wait->exchange = exchange;
  wait->due = w2_now () + (wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS);
  net_http_on_close (exchange, on_close, wait);
  wait->next = target->waits;
  target->waits = wait;
}

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  W2Target *target = user;
  advance (target);
  if (target->back_at > 0)
    return; /* cut off: no answer */
  if (request->kept_header.len > 0
      && !gr_str_equal (request->kept_header, gr_str_from_c (target->id))) {
    answer (target, exchange, 421, json_object ());
    return;
  }
  json_t *body = json_loadb (request->body.data, request->body.len, 0, NULL);
  int64_t fence = json_integer_value (json_object_get (body, "fencingToken"));
  if (!body) {
    answer (target, exchange, 400, json_object ());
  } else if (fence < target->fence) {
    refuse (target, exchange, "fence");
  } else {
    target->fence = fence;
    if (gr_str_equal (request->path, GR_STR ("/gentianrelay/run-start")))
      handle_start (target, exchange, body);
    else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/run-stop")))
      handle_stop (target, exchange, body);
    else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/hold")))
      handle_hold (target, exchange, body);
    else
      answer (target, exchange, 200, json_object ());
  }
  json_decref (body);
}

static void
report (W2Target *target)
{
  char text[1024];
  target->report_at = w2_now () + REPORT_MS;
  snprintf (text, sizeof text,
            "{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":32000,"
            "\"memMb\":65536,\"gpu\":0},\"labels\":[\"%s\",\"%s\"],\"machine\":\"m-%d\","
            "\"born\":%lld,\"clockMs\":%lld,\"sequence\":%lld}",
            net_http_server_port (target->server), target->zone, target->kind, target->rack,
            target->number, (long long) target->born, (long long) own_clock (target),
            (long long) ++target->sequence);
  w2_store_write (target->world->store, "keyed.servers", target->id, text);
}

static void
listen_on (W2Target *target, int port)
{
  NetHttpServerOptions options = { .listen_host = "127.0.0.1",
                                   .listen_port = port,
                                   .kept_header = "x-gentianrelay-expect-instance",
                                   .io_timeout_ms = 120000 };
  GrErr err = { 0 };
  target->server = net_http_server_new (target->world->loop, &options, on_request, target, &err);
  if (!target->server)
    w2_fail (target->world, "an executor cannot listen: %s", err.detail);
}

/* Starts again under its id, at its address, and knows nothing of before. */
static void
crash (W2Target *target)
{
  int port = net_http_server_port (target->server);
  w2_note (target->world, "executor %s: crashes with %zu runs, and starts again", target->id,
           target->runs.count);
  for (size_t i = 0; i < target->runs.count; i++)
    gr_list_push (&target->crashed, target->runs.items[i]);
  gr_list_reset (&target->runs);
  gr_list_reset (&target->ends);
  gr_list_reset (&target->marks);
  target->crash_at = 0;
  target->fence = target->deadline = target->sequence = target->end_number = 0;
  target->born = w2_unix_now ();
  target->zero = w2_now ();
  net_http_server_free (target->server);
  listen_on (target, port);
}

static void
on_timer (uv_timer_t *timer)
{
  W2Target *target = timer->data;
  advance (target);
  if (target->crash_at > 0 && w2_now () >= target->crash_at)
    crash (target);
  if (target->back_at > 0) {
    if (w2_now () < target->back_at)
      return;
    target->back_at = 0;
    report (target);
  }
  if (w2_now () >= target->report_at)
    report (target);
  /* An answer may bring the next call of its connection at once. */
  Wait *waits = target->waits;
  target->waits = NULL;
  while (waits) {
    Wait *wait = waits;
    waits = wait->next;
    if (wait->exchange && target->ends.count == 0 && w2_now () < wait->due) {
      wait->next = target->waits;
      target->waits = wait;
      continue;
    }
    if (wait->exchange) {
      net_http_on_close (wait->exchange, NULL, NULL);
      answer_hold (target, wait->exchange);
    }
    free (wait);
  }
}

W2Target *
w2_target_new (World *world, int number, const char *kind)
{
  W2Target *target = gr_calloc (1, sizeof *target);
  target->world = world;
  target->number = number;
  target->born = w2_unix_now ();
  target->zero = w2_now ();
  snprintf (target->id, sizeof target->id, "i-7f3a91%02x", (unsigned) number);
  snprintf (target->kind, sizeof target->kind, "%s", kind);
  snprintf (target->rack, sizeof target->rack, "r1-%d", number / 8);
  snprintf (target->zone, sizeof target->zone, "zone-%c", 'a' + number % 3);
  listen_on (target, 0);
  uv_timer_init (world->loop, &target->timer);
  target->timer.data = target;
  uv_timer_start (&target->timer, on_timer, TICK_MS, TICK_MS);
  report (target);
  world->targets[world->target_count++] = target;
  return target;
}

int
w2_target_starts (const World *world, const char *job)
{
  int count = 0;
  for (int t = 0; t < world->target_count; t++) {
    const W2Target *target = world->targets[t];
    for (size_t i = 0; i < target->started.count; i++)
      count += strncmp (target->started.items[i].task, job, strlen (job)) == 0;
  }
  return count;
}

bool
w2_target_works_on (const World *world, const char *job)
{
  for (int t = 0; t < world->target_count; t++) {
    const W2Target *target = world->targets[t];
    for (size_t i = 0; i < target->runs.count; i++) {
      if (strncmp (target->runs.items[i].task, job, strlen (job)) == 0)
        return true;
    }
  }
  return false;
}

bool
w2_target_cut (W2Target *target, int64_t crash_after_ms, int64_t back_after_ms)
{
  if (target->back_at > 0)
    return false;
  target->crash_at = w2_now () + crash_after_ms;
  target->back_at = w2_now () + back_after_ms;
  w2_note (target->world, "executor %s: is cut off with %zu runs", target->id, target->runs.count);
  return true;
}

int
w2_target_crashes (const World *world, const char *job)
{
  int count = 0;
  for (int t = 0; t < world->target_count; t++) {
    const W2Target *target = world->targets[t];
    for (size_t i = 0; i < target->crashed.count; i++)
      count += strncmp (target->crashed.items[i].task, job, strlen (job)) == 0;
  }
  return count;
}
