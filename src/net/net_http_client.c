#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <curl/curl.h>

#include "net/net_http.h"

#define DEFAULT_PER_HOST 64
#define DEFAULT_TOTAL 1024
/* Connections that were idle for longer are not reused. Servers close them after 30 s by default,
   and whether a request sent on a closing connection was executed is unknown. */
#define IDLE_MAX_S 15
#define DEFAULT_ANSWER_MAX_BYTES (64 * 1024 * 1024)
/* libcurl sends smaller bodies with the header and includes them in CURLINFO_REQUEST_SIZE. */
#define BODY_WITH_HEADER_BYTES (64 * 1024)
#define SPARE_HANDLES_MAX 64

typedef struct Call Call;

struct NetHttpClient {
  uv_loop_t *loop;
  CURLM *multi;
  uv_timer_t timer;
  Call *calls;
  int64_t bytes;
  int64_t max_answer_bytes; /* 0: no limit */
  int64_t answer_bytes;     /* of all calls */
  int64_t too_large;
  GR_LIST (CURL *) spare; /* handles for reuse */
  int handles;            /* libuv handles not yet closed */
  bool freeing;
};

struct Call {
  NetHttpClient *client;
  CURL *easy;
  uv_timer_t deadline;
  int64_t timeout_at_ms; /* when it is due */
  struct curl_slist *headers;
  char *body;
  size_t body_len;
  GrBuf answer;
  int64_t max_answer_bytes;
  bool dropped; /* the answer is too large; the call fails when its deadline timer runs */
  bool closed;  /* see NetHttpAnswer */
  NetHttpDone done;
  void *user;
  bool sent; /* connected and about to write the request; it may have been received */
  bool added;
  Call *prev, *next;
};

typedef struct {
  uv_poll_t poll;
  curl_socket_t fd;
  NetHttpClient *client;
} Socket;

static void finish_completed (NetHttpClient *client);

static void
release_client_handle (NetHttpClient *client)
{
  if (--client->handles > 0 || !client->freeing)
    return;
  free (client);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  release_client_handle (handle->data);
}

static void
on_call_closed (uv_handle_t *handle)
{
  Call *call = handle->data;
  NetHttpClient *client = call->client;
  free (call);
  release_client_handle (client);
}

static void
on_socket_closed (uv_handle_t *handle)
{
  Socket *socket = handle->data;
  NetHttpClient *client = socket->client;
  free (socket);
  release_client_handle (client);
}

static void
finish_call (Call *call, int status, GrErrCode failure)
{
  NetHttpClient *client = call->client;
  if (call->easy) {
    long request = 0, header = 0;
    curl_off_t up = 0, down = 0;
    curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo (call->easy, CURLINFO_HEADER_SIZE, &header);
    curl_easy_getinfo (call->easy, CURLINFO_SIZE_UPLOAD_T, &up);
    curl_easy_getinfo (call->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
    client->bytes += request + header + down;
    if (call->body_len >= BODY_WITH_HEADER_BYTES)
      client->bytes += up;
    if (call->added)
      curl_multi_remove_handle (client->multi, call->easy);
    if (client->spare.count < SPARE_HANDLES_MAX && !client->freeing) {
      curl_easy_reset (call->easy);
      gr_list_push (&client->spare, call->easy);
    } else {
      curl_easy_cleanup (call->easy);
    }
    call->easy = NULL;
  }
  if (call->prev)
    call->prev->next = call->next;
  else
    client->calls = call->next;
  if (call->next)
    call->next->prev = call->prev;
  uv_close ((uv_handle_t *) &call->deadline, on_call_closed);
  client->answer_bytes -= (int64_t) call->answer.len;
  NetHttpAnswer answer = { .status = status, .failure = failure, .closed = call->closed };
  if (status != 0)
    answer.body = gr_buf_str (&call->answer);
  call->done (call->user, &answer);
  gr_buf_clear (&call->answer);
  curl_slist_free_all (call->headers);
  free (call->body);
}

static void
on_deadline (uv_timer_t *timer)
{
  Call *call = timer->data;
  finish_call (call, 0, call->sent ? GR_ERR_UNKNOWN : GR_ERR_UNAVAILABLE);
}

/* True if the transfer failed because of what the other side did, not for lack of an answer. */
static bool
was_closed (CURL *easy, CURLcode result)
{
  long os_errno = 0;
  switch (result) {
  case CURLE_GOT_NOTHING:
  case CURLE_PARTIAL_FILE:
  case CURLE_RECV_ERROR:
  case CURLE_SEND_ERROR:
    return true;
  case CURLE_COULDNT_CONNECT:
    curl_easy_getinfo (easy, CURLINFO_OS_ERRNO, &os_errno);
    return os_errno == ECONNREFUSED;
  default:
    return false;
  }
}

static void
finish_completed (NetHttpClient *client)
{
  int remaining;
  CURLMsg *msg;
  while ((msg = curl_multi_info_read (client->multi, &remaining)) != NULL) {
    if (msg->msg != CURLMSG_DONE)
      continue;
    CURLcode result = msg->data.result;
    Call *call = NULL;
    long status = 0;
    curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **) &call);
    curl_easy_getinfo (msg->easy_handle, CURLINFO_RESPONSE_CODE, &status);
    /* The time of the loop must not be older than the answer: the process may have been paused
       since the iteration began, and what the answer tells would be dated too early. */
    uv_update_time (client->loop);
    if (result == CURLE_FILESIZE_EXCEEDED)
      client->too_large++;
    if (result == CURLE_OK && status > 0 && !call->dropped) {
      finish_call (call, (int) status, GR_ERR_NONE);
      continue;
    }
    call->closed = !call->dropped && was_closed (msg->easy_handle, result);
    finish_call (call, 0, call->sent ? GR_ERR_UNKNOWN : GR_ERR_UNAVAILABLE);
  }
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  Socket *socket = poll->data;
  NetHttpClient *client = socket->client;
  int flags = 0;
  int running;
  if (status < 0)
    flags = CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, socket->fd, flags, &running);
  finish_completed (client);
}

