/* gr-world3: runs one case of the third review. All processes but the edges are those of soak/. */
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "base/gr_opt.h"
#include "net/net_http.h"
#include "world3.h"

#define TICK_MS 5

static const Scenario *const scenarios[]
    = { &scenario_other_writer, &scenario_reset_cut, &scenario_dark_crash,
        &scenario_loss_after_start, &scenario_loss_after_handover };

static const Scenario *scenario;
static bool trouble;

typedef struct {
  SoakSettings soak;
  const char *scenario;
  int64_t trouble;
} Settings;

#define OPT(name, type, field, value, def, min, max, help)                                         \
  {                                                                                                \
    name, type, offsetof (Settings, field), value, def, min, max, help                             \
  }

static const GrOptSpec specs[] = {
  OPT ("case", GR_OPT_TEXT, scenario, "NAME", NULL, 0, 0, "what happens"),
  OPT ("trouble", GR_OPT_INT, trouble, "0|1", "1", 0, 1, "0: without the disruption"),
  OPT ("seed", GR_OPT_INT, soak.seed, "N", "1", 0, INT64_MAX, "seed of the jobs"),
  OPT ("seconds", GR_OPT_INT, soak.seconds, "S", "40", 10, 110, "length of the run"),
  OPT ("edge", GR_OPT_TEXT, soak.edge, "PATH", NULL, 0, 0, "program of the edges"),
  OPT ("vms", GR_OPT_INT, soak.edges, "N", "9", 1, SOAK_EDGES_MAX, "number of edges"),
  OPT ("targets", GR_OPT_INT, soak.targets, "N", "24", 1, SOAK_TARGETS_MAX, "number of targets"),
  OPT ("interval-ms", GR_OPT_INT, soak.interval_ms, "MS", "200", 0, 60000,
       "time between two jobs; 0: none are handed in"),
  OPT ("edge-options", GR_OPT_TEXT, soak.edge_options, "TEXT", "--cpu-share=0.25", 0, 0,
       "further options of the edges"),
  OPT ("logs", GR_OPT_TEXT, soak.logs, "DIR", ".", 0, 0, "folder for the logs"),
};

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec t;
  clock_gettime (clock, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
soak_now (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

int64_t
soak_unix_now (void)
{
  return clock_ms (CLOCK_REALTIME);
}

double
soak_at (const Soak *soak, int64_t time)
{
  return (double) (time - soak->began_at) / 1000;
}

static int edge_pids[SOAK_EDGES_MAX];
static int edges_ended;

int
world_edge_pid (int edge)
{
  return edge >= 0 && edge < SOAK_EDGES_MAX ? edge_pids[edge] : 0;
}

int
world_edges_ended (void)
{
  return edges_ended;
}

/* The parts of soak/ tell of processes only here. */
static void
note_process (const char *line)
{
  int edge, pid;
  if (sscanf (line, "e%d starts pid %d", &edge, &pid) == 2 && edge >= 1 && edge <= SOAK_EDGES_MAX)
    edge_pids[edge - 1] = pid;
  edges_ended += line[0] == 'e' && strstr (line, " ended by itself") != NULL;
}

void
soak_note (Soak *soak, const char *format, ...)
{
  char line[4096];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  note_process (line);
  fprintf (soak->events, "%8.3f %s\n", soak_at (soak, soak_now ()), line);
}

void
soak_die (const char *format, ...)
{
  va_list args;
  fprintf (stderr, "gr-world3: ");
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  exit (2);
}

SoakRandom
soak_random (int64_t seed, const char *purpose)
{
  GrName name = gr_name (purpose);
  return gr_name_hash (&name, (uint64_t) seed);
}

int64_t
soak_below (SoakRandom *random, int64_t limit)
{
  /* splitmix64 */
  *random += 0x9e3779b97f4a7c15u;
  uint64_t z = *random;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return (int64_t) ((z ^ (z >> 31)) % (uint64_t) limit);
}

size_t
soak_name_length (SoakRandom *random)
{
  (void) random;
  return 8;
}

int
soak_zone (int number)
{
  return number % SOAK_ZONES;
}

/* --- Faults: only those of the case --- */

struct SoakFaults {
  Soak *soak;
};

SoakFaults *
soak_faults_new (Soak *soak)
{
  SoakFaults *faults = gr_calloc (1, sizeof *faults);
  faults->soak = soak;
  return faults;
}

SoakStoreMode
soak_faults_store (const SoakFaults *faults, int edge)
{
  (void) faults;
  (void) edge;
  return SOAK_STORE_SERVES;
}

SoakPathMode
soak_faults_path (const SoakFaults *faults, int edge, SoakEnd end)
{
  return scenario->path && trouble ? scenario->path (faults->soak, edge, end) : (SoakPathMode){ 0 };
}

bool
soak_faults_report_lost (const SoakFaults *faults, int slot)
{
  return scenario->report_lost && trouble && scenario->report_lost (faults->soak, slot);
}

bool
soak_faults_store_down (const SoakFaults *faults)
{
  (void) faults;
  return false;
}

int
soak_faults_busy_edge (const SoakFaults *faults)
{
  (void) faults;
  return -1;
}

void
soak_faults_tick (SoakFaults *faults)
{
  (void) faults;
}

/* --- Events --- */

static Soak *the_soak;

void __real_soak_check_event (SoakCheck *check, int slot, const char *id, int64_t born,
                              const char *line);

/* The linker directs calls of soak_check_event() here. */
void
__wrap_soak_check_event (SoakCheck *check, int slot, const char *id, int64_t born, const char *line)
{
  char task[SOAK_NAME_SIZE] = "", how[16] = "";
  long long at = 0;
  __real_soak_check_event (check, slot, id, born, line);
  bool start = line[0] == 'S';
  if (!scenario->event || (!start && line[0] != 'E'))
    return;
  if (sscanf (line + 1, " %lld %63s %*d %15s", &at, task, how) == 3)
    scenario->event (the_soak, slot, line[0], task, at, start ? "" : how);
}

/* --- Jobs of a case --- */

#define JOB_RETRY_MS 700
#define JOB_POLL_MS 500

typedef struct {
  Soak *soak;
  OwnJob *job;
} JobCall;

static void
on_submitted (void *user, const NetHttpAnswer *answer)
{
  JobCall *call = user;
  soak_note (call->soak, "job %s handed in: %d", call->job->id, answer->status);
  call->job->accepted |= answer->status >= 200 && answer->status < 300;
  free (call);
}

static void
on_status (void *user, const NetHttpAnswer *answer)
{
  JobCall *call = user;
  OwnJob *job = call->job;
  json_t *json
      = answer->status == 200 ? json_loadb (answer->body.data, answer->body.len, 0, NULL) : NULL;
  const char *text = json_string_value (json_object_get (json, "state"));
  if (text && strcmp (text, job->state) != 0) {
    soak_note (call->soak, "job %s is %s", job->id, text);
    snprintf (job->state, sizeof job->state, "%s", text);
  }
  json_decref (json);
  free (call);
}

void
own_job_tick (Soak *soak, OwnJob *job)
{
  static NetHttpClient *http;
  GrErr err = { 0 };
  int64_t now = soak_now ();
  if (!http && !(http = net_http_client_new (soak->loop, NULL, &err)))
    soak_die ("no client: %s", err.detail);
  if (now < job->next_at)
    return;
  job->next_at = now + (job->accepted ? JOB_POLL_MS : JOB_RETRY_MS);
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d" SOAK_PREFIX "%s",
                 soak_procs_front_port (soak->procs, 0), job->id);
  NetHttpCall request = { .method = job->accepted ? "GET" : "POST",
                          .url = gr_buf_str (&url),
                          .headers = GR_STR ("Host: " SOAK_HOST "\n"
                                             "X-Gentianrelay-Deadline-Ms: 3000"),
                          .timeout_at_ms = (int64_t) uv_now (soak->loop) + 3000 };
  if (!job->accepted)
    request.body = gr_str_from_c (job->body);
  JobCall *call = gr_calloc (1, sizeof *call);
  *call = (JobCall){ soak, job };
  net_http_client_send (http, &request, job->accepted ? on_status : on_submitted, call);
  gr_buf_clear (&url);
}

/* --- Run --- */

/* Replaces this process by the command; it ends with the controller. */
static int
exec_main (char **argv)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execv (argv[0], argv);
  return 2;
}

