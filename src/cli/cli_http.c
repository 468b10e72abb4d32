#include "cli/cli_http.h"

#include <curl/curl.h>
#include <stdio.h>

#define ANSWER_BYTES_MAX (64 * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 3000L

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  GrBuf *body = user;
  size_t len = size * count;
  if (body->len + len > ANSWER_BYTES_MAX)
    return 0;
  gr_buf_append (body, data, len);
  return len;
}

static bool
may_have_been_processed (CURLcode code, CURL *curl)
{
  long sent = 0;
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0 && code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
}

bool
cli_http (const CliCall *call, CliAnswer *answer, GrErr *err)
{
  memset (answer, 0, sizeof *answer);
  bool ok = false;
  GrBuf url = { 0 };
  GrBuf authorization = { 0 };
  struct curl_slist *headers = NULL;
  CURL *curl = curl_easy_init ();
  if (!curl)
    return gr_err_set (err, GR_ERR_IO, "http", "libcurl could not be initialised");
  gr_buf_printf (&url, "%s%s", call->base, call->path);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  if (call->token && call->token[0]) {
    gr_buf_printf (&authorization, "Authorization: Bearer %s", call->token);
    headers = curl_slist_append (headers, authorization.data);
  }
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  if (strcmp (call->method, "GET") != 0) {
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body.len > 0 ? call->body.data : "");
    curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) call->body.len);
  }
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer->body);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long) call->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  CURLcode code = curl_easy_perform (curl);
  if (code != CURLE_OK) {
    gr_err_set (err, may_have_been_processed (code, curl) ? GR_ERR_UNKNOWN : GR_ERR_UNAVAILABLE,
                "http", "%s: %s", url.data, curl_easy_strerror (code));
    gr_buf_clear (&answer->body);
    goto done;
  }
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  answer->status = (int) status;
  ok = true;

done:
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  gr_buf_clear (&url);
  gr_buf_clear (&authorization);
  return ok;
}

void
cli_url_escape (GrBuf *out, const char *text)
{
  static const char unreserved[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  for (const char *c = text; *c; c++) {
    if (strchr (unreserved, *c))
      gr_buf_append (out, c, 1);
    else
      gr_buf_printf (out, "%%%02X", (unsigned char) *c);
  }
}
