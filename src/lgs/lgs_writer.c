/* Group commit: one append is in flight and is retried with its sequence number until it is in the
   log. */
#include "base/gr_pack.h"
#include "lgs/lgs.h"

#include <msgpack.h>
#include <stdlib.h>

typedef struct {
  int64_t token;
  char *data;
  size_t len;
} Record;

typedef GR_LIST (Record) Records;

struct LgsWriter {
  LgsOptions options;
  Records queue;
  size_t head;        /* index of the oldest record of the queue; committed ones are before it */
  size_t queue_bytes; /* of the records that are not committed */
  int64_t next_seq;
  size_t in_flight; /* number of records of the append in flight, from head on; 0: none in flight */
  bool awaiting_outcome; /* an attempt was emitted and its outcome not reported yet */
  int64_t seq;           /* of the append in flight */
  GrBuf body;            /* of the append in flight */
  int64_t send_at_ms;    /* earliest time of the next retry or append */
  int64_t retry_ms;      /* current backoff; 0: the last append succeeded */
  uint64_t random;
};

void
lgs_options_defaults (LgsOptions *options)
{
  if (options->group_interval_ms == 0)
    options->group_interval_ms = 45;
  if (options->retry_min_ms == 0)
    options->retry_min_ms = 100;
  if (options->retry_max_ms == 0)
    options->retry_max_ms = 2000;
  if (options->append_max_bytes == 0)
    options->append_max_bytes = 262144;
  if (options->queue_max_records == 0)
    options->queue_max_records = 20000;
  if (options->queue_max_bytes == 0)
    options->queue_max_bytes = 33554432;
}

static bool
check_positive (const char *name, int64_t value, GrErr *err)
{
  if (value > 0)
    return true;
  return gr_err_set (err, GR_ERR_INVALID, name, "must be positive, is %lld", (long long) value);
}

LgsWriter *
lgs_writer_new (const LgsOptions *options, GrErr *err)
{
  LgsOptions checked = *options;
  lgs_options_defaults (&checked);
  if (checked.self.vm.len == 0 || checked.stream.len == 0) {
    gr_err_set (err, GR_ERR_MISSING, checked.self.vm.len == 0 ? "self" : "stream",
                "a VM id and a stream are required");
    return NULL;
  }
  if (!check_positive ("group_interval_ms", checked.group_interval_ms, err)
      || !check_positive ("retry_min_ms", checked.retry_min_ms, err)
      || !check_positive ("retry_max_ms", checked.retry_max_ms, err)
      || !check_positive ("append_max_bytes", checked.append_max_bytes, err)
      || !check_positive ("queue_max_records", checked.queue_max_records, err)
      || !check_positive ("queue_max_bytes", checked.queue_max_bytes, err))
    return NULL;
  LgsWriter *writer = gr_calloc (1, sizeof *writer);
  writer->options = checked;
  writer->next_seq = 1;
  writer->send_at_ms = INT64_MIN;
  writer->random = gr_name_hash (&checked.self.vm, checked.seed);
  return writer;
}

void
lgs_writer_free (LgsWriter *writer)
{
  if (!writer)
    return;
  for (size_t i = writer->head; i < writer->queue.count; i++)
    free (writer->queue.items[i].data);
  gr_list_clear (&writer->queue);
  gr_buf_clear (&writer->body);
  free (writer);
}

size_t
lgs_writer_queued (const LgsWriter *writer)
{
  return writer->queue.count - writer->head;
}

bool
lgs_writer_stalled (const LgsWriter *writer)
{
  return writer->retry_ms > 0;
}

void
lgs_writer_set_interval (LgsWriter *writer, int64_t interval_ms)
{
  if (interval_ms > 0)
    writer->options.group_interval_ms = interval_ms;
}

bool
lgs_writer_add (LgsWriter *writer, int64_t token, GrStr record, GrErr *err)
{
  const LgsOptions *options = &writer->options;
  if ((int64_t) record.len > options->append_max_bytes)
    return gr_err_set (err, GR_ERR_TOO_LARGE, "record", "%zu bytes exceed the limit of %lld bytes",
                       record.len, (long long) options->append_max_bytes);
  if ((int64_t) lgs_writer_queued (writer) >= options->queue_max_records
      || (int64_t) (writer->queue_bytes + record.len) > options->queue_max_bytes)
    return gr_err_set (err, GR_ERR_OVERLOADED, "queue",
                       "full with %zu records of %zu bytes in total", lgs_writer_queued (writer),
                       writer->queue_bytes);
  /* Records before head are committed. Remove them once they are at least half of the list. */
  if (writer->head > 0 && writer->head * 2 >= writer->queue.count) {
    writer->queue.count -= writer->head;
    memmove (writer->queue.items, writer->queue.items + writer->head,
             writer->queue.count * sizeof writer->queue.items[0]);
    writer->head = 0;
  }
  gr_list_push (&writer->queue, (Record){ token, gr_str_dup (record), record.len });
  writer->queue_bytes += record.len;
  return true;
}

