/* Configuration task: follows the stream "config" and exchanges versions with peers. */
#pragma once

#include "cfg/cfg.h"
#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeConfig NodeConfig;

NodeConfig *node_config_new (Node *node, GrErr *err);
void node_config_free (NodeConfig *config);
/* True once the stream was read to its end or a peer offered a version. */
bool node_config_ready (const Node *node);
const CfgTree *node_config_tree (const Node *node);
int64_t node_config_version (const Node *node);
/* State record of the version in force. */
GrStr node_config_record (const Node *node);
void node_config_peer_up (Node *node, const GrName *vm);
void node_config_offer (Node *node, const GrName *from, const NodeWire *wire);
/* Home region of a team's callers. */
GrName node_config_home (const Node *node, const GrName *team);
