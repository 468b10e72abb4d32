/* Forwarded calls whose VM starts again before the leader has answered them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "cell_world.h"

/* The VM that leads, and the one that forwards calls to it. */
#define LEADER 1
#define FRONT 0

typedef struct {
  World world;
  bool answered;
  CellAnswer answer;
  size_t records; /* of jobs, when the answer came */
} Scene;

static bool
leader_serves (void *user)
{
  Scene *scene = user;
  const Cell *cell = scene->world.vms[LEADER].cell;
  return cell_is_ready (cell) && ldr_leader_serves (cell->ldr, cell_now (cell));
}

static bool
front_is_linked (void *user)
{
  Scene *scene = user;
  const Cell *cell = scene->world.vms[FRONT].cell;
  return cell_is_ready (cell)
         && net_peers_is_up (cell->peers, &scene->world.vms[LEADER].options.self.vm.vm);
}

static bool
is_answered (void *user)
{
  return ((Scene *) user)->answered;
}

static bool
store_holds_a_call (void *user)
{
  return world_held (&((Scene *) user)->world) > 0;
}

static void
on_answer (void *user, const CellAnswer *answer)
{
  Scene *scene = user;
  scene->answered = true;
  scene->answer = *answer;
  scene->records = scene->world.topics[CELL_TOPIC_JOBS].count;
}

/* Hands the call to the front VM. */
static void
send_call (Scene *scene, CellVerb verb, const char *job)
{
  DagStepSpec step = { .count = 1, .demand.v[GR_RES_CPU_MILLI] = 100, .estimate_ms = 1000 };
  DagJobSpec spec
      = { .id = gr_name (job), .queue = gr_name ("q"), .steps = &step, .step_count = 1 };
  Cell *cell = scene->world.vms[FRONT].cell;
  CellCall call = { .verb = verb,
                    .queue = spec.queue,
                    .job = spec.id,
                    .spec = verb == CELL_VERB_SUBMIT ? &spec : NULL,
                    .deadline_at_ms = cell_now (cell) + WORLD_TIMEOUT_MS };
  scene->answered = false;
  cell_call (cell, &call, on_answer, scene);
}

static void
start (Scene *scene)
{
  world_init (&scene->world);
  world_start (&scene->world, LEADER);
  assert_true (world_run_until (&scene->world, leader_serves, scene));
  world_start (&scene->world, FRONT);
  assert_true (world_run_until (&scene->world, front_is_linked, scene));
  send_call (scene, CELL_VERB_SUBMIT, "known");
  assert_true (world_run_until (&scene->world, is_answered, scene));
  assert_int_equal (scene->answer.kind, CELL_ANSWER_ACCEPTED);
}

/* Guards against jobs that are lost after they were accepted, cancellations that are confirmed and
   have no effect, and known jobs that are denied: a VM forwards a call, is killed while the leader
   waits for the store, and is back when the leader answers. The answer must not be taken for the
   one to a call of the new process. */
