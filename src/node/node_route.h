/* Routing of calls to the owner of the partition of their id.

   Each call is kept until its reply, also while it is forwarded to another VM. A call whose reply
   is lost is resent with the same id to the current owner; the id makes calls idempotent. */
#pragma once

#include "node/node_ctx.h"
#include "node/node_wire.h"

typedef struct NodeRoute NodeRoute;

/* A reply that this VM made itself, because the deadline passed or no VM of the region was
   reachable, has why GR_ERR_UNKNOWN if an owner may have received the call, else
   GR_ERR_UNAVAILABLE. The reply is valid during the callback. */
typedef void (*NodeRouteDone) (void *user, const NodeReplyBody *reply);

NodeRoute *node_route_new (Node *node);
void node_route_free (NodeRoute *route);
/* Routes a call of a local caller and returns the id of the call. Copies the body. done runs once,
   after this function has returned; node_route_drop prevents it. */
int64_t node_route_submit (Node *node, const NodeCallBody *body, NodeRouteDone done, void *user);
/* Removes a call whose caller closed its connection; the job goes on. */
void node_route_drop (Node *node, int64_t id);
/* Number of calls that wait for a reply. */
size_t node_route_open (const Node *node);

/* Call or reply from a peer. */
void node_route_call (Node *node, const GrName *from, const NodeWire *wire);
void node_route_reply (Node *node, const GrName *from, const NodeWire *wire);
/* Drops the calls of the peer and reroutes those that were forwarded to it. */
void node_route_peer_down (Node *node, const GrName *vm);
/* Replies of the partitions component to a call that was passed to it. */
void node_route_job_reply (Node *node, const JobCmd *cmd);
void node_route_finish (Node *node, int64_t id, const NodeReplyBody *reply);
