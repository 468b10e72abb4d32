/* One stream of the platform's log: a writer with group commit and a reader that polls. */
#pragma once

#include "lgs/lgs.h"
#include "node/node_ctx.h"

typedef struct NodeStream NodeStream;

typedef struct {
  LgsRecordFunc record;                         /* each record, in order, duplicates removed */
  void (*at_end) (void *user, int64_t sent_ms); /* a read sent at sent_ms reached the end */
  void (*committed) (void *user, int64_t token);
  void (*gap) (void *user); /* retention removed records before they were read */
  bool raw; /* each append is one record without the framing of lgs; the writer is NULL */
} NodeStreamEvents;

/* Parses the answer of GET /log/STREAM of a raw stream and delivers the records from *next on.
   Error GR_ERR_PROTOCOL for malformed bytes; nothing is delivered then. */
bool node_stream_take_raw (GrStr answer, int64_t *next, LgsRecordFunc func, void *user,
                           bool *at_end, bool *gap, GrErr *err);

NodeStream *node_stream_new (Node *node, const char *name, int64_t poll_ms,
                             const NodeStreamEvents *events, void *user, GrErr *err);
void node_stream_free (NodeStream *stream);
/* Error GR_ERR_OVERLOADED: certainly not written. */
bool node_stream_append (NodeStream *stream, int64_t token, GrStr record, GrErr *err);
/* Appends the bytes as one record of a raw stream, once and without a retry; done runs with the
   outcome. The caller makes sure that a second copy does no harm. */
void node_stream_append_raw (NodeStream *stream, GrStr record, void (*done) (void *user, bool ok));
/* Starts a read now; if one is in flight, another follows it. */
void node_stream_read_soon (NodeStream *stream);
/* False after a failed append or read until the next success. */
bool node_stream_up (const NodeStream *stream);
size_t node_stream_pending (const NodeStream *stream);
/* Group commit interval by the number of entry VMs. */
void node_stream_set_writers (NodeStream *stream, size_t entry_vms);
