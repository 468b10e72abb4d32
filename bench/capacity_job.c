/* Cost of jobs and requests per job, task and log record, for the capacity page. The log and the
   schedulers answer immediately; only the steps of the job module are timed. Prints name=value
   lines. */
#include <stdlib.h>

#include "capacity.h"
#include "job/job.h"

#define PARTS 16
#define PAYLOAD_BYTES 256
#define ANSWER_BYTES 64
#define DEADLINE_MS 3600000

typedef struct {
  JobMsg msg;
  GrBuf bytes; /* encoded record of JOB_MSG_RECORD */
} Event;

typedef struct {
  JobState *job;
  GR_LIST (Event) events;
  GR_LIST (GrBuf) log;
  double step_us;
  int64_t record_bytes;
  int64_t placed;
  int64_t replies;
} Harness;

static void
push (Harness *harness, JobMsg msg)
{
  gr_list_push (&harness->events, (Event){ .msg = msg });
}

static void
handle_cmds (Harness *harness, const JobCmds *cmds)
{
  for (size_t i = 0; i < cmds->count; i++) {
    const JobCmd *cmd = &cmds->items[i];
    switch (cmd->kind) {
    case JOB_CMD_APPEND: {
      push (harness, (JobMsg){ .kind = JOB_MSG_COMMITTED, .append = { cmd->token } });
      Event event = { .msg = { .kind = JOB_MSG_RECORD } };
      gr_buf_append_str (&event.bytes, cmd->bytes);
      gr_list_push (&harness->events, event);
      harness->record_bytes += (int64_t) cmd->bytes.len;
      break;
    }
    case JOB_CMD_PLACE: {
      JobMsg msg = { .kind = JOB_MSG_PLACE_RESULT };
      msg.place.id = cmd->id;
      msg.place.attempt = cmd->attempt;
      msg.place.result = JOB_PLACE_QUEUED;
      msg.place.scheduler = gr_name ("entry-01");
      push (harness, msg);
      JobMsg report = { .kind = JOB_MSG_TASK_REPORT };
      report.report.id = cmd->id;
      report.report.attempt = cmd->attempt;
      report.report.state = JOB_TASK_RUNNING;
      report.report.scheduler = gr_name ("entry-01");
      push (harness, report);
      harness->placed++;
      break;
    }
    case JOB_CMD_REPLY:
      harness->replies++;
      break;
    case JOB_CMD_COMMIT_GANG:
    case JOB_CMD_RELEASE_GANG:
    case JOB_CMD_CANCEL_TASK:
    case JOB_CMD_RESOLVE:
      break;
    }
  }
}

static void
step (Harness *harness, const JobMsg *msg)
{
  JobCmds cmds = { 0 };
  double start = capacity_cpu_us ();
  job_step (harness->job, msg, 1000, &cmds);
  harness->step_us += capacity_cpu_us () - start;
  handle_cmds (harness, &cmds);
  gr_list_clear (&cmds);
}

/* Processes the pending events in order, including those that they cause. */
static void
process_events (Harness *harness)
{
  for (size_t i = 0; i < harness->events.count; i++) {
    Event event = harness->events.items[i];
    if (event.msg.kind == JOB_MSG_RECORD) {
      event.msg.record.bytes = gr_buf_str (&event.bytes);
      gr_list_push (&harness->log, event.bytes);
    }
    step (harness, &event.msg);
  }
  gr_list_reset (&harness->events);
}

static JobState *
new_job (void)
{
  JobOptions options = { .parts = PARTS, .seed = 1, .jobs_max = 200000 };
  job_options_defaults (&options);
  return job_new (&options, NULL);
}

