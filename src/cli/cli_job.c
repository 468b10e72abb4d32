/* Verbs on jobs and requests: submit, status, wait, cancel, explain. */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cli/cli.h"
#include "cli/cli_http.h"

/* Longest wait requested by one long poll. */
#define POLL_MAX_MS 20000
/* Client-side timeout of a call beyond its waiting time; no response is expected later. */
#define CALL_MARGIN_MS 5000

/* Sends a request and returns the parsed response as a new reference. On failure prints the error,
   sets *exit_code and returns NULL. */
static json_t *
call_json (const CliSettings *settings, const char *method, const char *path, json_t *body,
           int64_t wait_ms, int *exit_code)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  CliCall call = { .method = method,
                   .base = settings->server,
                   .path = path,
                   .token = settings->token,
                   .body = gr_str_from_c (text),
                   .timeout_ms = wait_ms + CALL_MARGIN_MS };
  CliAnswer answer;
  GrErr err = { 0 };
  json_t *result = NULL;
  if (!cli_http (&call, &answer, &err)) {
    *exit_code = cli_fail (GR_EXIT_UNAVAILABLE, "%s: %s", gr_err_name (err.code), err.detail);
  } else if (answer.status < 200 || answer.status > 299) {
    *exit_code = cli_report_error (settings, answer.status, gr_buf_str (&answer.body));
  } else {
    json_error_t error;
    result = json_loadb (answer.body.data ? answer.body.data : "", answer.body.len, 0, &error);
    if (!result && answer.body.len == 0)
      result = json_object ();
    if (!result)
      *exit_code = cli_fail (GR_EXIT_FAILED, "protocol: the answer is not JSON: %s", error.text);
  }
  if (answer.status != 0)
    gr_buf_clear (&answer.body);
  free (text);
  return result;
}

static void
job_path (GrBuf *out, const char *id, const char *suffix)
{
  gr_buf_printf (out, "/v1/jobs/");
  cli_url_escape (out, id);
  gr_buf_printf (out, "%s", suffix);
}

/* Sends a request on one job or request and prints the response. */
static int
call_and_print (const CliSettings *settings, const char *method, const char *id, const char *suffix)
{
  GrBuf path = { 0 };
  job_path (&path, id, suffix);
  int exit_code = GR_EXIT_OK;
  json_t *answer = call_json (settings, method, path.data, NULL, settings->timeout_ms, &exit_code);
  if (answer)
    cli_print_json (answer, settings->json);
  json_decref (answer);
  gr_buf_clear (&path);
  return exit_code;
}

int
cli_status (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  return call_and_print (settings, "GET", words[0], "");
}

int
cli_cancel (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  return call_and_print (settings, "DELETE", words[0], "");
}

int
cli_explain (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  return call_and_print (settings, "GET", words[0], "/explain");
}

/* Returns the outcome in the status of a job, or NULL while it has not ended. */
static const char *
job_outcome (json_t *status)
{
  const char *outcome = json_string_value (json_object_get (status, "outcome"));
  if (!outcome || !outcome[0] || strcmp (outcome, "none") == 0)
    return NULL;
  return outcome;
}

int
cli_wait (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  int64_t deadline_ms = cli_unix_ms () + settings->timeout_ms;
  for (;;) {
    int64_t remaining_ms = deadline_ms - cli_unix_ms ();
    if (remaining_ms < 0)
      remaining_ms = 0;
    int64_t wait_ms = remaining_ms < POLL_MAX_MS ? remaining_ms : POLL_MAX_MS;
    char suffix[48];
    snprintf (suffix, sizeof suffix, "?wait_ms=%lld", (long long) wait_ms);
    GrBuf path = { 0 };
    job_path (&path, words[0], suffix);
    int exit_code = GR_EXIT_OK;
    json_t *answer = call_json (settings, "GET", path.data, NULL, wait_ms, &exit_code);
    gr_buf_clear (&path);
    if (!answer)
      return exit_code;
    const char *outcome = job_outcome (answer);
    bool completed = outcome && strcmp (outcome, "completed") == 0;
    bool timed_out = !outcome && cli_unix_ms () >= deadline_ms;
    if (outcome || timed_out)
      cli_print_json (answer, settings->json);
    if (timed_out)
      cli_fail (0, "deadline: '%s' has not ended within %lld ms", words[0],
                (long long) settings->timeout_ms);
    bool ended = outcome != NULL;
    json_decref (answer);
    if (ended || timed_out)
      return completed ? GR_EXIT_OK : GR_EXIT_FAILED;
  }
}

