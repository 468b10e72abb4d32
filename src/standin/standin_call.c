#include <stdlib.h>

#include "standin/standin.h"

static void
release (StandinCall *call)
{
  gr_buf_clear (&call->path);
  gr_buf_clear (&call->query);
  gr_buf_clear (&call->body);
  gr_buf_clear (&call->answer);
  free (call);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  release (handle->data);
}

static void
end (StandinCall *call)
{
  if (call->on_end)
    call->on_end (call->on_end_user);
  if (call->timer_open)
    uv_close ((uv_handle_t *) &call->timer, on_timer_closed);
  else
    release (call);
}

static void
on_exchange_gone (void *user)
{
  StandinCall *call = user;
  call->exchange = NULL;
  if (call->on_gone)
    call->on_gone (call);
}

StandinCall *
standin_call_new (Standin *standin, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  StandinCall *call = gr_calloc (1, sizeof *call);
  call->standin = standin;
  call->exchange = exchange;
  gr_name_set (&call->method, request->method);
  gr_buf_append_str (&call->path, request->path);
  gr_buf_append_str (&call->query, request->query);
  gr_buf_append_str (&call->body, request->body);
  net_http_on_close (exchange, on_exchange_gone, call);
  return call;
}

static void
on_timer (uv_timer_t *timer)
{
  StandinCall *call = timer->data;
  call->later (call);
}

void
standin_call_later (StandinCall *call, int64_t ms, StandinCallFunc func)
{
  if (!call->timer_open) {
    uv_timer_init (call->standin->loop, &call->timer);
    call->timer.data = call;
    call->timer_open = true;
  }
  call->later = func;
  uv_timer_start (&call->timer, on_timer, ms > 0 ? (uint64_t) ms : 0, 0);
}

static void
send_now (StandinCall *call)
{
  NetHttpExchange *exchange = call->exchange;
  call->exchange = NULL;
  if (exchange && call->lose_answer)
    net_http_abort (exchange);
  else if (exchange)
    net_http_reply (exchange, call->status, gr_str_from_c (call->answer_type),
                    gr_buf_str (&call->answer));
  end (call);
}

void
standin_call_reply (StandinCall *call, int status, const char *type, GrStr body)
{
  call->on_gone = NULL;
  call->status = status;
  call->answer_type = type;
  gr_buf_append_str (&call->answer, body);
  if (call->answer_delay_ms > 0 && call->exchange)
    standin_call_later (call, call->answer_delay_ms, send_now);
  else
    send_now (call);
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
  call->on_gone = NULL;
  call->lose_answer = true;
  send_now (call);
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
