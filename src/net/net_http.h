/* HTTP/1.1 on a libuv loop: a server based on h2o and a client based on libcurl's multi interface.

   Both set SIGPIPE to be ignored in the whole process. */
#pragma once

#include <uv.h>

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  const char *listen_host; /* IP address */
  int64_t listen_port;     /* 0 picks a free port */
  int64_t max_body_bytes;  /* larger bodies get 413 before they are read; default 1048576 */
  int64_t max_connections; /* for further ones, a connection without traffic for a second is
                              closed; without one they wait in the listen backlog; default 4096 */
  int64_t memory_bytes;    /* for requests that are read or processed, see net_budget.h; raised to
                              four of the largest requests; default 41943040 */
  int64_t receive_buffer_bytes; /* of the kernel for each connection; default: that of the kernel */
  int64_t io_timeout_ms; /* slow senders of a request and readers of a reply are closed after this,
                            see net_budget.h for the lower limits of its parts; default 30000 */
  const char *kept_header; /* lower-case name of a header passed to the handler; may be NULL */
} NetHttpServerOptions;

typedef struct NetHttpServer NetHttpServer;

/* Effects of the limits since the start, and what is in use now. */
typedef struct {
  int64_t heads_refused;  /* 431 before the header was read */
  int64_t bodies_refused; /* 413 before the body was read */
  int64_t waited;         /* requests whose reading was stopped because of the budget */
  int64_t cut;            /* unfinished requests and idle connections closed in favour of others */
  int64_t late;           /* requests and replies that missed a deadline or the minimum rate */
  int64_t idle_closed;    /* connections without a request for too long */
  int64_t busy;           /* complete requests refused with 503 because the budget was spent */
  int64_t held_bytes;     /* charged now */
  int64_t connections;    /* open now */
} NetHttpServerStats;

/* One request without a reply yet. Valid until net_http_reply(), net_http_abort() or its close
   callback. */
typedef struct NetHttpExchange NetHttpExchange;

/* All strings are valid until the exchange ends. */
typedef struct {
  GrStr method;
  GrStr path;      /* without the query */
  GrStr query;     /* without '?' */
  GrStr authority; /* Host header, with its port if it has one */
  GrStr authorization;
  GrStr kept_header; /* value of NetHttpServerOptions.kept_header; empty if absent */
  GrStr body;
} NetHttpRequest;

typedef void (*NetHttpHandler) (void *user, NetHttpExchange *exchange,
                                const NetHttpRequest *request);
typedef void (*NetHttpCloseFunc) (void *user);

/* Starts listening. Errors: GR_ERR_INVALID if the address is malformed, GR_ERR_IO if it cannot be
   bound. */
NetHttpServer *net_http_server_new (uv_loop_t *loop, const NetHttpServerOptions *options,
                                    NetHttpHandler handler, void *user, GrErr *err);
int net_http_server_port (const NetHttpServer *server);
/* Stops accepting connections. Open exchanges continue; every reply closes its connection. */
void net_http_server_stop_accepting (NetHttpServer *server);
/* From now on, every reply closes its connection; new connections are still accepted. */
void net_http_server_disable_keep_alive (NetHttpServer *server);
/* Number of exchanges without a finished reply. */
size_t net_http_server_open (const NetHttpServer *server);
NetHttpServerStats net_http_server_stats (const NetHttpServer *server);
/* Closes all connections and runs the close callbacks of open exchanges. Call it once no exchange
   is open or the shutdown deadline has passed. Memory is released from the loop later. */
void net_http_server_free (NetHttpServer *server);

/* Sends the reply and ends the exchange. Call it exactly once, from the handler or later. The body
   is copied. */
void net_http_reply (NetHttpExchange *exchange, int status, GrStr content_type, GrStr body);
/* Sets the Retry-After header of the reply, in seconds, rounded up by the caller. */
void net_http_set_retry_after (NetHttpExchange *exchange, int64_t seconds);
/* Ends the exchange by closing its connection without a reply. The close callback does not run. */
void net_http_abort (NetHttpExchange *exchange);
/* Sets a function to call if the connection closes before the reply. The exchange is invalid
   afterwards. */
void net_http_on_close (NetHttpExchange *exchange, NetHttpCloseFunc func, void *user);
/* Decimal value of a query parameter, or fallback if it is absent or malformed. */
int64_t net_http_query_int (GrStr query, GrStr name, int64_t fallback);

typedef struct {
  int64_t max_connections_per_host; /* default 64 */
  int64_t max_connections;          /* default 1024 */
  int64_t max_answer_bytes;         /* sum over all open calls; above it, the call with the largest
                                       answer fails; default: no limit */
} NetHttpClientOptions;

typedef struct NetHttpClient NetHttpClient;

typedef struct {
  const char *method;
  GrStr url;
  GrStr content_type;       /* empty: application/json */
  GrStr authorization;      /* value of the header; empty: none */
  GrStr headers;            /* further header lines "Name: value", separated by LF; may be empty */
  GrStr body;               /* copied */
  int64_t timeout_at_ms;    /* uv_now() time at which the call fails; it is not sent later */
  int64_t max_answer_bytes; /* the call fails if its answer is larger; default 67108864 */
} NetHttpCall;

typedef struct {
  int status;        /* HTTP status, or 0 if no complete answer arrived */
  GrErrCode failure; /* if status is 0: GR_ERR_UNAVAILABLE if the request was certainly not sent,
                        else GR_ERR_UNKNOWN */
  bool closed;       /* if status is 0: the other side closed, reset or refused the connection */
  GrStr body;        /* valid during the callback */
} NetHttpAnswer;

/* uv_now() is no earlier than the time at which an answer was read. */
typedef void (*NetHttpDone) (void *user, const NetHttpAnswer *answer);

/* options may be NULL for the defaults. Error: GR_ERR_IO if libcurl cannot be initialised. */
NetHttpClient *net_http_client_new (uv_loop_t *loop, const NetHttpClientOptions *options,
                                    GrErr *err);
/* Starts a call, whose strings are copied. Calls done exactly once, never from within this
   function. */
void net_http_client_send (NetHttpClient *client, const NetHttpCall *call, NetHttpDone done,
                           void *user);
/* Number of calls that failed because their answer was too large. */
int64_t net_http_client_too_large (const NetHttpClient *client);
/* Bytes sent and received so far, headers included. */
int64_t net_http_client_bytes (const NetHttpClient *client);
/* Cancels open calls; their done functions run with GR_ERR_UNKNOWN. */
void net_http_client_free (NetHttpClient *client);

#ifdef __cplusplus
}
#endif
