#include "node/node_stream.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/gr_pack.h"
#include "base/gr_random.h"

/* The appends of all entry VMs to all streams together stay below this rate. */
#define APPENDS_PER_S 200
#define APPEND_INTERVAL_MIN_MS 5
/* Interval at which group commits and retries are checked while records are pending. */
#define WRITER_TICK_MS 5
/* Timeout of an append or a read, after which the store counts as unreachable. The writer retries
   the append with the same sequence number. */
#define STORE_TIMEOUT_MS 5000
#define READ_MAX_APPENDS 1000

struct NodeStream {
  Node *node;
  GrLog log;
  GrName name;
  char *url;
  NetHttpClient *client;
  LgsWriter *writer;
  LgsReader *reader;
  const NodeStreamEvents *events;
  void *user;
  uv_timer_t write_timer;
  uv_timer_t read_timer;
  int64_t poll_ms;
  bool reading;
  bool read_again;  /* another read follows the one in flight */
  bool read_failed; /* the last read failed */
  bool closed;
  int64_t read_sent_ms;
  int64_t raw_next; /* offset of the next read of a raw stream */
  size_t pending;   /* records not yet committed */
  int64_t bytes_counted;
};

typedef struct {
  NodeStream *stream;
  int64_t seq;
} AppendCall;

static void read_now (NodeStream *stream);
static void run_commands (NodeStream *stream, LgsCmds *cmds);

static void
count_bytes (NodeStream *stream)
{
  int64_t bytes = net_http_client_bytes (stream->client);
  gr_metric_add (&stream->node->metrics, GR_METRIC_CONTROL_BYTES, bytes - stream->bytes_counted);
  stream->bytes_counted = bytes;
}

static void
append_done (void *user, const NetHttpAnswer *answer)
{
  AppendCall *call = user;
  NodeStream *stream = call->stream;
  int64_t seq = call->seq;
  free (call);
  if (stream->closed)
    return;
  LgsAppendOutcome outcome = LGS_APPEND_UNKNOWN;
  if (answer->status == 200)
    outcome = LGS_APPEND_OK;
  else if (answer->status == 0 && answer->failure == GR_ERR_UNAVAILABLE)
    outcome = LGS_APPEND_REFUSED;
  if (outcome != LGS_APPEND_OK)
    gr_log (&stream->log, GR_EV_APPEND_RETRY, "stream %.*s append %lld: status %d",
            GR_NAME_ARG (stream->name), (long long) seq, answer->status);
  LgsCmds cmds = { 0 };
  lgs_writer_outcome (stream->writer, seq, outcome, node_now (stream->node), &cmds);
  run_commands (stream, &cmds);
  gr_list_clear (&cmds);
  if (outcome == LGS_APPEND_OK)
    node_stream_read_soon (stream);
}

static void
run_commands (NodeStream *stream, LgsCmds *cmds)
{
  for (size_t i = 0; i < cmds->count; i++) {
    const LgsCmd *cmd = &cmds->items[i];
    switch (cmd->kind) {
    case LGS_CMD_APPEND: {
      AppendCall *call = gr_calloc (1, sizeof *call);
      *call = (AppendCall){ stream, cmd->seq };
      NetHttpCall http = { .method = "POST",
                           .url = gr_str_from_c (stream->url),
                           .content_type = GR_STR ("application/octet-stream"),
                           .body = cmd->bytes,
                           .timeout_at_ms = node_now (stream->node) + STORE_TIMEOUT_MS };
      gr_metric_add (&stream->node->metrics, GR_METRIC_LOG_APPENDS, 1);
      net_http_client_send (stream->client, &http, append_done, call);
      break;
    }
    case LGS_CMD_COMMITTED:
      stream->pending--;
      gr_metric_add (&stream->node->metrics, GR_METRIC_LOG_RECORDS, 1);
      stream->events->committed (stream->user, cmd->token);
      break;
    }
  }
}

static void
write_tick (uv_timer_t *timer)
{
  NodeStream *stream = timer->data;
  LgsCmds cmds = { 0 };
  lgs_writer_tick (stream->writer, node_now (stream->node), &cmds);
  run_commands (stream, &cmds);
  gr_list_clear (&cmds);
  if (stream->pending == 0)
    uv_timer_stop (timer);
}

static bool
parse_raw_int (const msgpack_object *object, int64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > INT64_MAX)
    return false;
  *value = (int64_t) object->via.u64;
  return true;
}

