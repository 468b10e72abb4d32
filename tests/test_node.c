/* Daemon: codec of peer messages, JSON of callers, responses of the platform and of targets, listen
   addresses and tokens. Guards against frames and bodies that are accepted although they are
   malformed, truncated or corrupted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

#include <jansson.h>
#include <msgpack.h>
#include <openssl/sha.h>
#include <stdio.h>

#include "node/node_auth.h"
#include "node/node_json.h"
#include "node/node_list.h"
#include "node/node_listen.h"
#include "node/node_poll.h"
#include "node/node_stream.h"
#include "node/node_wire.h"

static JobSpec
sample_spec (void)
{
  JobSpec spec = { .id = gr_name ("req-1"),
                   .team = gr_name ("news"),
                   .kind = gr_name ("moderation"),
                   .policy = JOB_POLICY_GANG,
                   .idempotent = true,
                   .urgent = true,
                   .tasks = 3,
                   .priority = 7,
                   .demand = { { 500, 128, 1, 2 } },
                   .run_ms = 40,
                   .deadline_unix_ms = 1780000000000,
                   .payload = GR_STR ("a\0b") };
  return spec;
}

static const NodeWireGroup sample_groups[] = { { { 3, "g/1" }, 4 }, { { 3, "g/2" }, 5 } };

/* One message of each kind. */
static size_t
sample_wires (NodeWire *out)
{
  size_t n = 0;
  out[n++] = (NodeWire){ .kind = NODE_WIRE_HEARTBEAT, .heartbeat = GR_STR ("beat") };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_SUMMARY,
                         .summary = { .load = { .free = { { 1, 2, 3, 4 } }, .queued = 9 },
                                      .groups = 2,
                                      .region = gr_name ("attica") } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_CALL,
                         .call = { 12,
                                   { .verb = NODE_VERB_REQUEST,
                                     .id = gr_name ("req-1"),
                                     .region = gr_name ("attica"),
                                     .spec = sample_spec (),
                                     .deadline_unix_ms = 99,
                                     .hops = 1 } } };
  out[n++] = (NodeWire){
    .kind = NODE_WIRE_CALL,
    .call = { 13, { .verb = NODE_VERB_WAIT, .id = gr_name ("j"), .wait_until_unix_ms = 5 } }
  };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_REPLY,
                         .reply = { 12,
                                    { .status = NODE_REPLY_DONE,
                                      .phase = JOB_ENDED,
                                      .outcome = JOB_OUTCOME_COMPLETED,
                                      .text = GR_STR ("answer") } } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_PLACE,
                         .place = { .id = gr_name ("req-1/0"),
                                    .attempt = 2,
                                    .spec = sample_spec (),
                                    .part = gr_name ("part/attica/03"),
                                    .epoch = 8,
                                    .place_by_unix_ms = 1000 } };
  out[n++]
      = (NodeWire){ .kind = NODE_WIRE_PLACE_RESULT,
                    .place_result = { gr_name ("req-1/0"), 2, JOB_PLACE_REFUSED, GR_ERR_QUOTA } };
  out[n++]
      = (NodeWire){ .kind = NODE_WIRE_REPORT,
                    .report = { gr_name ("req-1/0"), 2, JOB_TASK_SUCCEEDED, GR_STR ("result") } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_REPORT_ACK, .report_ack = { gr_name ("req-1/0"), 2 } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_CANCEL, .cancel = { gr_name ("req-1/0") } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_GANG, .gang = { gr_name ("job"), true } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_SYNC,
                         .sync = { 4, gr_name ("part/attica/03"), 8, gr_name ("req-1/0"), 2 } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_SYNC_DONE,
                         .sync_done = { 4, gr_name ("part/attica/03"), true, sample_groups, 2 } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_CONFIG_OFFER, .config = { 6, true, GR_STR ("record") } };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_LEAVE };
  out[n++] = (NodeWire){ .kind = NODE_WIRE_LOG_HINT };
  return n;
}

#define WIRES_MAX 32

