/* gr-load: simulates callers of entry VMs for the demo and the end-to-end tests. It submits a
   seeded mix of requests and jobs, resubmits an id to another VM when a connection breaks, and
   compares every reported outcome with the execution records of the stand-in. */
#pragma once

#include <jansson.h>
#include <uv.h>

#include "net/net_http.h"

#define LOAD_VMS_MAX 64

typedef struct {
  const char *urls;    /* comma-separated base URLs of the entry VMs */
  const char *standin; /* base URL */
  int64_t requests;
  int64_t jobs;
  int64_t rate; /* submissions per second */
  int64_t seed;
  int64_t deadline_ms;  /* time from a submission to its deadline */
  int64_t run_seconds;  /* what has no outcome by then counts as lost */
  const char *teams;    /* comma-separated */
  const char *graceful; /* base URLs of VMs that are only stopped gracefully, or "all" */
  const char *prefix;   /* of every id */
  const char *mix;      /* "all", "idempotent" or "non-idempotent" */
  bool follow_list;     /* also submit to the entry VMs of the stand-in's list */
  const char *lines;    /* file that receives one line per submission, or empty */
} LoadOptions;

typedef enum {
  LOAD_REQUEST,
  LOAD_BATCH,
  LOAD_GANG,
  LOAD_SERVICE
} LoadPolicy;

/* Outcome that the entry VMs reported last for a submission. Printed by number in --lines. */
typedef enum {
  LOAD_OUTCOME_NONE,
  LOAD_OUTCOME_COMPLETED,
  LOAD_OUTCOME_NOT_RUN,
  LOAD_OUTCOME_FAILED,
  LOAD_OUTCOME_CANCELLED,
  LOAD_OUTCOME_UNKNOWN,
  LOAD_OUTCOME_ERROR /* a response that the API does not allow */
} LoadOutcome;

typedef struct Load Load;

/* One submission, from the first call to its final outcome. */
typedef struct {
  Load *load;
  GrName id;
  LoadPolicy policy;
  int32_t tasks;
  bool idempotent;
  bool fails;      /* the payload makes the task fail */
  bool infeasible; /* the deadline cannot be met */
  GrBuf payload;
  GrBuf body;             /* as submitted, the same for every retry */
  int64_t deadline_ms;    /* Unix time */
  int64_t retry_until_ms; /* Unix time after which nothing is retried */
  int64_t cancel_at_ms;   /* Unix time; 0: not cancelled */
  bool cancel_sent;
  int64_t cancelled_ms;     /* Unix time of the acknowledgement of the cancellation; 0: none */
  int64_t first_not_run_ms; /* Unix time of the first not_run response; 0: none */
  int64_t outcome_ms;       /* Unix time of the final outcome */
  bool accepted;            /* the job was acknowledged; poll it instead of submitting again */
  bool ended;
  bool wrong_answer; /* the answer is not the one the stand-in computes for this task */
  LoadOutcome outcome;
  int unknown_answers;   /* "unknown" responses so far */
  int vm;                /* index in Load.vms of the call in flight or last made; -1: none */
  int repeats;           /* calls that were retried because the connection failed */
  int64_t timeout_at_ms; /* uv_now() time at which the call in flight times out */
  uv_timer_t timer;      /* of the next retry */
  GrName why;            /* reason given with the outcome */
} LoadItem;

typedef struct {
  char url[96];
  bool healthy;  /* result of the last health probe or call */
  bool graceful; /* only stopped gracefully: connections that it breaks count as cut off */
  bool probing;  /* a health probe is in flight */
  Load *load;
} LoadVm;

struct Load {
  uv_loop_t *loop;
  LoadOptions options;
  NetHttpClient *client;         /* submissions, polls and the records of the stand-in */
  NetHttpClient *control_client; /* cancellations, health probes and the VM list */
  uint64_t rng;
  LoadVm vms[LOAD_VMS_MAX];
  int vm_count;
  GrName teams[16];
  int team_count;
  LoadItem *items;
  int64_t total;
  int64_t submitted;
  int64_t ended;
  int64_t cut_off;    /* connections broken by a VM that is only stopped gracefully */
  int64_t reconnects; /* calls retried because the connection failed */
  int64_t started_ms; /* Unix time of the first submission; 0: no VM was ready yet */
  uv_timer_t submit_timer;
  uv_timer_t probe_timer;
  uv_timer_t run_timer; /* ends the run after run_seconds */
  bool finishing;
  int code; /* exit code */
};

int64_t load_unix_ms (void);
/* Next number of the seeded generator. */
uint64_t load_random (Load *load);
/* Generates the submission with this index of the seeded mix. */
void load_item_init (LoadItem *item, Load *load, int64_t index);
/* Submits the item and retries or polls until its outcome is final. Cancels it at cancel_at_ms. */
void load_item_start (LoadItem *item);
/* Called once by each item when its outcome is final; the last one ends the run. */
void load_item_on_ended (Load *load);
/* Returns the index of a random healthy VM, of "avoid" only if no other one is healthy, or -1 if
   none is. "avoid" may be -1. */
int load_pick_vm (Load *load, int avoid);
/* Fetches the records of the stand-in, compares all outcomes with them and prints the result lines;
   sets load->code and stops the loop. Returns before the response arrives. */
void load_report_result (Load *load);
