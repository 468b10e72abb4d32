/* Guards against pages that no longer list what the code logs, measures and warns of. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "base/gr_log.h"
#include "base/gr_metric.h"
#include "cfg/cfg_lint.h"

static GrBuf
read_page (const char *path)
{
  GrBuf page = { 0 };
  FILE *file = fopen (path, "rb");
  assert_non_null (file);
  char block[4096];
  size_t len;
  while ((len = fread (block, 1, sizeof block, file)) > 0)
    gr_buf_append (&page, block, len);
  fclose (file);
  return page;
}

/* Lines of the page that begin with the text. */
static size_t
count_rows (const GrBuf *page, const char *start)
{
  size_t count = 0;
  for (const char *line = page->data; line; line = strchr (line, '\n')) {
    line += *line == '\n';
    count += strncmp (line, start, strlen (start)) == 0;
  }
  return count;
}

/* The row has so many cells and none of them is empty. */
static void
check_cells (const GrBuf *page, const char *start, size_t cells)
{
  const char *row = strstr (page->data, start);
  if (!row || count_rows (page, start) != 1)
    fail_msg ("the page has %zu rows '%s'", count_rows (page, start), start);
  size_t bars = 0;
  for (const char *c = row; *c && *c != '\n'; c++) {
    bars += *c == '|';
    if (c[0] == '|' && c[1] == ' ' && c[2] == '|')
      fail_msg ("an empty cell in row '%s'", start);
  }
  assert_int_equal (bars, cells + 1);
}

static void
events_page_lists_every_event (void **state)
{
  (void) state;
  static const char *const levels[] = { [GR_LOG_ERR] = "ERR",
                                        [GR_LOG_WARNING] = "WARNING",
                                        [GR_LOG_NOTICE] = "NOTICE",
                                        [GR_LOG_INFO] = "INFO",
                                        [GR_LOG_DEBUG] = "DEBUG" };
  GrBuf page = read_page ("docs/events.md");
  size_t count;
  const GrEventInfo *events = gr_log_events (&count);
  for (size_t i = 0; i < count; i++) {
    char start[256];
    snprintf (start, sizeof start, "| %d | `%s` | %s | %s |", (int) events[i].event, events[i].name,
              levels[events[i].level], events[i].text);
    check_cells (&page, start, 6);
  }
  size_t rows = 0;
  for (char digit = '1'; digit <= '9'; digit++)
    rows += count_rows (&page, (char[]){ '|', ' ', digit, '\0' });
  assert_int_equal (rows, count);
  gr_buf_clear (&page);
}

static void
metrics_page_lists_every_metric (void **state)
{
  (void) state;
  static const struct {
    const char *name;
    const char *kind;
    const char *help;
  } metrics[] = {
#define COUNTER "counter"
#define GAUGE "gauge"
#define HISTOGRAM "histogram"
#define GR_METRIC(id, kind, name, help) { name, kind, help },
#include "base/gr_metrics.def"
#undef GR_METRIC
  };
  GrBuf page = read_page ("docs/metrics.md");
  size_t count = sizeof metrics / sizeof metrics[0];
  for (size_t i = 0; i < count; i++) {
    char start[256];
    snprintf (start, sizeof start, "| `%s` | %s | %s |", metrics[i].name, metrics[i].kind,
              metrics[i].help);
    check_cells (&page, start, 4);
  }
  assert_int_equal (count_rows (&page, "| `"), count);
  gr_buf_clear (&page);
}

/* Guards against warnings of `config check` that no page explains. */
static void
configuration_page_lists_every_warning (void **state)
{
  (void) state;
  GrBuf page = read_page ("docs/configuration.md");
  for (int i = 0; i < CFG_LINT_COUNT; i++) {
    char start[128];
    snprintf (start, sizeof start, "| `%s` |", cfg_lint_name ((CfgLintCode) i));
    check_cells (&page, start, 2);
  }
  gr_buf_clear (&page);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (events_page_lists_every_event),
    cmocka_unit_test (metrics_page_lists_every_metric),
    cmocka_unit_test (configuration_page_lists_every_warning),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
