/* Scheduler of the groups that one VM owns, as a pure state machine.

   It holds the targets' capacity and reservations and the queue of tasks that wait for them. A task
   enters by SCH_MSG_SUBMIT, is started on a target by SCH_CMD_START, and leaves by SCH_CMD_ENDED or
   SCH_CMD_REFUSED. The caller reports what targets say. One thread uses a state; times are local
   monotonic ms.

   Each submitted attempt gets exactly one SCH_CMD_REFUSED or SCH_CMD_ENDED, except that nothing is
   said of tasks on a target at SCH_MSG_TARGET_GONE: report a lapse before it if there will be no
   next owner. A submit of an attempt that is known, or was within the last 10 minutes, is ignored.
   The end of a task found in an inventory is told once, also if it was not submitted here. A
   leaving target stays so until it is gone. A start that the target refused is final for the
   attempt; SCH_CMD_STOP may be repeated until the end is reported. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches: each leaves out one rule, so that a property can show that it notices. */
typedef struct {
  bool no_capacity_check;
  bool no_quota_check;
  bool no_cancel_mark;
  bool no_release_on_duplicate_end_check;
  bool gang_partial_commit;
  bool no_aging;
} SchFaults;

typedef struct {
  int64_t queue_max;       /* waiting tasks; default 50000 */
  int64_t long_slots_pct;  /* share of an executor's slots for long work; default 50 */
  int64_t long_after_ms;   /* expected run time from which work counts as long; default 2000 */
  int64_t batch_share_pct; /* share of the capacity that batch may hold; default 90 */
  int64_t aging_ms; /* waiting time after which a task goes before its class; default 30000 */
  uint64_t seed;
  SchFaults faults;
} SchOptions;

typedef enum {
  SCH_POLICY_REQUEST,
  SCH_POLICY_SERVICE,
  SCH_POLICY_BATCH,
  SCH_POLICY_GANG
} SchPolicyKind;

typedef struct {
  SchPolicyKind kind;
  union {
    struct {
      bool urgent;
    } request;
    struct {
      int32_t replica; /* index within the service */
    } service;
    struct {
      bool preemptible; /* may be stopped and run again */
    } batch;
    struct {
      int32_t tasks;            /* size of the gang */
      int64_t hold_deadline_ms; /* a hold that is not committed by then is released */
    } gang;
  };
} SchPolicy;

/* One attempt of a task. The id is JOB/INDEX; (id, attempt) is unique. */
typedef struct {
  GrName id;
  int32_t attempt;
  GrName job;
  GrName team;
  GrName kind;      /* work of one kind has similar size and run time */
  int32_t priority; /* 0 to 1000, higher goes first */
  bool urgent;
  GrRes demand;
  int64_t declared_run_ms; /* 0 if not declared */
  int64_t deadline_ms;     /* start and run must end by then */
  SchPolicy policy;
} SchTask;

typedef enum {
  SCH_END_SUCCEEDED,
  SCH_END_FAILED,
  SCH_END_STOPPED,
  SCH_END_LAPSED /* the lease ended with no word from the target */
} SchEnd;

/* A task that a target reports in its inventory. */
typedef struct {
  SchTask task; /* what is known of it; id, attempt and demand are set */
  bool running;
  SchEnd end;
} SchInventoryTask;

typedef enum {
  SCH_MSG_TICK,
  SCH_MSG_LIMITS,         /* team weights and quota parts */
  SCH_MSG_TARGET_UP,      /* a target of an owned group, with its inventory */
  SCH_MSG_TARGET_LEAVING, /* no new work for it; its tasks go on */
  SCH_MSG_TARGET_DOWN,    /* not reachable: no new work; its tasks end by report or lapse */
  SCH_MSG_TARGET_GONE,    /* no longer ours or off the list: forget it and its reservations */
  SCH_MSG_SUBMIT,
  SCH_MSG_CANCEL,
  SCH_MSG_COMMIT,       /* all parts of the gang hold: start them */
  SCH_MSG_RELEASE,      /* drop the gang's holds here */
  SCH_MSG_START_RESULT, /* a target took or refused a start */
  SCH_MSG_ENDED,        /* a target reports an end, or its lease lapsed */
  SCH_MSG_USAGE         /* a target's delayed usage report */
} SchMsgKind;

