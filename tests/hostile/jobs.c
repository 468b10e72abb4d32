/* Clients that send whole requests of legal size, one after the other: jobs that are large, that
   never end or that need much once they are accepted, and calls for jobs that nobody handed in.

   Each of CLIENTS clients sends EACH requests to one of PORTS. A request without an answer is not
   repeated. The ids of accepted jobs are appended to FILE. The program reports once all requests
   are answered and goes on until standard input ends. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/gr_str.h"
#include "hostile.h"
#include "net/net_http.h"

#define PORTS_MAX 16
#define ID_SIZE 20
#define TIMEOUT_MS 20000
#define POLL_MS 200
#define POLLS_OPEN_MAX 32

/* In the texts, '#' stands for a number that differs in each request, and '@' for its id. */
typedef struct {
  const char *name;
  const char *method;
  const char *path;
  const char *body; /* NULL: a job with the following fields, if it has steps */
  const char *spec; /* filled up with 'x' to spec_bytes */
  size_t spec_bytes;
  const char *step;
  int steps;
  const char *timing; /* further fields of the job */
  size_t padding;     /* bytes of a field that the service does not know */
} JobCase;

#define ROUTE "/jobs/@"
#define ONE_TASK "{\"count\":1,\"cpu\":1000,\"estimateMs\":1}"

static const JobCase cases[] = {
  { "wide", "POST", ROUTE, .spec = "ms=1000", .steps = 1,
    .step = "{\"count\":3000,\"cpu\":1000,\"memMb\":64,\"estimateMs\":1000}" },
  { "long", "POST", ROUTE, .spec = "ms=1000", .spec_bytes = 4000, .steps = 64,
    .step = "{\"count\":40,\"cpu\":1000,\"estimateMs\":1000}" },
  { "padded", "POST", ROUTE, .spec = "ms=1", .steps = 1, .step = ONE_TASK, .padding = 262000 },
  { "images", "POST", ROUTE, .spec = "ms=1", .steps = 1,
    .step = "{\"count\":1,\"cpu\":1000,\"estimateMs\":1,\"image\":\"image-#\"}" },
  { "labels", "POST", ROUTE, .spec = "ms=1", .steps = 1,
    .step = "{\"count\":1,\"cpu\":1000,\"estimateMs\":1,\"requirements\":\"label-#\"}" },
  { "roomless", "POST", ROUTE, .spec = "ms=60000", .steps = 1,
    .step = "{\"count\":3000,\"estimateMs\":60000}" },
  { "ends", "POST", ROUTE, .spec = "ms=1", .steps = 1,
    .step = "{\"count\":3000,\"estimateMs\":1}" },
  { "small", "POST", ROUTE, .spec = "ms=1", .steps = 1, .step = ONE_TASK },
  { "waiting", "POST", ROUTE, .spec = "ms=1000", .spec_bytes = 4000, .steps = 1,
    .step = "{\"count\":1,\"cpu\":1000,\"estimateMs\":1000}" },
  { "due", "POST", ROUTE, .spec = "ms=1", .steps = 1, .step = ONE_TASK,
    .timing = ",\"repeatCount\":10000,\"startAtMs\":1,\"intervalMs\":1" },
  { "later", "POST", ROUTE, .spec = "ms=1", .steps = 1, .step = ONE_TASK,
    .timing = ",\"repeatCount\":10000,\"startAtMs\":9000000000000,\"intervalMs\":1" },
  { "cancels", "DELETE", ROUTE },
  { "lookups", "GET", ROUTE },
  { "daemon", "POST", "/v1/jobs",
    .body = "{\"id\":\"@\",\"team\":\"sport\",\"policy\":\"batch\",\"tasks\":9000,"
            "\"run_ms\":1000,\"deadline_ms\":9000000000000,\"payload\":\"x\","
            "\"demand\":{\"cpu_milli\":1000,\"memory_mb\":64}}" },
};

typedef struct {
  uv_loop_t *loop;
  NetHttpClient *http;
  const JobCase *job_case;
  int ports[PORTS_MAX];
  size_t port_count;
  int64_t next_number;
  int64_t left, sent, accepted, refused, unanswered;
  FILE *accepted_ids;
} Crowd;

typedef struct {
  Crowd *crowd;
  int port;
  int64_t left;
  char id[ID_SIZE];
} Client;

