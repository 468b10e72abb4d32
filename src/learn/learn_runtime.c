/* Run times of tasks: fading regression and histogram of errors. */
#include "learn/learn_runtime.h"

#include <math.h>
#include <string.h>

/* Sum of the weights that the model approaches: an observation fades as newer ones of this total
   weight arrive. */
#define MEMORY_WEIGHT 100.0
/* A model with less weight is not used. */
#define MIN_WEIGHT 20.0
/* Weight of the prior that the run time is proportional to the estimate. */
#define SLOPE_PRIOR 1.0
/* Errors count up to this multiple of the usual one in the regression, and up to ERROR_MAX in the
   comparison of predictions: few runs take many times as long as others. */
#define CLIP 3.0
#define ERROR_MAX 1.0
#define SPREAD_MIN 0.05
/* The line is used once its squared error is below this share of that of the other predictions, and
   until it is above that error. */
#define BETTER_SHARE 0.8
/* Squared error of predictions that are off by a tenth. The line is not expected to be better. */
#define OTHER_ERROR_MIN 0.01
/* Least change of predictions (log 1.2) that counts in LearnRuntimes.changes. */
#define CLEAR_CHANGE 0.18
#define BINS_PER_UNIT 10.0
/* Largest logarithm that is predicted, or accepted in a stored value: beyond a year in ms. */
#define LOG_MAX 25.0

static double
log_ms (double ms)
{
  return log (ms < 1 ? 1 : ms);
}

static double
clip (double value, double limit)
{
  return value < -limit ? -limit : value > limit ? limit : value;
}

const LearnRuntime *
learn_runtime_find (const LearnRuntimes *table, uint64_t kind)
{
  for (size_t i = 0; i < table->count; i++) {
    if (table->kinds[i].kind == kind)
      return &table->kinds[i];
  }
  return NULL;
}

static LearnRuntime *
get_model (LearnRuntimes *table, uint64_t kind)
{
  LearnRuntime *oldest = &table->kinds[0];
  for (size_t i = 0; i < table->count; i++) {
    LearnRuntime *model = &table->kinds[i];
    if (model->kind == kind)
      return model;
    if (model->used < oldest->used)
      oldest = model;
  }
  if (table->count < LEARN_KINDS_MAX)
    oldest = &table->kinds[table->count++];
  *oldest = (LearnRuntime){ .kind = kind };
  return oldest;
}

static double
slope (const LearnRuntime *model)
{
  return (model->xy + SLOPE_PRIOR) / (model->xx + SLOPE_PRIOR);
}

static double
predict (const LearnRuntime *model, double x)
{
  if (model->weight <= 0)
    return x;
  double y = model->y + slope (model) * (x - model->x);
  return y < 0 ? 0 : y > LOG_MAX ? LOG_MAX : y;
}

/* Error that the share of observations does not exceed. */
static double
error_quantile (const LearnRuntime *model, double share)
{
  int middle = LEARN_ERROR_BINS / 2;
  double total = 0, sum = 0;
  for (int i = 0; i < LEARN_ERROR_BINS; i++)
    total += model->errors[i];
  for (int i = 0; i < LEARN_ERROR_BINS; i++) {
    double next = sum + model->errors[i];
    if (model->errors[i] > 0 && next >= share * total) {
      double part = (share * total - sum) / model->errors[i];
      return ((double) i - (double) middle - 0.5 + part) / BINS_PER_UNIT;
    }
    sum = next;
  }
  return 0;
}

/* Standard deviation of the errors, estimated from their middle two thirds. */
static double
spread (const LearnRuntime *model)
{
  double value = (error_quantile (model, 0.84) - error_quantile (model, 0.16)) / 2;
  return value > SPREAD_MIN ? value : SPREAD_MIN;
}

static void
fade (LearnRuntime *model, double weight)
{
  double kept = 1 - weight / MEMORY_WEIGHT;
  model->weight *= kept;
  model->xx *= kept;
  model->xy *= kept;
  for (int i = 0; i < LEARN_ERROR_BINS; i++)
    model->errors[i] *= kept;
}

static void
add_error (LearnRuntime *model, double error, double weight)
{
  int middle = LEARN_ERROR_BINS / 2;
  double bin = clip (round (error * BINS_PER_UNIT), middle);
  model->errors[(int) bin + middle] += weight;
}

