/* Scheduler of step jobs: jobs whose steps form a dependency graph and whose tasks run on targets
   under leases.

   One DagState holds all jobs and targets of a cell for one leadership term. It does no I/O
   except logging. Inputs are the functions below; now_ms is always the local monotonic time.
   Outputs are commands, which the caller carries out, and records, which it appends to a durable
   store. A DagState is not thread-safe.

   State changes are written ahead. A submission is acknowledged, a task started, the end of a run
   acknowledged to its target and a cancellation confirmed only after dag_stored() reports the batch
   that holds the job's record.

   A task runs on one target at a time. If its record assigns a run to a target, the task starts
   elsewhere only after one of these proofs that the run is over: the target reports its end, a
   later inventory taken with the fencing token of this term lacks it, the target has left or been
   replaced, or has restarted after its inventory listed the run, or every lease that it can hold
   has lapsed.

   A hold is a request to a target. It renews the leases of the target's runs, acknowledges their
   reported ends and returns the target's inventory. It may wait at the target until a run ends
   (long poll).

   The runs of a gang start together, share one run number and end together.

   A long-running task starts again however its run ends, until its job is cancelled. The steps of a
   job with a timetable run once for each of its occurrences. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_log.h"
#include "base/gr_metric.h"
#include "base/gr_pack.h"
#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most steps of one job. Dependencies are stored as a 64-bit set. */
#define DAG_MAX_STEPS 64
/* Most tasks of one job, over all its steps: their progress has to fit into one record of the
   store, 256 KiB. */
#define DAG_MAX_TASKS 3000

/* Most occurrences of a timetable. */
#define DAG_MAX_OCCURRENCES 10000

/* Longest estimate, latency or validity that is accepted: 366 days. */
#define DAG_DURATION_MAX_MS ((int64_t) 366 * 24 * 3600 * 1000)
/* Latest Unix time that is accepted: the year 2286. */
#define DAG_UNIX_TIME_MAX_MS ((int64_t) 9999999999999)
/* Largest slack factor of a queue. */
#define DAG_SLACK_MAX 1e6

typedef struct DagState DagState;

/* Requirements of a step; the same for each of its tasks. */
typedef struct {
  int32_t count;
  GrRes demand;
  int64_t estimate_ms;    /* expected run time of a task, as submitted */
  uint64_t depends_on;    /* bit set of earlier steps */
  GrName label;           /* label that the target must have; empty: none */
  GrName near_rack;       /* preferred rack, where the data is; empty: none */
  int32_t max_per_target; /* most tasks of the step on one target; 0: no limit */
  bool gang;              /* all tasks run at the same time or none does */
  bool one_rack;          /* gang: prefer one rack; slower if spread over several */
  bool checkpoints;       /* a run resumes from the last checkpoint of its task */
  bool best_effort_cpu;   /* runs on cpu time that other tasks leave idle; its cpu demand is
                             not reserved */
  bool long_running;      /* its tasks run until the job is cancelled and are started again
                             however a run ends */
  GrName image;           /* tasks of the same image behave alike; empty: unknown */
  int64_t tail_target_ms; /* long-running: the tail of its response times must stay below; 0: it
                             serves no users */
  /* Long-running: most tasks that may be unavailable at the same time because of stops by the
     scheduler; 0: the scheduler's default. */
  int32_t max_unavailable;
} DagStepSpec;

/* Times at which the steps of a job run. Occurrence K, from 0 on, is due at start_at_unix_ms plus K
   times interval_ms; occurrences may overlap. */
typedef struct {
  int32_t count; /* 0: no timetable, the job runs once and at once */
  int64_t start_at_unix_ms;
  int64_t interval_ms;
} DagTimetable;

/* A submission. Pointers are borrowed for the duration of the call. */
typedef struct {
  GrName id;
  GrName queue;
  GrName account; /* client account that sent it; empty: none */
  GrStr payload;
  const DagStepSpec *steps;
  size_t step_count;
  DagTimetable timetable;
} DagJobSpec;

/* Policy of a queue. */
typedef struct {
  GrName name;
  GrName service;       /* tasks run only on targets of this service */
  int32_t priority;     /* 0 is the highest */
  int32_t max_attempts; /* failed runs of a task after which its job fails */
  /* Objective of a job, from its acceptance: slack_factor (0 counts as 1) times the length of its
     critical path plus target_latency_ms. */
  double slack_factor;
  int64_t target_latency_ms;
  /* Placement advice: a step runs only on targets that an external service allows. A call is
     expected to take advice_ms plus advice_ms_per_target for each target that it names; its answer
     is valid for advice_valid_ms. */
  bool advised;
  double advice_ms;
  double advice_ms_per_target;
  int64_t advice_valid_ms;
} DagQueue;

