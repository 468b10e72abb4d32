/* Child processes: edges, whose output goes to files, and targets, whose lines go to the checker.
   Reports of targets become entries of the store here. */
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define PORTS_PER_EDGE 4
/* Below the range from which the system takes ports of outgoing connections, and above the ports
   that stand for slots. */
#define PORT_MIN 12000
#define PORT_SPAN 18000
#define REPORT_MAX_AGE_MS 4500
/* After an outage of the store, entries are not removed for so long. */
#define STORE_GRACE_MS 2000
#define CLOCK_SLOW_PPM 20000
#define FIRST_LIFE_AGE_MS 600000
#define ARGS_MAX 32

typedef enum {
  PORT_FRONT,
  PORT_READY,
  PORT_METRICS,
  PORT_PEER
} EdgePort;

typedef struct {
  SoakProcs *procs;
  SoakEnd end;
  uv_process_t process;
  bool up, spawned;
  int64_t paused_until; /* 0: not paused */
  int64_t back_at;      /* 0: it is up */
  /* Of an edge. */
  int ports[PORTS_PER_EDGE];
  /* Of a target. */
  char id[SOAK_NAME_SIZE];
  int lives;
  int64_t born, reported_at;
  bool listed;
  int64_t listed_born;
  /* Entry of an id that does not come back; empty: none. */
  char former_id[SOAK_NAME_SIZE];
  int64_t former_reported_at;
} Proc;

/* Output of one life of a target. */
typedef struct {
  uv_pipe_t pipe;
  Proc *proc;
  char id[SOAK_NAME_SIZE];
  int64_t born;
  GrBuf line;
} Output;

struct SoakProcs {
  Soak *soak;
  SoakRandom random;
  int64_t store_back_at;
  Proc edges[SOAK_EDGES_MAX];
  Proc targets[SOAK_TARGETS_MAX];
};

static Proc *
find_proc (SoakProcs *procs, SoakEnd end)
{
  return end.target ? &procs->targets[end.number] : &procs->edges[end.number];
}

static const char *
name_of (const Proc *proc)
{
  static char name[16];
  if (proc->end.target)
    return proc->id;
  snprintf (name, sizeof name, "e%d", proc->end.number + 1);
  return name;
}

static void
on_process_closed (uv_handle_t *handle)
{
  Proc *proc = handle->data;
  proc->spawned = false;
}

static void
on_process_exit (uv_process_t *process, int64_t code, int signal)
{
  Proc *proc = process->data;
  if (proc->up) {
    soak_note (proc->procs->soak, "%s ended by itself: code %lld signal %d", name_of (proc),
               (long long) code, signal);
    proc->up = false;
  }
  uv_close ((uv_handle_t *) process, on_process_closed);
}

static void
spawn (Proc *proc, char **args, uv_stdio_container_t *stdio)
{
  uv_process_options_t options = {
    .file = args[0], .args = args, .exit_cb = on_process_exit, .stdio = stdio, .stdio_count = 3
  };
  proc->process.data = proc;
  int rc = uv_spawn (proc->procs->soak->loop, &proc->process, &options);
  if (rc != 0)
    soak_die ("%s cannot be started: %s", args[0], uv_strerror (rc));
  proc->spawned = true;
  proc->up = true;
  proc->back_at = 0;
  proc->paused_until = 0;
}

/* Appends the options in the text, which are separated by spaces. */
static void
add_options (const char *text, GrBuf *texts, int *count)
{
  while (*text && *count < ARGS_MAX) {
    size_t len = strcspn (text, " ");
    if (len > 0)
      gr_buf_append (&texts[(*count)++], text, len);
    text += len + (text[len] == ' ');
  }
}

