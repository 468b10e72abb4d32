#include "net/net_peer.h"

#include <netinet/tcp.h>
#include <signal.h>
#include <stdlib.h>

#include <openssl/rand.h>

#include "base/gr_backoff.h"
#include "net/net_proof.h"

#define BACKLOG 256
#define DEFAULT_QUEUE_MAX_BYTES 16777216
#define READ_BYTES 65536
/* A link whose handshake takes longer is closed. */
#define HANDSHAKE_TIMEOUT_MS 3000
/* TCP_USER_TIMEOUT: detects a peer that disappeared without closing the connection. The link
   closes if sent bytes or keep-alive probes on an idle link are not acknowledged for this long. */
#define UNACKNOWLEDGED_MAX_MS 10000
#define KEEPALIVE_S 5
#define REDIAL_MIN_MS 100
#define REDIAL_MAX_MS 1000
/* Limit of accepted connections in the handshake; further ones are closed at once. After a loss of
   power all VMs of a cell, some hundred, connect to the electors at the same moment. */
#define MAX_UNAUTHENTICATED 512

typedef struct Link Link;
typedef struct Peer Peer;

typedef enum {
  LINK_CONNECTING,
  LINK_HELLO, /* waits for the other side's hello */
  LINK_PROOF, /* waits for the other side's proof */
  LINK_UP,
  LINK_CLOSING
} LinkState;

struct Link {
  NetPeers *peers;
  Peer *peer; /* the known VM of a dialled or authenticated link, else NULL */
  LinkState state;
  bool dialled;
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_connect_t connect;
  uv_write_t write;
  int handles; /* tcp and timer not yet closed */
  NetHello own, other;
  NetPeerInfo info;
  NetFrameReader reader;
  GrBuf writing; /* passed to uv_write() */
  GrBuf queued;  /* written next */
  bool write_busy;
  Link *prev, *next;
};

/* One known VM. */
struct Peer {
  NetPeers *peers;
  GrName vm;
  GrName address;
  Link *link; /* authenticated link, or the one being dialled */
  uv_timer_t redial;
  int64_t backoff_ms;
  bool still_known; /* only used while the known set is replaced */
  bool removed;
  Peer *next;
};

struct NetPeers {
  uv_loop_t *loop;
  GrVmRef self;
  GrName region;
  char *key;
  size_t key_len;
  char *previous_key;
  size_t previous_key_len;
  int64_t queue_max_bytes;
  GrLog log;
  NetPeerEvents events;
  void *user;
  uv_tcp_t listener;
  int port;
  Link *links;
  Peer *known;
  int unauthenticated; /* accepted links in the handshake */
  int handles;
  bool freeing;
  int64_t bytes_in, bytes_out;
  char read_buf[READ_BYTES];
};

static void dial (Peer *peer);

static GrStr
own_key (const NetPeers *peers)
{
  return (GrStr){ peers->key, peers->key_len };
}

static GrStr
previous_key (const NetPeers *peers)
{
  return (GrStr){ peers->previous_key, peers->previous_key_len };
}

static void
release_handle (NetPeers *peers)
{
  if (--peers->handles > 0 || !peers->freeing)
    return;
  free (peers->key);
  free (peers->previous_key);
  free (peers);
}

static void
on_listener_closed (uv_handle_t *handle)
{
  release_handle (handle->data);
}

static void
on_link_handle_closed (uv_handle_t *handle)
{
  Link *link = handle->data;
  if (--link->handles > 0)
    return;
  NetPeers *peers = link->peers;
  net_frame_reader_clear (&link->reader);
  gr_buf_clear (&link->writing);
  gr_buf_clear (&link->queued);
  free (link);
  release_handle (peers);
}

static void
on_peer_timer_closed (uv_handle_t *handle)
{
  Peer *peer = handle->data;
  NetPeers *peers = peer->peers;
  free (peer);
  release_handle (peers);
}

static void
on_redial (uv_timer_t *timer)
{
  dial (timer->data);
}

/* Only the VM with the lower id opens the link, so that each pair has only one. */
static bool
is_dialler (const NetPeers *peers, const Peer *peer)
{
  return gr_name_compare (&peers->self.vm, &peer->vm) < 0;
}

static void
schedule_redial (Peer *peer)
{
  if (peer->removed || peer->link || !is_dialler (peer->peers, peer))
    return;
  uv_timer_start (&peer->redial, on_redial, (uint64_t) peer->backoff_ms, 0);
  peer->backoff_ms = gr_backoff_next (peer->backoff_ms, REDIAL_MIN_MS, REDIAL_MAX_MS);
}

