/* One worker or executor of the stand-in: capacity, fence, tasks under leases. */
#pragma once

#include <uthash.h>

#include "standin/standin.h"

/* Ends and stops of unknown tasks are kept this long. */
#define STANDIN_KEEP_ENDED_MS 60000
/* Placement has to stop this long after the first sign of leaving. */
#define STANDIN_LEAVING_GRACE_MS 3000
/* The observed use of a task is reported this long after its start. */
#define STANDIN_USE_DELAY_MS 1000

typedef struct StandinTarget StandinTarget;
typedef struct StandinWaiter StandinWaiter;

typedef struct StandinTask {
  char key[GR_NAME_MAX + 16]; /* "ID#ATTEMPT" */
  StandinTarget *target;
  GrName id;
  int32_t attempt;
  bool unknown_stopped; /* stopped before any start arrived */
  StandinTaskState state;
  GrRes demand;
  GrRes use;
  bool use_reported;
  bool fails;
  int64_t lease_until_ms;
  int64_t run_until_ms;
  int64_t started_ms;
  int64_t ended_ms;
  int64_t seq; /* of the last change */
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
  GrRes used;
  int64_t open_calls;
  int64_t epoch; /* fence */
  int64_t seq;
  StandinTask *tasks;   /* by key */
  StandinTask *running; /* list */
  StandinTask *ended;   /* list, oldest first */
  StandinWaiter *waiters;
  bool leaving; /* the target itself refuses starts */
  bool down;
  bool unreachable;
  bool fail_all;
  int64_t slow_ms;
  int64_t lost_permille;
  int64_t leaving_since_ms; /* first sign of leaving, 0 if none */
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
  STANDIN_START_DONE, /* started, or known before */
  STANDIN_START_STALE,
  STANDIN_START_LATE,
  STANDIN_START_STOPPED,
  STANDIN_START_LEAVING,
  STANDIN_START_FULL
} StandinStartResult;

StandinTask *standin_task_find (StandinTarget *target, const GrName *id, int32_t attempt);
StandinStartResult standin_target_start (StandinTarget *target, const StandinStart *start);
void standin_target_lease (StandinTarget *target, const GrName *id, int32_t attempt,
                           int64_t lease_until_ms);
void standin_target_stop (StandinTarget *target, const GrName *id, int32_t attempt);
/* Ends all running tasks as killed, as a failed VM does, and forgets every end. */
void standin_target_kill (StandinTarget *target);
/* Drops ends that were kept long enough. */
void standin_target_purge (StandinTarget *target, int64_t now_ms);
/* False if the epoch is below the fence; else raises the fence. */
bool standin_target_fence (StandinTarget *target, int64_t epoch);

/* Raises the sequence number and answers the waiting reads. */
void standin_target_changed (StandinTarget *target);
/* Answers the reads that wait with an epoch below the fence. */
void standin_target_refuse_stale_waiters (StandinTarget *target);
