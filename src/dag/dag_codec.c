/* Encoding of the records of the durable store, in MessagePack.

   Key "a" + id: the account of a job, written with its first record and deleted with its last one:
     [format, account]; jobs without an account have none. Earlier versions skip these records,
   while they refuse a submission record with anything added.

   Key "j" + id: the submission, written once and deleted after the job has ended:
     [format, id, queue policy, accepted at (Unix ms), payload, [step, ...]], with a timetable also
     count, start at (Unix ms), interval.
   Key "p" + id: the progress, written with each change:
     [format, state, begun, ended at (Unix ms) or 0, [[task, ...], ...]]; the state is 0 if the job
     was cancelled and never submitted, which earlier versions ignore. There is one list per step,
   or no lists if the job has ended and has no runs. A job with a timetable has the bit set of the
     occurrences that are done in place of the lists; the key of an occurrence is "p" + id + "." +
     number. A task is 1 if done, 0 if it waits and was never
     assigned, else [flags, run, failures, target, incarnation, checkpoint]; target is empty if the
     task has no run that may be alive. A task under which a target has crashed or that is suspected
     has three more: crashes that were seen, those at once, suspected.

   Key "l": see dag_learn_codec.c. */
#include <stdlib.h>

#include "base/gr_pack.h"
#include "dag/dag_priv.h"

#define FORMAT 1
#define ACCOUNT_KEY 'a'
#define SPEC_KEY 'j'
#define PROGRESS_KEY 'p'
#define ACCOUNT_FIELDS 2
#define SPEC_FIELDS 6
#define TIMETABLE_FIELDS 3
#define PROGRESS_FIELDS 5
#define CALL_SPEC_FIELDS 4
/* A task without fields. */
#define TASK_UNTOUCHED 0
#define TASK_IS_DONE 1
#define TASK_FIELDS 6
#define TASK_CRASH_FIELDS 3
#define POLICY_FIELDS 10
#define STEP_FIELDS (GR_RES_COUNT + 7)
/* Steps that use one of these have more fields: the limit of unavailable tasks, the image and the
   tail target. Earlier versions know only the others, so these keep their form. */
#define STEP_FIELDS_MAX (STEP_FIELDS + 3)

/* Flags of a task. The lower bits hold its state, for people who read the record; earlier versions
   ignore all of them. */
#define TASK_STATE_BITS 0x0f
/* Of a member of a gang: its run has counted as a failed attempt. */
#define TASK_FLAG_RUN_FAILED 0x10
/* The target has certainly started the run. */
#define TASK_FLAG_CONFIRMED 0x20
/* Earlier versions counted silent targets among the crashes; here is their number. */
#define TASK_SILENT_SHIFT 8
/* DagTask.crashes_in_start. The field of crashes does not contain them, so that earlier versions do
   not give up the task for them. */
#define TASK_IN_START_SHIFT 16
#define TASK_COUNT_MAX 0xff
/* DagTask.sight. */
#define TASK_SIGHT_SHIFT 24
#define TASK_SIGHT_MAX 0x3
/* Number of crashes that were not seen. The field of crashes does not contain them either. */
#define TASK_UNSEEN_SHIFT 26
#define TASK_UNSEEN_MAX 0x1f
/* More than any task has; the sum of all kinds stays within an int32_t. */
#define TASK_CRASHES_MAX (INT32_MAX / 2)

enum {
  FLAG_GANG = 1,
  FLAG_ONE_RACK = 2,
  FLAG_CHECKPOINTS = 4,
  FLAG_BEST_EFFORT_CPU = 8,
  FLAG_LONG_RUNNING = 16
};

static void
pack_policy (msgpack_packer *packer, const DagQueue *queue)
{
  msgpack_pack_array (packer, POLICY_FIELDS);
  gr_pack_name (packer, &queue->name);
  gr_pack_name (packer, &queue->service);
  msgpack_pack_int (packer, queue->priority);
  msgpack_pack_int (packer, queue->max_attempts);
  msgpack_pack_double (packer, queue->slack_factor);
  msgpack_pack_int64 (packer, queue->target_latency_ms);
  gr_pack_bool (packer, queue->advised);
  msgpack_pack_double (packer, queue->advice_ms);
  msgpack_pack_double (packer, queue->advice_ms_per_target);
  msgpack_pack_int64 (packer, queue->advice_valid_ms);
}

