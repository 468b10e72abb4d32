/* gentianrelayd: parses the settings and runs the daemon. */
#include <stdio.h>

#include "base/gr_opt.h"
#include "node/node.h"

#define OPT(name, type, field, value, def, min, max, help)                                         \
  {                                                                                                \
    name, type, offsetof (NodeSettings, field), value, def, min, max, help                         \
  }

static const GrOptSpec specs[] = {
  OPT ("vm-id", GR_OPT_TEXT, vm_id, "ID", NULL, 0, 0, "id of this VM in the platform's list"),
  OPT ("region", GR_OPT_TEXT, region, "NAME", NULL, 0, 0, "region of this VM"),
  OPT ("zone", GR_OPT_TEXT, zone, "NAME", NULL, 0, 0, "zone of this VM"),
  OPT ("http-listen", GR_OPT_TEXT, http_listen, "IP:PORT", "127.0.0.1:8080", 0, 0,
       "address for callers and operators"),
  OPT ("peer-listen", GR_OPT_TEXT, peer_listen, "IP:PORT", "127.0.0.1:8081", 0, 0,
       "address for peers"),
  OPT ("platform-url", GR_OPT_TEXT, platform_url, "URL", NULL, 0, 0,
       "base URL of the platform's log and VM list"),
  OPT ("peer-key", GR_OPT_TEXT, peer_key, "KEY", NULL, 0, 0,
       "shared key of the peers; better set by the environment"),
  OPT ("peer-key-previous", GR_OPT_TEXT, peer_key_previous, "KEY", "", 0, 0,
       "key that is also accepted during a rotation"),
  OPT ("log-level", GR_OPT_INT, log_level, "LEVEL", "6", 3, 7,
       "highest level written: 3 errors to 7 debugging"),
  OPT ("shutdown-deadline-ms", GR_OPT_INT, shutdown_deadline_ms, "MS", "30000", 0, 3600000,
       "time allowed for a graceful shutdown"),
  OPT ("snapshot-interval-ms", GR_OPT_INT, snapshot_interval_ms, "MS", "1800000", 1000, 86400000,
       "interval at which live records are appended again; at most half of the store's retention"),
};

int
main (int argc, char **argv)
{
  NodeSettings settings = { .argv = argv };
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (!gr_opt_parse ("gentianrelayd", "Scheduler daemon of an entry VM.", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &settings, NULL, 0, NULL, &verdict,
                     &err)) {
    fprintf (stderr, "gentianrelayd: %.*s: %s\n", GR_NAME_ARG (err.field), err.detail);
    return GR_EXIT_USAGE;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  return node_run (&settings);
}
