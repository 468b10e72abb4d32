/* HTTP client and server over loopback. Guards against answers that reach the wrong exchange, lost
   close notices, unbounded input and a client that calls a failure certain when it is not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "net/net_http.h"

/* A test that hangs is ended by this, so that ctest can name it. */
#define TEST_DEADLINE_MS 20000

typedef struct {
  NetHttpExchange *exchange;
  uv_timer_t timer;
  char *body;
  int closed;
} Waiting;

typedef struct {
  uv_loop_t loop;
  uv_timer_t guard;
  NetHttpServer *server;
  NetHttpClient *client;
  char base[64];
  int handled;
  int closed; /* close callbacks that ran */
  NetHttpExchange *held;
  int answers;
  int status;
  GrErrCode failure;
  GrBuf body;
} Rig;

static void
on_guard (uv_timer_t *timer)
{
  (void) timer;
  fail_msg ("no result before the test deadline");
}

static void
on_waiting_closed (uv_handle_t *handle)
{
  Waiting *waiting = handle->data;
  free (waiting->body);
  free (waiting);
}

static void
on_reply_time (uv_timer_t *timer)
{
  Waiting *waiting = timer->data;
  net_http_reply (waiting->exchange, 200, GR_STR ("text/plain"), gr_str_from_c (waiting->body));
  uv_close ((uv_handle_t *) timer, on_waiting_closed);
}

static void
on_exchange_close (void *user)
{
  Rig *rig = user;
  rig->closed++;
  rig->held = NULL;
}

static void
reply_later (Rig *rig, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Waiting *waiting = gr_calloc (1, sizeof *waiting);
  waiting->exchange = exchange;
  waiting->body = gr_str_dup (request->body);
  uv_timer_init (&rig->loop, &waiting->timer);
  waiting->timer.data = waiting;
  uv_timer_start (&waiting->timer, on_reply_time,
                  (uint64_t) net_http_query_int (request->query, GR_STR ("ms"), 0), 0);
}

static void
handle (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Rig *rig = user;
  rig->handled++;
  if (gr_str_equal (request->path, GR_STR ("/echo"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->body);
  } else if (gr_str_equal (request->path, GR_STR ("/method"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->method);
  } else if (gr_str_equal (request->path, GR_STR ("/query"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->query);
  } else if (gr_str_equal (request->path, GR_STR ("/auth"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->authorization);
  } else if (gr_str_equal (request->path, GR_STR ("/later"))) {
    reply_later (rig, exchange, request);
  } else if (gr_str_equal (request->path, GR_STR ("/large"))) {
    char *body = gr_calloc (300000, 1);
    memset (body, 'x', 300000);
    net_http_reply (exchange, 200, GR_STR ("text/plain"), (GrStr){ body, 300000 });
    free (body);
  } else if (gr_str_equal (request->path, GR_STR ("/hold"))) {
    rig->held = exchange;
    net_http_on_close (exchange, on_exchange_close, rig);
  } else {
    net_http_reply (exchange, 404, GR_STR ("text/plain"), GR_STR (""));
  }
}

static void
rig_open (Rig *rig, const NetHttpServerOptions *options)
{
  memset (rig, 0, sizeof *rig);
  uv_loop_init (&rig->loop);
  uv_timer_init (&rig->loop, &rig->guard);
  uv_timer_start (&rig->guard, on_guard, TEST_DEADLINE_MS, 0);
  GrErr err = { 0 };
  rig->server = net_http_server_new (&rig->loop, options, handle, rig, &err);
  assert_non_null (rig->server);
  rig->client = net_http_client_new (&rig->loop, NULL, &err);
  assert_non_null (rig->client);
  snprintf (rig->base, sizeof rig->base, "http://127.0.0.1:%d", net_http_server_port (rig->server));
}

static void
rig_close (Rig *rig)
{
  net_http_client_free (rig->client);
  net_http_server_free (rig->server);
  uv_close ((uv_handle_t *) &rig->guard, NULL);
  uv_run (&rig->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&rig->loop), 0);
  gr_buf_clear (&rig->body);
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Rig *rig = user;
  rig->answers++;
  rig->status = answer->status;
  rig->failure = answer->failure;
  rig->body.len = 0;
  gr_buf_append_str (&rig->body, answer->body);
}

static void
send_call (Rig *rig, const char *method, const char *path, GrStr body, int64_t timeout_ms)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s%s", rig->base, path);
  uv_update_time (&rig->loop);
  int before = rig->answers;
  net_http_client_send (
      rig->client,
      &(NetHttpCall){ .method = method,
                      .url = gr_buf_str (&url),
                      .body = body,
                      .authorization = GR_STR ("Bearer t"),
                      .timeout_at_ms = (int64_t) uv_now (&rig->loop) + timeout_ms },
      on_answer, rig);
  /* The contract: done never runs from within the call. */
  assert_int_equal (rig->answers, before);
  gr_buf_clear (&url);
}

static void
run_until_answers (Rig *rig, int count)
{
  while (rig->answers < count)
    uv_run (&rig->loop, UV_RUN_ONCE);
}

static const NetHttpServerOptions loopback = { .listen_host = "127.0.0.1" };

static void
answers_carry_what_the_handler_saw (void **state)
{
  (void) state;
  static const struct {
    const char *method, *path, *body;
    int status;
    const char *answer;
  } cases[] = {
    { "POST", "/echo", "hello", 200, "hello" },
    { "POST", "/echo", "", 200, "" },
    { "GET", "/query?a=1&b=2", "", 200, "a=1&b=2" },
    { "GET", "/query", "", 200, "" },
    { "GET", "/method", "", 200, "GET" },
    { "DELETE", "/method", "", 200, "DELETE" },
    { "PUT", "/method", "x", 200, "PUT" },
    { "GET", "/auth", "", 200, "Bearer t" },
    { "GET", "/none", "", 404, "" },
    { "POST", "/later?ms=5", "late", 200, "late" },
    { "POST", "/later?ms=0", "soon", 200, "soon" },
  };
  Rig rig;
  rig_open (&rig, &loopback);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    send_call (&rig, cases[i].method, cases[i].path, gr_str_from_c (cases[i].body), 10000);
    run_until_answers (&rig, (int) i + 1);
    assert_int_equal (rig.status, cases[i].status);
    assert_true (gr_str_equal (gr_buf_str (&rig.body), gr_str_from_c (cases[i].answer)));
  }
  send_call (&rig, "GET", "/large", (GrStr){ 0 }, 10000);
  run_until_answers (&rig, rig.answers + 1);
  assert_int_equal (rig.body.len, 300000);
  assert_true (net_http_client_bytes (rig.client) > 300000);
  rig_close (&rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_carry_what_the_handler_saw),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
