/* Processor time of one frame on a peer link over loopback, sender and receiver together, and the
   bytes of ownership records, for the capacity page. One frame is in flight at a time, so that
   system calls are not shared between frames. Prints name=value lines. */
#include <stdlib.h>

#include "capacity.h"
#include "net/net_peer.h"
#include "own/own.h"

#define FRAMES 10000
/* Turns of the event loop after which a link that is not up counts as failed. */
#define LOOP_TURNS_MAX 100000

typedef struct Endpoint {
  NetPeers *peers;
  GrName other;
  GrStr body;
  int up;
  int *left;
} Endpoint;

static void
link_up (void *user, const NetPeerInfo *info)
{
  (void) info;
  ((Endpoint *) user)->up++;
}

static void
link_down (void *user, const NetPeerInfo *info)
{
  (void) info;
  ((Endpoint *) user)->up--;
}

static void
on_frame (void *user, const NetPeerInfo *info, GrStr body)
{
  Endpoint *endpoint = user;
  (void) info;
  (void) body;
  if (--*endpoint->left > 0)
    net_peers_send (endpoint->peers, &endpoint->other, endpoint->body, NULL);
}

static bool
open_endpoint (Endpoint *endpoint, uv_loop_t *loop, const char *vm, const char *other, int *left)
{
  static const NetPeerEvents events = { link_up, link_down, on_frame };
  NetPeerOptions options = { .self = { gr_name (vm), 1733299200000 },
                             .region = gr_name ("north"),
                             .zone = gr_name ("north-1"),
                             .listen_host = "127.0.0.1",
                             .key = GR_STR ("capacity") };
  GrErr err = { 0 };
  endpoint->other = gr_name (other);
  endpoint->left = left;
  endpoint->peers = net_peers_new (loop, &options, &events, endpoint, &err);
  if (!endpoint->peers)
    fprintf (stderr, "%s\n", err.detail);
  return endpoint->peers != NULL;
}

static void
set_peer_address (Endpoint *to, const Endpoint *other)
{
  NetPeerAddress address = { .vm = to->other };
  address.address = gr_name_format ("127.0.0.1:%d", net_peers_port (other->peers));
  net_peers_set_known (to->peers, &address, 1);
}

static void
print_record (const char *name, OwnRecordKind kind)
{
  OwnRecord record = { .kind = kind, .key = gr_name ("group/north/rack-0123"), .epoch = 12 };
  record.writer.vm = gr_name ("entry-01");
  record.writer.incarnation = 1733299200000;
  record.to = record.writer;
  GrBuf buf = { 0 };
  own_record_encode (&record, &buf);
  printf ("own_record_%s_bytes=%zu\n", name, buf.len);
  gr_buf_clear (&buf);
}

int
main (void)
{
  static char bytes[4096];
  static const size_t sizes[] = { 44, 127, 380, 4096 };
  uv_loop_t loop;
  int left = 0;
  Endpoint a = { 0 };
  Endpoint b = { 0 };
  gr_log_set_level (GR_LOG_ERR);
  uv_loop_init (&loop);
  if (!open_endpoint (&a, &loop, "entry-01", "entry-02", &left)
      || !open_endpoint (&b, &loop, "entry-02", "entry-01", &left))
    return 1;
  set_peer_address (&a, &b);
  set_peer_address (&b, &a);
  for (int i = 0; i < LOOP_TURNS_MAX && (a.up == 0 || b.up == 0); i++)
    uv_run (&loop, UV_RUN_ONCE);
  if (a.up == 0 || b.up == 0) {
    fprintf (stderr, "the peer link did not come up\n");
    return 1;
  }
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++) {
    a.body = b.body = (GrStr){ bytes, sizes[i] };
    left = FRAMES;
    int64_t sent = net_peers_bytes_out (a.peers) + net_peers_bytes_out (b.peers);
    double start = capacity_cpu_us ();
    net_peers_send (a.peers, &a.other, a.body, NULL);
    while (left > 0)
      uv_run (&loop, UV_RUN_ONCE);
    printf ("peer_frame_us_%zu=%.2f\n", sizes[i], (capacity_cpu_us () - start) / FRAMES);
    sent = net_peers_bytes_out (a.peers) + net_peers_bytes_out (b.peers) - sent;
    printf ("peer_frame_bytes_%zu=%.1f\n", sizes[i], (double) sent / FRAMES);
  }
  print_record ("claim", OWN_RECORD_CLAIM);
  print_record ("refresh", OWN_RECORD_REFRESH);
  print_record ("join", OWN_RECORD_JOIN);
  return 0;
}
