/* Forwards connections from edges to edges and targets, one listener for each pair, and applies the
   faults of the pair. A path that is silent keeps the bytes of connections that were open before,
   as retransmissions would, and never answers those that are opened meanwhile. */
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define ENDS_MAX (SOAK_EDGES_MAX + SOAK_TARGETS_MAX)
#define BACKLOG 128

typedef struct {
  SoakPaths *paths;
  int edge;
  SoakEnd end;
  uv_tcp_t listener;
  int port;
} Path;

typedef struct Link Link;

/* One side of a forwarded connection. */
typedef struct {
  uv_tcp_t tcp;
  Link *link;
  bool open;  /* the handle is in use */
  bool ended; /* nothing more is read from it */
  GrBuf held; /* bytes from this side that the other has not got */
  int64_t held_until;
} Side;

struct Link {
  Link *next;
  Path *path;
  Side near, far; /* of the edge; of the end */
  bool connected;
  bool lost; /* was opened while the path was silent */
  int handles;
};

struct SoakPaths {
  Soak *soak;
  Path paths[SOAK_EDGES_MAX][ENDS_MAX];
  int ports[ENDS_MAX];
  Link *links;
};

typedef struct {
  uv_write_t request;
  char data[];
} Write;

static int
end_index (SoakEnd end)
{
  return end.target ? SOAK_EDGES_MAX + end.number : end.number;
}

static void
on_closed (uv_handle_t *handle)
{
  Side *side = handle->data;
  side->link->handles--;
}

static void
close_side (Side *side)
{
  if (!side->open)
    return;
  side->open = false;
  uv_close ((uv_handle_t *) &side->tcp, on_closed);
}

static void
close_link (Link *link)
{
  close_side (&link->near);
  close_side (&link->far);
}

static void
on_written (uv_write_t *request, int status)
{
  (void) status;
  free (request);
}

static void
write_side (Side *side, GrStr bytes)
{
  if (!side->open || bytes.len == 0)
    return;
  Write *write = gr_calloc (1, sizeof *write + bytes.len);
  memcpy (write->data, bytes.data, bytes.len);
  uv_buf_t buf = uv_buf_init (write->data, (unsigned) bytes.len);
  if (uv_write (&write->request, (uv_stream_t *) &side->tcp, &buf, 1, on_written) != 0)
    free (write);
}

/* Moves what may pass now. Returns false if bytes of this side are still held. */
static bool
pass_on (Side *from, Side *to, bool silent)
{
  if (from->held.len == 0)
    return true;
  if (silent || soak_now () < from->held_until)
    return false;
  write_side (to, gr_buf_str (&from->held));
  gr_buf_clear (&from->held);
  return true;
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void) status;
  Side *side = request->data;
  close_side (side);
  free (request);
}

/* Closes the side once all that was written to it has been sent. */
static void
finish_side (Side *side)
{
  if (!side->open || side->ended)
    return;
  side->ended = true;
  uv_read_stop ((uv_stream_t *) &side->tcp);
  uv_shutdown_t *request = gr_calloc (1, sizeof *request);
  request->data = side;
  if (uv_shutdown (request, (uv_stream_t *) &side->tcp, on_shutdown) != 0) {
    free (request);
    close_side (side);
  }
}

static void
advance (Link *link)
{
  SoakPaths *paths = link->path->paths;
  SoakPathMode mode = soak_faults_path (paths->soak->faults, link->path->edge, link->path->end);
  if (mode.resets) {
    close_link (link);
    return;
  }
  /* The edge dials again once the path is whole. */
  if (link->lost && !mode.forward_silent && !mode.back_silent)
    close_link (link);
  if (link->lost || !link->connected)
    return;
  bool sent = pass_on (&link->near, &link->far, mode.forward_silent);
  bool answered = pass_on (&link->far, &link->near, mode.back_silent);
  if (link->near.ended && sent && !mode.forward_silent)
    finish_side (&link->far);
  if (link->far.ended && answered && !mode.back_silent)
    finish_side (&link->near);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void) handle;
  static char space[65536];
  (void) size;
  *buf = uv_buf_init (space, sizeof space);
}

