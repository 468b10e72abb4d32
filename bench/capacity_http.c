/* Bytes and processor time of one HTTP exchange over loopback, client and server together, for
   the capacity page. The bodies have the sizes of the calls that the daemon makes. Prints
   name=value lines. */
#include <stdlib.h>
#include <sys/resource.h>

#include "capacity.h"
#include "net/net_http.h"

#define WARM_UP 200
#define EXCHANGES 3000
#define HELD_MAX 256

typedef struct {
  uv_loop_t loop;
  NetHttpServer *server;
  NetHttpClient *client;
  const char *method;
  GrStr url;
  GrStr body;
  GrStr answer;
  int left;
  int failed;
  bool hold; /* keep exchanges open instead of answering them */
  NetHttpExchange *held[HELD_MAX];
  int held_count;
} Harness;

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Harness *harness = user;
  (void) request;
  if (harness->hold && harness->held_count < HELD_MAX)
    harness->held[harness->held_count++] = exchange;
  else
    net_http_reply (exchange, 200, GR_STR ("application/json"), harness->answer);
}

static void on_answer (void *user, const NetHttpAnswer *answer);

static void
send_one (Harness *harness)
{
  NetHttpCall call = { .method = harness->method,
                       .url = harness->url,
                       .body = harness->body,
                       .timeout_at_ms = (int64_t) uv_now (&harness->loop) + 5000 };
  net_http_client_send (harness->client, &call, on_answer, harness);
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Harness *harness = user;
  if (answer->status != 200)
    harness->failed++;
  if (--harness->left > 0)
    send_one (harness);
  else
    uv_stop (&harness->loop);
}

static void
run_exchanges (Harness *harness, int count)
{
  harness->left = count;
  send_one (harness);
  uv_run (&harness->loop, UV_RUN_DEFAULT);
}

static void
measure (Harness *harness, const char *name, const char *method, const char *path, size_t body,
         size_t answer)
{
  static char bytes[8192];
  char url[256];
  int len = snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
                      net_http_server_port (harness->server), path);
  harness->method = method;
  harness->url = (GrStr){ url, (size_t) len };
  harness->body = (GrStr){ bytes, body };
  harness->answer = (GrStr){ bytes, answer };
  run_exchanges (harness, WARM_UP);
  int64_t before = net_http_client_bytes (harness->client);
  double start = capacity_cpu_us ();
  run_exchanges (harness, EXCHANGES);
  double spent = capacity_cpu_us () - start;
  printf ("http_%s_bytes=%.1f\n", name,
          (double) (net_http_client_bytes (harness->client) - before) / EXCHANGES);
  printf ("http_%s_us=%.1f\n", name, spent / EXCHANGES);
  if (harness->failed > 0)
    fprintf (stderr, "%s: %d exchanges failed\n", name, harness->failed);
}

/* Heap bytes per call that waits for its answer, on client and server together. */
static double
bytes_per_open_call (Harness *harness)
{
  static const int counts[] = { 32, HELD_MAX };
  double heap[2];
  harness->hold = true;
  for (int c = 0; c < 2; c++) {
    while (harness->held_count < counts[c]) {
      int before = harness->held_count;
      harness->left = 0;
      send_one (harness);
      while (harness->held_count == before)
        uv_run (&harness->loop, UV_RUN_ONCE);
    }
    heap[c] = capacity_heap_bytes ();
  }
  harness->hold = false;
  harness->left = counts[1];
  for (int i = 0; i < counts[1]; i++)
    net_http_reply (harness->held[i], 200, GR_STR ("application/json"), GR_STR ("{}"));
  return capacity_slope (heap[0], heap[1], counts[0], counts[1]);
}

int
main (void)
{
  Harness harness = { 0 };
  GrErr err = { 0 };
  uv_loop_init (&harness.loop);
  NetHttpServerOptions server = { .listen_host = "127.0.0.1", .max_connections = 512 };
  harness.server = net_http_server_new (&harness.loop, &server, on_request, &harness, &err);
  NetHttpClientOptions client = { .max_connections_per_host = 512, .max_connections = 512 };
  harness.client = harness.server ? net_http_client_new (&harness.loop, &client, &err) : NULL;
  if (!harness.client) {
    fprintf (stderr, "%s\n", err.detail);
    return 1;
  }
  /* Method, path, bytes of the body, bytes of the answer. */
  measure (&harness, "empty", "GET", "/x", 0, 2);
  measure (&harness, "log_read_idle", "GET", "/log/ownership-north?from=1234567&max=1000", 0, 12);
  measure (&harness, "list_read_idle", "GET", "/vms?since=1234567", 0, 52);
  measure (&harness, "list_read_one_change", "GET", "/vms?since=1234567", 0, 332);
  measure (&harness, "append_500", "POST", "/log/jobs-north", 500, 18);
  measure (&harness, "append_4000", "POST", "/log/jobs-north", 4000, 18);
  measure (&harness, "poll_empty", "GET", "/tasks?epoch=12&after=12345&wait_ms=20000", 0, 42);
  measure (&harness, "poll_one_end", "GET", "/tasks?epoch=12&after=12345&wait_ms=20000", 0, 300);
  measure (&harness, "start_256", "POST", "/start", 496, 2);
  measure (&harness, "lease_8", "POST", "/lease", 264, 2);
  measure (&harness, "lease_64", "POST", "/lease", 1832, 2);
  measure (&harness, "request_256", "POST", "/v1/requests", 480, 130);
  measure (&harness, "request_4096", "POST", "/v1/requests", 4320, 1090);
  char url[64];
  int len = snprintf (url, sizeof url, "http://127.0.0.1:%d/held",
                      net_http_server_port (harness.server));
  harness.method = "GET";
  harness.url = (GrStr){ url, (size_t) len };
  harness.body = (GrStr){ NULL, 0 };
  printf ("http_heap_bytes_per_open_call=%.0f\n", bytes_per_open_call (&harness));
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  printf ("http_process_rss_kb=%ld\n", usage.ru_maxrss);
  return 0;
}
