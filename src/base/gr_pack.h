/* msgpack into buffers, and checked unpacking. */
#pragma once

#include <msgpack.h>

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* True if every declared length and element count fits into the bytes that follow. The unpacker
   allocates by declared counts, so a few malformed bytes could ask for gigabytes. */
bool gr_pack_sizes_fit (GrStr bytes);
/* Makes the packer append to the buffer. */
void gr_pack_init (msgpack_packer *packer, GrBuf *out);
void gr_pack_bool (msgpack_packer *packer, bool value);
void gr_pack_bin (msgpack_packer *packer, GrStr bytes);
/* Unpacks one array that takes up all bytes. Call msgpack_unpacked_init() before and
   msgpack_unpacked_destroy() after, whatever the result. */
bool gr_unpack_array (msgpack_unpacked *unpacked, GrStr bytes);

#ifdef __cplusplus
}
#endif
