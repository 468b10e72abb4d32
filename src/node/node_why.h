/* The last decision about each unfinished job, for /v1/jobs/ID/explain. */
#pragma once

#include "node/node_wire.h"

typedef struct NodeWhy NodeWhy;

NodeWhy *node_why_new (void);
void node_why_place (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms);
void node_why_report (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms);
/* Appends nothing if no decision is known. */
void node_why_explain (NodeWhy *why, const GrName *job, GrBuf *out);
void node_why_expire (NodeWhy *why, int64_t now_ms);
