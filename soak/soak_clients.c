/* Clients: hand in jobs, ask for their states and cancel some. A call without an answer is repeated
   under the same id at another edge. */
#include <stdlib.h>
#include <string.h>

#include "net/net_http.h"
#include "soak.h"

#define JOBS_MAX 4000
#define FIRST_AT_MS 3500
/* No job is handed in so late in the run. */
#define LAST_MS 15000
#define ANSWER_TIMEOUT_MS 3000
#define RETRY_MS 400
#define POLL_MS 500
#define TRIES_MAX 12
#define CANCEL_PERCENT 4
/* One job in so many needs a label that no target has. */
#define HOPELESS_EVERY 40
#define PROBE_MS 500
/* With accounts: share of calls for accepted jobs that are made with the key of another account, or
   with an invalid one. */
#define NON_OWNER_PERCENT 20

typedef struct {
  SoakJob seen;
  char *body;
  int64_t next_at, cancel_after;
  bool busy, accepted, over;
  int tries;
} Job;

struct SoakClients {
  Soak *soak;
  SoakRandom random;
  NetHttpClient *http;
  Job jobs[JOBS_MAX];
  int count;
  int64_t next_job_at, probe_at;
  bool ready[SOAK_EDGES_MAX];
};

typedef enum {
  CALL_SUBMIT,
  CALL_STATUS,
  CALL_CANCEL
} CallKind;

typedef enum {
  CALLER_OWNER,
  CALLER_OTHER_ACCOUNT,
  CALLER_UNKNOWN_KEY
} Caller;

typedef struct {
  SoakClients *clients;
  CallKind kind;
  Caller caller;
  Job *job; /* NULL: readiness probe */
  int edge;
} Call;

static bool
is_final (const char *state)
{
  return strcmp (state, "completed") == 0 || strcmp (state, "failed") == 0
         || strcmp (state, "cancelled") == 0;
}

static void
handle_state (SoakClients *clients, Job *job, int edge, GrStr body)
{
  json_t *json = json_loadb (body.data, body.len, 0, NULL);
  const char *state = json_string_value (json_object_get (json, "state"));
  if (state && strcmp (state, job->seen.state) != 0) {
    soak_note (clients->soak, "job %s is %s at e%d (was %s)", job->seen.id, state, edge + 1,
               job->seen.state);
    snprintf (job->seen.state, sizeof job->seen.state, "%s", state);
    job->seen.shown_at = soak_now ();
    if (strcmp (state, "completed") == 0)
      job->seen.completed_at = soak_now ();
    job->over = is_final (state);
  }
  json_decref (json);
}

static void
handle_submitted (SoakClients *clients, Job *job, int edge, int status)
{
  if (status >= 200 && status < 300) {
    job->accepted = true;
    job->seen.accepted_at = soak_now ();
    if (soak_below (&clients->random, 100) < CANCEL_PERCENT)
      job->cancel_after = soak_now () + soak_below (&clients->random, 2000);
  } else if (status == 429 || status == 503) {
    job->seen.refused++;
    /* The job was not accepted, unless an earlier attempt without an answer was. */
    if (job->seen.unanswered == 0)
      job->over = true;
  } else {
    job->seen.unanswered++;
  }
  if (!job->accepted && job->tries >= TRIES_MAX)
    job->over = true;
  soak_note (clients->soak, "job %s submitted at e%d: %d", job->seen.id, edge + 1, status);
}

GrName
soak_key (int64_t account)
{
  return gr_name_format ("soak-key-%lld", (long long) account);
}

/* A caller that does not own the job may learn that it exists only by submitting the same id. */
static void
handle_non_owner (const Call *call, int status)
{
  bool expected = call->caller == CALLER_UNKNOWN_KEY
                      ? status == 401
                      : status == (call->kind == CALL_SUBMIT ? 409 : 410);
  bool no_answer = status == 0 || status == 429 || status >= 500;
  if (expected || no_answer)
    return;
  soak_note (call->clients->soak, "job %s: a caller with another key got %d at e%d",
             call->job->seen.id, status, call->edge + 1);
  call->job->seen.leaks++;
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  Call *call = user;
  SoakClients *clients = call->clients;
  Job *job = call->job;
  int64_t now = soak_now ();
  job->busy = false;
  if (call->caller != CALLER_OWNER) {
    handle_non_owner (call, answer->status);
    job->next_at = now + RETRY_MS;
    free (call);
    return;
  }
  job->next_at = now + (answer->status >= 200 && answer->status < 300 ? POLL_MS : RETRY_MS);
  switch (call->kind) {
  case CALL_SUBMIT:
    handle_submitted (clients, job, call->edge, answer->status);
    break;
  case CALL_STATUS:
    if (answer->status == 200)
      handle_state (clients, job, call->edge, answer->body);
    if (answer->status == 410) {
      soak_note (clients->soak, "job %s is unknown at e%d", job->seen.id, call->edge + 1);
      job->seen.unknown_answers++;
    }
    break;
  case CALL_CANCEL:
    soak_note (clients->soak, "job %s cancelled at e%d: %d", job->seen.id, call->edge + 1,
               answer->status);
    if (answer->status == 200 || answer->status == 410) {
      job->seen.cancelled_at = now;
      job->cancel_after = 0;
    }
    break;
  }
  free (call);
}

