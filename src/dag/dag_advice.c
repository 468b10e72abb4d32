/* Placement advice: a slow external service decides which targets may run a step.

   The answer for a step and an incarnation of a target never changes, but the ticket that comes
   with it expires. A step asks about as many targets as its tasks are likely to need, those with
   room first. It asks again about allowed targets with an expired ticket once they have room. Many
   targets are split into concurrent calls: a call takes longer the more targets it names, and a
   wide gang needs all its tickets valid at the same time. */
#include <math.h>
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most targets that one call names. */
#define CALL_TARGETS_MAX 100
/* Most calls of one step in flight. */
#define STEP_CALLS_MAX 4
/* Lower bound of targets_per_call() and of the targets that a first call names. */
#define CALL_TARGETS_MIN 10
/* The first call of a step names at least as many targets as prolong it by this share of its fixed
   duration. The fixed part is spent anyway, and a gang that has to ask again finds its first
   tickets expired. */
#define FIRST_CALL_EXTRA 0.5
/* Calls are split so that the targets prolong each by about this multiple of its fixed part. */
#define SPLIT_EXTRA 1.0
/* Calls name targets until these are expected to fit this multiple of the waiting tasks that lack
   room on targets whose ticket outlasts the call. */
#define SURPLUS_FACTOR 1.4
/* The multiple for a gang, which starts only if there is room for all its tasks when the answer
   arrives. */
#define GANG_SURPLUS_FACTOR 10
/* Pause between an answer or a failed call and the next call of the step. */
#define CALL_RETRY_MS 150
/* A gang that seems to lack room still calls at this interval, since further tickets may show that
   there is enough. */
#define GANG_RETRY_MS 1000
/* Weight of one answer in the moving average of the share of allowed targets. */
#define ALLOWED_SHARE_WEIGHT 0.1

/* The targets of the call no longer count it as in flight. */
static void
release_targets (DagAdviceCall *call)
{
  for (size_t i = 0; i < call->targets.count; i++)
    call->targets.items[i]->advice_calls--;
  gr_list_clear (&call->targets);
}

static void
clear_calls (DagStep *step)
{
  for (size_t i = 0; i < step->advice_calls.count; i++)
    release_targets (&step->advice_calls.items[i]);
  gr_list_clear (&step->advice_calls);
}

void
dag_advice_clear (DagStep *step)
{
  gr_list_clear (&step->permits);
  gr_list_clear (&step->advised_targets);
  clear_calls (step);
  step->advice_received = false;
}

void
dag_advice_drop_target (DagStep *step, const DagTarget *target)
{
  for (size_t i = step->permits.count; i-- > 0;) {
    if (step->permits.items[i].target == target)
      gr_list_swap_remove (&step->permits, i);
  }
  for (size_t i = step->advised_targets.count; i-- > 0;) {
    if (step->advised_targets.items[i] == target)
      gr_list_swap_remove (&step->advised_targets, i);
  }
  for (size_t a = 0; a < step->advice_calls.count; a++) {
    DagAdviceCall *call = &step->advice_calls.items[a];
    for (size_t i = call->targets.count; i-- > 0;) {
      if (call->targets.items[i] != target)
        continue;
      call->targets.items[i]->advice_calls--;
      gr_list_swap_remove (&call->targets, i);
    }
  }
}

/* A target that a call may name. */
typedef struct {
  DagTarget *target;
  int32_t fits;               /* tasks of the step that fit now */
  int32_t capacity;           /* tasks of the step that fit when idle; 0 if counted in fits_idle */
  double allowed_probability; /* expected from earlier answers; 1 if it is known to be allowed */
  int32_t speed_rank;         /* see DagSpeedRank */
} Candidate;

typedef GR_LIST (Candidate) Candidates;

/* Room that a step has with its present advice, and the targets that it may still ask about. */
typedef struct {
  Candidates candidates;
  double fits_now;       /* tasks that fit on targets with a valid ticket */
  double fits_at_answer; /* tasks that fit on targets whose ticket outlasts a call made now */
  double fits_idle;      /* tasks that fit on all allowed targets when these are idle */
} AdviceState;

static int
compare_candidates (const void *a, const void *b)
{
  const Candidate *x = a, *y = b;
  /* Lowers the rank of targets that are already named by calls in flight, so that steps that ask at
     the same time do not all wait for the same room. */
  double left = x->fits * x->allowed_probability / (1 + x->target->advice_calls);
  double right = y->fits * y->allowed_probability / (1 + y->target->advice_calls);
  if ((left > 0) != (right > 0))
    return left > 0 ? -1 : 1;
  if (x->speed_rank != y->speed_rank)
    return x->speed_rank < y->speed_rank ? -1 : 1;
  return left < right ? 1 : left > right ? -1 : x->target->serial < y->target->serial ? -1 : 1;
}

/* Marks the targets about which the step has advice, so that a scan of all targets is linear.
   Returns the mark. */