typedef struct {
  const DagQueue *queues;
  size_t count;
} DagQueues;

/* Policy of a client account. A weight that is not a positive number counts as 1. */
typedef struct {
  GrName name;
  double weight; /* its share of a full cell, relative to other accounts; also the submissions a
                    second that count as within that share */
  GrRes maximum; /* of all its runs together; 0: no limit in that dimension */
} DagAccount;

typedef struct {
  const DagAccount *accounts;
  size_t count;
} DagAccounts;

/* Entry of a target in the list of targets, as reported by the target. */
typedef struct {
  GrName id;
  GrName vm; /* a target that starts later on the same VM proves that this one has ended */
  int64_t incarnation; /* start time in Unix ms */
  int64_t number;      /* increases with each entry of one incarnation; 0: not known */
  GrName service;
  GrName zone;
  GrName address;
  GrName kind; /* label compared with DagStepSpec.label */
  GrName rack;
  GrRes capacity;
  bool draining;
  int64_t remaining_ms; /* while draining: shortest time that it keeps serving */
  /* The entry was written after this time, on a clock that also counts while the VM is suspended;
     0: not known. */
  int64_t written_after_ms;
} DagTargetInfo;

/* In a job with a timetable, job is the id followed by "." and the number of the occurrence, except
   for occurrence 0, which has the id itself. */
typedef struct {
  GrName job;
  uint32_t step;
  uint32_t index;
} DagTaskRef;

/* A run that the target lists as running. */
typedef struct {
  DagTaskRef task;
  int64_t run;
  GrStr checkpoint; /* latest; empty: none */
  int32_t percent;  /* progress, 0 to 100 */
  /* Over the last half second: tail of the response times in ms if the step has a tail target, else
     cpu in use, in millicores; -1: not reported */
  int64_t usage;
} DagRunReport;

typedef enum {
  DAG_END_DONE,
  DAG_END_FAILED,
  DAG_END_STOPPED,
  DAG_END_LAPSED, /* its lease lapsed */
  DAG_END_BROKEN, /* another member of its gang ended */
  DAG_END_ALONE   /* the other members of its gang did not start in time */
} DagEndKind;

/* End of a run. A target reports it until it is acknowledged. */
typedef struct {
  int64_t number; /* increases within one incarnation of the target */
  DagTaskRef task;
  int64_t run;
  DagEndKind kind;
  GrStr checkpoint;
} DagEnd;

/* Ends that a target lists at a time. */
#define DAG_INVENTORY_ENDS_MAX 500

/* Inventory of a target, its answer to a hold. Pointers are borrowed for the call. */
typedef struct {
  int64_t incarnation; /* 0: not reported */
  int64_t clock_ms;    /* monotonic clock of the target */
  const DagRunReport *running;
  size_t running_count;
  const DagEnd *ends; /* the oldest that are not acknowledged, DAG_INVENTORY_ENDS_MAX at most */
  size_t end_count;
} DagInventory;

/* Result of an order (start, stop or hold) that was sent to a target. */
typedef enum {
  DAG_ORDER_OK,
  DAG_ORDER_FENCED,    /* refused: the target has seen a fencing token of a later term */
  DAG_ORDER_OLD,       /* the run number has been stopped or has ended */
  DAG_ORDER_LATE,      /* the lease had lapsed when the order arrived */
  DAG_ORDER_NO_ROOM,   /* the target lacks free resources for the run */
  DAG_ORDER_NO_TICKET, /* the target did not accept the ticket */
  DAG_ORDER_INVALID,   /* refused as malformed, or for a reason that is not in this list */
  DAG_ORDER_REFUSED,   /* not carried out: the target is unhealthy */
  DAG_ORDER_GONE,      /* another target or incarnation answered: the addressed one has ended */
  DAG_ORDER_NOT_SENT,  /* never sent, so it has no effect */
  DAG_ORDER_LOST,      /* no answer: it may have been carried out, or may be later */
  DAG_ORDER_CLOSED     /* the same, and the target closed the connection: its process has probably
                          ended. A hold that found nobody listening has this result too */
} DagOrderResult;

/* True if the order had no answer and may have been carried out, or may be later. */
static inline bool
dag_order_is_unanswered (DagOrderResult result)
{
  return result == DAG_ORDER_LOST || result == DAG_ORDER_CLOSED;
}

