/* Decides which connections of a server may hold memory for unfinished requests, which wait and
   which are closed. Pure: no I/O and no clock.

   Limits the load of many clients that send large bodies at once, whole or piece by piece, and stop
   short of their end; of many idle connections; of senders and readers that are too slow.

   Bytes are charged when they have arrived. Above wait_bytes, a request that would hold more than
   small_bytes is not read on until it is granted the largest amount that a request can hold, in
   order of arrival: a request with a grant can be completed, and what it holds is released. While
   requests wait, those from which nothing arrives are closed, the ones that hold most and are
   slowest first, where clients that hold much on other connections come before others. Above
   total_bytes, the requests from which nothing arrives are closed, then those that began to wait
   last, then the others. A
   complete request is never closed. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Defaults, each above what a client within the limits of the platform needs: 3,000 ms for a header
   and 15,000 ms without a request. */
#define NET_BUDGET_HEAD_MS 6000
#define NET_BUDGET_IDLE_MS 30000

/* Times in ms. A field that is 0 gets its default. */
typedef struct {
  int64_t total_bytes;   /* all connections; default 41943040 */
  int64_t wait_bytes;    /* default half of total_bytes */
  int64_t grant_bytes;   /* grants leave the rest of total_bytes for small requests; default
                            three quarters of total_bytes */
  int64_t small_bytes;   /* default 16384 */
  int64_t request_bytes; /* most that one request can hold; default 1048576 */
  int64_t stall_ms; /* closed while others wait if nothing has arrived for so long; default 1000 */
  int64_t wait_max_ms;   /* after this without a grant, requests whose bytes still arrive are closed
                                   too; default 3000 */
  int64_t idle_ms;       /* between requests; default 30000 */
  int64_t head_ms;       /* from the first byte to the end of the header; default 6000 */
  int64_t body_ms;       /* from the end of the header to the end of the body; default 30000 */
  int64_t body_grace_ms; /* the minimum rate applies after this; default 20000 */
  int64_t body_min_bytes_per_s; /* default 4096 */
  int64_t reply_ms;             /* until the peer has taken its answer; default 30000 */
} NetBudgetOptions;

typedef enum {
  NET_PHASE_IDLE,
  NET_PHASE_HEAD,
  NET_PHASE_BODY,
  NET_PHASE_WORK, /* complete, without a reply */
  NET_PHASE_REPLY
} NetBudgetPhase;

typedef enum {
  NET_BUDGET_WAIT,     /* stop reading */
  NET_BUDGET_RESUME,   /* read again */
  NET_BUDGET_CUT,      /* close: the budget is spent */
  NET_BUDGET_DEADLINE, /* close: the phase has taken too long */
} NetBudgetVerb;

typedef struct NetBudget NetBudget;
/* One connection. */
typedef struct NetBudgetItem NetBudgetItem;

typedef struct {
  NetBudgetVerb verb;
  void *user; /* of net_budget_add() */
} NetBudgetCmd;

typedef GR_LIST (NetBudgetCmd) NetBudgetCmds;

NetBudget *net_budget_new (const NetBudgetOptions *options);
/* All items must have been removed. */
void net_budget_free (NetBudget *budget);
/* The item begins in NET_PHASE_IDLE. The address is that of the client, without its port; at most
   GR_NAME_MAX bytes of it count. */
NetBudgetItem *net_budget_add (NetBudget *budget, GrStr address, void *user, int64_t now_ms);
void net_budget_remove (NetBudgetItem *item);
/* Enters a phase; its deadline is counted from now. Also ends waiting and a grant, except from
   NET_PHASE_HEAD to NET_PHASE_BODY. */
void net_budget_enter (NetBudgetItem *item, NetBudgetPhase phase, int64_t now_ms);
NetBudgetPhase net_budget_phase (const NetBudgetItem *item);
/* Sets what the connection holds after arrived bytes were read, and what it will hold after the
   next read. Returns true if it has to wait: nothing more is to be read before NET_BUDGET_RESUME.
 */
bool net_budget_charge (NetBudgetItem *item, int64_t held, int64_t next, int64_t arrived,
                        int64_t now_ms);
/* Returns true if a complete request of this item may be processed; else it is to be refused. */
bool net_budget_admits (const NetBudgetItem *item);
/* Returns true if net_budget_decide() should run before the next periodic call. */
bool net_budget_is_due (const NetBudget *budget);
/* Appends commands. An item that is to be closed holds nothing from then on and gets no further
   commands. Call it periodically. */
void net_budget_decide (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds);
/* Appends one command to close the connection that has been idle for longest, or else the request
   from which nothing has arrived for longest; in both cases for stall_ms at least. Appends nothing
   if there is none. Makes room for a new connection when descriptors are short. */
void net_budget_make_room (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds);
/* Bytes charged, grants included. */
int64_t net_budget_held (const NetBudget *budget);
size_t net_budget_waiting (const NetBudget *budget);

#ifdef __cplusplus
}
#endif
