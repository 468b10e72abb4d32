/* Short work on executors: beside long work, and at load peaks. */
#include "bench.h"

#define SLOTS 8

static BenchTask
request (BenchRandom *r, const BenchSize *size, int64_t arrive_ms, const char *kind, int64_t run_ms,
         int64_t window_ms)
{
  static int64_t next;
  BenchTask task = { .arrive_ms = arrive_ms, .run_ms = run_ms, .tag = -1 };
  int32_t team = (int32_t) (bench_random (r) % (uint64_t) size->teams);
  task.task.job = gr_name_format ("r%lld", (long long) next++);
  task.task.attempt = 1;
  task.task.team = gr_name_format ("team%d", team);
  task.task.kind = gr_name (kind);
  task.task.demand.v[GR_RES_SLOTS] = 1;
  /* The declared run time is up to ten times too long or too short. */
  double off = bench_uniform (r) * 2 - 1;
  task.task.declared_run_ms
      = 1 + (int64_t) ((double) run_ms * (off < 0 ? 1 / (1 - 9 * off) : 1 + 9 * off));
  task.task.deadline_ms = window_ms > 0 ? arrive_ms + window_ms : 0;
  task.task.policy.kind = SCH_POLICY_REQUEST;
  return task;
}

/* Kinds of short work: 20 to 200 ms, and one straggler in 500 that runs ten times longer. */
static BenchTask
short_request (BenchRandom *r, const BenchSize *size, int64_t arrive_ms, int64_t window_ms)
{
  static const struct {
    const char *kind;
    double mean_ms;
  } kinds[] = { { "lookup", 20 }, { "check", 60 }, { "review", 150 } };
  size_t k = bench_random (r) % 3;
  double run_ms = kinds[k].mean_ms * (0.8 + 0.4 * bench_uniform (r));
  if (bench_random (r) % 500 == 0)
    run_ms *= 10;
  return request (r, size, arrive_ms, kinds[k].kind, (int64_t) run_ms, window_ms);
}
/* Mean run time of short_request(), stragglers included. */
#define SHORT_MEAN_MS 78.0

#define WARM_UP_MS 15000

static void
print_waits (const char *name, const BenchLoad *load, int32_t tag, BenchQuantiles *q)
{
  double *waits = gr_calloc (load->count, sizeof *waits);
  size_t count = 0;
  for (size_t k = 0; k < load->count; k++) {
    const BenchTask *task = &load->items[k];
    if (task->tag != tag)
      continue;
    /* A task that never started is counted with a wait of 60 s, the length of the run. */
    waits[count++] = task->start_ms >= 0 ? (double) (task->start_ms - task->arrive_ms) : 60000;
  }
  *q = bench_quantiles (waits, count);
  bench_quantiles_print (name, *q);
  free (waits);
}

/* Short work that uses 6% of the slots, with 3 s bursts of ten times that, beside long work that
   demands more than all slots by itself. The first burst is a warm-up, printed apart: until then
   the scheduler has not seen a burst, and long work that holds a slot is not preempted. */
void
bench_short_wait (const BenchSize *size, uint64_t seed)
{
  BenchLoad bulk = { 0 };
  BenchLoad alone = { 0 };
  BenchRandom r = { seed };
  int32_t slots = size->executors * SLOTS;
  int64_t stop_ms = 60000;
  for (double at = 1000; at < 50000;) {
    bool burst = (int64_t) at % 15000 >= 10000 && (int64_t) at % 15000 < 13000;
    at += bench_exponential (&r, SHORT_MEAN_MS / (slots * (burst ? 0.6 : 0.06)));
    BenchTask task = short_request (&r, size, (int64_t) at, 0);
    task.tag = at < WARM_UP_MS ? 1 : 0;
    gr_list_push (&alone, task);
    gr_list_push (&bulk, task);
  }
  for (double at = 500; at < 50000;) {
    at += bench_exponential (&r, 8000.0 / (1.2 * slots));
    int64_t run_ms = bench_pareto (&r, 3000, 1.6, 120000);
    gr_list_push (&bulk, request (&r, size, (int64_t) at, "batch-report", run_ms, 0));
  }
  bench_sort_load (&alone);
  bench_sort_load (&bulk);
  BenchCell cell = bench_cell ();
  bench_add_targets (&cell, size->executors, (GrRes){ { 0, 0, 0, SLOTS } });
  cell.stop_ms = stop_ms;
  cell.measure_from_ms = 10000;
  cell.measure_to_ms = 50000;
  BenchQuantiles without, with, fifo;
  bench_run (&cell, &alone);
  print_waits ("short_wait_ms_alone", &alone, 0, &without);
  bench_run (&cell, &bulk);
  print_waits ("short_wait_ms_bulk_warm_up", &bulk, 1, &with);
  print_waits ("short_wait_ms_bulk", &bulk, 0, &with);
  bench_value ("bulk_slots_used_avg", cell.used_avg[GR_RES_SLOTS]);
  cell.first_fit = true;
  bench_run (&cell, &bulk);
  print_waits ("short_wait_ms_bulk_fifo", &bulk, 0, &fifo);
  /* Waits are in whole ms; below 1 ms they count as 1 ms. */
  double ours = with.p99 > 1 ? with.p99 : 1;
  double base = without.p99 > 1 ? without.p99 : 1;
  bench_figure ("short_wait_p99_ratio_bulk", ours / base, 2, true);
  bench_figure ("short_wait_p99_vs_fifo", fifo.p99 / ours, 10, false);
  bench_cell_clear (&cell);
  gr_list_clear (&alone);
  gr_list_clear (&bulk);
}

