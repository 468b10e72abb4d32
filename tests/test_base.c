/* Base library: strings, errors, options, events, metrics, logs. Guards against input that is
   accepted although it is malformed or does not fit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/gr_ids.h"
#include "base/gr_log.h"
#include "base/gr_metric.h"
#include "base/gr_name_key.h"
#include "base/gr_opt.h"

static void
int64_parsing_rejects_malformed_text (void **state)
{
  (void) state;
  static const struct {
    const char *text;
    bool ok;
    int64_t value;
  } cases[] = {
    { "0", true, 0 },
    { "-7", true, -7 },
    { "9223372036854775807", true, INT64_MAX },
    { "9223372036854775808", false, 0 },
    { "", false, 0 },
    { "12x", false, 0 },
    { " 12", false, 0 },
    { "+1", false, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    int64_t value = 0;
    assert_int_equal (gr_str_to_int64 (gr_str_from_c (cases[i].text), &value), cases[i].ok);
    assert_int_equal (value, cases[i].value);
  }
}

static void
names_reject_text_that_does_not_fit (void **state)
{
  (void) state;
  char text[GR_NAME_MAX + 2];
  memset (text, 'a', sizeof text);
  GrName name;
  assert_true (gr_name_set (&name, (GrStr){ text, GR_NAME_MAX }));
  assert_int_equal (name.len, GR_NAME_MAX);
  assert_false (gr_name_set (&name, (GrStr){ text, GR_NAME_MAX + 1 }));
  assert_int_equal (name.len, 0);
}

/* Guards against two names that are taken for one, and against a short name that is given as the
   key of a long one. */
static void
name_keys_tell_texts_apart (void **state)
{
  (void) state;
#define SIXTY "123456789012345678901234567890123456789012345678901234567890"
  static const char *const texts[]
      = { "", "a", SIXTY "123", SIXTY "124", SIXTY "1234", SIXTY "1235", SIXTY SIXTY "1",
          SIXTY SIXTY "2",
          /* What SIXTY "1234" is replaced by. */
          "sha224:3b30d90aba8ac407502cacf45be78b8be31f8ade1d314f5b810c830e", "sha224:", "sha224" };
  enum {
    TEXTS = sizeof texts / sizeof texts[0]
  };
  GrName keys[TEXTS];
  for (size_t i = 0; i < TEXTS; i++) {
    GrStr text = gr_str_from_c (texts[i]);
    keys[i] = gr_name_key (text);
    for (size_t k = 0; k < i; k++)
      assert_false (gr_name_equal (&keys[k], &keys[i]));
    GrName again = gr_name_key (text);
    assert_true (gr_name_equal (&keys[i], &again));
    bool kept = text.len <= GR_NAME_MAX && strncmp (texts[i], "sha224:", 7) != 0;
    assert_int_equal (gr_str_equal (gr_name_str (&keys[i]), text), kept);
  }
  assert_true (gr_str_equal (gr_name_str (&keys[4]), gr_str_from_c (texts[8])));
}

/* Guards against answers to a process that has ended, which its successor takes for its own: the
   ids of two processes never meet, also if they start in the same ms or after a clock was set
   back. */
static void
ids_name_their_process (void **state)
{
  (void) state;
  static const struct {
    const char *vm;
    int64_t incarnation;
    uint64_t random;
  } starts[] = { { "vm", 1, 0 }, { "vm", 2, 0 }, { "vm", 1, 7 }, { "vm2", 1, 0 } };
  enum {
    STARTS = sizeof starts / sizeof starts[0]
  };
  GrIds ids[STARTS];
  for (size_t i = 0; i < STARTS; i++) {
    GrVmRef vm = { gr_name (starts[i].vm), starts[i].incarnation };
    gr_ids_init (&ids[i], &vm, starts[i].random);
  }
  for (int round = 0; round < 3; round++) {
    for (size_t i = 0; i < STARTS; i++) {
      int64_t id = gr_ids_next (&ids[i]);
      assert_true (id > 0);
      for (size_t k = 0; k < STARTS; k++)
        assert_int_equal (gr_ids_is_own (&ids[k], id), i == k);
    }
  }
}

static void
error_names_round_trip (void **state)
{
  (void) state;
  for (int code = GR_ERR_NONE + 1; code < GR_ERR_COUNT; code++) {
    const char *name = gr_err_name ((GrErrCode) code);
    assert_int_equal (gr_err_from_name (gr_str_from_c (name)), code);
  }
}

typedef struct {
  const char *name;
  int64_t port;
  bool fast;
} Settings;

static const GrOptSpec specs[] = {
  { "vm-id", GR_OPT_TEXT, offsetof (Settings, name), "ID", NULL, 0, 0, "id of this VM" },
  { "port", GR_OPT_INT, offsetof (Settings, port), "PORT", "80", 1, 65535, "port" },
  { "fast", GR_OPT_FLAG, offsetof (Settings, fast), NULL, NULL, 0, 0, "be fast" },
};

