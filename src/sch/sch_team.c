/* Teams: quota parts and dominant-resource shares. */
#include "sch/sch_priv.h"

SchTeam *
sch_team_get (SchState *s, const GrName *name)
{
  SchTeam *team;
  HASH_FIND (hh, s->teams, name->data, name->len, team);
  if (!team) {
    team = gr_calloc (1, sizeof *team);
    team->name = *name;
    team->weight = 1;
    HASH_ADD_KEYPTR (hh, s->teams, team->name.data, team->name.len, team);
  }
  return team;
}

void
sch_teams_limit (SchState *s, const SchTeamLimit *limits, size_t count)
{
  SchTeam *team;
  for (team = s->teams; team; team = team->hh.next) {
    team->weight = 1;
    memset (&team->quota, 0, sizeof team->quota);
  }
  for (size_t i = 0; i < count; i++) {
    team = sch_team_get (s, &limits[i].team);
    team->weight = limits[i].weight > 0 ? limits[i].weight : 1;
    team->quota = limits[i].quota_part;
  }
}

bool
sch_team_allows (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim)
{
  if (s->options.faults.no_quota_check)
    return true;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (team->quota.v[d] > 0 && need->v[d] > 0
        && (int64_t) team->used.v[d] + need->v[d] > team->quota.v[d]) {
      *dim = (GrResDim) d;
      return false;
    }
  }
  return true;
}

double
sch_team_share (const SchState *s, const SchTeam *team)
{
  double share = 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int32_t total = s->targets.usable_total.v[d];
    double part = total > 0 ? (double) team->used.v[d] / total : 0;
    share = part > share ? part : share;
  }
  return share / team->weight;
}
