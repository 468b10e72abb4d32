/* Private state of the step job scheduler, shared by the dag_*.c files only.

   Times are local monotonic times in ms unless they say otherwise. */
#pragma once

#include "base/gr_backoff.h"
#include "base/gr_hash_priv.h"
#include "dag/dag.h"
#include "dag/triage.h"
#include "learn/learn_runtime.h"
#include "learn/learn_speed.h"

typedef struct DagJob DagJob;
typedef struct DagStep DagStep;
typedef struct DagTask DagTask;
typedef struct DagTarget DagTarget;
typedef struct DagQueueStats DagQueueStats;
typedef struct DagClient DagClient;

typedef enum {
  TASK_WAITING,  /* not on any target */
  TASK_ASSIGNED, /* assigned to a target; the record is not stored yet */
  TASK_STARTING, /* the start was sent */
  TASK_RUNNING,  /* the target has confirmed the run */
  TASK_ADOPTED,  /* assigned by an earlier term; the next inventory shows whether it runs */
  TASK_STOPPING, /* being stopped; waits for proof that the run is over */
  TASK_DONE
} TaskState;

/* What is known of a run when its target turns out to have crashed. */
typedef enum {
  CRASH_UNSEEN,      /* the run may have ended before: the target had fallen silent */
  CRASH_IN_START,    /* the target closed the connection of the start */
  CRASH_SEEN,        /* the target ended within a moment of showing the run at work */
  CRASH_SEEN_AT_ONCE /* the same, within a moment of the start */
} DagCrashSight;

struct DagTask {
  DagStep *step;
  uint32_t index;
  TaskState state;
  int32_t failures;                   /* failed runs; of a gang: those of all members, each once */
  int64_t run;                        /* number of the newest run; 0: never assigned */
  int starts_unanswered;              /* starts of this run without an answer */
  bool start_open;                    /* a start of this run is in flight */
  uint32_t start_address_serial;      /* DagTarget.address_serial when it was sent */
  int64_t start_lost_at;              /* when the newest start of this run went unanswered */
  int64_t restart_at;                 /* waiting: earliest time of the next start, after failures */
  int64_t restart_pause_ms;           /* long-running: 0 unless the last run ended soon */
  DagTarget *target;                  /* NULL: no run that may be alive */
  int64_t incarnation;                /* earliest one of the target that may have taken the run */
  bool listed;                        /* an inventory of that incarnation listed the run */
  bool over;                          /* scratch: its target has ended, and the run with it */
  bool crash_noted;                   /* that end was counted, but the run may start again there */
  DagTask *target_prev, *target_next; /* list of the runs of the target */
  int64_t batch;                      /* batch that stores the assignment; 0: not taken yet */
  int64_t confirmed_at;               /* when the target confirmed the run */
  int64_t assigned_at;                /* when the run was assigned */
  bool timed;                         /* work_at is known, and its run time will be typical */
  int64_t work_at, work_clock_ms;     /* start of its work, here and on the clock of the target */
  int64_t confirmed_clock_ms;         /* clock of the target at that time; 0: not known */
  bool confirmed;                     /* the target has certainly started the run, in any term */
  int64_t survived_ms;                /* how long the run is known to have worked */
  int64_t seen_at;                    /* when the target last showed the run at work; 0: never */
  bool start_closed;                  /* the target closed the connection of a start of this run */
  DagCrashSight sight;                /* of a run on trial, since its target closed a connection */
  int32_t crashes;                    /* targets that have crashed while they may have had a run */
  int32_t crashes_seen;               /* those that were seen to end with the run at work */
  int32_t crashes_at_once;            /* of these, as soon as the run had started */
  int32_t crashes_in_start;           /* those that closed the connection of the start instead */
  bool suspected;                     /* it may have caused a crash: it starts in isolation */
  bool on_trial;                      /* suspected, and its run has not lasted long enough yet */
  int64_t news_by;      /* its leases have lapsed: latest end of the wait for news of the target */
  int64_t news_wait_ms; /* length of the last wait that ended without news; 0: none */
  double blame;         /* probability that it caused the last silence under it */
  int64_t crash_survived_ms; /* longest survived_ms of a run that ended with a crash */
  int64_t stop_acked_at;     /* when the target confirmed the stop; 0: not yet */
  int64_t stop_acked_token;  /* newest token that a hold had by then */
  int64_t stop_retry_at;     /* earliest time to repeat a failed stop */
  bool stop_in_flight;
  uint32_t stop_address_serial; /* DagTarget.address_serial when the newest stop was sent */
  bool stop_outdated;           /* the stop in flight may have reached an earlier incarnation */
  int32_t pace;       /* best effort: percent of its speed that the target has confirmed */
  bool pace_open;     /* an order that sets it is in flight */
  int64_t usage;      /* as last reported, see DagRunReport.usage */
  int32_t percent;    /* progress that the target last reported */
  int64_t percent_at; /* when percent last changed */
  GrName checkpoint;
  char ticket[48];
  int64_t ticket_until; /* when the ticket expires; 0: no ticket needed */
};

/* A run that has ended as done, and whose time was measured. */
typedef struct {
  uint32_t target;  /* DagTarget.serial */
  float log_run_ms; /* logarithm of the run time */
} DagMeasuredRun;

/* A target that advice allows for a step, and the ticket for starts on it. */
typedef struct {
  DagTarget *target;
  int64_t valid_until;
  char ticket[48];
} DagPermit;

/* A call for advice that is in flight, and the targets that it names. */
typedef struct {
  int64_t token;
  GR_LIST (DagTarget *) targets;
} DagAdviceCall;

/* Which deadline of its job a step that starts now can meet. */
typedef enum {
  DEADLINE_MET,         /* meets the objective */
  DEADLINE_LEFT_OUT,    /* could meet it alone, but not all jobs can together */
  DEADLINE_SOFT_MISSED, /* meets only the hard deadline; completion is worth less */
  DEADLINE_HARD_MISSED  /* meets neither; completion is worth nothing */
} DagDeadlineClass;

/* Order of the steps in a placement pass, by the fields from first to last. */
typedef struct {
  bool long_running; /* first */
  bool beyond_share; /* the job is beyond the share of its account */
  DagDeadlineClass deadline_class;
  int32_t priority;
  /* Between accounts whose steps are equal up to here dag_fair.c chooses, task by task. */
  int64_t start_by; /* latest start that meets the objective */
  uint64_t serial;  /* of the job */
} DagStepOrder;