static void
messages_round_trip (void **state)
{
  (void) state;
  NodeWire wires[WIRES_MAX];
  size_t count = sample_wires (wires);
  for (size_t i = 0; i < count; i++) {
    GrBuf once = { 0 };
    GrBuf twice = { 0 };
    NodeWire decoded;
    GrErr err = { 0 };
    node_wire_encode (&wires[i], &once);
    assert_true (node_wire_decode (gr_buf_str (&once), &decoded, &err));
    assert_int_equal (decoded.kind, wires[i].kind);
    node_wire_encode (&decoded, &twice);
    assert_int_equal (once.len, twice.len);
    assert_memory_equal (once.data, twice.data, once.len);
    node_wire_clear (&decoded);
    gr_buf_clear (&once);
    gr_buf_clear (&twice);
  }
}

static void
truncated_or_overlong_messages_are_refused (void **state)
{
  (void) state;
  NodeWire wires[WIRES_MAX];
  size_t count = sample_wires (wires);
  for (size_t i = 0; i < count; i++) {
    GrBuf body = { 0 };
    NodeWire decoded;
    node_wire_encode (&wires[i], &body);
    for (size_t len = 0; len < body.len; len++) {
      GrErr err = { 0 };
      /* A separate buffer, so that the sanitizer detects reads past its end. */
      char *copy = gr_calloc (1, len + 1);
      memcpy (copy, body.data, len);
      assert_false (node_wire_decode ((GrStr){ copy, len }, &decoded, &err));
      assert_int_equal (err.code, GR_ERR_PROTOCOL);
      free (copy);
    }
    GrErr err = { 0 };
    gr_buf_append (&body, "\0", 1);
    assert_false (node_wire_decode (gr_buf_str (&body), &decoded, &err));
    gr_buf_clear (&body);
  }
}

/* A message with a changed byte may still be valid. The decoder must accept it or return an error;
   it must not crash. */
static void
messages_with_a_changed_byte_are_decoded_or_refused (void **state)
{
  (void) state;
  NodeWire wires[WIRES_MAX];
  size_t count = sample_wires (wires);
  for (size_t i = 0; i < count; i++) {
    GrBuf body = { 0 };
    node_wire_encode (&wires[i], &body);
    for (size_t at = 0; at < body.len; at++) {
      for (int value = 0; value < 256; value += 5) {
        char kept = body.data[at];
        NodeWire decoded;
        GrErr err = { 0 };
        body.data[at] = (char) value;
        if (node_wire_decode (gr_buf_str (&body), &decoded, &err))
          node_wire_clear (&decoded);
        else
          assert_int_equal (err.code, GR_ERR_PROTOCOL);
        body.data[at] = kept;
      }
    }
    gr_buf_clear (&body);
  }
}

static void
messages_with_fields_out_of_range_are_refused (void **state)
{
  (void) state;
  static const struct {
    const char *bytes;
    size_t len;
    const char *field;
  } cases[] = {
    { "\x91\x00", 2, "type" },                 /* no such kind */
    { "\x91\x10", 2, "type" },                 /* no such kind */
    { "\x91\xc0", 2, "type" },                 /* nil */
    { "\x01", 1, "frame" },                    /* not an array */
    { "\x92\x01\xa4text", 7, "heartbeat" },    /* text instead of bytes */
    { "\x91\x01", 2, "heartbeat" },            /* field missing */
    { "\x93\x08\xc4\x01t\xff", 6, "attempt" }, /* negative attempt */
    { "\x92\x0e\x01", 3, "frame" },            /* one field too many */
    { "\x93\x0a\xc4\x01j\x01", 6, "commit" },  /* number instead of boolean */
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NodeWire decoded;
    GrErr err = { 0 };
    assert_false (node_wire_decode ((GrStr){ cases[i].bytes, cases[i].len }, &decoded, &err));
    assert_int_equal (err.code, GR_ERR_PROTOCOL);
    assert_string_equal (err.field.data, cases[i].field);
  }
}

static CfgTree *
empty_tree (void)
{
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_new (NULL, 0, &problems);
  assert_non_null (tree);
  gr_list_clear (&problems);
  return tree;
}

#define REQUEST_HEAD "{\"id\":\"r\",\"team\":\"t\",\"kind\":\"k\",\"idempotent\":true,"

