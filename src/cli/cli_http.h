/* Blocking HTTP calls over libcurl's easy interface. */
#pragma once

#include "base/gr_err.h"

typedef struct {
  const char *method;
  const char *base; /* "http://HOST:PORT" */
  const char *path; /* with the query */
  const char *token;
  GrStr body;
  int64_t timeout_ms;
} CliCall;

typedef struct {
  int status;
  GrBuf body;
} CliAnswer;

/* False without a whole answer: GR_ERR_UNAVAILABLE if nothing was sent, GR_ERR_UNKNOWN if the call
   may have had its effect. Release the answer with gr_buf_clear. */
bool cli_http (const CliCall *call, CliAnswer *answer, GrErr *err);
/* Appends text with all but unreserved characters escaped. */
void cli_url_escape (GrBuf *out, const char *text);
