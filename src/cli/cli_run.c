#include <curl/curl.h>
#include <stdio.h>

#include "cli/cli.h"

static void
print_usage (FILE *out)
{
  size_t count;
  const CliVerb *verbs = cli_verbs (&count);
  fprintf (out, "Usage: gentianrelay VERB [OPTION...] [WORD...]\n\n");
  for (size_t i = 0; i < count; i++) {
    char left[80];
    snprintf (left, sizeof left, "%s %s", verbs[i].name, verbs[i].words);
    fprintf (out, "  %-32s %s\n", left, verbs[i].summary);
  }
  fprintf (out, "\n'gentianrelay VERB --help' lists the options of a verb.\n"
                "Exit codes: 0 done, 1 refused or failed, 2 wrong input, 3 not reachable.\n");
}

static int
run_verb (const CliVerb *verb, int argc, char **argv)
{
  char program[64];
  snprintf (program, sizeof program, "gentianrelay %s", verb->name);
  argv[0] = program;
  GrOptSpec specs[CLI_OPTIONS_MAX];
  size_t spec_count = cli_verb_options (verb, specs);
  CliSettings settings = { 0 };
  const char *words[CLI_WORDS_MAX] = { NULL };
  int word_count = 0;
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (!gr_opt_parse (program, verb->summary, specs, spec_count, argc, argv, &settings, words,
                     verb->max_words, &word_count, &verdict, &err))
    return cli_fail (GR_EXIT_USAGE, "%s: %.*s: %s; see 'gentianrelay %s --help'",
                     gr_err_name (err.code), GR_NAME_ARG (err.field), err.detail, verb->name);
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  if (word_count < verb->min_words)
    return cli_fail (GR_EXIT_USAGE, "missing: %s needs %s; see 'gentianrelay %s --help'",
                     verb->name, verb->words, verb->name);
  return verb->run (&settings, words, word_count);
}

int
cli_run (int argc, char **argv)
{
  if (argc < 2) {
    print_usage (stderr);
    return GR_EXIT_USAGE;
  }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0) {
    print_usage (stdout);
    return GR_EXIT_OK;
  }
  if (strcmp (argv[1], "--version") == 0) {
    printf ("gentianrelay %s\n", GR_VERSION);
    return GR_EXIT_OK;
  }
  int used = 0;
  const CliVerb *verb = cli_verb_find (argc - 1, argv + 1, &used);
  if (!verb)
    return cli_fail (GR_EXIT_USAGE, "unknown verb '%s'; see 'gentianrelay --help'", argv[1]);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  int code = run_verb (verb, argc - used, argv + used);
  curl_global_cleanup ();
  return code;
}
