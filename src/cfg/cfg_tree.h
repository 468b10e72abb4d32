/* The merged configuration. Private to src/cfg. */
#pragma once

#include "cfg/cfg_parse.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches: each leaves out one rule of the merge, so that a property can show that it
   notices. */
typedef struct {
  bool given_order;   /* files are merged as given instead of by name */
  bool silent_change; /* a change without "replaces" is taken without a problem */
  bool loosest_limit; /* the last value of a limit holds instead of the strictest */
  bool unchecked;     /* libconfuse reads texts that cfg_scan refuses */
} CfgTreeFaults;

/* As cfg_tree_new; author is the origin of values whose section names none. */
CfgTree *cfg_tree_build (const CfgFile *files, size_t count, const GrName *author,
                         const CfgTreeFaults *faults, CfgProblems *problems);

#ifdef __cplusplus
}
#endif
