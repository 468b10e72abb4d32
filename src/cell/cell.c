/* One VM of a cell: connects election, membership, configuration, peers and the loop's timer. */
#include "cell/cell.h"

#include <stdlib.h>

#include "base/gr_random.h"
#include "cell/cell_priv.h"

/* While this VM leads or has open calls. */
#define TICK_MS 20
#define IDLE_TICK_MS 50
#define CLAIM_TIMEOUT_MS 1200
/* Pause between two reads of the members: at a start of the whole cell each VM adds one record, and
   each record would wake all readers. */
#define MEMBERS_READ_PAUSE_MS 100
/* Reads wait this long at the store for a record; a dead link to the store is detected a little
   later. */
#define FOLLOW_WAIT_MS 2000

static const GrStr election_key = { "leader", 6 };

static void
on_store_result (void *user, bool ok)
{
  Cell *cell = user;
  ldr_store_result (cell->ldr, ok, cell_now (cell));
}

static void
on_store_rtt (void *user, int64_t rtt_ms)
{
  Cell *cell = user;
  ldr_store_rtt (cell->ldr, rtt_ms);
}

static void
on_election_entry (void *user, const CellEntry *entry, int64_t offset)
{
  Cell *cell = user;
  LdrRecord record = { .term = offset + 1 };
  if (!cell_member_decode (entry->value, &record.member)) {
    gr_log (&cell->log, GR_EV_BAD_INPUT, "election record of %zu bytes cannot be decoded; ignored",
            entry->value.len);
    return;
  }
  cell->newest_claim = record;
}

static void
on_election_read (void *user, int64_t end)
{
  Cell *cell = user;
  /* A listing has no offsets. The newest claim is the last record of the topic. */
  if (cell->newest_claim.member.vm.vm.len > 0 && cell->newest_claim.term == 0)
    cell->newest_claim.term = end;
  ldr_topic_read (cell->ldr, &cell->newest_claim, end, cell_now (cell));
}

static void
on_member_entry (void *user, const CellEntry *entry, int64_t offset)
{
  (void) offset;
  cell_members_handle_entry (user, entry);
}

static void
on_members_read (void *user, int64_t end)
{
  (void) end;
  cell_members_apply (user);
}

void
cell_apply_config (Cell *cell, GrStr doc, const char *source)
{
  CellConfig config = { 0 };
  GrErr err = { 0 };
  if (!cell->platform->decode_config (cell->platform->adapter, doc, &config, &err)) {
    gr_log (&cell->log, GR_EV_CONFIG_REJECTED, "source=%s field=%.*s %s", source,
            GR_NAME_ARG (err.field), err.detail);
    cell_config_clear (&config);
    return;
  }
  if (config.version <= cell->config.version) {
    cell_config_clear (&config);
    return;
  }
  cell_config_clear (&cell->config);
  cell->config = config;
  gr_buf_clear (&cell->config_doc);
  gr_buf_append_str (&cell->config_doc, doc);
  gr_log (&cell->log, GR_EV_CONFIG_IN_FORCE,
          "version=%lld routes=%zu source=%s accounts=%zu keys=%zu", (long long) config.version,
          config.routes.count, source, config.accounts.count,
          config.keys ? acct_keys_count (config.keys) : 0);
  if (cell->leader)
    cell_leader_apply_config (cell->leader);
}

static void
on_config_entry (void *user, const CellEntry *entry, int64_t offset)
{
  (void) offset;
  Cell *cell = user;
  if (gr_str_equal (entry->key, cell->platform->config_key) && entry->value.len > 0)
    cell_apply_config (cell, entry->value, "store");
}

static void
on_config_read (void *user, int64_t end)
{
  (void) user;
  (void) end;
}

static void
on_claimed (void *user, CellStoreResult result, int64_t offset)
{
  Cell *cell = user;
  if (cell->freeing)
    return;
  LdrClaimResult claim = LDR_CLAIM_UNKNOWN;
  switch (result) {
  case CELL_STORE_OK:
    claim = LDR_CLAIM_WON;
    break;
  case CELL_STORE_END_MISMATCH:
    claim = LDR_CLAIM_LOST;
    break;
  case CELL_STORE_FENCED:
  case CELL_STORE_TRIMMED:
  case CELL_STORE_FAILED:
    claim = LDR_CLAIM_FAILED;
    break;
  case CELL_STORE_UNKNOWN:
    break;
  }
  gr_log (&cell->log, GR_EV_KEY_GAINED, "leadership claim ended: result=%s offset=%lld",
          cell_store_result_name (result), (long long) offset);
  on_store_result (cell, result == CELL_STORE_OK || result == CELL_STORE_END_MISMATCH);
  ldr_claim_result (cell->ldr, claim, offset, cell_now (cell));
  cell_tick_soon (cell);
}

