/* State of the VM that leads, shared by cell_leader.c, cell_recovery.c and cell_records.c only. */
#pragma once

#include "cell/cell_priv.h"

typedef enum {
  LEADER_FENCING, /* earlier terms are shut out from the store */
  LEADER_LOADING,
  LEADER_LISTING, /* waits for the list of targets */
  LEADER_ACTIVE
} LeaderState;

/* A call that waits for a record to be stored. */
typedef struct {
  int64_t token;
  GrName from; /* empty: this VM */
  uint64_t id;
  GrName job; /* of a submission; empty: another call */
} WaitingCall;

typedef struct {
  GrName target;
  int64_t at;
} UnlistedTarget;

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
  GR_LIST (WaitingCall) waiting;
  int64_t next_token;
  GR_LIST (UnlistedTarget) unlisted;
  GR_LIST (LoadedRecord) loaded;
  GrBuf load_after_key;
  /* Store pipeline: one append at a time. */
  bool recovery_call_open;
  int appends_open; /* copies of the batch under way */
  int64_t append_sent_at;
  int64_t sequence;
  int64_t batch;
  DagRecords records;
  int64_t batch_began_at;
  int64_t retry_at;
  int64_t load_logged_at;
  int64_t store_failed_at; /* last failure of any append or list read */
  int refs;                /* open calls to the platform, and the owner */
  bool freeing;
};

/* cell_leader.c */
int64_t cell_leader_now (const CellLeader *leader);
/* For callbacks of calls to the platform: drops the call's reference. True if the leader that a
   late answer belongs to is gone; it must not be used any more then. */
bool cell_leader_unref_ended (CellLeader *leader);
/* A later term has shut this one out. */
void cell_leader_fenced (CellLeader *leader);
/* Outcome of a call to the store. */
void cell_leader_store_result (CellLeader *leader, bool ok);
/* Carries out what the scheduler wants and sends what waits for the store. */
void cell_leader_run_commands (CellLeader *leader);

/* cell_recovery.c */
/* Shuts earlier terms out from the store. */
void cell_recovery_fence (CellLeader *leader);
/* Reads the next page of job records; after the last one, the list of targets is followed. */
void cell_recovery_load (CellLeader *leader);
void cell_recovery_clear (CellLeader *leader);
/* Tells the scheduler of targets whose entries are missing for good. */
void cell_recovery_report_unlisted (CellLeader *leader);

/* cell_records.c */
/* Goes on with recovery, or appends the next batch of records, or repeats an open one. */
void cell_records_pump (CellLeader *leader);
/* The open batch has been without an answer for long: what comes now would wait behind it. */
bool cell_records_stalled (const CellLeader *leader);
