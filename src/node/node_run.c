/* Main loop of the daemon: creates and frees the components, handles signals and the shutdown. */
#include <signal.h>
#include <stdlib.h>

#include "base/gr_opt.h"
#include "node/node_config.h"
#include "node/node_front.h"
#include "node/node_list.h"
#include "node/node_own.h"
#include "node/node_parts.h"
#include "node/node_peers.h"
#include "node/node_place.h"
#include "node/node_route.h"
#include "node/node_tasks.h"
#include "node/node_work.h"

#define STOP_TICK_MS 50
/* Delay before the exit, in which peers and callers receive the last messages. */
#define EXIT_DELAY_MS 200
/* Limit on the iterations of the loop, one a millisecond, that wait for handles to close. */
#define CLOSE_ITERATIONS_MAX 200

typedef struct {
  Node node;
  uv_loop_t loop;
  uv_signal_t terminate;
  uv_signal_t interrupt;
  uv_timer_t stop_timer;
  int64_t exit_at_ms;  /* 0 until the leave message has been sent */
  bool queue_returned; /* the waiting tasks were refused and the handover has begun */
  GrLog log;
} Daemon;

static bool
work_finished (Node *node)
{
  return node->handed_over && node_front_open (node) == 0 && node_route_open (node) == 0
         && node_parts_pending (node) == 0;
}

static void
stop_tick (uv_timer_t *timer)
{
  Daemon *daemon = timer->data;
  Node *node = &daemon->node;
  int64_t now = node_now (node);
  if (!daemon->queue_returned) {
    daemon->queue_returned = true;
    node_tasks_return_queue (node);
    node_own_stop (node);
  }
  bool late = now >= node->stop_at_ms;
  if (daemon->exit_at_ms == 0 && (work_finished (node) || late)) {
    GrName all = { 0 };
    NodeWire leave = { .kind = NODE_WIRE_LEAVE };
    node_peers_broadcast (node, &all, &leave);
    daemon->exit_at_ms = now + EXIT_DELAY_MS;
    gr_log (&daemon->log, GR_EV_STOP_END, "%s: %zu calls open, %zu tasks here, %zu keys owned",
            late ? "deadline passed" : "all handed over", node_front_open (node),
            node_tasks_open (node), node_own_key_count (node));
  }
  if (daemon->exit_at_ms > 0 && now >= daemon->exit_at_ms)
    uv_stop (&daemon->loop);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  Daemon *daemon = signal->data;
  Node *node = &daemon->node;
  if (node->stopping)
    return;
  node->stopping = true;
  node->stop_at_ms = node_now (node) + node->settings->shutdown_deadline_ms;
  gr_log (&daemon->log, GR_EV_STOP_BEGIN, "signal %d, deadline %lld ms, %zu calls open", number,
          (long long) node->settings->shutdown_deadline_ms, node_front_open (node));
  uv_timer_start (&daemon->stop_timer, stop_tick, 0, STOP_TICK_MS);
}

static bool
open_components (Node *node, GrErr *err)
{
  node->work = node_work_new (node);
  node->list = node_list_new (node);
  node->config = node_config_new (node, err);
  node->parts = node_parts_new (node);
  node->place = node_place_new (node);
  node->route = node_route_new (node);
  node->targets = node_targets_new (node);
  node->tasks = node_tasks_new (node, err);
  node->own = node_own_new (node, err);
  if (!node->config || !node->tasks || !node->own)
    return false;
  node->peers = node_peers_new (node, err);
  node->front = node->peers ? node_front_new (node, err) : NULL;
  return node->front != NULL;
}

static void
start_signals (Daemon *daemon)
{
  uv_signal_init (&daemon->loop, &daemon->terminate);
  uv_signal_init (&daemon->loop, &daemon->interrupt);
  uv_timer_init (&daemon->loop, &daemon->stop_timer);
  daemon->terminate.data = daemon;
  daemon->interrupt.data = daemon;
  daemon->stop_timer.data = daemon;
  uv_signal_start (&daemon->terminate, on_signal, SIGTERM);
  uv_signal_start (&daemon->interrupt, on_signal, SIGINT);
}

static void
close_components (Daemon *daemon)
{
  Node *node = &daemon->node;
  node_front_free (node->front);
  node_peers_free (node->peers);
  node_route_free (node->route);
  node_place_free (node->place);
  node_own_free (node->own);
  node_tasks_free (node->tasks);
  node_targets_free (node->targets);
  node_parts_free (node->parts);
  node_work_free (node->work);
  node_config_free (node->config);
  node_list_free (node->list);
  uv_close ((uv_handle_t *) &daemon->terminate, NULL);
  uv_close ((uv_handle_t *) &daemon->interrupt, NULL);
  uv_close ((uv_handle_t *) &daemon->stop_timer, NULL);
}

int
node_run (const NodeSettings *settings)
{
  Daemon *daemon = gr_calloc (1, sizeof *daemon);
  Node *node = &daemon->node;
  GrErr err = { 0 };
  int code = GR_EXIT_USAGE;
  node->settings = settings;
  node->loop = &daemon->loop;
  node->self = (GrVmRef){ gr_name (settings->vm_id), node_unix () };
  node->region = gr_name (settings->region);
  node->zone = gr_name (settings->zone);
  daemon->log = node_log_context (node, "node");
  gr_log_set_level ((GrLogLevel) settings->log_level);
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&daemon->loop);
  start_signals (daemon);
  if (!open_components (node, &err)) {
    gr_log (&daemon->log, GR_EV_BAD_SETTING, "%.*s: %s", GR_NAME_ARG (err.field), err.detail);
    goto done;
  }
  gr_log (&daemon->log, GR_EV_START,
          "version %s incarnation %lld region %s zone %s http %d peer %d", GR_VERSION,
          (long long) node->self.incarnation, settings->region, settings->zone,
          node_front_port (node->front), node_peers_port (node->peers));
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
  code = GR_EXIT_OK;
  close_components (daemon);
done:
  /* The process exits next: memory that is still in use is not freed. */
  for (int i = 0; i < CLOSE_ITERATIONS_MAX && uv_run (&daemon->loop, UV_RUN_NOWAIT) != 0; i++)
    uv_sleep (1);
  return code;
}
