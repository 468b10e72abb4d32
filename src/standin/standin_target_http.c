#include <stdlib.h>

#include <utlist.h>

#include "standin/standin_target.h"

#define PURGE_INTERVAL_MS 1000

/* A long poll: a read of the tasks that waits for a change. */
struct StandinWaiter {
  StandinTarget *target;
  StandinCall *call;
  int64_t epoch;
  int64_t after;
  struct StandinWaiter *prev, *next;
};

static json_t *
task_to_json (const StandinTask *task)
{
  json_t *json = json_object ();
  json_object_set_new (json, "task", standin_json_text (gr_name_str (&task->id)));
  json_object_set_new (json, "attempt", json_integer (task->attempt));
  json_object_set_new (json, "state", json_string (standin_state_name (task->state)));
  if (task->state == STANDIN_SUCCEEDED)
    json_object_set_new (json, "answer", standin_json_text (gr_buf_str (&task->answer)));
  else
    json_object_set_new (json, "answer", json_string (""));
  bool reported = task->use_reported || task->state != STANDIN_RUNNING;
  json_object_set_new (json, "cpu_milli",
                       json_integer (reported ? task->use.v[GR_RES_CPU_MILLI] : 0));
  json_object_set_new (json, "memory_mb",
                       json_integer (reported ? task->use.v[GR_RES_MEMORY_MB] : 0));
  json_t *demand = json_object ();
  for (int d = 0; d < GR_RES_COUNT; d++)
    json_object_set_new (demand, gr_res_name ((GrResDim) d), json_integer (task->demand.v[d]));
  json_object_set_new (json, "demand", demand);
  json_object_set_new (json, "started_ms", json_integer (task->started_ms));
  json_object_set_new (json, "ended_ms", json_integer (task->ended_ms));
  return json;
}

static void
answer_tasks (StandinTarget *target, StandinCall *call, int64_t after)
{
  json_t *tasks = json_array ();
  StandinTask *task;
  DL_FOREACH (target->running, task)
  {
    if (task->seq > after)
      json_array_append_new (tasks, task_to_json (task));
  }
  DL_FOREACH (target->ended, task)
  {
    if (task->seq > after)
      json_array_append_new (tasks, task_to_json (task));
  }
  standin_call_json (call, 200,
                     json_pack ("{s:I,s:b,s:o}", "seq", (json_int_t) target->seq, "leaving",
                                target->leaving, "tasks", tasks));
}

static void
answer_stale (const StandinTarget *target, StandinCall *call)
{
  json_int_t epoch = target->epoch;
  standin_call_json (call, 409,
                     json_pack ("{s:{s:s,s:s,s:I},s:I}", "error", "code", "stale_epoch", "detail",
                                "a higher epoch is in force", "epoch", epoch, "epoch", epoch));
}

static void
unlink_waiter (StandinWaiter *waiter)
{
  DL_DELETE (waiter->target->waiters, waiter);
  free (waiter);
}

void
standin_target_changed (StandinTarget *target)
{
  target->seq++;
  StandinWaiter *waiter = target->waiters;
  target->waiters = NULL;
  while (waiter) {
    StandinWaiter *next = waiter->next;
    answer_tasks (target, waiter->call, waiter->after);
    free (waiter);
    waiter = next;
  }
}

void
standin_target_refuse_stale_waiters (StandinTarget *target)
{
  StandinWaiter *waiter = target->waiters;
  target->waiters = NULL;
  while (waiter) {
    StandinWaiter *next = waiter->next;
    if (waiter->epoch < target->epoch) {
      answer_stale (target, waiter->call);
      free (waiter);
    } else {
      DL_APPEND (target->waiters, waiter);
    }
    waiter = next;
  }
}

static void
on_wait_timeout (StandinCall *call)
{
  StandinWaiter *waiter = call->owner;
  StandinTarget *target = waiter->target;
  int64_t after = waiter->after;
  unlink_waiter (waiter);
  answer_tasks (target, call, after);
}

static void
on_waiter_disconnect (StandinCall *call)
{
  unlink_waiter (call->owner);
  standin_call_drop (call);
}

