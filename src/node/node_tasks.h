/* Tasks component: the scheduler of the owned groups. Feeds sch_step and executes its commands,
   sends starts, stops and lease renewals to the targets, and stores each attempt that was placed
   here until the partition owner has acknowledged its end. */
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

/* Size of a key: task id JOB/INDEX, '#', number of the attempt, and a terminating zero byte. */
#define NODE_TASK_KEY_MAX (GR_NAME_MAX + 16)

/* An attempt that was placed on this VM, or adopted from a target's listing. Times are local ms. */
typedef struct NodeTask {
  char key[NODE_TASK_KEY_MAX];
  NodeTaskPhase phase;
  GrName part;   /* key of the partition */
  int64_t epoch; /* partition epoch of the placement, or of a later sync query */
  int32_t attempt;
  /* sch.attempt is local to this VM and new for each placement: the scheduler ignores a number that
     it refused before, while the partition owner may place the same attempt here again. */
  SchTask sch;
  char *payload;
  size_t payload_len;
  GrName target;          /* empty while it has none */
  int64_t placed_ms;      /* arrival of the placement, or adoption */
  int64_t started_ms;     /* when the start was confirmed */
  int64_t start_by_ms;    /* the target refuses the start after this time */
  int64_t lease_until_ms; /* latest lease end that was sent to the target */
  bool stopping;          /* cancelled, or stopped by the scheduler */
  int64_t stop_next_ms;   /* time of the next stop call */
  JobTaskState end;
  char *answer;
  size_t answer_len;
  bool dropped;           /* reported as refused; only the scheduler still stores it */
  bool acked;             /* the partition owner acknowledged the end */
  int64_t report_next_ms; /* time of the next report of the end */
  int64_t ended_ms;
  UT_hash_handle hh;       /* by key */
  UT_hash_handle hh_local; /* by sch.attempt */
} NodeTask;

/* One task in a target's listing. Strings belong to the listing. */
typedef struct {
  GrName id;
  int32_t attempt;
  bool running;     /* else it has ended */
  JobTaskState end; /* if not running */
  GrStr answer;     /* if not running: result of the task */
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

/* Applies a target's listing that was requested at sent_ms. A full listing also ends the tasks that
   it does not contain. */
void node_tasks_listed (Node *node, NodeTarget *target, const NodeListedTask *listed, size_t count,
                        bool full, int64_t sent_ms);
/* The target is listed and may get work; its running and unconfirmed tasks are its inventory. */
void node_tasks_target_up (Node *node, NodeTarget *target);
/* The target is leaving: no new work, its tasks go on. */
void node_tasks_target_leaving (Node *node, const NodeTarget *target);
/* The target does not answer: no new work, its tasks end by report or lapse. */
void node_tasks_target_down (Node *node, const NodeTarget *target);
/* This VM no longer owns the target, or it left the VM list. Removes its tasks, which a new owner
   adopts from its listing. */
void node_tasks_target_gone (Node *node, NodeTarget *target);
/* Team quotas, weights or owned groups changed: the scheduler gets new limits at the next tick. */
void node_tasks_limits_changed (Node *node);

void node_tasks_load (const Node *node, SchSummary *out);
/* Appends one line on the tasks of the job that are stored here; false if there are none. */
bool node_tasks_explain (const Node *node, const GrName *job, GrBuf *out);
/* Number of attempts that have not ended. */
size_t node_tasks_open (const Node *node);
/* Refuses all waiting tasks, so that they are placed elsewhere. None of them may start here later:
   once this VM owns no group, partition owners settle its tasks without querying it. */
void node_tasks_return_queue (Node *node);

/* For node_start.c: lookup by key, and outcomes of starts. */
NodeTask *node_tasks_find (const Node *node, const char *key);
NodeTask *node_tasks_first (const Node *node);
void node_tasks_start_result (Node *node, NodeTask *task, SchStartResult result);
