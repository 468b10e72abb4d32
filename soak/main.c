/* gr-edge-soak: options, the loop and what all parts share. */
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "base/gr_opt.h"
#include "soak.h"

#define TICK_MS 5

#define OPT(name, type, field, value, def, min, max, help)                                         \
  {                                                                                                \
    name, type, offsetof (SoakSettings, field), value, def, min, max, help                         \
  }

static const GrOptSpec specs[] = {
  OPT ("seed", GR_OPT_INT, seed, "N", "1", 0, INT64_MAX, "seed of jobs and faults"),
  OPT ("seconds", GR_OPT_INT, seconds, "S", "40", 20, 3600, "length of the run"),
  OPT ("edge", GR_OPT_TEXT, edge, "PATH", NULL, 0, 0, "program of the edges"),
  OPT ("vms", GR_OPT_INT, edges, "N", "9", 1, SOAK_EDGES_MAX, "number of edges"),
  OPT ("targets", GR_OPT_INT, targets, "N", "24", 1, SOAK_TARGETS_MAX, "number of targets"),
  OPT ("accounts", GR_OPT_INT, accounts, "N", "0", 0, 20,
       "number of client accounts; 0: calls need no key"),
  OPT ("faults", GR_OPT_TEXT, faults, "LIST", "all", 0, 0,
       "kinds of faults, separated by commas; all or none"),
  OPT ("interval-ms", GR_OPT_INT, interval_ms, "MS", "200", 0, 60000,
       "time between two jobs; 0: none are handed in"),
  OPT ("edge-options", GR_OPT_TEXT, edge_options, "TEXT", "--cpu-share=0.25", 0, 0,
       "further options of the edges, separated by spaces"),
  OPT ("first-options", GR_OPT_TEXT, first_options, "TEXT", "", 0, 0,
       "those of the first edge; empty: as the others"),
  OPT ("logs", GR_OPT_TEXT, logs, "DIR", ".", 0, 0, "folder for the logs"),
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

void
soak_note (Soak *soak, const char *format, ...)
{
  va_list args;
  fprintf (soak->events, "%8.3f ", soak_at (soak, soak_now ()));
  va_start (args, format);
  vfprintf (soak->events, format, args);
  va_end (args);
  fputc ('\n', soak->events);
}

void
soak_die (const char *format, ...)
{
  va_list args;
  fprintf (stderr, "gr-edge-soak: ");
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  exit (GR_EXIT_UNAVAILABLE);
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
  static const size_t lengths[] = { 1, 63, 64, 75, 253, 1000 };
  return lengths[soak_below (random, sizeof lengths / sizeof lengths[0])];
}

int
soak_zone (int number)
{
  return number % SOAK_ZONES;
}

/* Replaces this process by the command; it ends with the controller. */
static int
exec_main (char **argv)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execv (argv[0], argv);
  return GR_EXIT_FAILED;
}

static void
on_tick (uv_timer_t *timer)
{
  Soak *soak = timer->data;
  soak_faults_tick (soak->faults);
  soak_procs_tick (soak->procs);
  soak_paths_tick (soak->paths);
  soak_store_tick (soak->store);
  soak_clients_tick (soak->clients);
  if (soak_now () - soak->began_at >= soak->settings.seconds * 1000)
    uv_stop (soak->loop);
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
  /* Scripts read along. */
  setvbuf (soak->events, NULL, _IOLBF, BUFSIZ);
  soak->loop = uv_default_loop ();
  soak->began_at = soak_now ();
  soak_note (soak, "seed=%lld unix=%lld", (long long) soak->settings.seed,
             (long long) soak_unix_now ());
  soak->check = soak_check_new (soak);
  soak->faults = soak_faults_new (soak);
  soak->store = soak_store_new (soak);
  soak->paths = soak_paths_new (soak);
  soak->procs = soak_procs_new (soak);
  soak->clients = soak_clients_new (soak);
  uv_timer_t tick;
  uv_timer_init (soak->loop, &tick);
  tick.data = soak;
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  uv_run (soak->loop, UV_RUN_DEFAULT);
  soak_procs_stop (soak->procs);
  int violations = soak_check_finish (soak->check);
  fclose (soak->events);
  return violations > 0 ? GR_EXIT_FAILED : GR_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static Soak soak;
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (argc > 2 && strcmp (argv[1], "exec") == 0)
    return exec_main (argv + 2);
  if (argc > 1 && strcmp (argv[1], "target") == 0)
    return soak_target_main (argc - 2, argv + 2);
  if (!gr_opt_parse ("gr-edge-soak", "Runs edge processes under seeded faults.", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &soak.settings, NULL, 0, NULL,
                     &verdict, &err)) {
    fprintf (stderr, "gr-edge-soak: %.*s: %s\n", GR_NAME_ARG (err.field), err.detail);
    return GR_EXIT_USAGE;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  soak.program = "/proc/self/exe";
  return run (&soak);
}
