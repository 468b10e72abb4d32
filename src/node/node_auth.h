/* Bearer tokens of teams. */
#pragma once

#include "cfg/cfg.h"

/* True if the team needs no token or the header "Bearer TOKEN" carries the right one. */
bool node_auth_team (const CfgTeam *team, GrStr authorization);
/* Team whose token the header carries; NULL if it matches none. */
const CfgTeam *node_auth_find (const CfgTree *tree, GrStr authorization);
/* True if any team of the configuration has a token. */
bool node_auth_needed (const CfgTree *tree);