static void
read_tasks (StandinTarget *target, StandinCall *call)
{
  GrStr query = gr_buf_str (&call->query);
  int64_t epoch = net_http_query_int (query, GR_STR ("epoch"), 0);
  int64_t after = net_http_query_int (query, GR_STR ("after"), 0);
  int64_t wait_ms = net_http_query_int (query, GR_STR ("wait_ms"), 0);
  if (!standin_target_fence (target, epoch)) {
    answer_stale (target, call);
    return;
  }
  /* A number above the current one is from before a restart of the stand-in: all tasks are
     returned. */
  if (after > target->seq)
    after = 0;
  if (after == 0 || after < target->seq || wait_ms <= 0 || !call->exchange) {
    answer_tasks (target, call, after);
    return;
  }
  StandinWaiter *waiter = gr_calloc (1, sizeof *waiter);
  *waiter = (StandinWaiter){ .target = target, .call = call, .epoch = epoch, .after = after };
  DL_APPEND (target->waiters, waiter);
  call->owner = waiter;
  call->on_disconnect = on_waiter_disconnect;
  standin_call_defer (call, wait_ms, on_wait_timeout);
}

static void
read_demand (const json_t *body, GrRes *demand)
{
  const json_t *json = json_object_get (body, "demand");
  for (int d = 0; d < GR_RES_COUNT; d++)
    demand->v[d] = (int32_t) standin_json_int (json, gr_res_name ((GrResDim) d), 0);
}

static void
answer_start (StandinTarget *target, StandinCall *call, StandinStartResult result)
{
  switch (result) {
  case STANDIN_START_DONE:
    standin_call_json (call, 200, json_object ());
    break;
  case STANDIN_START_STALE:
    answer_stale (target, call);
    break;
  case STANDIN_START_LATE:
    standin_call_error (call, 410, "late", "start_by_ms or the lease has passed");
    break;
  case STANDIN_START_STOPPED:
    standin_call_error (call, 410, "stopped", "the attempt was stopped before its start arrived");
    break;
  case STANDIN_START_LEAVING:
    standin_call_error (call, 503, "leaving", "the target takes no new work");
    break;
  case STANDIN_START_FULL:
    standin_call_error (call, 507, "full", "the demand exceeds what is free");
    break;
  }
}

