/* Which jobs of an account count as within its share, and which submissions are refused.

   For an account that sends several times its usual number of jobs: its jobs beyond the share wait
   behind the jobs of others, and the work that waits stays within the memory of the smallest VM.

   Each account has a token bucket that is refilled with `weight` jobs a second. A job that finds a
   token is within the share for its whole life. Buckets are not stored: a new leader replays them
   from the acceptance times of the jobs that it has loaded, without those that have ended. Each
   occurrence of a timetable takes a token when it is due, as it is as much load as a submission. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

#define MS_PER_S 1000.0
/* A bucket holds what is refilled in this time, and at least one job. */
#define BURST_S 1.0
/* Waiting tasks of all accounts. In steps of three tasks with 30 permits each takes 1.8 KB, so all
   take less than half of the smallest VM's 120 MB. */
#define WAITING_TASKS_MAX 24576
/* Each such number of payload bytes of an open job counts as one more waiting task. */
#define PAYLOAD_BYTES_PER_TASK 2048
/* Time constant of the moving average of the rate at which tasks of an account leave the backlog.
 */
#define DRAIN_MEMORY_MS 5000.0
/* Longest Retry-After. The past rate does not predict what happens later than this. */
#define RETRY_MAX_MS 30000
/* Retry-After of a refused submission while no task of the account leaves the backlog. */
#define RETRY_UNKNOWN_MS 5000
/* Shortest time between two log lines about submissions of one account. */
#define LOG_INTERVAL_MS 5000

double
dag_client_weight (const DagClient *client)
{
  double weight = client->policy.weight;
  return isfinite (weight) && weight > 0 ? weight : 1;
}

static double
burst (const DagClient *client)
{
  double jobs = BURST_S * dag_client_weight (client);
  return jobs > 1 ? jobs : 1;
}

void
dag_share_refill (DagClient *client, int64_t now_ms)
{
  if (!client->bucket_started || now_ms <= client->refilled_at)
    return;
  double jobs = dag_client_weight (client) * (double) (now_ms - client->refilled_at) / MS_PER_S;
  client->tokens = fmin (burst (client), client->tokens + jobs);
  client->refilled_at = now_ms;
}

/* As dag_share_refill(); the bucket is full when it is first used. */
static void
prepare_bucket (DagClient *client, int64_t now_ms)
{
  if (client->bucket_started) {
    dag_share_refill (client, now_ms);
    return;
  }
  client->bucket_started = true;
  client->tokens = burst (client);
  client->refilled_at = now_ms;
}

/* Tasks of the job that count as waiting. */
static int64_t
waiting_of (const DagJob *job)
{
  if (!dag_job_is_open (job) || dag_has_timetable (job))
    return 0;
  int64_t waiting = (int64_t) (job->payload_len / PAYLOAD_BYTES_PER_TASK);
  for (size_t s = 0; s < job->step_count; s++)
    waiting += job->steps[s].waiting;
  return waiting;
}

void
dag_share_add_job (DagJob *job)
{
  if (job->client)
    job->client->waiting[job->beyond_share] += waiting_of (job);
}

void
dag_share_remove_job (DagJob *job)
{
  if (job->client)
    job->client->waiting[job->beyond_share] -= waiting_of (job);
}

void
dag_step_add_waiting (DagStep *step, int32_t tasks)
{
  DagJob *job = step->job;
  step->waiting += tasks;
  if (job->client && dag_job_is_open (job))
    job->client->waiting[job->beyond_share] += tasks;
}

/* Tasks of the account that leave the backlog, per second. */
static double
drain_rate (const DagClient *client, int64_t now_ms)
{
  return client->drain_rate * exp (-(double) (now_ms - client->drained_at) / DRAIN_MEMORY_MS);
}

void
dag_share_note_assigned (DagStep *step, int64_t now_ms)
{
  DagClient *client = step->job->client;
  dag_step_add_waiting (step, -1);
  if (!client)
    return;
  client->drain_rate = drain_rate (client, now_ms) + MS_PER_S / DRAIN_MEMORY_MS;
  client->drained_at = now_ms;
}

