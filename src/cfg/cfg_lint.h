/* Warnings about a valid configuration: limits that contradict each other and entries that have no
   effect. They never change the verdict on a publication. No I/O. */
#pragma once

#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The names returned by cfg_lint_name() are part of the output of "config check" and must not
   change. */
typedef enum {
  CFG_LINT_TASK_ABOVE_QUOTA,      /* one task needs more than its team's quota */
  CFG_LINT_GANG_ABOVE_QUOTA,      /* the tasks of a gang together need more */
  CFG_LINT_SERVICES_ABOVE_QUOTA,  /* the services of a team together need more */
  CFG_LINT_KIND_ABOVE_QUOTAS,     /* a request of the kind needs more than any team may use */
  CFG_LINT_GANG_ABOVE_QUEUE,      /* a gang has more tasks than may wait */
  CFG_LINT_TASKS_ABOVE_MAXIMUM,   /* more tasks than a job may have */
  CFG_LINT_LONG_ABOVE_BATCH,      /* long work may hold more of an executor than of the cell */
  CFG_LINT_LIMIT_ABOVE_QUOTA,     /* a limit above the quota of its team */
  CFG_LINT_LIMIT_BEHIND_STRICTER, /* a limit above an earlier file's limit of the same key */
  CFG_LINT_PRIORITY_ALONE,        /* the priority of the only team */
  CFG_LINT_KIND_DEMAND_IGNORED,   /* a kind with slots = 0 and no other demand */
  CFG_LINT_KIND_WITHOUT_EFFECT,   /* a kind with no value other than the defaults */
  CFG_LINT_EMPTY_SECTION,         /* a section without a value */
  CFG_LINT_REPLACES_SAME_VALUE,   /* "replaces" lists a key whose value stays the same */
  CFG_LINT_FILE_WITHOUT_EFFECT,   /* no value in force comes from the file */
  CFG_LINT_COUNT
} CfgLintCode;

typedef struct {
  CfgLintCode code;
  GrName file;
  int64_t line;      /* at least 1 */
  GrName other_file; /* place of the value that contradicts this one; empty if there is none */
  int64_t other_line;
  GrName key; /* empty if the warning concerns a section or file */
  char detail[256];
} CfgWarning;

typedef GR_LIST (CfgWarning) CfgWarnings;

/* Limits outside the configuration. */
typedef struct {
  int64_t job_tasks_max; /* tasks of one job; 0: not checked */
} CfgLintOptions;

/* Appends the warnings in the order of files and lines. tree is the result of cfg_tree_new() for
   these files. The caller releases the list with gr_list_clear(). */
void cfg_lint (const CfgTree *tree, const CfgFile *files, size_t count,
               const CfgLintOptions *options, CfgWarnings *out);
/* Returns the code as printed, for example "task_above_quota". */
const char *cfg_lint_name (CfgLintCode code);

#ifdef __cplusplus
}
#endif
