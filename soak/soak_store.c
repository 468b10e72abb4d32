/* The platform's log: appends with conditions and fenced producers, reads that wait, and listings
   of keyed topics. Each edge has a port of its own, so that it can be cut off alone and gets its
   own view of the addresses. */
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "net/net_http.h"
#include "soak.h"

#define TOPICS_MAX 16
/* Repeats of so many appends are known. */
#define REPEATS 5
#define PAGE_ITEMS 500
#define READ_MAX_BYTES (900 * 1024)
#define ANSWER_MIN_MS 2
#define ANSWER_SPAN_MS 6
/* A call that a silent store takes late is carried out within this time. */
#define LATE_MAX_MS 4000
#define ADDRESS "127.0.0.1:"
#define PORT_DIGITS 5

typedef struct {
  char *data;
  size_t len;
} Record;

typedef struct {
  char name[SOAK_NAME_SIZE];
  GR_LIST (Record) records;
  GR_LIST (size_t) newest; /* offset of the newest record of each key */
  bool has_epoch;
  int64_t epoch, sequence;
  struct {
    int64_t sequence, offset, end;
  } repeats[REPEATS];
  int repeat_count;
} Topic;

typedef struct {
  SoakStore *store;
  int edge;
  NetHttpServer *server;
} Port;

typedef struct Call Call;

struct Call {
  Call *next;
  Port *port;
  NetHttpExchange *exchange; /* NULL: closed */
  int64_t due;
  bool over;   /* may be freed */
  bool muted;  /* is never answered */
  bool read;   /* waits for records */
  bool append; /* carried out late */
  Topic *topic;
  int64_t from;
  int status;
  const char *type;
  GrBuf body, query;
};

/* Of the configuration at the start. */
#define FIRST_VERSION 7

struct SoakStore {
  int config_version;
  Soak *soak;
  SoakRandom random;
  Port ports[SOAK_EDGES_MAX];
  Topic topics[TOPICS_MAX];
  int topic_count;
  Call *calls;
  GR_LIST (int) winners; /* edge that wrote each election record */
};

