/* Passes mutated input to every decoder. A decoder may reject or accept it, but must not crash,
   read out of bounds or allocate unbounded memory. The seed is fixed by default; GR_FUZZ_SEED sets
   another one, GR_FUZZ_INPUTS the number of inputs per decoder. Also for runs under sanitizers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "cell/cell_wire.h"
#include "cfg/cfg.h"
#include "dag/dag.h"
#include "job/job_private.h"
#include "lgs/lgs.h"
#include "net/net_peer.h"
#include "node/node_json.h"
#include "node/node_stream.h"
#include "node/node_wire.h"
#include "own/own.h"
#include "platform/plat.h"

#define DEFAULT_INPUTS 20000
#define DEFAULT_SEED 20261204
#define MUTATIONS_MAX 8
#define INPUT_MAX 4096

typedef struct {
  unsigned short random[3];
  long inputs;
} Fuzzer;

typedef void (*Decoder) (GrStr input);

static long
env_number (const char *name, long fallback)
{
  int64_t value;
  const char *text = getenv (name);
  return text && gr_str_to_int64 (gr_str_from_c (text), &value) ? (long) value : fallback;
}

static size_t
random_below (Fuzzer *fuzzer, size_t bound)
{
  return bound == 0 ? 0 : (size_t) nrand48 (fuzzer->random) % bound;
}

/* Changes, inserts, removes or repeats bytes at random. Returns the new length. */
static size_t
mutate (Fuzzer *fuzzer, char *data, size_t len)
{
  static const unsigned char special[]
      = { 0x00, 0x7f, 0x80, 0xff, 0xc1, 0xc6, 0xdd, 0xdf, 0xcf, '{', '"', '\\', '\n', '}', '=' };
  size_t at = random_below (fuzzer, len);
  switch (random_below (fuzzer, 5)) {
  case 0:
    if (len > 0)
      data[at] = (char) random_below (fuzzer, 256);
    return len;
  case 1:
    if (len > 0)
      data[at] = (char) special[random_below (fuzzer, sizeof special)];
    return len;
  case 2:
    if (len == 0 || len >= INPUT_MAX)
      return len;
    memmove (data + at + 1, data + at, len - at);
    data[at] = (char) random_below (fuzzer, 256);
    return len + 1;
  case 3: {
    size_t removed = 1 + random_below (fuzzer, 4);
    if (len < at + removed)
      return at;
    memmove (data + at, data + at + removed, len - at - removed);
    return len - removed;
  }
  default: {
    size_t repeated = random_below (fuzzer, 32);
    if (at + repeated > len || len + repeated > INPUT_MAX)
      return len;
    memmove (data + at + repeated, data + at, len - at);
    return len + repeated;
  }
  }
}

static void
fuzz (const GrBuf *seeds, size_t seed_count, Decoder decoder)
{
  uint64_t seed = (uint64_t) env_number ("GR_FUZZ_SEED", DEFAULT_SEED);
  Fuzzer fuzzer = { { (unsigned short) seed, (unsigned short) (seed >> 16), 7 },
                    env_number ("GR_FUZZ_INPUTS", DEFAULT_INPUTS) };
  char *data = gr_calloc (INPUT_MAX + 64, 1);
  for (long i = 0; i < fuzzer.inputs; i++) {
    const GrBuf *chosen_seed = &seeds[random_below (&fuzzer, seed_count)];
    size_t len = chosen_seed->len < INPUT_MAX ? chosen_seed->len : INPUT_MAX;
    if (len > 0)
      memcpy (data, chosen_seed->data, len);
    size_t mutations = random_below (&fuzzer, MUTATIONS_MAX + 1);
    for (size_t m = 0; m < mutations; m++)
      len = mutate (&fuzzer, data, len);
    /* A copy of the exact size, so that the sanitizers detect reads beyond the input. */
    char *exact = gr_calloc (len ? len : 1, 1);
    if (len > 0)
      memcpy (exact, data, len);
    decoder ((GrStr){ exact, len });
    free (exact);
  }
  free (data);
}

