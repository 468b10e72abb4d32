#include "cfg/cfg_table.h"

#include <ctype.h>
#include <stdio.h>

/* Hex digits of one half of a SHA-256 digest. */
#define DIGEST_HALF 32
#define PAYLOAD_MAX 4096
#define AMOUNT_MAX INT32_MAX

static const CfgSectionSpec sections[CFG_SECTION_COUNT] = {
  { CFG_SECTION_CELL, "cell", false, "settings of the whole cell" },
  { CFG_SECTION_TEAM, "team", true, "a team of callers" },
  { CFG_SECTION_LIMIT, "limit", true,
    "a limit for the team of that name; of several, the strictest holds" },
  { CFG_SECTION_SERVICE, "service", true, "tasks that the cell keeps running" },
  { CFG_SECTION_BATCH, "batch", true, "tasks that run to their end and may wait" },
  { CFG_SECTION_GANG, "gang", true, "tasks that start all at once or not at all" },
  { CFG_SECTION_KIND, "kind", true, "a kind of request" },
};

#define RES_OFFSET(Type, member, dim) (offsetof (Type, member) + sizeof (int32_t) * (size_t) (dim))
#define AMOUNT(section, name, Type, member, dim, def, min, help)                                   \
  {                                                                                                \
    section, name, CFG_TYPE_AMOUNT, RES_OFFSET (Type, member, dim), def, min, AMOUNT_MAX, help     \
  }

#define WORK_OPTIONS(section)                                                                           \
  { section, "team", CFG_TYPE_NAME, offsetof (CfgWork, team),                                           \
    NULL,    1,      CFG_TITLE_MAX, "team that the work belongs to" },                                  \
      { section, "tasks", CFG_TYPE_INT, offsetof (CfgWork, tasks), "1", 1, 100000, "number of tasks" }, \
      { section, "run_ms", CFG_TYPE_INT, offsetof (CfgWork, run_ms),                                    \
        "0",     0,        31536000000,  "expected run time of a task in ms; 0: not known" },           \
      AMOUNT (section, "cpu_milli", CfgWork, demand, GR_RES_CPU_MILLI, NULL, 1,                         \
              "processor need of a task in 1/1000 of a core"),                                          \
      AMOUNT (section, "memory_mb", CfgWork, demand, GR_RES_MEMORY_MB, NULL, 1,                         \
              "memory need of a task in MB"),                                                           \
      AMOUNT (section, "accelerators", CfgWork, demand, GR_RES_ACCELERATORS, "0", 0,                    \
              "accelerators that a task needs"),                                                        \
      AMOUNT (section, "slots", CfgWork, demand, GR_RES_SLOTS, "0", 0,                                  \
              "executor slots that a task needs; 0 for work on workers"),                               \
  {                                                                                                     \
    section, "payload", CFG_TYPE_TEXT, offsetof (CfgWork, payload), "", 0, PAYLOAD_MAX,                 \
        "text that every task receives"                                                                 \
  }