static void
submissions_with_missing_or_wrong_fields_name_the_field (void **state)
{
  (void) state;
  static const struct {
    bool request;
    const char *body;
    const char *field; /* NULL: accepted */
  } cases[] = {
    { true, REQUEST_HEAD "\"deadline_ms\":1780000000000}", NULL },
    { true, REQUEST_HEAD "\"deadline_ms\":1,\"demand\":{\"slots\":2},\"payload\":{\"a\":1}}",
      NULL },
    { true, "", "body" },
    { true, "[]", "body" },
    { true, "{\"id\":\"r\"", "body" },
    { true, "{\"id\":\"r\",\"id\":\"s\"}", "body" },
    { true, "{\"team\":\"t\"}", "id" },
    { true, "{\"id\":\"\"}", "id" },
    { true, "{\"id\":7}", "id" },
    { true, "{\"id\":\"123456789012345678901234567890123456789012345678901234567\"}", "id" },
    { true, "{\"id\":\"r\"}", "team" },
    { true, "{\"id\":\"r\",\"team\":\"t\"}", "kind" },
    { true, "{\"id\":\"r\",\"team\":\"t\",\"kind\":\"k\"}", "idempotent" },
    { true, "{\"id\":\"r\",\"team\":\"t\",\"kind\":\"k\",\"idempotent\":1}", "idempotent" },
    { true, REQUEST_HEAD "\"x\":1}", "deadline_ms" },
    { true, REQUEST_HEAD "\"deadline_ms\":\"soon\"}", "deadline_ms" },
    { true, REQUEST_HEAD "\"deadline_ms\":-1}", "deadline_ms" },
    { true, REQUEST_HEAD "\"deadline_ms\":1,\"demand\":{\"disk\":1}}", "disk" },
    { true, REQUEST_HEAD "\"deadline_ms\":1,\"demand\":{\"slots\":-1}}", "slots" },
    { true, REQUEST_HEAD "\"deadline_ms\":1,\"run_ms\":-5}", "run_ms" },
    { false, "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"best\"}", "policy" },
    { false, "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"batch\"}", "tasks" },
    { false, "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"batch\",\"tasks\":0}", "tasks" },
    { false, "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"batch\",\"tasks\":1}", "deadline_ms" },
    { false, "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"service\",\"tasks\":1}", "demand" },
    { false,
      "{\"id\":\"j\",\"team\":\"t\",\"policy\":\"service\",\"tasks\":1,\"demand\":{\"cpu_milli\":1}"
      "}",
      NULL },
  };
  CfgTree *tree = empty_tree ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NodeSubmission submission;
    GrErr err = { 0 };
    bool ok = node_json_submission (gr_str_from_c (cases[i].body), cases[i].request, tree,
                                    &submission, &err);
    assert_int_equal (ok, cases[i].field == NULL);
    if (!ok)
      assert_string_equal (err.field.data, cases[i].field);
    node_json_clear (&submission);
  }
  cfg_tree_free (tree);
}

static void
submissions_keep_payload_and_default_demand (void **state)
{
  (void) state;
  CfgTree *tree = empty_tree ();
  NodeSubmission submission;
  GrErr err = { 0 };
  assert_true (
      node_json_submission (GR_STR (REQUEST_HEAD "\"deadline_ms\":9,\"payload\":{\"a\": [1, 2]}}"),
                            true, tree, &submission, &err));
  assert_true (gr_str_equal (submission.spec.payload, GR_STR ("{\"a\":[1,2]}")));
  assert_int_equal (submission.spec.demand.v[GR_RES_SLOTS], 1);
  assert_int_equal (submission.spec.policy, JOB_POLICY_REQUEST);
  node_json_clear (&submission);
  cfg_tree_free (tree);
}

/* Callers decide by the status and the code whether a request may have run: 503 with "not_run" only
   if it certainly did not. */
