#include "cfg/cfg_parse.h"

#include <confuse.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "cfg/cfg_scan.h"

/* Maximum lengths in bytes; a reason is one or two sentences. */
#define AUTHOR_MAX GR_NAME_MAX
#define REASON_MAX 500
#define FILE_BYTES_MAX 1048576
/* Entries added to each option list: author, reason, replaces and the end marker. */
#define COMMON_OPTIONS 4

typedef struct {
  const CfgFile *file;
  size_t index;
  CfgParsed *out;
  CfgProblems *problems;
  CfgLines section_lines;
  size_t first_block;  /* of this file */
  size_t first_assign; /* of the open section */
  bool failed;
  CfgSectionId open_section;
  GrName section_author;
  char *section_reason;
  GrName file_author;
  char *file_reason;
} Parse;

/* The parse in progress. Global because libconfuse passes no user data to its callbacks. */
static Parse *active_parse;

void
cfg_problem_add (CfgProblems *problems, GrErrCode code, GrStr file, int64_t line, const GrName *key,
                 const char *format, ...)
{
  CfgProblem problem = { .code = code, .line = line };
  problem.file = gr_name_cut (file);
  if (key)
    problem.key = *key;
  va_list args;
  va_start (args, format);
  vsnprintf (problem.detail, sizeof problem.detail, format, args);
  va_end (args);
  cfg_text_clean (problem.detail, strlen (problem.detail));
  cfg_text_clean (problem.file.data, problem.file.len);
  cfg_text_clean (problem.key.data, problem.key.len);
  gr_list_push (problems, problem);
}

static bool
section_from_name (const char *name, CfgSectionId *id)
{
  for (int i = 0; i < CFG_SECTION_COUNT; i++) {
    if (strcmp (cfg_section ((CfgSectionId) i)->name, name) == 0) {
      *id = (CfgSectionId) i;
      return true;
    }
  }
  return false;
}

static GrName
key_of (cfg_t *cfg, const char *option)
{
  const char *title = cfg_title (cfg);
  const char *name = cfg_name (cfg);
  CfgSectionId id;
  if (!name || !section_from_name (name, &id))
    return gr_name (option);
  if (!title)
    return gr_name_format ("%s.%s", name, option);
  return gr_name_format ("%s.%s.%s", name, title, option);
}

/* Lists the names that are valid in a section, for the message about an unknown option. */
static void
list_options (cfg_t *cfg, char *out, size_t size)
{
  CfgSectionId id;
  size_t len = 0;
  out[0] = '\0';
  bool top = !cfg_name (cfg) || !section_from_name (cfg_name (cfg), &id);
  size_t count;
  const CfgOption *options = cfg_options (&count);
  for (size_t i = 0; top && i < CFG_SECTION_COUNT; i++)
    len += (size_t) snprintf (out + len, size - len, "%s, ", cfg_section ((CfgSectionId) i)->name);
  for (size_t i = 0; !top && i < count; i++) {
    if (options[i].section == id && len < size)
      len += (size_t) snprintf (out + len, size - len, "%s, ", options[i].name);
  }
  if (len < size)
    snprintf (out + len, size - len, "author, reason, replaces");
}

static void
on_error (cfg_t *cfg, const char *format, va_list args)
{
  Parse *parse = active_parse;
  /* Invalid values are reported by on_value(); libconfuse then reports an error of its own. */
  if (!parse || parse->failed)
    return;
  parse->failed = true;
  char text[160];
  vsnprintf (text, sizeof text, format, args);
  const char *unknown = "no such option '";
  if (strncmp (text, unknown, strlen (unknown)) == 0) {
    char *option = text + strlen (unknown);
    option[strcspn (option, "'")] = '\0';
    char allowed[160];
    list_options (cfg, allowed, sizeof allowed);
    GrName key = key_of (cfg, option);
    cfg_problem_add (parse->problems, GR_ERR_UNKNOWN_FIELD, parse->file->name, cfg->line, &key,
                     "'%s' is not defined; allowed are %s", option, allowed);
    return;
  }
  GrName key = key_of (cfg, "");
  if (key.len > 0 && key.data[key.len - 1] == '.')
    key.len--;
  cfg_problem_add (parse->problems, GR_ERR_INVALID, parse->file->name, cfg->line, &key, "%s", text);
}

static void
set_reason (char **reason, const char *value)
{
  free (*reason);
  *reason = gr_str_dup (gr_str_from_c (value));
}

