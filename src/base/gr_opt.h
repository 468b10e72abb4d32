/* Settings of a program from flags and environment variables, checked against one table.
   A flag goes before its environment variable, which goes before the default. */
#pragma once

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  GR_OPT_TEXT, /* const char *, static for the life of the process */
  GR_OPT_INT,  /* int64_t with min and max */
  GR_OPT_FLAG  /* bool, false by default */
} GrOptType;

typedef struct {
  const char *name; /* long flag without dashes; the variable is GENTIANRELAY_ + upper case */
  GrOptType type;
  size_t offset;     /* of the field in the settings struct */
  const char *value; /* placeholder in --help, for example "MS" */
  const char *def;   /* default as text; NULL makes a text or int setting required */
  int64_t min, max;  /* bounds of GR_OPT_INT */
  const char *help;
} GrOptSpec;

typedef enum {
  GR_OPT_RUN,
  GR_OPT_EXIT_OK
} GrOptVerdict;

/* Exit codes of all programs. */
enum {
  GR_EXIT_OK = 0,
  GR_EXIT_FAILED = 1,     /* the operation was refused or failed */
  GR_EXIT_USAGE = 2,      /* bad flags, settings or input */
  GR_EXIT_UNAVAILABLE = 3 /* the service could not be reached */
};

/* Fills settings from argv and the environment. Handles --help and --version by printing to
   standard output and setting *verdict to GR_OPT_EXIT_OK. Positional arguments, if max_words > 0,
   are stored in words. Errors: GR_ERR_INVALID, GR_ERR_MISSING, GR_ERR_UNKNOWN_FIELD, each naming
   the setting. */
bool gr_opt_parse (const char *program, const char *summary, const GrOptSpec *specs, size_t count,
                   int argc, char **argv, void *settings, const char **words, int max_words,
                   int *word_count, GrOptVerdict *verdict, GrErr *err);

#ifdef __cplusplus
}
#endif
