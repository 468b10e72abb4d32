/* Tasks task: drives sch_step for the owned groups, keeps each attempt that was placed here until
   its end was taken by the partition owner, and talks to the targets about it. */
#pragma once

#include "node/node_targets.h"
#include "sch/sch.h"

typedef enum {
  NODE_TASK_QUEUED,
  NODE_TASK_HELD,        /* part of a gang with a reservation */
  NODE_TASK_STARTING,    /* start sent */
  NODE_TASK_UNCONFIRMED, /* start sent, no answer */
  NODE_TASK_RUNNING,
  NODE_TASK_ENDED
} NodeTaskPhase;

/* JOB/INDEX, '#' and the attempt. */
#define NODE_TASK_KEY_MAX (GR_NAME_MAX + 16)

typedef struct NodeTask {
  char key[NODE_TASK_KEY_MAX];
  NodeTaskPhase phase;
  GrName part;   /* key of the partition */
  int64_t epoch; /* of the partition under which it was placed */
  int32_t attempt;
  /* sch.attempt is a number of this VM, new for each placement: the scheduler ignores a number that
     it refused before, while the partition owner may place the same attempt here again. */
  SchTask sch;
  char *payload;
  size_t payload_len;
  GrName target;
  int64_t placed_ms;
  int64_t started_ms;
  int64_t start_by_ms;
  int64_t lease_until_ms; /* latest lease end that the target may know */
  bool stopping;
  int64_t stop_next_ms;
  JobTaskState end;
  char *answer;
  size_t answer_len;
  bool dropped; /* answered as refused; only the scheduler still holds it */
  bool acked;   /* the partition owner took the end */
  int64_t report_next_ms;
  int64_t ended_ms;
  UT_hash_handle hh;       /* by key */
  UT_hash_handle hh_local; /* by sch.attempt */
} NodeTask;

/* One task in a target's answer. */
typedef struct {
  GrName id;
  int32_t attempt;
  bool running;
  JobTaskState end;
  GrStr answer;
  GrRes demand;
  GrRes used;
  int64_t run_ms;
} NodeListedTask;

typedef struct NodeTasks NodeTasks;

NodeTasks *node_tasks_new (Node *node, GrErr *err);
void node_tasks_free (NodeTasks *tasks);

/* Peer messages. */
void node_tasks_place (Node *node, const GrName *from, const NodeWire *wire);
void node_tasks_report_ack (Node *node, const NodeWire *wire);
void node_tasks_cancel (Node *node, const NodeWire *wire);
void node_tasks_gang (Node *node, const NodeWire *wire);
void node_tasks_sync (Node *node, const GrName *from, const NodeWire *wire);

/* What targets say. */
void node_tasks_listed (Node *node, NodeTarget *target, const NodeListedTask *listed, size_t count,
                        bool full, int64_t sent_ms);
void node_tasks_target_up (Node *node, NodeTarget *target);
void node_tasks_target_leaving (Node *node, const NodeTarget *target);
void node_tasks_target_down (Node *node, const NodeTarget *target);
/* No longer ours: its tasks are adopted by the new owner. */
void node_tasks_target_gone (Node *node, NodeTarget *target);
void node_tasks_limits_changed (Node *node);

void node_tasks_load (const Node *node, SchSummary *out);
/* One line on a task that waits or runs here; false if it is not here. */
bool node_tasks_explain (const Node *node, const GrName *job, GrBuf *out);
/* Attempts that have not ended. */
size_t node_tasks_open (const Node *node);
/* Refuses all waiting tasks, so that they are placed elsewhere. None of them starts here later:
   once this VM owns no group, the fate of its tasks is settled without asking it. */
void node_tasks_return_queue (Node *node);

/* For node_start.c: results of what was sent to targets. */
NodeTask *node_tasks_find (const Node *node, const char *key);
NodeTask *node_tasks_first (const Node *node);
void node_tasks_start_result (Node *node, NodeTask *task, SchStartResult result);
