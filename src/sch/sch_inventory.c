/* Messages about one target: up, with its inventory; leaving, down and gone. */
#include "sch/sch_priv.h"

/* Records a task that the inventory lists as running. It reserves its demand even if that exceeds
   the free capacity. */
static void
adopt (SchState *s, int32_t i, const SchTask *task, SchCmds *out)
{
  SchEntry *e = sch_entry_find (s, &task->id, task->attempt);
  if (!e) {
    if (sch_ttl_set_contains (&s->ended, sch_attempt_hash (&task->id, task->attempt)))
      return;
    e = sch_add_entry (s, task);
    e->reserve = task->demand;
  }
  switch (e->phase) {
  case SCH_PHASE_QUEUED:
    sch_timer_clear (s, e);
    sch_queue_remove (s, e);
    sch_gang_leave (s, e);
    sch_target_assign (s, i, e);
    e->start_ms = s->now_ms;
    s->running++;
    break;
  case SCH_PHASE_HELD:
    sch_timer_clear (s, e);
    sch_gang_leave (s, e);
    s->running++;
    break;
  case SCH_PHASE_STARTING:
  case SCH_PHASE_RUNNING:
    break;
  }
  e->phase = SCH_PHASE_RUNNING;
  /* A cancel may have arrived before the inventory. */
  if (!e->stopping && sch_ttl_set_contains (&s->cancelled, gr_name_hash (&task->id, 0)))
    sch_stop (s, e, SCH_WHY_CANCELLED, out);
}

/* Reports the end of a task in the inventory, which an earlier owner may have started. */
static void
report_inventory_end (SchState *s, const SchInventoryTask *item, SchCmds *out)
{
  const SchTask *task = &item->task;
  if (sch_entry_find (s, &task->id, task->attempt))
    sch_on_ended (s, &task->id, task->attempt, item->end, -1, out);
  else if (!sch_ttl_set_contains (&s->ended, sch_attempt_hash (&task->id, task->attempt)))
    sch_end (s, sch_add_entry (s, task), item->end, out);
}

void
sch_on_target_up (SchState *s, const SchMsg *msg, SchCmds *out)
{
  SchTargets *t = &s->targets;
  int32_t i = sch_target_find (t, &msg->target.target);
  if (i < 0) {
    i = sch_target_add (t, &msg->target.target);
    /* Replicas of services are counted by group and zone, so these keep their first values. */
    t->group[i] = (uint32_t) gr_name_hash (&msg->target.group, 0);
    t->zone[i] = (uint32_t) gr_name_hash (&msg->target.zone, 0);
  }
  /* A leaving target keeps this state until SCH_MSG_TARGET_GONE. */
  uint8_t kept = t->flags[i] & (uint8_t) ~SCH_TARGET_UP;
  sch_target_set (s, i, &msg->target.capacity, kept | SCH_TARGET_UP);
  for (size_t k = 0; k < msg->target.count; k++) {
    if (msg->target.tasks[k].running)
      adopt (s, i, &msg->target.tasks[k].task, out);
    else
      report_inventory_end (s, &msg->target.tasks[k], out);
  }
}

void
sch_on_target_state (SchState *s, const SchMsg *msg, SchCmds *out)
{
  SchTargets *t = &s->targets;
  int32_t i = sch_target_find (t, &msg->target.target);
  if (msg->kind == SCH_MSG_TARGET_LEAVING) {
    if (i < 0) {
      i = sch_target_add (t, &msg->target.target);
      t->group[i] = (uint32_t) gr_name_hash (&msg->target.group, 0);
      t->zone[i] = (uint32_t) gr_name_hash (&msg->target.zone, 0);
    }
    sch_target_flag (s, i, SCH_TARGET_LEAVING, 0);
  } else if (i >= 0) {
    sch_target_flag (s, i, 0, SCH_TARGET_UP);
  }
  if (i >= 0)
    sch_gangs_fail_on (s, i, out);
}

/* The tasks continue under the next owner of the target, so no command is emitted for them. */
void
sch_on_target_gone (SchState *s, const GrName *name, SchCmds *out)
{
  int32_t i = sch_target_find (&s->targets, name);
  if (i < 0)
    return;
  sch_target_flag (s, i, SCH_TARGET_LEAVING, 0);
  sch_gangs_fail_on (s, i, out);
  while (s->targets.tasks[i]) {
    SchEntry *e = s->targets.tasks[i];
    /* A late duplicate of its submit must not start it a second time. */
    sch_ttl_set_add (&s->orphaned, sch_attempt_hash (&e->task.id, e->task.attempt), s->now_ms);
    sch_drop (s, e);
  }
  sch_health_remove_target (s, i);
  sch_target_remove (s, i);
}
