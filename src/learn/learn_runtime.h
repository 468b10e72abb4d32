/* Run times of tasks, learned for each kind of work: a queue, or a queue and an image.

   Designed for short work with tight objectives beside long work, with estimates that are off by up
   to 90%.

   The logarithm of the run time at the mean speed is a line over that of the estimate, fitted with
   fading weights: useless estimates lose their influence, good ones keep it. Quantiles come from a
   fading histogram of the errors. Until the line has predicted better than both the estimate
   and the baseline, which is what the caller expects without this table, the baseline is returned:
   correct estimates change nothing.

   Pure: no I/O, no clock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Most kinds in a table; a further one replaces the least recently observed. */
#define LEARN_KINDS_MAX 64
/* Bins of the histogram of errors, each a tenth in the logarithm. */
#define LEARN_ERROR_BINS 81

/* Model of one kind. Sums have fading weights. */
typedef struct {
  uint64_t kind;
  int64_t used; /* number of the newest observation of the table that was of this kind */
  double weight;
  double x, y;   /* means of the logarithms of estimate and run time */
  double xx, xy; /* sums of squared deviations of x and of products of deviations */
  double errors[LEARN_ERROR_BINS];
  /* Moving averages of the squared errors of the estimate, of the baseline and of the line. */
  double estimate_error, baseline_error, line_error;
  bool in_use;                       /* the line predicts better */
  double reported_y, reported_slope; /* as of the last one of LearnRuntimes.changes */
} LearnRuntime;

typedef struct {
  LearnRuntime kinds[LEARN_KINDS_MAX];
  size_t count;
  int64_t observations;
  int64_t changes; /* increases when predictions have clearly changed */
} LearnRuntimes;

/* Model of the kind; NULL if none is known. The pointer is valid until the next observation. */
const LearnRuntime *learn_runtime_find (const LearnRuntimes *table, uint64_t kind);
/* A task has ended after run_ms at the mean speed; baseline_ms is what the caller expected without
   this table. The weights of the tasks of a step add up to 1. */
void learn_runtime_observe (LearnRuntimes *table, uint64_t kind, double estimate_ms,
                            double baseline_ms, double run_ms, double weight);
/* A run was stopped after run_ms: a censored observation, as it would have taken longer. */
void learn_runtime_observe_censored (LearnRuntimes *table, uint64_t kind, double estimate_ms,
                                     double run_ms, double weight);
/* Expected run time at the mean speed; baseline_ms while the model is NULL or not better. */
double learn_runtime_expected (const LearnRuntime *model, double estimate_ms, double baseline_ms);
/* Run time divided by the expected one that a share of the runs does not exceed; 1 while the model
   is NULL or too new. */
double learn_runtime_quantile (const LearnRuntime *model, double share);
/* Adds a stored model. Returns false if it is not plausible or there is no room. */
bool learn_runtime_load (LearnRuntimes *table, const LearnRuntime *model);

#ifdef __cplusplus
}
#endif
