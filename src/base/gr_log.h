/* Log lines in the style of syslog: numbered events with a component prefix. */
#pragma once

#include <stdio.h>

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  GR_LOG_ERR = 3,
  GR_LOG_WARNING = 4,
  GR_LOG_NOTICE = 5,
  GR_LOG_INFO = 6,
  GR_LOG_DEBUG = 7
} GrLogLevel;

typedef enum {
#define GR_EVENT(number, name, level, text) GR_EV_##name = (number),
#include "base/gr_events.def"
#undef GR_EVENT
} GrEvent;

/* Source of log lines, for example component "sched" on VM "e1". The struct is copied by value. */
typedef struct {
  GrName vm;
  const char *component; /* static text */
} GrLog;

typedef struct {
  GrEvent event;
  const char *name;
  GrLogLevel level;
  const char *text;
} GrEventInfo;

/* From now on, writes lines to the descriptor instead of standard error; -1 switches back. The
   descriptor is made non-blocking. While its reader is behind, up to 64 KiB of lines are buffered;
   further lines are dropped. Buffered lines are written when the next line is logged. Once the
   buffer is empty again, an event LOG_DROPPED with the number of dropped lines precedes the next
   line. */
void gr_log_set_fd (int fd);
/* Number of lines dropped since the process started. */
uint64_t gr_log_dropped (void);
/* Sets the highest level that is written; default GR_LOG_INFO. Applies to the whole process. */
void gr_log_set_level (GrLogLevel level);
bool gr_log_enabled (GrEvent event);
/* Writes "<level>TIME VM component[pid]: E<number> text: message". */
void gr_log (const GrLog *log, GrEvent event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* The table of all events, for the check of the event catalogue. */
const GrEventInfo *gr_log_events (size_t *count);

#ifdef __cplusplus
}
#endif
