/* Peer messages: links to the other entry VMs, the local mailbox and dispatch to the tasks. */
#pragma once

#include "net/net_peer.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodePeers NodePeers;

NodePeers *node_peers_new (Node *node, GrErr *err);
void node_peers_free (NodePeers *peers);
/* Sends to a peer, or to this VM through the mailbox, which is delivered on the next turn of the
   loop. Errors as net_peers_send. */
bool node_peers_send (Node *node, const GrName *vm, const NodeWire *wire, GrErr *err);
void node_peers_broadcast (Node *node, const GrName *region, const NodeWire *wire);
/* True for this VM and for peers with an open link. */
bool node_peers_is_up (const Node *node, const GrName *vm);
void node_peers_set_known (NodePeers *peers, const NetPeerAddress *known, size_t count);
/* Peers with an open link in a region (empty name: all); returns the number, at most max. */
size_t node_peers_up (const Node *node, const GrName *region, GrName *out, size_t max);
int node_peers_port (const NodePeers *peers);
void node_peers_count_bytes (Node *node);
