#include "base/gr_pack.h"

/* Big-endian integer of size bytes. */
static uint64_t
read_size (const unsigned char *data, size_t size)
{
  uint64_t value = 0;
  for (size_t i = 0; i < size; i++)
    value = value << 8 | data[i];
  return value;
}

/* Form of one item: size of its length field, size of a fixed body, and what the length counts. */
typedef struct {
  size_t length_size;
  uint64_t fixed; /* body bytes, or count if length_size is 0 */
  enum {
    COUNTS_NOTHING,
    COUNTS_BYTES,
    COUNTS_ITEMS,
    COUNTS_PAIRS
  } counts;
} Form;

static Form
form_of (unsigned char tag)
{
  if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3)
    return (Form){ 0, 0, COUNTS_NOTHING };
  if (tag <= 0x8f)
    return (Form){ 0, tag & 0x0f, COUNTS_PAIRS };
  if (tag <= 0x9f)
    return (Form){ 0, tag & 0x0f, COUNTS_ITEMS };
  if (tag <= 0xbf)
    return (Form){ 0, tag & 0x1f, COUNTS_BYTES };
  if (tag >= 0xc4 && tag <= 0xc6) /* bin */
    return (Form){ (size_t) 1 << (tag - 0xc4), 0, COUNTS_BYTES };
  if (tag >= 0xc7 && tag <= 0xc9) /* ext, with a type byte */
    return (Form){ (size_t) 1 << (tag - 0xc7), 1, COUNTS_BYTES };
  if (tag == 0xca || tag == 0xcb) /* float */
    return (Form){ 0, tag == 0xca ? 4 : 8, COUNTS_BYTES };
  if (tag >= 0xcc && tag <= 0xd3) /* integers */
    return (Form){ 0, (uint64_t) 1 << ((tag - 0xcc) & 3), COUNTS_BYTES };
  if (tag >= 0xd4 && tag <= 0xd8) /* fixext, with a type byte */
    return (Form){ 0, ((uint64_t) 1 << (tag - 0xd4)) + 1, COUNTS_BYTES };
  if (tag >= 0xd9 && tag <= 0xdb) /* str */
    return (Form){ (size_t) 1 << (tag - 0xd9), 0, COUNTS_BYTES };
  if (tag == 0xdc || tag == 0xdd)
    return (Form){ tag == 0xdc ? 2 : 4, 0, COUNTS_ITEMS };
  if (tag == 0xde || tag == 0xdf)
    return (Form){ tag == 0xde ? 2 : 4, 0, COUNTS_PAIRS };
  return (Form){ 0, UINT32_MAX, COUNTS_BYTES }; /* 0xc1 is never used */
}

bool
gr_pack_sizes_fit (GrStr bytes)
{
  const unsigned char *data = (const unsigned char *) bytes.data;
  size_t at = 0;
  while (at < bytes.len) {
    Form form = form_of (data[at++]);
    if (form.length_size > bytes.len - at)
      return false;
    uint64_t length = form.fixed + read_size (data + at, form.length_size);
    at += form.length_size;
    if (form.counts == COUNTS_PAIRS)
      length *= 2;
    if (length > bytes.len - at)
      return false;
    if (form.counts == COUNTS_BYTES)
      at += length;
  }
  return true;
}

static int
append_to_buf (void *out, const char *data, size_t len)
{
  gr_buf_append (out, data, len);
  return 0;
}

void
gr_pack_init (msgpack_packer *packer, GrBuf *out)
{
  msgpack_packer_init (packer, out, append_to_buf);
}

void
gr_pack_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

void
gr_pack_bin (msgpack_packer *packer, GrStr bytes)
{
  msgpack_pack_bin (packer, bytes.len);
  if (bytes.len > 0)
    msgpack_pack_bin_body (packer, bytes.data, bytes.len);
}

bool
gr_unpack_array (msgpack_unpacked *unpacked, GrStr bytes)
{
  size_t offset = 0;
  return gr_pack_sizes_fit (bytes)
         && msgpack_unpack_next (unpacked, bytes.data, bytes.len, &offset) == MSGPACK_UNPACK_SUCCESS
         && offset == bytes.len && unpacked->data.type == MSGPACK_OBJECT_ARRAY;
}
