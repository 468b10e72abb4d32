/* One worker or executor of the stand-in: its capacity, its fencing epoch and its tasks, which run
   under leases. */
#pragma once

#include <uthash.h>

#include "standin/standin.h"

/* Ended tasks and stops that arrived before their start are kept this long. */
#define STANDIN_ENDED_RETENTION_MS 60000
/* Placement on a target must stop within this time after the first sign that the target is leaving;
   later starts count as started_after_leaving. */
#define STANDIN_LEAVING_GRACE_MS 3000
/* The observed use of a task is reported from this long after its start. */
#define STANDIN_USE_DELAY_MS 1000

typedef struct StandinTarget StandinTarget;
typedef struct StandinWaiter StandinWaiter;

typedef struct StandinTask {
  char key[GR_NAME_MAX + 16]; /* "ID#ATTEMPT" */
  StandinTarget *target;
  GrName id;
  int32_t attempt;
  bool stopped_before_start; /* a stop arrived before any start */
  StandinTaskState state;
  GrRes demand;
  GrRes use; /* observed use */
  bool use_reported;
  bool fails; /* ends as failed */
  int64_t lease_until_ms;
  int64_t run_until_ms;
  int64_t started_ms;
  int64_t ended_ms;
  int64_t seq; /* of the target at the last change of the task */
  GrBuf answer;
  uv_timer_t timer;
  bool timer_open;
  UT_hash_handle hh;
  struct StandinTask *prev, *next;
} StandinTask;

struct StandinTarget {
  char name[GR_NAME_MAX + 1];
  Standin *standin;
  StandinVm vm;
  GrRes demanded; /* sum over running tasks */
  GrRes used;     /* sum of the observed use */
  int64_t open_calls;
  int64_t epoch;          /* fence: highest epoch seen; calls with a lower one are refused */
  int64_t seq;            /* number of the last change */
  StandinTask *tasks;     /* by key */
  StandinTask *running;   /* list */
  StandinTask *ended;     /* list, oldest first */
  StandinWaiter *waiters; /* long polls */
  bool leaving;           /* refuses starts and reports that it is leaving */
  bool down;              /* failed VM: its tasks are killed and its calls dropped */
  bool unreachable;       /* calls are dropped; tasks run on */
  bool fail_all;          /* every new task fails */
  int64_t slow_ms;        /* delay of each call, half of it before the effect */
  int64_t lost_permille;
  int64_t leaving_since_ms; /* first sign of leaving; 0 if none */
  UT_hash_handle hh;
};

struct StandinTargets {
  Standin *standin;
  StandinTarget *by_name;
  uv_timer_t purge;
};

typedef struct {
  GrName id;
  int32_t attempt;
  int64_t epoch;
  int64_t start_by_ms;
  int64_t lease_until_ms;
  GrRes demand;
  int64_t run_ms;
  GrStr payload;
} StandinStart;

typedef enum {
  STANDIN_START_DONE,    /* started, now or by an earlier call */
  STANDIN_START_STALE,   /* epoch below the fence */
  STANDIN_START_LATE,    /* start_by_ms or the lease has passed */
  STANDIN_START_STOPPED, /* stopped before the start arrived */
  STANDIN_START_LEAVING,
  STANDIN_START_FULL /* demand exceeds the free capacity */
} StandinStartResult;

/* Returns NULL if the target does not have the attempt. */
StandinTask *standin_task_find (StandinTarget *target, const GrName *id, int32_t attempt);
/* Idempotent by task id and attempt. */
StandinStartResult standin_target_start (StandinTarget *target, const StandinStart *start);
/* Extends the lease of a running attempt; never shortens it. */
void standin_target_lease (StandinTarget *target, const GrName *id, int32_t attempt,
                           int64_t lease_until_ms);
/* Stops a running attempt. The stop of an unknown attempt is kept, so that a start that arrives
   later is refused. */
void standin_target_stop (StandinTarget *target, const GrName *id, int32_t attempt);
/* Ends all running tasks as killed and removes all ended ones, as the failure of a VM does. */
void standin_target_kill (StandinTarget *target);
/* Removes tasks that ended longer than STANDIN_ENDED_RETENTION_MS ago. */
void standin_target_purge (StandinTarget *target, int64_t now_ms);
/* Returns false if the epoch is below the fence, otherwise raises the fence to it. */
bool standin_target_fence (StandinTarget *target, int64_t epoch);

/* Increments the sequence number and answers the waiting reads. */
void standin_target_changed (StandinTarget *target);
/* Refuses the waiting reads whose epoch is below the fence. */
void standin_target_refuse_stale_waiters (StandinTarget *target);
