#include "node/node_start.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "node/node_config.h"

/* A target answers a start at once. Without an answer by then the start is unconfirmed. */
#define START_TIMEOUT_MS 2000
#define RENEW_TIMEOUT_MS 2000

struct NodeStart {
  Node *node;
  NetHttpClient *client;
  bool closed;
  int64_t renew_bytes;
};

typedef struct {
  NodeStart *start;
  char key[NODE_TASK_KEY_MAX];
} StartCall;

typedef struct {
  NodeStart *start;
  GrName target;
  int64_t epoch;
  int64_t until_ms;
} RenewCall;

int64_t
node_start_lease_ms (const Node *node)
{
  return cfg_cell (node_config_tree (node))->task_lease_ms;
}

static void
send_json (NodeStart *start, const NodeTarget *target, const char *path, json_t *body,
           int64_t timeout_ms, NetHttpDone done, void *user)
{
  char url[512];
  int len = snprintf (url, sizeof url, "%s/%s", target->url, path);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  NetHttpCall http = { .method = "POST",
                       .url = { url, (size_t) len },
                       .body = gr_str_from_c (text),
                       .timeout_at_ms = node_now (start->node) + timeout_ms };
  net_http_client_send (start->client, &http, done, user);
  free (text);
}

static void
start_done (void *user, const NetHttpAnswer *answer)
{
  StartCall call = *(StartCall *) user;
  free (user);
  if (call.start->closed)
    return;
  NodeTask *task = node_tasks_find (call.start->node, call.key);
  if (!task)
    return;
  /* If the target refused the start, or nothing was sent, the task was certainly not started. After
     any other failure the target may have accepted it. */
  SchStartResult result = SCH_START_UNKNOWN;
  if (answer->status == 200)
    result = SCH_START_TAKEN;
  else if ((answer->status >= 400 && answer->status < 500) || answer->status == 503
           || answer->status == 507
           || (answer->status == 0 && answer->failure == GR_ERR_UNAVAILABLE))
    result = SCH_START_REFUSED;
  node_tasks_start_result (call.start->node, task, result);
}

void
node_start_send (NodeStart *start, NodeTask *task, const NodeTarget *target)
{
  Node *node = start->node;
  int64_t now = node_now (node);
  int64_t now_unix = node_unix ();
  int64_t lease = node_start_lease_ms (node);
  task->start_by_ms = now + NODE_START_BY_MS;
  task->lease_until_ms = now + lease;
  json_t *demand = json_object ();
  for (int d = 0; d < GR_RES_COUNT; d++)
    json_object_set_new (demand, gr_res_name ((GrResDim) d), json_integer (task->sch.demand.v[d]));
  json_int_t start_by_unix = now_unix + NODE_START_BY_MS;
  json_int_t lease_until_unix = now_unix + lease;
  json_t *body = json_pack ("{s:s%, s:i, s:I, s:I, s:I, s:o, s:I, s:s%}", "task", task->sch.id.data,
                            (size_t) task->sch.id.len, "attempt", task->attempt, "epoch",
                            (json_int_t) target->epoch, "start_by_ms", start_by_unix,
                            "lease_until_ms", lease_until_unix, "demand", demand, "run_ms",
                            (json_int_t) task->sch.declared_run_ms, "payload",
                            task->payload ? task->payload : "", task->payload_len);
  StartCall *call = gr_calloc (1, sizeof *call);
  call->start = start;
  memcpy (call->key, task->key, sizeof call->key);
  gr_metric_add (&node->metrics, GR_METRIC_STARTS, 1);
  send_json (start, target, "start", body, START_TIMEOUT_MS, start_done, call);
}

static void
stop_done (void *user, const NetHttpAnswer *answer)
{
  (void) user;
  (void) answer;
}

void
node_start_stop (NodeStart *start, const NodeTask *task, const NodeTarget *target)
{
  json_t *body = json_pack ("{s:s%, s:i}", "task", task->sch.id.data, (size_t) task->sch.id.len,
                            "attempt", task->attempt);
  send_json (start, target, "stop", body, START_TIMEOUT_MS, stop_done, start);
}

static void
renew_done (void *user, const NetHttpAnswer *answer)
{
  RenewCall call = *(RenewCall *) user;
  free (user);
  if (call.start->closed)
    return;
  NodeTarget *target = node_targets_find (call.start->node, &call.target);
  if (!target || target->epoch != call.epoch)
    return;
  target->lease_in_flight = false;
  if (answer->status == 200)
    target->lease_confirmed_until_ms = call.until_ms;
}

void
node_start_renew (NodeStart *start, NodeTarget *target, int64_t now_ms)
{
  Node *node = start->node;
  if (target->tasks == 0 || target->lease_in_flight || now_ms < target->lease_next_ms)
    return;
  int64_t lease = node_start_lease_ms (node);
  /* A target that has not confirmed a renewal for a whole lease gets no further renewals, so that
     its tasks lapse at a known time. Renewals resume after its next listing. */
  if (target->lease_confirmed_until_ms < now_ms && target->state != NODE_TARGET_LISTED)
    return;
  json_t *list = json_array ();
  for (NodeTask *task = node_tasks_first (node); task; task = task->hh.next) {
    bool live = task->phase == NODE_TASK_RUNNING || task->phase == NODE_TASK_UNCONFIRMED;
    if (!live || !gr_name_equal (&task->target, &target->id))
      continue;
    json_array_append_new (
        list, json_pack ("[s%, i]", task->sch.id.data, (size_t) task->sch.id.len, task->attempt));
    task->lease_until_ms = now_ms + lease;
  }
  target->lease_next_ms = now_ms + NODE_LEASE_RENEW_MS;
  if (json_array_size (list) == 0) {
    json_decref (list);
    return;
  }
  target->lease_in_flight = true;
  json_int_t lease_until_unix = node_unix () + lease;
  json_t *body = json_pack ("{s:I, s:o}", "lease_until_ms", lease_until_unix, "tasks", list);
  RenewCall *call = gr_calloc (1, sizeof *call);
  *call = (RenewCall){ start, target->id, target->epoch, now_ms + lease };
  send_json (start, target, "lease", body, RENEW_TIMEOUT_MS, renew_done, call);
}

NodeStart *
node_start_new (Node *node)
{
  NodeStart *start = gr_calloc (1, sizeof *start);
  start->node = node;
  start->client = node_http_client (node, 4096, 4096);
  return start;
}

void
node_start_free (NodeStart *start)
{
  start->closed = true;
  net_http_client_free (start->client);
}
