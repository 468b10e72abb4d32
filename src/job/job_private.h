/* Private data of the job module, shared by its files. */
#pragma once

#include <uthash.h>

#include "job/job.h"

/* A deadline that never comes. */
#define JOB_NEVER INT64_MAX
/* No answer to a placement within this time counts as an unknown fate. */
#define JOB_PLACE_TIMEOUT_MS 2000
/* How long after the deadline an attempt of unknown fate is still asked for. */
#define JOB_RESOLVE_GRACE_MS 5000
/* How long a report without a job is kept for a caller that repeats its id. */
#define JOB_ORPHAN_KEEP_MS 60000
/* Pause before a suspended owner looks at a due task again. */
#define JOB_SUSPENDED_RETRY_MS 200
/* Timer indexes below 0 concern the job itself. */
#define JOB_TIMER_JOB (-1)
#define JOB_TIMER_ORPHAN (-2)
/* Attempt numbers of an ownership epoch begin at a multiple of this, so that answers to an earlier
   owner's attempts are never taken for those of the current one. */
#define JOB_ATTEMPTS_PER_EPOCH 4096
/* A caller repeats an id within this time. Idempotent attempts are not recorded, so that a new
   owner cannot prove before then that a request did not run under the earlier owner. */
#define JOB_RESUBMIT_WINDOW_MS 60000
/* Largest retry budget that can build up. */
#define JOB_RETRY_TOKENS_MAX 1000.0
/* Retries allowed before any first attempt was counted. */
#define JOB_RETRY_TOKENS_START 10.0
/* Largest number of partitions of a region. */
#define JOB_PARTS_MAX 1024

typedef enum {
  JOB_TASK_IDLE,       /* waits for its next attempt at due_ms */
  JOB_TASK_RECORDING,  /* the record of the attempt is not in the log yet */
  JOB_TASK_PLACING,    /* a scheduler was asked, no word yet */
  JOB_TASK_QUEUED,     /* a scheduler took it */
  JOB_TASK_HELD,       /* gang: reserved, not started */
  JOB_TASK_ON_TARGET,  /* runs on a target */
  JOB_TASK_UNRESOLVED, /* whether the attempt runs is not known */
  JOB_TASK_DONE
} JobTaskPhase;

typedef struct {
  JobTaskPhase phase;
  int32_t attempt;       /* current or last attempt, 0 before the first */
  int32_t failures;      /* attempts that failed or lapsed */
  bool attempt_open;     /* the number is in use: not refused, not ended */
  bool attempt_recorded; /* its record is in the log or on the way */
  bool end_recorded;     /* its end is in the log or on the way */
  bool ran;              /* a target is known to have started some attempt */
  bool maybe_ran;        /* some attempt ran or may have run */
  bool all_unplaceable;  /* every refusal of this round said that it never fits */
  JobOutcome outcome;
  GrErrCode why;
  int64_t due_ms; /* IDLE: next try; PLACING: timeout; UNRESOLVED: next question */
  GrName scheduler;
  size_t avoid_count;
  GrName avoid[JOB_AVOID_MAX];
} JobTask;

typedef struct {
  int64_t call;
  int64_t until_ms;
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
  bool must_record;     /* durable before any attempt: jobs and non-idempotent requests */
  bool accept_appended; /* its acceptance is in the log or on the way */
  bool durable;         /* its acceptance is in the log */
  bool cancelled;       /* a caller asked to cancel */
  bool gang_restart;    /* a gang part failed: stop the others, then try again */
  bool abandoned;       /* a task failed for good: the tasks that stop are not tried again */
  bool end_pending;     /* callers are told once the end is in the log */
  int32_t done_tasks;
  int64_t outcome_expiry_ms; /* ENDED: when the outcome is dropped */
  JobTask *tasks;            /* NULL once the end was told */
  GR_LIST (JobWaiter) waiters;
  UT_hash_handle hh;
} Job;

typedef enum {
  JOB_RECORD_ACCEPT,
  JOB_RECORD_ATTEMPT,
  JOB_RECORD_TASK_END,
  JOB_RECORD_END,
  JOB_RECORD_CANCEL,
  JOB_RECORD_OPEN /* a new owner begins: records of lower epochs after it are void */
} JobRecordKind;

/* One record of the stream jobs-REGION. */
typedef struct {
  JobRecordKind kind;
  GrName id;        /* OPEN: not used */
  int64_t epoch;    /* of the writer's ownership of the partition; set by job_append */
  bool must_record; /* ACCEPT */
  JobSpec spec;     /* ACCEPT: deadline_ms is not set */
  int32_t index;    /* ATTEMPT, TASK_END; OPEN: partition */
  int32_t attempt;  /* ATTEMPT */
  JobOutcome outcome;
  GrErrCode why;
  GrStr answer; /* END, TASK_END */
} JobRecord;

/* A record whose commit the state waits for. */
typedef struct {
  int64_t token;
  int64_t epoch; /* of the ownership that wrote it */
  JobRecordKind kind;
  GrName id;
  int32_t index;
  int32_t attempt;
  UT_hash_handle hh;
} JobPending;

typedef struct {
  int64_t due_ms;
  GrName id;
  int32_t index; /* -1: the job itself */
} JobTimer;

/* The report of a task whose job is not known here (yet). */
typedef struct {
  GrName id;
  int32_t attempt;
  bool queued; /* waits at the scheduler; state is not set */
  JobTaskState state;
  GrName scheduler;
  GrBuf answer;
  int64_t drop_ms;
  UT_hash_handle hh;
} JobOrphan;

