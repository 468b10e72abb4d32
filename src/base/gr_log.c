#include "base/gr_log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* Longest line written; longer messages are truncated. */
#define LOG_LINE_MAX 1024

static const GrEventInfo events[] = {
#define GR_EVENT(number, name, level, text) { GR_EV_##name, #name, GR_LOG_##level, text },
#include "base/gr_events.def"
#undef GR_EVENT
};

static GrLogLevel max_level = GR_LOG_INFO;
static FILE *log_stream; /* NULL: standard error */

static const GrEventInfo *
find_event (GrEvent event)
{
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++) {
    if (events[i].event == event)
      return &events[i];
  }
  return &events[0];
}

void
gr_log_set_level (GrLogLevel level)
{
  max_level = level;
}

void
gr_log_set_stream (FILE *stream)
{
  log_stream = stream;
}

bool
gr_log_enabled (GrEvent event)
{
  return find_event (event)->level <= max_level;
}

void
gr_log (const GrLog *log, GrEvent event, const char *format, ...)
{
  const GrEventInfo *info = find_event (event);
  if (info->level > max_level)
    return;
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char line[LOG_LINE_MAX];
  size_t len = strftime (line, sizeof line, "%Y-%m-%dT%H:%M:%S", &utc);
  char head[LOG_LINE_MAX];
  int head_len = snprintf (head, sizeof head, "<%d>%.*s.%03ldZ %.*s %s[%d]: E%d %s: ", info->level,
                           (int) len, line, now.tv_nsec / 1000000, GR_NAME_ARG (log->vm),
                           log->component, (int) getpid (), (int) event, info->text);
  va_list args;
  va_start (args, format);
  int body_len = vsnprintf (head + head_len, sizeof head - (size_t) head_len - 1, format, args);
  va_end (args);
  size_t total = (size_t) head_len + (body_len > 0 ? (size_t) body_len : 0);
  if (total > sizeof head - 2)
    total = sizeof head - 2;
  head[total++] = '\n';
  FILE *stream = log_stream ? log_stream : stderr;
  fwrite (head, 1, total, stream);
  fflush (stream);
}

const GrEventInfo *
gr_log_events (size_t *count)
{
  *count = sizeof events / sizeof events[0];
  return events;
}
