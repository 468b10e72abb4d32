/* Ownership of keys and membership of one region, as a state machine without I/O.

   A key is a group of targets ("group/REGION/NAME") or a job partition ("part/REGION/NN"). A claim
   or handover begins a new epoch of the key. The first valid one of an epoch, in log order, decides
   the owner.

   The owner may start work only while own_may_start() returns true. That needs a lease: either a
   read of the log that is younger than lease_ms, or, while the log cannot be read, a promise from
   every other member not to claim the owner's keys for lease_ms (promise mode).

   The caller of own_new() owns the state; one thread uses it. All times are local monotonic ms
   unless a name ends in _unix_ms. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches. Each disables one rule, so that a test can show that a property detects the
   missing rule. */
typedef struct {
  bool no_claim_wait;         /* the new owner starts without waiting for the old lease to end */
  bool no_read_age_check;     /* a read of the log of any age is a lease */
  bool promise_from_any;      /* one promise is enough for promise mode */
  bool no_acknowledged_rule;  /* a key is claimed from an owner that has not acknowledged this VM */
  bool no_unknown_claim_rule; /* a promise is given without a check of keys and claims */
  bool no_list_age_check;     /* promise mode does without a recent VM list that shows this VM */
  bool no_gone_delay;         /* a VM that the list lacks is declared gone at once */
  bool no_void_rule;          /* records of an ended incarnation count */
  bool act_on_moving_key;     /* the owner starts work on a key during its handover */
} OwnFaults;

typedef struct {
  GrVmRef self;
  GrName region;
  int64_t lease_ms;              /* validity of a log read or a promise; default 3000 */
  int64_t margin_ms;             /* for clock drift and messages in flight; default 500 */
  int64_t heartbeat_interval_ms; /* default 500 */
  int64_t suspect_after_ms;      /* heartbeat age above which a member is suspected; default 2000 */
  int64_t list_max_age_ms;      /* age of a VM list read at which promise mode ends, and largest gap
                                   between reads that counts as uninterrupted; default 5000 */
  int64_t list_lag_ms;          /* largest lag of the VM list; default 5000 */
  int64_t handover_interval_ms; /* rebalancing moves at most one key per interval; default 1000 */
  int64_t refresh_interval_ms;  /* half of the retention of the log; default 1800000 */
  uint64_t seed;                /* for the jitter of rebalancing, refreshes and retries */
  OwnFaults faults;
} OwnOptions;

typedef enum {
  OWN_RECORD_JOIN,     /* the writer joins the region */
  OWN_RECORD_CLAIM,    /* the writer takes the key with a new epoch */
  OWN_RECORD_HANDOVER, /* the owner passes the key to another VM with a new epoch */
  OWN_RECORD_GONE,     /* the writer declares that another VM has ended */
  OWN_RECORD_LEAVE,    /* the writer ends its incarnation at the end of a planned stop */
  OWN_RECORD_REFRESH   /* repeats epoch and owner of a key before retention removes its claim */
} OwnRecordKind;

/* One record of the stream ownership-REGION. */
typedef struct {
  OwnRecordKind kind;
  GrVmRef writer;
  GrName key;    /* claim, handover, refresh */
  int64_t epoch; /* claim, handover: the new epoch; refresh: the current epoch; join: number of
                    this join, from 1; gone: number of the join that it ends */
  GrVmRef to;    /* handover: the new owner; gone: the VM declared gone */
} OwnRecord;

/* Entry of the peers list of a heartbeat. */
typedef struct {
  GrVmRef vm;
  int64_t age_ms;    /* since the sender last received a heartbeat of vm; -1: never */
  bool acknowledged; /* the sender counts vm in its member set and needs its promise */
} OwnPeerAge;

/* Largest number of entries in the peers list of a heartbeat. */
#define OWN_PEERS_MAX 128

/* Heartbeat between two VMs, or the reply to one that requested a promise. */
typedef struct {
  GrVmRef from;
  int64_t seq;         /* number of this heartbeat; reply: number of the heartbeat it replies to */
  bool reply;          /* a reply to a heartbeat of the receiver */
  bool promise_wanted; /* request: the receiver is to promise not to claim the sender's keys */
  bool promise_given;  /* reply: promised for lease_ms from receipt of the request */
  bool leaving;        /* the sender began a planned stop */
  bool joining;        /* the sender has not read its own join record yet */
  uint64_t owned_hash; /* of the keys that the sender owns and their epochs; a peer refuses the
                          promise if its own reading of the log gives another hash */
  GrName moving_key; /* key whose handover may be in the log; owned_hash excludes it and the sender
                        starts no work on it; empty: none */
  size_t peer_count;
  OwnPeerAge peers[OWN_PEERS_MAX];
} OwnHeartbeat;

/* An entry VM of this region in the platform's VM list. */
typedef struct {
  GrName vm;
  int64_t incarnation; /* 0 if the list does not state it */
  bool leaving;
} OwnListedVm;

typedef enum {
  OWN_MSG_TICK,
  OWN_MSG_KEYS,           /* the complete set of keys of the region */
  OWN_MSG_LIST_READ,      /* a successful read of the VM list, sent at sent_ms */
  OWN_MSG_RECORD,         /* one record of the log, in offset order, duplicates removed */
  OWN_MSG_LOG_READ,       /* a read of the log sent at sent_ms reached the end; all its records were
                             passed before */
  OWN_MSG_APPEND_RESULT,  /* outcome of OWN_CMD_APPEND */
  OWN_MSG_HEARTBEAT,      /* a heartbeat or a reply was received */
  OWN_MSG_INVENTORY_DONE, /* every reachable target of a group was fenced and listed */
  OWN_MSG_STOP,           /* planned stop: hand over all keys, then append a leave record */
  OWN_MSG_STALE_EPOCH     /* a target refused an epoch of this VM as older than fence_epoch */
} OwnMsgKind;

