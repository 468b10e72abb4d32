#include "node/node_poll.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* How long a target holds a poll open without a change. It answers at once when a task ends or the
   target starts to leave. */
#define POLL_WAIT_MS 20000
/* Time for the answer itself, in addition to the time for which the target holds the poll. */
#define POLL_ANSWER_MS 3000
/* Interval of listings of a target that has not returned a position yet (seq 0). */
#define POLL_EMPTY_MS 500
/* Timeout of a first listing; short because the inventory of a group waits for all its targets. */
#define LISTING_TIMEOUT_MS 1000

struct NodePoll {
  Node *node;
  GrLog log;
  NetHttpClient *client;
  NodePollListed listed;
  NodePollFailed failed;
  void *user;
  bool closed;
  int64_t bytes_counted;
};

typedef struct {
  NodePoll *poll;
  GrName target;
  int64_t epoch;
  int64_t after;
  int64_t sent_ms;
  bool parallel; /* a full listing in parallel to the long poll */
} PollCall;

static bool
parse_state (json_t *object, NodeListedTask *task)
{
  static const struct {
    const char *name;
    bool running;
    JobTaskState end;
  } states[] = {
    { "running", true, JOB_TASK_RUNNING }, { "succeeded", false, JOB_TASK_SUCCEEDED },
    { "failed", false, JOB_TASK_FAILED },  { "stopped", false, JOB_TASK_STOPPED },
    { "lapsed", false, JOB_TASK_LAPSED },
  };
  const char *text = json_string_value (json_object_get (object, "state"));
  for (size_t i = 0; text && i < sizeof states / sizeof states[0]; i++) {
    if (strcmp (text, states[i].name) == 0) {
      task->running = states[i].running;
      task->end = states[i].end;
      return true;
    }
  }
  return false;
}

static GrRes
parse_res (json_t *object)
{
  GrRes res = { 0 };
  for (int d = 0; d < GR_RES_COUNT; d++) {
    json_int_t value = json_integer_value (json_object_get (object, gr_res_name ((GrResDim) d)));
    res.v[d] = value < 0 ? 0 : value > INT32_MAX ? INT32_MAX : (int32_t) value;
  }
  return res;
}

static bool
parse_task (json_t *object, NodeListedTask *task)
{
  memset (task, 0, sizeof *task);
  json_t *id = json_object_get (object, "task");
  json_t *attempt = json_object_get (object, "attempt");
  json_t *answer = json_object_get (object, "answer");
  json_t *demand = json_object_get (object, "demand");
  if (!json_is_string (id) || !json_is_integer (attempt) || json_integer_value (attempt) < 0
      || json_integer_value (attempt) > INT32_MAX || !parse_state (object, task)
      || !gr_name_set (&task->id, (GrStr){ json_string_value (id), json_string_length (id) }))
    return false;
  task->attempt = (int32_t) json_integer_value (attempt);
  if (json_is_string (answer))
    task->answer = (GrStr){ json_string_value (answer), json_string_length (answer) };
  task->used = parse_res (object);
  task->demand = demand ? parse_res (demand) : task->used;
  int64_t started = json_integer_value (json_object_get (object, "started_ms"));
  int64_t ended = json_integer_value (json_object_get (object, "ended_ms"));
  task->run_ms = ended > started ? ended - started : 0;
  return true;
}

bool
node_poll_parse (GrStr body, NodePollAnswer *answer, NodeListedTask **tasks, json_t **root,
                 GrErr *err)
{
  json_error_t json_err;
  *tasks = NULL;
  *root = json_loadb (body.data, body.len, 0, &json_err);
  json_t *seq = json_object_get (*root, "seq");
  json_t *list = json_object_get (*root, "tasks");
  if (!json_is_integer (seq) || !json_is_array (list)) {
    gr_err_set (err, GR_ERR_PROTOCOL, "tasks", "'seq' or 'tasks' is missing or has the wrong type");
    goto failed;
  }
  answer->seq = json_integer_value (seq);
  answer->leaving = json_is_true (json_object_get (*root, "leaving"));
  answer->count = json_array_size (list);
  *tasks = gr_calloc (answer->count + 1, sizeof **tasks);
  for (size_t i = 0; i < answer->count; i++) {
    if (!parse_task (json_array_get (list, i), &(*tasks)[i])) {
      gr_err_set (err, GR_ERR_PROTOCOL, "tasks", "task %zu is malformed", i);
      goto failed;
    }
  }
  answer->tasks = *tasks;
  return true;
failed:
  free (*tasks);
  json_decref (*root);
  *tasks = NULL;
  *root = NULL;
  return false;
}

/* Returns the fence epoch in the body of a 409 response, in its "error" object or at the top level;
   0 without one. */
