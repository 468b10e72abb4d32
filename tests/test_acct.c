/* Table from the keys of client accounts to the accounts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "acct/acct_keys.h"

/* Guards against a key that opens a foreign account: one that two accounts list, or one that
   resembles a valid key. */
static void
keys_belong_to_one_account_or_none (void **state)
{
  (void) state;
  static const struct {
    const char *key;
    uint32_t account;
    AcctKeyResult result;
  } added[] = { { "alpha", 1, ACCT_KEY_ADDED }, { "beta", 2, ACCT_KEY_ADDED },
                { "alpha", 1, ACCT_KEY_ADDED }, { "", 1, ACCT_KEY_UNUSABLE },
                { "both", 1, ACCT_KEY_ADDED },  { "both", 2, ACCT_KEY_SHARED },
                { "both", 1, ACCT_KEY_SHARED }, { "both", 3, ACCT_KEY_SHARED },
                { "gamma", 0, ACCT_KEY_ADDED } };
  static const struct {
    const char *key;
    int account; /* -1: none */
  } cases[] = { { "alpha", 1 }, { "beta", 2 },    { "gamma", 0 },  { "both", -1 },  { "", -1 },
                { "alph", -1 }, { "alphab", -1 }, { "Alpha", -1 }, { " alpha", -1 } };
  AcctKeys *keys = acct_keys_new ();
  for (size_t i = 0; i < sizeof added / sizeof added[0]; i++)
    assert_int_equal (acct_keys_add (keys, gr_str_from_c (added[i].key), added[i].account),
                      added[i].result);
  assert_int_equal (acct_keys_count (keys), 4);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    uint32_t account = 99;
    bool found = acct_keys_find (keys, gr_str_from_c (cases[i].key), &account);
    if (found != (cases[i].account >= 0) || account != (found ? (uint32_t) cases[i].account : 99))
      fail_msg ("'%s': found=%d account=%u", cases[i].key, found, account);
  }
  acct_keys_free (keys);
}

/* Guards against a table that confuses accounts once it holds the keys of a large cell, and against
   the end of a key being ignored. */
static void
thousands_of_keys_are_told_apart (void **state)
{
  (void) state;
  enum {
    KEYS = 5000,
    ACCOUNTS = 20
  };
  AcctKeys *keys = acct_keys_new ();
  char text[4096];
  memset (text, 'k', sizeof text);
  for (int pass = 0; pass < 2; pass++) {
    for (uint32_t i = 0; i < KEYS; i++) {
      size_t len = 100 + i % 3000;
      memcpy (text + len - 8, &(uint64_t){ i }, 8);
      uint32_t account = ACCOUNTS;
      if (pass == 0)
        assert_int_equal (acct_keys_add (keys, (GrStr){ text, len }, i % ACCOUNTS), ACCT_KEY_ADDED);
      else
        assert_true (acct_keys_find (keys, (GrStr){ text, len }, &account));
      assert_int_equal (account, pass == 0 ? ACCOUNTS : i % ACCOUNTS);
      assert_false (acct_keys_find (keys, (GrStr){ text, len - 1 }, &account));
      memset (text + len - 8, 'k', 8);
    }
  }
  acct_keys_free (keys);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (keys_belong_to_one_account_or_none),
    cmocka_unit_test (thousands_of_keys_are_told_apart),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
