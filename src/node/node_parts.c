#include "node/node_parts.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/gr_random.h"
#include "node/node_config.h"
#include "node/node_list.h"
#include "node/node_own.h"
#include "node/node_parts_priv.h"
#include "node/node_peers.h"
#include "node/node_place.h"
#include "node/node_route.h"
#include "node/node_stream.h"
#include "node/node_why.h"

#define PARTS_TICK_MS 10
#define JOBS_POLL_MS 500
#define SYNC_CHECK_INTERVAL_MS 50
/* The scheduler refuses a placement that arrives later than this after its sending. Less than the
   3,500 ms that the claimer of a partition waits. */
#define PLACE_TTL_MS 1000

static void run_commands (NodeParts *parts, JobCmds *cmds);

void
node_parts_step (NodeParts *parts, const JobMsg *msg)
{
  JobCmds cmds = { 0 };
  job_step (parts->job, msg, node_now (parts->node), &cmds);
  run_commands (parts, &cmds);
  gr_list_clear (&cmds);
}

static void
defer_place_result (NodeParts *parts, const JobCmd *cmd, const GrName *scheduler)
{
  JobMsg msg = { .kind = JOB_MSG_PLACE_RESULT };
  msg.place.id = cmd->id;
  msg.place.attempt = cmd->attempt;
  msg.place.result = JOB_PLACE_REFUSED;
  msg.place.why = GR_ERR_UNAVAILABLE;
  msg.place.scheduler = *scheduler;
  gr_list_push (&parts->deferred, msg);
}

static void
run_place (NodeParts *parts, const JobCmd *cmd)
{
  Node *node = parts->node;
  GrName chosen = { 0 };
  char reason[96];
  NodePart *part = node_parts_find (parts, &cmd->spec->id);
  bool found = node_place_choose (node, &cmd->spec->demand, cmd->avoid, cmd->avoid_count, &chosen,
                                  reason, sizeof reason);
  if (found && part && part->owned) {
    NodeWire wire = { .kind = NODE_WIRE_PLACE,
                      .place = { .id = cmd->id,
                                 .attempt = cmd->attempt,
                                 .spec = *cmd->spec,
                                 .part = part->key,
                                 .epoch = part->epoch,
                                 .place_by_unix_ms = node_unix () + PLACE_TTL_MS } };
    if (cmd->attempt > 1)
      gr_metric_add (&node->metrics, GR_METRIC_RETRIES, 1);
    gr_log (&parts->log, GR_EV_ATTEMPT, "%.*s#%d to %.*s: %s", GR_NAME_ARG (cmd->id), cmd->attempt,
            GR_NAME_ARG (chosen), reason);
    if (node_peers_send (node, &chosen, &wire, NULL))
      return;
  } else {
    gr_log (&parts->log, GR_EV_ATTEMPT, "%.*s#%d: no scheduler found: %s", GR_NAME_ARG (cmd->id),
            cmd->attempt, reason);
  }
  defer_place_result (parts, cmd, &chosen);
}

/* Sends to the given scheduler; an empty name sends to all schedulers of the region. */
static void
send_to_scheduler (Node *node, const GrName *scheduler, const NodeWire *wire)
{
  if (scheduler->len > 0) {
    node_peers_send (node, scheduler, wire, NULL);
  } else {
    node_peers_broadcast (node, &node->region, wire);
    node_peers_send (node, &node->self.vm, wire, NULL);
  }
}

