/* Durable streams over the platform's append-only log, as state machines without I/O.

   The writer batches records into one append (group commit), keeps one append in flight per stream
   and retries it with the same sequence number until it is in the log. The reader follows a stream
   from an offset, drops duplicate appends by writer and sequence number, and reports gaps where
   retention has removed unread offsets. One thread uses a writer or reader. Times are local
   monotonic ms. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  GrVmRef self;                /* writer only: identifies its appends */
  GrName stream;               /* writer only */
  int64_t group_interval_ms;   /* minimum time between appends; default 45 */
  int64_t retry_min_ms;        /* first retry delay, doubled up to retry_max_ms; default 100 */
  int64_t retry_max_ms;        /* default 2000 */
  int64_t append_max_bytes;    /* sum of the records of one append; default 262144 */
  int64_t queue_max_records;   /* default 20000 */
  int64_t queue_max_bytes;     /* default 33554432 */
  uint64_t seed;               /* for the jitter of retries */
  bool fault_new_seq_on_retry; /* test-only: a retry gets a new sequence number, so that duplicates
                                  are not recognized */
  bool fault_no_dedupe;        /* test-only: the reader delivers duplicates */
} LgsOptions;

typedef enum {
  LGS_APPEND_OK,      /* in the log */
  LGS_APPEND_REFUSED, /* the store refused this attempt */
  LGS_APPEND_UNKNOWN  /* may be in the log or may still appear */
} LgsAppendOutcome;

typedef enum {
  LGS_CMD_APPEND,   /* append bytes to the stream (POST); report the outcome with seq */
  LGS_CMD_COMMITTED /* the record with this token is in the log */
} LgsCmdKind;

typedef struct {
  LgsCmdKind kind;
  int64_t seq;   /* APPEND */
  int64_t token; /* COMMITTED */
  GrStr bytes;   /* APPEND: valid until the outcome is reported */
} LgsCmd;

typedef GR_LIST (LgsCmd) LgsCmds;

typedef struct LgsWriter LgsWriter;

/* Sets all numeric options that are 0 to their defaults, except seed. */
void lgs_options_defaults (LgsOptions *options);
/* Options that are 0 get their defaults. Returns NULL with GR_ERR_MISSING without self or stream
   and GR_ERR_INVALID for negative numbers. */
LgsWriter *lgs_writer_new (const LgsOptions *options, GrErr *err);
void lgs_writer_free (LgsWriter *writer);
/* Queues a copy of one record; token identifies it in LGS_CMD_COMMITTED. Returns false with
   GR_ERR_OVERLOADED if the queue is full and GR_ERR_TOO_LARGE for a record above append_max_bytes;
   the record is not queued then and never written. */
bool lgs_writer_add (LgsWriter *writer, int64_t token, GrStr record, GrErr *err);
/* Processes the outcome of the append with seq. After REFUSED and UNKNOWN the append is retried
   with the same seq after a backoff. */
void lgs_writer_outcome (LgsWriter *writer, int64_t seq, LgsAppendOutcome outcome, int64_t now_ms,
                         LgsCmds *out);
/* Emits the next append, or the retry of the one in flight, if it is due. */
void lgs_writer_tick (LgsWriter *writer, int64_t now_ms, LgsCmds *out);
/* Sets group_interval_ms, which depends on the number of entry VMs. An interval that is not
   positive is ignored. */
void lgs_writer_set_interval (LgsWriter *writer, int64_t interval_ms);
/* Number of records that are not committed, including those in flight. */
size_t lgs_writer_queued (const LgsWriter *writer);
/* Returns true if the last append was refused or its outcome is unknown: new records have to wait
   for the store. */
bool lgs_writer_stalled (const LgsWriter *writer);

typedef struct LgsReader LgsReader;

/* Called for each record of an append that is not a duplicate, in log order. writer and record are
   valid during the call only. */
typedef void (*LgsRecordFunc) (void *user, int64_t offset, const GrVmRef *writer, GrStr record);

/* Returns NULL with GR_ERR_INVALID for a negative offset. */
LgsReader *lgs_reader_new (const LgsOptions *options, int64_t from_offset, GrErr *err);
void lgs_reader_free (LgsReader *reader);
/* Appends to out the state that a snapshot of the stream needs: the next offset and the newest
   sequence number of each writer, so that a late duplicate of an append is still recognized after
   the snapshot is restored. */
void lgs_reader_save (const LgsReader *reader, GrBuf *out);
/* Returns a reader that continues from a saved state, or NULL with GR_ERR_PROTOCOL for malformed
   bytes. */
LgsReader *lgs_reader_restore (const LgsOptions *options, GrStr saved, GrErr *err);
/* Returns the offset to read next. */
int64_t lgs_reader_next (const LgsReader *reader);
/* Returns the number of appends that were skipped because their body is malformed. */
int64_t lgs_reader_skipped (const LgsReader *reader);
/* Delivers the records of a response to GET /log/STREAM to func. Sets *at_end to true if the reader
   has reached the end of the stream, and *gap if retention removed offsets that were not read.
   Returns false with GR_ERR_PROTOCOL for a malformed response; nothing is delivered then. */
bool lgs_reader_take (LgsReader *reader, GrStr response, LgsRecordFunc func, void *user,
                      bool *at_end, bool *gap, GrErr *err);

#ifdef __cplusplus
}
#endif