/* A target that advice allows, with the ticket that the start has to carry. */
typedef struct {
  GrName target;
  char ticket[48];
} DagAllowed;

/* Addressee of an order. */
typedef struct {
  GrName target;
  GrName address;
  GrName zone;
  int64_t incarnation;
} DagTargetRef;

typedef enum {
  DAG_CMD_ACCEPTED,  /* answer the submit call: the job is stored */
  DAG_CMD_CANCELLED, /* answer the cancel call: the cancellation is stored */
  DAG_CMD_START,     /* order; dag_handle_start_result() must follow */
  DAG_CMD_STOP,      /* order; dag_handle_stop_result() must follow */
  DAG_CMD_HOLD,      /* order; dag_handle_hold_result() must follow */
  DAG_CMD_PACE,      /* order; dag_handle_pace_result() must follow */
  DAG_CMD_ADVISE,    /* ask for placement advice; dag_handle_advice() must follow */
  DAG_CMD_DEPOSED    /* a later term exists: this scheduler must stop */
} DagCmdType;

typedef struct {
  DagCmdType type;
  DagTargetRef target; /* of an order */
  union {
    int64_t call; /* as passed to dag_submit() or dag_cancel() */
    struct {
      DagTaskRef task;
      int64_t run;
      int64_t lease_until; /* clock of the target */
      GrStr payload;       /* valid until the next input */
      GrName checkpoint;   /* to resume from; empty: none */
      char ticket[48];     /* empty: the queue needs no advice */
      int32_t priority;    /* 0 goes first */
      int64_t send_by;     /* local time; a start that is not sent by then must not be sent */
    } start;
    struct {
      DagTaskRef task;
      int64_t run;
    } stop;
    struct {
      DagTaskRef task;
      int64_t run;
      int32_t percent; /* share of its usual speed at which the run works */
    } pace;
    struct {
      int64_t lease_until;  /* clock of the target; 0: no renewal */
      int64_t acknowledged; /* ends up to this number are stored; the target may drop them */
      int64_t wait_ms;      /* longest wait at the target for an end; 0: answer at once */
      int64_t token;        /* to pass to dag_handle_hold_result() */
    } hold;
    struct {
      GrName job;
      uint32_t step;
      int64_t token;         /* to pass to dag_handle_advice() */
      const GrName *targets; /* valid until the next input */
      size_t count;
      int32_t priority;
      int64_t expected_ms; /* expected duration of the call */
    } advise;
  } u;
} DagCmd;

typedef GR_LIST (DagCmd) DagCmds;

typedef enum {
  DAG_JOB_UNKNOWN,
  DAG_JOB_QUEUED,
  DAG_JOB_IN_PROGRESS,
  DAG_JOB_COMPLETED,
  DAG_JOB_FAILED,
  DAG_JOB_CANCELLED
} DagJobState;

/* Names for logs; those of states also go to callers. */
const char *dag_job_state_name (DagJobState state);
const char *dag_order_result_name (DagOrderResult result);
const char *dag_end_kind_name (DagEndKind kind);

typedef enum {
  DAG_SUBMIT_PENDING,  /* answered by DAG_CMD_ACCEPTED */
  DAG_SUBMIT_KNOWN,    /* already stored */
  DAG_SUBMIT_NO_QUEUE, /* no such queue is configured */
  DAG_SUBMIT_OVERLOAD, /* refused, never runs: too much work of its account, or of all, waits, or
                          the job would miss its hard deadline; only for jobs of an account */
  DAG_SUBMIT_INVALID,
  DAG_SUBMIT_FOREIGN /* the id belongs to a job of another account; nothing was changed */
} DagSubmitResult;

typedef enum {
  DAG_CANCEL_PENDING, /* answered by DAG_CMD_CANCELLED */
  DAG_CANCEL_UNKNOWN, /* no such job was submitted; DAG_CMD_CANCELLED follows all the same */
  DAG_CANCEL_DROPPED, /* the job ended long ago; no command follows */
  DAG_CANCEL_FOREIGN  /* the job belongs to another account; nothing was changed */
} DagCancelResult;

/* Record for the durable store, which keeps the newest value of each key. An empty value deletes
   the key. */
typedef struct {
  GrBuf key;
  GrBuf value;
} DagRecord;

typedef GR_LIST (DagRecord) DagRecords;

