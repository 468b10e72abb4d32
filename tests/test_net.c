/* HTTP client and server over loopback. Guards against answers that reach the wrong exchange, lost
   close notices, unbounded input and a client that calls a failure certain when it is not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

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
  } else if (gr_str_equal (request->path, GR_STR ("/abort"))) {
    net_http_abort (exchange);
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

/* One call among many, with the answer it expects. */
typedef struct {
  Rig *rig;
  char body[32];
} OwnAnswer;

static void
on_own_answer (void *user, const NetHttpAnswer *answer)
{
  OwnAnswer *own = user;
  assert_int_equal (answer->status, 200);
  assert_true (gr_str_equal (answer->body, gr_str_from_c (own->body)));
  own->rig->answers++;
}

static void
answers_in_any_order_reach_their_own_call (void **state)
{
  (void) state;
  enum {
    COUNT = 300
  };
  Rig rig;
  rig_open (&rig, &loopback);
  OwnAnswer *calls = gr_calloc (COUNT, sizeof *calls);
  for (int i = 0; i < COUNT; i++) {
    char url[128];
    calls[i].rig = &rig;
    snprintf (calls[i].body, sizeof calls[i].body, "answer %d", i);
    snprintf (url, sizeof url, "%s/later?ms=%d", rig.base, (i * 37) % 50);
    net_http_client_send (rig.client,
                          &(NetHttpCall){ .method = "POST",
                                          .url = gr_str_from_c (url),
                                          .body = gr_str_from_c (calls[i].body),
                                          .timeout_at_ms = (int64_t) uv_now (&rig.loop) + 15000 },
                          on_own_answer, &calls[i]);
  }
  run_until_answers (&rig, COUNT);
  assert_int_equal (rig.handled, COUNT);
  free (calls);
  rig_close (&rig);
}

static void
a_caller_that_gives_up_is_noticed (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  send_call (&rig, "POST", "/hold", GR_STR ("x"), 100);
  run_until_answers (&rig, 1);
  assert_int_equal (rig.status, 0);
  assert_int_equal (rig.failure, GR_ERR_UNKNOWN);
  while (rig.closed == 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  while (net_http_server_open (rig.server) > 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  assert_int_equal (rig.closed, 1);
  rig_close (&rig);
}

static void
open_exchanges_end_with_the_server (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  send_call (&rig, "POST", "/hold", GR_STR ("x"), 10000);
  while (!rig.held)
    uv_run (&rig.loop, UV_RUN_ONCE);
  assert_int_equal (net_http_server_open (rig.server), 1);
  net_http_server_free (rig.server);
  rig.server = NULL;
  assert_int_equal (rig.closed, 1);
  run_until_answers (&rig, 1);
  assert_int_equal (rig.status, 0);
  assert_int_equal (rig.failure, GR_ERR_UNKNOWN);
  rig_close (&rig);
}

/* An idempotent call may be repeated after GR_ERR_UNAVAILABLE only because nothing was sent. */
static void
failures_tell_whether_anything_was_sent (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  send_call (&rig, "POST", "/abort", GR_STR ("x"), 10000);
  run_until_answers (&rig, 1);
  assert_int_equal (rig.failure, GR_ERR_UNKNOWN);
  send_call (&rig, "POST", "/echo", GR_STR ("x"), 0);
  run_until_answers (&rig, 2);
  assert_int_equal (rig.status, 0);
  assert_int_equal (rig.failure, GR_ERR_UNAVAILABLE);
  net_http_server_free (rig.server);
  rig.server = NULL;
  send_call (&rig, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&rig, 3);
  assert_int_equal (rig.status, 0);
  assert_int_equal (rig.failure, GR_ERR_UNAVAILABLE);
  rig_close (&rig);
}

/* libcurl repeats a request by itself when a reused connection breaks; the first copy ran. */
static void
a_broken_reused_connection_repeats_no_request (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  send_call (&rig, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&rig, 1);
  send_call (&rig, "POST", "/abort", GR_STR ("x"), 10000);
  run_until_answers (&rig, 2);
  assert_int_equal (rig.failure, GR_ERR_UNKNOWN);
  assert_int_equal (rig.handled, 2);
  rig_close (&rig);
}

static void
bodies_above_the_limit_get_413 (void **state)
{
  (void) state;
  static const struct {
    size_t len;
    int status;
  } cases[] = { { 1000, 200 }, { 1001, 413 }, { 200000, 413 } };
  Rig rig;
  rig_open (&rig, &(NetHttpServerOptions){ .listen_host = "127.0.0.1", .max_body_bytes = 1000 });
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    char *body = gr_calloc (cases[i].len, 1);
    memset (body, 'b', cases[i].len);
    send_call (&rig, "POST", "/echo", (GrStr){ body, cases[i].len }, 10000);
    run_until_answers (&rig, (int) i + 1);
    assert_int_equal (rig.status, cases[i].status);
    free (body);
  }
  assert_int_equal (rig.handled, 1);
  /* A body far above the limit is not read; the connection may be reset before 413 arrives. */
  size_t far = 5 * 1024 * 1024;
  char *body = gr_calloc (far, 1);
  int before = rig.answers;
  send_call (&rig, "POST", "/echo", (GrStr){ body, far }, 10000);
  run_until_answers (&rig, before + 1);
  assert_true (rig.status == 413 || (rig.status == 0 && rig.failure == GR_ERR_UNKNOWN));
  assert_int_equal (rig.handled, 1);
  free (body);
  rig_close (&rig);
}

/* A connection that sends given bytes and collects what comes back. */
typedef struct {
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  GrStr send;
  GrBuf got;
  bool ended;
  char chunk[4096];
} Raw;

static void
on_raw_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) suggested;
  Raw *raw = handle->data;
  *buf = uv_buf_init (raw->chunk, sizeof raw->chunk);
}

