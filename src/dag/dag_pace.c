/* Pacing: best-effort runs share a target with tasks that serve users and disturb them, by amounts
   that differ by image and change within seconds. The pace of the best-effort runs of a target
   follows the tails that its serving tasks report: down fast when a tail nears its target, up
   slowly, and not to a speed that was too much a short time ago. Runs that cannot work beside each
   other are moved apart, and placement avoids pairs of images that disturbed each other. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Ratios of a tail to its target: above the first the pace is lowered, below the second it rises.
   The tails are rough figures, so the two are far apart. */
#define RATIO_HIGH 0.85
#define RATIO_LOW 0.65
/* A change shows in the figures of the target after this time. */
#define SETTLE_MS 700
#define RAISE_INTERVAL_MS 1500
#define RAISE_PERCENT 10
/* Factors of the limit when a tail nears its target and when it is over it. */
#define NEAR_FACTOR 0.8
#define OVER_FACTOR 0.5
/* Lower limits are set to 0. */
#define PACE_MIN_PERCENT 8
/* The limit stays this far below the one that was too much, for this long. */
#define CEILING_GAP_PERCENT 5
#define CEILING_MS 12000
/* A run whose pace stays below LOW_PERCENT for this long is moved to another target. */
#define LOW_PERCENT 20
#define MOVE_AFTER_MS 5000
/* Weight of one observation in DagPair.harm. */
#define HARM_WEIGHT 0.2

void
dag_pace_init (DagPace *pace)
{
  *pace = (DagPace){ .limit = 100, .ceiling = 100 };
}

static void
set_limit (DagPace *pace, int32_t limit, int64_t now_ms)
{
  pace->limit = limit;
  pace->changed_at = now_ms;
  if (limit >= LOW_PERCENT)
    pace->low_since = 0;
  else if (pace->low_since == 0)
    pace->low_since = now_ms;
}

static bool
lower_limit (DagPace *pace, bool over, int64_t now_ms)
{
  if (pace->limit == 0)
    return false;
  pace->ceiling = pace->limit;
  pace->ceiling_until = now_ms + CEILING_MS;
  int32_t limit = (int32_t) ((over ? OVER_FACTOR : NEAR_FACTOR) * pace->limit);
  /* A second figure over the target in a row ends the disturbance at once. */
  if (limit < PACE_MIN_PERCENT || (over && pace->over))
    limit = 0;
  pace->over = over;
  set_limit (pace, limit, now_ms);
  return true;
}

static bool
raise_limit (DagPace *pace, int64_t now_ms)
{
  int32_t top = now_ms < pace->ceiling_until ? pace->ceiling - CEILING_GAP_PERCENT : 100;
  int32_t limit = pace->limit + RAISE_PERCENT;
  if (limit > top)
    limit = top;
  if (limit <= pace->limit || now_ms - pace->changed_at < RAISE_INTERVAL_MS)
    return false;
  pace->over = false;
  set_limit (pace, limit, now_ms);
  return true;
}

bool
dag_pace_update (DagPace *pace, double ratio, int64_t now_ms)
{
  if (pace->changed_at > 0 && now_ms - pace->changed_at < SETTLE_MS)
    return false;
  if (ratio >= RATIO_HIGH)
    return lower_limit (pace, ratio >= 1, now_ms);
  if (ratio < RATIO_LOW)
    return raise_limit (pace, now_ms);
  pace->over = false;
  return false;
}

static bool
serves (const DagTask *task)
{
  return task->step->spec.tail_target_ms > 0;
}

static bool
is_best_effort (const DagTask *task)
{
  return task->step->spec.best_effort_cpu;
}

bool
dag_pace_is_mixed (const DagTarget *target)
{
  bool serving = false;
  bool best_effort = false;
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    serving |= serves (task);
    best_effort |= is_best_effort (task);
  }
  return serving && best_effort;
}

/* Ratio of the tail that a serving task reported to its target; -1 if it reported none. */
static double
tail_ratio (const DagTask *task)
{
  if (!serves (task) || task->state != TASK_RUNNING || task->usage < 0)
    return -1;
  return (double) task->usage / (double) task->step->spec.tail_target_ms;
}

/* Worst ratio of a reported tail to its target; 0 if none is reported. */
static double
worst_ratio (const DagTarget *target)
{
  double worst = 0;
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    double ratio = tail_ratio (task);
    if (ratio > worst)
      worst = ratio;
  }
  return worst;
}

static DagPair *
find_pair (const DagState *dag, const GrName *best_effort, const GrName *serving)
{
  /* Names are compared with their padding, which gr_name_set() zeroes. */
  GrName images[2] = { *best_effort, *serving };
  DagPair *pair = NULL;
  HASH_FIND (hh, dag->pairs, images, sizeof images, pair);
  return pair;
}

