/* Configuration: line numbers and messages of the parser, the merge rules, the record codec and the
   verdicts of the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cfg/cfg_store.h"
#include "cfg/cfg_table.h"

#define FILES_MAX 4

typedef struct {
  const char *name;
  const char *text;
} TestFile;

static size_t
to_files (const TestFile *in, CfgFile *out)
{
  size_t count = 0;
  while (count < FILES_MAX && in[count].name) {
    out[count].name = gr_str_from_c (in[count].name);
    out[count].text = gr_str_from_c (in[count].text);
    count++;
  }
  return count;
}

static CfgTree *
build (const TestFile *in, CfgProblems *problems)
{
  CfgFile files[FILES_MAX];
  size_t count = to_files (in, files);
  return cfg_tree_new (files, count, problems);
}

#define TEAM "team sport { region = attica }\n"

/* Guards against messages with the wrong line, key or error code. */
static void
problems_state_file_line_key_and_allowed_values (void **state)
{
  (void) state;
  static const struct {
    TestFile files[FILES_MAX];
    GrErrCode code;
    const char *file;
    int64_t line;
    const char *key;
    const char *detail; /* substring */
  } cases[] = {
    { { { "a.conf", "\n\nteam x {\n region = r\n priority = 1001\n}" } },
      GR_ERR_INVALID,
      "a.conf",
      5,
      "team.x.priority",
      "'1001' is not allowed; allowed is a whole" },
    { { { "a.conf", "team x {\n region = r\n # c\n /* a\n b */ priority = many\n}" } },
      GR_ERR_INVALID,
      "a.conf",
      5,
      "team.x.priority",
      "'many'" },
    { { { "a.conf", "team x { region = r\n\n colour = red\n}" } },
      GR_ERR_UNKNOWN_FIELD,
      "a.conf",
      3,
      "team.x.colour",
      "allowed are region, priority" },
    { { { "a.conf", "\nteem x {\n}\n" } },
      GR_ERR_UNKNOWN_FIELD,
      "a.conf",
      2,
      "teem",
      "allowed are cell, team, limit" },
    { { { "a.conf", "# c\n\nteam x {\n\n priority = 1\n}" } },
      GR_ERR_MISSING,
      "a.conf",
      3,
      "team.x.region",
      "required in section team" },
    { { { "a.conf", "team x { region = \"a b\" }" } },
      GR_ERR_INVALID,
      "a.conf",
      1,
      "team.x.region",
      "letters, digits" },
    { { { "a.conf", TEAM "team sport { priority = 2 }" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "",
      "duplicate" },
    { { { "a.conf", "\nteam x { region = \"${HOME}\" }" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "",
      "environment" },
    { { { "a.conf", "team x { region = ${HOME} }" } },
      GR_ERR_INVALID,
      "a.conf",
      1,
      "",
      "environment" },
    { { { "a.conf", "\nteam x { region = \"r\n\" }" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "",
      "does not end on its line" },
    { { { "a.conf", TEAM "\n/* open\n\n" } }, GR_ERR_INVALID, "a.conf", 3, "", "has no end" },
    { { { "a.conf", "team a.b { region = r }" } }, GR_ERR_INVALID, "a.conf", 1, "", "'a.b'" },
    { { { "a.conf", TEAM "\nbatch n {\n team = spot\n cpu_milli = 1\n memory_mb = 1\n}" } },
      GR_ERR_INVALID,
      "a.conf",
      4,
      "batch.n.team",
      "'spot' is not a team" },
    { { { "a.conf", "\nlimit spot {\n}" } }, GR_ERR_INVALID, "a.conf", 2, "", "names no team" },
    { { { "a.conf", TEAM }, { "b.conf", "\nreplaces = {\"x\",\n \"team.sport.region\"}" } },
      GR_ERR_INVALID,
      "b.conf",
      2,
      "x",
      "not set in an earlier file" },
    { { { "a.conf", TEAM }, { "b.conf", "replaces = {\"team.sport.region\"}" } },
      GR_ERR_INVALID,
      "b.conf",
      1,
      "team.sport.region",
      "not set in this file" },
    { { { "a.txt", TEAM } }, GR_ERR_INVALID, "a.txt", 0, "", "ending in .conf" },
    { { { "a.conf", TEAM }, { "a.conf", "" } }, GR_ERR_CONFLICT, "a.conf", 0, "", "given twice" },
    { { { "a.conf", "cell { task_lease_ms = 5 }" } },
      GR_ERR_INVALID,
      "a.conf",
      1,
      "cell.task_lease_ms",
      "from 6000" },
    { { { "a.conf", "kind k { exclusive = yes }" } },
      GR_ERR_INVALID,
      "a.conf",
      1,
      "kind.k.exclusive",
      "true or false" },
    { { { "a.conf", "team x { region = r\n token_sha256 = abc }" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "team.x.token_sha256",
      "64 lower-case hex" },
    { { { "a.conf", "team x { region = r\n reason = \"\\x01\" }" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "team.x.reason",
      "control characters" },
    { { { "a.conf", "team x {\n region = r;\n}" } },
      GR_ERR_INVALID,
      "a.conf",
      2,
      "",
      "allowed outside quotes" },
    { { { "a.conf", "\nauthor = http://x" } }, GR_ERR_INVALID, "a.conf", 2, "", "needs quotes" },
    { { { "a.conf", "# c\r\nteam x {\r\n region = r\r\n priority = -1\r\n}\r\n" } },
      GR_ERR_INVALID,
      "a.conf",
      4,
      "team.x.priority",
      "'-1'" },
    { { { "a.conf", "team x { region = r " } },
      GR_ERR_INVALID,
      "a.conf",
      1,
      "",
      "no closing brace" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CfgProblems problems = { 0 };
    if (build (cases[i].files, &problems) || problems.count == 0)
      fail_msg ("case %zu: no problem", i);
    const CfgProblem *first = &problems.items[0];
    GrStr key = gr_name_str (&first->key);
    if (first->code != cases[i].code || first->line != cases[i].line
        || !gr_str_equal (gr_name_str (&first->file), gr_str_from_c (cases[i].file))
        || !gr_str_equal (key, gr_str_from_c (cases[i].key))
        || !strstr (first->detail, cases[i].detail))
      fail_msg ("case %zu: code %s file %.*s line %lld key '%.*s' detail '%s'", i,
                gr_err_name (first->code), GR_NAME_ARG (first->file), (long long) first->line,
                GR_STR_ARG (key), first->detail);
    gr_list_clear (&problems);
  }
}

/* Guards against wrong line numbers after strings with comment markers, comments, lists and several
   sections on one line. */
static void
values_have_their_line_author_and_reason (void **state)
{
  (void) state;
  static const TestFile files[] = {
    { "10-a.conf", "author = \"Ann\"\n"                                        /* 1 */
                   "reason = 'why # not // so /* or {'\n"                      /* 2 */
                   "// team no { }\n"                                          /* 3 */
                   "team sport { # trailing {\n"                               /* 4 */
                   "  region = attica; priority = 7\n"                         /* 5 */
                   "}\n"                                                       /* 6 */
                   "kind a {} kind b { run_ms = 5 } /* x\n"                    /* 7 */
                   " y */ kind c {\n"                                          /* 8 */
                   "\n  run_ms\n =\n  9\n  author = Bob reason = \"b \\\" {\"" /* 9 to 13 */
                   "\n}\n" },
    { NULL },
  };
  static const struct {
    const char *key;
    const char *value;
    int64_t line;
    const char *author;
    const char *reason;
  } cases[] = {
    { "team.sport.region", "attica", 5, "Ann", "why # not // so /* or {" },
    { "team.sport.priority", "7", 5, "Ann", "why # not // so /* or {" },
    { "kind.b.run_ms", "5", 7, "Ann", "why # not // so /* or {" },
    { "kind.c.run_ms", "9", 12, "Bob", "b \" {" },
  };
  TestFile plain[2] = { files[0], { NULL } };
  char *text = gr_str_dup (gr_str_from_c (files[0].text));
  for (char *c = text; *c; c++) {
    if (*c == ';')
      *c = ' ';
  }
  plain[0].text = text;
  CfgProblems problems = { 0 };
  CfgTree *tree = build (plain, &problems);
  if (!tree)
    fail_msg ("line %lld: %s", (long long) problems.items[0].line, problems.items[0].detail);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrStr value;
    CfgOrigin origin;
    assert_true (cfg_tree_explain (tree, gr_str_from_c (cases[i].key), &value, &origin));
    assert_true (gr_str_equal (value, gr_str_from_c (cases[i].value)));
    assert_int_equal (origin.line, cases[i].line);
    assert_true (gr_str_equal (gr_name_str (&origin.author), gr_str_from_c (cases[i].author)));
    assert_true (gr_str_equal (origin.reason, gr_str_from_c (cases[i].reason)));
  }
  cfg_tree_free (tree);
  free (text);
}

/* Guards against a merge that depends on anything but file names, "replaces" and strictness. */
static void
values_in_force_follow_the_merge_rules (void **state)
{
  (void) state;
  static const struct {
    TestFile files[FILES_MAX];
    const char *key;
    const char *value; /* NULL: a conflict between the two assignments */
    const char *file;
    int64_t line;
    const char *other_file;
    int64_t other_line;
  } cases[] = {
    { { { "b.conf", "team sport { priority = 5 }" }, { "a.conf", TEAM } },
      "team.sport.priority",
      "5",
      "b.conf",
      1,
      NULL,
      0 },
    { { { "a.conf", TEAM }, { "b.conf", "\nteam sport { region = attica }" } },
      "team.sport.region",
      "attica",
      "a.conf",
      1,
      NULL,
      0 },
    { { { "a.conf", TEAM }, { "b.conf", "\nteam sport { region = crete }" } },
      "team.sport.region",
      NULL,
      "b.conf",
      2,
      "a.conf",
      1 },
    { { { "a.conf", TEAM },
        { "b.conf", "replaces = {team.sport.region}\nteam sport { region = crete }" } },
      "team.sport.region",
      "crete",
      "b.conf",
      2,
      NULL,
      0 },
    { { { "a.conf", TEAM },
        { "b.conf", "team sport {\n region = crete\n replaces = {\"team.sport.region\"}\n}" } },
      "team.sport.region",
      "crete",
      "b.conf",
      2,
      NULL,
      0 },
    { { { "a.conf", TEAM },
        { "b.conf", "replaces = {team.sport.region}\nteam sport { region = crete }" },
        { "c.conf", "team sport { region = attica }" } },
      "team.sport.region",
      NULL,
      "c.conf",
      1,
      "b.conf",
      2 },
    { { { "a.conf", "team sport {\n region = attica\n region = crete\n}" } },
      "team.sport.region",
      NULL,
      "a.conf",
      3,
      "a.conf",
      2 },
    { { { "a.conf", "cell { queue_max = 5 }\ncell { queue_max = 6 }" } },
      "cell.queue_max",
      NULL,
      "a.conf",
      2,
      "a.conf",
      1 },
    { { { "a.conf", TEAM },
        { "b.conf", "limit sport { quota_slots = 5 }" },
        { "c.conf", "limit sport { quota_slots = 4 }" },
        { "d.conf", "limit sport { quota_slots = 6 }" } },
      "limit.sport.quota_slots",
      "4",
      "c.conf",
      1,
      NULL,
      0 },
    { { { "a.conf", TEAM },
        { "b.conf", "limit sport { quota_slots = 5 }" },
        { "c.conf", "limit sport { replaces = {limit.sport.quota_slots} quota_slots = 9 }" },
        { "d.conf", "limit sport { quota_slots = 7 }" } },
      "limit.sport.quota_slots",
      "7",
      "d.conf",
      1,
      NULL,
      0 },
    { { { "a.conf", TEAM "limit sport {\n quota_slots = 5\n quota_slots = 4 }" } },
      "limit.sport.quota_slots",
      NULL,
      "a.conf",
      4,
      "a.conf",
      3 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CfgProblems problems = { 0 };
    CfgTree *tree = build (cases[i].files, &problems);
    GrStr value = { 0 };
    CfgOrigin origin = { 0 };
    CfgProblem problem = { 0 };
    if (tree)
      cfg_tree_explain (tree, gr_str_from_c (cases[i].key), &value, &origin);
    if (problems.count > 0)
      problem = problems.items[0];
    const GrName *file = tree ? &origin.file : &problem.file;
    int64_t line = tree ? origin.line : problem.line;
    bool as_expected
        = (tree != NULL) == (cases[i].value != NULL) && line == cases[i].line
          && gr_str_equal (gr_name_str (file), gr_str_from_c (cases[i].file))
          && (!tree || gr_str_equal (value, gr_str_from_c (cases[i].value)))
          && (tree
              || (problem.code == GR_ERR_CONFLICT && problems.count == 1
                  && problem.other_line == cases[i].other_line
                  && gr_str_equal (gr_name_str (&problem.key), gr_str_from_c (cases[i].key))
                  && gr_str_equal (gr_name_str (&problem.other_file),
                                   gr_str_from_c (cases[i].other_file))));
    if (!as_expected)
      fail_msg ("case %zu: value '%.*s' at %.*s:%lld, %zu problems, first '%s'", i,
                GR_STR_ARG (value), GR_NAME_ARG (*file), (long long) line, problems.count,
                problem.detail);
    cfg_tree_free (tree);
    gr_list_clear (&problems);
  }
}

/* Guards against fields that are not filled, and against defaults that differ from the header. */
static void
objects_hold_values_and_defaults (void **state)
{
  (void) state;
  static const TestFile files[]
      = { { "a.conf", "team t { region = r quota_slots = 9 quota_memory_mb = 5\n token_sha256 = "
                      "0123456789abcdef0123456789abcdef0000000000000000000000000000000f }\n"
                      "limit t { quota_slots = 4 quota_memory_mb = 6 quota_cpu_milli = 7 }\n"
                      "kind k {}\nkind m { idempotent = false exclusive = true cpu_milli = 3 }\n"
                      "gang g { team = t tasks = 3 run_ms = 8 cpu_milli = 1 memory_mb = 2\n"
                      " accelerators = 3 slots = 4 payload = \"x y\" }\n"
                      "batch b { team = t cpu_milli = 1 memory_mb = 1 }\n" },
          { NULL } };
  CfgProblems problems = { 0 };
  CfgTree *tree = build (files, &problems);
  if (!tree)
    fail_msg ("%s", problems.items[0].detail);
  const CfgCell *cell = cfg_cell (tree);
  assert_int_equal (cell->partitions, 16);
  assert_int_equal (cell->max_attempts, 4);
  assert_int_equal (cell->task_lease_ms, 10000);
  assert_int_equal (cell->long_slots_pct, 50);
  assert_int_equal (cell->long_after_ms, 2000);
  assert_int_equal (cell->queue_max, 50000);
  assert_int_equal (cell->batch_share_pct, 90);
  GrName name = gr_name ("t");
  const CfgTeam *team = cfg_team (tree, &name);
  assert_non_null (team);
  assert_int_equal (team->priority, 100);
  assert_int_equal (team->quota.v[GR_RES_CPU_MILLI], 7);
  assert_int_equal (team->quota.v[GR_RES_MEMORY_MB], 5);
  assert_int_equal (team->quota.v[GR_RES_ACCELERATORS], 0);
  assert_int_equal (team->quota.v[GR_RES_SLOTS], 4);
  assert_int_equal (team->token_sha256_a.len, 32);
  assert_int_equal (team->token_sha256_b.data[31], 'f');
  name = gr_name ("k");
  const CfgKind *kind = cfg_kind (tree, &name);
  assert_true (kind && kind->idempotent && !kind->exclusive && kind->run_ms == 0);
  assert_int_equal (kind->demand.v[GR_RES_SLOTS], 1);
  name = gr_name ("m");
  kind = cfg_kind (tree, &name);
  assert_true (kind && !kind->idempotent && kind->exclusive);
  assert_int_equal (kind->demand.v[GR_RES_CPU_MILLI], 3);
  name = gr_name ("none");
  assert_null (cfg_kind (tree, &name));
  assert_null (cfg_team (tree, &name));
  assert_int_equal (cfg_work_count (tree), 2);
  const CfgWork *batch = cfg_work_at (tree, 0);
  const CfgWork *gang = cfg_work_at (tree, 1);
  assert_true (batch->policy == CFG_POLICY_BATCH && batch->tasks == 1 && batch->payload.len == 0);
  assert_true (gang->policy == CFG_POLICY_GANG && gang->tasks == 3 && gang->run_ms == 8);
  for (int d = 0; d < GR_RES_COUNT; d++)
    assert_int_equal (gang->demand.v[d], d + 1);
  assert_true (gr_str_equal (gang->payload, GR_STR ("x y")));
  cfg_tree_free (tree);
}

/* Guards against keys that do not fit into a GrName: truncated, two of them could become equal. */
static void
keys_fit_with_the_longest_title (void **state)
{
  (void) state;
  size_t count;
  const CfgOption *options = cfg_options (&count);
  GrName title = gr_name ("abcdefghijabcdefghijabcdefghijab");
  assert_int_equal (title.len, CFG_TITLE_MAX);
  for (size_t i = 0; i < count; i++) {
    GrName key = cfg_key (options[i].section, &title, options[i].name);
    assert_true (key.len < GR_NAME_MAX);
    bool optional = options[i].def != NULL;
    bool limit = options[i].section == CFG_SECTION_LIMIT;
    assert_true (!optional || limit
                 || cfg_option_check (&options[i], gr_str_from_c (options[i].def)));
  }
}

/* Guards against records that are accepted although a part of them is missing or malformed. */
static void
malformed_records_are_rejected (void **state)
{
  (void) state;
  static const char *const records[] = {
    "",
    "x",
    "gentianrelay-config 1",
    "gentianrelay-config 2\nbase 0\nauthor a\nfiles 0\n",
    "gentianrelay-config 1\nbase -1\nauthor a\nfiles 0\n",
    "gentianrelay-config 1\nbase 1\nauthor a\nfiles 0\n",
    "gentianrelay-config 1\nbase 0x\nauthor a\nfiles 0\n",
    "gentianrelay-config 1\nbase 0\nauthor \nfiles 0\n",
    "gentianrelay-config 1\nbase 0\nauthor \x01\nfiles 0\n",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\n",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 9999999\n",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\nfile a.conf 5\nabc\n",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\nfile a.conf 3\nabc",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\nfile a.conf -1\n\n",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\nfile a.conf 0\n\nmore",
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 1\nfile ../a 0\n\n",
    "gentianrelay-config-state 1\nthrough 0\nversion 1\n",
    "gentianrelay-config-state 1\nthrough 0\nversion 2\n"
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 0\n",
    "gentianrelay-config-state 1\nversion 1\n"
    "gentianrelay-config 1\nbase 0\nauthor a\nfiles 0\n",
  };
  CfgStore *store = cfg_store_new ();
  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++) {
    CfgProblem problem;
    GrStr record = gr_str_from_c (records[i]);
    CfgVerdict verdict = cfg_store_record (store, (int64_t) i, record, &problem);
    if (verdict != CFG_REJECTED || problem.code == GR_ERR_NONE || !problem.detail[0])
      fail_msg ("case %zu: verdict %d, detail '%s'", i, (int) verdict, problem.detail);
    assert_int_equal (cfg_store_offer (store, 1, record), CFG_REJECTED);
    assert_int_equal (cfg_store_version (store), 0);
    assert_int_equal (cfg_store_record_in_force (store).len, 0);
  }
  assert_int_equal (cfg_cell (cfg_store_tree (store))->partitions, 16);
  cfg_store_free (store);
}

static GrBuf
publication (int64_t base, const char *text)
{
  CfgFile file = { GR_STR ("a.conf"), gr_str_from_c (text) };
  GrName author = gr_name ("Ann");
  GrBuf out = { 0 };
  cfg_publication_encode (base, &author, &file, 1, &out);
  return out;
}

/* Guards against two accepted publications based on the same version, and against readers that
   start late and apply records without the state before them. */
static void
verdicts_follow_the_log (void **state)
{
  (void) state;
  static const struct {
    int64_t offset;
    int64_t base;
    const char *text;
    CfgVerdict verdict;
    int64_t version; /* afterwards */
  } steps[] = {
    { 0, 0, TEAM, CFG_ACCEPTED, 1 },
    { 0, 1, TEAM, CFG_STALE, 1 }, /* the offset was read already */
    { 1, 0, TEAM, CFG_STALE, 1 }, /* the append was retried */
    { 2, 0, "team sport { region = crete }", CFG_CONFLICT, 1 },
    { 3, 1, "team sport { region = }", CFG_REJECTED, 1 },
    { 4, 2, TEAM, CFG_REJECTED, 1 }, /* a base that does not exist yet */
    { 5, 1, "team sport { region = crete }", CFG_ACCEPTED, 2 },
    { 7, 2, TEAM, CFG_STALE, 2 }, /* offset 6 is missing */
    { 6, 1, TEAM, CFG_CONFLICT, 2 },
  };
  CfgStore *store = cfg_store_new ();
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++) {
    GrBuf record = publication (steps[i].base, steps[i].text);
    CfgVerdict verdict = cfg_store_record (store, steps[i].offset, gr_buf_str (&record), NULL);
    if (verdict != steps[i].verdict || cfg_store_version (store) != steps[i].version)
      fail_msg ("step %zu: verdict %d, version %lld", i, (int) verdict,
                (long long) cfg_store_version (store));
    gr_buf_clear (&record);
  }
  GrName name = gr_name ("sport");
  assert_true (gr_str_equal (gr_name_str (&cfg_team (cfg_store_tree (store), &name)->region),
                             GR_STR ("crete")));
  /* A new reader that starts at offset 7 gets the state from a peer and applies later records. */
  CfgStore *late_reader = cfg_store_new ();
  GrBuf next = publication (2, TEAM);
  assert_int_equal (cfg_store_record (late_reader, 7, gr_buf_str (&next), NULL), CFG_STALE);
  assert_false (cfg_store_complete (late_reader));
  GrStr offer = cfg_store_record_in_force (store);
  assert_int_equal (cfg_store_offer (late_reader, 3, offer), CFG_REJECTED);
  assert_int_equal (cfg_store_offer (late_reader, 2, offer), CFG_ACCEPTED);
  assert_true (cfg_store_complete (late_reader));
  assert_int_equal (cfg_store_version (late_reader), 3);
  assert_int_equal (cfg_store_next (late_reader), 8);
  assert_int_equal (cfg_store_offer (late_reader, 2, offer), CFG_STALE);
  assert_int_equal (cfg_store_version (late_reader), 3);
  gr_buf_clear (&next);
  cfg_store_free (late_reader);
  cfg_store_free (store);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (problems_state_file_line_key_and_allowed_values),
    cmocka_unit_test (values_have_their_line_author_and_reason),
    cmocka_unit_test (values_in_force_follow_the_merge_rules),
    cmocka_unit_test (objects_hold_values_and_defaults),
    cmocka_unit_test (keys_fit_with_the_longest_title),
    cmocka_unit_test (malformed_records_are_rejected),
    cmocka_unit_test (verdicts_follow_the_log),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
