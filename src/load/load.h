/* gr-load: callers of entry VMs, for the demo and the end-to-end tests. It submits a seeded mix of
   requests and jobs, repeats an id elsewhere when a connection breaks, and compares every outcome
   with the records of the stand-in. */
#pragma once

#include <jansson.h>
#include <uv.h>

#include "net/net_http.h"

#define LOAD_VMS_MAX 64

typedef struct {
  const char *urls; /* comma-separated base URLs of the entry VMs */
  const char *standin;
  int64_t requests;
  int64_t jobs;
  int64_t rate;
  int64_t seed;
  int64_t deadline_ms;
  int64_t run_seconds;
  const char *teams;
  const char *graceful; /* base URLs that are stopped gracefully, or "all" */
  const char *prefix;
  const char *mix;
  bool follow_list;
  const char *lines; /* file that receives one line per submission, or empty */
} LoadOptions;

typedef enum {
  LOAD_REQUEST,
  LOAD_BATCH,
  LOAD_GANG,
  LOAD_SERVICE
} LoadPolicy;

/* What the caller was told last. */
typedef enum {
  LOAD_TOLD_NOTHING,
  LOAD_TOLD_COMPLETED,
  LOAD_TOLD_NOT_RUN,
  LOAD_TOLD_FAILED,
  LOAD_TOLD_CANCELLED,
  LOAD_TOLD_UNKNOWN,
  LOAD_TOLD_ERROR /* an answer that no caller should get */
} LoadTold;

typedef struct Load Load;

typedef struct {
  Load *load;
  GrName id;
  LoadPolicy policy;
  int32_t tasks;
  bool idempotent;
  bool fails;
  bool impossible; /* the deadline cannot be met */
  GrBuf payload;
  GrBuf body;          /* as submitted, the same for every repetition */
  int64_t deadline_ms; /* Unix time */
  int64_t give_up_ms;
  int64_t cancel_at_ms; /* 0: not cancelled */
  bool cancel_sent;
  int64_t cancelled_ms; /* when the cancellation was acknowledged, 0 if not */
  int64_t told_not_run_ms;
  int64_t told_ms;
  bool accepted; /* a job was acknowledged */
  bool ended;
  bool answer_wrong;
  LoadTold told;
  int unknown_answers;
  int vm; /* of the open call */
  int repeats;
  int64_t timeout_at_ms;
  uv_timer_t timer;
  GrName why;
} LoadItem;

typedef struct {
  char url[96];
  bool healthy;
  bool graceful;
  bool probing;
  Load *load;
} LoadVm;

struct Load {
  uv_loop_t *loop;
  LoadOptions options;
  NetHttpClient *client;
  NetHttpClient *cancel_client;
  uint64_t rng;
  LoadVm vms[LOAD_VMS_MAX];
  int vm_count;
  GrName teams[16];
  int team_count;
  LoadItem *items;
  int64_t total;
  int64_t submitted;
  int64_t ended;
  int64_t cut_off;
  int64_t reconnects;
  int64_t started_ms;
  uv_timer_t pace;
  uv_timer_t probe;
  uv_timer_t limit;
  bool finishing;
  int code;
};

int64_t load_now (void);
uint64_t load_random (Load *load);
/* Fills an item of the seeded mix. */
void load_item_make (LoadItem *item, Load *load, int64_t index);
/* Submits it and follows it to its outcome. */
void load_item_run (LoadItem *item);
/* Called by an item when its outcome is known. */
void load_item_ended (Load *load);
/* A healthy VM other than the given one if there is a choice; -1 without any. */
int load_pick_vm (Load *load, int other_than);
/* Reads the records and prints the result; sets load->code and stops the loop. */
void load_verdict (Load *load);