static bool
parse_raw_record (const msgpack_object *object, int64_t *offset, GrStr *bytes)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2)
    return false;
  const msgpack_object *parts = object->via.array.ptr;
  if (!parse_raw_int (&parts[0], offset) || parts[1].type != MSGPACK_OBJECT_BIN)
    return false;
  *bytes = (GrStr){ parts[1].via.bin.ptr, parts[1].via.bin.size };
  return true;
}

bool
node_stream_take_raw (GrStr answer, int64_t *next, LgsRecordFunc func, void *user, bool *at_end,
                      bool *gap, GrErr *err)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  size_t used = 0;
  int64_t first = 0;
  int64_t end = 0;
  int64_t offset = 0;
  GrStr bytes = { NULL, 0 };
  bool ok
      = gr_pack_sizes_fit (answer)
        && msgpack_unpack_next (&unpacked, answer.data, answer.len, &used) == MSGPACK_UNPACK_SUCCESS
        && unpacked.data.type == MSGPACK_OBJECT_ARRAY && unpacked.data.via.array.size == 3;
  const msgpack_object *parts = ok ? unpacked.data.via.array.ptr : NULL;
  ok = ok && parse_raw_int (&parts[0], &first) && parse_raw_int (&parts[1], &end)
       && parts[2].type == MSGPACK_OBJECT_ARRAY;
  for (uint32_t i = 0; ok && i < parts[2].via.array.size; i++)
    ok = parse_raw_record (&parts[2].via.array.ptr[i], &offset, &bytes);
  if (!ok) {
    gr_err_set (err, GR_ERR_PROTOCOL, "log", "not an array [first, end, records]");
    goto done;
  }
  *gap = first > *next;
  if (*gap)
    *next = first;
  for (uint32_t i = 0; i < parts[2].via.array.size; i++) {
    parse_raw_record (&parts[2].via.array.ptr[i], &offset, &bytes);
    if (offset < *next)
      continue;
    *next = offset + 1;
    func (user, offset, NULL, bytes);
  }
  *at_end = *next >= end;
done:
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

static void
handle_answer (NodeStream *stream, GrStr body)
{
  bool at_end = false;
  bool gap = false;
  GrErr err = { 0 };
  bool ok = stream->events->raw ? node_stream_take_raw (
                body, &stream->raw_next, stream->events->record, stream->user, &at_end, &gap, &err)
                                : lgs_reader_take (stream->reader, body, stream->events->record,
                                                   stream->user, &at_end, &gap, &err);
  if (!ok) {
    stream->read_failed = true;
    gr_log (&stream->log, GR_EV_READ_FAILED, "stream %.*s: %s", GR_NAME_ARG (stream->name),
            err.detail);
    return;
  }
  stream->read_failed = false;
  if (gap && stream->events->gap)
    stream->events->gap (stream->user);
  if (at_end)
    stream->events->at_end (stream->user, stream->read_sent_ms);
  else
    stream->read_again = true;
}

static void
read_done (void *user, const NetHttpAnswer *answer)
{
  NodeStream *stream = user;
  if (stream->closed)
    return;
  count_bytes (stream);
  stream->reading = false;
  if (answer->status == 200) {
    handle_answer (stream, answer->body);
  } else {
    if (!stream->read_failed)
      gr_log (&stream->log, GR_EV_READ_FAILED, "stream %.*s: status %d", GR_NAME_ARG (stream->name),
              answer->status);
    stream->read_failed = true;
    stream->read_again = false;
  }
  if (stream->read_again)
    read_now (stream);
}

static void
read_now (NodeStream *stream)
{
  stream->read_again = false;
  stream->reading = true;
  stream->read_sent_ms = node_now (stream->node);
  char url[512];
  int len = snprintf (
      url, sizeof url, "%s?from=%lld&max=%d", stream->url,
      (long long) (stream->events->raw ? stream->raw_next : lgs_reader_next (stream->reader)),
      READ_MAX_APPENDS);
  NetHttpCall http = { .method = "GET",
                       .url = { url, (size_t) len },
                       .timeout_at_ms = stream->read_sent_ms + STORE_TIMEOUT_MS };
  gr_metric_add (&stream->node->metrics, GR_METRIC_LOG_READS, 1);
  net_http_client_send (stream->client, &http, read_done, stream);
}

