/* Reads from the bytes of a request, while they arrive, what is needed to refuse it before its body
   is read. Pure. It decides nothing about the meaning of a request: h2o parses it. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Zero-initialised at the beginning of a request. */
typedef struct {
  size_t scanned;     /* bytes without the end of the header so far */
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
