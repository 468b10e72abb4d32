/* Stand-in for the platform and its targets, for tests: the log service, the VM list, workers,
   executors and a control interface in one process with one event loop. It implements the
   interfaces of section 3.2 of docs/design.md and records every attempt that ran on its targets. */
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
  int64_t racks_of;    /* targets per rack */
  int64_t zones;       /* per region */
  int64_t worker_cpu_milli;
  int64_t worker_memory_mb;
  int64_t worker_accelerators;
  int64_t executor_cpu_milli;
  int64_t executor_memory_mb;
  int64_t executor_slots;
  int64_t executor_connections; /* concurrent calls; more are counted as an overload */
  int64_t seed;
  int64_t list_lag_ms;       /* until a change appears in the VM list */
  int64_t append_delay_ms;   /* duration of an append */
  int64_t retention_records; /* records kept per stream; 0 keeps all */
  int64_t run_seconds;
  bool accept_overcommit; /* start tasks beyond the capacity instead of refusing them */
  bool relay_peers;       /* list relay addresses instead of the peer addresses of entry VMs */
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
  uint64_t rng;      /* state of the random generator */
  StandinLog *log;
  StandinList *list;
  StandinTargets *targets;
  StandinRecords *records;
  StandinRelay *relay; /* NULL without relay_peers */
} Standin;

/* Unix ms. */
int64_t standin_now (void);
/* Returns the next number of the seeded generator. */
uint64_t standin_random (Standin *standin);
/* Returns true with a probability of permille / 1000. */
bool standin_chance (Standin *standin, int64_t permille);

/* One HTTP call with its own copy of the request, so that it can be answered after the HTTP handler
   returned and handled after its caller has disconnected. Exactly one reply or drop ends and frees
   it. */
typedef struct StandinCall StandinCall;
typedef void (*StandinCallFunc) (StandinCall *call);

struct StandinCall {
  Standin *standin;
  NetHttpExchange *exchange; /* NULL once the caller has disconnected */
  GrName method;
  GrBuf path, query, body;
  int64_t reply_delay_ms;
  bool drop_reply; /* close the connection instead of sending the reply */
  /* Called when the caller disconnects before the reply; may end the call. */
  StandinCallFunc on_disconnect;
  void *owner;             /* context of on_disconnect */
  void (*on_end) (void *); /* called when the call ends */
  void *on_end_user;
  uv_timer_t timer;
  bool timer_open;
  StandinCallFunc deferred;
  int status;
  GrBuf reply_body;
  const char *reply_type;
};

StandinCall *standin_call_new (Standin *standin, NetHttpExchange *exchange,
                               const NetHttpRequest *request);
/* Calls func after ms. Replaces a deferred func that has not been called yet. */
void standin_call_defer (StandinCall *call, int64_t ms, StandinCallFunc func);
/* Sends the reply after reply_delay_ms and ends the call. type is static text; body is copied. */
void standin_call_reply (StandinCall *call, int status, const char *type, GrStr body);
/* Replies with JSON; takes ownership of json. */
void standin_call_json (StandinCall *call, int status, json_t *json);
/* Replies with {"error":{"code","detail"}}. */
void standin_call_error (StandinCall *call, int status, const char *code, const char *detail);
/* Closes the connection without a reply and ends the call. */
void standin_call_drop (StandinCall *call);
/* Returns the parsed body, which the caller releases, or NULL after replying with 400. */
json_t *standin_call_body (StandinCall *call);

/* Fields of JSON objects; return false or the fallback if absent or of another type. */
bool standin_json_name (const json_t *object, const char *field, GrName *out);
int64_t standin_json_int (const json_t *object, const char *field, int64_t fallback);
json_t *standin_json_text (GrStr s);

/* Log service: handles POST and GET of /log/STREAM. */
StandinLog *standin_log_new (Standin *standin);
void standin_log_call (StandinLog *log, StandinCall *call, GrStr stream);
/* POST /control/log {"outage":bool,"lost_permille":N,"slow_ms":N}; absent fields keep their
   values. */
void standin_log_control (StandinLog *log, StandinCall *call);