static void
add_point (LearnRuntime *model, double x, double y, double weight)
{
  model->weight += weight;
  double share = weight / model->weight;
  double dx = x - model->x, dy = y - model->y;
  model->x += share * dx;
  model->y += share * dy;
  model->xx += weight * dx * (x - model->x);
  model->xy += weight * dx * (y - model->y);
}

/* Updates the model by a run time that exceeds the prediction by error, in logarithms. */
static void
learn (LearnRuntime *model, double x, double error, double weight)
{
  double limit = model->weight < MIN_WEIGHT ? LOG_MAX : CLIP * spread (model);
  double y = predict (model, x) + clip (error, limit);
  fade (model, weight);
  add_error (model, error, weight);
  add_point (model, x, y, weight);
}

static double
squared (double error)
{
  double value = clip (error, ERROR_MAX);
  return value * value;
}

/* Decides by their errors whether the line is used. */
static void
compare (LearnRuntime *model, double line_error, double estimate_error, double baseline_error,
         double weight)
{
  double share = weight / (model->weight < MIN_WEIGHT ? MIN_WEIGHT : model->weight);
  model->line_error += share * (squared (line_error) - model->line_error);
  model->estimate_error += share * (squared (estimate_error) - model->estimate_error);
  model->baseline_error += share * (squared (baseline_error) - model->baseline_error);
  if (model->weight < MIN_WEIGHT)
    return;
  double other = fmin (model->estimate_error, model->baseline_error);
  if (model->in_use)
    model->in_use = model->line_error <= other;
  else
    model->in_use = other > OTHER_ERROR_MIN && model->line_error < BETTER_SHARE * other;
}

/* Counts a change of what the model predicts, if it is clear. */
static void
note_change (LearnRuntimes *table, LearnRuntime *model, bool was_in_use)
{
  bool moved = model->in_use
               && (fabs (model->y - model->reported_y) > CLEAR_CHANGE
                   || fabs (slope (model) - model->reported_slope) > CLEAR_CHANGE);
  if (!moved && model->in_use == was_in_use)
    return;
  table->changes++;
  model->reported_y = model->y;
  model->reported_slope = slope (model);
}

void
learn_runtime_observe (LearnRuntimes *table, uint64_t kind, double estimate_ms, double baseline_ms,
                       double run_ms, double weight)
{
  LearnRuntime *model = get_model (table, kind);
  double x = log_ms (estimate_ms), y = log_ms (run_ms);
  double error = y - predict (model, x);
  bool was_in_use = model->in_use;
  model->used = ++table->observations;
  compare (model, error, y - x, y - log_ms (baseline_ms), weight);
  learn (model, x, error, weight);
  note_change (table, model, was_in_use);
}

void
learn_runtime_observe_censored (LearnRuntimes *table, uint64_t kind, double estimate_ms,
                                double run_ms, double weight)
{
  LearnRuntime *model = get_model (table, kind);
  double x = log_ms (estimate_ms);
  double error = log_ms (run_ms) - predict (model, x);
  model->used = ++table->observations;
  /* A lower bound that is below the prediction does not contradict it. */
  if (error > 0 && model->weight > 0)
    learn (model, x, error, weight);
}

double
learn_runtime_expected (const LearnRuntime *model, double estimate_ms, double baseline_ms)
{
  return model && model->in_use ? exp (predict (model, log_ms (estimate_ms))) : baseline_ms;
}

double
learn_runtime_quantile (const LearnRuntime *model, double share)
{
  return model && model->weight >= MIN_WEIGHT ? exp (error_quantile (model, share)) : 1;
}

static bool
is_within (double value, double min, double max)
{
  return value >= min && value <= max;
}

bool
learn_runtime_load (LearnRuntimes *table, const LearnRuntime *model)
{
  bool ok = table->count < LEARN_KINDS_MAX && !learn_runtime_find (table, model->kind)
            && is_within (model->weight, 0, MEMORY_WEIGHT) && is_within (model->x, 0, LOG_MAX)
            && is_within (model->y, 0, LOG_MAX)
            && is_within (model->xx, 0, LOG_MAX * LOG_MAX * MEMORY_WEIGHT)
            && is_within (fabs (model->xy), 0, LOG_MAX * LOG_MAX * MEMORY_WEIGHT);
  for (int i = 0; i < LEARN_ERROR_BINS && ok; i++)
    ok = is_within (model->errors[i], 0, MEMORY_WEIGHT);
  if (!ok)
    return false;
  table->kinds[table->count++] = *model;
  table->changes++;
  return true;
}
