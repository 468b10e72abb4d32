/* Keys of names that others choose and that are only compared. */
#pragma once

#include "base/gr_str.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns a name that stands for a text of any length: the text itself, or a digest of it if it is
   longer than GR_NAME_MAX or looks like a digest. Equal texts have equal keys, and different texts
   different ones. The key of the empty text is empty. */
GrName gr_name_key (GrStr text);

#ifdef __cplusplus
}
#endif
