/* The platform's log stream "config", read through the same store as the daemons use. */
#pragma once

#include "cli/cli.h"

/* Reads from where the store stands to the end of the stream. If own is not empty, the verdict on
   the first record with these bytes at or after own_from is stored; *own_found tells whether it was
   there. */
typedef struct {
  const CliSettings *settings;
  CfgStore *store;
  GrStr own;
  int64_t own_from;
  bool own_found;
  CfgVerdict own_verdict;
  CfgProblem own_problem;
  int64_t end; /* offset after the newest record */
} CliStream;

bool cli_stream_read (CliStream *stream, GrErr *err);
/* Error GR_ERR_UNKNOWN if the record may have been appended. */
bool cli_stream_append (const CliSettings *settings, GrStr record, int64_t *offset, GrErr *err);
