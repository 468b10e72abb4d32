/* Faults drawn from the seed. Those of paths and of the store are in force for a time and are asked
   for by the parts that carry them out; those of processes are carried out when they begin. */
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define FIRST_AT_MS 6000
/* The end of the run is left for recovery. */
#define CALM_MS 15000
#define GAP_MIN_MS 300
#define GAP_SPAN_MS 2200
#define OVERLAP_SPAN_MS 1000
#define FAULTS_MAX 2000
/* Shorter than a lease, and long enough for a next leader to count the leases of this one. */
#define RETURN_MIN_MS 3000
#define LATE_MIN_MS 500
#define LATE_SPAN_MS 5000

typedef enum {
  FAULT_PAUSE_EDGE,
  FAULT_PAUSE_LEADER,
  FAULT_PAUSE_TARGET,
  FAULT_KILL_EDGE,
  FAULT_KILL_LEADER,
  FAULT_KILL_TARGET,
  FAULT_CUT_STORE,      /* one edge and the store */
  FAULT_CUT_STORE_ZONE, /* all edges of a zone and the store */
  FAULT_STORE_OUT,      /* all edges and the store */
  FAULT_LOST_ANSWERS,   /* of the store, to all edges */
  FAULT_CUT_PEER,       /* two edges */
  FAULT_CUT_TARGET,     /* one edge, or the leader, and some targets */
  FAULT_LONE_TARGETS,   /* the leader reaches some targets, the other edges do not */
  FAULT_LEADER_RETURNS, /* the leader is paused, and it alone reaches half of the targets */
  FAULT_LATE,           /* orders to a target arrive late */
  FAULT_ZONE,           /* a zone keeps its own edges and targets only */
  FAULT_LEADER_ZONE,    /* the same for the leader's zone */
  FAULT_QUICK_RETURN, /* an edge is killed and back again and again, while calls wait for the store
                       */
  FAULT_IDLE_CRASH, /* targets of short runs are cut off, end them, and crash when they are idle */
  FAULT_KILL_ALL,   /* all edges are killed right after a configuration was stored */
  FAULT_KIND_COUNT
} FaultKind;

static const struct {
  const char *name;
  int64_t min_ms, span_ms;
  bool long_only; /* short ones are of no use */
} kinds[FAULT_KIND_COUNT] = {
  [FAULT_PAUSE_EDGE] = { "pause-edge", 200, 8000 },
  [FAULT_PAUSE_LEADER] = { "pause-leader", 200, 8000 },
  [FAULT_PAUSE_TARGET] = { "pause-target", 200, 12000 },
  [FAULT_KILL_EDGE] = { "kill-edge", 200, 4000 },
  [FAULT_KILL_LEADER] = { "kill-leader", 200, 4000 },
  [FAULT_KILL_TARGET] = { "kill-target", 200, 6000 },
  [FAULT_CUT_STORE] = { "cut-store", 500, 8000 },
  [FAULT_CUT_STORE_ZONE] = { "cut-store-zone", 500, 8000 },
  [FAULT_STORE_OUT] = { "store-out", 500, 5000 },
  [FAULT_LOST_ANSWERS] = { "lost-answers", 300, 2500 },
  [FAULT_CUT_PEER] = { "cut-peer", 500, 8000 },
  [FAULT_CUT_TARGET] = { "cut-target", 500, 10000 },
  [FAULT_LONE_TARGETS] = { "lone-targets", 6000, 14000, true },
  [FAULT_LEADER_RETURNS] = { "leader-returns", 10000, 4000, true },
  [FAULT_LATE] = { "late", 500, 4000 },
  [FAULT_ZONE] = { "zone", 4000, 16000, true },
  [FAULT_LEADER_ZONE] = { "leader-zone", 6000, 14000, true },
  [FAULT_QUICK_RETURN] = { "quick-return", 2500, 2500, true },
  [FAULT_IDLE_CRASH] = { "idle-crash", 12000, 8000, true },
  [FAULT_KILL_ALL] = { "kill-all", 300, 1200 },
};

/* Rounds of FAULT_QUICK_RETURN: the store loses its answers from the begin of a round on; the edge
   is killed and back within that time, and the answers to repeated calls come after it. */
#define ROUND_MS 700
#define ROUND_LOSES_MS 450
#define ROUND_KILL_MS 150
#define ROUND_BACK_MS 280

/* Cuts of FAULT_IDLE_CRASH: so many targets at a time, each right after a start. */
#define CUTS_MAX 4
#define CUT_MS 1700
#define CUT_CRASH_MS 1400
#define CUT_BACK_MS 1550
/* Share of first runs whose target is cut; the next runs of the same task all meet one. */
#define FIRST_RUN_PERCENT 25

typedef struct {
  int slot;
  int64_t begins_at; /* 0: none */
  bool crashed;
} Cut;

