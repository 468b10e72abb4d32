/* TCP links between entry VMs: frames of a 4-byte big-endian length and a msgpack body.

   There is one link per pair of VMs, opened by the VM with the lower id. Both sides authenticate by
   an HMAC of a nonce under a shared key. A lost link is reopened with backoff while the peer is
   known. net_peers_new() sets SIGPIPE to be ignored in the whole process. */
#pragma once

#include <uv.h>

#include "base/gr_err.h"
#include "base/gr_log.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest frame body in bytes; a longer one closes the link. During the handshake the
   limit is NET_FRAME_HANDSHAKE_MAX, since the peer is not authenticated yet. */
#define NET_FRAME_HANDSHAKE_MAX 4096
#define NET_FRAME_MAX (4 * 1024 * 1024)

/* Splits a byte stream into frames. Does no I/O, so that it can be fuzzed. */
typedef struct {
  GrBuf pending;    /* bytes of an incomplete frame */
  size_t max_bytes; /* of a frame body; 0: NET_FRAME_MAX. It may change between frames */
} NetFrameReader;

typedef void (*NetFrameFunc) (void *user, GrStr body);

/* Calls func for each complete frame; body is valid during the call. Error: GR_ERR_TOO_LARGE for a
   frame above the limit of the reader. */
bool net_frame_feed (NetFrameReader *reader, GrStr bytes, NetFrameFunc func, void *user,
                     GrErr *err);
/* Appends the length and the body. */
void net_frame_append (GrBuf *out, GrStr body);
void net_frame_reader_clear (NetFrameReader *reader);

typedef struct {
  GrVmRef self;
  GrName region;
  GrName zone;
  const char *listen_host;
  int64_t listen_port;     /* 0 picks a free port */
  GrStr key;               /* shared key; empty only in tests */
  GrStr previous_key;      /* also accepted during a rotation; may be empty */
  int64_t queue_max_bytes; /* limit of unsent bytes per link; default 16777216 */
  GrLog log;
} NetPeerOptions;

typedef struct {
  GrVmRef vm;
  GrName region;
} NetPeerInfo;

/* Callbacks; each may be NULL. Their arguments are valid during the call. net_peers_free() calls
   none of them. */
typedef struct {
  void (*up) (void *user, const NetPeerInfo *peer);
  void (*down) (void *user, const NetPeerInfo *peer);
  /* uv_now() is no earlier than the time at which the frame was read. */
  void (*frame) (void *user, const NetPeerInfo *peer, GrStr body);
} NetPeerEvents;

/* Listen address of a VM as "IP:PORT" or "[IP6]:PORT". */
typedef struct {
  GrName vm;
  GrName address;
} NetPeerAddress;

typedef struct NetPeers NetPeers;

/* Starts listening. Errors: GR_ERR_INVALID if the address is malformed, GR_ERR_IO if it cannot be
   bound. */
NetPeers *net_peers_new (uv_loop_t *loop, const NetPeerOptions *options,
                         const NetPeerEvents *events, void *user, GrErr *err);
int net_peers_port (const NetPeers *peers);
/* Replaces the set of known VMs; links to other VMs are closed. */
void net_peers_set_known (NetPeers *peers, const NetPeerAddress *known, size_t count);
/* Queues one frame. Errors: GR_ERR_UNAVAILABLE if there is no link, GR_ERR_TOO_LARGE for a body
   above NET_FRAME_MAX, GR_ERR_OVERLOADED if the link's queue is full. After an error the frame was
   certainly not sent. */
bool net_peers_send (NetPeers *peers, const GrName *vm, GrStr body, GrErr *err);
/* Closes the link to the VM; the VM with the lower id dials again. For links on which nothing
   arrives although no reset was received. */
void net_peers_reset (NetPeers *peers, const GrName *vm);
/* Returns true if there is a link to the VM; there is none to this VM itself. */
bool net_peers_is_up (const NetPeers *peers, const GrName *vm);
int64_t net_peers_bytes_in (const NetPeers *peers);
int64_t net_peers_bytes_out (const NetPeers *peers);
/* Closes all links; the memory is released from the loop later. */
void net_peers_free (NetPeers *peers);

#ifdef __cplusplus
}
#endif
