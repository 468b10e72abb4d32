/* Calls on their way to the partition owner of their id.

   A call stays here until its answer, wherever it was forwarded. One that is lost on the way is
   sent again with the same id to the owner of that moment, because the id makes repeats harmless.
 */
#pragma once

#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeRoute NodeRoute;

/* why of a reply that this VM made itself: GR_ERR_NOT_RUN if the call reached no owner, else
   GR_ERR_UNKNOWN. */
typedef void (*NodeRouteDone) (void *user, const NodeReplyBody *reply);

NodeRoute *node_route_new (Node *node);
void node_route_free (NodeRoute *route);
/* Copies the body. done runs once, never inside, unless node_route_drop comes first. */
int64_t node_route_submit (Node *node, const NodeCallBody *body, NodeRouteDone done, void *user);
/* The caller is gone; the job goes on. */
void node_route_drop (Node *node, int64_t id);
/* Calls that wait for an answer. */
size_t node_route_open (const Node *node);

void node_route_call (Node *node, const GrName *from, const NodeWire *wire);
void node_route_reply (Node *node, const GrName *from, const NodeWire *wire);
void node_route_peer_down (Node *node, const GrName *vm);
void node_route_job_reply (Node *node, const JobCmd *cmd);
void node_route_finish (Node *node, int64_t id, const NodeReplyBody *reply);