static void
run_commands (NodeParts *parts, JobCmds *cmds)
{
  Node *node = parts->node;
  for (size_t i = 0; i < cmds->count; i++) {
    const JobCmd *cmd = &cmds->items[i];
    switch (cmd->kind) {
    case JOB_CMD_APPEND:
      if (!node_stream_append (parts->stream, cmd->token, cmd->bytes, NULL)) {
        JobMsg full = { .kind = JOB_MSG_APPEND_REJECTED, .append = { cmd->token } };
        gr_list_push (&parts->deferred, full);
      }
      break;
    case JOB_CMD_PLACE:
      run_place (parts, cmd);
      break;
    case JOB_CMD_COMMIT_GANG:
    case JOB_CMD_RELEASE_GANG: {
      NodeWire wire
          = { .kind = NODE_WIRE_GANG, .gang = { cmd->id, cmd->kind == JOB_CMD_COMMIT_GANG } };
      send_to_scheduler (node, &cmd->scheduler, &wire);
      break;
    }
    case JOB_CMD_CANCEL_TASK: {
      NodeWire wire = { .kind = NODE_WIRE_CANCEL, .cancel = { cmd->id } };
      send_to_scheduler (node, &cmd->scheduler, &wire);
      break;
    }
    case JOB_CMD_RESOLVE:
      node_sync_resolve (parts, &cmd->id, cmd->attempt);
      break;
    case JOB_CMD_REPLY:
      if (cmd->phase == JOB_ENDED)
        gr_log (&parts->log, GR_EV_ENDED, "%.*s: %s%s%s", GR_NAME_ARG (cmd->id),
                job_outcome_name (cmd->outcome), cmd->why ? ": " : "",
                cmd->why ? gr_err_name (cmd->why) : "");
      if (cmd->call != 0)
        node_route_job_reply (node, cmd);
      break;
    }
  }
}

NodePart *
node_parts_find (NodeParts *parts, const GrName *id)
{
  if (parts->count == 0)
    return NULL;
  return &parts->items[job_part (id, parts->count)];
}

static NodePart *
part_by_key (NodeParts *parts, const GrName *key)
{
  int32_t number = node_key_part (key);
  return number >= 0 && number < parts->count ? &parts->items[number] : NULL;
}

static void
on_record (void *user, int64_t offset, const GrVmRef *writer, GrStr bytes)
{
  NodeParts *parts = user;
  (void) offset;
  (void) writer;
  JobMsg msg = { .kind = JOB_MSG_RECORD, .record = { bytes } };
  node_parts_step (parts, &msg);
}

/* Delivers the time until which the job state may act for the partition: the end of its lease. */
static void
send_part_active (NodeParts *parts, NodePart *part)
{
  JobMsg msg = { .kind = JOB_MSG_PART_ACTIVE,
                 .part = { .part = part->number,
                           .until_ms = node_own_may_start_until (parts->node, &part->key) } };
  node_parts_step (parts, &msg);
}

/* Takes over gained partitions. The read that reached the end must have been sent after the gain,
   so that no record of the previous owner is missed. */
static void
on_at_end (void *user, int64_t sent_ms)
{
  NodeParts *parts = user;
  for (int32_t i = 0; i < parts->count; i++) {
    NodePart *part = &parts->items[i];
    if (!part->owned || part->replayed || sent_ms < part->gained_ms)
      continue;
    part->replayed = true;
    JobMsg msg
        = { .kind = JOB_MSG_PART_GAINED, .part = { .part = part->number, .epoch = part->epoch } };
    node_parts_step (parts, &msg);
    send_part_active (parts, part);
    node_sync_part (parts, part);
  }
}

static void
on_committed (void *user, int64_t token)
{
  JobMsg msg = { .kind = JOB_MSG_COMMITTED, .append = { token } };
  node_parts_step (user, &msg);
}

static bool
open_job_state (NodeParts *parts)
{
  static const NodeStreamEvents events
      = { .record = on_record, .at_end = on_at_end, .committed = on_committed };
  Node *node = parts->node;
  const CfgCell *cell = cfg_cell (node_config_tree (node));
  GrErr err = { 0 };
  JobOptions options = { .parts = node_own_parts (node),
                         .max_attempts = cell->max_attempts,
                         .seed = gr_random (),
                         .unix_offset_ms = node_unix () - node_now (node) };
  job_options_defaults (&options);
  GrName name = gr_name_format ("jobs-%.*s", GR_NAME_ARG (node->region));
  char stream[GR_NAME_MAX + 1];
  snprintf (stream, sizeof stream, "%.*s", GR_NAME_ARG (name));
  parts->job = job_new (&options, &err);
  if (parts->job)
    parts->stream = node_stream_new (node, stream, JOBS_POLL_MS, &events, parts, &err);
  if (!parts->stream) {
    gr_log (&parts->log, GR_EV_BAD_SETTING, "job partitions not opened, retrying: %s", err.detail);
    job_free (parts->job);
    parts->job = NULL;
    return false;
  }
  parts->count = options.parts;
  parts->snapshot_next_ms = node_now (node) + node->settings->snapshot_interval_ms;
  parts->items = gr_calloc ((size_t) parts->count, sizeof *parts->items);
  for (int32_t i = 0; i < parts->count; i++) {
    parts->items[i].number = i;
    parts->items[i].key = node_part_key (&node->region, i);
  }
  return true;
}

