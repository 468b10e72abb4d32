#include "net/net_guard.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "net/net_head.h"

#define SWEEP_MS 100
/* A refused client may still be sending. What it sends is dropped for this long, so that it reads
   the answer: closing a connection with unread input resets it. */
#define LINGER_MS 1000
#define LINGER_BYTES 1048576

struct NetGuardConn {
  NetGuard *guard;
  h2o_socket_t *sock;
  uv_stream_t *stream;
  NetBudgetItem *item;
  h2o_socket_cb h2o_read; /* h2o's read callback, which on_conn_read() replaces and calls */
  NetHead head;
  bool paused;             /* reading is stopped by the budget */
  bool unhooked;           /* in the list of connections whose next request h2o may have begun */
  int64_t linger_until_ms; /* refused; closed then; 0: not refused */
  size_t lingered_bytes;
  bool *detached; /* set to true by net_guard_detach(); may be NULL */
  NetGuardConn *prev, *next;
};

struct NetGuard {
  uv_loop_t *loop;
  NetGuardOptions options;
  NetBudget *budget;
  uv_timer_t sweep;
  uv_prepare_t prepare;
  int handles; /* sweep and prepare not yet closed */
  NetGuardConn *conns;
  GR_LIST (NetGuardConn *) unhooked;
  NetBudgetCmds cmds;
  bool deciding;
  bool full; /* a new connection waits */
  NetHttpServerStats stats;
};

static void on_conn_read (h2o_socket_t *sock, const char *err);
static void decide (NetGuard *guard);

static int64_t
now_ms (const NetGuard *guard)
{
  return (int64_t) uv_now (guard->loop);
}

/* h2o doubles its buffer before a read if there is less room left. */
#define READ_ROOM_BYTES 4096

static int64_t
held_bytes (const NetGuardConn *conn)
{
  const h2o_buffer_t *input = conn->sock->input;
  return input->bytes ? (int64_t) input->capacity : 0;
}

static int64_t
next_bytes (const NetGuardConn *conn)
{
  const h2o_buffer_t *input = conn->sock->input;
  if (!input->bytes)
    return READ_ROOM_BYTES;
  size_t used = (size_t) (input->bytes - input->_buf) + input->size;
  return (int64_t) (input->capacity - used < READ_ROOM_BYTES ? 2 * input->capacity
                                                             : input->capacity);
}

static void
drop_input (NetGuardConn *conn)
{
  h2o_buffer_dispose (&conn->sock->input);
  h2o_buffer_init (&conn->sock->input, &h2o_socket_buffer_prototype);
}

/* Closes the connection, in any state in which h2o or this file reads a request. */
static void
close_conn (NetGuardConn *conn)
{
  bool reads = conn->paused || conn->sock->_cb.read == on_conn_read;
  /* h2o does not expect a read error while it writes; the failing write reports the end instead. */
  if (reads && !h2o_socket_is_writing (conn->sock))
    conn->h2o_read (conn->sock, h2o_socket_error_closed);
  else
    shutdown (h2o_socket_get_fd (conn->sock), SHUT_RDWR);
}

static const char *
refusal_text (int status)
{
  switch (status) {
  case 408:
    return "408 Request Timeout\r\n";
  case 413:
    return "413 Payload Too Large\r\n";
  case 431:
    return "431 Request Header Fields Too Large\r\n";
  default:
    return "503 Service Unavailable\r\nretry-after: 1\r\n";
  }
}

/* Answers a request that has not been read to its end. No handler has seen it, so it has not been
   executed. */
