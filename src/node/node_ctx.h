/* What all tasks of the daemon share: the loop, the identity, the metrics and each other. */
#pragma once

#include <uv.h>

#include "base/gr_log.h"
#include "base/gr_metric.h"
#include "base/gr_vm.h"
#include "net/net_http.h"
#include "node/node.h"

typedef struct Node {
  uv_loop_t *loop;
  const NodeSettings *settings;
  GrVmRef self;
  GrName region;
  GrName zone;
  GrMetrics metrics;
  bool stopping;      /* SIGTERM arrived: no new work */
  bool was_ready;     /* once ready, a gap of ownership is waited out by each call */
  bool handed_over;   /* all keys handed over and farewell committed */
  int64_t stop_at_ms; /* deadline of the planned stop */
  struct NodeList *list;
  struct NodeOwn *own;
  struct NodePeers *peers;
  struct NodeConfig *config;
  struct NodeTargets *targets;
  struct NodeTasks *tasks;
  struct NodeParts *parts;
  struct NodePlace *place;
  struct NodeRoute *route;
  struct NodeWork *work;
  struct NodeFront *front;
} Node;

/* Local monotonic ms, read afresh: a decision after a pause must not use the time before it. */
int64_t node_now (const Node *node);
/* Unix ms. */
int64_t node_unix (void);
/* Local time of a Unix time and back. */
int64_t node_local_from_unix (const Node *node, int64_t unix_ms);
int64_t node_unix_from_local (const Node *node, int64_t local_ms);
GrLog node_log_context (const Node *node, const char *component);
/* Random 64 bits for choices that need not repeat. */
uint64_t node_random (void);
/* Replaces this process by a new incarnation of itself. Does not return. */
void node_restart (const Node *node);
/* Shared options of the HTTP clients of the tasks; ends the process if none can be made. */
NetHttpClient *node_http_client (const Node *node, int64_t per_host, int64_t total);

/* Key names: "part/REGION/NN" and "group/REGION/NAME". */
GrName node_part_key (const GrName *region, int32_t part);
GrName node_group_key (const GrName *region, const GrName *group);
/* Number of a key "part/REGION/NN", or -1 if it is a group. */
int32_t node_key_part (const GrName *key);
