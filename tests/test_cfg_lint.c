/* Warnings about valid configurations. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cfg/cfg_lint.h"

#define FILES_MAX 3
#define JOB_TASKS 10000

typedef struct {
  const char *name;
  const char *text;
} TestFile;

#define TEAM "team t { region = r "
#define NEED " cpu_milli = 500 memory_mb = 10 "

/* Each case lists all warnings as "FILE:LINE CODE KEY (OTHER_FILE:OTHER_LINE)", one a line. */
typedef struct {
  TestFile files[FILES_MAX];
  const char *warnings;
} Case;

static void
print_warnings (const CfgWarnings *warnings, GrBuf *out)
{
  gr_buf_append (out, "", 0);
  for (size_t i = 0; i < warnings->count; i++) {
    const CfgWarning *w = &warnings->items[i];
    gr_buf_printf (out, "%.*s:%lld %s", GR_NAME_ARG (w->file), (long long) w->line,
                   cfg_lint_name (w->code));
    if (w->key.len > 0)
      gr_buf_printf (out, " %.*s", GR_NAME_ARG (w->key));
    if (w->other_file.len > 0)
      gr_buf_printf (out, " (%.*s:%lld)", GR_NAME_ARG (w->other_file), (long long) w->other_line);
    gr_buf_append (out, "\n", 1);
    assert_true (w->detail[0] != '\0');
  }
}

static void
check_case (const Case *test, size_t i)
{
  CfgFile files[FILES_MAX];
  size_t count = 0;
  for (; count < FILES_MAX && test->files[count].name; count++)
    files[count] = (CfgFile){ gr_str_from_c (test->files[count].name),
                              gr_str_from_c (test->files[count].text) };
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_new (files, count, &problems);
  if (!tree)
    fail_msg ("case %zu is no valid configuration: %s", i, problems.items[0].detail);
  CfgLintOptions options = { .job_tasks_max = JOB_TASKS };
  CfgWarnings warnings = { 0 };
  cfg_lint (tree, files, count, &options, &warnings);
  GrBuf text = { 0 };
  print_warnings (&warnings, &text);
  if (strcmp (text.data ? text.data : "", test->warnings) != 0)
    fail_msg ("case %zu: expected\n%sbut got\n%s", i, test->warnings, text.data);
  gr_buf_clear (&text);
  gr_list_clear (&warnings);
  gr_list_clear (&problems);
  cfg_tree_free (tree);
}

static void
check_cases (const Case *cases, size_t count)
{
  for (size_t i = 0; i < count; i++)
    check_case (&cases[i], i);
}

#define CHECK(cases) check_cases (cases, sizeof (cases) / sizeof (cases)[0])

/* Guards against work that waits for ever for a limit without a warning, and against warnings about
   work that just fits. */