static void
append_text (GrBuf *out, const char *text, const char *id, int64_t number)
{
  for (; *text; text++) {
    if (*text == '@')
      gr_buf_append_str (out, gr_str_from_c (id));
    else if (*text == '#')
      gr_buf_printf (out, "%lld", (long long) number);
    else
      gr_buf_append (out, text, 1);
  }
}

static void
append_filler (GrBuf *out, size_t len)
{
  for (size_t i = 0; i < len; i++)
    gr_buf_append (out, "x", 1);
}

static void
append_body (GrBuf *out, const JobCase *job_case, const char *id, int64_t number)
{
  if (job_case->body)
    append_text (out, job_case->body, id, number);
  if (job_case->steps == 0)
    return;
  size_t spec_len = strlen (job_case->spec);
  gr_buf_printf (out, "{\"spec\":\"%s ", job_case->spec);
  if (job_case->spec_bytes > spec_len + 1)
    append_filler (out, job_case->spec_bytes - spec_len - 1);
  gr_buf_append_str (out, GR_STR ("\",\"steps\":["));
  for (int i = 0; i < job_case->steps; i++) {
    if (i > 0)
      gr_buf_append (out, ",", 1);
    append_text (out, job_case->step, id, number);
  }
  gr_buf_append (out, "]", 1);
  append_text (out, job_case->timing ? job_case->timing : "", id, number);
  if (job_case->padding > 0) {
    gr_buf_append_str (out, GR_STR (",\"padding\":\""));
    append_filler (out, job_case->padding);
    gr_buf_append (out, "\"", 1);
  }
  gr_buf_append (out, "}", 1);
}

static void send_next (Client *client);

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Client *client = user;
  Crowd *crowd = client->crowd;
  if (answer->status >= 200 && answer->status < 300) {
    crowd->accepted++;
    if (crowd->accepted_ids)
      fprintf (crowd->accepted_ids, "%s\n", client->id);
  } else if (answer->status > 0) {
    crowd->refused++;
  } else {
    crowd->unanswered++;
  }
  send_next (client);
}

static void
send_next (Client *client)
{
  Crowd *crowd = client->crowd;
  if (client->left == 0) {
    crowd->left--;
    return;
  }
  client->left--;
  int64_t number = ++crowd->next_number;
  snprintf (client->id, sizeof client->id, "%08x%08x", (unsigned) getpid (), (unsigned) number);
  GrBuf url = { 0 }, body = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d", client->port);
  append_text (&url, crowd->job_case->path, client->id, number);
  append_body (&body, crowd->job_case, client->id, number);
  NetHttpCall call = { .method = crowd->job_case->method,
                       .url = gr_buf_str (&url),
                       .headers = GR_STR ("Host: q.example\nX-Gentianrelay-Deadline-Ms: 3000"),
                       .body = gr_buf_str (&body),
                       .timeout_at_ms = (int64_t) uv_now (crowd->loop) + TIMEOUT_MS };
  crowd->sent++;
  net_http_client_send (crowd->http, &call, on_answer, client);
  gr_buf_clear (&url);
  gr_buf_clear (&body);
}

/* Returns false if no port is given. */
static bool
set_up (Crowd *crowd, char *ports)
{
  GrErr err = { 0 };
  crowd->loop = uv_default_loop ();
  crowd->http = net_http_client_new (
      crowd->loop, &(NetHttpClientOptions){ .max_connections_per_host = 1024 }, &err);
  for (char *port = strtok (ports, ","); port && crowd->port_count < PORTS_MAX;
       port = strtok (NULL, ","))
    crowd->ports[crowd->port_count++] = atoi (port);
  return crowd->http && crowd->port_count > 0;
}

static void
wait_for_end_of_input (void)
{
  char rest;
  while (read (STDIN_FILENO, &rest, 1) > 0) {
  }
}

