/* Gang scheduling: parts hold capacity until all parts of the gang are committed or released. */
#include "sch/sch_priv.h"

/* Max gangs examined in one step, oldest first. */
#define GANG_SCAN_MAX 32
/* A gang other than the oldest is tried again only after this time. */
#define GANG_RETRY_MS 20
/* Max waiting parts of the oldest gang that reserve a target each. */
#define GANG_RESERVATIONS_MAX 16

void
sch_gang_join (SchState *s, SchEntry *e)
{
  uint64_t key = sch_attempt_hash (&e->task.job, e->task.attempt);
  SchGang *gang;
  HASH_FIND (hh, s->gangs, &key, sizeof key, gang);
  if (!gang) {
    gang = gr_calloc (1, sizeof *gang);
    gang->key = key;
    gang->job = e->task.job;
    gang->attempt = e->task.attempt;
    gang->tasks = e->task.policy.gang.tasks;
    HASH_ADD (hh, s->gangs, key, sizeof gang->key, gang);
    DL_APPEND (s->gang_order, gang);
  }
  e->gang = gang;
  gang->waiting++;
  DL_APPEND2 (gang->parts, e, gang_prev, gang_next);
  s->gangs_dirty = true;
}

void
sch_gang_leave (SchState *s, SchEntry *e)
{
  SchGang *gang = e->gang;
  if (!gang)
    return;
  e->gang = NULL;
  if (e->phase == SCH_PHASE_HELD)
    gang->held--;
  else
    gang->waiting--;
  DL_DELETE2 (gang->parts, e, gang_prev, gang_next); // NOLINT(clang-analyzer-core.NullDereference)
  s->gangs_dirty = true;
  if (gang->parts)
    return;
  HASH_DEL (s->gangs, gang);
  DL_DELETE (s->gang_order, gang);
  free (gang);
}

void
sch_gang_fail (SchState *s, SchGang *gang, SchWhy why, SchCmds *out)
{
  sch_ttl_set_add (&s->failed_gangs, gang->key, s->now_ms);
  bool more = gang->parts != NULL;
  while (more) {
    SchEntry *part = gang->parts;
    more = part->gang_next != NULL;
    sch_gang_leave (s, part);
    sch_refuse (s, part, why, GR_RES_CPU_MILLI, out);
  }
}

static void
commit_gang (SchState *s, SchGang *gang, SchCmds *out)
{
  /* A commit is stale unless all parts submitted here hold; the holds stay until their deadline. */
  if (gang->waiting > 0 && !s->options.faults.gang_partial_commit)
    return;
  bool more = gang->parts != NULL;
  for (SchEntry *part = gang->parts, *next; more; part = next) {
    next = part->gang_next;
    more = next != NULL;
    if (part->phase != SCH_PHASE_HELD)
      continue;
    sch_gang_leave (s, part);
    sch_start (s, part, SCH_WHY_RESERVED, out);
  }
}

void
sch_gang_resolve (SchState *s, const GrName *job, int32_t attempt, bool commit, SchCmds *out)
{
  SchGang *gang, *next;
  DL_FOREACH_SAFE (s->gang_order, gang, next)
  {
    if (!gr_name_equal (&gang->job, job) || (attempt != 0 && gang->attempt != attempt))
      continue;
    if (commit)
      commit_gang (s, gang, out);
    else
      sch_gang_fail (s, gang, SCH_WHY_HOLD_EXPIRED, out);
  }
}

void
sch_gangs_fail_on (SchState *s, int32_t i, SchCmds *out)
{
  for (SchEntry *e = s->targets.tasks[i]; e;) {
    if (e->phase == SCH_PHASE_HELD && e->gang) {
      sch_gang_fail (s, e->gang, SCH_WHY_NO_TARGET, out);
      e = s->targets.tasks[i]; /* restart: the gang may have had several holds on this target */
    } else {
      e = e->target_next;
    }
  }
}

/* Releases the parts before end that were assigned a target but not yet reported as held. */
static void
roll_back (SchState *s, SchGang *gang, SchEntry *end)
{
  size_t freed = s->freed.count;
  for (SchEntry *e = gang->parts; e != end; e = e->gang_next) {
    if (e->queue && e->target >= 0)
      sch_target_release (s, e);
  }
  s->freed.count = freed; /* the free capacity is the same as before */
}

/* Places the waiting parts of a gang. If all of them fit, they become holds. Otherwise, with
   partial set, those before the first that does not fit become holds and the rest reserve targets.
   Returns false, without holds or reservations, if the gang waits for its team's quota part. */
static bool
hold_parts (SchState *s, SchGang *gang, bool partial, SchCmds *out)
{
  SchEntry *e = gang->parts;
  bool all = true;
  bool quota_short = false;
  for (; e; e = e->gang_next) {
    if (!e->queue)
      continue;
    SchWhy why;
    GrResDim dim = GR_RES_CPU_MILLI;
    int32_t target = -1;
    bool may = sch_may_start (s, e, &why, &dim);
    quota_short = quota_short || why == SCH_WHY_QUOTA;
    if (may)
      target = sch_pick_target (s, e, &why);
    if (target < 0 || why == SCH_WHY_PROBE) {
      e->queue->why = quota_short ? SCH_WHY_QUOTA : SCH_WHY_NO_TARGET;
      e->queue->dim = dim;
      all = false;
      break;
    }
    sch_target_assign (s, target, e);
  }
  if (!all && (!partial || quota_short)) {
    roll_back (s, gang, e);
    return !quota_short;
  }
  for (SchEntry *part = gang->parts; part != e; part = part->gang_next) {
    if (!part->queue)
      continue;
    SchWhy why = part->reserved_target == part->target ? SCH_WHY_RESERVED : SCH_WHY_BEST_FIT;
    sch_queue_remove (s, part);
    part->phase = SCH_PHASE_HELD;
    part->start_ms = s->now_ms;
    gang->waiting--;
    gang->held++;
    sch_emit (out, SCH_CMD_HELD, part, why)->target = s->targets.name[part->target]->name;
    sch_timer_set (s, part, part->task.policy.gang.hold_deadline_ms);
  }
  int reservations = 0;
  for (; e && reservations < GANG_RESERVATIONS_MAX; e = e->gang_next) {
    if (e->queue)
      reservations += sch_reserve (s, e);
  }
  return true;
}

void
sch_gangs_place (SchState *s, SchCmds *out)
{
  bool first = true;
  int scanned = 0;
  SchGang *gang;
  DL_FOREACH (s->gang_order, gang)
  {
    if (gang->waiting == 0)
      continue;
    if (++scanned > GANG_SCAN_MAX)
      break;
    /* Only the oldest waiting gang may hold some of its parts: two such gangs could deadlock, each
       waiting for the capacity that the other holds. */
    if (!first && s->now_ms < gang->retry_ms)
      continue;
    gang->retry_ms = s->now_ms + GANG_RETRY_MS;
    if (hold_parts (s, gang, first, out))
      first = false;
  }
}
