/* Codec of the records in the stream "config". Private to src/cfg. */
#pragma once

#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  int64_t base;
  GrName author;
  GR_LIST (CfgFile) files; /* views into the record */
} CfgPublication;

/* A publication together with its version and the last offset that this state reflects. */
typedef struct {
  int64_t version;
  int64_t through;
  GrStr publication;
} CfgStateRecord;

/* Error GR_ERR_PROTOCOL or GR_ERR_INVALID naming the field. Release with
   cfg_publication_clear in either case. */
bool cfg_publication_decode (GrStr record, CfgPublication *out, GrErr *err);
void cfg_publication_clear (CfgPublication *publication);
bool cfg_is_state_record (GrStr record);
bool cfg_state_decode (GrStr record, CfgStateRecord *out, GrErr *err);
void cfg_state_encode (const CfgStateRecord *state, GrBuf *out);
/* Replaces "through" in an encoded state record. */
void cfg_state_set_through (GrBuf *record, int64_t through);

#ifdef __cplusplus
}
#endif
