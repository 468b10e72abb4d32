#include "node/node_peers.h"

#include <stdlib.h>

#include "node/node_config.h"
#include "node/node_listen.h"
#include "node/node_own.h"
#include "node/node_parts.h"
#include "node/node_place.h"
#include "node/node_route.h"
#include "node/node_tasks.h"

typedef struct {
  GrName vm;
  GrName region;
} UpPeer;

struct NodePeers {
  Node *node;
  NetPeers *net;
  GrLog log;
  uv_idle_t idle;
  GR_LIST (GrBuf) mailbox;
  GR_LIST (UpPeer) up;
  int64_t counted_in, counted_out; /* bytes already added to the metrics */
  char host[64];
};

static void
dispatch (Node *node, const GrName *from, GrStr body)
{
  NodeWire wire;
  GrErr err = { 0 };
  if (!node_wire_decode (body, &wire, &err)) {
    gr_log (&node->peers->log, GR_EV_BAD_INPUT, "frame from %.*s ignored: %.*s: %s",
            GR_NAME_ARG (*from), GR_NAME_ARG (err.field), err.detail);
    return;
  }
  switch (wire.kind) {
  case NODE_WIRE_HEARTBEAT:
    gr_metric_add (&node->metrics, GR_METRIC_CONTROL_BYTES, (int64_t) body.len);
    node_own_heartbeat (node, wire.heartbeat);
    break;
  case NODE_WIRE_SUMMARY:
    gr_metric_add (&node->metrics, GR_METRIC_CONTROL_BYTES, (int64_t) body.len);
    node_place_summary (node, from, &wire);
    break;
  case NODE_WIRE_CALL:
    node_route_call (node, from, &wire);
    break;
  case NODE_WIRE_REPLY:
    node_route_reply (node, from, &wire);
    break;
  case NODE_WIRE_PLACE:
    node_tasks_place (node, from, &wire);
    break;
  case NODE_WIRE_PLACE_RESULT:
    node_parts_place_result (node, from, &wire);
    break;
  case NODE_WIRE_REPORT:
    node_parts_report (node, from, &wire);
    break;
  case NODE_WIRE_REPORT_ACK:
    node_tasks_report_ack (node, &wire);
    break;
  case NODE_WIRE_CANCEL:
    node_tasks_cancel (node, &wire);
    break;
  case NODE_WIRE_GANG:
    node_tasks_gang (node, &wire);
    break;
  case NODE_WIRE_SYNC:
    node_tasks_sync (node, from, &wire);
    break;
  case NODE_WIRE_SYNC_DONE:
    node_parts_sync_done (node, from, &wire);
    break;
  case NODE_WIRE_CONFIG_OFFER:
    node_config_offer (node, from, &wire);
    break;
  case NODE_WIRE_LEAVE:
    node_place_forget (node, from);
    break;
  case NODE_WIRE_LOG_HINT:
    node_own_log_hint (node);
    break;
  }
  node_wire_clear (&wire);
}

/* Messages that are added while the mailbox is drained are delivered in the next iteration of the
   loop. */
static void
drain_mailbox (uv_idle_t *idle)
{
  NodePeers *peers = idle->data;
  GrBuf *items = peers->mailbox.items;
  size_t count = peers->mailbox.count;
  memset (&peers->mailbox, 0, sizeof peers->mailbox);
  for (size_t i = 0; i < count; i++) {
    dispatch (peers->node, &peers->node->self.vm, gr_buf_str (&items[i]));
    gr_buf_clear (&items[i]);
  }
  free (items);
  if (peers->mailbox.count == 0)
    uv_idle_stop (idle);
}

static void
peer_up (void *user, const NetPeerInfo *info)
{
  NodePeers *peers = user;
  gr_list_push (&peers->up, (UpPeer){ info->vm.vm, info->region });
  node_config_peer_up (peers->node, &info->vm.vm);
}

static void
peer_down (void *user, const NetPeerInfo *info)
{
  NodePeers *peers = user;
  for (size_t i = 0; i < peers->up.count; i++) {
    if (gr_name_equal (&peers->up.items[i].vm, &info->vm.vm)) {
      gr_list_swap_remove (&peers->up, i);
      break;
    }
  }
  node_place_forget (peers->node, &info->vm.vm);
  node_route_peer_down (peers->node, &info->vm.vm);
  node_parts_peer_down (peers->node, &info->vm.vm);
}