static void
refuse (NetGuardConn *conn, int status)
{
  char text[160];
  if (conn->linger_until_ms > 0)
    return;
  bool reads = conn->paused || conn->sock->_cb.read == on_conn_read;
  if (!reads || h2o_socket_is_writing (conn->sock)) {
    close_conn (conn);
    return;
  }
  int len
      = snprintf (text, sizeof text, "HTTP/1.1 %sconnection: close\r\ncontent-length: 0\r\n\r\n",
                  refusal_text (status));
  uv_buf_t buf = uv_buf_init (text, (unsigned) len);
  if (uv_try_write (conn->stream, &buf, 1) != len) {
    close_conn (conn);
    return;
  }
  shutdown (h2o_socket_get_fd (conn->sock), SHUT_WR);
  drop_input (conn);
  net_budget_charge (conn->item, 0, 0, 0, now_ms (conn->guard));
  conn->linger_until_ms = now_ms (conn->guard) + LINGER_MS;
  if (conn->paused) {
    conn->paused = false;
    h2o_socket_read_start (conn->sock, on_conn_read);
  }
}

static void
linger (NetGuardConn *conn)
{
  conn->lingered_bytes += conn->sock->input->size;
  h2o_buffer_consume (&conn->sock->input, conn->sock->input->size);
  if (conn->lingered_bytes > LINGER_BYTES || now_ms (conn->guard) >= conn->linger_until_ms)
    close_conn (conn);
}

/* Returns the status with which to refuse the request for what has arrived of it; 0: none. */
static int
check_limits (NetGuardConn *conn)
{
  const NetGuardOptions *options = &conn->guard->options;
  const h2o_buffer_t *input = conn->sock->input;
  if (!net_head_scan (&conn->head, (GrStr){ input->bytes, input->size }))
    return input->size > options->max_head_bytes ? 431 : 0;
  if (conn->head.len > options->max_head_bytes)
    return 431;
  if (conn->head.body_bytes > (int64_t) options->max_body_bytes)
    return 413;
  /* The length of the body is not announced: h2o's buffer holds the chunks that have arrived. */
  if (conn->head.has_body && conn->head.body_bytes < 0
      && input->size > conn->head.len + options->max_body_bytes + NET_GUARD_FRAMING_BYTES)
    return 413;
  return 0;
}

static void
enter_phase (NetGuardConn *conn)
{
  NetBudgetPhase phase = net_budget_phase (conn->item);
  int64_t now = now_ms (conn->guard);
  if (phase == NET_PHASE_IDLE && conn->sock->input->size > 0) {
    net_budget_enter (conn->item, NET_PHASE_HEAD, now);
    phase = NET_PHASE_HEAD;
  }
  if (phase == NET_PHASE_HEAD && conn->head.len > 0)
    net_budget_enter (conn->item, NET_PHASE_BODY, now);
}

static void
charge (NetGuardConn *conn, size_t arrived)
{
  NetGuard *guard = conn->guard;
  if (net_budget_charge (conn->item, held_bytes (conn), next_bytes (conn), (int64_t) arrived,
                         now_ms (guard))
      && !conn->paused && conn->sock->_cb.read == on_conn_read) {
    conn->paused = true;
    h2o_socket_read_stop (conn->sock);
  }
  if (net_budget_is_due (guard->budget))
    decide (guard);
}

static void
count_refusal (NetGuard *guard, int status)
{
  if (status == 431)
    guard->stats.heads_refused++;
  else
    guard->stats.bodies_refused++;
}

static void
on_conn_read (h2o_socket_t *sock, const char *err)
{
  bool detached = false;
  NetGuardConn *conn = *(NetGuardConn **) sock->on_close.data;
  if (err) {
    conn->h2o_read (sock, err);
    return;
  }
  if (conn->linger_until_ms > 0) {
    linger (conn);
    return;
  }
  size_t arrived = sock->bytes_read;
  int status = arrived > 0 ? check_limits (conn) : 0;
  if (status != 0) {
    count_refusal (conn->guard, status);
    refuse (conn, status);
    return;
  }
  enter_phase (conn);
  conn->detached = &detached;
  conn->h2o_read (sock, NULL);
  if (detached)
    return;
  conn->detached = NULL;
  charge (conn, arrived);
}