/* Run times of the tasks of a step at the mean speed, cached across placement passes. */
typedef struct {
  bool known;
  int64_t known_at;
  double expected;         /* dag_expected_run() */
  double p95_one, p95_all; /* dag_run_p95() of one task and of all */
} DagStepRuns;

struct DagStep {
  DagJob *job;
  DagStepOrder order; /* of the newest placement pass */
  DagStep *fair_next; /* scratch of that pass: next step of the same account */
  uint32_t number;
  DagStepSpec spec;
  int64_t critical_path_ms; /* expected time from the start of this step to the end of its job */
  int64_t after_ms;         /* the part of it after this step */
  DagStepRuns runs;
  uint64_t work_kind;                /* dag_work_kind() of its queue and image */
  GR_LIST (DagTask *) tasks;         /* those with a state, by index (dag_tasks.c) */
  int32_t untouched_from;            /* tasks from this index on wait and have no state */
  GR_LIST (DagMeasuredRun) measured; /* of done tasks; cleared when all are done */
  int32_t waiting;                   /* untouched tasks and those in TASK_WAITING */
  int32_t done;
  int32_t suspects;     /* suspected tasks */
  bool queued;          /* in dag->ready */
  int64_t run;          /* newest run number of all tasks; a gang starts with the next one */
  GrName checkpoint;    /* of a gang: shared by all members */
  int64_t failed_run;   /* of a gang: newest run that counted as a failed attempt */
  int64_t gang_stop_at; /* when the members of a broken gang that still run are stopped; 0: never */
  GR_LIST (DagPermit) permits;
  GR_LIST (DagTarget *) advised_targets; /* targets named in answered calls, allowed or not */
  GR_LIST (DagAdviceCall) advice_calls;
  GR_LIST (uint32_t) failed_on; /* serial numbers of targets where a run failed */
  int64_t advice_retry_at;
  int64_t advice_called_at;
  bool advice_received; /* at least one call was answered */
};

/* A job with a timetable has no runs of its own: each occurrence that is due is a job that refers
   to it. Occurrences have no submission record, and their progress is stored under their own id. */
struct DagJob {
  GrName id;
  UT_hash_handle hh;
  DagQueue queue;       /* copy of the policy as last configured */
  DagQueueStats *stats; /* of the queue */
  DagClient *client;    /* account that sent it; NULL: none */
  bool share_decided;   /* beyond_share is final */
  bool beyond_share;    /* no token was left: it waits behind jobs within their share */
  char *payload;
  size_t payload_len;
  DagStep *steps;
  size_t step_count;
  int32_t trials;           /* tasks on trial */
  uint64_t steps_done;      /* bit set */
  DagJobState state;        /* may be ahead of the store */
  DagJobState stored_state; /* ended state once it is stored; DAG_JOB_UNKNOWN before */
  bool begun;               /* a run was at work */
  bool never_submitted;     /* it was cancelled before any submission arrived */
  bool stored;              /* the submission is in the store */
  bool spec_written;        /* the submission record was taken for storing */
  bool spec_dropped;        /* the deletion of that record was taken for storing */
  bool account_written;     /* the account record was taken for storing */
  bool dirty;               /* in the list dag->dirty */
  int64_t batch;            /* batch in flight that holds a record of the job; 0: none */
  DagJobState batch_state;  /* state in that record */
  size_t batch_cancels;     /* cancel_calls that are answered when it is stored */
  bool dropped;             /* retention is over: the records are deleted, then the job is freed */
  int64_t accepted_at;
  int64_t objective_at;
  int64_t objective_without_advice_at; /* objective_at without the allowance for advice */
  int64_t hard_deadline_at; /* completion is worth less after objective_at, nothing after this */
  TriageVerdict verdict;    /* of the newest plan; TRIAGE_OBJECTIVE unless the cell is overloaded */
  int64_t triage_mark;      /* scratch: newest DagState.triage.mark in which it was collected */
  int64_t ended_at;
  uint64_t serial;                /* unique within a DagState, in order of creation */
  GR_LIST (int64_t) submit_calls; /* calls to answer once the job is stored */
  GR_LIST (int64_t) cancel_calls; /* calls to answer once the cancellation is stored */
  DagJob *dirty_next;
  DagJob *batch_next;
  DagJob *timetable_job; /* of an occurrence: the job with the timetable */
  int32_t occurrence;    /* of an occurrence: its number */
  DagTimetable timetable;
  GR_LIST (DagJob *) occurrences; /* those that exist as jobs */
  unsigned char *done_bits;       /* bit set of the occurrences that are done */
  int32_t done_count;
  int32_t next_occurrence; /* all earlier ones are done or exist as jobs */
};

/* Account of a job whose other records are yet to be loaded. */
typedef struct {
  GrName job;
  GrName account;
  UT_hash_handle hh;
} DagLoadedAccount;

/* A hold in flight. */
typedef struct {
  int64_t token;
  int64_t sent_at;
  uint32_t address_serial; /* that of the target then */
  int64_t expected_by;     /* later, its answer counts as lost and another hold is sent */
  bool long_poll;          /* waits at the target for an end */
  int64_t acknowledged;    /* as in the order */
} DagOpenHold;

/* Pace of the best-effort runs of one target, which disturb the tasks there that serve users. */
typedef struct {
  int32_t limit; /* percent of their speed at which these runs may work */
  int64_t changed_at;
  bool over;       /* a tail was over its target at the last change */
  int32_t ceiling; /* speed that was too much; not reached again before ceiling_until */
  int64_t ceiling_until;
  int64_t low_since; /* since when limit is too low to be useful; 0: it is not */
} DagPace;

/* How much the tasks of one image disturb those of another, as an exponential moving average of
   observations: 1 if tails were over their target, 0 if they were well below. */
typedef struct {
  GrName images[2]; /* of the best-effort step and of the one that serves */
  UT_hash_handle hh;
  double harm;
} DagPair;

/* A run that was released when its lease had lapsed: it counts as lost in a crash if the target is
   known to have crashed by a certain time. */
typedef struct {
  DagTaskRef task;
  int64_t survived_ms;
  DagCrashSight sight; /* of the end of the target, if it has crashed */
  int64_t count_until; /* a target that crashes later was only silent while the run was at work */
} DagLapsedRun;

/* Most holds in flight to one target. */
#define DAG_MAX_HOLDS 4

