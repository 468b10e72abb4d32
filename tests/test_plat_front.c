/* Client calls over HTTP, in front of a cell that only records what reaches it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "platform/plat.h"

#define KEYS_SECRET "key-of-A"

/* Stand-in for a cell. */
struct Cell {
  uv_loop_t *loop;
  CellConfig config;
  CellAnswer answer;
  CellCall newest;
  int calls;
  CellCallDone done;
  void *user;
  uv_timer_t timer;
};

const CellConfig *
cell_config (const Cell *cell)
{
  return cell->config.version > 0 ? &cell->config : NULL;
}

static void
on_timer (uv_timer_t *timer)
{
  Cell *cell = timer->data;
  cell->done (cell->user, &cell->answer);
}

uint64_t
cell_call (Cell *cell, const CellCall *request, CellCallDone done, void *user)
{
  cell->newest = *request;
  cell->calls++;
  cell->done = done;
  cell->user = user;
  uv_timer_start (&cell->timer, on_timer, 1, 0);
  return 1;
}

void
cell_cancel_call (Cell *cell, uint64_t id)
{
  (void) cell;
  (void) id;
}

bool
cell_is_ready (const Cell *cell)
{
  (void) cell;
  return true;
}

void
cell_update_metrics (Cell *cell)
{
  (void) cell;
}

typedef struct {
  uv_loop_t loop;
  Cell cell;
  GrMetrics metrics;
  PlatFront *front;
  NetHttpClient *client;
  int port;
  int status; /* of the newest answer; -1: none yet */
  int log[2];
} Fixture;

static void
publish (Fixture *fixture, int version, const char *tenants)
{
  GrBuf text = { 0 };
  GrErr err = { 0 };
  gr_buf_printf (&text,
                 "{\"version\":%d,\"routes\":["
                 "{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\",\"service\":\"s\"},"
                 "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\",\"service\":\"s\","
                 "\"public\":true}],\"tenants\":%s}",
                 version, tenants);
  cell_config_clear (&fixture->cell.config);
  assert_true (plat_decode_config (NULL, gr_buf_str (&text), &fixture->cell.config, &err));
  gr_buf_clear (&text);
}

static int
free_port (uv_loop_t *loop)
{
  uv_tcp_t tcp;
  struct sockaddr_in address;
  int len = sizeof address;
  uv_tcp_init (loop, &tcp);
  uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_bind (&tcp, (struct sockaddr *) &address, 0);
  uv_tcp_getsockname (&tcp, (struct sockaddr *) &address, &len);
  uv_close ((uv_handle_t *) &tcp, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
  return ntohs (address.sin_port);
}

static Fixture *
new_fixture (void)
{
  Fixture *fixture = gr_calloc (1, sizeof *fixture);
  GrErr err = { 0 };
  uv_loop_init (&fixture->loop);
  fixture->cell.loop = &fixture->loop;
  fixture->cell.timer.data = &fixture->cell;
  uv_timer_init (&fixture->loop, &fixture->cell.timer);
  assert_int_equal (pipe (fixture->log), 0);
  gr_log_set_fd (fixture->log[1]);
  fixture->port = free_port (&fixture->loop);
  PlatFrontOptions options = { .listen = gr_name_format ("127.0.0.1:%d", fixture->port),
                               .ready_listen = gr_name ("127.0.0.1:0"),
                               .metrics = &fixture->metrics,
                               .log = { gr_name ("vm"), "test" } };
  fixture->front = plat_front_new (&fixture->loop, &options, &fixture->cell, &err);
  if (!fixture->front)
    fail_msg ("%s", err.detail);
  fixture->client = net_http_client_new (&fixture->loop, &(NetHttpClientOptions){ 1, 1 }, &err);
  assert_non_null (fixture->client);
  return fixture;
}

static void
free_fixture (Fixture *fixture)
{
  gr_log_set_fd (-1);
  net_http_client_free (fixture->client);
  plat_front_free (fixture->front);
  uv_close ((uv_handle_t *) &fixture->cell.timer, NULL);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  cell_config_clear (&fixture->cell.config);
  close (fixture->log[0]);
  close (fixture->log[1]);
  free (fixture);
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Fixture *fixture = user;
  fixture->status = answer->status;
}

/* Sends a request on the one connection of the client and returns the status of its answer. */
static int
call (Fixture *fixture, const char *method, const char *path, const char *authorization,
      const char *body)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d%s", fixture->port, path);
  NetHttpCall request = { .method = method,
                          .url = gr_buf_str (&url),
                          .authorization = gr_str_from_c (authorization),
                          .headers = GR_STR ("Host: h"),
                          .body = gr_str_from_c (body),
                          .timeout_at_ms = (int64_t) uv_now (&fixture->loop) + 5000 };
  fixture->status = -1;
  net_http_client_send (fixture->client, &request, on_answer, fixture);
  gr_buf_clear (&url);
  while (fixture->status < 0)
    uv_run (&fixture->loop, UV_RUN_ONCE);
  return fixture->status;
}

#define ID "0123456789abcdef"
#define BODY "{\"spec\":\"x\",\"steps\":[{\"count\":1}]}"
#define TENANTS "[{\"name\":\"A\",\"apiKeys\":[\"" KEYS_SECRET "\"]}]"

/* Guards against calls that reach the cell without a valid key or under a wrong account, against
   work on bodies of callers without one, and against a lost call where no key is needed. */
