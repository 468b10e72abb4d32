/* Private data and functions of the job module, shared by its files.

   Functions that receive out add their commands to it. A job or task can end within such a call, so
   callers check the phase before they go on. */
#pragma once

#include "base/gr_hash_priv.h"
#include "job/job.h"

/* Time of a deadline, timer or expiry that is not set. */
#define JOB_NEVER INT64_MAX
/* An attempt becomes unresolved if no scheduler has answered its placement within this time. */
#define JOB_PLACE_TIMEOUT_MS 2000
/* How long after the deadline JOB_CMD_RESOLVE is repeated for an unresolved attempt. Its task then
   ends as unknown. */
#define JOB_RESOLVE_GRACE_MS 5000
/* How long a report without a job is stored in case the caller submits its id again. */
#define JOB_ORPHAN_KEEP_MS 60000
/* Interval at which due timers are checked again while the ownership lease is not active. */
#define JOB_SUSPENDED_RETRY_MS 200
/* Values of JobTimer.index that do not stand for a task. */
#define JOB_TIMER_JOB (-1)
#define JOB_TIMER_ORPHAN (-2)
/* Attempt numbers of an ownership epoch begin at a multiple of this, so that an answer to an
   attempt of an earlier owner cannot be mistaken for one to an attempt of the current owner. */
#define JOB_ATTEMPTS_PER_EPOCH 4096
/* A caller that submits an id again does so within this time. First attempts of idempotent work are
   not recorded. For this long after a takeover, the new owner therefore cannot rule out that an
   earlier owner ran a request with the same id. */
#define JOB_RESUBMIT_WINDOW_MS 60000
/* Largest retry budget that can accumulate, in retries. */
#define JOB_RETRY_TOKENS_MAX 1000.0
/* Initial retry budget, in retries. */
#define JOB_RETRY_TOKENS_START 10.0
/* Largest number of partitions of a region. */
#define JOB_PARTS_MAX 1024

/* Phase of a task in this module; JobTaskState is the state that a report gives. */
typedef enum {
  JOB_TASK_IDLE,       /* its next attempt is due at due_ms */
  JOB_TASK_RECORDING,  /* the record of the attempt is being appended */
  JOB_TASK_PLACING,    /* a scheduler was asked and has not answered */
  JOB_TASK_QUEUED,     /* waits at a scheduler */
  JOB_TASK_HELD,       /* gang: has a reservation, not started */
  JOB_TASK_ON_TARGET,  /* runs on a target */
  JOB_TASK_UNRESOLVED, /* it is not known whether the attempt runs */
  JOB_TASK_DONE
} JobTaskPhase;

typedef struct {
  JobTaskPhase phase;
  int32_t attempt;       /* current or last attempt, 0 before the first */
  int32_t failures;      /* attempts that failed or lapsed */
  bool attempt_open;     /* the attempt number is in use: neither refused nor ended */
  bool attempt_recorded; /* its record was appended or read back */
  bool end_recorded;     /* its end record was appended or read back */
  bool ran;              /* a target has certainly started an attempt */
  bool maybe_ran;        /* an attempt ran or may have run */
  bool all_unplaceable;  /* each refusal of this round was GR_ERR_UNPLACEABLE */
  JobOutcome outcome;
  GrErrCode why;
  int64_t due_ms;   /* IDLE: next attempt; PLACING: timeout; UNRESOLVED: next JOB_CMD_RESOLVE */
  GrName scheduler; /* VM that has the attempt; empty: not known */
  size_t avoid_count;
  GrName avoid[JOB_AVOID_MAX]; /* schedulers that refused the task in this round */
} JobTask;

/* A call that waits for a reply. */
typedef struct {
  int64_t call;
  int64_t until_ms;     /* reply with the current status at this time */
  bool reply_on_accept; /* reply as soon as the job is durable */
} JobWaiter;

