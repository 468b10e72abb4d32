/* Log streams: options, bounds of the queue, retries, gaps and malformed responses. Guards against
   an unbounded queue, a retry with a new sequence number, and a reader that applies a part of a
   malformed response. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "lgs/lgs.h"

static LgsOptions
options_of (const char *vm)
{
  LgsOptions options = { .stream = gr_name ("jobs-r1"), .seed = 3 };
  options.self.vm = gr_name (vm);
  options.self.incarnation = 9;
  return options;
}

static void
options_are_checked (void **state)
{
  (void) state;
  static const struct {
    const char *vm, *stream;
    int64_t interval_ms;
    GrErrCode code;
    const char *field;
  } cases[] = {
    { "e1", "jobs", 0, GR_ERR_NONE, "" },
    { "", "jobs", 0, GR_ERR_MISSING, "self" },
    { "e1", "", 0, GR_ERR_MISSING, "stream" },
    { "e1", "jobs", -5, GR_ERR_INVALID, "group_interval_ms" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    LgsOptions options = options_of (cases[i].vm);
    options.stream = gr_name (cases[i].stream);
    options.group_interval_ms = cases[i].interval_ms;
    GrErr err = { 0 };
    LgsWriter *writer = lgs_writer_new (&options, &err);
    assert_int_equal (writer != NULL, cases[i].code == GR_ERR_NONE);
    assert_int_equal (err.code, cases[i].code);
    assert_true (gr_str_equal (gr_name_str (&err.field), gr_str_from_c (cases[i].field)));
    lgs_writer_free (writer);
  }
}

static void
the_queue_refuses_records_above_its_bounds (void **state)
{
  (void) state;
  static const struct {
    int64_t max_records, max_bytes, max_append;
    size_t len;      /* of each record */
    size_t accepted; /* of 10 added */
    GrErrCode code;
  } cases[] = {
    { 10, 1000, 100, 10, 10, GR_ERR_NONE },
    { 4, 1000, 100, 10, 4, GR_ERR_OVERLOADED },
    { 10, 35, 100, 10, 3, GR_ERR_OVERLOADED },
    { 10, 1000, 9, 10, 0, GR_ERR_TOO_LARGE },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    LgsOptions options = options_of ("e1");
    options.queue_max_records = cases[i].max_records;
    options.queue_max_bytes = cases[i].max_bytes;
    options.append_max_bytes = cases[i].max_append;
    LgsWriter *writer = lgs_writer_new (&options, NULL);
    size_t accepted = 0;
    GrErr err = { 0 };
    for (int n = 0; n < 10; n++)
      accepted += lgs_writer_add (writer, n, (GrStr){ "0123456789", cases[i].len }, &err);
    assert_int_equal (accepted, cases[i].accepted);
    assert_int_equal (lgs_writer_queued (writer), cases[i].accepted);
    assert_int_equal (err.code, cases[i].code);
    lgs_writer_free (writer);
  }
}

