/* The leader's store pipeline: appends changed job records in batches, one batch at a time. */
#include <stdlib.h>

#include "cell/cell_leader_priv.h"

#define APPEND_TIMEOUT_MS 1500
/* An append without an answer for this long is sent again while the first one is still open: the
   store never answers a call that it did not receive. */
#define HEDGE_MS 450
/* Most copies of a batch that are open at the same time. */
#define HEDGES_MAX 4
#define RETRY_INTERVAL_MS 120
/* Minimum time between the starts of two batches, so that records are written several at a time. */
#define BATCH_INTERVAL_MS 12
/* Submissions are refused while a batch has been open for longer than this. */
#define STORE_STALLED_MS 700

typedef struct {
  CellLeader *leader;
  int64_t sequence;
} AppendContext;

static void
on_appended (void *user, CellStoreResult result, int64_t offset)
{
  (void) offset;
  AppendContext *context = user;
  CellLeader *leader = context->leader;
  int64_t sequence = context->sequence;
  free (context);
  if (cell_leader_unref_ended (leader))
    return;
  if (result == CELL_STORE_FENCED) {
    cell_leader_fenced (leader);
    return;
  }
  cell_leader_store_result (leader, result == CELL_STORE_OK);
  /* The batch is already stored: another copy of it was answered first. */
  if (sequence != leader->sequence || leader->batch == 0)
    return;
  leader->appends_open--;
  if (result != CELL_STORE_OK) {
    /* The retry carries the same sequence number and is therefore idempotent. */
    leader->retry_at = cell_leader_now (leader) + RETRY_INTERVAL_MS;
    gr_log (&leader->cell->log, GR_EV_APPEND_RETRY, "sequence=%lld result=%s open=%d",
            (long long) sequence, cell_store_result_name (result), leader->appends_open);
    return;
  }
  GrMetrics *metrics = leader->cell->options.metrics;
  gr_metric_add (metrics, GR_METRIC_LOG_RECORDS, (int64_t) leader->records.count);
  gr_metric_observe (metrics, GR_METRIC_APPEND_MS,
                     cell_leader_now (leader) - leader->batch_began_at);
  dag_records_clear (&leader->records);
  int64_t batch = leader->batch;
  leader->batch = 0;
  leader->appends_open = 0;
  leader->retry_at = 0;
  ldr_store_confirmed (leader->cell->ldr, leader->append_sent_boot_ms);
  dag_stored (cell_leader_limited_dag (leader), batch, cell_leader_now (leader));
  cell_leader_run_commands (leader);
}

static void
send_batch (CellLeader *leader)
{
  GR_LIST (CellEntry) entries = { 0 };
  for (size_t i = 0; i < leader->records.count; i++)
    gr_list_push (&entries, (CellEntry){ gr_buf_str (&leader->records.items[i].key),
                                         gr_buf_str (&leader->records.items[i].value) });
  CellAppend append = { .topic = CELL_TOPIC_JOBS,
                        .entries = entries.items,
                        .count = entries.count,
                        .expected_end = -1,
                        .term = leader->term,
                        .sequence = leader->sequence,
                        .timeout_at_ms = cell_leader_now (leader) + APPEND_TIMEOUT_MS };
  const CellPlatform *platform = leader->cell->platform;
  AppendContext *context = gr_calloc (1, sizeof *context);
  *context = (AppendContext){ leader, leader->sequence };
  leader->appends_open++;
  leader->append_sent_at = cell_leader_now (leader);
  leader->refs++;
  platform->append (platform->adapter, &append, on_appended, context);
  gr_metric_add (leader->cell->options.metrics, GR_METRIC_LOG_APPENDS, 1);
  gr_list_clear (&entries);
}

/* Sends the open batch again if no copy is in flight, or if the last one was sent HEDGE_MS ago. */
static void
repeat_batch (CellLeader *leader)
{
  int64_t now_ms = cell_leader_now (leader);
  bool retry = leader->appends_open == 0 && now_ms >= leader->retry_at;
  bool hedge = leader->appends_open > 0 && leader->appends_open < HEDGES_MAX
               && now_ms - leader->append_sent_at >= HEDGE_MS;
  /* An append without an answer is the first sign of a store that does not respond. */
  if (hedge)
    ldr_store_result (leader->cell->ldr, false, now_ms);
  if (retry || hedge)
    send_batch (leader);
}

void
cell_records_pump (CellLeader *leader)
{
  int64_t now_ms = cell_leader_now (leader);
  if (leader->batch != 0) {
    repeat_batch (leader);
    return;
  }
  if (leader->recovery_call_open || now_ms < leader->retry_at)
    return;
  switch (leader->state) {
  case LEADER_FENCING:
    cell_recovery_fence (leader);
    return;
  case LEADER_LOADING:
    cell_recovery_load (leader);
    return;
  case LEADER_LISTING:
    return;
  case LEADER_ACTIVE:
    break;
  }
  if (!dag_has_changes (leader->dag))
    return;
  if (now_ms - leader->batch_began_at < BATCH_INTERVAL_MS) {
    cell_tick_at (leader->cell, leader->batch_began_at + BATCH_INTERVAL_MS);
    return;
  }
  leader->batch = dag_take_batch (leader->dag, &leader->records);
  if (leader->batch == 0)
    return;
  leader->batch_began_at = now_ms;
  leader->append_sent_boot_ms = cell_boot_now ();
  leader->sequence++;
  send_batch (leader);
}

bool
cell_records_stalled (const CellLeader *leader)
{
  return leader->batch != 0 && cell_leader_now (leader) - leader->batch_began_at > STORE_STALLED_MS;
}
