#include "cfg/cfg_tree.h"

#include <stdio.h>
#include <stdlib.h>

/* Limit of files in one folder; a cell has well under a hundred. */
#define FILES_MAX 1000
#define FILE_SUFFIX ".conf"

/* One value in force. */
typedef struct {
  GrName key;
  const CfgOption *option;
  GrName title;
  char *value; /* owned */
  CfgOrigin origin;
} Value;

struct CfgTree {
  CfgCell cell;
  GR_LIST (CfgTeam) teams; /* sorted by name, as are kinds and limits */
  GR_LIST (CfgKind) kinds;
  GR_LIST (CfgWork) works; /* sorted by section, then name */
  GR_LIST (CfgLimit) limits;
  GR_LIST (Value) values; /* sorted by key */
  GR_LIST (char *) texts; /* owned reasons */
};

/* One merge in progress. */
typedef struct {
  const CfgFile **files; /* in merge order */
  size_t file_count;
  CfgParsed parsed;
  CfgTreeFaults faults;
  GrName author;
  bool incomplete; /* a file could not be parsed to its end */
  CfgProblems *problems;
  CfgTree *tree;
} Merge;

static int
compare_blocks (const void *a, const void *b)
{
  const CfgBlock *x = a;
  const CfgBlock *y = b;
  int order = (x->section > y->section) - (x->section < y->section);
  if (order == 0)
    order = gr_name_compare (&x->title, &y->title);
  if (order == 0)
    order = (x->file > y->file) - (x->file < y->file);
  if (order == 0)
    order = (x->line > y->line) - (x->line < y->line);
  return order;
}

static bool
file_name_valid (GrStr name)
{
  size_t suffix = sizeof FILE_SUFFIX - 1;
  if (name.len <= suffix || name.len > GR_NAME_MAX
      || memcmp (name.data + name.len - suffix, FILE_SUFFIX, suffix) != 0)
    return false;
  for (size_t i = 0; i < name.len - suffix; i++) {
    if (name.data[i] != '.' && !cfg_name_valid ((GrStr){ name.data + i, 1 }, 1))
      return false;
  }
  return true;
}

static void
parse_files (Merge *merge, const CfgFile *files, size_t count)
{
  if (count > FILES_MAX) {
    cfg_problem_add (merge->problems, GR_ERR_TOO_LARGE, GR_STR (""), 0, NULL,
                     "the folder has %zu files; allowed are %d", count, FILES_MAX);
    return;
  }
  merge->files = cfg_files_sorted (files, count);
  merge->file_count = count;
  for (size_t i = 0; merge->faults.given_order && i < count; i++)
    merge->files[i] = &files[i];
  for (size_t i = 0; i < count; i++) {
    const CfgFile *file = merge->files[i];
    if (!file_name_valid (file->name))
      cfg_problem_add (merge->problems, GR_ERR_INVALID, file->name, 0, NULL,
                       "file name '%.*s' is not allowed; allowed are at most %d letters, digits, "
                       "'.', '-' or '_', ending in " FILE_SUFFIX,
                       GR_STR_ARG (file->name), GR_NAME_MAX);
    else if (i > 0 && gr_str_equal (file->name, merge->files[i - 1]->name))
      cfg_problem_add (merge->problems, GR_ERR_CONFLICT, file->name, 0, NULL,
                       "the file name is given twice");
    if (!cfg_parse_file (file, i, merge->faults.unchecked, &merge->parsed, merge->problems))
      merge->incomplete = true;
  }
}

static const CfgReplace *
find_replace (const Merge *merge, size_t file, const GrName *key)
{
  for (size_t i = 0; i < merge->parsed.replaces.count; i++) {
    const CfgReplace *replace = &merge->parsed.replaces.items[i];
    if (replace->file == file && gr_name_equal (&replace->key, key))
      return replace;
  }
  return NULL;
}

static bool
is_stricter (const char *a, const char *b)
{
  int64_t x = 0;
  int64_t y = 0;
  gr_str_to_int64 (gr_str_from_c (a), &x);
  gr_str_to_int64 (gr_str_from_c (b), &y);
  return x < y;
}

