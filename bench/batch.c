/* Batch work and gangs on workers, and the loss in a wave of faulty targets and jobs. */
#include <stdio.h>

#include "bench.h"

static BenchTask
batch_task (BenchRandom *r, const BenchSize *size, int64_t arrive_ms, int64_t run_ms)
{
  static int64_t next;
  BenchTask task = { .arrive_ms = arrive_ms, .run_ms = run_ms, .tag = -1 };
  task.task.job = gr_name_format ("b%lld", (long long) next++);
  task.task.attempt = 1;
  task.task.team = gr_name_format ("team%d", (int) (bench_random (r) % (uint64_t) size->teams));
  task.task.kind = gr_name_format ("kind%d", (int) (bench_random (r) % 8));
  static const int32_t cores[] = { 1, 1, 2, 2, 4, 4, 8, 16 };
  int32_t cpu = cores[bench_random (r) % 8] * 1000;
  /* Memory per core varies around that of the worker, so that cpu is usually exhausted first. */
  int32_t memory
      = (int32_t) ((double) cpu / 32000 * size->memory_mb * (0.3 + 1.1 * bench_uniform (r)));
  task.task.demand = (GrRes){ { cpu, memory, 0, 0 } };
  task.task.declared_run_ms = run_ms;
  task.task.policy.kind = SCH_POLICY_BATCH;
  return task;
}

static void
add_workers (BenchCell *cell, const BenchSize *size, int32_t count)
{
  int32_t with = (int32_t) ((int64_t) size->accelerator_workers * count / size->workers);
  bench_add_targets (cell, count - with, (GrRes){ { 32000, size->memory_mb, 0, 0 } });
  bench_add_targets (cell, with, (GrRes){ { 32000, size->memory_mb, 4, 0 } });
}

static int32_t
share_of_workers (const BenchSize *size)
{
  return (size->workers + size->owners - 1) / size->owners;
}

/* A backlog of batch work on a full cell. The bound is the use of all processors all the time. */
void
bench_packing (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 2 };
  int32_t workers = share_of_workers (size);
  if (workers > 200)
    workers = 200;
  /* Tasks use 4.75 cores for 9 s on average; arrivals exceed the capacity by a fifth. */
  for (double at = 100; at < 60000;) {
    at += bench_exponential (&r, 4750.0 * 9.0 / (32000.0 * workers) * 1000 / 1.2);
    BenchTask task = batch_task (&r, size, (int64_t) at, bench_pareto (&r, 4000, 1.8, 60000));
    if (size->accelerator_workers > 0 && bench_random (&r) % 16 == 0)
      task.task.demand.v[GR_RES_ACCELERATORS] = 1;
    gr_list_push (&load, task);
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  cell.options.batch_share_pct = 100;
  add_workers (&cell, size, workers);
  cell.stop_ms = 60000;
  cell.measure_from_ms = 25000;
  cell.measure_to_ms = 58000;
  bench_run (&cell, &load);
  double ours = cell.used_avg[GR_RES_CPU_MILLI];
  bench_value ("packing_memory_used", cell.used_avg[GR_RES_MEMORY_MB]);
  bench_value ("memory_bytes_per_task", (double) cell.bytes_per_task);
  bench_value ("memory_bytes_per_target", (double) cell.bytes_per_target);
  cell.first_fit = true;
  bench_run (&cell, &load);
  bench_value ("packing_vs_bound_fifo", cell.used_avg[GR_RES_CPU_MILLI]);
  bench_figure ("packing_vs_bound", ours, 0.95, false);
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}

static double
worst_gang (const char *name, const BenchLoad *load, int64_t stop_ms)
{
  double worst = 1;
  double waits[64];
  size_t count = 0;
  for (size_t k = 0; k < load->count; k++) {
    const BenchTask *task = &load->items[k];
    if (task->task.policy.kind != SCH_POLICY_GANG || task->tag != 0)
      continue;
    int64_t start_ms = task->start_ms >= 0 ? task->start_ms : stop_ms;
    double wait = (double) (start_ms - task->arrive_ms);
    /* Waits within one tick period cannot be told apart, so bounds below 100 ms count as 100 ms. */
    double bound = task->bound_ms > 100 ? (double) task->bound_ms : 100;
    if (wait / bound > worst)
      worst = wait / bound;
    if (count < 64)
      waits[count++] = wait;
  }
  bench_quantiles_print (name, bench_quantiles (waits, count));
  return worst;
}

/* Gangs of 8 parts of half a worker each, on a cell that is full of batch work. The bound of a gang
   is its wait if nothing else started after its arrival. */
