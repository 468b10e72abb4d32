#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

#include "net/net_peer.h"
#include "net/net_proof.h"
#include "standin/standin.h"

#define READ_BYTES 65536
#define BACKLOG 64

/* The listener in front of the peer port of one entry VM. */
typedef struct VmRelay {
  StandinRelay *relay;
  GrName vm;
  GrName peer; /* the VM's own address */
  uv_tcp_t listener;
  struct VmRelay *next;
} VmRelay;

typedef struct Session Session;

/* One side of a relayed connection. */
typedef struct {
  uv_tcp_t tcp;
  Session *session;
} Endpoint;

struct Session {
  VmRelay *vm_relay;
  GrName client_vm; /* sender of the hello; empty until it is read */
  Endpoint client;
  Endpoint server;
  uv_connect_t connect;
  NetFrameReader reader; /* extracts the hello */
  GrBuf pending;         /* bytes read before the server endpoint is connected */
  bool connected;
  bool cut; /* bytes are read and dropped, as in a network partition */
  bool closing;
  int open; /* endpoints that are not closed yet */
  Session *prev, *next;
};

typedef struct Cut {
  GrName a, b; /* if b is empty, all links of a */
  struct Cut *next;
} Cut;

typedef struct {
  uv_write_t write;
  char data[];
} Chunk;

struct StandinRelay {
  Standin *standin;
  VmRelay *vm_relays;
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
on_endpoint_closed (uv_handle_t *handle)
{
  Session *session = ((Endpoint *) handle->data)->session;
  if (--session->open > 0)
    return;
  net_frame_reader_clear (&session->reader);
  gr_buf_clear (&session->pending);
  free (session);
}

static void
close_session (Session *session)
{
  if (session->closing)
    return;
  session->closing = true;
  DL_DELETE (session->vm_relay->relay->sessions, session);
  uv_close ((uv_handle_t *) &session->client.tcp, on_endpoint_closed);
  uv_close ((uv_handle_t *) &session->server.tcp, on_endpoint_closed);
}

static void
on_written (uv_write_t *write, int status)
{
  (void) status;
  free (write->data);
}

static void
forward (Endpoint *to, GrStr bytes)
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
  Endpoint *endpoint = handle->data;
  *buf = uv_buf_init (endpoint->session->vm_relay->relay->read_buf, READ_BYTES);
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
  forward (&session->server, gr_buf_str (&session->pending));
  gr_buf_clear (&session->pending);
}

static void
connect_server (Session *session)
{
  const GrName *peer = &session->vm_relay->peer;
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
on_hello (void *user, GrStr body)
{
  Session *session = user;
  NetHello hello;
  if (session->client_vm.len > 0)
    return;
  if (!net_hello_decode (body, &hello, NULL)) {
    close_session (session);
    return;
  }
  session->client_vm = hello.vm.vm;
  session->cut = is_cut (session->vm_relay->relay, &hello.vm.vm, &session->vm_relay->vm);
  if (!session->cut)
    connect_server (session);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  Endpoint *endpoint = stream->data;
  Session *session = endpoint->session;
  if (len < 0) {
    close_session (session);
    return;
  }
  if (session->cut)
    return;
  GrStr bytes = { buf->base, (size_t) len };
  if (session->connected) {
    forward (endpoint == &session->client ? &session->server : &session->client, bytes);
    return;
  }
  gr_buf_append_str (&session->pending, bytes);
  if (session->client_vm.len == 0
      && !net_frame_feed (&session->reader, bytes, on_hello, session, NULL))
    close_session (session);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  VmRelay *vm_relay = listener->data;
  uv_loop_t *loop = vm_relay->relay->standin->loop;
  if (status != 0)
    return;
  Session *session = gr_calloc (1, sizeof *session);
  session->vm_relay = vm_relay;
  session->client.session = session;
  session->server.session = session;
  uv_tcp_init (loop, &session->client.tcp);
  uv_tcp_init (loop, &session->server.tcp);
  session->client.tcp.data = &session->client;
  session->server.tcp.data = &session->server;
  session->open = 2;
  DL_APPEND (vm_relay->relay->sessions, session);
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
  VmRelay *vm_relay = relay->vm_relays;
  while (vm_relay && !gr_name_equal (&vm_relay->vm, vm))
    vm_relay = vm_relay->next;
  if (!vm_relay) {
    struct sockaddr_in any;
    vm_relay = gr_calloc (1, sizeof *vm_relay);
    vm_relay->relay = relay;
    vm_relay->vm = *vm;
    uv_tcp_init (relay->standin->loop, &vm_relay->listener);
    vm_relay->listener.data = vm_relay;
    vm_relay->next = relay->vm_relays;
    relay->vm_relays = vm_relay;
    if (uv_ip4_addr (relay->standin->options.listen_host, 0, &any) != 0
        || uv_tcp_bind (&vm_relay->listener, (struct sockaddr *) &any, 0) != 0
        || uv_listen ((uv_stream_t *) &vm_relay->listener, BACKLOG, on_connection) != 0)
      return false;
  }
  vm_relay->peer = *peer;
  struct sockaddr_in bound;
  int len = sizeof bound;
  if (uv_tcp_getsockname (&vm_relay->listener, (struct sockaddr *) &bound, &len) != 0)
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
    if (session->client_vm.len == 0)
      continue;
    bool is_cut_now = is_cut (relay, &session->client_vm, &session->vm_relay->vm);
    /* The stream of a session that was cut has a gap, so the session is closed and not resumed. */
    if (session->cut && !is_cut_now)
      close_session (session);
    else
      session->cut = is_cut_now;
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
