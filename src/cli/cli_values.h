/* Values of a configuration as JSON: [{"key","value","file","line","author","reason"}], the format
   of "values" in GET /v1/config. */
#pragma once

#include "cli/cli.h"
#include "cli/cli_folder.h"

/* Reads and checks a folder. On failure prints the problems, sets *exit_code and returns NULL. On
   success the caller releases the tree and the folder. */
CfgTree *cli_load_tree (const CliSettings *settings, const char *path, CliFolder *folder,
                        int *exit_code);
/* Prints problems as text on standard error or as JSON on standard output. */
void cli_print_problems (const CliSettings *settings, const CfgProblems *problems);
/* Returns a new reference. */
json_t *cli_tree_values (const CfgTree *tree);
/* Returns the response of GET /v1/config as a new reference. On failure prints the error, stores
   the exit code and returns NULL. */
json_t *cli_server_config (const CliSettings *settings, int *exit_code);
/* Returns the entry of a key as a borrowed reference; NULL if the key is not set. */
json_t *cli_find_value (json_t *values, const char *key);
/* Returns a string member, or "" if it is missing or not a string. */
const char *cli_json_text (json_t *object, const char *name);
