/* Client accounts: their policies, the jobs that belong to them and their maxima.

   For accounts that submit more than they may run at once. The usage of an account is the sum
   of the demand of all its runs that may be alive, in this term or from an earlier one, so that no
   start brings it above the maximum in force. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* An account counts as at its maximum until no step was held back for this time: when some tasks of
   a step end before the next ones start, there is room for a moment. */
#define HELD_MS 1000

DagClient *
dag_find_client (const DagState *dag, const GrName *name)
{
  DagClient *client = NULL;
  HASH_FIND (hh, dag->clients, name->data, name->len, client);
  return client;
}

static DagClient *
get_client (DagState *dag, const GrName *name)
{
  DagClient *client = dag_find_client (dag, name);
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
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
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
  DagClient *client, *next;
  for (client = dag->clients; client; client = client->hh.next)
    client->configured = false;
  for (size_t i = 0; i < accounts->count; i++) {
    client = get_client (dag, &accounts->accounts[i].name);
    dag_share_refill (client, now_ms);
    client->policy = accounts->accounts[i];
    client->configured = true;
    client->has_policy = true;
  }
  HASH_ITER (hh, dag->clients, client, next)
  free_if_unused (dag, client);
  dag->place_wanted = true;
}

void
dag_client_attach (const DagTask *task)
{
  DagClient *client = task->step->job->client;
  for (int d = 0; client && d < GR_RES_COUNT; d++)
    client->used[d] += task->step->spec.demand.v[d];
}

void
dag_client_detach (const DagTask *task)
{
  DagClient *client = task->step->job->client;
  for (int d = 0; client && d < GR_RES_COUNT; d++)
    client->used[d] -= task->step->spec.demand.v[d];
}

/* Room under the maximum; negative if it is exceeded, INT64_MAX if there is no limit. */
static int64_t
left_in (const DagClient *client, int dim)
{
  int32_t maximum = client->policy.maximum.v[dim];
  return maximum > 0 ? maximum - client->used[dim] : INT64_MAX;
}

int32_t
dag_client_room (const DagStep *step)
{
  const DagClient *client = step->job->client;
  int64_t room = DAG_MAX_TASKS;
  bool keeps = client && client->kept_for && client->kept_for != step;
  for (int d = 0; client && d < GR_RES_COUNT; d++) {
    int64_t left = left_in (client, d) - (keeps ? client->kept[d] : 0);
    int32_t need = step->spec.demand.v[d];
    /* Nothing starts while any dimension is exceeded, even if the step does not need it. */
    if (left < 0)
      return 0;
    if (need > 0 && left / need < room)
      room = left / need;
  }
  return (int32_t) room;
}

bool
dag_client_exceeds_maximum (const DagClient *client)
{
  for (int d = 0; client && d < GR_RES_COUNT; d++) {
    if (left_in (client, d) < 0)
      return true;
  }
  return false;
}

const char *
dag_client_lack (const DagStep *step)
{
  const DagClient *client = step->job->client;
  int64_t tasks = step->spec.gang ? step->waiting : 1;
  for (int d = 0; client && d < GR_RES_COUNT; d++) {
    int64_t left = left_in (client, d);
    if (left < 0 || left < tasks * step->spec.demand.v[d])
      return gr_res_name ((GrResDim) d);
  }
  if (client && client->kept_for && client->kept_for != step && dag_client_room (step) < tasks)
    return "room-kept-for-earlier-step";
  return NULL;
}

static void
set_at_maximum (DagState *dag, DagClient *client, bool at_maximum, const char *lack)
{
  client->at_maximum = at_maximum;
  DAG_LOG (
      dag, GR_EV_ACCOUNT_MAXIMUM,
      "account=%.*s state=%s lacks=%s cpu=%lld memory=%lld accelerators=%lld max_cpu=%d "
      "max_memory=%d max_accelerators=%d",
      GR_NAME_ARG (client->policy.name), at_maximum ? "reached" : "below", lack ? lack : "none",
      (long long) client->used[GR_RES_CPU_MILLI], (long long) client->used[GR_RES_MEMORY_MB],
      (long long) client->used[GR_RES_ACCELERATORS], client->policy.maximum.v[GR_RES_CPU_MILLI],
      client->policy.maximum.v[GR_RES_MEMORY_MB], client->policy.maximum.v[GR_RES_ACCELERATORS]);
}

/* Keeps room under the maximum for the step: smaller steps of the account would otherwise take all
   that its runs leave, and a gang would never start. No effect if the step cannot fit under the
   maximum or its hard deadline has passed. */
static void
keep_room (DagClient *client, const DagStep *step, int64_t now_ms)
{
  if (client->kept_for || now_ms > step->job->hard_deadline_at)
    return;
  int64_t tasks = step->spec.gang ? step->waiting : 1;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    client->kept[d] = tasks * step->spec.demand.v[d];
    if (client->policy.maximum.v[d] > 0 && client->kept[d] > client->policy.maximum.v[d])
      return;
  }
  client->kept_for = step;
}

void
dag_client_note_held (DagState *dag, const DagStep *step, int64_t now_ms)
{
  DagClient *client = step->job->client;
  client->held_at = now_ms;
  if (!client->at_maximum)
    set_at_maximum (dag, client, true, dag_client_lack (step));
  keep_room (client, step, now_ms);
}

void
dag_clients_begin_pass (DagState *dag)
{
  for (DagClient *client = dag->clients; client; client = client->hh.next)
    client->kept_for = NULL;
}

void
dag_clients_tick (DagState *dag, int64_t now_ms)
{
  if (!dag->clients)
    return;
  int64_t at_maximum = 0;
  for (DagClient *client = dag->clients; client; client = client->hh.next) {
    if (client->at_maximum && now_ms - client->held_at >= HELD_MS)
      set_at_maximum (dag, client, false, NULL);
    at_maximum += client->at_maximum;
  }
  if (dag->options.metrics)
    gr_metric_set (dag->options.metrics, GR_METRIC_ACCOUNTS_AT_MAXIMUM, at_maximum);
}
