/* Syslog-style lines on standard error: numbered events with a component prefix. */
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

/* The component that writes, for example "sched" on VM "e1". The struct is copied by value. */
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

/* Where lines go; default standard error. */
void gr_log_set_stream (FILE *stream);
/* Highest level that is written; default GR_LOG_INFO. Applies to the whole process. */
void gr_log_set_level (GrLogLevel level);
bool gr_log_enabled (GrEvent event);
/* Writes "<level>TIME VM component[pid]: E<number> text: message". */
void gr_log (const GrLog *log, GrEvent event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* The table of all events, for the catalogue check. */
const GrEventInfo *gr_log_events (size_t *count);

#ifdef __cplusplus
}
#endif
