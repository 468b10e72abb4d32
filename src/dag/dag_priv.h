/* Private state of the step job scheduler, shared by the dag_*.c files only. */
#pragma once

#include <uthash.h>

#include "dag/dag.h"

/* Room for the checkpoint of one task; longer ones are not kept. */
#define DAG_CHECKPOINT_MAX GR_NAME_MAX

typedef struct DagJob DagJob;
typedef struct DagStep DagStep;
typedef struct DagTask DagTask;
typedef struct DagTarget DagTarget;

typedef enum {
  TASK_WAITING,  /* not on any target */
  TASK_ASSIGNED, /* on a target in memory; the record is not stored yet */
  TASK_STARTING, /* the start was sent */
  TASK_RUNNING,
  TASK_ADOPTED,  /* recorded on a target by an earlier term; the inventory decides */
  TASK_STOPPING, /* to be ended there; waits for proof */
  TASK_DONE
} TaskState;

struct DagTask {
  DagStep *step;
  uint32_t index;
  TaskState state;
  int32_t failures;      /* runs that ended as failed */
  int64_t run;           /* number of the newest run */
  int starts_unanswered; /* orders to start it that had no answer */
  DagTarget *target;
  DagTask *target_prev, *target_next; /* runs of the target */
  int64_t batch;                      /* batch that holds the assignment; 0: not taken yet */
  int64_t confirmed_at;               /* when the target was known to run it */
  int64_t stop_acked_at;              /* when the stop was answered; 0: not yet */
  int64_t stop_retry_at;              /* 0 while a stop is in flight */
  bool stop_in_flight;
  int32_t percent;
  int64_t percent_at; /* when the percentage last changed */
  GrName checkpoint;
  char ticket[48];
  int64_t ticket_until; /* 0: no ticket needed */
};

/* A target that advice allows for a step. */
typedef struct {
  DagTarget *target;
  int64_t valid_until;
  char ticket[48];
} DagPermit;

/* A call for advice without an answer so far. */
typedef struct {
  int64_t token;
  GR_LIST (DagTarget *) targets;
} DagAdviceCall;

struct DagStep {
  DagJob *job;
  uint32_t number;
  DagStepSpec spec;
  int64_t critical_path_ms; /* expected time from the start of the step to the end of its job */
  DagTask *tasks;
  int32_t waiting; /* tasks in TASK_WAITING */
  int32_t done;
  bool queued;          /* in dag->ready */
  int64_t run;          /* newest run number of a gang */
  GrName checkpoint;    /* of a gang: valid for all its members */
  int64_t gang_stop_at; /* members that still run are stopped then; 0: no */
  GR_LIST (DagPermit) permits;
  GR_LIST (DagTarget *) advised_targets; /* targets for which advice was given */
  GR_LIST (DagAdviceCall) advice_calls;
  GR_LIST (uint32_t) failed_on; /* serial numbers of targets where a run failed */
  int64_t advice_retry_at;
  int64_t advice_called_at;
  bool advice_received; /* at least one answer came */
};

struct DagJob {
  GrName id;
  UT_hash_handle hh;
  DagQueue queue; /* policy as last configured */
  char *payload;
  size_t payload_len;
  DagStep *steps;
  size_t step_count;
  uint64_t steps_done;      /* bit set */
  DagJobState state;        /* in memory; may be ahead of the store */
  DagJobState stored_state; /* as stored */
  bool begun;               /* a task has started */
  bool stored;              /* the submission is in the store */
  bool spec_written;        /* its first record is in a batch */
  bool spec_dropped;
  bool dirty;
  int64_t batch;           /* batch that holds its newest record; 0: none open */
  DagJobState batch_state; /* state in that record */
  size_t batch_cancels;    /* cancel calls that it answers */
  bool dropped;            /* the store is to forget the job */
  int64_t accepted_at;
  int64_t objective_at;
  int64_t hard_deadline_at; /* completion counts less after objective_at and nothing after this */
  int64_t ended_at;
  uint64_t serial;
  GR_LIST (int64_t) submit_calls;
  GR_LIST (int64_t) cancel_calls;
  DagJob *dirty_next;
  DagJob *batch_next;
};

