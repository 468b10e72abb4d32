/* Order of the starts that wait for a path. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cell/cell_start_queue.h"

#define STARTS_MAX 8
#define MANY 60000

/* Starts are named by the letters of a text, in their order of arrival; digits are their
   priorities. Those in late have a deadline before the time of the expiry. */
typedef struct {
  const char *name;
  const char *starts, *priorities, *late;
  const char *expired, *popped;
} QueueCase;

static const QueueCase cases[] = {
  { "empty", "", "", "", "", "" },
  { "equal ones in the order of arrival", "abcde", "11111", "", "", "abcde" },
  { "the most urgent first", "abcde", "30121", "", "", "bceda" },
  { "one is late", "abcd", "2120", "c", "c", "dba" },
  { "the first is late", "abcd", "0123", "a", "a", "bcd" },
  { "all are late", "abc", "210", "abc", "abc", "" },
};

static void
test_order_and_expiry (void **state)
{
  (void) state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    const QueueCase *test_case = &cases[i];
    CellStartQueue queue = { 0 };
    CellStarts expired = { 0 };
    char starts[STARTS_MAX + 1] = "", popped[STARTS_MAX + 1] = "", gone[STARTS_MAX + 1] = "";
    strncpy (starts, test_case->starts, STARTS_MAX);
    print_message ("%s\n", test_case->name);
    for (size_t k = 0; starts[k]; k++) {
      int64_t send_by = strchr (test_case->late, starts[k]) ? 10 : 20;
      cell_start_queue_push (&queue, test_case->priorities[k] - '0', send_by, &starts[k]);
    }
    cell_start_queue_expire (&queue, 15, &expired);
    /* The order of those is not defined. */
    for (size_t k = 0; k < expired.count; k++)
      gone[k] = *(char *) expired.items[k];
    assert_int_equal (strlen (gone), strlen (test_case->expired));
    for (size_t k = 0; gone[k]; k++)
      assert_non_null (strchr (test_case->expired, gone[k]));
    char *start;
    for (size_t k = 0; (start = cell_start_queue_pop (&queue)) != NULL; k++)
      popped[k] = *start;
    assert_string_equal (popped, test_case->popped);
    gr_list_clear (&expired);
    cell_start_queue_clear (&queue);
  }
}

/* Guards against a leader that hangs in its queue of starts: tasks without a demand start by tens
   of thousands at once. With a queue that is searched for each start this takes minutes. */
static void
test_many_starts (void **state)
{
  (void) state;
  CellStartQueue queue = { 0 };
  static int32_t priorities[MANY];
  for (size_t i = 0; i < MANY; i++) {
    priorities[i] = (int32_t) (i * 7919 % 5);
    cell_start_queue_push (&queue, priorities[i], 0, &priorities[i]);
  }
  const int32_t *last = NULL, *start;
  size_t count = 0;
  for (; (start = cell_start_queue_pop (&queue)) != NULL; count++) {
    assert_true (!last || *last < *start || (*last == *start && last < start));
    last = start;
  }
  assert_int_equal (count, MANY);
  cell_start_queue_clear (&queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order_and_expiry),
    cmocka_unit_test (test_many_starts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
