/* Packing of msgpack into buffers, and checked unpacking. */
#pragma once

#include <msgpack.h>

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns true if every declared length and element count fits into the bytes that follow it. The
   unpacker allocates by declared counts, so a few malformed bytes could otherwise allocate
   gigabytes. */
bool gr_pack_sizes_fit (GrStr bytes);
/* Initialises the packer to append to out. */
void gr_pack_init (msgpack_packer *packer, GrBuf *out);
void gr_pack_bool (msgpack_packer *packer, bool value);
void gr_pack_bin (msgpack_packer *packer, GrStr bytes);
void gr_pack_str (msgpack_packer *packer, GrStr text);
void gr_pack_name (msgpack_packer *packer, const GrName *name);
/* Checked reads of one object; false if it has another type or its value does not fit. */
bool gr_unpack_int (const msgpack_object *object, int64_t *value);
bool gr_unpack_int32 (const msgpack_object *object, int32_t *value);
bool gr_unpack_double (const msgpack_object *object, double *value);
bool gr_unpack_bool (const msgpack_object *object, bool *value);
bool gr_unpack_name (const msgpack_object *object, GrName *name);
/* Bytes of a str or bin object, valid as long as the unpacked result. */
bool gr_unpack_bytes (const msgpack_object *object, GrStr *bytes);
/* Returns true for an array of exactly size elements. */
bool gr_unpack_is_array (const msgpack_object *object, uint32_t size);
/* Unpacks an array that occupies all of bytes; false if it does not. Call msgpack_unpacked_init()
   before and msgpack_unpacked_destroy() after, whatever the result. */
bool gr_unpack_array (msgpack_unpacked *unpacked, GrStr bytes);

#ifdef __cplusplus
}
#endif
