#include "cell/cell_config.h"

#include <stdlib.h>

#include "base/gr_name_key.h"

/* A VM that reaches the store has read a new configuration within this time. */
#define STORE_READ_MS 1500
/* Between two copies sent to one VM: the first may still be in transit on a slow link. */
#define PUSH_INTERVAL_MS 1000

bool
cell_config_push_due (CellConfigPush *push, bool is_outdated, bool has_store, int64_t now_ms)
{
  if (!is_outdated) {
    push->outdated_since = 0;
    return false;
  }
  if (push->outdated_since == 0)
    push->outdated_since = now_ms;
  if (has_store && now_ms - push->outdated_since < STORE_READ_MS)
    return false;
  if (push->pushed_at > 0 && now_ms - push->pushed_at < PUSH_INTERVAL_MS)
    return false;
  push->pushed_at = now_ms;
  return true;
}

void
cell_config_clear (CellConfig *config)
{
  for (size_t i = 0; i < config->routes.count; i++)
    free ((char *) config->routes.items[i].prefix.data);
  gr_list_clear (&config->routes);
  gr_list_clear (&config->queues);
  gr_list_clear (&config->accounts);
  acct_keys_free (config->keys);
  config->keys = NULL;
  config->version = 0;
}

void
cell_config_add (CellConfig *config, const GrName *host, GrStr prefix, const DagQueue *queue)
{
  CellRoute route = { .host = *host, .queue = config->queues.count };
  route.prefix = (GrStr){ gr_str_dup (prefix), prefix.len };
  gr_list_push (&config->queues, *queue);
  gr_list_push (&config->routes, route);
}

const CellRoute *
cell_config_find (const CellConfig *config, GrStr host, GrStr path)
{
  const CellRoute *best = NULL;
  const char *colon = host.len > 0 ? memchr (host.data, ':', host.len) : NULL;
  if (colon)
    host.len = (size_t) (colon - host.data);
  GrName key = gr_name_key (host);
  for (size_t i = 0; i < config->routes.count; i++) {
    const CellRoute *route = &config->routes.items[i];
    if (!gr_name_equal (&route->host, &key) || !gr_str_starts_with (path, route->prefix))
      continue;
    if (!best || route->prefix.len > best->prefix.len)
      best = route;
  }
  return best;
}

bool
cell_config_check_key (const CellConfig *config, const CellRoute *route, GrStr key, GrName *account)
{
  uint32_t index;
  *account = (GrName){ 0 };
  if (!config->keys || route->is_public)
    return true;
  if (!acct_keys_find (config->keys, key, &index) || index >= config->accounts.count)
    return false;
  *account = config->accounts.items[index].name;
  return true;
}

bool
cell_config_knows_account (const CellConfig *config, const GrName *queue, const GrName *account)
{
  if (account->len > 0 || !config->keys)
    return account->len > 0;
  for (size_t i = 0; i < config->routes.count; i++) {
    const CellRoute *route = &config->routes.items[i];
    if (route->is_public && gr_name_equal (&config->queues.items[route->queue].name, queue))
      return true;
  }
  return false;
}

const DagQueue *
cell_config_queue (const CellConfig *config, const GrName *name)
{
  for (size_t i = 0; i < config->queues.count; i++) {
    if (gr_name_equal (&config->queues.items[i].name, name))
      return &config->queues.items[i];
  }
  return NULL;
}
