/* Speeds of targets: filter, fading, and classes of like speed. */
#include "learn/learn_speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Before any run a target is expected within about a factor of 1.65 of the mean. */
#define PRIOR_VARIANCE 0.25
/* A value that is not observed has lost most of its weight after this time, so that a target that
   was slow for a while is tried again. */
#define FADE_MS 300000.0
/* Run times of one step are taken to differ by a fifth until some have been compared. */
#define NOISE_INITIAL 0.04
#define NOISE_MIN 0.01
#define NOISE_MAX 1.0
/* Weight of one comparison in the moving average of the noise. */
#define NOISE_WEIGHT 0.005
/* The variance of a speed is at least that of the noise divided by this, so that about the newest
   20 ends decide and a change of the speed is followed. */
#define MEMORY_ENDS 20
/* Deviations count up to this multiple of their standard deviation: few runs take many times as
   long as others. */
#define CLIP 2.5
/* A restart may bring other hardware. */
#define RESTART_VARIANCE 0.06
/* Classes differ by at least this multiple of the standard deviation of their members. Splitting
   equal targets by their errors gives 1.6. */
#define CLASS_SEPARATION 3.0
/* Smaller differences (log 1.1) are below what the objective of a job allows for. */
#define CLASS_MIN_DIFFERENCE 0.095
/* Targets above this variance do not shape the classes. */
#define CLASS_MAX_VARIANCE 0.04

void
learn_noise_init (LearnNoise *noise)
{
  noise->variance = NOISE_INITIAL;
}

void
learn_speed_init (LearnSpeed *speed, int64_t now_ms)
{
  *speed = (LearnSpeed){ .variance = PRIOR_VARIANCE, .at_ms = now_ms };
}

void
learn_speed_fade (LearnSpeed *speed, int64_t now_ms)
{
  if (now_ms <= speed->at_ms)
    return;
  double kept = exp (-(double) (now_ms - speed->at_ms) / FADE_MS);
  speed->mean *= kept;
  speed->variance = PRIOR_VARIANCE - (PRIOR_VARIANCE - speed->variance) * kept * kept;
  speed->at_ms = now_ms;
}

void
learn_speed_restart (LearnSpeed *speed, int64_t now_ms)
{
  learn_speed_fade (speed, now_ms);
  speed->variance += RESTART_VARIANCE;
  if (speed->variance > PRIOR_VARIANCE)
    speed->variance = PRIOR_VARIANCE;
}

double
learn_speed_factor (const LearnSpeed *speed)
{
  return exp (speed->mean);
}

void
learn_work_init (LearnWork *work, double expected_ms, double log_variance)
{
  *work = (LearnWork){ .mean = log (expected_ms < 1 ? 1 : expected_ms), .variance = log_variance };
}

static double
clip (double value, double limit)
{
  return value < -limit ? -limit : value > limit ? limit : value;
}

/* Moves the speed by its part of the deviation, whose variance is given. */
static void
update_speed (LearnSpeed *speed, double deviation, double variance, const LearnNoise *noise)
{
  double gain = speed->variance / variance;
  speed->mean -= gain * deviation;
  speed->variance *= 1 - gain;
  double floor = noise->variance / MEMORY_ENDS;
  if (speed->variance < floor)
    speed->variance = floor;
}

void
learn_speed_observe (LearnSpeed *speed, LearnWork *work, LearnNoise *noise, double run_ms,
                     int64_t now_ms)
{
  learn_speed_fade (speed, now_ms);
  double variance = work->variance + speed->variance + noise->variance;
  double limit = CLIP * sqrt (variance);
  double deviation = clip (log (run_ms < 1 ? 1 : run_ms) - (work->mean - speed->mean), limit);
  double work_gain = work->variance / variance;
  if (work->ends > 0) {
    double excess = deviation * deviation - variance;
    noise->variance += NOISE_WEIGHT * clip (excess, variance);
    noise->variance = fmin (fmax (noise->variance, NOISE_MIN), NOISE_MAX);
  }
  update_speed (speed, deviation, variance, noise);
  work->mean += work_gain * deviation;
  work->variance *= 1 - work_gain;
  work->ends++;
}

void
learn_speed_compare (LearnSpeed *speed, double run_ms, const LearnSpeed *other, double other_ms,
                     const LearnNoise *noise, int64_t now_ms)
{
  learn_speed_fade (speed, now_ms);
  double variance = speed->variance + other->variance + 2 * noise->variance;
  double ratio = log ((run_ms < 1 ? 1 : run_ms) / (other_ms < 1 ? 1 : other_ms));
  double deviation = clip (ratio - (other->mean - speed->mean), CLIP * sqrt (variance));
  update_speed (speed, deviation, variance, noise);
}

