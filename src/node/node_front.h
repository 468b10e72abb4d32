/* HTTP towards callers and operators. */
#pragma once

#include "node/node_ctx.h"

typedef struct NodeFront NodeFront;

NodeFront *node_front_new (Node *node, GrErr *err);
void node_front_free (NodeFront *front);
int node_front_port (const NodeFront *front);
/* Exchanges that wait for their reply. */
size_t node_front_open (const Node *node);
void node_front_stop_accepting (NodeFront *front);

/* node_front_ops.c: pages for operators. Each appends its body. */
void node_front_top (Node *node, GrBuf *out);
void node_front_config (Node *node, GrBuf *out);
void node_front_metrics (Node *node, GrBuf *out);
/* True if the VM can take calls; *why tells what is missing. */
bool node_front_ready (Node *node, const char **why);
