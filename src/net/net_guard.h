/* Limits of the connections of one HTTP server: charges what arrives to a NetBudget, carries out
   its decisions and refuses what is over the limits before it is read. Sits between libuv and
   h2o, which itself buffers whole requests without a limit over all connections.

   Owner: NetHttpServer, which sets on_close.data of each socket to a struct whose first member is
   the NetGuardConn pointer. A connection is attached while h2o reads its first request and detached
   when its socket is closed. */
#pragma once

#include <h2o.h>

#include "net/net_budget.h"
#include "net/net_http.h"

/* Room for the framing of chunks that h2o has not decoded yet. */
#define NET_GUARD_FRAMING_BYTES 16384

typedef struct NetGuard NetGuard;
typedef struct NetGuardConn NetGuardConn;

typedef struct {
  NetBudgetOptions budget;
  size_t max_head_bytes; /* as received */
  size_t max_body_bytes;
} NetGuardOptions;

NetGuard *net_guard_new (uv_loop_t *loop, const NetGuardOptions *options);
/* All connections must have been detached. The memory is released from the loop later. */
void net_guard_free (NetGuard *guard);
/* Call it directly after h2o_accept(). stream is that of the socket. */
NetGuardConn *net_guard_attach (NetGuard *guard, h2o_socket_t *sock, uv_stream_t *stream);
void net_guard_detach (NetGuardConn *conn);
/* A whole request has arrived. Returns false if it must be refused because the budget is spent. */
bool net_guard_request (NetGuardConn *conn);
/* The reply is handed to h2o. */
void net_guard_reply (NetGuardConn *conn);
/* h2o has released the request; the next one may follow. */
void net_guard_request_end (NetGuardConn *conn);
/* Tells whether a new connection waits for a free one. While one waits, idle connections and
   stalled requests are closed, one at a time. */
void net_guard_set_full (NetGuard *guard, bool full);
NetHttpServerStats net_guard_stats (const NetGuard *guard);
