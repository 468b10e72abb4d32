/* Verb "config publish": one append, whose verdict every reader of the log derives alike. */
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "cfg/cfg_table.h"
#include "cli/cli_http.h"
#include "cli/cli_stream.h"
#include "cli/cli_values.h"

#define POLL_MS 200

static void
pause_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, (ms % 1000) * 1000000 };
  nanosleep (&time, NULL);
}

/* The state record of GET /v1/config: base64, or the text itself. */
static void
decode_record (const char *text, GrBuf *out)
{
  GrStr record = gr_str_from_c (text);
  if (gr_str_starts_with (record, GR_STR ("gentianrelay-config"))) {
    gr_buf_append_str (out, record);
    return;
  }
  unsigned char *bytes = gr_calloc (record.len + 4, 1);
  int len = EVP_DecodeBlock (bytes, (const unsigned char *) text, (int) record.len);
  /* EVP_DecodeBlock counts the padding as bytes. */
  for (size_t i = record.len; len > 0 && i > 0 && text[i - 1] == '='; i--)
    len--;
  if (len > 0)
    gr_buf_append (out, bytes, (size_t) len);
  free (bytes);
}

/* Version in force at the server, or -1. The store takes its state. */
static int64_t
ask_server (const CliSettings *settings, CfgStore *store)
{
  CliCall call = { .method = "GET",
                   .base = settings->server,
                   .path = "/v1/config",
                   .token = settings->token,
                   .timeout_ms = 5000 };
  CliAnswer answer;
  if (!cli_http (&call, &answer, NULL))
    return -1;
  json_t *config
      = answer.status == 200 ? json_loadb (answer.body.data, answer.body.len, 0, NULL) : NULL;
  json_t *version = json_object_get (config, "version");
  int64_t result = json_is_integer (version) ? (int64_t) json_integer_value (version) : -1;
  if (result > 0 && store) {
    GrBuf record = { 0 };
    decode_record (cli_text (config, "record"), &record);
    cfg_store_offer (store, result, gr_buf_str (&record));
    gr_buf_clear (&record);
  }
  json_decref (config);
  gr_buf_clear (&answer.body);
  return result;
}

/* Appends until the record is seen in the log; a second copy does no harm. */
static bool
append_and_judge (CliStream *stream, int64_t until_ms, GrErr *err)
{
  while (!stream->own_found) {
    int64_t offset = -1;
    bool appended = cli_stream_append (stream->settings, stream->own, &offset, err);
    if (!appended && err->code == GR_ERR_FAILED)
      return false;
    bool read = cli_stream_read (stream, err);
    if (appended && read && !stream->own_found)
      return gr_err_set (err, GR_ERR_PROTOCOL, "log",
                         "offset %lld was given to the record, but the log does not hold it",
                         (long long) offset);
    if (stream->own_found)
      return true;
    if (cli_unix_ms () >= until_ms)
      return gr_err_set (err, GR_ERR_UNKNOWN, "log",
                         "the log gives no certain answer; the publication may still take effect");
    pause_ms (POLL_MS);
  }
  return true;
}

static int
report_refusal (const CliSettings *settings, const CliStream *stream)
{
  const CfgProblem *problem = &stream->own_problem;
  if (settings->json) {
    CfgProblems problems = { 0 };
    gr_list_push (&problems, *problem);
    cli_print_problems (settings, &problems);
    gr_list_clear (&problems);
  }
  GrBuf where = { 0 };
  if (problem->key.len > 0)
    gr_buf_printf (&where, "; first difference %.*s in %.*s:%lld", GR_NAME_ARG (problem->key),
                   GR_NAME_ARG (problem->file), (long long) problem->line);
  if (problem->other_file.len > 0)
    gr_buf_printf (&where, ", in force by %.*s:%lld", GR_NAME_ARG (problem->other_file),
                   (long long) problem->other_line);
  cli_fail (0, "%s: %s%s", gr_err_name (problem->code), problem->detail,
            where.data ? where.data : "");
  gr_buf_clear (&where);
  return GR_EXIT_FAILED;
}

static int
wait_in_force (const CliSettings *settings, int64_t version, int64_t until_ms)
{
  int64_t seen = ask_server (settings, NULL);
  while (seen >= 0 && seen < version && cli_unix_ms () < until_ms) {
    pause_ms (POLL_MS);
    seen = ask_server (settings, NULL);
  }
  bool in_force = seen >= version;
  if (settings->json) {
    json_t *result
        = json_pack ("{s:I, s:b}", "version", (json_int_t) version, "in_force", in_force);
    cli_print_json (result, true);
    json_decref (result);
  } else {
    printf ("version %lld is %s\n", (long long) version,
            in_force ? "in force" : "accepted by the log");
  }
  if (in_force)
    return GR_EXIT_OK;
  return cli_fail (GR_EXIT_UNAVAILABLE, "unavailable: server %s %s", settings->server,
                   seen < 0 ? "could not be asked whether the version is in force"
                            : "does not have the version in force yet");
}

int
cli_config_publish (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  CliFolder folder;
  int exit_code;
  CfgTree *tree = cli_load_tree (settings, words[0], &folder, &exit_code);
  if (!tree)
    return exit_code;
  cfg_tree_free (tree);
  int64_t until_ms = cli_unix_ms () + settings->timeout_ms;
  GrBuf record = { 0 };
  GrName author;
  GrErr err = { 0 };
  CliStream stream = { .settings = settings, .store = cfg_store_new () };
  GrStr given = gr_str_from_c (settings->author);
  if (given.len == 0 || !cfg_text_valid (given, GR_NAME_MAX) || !gr_name_set (&author, given)) {
    exit_code = cli_fail (GR_EXIT_USAGE,
                          "invalid: author: '%s' is not allowed; allowed is UTF-8 text of 1 to %d "
                          "bytes without control characters",
                          settings->author, GR_NAME_MAX);
    goto done;
  }
  ask_server (settings, stream.store);
  if (!cli_stream_read (&stream, &err)) {
    exit_code = cli_fail (GR_EXIT_UNAVAILABLE, "%s: %s", gr_err_name (err.code), err.detail);
    goto done;
  }
  if (!cfg_store_complete (stream.store)) {
    exit_code = cli_fail (GR_EXIT_UNAVAILABLE,
                          "unavailable: the log no longer holds the version in force and server %s "
                          "could not tell it",
                          settings->server);
    goto done;
  }
  int64_t base = cfg_store_version (stream.store);
  cfg_publication_encode (base, &author, folder.files.items, folder.files.count, &record);
  stream.own = gr_buf_str (&record);
  stream.own_from = stream.end;
  if (!append_and_judge (&stream, until_ms, &err)) {
    exit_code = cli_fail (err.code == GR_ERR_UNAVAILABLE ? GR_EXIT_UNAVAILABLE : GR_EXIT_FAILED,
                          "%s: %s", gr_err_name (err.code), err.detail);
    goto done;
  }
  switch (stream.own_verdict) {
  case CFG_ACCEPTED:
    exit_code = wait_in_force (settings, base + 1, until_ms);
    break;
  case CFG_CONFLICT:
  case CFG_REJECTED:
  case CFG_STALE:
    exit_code = report_refusal (settings, &stream);
    break;
  }

done:
  cfg_store_free (stream.store);
  gr_buf_clear (&record);
  cli_folder_clear (&folder);
  return exit_code;
}
