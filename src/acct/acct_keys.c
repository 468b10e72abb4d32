#include "acct/acct_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdlib.h>

#include "base/gr_hash_priv.h"

#define DIGEST_BYTES 32

/* The table is indexed by the start of the digest. Its comparison may stop at the first difference,
   but a caller who measures that learns no more than some bits of a digest, which do not help to
   find a key. Whether a key is valid is decided by a comparison of the whole digest in constant
   time. */
typedef struct Key {
  uint64_t index;
  unsigned char digest[DIGEST_BYTES];
  uint32_t account;
  bool shared;
  struct Key *next; /* another digest with the same start */
  UT_hash_handle hh;
} Key;

struct AcctKeys {
  Key *table;
  size_t count;
};

static bool
digest_of (GrStr key, unsigned char digest[DIGEST_BYTES])
{
  unsigned int len = 0;
  return key.len > 0 && EVP_Digest (key.data, key.len, digest, &len, EVP_sha256 (), NULL) == 1
         && len == DIGEST_BYTES;
}

static Key *
find (const AcctKeys *keys, const unsigned char digest[DIGEST_BYTES], uint64_t *index)
{
  Key *first = NULL, *found = NULL;
  memcpy (index, digest, sizeof *index);
  HASH_FIND (hh, keys->table, index, sizeof *index, first);
  for (Key *key = first; key; key = key->next) {
    if (CRYPTO_memcmp (key->digest, digest, DIGEST_BYTES) == 0)
      found = key;
  }
  return found;
}

AcctKeys *
acct_keys_new (void)
{
  return gr_calloc (1, sizeof (AcctKeys));
}

static void
free_chain (Key *key)
{
  while (key) {
    Key *next = key->next;
    free (key);
    key = next;
  }
}

void
acct_keys_free (AcctKeys *keys)
{
  if (!keys)
    return;
  gr_hash_clear (keys->table, free_chain);
  free (keys);
}

AcctKeyResult
acct_keys_add (AcctKeys *keys, GrStr key, uint32_t account)
{
  unsigned char digest[DIGEST_BYTES];
  uint64_t index;
  if (!digest_of (key, digest))
    return ACCT_KEY_UNUSABLE;
  Key *entry = find (keys, digest, &index);
  if (entry) {
    entry->shared |= entry->account != account;
    return entry->shared ? ACCT_KEY_SHARED : ACCT_KEY_ADDED;
  }
  entry = gr_calloc (1, sizeof *entry);
  entry->index = index;
  memcpy (entry->digest, digest, DIGEST_BYTES);
  entry->account = account;
  keys->count++;
  Key *first = NULL;
  HASH_FIND (hh, keys->table, &index, sizeof index, first);
  if (first) {
    entry->next = first->next;
    first->next = entry;
  } else {
    HASH_ADD (hh, keys->table, index, sizeof index, entry);
  }
  return ACCT_KEY_ADDED;
}

bool
acct_keys_find (const AcctKeys *keys, GrStr key, uint32_t *account)
{
  unsigned char digest[DIGEST_BYTES];
  uint64_t index;
  const Key *entry = digest_of (key, digest) ? find (keys, digest, &index) : NULL;
  if (!entry || entry->shared)
    return false;
  *account = entry->account;
  return true;
}

size_t
acct_keys_count (const AcctKeys *keys)
{
  return keys->count;
}
