/* Stores the last decision about each job, for /v1/jobs/ID/explain. */
#pragma once

#include "node/node_wire.h"

typedef struct NodeWhy NodeWhy;

NodeWhy *node_why_new (void);
/* Records a placement result or a task report that the scheduler `from` sent. */
void node_why_place (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms);
void node_why_report (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms);
/* Appends the last decision as one line; nothing if none is stored. */
void node_why_explain (NodeWhy *why, const GrName *job, GrBuf *out);
/* Removes decisions whose retention is over. */
void node_why_expire (NodeWhy *why, int64_t now_ms);
