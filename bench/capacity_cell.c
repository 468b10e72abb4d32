/* Cost of membership and ownership per VM against the number of members and keys, for the capacity
   page. Virtual time, except for the processor time of the steps. Prints name=value lines. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "own/own.h"

#define TICK_MS 100
#define WARM_UP_MS 30000
#define MEASURED_MS 60000
#define MEMBERS_MAX 36
/* Keys of one region at the scale expected in two years: 4,900 workers in racks of 8, in 2 regions,
   and 64 job partitions. */
#define KEYS 370

typedef struct {
  OwnState *own;
  GrVmRef ref;
  size_t read;
} Vm;

typedef struct {
  Vm vms[MEMBERS_MAX];
  size_t count;
  GR_LIST (OwnRecord) log;
  GR_LIST (OwnCmd) heartbeats; /* sent in one tick and delivered in the next */
  int64_t now_ms;
  bool measuring;
  double tick_s, other_s;
  int64_t ticks;
  int64_t heartbeat_bytes, heartbeat_count;
} Cell;

static double
cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double) t.tv_sec + (double) t.tv_nsec / 1e9;
}

static void step (Cell *cell, size_t index, const OwnMsg *msg);

static void
handle_cmds (Cell *cell, size_t index, OwnCmds *cmds)
{
  for (size_t i = 0; i < cmds->count; i++) {
    OwnCmd *cmd = &cmds->items[i];
    switch (cmd->kind) {
    case OWN_CMD_APPEND: {
      gr_list_push (&cell->log, cmd->append.record);
      OwnMsg msg = { .kind = OWN_MSG_APPEND_RESULT };
      msg.append_result.token = cmd->append.token;
      msg.append_result.outcome = OWN_APPEND_COMMITTED;
      step (cell, index, &msg);
      break;
    }
    case OWN_CMD_HEARTBEAT: {
      if (cell->measuring) {
        GrBuf buf = { 0 };
        own_heartbeat_encode (cmd->heartbeat.heartbeat, &buf);
        cell->heartbeat_bytes += (int64_t) buf.len + 4;
        cell->heartbeat_count++;
        gr_buf_clear (&buf);
      }
      OwnCmd kept = *cmd;
      cmd->heartbeat.heartbeat = NULL;
      gr_list_push (&cell->heartbeats, kept);
      break;
    }
    case OWN_CMD_TAKE_INVENTORY: {
      OwnMsg msg = { .kind = OWN_MSG_INVENTORY_DONE };
      msg.inventory_done.key = cmd->key.key;
      msg.inventory_done.epoch = cmd->key.epoch;
      step (cell, index, &msg);
      break;
    }
    case OWN_CMD_KEY_GAINED:
    case OWN_CMD_KEY_LOST:
    case OWN_CMD_MEMBER_STATE:
    case OWN_CMD_REIDENTIFY:
    case OWN_CMD_STOPPED:
      break;
    }
  }
}

static void
step (Cell *cell, size_t index, const OwnMsg *msg)
{
  OwnCmds cmds = { 0 };
  double start = cell->measuring ? cpu_s () : 0;
  own_step (cell->vms[index].own, msg, cell->now_ms, &cmds);
  if (cell->measuring) {
    double spent = cpu_s () - start;
    if (msg->kind == OWN_MSG_TICK) {
      cell->tick_s += spent;
      cell->ticks++;
    } else {
      cell->other_s += spent;
    }
  }
  handle_cmds (cell, index, &cmds);
  own_cmds_clear (&cmds);
}

static void
deliver_heartbeats (Cell *cell)
{
  size_t count = cell->heartbeats.count;
  for (size_t i = 0; i < count; i++) {
    OwnCmd sent = cell->heartbeats.items[i];
    for (size_t v = 0; v < cell->count; v++) {
      if (!gr_vm_ref_equal (&cell->vms[v].ref, &sent.heartbeat.to))
        continue;
      OwnMsg msg = { .kind = OWN_MSG_HEARTBEAT, .heartbeat = sent.heartbeat.heartbeat };
      step (cell, v, &msg);
    }
    free (sent.heartbeat.heartbeat);
  }
  /* Heartbeats sent while these were delivered stay for the next tick. */
  memmove (cell->heartbeats.items, cell->heartbeats.items + count,
           (cell->heartbeats.count - count) * sizeof cell->heartbeats.items[0]);
  cell->heartbeats.count -= count;
}

static void
run (Cell *cell, int64_t duration_ms)
{
  OwnListedVm listed[MEMBERS_MAX];
  for (size_t v = 0; v < cell->count; v++)
    listed[v] = (OwnListedVm){ cell->vms[v].ref.vm, cell->vms[v].ref.incarnation, false };
  for (int64_t end = cell->now_ms + duration_ms; cell->now_ms < end; cell->now_ms += TICK_MS) {
    deliver_heartbeats (cell);
    for (size_t v = 0; v < cell->count; v++) {
      Vm *vm = &cell->vms[v];
      while (vm->read < cell->log.count) {
        OwnMsg msg = { .kind = OWN_MSG_RECORD };
        msg.record = cell->log.items[vm->read++];
        step (cell, v, &msg);
      }
      OwnMsg read = { .kind = OWN_MSG_LOG_READ };
      read.log_read.sent_ms = cell->now_ms;
      step (cell, v, &read);
      if (cell->now_ms % 1000 == 0) {
        OwnMsg list = { .kind = OWN_MSG_LIST_READ };
        list.list_read.sent_ms = cell->now_ms;
        list.list_read.vms = listed;
        list.list_read.count = cell->count;
        step (cell, v, &list);
      }
      OwnMsg tick = { .kind = OWN_MSG_TICK };
      step (cell, v, &tick);
    }
  }
}

