/* gr-standin: stand-in platform and targets for tests. See standin.h. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/gr_log.h"
#include "base/gr_opt.h"
#include "standin/standin.h"

#define AT(field) offsetof (StandinOptions, field)

static const GrOptSpec specs[] = {
  { "listen-host", GR_OPT_TEXT, AT (listen_host), "IP", "127.0.0.1", 0, 0, "address to serve on" },
  { "listen-port", GR_OPT_INT, AT (listen_port), "PORT", "0", 0, 65535, "0 picks a free port" },
  { "port-file", GR_OPT_TEXT, AT (port_file), "FILE", "", 0, 0,
    "file that the bound port is written to" },
  { "workers", GR_OPT_INT, AT (workers), "N", "16", 0, 10000, "number of workers" },
  { "executors", GR_OPT_INT, AT (executors), "N", "8", 0, 10000, "number of executors" },
  { "regions", GR_OPT_TEXT, AT (regions), "A,B", "attica", 0, 0,
    "regions, assigned to racks in rotation" },
  { "racks-of", GR_OPT_INT, AT (racks_of), "N", "8", 1, 1000, "targets per rack or group" },
  { "zones", GR_OPT_INT, AT (zones), "N", "2", 1, 100, "zones per region" },
  { "worker-cpu-milli", GR_OPT_INT, AT (worker_cpu_milli), "N", "32000", 1, 1000000,
    "processors of a worker" },
  { "worker-memory-mb", GR_OPT_INT, AT (worker_memory_mb), "MB", "65536", 1, 100000000,
    "memory of a worker" },
  { "worker-accelerators", GR_OPT_INT, AT (worker_accelerators), "N", "2", 0, 1000,
    "accelerators of a worker" },
  { "executor-cpu-milli", GR_OPT_INT, AT (executor_cpu_milli), "N", "8000", 1, 1000000,
    "processors of an executor" },
  { "executor-memory-mb", GR_OPT_INT, AT (executor_memory_mb), "MB", "16384", 1, 100000000,
    "memory of an executor" },
  { "executor-slots", GR_OPT_INT, AT (executor_slots), "N", "8", 1, 1000, "slots of an executor" },
  { "executor-connections", GR_OPT_INT, AT (executor_connections), "N", "64", 1, 100000,
    "concurrent calls of an executor; more count as an overload" },
  { "seed", GR_OPT_INT, AT (seed), "N", "1", 0, INT64_MAX, "seed of the choice of lost answers" },
  { "list-lag-ms", GR_OPT_INT, AT (list_lag_ms), "MS", "1000", 0, 60000,
    "delay until a change appears in the VM list" },
  { "append-delay-ms", GR_OPT_INT, AT (append_delay_ms), "MS", "5", 0, 60000,
    "duration of an append" },
  { "retention-records", GR_OPT_INT, AT (retention_records), "N", "0", 0, INT64_MAX,
    "records kept per stream; 0 keeps all" },
  { "run-seconds", GR_OPT_INT, AT (run_seconds), "S", "600", 1, 86400, "exit after this time" },
  { "accept-overcommit", GR_OPT_FLAG, AT (accept_overcommit), NULL, NULL, 0, 0,
    "start tasks beyond the capacity instead of answering 507" },
  { "relay-peers", GR_OPT_FLAG, AT (relay_peers), NULL, NULL, 0, 0,
    "list relays instead of peer addresses, so that links can be cut" },
};

int64_t
standin_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

uint64_t
standin_random (Standin *standin)
{
  /* splitmix64 */
  uint64_t x = standin->rng += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

bool
standin_chance (Standin *standin, int64_t permille)
{
  return permille > 0 && (int64_t) (standin_random (standin) % 1000) < permille;
}

/* Returns the part of path after prefix; its data is NULL if path does not start with prefix. */
static GrStr
after_prefix (GrStr path, GrStr prefix)
{
  if (!gr_str_starts_with (path, prefix))
    return (GrStr){ NULL, 0 };
  return (GrStr){ path.data + prefix.len, path.len - prefix.len };
}

static void
dispatch_control (Standin *standin, StandinCall *call, GrStr what)
{
  bool is_post = gr_str_equal (gr_name_str (&call->method), GR_STR ("POST"));
  bool is_get = gr_str_equal (gr_name_str (&call->method), GR_STR ("GET"));
  GrStr rest;
  if (is_get && gr_str_equal (what, GR_STR ("records")))
    standin_records_call (standin->records, call, true);
  else if (is_get && gr_str_equal (what, GR_STR ("totals")))
    standin_records_call (standin->records, call, false);
  else if (is_post && gr_str_equal (what, GR_STR ("vms")))
    standin_list_register (standin->list, call);
  else if (gr_str_equal (gr_name_str (&call->method), GR_STR ("DELETE"))
           && (rest = after_prefix (what, GR_STR ("vms/"))).data)
    standin_list_unregister (standin->list, call, rest);
  else if (is_post && gr_str_equal (what, GR_STR ("log")))
    standin_log_control (standin->log, call);
  else if (is_post && gr_str_equal (what, GR_STR ("list")))
    standin_list_control (standin->list, call);
  else if (is_post && gr_str_equal (what, GR_STR ("link")) && standin->relay)
    standin_relay_control (standin->relay, call);
  else if (is_post && (rest = after_prefix (what, GR_STR ("target/"))).data)
    standin_targets_control (standin->targets, call, rest);
  else
    standin_call_error (call, 404, "not_found", "no such control");
}