static void
report_conflict (const Merge *merge, const CfgAssign *earlier, const CfgAssign *later)
{
  bool same_file = later->file == earlier->file;
  cfg_problem_add (
      merge->problems, GR_ERR_CONFLICT, merge->files[later->file]->name, later->line, &later->key,
      same_file ? "'%.60s' differs from '%.60s' in line %lld of the same file; allowed is "
                  "one value per file"
                : "'%.60s' changes '%.60s' of line %lld of the earlier file; allowed is a "
                  "change whose file lists the key in 'replaces'",
      later->value, earlier->value, (long long) earlier->line);
  CfgProblem *problem = &merge->problems->items[merge->problems->count - 1];
  problem->other_file = gr_name_cut (merge->files[earlier->file]->name);
  problem->other_line = earlier->line;
}

/* Returns the index of the assignment in force among items [first, end), which share a key and are
   in merge order. Reports conflicts. */
static size_t
resolve_key (Merge *merge, size_t first, size_t end)
{
  const CfgAssign *items = merge->parsed.assigns.items;
  size_t in_force = first;
  for (size_t i = first + 1; i < end; i++) {
    bool later_file = items[i].file != items[in_force].file;
    bool limit = items[i].option->section == CFG_SECTION_LIMIT;
    if (later_file && find_replace (merge, items[i].file, &items[i].key)) {
      in_force = i;
    } else if (limit && later_file) {
      if (merge->faults.loosest_limit || is_stricter (items[i].value, items[in_force].value))
        in_force = i;
    } else if (strcmp (items[i].value, items[in_force].value) != 0) {
      if (!merge->faults.silent_change)
        report_conflict (merge, &items[in_force], &items[i]);
      in_force = i;
    }
  }
  return in_force;
}

static CfgOrigin
origin_of (Merge *merge, const CfgAssign *assign)
{
  const CfgBlock *block = &merge->parsed.blocks.items[assign->block];
  CfgOrigin origin = { .line = assign->line, .author = block->author };
  if (origin.author.len == 0)
    origin.author = merge->author;
  origin.file = gr_name_cut (merge->files[assign->file]->name);
  if (block->reason) {
    char *reason = gr_str_dup (gr_str_from_c (block->reason));
    gr_list_push (&merge->tree->texts, reason);
    origin.reason = gr_str_from_c (reason);
  }
  return origin;
}

static void
resolve_values (Merge *merge)
{
  /* Assignments refer to blocks by index; blocks must not be sorted before this. */
  cfg_parsed_sort (&merge->parsed);
  CfgAssign *items = merge->parsed.assigns.items;
  size_t count = merge->parsed.assigns.count;
  for (size_t first = 0; first < count;) {
    size_t end = first + 1;
    while (end < count && gr_name_equal (&items[end].key, &items[first].key))
      end++;
    CfgAssign *assign = &items[resolve_key (merge, first, end)];
    Value value = { .key = assign->key,
                    .option = assign->option,
                    .title = merge->parsed.blocks.items[assign->block].title,
                    .value = assign->value,
                    .origin = origin_of (merge, assign) };
    assign->value = NULL;
    gr_list_push (&merge->tree->values, value);
    first = end;
  }
}

/* Reports entries of "replaces" that replace nothing; most are misspelt keys. */
static void
check_replaces (Merge *merge)
{
  for (size_t i = 0; i < merge->parsed.replaces.count; i++) {
    const CfgReplace *replace = &merge->parsed.replaces.items[i];
    bool earlier = false;
    bool here = false;
    for (size_t k = 0; k < merge->parsed.assigns.count; k++) {
      const CfgAssign *assign = &merge->parsed.assigns.items[k];
      if (gr_name_equal (&assign->key, &replace->key)) {
        earlier = earlier || assign->file < replace->file;
        here = here || assign->file == replace->file;
      }
    }
    if (!earlier || !here)
      cfg_problem_add (merge->problems, GR_ERR_INVALID, merge->files[replace->file]->name,
                       replace->line, &replace->key, "'%.*s' in 'replaces' is %s",
                       GR_NAME_ARG (replace->key),
                       earlier ? "not set in this file; allowed are keys that it sets"
                               : "not set in an earlier file; allowed are keys that one sets");
  }
}

/* Fills a section's struct with the values in force and the defaults of the other options. Reports
   required options that are not set. */