static void
send_claim (Cell *cell, int64_t offset)
{
  GrBuf value = { 0 };
  cell_member_encode (&cell->options.self, &value);
  CellEntry entry = { election_key, gr_buf_str (&value) };
  CellAppend append = { .topic = CELL_TOPIC_ELECTION,
                        .entries = &entry,
                        .count = 1,
                        .expected_end = offset,
                        .timeout_at_ms = cell_now (cell) + CLAIM_TIMEOUT_MS };
  cell->platform->append (cell->platform->adapter, &append, on_claimed, cell);
  gr_buf_clear (&value);
}

static void
stop_leading (Cell *cell)
{
  if (!cell->leader)
    return;
  gr_log (&cell->log, GR_EV_KEY_LOST, "term=%lld", (long long) cell_leader_term (cell->leader));
  cell_leader_free (cell->leader);
  cell->leader = NULL;
  cell_calls_resend (cell);
}

static void
run_election (Cell *cell)
{
  gr_list_reset (&cell->ldr_cmds);
  ldr_tick (cell->ldr, cell_now (cell), &cell->ldr_cmds);
  for (size_t i = 0; i < cell->ldr_cmds.count; i++) {
    const LdrCmd *cmd = &cell->ldr_cmds.items[i];
    switch (cmd->type) {
    case LDR_CMD_CLAIM:
      send_claim (cell, cmd->offset);
      break;
    case LDR_CMD_LEAD:
      stop_leading (cell);
      gr_log (&cell->log, GR_EV_KEY_GAINED, "elected leader, starting recovery: term=%lld",
              (long long) cmd->term);
      cell->leader = cell_leader_new (cell, cmd->term);
      cell->heartbeat_at = 0;
      cell->other_heartbeat_at = 0;
      break;
    case LDR_CMD_STEP_DOWN:
      stop_leading (cell);
      break;
    }
  }
}

static void
on_timer (uv_timer_t *timer)
{
  Cell *cell = timer->data;
  cell->tick_at = INT64_MAX;
  cell_relay_note_run (cell);
  run_election (cell);
  cell_heartbeat (cell);
  cell_members_tick (cell);
  cell_calls_tick (cell);
  if (cell->leader)
    cell_leader_tick (cell->leader);
  int64_t now_ms = cell_now (cell);
  cell_tick_at (cell, now_ms + (cell->leader || cell->calls ? TICK_MS : IDLE_TICK_MS));
}

void
cell_tick_at (Cell *cell, int64_t at_ms)
{
  if (cell->freeing || at_ms >= cell->tick_at)
    return;
  int64_t now_ms = cell_now (cell);
  cell->tick_at = at_ms;
  uv_timer_start (&cell->timer, on_timer, at_ms > now_ms ? (uint64_t) (at_ms - now_ms) : 0, 0);
}

void
cell_tick_soon (Cell *cell)
{
  cell_tick_at (cell, cell_now (cell));
}

static CellFollow *
follow (Cell *cell, CellTopic topic,
        void (*on_entry) (void *user, const CellEntry *entry, int64_t offset),
        void (*on_read) (void *user, int64_t end))
{
  CellFollowOptions options = { .topic = topic,
                                .wait_ms = FOLLOW_WAIT_MS,
                                .pause_ms = topic == CELL_TOPIC_MEMBERS ? MEMBERS_READ_PAUSE_MS : 0,
                                .on_entry = on_entry,
                                .on_read = on_read,
                                .on_result = on_store_result,
                                .on_latency = on_store_rtt,
                                .user = cell };
  return cell_follow_new (cell->loop, cell->platform, &options);
}