static void
store_common_value (Parse *parse, cfg_t *cfg, const char *name, const char *value, bool top)
{
  GrStr text = gr_str_from_c (value);
  GrName key = key_of (cfg, name);
  if (strcmp (name, "replaces") == 0) {
    CfgReplace replace = { .file = parse->index, .line = cfg->line };
    if (!gr_name_set (&replace.key, text) || !cfg_text_valid (text, GR_NAME_MAX)) {
      cfg_problem_add (parse->problems, GR_ERR_INVALID, parse->file->name, cfg->line, &key,
                       "'%.80s' is not a key; allowed is SECTION.NAME.OPTION", value);
      return;
    }
    gr_list_push (&parse->out->replaces, replace);
    return;
  }
  bool author = strcmp (name, "author") == 0;
  size_t max = author ? AUTHOR_MAX : REASON_MAX;
  if (!cfg_text_valid (text, max)) {
    cfg_problem_add (parse->problems, GR_ERR_INVALID, parse->file->name, cfg->line, &key,
                     "'%.80s' is not allowed; allowed is UTF-8 text of at most %zu bytes without "
                     "control characters",
                     value, max);
    return;
  }
  if (author)
    *(top ? &parse->file_author : &parse->section_author) = gr_name_cut (text);
  else
    set_reason (top ? &parse->file_reason : &parse->section_reason, value);
}

/* Called for every value as the scanner reads it, so that cfg->line is the value's line. */
static int
on_value (cfg_t *cfg, cfg_opt_t *opt, const char *value, void *result)
{
  Parse *parse = active_parse;
  *(const char **) result = value;
  CfgSectionId id;
  bool top = !section_from_name (cfg_name (cfg), &id);
  const char *name = cfg_opt_name (opt);
  const CfgOption *option = top ? NULL : cfg_option_find (id, gr_str_from_c (name));
  if (!option) {
    store_common_value (parse, cfg, name, value, top);
    return 0;
  }
  GrStr text = gr_str_from_c (value);
  if (!cfg_option_check (option, text)) {
    char allowed[128];
    cfg_option_allowed (option, allowed, sizeof allowed);
    GrName key = key_of (cfg, name);
    cfg_problem_add (parse->problems, GR_ERR_INVALID, parse->file->name, cfg->line, &key,
                     "'%.80s' is not allowed; allowed is %s", value, allowed);
    return 0;
  }
  CfgAssign assign = {
    .option = option,
    .value = gr_str_dup (text),
    .file = parse->index,
    .line = cfg->line,
    .block = parse->out->blocks.count,
  };
  gr_list_push (&parse->out->assigns, assign);
  return 0;
}

static void
close_section (Parse *parse, CfgSectionId id, cfg_t *section)
{
  size_t nth = parse->out->blocks.count - parse->first_block;
  CfgBlock block = {
    .section = id,
    .file = parse->index,
    .line = nth < parse->section_lines.count ? parse->section_lines.items[nth] : section->line,
    .author = parse->section_author.len > 0 ? parse->section_author : parse->file_author,
  };
  const char *reason = parse->section_reason ? parse->section_reason : parse->file_reason;
  if (reason)
    block.reason = gr_str_dup (gr_str_from_c (reason));
  const char *title = cfg_title (section);
  if (title && !cfg_name_valid (gr_str_from_c (title), CFG_TITLE_MAX))
    cfg_problem_add (parse->problems, GR_ERR_INVALID, parse->file->name, block.line, NULL,
                     "name '%.80s' of section %s is not allowed; allowed are 1 to %d letters, "
                     "digits, '-' or '_'",
                     title, cfg_section (id)->name, CFG_TITLE_MAX);
  else if (title)
    block.title = gr_name_cut (gr_str_from_c (title));
  for (size_t i = parse->first_assign; i < parse->out->assigns.count; i++) {
    CfgAssign *assign = &parse->out->assigns.items[i];
    assign->key = cfg_key (id, &block.title, assign->option->name);
  }
  gr_list_push (&parse->out->blocks, block);
  parse->first_assign = parse->out->assigns.count;
  memset (&parse->section_author, 0, sizeof parse->section_author);
  free (parse->section_reason);
  parse->section_reason = NULL;
}

/* Called after the closing brace of each section, which is then the last one in opt. */
static int
on_section (cfg_t *cfg, cfg_opt_t *opt)
{
  (void) cfg;
  Parse *parse = active_parse;
  CfgSectionId id;
  unsigned int count = cfg_opt_size (opt);
  if (count > 0 && section_from_name (cfg_opt_name (opt), &id))
    close_section (parse, id, cfg_opt_getnsec (opt, count - 1));
  return 0;
}

static void
add_common (cfg_opt_t *opts, size_t *len)
{
  opts[(*len)++] = (cfg_opt_t) CFG_STR_CB ("author", NULL, CFGF_NODEFAULT, on_value);
  opts[(*len)++] = (cfg_opt_t) CFG_STR_CB ("reason", NULL, CFGF_NODEFAULT, on_value);
  opts[(*len)++] = (cfg_opt_t) CFG_STR_LIST_CB ("replaces", NULL, CFGF_NODEFAULT, on_value);
  opts[(*len)++] = (cfg_opt_t) CFG_END ();
}