static void
fill_section (Merge *merge, const CfgBlock *block, void *record)
{
  size_t count;
  const CfgOption *options = cfg_options (&count);
  for (size_t i = 0; i < count; i++) {
    const CfgOption *option = &options[i];
    if (option->section != block->section)
      continue;
    GrName key = cfg_key (block->section, &block->title, option->name);
    GrStr value;
    CfgOrigin origin;
    if (cfg_tree_explain (merge->tree, gr_name_str (&key), &value, &origin))
      cfg_option_store (option, value, record);
    else if (option->def)
      cfg_option_store (option, gr_str_from_c (option->def), record);
    else if (block->file < merge->file_count)
      cfg_problem_add (merge->problems, GR_ERR_MISSING, merge->files[block->file]->name,
                       block->line, &key, "'%s' is not set; required in section %s", option->name,
                       cfg_section (block->section)->name);
  }
}

static void
add_work (Merge *merge, const CfgBlock *block, CfgPolicy policy)
{
  CfgWork work = { .name = block->title, .policy = policy };
  fill_section (merge, block, &work);
  if (work.team.len > 0 && !cfg_team (merge->tree, &work.team)) {
    GrName key = cfg_key (block->section, &block->title, "team");
    GrStr value = { 0 };
    CfgOrigin origin = { 0 };
    cfg_tree_explain (merge->tree, gr_name_str (&key), &value, &origin);
    cfg_problem_add (merge->problems, GR_ERR_INVALID, gr_name_str (&origin.file), origin.line, &key,
                     "'%.*s' is not a team; allowed are the names of sections 'team'",
                     GR_NAME_ARG (work.team));
  }
  gr_list_push (&merge->tree->works, work);
}

static void
add_object (Merge *merge, const CfgBlock *block)
{
  switch (block->section) {
  case CFG_SECTION_CELL:
    fill_section (merge, block, &merge->tree->cell);
    return;
  case CFG_SECTION_TEAM: {
    CfgTeam team = { .name = block->title };
    fill_section (merge, block, &team);
    gr_list_push (&merge->tree->teams, team);
    return;
  }
  case CFG_SECTION_LIMIT: {
    CfgLimit limit = { .name = block->title };
    fill_section (merge, block, &limit);
    if (!cfg_team (merge->tree, &block->title))
      cfg_problem_add (merge->problems, GR_ERR_INVALID, merge->files[block->file]->name,
                       block->line, NULL,
                       "limit '%.*s' names no team; allowed are the names of sections 'team'",
                       GR_NAME_ARG (block->title));
    gr_list_push (&merge->tree->limits, limit);
    return;
  }
  case CFG_SECTION_SERVICE:
    add_work (merge, block, CFG_POLICY_SERVICE);
    return;
  case CFG_SECTION_BATCH:
    add_work (merge, block, CFG_POLICY_BATCH);
    return;
  case CFG_SECTION_GANG:
    add_work (merge, block, CFG_POLICY_GANG);
    return;
  case CFG_SECTION_KIND: {
    CfgKind kind = { .name = block->title };
    fill_section (merge, block, &kind);
    gr_list_push (&merge->tree->kinds, kind);
    return;
  }
  case CFG_SECTION_COUNT:
    return;
  }
}

/* Reduces each team's quota to the limit of the same name where the limit is smaller. */
static void
apply_limits (CfgTree *tree)
{
  for (size_t i = 0; i < tree->limits.count; i++) {
    const CfgLimit *limit = &tree->limits.items[i];
    for (size_t t = 0; t < tree->teams.count; t++) {
      if (!gr_name_equal (&tree->teams.items[t].name, &limit->name))
        continue;
      GrRes *quota = &tree->teams.items[t].quota;
      for (int d = 0; d < GR_RES_COUNT; d++) {
        if (limit->quota.v[d] > 0 && (quota->v[d] == 0 || limit->quota.v[d] < quota->v[d]))
          quota->v[d] = limit->quota.v[d];
      }
    }
  }
}

static void
build_objects (Merge *merge)
{
  CfgBlock cell = { .section = CFG_SECTION_CELL };
  fill_section (merge, &cell, &merge->tree->cell);
  CfgBlock *blocks = merge->parsed.blocks.items;
  size_t count = merge->parsed.blocks.count;
  if (count > 1)
    qsort (blocks, count, sizeof *blocks, compare_blocks);
  for (size_t i = 0; i < count; i++) {
    bool repeated = i > 0 && blocks[i].section == blocks[i - 1].section
                    && gr_name_equal (&blocks[i].title, &blocks[i - 1].title);
    if (!repeated && blocks[i].section != CFG_SECTION_CELL)
      add_object (merge, &blocks[i]);
  }
  apply_limits (merge->tree);
}

