/* Speeds of targets, learned from the run times of tasks.

   Designed for short work with tight objectives beside long work, on targets of unequal speed, with
   estimates that are off by up to 90%.

   The run time of a task is the work of its step divided by the speed of its target, apart from
   noise. All quantities are natural logarithms. Tasks of one step do the same work, so their run
   times compare the targets, however wrong the estimate is. They are compared once all have ended:
   compared earlier, those that end first would make the others look slow.

   Values belong to the caller. Pure: no I/O, no clock. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Most classes of speed that are told apart. */
#define LEARN_SPEED_CLASSES_MAX 8

/* Speed of one target: the logarithm of its factor against the mean of all targets. */
typedef struct {
  double mean;
  double variance;
  int64_t at_ms;       /* time up to which it has faded */
  int32_t speed_class; /* set by learn_speed_classify(); 0 is the slowest */
} LearnSpeed;

/* A run of a step that has ended. */
typedef struct {
  LearnSpeed *speed; /* of its target */
  double log_ms;     /* of its run time */
} LearnRun;

/* Variance of the run times of tasks of one step on one target, shared by all targets. */
typedef struct {
  double variance;
} LearnNoise;

/* Classes of speed, slowest first. */
typedef struct {
  size_t count;                           /* at least 1 */
  double factor[LEARN_SPEED_CLASSES_MAX]; /* mean speed of each class */
} LearnClasses;

void learn_noise_init (LearnNoise *noise);
/* Clamps a stored value to the valid range. */
void learn_noise_check (LearnNoise *noise);
/* Nothing is known of the target. */
void learn_speed_init (LearnSpeed *speed, int64_t now_ms);
/* The value becomes less certain and returns to the mean over time. */
void learn_speed_fade (LearnSpeed *speed, int64_t now_ms);
/* The target has restarted: the value is kept with greater uncertainty. */
void learn_speed_restart (LearnSpeed *speed, int64_t now_ms);
/* Factor, 1 for the mean speed. */
double learn_speed_factor (const LearnSpeed *speed);

/* All runs of a step have ended. expected_ms is the expected run time at the mean speed and
   log_variance the variance of the logarithm of its error: a weaker reference than the other runs.
   Updates the speeds and the noise. Runs of one target must be adjacent. */
void learn_speed_observe (const LearnRun *runs, size_t count, double expected_ms,
                          double log_variance, LearnNoise *noise, int64_t now_ms);

/* Shifts the values so that the mean is 0 and sets the class of each. Two speeds are in different
   classes only if they are clearly different by their uncertainty and by enough to matter; a target
   of which little is known joins the nearest class. Reorders speeds. */
void learn_speed_classify (LearnSpeed **speeds, size_t count, LearnClasses *classes);

/* Fills rank, by class, with the order of preference for work that needs the factor needed, 0
   first: classes that are fast enough from the slowest on, then the others from the fastest on. */
void learn_speed_rank (const LearnClasses *classes, double needed,
                       int32_t rank[LEARN_SPEED_CLASSES_MAX]);

#ifdef __cplusplus
}
#endif
