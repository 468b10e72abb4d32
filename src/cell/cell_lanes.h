/* Distributes advice requests over the VMs of a cell. The advice service serves the requests of one
   VM one at a time, so each VM is a lane.

   To avoid head-of-line blocking of short requests by long ones, part of the lanes carries short
   requests only. Waiting requests are sent by priority, then in order of arrival. The state is
   pure: the caller passes the time in ms. */
#pragma once

#include "dag/dag.h"

/* Requests that are expected to take longer than this are long. */
#define CELL_LANE_LONG_MS 120

typedef struct {
  int64_t token; /* identifies the request; chosen by the caller, not 0 */
  GrName job;
  uint32_t step;
  int32_t priority; /* 0 goes first */
  int64_t expected_ms;
  GrName *targets; /* owned */
  size_t count;
} CellAdviceRequest;

typedef struct CellLanes CellLanes;

CellLanes *cell_lanes_new (void);
void cell_lanes_free (CellLanes *lanes);
/* Sets the VMs that are lanes. Requests in flight on a removed lane go back to the queue. */
void cell_lanes_set (CellLanes *lanes, const GrName *vms, size_t count);
/* Queues a request and takes ownership of request->targets. */
void cell_lanes_push (CellLanes *lanes, const CellAdviceRequest *request);
/* Marks the next request as sent and returns it with the VM that carries it, or returns NULL if
   none can be sent now. The request stays owned by the lanes and is valid until the next call. */
const CellAdviceRequest *cell_lanes_next (CellLanes *lanes, GrName *vm, int64_t now_ms);
/* Removes a request that was sent and passes it to the caller, who frees its targets. If ok is
   false, the lane gets no requests for a backoff time. Returns false if no such request is in
   flight. */
bool cell_lanes_finish (CellLanes *lanes, int64_t token, bool ok, int64_t now_ms,
                        CellAdviceRequest *request, int64_t *sent_at);
/* Returns the token of a request in flight that has timed out, or 0. */
int64_t cell_lanes_overdue (const CellLanes *lanes, int64_t now_ms);
