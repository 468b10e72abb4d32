/* Configuration: lines and messages of the parser, the merge rules, the codec and the verdicts. */
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

/* Guards against messages that name the wrong line, key or kind of fault. */
static void
problems_name_file_line_key_and_what_is_allowed (void **state)
{
  (void) state;
  static const struct {
    TestFile files[FILES_MAX];
    GrErrCode code;
    const char *file;
    int64_t line;
    const char *key;
    const char *detail; /* a part of it */
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

/* Guards against lines that drift: strings with comment signs, comments, lists and sections on
   one line all stand before the values. */
static void
every_value_has_its_true_line_author_and_reason (void **state)
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (problems_name_file_line_key_and_what_is_allowed),
    cmocka_unit_test (every_value_has_its_true_line_author_and_reason),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
