/* gr-bench: measures the scheduler in virtual time and prints the figures as name=value lines. */
#include <stdio.h>

#include "base/gr_opt.h"
#include "bench.h"

typedef struct {
  int64_t seed;
  const char *size;
} Settings;

static const GrOptSpec specs[] = {
  { "seed", GR_OPT_INT, offsetof (Settings, seed), "N", "1", 0, INT32_MAX, "seed of all loads" },
  { "size", GR_OPT_TEXT, offsetof (Settings, size), "NAME", "target", 0, 0,
    "agora, caroni or target" },
};

static const BenchSize sizes[] = {
  { "agora", 50, 50, 5, 65536, 12, 1, 60 },
  { "caroni", 50, 50, 5, 131072, 12, 1, 60 },
  { "target", 4900, 50, 2050, 65536, 110, 9, 590 },
};

int
main (int argc, char **argv)
{
  Settings settings = { 0 };
  GrOptVerdict verdict;
  GrErr err = { 0 };
  if (!gr_opt_parse ("gr-bench", "measures the scheduler in virtual time", specs,
                     sizeof specs / sizeof specs[0], argc, argv, &settings, NULL, 0, NULL, &verdict,
                     &err)) {
    fprintf (stderr, "gr-bench: %.*s: %s\n", GR_NAME_ARG (err.field), err.detail);
    return GR_EXIT_USAGE;
  }
  if (verdict == GR_OPT_EXIT_OK)
    return GR_EXIT_OK;
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++) {
    const BenchSize *size = &sizes[i];
    if (!gr_str_equal (gr_str_from_c (size->name), gr_str_from_c (settings.size)))
      continue;
    uint64_t seed = (uint64_t) settings.seed;
    printf ("seed=%lld\nsize=%s\n", (long long) settings.seed, size->name);
    bench_short_wait (size, seed);
    bench_peak (size, seed);
    bench_packing (size, seed);
    bench_gangs (size, seed);
    bench_throughput (size, seed);
    bench_full_cell (size, seed);
    bench_sizes (size, seed);
    bench_fault_wave (size, seed);
    return GR_EXIT_OK;
  }
  fprintf (stderr, "gr-bench: size: %s is not agora, caroni or target\n", settings.size);
  return GR_EXIT_USAGE;
}
