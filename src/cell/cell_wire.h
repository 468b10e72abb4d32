/* Messages between the VMs of a cell: msgpack arrays [type, fields...]. */
#pragma once

#include "cell/cell.h"

typedef enum {
  CELL_WIRE_STATUS = 1, /* heartbeat */
  CELL_WIRE_CALL,       /* a caller's call, to the leader */
  CELL_WIRE_ANSWER,
  CELL_WIRE_ASK,    /* the leader wants advice fetched */
  CELL_WIRE_ADVICE, /* answer to it */
  CELL_WIRE_CONFIG  /* newest configuration, for a VM that has an older one */
} CellWireType;

typedef struct {
  LdrStatus status;
  int64_t config_version;
} CellWireStatus;

typedef struct {
  int64_t id;
  CellVerb verb;
  int64_t config_version; /* in force at the VM that took the call */
  GrName queue;
  GrName job;
  GrStr spec; /* dag_pack_job_spec() */
} CellWireCall;

typedef struct {
  int64_t id;
  CellAnswer answer;
} CellWireAnswer;

typedef struct {
  int64_t token;
  GrName job;
  uint32_t step;
  int64_t expected_ms;
  const GrName *targets;
  size_t count;
} CellWireAsk;

typedef struct {
  int64_t token;
  bool ok;
  const DagAllowed *allowed;
  size_t count;
} CellWireAdvice;

typedef struct {
  CellWireType type;
  union {
    CellWireStatus status;
    CellWireCall call;
    CellWireAnswer answer;
    CellWireAsk ask;
    CellWireAdvice advice;
    GrStr config;
  } u;
  void *decoded_list; /* memory of lists; see cell_wire_clear() */
} CellWireMsg;

void cell_wire_encode (const CellWireMsg *msg, GrBuf *out);
/* Views into unpacked, which the caller has initialised and destroys. Errors: GR_ERR_PROTOCOL. */
bool cell_wire_decode (GrStr body, msgpack_unpacked *unpacked, CellWireMsg *msg, GrErr *err);
void cell_wire_clear (CellWireMsg *msg);

/* Records of the store that the cell writes about its VMs. */
void cell_member_encode (const LdrMember *member, GrBuf *out);
bool cell_member_decode (GrStr value, LdrMember *member);
