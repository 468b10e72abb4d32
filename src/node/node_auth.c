#include "node/node_auth.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <stdio.h>

#define DIGEST_HEX (SHA256_DIGEST_LENGTH * 2)

static bool
has_token (const CfgTeam *team)
{
  return team->token_sha256_a.len > 0;
}

/* Writes the SHA-256 of the bearer token to hex, which has room for DIGEST_HEX + 1 bytes. Returns
   false if the header is not "Bearer TOKEN". */
static bool
token_digest (GrStr authorization, char *hex)
{
  GrStr prefix = GR_STR ("Bearer ");
  if (!gr_str_starts_with (authorization, prefix) || authorization.len == prefix.len)
    return false;
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256 ((const unsigned char *) authorization.data + prefix.len, authorization.len - prefix.len,
          digest);
  for (size_t i = 0; i < SHA256_DIGEST_LENGTH; i++)
    snprintf (hex + 2 * i, 3, "%02x", digest[i]);
  return true;
}

/* The configuration stores the hex digest in two halves, because one name cannot hold it. */
static bool
digest_matches (const CfgTeam *team, const char *hex)
{
  char expected[2 * GR_NAME_MAX + 1];
  int len = snprintf (expected, sizeof expected, "%.*s%.*s", GR_NAME_ARG (team->token_sha256_a),
                      GR_NAME_ARG (team->token_sha256_b));
  return len == DIGEST_HEX && CRYPTO_memcmp (expected, hex, DIGEST_HEX) == 0;
}

bool
node_auth_team (const CfgTeam *team, GrStr authorization)
{
  char hex[DIGEST_HEX + 1];
  if (!team || !has_token (team))
    return true;
  return token_digest (authorization, hex) && digest_matches (team, hex);
}

const CfgTeam *
node_auth_find (const CfgTree *tree, GrStr authorization)
{
  char hex[DIGEST_HEX + 1];
  if (!token_digest (authorization, hex))
    return NULL;
  for (size_t i = 0; i < cfg_team_count (tree); i++) {
    const CfgTeam *team = cfg_team_at (tree, i);
    if (has_token (team) && digest_matches (team, hex))
      return team;
  }
  return NULL;
}

bool
node_auth_needed (const CfgTree *tree)
{
  for (size_t i = 0; i < cfg_team_count (tree); i++) {
    if (has_token (cfg_team_at (tree, i)))
      return true;
  }
  return false;
}
