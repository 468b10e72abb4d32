/* Command line program "gentianrelay": settings, table of verbs, and helpers shared by the verbs.
   "Words" are the positional arguments of a command line. */
#pragma once

#include <jansson.h>

#include "base/gr_opt.h"
#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings of all verbs. A verb uses only those whose options its table entry lists. */
typedef struct {
  const char *server;
  const char *platform;
  const char *token;
  const char *author;
  const char *id;
  const char *team;
  const char *kind;
  const char *policy;
  const char *payload;
  const char *against; /* URL, folder or file; empty: no comparison */
  int64_t tasks;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots;
  int64_t run_ms;     /* expected run time */
  int64_t within_ms;  /* time from now until the deadline of a submission */
  int64_t timeout_ms; /* longest wait of the verb itself */
  bool json;
  bool origin;
  bool strict;
  bool idempotent;
  bool exclusive;
  bool urgent;
  bool wait;
} CliSettings;

/* One entry of the table of verbs. */
typedef struct {
  const char *name;    /* "config check" */
  const char *words;   /* placeholders of its positional arguments, for example "FOLDER" */
  const char *options; /* names of its options, separated by spaces */
  int min_words, max_words;
  const char *summary;
  const char *exit_codes; /* their meaning for this verb; NULL: as listed in --help */
  /* Gets count positional arguments, min_words to max_words of them. Returns an exit code of
     gr_opt.h. */
  int (*run) (const CliSettings *settings, const char **words, int count);
} CliVerb;

/* Positional arguments of one verb. */
#define CLI_WORDS_MAX 4
/* Options of one verb. */
#define CLI_OPTIONS_MAX 24

const CliVerb *cli_verbs (size_t *count);
/* Returns the verb whose name matches the first arguments, or NULL. *used is the number of
   arguments that the name takes up. */
const CliVerb *cli_verb_find (int count, char **words, int *used);
/* Copies the options of a verb to out and returns their number, at most CLI_OPTIONS_MAX. */
size_t cli_verb_options (const CliVerb *verb, GrOptSpec *out);
/* Runs the program; returns its exit code. */
int cli_run (int argc, char **argv);

/* config */
int cli_config_check (const CliSettings *settings, const char **words, int count);
int cli_config_show (const CliSettings *settings, const char **words, int count);
int cli_config_explain (const CliSettings *settings, const char **words, int count);
int cli_config_diff (const CliSettings *settings, const char **words, int count);
int cli_config_publish (const CliSettings *settings, const char **words, int count);
/* jobs */
int cli_submit (const CliSettings *settings, const char **words, int count);
int cli_status (const CliSettings *settings, const char **words, int count);
int cli_wait (const CliSettings *settings, const char **words, int count);
int cli_cancel (const CliSettings *settings, const char **words, int count);
int cli_explain (const CliSettings *settings, const char **words, int count);
/* cell */
int cli_top (const CliSettings *settings, const char **words, int count);
int cli_drain (const CliSettings *settings, const char **words, int count);
/* generated documents */
int cli_doc (const CliSettings *settings, const char **words, int count);

/* Writes "gentianrelay: MESSAGE" to standard error and returns exit_code. */
int cli_fail (int exit_code, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Prints an object as text, one "name: value" line per member and a table for each array of
   objects; other values, or all values if as_json is set, as indented JSON. */
void cli_print_json (json_t *value, bool as_json);
/* Prints an error response of the daemon; returns the exit code for its error code. */
int cli_report_error (const CliSettings *settings, int status, GrStr body);
int64_t cli_unix_ms (void);

#ifdef __cplusplus
}
#endif
