/* Jobs and requests of the partitions that one VM owns, as a pure state machine.

   The state accepts jobs and requests, makes them durable, asks schedulers to run attempts, retries
   within bounds, and sends the outcome to each caller once. It does no I/O: the embedder passes
   messages to job_step () and executes the commands that it returns. Times are local monotonic ms
   unless a name says unix. A state is used by one thread.

   Each VM delivers all records of the stream jobs-REGION to its state, which therefore holds the
   unfinished jobs of the whole region and can take over any partition. A state acts on a job only
   while the VM owns the job's partition and the ownership lease is active.

   Takeover of a partition:
   1. PART_GAINED is delivered.
   2. The VM asks every scheduler of the region for its tasks of the partition, under the new
      partition epoch. From then on each scheduler refuses placements with a lower epoch. Each task
      is delivered as TASK_REPORT, or as PLACE_RESULT QUEUED if it waits at the scheduler.
   3. PART_SYNCED is delivered. Attempts are placed only after it: an attempt that no scheduler
      reported has ended or never began.

   Records carry the ownership epoch as a fencing token. A new owner appends an OPEN record. Every
   reader ignores records of lower epochs that follow it in the stream, so that a late append by an
   earlier owner cannot revive a request that the new owner has refused. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_res.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches. Each disables one rule, to show that a property detects its absence. */
typedef struct {
  bool start_before_commit;   /* places attempts before the required records are committed */
  bool retry_non_idempotent;  /* retries non-idempotent work */
  bool retry_without_lapse;   /* retries an unresolved attempt that may still run */
  bool not_run_without_proof; /* ends a lapsed attempt as not run instead of unknown */
  bool forget_cancel; /* ends a cancelled task before its attempt is known to have stopped */
} JobFaults;

/* A field that is 0 gets its default, if it has one. */
typedef struct {
  int64_t max_attempts;     /* failed or lapsed attempts of one task, except services; default 4 */
  int64_t backoff_min_ms;   /* default 100 */
  int64_t backoff_max_ms;   /* default 5000 */
  int64_t retry_budget_pct; /* retries per 100 first attempts, beyond an initial 10; default 10 */
  int64_t keep_ended_ms;    /* retention of outcomes of ended jobs; default 600000 */
  int64_t jobs_max;         /* limit of unfinished jobs and requests; default 200000 */
  int64_t resolve_interval_ms; /* interval of JOB_CMD_RESOLVE for one attempt; default 1000 */
  int64_t unix_offset_ms;      /* Unix time minus local time, to convert the deadlines of records */
  int32_t parts;               /* partitions of the region, 1 to 1024; default 16 */
  uint64_t seed;               /* jitter of the backoff */
  JobFaults faults;
} JobOptions;

typedef enum {
  JOB_POLICY_REQUEST,
  JOB_POLICY_SERVICE, /* restarted after a success; max_attempts does not apply */
  JOB_POLICY_BATCH,
  JOB_POLICY_GANG /* its tasks start together or not at all */
} JobPolicy;

/* A job or request as submitted. The state copies it, including the payload. */
typedef struct {
  GrName id;
  GrName team; /* client account */
  GrName kind; /* tasks of one team and kind have similar size and run time */
  JobPolicy policy;
  bool idempotent;          /* running it twice does no harm */
  bool exclusive;           /* must never run in two places at once */
  bool urgent;              /* starts before other jobs */
  int32_t tasks;            /* 1 for requests */
  int32_t priority;         /* 0 to 1000; higher is scheduled first */
  GrRes demand;             /* of one task */
  int64_t run_ms;           /* expected run time of a task; 0: not declared */
  int64_t deadline_ms;      /* local time; INT64_MAX: none. Not recorded */
  int64_t deadline_unix_ms; /* the same deadline as it is recorded; INT64_MAX: none */
  GrStr payload;            /* passed to the target */
} JobSpec;

typedef enum {
  JOB_OUTCOME_NONE, /* not ended */
  JOB_OUTCOME_COMPLETED,
  JOB_OUTCOME_FAILED,
  JOB_OUTCOME_CANCELLED,
  JOB_OUTCOME_NOT_RUN, /* certainly never started */
  JOB_OUTCOME_UNKNOWN  /* may or may not have run */
} JobOutcome;