static int
on_curl_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *socket_data)
{
  (void) easy;
  NetHttpClient *client = user;
  Socket *socket = socket_data;
  if (what == CURL_POLL_REMOVE) {
    if (socket) {
      uv_poll_stop (&socket->poll);
      curl_multi_assign (client->multi, fd, NULL);
      uv_close ((uv_handle_t *) &socket->poll, on_socket_closed);
    }
    return 0;
  }
  if (!socket) {
    socket = gr_calloc (1, sizeof *socket);
    socket->fd = fd;
    socket->client = client;
    socket->poll.data = socket;
    if (uv_poll_init_socket (client->loop, &socket->poll, fd) != 0) {
      free (socket);
      return -1;
    }
    client->handles++;
    curl_multi_assign (client->multi, fd, socket);
  }
  int events = 0;
  if (what & CURL_POLL_IN)
    events |= UV_READABLE;
  if (what & CURL_POLL_OUT)
    events |= UV_WRITABLE;
  uv_poll_start (&socket->poll, events, on_poll);
  return 0;
}

static void
on_timer (uv_timer_t *timer)
{
  NetHttpClient *client = timer->data;
  int running;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (client);
}

static int
on_curl_timer (CURLM *multi, long timeout_ms, void *user)
{
  (void) multi;
  NetHttpClient *client = user;
  if (client->freeing)
    return 0;
  if (timeout_ms < 0)
    uv_timer_stop (&client->timer);
  else
    uv_timer_start (&client->timer, on_timer, (uint64_t) timeout_ms, 0);
  return 0;
}

static void
drop_answer (Call *call)
{
  call->dropped = true;
  call->client->too_large++;
  call->client->answer_bytes -= (int64_t) call->answer.len;
  gr_buf_clear (&call->answer);
  /* A transfer must not be removed from within a callback of libcurl. */
  uv_timer_start (&call->deadline, on_deadline, 0, 0);
}

static Call *
largest_answer (const NetHttpClient *client)
{
  Call *largest = client->calls;
  for (Call *call = client->calls; call; call = call->next) {
    if (call->answer.len > largest->answer.len)
      largest = call;
  }
  return largest;
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  Call *call = user;
  NetHttpClient *client = call->client;
  if (call->dropped)
    return 0;
  if ((int64_t) (call->answer.len + size * count) > call->max_answer_bytes) {
    drop_answer (call);
    return 0;
  }
  gr_buf_append (&call->answer, data, size * count);
  client->answer_bytes += (int64_t) (size * count);
  while (client->max_answer_bytes > 0 && client->answer_bytes > client->max_answer_bytes)
    drop_answer (largest_answer (client));
  return call->dropped ? 0 : size * count;
}

/* libcurl retries a request on a new connection if a reused one breaks before the first byte of the
   answer. The first copy may have been executed, so the retry is aborted. So is a request whose
   deadline has passed, as after a pause of the process: it must not reach the server late. */
static int
on_before_request (void *user, char *remote_ip, char *local_ip, /* NOLINT: libcurl's type */
                   int remote_port, int local_port)
{
  (void) remote_ip;
  (void) local_ip;
  (void) remote_port;
  (void) local_port;
  Call *call = user;
  uv_update_time (call->client->loop);
  if (call->sent || (int64_t) uv_now (call->client->loop) >= call->timeout_at_ms)
    return CURL_PREREQFUNC_ABORT;
  call->sent = true;
  return CURL_PREREQFUNC_OK;
}

static void
add_header_lines (Call *call, GrStr lines)
{
  while (lines.len > 0) {
    const char *end = memchr (lines.data, '\n', lines.len);
    size_t len = end ? (size_t) (end - lines.data) : lines.len;
    char *line = gr_str_dup ((GrStr){ lines.data, len });
    call->headers = curl_slist_append (call->headers, line);
    free (line);
    size_t used = end ? len + 1 : len;
    lines = (GrStr){ lines.data + used, lines.len - used };
  }
}