static int
compare_speeds (const void *a, const void *b)
{
  const LearnSpeed *x = *(LearnSpeed *const *) a, *y = *(LearnSpeed *const *) b;
  return x->mean < y->mean ? -1 : x->mean > y->mean;
}

/* Moves the values that are well known to the front, and their mean to 0. Returns their number. */
static size_t
centre (LearnSpeed **speeds, size_t count)
{
  size_t known = 0;
  double sum = 0;
  for (size_t i = 0; i < count; i++) {
    LearnSpeed *speed = speeds[i];
    if (speed->variance > CLASS_MAX_VARIANCE)
      continue;
    sum += speed->mean;
    speeds[i] = speeds[known];
    speeds[known++] = speed;
  }
  for (size_t i = 0; i < known; i++)
    speeds[i]->mean -= sum / (double) known;
  return known;
}

/* Part of the sorted values. */
typedef struct {
  size_t from, to;
} Range;

static double
mean_of (LearnSpeed **speeds, Range range)
{
  double sum = 0;
  for (size_t i = range.from; i < range.to; i++)
    sum += speeds[i]->mean;
  return sum / (double) (range.to - range.from);
}

/* Finds the split of the range with the greatest variance between its parts (Otsu). Returns false
   if the parts are not clearly different. */
static bool
find_split (LearnSpeed **speeds, Range range, size_t *split)
{
  double count = (double) (range.to - range.from);
  double total = 0, variance = 0, sum = 0, best = 0, difference = 0;
  for (size_t i = range.from; i < range.to; i++) {
    total += speeds[i]->mean;
    variance += speeds[i]->variance / count;
  }
  for (size_t i = range.from; i + 1 < range.to; i++) {
    sum += speeds[i]->mean;
    double below = (double) (i + 1 - range.from), above = count - below;
    double apart = (total - sum) / above - sum / below;
    if (apart * apart * below * above <= best)
      continue;
    best = apart * apart * below * above;
    difference = apart;
    *split = i + 1;
  }
  return difference > CLASS_MIN_DIFFERENCE && difference > CLASS_SEPARATION * sqrt (variance);
}

/* Splits the ranges, which are in order, until no two parts are clearly different. */
static size_t
split_classes (LearnSpeed **speeds, size_t known, Range ranges[LEARN_SPEED_CLASSES_MAX])
{
  size_t count = 1;
  ranges[0] = (Range){ 0, known };
  for (size_t i = 0; i < count && count < LEARN_SPEED_CLASSES_MAX;) {
    size_t split = 0;
    if (!find_split (speeds, ranges[i], &split)) {
      i++;
      continue;
    }
    memmove (&ranges[i + 1], &ranges[i], (count - i) * sizeof *ranges);
    ranges[i].to = split;
    ranges[i + 1].from = split;
    count++;
  }
  return count;
}

void
learn_speed_classify (LearnSpeed **speeds, size_t count, LearnClasses *classes)
{
  Range ranges[LEARN_SPEED_CLASSES_MAX];
  size_t known = centre (speeds, count);
  *classes = (LearnClasses){ .count = 1, .factor = { 1 } };
  if (known > 1) {
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    qsort (speeds, known, sizeof *speeds, compare_speeds);
    classes->count = split_classes (speeds, known, ranges);
  }
  for (size_t c = 0; c < classes->count && known > 1; c++)
    classes->factor[c] = exp (mean_of (speeds, ranges[c]));
  for (size_t i = 0; i < count; i++) {
    double factor = learn_speed_factor (speeds[i]);
    int32_t nearest = 0;
    for (size_t c = 1; c < classes->count; c++) {
      if (fabs (log (factor / classes->factor[c])) < fabs (log (factor / classes->factor[nearest])))
        nearest = (int32_t) c;
    }
    speeds[i]->speed_class = nearest;
  }
}

void
learn_speed_rank (const LearnClasses *classes, double needed, int32_t rank[LEARN_SPEED_CLASSES_MAX])
{
  size_t first = 0;
  while (first < classes->count && classes->factor[first] < needed)
    first++;
  int32_t next = 0;
  for (size_t c = first; c < classes->count; c++)
    rank[c] = next++;
  for (size_t c = first; c-- > 0;)
    rank[c] = next++;
}
