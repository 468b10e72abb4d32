/* Bytes and processor time of peer messages and of the JSON bodies of callers, for the capacity
   page. Bytes of peer messages include the frame header. Prints name=value lines. */
#include <stdlib.h>

#include "capacity.h"
#include "cfg/cfg.h"
#include "node/node_json.h"
#include "node/node_list.h"
#include "node/node_tasks.h"
#include "node/node_wire.h"

#define ROUNDS 20000
#define FRAME_HEADER_BYTES 4
#define UNIX_MS 1796364000000

static char payload[4096];

static double
print_message (const char *name, const NodeWire *wire)
{
  GrBuf body = { 0 };
  double start = capacity_cpu_us ();
  for (int i = 0; i < ROUNDS; i++) {
    gr_buf_clear (&body);
    node_wire_encode (wire, &body);
  }
  double encode_us = (capacity_cpu_us () - start) / ROUNDS;
  start = capacity_cpu_us ();
  for (int i = 0; i < ROUNDS; i++) {
    NodeWire decoded;
    GrErr err = { 0 };
    if (!node_wire_decode (gr_buf_str (&body), &decoded, &err))
      fprintf (stderr, "%s: %s\n", name, err.detail);
    node_wire_clear (&decoded);
  }
  double decode_us = (capacity_cpu_us () - start) / ROUNDS;
  double bytes = (double) body.len + FRAME_HEADER_BYTES;
  printf ("wire_%s_bytes=%.0f\n", name, bytes);
  printf ("wire_%s_encode_us=%.3f\n", name, encode_us);
  printf ("wire_%s_decode_us=%.3f\n", name, decode_us);
  gr_buf_clear (&body);
  return bytes;
}

static JobSpec
make_spec (size_t payload_len)
{
  return (JobSpec){ .id = gr_name ("request-00001234"),
                    .team = gr_name ("politics"),
                    .kind = gr_name ("moderation"),
                    .policy = JOB_POLICY_REQUEST,
                    .idempotent = true,
                    .tasks = 1,
                    .priority = 100,
                    .demand = { { 500, 512, 0, 0 } },
                    .run_ms = 250,
                    .deadline_ms = 1000000,
                    .deadline_unix_ms = UNIX_MS,
                    .payload = { payload, payload_len } };
}

static NodeWire
make_place (size_t payload_len)
{
  NodeWire wire = { .kind = NODE_WIRE_PLACE };
  wire.place.id = gr_name ("request-00001234/0");
  wire.place.attempt = 4097;
  wire.place.spec = make_spec (payload_len);
  wire.place.part = gr_name ("part/north/07");
  wire.place.epoch = 3;
  wire.place.place_by_unix_ms = UNIX_MS;
  return wire;
}

static NodeWire
make_report (size_t answer_len)
{
  NodeWire wire = { .kind = NODE_WIRE_REPORT };
  wire.report.id = gr_name ("request-00001234/0");
  wire.report.attempt = 4097;
  wire.report.state = JOB_TASK_SUCCEEDED;
  wire.report.answer = (GrStr){ payload, answer_len };
  return wire;
}