/* How a cut shows. */
typedef enum {
  STYLE_SILENT,
  STYLE_FORWARD_SILENT,
  STYLE_BACK_SILENT,
  STYLE_RESET,
  STYLE_COUNT
} Style;

typedef struct {
  FaultKind kind;
  int64_t begins_at, ends_at;
  /* Drawn beforehand, so that the sequence does not depend on the run. */
  int edge, other, target, target_count;
  Style style;
  bool both, new_id;
  bool begun, active;
  int64_t late_ms;
  int64_t killed_at; /* of FAULT_QUICK_RETURN: last time; 0: not yet */
  Cut cuts[CUTS_MAX];
} Fault;

struct SoakFaults {
  Soak *soak;
  SoakRandom random; /* of faults that depend on the run */
  Fault *faults;
  size_t count;
};

static bool
is_selected (const char *list, const char *name)
{
  size_t len = strlen (name);
  if (strcmp (list, "all") == 0)
    return true;
  for (const char *at = list; at; at = strchr (at, ',') ? strchr (at, ',') + 1 : NULL) {
    if (strncmp (at, name, len) == 0 && (at[len] == ',' || at[len] == '\0'))
      return true;
  }
  return false;
}

static void
check_list (const char *list)
{
  GrBuf left = { 0 };
  gr_buf_append_str (&left, gr_str_from_c (list));
  for (char *name = strtok (left.data, ","); name; name = strtok (NULL, ",")) {
    bool known = strcmp (name, "all") == 0 || strcmp (name, "none") == 0;
    for (int i = 0; i < FAULT_KIND_COUNT; i++)
      known |= strcmp (name, kinds[i].name) == 0;
    if (!known)
      soak_die ("no fault is called %s", name);
  }
  gr_buf_clear (&left);
}

static Fault
draw (Soak *soak, SoakRandom *random, FaultKind kind, int64_t at)
{
  const SoakSettings *settings = &soak->settings;
  Fault fault = { .kind = kind, .begins_at = at };
  /* Most faults are short. */
  bool longer = soak_below (random, 3) == 0 || kinds[kind].long_only;
  int64_t span = longer ? kinds[kind].span_ms : kinds[kind].span_ms / 3;
  fault.ends_at = at + kinds[kind].min_ms + soak_below (random, span);
  fault.edge = (int) soak_below (random, settings->edges);
  fault.other = (int) soak_below (random, settings->edges);
  fault.target = (int) soak_below (random, settings->targets);
  fault.target_count = 1 + (int) soak_below (random, 4);
  fault.style = (Style) soak_below (random, STYLE_COUNT);
  fault.both = soak_below (random, 2) == 0;
  fault.new_id = soak_below (random, 3) == 0;
  fault.late_ms = LATE_MIN_MS + soak_below (random, LATE_SPAN_MS);
  return fault;
}

SoakFaults *
soak_faults_new (Soak *soak)
{
  SoakFaults *faults = gr_calloc (1, sizeof *faults);
  faults->soak = soak;
  faults->faults = gr_calloc (FAULTS_MAX, sizeof *faults->faults);
  check_list (soak->settings.faults);
  FaultKind selected[FAULT_KIND_COUNT];
  int count = 0;
  for (int i = 0; i < FAULT_KIND_COUNT; i++) {
    if (is_selected (soak->settings.faults, kinds[i].name))
      selected[count++] = (FaultKind) i;
  }
  SoakRandom random = soak_random (soak->settings.seed, "faults");
  faults->random = soak_random (soak->settings.seed, "cuts");
  int64_t end = soak->settings.seconds * 1000 - CALM_MS;
  for (int64_t at = FIRST_AT_MS; count > 0 && at < end && faults->count < FAULTS_MAX;) {
    Fault fault = draw (soak, &random, selected[soak_below (&random, count)], soak->began_at + at);
    if (fault.ends_at > soak->began_at + end)
      fault.ends_at = soak->began_at + end;
    faults->faults[faults->count++] = fault;
    /* Some follow the one before soon, also if it is long. */
    int64_t length = kinds[fault.kind].long_only ? (fault.ends_at - fault.begins_at) * 3 / 4 : 0;
    at += soak_below (&random, 4) == 0 ? soak_below (&random, OVERLAP_SPAN_MS)
                                       : GAP_MIN_MS + length + soak_below (&random, GAP_SPAN_MS);
  }
  return faults;
}

static int64_t
round_ms (const Fault *fault)
{
  return (soak_now () - fault->begins_at) % ROUND_MS;
}

