/* Private state of the leader, shared by the files that cell_leader.c calls. */
#pragma once

#include "cell/cell_confirm.h"
#include "cell/cell_orders.h"
#include "cell/cell_priv.h"

typedef enum {
  LEADER_FENCING, /* sets the term at the store, which then refuses earlier ones */
  LEADER_LOADING, /* reads the job records */
  LEADER_LISTING, /* waits for the list of targets */
  LEADER_ACTIVE   /* accepts calls and schedules */
} LeaderState;

/* A call that waits for a record to be stored. */
typedef struct {
  int64_t token; /* given to the scheduler, which returns it with its command */
  GrName from;   /* VM that forwarded the call; empty: this VM */
  uint64_t id;
  GrName job;            /* of a submission; empty: another call */
  CellAnswerKind answer; /* once the record is stored */
} WaitingCall;

/* A target whose entry was deleted or is missing from the list. */
typedef struct {
  GrName target;
  int64_t at;
  int64_t boot_ms; /* the same time by cell_boot_now() */
} UnlistedTarget;

/* A job record read by recovery; submissions are loaded before the others. */
typedef struct {
  GrBuf key;
  GrBuf value;
} LoadedRecord;

struct CellLeader {
  Cell *cell;
  int64_t term;
  LeaderState state;
  DagState *dag;
  CellFollow *follow_targets;
  CellLanes *lanes;
  int64_t lanes_set_at;
  CellOrders *orders;
  GR_LIST (WaitingCall) waiting;
  CellConfirm confirm;
  int64_t check_sent_boot_ms; /* sending time of the check in flight of the election */
  int64_t next_check_at;      /* earliest time of the next check that no call asks for */
  bool unconfirmed;           /* see cell_leadership_tick() */
  int64_t next_token;
  GR_LIST (UnlistedTarget) unlisted;
  GR_LIST (LoadedRecord) loaded;
  GrBuf load_after_key; /* last key of the previous page of job records */
  /* Store pipeline: one batch at a time. */
  bool recovery_call_open; /* a call of cell_recovery.c is in flight */
  int appends_open;        /* copies of the batch in flight */
  int64_t append_sent_at;
  int64_t sequence;
  int64_t batch;      /* number of the batch; 0: none is open */
  DagRecords records; /* of the batch */
  int64_t batch_began_at;
  int64_t append_sent_boot_ms; /* sending time of the open batch's first copy, or of the fencing
                                  append */
  int64_t retry_at;
  int64_t load_logged_at;
  int64_t store_failed_at; /* last failure of any append or list read; 0: never */
  int refs;                /* one for each open call to the platform, one for the owner */
  bool freeing;            /* the leadership has ended */
};

/* cell_leader.c */
/* Tokens that other VMs send back are higher; each term has its own. */
int64_t cell_leader_first_token (const CellLeader *leader);
int64_t cell_leader_now (const CellLeader *leader);
/* Drops the reference that an open call to the platform holds; each callback calls it before it
   uses the leader. Returns true if the leadership has ended since the call: the leader may be freed
   then and must not be used any more. */
bool cell_leader_unref_ended (CellLeader *leader);
/* Handles a refusal by the store or a target that has seen a later term. */
void cell_leader_fenced (CellLeader *leader);
/* Records the outcome of a call to the store. */
void cell_leader_store_result (CellLeader *leader, bool ok);
/* Answers a call that the VM from, or this one if it is empty, has received. */
void cell_leader_answer (CellLeader *leader, const GrName *from, uint64_t id, CellAnswer answer);
/* Carries out the scheduler's commands and runs the lanes and the store pipeline. */
void cell_leader_run_commands (CellLeader *leader);

/* cell_leadership.c: how long this VM may act as the leader without a sign that it still is. */
/* Time of a clock that also counts while the VM is suspended. */
int64_t cell_boot_now (void);
/* Returns the scheduler for an input that may make it set or renew leases, which it does only while
   the leadership is confirmed. */
DagState *cell_leader_limited_dag (CellLeader *leader);
/* Time by which all leases that leaders of earlier terms may have set have lapsed, if the store has
   just taken this leader's term. */
int64_t cell_leadership_former_lapse (const CellLeader *leader);
/* Checks with the store that no later term exists, for the calls in leader->confirm. */
void cell_leadership_confirm (CellLeader *leader);
/* Checks with the store, and then with all members, if the last confirmation is old. */
void cell_leadership_tick (CellLeader *leader);

/* cell_recovery.c */
/* Sets this term at the store, which then refuses appends of earlier terms. */
void cell_recovery_fence (CellLeader *leader);
/* Reads the next page of job records. After the last page, a subscription to the targets starts. */
void cell_recovery_load (CellLeader *leader);
/* Frees the records that were read. */
void cell_recovery_clear (CellLeader *leader);
/* Reports targets to the scheduler as gone once an outage of the store no longer explains their
   missing entries. */
void cell_recovery_report_unlisted (CellLeader *leader);

/* cell_records.c */
/* Continues recovery, appends the next batch of records, or retries the open one. */
void cell_records_pump (CellLeader *leader);
/* Returns true if the open batch has had no answer for so long that new submissions would wait
   behind it. */
bool cell_records_stalled (const CellLeader *leader);
