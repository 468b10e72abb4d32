/* HTTP server for callers and operators. */
#pragma once

#include "node/node_ctx.h"

typedef struct NodeFront NodeFront;

/* Listens on settings->http_listen. Returns NULL with GR_ERR_INVALID for a malformed address or
   with an error of net_http_server_new. */
NodeFront *node_front_new (Node *node, GrErr *err);
void node_front_free (NodeFront *front);
/* Port that the server listens on. */
int node_front_port (const NodeFront *front);
/* Number of HTTP exchanges that wait for the reply to their call. */
size_t node_front_open (const Node *node);
void node_front_stop_accepting (NodeFront *front);

/* Pages for operators, in node_front_ops.c. Each appends the body of the response to out: /v1/top
   and /v1/config as JSON, /metrics as Prometheus text. */
void node_front_top (Node *node, GrBuf *out);
void node_front_config (Node *node, GrBuf *out);
void node_front_metrics (Node *node, GrBuf *out);
/* Returns true if this VM can accept calls; otherwise sets *why to a static line of text that
   names what is missing. */
bool node_front_ready (Node *node, const char **why);