typedef struct {
  GrName id;
  JobSpec spec; /* payload points to payload_copy */
  char *payload_copy;
  uint64_t payload_hash;
  int32_t part;
  JobPhase phase;
  JobOutcome outcome;
  GrErrCode why;
  GrBuf answer;
  bool must_record;     /* accept record before any attempt: jobs and non-idempotent requests */
  bool accept_appended; /* its accept record was appended or read back */
  bool durable;         /* its accept record is in the log */
  bool cancelled;       /* a caller cancelled it: no attempt starts any more */
  bool cancel_appended; /* its cancel record was appended or read back */
  bool cancel_durable;  /* its cancel record is in the log: attempts are stopped */
  bool gang_restart;    /* gang: all tasks are being stopped before they are retried together */
  bool abandoned;       /* gang: a task ended without completing; the others are not retried */
  bool end_pending;     /* ENDED: callers get the outcome once the end record is read back */
  int32_t done_tasks;
  int64_t outcome_expiry_ms; /* ENDED */
  JobTask *tasks;            /* NULL after the step that sent the outcome */
  GR_LIST (JobWaiter) waiters;
  UT_hash_handle hh;
} Job;

typedef enum {
  JOB_RECORD_ACCEPT,
  JOB_RECORD_ATTEMPT,
  JOB_RECORD_TASK_END,
  JOB_RECORD_END,
  JOB_RECORD_CANCEL,
  JOB_RECORD_OPEN /* start of an ownership: later records of lower epochs are ignored */
} JobRecordKind;

/* One record of the stream jobs-REGION. */
typedef struct {
  JobRecordKind kind;
  GrName id;        /* OPEN: empty */
  int64_t epoch;    /* ownership epoch of the writer; set by job_append () */
  bool must_record; /* ACCEPT */
  JobSpec spec;     /* ACCEPT: deadline_ms is not set */
  int32_t index;    /* ATTEMPT, TASK_END; OPEN: partition */
  int32_t attempt;  /* ATTEMPT */
  JobOutcome outcome;
  GrErrCode why;
  GrStr answer; /* END, TASK_END */
} JobRecord;

/* An appended record that is neither committed nor rejected. */
typedef struct {
  int64_t token;
  int64_t epoch; /* ownership epoch under which it was appended */
  JobRecordKind kind;
  GrName id;
  int32_t index;
  int32_t attempt;
  UT_hash_handle hh;
} JobPending;

typedef struct {
  int64_t due_ms;
  GrName id;     /* job id; task id for JOB_TIMER_ORPHAN */
  int32_t index; /* task index, JOB_TIMER_JOB or JOB_TIMER_ORPHAN */
} JobTimer;

/* The last reported attempt of a task whose job this state does not have. It is applied if a caller
   submits the id again after a takeover, or the job is read from the stream. */
typedef struct {
  GrName id;
  int32_t attempt;
  bool queued; /* waits at the scheduler; state and answer are not set */
  JobTaskState state;
  GrName scheduler;
  GrBuf answer;
  int64_t expiry_ms;
  UT_hash_handle hh;
} JobOrphan;

typedef struct {
  bool owned;
  bool opened;   /* the OPEN record of this ownership was read back */
  bool synced;   /* JOB_MSG_PART_SYNCED was received */
  int64_t epoch; /* of the last ownership by this VM */
  int64_t gained_ms;
  int64_t log_epoch; /* highest epoch read from the stream */
  int64_t active_until_ms;
} JobPartState;

struct JobState {
  JobOptions options;
  Job *jobs;                 /* hash by id */
  JobPending *pending;       /* hash by token */
  JobOrphan *orphans;        /* hash by task id */
  GR_LIST (JobTimer) timers; /* binary heap by due_ms */
  JobPartState parts[JOB_PARTS_MAX];
  bool store_up;
  int64_t last_token; /* of an append */
  size_t unfinished;
  double retry_tokens;       /* retry budget: token bucket filled by first attempts */
  unsigned short random[3];  /* state of erand48 () */
  GR_LIST (GrName) ended;    /* ids of jobs whose outcome was sent in the last step */
  GR_LIST (GrStr) cmd_bytes; /* heap memory that the commands of the last step point into */
};

