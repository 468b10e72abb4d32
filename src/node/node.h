/* The daemon gentianrelayd: a set of components on one libuv loop. They do the I/O with the
   platform, the targets, the peers and the callers for the modules that are state machines without
   I/O. */
#pragma once

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings of one process. The strings and argv must stay valid while node_run runs. */
typedef struct {
  const char *vm_id;
  const char *region;
  const char *zone;
  const char *http_listen;       /* IP:PORT for callers and operators */
  const char *peer_listen;       /* IP:PORT for peers */
  const char *platform_url;      /* base URL of the platform's log and VM list */
  const char *peer_key;          /* shared key of the peers */
  const char *peer_key_previous; /* also accepted during a rotation; may be empty */
  int64_t log_level;             /* highest level written; see GrLogLevel */
  int64_t shutdown_deadline_ms;  /* time allowed for a graceful shutdown */
  int64_t snapshot_interval_ms;  /* interval at which live records are appended again; at most half
                                    of the retention of the store */
  char **argv;                   /* for the restart under a new incarnation */
} NodeSettings;

/* Runs until a graceful shutdown (SIGTERM or SIGINT) has finished. Returns an exit code of
   gr_opt.h: GR_EXIT_OK, or GR_EXIT_USAGE if a component cannot be created. */
int node_run (const NodeSettings *settings);

#ifdef __cplusplus
}
#endif
