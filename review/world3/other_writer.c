/* Another writer registers itself in the list of servers: an agent of a service that the
   configuration does not name, one on each of some machines, with the machine's name and its own
   start time. The entry names no executor; those of the executors hold. MACHINE=0 leaves out the
   name of the machine only. */
#include <stdlib.h>
#include <string.h>

#include "net/net_http.h"
#include "world3.h"

#define AT_MS 9000
#define AGENTS 4
#define AGENT_BORN_BEFORE_MS 2000

static NetHttpServer *agent;
static bool written;

static void
on_request (void *user, NetHttpExchange *exchange, const NetHttpRequest *request)
{
  Soak *soak = user;
  soak_note (soak, "the agent gets %.*s %.*s", GR_STR_ARG (request->method),
             GR_STR_ARG (request->path));
  net_http_reply (exchange, 404, GR_STR ("application/json"), GR_STR ("{}"));
}

static void
begin (Soak *soak, bool trouble)
{
  (void) trouble;
  NetHttpServerOptions options = { .listen_host = "127.0.0.1" };
  GrErr err = { 0 };
  agent = net_http_server_new (soak->loop, &options, on_request, soak, &err);
  if (!agent)
    soak_die ("the agent cannot listen: %s", err.detail);
}

static void
write_agent (Soak *soak, int slot)
{
  char key[32], address[32], machine[32], zone[16];
  snprintf (key, sizeof key, "agent-%02d", slot);
  snprintf (address, sizeof address, "127.0.0.1:%d", net_http_server_port (agent));
  snprintf (machine, sizeof machine, "m-%02d", slot);
  snprintf (zone, sizeof zone, "z%d", soak_zone (slot) + 1);
  json_t *entry
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:{s:i,s:i,s:i}}", "service",
                   "telemetry", "address", address, "zone", zone, "version", "3", "state", "ready",
                   "machine", machine, "slots", 1, "coldRemainingMs", 0, "sequence", (json_int_t) 1,
                   "born", (json_int_t) (soak_unix_now () - AGENT_BORN_BEFORE_MS), "capacity",
                   "cpu", 100, "memMb", 64, "gpu", 0);
  const char *with_machine = getenv ("MACHINE");
  if (with_machine && strcmp (with_machine, "0") == 0)
    json_object_del (entry, "machine");
  char *text = json_dumps (entry, JSON_COMPACT);
  soak_note (soak, "another writer writes servers/%s %s", key, text);
  soak_store_write (soak->store, "keyed.servers", key, text);
  free (text);
  json_decref (entry);
}

static void
tick (Soak *soak, int64_t now_ms, bool trouble)
{
  if (written || !trouble || now_ms < AT_MS)
    return;
  written = true;
  for (int slot = 0; slot < AGENTS; slot++)
    write_agent (soak, slot);
}

const Scenario scenario_other_writer = { .name = "other-writer", .begin = begin, .tick = tick };
