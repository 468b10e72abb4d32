/* JSON of the caller's port: submissions in, replies and errors out. */
#pragma once

#include "cfg/cfg.h"
#include "node/node_wire.h"

/* Longest job id: a task id adds "/INDEX". */
#define NODE_JOB_ID_MAX 56

/* Storage for the payload of a parsed submission. */
typedef struct {
  JobSpec spec;
  char *payload;
} NodeSubmission;

/* Parses the body of POST /v1/requests (request true) or /v1/jobs, and fills what the configuration
   says about the kind and the team. Errors: GR_ERR_MISSING, GR_ERR_INVALID, GR_ERR_TOO_LARGE,
   each naming the field. Release with node_json_clear. */
bool node_json_submission (GrStr body, bool request, const CfgTree *tree, NodeSubmission *out,
                           GrErr *err);
void node_json_clear (NodeSubmission *submission);
/* Appends {"error":{...}}. */
void node_json_error (GrBuf *out, GrErrCode code, GrStr name, const char *detail);
/* Appends a JSON string with quotes; bytes that are not UTF-8 are replaced by '?'. */
void node_json_string (GrBuf *out, GrStr text);
/* Body and HTTP status of a reply to the verb. */
int node_json_reply (GrBuf *out, NodeVerb verb, const GrName *id, const NodeReplyBody *reply);
