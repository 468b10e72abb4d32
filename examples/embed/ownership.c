/* Embeds the ownership module without the daemon: one process, a log in memory and virtual time.
   Claims one key and prints the time from which tasks may be started under it. */
#include <stdio.h>
#include <stdlib.h>

#include "own/own.h"

#define TICK_MS 100
#define END_MS 20000

typedef struct {
  OwnState *state;
  OwnCmds cmds;
  GR_LIST (OwnRecord) log;     /* the shared log */
  size_t read;                 /* records of log that were passed to the module */
  GR_LIST (int64_t) committed; /* tokens of appends whose result is still to be passed */
} Embedder;

/* Passes a message to the module. Appends are written to the log at once; other commands are not
   needed here. */
static void
step (Embedder *embedder, const OwnMsg *msg, int64_t now_ms)
{
  OwnCmds out = { 0 };
  own_step (embedder->state, msg, now_ms, &out);
  for (size_t i = 0; i < out.count; i++) {
    const OwnCmd *cmd = &out.items[i];
    if (cmd->kind != OWN_CMD_APPEND)
      continue;
    gr_list_push (&embedder->log, cmd->append.record);
    gr_list_push (&embedder->committed, cmd->append.token);
  }
  own_cmds_clear (&out);
}

/* Passes the results of appends, the new records and the end of the read to the module. */
static void
read_log (Embedder *embedder, int64_t now_ms)
{
  while (embedder->committed.count > 0) {
    int64_t token = embedder->committed.items[--embedder->committed.count];
    OwnMsg result
        = { .kind = OWN_MSG_APPEND_RESULT, .append_result = { token, OWN_APPEND_COMMITTED } };
    step (embedder, &result, now_ms);
  }
  while (embedder->read < embedder->log.count) {
    OwnMsg record = { .kind = OWN_MSG_RECORD, .record = embedder->log.items[embedder->read++] };
    step (embedder, &record, now_ms);
  }
  OwnMsg end = { .kind = OWN_MSG_LOG_READ, .log_read = { now_ms } };
  step (embedder, &end, now_ms);
}

int
main (void)
{
  OwnOptions options = { .region = gr_name ("attica") };
  options.self = (GrVmRef){ gr_name ("e1"), 1 };
  own_options_defaults (&options);
  GrErr err = { 0 };
  Embedder embedder = { .state = own_new (&options, &err) };
  if (!embedder.state) {
    fprintf (stderr, "%s: %s\n", gr_err_name (err.code), err.detail);
    return 1;
  }
  GrName key = gr_name ("part/attica/00");
  OwnMsg keys = { .kind = OWN_MSG_KEYS, .keys = { &key, 1 } };
  step (&embedder, &keys, 0);
  int64_t usable_ms = -1;
  for (int64_t now_ms = TICK_MS; now_ms <= END_MS && usable_ms < 0; now_ms += TICK_MS) {
    OwnListedVm self = { options.self.vm, options.self.incarnation, false };
    OwnMsg list = { .kind = OWN_MSG_LIST_READ, .list_read = { now_ms, &self, 1 } };
    step (&embedder, &list, now_ms);
    read_log (&embedder, now_ms);
    OwnMsg tick = { .kind = OWN_MSG_TICK };
    step (&embedder, &tick, now_ms);
    if (own_may_start (embedder.state, &key, now_ms))
      usable_ms = now_ms;
  }
  if (usable_ms >= 0)
    printf ("%.*s: owned and usable after %lld ms\n", GR_NAME_ARG (key), (long long) usable_ms);
  own_free (embedder.state);
  gr_list_clear (&embedder.log);
  gr_list_clear (&embedder.committed);
  return usable_ms >= 0 ? 0 : 1;
}
