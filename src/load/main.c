/* gr-load: see load.h. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/gr_opt.h"
#include "load/load.h"

#define SUBMIT_INTERVAL_MS 10
/* Interval of the health probes: stands for the time in which a load balancer in front of the entry
   VMs detects a VM that is not ready. */
#define PROBE_INTERVAL_MS 200
#define PROBE_TIMEOUT_MS 1000

#define FIELD(field) offsetof (LoadOptions, field)

static const GrOptSpec specs[] = {
  { "urls", GR_OPT_TEXT, FIELD (urls), "URL,URL", "", 0, 0, "base URLs of the entry VMs" },
  { "follow-list", GR_OPT_FLAG, FIELD (follow_list), NULL, NULL, 0, 0,
    "also use the entry VMs of the stand-in's list" },
  { "standin", GR_OPT_TEXT, FIELD (standin), "URL", NULL, 0, 0, "base URL of gr-standin" },
  { "requests", GR_OPT_INT, FIELD (requests), "N", "3000", 0, 1000000, "requests to submit" },
  { "jobs", GR_OPT_INT, FIELD (jobs), "N", "20", 0, 100000,
    "batches, gangs and services to submit" },
  { "rate", GR_OPT_INT, FIELD (rate), "N", "150", 1, 100000, "submissions per second" },
  { "seed", GR_OPT_INT, FIELD (seed), "N", "1", 0, INT64_MAX, "seed of the mix" },
  { "deadline-ms", GR_OPT_INT, FIELD (deadline_ms), "MS", "20000", 1, 600000,
    "time a submission has to end" },
  { "run-seconds", GR_OPT_INT, FIELD (run_seconds), "S", "120", 1, 3600,
    "what has no outcome by then counts as lost" },
  { "teams", GR_OPT_TEXT, FIELD (teams), "A,B", "sport,politics,platform", 0, 0,
    "submitting teams" },
  { "graceful", GR_OPT_TEXT, FIELD (graceful), "URL,URL", "", 0, 0,
    "VMs that are only stopped gracefully, or 'all': broken connections to them count as cut off" },
  { "prefix", GR_OPT_TEXT, FIELD (prefix), "TEXT", "r", 0, 0, "first part of every id" },
  { "mix", GR_OPT_TEXT, FIELD (mix), "NAME", "all", 0, 0,
    "all, or requests with one expected outcome: idempotent, non-idempotent" },
  { "lines", GR_OPT_TEXT, FIELD (lines), "FILE", "", 0, 0, "receives one line per submission" },
};

int64_t
load_unix_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

uint64_t
load_random (Load *load)
{
  /* splitmix64 */
  uint64_t x = load->rng += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

int
load_pick_vm (Load *load, int avoid)
{
  int healthy[LOAD_VMS_MAX];
  int count = 0;
  for (int i = 0; i < load->vm_count; i++) {
    if (load->vms[i].healthy && i != avoid)
      healthy[count++] = i;
  }
  if (count > 0)
    return healthy[load_random (load) % (uint64_t) count];
  return avoid >= 0 && load->vms[avoid].healthy ? avoid : -1;
}

static bool
is_listed (const char *list, const char *url)
{
  size_t len = strlen (url);
  for (const char *at = list; *at;) {
    size_t entry_len = strcspn (at, ",");
    if (entry_len == len && memcmp (at, url, len) == 0)
      return true;
    at += entry_len + (at[entry_len] == ',');
  }
  return false;
}

static void
add_vm (Load *load, GrStr url)
{
  for (int i = 0; i < load->vm_count; i++) {
    if (gr_str_equal (gr_str_from_c (load->vms[i].url), url))
      return;
  }
  if (load->vm_count == LOAD_VMS_MAX)
    return;
  LoadVm *vm = &load->vms[load->vm_count++];
  snprintf (vm->url, sizeof vm->url, "%.*s", GR_STR_ARG (url));
  vm->graceful
      = strcmp (load->options.graceful, "all") == 0 || is_listed (load->options.graceful, vm->url);
  vm->load = load;
}

static void
on_vm_list (void *user, const NetHttpAnswer *answer)
{
  Load *load = user;
  json_t *json = json_loadb (answer->body.data ? answer->body.data : "", answer->body.len, 0, NULL);
  const json_t *vms = json_object_get (json, "vms");
  for (size_t i = 0; i < json_array_size (vms); i++) {
    const json_t *vm = json_array_get (vms, i);
    const char *role = json_string_value (json_object_get (vm, "role"));
    const char *url = json_string_value (json_object_get (vm, "url"));
    if (role && url && strcmp (role, "entry") == 0)
      add_vm (load, gr_str_from_c (url));
  }
  json_decref (json);
}

static void
fetch_vm_list (Load *load)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s/vms", load->options.standin);
  net_http_client_send (
      load->control_client,
      &(NetHttpCall){ .method = "GET",
                      .url = gr_buf_str (&url),
                      .timeout_at_ms = (int64_t) uv_now (load->loop) + PROBE_TIMEOUT_MS },
      on_vm_list, load);
  gr_buf_clear (&url);
}

