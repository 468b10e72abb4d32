/* Long polls of targets: GET /tasks, which also fences lower epochs at the target. */
#pragma once

#include "node/node_tasks.h"

typedef struct {
  bool everything; /* the answer to after=0 */
  bool leaving;
  int64_t seq;
  int64_t sent_ms;
  const NodeListedTask *tasks;
  size_t count;
} NodePollAnswer;

typedef void (*NodePollListed) (void *user, NodeTarget *target, const NodePollAnswer *answer);
/* stale_epoch is the target's fence if it refused our epoch, else 0. */
typedef void (*NodePollFailed) (void *user, NodeTarget *target, int64_t stale_epoch);

typedef struct NodePoll NodePoll;

NodePoll *node_poll_new (Node *node, NodePollListed listed, NodePollFailed failed, void *user);
void node_poll_free (NodePoll *poll);
/* Polls for changes after target->seq; sets target->polling until the answer. */
void node_poll_send (NodePoll *poll, NodeTarget *target);
/* Asks for everything next to a running long poll. */
void node_poll_check (NodePoll *poll, NodeTarget *target);
/* Answers to polls that are open now are ignored. */
void node_poll_cancel (NodePoll *poll, NodeTarget *target);
/* Parses the answer to GET /tasks. Release *tasks with free(); strings belong to *root, which is
   released with json_decref. Error GR_ERR_PROTOCOL. */
struct json_t;
bool node_poll_parse (GrStr body, NodePollAnswer *answer, NodeListedTask **tasks,
                      struct json_t **root, GrErr *err);
