#include "cfg/cfg_lint.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "cfg/cfg_parse.h"

static const char *const names[CFG_LINT_COUNT] = {
  [CFG_LINT_TASK_ABOVE_QUOTA] = "task_above_quota",
  [CFG_LINT_GANG_ABOVE_QUOTA] = "gang_above_quota",
  [CFG_LINT_SERVICES_ABOVE_QUOTA] = "services_above_quota",
  [CFG_LINT_KIND_ABOVE_QUOTAS] = "kind_above_quotas",
  [CFG_LINT_GANG_ABOVE_QUEUE] = "gang_above_queue",
  [CFG_LINT_TASKS_ABOVE_MAXIMUM] = "tasks_above_maximum",
  [CFG_LINT_LONG_ABOVE_BATCH] = "long_above_batch",
  [CFG_LINT_LIMIT_ABOVE_QUOTA] = "limit_above_quota",
  [CFG_LINT_LIMIT_BEHIND_STRICTER] = "limit_behind_stricter",
  [CFG_LINT_PRIORITY_ALONE] = "priority_alone",
  [CFG_LINT_KIND_DEMAND_IGNORED] = "kind_demand_ignored",
  [CFG_LINT_KIND_WITHOUT_EFFECT] = "kind_without_effect",
  [CFG_LINT_EMPTY_SECTION] = "empty_section",
  [CFG_LINT_REPLACES_SAME_VALUE] = "replaces_same_value",
  [CFG_LINT_FILE_WITHOUT_EFFECT] = "file_without_effect",
};

typedef struct {
  const CfgTree *tree;
  const CfgFile **files; /* in merge order */
  size_t file_count;
  CfgParsed parsed;
  const CfgLintOptions *options;
  CfgWarnings *out;
} Lint;

/* A value in force and its place in the files. */
typedef struct {
  GrName key;
  int64_t number; /* 0 for values that are no numbers */
  CfgOrigin origin;
} Place;

const char *
cfg_lint_name (CfgLintCode code)
{
  return names[code];
}

static CfgWarning *add_warning (Lint *lint, CfgLintCode code, GrStr file, int64_t line,
                                const GrName *key, const char *format, ...)
    __attribute__ ((format (printf, 6, 7)));

static CfgWarning *
add_warning (Lint *lint, CfgLintCode code, GrStr file, int64_t line, const GrName *key,
             const char *format, ...)
{
  CfgWarning warning = { .code = code, .line = line > 0 ? line : 1 };
  warning.file = gr_name_cut (file);
  if (key)
    warning.key = *key;
  va_list args;
  va_start (args, format);
  vsnprintf (warning.detail, sizeof warning.detail, format, args);
  va_end (args);
  cfg_text_clean (warning.detail, strlen (warning.detail));
  gr_list_push (lint->out, warning);
  return &lint->out->items[lint->out->count - 1];
}

static void
set_other (CfgWarning *warning, GrStr file, int64_t line)
{
  warning->other_file = gr_name_cut (file);
  warning->other_line = line;
}

/* Returns false if no file sets the option. */
static bool
find_place (const CfgTree *tree, CfgSectionId section, const GrName *title, const char *option,
            Place *out)
{
  GrStr value;
  memset (out, 0, sizeof *out);
  out->key = cfg_key (section, title, option);
  if (!cfg_tree_explain (tree, gr_name_str (&out->key), &value, &out->origin))
    return false;
  if (!gr_str_to_int64 (value, &out->number))
    out->number = 0;
  return true;
}

/* Finds the value that sets the team's quota in force: its own or that of its limit. */
static bool
find_quota (const CfgTree *tree, const CfgTeam *team, int d, Place *out)
{
  char option[32];
  snprintf (option, sizeof option, "quota_%s", gr_res_name ((GrResDim) d));
  if (find_place (tree, CFG_SECTION_TEAM, &team->name, option, out)
      && out->number == team->quota.v[d])
    return true;
  return find_place (tree, CFG_SECTION_LIMIT, &team->name, option, out);
}

static CfgSectionId
work_section (CfgPolicy policy)
{
  switch (policy) {
  case CFG_POLICY_SERVICE:
    return CFG_SECTION_SERVICE;
  case CFG_POLICY_BATCH:
    return CFG_SECTION_BATCH;
  case CFG_POLICY_GANG:
    return CFG_SECTION_GANG;
  }
  return CFG_SECTION_COUNT;
}

