/* Recovery of a new leader: fences earlier terms, reads the job records and lists the targets. */
#include <stdlib.h>

#include "cell/cell_leader_priv.h"

#define FENCE_TIMEOUT_MS 1200
#define LOAD_TIMEOUT_MS 2500
#define RETRY_INTERVAL_MS 120
#define TARGETS_READ_PAUSE_MS 250
/* A target whose entry vanishes within this time after an outage of the store may be alive: the
   entry may only have expired. */
#define STORE_RECOVERY_GRACE_MS 2500

static void
add_unlisted (CellLeader *leader, GrStr key)
{
  GrName id;
  if (gr_name_set (&id, key))
    gr_list_push (&leader->unlisted,
                  (UnlistedTarget){ id, cell_leader_now (leader), cell_boot_now () });
}

static void
on_target_entry (void *user, const CellEntry *entry, int64_t offset)
{
  CellLeader *leader = user;
  DagTargetInfo info = { 0 };
  GrErr err = { 0 };
  if (entry->value.len == 0) {
    add_unlisted (leader, entry->key);
    return;
  }
  const CellPlatform *platform = leader->cell->platform;
  if (!platform->decode_target (platform->adapter, entry->key, entry->value, &info, &err)) {
    gr_log (&leader->cell->log, GR_EV_BAD_INPUT, "target entry ignored: %.*s %s",
            GR_NAME_ARG (err.field), err.detail);
    return;
  }
  for (size_t i = leader->unlisted.count; i-- > 0;) {
    if (gr_name_equal (&leader->unlisted.items[i].target, &info.id))
      gr_list_swap_remove (&leader->unlisted, i);
  }
  info.written_after_ms = cell_follow_written_after (leader->follow_targets, offset);
  dag_target_seen (cell_leader_limited_dag (leader), &info, cell_leader_now (leader));
}

static void
on_target_missing (void *user, GrStr key)
{
  add_unlisted (user, key);
}

static void
on_targets_read (void *user, int64_t end)
{
  (void) end;
  CellLeader *leader = user;
  if (leader->state == LEADER_LISTING) {
    leader->state = LEADER_ACTIVE;
    dag_loaded (cell_leader_limited_dag (leader), cell_leader_now (leader));
    ldr_set_serving (leader->cell->ldr);
    leader->cell->heartbeat_at = 0;
    cell_tick_soon (leader->cell);
    DagCounts counts = dag_counts (leader->dag, cell_leader_now (leader));
    gr_log (&leader->cell->log, GR_EV_KEY_GAINED,
            "recovery complete, serving calls: term=%lld jobs=%zu open=%zu targets=%zu runs=%zu",
            (long long) leader->term, counts.jobs, counts.open_jobs, counts.targets, counts.runs);
  }
  cell_leader_run_commands (leader);
}

static void
on_targets_result (void *user, bool ok)
{
  cell_leader_store_result (user, ok);
}

static void
list_targets (CellLeader *leader)
{
  leader->state = LEADER_LISTING;
  CellFollowOptions options = { .topic = CELL_TOPIC_TARGETS,
                                .wait_ms = 1000,
                                .pause_ms = TARGETS_READ_PAUSE_MS,
                                .on_entry = on_target_entry,
                                .on_missing = on_target_missing,
                                .on_read = on_targets_read,
                                .on_result = on_targets_result,
                                .clock = cell_boot_now,
                                .user = leader };
  leader->follow_targets = cell_follow_new (leader->cell->loop, leader->cell->platform, &options);
}

static void
load_records (CellLeader *leader)
{
  /* In the order that dag_load() needs: accounts, submissions, then the progress of jobs. */
  for (int pass = 0; pass < 3; pass++) {
    for (size_t i = 0; i < leader->loaded.count; i++) {
      LoadedRecord *record = &leader->loaded.items[i];
      char kind = record->key.len > 0 ? record->key.data[0] : '\0';
      if (pass != (kind == 'a' ? 0 : kind == 'j' ? 1 : 2))
        continue;
      GrErr err = { 0 };
      if (!dag_load (leader->dag, gr_buf_str (&record->key), gr_buf_str (&record->value),
                     cell_leader_now (leader), &err))
        gr_log (&leader->cell->log, GR_EV_BAD_INPUT, "job record ignored: %s", err.detail);
    }
  }
}

