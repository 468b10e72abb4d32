#include "dag/triage.h"

#include <math.h>
#include <stdlib.h>

#include "base/gr_str.h"

/* Hysteresis, so that errors of expected run times do not move jobs in and out of each plan: the
   work of a job that the previous plan left out is increased by RETURN_MARGIN of it, and the job is
   kept only if RETURN_ROOM of the room until its deadline stays free, as the errors of all jobs
   before it add up. */
#define RETURN_MARGIN 0.25
#define RETURN_ROOM 0.05

/* A job while one group is planned. */
typedef struct {
  size_t job;
  int64_t due_at;
  double work;
  double density; /* worth for its work */
  double room;    /* work that can be done by due_at */
  bool kept;
} Entry;

/* Sums over the runs that end first, by number of runs. */
typedef struct {
  double work;   /* remaining work of these runs */
  double demand; /* of these runs */
} RunSum;

/* Node of the tree over the entries: of the values below it, the sum and the least prefix sum. */
typedef struct {
  double sum, least;
} Node;

typedef struct {
  const TriageCell *cell;
  TriageJob *jobs;
  GrResDim dim;
  double capacity;
  TriageRun *runs; /* sorted by ends_at */
  RunSum *sums;
  double ahead; /* work that is served before the group */
  Entry *entries;
  size_t *heap; /* kept entries, the least density first */
  size_t heap_count;
  Node *tree; /* see build_tree() */
  size_t leaves;
} Planner;

static int64_t
remaining_ms (const TriageCell *cell, const TriageRun *run)
{
  return run->ends_at > cell->now_ms ? run->ends_at - cell->now_ms : 0;
}

static int
compare_runs (const void *a, const void *b)
{
  const TriageRun *x = a, *y = b;
  return x->ends_at < y->ends_at ? -1 : x->ends_at > y->ends_at;
}

static int
compare_entries (const void *a, const void *b)
{
  const Entry *x = a, *y = b;
  if (x->due_at != y->due_at)
    return x->due_at < y->due_at ? -1 : 1;
  return x->job < y->job ? -1 : x->job > y->job;
}

/* The dimension with the most work for its capacity. */
static GrResDim
choose_dimension (const TriageCell *cell, const TriageJob *jobs, size_t count)
{
  GrResDim best = GR_RES_CPU_MILLI;
  double most = -1;
  for (int d = 0; d < GR_RES_COUNT; d++) {
    double work = 0;
    for (size_t i = 0; i < count; i++)
      work += jobs[i].work.v[d];
    for (size_t i = 0; i < cell->run_count; i++)
      work += cell->runs[i].demand.v[d] * (double) remaining_ms (cell, &cell->runs[i]);
    double load = cell->capacity.v[d] > 0 ? work / cell->capacity.v[d] : work > 0 ? INFINITY : 0;
    if (load > most) {
      most = load;
      best = (GrResDim) d;
    }
  }
  return best;
}

static void
sum_runs (Planner *planner)
{
  RunSum sum = { 0 };
  for (size_t i = 0; i < planner->cell->run_count; i++) {
    planner->sums[i] = sum;
    double demand = planner->runs[i].demand.v[planner->dim];
    sum.work += demand * (double) remaining_ms (planner->cell, &planner->runs[i]);
    sum.demand += demand;
  }
  planner->sums[planner->cell->run_count] = sum;
}

/* Work that the runs do within that time; ended is the number of runs that end before. */
static double
run_work (const Planner *planner, size_t ended, int64_t passed_ms)
{
  const RunSum *all = &planner->sums[planner->cell->run_count], *done = &planner->sums[ended];
  return done->work + (all->demand - done->demand) * (double) passed_ms;
}

/* Sets the room of the entries, which are sorted by due_at. Entries that would fit but for the runs
   get no work and the greatest density, unless the previous plan left them out. */
