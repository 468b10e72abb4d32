/* Stand-ins for the cases 6 to 10 of this review: the platform's log, executors, clients and the
   operator in one process, which starts the processes of gentianrelay-edge with the command of the
   deploy file. A case is a function that runs the event loop between its steps. All addresses are
   loopback addresses and all times are of the real clock. */
#pragma once

#include <jansson.h>
#include <stdio.h>
#include <uv.h>

#include "net/net_http.h"

#define W2_EDGES_MAX 12
#define W2_TARGETS_MAX 48
#define W2_TEXT_SIZE 128

/* Bounds of the small sites of our pages. */
#define W2_HOLD_MAX_MS 10000
#define W2_STOP_TIMEOUT_MS 200
#define W2_STATUS_S 120
#define W2_GRACE_S 6
#define W2_FINISH_MS 14000
#define W2_RECOVERY_MS 12000

typedef struct W2Store W2Store;
typedef struct W2Target W2Target;

typedef struct {
  char name[W2_TEXT_SIZE];
  char zone[16];
  const char *cpu_share;
  int front_port, ready_port, peer_port, metrics_port;
  uv_process_t process;
  bool up;
  int64_t changed_at; /* last start, kill or stop */
} W2Edge;

typedef struct {
  uv_loop_t *loop;
  const char *case_name, *folder;
  bool trouble;
  FILE *record;
  int64_t began_at;
  W2Store *store;
  int store_port;
  NetHttpClient *client;
  W2Edge edges[W2_EDGES_MAX];
  int edge_count;
  W2Target *targets[W2_TARGETS_MAX];
  int target_count;
} World;

/* One call of a client. */
typedef struct {
  World *world;
  char method[8], path[W2_TEXT_SIZE], host[W2_TEXT_SIZE * 2], id[20];
  int edge;
  int64_t sent_at, answered_at; /* answered_at 0: open */
  int status;                   /* 0: no answer */
  char body[256];
} W2Call;

int64_t w2_now (void);
int64_t w2_unix_now (void);
/* Writes a line with its time to the record. */
void w2_note (World *world, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Ends all processes and this one with code 2: the case could not run. */
void w2_fail (World *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));
/* Runs the event loop for so long. */
void w2_run (World *world, int64_t ms);

/* --- The platform's log (world2_store.c) --- */

W2Store *w2_store_new (World *world);
/* Writes a record of the operator or of an executor; value NULL drops the key. */
void w2_store_write (W2Store *store, const char *topic, const char *key, const char *value);
/* The next count appends of producers are carried out and not answered. */
void w2_store_lose (W2Store *store, int count);
/* Number of answers that were lost. */
int w2_store_lost (const W2Store *store);
int w2_store_calls (const W2Store *store);
/* True if the newest election record names the VM. */
bool w2_store_leads (const W2Store *store, const char *vm);

/* --- Executors (world2_target.c) --- */

W2Target *w2_target_new (World *world, int number, const char *kind);
/* Number of starts of tasks of the job, by all executors. */
int w2_target_starts (const World *world, const char *job);
/* True if a task of the job runs on an executor. */
bool w2_target_works_on (const World *world, const char *job);
/* Cuts the executor off from all others. Its runs go on until it crashes behind the cut; it starts
   again there, under its id. Returns false if it is cut off already. */
bool w2_target_cut (W2Target *target, int64_t crash_after_ms, int64_t back_after_ms);
/* Number of runs of the job's tasks that were at work when their executor crashed. */
int w2_target_crashes (const World *world, const char *job);

/* --- Processes of the system (world2_edge.c) --- */

void w2_edges_new (World *world, int count, const char *first_share, const char *share);
void w2_edge_start (World *world, int number);
void w2_edge_kill (World *world, int number);
void w2_edges_stop (World *world);
/* Runs the loop until the probes of all edges are answered with 200. */
void w2_edges_wait_ready (World *world);
/* Number of the edge that leads; -1: none. */
int w2_edge_leader (const World *world);

/* --- Clients (world2_client.c) --- */

void w2_call (W2Call *call, World *world, int edge, const char *method, const char *host,
              const char *prefix, const char *id, const char *body);