typedef enum {
  JOB_ACCEPTING, /* submitted, not yet durable */
  JOB_QUEUED,    /* accepted, no attempt is placed */
  JOB_PLACING,
  JOB_RUNNING,
  JOB_ENDED
} JobPhase;

typedef enum {
  JOB_MSG_TICK,
  JOB_MSG_PART_GAINED, /* the VM owns the partition and has delivered all its earlier records */
  JOB_MSG_PART_ACTIVE, /* the ownership lease is valid until until_ms; delivered repeatedly */
  JOB_MSG_PART_LOST,   /* ownership ended; waiting calls are refused with GR_ERR_UNAVAILABLE */
  JOB_MSG_RECORD,      /* one record of the stream jobs-REGION */
  JOB_MSG_SUBMIT,
  JOB_MSG_CANCEL,          /* stop the job; reply once it has ended */
  JOB_MSG_WAIT,            /* reply once the job has ended or at wait_until_ms */
  JOB_MSG_CALL_CLOSED,     /* the caller's connection closed */
  JOB_MSG_COMMITTED,       /* the record of JOB_CMD_APPEND is in the log */
  JOB_MSG_APPEND_REJECTED, /* the record of JOB_CMD_APPEND was certainly not written */
  /* Append again the records of unfinished jobs of owned partitions and of outcomes that never
     expire, before retention drops them. */
  JOB_MSG_SNAPSHOT,
  JOB_MSG_STORE_STATE, /* whether the log accepts appends */
  /* Answer to JOB_CMD_PLACE, also if no scheduler can be reached, or state of a waiting attempt. */
  JOB_MSG_PLACE_RESULT,
  JOB_MSG_TASK_REPORT, /* an attempt runs or has ended on a target */
  /* A VM is gone or no longer owns its groups; the state of the attempts it held is unknown. */
  JOB_MSG_SCHEDULER_LOST,
  JOB_MSG_PART_SYNCED /* takeover: every scheduler of the region has reported its tasks */
} JobMsgKind;

typedef enum {
  JOB_PLACE_QUEUED, /* the scheduler queued the attempt */
  JOB_PLACE_HELD,   /* gang: the scheduler reserved resources for the task */
  /* The attempt did not start at this scheduler and never will. A scheduler must not send this for
     an attempt that it has, even in answer to an old message. */
  JOB_PLACE_REFUSED,
  JOB_PLACE_UNKNOWN /* no answer; the attempt may start or run */
} JobPlaceResult;

/* State of an attempt in a report. */
typedef enum {
  JOB_TASK_RUNNING,
  JOB_TASK_SUCCEEDED,
  JOB_TASK_FAILED,
  JOB_TASK_STOPPED, /* ended by a request to stop */
  /* The attempt does not run any more and may never have run: its lease and a safety margin have
     expired, or no scheduler has it. */
  JOB_TASK_LAPSED
} JobTaskState;

typedef struct {
  JobMsgKind kind;
  union {
    struct {
      int32_t part;
      int64_t until_ms; /* PART_ACTIVE */
      int64_t epoch;    /* PART_GAINED: ownership epoch */
    } part;             /* PART_* */
    struct {
      GrName vm;
    } scheduler_lost;
    struct {
      GrStr bytes;
    } record;
    struct {
      int64_t call;        /* token of the call, repeated in the reply */
      const JobSpec *spec; /* used during the step only */
      bool wait;           /* reply at the end (request) and not when durable (job) */
    } submit;
    struct {
      int64_t call;
      GrName id;
      int64_t wait_until_ms; /* WAIT: local time; 0: reply at once */
    } ref;                   /* CANCEL, WAIT, CALL_CLOSED */
    struct {
      int64_t token;
    } append; /* COMMITTED, APPEND_REJECTED */
    struct {
      bool up;
    } store;
    struct {
      GrName id; /* task id JOB/INDEX */
      int32_t attempt;
      JobPlaceResult result;
      /* REFUSED: the reason. The task is tried elsewhere or later. It ends as not run if every
         refusal of a round is GR_ERR_UNPLACEABLE and it never ran. */
      GrErrCode why;
      GrName scheduler; /* VM that answered; empty if none was left to ask */
    } place;
    struct {
      GrName id; /* task id JOB/INDEX */
      int32_t attempt;
      JobTaskState state;
      GrName scheduler; /* VM that reported it; may be empty for LAPSED */
      GrStr answer;     /* SUCCEEDED: result of the task */
    } report;
  };
} JobMsg;

