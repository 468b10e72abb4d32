/* Peers component: links to the other entry VMs, a local mailbox for messages of this VM to itself,
   and the dispatch of received messages to the components. */
#pragma once

#include "net/net_peer.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodePeers NodePeers;

/* Listens on settings->peer_listen. Returns NULL with GR_ERR_INVALID for a malformed address or
   with an error of net_peers_new. */
NodePeers *node_peers_new (Node *node, GrErr *err);
void node_peers_free (NodePeers *peers);
/* Sends to a peer, or to this VM through the mailbox, which is delivered in the next iteration of
   the loop. Errors as net_peers_send; err may be NULL. */
bool node_peers_send (Node *node, const GrName *vm, const NodeWire *wire, GrErr *err);
/* Sends to all peers with an open link in the region (empty name: in all regions), not to this VM.
   Errors are ignored. */
void node_peers_broadcast (Node *node, const GrName *region, const NodeWire *wire);
/* Returns true for this VM and for peers with an open link. */
bool node_peers_is_up (const Node *node, const GrName *vm);
/* Replaces the set of known peers; links to others are closed. */
void node_peers_set_known (NodePeers *peers, const NetPeerAddress *known, size_t count);
/* Writes the ids of the peers with an open link in the region (empty name: in all regions) to out.
   Returns their number, at most max. */
size_t node_peers_up (const Node *node, const GrName *region, GrName *out, size_t max);
/* Port that this VM listens on for peers. */
int node_peers_port (const NodePeers *peers);
/* Adds the bytes since the last call to the counters of peer traffic. */
void node_peers_count_bytes (Node *node);