static void
on_tick (uv_timer_t *timer)
{
  Soak *soak = timer->data;
  soak_procs_tick (soak->procs);
  soak_paths_tick (soak->paths);
  soak_store_tick (soak->store);
  soak_clients_tick (soak->clients);
  if (scenario->tick)
    scenario->tick (soak, soak_now () - soak->began_at, trouble);
  if (soak_now () - soak->began_at >= soak->settings.seconds * 1000)
    uv_stop (soak->loop);
}

static bool
any_accepted (const Soak *soak)
{
  for (int i = 0; i < soak_clients_count (soak->clients); i++) {
    if (soak_clients_job (soak->clients, i)->accepted_at > 0)
      return true;
  }
  return false;
}

static int
run (Soak *soak)
{
  char path[512];
  mkdir (soak->settings.logs, 0777);
  snprintf (path, sizeof path, "%s/events.txt", soak->settings.logs);
  soak->events = fopen (path, "w");
  if (!soak->events)
    soak_die ("%s cannot be written", path);
  setvbuf (soak->events, NULL, _IOLBF, BUFSIZ);
  the_soak = soak;
  soak->loop = uv_default_loop ();
  soak->began_at = soak_now ();
  soak_note (soak, "case=%s trouble=%d seed=%lld", scenario->name, trouble,
             (long long) soak->settings.seed);
  soak->check = soak_check_new (soak);
  soak->faults = soak_faults_new (soak);
  soak->store = soak_store_new (soak);
  soak->paths = soak_paths_new (soak);
  soak->procs = soak_procs_new (soak);
  soak->clients = soak_clients_new (soak);
  if (scenario->begin)
    scenario->begin (soak, trouble);
  uv_timer_t tick;
  uv_timer_init (soak->loop, &tick);
  tick.data = soak;
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  uv_run (soak->loop, UV_RUN_DEFAULT);
  soak_procs_stop (soak->procs);
  int violations = scenario->own ? 0 : soak_check_finish (soak->check);
  if (!scenario->own && !any_accepted (soak))
    soak_die ("no job was accepted");
  if (scenario->judge)
    violations += scenario->judge (soak);
  fclose (soak->events);
  return violations > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  static Soak soak;
  static Settings settings;
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (argc > 2 && strcmp (argv[1], "exec") == 0)
    return exec_main (argv + 2);
  if (argc > 1 && strcmp (argv[1], "target") == 0)
    return soak_target_main (argc - 2, argv + 2);
  if (!gr_opt_parse ("gr-world3", "Runs one case of the third review.", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &settings, NULL, 0, NULL, &verdict,
                     &err)) {
    fprintf (stderr, "gr-world3: %.*s: %s\n", GR_NAME_ARG (err.field), err.detail);
    return 2;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return 0;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++) {
    if (strcmp (scenarios[i]->name, settings.scenario) == 0)
      scenario = scenarios[i];
  }
  if (!scenario)
    soak_die ("no case is called %s", settings.scenario);
  trouble = settings.trouble != 0;
  soak.settings = settings.soak;
  soak.settings.faults = "none";
  soak.settings.first_options = "";
  soak.program = "/proc/self/exe";
  return run (&soak);
}
