/* Check of msgpack input before it is unpacked. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* True if every declared length and element count fits into the bytes that follow. The unpacker
   allocates by declared counts, so a few malformed bytes could ask for gigabytes. */
bool gr_pack_sizes_fit (GrStr bytes);

#ifdef __cplusplus
}
#endif