/* Body of an append: [vm, incarnation, seq, [record, ...]]. */
static void
build_body (LgsWriter *writer)
{
  const GrVmRef *self = &writer->options.self;
  writer->body.len = 0;
  msgpack_packer packer;
  gr_pack_init (&packer, &writer->body);
  msgpack_pack_array (&packer, 4);
  msgpack_pack_str (&packer, self->vm.len);
  msgpack_pack_str_body (&packer, self->vm.data, self->vm.len);
  msgpack_pack_int64 (&packer, self->incarnation);
  msgpack_pack_int64 (&packer, writer->seq);
  msgpack_pack_array (&packer, writer->in_flight);
  for (size_t i = 0; i < writer->in_flight; i++) {
    const Record *record = &writer->queue.items[writer->head + i];
    msgpack_pack_bin (&packer, record->len);
    msgpack_pack_bin_body (&packer, record->data, record->len);
  }
}

static void
begin_append (LgsWriter *writer)
{
  size_t bytes = 0;
  while (writer->in_flight < lgs_writer_queued (writer)) {
    bytes += writer->queue.items[writer->head + writer->in_flight].len;
    if (writer->in_flight > 0 && (int64_t) bytes > writer->options.append_max_bytes)
      break;
    writer->in_flight++;
  }
  writer->seq = writer->next_seq++;
  build_body (writer);
}

void
lgs_writer_tick (LgsWriter *writer, int64_t now_ms, LgsCmds *out)
{
  if (writer->awaiting_outcome || now_ms < writer->send_at_ms || lgs_writer_queued (writer) == 0)
    return;
  if (writer->in_flight == 0) {
    begin_append (writer);
  } else if (writer->options.fault_new_seq_on_retry) {
    writer->seq = writer->next_seq++;
    build_body (writer);
  }
  writer->awaiting_outcome = true;
  writer->send_at_ms = now_ms + writer->options.group_interval_ms;
  gr_list_push (
      out,
      (LgsCmd){ .kind = LGS_CMD_APPEND, .seq = writer->seq, .bytes = gr_buf_str (&writer->body) });
}

/* Returns a random delay, uniform in [delay / 2, delay], from xorshift64*. */
static int64_t
jittered_delay (LgsWriter *writer, int64_t delay)
{
  writer->random ^= writer->random >> 12;
  writer->random ^= writer->random << 25;
  writer->random ^= writer->random >> 27;
  uint64_t random = writer->random * 0x2545f4914f6cdd1dU;
  return delay - (int64_t) (random % (uint64_t) (delay / 2 + 1));
}

void
lgs_writer_outcome (LgsWriter *writer, int64_t seq, LgsAppendOutcome outcome, int64_t now_ms,
                    LgsCmds *out)
{
  if (writer->in_flight == 0 || seq != writer->seq)
    return;
  switch (outcome) {
  case LGS_APPEND_OK:
    for (size_t i = 0; i < writer->in_flight; i++) {
      Record *record = &writer->queue.items[writer->head + i];
      gr_list_push (out, (LgsCmd){ .kind = LGS_CMD_COMMITTED, .token = record->token });
      writer->queue_bytes -= record->len;
      free (record->data);
    }
    writer->head += writer->in_flight;
    if (writer->head == writer->queue.count)
      writer->head = writer->queue.count = 0;
    writer->in_flight = 0;
    writer->awaiting_outcome = false;
    writer->retry_ms = 0;
    break;
  case LGS_APPEND_REFUSED:
  case LGS_APPEND_UNKNOWN:
    if (!writer->awaiting_outcome)
      break;
    writer->awaiting_outcome = false;
    writer->retry_ms = writer->retry_ms == 0 ? writer->options.retry_min_ms : writer->retry_ms * 2;
    if (writer->retry_ms > writer->options.retry_max_ms)
      writer->retry_ms = writer->options.retry_max_ms;
    writer->send_at_ms = now_ms + jittered_delay (writer, writer->retry_ms);
    break;
  }
}
