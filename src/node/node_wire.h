/* Peer messages and their msgpack codec: one array [type, fields...] per frame.

   Messages of a VM to itself have the same form and go through the mailbox of node_peers. */
#pragma once

#include "base/gr_err.h"
#include "job/job.h"
#include "sch/sch.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The values are the message types on the wire. */
typedef enum {
  NODE_WIRE_HEARTBEAT = 1, /* body of own_heartbeat_encode */
  NODE_WIRE_SUMMARY,       /* load of the sender's scheduler */
  NODE_WIRE_CALL,          /* call of a caller, forwarded */
  NODE_WIRE_REPLY,         /* reply to CALL */
  NODE_WIRE_PLACE,         /* request to a scheduler to run an attempt of a task */
  NODE_WIRE_PLACE_RESULT,  /* reply to PLACE */
  NODE_WIRE_REPORT,        /* state of an attempt, from the scheduler to the partition owner */
  NODE_WIRE_REPORT_ACK,
  NODE_WIRE_CANCEL,
  NODE_WIRE_GANG,      /* commit or release of a gang */
  NODE_WIRE_SYNC,      /* request to a scheduler for the tasks of a partition, or for one attempt */
  NODE_WIRE_SYNC_DONE, /* end of the reply to SYNC: the scheduler has sent all it holds */
  NODE_WIRE_CONFIG_OFFER, /* configuration version, request for a record, or record */
  NODE_WIRE_LEAVE,        /* the sender is shutting down and closes its links */
  NODE_WIRE_LOG_HINT      /* the sender committed an ownership record: read the stream now */
} NodeWireKind;

typedef enum {
  NODE_VERB_REQUEST, /* submit and wait for the end */
  NODE_VERB_JOB,     /* submit and wait until durable */
  NODE_VERB_CANCEL,
  NODE_VERB_WAIT,
  NODE_VERB_EXPLAIN,
  NODE_VERB_COUNT
} NodeVerb;

/* Call of a caller that is forwarded to the partition owner. Times are Unix ms. */
typedef struct {
  NodeVerb verb;
  GrName id;                  /* job or request */
  GrName region;              /* home region of the job */
  JobSpec spec;               /* REQUEST, JOB */
  int64_t wait_until_unix_ms; /* WAIT */
  int64_t deadline_unix_ms;   /* the caller does not wait longer than this */
  int32_t hops;               /* number of times it was forwarded */
} NodeCallBody;

typedef enum {
  NODE_REPLY_DONE,  /* reply of the partition owner */
  NODE_REPLY_MOVED, /* the replying VM is not the owner: send the call to the current one */
  NODE_REPLY_COUNT
} NodeReplyStatus;

typedef struct {
  NodeReplyStatus status;
  JobPhase phase;
  JobOutcome outcome;
  GrErrCode why; /* GR_ERR_NONE without a cause */
  GrStr text;    /* answer of the task, or explanation */
} NodeReplyBody;

/* A group whose owner has listed all of its targets under the epoch, or in which all leases of the
   former owner have lapsed. */
typedef struct {
  GrName key;
  int64_t epoch;
} NodeWireGroup;

/* One message; kind selects the member of the union. */
typedef struct {
  NodeWireKind kind;
  union {
    GrStr heartbeat;
    struct {
      SchSummary load;
      int64_t groups; /* owned groups in which the sender may start work */
      GrName region;
    } summary;
    struct {
      int64_t id;
      NodeCallBody body;
    } call;
    struct {
      int64_t id;
      NodeReplyBody body;
    } reply;
    struct {
      GrName id; /* task JOB/INDEX */
      int32_t attempt;
      JobSpec spec;
      GrName part; /* key of the partition */
      int64_t epoch;
      int64_t place_by_unix_ms; /* refused after this time, so that a delayed message of a
                                   paused sender places nothing */
    } place;
    struct {
      GrName id;
      int32_t attempt;
      JobPlaceResult result;
      GrErrCode why;
    } place_result;
    struct {
      GrName id;
      int32_t attempt;
      JobTaskState state;
      GrStr answer;
    } report;
    struct {
      GrName id;
      int32_t attempt;
    } report_ack;
    struct {
      GrName id;
    } cancel;
    struct {
      GrName job;
      bool commit; /* false: release */
    } gang;
    struct {
      int64_t sync; /* id of the request, repeated in SYNC_DONE */
      GrName part;
      int64_t epoch;
      GrName id; /* task; empty: the whole partition */
      int32_t attempt;
    } sync;
    struct {
      int64_t sync;
      GrName part;
      bool present; /* the scheduler holds the requested attempt */
      const NodeWireGroup *groups;
      size_t count;
    } sync_done;
    struct {
      int64_t version;
      bool want;    /* requests the record of a version above this one */
      GrStr record; /* state record of the version; may be empty */
    } config;
  };
} NodeWire;

/* Appends the encoded message to out. */
void node_wire_encode (const NodeWire *wire, GrBuf *out);
/* Decodes one message; its strings point into body. Returns false with GR_ERR_PROTOCOL and the
   field. Release the message with node_wire_clear. */
bool node_wire_decode (GrStr body, NodeWire *wire, GrErr *err);
void node_wire_clear (NodeWire *wire);

#ifdef __cplusplus
}
#endif
