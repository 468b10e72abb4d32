/* Private state of one VM of a cell, shared by the cell_*.c files only. */
#pragma once

#include "base/gr_hash_priv.h"
#include "base/gr_ids.h"
#include "cell/cell.h"
#include "cell/cell_follow.h"
#include "cell/cell_lanes.h"
#include "cell/cell_links.h"
#include "cell/cell_relays.h"
#include "cell/cell_wire.h"
#include "net/net_peer.h"

typedef struct CellLeader CellLeader;
typedef struct CellPayload CellPayload;

/* A client call that this VM received and has not answered yet. */
typedef struct CellOpenCall {
  uint64_t id;
  CellVerb verb;
  GrName queue;
  GrName account;
  GrName job;
  GrBuf spec;             /* encoded by dag_pack_job_spec() */
  int64_t config_version; /* in force when the call was received */
  int64_t received_at;
  int64_t deadline_at; /* answered by then, which is before the caller stops waiting */
  bool sent;           /* waits for an answer of the leader of the term */
  bool maybe_applied;  /* an earlier attempt may have taken effect */
  int64_t term;        /* leader's term at the last attempt */
  int64_t retry_at;
  CellCallDone done; /* NULL: cancelled */
  void *user;
  struct CellOpenCall *prev, *next;
} CellOpenCall;

typedef struct {
  GrName vm;
  int64_t last_frame_at; /* 0: none was received */
  int64_t missed_since;  /* since when this leader has had no link to it; 0: it has one */
  CellConfigPush push;
  /* Of this link. A VM of a version before accounts sends no capabilities: they count as none with
     its first heartbeat. */
  bool capabilities_known;
  int64_t capabilities; /* see CELL_WIRE_CAPABILITIES */
} CellPeerState;

/* Added to the expected duration of an advice request. */
#define CELL_ADVICE_MARGIN_MS 800
/* Requests of one VM are served one at a time: one may wait for the previous one. */
#define CELL_ADVICE_DEPTH 2

struct Cell {
  uv_loop_t *loop;
  CellOptions options;
  const CellPlatform *platform;
  GrLog log;
  LdrState *ldr;
  LdrCmds ldr_cmds;
  NetPeers *peers;
  uv_timer_t timer;
  CellFollow *follow_election;
  CellFollow *follow_members;
  CellFollow *follow_config;
  GR_LIST (LdrMember) members;
  GR_LIST (bool) electors; /* of members, in the same order */
  bool is_elector;         /* this VM */
  GrName linked_leader;    /* leader for which the links were chosen last */
  bool members_changed;
  GR_LIST (CellPeerState) peer_states;
  LdrRecord newest_claim;
  bool joined;  /* this VM's member record is stored */
  bool joining; /* the append of it is in flight */
  int64_t join_retry_at;
  bool removing; /* the deletion of a member record is in flight */
  int64_t remove_scan_at;
  CellConfig config;
  GrBuf config_doc;      /* as published, for peers that cannot reach the store */
  CellLeader *leader;    /* NULL while this VM does not lead */
  CellPayload *payloads; /* of jobs whose starts this VM sends for the leader */
  int64_t ran_boot_ms;   /* when this VM has run last, by cell_boot_now(); 0: never */
  /* Orders that arrive before may have waited while this VM did not run. */
  int64_t orders_late_until_boot_ms;
  CellOpenCall *calls;
  int64_t leader_served_at; /* when there was last a live leader that accepts calls */
  GrIds call_ids;
  int64_t heartbeat_at;       /* next ones to the electors */
  int64_t other_heartbeat_at; /* next ones to the other VMs */
  int64_t tick_at;            /* when the timer is due; INT64_MAX: it is not set */
  bool leaving;               /* a planned stop has begun */
  bool freeing;
};

static inline int64_t
cell_now (const Cell *cell)
{
  return (int64_t) uv_now (cell->loop);
}

