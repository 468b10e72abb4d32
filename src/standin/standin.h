/* Stand-in for the platform and its targets, for tests: the log service, the VM list, workers,
   executors and a control interface in one process with one event loop. It speaks section 3.2 of
   docs/design.md and keeps its own record of everything that ran. */
#pragma once

#include <jansson.h>
#include <uv.h>

#include "base/gr_res.h"
#include "net/net_http.h"

typedef struct {
  const char *listen_host;
  int64_t listen_port;
  const char *port_file;
  int64_t workers;
  int64_t executors;
  const char *regions; /* comma-separated */
  int64_t racks_of;
  int64_t zones;
  int64_t worker_cpu_milli;
  int64_t worker_memory_mb;
  int64_t worker_accelerators;
  int64_t executor_cpu_milli;
  int64_t executor_memory_mb;
  int64_t executor_slots;
  int64_t executor_connections;
  int64_t seed;
  int64_t list_lag_ms;
  int64_t append_delay_ms;
  int64_t retention_records;
  int64_t run_seconds;
  bool accept_overcommit;
  bool relay_peers;
} StandinOptions;

typedef struct StandinLog StandinLog;
typedef struct StandinList StandinList;
typedef struct StandinTargets StandinTargets;
typedef struct StandinRecords StandinRecords;
typedef struct StandinRelay StandinRelay;

typedef struct {
  uv_loop_t *loop;
  StandinOptions options;
  char base_url[96]; /* "http://IP:PORT" */
  uint64_t rng;
  StandinLog *log;
  StandinList *list;
  StandinTargets *targets;
  StandinRecords *records;
  StandinRelay *relay;
} Standin;

/* Unix ms. */
int64_t standin_now (void);
/* Next number of the seeded generator. */
uint64_t standin_random (Standin *standin);
/* True with the given chance per thousand. */
bool standin_chance (Standin *standin, int64_t permille);

/* One HTTP call with its own copy of the request, so that it can be handled and answered later and
   survives a caller that goes away. It ends with exactly one reply or drop. */
typedef struct StandinCall StandinCall;
typedef void (*StandinCallFunc) (StandinCall *call);

struct StandinCall {
  Standin *standin;
  NetHttpExchange *exchange; /* NULL once the caller is gone */
  GrName method;
  GrBuf path, query, body;
  int64_t answer_delay_ms;
  bool lose_answer; /* the connection closes instead of the reply */
  /* Runs when the caller goes away before the reply; may end the call. */
  StandinCallFunc on_gone;
  void *owner;             /* for on_gone */
  void (*on_end) (void *); /* runs when the call ends */
  void *on_end_user;
  uv_timer_t timer;
  bool timer_open;
  StandinCallFunc later;
  int status;
  GrBuf answer;
  const char *answer_type;
};

StandinCall *standin_call_new (Standin *standin, NetHttpExchange *exchange,
                               const NetHttpRequest *request);
/* Runs func after ms. */
void standin_call_later (StandinCall *call, int64_t ms, StandinCallFunc func);
void standin_call_reply (StandinCall *call, int status, const char *type, GrStr body);
/* Takes the reference of json. */
void standin_call_json (StandinCall *call, int status, json_t *json);
/* Answers {"error":{"code","detail"}}. */
void standin_call_error (StandinCall *call, int status, const char *code, const char *detail);
void standin_call_drop (StandinCall *call);
/* Parsed body, or NULL after answering 400. */
json_t *standin_call_body (StandinCall *call);

/* Fields of JSON objects; false or the default if absent or of another type. */
bool standin_json_name (const json_t *object, const char *field, GrName *out);
int64_t standin_json_int (const json_t *object, const char *field, int64_t fallback);
json_t *standin_json_text (GrStr s);

/* Log service: POST and GET of /log/STREAM. */
StandinLog *standin_log_new (Standin *standin);
void standin_log_call (StandinLog *log, StandinCall *call, GrStr stream);
/* {"outage":bool,"lost_permille":N,"slow_ms":N}; absent fields stay. */
void standin_log_control (StandinLog *log, StandinCall *call);

/* VM list. A change shows after the list's lag. */
typedef struct {
  GrName id;
  GrName region;
  GrName zone;
  GrName rack;
  const char *role; /* static text */
  bool leaving;
  GrBuf url;
  GrName peer;
  int64_t incarnation;
  GrRes capacity;
  int64_t connections;
} StandinVm;

StandinList *standin_list_new (Standin *standin);
/* Adds or changes an entry; vm is copied. */
void standin_list_put (StandinList *list, const StandinVm *vm, int64_t lag_ms);
void standin_list_remove (StandinList *list, const GrName *id, int64_t lag_ms);
int64_t standin_list_lag (const StandinList *list);
void standin_list_call (StandinList *list, StandinCall *call);
/* POST /control/vms, DELETE /control/vms/ID, POST /control/list {"down":bool,"lag_ms":N}. */
void standin_list_register (StandinList *list, StandinCall *call);
void standin_list_unregister (StandinList *list, StandinCall *call, GrStr id);
void standin_list_control (StandinList *list, StandinCall *call);

/* Workers and executors. */
StandinTargets *standin_targets_new (Standin *standin);
/* Handles URL/start, URL/lease, URL/stop and URL/tasks of one target. */
void standin_targets_call (StandinTargets *targets, StandinCall *call, GrStr id, GrStr verb);
void standin_targets_control (StandinTargets *targets, StandinCall *call, GrStr id);

/* Record of what ran, independent of what any daemon says. */
typedef struct {
  int64_t started;
  int64_t succeeded;
  int64_t failed;
  int64_t stopped;
  int64_t lapsed;
  int64_t killed;             /* ended by a target that went down */
  int64_t overloaded;         /* moments when demands or connections exceeded a target */
  int64_t overused;           /* moments when the observed use exceeded a target */
  int64_t overcommit_refused; /* starts refused with 507 */
  int64_t duplicated;         /* completions of a task after its first */
  int64_t concurrent;         /* starts while another attempt of the task ran */
  int64_t
      started_after_leaving; /* new starts sent later than 3 s after the first sign of leaving */
  int64_t refused_leaving;
  int64_t refused_stale;
  int64_t refused_late;
} StandinTotals;

typedef enum {
  STANDIN_RUNNING,
  STANDIN_SUCCEEDED,
  STANDIN_FAILED,
  STANDIN_STOPPED,
  STANDIN_LAPSED,
  STANDIN_KILLED
} StandinTaskState;

const char *standin_state_name (StandinTaskState state);

StandinRecords *standin_records_new (void);
StandinTotals *standin_records_totals (StandinRecords *records);
void standin_records_start (StandinRecords *records, const GrName *id, int32_t attempt,
                            const GrName *target);
void standin_records_end (StandinRecords *records, const GrName *id, int32_t attempt,
                          const GrName *target, StandinTaskState state);
/* GET /control/records and GET /control/totals. */
void standin_records_call (StandinRecords *records, StandinCall *call, bool with_tasks);

/* TCP relays in front of the peer ports of entry VMs, so that a test can cut the links of a pair.
 */
StandinRelay *standin_relay_new (Standin *standin);
/* Address to list instead of the VM's own one; false if no port could be opened. */
bool standin_relay_add (StandinRelay *relay, const GrName *vm, const GrName *peer, GrName *listed);
/* POST /control/link {"a":VM,"b":VM,"cut":bool}; "b" absent: all links of "a". */
void standin_relay_control (StandinRelay *relay, StandinCall *call);