static void
answers_to_calls_of_a_killed_process_are_dropped (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    CellVerb old_verb;
    const char *old_job;
    CellVerb verb;
    const char *job;
    CellAnswerKind kind; /* of the true answer */
    bool stored;         /* the true answer comes after a record of the call is stored */
  } cases[] = {
    { "submission, then submission", CELL_VERB_SUBMIT, "old", CELL_VERB_SUBMIT, "new",
      CELL_ANSWER_ACCEPTED, true },
    { "submission, then cancellation", CELL_VERB_SUBMIT, "old", CELL_VERB_CANCEL, "known",
      CELL_ANSWER_CANCELLED, true },
    { "submission, then status", CELL_VERB_SUBMIT, "old", CELL_VERB_STATUS, "known",
      CELL_ANSWER_STATE, false },
    { "cancellation, then submission", CELL_VERB_CANCEL, "known", CELL_VERB_SUBMIT, "new",
      CELL_ANSWER_ACCEPTED, true },
    { "cancellation of an unknown job, then of a known one", CELL_VERB_CANCEL, "old",
      CELL_VERB_CANCEL, "known", CELL_ANSWER_CANCELLED, true },
    { "check of an unknown job, then status of a known one", CELL_VERB_STATUS, "old",
      CELL_VERB_STATUS, "known", CELL_ANSWER_STATE, false },
    { "check of an unknown job, then cancellation", CELL_VERB_STATUS, "old", CELL_VERB_CANCEL,
      "known", CELL_ANSWER_CANCELLED, true },
    { "check of an unknown job, then submission", CELL_VERB_STATUS, "old", CELL_VERB_SUBMIT, "new",
      CELL_ANSWER_ACCEPTED, true },
  };
  size_t failed = 0;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    static Scene scene;
    start (&scene);
    scene.world.hold_answers = true;
    /* As many calls as a process makes before the one under test. */
    world_kill (&scene.world, FRONT);
    world_start (&scene.world, FRONT);
    assert_true (world_run_until (&scene.world, front_is_linked, &scene));
    send_call (&scene, cases[i].old_verb, cases[i].old_job);
    assert_true (world_run_until (&scene.world, store_holds_a_call, &scene));
    world_kill (&scene.world, FRONT);
    world_start (&scene.world, FRONT);
    assert_true (world_run_until (&scene.world, front_is_linked, &scene));
    size_t records = scene.world.topics[CELL_TOPIC_JOBS].count;
    send_call (&scene, cases[i].verb, cases[i].job);
    world_release (&scene.world);
    bool answered = world_run_until (&scene.world, is_answered, &scene);
    if (!answered || scene.answer.kind != cases[i].kind
        || (cases[i].stored && scene.records == records)) {
      print_error ("%s: answered %d, kind %d, %zu new records\n", cases[i].name, answered,
                   (int) scene.answer.kind, scene.records - records);
      failed++;
    }
    world_clear (&scene.world);
  }
  assert_int_equal (failed, 0);
}

/* Guards against a caller who is told "done" for something else than the call asked: an answer that
   names the call but is of another kind is dropped, and the call waits on. */
static void
answers_of_another_kind_are_dropped (void **state)
{
  (void) state;
  static const struct {
    CellVerb verb;
    CellAnswerKind kind;
    bool taken;
  } cases[] = {
    { CELL_VERB_SUBMIT, CELL_ANSWER_CANCELLED, false },
    { CELL_VERB_SUBMIT, CELL_ANSWER_STATE, false },
    { CELL_VERB_SUBMIT, CELL_ANSWER_PENDING, false },
    { CELL_VERB_SUBMIT, CELL_ANSWER_NO_JOB, false },
    { CELL_VERB_SUBMIT, CELL_ANSWER_ACCEPTED, true },
    { CELL_VERB_SUBMIT, CELL_ANSWER_FOREIGN, true },
    { CELL_VERB_CANCEL, CELL_ANSWER_ACCEPTED, false },
    { CELL_VERB_CANCEL, CELL_ANSWER_STATE, false },
    { CELL_VERB_CANCEL, CELL_ANSWER_PENDING, false },
    { CELL_VERB_CANCEL, CELL_ANSWER_FOREIGN, false },
    { CELL_VERB_CANCEL, CELL_ANSWER_CANCELLED, true },
    { CELL_VERB_CANCEL, CELL_ANSWER_NO_JOB, true },
    { CELL_VERB_STATUS, CELL_ANSWER_ACCEPTED, false },
    { CELL_VERB_STATUS, CELL_ANSWER_CANCELLED, false },
    { CELL_VERB_STATUS, CELL_ANSWER_PENDING, false },
    { CELL_VERB_STATUS, CELL_ANSWER_STATE, true },
    { CELL_VERB_STATUS, CELL_ANSWER_NO_JOB, true },
    { CELL_VERB_PENDING, CELL_ANSWER_ACCEPTED, false },
    { CELL_VERB_PENDING, CELL_ANSWER_STATE, false },
    { CELL_VERB_PENDING, CELL_ANSWER_NO_JOB, false },
    { CELL_VERB_PENDING, CELL_ANSWER_PENDING, true },
  };
  static Scene scene;
  start (&scene);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    Cell *cell = scene.world.vms[FRONT].cell;
    send_call (&scene, cases[i].verb, "known");
    CellAnswer answer = { cases[i].kind, 0 };
    cell_calls_handle_answer (cell, cell->calls->id, &answer);
    if (scene.answered != cases[i].taken)
      fail_msg ("verb %d, answer %d: taken %d", (int) cases[i].verb, (int) cases[i].kind,
                scene.answered);
    assert_true (world_run_until (&scene.world, is_answered, &scene));
  }
  world_clear (&scene.world);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (answers_to_calls_of_a_killed_process_are_dropped),
          cmocka_unit_test (answers_of_another_kind_are_dropped) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
