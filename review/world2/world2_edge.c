/* Processes of gentianrelay-edge, started with the command of the deploy file. */
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <unistd.h>

#include "world2.h"

#define DEPLOY_FILE "deploy/system.toml"
#define WORDS_MAX 64
#define READY_LIMIT_MS 15000
#define PROBE_MS 50
#define PORT_MIN 12000
#define PORT_SPAN 18000

/* A port below those that the system gives to connections, so that none takes it while its process
   is down. */
static int
free_port (World *world)
{
  static int next;
  if (next == 0)
    next = PORT_MIN + (int) getpid () * 37 % PORT_SPAN;
  for (int tries = 0; tries < PORT_SPAN; tries++) {
    struct sockaddr_in addr;
    int port = next;
    next = PORT_MIN + (next + 1 - PORT_MIN) % PORT_SPAN;
    uv_ip4_addr ("127.0.0.1", port, &addr);
    int sock = socket (AF_INET, SOCK_STREAM, 0);
    bool is_free = sock >= 0 && bind (sock, (struct sockaddr *) &addr, sizeof addr) == 0;
    if (sock >= 0)
      close (sock);
    if (is_free)
      return port;
  }
  w2_fail (world, "no free port");
}

/* The run command of the deploy file, without its quotes. */
static char *
read_command (World *world)
{
  static char line[4096];
  FILE *file = fopen (DEPLOY_FILE, "r");
  while (file && fgets (line, sizeof line, file)) {
    char *begin = strstr (line, "run = \""), *end = strrchr (line, '"');
    if (begin != line || end <= begin + 7)
      continue;
    fclose (file);
    *end = '\0';
    return line + 7;
  }
  w2_fail (world, "no command in %s", DEPLOY_FILE);
}

static void
append_field (World *world, const W2Edge *edge, const char *name, GrBuf *out)
{
  struct {
    const char *name, *text;
    long long number;
  } fields[] = {
    { "nodeName", edge->name, 0 },
    { "zone", edge->zone, 0 },
    { "region", "region-1", 0 },
    { "listen.frontend", NULL, edge->front_port },
    { "listen.ready", NULL, edge->ready_port },
    { "ip", "127.0.0.1", 0 },
    { "portRange.0", "", edge->peer_port },
    { "portRange.1", "", edge->metrics_port },
    { "platform.address", NULL, world->store_port },
    { "recommendation", NULL, world->store_port },
    { "limits.cpuShare", edge->cpu_share, 0 },
    { "bounds.holdMaxMs", "", W2_HOLD_MAX_MS },
    { "bounds.stopTimeoutMs", "", W2_STOP_TIMEOUT_MS },
    { "bounds.status_s", "", W2_STATUS_S },
    { "bounds.graceS", "", W2_GRACE_S },
    { "limits.memoryMb", "260", 0 },
    { "limits.maxFds", "4100", 0 },
  };
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++) {
    if (strcmp (fields[i].name, name) != 0)
      continue;
    if (!fields[i].text)
      gr_buf_printf (out, "127.0.0.1:%lld", fields[i].number);
    else if (fields[i].text[0])
      gr_buf_append_str (out, gr_str_from_c (fields[i].text));
    else
      gr_buf_printf (out, "%lld", fields[i].number);
    return;
  }
  w2_fail (world, "the command has a field that is not known here: %s", name);
}

static char *
fill_in (World *world, const W2Edge *edge, const char *word)
{
  GrBuf out = { 0 };
  const char *open;
  while ((open = strstr (word, "{{")) != NULL) {
    const char *close = strstr (open, "}}");
    if (!close)
      w2_fail (world, "malformed word in the command");
    gr_buf_append (&out, word, (size_t) (open - word));
    char *name = gr_str_dup ((GrStr){ open + 2, (size_t) (close - open) - 2 });
    append_field (world, edge, name, &out);
    free (name);
    word = close + 2;
  }
  gr_buf_append_str (&out, gr_str_from_c (word));
  return out.data;
}

static void
write_settings (const World *world, const W2Edge *edge, const char *path)
{
  FILE *file = fopen (path, "w");
  if (!file)
    return;
  fprintf (file,
           "nodeName: \"%s\"\nrole: \"edge\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n"
           "ip: \"127.0.0.1\"\nzone: \"%s\"\nregion: \"region-1\"\nlisten:\n"
           "  frontend: \"127.0.0.1:%d\"\n  ready: \"127.0.0.1:%d\"\nportRange:\n  - %d\n  - %d\n"
           "platform:\n  address: \"127.0.0.1:%d\"\n  form: \"log\"\n",
           edge->name, edge->zone, edge->front_port, edge->ready_port, edge->peer_port,
           edge->metrics_port, world->store_port);
  fclose (file);
}

