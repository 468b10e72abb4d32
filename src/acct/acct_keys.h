/* Keys of client accounts: which account a key belongs to.

   For calls with unknown or withdrawn keys, or keys of other accounts, at the full rate of calls on
   a VM with 0.09 of a core: a lookup costs one SHA-256, one hash lookup and one comparison,
   whatever the number of keys.

   The table holds digests only, never a key. It does no I/O and writes no log lines. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct AcctKeys AcctKeys;

typedef enum {
  ACCT_KEY_ADDED,   /* also if the account has the key already */
  ACCT_KEY_SHARED,  /* another account has it too: it belongs to neither */
  ACCT_KEY_UNUSABLE /* empty, or its digest could not be computed; not added */
} AcctKeyResult;

/* Returns an empty table. */
AcctKeys *acct_keys_new (void);
void acct_keys_free (AcctKeys *keys);
/* Adds a key of an account, which is any number that the caller chooses. The key is not kept. */
AcctKeyResult acct_keys_add (AcctKeys *keys, GrStr key, uint32_t account);
/* Finds the account of a key. False for a key that is unknown or shared; then *account is not set.
   The time does not depend on how much of a stored digest equals that of the key. */
bool acct_keys_find (const AcctKeys *keys, GrStr key, uint32_t *account);
/* Number of different keys, shared ones included. */
size_t acct_keys_count (const AcctKeys *keys);

#ifdef __cplusplus
}
#endif