static void
start_edge (Proc *proc)
{
  Soak *soak = proc->procs->soak;
  GrBuf texts[ARGS_MAX] = { 0 };
  char *args[ARGS_MAX + 1] = { (char *) soak->program, "exec", (char *) soak->settings.edge };
  int count = 3;
  const int *ports = proc->ports;
  int number = proc->end.number;
  gr_buf_printf (&texts[count++], "--vm-id=e%d", number + 1);
  gr_buf_printf (&texts[count++], "--zone=z%d", soak_zone (number) + 1);
  gr_buf_printf (&texts[count++], "--region=r1");
  gr_buf_printf (&texts[count++], "--listen=127.0.0.1:%d", ports[PORT_FRONT]);
  gr_buf_printf (&texts[count++], "--ready-listen=127.0.0.1:%d", ports[PORT_READY]);
  gr_buf_printf (&texts[count++], "--metrics-listen=127.0.0.1:%d", ports[PORT_METRICS]);
  gr_buf_printf (&texts[count++], "--peer-host=127.0.0.1");
  gr_buf_printf (&texts[count++], "--peer-port=%d", ports[PORT_PEER]);
  gr_buf_printf (&texts[count++], "--store=127.0.0.1:%d", soak_store_port (soak->store, number));
  gr_buf_printf (&texts[count++], "--lease-max-ms=10000");
  gr_buf_printf (&texts[count++], "--stop-timeout-ms=200");
  gr_buf_printf (&texts[count++], "--status-keep-s=120");
  gr_buf_printf (&texts[count++], "--grace-s=6");
  bool differs = number == 0 && soak->settings.first_options[0] != '\0';
  add_options (differs ? soak->settings.first_options : soak->settings.edge_options, texts, &count);
  for (int i = 3; i < count; i++)
    args[i] = texts[i].data;
  char path[512];
  snprintf (path, sizeof path, "%s/e%d.log", soak->settings.logs, number + 1);
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
  if (fd < 0)
    soak_die ("%s cannot be written", path);
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE },
                                    { .flags = UV_INHERIT_FD, .data.fd = fd },
                                    { .flags = UV_INHERIT_FD, .data.fd = fd } };
  spawn (proc, args, stdio);
  close (fd);
  for (int i = 3; i < count; i++)
    gr_buf_clear (&texts[i]);
  soak_paths_set_port (soak->paths, proc->end, ports[PORT_PEER]);
  soak_note (soak, "e%d starts pid %d port %d", number + 1, proc->process.pid, ports[PORT_FRONT]);
}

static void
write_entry (Proc *proc)
{
  char address[40], machine[SOAK_NAME_SIZE], zone[16], rack[16];
  snprintf (address, sizeof address, "127.0.0.1:%d", SOAK_SLOT_PORT + proc->end.number);
  snprintf (machine, sizeof machine, "m-%02d", proc->end.number);
  snprintf (zone, sizeof zone, "z%d", soak_zone (proc->end.number) + 1);
  snprintf (rack, sizeof rack, "r1-%d", soak_zone (proc->end.number) + 1);
  json_t *entry = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:{s:i,s:i,s:i},s:[s,s]}", "service", "svc",
      "address", address, "zone", zone, "version", "1", "state", "ready", "machine", machine,
      "slots", 8, "coldRemainingMs", 0, "sequence", (json_int_t) 1, "born", (json_int_t) proc->born,
      "capacity", "cpu", 8000, "memMb", 65536, "gpu", 0, "labels", "a", rack);
  char *text = json_dumps (entry, JSON_COMPACT);
  soak_store_write (proc->procs->soak->store, "keyed.servers", proc->id, text);
  soak_note (proc->procs->soak, "%s listed born %lld", proc->id, (long long) proc->born);
  proc->listed = true;
  proc->listed_born = proc->born;
  free (text);
  json_decref (entry);
}

static void
remove_entry (Proc *proc, const char *id)
{
  soak_store_write (proc->procs->soak->store, "keyed.servers", id, "");
  soak_note (proc->procs->soak, "%s not listed", id);
}

static void
handle_report (Proc *proc)
{
  if (soak_faults_report_lost (proc->procs->soak->faults, proc->end.number))
    return;
  proc->reported_at = soak_now ();
  if (!proc->listed || proc->listed_born != proc->born)
    write_entry (proc);
}

static void
handle_line (Output *output, const char *line)
{
  Proc *proc = output->proc;
  Soak *soak = proc->procs->soak;
  bool current = proc->up && proc->born == output->born;
  if (line[0] == 'R') {
    if (current)
      handle_report (proc);
  } else if (line[0] == 'P') {
    if (current)
      soak_paths_set_port (soak->paths, proc->end, atoi (line + 2));
  } else {
    soak_check_event (soak->check, proc->end.number, output->id, output->born, line);
  }
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char space[65536];
  (void) handle;
  (void) size;
  *buf = uv_buf_init (space, sizeof space);
}

