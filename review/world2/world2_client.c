/* Clients: calls on connections of a pool, and calls whose client closes its sending side. */
#include <stdlib.h>

#include "world2.h"

#define DEADLINE_MS 3000

static void
finish (W2Call *call, int status, GrStr body)
{
  call->answered_at = w2_now ();
  call->status = status;
  snprintf (call->body, sizeof call->body, "%.*s", GR_STR_ARG (body));
  w2_note (call->world, "client: %s %s%s at %s: %d %s after %lld ms", call->method, call->path,
           call->id, call->world->edges[call->edge].name, status, call->body,
           (long long) (call->answered_at - call->sent_at));
}

static void
on_answer (void *user, const NetHttpAnswer *answer)
{
  finish (user, answer->status, answer->body);
}

static void
begin (W2Call *call, World *world, int edge, const char *method, const char *host,
       const char *prefix, const char *id)
{
  *call = (W2Call){ .world = world, .edge = edge, .sent_at = w2_now () };
  snprintf (call->method, sizeof call->method, "%s", method);
  snprintf (call->path, sizeof call->path, "%s", prefix);
  snprintf (call->host, sizeof call->host, "%s", host);
  snprintf (call->id, sizeof call->id, "%s", id);
}

void
w2_call (W2Call *call, World *world, int edge, const char *method, const char *host,
         const char *prefix, const char *id, const char *body)
{
  GrBuf url = { 0 }, headers = { 0 };
  begin (call, world, edge, method, host, prefix, id);
  gr_buf_printf (&url, "http://127.0.0.1:%d%s%s", world->edges[edge].front_port, prefix, id);
  gr_buf_printf (&headers, "Host: %s\nX-Gentianrelay-Deadline-Ms: %d", host, DEADLINE_MS);
  uv_update_time (world->loop);
  NetHttpCall request = { .method = method,
                          .url = gr_buf_str (&url),
                          .headers = gr_buf_str (&headers),
                          .body = gr_str_from_c (body),
                          .timeout_at_ms = (int64_t) uv_now (world->loop) + DEADLINE_MS };
  net_http_client_send (world->client, &request, on_answer, call);
  gr_buf_clear (&url);
  gr_buf_clear (&headers);
}

/* A connection of its own. */
typedef struct {
  W2Call *call;
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  uv_shutdown_t shutdown;
  GrBuf request, answer;
  char read_buf[4096];
} HalfClosed;

static void
on_closed (uv_handle_t *handle)
{
  HalfClosed *half = handle->data;
  GrStr answer = gr_buf_str (&half->answer);
  int status = 0;
  if (answer.len > 0)
    sscanf (answer.data, "HTTP/1.1 %d", &status);
  const char *body = answer.len > 0 ? strstr (answer.data, "\r\n\r\n") : NULL;
  finish (half->call, status, gr_str_from_c (body ? body + 4 : ""));
  gr_buf_clear (&half->request);
  gr_buf_clear (&half->answer);
  free (half);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void) suggested;
  HalfClosed *half = handle->data;
  *buf = uv_buf_init (half->read_buf, sizeof half->read_buf);
}

static void
on_read (uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
  HalfClosed *half = stream->data;
  if (len < 0)
    uv_close ((uv_handle_t *) stream, on_closed);
  else
    gr_buf_append (&half->answer, buf->base, (size_t) len);
}

static void
on_shutdown (uv_shutdown_t *shutdown, int status)
{
  HalfClosed *half = shutdown->data;
  w2_note (half->call->world, "client: closes its sending side after POST %s%s (%d)",
           half->call->path, half->call->id, status);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  HalfClosed *half = connect->data;
  if (status != 0) {
    uv_close ((uv_handle_t *) &half->tcp, on_closed);
    return;
  }
  uv_buf_t buf = uv_buf_init (half->request.data, (unsigned) half->request.len);
  uv_read_start ((uv_stream_t *) &half->tcp, on_alloc, on_read);
  half->shutdown.data = half;
  uv_write (&half->write, (uv_stream_t *) &half->tcp, &buf, 1, NULL);
  uv_shutdown (&half->shutdown, (uv_stream_t *) &half->tcp, on_shutdown);
}

void
w2_call_half_closed (W2Call *call, World *world, int edge, const char *host, const char *prefix,
                     const char *id, const char *body)
{
  struct sockaddr_in addr;
  HalfClosed *half = gr_calloc (1, sizeof *half);
  begin (call, world, edge, "POST", host, prefix, id);
  half->call = call;
  gr_buf_printf (&half->request,
                 "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                 "X-Gentianrelay-Deadline-Ms: %d\r\nConnection: close\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 prefix, id, host, DEADLINE_MS, strlen (body), body);
  uv_ip4_addr ("127.0.0.1", world->edges[edge].front_port, &addr);
  uv_tcp_init (world->loop, &half->tcp);
  half->tcp.data = half;
  half->connect.data = half;
  uv_tcp_connect (&half->connect, &half->tcp, (struct sockaddr *) &addr, on_connected);
}
