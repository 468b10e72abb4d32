#include <stdio.h>
#include <stdlib.h>

#include "load/load.h"
#include "standin/standin_answer.h"

/* Callers keep retrying for this long after the deadline: a takeover takes up to 10 s and the
   expiry of leases 12 s. */
#define RETRY_AFTER_DEADLINE_MS 25000
#define RETRY_MS 100
#define UNKNOWN_RETRY_MS 1000
/* A VM also returns "unknown" while the outcome is undecided, so the call is retried. */
#define UNKNOWN_RETRIES 5
#define POLL_WAIT_MS 3000
/* Run time far beyond the deadline, so that an owner can reject the request at once. */
#define INFEASIBLE_RUN_MS 5000
#define INFEASIBLE_DEADLINE_MS 200

static const char *const policy_names[] = { "request", "batch", "gang", "service" };

static void submit (LoadItem *item);
static void poll_job (LoadItem *item);

static int64_t
random_range (Load *load, int64_t low, int64_t high)
{
  return low + (int64_t) (load_random (load) % (uint64_t) (high - low + 1));
}

static void
make_body (LoadItem *item, const char *kind, bool exclusive, int64_t run_ms, int64_t deadline_ms)
{
  Load *load = item->load;
  GrName team = load->teams[load_random (load) % (uint64_t) load->team_count];
  json_t *json = json_object ();
  json_object_set_new (json, "id", json_stringn (item->id.data, item->id.len));
  json_object_set_new (json, "team", json_stringn (team.data, team.len));
  json_object_set_new (json, "idempotent", json_boolean (item->idempotent));
  if (exclusive)
    json_object_set_new (json, "exclusive", json_true ());
  if (item->policy == LOAD_REQUEST) {
    json_object_set_new (json, "kind", json_string (kind));
  } else {
    json_object_set_new (json, "policy", json_string (policy_names[item->policy]));
    json_object_set_new (json, "tasks", json_integer (item->tasks));
    json_object_set_new (json, "demand",
                         json_pack ("{s:i,s:i}", "cpu_milli", 1000, "memory_mb", 512));
  }
  if (item->policy != LOAD_SERVICE)
    json_object_set_new (json, "deadline_ms", json_integer (load_unix_ms () + deadline_ms));
  json_object_set_new (json, "run_ms", json_integer (run_ms));
  json_object_set_new (json, "payload", json_stringn (item->payload.data, item->payload.len));
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  gr_buf_append_str (&item->body, gr_str_from_c (text));
  free (text);
  item->deadline_ms = load_unix_ms () + deadline_ms;
  item->retry_until_ms = item->deadline_ms + RETRY_AFTER_DEADLINE_MS;
}

static void
make_job (LoadItem *item, int64_t index)
{
  Load *load = item->load;
  static const LoadPolicy policies[] = { LOAD_BATCH, LOAD_GANG, LOAD_BATCH, LOAD_SERVICE };
  item->policy = policies[index % 4];
  item->idempotent = true;
  item->tasks = (int32_t) random_range (load, 2, 4);
  if (item->policy == LOAD_SERVICE)
    item->cancel_at_ms = load_unix_ms () + random_range (load, 3000, 8000);
  else if (load_random (load) % 5 == 0)
    item->cancel_at_ms = load_unix_ms () + random_range (load, 0, 1500);
  make_body (item, NULL, false,
             item->policy == LOAD_SERVICE ? 600000 : random_range (load, 200, 1500),
             load->options.deadline_ms);
}

static void
make_request (LoadItem *item)
{
  Load *load = item->load;
  /* In these two mixes every request has exactly one expected outcome. */
  bool only_non_idempotent = strcmp (load->options.mix, "non-idempotent") == 0;
  bool only_idempotent = strcmp (load->options.mix, "idempotent") == 0;
  int64_t draw = only_non_idempotent ? 0
                 : only_idempotent   ? random_range (load, 0, 1) * 99 + 20
                                     : random_range (load, 0, 99);
  int64_t deadline_ms = load->options.deadline_ms;
  item->policy = LOAD_REQUEST;
  item->tasks = 1;
  item->idempotent = true;
  if (!only_non_idempotent && !only_idempotent && load_random (load) % 40 == 0)
    item->cancel_at_ms = load_unix_ms () + random_range (load, 0, 200);
  if (draw < 20) {
    item->idempotent = false;
    make_body (item, "settlement", true, random_range (load, 50, 200), deadline_ms);
  } else if (draw < 50) {
    make_body (item, "moderation", true, random_range (load, 50, 250), deadline_ms);
  } else if (draw < 54) {
    item->fails = true;
    gr_buf_printf (&item->payload, " fail");
    make_body (item, "lookup", false, 20, deadline_ms);
  } else if (draw < 56) {
    gr_buf_printf (&item->payload, " answer=262144");
    make_body (item, "lookup", false, 20, deadline_ms);
  } else if (draw < 60) {
    item->infeasible = true;
    make_body (item, "lookup", false, INFEASIBLE_RUN_MS, INFEASIBLE_DEADLINE_MS);
  } else if (draw < 61) {
    /* Straggler: runs much longer than declared. */
    gr_buf_printf (&item->payload, " run=3000");
    make_body (item, "lookup", false, 20, deadline_ms);
  } else {
    make_body (item, "lookup", false, random_range (load, 5, 40), deadline_ms);
  }
}

