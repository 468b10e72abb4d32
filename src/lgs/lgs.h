/* Durable streams over the platform's append-only log, as pure state machines.

   The writer gathers records into one append (group commit), keeps one append in flight per stream
   and retries it with the same sequence number until its outcome is certain. The reader follows a
   stream from an offset, removes duplicates by writer and sequence number, and reports gaps that
   retention left. One thread uses a state; times are local monotonic ms. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  GrVmRef self;
  GrName stream;
  int64_t group_interval_ms;   /* least time between appends; default 45 */
  int64_t retry_min_ms;        /* first retry delay, doubled up to retry_max_ms; default 100 */
  int64_t retry_max_ms;        /* default 2000 */
  int64_t append_max_bytes;    /* default 262144 */
  int64_t queue_max_records;   /* default 20000 */
  int64_t queue_max_bytes;     /* default 33554432 */
  uint64_t seed;               /* jitter of retries */
  bool fault_new_seq_on_retry; /* test-only: breaks duplicate removal */
  bool fault_no_dedupe;        /* test-only: the reader keeps duplicates */
} LgsOptions;

typedef enum {
  LGS_APPEND_OK,
  LGS_APPEND_REFUSED,
  LGS_APPEND_UNKNOWN
} LgsAppendOutcome;

typedef enum {
  LGS_CMD_APPEND,   /* POST bytes to the stream; report the outcome with seq */
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

void lgs_options_defaults (LgsOptions *options);
LgsWriter *lgs_writer_new (const LgsOptions *options, GrErr *err);
void lgs_writer_free (LgsWriter *writer);
/* Queues one record. Errors: GR_ERR_OVERLOADED when the queue is full, GR_ERR_TOO_LARGE for a
   record above append_max_bytes; the record is then certainly not written. */
bool lgs_writer_add (LgsWriter *writer, int64_t token, GrStr record, GrErr *err);
/* Outcome of the append with seq; REFUSED and UNKNOWN are both retried with the same seq. */
void lgs_writer_outcome (LgsWriter *writer, int64_t seq, LgsAppendOutcome outcome, int64_t now_ms,
                         LgsCmds *out);
void lgs_writer_tick (LgsWriter *writer, int64_t now_ms, LgsCmds *out);
/* Sets the interval when the number of entry VMs changes. */
void lgs_writer_set_interval (LgsWriter *writer, int64_t interval_ms);
size_t lgs_writer_queued (const LgsWriter *writer);
/* True if the last append failed or its outcome is unknown: new records would wait for the store.
 */
bool lgs_writer_stalled (const LgsWriter *writer);

typedef struct LgsReader LgsReader;

/* Called for each record of an append that is not a duplicate, in order. */
typedef void (*LgsRecordFunc) (void *user, int64_t offset, const GrVmRef *writer, GrStr record);

LgsReader *lgs_reader_new (const LgsOptions *options, int64_t from_offset, GrErr *err);
void lgs_reader_free (LgsReader *reader);
/* State that a snapshot of the stream has to carry: the next offset and the newest sequence number
   of each writer, so that a late second copy of an append is recognised after the snapshot. */
void lgs_reader_save (const LgsReader *reader, GrBuf *out);
/* Reader that goes on from such a state. Error GR_ERR_PROTOCOL for malformed bytes. */
LgsReader *lgs_reader_restore (const LgsOptions *options, GrStr saved, GrErr *err);
/* Offset of the next read. */
int64_t lgs_reader_next (const LgsReader *reader);
/* Number of appends that were skipped because their body is malformed. */
int64_t lgs_reader_skipped (const LgsReader *reader);
/* Takes the answer of GET /log/STREAM. *at_end is true if it reached the end of the stream; *gap if
   retention removed offsets that were not read. Error GR_ERR_PROTOCOL for malformed bytes; nothing
   is delivered then. */
bool lgs_reader_take (LgsReader *reader, GrStr answer, LgsRecordFunc func, void *user, bool *at_end,
                      bool *gap, GrErr *err);

#ifdef __cplusplus
}
#endif
