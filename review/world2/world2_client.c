/* Clients: calls on connections of a pool. */
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
