/* State that all components of the daemon share: the loop, the identity of the VM, the metrics and
   the pointers to the components. */
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
  bool stopping;      /* shutdown requested by a signal: no new work */
  bool was_ready;     /* node_front_ready was true once; later gaps in ownership are waited
                         out by each call and do not make the VM unready */
  bool handed_over;   /* all keys handed over and the leave record committed */
  int64_t stop_at_ms; /* deadline of the graceful shutdown, local ms */
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

/* Local monotonic ms. Updates the cached time of the loop first, so that a decision after a pause
   of the process does not use the time before the pause. */
int64_t node_now (const Node *node);
/* Unix time in ms. */
int64_t node_unix (void);
/* Convert between Unix ms and local monotonic ms by the current offset of the two clocks. */
int64_t node_local_from_unix (const Node *node, int64_t unix_ms);
int64_t node_unix_from_local (const Node *node, int64_t local_ms);
/* Log context with the id of this VM. component must stay valid as long as the context. */
GrLog node_log_context (const Node *node, const char *component);
/* Replaces this process by exec of the same program with the same arguments, which starts as a new
   incarnation. Does not return; exits with GR_EXIT_FAILED if exec fails. */
void node_restart (const Node *node);
/* Returns an HTTP client with these limits of connections per host and in total. Exits the process
   with GR_EXIT_FAILED if none can be created. */
NetHttpClient *node_http_client (const Node *node, int64_t per_host, int64_t total);

/* Key names: "part/REGION/NN" and "group/REGION/NAME". */
GrName node_part_key (const GrName *region, int32_t part);
GrName node_group_key (const GrName *region, const GrName *group);
/* Partition number of a key "part/REGION/NN", or -1 if the key is not one of a partition. */
int32_t node_key_part (const GrName *key);
