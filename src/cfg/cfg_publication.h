/* Encodes and decodes the records of the stream "config". Private to src/cfg. */
#pragma once

#include "cfg/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  int64_t base; /* version on which the publication is based */
  GrName author;
  GR_LIST (CfgFile) files; /* point into the record */
} CfgPublication;

/* A publication with its version. */
typedef struct {
  int64_t version;
  int64_t through;   /* last offset that this state reflects */
  GrStr publication; /* points into the record */
} CfgStateRecord;

/* Errors: GR_ERR_PROTOCOL or GR_ERR_INVALID with the field. Release out with
   cfg_publication_clear() whatever the result. */
bool cfg_publication_decode (GrStr record, CfgPublication *out, GrErr *err);
void cfg_publication_clear (CfgPublication *publication);
bool cfg_is_state_record (GrStr record);
bool cfg_state_decode (GrStr record, CfgStateRecord *out, GrErr *err);
void cfg_state_encode (const CfgStateRecord *state, GrBuf *out);
/* Overwrites the field "through" of an encoded state record. */
void cfg_state_set_through (GrBuf *record, int64_t through);

#ifdef __cplusplus
}
#endif