static void
replies_distinguish_not_run_from_unknown (void **state)
{
  (void) state;
  static const struct {
    NodeVerb verb;
    NodeReplyBody reply;
    int status;
    const char *part;
  } cases[] = {
    { NODE_VERB_REQUEST,
      { .phase = JOB_ENDED, .outcome = JOB_OUTCOME_COMPLETED, .text = { "a\"b", 3 } },
      200,
      "\"answer\":\"a\\\"b\"" },
    { NODE_VERB_REQUEST,
      { .phase = JOB_ENDED, .outcome = JOB_OUTCOME_NOT_RUN, .why = GR_ERR_DEADLINE },
      503,
      "\"code\":\"not_run\"" },
    { NODE_VERB_REQUEST,
      { .phase = JOB_ENDED, .outcome = JOB_OUTCOME_UNKNOWN, .why = GR_ERR_UNKNOWN },
      504,
      "\"code\":\"unknown\"" },
    { NODE_VERB_REQUEST, { .phase = JOB_RUNNING }, 504, "\"code\":\"unknown\"" },
    { NODE_VERB_REQUEST,
      { .phase = JOB_ENDED, .outcome = JOB_OUTCOME_FAILED, .why = GR_ERR_FAILED },
      502,
      "\"code\":\"failed\"" },
    { NODE_VERB_REQUEST, { .why = GR_ERR_CONFLICT }, 409, "\"code\":\"conflict\"" },
    { NODE_VERB_JOB, { .phase = JOB_QUEUED }, 202, "\"phase\":\"queued\"" },
    { NODE_VERB_JOB,
      { .phase = JOB_ENDED, .outcome = JOB_OUTCOME_NOT_RUN, .why = GR_ERR_OVERLOADED },
      503,
      "\"code\":\"not_run\"" },
    { NODE_VERB_WAIT, { .why = GR_ERR_NOT_FOUND }, 404, "\"code\":\"not_found\"" },
    { NODE_VERB_WAIT, { .phase = JOB_RUNNING }, 200, "\"phase\":\"running\"" },
  };
  GrName id = gr_name ("r");
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf out = { 0 };
    assert_int_equal (node_json_reply (&out, cases[i].verb, &id, &cases[i].reply), cases[i].status);
    assert_non_null (strstr (out.data, cases[i].part));
    json_error_t err;
    json_t *root = json_loads (out.data, 0, &err);
    assert_non_null (root);
    json_decref (root);
    gr_buf_clear (&out);
  }
}

static void
strings_with_control_or_malformed_bytes_become_valid_json (void **state)
{
  (void) state;
  GrBuf out = { 0 };
  node_json_string (&out, GR_STR ("\x01\xff\xc3\xa9\xe2\x82 \\\n"));
  assert_string_equal (out.data, "\"\\u0001?\xc3\xa9?? \\\\\\u000a\"");
  gr_buf_clear (&out);
}