static void
set_room (Planner *planner, size_t count)
{
  const TriageCell *cell = planner->cell;
  size_t ended = 0;
  double largest_room = -INFINITY;
  for (size_t i = 0; i < count; i++) {
    Entry *entry = &planner->entries[i];
    while (ended < cell->run_count && planner->runs[ended].ends_at <= entry->due_at)
      ended++;
    int64_t passed_ms = entry->due_at > cell->now_ms ? entry->due_at - cell->now_ms : 0;
    double idle = planner->capacity * (double) passed_ms;
    double running = run_work (planner, ended, passed_ms);
    double room = idle - planner->ahead - running;
    largest_room = room > largest_room ? room : largest_room;
    entry->room = largest_room;
    /* The ends of the runs are not known exactly, and leaving the entry out would help no other
       job. */
    if (!planner->jobs[entry->job].left_out && entry->work <= idle
        && entry->work > idle - running) {
      entry->work = 0;
      entry->density = INFINITY;
    }
  }
}

static bool
heap_less (const Planner *planner, size_t a, size_t b)
{
  const Entry *x = &planner->entries[planner->heap[a]], *y = &planner->entries[planner->heap[b]];
  /* Of equal densities, the later deadline is left out first: usually that of the newer job. */
  return x->density < y->density
         || (x->density == y->density && planner->heap[a] > planner->heap[b]);
}

static void
heap_swap (Planner *planner, size_t a, size_t b)
{
  size_t entry = planner->heap[a];
  planner->heap[a] = planner->heap[b];
  planner->heap[b] = entry;
}

static void
heap_push (Planner *planner, size_t entry)
{
  size_t at = planner->heap_count++;
  planner->heap[at] = entry;
  for (; at > 0 && heap_less (planner, at, (at - 1) / 2); at = (at - 1) / 2)
    heap_swap (planner, at, (at - 1) / 2);
}

static size_t
heap_pop (Planner *planner)
{
  size_t first = planner->heap[0], at = 0;
  planner->heap[0] = planner->heap[--planner->heap_count];
  for (;;) {
    size_t least = at;
    for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++) {
      if (child < planner->heap_count && heap_less (planner, child, least))
        least = child;
    }
    if (least == at)
      return first;
    heap_swap (planner, at, least);
    at = least;
  }
}

static void
leave_out (Planner *planner, size_t count)
{
  double work = 0;
  planner->heap_count = 0;
  for (size_t i = 0; i < count; i++) {
    planner->entries[i].kept = true;
    work += planner->entries[i].work;
    heap_push (planner, i);
    while (work > planner->entries[i].room && planner->heap_count > 0) {
      Entry *entry = &planner->entries[heap_pop (planner)];
      entry->kept = false;
      work -= entry->work;
    }
  }
}

static void
update_node (Planner *planner, size_t node)
{
  const Node *left = &planner->tree[2 * node], *right = &planner->tree[2 * node + 1];
  double through = left->sum + right->least;
  planner->tree[node] = (Node){ .sum = left->sum + right->sum,
                                .least = left->least < through ? left->least : through };
}

static void
set_leaf (Planner *planner, size_t at)
{
  const Entry *entry = &planner->entries[at];
  double room = at > 0 ? entry->room - entry[-1].room : entry->room;
  double value = room - (entry->kept ? entry->work : 0);
  planner->tree[planner->leaves + at] = (Node){ .sum = value, .least = value };
}

/* A tree over the entries whose prefix sums are the spare room at each deadline. */
static void
build_tree (Planner *planner, size_t count)
{
  for (planner->leaves = 1; planner->leaves < count;)
    planner->leaves *= 2;
  for (size_t i = 0; i < planner->leaves; i++) {
    if (i < count)
      set_leaf (planner, i);
    else
      planner->tree[planner->leaves + i] = (Node){ 0 };
  }
  for (size_t node = planner->leaves; node-- > 1;)
    update_node (planner, node);
}

/* Least spare room at the deadline of the entry and the later ones. */
static double
spare_room (const Planner *planner, size_t at)
{
  size_t node = planner->leaves + at;
  double before = 0, sum = planner->tree[node].sum, least = planner->tree[node].least;
  for (; node > 1; node /= 2) {
    if (node % 2 == 1) {
      before += planner->tree[node - 1].sum;
      continue;
    }
    const Node *next = &planner->tree[node + 1];
    if (sum + next->least < least)
      least = sum + next->least;
    sum += next->sum;
  }
  return before + least;
}