/* Checks the settings of "submit"; prints an error and returns false if one is wrong. */
static bool
check_submit (const CliSettings *settings)
{
  static const char *const policies[] = { "service", "batch", "gang" };
  bool job = settings->policy[0] != '\0';
  bool known = !job;
  for (size_t i = 0; i < sizeof policies / sizeof policies[0]; i++)
    known = known || strcmp (settings->policy, policies[i]) == 0;
  if (!known) {
    cli_fail (0, "invalid: policy: '%s' is not allowed; allowed are service, batch and gang",
              settings->policy);
    return false;
  }
  if (job == (settings->kind[0] != '\0')) {
    cli_fail (0, "%s: kind: give either --kind for a request or --policy for a job",
              job ? "invalid" : "missing");
    return false;
  }
  if (strlen (settings->id) > GR_NAME_MAX || strlen (settings->team) > GR_NAME_MAX
      || strlen (settings->kind) > GR_NAME_MAX) {
    cli_fail (0, "invalid: id, team, kind: a name is longer than %d bytes", GR_NAME_MAX);
    return false;
  }
  return true;
}

static json_t *
submit_body (const CliSettings *settings, const char *id)
{
  bool job = settings->policy[0] != '\0';
  int64_t deadline_ms = cli_unix_ms () + settings->within_ms;
  json_t *body = json_pack (
      "{s:s, s:s, s:I, s:I, s:s, s:{s:I, s:I, s:I, s:I}}", "id", id, "team", settings->team,
      "deadline_ms", (json_int_t) deadline_ms, "run_ms", (json_int_t) settings->run_ms, "payload",
      settings->payload, "demand", "cpu_milli", (json_int_t) settings->cpu_milli, "memory_mb",
      (json_int_t) settings->memory_mb, "accelerators", (json_int_t) settings->accelerators,
      "slots", (json_int_t) settings->slots);
  if (!body)
    return NULL;
  if (job) {
    json_object_set_new (body, "policy", json_string (settings->policy));
    json_object_set_new (body, "tasks", json_integer ((json_int_t) settings->tasks));
    json_object_set_new (body, "urgent", json_boolean (settings->urgent));
  } else {
    json_object_set_new (body, "kind", json_string (settings->kind));
    json_object_set_new (body, "idempotent", json_boolean (settings->idempotent));
    json_object_set_new (body, "exclusive", json_boolean (settings->exclusive));
  }
  return body;
}

int
cli_submit (const CliSettings *settings, const char **words, int count)
{
  (void) words;
  (void) count;
  if (!check_submit (settings))
    return GR_EXIT_USAGE;
  bool job = settings->policy[0] != '\0';
  char id[GR_NAME_MAX + 1];
  if (settings->id[0])
    snprintf (id, sizeof id, "%s", settings->id);
  else
    snprintf (id, sizeof id, "cli-%lld-%d", (long long) cli_unix_ms (), (int) getpid ());
  json_t *body = submit_body (settings, id);
  if (!body)
    return cli_fail (GR_EXIT_USAGE, "invalid: payload: allowed is UTF-8 text");
  int exit_code = GR_EXIT_OK;
  json_t *answer = call_json (settings, "POST", job ? "/v1/jobs" : "/v1/requests", body,
                              job ? settings->timeout_ms : settings->within_ms, &exit_code);
  json_decref (body);
  if (!answer) {
    if (exit_code == GR_EXIT_UNAVAILABLE)
      cli_fail (
          0, "a retry with --id %s is idempotent: it has the same outcome and runs nothing twice",
          id);
    return exit_code;
  }
  if (!job || !settings->wait || !settings->json)
    cli_print_json (answer, settings->json);
  json_decref (answer);
  const char *wait_words[] = { id };
  return job && settings->wait ? cli_wait (settings, wait_words, 1) : GR_EXIT_OK;
}