void
node_parts_gained (Node *node, const GrName *key, int64_t epoch)
{
  NodePart *part = part_by_key (node->parts, key);
  if (!part)
    return;
  part->owned = true;
  part->replayed = false;
  part->epoch = epoch;
  part->gained_ms = node_now (node);
  node_stream_read_soon (node->parts->stream);
}

void
node_parts_lost (Node *node, const GrName *key)
{
  NodePart *part = part_by_key (node->parts, key);
  if (!part)
    return;
  node_sync_drop_part (node->parts, part);
  bool replayed = part->replayed;
  part->owned = false;
  part->replayed = false;
  if (!replayed)
    return;
  JobMsg msg = { .kind = JOB_MSG_PART_LOST, .part = { .part = part->number } };
  node_parts_step (node->parts, &msg);
}

void
node_parts_peer_down (Node *node, const GrName *vm)
{
  if (!node->parts->job)
    return;
  JobMsg msg = { .kind = JOB_MSG_SCHEDULER_LOST, .scheduler_lost = { *vm } };
  node_parts_step (node->parts, &msg);
}

void
node_parts_place_result (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeParts *parts = node->parts;
  if (!parts->job)
    return;
  JobMsg msg = { .kind = JOB_MSG_PLACE_RESULT };
  msg.place.id = wire->place_result.id;
  msg.place.attempt = wire->place_result.attempt;
  msg.place.result = wire->place_result.result;
  msg.place.why = wire->place_result.why;
  msg.place.scheduler = *from;
  node_why_place (parts->why, wire, from, node_now (node));
  node_parts_step (parts, &msg);
}

void
node_parts_report (Node *node, const GrName *from, const NodeWire *wire)
{
  NodeParts *parts = node->parts;
  GrName job = job_of_task (&wire->report.id);
  NodePart *part = node_parts_find (parts, &job);
  /* The scheduler repeats an end until an owner that has read the stream acknowledges it. */
  if (!part || !part->replayed)
    return;
  JobMsg msg = { .kind = JOB_MSG_TASK_REPORT };
  msg.report.id = wire->report.id;
  msg.report.attempt = wire->report.attempt;
  msg.report.state = wire->report.state;
  msg.report.scheduler = *from;
  msg.report.answer = wire->report.answer;
  node_why_report (parts->why, wire, from, node_now (node));
  node_parts_step (parts, &msg);
  if (wire->report.state == JOB_TASK_RUNNING)
    return;
  NodeWire ack
      = { .kind = NODE_WIRE_REPORT_ACK, .report_ack = { wire->report.id, wire->report.attempt } };
  node_peers_send (node, from, &ack, NULL);
}

static void
explain (NodeParts *parts, int64_t call, const NodeCallBody *body)
{
  GrBuf text = { 0 };
  node_why_explain (parts->why, &body->id, &text);
  if (text.len == 0)
    gr_buf_printf (&text, "no decision is known for this id");
  NodeReplyBody reply = { .status = NODE_REPLY_DONE, .text = gr_buf_str (&text) };
  node_route_finish (parts->node, call, &reply);
  gr_buf_clear (&text);
}