static void
pack_step (msgpack_packer *packer, const DagStepSpec *step)
{
  bool extended = step->max_unavailable > 0 || step->image.len > 0 || step->tail_target_ms > 0;
  msgpack_pack_array (packer, extended ? STEP_FIELDS_MAX : STEP_FIELDS);
  for (int d = 0; d < GR_RES_COUNT; d++)
    msgpack_pack_int (packer, step->demand.v[d]);
  msgpack_pack_int (packer, step->count);
  msgpack_pack_int64 (packer, step->estimate_ms);
  msgpack_pack_uint64 (packer, step->depends_on);
  gr_pack_name (packer, &step->label);
  gr_pack_name (packer, &step->near_rack);
  msgpack_pack_int (packer, step->max_per_target);
  msgpack_pack_int (packer, (step->gang ? FLAG_GANG : 0) | (step->one_rack ? FLAG_ONE_RACK : 0)
                                | (step->checkpoints ? FLAG_CHECKPOINTS : 0)
                                | (step->best_effort_cpu ? FLAG_BEST_EFFORT_CPU : 0)
                                | (step->long_running ? FLAG_LONG_RUNNING : 0));
  if (!extended)
    return;
  msgpack_pack_int (packer, step->max_unavailable);
  gr_pack_name (packer, &step->image);
  msgpack_pack_int64 (packer, step->tail_target_ms);
}

static void
pack_timetable (msgpack_packer *packer, const DagTimetable *timetable)
{
  msgpack_pack_int (packer, timetable->count);
  msgpack_pack_int64 (packer, timetable->start_at_unix_ms);
  msgpack_pack_int64 (packer, timetable->interval_ms);
}

void
dag_pack_spec (const DagState *dag, const DagJob *job, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, SPEC_FIELDS + (dag_has_timetable (job) ? TIMETABLE_FIELDS : 0));
  msgpack_pack_int (&packer, FORMAT);
  gr_pack_name (&packer, &job->id);
  pack_policy (&packer, &job->queue);
  msgpack_pack_int64 (&packer, job->accepted_at + dag->options.unix_offset_ms);
  gr_pack_bin (&packer, (GrStr){ job->payload, job->payload_len });
  msgpack_pack_array (&packer, job->step_count);
  for (size_t s = 0; s < job->step_count; s++)
    pack_step (&packer, &job->steps[s].spec);
  if (dag_has_timetable (job))
    pack_timetable (&packer, &job->timetable);
}

static void
pack_account (const GrName *account, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, ACCOUNT_FIELDS);
  msgpack_pack_int (&packer, FORMAT);
  gr_pack_name (&packer, account);
}

void
dag_pack_job_spec (const DagJobSpec *spec, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  bool timed = spec->timetable.count != 0;
  msgpack_pack_array (&packer, CALL_SPEC_FIELDS + (timed ? TIMETABLE_FIELDS : 0));
  gr_pack_name (&packer, &spec->id);
  gr_pack_name (&packer, &spec->queue);
  gr_pack_bin (&packer, spec->payload);
  msgpack_pack_array (&packer, spec->step_count);
  for (size_t s = 0; s < spec->step_count; s++)
    pack_step (&packer, &spec->steps[s]);
  if (timed)
    pack_timetable (&packer, &spec->timetable);
}

static int32_t
limited_count (int32_t count, int32_t max)
{
  return count < max ? count : max;
}

