/* VM list component: polls the platform's VM list once a second for changes since the last version,
   and passes changes on to the ownership, targets and peers components. */
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
  GrName group;        /* targets: key of the group, "group/REGION/NAME" */
  GrName peer;         /* entry VMs: IP:PORT for peers */
  char *url;           /* targets: base URL */
  int64_t incarnation; /* 0 if the list has none */
  bool leaving;        /* has the state "leaving" */
  GrRes capacity;
  bool seen; /* contained in the full list that is being applied */
  UT_hash_handle hh;
} NodeVm;

typedef struct NodeList NodeList;

NodeList *node_list_new (Node *node);
void node_list_free (NodeList *list);
/* Returns the VM, or NULL. VMs belong to the list; pointers are valid until the next update. */
NodeVm *node_list_find (const Node *node, GrStr id);
/* Returns the first VM, or NULL. The others follow by hh.next. */
NodeVm *node_list_first (const Node *node);
/* True once the list has contained this VM. */
bool node_list_registered (const Node *node);
/* Number of entry VMs in the region; an empty name counts all regions. */
size_t node_list_entry_count (const Node *node, const GrName *region);
/* Lowest region name among the entry VMs, the home of teams without a configured region. Empty if
   the list has no entry VM. */
GrName node_list_first_region (const Node *node);
/* Applies the JSON body of GET /vms and sets *changed if it held any VMs or removals, or was a full
   list. Error GR_ERR_PROTOCOL; the list is then unchanged. */
bool node_list_apply (NodeList *list, GrStr body, bool *changed, GrErr *err);