typedef enum {
  JOB_CMD_APPEND, /* append the record to jobs-REGION; answered by COMMITTED or APPEND_REJECTED */
  JOB_CMD_PLACE,  /* ask a scheduler that is not in avoid to run the attempt */
  JOB_CMD_COMMIT_GANG,  /* all tasks have reservations: start them */
  JOB_CMD_RELEASE_GANG, /* release the reservations */
  JOB_CMD_CANCEL_TASK,  /* stop the attempt; PLACE_RESULT REFUSED or TASK_REPORT follows */
  /* Ask the owners of all groups for the attempt. An owner that does not have it must never start
     it afterwards. Answered by TASK_REPORT or PLACE_RESULT with the state of the attempt, or by
     TASK_REPORT LAPSED once every owner has answered that it does not have it. */
  JOB_CMD_RESOLVE,
  JOB_CMD_REPLY
} JobCmdKind;

/* A task is placed in rounds: once this many schedulers refused it, or none is left to ask, it
   backs off before the next round. */
#define JOB_AVOID_MAX 3

/* Largest number of tasks of one job. */
#define JOB_TASKS_MAX 10000

typedef struct {
  JobCmdKind kind;
  int64_t token;       /* APPEND */
  GrStr bytes;         /* APPEND: record; REPLY: answer. Valid until the next step */
  const JobSpec *spec; /* PLACE: valid until the next step */
  int32_t index;       /* PLACE, CANCEL_TASK, RESOLVE: index of the task within the job */
  GrName id;           /* task id, or job id for REPLY, COMMIT_GANG, RELEASE_GANG */
  int32_t attempt;
  GrName scheduler; /* CANCEL_TASK, COMMIT_GANG, RELEASE_GANG: recipient; empty: all */
  size_t avoid_count;
  GrName avoid[JOB_AVOID_MAX]; /* PLACE: schedulers that refused the task */
  int64_t call;                /* REPLY */
  JobPhase phase;              /* REPLY */
  JobOutcome outcome;          /* REPLY */
  GrErrCode why; /* REPLY: reason of a refusal or of an outcome other than completed */
} JobCmd;

typedef GR_LIST (JobCmd) JobCmds;

/* Prefix of the ids of work that the configuration describes. Outcomes of these ids never expire:
   each owner submits the work again, and it would run a second time. */
#define JOB_CONFIG_PREFIX "conf:"

typedef struct JobState JobState;

/* Replaces fields that are 0 by their defaults. */
void job_options_defaults (JobOptions *options);
/* Returns a state that owns no partition, to be released with job_free (); NULL and GR_ERR_INVALID
   if an option is out of range. Applies the defaults to a copy of the options. */
JobState *job_new (const JobOptions *options, GrErr *err);
/* Accepts NULL. */
void job_free (JobState *state);
/* Processes one message at local time now_ms and adds the resulting commands to out, which the
   caller clears. Pointers in the commands are valid until the next step. */
void job_step (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
/* Returns the partition of a job or request id: xxh64 (id) % parts. */
int32_t job_part (const GrName *id, int32_t parts);
/* Returns the job id of a task id JOB/INDEX, or task_id itself if it has no slash. */
GrName job_of_task (const GrName *task_id);
/* Returns the number of jobs and requests that have not ended, in all partitions. */
size_t job_unfinished (const JobState *state);
/* Name of an outcome or phase as used on the wire, for example "not_run". */
const char *job_outcome_name (JobOutcome outcome);
const char *job_phase_name (JobPhase phase);

#ifdef __cplusplus
}
#endif
