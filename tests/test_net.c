/* HTTP client and server over loopback. Guards against replies that reach the wrong call, close
   callbacks that do not run, unbounded input, and a client that reports a request as not sent
   although it may have been executed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "net/net_http.h"

/* A test that hangs fails after this, so that ctest reports its name. */
#define TEST_DEADLINE_MS 20000

typedef struct {
  NetHttpExchange *exchange;
  uv_timer_t timer;
  char *body;
  int closed;
} DelayedReply;

typedef struct {
  uv_loop_t loop;
  uv_timer_t watchdog;
  NetHttpServer *server;
  NetHttpClient *client;
  char base[64];
  int handled;
  int closed; /* close callbacks that ran */
  NetHttpExchange *held;
  int answers;
  int status;
  GrErrCode failure;
  bool peer_closed; /* of the newest answer */
  GrBuf body;
} Fixture;

static void
on_watchdog (uv_timer_t *timer)
{
  (void) timer;
  fail_msg ("no result before the test deadline");
}

static void
on_delayed_closed (uv_handle_t *handle)
{
  DelayedReply *delayed = handle->data;
  free (delayed->body);
  free (delayed);
}

static void
on_reply_time (uv_timer_t *timer)
{
  DelayedReply *delayed = timer->data;
  net_http_reply (delayed->exchange, 200, GR_STR ("text/plain"), gr_str_from_c (delayed->body));
  uv_close ((uv_handle_t *) timer, on_delayed_closed);
}

static void
on_exchange_close (void *user)
{
  Fixture *fixture = user;
  fixture->closed++;
  fixture->held = NULL;
}

static void
reply_later (Fixture *fixture, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  DelayedReply *delayed = gr_calloc (1, sizeof *delayed);
  delayed->exchange = exchange;
  delayed->body = gr_str_dup (request->body);
  uv_timer_init (&fixture->loop, &delayed->timer);
  delayed->timer.data = delayed;
  uv_timer_start (&delayed->timer, on_reply_time,
                  (uint64_t) net_http_query_int (request->query, GR_STR ("ms"), 0), 0);
}

static void
handle (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Fixture *fixture = user;
  fixture->handled++;
  if (gr_str_equal (request->path, GR_STR ("/echo"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->body);
  } else if (gr_str_equal (request->path, GR_STR ("/method"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->method);
  } else if (gr_str_equal (request->path, GR_STR ("/query"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->query);
  } else if (gr_str_equal (request->path, GR_STR ("/auth"))) {
    net_http_reply (exchange, 200, GR_STR ("text/plain"), request->authorization);
  } else if (gr_str_equal (request->path, GR_STR ("/later"))) {
    reply_later (fixture, exchange, request);
  } else if (gr_str_equal (request->path, GR_STR ("/large"))) {
    char *body = gr_calloc (300000, 1);
    memset (body, 'x', 300000);
    net_http_reply (exchange, 200, GR_STR ("text/plain"), (GrStr){ body, 300000 });
    free (body);
  } else if (gr_str_equal (request->path, GR_STR ("/abort"))) {
    net_http_abort (exchange);
  } else if (gr_str_equal (request->path, GR_STR ("/hold"))) {
    fixture->held = exchange;
    net_http_on_close (exchange, on_exchange_close, fixture);
  } else {
    net_http_reply (exchange, 404, GR_STR ("text/plain"), GR_STR (""));
  }
}

static void
fixture_open (Fixture *fixture, const NetHttpServerOptions *options)
{
  memset (fixture, 0, sizeof *fixture);
  uv_loop_init (&fixture->loop);
  uv_timer_init (&fixture->loop, &fixture->watchdog);
  uv_timer_start (&fixture->watchdog, on_watchdog, TEST_DEADLINE_MS, 0);
  GrErr err = { 0 };
  fixture->server = net_http_server_new (&fixture->loop, options, handle, fixture, &err);
  assert_non_null (fixture->server);
  fixture->client = net_http_client_new (&fixture->loop, NULL, &err);
  assert_non_null (fixture->client);
  snprintf (fixture->base, sizeof fixture->base, "http://127.0.0.1:%d",
            net_http_server_port (fixture->server));
}

static void
fixture_close (Fixture *fixture)
{
  net_http_client_free (fixture->client);
  net_http_server_free (fixture->server);
  uv_close ((uv_handle_t *) &fixture->watchdog, NULL);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&fixture->loop), 0);
  gr_buf_clear (&fixture->body);
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Fixture *fixture = user;
  fixture->answers++;
  fixture->status = answer->status;
  fixture->failure = answer->failure;
  fixture->peer_closed = answer->closed;
  fixture->body.len = 0;
  gr_buf_append_str (&fixture->body, answer->body);
}

static void
send_call (Fixture *fixture, const char *method, const char *path, GrStr body, int64_t timeout_ms)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s%s", fixture->base, path);
  uv_update_time (&fixture->loop);
  int before = fixture->answers;
  net_http_client_send (
      fixture->client,
      &(NetHttpCall){ .method = method,
                      .url = gr_buf_str (&url),
                      .body = body,
                      .authorization = GR_STR ("Bearer t"),
                      .timeout_at_ms = (int64_t) uv_now (&fixture->loop) + timeout_ms },
      on_answer, fixture);
  /* net_http_client_send() must never call done itself. */
  assert_int_equal (fixture->answers, before);
  gr_buf_clear (&url);
}

