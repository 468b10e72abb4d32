/* Listings of the tasks of targets: long polls with GET /tasks. The epoch in each request also
   fences lower epochs at the target. */
#pragma once

#include "node/node_tasks.h"

typedef struct {
  bool full;       /* a full listing (after=0), not only the changes since a position */
  bool leaving;    /* the target is leaving */
  int64_t seq;     /* position from which the next poll continues */
  int64_t sent_ms; /* local time at which the request was sent */
  const NodeListedTask *tasks;
  size_t count;
} NodePollAnswer;

/* Called for each valid answer, which is valid during the call only. */
typedef void (*NodePollListed) (void *user, NodeTarget *target, const NodePollAnswer *answer);
/* Called for a failed long poll. stale_epoch is the fence epoch of the target if it refused the
   epoch of the request as stale, else 0. */
typedef void (*NodePollFailed) (void *user, NodeTarget *target, int64_t stale_epoch);

typedef struct NodePoll NodePoll;

NodePoll *node_poll_new (Node *node, NodePollListed listed, NodePollFailed failed, void *user);
void node_poll_free (NodePoll *poll);
/* Sends a long poll for the changes after target->seq, or a request for a full listing without a
   wait if seq is 0. target->polling is true until the answer or the failure. After an answer with a
   position the next long poll is sent automatically. */
void node_poll_send (NodePoll *poll, NodeTarget *target);
/* Requests a full listing without a wait, in parallel to the long poll. A failure is ignored. */
void node_poll_check (NodePoll *poll, NodeTarget *target);
/* Discards the answers to all requests to the target that are in flight. */
void node_poll_cancel (NodePoll *poll, NodeTarget *target);
/* Parses the body of a response to GET /tasks into answer and *tasks. Release *tasks with free()
   and *root with json_decref; the strings of the tasks belong to *root. Returns false with
   GR_ERR_PROTOCOL; nothing has to be released then. */
struct json_t;
bool node_poll_parse (GrStr body, NodePollAnswer *answer, NodeListedTask **tasks,
                      struct json_t **root, GrErr *err);
