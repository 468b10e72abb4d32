/* Leader election over a log with conditional appends.

   The leader is whoever wrote the newest record of the election topic; its term is the record's
   offset plus one, so terms only rise. A VM claims by appending on condition that the topic still
   ends where it last read. Safety does not rest on this module: the store and the targets refuse
   orders of lower terms. It decides only when to claim, so that a lost leader is replaced soon and
   a healthy one is left alone.

   The state is pure: inputs are the functions below with the local monotonic time in ms, outputs
   are commands of ldr_tick(). */
#pragma once

#include "base/gr_log.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  GrVmRef vm;
  GrName address; /* where peers reach it, "IP:PORT" */
  GrName zone;
  int32_t weight; /* strength of the VM; stronger ones are preferred */
} LdrMember;

/* The newest election record. term 0: none was ever written. */
typedef struct {
  LdrMember member;
  int64_t term;
} LdrRecord;

/* What a VM tells the others about itself in its heartbeats. */
typedef struct {
  GrVmRef vm;
  int64_t term;  /* newest term that it knows */
  bool leads;    /* it leads that term */
  bool serves;   /* ... and has recovered the state of the terms before it */
  bool store_ok; /* it reached the store lately */
  bool leaving;
  int64_t store_rtt_ms; /* its shortest round trip to the store; 0: not measured */
} LdrStatus;

typedef enum {
  LDR_CLAIM_WON,
  LDR_CLAIM_LOST,   /* the topic ended elsewhere */
  LDR_CLAIM_FAILED, /* certainly not written */
  LDR_CLAIM_UNKNOWN /* may be written, also later */
} LdrClaimResult;

typedef enum {
  LDR_CMD_CLAIM,    /* append a record if the topic ends at the offset */
  LDR_CMD_LEAD,     /* this VM leads the term */
  LDR_CMD_STEP_DOWN /* this VM leads no more */
} LdrCmdType;

typedef struct {
  LdrCmdType type;
  int64_t offset; /* of a claim */
  int64_t term;
} LdrCmd;

typedef GR_LIST (LdrCmd) LdrCmds;

typedef struct {
  LdrMember self;
  int64_t election_timeout_ms; /* a leader not heard for so long is replaced; default 750 */
  GrLog log;
} LdrOptions;

typedef struct LdrState LdrState;

LdrState *ldr_new (const LdrOptions *options);
void ldr_free (LdrState *ldr);

void ldr_set_members (LdrState *ldr, const LdrMember *members, size_t count);
/* The topic was read to its end, which is the given offset. */
void ldr_topic_read (LdrState *ldr, const LdrRecord *newest, int64_t end_offset, int64_t now_ms);
void ldr_heartbeat_received (LdrState *ldr, const LdrStatus *status, int64_t now_ms);
void ldr_link_down (LdrState *ldr, const GrName *vm, int64_t now_ms);
/* A call to the store that did not wait there took so long. */
void ldr_store_rtt (LdrState *ldr, int64_t rtt_ms);
/* Outcome of any call to the store. */
void ldr_store_result (LdrState *ldr, bool ok, int64_t now_ms);
/* offset is that of the written record if the claim was won. */
void ldr_claim_result (LdrState *ldr, LdrClaimResult result, int64_t offset, int64_t now_ms);
/* The store or a target has refused this VM's term. */
void ldr_fenced (LdrState *ldr, int64_t now_ms);
/* A planned stop has begun: this VM claims no more and asks to be replaced. */
void ldr_leave (LdrState *ldr);

void ldr_tick (LdrState *ldr, int64_t now_ms, LdrCmds *out);

bool ldr_leads (const LdrState *ldr);
/* The leader to send calls to, or NULL if none is known to be alive. */
const LdrRecord *ldr_leader (const LdrState *ldr, int64_t now_ms);
/* The store was reached within the last seconds. */
bool ldr_store_ok (const LdrState *ldr, int64_t now_ms);
/* This VM leads and has recovered; false again when it leads a new term. */
void ldr_set_serving (LdrState *ldr);
/* The leader said lately that it takes calls. Calls to one that recovers would only come back. */
bool ldr_leader_serves (const LdrState *ldr, int64_t now_ms);
LdrStatus ldr_status (const LdrState *ldr, int64_t now_ms);

#ifdef __cplusplus
}
#endif
