/* Placement advice: which targets may run a step, by asking a slow service outside.

   An answer never changes for a step and a life of a target, but its tickets expire. A step asks
   for as many targets as its tasks are likely to need, those with room first, and asks again for
   allowed ones whose tickets have expired once there is room on them. Many targets are spread over
   calls that run at the same time: the service takes longer the more a call names, and a wide gang
   needs all its tickets valid at once. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most targets named in one call. */
#define ASK_MAX 100
/* Calls of one step under way at the same time. */
#define ASK_CALLS_MAX 4
/* Fewest named in a first call. */
#define ASK_MIN 10
/* A first call names as many as prolong it by this share: its fixed part is paid anyway, and a gang
   that has to ask again finds its first tickets expired. */
#define ASK_PROLONG 0.5
/* A call that more targets would prolong beyond this multiple of its fixed part is split. */
#define ASK_SPLIT 1.0
/* Named for each task that waits, beyond what the expected share of allowed ones asks for. */
#define ASK_SURPLUS 1.4
/* ... for each task of a gang: it starts only if there is room for all when the answer comes. */
#define ASK_SURPLUS_GANG 10
/* Pause after an answer that did not help, and after a failed call. */
#define RETRY_MS 150
/* A gang for which room seems to be missing asks this often all the same: tickets show more. */
#define VAIN_RETRY_MS 1000
/* Weight of one answer in the smoothed share of allowed targets. */
#define SMOOTHING 0.1

static void
release_named (DagOpenAsk *ask)
{
  for (size_t i = 0; i < ask->named.count; i++)
    ask->named.items[i]->open_asks--;
  gr_list_clear (&ask->named);
}

static void
clear_asks (DagStep *step)
{
  for (size_t i = 0; i < step->asks.count; i++)
    release_named (&step->asks.items[i]);
  gr_list_clear (&step->asks);
}

void
dag_advice_clear (DagStep *step)
{
  gr_list_clear (&step->permits);
  gr_list_clear (&step->asked);
  clear_asks (step);
  step->advice_known = false;
}

void
dag_advice_forget (DagStep *step, const DagTarget *target)
{
  for (size_t i = step->permits.count; i-- > 0;) {
    if (step->permits.items[i].target == target)
      gr_list_swap_remove (&step->permits, i);
  }
  for (size_t i = step->asked.count; i-- > 0;) {
    if (step->asked.items[i] == target)
      gr_list_swap_remove (&step->asked, i);
  }
  for (size_t a = 0; a < step->asks.count; a++) {
    DagOpenAsk *ask = &step->asks.items[a];
    for (size_t i = ask->named.count; i-- > 0;) {
      if (ask->named.items[i] != target)
        continue;
      ask->named.items[i]->open_asks--;
      gr_list_swap_remove (&ask->named, i);
    }
  }
}

/* A target that may be named, with what speaks for it. */
typedef struct {
  DagTarget *target;
  int32_t fits;     /* tasks of the step for which it has room now */
  int32_t capacity; /* tasks of the step for which it has room when idle */
  double share;     /* chance that it is allowed */
} Candidate;

typedef GR_LIST (Candidate) Candidates;

/* What a step has and may still ask for. */
typedef struct {
  Candidates candidates;
  double room;      /* tasks for which there is room on targets with a valid ticket */
  double room_then; /* ... whose ticket is still valid when the answer of a call comes */
  double reach;     /* tasks that fit on all targets known as allowed when they are idle */
} Prospect;

static int
compare_candidates (const void *a, const void *b)
{
  const Candidate *x = a, *y = b;
  /* Steps that ask at the same time should not all wait for the same room. */
  double left = x->fits * x->share / (1 + x->target->open_asks);
  double right = y->fits * y->share / (1 + y->target->open_asks);
  return left < right ? 1 : left > right ? -1 : x->target->serial < y->target->serial ? -1 : 1;
}

