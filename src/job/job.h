/* Jobs and requests of the partitions that one VM owns, as a pure state machine.

   It accepts work, makes it durable, asks schedulers to run attempts, retries within bounds, and
   tells callers the outcome once. Times are local monotonic ms. One thread uses a state.

   Every VM delivers all records of jobs-REGION, so that each holds the unfinished jobs of the
   region and can take over a partition. It acts on a job only while its partition is owned and
   active. Takeover: PART_GAINED; the VM asks every scheduler of the region for its tasks of the
   partition under the new partition epoch (each scheduler refuses places of lower epochs from then
   on) and delivers them as TASK_REPORT, or PLACE_RESULT QUEUED for waiting ones; then
   PART_SYNCED. Only then are attempts placed: an attempt that nobody reported has ended or never
   began. Records carry the ownership epoch. A new owner appends an OPEN record; records of lower
   epochs that come after it in the stream are void for every reader, so that a late append of an
   earlier owner cannot revive a request that was refused meanwhile. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_res.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches: each leaves out one rule, so that a property can show that it notices. */
typedef struct {
  bool start_before_commit;
  bool retry_non_idempotent;
  bool retry_without_lapse;
  bool not_run_without_proof;
  bool forget_cancel; /* tells the end before the attempt is known to have stopped */
} JobFaults;

typedef struct {
  int64_t max_attempts;        /* default 4 */
  int64_t backoff_min_ms;      /* default 100 */
  int64_t backoff_max_ms;      /* default 5000 */
  int64_t retry_budget_pct;    /* retries per 100 first attempts; default 10, at least 10 retries */
  int64_t keep_ended_ms;       /* outcomes stay answerable for this long; default 600000 */
  int64_t jobs_max;            /* unfinished jobs held; default 200000 */
  int64_t resolve_interval_ms; /* interval of JOB_CMD_RESOLVE for one attempt; default 1000 */
  int64_t unix_offset_ms;      /* Unix time minus local time, to read deadlines of records */
  int32_t parts;               /* partitions of the region; default 16 */
  uint64_t seed;
  JobFaults faults;
} JobOptions;

typedef enum {
  JOB_POLICY_REQUEST,
  JOB_POLICY_SERVICE,
  JOB_POLICY_BATCH,
  JOB_POLICY_GANG
} JobPolicy;

/* What a caller asks for. Strings are copied by the state. */
typedef struct {
  GrName id;
  GrName team;
  GrName kind;
  JobPolicy policy;
  bool idempotent;
  bool exclusive;
  bool urgent;
  int32_t tasks; /* 1 for requests */
  int32_t priority;
  GrRes demand;
  int64_t run_ms;      /* declared; 0 if not */
  int64_t deadline_ms; /* local; the codec carries deadline_unix_ms */
  int64_t deadline_unix_ms;
  GrStr payload;
} JobSpec;

typedef enum {
  JOB_OUTCOME_NONE, /* not ended */
  JOB_OUTCOME_COMPLETED,
  JOB_OUTCOME_FAILED,
  JOB_OUTCOME_CANCELLED,
  JOB_OUTCOME_NOT_RUN,
  JOB_OUTCOME_UNKNOWN
} JobOutcome;

typedef enum {
  JOB_ACCEPTING,
  JOB_QUEUED,
  JOB_PLACING,
  JOB_RUNNING,
  JOB_ENDED
} JobPhase;

typedef enum {
  JOB_MSG_TICK,
  JOB_MSG_PART_GAINED, /* records of the partition were all delivered before */
  JOB_MSG_PART_ACTIVE, /* the ownership lease allows to act until until_ms; sent at each tick */
  JOB_MSG_PART_LOST,   /* stop acting on its jobs; waiting calls get GR_ERR_UNAVAILABLE */
  JOB_MSG_RECORD,      /* one record of the stream jobs-REGION */
  JOB_MSG_SUBMIT,
  JOB_MSG_CANCEL,
  JOB_MSG_WAIT,            /* reply when the job ended or wait_until_ms passed */
  JOB_MSG_CALL_CLOSED,     /* the caller's connection closed */
  JOB_MSG_COMMITTED,       /* the record of JOB_CMD_APPEND is in the log */
  JOB_MSG_APPEND_REJECTED, /* the record of JOB_CMD_APPEND was certainly not written */
  JOB_MSG_SNAPSHOT,    /* append the unfinished jobs of owned partitions anew, ahead of retention */
  JOB_MSG_STORE_STATE, /* whether the log takes appends now */
  JOB_MSG_PLACE_RESULT,   /* a scheduler holds or refused an attempt, or cannot be reached */
  JOB_MSG_TASK_REPORT,    /* an attempt runs or ended on a target */
  JOB_MSG_SCHEDULER_LOST, /* a VM is gone or lost its groups: the fate of its attempts is not known
                           */
  JOB_MSG_PART_SYNCED /* after a takeover: every scheduler of the region answered for the part */
} JobMsgKind;