static void
run_until_answers (Fixture *fixture, int count)
{
  while (fixture->answers < count)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

static const NetHttpServerOptions loopback = { .listen_host = "127.0.0.1" };

static void
handler_receives_the_request_and_client_the_reply (void **state)
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
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    send_call (&fixture, cases[i].method, cases[i].path, gr_str_from_c (cases[i].body), 10000);
    run_until_answers (&fixture, (int) i + 1);
    assert_int_equal (fixture.status, cases[i].status);
    assert_true (gr_str_equal (gr_buf_str (&fixture.body), gr_str_from_c (cases[i].answer)));
  }
  send_call (&fixture, "GET", "/large", (GrStr){ 0 }, 10000);
  run_until_answers (&fixture, fixture.answers + 1);
  assert_int_equal (fixture.body.len, 300000);
  assert_true (net_http_client_bytes (fixture.client) > 300000);
  fixture_close (&fixture);
}

/* One of several concurrent calls, with its expected answer. */
typedef struct {
  Fixture *fixture;
  char body[32];
} ExpectedAnswer;

static void
on_expected_answer (void *user, const NetHttpAnswer *answer)
{
  ExpectedAnswer *expected = user;
  assert_int_equal (answer->status, 200);
  assert_true (gr_str_equal (answer->body, gr_str_from_c (expected->body)));
  expected->fixture->answers++;
}

static void
replies_in_any_order_reach_their_call (void **state)
{
  (void) state;
  enum {
    COUNT = 300
  };
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  ExpectedAnswer *calls = gr_calloc (COUNT, sizeof *calls);
  for (int i = 0; i < COUNT; i++) {
    char url[128];
    calls[i].fixture = &fixture;
    snprintf (calls[i].body, sizeof calls[i].body, "answer %d", i);
    snprintf (url, sizeof url, "%s/later?ms=%d", fixture.base, (i * 37) % 50);
    net_http_client_send (
        fixture.client,
        &(NetHttpCall){ .method = "POST",
                        .url = gr_str_from_c (url),
                        .body = gr_str_from_c (calls[i].body),
                        .timeout_at_ms = (int64_t) uv_now (&fixture.loop) + 15000 },
        on_expected_answer, &calls[i]);
  }
  run_until_answers (&fixture, COUNT);
  assert_int_equal (fixture.handled, COUNT);
  free (calls);
  fixture_close (&fixture);
}

static void
client_timeout_runs_the_close_callback (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  send_call (&fixture, "POST", "/hold", GR_STR ("x"), 100);
  run_until_answers (&fixture, 1);
  assert_int_equal (fixture.status, 0);
  assert_int_equal (fixture.failure, GR_ERR_UNKNOWN);
  assert_false (fixture.peer_closed);
  while (fixture.closed == 0)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  while (net_http_server_open (fixture.server) > 0)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  assert_int_equal (fixture.closed, 1);
  fixture_close (&fixture);
}