static void
on_probe_answer (void *user, const NetHttpAnswer *answer)
{
  LoadVm *vm = user;
  vm->probing = false;
  vm->healthy = answer->status == 200;
}

static void
on_probe_timer (uv_timer_t *timer)
{
  Load *load = timer->data;
  if (load->options.follow_list)
    fetch_vm_list (load);
  for (int i = 0; i < load->vm_count; i++) {
    LoadVm *vm = &load->vms[i];
    if (vm->probing)
      continue;
    vm->probing = true;
    GrBuf url = { 0 };
    gr_buf_printf (&url, "%s/healthz", vm->url);
    net_http_client_send (
        load->control_client,
        &(NetHttpCall){ .method = "GET",
                        .url = gr_buf_str (&url),
                        .timeout_at_ms = (int64_t) uv_now (load->loop) + PROBE_TIMEOUT_MS },
        on_probe_answer, vm);
    gr_buf_clear (&url);
  }
}

static void
finish_run (Load *load)
{
  if (load->finishing)
    return;
  load->finishing = true;
  uv_timer_stop (&load->submit_timer);
  load_report_result (load);
}

void
load_item_on_ended (Load *load)
{
  load->ended++;
  if (load->ended == load->total)
    finish_run (load);
}

static void
on_run_timeout (uv_timer_t *timer)
{
  Load *load = timer->data;
  fprintf (stderr, "gr-load: %lld submissions have no outcome after %lld s; ending the run\n",
           (long long) (load->submitted - load->ended), (long long) load->options.run_seconds);
  finish_run (load);
}

static void
on_submit_timer (uv_timer_t *timer)
{
  Load *load = timer->data;
  if (load->started_ms == 0) {
    /* The first submission waits until a VM is healthy. */
    if (load_pick_vm (load, -1) < 0)
      return;
    load->started_ms = load_unix_ms ();
  }
  int64_t due = (load_unix_ms () - load->started_ms) * load->options.rate / 1000 + 1;
  if (due > load->total)
    due = load->total;
  while (load->submitted < due) {
    LoadItem *item = &load->items[load->submitted];
    load_item_init (item, load, load->submitted++);
    load_item_start (item);
  }
  if (load->submitted == load->total)
    uv_timer_stop (timer);
}

static void
parse_lists (Load *load)
{
  for (const char *at = load->options.urls; *at;) {
    size_t len = strcspn (at, ",");
    add_vm (load, (GrStr){ at, len });
    at += len + (at[len] == ',');
  }
  int max = sizeof load->teams / sizeof load->teams[0];
  for (const char *at = load->options.teams; *at && load->team_count < max;) {
    size_t len = strcspn (at, ",");
    load->teams[load->team_count++] = gr_name_cut ((GrStr){ at, len });
    at += len + (at[len] == ',');
  }
}

int
main (int argc, char **argv)
{
  static Load load;
  static uv_loop_t loop;
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (!gr_opt_parse ("gr-load", "Callers of entry VMs for the demo and tests.", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &load.options, NULL, 0, NULL,
                     &verdict, &err)) {
    fprintf (stderr, "gr-load: %s\n", err.detail);
    return GR_EXIT_USAGE;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  uv_loop_init (&loop);
  load.loop = &loop;
  load.rng = (uint64_t) load.options.seed;
  parse_lists (&load);
  if ((load.vm_count == 0 && !load.options.follow_list) || load.team_count == 0) {
    fprintf (stderr, "gr-load: --teams and --urls must not be empty\n");
    return GR_EXIT_USAGE;
  }
  load.total = load.options.requests + load.options.jobs;
  load.items = gr_calloc ((size_t) load.total, sizeof *load.items);
  NetHttpClientOptions client = { .max_connections_per_host = 1024, .max_connections = 4096 };
  load.client = net_http_client_new (&loop, &client, &err);
  load.control_client = net_http_client_new (&loop, NULL, &err);
  uv_timer_t *timers[] = { &load.submit_timer, &load.probe_timer, &load.run_timer };
  for (size_t i = 0; i < sizeof timers / sizeof timers[0]; i++) {
    uv_timer_init (&loop, timers[i]);
    timers[i]->data = &load;
  }
  uv_timer_start (&load.probe_timer, on_probe_timer, 0, PROBE_INTERVAL_MS);
  uv_timer_start (&load.submit_timer, on_submit_timer, SUBMIT_INTERVAL_MS, SUBMIT_INTERVAL_MS);
  uv_timer_start (&load.run_timer, on_run_timeout, (uint64_t) load.options.run_seconds * 1000, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  /* Open calls and timers are not closed; they end with the process. */
  return load.code;
}