static void
apply_command (NetGuardConn *conn, NetBudgetVerb verb)
{
  NetHttpServerStats *stats = &conn->guard->stats;
  bool idle = net_budget_phase (conn->item) == NET_PHASE_IDLE;
  bool reading = conn->sock->_cb.read == on_conn_read;
  switch (verb) {
  case NET_BUDGET_WAIT:
    stats->waited++;
    conn->paused = reading;
    if (reading)
      h2o_socket_read_stop (conn->sock);
    break;
  case NET_BUDGET_RESUME:
    if (conn->paused)
      h2o_socket_read_start (conn->sock, on_conn_read);
    conn->paused = false;
    break;
  case NET_BUDGET_CUT:
    stats->cut++;
    if (idle)
      close_conn (conn);
    else
      refuse (conn, 503);
    break;
  case NET_BUDGET_DEADLINE:
    if (idle) {
      stats->idle_closed++;
      close_conn (conn);
    } else {
      stats->late++;
      refuse (conn, 408);
    }
    break;
  }
}

typedef void (*Decision) (NetBudget *budget, int64_t now_ms, NetBudgetCmds *cmds);

static void
run_decision (NetGuard *guard, Decision decision)
{
  /* Closing a connection changes what is charged; the next decision takes it into account. */
  if (guard->deciding)
    return;
  guard->deciding = true;
  gr_list_reset (&guard->cmds);
  decision (guard->budget, now_ms (guard), &guard->cmds);
  for (size_t i = 0; i < guard->cmds.count; i++)
    apply_command (guard->cmds.items[i].user, guard->cmds.items[i].verb);
  guard->deciding = false;
}

static void
decide (NetGuard *guard)
{
  run_decision (guard, net_budget_decide);
}

static void
make_room (NetGuard *guard)
{
  run_decision (guard, net_budget_make_room);
}

static void
on_sweep (uv_timer_t *timer)
{
  NetGuard *guard = timer->data;
  NetGuardConn *next;
  for (NetGuardConn *conn = guard->conns; conn; conn = next) {
    next = conn->next;
    if (conn->linger_until_ms > 0 && now_ms (guard) >= conn->linger_until_ms)
      close_conn (conn);
  }
  decide (guard);
  if (guard->full)
    make_room (guard);
}

/* Replaces h2o's read callback. Returns false if h2o does not read. */
static bool
hook (NetGuardConn *conn)
{
  if (!conn->sock->_cb.read)
    return false;
  conn->h2o_read = conn->sock->_cb.read;
  conn->sock->_cb.read = on_conn_read;
  return true;
}

/* Runs before the loop waits for input. h2o begins to read the next request once it has sent the
   reply to the one before, and no callback reports this. */
static void
on_prepare (uv_prepare_t *prepare)
{
  NetGuard *guard = prepare->data;
  for (size_t i = 0; i < guard->unhooked.count;) {
    NetGuardConn *conn = guard->unhooked.items[i];
    NetBudgetPhase phase = net_budget_phase (conn->item);
    bool busy = phase == NET_PHASE_WORK || phase == NET_PHASE_REPLY;
    if (!busy && !hook (conn)) {
      i++;
      continue;
    }
    conn->unhooked = false;
    gr_list_swap_remove (&guard->unhooked, i);
    if (busy)
      continue;
    /* Bytes of this request that arrived together with the one before. */
    int status = conn->sock->input->size > 0 ? check_limits (conn) : 0;
    if (status != 0) {
      count_refusal (guard, status);
      refuse (conn, status);
    } else {
      enter_phase (conn);
      charge (conn, 0);
    }
    /* Either call may have detached connections of the list. */
    i = 0;
  }
  if (guard->unhooked.count == 0)
    uv_prepare_stop (prepare);
}

NetGuard *
net_guard_new (uv_loop_t *loop, const NetGuardOptions *options)
{
  NetGuard *guard = gr_calloc (1, sizeof *guard);
  guard->loop = loop;
  guard->options = *options;
  guard->budget = net_budget_new (&options->budget);
  uv_timer_init (loop, &guard->sweep);
  uv_prepare_init (loop, &guard->prepare);
  guard->sweep.data = guard;
  guard->prepare.data = guard;
  guard->handles = 2;
  return guard;
}

