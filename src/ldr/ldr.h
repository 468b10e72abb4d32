/* Leader election over a log with conditional appends.

   The leader is the VM that wrote the newest record of the election topic. Its term is the offset
   of the record plus one, so terms only increase. A VM claims leadership by appending a record on
   condition that the topic still ends at the offset where this VM's last read ended. Safety does
   not depend on this module: the store and the targets refuse orders of lower terms. The module
   only decides when to claim, so that a lost leader is replaced soon and a healthy one is not
   replaced.

   A former leader that does not know of its successor may still act where the successor cannot
   reach: it keeps the leases of targets alive. Two functions bound this together. A leader sets and
   renews leases until ldr_leases_until_boot_ms() only, and its successor takes these leases as
   lapsed after ldr_former_leases_ms(), counted from the moment at which the store took its term.

   The state is pure: inputs are the functions below with the local monotonic time in ms, outputs
   are the commands of ldr_tick(). */
#pragma once

#include "base/gr_log.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A leader sets and renews leases for this long after its last confirmation. */
#define LDR_UNCONFIRMED_MS 2900

typedef struct {
  GrVmRef vm;
  GrName address; /* for peers, "IP:PORT" */
  GrName zone;
  int32_t weight; /* relative capacity; VMs of higher weight are preferred as leader */
} LdrMember;

/* An election record. term 0: none has been written yet. */
typedef struct {
  LdrMember member;
  int64_t term;
} LdrRecord;

/* State of a VM, as sent in its heartbeats. */
typedef struct {
  GrVmRef vm;
  int64_t term;         /* newest term that it has seen */
  bool leads;           /* it is the leader of that term */
  bool serves;          /* it leads, has recovered and accepts calls */
  bool store_ok;        /* see ldr_store_ok() */
  bool leaving;         /* a planned stop has begun */
  int64_t store_rtt_ms; /* its shortest round trip to the store; 0: not measured */
} LdrStatus;

typedef enum {
  LDR_CLAIM_WON,
  LDR_CLAIM_LOST,   /* not written: the topic did not end at the expected offset */
  LDR_CLAIM_FAILED, /* not written: the call failed */
  LDR_CLAIM_UNKNOWN /* may have been written, or may still be */
} LdrClaimResult;

typedef enum {
  LDR_CMD_CLAIM,    /* append an election record if the topic ends at the offset */
  LDR_CMD_LEAD,     /* start to lead the term */
  LDR_CMD_STEP_DOWN /* stop leading */
} LdrCmdType;

typedef struct {
  LdrCmdType type;
  int64_t offset; /* LDR_CMD_CLAIM only */
  int64_t term;
} LdrCmd;

typedef GR_LIST (LdrCmd) LdrCmds;

typedef struct {
  LdrMember self;
  int64_t election_timeout_ms; /* a leader without heartbeats for so long is lost; 0: 750 ms */
  GrLog log;
} LdrOptions;

typedef struct LdrState LdrState;

LdrState *ldr_new (const LdrOptions *options);
void ldr_free (LdrState *ldr);

/* Replaces the members. The list may include this VM. */
void ldr_set_members (LdrState *ldr, const LdrMember *members, size_t count);
/* Sets a delay that is added to the claims of this VM; 0 for the VMs that replace a leader first.
 */
void ldr_set_claim_delay (LdrState *ldr, int64_t delay_ms);
/* Input: the election topic was read up to end_offset, its end. */
void ldr_topic_read (LdrState *ldr, const LdrRecord *newest, int64_t end_offset, int64_t now_ms);
/* Input: a heartbeat of another VM arrived. */
void ldr_heartbeat_received (LdrState *ldr, const LdrStatus *status, int64_t now_ms);
/* Input: the link to the VM closed. */
void ldr_link_down (LdrState *ldr, const GrName *vm, int64_t now_ms);
/* Input: round-trip time of a call that does not wait at the store. */
void ldr_store_rtt (LdrState *ldr, int64_t rtt_ms);
/* Input: outcome of any call to the store. */
void ldr_store_result (LdrState *ldr, bool ok, int64_t now_ms);
/* Input: the store has confirmed this VM's term by the answer to a call that was sent at boot_ms,
   on a clock that also counts while the VM is suspended. */
void ldr_store_confirmed (LdrState *ldr, int64_t boot_ms);
/* Input: a VM has answered a check that this VM sent at boot_ms; term is the newest that it has
   seen. */
void ldr_peer_confirmed (LdrState *ldr, const GrName *vm, int64_t term, int64_t boot_ms,
                         int64_t now_ms);
/* Returns the latest time, of the clock above, at which no listed member of a later term had set
   that term at the store: as confirmed by the store, or by all other members. 0: none is known. */
int64_t ldr_confirmed_boot_ms (const LdrState *ldr);
/* Returns the time, of the same clock, from which on this VM must not set or renew leases unless
   its leadership is confirmed again; 0: it does not lead. */
int64_t ldr_leases_until_boot_ms (const LdrState *ldr);
/* Returns the time after which all leases of lease_ms that leaders of earlier terms have set have
   lapsed, counted from the moment at which the store took the new term. */
int64_t ldr_former_leases_ms (int64_t lease_ms);
/* Returns the newest term that this VM has seen. */
int64_t ldr_term (const LdrState *ldr);
/* Input: outcome of a claim. offset is that of the written record if the claim was won. */
void ldr_claim_result (LdrState *ldr, LdrClaimResult result, int64_t offset, int64_t now_ms);
/* Input: the store or a target has refused this VM's term. */
void ldr_fenced (LdrState *ldr, int64_t now_ms);
/* Input: a planned stop has begun. This VM makes no more claims. Its heartbeats report the stop,
   and if it is the leader, another VM claims without waiting for the election timeout. */
void ldr_leave (LdrState *ldr);

/* Appends commands to *out. A gap of more than 400 ms between two calls counts as a pause of this
   VM and restarts the election timeout. */
void ldr_tick (LdrState *ldr, int64_t now_ms, LdrCmds *out);

/* Returns true from LDR_CMD_LEAD until the leadership ends. */
bool ldr_leads (const LdrState *ldr);
/* Returns the record of the live leader, or NULL if there is none. Valid until the next input. */
const LdrRecord *ldr_leader (const LdrState *ldr, int64_t now_ms);
/* Returns true if the store answered in the last seconds and calls to it have not kept failing. */
bool ldr_store_ok (const LdrState *ldr, int64_t now_ms);
/* Input: this VM leads and has recovered. Reset by each LDR_CMD_LEAD. */
void ldr_set_serving (LdrState *ldr);
/* Returns true if the live leader accepts calls, as of its last heartbeat. One that still recovers
   would send them back. */
bool ldr_leader_serves (const LdrState *ldr, int64_t now_ms);
/* Returns this VM's state for its heartbeats. */
LdrStatus ldr_status (const LdrState *ldr, int64_t now_ms);

#ifdef __cplusplus
}
#endif
