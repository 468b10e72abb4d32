/* Messages between the VMs of a cell: msgpack arrays [type, fields...]. */
#pragma once

#include "cell/cell.h"

typedef enum {
  CELL_WIRE_STATUS = 1,     /* heartbeat */
  CELL_WIRE_CALL,           /* a client call, forwarded to the leader */
  CELL_WIRE_ANSWER,         /* the leader's answer to it */
  CELL_WIRE_ADVICE_REQUEST, /* the leader's request to fetch placement advice */
  CELL_WIRE_ADVICE,         /* answer to it */
  CELL_WIRE_CONFIG,         /* the leader's configuration, for a VM that has an older one */
  CELL_WIRE_ORDER,          /* the leader's request to send an order to a target */
  CELL_WIRE_ORDER_RESULT,   /* outcome of it */
  CELL_WIRE_TERM_CHECK,     /* the leader's question for the newest term that a VM has seen */
  CELL_WIRE_TERM,           /* answer to it */
  CELL_WIRE_CAPABILITIES    /* optional message formats that a VM reads; sent before its first
                               heartbeat */
} CellWireType;

typedef struct {
  LdrStatus status;
  int64_t config_version;
} CellWireStatus;

typedef struct {
  int64_t id;
  CellVerb verb;
  int64_t config_version; /* in force at the VM that received the call */
  GrName queue;
  GrName job;
  GrStr spec; /* dag_pack_job_spec() */
  /* Empty: none; then the message has the format of the versions before accounts, which refuse the
     one with an account. */
  GrName account;
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
} CellWireAdviceRequest;

typedef struct {
  int64_t token;
  bool ok; /* false: the request failed, and allowed is empty */
  const DagAllowed *allowed;
  size_t count;
} CellWireAdvice;

typedef struct {
  int64_t token;
  int64_t term;
  int64_t timeout_ms;  /* from the receipt on */
  bool payload_stored; /* of a start: the receiver has the payload of the job, cmd lacks it */
  DagCmd cmd;          /* DAG_CMD_START, DAG_CMD_STOP, DAG_CMD_HOLD or DAG_CMD_PACE */
} CellWireOrder;

typedef struct {
  int64_t token;
  DagOrderResult result;
  int64_t clock_ms;
  bool has_inventory; /* of a hold with DAG_ORDER_OK */
  DagInventory inventory;
} CellWireOrderResult;

typedef struct {
  int64_t term;        /* check: that of the leader; answer: newest term seen */
  int64_t incarnation; /* of the leader's process */
  int64_t boot_ms;     /* time of the check on the leader's clock that counts while suspended */
} CellWireTerm;

/* Bits of CELL_WIRE_CAPABILITIES: calls with an account, and results DAG_ORDER_CLOSED. */
#define CELL_WIRE_CAPABILITY_ACCOUNTS 1
#define CELL_WIRE_CAPABILITY_CLOSED 2

typedef struct {
  CellWireType type;
  union {
    CellWireStatus status;
    CellWireCall call;
    CellWireAnswer answer;
    CellWireAdviceRequest advice_request;
    CellWireAdvice advice;
    GrStr config; /* the document as published */
    CellWireOrder order;
    CellWireOrderResult order_result;
    CellWireTerm term;    /* CELL_WIRE_TERM_CHECK and CELL_WIRE_TERM */
    int64_t capabilities; /* bit set */
  } u;
  /* Memory of the lists in a decoded message; see cell_wire_clear(). */
  void *decoded_list;
  void *decoded_ends;
} CellWireMsg;

/* Appends the encoded message to *out. */
void cell_wire_encode (const CellWireMsg *msg, GrBuf *out);
/* Decodes a message. Its strings are views into unpacked, which the caller has initialised and
   destroys; its list is freed by cell_wire_clear(). Errors: GR_ERR_PROTOCOL; *msg needs no
   cell_wire_clear() then. */
bool cell_wire_decode (GrStr body, msgpack_unpacked *unpacked, CellWireMsg *msg, GrErr *err);
void cell_wire_clear (CellWireMsg *msg);

/* Encoding of a VM in the records of CELL_TOPIC_MEMBERS and CELL_TOPIC_ELECTION. */
void cell_member_encode (const LdrMember *member, GrBuf *out);
bool cell_member_decode (GrStr value, LdrMember *member);
