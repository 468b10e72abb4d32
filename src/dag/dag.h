/* Scheduler of step jobs: jobs whose steps depend on each other and whose tasks run on targets
   under leases.

   One state holds all jobs and targets of a cell for one term of leadership. It is pure: inputs are
   the functions below, with the local monotonic time in ms; outputs are commands that the caller
   carries out and records that it appends to a durable store.

   What must not be lost is written ahead. A submission is acknowledged, a task started, the end of
   a run acknowledged to its target and a cancellation confirmed only after dag_stored() reports the
   batch that holds the job's record. A task whose run is recorded on one target starts elsewhere
   only with proof that the run is over: the target lists its end, a later inventory taken under the
   fence of this term lacks it, the target has restarted, or every lease it can hold has lapsed. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_log.h"
#include "base/gr_metric.h"
#include "base/gr_pack.h"
#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Steps of one job; their dependencies are a bit set. */
#define DAG_MAX_STEPS 64
/* Tasks of one job over all steps. */
#define DAG_MAX_TASKS 4096

/* Longest estimate, latency or validity that is accepted: a year. */
#define DAG_DURATION_MAX_MS ((int64_t) 366 * 24 * 3600 * 1000)
/* Largest slack factor of a queue. */
#define DAG_SLACK_MAX 1e6

typedef struct DagState DagState;

/* What the tasks of a step need. */
typedef struct {
  int32_t count;
  GrRes demand;
  int64_t estimate_ms;
  uint64_t depends_on;    /* bit set of earlier steps */
  GrName label;           /* label that the target must have; empty: none */
  GrName near_rack;       /* rack of the data; empty: none */
  int32_t max_per_target; /* 0: no limit */
  bool gang;
  bool one_rack; /* slower if spread over several racks */
  bool checkpoints;
  bool best_effort_cpu; /* takes processor time that other tasks leave; its cpu demand is not
                           reserved */
} DagStepSpec;

/* Views are borrowed for the call. */
typedef struct {
  GrName id;
  GrName queue;
  GrStr payload;
  const DagStepSpec *steps;
  size_t step_count;
} DagJobSpec;

typedef struct {
  GrName name;
  GrName service;   /* the targets that may run its tasks */
  int32_t priority; /* 0 goes first */
  int32_t max_attempts;
  double slack_factor;
  int64_t target_latency_ms;
  /* Placement advice: only targets that an outside service allows may run a step. */
  bool advised;
  double advice_ms;
  double advice_ms_per_target;
  int64_t advice_valid_ms;
} DagQueue;

typedef struct {
  const DagQueue *queues;
  size_t count;
} DagQueues;

/* A target as it describes itself. */
typedef struct {
  GrName id;
  GrName vm; /* the VM it runs on; a new target on the same VM proves the end of the former */
  int64_t incarnation; /* start time in Unix ms */
  GrName service;
  GrName zone;
  GrName address;
  GrName kind; /* label compared with DagStepSpec.label */
  GrName rack;
  GrRes capacity;
  bool draining;
  int64_t remaining_ms; /* while draining: it serves at least so long */
} DagTargetInfo;

typedef struct {
  GrName job;
  uint32_t step;
  uint32_t index;
} DagTaskRef;

typedef struct {
  DagTaskRef task;
  int64_t run;
  GrStr checkpoint;
  int32_t percent;
} DagRunReport;

typedef enum {
  DAG_END_DONE,
  DAG_END_FAILED,
  DAG_END_STOPPED,
  DAG_END_LAPSED, /* its lease ran out */
  DAG_END_BROKEN, /* another member of its gang ended */
  DAG_END_ALONE   /* the other members of its gang did not come */
} DagEndKind;

typedef struct {
  int64_t number; /* rises within one incarnation of the target */
  DagTaskRef task;
  int64_t run;
  DagEndKind kind;
  GrStr checkpoint;
} DagEnd;

/* Answer of a target to a hold: its inventory. */
typedef struct {
  int64_t incarnation; /* 0: not told */
  int64_t clock_ms;    /* the target's steady clock */
  const DagRunReport *running;
  size_t running_count;
  const DagEnd *ends;
  size_t end_count;
} DagInventory;

