/* Runs the command line program in-process against a stub of the platform's log and of a daemon.
   Guards against wrong exit codes, errors that do not name the setting at fault, and publications
   that are reported as in force although they are not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#include "cfg/cfg.h"
#include "cli/cli.h"
#include "cli_stub.h"

#define ARGS_MAX 12

/* Exit code and captured standard output and standard error. */
typedef struct {
  int exit_code;
  GrBuf out;
  GrBuf err;
} Result;

static void
read_and_close (FILE *file, GrBuf *buf)
{
  char block[4096];
  size_t len;
  rewind (file);
  while ((len = fread (block, 1, sizeof block, file)) > 0)
    gr_buf_append (buf, block, len);
  gr_buf_append (buf, "", 0);
  fclose (file);
}

static Result
run (const char *const *args)
{
  char *argv[ARGS_MAX + 2] = { (char *) "gentianrelay" };
  int argc = 1;
  while (argc <= ARGS_MAX && args[argc - 1]) {
    argv[argc] = (char *) args[argc - 1];
    argc++;
  }
  FILE *out = tmpfile ();
  FILE *err = tmpfile ();
  fflush (stdout);
  int old_out = dup (1);
  int old_err = dup (2);
  dup2 (fileno (out), 1);
  dup2 (fileno (err), 2);
  Result result = { .exit_code = cli_run (argc, argv) };
  fflush (stdout);
  fflush (stderr);
  dup2 (old_out, 1);
  dup2 (old_err, 2);
  close (old_out);
  close (old_err);
  read_and_close (out, &result.out);
  read_and_close (err, &result.err);
  return result;
}

/* Checks the result of case i and releases it. out and err are parts of the expected output; NULL
   skips that check. */
static void
expect (size_t i, Result result, int exit_code, const char *out, const char *err)
{
  if (result.exit_code != exit_code || (out && !strstr (result.out.data, out))
      || (err && !strstr (result.err.data, err)))
    fail_msg ("case %zu: exit %d, expected %d\nstdout: %s\nstderr: %s", i, result.exit_code,
              exit_code, result.out.data, result.err.data);
  gr_buf_clear (&result.out);
  gr_buf_clear (&result.err);
}

