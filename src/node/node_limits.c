/* Sends team weights and this VM's parts of the team quotas to the local scheduler. */
#include <stdlib.h>

#include "node/node_config.h"
#include "node/node_tasks_priv.h"

void
node_tasks_limits_changed (Node *node)
{
  if (node->tasks)
    node->tasks->limits_due = true;
}

/* Part of a quota that belongs to the group at the index in key order. Each group of the region
   has a fixed part, so that the parts of all owners never add up to more than the quota, whichever
   VMs own the groups. */
static int32_t
quota_part (int64_t quota, size_t index, size_t groups)
{
  int64_t n = (int64_t) groups;
  int64_t i = (int64_t) index;
  return (int32_t) (quota * (i + 1) / n - quota * i / n);
}

static int
compare_keys (const void *a, const void *b)
{
  return gr_name_compare (&(*(NodeGroup *const *) a)->key, &(*(NodeGroup *const *) b)->key);
}

void
node_limits_send (NodeTasks *tasks)
{
  Node *node = tasks->node;
  const CfgTree *tree = node_config_tree (node);
  GR_LIST (NodeGroup *) groups = { 0 };
  for (NodeGroup *group = node_targets_first_group (node); group; group = group->hh.next)
    gr_list_push (&groups, group); /* NOLINT(bugprone-sizeof-expression): a list of pointers */
  if (groups.count > 0)
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    qsort (groups.items, groups.count, sizeof *groups.items, compare_keys);
  GR_LIST (SchTeamLimit) limits = { 0 };
  for (size_t t = 0; t < cfg_team_count (tree); t++) {
    const CfgTeam *team = cfg_team_at (tree, t);
    SchTeamLimit limit = { .team = team->name, .weight = (int32_t) team->priority + 1 };
    for (int d = 0; d < GR_RES_COUNT; d++) {
      int64_t quota = team->quota.v[d];
      int64_t part = 0;
      for (size_t g = 0; quota > 0 && g < groups.count; g++) {
        if (groups.items[g]->state == NODE_GROUP_OWNED)
          part += quota_part (quota, g, groups.count);
      }
      /* The scheduler reads 0 as "no limit" and a negative value as "none". */
      limit.quota_part.v[d] = quota > 0 && part == 0 ? -1 : (int32_t) part;
    }
    gr_list_push (&limits, limit);
  }
  SchMsg msg = { .kind = SCH_MSG_LIMITS, .limits = { limits.items, limits.count } };
  node_tasks_step (tasks, &msg);
  gr_list_clear (&limits);
  gr_list_clear (&groups);
}
