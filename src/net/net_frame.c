#include "net/net_peer.h"

#define HEADER_BYTES 4

bool
net_frame_feed (NetFrameReader *reader, GrStr bytes, NetFrameFunc func, void *user, GrErr *err)
{
  gr_buf_append (&reader->pending, bytes.data, bytes.len);
  size_t at = 0;
  bool ok = true;
  while (reader->pending.len - at >= HEADER_BYTES) {
    const unsigned char *head = (const unsigned char *) reader->pending.data + at;
    size_t len = (size_t) head[0] << 24 | (size_t) head[1] << 16 | (size_t) head[2] << 8 | head[3];
    size_t max_bytes = reader->max_bytes > 0 ? reader->max_bytes : NET_FRAME_MAX;
    if (len > max_bytes) {
      ok = gr_err_set (err, GR_ERR_TOO_LARGE, "frame", "frame of %zu bytes; allowed are %zu", len,
                       max_bytes);
      break;
    }
    if (reader->pending.len - at - HEADER_BYTES < len)
      break;
    func (user, (GrStr){ reader->pending.data + at + HEADER_BYTES, len });
    at += HEADER_BYTES + len;
  }
  if (at > 0)
    gr_buf_consume (&reader->pending, at);
  return ok;
}

void
net_frame_append (GrBuf *out, GrStr body)
{
  unsigned char head[HEADER_BYTES]
      = { (unsigned char) (body.len >> 24), (unsigned char) (body.len >> 16),
          (unsigned char) (body.len >> 8), (unsigned char) body.len };
  gr_buf_append (out, head, sizeof head);
  gr_buf_append (out, body.data, body.len);
}

void
net_frame_reader_clear (NetFrameReader *reader)
{
  gr_buf_clear (&reader->pending);
}