static void
freeing_the_server_ends_open_exchanges (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  send_call (&fixture, "POST", "/hold", GR_STR ("x"), 10000);
  while (!fixture.held)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  assert_int_equal (net_http_server_open (fixture.server), 1);
  net_http_server_free (fixture.server);
  fixture.server = NULL;
  assert_int_equal (fixture.closed, 1);
  run_until_answers (&fixture, 1);
  assert_int_equal (fixture.status, 0);
  assert_int_equal (fixture.failure, GR_ERR_UNKNOWN);
  assert_true (fixture.peer_closed);
  fixture_close (&fixture);
}

/* An idempotent call is repeated after GR_ERR_UNAVAILABLE, which is allowed only because nothing
   was sent. Guards also against silence that is taken for the end of the other process. */
static void
failures_distinguish_unsent_from_unknown (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  send_call (&fixture, "POST", "/abort", GR_STR ("x"), 10000);
  run_until_answers (&fixture, 1);
  assert_int_equal (fixture.failure, GR_ERR_UNKNOWN);
  assert_true (fixture.peer_closed);
  send_call (&fixture, "POST", "/echo", GR_STR ("x"), 0);
  run_until_answers (&fixture, 2);
  assert_int_equal (fixture.status, 0);
  assert_int_equal (fixture.failure, GR_ERR_UNAVAILABLE);
  assert_false (fixture.peer_closed);
  net_http_server_free (fixture.server);
  fixture.server = NULL;
  send_call (&fixture, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&fixture, 3);
  assert_int_equal (fixture.status, 0);
  assert_int_equal (fixture.failure, GR_ERR_UNAVAILABLE);
  assert_true (fixture.peer_closed);
  fixture_close (&fixture);
}

/* Guards against a request that is executed twice: libcurl retries a request when a reused
   connection breaks, although the first copy may have been executed. */
static void
broken_reused_connection_is_not_retried (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  send_call (&fixture, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&fixture, 1);
  send_call (&fixture, "POST", "/abort", GR_STR ("x"), 10000);
  run_until_answers (&fixture, 2);
  assert_int_equal (fixture.failure, GR_ERR_UNKNOWN);
  assert_int_equal (fixture.handled, 2);
  fixture_close (&fixture);
}

static void
bodies_above_the_limit_get_413 (void **state)
{
  (void) state;
  static const struct {
    size_t len;
    int status;
  } cases[] = { { 1000, 200 }, { 1001, 413 }, { 200000, 413 } };
  Fixture fixture;
  fixture_open (&fixture,
                &(NetHttpServerOptions){ .listen_host = "127.0.0.1", .max_body_bytes = 1000 });
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    char *body = gr_calloc (cases[i].len, 1);
    memset (body, 'b', cases[i].len);
    send_call (&fixture, "POST", "/echo", (GrStr){ body, cases[i].len }, 10000);
    run_until_answers (&fixture, (int) i + 1);
    assert_int_equal (fixture.status, cases[i].status);
    free (body);
  }
  assert_int_equal (fixture.handled, 1);
  /* A body far above the limit is not read; the connection may be reset before 413 arrives. */
  size_t far_len = 5 * 1024 * 1024;
  char *body = gr_calloc (far_len, 1);
  int before = fixture.answers;
  send_call (&fixture, "POST", "/echo", (GrStr){ body, far_len }, 10000);
  run_until_answers (&fixture, before + 1);
  assert_true (fixture.status == 413 || (fixture.status == 0 && fixture.failure == GR_ERR_UNKNOWN));
  assert_int_equal (fixture.handled, 1);
  free (body);
  fixture_close (&fixture);
}

/* A TCP connection that sends the given bytes and collects the received ones. */
typedef struct {
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  GrStr send;
  GrBuf received;
  bool ended;
  char chunk[4096];
} RawConnection;

static void
on_raw_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) suggested;
  RawConnection *raw = handle->data;
  *buf = uv_buf_init (raw->chunk, sizeof raw->chunk);
}

static void
on_raw_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  RawConnection *raw = stream->data;
  if (len < 0) {
    raw->ended = true;
    uv_close ((uv_handle_t *) stream, NULL);
    return;
  }
  gr_buf_append (&raw->received, buf->base, (size_t) len);
}

