/* Membership of one region from the view of one VM, as state without I/O: heartbeat ages,
   suspicion, the platform's VM list, and the join, gone and leave records of the ownership stream.

   There is one entry per VM id, for its highest known incarnation. The platform runs at most one
   process per VM id, so a higher incarnation means that the lower one has ended. State from the log
   is kept apart from state from heartbeats: only the log decides which records are void.

   The state belongs to the caller; one thread uses it. Times are local monotonic ms. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  GrVmRef self;
  int64_t suspect_after_ms; /* heartbeat age above which a member is suspected */
  int64_t list_max_age_ms;  /* largest gap between list reads that counts as uninterrupted */
  int64_t gone_delay_ms; /* uninterrupted absence from the list before a VM may be declared gone */
} MbrOptions;

/* Same values as OwnMemberState, which describes them. */
typedef enum {
  MBR_JOINING,
  MBR_LIVE,
  MBR_SUSPECTED,
  MBR_LEAVING,
  MBR_GONE
} MbrMemberState;

/* Number of promise requests per member whose sent time is kept. At one request per 500 ms they
   cover 8 s, longer than a promise is valid. */
#define MBR_PROMISE_REQUESTS_MAX 16

/* One VM of the region, as this VM sees it. */
typedef struct {
  GrVmRef ref; /* highest incarnation seen in the log, in heartbeats or in the VM list */
  int64_t log_incarnation; /* highest incarnation in the log; records of lower ones are void */
  int64_t log_join;        /* number of the newest join record of log_incarnation; 0: none read */
  bool log_ended;          /* the log has a gone or leave record of log_incarnation */
  bool in_member_set;      /* seen in the log or in a heartbeat: promise mode needs its promise */
  bool predecessor_unresolved; /* a lower incarnation in the member set was replaced before the log
                                  ended it: its claims may still reach the log, so promise mode is
                                  off until the log has a record of the newer incarnation */
  bool joining;                /* from its newest heartbeat */
  bool leaving;                /* from its newest heartbeat */
  bool listed_leaving;         /* from the newest list read */
  bool heartbeat_seen;         /* a heartbeat of this incarnation arrived */
  bool acknowledged;           /* the member counts this VM in its member set */
  int64_t last_heartbeat_ms;   /* newest heartbeat received from it; other peers are sent the age of
                                  this one only, so that an old report cannot circulate */
  int64_t last_seen_ms;        /* newest heartbeat, received directly or reported by a peer */
  int64_t live_since_ms;       /* when it last became live */
  int64_t absent_since_ms; /* receipt of the first of an uninterrupted series of list reads without
                              it; -1: listed */
  MbrMemberState reported_state; /* last state emitted as OWN_CMD_MEMBER_STATE */
  /* Used by the ownership rules only. */
  int64_t promise_received_until_ms; /* end of its promise to this VM */
  int64_t promise_given_until_ms;    /* end of this VM's promise to it */
  struct {
    int64_t seq;
    int64_t sent_ms;
  } promise_requests[MBR_PROMISE_REQUESTS_MAX]; /* requests sent to it; the slot is seq modulo the
                                                   size */
} MbrMember;

/* One VM in the platform's VM list. */
typedef struct {
  GrName vm;
  int64_t incarnation; /* 0 if the list does not state it */
  bool leaving;
} MbrListedVm;

typedef GR_LIST (MbrMember) MbrMembers;

typedef struct {
  MbrOptions options;
  MbrMembers members;        /* sorted by VM id */
  int64_t list_read_sent_ms; /* sent time of the newest list read; -1 before the first */
  bool self_listed;          /* by the newest list read */
  bool self_missing;         /* absent from a list read or reads interrupted since the last join */
  int64_t missing_count;     /* number of list reads that set self_missing */
  bool self_listed_leaving;  /* the list shows this VM as leaving */
} MbrState;

void mbr_init (MbrState *state, const MbrOptions *options);
void mbr_clear (MbrState *state);
/* Returns NULL for an unknown VM id. */
MbrMember *mbr_find (const MbrState *state, const GrName *vm);
/* Returns the entry of ref: creates it, or replaces the entry of a lower incarnation. Returns NULL
   if the entry is of a higher incarnation. Member pointers are valid until the next insertion. */
MbrMember *mbr_find_or_add (MbrState *state, const GrVmRef *ref, int64_t now_ms);
/* Records a heartbeat received from a member. Returns NULL for a lower incarnation. */
MbrMember *mbr_heartbeat_received (MbrState *state, const GrVmRef *from, bool joining, bool leaving,
                                   int64_t now_ms);
/* Records that a peer received a heartbeat of vm age_ms ago. Unknown VMs, other incarnations and
   negative ages are ignored. */
void mbr_heartbeat_relayed (MbrState *state, const GrVmRef *vm, int64_t age_ms, int64_t now_ms);
/* Applies a read of the VM list that was sent at sent_ms. A read sent before the newest one is
   ignored. */
void mbr_list_read (MbrState *state, int64_t sent_ms, const MbrListedVm *vms, size_t count,
                    int64_t now_ms);
/* Sets last_seen_ms of all members to now_ms. Used after a pause of this VM, during which it
   received no heartbeats. */
void mbr_reset_ages (MbrState *state, int64_t now_ms);
/* Returns true if the log has a gone or leave record of this incarnation or a record of a higher
   one: further records of this incarnation are void. */
bool mbr_ended (const MbrState *state, const GrVmRef *ref);
/* Returns the first that applies of gone, suspected, leaving, joining and live. This VM is never
   suspected. */
MbrMemberState mbr_state_of (const MbrState *state, const MbrMember *member, int64_t now_ms);
/* Returns true if the member has been absent from the VM list for gone_delay_ms and extra_ms
   more. */
bool mbr_may_declare_gone (const MbrState *state, const MbrMember *member, int64_t extra_ms);
/* Returns true if there are two or more other members and this VM receives heartbeats from fewer
   than half of them: it is more likely that this VM is cut off than that they have failed. */
bool mbr_in_minority (const MbrState *state, int64_t now_ms);
bool mbr_is_self (const MbrState *state, const MbrMember *member);

#ifdef __cplusplus
}
#endif
