#include "node/node_config.h"

#include <stdlib.h>

#include "node/node_list.h"
#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_stream.h"
#include "node/node_tasks.h"
#include "node/node_work.h"

#define CONFIG_POLL_MS 500
/* Delay after a failed append of the snapshot. */
#define CONFIG_RETRY_MS 5000

struct NodeConfig {
  Node *node;
  GrLog log;
  CfgStore *store;
  NodeStream *stream;
  bool ready;
  int64_t snapshot_next_ms;
};

/* Applies a version that has come into force and announces it to all peers. */
static void
apply_version (NodeConfig *config, const char *source)
{
  int64_t version = cfg_store_version (config->store);
  gr_log (&config->log, GR_EV_CONFIG_IN_FORCE, "version %lld from %s", (long long) version, source);
  gr_metric_set (&config->node->metrics, GR_METRIC_CONFIG_VERSION, version);
  NodeWire wire = { .kind = NODE_WIRE_CONFIG_OFFER, .config = { .version = version } };
  node_peers_broadcast (config->node, &(GrName){ 0 }, &wire);
  node_tasks_limits_changed (config->node);
  node_work_config_changed (config->node);
}

static void
on_record (void *user, int64_t offset, const GrVmRef *writer, GrStr bytes)
{
  NodeConfig *config = user;
  CfgProblem problem = { 0 };
  (void) writer;
  switch (cfg_store_record (config->store, offset, bytes, &problem)) {
  case CFG_ACCEPTED:
    apply_version (config, "log");
    break;
  case CFG_CONFLICT:
  case CFG_REJECTED:
    gr_log (&config->log, GR_EV_CONFIG_REJECTED, "offset %lld: %s: %.*s line %lld: %s",
            (long long) offset, gr_err_name (problem.code), GR_NAME_ARG (problem.file),
            (long long) problem.line, problem.detail);
    break;
  case CFG_STALE:
    break;
  }
}

static void
snapshot_done (void *user, bool ok)
{
  NodeConfig *config = user;
  if (!ok)
    config->snapshot_next_ms = node_now (config->node) + CONFIG_RETRY_MS;
}

/* Appends a snapshot of the version in force before retention removes the previous one, so that the
   configuration survives a restart of all VMs. Only one VM of the cell does so: the owner of the
   first partition of the first region. */
static void
append_snapshot (NodeConfig *config)
{
  Node *node = config->node;
  int64_t now = node_now (node);
  if (now < config->snapshot_next_ms || cfg_store_version (config->store) == 0)
    return;
  config->snapshot_next_ms = now + node->settings->snapshot_interval_ms;
  GrName region = node_list_first_region (node);
  GrName key = node_part_key (&region, 0);
  if (node_own_is_self (node, &key))
    node_stream_append_raw (config->stream, cfg_store_record_in_force (config->store),
                            snapshot_done);
}

static void
on_at_end (void *user, int64_t sent_ms)
{
  NodeConfig *config = user;
  (void) sent_ms;
  config->ready = true;
  append_snapshot (config);
}

static void
on_committed (void *user, int64_t token)
{
  (void) user;
  (void) token;
}

NodeConfig *
node_config_new (Node *node, GrErr *err)
{
  static const NodeStreamEvents events
      = { .record = on_record, .at_end = on_at_end, .committed = on_committed, .raw = true };
  NodeConfig *config = gr_calloc (1, sizeof *config);
  config->node = node;
  config->log = node_log_context (node, "config");
  config->store = cfg_store_new ();
  config->snapshot_next_ms = node_now (node) + node->settings->snapshot_interval_ms;
  config->stream = node_stream_new (node, "config", CONFIG_POLL_MS, &events, config, err);
  if (!config->stream) {
    cfg_store_free (config->store);
    free (config);
    return NULL;
  }
  return config;
}

void
node_config_free (NodeConfig *config)
{
  node_stream_free (config->stream);
}

bool
node_config_ready (const Node *node)
{
  return node->config->ready;
}

const CfgTree *
node_config_tree (const Node *node)
{
  return cfg_store_tree (node->config->store);
}

int64_t
node_config_version (const Node *node)
{
  return cfg_store_version (node->config->store);
}

void
node_config_peer_up (Node *node, const GrName *vm)
{
  NodeWire wire = { .kind = NODE_WIRE_CONFIG_OFFER,
                    .config = { .version = cfg_store_version (node->config->store) } };
  node_peers_send (node, vm, &wire, NULL);
}

GrStr
node_config_record (const Node *node)
{
  return cfg_store_record_in_force (node->config->store);
}

/* An offer has one of three forms: the version alone, a request for the record of a version above
   the sender's own (want), or a version with its record. The record is sent only on request. */
void
node_config_offer (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeConfig *config = node->config;
  int64_t version = cfg_store_version (config->store);
  NodeWire answer = { .kind = NODE_WIRE_CONFIG_OFFER, .config = { .version = version } };
  if (wire->config.want) {
    if (version <= wire->config.version)
      return;
    answer.config.record = cfg_store_record_in_force (config->store);
    node_peers_send (node, from, &answer, NULL);
  } else if (wire->config.record.len > 0) {
    if (cfg_store_offer (config->store, wire->config.version, wire->config.record)
        == CFG_ACCEPTED) {
      config->ready = true;
      apply_version (config, "peer");
    }
  } else if (wire->config.version > version) {
    answer.config.want = true;
    node_peers_send (node, from, &answer, NULL);
  }
}

GrName
node_config_home (const Node *node, const GrName *team)
{
  const CfgTeam *found = cfg_team (node_config_tree (node), team);
  if (found && found->region.len > 0)
    return found->region;
  return node_list_first_region (node);
}
