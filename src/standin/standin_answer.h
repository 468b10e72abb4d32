/* Answers of the stand-in's tasks. An answer depends on the task id and the payload only, so a
   caller can compute it and check that the answer it received is that of its own task. */
#pragma once

#include "base/gr_str.h"

/* Directives are space-separated words of the payload: "fail", "answer=BYTES", "use=PERCENT" and
   "run=MS". Other words are ignored. */
typedef struct {
  bool fail;            /* the task ends as failed */
  int64_t answer_bytes; /* minimum length of the answer; 0: no filling */
  int64_t use_pct;      /* observed use in percent of the demand */
  int64_t run_ms;       /* -1: the declared run time */
} StandinDirectives;

/* Longest answer a payload can ask for. */
#define STANDIN_ANSWER_MAX (1024 * 1024)

/* Returns the directives of a payload; defaults for those that are absent. */
StandinDirectives standin_directives (GrStr payload);
/* Appends the answer to out: "TASK:HASH" with the hash of task id and payload, padded with
   generated letters to answer_bytes. */
void standin_answer (const GrName *task, GrStr payload, GrBuf *out);
