/* Configuration of a cell as its operators publish it: which calls go to which queue. */
#pragma once

#include "dag/dag.h"

typedef struct {
  GrName host;  /* of the call, without a port */
  GrStr prefix; /* of the path; owned */
  size_t queue; /* index into queues */
} CellRoute;

typedef struct {
  int64_t version;
  GR_LIST (CellRoute) routes;
  GR_LIST (DagQueue) queues;
} CellConfig;

void cell_config_clear (CellConfig *config);
/* Adds a route to a queue; copies all. */
void cell_config_add (CellConfig *config, const GrName *host, GrStr prefix, const DagQueue *queue);
/* The route of the host with the longest prefix that the path begins with, or NULL. */
const CellRoute *cell_config_find (const CellConfig *config, GrStr host, GrStr path);
const DagQueue *cell_config_queue (const CellConfig *config, const GrName *name);

/* What the leader knows of a VM with an older configuration. */
typedef struct {
  int64_t outdated_since; /* 0: it has the newest */
  int64_t pushed_at;      /* 0: never */
} CellConfigPush;

/* Called for each heartbeat; true if the leader should send the VM its configuration now. VMs read
   it from the store themselves: sent to all at once it would fill their links. */
bool cell_config_push_due (CellConfigPush *push, bool is_outdated, bool has_store, int64_t now_ms);