static bool
task_above_quota (const CfgWork *work, const CfgTeam *team, int d)
{
  return team->quota.v[d] > 0 && work->demand.v[d] > team->quota.v[d];
}

static void
check_work_quota (Lint *lint, const CfgWork *work, const CfgTeam *team, int d)
{
  bool task = task_above_quota (work, team, d);
  int64_t all = work->tasks * work->demand.v[d];
  bool gang = work->policy == CFG_POLICY_GANG && team->quota.v[d] > 0 && all > team->quota.v[d];
  if (!task && !gang)
    return;
  const char *option = gr_res_name ((GrResDim) d);
  Place demand;
  Place quota;
  find_place (lint->tree, work_section (work->policy), &work->name, option, &demand);
  find_quota (lint->tree, team, d, &quota);
  GrStr file = gr_name_str (&demand.origin.file);
  CfgWarning *warning;
  if (task)
    warning = add_warning (lint, CFG_LINT_TASK_ABOVE_QUOTA, file, demand.origin.line, &demand.key,
                           "a task needs %s %d; team '%.*s' may use %d, so no task ever starts",
                           option, work->demand.v[d], GR_NAME_ARG (team->name), team->quota.v[d]);
  else
    warning = add_warning (lint, CFG_LINT_GANG_ABOVE_QUOTA, file, demand.origin.line, &demand.key,
                           "the %lld tasks together need %s %lld; team '%.*s' may use %d, so the "
                           "gang never starts",
                           (long long) work->tasks, option, (long long) all,
                           GR_NAME_ARG (team->name), team->quota.v[d]);
  set_other (warning, gr_name_str (&quota.origin.file), quota.origin.line);
}

static void
check_work_tasks (Lint *lint, const CfgWork *work)
{
  Place tasks;
  int64_t queue_max = cfg_cell (lint->tree)->queue_max;
  int64_t job_max = lint->options->job_tasks_max;
  if (!find_place (lint->tree, work_section (work->policy), &work->name, "tasks", &tasks))
    return;
  GrStr file = gr_name_str (&tasks.origin.file);
  if (job_max > 0 && work->tasks > job_max)
    add_warning (lint, CFG_LINT_TASKS_ABOVE_MAXIMUM, file, tasks.origin.line, &tasks.key,
                 "%lld tasks are declared; a job has at most %lld", (long long) work->tasks,
                 (long long) job_max);
  if (work->policy != CFG_POLICY_GANG || work->tasks <= queue_max)
    return;
  CfgWarning *warning
      = add_warning (lint, CFG_LINT_GANG_ABOVE_QUEUE, file, tasks.origin.line, &tasks.key,
                     "the gang has %lld tasks; cell.queue_max lets %lld wait, so the gang is never "
                     "complete",
                     (long long) work->tasks, (long long) queue_max);
  Place queue;
  if (find_place (lint->tree, CFG_SECTION_CELL, NULL, "queue_max", &queue))
    set_other (warning, gr_name_str (&queue.origin.file), queue.origin.line);
}

static void
check_works (Lint *lint)
{
  for (size_t i = 0; i < cfg_work_count (lint->tree); i++) {
    const CfgWork *work = cfg_work_at (lint->tree, i);
    const CfgTeam *team = cfg_team (lint->tree, &work->team);
    for (int d = 0; team && d < GR_RES_COUNT; d++)
      check_work_quota (lint, work, team, d);
    check_work_tasks (lint, work);
  }
}

/* Services run all the time, so if their sum is above the quota, some of them wait for ever. Not
   reported if a single task is above the quota, which is a warning of its own. */
static void
check_services (Lint *lint, const CfgTeam *team, int d)
{
  int64_t sum = 0;
  for (size_t i = 0; i < cfg_work_count (lint->tree); i++) {
    const CfgWork *work = cfg_work_at (lint->tree, i);
    if (work->policy != CFG_POLICY_SERVICE || !gr_name_equal (&work->team, &team->name))
      continue;
    if (task_above_quota (work, team, d))
      return;
    sum += work->tasks * work->demand.v[d];
  }
  if (team->quota.v[d] == 0 || sum <= team->quota.v[d])
    return;
  Place quota;
  find_quota (lint->tree, team, d, &quota);
  add_warning (lint, CFG_LINT_SERVICES_ABOVE_QUOTA, gr_name_str (&quota.origin.file),
               quota.origin.line, &quota.key,
               "the services of team '%.*s' together need %s %lld; it may use %d, so some of their "
               "tasks never start",
               GR_NAME_ARG (team->name), gr_res_name ((GrResDim) d), (long long) sum,
               team->quota.v[d]);
}

