/* Placement advice: which targets may run a step, by asking a slow service outside.

   An answer never changes for a step and a life of a target, but its tickets expire. A step asks
   for as many targets as its tasks are likely to need, those with room first, and asks again for
   allowed ones whose tickets have expired once there is room on them. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most targets named in one call. */
#define ASK_MAX 100
/* Fewest named in a first call. */
#define ASK_MIN 10
/* A first call names as many as prolong it by this share: its fixed part is paid anyway, and a gang
   that has to ask again finds its first tickets expired. */
#define ASK_PROLONG 0.5
/* Named for each task that waits, beyond what the expected share of allowed ones asks for. */
#define ASK_SURPLUS 1.4
/* Pause after an answer that did not help, and after a failed call. */
#define RETRY_MS 150
/* A gang for which room seems to be missing asks this often all the same: tickets show more. */
#define VAIN_RETRY_MS 1000
/* Weight of one answer in the smoothed share of allowed targets. */
#define SMOOTHING 0.1

void
dag_advice_clear (DagStep *step)
{
  gr_list_clear (&step->permits);
  gr_list_clear (&step->asked);
  step->advice_token = 0;
  step->advice_known = false;
}

static bool
was_asked (const DagStep *step, const DagTarget *target)
{
  for (size_t i = 0; i < step->asked.count; i++) {
    if (step->asked.items[i] == target->serial)
      return true;
  }
  return false;
}

static const DagPermit *
find_permit (const DagStep *step, const DagTarget *target)
{
  for (size_t i = 0; i < step->permits.count; i++) {
    if (step->permits.items[i].target == target)
      return &step->permits.items[i];
  }
  return NULL;
}

/* A target that may be named, with what speaks for it. */
typedef struct {
  DagTarget *target;
  int32_t fits; /* tasks of the step for which it has room now */
  double share; /* chance that it is allowed */
} Candidate;

static int
compare_candidates (const void *a, const void *b)
{
  const Candidate *x = a, *y = b;
  double left = x->fits * x->share, right = y->fits * y->share;
  return left < right ? 1 : left > right ? -1 : x->target->serial < y->target->serial ? -1 : 1;
}

static size_t
collect (DagState *dag, DagStep *step, Candidate *out, double *room_allowed, int64_t now_ms)
{
  double good = dag_learned (dag, &step->job->queue.name)->advice_good;
  size_t count = 0;
  for (size_t i = 0; i < dag->order.count; i++) {
    DagTarget *target = dag->order.items[i];
    if (!dag_target_usable (target, now_ms) || !dag_may_run (step, target))
      continue;
    int32_t fits = dag_fits (step, target);
    if (was_asked (step, target)) {
      const DagPermit *permit = find_permit (step, target);
      if (!permit || fits == 0)
        continue;
      if (permit->valid_until > now_ms + DAG_TICKET_MARGIN_MS) {
        *room_allowed += fits;
        continue;
      }
      out[count++] = (Candidate){ target, fits, 1 };
      continue;
    }
    /* Without room now it is named only to learn whether it is allowed. */
    out[count++] = (Candidate){ target, fits, good };
  }
  return count;
}

static size_t
named_at_least (const DagQueue *queue)
{
  double count = ASK_MIN;
  if (queue->advice_ms_per_target > 0)
    count = ASK_PROLONG * queue->advice_ms / queue->advice_ms_per_target;
  return count < ASK_MIN ? ASK_MIN : (size_t) count;
}