static void
calls_need_a_key_of_an_account (void **state)
{
  (void) state;
  static const struct {
    const char *tenants, *method, *path, *authorization, *body;
    int status;
    const char *account; /* of the call that reaches the cell; NULL: none does */
  } cases[] = {
    { TENANTS, "POST", "/q/" ID, "Bearer " KEYS_SECRET, BODY, 200, "A" },
    { TENANTS, "GET", "/q/" ID, "bearer " KEYS_SECRET, "", 200, "A" },
    { TENANTS, "DELETE", "/q/" ID, "Bearer " KEYS_SECRET, "", 200, "A" },
    { TENANTS, "GET", "/q/", "Bearer " KEYS_SECRET, "", 200, "A" },
    { TENANTS, "POST", "/q/" ID, "", BODY, 401, NULL },
    { TENANTS, "POST", "/q/" ID, "Bearer other", BODY, 401, NULL },
    { TENANTS, "POST", "/q/" ID, KEYS_SECRET, BODY, 401, NULL },
    { TENANTS, "GET", "/q/", "", "", 401, NULL },
    { TENANTS, "POST", "/q/" ID, "", "no JSON", 401, NULL },
    { TENANTS, "POST", "/q/short", "", BODY, 401, NULL },
    { TENANTS, "POST", "/none/" ID, "", BODY, 404, NULL },
    { TENANTS, "POST", "/none/" ID, "Bearer " KEYS_SECRET, BODY, 404, NULL },
    { TENANTS, "POST", "/q/" ID, "Bearer " KEYS_SECRET, "no JSON", 400, NULL },
    { TENANTS, "POST", "/p/" ID, "", BODY, 200, "" },
    { TENANTS, "POST", "/p/" ID, "Bearer " KEYS_SECRET, BODY, 200, "" },
    { TENANTS, "POST", "/p/" ID, "Bearer other", BODY, 200, "" },
    { "[]", "POST", "/q/" ID, "", BODY, 200, "" },
    { "[]", "POST", "/q/" ID, "Bearer " KEYS_SECRET, BODY, 200, "" },
    { "[{\"name\":7}]", "POST", "/q/" ID, "Bearer " KEYS_SECRET, BODY, 401, NULL },
  };
  Fixture *fixture = new_fixture ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    publish (fixture, 1, cases[i].tenants);
    fixture->cell.calls = 0;
    int status
        = call (fixture, cases[i].method, cases[i].path, cases[i].authorization, cases[i].body);
    if (status != cases[i].status || fixture->cell.calls != (cases[i].account != NULL))
      fail_msg ("case %zu: status %d, calls %d", i, status, fixture->cell.calls);
    if (cases[i].account)
      assert_true (gr_str_equal (gr_name_str (&fixture->cell.newest.account),
                                 gr_str_from_c (cases[i].account)));
  }
  free_fixture (fixture);
}

/* Guards against a withdrawn key that goes on working on a connection that was opened before, and
   against a new one that does not work there. */
static void
a_new_version_is_in_force_on_open_connections (void **state)
{
  (void) state;
  static const struct {
    const char *tenants;
    int status;
  } versions[] = { { TENANTS, 200 },
                   { "[{\"name\":\"A\",\"apiKeys\":[\"next\"]}]", 401 },
                   { "[{\"name\":\"B\",\"apiKeys\":[\"" KEYS_SECRET "\"]}]", 200 },
                   { "[]", 200 } };
  Fixture *fixture = new_fixture ();
  for (size_t i = 0; i < sizeof versions / sizeof versions[0]; i++) {
    publish (fixture, (int) i + 1, versions[i].tenants);
    for (int n = 0; n < 2; n++)
      assert_int_equal (call (fixture, "GET", "/q/" ID, "Bearer " KEYS_SECRET, ""),
                        versions[i].status);
  }
  free_fixture (fixture);
}

/* Guards against a log that callers without a key fill, and against keys in it. */
static void
refused_keys_are_counted_and_logged_once (void **state)
{
  (void) state;
  enum {
    CALLS = 50
  };
  Fixture *fixture = new_fixture ();
  publish (fixture, 1, TENANTS);
  for (int i = 0; i < CALLS; i++)
    assert_int_equal (call (fixture, "POST", "/q/" ID, "Bearer secret-of-nobody", BODY), 401);
  assert_int_equal (fixture->metrics.values[GR_METRIC_KEYS_REFUSED], CALLS);
  char log[8192] = "";
  ssize_t len = read (fixture->log[0], log, sizeof log - 1);
  assert_true (len > 0);
  const char *line = strstr (log, "E704");
  assert_non_null (line);
  assert_null (strstr (line + 1, "E704"));
  assert_null (strstr (log, "secret-of-nobody"));
  GrBuf page = { 0 };
  gr_metric_render (&fixture->metrics, &page);
  assert_null (strstr (page.data, "secret-of-nobody"));
  gr_buf_clear (&page);
  free_fixture (fixture);
}

/* Guards against an answer that tells more, or less, than what happened to the call. */
static void
answers_of_the_cell_become_their_status (void **state)
{
  (void) state;
  static const struct {
    CellAnswerKind kind;
    int status;
  } cases[] = { { CELL_ANSWER_ACCEPTED, 200 }, { CELL_ANSWER_FOREIGN, 409 },
                { CELL_ANSWER_NO_JOB, 410 },   { CELL_ANSWER_NO_QUEUE, 404 },
                { CELL_ANSWER_REFUSED, 503 },  { CELL_ANSWER_UNKNOWN, 504 } };
  Fixture *fixture = new_fixture ();
  publish (fixture, 1, TENANTS);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    fixture->cell.answer.kind = cases[i].kind;
    assert_int_equal (call (fixture, "POST", "/q/" ID, "Bearer " KEYS_SECRET, BODY),
                      cases[i].status);
  }
  free_fixture (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (calls_need_a_key_of_an_account),
    cmocka_unit_test (a_new_version_is_in_force_on_open_connections),
    cmocka_unit_test (refused_keys_are_counted_and_logged_once),
    cmocka_unit_test (answers_of_the_cell_become_their_status),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