static void
on_pipe_closed (uv_handle_t *handle)
{
  Output *output = handle->data;
  gr_buf_clear (&output->line);
  free (output);
}

static void
on_output (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Output *output = stream->data;
  if (n < 0) {
    uv_close ((uv_handle_t *) stream, on_pipe_closed);
    return;
  }
  gr_buf_append (&output->line, buf->base, (size_t) n);
  char *start = output->line.data, *end;
  size_t used = 0;
  while (start && (end = memchr (start, '\n', output->line.len - used)) != NULL) {
    *end = '\0';
    handle_line (output, start);
    start = end + 1;
    used = (size_t) (start - output->line.data);
  }
  gr_buf_consume (&output->line, used);
}

static void
start_target (Proc *proc)
{
  SoakProcs *procs = proc->procs;
  Soak *soak = procs->soak;
  char rate[32], born[32];
  proc->lives++;
  /* Targets that the run begins with have been there for long. */
  proc->born = soak_unix_now () - (proc->lives == 1 ? FIRST_LIFE_AGE_MS : 0);
  proc->reported_at = soak_now ();
  snprintf (rate, sizeof rate, "%lld",
            (long long) (1000000 - soak_below (&procs->random, CLOCK_SLOW_PPM)));
  snprintf (born, sizeof born, "%lld", (long long) proc->born);
  char *args[] = { (char *) soak->program, "target", proc->id, rate, born, NULL };
  Output *output = gr_calloc (1, sizeof *output);
  output->proc = proc;
  output->born = proc->born;
  memcpy (output->id, proc->id, sizeof output->id);
  uv_pipe_init (soak->loop, &output->pipe, 0);
  output->pipe.data = output;
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE },
                                    { .flags = UV_CREATE_PIPE | UV_WRITABLE_PIPE,
                                      .data.stream = (uv_stream_t *) &output->pipe },
                                    { .flags = UV_INHERIT_FD, .data.fd = STDERR_FILENO } };
  spawn (proc, args, stdio);
  uv_read_start ((uv_stream_t *) &output->pipe, on_alloc, on_output);
  soak_note (soak, "%s starts born %s", proc->id, born);
}

/* Whether this port and the next ones can be bound. */
static bool
ports_free (int first)
{
  bool free_ports = true;
  for (int i = 0; i < PORTS_PER_EDGE && free_ports; i++) {
    struct sockaddr_in address;
    int one = 1;
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    uv_ip4_addr ("127.0.0.1", first + i, &address);
    free_ports = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
    close (fd);
  }
  return free_ports;
}

SoakProcs *
soak_procs_new (Soak *soak)
{
  SoakProcs *procs = gr_calloc (1, sizeof *procs);
  procs->soak = soak;
  soak->procs = procs;
  procs->random = soak_random (soak->settings.seed, "procs");
  int port = PORT_MIN + (int) (getpid () * 101 % PORT_SPAN);
  for (int i = 0; i < soak->settings.edges; i++) {
    Proc *proc = &procs->edges[i];
    *proc = (Proc){ .procs = procs, .end = { false, i } };
    while (!ports_free (port))
      port++;
    for (int k = 0; k < PORTS_PER_EDGE; k++)
      proc->ports[k] = port++;
  }
  for (int i = 0; i < soak->settings.targets; i++) {
    Proc *proc = &procs->targets[i];
    *proc = (Proc){ .procs = procs, .end = { true, i } };
    snprintf (proc->id, sizeof proc->id, "t%02d", i);
    start_target (proc);
  }
  for (int i = 0; i < soak->settings.edges; i++)
    start_edge (&procs->edges[i]);
  return procs;
}

int
soak_procs_front_port (const SoakProcs *procs, int edge)
{
  return procs->edges[edge].ports[PORT_FRONT];
}

int
soak_procs_ready_port (const SoakProcs *procs, int edge)
{
  return procs->edges[edge].ports[PORT_READY];
}