static void
clear_seeds (GrBuf *seeds, size_t count)
{
  for (size_t i = 0; i < count; i++)
    gr_buf_clear (&seeds[i]);
}

static void
decode_job_record (GrStr input)
{
  JobRecord record;
  if (job_record_decode (input, &record, NULL))
    assert_true (record.kind <= JOB_RECORD_OPEN);
}

static void
job_records (void **state)
{
  (void) state;
  GrBuf seeds[3] = { 0 };
  JobSpec spec = { .id = gr_name ("r1"), .team = gr_name ("desk"), .tasks = 2 };
  spec.payload = GR_STR ("payload");
  JobRecord records[]
      = { { .kind = JOB_RECORD_ACCEPT, .id = spec.id, .spec = spec },
          { .kind = JOB_RECORD_END, .id = spec.id, .outcome = 2, .answer = GR_STR ("answer") },
          { .kind = JOB_RECORD_OPEN, .index = 3, .epoch = 9 } };
  for (size_t i = 0; i < 3; i++)
    job_record_encode (&records[i], &seeds[i]);
  fuzz (seeds, 3, decode_job_record);
  clear_seeds (seeds, 3);
}

static void
decode_own (GrStr input)
{
  OwnRecord record;
  if (own_record_decode (input, &record, NULL))
    assert_true (record.writer.vm.len <= GR_NAME_MAX);
  OwnHeartbeat heartbeat;
  if (own_heartbeat_decode (input, &heartbeat, NULL))
    assert_true (heartbeat.peer_count <= OWN_PEERS_MAX);
}

static void
ownership_records_and_heartbeats (void **state)
{
  (void) state;
  GrBuf seeds[2] = { 0 };
  GrVmRef vm = { gr_name ("e1"), 5 };
  OwnRecord record = { .kind = OWN_RECORD_HANDOVER, .writer = vm, .key = gr_name ("part/a/01") };
  record.epoch = 4;
  record.to = vm;
  own_record_encode (&record, &seeds[0]);
  OwnHeartbeat *heartbeat = gr_calloc (1, sizeof *heartbeat);
  heartbeat->from = vm;
  heartbeat->peer_count = 2;
  heartbeat->peers[0].vm = vm;
  heartbeat->peers[1].vm = vm;
  own_heartbeat_encode (heartbeat, &seeds[1]);
  free (heartbeat);
  fuzz (seeds, 2, decode_own);
  clear_seeds (seeds, 2);
}

static void
decode_wire (GrStr input)
{
  NodeWire wire;
  if (node_wire_decode (input, &wire, NULL))
    node_wire_clear (&wire);
}

static void
peer_messages (void **state)
{
  (void) state;
  GrBuf seeds[3] = { 0 };
  NodeWireGroup group = { gr_name ("group/a/r1"), 3 };
  JobSpec spec = { .id = gr_name ("r1"), .tasks = 1, .payload = GR_STR ("x") };
  NodeWire wires[] = {
    { .kind = NODE_WIRE_PLACE, .place = { .id = gr_name ("r1/0"), .attempt = 1, .spec = spec } },
    { .kind = NODE_WIRE_SYNC_DONE, .sync_done = { 4, gr_name ("part/a/1"), true, &group, 1 } },
    { .kind = NODE_WIRE_CONFIG_OFFER, .config = { .version = 3, .record = GR_STR ("rec") } },
  };
  for (size_t i = 0; i < 3; i++)
    node_wire_encode (&wires[i], &seeds[i]);
  fuzz (seeds, 3, decode_wire);
  clear_seeds (seeds, 3);
}

static void
decode_cell_wire (GrStr input)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  CellWireMsg msg;
  GrErr err = { 0 };
  if (cell_wire_decode (input, &unpacked, &msg, &err))
    cell_wire_clear (&msg);
  else
    assert_int_not_equal (err.code, GR_ERR_NONE);
  msgpack_unpacked_destroy (&unpacked);
  LdrMember member;
  if (cell_member_decode (input, &member))
    assert_true (member.vm.vm.len <= GR_NAME_MAX);
}

