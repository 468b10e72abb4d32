/* The platform's VM list, read by version each second. Derives targets, groups, keys and peers. */
#pragma once

#include <uthash.h>

#include "base/gr_res.h"
#include "node/node_ctx.h"

typedef enum {
  NODE_ROLE_ENTRY,
  NODE_ROLE_WORKER,
  NODE_ROLE_EXECUTOR
} NodeRole;

typedef struct NodeVm {
  GrName id;
  NodeRole role;
  GrName region;
  GrName zone;
  GrName group; /* key of the group of a target */
  GrName peer;  /* IP:PORT of an entry VM */
  char *url;    /* of a target */
  int64_t incarnation;
  bool leaving;
  GrRes capacity;
  bool seen; /* during a full list */
  UT_hash_handle hh;
} NodeVm;

typedef struct NodeList NodeList;

NodeList *node_list_new (Node *node);
void node_list_free (NodeList *list);
NodeVm *node_list_find (const Node *node, GrStr id);
/* First VM; the others follow by hh.next. */
NodeVm *node_list_first (const Node *node);
/* True once the list has shown this VM. */
bool node_list_registered (const Node *node);
size_t node_list_entry_count (const Node *node, const GrName *region);
/* Lowest region name among the entry VMs: the home of teams without a configured region. */
GrName node_list_first_region (const Node *node);
/* Applies the JSON body of GET /vms. Error GR_ERR_PROTOCOL; the list is then unchanged. */
bool node_list_apply (NodeList *list, GrStr body, bool *changed, GrErr *err);