static void
measure_wire (void)
{
  NodeWire summary = { .kind = NODE_WIRE_SUMMARY };
  summary.summary.load = (SchSummary){ .free = { { 900000, 4000000, 60, 0 } },
                                       .largest_hole = { { 32000, 65536, 8, 0 } },
                                       .queued = 120,
                                       .running = 1200,
                                       .short_wait_ms = 150 };
  summary.summary.groups = 17;
  summary.summary.region = gr_name ("north");
  print_message ("summary", &summary);
  NodeWire place = make_place (256);
  double with_payload = print_message ("place_256", &place);
  place = make_place (4096);
  printf ("wire_place_bytes_per_payload_byte=%.3f\n",
          (print_message ("place_4096", &place) - with_payload) / (4096 - 256));
  NodeWire result = { .kind = NODE_WIRE_PLACE_RESULT };
  result.place_result.id = gr_name ("request-00001234/0");
  result.place_result.attempt = 4097;
  result.place_result.result = JOB_PLACE_QUEUED;
  print_message ("place_result", &result);
  NodeWire report = make_report (64);
  double with_answer = print_message ("report_64", &report);
  report = make_report (4096);
  printf ("wire_report_bytes_per_answer_byte=%.3f\n",
          (print_message ("report_4096", &report) - with_answer) / (4096 - 64));
  report = make_report (0);
  report.report.state = JOB_TASK_RUNNING;
  print_message ("report_running", &report);
  NodeWire ack = { .kind = NODE_WIRE_REPORT_ACK };
  ack.report_ack.id = gr_name ("request-00001234/0");
  ack.report_ack.attempt = 4097;
  print_message ("report_ack", &ack);
  NodeWire call = { .kind = NODE_WIRE_CALL };
  call.call.id = 100000;
  call.call.body.verb = NODE_VERB_REQUEST;
  call.call.body.id = gr_name ("request-00001234");
  call.call.body.region = gr_name ("north");
  call.call.body.spec = make_spec (256);
  call.call.body.deadline_unix_ms = UNIX_MS;
  print_message ("call_256", &call);
  NodeWire reply = { .kind = NODE_WIRE_REPLY };
  reply.reply.id = 100000;
  reply.reply.body.phase = JOB_ENDED;
  reply.reply.body.outcome = JOB_OUTCOME_COMPLETED;
  reply.reply.body.text = (GrStr){ payload, 64 };
  print_message ("reply_64", &reply);
  NodeWire offer = { .kind = NODE_WIRE_CONFIG_OFFER };
  offer.config.version = 5200;
  print_message ("config_offer", &offer);
}

static void
measure_json (size_t payload_len)
{
  GrBuf text = { 0 };
  gr_buf_printf (&text,
                 "{\"id\":\"request-00001234\",\"team\":\"politics\",\"kind\":\"moderation\","
                 "\"idempotent\":true,\"exclusive\":false,\"deadline_ms\":%lld,\"run_ms\":250,"
                 "\"demand\":{\"cpu_milli\":500,\"memory_mb\":512,\"accelerators\":0,\"slots\":1},"
                 "\"payload\":\"%.*s\"}",
                 (long long) UNIX_MS, (int) payload_len, payload);
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_new (NULL, 0, &problems);
  double start = capacity_cpu_us ();
  for (int i = 0; i < ROUNDS; i++) {
    NodeSubmission submission;
    GrErr err = { 0 };
    if (!node_json_submission (gr_buf_str (&text), true, tree, &submission, &err))
      fprintf (stderr, "submission: %s\n", err.detail);
    node_json_clear (&submission);
  }
  printf ("front_request_body_bytes_%zu=%zu\n", payload_len, text.len);
  printf ("front_request_parse_us_%zu=%.3f\n", payload_len, (capacity_cpu_us () - start) / ROUNDS);
  NodeReplyBody reply = { .phase = JOB_ENDED,
                          .outcome = JOB_OUTCOME_COMPLETED,
                          .text = { payload, payload_len / 4 } };
  GrName id = gr_name ("request-00001234");
  GrBuf out = { 0 };
  start = capacity_cpu_us ();
  for (int i = 0; i < ROUNDS; i++) {
    gr_buf_clear (&out);
    node_json_reply (&out, NODE_VERB_REQUEST, &id, &reply);
  }
  printf ("front_reply_us_%zu=%.3f\n", payload_len, (capacity_cpu_us () - start) / ROUNDS);
  printf ("front_reply_body_bytes_%zu=%zu\n", payload_len, out.len);
  gr_buf_clear (&out);
  gr_buf_clear (&text);
  cfg_tree_free (tree);
  gr_list_clear (&problems);
}

int
main (void)
{
  memset (payload, 'a', sizeof payload);
  measure_wire ();
  measure_json (256);
  measure_json (4096);
  /* Bytes that the daemon holds for each task, target and listed VM in addition to the modules. */
  printf ("node_task_bytes=%zu\n", sizeof (NodeTask));
  printf ("node_target_bytes=%zu\n", sizeof (NodeTarget));
  printf ("node_vm_bytes=%zu\n", sizeof (NodeVm));
  return 0;
}
