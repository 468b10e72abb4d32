/* Random numbers, quantiles and output of the benchmark. */
#include <math.h>
#include <stdio.h>

#include "bench.h"

uint64_t
bench_random (BenchRandom *r)
{
  r->s += 0x9e3779b97f4a7c15ULL;
  uint64_t z = r->s;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

double
bench_uniform (BenchRandom *r)
{
  return (double) (bench_random (r) >> 11) / 9007199254740992.0;
}

double
bench_exponential (BenchRandom *r, double mean)
{
  return -mean * log (1 - bench_uniform (r));
}

int64_t
bench_pareto (BenchRandom *r, double min, double shape, double max)
{
  double value = min / pow (1 - bench_uniform (r), 1 / shape);
  return (int64_t) (value < max ? value : max);
}

BenchCell
bench_cell (void)
{
  BenchCell cell = { 0 };
  sch_options_defaults (&cell.options);
  return cell;
}

void
bench_add_targets (BenchCell *cell, int32_t count, GrRes capacity)
{
  size_t total = (size_t) cell->count + (size_t) count;
  cell->targets = gr_realloc_items (cell->targets, total, sizeof *cell->targets);
  for (int32_t i = 0; i < count; i++)
    cell->targets[cell->count++] = (BenchTarget){ .capacity = capacity };
}

void
bench_cell_clear (BenchCell *cell)
{
  free (cell->targets);
  free (cell->step_us);
}

static int
compare_doubles (const void *a, const void *b)
{
  const double *x = a;
  const double *y = b;
  return (*x > *y) - (*x < *y);
}

BenchQuantiles
bench_quantiles (double *values, size_t count)
{
  if (count == 0)
    return (BenchQuantiles){ 0 };
  qsort (values, count, sizeof *values, compare_doubles);
  return (BenchQuantiles){ values[count / 2], values[count * 99 / 100],
                           values[count * 999 / 1000] };
}

static int
compare_arrivals (const void *a, const void *b)
{
  const BenchTask *x = a;
  const BenchTask *y = b;
  if (x->arrive_ms != y->arrive_ms)
    return x->arrive_ms < y->arrive_ms ? -1 : 1;
  int jobs = gr_name_compare (&x->task.job, &y->task.job);
  return jobs != 0 ? jobs : (x->tag > y->tag) - (x->tag < y->tag);
}

void
bench_sort_load (BenchLoad *load)
{
  qsort (load->items, load->count, sizeof *load->items, compare_arrivals);
  /* The number after the slash is the index by which the id is mapped back to the task. */
  for (size_t k = 0; k < load->count; k++) {
    BenchTask *task = &load->items[k];
    task->task.id = gr_name_format ("%.*s/%zu", GR_NAME_ARG (task->task.job), k);
  }
}

void
bench_value (const char *name, double value)
{
  printf ("%s=%.6g\n", name, value);
}

void
bench_figure (const char *name, double value, double target, bool at_most)
{
  bool met = at_most ? value <= target : value >= target;
  printf ("%s=%.6g target=%s%g met=%s\n", name, value, at_most ? "<=" : ">=", target,
          met ? "yes" : "no");
}

void
bench_quantiles_print (const char *name, BenchQuantiles q)
{
  printf ("%s_p50=%.6g\n%s_p99=%.6g\n%s_p999=%.6g\n", name, q.p50, name, q.p99, name, q.p999);
}