static void
close_link (Link *link)
{
  if (link->state == LINK_CLOSING)
    return;
  NetPeers *peers = link->peers;
  bool was_up = link->state == LINK_UP;
  if (!link->dialled && !was_up)
    peers->unauthenticated--;
  link->state = LINK_CLOSING;
  if (link->prev)
    link->prev->next = link->next;
  else
    peers->links = link->next;
  if (link->next)
    link->next->prev = link->prev;
  uv_close ((uv_handle_t *) &link->tcp, on_link_handle_closed);
  uv_close ((uv_handle_t *) &link->timer, on_link_handle_closed);
  Peer *peer = link->peer;
  link->peer = NULL;
  if (peer && peer->link == link) {
    peer->link = NULL;
    schedule_redial (peer);
  }
  if (was_up && !peers->freeing) {
    gr_log (&peers->log, GR_EV_PEER_DOWN, "vm=%.*s", GR_NAME_ARG (link->info.vm.vm));
    if (peers->events.down)
      peers->events.down (peers->user, &link->info);
  }
}

static void
on_link_timeout (uv_timer_t *timer)
{
  close_link (timer->data);
}

static void flush (Link *link);

static void
on_written (uv_write_t *write, int status)
{
  Link *link = write->data;
  link->write_busy = false;
  if (status != 0) {
    close_link (link);
    return;
  }
  link->peers->bytes_out += (int64_t) link->writing.len;
  link->writing.len = 0;
  flush (link);
}

static void
flush (Link *link)
{
  if (link->write_busy || link->queued.len == 0 || link->state == LINK_CLOSING
      || link->state == LINK_CONNECTING)
    return;
  GrBuf swap = link->writing;
  link->writing = link->queued;
  link->queued = swap;
  link->queued.len = 0;
  uv_buf_t buf = uv_buf_init (link->writing.data, (unsigned int) link->writing.len);
  link->write.data = link;
  link->write_busy = true;
  /* Closing the link here would run callbacks from within net_peers_send(). */
  if (uv_write (&link->write, (uv_stream_t *) &link->tcp, &buf, 1, on_written) != 0)
    uv_timer_start (&link->timer, on_link_timeout, 0, 0);
}

static void
send_hello (Link *link)
{
  GrBuf body = { 0 };
  net_hello_encode (&link->own, &body);
  net_frame_append (&link->queued, gr_buf_str (&body));
  gr_buf_clear (&body);
  flush (link);
}

/* Sends a proof for each configured key, so that during a key rotation VMs with the new key and VMs
   with the old key accept each other. */
static void
send_proof (Link *link)
{
  NetPeers *peers = link->peers;
  unsigned char proofs[2][NET_PROOF_BYTES];
  size_t count = 1;
  net_proof_make (own_key (peers), &link->own, &link->other, proofs[0]);
  if (peers->previous_key_len > 0)
    net_proof_make (previous_key (peers), &link->own, &link->other, proofs[count++]);
  GrBuf body = { 0 };
  net_proof_encode ((const unsigned char (*)[NET_PROOF_BYTES]) proofs, count, &body);
  net_frame_append (&link->queued, gr_buf_str (&body));
  gr_buf_clear (&body);
  flush (link);
}

static Peer *
find_known (NetPeers *peers, const GrName *vm)
{
  for (Peer *peer = peers->known; peer; peer = peer->next) {
    if (gr_name_equal (&peer->vm, vm))
      return peer;
  }
  return NULL;
}

static void
reject_link (Link *link, const char *why)
{
  gr_log (&link->peers->log, GR_EV_BAD_INPUT, "peer link refused: %s", why);
  close_link (link);
}

static void
handle_hello (Link *link, GrStr body)
{
  NetPeers *peers = link->peers;
  if (!net_hello_decode (body, &link->other, NULL)) {
    reject_link (link, "malformed hello");
    return;
  }
  Peer *peer = find_known (peers, &link->other.vm.vm);
  if (link->dialled ? peer != link->peer : (!peer || is_dialler (peers, peer))) {
    /* Normal while only one of the two VMs has the other in its list; the dialler retries. */
    close_link (link);
    return;
  }
  link->state = LINK_PROOF;
  send_proof (link);
}

