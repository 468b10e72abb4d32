#include "base/gr_log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* Longest line written; longer messages are truncated. */
#define LOG_LINE_MAX 1024
/* Buffer for a reader that is behind: about a second of log lines on a busy VM. */
#define PENDING_MAX_BYTES 65536

static const GrEventInfo events[] = {
#define GR_EVENT(number, name, level, text) { GR_EV_##name, #name, GR_LOG_##level, text },
#include "base/gr_events.def"
#undef GR_EVENT
};

static GrLogLevel max_level = GR_LOG_INFO;

/* Non-blocking output; if fd is -1, lines are written to standard error instead. */
static struct {
  int fd;
  char pending[PENDING_MAX_BYTES];
  size_t from, to; /* range of pending that is not written yet */
  uint64_t dropped;
  uint64_t reported; /* dropped lines already reported by LOG_DROPPED */
  GrLog log;         /* source of the line dropped last */
} output = { .fd = -1 };

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
gr_log_set_fd (int fd)
{
  int flags = fd >= 0 ? fcntl (fd, F_GETFL) : -1;
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  output.fd = fd;
}

uint64_t
gr_log_dropped (void)
{
  return output.dropped;
}

bool
gr_log_enabled (GrEvent event)
{
  return find_event (event)->level <= max_level;
}

/* Formats one line into buffer, which holds LOG_LINE_MAX bytes; returns its length. */
static size_t
format_line (char *buffer, const GrLog *log, const GrEventInfo *info, const char *format,
             va_list args)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char time_text[32];
  size_t time_len = strftime (time_text, sizeof time_text, "%Y-%m-%dT%H:%M:%S", &utc);
  int head_len
      = snprintf (buffer, LOG_LINE_MAX, "<%d>%.*s.%03ldZ %.*s %s[%d]: E%d %s: ", info->level,
                  (int) time_len, time_text, now.tv_nsec / 1000000, GR_NAME_ARG (log->vm),
                  log->component, (int) getpid (), (int) info->event, info->text);
  int body_len = vsnprintf (buffer + head_len, LOG_LINE_MAX - (size_t) head_len - 1, format, args);
  size_t total = (size_t) head_len + (body_len > 0 ? (size_t) body_len : 0);
  if (total > LOG_LINE_MAX - 2)
    total = LOG_LINE_MAX - 2;
  buffer[total++] = '\n';
  return total;
}

/* Writes as much as possible without blocking. */
static void
flush_pending (void)
{
  while (output.from < output.to) {
    ssize_t written = write (output.fd, output.pending + output.from, output.to - output.from);
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      break;
    output.from += (size_t) written;
  }
  memmove (output.pending, output.pending + output.from, output.to - output.from);
  output.to -= output.from;
  output.from = 0;
}

/* Returns false, with nothing buffered, if there is no space for the whole line. */
static bool
buffer_line (const char *line, size_t len)
{
  if (len > sizeof output.pending - output.to)
    return false;
  memcpy (output.pending + output.to, line, len);
  output.to += len;
  return true;
}

static void __attribute__ ((format (printf, 3, 4)))
buffer_event (const GrLog *log, GrEvent event, const char *format, ...)
{
  char line[LOG_LINE_MAX];
  va_list args;
  va_start (args, format);
  size_t len = format_line (line, log, find_event (event), format, args);
  va_end (args);
  if (buffer_line (line, len))
    output.reported = output.dropped;
}

static void
write_nonblocking (const GrLog *log, const char *line, size_t len)
{
  flush_pending ();
  if (output.dropped > output.reported && output.to == 0)
    buffer_event (&output.log, GR_EV_LOG_DROPPED, "lines=%llu",
                  (unsigned long long) (output.dropped - output.reported));
  if (!buffer_line (line, len)) {
    output.dropped++;
    output.log = *log;
  }
  flush_pending ();
}

void
gr_log (const GrLog *log, GrEvent event, const char *format, ...)
{
  const GrEventInfo *info = find_event (event);
  if (info->level > max_level)
    return;
  char line[LOG_LINE_MAX];
  va_list args;
  va_start (args, format);
  size_t len = format_line (line, log, info, format, args);
  va_end (args);
  if (output.fd >= 0) {
    write_nonblocking (log, line, len);
    return;
  }
  fwrite (line, 1, len, stderr);
  fflush (stderr);
}

const GrEventInfo *
gr_log_events (size_t *count)
{
  *count = sizeof events / sizeof events[0];
  return events;
}