struct DagTarget {
  DagTargetInfo info;
  UT_hash_handle hh;
  uint32_t serial; /* unique within a DagState; changes with a restart */
  /* Changes with the address and with a restart: another target that answers at an earlier address
     does not prove that this one has ended, and the clock of an earlier incarnation is not this
     one's.
   */
  uint32_t address_serial;
  GrRes used;        /* reserved for runs */
  DagTask *runs;     /* linked by DagTask.target_next */
  int32_t run_count; /* length of runs */
  bool listed;       /* in the list of targets */
  bool crashed;      /* it has ended, and not because it left after a notice */
  int32_t trials;    /* runs on trial */
  DagJob *trial_job; /* job of these runs; no task of another job starts beside them */
  /* No task that is not suspected starts before: a trial waits until the newest runs have lasted.
   */
  int64_t quiet_until;
  int64_t vm_crashed_at; /* when the previous target of its VM crashed; 0: never */
  bool blamed;           /* its runs were blamed for its silence or crash */
  int64_t appeared_at;   /* when the first entry of its incarnation was read */
  int64_t stake;         /* sum of dag_step_stake() of its runs */
  GR_LIST (DagLapsedRun) lapsed;
  /* Latest incarnation that has answered a hold or that records of runs name; 0: none. That of the
     newest entry may differ, see dag_target_incarnation(). */
  int64_t incarnation;
  /* An earlier incarnation with a later start time: the clock was set back since; 0: none. */
  int64_t superseded_incarnation;
  bool inventoried; /* it has answered a hold in this term and incarnation */
  /* It has restarted, and the first inventory of the new incarnation has yet to tell which runs are
     over. */
  bool restarting;
  bool left; /* while restarting: the earlier incarnation may have left after a notice */
  int64_t leases_lapse_by; /* if not inventoried: when the leases of its runs have lapsed */
  /* The target read clock_ms from its monotonic clock between the sending of an order and the local
     time clock_at. */
  int64_t clock_ms, clock_at;
  int64_t lease_sent; /* latest lease that an order of any term may have set; clock of the target */
  int64_t drain_until; /* while draining: when it may stop serving */
  /* Ends, by number: the newest one processed, the batch that stores it, the newest one stored, the
     newest one that was acknowledged to the target, and the newest one of which it has answered the
     acknowledgement. */
  int64_t end_processed, end_batch, acknowledged, acknowledged_sent, acknowledged_known;
  DagOpenHold holds[DAG_MAX_HOLDS];
  int hold_count;
  int64_t hold_sent_at;
  int64_t hold_answered_at; /* sending time of the newest hold that was answered */
  int64_t hold_retry_at;    /* earliest time of the next hold, after failures */
  int hold_failures;        /* failed holds since the last answer */
  int64_t silent_at;        /* when the first of them failed */
  /* When the target closed the connection of an order for the first time since its last answer; 0:
     it has not. A target that is cut off closes nothing. */
  int64_t closed_at;
  bool probe_wanted; /* a hold without wait is to be sent even if a long poll is in flight */
  /* Runs in the last inventory that are not assigned here. They take room, so nothing is placed on
     the target until there are none. */
  int unknown_runs;
  /* Health, from the outcomes of runs and starts. */
  GrName failed_job;        /* job of the last failure */
  int consecutive_failures; /* failures of different jobs since the last success */
  int64_t avoid_until;      /* no placement before */
  int64_t avoid_ms;         /* length of the last exclusion, 0 after a success */
  int64_t reserved_pass;    /* newest placement pass in which a waiting gang reserved it */
  uint64_t reserved_for;    /* dag_step_key() of that gang */
  int32_t advice_calls;     /* calls for advice in flight that name it */
  DagPace pace;
  LearnSpeed speed;
  double stored_speed; /* speed.mean in the newest record */
  /* Scratch of a scan for one step. If mark equals DagState.mark, the step has advice about this
     target, and marked_permit is its permit, or NULL if the advice does not allow the target. */
  int64_t mark;
  const DagPermit *marked_permit;
};

/* Ended runs of one queue since the last report. */
typedef struct {
  int64_t runs;
  double expected_ms, real_ms;
  double error; /* sum of the absolute logarithms of real to expected run times */
} DagRunSums;

/* Observations of one queue, as exponential moving averages. */
struct DagQueueStats {
  GrName queue;
  UT_hash_handle hh;
  double runtime_ratio; /* run time divided by the estimate */
  double allowed_share; /* share of the named targets that a first answer allows */
  /* Starts, and crashes that they are expected to have caused, decayed up to counted_at. */
  double starts, crashes;
  int64_t counted_at;
  bool crash_prone; /* its starts crash too many targets */
  uint64_t work_kind;
  const LearnRuntimes *runtimes; /* of the DagState, with its classes of speed */
  const LearnClasses *classes;
  DagRunSums sums;
  double mean_work; /* of its jobs, in cpu times ms of their estimates */
};

/* Waiting work of the jobs of equal rank in the newest plan, in TriageResult.dim. */
typedef struct {
  int32_t priority;
  bool beyond_share;
  TriageVerdict verdict;
  double work;
} DagBacklog;

/* When a waiting job of this rank last became too late for its hard deadline. */
typedef struct {
  int32_t priority;
  bool beyond_share;
  int64_t at;
} DagDeadlineMiss;

/* Load of the targets of one service. */
typedef struct {
  GrName service;
  double packing;      /* share of the capacity that runs can use, as a moving average */
  TriageResult result; /* of the newest plan; zero while the cell has room */
  GR_LIST (DagBacklog) backlogs;
  GR_LIST (DagDeadlineMiss) missed;
  bool has_verdicts; /* some job of the service may have a verdict other than TRIAGE_OBJECTIVE */
  bool overloaded;   /* as logged */
  int64_t overloaded_since;
  int64_t overloaded_at; /* newest plan that left jobs out */
  size_t left_out_most;  /* since then */
  int64_t refused;       /* since then */
} DagServiceLoad;

/* State of dag_triage.c. */
typedef struct {
  int64_t planned_at;
  size_t planned_items; /* jobs and runs in the newest plan */
  int64_t mark;
  GR_LIST (DagServiceLoad *) loads;
} DagTriage;