void
cell_recovery_clear (CellLeader *leader)
{
  for (size_t i = 0; i < leader->loaded.count; i++) {
    gr_buf_clear (&leader->loaded.items[i].key);
    gr_buf_clear (&leader->loaded.items[i].value);
  }
  gr_list_clear (&leader->loaded);
  gr_buf_clear (&leader->load_after_key);
}

static void
on_page (void *user, CellStoreResult result, const CellEntry *entries, size_t count, bool more,
         int64_t end)
{
  (void) end;
  CellLeader *leader = user;
  if (cell_leader_unref_ended (leader))
    return;
  leader->recovery_call_open = false;
  cell_leader_store_result (leader, result == CELL_STORE_OK);
  if (result != CELL_STORE_OK) {
    leader->retry_at = cell_leader_now (leader) + RETRY_INTERVAL_MS;
    return;
  }
  for (size_t i = 0; i < count; i++) {
    LoadedRecord record = { 0 };
    gr_buf_append_str (&record.key, entries[i].key);
    gr_buf_append_str (&record.value, entries[i].value);
    gr_list_push (&leader->loaded, record);
  }
  if (more && count > 0) {
    gr_buf_clear (&leader->load_after_key);
    gr_buf_append_str (&leader->load_after_key, entries[count - 1].key);
    cell_recovery_load (leader);
    return;
  }
  load_records (leader);
  cell_recovery_clear (leader);
  list_targets (leader);
}

void
cell_recovery_load (CellLeader *leader)
{
  const CellPlatform *platform = leader->cell->platform;
  leader->recovery_call_open = true;
  leader->refs++;
  platform->newest (platform->adapter, CELL_TOPIC_JOBS, gr_buf_str (&leader->load_after_key),
                    cell_leader_now (leader) + LOAD_TIMEOUT_MS, on_page, leader);
}

static void
on_fenced (void *user, CellStoreResult result, int64_t offset)
{
  (void) offset;
  CellLeader *leader = user;
  if (cell_leader_unref_ended (leader))
    return;
  leader->recovery_call_open = false;
  if (result == CELL_STORE_FENCED) {
    cell_leader_fenced (leader);
    return;
  }
  cell_leader_store_result (leader, result == CELL_STORE_OK);
  if (result != CELL_STORE_OK) {
    leader->retry_at = cell_leader_now (leader) + RETRY_INTERVAL_MS;
    return;
  }
  ldr_store_confirmed (leader->cell->ldr, leader->append_sent_boot_ms);
  dag_set_former_leases (leader->dag, cell_leadership_former_lapse (leader));
  leader->state = LEADER_LOADING;
  cell_recovery_load (leader);
}

void
cell_recovery_fence (CellLeader *leader)
{
  CellAppend append = { .topic = CELL_TOPIC_JOBS,
                        .expected_end = -1,
                        .term = leader->term,
                        .sequence = 0,
                        .timeout_at_ms = cell_leader_now (leader) + FENCE_TIMEOUT_MS };
  const CellPlatform *platform = leader->cell->platform;
  leader->recovery_call_open = true;
  leader->append_sent_boot_ms = cell_boot_now ();
  leader->refs++;
  platform->append (platform->adapter, &append, on_fenced, leader);
}

void
cell_recovery_report_unlisted (CellLeader *leader)
{
  int64_t now_ms = cell_leader_now (leader);
  for (size_t i = leader->unlisted.count; i-- > 0;) {
    const UnlistedTarget *entry = &leader->unlisted.items[i];
    int64_t due = entry->at;
    if (leader->store_failed_at > 0 && leader->store_failed_at + STORE_RECOVERY_GRACE_MS > due)
      due = leader->store_failed_at + STORE_RECOVERY_GRACE_MS;
    if (now_ms < due)
      continue;
    dag_target_unlisted (cell_leader_limited_dag (leader), &entry->target, entry->boot_ms, now_ms);
    gr_list_swap_remove (&leader->unlisted, i);
  }
}
