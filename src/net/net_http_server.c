#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <h2o.h>
#include <h2o/http1.h>

#include "net/net_guard.h"

#define BACKLOG 1024
#define DEFAULT_MAX_BODY_BYTES 1048576
/* The guard refuses bodies above the limit. h2o's own limit is higher, so that it does not apply
   first: h2o closes without reading the rest, and the client may not see the answer. */
#define BODY_READ_MARGIN_BYTES 1048576
#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_IO_TIMEOUT_MS 30000
/* Sum of header names and values; larger requests get 431. */
#define MAX_HEADER_BYTES 16384
/* Whole header as received: the sum above, the framing of 100 header lines, which is the most that
   h2o accepts, and the request line. */
#define MAX_HEAD_BYTES 20480

typedef struct HttpConn HttpConn;

struct NetHttpServer {
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t dispose_timer; /* delays the release until h2o's own handles are closed */
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  NetGuard *guard;
  NetHttpHandler handler;
  void *user;
  int port;
  char *kept_header;
  size_t max_body_bytes;
  int64_t max_connections;
  int64_t conn_count;
  size_t open;
  HttpConn *conns;
  bool accepting;
  bool keep_alive_disabled;
  bool accept_pending; /* a connection waits in libuv because of max_connections */
  bool listener_open;
  bool freeing;
  bool disposed;
};

/* h2o uses the data pointer of the libuv handle, so the server is stored beside it. */
typedef struct {
  uv_tcp_t tcp;
  NetHttpServer *server;
} Stream;

struct HttpConn {
  NetGuardConn *guarded; /* must be the first member, see net_guard.h */
  NetHttpServer *server;
  h2o_socket_t *sock;
  NetHttpExchange *exchange; /* without a reply yet, or NULL */
  HttpConn *prev, *next;
};

struct NetHttpExchange {
  NetHttpServer *server;
  HttpConn *conn;
  h2o_req_t *req;
  NetHttpCloseFunc close_func;
  void *close_user;
  int64_t retry_after_s; /* 0: none */
  bool ended;            /* replied, or the close callback has run */
  bool watching;         /* reading to detect that the connection closes */
};

typedef struct {
  h2o_handler_t super;
  NetHttpServer *server;
} Handler;

static const char *
reason_phrase (int status)
{
  static const struct {
    int status;
    const char *reason;
  } reasons[] = {
    { 200, "OK" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 413, "Payload Too Large" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 501, "Not Implemented" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
    { 507, "Insufficient Storage" },
  };
  for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++) {
    if (reasons[i].status == status)
      return reasons[i].reason;
  }
  return "Status";
}

static void
stop_watching (NetHttpExchange *exchange)
{
  if (!exchange->watching)
    return;
  exchange->watching = false;
  h2o_socket_read_stop (exchange->conn->sock);
}

static void
send_reply (NetHttpExchange *exchange, int status, GrStr content_type, GrStr body)
{
  h2o_req_t *req = exchange->req;
  exchange->ended = true;
  exchange->conn->exchange = NULL;
  stop_watching (exchange);
  net_guard_reply (exchange->conn->guarded);
  if (!exchange->server->accepting || exchange->server->keep_alive_disabled)
    req->http1_is_persistent = 0;
  req->res.status = status;
  req->res.reason = reason_phrase (status);
  req->res.content_length = body.len;
  if (content_type.len > 0) {
    h2o_iovec_t type = h2o_strdup (&req->pool, content_type.data, content_type.len);
    h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL, type.base,
                    type.len);
  }
  if (exchange->retry_after_s > 0) {
    char seconds[24];
    int len = snprintf (seconds, sizeof seconds, "%lld", (long long) exchange->retry_after_s);
    h2o_iovec_t value = h2o_strdup (&req->pool, seconds, (size_t) len);
    h2o_add_header_by_str (&req->pool, &req->res.headers, H2O_STRLIT ("retry-after"), 0, NULL,
                           value.base, value.len);
  }
  h2o_send_inline (req, body.data ? body.data : "", body.len);
}

