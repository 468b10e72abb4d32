#include "base/gr_str.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

GrStr
gr_str_from_c (const char *text)
{
  return (GrStr){ text, text ? strlen (text) : 0 };
}

bool
gr_str_equal (GrStr a, GrStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
gr_str_starts_with (GrStr s, GrStr prefix)
{
  return s.len >= prefix.len && (prefix.len == 0 || memcmp (s.data, prefix.data, prefix.len) == 0);
}

int
gr_str_compare (GrStr a, GrStr b)
{
  size_t common = a.len < b.len ? a.len : b.len;
  int order = common ? memcmp (a.data, b.data, common) : 0;
  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
gr_str_to_int64 (GrStr s, int64_t *value)
{
  char text[32];
  if (s.len == 0 || s.len >= sizeof text)
    return false;
  memcpy (text, s.data, s.len);
  text[s.len] = '\0';
  if (text[0] != '-' && (text[0] < '0' || text[0] > '9'))
    return false;
  char *end = NULL;
  errno = 0;
  long long parsed = strtoll (text, &end, 10);
  if (errno != 0 || end != text + s.len)
    return false;
  *value = parsed;
  return true;
}

bool
gr_name_set (GrName *name, GrStr s)
{
  memset (name, 0, sizeof *name);
  if (s.len > GR_NAME_MAX)
    return false;
  name->len = (uint8_t) s.len;
  if (s.len > 0)
    memcpy (name->data, s.data, s.len);
  return true;
}

GrName
gr_name_cut (GrStr s)
{
  GrName name = { .len = (uint8_t) (s.len < GR_NAME_MAX ? s.len : GR_NAME_MAX) };
  if (name.len > 0)
    memcpy (name.data, s.data, name.len);
  return name;
}

GrName
gr_name (const char *text)
{
  return gr_name_cut (gr_str_from_c (text));
}

GrName
gr_name_format (const char *format, ...)
{
  char text[GR_NAME_MAX + 1];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return gr_name (text);
}

GrStr
gr_name_str (const GrName *name)
{
  return (GrStr){ name->data, name->len };
}

bool
gr_name_equal (const GrName *a, const GrName *b)
{
  return a->len == b->len && memcmp (a->data, b->data, a->len) == 0;
}

int
gr_name_compare (const GrName *a, const GrName *b)
{
  return gr_str_compare (gr_name_str (a), gr_name_str (b));
}

uint64_t
gr_name_hash (const GrName *name, uint64_t seed)
{
  return XXH64 (name->data, name->len, seed);
}

void *
gr_calloc (size_t count, size_t size)
{
  void *ptr = calloc (count ? count : 1, size ? size : 1);
  if (!ptr)
    abort ();
  return ptr;
}

void *
gr_realloc (void *ptr, size_t size)
{
  void *grown = realloc (ptr, size ? size : 1);
  if (!grown)
    abort ();
  return grown;
}

void *
gr_realloc_items (void *items, size_t count, size_t size)
{
  if (size != 0 && count > SIZE_MAX / size)
    abort ();
  return gr_realloc (items, count * size);
}

static void
buf_reserve (GrBuf *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  if (need <= buf->capacity)
    return;
  size_t capacity = buf->capacity ? buf->capacity : 64;
  while (capacity < need)
    capacity *= 2;
  buf->data = gr_realloc (buf->data, capacity);
  buf->capacity = capacity;
}

void
gr_buf_append (GrBuf *buf, const void *data, size_t len)
{
  buf_reserve (buf, len);
  if (len > 0)
    memcpy (buf->data + buf->len, data, len);
  buf->len += len;
  buf->data[buf->len] = '\0';
}

void
gr_buf_append_str (GrBuf *buf, GrStr s)
{
  gr_buf_append (buf, s.data, s.len);
}

void
gr_buf_printf (GrBuf *buf, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  va_list copy;
  va_copy (copy, args);
  int len = vsnprintf (NULL, 0, format, copy);
  va_end (copy);
  if (len > 0) {
    buf_reserve (buf, (size_t) len);
    vsnprintf (buf->data + buf->len, (size_t) len + 1, format, args);
    buf->len += (size_t) len;
  }
  va_end (args);
}

void
gr_buf_consume (GrBuf *buf, size_t len)
{
  if (len >= buf->len) {
    buf->len = 0;
  } else {
    memmove (buf->data, buf->data + len, buf->len - len);
    buf->len -= len;
  }
  if (buf->data)
    buf->data[buf->len] = '\0';
}

GrStr
gr_buf_str (const GrBuf *buf)
{
  return (GrStr){ buf->data, buf->len };
}

void
gr_buf_clear (GrBuf *buf)
{
  free (buf->data);
  memset (buf, 0, sizeof *buf);
}

char *
gr_str_dup (GrStr s)
{
  char *copy = gr_calloc (s.len + 1, 1);
  if (s.len > 0)
    memcpy (copy, s.data, s.len);
  return copy;
}
