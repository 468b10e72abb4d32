#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "standin/standin.h"

typedef struct {
  char id[GR_NAME_MAX + 1];
  StandinVm vm;
  int64_t version; /* list version of its last change */
  bool removed;    /* kept so that a read since an earlier version reports the removal */
  UT_hash_handle hh;
} Entry;

/* A change that the list does not show before visible_at_ms. */
typedef struct Change {
  int64_t visible_at_ms;
  bool remove;
  StandinVm vm;
  struct Change *prev, *next;
} Change;

struct StandinList {
  Standin *standin;
  Entry *entries;
  Change *pending; /* by visible_at_ms, earliest first */
  int64_t version;
  int64_t lag_ms;
  bool down; /* reads are answered with 503 */
};

StandinList *
standin_list_new (Standin *standin)
{
  StandinList *list = gr_calloc (1, sizeof *list);
  list->standin = standin;
  list->lag_ms = standin->options.list_lag_ms;
  return list;
}

int64_t
standin_list_lag (const StandinList *list)
{
  return list->lag_ms;
}

static void
apply_change (StandinList *list, Change *change)
{
  Entry *entry = NULL;
  GrName id = change->vm.id;
  HASH_FIND (hh, list->entries, id.data, id.len, entry);
  if (!entry && change->remove) {
    gr_buf_clear (&change->vm.url);
    return;
  }
  if (!entry) {
    entry = gr_calloc (1, sizeof *entry);
    memcpy (entry->id, id.data, id.len);
    HASH_ADD (hh, list->entries, id, id.len, entry);
  }
  entry->removed = change->remove;
  entry->version = ++list->version;
  gr_buf_clear (&entry->vm.url);
  entry->vm = change->vm;
}

static void
apply_due_changes (StandinList *list)
{
  int64_t now = standin_now ();
  while (list->pending && list->pending->visible_at_ms <= now) {
    Change *change = list->pending;
    DL_DELETE (list->pending, change);
    apply_change (list, change);
    free (change);
  }
}

static void
queue_change (StandinList *list, Change *change, int64_t lag_ms)
{
  change->visible_at_ms = standin_now () + lag_ms;
  /* Changes appear in the order in which they were made, even after the lag was lowered. */
  if (list->pending && list->pending->prev->visible_at_ms > change->visible_at_ms)
    change->visible_at_ms = list->pending->prev->visible_at_ms;
  DL_APPEND (list->pending, change);
  apply_due_changes (list);
}

void
standin_list_put (StandinList *list, const StandinVm *vm, int64_t lag_ms)
{
  Change *change = gr_calloc (1, sizeof *change);
  change->vm = *vm;
  change->vm.url = (GrBuf){ 0 };
  gr_buf_append_str (&change->vm.url, gr_buf_str (&vm->url));
  queue_change (list, change, lag_ms);
}

void
standin_list_remove (StandinList *list, const GrName *id, int64_t lag_ms)
{
  Change *change = gr_calloc (1, sizeof *change);
  change->vm.id = *id;
  change->remove = true;
  queue_change (list, change, lag_ms);
}

static json_t *
vm_to_json (const StandinVm *vm)
{
  json_t *json = json_object ();
  json_object_set_new (json, "id", standin_json_text (gr_name_str (&vm->id)));
  json_object_set_new (json, "role", json_string (vm->role));
  json_object_set_new (json, "region", standin_json_text (gr_name_str (&vm->region)));
  json_object_set_new (json, "zone", standin_json_text (gr_name_str (&vm->zone)));
  json_object_set_new (json, "rack", standin_json_text (gr_name_str (&vm->rack)));
  json_object_set_new (json, "state", json_string (vm->leaving ? "leaving" : "live"));
  json_object_set_new (json, "url", standin_json_text (gr_buf_str (&vm->url)));
  json_object_set_new (json, "peer", standin_json_text (gr_name_str (&vm->peer)));
  json_object_set_new (json, "incarnation", json_integer (vm->incarnation));
  for (int d = 0; d < GR_RES_COUNT; d++)
    json_object_set_new (json, gr_res_name ((GrResDim) d), json_integer (vm->capacity.v[d]));
  json_object_set_new (json, "connections", json_integer (vm->connections));
  return json;
}

void
standin_list_call (StandinList *list, StandinCall *call)
{
  if (list->down) {
    standin_call_error (call, 503, "unavailable", "the VM list is down");
    return;
  }
  apply_due_changes (list);
  int64_t since = net_http_query_int (gr_buf_str (&call->query), GR_STR ("since"), 0);
  bool full = since <= 0 || since > list->version;
  json_t *vms = json_array ();
  json_t *removed = json_array ();
  Entry *entry, *next;
  HASH_ITER (hh, list->entries, entry, next)
  {
    if (!full && entry->version <= since)
      continue;
    if (!entry->removed)
      json_array_append_new (vms, vm_to_json (&entry->vm));
    else if (!full)
      json_array_append_new (removed, json_string (entry->id));
  }
  standin_call_json (call, 200,
                     json_pack ("{s:I,s:b,s:o,s:o}", "version", (json_int_t) list->version, "full",
                                full, "vms", vms, "removed", removed));
}

void
standin_list_register (StandinList *list, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  StandinVm vm = { .role = "entry" };
  GrName peer;
  const json_t *url = json_object_get (body, "url");
  if (!standin_json_name (body, "id", &vm.id) || !standin_json_name (body, "region", &vm.region)
      || !standin_json_name (body, "peer", &peer) || !json_is_string (url)) {
    json_decref (body);
    standin_call_error (call, 400, "invalid", "needed are id, region, peer and url");
    return;
  }
  standin_json_name (body, "zone", &vm.zone);
  GrName state;
  standin_json_name (body, "state", &state);
  vm.leaving = gr_str_equal (gr_name_str (&state), GR_STR ("leaving"));
  vm.incarnation = standin_json_int (body, "incarnation", 0);
  gr_buf_append (&vm.url, json_string_value (url), json_string_length (url));
  json_decref (body);
  vm.peer = peer;
  bool ok
      = !list->standin->relay || standin_relay_add (list->standin->relay, &vm.id, &peer, &vm.peer);
  if (ok)
    standin_list_put (list, &vm, list->lag_ms);
  gr_buf_clear (&vm.url);
  if (ok)
    standin_call_json (call, 200,
                       json_pack ("{s:o}", "peer", standin_json_text (gr_name_str (&vm.peer))));
  else
    standin_call_error (call, 500, "io", "no relay port could be opened");
}

void
standin_list_unregister (StandinList *list, StandinCall *call, GrStr id)
{
  GrName name;
  /* No registration has an id that does not fit. */
  if (gr_name_set (&name, id))
    standin_list_remove (list, &name, list->lag_ms);
  standin_call_json (call, 200, json_object ());
}

void
standin_list_control (StandinList *list, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  const json_t *down = json_object_get (body, "down");
  if (json_is_boolean (down))
    list->down = json_is_true (down);
  list->lag_ms = standin_json_int (body, "lag_ms", list->lag_ms);
  json_decref (body);
  standin_call_json (call, 200, json_object ());
}