/* Ends an exchange whose connection is closed. h2o closes a connection after a reply that is not
   persistent, so a reply is written although it cannot be delivered. */
static void
abandon (NetHttpExchange *exchange)
{
  if (exchange->ended)
    return;
  exchange->ended = true;
  NetHttpCloseFunc func = exchange->close_func;
  void *user = exchange->close_user;
  exchange->close_func = NULL;
  if (func)
    func (user);
  exchange->req->http1_is_persistent = 0;
  send_reply (exchange, 503, (GrStr){ 0 }, (GrStr){ 0 });
}

static void
close_and_abandon (NetHttpExchange *exchange)
{
  /* After the shutdown, the reply that ends the exchange cannot be sent. */
  shutdown (h2o_socket_get_fd (exchange->conn->sock), SHUT_RDWR);
  abandon (exchange);
}

/* Detects a closed connection while a request is processed; h2o itself does not read then. */
static void
on_read_while_waiting (h2o_socket_t *sock, const char *err)
{
  HttpConn *conn = sock->on_close.data;
  NetHttpExchange *exchange = conn->exchange;
  if (!exchange) {
    h2o_socket_read_stop (sock);
    return;
  }
  if (err) {
    /* A client that has only closed its sending side would read the reply, which says that the
       request has not run: that is not known here. */
    close_and_abandon (exchange);
    return;
  }
  /* Bytes of a pipelined request stay in the socket's buffer for h2o. No more are read. */
  if (sock->bytes_read > 0)
    stop_watching (exchange);
}

static void
on_exchange_dispose (void *ptr)
{
  NetHttpExchange *exchange = ptr;
  if (!exchange->ended) {
    exchange->ended = true;
    if (exchange->close_func)
      exchange->close_func (exchange->close_user);
  }
  if (exchange->conn->exchange == exchange)
    exchange->conn->exchange = NULL;
  net_guard_request_end (exchange->conn->guarded);
  exchange->server->open--;
}

static GrStr
to_str (h2o_iovec_t v)
{
  return (GrStr){ v.base, v.len };
}

/* Copies the parts of the request that are used later. The socket's input buffer, which holds them,
   is reallocated when it grows. */
static void
copy_request (const NetHttpServer *server, h2o_req_t *req, NetHttpRequest *request)
{
  req->method = h2o_strdup (&req->pool, req->method.base, req->method.len);
  req->input.method = req->method;
  req->path = h2o_strdup (&req->pool, req->path.base, req->path.len);
  req->input.path = req->path;
  req->authority = h2o_strdup (&req->pool, req->authority.base, req->authority.len);
  req->input.authority = req->authority;
  request->method = to_str (req->method);
  size_t path_len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;
  request->path = (GrStr){ req->path.base, path_len };
  if (req->query_at != SIZE_MAX)
    request->query = (GrStr){ req->path.base + path_len + 1, req->path.len - path_len - 1 };
  if (req->entity.len > 0) {
    req->entity = h2o_strdup (&req->pool, req->entity.base, req->entity.len);
    request->body = to_str (req->entity);
  }
  ssize_t at = h2o_find_header (&req->headers, H2O_TOKEN_AUTHORIZATION, -1);
  if (at != -1) {
    h2o_iovec_t value = req->headers.entries[at].value;
    request->authorization = to_str (h2o_strdup (&req->pool, value.base, value.len));
  }
  request->authority = to_str (req->authority);
  if (server->kept_header) {
    size_t len = strlen (server->kept_header);
    at = h2o_find_header_by_str (&req->headers, server->kept_header, len, -1);
    if (at != -1) {
      h2o_iovec_t value = req->headers.entries[at].value;
      request->kept_header = to_str (h2o_strdup (&req->pool, value.base, value.len));
    }
  }
  /* The entries point into the input buffer and are not used any more. */
  req->headers.size = 0;
}

static size_t
header_bytes (const h2o_req_t *req)
{
  size_t total = req->path.len;
  for (size_t i = 0; i < req->headers.size; i++)
    total += req->headers.entries[i].name->len + req->headers.entries[i].value.len;
  return total;
}