static void
input_errors_name_the_setting (void **state)
{
  (void) state;
  static const struct {
    const char *args[ARGS_MAX];
    int exit_code;
    const char *err;
  } cases[] = {
    { { NULL }, 2, "Usage: gentianrelay VERB" },
    { { "fetch", NULL }, 2, "unknown verb 'fetch'" },
    { { "config", NULL }, 2, "unknown verb 'config'" },
    { { "config", "check", NULL }, 2, "config check needs FOLDER" },
    { { "config", "check", "no-such-folder", NULL }, 2, "not_found: folder: no-such-folder" },
    { { "config", "check", "examples", NULL }, 2, "no file ends in .conf" },
    { { "config", "check", "examples/agora", "--nope", NULL }, 2, "unknown_field: arguments" },
    { { "config", "explain", "team.sport.colour", NULL }, 2, "'team.sport.colour' is not a key" },
    { { "config", "explain", "sport", NULL }, 2, "'sport' is not a key" },
    { { "config", "explain", "cell.x.partitions", NULL }, 2, "is not a key" },
    { { "config", "publish", "examples/agora", "--author=a", NULL }, 2, "missing: platform" },
    { { "config", "publish", "examples/agora", "--platform=http://127.0.0.1:1", NULL },
      2,
      "missing: author" },
    { { "config", "publish", "examples/agora", "--platform=http://127.0.0.1:1", "--author=a\nb",
        NULL },
      2,
      "author: 'a\nb' is not allowed" },
    { { "submit", "--kind=lookup", NULL }, 2, "missing: team: set --team or GENTIANRELAY_TEAM" },
    { { "submit", "--team=sport", NULL }, 2, "missing: kind" },
    { { "submit", "--team=sport", "--kind=k", "--policy=gang", NULL }, 2, "invalid: kind" },
    { { "submit", "--team=sport", "--policy=cron", NULL },
      2,
      "policy: 'cron' is not allowed; allowed are service, batch and gang" },
    { { "submit", "--team=sport", "--policy=gang", "--tasks=0", NULL },
      2,
      "--tasks is '0'; allowed is a whole number from 1 to 100000" },
    { { "submit", "--team=sport", "--kind=k", "--payload=\xff", NULL }, 2, "invalid: payload" },
    { { "status", NULL }, 2, "status needs ID" },
    { { "status", "j", "--server=http://127.0.0.1:1", NULL }, 3, "unavailable" },
    { { "top", "--server=http://127.0.0.1:1", NULL }, 3, "unavailable" },
    { { "doc", "poem", NULL }, 2, "'poem' is not allowed; allowed are man" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    expect (i, run (cases[i].args), cases[i].exit_code, NULL, cases[i].err);
}

static void
requests_and_responses_match_the_api (void **state)
{
  (void) state;
  static const struct {
    const char *args[ARGS_MAX];
    int status;
    const char *answer;
    const char *request; /* method and path */
    const char *body;    /* contained in the request body */
    int exit_code;
    const char *out;
    const char *err;
  } cases[] = {
    { { "status", "j 1/0", NULL },
      200,
      "{\"id\":\"j 1/0\",\"state\":\"queued\",\"x\":{\"y\":2}}",
      "GET /v1/jobs/j%201%2F0",
      "",
      0,
      "state: queued\nx.y: 2\n",
      NULL },
    { { "status", "j", "--json", NULL },
      200,
      "{\"id\":\"j\"}",
      "GET /v1/jobs/j",
      "",
      0,
      "\"id\": \"j\"",
      NULL },
    { { "status", "j", NULL },
      404,
      "{\"error\":{\"code\":\"not_found\",\"field\":\"id\",\"detail\":\"no such job\"}}",
      "GET /v1/jobs/j",
      "",
      1,
      NULL,
      "not_found: id: no such job" },
    { { "cancel", "j", NULL },
      200,
      "{\"id\":\"j\",\"outcome\":\"cancelled\"}",
      "DELETE /v1/jobs/j",
      "",
      0,
      "outcome: cancelled",
      NULL },
    { { "explain", "j", NULL },
      200,
      "{\"why\":\"quota\"}",
      "GET /v1/jobs/j/explain",
      "",
      0,
      "why: quota",
      NULL },
    { { "wait", "j", NULL },
      200,
      "{\"id\":\"j\",\"outcome\":\"completed\"}",
      "GET /v1/jobs/j?wait_ms=",
      "",
      0,
      "outcome: completed",
      NULL },
    { { "wait", "j", NULL },
      200,
      "{\"id\":\"j\",\"outcome\":\"not_run\"}",
      "GET /v1/jobs/j?wait_ms=",
      "",
      1,
      "outcome: not_run",
      NULL },
    { { "wait", "j", "--timeout-ms=1", NULL },
      200,
      "{\"id\":\"j\",\"state\":\"queued\"}",
      "GET /v1/jobs/j?wait_ms=",
      "",
      1,
      "state: queued",
      "has not ended within 1 ms" },
    { { "top", NULL },
      200,
      "{\"vms\":[{\"vm\":\"e1\",\"queued\":3},{\"vm\":\"e10\",\"queued\":12}]}",
      "GET /v1/top",
      "",
      0,
      "vms:\nvm   queued\ne1   3     \ne10  12    \n",
      NULL },
    { { "drain", "e1", NULL }, 202, "", "POST /v1/drain", "{\"vm\":\"e1\"}", 0, "", NULL },
    { { "submit", "--id=r", "--team=t", "--kind=k", "--idempotent", "--slots=1", NULL },
      200,
      "{\"id\":\"r\",\"outcome\":\"completed\",\"answer\":\"ok\"}",
      "POST /v1/requests",
      "\"idempotent\":true,\"exclusive\":false",
      0,
      "answer: ok",
      NULL },
    { { "submit", "--id=b", "--team=t", "--policy=gang", "--tasks=4", "--urgent", NULL },
      202,
      "{\"id\":\"b\"}",
      "POST /v1/jobs",
      "\"policy\":\"gang\",\"tasks\":4,\"urgent\":true",
      0,
      "id: b",
      NULL },
    { { "submit", "--id=b", "--team=t", "--policy=gang", "--cpu-milli=7", NULL },
      400,
      "{\"error\":{\"code\":\"missing\",\"field\":\"demand\",\"detail\":\"memory_mb\"}}",
      "POST /v1/jobs",
      "\"demand\":{\"cpu_milli\":7,\"memory_mb\":0",
      2,
      NULL,
      "missing: demand: memory_mb" },
    { { "submit", "--team=t", "--kind=k", NULL },
      503,
      "{\"error\":{\"code\":\"unavailable\",\"field\":\"\",\"detail\":\"no owner\"}}",
      "POST /v1/requests",
      "\"id\":\"cli-",
      3,
      NULL,
      "a retry with --id cli-" },
    { { "submit", "--team=t", "--kind=k", NULL },
      409,
      "{\"error\":{\"code\":\"not_run\",\"field\":\"\",\"detail\":\"outage\"}}",
      "POST /v1/requests",
      "",
      1,
      NULL,
      "not_run: outage" },
    { { "top", NULL }, 200, "not json", "GET /v1/top", "", 1, NULL, "is not JSON" },
    { { "config", "show", NULL }, 200, "{}", "GET /v1/config", "", 1, NULL, "lacks 'version'" },
  };
  setenv ("GENTIANRELAY_TOKEN", "secret-1", 1);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CliStub *stub = cli_stub_start ();
    setenv ("GENTIANRELAY_SERVER", cli_stub_url (stub), 1);
    cli_stub_answer (stub, cases[i].status, cases[i].answer);
    expect (i, run (cases[i].args), cases[i].exit_code, cases[i].out, cases[i].err);
    const char *request = cli_stub_last_request (stub);
    const char *body = strstr (request, "\r\n\r\n");
    if (strncmp (request, cases[i].request, strlen (cases[i].request)) != 0 || !body
        || !strstr (body, cases[i].body) || !strstr (request, "Authorization: Bearer secret-1\r\n"))
      fail_msg ("case %zu: request was %s", i, request);
    cli_stub_stop (stub);
  }
  unsetenv ("GENTIANRELAY_TOKEN");
  unsetenv ("GENTIANRELAY_SERVER");
}

/* Each case publishes once: without a fault, or with a lost response, a rejected append, a
   concurrent publication, an unreachable or lagging daemon, or oldest records that are no longer
   retained. */
static void
publish_reports_the_verdict_of_the_log (void **state)
{
  (void) state;
  static const struct {
    const char *folder;
    CliStubLog log;
    int exit_code;
    const char *out;
    const char *err;
    int64_t version; /* afterwards, as computed by a reader of the whole log */
  } cases[] = {
    { "examples/agora", { .earlier = 0 }, 0, "version 1 is in force", NULL, 1 },
    { "examples/agora", { .earlier = 3 }, 0, "version 4 is in force", NULL, 4 },
    { "examples/agora",
      { .earlier = 3, .no_server = true },
      3,
      "version 4 is accepted",
      "could not be queried",
      4 },
    { "examples/agora",
      { .earlier = 1, .server_lags = true },
      3,
      "version 2 is accepted",
      "does not have the version in force yet",
      2 },
    { "examples/agora",
      { .earlier = 1, .race = true },
      1,
      NULL,
      "conflict: the publication is based on version 1; version 2 came first",
      2 },
    { "examples/agora",
      { .earlier = 1, .race = true },
      1,
      NULL,
      "team.sport.region in 10-teams.conf:6, in force by a.conf:1",
      2 },
    { "examples/agora", { .earlier = 2, .lost_answers = 1 }, 0, "version 3 is in force", NULL, 3 },
    { "examples/agora", { .earlier = 2, .lost_answers = 2 }, 0, "version 3 is in force", NULL, 3 },
    { "examples/agora", { .earlier = 2, .refused = 1 }, 0, "version 3 is in force", NULL, 3 },
    { "examples/agora",
      { .earlier = 2, .refused = 100 },
      1,
      NULL,
      "unknown: the log did not confirm the append",
      2 },
    { "examples/agora", { .earlier = 4, .first = 2 }, 0, "version 5 is in force", NULL, 5 },
    { "examples/agora",
      { .earlier = 4, .first = 2, .no_server = true },
      3,
      NULL,
      "no longer holds the version in force",
      4 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CliStub *stub = cli_stub_start ();
    cli_stub_log (stub, &cases[i].log);
    char platform[96];
    char server[96];
    snprintf (platform, sizeof platform, "--platform=%s", cli_stub_url (stub));
    snprintf (server, sizeof server, "--server=%s",
              cases[i].log.no_server ? "http://127.0.0.1:1" : cli_stub_url (stub));
    const char *args[]
        = { "config", "publish", cases[i].folder, "--author=Eleni", "--timeout-ms=1500", platform,
            server,   NULL };
    expect (i, run (args), cases[i].exit_code, cases[i].out, cases[i].err);
    assert_int_equal (cli_stub_version (stub), cases[i].version);
    cli_stub_stop (stub);
  }
}

/* The values of a server are printed and compared with those of a folder. */
static void
diff_lists_added_removed_and_changed (void **state)
{
  (void) state;
  CliStub *stub = cli_stub_start ();
  CliStubLog log = { .earlier = 1 };
  cli_stub_log (stub, &log);
  setenv ("GENTIANRELAY_SERVER", cli_stub_url (stub), 1);
  const char *diff[] = { "config", "diff", "examples/agora", NULL };
  Result result = run (diff);
  assert_non_null (strstr (result.out.data, "~ team.sport.region: south -> attica\n"));
  assert_non_null (strstr (result.out.data, "+ cell.partitions = 16\n"));
  assert_non_null (strstr (result.out.data, "- team.other.region = south\n"));
  expect (0, result, 1, NULL, NULL);
  const char *show[] = { "config", "show", "--origin", NULL };
  expect (1, run (show), 0, "# version 1\nteam.other.region = south  # a.conf:2, Ann\n", NULL);
  const char *explain[] = { "config", "explain", "team.sport.region", NULL };
  expect (2, run (explain), 0, "file: a.conf\nline: 1\nauthor: Ann\n", NULL);
  const char *unset[] = { "config", "explain", "cell.queue_max", NULL };
  expect (3, run (unset), 0, "value: 50000\nset: false\n", NULL);
  cli_stub_stop (stub);
  unsetenv ("GENTIANRELAY_SERVER");
}

/* Writes a folder with one file and returns its path, valid until the next call with this name. */
static const char *
write_folder (const char *base, const char *name, const char *text)
{
  static char path[256];
  char file[300];
  snprintf (path, sizeof path, "%s/%s", base, name);
  mkdir (path, 0700);
  snprintf (file, sizeof file, "%s/a.conf", path);
  FILE *out = fopen (file, "w");
  assert_non_null (out);
  fputs (text, out);
  fclose (out);
  return path;
}

static void
remove_folder (const char *base, const char *name)
{
  char path[300];
  snprintf (path, sizeof path, "%s/%s/a.conf", base, name);
  unlink (path);
  snprintf (path, sizeof path, "%s/%s", base, name);
  rmdir (path);
}

/* Guards against warnings that a script takes for a refusal, and against errors that --strict hides
   or that a comparison replaces. */
static void
check_tells_errors_from_warnings (void **state)
{
  (void) state;
  static const char warned[] = "team t { region = r\n quota_cpu_milli = 4 }\n"
                               "batch b { team = t cpu_milli = 5 memory_mb = 1 }\n";
  static const struct {
    const char *text;
    const char *options[3];
    int exit_code;
    const char *out;
    const char *err;
  } cases[] = {
    { "cell { partitions = 3 }", { "--strict" }, 0, "1 files, 1 values, no problem\n", "" },
    { warned,
      { NULL },
      0,
      "no error, 1 warning\n",
      "a.conf:3: warning: task_above_quota: batch.b.cpu_milli: a task needs cpu_milli 5; " },
    { warned, { "--strict" }, 1, "no error, 1 warning\n", "(a.conf:2)\n" },
    { warned, { "--strict", "--json" }, 1, "\"code\": \"task_above_quota\"", NULL },
    { warned, { "--json" }, 0, "\"ok\": true", NULL },
    { "cell { partitions = 0 }", { "--strict" }, 2, "", "a.conf:1: invalid: cell.partitions" },
    { "cell { partitions = 0 }", { "--json" }, 2, "\"ok\": false", NULL },
    { "cell { partitions = 0 }", { "--against=nowhere" }, 2, "", "a.conf:1: invalid" },
    { warned, { "--against=nowhere" }, 2, "", "invalid: against: 'nowhere'" },
    { warned, { "--against=tests/test_cli.c" }, 2, "", "invalid: against: 'tests/test_cli.c'" },
    { warned, { "--against=http://127.0.0.1:1" }, 3, "", "unavailable" },
    { "cell { partitions = 3 }",
      { "--against=examples/agora" },
      0,
      "~ cell.partitions: 16 -> 3  # a.conf:1\n",
      NULL },
  };
  char base[] = "/tmp/test_cli.XXXXXX";
  assert_non_null (mkdtemp (base));
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const char *const *options = cases[i].options;
    const char *args[] = { "config",
                           "check",
                           write_folder (base, "f", cases[i].text),
                           options[0],
                           options[0] ? options[1] : NULL,
                           NULL };
    expect (i, run (args), cases[i].exit_code, cases[i].out, cases[i].err);
  }
  remove_folder (base, "f");
  rmdir (base);
}

/* Guards against a comparison with another version than the one in force, and against differences
   without a place. */
static void
check_compares_with_the_version_in_force (void **state)
{
  (void) state;
  CliStub *stub = cli_stub_start ();
  CliStubLog log = { .earlier = 1 };
  cli_stub_log (stub, &log);
  char against[128];
  snprintf (against, sizeof against, "--against=%s", cli_stub_url (stub));
  static const struct {
    const char *json;
    const char *out[4];
  } cases[] = {
    { NULL,
      { ", version 1\n", "~ team.sport.region: south -> attica  # 10-teams.conf:6\n",
        "+ cell.partitions = 16  # 00-cell.conf:5\n",
        "- team.other.region = south  # a.conf:2\n" } },
    { "--json",
      { "\"version\": 1", "\"change\": \"removed\"", "\"file\": \"00-cell.conf\"",
        "\"warnings\": []" } },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const char *args[] = { "config", "check", "examples/agora", against, cases[i].json, NULL };
    Result result = run (args);
    for (size_t k = 0; k < 4; k++) {
      if (!strstr (result.out.data, cases[i].out[k]))
        fail_msg ("case %zu: '%s' is missing in\n%s", i, cases[i].out[k], result.out.data);
    }
    expect (i, result, 0, NULL, "");
  }
  cli_stub_answer (stub, 401, "{\"error\":{\"code\":\"denied\",\"detail\":\"no token\"}}");
  const char *refused[] = { "config", "check", "examples/agora", against, "--json", NULL };
  expect (2, run (refused), 3, "", "denied: no token");
  cli_stub_stop (stub);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (input_errors_name_the_setting),
    cmocka_unit_test (requests_and_responses_match_the_api),
    cmocka_unit_test (publish_reports_the_verdict_of_the_log),
    cmocka_unit_test (diff_lists_added_removed_and_changed),
    cmocka_unit_test (check_tells_errors_from_warnings),
    cmocka_unit_test (check_compares_with_the_version_in_force),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
