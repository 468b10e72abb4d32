/* State of the partitions task, shared by node_parts.c and node_sync.c. */
#pragma once

#include <uthash.h>

#include "job/job.h"
#include "node/node_parts.h"

/* Interval of JOB_MSG_PART_ACTIVE. */
#define PARTS_ACTIVE_INTERVAL_MS 100

typedef struct {
  GrName key;
  int32_t number;
  bool owned;
  bool replayed; /* the stream was read to its end after the gain */
  int64_t epoch;
  int64_t gained_ms;
} NodePart;

/* A question to all schedulers of the region: the tasks of a partition, or one attempt. */
typedef struct {
  int64_t id;
  int32_t part;
  GrName task; /* empty: the whole partition */
  int32_t attempt;
  int64_t sent_ms;
  GR_LIST (NodeWireGroup) groups; /* answered for, with the owner's epoch */
  UT_hash_handle hh;
} NodeSync;

struct NodeParts {
  Node *node;
  GrLog log;
  JobState *job;
  struct NodeStream *stream;
  struct NodeWhy *why;
  int32_t count;
  NodePart *items;
  NodeSync *syncs;
  int64_t next_sync;
  GR_LIST (JobMsg) deferred; /* results that must not be delivered inside a step */
  uv_timer_t timer;
  int64_t active_next_ms;
  int64_t sync_next_ms;
  int64_t snapshot_next_ms;
};

void node_parts_step (NodeParts *parts, const JobMsg *msg);
/* NULL before the number of partitions is known. */
NodePart *node_parts_find (NodeParts *parts, const GrName *id);

/* node_sync.c */
void node_sync_part (NodeParts *parts, const NodePart *part);
void node_sync_drop_part (NodeParts *parts, const NodePart *part);
void node_sync_resolve (NodeParts *parts, const GrName *task, int32_t attempt);
void node_sync_retry (NodeParts *parts);