static void
dispatch_target_call (Standin *standin, StandinCall *call, GrStr rest)
{
  const char *slash = memchr (rest.data, '/', rest.len);
  size_t len = slash ? (size_t) (slash - rest.data) : rest.len;
  GrStr verb = { rest.data + len, rest.len - len };
  standin_targets_call (standin->targets, call, (GrStr){ rest.data, len }, verb);
}

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Standin *standin = user;
  StandinCall *call = standin_call_new (standin, exchange, request);
  GrStr path = gr_buf_str (&call->path);
  GrStr rest;
  if ((rest = after_prefix (path, GR_STR ("/log/"))).data)
    standin_log_call (standin->log, call, rest);
  else if (gr_str_equal (path, GR_STR ("/vms")))
    standin_list_call (standin->list, call);
  else if ((rest = after_prefix (path, GR_STR ("/worker/"))).data
           || (rest = after_prefix (path, GR_STR ("/executor/"))).data)
    dispatch_target_call (standin, call, rest);
  else if ((rest = after_prefix (path, GR_STR ("/control/"))).data)
    dispatch_control (standin, call, rest);
  else
    standin_call_error (call, 404, "not_found", "no such path");
}

static void
on_stop_timer (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
on_stop_signal (uv_signal_t *signal, int number)
{
  (void) number;
  uv_stop (signal->loop);
}

/* Writes a temporary file and renames it, so that a reader never sees an incomplete file. */
static bool
write_port (const char *path, int port)
{
  char partial[1024];
  snprintf (partial, sizeof partial, "%s.partial", path);
  FILE *file = fopen (partial, "w");
  if (!file)
    return false;
  bool ok = fprintf (file, "%d\n", port) > 0;
  ok = fclose (file) == 0 && ok;
  return ok && rename (partial, path) == 0;
}

int
main (int argc, char **argv)
{
  static Standin standin;
  GrLog log = { .vm = gr_name ("standin"), .component = "standin" };
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (!gr_opt_parse ("gr-standin", "Stand-in platform and targets for tests.", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &standin.options, NULL, 0, NULL,
                     &verdict, &err)) {
    gr_log (&log, GR_EV_BAD_SETTING, "%s", err.detail);
    return GR_EXIT_USAGE;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  static uv_loop_t loop;
  uv_loop_init (&loop);
  standin.loop = &loop;
  standin.rng = (uint64_t) standin.options.seed;
  NetHttpServerOptions http = { .listen_host = standin.options.listen_host,
                                .listen_port = standin.options.listen_port,
                                .max_body_bytes = 16 * 1024 * 1024,
                                .max_connections = 16384 };
  NetHttpServer *server = net_http_server_new (&loop, &http, on_request, &standin, &err);
  if (!server) {
    gr_log (&log, GR_EV_BAD_SETTING, "%s", err.detail);
    return GR_EXIT_UNAVAILABLE;
  }
  snprintf (standin.base_url, sizeof standin.base_url, "http://%s:%d", standin.options.listen_host,
            net_http_server_port (server));
  standin.records = standin_records_new ();
  standin.log = standin_log_new (&standin);
  standin.list = standin_list_new (&standin);
  standin.targets = standin_targets_new (&standin);
  if (standin.options.relay_peers)
    standin.relay = standin_relay_new (&standin);
  static uv_timer_t stop_timer;
  uv_timer_init (&loop, &stop_timer);
  uv_timer_start (&stop_timer, on_stop_timer, (uint64_t) standin.options.run_seconds * 1000, 0);
  static uv_signal_t term, interrupt;
  uv_signal_init (&loop, &term);
  uv_signal_init (&loop, &interrupt);
  uv_signal_start (&term, on_stop_signal, SIGTERM);
  uv_signal_start (&interrupt, on_stop_signal, SIGINT);
  int code = GR_EXIT_OK;
  if (standin.options.port_file[0]
      && !write_port (standin.options.port_file, net_http_server_port (server))) {
    gr_log (&log, GR_EV_BAD_SETTING, "cannot write %s", standin.options.port_file);
    code = GR_EXIT_FAILED;
  } else {
    gr_log (&log, GR_EV_START, "url=%s workers=%lld executors=%lld", standin.base_url,
            (long long) standin.options.workers, (long long) standin.options.executors);
    uv_run (&loop, UV_RUN_DEFAULT);
  }
  /* Open calls, timers and tasks are not released, because the process exits here. */
  return code;
}
