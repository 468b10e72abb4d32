/* The platform's log, as PROTOCOL.md tells it: conditional appends, fenced producers, reads that
   wait, and listings of keyed topics. */
#include <stdlib.h>

#include <openssl/evp.h>

#include "world2.h"

#define TOPICS_MAX 16
#define REPEATS 5
#define ANSWER_MS 4
#define TICK_MS 1
#define RECORD_BYTES 262144

typedef struct {
  char *data;
  size_t len;
} Record;

typedef struct {
  char name[W2_TEXT_SIZE];
  GR_LIST (Record) records;
  bool has_epoch;
  int64_t epoch, sequence;
  struct {
    int64_t sequence, offset, end;
  } repeats[REPEATS];
  int repeat_count;
} Topic;

typedef struct Call Call;
struct Call {
  Call *next;
  NetHttpExchange *exchange; /* NULL: the client has closed the connection */
  Topic *topic;
  int64_t due;
  int64_t from; /* of a read */
  bool read, lost;
  int status;
  GrBuf body;
};

struct W2Store {
  World *world;
  NetHttpServer *server;
  Topic topics[TOPICS_MAX];
  int topic_count;
  Call *calls;
  uv_timer_t timer;
  int to_lose, lost, call_count;
};

static Topic *
find_topic (W2Store *store, GrStr name)
{
  for (int i = 0; i < store->topic_count; i++) {
    if (gr_str_equal (gr_str_from_c (store->topics[i].name), name))
      return &store->topics[i];
  }
  if (store->topic_count == TOPICS_MAX || name.len >= W2_TEXT_SIZE)
    w2_fail (store->world, "topic %.*s", GR_STR_ARG (name));
  Topic *topic = &store->topics[store->topic_count++];
  memcpy (topic->name, name.data, name.len);
  return topic;
}

static GrStr
key_of (const Record *record)
{
  return (GrStr){ record->data + 1, (unsigned char) record->data[0] };
}

static void
push_record (Topic *topic, GrStr data)
{
  Record record = { gr_str_dup (data), data.len };
  gr_list_push (&topic->records, record);
}

void
w2_store_write (W2Store *store, const char *topic, const char *key, const char *value)
{
  GrBuf buf = { 0 };
  char length = (char) strlen (key);
  gr_buf_append (&buf, &length, 1);
  gr_buf_append_str (&buf, gr_str_from_c (key));
  gr_buf_append_str (&buf, gr_str_from_c (value));
  push_record (find_topic (store, gr_str_from_c (topic)), gr_buf_str (&buf));
  gr_buf_clear (&buf);
}

void
w2_store_lose (W2Store *store, int count)
{
  store->to_lose = count;
}

int
w2_store_lost (const W2Store *store)
{
  return store->lost;
}

int
w2_store_calls (const W2Store *store)
{
  return store->call_count;
}

bool
w2_store_leads (const W2Store *store, const char *vm)
{
  for (int i = 0; i < store->topic_count; i++) {
    const Topic *topic = &store->topics[i];
    if (strcmp (topic->name, "keyed.election") != 0 || topic->records.count == 0)
      continue;
    const Record *newest = &topic->records.items[topic->records.count - 1];
    return memmem (newest->data, newest->len, vm, strlen (vm)) != NULL;
  }
  return false;
}

static GrStr
text_param (GrStr query, const char *name)
{
  size_t len = strlen (name);
  for (size_t at = 0; at < query.len;) {
    size_t end = at;
    while (end < query.len && query.data[end] != '&')
      end++;
    if (end - at > len && memcmp (query.data + at, name, len) == 0 && query.data[at + len] == '=')
      return (GrStr){ query.data + at + len + 1, end - at - len - 1 };
    at = end + 1;
  }
  return (GrStr){ "", 0 };
}

static void
put_be (GrBuf *buf, uint64_t value, int bytes)
{
  for (int i = bytes - 1; i >= 0; i--) {
    char byte = (char) (value >> (8 * i));
    gr_buf_append (buf, &byte, 1);
  }
}

static void
set_answer (Call *call, int status, const char *format, long long first, long long second)
{
  call->status = status;
  gr_buf_printf (&call->body, format, first, second);
}

/* Returns true if the call is answered: its producer is fenced, out of sequence or repeats itself.
 */
