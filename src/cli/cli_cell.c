/* Verbs on the cell: top and drain. */
#include <stdio.h>
#include <stdlib.h>

#include "cli/cli.h"
#include "cli/cli_http.h"

static int
print_answer (const CliSettings *settings, const CliCall *call)
{
  CliAnswer answer;
  GrErr err = { 0 };
  if (!cli_http (call, &answer, &err))
    return cli_fail (GR_EXIT_UNAVAILABLE, "%s: %s", gr_err_name (err.code), err.detail);
  int exit_code = GR_EXIT_OK;
  if (answer.status < 200 || answer.status > 299) {
    exit_code = cli_report_error (settings, answer.status, gr_buf_str (&answer.body));
  } else if (answer.body.len > 0) {
    json_t *body = json_loadb (answer.body.data, answer.body.len, 0, NULL);
    if (body)
      cli_print_json (body, settings->json);
    else
      exit_code = cli_fail (GR_EXIT_FAILED, "protocol: the answer is not JSON");
    json_decref (body);
  }
  gr_buf_clear (&answer.body);
  return exit_code;
}

int
cli_top (const CliSettings *settings, const char **words, int count)
{
  (void) words;
  (void) count;
  CliCall call = { .method = "GET",
                   .base = settings->server,
                   .path = "/v1/top",
                   .token = settings->token,
                   .timeout_ms = settings->timeout_ms };
  return print_answer (settings, &call);
}

int
cli_drain (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  json_t *body = json_pack ("{s:s}", "vm", words[0]);
  if (!body)
    return cli_fail (GR_EXIT_USAGE, "invalid: VM: allowed is UTF-8 text");
  GrBuf text = { 0 };
  char *dump = json_dumps (body, JSON_COMPACT);
  gr_buf_append_str (&text, gr_str_from_c (dump));
  free (dump);
  json_decref (body);
  CliCall call = { .method = "POST",
                   .base = settings->server,
                   .path = "/v1/drain",
                   .token = settings->token,
                   .body = gr_buf_str (&text),
                   .timeout_ms = settings->timeout_ms };
  int exit_code = print_answer (settings, &call);
  gr_buf_clear (&text);
  return exit_code;
}
