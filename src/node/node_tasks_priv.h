/* State of the tasks task, shared by node_tasks.c and node_report.c. */
#pragma once

#include "node/node_start.h"
#include "node/node_tasks.h"

/* Interval of lease renewals, lapse checks and repeated stops. */
#define TASKS_MAINTAIN_MS 200

typedef struct {
  GrName part;
  int64_t epoch;
  UT_hash_handle hh;
} NodeFloor;

typedef struct {
  char key[NODE_TASK_KEY_MAX];
  int64_t until_ms;
  UT_hash_handle hh;
} NodeForbidden;

struct NodeTasks {
  Node *node;
  GrLog log;
  SchState *sch;
  NodeStart *start;
  NodeTask *table;
  NodeTask *by_local; /* by sch.attempt */
  int32_t next_local;
  NodeFloor *floors;         /* lowest partition epoch from which placements are taken */
  NodeForbidden *forbidden;  /* attempts that were answered absent */
  GR_LIST (int32_t) refused; /* starts that were not sent; told to the scheduler at the next tick */
  uv_timer_t timer;
  bool limits_due;
  int64_t limits_next_ms;
  int64_t maintain_next_ms;
};

void node_tasks_step (NodeTasks *tasks, const SchMsg *msg);
NodeTask *node_tasks_lookup (const Node *node, const GrName *id, int32_t attempt);
NodeTask *node_tasks_add (NodeTasks *tasks, const GrName *id, int32_t attempt);
void node_tasks_set_target (NodeTasks *tasks, NodeTask *task, const GrName *target);
/* The end of an attempt by the target's word, or because its lease lapsed. */
void node_tasks_end (NodeTasks *tasks, NodeTask *task, JobTaskState end, GrStr answer,
                     int64_t run_ms);

/* node_limits.c */
void node_limits_send (NodeTasks *tasks);
