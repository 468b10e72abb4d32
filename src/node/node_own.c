#include "node/node_own.h"

#include <stdio.h>
#include <stdlib.h>

#include "node/node_config.h"
#include "node/node_list.h"
#include "node/node_parts.h"
#include "node/node_peers.h"
#include "node/node_stream.h"
#include "node/node_targets.h"

#define OWN_TICK_MS 50
#define OWN_POLL_MS 500
#define MEMBERS_MAX OWN_PEERS_MAX
/* Step and range of the search for the end of the lease. */
#define LEASE_SEARCH_STEP_MS 100
#define LEASE_SEARCH_MAX_MS 10000

struct NodeOwn {
  Node *node;
  GrLog log;
  OwnState *state;
  NodeStream *stream;
  uv_timer_t timer;
  int32_t parts;     /* job partitions of the region; 0: configuration not loaded */
  bool read_once;    /* the stream was read to its end */
  bool promise_mode; /* as of the last tick */
  bool keys_sent;    /* OWN_MSG_KEYS was delivered */
};

static void
run_step (NodeOwn *own, const OwnMsg *msg)
{
  OwnCmds cmds = { 0 };
  Node *node = own->node;
  own_step (own->state, msg, node_now (node), &cmds);
  for (size_t i = 0; i < cmds.count; i++) {
    const OwnCmd *cmd = &cmds.items[i];
    switch (cmd->kind) {
    case OWN_CMD_APPEND: {
      const OwnRecord *record = &cmd->append.record;
      GrBuf bytes = { 0 };
      /* Logged before the append: from here on this VM starts nothing under the key. */
      if (record->kind == OWN_RECORD_HANDOVER)
        gr_log (&own->log, GR_EV_KEY_HANDOVER, "%.*s epoch %lld to %.*s", GR_NAME_ARG (record->key),
                (long long) record->epoch, GR_NAME_ARG (record->to.vm));
      own_record_encode (record, &bytes);
      if (!node_stream_append (own->stream, cmd->append.token, gr_buf_str (&bytes), NULL)) {
        OwnMsg failed = { .kind = OWN_MSG_APPEND_RESULT,
                          .append_result = { cmd->append.token, OWN_APPEND_FAILED } };
        run_step (own, &failed);
      }
      gr_buf_clear (&bytes);
      break;
    }
    case OWN_CMD_HEARTBEAT: {
      GrBuf bytes = { 0 };
      own_heartbeat_encode (cmd->heartbeat.heartbeat, &bytes);
      NodeWire wire = { .kind = NODE_WIRE_HEARTBEAT, .heartbeat = gr_buf_str (&bytes) };
      node_peers_send (node, &cmd->heartbeat.to.vm, &wire, NULL);
      gr_buf_clear (&bytes);
      break;
    }
    case OWN_CMD_TAKE_INVENTORY:
      node_targets_take_inventory (node, &cmd->key.key, cmd->key.epoch);
      break;
    case OWN_CMD_KEY_GAINED:
      gr_log (&own->log, GR_EV_KEY_GAINED, "%.*s epoch %lld", GR_NAME_ARG (cmd->key.key),
              (long long) cmd->key.epoch);
      if (node_key_part (&cmd->key.key) >= 0)
        node_parts_gained (node, &cmd->key.key, cmd->key.epoch);
      else
        node_targets_group_gained (node, &cmd->key.key, cmd->key.epoch);
      break;
    case OWN_CMD_KEY_LOST:
      gr_log (&own->log, GR_EV_KEY_LOST, "%.*s epoch %lld", GR_NAME_ARG (cmd->key.key),
              (long long) cmd->key.epoch);
      if (node_key_part (&cmd->key.key) >= 0)
        node_parts_lost (node, &cmd->key.key);
      else
        node_targets_group_lost (node, &cmd->key.key);
      break;
    case OWN_CMD_MEMBER_STATE:
      gr_log (&own->log, GR_EV_MEMBER_STATE, "%.*s inc %lld state %d",
              GR_NAME_ARG (cmd->member.vm.vm), (long long) cmd->member.vm.incarnation,
              (int) cmd->member.state);
      /* A paused VM keeps its links open, but the tasks that wait at its scheduler may have to run
         elsewhere. */
      if (cmd->member.state == OWN_MEMBER_GONE || cmd->member.state == OWN_MEMBER_SUSPECTED)
        node_parts_peer_down (node, &cmd->member.vm.vm);
      break;
    case OWN_CMD_REIDENTIFY:
      gr_log (&own->log, GR_EV_FENCED,
              "this incarnation was declared gone; restarting under a new one");
      node_restart (node);
      break;
    case OWN_CMD_STOPPED:
      node->handed_over = true;
      break;
    }
  }
  own_cmds_clear (&cmds);
}

