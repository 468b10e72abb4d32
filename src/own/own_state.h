/* State of the ownership module, shared by its source files. */
#pragma once

#include "mbr/mbr.h"
#include "own/own.h"

typedef enum {
  OWN_PENDING_NONE,
  OWN_PENDING_SENT,     /* the append was emitted and its outcome not reported yet */
  OWN_PENDING_UNKNOWN,  /* outcome unknown: appended again at retry_at_ms until it is read back */
  OWN_PENDING_COMMITTED /* in the log and not read back yet */
} OwnPendingState;

/* A record that this VM has appended. It stays pending until it is read back, is certainly not
   in the log, or the epoch of its key has reached its own epoch. */
typedef struct {
  OwnPendingState state;
  OwnRecordKind kind;
  int64_t token;
  int64_t epoch;
  int64_t retry_at_ms;
  bool earlier_attempt_unknown; /* an earlier append of this record may still reach the log */
  GrVmRef to;                   /* handover: the new owner */
} OwnPending;

typedef struct {
  GrName key;
  bool configured; /* in the newest OWN_MSG_KEYS */
  bool has_owner;
  bool tentative; /* retention may have removed an earlier record that decides the owner; a refresh
                     of this epoch settles it */
  int64_t epoch;
  GrVmRef owner;
  GrVmRef preferred; /* live member of rank 0; incarnation 0: none */
  int self_rank;     /* of this VM among the live members; 0 claims first; -1: not live */
  int64_t append_not_before_ms;  /* earliest next append after a failed one */
  int64_t lost_to_claim_ms;      /* when this VM lost the key to a claim */
  int64_t reclaim_not_before_ms; /* earliest time to claim it back from a suspected owner */
  int reclaim_doublings;         /* of the wait for the next reclaim */
  int64_t ownerless_since_ms;    /* since when the key needs a claim; -1: it does not */
  /* Valid while this VM is the owner. */
  int64_t usable_at_ms; /* end of the wait after a claim, when the previous owner's lease is over */
  bool inventory_taken;
  bool inventory_sent; /* OWN_CMD_TAKE_INVENTORY was emitted for this epoch */
  bool gained;         /* OWN_CMD_KEY_GAINED was emitted for this epoch */
  int64_t gained_ms;
  int64_t recorded_ms;         /* lower bound of the time of the newest record of this ownership */
  int64_t refresh_at_ms;       /* next refresh record */
  int64_t promise_excluded_ms; /* newest promise request that excluded the key; 0: none */
  int64_t fence_epoch;         /* highest fence that a target reported */
  OwnPending pending;
} OwnKey;

typedef GR_LIST (OwnKey) OwnKeys;

struct OwnState {
  OwnOptions options;
  MbrState members;
  OwnKeys keys;       /* sorted by name */
  uint64_t random;    /* state of own_random() */
  uint64_t live_hash; /* of the live members and key count that the ranks were computed for */
  int64_t last_tick_ms;
  int64_t last_token;       /* of an append */
  int64_t log_read_sent_ms; /* sent time of the newest read to the end of the log; -1: none */
  int64_t caught_up_ms;     /* receipt of the first read to the end of the log; -1: none */
  int64_t heartbeat_seq;
  int64_t next_heartbeat_ms;
  size_t heartbeat_window; /* first member of the rotating part of the next peers list */
  int64_t next_handover_ms;
  int64_t stopping_since_ms; /* -1: not stopping */
  bool leave_done;           /* the leave record is in the log, or none is needed */
  bool ended;                /* this incarnation was declared gone, replaced, expired or has left */
  OwnPending join;           /* its epoch is the number of the newest join appended; 0: none */
  int64_t join_missing_count; /* members.missing_count when that join was appended */
  OwnPending leave;
  OwnPending gone; /* at most one at a time */
  int64_t gone_not_before_ms;
};

/* own_rules.c: which records this VM appends and when. */
void own_rules_tick (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_rules_stop (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_rules_append_result (OwnState *state, int64_t token, OwnAppendOutcome outcome,
                              int64_t now_ms, OwnCmds *out);

/* own_peer.c: heartbeats and promises. */
void own_peer_tick (OwnState *state, int64_t now_ms, OwnCmds *out);
void own_peer_heartbeat (OwnState *state, const OwnHeartbeat *heartbeat, int64_t now_ms,
                         OwnCmds *out);
/* Returns true if the promises of all other members hold and a recent VM list shows this VM. */
bool own_peer_promises_hold (const OwnState *state, int64_t now_ms);

/* own_log.c: the meaning of records. */
void own_log_apply (OwnState *state, const OwnRecord *record, int64_t now_ms, OwnCmds *out);

/* Ends this incarnation: emits OWN_CMD_KEY_LOST for all its keys, then OWN_CMD_REIDENTIFY. Does
   nothing if it has ended already. */
void own_end_incarnation (OwnState *state, OwnCmds *out);

/* own.c. Pointers to keys are valid until the next own_key_find_or_add(). */
/* Returns NULL if there is no such key. */
OwnKey *own_key_find (const OwnState *state, const GrName *name);
OwnKey *own_key_find_or_add (OwnState *state, const GrName *name);
bool own_key_is_self (const OwnState *state, const OwnKey *key);
/* Returns true once this VM has read back its first join. */
bool own_joined (const OwnState *state);
/* Returns the key whose handover by this VM may be in the log, or NULL. */
OwnKey *own_moving_key (const OwnState *state);
/* Returns true if the newest read to the end of the log is younger than lease_ms. */
bool own_log_fresh (const OwnState *state, int64_t now_ms);
/* Returns a random number, uniform in [0, bound), or 0 if bound is not positive. */
int64_t own_random (OwnState *state, int64_t bound);
void own_emit_key (OwnCmds *out, OwnCmdKind kind, const OwnKey *key);
/* Emits the next of OWN_CMD_TAKE_INVENTORY and OWN_CMD_KEY_GAINED for a key of this VM, once the
   wait after its claim is over and while a lease holds. */
void own_key_advance (OwnState *state, OwnKey *key, int64_t now_ms, OwnCmds *out);