static void
pack_task (msgpack_packer *packer, DagTask *task)
{
  if (task->state == TASK_WAITING && task->run == 0) {
    msgpack_pack_int (packer, TASK_UNTOUCHED);
    return;
  }
  /* Earlier versions know only the other fields, so a task without crashes keeps their form. */
  bool crashed = task->crashes > 0 || task->suspected;
  msgpack_pack_array (packer, TASK_FIELDS + (crashed ? TASK_CRASH_FIELDS : 0));
  bool run_failed = task->step->spec.gang && task->run > 0 && task->run == task->step->failed_run;
  int32_t in_start = limited_count (task->crashes_in_start, TASK_COUNT_MAX);
  int32_t unseen = limited_count (task->crashes - task->crashes_seen - task->crashes_in_start,
                                  TASK_UNSEEN_MAX);
  msgpack_pack_int (
      packer, ((int) task->state & TASK_STATE_BITS) | (run_failed ? TASK_FLAG_RUN_FAILED : 0)
                  | (task->confirmed ? TASK_FLAG_CONFIRMED : 0) | (in_start << TASK_IN_START_SHIFT)
                  | (unseen << TASK_UNSEEN_SHIFT) | ((int) task->sight << TASK_SIGHT_SHIFT));
  msgpack_pack_int64 (packer, task->run);
  msgpack_pack_int (packer, task->failures);
  gr_pack_str (packer, task->target ? gr_name_str (&task->target->info.id) : (GrStr){ "", 0 });
  msgpack_pack_int64 (packer, task->target ? task->incarnation : 0);
  gr_pack_name (packer, dag_checkpoint (task));
  if (!crashed)
    return;
  msgpack_pack_int (packer, task->crashes_seen);
  msgpack_pack_int (packer, task->crashes_at_once);
  gr_pack_bool (packer, task->suspected);
}

static void
pack_tasks (msgpack_packer *packer, const DagStep *step)
{
  size_t next = 0; /* in step->tasks */
  msgpack_pack_array (packer, (size_t) step->spec.count);
  for (int32_t i = 0; i < step->spec.count; i++) {
    bool has_state = next < step->tasks.count && step->tasks.items[next]->index == (uint32_t) i;
    if (has_state)
      pack_task (packer, step->tasks.items[next++]);
    else
      msgpack_pack_int (packer, i < step->untouched_from ? TASK_IS_DONE : TASK_UNTOUCHED);
  }
}

void
dag_pack_progress (const DagState *dag, const DagJob *job, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, PROGRESS_FIELDS);
  msgpack_pack_int (&packer, FORMAT);
  msgpack_pack_int (&packer, job->never_submitted ? DAG_JOB_UNKNOWN : (int) job->state);
  gr_pack_bool (&packer, job->begun);
  msgpack_pack_int64 (&packer, job->ended_at > 0 ? job->ended_at + dag->options.unix_offset_ms : 0);
  if (dag_has_timetable (job)) {
    gr_pack_bin (&packer, (GrStr){ (const char *) job->done_bits, dag_timetable_bytes (job) });
    return;
  }
  if (!dag_job_is_open (job) && !dag_job_has_runs (job)) {
    msgpack_pack_array (&packer, 0);
    return;
  }
  msgpack_pack_array (&packer, job->step_count);
  for (size_t s = 0; s < job->step_count; s++)
    pack_tasks (&packer, &job->steps[s]);
}

/* Larger numbers are rejected as corrupt: they would overflow sums of times and counts. */
#define NUMBER_MAX ((int64_t) 1 << 53)

static bool
read_int (const msgpack_object *object, int64_t min, int64_t max, int64_t *value)
{
  return gr_unpack_int (object, value) && *value >= min && *value <= max;
}

static bool
read_duration (const msgpack_object *object, int64_t *ms)
{
  return read_int (object, 0, DAG_DURATION_MAX_MS, ms);
}

static bool
read_factor (const msgpack_object *object, double max, double *value)
{
  return gr_unpack_double (object, value) && *value >= 0 && *value <= max;
}