typedef enum {
  DAG_ORDER_OK,
  DAG_ORDER_FENCED, /* the target has seen a later term */
  DAG_ORDER_OLD,    /* the run number was stopped or has ended */
  DAG_ORDER_LATE,   /* the lease had lapsed on arrival */
  DAG_ORDER_NO_ROOM,
  DAG_ORDER_NO_TICKET,
  DAG_ORDER_INVALID,
  DAG_ORDER_REFUSED,  /* nothing was done: the target is unhealthy */
  DAG_ORDER_GONE,     /* another target answered: the intended one is gone */
  DAG_ORDER_NOT_SENT, /* certainly not sent */
  DAG_ORDER_LOST      /* no answer: it may be carried out, also later */
} DagOrderResult;

typedef struct {
  GrName target;
  char ticket[48];
} DagAllowed;

typedef struct {
  GrName target;
  GrName address;
  int64_t incarnation;
} DagTargetRef;

typedef enum {
  DAG_CMD_ACCEPTED,  /* call: the job is stored */
  DAG_CMD_CANCELLED, /* call: the cancellation is stored */
  DAG_CMD_START,
  DAG_CMD_STOP,
  DAG_CMD_HOLD,
  DAG_CMD_ADVISE,
  DAG_CMD_DEPOSED /* a target or the store has seen a later term */
} DagCmdType;

