#include "cli/cli_stream.h"

#include <msgpack.h>
#include <stdio.h>

#include "base/gr_pack.h"
#include "cli/cli_http.h"

#define READ_RECORDS_MAX 100
#define CALL_TIMEOUT_MS 5000

static void
apply_record (CliStream *stream, int64_t offset, GrStr record)
{
  bool awaited = stream->record.len > 0 && !stream->record_found && offset >= stream->record_from
                 && gr_str_equal (record, stream->record);
  CfgProblem problem;
  CfgVerdict verdict = cfg_store_record (stream->store, offset, record, &problem);
  if (awaited) {
    stream->record_found = true;
    stream->record_verdict = verdict;
    stream->record_problem = problem;
  }
}

/* Applies a response [first, end, [[offset, bin], ...]] and advances *next past its records. first
   is the oldest retained offset, so records before it are skipped. */
static bool
apply_answer (CliStream *stream, const msgpack_object *root, int64_t *next, GrErr *err)
{
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 3)
    return gr_err_set (err, GR_ERR_PROTOCOL, "log", "the answer is not an array of 3");
  const msgpack_object *items = root->via.array.ptr;
  if (items[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || items[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER || items[2].type != MSGPACK_OBJECT_ARRAY
      || items[0].via.u64 > INT64_MAX || items[1].via.u64 > INT64_MAX)
    return gr_err_set (err, GR_ERR_PROTOCOL, "log", "the answer lacks offsets or records");
  stream->end = (int64_t) items[1].via.u64;
  if (*next < (int64_t) items[0].via.u64)
    *next = (int64_t) items[0].via.u64;
  const msgpack_object_array *records = &items[2].via.array;
  for (uint32_t i = 0; i < records->size; i++) {
    const msgpack_object *pair = &records->ptr[i];
    if (pair->type != MSGPACK_OBJECT_ARRAY || pair->via.array.size != 2
        || pair->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
        || pair->via.array.ptr[1].type != MSGPACK_OBJECT_BIN
        || pair->via.array.ptr[0].via.u64 > INT64_MAX - 1)
      return gr_err_set (err, GR_ERR_PROTOCOL, "log", "record %u is malformed", i);
    int64_t offset = (int64_t) pair->via.array.ptr[0].via.u64;
    const msgpack_object_bin *bin = &pair->via.array.ptr[1].via.bin;
    if (offset >= *next)
      *next = offset + 1;
    apply_record (stream, offset, (GrStr){ bin->ptr, bin->size });
  }
  return true;
}

bool
cli_stream_read (CliStream *stream, GrErr *err)
{
  int64_t next = cfg_store_next (stream->store);
  /* Stops at the end reported by the first response, so that the loop also ends on a stream that
     grows faster than it is read. */
  int64_t stop_at = INT64_MAX;
  while (next < stop_at) {
    char path[96];
    snprintf (path, sizeof path, "/log/config?from=%lld&max=%d", (long long) next,
              READ_RECORDS_MAX);
    CliCall call = { .method = "GET",
                     .base = stream->settings->platform,
                     .path = path,
                     .timeout_ms = CALL_TIMEOUT_MS };
    CliAnswer answer;
    if (!cli_http (&call, &answer, err))
      return false;
    bool ok
        = answer.status == 200
          || gr_err_set (err, GR_ERR_UNAVAILABLE, "log", "the log returned HTTP %d", answer.status);
    msgpack_unpacked unpacked;
    msgpack_unpacked_init (&unpacked);
    int64_t before = next;
    if (ok
        && (!gr_pack_sizes_fit (gr_buf_str (&answer.body))
            || msgpack_unpack_next (&unpacked, answer.body.data, answer.body.len, NULL)
                   != MSGPACK_UNPACK_SUCCESS))
      ok = gr_err_set (err, GR_ERR_PROTOCOL, "log", "the answer is not msgpack");
    ok = ok && apply_answer (stream, &unpacked.data, &next, err);
    msgpack_unpacked_destroy (&unpacked);
    gr_buf_clear (&answer.body);
    if (!ok)
      return false;
    if (stop_at == INT64_MAX)
      stop_at = stream->end;
    if (next == before && next < stop_at)
      return gr_err_set (err, GR_ERR_PROTOCOL, "log", "the log has no record at offset %lld",
                         (long long) next);
  }
  return true;
}

bool
cli_stream_append (const CliSettings *settings, GrStr record, int64_t *offset, GrErr *err)
{
  CliCall call = { .method = "POST",
                   .base = settings->platform,
                   .path = "/log/config",
                   .body = record,
                   .timeout_ms = CALL_TIMEOUT_MS };
  CliAnswer answer;
  if (!cli_http (&call, &answer, err))
    return false;
  bool ok = answer.status == 200;
  if (!ok) {
    gr_err_set (err, answer.status < 500 ? GR_ERR_FAILED : GR_ERR_UNKNOWN, "log",
                "the log returned HTTP %d", answer.status);
  } else {
    json_t *body = json_loadb (answer.body.data, answer.body.len, 0, NULL);
    json_t *number = json_object_get (body, "offset");
    ok = json_is_integer (number)
         || gr_err_set (err, GR_ERR_UNKNOWN, "log", "the answer lacks 'offset'");
    *offset = ok ? (int64_t) json_integer_value (number) : -1;
    json_decref (body);
  }
  gr_buf_clear (&answer.body);
  return ok;
}