static void
on_record (void *user, int64_t offset, const GrVmRef *writer, GrStr bytes)
{
  NodeOwn *own = user;
  OwnMsg msg = { .kind = OWN_MSG_RECORD };
  GrErr err = { 0 };
  (void) writer;
  if (!own_record_decode (bytes, &msg.record, &err)) {
    gr_log (&own->log, GR_EV_BAD_INPUT, "ownership record at offset %lld ignored: %s",
            (long long) offset, err.detail);
    return;
  }
  run_step (own, &msg);
}

static void
on_at_end (void *user, int64_t sent_ms)
{
  NodeOwn *own = user;
  own->read_once = true;
  if (!node_list_registered (own->node))
    return;
  OwnMsg msg = { .kind = OWN_MSG_LOG_READ, .log_read = { sent_ms } };
  run_step (own, &msg);
}

static void
on_committed (void *user, int64_t token)
{
  NodeOwn *own = user;
  OwnMsg msg = { .kind = OWN_MSG_APPEND_RESULT, .append_result = { token, OWN_APPEND_COMMITTED } };
  run_step (own, &msg);
  NodeWire hint = { .kind = NODE_WIRE_LOG_HINT };
  node_peers_broadcast (own->node, &own->node->region, &hint);
}

/* Delivers the complete set of keys: partitions and groups. The number of partitions is fixed by
   the first configuration. */
static void
send_keys (NodeOwn *own)
{
  Node *node = own->node;
  if (own->parts == 0) {
    if (!node_config_ready (node))
      return;
    own->parts = (int32_t) cfg_cell (node_config_tree (node))->partitions;
  }
  GR_LIST (GrName) keys = { 0 };
  for (int32_t part = 0; part < own->parts; part++)
    gr_list_push (&keys, node_part_key (&node->region, part));
  for (NodeGroup *group = node_targets_first_group (node); group; group = group->hh.next)
    gr_list_push (&keys, group->key);
  OwnMsg msg = { .kind = OWN_MSG_KEYS, .keys = { keys.items, keys.count } };
  run_step (own, &msg);
  own->keys_sent = true;
  gr_list_clear (&keys);
}

static void
own_tick (uv_timer_t *timer)
{
  NodeOwn *own = timer->data;
  if (!node_list_registered (own->node))
    return;
  if (!own->keys_sent)
    send_keys (own);
  OwnMsg msg = { .kind = OWN_MSG_TICK };
  run_step (own, &msg);
  bool promise_mode = own_in_promise_mode (own->state, node_now (own->node));
  if (promise_mode != own->promise_mode)
    gr_log (&own->log, GR_EV_PROMISE_MODE, "%s", promise_mode ? "on" : "off");
  own->promise_mode = promise_mode;
  gr_metric_set (&own->node->metrics, GR_METRIC_PROMISE_MODE, promise_mode);
  gr_metric_set (&own->node->metrics, GR_METRIC_KEYS_OWNED, (int64_t) own_key_count (own->state));
  GrVmRef members[MEMBERS_MAX];
  gr_metric_set (&own->node->metrics, GR_METRIC_MEMBERS_LIVE,
                 (int64_t) own_members (own->state, members, MEMBERS_MAX));
}

NodeOwn *
node_own_new (Node *node, GrErr *err)
{
  static const NodeStreamEvents events
      = { .record = on_record, .at_end = on_at_end, .committed = on_committed };
  NodeOwn *own = gr_calloc (1, sizeof *own);
  own->node = node;
  own->log = node_log_context (node, "own");
  OwnOptions options = { .self = node->self,
                         .region = node->region,
                         .refresh_interval_ms = node->settings->snapshot_interval_ms };
  own_options_defaults (&options);
  own->state = own_new (&options, err);
  GrName stream = gr_name_format ("ownership-%.*s", GR_NAME_ARG (node->region));
  char name[GR_NAME_MAX + 1];
  snprintf (name, sizeof name, "%.*s", GR_NAME_ARG (stream));
  if (own->state)
    own->stream = node_stream_new (node, name, OWN_POLL_MS, &events, own, err);
  if (!own->stream) {
    own_free (own->state);
    free (own);
    return NULL;
  }
  uv_timer_init (node->loop, &own->timer);
  own->timer.data = own;
  uv_timer_start (&own->timer, own_tick, OWN_TICK_MS, OWN_TICK_MS);
  return own;
}