void
node_parts_call (Node *node, int64_t call, const NodeCallBody *body)
{
  NodeParts *parts = node->parts;
  JobMsg msg = { 0 };
  JobSpec spec;
  switch (body->verb) {
  case NODE_VERB_REQUEST:
  case NODE_VERB_JOB:
    spec = body->spec;
    spec.deadline_ms = spec.deadline_unix_ms == INT64_MAX
                           ? INT64_MAX
                           : node_local_from_unix (node, spec.deadline_unix_ms);
    msg.kind = JOB_MSG_SUBMIT;
    msg.submit.call = call;
    msg.submit.spec = &spec;
    msg.submit.wait = body->verb == NODE_VERB_REQUEST;
    break;
  case NODE_VERB_CANCEL:
    msg.kind = JOB_MSG_CANCEL;
    msg.ref.call = call;
    msg.ref.id = body->id;
    break;
  case NODE_VERB_WAIT:
    msg.kind = JOB_MSG_WAIT;
    msg.ref.call = call;
    msg.ref.id = body->id;
    msg.ref.wait_until_ms
        = body->wait_until_unix_ms ? node_local_from_unix (node, body->wait_until_unix_ms) : 0;
    break;
  case NODE_VERB_EXPLAIN:
    explain (parts, call, body);
    return;
  case NODE_VERB_COUNT:
    return;
  }
  NodePart *part = node_parts_find (parts, &body->id);
  if (part && part->replayed)
    send_part_active (parts, part);
  node_parts_step (parts, &msg);
}

void
node_parts_call_closed (Node *node, int64_t call, const GrName *id)
{
  if (!node->parts->job)
    return;
  JobMsg msg = { .kind = JOB_MSG_CALL_CLOSED, .ref = { .call = call, .id = *id } };
  node_parts_step (node->parts, &msg);
}

bool
node_parts_acting (const Node *node, const GrName *id)
{
  NodePart *part = node_parts_find (node->parts, id);
  return part && part->replayed && node_own_may_start (node, &part->key);
}

size_t
node_parts_unfinished (const Node *node)
{
  return node->parts->job ? job_unfinished (node->parts->job) : 0;
}

size_t
node_parts_pending (const Node *node)
{
  return node->parts->stream ? node_stream_pending (node->parts->stream) : 0;
}

static void
parts_tick (uv_timer_t *timer)
{
  NodeParts *parts = timer->data;
  Node *node = parts->node;
  if (!parts->job && (node_own_parts (node) == 0 || !open_job_state (parts)))
    return;
  int64_t now = node_now (node);
  JobMsg store = { .kind = JOB_MSG_STORE_STATE, .store = { node_stream_up (parts->stream) } };
  node_parts_step (parts, &store);
  if (now >= parts->active_next_ms) {
    parts->active_next_ms = now + PARTS_ACTIVE_INTERVAL_MS;
    for (int32_t i = 0; i < parts->count; i++) {
      if (parts->items[i].replayed)
        send_part_active (parts, &parts->items[i]);
    }
    node_stream_set_writers (parts->stream, node_list_entry_count (node, &(GrName){ 0 }));
  }
  size_t deferred = parts->deferred.count;
  JobMsg *items = parts->deferred.items;
  memset (&parts->deferred, 0, sizeof parts->deferred);
  for (size_t i = 0; i < deferred; i++)
    node_parts_step (parts, &items[i]);
  free (items);
  if (now >= parts->snapshot_next_ms) {
    parts->snapshot_next_ms = now + node->settings->snapshot_interval_ms;
    node_parts_step (parts, &(JobMsg){ .kind = JOB_MSG_SNAPSHOT });
  }
  JobMsg tick = { .kind = JOB_MSG_TICK };
  node_parts_step (parts, &tick);
  if (now >= parts->sync_next_ms) {
    parts->sync_next_ms = now + SYNC_CHECK_INTERVAL_MS;
    node_sync_retry (parts);
    node_why_expire (parts->why, now);
  }
}

NodeParts *
node_parts_new (Node *node)
{
  NodeParts *parts = gr_calloc (1, sizeof *parts);
  parts->node = node;
  gr_ids_init (&parts->sync_ids, &node->self, gr_random ());
  parts->log = node_log_context (node, "jobs");
  parts->why = node_why_new ();
  uv_timer_init (node->loop, &parts->timer);
  parts->timer.data = parts;
  uv_timer_start (&parts->timer, parts_tick, PARTS_TICK_MS, PARTS_TICK_MS);
  return parts;
}

void
node_parts_free (NodeParts *parts)
{
  uv_close ((uv_handle_t *) &parts->timer, NULL);
  node_stream_free (parts->stream);
  job_free (parts->job);
}
