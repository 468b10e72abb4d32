/* State of the partitions component, shared by node_parts.c and node_sync.c. */
#pragma once

#include <uthash.h>

#include "base/gr_ids.h"
#include "job/job.h"
#include "node/node_parts.h"

/* Interval at which the job state gets the end of the ownership lease (JOB_MSG_PART_ACTIVE). */
#define PARTS_ACTIVE_INTERVAL_MS 100

typedef struct {
  GrName key;
  int32_t number;
  bool owned;
  /* The stream was read to its end after the gain, and PART_GAINED was delivered. */
  bool replayed;
  int64_t epoch; /* of the ownership; valid while owned */
  int64_t gained_ms;
} NodePart;

/* A query to all schedulers of the region for the tasks of a partition, or for one attempt. */
typedef struct {
  int64_t id;
  int32_t part;
  GrName task; /* empty: the whole partition */
  int32_t attempt;
  int64_t sent_ms;                /* when the query was last sent */
  GR_LIST (NodeWireGroup) groups; /* groups whose owner has answered, with the owner's epoch */
  UT_hash_handle hh;
} NodeSync;

struct NodeParts {
  Node *node;
  GrLog log;
  JobState *job;
  struct NodeStream *stream;
  struct NodeWhy *why;
  int32_t count; /* partitions of the region; 0 until the configuration is loaded */
  NodePart *items;
  NodeSync *syncs; /* queries that are not answered in full */
  GrIds sync_ids;
  GR_LIST (JobMsg) deferred; /* results for the next tick; a step must not run inside a step */
  uv_timer_t timer;
  int64_t active_next_ms;
  int64_t sync_next_ms;
  int64_t snapshot_next_ms;
};

/* Delivers a message to the job state and executes its commands. */
void node_parts_step (NodeParts *parts, const JobMsg *msg);
/* Partition of a job or request id; NULL until the configuration is loaded. */
NodePart *node_parts_find (NodeParts *parts, const GrName *id);

/* node_sync.c */
/* Sends a query for the tasks of the partition. Delivers JOB_MSG_PART_SYNCED once the owners of all
   groups have answered. */
void node_sync_part (NodeParts *parts, const NodePart *part);
/* Removes the queries of the partition; later answers to them are ignored. */
void node_sync_drop_part (NodeParts *parts, const NodePart *part);
/* Sends a query for one attempt, or resends it if it is not answered in full. An attempt that no
   scheduler holds is reported to the job state as lapsed. */
void node_sync_resolve (NodeParts *parts, const GrName *task, int32_t attempt);
/* Resends the queries for whole partitions that are due. */
void node_sync_retry (NodeParts *parts);