Cell *
cell_new (uv_loop_t *loop, const CellOptions *options, const CellPlatform *platform, GrErr *err)
{
  static const NetPeerEvents events
      = { .up = cell_peer_up, .down = cell_peer_down, .frame = cell_peer_frame };
  Cell *cell = gr_calloc (1, sizeof *cell);
  cell->loop = loop;
  cell->options = *options;
  cell->platform = platform;
  cell->log = options->log;
  cell->log.component = "cell";
  NetPeerOptions peer_options = { .self = options->self.vm,
                                  .region = options->region,
                                  .zone = options->self.zone,
                                  .listen_host = options->peer_host,
                                  .listen_port = options->peer_port,
                                  .key = options->peer_key,
                                  .log = options->log };
  peer_options.log.component = "peer";
  cell->peers = net_peers_new (loop, &peer_options, &events, cell, err);
  if (!cell->peers) {
    free (cell);
    return NULL;
  }
  LdrOptions ldr_options = { .self = options->self, .log = options->log };
  ldr_options.log.component = "election";
  cell->ldr = ldr_new (&ldr_options);
  gr_ids_init (&cell->call_ids, &options->self.vm, gr_random ());
  cell->leader_served_at = cell_now (cell);
  uv_timer_init (loop, &cell->timer);
  cell->timer.data = cell;
  cell->tick_at = INT64_MAX;
  cell->follow_election = follow (cell, CELL_TOPIC_ELECTION, on_election_entry, on_election_read);
  cell->follow_members = follow (cell, CELL_TOPIC_MEMBERS, on_member_entry, on_members_read);
  cell->follow_config = follow (cell, CELL_TOPIC_CONFIG, on_config_entry, on_config_read);
  cell_tick_soon (cell);
  return cell;
}

void
cell_update_metrics (Cell *cell)
{
  GrMetrics *metrics = cell->options.metrics;
  int64_t live = 1;
  for (size_t i = 0; i < cell->members.count; i++)
    live += net_peers_is_up (cell->peers, &cell->members.items[i].vm.vm);
  gr_metric_set (metrics, GR_METRIC_MEMBERS_LIVE, live);
  gr_metric_set (metrics, GR_METRIC_CONFIG_VERSION, cell->config.version);
  gr_metric_set (metrics, GR_METRIC_LEADS, cell->leader != NULL);
  gr_metric_set (metrics, GR_METRIC_LOG_LINES_DROPPED, (int64_t) gr_log_dropped ());
  if (cell->leader) {
    cell_leader_update_metrics (cell->leader, metrics);
    return;
  }
  gr_metric_set (metrics, GR_METRIC_RUNNING, 0);
  gr_metric_set (metrics, GR_METRIC_QUEUED, 0);
  gr_metric_set (metrics, GR_METRIC_FREE_CPU, 0);
  gr_metric_set (metrics, GR_METRIC_ACCOUNTS_AT_MAXIMUM, 0);
  gr_metric_set (metrics, GR_METRIC_LEFT_OUT, 0);
  gr_metric_set (metrics, GR_METRIC_OVERLOADED, 0);
}

const CellConfig *
cell_config (const Cell *cell)
{
  return cell->config.version > 0 ? &cell->config : NULL;
}

bool
cell_is_ready (const Cell *cell)
{
  return cell->config.version > 0 && !cell->leaving
         && ldr_leader (cell->ldr, cell_now (cell)) != NULL;
}

void
cell_leave (Cell *cell)
{
  cell->leaving = true;
  ldr_leave (cell->ldr);
  cell->heartbeat_at = 0;
  cell->other_heartbeat_at = 0;
  cell_tick_soon (cell);
}

bool
cell_is_idle (const Cell *cell)
{
  return !cell->calls && !cell->leader;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  Cell *cell = handle->data;
  gr_list_clear (&cell->members);
  gr_list_clear (&cell->electors);
  gr_list_clear (&cell->peer_states);
  gr_list_clear (&cell->ldr_cmds);
  cell_config_clear (&cell->config);
  gr_buf_clear (&cell->config_doc);
  free (cell);
}

void
cell_free (Cell *cell)
{
  if (!cell)
    return;
  cell->freeing = true;
  cell_leader_free (cell->leader);
  cell->leader = NULL;
  cell_follow_free (cell->follow_election);
  cell_follow_free (cell->follow_members);
  cell_follow_free (cell->follow_config);
  net_peers_free (cell->peers);
  cell_calls_clear (cell);
  cell_relay_clear (cell);
  ldr_free (cell->ldr);
  uv_close ((uv_handle_t *) &cell->timer, on_timer_closed);
}