static void
on_probe (void *user, const NetHttpAnswer *answer)
{
  Call *call = user;
  call->clients->ready[call->edge] = answer->status == 200;
  free (call);
}

static int
choose_edge (SoakClients *clients)
{
  int edges = (int) clients->soak->settings.edges;
  int edge = (int) soak_below (&clients->random, edges);
  int busy = soak_faults_busy_edge (clients->soak->faults);
  if (busy >= 0 && soak_below (&clients->random, 2) == 0)
    return busy;
  for (int i = 0; i < edges; i++) {
    int found = (edge + i) % edges;
    if (clients->ready[found])
      return found;
  }
  return edge;
}

static int64_t
timeout_at (const SoakClients *clients)
{
  return (int64_t) uv_now (clients->soak->loop) + ANSWER_TIMEOUT_MS;
}

static Call *
new_call (SoakClients *clients, CallKind kind, Job *job, int edge)
{
  Call *call = gr_calloc (1, sizeof *call);
  *call = (Call){ .clients = clients, .kind = kind, .job = job, .edge = edge };
  return call;
}

static void
send_probe (SoakClients *clients, int edge)
{
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d/gentianrelay/readyz",
                 soak_procs_ready_port (clients->soak->procs, edge));
  NetHttpCall request
      = { .method = "GET", .url = gr_buf_str (&url), .timeout_at_ms = timeout_at (clients) };
  net_http_client_send (clients->http, &request, on_probe,
                        new_call (clients, CALL_STATUS, NULL, edge));
  gr_buf_clear (&url);
}

static GrName
key_of (const SoakClients *clients, const Job *job, Caller caller)
{
  int64_t accounts = clients->soak->settings.accounts;
  int64_t owner = job - clients->jobs;
  switch (caller) {
  case CALLER_OWNER:
    return soak_key (owner % accounts);
  case CALLER_OTHER_ACCOUNT:
    return soak_key ((owner + 1) % accounts);
  case CALLER_UNKNOWN_KEY:
    break;
  }
  return soak_key (accounts);
}

static void
send_call (SoakClients *clients, CallKind kind, Caller caller, Job *job, int edge)
{
  GrBuf authorization = { 0 };
  if (clients->soak->settings.accounts > 0) {
    GrName key = key_of (clients, job, caller);
    gr_buf_printf (&authorization, "Bearer %.*s", GR_NAME_ARG (key));
  }
  static const char *const methods[]
      = { [CALL_SUBMIT] = "POST", [CALL_STATUS] = "GET", [CALL_CANCEL] = "DELETE" };
  GrBuf url = { 0 };
  gr_buf_printf (&url, "http://127.0.0.1:%d" SOAK_PREFIX "%s",
                 soak_procs_front_port (clients->soak->procs, edge), job->seen.id);
  NetHttpCall request = { .method = methods[kind],
                          .url = gr_buf_str (&url),
                          .authorization = gr_buf_str (&authorization),
                          .headers = GR_STR ("Host: " SOAK_HOST "\n"
                                             "X-Gentianrelay-Deadline-Ms: 3000"),
                          .timeout_at_ms = timeout_at (clients) };
  if (kind == CALL_SUBMIT)
    request.body = gr_str_from_c (job->body);
  job->busy = true;
  Call *call = new_call (clients, kind, job, edge);
  call->caller = caller;
  net_http_client_send (clients->http, &request, on_answer, call);
  gr_buf_clear (&url);
  gr_buf_clear (&authorization);
}

/* Duration of a task: mostly short, some that outlive all leases, so that a run that is taken for
   lost may be at work. */
static int64_t
draw_duration (SoakRandom *random)
{
  int64_t kind = soak_below (random, 10);
  if (kind < 4)
    return 200 + soak_below (random, 1000);
  if (kind < 7)
    return 1000 + soak_below (random, 4000);
  return 5000 + soak_below (random, 20000);
}