static cfg_t *
new_parser (cfg_opt_t *section_opts[CFG_SECTION_COUNT])
{
  size_t count;
  const CfgOption *options = cfg_options (&count);
  cfg_opt_t top[CFG_SECTION_COUNT + COMMON_OPTIONS];
  size_t top_len = 0;
  for (int s = 0; s < CFG_SECTION_COUNT; s++) {
    const CfgSectionSpec *spec = cfg_section ((CfgSectionId) s);
    cfg_opt_t *opts = gr_calloc (count + COMMON_OPTIONS, sizeof *opts);
    size_t len = 0;
    for (size_t i = 0; i < count; i++) {
      if (options[i].section == spec->id)
        opts[len++] = (cfg_opt_t) CFG_STR_CB (options[i].name, NULL, CFGF_NODEFAULT, on_value);
    }
    add_common (opts, &len);
    section_opts[s] = opts;
    cfg_flag_t flags = CFGF_MULTI | (spec->titled ? CFGF_TITLE | CFGF_NO_TITLE_DUPES : 0);
    top[top_len++] = (cfg_opt_t) CFG_SEC (spec->name, opts, flags);
  }
  add_common (top, &top_len);
  cfg_t *cfg = cfg_init (top, CFGF_NONE);
  if (!cfg)
    abort ();
  cfg_set_error_function (cfg, on_error);
  for (int s = 0; s < CFG_SECTION_COUNT; s++)
    cfg_set_validate_func (cfg, cfg_section ((CfgSectionId) s)->name, on_section);
  return cfg;
}

static void
discard_open_section (Parse *parse)
{
  CfgParsed *out = parse->out;
  while (out->assigns.count > parse->first_assign)
    free (out->assigns.items[--out->assigns.count].value);
}

bool
cfg_parse_file (const CfgFile *file, size_t index, bool unchecked, CfgParsed *out,
                CfgProblems *problems)
{
  bool complete = false;
  Parse parse = { .file = file,
                  .index = index,
                  .out = out,
                  .problems = problems,
                  .first_block = out->blocks.count,
                  .first_assign = out->assigns.count };
  int64_t line;
  const char *detail;
  cfg_opt_t *section_opts[CFG_SECTION_COUNT] = { NULL };
  char *text = NULL;
  cfg_t *cfg = NULL;
  if (file->text.len > FILE_BYTES_MAX) {
    cfg_problem_add (problems, GR_ERR_TOO_LARGE, file->name, 0, NULL,
                     "the file has %zu bytes; allowed are %d", file->text.len, FILE_BYTES_MAX);
    goto done;
  }
  text = gr_str_dup (file->text);
  if (!cfg_scan (text, file->text.len, &parse.section_lines, &line, &detail) && !unchecked) {
    cfg_problem_add (problems, GR_ERR_INVALID, file->name, line, NULL, "%s", detail);
    goto done;
  }
  cfg = new_parser (section_opts);
  active_parse = &parse;
  int verdict = cfg_parse_buf (cfg, text);
  active_parse = NULL;
  if (verdict != CFG_SUCCESS && !parse.failed)
    cfg_problem_add (problems, GR_ERR_INVALID, file->name, cfg->line, NULL, "syntax error");
  discard_open_section (&parse);
  complete = verdict == CFG_SUCCESS;

done:
  if (cfg)
    cfg_free (cfg);
  for (int s = 0; s < CFG_SECTION_COUNT; s++)
    free (section_opts[s]);
  free (text);
  free (parse.section_reason);
  free (parse.file_reason);
  gr_list_clear (&parse.section_lines);
  return complete;
}

static int
compare_files (const void *a, const void *b)
{
  const CfgFile *const *x = a;
  const CfgFile *const *y = b;
  return gr_str_compare ((*x)->name, (*y)->name);
}

static int
compare_assigns (const void *a, const void *b)
{
  const CfgAssign *x = a;
  const CfgAssign *y = b;
  int order = gr_name_compare (&x->key, &y->key);
  if (order == 0)
    order = (x->file > y->file) - (x->file < y->file);
  if (order == 0)
    order = (x->line > y->line) - (x->line < y->line);
  return order;
}

const CfgFile **
cfg_files_sorted (const CfgFile *files, size_t count)
{
  const CfgFile **sorted = gr_calloc (count + 1, sizeof (CfgFile *));
  for (size_t i = 0; i < count; i++)
    sorted[i] = &files[i];
  if (count > 1)
    qsort (sorted, count, sizeof (CfgFile *), compare_files);
  return sorted;
}

void
cfg_parsed_sort (CfgParsed *parsed)
{
  if (parsed->assigns.count > 1)
    qsort (parsed->assigns.items, parsed->assigns.count, sizeof (CfgAssign), compare_assigns);
}

void
cfg_parsed_clear (CfgParsed *parsed)
{
  for (size_t i = 0; i < parsed->blocks.count; i++)
    free (parsed->blocks.items[i].reason);
  for (size_t i = 0; i < parsed->assigns.count; i++)
    free (parsed->assigns.items[i].value);
  gr_list_clear (&parsed->blocks);
  gr_list_clear (&parsed->assigns);
  gr_list_clear (&parsed->replaces);
}
