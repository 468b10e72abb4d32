#include <stdlib.h>

#include <msgpack.h>
#include <uthash.h>

#include "standin/standin.h"

/* Limit of record bytes in one reply. The first record is sent even if it is larger. */
#define READ_MAX_BYTES (4 * 1024 * 1024)
#define READ_DEFAULT_RECORDS 1000

typedef struct {
  char *data;
  size_t len;
} Record;

typedef struct {
  char name[GR_NAME_MAX + 1];
  GR_LIST (Record) records;
  size_t dropped; /* records at the front of the list that retention has freed */
  int64_t end;    /* offset after the newest record */
  UT_hash_handle hh;
} Stream;

struct StandinLog {
  Standin *standin;
  Stream *streams;
  bool outage;
  int64_t lost_permille;
  int64_t slow_ms;
  int64_t appends;
  int64_t append_bytes;
};

StandinLog *
standin_log_new (Standin *standin)
{
  StandinLog *log = gr_calloc (1, sizeof *log);
  log->standin = standin;
  return log;
}

static Stream *
find_stream (StandinLog *log, GrStr name)
{
  Stream *stream = NULL;
  HASH_FIND (hh, log->streams, name.data, name.len, stream);
  if (stream)
    return stream;
  stream = gr_calloc (1, sizeof *stream);
  memcpy (stream->name, name.data, name.len);
  HASH_ADD (hh, log->streams, name, (unsigned) name.len, stream);
  return stream;
}

static void
apply_retention (Stream *stream, int64_t limit)
{
  while (limit > 0 && (int64_t) (stream->records.count - stream->dropped) > limit)
    free (stream->records.items[stream->dropped++].data);
  if (stream->dropped < 1024 || stream->dropped < stream->records.count / 2)
    return;
  size_t left = stream->records.count - stream->dropped;
  memmove (stream->records.items, stream->records.items + stream->dropped, left * sizeof (Record));
  stream->records.count = left;
  stream->dropped = 0;
}

/* Returns STREAM of the path "/log/STREAM". */
static GrStr
stream_name (const StandinCall *call)
{
  size_t skip = sizeof "/log/" - 1;
  return (GrStr){ call->path.data + skip, call->path.len - skip };
}

static void
append (StandinCall *call)
{
  StandinLog *log = call->standin->log;
  if (log->outage) {
    standin_call_error (call, 503, "unavailable", "the log is down");
    return;
  }
  Stream *stream = find_stream (log, stream_name (call));
  Record record = { gr_str_dup (gr_buf_str (&call->body)), call->body.len };
  gr_list_push (&stream->records, record);
  int64_t offset = stream->end++;
  apply_retention (stream, call->standin->options.retention_records);
  log->appends++;
  log->append_bytes += (int64_t) call->body.len;
  call->drop_reply = standin_chance (call->standin, log->lost_permille);
  standin_call_json (call, 200, json_pack ("{s:I}", "offset", (json_int_t) offset));
}

static int
write_buf (void *data, const char *bytes, size_t len)
{
  gr_buf_append (data, bytes, len);
  return 0;
}

static void
read_records (StandinCall *call)
{
  StandinLog *log = call->standin->log;
  if (log->outage) {
    standin_call_error (call, 503, "unavailable", "the log is down");
    return;
  }
  Stream *stream = find_stream (log, stream_name (call));
  GrStr query = gr_buf_str (&call->query);
  int64_t first = stream->end - (int64_t) (stream->records.count - stream->dropped);
  int64_t from = net_http_query_int (query, GR_STR ("from"), 0);
  int64_t max = net_http_query_int (query, GR_STR ("max"), READ_DEFAULT_RECORDS);
  if (from < first)
    from = first;
  int64_t count = 0;
  size_t bytes = 0;
  while (from + count < stream->end && count < max) {
    size_t len = stream->records.items[stream->dropped + (size_t) (from + count - first)].len;
    if (count > 0 && bytes + len > READ_MAX_BYTES)
      break;
    bytes += len;
    count++;
  }
  GrBuf out = { 0 };
  msgpack_packer packer;
  msgpack_packer_init (&packer, &out, write_buf);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_int64 (&packer, first);
  msgpack_pack_int64 (&packer, stream->end);
  msgpack_pack_array (&packer, (size_t) count);
  for (int64_t i = 0; i < count; i++) {
    const Record *record = &stream->records.items[stream->dropped + (size_t) (from + i - first)];
    msgpack_pack_array (&packer, 2);
    msgpack_pack_int64 (&packer, from + i);
    msgpack_pack_bin (&packer, record->len);
    msgpack_pack_bin_body (&packer, record->data, record->len);
  }
  standin_call_reply (call, 200, "application/msgpack", gr_buf_str (&out));
  gr_buf_clear (&out);
}

void
standin_log_call (StandinLog *log, StandinCall *call, GrStr stream)
{
  bool is_append = gr_str_equal (gr_name_str (&call->method), GR_STR ("POST"));
  if (stream.len == 0 || stream.len > GR_NAME_MAX) {
    standin_call_error (call, 400, "invalid", "stream names have 1 to 63 bytes");
    return;
  }
  if (!is_append && !gr_str_equal (gr_name_str (&call->method), GR_STR ("GET"))) {
    standin_call_error (call, 405, "invalid", "allowed are POST and GET");
    return;
  }
  /* Half of the delay passes before the call takes effect, so that it can take effect after its
     caller has timed out, and half between the effect and the reply. */
  int64_t delay = log->slow_ms + (is_append ? log->standin->options.append_delay_ms : 0);
  call->reply_delay_ms = delay - delay / 2;
  if (delay / 2 > 0)
    standin_call_defer (call, delay / 2, is_append ? append : read_records);
  else if (is_append)
    append (call);
  else
    read_records (call);
}

void
standin_log_control (StandinLog *log, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  const json_t *outage = json_object_get (body, "outage");
  if (json_is_boolean (outage))
    log->outage = json_is_true (outage);
  log->lost_permille = standin_json_int (body, "lost_permille", log->lost_permille);
  log->slow_ms = standin_json_int (body, "slow_ms", log->slow_ms);
  json_decref (body);
  standin_call_json (call, 200,
                     json_pack ("{s:b,s:I,s:I,s:I,s:I}", "outage", log->outage, "lost_permille",
                                (json_int_t) log->lost_permille, "slow_ms",
                                (json_int_t) log->slow_ms, "appends", (json_int_t) log->appends,
                                "append_bytes", (json_int_t) log->append_bytes));
}
