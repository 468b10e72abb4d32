/* Speeds of targets: filter, fading, and classes of similar speed. */
#include "learn/learn_speed.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Before any run a target is expected within about a factor of 1.65 of the mean. */
#define PRIOR_VARIANCE 0.25
/* A value that is not observed has lost most of its weight after this time, so that a target that
   was slow for a while is tried again. */
#define FADE_MS 1200000.0
/* Run times of one step are taken to differ by a fifth until some have been compared. */
#define NOISE_INITIAL 0.04
#define NOISE_MIN 0.01
#define NOISE_MAX 1.0
/* Weight of one comparison in the moving average of the noise. */
#define NOISE_WEIGHT 0.005
/* The variance of a speed is at least that of the noise divided by this, so that about the newest
   50 runs decide and a change of the speed is followed. */
#define MEMORY_ENDS 50
/* Deviations count up to this multiple of their standard deviation: few runs take many times as
   long as others. */
#define CLIP 2.5
/* Factor of the variance after an outlier. At 2, three very long runs in a hundred kept the
   variance at twice what it is now. */
#define OUTLIER_GROWTH 1.5
/* A restart may bring other hardware. */
#define RESTART_VARIANCE 0.06
/* Classes differ by at least this multiple of the standard deviation of the difference between two
   of their members. Splitting equal targets by their errors gives 1.1. At 2.5 one of
   12 schedules of equal targets had two classes for a time. */
#define CLASS_SEPARATION 3.0
/* Smaller differences (log 1.1) are below what the objective of a job allows for. */
#define CLASS_MIN_DIFFERENCE 0.095
/* Targets above this variance, a standard deviation of about a tenth, do not shape the classes: at
   0.03 single targets of a cell of equal ones were classes of their own for some seconds. Those
   above the second limit do not count for the mean. */
#define CLASS_MAX_VARIANCE 0.008
#define ANCHOR_MAX_VARIANCE 0.1

void
learn_noise_init (LearnNoise *noise)
{
  noise->variance = NOISE_INITIAL;
}

