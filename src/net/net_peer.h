/* TCP links between entry VMs: frames of a 4-byte big-endian length and a msgpack body.

   There is one link per pair, opened by the VM with the lower id, proved on both sides by an HMAC
   of a nonce under a shared key, and reopened with backoff while the peer is known. Opening the
   links makes the process ignore SIGPIPE. */
#pragma once

#include <uv.h>

#include "base/gr_err.h"
#include "base/gr_log.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest frame body in bytes; a longer one closes the link. */
#define NET_FRAME_MAX (4 * 1024 * 1024)

/* Splits a byte stream into frames. Pure, so that it can be fuzzed. */
typedef struct {
  GrBuf pending;
} NetFrameReader;

typedef void (*NetFrameFunc) (void *user, GrStr body);

/* Error GR_ERR_TOO_LARGE for a frame above NET_FRAME_MAX. */
bool net_frame_feed (NetFrameReader *reader, GrStr bytes, NetFrameFunc func, void *user,
                     GrErr *err);
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
  int64_t queue_max_bytes; /* unsent bytes per link; further frames are refused; default 16777216 */
  GrLog log;
} NetPeerOptions;

typedef struct {
  GrVmRef vm;
  GrName region;
} NetPeerInfo;

typedef struct {
  void (*up) (void *user, const NetPeerInfo *peer);
  void (*down) (void *user, const NetPeerInfo *peer);
  void (*frame) (void *user, const NetPeerInfo *peer, GrStr body);
} NetPeerEvents;

/* Where a VM listens. Address as "IP:PORT". */
typedef struct {
  GrName vm;
  GrName address;
} NetPeerAddress;

typedef struct NetPeers NetPeers;

NetPeers *net_peers_new (uv_loop_t *loop, const NetPeerOptions *options,
                         const NetPeerEvents *events, void *user, GrErr *err);
int net_peers_port (const NetPeers *peers);
/* Replaces the set of known VMs; links to others are closed. */
void net_peers_set_known (NetPeers *peers, const NetPeerAddress *known, size_t count);
/* Queues one frame. Errors: GR_ERR_UNAVAILABLE without a link (certainly not sent),
   GR_ERR_OVERLOADED if the link's queue is full (certainly not sent). */
bool net_peers_send (NetPeers *peers, const GrName *vm, GrStr body, GrErr *err);
/* Closes the link to the VM, which is dialled again. For links that went silent without a reset. */
void net_peers_reset (NetPeers *peers, const GrName *vm);
bool net_peers_is_up (const NetPeers *peers, const GrName *vm);
int64_t net_peers_bytes_in (const NetPeers *peers);
int64_t net_peers_bytes_out (const NetPeers *peers);
void net_peers_free (NetPeers *peers);

#ifdef __cplusplus
}
#endif