static int64_t
mark_advised_targets (DagState *dag, const DagStep *step)
{
  int64_t mark = ++dag->mark;
  for (size_t i = 0; i < step->advised_targets.count; i++) {
    step->advised_targets.items[i]->mark = mark;
    step->advised_targets.items[i]->marked_permit = NULL;
  }
  for (size_t i = 0; i < step->permits.count; i++) {
    step->permits.items[i].target->mark = mark;
    step->permits.items[i].target->marked_permit = &step->permits.items[i];
  }
  return mark;
}

/* Number of targets that prolong a call by extra times its fixed duration, within bounds. */
static size_t
targets_per_call (const DagQueue *queue, double extra)
{
  double count = CALL_TARGETS_MIN;
  if (queue->advice_ms_per_target > 0)
    count = extra * queue->advice_ms / queue->advice_ms_per_target;
  return count < CALL_TARGETS_MIN   ? CALL_TARGETS_MIN
         : count > CALL_TARGETS_MAX ? CALL_TARGETS_MAX
                                    : (size_t) count;
}

/* Expected duration of a call. */
static double
call_duration_ms (const DagQueue *queue, size_t named)
{
  return queue->advice_ms + queue->advice_ms_per_target * (double) named;
}

/* A ticket has to be valid beyond this time to be usable when a call made now is answered. */
static int64_t
answer_expected_at (const DagQueue *queue, int64_t now_ms)
{
  return now_ms + DAG_TICKET_MARGIN_MS
         + (int64_t) call_duration_ms (queue, targets_per_call (queue, SPLIT_EXTRA));
}

static void
collect_candidates (DagState *dag, DagStep *step, AdviceState *out, int64_t now_ms)
{
  const DagQueue *queue = &step->job->queue;
  int64_t needed_until = now_ms + DAG_TICKET_MARGIN_MS;
  int64_t needed_at_answer = answer_expected_at (queue, now_ms);
  double allowed_share = step->job->stats->allowed_share;
  int64_t mark = mark_advised_targets (dag, step);
  DagSpeedRank speeds;
  dag_speed_rank (dag, step, needed_at_answer, &speeds);
  for (size_t i = 0; i < dag->target_list.count; i++) {
    DagTarget *target = dag->target_list.items[i];
    if (!dag_target_usable (target, now_ms) || !dag_may_run (step, target))
      continue;
    bool closed = dag_trial_closes (target, step->job, now_ms);
    Candidate candidate
        = { target, closed ? 0 : dag_fit_count (step, target), dag_fit_count_idle (step, target),
            allowed_share, dag_speed_rank_of (&speeds, target) };
    if (target->mark == mark) {
      if (!target->marked_permit)
        continue;
      out->fits_idle += candidate.capacity;
      int64_t valid_until = target->marked_permit->valid_until;
      if (valid_until > needed_until)
        out->fits_now += candidate.fits;
      if (valid_until > needed_at_answer) {
        out->fits_at_answer += candidate.fits;
        continue;
      }
      if (candidate.fits == 0)
        continue;
      candidate.allowed_probability = 1;
      candidate.capacity = 0; /* already added to fits_idle */
    }
    gr_list_push (&out->candidates, candidate);
  }
  if (out->candidates.count > 0)
    qsort (out->candidates.items, out->candidates.count, sizeof (Candidate), compare_candidates);
}

/* Returns how many of the sorted candidates to name so that this number of tasks gets room; 0 if a
   call would not help now. */
static size_t
choose_count (const DagStep *step, int32_t tasks, const AdviceState *state, int64_t now_ms)
{
  double missing = tasks - state->fits_at_answer;
  double surplus = step->spec.gang ? GANG_SURPLUS_FACTOR : SURPLUS_FACTOR;
  double wanted = missing * surplus;
  double expected = 0;
  double possible = 0;
  double fits_idle = state->fits_idle;
  size_t min_count
      = step->advice_received ? 0 : targets_per_call (&step->job->queue, FIRST_CALL_EXTRA);
  size_t count = 0;
  while (count < state->candidates.count && count < (size_t) CALL_TARGETS_MAX * STEP_CALLS_MAX) {
    const Candidate *candidate = &state->candidates.items[count];
    bool enough = expected >= wanted;
    /* A target without room is named only to find out where the step may run at all. */
    bool no_gain = candidate->fits == 0 && fits_idle >= tasks * surplus;
    if (count >= min_count && (enough || no_gain))
      break;
    expected += candidate->fits * candidate->allowed_probability;
    possible += candidate->fits;
    fits_idle += candidate->capacity * candidate->allowed_probability;
    count++;
  }
  /* A gang starts as a whole, so a call is useless if its targets cannot have room for all missing
     tasks. */
  bool futile = step->spec.gang && step->advice_received && possible < missing
                && now_ms - step->advice_called_at < GANG_RETRY_MS;
  return futile ? 0 : count;
}