void
node_own_free (NodeOwn *own)
{
  uv_close ((uv_handle_t *) &own->timer, NULL);
  node_stream_free (own->stream);
  own_free (own->state);
  own->state = NULL;
}

void
node_own_list_read (Node *node, int64_t sent_ms, bool changed)
{
  NodeOwn *own = node->own;
  if (!node_list_registered (node))
    return;
  GR_LIST (OwnListedVm) vms = { 0 };
  for (NodeVm *vm = node_list_first (node); vm; vm = vm->hh.next) {
    if (vm->role == NODE_ROLE_ENTRY && gr_name_equal (&vm->region, &node->region))
      gr_list_push (&vms, (OwnListedVm){ vm->id, vm->incarnation, vm->leaving });
  }
  node_stream_set_writers (own->stream, node_list_entry_count (node, &(GrName){ 0 }));
  OwnMsg msg = { .kind = OWN_MSG_LIST_READ, .list_read = { sent_ms, vms.items, vms.count } };
  run_step (own, &msg);
  gr_list_clear (&vms);
  if (changed || !own->keys_sent)
    send_keys (own);
}

void
node_own_heartbeat (Node *node, GrStr bytes)
{
  if (!node_list_registered (node))
    return;
  OwnHeartbeat *heartbeat = gr_calloc (1, sizeof *heartbeat);
  GrErr err = { 0 };
  if (own_heartbeat_decode (bytes, heartbeat, &err)) {
    OwnMsg msg = { .kind = OWN_MSG_HEARTBEAT, .heartbeat = heartbeat };
    run_step (node->own, &msg);
  } else {
    gr_log (&node->own->log, GR_EV_BAD_INPUT, "heartbeat ignored: %s", err.detail);
  }
  free (heartbeat);
}

void
node_own_log_hint (Node *node)
{
  node_stream_read_soon (node->own->stream);
}

void
node_own_inventory_done (Node *node, const GrName *key, int64_t epoch)
{
  OwnMsg msg = { .kind = OWN_MSG_INVENTORY_DONE, .inventory_done = { *key, epoch } };
  run_step (node->own, &msg);
}

void
node_own_fence_seen (Node *node, const GrName *key, int64_t fence_epoch)
{
  OwnMsg msg = { .kind = OWN_MSG_STALE_EPOCH, .stale_epoch = { *key, fence_epoch } };
  run_step (node->own, &msg);
}

void
node_own_stop (Node *node)
{
  if (!node_own_ready (node) || !node_list_registered (node)) {
    node->handed_over = true;
    return;
  }
  OwnMsg msg = { .kind = OWN_MSG_STOP };
  run_step (node->own, &msg);
}

bool
node_own_may_start (const Node *node, const GrName *key)
{
  return own_may_start (node->own->state, key, node_now (node));
}

int64_t
node_own_may_start_until (const Node *node, const GrName *key)
{
  int64_t now = node_now (node);
  if (!own_may_start (node->own->state, key, now))
    return 0;
  int64_t until = now;
  while (until - now < LEASE_SEARCH_MAX_MS
         && own_may_start (node->own->state, key, until + LEASE_SEARCH_STEP_MS))
    until += LEASE_SEARCH_STEP_MS;
  return until;
}

bool
node_own_owner (const Node *node, const GrName *key, GrVmRef *owner, int64_t *epoch)
{
  return own_owner (node->own->state, key, owner, epoch);
}

bool
node_own_is_self (const Node *node, const GrName *key)
{
  return own_is_self (node->own->state, key);
}

size_t
node_own_members (const Node *node, GrVmRef *out, size_t max)
{
  return own_members (node->own->state, out, max);
}

size_t
node_own_key_count (const Node *node)
{
  return own_key_count (node->own->state);
}

bool
node_own_promise_mode (const Node *node)
{
  return node->own->promise_mode;
}

bool
node_own_ready (const Node *node)
{
  return node->own->read_once;
}

int32_t
node_own_parts (const Node *node)
{
  return node->own->parts;
}
