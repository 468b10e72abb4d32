#include "node/node_route.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/gr_ids.h"
#include "base/gr_random.h"
#include "node/node_own.h"
#include "node/node_parts.h"
#include "node/node_peers.h"

#define ROUTE_TICK_MS 20
#define RETRY_MS 50
/* An unsent call to another region fails after this long if no VM of the region is reachable. */
#define UNREACHABLE_TIMEOUT_MS 2000
/* A call is forwarded at most this many times on its way. */
#define HOPS_MAX 2
/* A call to another region is resent to a random VM there after this long without a reply. */
#define FOREIGN_REPEAT_MS 5000
#define PEERS_MAX 128

typedef enum {
  CALL_WAITING, /* not sent yet, or waiting for the next attempt */
  CALL_LOCAL,   /* passed to the partitions component */
  CALL_FORWARDED
} CallState;

typedef struct {
  int64_t id;
  CallState state;
  NodeCallBody body;
  char *payload; /* owned copy, used by body.spec */
  GrName peer;   /* FORWARDED: the receiver */
  bool sent;     /* sent at least once; an owner may have received it */
  int64_t begin_ms;
  int64_t forwarded_ms;
  int64_t retry_at_ms;
  NodeRouteDone done; /* calls of node_route_submit; NULL for calls from a peer */
  void *user;
  GrName origin;       /* calls from a peer: the peer */
  int64_t origin_call; /* id of the call at the peer */
  UT_hash_handle hh;
} Call;

struct NodeRoute {
  Node *node;
  GrLog log;
  Call *table;
  GrIds ids;
  GR_LIST (int64_t) unsent; /* submitted calls to be sent in the next iteration of the loop */
  uv_timer_t unsent_timer;
  uv_timer_t timer;
};

static void
remove_call (NodeRoute *route, Call *call)
{
  HASH_DEL (route->table, call);
  free (call->payload);
  free (call);
}

static Call *
find_call (NodeRoute *route, int64_t id)
{
  Call *call = NULL;
  HASH_FIND (hh, route->table, &id, sizeof id, call);
  return call;
}

static void
finish (NodeRoute *route, Call *call, const NodeReplyBody *reply)
{
  if (call->done) {
    call->done (call->user, reply);
  } else {
    NodeWire wire = { .kind = NODE_WIRE_REPLY, .reply = { call->origin_call, *reply } };
    node_peers_send (route->node, &call->origin, &wire, NULL);
  }
  remove_call (route, call);
}

/* The owner changed or is not reachable. A local caller's call is retried after a delay; for a
   peer's call, the peer gets the reply MOVED and retries. */
static void
reroute (NodeRoute *route, Call *call)
{
  if (!call->done) {
    finish (route, call, &(NodeReplyBody){ .status = NODE_REPLY_MOVED });
    return;
  }
  call->state = CALL_WAITING;
  call->retry_at_ms = node_now (route->node) + RETRY_MS;
}

/* Finds the peer to forward the call to: the partition owner for a call of this region, else a
   random reachable VM of the call's region. Returns false if there is none, or if the owner is this
   VM or not reachable. */
static bool
next_peer (NodeRoute *route, const Call *call, GrName *peer)
{
  Node *node = route->node;
  if (gr_name_equal (&call->body.region, &node->region)) {
    int32_t parts = node_own_parts (node);
    GrVmRef owner;
    int64_t epoch;
    if (parts == 0)
      return false;
    GrName key = node_part_key (&node->region, job_part (&call->body.id, parts));
    if (!node_own_owner (node, &key, &owner, &epoch) || gr_name_equal (&owner.vm, &node->self.vm))
      return false;
    *peer = owner.vm;
    return node_peers_is_up (node, peer);
  }
  GrName up[PEERS_MAX];
  size_t count = node_peers_up (node, &call->body.region, up, PEERS_MAX);
  if (count == 0)
    return false;
  *peer = up[gr_random () % count];
  return true;
}

