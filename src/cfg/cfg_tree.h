/* The merged configuration. Private to src/cfg. */
#pragma once

#include "cfg/cfg_parse.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Fault injection for tests: each field disables one rule of the merge, so that a test can show
   that a property detects its absence. */
typedef struct {
  bool given_order;   /* files are merged in the order given instead of by name */
  bool silent_change; /* a change without "replaces" is accepted */
  bool loosest_limit; /* the last value of a limit is used instead of the strictest */
  bool unchecked;     /* texts that cfg_scan() refuses are parsed */
} CfgTreeFaults;

/* As cfg_tree_new(), with the default author of sections that name none. author and faults may be
   NULL. */
CfgTree *cfg_tree_build (const CfgFile *files, size_t count, const GrName *author,
                         const CfgTreeFaults *faults, CfgProblems *problems);

#ifdef __cplusplus
}
#endif