static bool
proof_is_valid (const Link *link, GrStr body)
{
  unsigned char given[4][NET_PROOF_BYTES];
  size_t count = 0;
  if (!net_proof_decode (body, given, 4, &count, NULL))
    return false;
  GrStr keys[2] = { own_key (link->peers), previous_key (link->peers) };
  for (size_t k = 0; k < 2; k++) {
    if (k == 1 && keys[k].len == 0)
      continue;
    unsigned char expected[NET_PROOF_BYTES];
    net_proof_make (keys[k], &link->other, &link->own, expected);
    for (size_t i = 0; i < count; i++) {
      if (net_proof_equal (given[i], expected))
        return true;
    }
  }
  return false;
}

static void
handle_proof (Link *link, GrStr body)
{
  NetPeers *peers = link->peers;
  Peer *peer = find_known (peers, &link->other.vm.vm);
  if (!proof_is_valid (link, body)) {
    reject_link (link, "no valid proof of a configured key");
    return;
  }
  if (!peer) {
    close_link (link);
    return;
  }
  Link *old = peer->link;
  if (old && old != link) {
    if (old->state == LINK_UP && old->info.vm.incarnation > link->other.vm.incarnation) {
      reject_link (link, "a link to a newer incarnation is up");
      return;
    }
    peer->link = NULL;
    old->peer = NULL;
    close_link (old);
    if (link->state == LINK_CLOSING)
      return;
  }
  if (!link->dialled)
    peers->unauthenticated--;
  link->peer = peer;
  link->state = LINK_UP;
  link->reader.max_bytes = NET_FRAME_MAX;
  link->info = (NetPeerInfo){ .vm = link->other.vm, .region = link->other.region };
  peer->link = link;
  peer->backoff_ms = REDIAL_MIN_MS;
  uv_timer_stop (&peer->redial);
  uv_timer_stop (&link->timer);
  gr_log (&peers->log, GR_EV_PEER_UP, "vm=%.*s region=%.*s", GR_NAME_ARG (link->info.vm.vm),
          GR_NAME_ARG (link->info.region));
  if (peers->events.up)
    peers->events.up (peers->user, &link->info);
}

static void
on_frame (void *user, GrStr body)
{
  Link *link = user;
  switch (link->state) {
  case LINK_CONNECTING:
  case LINK_CLOSING:
    break;
  case LINK_HELLO:
    handle_hello (link, body);
    break;
  case LINK_PROOF:
    handle_proof (link, body);
    break;
  case LINK_UP:
    /* The time of the loop must not be older than the frame: the process may have been paused since
       the iteration began, and what the frame tells would be dated too early. */
    uv_update_time (link->peers->loop);
    if (link->peers->events.frame)
      link->peers->events.frame (link->peers->user, &link->info, body);
    break;
  }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) suggested;
  Link *link = handle->data;
  *buf = uv_buf_init (link->peers->read_buf, READ_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  Link *link = stream->data;
  if (len < 0) {
    close_link (link);
    return;
  }
  link->peers->bytes_in += len;
  GrErr err = { 0 };
  if (!net_frame_feed (&link->reader, (GrStr){ buf->base, (size_t) len }, on_frame, link, &err))
    reject_link (link, err.detail);
}

static Link *
new_link (NetPeers *peers, bool dialled)
{
  Link *link = gr_calloc (1, sizeof *link);
  link->peers = peers;
  link->dialled = dialled;
  link->state = dialled ? LINK_CONNECTING : LINK_HELLO;
  link->reader.max_bytes = NET_FRAME_HANDSHAKE_MAX;
  uv_tcp_init (peers->loop, &link->tcp);
  uv_timer_init (peers->loop, &link->timer);
  link->tcp.data = link;
  link->timer.data = link;
  link->handles = 2;
  peers->handles++;
  link->own.vm = peers->self;
  link->own.region = peers->region;
  RAND_bytes (link->own.nonce, NET_NONCE_BYTES);
  link->next = peers->links;
  if (link->next)
    link->next->prev = link;
  peers->links = link;
  uv_timer_start (&link->timer, on_link_timeout, HANDSHAKE_TIMEOUT_MS, 0);
  return link;
}

