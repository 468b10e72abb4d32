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

static bool
digest_of (GrStr authorization, char *hex)
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

static bool
matches (const CfgTeam *team, const char *hex)
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
  return digest_of (authorization, hex) && matches (team, hex);
}

const CfgTeam *
node_auth_find (const CfgTree *tree, GrStr authorization)
{
  char hex[DIGEST_HEX + 1];
  if (!digest_of (authorization, hex))
    return NULL;
  for (size_t i = 0; i < cfg_team_count (tree); i++) {
    const CfgTeam *team = cfg_team_at (tree, i);
    if (has_token (team) && matches (team, hex))
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