static void
check_limit (Lint *lint, const CfgTeam *team, int d)
{
  char option[32];
  snprintf (option, sizeof option, "quota_%s", gr_res_name ((GrResDim) d));
  Place quota;
  Place limit;
  if (!find_place (lint->tree, CFG_SECTION_TEAM, &team->name, option, &quota)
      || !find_place (lint->tree, CFG_SECTION_LIMIT, &team->name, option, &limit)
      || quota.number == 0 || limit.number <= quota.number)
    return;
  CfgWarning *warning
      = add_warning (lint, CFG_LINT_LIMIT_ABOVE_QUOTA, gr_name_str (&limit.origin.file),
                     limit.origin.line, &limit.key,
                     "%lld is above the team's own quota of %lld; the smaller holds, so the limit "
                     "has no effect",
                     (long long) limit.number, (long long) quota.number);
  set_other (warning, gr_name_str (&quota.origin.file), quota.origin.line);
}

static void
check_teams (Lint *lint)
{
  size_t count = cfg_team_count (lint->tree);
  for (size_t i = 0; i < count; i++) {
    const CfgTeam *team = cfg_team_at (lint->tree, i);
    for (int d = 0; d < GR_RES_COUNT; d++) {
      check_services (lint, team, d);
      check_limit (lint, team, d);
    }
  }
  Place priority;
  if (count == 1
      && find_place (lint->tree, CFG_SECTION_TEAM, &cfg_team_at (lint->tree, 0)->name, "priority",
                     &priority))
    add_warning (lint, CFG_LINT_PRIORITY_ALONE, gr_name_str (&priority.origin.file),
                 priority.origin.line, &priority.key,
                 "'%.*s' is the only team, so its priority has no effect",
                 GR_NAME_ARG (cfg_team_at (lint->tree, 0)->name));
}

/* The first dimension in which the kind needs more than the team may use; GR_RES_COUNT if none. */
static int
kind_above_quota (const CfgKind *kind, const CfgTeam *team)
{
  int d = 0;
  while (d < GR_RES_COUNT && (team->quota.v[d] == 0 || kind->demand.v[d] <= team->quota.v[d]))
    d++;
  return d;
}

static void
check_kind_quotas (Lint *lint, const CfgKind *kind)
{
  size_t count = cfg_team_count (lint->tree);
  for (size_t i = 0; i < count; i++) {
    if (kind_above_quota (kind, cfg_team_at (lint->tree, i)) == GR_RES_COUNT)
      return;
  }
  if (count == 0)
    return;
  const CfgTeam *team = cfg_team_at (lint->tree, 0);
  int d = kind_above_quota (kind, team);
  Place demand;
  Place quota;
  find_place (lint->tree, CFG_SECTION_KIND, &kind->name, gr_res_name ((GrResDim) d), &demand);
  find_quota (lint->tree, team, d, &quota);
  CfgWarning *warning = add_warning (
      lint, CFG_LINT_KIND_ABOVE_QUOTAS, gr_name_str (&demand.origin.file), demand.origin.line,
      &demand.key,
      "a request needs %s %d; team '%.*s' may use %d, and the quota of every other "
      "team is too small as well",
      gr_res_name ((GrResDim) d), kind->demand.v[d], GR_NAME_ARG (team->name), team->quota.v[d]);
  set_other (warning, gr_name_str (&quota.origin.file), quota.origin.line);
}

/* A request without a demand of its own, or of an unknown kind, gets one slot, may be repeated and
   is not exclusive. file and line are those of the kind's first section. */