/* Notes on each target what the step knows of it, so that a scan of all targets is linear. */
static int64_t
mark_known (DagState *dag, const DagStep *step)
{
  int64_t mark = ++dag->mark;
  for (size_t i = 0; i < step->asked.count; i++) {
    step->asked.items[i]->mark = mark;
    step->asked.items[i]->marked_permit = NULL;
  }
  for (size_t i = 0; i < step->permits.count; i++) {
    step->permits.items[i].target->mark = mark;
    step->permits.items[i].target->marked_permit = &step->permits.items[i];
  }
  return mark;
}

/* Targets that prolong a call by a multiple of its fixed part. */
static size_t
named_for (const DagQueue *queue, double prolong)
{
  double count = ASK_MIN;
  if (queue->advice_ms_per_target > 0)
    count = prolong * queue->advice_ms / queue->advice_ms_per_target;
  return count < ASK_MIN ? ASK_MIN : count > ASK_MAX ? ASK_MAX : (size_t) count;
}

static double
call_ms (const DagQueue *queue, size_t named)
{
  return queue->advice_ms + queue->advice_ms_per_target * (double) named;
}

/* Tickets that expire before this are of no use once the answer of a call made now has come. */
static int64_t
answered_at (const DagQueue *queue, int64_t now_ms)
{
  return now_ms + DAG_TICKET_MARGIN_MS + (int64_t) call_ms (queue, named_for (queue, ASK_SPLIT));
}

static void
collect (DagState *dag, const DagStep *step, Prospect *out, int64_t now_ms)
{
  const DagQueue *queue = &step->job->queue;
  int64_t needed_until = now_ms + DAG_TICKET_MARGIN_MS;
  int64_t needed_then = answered_at (queue, now_ms);
  double good = dag_learned (dag, &queue->name)->advice_good;
  int64_t mark = mark_known (dag, step);
  for (size_t i = 0; i < dag->order.count; i++) {
    DagTarget *target = dag->order.items[i];
    if (!dag_target_usable (target, now_ms) || !dag_may_run (step, target))
      continue;
    Candidate candidate = { target, dag_fits (step, target), dag_fits_idle (step, target), good };
    if (target->mark == mark) {
      if (!target->marked_permit)
        continue;
      out->reach += candidate.capacity;
      int64_t valid_until = target->marked_permit->valid_until;
      if (valid_until > needed_until)
        out->room += candidate.fits;
      if (valid_until > needed_then) {
        out->room_then += candidate.fits;
        continue;
      }
      if (candidate.fits == 0)
        continue;
      candidate.share = 1;
      candidate.capacity = 0; /* counted above */
    }
    gr_list_push (&out->candidates, candidate);
  }
  if (out->candidates.count > 0)
    qsort (out->candidates.items, out->candidates.count, sizeof (Candidate), compare_candidates);
}

/* How many of the sorted candidates to name; 0: asking is of no use now. */
static size_t
choose_count (const DagStep *step, const Prospect *prospect, int64_t now_ms)
{
  double missing = step->waiting - prospect->room_then;
  double surplus = step->spec.gang ? ASK_SURPLUS_GANG : ASK_SURPLUS;
  double wanted = missing * surplus;
  double expected = 0;
  double possible = 0;
  double reach = prospect->reach;
  size_t least = step->advice_known ? 0 : named_for (&step->job->queue, ASK_PROLONG);
  size_t count = 0;
  while (count < prospect->candidates.count && count < (size_t) ASK_MAX * ASK_CALLS_MAX) {
    const Candidate *candidate = &prospect->candidates.items[count];
    bool enough = expected >= wanted;
    /* Without room it is named only to learn where the step may run at all. */
    bool idle_only = candidate->fits == 0 && reach >= step->waiting * surplus;
    if (count >= least && (enough || idle_only))
      break;
    expected += candidate->fits * candidate->share;
    possible += candidate->fits;
    reach += candidate->capacity * candidate->share;
    count++;
  }
  /* A gang starts as a whole: without the chance of enough room the call would be in vain. */
  bool in_vain = step->spec.gang && step->advice_known && possible < missing
                 && now_ms - step->advice_asked_at < VAIN_RETRY_MS;
  return in_vain ? 0 : count;
}