static void
limits_that_contradict_each_other_are_reported (void **state)
{
  (void) state;
  static const Case cases[] = {
    /* A task, against the quota of the team, and just within it. */
    { { { "a.conf", TEAM "\n quota_cpu_milli = 499 }\nbatch b { team = t\n" NEED "}" } },
      "a.conf:4 task_above_quota batch.b.cpu_milli (a.conf:2)\n" },
    { { { "a.conf", TEAM "quota_cpu_milli = 500 }\nbatch b { team = t tasks = 9" NEED "}" } }, "" },
    /* The limit of the team, which is the smaller one, is named. */
    { { { "a.conf", TEAM "quota_memory_mb = 20 }\nservice s { team = t" NEED "}" },
        { "b.conf", "\nlimit t { quota_memory_mb = 9 }" } },
      "a.conf:2 task_above_quota service.s.memory_mb (b.conf:2)\n" },
    /* A gang starts at once or not at all; tasks of a batch run one after the other. */
    { { { "a.conf", TEAM "quota_cpu_milli = 1000 }\ngang g { team = t tasks = 3" NEED "}" } },
      "a.conf:2 gang_above_quota gang.g.cpu_milli (a.conf:1)\n" },
    { { { "a.conf", TEAM "quota_cpu_milli = 1500 }\ngang g { team = t tasks = 3" NEED "}" } }, "" },
    /* The product does not fit into 32 bits. */
    { { { "a.conf", TEAM "quota_cpu_milli = 2147483647 }\n"
                         "gang g { team = t tasks = 3 cpu_milli = 2147483647 memory_mb = 1 }" } },
      "a.conf:2 gang_above_quota gang.g.cpu_milli (a.conf:1)\n" },
    /* Services together; those of another team do not count. */
    { { { "a.conf",
          TEAM "quota_cpu_milli = 1499 }\nteam u { region = r }\n"
               "service a { team = t tasks = 2" NEED "}\nservice b { team = t" NEED "}" } },
      "a.conf:1 services_above_quota team.t.quota_cpu_milli\n" },
    { { { "a.conf",
          TEAM "quota_cpu_milli = 1499 }\nteam u { region = r }\n"
               "service a { team = t tasks = 2" NEED "}\nservice b { team = u" NEED "}" } },
      "" },
    { { { "a.conf",
          TEAM "quota_cpu_milli = 1500 }\n"
               "service a { team = t tasks = 2" NEED "}\nservice b { team = t" NEED "}" } },
      "" },
    /* A kind is reported only if no team may send it. */
    { { { "a.conf", TEAM "quota_slots = 2 }\nteam u { region = r quota_cpu_milli = 5 }\n"
                         "kind k { slots = 3 cpu_milli = 6 }" } },
      "a.conf:3 kind_above_quotas kind.k.slots (a.conf:1)\n" },
    { { { "a.conf", TEAM "quota_slots = 2 }\nteam u { region = r }\nkind k { slots = 3 }" } }, "" },
    { { { "a.conf", "kind k { slots = 3 }" } }, "" },
    /* Sizes of jobs. */
    { { { "a.conf", TEAM "}\ncell { queue_max = 4 }\ngang g { team = t\n tasks = 5" NEED "}" } },
      "a.conf:4 gang_above_queue gang.g.tasks (a.conf:2)\n" },
    { { { "a.conf", TEAM "}\ncell { queue_max = 4 }\nbatch b { team = t tasks = 5" NEED "}" } },
      "" },
    { { { "a.conf", TEAM "}\nbatch b { team = t tasks = 10001" NEED "}" } },
      "a.conf:2 tasks_above_maximum batch.b.tasks\n" },
    { { { "a.conf", TEAM "}\nbatch b { team = t tasks = 10000" NEED "}" } }, "" },
    /* Shares of long work, one of them a default. */
    { { { "a.conf", "cell {\n long_slots_pct = 60\n batch_share_pct = 59\n}" } },
      "a.conf:2 long_above_batch cell.long_slots_pct (a.conf:3)\n" },
    { { { "a.conf", "cell {\n batch_share_pct = 49\n}" } },
      "a.conf:2 long_above_batch cell.batch_share_pct\n" },
    { { { "a.conf", "cell {\n long_slots_pct = 91\n}" } },
      "a.conf:2 long_above_batch cell.long_slots_pct\n" },
    { { { "a.conf", "cell { long_slots_pct = 60 batch_share_pct = 60 }" } }, "" },
  };
  CHECK (cases);
}

/* Guards against entries that are written down and never take part, and against warnings about
   the layers that the merge is made for. */