static void
on_data (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  Side *side = stream->data;
  Link *link = side->link;
  if (n > 0) {
    SoakPathMode mode
        = soak_faults_path (link->path->paths->soak->faults, link->path->edge, link->path->end);
    if (side == &link->near && mode.late_ms > 0 && side->held.len == 0)
      side->held_until = soak_now () + mode.late_ms;
    gr_buf_append (&side->held, buf->base, (size_t) n);
  } else if (n < 0) {
    uv_read_stop (stream);
    side->ended = true;
    if (side == &link->near && link->lost) {
      close_link (link);
      return;
    }
    if (side == &link->near || link->connected)
      close_side (side);
  }
  advance (link);
}

static void
on_connected (uv_connect_t *request, int status)
{
  Link *link = request->data;
  free (request);
  if (status != 0) {
    close_link (link);
    return;
  }
  link->connected = true;
  uv_read_start ((uv_stream_t *) &link->far.tcp, on_alloc, on_data);
  advance (link);
}

static void
open_side (Link *link, Side *side)
{
  uv_tcp_init (link->path->paths->soak->loop, &side->tcp);
  uv_tcp_nodelay (&side->tcp, 1);
  side->tcp.data = side;
  side->link = link;
  side->open = true;
  link->handles++;
}

static void
connect_far (Link *link)
{
  struct sockaddr_in address;
  int port = link->path->paths->ports[end_index (link->path->end)];
  if (port == 0) {
    close_link (link);
    return;
  }
  uv_ip4_addr ("127.0.0.1", port, &address);
  uv_connect_t *request = gr_calloc (1, sizeof *request);
  request->data = link;
  if (uv_tcp_connect (request, &link->far.tcp, (const struct sockaddr *) &address, on_connected)
      != 0) {
    free (request);
    close_link (link);
  }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  Path *path = listener->data;
  if (status != 0)
    return;
  Link *link = gr_calloc (1, sizeof *link);
  link->path = path;
  open_side (link, &link->near);
  link->next = path->paths->links;
  path->paths->links = link;
  SoakPathMode mode = soak_faults_path (path->paths->soak->faults, path->edge, path->end);
  if (uv_accept (listener, (uv_stream_t *) &link->near.tcp) != 0 || mode.resets) {
    close_link (link);
    return;
  }
  link->lost = mode.forward_silent || mode.back_silent;
  uv_read_start ((uv_stream_t *) &link->near.tcp, on_alloc, on_data);
  if (link->lost)
    return;
  open_side (link, &link->far);
  connect_far (link);
}

static void
listen_path (SoakPaths *paths, int edge, SoakEnd end)
{
  Path *path = &paths->paths[edge][end_index (end)];
  struct sockaddr_in address;
  int size = sizeof address;
  path->paths = paths;
  path->edge = edge;
  path->end = end;
  uv_tcp_init (paths->soak->loop, &path->listener);
  path->listener.data = path;
  uv_ip4_addr ("127.0.0.1", 0, &address);
  if (uv_tcp_bind (&path->listener, (const struct sockaddr *) &address, 0) != 0
      || uv_listen ((uv_stream_t *) &path->listener, BACKLOG, on_connection) != 0)
    soak_die ("a path cannot listen");
  uv_tcp_getsockname (&path->listener, (struct sockaddr *) &address, &size);
  path->port = ntohs (address.sin_port);
  /* The store replaces ports in place, by text of the same length. */
  if (path->port < 10000)
    soak_die ("a path got port %d, which has less than five digits", path->port);
}

SoakPaths *
soak_paths_new (Soak *soak)
{
  SoakPaths *paths = gr_calloc (1, sizeof *paths);
  paths->soak = soak;
  for (int i = 0; i < soak->settings.edges; i++) {
    for (int k = 0; k < soak->settings.edges; k++) {
      if (k != i)
        listen_path (paths, i, (SoakEnd){ false, k });
    }
    for (int k = 0; k < soak->settings.targets; k++)
      listen_path (paths, i, (SoakEnd){ true, k });
  }
  return paths;
}

void
soak_paths_set_port (SoakPaths *paths, SoakEnd end, int port)
{
  paths->ports[end_index (end)] = port;
}

int
soak_paths_port (const SoakPaths *paths, int edge, SoakEnd end)
{
  return paths->paths[edge][end_index (end)].port;
}

void
soak_paths_tick (SoakPaths *paths)
{
  for (Link **at = &paths->links; *at;) {
    Link *link = *at;
    if (link->handles > 0) {
      advance (link);
      at = &link->next;
      continue;
    }
    *at = link->next;
    gr_buf_clear (&link->near.held);
    gr_buf_clear (&link->far.held);
    free (link);
  }
}