static int
compare_run_times (const void *a, const void *b)
{
  const BenchTask *const *x = a;
  const BenchTask *const *y = b;
  return ((*x)->run_ms > (*y)->run_ms) - ((*x)->run_ms < (*y)->run_ms);
}

#define PEAK_WINDOW_MS 2000
#define BUCKET_MS 100
#define BUCKETS 128

/* Returns an upper bound of the tasks of one load peak that any scheduler can complete within their
   windows. It is the optimum of a relaxation in which work can be split over slots and a fraction
   of a task counts as that fraction. Time is in buckets; a task can use every bucket that its
   window overlaps. All windows have the same length, so the work fits if and only if, for all
   a <= c, the work that arrived in buckets a..c fits into the slots from a to the end of the last
   window. These sets form a polymatroid, so it is optimal to admit the shortest tasks first, each
   as far as it fits. */
static double
peak_bound (const BenchLoad *load, int32_t peak, int32_t slots, int64_t window_ms)
{
  const BenchTask **tasks
      = gr_calloc (load->count, sizeof *tasks); // NOLINT(bugprone-sizeof-expression): pointers
  int64_t first_ms = INT64_MAX;
  size_t count = 0;
  for (size_t k = 0; k < load->count; k++) {
    const BenchTask *task = &load->items[k];
    if (task->tag != peak)
      continue;
    first_ms = task->arrive_ms < first_ms ? task->arrive_ms : first_ms;
    tasks[count++] = task;
  }
  qsort (tasks, count, sizeof *tasks, // NOLINT(bugprone-sizeof-expression): pointers
         compare_run_times);
  double work[BUCKETS] = { 0 };
  double served = 0;
  double per_bucket = (double) slots * BUCKET_MS;
  int64_t window = window_ms / BUCKET_MS + 1;
  for (size_t k = 0; k < count; k++) {
    int64_t at = (tasks[k]->arrive_ms - first_ms) / BUCKET_MS;
    double admitted_ms = (double) tasks[k]->run_ms;
    double before = 0;
    for (int64_t a = at; a >= 0; a--) {
      before += work[a];
      double sum = before;
      for (int64_t c = at; c < BUCKETS; c++) {
        sum += c > at ? work[c] : 0;
        double left = per_bucket * (double) (c + window - a) - sum;
        admitted_ms = left < admitted_ms ? left : admitted_ms;
      }
    }
    if (admitted_ms <= 0)
      continue;
    work[at] += admitted_ms;
    served += admitted_ms / (double) tasks[k]->run_ms;
  }
  free (tasks);
  return served;
}

static double
worst_peak_ratio (const BenchLoad *load, int32_t peaks, int32_t slots, double *share)
{
  double worst = 1;
  size_t served_all = 0;
  size_t arrived_all = 0;
  for (int32_t peak = 0; peak < peaks; peak++) {
    size_t served = 0;
    size_t arrived = 0;
    double bound = peak_bound (load, peak, slots, PEAK_WINDOW_MS);
    for (size_t k = 0; k < load->count; k++) {
      const BenchTask *task = &load->items[k];
      arrived += task->tag == peak;
      served += task->tag == peak && task->end_ms >= 0 && task->end_ms <= task->task.deadline_ms;
    }
    if (bound > 0 && (double) served / bound < worst)
      worst = (double) served / bound;
    served_all += served;
    arrived_all += arrived;
  }
  *share = arrived_all > 0 ? (double) served_all / (double) arrived_all : 0;
  return worst;
}

/* Load peaks: short work rises from 20% of the slots to ten times that within 1 s and stays there
   for 4 s. Each task has to end within 2 s of its arrival. The figures call a peak a crest. */
void
bench_peak (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 1 };
  int32_t slots = size->executors * SLOTS;
  int32_t peaks = 4;
  for (double at = 1000; at < 62000;) {
    int64_t phase = (int64_t) at % 15000;
    double up = phase < 9000 ? 0 : phase < 10000 ? (double) (phase - 9000) / 1000 : 1;
    if (phase >= 14000)
      up = 0;
    at += bench_exponential (&r, SHORT_MEAN_MS / (slots * (0.2 + 1.8 * up)));
    BenchTask task = short_request (&r, size, (int64_t) at, PEAK_WINDOW_MS);
    /* Tasks that arrive during the last window compete with those of the peak, so they count as
       part of it. */
    int64_t since_ms = (int64_t) at - 9000;
    task.tag = since_ms >= 0 && since_ms % 15000 < 5000 + PEAK_WINDOW_MS
                   ? (int32_t) (since_ms / 15000)
                   : -1;
    gr_list_push (&load, task);
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  bench_add_targets (&cell, size->executors, (GrRes){ { 0, 0, 0, SLOTS } });
  cell.stop_ms = 66000;
  double share;
  bench_run (&cell, &load);
  double ours = worst_peak_ratio (&load, peaks, slots, &share);
  bench_value ("crest_served_share", share);
  cell.first_fit = true;
  bench_run (&cell, &load);
  double fifo = worst_peak_ratio (&load, peaks, slots, &share);
  bench_value ("crest_served_share_fifo", share);
  bench_value ("crest_served_vs_bound_fifo", fifo);
  bench_figure ("crest_served_vs_bound", ours, 0.98, false);
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}
