/* Stub of the platform's log and of a daemon for tests/test_cli.c: one thread on loopback that
   serves one connection at a time. Call its functions only while no request is in flight. */
#pragma once

#include "cfg/cfg.h"

typedef struct CliStub CliStub;

/* State and faults of the log and of the daemon. */
typedef struct {
  int64_t earlier;  /* versions published beforehand */
  int64_t first;    /* oldest retained offset */
  bool race;        /* another publication is appended just before the first append */
  bool no_server;   /* the test passes an unreachable daemon address */
  bool server_lags; /* the daemon stays at the version it had at the start */
  int lost_answers; /* number of appends that take effect without a response */
  int refused;      /* number of appends that get 503 and have no effect */
} CliStubLog;

CliStub *cli_stub_start (void);
void cli_stub_stop (CliStub *stub);
const char *cli_stub_url (const CliStub *stub);
/* Answers every request with this status and body; the body is not copied. */
void cli_stub_answer (CliStub *stub, int status, const char *body);
/* Makes the stub serve /log/config and /v1/config. */
void cli_stub_log (CliStub *stub, const CliStubLog *log);
/* The last request as received: request line, headers and body. */
const char *cli_stub_last_request (const CliStub *stub);
/* Version in force for a reader of the whole log. */
int64_t cli_stub_version (const CliStub *stub);