static bool
prepare_call (Call *call, const NetHttpCall *request)
{
  NetHttpClient *client = call->client;
  if (client->spare.count > 0)
    call->easy = client->spare.items[--client->spare.count];
  else
    call->easy = curl_easy_init ();
  if (!call->easy)
    return false;
  CURL *easy = call->easy;
  char *url = gr_str_dup (request->url);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  free (url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long) IDLE_MAX_S);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 0x7fffffffL);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_MAXFILESIZE_LARGE, (curl_off_t) call->max_answer_bytes);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  const char *method = request->method ? request->method : "GET";
  if (strcmp (method, "GET") == 0 && call->body_len == 0) {
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt (easy, CURLOPT_POST, 1L);
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) call->body_len);
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
    char header[160];
    GrStr type
        = request->content_type.len > 0 ? request->content_type : GR_STR ("application/json");
    snprintf (header, sizeof header, "Content-Type: %.*s", GR_STR_ARG (type));
    call->headers = curl_slist_append (call->headers, header);
    call->headers = curl_slist_append (call->headers, "Expect:");
  }
  if (request->authorization.len > 0) {
    GrBuf header = { 0 };
    gr_buf_printf (&header, "Authorization: %.*s", GR_STR_ARG (request->authorization));
    call->headers = curl_slist_append (call->headers, header.data);
    gr_buf_clear (&header);
  }
  add_header_lines (call, request->headers);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  return true;
}

NetHttpClient *
net_http_client_new (uv_loop_t *loop, const NetHttpClientOptions *options, GrErr *err)
{
  static bool initialised = false;
  if (!initialised) {
    curl_global_init (CURL_GLOBAL_DEFAULT);
    initialised = true;
  }
  /* libcurl does not handle SIGPIPE if CURLOPT_NOSIGNAL is set. */
  signal (SIGPIPE, SIG_IGN);
  CURLM *multi = curl_multi_init ();
  if (!multi) {
    gr_err_set (err, GR_ERR_IO, "client", "libcurl cannot be initialised");
    return NULL;
  }
  NetHttpClient *client = gr_calloc (1, sizeof *client);
  client->loop = loop;
  client->multi = multi;
  uv_timer_init (loop, &client->timer);
  client->timer.data = client;
  client->handles = 1;
  client->max_answer_bytes = options ? options->max_answer_bytes : 0;
  long per_host = options && options->max_connections_per_host > 0
                      ? (long) options->max_connections_per_host
                      : DEFAULT_PER_HOST;
  long total
      = options && options->max_connections > 0 ? (long) options->max_connections : DEFAULT_TOTAL;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (multi, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
  curl_multi_setopt (multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, total);
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS, total);
  curl_multi_setopt (multi, CURLMOPT_PIPELINING, (long) CURLPIPE_NOTHING);
  return client;
}

void
net_http_client_send (NetHttpClient *client, const NetHttpCall *call, NetHttpDone done, void *user)
{
  Call *open = gr_calloc (1, sizeof *open);
  open->client = client;
  open->done = done;
  open->user = user;
  open->body = gr_str_dup (call->body);
  open->body_len = call->body.len;
  open->timeout_at_ms = call->timeout_at_ms;
  open->max_answer_bytes
      = call->max_answer_bytes > 0 ? call->max_answer_bytes : DEFAULT_ANSWER_MAX_BYTES;
  open->next = client->calls;
  if (open->next)
    open->next->prev = open;
  client->calls = open;
  uv_timer_init (client->loop, &open->deadline);
  open->deadline.data = open;
  client->handles++;
  int64_t remaining = call->timeout_at_ms - (int64_t) uv_now (client->loop);
  if (remaining > 0 && prepare_call (open, call)
      && curl_multi_add_handle (client->multi, open->easy) == CURLM_OK)
    open->added = true;
  else
    remaining = 0;
  uv_timer_start (&open->deadline, on_deadline, remaining > 0 ? (uint64_t) remaining : 0, 0);
}

int64_t
net_http_client_too_large (const NetHttpClient *client)
{
  return client->too_large;
}

int64_t
net_http_client_bytes (const NetHttpClient *client)
{
  return client->bytes;
}

void
net_http_client_free (NetHttpClient *client)
{
  if (!client || client->freeing)
    return;
  client->freeing = true;
  while (client->calls)
    finish_call (client->calls, 0, GR_ERR_UNKNOWN);
  for (size_t i = 0; i < client->spare.count; i++)
    curl_easy_cleanup (client->spare.items[i]);
  gr_list_clear (&client->spare);
  curl_multi_cleanup (client->multi);
  uv_close ((uv_handle_t *) &client->timer, on_timer_closed);
}
