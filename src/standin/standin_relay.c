#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "net/net_peer.h"
#include "net/net_proof.h"
#include "standin/standin.h"

#define READ_BYTES 65536
#define BACKLOG 64

/* The relay in front of one entry VM. */
typedef struct Front {
  StandinRelay *relay;
  GrName vm;
  GrName peer; /* the VM's own address */
  uv_tcp_t listener;
  struct Front *next;
} Front;

typedef struct Session Session;

/* One end of a relayed connection. */
typedef struct {
  uv_tcp_t tcp;
  Session *session;
} End;

struct Session {
  Front *front;
  GrName dialler; /* empty until its hello is read */
  End client;
  End server;
  uv_connect_t connect;
  NetFrameReader reader; /* finds the hello */
  GrBuf early;           /* bytes read before the server end is connected */
  bool connected;
  bool cut; /* bytes are read and thrown away, as in a network partition */
  bool closing;
  int open; /* ends not yet closed */
  Session *prev, *next;
};

typedef struct Cut {
  GrName a, b; /* b is empty for all links of a */
  struct Cut *next;
} Cut;

typedef struct {
  uv_write_t write;
  char data[];
} Chunk;

struct StandinRelay {
  Standin *standin;
  Front *fronts;
  Session *sessions;
  Cut *cuts;
  char read_buf[READ_BYTES];
};

StandinRelay *
standin_relay_new (Standin *standin)
{
  StandinRelay *relay = gr_calloc (1, sizeof *relay);
  relay->standin = standin;
  return relay;
}

static bool
is_cut (const StandinRelay *relay, const GrName *a, const GrName *b)
{
  for (const Cut *cut = relay->cuts; cut; cut = cut->next) {
    if (cut->b.len == 0 && (gr_name_equal (&cut->a, a) || gr_name_equal (&cut->a, b)))
      return true;
    if ((gr_name_equal (&cut->a, a) && gr_name_equal (&cut->b, b))
        || (gr_name_equal (&cut->a, b) && gr_name_equal (&cut->b, a)))
      return true;
  }
  return false;
}

static void
on_end_closed (uv_handle_t *handle)
{
  Session *session = ((End *) handle->data)->session;
  if (--session->open > 0)
    return;
  net_frame_reader_clear (&session->reader);
  gr_buf_clear (&session->early);
  free (session);
}

static void
close_session (Session *session)
{
  if (session->closing)
    return;
  session->closing = true;
  DL_DELETE (session->front->relay->sessions, session);
  uv_close ((uv_handle_t *) &session->client.tcp, on_end_closed);
  uv_close ((uv_handle_t *) &session->server.tcp, on_end_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  (void) status;
  free (write->data);
}

static void
forward (End *to, GrStr bytes)
{
  Chunk *chunk = gr_calloc (1, sizeof *chunk + bytes.len);
  memcpy (chunk->data, bytes.data, bytes.len);
  chunk->write.data = chunk;
  uv_buf_t buf = uv_buf_init (chunk->data, (unsigned) bytes.len);
  if (uv_write (&chunk->write, (uv_stream_t *) &to->tcp, &buf, 1, on_written) != 0)
    free (chunk);
}

static void on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) suggested;
  End *end = handle->data;
  *buf = uv_buf_init (end->session->front->relay->read_buf, READ_BYTES);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  Session *session = connect->data;
  if (session->closing)
    return;
  if (status != 0 || uv_read_start ((uv_stream_t *) &session->server.tcp, on_alloc, on_read) != 0) {
    close_session (session);
    return;
  }
  uv_tcp_nodelay (&session->server.tcp, 1);
  session->connected = true;
  forward (&session->server, gr_buf_str (&session->early));
  gr_buf_clear (&session->early);
}

static void
connect_server (Session *session)
{
  const GrName *peer = &session->front->peer;
  char host[GR_NAME_MAX + 1] = "";
  memcpy (host, peer->data, peer->len);
  char *colon = strrchr (host, ':');
  int64_t port;
  struct sockaddr_in addr;
  if (colon)
    *colon = '\0';
  session->connect.data = session;
  if (!colon || !gr_str_to_int64 (gr_str_from_c (colon + 1), &port)
      || uv_ip4_addr (host, (int) port, &addr) != 0
      || uv_tcp_connect (&session->connect, &session->server.tcp, (struct sockaddr *) &addr,
                         on_connected)
             != 0)
    close_session (session);
}