static void
start_task (StandinTarget *target, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  StandinStart start = { .attempt = (int32_t) standin_json_int (body, "attempt", -1),
                         .epoch = standin_json_int (body, "epoch", -1),
                         .start_by_ms = standin_json_int (body, "start_by_ms", -1),
                         .lease_until_ms = standin_json_int (body, "lease_until_ms", -1),
                         .run_ms = standin_json_int (body, "run_ms", 0) };
  if (!standin_json_name (body, "task", &start.id) || start.attempt < 0 || start.epoch < 0
      || start.start_by_ms < 0 || start.lease_until_ms < 0) {
    json_decref (body);
    standin_call_error (call, 400, "invalid",
                        "needed are task, attempt, epoch, start_by_ms and lease_until_ms");
    return;
  }
  read_demand (body, &start.demand);
  const json_t *payload = json_object_get (body, "payload");
  char *text = NULL;
  if (json_is_string (payload)) {
    start.payload = (GrStr){ json_string_value (payload), json_string_length (payload) };
  } else if (payload) {
    text = json_dumps (payload, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
    start.payload = gr_str_from_c (text);
  }
  StandinStartResult result = standin_target_start (target, &start);
  free (text);
  json_decref (body);
  answer_start (target, call, result);
}

static void
extend_leases (StandinTarget *target, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  int64_t lease_until_ms = standin_json_int (body, "lease_until_ms", 0);
  const json_t *tasks = json_object_get (body, "tasks");
  for (size_t i = 0; i < json_array_size (tasks); i++) {
    const json_t *pair = json_array_get (tasks, i);
    const json_t *id = json_array_get (pair, 0);
    GrName name;
    if (json_is_string (id)
        && gr_name_set (&name, (GrStr){ json_string_value (id), json_string_length (id) }))
      standin_target_lease (target, &name, (int32_t) json_integer_value (json_array_get (pair, 1)),
                            lease_until_ms);
  }
  json_decref (body);
  standin_call_json (call, 200, json_object ());
}

static void
stop_task (StandinTarget *target, StandinCall *call)
{
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  GrName id;
  bool ok = standin_json_name (body, "task", &id);
  int32_t attempt = (int32_t) standin_json_int (body, "attempt", -1);
  json_decref (body);
  if (!ok || attempt < 0) {
    standin_call_error (call, 400, "invalid", "needed are task and attempt");
    return;
  }
  standin_target_stop (target, &id, attempt);
  standin_call_json (call, 200, json_object ());
}

static void
on_call_end (void *user)
{
  StandinTarget *target = user;
  target->open_calls--;
}

static void
handle_call (StandinCall *call)
{
  StandinTarget *target = call->on_end_user;
  if (target->down || target->unreachable) {
    standin_call_drop (call);
    return;
  }
  const char *verb = strrchr (call->path.data, '/');
  bool is_post = gr_str_equal (gr_name_str (&call->method), GR_STR ("POST"));
  call->drop_reply = standin_chance (call->standin, target->lost_permille);
  if (is_post && strcmp (verb, "/start") == 0)
    start_task (target, call);
  else if (is_post && strcmp (verb, "/lease") == 0)
    extend_leases (target, call);
  else if (is_post && strcmp (verb, "/stop") == 0)
    stop_task (target, call);
  else if (!is_post && strcmp (verb, "/tasks") == 0)
    read_tasks (target, call);
  else
    standin_call_error (call, 404, "not_found", "allowed are start, lease, stop and tasks");
}

static StandinTarget *
find_target (StandinTargets *targets, GrStr id)
{
  StandinTarget *target = NULL;
  HASH_FIND (hh, targets->by_name, id.data, id.len, target);
  return target;
}

void
standin_targets_call (StandinTargets *targets, StandinCall *call, GrStr id, GrStr verb)
{
  (void) verb;
  StandinTarget *target = find_target (targets, id);
  if (!target) {
    standin_call_error (call, 404, "not_found", "no such target");
    return;
  }
  call->on_end = on_call_end;
  call->on_end_user = target;
  target->open_calls++;
  if (target->vm.connections > 0 && target->open_calls > target->vm.connections)
    standin_records_totals (targets->standin->records)->overloaded++;
  /* Half of the delay passes before the call takes effect, so that a start can arrive late. */
  call->reply_delay_ms = target->slow_ms - target->slow_ms / 2;
  if (target->slow_ms / 2 > 0)
    standin_call_defer (call, target->slow_ms / 2, handle_call);
  else
    handle_call (call);
}

static void
set_leaving (StandinTarget *target, const json_t *body)
{
  StandinList *list = target->standin->list;
  GrName sign;
  standin_json_name (body, "sign", &sign);
  GrStr which = gr_name_str (&sign);
  bool on_list = !gr_str_equal (which, GR_STR ("target"));
  bool on_target = !gr_str_equal (which, GR_STR ("list"));
  bool leaving = json_is_true (json_object_get (body, "leaving"));
  target->leaving = leaving && on_target;
  target->leaving_since_ms = 0;
  if (leaving)
    target->leaving_since_ms = standin_now () + (on_target ? 0 : standin_list_lag (list));
  target->vm.leaving = leaving && on_list;
  standin_list_put (list, &target->vm, standin_list_lag (list));
  standin_target_changed (target);
}

static void
set_down (StandinTarget *target, bool down)
{
  if (down == target->down)
    return;
  StandinList *list = target->standin->list;
  target->down = down;
  if (down) {
    StandinWaiter *waiter = target->waiters;
    target->waiters = NULL;
    while (waiter) {
      StandinWaiter *next = waiter->next;
      standin_call_drop (waiter->call);
      free (waiter);
      waiter = next;
    }
    standin_target_kill (target);
    standin_list_remove (list, &target->vm.id, standin_list_lag (list));
  } else {
    standin_list_put (list, &target->vm, standin_list_lag (list));
  }
}

void
standin_targets_control (StandinTargets *targets, StandinCall *call, GrStr id)
{
  StandinTarget *target = find_target (targets, id);
  if (!target) {
    standin_call_error (call, 404, "not_found", "no such target");
    return;
  }
  json_t *body = standin_call_body (call);
  if (!body)
    return;
  if (json_object_get (body, "leaving"))
    set_leaving (target, body);
  if (json_object_get (body, "down"))
    set_down (target, json_is_true (json_object_get (body, "down")));
  if (json_object_get (body, "unreachable"))
    target->unreachable = json_is_true (json_object_get (body, "unreachable"));
  if (json_object_get (body, "fail"))
    target->fail_all = json_is_true (json_object_get (body, "fail"));
  target->slow_ms = standin_json_int (body, "slow_ms", target->slow_ms);
  target->lost_permille = standin_json_int (body, "lost_permille", target->lost_permille);
  json_decref (body);
  standin_call_json (call, 200, json_object ());
}

static void
on_purge (uv_timer_t *timer)
{
  StandinTargets *targets = timer->data;
  int64_t now = standin_now ();
  StandinTarget *target, *next;
  HASH_ITER (hh, targets->by_name, target, next)
  {
    standin_target_purge (target, now);
  }
}

static void
add_target (StandinTargets *targets, const char *role, int64_t index, const GrName *regions,
            size_t region_count)
{
  const StandinOptions *options = &targets->standin->options;
  bool worker = role[0] == 'w';
  int64_t rack = index / options->racks_of;
  StandinTarget *target = gr_calloc (1, sizeof *target);
  target->standin = targets->standin;
  /* Sequence numbers start at 1, because a read after 0 returns all tasks without waiting. */
  target->seq = 1;
  StandinVm *vm = &target->vm;
  vm->role = role;
  vm->id = gr_name_format ("%c%04lld", worker ? 'w' : 'x', (long long) index);
  vm->region = regions[(size_t) rack % region_count];
  vm->zone = gr_name_format ("%.*s-z%lld", GR_NAME_ARG (vm->region),
                             (long long) (rack / (int64_t) region_count % options->zones));
  vm->rack = gr_name_format ("%s%lld", worker ? "rack" : "pool", (long long) rack);
  vm->incarnation = standin_now ();
  gr_buf_printf (&vm->url, "%s/%s/%.*s", targets->standin->base_url, role, GR_NAME_ARG (vm->id));
  vm->capacity.v[GR_RES_CPU_MILLI]
      = (int32_t) (worker ? options->worker_cpu_milli : options->executor_cpu_milli);
  vm->capacity.v[GR_RES_MEMORY_MB]
      = (int32_t) (worker ? options->worker_memory_mb : options->executor_memory_mb);
  vm->capacity.v[GR_RES_ACCELERATORS] = (int32_t) (worker ? options->worker_accelerators : 0);
  vm->capacity.v[GR_RES_SLOTS] = (int32_t) (worker ? 0 : options->executor_slots);
  vm->connections = worker ? 0 : options->executor_connections;
  memcpy (target->name, vm->id.data, vm->id.len);
  HASH_ADD (hh, targets->by_name, name, vm->id.len, target);
  standin_list_put (targets->standin->list, vm, 0);
}

StandinTargets *
standin_targets_new (Standin *standin)
{
  StandinTargets *targets = gr_calloc (1, sizeof *targets);
  targets->standin = standin;
  uv_timer_init (standin->loop, &targets->purge);
  targets->purge.data = targets;
  uv_timer_start (&targets->purge, on_purge, PURGE_INTERVAL_MS, PURGE_INTERVAL_MS);
  GrName regions[16];
  size_t count = 0;
  const char *at = standin->options.regions;
  while (*at && count < sizeof regions / sizeof regions[0]) {
    size_t len = strcspn (at, ",");
    if (len > 0)
      regions[count++] = gr_name_cut ((GrStr){ at, len });
    at += len + (at[len] == ',');
  }
  if (count == 0)
    regions[count++] = gr_name ("local");
  for (int64_t i = 0; i < standin->options.workers; i++)
    add_target (targets, "worker", i, regions, count);
  for (int64_t i = 0; i < standin->options.executors; i++)
    add_target (targets, "executor", i, regions, count);
  return targets;
}
