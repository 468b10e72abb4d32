/* Ownership of keys and membership of one region, as a pure state machine.

   A key is a group of targets ("group/REGION/NAME") or a job partition ("part/REGION/NN"). The
   first valid claim or handover of an epoch in log order decides its owner. The owner may start
   work only while own_may_start() says so. State belongs to the caller of own_new(); one thread
   uses it. All times are local monotonic ms unless a name ends in _unix_ms. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Test-only switches: each leaves out one rule, so that a property can show that it notices. */
typedef struct {
  bool no_claim_wait;
  bool no_read_age_check;
  bool promise_from_any;
  bool no_acknowledged_rule;
  bool no_unknown_claim_rule;
  bool no_list_age_check;
  bool no_gone_delay;
  bool no_void_rule;
  bool act_on_moving_key;
} OwnFaults;

typedef struct {
  GrVmRef self;
  GrName region;
  int64_t lease_ms;              /* T: how long a log read or a promise is good for; default 3000 */
  int64_t margin_ms;             /* clock rate and messages in flight; default 500 */
  int64_t heartbeat_interval_ms; /* default 500 */
  int64_t suspect_after_ms;      /* default 2000 */
  int64_t list_max_age_ms;       /* X; default 5000 */
  int64_t list_lag_ms;           /* default 5000 */
  int64_t handover_interval_ms;  /* at most one key per interval is rebalanced; default 1000 */
  int64_t refresh_interval_ms;   /* half of the retention of the log; default 1800000 */
  uint64_t seed;                 /* jitter of rebalancing and refreshes */
  OwnFaults faults;
} OwnOptions;

typedef enum {
  OWN_RECORD_JOIN,
  OWN_RECORD_CLAIM,
  OWN_RECORD_HANDOVER,
  OWN_RECORD_GONE,
  OWN_RECORD_LEAVE,
  OWN_RECORD_REFRESH /* repeats epoch and owner of a key before retention removes its claim */
} OwnRecordKind;

/* One record of the stream ownership-REGION. */
typedef struct {
  OwnRecordKind kind;
  GrVmRef writer;
  GrName key;    /* claim, handover, refresh */
  int64_t epoch; /* claim, handover: the epoch that begins; refresh: the epoch in force;
                    join: number of this join, from 1; gone: number of the join that it ends */
  GrVmRef to;    /* handover: the new owner; gone: the VM declared gone */
} OwnRecord;

/* Peer heartbeat. The peers list states when each member was last heard, as an age in ms. */
typedef struct {
  GrVmRef vm;
  int64_t age_ms;
  bool acknowledged; /* the sender counts this member in its set */
} OwnPeerAge;

#define OWN_PEERS_MAX 128

typedef struct {
  GrVmRef from;
  int64_t seq;
  bool reply;          /* answers heartbeat seq of the receiver */
  bool promise_wanted; /* request: promise not to claim my keys */
  bool promise_given;  /* reply: promised for lease_ms from receipt of the request */
  bool leaving;        /* the sender began a planned stop */
  bool joining;        /* the sender has not read its own join yet */
  uint64_t owned_hash; /* over keys and epochs that the sender owns: a promise is refused by a peer
                          that knows of another owner for one of them */
  GrName moving_key;   /* a key whose handover may be in the log; owned_hash leaves it out, and the
                          sender does not act on it; empty if there is none */
  size_t peer_count;
  OwnPeerAge peers[OWN_PEERS_MAX];
} OwnHeartbeat;

/* An entry VM of this region as the platform's list shows it. */
typedef struct {
  GrName vm;
  int64_t incarnation; /* 0 if the list does not know it */
  bool leaving;
} OwnListedVm;

typedef enum {
  OWN_MSG_TICK,
  OWN_MSG_KEYS,           /* the complete set of keys of the region */
  OWN_MSG_LIST_READ,      /* a successful read of the VM list, sent at sent_ms */
  OWN_MSG_RECORD,         /* one record of the log, in offset order, duplicates removed */
  OWN_MSG_LOG_READ,       /* a read sent at sent_ms reached the end; its records came before */
  OWN_MSG_APPEND_RESULT,  /* outcome of OWN_CMD_APPEND */
  OWN_MSG_HEARTBEAT,      /* a heartbeat or reply arrived */
  OWN_MSG_INVENTORY_DONE, /* every reachable target of a group was fenced and listed */
  OWN_MSG_STOP,           /* planned stop: hand over all keys, then say farewell */
  OWN_MSG_STALE_EPOCH     /* a target refused an epoch of this VM; its fence is at fence_epoch */
} OwnMsgKind;

typedef enum {
  OWN_APPEND_COMMITTED,
  OWN_APPEND_FAILED, /* certainly not in the log */
  OWN_APPEND_UNKNOWN /* may be in the log, now or later */
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
  OWN_CMD_APPEND,         /* append record; report the outcome with the token */
  OWN_CMD_HEARTBEAT,      /* send heartbeat to `to` */
  OWN_CMD_TAKE_INVENTORY, /* fence all targets of the group with the epoch and list their tasks */
  OWN_CMD_KEY_GAINED,     /* this VM may now act on the key (group: after its inventory) */
  OWN_CMD_KEY_LOST,       /* another owner's epoch stands in the log, or the key was handed over */
  OWN_CMD_MEMBER_STATE,   /* a member changed state, for logs and routing */
  OWN_CMD_REIDENTIFY,     /* this incarnation was declared gone: restart with a new one */
  OWN_CMD_STOPPED         /* planned stop: all keys handed over, farewell committed */
} OwnCmdKind;

typedef enum {
  OWN_MEMBER_JOINING,
  OWN_MEMBER_LIVE,
  OWN_MEMBER_SUSPECTED,
  OWN_MEMBER_LEAVING,
  OWN_MEMBER_GONE
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

/* Errors: GR_ERR_MISSING without self or region, GR_ERR_INVALID for times that are not positive. */
OwnState *own_new (const OwnOptions *options, GrErr *err);
void own_free (OwnState *state);
/* Fills the defaults of all times that are 0. */
void own_options_defaults (OwnOptions *options);
/* Appends the commands that follow from msg to out. */
void own_step (OwnState *state, const OwnMsg *msg, int64_t now_ms, OwnCmds *out);
/* True while this VM owns the key, has taken inventory and its lease or promises hold. */
bool own_may_start (const OwnState *state, const GrName *key, int64_t now_ms);
/* Owner of the key by the log as read so far; false if it has none or it is gone. */
bool own_owner (const OwnState *state, const GrName *key, GrVmRef *owner, int64_t *epoch);
bool own_is_self (const OwnState *state, const GrName *key);
/* True while the log cannot be read and promises carry the owner. */
bool own_in_promise_mode (const OwnState *state, int64_t now_ms);
OwnMemberState own_member_state (const OwnState *state, const GrVmRef *vm);
/* Live members, this VM included; returns the number, at most max. */
size_t own_members (const OwnState *state, GrVmRef *out, size_t max);
size_t own_key_count (const OwnState *state);
void own_cmds_reset (OwnCmds *cmds);
void own_cmds_clear (OwnCmds *cmds);

/* msgpack codecs. The decoders return false with GR_ERR_PROTOCOL for malformed input. */
void own_record_encode (const OwnRecord *record, GrBuf *out);
bool own_record_decode (GrStr bytes, OwnRecord *record, GrErr *err);
void own_heartbeat_encode (const OwnHeartbeat *heartbeat, GrBuf *out);
bool own_heartbeat_decode (GrStr bytes, OwnHeartbeat *heartbeat, GrErr *err);

#ifdef __cplusplus
}
#endif