void
dag_advice_ask (DagState *dag, DagStep *step, int64_t now_ms)
{
  if (step->advice_token != 0 || now_ms < step->advice_retry_at)
    return;
  Candidate *candidates = gr_calloc (dag->order.count ? dag->order.count : 1, sizeof *candidates);
  double room = 0;
  size_t count = collect (dag, step, candidates, &room, now_ms);
  if (room >= step->waiting || count == 0) {
    free (candidates);
    return;
  }
  qsort (candidates, count, sizeof *candidates, compare_candidates);
  double wanted = (step->waiting - room) * ASK_SURPLUS;
  double expected = 0;
  double possible = 0;
  size_t least = named_at_least (&step->job->queue);
  size_t named = 0;
  while (named < count && named < ASK_MAX) {
    bool enough = expected >= wanted && (step->advice_known || named >= least);
    if (enough || (step->advice_known && candidates[named].fits == 0))
      break;
    expected += candidates[named].fits * candidates[named].share;
    possible += candidates[named].fits;
    named++;
  }
  /* A gang starts as a whole: without the chance of enough room the call would be in vain. */
  bool in_vain = step->spec.gang && step->advice_known && possible + room < step->waiting
                 && now_ms - step->advice_asked_at < VAIN_RETRY_MS;
  if (named == 0 || in_vain) {
    free (candidates);
    return;
  }
  GrName *names = gr_calloc (named, sizeof *names);
  for (size_t i = 0; i < named; i++) {
    names[i] = candidates[i].target->info.id;
    if (!was_asked (step, candidates[i].target))
      gr_list_push (&step->asked, candidates[i].target->serial);
  }
  free (candidates);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->name_blocks, names);
  step->advice_token = ++dag->next_token;
  step->advice_asked_at = now_ms;
  DagCmd cmd = { .type = DAG_CMD_ADVISE };
  cmd.u.advise.job = step->job->id;
  cmd.u.advise.step = step->number;
  cmd.u.advise.token = step->advice_token;
  cmd.u.advise.priority = step->job->queue.priority;
  cmd.u.advise.targets = names;
  cmd.u.advise.count = named;
  cmd.u.advise.expected_ms = (int64_t) ceil (
      step->job->queue.advice_ms + step->job->queue.advice_ms_per_target * (double) named);
  gr_list_push (&dag->cmds, cmd);
}

static void
keep_permit (DagStep *step, DagTarget *target, const char *ticket, int64_t valid_until)
{
  for (size_t i = 0; i < step->permits.count; i++) {
    DagPermit *permit = &step->permits.items[i];
    if (permit->target != target)
      continue;
    permit->valid_until = valid_until;
    memcpy (permit->ticket, ticket, sizeof permit->ticket);
    return;
  }
  DagPermit permit = { .target = target, .valid_until = valid_until };
  memcpy (permit.ticket, ticket, sizeof permit.ticket);
  gr_list_push (&step->permits, permit);
}

void
dag_advised (DagState *dag, const GrName *job_id, uint32_t number, int64_t token, bool ok,
             const DagAllowed *allowed, size_t count, size_t named, int64_t age_ms, int64_t now_ms)
{
  DagJob *job = dag_find_job (dag, job_id);
  if (!job || number >= job->step_count || job->steps[number].advice_token != token)
    return;
  DagStep *step = &job->steps[number];
  step->advice_token = 0;
  step->advice_retry_at = now_ms + RETRY_MS;
  dag->place_wanted = true;
  if (!ok) {
    /* Which targets were named is not told again; those without a permit are asked anew. */
    size_t kept = 0;
    for (size_t i = 0; i < step->asked.count; i++) {
      for (size_t p = 0; p < step->permits.count; p++) {
        if (step->permits.items[p].target->serial == step->asked.items[i]) {
          step->asked.items[kept++] = step->asked.items[i];
          break;
        }
      }
    }
    step->asked.count = kept;
    DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s step=%u reason=no-advice", GR_NAME_ARG (*job_id), number);
    return;
  }
  DagLearned *learned = dag_learned (dag, &job->queue.name);
  if (named > 0 && !step->advice_known)
    learned->advice_good += SMOOTHING * ((double) count / (double) named - learned->advice_good);
  step->advice_known = true;
  int64_t valid_until = now_ms - age_ms + job->queue.advice_valid_ms;
  for (size_t i = 0; i < count; i++) {
    DagTarget *target = dag_find_target (dag, &allowed[i].target);
    if (target)
      keep_permit (step, target, allowed[i].ticket, valid_until);
  }
  dag_queue_step (dag, step);
}