static void
cell_messages_and_members (void **state)
{
  (void) state;
  DagAllowed allowed[1] = { { .target = gr_name ("t1"), .ticket = "k" } };
  GrName targets[2] = { gr_name ("t1"), gr_name ("t2") };
  CellWireMsg msgs[] = {
    { .type = CELL_WIRE_TERM_CHECK, .u.term = { 3, 7, 5000 } },
    { .type = CELL_WIRE_CAPABILITIES, .u.capabilities = CELL_WIRE_CAPABILITY_ACCOUNTS },
    { .type = CELL_WIRE_STATUS, .u.status = { { { gr_name ("a"), 7 }, .term = 3 }, 9 } },
    { .type = CELL_WIRE_CALL,
      .u.call = { 4, CELL_VERB_CANCEL, 9, gr_name ("q"), gr_name ("j"), { "x", 1 } } },
    { .type = CELL_WIRE_CALL,
      .u.call
      = { 4, CELL_VERB_CANCEL, 9, gr_name ("q"), gr_name ("j"), { "x", 1 }, gr_name ("A") } },
    { .type = CELL_WIRE_ANSWER, .u.answer = { 4, { CELL_ANSWER_REFUSED, 1000 } } },
    { .type = CELL_WIRE_ADVICE_REQUEST,
      .u.advice_request = { 5, gr_name ("j"), 1, 40, targets, 2 } },
    { .type = CELL_WIRE_ADVICE, .u.advice = { 5, true, allowed, 1 } },
    { .type = CELL_WIRE_CONFIG, .u.config = { "doc", 3 } },
    { .type = CELL_WIRE_ORDER,
      .u.order = { .token = 6,
                   .term = 3,
                   .timeout_ms = 250,
                   .cmd = { .type = DAG_CMD_START,
                            .target = { .target = gr_name ("t1") },
                            .u.start = { .task = { gr_name ("j"), 1, 2 },
                                         .run = 1,
                                         .payload = { "work", 4 },
                                         .ticket = "k" } } } },
    { .type = CELL_WIRE_ORDER,
      .u.order = { .cmd = { .type = DAG_CMD_HOLD, .u.hold = { .lease_until = 9 } } } },
    { .type = CELL_WIRE_ORDER_RESULT,
      .u.order_result = { .token = 6,
                          .has_inventory = true,
                          .inventory = { .running = &(DagRunReport){ .run = 1 },
                                         .running_count = 1,
                                         .ends = &(DagEnd){ .number = 1 },
                                         .end_count = 1 } } },
  };
  enum {
    MSGS = sizeof msgs / sizeof msgs[0]
  };
  GrBuf seeds[MSGS + 1] = { 0 };
  for (size_t i = 0; i < MSGS; i++)
    cell_wire_encode (&msgs[i], &seeds[i]);
  LdrMember member = { .vm = { gr_name ("a"), 7 }, .address = gr_name ("h:1"), .weight = 250 };
  cell_member_encode (&member, &seeds[MSGS]);
  fuzz (seeds, MSGS + 1, decode_cell_wire);
  clear_seeds (seeds, MSGS + 1);
}

static DagState *
new_dag (void)
{
  DagOptions options = { .lease_ms = 3000,
                         .lease_max_ms = 6000,
                         .stop_timeout_ms = 400,
                         .status_keep_ms = 60000,
                         .quiet = true };
  DagState *dag = dag_new (&options, NULL);
  assert_non_null (dag);
  DagQueue queue = { .name = gr_name ("q"), .service = gr_name ("svc"), .max_attempts = 2 };
  DagQueues queues = { &queue, 1 };
  dag_set_queues (dag, &queues, 0);
  return dag;
}

static const DagStepSpec two_tasks = { .count = 2, .estimate_ms = 500 };

