/* JSON of the HTTP interface for callers: parses submissions, writes replies and errors. */
#pragma once

#include "cfg/cfg.h"
#include "node/node_wire.h"

/* Longest job id in bytes. A task id is the job id and "/INDEX", and has to fit into a GrName. */
#define NODE_JOB_ID_MAX 56

/* A parsed submission. */
typedef struct {
  JobSpec spec;
  char *payload; /* owned storage of spec.payload; NULL without a payload */
} NodeSubmission;

/* Parses the body of POST /v1/requests (request true) or /v1/jobs, and applies the settings of the
   kind and the team in the configuration. Returns false with GR_ERR_MISSING, GR_ERR_INVALID or
   GR_ERR_UNKNOWN_FIELD and the field. Release *out with node_json_clear; after an error this is not
   necessary. */
bool node_json_submission (GrStr body, bool request, const CfgTree *tree, NodeSubmission *out,
                           GrErr *err);
void node_json_clear (NodeSubmission *submission);
/* Appends {"error":{...}}; field is the name of the faulty field, or a cause, and may be empty. */
void node_json_error (GrBuf *out, GrErrCode code, GrStr field, const char *detail);
/* Appends a JSON string with quotes; bytes that are not UTF-8 are replaced by '?'. */
void node_json_string (GrBuf *out, GrStr text);
/* Appends the body of the reply to a call with the verb and id. Returns the HTTP status. */
int node_json_reply (GrBuf *out, NodeVerb verb, const GrName *id, const NodeReplyBody *reply);
