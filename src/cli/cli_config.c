/* Verbs that read a configuration: check, show, explain, diff. */
#include <stdio.h>
#include <stdlib.h>

#include <sys/stat.h>

#include "cfg/cfg_lint.h"
#include "cfg/cfg_table.h"
#include "cli/cli_values.h"
#include "job/job.h"

/* Returns {"values"} of a folder, or the response of the server if path is NULL. On failure prints
   the error, sets *exit_code and returns NULL. */
static json_t *
load_config (const CliSettings *settings, const char *path, int *exit_code)
{
  if (!path)
    return cli_server_config (settings, exit_code);
  CliFolder folder;
  CfgTree *tree = cli_load_tree (settings, path, &folder, exit_code);
  if (!tree)
    return NULL;
  json_t *config = json_pack ("{s:o}", "values", cli_tree_values (tree));
  cfg_tree_free (tree);
  cli_folder_clear (&folder);
  return config;
}

static void
print_origin (json_t *entry)
{
  printf ("  # %s:%lld", cli_json_text (entry, "file"),
          (long long) json_integer_value (json_object_get (entry, "line")));
  if (cli_json_text (entry, "author")[0])
    printf (", %s", cli_json_text (entry, "author"));
  if (cli_json_text (entry, "reason")[0])
    printf (": %s", cli_json_text (entry, "reason"));
}

int
cli_config_show (const CliSettings *settings, const char **words, int count)
{
  int exit_code;
  json_t *config = load_config (settings, count > 0 ? words[0] : NULL, &exit_code);
  if (!config)
    return exit_code;
  if (settings->json) {
    json_object_del (config, "record");
    cli_print_json (config, true);
    json_decref (config);
    return GR_EXIT_OK;
  }
  if (count == 0)
    printf ("# version %lld\n",
            (long long) json_integer_value (json_object_get (config, "version")));
  size_t i;
  json_t *entry;
  json_array_foreach (json_object_get (config, "values"), i, entry)
  {
    printf ("%s = %s", cli_json_text (entry, "key"), cli_json_text (entry, "value"));
    if (settings->origin)
      print_origin (entry);
    putchar ('\n');
  }
  json_decref (config);
  return GR_EXIT_OK;
}

/* Returns the option of a key "section.title.option" or "section.option"; NULL if there is none. */
static const CfgOption *
option_of_key (const char *key)
{
  const char *first = strchr (key, '.');
  const char *last = strrchr (key, '.');
  if (!first)
    return NULL;
  for (int s = 0; s < CFG_SECTION_COUNT; s++) {
    const CfgSectionSpec *section = cfg_section ((CfgSectionId) s);
    size_t len = (size_t) (first - key);
    if (strlen (section->name) == len && memcmp (section->name, key, len) == 0
        && section->titled == (first != last))
      return cfg_option_find (section->id, gr_str_from_c (last + 1));
  }
  return NULL;
}

/* The smaller of a team's quota and the limit of the same name applies. Returns the entry of the
   one that key does not name, or NULL. */
static json_t *
combined_quota_entry (json_t *values, const char *key)
{
  GrStr text = gr_str_from_c (key);
  bool team = gr_str_starts_with (text, GR_STR ("team."));
  const char *quota = strstr (key, ".quota_");
  if (!quota || (!team && !gr_str_starts_with (text, GR_STR ("limit."))))
    return NULL;
  GrBuf other = { 0 };
  gr_buf_printf (&other, "%s%s", team ? "limit" : "team", strchr (key, '.'));
  json_t *entry = cli_find_value (values, other.data);
  gr_buf_clear (&other);
  return entry;
}

static json_t *
explain_option (const CfgOption *option, const char *key, json_t *values)
{
  char allowed[128];
  cfg_option_allowed (option, allowed, sizeof allowed);
  json_t *entry = cli_find_value (values, key);
  json_t *result = entry ? json_deep_copy (entry) : json_pack ("{s:s}", "key", key);
  if (!entry)
    json_object_set_new (result, "value", json_string (option->def ? option->def : ""));
  json_object_set_new (result, "set", json_boolean (entry != NULL));
  json_object_set_new (result, "meaning", json_string (option->help));
  json_object_set_new (result, "type", json_string (cfg_type_name (option->type)));
  json_object_set_new (result, "allowed", json_string (allowed));
  json_object_set_new (result, "default", json_string (option->def ? option->def : "(required)"));
  json_t *other = combined_quota_entry (values, key);
  if (other) {
    GrBuf text = { 0 };
    gr_buf_printf (&text, "%s = %s of %s:%lld also applies; the smaller holds",
                   cli_json_text (other, "key"), cli_json_text (other, "value"),
                   cli_json_text (other, "file"),
                   (long long) json_integer_value (json_object_get (other, "line")));
    json_object_set_new (result, "note", json_stringn (text.data, text.len));
    gr_buf_clear (&text);
  }
  return result;
}

