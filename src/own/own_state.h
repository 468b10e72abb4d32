/* State of the ownership module, shared by its source files. */
#pragma once

#include "mbr/mbr.h"
#include "own/own.h"

typedef enum {
  OWN_PENDING_NONE,
  OWN_PENDING_SENT,     /* the append's outcome was not reported yet */
  OWN_PENDING_UNKNOWN,  /* appended again at retry_at_ms, until it is read back */
  OWN_PENDING_COMMITTED /* in the log and not read back yet */
} OwnPendingState;

/* One record of this VM that is not settled: neither read back nor certainly not in the log. */
typedef struct {
  OwnPendingState state;
  OwnRecordKind kind;
  int64_t token;
  int64_t epoch;
  int64_t retry_at_ms;
  bool unsure; /* an earlier attempt of the same record may still reach the log */
  GrVmRef to;  /* handover */
} OwnPending;

typedef struct {
  GrName key;
  bool configured; /* in the newest OWN_MSG_KEYS */
  bool has_owner;
  bool tentative; /* retention may have removed an earlier record: a refresh of the epoch decides */
  int64_t epoch;
  GrVmRef owner;
  GrVmRef preferred;     /* live member of the first rank; incarnation 0: none */
  int self_rank;         /* of this VM among the live members; -1: it is not live */
  int64_t not_before_ms; /* earliest next claim after a failed append */
  int64_t lost_at_ms;    /* when this VM lost the key to a claim */
  int64_t hold_until_ms; /* until then it does not claim the key back */
  int hold_streak;
  int64_t ownerless_since_ms; /* when the owner was first found to be missing; -1 if it is not */
  /* While this VM is the owner. */
  int64_t usable_at_ms; /* end of the claimer's wait */
  bool inventory_taken;
  bool inventory_sent;
  bool gained; /* OWN_CMD_KEY_GAINED was emitted for this epoch */
  int64_t gained_ms;
  int64_t recorded_ms; /* no later than the newest record that states this ownership */
  int64_t refresh_at_ms;
  int64_t left_out_ms; /* when a request for promises last left the key out */
  int64_t fence_epoch; /* highest epoch that a target is known to have served */
  OwnPending pending;
} OwnKey;

typedef GR_LIST (OwnKey) OwnKeys;

struct OwnState {
  OwnOptions options;
  MbrState members;
  OwnKeys keys; /* sorted by name */
  uint64_t random;
  uint64_t live_hash; /* live members and number of keys that the ranks were computed for */
  int64_t last_tick_ms;
  int64_t next_token;
  int64_t log_read_sent_ms; /* sent time of the newest read to the end of the log; -1 before the
                               first */
  int64_t caught_up_ms;     /* time of the first read to the end of the log */
  int64_t heartbeat_seq;
  int64_t next_heartbeat_ms;
  size_t heartbeat_window; /* first member of the next rotating part of the peers list */
  int64_t next_handover_ms;
  int64_t stopping_since_ms; /* -1: not stopping */
  bool farewell_done;
  bool dead;                  /* this incarnation was declared gone or said farewell */
  OwnPending join;            /* epoch: number of the newest join appended */
  int64_t join_missing_count; /* of the list when that join was appended */
  OwnPending farewell;
  OwnPending gone; /* one at a time */
  int64_t gone_not_before_ms;
};

/* own_rules.c */
void own_rules_tick (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_rules_stop (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_rules_append_result (OwnState *state, int64_t token, OwnAppendOutcome outcome,
                              int64_t now_ms, OwnCmds *out);

/* own_peer.c */
void own_peer_tick (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_peer_heartbeat (OwnState *state, const OwnHeartbeat *heartbeat, int64_t now_ms,
                         OwnCmds *out);
bool own_peer_promises_hold (const OwnState *state, int64_t now_ms);

/* own_log.c */
void own_log_record (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out);

/* Ends this incarnation: all keys are lost and it has to start with a new one. */
void own_die (OwnState *state, OwnCmds *out);

/* own.c */
OwnKey *own_key_find (const OwnState *state, const GrName *name);
OwnKey *own_key_find_or_add (OwnState *state, const GrName *name);
bool own_key_is_self (const OwnState *state, const OwnKey *key);
/* True once this VM has read its first join. */
bool own_joined (const OwnState *state);
/* True if the read of the log is recent enough to act on. */
/* The key whose handover by this VM may be in the log, or NULL. */
OwnKey *own_moving_key (const OwnState *state);
bool own_log_fresh (const OwnState *state, int64_t now_ms);
/* Uniform in [0, bound). */
int64_t own_random (OwnState *state, int64_t bound);
void own_emit_key (OwnCmds *out, OwnCmdKind kind, const OwnKey *key);
/* Emits inventory and gain commands for a key of this VM as far as its wait has ended. */
void own_key_advance (OwnState *state, OwnKey *key, int64_t now_ms, OwnCmds *out);
