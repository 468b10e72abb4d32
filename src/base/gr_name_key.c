#include "base/gr_name_key.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>

/* The prefix and the digest in hex fill a name. */
#define DIGEST_PREFIX "sha224:"
#define DIGEST_BYTES 28

GrName
gr_name_key (GrStr text)
{
  GrName name;
  if (!gr_str_starts_with (text, GR_STR (DIGEST_PREFIX)) && gr_name_set (&name, text))
    return name;
  unsigned char digest[DIGEST_BYTES];
  if (EVP_Digest (text.data, text.len, digest, NULL, EVP_sha224 (), NULL) != 1)
    abort ();
  char hex[2 * DIGEST_BYTES + 1];
  for (size_t i = 0; i < DIGEST_BYTES; i++)
    snprintf (hex + 2 * i, 3, "%02x", digest[i]);
  return gr_name_format (DIGEST_PREFIX "%s", hex);
}