static void
on_first_frame (void *user, GrStr body)
{
  Session *session = user;
  NetHello hello;
  if (session->dialler.len > 0)
    return;
  if (!net_hello_decode (body, &hello, NULL)) {
    close_session (session);
    return;
  }
  session->dialler = hello.vm.vm;
  session->cut = is_cut (session->front->relay, &hello.vm.vm, &session->front->vm);
  if (!session->cut)
    connect_server (session);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  End *end = stream->data;
  Session *session = end->session;
  if (len < 0) {
    close_session (session);
    return;
  }
  if (session->cut)
    return;
  GrStr bytes = { buf->base, (size_t) len };
  if (session->connected) {
    forward (end == &session->client ? &session->server : &session->client, bytes);
    return;
  }
  gr_buf_append_str (&session->early, bytes);
  if (session->dialler.len == 0
      && !net_frame_feed (&session->reader, bytes, on_first_frame, session, NULL))
    close_session (session);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  Front *front = listener->data;
  uv_loop_t *loop = front->relay->standin->loop;
  if (status != 0)
    return;
  Session *session = gr_calloc (1, sizeof *session);
  session->front = front;
  session->client.session = session;
  session->server.session = session;
  uv_tcp_init (loop, &session->client.tcp);
  uv_tcp_init (loop, &session->server.tcp);
  session->client.tcp.data = &session->client;
  session->server.tcp.data = &session->server;
  session->open = 2;
  DL_APPEND (front->relay->sessions, session);
  if (uv_accept (listener, (uv_stream_t *) &session->client.tcp) != 0
      || uv_read_start ((uv_stream_t *) &session->client.tcp, on_alloc, on_read) != 0) {
    close_session (session);
    return;
  }
  uv_tcp_nodelay (&session->client.tcp, 1);
}

bool
standin_relay_add (StandinRelay *relay, const GrName *vm, const GrName *peer, GrName *listed)
{
  Front *front = relay->fronts;
  while (front && !gr_name_equal (&front->vm, vm))
    front = front->next;
  if (!front) {
    struct sockaddr_in any;
    front = gr_calloc (1, sizeof *front);
    front->relay = relay;
    front->vm = *vm;
    uv_tcp_init (relay->standin->loop, &front->listener);
    front->listener.data = front;
    front->next = relay->fronts;
    relay->fronts = front;
    if (uv_ip4_addr (relay->standin->options.listen_host, 0, &any) != 0
        || uv_tcp_bind (&front->listener, (struct sockaddr *) &any, 0) != 0
        || uv_listen ((uv_stream_t *) &front->listener, BACKLOG, on_connection) != 0)
      return false;
  }
  front->peer = *peer;
  struct sockaddr_in bound;
  int len = sizeof bound;
  if (uv_tcp_getsockname (&front->listener, (struct sockaddr *) &bound, &len) != 0)
    return false;
  *listed = gr_name_format ("%s:%d", relay->standin->options.listen_host, ntohs (bound.sin_port));
  return true;
}

static void
set_cut (StandinRelay *relay, const GrName *a, const GrName *b, bool cut)
{
  Cut **slot = &relay->cuts;
  while (*slot && !(gr_name_equal (&(*slot)->a, a) && gr_name_equal (&(*slot)->b, b)))
    slot = &(*slot)->next;
  if (cut && !*slot) {
    *slot = gr_calloc (1, sizeof **slot);
    (*slot)->a = *a;
    (*slot)->b = *b;
  } else if (!cut && *slot) {
    Cut *old = *slot;
    *slot = old->next;
    free (old);
  }
  Session *session, *next;
  DL_FOREACH_SAFE (relay->sessions, session, next)
  {
    if (session->dialler.len == 0)
      continue;
    bool now = is_cut (relay, &session->dialler, &session->front->vm);
    /* Bytes are missing from the stream of a healed session, so it is closed. */
    if (session->cut && !now)
      close_session (session);
    else
      session->cut = now;
  }
}

void
standin_relay_control (StandinRelay *relay, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  GrName a, b;
  bool ok = standin_json_name (body, "a", &a);
  standin_json_name (body, "b", &b);
  if (ok)
    set_cut (relay, &a, &b, json_is_true (json_object_get (body, "cut")));
  json_decref (body);
  if (ok)
    standin_call_json (call, 200, json_object ());
  else
    standin_call_error (call, 400, "invalid", "needed is a");
}
