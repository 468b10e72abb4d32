/* Finds the end of the header of a request and the announced size of its body while the bytes
   arrive, so that the request can be refused before its body is read. Pure. h2o parses the request;
   this is only for limits. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Zero-initialised at the beginning of a request. */
typedef struct {
  size_t scanned;     /* bytes that were searched for the end of the header */
  size_t len;         /* of the header with the empty line at its end; 0: not complete */
  bool has_body;      /* a length above 0 or chunked */
  int64_t body_bytes; /* announced; -1: none announced, or malformed */
  bool expects_continue;
} NetHead;

/* bytes: all of the request that has arrived. Returns true once the header is complete. */
bool net_head_scan (NetHead *head, GrStr bytes);

#ifdef __cplusplus
}
#endif