/* Emits one call for advice that names the candidates. */
static void
send_call (DagState *dag, DagStep *step, const Candidate *candidates, size_t count)
{
  DagAdviceCall call = { .token = ++dag->next_token };
  GrName *names = gr_calloc (count, sizeof *names);
  for (size_t i = 0; i < count; i++) {
    names[i] = candidates[i].target->info.id;
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    gr_list_push (&call.targets, candidates[i].target);
    candidates[i].target->advice_calls++;
  }
  gr_list_push (&step->advice_calls, call);
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
  gr_list_push (&dag->advise_names, names);
  const DagQueue *queue = &step->job->queue;
  DagCmd cmd = { .type = DAG_CMD_ADVISE };
  cmd.u.advise.job = dag_task_job_name (step->job);
  cmd.u.advise.step = step->number;
  cmd.u.advise.token = call.token;
  cmd.u.advise.priority = queue->priority;
  cmd.u.advise.targets = names;
  cmd.u.advise.count = count;
  cmd.u.advise.expected_ms = (int64_t) ceil (call_duration_ms (queue, count));
  gr_list_push (&dag->cmds, cmd);
}

void
dag_advice_request (DagState *dag, DagStep *step, int32_t tasks, int64_t now_ms)
{
  if (step->advice_calls.count > 0 || now_ms < step->advice_retry_at)
    return;
  AdviceState state = { 0 };
  collect_candidates (dag, step, &state, now_ms);
  size_t count = 0;
  if (state.fits_now < tasks)
    count = choose_count (step, tasks, &state, now_ms);
  if (count > 0) {
    size_t split = targets_per_call (&step->job->queue, SPLIT_EXTRA);
    size_t calls = (count + split - 1) / split;
    if (calls > STEP_CALLS_MAX)
      calls = STEP_CALLS_MAX;
    step->advice_called_at = now_ms;
    for (size_t i = 0; i < calls; i++) {
      size_t from = count * i / calls;
      size_t to = count * (i + 1) / calls;
      send_call (dag, step, &state.candidates.items[from], to - from);
    }
  }
  gr_list_clear (&state.candidates);
}

/* Adds the permit, or renews the one that the step has for the target. */
static void
set_permit (DagStep *step, DagTarget *target, const char *ticket, int64_t valid_until)
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
  if (step->advice_calls.count > 0 || now_ms < step->advice_retry_at)
    return;
  Candidates expiring = { 0 };
  for (size_t i = 0; i < step->permits.count && expiring.count < CALL_TARGETS_MAX; i++) {
    const DagPermit *permit = &step->permits.items[i];
    if (permit->target->reserved_pass == dag->pass
        && permit->target->reserved_for == dag_step_key (step)
        && permit->valid_until <= answer_expected_at (&step->job->queue, now_ms))
      gr_list_push (&expiring, (Candidate){ .target = permit->target });
  }
  if (expiring.count > 0)
    send_call (dag, step, expiring.items, expiring.count);
  gr_list_clear (&expiring);
}

static DagAdviceCall *
find_call (const DagStep *step, int64_t token)
{
  for (size_t i = 0; i < step->advice_calls.count; i++) {
    if (step->advice_calls.items[i].token == token)
      return &step->advice_calls.items[i];
  }
  return NULL;
}

/* Removes the call from those in flight. If ok, the targets that it named count as advised. */
static void
close_call (DagState *dag, DagStep *step, DagAdviceCall *call, bool ok)
{
  int64_t mark = mark_advised_targets (dag, step);
  for (size_t i = 0; ok && i < call->targets.count; i++) {
    if (call->targets.items[i]->mark == mark)
      continue;
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    gr_list_push (&step->advised_targets, call->targets.items[i]);
  }
  release_targets (call);
  gr_list_swap_remove (&step->advice_calls, (size_t) (call - step->advice_calls.items));
}

void
dag_handle_advice (DagState *dag, const GrName *job_id, uint32_t number, int64_t token, bool ok,
                   const DagAllowed *allowed, size_t count, int64_t age_ms, int64_t now_ms)
{
  DagJob *job = dag_find_task_job (dag, job_id);
  if (!job || number >= job->step_count)
    return;
  DagStep *step = &job->steps[number];
  DagAdviceCall *call = find_call (step, token);
  if (!call)
    return;
  size_t named = call->targets.count;
  close_call (dag, step, call, ok);
  step->advice_retry_at = now_ms + CALL_RETRY_MS;
  dag->place_wanted = true;
  if (!ok) {
    DAG_LOG (dag, GR_EV_REFUSED, "id=%.*s step=%u reason=no-advice", GR_NAME_ARG (*job_id), number);
    return;
  }
  DagQueueStats *stats = job->stats;
  if (named > 0 && !step->advice_received)
    stats->allowed_share
        += ALLOWED_SHARE_WEIGHT * ((double) count / (double) named - stats->allowed_share);
  step->advice_received = true;
  int64_t valid_until = now_ms - age_ms + job->queue.advice_valid_ms;
  for (size_t i = 0; i < count; i++) {
    DagTarget *target = dag_find_target (dag, &allowed[i].target);
    if (target)
      set_permit (step, target, allowed[i].ticket, valid_until);
  }
  dag_queue_step (dag, step);
}
