/* Benchmark of the scheduler in virtual time, next to a first-come first-served first-fit
   baseline and to bounds that no scheduler can beat for the same arrivals. */
#pragma once

#include <stdlib.h>

#include "sch/sch.h"

/* Sizes of sections 1.3 and 1.4 of the design. */
typedef struct {
  const char *name;
  int32_t workers;   /* of the cell */
  int32_t executors; /* with 8 slots each */
  int32_t accelerator_workers;
  int32_t memory_mb; /* of a worker */
  int32_t teams;
  int32_t owners; /* entry VMs that share the workers */
  double starts_per_s;
} BenchSize;

/* One task of a load, with what the scheduler does not know. */
typedef struct {
  SchTask task;
  int64_t arrive_ms;
  int64_t run_ms;    /* true run time */
  GrRes used;        /* true size; cpu and memory */
  bool bad;          /* fails wherever it runs */
  int64_t cancel_ms; /* 0: not cancelled */
  int32_t swing;     /* crest to which it belongs; -1: none */
  /* results */
  int64_t start_ms; /* -1: never */
  int64_t end_ms;   /* -1: did not succeed */
  int64_t bound_ms; /* gangs: wait that no scheduler can beat */
  int32_t target;
  bool lost; /* good work that a bad target failed */
  bool done;
} BenchTask;

typedef GR_LIST (BenchTask) BenchLoad;

typedef struct {
  GrRes capacity;
  GrRes free;
  GrRes used;          /* true use of the running tasks that have one */
  int64_t bad_from_ms; /* fails every task between these times */
  int64_t bad_to_ms;
} BenchTarget;

typedef struct {
  BenchTarget *targets;
  int32_t count;
  SchOptions options;
  bool first_fit;  /* baseline instead of the scheduler */
  bool time_steps; /* measure the processor time of each step */
  bool usage;      /* targets report usage */
  int64_t stop_ms; /* end of the run */
  int64_t measure_from_ms, measure_to_ms;
  const SchTeamLimit *limits;
  size_t limit_count;
  /* results */
  double *step_us;
  size_t steps;
  int64_t starts;
  int64_t overloads; /* looks at a target that found it overloaded, of all such looks */
  int64_t looks;
  double cpu_s;                  /* in the scheduler's steps */
  double used_avg[GR_RES_COUNT]; /* share of the capacity in use, over the measured time */
  size_t bytes_per_task;
  size_t bytes_per_target;
} BenchCell;

typedef struct {
  uint64_t s;
} BenchRandom;

uint64_t bench_random (BenchRandom *r);
double bench_uniform (BenchRandom *r);
double bench_exponential (BenchRandom *r, double mean);
/* Pareto run times with the given minimum and shape, cut at max. */
int64_t bench_pareto (BenchRandom *r, double min, double shape, double max);

/* Runs a load, which is sorted by arrival; fills the results in both. */
void bench_run (BenchCell *cell, BenchLoad *load);
void bench_cell_clear (BenchCell *cell);
/* Adds count targets of one capacity. */
void bench_add_targets (BenchCell *cell, int32_t count, GrRes capacity);
BenchCell bench_cell (void);

typedef struct {
  double p50, p99, p999;
} BenchQuantiles;

BenchQuantiles bench_quantiles (double *values, size_t count);
void bench_sort_load (BenchLoad *load);

void bench_value (const char *name, double value);
/* Prints a figure with its target; at_most tells the side that is good. */
void bench_figure (const char *name, double value, double target, bool at_most);
void bench_quantiles_print (const char *name, BenchQuantiles q);

void bench_short_wait (const BenchSize *size, uint64_t seed);
void bench_crest (const BenchSize *size, uint64_t seed);
void bench_packing (const BenchSize *size, uint64_t seed);
void bench_gangs (const BenchSize *size, uint64_t seed);
void bench_throughput (const BenchSize *size, uint64_t seed);
void bench_full_cell (const BenchSize *size, uint64_t seed);
void bench_sizes (const BenchSize *size, uint64_t seed);
void bench_bad_wave (const BenchSize *size, uint64_t seed);