typedef struct {
  int64_t token;
  int64_t sent_at;
  bool long_poll;
} DagOpenHold;

#define DAG_MAX_HOLDS 3

struct DagTarget {
  DagTargetInfo info;
  UT_hash_handle hh;
  uint32_t serial;
  GrRes used;
  DagTask *runs;
  int32_t run_count;
  bool listed;
  int64_t seen_at;  /* when its newest entry was read */
  bool inventoried; /* an inventory was taken in this term */
  /* Clock of the target: clock_ms was read between sending and clock_at (local). */
  int64_t clock_ms, clock_at;
  int64_t lease_sent;  /* latest lease that any order may have set; target's clock */
  int64_t drain_until; /* while draining: local time until which it serves */
  /* Ends that it listed: up to end_processed processed, up to acknowledged stored. */
  int64_t end_processed, end_batch, acknowledged, acknowledged_sent;
  DagOpenHold holds[DAG_MAX_HOLDS];
  int hold_count;
  int64_t hold_sent_at;  /* last one */
  int64_t hold_retry_at; /* not before, after failures */
  int hold_failures;
  bool probe_wanted;
  int unknown_runs; /* in the last inventory, not known here; they take room until they are gone */
  /* Health by outcomes. */
  GrName failed_job;        /* job of the last failure */
  int consecutive_failures; /* failures of different jobs without a success between */
  int64_t avoid_until;
  int64_t avoid_ms;
  int64_t reserved_pass; /* placement pass in which a waiting gang reserves it */
  uint64_t reserved_for; /* that gang */
  int32_t advice_calls;  /* calls for advice under way that name it */
  /* What the step in hand knows of it, if mark is the newest one. */
  int64_t mark;
  const DagPermit *marked_permit;
};

typedef struct {
  GrName queue;
  UT_hash_handle hh;
  double runtime_ratio; /* run time by declared estimate, smoothed */
  double allowed_share; /* share of named targets that advice allows */
} DagQueueStats;

struct DagState {
  DagOptions options;
  DagJob *jobs;
  DagTarget *targets;
  DagQueueStats *queue_stats;
  GR_LIST (DagQueue) queues;
  GR_LIST (DagStep *) ready;
  GR_LIST (DagTarget *) target_list; /* all targets, for scans */
  GR_LIST (GrName *) advise_names;   /* of the newest advise commands, until reset */
  DagCmds cmds;
  DagJob *dirty;
  DagJob *batch_jobs;
  int64_t batch; /* number of the newest batch taken */
  bool batch_open;
  int64_t next_token;
  uint64_t next_job_serial;
  uint32_t next_target_serial;
  int64_t pass;
  int64_t mark; /* newest mark on targets */
  bool place_wanted;
  int64_t placed_at;
  bool loaded;
  bool deposed;
  size_t open_jobs;
  int64_t expire_scan_at;
};

/* dag_job.c */
DagJob *dag_find_job (const DagState *dag, const GrName *id);
DagJob *dag_job_create (DagState *dag, const DagJobSpec *spec, const DagQueue *queue,
                        int64_t accepted_at);
void dag_job_free (DagState *dag, DagJob *job);
void dag_job_mark_dirty (DagState *dag, DagJob *job);
void dag_job_end (DagState *dag, DagJob *job, DagJobState state, int64_t now_ms);
bool dag_job_is_open (const DagJob *job);
bool dag_step_is_ready (const DagStep *step);
void dag_queue_step (DagState *dag, DagStep *step);
void dag_queue_ready_steps (DagState *dag, DagJob *job);
DagTask *dag_find_task (const DagState *dag, const DagTaskRef *ref);
DagTaskRef dag_task_ref (const DagTask *task);
DagQueueStats *dag_queue_stats (DagState *dag, const GrName *queue);
/* Lets go of what a step knows of a target that is freed. */
void dag_drop_target_refs (DagState *dag, const DagTarget *target);

