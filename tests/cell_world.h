/* Whole VMs of a cell in one process: they share a store in memory, have no targets and talk over
   loopback. For tests of what one VM does with messages of another. */
#pragma once

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cell/cell_priv.h"

/* A test that waits longer than this for a condition fails; it is no part of what is checked. */
#define WORLD_TIMEOUT_MS 20000
#define WORLD_STEP_MS 1

typedef struct {
  GrBuf key, value;
} WorldRecord;

typedef struct World World;

typedef enum {
  WORLD_APPEND,
  WORLD_READ,
  WORLD_NEWEST
} WorldCallType;

/* A call to the store without an answer. */
typedef struct {
  struct WorldVm *vm;
  WorldCallType type;
  CellTopic topic;
  int64_t from;   /* of a read */
  int64_t due_at; /* of a read: answered by then, also without records */
  bool held;
  CellStoreResult result; /* of an append */
  int64_t offset;         /* of an append */
  union {
    CellAppendDone append;
    CellReadDone read;
    CellNewestDone newest;
  } done;
  void *user;
} WorldCall;

typedef struct WorldVm {
  World *world;
  CellPlatform platform;
  CellOptions options;
  GrMetrics metrics;
  Cell *cell; /* NULL: the process does not run */
} WorldVm;

#define WORLD_VMS 2

struct World {
  uv_loop_t loop;
  uv_timer_t timer;
  GR_LIST (WorldRecord) topics[CELL_TOPIC_COUNT];
  GR_LIST (WorldCall) calls;
  int64_t sequence; /* of the newest batch of job records */
  int64_t clock_ms; /* start time of the newest process */
  /* Answers to appends of job records, and to reads that do not wait for a record, are held. */
  bool hold_answers;
  WorldVm vms[WORLD_VMS];
};

/* --- The store --- */

static void
world_add_call (WorldVm *vm, WorldCall call)
{
  call.vm = vm;
  gr_list_push (&vm->world->calls, call);
}

static void
world_write (World *world, CellTopic topic, GrStr key, GrStr value)
{
  WorldRecord record = { 0 };
  gr_buf_append_str (&record.key, key);
  gr_buf_append_str (&record.value, value);
  gr_list_push (&world->topics[topic], record);
}

static void
world_append (void *adapter, const CellAppend *append, CellAppendDone done, void *user)
{
  WorldVm *vm = adapter;
  World *world = vm->world;
  int64_t end = (int64_t) world->topics[append->topic].count;
  WorldCall call = { .type = WORLD_APPEND, .topic = append->topic, .offset = end, .user = user };
  call.done.append = done;
  bool fenced = append->topic == CELL_TOPIC_JOBS && append->count > 0;
  bool repeated = fenced && append->sequence <= world->sequence;
  if (append->topic == CELL_TOPIC_JOBS)
    world->sequence = append->sequence > world->sequence ? append->sequence : world->sequence;
  if (append->expected_end >= 0 && append->expected_end != end)
    call.result = CELL_STORE_END_MISMATCH;
  for (size_t i = 0; call.result == CELL_STORE_OK && !repeated && i < append->count; i++)
    world_write (world, append->topic, append->entries[i].key, append->entries[i].value);
  call.held = fenced && world->hold_answers;
  world_add_call (vm, call);
}

static void
world_read (void *adapter, CellTopic topic, int64_t from, int64_t wait_ms, int64_t timeout_at_ms,
            CellReadDone done, void *user)
{
  (void) timeout_at_ms;
  WorldVm *vm = adapter;
  WorldCall call = { .type = WORLD_READ,
                     .topic = topic,
                     .from = from,
                     .due_at = (int64_t) uv_now (&vm->world->loop) + wait_ms,
                     .held = wait_ms == 0 && vm->world->hold_answers,
                     .user = user };
  call.done.read = done;
  world_add_call (vm, call);
}

static void
world_newest (void *adapter, CellTopic topic, GrStr after, int64_t timeout_at_ms,
              CellNewestDone done, void *user)
{
  (void) after;
  (void) timeout_at_ms;
  WorldCall call = { .type = WORLD_NEWEST, .topic = topic, .user = user };
  call.done.newest = done;
  world_add_call (adapter, call);
}

typedef GR_LIST (CellEntry) WorldEntries;

static void
world_entries (const World *world, CellTopic topic, int64_t from, WorldEntries *entries)
{
  for (size_t i = (size_t) from; i < world->topics[topic].count; i++) {
    const WorldRecord *record = &world->topics[topic].items[i];
    gr_list_push (entries, (CellEntry){ gr_buf_str (&record->key), gr_buf_str (&record->value) });
  }
}

/* Answers the call. A listing has all records in their order, which is as good as the newest. */
static void
world_answer (World *world, const WorldCall *call, bool ok)
{
  int64_t end = (int64_t) world->topics[call->topic].count;
  WorldEntries entries = { 0 };
  if (ok && call->type != WORLD_APPEND)
    world_entries (world, call->topic, call->from, &entries);
  switch (call->type) {
  case WORLD_APPEND:
    call->done.append (call->user, ok ? call->result : CELL_STORE_UNKNOWN, call->offset);
    break;
  case WORLD_READ:
    call->done.read (call->user, ok ? CELL_STORE_OK : CELL_STORE_FAILED, entries.items,
                     entries.count, call->from, end);
    break;
  case WORLD_NEWEST:
    call->done.newest (call->user, ok ? CELL_STORE_OK : CELL_STORE_FAILED, entries.items,
                       entries.count, false, end);
    break;
  }
  gr_list_clear (&entries);
}

