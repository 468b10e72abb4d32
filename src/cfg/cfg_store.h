/* Store with fault injection for tests. Private to src/cfg and the tests. */
#pragma once

#include "cfg/cfg_tree.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Each field disables one rule, so that tests can show that a property detects its absence. */
typedef struct {
  bool ignore_base;    /* a publication based on an older version is accepted */
  bool offer_any;      /* a state record of a lower version comes into force */
  bool ignore_gap;     /* records after missing offsets are applied at once */
  bool ignore_through; /* records that the state already reflects are applied again */
  CfgTreeFaults tree;
} CfgStoreFaults;

CfgStore *cfg_store_new_faulty (const CfgStoreFaults *faults);

#ifdef __cplusplus
}
#endif
