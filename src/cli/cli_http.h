/* Blocking HTTP calls over libcurl's easy interface. */
#pragma once

#include "base/gr_err.h"

typedef struct {
  const char *method;
  const char *base;  /* "http://HOST:PORT" */
  const char *path;  /* with the query */
  const char *token; /* bearer token; NULL or empty: no Authorization header */
  GrStr body;
  int64_t timeout_ms; /* for the whole call */
} CliCall;

typedef struct {
  int status;
  GrBuf body;
} CliAnswer;

/* Returns true for a complete response of any status. Errors: GR_ERR_UNAVAILABLE if nothing was
   sent, GR_ERR_UNKNOWN if the request may have been processed, GR_ERR_IO without libcurl. The
   caller releases answer->body with gr_buf_clear(). */
bool cli_http (const CliCall *call, CliAnswer *answer, GrErr *err);
/* Appends text with all but the unreserved URL characters percent-encoded. */
void cli_url_escape (GrBuf *out, const char *text);