static bool
check_producer (Call *call, Topic *topic, int64_t epoch, int64_t sequence)
{
  if (topic->has_epoch && epoch < topic->epoch) {
    set_answer (call, 409, "{\"reason\":\"fenced\"}", 0, 0);
    return true;
  }
  if (!topic->has_epoch || epoch > topic->epoch) {
    topic->has_epoch = true;
    topic->epoch = epoch;
    topic->sequence = sequence - 1;
    topic->repeat_count = 0;
  }
  for (int i = 0; i < topic->repeat_count; i++) {
    if (topic->repeats[i].sequence != sequence)
      continue;
    set_answer (call, 200, "{\"offset\":%lld,\"endOffset\":%lld}", topic->repeats[i].offset,
                topic->repeats[i].end);
    return true;
  }
  if (sequence == topic->sequence + 1)
    return false;
  set_answer (call, 409, "{\"reason\":\"seq\",\"sequence\":%lld}", topic->sequence + 1, 0);
  return true;
}

static void
remember (Topic *topic, int64_t sequence, int64_t offset)
{
  memmove (topic->repeats + 1, topic->repeats, (REPEATS - 1) * sizeof topic->repeats[0]);
  topic->repeats[0].sequence = sequence;
  topic->repeats[0].offset = offset;
  topic->repeats[0].end = (int64_t) topic->records.count;
  topic->sequence = sequence;
  if (topic->repeat_count < REPEATS)
    topic->repeat_count++;
}

/* Splits the body; returns false if a record is truncated or too large. */
static bool
check_records (GrStr body)
{
  while (body.len > 0) {
    const unsigned char *b = (const unsigned char *) body.data;
    size_t size = body.len < 4
                      ? SIZE_MAX
                      : (size_t) b[0] << 24 | (size_t) b[1] << 16 | (size_t) b[2] << 8 | b[3];
    if (size > RECORD_BYTES || size > body.len - 4)
      return false;
    body = (GrStr){ body.data + 4 + size, body.len - 4 - size };
  }
  return true;
}

static void
do_append (Call *call, GrStr query, GrStr body)
{
  Topic *topic = call->topic;
  int64_t at = net_http_query_int (query, GR_STR ("at"), -1);
  bool produced = text_param (query, "producer").len > 0;
  int64_t sequence = net_http_query_int (query, GR_STR ("sequence"), 0);
  if (!check_records (body)) {
    set_answer (call, 400, "{}", 0, 0);
    return;
  }
  if (produced
      && check_producer (call, topic, net_http_query_int (query, GR_STR ("epoch"), 0), sequence))
    return;
  int64_t offset = (int64_t) topic->records.count;
  if (at >= 0 && at != offset) {
    set_answer (call, 412, "{\"endOffset\":%lld}", (long long) offset, 0);
    return;
  }
  while (body.len >= 4) {
    const unsigned char *b = (const unsigned char *) body.data;
    size_t size = (size_t) b[0] << 24 | (size_t) b[1] << 16 | (size_t) b[2] << 8 | b[3];
    push_record (topic, (GrStr){ body.data + 4, size });
    body = (GrStr){ body.data + 4 + size, body.len - 4 - size };
  }
  if (produced)
    remember (topic, sequence, offset);
  set_answer (call, 200, "{\"offset\":%lld,\"endOffset\":%lld}", (long long) offset,
              (long long) topic->records.count);
}

static void
finish_read (Call *call)
{
  const Topic *topic = call->topic;
  put_be (&call->body, topic->records.count, 8);
  put_be (&call->body, 0, 8);
  for (size_t i = (size_t) call->from; i < topic->records.count; i++) {
    put_be (&call->body, topic->records.items[i].len, 4);
    gr_buf_append (&call->body, topic->records.items[i].data, topic->records.items[i].len);
  }
  call->read = false;
  call->status = 200;
  call->due = w2_now () + ANSWER_MS;
}

static bool
is_newest (const Topic *topic, size_t offset)
{
  GrStr key = key_of (&topic->records.items[offset]);
  for (size_t i = offset + 1; i < topic->records.count; i++) {
    if (gr_str_equal (key_of (&topic->records.items[i]), key))
      return false;
  }
  return true;
}

