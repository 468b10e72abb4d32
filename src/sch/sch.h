/* Scheduler of the groups that one VM owns, as a pure state machine.

   It holds the capacity and the reservations of the targets, and the queues of the tasks that wait
   for them. A task enters by SCH_MSG_SUBMIT, is started on a target by SCH_CMD_START, and leaves by
   SCH_CMD_ENDED or SCH_CMD_REFUSED. The caller executes the commands and passes on the answers and
   reports of the targets as messages. A state is used by one thread; times are local monotonic ms.

   Each submitted attempt gets exactly one SCH_CMD_REFUSED or SCH_CMD_ENDED, with one exception:
   SCH_MSG_TARGET_GONE drops, without a command, the tasks that start or run on the target. If the
   target has no next owner, report SCH_END_LAPSED for its tasks before that message.

   A submit of an attempt that is known, or was known within the last 10 minutes, is ignored. The
   end of a task in an inventory is reported once, even if the task was not submitted here. A
   leaving target stays in that state until SCH_MSG_TARGET_GONE. A start that the target refused is
   final for the attempt. SCH_CMD_STOP may be repeated until the end of the task is reported. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches. Each disables one rule, so that a property test can show that it detects the
   violation. */
typedef struct {
  bool no_capacity_check;
  bool no_quota_check;
  bool no_cancel_mark;         /* a cancel before the submit is not remembered */
  bool no_duplicate_end_check; /* a duplicate end releases resources again */
  bool gang_partial_commit;    /* a commit starts parts although others wait */
  bool no_aging;
} SchFaults;

typedef struct {
  int64_t queue_max;       /* waiting tasks; default 50000 */
  int64_t long_slots_pct;  /* max share of an executor's slots for long work; default 50 */
  int64_t long_after_ms;   /* minimum expected run time of long work; default 2000 */
  int64_t batch_share_pct; /* max share of the capacity for batch and long work; default 90 */
  int64_t aging_ms;        /* wait after which a task is served first in its class; default 30000 */
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
      bool urgent; /* puts the task into the same class as SchTask.urgent */
    } request;
    struct {
      int32_t replica; /* index within the service */
    } service;
    struct {
      bool preemptible; /* may be stopped for other work and run again later */
    } batch;
    struct {
      int32_t tasks;            /* size of the gang */
      int64_t hold_deadline_ms; /* parts not committed by then are refused */
    } gang;
  };
} SchPolicy;

/* One attempt of a task. The id is JOB/INDEX; (id, attempt) is unique. */
typedef struct {
  GrName id;
  int32_t attempt;
  GrName job;
  GrName team;
  GrName kind;      /* tasks of one team and kind have similar size and run time */
  int32_t priority; /* 0 to 1000, higher is served first */
  bool urgent;      /* served before all other classes */
  GrRes demand;
  int64_t declared_run_ms; /* 0 if not declared */
  int64_t deadline_ms;     /* the run must have ended by then; 0: none */
  SchPolicy policy;
} SchTask;

typedef enum {
  SCH_END_SUCCEEDED,
  SCH_END_FAILED,
  SCH_END_STOPPED,
  SCH_END_LAPSED /* the lease expired without a report from the target */
} SchEnd;

/* A task that a target reports in its inventory. */
typedef struct {
  SchTask task; /* at least id, attempt and demand are set */
  bool running;
  SchEnd end; /* if not running */
} SchInventoryTask;

typedef enum {
  SCH_MSG_TICK,
  SCH_MSG_LIMITS,         /* team weights and quota parts */
  SCH_MSG_TARGET_UP,      /* a target of an owned group, with its inventory */
  SCH_MSG_TARGET_LEAVING, /* no new work for it; its tasks continue */
  SCH_MSG_TARGET_DOWN,    /* not reachable: no new work; its tasks end by a report or a lapse */
  SCH_MSG_TARGET_GONE,    /* no longer owned or no longer listed: drops the target and its tasks */
  SCH_MSG_SUBMIT,
  SCH_MSG_CANCEL,
  SCH_MSG_COMMIT,       /* all parts of the gang hold: start them */
  SCH_MSG_RELEASE,      /* refuse all parts of the gang that hold or wait here */
  SCH_MSG_START_RESULT, /* a target accepted or refused a start */
  SCH_MSG_ENDED,        /* a target reports an end, or the lease expired */
  SCH_MSG_USAGE         /* usage of a running task, reported by its target with a delay */
} SchMsgKind;