typedef enum {
  OWN_APPEND_COMMITTED,
  OWN_APPEND_FAILED, /* the record is not in the log and will not appear */
  OWN_APPEND_UNKNOWN /* the record may be in the log or may still appear */
} OwnAppendOutcome;

typedef struct {
  OwnMsgKind kind;
  union {
    struct {
      const GrName *keys;
      size_t count;
    } keys;
    struct {
      int64_t sent_ms;
      const OwnListedVm *vms;
      size_t count;
    } list_read;
    OwnRecord record;
    struct {
      int64_t sent_ms;
    } log_read;
    struct {
      int64_t token;
      OwnAppendOutcome outcome;
    } append_result;
    const OwnHeartbeat *heartbeat;
    struct {
      GrName key;
      int64_t epoch;
    } inventory_done;
    struct {
      GrName key;
      int64_t fence_epoch;
    } stale_epoch;
  };
} OwnMsg;

typedef enum {
  OWN_CMD_APPEND,         /* append the record; report the outcome with the token */
  OWN_CMD_HEARTBEAT,      /* send heartbeat to `to` */
  OWN_CMD_TAKE_INVENTORY, /* fence all targets of the group with the epoch, list their tasks */
  OWN_CMD_KEY_GAINED,     /* this VM may start work on the key (group: after its inventory) */
  OWN_CMD_KEY_LOST,       /* the log has another owner or epoch, or this incarnation ended */
  OWN_CMD_MEMBER_STATE,   /* a member changed state, for logs and routing */
  OWN_CMD_REIDENTIFY,     /* this incarnation has ended: restart with a new one */
  OWN_CMD_STOPPED         /* the planned stop is complete: keys are handed over, if a live member
                             remains, and the leave record is in the log */
} OwnCmdKind;

typedef enum {
  OWN_MEMBER_JOINING, /* no heartbeat received, or it has not read its own join record */
  OWN_MEMBER_LIVE,
  OWN_MEMBER_SUSPECTED, /* no heartbeat, direct or reported by a peer, for suspect_after_ms */
  OWN_MEMBER_LEAVING,   /* in a planned stop, by its heartbeat or the VM list */
  OWN_MEMBER_GONE       /* its incarnation has ended, by the log */
} OwnMemberState;

typedef struct {
  OwnCmdKind kind;
  union {
    struct {
      int64_t token;
      OwnRecord record;
    } append;
    struct {
      GrVmRef to;
      OwnHeartbeat *heartbeat; /* released by own_cmds_reset */
    } heartbeat;
    struct {
      GrName key;
      int64_t epoch;
    } key; /* TAKE_INVENTORY, KEY_GAINED, KEY_LOST */
    struct {
      GrVmRef vm;
      OwnMemberState state;
    } member;
  };
} OwnCmd;

typedef GR_LIST (OwnCmd) OwnCmds;

typedef struct OwnState OwnState;

/* Times that are 0 get their defaults. Returns NULL with GR_ERR_MISSING without self or region and
   GR_ERR_INVALID for negative times. */
OwnState *own_new (const OwnOptions *options, GrErr *err);
void own_free (OwnState *state);
/* Sets all times that are 0 to their defaults. */
void own_options_defaults (OwnOptions *options);
/* Processes one message and appends the resulting commands to out. */
void own_step (OwnState *state, const OwnMsg *msg, int64_t now_ms, OwnCmds *out);
/* Returns true while this VM owns the key, its OWN_CMD_KEY_GAINED was emitted, a lease holds, and
   no handover of the key or leave record of this VM may be in the log. */
bool own_may_start (const OwnState *state, const GrName *key, int64_t now_ms);
/* Owner of the key by the log as read so far. Returns false if there is none or it has ended. owner
   and epoch may be NULL. */
bool own_owner (const OwnState *state, const GrName *key, GrVmRef *owner, int64_t *epoch);
/* Returns true if this VM owns the key by the log as read so far, with or without a lease. */
bool own_is_self (const OwnState *state, const GrName *key);
/* Returns true while the newest read of the log is too old for a lease and promises replace it. */
bool own_in_promise_mode (const OwnState *state, int64_t now_ms);
/* State that the last OWN_CMD_MEMBER_STATE of vm reported. OWN_MEMBER_JOINING for an unknown VM,
   OWN_MEMBER_GONE for an incarnation older than the newest one. */
OwnMemberState own_member_state (const OwnState *state, const GrVmRef *vm);
/* Stores the live members, this VM included, and returns their number, at most max. */
size_t own_members (const OwnState *state, GrVmRef *out, size_t max);
/* Number of keys that this VM owns by the log as read so far. */
size_t own_key_count (const OwnState *state);
/* Removes the commands and frees their heartbeats, but keeps the memory of the list. */
void own_cmds_reset (OwnCmds *cmds);
/* As own_cmds_reset(), and frees the list. */
void own_cmds_clear (OwnCmds *cmds);

/* msgpack codecs. The encoders append to out. The decoders return false with GR_ERR_PROTOCOL for
   malformed input. */
void own_record_encode (const OwnRecord *record, GrBuf *out);
bool own_record_decode (GrStr bytes, OwnRecord *record, GrErr *err);
void own_heartbeat_encode (const OwnHeartbeat *heartbeat, GrBuf *out);
bool own_heartbeat_decode (GrStr bytes, OwnHeartbeat *heartbeat, GrErr *err);

#ifdef __cplusplus
}
#endif