static void
read_tick (uv_timer_t *timer)
{
  NodeStream *stream = timer->data;
  if (!stream->reading)
    read_now (stream);
}

NodeStream *
node_stream_new (Node *node, const char *name, int64_t poll_ms, const NodeStreamEvents *events,
                 void *user, GrErr *err)
{
  LgsOptions options = { .self = node->self, .stream = gr_name (name), .seed = gr_random () };
  lgs_options_defaults (&options);
  NodeStream *stream = gr_calloc (1, sizeof *stream);
  stream->node = node;
  stream->log = node_log_context (node, "log");
  stream->name = options.stream;
  stream->poll_ms = poll_ms;
  stream->events = events;
  stream->user = user;
  stream->writer = lgs_writer_new (&options, err);
  stream->reader = stream->writer ? lgs_reader_new (&options, 0, err) : NULL;
  if (!stream->reader) {
    lgs_writer_free (stream->writer);
    free (stream);
    return NULL;
  }
  GrBuf url = { 0 };
  gr_buf_printf (&url, "%s/log/%s", node->settings->platform_url, name);
  stream->url = url.data;
  /* One append and one read at a time. */
  stream->client = node_http_client (node, 2, 2);
  uv_timer_init (node->loop, &stream->write_timer);
  uv_timer_init (node->loop, &stream->read_timer);
  stream->write_timer.data = stream;
  stream->read_timer.data = stream;
  uv_timer_start (&stream->read_timer, read_tick, 0, (uint64_t) poll_ms);
  return stream;
}

void
node_stream_free (NodeStream *stream)
{
  if (!stream)
    return;
  stream->closed = true;
  uv_close ((uv_handle_t *) &stream->write_timer, NULL);
  uv_close ((uv_handle_t *) &stream->read_timer, NULL);
  net_http_client_free (stream->client);
  lgs_writer_free (stream->writer);
  lgs_reader_free (stream->reader);
}

bool
node_stream_append (NodeStream *stream, int64_t token, GrStr record, GrErr *err)
{
  GrErr local = { 0 };
  if (!lgs_writer_add (stream->writer, token, record, err ? err : &local)) {
    gr_log (&stream->log, GR_EV_QUEUE_FULL, "stream %.*s: %zu records", GR_NAME_ARG (stream->name),
            lgs_writer_queued (stream->writer));
    return false;
  }
  stream->pending++;
  /* The first tick runs in the next iteration of the loop, so that no callback runs inside this
     call. */
  if (!uv_is_active ((uv_handle_t *) &stream->write_timer))
    uv_timer_start (&stream->write_timer, write_tick, 0, WRITER_TICK_MS);
  return true;
}

typedef struct {
  NodeStream *stream;
  void (*done) (void *user, bool ok);
} RawCall;

static void
raw_append_done (void *user, const NetHttpAnswer *answer)
{
  RawCall call = *(RawCall *) user;
  free (user);
  if (!call.stream->closed)
    call.done (call.stream->user, answer->status == 200);
}

void
node_stream_append_raw (NodeStream *stream, GrStr record, void (*done) (void *user, bool ok))
{
  RawCall *call = gr_calloc (1, sizeof *call);
  *call = (RawCall){ stream, done };
  NetHttpCall http = { .method = "POST",
                       .url = gr_str_from_c (stream->url),
                       .content_type = GR_STR ("application/octet-stream"),
                       .body = record,
                       .timeout_at_ms = node_now (stream->node) + STORE_TIMEOUT_MS };
  gr_metric_add (&stream->node->metrics, GR_METRIC_LOG_APPENDS, 1);
  net_http_client_send (stream->client, &http, raw_append_done, call);
}

void
node_stream_read_soon (NodeStream *stream)
{
  if (stream->reading)
    stream->read_again = true;
  else
    read_now (stream);
}

bool
node_stream_up (const NodeStream *stream)
{
  return !stream->read_failed && !lgs_writer_stalled (stream->writer);
}

size_t
node_stream_pending (const NodeStream *stream)
{
  return stream->pending;
}

void
node_stream_set_writers (NodeStream *stream, size_t entry_vms)
{
  int64_t interval = (int64_t) entry_vms * 1000 / APPENDS_PER_S;
  if (interval < APPEND_INTERVAL_MIN_MS)
    interval = APPEND_INTERVAL_MIN_MS;
  lgs_writer_set_interval (stream->writer, interval);
}
