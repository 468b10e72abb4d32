/* Suspected tasks on targets that fall silent without a crash. */
#include "base/gr_pack.h"
#include "dag_fixture.h"

#define STEP_MS 20
#define BEAT_MS 1500
#define ENTRY_MS 5000
#define DOWN_MS 3000 /* until a crashed target is back */
#define TARGETS_MAX 32
#define FOR_GOOD INT64_MAX
/* Targets that fall silent under the task, one after the other. */
#define SILENCES 8
#define SCHEDULE_MS 300000
#define RUN_MS 1500
#define CALM_MS 30000
#define GANG_WAIT_MS 500 /* a gang that is not complete after this time has lost a member */

typedef struct {
  const char *name;
  int64_t silent_ms;     /* how long each target is silent */
  bool crash_first;      /* the first target crashes for real, others fall silent */
  bool start_unanswered; /* the target falls silent before it answers the start */
  bool entry_expires;    /* a silent target does not renew its entry either */
  bool gang;
  bool long_running;
} Case;

/* clang-format off */
static const Case cases[] = {
  { .name = "back after the leases have lapsed", .silent_ms = 6000, .crash_first = true },
  { .name = "back after its entry has expired", .silent_ms = 15000, .crash_first = true,
    .entry_expires = true },
  { .name = "listed, never heard of again", .silent_ms = FOR_GOOD, .crash_first = true },
  { .name = "gone for good", .silent_ms = FOR_GOOD, .crash_first = true, .entry_expires = true },
  { .name = "no crash at all", .silent_ms = 6000 },
  { .name = "no crash, gone for good", .silent_ms = FOR_GOOD, .entry_expires = true },
  { .name = "start unanswered, back", .silent_ms = 6000, .crash_first = true,
    .start_unanswered = true },
  { .name = "start unanswered, gone", .silent_ms = FOR_GOOD, .crash_first = true,
    .start_unanswered = true, .entry_expires = true },
  { .name = "member of a gang, back", .silent_ms = 6000, .crash_first = true, .gang = true },
  { .name = "member of a gang, gone", .silent_ms = FOR_GOOD, .crash_first = true, .gang = true,
    .entry_expires = true },
  { .name = "long-running, back", .silent_ms = 6000, .crash_first = true, .long_running = true },
  { .name = "long-running, gone", .silent_ms = FOR_GOOD, .crash_first = true, .entry_expires = true,
    .long_running = true },
};
/* clang-format on */

typedef struct {
  DagTaskRef task;
  int64_t run, started_at;
} Run;

typedef struct {
  int64_t silent_until, seen_at, lease;
  int generation;
  bool listed;
  Run runs[2];
  int run_count;
  DagEnd ends[64];
  int end_count;
} Target;

typedef struct {
  Fixture fixture;
  const Case *test;
  Target targets[TARGETS_MAX];
  int target_count;
  int silences;
  GrName crashed_id; /* of the target that crashed; empty: none */
  bool crashed;
} Scene;

static DagTargetInfo
info_of (const Scene *scene, int number)
{
  DagTargetInfo info = target_info (number);
  info.id = gr_name_format ("t%d-%d", number, scene->targets[number].generation);
  info.vm = gr_name_format ("v%d", number);
  info.incarnation = scene->targets[number].generation;
  return info;
}

static void
see_target (Scene *scene, int number)
{
  DagTargetInfo info = info_of (scene, number);
  scene->targets[number].listed = true;
  scene->targets[number].seen_at = scene->fixture.now_ms;
  dag_target_seen (scene->fixture.dag, &info, scene->fixture.now_ms);
}

static void
add_target (Scene *scene)
{
  assert_true (scene->target_count < TARGETS_MAX);
  scene->targets[scene->target_count].generation = 1;
  see_target (scene, scene->target_count++);
}

static bool
is_silent (const Scene *scene, int number)
{
  return scene->fixture.now_ms < scene->targets[number].silent_until;
}

