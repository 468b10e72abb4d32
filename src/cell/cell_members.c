/* VMs of a cell: each adds a record of itself to the members topic, and the leader deletes the
   records of VMs that are gone. The members decide which links this VM keeps. */
#include "cell/cell_priv.h"

#define JOIN_TIMEOUT_MS 1200
#define JOIN_RETRY_MS 300
/* The leader deletes the record of a VM to which it has had no link for this long. A VM that was
   only cut off adds its record again. */
#define MEMBER_GONE_MS 20000
#define REMOVE_SCAN_INTERVAL_MS 1000

static void
remove_member (Cell *cell, GrStr key)
{
  GrName vm;
  if (!gr_name_set (&vm, key))
    return;
  if (gr_name_equal (&vm, &cell->options.self.vm.vm)) {
    cell->joined = false;
    return;
  }
  for (size_t i = cell->members.count; i-- > 0;) {
    if (!gr_name_equal (&cell->members.items[i].vm.vm, &vm))
      continue;
    gr_log (&cell->log, GR_EV_MEMBER_STATE, "vm=%.*s state=removed", GR_NAME_ARG (vm));
    gr_list_swap_remove (&cell->members, i);
    cell->members_changed = true;
  }
}

void
cell_members_handle_entry (Cell *cell, const CellEntry *entry)
{
  LdrMember member = { 0 };
  if (entry->value.len == 0) {
    remove_member (cell, entry->key);
    return;
  }
  if (!cell_member_decode (entry->value, &member)) {
    gr_log (&cell->log, GR_EV_BAD_INPUT, "member record of %zu bytes cannot be decoded; ignored",
            entry->value.len);
    return;
  }
  for (size_t i = 0; i < cell->members.count; i++) {
    LdrMember *known = &cell->members.items[i];
    if (!gr_name_equal (&known->vm.vm, &member.vm.vm))
      continue;
    if (member.vm.incarnation > known->vm.incarnation) {
      *known = member;
      cell->members_changed = true;
    }
    return;
  }
  gr_list_push (&cell->members, member);
  cell->members_changed = true;
}

static void
choose_electors (Cell *cell)
{
  gr_list_reset (&cell->electors);
  for (size_t i = 0; i < cell->members.count; i++)
    gr_list_push (&cell->electors, false);
  cell_links_choose_electors (cell->members.items, cell->members.count, cell->electors.items);
  /* Before its own record is read, a VM takes itself for an elector. */
  cell->is_elector = true;
  for (size_t i = 0; i < cell->members.count; i++) {
    if (gr_name_equal (&cell->members.items[i].vm.vm, &cell->options.self.vm.vm))
      cell->is_elector = cell->electors.items[i];
  }
  ldr_set_claim_delay (
      cell->ldr, cell->is_elector ? 0 : cell_links_claim_delay_ms (&cell->options.self.vm.vm));
}

static void
choose_links (Cell *cell)
{
  const LdrRecord *leader = ldr_leader (cell->ldr, cell_now (cell));
  if (leader)
    cell->linked_leader = leader->member.vm.vm;
  bool leads = gr_name_equal (&cell->linked_leader, &cell->options.self.vm.vm);
  GR_LIST (NetPeerAddress) known = { 0 };
  for (size_t i = 0; i < cell->members.count; i++) {
    const LdrMember *member = &cell->members.items[i];
    if (leads || cell->is_elector || cell->electors.items[i]
        || gr_name_equal (&member->vm.vm, &cell->linked_leader))
      gr_list_push (&known, (NetPeerAddress){ member->vm.vm, member->address });
  }
  net_peers_set_known (cell->peers, known.items, known.count);
  gr_list_clear (&known);
}

void
cell_members_apply (Cell *cell)
{
  if (!cell->members_changed)
    return;
  cell->members_changed = false;
  ldr_set_members (cell->ldr, cell->members.items, cell->members.count);
  choose_electors (cell);
  choose_links (cell);
  if (cell->leader)
    cell_leader_update_lanes (cell->leader);
}

static void
on_joined (void *user, CellStoreResult result, int64_t offset)
{
  (void) offset;
  Cell *cell = user;
  cell->joining = false;
  if (cell->freeing)
    return;
  ldr_store_result (cell->ldr, result == CELL_STORE_OK, cell_now (cell));
  cell->joined = result == CELL_STORE_OK;
  cell->join_retry_at = cell_now (cell) + JOIN_RETRY_MS;
}

static void
join_if_due (Cell *cell)
{
  int64_t now_ms = cell_now (cell);
  if (cell->joined || cell->joining || cell->leaving || now_ms < cell->join_retry_at)
    return;
  cell->joining = true;
  GrBuf value = { 0 };
  cell_member_encode (&cell->options.self, &value);
  CellEntry entry = { gr_name_str (&cell->options.self.vm.vm), gr_buf_str (&value) };
  CellAppend append = { .topic = CELL_TOPIC_MEMBERS,
                        .entries = &entry,
                        .count = 1,
                        .expected_end = -1,
                        .timeout_at_ms = now_ms + JOIN_TIMEOUT_MS };
  cell->platform->append (cell->platform->adapter, &append, on_joined, cell);
  gr_buf_clear (&value);
}

static void
on_removed (void *user, CellStoreResult result, int64_t offset)
{
  (void) offset;
  Cell *cell = user;
  cell->removing = false;
  if (!cell->freeing)
    ldr_store_result (cell->ldr, result == CELL_STORE_OK, cell_now (cell));
}

static void
delete_record (Cell *cell, const GrName *vm)
{
  cell->removing = true;
  CellEntry entry = { gr_name_str (vm), { "", 0 } };
  CellAppend append = { .topic = CELL_TOPIC_MEMBERS,
                        .entries = &entry,
                        .count = 1,
                        .expected_end = -1,
                        .timeout_at_ms = cell_now (cell) + JOIN_TIMEOUT_MS };
  cell->platform->append (cell->platform->adapter, &append, on_removed, cell);
}

/* Deletes the record of one member that is gone. */
static void
remove_gone (Cell *cell)
{
  int64_t now_ms = cell_now (cell);
  if (!cell->leader || cell->removing || now_ms < cell->remove_scan_at)
    return;
  cell->remove_scan_at = now_ms + REMOVE_SCAN_INTERVAL_MS;
  for (size_t i = 0; i < cell->members.count; i++) {
    const GrName *vm = &cell->members.items[i].vm.vm;
    CellPeerState *state = cell_peer_state (cell, vm);
    if (gr_name_equal (vm, &cell->options.self.vm.vm) || net_peers_is_up (cell->peers, vm)) {
      state->missed_since = 0;
    } else if (state->missed_since == 0) {
      state->missed_since = now_ms;
    } else if (now_ms - state->missed_since >= MEMBER_GONE_MS) {
      state->missed_since = now_ms;
      delete_record (cell, vm);
      return;
    }
  }
}

void
cell_members_tick (Cell *cell)
{
  join_if_due (cell);
  const LdrRecord *leader = ldr_leader (cell->ldr, cell_now (cell));
  if (leader && !gr_name_equal (&leader->member.vm.vm, &cell->linked_leader))
    choose_links (cell);
  remove_gone (cell);
}
