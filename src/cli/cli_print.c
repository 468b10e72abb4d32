#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "cli/cli.h"

/* Columns of a printed table; further members of the rows are left out. */
#define COLUMNS_MAX 16

int
cli_fail (int exit_code, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (stderr, "gentianrelay: ");
  vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
  return exit_code;
}

int64_t
cli_unix_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Appends a string as it is, other values as JSON. */
static void
append_scalar (GrBuf *out, const json_t *value)
{
  if (json_is_string (value)) {
    gr_buf_append (out, json_string_value (value), json_string_length (value));
    return;
  }
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  gr_buf_append_str (out, gr_str_from_c (text ? text : ""));
  free (text);
}

static void
print_table (json_t *rows)
{
  const char *names[COLUMNS_MAX];
  size_t widths[COLUMNS_MAX];
  size_t columns = 0;
  const char *name;
  json_t *cell;
  json_object_foreach (json_array_get (rows, 0), name, cell)
  {
    if (columns < COLUMNS_MAX) {
      names[columns] = name;
      widths[columns++] = strlen (name);
    }
  }
  /* The first pass measures the column widths, the second prints. */
  for (int pass = 0; pass < 2; pass++) {
    for (size_t c = 0; pass == 1 && c < columns; c++)
      printf ("%-*s%s", (int) widths[c], names[c], c + 1 < columns ? "  " : "\n");
    size_t i;
    json_t *row;
    json_array_foreach (rows, i, row)
    {
      for (size_t c = 0; c < columns; c++) {
        GrBuf text = { 0 };
        cell = json_object_get (row, names[c]);
        if (cell)
          append_scalar (&text, cell);
        if (pass == 0 && text.len > widths[c])
          widths[c] = text.len;
        if (pass == 1)
          printf ("%-*s%s", (int) widths[c], text.data ? text.data : "",
                  c + 1 < columns ? "  " : "\n");
        gr_buf_clear (&text);
      }
    }
  }
}

/* Prints one member; members of an object get its name and a dot as prefix. */
static void
print_member (const char *prefix, const char *name, json_t *value)
{
  GrBuf full_name = { 0 };
  gr_buf_printf (&full_name, "%s%s", prefix, name);
  if (json_is_object (value)) {
    gr_buf_append (&full_name, ".", 1);
    const char *member_name;
    json_t *member;
    json_object_foreach (value, member_name, member)
        print_member (full_name.data, member_name, member);
  } else if (json_is_array (value) && json_is_object (json_array_get (value, 0))) {
    printf ("%s:\n", full_name.data);
    print_table (value);
  } else {
    GrBuf text = { 0 };
    append_scalar (&text, value);
    printf ("%s: %s\n", full_name.data, text.data ? text.data : "");
    gr_buf_clear (&text);
  }
  gr_buf_clear (&full_name);
}

void
cli_print_json (json_t *value, bool as_json)
{
  if (as_json || !json_is_object (value)) {
    json_dumpf (value, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
    putchar ('\n');
    return;
  }
  const char *name;
  json_t *member;
  json_object_foreach (value, name, member) print_member ("", name, member);
}

static int
exit_code_for (int status, GrErrCode code)
{
  switch (code) {
  case GR_ERR_INVALID:
  case GR_ERR_MISSING:
  case GR_ERR_UNKNOWN_FIELD:
  case GR_ERR_TOO_LARGE:
    return GR_EXIT_USAGE;
  case GR_ERR_UNAVAILABLE:
    return GR_EXIT_UNAVAILABLE;
  case GR_ERR_NONE:
    return status == 400 ? GR_EXIT_USAGE : GR_EXIT_FAILED;
  case GR_ERR_CONFLICT:
  case GR_ERR_NOT_FOUND:
  case GR_ERR_NOT_RUN:
  case GR_ERR_UNKNOWN:
  case GR_ERR_FAILED:
  case GR_ERR_CANCELLED:
  case GR_ERR_UNPLACEABLE:
  case GR_ERR_QUOTA:
  case GR_ERR_OVERLOADED:
  case GR_ERR_DEADLINE:
  case GR_ERR_DENIED:
  case GR_ERR_PROTOCOL:
  case GR_ERR_IO:
  case GR_ERR_COUNT:
    return GR_EXIT_FAILED;
  }
  return GR_EXIT_FAILED;
}

int
cli_report_error (const CliSettings *settings, int status, GrStr body)
{
  json_t *answer = json_loadb (body.data ? body.data : "", body.len, 0, NULL);
  json_t *error = json_object_get (answer, "error");
  const char *code = json_string_value (json_object_get (error, "code"));
  const char *field = json_string_value (json_object_get (error, "field"));
  const char *detail = json_string_value (json_object_get (error, "detail"));
  if (settings->json && answer)
    cli_print_json (answer, true);
  cli_fail (0, "%s: %s%s%s (HTTP %d)", code ? code : "failed", field ? field : "",
            field && field[0] ? ": " : "", detail ? detail : "no detail", status);
  int result = exit_code_for (status, code ? gr_err_from_name (gr_str_from_c (code)) : GR_ERR_NONE);
  json_decref (answer);
  return result;
}