void
bench_gangs (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 3 };
  int32_t workers = share_of_workers (size);
  if (workers > 100)
    workers = 100;
  for (double at = 100; at < 100000;) {
    at += bench_exponential (&r, 4750.0 * 6.0 / (32000.0 * workers) * 1000);
    gr_list_push (&load, batch_task (&r, size, (int64_t) at, bench_pareto (&r, 3000, 2, 30000)));
  }
  for (int gang = 0; gang < 10; gang++) {
    for (int part = 0; part < 8; part++) {
      BenchTask task = batch_task (&r, size, 15000 + gang * 8000, 2000);
      task.task.job = gr_name_format ("gang%d", gang);
      task.task.kind = gr_name ("gang");
      task.task.team = gr_name ("team0");
      task.task.demand = (GrRes){ { 16000, size->memory_mb / 2, 0, 0 } };
      task.task.policy.kind = SCH_POLICY_GANG;
      task.task.policy.gang.tasks = 8;
      task.task.policy.gang.hold_deadline_ms = task.arrive_ms + 60000;
      task.tag = part;
      gr_list_push (&load, task);
    }
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  add_workers (&cell, size, workers);
  cell.stop_ms = 110000;
  bench_run (&cell, &load);
  double ours = worst_gang ("gang_wait_ms", &load, cell.stop_ms);
  cell.first_fit = true;
  bench_run (&cell, &load);
  double fifo = worst_gang ("gang_wait_ms_fifo", &load, cell.stop_ms);
  bench_value ("gang_wait_vs_bound_max_fifo", fifo);
  bench_figure ("gang_wait_vs_bound_max", ours, 2, true);
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}

/* One owner's share of the cell at its maximum rate: processor time for the submission, the start,
   its result and the end of short tasks, with a tenth of the capacity free. */
void
bench_throughput (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 4 };
  int32_t workers = share_of_workers (size);
  double running = workers * 32000.0 / 4750.0 * 0.85;
  int64_t stop_ms = 10000;
  /* Tasks run for 0.4 to 0.6 s, so that there are enough arrivals to measure. */
  for (double at = 10; at < 9000;) {
    at += bench_exponential (&r, 500.0 / running);
    gr_list_push (&load,
                  batch_task (&r, size, (int64_t) at, 400 + (int64_t) (bench_random (&r) % 200)));
    if (load.count >= 150000)
      break;
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  cell.options.batch_share_pct = 100;
  add_workers (&cell, size, workers);
  cell.stop_ms = stop_ms;
  cell.time_steps = true;
  bench_run (&cell, &load);
  bench_value ("placements", (double) cell.starts);
  bench_value ("placements_cpu_s", cell.cpu_s);
  bench_figure ("placements_per_s_core", cell.cpu_s > 0 ? (double) cell.starts / cell.cpu_s : 0,
                100000, false);
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}

/* All workers under one owner at the peak rate of starts. Preemptible batch work and services fill
   95% of the cell, and one arrival in 20 is urgent. */
void
bench_full_cell (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 5 };
  int32_t workers = size->workers;
  double rate = size->starts_per_s;
  /* Fills 95% of the cell at once with tasks that end at the rate at which later tasks arrive. */
  double full = workers * 32000.0 * 0.95;
  for (double used = 0; used < full;) {
    BenchTask task = batch_task (&r, size, 100, 1);
    used += task.task.demand.v[GR_RES_CPU_MILLI];
    task.task.policy.batch.preemptible = true;
    task.run_ms = 1000 + (int64_t) bench_exponential (&r, full / 4750.0 / rate * 1000);
    if (bench_random (&r) % 5 == 0) {
      task.task.policy.kind = SCH_POLICY_SERVICE;
      task.task.policy.service.replica = 0;
      task.run_ms = 1000000;
    }
    gr_list_push (&load, task);
  }
  for (double at = 1000; at < 20000;) {
    at += bench_exponential (&r, 1000 / rate);
    BenchTask task = batch_task (
        &r, size, (int64_t) at, 1000 + (int64_t) bench_exponential (&r, full / 4750 / rate * 1000));
    task.task.policy.batch.preemptible = true;
    if (bench_random (&r) % 20 == 0) {
      task.task.policy.kind = SCH_POLICY_REQUEST;
      task.task.urgent = true;
      task.task.policy.request.urgent = true;
      task.run_ms = 200;
      task.tag = 0;
    }
    gr_list_push (&load, task);
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  cell.options.batch_share_pct = 100;
  add_workers (&cell, size, workers);
  cell.stop_ms = 21000;
  cell.time_steps = true;
  cell.measure_from_ms = 1000;
  cell.measure_to_ms = 20000;
  bench_run (&cell, &load);
  bench_value ("full_cell_cpu_used", cell.used_avg[GR_RES_CPU_MILLI]);
  BenchQuantiles steps = bench_quantiles (cell.step_us, cell.steps);
  bench_value ("decision_p50_us", steps.p50);
  bench_value ("decision_p999_us", steps.p999);
  bench_figure ("decision_p99_us", steps.p99, 1000, true);
  double *waits = gr_calloc (load.count, sizeof *waits);
  for (int pass = 0; pass < 2; pass++) {
    size_t count = 0;
    for (size_t k = 0; k < load.count; k++) {
      const BenchTask *task = &load.items[k];
      if (task->tag == 0)
        waits[count++] = task->start_ms >= 0 ? (double) (task->start_ms - task->arrive_ms) : 20000;
    }
    BenchQuantiles q = bench_quantiles (waits, count);
    bench_quantiles_print (pass == 0 ? "urgent_wait_ms" : "urgent_wait_ms_fifo", q);
    if (pass == 0)
      bench_figure ("urgent_start_p99_ms", q.p99, 1100, true);
    cell.first_fit = true;
    cell.time_steps = false;
    if (pass == 0)
      bench_run (&cell, &load);
  }
  free (waits);
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}