int
cli_config_explain (const CliSettings *settings, const char **words, int count)
{
  const CfgOption *option = option_of_key (words[0]);
  if (!option)
    return cli_fail (GR_EXIT_USAGE,
                     "unknown_field: '%s' is not a key; allowed is SECTION.NAME.OPTION or "
                     "cell.OPTION as listed in gentianrelay.conf(5)",
                     words[0]);
  int exit_code;
  json_t *config = load_config (settings, count > 1 ? words[1] : NULL, &exit_code);
  if (!config)
    return exit_code;
  json_t *result = explain_option (option, words[0], json_object_get (config, "values"));
  cli_print_json (result, settings->json);
  json_decref (result);
  json_decref (config);
  return GR_EXIT_OK;
}

static void
add_change (json_t *changes, const char *kind, const char *key, json_t *from, json_t *to)
{
  json_t *change = json_pack ("{s:s, s:s}", "change", kind, "key", key);
  if (from)
    json_object_set (change, "from", json_object_get (from, "value"));
  if (to)
    json_object_set (change, "to", json_object_get (to, "value"));
  json_t *place = to ? to : from;
  json_object_set (change, "file", json_object_get (place, "file"));
  json_object_set (change, "line", json_object_get (place, "line"));
  json_array_append_new (changes, change);
}

static json_t *
compare_values (json_t *from, json_t *to)
{
  json_t *changes = json_array ();
  size_t i;
  json_t *entry;
  json_array_foreach (from, i, entry)
  {
    const char *key = cli_json_text (entry, "key");
    json_t *other = cli_find_value (to, key);
    if (!other)
      add_change (changes, "removed", key, entry, NULL);
    else if (strcmp (cli_json_text (entry, "value"), cli_json_text (other, "value")) != 0)
      add_change (changes, "changed", key, entry, other);
  }
  json_array_foreach (to, i, entry)
  {
    const char *key = cli_json_text (entry, "key");
    if (!cli_find_value (from, key))
      add_change (changes, "added", key, NULL, entry);
  }
  return changes;
}

static void
print_changes (json_t *changes, bool with_place)
{
  size_t i;
  json_t *change;
  json_array_foreach (changes, i, change)
  {
    const char *kind = cli_json_text (change, "change");
    const char *key = cli_json_text (change, "key");
    if (strcmp (kind, "changed") == 0)
      printf ("~ %s: %s -> %s", key, cli_json_text (change, "from"), cli_json_text (change, "to"));
    else if (strcmp (kind, "added") == 0)
      printf ("+ %s = %s", key, cli_json_text (change, "to"));
    else
      printf ("- %s = %s", key, cli_json_text (change, "from"));
    if (with_place)
      printf ("  # %s:%lld", cli_json_text (change, "file"),
              (long long) json_integer_value (json_object_get (change, "line")));
    putchar ('\n');
  }
}

int
cli_config_diff (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  int exit_code;
  json_t *folder_config = load_config (settings, words[0], &exit_code);
  if (!folder_config)
    return exit_code;
  json_t *server_config = cli_server_config (settings, &exit_code);
  if (!server_config) {
    json_decref (folder_config);
    return exit_code;
  }
  json_t *changes = compare_values (json_object_get (server_config, "values"),
                                    json_object_get (folder_config, "values"));
  bool differ = json_array_size (changes) > 0;
  if (settings->json) {
    json_t *result = json_pack ("{s:O, s:O}", "version", json_object_get (server_config, "version"),
                                "changes", changes);
    cli_print_json (result, true);
    json_decref (result);
  } else {
    print_changes (changes, false);
  }
  json_decref (changes);
  json_decref (folder_config);
  json_decref (server_config);
  return differ ? GR_EXIT_FAILED : GR_EXIT_OK;
}

/* Loads the configuration that --against names, an object with "values". On failure prints the
   error, sets *exit_code and returns NULL. */
