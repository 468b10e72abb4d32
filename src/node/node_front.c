#include "node/node_front.h"

#include <stdlib.h>

#include "node/node_auth.h"
#include "node/node_config.h"
#include "node/node_json.h"
#include "node/node_list.h"
#include "node/node_listen.h"
#include "node/node_route.h"

/* A job or a cancellation that is not durable after this time is answered with unknown outcome. */
#define CALL_TIMEOUT_MS 30000
/* How long a request still waits for the reply of the partition owner after its deadline. Longer
   than the owner tries to find out the outcome of an attempt. */
#define REQUEST_GRACE_MS 7000
/* Time for the reply to arrive after wait_ms has passed. */
#define WAIT_GRACE_MS 5000
#define WAIT_MAX_MS 600000

struct NodeFront {
  Node *node;
  GrLog log;
  NetHttpServer *server;
  size_t open;
  char host[64];
};

/* One call that waits for its reply: the HTTP exchange and the regions in which the id is looked up
   next if its home region is unknown. */
typedef struct {
  NodeFront *front;
  NetHttpExchange *exchange;
  NodeCallBody body;
  int64_t call;
  size_t region_count;
  GrName regions[8]; /* not yet tried; the last entry is next */
} PendingCall;

static void
reply_json (NetHttpExchange *exchange, int status, const GrBuf *body)
{
  net_http_reply (exchange, status, GR_STR ("application/json"), gr_buf_str (body));
}

static void
refuse (NodeFront *front, NetHttpExchange *exchange, int status, GrErrCode code, GrStr field,
        const char *detail)
{
  GrBuf body = { 0 };
  gr_metric_add (&front->node->metrics, GR_METRIC_CALLS_REFUSED, 1);
  node_json_error (&body, code, field, detail);
  reply_json (exchange, status, &body);
  gr_buf_clear (&body);
}

static void submit (PendingCall *pending);

static void
call_done (void *user, const NodeReplyBody *reply)
{
  PendingCall *pending = user;
  bool not_found = reply->outcome == JOB_OUTCOME_NONE && reply->why == GR_ERR_NOT_FOUND;
  if (not_found && pending->region_count > 0) {
    pending->body.region = pending->regions[--pending->region_count];
    submit (pending);
    return;
  }
  GrBuf body = { 0 };
  int status = node_json_reply (&body, pending->body.verb, &pending->body.id, reply);
  if (status >= 400)
    gr_metric_add (&pending->front->node->metrics, GR_METRIC_CALLS_REFUSED, 1);
  reply_json (pending->exchange, status, &body);
  gr_buf_clear (&body);
  pending->front->open--;
  free (pending);
}

/* The caller closed the connection before the reply. */
static void
on_caller_closed (void *user)
{
  PendingCall *pending = user;
  node_route_drop (pending->front->node, pending->call);
  pending->front->open--;
  free (pending);
}

static void
submit (PendingCall *pending)
{
  pending->call = node_route_submit (pending->front->node, &pending->body, call_done, pending);
}

static PendingCall *
new_pending (NodeFront *front, NetHttpExchange *exchange, const NodeCallBody *body)
{
  PendingCall *pending = gr_calloc (1, sizeof *pending);
  pending->front = front;
  pending->exchange = exchange;
  pending->body = *body;
  front->open++;
  net_http_on_close (exchange, on_caller_closed, pending);
  return pending;
}