void
learn_noise_check (LearnNoise *noise)
{
  noise->variance = fmin (fmax (noise->variance, NOISE_MIN), NOISE_MAX);
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

static double
clip (double value, double limit)
{
  return value < -limit ? -limit : value > limit ? limit : value;
}

/* An estimate with its variance. */
typedef struct {
  double mean, variance;
} Estimate;

/* Combines two independent estimates of the same value. */
static Estimate
combine (Estimate a, Estimate b)
{
  double sum = a.variance + b.variance;
  return (Estimate){ (a.mean * b.variance + b.mean * a.variance) / sum,
                     a.variance * b.variance / sum };
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;
  return x < y ? -1 : x > y;
}

/* Median of the work of the runs of a step, computed with the present speeds, and the deviation
   from it above which a run is an outlier. */
typedef struct {
  double median, limit;
} OutlierLimit;

static OutlierLimit
find_outlier_limit (const LearnRun *runs, size_t count, const LearnNoise *noise)
{
  double variance = noise->variance;
  double *work = malloc (count * sizeof *work);
  if (!work)
    abort ();
  for (size_t i = 0; i < count; i++) {
    work[i] = runs[i].log_ms + runs[i].speed->mean;
    variance += runs[i].speed->variance / (double) count;
  }
  qsort (work, count, sizeof *work, compare_doubles);
  double median = (work[(count - 1) / 2] + work[count / 2]) / 2;
  free (work);
  return (OutlierLimit){ median, CLIP * sqrt (variance) };
}

/* Adapts the noise to deviations of runs on one target from their mean. */
static void
update_noise (LearnNoise *noise, const double *work, size_t count, double mean)
{
  if (count < 2)
    return;
  double scale = (double) count / (double) (count - 1);
  for (size_t i = 0; i < count; i++) {
    double squared = (work[i] - mean) * (work[i] - mean) * scale;
    noise->variance
        += NOISE_WEIGHT * (fmin (squared, CLIP * CLIP * noise->variance) - noise->variance);
  }
  learn_noise_check (noise);
}

/* Updates the speed of a target by the work of its runs, computed with the present speed, and by a
   reference. An outlier is slow by itself or shows that the speed has changed; it makes the speed
   less certain, so that the next runs decide which. */
static void
update_speed (LearnSpeed *speed, Estimate work, Estimate reference, bool outlier, double floor)
{
  double variance = speed->variance + work.variance + reference.variance;
  double limit = CLIP * sqrt (variance);
  double deviation = work.mean - reference.mean;
  outlier |= fabs (deviation) > limit;
  double gain = speed->variance / variance;
  speed->mean -= gain * clip (deviation, limit);
  speed->variance *= outlier ? OUTLIER_GROWTH : 1 - gain;
  speed->variance = fmin (fmax (speed->variance, floor), PRIOR_VARIANCE);
}

void
learn_speed_observe (const LearnRun *runs, size_t count, double expected_ms, double log_variance,
                     LearnNoise *noise, int64_t now_ms)
{
  if (count == 0)
    return;
  double *work = malloc (count * sizeof *work);
  if (!work)
    abort ();
  double sum = 0, uncertainty = 0;
  for (size_t i = 0; i < count; i++) {
    learn_speed_fade (runs[i].speed, now_ms);
    uncertainty += runs[i].speed->variance;
  }
  double run_variance = noise->variance;
  OutlierLimit typical = find_outlier_limit (runs, count, noise);
  for (size_t i = 0; i < count; i++) {
    work[i] = typical.median
              + clip (runs[i].log_ms + runs[i].speed->mean - typical.median, typical.limit);
    sum += work[i];
  }
  Estimate expected = { log (expected_ms < 1 ? 1 : expected_ms), log_variance };
  for (size_t from = 0, to; from < count; from = to) {
    LearnSpeed *speed = runs[from].speed;
    double own = 0;
    size_t outliers = 0;
    for (to = from; to < count && runs[to].speed == speed; to++) {
      own += work[to];
      outliers += fabs (work[to] - typical.median) >= typical.limit;
    }
    double n = (double) (to - from), others = (double) count - n;
    /* Runs on one target share the error of its speed. */
    uncertainty -= n * speed->variance;
    Estimate reference = expected;
    if (others > 0)
      reference = combine (expected, (Estimate){ (sum - own) / others,
                                                 (run_variance + uncertainty / others) / others });
    uncertainty += n * speed->variance;
    update_noise (noise, &work[from], to - from, own / n);
    update_speed (speed, (Estimate){ own / n, run_variance / n }, reference,
                  2 * outliers >= to - from, run_variance / MEMORY_ENDS);
  }
  free (work);
}

static int
compare_speeds (const void *a, const void *b)
{
  const LearnSpeed *x = *(LearnSpeed *const *) a, *y = *(LearnSpeed *const *) b;
  return x->mean < y->mean ? -1 : x->mean > y->mean;
}

/* Shifts the values below ANCHOR_MAX_VARIANCE so that their mean is 0. A lower limit would select
   the targets that get much work, which need not be typical. */
static void
centre (LearnSpeed **speeds, size_t count)
{
  double sum = 0, known = 0;
  for (size_t i = 0; i < count; i++) {
    if (speeds[i]->variance > ANCHOR_MAX_VARIANCE)
      continue;
    sum += speeds[i]->mean;
    known++;
  }
  for (size_t i = 0; i < count; i++) {
    if (speeds[i]->variance <= ANCHOR_MAX_VARIANCE)
      speeds[i]->mean -= sum / known;
  }
}

/* Moves the values up to CLASS_MAX_VARIANCE to the front and returns their number. */
static size_t
take_known (LearnSpeed **speeds, size_t count)
{
  size_t known = 0;
  for (size_t i = 0; i < count; i++) {
    LearnSpeed *speed = speeds[i];
    if (speed->variance > CLASS_MAX_VARIANCE)
      continue;
    speeds[i] = speeds[known];
    speeds[known++] = speed;
  }
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
  double total = 0, total_variance = 0, sum = 0, sum_variance = 0;
  double best = 0, difference = 0, variance = 0;
  for (size_t i = range.from; i < range.to; i++) {
    total += speeds[i]->mean;
    total_variance += speeds[i]->variance;
  }
  for (size_t i = range.from; i + 1 < range.to; i++) {
    sum += speeds[i]->mean;
    sum_variance += speeds[i]->variance;
    double below = (double) (i + 1 - range.from), above = count - below;
    double apart = (total - sum) / above - sum / below;
    if (apart * apart * below * above <= best)
      continue;
    best = apart * apart * below * above;
    difference = apart;
    variance = sum_variance / below + (total_variance - sum_variance) / above;
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
  Range ranges[LEARN_SPEED_CLASSES_MAX] = { { 0 } };
  centre (speeds, count);
  size_t known = take_known (speeds, count);
  *classes = (LearnClasses){ .count = 1, .factor = { 1 } };
  if (known > 1) {
    /* NOLINTNEXTLINE(bugprone-sizeof-expression): a list of pointers */
    qsort (speeds, known, sizeof *speeds, compare_speeds);
    classes->count = split_classes (speeds, known, ranges);
  }
  for (size_t c = 0; c < classes->count && classes->count > 1; c++)
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