static void
on_handle_closed (uv_handle_t *handle)
{
  NetGuard *guard = handle->data;
  if (--guard->handles > 0)
    return;
  net_budget_free (guard->budget);
  gr_list_clear (&guard->unhooked);
  gr_list_clear (&guard->cmds);
  free (guard);
}

void
net_guard_free (NetGuard *guard)
{
  uv_close ((uv_handle_t *) &guard->sweep, on_handle_closed);
  uv_close ((uv_handle_t *) &guard->prepare, on_handle_closed);
}

/* Address of the client without its port; it may be gone already. */
static GrName
peer_address (h2o_socket_t *sock)
{
  struct sockaddr_storage addr;
  char host[NI_MAXHOST];
  socklen_t len = h2o_socket_getpeername (sock, (struct sockaddr *) &addr);
  size_t host_len
      = len > 0 ? h2o_socket_getnumerichost ((struct sockaddr *) &addr, len, host) : SIZE_MAX;
  if (host_len == SIZE_MAX)
    return (GrName){ 0 };
  return gr_name_format ("%.*s", (int) host_len, host);
}

NetGuardConn *
net_guard_attach (NetGuard *guard, h2o_socket_t *sock, uv_stream_t *stream)
{
  NetGuardConn *conn = gr_calloc (1, sizeof *conn);
  GrName address = peer_address (sock);
  conn->guard = guard;
  conn->sock = sock;
  conn->stream = stream;
  conn->item = net_budget_add (guard->budget, gr_name_str (&address), conn, now_ms (guard));
  conn->next = guard->conns;
  if (conn->next)
    conn->next->prev = conn;
  guard->conns = conn;
  hook (conn);
  if (!uv_is_active ((uv_handle_t *) &guard->sweep))
    uv_timer_start (&guard->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  return conn;
}

void
net_guard_detach (NetGuardConn *conn)
{
  NetGuard *guard = conn->guard;
  if (conn->detached)
    *conn->detached = true;
  for (size_t i = 0; conn->unhooked && i < guard->unhooked.count; i++) {
    if (guard->unhooked.items[i] == conn) {
      gr_list_swap_remove (&guard->unhooked, i);
      break;
    }
  }
  net_budget_remove (conn->item);
  if (conn->prev)
    conn->prev->next = conn->next;
  else
    guard->conns = conn->next;
  if (conn->next)
    conn->next->prev = conn->prev;
  free (conn);
  if (!guard->conns)
    uv_timer_stop (&guard->sweep);
}

bool
net_guard_request (NetGuardConn *conn)
{
  NetGuard *guard = conn->guard;
  net_budget_enter (conn->item, NET_PHASE_WORK, now_ms (guard));
  /* Processing copies it. */
  int64_t held = held_bytes (conn) + (int64_t) conn->sock->input->size;
  net_budget_charge (conn->item, held, held, 0, now_ms (guard));
  if (net_budget_admits (conn->item))
    return true;
  guard->stats.busy++;
  return false;
}

void
net_guard_reply (NetGuardConn *conn)
{
  net_budget_enter (conn->item, NET_PHASE_REPLY, now_ms (conn->guard));
}

void
net_guard_request_end (NetGuardConn *conn)
{
  NetGuard *guard = conn->guard;
  conn->head = (NetHead){ 0 };
  net_budget_enter (conn->item, NET_PHASE_IDLE, now_ms (guard));
  if (!conn->unhooked)
    gr_list_push (&guard->unhooked, conn); /* NOLINT: a list of pointers */
  conn->unhooked = true;
  if (!uv_is_active ((uv_handle_t *) &guard->prepare))
    uv_prepare_start (&guard->prepare, on_prepare);
}

void
net_guard_set_full (NetGuard *guard, bool full)
{
  guard->full = full;
  if (full)
    make_room (guard);
}

NetHttpServerStats
net_guard_stats (const NetGuard *guard)
{
  NetHttpServerStats stats = guard->stats;
  stats.held_bytes = net_budget_held (guard->budget);
  return stats;
}
