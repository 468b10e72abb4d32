#include "node/node_list.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "node/node_own.h"
#include "node/node_peers.h"
#include "node/node_targets.h"

#define LIST_INTERVAL_MS 1000
#define LIST_TIMEOUT_MS 3000

struct NodeList {
  Node *node;
  GrLog log;
  NetHttpClient *client;
  uv_timer_t timer;
  NodeVm *vms;
  int64_t version; /* of the last list applied */
  bool reading;    /* a request is in flight */
  bool failed;     /* the last read failed; only the first failure in a row is logged */
  bool registered;
  bool closed;
  int64_t sent_ms;       /* of the last request */
  int64_t bytes_counted; /* bytes of the client that are in GR_METRIC_CONTROL_BYTES */
};

/* Returns false if the field is not a string or is too long. An absent or null field leaves *out
   unchanged. */
static bool
text_field (json_t *object, const char *field, GrName *out)
{
  json_t *value = json_object_get (object, field);
  if (!value || json_is_null (value))
    return true;
  return json_is_string (value)
         && gr_name_set (out, (GrStr){ json_string_value (value), json_string_length (value) });
}

/* Clamps the value to 0..INT32_MAX; an absent field is 0. */
static int32_t
resource_field (json_t *object, const char *field)
{
  json_int_t value = json_integer_value (json_object_get (object, field));
  return value < 0 ? 0 : value > INT32_MAX ? INT32_MAX : (int32_t) value;
}

static bool
role_field (json_t *object, NodeRole *role)
{
  GrStr text = gr_str_from_c (json_string_value (json_object_get (object, "role")));
  if (gr_str_equal (text, GR_STR ("entry")))
    *role = NODE_ROLE_ENTRY;
  else if (gr_str_equal (text, GR_STR ("worker")))
    *role = NODE_ROLE_WORKER;
  else if (gr_str_equal (text, GR_STR ("executor")))
    *role = NODE_ROLE_EXECUTOR;
  else
    return false;
  return true;
}

/* Key of a target's group: its rack, or its zone and role if it has no rack. */
static GrName
group_of (const NodeVm *vm, const GrName *rack)
{
  GrName group = *rack;
  if (group.len == 0)
    group = gr_name_format ("%.*s-%s", GR_NAME_ARG (vm->zone),
                            vm->role == NODE_ROLE_WORKER ? "workers" : "executors");
  return node_group_key (&vm->region, &group);
}

static bool
parse_vm (json_t *object, NodeVm *vm, const char **url)
{
  GrName rack = { 0 };
  GrName state = { 0 };
  if (!json_is_object (object) || !text_field (object, "id", &vm->id) || vm->id.len == 0
      || !role_field (object, &vm->role) || !text_field (object, "region", &vm->region)
      || !text_field (object, "zone", &vm->zone) || !text_field (object, "rack", &rack)
      || !text_field (object, "peer", &vm->peer) || !text_field (object, "state", &state))
    return false;
  vm->leaving = gr_str_equal (gr_name_str (&state), GR_STR ("leaving"));
  vm->incarnation = json_integer_value (json_object_get (object, "incarnation"));
  vm->capacity.v[GR_RES_CPU_MILLI] = resource_field (object, "cpu_milli");
  vm->capacity.v[GR_RES_MEMORY_MB] = resource_field (object, "memory_mb");
  vm->capacity.v[GR_RES_ACCELERATORS] = resource_field (object, "accelerators");
  vm->capacity.v[GR_RES_SLOTS] = resource_field (object, "slots");
  *url = json_string_value (json_object_get (object, "url"));
  if (vm->role != NODE_ROLE_ENTRY) {
    if (!*url)
      return false;
    vm->group = group_of (vm, &rack);
  }
  return true;
}

static void
remove_vm (NodeList *list, NodeVm *vm)
{
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
  HASH_DEL (list->vms, vm);
  free (vm->url);
  free (vm);
}

static void
put_vm (NodeList *list, const NodeVm *parsed, const char *url)
{
  NodeVm *vm = node_list_find (list->node, gr_name_str (&parsed->id));
  if (!vm) {
    vm = gr_calloc (1, sizeof *vm);
    vm->id = parsed->id;
    HASH_ADD_KEYPTR (hh, list->vms, vm->id.data, vm->id.len, vm);
  }
  free (vm->url);
  UT_hash_handle hh = vm->hh;
  *vm = *parsed;
  vm->hh = hh;
  vm->url = url ? gr_str_dup (gr_str_from_c (url)) : NULL;
  vm->seen = true;
}

static void
remove_unseen (NodeList *list)
{
  NodeVm *vm, *next;
  HASH_ITER (hh, list->vms, vm, next)
  {
    if (!vm->seen)
      remove_vm (list, vm);
  }
}