static void
set_kept (Planner *planner, size_t at, bool kept)
{
  planner->entries[at].kept = kept;
  set_leaf (planner, at);
  for (size_t node = (planner->leaves + at) / 2; node >= 1; node /= 2)
    update_node (planner, node);
}

static bool
was_left_out (const Planner *planner, size_t at)
{
  return planner->jobs[planner->entries[at].job].left_out;
}

/* Keeps more entries, the greatest density first. */
static void
keep_where_room (Planner *planner, size_t count, bool may_return)
{
  planner->heap_count = 0;
  for (size_t i = 0; i < count; i++) {
    if (!planner->entries[i].kept && (may_return || !was_left_out (planner, i)))
      heap_push (planner, i);
  }
  /* The heap yields the least density first. */
  size_t left = planner->heap_count;
  size_t *order = planner->heap + left;
  for (size_t i = left; i-- > 0;)
    order[i] = heap_pop (planner);
  for (size_t i = 0; i < left; i++) {
    if (planner->entries[order[i]].work <= spare_room (planner, order[i]))
      set_kept (planner, order[i], true);
  }
}

/* Leaves out again what would return without room to spare. */
static void
undo_returns (Planner *planner, size_t count)
{
  for (size_t i = 0; i < count; i++) {
    const Entry *entry = &planner->entries[i];
    if (entry->kept && was_left_out (planner, i)
        && spare_room (planner, i) < RETURN_ROOM * entry->room)
      set_kept (planner, i, false);
  }
}

static int
compare_accounts (const void *a, const void *b, void *user)
{
  const TriageJob *jobs = user;
  const Entry *x = a, *y = b;
  uint64_t x_account = jobs[x->job].account, y_account = jobs[y->job].account;
  if (x_account != y_account)
    return x_account < y_account ? -1 : 1;
  if (x->density != y->density)
    return x->density > y->density ? -1 : 1;
  return compare_entries (a, b);
}

/* Divides the density of each entry by the work of its account up to and including the entry, the
   densest first, over the weight of the account. No effect if no job has an account. */
static void
share_between_accounts (Planner *planner, size_t count)
{
  bool any = false;
  for (size_t i = 0; i < count; i++)
    any |= planner->jobs[planner->entries[i].job].account != 0;
  if (!any)
    return;
  qsort_r (planner->entries, count, sizeof *planner->entries, compare_accounts, planner->jobs);
  double before = 0;
  for (size_t i = 0; i < count; i++) {
    Entry *entry = &planner->entries[i];
    const TriageJob *job = &planner->jobs[entry->job];
    if (i > 0 && planner->jobs[entry[-1].job].account != job->account)
      before = 0;
    before += entry->work / job->weight;
    entry->density /= before;
  }
}

/* Plans the jobs of one priority that may get this verdict, for the deadline of that verdict. */
static void
plan_group (Planner *planner, size_t count, bool beyond_share, int32_t priority,
            TriageVerdict verdict)
{
  size_t entries = 0;
  for (size_t i = 0; i < count; i++) {
    TriageJob *job = &planner->jobs[i];
    double work = job->work.v[planner->dim];
    if (job->beyond_share != beyond_share || job->priority != priority || job->best > verdict
        || job->verdict < verdict)
      continue;
    if (work <= 0) {
      job->verdict = verdict;
      continue;
    }
    work *= job->left_out ? 1 + RETURN_MARGIN : 1;
    planner->entries[entries++]
        = (Entry){ .job = i,
                   .due_at = verdict == TRIAGE_OBJECTIVE ? job->due_at : job->hard_due_at,
                   .work = work,
                   .density = job->worth / work };
  }
  if (entries == 0)
    return;
  share_between_accounts (planner, entries);
  qsort (planner->entries, entries, sizeof *planner->entries, compare_entries);
  set_room (planner, entries);
  leave_out (planner, entries);
  build_tree (planner, entries);
  keep_where_room (planner, entries, true);
  undo_returns (planner, entries);
  keep_where_room (planner, entries, false);
  for (size_t i = 0; i < entries; i++) {
    if (!planner->entries[i].kept)
      continue;
    TriageJob *job = &planner->jobs[planner->entries[i].job];
    job->verdict = verdict;
    planner->ahead += job->work.v[planner->dim];
  }
}