static void
on_raw_connected (uv_connect_t *connect, int status)
{
  RawConnection *raw = connect->data;
  assert_int_equal (status, 0);
  uv_read_start ((uv_stream_t *) &raw->tcp, on_raw_alloc, on_raw_read);
  uv_buf_t buf = uv_buf_init ((char *) raw->send.data, (unsigned) raw->send.len);
  uv_write (&raw->write, (uv_stream_t *) &raw->tcp, &buf, 1, NULL);
}

static void
raw_open (RawConnection *raw, Fixture *fixture, GrStr send)
{
  memset (raw, 0, sizeof *raw);
  raw->send = send;
  raw->tcp.data = raw;
  raw->connect.data = raw;
  struct sockaddr_in addr;
  uv_ip4_addr ("127.0.0.1", net_http_server_port (fixture->server), &addr);
  uv_tcp_init (&fixture->loop, &raw->tcp);
  uv_tcp_connect (&raw->connect, &raw->tcp, (struct sockaddr *) &addr, on_raw_connected);
}

static void
headers_above_the_limit_are_rejected (void **state)
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
    { 1, 600000, "HTTP/1.1 431 ", 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture;
    fixture_open (&fixture, &loopback);
    GrBuf request = { 0 };
    gr_buf_printf (&request, "GET /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (int h = 0; h < cases[i].headers; h++) {
      gr_buf_printf (&request, "x-%d: ", h);
      for (int b = 0; b < cases[i].value_bytes; b++)
        gr_buf_append (&request, "v", 1);
      gr_buf_printf (&request, "\r\n");
    }
    gr_buf_printf (&request, "\r\n");
    RawConnection raw;
    raw_open (&raw, &fixture, gr_buf_str (&request));
    while (!raw.ended)
      uv_run (&fixture.loop, UV_RUN_ONCE);
    if (raw.received.len > 0)
      assert_true (
          gr_str_starts_with (gr_buf_str (&raw.received), gr_str_from_c (cases[i].status)));
    else
      assert_int_equal (cases[i].handled, 0);
    assert_int_equal (fixture.handled, cases[i].handled);
    gr_buf_clear (&request);
    gr_buf_clear (&raw.received);
    fixture_close (&fixture);
  }
}

/* Guards against bodies over the limit that are read in, and against refusals that the client does
   not see. */