/* The target is silent from now on, or crashes; another one takes its place. */
static void
fall_silent (Scene *scene, int number)
{
  Target *target = &scene->targets[number];
  int64_t now_ms = scene->fixture.now_ms;
  if (scene->test->crash_first && !scene->crashed) {
    scene->crashed = true;
    scene->crashed_id = info_of (scene, number).id;
    target->generation++;
    target->run_count = 0;
    target->end_count = 0;
    target->silent_until = now_ms + DOWN_MS;
  } else if (scene->silences < SILENCES) {
    scene->silences++;
    int64_t silent_ms = scene->test->silent_ms;
    target->silent_until = silent_ms == FOR_GOOD ? FOR_GOOD : now_ms + silent_ms;
  } else {
    return;
  }
  add_target (scene);
}

static void
end_run (Target *target, int at, DagEndKind kind)
{
  Run run = target->runs[at];
  target->runs[at] = target->runs[--target->run_count];
  int64_t number = target->end_count + 1;
  assert_true (number <= 64);
  target->ends[target->end_count++]
      = (DagEnd){ .number = number, .task = run.task, .run = run.run, .kind = kind };
}

/* Number of the target that is named and answers; -1 if there is none. */
static int
reach (const Scene *scene, const GrName *id)
{
  for (int i = 0; i < scene->target_count; i++) {
    DagTargetInfo info = info_of (scene, i);
    if (gr_name_equal (&info.id, id))
      return is_silent (scene, i) ? -1 : i;
  }
  return -1;
}

static void
handle_start (Scene *scene, const DagCmd *cmd)
{
  int64_t now_ms = scene->fixture.now_ms;
  int number = reach (scene, &cmd->target.target);
  bool answered = number >= 0;
  if (number >= 0) {
    Target *target = &scene->targets[number];
    target->runs[target->run_count++] = (Run){ cmd->u.start.task, cmd->u.start.run, now_ms };
    target->lease = cmd->u.start.lease_until;
    assert_true (target->run_count <= 2);
    bool unlucky = cmd->u.start.task.index == 0;
    bool confirmed = !unlucky || !scene->crashed || !scene->test->start_unanswered;
    answered = confirmed || scene->silences == SILENCES;
    if (unlucky)
      fall_silent (scene, number);
  }
  dag_handle_start_result (scene->fixture.dag, &cmd->u.start.task, cmd->u.start.run,
                           answered ? DAG_ORDER_OK : DAG_ORDER_LOST, now_ms, now_ms);
}

static void
handle_stop (Scene *scene, const DagCmd *cmd)
{
  int number = reach (scene, &cmd->target.target);
  for (int r = 0; number >= 0 && r < scene->targets[number].run_count; r++) {
    if (scene->targets[number].runs[r].run == cmd->u.stop.run
        && scene->targets[number].runs[r].task.index == cmd->u.stop.task.index)
      end_run (&scene->targets[number], r, DAG_END_STOPPED);
  }
  dag_handle_stop_result (scene->fixture.dag, &cmd->u.stop.task, cmd->u.stop.run,
                          number >= 0 ? DAG_ORDER_OK : DAG_ORDER_LOST, scene->fixture.now_ms);
}

static void
handle_hold (Scene *scene, const DagCmd *cmd)
{
  int64_t now_ms = scene->fixture.now_ms;
  int number = reach (scene, &cmd->target.target);
  if (number < 0) {
    /* The system of a crashed target answers for it. */
    bool closed = gr_name_equal (&cmd->target.target, &scene->crashed_id);
    dag_handle_hold_result (scene->fixture.dag, &cmd->target.target, cmd->u.hold.token,
                            closed ? DAG_ORDER_CLOSED : DAG_ORDER_LOST, NULL, now_ms);
    return;
  }
  Target *target = &scene->targets[number];
  if (target->lease < cmd->u.hold.lease_until)
    target->lease = cmd->u.hold.lease_until;
  DagRunReport reports[2];
  for (int r = 0; r < target->run_count; r++)
    reports[r] = (DagRunReport){ .task = target->runs[r].task,
                                 .run = target->runs[r].run,
                                 .percent = scene->test->long_running ? 100 : 50,
                                 .usage = -1 };
  DagInventory inventory = { .incarnation = target->generation,
                             .clock_ms = now_ms,
                             .running = reports,
                             .running_count = (size_t) target->run_count,
                             .ends = target->ends,
                             .end_count = (size_t) target->end_count };
  dag_handle_hold_result (scene->fixture.dag, &cmd->target.target, cmd->u.hold.token, DAG_ORDER_OK,
                          &inventory, now_ms);
}

