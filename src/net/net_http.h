/* HTTP/1.1 adapters on libuv: a server over h2o and a client over libcurl's multi interface.

   Both make the process ignore SIGPIPE. */
#pragma once

#include <uv.h>

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  const char *listen_host; /* IP number */
  int64_t listen_port;     /* 0 picks a free port */
  int64_t max_body_bytes;  /* larger bodies get 413; bodies above it by more
                              than 1 MiB may only see a closed connection; default 1048576 */
  int64_t max_connections; /* further connections wait in the backlog; default 4096 */
  int64_t io_timeout_ms;   /* slow senders are closed after this; default 30000 */
  const char *kept_header; /* lower-case name of a header handed to the handler; may be NULL */
} NetHttpServerOptions;

typedef struct NetHttpServer NetHttpServer;

/* One request that waits for its reply. Valid until net_http_reply() or its close callback. */
typedef struct NetHttpExchange NetHttpExchange;

/* Views are valid until the exchange ends. */
typedef struct {
  GrStr method;
  GrStr path;      /* without the query */
  GrStr query;     /* without '?' */
  GrStr authority; /* Host header, with its port if it has one */
  GrStr authorization;
  GrStr kept_header; /* value of the header that the options name; empty without it */
  GrStr body;
} NetHttpRequest;

typedef void (*NetHttpHandler) (void *user, NetHttpExchange *exchange,
                                const NetHttpRequest *request);
typedef void (*NetHttpCloseFunc) (void *user);

/* Errors: GR_ERR_INVALID for the address, GR_ERR_IO if it cannot be bound. */
NetHttpServer *net_http_server_new (uv_loop_t *loop, const NetHttpServerOptions *options,
                                    NetHttpHandler handler, void *user, GrErr *err);
int net_http_server_port (const NetHttpServer *server);
/* Stops accepting; open exchanges go on. */
void net_http_server_stop_accepting (NetHttpServer *server);
/* Answers from now on close their connections, while new ones are still accepted. */
void net_http_server_close_idle (NetHttpServer *server);
size_t net_http_server_open (const NetHttpServer *server);
/* Closes everything; call once no exchange is open or the shutdown deadline passed. */
void net_http_server_free (NetHttpServer *server);

/* Answers and ends the exchange; may be called later than the handler, exactly once. */
void net_http_reply (NetHttpExchange *exchange, int status, GrStr content_type, GrStr body);
/* Retry-After is sent with the next reply of this exchange; seconds, rounded up by the caller. */
void net_http_set_retry_after (NetHttpExchange *exchange, int64_t seconds);
/* Ends the exchange by closing its connection without an answer. */
void net_http_abort (NetHttpExchange *exchange);
/* func runs if the connection closes before the reply; the exchange is invalid afterwards. */
void net_http_on_close (NetHttpExchange *exchange, NetHttpCloseFunc func, void *user);
/* Decimal value of a query parameter, or the default if it is absent or malformed. */
int64_t net_http_query_int (GrStr query, GrStr name, int64_t fallback);

typedef struct {
  int64_t max_connections_per_host; /* default 64 */
  int64_t max_connections;          /* default 1024 */
} NetHttpClientOptions;

typedef struct NetHttpClient NetHttpClient;

typedef struct {
  const char *method;
  GrStr url;
  GrStr content_type;    /* empty: application/json */
  GrStr authorization;   /* value of the header; empty: none */
  GrStr headers;         /* more header lines, "Name: value" separated by LF; may be empty */
  GrStr body;            /* copied */
  int64_t timeout_at_ms; /* uv_now() time after which the call is given up */
} NetHttpCall;

typedef struct {
  int status;        /* HTTP status, or 0 without a whole answer */
  GrErrCode failure; /* status 0: GR_ERR_UNAVAILABLE if nothing was sent, else GR_ERR_UNKNOWN */
  GrStr body;
} NetHttpAnswer;

typedef void (*NetHttpDone) (void *user, const NetHttpAnswer *answer);

NetHttpClient *net_http_client_new (uv_loop_t *loop, const NetHttpClientOptions *options,
                                    GrErr *err);
/* Calls done exactly once, never from within this function. */
void net_http_client_send (NetHttpClient *client, const NetHttpCall *call, NetHttpDone done,
                           void *user);
/* Bytes sent and received so far, headers included. */
int64_t net_http_client_bytes (const NetHttpClient *client);
/* Abandons open calls; their done functions run with GR_ERR_UNKNOWN. */
void net_http_client_free (NetHttpClient *client);

#ifdef __cplusplus
}
#endif