/* Declared sizes are wrong by up to ten times, depending on the kind: most kinds use a part of what
   they declare, two use up to 2.5 times as much. Usage is reported 1 s after the start. At 20 s a
   third of the tasks that arrived in the 5 s before are cancelled. */
void
bench_sizes (const BenchSize *size, uint64_t seed)
{
  static const double factors[] = { 0.1, 0.3, 0.5, 0.7, 0.8, 0.9, 1.5, 2.5 };
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 7 };
  int32_t workers = share_of_workers (size);
  if (workers > 100)
    workers = 100;
  for (double at = 100; at < 40000;) {
    at += bench_exponential (&r, 1500.0 * 4.0 / (32000.0 * workers) * 1000);
    BenchTask task
        = batch_task (&r, size, (int64_t) at, 2000 + (int64_t) (bench_random (&r) % 4000));
    size_t kind = bench_random (&r) % 8;
    int32_t cpu = 500 * (1 + (int32_t) (kind % 4));
    int32_t memory = (int32_t) ((double) cpu / 32000 * size->memory_mb);
    task.task.kind = gr_name_format ("size%zu", kind);
    task.task.demand = (GrRes){ { cpu, memory, 0, 0 } };
    double factor = factors[kind] * (0.8 + 0.2 * bench_uniform (&r));
    task.used.v[GR_RES_CPU_MILLI] = (int32_t) (cpu * factor);
    task.used.v[GR_RES_MEMORY_MB] = (int32_t) (memory * factor);
    if (at > 15000 && at < 20000 && bench_random (&r) % 3 == 0)
      task.cancel_ms = 20000 + (int64_t) (bench_random (&r) % 300);
    gr_list_push (&load, task);
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  cell.usage = true;
  add_workers (&cell, size, workers);
  cell.stop_ms = 45000;
  for (int pass = 0; pass < 2; pass++) {
    bench_run (&cell, &load);
    double pct = cell.use_samples > 0
                     ? 100.0 * (double) cell.overloaded_samples / (double) cell.use_samples
                     : 0;
    bench_value (pass == 0 ? "overloaded_target_pct" : "overloaded_target_pct_fifo", pct);
    cell.first_fit = true;
  }
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}

/* For 20 s one worker in 25 fails every task that starts on it, and one job in ten fails wherever
   it runs. */
void
bench_fault_wave (const BenchSize *size, uint64_t seed)
{
  BenchLoad load = { 0 };
  BenchRandom r = { seed + 6 };
  int32_t workers = share_of_workers (size);
  if (workers > 200)
    workers = 200;
  for (double at = 100; at < 40000;) {
    at += bench_exponential (&r, 4750.0 * 1.0 / (32000.0 * workers) * 1000 / 0.8);
    BenchTask task
        = batch_task (&r, size, (int64_t) at, 500 + (int64_t) (bench_random (&r) % 1000));
    task.faulty = at > 10000 && at < 30000 && bench_random (&r) % 10 == 0;
    gr_list_push (&load, task);
  }
  bench_sort_load (&load);
  BenchCell cell = bench_cell ();
  cell.options.batch_share_pct = 100;
  add_workers (&cell, size, workers);
  for (int32_t i = 0; i < workers; i += 25) {
    cell.targets[i].faulty_from_ms = 10000;
    cell.targets[i].faulty_to_ms = 30000;
  }
  cell.stop_ms = 45000;
  for (int pass = 0; pass < 2; pass++) {
    size_t good = 0;
    size_t lost = 0;
    bench_run (&cell, &load);
    for (size_t k = 0; k < load.count; k++) {
      const BenchTask *task = &load.items[k];
      good += !task->faulty && task->arrive_ms >= 10000 && task->arrive_ms < 30000;
      lost += task->lost;
    }
    double pct = good > 0 ? 100.0 * (double) lost / (double) good : 0;
    if (pass == 0)
      bench_figure ("good_work_lost_pct", pct, 1, true);
    else
      bench_value ("good_work_lost_pct_fifo", pct);
    cell.first_fit = true;
  }
  bench_cell_clear (&cell);
  gr_list_clear (&load);
}
