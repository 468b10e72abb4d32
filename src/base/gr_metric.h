/* Counters, gauges and latency histograms of one process, rendered as Prometheus text. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Each metric: GR_METRIC (ID, kind, "name", "help"). docs/metrics.md lists them. */
typedef enum {
#define GR_METRIC(id, kind, name, help) GR_METRIC_##id,
#include "base/gr_metrics.def"
#undef GR_METRIC
  GR_METRIC_COUNT
} GrMetricId;

typedef enum {
  GR_METRIC_KIND_COUNTER,
  GR_METRIC_KIND_GAUGE,
  GR_METRIC_KIND_HISTOGRAM
} GrMetricKind;

/* Buckets of a histogram: their upper bounds are the powers of two from 1 to 2^22 in its unit; the
   last one has no bound. */
#define GR_HISTOGRAM_BUCKETS 24

typedef struct {
  int64_t values[GR_METRIC_COUNT]; /* counters and gauges; sum for histograms */
  uint64_t buckets[GR_METRIC_COUNT][GR_HISTOGRAM_BUCKETS]; /* observations; not cumulative */
} GrMetrics;

void gr_metric_add (GrMetrics *metrics, GrMetricId id, int64_t delta);
void gr_metric_set (GrMetrics *metrics, GrMetricId id, int64_t value);
/* Adds one observation to a histogram, in the unit that the metric's name ends with. */
void gr_metric_observe (GrMetrics *metrics, GrMetricId id, int64_t value);
/* Appends all metrics in the Prometheus text format. */
void gr_metric_render (const GrMetrics *metrics, GrBuf *out);
const char *gr_metric_name (GrMetricId id);

#ifdef __cplusplus
}
#endif
