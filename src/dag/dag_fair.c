/* Which account is served next among steps that are equal up to DagStepOrder.priority.

   For a full cell on which a large account has many small tasks beside gangs and wide steps of
   small accounts. The account whose weighted dominant share is the lowest is served next: the
   largest of its shares of cpu, memory and accelerators of all targets, divided by its weight. Its
   usage grows with each task that is placed, so that one pass does not give all free room to an
   account that was the lowest when the pass began. Work without an account counts as that of one
   account of weight 1. */
#include "dag/dag_priv.h"

static DagClient *
client_of (DagState *dag, const DagStep *step)
{
  return step->job->client ? step->job->client : &dag->fair.no_account;
}

static void
sum_capacity (DagState *dag)
{
  DagFair *fair = &dag->fair;
  memset (fair->capacity, 0, sizeof fair->capacity);
  memset (fair->no_account.used, 0, sizeof fair->no_account.used);
  for (size_t i = 0; i < dag->target_list.count; i++) {
    const DagTarget *target = dag->target_list.items[i];
    for (int d = 0; d < GR_RES_COUNT && target->listed; d++)
      fair->capacity[d] += target->info.capacity.v[d];
    for (const DagTask *task = target->runs; task; task = task->target_next) {
      for (int d = 0; d < GR_RES_COUNT && !task->step->job->client; d++)
        fair->no_account.used[d] += task->step->spec.demand.v[d];
    }
  }
  fair->pass = dag->pass;
}

/* Largest share of the amounts in the dimensions of dominant resource fairness. */
static double
dominant_share (const DagFair *fair, const int64_t *amounts)
{
  static const GrResDim dims[] = { GR_RES_CPU_MILLI, GR_RES_MEMORY_MB, GR_RES_ACCELERATORS };
  double largest = 0;
  for (size_t i = 0; i < sizeof dims / sizeof dims[0]; i++) {
    double capacity = (double) fair->capacity[dims[i]];
    double share = capacity > 0 ? (double) amounts[dims[i]] / capacity : 0;
    if (share > largest)
      largest = share;
  }
  return largest;
}

static void
update_share (DagState *dag, DagClient *client)
{
  client->share = dominant_share (&dag->fair, client->used) / dag_client_weight (client);
}

bool
dag_fair_begin (DagState *dag, DagStep *const *steps, size_t count)
{
  DagFair *fair = &dag->fair;
  bool mixed = false;
  for (size_t i = 1; i < count && !mixed; i++)
    mixed = steps[i]->job->client != steps[0]->job->client;
  if (!mixed)
    return false;
  if (fair->pass != dag->pass)
    sum_capacity (dag);
  gr_list_reset (&fair->clients);
  for (size_t i = 0; i < count; i++) {
    DagClient *client = client_of (dag, steps[i]);
    steps[i]->fair_next = NULL;
    if (client->fair_steps) {
      client->fair_last->fair_next = steps[i];
    } else {
      client->fair_steps = steps[i];
      update_share (dag, client);
      /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
      gr_list_push (&fair->clients, client);
    }
    client->fair_last = steps[i];
  }
  return true;
}

/* Number of tasks after which the account is no longer below the next one. */
static int32_t
tasks_up_to (const DagState *dag, const DagStep *step, double from, double to)
{
  int64_t demand[GR_RES_COUNT];
  for (int d = 0; d < GR_RES_COUNT; d++)
    demand[d] = step->spec.demand.v[d];
  double weight = step->job->client ? dag_client_weight (step->job->client) : 1;
  double each = dominant_share (&dag->fair, demand) / weight;
  if (each <= 0 || (to - from) / each >= (double) DAG_MAX_TASKS)
    return DAG_MAX_TASKS;
  return (int32_t) ((to - from) / each) + 1;
}

DagStep *
dag_fair_next (DagState *dag, int32_t *tasks)
{
  DagFair *fair = &dag->fair;
  const DagClient *lowest = NULL, *second = NULL;
  for (size_t i = 0; i < fair->clients.count; i++) {
    const DagClient *client = fair->clients.items[i];
    if (!lowest || client->share < lowest->share) {
      second = lowest;
      lowest = client;
    } else if (!second || client->share < second->share) {
      second = client;
    }
  }
  if (!lowest)
    return NULL;
  DagStep *step = lowest->fair_steps;
  *tasks = second ? tasks_up_to (dag, step, lowest->share, second->share) : DAG_MAX_TASKS;
  return step;
}

void
dag_fair_done (DagState *dag, DagStep *step, int32_t placed, bool again)
{
  DagFair *fair = &dag->fair;
  DagClient *client = client_of (dag, step);
  for (int d = 0; d < GR_RES_COUNT && !step->job->client; d++)
    client->used[d] += (int64_t) placed * step->spec.demand.v[d];
  if (placed > 0)
    update_share (dag, client);
  if (again)
    return;
  client->fair_steps = step->fair_next;
  for (size_t i = 0; i < fair->clients.count && !client->fair_steps; i++) {
    if (fair->clients.items[i] != client)
      continue;
    /* Keeps the order, which decides between equal shares. */
    memmove (&fair->clients.items[i], &fair->clients.items[i + 1],
             (fair->clients.count - i - 1) * sizeof (DagClient *));
    fair->clients.count--;
    return;
  }
}

void
dag_fair_end (DagState *dag)
{
  for (size_t i = 0; i < dag->fair.clients.count; i++)
    dag->fair.clients.items[i]->fair_steps = NULL;
  gr_list_reset (&dag->fair.clients);
}
