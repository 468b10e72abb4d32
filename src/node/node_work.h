/* Submits the work that the configuration describes (services, batch work and gangs), and cancels
   it once the configuration no longer contains it. */
#pragma once

#include "node/node_ctx.h"

typedef struct NodeWork NodeWork;

NodeWork *node_work_new (Node *node);
void node_work_free (NodeWork *work);
/* A new version of the configuration is in force. */
void node_work_config_changed (Node *node);
