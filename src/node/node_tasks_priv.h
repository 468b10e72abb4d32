/* State of the tasks component, shared by its source files. */
#pragma once

#include "node/node_start.h"
#include "node/node_tasks.h"

/* Interval of lease renewals, lapse checks and repeated stops. */
#define TASKS_MAINTAIN_MS 200

/* Lowest epoch of a partition from which placements are accepted. */
typedef struct {
  GrName part;
  int64_t epoch;
  UT_hash_handle hh;
} NodeFloor;

/* An attempt that was reported absent to a partition owner and must not start here. */
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
  NodeTask *by_local;       /* by sch.attempt */
  int32_t last_local;       /* last sch.attempt given out */
  NodeFloor *floors;        /* by partition */
  NodeForbidden *forbidden; /* by key, in order of expiry */
  /* sch.attempt of starts that were not sent; reported to the scheduler at the next tick. */
  GR_LIST (int32_t) refused;
  uv_timer_t timer;
  bool limits_due;
  int64_t limits_next_ms;
  int64_t maintain_next_ms;
};

/* Delivers a message to the scheduler and executes its commands. */
void node_tasks_step (NodeTasks *tasks, const SchMsg *msg);
/* Returns the attempt, or NULL. */
NodeTask *node_tasks_lookup (const Node *node, const GrName *id, int32_t attempt);
/* Adds an attempt that is not stored here yet. */
NodeTask *node_tasks_add (NodeTasks *tasks, const GrName *id, int32_t attempt);
/* Moves the task to the target, or to none if the name is empty, and counts it there. */
void node_tasks_set_target (NodeTasks *tasks, NodeTask *task, const GrName *target);
/* Records the end of an attempt that its target reported, or whose lease lapsed, and reports it to
   the partition owner and the scheduler. Does nothing if it has ended already. */
void node_tasks_end (NodeTasks *tasks, NodeTask *task, JobTaskState end, GrStr answer,
                     int64_t run_ms);

/* node_limits.c: sends team weights and quota parts to the scheduler. */
void node_limits_send (NodeTasks *tasks);