static bool
read_policy (const msgpack_object *object, DagQueue *queue)
{
  if (!gr_unpack_is_array (object, POLICY_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  int64_t priority, attempts;
  if (!gr_unpack_name (&f[0], &queue->name) || !gr_unpack_name (&f[1], &queue->service)
      || !read_int (&f[2], INT32_MIN, INT32_MAX, &priority)
      || !read_int (&f[3], INT32_MIN, INT32_MAX, &attempts)
      || !read_factor (&f[4], DAG_SLACK_MAX, &queue->slack_factor)
      || !read_duration (&f[5], &queue->target_latency_ms)
      || !gr_unpack_bool (&f[6], &queue->advised)
      || !read_factor (&f[7], DAG_DURATION_MAX_MS, &queue->advice_ms)
      || !read_factor (&f[8], DAG_DURATION_MAX_MS, &queue->advice_ms_per_target)
      || !read_duration (&f[9], &queue->advice_valid_ms))
    return false;
  queue->priority = (int32_t) priority;
  queue->max_attempts = (int32_t) attempts;
  return true;
}

static bool
read_step (const msgpack_object *object, DagStepSpec *step)
{
  bool extended = gr_unpack_is_array (object, STEP_FIELDS_MAX);
  if (!extended && !gr_unpack_is_array (object, STEP_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  int64_t value;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    if (!read_int (f++, 0, INT32_MAX, &value))
      return false;
    step->demand.v[d] = (int32_t) value;
  }
  int64_t count, depends_on, max_per_target, flags;
  if (!gr_unpack_int (&f[0], &count) || !read_duration (&f[1], &step->estimate_ms)
      || !gr_unpack_int (&f[2], &depends_on) || !gr_unpack_name (&f[3], &step->label)
      || !gr_unpack_name (&f[4], &step->near_rack)
      || !read_int (&f[5], 0, INT32_MAX, &max_per_target) || !gr_unpack_int (&f[6], &flags)
      || count < 1 || count > DAG_MAX_TASKS)
    return false;
  step->count = (int32_t) count;
  step->depends_on = (uint64_t) depends_on;
  step->max_per_target = (int32_t) max_per_target;
  step->gang = flags & FLAG_GANG;
  step->one_rack = flags & FLAG_ONE_RACK;
  step->checkpoints = flags & FLAG_CHECKPOINTS;
  step->best_effort_cpu = flags & FLAG_BEST_EFFORT_CPU;
  step->long_running = flags & FLAG_LONG_RUNNING;
  if (!extended)
    return true;
  if (!read_int (&f[7], 0, INT32_MAX, &value) || !gr_unpack_name (&f[8], &step->image)
      || !read_duration (&f[9], &step->tail_target_ms))
    return false;
  step->max_unavailable = (int32_t) value;
  return true;
}

static bool
read_steps (const msgpack_object *object, DagStepSpec *steps, size_t *count)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > DAG_MAX_STEPS)
    return false;
  *count = object->via.array.size;
  for (size_t s = 0; s < *count; s++) {
    if (!read_step (&object->via.array.ptr[s], &steps[s]))
      return false;
  }
  return true;
}

static bool
read_timetable (const msgpack_object *f, DagTimetable *timetable)
{
  /* A call may hold other values; dag_submit() refuses them with an error that names the field. */
  return gr_unpack_int32 (&f[0], &timetable->count)
         && gr_unpack_int (&f[1], &timetable->start_at_unix_ms)
         && gr_unpack_int (&f[2], &timetable->interval_ms);
}

/* Returns true for an array of size elements, with or without a timetable at its end, and sets
 *timed. */
static bool
is_array_with_timetable (const msgpack_object *object, uint32_t size, bool *timed)
{
  *timed = gr_unpack_is_array (object, size + TIMETABLE_FIELDS);
  return *timed || gr_unpack_is_array (object, size);
}

bool
dag_unpack_job_spec (GrStr bytes, msgpack_unpacked *unpacked, DagStepSpec *steps, DagJobSpec *spec)
{
  bool timed;
  if (!gr_unpack_array (unpacked, bytes)
      || !is_array_with_timetable (&unpacked->data, CALL_SPEC_FIELDS, &timed))
    return false;
  const msgpack_object *f = unpacked->data.via.array.ptr;
  if (timed && !read_timetable (&f[CALL_SPEC_FIELDS], &spec->timetable))
    return false;
  memset (steps, 0, DAG_MAX_STEPS * sizeof *steps);
  spec->steps = steps;
  return gr_unpack_name (&f[0], &spec->id) && gr_unpack_name (&f[1], &spec->queue)
         && gr_unpack_bytes (&f[2], &spec->payload) && read_steps (&f[3], steps, &spec->step_count);
}

bool
dag_read_account (const msgpack_object *object, GrName *account)
{
  int64_t format;
  return gr_unpack_is_array (object, ACCOUNT_FIELDS)
         && gr_unpack_int (&object->via.array.ptr[0], &format) && format == FORMAT
         && gr_unpack_name (&object->via.array.ptr[1], account) && account->len > 0;
}

static bool
load_spec (DagState *dag, const msgpack_object *object)
{
  bool timed;
  if (!is_array_with_timetable (object, SPEC_FIELDS, &timed))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  int64_t format, accepted;
  DagJobSpec spec = { 0 };
  DagQueue queue = { 0 };
  DagStepSpec steps[DAG_MAX_STEPS] = { 0 };
  if (!gr_unpack_int (&f[0], &format) || format != FORMAT || !gr_unpack_name (&f[1], &spec.id)
      || !read_policy (&f[2], &queue) || !read_int (&f[3], 0, NUMBER_MAX, &accepted)
      || !gr_unpack_bytes (&f[4], &spec.payload) || !read_steps (&f[5], steps, &spec.step_count))
    return false;
  spec.queue = queue.name;
  spec.steps = steps;
  if (timed
      && (!read_timetable (&f[SPEC_FIELDS], &spec.timetable)
          || !dag_check_timetable (&spec.timetable, NULL)))
    return false;
  if (dag_find_job (dag, &spec.id))
    return true;
  spec.account = dag_loaded_account (dag, &spec.id);
  DagJob *job = dag_job_create (dag, &spec, &queue, accepted - dag->options.unix_offset_ms);
  job->stored = true;
  job->spec_written = true;
  job->account_written = spec.account.len > 0;
  return true;
}

/* Crash fields of a record, see the format above. */
typedef struct {
  int64_t seen, at_once;
  bool suspected;
} CrashFields;

static bool
read_crashes (const msgpack_object *f, CrashFields *fields)
{
  return read_int (&f[0], 0, TASK_CRASHES_MAX, &fields->seen)
         && read_int (&f[1], 0, TASK_CRASHES_MAX, &fields->at_once)
         && gr_unpack_bool (&f[2], &fields->suspected);
}

static void
set_crashes (DagTask *task, const CrashFields *fields, int64_t flags)
{
  int32_t silent = (int32_t) (flags >> TASK_SILENT_SHIFT & TASK_COUNT_MAX);
  int32_t unseen = (int32_t) (flags >> TASK_UNSEEN_SHIFT & TASK_UNSEEN_MAX);
  int32_t seen = (int32_t) fields->seen;
  task->crashes_seen = seen > silent ? seen - silent : 0;
  task->crashes_in_start = (int32_t) (flags >> TASK_IN_START_SHIFT & TASK_COUNT_MAX);
  task->crashes = task->crashes_seen + task->crashes_in_start + unseen;
  task->crashes_at_once = (int32_t) fields->at_once;
  task->sight = (DagCrashSight) (flags >> TASK_SIGHT_SHIFT & TASK_SIGHT_MAX);
  dag_crash_set_suspected (task, fields->suspected);
}

/* Loads the state of the task with that index, which no earlier call has reached. */
static bool
load_task (DagState *dag, const msgpack_object *object, DagStep *step, int32_t index)
{
  int64_t value;
  bool has_state = !gr_unpack_int (object, &value);
  if (index < step->untouched_from)
    return false;
  if (!has_state && value != TASK_IS_DONE)
    return true;
  while (step->untouched_from < index)
    dag_step_touch (step);
  if (!has_state) {
    dag_step_skip_done (step);
    step->waiting--;
    step->done++;
    return true;
  }
  DagTask *task = dag_step_touch (step);
  bool crashed = gr_unpack_is_array (object, TASK_FIELDS + TASK_CRASH_FIELDS);
  if (!crashed && !gr_unpack_is_array (object, TASK_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  CrashFields crashes = { 0 };
  if (crashed && !read_crashes (&f[TASK_FIELDS], &crashes))
    return false;
  int64_t flags, failures, incarnation;
  GrName target_id;
  if (!gr_unpack_int (&f[0], &flags) || !read_int (&f[1], 0, NUMBER_MAX, &task->run)
      || !read_int (&f[2], 0, INT32_MAX - 1, &failures) || !gr_unpack_name (&f[3], &target_id)
      || !gr_unpack_int (&f[4], &incarnation) || !gr_unpack_name (&f[5], dag_checkpoint (task)))
    return false;
  task->failures = (int32_t) failures;
  set_crashes (task, &crashes, flags);
  if (task->step->run < task->run)
    task->step->run = task->run;
  if ((flags & TASK_FLAG_RUN_FAILED) && task->step->failed_run < task->run)
    task->step->failed_run = task->run;
  if (target_id.len == 0)
    return true;
  DagTarget *target = dag_target_create (dag, &target_id);
  if (target->incarnation < incarnation)
    target->incarnation = incarnation;
  task->incarnation = incarnation;
  task->confirmed = flags & TASK_FLAG_CONFIRMED;
  task->step->waiting--;
  dag_target_attach (task, target);
  task->state = TASK_ADOPTED;
  task->stop_acked_at = 0;
  return true;
}

static bool
load_steps (DagState *dag, const msgpack_object *list, DagJob *job)
{
  for (size_t s = 0; s < list->via.array.size && s < job->step_count; s++) {
    const msgpack_object *tasks = &list->via.array.ptr[s];
    DagStep *step = &job->steps[s];
    if (!gr_unpack_is_array (tasks, (uint32_t) step->spec.count))
      return false;
    for (int32_t i = 0; i < step->spec.count; i++) {
      if (!load_task (dag, &tasks->via.array.ptr[i], step, i))
        return false;
    }
    if (step->done == step->spec.count)
      job->steps_done |= (uint64_t) 1 << s;
  }
  return true;
}

/* The job of a progress record. An occurrence is created if the job with its timetable is known. */
static DagJob *
find_loaded_job (DagState *dag, const GrName *id)
{
  DagJob *job = dag_find_job (dag, id);
  const char *dot = memchr (id->data, '.', id->len);
  int64_t number;
  GrName owner_id;
  if (job || !dot || !gr_name_set (&owner_id, (GrStr){ id->data, (size_t) (dot - id->data) })
      || !gr_str_to_int64 ((GrStr){ dot + 1, id->len - owner_id.len - 1 }, &number)
      || number > DAG_MAX_OCCURRENCES)
    return job;
  DagJob *owner = dag_find_job (dag, &owner_id);
  return owner && dag_has_timetable (owner)
             ? dag_timetable_occurrence (dag, owner, (int32_t) number)
             : NULL;
}

static bool
load_progress (DagState *dag, const GrName *id, const msgpack_object *object, int64_t now_ms)
{
  if (!gr_unpack_is_array (object, PROGRESS_FIELDS))
    return false;
  const msgpack_object *f = object->via.array.ptr;
  int64_t format, state, ended;
  bool begun;
  if (!gr_unpack_int (&f[0], &format) || format != FORMAT || !gr_unpack_int (&f[1], &state)
      || !gr_unpack_bool (&f[2], &begun) || !read_int (&f[3], 0, NUMBER_MAX, &ended)
      || state < DAG_JOB_UNKNOWN || state > DAG_JOB_CANCELLED)
    return false;
  DagJob *job = find_loaded_job (dag, id);
  int64_t ended_at = ended > 0 ? ended - dag->options.unix_offset_ms : now_ms;
  bool ended_job = state != DAG_JOB_QUEUED && state != DAG_JOB_IN_PROGRESS;
  bool submitted = state != DAG_JOB_UNKNOWN;
  if (!job) {
    /* The submission record is deleted after the job has ended. */
    if (!ended_job)
      return false;
    GrName account = dag_loaded_account (dag, id);
    job = dag_job_create_ended (dag, id, &account,
                                submitted ? (DagJobState) state : DAG_JOB_CANCELLED, ended_at);
    job->account_written = account.len > 0;
    job->never_submitted = !submitted;
    job->stored = true;
    job->stored_state = job->state;
    job->begun = begun;
    return true;
  }
  if (!submitted)
    return false;
  job->begun = begun;
  GrStr done_bits;
  if (dag_has_timetable (job)
      && (!gr_unpack_bytes (&f[4], &done_bits) || !dag_timetable_set_done (job, done_bits)))
    return false;
  bool has_steps = f[4].type == MSGPACK_OBJECT_ARRAY;
  /* Of an ended job with a timetable the submission record may be gone. */
  if (!has_steps && !dag_has_timetable (job) && !ended_job)
    return false;
  if (has_steps && !load_steps (dag, &f[4], job))
    return false;
  if (ended_job) {
    job->state = (DagJobState) state;
    job->stored_state = job->state;
    job->ended_at = ended_at;
    dag->open_jobs--;
  } else if (begun) {
    job->state = DAG_JOB_IN_PROGRESS;
  }
  return true;
}

bool
dag_load (DagState *dag, GrStr key, GrStr value, int64_t now_ms, GrErr *err)
{
  GrName id;
  if (key.len == 1 && key.data[0] == DAG_LEARN_KEY)
    return dag_learn_load (dag, value, now_ms)
           || gr_err_set (err, GR_ERR_PROTOCOL, "record", "the learned values cannot be decoded");
  if (key.len < 2 || !gr_name_set (&id, (GrStr){ key.data + 1, key.len - 1 }))
    return gr_err_set (err, GR_ERR_PROTOCOL, "key", "invalid record key of %zu bytes", key.len);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, value);
  if (ok && key.data[0] == ACCOUNT_KEY)
    ok = dag_load_account (dag, &id, &unpacked.data);
  else if (ok && key.data[0] == SPEC_KEY)
    ok = load_spec (dag, &unpacked.data);
  else if (ok && key.data[0] == PROGRESS_KEY)
    ok = load_progress (dag, &id, &unpacked.data, now_ms);
  else
    ok = false;
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return gr_err_set (err, GR_ERR_PROTOCOL, "record", "the record %.*s cannot be decoded",
                       GR_STR_ARG (key));
  return true;
}

/* Takes ownership of value. */
static void
push_record (DagRecords *out, char kind, const GrName *id, GrBuf value)
{
  DagRecord record = { .value = value };
  gr_buf_append (&record.key, &kind, 1);
  gr_buf_append_str (&record.key, gr_name_str (id));
  gr_list_push (out, record);
}

size_t
dag_pack_job (const DagState *dag, DagJob *job, DagRecords *out)
{
  size_t bytes = 0;
  /* First, as the account is needed to load the others. An occurrence has that of its job. */
  if (!job->account_written && job->client && !job->timetable_job) {
    GrBuf value = { 0 };
    pack_account (&job->client->policy.name, &value);
    bytes += value.len;
    push_record (out, ACCOUNT_KEY, &job->id, value);
    job->account_written = true;
  }
  if (!job->spec_written) {
    GrBuf value = { 0 };
    dag_pack_spec (dag, job, &value);
    bytes += value.len;
    push_record (out, SPEC_KEY, &job->id, value);
    job->spec_written = true;
  }
  GrBuf progress = { 0 };
  dag_pack_progress (dag, job, &progress);
  bytes += progress.len;
  push_record (out, PROGRESS_KEY, &job->id, progress);
  if (!dag_job_is_open (job) && !dag_job_has_runs (job) && job->occurrences.count == 0
      && !job->spec_dropped) {
    push_record (out, SPEC_KEY, &job->id, (GrBuf){ 0 });
    job->spec_dropped = true;
  }
  return bytes;
}

void
dag_pack_drop (const DagJob *job, DagRecords *out)
{
  if (!job->spec_dropped)
    push_record (out, SPEC_KEY, &job->id, (GrBuf){ 0 });
  push_record (out, PROGRESS_KEY, &job->id, (GrBuf){ 0 });
  if (job->account_written)
    dag_pack_account_drop (&job->id, out);
}

void
dag_pack_account_drop (const GrName *id, DagRecords *out)
{
  push_record (out, ACCOUNT_KEY, id, (GrBuf){ 0 });
}

void
dag_records_clear (DagRecords *records)
{
  for (size_t i = 0; i < records->count; i++) {
    gr_buf_clear (&records->items[i].key);
    gr_buf_clear (&records->items[i].value);
  }
  gr_list_clear (records);
}
