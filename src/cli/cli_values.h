/* Values of a configuration as JSON: [{"key","value","file","line","author","reason"}], as GET
   /v1/config answers them. */
#pragma once

#include "cli/cli.h"
#include "cli/cli_folder.h"

/* Reads and checks a folder. NULL after the problems were printed; *exit_code is set then. */
CfgTree *cli_load_tree (const CliSettings *settings, const char *path, CliFolder *folder,
                        int *exit_code);
/* Prints problems as text on standard error or as JSON on standard output. */
void cli_print_problems (const CliSettings *settings, const CfgProblems *problems);
json_t *cli_tree_values (const CfgTree *tree);
/* GET /v1/config: the whole answer, or NULL after the failure was reported. */
json_t *cli_server_config (const CliSettings *settings, int *exit_code);
/* The entry of a key; NULL if it is not set. Borrowed. */
json_t *cli_find_value (json_t *values, const char *key);
const char *cli_text (json_t *object, const char *name);
