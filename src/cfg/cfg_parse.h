/* Parses one configuration file into assignments with their true lines. Private to src/cfg.

   libconfuse's scanner keeps process-wide state, so only one thread may parse at a time. */
#pragma once

#include "cfg/cfg_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One section as written: its title, first line, author and reason. */
typedef struct {
  CfgSectionId section;
  GrName title;
  size_t file; /* index of the file */
  int64_t line;
  GrName author;
  char *reason; /* owned; NULL if not given */
} CfgBlock;

/* One "option = value" of a section. */
typedef struct {
  const CfgOption *option;
  char *value; /* owned */
  size_t file;
  int64_t line;
  size_t block;
  GrName key;
} CfgAssign;

/* One entry of a list "replaces". */
typedef struct {
  size_t file;
  int64_t line;
  GrName key;
} CfgReplace;

typedef struct {
  GR_LIST (CfgBlock) blocks;
  GR_LIST (CfgAssign) assigns;
  GR_LIST (CfgReplace) replaces;
} CfgParsed;

/* Appends what the file holds; problems are appended with file and line. False if a part of the
   file could not be read. unchecked is a test-only switch that skips cfg_scan's verdict. */
bool cfg_parse_file (const CfgFile *file, size_t index, bool unchecked, CfgParsed *out,
                     CfgProblems *problems);
void cfg_parsed_clear (CfgParsed *parsed);
/* Appends a problem. The detail names the value and what is allowed. */
void cfg_problem_add (CfgProblems *problems, GrErrCode code, GrStr file, int64_t line,
                      const GrName *key, const char *format, ...)
    __attribute__ ((format (printf, 6, 7)));

#ifdef __cplusplus
}
#endif
