#include "cfg/cfg_publication.h"

#include <stdio.h>
#include <stdlib.h>

#include "cfg/cfg_table.h"

#define PUBLICATION_MAGIC "gentianrelay-config 1"
#define STATE_MAGIC "gentianrelay-config-state 1"
/* Fixed width, so that cfg_state_set_through() can overwrite the number in place. */
#define THROUGH_DIGITS 20
#define PUBLICATION_FILES_MAX 1000

/* Consumes the next line and returns it without the newline; false if there is none. */
static bool
read_line (GrStr *rest, GrStr *line)
{
  const char *end = rest->len > 0 ? memchr (rest->data, '\n', rest->len) : NULL;
  if (!end)
    return false;
  line->data = rest->data;
  line->len = (size_t) (end - rest->data);
  rest->len -= line->len + 1;
  rest->data = end + 1;
  return true;
}

/* Consumes a line "NAME VALUE". */
static bool
read_field (GrStr *rest, const char *name, GrStr *value, GrErr *err)
{
  GrStr line = { 0 };
  GrStr prefix = gr_str_from_c (name);
  if (!read_line (rest, &line) || !gr_str_starts_with (line, prefix) || line.len <= prefix.len
      || line.data[prefix.len] != ' ')
    return gr_err_set (err, GR_ERR_PROTOCOL, name, "line '%s' is missing", name);
  *value = (GrStr){ line.data + prefix.len + 1, line.len - prefix.len - 1 };
  return true;
}

static bool
read_number (GrStr *rest, const char *name, int64_t max, int64_t *value, GrErr *err)
{
  GrStr text = { 0 };
  if (!read_field (rest, name, &text, err))
    return false;
  if (!gr_str_to_int64 (text, value) || *value < 0 || *value > max)
    return gr_err_set (err, GR_ERR_PROTOCOL, name,
                       "'%.*s' is not allowed; allowed is a whole number from 0 to %lld",
                       text.len > 40 ? 40 : (int) text.len, text.data, (long long) max);
  return true;
}

static bool
read_file (GrStr *rest, CfgFile *file, GrErr *err)
{
  GrStr header = { 0 };
  if (!read_field (rest, "file", &header, err))
    return false;
  const char *space = header.len > 0 ? memchr (header.data, ' ', header.len) : NULL;
  int64_t len = -1;
  if (space) {
    file->name = (GrStr){ header.data, (size_t) (space - header.data) };
    GrStr number = { space + 1, header.len - file->name.len - 1 };
    if (!gr_str_to_int64 (number, &len))
      len = -1;
  }
  if (len < 0 || (uint64_t) len >= rest->len || rest->data[len] != '\n')
    return gr_err_set (err, GR_ERR_PROTOCOL, "file",
                       "a file length is malformed or does not match the record");
  file->text = (GrStr){ rest->data, (size_t) len };
  rest->data += len + 1;
  rest->len -= (size_t) len + 1;
  return true;
}

bool
cfg_publication_decode (GrStr record, CfgPublication *out, GrErr *err)
{
  memset (out, 0, sizeof *out);
  GrStr rest = record;
  GrStr line = { 0 };
  GrStr author = { 0 };
  int64_t count = 0;
  if (!read_line (&rest, &line) || !gr_str_equal (line, GR_STR (PUBLICATION_MAGIC)))
    return gr_err_set (err, GR_ERR_PROTOCOL, "record", "the record is not a publication");
  if (!read_number (&rest, "base", INT64_MAX - 1, &out->base, err)
      || !read_field (&rest, "author", &author, err))
    return false;
  if (author.len == 0 || !cfg_text_valid (author, GR_NAME_MAX))
    return gr_err_set (err, GR_ERR_INVALID, "author",
                       "the author is not allowed; allowed is UTF-8 text of 1 to %d bytes",
                       GR_NAME_MAX);
  out->author = gr_name_cut (author);
  if (!read_number (&rest, "files", PUBLICATION_FILES_MAX, &count, err))
    return false;
  for (int64_t i = 0; i < count; i++) {
    CfgFile file = { 0 };
    if (!read_file (&rest, &file, err))
      return false;
    gr_list_push (&out->files, file);
  }
  if (rest.len > 0)
    return gr_err_set (err, GR_ERR_PROTOCOL, "record", "bytes follow the last file");
  return true;
}

void
cfg_publication_clear (CfgPublication *publication)
{
  gr_list_clear (&publication->files);
}

void
cfg_publication_encode (int64_t base_version, const GrName *author, const CfgFile *files,
                        size_t count, GrBuf *out)
{
  gr_buf_printf (out, PUBLICATION_MAGIC "\nbase %lld\nauthor %.*s\nfiles %zu\n",
                 (long long) base_version, GR_NAME_ARG (*author), count);
  for (size_t i = 0; i < count; i++) {
    gr_buf_printf (out, "file %.*s %zu\n", GR_STR_ARG (files[i].name), files[i].text.len);
    gr_buf_append_str (out, files[i].text);
    gr_buf_append (out, "\n", 1);
  }
}

bool
cfg_is_state_record (GrStr record)
{
  return gr_str_starts_with (record, GR_STR (STATE_MAGIC "\n"));
}

bool
cfg_state_decode (GrStr record, CfgStateRecord *out, GrErr *err)
{
  memset (out, 0, sizeof *out);
  GrStr rest = record;
  GrStr line = { 0 };
  if (!read_line (&rest, &line) || !gr_str_equal (line, GR_STR (STATE_MAGIC)))
    return gr_err_set (err, GR_ERR_PROTOCOL, "record", "the record is not a state record");
  if (!read_number (&rest, "through", INT64_MAX - 1, &out->through, err)
      || !read_number (&rest, "version", INT64_MAX - 1, &out->version, err))
    return false;
  out->publication = rest;
  return true;
}

void
cfg_state_encode (const CfgStateRecord *state, GrBuf *out)
{
  gr_buf_printf (out, STATE_MAGIC "\nthrough %0*lld\nversion %lld\n", THROUGH_DIGITS,
                 (long long) state->through, (long long) state->version);
  gr_buf_append_str (out, state->publication);
}

void
cfg_state_set_through (GrBuf *record, int64_t through)
{
  char digits[THROUGH_DIGITS + 1];
  snprintf (digits, sizeof digits, "%0*lld", THROUGH_DIGITS, (long long) through);
  memcpy (record->data + sizeof (STATE_MAGIC "\nthrough ") - 1, digits, THROUGH_DIGITS);
}
