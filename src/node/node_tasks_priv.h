/* State of the tasks task, shared by node_tasks.c and node_report.c. */
#pragma once

#include "node/node_start.h"
#include "node/node_tasks.h"

/* Interval of lease renewals, lapse checks and repeated stops. */
#define TASKS_TEND_MS 200

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
  NodeFloor *floors;        /* lowest partition epoch from which placements are taken */
  NodeForbidden *forbidden; /* attempts that were answered absent */
  GR_LIST (GrName) refused; /* starts that were not sent; told to the scheduler at the next tick */
  GR_LIST (int32_t) refused_attempt;
  uv_timer_t timer;
  bool limits_due;
  int64_t limits_next_ms;
  int64_t tend_next_ms;
};

void node_tasks_step (NodeTasks *tasks, const SchMsg *msg);
NodeTask *node_tasks_lookup (const Node *node, const GrName *id, int32_t attempt);