/* A client account. It is freed when it is no longer configured and its last job is freed. */
struct DagClient {
  DagAccount policy;
  UT_hash_handle hh;
  bool configured;
  bool has_policy;            /* it was configured once; policy is the newest one */
  size_t jobs;                /* that exist, ended ones included */
  int64_t used[GR_RES_COUNT]; /* full demand of its runs on all targets */
  bool at_maximum;            /* its maximum holds back work, or did so lately */
  int64_t held_at;            /* when its maximum last held back a step that could be placed */
  /* Scratch of a placement pass: the first step that the maximum holds back, and the room that
     later steps leave to it. */
  const DagStep *kept_for;
  int64_t kept[GR_RES_COUNT];
  /* Token bucket (dag_share.c). */
  bool bucket_started;
  double tokens;
  int64_t refilled_at;
  int64_t waiting[2]; /* waiting tasks of its open jobs, by DagJob.beyond_share */
  double drain_rate;  /* tasks that are assigned per second, as it was at drained_at */
  int64_t drained_at;
  int64_t retry_at;   /* when the next caller that is refused may try again */
  int64_t beyond_at;  /* when a job was last marked as beyond the share; 0: never */
  int64_t refused_at; /* when a submission was last refused; 0: never */
  /* Scratch of a placement pass (dag_fair.c). */
  double share;                    /* weighted dominant share */
  DagStep *fair_steps, *fair_last; /* steps still to be placed, linked by DagStep.fair_next */
};

/* Steps of a placement pass that are equal up to DagStepOrder.priority, by account. */
typedef struct {
  int64_t pass;                   /* of capacity and of the usage of no_account */
  int64_t capacity[GR_RES_COUNT]; /* of all targets */
  DagClient no_account;           /* stands for all jobs without an account */
  GR_LIST (DagClient *) clients;  /* that have steps left */
} DagFair;
/* Speed of a target that is not in the table of targets. */
typedef struct {
  GrName id;
  UT_hash_handle hh;
  LearnSpeed speed;
} DagKnownSpeed;

struct DagState {
  DagOptions options;
  DagJob *jobs;
  DagTarget *targets;
  DagClient *clients;
  DagFair fair;
  DagQueueStats *queue_stats;
  DagPair *pairs;
  GR_LIST (DagQueue) queues;
  GR_LIST (DagStep *) ready;         /* steps that can be placed, with waiting tasks */
  GR_LIST (DagTarget *) target_list; /* all targets, for scans */
  GR_LIST (GrName *) advise_names;   /* arrays that advise commands point to, freed on reset */
  DagCmds cmds;
  DagJob *dirty;       /* changed since their last record, linked by dirty_next */
  DagJob *batch_jobs;  /* in the batch in flight, linked by batch_next */
  DagTask *done_tasks; /* to be freed by the next tick, linked by target_next */
  int64_t batch;       /* number of the newest batch taken */
  bool batch_open;     /* that batch is in flight */
  int64_t next_token;
  uint64_t next_job_serial;
  uint32_t next_target_serial;
  int64_t pass;                      /* number of the newest placement pass */
  int64_t mark;                      /* newest DagTarget.mark */
  bool place_wanted;                 /* a placement pass is requested */
  int64_t placed_at;                 /* time of the last placement pass */
  int64_t lease_limit_ms;            /* see dag_limit_leases() */
  bool loaded;                       /* recovery is complete */
  bool deposed;                      /* a target has seen a later term; ticks do nothing */
  GR_LIST (DagJob *) timetables;     /* jobs with a timetable */
  DagLoadedAccount *loaded_accounts; /* accounts of jobs, during recovery */
  GR_LIST (GrName) orphans;          /* ids whose account records are to be deleted */
  size_t open_jobs;
  int64_t expire_scan_at; /* time of the next scan for expired jobs */
  /* Share of silent targets among those that nothing else explains (dag_risk.c). */
  double silent_share;
  int64_t silent_share_until; /* when it is outdated */
  LearnRuntimes runtimes;
  int64_t runtimes_used;   /* runtimes.changes that the objectives of jobs reflect */
  int64_t objectives_at;   /* when these may be computed anew */
  int64_t report_at;       /* when run times are reported again */
  int64_t runtimes_stored; /* runtimes.changes in the newest record */
  int64_t record_at;       /* when the record may be written again */
  bool record_due;         /* the next batch holds it */
  DagKnownSpeed *known_speeds;
  LearnNoise noise;
  LearnClasses classes;                       /* of the speeds of targets */
  double class_free[LEARN_SPEED_CLASSES_MAX]; /* share of the cpu that is free, by class */
  int64_t classify_at;                        /* when they are formed anew */
  double start_delay_ms; /* from an assignment to its confirmation, as a moving average */
  DagTriage triage;
};

/* Runs of one step that would be lost together with a target, its rack or its zone. */
typedef struct {
  int32_t on_target, on_rack, in_zone;
} DagExposure;

/* Order of preference of the classes of speed for a step; 0 goes first. */
typedef struct {
  int32_t of_class[LEARN_SPEED_CLASSES_MAX];
} DagSpeedRank;

/* A target on which tasks of the step can start now. */
typedef struct {
  DagTarget *target;
  const char *ticket;
  int64_t ticket_until;
  int32_t fits;
  bool closed;             /* dag_trial_closes() */
  bool trial;              /* chosen for a suspected member of the gang */
  int32_t spare_cpu_milli; /* free cpu after placing as many waiting tasks as fit */
  bool failed_before;      /* a run of the step failed on it */
  bool near_data;          /* on the rack of the data, or the step names none */
  bool best_effort;        /* the step takes cpu that others leave idle */
  bool crash_prone;        /* the queue of the step is */
  double expected_harm;    /* between tasks of the step and the runs of the target */
  int32_t speed_rank;      /* by the class of its speed, see DagSpeedRank */
  DagExposure exposure;    /* of a long-running step */
} DagCandidate;

/* dag_job.c */
/* Lookups return NULL if there is no such object. */
DagJob *dag_find_job (const DagState *dag, const GrName *id);
DagJob *dag_job_create (DagState *dag, const DagJobSpec *spec, const DagQueue *queue,
                        int64_t accepted_at);
/* Creates a job without steps that has ended. */
DagJob *dag_job_create_ended (DagState *dag, const GrName *id, const GrName *account,
                              DagJobState state, int64_t ended_at);