typedef struct {
  int64_t lease_ms;        /* a run ends this long after the last renewal of its lease */
  int64_t lease_max_ms;    /* targets cap leases at this */
  int64_t stop_timeout_ms; /* a target ends a run within this time after a stop */
  int64_t status_keep_ms;  /* how long the state of an ended job stays available */
  /* Local time at which all leases renewed by schedulers of earlier terms have lapsed. It bounds
     the leases of targets that have not answered in this term. */
  int64_t former_leases_lapse_at_ms;
  int64_t unix_offset_ms; /* Unix time minus local time; stored times are Unix times */
  /* Tokens in commands are higher. Peers may still answer commands of an earlier term, so each term
     needs tokens of its own. */
  int64_t first_token;
  GrMetrics *metrics; /* borrowed for the life of the DagState; may be NULL */
  GrLog log;
  bool quiet;     /* write no log lines; for benchmarks and tests */
  bool no_triage; /* order by deadlines alone under overload; for comparisons in tests */
  /* Test-only: faulty variants that the property tests must detect. */
  bool broken_start_before_store;
  bool broken_restart_before_lapse;
  bool broken_interrupt_unchecked;
} DagOptions;

/* Copies options. Free with dag_free(). Returns NULL and sets err to GR_ERR_INVALID if lease_ms is
   not positive or exceeds lease_max_ms. */
DagState *dag_new (const DagOptions *options, GrErr *err);
void dag_free (DagState *dag);

/* Encodes a submission for forwarding to another VM, without its account. */
void dag_pack_job_spec (const DagJobSpec *spec, GrBuf *out);
/* Decodes a submission; returns false if it is malformed. *spec points into unpacked, which the
   caller has initialised and destroys, and to steps, which has room for DAG_MAX_STEPS. */
bool dag_unpack_job_spec (GrStr bytes, msgpack_unpacked *unpacked, DagStepSpec *steps,
                          DagJobSpec *spec);

/* Recovery: the caller loads every record of the store once, accounts (keys that start with 'a')
   first, then submissions (keys that start with 'j'), then the others, and calls dag_loaded().
   Nothing is placed before. A record that cannot be decoded is
   skipped with GR_ERR_PROTOCOL. */
bool dag_load (DagState *dag, GrStr key, GrStr value, int64_t now_ms, GrErr *err);
void dag_loaded (DagState *dag, int64_t now_ms);

/* From this local time on, no order is emitted that sets or renews a lease, and so no start. The
   caller moves the limit while this scheduler certainly leads; at first there is none. */
void dag_limit_leases (DagState *dag, int64_t until_ms);
/* Sets DagOptions.former_leases_lapse_at_ms; before the first record is loaded. */
void dag_set_former_leases (DagState *dag, int64_t lapse_at_ms);

/* Replaces the queues. Jobs whose queue is still configured take over its new policy, the others
   keep their old one. */
void dag_set_queues (DagState *dag, const DagQueues *queues, int64_t now_ms);
/* Replaces the policies of the client accounts. An account that is no longer listed keeps its last
   policy while it has jobs. */
void dag_set_accounts (DagState *dag, const DagAccounts *accounts, int64_t now_ms);
/* The entry of a target was read from the list of targets. Entries of earlier incarnations and
   earlier entries of the present one are ignored: a stale read must not bring back a capacity or a
   state that the target has left. */
void dag_target_seen (DagState *dag, const DagTargetInfo *info, int64_t now_ms);
/* The target is no longer in the list: its entry was removed by removed_by_ms, on the clock of
   DagTargetInfo.written_after_ms; 0: not known. */
void dag_target_unlisted (DagState *dag, const GrName *id, int64_t removed_by_ms, int64_t now_ms);

/* Checks a submission as dag_submit() does. Errors: GR_ERR_INVALID or GR_ERR_TOO_LARGE with the
   name of the field. */
bool dag_check_job_spec (const DagJobSpec *spec, GrErr *err);
/* call identifies the caller in DAG_CMD_ACCEPTED. *retry_after_ms is 0 except with
   DAG_SUBMIT_OVERLOAD; err is set with DAG_SUBMIT_INVALID only. If the id is known, only the
   account of spec is compared with the known job. A submission without an account is not refused as
   foreign: see dag_is_foreign(). */
DagSubmitResult dag_submit (DagState *dag, const DagJobSpec *spec, int64_t call, int64_t now_ms,
                            int64_t *retry_after_ms, GrErr *err);
/* Removes a job of which no record has been taken for storing; its submit calls get no command.
   Returns false if there is no such job, a record has been taken or a cancellation is pending. */
