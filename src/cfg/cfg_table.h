/* Table of all configuration sections and options, used by the parser, the checks, the
   documentation page and "config explain". Private to src/cfg and src/cli. */
#pragma once

#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  CFG_SECTION_CELL,
  CFG_SECTION_TEAM,
  CFG_SECTION_LIMIT,
  CFG_SECTION_SERVICE,
  CFG_SECTION_BATCH,
  CFG_SECTION_GANG,
  CFG_SECTION_KIND,
  CFG_SECTION_COUNT
} CfgSectionId;

typedef struct {
  CfgSectionId id;
  const char *name;
  bool titled; /* syntax is "name TITLE { ... }" */
  const char *help;
} CfgSectionSpec;

typedef enum {
  CFG_TYPE_NAME,   /* GrName: letters, digits, '-' and '_' */
  CFG_TYPE_TEXT,   /* GrStr of at most max bytes */
  CFG_TYPE_INT,    /* int64_t */
  CFG_TYPE_AMOUNT, /* int32_t, one dimension of a GrRes */
  CFG_TYPE_BOOL,   /* "true" or "false" */
  CFG_TYPE_DIGEST  /* two GrName with 32 hex digits each */
} CfgType;

typedef struct {
  CfgSectionId section;
  const char *name;
  CfgType type;
  size_t offset;    /* of the field in the section's struct */
  const char *def;  /* default as text; NULL: required */
  int64_t min, max; /* of a number; of the length in bytes of a name or text */
  const char *help;
} CfgOption;

/* One section "limit NAME"; NAME is a team. */
typedef struct {
  GrName name;
  GrRes quota; /* 0: the dimension is not limited */
} CfgLimit;

/* Longest title, so that every key "section.title.option" fits into a GrName. */
#define CFG_TITLE_MAX 32

const CfgSectionSpec *cfg_section (CfgSectionId id);
const CfgOption *cfg_options (size_t *count);
/* NULL if the section has no such option. */
const CfgOption *cfg_option_find (CfgSectionId section, GrStr name);
const char *cfg_type_name (CfgType type);
/* Writes a description of the allowed values, for messages and the documentation page. */
void cfg_option_allowed (const CfgOption *option, char *out, size_t size);
bool cfg_option_check (const CfgOption *option, GrStr value);
/* Stores a value that passed cfg_option_check() into the section's struct; texts are not copied. */
void cfg_option_store (const CfgOption *option, GrStr value, void *record);
/* True for letters, digits, '-' and '_', 1 to max bytes. */
bool cfg_name_valid (GrStr name, size_t max);
/* True for UTF-8 text of at most max bytes without control characters. */
bool cfg_text_valid (GrStr text, size_t max);
/* Replaces control characters and invalid UTF-8 by '?', for messages that quote input. */
void cfg_text_clean (char *text, size_t len);
/* "section.title.option", or "section.option" for a section without title. */
GrName cfg_key (CfgSectionId section, const GrName *title, const char *option);

#ifdef __cplusplus
}
#endif