static void
run_commands (Scene *scene)
{
  DagCmd cmds[128];
  size_t count = take_cmds (scene->fixture.dag, cmds, 128);
  for (size_t i = 0; i < count; i++) {
    if (cmds[i].type == DAG_CMD_START)
      handle_start (scene, &cmds[i]);
    else if (cmds[i].type == DAG_CMD_STOP)
      handle_stop (scene, &cmds[i]);
    else if (cmds[i].type == DAG_CMD_HOLD)
      handle_hold (scene, &cmds[i]);
  }
}

/* True if both members of the gang are at work and can see each other. */
static bool
is_complete (const Scene *scene, int64_t run)
{
  int members = 0;
  for (int i = 0; i < scene->target_count; i++) {
    for (int r = 0; r < scene->targets[i].run_count; r++)
      members += scene->targets[i].runs[r].run == run && !is_silent (scene, i);
  }
  return members == 2;
}

/* Ends the runs of gangs that have lost a member. */
static void
break_gangs (Scene *scene)
{
  int64_t now_ms = scene->fixture.now_ms;
  for (int i = 0; i < scene->target_count; i++) {
    Target *target = &scene->targets[i];
    for (int r = target->run_count; r-- > 0;) {
      bool waited = now_ms - target->runs[r].started_at >= GANG_WAIT_MS;
      if (!is_silent (scene, i) && waited && !is_complete (scene, target->runs[r].run))
        end_run (target, r, DAG_END_BROKEN);
    }
  }
}

/* Ends runs that are done or whose lease has lapsed, renews the entry or lets it expire. */
static void
run_target (Scene *scene, int number)
{
  Target *target = &scene->targets[number];
  int64_t now_ms = scene->fixture.now_ms;
  bool silent = is_silent (scene, number);
  for (int r = target->run_count; r-- > 0;) {
    bool done = !scene->test->long_running && now_ms - target->runs[r].started_at >= RUN_MS
                && (!scene->test->gang || is_complete (scene, target->runs[r].run));
    if (now_ms > target->lease)
      end_run (target, r, DAG_END_LAPSED);
    else if (done && !silent)
      end_run (target, r, DAG_END_DONE);
  }
  bool crashed = silent && target->generation > 1;
  if ((!silent || (!scene->test->entry_expires && !crashed)) && now_ms - target->seen_at >= BEAT_MS)
    see_target (scene, number);
  if (target->listed && now_ms - target->seen_at >= ENTRY_MS) {
    target->listed = false;
    GrName id = info_of (scene, number).id;
    dag_target_unlisted (scene->fixture.dag, &id, now_ms, now_ms);
  }
}

static void
advance (Scene *scene)
{
  scene->fixture.now_ms += STEP_MS;
  for (int i = 0; i < scene->target_count; i++)
    run_target (scene, i);
  if (scene->test->gang)
    break_gangs (scene);
  dag_tick (scene->fixture.dag, scene->fixture.now_ms);
  run_commands (scene);
  store (&scene->fixture);
  run_commands (scene);
}

static bool
is_at_work (const Scene *scene)
{
  for (int i = 0; i < scene->target_count; i++) {
    if (!is_silent (scene, i) && scene->targets[i].run_count > 0)
      return true;
  }
  return false;
}

/* Returns false, with a message, if the job fails or does not go on once no target is silent under
   it any more. */
static bool
check_case (const Case *test)
{
  Scene scene = { .fixture = new_fixture (false, 0, 0), .test = test };
  DagStepSpec step = step_of (test->gang ? 2 : 1, 20000, test->gang);
  step.long_running = test->long_running;
  GrName id = gr_name ("job");
  submit (&scene.fixture, &step, 1, NULL);
  for (int i = 0; i < 3; i++)
    add_target (&scene);
  int64_t end = scene.fixture.now_ms + SCHEDULE_MS;
  int64_t calm_end = INT64_MAX;
  DagJobState state = DAG_JOB_QUEUED;
  while (scene.fixture.now_ms < end && scene.fixture.now_ms < calm_end
         && state < DAG_JOB_COMPLETED) {
    advance (&scene);
    if (scene.silences == SILENCES && calm_end == INT64_MAX)
      calm_end = scene.fixture.now_ms + CALM_MS;
    state = dag_status (scene.fixture.dag, &id);
  }
  bool ok = scene.silences == SILENCES
            && (test->long_running ? state < DAG_JOB_COMPLETED && is_at_work (&scene)
                                   : state == DAG_JOB_COMPLETED);
  print_message ("%-36s silent targets %d of %d, job %s after %lld ms\n", test->name,
                 scene.silences, SILENCES, dag_job_state_name (state),
                 (long long) (scene.fixture.now_ms + SCHEDULE_MS - end));
  dag_free (scene.fixture.dag);
  return ok;
}

