/* One entry VM of a cell. The entry VMs of a cell are equal and have no disks; the platform offers
   a log with conditional appends, and targets that refuse orders of earlier terms.

   One VM is the leader and schedules for the whole cell (dag). The others forward calls to the
   leader, fetch placement advice for it and replace it when it fails (ldr). All durable state is in
   the platform's log. */
#pragma once

#include <uv.h>

#include "cell/cell_port.h"
#include "ldr/ldr.h"

typedef struct {
  LdrMember self;
  GrName region;
  const char *peer_host; /* IP address to listen on for peers */
  int64_t peer_port;
  GrStr peer_key;   /* shared key of the peers; see NetPeerOptions */
  int64_t lease_ms; /* see DagOptions for this and the next three */
  int64_t lease_max_ms;
  int64_t stop_timeout_ms;
  int64_t status_keep_ms;
  GrMetrics *metrics; /* owned by the caller; must not be NULL */
  GrLog log;
} CellOptions;

typedef struct Cell Cell;

typedef enum {
  CELL_VERB_SUBMIT,
  CELL_VERB_STATUS,
  CELL_VERB_CANCEL,
  CELL_VERB_PENDING
} CellVerb;

typedef enum {
  CELL_ANSWER_ACCEPTED, /* the job is stored */
  CELL_ANSWER_CANCELLED,
  CELL_ANSWER_STATE,   /* value: DagJobState */
  CELL_ANSWER_PENDING, /* value: jobs for which no task has started */
  CELL_ANSWER_NO_JOB,
  CELL_ANSWER_NO_QUEUE,
  CELL_ANSWER_INVALID,
  CELL_ANSWER_REFUSED,    /* had no effect; value: retry after this many ms */
  CELL_ANSWER_UNKNOWN,    /* may have taken effect: the caller repeats the call; value as above */
  CELL_ANSWER_NOT_LEADER, /* between VMs only; value: not 0 if the call may have taken effect */
  CELL_ANSWER_FOREIGN     /* the id of a submission belongs to a job of another account */
} CellAnswerKind;

typedef struct {
  CellAnswerKind kind;
  int64_t value;
} CellAnswer;

typedef void (*CellCallDone) (void *user, const CellAnswer *answer);

typedef struct {
  CellVerb verb;
  GrName queue;
  GrName account;         /* whose key the call has; empty: none */
  GrName job;             /* unused by CELL_VERB_PENDING */
  const DagJobSpec *spec; /* CELL_VERB_SUBMIT only; copied */
  int64_t deadline_at_ms; /* uv_now() at which the caller stops waiting */
} CellCall;

/* Returns NULL on errors: GR_ERR_IO if the peer address cannot be bound. The platform must outlive
   the cell. */
Cell *cell_new (uv_loop_t *loop, const CellOptions *options, const CellPlatform *platform,
                GrErr *err);
/* Starts a call and returns its id for cell_cancel_call(). done runs exactly once, unless the call
   is cancelled or the cell freed first, and never from within this function. */
uint64_t cell_call (Cell *cell, const CellCall *request, CellCallDone done, void *user);
/* Drops the done callback of a call whose caller is gone. The call may still take effect. */
void cell_cancel_call (Cell *cell, uint64_t id);
/* Updates the gauges; counters and histograms are always current. */
void cell_update_metrics (Cell *cell);
/* Returns the configuration in force, or NULL before the first one. Valid until the next run of the
   loop. */
const CellConfig *cell_config (const Cell *cell);
/* Returns true if the VM can serve calls: it has a configuration, has a live leader and is not
   leaving. */
bool cell_is_ready (const Cell *cell);
/* Starts a planned stop: another VM takes over the leadership, open calls continue. */
void cell_leave (Cell *cell);
/* Returns true if no call is open and this VM does not lead. */
bool cell_is_idle (const Cell *cell);
/* The memory is released by the loop once the timer's handle is closed. */
void cell_free (Cell *cell);
