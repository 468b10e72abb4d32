/* Teams: quota parts, and dominant resource fairness by weighted shares. */
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

static double
dominant_share (const SchState *s, const GrRes *used)
{
  double share = 0;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    int32_t total = s->targets.usable_total.v[d];
    double part = total > 0 ? (double) used->v[d] / total : 0;
    share = part > share ? part : share;
  }
  return share;
}

static void
update_share (const SchState *s, SchTeam *team)
{
  team->share = dominant_share (s, &team->used) / team->weight;
  team->share_not_bulk = dominant_share (s, &team->used_not_bulk) / team->weight;
}

void
sch_teams_update_shares (SchState *s)
{
  for (SchTeam *team = s->teams; team; team = team->hh.next)
    update_share (s, team);
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
  sch_teams_update_shares (s);
}

bool
sch_team_allows (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim)
{
  if (s->options.faults.no_quota_check)
    return true;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (team->quota.v[d] != 0 && need->v[d] > 0
        && (int64_t) team->used.v[d] + need->v[d] > team->quota.v[d]) {
      *dim = (GrResDim) d;
      return false;
    }
  }
  return true;
}

bool
sch_team_could_allow (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim)
{
  if (s->options.faults.no_quota_check)
    return true;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (team->quota.v[d] != 0 && need->v[d] > 0 && need->v[d] > team->quota.v[d]) {
      *dim = (GrResDim) d;
      return false;
    }
  }
  return true;
}

void
sch_team_mark_bulk (SchState *s, SchTeam *team, const GrRes *change)
{
  gr_res_sub (&team->used_not_bulk, change);
  update_share (s, team);
}

void
sch_team_use (SchState *s, SchTeam *team, const GrRes *change, int sign, bool bulk)
{
  for (int d = 0; d < GR_RES_COUNT; d++) {
    team->used.v[d] += sign * change->v[d];
    team->used_not_bulk.v[d] += bulk ? 0 : sign * change->v[d];
  }
  update_share (s, team);
  if (sign < 0 && team->quota_blocked && !team->in_retry_teams) {
    team->in_retry_teams = true;
    gr_list_push (&s->retry_teams, team); // NOLINT(bugprone-sizeof-expression): pointers
  }
}