static int64_t
fence_epoch (GrStr body)
{
  json_error_t json_err;
  json_t *root = json_loadb (body.data, body.len, 0, &json_err);
  json_t *error = json_object_get (root, "error");
  json_t *epoch = json_object_get (json_is_object (error) ? error : root, "epoch");
  int64_t value = json_integer_value (epoch ? epoch : json_object_get (root, "epoch"));
  json_decref (root);
  return value;
}

static void
poll_done (void *user, const NetHttpAnswer *http)
{
  PollCall call = *(PollCall *) user;
  NodePoll *poll = call.poll;
  free (user);
  if (poll->closed)
    return;
  int64_t bytes = net_http_client_bytes (poll->client);
  gr_metric_add (&poll->node->metrics, GR_METRIC_CONTROL_BYTES, bytes - poll->bytes_counted);
  poll->bytes_counted = bytes;
  NodeTarget *target = node_targets_find (poll->node, &call.target);
  if (!target || target->epoch != call.epoch || target->state == NODE_TARGET_IDLE)
    return;
  if (!call.parallel)
    target->polling = false;
  if (http->status != 200) {
    if (!call.parallel)
      poll->failed (poll->user, target, http->status == 409 ? fence_epoch (http->body) : 0);
    return;
  }
  NodePollAnswer answer = { .full = call.after == 0, .sent_ms = call.sent_ms };
  NodeListedTask *tasks;
  json_t *root;
  GrErr err = { 0 };
  if (!node_poll_parse (http->body, &answer, &tasks, &root, &err)) {
    gr_log (&poll->log, GR_EV_BAD_INPUT, "malformed listing of target %.*s: %s",
            GR_NAME_ARG (call.target), err.detail);
    if (!call.parallel)
      poll->failed (poll->user, target, 0);
    return;
  }
  /* A parallel listing must not move the position of the long poll past changes that the long poll
     has not delivered. */
  if (call.parallel)
    answer.seq = target->seq;
  poll->listed (poll->user, target, &answer);
  free (tasks);
  json_decref (root);
  target = node_targets_find (poll->node, &call.target);
  if (!target || call.parallel || target->polling || target->state != NODE_TARGET_LISTED)
    return;
  /* Without a position there are no changes to wait for; list the target again after a delay. */
  if (target->seq == 0)
    target->retry_at_ms = node_now (poll->node) + POLL_EMPTY_MS;
  else
    node_poll_send (poll, target);
}

static void
send_poll (NodePoll *poll, NodeTarget *target, int64_t after, int64_t wait_ms, int64_t timeout_ms,
           bool parallel)
{
  PollCall *call = gr_calloc (1, sizeof *call);
  *call = (PollCall){ .poll = poll,
                      .target = target->id,
                      .epoch = target->epoch,
                      .after = after,
                      .sent_ms = node_now (poll->node),
                      .parallel = parallel };
  char url[512];
  int len = snprintf (url, sizeof url, "%s/tasks?epoch=%lld&after=%lld&wait_ms=%lld", target->url,
                      (long long) target->epoch, (long long) after, (long long) wait_ms);
  NetHttpCall http = { .method = "GET",
                       .url = { url, (size_t) len },
                       .timeout_at_ms = call->sent_ms + timeout_ms };
  net_http_client_send (poll->client, &http, poll_done, call);
}

void
node_poll_send (NodePoll *poll, NodeTarget *target)
{
  bool first = target->seq == 0;
  target->polling = true;
  send_poll (poll, target, target->seq, first ? 0 : POLL_WAIT_MS,
             first ? LISTING_TIMEOUT_MS : POLL_WAIT_MS + POLL_ANSWER_MS, false);
}

void
node_poll_check (NodePoll *poll, NodeTarget *target)
{
  send_poll (poll, target, 0, 0, POLL_ANSWER_MS, true);
}

void
node_poll_cancel (NodePoll *poll, NodeTarget *target)
{
  (void) poll;
  /* The requests in flight have the old epoch; poll_done ignores answers to them. */
  target->epoch = -1;
  target->polling = false;
}

NodePoll *
node_poll_new (Node *node, NodePollListed listed, NodePollFailed failed, void *user)
{
  NodePoll *poll = gr_calloc (1, sizeof *poll);
  poll->node = node;
  poll->log = node_log_context (node, "poll");
  /* One long poll for each of up to 4,900 targets and a few parallel listings; several targets may
     share a host. */
  poll->client = node_http_client (node, 6000, 6000);
  poll->listed = listed;
  poll->failed = failed;
  poll->user = user;
  return poll;
}

void
node_poll_free (NodePoll *poll)
{
  poll->closed = true;
  net_http_client_free (poll->client);
}