typedef enum {
  JOB_PLACE_QUEUED,  /* the scheduler took the attempt */
  JOB_PLACE_HELD,    /* gang: the part holds a reservation */
  JOB_PLACE_REFUSED, /* certainly not started and will not start there; never for an attempt that
                        the scheduler knows, also not as the answer to an old message */
  JOB_PLACE_UNKNOWN  /* no word; the attempt may start or run */
} JobPlaceResult;

typedef enum {
  JOB_TASK_RUNNING,
  JOB_TASK_SUCCEEDED,
  JOB_TASK_FAILED,
  JOB_TASK_STOPPED,
  JOB_TASK_LAPSED /* lease ended with margin; the attempt no longer runs */
} JobTaskState;

typedef struct {
  JobMsgKind kind;
  union {
    struct {
      int32_t part;
      int64_t until_ms; /* PART_ACTIVE */
      int64_t epoch;    /* PART_GAINED: epoch of the ownership */
    } part;             /* PART_*, PART_SYNCED */
    struct {
      GrName vm;
    } scheduler_lost;
    struct {
      GrStr bytes;
    } record;
    struct {
      int64_t call; /* token of the waiting caller */
      const JobSpec *spec;
      bool wait; /* reply at the end (request) instead of when durable (job) */
    } submit;
    struct {
      int64_t call;
      GrName id;
      int64_t wait_until_ms; /* WAIT: 0 replies at once */
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
      GrErrCode why;    /* REFUSED: GR_ERR_UNPLACEABLE ends the job, others are tried elsewhere */
      GrName scheduler; /* VM that answered */
    } place;
    struct {
      GrName id;
      int32_t attempt;
      JobTaskState state;
      GrName scheduler;
      GrStr answer;
    } report;
  };
} JobMsg;

typedef enum {
  JOB_CMD_APPEND,       /* write the record to jobs-REGION; report COMMITTED or APPEND_REJECTED */
  JOB_CMD_PLACE,        /* ask a scheduler to run the attempt; avoid lists those that refused */
  JOB_CMD_COMMIT_GANG,  /* all parts hold: start them */
  JOB_CMD_RELEASE_GANG, /* drop the holds */
  JOB_CMD_CANCEL_TASK,
  /* Ask the owners of all groups for the attempt. Each that does not have it must never start it
     afterwards. Answer by TASK_REPORT: its state, or LAPSED once all owners answered absent. */
  JOB_CMD_RESOLVE,
  JOB_CMD_REPLY /* answer the call */
} JobCmdKind;

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
  GrName scheduler; /* CANCEL_TASK, COMMIT_GANG, RELEASE_GANG: where; empty: all */
  size_t avoid_count;
  GrName avoid[JOB_AVOID_MAX];
  int64_t call; /* REPLY */
  JobPhase phase;
  JobOutcome outcome;
  GrErrCode why; /* reason of an outcome other than completed */
} JobCmd;

typedef GR_LIST (JobCmd) JobCmds;

/* Ids of work that the configuration describes begin with this. Their outcomes are kept for good,
   since the work would be submitted again once its end was forgotten. */
#define JOB_CONFIG_PREFIX "conf:"

typedef struct JobState JobState;

void job_options_defaults (JobOptions *options);
JobState *job_new (const JobOptions *options, GrErr *err);
void job_free (JobState *state);
void job_step (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
/* Partition of a job or request id: xxh64 (id) % parts. */
int32_t job_part (const GrName *id, int32_t parts);
/* Job id of a task id JOB/INDEX. */
GrName job_of_task (const GrName *task_id);
size_t job_unfinished (const JobState *state);
const char *job_outcome_name (JobOutcome outcome);
const char *job_phase_name (JobPhase phase);

#ifdef __cplusplus
}
#endif