static void
log_share (const DagState *dag, const DagClient *client, const char *state)
{
  DAG_LOG (dag, GR_EV_ACCOUNT_SHARE,
           "account=%.*s state=%s weight=%.3g waiting=%lld waiting_beyond=%lld",
           GR_NAME_ARG (client->policy.name), state, dag_client_weight (client),
           (long long) client->waiting[false], (long long) client->waiting[true]);
}

/* Takes a token for the job, or marks the job as beyond the share. Without a policy there is no
   share to exceed. */
static void
take_token (DagJob *job, int64_t now_ms)
{
  DagClient *client = job->client;
  if (!client->has_policy)
    return;
  prepare_bucket (client, now_ms);
  dag_share_remove_job (job);
  job->share_decided = true;
  job->beyond_share = client->tokens < 1;
  if (!job->beyond_share)
    client->tokens -= 1;
  dag_share_add_job (job);
}

bool
dag_share_decide (DagJob *job, int64_t now_ms)
{
  DagClient *client = job->client;
  if (!client || job->share_decided)
    return false;
  take_token (job, now_ms);
  return true;
}

void
dag_share_note_accepted (DagState *dag, const DagJob *job, int64_t now_ms)
{
  DagClient *client = job->client;
  if (!client || !job->beyond_share)
    return;
  dag_count (dag, GR_METRIC_JOBS_BEYOND_SHARE, 1);
  if (client->beyond_at == 0 || now_ms - client->beyond_at >= LOG_INTERVAL_MS)
    log_share (dag, client, "beyond");
  client->beyond_at = now_ms;
}

void
dag_share_return_token (DagJob *job)
{
  DagClient *client = job->client;
  if (client && job->share_decided && !job->beyond_share)
    client->tokens = fmin (burst (client), client->tokens + 1);
}

static int
compare_acceptance (const void *a, const void *b)
{
  const DagJob *x = *(DagJob *const *) a, *y = *(DagJob *const *) b;
  if (x->accepted_at != y->accepted_at)
    return x->accepted_at < y->accepted_at ? -1 : 1;
  int order = memcmp (x->id.data, y->id.data, x->id.len < y->id.len ? x->id.len : y->id.len);
  return order != 0 ? order : x->id.len < y->id.len ? -1 : x->id.len > y->id.len;
}

void
dag_share_loaded (DagState *dag, int64_t now_ms)
{
  if (!dag->clients)
    return;
  for (DagClient *client = dag->clients; client; client = client->hh.next) {
    client->bucket_started = false;
    client->waiting[false] = 0;
    client->waiting[true] = 0;
  }
  GR_LIST (DagJob *) jobs = { 0 };
  for (DagJob *job = dag->jobs; job; job = job->hh.next) {
    /* Of a job that ended long ago only the end is known, not the acceptance. */
    if (!job->client || job->step_count == 0)
      continue;
    job->beyond_share = false;
    dag_share_add_job (job);
    gr_list_push (&jobs, job); /* NOLINT(bugprone-sizeof-expression): a list of pointers */
  }
  if (jobs.count > 0)
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    qsort (jobs.items, jobs.count, sizeof *jobs.items, compare_acceptance);
  for (size_t i = 0; i < jobs.count; i++) {
    DagJob *job = jobs.items[i];
    /* The clock of the former leader may be ahead. */
    take_token (job, job->accepted_at < now_ms ? job->accepted_at : now_ms);
  }
  gr_list_clear (&jobs);
}

/* Sums over all accounts that the bounds are compared with. */
typedef struct {
  int64_t waiting, waiting_beyond; /* tasks of all accounts */
  double drain_rate;               /* of all accounts */
  double weights;                  /* of the configured accounts */
} Backlog;

static Backlog
sum_backlog (const DagState *dag, int64_t now_ms)
{
  Backlog sum = { 0 };
  for (const DagClient *client = dag->clients; client; client = client->hh.next) {
    sum.waiting += client->waiting[false] + client->waiting[true];
    sum.waiting_beyond += client->waiting[true];
    sum.drain_rate += drain_rate (client, now_ms);
    if (client->configured)
      sum.weights += dag_client_weight (client);
  }
  return sum;
}