void
load_item_init (LoadItem *item, Load *load, int64_t index)
{
  item->load = load;
  item->vm = -1;
  item->id = gr_name_format ("%s%lld", load->options.prefix, (long long) index);
  gr_buf_printf (&item->payload, "text %llx", (unsigned long long) load_random (load));
  int64_t job_interval = load->options.jobs > 0 ? load->total / load->options.jobs : 0;
  if (job_interval > 0 && index % job_interval == job_interval - 1
      && index / job_interval < load->options.jobs)
    make_job (item, index / job_interval);
  else
    make_request (item);
}

static void
finish (LoadItem *item, LoadOutcome outcome, const char *why)
{
  if (item->ended)
    return;
  item->ended = true;
  item->outcome = outcome;
  item->outcome_ms = load_unix_ms ();
  item->why = gr_name (why);
  uv_timer_stop (&item->timer);
  load_item_on_ended (item->load);
}

static void
on_retry (uv_timer_t *timer)
{
  LoadItem *item = timer->data;
  if (item->accepted)
    poll_job (item);
  else
    submit (item);
}

static void
retry (LoadItem *item, int64_t delay_ms, LoadOutcome final_outcome)
{
  if (load_unix_ms () + delay_ms >= item->retry_until_ms)
    finish (item, final_outcome, "retries exhausted");
  else
    uv_timer_start (&item->timer, on_retry, (uint64_t) delay_ms, 0);
}

/* A failed call gives no outcome; it is retried with the same id, at another VM if possible. */
static void
on_connection_error (LoadItem *item, const NetHttpAnswer *answer)
{
  Load *load = item->load;
  bool timed_out = (int64_t) uv_now (load->loop) >= item->timeout_at_ms;
  if (answer->failure == GR_ERR_UNKNOWN && !timed_out && load->vms[item->vm].graceful) {
    load->cut_off++;
    fprintf (
        stderr,
        "gr-load: %.*s: connection to %s broke before a complete response; counted as cut off\n",
        GR_NAME_ARG (item->id), load->vms[item->vm].url);
  }
  if (answer->failure == GR_ERR_UNAVAILABLE)
    load->vms[item->vm].healthy = false;
  load->reconnects++;
  item->repeats++;
  retry (item, RETRY_MS, LOAD_OUTCOME_NONE);
}

static const char *
json_text (const json_t *json, const char *field)
{
  const char *text = json_string_value (json_object_get (json, field));
  return text ? text : "";
}

static void
check_answer (LoadItem *item, const json_t *json)
{
  const json_t *answer = json_object_get (json, "answer");
  GrName task = gr_name_format ("%.*s/0", GR_NAME_ARG (item->id));
  GrBuf expected = { 0 };
  standin_answer (&task, gr_buf_str (&item->payload), &expected);
  GrStr got = { json_string_value (answer), json_string_length (answer) };
  item->wrong_answer = !gr_str_equal (got, gr_buf_str (&expected));
  gr_buf_clear (&expected);
  finish (item, LOAD_OUTCOME_COMPLETED, "");
}

/* Handles the code of an error response or the outcome of an ended job. */
static void
handle_outcome (LoadItem *item, const char *outcome, const char *why)
{
  if (strcmp (outcome, "not_run") == 0) {
    if (item->first_not_run_ms == 0)
      item->first_not_run_ms = load_unix_ms ();
    /* The VM is stopping or not ready; another one may accept the work. */
    if (strcmp (why, "unavailable") == 0 && !item->accepted
        && load_unix_ms () < item->retry_until_ms - RETRY_AFTER_DEADLINE_MS)
      retry (item, RETRY_MS, LOAD_OUTCOME_NOT_RUN);
    else
      finish (item, LOAD_OUTCOME_NOT_RUN, why);
  } else if (strcmp (outcome, "unavailable") == 0 && load_unix_ms () < item->retry_until_ms) {
    /* The VM accepts no calls, so the state of the id is unknown; retry at another VM. */
    retry (item, RETRY_MS, LOAD_OUTCOME_UNKNOWN);
  } else if (strcmp (outcome, "completed") == 0) {
    finish (item, LOAD_OUTCOME_COMPLETED, why);
  } else if (strcmp (outcome, "failed") == 0) {
    finish (item, LOAD_OUTCOME_FAILED, why);
  } else if (strcmp (outcome, "cancelled") == 0) {
    finish (item, LOAD_OUTCOME_CANCELLED, why);
  } else if (strcmp (outcome, "unknown") == 0) {
    if (item->unknown_answers++ < UNKNOWN_RETRIES)
      retry (item, UNKNOWN_RETRY_MS, LOAD_OUTCOME_UNKNOWN);
    else
      finish (item, LOAD_OUTCOME_UNKNOWN, why);
  } else {
    finish (item, LOAD_OUTCOME_ERROR, outcome);
  }
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  LoadItem *item = user;
  if (item->ended)
    return;
  if (answer->status == 0) {
    on_connection_error (item, answer);
    return;
  }
  json_t *json = json_loadb (answer->body.data ? answer->body.data : "", answer->body.len, 0, NULL);
  const json_t *error = json_object_get (json, "error");
  if (!json) {
    finish (item, LOAD_OUTCOME_ERROR, "no JSON");
  } else if (error) {
    /* The new owner of the job has not read it from the log yet. */
    if (item->accepted && strcmp (json_text (error, "code"), "not_found") == 0)
      retry (item, UNKNOWN_RETRY_MS, LOAD_OUTCOME_NONE);
    else
      handle_outcome (item, json_text (error, "code"), json_text (error, "field"));
  } else if (item->policy == LOAD_REQUEST) {
    check_answer (item, json);
  } else if (strcmp (json_text (json, "phase"), "ended") == 0) {
    item->accepted = true;
    handle_outcome (item, json_text (json, "outcome"), json_text (json, "why"));
  } else {
    item->accepted = true;
    retry (item, RETRY_MS, LOAD_OUTCOME_NONE);
  }
  json_decref (json);
}