static int
on_request (h2o_handler_t *super, h2o_req_t *req)
{
  NetHttpServer *server = ((Handler *) super)->server;
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  HttpConn *conn = sock->on_close.data;
  NetHttpExchange *exchange
      = h2o_mem_alloc_shared (&req->pool, sizeof *exchange, on_exchange_dispose);
  *exchange = (NetHttpExchange){ .server = server, .conn = conn, .req = req };
  server->open++;
  conn->exchange = exchange;
  bool admitted = net_guard_request (conn->guarded);
  bool long_header = header_bytes (req) > MAX_HEADER_BYTES;
  if (!admitted || long_header || req->entity.len > server->max_body_bytes) {
    req->http1_is_persistent = 0;
    if (!admitted)
      net_http_set_retry_after (exchange, 1);
    send_reply (exchange,
                long_header                                ? 431
                : req->entity.len > server->max_body_bytes ? 413
                                                           : 503,
                (GrStr){ 0 }, (GrStr){ 0 });
    return 0;
  }
  NetHttpRequest request = { 0 };
  copy_request (server, req, &request);
  h2o_mem_addref_shared (exchange);
  server->handler (server->user, exchange, &request);
  if (!exchange->ended) {
    exchange->watching = true;
    h2o_socket_read_start (sock, on_read_while_waiting);
  }
  h2o_mem_release_shared (exchange);
  return 0;
}

static void
on_dispose_timer_closed (uv_handle_t *handle)
{
  NetHttpServer *server = handle->data;
  h2o_config_dispose (&server->config);
  free (server->kept_header);
  free (server);
}

static void
on_dispose_timer (uv_timer_t *timer)
{
  uv_close ((uv_handle_t *) timer, on_dispose_timer_closed);
}

static void
dispose_when_unused (NetHttpServer *server)
{
  if (!server->freeing || server->disposed || server->listener_open || server->conn_count > 0)
    return;
  server->disposed = true;
  h2o_context_dispose (&server->ctx);
  net_guard_free (server->guard);
  /* The close callbacks of h2o's handles run at the end of this loop iteration; the timer fires in
     the next one. */
  uv_timer_start (&server->dispose_timer, on_dispose_timer, 0, 0);
}

static void accept_one (NetHttpServer *server);

static void
on_stream_closed (uv_handle_t *handle)
{
  Stream *stream = (Stream *) (void *) handle;
  NetHttpServer *server = stream->server;
  free (stream);
  server->conn_count--;
  if (server->accept_pending && server->accepting) {
    server->accept_pending = false;
    net_guard_set_full (server->guard, false);
    accept_one (server);
  }
  dispose_when_unused (server);
}

static void
on_socket_close (void *data)
{
  HttpConn *conn = data;
  net_guard_detach (conn->guarded);
  if (conn->prev)
    conn->prev->next = conn->next;
  else
    conn->server->conns = conn->next;
  if (conn->next)
    conn->next->prev = conn->prev;
  free (conn);
}

static void
accept_one (NetHttpServer *server)
{
  Stream *stream = gr_calloc (1, sizeof *stream);
  stream->server = server;
  uv_tcp_init (server->loop, &stream->tcp);
  server->conn_count++;
  if (uv_accept ((uv_stream_t *) &server->listener, (uv_stream_t *) &stream->tcp) != 0) {
    uv_close ((uv_handle_t *) &stream->tcp, on_stream_closed);
    return;
  }
  uv_tcp_nodelay (&stream->tcp, 1);
  h2o_socket_t *sock = h2o_uv_socket_create ((uv_stream_t *) &stream->tcp, on_stream_closed);
  HttpConn *conn = gr_calloc (1, sizeof *conn);
  conn->server = server;
  conn->sock = sock;
  conn->next = server->conns;
  if (conn->next)
    conn->next->prev = conn;
  server->conns = conn;
  sock->on_close.cb = on_socket_close;
  sock->on_close.data = conn;
  h2o_accept (&server->accept_ctx, sock);
  conn->guarded = net_guard_attach (server->guard, sock, (uv_stream_t *) &stream->tcp);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  NetHttpServer *server = listener->data;
  if (status != 0)
    return;
  /* Until uv_accept() is called, libuv holds this connection and accepts no others. */
  if (server->conn_count >= server->max_connections) {
    server->accept_pending = true;
    net_guard_set_full (server->guard, true);
    return;
  }
  accept_one (server);
}