static json_t *
load_against (const CliSettings *settings, int *exit_code)
{
  GrStr name = gr_str_from_c (settings->against);
  CliSettings other = *settings;
  struct stat info;
  /* Problems of the other folder go to standard error: standard output is only about FOLDER. */
  other.json = false;
  other.server = settings->against;
  if (gr_str_starts_with (name, GR_STR ("http://"))
      || gr_str_starts_with (name, GR_STR ("https://"))) {
    json_t *config = cli_server_config (&other, exit_code);
    /* Not GR_EXIT_FAILED, which here means warnings. */
    *exit_code = GR_EXIT_UNAVAILABLE;
    return config;
  }
  if (stat (settings->against, &info) == 0 && S_ISDIR (info.st_mode)) {
    json_t *folder = load_config (&other, settings->against, exit_code);
    if (!folder)
      cli_fail (*exit_code, "invalid: against: '%s' cannot be compared", settings->against);
    return folder;
  }
  json_error_t err;
  json_t *config = json_load_file (settings->against, 0, &err);
  if (!json_is_array (json_object_get (config, "values"))) {
    *exit_code
        = cli_fail (GR_EXIT_USAGE,
                    "invalid: against: '%s': %s; allowed is a URL, a folder, or a file written by "
                    "config show --json",
                    settings->against, config ? "'values' is missing" : err.text);
    json_decref (config);
    return NULL;
  }
  return config;
}

static json_t *
warning_json (const CfgWarning *warning)
{
  return json_pack ("{s:s, s:s%, s:I, s:s%, s:I, s:s%, s:s}", "code", cfg_lint_name (warning->code),
                    "file", warning->file.data, (size_t) warning->file.len, "line",
                    (json_int_t) warning->line, "other_file", warning->other_file.data,
                    (size_t) warning->other_file.len, "other_line",
                    (json_int_t) warning->other_line, "key", warning->key.data,
                    (size_t) warning->key.len, "detail", warning->detail);
}

static void
print_warning (const CfgWarning *warning)
{
  fprintf (stderr, "%.*s:%lld: warning: %s: ", GR_NAME_ARG (warning->file),
           (long long) warning->line, cfg_lint_name (warning->code));
  if (warning->key.len > 0)
    fprintf (stderr, "%.*s: ", GR_NAME_ARG (warning->key));
  fprintf (stderr, "%s", warning->detail);
  if (warning->other_file.len > 0)
    fprintf (stderr, " (%.*s:%lld)", GR_NAME_ARG (warning->other_file),
             (long long) warning->other_line);
  fputc ('\n', stderr);
}

static void
print_check_json (const CfgWarnings *warnings, json_t *against, json_t *changes)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < warnings->count; i++)
    json_array_append_new (list, warning_json (&warnings->items[i]));
  json_t *result = json_pack ("{s:b, s:[], s:o}", "ok", 1, "problems", "warnings", list);
  if (against) {
    json_object_set (result, "version", json_object_get (against, "version"));
    json_object_set (result, "changes", changes);
  }
  cli_print_json (result, true);
  json_decref (result);
}

static void
print_check_text (const CliSettings *settings, const char *path, size_t file_count,
                  size_t value_count, const CfgWarnings *warnings, json_t *against, json_t *changes)
{
  for (size_t i = 0; i < warnings->count; i++)
    print_warning (&warnings->items[i]);
  printf ("%s: %zu files, %zu values, ", path, file_count, value_count);
  if (warnings->count > 0)
    printf ("no error, %zu warning%s\n", warnings->count, warnings->count == 1 ? "" : "s");
  else
    printf ("no problem\n");
  if (!against)
    return;
  printf ("%zu differences from %s", json_array_size (changes), settings->against);
  json_t *version = json_object_get (against, "version");
  if (version)
    printf (", version %lld", (long long) json_integer_value (version));
  putchar ('\n');
  print_changes (changes, true);
}

int
cli_config_check (const CliSettings *settings, const char **words, int count)
{
  (void) count;
  CliFolder folder;
  int exit_code;
  CfgTree *tree = cli_load_tree (settings, words[0], &folder, &exit_code);
  if (!tree)
    return exit_code;
  json_t *values = cli_tree_values (tree);
  json_t *against = NULL;
  json_t *changes = NULL;
  CfgWarnings warnings = { 0 };
  if (settings->against[0]) {
    against = load_against (settings, &exit_code);
    if (!against)
      goto done;
    changes = compare_values (json_object_get (against, "values"), values);
  }
  CfgLintOptions options = { .job_tasks_max = JOB_TASKS_MAX };
  cfg_lint (tree, folder.files.items, folder.files.count, &options, &warnings);
  if (settings->json)
    print_check_json (&warnings, against, changes);
  else
    print_check_text (settings, words[0], folder.files.count, json_array_size (values), &warnings,
                      against, changes);
  exit_code = settings->strict && warnings.count > 0 ? GR_EXIT_FAILED : GR_EXIT_OK;

done:
  gr_list_clear (&warnings);
  json_decref (changes);
  json_decref (against);
  json_decref (values);
  cfg_tree_free (tree);
  cli_folder_clear (&folder);
  return exit_code;
}