typedef struct {
  double tick_us;         /* processor time of one tick of one VM */
  double core_pct;        /* processor time of all steps of one VM in percent of one core */
  double heartbeat_b_s;   /* bytes sent per second by one VM */
  double heartbeat_bytes; /* size of one heartbeat with its frame header */
} Cost;

static Cost
measure (size_t members, size_t keys)
{
  Cell *cell = gr_calloc (1, sizeof *cell);
  GrName *names = gr_calloc (keys, sizeof *names);
  for (size_t k = 0; k < keys; k++)
    names[k] = gr_name_format ("group/north/rack-%04zu", k);
  cell->count = members;
  cell->now_ms = 1000;
  for (size_t v = 0; v < members; v++) {
    OwnOptions options = { .region = gr_name ("north"), .seed = v };
    options.self.vm = gr_name_format ("entry-%02zu", v);
    options.self.incarnation = 1733299200000 + (int64_t) v;
    cell->vms[v].ref = options.self;
    cell->vms[v].own = own_new (&options, NULL);
    OwnMsg msg = { .kind = OWN_MSG_KEYS };
    msg.keys.keys = names;
    msg.keys.count = keys;
    step (cell, v, &msg);
  }
  run (cell, WARM_UP_MS);
  cell->measuring = true;
  run (cell, MEASURED_MS);
  double vm_seconds = (double) members * MEASURED_MS / 1000;
  Cost cost
      = { .tick_us = cell->tick_s / (double) cell->ticks * 1e6,
          .core_pct = (cell->tick_s + cell->other_s) / vm_seconds * 100,
          .heartbeat_b_s = (double) cell->heartbeat_bytes / vm_seconds,
          .heartbeat_bytes = (double) cell->heartbeat_bytes / (double) cell->heartbeat_count };
  for (size_t v = 0; v < members; v++)
    own_free (cell->vms[v].own);
  for (size_t i = 0; i < cell->heartbeats.count; i++)
    free (cell->heartbeats.items[i].heartbeat.heartbeat);
  gr_list_clear (&cell->heartbeats);
  gr_list_clear (&cell->log);
  free (names);
  free (cell);
  return cost;
}

/* Heap bytes per key of one state. Both numbers of keys fill the allocated lists, so that spare
   capacity does not distort the difference. */
static double
bytes_per_key (void)
{
  static const size_t counts[] = { 1024, 16384 };
  double bytes[2];
  for (int i = 0; i < 2; i++) {
    GrName *names = gr_calloc (counts[i], sizeof *names);
    for (size_t k = 0; k < counts[i]; k++)
      names[k] = gr_name_format ("group/north/rack-%05zu", k);
    OwnOptions options = { .region = gr_name ("north") };
    options.self.vm = gr_name ("entry-00");
    struct mallinfo2 before = mallinfo2 ();
    OwnState *own = own_new (&options, NULL);
    OwnCmds cmds = { 0 };
    OwnMsg msg = { .kind = OWN_MSG_KEYS };
    msg.keys.keys = names;
    msg.keys.count = counts[i];
    own_step (own, &msg, 1000, &cmds);
    struct mallinfo2 after = mallinfo2 ();
    bytes[i]
        = (double) (after.uordblks + after.hblkhd) - (double) (before.uordblks + before.hblkhd);
    own_cmds_clear (&cmds);
    own_free (own);
    free (names);
  }
  return (bytes[1] - bytes[0]) / (double) (counts[1] - counts[0]);
}

int
main (void)
{
  static const size_t members[] = { 3, 9, 18, 36 };
  enum {
    SIZES = sizeof members / sizeof members[0]
  };
  Cost costs[SIZES];
  for (size_t i = 0; i < SIZES; i++) {
    costs[i] = measure (members[i], KEYS);
    printf ("own_tick_us_members_%zu=%.2f\n", members[i], costs[i].tick_us);
    printf ("own_core_pct_members_%zu=%.4f\n", members[i], costs[i].core_pct);
    printf ("heartbeat_bytes_per_s_members_%zu=%.0f\n", members[i], costs[i].heartbeat_b_s);
    printf ("heartbeat_bytes_members_%zu=%.1f\n", members[i], costs[i].heartbeat_bytes);
  }
  double span = (double) (members[SIZES - 1] - members[1]);
  printf ("own_tick_us_per_member=%.3f\n", (costs[SIZES - 1].tick_us - costs[1].tick_us) / span);
  printf ("own_core_pct_per_member=%.5f\n", (costs[SIZES - 1].core_pct - costs[1].core_pct) / span);
  printf ("heartbeat_bytes_per_s_per_member=%.1f\n",
          (costs[SIZES - 1].heartbeat_b_s - costs[1].heartbeat_b_s) / span);
  Cost twice = measure (9, (size_t) 2 * KEYS);
  printf ("own_tick_us_per_key=%.4f\n", (twice.tick_us - costs[1].tick_us) / KEYS);
  printf ("own_state_bytes_per_key=%.0f\n", bytes_per_key ());
  return 0;
}