static void
handle_submission (NodeFront *front, NetHttpExchange *exchange, const NetHttpRequest *request,
                   NodeVerb verb)
{
  Node *node = front->node;
  const CfgTree *tree = node_config_tree (node);
  const char *why;
  GrErr err = { 0 };
  NodeSubmission submission;
  if (node->stopping || !node_front_ready (node, &why)) {
    /* Not "not_run": a call with the same id may have run through another VM. */
    refuse (front, exchange, 503, GR_ERR_UNAVAILABLE, GR_STR ("vm"),
            node->stopping ? "this VM stops; repeat at another one" : why);
    return;
  }
  if (!node_json_submission (request->body, verb == NODE_VERB_REQUEST, tree, &submission, &err)) {
    refuse (front, exchange, 400, GR_ERR_INVALID, gr_name_str (&err.field), err.detail);
    return;
  }
  const CfgTeam *team = cfg_team (tree, &submission.spec.team);
  if (!team && cfg_team_count (tree) > 0) {
    refuse (front, exchange, 400, GR_ERR_INVALID, GR_STR ("team"),
            "the configuration has no such team");
  } else if (!node_auth_team (team, request->authorization)) {
    refuse (front, exchange, 401, GR_ERR_DENIED, GR_STR ("authorization"),
            "the team's token is needed");
  } else {
    NodeCallBody body = { .verb = verb,
                          .id = submission.spec.id,
                          .region = node_config_home (node, &submission.spec.team),
                          .spec = submission.spec };
    body.deadline_unix_ms
        = verb == NODE_VERB_REQUEST
                  && submission.spec.deadline_unix_ms < INT64_MAX - REQUEST_GRACE_MS
              ? submission.spec.deadline_unix_ms + REQUEST_GRACE_MS
              : node_unix () + CALL_TIMEOUT_MS;
    PendingCall *pending = new_pending (front, exchange, &body);
    submit (pending);
    /* The payload is freed with the submission; node_route keeps its own copy. */
    pending->body.spec.payload = (GrStr){ NULL, 0 };
  }
  node_json_clear (&submission);
}

/* Sets the region that is tried first, the home region of the caller's team or else that of this
   VM, and lists the other regions of entry VMs, which are tried in turn if the id is not found. */
static void
list_regions (NodeFront *front, const NetHttpRequest *request, PendingCall *pending)
{
  Node *node = front->node;
  const CfgTeam *team = node_auth_find (node_config_tree (node), request->authorization);
  GrName first = team && team->region.len ? team->region : node->region;
  size_t max = sizeof pending->regions / sizeof pending->regions[0];
  for (NodeVm *vm = node_list_first (node); vm; vm = vm->hh.next) {
    bool skip = vm->role != NODE_ROLE_ENTRY || gr_name_equal (&vm->region, &first)
                || pending->region_count == max;
    for (size_t i = 0; !skip && i < pending->region_count; i++)
      skip = gr_name_equal (&pending->regions[i], &vm->region);
    if (!skip)
      pending->regions[pending->region_count++] = vm->region;
  }
  pending->body.region = first;
}

static bool
strip_suffix (GrStr *s, GrStr suffix)
{
  if (s->len <= suffix.len || memcmp (s->data + s->len - suffix.len, suffix.data, suffix.len) != 0)
    return false;
  s->len -= suffix.len;
  return true;
}

static void
handle_job (NodeFront *front, NetHttpExchange *exchange, const NetHttpRequest *request, GrStr id)
{
  Node *node = front->node;
  NodeCallBody body = { .verb = NODE_VERB_WAIT };
  bool get = gr_str_equal (request->method, GR_STR ("GET"));
  if (get && strip_suffix (&id, GR_STR ("/explain")))
    body.verb = NODE_VERB_EXPLAIN;
  else if (gr_str_equal (request->method, GR_STR ("DELETE")))
    body.verb = NODE_VERB_CANCEL;
  else if (!get) {
    refuse (front, exchange, 405, GR_ERR_INVALID, GR_STR ("method"), "allowed are GET and DELETE");
    return;
  }
  if (id.len == 0 || id.len > NODE_JOB_ID_MAX || !gr_name_set (&body.id, id)) {
    refuse (front, exchange, 400, GR_ERR_INVALID, GR_STR ("id"), "the id is empty or too long");
    return;
  }
  const CfgTree *tree = node_config_tree (node);
  if (node_auth_needed (tree) && !node_auth_find (tree, request->authorization)) {
    refuse (front, exchange, 401, GR_ERR_DENIED, GR_STR ("authorization"),
            "a team's token is needed");
    return;
  }
  int64_t wait = net_http_query_int (request->query, GR_STR ("wait_ms"), 0);
  wait = wait < 0 ? 0 : wait > WAIT_MAX_MS ? WAIT_MAX_MS : wait;
  int64_t now = node_unix ();
  body.wait_until_unix_ms = wait > 0 ? now + wait : 0;
  body.deadline_unix_ms
      = now + (body.verb == NODE_VERB_CANCEL ? CALL_TIMEOUT_MS : wait + WAIT_GRACE_MS);
  PendingCall *pending = new_pending (front, exchange, &body);
  list_regions (front, request, pending);
  submit (pending);
}

