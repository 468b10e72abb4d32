#include <stdlib.h>

#include "standin/standin.h"

static void
free_call (StandinCall *call)
{
  gr_buf_clear (&call->path);
  gr_buf_clear (&call->query);
  gr_buf_clear (&call->body);
  gr_buf_clear (&call->reply_body);
  free (call);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free_call (handle->data);
}

static void
end_call (StandinCall *call)
{
  if (call->on_end)
    call->on_end (call->on_end_user);
  if (call->timer_open)
    uv_close ((uv_handle_t *) &call->timer, on_timer_closed);
  else
    free_call (call);
}

static void
on_exchange_closed (void *user)
{
  StandinCall *call = user;
  call->exchange = NULL;
  if (call->on_disconnect)
    call->on_disconnect (call);
}

StandinCall *
standin_call_new (Standin *standin, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  StandinCall *call = gr_calloc (1, sizeof *call);
  call->standin = standin;
  call->exchange = exchange;
  call->method = gr_name_cut (request->method);
  gr_buf_append_str (&call->path, request->path);
  gr_buf_append_str (&call->query, request->query);
  gr_buf_append_str (&call->body, request->body);
  net_http_on_close (exchange, on_exchange_closed, call);
  return call;
}

static void
on_timer (uv_timer_t *timer)
{
  StandinCall *call = timer->data;
  call->deferred (call);
}

void
standin_call_defer (StandinCall *call, int64_t ms, StandinCallFunc func)
{
  if (!call->timer_open) {
    uv_timer_init (call->standin->loop, &call->timer);
    call->timer.data = call;
    call->timer_open = true;
  }
  call->deferred = func;
  uv_timer_start (&call->timer, on_timer, ms > 0 ? (uint64_t) ms : 0, 0);
}

static void
send_reply (StandinCall *call)
{
  NetHttpExchange *exchange = call->exchange;
  call->exchange = NULL;
  if (exchange && call->drop_reply)
    net_http_abort (exchange);
  else if (exchange)
    net_http_reply (exchange, call->status, gr_str_from_c (call->reply_type),
                    gr_buf_str (&call->reply_body));
  end_call (call);
}

void
standin_call_reply (StandinCall *call, int status, const char *type, GrStr body)
{
  call->on_disconnect = NULL;
  call->status = status;
  call->reply_type = type;
  gr_buf_append_str (&call->reply_body, body);
  if (call->reply_delay_ms > 0 && call->exchange)
    standin_call_defer (call, call->reply_delay_ms, send_reply);
  else
    send_reply (call);
}

void
standin_call_json (StandinCall *call, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  standin_call_reply (call, text ? status : 500, "application/json", gr_str_from_c (text));
  free (text);
}

void
standin_call_error (StandinCall *call, int status, const char *code, const char *detail)
{
  standin_call_json (call, status,
                     json_pack ("{s:{s:s,s:s}}", "error", "code", code, "detail", detail));
}

void
standin_call_drop (StandinCall *call)
{
  call->on_disconnect = NULL;
  call->drop_reply = true;
  send_reply (call);
}

json_t *
standin_call_body (StandinCall *call)
{
  json_error_t error;
  json_t *json = json_loadb (call->body.data ? call->body.data : "", call->body.len, 0, &error);
  if (json && json_is_object (json))
    return json;
  json_decref (json);
  standin_call_error (call, 400, "invalid", "the body is not a JSON object");
  return NULL;
}

bool
standin_json_name (const json_t *object, const char *field, GrName *out)
{
  const json_t *value = json_object_get (object, field);
  memset (out, 0, sizeof *out);
  return json_is_string (value)
         && gr_name_set (out, (GrStr){ json_string_value (value), json_string_length (value) })
         && out->len > 0;
}

int64_t
standin_json_int (const json_t *object, const char *field, int64_t fallback)
{
  const json_t *value = json_object_get (object, field);
  return json_is_integer (value) ? (int64_t) json_integer_value (value) : fallback;
}

json_t *
standin_json_text (GrStr s)
{
  return json_stringn (s.data ? s.data : "", s.len);
}