/* Entry of the VM list: an entry VM, a worker or an executor. */
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
  int64_t connections; /* limit of concurrent calls; 0: no limit */
} StandinVm;

/* VM list. A change appears in the list lag_ms after the call that makes it. */
StandinList *standin_list_new (Standin *standin);
/* Adds or changes an entry; vm is copied. */
void standin_list_put (StandinList *list, const StandinVm *vm, int64_t lag_ms);
void standin_list_remove (StandinList *list, const GrName *id, int64_t lag_ms);
/* Returns the current lag in ms. */
int64_t standin_list_lag (const StandinList *list);
/* GET /vms?since=VERSION: entries changed and removed after VERSION, or all of them. */
void standin_list_call (StandinList *list, StandinCall *call);
/* POST /control/vms, DELETE /control/vms/ID, POST /control/list {"down":bool,"lag_ms":N}. */
void standin_list_register (StandinList *list, StandinCall *call);
void standin_list_unregister (StandinList *list, StandinCall *call, GrStr id);
void standin_list_control (StandinList *list, StandinCall *call);

/* Workers and executors. */
StandinTargets *standin_targets_new (Standin *standin);
/* Handles URL/start, URL/lease, URL/stop and URL/tasks of one target. */
void standin_targets_call (StandinTargets *targets, StandinCall *call, GrStr id, GrStr verb);
/* POST /control/target/ID {"leaving":bool,"sign":"list"|"target","down":bool,"unreachable":bool,
   "fail":bool,"slow_ms":N,"lost_permille":N}. "sign" limits the sign of leaving to the VM list or
   to the target; without it both show it. */
void standin_targets_control (StandinTargets *targets, StandinCall *call, GrStr id);

/* Counters of what ran, kept independently of the reports of the daemons. */
typedef struct {
  int64_t started;
  int64_t succeeded;
  int64_t failed;
  int64_t stopped;
  int64_t lapsed;
  int64_t killed;             /* ended by a target that went down */
  int64_t overloaded;         /* times that demands or open calls exceeded a target */
  int64_t overused;           /* times that the observed use exceeded a target */
  int64_t overcommit_refused; /* starts refused with 507 */
  int64_t duplicated;         /* completions of a task after its first */
  int64_t concurrent;         /* starts while another attempt of the task ran */
  int64_t
      started_after_leaving; /* new starts sent later than 3 s after the first sign of leaving */
  int64_t refused_leaving;   /* starts refused because the target is leaving */
  int64_t refused_stale;     /* starts refused by the fence */
  int64_t refused_late;      /* starts refused after start_by_ms or the end of the lease */
} StandinTotals;

typedef enum {
  STANDIN_RUNNING,
  STANDIN_SUCCEEDED,
  STANDIN_FAILED,
  STANDIN_STOPPED,
  STANDIN_LAPSED, /* the lease expired */
  STANDIN_KILLED  /* the target went down */
} StandinTaskState;

/* Returns the name of the state in answers and records. */
const char *standin_state_name (StandinTaskState state);

StandinRecords *standin_records_new (void);
/* The counters, for callers that update them; valid as long as records. */
StandinTotals *standin_records_totals (StandinRecords *records);
/* Records the start and the end of an attempt and updates the counters. */
void standin_records_start (StandinRecords *records, const GrName *id, int32_t attempt,
                            const GrName *target);
void standin_records_end (StandinRecords *records, const GrName *id, int32_t attempt,
                          const GrName *target, StandinTaskState state);
/* GET /control/records (with_tasks) and GET /control/totals. */
void standin_records_call (StandinRecords *records, StandinCall *call, bool with_tasks);

/* TCP relays in front of the peer ports of entry VMs, so that a test can partition the network
   between them. */
StandinRelay *standin_relay_new (Standin *standin);
/* Opens or updates the relay of a VM. Sets listed to the address that the VM list publishes instead
   of peer. Returns false if no port could be opened. */
bool standin_relay_add (StandinRelay *relay, const GrName *vm, const GrName *peer, GrName *listed);
/* POST /control/link {"a":VM,"b":VM,"cut":bool} cuts or restores the link of a pair; without "b"
   all links of "a". */
void standin_relay_control (StandinRelay *relay, StandinCall *call);
