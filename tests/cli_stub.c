#include "cli_stub.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <msgpack.h>
#include <openssl/evp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECORDS_MAX 64

struct CliStub {
  int listener;
  pthread_t thread;
  char url[64];
  GrBuf request;
  int status; /* of every response; 0: serve the log and the configuration */
  const char *answer;
  CliStubLog log;
  GrStr records[RECORDS_MAX]; /* owned */
  int64_t count;
  CfgStore *store;         /* state after the whole log */
  CfgStore *lagging_store; /* state after the records that were there at the start */
};

static void
append (CliStub *stub, GrStr record)
{
  stub->records[stub->count] = (GrStr){ gr_str_dup (record), record.len };
  cfg_store_record (stub->store, stub->count, record, NULL);
  stub->count++;
}

/* Appends a valid publication based on the version in force. */
static void
append_version (CliStub *stub)
{
  static const char text[] = "team sport { region = south }\nteam other { region = south }\n/* ";
  CfgFile file = { GR_STR ("a.conf"), { text, sizeof text - 4 } };
  GrName author = gr_name ("Ann");
  GrBuf record = { 0 };
  cfg_publication_encode (cfg_store_version (stub->store), &author, &file, 1, &record);
  append (stub, gr_buf_str (&record));
  gr_buf_clear (&record);
}

static void
send_all (int fd, GrStr bytes)
{
  size_t sent = 0;
  while (sent < bytes.len) {
    ssize_t len = send (fd, bytes.data + sent, bytes.len - sent, MSG_NOSIGNAL);
    if (len <= 0)
      return;
    sent += (size_t) len;
  }
}

static void
reply (int fd, int status, GrStr body)
{
  GrBuf out = { 0 };
  gr_buf_printf (&out, "HTTP/1.1 %d x\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n", status,
                 body.len);
  gr_buf_append_str (&out, body);
  send_all (fd, gr_buf_str (&out));
  gr_buf_clear (&out);
}

static void
serve_append (CliStub *stub, int fd, GrStr body)
{
  if (stub->log.refused > 0) {
    stub->log.refused--;
    reply (fd, 503, GR_STR ("{}"));
    return;
  }
  if (stub->log.race) {
    stub->log.race = false;
    append_version (stub);
  }
  append (stub, body);
  if (stub->log.lost_answers > 0) {
    stub->log.lost_answers--;
    return;
  }
  char text[64];
  snprintf (text, sizeof text, "{\"offset\":%lld}", (long long) stub->count - 1);
  reply (fd, 200, gr_str_from_c (text));
}

static void
serve_read (CliStub *stub, int fd, int64_t from)
{
  if (from < stub->log.first)
    from = stub->log.first;
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_int64 (&packer, stub->log.first);
  msgpack_pack_int64 (&packer, stub->count);
  /* Returns at most two records per read, so that readers need several reads. */
  int64_t end = from + 2 < stub->count ? from + 2 : stub->count;
  msgpack_pack_array (&packer, end > from ? (size_t) (end - from) : 0);
  for (int64_t i = from; i < end; i++) {
    msgpack_pack_array (&packer, 2);
    msgpack_pack_int64 (&packer, i);
    msgpack_pack_bin (&packer, stub->records[i].len);
    msgpack_pack_bin_body (&packer, stub->records[i].data, stub->records[i].len);
  }
  reply (fd, 200, (GrStr){ buffer.data, buffer.size });
  msgpack_sbuffer_destroy (&buffer);
}

static void
add_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  json_t *entry = json_object ();
  json_object_set_new (entry, "key", json_stringn (key.data, key.len));
  json_object_set_new (entry, "value", json_stringn (value.data, value.len));
  json_object_set_new (entry, "file", json_stringn (origin->file.data, origin->file.len));
  json_object_set_new (entry, "line", json_integer ((json_int_t) origin->line));
  json_object_set_new (entry, "author", json_stringn (origin->author.data, origin->author.len));
  json_object_set_new (entry, "reason", json_string (""));
  json_array_append_new (user, entry);
}

