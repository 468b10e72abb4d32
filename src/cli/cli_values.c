#include "cli/cli_values.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/cli_http.h"

static json_t *
name_json (const GrName *name)
{
  return json_stringn (name->data, name->len);
}

static json_t *
problem_json (const CfgProblem *problem)
{
  json_t *file = name_json (&problem->file);
  json_t *other = name_json (&problem->other_file);
  json_t *key = name_json (&problem->key);
  return json_pack ("{s:s, s:o*, s:I, s:o*, s:I, s:o*, s:s}", "code", gr_err_name (problem->code),
                    "file", file, "line", (json_int_t) problem->line, "other_file", other,
                    "other_line", (json_int_t) problem->other_line, "key", key, "detail",
                    problem->detail);
}

static void
print_problem (const CfgProblem *problem)
{
  fprintf (stderr, "%.*s:%lld: %s: ", GR_NAME_ARG (problem->file), (long long) problem->line,
           gr_err_name (problem->code));
  if (problem->key.len > 0)
    fprintf (stderr, "%.*s: ", GR_NAME_ARG (problem->key));
  fprintf (stderr, "%s", problem->detail);
  if (problem->other_file.len > 0)
    fprintf (stderr, " (%.*s:%lld)", GR_NAME_ARG (problem->other_file),
             (long long) problem->other_line);
  fputc ('\n', stderr);
}

void
cli_print_problems (const CliSettings *settings, const CfgProblems *problems)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < problems->count; i++) {
    if (settings->json)
      json_array_append_new (list, problem_json (&problems->items[i]));
    else
      print_problem (&problems->items[i]);
  }
  if (settings->json) {
    json_t *answer = json_pack ("{s:b, s:O}", "ok", problems->count == 0, "problems", list);
    cli_print_json (answer, true);
    json_decref (answer);
  }
  json_decref (list);
}

CfgTree *
cli_load_tree (const CliSettings *settings, const char *path, CliFolder *folder, int *exit_code)
{
  GrErr err = { 0 };
  *exit_code = GR_EXIT_USAGE;
  if (!cli_folder_read (path, folder, &err)) {
    cli_fail (GR_EXIT_USAGE, "%s: %.*s: %s", gr_err_name (err.code), GR_NAME_ARG (err.field),
              err.detail);
    return NULL;
  }
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_new (folder->files.items, folder->files.count, &problems);
  if (!tree) {
    cli_print_problems (settings, &problems);
    cli_folder_clear (folder);
  }
  gr_list_clear (&problems);
  return tree;
}

static void
add_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  json_t *list = user;
  json_t *entry = json_object ();
  json_object_set_new (entry, "key", json_stringn (key.data, key.len));
  json_object_set_new (entry, "value", json_stringn (value.data ? value.data : "", value.len));
  json_object_set_new (entry, "file", name_json (&origin->file));
  json_object_set_new (entry, "line", json_integer ((json_int_t) origin->line));
  json_object_set_new (entry, "author", name_json (&origin->author));
  json_object_set_new (
      entry, "reason",
      json_stringn (origin->reason.data ? origin->reason.data : "", origin->reason.len));
  json_array_append_new (list, entry);
}

json_t *
cli_tree_values (const CfgTree *tree)
{
  json_t *list = json_array ();
  cfg_tree_values (tree, add_value, list);
  return list;
}

json_t *
cli_server_config (const CliSettings *settings, int *exit_code)
{
  CliCall call = { .method = "GET",
                   .base = settings->server,
                   .path = "/v1/config",
                   .token = settings->token,
                   .timeout_ms = settings->timeout_ms };
  CliAnswer answer;
  GrErr err = { 0 };
  if (!cli_http (&call, &answer, &err)) {
    *exit_code = cli_fail (GR_EXIT_UNAVAILABLE, "%s: %s", gr_err_name (err.code), err.detail);
    return NULL;
  }
  json_t *config = NULL;
  if (answer.status != 200) {
    *exit_code = cli_report_error (settings, answer.status, gr_buf_str (&answer.body));
  } else {
    config = json_loadb (answer.body.data, answer.body.len, 0, NULL);
    if (!json_is_integer (json_object_get (config, "version"))
        || !json_is_array (json_object_get (config, "values"))) {
      json_decref (config);
      config = NULL;
      *exit_code = cli_fail (GR_EXIT_FAILED, "protocol: the answer to GET /v1/config lacks "
                                             "'version' or 'values'");
    }
  }
  gr_buf_clear (&answer.body);
  return config;
}

json_t *
cli_find_value (json_t *values, const char *key)
{
  size_t i;
  json_t *entry;
  json_array_foreach (values, i, entry)
  {
    if (strcmp (cli_json_text (entry, "key"), key) == 0)
      return entry;
  }
  return NULL;
}

const char *
cli_json_text (json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text ? text : "";
}
