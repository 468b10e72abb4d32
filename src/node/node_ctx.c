#include "node/node_ctx.h"

#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "base/gr_opt.h"

int64_t
node_now (const Node *node)
{
  uv_update_time (node->loop);
  return (int64_t) uv_now (node->loop);
}

int64_t
node_unix (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
node_local_from_unix (const Node *node, int64_t unix_ms)
{
  return node_now (node) + (unix_ms - node_unix ());
}

int64_t
node_unix_from_local (const Node *node, int64_t local_ms)
{
  return node_unix () + (local_ms - node_now (node));
}

GrLog
node_log_context (const Node *node, const char *component)
{
  return (GrLog){ .vm = node->self.vm, .component = component };
}

void
node_restart (const Node *node)
{
  execv ("/proc/self/exe", node->settings->argv);
  exit (GR_EXIT_FAILED);
}

NetHttpClient *
node_http_client (const Node *node, int64_t per_host, int64_t total)
{
  NetHttpClientOptions options = { .max_connections_per_host = per_host, .max_connections = total };
  GrErr err = { 0 };
  NetHttpClient *client = net_http_client_new (node->loop, &options, &err);
  if (!client) {
    GrLog log = node_log_context (node, "node");
    gr_log (&log, GR_EV_BAD_SETTING, "HTTP client not created, exiting: %s", err.detail);
    exit (GR_EXIT_FAILED);
  }
  return client;
}

GrName
node_part_key (const GrName *region, int32_t part)
{
  return gr_name_format ("part/%.*s/%02d", GR_NAME_ARG (*region), part);
}

GrName
node_group_key (const GrName *region, const GrName *group)
{
  return gr_name_format ("group/%.*s/%.*s", GR_NAME_ARG (*region), GR_NAME_ARG (*group));
}

int32_t
node_key_part (const GrName *key)
{
  GrStr s = gr_name_str (key);
  if (!gr_str_starts_with (s, GR_STR ("part/")))
    return -1;
  size_t slash = s.len;
  while (slash > 0 && s.data[slash - 1] != '/')
    slash--;
  int64_t part;
  if (!gr_str_to_int64 ((GrStr){ s.data + slash, s.len - slash }, &part) || part < 0)
    return -1;
  return (int32_t) part;
}