static bool
world_is_due (const World *world, const WorldCall *call)
{
  if (call->held)
    return false;
  return call->type != WORLD_READ || (int64_t) world->topics[call->topic].count > call->from
         || (int64_t) uv_now (&world->loop) >= call->due_at;
}

/* Answers all calls that are due. Calls that the answers cause wait for the next step. */
static void
world_on_timer (uv_timer_t *timer)
{
  World *world = timer->data;
  WorldCall *calls = world->calls.items;
  size_t count = world->calls.count;
  memset (&world->calls, 0, sizeof world->calls);
  for (size_t i = 0; i < count; i++) {
    if (world_is_due (world, &calls[i]))
      world_answer (world, &calls[i], true);
    else
      gr_list_push (&world->calls, calls[i]);
  }
  free (calls);
}

/* Answers the held calls now, in the order in which they came. */
static inline void
world_release (World *world)
{
  world->hold_answers = false;
  for (size_t i = 0; i < world->calls.count; i++)
    world->calls.items[i].held = false;
  world_on_timer (&world->timer);
}

static inline size_t
world_held (const World *world)
{
  size_t count = 0;
  for (size_t i = 0; i < world->calls.count; i++)
    count += world->calls.items[i].held;
  return count;
}

/* --- VMs --- */

static bool
world_decode_config (void *adapter, GrStr value, CellConfig *config, GrErr *err)
{
  (void) adapter;
  (void) value;
  (void) err;
  GrName host = gr_name ("h");
  DagQueue queue = { .name = gr_name ("q"), .service = gr_name ("s"), .max_attempts = 1 };
  cell_config_add (config, &host, GR_STR ("/"), &queue);
  config->version = 1;
  return true;
}

static int64_t
world_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *) &address, len) != 0
      || getsockname (fd, (struct sockaddr *) &address, &len) != 0)
    abort ();
  close (fd);
  return ntohs (address.sin_port);
}

/* Starts the process of the VM, or starts it again. */
static inline void
world_start (World *world, int number)
{
  WorldVm *vm = &world->vms[number];
  GrErr err = { 0 };
  vm->options.self.vm.incarnation = ++world->clock_ms;
  vm->cell = cell_new (&world->loop, &vm->options, &vm->platform, &err);
  if (!vm->cell) {
    fprintf (stderr, "%s\n", err.detail);
    abort ();
  }
}

/* Ends the process of the VM at once: its links close, and its calls to the store are gone. */
static inline void
world_kill (World *world, int number)
{
  WorldVm *vm = &world->vms[number];
  for (size_t i = world->calls.count; i-- > 0;) {
    WorldCall call = world->calls.items[i];
    if (call.vm != vm)
      continue;
    gr_list_swap_remove (&world->calls, i);
    world_answer (world, &call, false);
  }
  cell_free (vm->cell);
  vm->cell = NULL;
}

/* "vm0" and "vm1"; neither runs yet. */
static inline void
world_init (World *world)
{
  memset (world, 0, sizeof *world);
  uv_loop_init (&world->loop);
  uv_timer_init (&world->loop, &world->timer);
  world->timer.data = world;
  uv_timer_start (&world->timer, world_on_timer, WORLD_STEP_MS, WORLD_STEP_MS);
  world_write (world, CELL_TOPIC_CONFIG, GR_STR ("config"), GR_STR ("1"));
  for (int i = 0; i < WORLD_VMS; i++) {
    WorldVm *vm = &world->vms[i];
    int64_t port = world_free_port ();
    vm->world = world;
    vm->platform = (CellPlatform){ .adapter = vm,
                                   .append = world_append,
                                   .read = world_read,
                                   .newest = world_newest,
                                   .decode_config = world_decode_config,
                                   .config_key = GR_STR ("config") };
    GrName address = gr_name_format ("127.0.0.1:%lld", (long long) port);
    vm->options = (CellOptions){
      .self = { .vm.vm = gr_name_format ("vm%d", i), .address = address, .zone = gr_name ("z") },
      .region = gr_name ("r"),
      .peer_host = "127.0.0.1",
      .peer_port = port,
      .lease_ms = 5000,
      .lease_max_ms = 10000,
      .stop_timeout_ms = 200,
      .status_keep_ms = 60000,
      .metrics = &vm->metrics
    };
  }
}

/* Runs the loop until the condition holds; false if it does not within WORLD_TIMEOUT_MS. */
static inline bool
world_run_until (World *world, bool (*condition) (void *user), void *user)
{
  uint64_t give_up_at = uv_now (&world->loop) + WORLD_TIMEOUT_MS;
  while (!condition (user)) {
    if (uv_now (&world->loop) > give_up_at)
      return false;
    uv_run (&world->loop, UV_RUN_ONCE);
  }
  return true;
}

static inline void
world_clear (World *world)
{
  for (int i = 0; i < WORLD_VMS; i++) {
    if (world->vms[i].cell)
      world_kill (world, i);
  }
  uv_close ((uv_handle_t *) &world->timer, NULL);
  uv_run (&world->loop, UV_RUN_DEFAULT);
  uv_loop_close (&world->loop);
  gr_list_clear (&world->calls);
  for (int topic = 0; topic < CELL_TOPIC_COUNT; topic++) {
    for (size_t i = 0; i < world->topics[topic].count; i++) {
      gr_buf_clear (&world->topics[topic].items[i].key);
      gr_buf_clear (&world->topics[topic].items[i].value);
    }
    gr_list_clear (&world->topics[topic]);
  }
}
