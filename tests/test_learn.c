/* Learned speeds and run times: cases with known work. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "learn/learn_runtime.h"
#include "learn/learn_speed.h"
#include "random_unit.h"

#define TARGETS 12
#define TASKS 6

static uint64_t random_state = 1;

static double
draw (void)
{
  return random_unit (&random_state);
}

/* Run time of a task: 15% noise, and three in a hundred take seven times as long. */
static double
draw_run_ms (double work_ms, double speed)
{
  double noise = exp (0.52 * (draw () + draw () - 1));
  return work_ms * noise * (draw () < 0.03 ? 7 : 1) / speed;
}

typedef struct {
  LearnSpeed speeds[TARGETS];
  LearnNoise noise;
  LearnClasses classes;
  int64_t now_ms;
} Cell;

static Cell
new_cell (void)
{
  Cell cell = { .now_ms = 1000 };
  learn_noise_init (&cell.noise);
  for (int t = 0; t < TARGETS; t++)
    learn_speed_init (&cell.speeds[t], cell.now_ms);
  return cell;
}

/* Steps of TASKS tasks on neighbouring targets, with useless estimates. */
static void
observe_steps (Cell *cell, int steps, double (*speed_of) (int target, int step))
{
  for (int s = 0; s < steps; s++) {
    LearnRun runs[TASKS];
    double work_ms = 300 + 3000 * draw ();
    for (int i = 0; i < TASKS; i++) {
      int t = (s * 5 + i) % TARGETS;
      runs[i] = (LearnRun){ &cell->speeds[t], log (draw_run_ms (work_ms, speed_of (t, s))) };
    }
    cell->now_ms += 100;
    learn_speed_observe (runs, TASKS, work_ms * (0.1 + 1.8 * draw ()), 1, &cell->noise,
                         cell->now_ms);
  }
  LearnSpeed *all[TARGETS];
  for (int t = 0; t < TARGETS; t++)
    all[t] = &cell->speeds[t];
  learn_speed_classify (all, TARGETS, &cell->classes);
}

static double
two_speeds (int target, int step)
{
  (void) step;
  return target % 3 == 0 ? 1.7 : 0.7;
}

static double
equal_speeds (int target, int step)
{
  (void) target, (void) step;
  return 1;
}

static double
first_ends_early (int target, int step)
{
  (void) step;
  return target == 0 ? 1000 : 1;
}

static double
first_alternates (int target, int step)
{
  return target == 0 && step % 2 ? 0.1 : 1;
}

/* Guards against speeds that stay unknown with estimates that are useless, and against speeds that
   are told apart where they do not differ. */
static void
speeds_are_told_apart (void **state)
{
  (void) state;
  Cell cell = new_cell ();
  /* 20 ends for each target. */
  observe_steps (&cell, 20 * TARGETS / TASKS, two_speeds);
  assert_int_equal (cell.classes.count, 2);
  for (int t = 0; t < TARGETS; t++)
    assert_int_equal (cell.speeds[t].speed_class, t % 3 == 0);
  double ratio = cell.classes.factor[1] / cell.classes.factor[0];
  assert_true (fabs (log (ratio / (1.7 / 0.7))) < 0.1);
  cell = new_cell ();
  observe_steps (&cell, 400, equal_speeds);
  assert_int_equal (cell.classes.count, 1);
  assert_true (cell.classes.factor[0] == 1);
}

/* Guards against values that stay wrong, or that make those of other targets wrong, after a target
   has reported ends early or has changed its speed again and again. */
static void
misleading_runs_are_forgotten (void **state)
{
  (void) state;
  double (*const misleading[]) (int, int) = { first_ends_early, first_alternates };
  for (size_t i = 0; i < 2; i++) {
    Cell cell = new_cell ();
    observe_steps (&cell, 100, misleading[i]);
    for (int t = 1; t < TARGETS; t++)
      assert_int_equal (cell.speeds[t].speed_class, cell.speeds[1].speed_class);
    observe_steps (&cell, 100, equal_speeds);
    assert_int_equal (cell.classes.count, 1);
  }
}