static bool
cuts_store (const Fault *fault, int edge)
{
  switch (fault->kind) {
  case FAULT_CUT_STORE:
    return fault->edge == edge;
  case FAULT_CUT_STORE_ZONE:
  case FAULT_ZONE:
  case FAULT_LEADER_ZONE:
    return soak_zone (fault->edge) == soak_zone (edge);
  case FAULT_STORE_OUT:
  case FAULT_LOST_ANSWERS:
    return true;
  case FAULT_QUICK_RETURN:
    return round_ms (fault) < ROUND_LOSES_MS;
  default:
    return false;
  }
}

SoakStoreMode
soak_faults_store (const SoakFaults *faults, int edge)
{
  for (size_t i = 0; i < faults->count; i++) {
    const Fault *fault = &faults->faults[i];
    if (!fault->active || !cuts_store (fault, edge))
      continue;
    if (fault->kind == FAULT_LOST_ANSWERS || fault->kind == FAULT_QUICK_RETURN)
      return SOAK_STORE_LOSES;
    if (fault->kind == FAULT_ZONE || fault->kind == FAULT_LEADER_ZONE)
      return SOAK_STORE_SILENT;
    switch (fault->style) {
    case STYLE_SILENT:
    case STYLE_FORWARD_SILENT:
      return SOAK_STORE_SILENT;
    case STYLE_BACK_SILENT:
      return SOAK_STORE_REFUSES;
    case STYLE_RESET:
    case STYLE_COUNT:
      return SOAK_STORE_RESETS;
    }
  }
  return SOAK_STORE_SERVES;
}

static bool
crosses_zone (const Fault *fault, int edge, SoakEnd end)
{
  int zone = soak_zone (fault->edge);
  return (soak_zone (edge) == zone) != (soak_zone (end.number) == zone);
}

static void
add_style (const Fault *fault, SoakPathMode *mode)
{
  mode->forward_silent |= fault->style == STYLE_SILENT || fault->style == STYLE_FORWARD_SILENT;
  mode->back_silent |= fault->style == STYLE_SILENT || fault->style == STYLE_BACK_SILENT;
  mode->resets |= fault->style == STYLE_RESET;
}

static bool
is_cut (const Fault *fault, int slot)
{
  for (int i = 0; i < CUTS_MAX; i++) {
    if (fault->cuts[i].begins_at > 0 && fault->cuts[i].slot == slot)
      return true;
  }
  return false;
}

static void
add_mode (const Fault *fault, int edge, SoakEnd end, SoakPathMode *mode)
{
  bool named = end.number >= fault->target && end.number < fault->target + fault->target_count;
  switch (fault->kind) {
  case FAULT_CUT_PEER:
    if (!end.target
        && ((edge == fault->edge && end.number == fault->other)
            || (edge == fault->other && end.number == fault->edge)))
      add_style (fault, mode);
    break;
  case FAULT_CUT_TARGET:
    if (end.target && named && edge == fault->edge)
      add_style (fault, mode);
    break;
  case FAULT_LONE_TARGETS:
    if (end.target && named && edge != fault->edge)
      mode->forward_silent = mode->back_silent = true;
    break;
  case FAULT_LEADER_RETURNS:
    if (end.target && end.number % 2 == 0 && edge != fault->edge)
      mode->forward_silent = mode->back_silent = true;
    break;
  case FAULT_IDLE_CRASH:
    if (end.target && is_cut (fault, end.number))
      mode->forward_silent = mode->back_silent = true;
    break;
  case FAULT_LATE:
    if (end.target && named)
      mode->late_ms = fault->late_ms;
    break;
  case FAULT_ZONE:
  case FAULT_LEADER_ZONE:
    if (crosses_zone (fault, edge, end))
      mode->forward_silent = mode->back_silent = true;
    break;
  default:
    break;
  }
}

SoakPathMode
soak_faults_path (const SoakFaults *faults, int edge, SoakEnd end)
{
  SoakPathMode mode = { 0 };
  for (size_t i = 0; i < faults->count; i++) {
    if (faults->faults[i].active)
      add_mode (&faults->faults[i], edge, end, &mode);
  }
  return mode;
}

bool
soak_faults_report_lost (const SoakFaults *faults, int slot)
{
  for (size_t i = 0; i < faults->count; i++) {
    const Fault *fault = &faults->faults[i];
    if (!fault->active)
      continue;
    if (fault->kind == FAULT_STORE_OUT
        || ((fault->kind == FAULT_ZONE || fault->kind == FAULT_LEADER_ZONE)
            && soak_zone (fault->edge) == soak_zone (slot)))
      return true;
  }
  return false;
}

bool
soak_faults_store_down (const SoakFaults *faults)
{
  for (size_t i = 0; i < faults->count; i++) {
    if (faults->faults[i].active && faults->faults[i].kind == FAULT_STORE_OUT)
      return true;
  }
  return false;
}

