/* Bearer tokens of teams: an HTTP Authorization header is checked against the SHA-256 digest in the
   configuration. */
#pragma once

#include "cfg/cfg.h"

/* Returns true if the team is NULL or has no token, or if the header "Bearer TOKEN" contains its
   token. */
bool node_auth_team (const CfgTeam *team, GrStr authorization);
/* Returns the team whose token the header contains, or NULL. The team belongs to the tree. */
const CfgTeam *node_auth_find (const CfgTree *tree, GrStr authorization);
/* Returns true if at least one team of the configuration has a token. */
bool node_auth_needed (const CfgTree *tree);
