/* What a task of the stand-in answers, so that a caller can check that an answer is its own. */
#pragma once

#include "base/gr_str.h"

/* Directives are words of the payload: "fail", "answer=BYTES", "use=PERCENT" and "run=MS". */
typedef struct {
  bool fail;
  int64_t answer_bytes; /* 0: the short answer */
  int64_t use_pct;      /* observed use in percent of the demand */
  int64_t run_ms;       /* -1: as declared */
} StandinDirectives;

/* Longest answer a payload can ask for. */
#define STANDIN_ANSWER_MAX (1024 * 1024)

StandinDirectives standin_directives (GrStr payload);
/* "TASK:HASH" of task id and payload, filled up with generated letters to answer_bytes. */
void standin_answer (const GrName *task, GrStr payload, GrBuf *out);
