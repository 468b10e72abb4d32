/* Membership of one region as one VM sees it, as pure state: ages of heartbeats, suspicion, the
   platform's VM list, and what the ownership stream says about joins, gone VMs and farewells.

   There is one entry per VM id, for its highest known incarnation. The platform runs at most one
   process per VM id, so a higher incarnation means that the lower one has ended. What the log says
   is kept apart from what heartbeats say: only the former decides which records are void. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  GrVmRef self;
  int64_t suspect_after_ms;
  int64_t list_max_age_ms; /* longest gap between list reads that counts as unbroken */
  int64_t gone_delay_ms;   /* unbroken absence from the list before a VM may be declared gone */
} MbrOptions;

typedef enum {
  MBR_JOINING,
  MBR_LIVE,
  MBR_SUSPECTED,
  MBR_LEAVING,
  MBR_GONE
} MbrMemberState;

/* Promise requests whose sent time is kept per member; at 500 ms each they span 8 s, more than a
   promise lasts. */
#define MBR_REQUESTS_KEPT 16

/* One VM of the region. */
typedef struct {
  GrVmRef ref;             /* highest incarnation seen in the log or in heartbeats */
  int64_t log_incarnation; /* highest incarnation in the log; records of lower ones are void */
  int64_t log_join;        /* number of its newest join record; 0 if none was read */
  bool log_ended;          /* gone or farewell of log_incarnation */
  bool known;              /* seen in the log or heard: belongs to the set that must promise */
  bool unsettled;          /* a known lower incarnation was replaced before the log ended it: its
                              claims may be in the log, so promise mode has to wait for the log */
  bool joining;            /* by its heartbeats */
  bool leaving;            /* by its heartbeats */
  bool listed_leaving;     /* by the newest list read */
  bool heard;              /* a heartbeat of this incarnation arrived */
  bool acknowledged;       /* the member counts this VM in its set */
  int64_t direct_ms;       /* newest heartbeat; only this one is reported to others, so that an old
                              report cannot circulate */
  int64_t heard_ms;        /* newest sign of life, direct or reported */
  int64_t live_since_ms;   /* when it last became live */
  int64_t absent_since_ms; /* receipt of the first read of an unbroken run without it; -1: listed */
  MbrMemberState reported; /* state that the last report showed */
  /* Kept here for the ownership rules. */
  int64_t promise_until_ms;  /* its promise to this VM */
  int64_t promised_until_ms; /* this VM's promise to it */
  struct {
    int64_t seq;
    int64_t sent_ms;
  } requests[MBR_REQUESTS_KEPT]; /* promise requests sent to it, by seq modulo the number */
} MbrMember;

typedef struct {
  GrName vm;
  int64_t incarnation; /* 0 if the list does not know it */
  bool leaving;
} MbrListedVm;

typedef GR_LIST (MbrMember) MbrMembers;

typedef struct {
  MbrOptions options;
  MbrMembers members;       /* sorted by VM id */
  int64_t list_sent_ms;     /* sent time of the newest list read; -1 before the first */
  bool self_listed;         /* by the newest list read */
  bool self_missing;        /* missing in a list read, or reads were broken, since the last join */
  int64_t missing_count;    /* number of such events */
  bool self_listed_leaving; /* the list shows this VM as leaving */
} MbrState;

void mbr_init (MbrState *state, const MbrOptions *options);
void mbr_clear (MbrState *state);
MbrMember *mbr_find (const MbrState *state, const GrName *vm);
/* Entry of ref, created or moved to its higher incarnation; NULL for a lower incarnation. */
MbrMember *mbr_observe (MbrState *state, const GrVmRef *ref, int64_t now_ms);
/* A direct heartbeat of from. Returns NULL for a lower incarnation. */
MbrMember *mbr_heard (MbrState *state, const GrVmRef *from, bool joining, bool leaving,
                      int64_t now_ms);
/* A peer heard vm age_ms ago. Unknown VMs and other incarnations are ignored. */
void mbr_reported (MbrState *state, const GrVmRef *vm, int64_t age_ms, int64_t now_ms);
void mbr_list_read (MbrState *state, int64_t sent_ms, const MbrListedVm *vms, size_t count,
                    int64_t now_ms);
/* After a pause of this VM nobody was heard: starts the ages of all members anew. */
void mbr_restart_ages (MbrState *state, int64_t now_ms);
/* True if the log has ended this incarnation or has seen a higher one: its records are void. */
bool mbr_ended (const MbrState *state, const GrVmRef *ref);
MbrMemberState mbr_state_of (const MbrState *state, const MbrMember *member, int64_t now_ms);
/* True if the VM list has lacked the member for long enough, and extra_ms more, to declare it
   gone. */
bool mbr_may_declare_gone (const MbrState *state, const MbrMember *member, int64_t extra_ms);
/* True if this VM hears fewer than half of two or more other members: it is more likely to be cut
   off than they are to have failed. */
bool mbr_in_minority (const MbrState *state, int64_t now_ms);
bool mbr_is_self (const MbrState *state, const MbrMember *member);

#ifdef __cplusplus
}
#endif