bool dag_withdraw (DagState *dag, const GrName *id);
/* Cancels the job unless it has ended. A job that is not known never starts after it was cancelled,
   even if its submission arrives later, as long as the state of an ended job stays available. */
DagCancelResult dag_cancel (DagState *dag, const GrName *id, int64_t call, int64_t now_ms);
/* Like dag_cancel() for a caller whose account is known; an empty one is that of callers without a
   key. If no such job was submitted, submissions of this account only never start. */
DagCancelResult dag_cancel_for (DagState *dag, const GrName *id, const GrName *account,
                                int64_t call, int64_t now_ms);
/* True if the id belongs to a job of another account than this. A job without an account is foreign
   to nobody: it was accepted on a route that is open to all, or before accounts were configured. */
bool dag_is_foreign (const DagState *dag, const GrName *id, const GrName *account);
/* State of the job for callers; DAG_JOB_UNKNOWN if it was never submitted. Ended states are
   returned only once they are stored. */
DagJobState dag_status (const DagState *dag, const GrName *id);
/* Payload of the job of a task, for a start that is sent later than its command; valid until the
   next input. False if the job is not open any more: then the start must not be sent. */
bool dag_payload (const DagState *dag, const DagTaskRef *task, GrStr *payload);
/* Number of open jobs of the queue for which no task has started. Occurrences do not count. */
int64_t dag_pending (const DagState *dag, const GrName *queue);

/* Results of the orders. An unknown or outdated task, run or token is ignored. DAG_ORDER_FENCED
   deposes the scheduler. clock_ms is the clock of the target, used with DAG_ORDER_OK only. */
void dag_handle_start_result (DagState *dag, const DagTaskRef *ref, int64_t run,
                              DagOrderResult result, int64_t clock_ms, int64_t now_ms);
void dag_handle_stop_result (DagState *dag, const DagTaskRef *ref, int64_t run,
                             DagOrderResult result, int64_t now_ms);
/* percent is that of the order. */
void dag_handle_pace_result (DagState *dag, const DagTaskRef *ref, int64_t run, int32_t percent,
                             DagOrderResult result, int64_t now_ms);
/* inventory must be given with DAG_ORDER_OK and is ignored otherwise. */
void dag_handle_hold_result (DagState *dag, const GrName *id, int64_t token, DagOrderResult result,
                             const DagInventory *inventory, int64_t now_ms);
/* Answer of the advice service: of the targets that the call named, the step may run on allowed.
   ok is false if the call failed; then allowed is empty and the call does not count as an answer.
   The answer is at most age_ms old. */
void dag_handle_advice (DagState *dag, const GrName *job_id, uint32_t number, int64_t token,
                        bool ok, const DagAllowed *allowed, size_t count, int64_t age_ms,
                        int64_t now_ms);

/* Runs timers and placement. The caller runs it after inputs, and no later than the local time that
   dag_next_tick() returns. */
void dag_tick (DagState *dag, int64_t now_ms);
int64_t dag_next_tick (const DagState *dag, int64_t now_ms);

/* Appends the records of changed jobs to *out, which the caller clears with dag_records_clear(),
   and returns the number of the batch. Returns 0 if nothing changed or a batch is still being
   stored. dag_stored() must follow. A batch is limited in size, so changes may be left for the next
   one. */
int64_t dag_take_batch (DagState *dag, DagRecords *out);
/* The batch is durable: emits the commands that waited for it and allows the next batch. */
void dag_stored (DagState *dag, int64_t batch, int64_t now_ms);
/* True if dag_take_batch() would return a batch. */
bool dag_has_changes (const DagState *dag);

/* Commands since the last dag_cmds_reset(), owned by dag. */
const DagCmds *dag_cmds (const DagState *dag);
void dag_cmds_reset (DagState *dag);
void dag_records_clear (DagRecords *records);

/* Counts for tests, metrics and logs. Targets, runs and cpu are those of listed targets;
   waiting_tasks are those of steps whose dependencies are done. */
typedef struct {
  size_t jobs, open_jobs, targets, usable_targets, runs, waiting_tasks;
  int64_t free_cpu_milli, capacity_cpu_milli;
} DagCounts;
DagCounts dag_counts (const DagState *dag, int64_t now_ms);
/* Logs why the steps that have waited longest have not started. */
void dag_log_waiting (const DagState *dag, int64_t now_ms);
/* Resources that runs reserve on a target, and its capacity; returns false if it is unknown. */
bool dag_target_room (const DagState *dag, const GrName *target, GrRes *used, GrRes *capacity);

#ifdef __cplusplus
}
#endif