/* job_codec.c */
/* Appends the encoded record to out. */
void job_record_encode (const JobRecord *record, GrBuf *out);
/* Returns false and sets GR_ERR_PROTOCOL if bytes are malformed. Strings of the record point into
   bytes. */
bool job_record_decode (GrStr bytes, JobRecord *record, GrErr *err);

/* job_table.c */
/* Returns NULL if there is no such job. */
Job *job_find (JobState *state, const GrName *id);
/* Adds a job in phase JOB_ACCEPTING with a copy of the payload. */
Job *job_create (JobState *state, const JobSpec *spec, bool must_record);
void job_delete (JobState *state, Job *job);
/* Frees the tasks and the payload. */
void job_release_tasks (Job *job);
/* Returns when the outcome of a job that ends now is dropped; JOB_NEVER for configured work. */
int64_t job_outcome_expiry_ms (const JobState *state, const GrName *id, int64_t now_ms);
uint64_t job_payload_hash (GrStr payload);
GrName job_task_id (const Job *job, int32_t index);
/* Returns the job of a task id JOB/INDEX and sets index; NULL if the id is malformed or there is no
   such task. */
Job *job_find_task (JobState *state, const GrName *task_id, int32_t *index);
/* Returns whether the partition is active and its takeover is complete. Only then may attempts be
   placed. */
bool job_part_ready (const JobState *state, int32_t part, int64_t now_ms);
/* Returns whether this VM owns the partition and the ownership lease is valid at now_ms. */
bool job_part_active (const JobState *state, int32_t part, int64_t now_ms);
/* Adds a timer. It cannot be removed; the code that handles a due timer ignores stale ones. */
void job_timer_add (JobState *state, int64_t due_ms, const GrName *id, int32_t index);
/* Removes the earliest timer; returns false if none is due at now_ms. */
bool job_timer_pop (JobState *state, int64_t now_ms, JobTimer *timer);
/* Emits JOB_CMD_APPEND for the record under the current ownership epoch. */
void job_append (JobState *state, const JobRecord *record, JobCmds *out);
/* Returns a copy of bytes that is valid until the next step. */
GrStr job_copy_cmd_bytes (JobState *state, GrStr bytes);

/* job_reply.c */
/* Replies with the phase, outcome and answer of the job. */
void job_reply_status (JobState *state, const Job *job, int64_t call, JobCmds *out);
/* Replies without a status. JOB_OUTCOME_NONE leaves open whether work with this id ran. */
void job_reply_refusal (int64_t call, const GrName *id, JobOutcome outcome, GrErrCode why,
                        JobCmds *out);
/* Makes the call wait for the end of the job, until until_ms at the latest. With reply_on_accept it
   waits only until the job is durable. */
void job_add_waiter (JobState *state, Job *job, int64_t call, int64_t until_ms,
                     bool reply_on_accept);
/* Replies to the calls that wait for the job to be durable. */
void job_reply_accepted (JobState *state, Job *job, JobCmds *out);
/* Replies to all waiting calls with the status. */
void job_reply_all (JobState *state, Job *job, JobCmds *out);
/* Refuses all waiting calls. */
void job_refuse_waiters (Job *job, GrErrCode why, JobCmds *out);
/* Removes a waiting call without a reply. */
void job_drop_call (JobState *state, const GrName *id, int64_t call);

/* job_attempt.c */
/* Outcome of a task that has no attempt at a scheduler when its deadline passes. */
JobOutcome job_expired_outcome (const JobTask *task);
/* Records or places the next attempt of an idle task if it is due and the partition is ready. Ends
   the task instead if it is cancelled or past its deadline. */
void job_advance_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out);
void job_advance_all (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
/* Marks the task unresolved and emits JOB_CMD_RESOLVE. */
void job_resolve_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out);
/* Notes that the attempt waits at the scheduler. */
void job_mark_queued (JobState *state, Job *job, int32_t index, int32_t attempt,
                      const GrName *scheduler, JobCmds *out);