/* Removes the job from dag and frees it. */
void dag_job_free (DagState *dag, DagJob *job);
/* Sets the critical paths of the steps, and the objective and hard deadline of the job. */
void dag_job_set_objective (DagJob *job);
/* The next batch will hold a record of the job. */
void dag_job_mark_dirty (DagState *dag, DagJob *job);
/* Ends the job with the given state and stops its runs; no effect if it has ended. */
void dag_job_end (DagState *dag, DagJob *job, DagJobState state, int64_t now_ms);
/* True if the job has not ended. */
bool dag_job_is_open (const DagJob *job);
/* True if a run of the job may be alive. Only then are the tasks of an ended job stored. */
bool dag_job_has_runs (const DagJob *job);
/* True if the job is open and all steps that this step depends on are done. */
bool dag_step_is_ready (const DagStep *step);
/* Requests a placement pass. Adds the step to dag->ready if it is ready and has waiting tasks. */
void dag_queue_step (DagState *dag, DagStep *step);
void dag_queue_ready_steps (DagState *dag, DagJob *job);
DagTask *dag_find_task (const DagState *dag, const DagTaskRef *ref);
DagTaskRef dag_task_ref (const DagTask *task);
/* Job that a DagTaskRef names; NULL if there is none. */
DagJob *dag_find_task_job (const DagState *dag, const GrName *name);
/* Name of the job in DagTaskRef. */
GrName dag_task_job_name (const DagJob *job);
/* Creates the statistics of the queue on first use; they live as long as dag. */
DagQueueStats *dag_queue_stats (DagState *dag, const GrName *queue);
/* Removes the advice about the target from all steps, before it is freed or after its restart. */
void dag_drop_target_refs (DagState *dag, const DagTarget *target);

/* dag_tasks.c */
/* State of the task; NULL if it is done or was never assigned. */
DagTask *dag_step_find_task (const DagStep *step, uint32_t index);
/* Number of tasks that wait and have no state. */
int32_t dag_step_untouched (const DagStep *step);
/* Creates the state of the first untouched task. There must be one. */
DagTask *dag_step_touch (DagStep *step);
/* The first untouched task is known to be done. */
void dag_step_skip_done (DagStep *step);
/* The task is done and has no run: its state is freed by the next tick. */
void dag_step_finish_task (DagState *dag, DagTask *task);
/* Frees the states of done tasks. Callers must not hold any. */
void dag_tasks_free_done (DagState *dag);
void dag_step_clear_tasks (DagStep *step);

/* dag_account.c */
/* NULL if it is not configured and has no jobs. */
DagClient *dag_find_client (const DagState *dag, const GrName *name);
/* Returns the account of that name for a new job of it; creates it if it is not configured. NULL if
   the name is empty. */
DagClient *dag_client_ref (DagState *dag, const GrName *name);
/* A job of the account is freed; client may be NULL. */
void dag_client_unref (DagState *dag, DagClient *client);
/* Adds the demand of the task to the usage of its account, or subtracts it. No effect without an
   account. */
void dag_client_attach (const DagTask *task);
void dag_client_detach (const DagTask *task);
/* Number of tasks of the step that may start under the maximum of its account; DAG_MAX_TASKS
   without one. */
int32_t dag_client_room (const DagStep *step);
/* True if the runs of the account take more than its maximum; client may be NULL. */
bool dag_client_exceeds_maximum (const DagClient *client);
/* The maximum of the step's account keeps some of its tasks from starting. The room that the next
   one needs, or the gang, is kept from later steps of the account in this placement pass. */
void dag_client_note_held (DagState *dag, const DagStep *step, int64_t now_ms);
/* A placement pass begins. */
void dag_clients_begin_pass (DagState *dag);
/* First dimension in which the account lacks room for a task of the step, or for the gang; NULL if
   there is none. */
const char *dag_client_lack (const DagStep *step);
/* Notes which accounts are no longer held back by their maximum. */
void dag_clients_tick (DagState *dag, int64_t now_ms);

/* dag_share.c */
/* Weight of the account; 1 if its policy has none that is usable or is not known. */
double dag_client_weight (const DagClient *client);
/* Refills the bucket at the present weight, before that changes. */
void dag_share_refill (DagClient *client, int64_t now_ms);
/* Changes the number of waiting tasks of the step, and that of its account. */
void dag_step_add_waiting (DagStep *step, int32_t tasks);
/* A waiting task of the step was assigned. */
void dag_share_note_assigned (DagStep *step, int64_t now_ms);
/* Adds the waiting tasks of the job to those of its account, or subtracts them. */
void dag_share_add_job (DagJob *job);
void dag_share_remove_job (DagJob *job);
/* False if the submission of an unknown id must be refused; then sets *retry_after_ms. */
bool dag_share_admits (DagState *dag, const DagJobSpec *spec, int64_t now_ms,
                       int64_t *retry_after_ms);
/* Decides once whether the job is within the share of its account. False if it has no account or
   was decided before. */
bool dag_share_decide (DagJob *job, int64_t now_ms);
/* Counts and logs a job beyond the share that was accepted after that decision. */
void dag_share_note_accepted (DagState *dag, const DagJob *job, int64_t now_ms);
/* Returns the token of a job that is withdrawn or refused. */
void dag_share_return_token (DagJob *job);
/* All records are loaded: decides about the jobs in the order in which they were accepted. */
void dag_share_loaded (DagState *dag, int64_t now_ms);

/* dag_fair.c */
/* Takes steps that are equal up to DagStepOrder.priority, in their order. Returns false, with no
   effect, if all are of one account: then that order decides. */
bool dag_fair_begin (DagState *dag, DagStep *const *steps, size_t count);
/* Step that is served next and the number of its tasks to place now; NULL if none is left. */
DagStep *dag_fair_next (DagState *dag, int32_t *tasks);
/* This number of its tasks was placed; again: the step is served again in this pass. */
void dag_fair_done (DagState *dag, DagStep *step, int32_t placed, bool again);
void dag_fair_end (DagState *dag);

/* dag_owner.c */
/* Id under which the cancellation of a job that this account did not submit is remembered. */
GrName dag_cancelled_id (const GrName *id, const GrName *account);
/* Account of a job that is being loaded; empty if it has none. */
GrName dag_loaded_account (const DagState *dag, const GrName *id);
/* Loads an account record; false if it is malformed or its job is loaded already. */
bool dag_load_account (DagState *dag, const GrName *id, const msgpack_object *object);
/* After recovery: account records without a job, which a leader of an earlier version has left
   behind, will be deleted. */
void dag_accounts_loaded (DagState *dag);
/* Ids whose account records are to be deleted with the next batch. */
void dag_pack_orphans (DagState *dag, DagRecords *out);

/* dag_timetable.c */
/* True if the job has a timetable, and so no runs of its own. */
bool dag_has_timetable (const DagJob *job);
/* Returns false and sets GR_ERR_INVALID with the name of the field if a value is out of range. */
bool dag_check_timetable (const DagTimetable *timetable, GrErr *err);
/* Sets up the state of a job that was just created with a timetable. */
void dag_timetable_init (DagState *dag, DagJob *job);
/* Releases the state; occurrences that still exist lose their reference to the job. */
void dag_timetable_release (DagState *dag, DagJob *job);
/* Returns the occurrence as a job, which is created if it does not exist; NULL if the number is out
   of range. */