static void
an_append_is_retried_with_its_sequence_number_until_it_is_in_the_log (void **state)
{
  (void) state;
  LgsOptions options = options_of ("e1");
  LgsWriter *writer = lgs_writer_new (&options, NULL);
  LgsCmds cmds = { 0 };
  lgs_writer_add (writer, 1, GR_STR ("a"), NULL);
  lgs_writer_add (writer, 2, GR_STR ("b"), NULL);
  lgs_writer_tick (writer, 1000, &cmds);
  assert_int_equal (cmds.count, 1);
  assert_int_equal (cmds.items[0].seq, 1);
  char *first = gr_str_dup (cmds.items[0].bytes);
  size_t first_len = cmds.items[0].bytes.len;
  /* A record added while an append is in flight belongs to the next append. */
  lgs_writer_add (writer, 3, GR_STR ("c"), NULL);
  static const LgsAppendOutcome failures[]
      = { LGS_APPEND_UNKNOWN, LGS_APPEND_REFUSED, LGS_APPEND_UNKNOWN };
  int64_t now_ms = 1000;
  for (size_t i = 0; i < sizeof failures / sizeof failures[0]; i++) {
    gr_list_reset (&cmds);
    lgs_writer_outcome (writer, 1, failures[i], now_ms, &cmds);
    assert_true (lgs_writer_stalled (writer));
    lgs_writer_tick (writer, now_ms, &cmds);
    assert_int_equal (cmds.count, 0); /* the retry delay is not over */
    now_ms += 100 << i;
    lgs_writer_tick (writer, now_ms, &cmds);
    assert_int_equal (cmds.count, 1);
    assert_int_equal (cmds.items[0].seq, 1);
    assert_int_equal (cmds.items[0].bytes.len, first_len);
    assert_memory_equal (cmds.items[0].bytes.data, first, first_len);
  }
  gr_list_reset (&cmds);
  lgs_writer_outcome (writer, 1, LGS_APPEND_OK, now_ms, &cmds);
  assert_int_equal (cmds.count, 2);
  assert_int_equal (cmds.items[0].token, 1);
  assert_int_equal (cmds.items[1].token, 2);
  assert_false (lgs_writer_stalled (writer));
  /* A second outcome for the same sequence number commits nothing. */
  lgs_writer_outcome (writer, 1, LGS_APPEND_OK, now_ms, &cmds);
  assert_int_equal (cmds.count, 2);
  gr_list_reset (&cmds);
  lgs_writer_tick (writer, now_ms + 44, &cmds);
  assert_int_equal (cmds.count, 0); /* the group interval is not over */
  lgs_writer_tick (writer, now_ms + 45, &cmds);
  assert_int_equal (cmds.count, 1);
  assert_int_equal (cmds.items[0].seq, 2);
  gr_list_clear (&cmds);
  free (first);
  lgs_writer_free (writer);
}

typedef struct {
  char text[64]; /* records delivered, one letter each */
} Delivered;

static void
on_record (void *user, int64_t offset, const GrVmRef *writer, GrStr record)
{
  (void) offset;
  (void) writer;
  Delivered *delivered = user;
  strncat (delivered->text, record.data, record.len);
}

/* msgpack of the appends used below: [ "e1", 9, SEQ, [ bin LETTER ] ], 10 bytes. */
#define APPEND(seq, letter)                                                                        \
  "\x94\xa2"                                                                                       \
  "e1\x09" seq "\x91\xc4\x01" letter
#define ENTRY(offset, seq, letter) "\x92" offset "\xc4\x0a" APPEND (seq, letter)
#define BYTES(literal)                                                                             \
  {                                                                                                \
    literal, sizeof (literal) - 1                                                                  \
  }