typedef struct {
  DagCmdType type;
  union {
    int64_t call;
    struct {
      DagTargetRef target;
      DagTaskRef task;
      int64_t run;
      int64_t lease_until; /* on the target's clock */
      GrStr payload;       /* valid until the next input */
      GrName checkpoint;
      char ticket[48];
    } start;
    struct {
      DagTargetRef target;
      DagTaskRef task;
      int64_t run;
    } stop;
    struct {
      DagTargetRef target;
      int64_t lease_until; /* on the target's clock; 0: none */
      int64_t acknowledged;
      int64_t wait_ms;
      int64_t token; /* handed back with the answer */
    } hold;
    struct {
      GrName job;
      uint32_t step;
      int64_t token;
      const GrName *targets; /* valid until the next input */
      size_t count;
      int32_t priority;
      int64_t expected_ms; /* how long the service takes for it */
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

typedef enum {
  DAG_SUBMIT_PENDING,  /* answered by DAG_CMD_ACCEPTED */
  DAG_SUBMIT_KNOWN,    /* already stored */
  DAG_SUBMIT_NO_QUEUE, /* no such queue is configured */
  DAG_SUBMIT_OVERLOAD, /* refused: it would end long after its objective */
  DAG_SUBMIT_INVALID
} DagSubmitResult;

/* Records for the durable store, newest value per key. An empty value drops the key. */
typedef struct {
  GrBuf key;
  GrBuf value;
} DagRecord;

typedef GR_LIST (DagRecord) DagRecords;

typedef struct {
  int64_t lease_ms;        /* how long runs survive without word from the scheduler */
  int64_t lease_max_ms;    /* targets shorten longer leases to this */
  int64_t stop_timeout_ms; /* a target ends a stopped run within this */
  int64_t status_keep_ms;  /* ended jobs stay known so long */
  /* Until then a scheduler of an earlier term may have renewed leases on targets that this one
     cannot reach; local time. */
  int64_t former_leases_lapse_at_ms;
  int64_t unix_offset_ms; /* Unix time less local time; for times kept in the store */
  GrMetrics *metrics;     /* may be NULL */
  GrLog log;
  bool quiet; /* no log lines, for benches */
  /* Test-only switches that break a rule, see the property tests. */
  bool broken_start_before_store;
  bool broken_restart_before_lapse;
} DagOptions;

/* Errors: GR_ERR_INVALID for a lease above its maximum or not positive. */
DagState *dag_new (const DagOptions *options, GrErr *err);
void dag_free (DagState *dag);

/* A submission as bytes, for other VMs. */
void dag_pack_job_spec (const DagJobSpec *spec, GrBuf *out);
/* Views into unpacked, which the caller has initialised and destroys; steps has room for
   DAG_MAX_STEPS. */
bool dag_unpack_job_spec (GrStr bytes, msgpack_unpacked *unpacked, DagStepSpec *steps,
                          DagJobSpec *spec);

/* Recovery: every record of the store once, submissions (keys with 'j') first,
   then dag_loaded(). Errors: GR_ERR_PROTOCOL for a record
   that cannot be read, which is then left out. */
bool dag_load (DagState *dag, GrStr key, GrStr value, int64_t now_ms, GrErr *err);
void dag_loaded (DagState *dag, int64_t now_ms);

void dag_set_queues (DagState *dag, const DagQueues *queues, int64_t now_ms);
/* News of one target, or that it is gone from the list. */
void dag_target_seen (DagState *dag, const DagTargetInfo *info, int64_t now_ms);
void dag_target_unlisted (DagState *dag, const GrName *id, int64_t now_ms);

DagSubmitResult dag_submit (DagState *dag, const DagJobSpec *spec, int64_t call, int64_t now_ms,
                            int64_t *retry_after_ms, GrErr *err);
/* Forgets a submission of which no record was handed out yet; false if there is none or it is too
   late. No command answers its calls. */
bool dag_withdraw (DagState *dag, const GrName *id);
/* False if no such job is known; otherwise DAG_CMD_CANCELLED follows. */
bool dag_cancel (DagState *dag, const GrName *id, int64_t call, int64_t now_ms);
/* The state that may be shown: ends only once they are stored. */
DagJobState dag_status (const DagState *dag, const GrName *id);
/* Accepted jobs of the queue for which no task has started. */
int64_t dag_pending (const DagState *dag, const GrName *queue);

void dag_handle_start_result (DagState *dag, const DagTaskRef *ref, int64_t run,
                              DagOrderResult result, int64_t clock_ms, int64_t now_ms);
void dag_handle_stop_result (DagState *dag, const DagTaskRef *ref, int64_t run,
                             DagOrderResult result, int64_t now_ms);
/* inventory is NULL unless result is DAG_ORDER_OK. */
void dag_handle_hold_result (DagState *dag, const GrName *id, int64_t token, DagOrderResult result,
                             const DagInventory *inventory, int64_t now_ms);
/* ok is false if the call failed; then allowed is empty and nothing is learned. The answer is at
   most age_ms old. */
void dag_handle_advice (DagState *dag, const GrName *job_id, uint32_t number, int64_t token,
                        bool ok, const DagAllowed *allowed, size_t count, int64_t age_ms,
                        int64_t now_ms);

/* Timers and placement. The caller runs it after inputs and at dag_next_tick() at the latest. */
void dag_tick (DagState *dag, int64_t now_ms);
int64_t dag_next_tick (const DagState *dag, int64_t now_ms);

/* Moves the records that changed into *out and returns the number of the batch, or 0 if nothing
   changed. One batch at a time: dag_stored() must follow. */
int64_t dag_take_batch (DagState *dag, DagRecords *out);
void dag_stored (DagState *dag, int64_t batch, int64_t now_ms);
bool dag_has_changes (const DagState *dag);

/* Commands since the last dag_cmds_reset(). */
const DagCmds *dag_cmds (const DagState *dag);
void dag_cmds_reset (DagState *dag);
void dag_records_clear (DagRecords *records);

/* Counts for tests, benches and the status page. */
typedef struct {
  size_t jobs, open_jobs, targets, usable_targets, runs, waiting_tasks;
  int64_t free_cpu_milli, capacity_cpu_milli;
} DagCounts;
DagCounts dag_counts (const DagState *dag, int64_t now_ms);
/* Logs what the steps that wait longest lack. */
void dag_log_waiting (const DagState *dag, int64_t now_ms);
/* Most of a target's room that runs have ever held, for the capacity property. */
bool dag_target_room (const DagState *dag, const GrName *target, GrRes *used, GrRes *capacity);

#ifdef __cplusplus
}
#endif