static void
start_link (Link *link)
{
  uv_tcp_nodelay (&link->tcp, 1);
  uv_tcp_keepalive (&link->tcp, 1, KEEPALIVE_S);
  uv_os_fd_t fd;
  unsigned int limit_ms = UNACKNOWLEDGED_MAX_MS;
  if (uv_fileno ((uv_handle_t *) &link->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
  link->state = LINK_HELLO;
  if (uv_read_start ((uv_stream_t *) &link->tcp, on_alloc, on_read) != 0) {
    close_link (link);
    return;
  }
  send_hello (link);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  Link *link = connect->data;
  if (link->state == LINK_CLOSING)
    return;
  if (status != 0)
    close_link (link);
  else
    start_link (link);
}

/* Parses "IP:PORT" or "[IP6]:PORT". */
static bool
parse_address (const GrName *address, struct sockaddr_storage *out)
{
  char text[GR_NAME_MAX + 1];
  memcpy (text, address->data, address->len);
  text[address->len] = '\0';
  char *colon = strrchr (text, ':');
  int64_t port;
  if (!colon || !gr_str_to_int64 (gr_str_from_c (colon + 1), &port) || port < 1 || port > 65535)
    return false;
  *colon = '\0';
  if (text[0] == '[' && colon > text + 1 && colon[-1] == ']') {
    colon[-1] = '\0';
    return uv_ip6_addr (text + 1, (int) port, (struct sockaddr_in6 *) out) == 0;
  }
  return uv_ip4_addr (text, (int) port, (struct sockaddr_in *) out) == 0;
}

static void
dial (Peer *peer)
{
  NetPeers *peers = peer->peers;
  struct sockaddr_storage addr;
  if (peers->freeing || peer->removed || peer->link)
    return;
  if (!parse_address (&peer->address, &addr)) {
    gr_log (&peers->log, GR_EV_BAD_INPUT, "vm=%.*s peer address '%.*s' is not IP:PORT",
            GR_NAME_ARG (peer->vm), GR_NAME_ARG (peer->address));
    return;
  }
  Link *link = new_link (peers, true);
  link->peer = peer;
  peer->link = link;
  link->connect.data = link;
  if (uv_tcp_connect (&link->connect, &link->tcp, (struct sockaddr *) &addr, on_connected) != 0)
    close_link (link);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  NetPeers *peers = listener->data;
  if (status != 0 || peers->freeing)
    return;
  Link *link = new_link (peers, false);
  peers->unauthenticated++;
  if (uv_accept (listener, (uv_stream_t *) &link->tcp) != 0
      || peers->unauthenticated > MAX_UNAUTHENTICATED) {
    close_link (link);
    return;
  }
  start_link (link);
}

NetPeers *
net_peers_new (uv_loop_t *loop, const NetPeerOptions *options, const NetPeerEvents *events,
               void *user, GrErr *err)
{
  struct sockaddr_storage addr = { 0 };
  const char *host = options->listen_host ? options->listen_host : "";
  int port = (int) options->listen_port;
  if (port < 0 || port > 65535
      || (uv_ip4_addr (host, port, (struct sockaddr_in *) &addr) != 0
          && uv_ip6_addr (host, port, (struct sockaddr_in6 *) &addr) != 0)) {
    gr_err_set (err, GR_ERR_INVALID, "peer_listen", "'%s' port %d is not an IP address and port",
                host, port);
    return NULL;
  }
  /* libuv writes without MSG_NOSIGNAL; with SIGPIPE ignored, a closed link yields EPIPE. */
  signal (SIGPIPE, SIG_IGN);
  NetPeers *peers = gr_calloc (1, sizeof *peers);
  peers->loop = loop;
  peers->self = options->self;
  peers->region = options->region;
  peers->key = gr_str_dup (options->key);
  peers->key_len = options->key.len;
  peers->previous_key = gr_str_dup (options->previous_key);
  peers->previous_key_len = options->previous_key.len;
  peers->queue_max_bytes
      = options->queue_max_bytes > 0 ? options->queue_max_bytes : DEFAULT_QUEUE_MAX_BYTES;
  peers->log = options->log;
  peers->events = *events;
  peers->user = user;
  uv_tcp_init (loop, &peers->listener);
  peers->listener.data = peers;
  peers->handles = 1;
  int rc = uv_tcp_bind (&peers->listener, (struct sockaddr *) &addr, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *) &peers->listener, BACKLOG, on_connection);
  struct sockaddr_storage bound;
  int len = sizeof bound;
  if (rc == 0)
    rc = uv_tcp_getsockname (&peers->listener, (struct sockaddr *) &bound, &len);
  if (rc != 0) {
    gr_err_set (err, GR_ERR_IO, "peer_listen", "cannot listen on %s port %d: %s", host, port,
                uv_strerror (rc));
    net_peers_free (peers);
    return NULL;
  }
  peers->port = bound.ss_family == AF_INET6 ? ntohs (((struct sockaddr_in6 *) &bound)->sin6_port)
                                            : ntohs (((struct sockaddr_in *) &bound)->sin_port);
  return peers;
}

int
net_peers_port (const NetPeers *peers)
{
  return peers->port;
}

static void
add_known (NetPeers *peers, const NetPeerAddress *known)
{
  Peer *peer = gr_calloc (1, sizeof *peer);
  peer->peers = peers;
  peer->vm = known->vm;
  peer->address = known->address;
  peer->still_known = true;
  peer->backoff_ms = REDIAL_MIN_MS;
  uv_timer_init (peers->loop, &peer->redial);
  peer->redial.data = peer;
  peers->handles++;
  peer->next = peers->known;
  peers->known = peer;
  if (is_dialler (peers, peer))
    dial (peer);
}

static void
remove_known (Peer **slot)
{
  Peer *peer = *slot;
  *slot = peer->next;
  peer->removed = true;
  Link *link = peer->link;
  peer->link = NULL;
  uv_close ((uv_handle_t *) &peer->redial, on_peer_timer_closed);
  if (link) {
    link->peer = NULL;
    close_link (link);
  }
}

void
net_peers_set_known (NetPeers *peers, const NetPeerAddress *known, size_t count)
{
  for (Peer *peer = peers->known; peer; peer = peer->next)
    peer->still_known = false;
  for (size_t i = 0; i < count; i++) {
    if (gr_name_equal (&known[i].vm, &peers->self.vm))
      continue;
    Peer *peer = find_known (peers, &known[i].vm);
    if (!peer) {
      add_known (peers, &known[i]);
      continue;
    }
    peer->still_known = true;
    if (gr_name_equal (&peer->address, &known[i].address))
      continue;
    peer->address = known[i].address;
    /* The link is to the old address; closing it dials the new one. */
    if (is_dialler (peers, peer)) {
      peer->backoff_ms = REDIAL_MIN_MS;
      if (peer->link)
        close_link (peer->link);
      else
        schedule_redial (peer);
    }
  }
  Peer **slot = &peers->known;
  while (*slot) {
    if ((*slot)->still_known)
      slot = &(*slot)->next;
    else
      remove_known (slot);
  }
}

bool
net_peers_send (NetPeers *peers, const GrName *vm, GrStr body, GrErr *err)
{
  Peer *peer = find_known (peers, vm);
  Link *link = peer ? peer->link : NULL;
  if (!link || link->state != LINK_UP)
    return gr_err_set (err, GR_ERR_UNAVAILABLE, "peer", "no link to %.*s", GR_NAME_ARG (*vm));
  if (body.len > NET_FRAME_MAX)
    return gr_err_set (err, GR_ERR_TOO_LARGE, "frame", "frame of %zu bytes; allowed are %d",
                       body.len, NET_FRAME_MAX);
  if ((int64_t) (link->writing.len + link->queued.len + body.len) > peers->queue_max_bytes)
    return gr_err_set (err, GR_ERR_OVERLOADED, "peer", "the queue to %.*s is full",
                       GR_NAME_ARG (*vm));
  net_frame_append (&link->queued, body);
  flush (link);
  return true;
}

void
net_peers_reset (NetPeers *peers, const GrName *vm)
{
  Peer *peer = find_known (peers, vm);
  if (!peer || !peer->link)
    return;
  peer->backoff_ms = REDIAL_MIN_MS;
  close_link (peer->link);
}

bool
net_peers_is_up (const NetPeers *peers, const GrName *vm)
{
  const Peer *peer = find_known ((NetPeers *) peers, vm);
  return peer && peer->link && peer->link->state == LINK_UP;
}

int64_t
net_peers_bytes_in (const NetPeers *peers)
{
  return peers->bytes_in;
}

int64_t
net_peers_bytes_out (const NetPeers *peers)
{
  return peers->bytes_out;
}

void
net_peers_free (NetPeers *peers)
{
  if (!peers || peers->freeing)
    return;
  peers->freeing = true;
  while (peers->known)
    remove_known (&peers->known);
  while (peers->links)
    close_link (peers->links);
  uv_close ((uv_handle_t *) &peers->listener, on_listener_closed);
}