static void
handle_page (NodeFront *front, NetHttpExchange *exchange, void (*page) (Node *, GrBuf *),
             GrStr content_type)
{
  GrBuf body = { 0 };
  page (front->node, &body);
  net_http_reply (exchange, 200, content_type, gr_buf_str (&body));
  gr_buf_clear (&body);
}

static void
handle_health (NodeFront *front, NetHttpExchange *exchange)
{
  const char *why = "this VM stops";
  bool ready = !front->node->stopping && node_front_ready (front->node, &why);
  if (ready)
    net_http_reply (exchange, 200, GR_STR ("text/plain"), GR_STR ("ready\n"));
  else
    net_http_reply (exchange, 503, GR_STR ("text/plain"), gr_str_from_c (why));
}

static void
handle (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  NodeFront *front = user;
  GrStr path = request->path;
  GrStr jobs = GR_STR ("/v1/jobs/");
  GrStr requests = GR_STR ("/v1/requests/");
  GrStr json = GR_STR ("application/json");
  bool post = gr_str_equal (request->method, GR_STR ("POST"));
  gr_metric_add (&front->node->metrics, GR_METRIC_CALLS, 1);
  if (post && gr_str_equal (path, GR_STR ("/v1/requests")))
    handle_submission (front, exchange, request, NODE_VERB_REQUEST);
  else if (post && gr_str_equal (path, GR_STR ("/v1/jobs")))
    handle_submission (front, exchange, request, NODE_VERB_JOB);
  else if (gr_str_starts_with (path, jobs))
    handle_job (front, exchange, request, (GrStr){ path.data + jobs.len, path.len - jobs.len });
  else if (gr_str_starts_with (path, requests))
    handle_job (front, exchange, request,
                (GrStr){ path.data + requests.len, path.len - requests.len });
  else if (gr_str_equal (path, GR_STR ("/healthz")))
    handle_health (front, exchange);
  else if (gr_str_equal (path, GR_STR ("/metrics")))
    handle_page (front, exchange, node_front_metrics, GR_STR ("text/plain; version=0.0.4"));
  else if (gr_str_equal (path, GR_STR ("/v1/top")))
    handle_page (front, exchange, node_front_top, json);
  else if (gr_str_equal (path, GR_STR ("/v1/config")))
    handle_page (front, exchange, node_front_config, json);
  else
    refuse (front, exchange, 404, GR_ERR_NOT_FOUND, GR_STR ("path"), "no such path");
}

NodeFront *
node_front_new (Node *node, GrErr *err)
{
  NodeFront *front = gr_calloc (1, sizeof *front);
  front->node = node;
  front->log = node_log_context (node, "front");
  int64_t port;
  if (!node_listen_parse (node->settings->http_listen, "http-listen", front->host,
                          sizeof front->host, &port, err))
    goto failed;
  NetHttpServerOptions options = { .listen_host = front->host, .listen_port = port };
  front->server = net_http_server_new (node->loop, &options, handle, front, err);
  if (!front->server)
    goto failed;
  return front;
failed:
  free (front);
  return NULL;
}

void
node_front_free (NodeFront *front)
{
  net_http_server_free (front->server);
}

int
node_front_port (const NodeFront *front)
{
  return net_http_server_port (front->server);
}

size_t
node_front_open (const Node *node)
{
  return node->front->open;
}

void
node_front_stop_accepting (NodeFront *front)
{
  net_http_server_stop_accepting (front->server);
}