typedef enum {
  SCH_START_TAKEN,
  SCH_START_REFUSED, /* certainly not started: full, leaving, late or fenced */
  SCH_START_UNKNOWN  /* no answer; the reservation stays until the target or its lease tells */
} SchStartResult;

typedef struct {
  GrName team;
  int32_t weight;
  GrRes quota_part; /* this VM's part; 0 in a dimension: not limited, negative: none of it */
} SchTeamLimit;

typedef struct {
  SchMsgKind kind;
  union {
    struct {
      const SchTeamLimit *teams;
      size_t count;
    } limits;
    struct {
      GrName target; /* all TARGET_* messages */
      GrName group;
      GrName zone;
      GrRes capacity;
      const SchInventoryTask *tasks;
      size_t count;
    } target;
    const SchTask *submit;
    struct {
      GrName id;       /* task id (CANCEL) or job id (COMMIT, RELEASE) */
      int32_t attempt; /* COMMIT, RELEASE: attempt of the gang's parts; 0: any */
    } ref;
    struct {
      GrName id;
      int32_t attempt;
      SchStartResult result;
    } start_result;
    struct {
      GrName id;
      int32_t attempt;
      SchEnd end;
      int64_t run_ms;
    } ended;
    struct {
      GrName id;
      int32_t attempt;
      GrRes used;
    } usage;
  };
} SchMsg;

typedef enum {
  SCH_CMD_START,       /* start task on target; report SCH_MSG_START_RESULT */
  SCH_CMD_STOP,        /* stop a running task on its target */
  SCH_CMD_HELD,        /* a gang part holds its reservation until its deadline */
  SCH_CMD_REFUSED,     /* the attempt did not start and will not start here */
  SCH_CMD_ENDED,       /* the attempt ended; reservation released */
  SCH_CMD_TARGET_STATE /* quarantined or readmitted, for logs */
} SchCmdKind;

/* Why a decision was taken, for the decision log. */
typedef enum {
  SCH_WHY_BEST_FIT,
  SCH_WHY_SPREAD,
  SCH_WHY_BACKFILL,
  SCH_WHY_RESERVED,
  SCH_WHY_PROBE,
  SCH_WHY_QUEUE_FULL,
  SCH_WHY_DEADLINE,
  SCH_WHY_NEVER_FITS,
  SCH_WHY_QUOTA,
  SCH_WHY_CANCELLED,
  SCH_WHY_HOLD_EXPIRED,
  SCH_WHY_NO_TARGET,
  SCH_WHY_TARGET_REFUSED,
  SCH_WHY_PREEMPTED,
  SCH_WHY_FAILS_EVERYTHING,
  SCH_WHY_OVERRUN /* used more than its target or its team's quota part has left */
} SchWhy;

typedef struct {
  SchCmdKind kind;
  GrName id;
  int32_t attempt;
  GrName target;
  SchWhy why;
  GrResDim dim;        /* SCH_WHY_NEVER_FITS, SCH_WHY_QUOTA: the limiting dimension */
  SchEnd end;          /* SCH_CMD_ENDED */
  const SchTask *task; /* SCH_CMD_START: valid until the next step */
} SchCmd;

typedef GR_LIST (SchCmd) SchCmds;

typedef struct {
  GrRes free;         /* sum over targets */
  GrRes largest_hole; /* per dimension, the largest free on one target */
  int64_t queued;
  int64_t running;
  int64_t short_wait_ms; /* expected wait of short work submitted now */
} SchSummary;

typedef struct SchState SchState;

void sch_options_defaults (SchOptions *options);
SchState *sch_new (const SchOptions *options, GrErr *err);
void sch_free (SchState *state);
void sch_step (SchState *state, const SchMsg *msg, int64_t now_ms, SchCmds *out);
void sch_summary (const SchState *state, SchSummary *out);
/* Reserved resources of a target; false if it is not known. */
bool sch_target_reserved (const SchState *state, const GrName *target, GrRes *reserved);
/* Why a waiting task waits; false if it does not wait here. */
bool sch_explain (const SchState *state, const GrName *id, SchWhy *why, GrResDim *dim);
size_t sch_task_count (const SchState *state);
const char *sch_why_name (SchWhy why);

#ifdef __cplusplus
}
#endif