static const CfgOption options[] = {
  { CFG_SECTION_CELL, "partitions", CFG_TYPE_INT, offsetof (CfgCell, partitions), "16", 1, 1024,
    "job partitions per region" },
  { CFG_SECTION_CELL, "max_attempts", CFG_TYPE_INT, offsetof (CfgCell, max_attempts), "4", 1, 100,
    "attempts of a task before it counts as failed" },
  { CFG_SECTION_CELL, "task_lease_ms", CFG_TYPE_INT, offsetof (CfgCell, task_lease_ms), "10000",
    6000, 600000, "time a task runs on without renewal, in ms; renewed every 3000 ms" },
  { CFG_SECTION_CELL, "long_slots_pct", CFG_TYPE_INT, offsetof (CfgCell, long_slots_pct), "50", 1,
    100, "share of an executor's slots that long work may hold, in percent" },
  { CFG_SECTION_CELL, "long_after_ms", CFG_TYPE_INT, offsetof (CfgCell, long_after_ms), "2000", 1,
    86400000, "expected run time from which work counts as long, in ms" },
  { CFG_SECTION_CELL, "queue_max", CFG_TYPE_INT, offsetof (CfgCell, queue_max), "50000", 1, 1000000,
    "waiting tasks per scheduler" },
  { CFG_SECTION_CELL, "batch_share_pct", CFG_TYPE_INT, offsetof (CfgCell, batch_share_pct), "90", 1,
    100, "share of the cell that batch work may hold, in percent" },

  { CFG_SECTION_TEAM, "region", CFG_TYPE_NAME, offsetof (CfgTeam, region), NULL, 1, CFG_TITLE_MAX,
    "home region of its callers" },
  { CFG_SECTION_TEAM, "priority", CFG_TYPE_INT, offsetof (CfgTeam, priority), "100", 0, 1000,
    "higher goes first" },
  AMOUNT (CFG_SECTION_TEAM, "quota_cpu_milli", CfgTeam, quota, GR_RES_CPU_MILLI, "0", 0,
          "most processor in use at once, in 1/1000 of a core; 0: not limited"),
  AMOUNT (CFG_SECTION_TEAM, "quota_memory_mb", CfgTeam, quota, GR_RES_MEMORY_MB, "0", 0,
          "most memory in use at once, in MB; 0: not limited"),
  AMOUNT (CFG_SECTION_TEAM, "quota_accelerators", CfgTeam, quota, GR_RES_ACCELERATORS, "0", 0,
          "most accelerators in use at once; 0: not limited"),
  AMOUNT (CFG_SECTION_TEAM, "quota_slots", CfgTeam, quota, GR_RES_SLOTS, "0", 0,
          "most executor slots in use at once; 0: not limited"),
  { CFG_SECTION_TEAM, "token_sha256", CFG_TYPE_DIGEST, offsetof (CfgTeam, token_sha256_a), "", 0,
    2 * DIGEST_HALF, "SHA-256 of the callers' bearer token; empty: no token needed" },

  AMOUNT (CFG_SECTION_LIMIT, "quota_cpu_milli", CfgLimit, quota, GR_RES_CPU_MILLI, "0", 1,
          "as in section team"),
  AMOUNT (CFG_SECTION_LIMIT, "quota_memory_mb", CfgLimit, quota, GR_RES_MEMORY_MB, "0", 1,
          "as in section team"),
  AMOUNT (CFG_SECTION_LIMIT, "quota_accelerators", CfgLimit, quota, GR_RES_ACCELERATORS, "0", 1,
          "as in section team"),
  AMOUNT (CFG_SECTION_LIMIT, "quota_slots", CfgLimit, quota, GR_RES_SLOTS, "0", 1,
          "as in section team"),

  WORK_OPTIONS (CFG_SECTION_SERVICE),
  WORK_OPTIONS (CFG_SECTION_BATCH),
  WORK_OPTIONS (CFG_SECTION_GANG),

  { CFG_SECTION_KIND, "idempotent", CFG_TYPE_BOOL, offsetof (CfgKind, idempotent), "true", 0, 0,
    "whether running a request twice does no harm" },
  { CFG_SECTION_KIND, "exclusive", CFG_TYPE_BOOL, offsetof (CfgKind, exclusive), "false", 0, 0,
    "whether a request must never run in two places at once" },
  { CFG_SECTION_KIND, "run_ms", CFG_TYPE_INT, offsetof (CfgKind, run_ms), "0", 0, 86400000,
    "expected run time in ms; 0: not known" },
  AMOUNT (CFG_SECTION_KIND, "cpu_milli", CfgKind, demand, GR_RES_CPU_MILLI, "0", 0,
          "processor need in 1/1000 of a core"),
  AMOUNT (CFG_SECTION_KIND, "memory_mb", CfgKind, demand, GR_RES_MEMORY_MB, "0", 0,
          "memory need in MB"),
  AMOUNT (CFG_SECTION_KIND, "accelerators", CfgKind, demand, GR_RES_ACCELERATORS, "0", 0,
          "accelerators needed"),
  AMOUNT (CFG_SECTION_KIND, "slots", CfgKind, demand, GR_RES_SLOTS, "1", 0,
          "executor slots needed"),
};

const CfgSectionSpec *
cfg_section (CfgSectionId id)
{
  return &sections[id];
}

const CfgOption *
cfg_options (size_t *count)
{
  *count = sizeof options / sizeof options[0];
  return options;
}

const CfgOption *
cfg_option_find (CfgSectionId section, GrStr name)
{
  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++) {
    if (options[i].section == section && gr_str_equal (gr_str_from_c (options[i].name), name))
      return &options[i];
  }
  return NULL;
}

const char *
cfg_type_name (CfgType type)
{
  switch (type) {
  case CFG_TYPE_NAME:
    return "name";
  case CFG_TYPE_TEXT:
    return "text";
  case CFG_TYPE_INT:
  case CFG_TYPE_AMOUNT:
    return "whole number";
  case CFG_TYPE_BOOL:
    return "true or false";
  case CFG_TYPE_DIGEST:
    return "SHA-256 digest";
  }
  return "";
}