static void
check_kind_effect (Lint *lint, const CfgKind *kind, GrStr file, int64_t line)
{
  GrRes slot = { 0 };
  slot.v[GR_RES_SLOTS] = 1;
  GrRes none = { 0 };
  bool no_demand = gr_res_fits (&kind->demand, &none);
  bool one_slot
      = no_demand || (gr_res_fits (&kind->demand, &slot) && gr_res_fits (&slot, &kind->demand));
  Place slots;
  if (kind->idempotent && !kind->exclusive && kind->run_ms == 0 && one_slot)
    add_warning (lint, CFG_LINT_KIND_WITHOUT_EFFECT, file, line, NULL,
                 "kind '%.*s' has the values of a kind that is not configured",
                 GR_NAME_ARG (kind->name));
  else if (no_demand && find_place (lint->tree, CFG_SECTION_KIND, &kind->name, "slots", &slots))
    add_warning (lint, CFG_LINT_KIND_DEMAND_IGNORED, gr_name_str (&slots.origin.file),
                 slots.origin.line, &slots.key,
                 "a kind without any demand gets one slot, so that 0 has no effect");
}

static void
check_cell (Lint *lint)
{
  const CfgCell *cell = cfg_cell (lint->tree);
  Place long_slots;
  Place batch;
  bool long_set = find_place (lint->tree, CFG_SECTION_CELL, NULL, "long_slots_pct", &long_slots);
  bool batch_set = find_place (lint->tree, CFG_SECTION_CELL, NULL, "batch_share_pct", &batch);
  if (cell->long_slots_pct <= cell->batch_share_pct || (!long_set && !batch_set))
    return;
  const Place *at = long_set ? &long_slots : &batch;
  CfgWarning *warning = add_warning (
      lint, CFG_LINT_LONG_ABOVE_BATCH, gr_name_str (&at->origin.file), at->origin.line, &at->key,
      "long work may hold %lld%% of an executor, batch and long work together only "
      "%lld%% of the cell",
      (long long) cell->long_slots_pct, (long long) cell->batch_share_pct);
  if (long_set && batch_set)
    set_other (warning, gr_name_str (&batch.origin.file), batch.origin.line);
}

static bool
is_replaced (const Lint *lint, const CfgAssign *assign, int64_t *line)
{
  for (size_t i = 0; i < lint->parsed.replaces.count; i++) {
    const CfgReplace *replace = &lint->parsed.replaces.items[i];
    if (replace->file == assign->file && gr_name_equal (&replace->key, &assign->key)) {
      *line = replace->line;
      return true;
    }
  }
  return false;
}

/* Compares a value with the one in force before its file. Returns the one in force after it. The
   configuration is valid, so that only limits differ without "replaces". */
static const CfgAssign *
check_later (Lint *lint, const CfgAssign *earlier, const CfgAssign *later)
{
  GrStr file = lint->files[later->file]->name;
  bool same = strcmp (earlier->value, later->value) == 0;
  int64_t line;
  CfgWarning *warning;
  if (later->file == earlier->file)
    return earlier;
  if (is_replaced (lint, later, &line)) {
    if (same) {
      warning = add_warning (lint, CFG_LINT_REPLACES_SAME_VALUE, file, line, &later->key,
                             "'replaces' lists the key, but its value stays '%.60s'", later->value);
      set_other (warning, lint->files[earlier->file]->name, earlier->line);
    }
    return later;
  }
  int64_t before = 0;
  int64_t after = 0;
  gr_str_to_int64 (gr_str_from_c (earlier->value), &before);
  gr_str_to_int64 (gr_str_from_c (later->value), &after);
  if (later->option->section != CFG_SECTION_LIMIT || after == before)
    return earlier;
  if (after < before)
    return later;
  warning = add_warning (lint, CFG_LINT_LIMIT_BEHIND_STRICTER, file, later->line, &later->key,
                         "%lld is above the limit of %lld in an earlier file; the smaller holds "
                         "unless 'replaces' lists the key",
                         (long long) after, (long long) before);
  set_other (warning, lint->files[earlier->file]->name, earlier->line);
  return earlier;
}

static void
check_merge (Lint *lint)
{
  const CfgAssign *in_force = NULL;
  for (size_t i = 0; i < lint->parsed.assigns.count; i++) {
    const CfgAssign *assign = &lint->parsed.assigns.items[i];
    if (in_force && gr_name_equal (&in_force->key, &assign->key))
      in_force = check_later (lint, in_force, assign);
    else
      in_force = assign;
  }
}

/* Number of values in each section. The caller frees the array. */
static size_t *
count_block_values (const Lint *lint)
{
  size_t *counts = gr_calloc (lint->parsed.blocks.count + 1, sizeof *counts);
  for (size_t i = 0; i < lint->parsed.assigns.count; i++)
    counts[lint->parsed.assigns.items[i].block]++;
  return counts;
}