static void
on_listener_closed (uv_handle_t *handle)
{
  NetHttpServer *server = handle->data;
  server->listener_open = false;
  dispose_when_unused (server);
}

static void
setup_h2o (NetHttpServer *server, const NetHttpServerOptions *options)
{
  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("gentianrelay"));
  server->config.max_request_entity_size = server->max_body_bytes + BODY_READ_MARGIN_BYTES;
  server->config.http1.req_timeout
      = (uint64_t) (options->io_timeout_ms > 0 ? options->io_timeout_ms : DEFAULT_IO_TIMEOUT_MS);
  server->config.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t *host
      = h2o_config_register_host (&server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  h2o_pathconf_t *path = h2o_config_register_path (host, "/", 0);
  Handler *handler = (Handler *) (void *) h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_request;
  handler->server = server;
  h2o_context_init (&server->ctx, server->loop, &server->config);
  server->accept_ctx.ctx = &server->ctx;
  server->accept_ctx.hosts = server->config.hosts;
}

/* Returns the most memory that one request can hold: h2o doubles its buffer, and the request is
   copied for processing. */
static int64_t
largest_request (size_t max_body_bytes)
{
  size_t input = max_body_bytes + MAX_HEAD_BYTES;
  size_t capacity = 4096;
  while (capacity < input + NET_GUARD_FRAMING_BYTES)
    capacity *= 2;
  return (int64_t) (capacity + input);
}

static NetGuard *
new_guard (const NetHttpServer *server, const NetHttpServerOptions *options)
{
  int64_t io_ms = options->io_timeout_ms > 0 ? options->io_timeout_ms : DEFAULT_IO_TIMEOUT_MS;
  NetGuardOptions guard
      = { .budget = { .total_bytes = options->memory_bytes,
                      .request_bytes = largest_request (server->max_body_bytes),
                      .head_ms = io_ms < NET_BUDGET_HEAD_MS ? io_ms : NET_BUDGET_HEAD_MS,
                      .idle_ms = io_ms < NET_BUDGET_IDLE_MS ? io_ms : NET_BUDGET_IDLE_MS,
                      .body_ms = io_ms,
                      .reply_ms = io_ms },
          .max_head_bytes = MAX_HEAD_BYTES,
          .max_body_bytes = server->max_body_bytes };
  return net_guard_new (server->loop, &guard);
}

static int
bound_port (const uv_tcp_t *tcp)
{
  struct sockaddr_storage addr;
  int len = sizeof addr;
  if (uv_tcp_getsockname (tcp, (struct sockaddr *) &addr, &len) != 0)
    return 0;
  if (addr.ss_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *) &addr)->sin6_port);
  return ntohs (((struct sockaddr_in *) &addr)->sin_port);
}

