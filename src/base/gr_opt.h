/* Settings of a program from flags and environment variables, checked against one table. A flag has
   precedence over its environment variable, which has precedence over the default. A variable that
   is empty counts as not set. */
#pragma once

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  GR_OPT_TEXT, /* const char *, valid for the life of the process */
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
  GR_OPT_RUN,    /* the program continues */
  GR_OPT_EXIT_OK /* --help or --version was printed; the program exits */
} GrOptVerdict;

/* Exit codes of all programs. */
enum {
  GR_EXIT_OK = 0,
  GR_EXIT_FAILED = 1,     /* the operation was refused or failed */
  GR_EXIT_USAGE = 2,      /* bad flags, settings or input */
  GR_EXIT_UNAVAILABLE = 3 /* the service could not be reached */
};

/* Fills settings from argv and the environment. For --help and --version, prints to standard output
   and sets *verdict to GR_OPT_EXIT_OK. If max_words > 0, stores up to max_words positional
   arguments in words and their number in *word_count. Errors: GR_ERR_INVALID and GR_ERR_MISSING
   with the setting as field, GR_ERR_UNKNOWN_FIELD with "arguments". */
bool gr_opt_parse (const char *program, const char *summary, const GrOptSpec *specs, size_t count,
                   int argc, char **argv, void *settings, const char **words, int max_words,
                   int *word_count, GrOptVerdict *verdict, GrErr *err);

#ifdef __cplusplus
}
#endif