typedef enum {
  SCH_START_TAKEN,   /* the target accepted the start */
  SCH_START_REFUSED, /* certainly not started: full, leaving, late or fenced */
  SCH_START_UNKNOWN  /* no answer; the reservation stays until the end or a lapse is reported */
} SchStartResult;

typedef struct {
  GrName team;
  int32_t weight;
  GrRes quota_part; /* this VM's part, by dimension; 0: not limited, negative: nothing allowed */
} SchTeamLimit;

/* A message. Its pointers need to be valid only during sch_step. */
typedef struct {
  SchMsgKind kind;
  union {
    struct {
      const SchTeamLimit *teams; /* all teams with limits; others have none */
      size_t count;
    } limits;
    struct {
      GrName target;  /* all TARGET_* messages */
      GrName group;   /* TARGET_UP, TARGET_LEAVING */
      GrName zone;    /* TARGET_UP, TARGET_LEAVING */
      GrRes capacity; /* TARGET_UP, as the following */
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
      int64_t run_ms; /* -1: not known */
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
  SCH_CMD_TARGET_STATE /* a target was quarantined or readmitted; for the log */
} SchCmdKind;

/* Reason for a decision, for the decision log. */
typedef enum {
  SCH_WHY_BEST_FIT,
  SCH_WHY_SPREAD,
  SCH_WHY_BACKFILL,
  SCH_WHY_RESERVED,
  SCH_WHY_PROBE, /* placed on a quarantined target; TARGET_STATE: readmitted after a probe */
  SCH_WHY_QUEUE_FULL,
  SCH_WHY_DEADLINE,
  SCH_WHY_NEVER_FITS,
  SCH_WHY_QUOTA,
  SCH_WHY_CANCELLED,
  SCH_WHY_HOLD_EXPIRED,
  SCH_WHY_NO_TARGET,
  SCH_WHY_TARGET_REFUSED,
  SCH_WHY_PREEMPTED,
  SCH_WHY_FAILS_EVERYTHING, /* target quarantined, as the tasks on it fail */
  SCH_WHY_OVERRUN           /* uses more than its target or its team's quota part has left */
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
  GrRes free;            /* sum over usable targets */
  GrRes largest_hole;    /* per dimension, the largest free amount on any one target */
  int64_t queued;        /* waiting tasks */
  int64_t running;       /* tasks that start or run */
  int64_t short_wait_ms; /* expected wait of short work submitted now */
} SchSummary;

typedef struct SchState SchState;

void sch_options_defaults (SchOptions *options);
/* Returns NULL and sets err, with the name of the option, if an option is out of range. */
SchState *sch_new (const SchOptions *options, GrErr *err);
void sch_free (SchState *state); /* accepts NULL */
/* Processes one message and appends the resulting commands to out, which the caller clears. A
   now_ms below that of an earlier step is replaced by the earlier one. Timers and periodic work run
   only in a step, so SCH_MSG_TICK is needed at regular intervals. */
void sch_step (SchState *state, const SchMsg *msg, int64_t now_ms, SchCmds *out);
void sch_summary (const SchState *state, SchSummary *out);
/* Resources reserved on a target; false if the target is not known. */
bool sch_target_reserved (const SchState *state, const GrName *target, GrRes *reserved);
/* Sets *why, and *dim for SCH_WHY_QUOTA, to the reason why a task waits; false if it does not wait
   here. */
bool sch_explain (const SchState *state, const GrName *id, SchWhy *why, GrResDim *dim);
/* Number of attempts that wait, hold, start or run. */
size_t sch_task_count (const SchState *state);
/* Name for the decision log, a static string. */
const char *sch_why_name (SchWhy why);

#ifdef __cplusplus
}
#endif