CfgTree *
cfg_tree_build (const CfgFile *files, size_t count, const GrName *author,
                const CfgTreeFaults *faults, CfgProblems *problems)
{
  size_t before = problems->count;
  Merge merge = { .problems = problems, .tree = gr_calloc (1, sizeof (CfgTree)) };
  if (author)
    merge.author = *author;
  if (faults)
    merge.faults = *faults;
  parse_files (&merge, files, count);
  resolve_values (&merge);
  /* The checks would report values of a file that was not fully parsed as missing. */
  if (!merge.incomplete) {
    check_replaces (&merge);
    build_objects (&merge);
  }
  cfg_parsed_clear (&merge.parsed);
  free ((void *) merge.files);
  if (problems->count > before) {
    cfg_tree_free (merge.tree);
    return NULL;
  }
  return merge.tree;
}

CfgTree *
cfg_tree_new (const CfgFile *files, size_t count, CfgProblems *problems)
{
  return cfg_tree_build (files, count, NULL, NULL, problems);
}

void
cfg_tree_free (CfgTree *tree)
{
  if (!tree)
    return;
  for (size_t i = 0; i < tree->values.count; i++)
    free (tree->values.items[i].value);
  for (size_t i = 0; i < tree->texts.count; i++)
    free (tree->texts.items[i]);
  gr_list_clear (&tree->values);
  gr_list_clear (&tree->texts);
  gr_list_clear (&tree->teams);
  gr_list_clear (&tree->kinds);
  gr_list_clear (&tree->works);
  gr_list_clear (&tree->limits);
  free (tree);
}

const CfgCell *
cfg_cell (const CfgTree *tree)
{
  return &tree->cell;
}

size_t
cfg_team_count (const CfgTree *tree)
{
  return tree->teams.count;
}

const CfgTeam *
cfg_team_at (const CfgTree *tree, size_t i)
{
  return &tree->teams.items[i];
}

static int
compare_team (const void *name, const void *team)
{
  return gr_name_compare (name, &((const CfgTeam *) team)->name);
}

const CfgTeam *
cfg_team (const CfgTree *tree, const GrName *name)
{
  if (tree->teams.count == 0)
    return NULL;
  return bsearch (name, tree->teams.items, tree->teams.count, sizeof (CfgTeam), compare_team);
}

static int
compare_kind (const void *name, const void *kind)
{
  return gr_name_compare (name, &((const CfgKind *) kind)->name);
}

const CfgKind *
cfg_kind (const CfgTree *tree, const GrName *name)
{
  if (tree->kinds.count == 0)
    return NULL;
  return bsearch (name, tree->kinds.items, tree->kinds.count, sizeof (CfgKind), compare_kind);
}

size_t
cfg_kind_count (const CfgTree *tree)
{
  return tree->kinds.count;
}

const CfgKind *
cfg_kind_at (const CfgTree *tree, size_t i)
{
  return &tree->kinds.items[i];
}

size_t
cfg_work_count (const CfgTree *tree)
{
  return tree->works.count;
}

const CfgWork *
cfg_work_at (const CfgTree *tree, size_t i)
{
  return &tree->works.items[i];
}

void
cfg_tree_values (const CfgTree *tree, CfgValueFunc func, void *user)
{
  for (size_t i = 0; i < tree->values.count; i++) {
    const Value *value = &tree->values.items[i];
    func (user, gr_name_str (&value->key), gr_str_from_c (value->value), &value->origin);
  }
}

static int
compare_value (const void *key, const void *value)
{
  return gr_str_compare (*(const GrStr *) key, gr_name_str (&((const Value *) value)->key));
}

bool
cfg_tree_explain (const CfgTree *tree, GrStr key, GrStr *value, CfgOrigin *origin)
{
  if (tree->values.count == 0)
    return false;
  const Value *found
      = bsearch (&key, tree->values.items, tree->values.count, sizeof (Value), compare_value);
  if (!found)
    return false;
  *value = gr_str_from_c (found->value);
  *origin = found->origin;
  return true;
}