/* Guards against a target that is kept away from work for ever because it was slow once. */
static void
idle_targets_return_to_the_mean (void **state)
{
  (void) state;
  Cell cell = new_cell ();
  observe_steps (&cell, 100, two_speeds);
  double variance = cell.speeds[0].variance;
  learn_speed_restart (&cell.speeds[0], cell.now_ms);
  assert_true (cell.speeds[0].variance > variance);
  learn_speed_fade (&cell.speeds[1], cell.now_ms + 2 * 3600000);
  assert_true (fabs (cell.speeds[1].mean) < 0.01);
  assert_true (cell.speeds[1].variance > 0.2);
}

/* Guards against slow targets for work that needs fast ones, and fast ones for work that does not.
 */
static void
targets_are_ranked_by_need (void **state)
{
  (void) state;
  LearnClasses classes = { .count = 3, .factor = { 0.8, 1, 1.25 } };
  static const struct {
    double needed;
    int32_t rank[3];
  } cases[] = { { 0, { 0, 1, 2 } },   { 0.8, { 0, 1, 2 } }, { 0.9, { 2, 0, 1 } },
                { 1.2, { 2, 1, 0 } }, { 2, { 2, 1, 0 } },   { INFINITY, { 2, 1, 0 } } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    int32_t rank[LEARN_SPEED_CLASSES_MAX];
    learn_speed_rank (&classes, cases[i].needed, rank);
    assert_memory_equal (rank, cases[i].rank, sizeof cases[i].rank);
  }
}

/* Observes steps whose work is 1,000 ms times factor; estimates are off by up to error. */
static void
observe (LearnRuntimes *table, int steps, double factor, double error)
{
  for (int s = 0; s < steps; s++) {
    double work = 1000 * factor;
    double estimate = 1000 * (1 + error * (2 * draw () - 1));
    for (int i = 0; i < 3; i++)
      learn_runtime_observe (table, 1, estimate, estimate, draw_run_ms (work, 1), 1.0 / 3);
  }
}

/* Guards against expectations that differ from the caller's without need, follow useless estimates,
   or stay wrong after the work has changed. */
static void
run_times_are_learned (void **state)
{
  (void) state;
  static LearnRuntimes table;
  observe (&table, 15, 1, 0.9);
  assert_true (learn_runtime_expected (learn_runtime_find (&table, 1), 100, 123) == 123);
  observe (&table, 100, 1, 0.9);
  const LearnRuntime *model = learn_runtime_find (&table, 1);
  assert_true (fabs (learn_runtime_expected (model, 200, 200) - 1000) < 300);
  assert_true (fabs (learn_runtime_expected (model, 1800, 1800) - 1000) < 300);
  /* Three runs in a hundred must not decide. */
  assert_true (learn_runtime_quantile (model, 0.9) < 2);
  observe (&table, 150, 10, 0.9);
  assert_true (fabs (learn_runtime_expected (model, 1000, 1000) - 10000) < 3000);
  double before = learn_runtime_expected (model, 1000, 1000);
  learn_runtime_observe_censored (&table, 1, 1000, 10, 1);
  assert_true (learn_runtime_expected (model, 1000, 1000) == before);
  static LearnRuntimes exact;
  observe (&exact, 200, 1, 0);
  assert_true (learn_runtime_expected (learn_runtime_find (&exact, 1), 1000, 1234) == 1234);
}

/* Guards against memory that grows with the names of images, and against kinds in use that new
   names replace. */
static void
kinds_are_bounded (void **state)
{
  (void) state;
  static LearnRuntimes table;
  observe (&table, 50, 1, 0.9);
  for (uint64_t kind = 2; kind < 5000; kind++) {
    learn_runtime_observe (&table, kind, 100, 100, 100, 1);
    learn_runtime_observe (&table, 1, 1000, 1000, 1000, 1);
  }
  assert_int_equal (table.count, LEARN_KINDS_MAX);
  assert_true (learn_runtime_find (&table, 1)->weight > 20);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (speeds_are_told_apart),
    cmocka_unit_test (misleading_runs_are_forgotten),
    cmocka_unit_test (idle_targets_return_to_the_mean),
    cmocka_unit_test (targets_are_ranked_by_need),
    cmocka_unit_test (run_times_are_learned),
    cmocka_unit_test (kinds_are_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