static void
check_sections (Lint *lint, const size_t *value_counts)
{
  for (size_t i = 0; i < lint->parsed.blocks.count; i++) {
    const CfgBlock *block = &lint->parsed.blocks.items[i];
    if (value_counts[i] == 0)
      add_warning (lint, CFG_LINT_EMPTY_SECTION, lint->files[block->file]->name, block->line, NULL,
                   "section '%s%s%.*s' sets no value", cfg_section (block->section)->name,
                   block->title.len > 0 ? " " : "", GR_NAME_ARG (block->title));
  }
}

/* The first section of the kind that sets a value; NULL if none does. */
static const CfgBlock *
find_kind_block (const Lint *lint, const CfgKind *kind, const size_t *value_counts)
{
  for (size_t i = 0; i < lint->parsed.blocks.count; i++) {
    const CfgBlock *block = &lint->parsed.blocks.items[i];
    if (block->section == CFG_SECTION_KIND && value_counts[i] > 0
        && gr_name_equal (&block->title, &kind->name))
      return block;
  }
  return NULL;
}

static void
check_kinds (Lint *lint, const size_t *value_counts)
{
  for (size_t i = 0; i < cfg_kind_count (lint->tree); i++) {
    const CfgKind *kind = cfg_kind_at (lint->tree, i);
    const CfgBlock *block = find_kind_block (lint, kind, value_counts);
    if (!block)
      continue;
    check_kind_quotas (lint, kind);
    check_kind_effect (lint, kind, lint->files[block->file]->name, block->line);
  }
}

typedef struct {
  const Lint *lint;
  size_t *in_force; /* number of values in force for each file */
} FileCounts;

static int
compare_file_name (const void *name, const void *file)
{
  return gr_str_compare (*(const GrStr *) name, (*(const CfgFile *const *) file)->name);
}

static void
count_file_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  (void) key;
  (void) value;
  const FileCounts *counts = user;
  GrStr name = gr_name_str (&origin->file);
  const CfgFile **found = bsearch (&name, counts->lint->files, counts->lint->file_count,
                                   sizeof (CfgFile *), compare_file_name);
  if (found)
    counts->in_force[found - counts->lint->files]++;
}

static void
check_files (Lint *lint)
{
  FileCounts counts = { lint, gr_calloc (lint->file_count + 1, sizeof (size_t)) };
  cfg_tree_values (lint->tree, count_file_value, &counts);
  for (size_t f = 0; f < lint->file_count; f++) {
    if (counts.in_force[f] == 0)
      add_warning (lint, CFG_LINT_FILE_WITHOUT_EFFECT, lint->files[f]->name, 1, NULL,
                   "the file sets no value that is in force: it has none, or other files set all "
                   "of them");
  }
  free (counts.in_force);
}

static int
compare_warnings (const void *a, const void *b)
{
  const CfgWarning *x = a;
  const CfgWarning *y = b;
  int order = gr_name_compare (&x->file, &y->file);
  if (order == 0)
    order = (x->line > y->line) - (x->line < y->line);
  if (order == 0)
    order = (x->code > y->code) - (x->code < y->code);
  if (order == 0)
    order = gr_name_compare (&x->key, &y->key);
  return order;
}

void
cfg_lint (const CfgTree *tree, const CfgFile *files, size_t count, const CfgLintOptions *options,
          CfgWarnings *out)
{
  CfgProblems problems = { 0 };
  size_t first = out->count;
  Lint lint = { .tree = tree,
                .files = cfg_files_sorted (files, count),
                .file_count = count,
                .options = options,
                .out = out };
  for (size_t i = 0; i < count; i++)
    cfg_parse_file (lint.files[i], i, false, &lint.parsed, &problems);
  cfg_parsed_sort (&lint.parsed);
  check_cell (&lint);
  check_teams (&lint);
  check_works (&lint);
  size_t *value_counts = count_block_values (&lint);
  check_sections (&lint, value_counts);
  check_kinds (&lint, value_counts);
  free (value_counts);
  check_merge (&lint);
  check_files (&lint);
  if (out->count - first > 1)
    qsort (out->items + first, out->count - first, sizeof *out->items, compare_warnings);
  cfg_parsed_clear (&lint.parsed);
  gr_list_clear (&problems);
  free ((void *) lint.files);
}
