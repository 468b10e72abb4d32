/* HTTP client of one stream of the platform's log: a writer with group commit, a polling reader. */
#pragma once

#include "lgs/lgs.h"
#include "node/node_ctx.h"

typedef struct NodeStream NodeStream;

/* Callbacks, called on the loop. */
typedef struct {
  LgsRecordFunc record;                          /* each record, in order, duplicates removed */
  void (*at_end) (void *user, int64_t sent_ms);  /* a read sent at sent_ms reached the end */
  void (*committed) (void *user, int64_t token); /* the record with this token is in the log */
  void (*gap) (void *user); /* retention removed records before they were read; may be NULL */
  bool raw; /* each append is one record without the framing of lgs; record gets NULL as writer */
} NodeStreamEvents;

/* Delivers the records of a response to GET /log/STREAM of a raw stream to func, from offset *next
   on, and moves *next past them. Sets *at_end if *next has reached the end of the stream, and *gap
   if retention removed offsets from *next on. Returns false with GR_ERR_PROTOCOL for malformed
   bytes; nothing is delivered then. */
bool node_stream_take_raw (GrStr answer, int64_t *next, LgsRecordFunc func, void *user,
                           bool *at_end, bool *gap, GrErr *err);

/* Starts to read the stream at once and then every poll_ms. events must stay valid as long as the
   stream. Returns NULL with an error of lgs_writer_new or lgs_reader_new. */
NodeStream *node_stream_new (Node *node, const char *name, int64_t poll_ms,
                             const NodeStreamEvents *events, void *user, GrErr *err);
void node_stream_free (NodeStream *stream);
/* Queues a copy of the record, which is retried until it is committed. Returns false with an error
   of lgs_writer_add; the record is never written then. err may be NULL. */
bool node_stream_append (NodeStream *stream, int64_t token, GrStr record, GrErr *err);
/* Appends the bytes as one record of a raw stream, without a retry, and calls done with the
   outcome. A record that was reported as failed may still be in the log, so a caller that appends
   it again must be able to handle a second copy. */
void node_stream_append_raw (NodeStream *stream, GrStr record, void (*done) (void *user, bool ok));
/* Starts a read now, or directly after the one in flight. */
void node_stream_read_soon (NodeStream *stream);
/* Returns false from a failed append or read until the next successful one. */
bool node_stream_up (const NodeStream *stream);
/* Number of appended records that are not committed yet. */
size_t node_stream_pending (const NodeStream *stream);
/* Sets the group commit interval by the number of entry VMs, which share the limit of appends per
   second. */
void node_stream_set_writers (NodeStream *stream, size_t entry_vms);
