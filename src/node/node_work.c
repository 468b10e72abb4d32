#include "node/node_work.h"

#include <stdlib.h>
#include <xxhash.h>

#include "node/node_config.h"
#include "node/node_own.h"
#include "node/node_parts.h"

#define WORK_TICK_MS 1000
/* For this long after its removal, work is cancelled by each owner of its partition. */
#define REMOVED_KEEP_MS 60000

/* A service without a declared run time is expected to run until it is stopped. */
#define SERVICE_RUN_MS (30LL * 24 * 3600 * 1000)

typedef struct {
  GrName id;
  int64_t submitted_epoch; /* partition epoch of the last submission by this VM; 0: none */
  bool present;            /* in the configuration in force */
  int64_t removed_ms;      /* when a new version no longer contained it; valid if not present */
  int64_t cancelled_epoch; /* partition epoch of the last cancellation; 0: none since removal */
} WorkItem;

struct NodeWork {
  Node *node;
  GR_LIST (WorkItem) items;
  uv_timer_t timer;
};

/* The id is made from the work and not from the configuration's version, so that a new version with
   the same work does not start it again. */
static GrName
work_id (const CfgWork *work)
{
  GrBuf text = { 0 };
  gr_buf_printf (&text, "%d/%.*s/%lld/%lld", (int) work->policy, GR_NAME_ARG (work->team),
                 (long long) work->tasks, (long long) work->run_ms);
  for (int d = 0; d < GR_RES_COUNT; d++)
    gr_buf_printf (&text, "/%d", work->demand.v[d]);
  gr_buf_append_str (&text, work->payload);
  uint64_t hash = XXH64 (text.data, text.len, 0);
  gr_buf_clear (&text);
  /* The name is truncated so that a task id has room for "/INDEX". */
  return gr_name_format (JOB_CONFIG_PREFIX "%.*s:%08x", work->name.len > 36 ? 36 : work->name.len,
                         work->name.data, (unsigned) (hash & 0xffffffffU));
}

/* Stores the ownership epoch of the id's partition; false if this VM does not act for it now. */
static bool
acting_epoch (Node *node, const GrName *id, int64_t *epoch)
{
  int32_t parts = node_own_parts (node);
  GrVmRef owner;
  if (parts == 0 || !node_parts_acting (node, id))
    return false;
  GrName key = node_part_key (&node->region, job_part (id, parts));
  return node_own_owner (node, &key, &owner, epoch);
}

static void
submit_work (Node *node, const CfgWork *work, const GrName *id)
{
  static const JobPolicy policies[] = { [CFG_POLICY_SERVICE] = JOB_POLICY_SERVICE,
                                        [CFG_POLICY_BATCH] = JOB_POLICY_BATCH,
                                        [CFG_POLICY_GANG] = JOB_POLICY_GANG };
  const CfgTeam *team = cfg_team (node_config_tree (node), &work->team);
  NodeCallBody body = { .verb = NODE_VERB_JOB, .id = *id, .region = node->region };
  body.spec.id = *id;
  body.spec.team = work->team;
  body.spec.kind = work->name;
  body.spec.policy = policies[work->policy];
  body.spec.idempotent = true;
  body.spec.tasks = (int32_t) work->tasks;
  body.spec.priority = team ? (int32_t) team->priority : 0;
  body.spec.demand = work->demand;
  body.spec.run_ms = work->run_ms;
  if (work->policy == CFG_POLICY_SERVICE && work->run_ms == 0)
    body.spec.run_ms = SERVICE_RUN_MS;
  body.spec.deadline_unix_ms = INT64_MAX;
  body.spec.payload = work->payload;
  /* Call 0: nobody waits for the reply. */
  node_parts_call (node, 0, &body);
}

static void
work_tick (uv_timer_t *timer)
{
  NodeWork *work = timer->data;
  Node *node = work->node;
  const CfgTree *tree = node_config_tree (node);
  int64_t now = node_now (node);
  if (node->stopping)
    return;
  for (size_t i = 0; i < work->items.count; i++) {
    WorkItem *item = &work->items.items[i];
    int64_t epoch;
    if (item->present || !acting_epoch (node, &item->id, &epoch) || epoch == item->cancelled_epoch
        || now - item->removed_ms > REMOVED_KEEP_MS)
      continue;
    item->cancelled_epoch = epoch;
    NodeCallBody body = { .verb = NODE_VERB_CANCEL, .id = item->id };
    node_parts_call (node, 0, &body);
  }
  for (size_t w = 0; w < cfg_work_count (tree); w++) {
    const CfgWork *conf = cfg_work_at (tree, w);
    GrName home = node_config_home (node, &conf->team);
    GrName id = work_id (conf);
    int64_t epoch;
    if (!gr_name_equal (&home, &node->region) || !acting_epoch (node, &id, &epoch))
      continue;
    for (size_t i = 0; i < work->items.count; i++) {
      WorkItem *item = &work->items.items[i];
      if (!gr_name_equal (&item->id, &id) || item->submitted_epoch == epoch)
        continue;
      item->submitted_epoch = epoch;
      submit_work (node, conf, &id);
    }
  }
}

void
node_work_config_changed (Node *node)
{
  NodeWork *work = node->work;
  const CfgTree *tree = node_config_tree (node);
  int64_t now = node_now (node);
  for (size_t i = 0; i < work->items.count; i++) {
    WorkItem *item = &work->items.items[i];
    bool present = false;
    for (size_t w = 0; w < cfg_work_count (tree) && !present; w++) {
      GrName id = work_id (cfg_work_at (tree, w));
      present = gr_name_equal (&id, &item->id);
    }
    if (item->present && !present) {
      item->removed_ms = now;
      item->cancelled_epoch = 0;
    }
    item->present = present;
  }
  for (size_t w = 0; w < cfg_work_count (tree); w++) {
    GrName id = work_id (cfg_work_at (tree, w));
    bool known = false;
    for (size_t i = 0; i < work->items.count && !known; i++)
      known = gr_name_equal (&work->items.items[i].id, &id);
    if (!known)
      gr_list_push (&work->items, (WorkItem){ .id = id, .present = true });
  }
}

NodeWork *
node_work_new (Node *node)
{
  NodeWork *work = gr_calloc (1, sizeof *work);
  work->node = node;
  uv_timer_init (node->loop, &work->timer);
  work->timer.data = work;
  uv_timer_start (&work->timer, work_tick, WORK_TICK_MS, WORK_TICK_MS);
  return work;
}

void
node_work_free (NodeWork *work)
{
  uv_close ((uv_handle_t *) &work->timer, NULL);
}