static void
responses_are_applied_whole_or_not_at_all (void **state)
{
  (void) state;
  static const struct {
    const char *what;
    GrStr response;
    bool ok;
    const char *delivered;
    int64_t next;
    bool at_end, gap;
  } cases[] = {
    { "empty stream", BYTES ("\x93\x00\x00\x90"), true, "", 0, true, false },
    { "one append", BYTES ("\x93\x00\x01\x91" ENTRY ("\x00", "\x01", "a")), true, "a", 1, true,
      false },
    { "duplicate append",
      BYTES ("\x93\x00\x02\x92" ENTRY ("\x00", "\x01", "a") ENTRY ("\x01", "\x01", "a")), true, "a",
      2, true, false },
    { "older sequence number",
      BYTES ("\x93\x00\x02\x92" ENTRY ("\x00", "\x02", "b") ENTRY ("\x01", "\x01", "a")), true, "b",
      2, true, false },
    { "end of the stream not reached", BYTES ("\x93\x00\x05\x91" ENTRY ("\x00", "\x01", "a")), true,
      "a", 1, false, false },
    { "retention removed unread offsets", BYTES ("\x93\x03\x04\x91" ENTRY ("\x03", "\x01", "a")),
      true, "a", 4, true, true },
    { "a malformed append is skipped",
      BYTES ("\x93\x00\x02\x92"
             "\x92\x00\xc4\x01\xc1" ENTRY ("\x01", "\x01", "a")),
      true, "a", 2, true, false },
    { "a missing offset",
      BYTES ("\x93\x00\x03\x92" ENTRY ("\x00", "\x01", "a") ENTRY ("\x02", "\x02", "b")), false, "",
      0, false, false },
    { "a start above the requested offset", BYTES ("\x93\x00\x03\x91" ENTRY ("\x01", "\x01", "a")),
      false, "", 0, false, false },
    { "an offset beyond the end", BYTES ("\x93\x00\x01\x91" ENTRY ("\x01", "\x01", "a")), false, "",
      0, false, false },
    { "first offset above the end", BYTES ("\x93\x05\x01\x90"), false, "", 0, false, false },
    { "not an array", BYTES ("\x01"), false, "", 0, false, false },
    { "empty response", BYTES (""), false, "", 0, false, false },
    { "negative offset", BYTES ("\x93\xff\x01\x90"), false, "", 0, false, false },
    { "a string instead of bytes",
      BYTES ("\x93\x00\x01\x91\x92\x00\xa1"
             "a"),
      false, "", 0, false, false },
    { "trailing bytes", BYTES ("\x93\x00\x00\x90\x00"), false, "", 0, false, false },
    { "declared size without elements", BYTES ("\x93\x00\x01\xdd\xff\xff\xff\xff"), false, "", 0,
      false, false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    LgsOptions options = options_of ("r1");
    LgsReader *reader = lgs_reader_new (&options, 0, NULL);
    Delivered delivered = { "" };
    bool at_end = true, gap = true;
    GrErr err = { 0 };
    bool ok
        = lgs_reader_take (reader, cases[i].response, on_record, &delivered, &at_end, &gap, &err);
    if (ok != cases[i].ok || strcmp (delivered.text, cases[i].delivered) != 0
        || lgs_reader_next (reader) != cases[i].next || at_end != cases[i].at_end
        || gap != cases[i].gap || err.code != (ok ? GR_ERR_NONE : GR_ERR_PROTOCOL))
      fail_msg ("%s: ok %d delivered %s next %lld", cases[i].what, ok, delivered.text,
                (long long) lgs_reader_next (reader));
    lgs_reader_free (reader);
  }
}

static void
a_snapshot_keeps_the_sequence_numbers_of_writers (void **state)
{
  (void) state;
  LgsOptions options = options_of ("r1");
  LgsReader *reader = lgs_reader_new (&options, 0, NULL);
  Delivered delivered = { "" };
  bool at_end, gap;
  GrStr one = BYTES ("\x93\x00\x01\x91" ENTRY ("\x00", "\x01", "a"));
  assert_true (lgs_reader_take (reader, one, on_record, &delivered, &at_end, &gap, NULL));
  GrBuf saved = { 0 };
  lgs_reader_save (reader, &saved);
  lgs_reader_free (reader);
  for (size_t len = 0; len < saved.len; len++)
    assert_null (lgs_reader_restore (&options, (GrStr){ saved.data, len }, NULL));
  reader = lgs_reader_restore (&options, gr_buf_str (&saved), NULL);
  assert_non_null (reader);
  assert_int_equal (lgs_reader_next (reader), 1);
  GrStr late = BYTES ("\x93\x00\x02\x91" ENTRY ("\x01", "\x01", "a"));
  assert_true (lgs_reader_take (reader, late, on_record, &delivered, &at_end, &gap, NULL));
  assert_string_equal (delivered.text, "a"); /* the late duplicate is dropped */
  lgs_reader_free (reader);
  gr_buf_clear (&saved);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (options_are_checked),
    cmocka_unit_test (the_queue_refuses_records_above_its_bounds),
    cmocka_unit_test (an_append_is_retried_with_its_sequence_number_until_it_is_in_the_log),
    cmocka_unit_test (responses_are_applied_whole_or_not_at_all),
    cmocka_unit_test (a_snapshot_keeps_the_sequence_numbers_of_writers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
