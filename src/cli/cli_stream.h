/* The platform's log stream "config", evaluated with the same store as in the daemons. */
#pragma once

#include "cli/cli.h"

/* A reader of the stream: the store that evaluates its records and, optionally, a published record
   to look for. */
typedef struct {
  const CliSettings *settings;
  CfgStore *store;
  GrStr record;        /* bytes to look for; empty: none */
  int64_t record_from; /* lowest offset at which they can be */
  bool record_found;
  CfgVerdict record_verdict; /* of the first match; valid if record_found */
  CfgProblem record_problem;
  int64_t end; /* offset after the newest record */
} CliStream;

/* Reads from the next offset of the store to the end of the stream. If the record to look for is
   among the records read, sets record_found and stores the verdict on it. Errors: those of
   cli_http(), GR_ERR_UNAVAILABLE for a status other than 200, GR_ERR_PROTOCOL for a malformed
   answer. */
bool cli_stream_read (CliStream *stream, GrErr *err);
/* Appends a record and stores its offset. Errors: GR_ERR_FAILED if the log rejected it,
   GR_ERR_UNAVAILABLE if it was not sent, GR_ERR_UNKNOWN if it may have been appended. */
bool cli_stream_append (const CliSettings *settings, GrStr record, int64_t *offset, GrErr *err);