static void
send_ask (DagState *dag, DagStep *step, const Candidate *candidates, size_t count)
{
  DagOpenAsk ask = { .token = ++dag->next_token };
  GrName *names = gr_calloc (count, sizeof *names);
  for (size_t i = 0; i < count; i++) {
    names[i] = candidates[i].target->info.id;
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    gr_list_push (&ask.named, candidates[i].target);
    candidates[i].target->open_asks++;
  }
  gr_list_push (&step->asks, ask);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->name_blocks, names);
  const DagQueue *queue = &step->job->queue;
  DagCmd cmd = { .type = DAG_CMD_ADVISE };
  cmd.u.advise.job = step->job->id;
  cmd.u.advise.step = step->number;
  cmd.u.advise.token = ask.token;
  cmd.u.advise.priority = queue->priority;
  cmd.u.advise.targets = names;
  cmd.u.advise.count = count;
  cmd.u.advise.expected_ms = (int64_t) ceil (call_ms (queue, count));
  gr_list_push (&dag->cmds, cmd);
}

void
dag_advice_ask (DagState *dag, DagStep *step, int64_t now_ms)
{
  if (step->asks.count > 0 || now_ms < step->advice_retry_at)
    return;
  Prospect prospect = { 0 };
  collect (dag, step, &prospect, now_ms);
  size_t count = 0;
  if (prospect.room < step->waiting)
    count = choose_count (step, &prospect, now_ms);
  if (count > 0) {
    size_t split = named_for (&step->job->queue, ASK_SPLIT);
    size_t calls = (count + split - 1) / split;
    if (calls > ASK_CALLS_MAX)
      calls = ASK_CALLS_MAX;
    step->advice_asked_at = now_ms;
    for (size_t i = 0; i < calls; i++) {
      size_t from = count * i / calls;
      size_t to = count * (i + 1) / calls;
      send_ask (dag, step, &prospect.candidates.items[from], to - from);
    }
  }
  gr_list_clear (&prospect.candidates);
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
dag_advice_renew (DagState *dag, DagStep *step, int64_t now_ms)
{
  if (step->asks.count > 0 || now_ms < step->advice_retry_at)
    return;
  Candidates expiring = { 0 };
  for (size_t i = 0; i < step->permits.count && expiring.count < ASK_MAX; i++) {
    const DagPermit *permit = &step->permits.items[i];
    if (permit->target->reserved_pass == dag->pass
        && permit->target->reserved_for == dag_step_key (step)
        && permit->valid_until <= answered_at (&step->job->queue, now_ms))
      gr_list_push (&expiring, (Candidate){ .target = permit->target });
  }
  if (expiring.count > 0)
    send_ask (dag, step, expiring.items, expiring.count);
  gr_list_clear (&expiring);
}

static DagOpenAsk *
find_ask (const DagStep *step, int64_t token)
{
  for (size_t i = 0; i < step->asks.count; i++) {
    if (step->asks.items[i].token == token)
      return &step->asks.items[i];
  }
  return NULL;
}

/* Takes the answered call off the open ones; what it named counts as asked if it was answered. */
static void
close_ask (DagState *dag, DagStep *step, DagOpenAsk *ask, bool ok)
{
  int64_t mark = mark_known (dag, step);
  for (size_t i = 0; ok && i < ask->named.count; i++) {
    if (ask->named.items[i]->mark == mark)
      continue;
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    gr_list_push (&step->asked, ask->named.items[i]);
  }
  release_named (ask);
  gr_list_swap_remove (&step->asks, (size_t) (ask - step->asks.items));
}

void
dag_advised (DagState *dag, const GrName *job_id, uint32_t number, int64_t token, bool ok,
             const DagAllowed *allowed, size_t count, int64_t age_ms, int64_t now_ms)
{
  DagJob *job = dag_find_job (dag, job_id);
  if (!job || number >= job->step_count)
    return;
  DagStep *step = &job->steps[number];
  DagOpenAsk *ask = find_ask (step, token);
  if (!ask)
    return;
  size_t named = ask->named.count;
  close_ask (dag, step, ask, ok);
  step->advice_retry_at = now_ms + RETRY_MS;
  dag->place_wanted = true;
  if (!ok) {
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