/* After a mutated record the state must still be usable: it is ticked and its records are taken. */
static void
decode_job_progress (GrStr input)
{
  DagState *dag = new_dag ();
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  DagStepSpec steps[DAG_MAX_STEPS];
  DagJobSpec spec = { 0 };
  DagJobSpec known = { .id = gr_name ("j1"), .queue = gr_name ("q"), .steps = &two_tasks };
  known.step_count = 1;
  known.payload = GR_STR ("x");
  GrErr err = { 0 };
  int64_t retry_after_ms;
  if (dag_unpack_job_spec (input, &unpacked, steps, &spec))
    dag_submit (dag, &spec, 1, 10, &retry_after_ms, &err);
  dag_submit (dag, &known, 2, 10, &retry_after_ms, &err);
  static const char *const keys[] = { "aj1", "aj2", "jj1", "pj1", "pj2", "x", "", "l" };
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++) {
    GrErr load_err = { 0 };
    if (!dag_load (dag, gr_str_from_c (keys[i]), input, 20, &load_err))
      assert_int_not_equal (load_err.code, GR_ERR_NONE);
  }
  dag_loaded (dag, 30);
  dag_tick (dag, 40);
  DagRecords records = { 0 };
  dag_take_batch (dag, &records);
  dag_records_clear (&records);
  dag_free (dag);
  msgpack_unpacked_destroy (&unpacked);
}

/* Appends the progress record of "j1" as it is now; the batch counts as stored. */
static void
take_progress (DagState *dag, int64_t now_ms, GrBuf *out)
{
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (dag, &records);
  assert_int_not_equal (batch, 0);
  gr_buf_append_str (out, gr_buf_str (&records.items[records.count - 1].value));
  dag_records_clear (&records);
  dag_stored (dag, batch, now_ms);
}

/* Lists a target with room for all tasks and answers its hold. */
static void
add_target (DagState *dag, int64_t incarnation, int64_t now_ms)
{
  DagTargetInfo info = { .id = gr_name ("t"),
                         .incarnation = incarnation,
                         .service = gr_name ("svc"),
                         .address = gr_name ("h:1") };
  dag_cmds_reset (dag);
  dag_target_seen (dag, &info, now_ms);
  DagCmd hold = dag_cmds (dag)->items[dag_cmds (dag)->count - 1];
  assert_int_equal (hold.type, DAG_CMD_HOLD);
  DagInventory inventory = { .incarnation = incarnation, .clock_ms = now_ms };
  dag_handle_hold_result (dag, &info.id, hold.u.hold.token, DAG_ORDER_OK, &inventory, now_ms);
}

/* Progress records of a job whose tasks are assigned, and whose target has crashed under them. */
static void
pack_progress_of_runs (DagState *dag, GrBuf *assigned, GrBuf *crashed)
{
  dag_loaded (dag, 10);
  add_target (dag, 1, 20);
  dag_tick (dag, 30);
  take_progress (dag, 30, assigned);
  DagTaskRef task = { gr_name ("j1"), 0, 0 };
  for (task.index = 0; task.index < (uint32_t) two_tasks.count; task.index++)
    dag_handle_start_result (dag, &task, 1, DAG_ORDER_OK, 40, 40);
  add_target (dag, 2, 50);
  take_progress (dag, 50, crashed);
}

/* Record of learned values, as dag_learn_codec.c describes it. */
static void
pack_learned (GrBuf *out)
{
  static const char bins[81] = { [40] = 1, [41] = 3 };
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 4);
  msgpack_pack_int (&packer, 1);
  msgpack_pack_array (&packer, 3);
  gr_pack_str (&packer, GR_STR ("t"));
  msgpack_pack_int (&packer, 500);
  msgpack_pack_int (&packer, 50);
  msgpack_pack_int (&packer, 40);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_array (&packer, 11);
  for (int field = 0; field < 9; field++)
    msgpack_pack_int (&packer, 6000);
  gr_pack_bool (&packer, true);
  gr_pack_bin (&packer, (GrStr){ bins, sizeof bins });
}

