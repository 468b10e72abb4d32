/* How long a leader may act without a sign that it still leads.

   A leader that was paused or cut off does not know that another VM has taken over. The store and
   the targets that its successor has reached refuse its orders; targets that only the former leader
   reaches do not. So it sets and renews no lease once its last confirmation is old: the store took
   a record of its term, or it or all other members knew of no later one. Its successor waits for
   the leases that it may have set until then. */
#include <time.h>

#include "cell/cell_leader_priv.h"

/* Age of the last confirmation at which the store is asked, and at which the members are. */
#define ASK_STORE_MS 500
#define ASK_MEMBERS_MS 900
/* Interval between such checks. */
#define CHECK_INTERVAL_MS 500
#define CHECK_TIMEOUT_MS 700
#define NS_PER_MS 1000000

int64_t
cell_boot_now (void)
{
  struct timespec now = { 0 };
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / NS_PER_MS;
}

DagState *
cell_leader_limited_dag (CellLeader *leader)
{
  int64_t left_ms = ldr_leases_until_boot_ms (leader->cell->ldr) - cell_boot_now ();
  dag_limit_leases (leader->dag, cell_leader_now (leader) + left_ms);
  return leader->dag;
}

int64_t
cell_leadership_former_lapse (const CellLeader *leader)
{
  return cell_leader_now (leader) + ldr_former_leases_ms (leader->cell->options.lease_ms);
}

/* A term is the offset after the record of its claim. A read from there returns no record unless
   there is a later claim. */
static void
on_election_checked (void *user, CellStoreResult result, const CellEntry *entries, size_t count,
                     int64_t offset, int64_t end)
{
  (void) entries;
  (void) offset;
  (void) end;
  CellLeader *leader = user;
  if (cell_leader_unref_ended (leader))
    return;
  cell_leader_store_result (leader, result == CELL_STORE_OK);
  /* Otherwise the VM that received the call sends it again until its deadline. */
  bool confirmed = result == CELL_STORE_OK && count == 0;
  if (confirmed)
    ldr_store_confirmed (leader->cell->ldr, leader->check_sent_boot_ms);
  CellAnswer answer = { confirmed ? CELL_ANSWER_NO_JOB : CELL_ANSWER_NOT_LEADER, 0 };
  CellConfirmCalls calls = { 0 };
  cell_confirm_end (&leader->confirm, &calls);
  for (size_t i = 0; i < calls.count; i++)
    cell_leader_answer (leader, &calls.items[i].from, calls.items[i].id, answer);
  gr_list_clear (&calls);
  cell_leadership_confirm (leader);
}

static void
check_election (CellLeader *leader)
{
  const CellPlatform *platform = leader->cell->platform;
  leader->check_sent_boot_ms = cell_boot_now ();
  leader->refs++;
  platform->read (platform->adapter, CELL_TOPIC_ELECTION, leader->term, 0,
                  cell_leader_now (leader) + CHECK_TIMEOUT_MS, on_election_checked, leader);
}

void
cell_leadership_confirm (CellLeader *leader)
{
  if (cell_confirm_begin (&leader->confirm, false))
    check_election (leader);
}

static void
check_members (CellLeader *leader)
{
  Cell *cell = leader->cell;
  CellWireMsg msg = { .type = CELL_WIRE_TERM_CHECK };
  msg.u.term = (CellWireTerm){ leader->term, cell->options.self.vm.incarnation, cell_boot_now () };
  for (size_t i = 0; i < cell->members.count; i++) {
    const GrName *vm = &cell->members.items[i].vm.vm;
    if (net_peers_is_up (cell->peers, vm))
      cell_send (cell, vm, &msg);
  }
}

void
cell_leader_handle_term (CellLeader *leader, const GrName *vm, const CellWireTerm *answer)
{
  Cell *cell = leader->cell;
  if (answer->incarnation != cell->options.self.vm.incarnation || !ldr_leads (cell->ldr))
    return;
  ldr_peer_confirmed (cell->ldr, vm, answer->term, answer->boot_ms, cell_leader_now (leader));
  cell_tick_soon (cell);
}

static void
log_confirmation (CellLeader *leader, int64_t age_ms)
{
  bool unconfirmed = age_ms >= LDR_UNCONFIRMED_MS;
  if (leader->unconfirmed == unconfirmed)
    return;
  leader->unconfirmed = unconfirmed;
  gr_log (&leader->cell->log, GR_EV_UNCONFIRMED, "term=%lld state=%s age_ms=%lld",
          (long long) leader->term, unconfirmed ? "unconfirmed" : "confirmed", (long long) age_ms);
}

void
cell_leadership_tick (CellLeader *leader)
{
  if (leader->state == LEADER_FENCING)
    return;
  int64_t now_ms = cell_leader_now (leader);
  int64_t age_ms = cell_boot_now () - ldr_confirmed_boot_ms (leader->cell->ldr);
  if (age_ms < ASK_STORE_MS) {
    log_confirmation (leader, age_ms);
    return;
  }
  if (now_ms < leader->next_check_at)
    return;
  leader->next_check_at = now_ms + CHECK_INTERVAL_MS;
  /* Without runs there are no leases to renew, and a start waits for an append. */
  if (dag_counts (leader->dag, now_ms).runs == 0)
    return;
  log_confirmation (leader, age_ms);
  if (cell_confirm_begin (&leader->confirm, true))
    check_election (leader);
  if (age_ms >= ASK_MEMBERS_MS)
    check_members (leader);
}