static void
begin (SoakFaults *faults, Fault *fault)
{
  Soak *soak = faults->soak;
  int leader = soak_store_leader (soak->store);
  bool of_leader
      = fault->kind == FAULT_PAUSE_LEADER || fault->kind == FAULT_KILL_LEADER
        || fault->kind == FAULT_LEADER_ZONE
        || ((fault->kind == FAULT_CUT_STORE || fault->kind == FAULT_CUT_TARGET) && fault->both);
  if (of_leader && leader >= 0)
    fault->edge = leader;
  if (fault->kind == FAULT_QUICK_RETURN && fault->edge == leader)
    fault->edge = (leader + 1) % (int) soak->settings.edges;
  SoakEnd edge = { false, fault->edge };
  soak_note (soak, "fault %s edge=e%d zone=z%d other=e%d targets=t%02d+%d style=%d until %.3f",
             kinds[fault->kind].name, fault->edge + 1, soak_zone (fault->edge) + 1,
             fault->other + 1, fault->target, fault->target_count, fault->style,
             soak_at (soak, fault->ends_at));
  switch (fault->kind) {
  case FAULT_PAUSE_EDGE:
  case FAULT_PAUSE_LEADER:
    soak_procs_pause (soak->procs, edge, fault->ends_at);
    break;
  case FAULT_LEADER_RETURNS:
    soak_procs_pause (soak->procs, edge, soak_now () + RETURN_MIN_MS + fault->late_ms / 2);
    break;
  case FAULT_PAUSE_TARGET:
    for (int i = fault->target;
         i < fault->target + fault->target_count && i < soak->settings.targets; i++)
      soak_procs_pause (soak->procs, (SoakEnd){ true, i }, fault->ends_at);
    break;
  case FAULT_KILL_EDGE:
  case FAULT_KILL_LEADER:
    soak_procs_crash (soak->procs, edge, fault->ends_at, false);
    break;
  case FAULT_KILL_TARGET:
    soak_procs_crash (soak->procs, (SoakEnd){ true, fault->target }, fault->ends_at, fault->new_id);
    break;
  case FAULT_KILL_ALL:
    soak_store_publish (soak->store);
    for (int i = 0; i < soak->settings.edges; i++)
      soak_procs_crash (soak->procs, (SoakEnd){ false, i }, fault->ends_at, false);
    break;
  default:
    break;
  }
}

static void
play_round (const SoakFaults *faults, Fault *fault)
{
  int64_t now = soak_now ();
  int64_t round = round_ms (fault);
  if (round < ROUND_KILL_MS || round >= ROUND_BACK_MS || now - fault->killed_at < ROUND_BACK_MS)
    return;
  fault->killed_at = now;
  soak_procs_crash (faults->soak->procs, (SoakEnd){ false, fault->edge },
                    now - round + ROUND_BACK_MS, false);
}

static void
tick_cut (Soak *soak, Cut *cut)
{
  int64_t now = soak_now ();
  if (!cut->crashed && now >= cut->begins_at + CUT_CRASH_MS
      && soak_check_is_idle (soak->check, cut->slot)) {
    cut->crashed = true;
    soak_procs_crash (soak->procs, (SoakEnd){ true, cut->slot }, cut->begins_at + CUT_BACK_MS,
                      false);
  }
  if (now >= cut->begins_at + CUT_MS)
    *cut = (Cut){ 0 };
}

/* Cuts off targets that have just started a short run. */
static void
play_cuts (SoakFaults *faults, Fault *fault)
{
  for (int i = 0; i < CUTS_MAX; i++) {
    Cut *cut = &fault->cuts[i];
    if (cut->begins_at > 0) {
      tick_cut (faults->soak, cut);
      continue;
    }
    int first_run = soak_below (&faults->random, 100) < FIRST_RUN_PERCENT ? 1 : 2;
    int slot = soak_check_next_start (faults->soak->check, first_run);
    if (slot < 0 || is_cut (fault, slot))
      continue;
    soak_note (faults->soak, "t%02d is cut off", slot);
    *cut = (Cut){ .slot = slot, .begins_at = soak_now () };
  }
}

int
soak_faults_busy_edge (const SoakFaults *faults)
{
  for (size_t i = 0; i < faults->count; i++) {
    const Fault *fault = &faults->faults[i];
    if (fault->active && fault->kind == FAULT_QUICK_RETURN)
      return fault->edge;
  }
  return -1;
}

void
soak_faults_tick (SoakFaults *faults)
{
  int64_t now = soak_now ();
  for (size_t i = 0; i < faults->count; i++) {
    Fault *fault = &faults->faults[i];
    if (!fault->begun && now >= fault->begins_at) {
      fault->begun = true;
      begin (faults, fault);
    }
    fault->active = now >= fault->begins_at && now < fault->ends_at;
    if (fault->active && fault->kind == FAULT_QUICK_RETURN)
      play_round (faults, fault);
    if (fault->active && fault->kind == FAULT_IDLE_CRASH)
      play_cuts (faults, fault);
  }
}
