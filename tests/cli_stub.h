/* Stub of the platform's log and of a daemon for tests/test_cli.c: one thread on loopback that
   serves one connection at a time. Call its functions only while no call is under way. */
#pragma once

#include "cfg/cfg.h"

typedef struct CliStub CliStub;

typedef struct {
  int64_t earlier;  /* versions published before */
  int64_t first;    /* oldest retained offset */
  bool race;        /* another publication comes just before the first append */
  bool no_server;   /* the test gives no reachable daemon */
  bool server_lags; /* the daemon stays at the version it had */
  int lost_answers; /* appends that take effect without an answer */
  int refused;      /* appends that are answered by 503 without effect */
} CliStubLog;

CliStub *cli_stub_start (void);
void cli_stub_stop (CliStub *stub);
const char *cli_stub_url (const CliStub *stub);
/* Answers every request in this way. */
void cli_stub_answer (CliStub *stub, int status, const char *body);
/* Serves /log/config and /v1/config. */
void cli_stub_log (CliStub *stub, const CliStubLog *log);
const char *cli_stub_last_request (const CliStub *stub);
/* Version that a reader of the whole log has. */
int64_t cli_stub_version (const CliStub *stub);