static void
peer_frame (void *user, const NetPeerInfo *info, GrStr body)
{
  NodePeers *peers = user;
  dispatch (peers->node, &info->vm.vm, body);
}

NodePeers *
node_peers_new (Node *node, GrErr *err)
{
  NodePeers *peers = gr_calloc (1, sizeof *peers);
  peers->node = node;
  peers->log = node_log_context (node, "peers");
  int64_t port;
  if (!node_listen_parse (node->settings->peer_listen, "peer-listen", peers->host,
                          sizeof peers->host, &port, err))
    goto failed;
  NetPeerOptions options = { .self = node->self,
                             .region = node->region,
                             .zone = node->zone,
                             .listen_host = peers->host,
                             .listen_port = port,
                             .key = gr_str_from_c (node->settings->peer_key),
                             .previous_key = gr_str_from_c (node->settings->peer_key_previous),
                             .log = node_log_context (node, "peers") };
  static const NetPeerEvents events = { .up = peer_up, .down = peer_down, .frame = peer_frame };
  peers->net = net_peers_new (node->loop, &options, &events, peers, err);
  if (!peers->net)
    goto failed;
  uv_idle_init (node->loop, &peers->idle);
  peers->idle.data = peers;
  return peers;
failed:
  free (peers);
  return NULL;
}

void
node_peers_free (NodePeers *peers)
{
  uv_idle_stop (&peers->idle);
  uv_close ((uv_handle_t *) &peers->idle, NULL);
  net_peers_free (peers->net);
  peers->net = NULL;
}

bool
node_peers_send (Node *node, const GrName *vm, const NodeWire *wire, GrErr *err)
{
  NodePeers *peers = node->peers;
  GrBuf body = { 0 };
  node_wire_encode (wire, &body);
  if (gr_name_equal (vm, &node->self.vm)) {
    gr_list_push (&peers->mailbox, body);
    uv_idle_start (&peers->idle, drain_mailbox);
    return true;
  }
  if (wire->kind == NODE_WIRE_HEARTBEAT || wire->kind == NODE_WIRE_SUMMARY)
    gr_metric_add (&node->metrics, GR_METRIC_CONTROL_BYTES, (int64_t) body.len);
  bool ok = net_peers_send (peers->net, vm, gr_buf_str (&body), err);
  gr_buf_clear (&body);
  return ok;
}

void
node_peers_broadcast (Node *node, const GrName *region, const NodeWire *wire)
{
  for (size_t i = 0; i < node->peers->up.count; i++) {
    const UpPeer *peer = &node->peers->up.items[i];
    if (region->len == 0 || gr_name_equal (&peer->region, region))
      node_peers_send (node, &peer->vm, wire, NULL);
  }
}

bool
node_peers_is_up (const Node *node, const GrName *vm)
{
  return gr_name_equal (vm, &node->self.vm) || net_peers_is_up (node->peers->net, vm);
}

void
node_peers_set_known (NodePeers *peers, const NetPeerAddress *known, size_t count)
{
  net_peers_set_known (peers->net, known, count);
}

size_t
node_peers_up (const Node *node, const GrName *region, GrName *out, size_t max)
{
  size_t count = 0;
  for (size_t i = 0; i < node->peers->up.count && count < max; i++) {
    const UpPeer *peer = &node->peers->up.items[i];
    if (region->len == 0 || gr_name_equal (&peer->region, region))
      out[count++] = peer->vm;
  }
  return count;
}

int
node_peers_port (const NodePeers *peers)
{
  return net_peers_port (peers->net);
}

void
node_peers_count_bytes (Node *node)
{
  NodePeers *peers = node->peers;
  int64_t in = net_peers_bytes_in (peers->net);
  int64_t out = net_peers_bytes_out (peers->net);
  gr_metric_add (&node->metrics, GR_METRIC_PEER_BYTES_IN, in - peers->counted_in);
  gr_metric_add (&node->metrics, GR_METRIC_PEER_BYTES_OUT, out - peers->counted_out);
  peers->counted_in = in;
  peers->counted_out = out;
}