/* dag_codec.c */
void dag_pack_spec (const DagState *dag, const DagJob *job, GrBuf *out);
void dag_pack_progress (const DagState *dag, const DagJob *job, GrBuf *out);
/* Appends the records of a changed job; returns their size in bytes. */
size_t dag_pack_job (const DagState *dag, DagJob *job, DagRecords *out);
/* Appends the records that make the store forget the job. */
void dag_pack_drop (const DagJob *job, DagRecords *out);

/* dag_target.c */
/* A target has seen a later term. */
void dag_depose (DagState *dag);
DagTarget *dag_find_target (const DagState *dag, const GrName *id);
DagTarget *dag_target_create (DagState *dag, const GrName *id);
DagTargetRef dag_target_ref (const DagTarget *target);
void dag_target_attach (DagTask *task, DagTarget *target);
void dag_target_detach (DagTask *task);
int64_t dag_target_lease (DagState *dag, DagTarget *target, int64_t now_ms);
GrRes dag_target_free_room (const DagTarget *target);
bool dag_target_usable (const DagTarget *target, int64_t now_ms);
void dag_target_failed (DagState *dag, DagTarget *target, const GrName *job, int64_t now_ms);
void dag_target_succeeded (DagTarget *target);
void dag_target_avoid (DagState *dag, DagTarget *target, const char *reason, int64_t now_ms);
void dag_targets_tick (DagState *dag, int64_t now_ms);

/* dag_run.c */
/* What is reserved for a task of the step. */
GrRes dag_reserved (const DagStepSpec *spec);
/* Where the checkpoint of a task is kept: members of a gang share one. */
GrName *dag_checkpoint (DagTask *task);
/* Empty and overlong ones are ignored. */
void dag_keep_checkpoint (DagTask *task, GrStr checkpoint);
void dag_run_assign (DagState *dag, DagTask *task, DagTarget *target, int64_t run,
                     const char *ticket, int64_t ticket_until);
void dag_run_start (DagState *dag, DagTask *task, int64_t now_ms);
/* Ends the run there; the task waits until that is proved. */
void dag_run_stop (DagState *dag, DagTask *task, int64_t now_ms);
/* The run is proved to be over. */
void dag_run_release (DagState *dag, DagTask *task, int64_t now_ms);
void dag_run_handle_end (DagState *dag, DagTask *task, DagEndKind kind, GrStr checkpoint,
                         int64_t now_ms);
/* Broken variant for tests. */
void dag_runs_start_unstored (DagState *dag, int64_t now_ms);
void dag_runs_tick (DagState *dag, int64_t now_ms);

/* dag_place.c */
/* Service and label allow it. */
bool dag_may_run (const DagStep *step, const DagTarget *target);
/* Tasks of the step for which the target has room now. */
int32_t dag_fit_count (const DagStep *step, const DagTarget *target);
/* ... and for which it has room when nothing else runs there. */
int32_t dag_fit_count_idle (const DagStep *step, const DagTarget *target);
/* Identifies a step for as long as the state lives. */
uint64_t dag_step_key (const DagStep *step);
void dag_place (DagState *dag, int64_t now_ms);

/* dag_advice.c */
/* A ticket is used only if it lasts so much longer: the record is stored before the start. */
#define DAG_TICKET_MARGIN_MS 120
/* Asks about targets if the waiting tasks of the step lack room on allowed ones. */
void dag_advice_request (DagState *dag, DagStep *step, int64_t now_ms);
/* Renews the tickets for targets that this pass reserves for the gang, so that it can start as soon
   as they have room. */
void dag_advice_renew (DagState *dag, DagStep *step, int64_t now_ms);
void dag_advice_clear (DagStep *step);
/* Drops what the step knows of the target. */
void dag_advice_drop_target (DagStep *step, const DagTarget *target);

#define DAG_LOG(dag, event, ...)                                                                   \
  do {                                                                                             \
    if (!(dag)->options.quiet)                                                                     \
      gr_log (&(dag)->options.log, event, __VA_ARGS__);                                            \
  } while (0)
