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

/* Layout of one encoded item: size of its length field, fixed part of the length, and what the
   length counts. */
typedef struct {
  size_t length_size;
  uint64_t fixed; /* added to the length field; the whole length if length_size is 0 */
  enum {
    COUNTS_NOTHING,
    COUNTS_BYTES,
    COUNTS_ITEMS,
    COUNTS_PAIRS
  } counts;
} ItemLayout;

static ItemLayout
layout_of (unsigned char tag)
{
  if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3)
    return (ItemLayout){ 0, 0, COUNTS_NOTHING };
  if (tag <= 0x8f)
    return (ItemLayout){ 0, tag & 0x0f, COUNTS_PAIRS };
  if (tag <= 0x9f)
    return (ItemLayout){ 0, tag & 0x0f, COUNTS_ITEMS };
  if (tag <= 0xbf)
    return (ItemLayout){ 0, tag & 0x1f, COUNTS_BYTES };
  if (tag >= 0xc4 && tag <= 0xc6) /* bin */
    return (ItemLayout){ (size_t) 1 << (tag - 0xc4), 0, COUNTS_BYTES };
  if (tag >= 0xc7 && tag <= 0xc9) /* ext, with a type byte */
    return (ItemLayout){ (size_t) 1 << (tag - 0xc7), 1, COUNTS_BYTES };
  if (tag == 0xca || tag == 0xcb) /* float */
    return (ItemLayout){ 0, tag == 0xca ? 4 : 8, COUNTS_BYTES };
  if (tag >= 0xcc && tag <= 0xd3) /* integers */
    return (ItemLayout){ 0, (uint64_t) 1 << ((tag - 0xcc) & 3), COUNTS_BYTES };
  if (tag >= 0xd4 && tag <= 0xd8) /* fixext, with a type byte */
    return (ItemLayout){ 0, ((uint64_t) 1 << (tag - 0xd4)) + 1, COUNTS_BYTES };
  if (tag >= 0xd9 && tag <= 0xdb) /* str */
    return (ItemLayout){ (size_t) 1 << (tag - 0xd9), 0, COUNTS_BYTES };
  if (tag == 0xdc || tag == 0xdd)
    return (ItemLayout){ tag == 0xdc ? 2 : 4, 0, COUNTS_ITEMS };
  if (tag == 0xde || tag == 0xdf)
    return (ItemLayout){ tag == 0xde ? 2 : 4, 0, COUNTS_PAIRS };
  return (ItemLayout){ 0, UINT32_MAX, COUNTS_BYTES }; /* 0xc1 is never used */
}

bool
gr_pack_sizes_fit (GrStr bytes)
{
  const unsigned char *data = (const unsigned char *) bytes.data;
  size_t at = 0;
  while (at < bytes.len) {
    ItemLayout layout = layout_of (data[at++]);
    if (layout.length_size > bytes.len - at)
      return false;
    uint64_t length = layout.fixed + read_size (data + at, layout.length_size);
    at += layout.length_size;
    if (layout.counts == COUNTS_PAIRS)
      length *= 2;
    if (length > bytes.len - at)
      return false;
    if (layout.counts == COUNTS_BYTES)
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

void
gr_pack_str (msgpack_packer *packer, GrStr text)
{
  msgpack_pack_str (packer, text.len);
  if (text.len > 0)
    msgpack_pack_str_body (packer, text.data, text.len);
}

void
gr_pack_name (msgpack_packer *packer, const GrName *name)
{
  gr_pack_str (packer, gr_name_str (name));
}

bool
gr_unpack_int (const msgpack_object *object, int64_t *value)
{
  if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
    *value = (int64_t) object->via.u64;
    return object->via.u64 <= INT64_MAX;
  }
  *value = object->via.i64;
  return object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
}

bool
gr_unpack_int32 (const msgpack_object *object, int32_t *value)
{
  int64_t wide;
  if (!gr_unpack_int (object, &wide) || wide < INT32_MIN || wide > INT32_MAX)
    return false;
  *value = (int32_t) wide;
  return true;
}

bool
gr_unpack_double (const msgpack_object *object, double *value)
{
  int64_t whole;
  if (gr_unpack_int (object, &whole)) {
    *value = (double) whole;
    return true;
  }
  if (object->type != MSGPACK_OBJECT_FLOAT64 && object->type != MSGPACK_OBJECT_FLOAT32)
    return false;
  *value = object->via.f64;
  return true;
}

bool
gr_unpack_bool (const msgpack_object *object, bool *value)
{
  *value = object->type == MSGPACK_OBJECT_BOOLEAN && object->via.boolean;
  return object->type == MSGPACK_OBJECT_BOOLEAN;
}

bool
gr_unpack_bytes (const msgpack_object *object, GrStr *bytes)
{
  switch ((int) object->type) {
  case MSGPACK_OBJECT_STR:
    *bytes = (GrStr){ object->via.str.ptr, object->via.str.size };
    return true;
  case MSGPACK_OBJECT_BIN:
    *bytes = (GrStr){ object->via.bin.ptr, object->via.bin.size };
    return true;
  default:
    return false;
  }
}

bool
gr_unpack_name (const msgpack_object *object, GrName *name)
{
  GrStr text;
  return gr_unpack_bytes (object, &text) && gr_name_set (name, text);
}

bool
gr_unpack_is_array (const msgpack_object *object, uint32_t size)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == size;
}

bool
gr_unpack_array (msgpack_unpacked *unpacked, GrStr bytes)
{
  size_t offset = 0;
  return gr_pack_sizes_fit (bytes)
         && msgpack_unpack_next (unpacked, bytes.data, bytes.len, &offset) == MSGPACK_UNPACK_SUCCESS
         && offset == bytes.len && unpacked->data.type == MSGPACK_OBJECT_ARRAY;
}
