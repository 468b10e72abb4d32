/* Logs why the steps that have waited longest have not started. */
#include "dag/dag_priv.h"

/* Most steps per report; the others usually wait for the same reasons. */
#define REPORTED_MAX 4

/* True if a has waited longer than b. */
static bool
waits_longer (const DagStep *a, const DagStep *b)
{
  if (a->job->accepted_at != b->job->accepted_at)
    return a->job->accepted_at < b->job->accepted_at;
  return a->job->serial < b->job->serial;
}

/* Stores the steps that have waited longest in out, the longest first, and returns their number. */
static size_t
longest_waiting (const DagState *dag, const DagStep **out)
{
  size_t count = 0;
  for (size_t i = 0; i < dag->ready.count; i++) {
    const DagStep *step = dag->ready.items[i];
    if (step->waiting == 0)
      continue;
    size_t at = count;
    while (at > 0 && waits_longer (step, out[at - 1]))
      at--;
    if (at == REPORTED_MAX)
      continue;
    if (count < REPORTED_MAX)
      count++;
    for (size_t k = count - 1; k > at; k--)
      out[k] = out[k - 1];
    out[at] = step;
  }
  return count;
}

static void
report_step (const DagState *dag, const DagStep *step, int64_t now_ms)
{
  int32_t room = 0;
  int32_t room_expired = 0;
  int32_t room_idle = 0;
  size_t valid = 0;
  const char *lack = dag_client_lack (step);
  GrName account = step->job->client ? step->job->client->policy.name : (GrName){ 0 };
  for (size_t i = 0; i < step->permits.count; i++) {
    const DagPermit *permit = &step->permits.items[i];
    if (!dag_target_usable (permit->target, now_ms))
      continue;
    bool is_valid = permit->valid_until > now_ms + DAG_TICKET_MARGIN_MS;
    valid += is_valid;
    *(is_valid ? &room : &room_expired) += dag_fit_count (step, permit->target);
    room_idle += dag_fit_count_idle (step, permit->target);
  }
  DAG_LOG (dag, GR_EV_STEP_WAITS,
           "id=%.*s step=%u gang=%d tasks=%d waiting=%d done=%d cpu=%d since_ms=%lld late=%d "
           "suspected=%d asked=%zu asks_open=%zu allowed=%zu valid=%zu room=%d room_expired=%d "
           "room_idle=%d account=%.*s account_lacks=%s beyond_share=%d",
           GR_NAME_ARG (step->job->id), step->number, step->spec.gang, step->spec.count,
           step->waiting, step->done, step->spec.demand.v[GR_RES_CPU_MILLI],
           (long long) (now_ms - step->job->accepted_at), now_ms > step->job->hard_deadline_at,
           step->suspects, step->advised_targets.count, step->advice_calls.count,
           step->permits.count, valid, room, room_expired, room_idle, GR_NAME_ARG (account),
           lack ? lack : "none", step->job->beyond_share);
}

void
dag_log_waiting (const DagState *dag, int64_t now_ms)
{
  const DagStep *steps[REPORTED_MAX];
  size_t count = longest_waiting (dag, steps);
  for (size_t i = 0; i < count; i++)
    report_step (dag, steps[i], now_ms);
}