static void
serve_config (CliStub *stub, int fd)
{
  const CfgStore *store = stub->log.server_lags ? stub->lagging_store : stub->store;
  GrStr record = cfg_store_record_in_force (store);
  unsigned char *base64 = gr_calloc (record.len * 2 + 8, 1);
  EVP_EncodeBlock (base64, (const unsigned char *) (record.data ? record.data : ""),
                   (int) record.len);
  json_t *values = json_array ();
  cfg_tree_values (cfg_store_tree (store), add_value, values);
  json_t *config = json_pack ("{s:I, s:s, s:o}", "version", (json_int_t) cfg_store_version (store),
                              "record", (const char *) base64, "values", values);
  char *text = json_dumps (config, JSON_COMPACT);
  reply (fd, 200, gr_str_from_c (text));
  free (text);
  json_decref (config);
  free (base64);
}

static void
serve (CliStub *stub, int fd)
{
  const char *request = stub->request.data;
  const char *body = strstr (request, "\r\n\r\n") + 4;
  GrStr content = { body, stub->request.len - (size_t) (body - request) };
  int64_t from = 0;
  if (stub->status != 0)
    reply (fd, stub->status, gr_str_from_c (stub->answer));
  else if (strncmp (request, "POST /log/config ", 17) == 0)
    serve_append (stub, fd, content);
  else if (sscanf (request, "GET /log/config?from=%ld&", &from) == 1)
    serve_read (stub, fd, from);
  else if (strncmp (request, "GET /v1/config ", 15) == 0)
    serve_config (stub, fd);
  else
    reply (fd, 404, GR_STR ("{}"));
}

/* Reads one request; returns false if the connection ends before it is complete. */
static bool
receive (CliStub *stub, int fd)
{
  gr_buf_clear (&stub->request);
  for (;;) {
    char block[16384];
    ssize_t len = recv (fd, block, sizeof block, 0);
    if (len <= 0)
      return false;
    gr_buf_append (&stub->request, block, (size_t) len);
    const char *end = strstr (stub->request.data, "\r\n\r\n");
    if (!end)
      continue;
    const char *header = strcasestr (stub->request.data, "\r\nContent-Length: ");
    long long body = header && header < end ? strtoll (header + 18, NULL, 10) : 0;
    if (stub->request.len >= (size_t) (end + 4 - stub->request.data) + (size_t) body)
      return true;
  }
}

static void *
run_stub (void *user)
{
  CliStub *stub = user;
  for (;;) {
    int fd = accept (stub->listener, NULL, NULL);
    if (fd < 0)
      return NULL;
    if (receive (stub, fd))
      serve (stub, fd);
    close (fd);
  }
}

CliStub *
cli_stub_start (void)
{
  CliStub *stub = gr_calloc (1, sizeof *stub);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;
  stub->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (stub->listener, (struct sockaddr *) &address, len) != 0
      || listen (stub->listener, 16) != 0
      || getsockname (stub->listener, (struct sockaddr *) &address, &len) != 0)
    abort ();
  snprintf (stub->url, sizeof stub->url, "http://127.0.0.1:%d", ntohs (address.sin_port));
  stub->store = cfg_store_new ();
  stub->lagging_store = cfg_store_new ();
  if (pthread_create (&stub->thread, NULL, run_stub, stub) != 0)
    abort ();
  return stub;
}

void
cli_stub_stop (CliStub *stub)
{
  shutdown (stub->listener, SHUT_RDWR);
  pthread_join (stub->thread, NULL);
  close (stub->listener);
  for (int64_t i = 0; i < stub->count; i++)
    free ((void *) stub->records[i].data);
  cfg_store_free (stub->store);
  cfg_store_free (stub->lagging_store);
  gr_buf_clear (&stub->request);
  free (stub);
}

const char *
cli_stub_url (const CliStub *stub)
{
  return stub->url;
}

void
cli_stub_answer (CliStub *stub, int status, const char *body)
{
  stub->status = status;
  stub->answer = body;
}

void
cli_stub_log (CliStub *stub, const CliStubLog *log)
{
  stub->log = *log;
  for (int64_t i = 0; i < log->earlier; i++) {
    append_version (stub);
    cfg_store_record (stub->lagging_store, i, stub->records[i], NULL);
  }
}

const char *
cli_stub_last_request (const CliStub *stub)
{
  return stub->request.data ? stub->request.data : "";
}

int64_t
cli_stub_version (const CliStub *stub)
{
  return cfg_store_version (stub->store);
}
