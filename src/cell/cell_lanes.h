/* Spreads calls to a service that serves each calling VM one at a time.

   Each VM is a lane. Short calls do not wait behind long ones: part of the lanes takes short calls
   only. Waiting calls are served by priority, then in order of arrival. Pure. */
#pragma once

#include "dag/dag.h"

/* Calls expected to take longer than this are long. */
#define CELL_LANE_LONG_MS 120

typedef struct {
  int64_t token; /* of the caller */
  GrName job;
  uint32_t step;
  int32_t priority;
  int64_t expected_ms;
  GrName *targets; /* owned */
  size_t count;
} CellAdviceRequest;

typedef struct CellLanes CellLanes;

CellLanes *cell_lanes_new (void);
void cell_lanes_free (CellLanes *lanes);
/* The lanes are the given VMs; asks of a lane that vanished are handed out again. */
void cell_lanes_set (CellLanes *lanes, const GrName *vms, size_t count);
/* Takes over request->targets. */
void cell_lanes_push (CellLanes *lanes, const CellAdviceRequest *request);
/* Next request and the lane that is to carry it, or NULL. The request stays owned by the lanes. */
const CellAdviceRequest *cell_lanes_next (CellLanes *lanes, GrName *vm, int64_t now_ms);
/* The request was answered, or given up if the lane is to be passed over for a while. */
bool cell_lanes_finish (CellLanes *lanes, int64_t token, bool ok, int64_t now_ms,
                        CellAdviceRequest *request, int64_t *sent_at);
/* Token of an request that has been out for too long, or 0. */
int64_t cell_lanes_overdue (const CellLanes *lanes, int64_t now_ms);
