/* Verb "config publish": appends one publication to the log stream "config". Every reader of the
   log, this program included, derives the same verdict on it. */
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "cfg/cfg_table.h"
#include "cli/cli_http.h"
#include "cli/cli_stream.h"
#include "cli/cli_values.h"

#define POLL_INTERVAL_MS 200

static void
sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, (ms % 1000) * 1000000 };
  nanosleep (&time, NULL);
}

/* Decodes the state record of GET /v1/config, which is base64 or plain text. */
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
  /* EVP_DecodeBlock() includes the padding in the length. */
  for (size_t i = record.len; len > 0 && i > 0 && text[i - 1] == '='; i--)
    len--;
  if (len > 0)
    gr_buf_append (out, bytes, (size_t) len);
  free (bytes);
}

/* Returns the version in force at the server, or -1 if it could not be read. Offers the state
   record of the server to the store unless that is NULL. */
static int64_t
fetch_server_version (const CliSettings *settings, CfgStore *store)
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
    decode_record (cli_json_text (config, "record"), &record);
    cfg_store_offer (store, result, gr_buf_str (&record));
    gr_buf_clear (&record);
  }
  json_decref (config);
  gr_buf_clear (&answer.body);
  return result;
}

/* Appends until the record is read back from the log. A second copy has no effect: its base
   version is outdated once the first copy is accepted. */
static bool
append_until_read (CliStream *stream, int64_t deadline_ms, GrErr *err)
{
  while (!stream->record_found) {
    int64_t offset = -1;
    bool appended = cli_stream_append (stream->settings, stream->record, &offset, err);
    if (!appended && err->code == GR_ERR_FAILED)
      return false;
    bool read = cli_stream_read (stream, err);
    if (appended && read && !stream->record_found)
      return gr_err_set (err, GR_ERR_PROTOCOL, "log",
                         "the log acknowledged the record at offset %lld but does not return it",
                         (long long) offset);
    if (stream->record_found)
      return true;
    if (cli_unix_ms () >= deadline_ms)
      return gr_err_set (
          err, GR_ERR_UNKNOWN, "log",
          "the log did not confirm the append; the publication may still take effect");
    sleep_ms (POLL_INTERVAL_MS);
  }
  return true;
}

static int
report_rejection (const CliSettings *settings, const CliStream *stream)
{
  const CfgProblem *problem = &stream->record_problem;
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
wait_in_force (const CliSettings *settings, int64_t version, int64_t deadline_ms)
{
  int64_t server_version = fetch_server_version (settings, NULL);
  while (server_version >= 0 && server_version < version && cli_unix_ms () < deadline_ms) {
    sleep_ms (POLL_INTERVAL_MS);
    server_version = fetch_server_version (settings, NULL);
  }
  bool in_force = server_version >= version;
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
                   server_version < 0 ? "could not be queried for its version"
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
  int64_t deadline_ms = cli_unix_ms () + settings->timeout_ms;
  GrBuf record = { 0 };
  GrName author;
  GrErr err = { 0 };
  CliStream stream = { .settings = settings, .store = cfg_store_new () };
  GrStr author_text = gr_str_from_c (settings->author);
  if (author_text.len == 0 || !cfg_text_valid (author_text, GR_NAME_MAX)
      || !gr_name_set (&author, author_text)) {
    exit_code = cli_fail (GR_EXIT_USAGE,
                          "invalid: author: '%s' is not allowed; allowed is UTF-8 text of 1 to %d "
                          "bytes without control characters",
                          settings->author, GR_NAME_MAX);
    goto done;
  }
  fetch_server_version (settings, stream.store);
  if (!cli_stream_read (&stream, &err)) {
    exit_code = cli_fail (GR_EXIT_UNAVAILABLE, "%s: %s", gr_err_name (err.code), err.detail);
    goto done;
  }
  if (!cfg_store_complete (stream.store)) {
    exit_code = cli_fail (GR_EXIT_UNAVAILABLE,
                          "unavailable: the log no longer holds the version in force and server %s "
                          "did not return it",
                          settings->server);
    goto done;
  }
  int64_t base = cfg_store_version (stream.store);
  cfg_publication_encode (base, &author, folder.files.items, folder.files.count, &record);
  stream.record = gr_buf_str (&record);
  stream.record_from = stream.end;
  if (!append_until_read (&stream, deadline_ms, &err)) {
    exit_code = cli_fail (err.code == GR_ERR_UNAVAILABLE ? GR_EXIT_UNAVAILABLE : GR_EXIT_FAILED,
                          "%s: %s", gr_err_name (err.code), err.detail);
    goto done;
  }
  switch (stream.record_verdict) {
  case CFG_ACCEPTED:
    exit_code = wait_in_force (settings, base + 1, deadline_ms);
    break;
  case CFG_CONFLICT:
  case CFG_REJECTED:
  case CFG_STALE:
    exit_code = report_rejection (settings, &stream);
    break;
  }

done:
  cfg_store_free (stream.store);
  gr_buf_clear (&record);
  cli_folder_clear (&folder);
  return exit_code;
}