void
cfg_option_allowed (const CfgOption *option, char *out, size_t size)
{
  switch (option->type) {
  case CFG_TYPE_NAME:
    snprintf (out, size, "%lld to %lld letters, digits, '-' or '_'", (long long) option->min,
              (long long) option->max);
    return;
  case CFG_TYPE_TEXT:
    snprintf (out, size, "UTF-8 text of at most %lld bytes without control characters",
              (long long) option->max);
    return;
  case CFG_TYPE_INT:
  case CFG_TYPE_AMOUNT:
    snprintf (out, size, "a whole number from %lld to %lld", (long long) option->min,
              (long long) option->max);
    return;
  case CFG_TYPE_BOOL:
    snprintf (out, size, "true or false");
    return;
  case CFG_TYPE_DIGEST:
    snprintf (out, size, "64 lower-case hex digits, or empty");
    return;
  }
}

static bool
is_digest (GrStr value)
{
  if (value.len != (size_t) (2 * DIGEST_HALF))
    return false;
  for (size_t i = 0; i < value.len; i++) {
    char c = value.data[i];
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
      return false;
  }
  return true;
}

bool
cfg_option_check (const CfgOption *option, GrStr value)
{
  switch (option->type) {
  case CFG_TYPE_NAME:
    return cfg_name_valid (value, (size_t) option->max);
  case CFG_TYPE_TEXT:
    return cfg_text_valid (value, (size_t) option->max);
  case CFG_TYPE_INT:
  case CFG_TYPE_AMOUNT: {
    int64_t number;
    return gr_str_to_int64 (value, &number) && number >= option->min && number <= option->max;
  }
  case CFG_TYPE_BOOL:
    return gr_str_equal (value, GR_STR ("true")) || gr_str_equal (value, GR_STR ("false"));
  case CFG_TYPE_DIGEST:
    return value.len == 0 || is_digest (value);
  }
  return false;
}

void
cfg_option_store (const CfgOption *option, GrStr value, void *record)
{
  char *field = (char *) record + option->offset;
  int64_t number = 0;
  switch (option->type) {
  case CFG_TYPE_NAME:
    *(GrName *) (void *) field = gr_name_cut (value);
    return;
  case CFG_TYPE_TEXT:
    *(GrStr *) (void *) field = value;
    return;
  case CFG_TYPE_INT:
    gr_str_to_int64 (value, &number);
    *(int64_t *) (void *) field = number;
    return;
  case CFG_TYPE_AMOUNT:
    gr_str_to_int64 (value, &number);
    *(int32_t *) (void *) field = (int32_t) number;
    return;
  case CFG_TYPE_BOOL:
    *(bool *) (void *) field = gr_str_equal (value, GR_STR ("true"));
    return;
  case CFG_TYPE_DIGEST: {
    GrName *halves = (GrName *) (void *) field;
    size_t half = value.len / 2;
    halves[0] = gr_name_cut ((GrStr){ value.data, half });
    halves[1] = gr_name_cut ((GrStr){ value.data + half, value.len - half });
    return;
  }
  }
}

bool
cfg_name_valid (GrStr name, size_t max)
{
  if (name.len == 0 || name.len > max)
    return false;
  for (size_t i = 0; i < name.len; i++) {
    char c = name.data[i];
    if (!isalnum ((unsigned char) c) && c != '-' && c != '_')
      return false;
  }
  return true;
}

bool
cfg_text_valid (GrStr text, size_t max)
{
  if (text.len > max)
    return false;
  for (size_t i = 0; i < text.len;) {
    unsigned char c = (unsigned char) text.data[i++];
    size_t more = c < 0x80 ? 0 : c >= 0xc2 && c < 0xe0 ? 1 : c >= 0xe0 && c < 0xf0 ? 2 : 3;
    if (c < 0x20 || c == 0x7f || (c >= 0x80 && c < 0xc2) || c > 0xf4 || text.len - i < more)
      return false;
    unsigned char second = more > 0 ? (unsigned char) text.data[i] : 0;
    /* Overlong forms, surrogates and values above U+10FFFF. */
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second >= 0xa0)
        || (c == 0xf0 && second < 0x90) || (c == 0xf4 && second >= 0x90))
      return false;
    for (; more > 0; more--) {
      if (((unsigned char) text.data[i++] & 0xc0) != 0x80)
        return false;
    }
  }
  return true;
}

void
cfg_text_clean (char *text, size_t len)
{
  for (size_t i = 0; i < len;) {
    unsigned char c = (unsigned char) text[i];
    size_t size = c < 0xc0 ? 1 : c < 0xe0 ? 2 : c < 0xf0 ? 3 : 4;
    if (size <= len - i && cfg_text_valid ((GrStr){ text + i, size }, size)) {
      i += size;
    } else {
      text[i++] = '?';
    }
  }
}

GrName
cfg_key (CfgSectionId section, const GrName *title, const char *option)
{
  if (!sections[section].titled)
    return gr_name_format ("%s.%s", sections[section].name, option);
  return gr_name_format ("%s.%.*s.%s", sections[section].name, GR_NAME_ARG (*title), option);
}