int
hostile_jobs_main (int argc, char **argv)
{
  static Crowd crowd;
  for (size_t i = 0; argc >= 4 && i < sizeof cases / sizeof cases[0]; i++) {
    if (strcmp (cases[i].name, argv[1]) == 0)
      crowd.job_case = &cases[i];
  }
  if (!crowd.job_case || !set_up (&crowd, argv[0])) {
    fprintf (stderr, "usage: gr-hostile PORTS CASE CLIENTS EACH [FILE]\n");
    return 2;
  }
  if (argc > 4)
    crowd.accepted_ids = fopen (argv[4], "a");
  crowd.left = atoi (argv[2]);
  size_t count = (size_t) crowd.left;
  Client *clients = gr_calloc (count, sizeof *clients);
  for (size_t i = 0; i < count; i++) {
    clients[i] = (Client){ .crowd = &crowd,
                           .port = crowd.ports[i % crowd.port_count],
                           .left = atoi (argv[3]) };
    send_next (&clients[i]);
  }
  while (crowd.left > 0)
    uv_run (crowd.loop, UV_RUN_ONCE);
  if (crowd.accepted_ids)
    fclose (crowd.accepted_ids);
  printf ("settled case=%s clients=%zu sent=%lld accepted=%lld refused=%lld unanswered=%lld\n",
          crowd.job_case->name, count, (long long) crowd.sent, (long long) crowd.accepted,
          (long long) crowd.refused, (long long) crowd.unanswered);
  fflush (stdout);
  wait_for_end_of_input ();
  return 0;
}

/* --- Jobs that must end --- */

typedef struct {
  char id[ID_SIZE];
  bool over, busy;
} AwaitedJob;

typedef struct {
  Crowd crowd;
  GR_LIST (AwaitedJob) jobs;
  size_t over, open, next;
  int64_t unknown; /* answers that deny a job */
} Awaited;

typedef struct {
  Awaited *awaited;
  size_t job;
} Poll;

static void
on_state (void *user, const NetHttpAnswer *answer)
{
  Poll *poll = user;
  Awaited *awaited = poll->awaited;
  AwaitedJob *job = &awaited->jobs.items[poll->job];
  job->busy = false;
  awaited->open--;
  job->over = answer->status == 200 && answer->body.len > 0
              && memmem (answer->body.data, answer->body.len, "\"completed\"", 11) != NULL;
  awaited->over += job->over;
  awaited->unknown += answer->status == 410;
  free (poll);
}

static void
ask (Awaited *awaited, size_t index)
{
  AwaitedJob *job = &awaited->jobs.items[index];
  Crowd *crowd = &awaited->crowd;
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d/jobs/%s", crowd->ports[index % crowd->port_count],
                 job->id);
  NetHttpCall call = { .method = "GET",
                       .url = gr_buf_str (&url),
                       .headers = GR_STR ("Host: q.example\nX-Gentianrelay-Deadline-Ms: 3000"),
                       .timeout_at_ms = (int64_t) uv_now (crowd->loop) + TIMEOUT_MS };
  Poll *poll = gr_calloc (1, sizeof *poll);
  *poll = (Poll){ awaited, index };
  job->busy = true;
  awaited->open++;
  net_http_client_send (crowd->http, &call, on_state, poll);
  gr_buf_clear (&url);
}

/* Asks for the next jobs in turn. */
static void
on_poll (uv_timer_t *timer)
{
  Awaited *awaited = timer->data;
  for (size_t i = 0; i < awaited->jobs.count && awaited->open < POLLS_OPEN_MAX; i++) {
    size_t index = awaited->next++ % awaited->jobs.count;
    if (!awaited->jobs.items[index].over && !awaited->jobs.items[index].busy)
      ask (awaited, index);
  }
}

int
hostile_over_main (int argc, char **argv)
{
  static Awaited awaited;
  FILE *file = argc == 3 ? fopen (argv[2], "r") : NULL;
  if (!file || !set_up (&awaited.crowd, argv[0])) {
    fprintf (stderr, "usage: gr-hostile PORTS over FILE\n");
    return 2;
  }
  AwaitedJob job = { 0 };
  while (fscanf (file, "%16s", job.id) == 1)
    gr_list_push (&awaited.jobs, job);
  fclose (file);
  uv_timer_t timer;
  uv_timer_init (awaited.crowd.loop, &timer);
  timer.data = &awaited;
  uv_timer_start (&timer, on_poll, 0, POLL_MS);
  while (awaited.over < awaited.jobs.count)
    uv_run (awaited.crowd.loop, UV_RUN_ONCE);
  printf ("over jobs=%zu unknown=%lld\n", awaited.jobs.count, (long long) awaited.unknown);
  return awaited.unknown > 0;
}