static void
on_process_exit (uv_process_t *process, int64_t status, int signal_number)
{
  W2Edge *edge = process->data;
  (void) status;
  (void) signal_number;
  edge->up = false;
  uv_close ((uv_handle_t *) process, NULL);
}

void
w2_edge_start (World *world, int number)
{
  W2Edge *edge = &world->edges[number];
  char *words[WORDS_MAX + 1] = { 0 };
  char settings[512], log_path[512], variable[560];
  int count = 0;
  char *command = gr_str_dup (gr_str_from_c (read_command (world)));
  for (char *word = strtok (command, " "); word && count < WORDS_MAX; word = strtok (NULL, " "))
    words[count++] = fill_in (world, edge, word);
  snprintf (settings, sizeof settings, "%s/settings-%s.yaml", world->folder, edge->name);
  snprintf (log_path, sizeof log_path, "%s/%s.log", world->folder, edge->name);
  snprintf (variable, sizeof variable, "GENTIANRELAY_CONFIG=%s", settings);
  write_settings (world, edge, settings);
  char *env[] = { variable, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", NULL };
  FILE *log = fopen (log_path, "a");
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE },
                                    { .flags = UV_INHERIT_FD, .data.fd = fileno (log) },
                                    { .flags = UV_INHERIT_FD, .data.fd = fileno (log) } };
  uv_process_options_t options = { .exit_cb = on_process_exit,
                                   .file = words[0],
                                   .args = words,
                                   .env = env,
                                   .stdio = stdio,
                                   .stdio_count = 3 };
  edge->process.data = edge;
  int rc = uv_spawn (world->loop, &edge->process, &options);
  fclose (log);
  for (int i = 0; i < count; i++)
    free (words[i]);
  free (command);
  if (rc != 0)
    w2_fail (world, "%s cannot start: %s", edge->name, uv_strerror (rc));
  edge->up = true;
  edge->changed_at = w2_now ();
  w2_note (world, "%s starts", edge->name);
}

void
w2_edge_kill (World *world, int number)
{
  W2Edge *edge = &world->edges[number];
  if (!edge->up)
    return;
  w2_note (world, "%s is killed", edge->name);
  uv_process_kill (&edge->process, SIGKILL);
  edge->changed_at = w2_now ();
  while (edge->up)
    uv_run (world->loop, UV_RUN_ONCE);
}

void
w2_edges_stop (World *world)
{
  for (int i = 0; i < world->edge_count; i++)
    w2_edge_kill (world, i);
}

void
w2_edges_new (World *world, int count, const char *first_share, const char *share)
{
  for (int i = 0; i < count; i++) {
    W2Edge *edge = &world->edges[world->edge_count++];
    snprintf (edge->name, sizeof edge->name, "edge-zone-%d", i + 1);
    snprintf (edge->zone, sizeof edge->zone, "zone-%c", 'a' + i % 3);
    edge->cpu_share = i == 0 ? first_share : share;
    edge->front_port = free_port (world);
    edge->ready_port = free_port (world);
    edge->peer_port = free_port (world);
    edge->metrics_port = free_port (world);
  }
}

static void
on_probed (void *user, const NetHttpAnswer *answer)
{
  int *status = user;
  *status = answer->status > 0 ? answer->status : -1;
}

static bool
is_ready (World *world, int number)
{
  int status = 0;
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d/gentianrelay/readyz", world->edges[number].ready_port);
  uv_update_time (world->loop);
  NetHttpCall call = { .method = "GET",
                       .url = gr_buf_str (&url),
                       .timeout_at_ms = (int64_t) uv_now (world->loop) + 1000 };
  net_http_client_send (world->client, &call, on_probed, &status);
  while (status == 0)
    uv_run (world->loop, UV_RUN_ONCE);
  gr_buf_clear (&url);
  return status == 200;
}

void
w2_edges_wait_ready (World *world)
{
  int64_t limit = w2_now () + READY_LIMIT_MS;
  for (int i = 0; i < world->edge_count; i++) {
    while (!is_ready (world, i)) {
      if (w2_now () > limit)
        w2_fail (world, "%s does not become ready", world->edges[i].name);
      w2_run (world, PROBE_MS);
    }
  }
}

int
w2_edge_leader (const World *world)
{
  for (int i = 0; i < world->edge_count; i++) {
    if (w2_store_leads (world->store, world->edges[i].name))
      return i;
  }
  return -1;
}