static void
entries_without_effect_are_reported (void **state)
{
  (void) state;
  static const Case cases[] = {
    /* Limits above what holds anyway; equal ones state the same bound. */
    { { { "a.conf", TEAM "quota_slots = 5 }\n\nlimit t { quota_slots = 6 }" } },
      "a.conf:3 limit_above_quota limit.t.quota_slots (a.conf:1)\n" },
    { { { "a.conf", TEAM "quota_slots = 5 }\nlimit t { quota_slots = 5 }" } }, "" },
    { { { "a.conf", TEAM "quota_slots = 0 }\nlimit t { quota_slots = 6 }" } }, "" },
    /* Files are given out of order; the merge sorts them by name. */
    { { { "b.conf", "\nlimit t { quota_slots = 6 quota_cpu_milli = 1 }" },
        { "a.conf", TEAM "}\nlimit t { quota_slots = 5 }" } },
      "b.conf:2 limit_behind_stricter limit.t.quota_slots (a.conf:2)\n" },
    { { { "a.conf", TEAM "}\nlimit t { quota_slots = 5 quota_cpu_milli = 1 }" },
        { "b.conf", "limit t { quota_slots = 4 }" },
        { "c.conf", "limit t { quota_slots = 5 quota_memory_mb = 2 }" } },
      "c.conf:1 limit_behind_stricter limit.t.quota_slots (b.conf:1)\n" },
    { { { "a.conf", TEAM "}\nlimit t { quota_slots = 5 }" },
        { "b.conf", "replaces = {\"limit.t.quota_slots\"}\nlimit t { quota_slots = 6 }" } },
      "" },
    { { { "a.conf", TEAM "}\nlimit t { quota_slots = 5 }" },
        { "b.conf", "limit t { quota_slots = 5 quota_cpu_milli = 1 }" } },
      "" },
    /* A priority compares teams. */
    { { { "a.conf", TEAM "\n priority = 5 }" } }, "a.conf:2 priority_alone team.t.priority\n" },
    { { { "a.conf", TEAM "priority = 5 }\nteam u { region = r }" } }, "" },
    /* Kinds. */
    { { { "a.conf", "\nkind k { idempotent = true slots = 1 }" } },
      "a.conf:2 kind_without_effect\n" },
    { { { "a.conf", "\nkind k { slots = 0 }" } }, "a.conf:2 kind_without_effect\n" },
    { { { "a.conf", "kind k { exclusive = true\n slots = 0 }" } },
      "a.conf:2 kind_demand_ignored kind.k.slots\n" },
    { { { "a.conf", "kind k { slots = 0 cpu_milli = 1 }\nkind l { run_ms = 1 }" } }, "" },
    /* Several sections of one kind count as one, also with another kind between them. */
    { { { "a.conf", "kind k { slots = 1 }\nkind l { run_ms = 1 }" },
        { "b.conf", "kind k { cpu_milli = 0 }" } },
      "a.conf:1 kind_without_effect\n" },
    /* Sections and files. */
    { { { "a.conf", TEAM "}\n\nkind k { }\ncell {\n author = A }" } },
      "a.conf:3 empty_section\na.conf:4 empty_section\n" },
    { { { "a.conf", TEAM "}" }, { "b.conf", "# nothing yet\n" } },
      "b.conf:1 file_without_effect\n" },
    { { { "a.conf", "cell { partitions = 3 queue_max = 9 }" },
        { "b.conf", "replaces = {\"cell.partitions\", \"cell.queue_max\"}\n"
                    "cell { partitions = 4 queue_max = 8 }" } },
      "a.conf:1 file_without_effect\n" },
    { { { "a.conf", "cell { partitions = 3 queue_max = 9 }" },
        { "b.conf", "replaces = {\"cell.partitions\"}\ncell { partitions = 4 }" } },
      "" },
    { { { "a.conf", "cell { partitions = 3 }" }, { "b.conf", "cell { partitions = 3 }" } },
      "b.conf:1 file_without_effect\n" },
    /* "replaces" without a change. */
    { { { "a.conf", "cell { partitions = 3 queue_max = 9 }" },
        { "b.conf", "\nreplaces = {\"cell.partitions\"}\ncell { partitions = 3 }" } },
      "b.conf:2 replaces_same_value cell.partitions (a.conf:1)\n" },
    /* The entry of another file does not count. */
    { { { "a.conf", "cell { partitions = 3 max_attempts = 2 }" },
        { "b.conf", "replaces = {\"cell.partitions\"}\ncell { partitions = 4 }" },
        { "c.conf", "cell { partitions = 4 queue_max = 9 }" } },
      "" },
  };
  CHECK (cases);
}

/* Guards against a code without a name, and against two codes of one name: scripts tell warnings
   apart by it. */
static void
every_code_has_a_name_of_its_own (void **state)
{
  (void) state;
  for (int i = 0; i < CFG_LINT_COUNT; i++) {
    assert_non_null (cfg_lint_name ((CfgLintCode) i));
    for (int k = 0; k < i; k++)
      assert_string_not_equal (cfg_lint_name ((CfgLintCode) i), cfg_lint_name ((CfgLintCode) k));
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limits_that_contradict_each_other_are_reported),
    cmocka_unit_test (entries_without_effect_are_reported),
    cmocka_unit_test (every_code_has_a_name_of_its_own),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