DagJob *dag_timetable_occurrence (DagState *dag, DagJob *job, int32_t number);
/* Size of done_bits in bytes. */
size_t dag_timetable_bytes (const DagJob *job);
/* Replaces done_bits; false if the size does not match. */
bool dag_timetable_set_done (DagJob *job, GrStr bits);
/* An occurrence or a job with a timetable has ended. */
void dag_timetable_handle_end (DagState *dag, DagJob *job, int64_t now_ms);
/* After recovery: brings jobs with a timetable and their occurrences in line. */
void dag_timetable_loaded (DagState *dag, int64_t now_ms);
/* Creates the occurrences that are due. */
void dag_timetable_tick (DagState *dag, int64_t now_ms);

/* dag_codec.c */
void dag_pack_spec (const DagState *dag, const DagJob *job, GrBuf *out);
void dag_pack_progress (const DagState *dag, const DagJob *job, GrBuf *out);
/* Appends the records of a changed job; returns the size of their values in bytes. */
size_t dag_pack_job (const DagState *dag, DagJob *job, DagRecords *out);
/* Appends empty records, which delete the job from the store. */
void dag_pack_drop (const DagJob *job, DagRecords *out);
/* Appends the empty record that deletes the account of a job. */
void dag_pack_account_drop (const GrName *id, DagRecords *out);
/* Reads the value of an account record. */
bool dag_read_account (const msgpack_object *object, GrName *account);

/* dag_target.c */
/* Stops all further ticks and emits DAG_CMD_DEPOSED: a target has seen a later term. */
void dag_depose (DagState *dag);
DagTarget *dag_find_target (const DagState *dag, const GrName *id);
/* Returns the known target, or creates an unlisted one. */
DagTarget *dag_target_create (DagState *dag, const GrName *id);
void dag_target_free (DagTarget *target);
/* Work that is lost with a run of the step, in cores times ms of its expected run time. A gang is
   lost as a whole. */
int64_t dag_step_stake (const DagStep *step);
DagTargetRef dag_target_ref (const DagTarget *target);
/* Latest incarnation that is known; 0: none. */
int64_t dag_target_incarnation (const DagTarget *target);
/* Longest time for which a target holds a run after an order that carried any lease, as local time.
 */
int64_t dag_target_lease_max_ms (const DagState *dag);
/* Add and remove a run of the target, with its reservation. */
void dag_target_attach (DagTask *task, DagTarget *target);
void dag_target_detach (DagTask *task);
/* True if an order that is sent now may set or renew a lease. */
bool dag_may_lease (const DagState *dag, int64_t now_ms);
/* Lease for an order that is sent now, on the clock of the target. Counts as sent. */
int64_t dag_target_lease (DagState *dag, DagTarget *target, int64_t now_ms);
/* Capacity that no run reserves; negative where the capacity has shrunk below that. */
GrRes dag_target_free_room (const DagTarget *target);
/* Free cpu in millicores, at least 0. */
int32_t dag_target_free_cpu (const DagTarget *target);
/* True if new runs may be placed on the target. */
bool dag_target_usable (const DagTarget *target, int64_t now_ms);
/* Records a failed run; failures of different jobs in a row exclude the target from placement. */
void dag_target_failed (DagState *dag, DagTarget *target, const GrName *job, int64_t now_ms);
void dag_target_succeeded (DagTarget *target);
/* Excludes the target from placement for a time that doubles with each exclusion. reason is for the
   log. */
void dag_target_avoid (DagState *dag, DagTarget *target, const char *reason, int64_t now_ms);
/* Releases all runs of the target, which are proven to be over. proof is for the log. */
void dag_target_release_all (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms);
/* Releases lapsed runs, removes targets that are gone, and sends the holds that are due. */
void dag_targets_tick (DagState *dag, int64_t now_ms);

/* dag_restart.c */
/* The target has started again under its id, as an entry or an inventory shows: resets its state.
   Its runs are settled now if all of them are known to be over, else by the next function. */
void dag_restart_notice (DagState *dag, DagTarget *target, int64_t now_ms);
/* The target answers with an earlier start time than before: its clock was set back between two
   incarnations. Its entry counts as that of the former one, and the restart is noticed. */
void dag_restart_notice_set_back (DagState *dag, DagTarget *target, int64_t now_ms);
/* Decides about the runs of a restarting target by an inventory of the new incarnation, the answer
   to a hold of sent_at. Returns false if it does not tell yet: then the next one decides, and at
   most the ends of this one are processed. */
bool dag_restart_settle (DagState *dag, DagTarget *target, const DagInventory *inventory,
                         int64_t sent_at, int64_t now_ms);

/* dag_inventory.c */
/* True if the inventory lists the newest run of the task as running. */
bool dag_inventory_has_run (const DagInventory *inventory, const DagTask *task);
/* True if the inventory may leave out ends, so that a run that it does not list may have ended in
   any way. They follow once the listed ones are acknowledged. */
bool dag_inventory_is_partial (const DagInventory *inventory);
/* True if it lists the end of that run. */
bool dag_inventory_has_end (const DagInventory *inventory, const DagTask *task);

/* dag_hold.c */
/* Sends the next hold to the target if one is due. */
void dag_hold_if_due (DagState *dag, DagTarget *target, int64_t now_ms);

/* dag_run.c */
/* Resources that are reserved for one task of the step. */
GrRes dag_reserved_demand (const DagStepSpec *spec);
/* Storage of the checkpoint of a task; members of a gang share one. */
GrName *dag_checkpoint (DagTask *task);
/* Stores the checkpoint; ignores empty ones and those that do not fit into a GrName. */
void dag_keep_checkpoint (DagTask *task, GrStr checkpoint);
/* Assigns the task to the target. The start is sent once the record is stored. */
void dag_run_assign (DagState *dag, DagTask *task, DagTarget *target, int64_t run,
                     const char *ticket, int64_t ticket_until);
/* Sends the start, or releases the task if the target or its ticket is no longer valid. */
void dag_run_start (DagState *dag, DagTask *task, int64_t now_ms);
/* Sends a stop; the task stays on its target until the run is proven to be over. A run that was
   never sent is released at once. No effect on waiting, done and stopping tasks. */