/* cell.c */
/* Schedules a tick for the next iteration of the loop. */
void cell_tick_soon (Cell *cell);
/* Schedules a tick at the given time, unless an earlier one is scheduled. */
void cell_tick_at (Cell *cell, int64_t at_ms);

/* cell_calls.c: calls that this VM received from clients. */
void cell_calls_tick (Cell *cell);
/* Drops and counts answers to calls of an earlier process of this VM, and answers of a kind that
   the call does not have. */
void cell_calls_handle_answer (Cell *cell, uint64_t id, const CellAnswer *answer);
/* Marks all calls that were sent for a retry, after the leader or the link to it was lost. */
void cell_calls_resend (Cell *cell);
/* Frees all open calls without an answer. */
void cell_calls_clear (Cell *cell);

/* cell_leader.c: the scheduler of the cell, while this VM leads. */
CellLeader *cell_leader_new (Cell *cell, int64_t term);
/* Ends the leadership. Callbacks of open calls to the platform may still follow. */
void cell_leader_free (CellLeader *leader);
int64_t cell_leader_term (const CellLeader *leader);
/* Passes the queues of the cell's configuration to the scheduler. */
void cell_leader_apply_config (CellLeader *leader);
void cell_leader_update_metrics (CellLeader *leader, GrMetrics *metrics);
void cell_leader_tick (CellLeader *leader);
/* from is the VM that forwarded the call, empty for calls received by this VM. */
void cell_leader_handle_call (CellLeader *leader, const GrName *from, uint64_t id,
                              const CellWireCall *call);
void cell_leader_handle_advice (CellLeader *leader, const CellWireAdvice *advice);
void cell_leader_handle_order_result (CellLeader *leader, const GrName *vm,
                                      const CellWireOrderResult *result);
/* A VM has answered a check of its newest term. */
void cell_leader_handle_term (CellLeader *leader, const GrName *vm, const CellWireTerm *answer);
/* Input: the link to the VM closed. */
void cell_leader_link_down (CellLeader *leader, const GrName *vm);
/* Sets the lanes for advice requests to this VM and the VMs that it has a link to. */
void cell_leader_update_lanes (CellLeader *leader);

/* cell_relay.c: orders that this VM sends to targets for the leader. */
/* Notes that this VM runs; each tick calls it. */
void cell_relay_note_run (Cell *cell);
void cell_relay_handle_order (Cell *cell, const GrName *leader, CellWireOrder *order);
void cell_relay_clear (Cell *cell);
/* Sends a start, stop or pace order through the platform. */
void cell_send_order (const CellPlatform *platform, const DagCmd *cmd, int64_t term,
                      int64_t timeout_at_ms, CellOrderDone done, void *user);

/* cell_members.c: VMs of the cell and the links to them. */
void cell_members_handle_entry (Cell *cell, const CellEntry *entry);
/* The topic was read up to its end: applies the changes. */
void cell_members_apply (Cell *cell);
/* Appends this VM's member record if it is missing, chooses the links anew after a change of
   leader, and, while this VM leads, removes members that are gone. */
void cell_members_tick (Cell *cell);

/* cell_peer.c: messages between VMs. */
/* Returns the time at which an advice request that is sent now times out. */
int64_t cell_advice_timeout_at (const Cell *cell, int64_t expected_ms);
/* Returns what is known of the VM; creates it on first use. Valid until the next call. */
CellPeerState *cell_peer_state (Cell *cell, const GrName *vm);
/* Returns false if there is no link to the VM; nothing was sent then. */
bool cell_send (Cell *cell, const GrName *vm, const CellWireMsg *msg);
void cell_peer_frame (void *user, const NetPeerInfo *peer, GrStr body);
void cell_peer_up (void *user, const NetPeerInfo *peer);
void cell_peer_down (void *user, const NetPeerInfo *peer);
/* Sends heartbeats to all linked peers if they are due, and resets links that time out. */
void cell_heartbeat (Cell *cell);
/* Applies a configuration document if it is valid and newer than the one in force. source is a word
   for the log. */
void cell_apply_config (Cell *cell, GrStr doc, const char *source);
