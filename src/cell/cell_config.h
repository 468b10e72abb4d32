/* Configuration of a cell as its operators publish it: routes from hosts and paths to queues, and
   the client accounts with their keys. */
#pragma once

#include "acct/acct_keys.h"
#include "dag/dag.h"

typedef struct {
  GrName host;    /* gr_name_key() of the host of the call, without a port */
  GrStr prefix;   /* of the path; owned */
  size_t queue;   /* index into queues */
  bool is_public; /* its calls need no key */
} CellRoute;

typedef struct {
  int64_t version;
  GR_LIST (CellRoute) routes;
  GR_LIST (DagQueue) queues;
  GR_LIST (DagAccount) accounts;
  AcctKeys *keys; /* to indexes into accounts; owned; NULL: no call needs a key */
} CellConfig;

/* Frees the lists and resets the version to 0. */
void cell_config_clear (CellConfig *config);
/* Adds a queue and a route to it; the arguments are copied. */
void cell_config_add (CellConfig *config, const GrName *host, GrStr prefix, const DagQueue *queue);
/* Returns the route of the host with the longest prefix that matches the path, or NULL. A port in
   host is ignored. */
const CellRoute *cell_config_find (const CellConfig *config, GrStr host, GrStr path);
/* Returns true if calls of the route, from a caller with this key, are accepted, and sets *account
   to the account that they belong to: none (empty) on public routes and without keys in force. */
bool cell_config_check_key (const CellConfig *config, const CellRoute *route, GrStr key,
                            GrName *account);
/* Returns true if a VM with this configuration knows the account of each call to the queue: a call
   without one came by a public route. Otherwise it was not checked: no key is needed, or the VM
   that received it has an earlier configuration or version. */
bool cell_config_knows_account (const CellConfig *config, const GrName *queue,
                                const GrName *account);
/* Returns the queue of that name, or NULL. */
const DagQueue *cell_config_queue (const CellConfig *config, const GrName *name);

/* State of configuration pushes from the leader to one VM. */
typedef struct {
  int64_t outdated_since; /* 0: the VM has the newest version */
  int64_t pushed_at;      /* 0: never */
} CellConfigPush;

/* Returns true if the leader should now send its configuration to the VM; called for each of the
   VM's heartbeats. VMs read the configuration from the store themselves: copies sent to all at once
   would fill the links. */
bool cell_config_push_due (CellConfigPush *push, bool is_outdated, bool has_store, int64_t now_ms);
