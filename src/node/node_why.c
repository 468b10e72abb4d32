#include "node/node_why.h"

#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#define WHY_KEEP_MS 600000
#define WHY_MAX 20000

typedef struct {
  GrName job;
  char text[192];
  int64_t at_ms;
  UT_hash_handle hh;
} Decision;

struct NodeWhy {
  Decision *table; /* oldest first */
};

/* Returns the decision of the task's job, moved to the end of the table. Adds it if there is none,
   in place of the oldest if the table is full. */
static Decision *
put_decision (NodeWhy *why, const GrName *task, int64_t now_ms)
{
  GrName job = job_of_task (task);
  Decision *decision = NULL;
  HASH_FIND (hh, why->table, job.data, job.len, decision);
  if (decision) {
    HASH_DEL (why->table, decision);
  } else {
    if (HASH_COUNT (why->table) >= WHY_MAX) {
      Decision *oldest = why->table;
      /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
      HASH_DEL (why->table, oldest);
      free (oldest);
    }
    decision = gr_calloc (1, sizeof *decision);
    decision->job = job;
  }
  decision->at_ms = now_ms;
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
  HASH_ADD_KEYPTR (hh, why->table, decision->job.data, decision->job.len, decision);
  return decision;
}

void
node_why_place (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms)
{
  static const char *const results[]
      = { "waits at", "holds a reservation at", "refused by", "of unknown fate at" };
  Decision *decision = put_decision (why, &wire->place_result.id, now_ms);
  snprintf (decision->text, sizeof decision->text, "task %.*s attempt %d %s %.*s%s%s",
            GR_NAME_ARG (wire->place_result.id), wire->place_result.attempt,
            results[wire->place_result.result], GR_NAME_ARG (*from),
            wire->place_result.why ? ": " : "",
            wire->place_result.why ? gr_err_name (wire->place_result.why) : "");
}

void
node_why_report (NodeWhy *why, const NodeWire *wire, const GrName *from, int64_t now_ms)
{
  static const char *const states[] = { "runs", "succeeded", "failed", "was stopped", "lapsed" };
  Decision *decision = put_decision (why, &wire->report.id, now_ms);
  snprintf (decision->text, sizeof decision->text, "task %.*s attempt %d %s under %.*s",
            GR_NAME_ARG (wire->report.id), wire->report.attempt, states[wire->report.state],
            GR_NAME_ARG (*from));
}

void
node_why_explain (NodeWhy *why, const GrName *job, GrBuf *out)
{
  Decision *decision = NULL;
  HASH_FIND (hh, why->table, job->data, job->len, decision);
  if (decision)
    gr_buf_printf (out, "%s", decision->text);
}

void
node_why_expire (NodeWhy *why, int64_t now_ms)
{
  /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
  while (why->table && now_ms - why->table->at_ms > WHY_KEEP_MS) {
    Decision *oldest = why->table;
    /* NOLINTNEXTLINE: the analyzer does not follow uthash's links */
    HASH_DEL (why->table, oldest);
    free (oldest);
  }
}

NodeWhy *
node_why_new (void)
{
  return gr_calloc (1, sizeof (NodeWhy));
}