typedef struct {
  bool owned;
  bool opened; /* the OPEN record of this ownership was read back */
  bool synced;
  int64_t epoch; /* of this VM's ownership */
  int64_t gained_ms;
  int64_t log_epoch; /* highest epoch opened in the stream */
  int64_t active_until_ms;
} JobPartState;

struct JobState {
  JobOptions options;
  Job *jobs;
  JobPending *pending;
  JobOrphan *orphans;
  GR_LIST (JobTimer) timers; /* binary heap by due_ms */
  JobPartState parts[JOB_PARTS_MAX];
  bool store_up;
  int64_t next_token;
  size_t unfinished;
  double retry_tokens;
  unsigned short random[3];
  GR_LIST (GrName) ended;    /* jobs that ended in the last step: their tasks and payloads can go */
  GR_LIST (GrStr) cmd_bytes; /* heap copies that the commands of the last step refer to */
};

/* job_codec.c */
void job_record_encode (const JobRecord *record, GrBuf *out);
bool job_record_decode (GrStr bytes, JobRecord *record, GrErr *err);

/* job_table.c */
Job *job_find (JobState *state, const GrName *id);
Job *job_create (JobState *state, const JobSpec *spec, bool must_record);
void job_delete (JobState *state, Job *job);
void job_release_tasks (Job *job);
int64_t job_outcome_expiry_ms (const JobState *state, const GrName *id, int64_t now_ms);
uint64_t job_payload_hash (GrStr payload);
GrName job_task_id (const Job *job, int32_t index);
/* Splits JOB/INDEX; false if malformed or the job does not have that task. */
Job *job_find_task (JobState *state, const GrName *task_id, int32_t *index);
bool job_part_ready (const JobState *state, int32_t part, int64_t now_ms);
bool job_part_active (const JobState *state, int32_t part, int64_t now_ms);
void job_timer_add (JobState *state, int64_t due_ms, const GrName *id, int32_t index);
bool job_timer_pop (JobState *state, int64_t now_ms, JobTimer *timer);
void job_append (JobState *state, const JobRecord *record, JobCmds *out);
GrStr job_copy_cmd_bytes (JobState *state, GrStr bytes);

/* job_reply.c */
void job_reply_status (JobState *state, const Job *job, int64_t call, JobCmds *out);
void job_reply_refusal (int64_t call, const GrName *id, JobOutcome outcome, GrErrCode why,
                        JobCmds *out);
void job_add_waiter (JobState *state, Job *job, int64_t call, int64_t until_ms,
                     bool reply_on_accept);
void job_reply_accepted (JobState *state, Job *job, JobCmds *out);
void job_reply_all (JobState *state, Job *job, JobCmds *out);
void job_refuse_waiters (Job *job, GrErrCode why, JobCmds *out);
void job_drop_call (JobState *state, const GrName *id, int64_t call);

/* job_attempt.c */
JobOutcome job_expired_outcome (const JobTask *task);
void job_advance_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out);
void job_advance_all (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
void job_resolve_task (JobState *state, Job *job, int32_t index, int64_t now_ms, JobCmds *out);
void job_mark_queued (JobState *state, Job *job, int32_t index, int32_t attempt,
                      const GrName *scheduler, JobCmds *out);
void job_handle_place_result (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
void job_attempt_recorded (JobState *state, Job *job, int32_t index, int32_t attempt,
                           int64_t now_ms, JobCmds *out);
void job_restart_gang (Job *job, JobCmds *out);
void job_reschedule_gang (JobState *state, Job *job, int64_t now_ms);
void job_emit_task_cmd (Job *job, int32_t index, JobCmdKind kind, JobCmds *out);
void job_cancel_tasks (JobState *state, Job *job, int64_t now_ms, JobCmds *out);

/* job_end.c */
JobOrphan *job_store_orphan (JobState *state, const GrName *task_id, int32_t attempt,
                             const GrName *scheduler, int64_t now_ms);
JobOrphan *job_find_orphan (JobState *state, const GrName *task_id);
void job_adopt_orphans (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
void job_drop_orphan (JobState *state, JobOrphan *orphan);
void job_handle_report (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
void job_apply_report (JobState *state, Job *job, int32_t index, int32_t attempt,
                       JobTaskState task_state, const GrName *scheduler, GrStr answer,
                       int64_t now_ms, JobCmds *out);
void job_schedule_retry (JobState *state, Job *job, int32_t index, bool count_retry,
                         int64_t now_ms);
void job_finish_task (JobState *state, Job *job, int32_t index, JobOutcome outcome, GrErrCode why,
                      GrStr answer, int64_t now_ms, JobCmds *out);
void job_finish (JobState *state, Job *job, JobOutcome outcome, GrErrCode why, GrStr answer,
                 int64_t now_ms, JobCmds *out);

/* job_accept.c */
bool job_is_provably_new (const JobState *state, const JobSpec *spec, int64_t now_ms);
void job_submit (JobState *state, const JobMsg *msg, int64_t now_ms, JobCmds *out);
void job_accept_committed (JobState *state, Job *job, int64_t now_ms, JobCmds *out);
void job_append_accept (JobState *state, Job *job, JobCmds *out);
void job_make_accept_record (const Job *job, JobRecord *record);

/* job_replay.c */
void job_handle_record (JobState *state, GrStr bytes, int64_t now_ms, JobCmds *out);
void job_part_gained (JobState *state, int32_t part, int64_t epoch, int64_t now_ms, JobCmds *out);
void job_part_lost (JobState *state, int32_t part, JobCmds *out);
void job_part_synced (JobState *state, int32_t part, int64_t now_ms, JobCmds *out);
void job_snapshot (JobState *state, JobCmds *out);