void job_handle_place_result (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
/* The record of the attempt is in the log: places the attempt. */
void job_attempt_recorded (JobState *state, Job *job, int32_t index, int32_t attempt,
                           int64_t now_ms, JobCmds *out);
/* Releases all reservations of the gang. Tasks that wait or hold a reservation are then refused by
   their schedulers. */
void job_restart_gang (Job *job, JobCmds *out);
/* Ends a restart: makes the unfinished tasks due at the same time once all of them are idle. */
void job_reschedule_gang (JobState *state, Job *job, int64_t now_ms);
void job_emit_task_cmd (Job *job, int32_t index, JobCmdKind kind, JobCmds *out);
/* Ends the tasks of a cancelled job that have not been placed, and appends the cancel record if
   there are others. The cost is O(1) for each task. */
void job_cancel (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
/* The cancel record is in the log. */
void job_cancel_recorded (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
/* Emits JOB_CMD_CANCEL_TASK for the tasks that were placed, if the cancel record is in the log and
   the partition is active: then every later owner knows why the attempts end. Without the lease, a
   new owner may not have read the record yet. */
void job_stop_cancelled (JobState *state, Job *job, int64_t now_ms, JobCmds *out);

/* job_end.c */
/* Returns the orphan of the task, set to this attempt and without an answer. NULL if it has a later
   attempt already. */
JobOrphan *job_store_orphan (JobState *state, const GrName *task_id, int32_t attempt,
                             const GrName *scheduler, int64_t now_ms);
/* Returns NULL if there is none. */
JobOrphan *job_find_orphan (JobState *state, const GrName *task_id);
/* Applies the orphans of a new job's tasks to the job and removes them. */
void job_adopt_orphans (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
void job_drop_orphan (JobState *state, JobOrphan *orphan);
void job_handle_report (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
/* Applies the reported state of an attempt. Ignores reports of earlier attempts and of attempts
   that have ended. */
void job_apply_report (JobState *state, Job *job, int32_t index, int32_t attempt,
                       JobTaskState task_state, const GrName *scheduler, GrStr answer,
                       int64_t now_ms, JobCmds *out);
/* Makes the task idle until its next attempt after a backoff with jitter, or until the deadline if
   that is earlier. If count_retry is set and the retry budget is used up, the backoff is the
   longest one. */
void job_schedule_retry (JobState *state, Job *job, int32_t index, bool count_retry,
                         int64_t now_ms);
/* Ends the task, and the job with its last task. A gang ends if a task does not complete. */
void job_finish_task (JobState *state, Job *job, int32_t index, JobOutcome outcome, GrErrCode why,
                      GrStr answer, int64_t now_ms, JobCmds *out);
/* Ends the job, appends its end record if needed, and replies unless the record must be read back
   first. */
void job_finish (JobState *state, Job *job, JobOutcome outcome, GrErrCode why, GrStr answer,
                 int64_t now_ms, JobCmds *out);

/* job_accept.c */
/* Returns false if an earlier owner may have run the same id without a record of it. */
bool job_is_provably_new (const JobState *state, const JobSpec *spec, int64_t now_ms);
void job_submit (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
/* The accept record is in the log: replies to the callers that wait for it and places attempts.
   Does nothing while the partition is not active. */
void job_accept_committed (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
/* Appends the accept record unless that was done before. */
void job_append_accept (JobState *state, Job *job, JobCmds *out);
/* Fills in an accept record that points into the job. */
void job_make_accept_record (const Job *job, JobRecord *record);

/* job_replay.c */
void job_handle_record (JobState *state, GrStr bytes, int64_t now_ms, JobCmds *out);
void job_part_gained (JobState *state, int32_t part, int64_t epoch, int64_t now_ms, JobCmds *out);
void job_part_lost (JobState *state, int32_t part, JobCmds *out);
void job_part_synced (JobState *state, int32_t part, int64_t now_ms, JobCmds *out);
void job_snapshot (JobState *state, JobCmds *out);