static void
options_are_checked_and_flags_override_the_environment (void **state)
{
  (void) state;
  static const struct {
    const char *argv[4];
    const char *env_port;
    bool ok;
    GrErrCode code;
    const char *field;
    int64_t port;
  } cases[] = {
    { { "p", "--vm-id=a", NULL }, NULL, true, GR_ERR_NONE, "", 80 },
    { { "p", "--vm-id=a", NULL }, "81", true, GR_ERR_NONE, "", 81 },
    { { "p", "--vm-id=a", "--port=82" }, "81", true, GR_ERR_NONE, "", 82 },
    { { "p", "--vm-id=a", "--port=0" }, NULL, false, GR_ERR_INVALID, "port", 0 },
    { { "p", "--vm-id=a", NULL }, "", true, GR_ERR_NONE, "", 80 },
    { { "p", "--vm-id=a", NULL }, "x", false, GR_ERR_INVALID, "port", 0 },
    { { "p", NULL }, NULL, false, GR_ERR_MISSING, "vm-id", 0 },
    { { "p", "--vm-id=a", "--nope" }, NULL, false, GR_ERR_UNKNOWN_FIELD, "arguments", 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    unsetenv ("GENTIANRELAY_VM_ID");
    unsetenv ("GENTIANRELAY_PORT");
    if (cases[i].env_port)
      setenv ("GENTIANRELAY_PORT", cases[i].env_port, 1);
    int argc = 0;
    while (argc < 4 && cases[i].argv[argc])
      argc++;
    Settings settings = { 0 };
    GrOptVerdict verdict;
    GrErr err = { 0 };
    bool ok = gr_opt_parse ("p", "test", specs, 3, argc, (char **) cases[i].argv, &settings, NULL,
                            0, NULL, &verdict, &err);
    assert_int_equal (ok, cases[i].ok);
    if (ok) {
      assert_int_equal (settings.port, cases[i].port);
    } else {
      assert_int_equal (err.code, cases[i].code);
      assert_true (gr_str_equal (gr_name_str (&err.field), gr_str_from_c (cases[i].field)));
    }
  }
}

static void
event_numbers_are_unique (void **state)
{
  (void) state;
  size_t count;
  const GrEventInfo *events = gr_log_events (&count);
  for (size_t i = 1; i < count; i++)
    assert_true (events[i].event > events[i - 1].event);
}

static void
histogram_buckets_are_cumulative (void **state)
{
  (void) state;
  GrMetrics *metrics = gr_calloc (1, sizeof *metrics);
  gr_metric_observe (metrics, GR_METRIC_WAIT_MS, 3);
  gr_metric_observe (metrics, GR_METRIC_WAIT_MS, 1 << 30);
  GrBuf out = { 0 };
  gr_metric_render (metrics, &out);
  assert_non_null (strstr (out.data, "gentianrelay_wait_ms_bucket{le=\"2\"} 0\n"));
  assert_non_null (strstr (out.data, "gentianrelay_wait_ms_bucket{le=\"4\"} 1\n"));
  assert_non_null (strstr (out.data, "gentianrelay_wait_ms_bucket{le=\"+Inf\"} 2\n"));
  gr_buf_clear (&out);
  free (metrics);
}

/* Guards against a daemon that blocks because its log is not read, and against dropped lines that
   are not reported. */
static void
log_does_not_block_and_reports_dropped_lines (void **state)
{
  (void) state;
  enum {
    LINES = 5000
  };
  GrLog log = { gr_name ("vm"), "test" };
  int pipe_fds[2];
  assert_int_equal (pipe (pipe_fds), 0);
  gr_log_set_fd (pipe_fds[1]);
  uint64_t dropped_before = gr_log_dropped ();
  for (int i = 0; i < LINES; i++)
    gr_log (&log, GR_EV_START, "number=%d and some text to make it longer", i);
  uint64_t dropped = gr_log_dropped () - dropped_before;
  assert_in_range (dropped, 1, LINES - 1);

  char *text = malloc (LINES * 256);
  assert_non_null (text);
  size_t len = 0;
  /* Buffered lines are written only when a further line is logged. */
  for (int i = 0; i < 8; i++) {
    ssize_t got = read (pipe_fds[0], text + len, 65536);
    assert_true (got > 0);
    len += (size_t) got;
    gr_log (&log, GR_EV_STOP_END, "last=%d", i);
  }
  text[len] = '\0';
  size_t lines = 0;
  uint64_t reported = 0;
  for (char *line = strtok (text, "\n"); line; line = strtok (NULL, "\n")) {
    assert_int_equal (line[0], '<');
    const char *dropped_event = strstr (line, "E106");
    if (dropped_event)
      reported += strtoull (strstr (dropped_event, "lines=") + 6, NULL, 10);
    lines += strstr (line, "E100") != NULL;
  }
  assert_int_equal (reported, dropped);
  assert_int_equal (lines, LINES - dropped);
  free (text);
  gr_log_set_fd (-1);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (int64_parsing_rejects_malformed_text),
    cmocka_unit_test (names_reject_text_that_does_not_fit),
    cmocka_unit_test (name_keys_tell_texts_apart),
    cmocka_unit_test (ids_name_their_process),
    cmocka_unit_test (error_names_round_trip),
    cmocka_unit_test (options_are_checked_and_flags_override_the_environment),
    cmocka_unit_test (event_numbers_are_unique),
    cmocka_unit_test (log_does_not_block_and_reports_dropped_lines),
    cmocka_unit_test (histogram_buckets_are_cumulative),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
