/* A seeded run of real gentianrelay-edge processes under faults. The controller serves the store,
   forwards all traffic between edges and targets, acts as the clients and judges what they and the
   targets have seen. Targets are child processes. All times are ms of CLOCK_MONOTONIC, which all
   processes share. */
#pragma once

#include <jansson.h>
#include <stdio.h>
#include <uv.h>

#include "base/gr_str.h"

#define SOAK_EDGES_MAX 16
#define SOAK_TARGETS_MAX 64
#define SOAK_ZONES 3
#define SOAK_NAME_SIZE 64
#define SOAK_HOST "q.example"
#define SOAK_PREFIX "/jobs/"
#define SOAK_MAX_ATTEMPTS 3
/* Targets have no port of their own in the store: the address of slot N is 127.0.0.1:10000+N, and
   the store replaces it by the port of the reader's path to it. */
#define SOAK_SLOT_PORT 10000

typedef uint64_t SoakRandom;

typedef struct SoakStore SoakStore;
typedef struct SoakPaths SoakPaths;
typedef struct SoakProcs SoakProcs;
typedef struct SoakFaults SoakFaults;
typedef struct SoakClients SoakClients;
typedef struct SoakCheck SoakCheck;

typedef struct {
  const char *edge, *logs, *faults, *edge_options, *first_options;
  int64_t seed, seconds, edges, targets, accounts, interval_ms;
} SoakSettings;

typedef struct {
  SoakSettings settings;
  const char *program; /* path of this program, for child processes */
  uv_loop_t *loop;
  int64_t began_at;
  FILE *events;
  SoakStore *store;
  SoakPaths *paths;
  SoakProcs *procs;
  SoakFaults *faults;
  SoakClients *clients;
  SoakCheck *check;
} Soak;

/* One end of a path that begins at an edge. */
typedef struct {
  bool target;
  int number; /* of the edge, or slot of the target */
} SoakEnd;

int64_t soak_now (void);
int64_t soak_unix_now (void);
/* Seconds since the start of the run, for messages. */
double soak_at (const Soak *soak, int64_t time);
void soak_note (Soak *soak, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
/* Ends the process with a message. */
void soak_die (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));
SoakRandom soak_random (int64_t seed, const char *purpose);
int64_t soak_below (SoakRandom *random, int64_t limit);
int soak_zone (int number);

/* --- Store (soak_store.c) --- */

SoakStore *soak_store_new (Soak *soak);
/* Port of the store for this edge. */
int soak_store_port (const SoakStore *store, int edge);
/* Writes a record of the platform; value "" drops the key. */
void soak_store_write (SoakStore *store, const char *topic, const char *key, const char *value);
/* Publishes the next version of the configuration, with one more route. */
void soak_store_publish (SoakStore *store);
/* Edge that wrote the newest election record; -1: none. */
int soak_store_leader (const SoakStore *store);
/* Edge that won this term; -1: unknown. */
int soak_store_winner (const SoakStore *store, int64_t term);
void soak_store_tick (SoakStore *store);

/* --- Paths (soak_paths.c) --- */

SoakPaths *soak_paths_new (Soak *soak);
/* Sets the port to which all paths to this end lead; 0: refused. */
void soak_paths_set_port (SoakPaths *paths, SoakEnd end, int port);
/* Port of the path from the edge to the end. */
int soak_paths_port (const SoakPaths *paths, int edge, SoakEnd end);
void soak_paths_tick (SoakPaths *paths);

/* --- Processes (soak_procs.c) --- */

SoakProcs *soak_procs_new (Soak *soak);
int soak_procs_front_port (const SoakProcs *procs, int edge);
int soak_procs_ready_port (const SoakProcs *procs, int edge);
/* End that listens on this port in the store's records; false if there is none. */
bool soak_procs_find (const SoakProcs *procs, int port, SoakEnd *end);
bool soak_procs_is_up (const SoakProcs *procs, SoakEnd end);
void soak_procs_pause (SoakProcs *procs, SoakEnd end, int64_t until);
/* new_id: a target starts again under another id. */
void soak_procs_crash (SoakProcs *procs, SoakEnd end, int64_t back_at, bool new_id);
void soak_procs_tick (SoakProcs *procs);
void soak_procs_stop (SoakProcs *procs);

/* --- Faults (soak_faults.c) --- */

typedef enum {
  SOAK_STORE_SERVES,
  SOAK_STORE_SILENT,  /* calls are not answered, and carried out late or never */
  SOAK_STORE_RESETS,  /* connections are closed */
  SOAK_STORE_REFUSES, /* 503 */
  SOAK_STORE_LOSES    /* calls are carried out and not answered */
} SoakStoreMode;

typedef struct {
  bool forward_silent, back_silent, resets;
  int64_t late_ms; /* what is sent arrives so much later */
} SoakPathMode;

SoakFaults *soak_faults_new (Soak *soak);
SoakStoreMode soak_faults_store (const SoakFaults *faults, int edge);
SoakPathMode soak_faults_path (const SoakFaults *faults, int edge, SoakEnd end);
/* Whether reports of the target in this slot do not reach the store. */
bool soak_faults_report_lost (const SoakFaults *faults, int slot);
bool soak_faults_store_down (const SoakFaults *faults);
/* Edge to which clients send every other call; -1: none. */
int soak_faults_busy_edge (const SoakFaults *faults);
void soak_faults_tick (SoakFaults *faults);

/* --- Clients (soak_clients.c) --- */

SoakClients *soak_clients_new (Soak *soak);
void soak_clients_tick (SoakClients *clients);
int soak_clients_count (const SoakClients *clients);
/* Key of an account, numbered from 0 on. */
GrName soak_key (int64_t account);

/* What the clients know of a job. */
typedef struct {
  char id[20];
  char spec[64];
  int64_t sent_at, accepted_at, cancel_sent_at, cancelled_at, completed_at, shown_at;
  int unanswered, refused, unknown_answers;
  int leaks;      /* answers to callers with another key that tell of the job or change it */
  char state[16]; /* newest that was shown */
  int steps, counts[4];
  bool hopeless; /* it needs a label that no target has */
} SoakJob;

/* Length of the names that clients and the operator draw: about the longest that a GrName holds, of
   the domain name system, and beyond. */
size_t soak_name_length (SoakRandom *random);

const SoakJob *soak_clients_job (const SoakClients *clients, int number);
const SoakJob *soak_clients_find (const SoakClients *clients, const char *task);

/* --- Checker (soak_check.c) --- */

SoakCheck *soak_check_new (Soak *soak);
/* A line that a target has written. */
void soak_check_event (SoakCheck *check, int slot, const char *id, int64_t born, const char *line);
void soak_check_crash (SoakCheck *check, int slot, const char *id, int64_t born, int64_t at);
/* Slot of a target that has started a short run since the last call, with this or a higher number
   of the run; -1: none. */
int soak_check_next_start (SoakCheck *check, int first_run);
/* Whether the target in the slot is known to run nothing. */
bool soak_check_is_idle (const SoakCheck *check, int slot);
/* Judges the whole run and prints the violations. Returns their number. */
int soak_check_finish (SoakCheck *check);

/* --- Child processes --- */

int soak_target_main (int argc, char **argv);
