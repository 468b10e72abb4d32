/* Benchmark of the scheduler in virtual time. It is compared with a first-come first-served
   first-fit baseline and with theoretical bounds that hold for every scheduler on the same
   arrivals. */
#pragma once

#include <stdlib.h>

#include "sch/sch.h"

/* Cell sizes of sections 1.3 and 1.4 of the design. */
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

/* One task of a load, with true values that the scheduler is not given, and its result. */
typedef struct {
  SchTask task;
  int64_t arrive_ms;
  int64_t run_ms;    /* true run time */
  GrRes used;        /* true size; cpu and memory */
  bool faulty;       /* fails wherever it runs */
  int64_t cancel_ms; /* 0: not cancelled */
  int32_t tag; /* number set by the load: part of a gang, load peak, or set to measure; -1: none */
  /* results */
  int64_t start_ms; /* -1: never started */
  int64_t end_ms;   /* -1: did not succeed */
  int64_t bound_ms; /* gangs: lower bound of the wait */
  int32_t target;
  bool lost; /* failed by a faulty target, though the task itself is not faulty */
  bool done; /* ended, refused, cancelled or expired */
} BenchTask;

typedef GR_LIST (BenchTask) BenchLoad;

typedef struct {
  GrRes capacity;
  GrRes free;
  GrRes used;             /* sum of the true use of the running tasks; zero in loads without it */
  int64_t faulty_from_ms; /* fails every task that starts from here to faulty_to_ms */
  int64_t faulty_to_ms;
} BenchTarget;

typedef struct {
  BenchTarget *targets;
  int32_t count;
  SchOptions options;
  bool first_fit;                         /* run the baseline instead of the scheduler */
  bool time_steps;                        /* measure the processor time of each step */
  bool usage;                             /* targets report usage */
  int64_t stop_ms;                        /* end of the run */
  int64_t measure_from_ms, measure_to_ms; /* averages and step times cover this span */
  const SchTeamLimit *limits;
  size_t limit_count;
  /* results */
  double *step_us; /* ring of 2^20 values */
  size_t steps;    /* measured steps */
  int64_t starts;
  int64_t overloaded_samples;    /* use_samples that exceeded the capacity of the target */
  int64_t use_samples;           /* checks of a target's true use, one at each start */
  double cpu_s;                  /* in the scheduler's steps */
  double used_avg[GR_RES_COUNT]; /* share of the capacity that running tasks demand, averaged over
                                    the measured time */
  size_t bytes_per_task;
  size_t bytes_per_target;
} BenchCell;

typedef struct {
  uint64_t s;
} BenchRandom;

uint64_t bench_random (BenchRandom *r);
/* Uniform in [0, 1). */
double bench_uniform (BenchRandom *r);
double bench_exponential (BenchRandom *r, double mean);
/* Pareto distribution with the given minimum and shape, truncated at max. */
int64_t bench_pareto (BenchRandom *r, double min, double shape, double max);

/* Runs a load that bench_sort_load() has sorted. Fills in the results of cell and load. */
void bench_run (BenchCell *cell, BenchLoad *load);
void bench_cell_clear (BenchCell *cell);
/* Adds count targets of one capacity. */
void bench_add_targets (BenchCell *cell, int32_t count, GrRes capacity);
/* Returns a cell without targets and with the default options of the scheduler. */
BenchCell bench_cell (void);

typedef struct {
  double p50, p99, p999;
} BenchQuantiles;

/* Sorts values; returns zeros if there are none. */
BenchQuantiles bench_quantiles (double *values, size_t count);
/* Sorts by arrival, job and tag, and sets the task ids to JOB/INDEX. */
void bench_sort_load (BenchLoad *load);

/* Prints NAME=VALUE. */
void bench_value (const char *name, double value);
/* Prints a figure with its target, which is an upper limit if at_most, else a lower one, and
   whether it is met. */
void bench_figure (const char *name, double value, double target, bool at_most);
void bench_quantiles_print (const char *name, BenchQuantiles q);

/* Each function runs one load, described at its definition, and prints its figures. */
void bench_short_wait (const BenchSize *size, uint64_t seed);
void bench_peak (const BenchSize *size, uint64_t seed);
void bench_packing (const BenchSize *size, uint64_t seed);
void bench_gangs (const BenchSize *size, uint64_t seed);
void bench_throughput (const BenchSize *size, uint64_t seed);
void bench_full_cell (const BenchSize *size, uint64_t seed);
void bench_sizes (const BenchSize *size, uint64_t seed);
void bench_fault_wave (const BenchSize *size, uint64_t seed);
