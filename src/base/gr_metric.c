#include "base/gr_metric.h"

typedef struct {
  GrMetricKind kind;
  const char *name;
  const char *help;
} MetricInfo;

static const MetricInfo infos[GR_METRIC_COUNT] = {
#define GR_METRIC(id, kind, name, help) [GR_METRIC_##id] = { GR_METRIC_KIND_##kind, name, help },
#include "base/gr_metrics.def"
#undef GR_METRIC
};

void
gr_metric_add (GrMetrics *metrics, GrMetricId id, int64_t delta)
{
  metrics->values[id] += delta;
}

void
gr_metric_set (GrMetrics *metrics, GrMetricId id, int64_t value)
{
  metrics->values[id] = value;
}

void
gr_metric_observe (GrMetrics *metrics, GrMetricId id, int64_t value)
{
  int bucket = 0;
  while (bucket < GR_HISTOGRAM_BUCKETS - 1 && value > (INT64_C (1) << bucket))
    bucket++;
  metrics->buckets[id][bucket]++;
  metrics->values[id] += value;
}

static void
render_histogram (const GrMetrics *metrics, GrMetricId id, GrBuf *out)
{
  uint64_t total = 0;
  for (int bucket = 0; bucket < GR_HISTOGRAM_BUCKETS; bucket++) {
    total += metrics->buckets[id][bucket];
    if (bucket == GR_HISTOGRAM_BUCKETS - 1)
      gr_buf_printf (out, "%s_bucket{le=\"+Inf\"} %llu\n", infos[id].name,
                     (unsigned long long) total);
    else
      gr_buf_printf (out, "%s_bucket{le=\"%lld\"} %llu\n", infos[id].name,
                     (long long) (INT64_C (1) << bucket), (unsigned long long) total);
  }
  gr_buf_printf (out, "%s_sum %lld\n%s_count %llu\n", infos[id].name,
                 (long long) metrics->values[id], infos[id].name, (unsigned long long) total);
}

void
gr_metric_render (const GrMetrics *metrics, GrBuf *out)
{
  static const char *const kinds[] = {
    [GR_METRIC_KIND_COUNTER] = "counter",
    [GR_METRIC_KIND_GAUGE] = "gauge",
    [GR_METRIC_KIND_HISTOGRAM] = "histogram",
  };
  for (int id = 0; id < GR_METRIC_COUNT; id++) {
    const MetricInfo *info = &infos[id];
    gr_buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", info->name, info->help, info->name,
                   kinds[info->kind]);
    if (info->kind == GR_METRIC_KIND_HISTOGRAM)
      render_histogram (metrics, (GrMetricId) id, out);
    else
      gr_buf_printf (out, "%s %lld\n", info->name, (long long) metrics->values[id]);
  }
}

const char *
gr_metric_name (GrMetricId id)
{
  return infos[id].name;
}