static void
on_raw_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  Raw *raw = stream->data;
  if (len < 0) {
    raw->ended = true;
    uv_close ((uv_handle_t *) stream, NULL);
    return;
  }
  gr_buf_append (&raw->got, buf->base, (size_t) len);
}

static void
on_raw_connected (uv_connect_t *connect, int status)
{
  Raw *raw = connect->data;
  assert_int_equal (status, 0);
  uv_read_start ((uv_stream_t *) &raw->tcp, on_raw_alloc, on_raw_read);
  uv_buf_t buf = uv_buf_init ((char *) raw->send.data, (unsigned) raw->send.len);
  uv_write (&raw->write, (uv_stream_t *) &raw->tcp, &buf, 1, NULL);
}

static void
raw_open (Raw *raw, Rig *rig, GrStr send)
{
  memset (raw, 0, sizeof *raw);
  raw->send = send;
  raw->tcp.data = raw;
  raw->connect.data = raw;
  struct sockaddr_in addr;
  uv_ip4_addr ("127.0.0.1", net_http_server_port (rig->server), &addr);
  uv_tcp_init (&rig->loop, &raw->tcp);
  uv_tcp_connect (&raw->connect, &raw->tcp, (struct sockaddr *) &addr, on_raw_connected);
}

static void
headers_above_the_limit_are_refused (void **state)
{
  (void) state;
  static const struct {
    int headers;
    int value_bytes;
    const char *status; /* NULL: closed without an answer */
    int handled;
  } cases[] = {
    { 1, 1000, "HTTP/1.1 200 ", 1 },   { 1, 20000, "HTTP/1.1 431 ", 0 },
    { 50, 1000, "HTTP/1.1 431 ", 0 },  { 150, 1, "HTTP/1.1 400 ", 0 },
    { 1, 600000, "HTTP/1.1 400 ", 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Rig rig;
    rig_open (&rig, &loopback);
    GrBuf request = { 0 };
    gr_buf_printf (&request, "GET /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (int h = 0; h < cases[i].headers; h++) {
      gr_buf_printf (&request, "x-%d: ", h);
      for (int b = 0; b < cases[i].value_bytes; b++)
        gr_buf_append (&request, "v", 1);
      gr_buf_printf (&request, "\r\n");
    }
    gr_buf_printf (&request, "\r\n");
    Raw raw;
    raw_open (&raw, &rig, gr_buf_str (&request));
    while (!raw.ended)
      uv_run (&rig.loop, UV_RUN_ONCE);
    if (raw.got.len > 0)
      assert_true (gr_str_starts_with (gr_buf_str (&raw.got), gr_str_from_c (cases[i].status)));
    else
      assert_int_equal (cases[i].handled, 0);
    assert_int_equal (rig.handled, cases[i].handled);
    gr_buf_clear (&request);
    gr_buf_clear (&raw.got);
    rig_close (&rig);
  }
}

static void
slow_senders_are_closed (void **state)
{
  (void) state;
  static const char *const parts[] = {
    "",
    "GET /ec",
    "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n",
    "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n12345",
  };
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++) {
    Rig rig;
    rig_open (&rig, &(NetHttpServerOptions){ .listen_host = "127.0.0.1", .io_timeout_ms = 200 });
    Raw raw;
    raw_open (&raw, &rig, gr_str_from_c (parts[i]));
    while (!raw.ended)
      uv_run (&rig.loop, UV_RUN_ONCE);
    assert_int_equal (rig.handled, 0);
    gr_buf_clear (&raw.got);
    rig_close (&rig);
  }
}

