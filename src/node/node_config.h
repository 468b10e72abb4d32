/* Configuration component: reads the stream "config" of the platform's log and exchanges versions
   with peers, so that a VM that cannot read the log still gets the current configuration. */
#pragma once

#include "cfg/cfg.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeConfig NodeConfig;

/* Returns NULL with an error of node_stream_new. */
NodeConfig *node_config_new (Node *node, GrErr *err);
void node_config_free (NodeConfig *config);
/* Returns true once the stream has been read to its end or a version from a peer was accepted. */
bool node_config_ready (const Node *node);
/* Configuration in force; never NULL. Version 0 has the defaults. Valid until the next record of
   the stream or offer of a peer is handled. */
const CfgTree *node_config_tree (const Node *node);
int64_t node_config_version (const Node *node);
/* State record of the version in force; empty at version 0. Valid as long as node_config_tree. */
GrStr node_config_record (const Node *node);
/* Sends the version in force to a peer whose link has opened. */
void node_config_peer_up (Node *node, const GrName *vm);
/* Handles NODE_WIRE_CONFIG_OFFER from a peer. */
void node_config_offer (Node *node, const GrName *from, const NodeWire *wire);
/* Home region of a team: the configured one, else node_list_first_region. */
GrName node_config_home (const Node *node, const GrName *team);