static void
step_job_records (void **state)
{
  (void) state;
  enum {
    SEEDS = 7
  };
  GrBuf seeds[SEEDS] = { 0 };
  DagState *dag = new_dag ();
  DagJobSpec spec = { .id = gr_name ("j1"), .queue = gr_name ("q"), .steps = &two_tasks };
  spec.step_count = 1;
  spec.payload = GR_STR ("x");
  dag_pack_job_spec (&spec, &seeds[0]);
  GrErr err = { 0 };
  int64_t retry_after_ms;
  assert_int_equal (dag_submit (dag, &spec, 1, 10, &retry_after_ms, &err), DAG_SUBMIT_PENDING);
  DagRecords records = { 0 };
  int64_t batch = dag_take_batch (dag, &records);
  assert_int_not_equal (batch, 0);
  assert_int_equal (records.count, 2);
  for (size_t i = 0; i < 2; i++)
    gr_buf_append_str (&seeds[1 + i], gr_buf_str (&records.items[i].value));
  dag_records_clear (&records);
  dag_stored (dag, batch, 10);
  pack_progress_of_runs (dag, &seeds[3], &seeds[4]);
  assert_true (seeds[4].len > seeds[3].len);
  gr_buf_append_str (&seeds[5], GR_STR ("\x92\x01\xa1"
                                        "A"));
  dag_free (dag);
  dag = new_dag ();
  pack_learned (&seeds[6]);
  assert_true (dag_load (dag, GR_STR ("l"), gr_buf_str (&seeds[6]), 10, &err));
  dag_free (dag);
  fuzz (seeds, SEEDS, decode_job_progress);
  clear_seeds (seeds, SEEDS);
}

static void
ignore_frame (void *user, GrStr body)
{
  (void) user;
  assert_true (body.len <= NET_FRAME_MAX);
}

static void
decode_frames (GrStr input)
{
  NetFrameReader reader = { 0 };
  GrErr err = { 0 };
  if (!net_frame_feed (&reader, input, ignore_frame, NULL, &err))
    assert_int_not_equal (err.code, GR_ERR_NONE);
  net_frame_reader_clear (&reader);
}

static void
peer_frames (void **state)
{
  (void) state;
  GrBuf seed = { 0 };
  net_frame_append (&seed, GR_STR ("first"));
  net_frame_append (&seed, GR_STR (""));
  net_frame_append (&seed, GR_STR ("third frame"));
  fuzz (&seed, 1, decode_frames);
  gr_buf_clear (&seed);
}

static void
ignore_record (void *user, int64_t offset, const GrVmRef *writer, GrStr record)
{
  (void) user;
  (void) offset;
  (void) writer;
  (void) record;
}

static void
decode_log_answer (GrStr input)
{
  LgsOptions options = { .self = { gr_name ("e1"), 1 }, .stream = gr_name ("jobs-a") };
  lgs_options_defaults (&options);
  LgsReader *reader = lgs_reader_new (&options, 0, NULL);
  assert_non_null (reader);
  bool at_end;
  bool gap;
  lgs_reader_take (reader, input, ignore_record, NULL, &at_end, &gap, NULL);
  lgs_reader_free (reader);
  int64_t next = 0;
  node_stream_take_raw (input, &next, ignore_record, NULL, &at_end, &gap, NULL);
}

static void
log_answers (void **state)
{
  (void) state;
  /* [0, 2, [[0, append of e1], [1, raw bytes]]] */
  static const char answer[] = "\x93\x00\x02\x92\x92\x00\xc4\x0c\x94\xc4\x02"
                               "e1\x01\x01\x91\xc4\x02"
                               "ab\x92\x01\xc4\x03raw";
  GrBuf seed = { 0 };
  gr_buf_append (&seed, answer, sizeof answer - 1);
  fuzz (&seed, 1, decode_log_answer);
  gr_buf_clear (&seed);
}

static void
decode_config (GrStr input)
{
  CfgFile file = { GR_STR ("10-a.conf"), input };
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_new (&file, 1, &problems);
  assert_true (tree != NULL || problems.count > 0);
  cfg_tree_free (tree);
  gr_list_clear (&problems);
  CfgStore *store = cfg_store_new ();
  CfgProblem problem;
  cfg_store_record (store, 0, input, &problem);
  cfg_store_offer (store, 3, input);
  assert_non_null (cfg_store_tree (store));
  cfg_store_free (store);
}

