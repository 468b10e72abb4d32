/* The daemon: tasks on one libuv loop that connect the pure modules with the platform, the targets,
   the peers and the callers. */
#pragma once

#include "base/gr_err.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  const char *vm_id;
  const char *region;
  const char *zone;
  const char *http_listen; /* IP:PORT for callers and operators */
  const char *peer_listen; /* IP:PORT for peers */
  const char *platform_url;
  const char *peer_key;
  const char *peer_key_previous; /* also accepted during a rotation; may be empty */
  int64_t log_level;
  int64_t shutdown_deadline_ms;
  int64_t snapshot_interval_ms; /* live records are appended anew; half of the store's retention */
  char **argv;                  /* to start again under a new incarnation */
} NodeSettings;

/* Runs until a planned stop ended. Returns an exit code of gr_opt.h. */
int node_run (const NodeSettings *settings);

#ifdef __cplusplus
}
#endif
