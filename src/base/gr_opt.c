#include "base/gr_opt.h"

#include <argtable2.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>

/* Argument table entries besides the settings: help, version, positional arguments, end marker. */
#define EXTRA_ARGS 4

static void
env_name (const char *option, char *out, size_t size)
{
  size_t len = (size_t) snprintf (out, size, "GENTIANRELAY_");
  for (const char *c = option; *c && len + 1 < size; c++)
    out[len++] = *c == '-' ? '_' : (char) toupper ((unsigned char) *c);
  out[len] = '\0';
}

static bool
store_value (const GrOptSpec *spec, const char *text, void *settings, GrErr *err)
{
  char *field = (char *) settings + spec->offset;
  switch (spec->type) {
  case GR_OPT_TEXT:
    *(const char **) (void *) field = text;
    return true;
  case GR_OPT_INT: {
    int64_t value;
    if (!gr_str_to_int64 (gr_str_from_c (text), &value) || value < spec->min || value > spec->max)
      return gr_err_set (err, GR_ERR_INVALID, spec->name,
                         "--%s is '%s'; allowed is a whole number from %lld to %lld", spec->name,
                         text, (long long) spec->min, (long long) spec->max);
    *(int64_t *) (void *) field = value;
    return true;
  }
  case GR_OPT_FLAG: {
    GrStr s = gr_str_from_c (text);
    bool on = gr_str_equal (s, GR_STR ("1")) || gr_str_equal (s, GR_STR ("true"));
    if (!on && !gr_str_equal (s, GR_STR ("0")) && !gr_str_equal (s, GR_STR ("false")))
      return gr_err_set (err, GR_ERR_INVALID, spec->name,
                         "--%s is '%s'; allowed is 0, 1, false or true", spec->name, text);
    *(bool *) (void *) field = on;
    return true;
  }
  }
  return false;
}

static const char *
flag_value (const GrOptSpec *spec, void *arg)
{
  switch (spec->type) {
  case GR_OPT_TEXT:
  case GR_OPT_INT: {
    struct arg_str *str = arg;
    return str->count > 0 ? str->sval[str->count - 1] : NULL;
  }
  case GR_OPT_FLAG: {
    struct arg_lit *lit = arg;
    return lit->count > 0 ? "1" : NULL;
  }
  }
  return NULL;
}

/* Returns NULL if the variable is not set or empty: deploy tools set those for which they have no
   value to the empty text. */
static const char *
variable_value (const char *variable)
{
  const char *text = getenv (variable);
  return text && *text ? text : NULL;
}

static bool
resolve_setting (const GrOptSpec *spec, void *arg, void *settings, GrErr *err)
{
  char variable[96];
  env_name (spec->name, variable, sizeof variable);
  const char *text = flag_value (spec, arg);
  if (!text)
    text = variable_value (variable);
  if (!text)
    text = spec->type == GR_OPT_FLAG && !spec->def ? "0" : spec->def;
  if (!text)
    return gr_err_set (err, GR_ERR_MISSING, spec->name, "set --%s or %s", spec->name, variable);
  return store_value (spec, text, settings, err);
}

static void
print_help (const char *program, const char *summary, void **args, const GrOptSpec *specs,
            size_t count)
{
  printf ("Usage: %s", program);
  arg_print_syntax (stdout, args, "\n");
  printf ("%s\n\n", summary);
  arg_print_glossary (stdout, args, "  %-28s %s\n");
  printf ("\nEach setting can also come from the environment:\n");
  for (size_t i = 0; i < count; i++) {
    char variable[96];
    env_name (specs[i].name, variable, sizeof variable);
    printf ("  %-36s default: %s\n", variable, specs[i].def ? specs[i].def : "(none)");
  }
}

bool
gr_opt_parse (const char *program, const char *summary, const GrOptSpec *specs, size_t count,
              int argc, char **argv, void *settings, const char **words, int max_words,
              int *word_count, GrOptVerdict *verdict, GrErr *err)
{
  bool ok = false;
  *verdict = GR_OPT_RUN;
  void **args = gr_calloc (count + EXTRA_ARGS, sizeof *args);
  for (size_t i = 0; i < count; i++) {
    if (specs[i].type == GR_OPT_FLAG)
      args[i] = arg_litn (NULL, specs[i].name, 0, 1, specs[i].help);
    else
      args[i] = arg_strn (NULL, specs[i].name, specs[i].value, 0, 1, specs[i].help);
  }
  struct arg_lit *help = arg_litn ("h", "help", 0, 1, "print this help and exit");
  struct arg_lit *version = arg_litn (NULL, "version", 0, 1, "print the version and exit");
  struct arg_str *rest = arg_strn (NULL, NULL, "WORD", 0, max_words > 0 ? max_words : 1, NULL);
  struct arg_end *end = arg_end (8);
  args[count] = help;
  args[count + 1] = version;
  args[count + 2] = max_words > 0 ? (void *) rest : (void *) end;
  args[count + 3] = end;
  int errors = arg_parse (argc, argv, args);
  if (help->count > 0 || version->count > 0) {
    if (help->count > 0)
      print_help (program, summary, args, specs, count);
    else
      printf ("%s %s\n", program, GR_VERSION);
    *verdict = GR_OPT_EXIT_OK;
    ok = true;
    goto done;
  }
  if (errors > 0) {
    char text[160] = "";
    FILE *stream = fmemopen (text, sizeof text - 1, "w");
    if (stream) {
      arg_print_errors (stream, end, program);
      fclose (stream);
    }
    text[strcspn (text, "\n")] = '\0';
    gr_err_set (err, GR_ERR_UNKNOWN_FIELD, "arguments", "%s", text);
    goto done;
  }
  for (size_t i = 0; i < count; i++) {
    if (!resolve_setting (&specs[i], args[i], settings, err))
      goto done;
  }
  if (max_words > 0 && word_count) {
    *word_count = rest->count;
    for (int i = 0; i < rest->count; i++)
      words[i] = rest->sval[i];
  }
  ok = true;

done:
  /* arg_freetable() does not free the strings, which point into argv. */
  if (max_words <= 0) {
    free (rest);
    arg_freetable (args, count + 3);
  } else {
    arg_freetable (args, count + 4);
  }
  free (args);
  return ok;
}