static void
send_call (LoadItem *item, const char *method, const char *path, GrStr body, int64_t timeout_ms)
{
  Load *load = item->load;
  int vm = load_pick_vm (load, item->repeats > 0 ? item->vm : -1);
  if (vm < 0) {
    retry (item, RETRY_MS, LOAD_OUTCOME_NONE);
    return;
  }
  item->vm = vm;
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s%s", load->vms[vm].url, path);
  item->timeout_at_ms = (int64_t) uv_now (load->loop) + timeout_ms;
  net_http_client_send (load->client,
                        &(NetHttpCall){ .method = method,
                                        .url = gr_buf_str (&url),
                                        .body = body,
                                        .timeout_at_ms = item->timeout_at_ms },
                        on_answer, item);
  gr_buf_clear (&url);
}

static void
submit (LoadItem *item)
{
  int64_t left = item->retry_until_ms - load_unix_ms ();
  send_call (item, "POST", item->policy == LOAD_REQUEST ? "/v1/requests" : "/v1/jobs",
             gr_buf_str (&item->body), left > 0 ? left : 1);
}

static void
poll_job (LoadItem *item)
{
  char path[128];
  snprintf (path, sizeof path, "/v1/jobs/%.*s?wait_ms=%d", GR_NAME_ARG (item->id), POLL_WAIT_MS);
  send_call (item, "GET", path, (GrStr){ 0 }, POLL_WAIT_MS + 10000);
}

/* A cancellation with a retry timer of its own, independent of the calls of the item. */
typedef struct {
  uv_timer_t timer;
  LoadItem *item;
} Cancellation;

static void send_cancel (Cancellation *cancel);

static void
on_cancel_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_cancel_time (uv_timer_t *timer)
{
  send_cancel (timer->data);
}

static void
on_cancel_answer (void *user, const NetHttpAnswer *answer)
{
  Cancellation *cancel = user;
  LoadItem *item = cancel->item;
  if (answer->status == 200 && item->cancelled_ms == 0)
    item->cancelled_ms = load_unix_ms ();
  if (answer->status == 200 || item->ended || load_unix_ms () >= item->retry_until_ms)
    uv_close ((uv_handle_t *) &cancel->timer, on_cancel_closed);
  else
    uv_timer_start (&cancel->timer, on_cancel_time, RETRY_MS, 0);
}

static void
send_cancel (Cancellation *cancel)
{
  LoadItem *item = cancel->item;
  Load *load = item->load;
  int vm = load_pick_vm (load, -1);
  if (vm < 0 || item->ended) {
    if (item->ended)
      uv_close ((uv_handle_t *) &cancel->timer, on_cancel_closed);
    else
      uv_timer_start (&cancel->timer, on_cancel_time, RETRY_MS, 0);
    return;
  }
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s/v1/jobs/%.*s", load->vms[vm].url, GR_NAME_ARG (item->id));
  net_http_client_send (load->control_client,
                        &(NetHttpCall){ .method = "DELETE",
                                        .url = gr_buf_str (&url),
                                        .timeout_at_ms = (int64_t) uv_now (load->loop) + 15000 },
                        on_cancel_answer, cancel);
  gr_buf_clear (&url);
}

void
load_item_start (LoadItem *item)
{
  Load *load = item->load;
  uv_timer_init (load->loop, &item->timer);
  item->timer.data = item;
  submit (item);
  if (item->cancel_at_ms == 0)
    return;
  Cancellation *cancel = gr_calloc (1, sizeof *cancel);
  cancel->item = item;
  uv_timer_init (load->loop, &cancel->timer);
  cancel->timer.data = cancel;
  int64_t delay = item->cancel_at_ms - load_unix_ms ();
  uv_timer_start (&cancel->timer, on_cancel_time, delay > 0 ? (uint64_t) delay : 0, 0);
}