bool
soak_procs_find (const SoakProcs *procs, int port, SoakEnd *end)
{
  if (port >= SOAK_SLOT_PORT && port < SOAK_SLOT_PORT + SOAK_TARGETS_MAX) {
    *end = (SoakEnd){ true, port - SOAK_SLOT_PORT };
    return true;
  }
  for (int i = 0; i < procs->soak->settings.edges; i++) {
    if (procs->edges[i].ports[PORT_PEER] == port) {
      *end = (SoakEnd){ false, i };
      return true;
    }
  }
  return false;
}

bool
soak_procs_is_up (const SoakProcs *procs, SoakEnd end)
{
  const Proc *proc = end.target ? &procs->targets[end.number] : &procs->edges[end.number];
  return proc->up && proc->paused_until == 0;
}

void
soak_procs_pause (SoakProcs *procs, SoakEnd end, int64_t until)
{
  Proc *proc = find_proc (procs, end);
  if (!proc->up)
    return;
  soak_note (procs->soak, "%s paused until %.3f", name_of (proc), soak_at (procs->soak, until));
  uv_process_kill (&proc->process, SIGSTOP);
  if (proc->paused_until < until)
    proc->paused_until = until;
}

void
soak_procs_crash (SoakProcs *procs, SoakEnd end, int64_t back_at, bool new_id)
{
  Proc *proc = find_proc (procs, end);
  if (!proc->up)
    return;
  soak_note (procs->soak, "%s killed, back at %.3f%s", name_of (proc),
             soak_at (procs->soak, back_at), new_id ? " under another id" : "");
  uv_process_kill (&proc->process, SIGKILL);
  proc->up = false;
  proc->paused_until = 0;
  proc->back_at = back_at;
  if (!end.target)
    return;
  soak_paths_set_port (procs->soak->paths, end, 0);
  soak_check_crash (procs->soak->check, end.number, proc->id, proc->born, soak_now ());
  if (!new_id)
    return;
  if (proc->former_id[0])
    remove_entry (proc, proc->former_id);
  proc->former_id[0] = '\0';
  if (proc->listed)
    memcpy (proc->former_id, proc->id, sizeof proc->id);
  proc->former_reported_at = proc->reported_at;
  proc->listed = false;
  snprintf (proc->id, sizeof proc->id, "t%02d-%d", end.number, proc->lives);
}

static void
tick_proc (Proc *proc)
{
  int64_t now = soak_now ();
  if (proc->up && proc->paused_until > 0 && now >= proc->paused_until) {
    proc->paused_until = 0;
    uv_process_kill (&proc->process, SIGCONT);
    soak_note (proc->procs->soak, "%s continues", name_of (proc));
  }
  if (!proc->up && !proc->spawned && proc->back_at > 0 && now >= proc->back_at) {
    if (proc->end.target)
      start_target (proc);
    else
      start_edge (proc);
  }
}

static void
tick_entry (Proc *proc)
{
  SoakProcs *procs = proc->procs;
  int64_t now = soak_now ();
  if (now - procs->store_back_at < STORE_GRACE_MS)
    return;
  if (proc->listed && now - proc->reported_at >= REPORT_MAX_AGE_MS) {
    remove_entry (proc, proc->id);
    proc->listed = false;
  }
  if (proc->former_id[0] && now - proc->former_reported_at >= REPORT_MAX_AGE_MS) {
    remove_entry (proc, proc->former_id);
    proc->former_id[0] = '\0';
  }
}

void
soak_procs_tick (SoakProcs *procs)
{
  if (soak_faults_store_down (procs->soak->faults))
    procs->store_back_at = soak_now ();
  for (int i = 0; i < procs->soak->settings.edges; i++)
    tick_proc (&procs->edges[i]);
  for (int i = 0; i < procs->soak->settings.targets; i++) {
    tick_proc (&procs->targets[i]);
    tick_entry (&procs->targets[i]);
  }
}

void
soak_procs_stop (SoakProcs *procs)
{
  for (int i = 0; i < procs->soak->settings.edges + procs->soak->settings.targets; i++) {
    Proc *proc = i < procs->soak->settings.edges ? &procs->edges[i]
                                                 : &procs->targets[i - procs->soak->settings.edges];
    if (proc->up)
      uv_process_kill (&proc->process, SIGKILL);
    proc->up = false;
  }
}