static Topic *
find_topic (SoakStore *store, GrStr name)
{
  for (int i = 0; i < store->topic_count; i++) {
    if (gr_str_equal (gr_str_from_c (store->topics[i].name), name))
      return &store->topics[i];
  }
  if (store->topic_count == TOPICS_MAX || name.len >= SOAK_NAME_SIZE)
    soak_die ("topic %.*s: too many topics or name too long", GR_STR_ARG (name));
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
push_record (Topic *topic, const char *data, size_t len)
{
  Record record = { gr_str_dup ((GrStr){ data, len }), len };
  size_t offset = topic->records.count;
  gr_list_push (&topic->records, record);
  for (size_t i = 0; i < topic->newest.count; i++) {
    const Record *other = &topic->records.items[topic->newest.items[i]];
    if (!gr_str_equal (key_of (other), key_of (&record)))
      continue;
    memmove (&topic->newest.items[i], &topic->newest.items[i + 1],
             (topic->newest.count - i - 1) * sizeof topic->newest.items[0]);
    topic->newest.count--;
    break;
  }
  if (len > 1 + key_of (&record).len)
    gr_list_push (&topic->newest, offset);
}

void
soak_store_write (SoakStore *store, const char *topic, const char *key, const char *value)
{
  GrBuf buf = { 0 };
  char length = (char) strlen (key);
  gr_buf_append (&buf, &length, 1);
  gr_buf_append_str (&buf, gr_str_from_c (key));
  gr_buf_append_str (&buf, gr_str_from_c (value));
  push_record (find_topic (store, gr_str_from_c (topic)), buf.data, buf.len);
  gr_buf_clear (&buf);
}

/* Appends the record as the edge sees it: addresses are those of its own paths. */
static void
append_view (const SoakStore *store, int edge, const Record *record, GrBuf *out)
{
  size_t start = out->len;
  gr_buf_append (out, record->data, record->len);
  size_t prefix = strlen (ADDRESS);
  for (size_t at = start; at + prefix + PORT_DIGITS <= out->len; at++) {
    char digits[PORT_DIGITS + 1] = "";
    SoakEnd end;
    if (memcmp (out->data + at, ADDRESS, prefix) != 0)
      continue;
    memcpy (digits, out->data + at + prefix, PORT_DIGITS);
    if (!soak_procs_find (store->soak->procs, atoi (digits), &end)
        || (!end.target && end.number == edge))
      continue;
    snprintf (digits, sizeof digits, "%d", soak_paths_port (store->soak->paths, edge, end));
    memcpy (out->data + at + prefix, digits, PORT_DIGITS);
  }
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
  call->type = "application/json";
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
    if (topic->repeats[i].sequence == sequence) {
      set_answer (call, 200, "{\"offset\":%lld,\"endOffset\":%lld}", topic->repeats[i].offset,
                  topic->repeats[i].end);
      return true;
    }
  }
  if (sequence != topic->sequence + 1) {
    set_answer (call, 409, "{\"reason\":\"seq\",\"sequence\":%lld}", topic->sequence + 1, 0);
    return true;
  }
  return false;
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

static void
do_append (Call *call, GrStr query, GrStr body)
{
  SoakStore *store = call->port->store;
  Topic *topic = call->topic;
  int64_t at = net_http_query_int (query, GR_STR ("at"), -1);
  bool produced = text_param (query, "producer").len > 0;
  int64_t sequence = net_http_query_int (query, GR_STR ("sequence"), 0);
  gr_buf_clear (&call->body);
  if (produced
      && check_producer (call, topic, net_http_query_int (query, GR_STR ("epoch"), 0), sequence))
    return;
  if (at >= 0 && at != (int64_t) topic->records.count) {
    set_answer (call, 412, "{\"endOffset\":%lld}", (long long) topic->records.count, 0);
    return;
  }
  int64_t offset = (int64_t) topic->records.count;
  while (body.len >= 4) {
    const unsigned char *b = (const unsigned char *) body.data;
    size_t size = (size_t) b[0] << 24 | (size_t) b[1] << 16 | (size_t) b[2] << 8 | b[3];
    if (size > body.len - 4)
      break;
    push_record (topic, body.data + 4, size);
    body.data += 4 + size;
    body.len -= 4 + size;
    if (strcmp (topic->name, "keyed.election") == 0) {
      gr_list_push (&store->winners, call->port->edge);
      soak_note (store->soak, "term %zu: e%d", topic->records.count, call->port->edge + 1);
    }
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
  for (size_t i = (size_t) call->from; i < topic->records.count && call->body.len < READ_MAX_BYTES;
       i++) {
    put_be (&call->body, topic->records.items[i].len, 4);
    append_view (call->port->store, call->port->edge, &topic->records.items[i], &call->body);
  }
  call->status = 200;
  call->type = "application/octet-stream";
}

static GrName
decode_key (GrStr text)
{
  GrBuf buf = { 0 };
  for (size_t i = 0; i < text.len; i++) {
    unsigned value = (unsigned char) text.data[i];
    char hex[3] = "";
    if (text.data[i] == '%' && i + 2 < text.len) {
      memcpy (hex, text.data + i + 1, 2);
      value = (unsigned) strtoul (hex, NULL, 16);
      i += 2;
    }
    char byte = (char) value;
    gr_buf_append (&buf, &byte, 1);
  }
  GrName key = gr_name_cut (gr_buf_str (&buf));
  gr_buf_clear (&buf);
  return key;
}

/* Pages follow the order of the newest records; one continues behind the record of its key. */
static void
do_newest (Call *call, GrStr query)
{
  const Topic *topic = call->topic;
  GrName after = decode_key (text_param (query, "dependsOn"));
  size_t first = 0;
  for (size_t i = 0; after.len > 0 && i < topic->records.count; i++) {
    if (gr_str_equal (key_of (&topic->records.items[i]), gr_name_str (&after)))
      first = i + 1;
  }
  json_t *items = json_array ();
  bool more = false;
  for (size_t i = 0; i < topic->newest.count; i++) {
    size_t offset = topic->newest.items[i];
    if (offset < first)
      continue;
    more = json_array_size (items) == PAGE_ITEMS;
    if (more)
      break;
    GrBuf view = { 0 };
    append_view (call->port->store, call->port->edge, &topic->records.items[offset], &view);
    GrStr key = key_of (&topic->records.items[offset]);
    size_t skip = 1 + key.len;
    char *value = gr_calloc (1, view.len * 2 + 8);
    EVP_EncodeBlock ((unsigned char *) value, (const unsigned char *) view.data + skip,
                     (int) (view.len - skip));
    json_array_append_new (items, json_pack ("{s:s%,s:s,s:I}", "key", key.data, key.len, "value",
                                             value, "offset", (json_int_t) offset));
    free (value);
    gr_buf_clear (&view);
  }
  json_t *body = json_pack ("{s:o,s:b,s:I}", "items", items, "hasMore", more, "endOffset",
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

static Call *
add_call (Port *port, NetHttpExchange *exchange)
{
  SoakStore *store = port->store;
  Call *call = gr_calloc (1, sizeof *call);
  call->port = port;
  call->exchange = exchange;
  call->due = soak_now () + ANSWER_MIN_MS + soak_below (&store->random, ANSWER_SPAN_MS);
  net_http_on_close (exchange, on_close, call);
  call->next = store->calls;
  store->calls = call;
  return call;
}

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Port *port = user;
  SoakStore *store = port->store;
  SoakStoreMode mode = soak_faults_store (store->soak->faults, port->edge);
  bool append = gr_str_equal (request->path, GR_STR ("/gentianrelay/log-append"));
  if (mode == SOAK_STORE_RESETS) {
    net_http_abort (exchange);
    return;
  }
  Call *call = add_call (port, exchange);
  call->topic = find_topic (store, text_param (request->query, "topic"));
  if (mode == SOAK_STORE_REFUSES) {
    set_answer (call, 503, "{}", 0, 0);
    return;
  }
  call->muted = mode != SOAK_STORE_SERVES;
  if (mode == SOAK_STORE_SILENT) {
    call->append = append && soak_below (&store->random, 2) == 0;
    call->due = soak_now () + soak_below (&store->random, LATE_MAX_MS);
    gr_buf_append_str (&call->query, request->query);
    gr_buf_append_str (&call->body, request->body);
  } else if (append) {
    do_append (call, request->query, request->body);
  } else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/log-newest"))) {
    do_newest (call, request->query);
  } else if (gr_str_equal (request->path, GR_STR ("/gentianrelay/log-read"))) {
    call->read = true;
    call->from = net_http_query_int (request->query, GR_STR ("from"), 0);
    call->due = soak_now () + net_http_query_int (request->query, GR_STR ("waitMs"), 0);
  } else {
    set_answer (call, 404, "{}", 0, 0);
  }
}

/* Returns true if the call has ended. */
static bool
tick_call (SoakStore *store, Call *call)
{
  int64_t now = soak_now ();
  if (call->append && now >= call->due) {
    GrBuf body = call->body;
    call->body = (GrBuf){ 0 };
    call->append = false;
    do_append (call, gr_buf_str (&call->query), gr_buf_str (&body));
    soak_note (store->soak, "late append of e%d to %s: %d", call->port->edge + 1, call->topic->name,
               call->status);
    gr_buf_clear (&body);
  }
  if (!call->exchange)
    return !call->append;
  if (call->muted)
    return false;
  if (call->read) {
    if (now < call->due && (int64_t) call->topic->records.count <= call->from)
      return false;
    call->read = false;
    finish_read (call);
    call->due = now + ANSWER_MIN_MS;
  }
  if (now < call->due)
    return false;
  switch (soak_faults_store (store->soak->faults, call->port->edge)) {
  case SOAK_STORE_SILENT:
  case SOAK_STORE_LOSES:
    call->muted = true;
    return false;
  case SOAK_STORE_RESETS:
    net_http_abort (call->exchange);
    return true;
  case SOAK_STORE_REFUSES:
  case SOAK_STORE_SERVES:
    break;
  }
  net_http_on_close (call->exchange, NULL, NULL);
  net_http_reply (call->exchange, call->status, gr_str_from_c (call->type),
                  gr_buf_str (&call->body));
  return true;
}

void
soak_store_tick (SoakStore *store)
{
  /* An answer may bring the next call of its connection at once. */
  for (Call *call = store->calls; call; call = call->next)
    call->over = tick_call (store, call);
  for (Call **at = &store->calls; *at;) {
    Call *call = *at;
    if (!call->over) {
      at = &call->next;
      continue;
    }
    *at = call->next;
    gr_buf_clear (&call->body);
    gr_buf_clear (&call->query);
    free (call);
  }
}

void
soak_store_publish (SoakStore *store)
{
  GrBuf text = { 0 };
  store->config_version++;
  gr_buf_printf (&text,
                 "{\"version\":%d,\"routes\":[{\"name\":\"r1\",\"host\":\"" SOAK_HOST
                 "\",\"pathPrefix\":\"" SOAK_PREFIX "\",\"service\":\"svc\",\"priority\":0,"
                 "\"maxAttempts\":%d,\"slackFactor\":2,\"targetLatencyMs\":2000}",
                 store->config_version, SOAK_MAX_ATTEMPTS);
  for (int i = FIRST_VERSION; i < store->config_version; i++) {
    SoakRandom random = soak_random (store->soak->settings.seed + i, "routes");
    int length = (int) soak_name_length (&random);
    gr_buf_printf (&text, ",{\"name\":\"%0*d\",\"host\":\"%0*d\",\"service\":\"svc\"}", length, i,
                   length, i);
  }
  gr_buf_printf (&text,
                 "],\"services\":[{\"name\":\"svc\",\"rejectsOverload\":false}],\"limits\":{}");
  for (int64_t i = 0; i < store->soak->settings.accounts; i++) {
    GrName key = soak_key (i);
    gr_buf_printf (&text, "%s{\"name\":\"account%lld\",\"weight\":1,\"apiKeys\":[\"%.*s\"]}",
                   i ? "," : ",\"tenants\":[", (long long) i, GR_NAME_ARG (key));
  }
  gr_buf_printf (&text, "%s}", store->soak->settings.accounts > 0 ? "]" : "");
  soak_store_write (store, "keyed.op", "config", text.data);
  gr_buf_clear (&text);
}

SoakStore *
soak_store_new (Soak *soak)
{
  SoakStore *store = gr_calloc (1, sizeof *store);
  store->soak = soak;
  store->random = soak_random (soak->settings.seed, "store");
  for (int i = 0; i < soak->settings.edges; i++) {
    NetHttpServerOptions options
        = { .listen_host = "127.0.0.1", .max_body_bytes = 16 * 1024 * 1024 };
    GrErr err = { 0 };
    Port *port = &store->ports[i];
    port->store = store;
    port->edge = i;
    port->server = net_http_server_new (soak->loop, &options, on_request, port, &err);
    if (!port->server)
      soak_die ("the store cannot listen: %s", err.detail);
  }
  store->config_version = FIRST_VERSION - 1;
  soak_store_publish (store);
  return store;
}

int
soak_store_port (const SoakStore *store, int edge)
{
  return net_http_server_port (store->ports[edge].server);
}

int
soak_store_leader (const SoakStore *store)
{
  return store->winners.count > 0 ? store->winners.items[store->winners.count - 1] : -1;
}

int
soak_store_winner (const SoakStore *store, int64_t term)
{
  return term >= 1 && term <= (int64_t) store->winners.count ? store->winners.items[term - 1] : -1;
}