static void
pipelined_requests_are_answered_in_order (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  Raw raw;
  raw_open (&raw, &rig,
            GR_STR ("POST /later?ms=30 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nfirst"
                    "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n"
                    "connection: close\r\n\r\nsecond"));
  while (!raw.ended)
    uv_run (&rig.loop, UV_RUN_ONCE);
  const char *first = strstr (raw.got.data, "first");
  const char *second = strstr (raw.got.data, "second");
  assert_non_null (first);
  assert_non_null (second);
  assert_true (first < second);
  gr_buf_clear (&raw.got);
  rig_close (&rig);
}

static void
connections_above_the_limit_wait (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &(NetHttpServerOptions){
                      .listen_host = "127.0.0.1", .max_connections = 2, .io_timeout_ms = 200 });
  for (int i = 0; i < 6; i++)
    send_call (&rig, "POST", "/later?ms=5", GR_STR ("x"), 15000);
  while (rig.answers < 6) {
    uv_run (&rig.loop, UV_RUN_ONCE);
    assert_true (net_http_server_open (rig.server) <= 2);
  }
  assert_int_equal (rig.handled, 6);
  assert_int_equal (rig.status, 200);
  rig_close (&rig);
}

static void
a_stopping_server_still_answers_what_is_open (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  send_call (&rig, "POST", "/hold", GR_STR ("x"), 10000);
  while (!rig.held)
    uv_run (&rig.loop, UV_RUN_ONCE);
  net_http_server_stop_accepting (rig.server);
  uv_run (&rig.loop, UV_RUN_NOWAIT);
  send_call (&rig, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&rig, 1);
  assert_int_equal (rig.failure, GR_ERR_UNAVAILABLE);
  net_http_reply (rig.held, 200, GR_STR ("text/plain"), GR_STR ("done"));
  run_until_answers (&rig, 2);
  assert_int_equal (rig.status, 200);
  while (net_http_server_open (rig.server) > 0)
    uv_run (&rig.loop, UV_RUN_ONCE);
  assert_int_equal (rig.closed, 0);
  rig_close (&rig);
}

static void
query_numbers_fall_back_when_malformed (void **state)
{
  (void) state;
  static const struct {
    const char *query;
    int64_t value;
  } cases[] = {
    { "", -1 },     { "a=5", 5 },     { "b=1&a=5", 5 },  { "aa=7", -1 },
    { "a=", -1 },   { "a=x", -1 },    { "a", -1 },       { "a=-3", -3 },
    { "&&a=2", 2 }, { "a=1&a=2", 1 }, { "xa=1&a=9", 9 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_int_equal (net_http_query_int (gr_str_from_c (cases[i].query), GR_STR ("a"), -1),
                      cases[i].value);
}

static void
addresses_that_cannot_be_bound_are_typed_errors (void **state)
{
  (void) state;
  Rig rig;
  rig_open (&rig, &loopback);
  const struct {
    const char *host;
    int64_t port;
    GrErrCode code;
  } cases[] = {
    { "localhost", 0, GR_ERR_INVALID },
    { "", 0, GR_ERR_INVALID },
    { "127.0.0.1", 70000, GR_ERR_INVALID },
    { "127.0.0.1", net_http_server_port (rig.server), GR_ERR_IO },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NetHttpServerOptions options = { .listen_host = cases[i].host, .listen_port = cases[i].port };
    GrErr err = { 0 };
    assert_null (net_http_server_new (&rig.loop, &options, handle, &rig, &err));
    assert_int_equal (err.code, cases[i].code);
  }
  rig_close (&rig);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_carry_what_the_handler_saw),
    cmocka_unit_test (answers_in_any_order_reach_their_own_call),
    cmocka_unit_test (a_caller_that_gives_up_is_noticed),
    cmocka_unit_test (open_exchanges_end_with_the_server),
    cmocka_unit_test (failures_tell_whether_anything_was_sent),
    cmocka_unit_test (a_broken_reused_connection_repeats_no_request),
    cmocka_unit_test (bodies_above_the_limit_get_413),
    cmocka_unit_test (headers_above_the_limit_are_refused),
    cmocka_unit_test (slow_senders_are_closed),
    cmocka_unit_test (pipelined_requests_are_answered_in_order),
    cmocka_unit_test (connections_above_the_limit_wait),
    cmocka_unit_test (a_stopping_server_still_answers_what_is_open),
    cmocka_unit_test (query_numbers_fall_back_when_malformed),
    cmocka_unit_test (addresses_that_cannot_be_bound_are_typed_errors),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