static void
add_job (SoakClients *clients)
{
  SoakRandom *random = &clients->random;
  Job *job = &clients->jobs[clients->count++];
  snprintf (job->seen.id, sizeof job->seen.id, "%08x%08x", (unsigned) soak_below (random, 1 << 30),
            (unsigned) clients->count);
  int64_t duration = draw_duration (random);
  int64_t failures = soak_below (random, 12) == 0 ? 1 : 0;
  snprintf (job->seen.spec, sizeof job->seen.spec, "ms=%lld fail=%lld", (long long) duration,
            (long long) failures);
  job->seen.steps = 1 + (int) (soak_below (random, 4) == 0);
  SoakRandom labels = soak_random (clients->soak->settings.seed + clients->count, "labels");
  job->seen.hopeless = soak_below (&labels, HOPELESS_EVERY) == 0;
  int label_length = (int) soak_name_length (&labels);
  GrBuf body = { 0 };
  gr_buf_printf (&body, "{\"spec\":\"%s\",\"steps\":[", job->seen.spec);
  for (int i = 0; i < job->seen.steps; i++) {
    job->seen.counts[i] = 1 + (int) (soak_below (random, 3) == 0 ? soak_below (random, 5) : 0);
    gr_buf_printf (&body, "%s{\"count\":%d,\"cpu\":%d,\"memMb\":256,\"estimateMs\":%lld%s",
                   i ? "," : "", job->seen.counts[i], 500 + (int) soak_below (random, 5) * 500,
                   (long long) duration, i ? ",\"dependsOn\":[0]" : "");
    if (job->seen.hopeless)
      gr_buf_printf (&body, ",\"requirements\":\"%0*d\"", label_length, 0);
    gr_buf_append_str (&body, GR_STR ("}"));
  }
  gr_buf_append_str (&body, GR_STR ("]}"));
  job->body = body.data;
}

static void
tick_job (SoakClients *clients, int number)
{
  Job *job = &clients->jobs[number];
  int64_t now = soak_now ();
  if (job->over || job->busy || now < job->next_at)
    return;
  int edge = choose_edge (clients);
  bool non_owner = job->accepted && clients->soak->settings.accounts > 1
                   && soak_below (&clients->random, 100) < NON_OWNER_PERCENT;
  if (non_owner) {
    CallKind kind = (CallKind) soak_below (&clients->random, CALL_CANCEL + 1);
    Caller caller
        = soak_below (&clients->random, 3) == 0 ? CALLER_UNKNOWN_KEY : CALLER_OTHER_ACCOUNT;
    send_call (clients, kind, caller, job, edge);
  } else if (!job->accepted) {
    job->tries++;
    if (job->seen.sent_at == 0)
      job->seen.sent_at = now;
    send_call (clients, CALL_SUBMIT, CALLER_OWNER, job, edge);
  } else if (job->cancel_after > 0 && now >= job->cancel_after) {
    if (job->seen.cancel_sent_at == 0)
      job->seen.cancel_sent_at = now;
    send_call (clients, CALL_CANCEL, CALLER_OWNER, job, edge);
  } else {
    send_call (clients, CALL_STATUS, CALLER_OWNER, job, edge);
  }
}

void
soak_clients_tick (SoakClients *clients)
{
  int64_t now = soak_now ();
  int64_t since = now - clients->soak->began_at;
  int64_t interval_ms = clients->soak->settings.interval_ms;
  if (interval_ms > 0 && since >= FIRST_AT_MS
      && since < clients->soak->settings.seconds * 1000 - LAST_MS && now >= clients->next_job_at
      && clients->count < JOBS_MAX) {
    clients->next_job_at = now + interval_ms;
    add_job (clients);
  }
  for (int i = 0; i < clients->count; i++)
    tick_job (clients, i);
  if (now < clients->probe_at)
    return;
  clients->probe_at = now + PROBE_MS;
  for (int i = 0; i < clients->soak->settings.edges; i++)
    send_probe (clients, i);
}

SoakClients *
soak_clients_new (Soak *soak)
{
  SoakClients *clients = gr_calloc (1, sizeof *clients);
  GrErr err = { 0 };
  clients->soak = soak;
  clients->random = soak_random (soak->settings.seed, "clients");
  clients->http = net_http_client_new (soak->loop, NULL, &err);
  if (!clients->http)
    soak_die ("no client: %s", err.detail);
  return clients;
}

int
soak_clients_count (const SoakClients *clients)
{
  return clients->count;
}

const SoakJob *
soak_clients_job (const SoakClients *clients, int number)
{
  return &clients->jobs[number].seen;
}

const SoakJob *
soak_clients_find (const SoakClients *clients, const char *task)
{
  for (int i = 0; i < clients->count; i++) {
    const SoakJob *job = &clients->jobs[i].seen;
    if (strncmp (task, job->id, strlen (job->id)) == 0)
      return job;
  }
  return NULL;
}
