/* Private state of a cell's VM, shared by the cell_*.c files only. */
#pragma once

#include "cell/cell.h"
#include "cell/cell_follow.h"
#include "cell/cell_lanes.h"
#include "cell/cell_wire.h"
#include "net/net_peer.h"

typedef struct CellLeader CellLeader;

/* One caller's call at the VM that took it. */
typedef struct CellOpenCall {
  uint64_t id;
  CellVerb verb;
  GrName queue;
  GrName job;
  GrBuf spec; /* packed */
  int64_t config_version;
  int64_t received_at;
  int64_t deadline_at;
  bool sent;          /* to the leader of the term */
  bool maybe_applied; /* an earlier try may have taken effect */
  int64_t term;
  int64_t retry_at;
  CellCallDone done;
  void *user;
  struct CellOpenCall *prev, *next;
} CellOpenCall;

typedef struct {
  GrName vm;
  int64_t last_frame_at;
  CellConfigPush push;
} CellPeerState;

/* Added to the expected time of a call for advice. */
#define CELL_ADVICE_MARGIN_MS 800
/* Calls of one lane are served in turn: one may wait for the one before it. */
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
  bool members_changed;
  GR_LIST (CellPeerState) peer_states;
  LdrRecord newest_claim;
  bool joined;
  bool joining;
  int64_t join_retry_at;
  CellConfig config;
  GrBuf config_doc;   /* as published, for peers that cannot reach the store */
  CellLeader *leader; /* while this VM leads */
  CellOpenCall *calls;
  int64_t leader_served_at; /* when a leader that takes calls was last known */
  uint64_t next_call;
  int64_t heartbeat_at;
  int64_t tick_at;
  bool leaving;
  bool freeing;
};

static inline int64_t
cell_now (const Cell *cell)
{
  return (int64_t) uv_now (cell->loop);
}

/* cell.c */
void cell_tick_soon (Cell *cell);
/* Runs the timer at the time at the latest. */
void cell_tick_at (Cell *cell, int64_t at_ms);

/* cell_calls.c: calls at the VM that took them. */
void cell_calls_tick (Cell *cell);
void cell_calls_handle_answer (Cell *cell, uint64_t id, const CellAnswer *answer);
/* The leader or the link to it is lost: calls sent there are sent again. */
void cell_calls_resend (Cell *cell);
void cell_calls_clear (Cell *cell);

/* cell_leader.c: the scheduler of the cell, while this VM leads. */
CellLeader *cell_leader_new (Cell *cell, int64_t term);
void cell_leader_free (CellLeader *leader);
int64_t cell_leader_term (const CellLeader *leader);
void cell_leader_apply_config (CellLeader *leader);
void cell_leader_update_metrics (CellLeader *leader, GrMetrics *metrics);
void cell_leader_tick (CellLeader *leader);
/* from is empty for calls of this VM. */
void cell_leader_handle_call (CellLeader *leader, const GrName *from, uint64_t id,
                              const CellWireCall *call);
void cell_leader_handle_advice (CellLeader *leader, const CellWireAdvice *advice);
void cell_leader_update_lanes (CellLeader *leader);

/* cell_peer.c: messages between VMs. */
/* When a call for advice that is sent now is given up. */
int64_t cell_advice_timeout_at (const Cell *cell, int64_t expected_ms);
/* False if there is no link to the VM: certainly not sent. */
bool cell_send (Cell *cell, const GrName *vm, const CellWireMsg *msg);
void cell_peer_frame (void *user, const NetPeerInfo *peer, GrStr body);
void cell_peer_up (void *user, const NetPeerInfo *peer);
void cell_peer_down (void *user, const NetPeerInfo *peer);
void cell_heartbeat (Cell *cell);
/* Takes a configuration if it is newer. */
void cell_apply_config (Cell *cell, GrStr doc, const char *source);
