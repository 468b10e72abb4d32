/* Peer messages and their msgpack codec: an array [type, fields...] per frame.

   A task that talks to the VM it runs on uses the same messages through the local mailbox. */
#pragma once

#include "base/gr_err.h"
#include "job/job.h"
#include "sch/sch.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
  NODE_WIRE_HEARTBEAT = 1, /* body of own_heartbeat_encode */
  NODE_WIRE_SUMMARY,
  NODE_WIRE_CALL,
  NODE_WIRE_REPLY,
  NODE_WIRE_PLACE,
  NODE_WIRE_PLACE_RESULT,
  NODE_WIRE_REPORT,
  NODE_WIRE_REPORT_ACK,
  NODE_WIRE_CANCEL,
  NODE_WIRE_GANG,
  NODE_WIRE_SYNC,      /* ask a scheduler for the tasks of a partition, or for one attempt */
  NODE_WIRE_SYNC_DONE, /* all that the scheduler holds was sent before */
  NODE_WIRE_CONFIG_OFFER,
  NODE_WIRE_FAREWELL,
  NODE_WIRE_LOG_HINT /* the sender committed an ownership record: read the stream now */
} NodeWireKind;

typedef enum {
  NODE_VERB_REQUEST, /* submit and wait for the end */
  NODE_VERB_JOB,     /* submit and wait until durable */
  NODE_VERB_CANCEL,
  NODE_VERB_WAIT,
  NODE_VERB_EXPLAIN,
  NODE_VERB_COUNT
} NodeVerb;

/* A caller's call on its way to the partition owner. */
typedef struct {
  NodeVerb verb;
  GrName id;                  /* job or request */
  GrName region;              /* home region of the job */
  JobSpec spec;               /* REQUEST, JOB */
  int64_t wait_until_unix_ms; /* WAIT */
  int64_t deadline_unix_ms;   /* after this the caller no longer waits */
  int32_t hops;               /* forwards so far */
} NodeCallBody;

typedef enum {
  NODE_REPLY_DONE,  /* the answer of the partition owner */
  NODE_REPLY_MOVED, /* not the owner, or no longer: ask the new one */
  NODE_REPLY_COUNT
} NodeReplyStatus;

typedef struct {
  NodeReplyStatus status;
  JobPhase phase;
  JobOutcome outcome;
  GrErrCode why;
  GrStr text; /* answer of the task, or explanation */
} NodeReplyBody;

/* A group and the epoch under which its owner has settled all its targets. */
typedef struct {
  GrName key;
  int64_t epoch;
} NodeWireGroup;

typedef struct {
  NodeWireKind kind;
  union {
    GrStr heartbeat;
    struct {
      SchSummary load;
      int64_t groups; /* groups that may start work there */
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
      int64_t place_by_unix_ms; /* refused later, so that a paused sender cannot place */
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
      bool commit; /* else release */
    } gang;
    struct {
      int64_t sync;
      GrName part;
      int64_t epoch;
      GrName id; /* empty: the whole partition */
      int32_t attempt;
    } sync;
    struct {
      int64_t sync;
      GrName part;
      bool present; /* the single attempt that was asked for is here */
      const NodeWireGroup *groups;
      size_t count;
    } sync_done;
    struct {
      int64_t version;
      bool want;    /* asks for the record of a higher version */
      GrStr record; /* empty: only the version */
    } config;
  };
} NodeWire;

void node_wire_encode (const NodeWire *wire, GrBuf *out);
/* Strings borrow from body. Error GR_ERR_PROTOCOL naming the field. Release with
   node_wire_clear. */
bool node_wire_decode (GrStr body, NodeWire *wire, GrErr *err);
void node_wire_clear (NodeWire *wire);

#ifdef __cplusplus
}
#endif