static void
requests_over_the_limits_are_refused_before_they_are_read (void **state)
{
  (void) state;
  static const struct {
    const char *head;
    int chunk_bytes;          /* sent after it */
    const char *first, *last; /* the only statuses, or the first and the last one */
    int handled;
  } cases[] = {
    { "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n", 0, "413", "413", 0 },
    { "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n"
      "expect: 100-continue\r\n\r\n",
      0, "413", "413", 0 },
    { "POST /echo HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n100000\r\n", 100000,
      "413", "413", 0 },
    { "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx"
      "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n",
      0, "200", "413", 1 },
    { "POST /later?ms=20 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx"
      "POST /echo HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n100000\r\n",
      100000, "200", "413", 1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture;
    fixture_open (&fixture,
                  &(NetHttpServerOptions){ .listen_host = "127.0.0.1", .max_body_bytes = 1000 });
    GrBuf request = { 0 };
    gr_buf_printf (&request, "%s", cases[i].head);
    for (int b = 0; b < cases[i].chunk_bytes; b++)
      gr_buf_append (&request, "x", 1);
    RawConnection raw;
    raw_open (&raw, &fixture, gr_buf_str (&request));
    while (!raw.ended)
      uv_run (&fixture.loop, UV_RUN_ONCE);
    char first[32], last[32];
    snprintf (first, sizeof first, "HTTP/1.1 %s ", cases[i].first);
    snprintf (last, sizeof last, "HTTP/1.1 %s ", cases[i].last);
    if (raw.received.len == 0 || strncmp (raw.received.data, first, strlen (first)) != 0
        || !strstr (raw.received.data, last) || strstr (raw.received.data, " 100 ")
        || fixture.handled != cases[i].handled)
      fail_msg ("case %zu: %d handled, %s", i, fixture.handled, raw.received.data);
    gr_buf_clear (&request);
    gr_buf_clear (&raw.received);
    fixture_close (&fixture);
  }
}

/* Guards against requests that never end and hold memory for which others wait. */
static void
unfinished_requests_make_room_for_others (void **state)
{
  (void) state;
  enum {
    COUNT = 24,
    BODY = 200000
  };
  Fixture fixture;
  fixture_open (&fixture, &(NetHttpServerOptions){ .listen_host = "127.0.0.1",
                                                   .max_body_bytes = BODY,
                                                   .memory_bytes = 4000000 });
  GrBuf request = { 0 };
  gr_buf_printf (&request, "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n", BODY);
  char *body = gr_calloc (BODY, 1);
  gr_buf_append (&request, body, BODY - 1);
  RawConnection *raws = gr_calloc (COUNT, sizeof *raws);
  for (int i = 0; i < COUNT; i++)
    raw_open (&raws[i], &fixture, gr_buf_str (&request));
  send_call (&fixture, "POST", "/echo", (GrStr){ body, BODY }, 15000);
  while (fixture.answers < 1) {
    uv_run (&fixture.loop, UV_RUN_ONCE);
    assert_true (net_http_server_stats (fixture.server).held_bytes <= 4000000);
  }
  assert_int_equal (fixture.status, 200);
  assert_int_equal (fixture.handled, 1);
  for (int i = 0; i < COUNT; i++) {
    if (!raws[i].ended)
      uv_close ((uv_handle_t *) &raws[i].tcp, NULL);
    uv_run (&fixture.loop, UV_RUN_NOWAIT);
    gr_buf_clear (&raws[i].received);
  }
  free (body);
  gr_buf_clear (&request);
  fixture_close (&fixture);
  free (raws);
}

/* Guards against answers that fill the memory of the caller. */
static void
answers_over_the_limit_fail (void **state)
{
  (void) state;
  static const struct {
    int64_t one, all; /* limits; 0: default */
    int status;
  } cases[] = { { 0, 0, 200 }, { 300000, 300000, 200 }, { 299999, 0, 0 }, { 0, 299999, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture;
    fixture_open (&fixture, &loopback);
    char url[128];
    snprintf (url, sizeof url, "%s/large", fixture.base);
    GrErr err = { 0 };
    NetHttpClient *client = net_http_client_new (
        &fixture.loop, &(NetHttpClientOptions){ .max_answer_bytes = cases[i].all }, &err);
    net_http_client_send (
        client,
        &(NetHttpCall){ .url = gr_str_from_c (url),
                        .max_answer_bytes = cases[i].one,
                        .timeout_at_ms = (int64_t) uv_now (&fixture.loop) + 10000 },
        on_answer, &fixture);
    run_until_answers (&fixture, 1);
    assert_int_equal (fixture.status, cases[i].status);
    assert_int_equal (net_http_client_too_large (client), cases[i].status == 0);
    if (cases[i].status == 0)
      assert_int_equal (fixture.failure, GR_ERR_UNKNOWN);
    net_http_client_free (client);
    fixture_close (&fixture);
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
    Fixture fixture;
    fixture_open (&fixture,
                  &(NetHttpServerOptions){ .listen_host = "127.0.0.1", .io_timeout_ms = 200 });
    RawConnection raw;
    raw_open (&raw, &fixture, gr_str_from_c (parts[i]));
    while (!raw.ended)
      uv_run (&fixture.loop, UV_RUN_ONCE);
    assert_int_equal (fixture.handled, 0);
    gr_buf_clear (&raw.received);
    fixture_close (&fixture);
  }
}

static void
pipelined_requests_are_answered_in_order (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  RawConnection raw;
  raw_open (&raw, &fixture,
            GR_STR ("POST /later?ms=30 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nfirst"
                    "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n"
                    "connection: close\r\n\r\nsecond"));
  while (!raw.ended)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  const char *first = strstr (raw.received.data, "first");
  const char *second = strstr (raw.received.data, "second");
  assert_non_null (first);
  assert_non_null (second);
  assert_true (first < second);
  gr_buf_clear (&raw.received);
  fixture_close (&fixture);
}

static void
connections_above_the_limit_wait (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &(NetHttpServerOptions){ .listen_host = "127.0.0.1",
                                                   .max_connections = 2,
                                                   .io_timeout_ms = 200 });
  for (int i = 0; i < 6; i++)
    send_call (&fixture, "POST", "/later?ms=5", GR_STR ("x"), 15000);
  while (fixture.answers < 6) {
    uv_run (&fixture.loop, UV_RUN_ONCE);
    assert_true (net_http_server_open (fixture.server) <= 2);
  }
  assert_int_equal (fixture.handled, 6);
  assert_int_equal (fixture.status, 200);
  fixture_close (&fixture);
}

static void
stopping_server_still_replies_to_open_exchanges (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  send_call (&fixture, "POST", "/hold", GR_STR ("x"), 10000);
  while (!fixture.held)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  net_http_server_stop_accepting (fixture.server);
  uv_run (&fixture.loop, UV_RUN_NOWAIT);
  send_call (&fixture, "POST", "/echo", GR_STR ("x"), 10000);
  run_until_answers (&fixture, 1);
  assert_int_equal (fixture.failure, GR_ERR_UNAVAILABLE);
  net_http_reply (fixture.held, 200, GR_STR ("text/plain"), GR_STR ("done"));
  run_until_answers (&fixture, 2);
  assert_int_equal (fixture.status, 200);
  while (net_http_server_open (fixture.server) > 0)
    uv_run (&fixture.loop, UV_RUN_ONCE);
  assert_int_equal (fixture.closed, 0);
  fixture_close (&fixture);
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
addresses_that_cannot_be_bound_return_typed_errors (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  const struct {
    const char *host;
    int64_t port;
    GrErrCode code;
  } cases[] = {
    { "localhost", 0, GR_ERR_INVALID },
    { "", 0, GR_ERR_INVALID },
    { "127.0.0.1", 70000, GR_ERR_INVALID },
    { "127.0.0.1", net_http_server_port (fixture.server), GR_ERR_IO },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NetHttpServerOptions options = { .listen_host = cases[i].host, .listen_port = cases[i].port };
    GrErr err = { 0 };
    assert_null (net_http_server_new (&fixture.loop, &options, handle, &fixture, &err));
    assert_int_equal (err.code, cases[i].code);
  }
  fixture_close (&fixture);
}

/* Guards against "not run" for a call that runs: a client sends its whole request, closes its
   sending side and reads on. The server cannot tell it from one that has left, so the call is
   dropped; it may have been passed on before. */
static void
half_closed_clients_get_no_false_answer (void **state)
{
  (void) state;
  static const struct {
    const char *name, *request;
  } cases[] = {
    { "with a body", "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" },
    { "without one", "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n" },
    { "the last one on its connection",
      "DELETE /hold HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" },
    { "HTTP/1.0", "POST /hold HTTP/1.0\r\nContent-Length: 1\r\n\r\nx" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture;
    fixture_open (&fixture, &loopback);
    RawConnection raw;
    raw_open (&raw, &fixture, gr_str_from_c (cases[i].request));
    while (!fixture.held)
      uv_run (&fixture.loop, UV_RUN_ONCE);
    uv_shutdown_t shutdown;
    uv_shutdown (&shutdown, (uv_stream_t *) &raw.tcp, NULL);
    while (!raw.ended)
      uv_run (&fixture.loop, UV_RUN_ONCE);
    assert_int_equal (fixture.closed, 1);
    if (raw.received.len > 0)
      fail_msg ("%s: answered %s", cases[i].name, raw.received.data);
    gr_buf_clear (&raw.received);
    fixture_close (&fixture);
  }
}

/* Longer than any delay of the loop in this test. */
#define BLOCKED_MS 300

/* Two calls whose answers become readable in the same iteration of the loop. */
typedef struct {
  Fixture *fixture;
  NetHttpExchange *exchanges[2];
  int asked;
  int64_t resumed_at_ms; /* end of the pause in the first callback; 0: not yet */
  int64_t dated_at_ms;   /* time of the loop in the second one */
} Burst;

static void
handle_burst (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  (void) request;
  Burst *burst = user;
  burst->exchanges[burst->asked++] = exchange;
  for (int i = 0; i < 2 && burst->asked == 2; i++)
    net_http_reply (burst->exchanges[i], 200, GR_STR ("text/plain"), GR_STR ("x"));
}

static void
on_burst_answer (void *user, const NetHttpAnswer *answer)
{
  Burst *burst = user;
  assert_int_equal (answer->status, 200);
  burst->fixture->answers++;
  if (burst->resumed_at_ms > 0) {
    burst->dated_at_ms = (int64_t) uv_now (&burst->fixture->loop);
    return;
  }
  uv_sleep (BLOCKED_MS);
  burst->resumed_at_ms = (int64_t) (uv_hrtime () / 1000000);
}

/* Guards against answers that are dated before they were given: a process that was paused within an
   iteration of its loop read them by the time at which the iteration had begun. */
static void
answers_are_dated_after_they_were_read (void **state)
{
  (void) state;
  Fixture fixture;
  fixture_open (&fixture, &loopback);
  Burst burst = { .fixture = &fixture };
  GrErr err = { 0 };
  NetHttpServer *server
      = net_http_server_new (&fixture.loop, &loopback, handle_burst, &burst, &err);
  assert_non_null (server);
  char url[64];
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", net_http_server_port (server));
  for (int i = 0; i < 2; i++)
    net_http_client_send (
        fixture.client,
        &(NetHttpCall){ .url = gr_str_from_c (url),
                        .timeout_at_ms = (int64_t) uv_now (&fixture.loop) + 10000 },
        on_burst_answer, &burst);
  run_until_answers (&fixture, 2);
  assert_true (burst.dated_at_ms >= burst.resumed_at_ms);
  net_http_server_free (server);
  fixture_close (&fixture);
}

/* Guards against requests that a process which was paused before it could write them sends when it
   goes on, long after the caller has taken them as lost. */
static void
requests_are_not_sent_after_their_deadline (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    int64_t timeout_ms;
    int handled;
    GrErrCode failure;
  } cases[] = { { "pause within the timeout", 10000, 1, GR_ERR_NONE },
                { "pause beyond the timeout", BLOCKED_MS / 2, 0, GR_ERR_UNAVAILABLE } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Fixture fixture;
    fixture_open (&fixture, &loopback);
    /* The second call has an open connection, so that it is written at once. */
    send_call (&fixture, "POST", "/echo", GR_STR ("a"), 10000);
    run_until_answers (&fixture, 1);
    send_call (&fixture, "POST", "/echo", GR_STR ("b"), cases[i].timeout_ms);
    uv_sleep (BLOCKED_MS);
    run_until_answers (&fixture, 2);
    /* The server has read all that was sent before. */
    send_call (&fixture, "POST", "/echo", GR_STR ("c"), 10000);
    GrErrCode failure = fixture.failure;
    run_until_answers (&fixture, 3);
    if (fixture.handled - 2 != cases[i].handled || failure != cases[i].failure)
      fail_msg ("%s: %d handled, %s", cases[i].name, fixture.handled - 2, gr_err_name (failure));
    fixture_close (&fixture);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (handler_receives_the_request_and_client_the_reply),
    cmocka_unit_test (replies_in_any_order_reach_their_call),
    cmocka_unit_test (answers_are_dated_after_they_were_read),
    cmocka_unit_test (requests_are_not_sent_after_their_deadline),
    cmocka_unit_test (client_timeout_runs_the_close_callback),
    cmocka_unit_test (freeing_the_server_ends_open_exchanges),
    cmocka_unit_test (failures_distinguish_unsent_from_unknown),
    cmocka_unit_test (broken_reused_connection_is_not_retried),
    cmocka_unit_test (bodies_above_the_limit_get_413),
    cmocka_unit_test (headers_above_the_limit_are_rejected),
    cmocka_unit_test (requests_over_the_limits_are_refused_before_they_are_read),
    cmocka_unit_test (unfinished_requests_make_room_for_others),
    cmocka_unit_test (answers_over_the_limit_fail),
    cmocka_unit_test (slow_senders_are_closed),
    cmocka_unit_test (pipelined_requests_are_answered_in_order),
    cmocka_unit_test (connections_above_the_limit_wait),
    cmocka_unit_test (stopping_server_still_replies_to_open_exchanges),
    cmocka_unit_test (query_numbers_fall_back_when_malformed),
    cmocka_unit_test (addresses_that_cannot_be_bound_return_typed_errors),
    cmocka_unit_test (half_closed_clients_get_no_false_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
