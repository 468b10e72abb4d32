/* Parses one configuration file into assignments with their line numbers. Private to src/cfg.

   libconfuse's scanner keeps process-wide state, so only one thread may parse at a time. */
#pragma once

#include "cfg/cfg_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One section of a file: its title, first line, author and reason. */
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
  size_t block; /* index in CfgParsed.blocks */
  GrName key;   /* "section.title.option" */
} CfgAssign;

/* One entry of a list "replaces": a key that the file may change. */
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

/* Appends the sections, assignments and replacements of the file to out, and problems with file and
   line. index is the file's position in merge order. Returns false if the file could not be parsed
   to its end. unchecked, for tests only, ignores the result of cfg_scan(). */
bool cfg_parse_file (const CfgFile *file, size_t index, bool unchecked, CfgParsed *out,
                     CfgProblems *problems);
void cfg_parsed_clear (CfgParsed *parsed);
/* Returns the files in merge order, by their names. The caller frees the array. */
const CfgFile **cfg_files_sorted (const CfgFile *files, size_t count);
/* Sorts the assignments by key, then in merge order. Blocks are not sorted, since assignments refer
   to them by index. */
void cfg_parsed_sort (CfgParsed *parsed);
/* Appends a problem. The formatted detail states the refused value and the allowed ones. key may be
   NULL. */
void cfg_problem_add (CfgProblems *problems, GrErrCode code, GrStr file, int64_t line,
                      const GrName *key, const char *format, ...)
    __attribute__ ((format (printf, 6, 7)));

#ifdef __cplusplus
}
#endif