bool
node_list_apply (NodeList *list, GrStr body, bool *changed, GrErr *err)
{
  bool ok = false;
  json_error_t json_err;
  json_t *root = json_loadb (body.data, body.len, 0, &json_err);
  json_t *version = json_object_get (root, "version");
  json_t *vms = json_object_get (root, "vms");
  json_t *removed = json_object_get (root, "removed");
  bool full = json_is_true (json_object_get (root, "full"));
  if (!json_is_integer (version) || !json_is_array (vms)) {
    gr_err_set (err, GR_ERR_PROTOCOL, "vms", "field version or vms missing or malformed");
    goto done;
  }
  size_t i;
  json_t *item;
  json_array_foreach (vms, i, item)
  {
    NodeVm vm = { 0 };
    const char *url;
    if (!parse_vm (item, &vm, &url)) {
      gr_err_set (err, GR_ERR_PROTOCOL, "vms", "VM %zu is malformed", i);
      goto done;
    }
  }
  *changed = full || json_array_size (vms) > 0 || json_array_size (removed) > 0;
  for (NodeVm *vm = list->vms; vm; vm = vm->hh.next)
    vm->seen = !full;
  json_array_foreach (vms, i, item)
  {
    NodeVm vm = { 0 };
    const char *url;
    if (parse_vm (item, &vm, &url))
      put_vm (list, &vm, url);
  }
  remove_unseen (list);
  json_array_foreach (removed, i, item)
  {
    NodeVm *vm = node_list_find (list->node,
                                 (GrStr){ json_string_value (item), json_string_length (item) });
    if (vm)
      remove_vm (list, vm);
  }
  list->version = json_integer_value (version);
  ok = true;
done:
  json_decref (root);
  return ok;
}

static void
update_peer_addresses (NodeList *list)
{
  GR_LIST (NetPeerAddress) known = { 0 };
  for (NodeVm *vm = list->vms; vm; vm = vm->hh.next) {
    if (vm->role == NODE_ROLE_ENTRY && vm->peer.len > 0
        && !gr_name_equal (&vm->id, &list->node->self.vm))
      gr_list_push (&known, (NetPeerAddress){ vm->id, vm->peer });
  }
  node_peers_set_known (list->node->peers, known.items, known.count);
  gr_list_clear (&known);
}

static void
list_done (void *user, const NetHttpAnswer *answer)
{
  NodeList *list = user;
  if (list->closed)
    return;
  list->reading = false;
  int64_t bytes = net_http_client_bytes (list->client);
  gr_metric_add (&list->node->metrics, GR_METRIC_CONTROL_BYTES, bytes - list->bytes_counted);
  list->bytes_counted = bytes;
  bool changed = false;
  GrErr err = { 0 };
  bool ok = answer->status == 200 && node_list_apply (list, answer->body, &changed, &err);
  if (!ok) {
    if (!list->failed)
      gr_log (&list->log, GR_EV_SERVICE_DOWN, "VM list not updated: status %d %s", answer->status,
              err.detail);
    list->failed = true;
    return;
  }
  list->failed = false;
  if (!list->registered)
    list->registered = node_list_find (list->node, gr_name_str (&list->node->self.vm)) != NULL;
  if (changed) {
    update_peer_addresses (list);
    node_targets_list_changed (list->node);
  }
  node_own_list_read (list->node, list->sent_ms, changed);
}

static void
list_tick (uv_timer_t *timer)
{
  NodeList *list = timer->data;
  if (list->reading)
    return;
  char url[512];
  int len = snprintf (url, sizeof url, "%s/vms?since=%lld", list->node->settings->platform_url,
                      (long long) list->version);
  list->reading = true;
  list->sent_ms = node_now (list->node);
  NetHttpCall http = { .method = "GET",
                       .url = { url, (size_t) len },
                       .timeout_at_ms = list->sent_ms + LIST_TIMEOUT_MS };
  net_http_client_send (list->client, &http, list_done, list);
}

NodeList *
node_list_new (Node *node)
{
  NodeList *list = gr_calloc (1, sizeof *list);
  list->node = node;
  list->log = node_log_context (node, "list");
  list->client = node_http_client (node, 1, 1);
  uv_timer_init (node->loop, &list->timer);
  list->timer.data = list;
  uv_timer_start (&list->timer, list_tick, 0, LIST_INTERVAL_MS);
  return list;
}

void
node_list_free (NodeList *list)
{
  list->closed = true;
  uv_close ((uv_handle_t *) &list->timer, NULL);
  net_http_client_free (list->client);
  NodeVm *vm, *next;
  HASH_ITER (hh, list->vms, vm, next)
  remove_vm (list, vm);
}

NodeVm *
node_list_find (const Node *node, GrStr id)
{
  NodeVm *vm = NULL;
  if (id.len > 0)
    HASH_FIND (hh, node->list->vms, id.data, id.len, vm);
  return vm;
}

NodeVm *
node_list_first (const Node *node)
{
  return node->list->vms;
}

bool
node_list_registered (const Node *node)
{
  return node->list->registered;
}

size_t
node_list_entry_count (const Node *node, const GrName *region)
{
  size_t count = 0;
  for (NodeVm *vm = node->list->vms; vm; vm = vm->hh.next) {
    if (vm->role == NODE_ROLE_ENTRY && (region->len == 0 || gr_name_equal (&vm->region, region)))
      count++;
  }
  return count;
}

GrName
node_list_first_region (const Node *node)
{
  GrName first = { 0 };
  for (NodeVm *vm = node->list->vms; vm; vm = vm->hh.next) {
    if (vm->role == NODE_ROLE_ENTRY
        && (first.len == 0 || gr_name_compare (&vm->region, &first) < 0))
      first = vm->region;
  }
  return first;
}