/* Adds the work of jobs that meet no deadline to the work ahead: it still comes before that of jobs
   beyond their share. */
static void
add_rest (Planner *planner, size_t count, bool beyond_share)
{
  for (size_t i = 0; i < count; i++) {
    const TriageJob *job = &planner->jobs[i];
    if (job->beyond_share == beyond_share && job->verdict == TRIAGE_NONE)
      planner->ahead += job->work.v[planner->dim];
  }
}

static int
compare_priorities (const void *a, const void *b)
{
  int32_t x = *(const int32_t *) a, y = *(const int32_t *) b;
  return x < y ? -1 : x > y;
}

/* Stores the priorities of the jobs, sorted and each once; returns their number. */
static size_t
list_priorities (const TriageJob *jobs, size_t count, int32_t *out)
{
  for (size_t i = 0; i < count; i++)
    out[i] = jobs[i].priority;
  qsort (out, count, sizeof *out, compare_priorities);
  size_t kept = 0;
  for (size_t i = 0; i < count; i++) {
    if (kept == 0 || out[kept - 1] != out[i])
      out[kept++] = out[i];
  }
  return kept;
}

static TriageResult
summarize (const Planner *planner, size_t count)
{
  TriageResult result = { .dim = planner->dim, .capacity = planner->capacity };
  for (size_t i = 0; i < planner->cell->run_count; i++)
    result.running += planner->runs[i].demand.v[planner->dim]
                      * (double) remaining_ms (planner->cell, &planner->runs[i]);
  for (size_t i = 0; i < count; i++) {
    const TriageJob *job = &planner->jobs[i];
    result.waiting += job->work.v[planner->dim];
    result.left_out += job->best == TRIAGE_OBJECTIVE && job->verdict != TRIAGE_OBJECTIVE;
  }
  return result;
}

TriageResult
triage_plan (const TriageCell *cell, TriageJob *jobs, size_t count)
{
  size_t room = count + 1;
  Planner planner = { .cell = cell, .jobs = jobs };
  planner.dim = choose_dimension (cell, jobs, count);
  planner.capacity = cell->capacity.v[planner.dim];
  planner.runs = gr_calloc (cell->run_count + 1, sizeof *planner.runs);
  planner.sums = gr_calloc (cell->run_count + 1, sizeof *planner.sums);
  planner.entries = gr_calloc (room, sizeof *planner.entries);
  planner.heap = gr_calloc (2 * room, sizeof *planner.heap);
  planner.tree = gr_calloc (4 * room, sizeof *planner.tree);
  int32_t *priorities = gr_calloc (room, sizeof *priorities);
  for (size_t i = 0; i < cell->run_count; i++)
    planner.runs[i] = cell->runs[i];
  qsort (planner.runs, cell->run_count, sizeof *planner.runs, compare_runs);
  sum_runs (&planner);
  for (size_t i = 0; i < count; i++)
    jobs[i].verdict = TRIAGE_NONE;
  size_t priority_count = list_priorities (jobs, count, priorities);
  for (int beyond = 0; beyond <= 1; beyond++) {
    for (TriageVerdict verdict = TRIAGE_OBJECTIVE; verdict < TRIAGE_NONE; verdict++) {
      for (size_t p = 0; p < priority_count; p++)
        plan_group (&planner, count, beyond == 1, priorities[p], verdict);
    }
    add_rest (&planner, count, beyond == 1);
  }
  TriageResult result = summarize (&planner, count);
  free (planner.runs);
  free (planner.sums);
  free (planner.entries);
  free (planner.heap);
  free (planner.tree);
  free (priorities);
  return result;
}

int64_t
triage_earliest_end (int64_t now_ms, double capacity, double ahead, double work,
                     int64_t critical_path_ms)
{
  if (ahead + work > 0 && capacity <= 0)
    return INT64_MAX;
  double passed_ms = ahead + work > 0 ? (ahead + work) / capacity : 0;
  if (passed_ms > 1e15)
    return INT64_MAX;
  return now_ms + (passed_ms > (double) critical_path_ms ? (int64_t) passed_ms : critical_path_ms);
}