/* All keys fit into one page: the cases are small. */
static void
do_newest (Call *call)
{
  const Topic *topic = call->topic;
  json_t *items = json_array ();
  for (size_t i = 0; i < topic->records.count; i++) {
    const Record *record = &topic->records.items[i];
    GrStr key = key_of (record);
    size_t skip = 1 + key.len;
    if (record->len == skip || !is_newest (topic, i))
      continue;
    char *value = gr_calloc (1, record->len * 2 + 8);
    EVP_EncodeBlock ((unsigned char *) value, (const unsigned char *) record->data + skip,
                     (int) (record->len - skip));
    json_array_append_new (items, json_pack ("{s:s%,s:s,s:I}", "key", key.data, key.len, "value",
                                             value, "offset", (json_int_t) i));
    free (value);
  }
  json_t *body = json_pack ("{s:o,s:b,s:I}", "items", items, "hasMore", 0, "endOffset",
                            (json_int_t) topic->records.count);
  char *text = json_dumps (body, JSON_COMPACT);
  set_answer (call, 200, "", 0, 0);
  gr_buf_append_str (&call->body, gr_str_from_c (text));
  free (text);
  json_decref (body);
}

static void
on_close (void *user)
{
  Call *call = user;
  call->exchange = NULL;
}

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  W2Store *store = user;
  Call *call = gr_calloc (1, sizeof *call);
  call->exchange = exchange;
  call->due = w2_now () + ANSWER_MS;
  call->topic = find_topic (store, text_param (request->query, "topic"));
  net_http_on_close (exchange, on_close, call);
  call->next = store->calls;
  store->calls = call;
  store->call_count++;
  if (gr_str_equal (request->path, GR_STR ("/gentianrelay/log-append"))) {
    do_append (call, request->query, request->body);
    if (store->to_lose > 0 && text_param (request->query, "producer").len > 0
        && request->body.len > 0) {
      store->to_lose--;
      store->lost++;
      call->lost = true;
      w2_note (store->world, "store: the answer %d to an append to %s is lost", call->status,
               call->topic->name);
    }
  } else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/log-newest"))) {
    do_newest (call);
  } else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/log-read"))) {
    call->read = true;
    call->from = net_http_query_int (request->query, GR_STR ("from"), 0);
    call->due = w2_now () + net_http_query_int (request->query, GR_STR ("waitMs"), 0);
  } else {
    set_answer (call, 404, "{}", 0, 0);
  }
}

/* Returns true if the call has ended. */
static bool
tick_call (Call *call)
{
  if (!call->exchange)
    return true;
  if (call->lost)
    return false;
  if (call->read && (w2_now () >= call->due || (int64_t) call->topic->records.count > call->from))
    finish_read (call);
  if (call->read || w2_now () < call->due)
    return false;
  NetHttpExchange *exchange = call->exchange;
  net_http_on_close (exchange, NULL, NULL);
  call->exchange = NULL;
  net_http_reply (exchange, call->status, GR_STR ("application/json"), gr_buf_str (&call->body));
  return true;
}

static void
on_timer (uv_timer_t *timer)
{
  W2Store *store = timer->data;
  /* An answer may bring the next call of its connection at once, which becomes the first one. */
  Call *calls = store->calls;
  store->calls = NULL;
  Call *kept = NULL;
  while (calls) {
    Call *call = calls;
    calls = call->next;
    if (tick_call (call)) {
      gr_buf_clear (&call->body);
      free (call);
      continue;
    }
    call->next = kept;
    kept = call;
  }
  while (kept) {
    Call *call = kept;
    kept = call->next;
    call->next = store->calls;
    store->calls = call;
  }
}

W2Store *
w2_store_new (World *world)
{
  W2Store *store = gr_calloc (1, sizeof *store);
  NetHttpServerOptions options
      = { .listen_host = "127.0.0.1", .max_body_bytes = 4194304, .io_timeout_ms = 120000 };
  GrErr err = { 0 };
  store->world = world;
  store->server = net_http_server_new (world->loop, &options, on_request, store, &err);
  if (!store->server)
    w2_fail (world, "the store cannot listen: %s", err.detail);
  world->store_port = net_http_server_port (store->server);
  uv_timer_init (world->loop, &store->timer);
  store->timer.data = store;
  uv_timer_start (&store->timer, on_timer, TICK_MS, TICK_MS);
  return store;
}