/* Tasks by which a submission would exceed a bound; 0: it would not. A job that is larger than the
   bound is accepted while nothing else waits. */
static int64_t
excess (int64_t waiting, int64_t tasks, double bound)
{
  int64_t over = waiting + tasks - (int64_t) bound;
  return waiting > 0 && over > 0 ? over : 0;
}

/* Waiting tasks of the account above which its submissions beyond the share are refused. */
static double
account_bound (const DagClient *client, const Backlog *backlog)
{
  double weight = dag_client_weight (client);
  return WAITING_TASKS_MAX * weight / (backlog->weights + (client->configured ? 0 : weight));
}

/* Expected time until so many tasks have left the backlog. */
static double
drain_ms (int64_t tasks, double rate)
{
  if (tasks == 0)
    return 0;
  return rate > 0 ? MS_PER_S * (double) tasks / rate : RETRY_UNKNOWN_MS;
}

/* Retry-After of a submission that could be accepted after wait_ms. The callers of an account are
   told times that lie apart as far as its submissions are expected to be accepted: one for each
   token and for each job that leaves the backlog. */
static int64_t
next_retry (DagClient *client, double wait_ms, int64_t tasks, int64_t now_ms)
{
  int64_t latest = now_ms + RETRY_MAX_MS;
  int64_t at = now_ms + (int64_t) ceil (fmax (1, fmin (wait_ms, RETRY_MAX_MS)));
  if (at < client->retry_at)
    at = client->retry_at < latest ? client->retry_at : latest;
  double jobs_per_s
      = dag_client_weight (client) + drain_rate (client, now_ms) / (double) (tasks > 0 ? tasks : 1);
  client->retry_at = at + (int64_t) ceil (fmin (MS_PER_S / jobs_per_s, RETRY_MAX_MS));
  return at - now_ms;
}

static int64_t
task_count (const DagJobSpec *spec)
{
  if (spec->timetable.count > 0)
    return 0;
  int64_t tasks = (int64_t) (spec->payload.len / PAYLOAD_BYTES_PER_TASK);
  for (size_t s = 0; s < spec->step_count; s++)
    tasks += spec->steps[s].count;
  return tasks;
}

bool
dag_share_admits (DagState *dag, const DagJobSpec *spec, int64_t now_ms, int64_t *retry_after_ms)
{
  DagClient *client = dag_find_client (dag, &spec->account);
  if (!client || !client->has_policy)
    return true;
  prepare_bucket (client, now_ms);
  Backlog backlog = sum_backlog (dag, now_ms);
  int64_t tasks = task_count (spec);
  int64_t waiting = client->waiting[false] + client->waiting[true];
  int64_t own = excess (waiting, tasks, account_bound (client, &backlog));
  int64_t cell = excess (backlog.waiting, tasks, WAITING_TASKS_MAX);
  /* While work beyond a share waits, only such work is refused for the bound of the cell. */
  int64_t cell_if_within = backlog.waiting_beyond == 0 ? cell : 0;
  bool within = client->tokens >= 1;
  if (within ? cell_if_within == 0 : own == 0 && cell == 0)
    return true;
  double token_ms = within ? 0 : MS_PER_S * (1 - client->tokens) / dag_client_weight (client);
  double wait_ms = fmax (token_ms, drain_ms (cell_if_within, backlog.drain_rate));
  if (!within) {
    double own_ms = drain_ms (own, drain_rate (client, now_ms));
    wait_ms = fmin (wait_ms, fmax (own_ms, drain_ms (cell, backlog.drain_rate)));
  }
  *retry_after_ms = next_retry (client, wait_ms, tasks, now_ms);
  dag_count (dag, GR_METRIC_SUBMISSIONS_REFUSED, 1);
  if (client->refused_at == 0 || now_ms - client->refused_at >= LOG_INTERVAL_MS)
    log_share (dag, client, "refused");
  client->refused_at = now_ms;
  return false;
}
