/* A cell of equal entry VMs without disks, on a platform that offers a log with conditional appends
   and targets that refuse orders of earlier terms.

   One VM leads and schedules for the whole cell (dag); the others pass calls on to it, ask for
   placement advice on its behalf and stand by (ldr). All that must last is in the platform's log.
 */
#pragma once

#include <uv.h>

#include "cell/cell_port.h"
#include "ldr/ldr.h"

typedef struct {
  LdrMember self;
  GrName region;
  const char *peer_host; /* IP number to listen on for peers */
  int64_t peer_port;
  GrStr peer_key;
  int64_t lease_ms;
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
  CELL_ANSWER_REFUSED,   /* certainly not accepted; value: when to come back, in ms */
  CELL_ANSWER_UNKNOWN,   /* may have been accepted: the caller repeats the call */
  CELL_ANSWER_NOT_LEADER /* between VMs only */
} CellAnswerKind;

typedef struct {
  CellAnswerKind kind;
  int64_t value;
} CellAnswer;

typedef void (*CellCallDone) (void *user, const CellAnswer *answer);

typedef struct {
  CellVerb verb;
  GrName queue;
  GrName job;             /* unused by CELL_VERB_PENDING */
  const DagJobSpec *spec; /* CELL_VERB_SUBMIT only; copied */
  int64_t deadline_at_ms; /* the caller waits until then */
} CellCall;

/* Errors: GR_ERR_IO if the peer address cannot be bound. The platform must outlive the cell. */
Cell *cell_new (uv_loop_t *loop, const CellOptions *options, const CellPlatform *platform,
                GrErr *err);
/* done runs exactly once, unless cell_cancel_call() comes before. Never from within this call. */
uint64_t cell_call (Cell *cell, const CellCall *request, CellCallDone done, void *user);
/* The caller is gone; the call itself may still take effect. */
void cell_cancel_call (Cell *cell, uint64_t id);
/* Brings the gauges up to date; counters and histograms always are. */
void cell_update_metrics (Cell *cell);
/* NULL before the first configuration. */
const CellConfig *cell_config (const Cell *cell);
/* It can serve: it has a configuration and knows a leader. */
bool cell_is_ready (const Cell *cell);
/* A planned stop: leadership is handed over; open calls go on. */
void cell_leave (Cell *cell);
/* No call is open and this VM does not lead. */
bool cell_is_idle (const Cell *cell);
void cell_free (Cell *cell);