static void
read_file (const char *path, GrBuf *out)
{
  FILE *stream = fopen (path, "rb");
  assert_non_null (stream);
  char chunk[1024];
  size_t len;
  while ((len = fread (chunk, 1, sizeof chunk, stream)) > 0)
    gr_buf_append (out, chunk, len);
  fclose (stream);
}

static void
configuration_files_and_publications (void **state)
{
  (void) state;
  static const char *const paths[]
      = { "examples/agora/10-teams.conf", "examples/agora/20-kinds.conf",
          "examples/caroni/10-teams.conf" };
  GrBuf seeds[4] = { 0 };
  for (size_t i = 0; i < 3; i++)
    read_file (paths[i], &seeds[i]);
  CfgFile file = { GR_STR ("10-teams.conf"), gr_buf_str (&seeds[0]) };
  GrName author = gr_name ("maria");
  cfg_publication_encode (0, &author, &file, 1, &seeds[3]);
  fuzz (seeds, 4, decode_config);
  clear_seeds (seeds, 4);
}

static void
decode_body (GrStr input)
{
  CfgStore *store = cfg_store_new ();
  for (int request = 0; request < 2; request++) {
    NodeSubmission submission;
    GrErr err = { 0 };
    if (node_json_submission (input, request != 0, cfg_store_tree (store), &submission, &err))
      node_json_clear (&submission);
    else
      assert_int_not_equal (err.code, GR_ERR_NONE);
  }
  cfg_store_free (store);
}

static void
http_bodies (void **state)
{
  (void) state;
  GrBuf seed = { 0 };
  gr_buf_printf (&seed, "{\"id\":\"r1\",\"team\":\"desk\",\"kind\":\"review\",\"idempotent\":true,"
                        "\"deadline_ms\":1790000000000,\"payload\":\"x\\u00e9\",\"run_ms\":5,"
                        "\"policy\":\"batch\",\"tasks\":3,\"demand\":{\"cpu_milli\":10}}");
  fuzz (&seed, 1, decode_body);
  gr_buf_clear (&seed);
}

static void
decode_cell_config (GrStr input)
{
  CellConfig config = { 0 };
  GrErr err = { 0 };
  GrName account;
  if (!plat_decode_config (NULL, input, &config, &err))
    assert_int_not_equal (err.code, GR_ERR_NONE);
  for (size_t i = 0; i < config.routes.count; i++)
    cell_config_check_key (&config, &config.routes.items[i], input, &account);
  for (size_t i = 0; i < config.accounts.count; i++) {
    assert_true (config.accounts.items[i].weight > 0);
    assert_true (config.accounts.items[i].maximum.v[GR_RES_CPU_MILLI] >= 0);
  }
  cell_config_clear (&config);
  GrStr key;
  if (plat_bearer_key (input, &key))
    assert_true (key.len > 0 && key.len < input.len);
}

/* Guards against malformed configuration documents and authorization headers that end a VM, or that
   give an account a weight or a maximum out of range. */
static void
cell_configurations_and_keys (void **state)
{
  (void) state;
  GrBuf seeds[2] = { 0 };
  gr_buf_printf (&seeds[0], "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h\","
                            "\"pathPrefix\":\"/\",\"service\":\"s\",\"public\":true}],"
                            "\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k1\",\"k2\"],"
                            "\"weight\":2.5,\"maximum\":{\"cpu\":1500,\"memMb\":7,\"gpu\":1}},"
                            "{\"name\":\"B\",\"apiKeys\":[\"k2\"],\"priority\":1}]}");
  gr_buf_printf (&seeds[1], "Bearer k1");
  fuzz (seeds, 2, decode_cell_config);
  clear_seeds (seeds, 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (job_records),
    cmocka_unit_test (ownership_records_and_heartbeats),
    cmocka_unit_test (cell_messages_and_members),
    cmocka_unit_test (step_job_records),
    cmocka_unit_test (peer_messages),
    cmocka_unit_test (peer_frames),
    cmocka_unit_test (log_answers),
    cmocka_unit_test (configuration_files_and_publications),
    cmocka_unit_test (http_bodies),
    cmocka_unit_test (cell_configurations_and_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
