/* Pages for operators. */
#include <openssl/evp.h>
#include <stdlib.h>

#include "node/node_config.h"
#include "node/node_front.h"
#include "node/node_json.h"
#include "node/node_list.h"
#include "node/node_own.h"
#include "node/node_parts.h"
#include "node/node_peers.h"
#include "node/node_route.h"
#include "node/node_tasks.h"

#define MEMBERS_MAX 128

static bool
every_partition_owned (const Node *node)
{
  int32_t parts = node_own_parts (node);
  GrVmRef owner;
  int64_t epoch;
  bool owned = parts > 0;
  for (int32_t part = 0; owned && part < parts; part++) {
    GrName key = node_part_key (&node->region, part);
    owned = node_own_owner (node, &key, &owner, &epoch);
  }
  return owned;
}

bool
node_front_ready (Node *node, const char **why)
{
  if (!node_list_registered (node))
    *why = "not in the VM list yet\n";
  else if (!node_config_ready (node))
    *why = "no configuration yet\n";
  else if (!node_own_ready (node))
    *why = "ownership log not read yet\n";
  else if (!node->was_ready && !every_partition_owned (node))
    *why = "partitions of the region have no owner yet\n";
  else
    node->was_ready = true;
  return node->was_ready && node_list_registered (node);
}

void
node_front_metrics (Node *node, GrBuf *out)
{
  node_peers_count_bytes (node);
  gr_metric_render (&node->metrics, out);
}

/* Appends "field":"name". */
static void
append_name (GrBuf *out, const char *field, const GrName *name)
{
  gr_buf_printf (out, "\"%s\":", field);
  node_json_string (out, gr_name_str (name));
}

static void
append_members (Node *node, GrBuf *out)
{
  GrVmRef members[MEMBERS_MAX];
  size_t count = node_own_members (node, members, MEMBERS_MAX);
  gr_buf_printf (out, ",\"members\":[");
  for (size_t i = 0; i < count; i++) {
    gr_buf_printf (out, "%s", i ? "," : "");
    node_json_string (out, gr_name_str (&members[i].vm));
  }
  gr_buf_printf (out, "]");
}

static void
append_key (Node *node, GrBuf *out, const GrName *key, bool first)
{
  GrVmRef owner = { 0 };
  int64_t epoch = 0;
  bool owned = node_own_owner (node, key, &owner, &epoch);
  gr_buf_printf (out, "%s{", first ? "" : ",");
  append_name (out, "key", key);
  gr_buf_printf (out, ",");
  append_name (out, "owner", owned ? &owner.vm : &(GrName){ 0 });
  gr_buf_printf (out, ",\"epoch\":%lld,\"mine\":%s,\"active\":%s}", (long long) epoch,
                 node_own_is_self (node, key) ? "true" : "false",
                 node_own_may_start (node, key) ? "true" : "false");
}

static void
append_keys (Node *node, GrBuf *out)
{
  bool first = true;
  gr_buf_printf (out, ",\"keys\":[");
  for (int32_t part = 0; part < node_own_parts (node); part++) {
    GrName key = node_part_key (&node->region, part);
    append_key (node, out, &key, first);
    first = false;
  }
  for (NodeGroup *group = node_targets_first_group (node); group; group = group->hh.next) {
    append_key (node, out, &group->key, first);
    first = false;
  }
  gr_buf_printf (out, "]");
}

void
node_front_top (Node *node, GrBuf *out)
{
  SchSummary load;
  node_tasks_load (node, &load);
  gr_buf_printf (out, "{");
  append_name (out, "vm", &node->self.vm);
  gr_buf_printf (out, ",\"incarnation\":%lld,", (long long) node->self.incarnation);
  append_name (out, "region", &node->region);
  gr_buf_printf (out, ",");
  append_name (out, "zone", &node->zone);
  gr_buf_printf (out,
                 ",\"stopping\":%s,\"promise_mode\":%s,\"config_version\":%lld,"
                 "\"open_calls\":%zu,\"unfinished_jobs\":%zu,\"running\":%lld,\"queued\":%lld,"
                 "\"short_wait_ms\":%lld,\"free\":{",
                 node->stopping ? "true" : "false", node_own_promise_mode (node) ? "true" : "false",
                 (long long) node_config_version (node), node_route_open (node),
                 node_parts_unfinished (node), (long long) load.running, (long long) load.queued,
                 (long long) load.short_wait_ms);
  for (int d = 0; d < GR_RES_COUNT; d++)
    gr_buf_printf (out, "%s\"%s\":%d", d ? "," : "", gr_res_name ((GrResDim) d), load.free.v[d]);
  gr_buf_printf (out, "}");
  append_members (node, out);
  append_keys (node, out);
  gr_buf_printf (out, "}\n");
}

/* State of append_value. */
typedef struct {
  GrBuf *out;
  bool any; /* a value was appended, so the next one needs a comma */
} ValueList;

static void
append_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  ValueList *values = user;
  gr_buf_printf (values->out, "%s{\"key\":", values->any ? "," : "");
  values->any = true;
  node_json_string (values->out, key);
  gr_buf_printf (values->out, ",\"value\":");
  node_json_string (values->out, value);
  gr_buf_printf (values->out, ",");
  append_name (values->out, "file", &origin->file);
  gr_buf_printf (values->out, ",\"line\":%lld,", (long long) origin->line);
  append_name (values->out, "author", &origin->author);
  gr_buf_printf (values->out, ",\"reason\":");
  node_json_string (values->out, origin->reason);
  gr_buf_printf (values->out, "}");
}

static void
append_base64 (GrBuf *out, GrStr bytes)
{
  size_t size = 4 * ((bytes.len + 2) / 3) + 1;
  unsigned char *text = gr_calloc (size, 1);
  int len = EVP_EncodeBlock (text, (const unsigned char *) bytes.data, (int) bytes.len);
  gr_buf_append (out, text, (size_t) len);
  free (text);
}

void
node_front_config (Node *node, GrBuf *out)
{
  ValueList values = { .out = out };
  gr_buf_printf (out, "{\"version\":%lld,\"record\":\"", (long long) node_config_version (node));
  append_base64 (out, node_config_record (node));
  gr_buf_printf (out, "\",\"values\":[");
  cfg_tree_values (node_config_tree (node), append_value, &values);
  gr_buf_printf (out, "]}\n");
}
