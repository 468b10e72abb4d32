#include "net/net_head.h"

#include <strings.h>

/* Length of the header up to the empty line, or 0. Lines end with LF, with or without CR. */
static size_t
header_end (GrStr bytes, size_t from)
{
  const char *at = bytes.data + from;
  const char *end = bytes.data + bytes.len;
  while (at < end && (at = memchr (at, '\n', (size_t) (end - at))) != NULL) {
    at++;
    if (at < end && *at == '\n')
      return (size_t) (at - bytes.data) + 1;
    if (end - at >= 2 && at[0] == '\r' && at[1] == '\n')
      return (size_t) (at - bytes.data) + 2;
  }
  return 0;
}

static GrStr
trimmed (const char *start, const char *end)
{
  while (start < end && (*start == ' ' || *start == '\t'))
    start++;
  while (end > start && (end[-1] == ' ' || end[-1] == '\t' || end[-1] == '\r'))
    end--;
  return (GrStr){ start, (size_t) (end - start) };
}

static bool
is_word (GrStr text, GrStr word)
{
  return text.len == word.len && strncasecmp (text.data, word.data, word.len) == 0;
}

static void
read_line (NetHead *head, const char *line, const char *end)
{
  const char *colon = memchr (line, ':', (size_t) (end - line));
  if (!colon)
    return;
  GrStr name = trimmed (line, colon);
  GrStr value = trimmed (colon + 1, end);
  if (is_word (name, GR_STR ("content-length"))) {
    int64_t length;
    if (!gr_str_to_int64 (value, &length) || length < 0) {
      head->has_body = true;
      return;
    }
    head->has_body = head->has_body || length > 0;
    if (length > head->body_bytes)
      head->body_bytes = length;
  } else if (is_word (name, GR_STR ("transfer-encoding"))) {
    head->has_body = true;
  } else if (is_word (name, GR_STR ("expect"))) {
    head->expects_continue = true;
  }
}

bool
net_head_scan (NetHead *head, GrStr bytes)
{
  if (head->len > 0)
    return true;
  /* The empty line may have arrived in parts. */
  head->len = header_end (bytes, head->scanned > 3 ? head->scanned - 3 : 0);
  head->scanned = bytes.len;
  if (head->len == 0)
    return false;
  head->body_bytes = -1;
  const char *line = bytes.data;
  const char *stop = bytes.data + head->len;
  const char *end;
  while (line < stop && (end = memchr (line, '\n', (size_t) (stop - line))) != NULL) {
    read_line (head, line, end);
    line = end + 1;
  }
  return true;
}