void dag_run_stop (DagState *dag, DagTask *task, int64_t now_ms);
/* Stops the run at the present incarnation of its target, whatever was sent to an earlier one. */
void dag_run_stop_again (DagState *dag, DagTask *task);
/* Stops the members of a gang after a delay in which their targets can end them on their own. No
   effect on other steps. */
void dag_run_stop_gang_later (DagStep *step, int64_t now_ms);
/* Sends a stop to the run and, if it is a member of a gang, to the other members. */
void dag_run_stop_with_gang (DagState *dag, DagTask *task, int64_t now_ms);
/* The run is proven to be over: the task leaves its target and waits again. Members of its gang
   that still run are stopped after a delay. */
void dag_run_release (DagState *dag, DagTask *task, int64_t now_ms);
/* The target has reported the end of the run. */
void dag_run_handle_end (DagState *dag, DagTask *task, DagEndKind kind, GrStr checkpoint,
                         int64_t now_ms);
/* A target has reported the end as done of the newest run of the task, which was released before.
   If the task still waits for its next run, it is done; no effect on gangs and long-running tasks.
 */
void dag_run_handle_late_done (DagState *dag, DagTask *task, int64_t now_ms);
/* Faulty variant for tests: sends starts whose record is not stored. */
void dag_runs_start_unstored (DagState *dag, int64_t now_ms);
/* Repeats stops, stops broken gangs and stops stalled runs. */
void dag_runs_tick (DagState *dag, int64_t now_ms);

/* The target has confirmed that the run is at work. */
void dag_run_confirm (DagState *dag, DagTask *task, int64_t now_ms);
/* Notes that the target lists the run as working at clock_ms of its own clock. */
void dag_run_note_alive (DagState *dag, DagTask *task, int64_t clock_ms, int64_t now_ms);

/* dag_crash.c */
/* The target has ended: releases its runs. Unless it has left after a notice, it has crashed: the
   runs that may be the cause are suspected, and a task that proves to be is given up. proof is for
   the log. */
void dag_crash_handle (DagState *dag, DagTarget *target, const char *proof, int64_t now_ms);
/* The same for a target that has restarted: only the runs that are marked as over have ended with
   it. Those of which a copy of the start may still arrive are stopped instead of released. */
void dag_crash_handle_restart (DagState *dag, DagTarget *target, int64_t now_ms);
/* All leases of the target have lapsed: releases the runs that were sent, those on trial only once
   they have waited for news of the target. Whether it has crashed is not known yet. */
void dag_crash_handle_lapse (DagState *dag, DagTarget *target, int64_t now_ms);
/* True if the target announced that it leaves and may have done so. */
bool dag_crash_may_have_left (const DagTarget *target, int64_t now_ms);
/* True if the crash of the target would still count for runs that were released before. */
bool dag_crash_awaits_news (const DagTarget *target, int64_t now_ms);
/* The target has answered again, so it has not crashed. */
void dag_crash_forget_lapse (DagState *dag, DagTarget *target);
/* The target of the loaded task has restarted since the record was written. */
void dag_crash_note_loaded (DagTask *task);
/* True if the run may be the cause if its target crashes now. */
bool dag_crash_may_be_cause (const DagTask *task);
/* Marks the task as suspected, or clears it. */
void dag_crash_set_suspected (DagTask *task, bool suspected);
/* Ends the trial of a run that has lasted long enough, and the suspicion with it. */
void dag_crash_check_trial (DagState *dag, DagTask *task);
/* An order found that the target has closed its connection. */
void dag_crash_note_closed (DagState *dag, DagTarget *target, int64_t now_ms);
/* Asks the target often about a run whose end has to be seen. */
void dag_crash_watch (DagTask *task, int64_t now_ms);

/* dag_risk.c */
/* A run of the task was confirmed. */
void dag_risk_note_start (DagState *dag, const DagTask *task, int64_t now_ms);
/* A hold of the target has failed or, if crashed, the target is known to have crashed. Its runs are
   not released yet. */
void dag_risk_note_silence (DagState *dag, DagTarget *target, bool crashed, int64_t now_ms);
/* The target has answered again. */
void dag_risk_note_answer (DagState *dag, DagTarget *target);
/* The task has proved not to be the cause of the last crash under it. */
void dag_risk_note_innocent (DagState *dag, DagTask *task);

/* dag_trial.c */
/* True if no run of the target may be the cause of a crash, nor any that is about to start. */
bool dag_trial_is_settled (const DagTarget *target);
/* True if a trial keeps tasks of the job that are not suspected from the target. */
bool dag_trial_closes (const DagTarget *target, const DagJob *job, int64_t now_ms);
/* The candidate on which a suspected task of the step should start; NULL if there is none now. */
DagCandidate *dag_trial_choose (const DagStep *step, DagCandidate *candidates, size_t count,
                                int64_t now_ms);
/* Keeps other tasks from the candidate that can take a suspected task of the job soonest, and asks
   it whether it lives. */
void dag_trial_prepare (DagState *dag, const DagJob *job, const DagCandidate *candidates,
                        size_t count, int64_t now_ms);

/* dag_avail.c */
/* True if the scheduler may end the run now by its own choice: enough other tasks of the step are
   available. Every stop of a run that is not forced by an end, a cancellation or a proof that the
   run is over asks here first. */
bool dag_may_interrupt (const DagState *dag, const DagTask *task);
/* Stops the run by the scheduler's own choice. reason is for the log. */
void dag_interrupt (DagState *dag, DagTask *task, const char *reason, int64_t now_ms);
/* Notes the end of a run of a long-running step and sets when its task may start again. */
void dag_avail_handle_end (DagTask *task, int64_t now_ms);
/* Moves long-running tasks off draining targets, as soon as there is room for them elsewhere, and
   stops the runs that such a target would cut off. */
void dag_avail_tick (DagState *dag, int64_t now_ms);

/* dag_pace.c */
void dag_pace_init (DagPace *pace);
/* Adapts the limit to the worst ratio of a tail to its target; returns true if it changed. */
bool dag_pace_update (DagPace *pace, double ratio, int64_t now_ms);
/* Adapts the pace of the target's best-effort runs to the inventory that was just processed. */
void dag_pace_target (DagState *dag, DagTarget *target, int64_t now_ms);
/* True if the target runs both tasks that serve and best-effort tasks. */
bool dag_pace_is_mixed (const DagTarget *target);
/* Expected harm, from 0 on, between a task of the step and the runs of the target. */
double dag_pace_expected_harm (DagState *dag, const DagStep *step, const DagTarget *target);
void dag_pace_clear (DagState *dag);