NetHttpServer *
net_http_server_new (uv_loop_t *loop, const NetHttpServerOptions *options, NetHttpHandler handler,
                     void *user, GrErr *err)
{
  struct sockaddr_storage addr;
  int port = (int) options->listen_port;
  const char *host = options->listen_host ? options->listen_host : "";
  if (port < 0 || port > 65535
      || (uv_ip4_addr (host, port, (struct sockaddr_in *) &addr) != 0
          && uv_ip6_addr (host, port, (struct sockaddr_in6 *) &addr) != 0)) {
    gr_err_set (err, GR_ERR_INVALID, "listen_host", "'%s' port %d is not an IP address and port",
                host, port);
    return NULL;
  }
  /* libuv writes without MSG_NOSIGNAL; with SIGPIPE ignored, a closed connection yields EPIPE. */
  signal (SIGPIPE, SIG_IGN);
  NetHttpServer *server = gr_calloc (1, sizeof *server);
  server->loop = loop;
  server->handler = handler;
  server->user = user;
  server->max_body_bytes
      = (size_t) (options->max_body_bytes > 0 ? options->max_body_bytes : DEFAULT_MAX_BODY_BYTES);
  server->max_connections
      = options->max_connections > 0 ? options->max_connections : DEFAULT_MAX_CONNECTIONS;
  if (options->kept_header)
    server->kept_header = gr_str_dup (gr_str_from_c (options->kept_header));
  uv_timer_init (loop, &server->dispose_timer);
  server->dispose_timer.data = server;
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  server->listener_open = true;
  server->accepting = true;
  setup_h2o (server, options);
  server->guard = new_guard (server, options);
  int rc = uv_tcp_bind (&server->listener, (struct sockaddr *) &addr, 0);
  int receive_bytes = (int) options->receive_buffer_bytes;
  /* Accepted connections inherit the size. */
  if (rc == 0 && receive_bytes > 0)
    rc = uv_recv_buffer_size ((uv_handle_t *) &server->listener, &receive_bytes);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *) &server->listener, BACKLOG, on_connection);
  if (rc != 0) {
    gr_err_set (err, GR_ERR_IO, "listen_host", "cannot listen on %s port %d: %s", host, port,
                uv_strerror (rc));
    net_http_server_free (server);
    return NULL;
  }
  server->port = bound_port (&server->listener);
  return server;
}

int
net_http_server_port (const NetHttpServer *server)
{
  return server->port;
}

void
net_http_server_stop_accepting (NetHttpServer *server)
{
  if (!server->accepting)
    return;
  server->accepting = false;
  uv_close ((uv_handle_t *) &server->listener, on_listener_closed);
}

void
net_http_server_disable_keep_alive (NetHttpServer *server)
{
  server->keep_alive_disabled = true;
}

size_t
net_http_server_open (const NetHttpServer *server)
{
  return server->open;
}

NetHttpServerStats
net_http_server_stats (const NetHttpServer *server)
{
  NetHttpServerStats stats = net_guard_stats (server->guard);
  stats.connections = server->conn_count;
  return stats;
}

void
net_http_server_free (NetHttpServer *server)
{
  if (!server || server->freeing)
    return;
  server->freeing = true;
  net_http_server_stop_accepting (server);
  /* Shutting down both directions of the sockets makes h2o close its connections from the loop. */
  for (HttpConn *conn = server->conns; conn; conn = conn->next) {
    shutdown (h2o_socket_get_fd (conn->sock), SHUT_RDWR);
    if (conn->exchange)
      abandon (conn->exchange);
  }
  dispose_when_unused (server);
}

void
net_http_reply (NetHttpExchange *exchange, int status, GrStr content_type, GrStr body)
{
  if (exchange->ended)
    return;
  send_reply (exchange, status, content_type, body);
}

void
net_http_set_retry_after (NetHttpExchange *exchange, int64_t seconds)
{
  exchange->retry_after_s = seconds;
}

void
net_http_abort (NetHttpExchange *exchange)
{
  if (exchange->ended)
    return;
  exchange->close_func = NULL;
  close_and_abandon (exchange);
}

void
net_http_on_close (NetHttpExchange *exchange, NetHttpCloseFunc func, void *user)
{
  exchange->close_func = func;
  exchange->close_user = user;
}

int64_t
net_http_query_int (GrStr query, GrStr name, int64_t fallback)
{
  size_t at = 0;
  while (at < query.len) {
    const char *start = query.data + at;
    const char *amp = memchr (start, '&', query.len - at);
    size_t len = amp ? (size_t) (amp - start) : query.len - at;
    if (len > name.len && start[name.len] == '=' && memcmp (start, name.data, name.len) == 0) {
      int64_t value;
      GrStr text = { start + name.len + 1, len - name.len - 1 };
      return gr_str_to_int64 (text, &value) ? value : fallback;
    }
    at += len + 1;
  }
  return fallback;
}