/* Guards against a job that is given up although at most one target has crashed under it: the
   others only fell silent, and came back or were never heard of again. */
static void
silent_targets_do_not_end_a_job (void **state)
{
  (void) state;
  bool ok = true;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ok &= check_case (&cases[i]);
  assert_true (ok);
}

/* A progress record whose only task waits, is suspected and has these crashes; the number of unsure
   ones is in the bits that earlier versions used. */
static GrBuf
pack_waiting_suspect (int crashes, int unsure)
{
  GrBuf out = { 0 };
  msgpack_packer packer;
  gr_pack_init (&packer, &out);
  msgpack_pack_array (&packer, 5);
  msgpack_pack_int (&packer, 1);
  msgpack_pack_int (&packer, DAG_JOB_IN_PROGRESS);
  gr_pack_bool (&packer, true);
  msgpack_pack_int (&packer, 0);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_array (&packer, 9);
  msgpack_pack_int (&packer, unsure << 8);
  msgpack_pack_int (&packer, 4); /* run */
  msgpack_pack_int (&packer, 0); /* failures */
  gr_pack_str (&packer, GR_STR (""));
  msgpack_pack_int (&packer, 0); /* incarnation */
  gr_pack_str (&packer, GR_STR (""));
  msgpack_pack_int (&packer, crashes);
  msgpack_pack_int (&packer, 0); /* crashes at once */
  gr_pack_bool (&packer, true);
  return out;
}

/* Submits "job" to one scheduler and loads its record, with the given progress, into another. */
static Fixture
load_suspect (int crashes, int unsure)
{
  Fixture former = new_fixture (false, 0, 0);
  Fixture fixture = new_fixture (false, 0, 0);
  DagStepSpec step = step_of (1, 20000, false);
  submit (&former, &step, 1, NULL);
  DagRecords records = { 0 };
  dag_take_batch (former.dag, &records);
  GrErr err = { 0 };
  assert_true (dag_load (fixture.dag, gr_buf_str (&records.items[0].key),
                         gr_buf_str (&records.items[0].value), fixture.now_ms, &err));
  GrBuf progress = pack_waiting_suspect (crashes, unsure);
  assert_true (
      dag_load (fixture.dag, GR_STR ("pjob"), gr_buf_str (&progress), fixture.now_ms, &err));
  gr_buf_clear (&progress);
  dag_records_clear (&records);
  dag_free (former.dag);
  dag_loaded (fixture.dag, fixture.now_ms);
  return fixture;
}

/* Guards against a job that a new leader gives up after one crash because the records of an earlier
   version count silent targets as unsure crashes. The others still count. */
static void
unsure_crashes_of_earlier_records_do_not_count (void **state)
{
  (void) state;
  static const struct {
    int crashes, unsure;
    DagJobState expected;
  } records[] = { { 4, 4, DAG_JOB_IN_PROGRESS },
                  { 3, 2, DAG_JOB_IN_PROGRESS },
                  { 2, 0, DAG_JOB_FAILED },
                  { 5, 3, DAG_JOB_FAILED } };
  static const Case crash = { .name = "one crash", .crash_first = true };
  GrName id = gr_name ("job");
  for (size_t i = 0; i < sizeof records / sizeof records[0]; i++) {
    Scene scene = { .fixture = load_suspect (records[i].crashes, records[i].unsure),
                    .test = &crash,
                    .silences = SILENCES };
    add_target (&scene);
    int64_t end = scene.fixture.now_ms + DOWN_MS + RUN_MS;
    while (scene.fixture.now_ms < end)
      advance (&scene);
    assert_true (scene.crashed);
    assert_int_equal (dag_status (scene.fixture.dag, &id), records[i].expected);
    dag_free (scene.fixture.dag);
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (silent_targets_do_not_end_a_job),
    cmocka_unit_test (unsure_crashes_of_earlier_records_do_not_count),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
