/* Work that the configuration folder describes: services, batch work and gangs. */
#pragma once

#include "node/node_ctx.h"

typedef struct NodeWork NodeWork;

NodeWork *node_work_new (Node *node);
void node_work_free (NodeWork *work);
void node_work_config_changed (Node *node);