static Harness
new_harness (void)
{
  Harness harness = { .job = new_job () };
  push (&harness, (JobMsg){ .kind = JOB_MSG_STORE_STATE, .store = { true } });
  for (int32_t part = 0; part < PARTS; part++) {
    push (&harness, (JobMsg){ .kind = JOB_MSG_PART_GAINED, .part = { .part = part, .epoch = 1 } });
    push (&harness, (JobMsg){ .kind = JOB_MSG_PART_ACTIVE, .part = { part, INT64_MAX, 1 } });
    push (&harness, (JobMsg){ .kind = JOB_MSG_PART_SYNCED, .part = { .part = part } });
  }
  process_events (&harness);
  return harness;
}

static void
clear_harness (Harness *harness)
{
  job_free (harness->job);
  for (size_t i = 0; i < harness->log.count; i++)
    gr_buf_clear (&harness->log.items[i]);
  gr_list_clear (&harness->log);
  gr_list_clear (&harness->events);
}

static void
submit (Harness *harness, size_t number, JobPolicy policy, bool idempotent, int32_t tasks)
{
  static const char payload[PAYLOAD_BYTES];
  JobSpec spec = { .id = gr_name_format ("request-%08zu", number),
                   .team = gr_name ("politics"),
                   .kind = gr_name ("moderation"),
                   .policy = policy,
                   .idempotent = idempotent,
                   .tasks = tasks,
                   .demand = { { 500, 512, 0, 0 } },
                   .run_ms = 250,
                   .deadline_ms = DEADLINE_MS,
                   .deadline_unix_ms = DEADLINE_MS,
                   .payload = { payload, sizeof payload } };
  JobMsg msg = { .kind = JOB_MSG_SUBMIT };
  msg.submit.call = (int64_t) number + 1;
  msg.submit.spec = &spec;
  msg.submit.wait = policy == JOB_POLICY_REQUEST;
  step (harness, &msg);
  process_events (harness);
}

static void
finish (Harness *harness, size_t number, int32_t tasks, int32_t attempt)
{
  static const char answer[ANSWER_BYTES];
  for (int32_t i = 0; i < tasks; i++) {
    JobMsg msg = { .kind = JOB_MSG_TASK_REPORT };
    msg.report.id = gr_name_format ("request-%08zu/%d", number, i);
    msg.report.attempt = attempt;
    msg.report.state = JOB_TASK_SUCCEEDED;
    msg.report.scheduler = gr_name ("entry-01");
    msg.report.answer = (GrStr){ answer, sizeof answer };
    step (harness, &msg);
    process_events (harness);
  }
}

typedef struct {
  double open_heap;           /* heap bytes of the unfinished jobs */
  double ended_heap;          /* heap bytes of the same jobs after their end */
  double accept_us;           /* processor time until all tasks run */
  double end_us;              /* processor time from the final reports to the end of all jobs */
  double accept_bytes, bytes; /* of log records: until all tasks run, and in total */
  double records;             /* log records */
  double replay_us;
  double replay_heap;
} Cost;

/* Attempt numbers begin at a multiple of 4,096 in each ownership epoch. */
#define FIRST_ATTEMPT 4097