/* dag_runtime.c */
/* Key of a kind of work in LearnRuntimes. */
uint64_t dag_work_kind (const GrName *queue, const GrName *image);
/* Expected run time of a task of the step on a target of mean speed. */
double dag_expected_run (const DagStep *step);
/* The same in whole milliseconds. */
int64_t dag_expected_run_ms (const DagStep *step);
/* Variance of the logarithm of the run time against the expected one. */
double dag_expected_run_variance (const DagStep *step);
/* Run time that with a probability of 95% none of this number of tasks of the step exceeds on
   targets of mean speed. */
double dag_run_p95 (const DagStep *step, int32_t tasks);
/* Run time by which the progress of a run on its target is judged. */
double dag_stall_run (const DagTask *task);
/* A run whose time was measured has ended as done; the task is still on its target. */
void dag_runtime_note_end (DagState *dag, const DagTask *task, int64_t run_ms);
/* A run was stopped or its lease has lapsed; the task is still on its target. */
void dag_runtime_note_interrupted (DagState *dag, const DagTask *task);
/* Recomputes the objectives of open jobs, also of those that have begun if begun is true. */
void dag_runtime_renew_objectives (DagState *dag, bool begun);
/* Renews objectives of jobs that have not begun after a clear change, and writes the report. */
void dag_runtime_tick (DagState *dag, int64_t now_ms);

/* dag_speed.c */
void dag_speed_init (DagState *dag);
/* A start was confirmed at clock_ms of the target. */
void dag_speed_note_start (DagState *dag, DagTask *task, int64_t clock_ms, int64_t now_ms);
/* The run has ended as done; the task is still on its target. */
void dag_speed_note_end (DagState *dag, DagTask *task, int64_t now_ms);
/* All tasks of the step are done. */
void dag_speed_note_step (DagState *dag, DagStep *step, int64_t now_ms);
void dag_speed_tick (DagState *dag, int64_t now_ms);
/* Keeps the speed of a target that is not in the table until it is added. */
void dag_speed_remember (DagState *dag, const GrName *id, const LearnSpeed *speed);
/* Sets the speed of a target that was added to the table. */
void dag_speed_recall (DagState *dag, DagTarget *target);
void dag_speed_clear (DagState *dag);
/* Measures the room in the classes of speed, for a placement pass. */
void dag_speed_measure_room (DagState *dag, int64_t now_ms);
/* Order of the classes of speed for the step if it starts now. */
void dag_speed_rank (const DagState *dag, DagStep *step, int64_t now_ms, DagSpeedRank *out);
int32_t dag_speed_rank_of (const DagSpeedRank *rank, const DagTarget *target);

/* dag_learn_codec.c */
#define DAG_LEARN_KEY 'l'
/* Schedules a record of the learned values if they have clearly changed. */
void dag_learn_check_record (DagState *dag, int64_t now_ms);
/* Appends the record if one is scheduled. */
void dag_learn_pack (DagState *dag, DagRecords *out);
/* Returns false if the record is damaged; then part of it may have been taken. */
bool dag_learn_load (DagState *dag, GrStr value, int64_t now_ms);

/* dag_candidate.c */

/* True if a task of the step could start on some target now. */
bool dag_has_room (DagState *dag, DagStep *step, int64_t now_ms);
/* True if the target has the service and the label that the step needs. */
bool dag_may_run (const DagStep *step, const DagTarget *target);
/* Number of tasks of the step that fit on the target now. */
int32_t dag_fit_count (const DagStep *step, const DagTarget *target);
/* Number of tasks of the step that fit on the target when nothing else runs there. */
int32_t dag_fit_count_idle (const DagStep *step, const DagTarget *target);
/* Stores the candidates in out, in order of preference, and returns their number. */
size_t dag_list_candidates (DagState *dag, DagStep *step, DagCandidate *out, int64_t now_ms);
/* Reorders the candidates so that those of one class of speed come first, if these alone have room
   for this number of tasks, in the rack if one is given. Criteria that precede speed in
   dag_list_candidates() still do. */
void dag_prefer_one_speed (DagCandidate *candidates, size_t count, const GrName *rack,
                           int32_t tasks);

/* dag_triage.c */
/* Plans which jobs can meet their deadlines, if the cell lacks room and the last plan is not too
   recent. To be called before each placement pass. */
void dag_triage_update (DagState *dag, int64_t now_ms);
/* A job was accepted or loaded. */
void dag_triage_note_job (DagState *dag, const DagJob *job);
/* False if the job, which is not accepted yet, would miss its hard deadline even if it came next in
   its class; *retry_after_ms is set then. Applies to jobs of accounts only. Jobs within the share
   of their account are admitted while jobs beyond a share wait. */
bool dag_triage_admits (DagState *dag, const DagJob *job, int64_t now_ms, int64_t *retry_after_ms);
void dag_triage_clear (DagState *dag);

/* dag_place.c */
/* Key of the step, unique within a DagState. */
uint64_t dag_step_key (const DagStep *step);
/* Runs a placement pass if one is wanted and the last one is not too recent. */
void dag_place (DagState *dag, int64_t now_ms);

/* dag_advice.c */
/* A ticket is used only if it stays valid for this long: the record is stored before the start is
   sent. */
#define DAG_TICKET_MARGIN_MS 120
/* Calls for advice if this number of tasks of the step lack room on allowed targets. */
void dag_advice_request (DagState *dag, DagStep *step, int32_t tasks, int64_t now_ms);
/* Renews the tickets for targets that this placement pass reserves for the gang, so that it can
   start as soon as they have room. */
void dag_advice_renew (DagState *dag, DagStep *step, int64_t now_ms);
/* Drops all advice and all calls in flight of the step. */
void dag_advice_clear (DagStep *step);
/* Drops the advice about one target, also from calls in flight. */
void dag_advice_drop_target (DagStep *step, const DagTarget *target);

/* Adds to a counter if there are metrics. */
static inline void
dag_count (const DagState *dag, GrMetricId id, int64_t delta)
{
  if (dag->options.metrics)
    gr_metric_add (dag->options.metrics, id, delta);
}

/* Writes a log line unless options.quiet is set. */
#define DAG_LOG(dag, event, ...)                                                                   \
  do {                                                                                             \
    if (!(dag)->options.quiet)                                                                     \
      gr_log (&(dag)->options.log, event, __VA_ARGS__);                                            \
  } while (0)