static void
target_listings_are_validated (void **state)
{
  (void) state;
  static const struct {
    const char *body;
    bool ok;
    size_t count;
  } cases[] = {
    { "{\"seq\":3,\"leaving\":true,\"tasks\":[]}", true, 0 },
    { "{\"seq\":3,\"tasks\":[{\"task\":\"j/0\",\"attempt\":1,\"state\":\"running\"}]}", true, 1 },
    { "{\"seq\":3,\"tasks\":[{\"task\":\"j/0\",\"attempt\":1,\"state\":\"dreaming\"}]}", false, 0 },
    { "{\"seq\":3,\"tasks\":[{\"task\":\"j/0\",\"state\":\"running\"}]}", false, 0 },
    { "{\"seq\":3,\"tasks\":[{\"task\":\"j/0\",\"attempt\":-1,\"state\":\"failed\"}]}", false, 0 },
    { "{\"seq\":3,\"tasks\":[7]}", false, 0 },
    { "{\"tasks\":[]}", false, 0 },
    { "{\"seq\":3}", false, 0 },
    { "", false, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    NodePollAnswer answer = { 0 };
    NodeListedTask *tasks;
    json_t *root;
    GrErr err = { 0 };
    bool ok = node_poll_parse (gr_str_from_c (cases[i].body), &answer, &tasks, &root, &err);
    assert_int_equal (ok, cases[i].ok);
    if (ok) {
      assert_int_equal (answer.count, cases[i].count);
      free (tasks);
      json_decref (root);
    } else {
      assert_int_equal (err.code, GR_ERR_PROTOCOL);
    }
  }
}

static int delivered;

static void
count_record (void *user, int64_t offset, const GrVmRef *writer, GrStr record)
{
  (void) user;
  (void) offset;
  (void) writer;
  (void) record;
  delivered++;
}

static void
raw_log_responses_are_validated_before_delivery (void **state)
{
  (void) state;
  static const struct {
    const char *bytes;
    size_t len;
    int64_t next;
    bool ok;
    int delivered;
    int64_t next_after;
    bool at_end;
    bool gap;
  } cases[] = {
    { "\x93\x00\x00\x90", 4, 0, true, 0, 0, true, false },
    { "\x93\x00\x02\x92\x92\x00\xc4\x01x\x92\x01\xc4\x01y", 14, 0, true, 2, 2, true, false },
    { "\x93\x00\x02\x92\x92\x00\xc4\x01x\x92\x01\xc4\x01y", 14, 1, true, 1, 2, true, false },
    { "\x93\x05\x09\x91\x92\x05\xc4\x01x", 9, 0, true, 1, 6, false, true },
    { "\x93\x00\x02\x92\x92\x00\xc4\x01x\x92\x01\x07", 12, 0, false, 0, 0, false, false },
    { "\x93\x00\x02\x92\x92\x00\xc4\x01x", 9, 0, false, 0, 0, false, false },
    { "\x92\x00\x02", 3, 0, false, 0, 0, false, false },
    { "", 0, 0, false, 0, 0, false, false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    int64_t next = cases[i].next;
    bool at_end = false;
    bool gap = false;
    GrErr err = { 0 };
    delivered = 0;
    bool ok = node_stream_take_raw ((GrStr){ cases[i].bytes, cases[i].len }, &next, count_record,
                                    NULL, &at_end, &gap, &err);
    assert_int_equal (ok, cases[i].ok);
    assert_int_equal (delivered, cases[i].delivered);
    assert_int_equal (next, cases[i].next_after);
    assert_int_equal (at_end, cases[i].at_end);
    assert_int_equal (gap, cases[i].gap);
  }
}

static void
listen_addresses_are_validated (void **state)
{
  (void) state;
  static const struct {
    const char *text;
    bool ok;
    const char *host;
    int64_t port;
  } cases[] = {
    { "127.0.0.1:80", true, "127.0.0.1", 80 },
    { "[::1]:0", true, "::1", 0 },
    { "127.0.0.1", false, "", 0 },
    { ":80", false, "", 0 },
    { "127.0.0.1:", false, "", 0 },
    { "127.0.0.1:65536", false, "", 0 },
    { "127.0.0.1:-1", false, "", 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    char host[64];
    int64_t port;
    GrErr err = { 0 };
    bool ok = node_listen_parse (cases[i].text, "http-listen", host, sizeof host, &port, &err);
    assert_int_equal (ok, cases[i].ok);
    if (ok) {
      assert_string_equal (host, cases[i].host);
      assert_int_equal (port, cases[i].port);
    } else {
      assert_int_equal (err.code, GR_ERR_INVALID);
    }
  }
}

static void
only_the_token_of_the_digest_is_accepted (void **state)
{
  (void) state;
  CfgTeam team = { .name = gr_name ("news") };
  assert_true (node_auth_team (&team, GR_STR ("")));
  unsigned char digest[SHA256_DIGEST_LENGTH];
  char hex[2 * SHA256_DIGEST_LENGTH + 1];
  SHA256 ((const unsigned char *) "secret", 6, digest);
  for (size_t i = 0; i < sizeof digest; i++)
    snprintf (hex + 2 * i, 3, "%02x", digest[i]);
  team.token_sha256_a = gr_name_cut ((GrStr){ hex, 32 });
  team.token_sha256_b = gr_name_cut ((GrStr){ hex + 32, 32 });
  assert_true (node_auth_team (&team, GR_STR ("Bearer secret")));
  assert_false (node_auth_team (&team, GR_STR ("Bearer secre")));
  assert_false (node_auth_team (&team, GR_STR ("Bearer ")));
  assert_false (node_auth_team (&team, GR_STR ("secret")));
  assert_false (node_auth_team (&team, GR_STR ("")));
}

static const char full_list[]
    = "{\"version\":4,\"full\":true,\"vms\":["
      "{\"id\":\"e1\",\"role\":\"entry\",\"region\":\"attica\",\"state\":\"live\","
      "\"peer\":\"127.0.0.1:9\"},"
      "{\"id\":\"w1\",\"role\":\"worker\",\"region\":\"attica\",\"zone\":\"z1\",\"rack\":\"r1\","
      "\"state\":\"leaving\",\"url\":\"http://127.0.0.1:1/w1\",\"cpu_milli\":4000}],"
      "\"removed\":[]}";

/* A malformed list must leave the last valid one in place, because the list decides which VMs are
   leaving or gone. */
static void
vm_lists_are_applied_completely_or_not_at_all (void **state)
{
  (void) state;
  static const char *const malformed[] = {
    "",
    "{}",
    "{\"version\":5}",
    "{\"version\":\"x\",\"vms\":[]}",
    "{\"version\":5,\"full\":true,\"vms\":[{\"id\":\"w2\"}]}",
    "{\"version\":5,\"full\":true,\"vms\":[{\"id\":\"w2\",\"role\":\"worker\"}]}",
    "{\"version\":5,\"full\":true,\"vms\":[{\"id\":\"w2\",\"role\":\"ship\",\"url\":\"u\"}]}",
    "{\"version\":5,\"full\":true,\"vms\":[3]}",
  };
  uv_loop_t loop;
  uv_loop_init (&loop);
  NodeSettings settings = { .platform_url = "http://127.0.0.1:1" };
  Node node = { .loop = &loop, .settings = &settings };
  node.list = node_list_new (&node);
  bool changed = false;
  GrErr err = { 0 };
  assert_true (node_list_apply (node.list, gr_str_from_c (full_list), &changed, &err));
  assert_true (changed);
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++) {
    assert_false (node_list_apply (node.list, gr_str_from_c (malformed[i]), &changed, &err));
    assert_non_null (node_list_find (&node, GR_STR ("w1")));
    assert_null (node_list_find (&node, GR_STR ("w2")));
  }
  const NodeVm *worker = node_list_find (&node, GR_STR ("w1"));
  assert_true (worker->leaving);
  assert_string_equal (worker->group.data, "group/attica/r1");
  assert_int_equal (worker->capacity.v[GR_RES_CPU_MILLI], 4000);
  const char *change = "{\"version\":6,\"full\":false,\"vms\":[],\"removed\":[\"w1\"]}";
  assert_true (node_list_apply (node.list, gr_str_from_c (change), &changed, &err));
  assert_true (changed);
  assert_null (node_list_find (&node, GR_STR ("w1")));
  assert_non_null (node_list_find (&node, GR_STR ("e1")));
  change = "{\"version\":6,\"full\":false,\"vms\":[],\"removed\":[]}";
  assert_true (node_list_apply (node.list, gr_str_from_c (change), &changed, &err));
  assert_false (changed);
  node_list_free (node.list);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (messages_round_trip),
    cmocka_unit_test (truncated_or_overlong_messages_are_refused),
    cmocka_unit_test (messages_with_a_changed_byte_are_decoded_or_refused),
    cmocka_unit_test (messages_with_fields_out_of_range_are_refused),
    cmocka_unit_test (submissions_with_missing_or_wrong_fields_name_the_field),
    cmocka_unit_test (submissions_keep_payload_and_default_demand),
    cmocka_unit_test (replies_distinguish_not_run_from_unknown),
    cmocka_unit_test (strings_with_control_or_malformed_bytes_become_valid_json),
    cmocka_unit_test (target_listings_are_validated),
    cmocka_unit_test (raw_log_responses_are_validated_before_delivery),
    cmocka_unit_test (listen_addresses_are_validated),
    cmocka_unit_test (only_the_token_of_the_digest_is_accepted),
    cmocka_unit_test (vm_lists_are_applied_completely_or_not_at_all),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
