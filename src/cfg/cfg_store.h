/* Store with test-only switches. Private to src/cfg and the tests. */
#pragma once

#include "cfg/cfg_tree.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
  bool ignore_base;    /* a publication on an older version is accepted */
  bool offer_any;      /* an offer of a lower version is taken */
  bool ignore_gap;     /* records after missing offsets are judged at once */
  bool ignore_through; /* records that an offer already reflects are judged again */
  CfgTreeFaults tree;
} CfgStoreFaults;

CfgStore *cfg_store_new_faulty (const CfgStoreFaults *faults);

#ifdef __cplusplus
}
#endif
