/* Client accounts: their policies and the jobs that belong to them. */
#include <stdlib.h>

#include "dag/dag_priv.h"

static DagClient *
find_client (const DagState *dag, const GrName *name)
{
  DagClient *client = NULL;
  HASH_FIND (hh, dag->clients, name->data, name->len, client);
  return client;
}

static DagClient *
get_client (DagState *dag, const GrName *name)
{
  DagClient *client = find_client (dag, name);
  if (client)
    return client;
  client = gr_calloc (1, sizeof *client);
  client->policy.name = *name;
  HASH_ADD_KEYPTR (hh, dag->clients, client->policy.name.data, client->policy.name.len, client);
  return client;
}

static void
free_if_unused (DagState *dag, DagClient *client)
{
  if (client->configured || client->jobs > 0)
    return;
  HASH_DEL (dag->clients, client);
  free (client);
}

DagClient *
dag_client_ref (DagState *dag, const GrName *name)
{
  if (name->len == 0)
    return NULL;
  DagClient *client = get_client (dag, name);
  client->jobs++;
  return client;
}

void
dag_client_unref (DagState *dag, DagClient *client)
{
  if (!client)
    return;
  client->jobs--;
  free_if_unused (dag, client);
}

void
dag_set_accounts (DagState *dag, const DagAccounts *accounts, int64_t now_ms)
{
  (void) now_ms;
  DagClient *client, *next;
  for (client = dag->clients; client; client = client->hh.next)
    client->configured = false;
  for (size_t i = 0; i < accounts->count; i++) {
    client = get_client (dag, &accounts->accounts[i].name);
    client->policy = accounts->accounts[i];
    client->configured = true;
  }
  HASH_ITER (hh, dag->clients, client, next)
  free_if_unused (dag, client);
  dag->place_wanted = true;
}