static void
try_call (NodeRoute *route, Call *call)
{
  Node *node = route->node;
  GrName peer;
  if (gr_name_equal (&call->body.region, &node->region)
      && node_parts_acting (node, &call->body.id)) {
    call->state = CALL_LOCAL;
    call->sent = true;
    gr_log (&route->log, GR_EV_ROUTED, "%.*s: partition owned here", GR_NAME_ARG (call->body.id));
    node_parts_call (node, call->id, &call->body);
    return;
  }
  if (call->body.hops < HOPS_MAX && next_peer (route, call, &peer)) {
    NodeWire wire = { .kind = NODE_WIRE_CALL, .call = { call->id, call->body } };
    wire.call.body.hops++;
    if (node_peers_send (node, &peer, &wire, NULL)) {
      call->state = CALL_FORWARDED;
      call->peer = peer;
      call->sent = true;
      call->forwarded_ms = node_now (node);
      gr_metric_add (&node->metrics, GR_METRIC_CALLS_FORWARDED, 1);
      gr_log (&route->log, GR_EV_ROUTED, "%.*s: to %.*s, %s", GR_NAME_ARG (call->body.id),
              GR_NAME_ARG (peer),
              gr_name_equal (&call->body.region, &node->region) ? "owner of the partition"
                                                                : "in the team's home region");
      return;
    }
  }
  reroute (route, call);
}

static Call *
add_call (NodeRoute *route, const NodeCallBody *body)
{
  Call *call = gr_calloc (1, sizeof *call);
  call->id = gr_ids_next (&route->ids);
  call->body = *body;
  call->payload = gr_str_dup (body->spec.payload);
  call->body.spec.payload.data = call->payload;
  call->begin_ms = node_now (route->node);
  HASH_ADD (hh, route->table, id, sizeof call->id, call);
  return call;
}

static void
send_unsent (uv_timer_t *timer)
{
  NodeRoute *route = timer->data;
  size_t count = route->unsent.count;
  int64_t *ids = route->unsent.items;
  memset (&route->unsent, 0, sizeof route->unsent);
  for (size_t i = 0; i < count; i++) {
    Call *call = find_call (route, ids[i]);
    if (call)
      try_call (route, call);
  }
  free (ids);
}

int64_t
node_route_submit (Node *node, const NodeCallBody *body, NodeRouteDone done, void *user)
{
  NodeRoute *route = node->route;
  Call *call = add_call (route, body);
  int64_t id = call->id;
  call->done = done;
  call->user = user;
  /* Sent in the next iteration of the loop, so that done never runs inside this function. */
  call->retry_at_ms = INT64_MAX;
  gr_list_push (&route->unsent, id);
  uv_timer_start (&route->unsent_timer, send_unsent, 0, 0);
  return id;
}

void
node_route_drop (Node *node, int64_t id)
{
  NodeRoute *route = node->route;
  Call *call = find_call (route, id);
  if (!call)
    return;
  if (call->state == CALL_LOCAL)
    node_parts_call_closed (node, call->id, &call->body.id);
  remove_call (route, call);
}

size_t
node_route_open (const Node *node)
{
  return HASH_COUNT (node->route->table);
}

void
node_route_call (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeRoute *route = node->route;
  Call *call = add_call (route, &wire->call.body);
  call->origin = *from;
  call->origin_call = wire->call.id;
  try_call (route, call);
}

void
node_route_reply (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeRoute *route = node->route;
  Call *call = find_call (route, wire->reply.id);
  /* A late reply of an earlier owner is accepted, also if the call was sent elsewhere since. */
  if (!call || (call->state == CALL_LOCAL && gr_name_equal (from, &node->self.vm)))
    return;
  if (wire->reply.body.status != NODE_REPLY_MOVED)
    finish (route, call, &wire->reply.body);
  else if (call->state == CALL_FORWARDED && gr_name_equal (&call->peer, from))
    reroute (route, call);
}

void
node_route_peer_down (Node *node, const GrName *vm)
{
  NodeRoute *route = node->route;
  Call *call, *next;
  HASH_ITER (hh, route->table, call, next)
  {
    if (call->origin.len > 0 && gr_name_equal (&call->origin, vm)) {
      if (call->state == CALL_LOCAL)
        node_parts_call_closed (node, call->id, &call->body.id);
      remove_call (route, call);
    } else if (call->state == CALL_FORWARDED && gr_name_equal (&call->peer, vm)) {
      reroute (route, call);
    }
  }
}

