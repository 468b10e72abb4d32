#include "standin/standin_answer.h"

#include <xxhash.h>

#define DEFAULT_USE_PCT 80

static void
parse_directive (GrStr word, StandinDirectives *out)
{
  if (gr_str_equal (word, GR_STR ("fail"))) {
    out->fail = true;
    return;
  }
  const char *equals = memchr (word.data, '=', word.len);
  if (!equals)
    return;
  GrStr name = { word.data, (size_t) (equals - word.data) };
  int64_t value;
  if (!gr_str_to_int64 ((GrStr){ equals + 1, word.len - name.len - 1 }, &value) || value < 0)
    return;
  if (gr_str_equal (name, GR_STR ("answer")))
    out->answer_bytes = value < STANDIN_ANSWER_MAX ? value : STANDIN_ANSWER_MAX;
  else if (gr_str_equal (name, GR_STR ("use")))
    out->use_pct = value;
  else if (gr_str_equal (name, GR_STR ("run")))
    out->run_ms = value;
}

StandinDirectives
standin_directives (GrStr payload)
{
  StandinDirectives out = { .use_pct = DEFAULT_USE_PCT, .run_ms = -1 };
  size_t at = 0;
  while (at < payload.len) {
    const char *start = payload.data + at;
    const char *space = memchr (start, ' ', payload.len - at);
    size_t len = space ? (size_t) (space - start) : payload.len - at;
    parse_directive ((GrStr){ start, len }, &out);
    at += len + 1;
  }
  return out;
}

void
standin_answer (const GrName *task, GrStr payload, GrBuf *out)
{
  uint64_t hash = XXH64 (payload.data, payload.len, gr_name_hash (task, 1));
  size_t start = out->len;
  gr_buf_printf (out, "%.*s:%016llx", GR_NAME_ARG (*task), (unsigned long long) hash);
  size_t want = (size_t) standin_directives (payload).answer_bytes;
  uint64_t x = hash | 1;
  while (out->len - start < want) {
    /* xorshift64 seeded with the whole hash, so that parts of two answers differ. */
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    char letters[8];
    for (int i = 0; i < 8; i++)
      letters[i] = (char) ('a' + ((x >> (8 * i)) & 15));
    size_t left = want - (out->len - start);
    gr_buf_append (out, letters, left < sizeof letters ? left : sizeof letters);
  }
}
