/* Bytes and processor time of one HTTP exchange over loopback, client and server together, for the
   capacity page. The bodies have the sizes of the calls that the daemon makes. Prints name=value
   lines. */
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
  bool hold; /* keep the exchanges open */
  NetHttpExchange *held[HELD_MAX];
  int held_count;
} World;

static void
handle (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  World *world = user;
  (void) request;
  if (world->hold && world->held_count < HELD_MAX)
    world->held[world->held_count++] = exchange;
  else
    net_http_reply (exchange, 200, GR_STR ("application/json"), world->answer);
}

static void done (void *user, const NetHttpAnswer *answer);

static void
send_one (World *world)
{
  NetHttpCall call = { .method = world->method,
                       .url = world->url,
                       .body = world->body,
                       .timeout_at_ms = (int64_t) uv_now (&world->loop) + 5000 };
  net_http_client_send (world->client, &call, done, world);
}

static void
done (void *user, const NetHttpAnswer *answer)
{
  World *world = user;
  if (answer->status != 200)
    world->failed++;
  if (--world->left > 0)
    send_one (world);
  else
    uv_stop (&world->loop);
}

static void
exchange (World *world, int count)
{
  world->left = count;
  send_one (world);
  uv_run (&world->loop, UV_RUN_DEFAULT);
}

static void
measure (World *world, const char *name, const char *method, const char *path, size_t body,
         size_t answer)
{
  static char bytes[8192];
  char url[256];
  int len = snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
                      net_http_server_port (world->server), path);
  world->method = method;
  world->url = (GrStr){ url, (size_t) len };
  world->body = (GrStr){ bytes, body };
  world->answer = (GrStr){ bytes, answer };
  exchange (world, WARM_UP);
  int64_t before = net_http_client_bytes (world->client);
  double start = capacity_cpu_us ();
  exchange (world, EXCHANGES);
  double spent = capacity_cpu_us () - start;
  printf ("http_%s_bytes=%.1f\n", name,
          (double) (net_http_client_bytes (world->client) - before) / EXCHANGES);
  printf ("http_%s_us=%.1f\n", name, spent / EXCHANGES);
  if (world->failed > 0)
    fprintf (stderr, "%s: %d failed\n", name, world->failed);
}

/* Heap bytes per call that waits for its answer, client and server together. */
static double
bytes_per_open_call (World *world)
{
  static const int counts[] = { 32, HELD_MAX };
  double heap[2];
  world->hold = true;
  for (int c = 0; c < 2; c++) {
    while (world->held_count < counts[c]) {
      int before = world->held_count;
      world->left = 0;
      send_one (world);
      while (world->held_count == before)
        uv_run (&world->loop, UV_RUN_ONCE);
    }
    heap[c] = capacity_heap ();
  }
  world->hold = false;
  world->left = counts[1];
  for (int i = 0; i < counts[1]; i++)
    net_http_reply (world->held[i], 200, GR_STR ("application/json"), GR_STR ("{}"));
  return capacity_slope (heap[0], heap[1], counts[0], counts[1]);
}

int
main (void)
{
  World world = { 0 };
  GrErr err = { 0 };
  uv_loop_init (&world.loop);
  NetHttpServerOptions server = { .listen_host = "127.0.0.1", .max_connections = 512 };
  world.server = net_http_server_new (&world.loop, &server, handle, &world, &err);
  NetHttpClientOptions client = { .max_connections_per_host = 512, .max_connections = 512 };
  world.client = world.server ? net_http_client_new (&world.loop, &client, &err) : NULL;
  if (!world.client) {
    fprintf (stderr, "%s\n", err.detail);
    return 1;
  }
  /* Method, path, bytes of the body and of the answer. */
  measure (&world, "empty", "GET", "/x", 0, 2);
  measure (&world, "log_read_idle", "GET", "/log/ownership-north?from=1234567&max=1000", 0, 12);
  measure (&world, "list_read_idle", "GET", "/vms?since=1234567", 0, 52);
  measure (&world, "list_read_one_change", "GET", "/vms?since=1234567", 0, 332);
  measure (&world, "append_500", "POST", "/log/jobs-north", 500, 18);
  measure (&world, "append_4000", "POST", "/log/jobs-north", 4000, 18);
  measure (&world, "poll_empty", "GET", "/tasks?epoch=12&after=12345&wait_ms=20000", 0, 42);
  measure (&world, "poll_one_end", "GET", "/tasks?epoch=12&after=12345&wait_ms=20000", 0, 300);
  measure (&world, "start_256", "POST", "/start", 496, 2);
  measure (&world, "lease_8", "POST", "/lease", 264, 2);
  measure (&world, "lease_64", "POST", "/lease", 1832, 2);
  measure (&world, "request_256", "POST", "/v1/requests", 480, 130);
  measure (&world, "request_4096", "POST", "/v1/requests", 4320, 1090);
  char url[64];
  int len
      = snprintf (url, sizeof url, "http://127.0.0.1:%d/held", net_http_server_port (world.server));
  world.method = "GET";
  world.url = (GrStr){ url, (size_t) len };
  world.body = (GrStr){ NULL, 0 };
  printf ("http_heap_bytes_per_open_call=%.0f\n", bytes_per_open_call (&world));
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  printf ("http_process_rss_kb=%ld\n", usage.ru_maxrss);
  return 0;
}