void
node_route_job_reply (Node *node, const JobCmd *cmd)
{
  NodeRoute *route = node->route;
  Call *call = find_call (route, cmd->call);
  if (!call)
    return;
  if (cmd->outcome == JOB_OUTCOME_NONE && cmd->why == GR_ERR_UNAVAILABLE) {
    reroute (route, call);
    return;
  }
  NodeReplyBody reply = { .status = NODE_REPLY_DONE,
                          .phase = cmd->phase,
                          .outcome = cmd->outcome,
                          .why = cmd->why,
                          .text = cmd->bytes };
  finish (route, call, &reply);
}

void
node_route_finish (Node *node, int64_t id, const NodeReplyBody *reply)
{
  Call *call = find_call (node->route, id);
  if (call)
    finish (node->route, call, reply);
}

static void
fail_call (NodeRoute *route, Call *call)
{
  /* The outcome is not NOT_RUN even if no owner was reached: a call with the same id may have run
     through another VM. */
  NodeReplyBody reply = { .status = NODE_REPLY_DONE,
                          .phase = call->sent ? JOB_ENDED : JOB_ACCEPTING,
                          .outcome = call->sent ? JOB_OUTCOME_UNKNOWN : JOB_OUTCOME_NONE,
                          .why = call->sent ? GR_ERR_UNKNOWN : GR_ERR_UNAVAILABLE };
  if (call->state == CALL_LOCAL)
    node_parts_call_closed (route->node, call->id, &call->body.id);
  gr_log (&route->log, GR_EV_ROUTED, "%.*s: call failed, %s", GR_NAME_ARG (call->body.id),
          call->sent ? "an owner may have received it" : "it was not sent to any owner");
  finish (route, call, &reply);
}

/* True if a forwarded call has to be sent again: its partition has another owner, or a VM of
   another region has not replied for FOREIGN_REPEAT_MS. A paused VM keeps its link open without
   replying, so a check for closed links would miss this. */
static bool
needs_reroute (NodeRoute *route, const Call *call, int64_t now)
{
  Node *node = route->node;
  GrVmRef owner;
  int64_t epoch;
  if (!gr_name_equal (&call->body.region, &node->region))
    return now - call->forwarded_ms > FOREIGN_REPEAT_MS;
  GrName key = node_part_key (&node->region, job_part (&call->body.id, node_own_parts (node)));
  return node_own_owner (node, &key, &owner, &epoch) && !gr_name_equal (&owner.vm, &call->peer);
}

static void
route_tick (uv_timer_t *timer)
{
  NodeRoute *route = timer->data;
  Node *node = route->node;
  int64_t now = node_now (node);
  int64_t now_unix = node_unix ();
  Call *call, *next;
  HASH_ITER (hh, route->table, call, next)
  {
    if (!call->done)
      continue;
    bool foreign = !gr_name_equal (&call->body.region, &node->region);
    GrName up;
    bool unreachable = foreign && !call->sent && now - call->begin_ms > UNREACHABLE_TIMEOUT_MS
                       && node_peers_up (node, &call->body.region, &up, 1) == 0;
    if (now_unix > call->body.deadline_unix_ms || unreachable)
      fail_call (route, call);
    else if (call->state == CALL_WAITING && now >= call->retry_at_ms)
      try_call (route, call);
    else if (call->state == CALL_FORWARDED && needs_reroute (route, call, now))
      reroute (route, call);
  }
}

NodeRoute *
node_route_new (Node *node)
{
  NodeRoute *route = gr_calloc (1, sizeof *route);
  route->node = node;
  gr_ids_init (&route->ids, &node->self, gr_random ());
  route->log = node_log_context (node, "route");
  uv_timer_init (node->loop, &route->unsent_timer);
  uv_timer_init (node->loop, &route->timer);
  route->unsent_timer.data = route;
  route->timer.data = route;
  uv_timer_start (&route->timer, route_tick, ROUTE_TICK_MS, ROUTE_TICK_MS);
  return route;
}

void
node_route_free (NodeRoute *route)
{
  uv_close ((uv_handle_t *) &route->unsent_timer, NULL);
  uv_close ((uv_handle_t *) &route->timer, NULL);
}