static void
observe_pair (DagState *dag, const DagTask *best_effort, const DagTask *serving, bool harm)
{
  const GrName *first = &best_effort->step->spec.image;
  const GrName *second = &serving->step->spec.image;
  if (first->len == 0 || second->len == 0)
    return;
  DagPair *pair = find_pair (dag, first, second);
  if (!pair) {
    pair = gr_calloc (1, sizeof *pair);
    pair->images[0] = *first;
    pair->images[1] = *second;
    HASH_ADD (hh, dag->pairs, images, sizeof pair->images, pair);
  }
  pair->harm += HARM_WEIGHT * ((harm ? 1 : 0) - pair->harm);
}

/* Learns from the figures of a target: harm if a serving task is over its target while best-effort
   runs work fast beside it, none if it is well below while they do. */
static void
learn_pairs (DagState *dag, const DagTarget *target)
{
  if (target->pace.limit < 100 - RAISE_PERCENT)
    return;
  for (const DagTask *serving = target->runs; serving; serving = serving->target_next) {
    double ratio = tail_ratio (serving);
    if (ratio < 0 || (ratio >= RATIO_LOW && ratio < 1))
      continue;
    for (const DagTask *task = target->runs; task; task = task->target_next) {
      if (is_best_effort (task) && task->state == TASK_RUNNING)
        observe_pair (dag, task, serving, ratio >= 1);
    }
  }
}

double
dag_pace_expected_harm (DagState *dag, const DagStep *step, const DagTarget *target)
{
  double harm = 0;
  bool serving = step->spec.tail_target_ms > 0;
  if (!dag->pairs || (!serving && !step->spec.best_effort_cpu))
    return 0;
  for (const DagTask *task = target->runs; task; task = task->target_next) {
    const GrName *other = &task->step->spec.image;
    const DagPair *pair = NULL;
    if (serving && is_best_effort (task))
      pair = find_pair (dag, other, &step->spec.image);
    else if (step->spec.best_effort_cpu && serves (task))
      pair = find_pair (dag, &step->spec.image, other);
    if (pair)
      harm += pair->harm;
  }
  return harm;
}

/* Sends the limit to the best-effort runs that work at another pace. */
static void
send_pace (DagState *dag, DagTarget *target)
{
  for (DagTask *task = target->runs; task; task = task->target_next) {
    if (!is_best_effort (task) || task->state != TASK_RUNNING || task->pace_open
        || task->pace == target->pace.limit)
      continue;
    DagCmd cmd = { .type = DAG_CMD_PACE };
    cmd.target = dag_target_ref (target);
    cmd.u.pace.task = dag_task_ref (task);
    cmd.u.pace.run = task->run;
    cmd.u.pace.percent = target->pace.limit;
    gr_list_push (&dag->cmds, cmd);
    task->pace_open = true;
    dag_count (dag, GR_METRIC_PACE_ORDERS, 1);
  }
}

/* Stops one best-effort run that has hardly worked for long, so that it starts elsewhere. */
static void
move_slow_run (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (target->pace.low_since == 0 || now_ms - target->pace.low_since < MOVE_AFTER_MS)
    return;
  for (DagTask *task = target->runs; task; task = task->target_next) {
    if (!is_best_effort (task) || task->state != TASK_RUNNING || task->step->spec.gang
        || !dag_may_interrupt (dag, task))
      continue;
    dag_interrupt (dag, task, "paced", now_ms);
    target->pace.low_since = now_ms;
    return;
  }
}

void
dag_pace_target (DagState *dag, DagTarget *target, int64_t now_ms)
{
  if (!dag_pace_is_mixed (target)) {
    dag_pace_init (&target->pace);
    send_pace (dag, target);
    return;
  }
  double ratio = worst_ratio (target);
  learn_pairs (dag, target);
  if (dag_pace_update (&target->pace, ratio, now_ms))
    DAG_LOG (dag, GR_EV_PACED, "target=%.*s tail_ratio=%.2f pace=%d", GR_NAME_ARG (target->info.id),
             ratio, target->pace.limit);
  send_pace (dag, target);
  move_slow_run (dag, target, now_ms);
}

void
dag_handle_pace_result (DagState *dag, const DagTaskRef *ref, int64_t run, int32_t percent,
                        DagOrderResult result, int64_t now_ms)
{
  (void) now_ms;
  if (result == DAG_ORDER_FENCED) {
    dag_depose (dag);
    return;
  }
  DagTask *task = dag_find_task (dag, ref);
  if (!task || task->run != run)
    return;
  task->pace_open = false;
  /* After a failure the next inventory sends the limit again. */
  if (result == DAG_ORDER_OK)
    task->pace = percent;
  else if (dag_order_is_unanswered (result))
    task->pace = -1;
}

void
dag_pace_clear (DagState *dag)
{
  gr_hash_clear (dag->pairs, free);
}
