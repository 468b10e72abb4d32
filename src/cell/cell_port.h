/* Ports of a cell: the functions of the platform that the scheduler uses. An adapter fills them in.
   None of them blocks. Each done function runs exactly once, after the call has returned, with
   arguments that are valid while it runs. Times are uv_now() of the loop, in ms. */
#pragma once

#include "cell/cell_config.h"
#include "dag/dag.h"

/* Topics of the store, which is the platform's log. */
typedef enum {
  CELL_TOPIC_ELECTION, /* claims to leadership, all under one key */
  CELL_TOPIC_MEMBERS,  /* entry VMs by id */
  CELL_TOPIC_JOBS,     /* records of the scheduler */
  CELL_TOPIC_CONFIG,   /* written by the operator */
  CELL_TOPIC_TARGETS,  /* written by the targets */
  CELL_TOPIC_COUNT
} CellTopic;

/* One record of a topic. An empty value deletes the key. */
typedef struct {
  GrStr key;
  GrStr value;
} CellEntry;

typedef enum {
  CELL_STORE_OK,
  CELL_STORE_END_MISMATCH, /* append: the topic does not end at the expected offset */
  CELL_STORE_FENCED,       /* append: the store has seen a later term */
  CELL_STORE_TRIMMED,      /* read: records at the requested offset were deleted */
  CELL_STORE_FAILED,       /* the call had no effect */
  CELL_STORE_UNKNOWN       /* append: it may have taken effect, or may still do so */
} CellStoreResult;

/* Name for logs. */
static inline const char *
cell_store_result_name (CellStoreResult result)
{
  switch (result) {
  case CELL_STORE_OK:
    return "ok";
  case CELL_STORE_END_MISMATCH:
    return "end-mismatch";
  case CELL_STORE_FENCED:
    return "fenced";
  case CELL_STORE_TRIMMED:
    return "trimmed";
  case CELL_STORE_FAILED:
    return "failed";
  case CELL_STORE_UNKNOWN:
    break;
  }
  return "unknown";
}

typedef struct {
  CellTopic topic;
  const CellEntry *entries; /* borrowed for the call; none: only the term is set */
  size_t count;
  int64_t expected_end; /* append only if the topic ends at this offset; -1: no condition */
  int64_t term;         /* fencing token; 0: no fencing */
  int64_t sequence;     /* within the term; retries carry the same, which makes them idempotent */
  int64_t timeout_at_ms;
} CellAppend;

/* offset is that of the written record, for appends of one record; -1 unless result is
   CELL_STORE_OK. */
typedef void (*CellAppendDone) (void *user, CellStoreResult result, int64_t offset);
/* offset is that of the first entry, end the one after the newest record of the topic. */
typedef void (*CellReadDone) (void *user, CellStoreResult result, const CellEntry *entries,
                              size_t count, int64_t offset, int64_t end);
/* more: the listing has another page. end is the offset after the newest record of the topic. */
typedef void (*CellNewestDone) (void *user, CellStoreResult result, const CellEntry *entries,
                                size_t count, bool more, int64_t end);

/* clock_ms is the monotonic clock of the target; valid with DAG_ORDER_OK only. */
typedef void (*CellOrderDone) (void *user, DagOrderResult result, int64_t clock_ms);
/* inventory is NULL unless result is DAG_ORDER_OK. */
typedef void (*CellHoldDone) (void *user, DagOrderResult result, const DagInventory *inventory);
/* ok is false if the request failed; then allowed is empty. */
typedef void (*CellAdviceDone) (void *user, bool ok, const DagAllowed *allowed, size_t count);

typedef struct {
  void *adapter;
  void (*append) (void *adapter, const CellAppend *append, CellAppendDone done, void *user);
  /* Records from an offset on. At the end of the topic the store waits up to wait_ms for one. */
  void (*read) (void *adapter, CellTopic topic, int64_t from, int64_t wait_ms,
                int64_t timeout_at_ms, CellReadDone done, void *user);
  /* Newest record of each key, in pages; after is the last key of the previous page. */
  void (*newest) (void *adapter, CellTopic topic, GrStr after, int64_t timeout_at_ms,
                  CellNewestDone done, void *user);
  /* Send an order to a target, with term as the fencing token. The command is borrowed for the
     call. */
  void (*start) (void *adapter, const DagCmd *start, int64_t term, int64_t timeout_at_ms,
                 CellOrderDone done, void *user);
  void (*stop) (void *adapter, const DagCmd *stop, int64_t term, int64_t timeout_at_ms,
                CellOrderDone done, void *user);
  void (*pace) (void *adapter, const DagCmd *pace, int64_t term, int64_t timeout_at_ms,
                CellOrderDone done, void *user);
  /* Order that renews the leases of a target and reads its inventory. */
  void (*hold) (void *adapter, const DagCmd *hold, int64_t term, int64_t timeout_at_ms,
                CellHoldDone done, void *user);
  /* Requests placement advice: which of the targets may run the step. */
  void (*advise) (void *adapter, const GrName *job, uint32_t step, const GrName *targets,
                  size_t count, int64_t timeout_at_ms, CellAdviceDone done, void *user);
  /* Decode the records that operators and targets write. Errors: GR_ERR_PROTOCOL. */
  bool (*decode_config) (void *adapter, GrStr value, CellConfig *config, GrErr *err);
  bool (*decode_target) (void *adapter, GrStr key, GrStr value, DagTargetInfo *info, GrErr *err);
  /* Key of the configuration in CELL_TOPIC_CONFIG. */
  GrStr config_key;
} CellPlatform;