static Cost
measure (size_t count, JobPolicy policy, bool idempotent, int32_t tasks)
{
  Cost cost = { 0 };
  Harness harness = new_harness ();
  size_t log_before = harness.log.count;
  int64_t bytes_before = harness.record_bytes;
  double heap = capacity_heap_bytes ();
  harness.step_us = 0;
  double log_heap = 0;
  for (size_t i = 0; i < count; i++)
    submit (&harness, i, policy, idempotent, tasks);
  for (size_t i = log_before; i < harness.log.count; i++)
    log_heap += (double) malloc_usable_size (harness.log.items[i].data) + sizeof (size_t);
  log_heap += (double) (harness.log.capacity * sizeof harness.log.items[0]);
  cost.open_heap = capacity_heap_bytes () - heap - log_heap;
  cost.accept_us = harness.step_us;
  cost.accept_bytes = (double) (harness.record_bytes - bytes_before);
  if (harness.placed != (int64_t) count * tasks)
    fprintf (stderr, "placed %lld of %zu tasks\n", (long long) harness.placed,
             count * (size_t) tasks);
  harness.step_us = 0;
  for (size_t i = 0; i < count; i++)
    finish (&harness, i, tasks, FIRST_ATTEMPT);
  cost.end_us = harness.step_us;
  log_heap = 0;
  for (size_t i = log_before; i < harness.log.count; i++)
    log_heap += (double) malloc_usable_size (harness.log.items[i].data) + sizeof (size_t);
  log_heap += (double) (harness.log.capacity * sizeof harness.log.items[0]);
  cost.ended_heap = capacity_heap_bytes () - heap - log_heap;
  cost.bytes = (double) (harness.record_bytes - bytes_before);
  cost.records = (double) (harness.log.count - log_before);
  if (job_unfinished (harness.job) != 0)
    fprintf (stderr, "%zu jobs have not ended\n", job_unfinished (harness.job));
  /* A VM that owns no partitions replays the same stream. */
  JobState *reader = new_job ();
  JobCmds cmds = { 0 };
  heap = capacity_heap_bytes ();
  double start = capacity_cpu_us ();
  for (size_t i = 0; i < harness.log.count; i++) {
    JobMsg msg = { .kind = JOB_MSG_RECORD, .record = { gr_buf_str (&harness.log.items[i]) } };
    gr_list_reset (&cmds);
    job_step (reader, &msg, 1000, &cmds);
  }
  cost.replay_us = capacity_cpu_us () - start;
  gr_list_clear (&cmds);
  cost.replay_heap = capacity_heap_bytes () - heap;
  job_free (reader);
  clear_harness (&harness);
  return cost;
}

static void
print_slope (const char *name, size_t n0, size_t n1, double y0, double y1)
{
  printf ("%s=%.2f\n", name, capacity_slope (y0, y1, (double) n0, (double) n1));
}

int
main (void)
{
  static const struct {
    const char *name;
    JobPolicy policy;
    bool idempotent;
    int32_t tasks;
  } kinds[] = { { "idempotent_request", JOB_POLICY_REQUEST, true, 1 },
                { "once_request", JOB_POLICY_REQUEST, false, 1 },
                { "batch_job", JOB_POLICY_BATCH, true, 1 },
                { "batch_job_10", JOB_POLICY_BATCH, true, 10 } };
  static const size_t sizes[] = { 2000, 8000, 32000 };
  enum {
    SIZES = sizeof sizes / sizeof sizes[0]
  };
  for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
    Cost c[SIZES];
    size_t share = kinds[k].tasks > 1 ? 10 : 1;
    for (size_t i = 0; i < SIZES; i++) {
      size_t jobs = sizes[i] / share;
      c[i] = measure (jobs, kinds[k].policy, kinds[k].idempotent, kinds[k].tasks);
      printf ("job_%s_accept_us_at_%zu=%.2f\n", kinds[k].name, jobs,
              c[i].accept_us / (double) jobs);
    }
    size_t n0 = sizes[0] / share;
    size_t n1 = sizes[SIZES - 1] / share;
    const Cost *a = &c[0];
    const Cost *b = &c[SIZES - 1];
    char name[96];
#define PRINT(what, field)                                                                         \
  snprintf (name, sizeof name, "job_%s_" what, kinds[k].name);                                     \
  print_slope (name, n0, n1, a->field, b->field)
    PRINT ("state_bytes_unfinished", open_heap);
    PRINT ("state_bytes_ended", ended_heap);
    PRINT ("state_bytes_replayed", replay_heap);
    PRINT ("accept_to_running_us", accept_us);
    PRINT ("end_us", end_us);
    PRINT ("log_bytes_until_running", accept_bytes);
    PRINT ("log_bytes", bytes);
    PRINT ("log_records", records);
    PRINT ("replay_us", replay_us);
#undef PRINT
    if (b->records > 0)
      printf ("job_%s_replay_us_per_record=%.2f\n", kinds[k].name, b->replay_us / b->records);
  }
  return 0;
}
