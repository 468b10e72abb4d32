/* Internal state of the scheduler, shared by the files of src/sch. */
#pragma once

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "sch/sch.h"

typedef struct SchEntry SchEntry;
typedef struct SchQueue SchQueue;

/* Order in which waiting work is served. */
typedef enum {
  SCH_CLASS_URGENT,
  SCH_CLASS_SHORT,
  SCH_CLASS_SERVICE,
  SCH_CLASS_GANG,
  SCH_CLASS_LONG,
  SCH_CLASS_BATCH,
  SCH_CLASS_COUNT
} SchClass;

typedef enum {
  SCH_PHASE_QUEUED,
  SCH_PHASE_HELD,
  SCH_PHASE_STARTING,
  SCH_PHASE_RUNNING
} SchPhase;

/* Quota part and use of a team are those on this VM. */
typedef struct {
  GrName name;
  int32_t weight;
  GrRes quota;
  GrRes used;
  UT_hash_handle hh;
} SchTeam;

/* Run times are counted in buckets of a quarter octave, from 1 ms to 2^24 ms. */
#define SCH_RUN_BUCKETS 96

/* What was seen of the tasks of one team and kind, found by the hash of both names. */
typedef struct {
  uint64_t key;
  uint16_t runs[SCH_RUN_BUCKETS];
  int32_t run_count;
  int64_t run_p50_ms, run_p90_ms;
  GrRes seen;
  float fail_rate;
  UT_hash_handle hh;
} SchKind;

/* Parts of one gang that wait or hold here. */
typedef struct {
  GrName job;
  int32_t tasks; /* size of the whole gang */
  int32_t waiting;
  int32_t held;
  int64_t arrived_ms;
  SchEntry *parts;
  UT_hash_handle hh;
} SchGang;

struct SchEntry {
  SchTask task;
  GrRes reserve; /* what it holds or will hold */
  SchPhase phase;
  SchClass class;
  int32_t target; /* -1 while queued */
  int32_t reserved_target;
  bool cancelled;
  SchWhy stop_why; /* SCH_WHY_BEST_FIT: not asked to stop */
  bool is_long;    /* counts against the share of long work */
  bool bulk;       /* counts against the share of batch work */
  bool probe;
  bool aged;
  SchTeam *team;
  SchKind *kind;
  SchGang *gang;
  SchQueue *queue;
  int64_t submit_ms;
  int64_t start_ms;
  int64_t latest_ms; /* a later start misses the deadline */
  int64_t run_ms;    /* expected run time; 0 if not known */
  int64_t retry_ms;  /* no preemption for it before this time */
  int64_t timer_ms;
  int32_t timer_slot; /* -1: no timer */
  SchEntry *same_id;  /* other attempts of the task */
  SchEntry *queue_prev, *queue_next;
  SchEntry *target_prev, *target_next;
  SchEntry *timer_prev, *timer_next;
  SchEntry *gang_prev, *gang_next;
  SchEntry *aged_prev, *aged_next;
  SchEntry *batch_prev, *batch_next;
  UT_hash_handle hh;
};

/* Identity of a queue; all bytes are set, so that it can be hashed. */
typedef struct {
  SchTeam *team;
  int32_t class;
  int32_t priority;
  int32_t shape; /* coarse size and run time */
  int32_t zero;
} SchQueueKey;

/* Waiting tasks of one class, team, priority and similar size, first come first served. */
struct SchQueue {
  SchQueueKey key;
  int32_t count;
  int32_t active_at; /* position in active[class]; -1: not active */
  SchWhy why;        /* why the head waits */
  GrResDim dim;
  SchEntry *head;
  UT_hash_handle hh;
};

/* Ends on a target since its last success. */
typedef struct {
  int32_t failures;
  uint64_t jobs[4]; /* hashes of distinct jobs that failed */
  int32_t job_count;
  int64_t probe_ms; /* earliest next probe */
  int64_t backoff_ms;
  bool probing;
} SchHealth;

/* The index keeps usable targets in cells by free accelerators, slots, cpu and memory. */
#define SCH_ACC_LEVELS 5
#define SCH_SLOT_LEVELS 4
#define SCH_FREE_LEVELS 32
#define SCH_CELLS (SCH_ACC_LEVELS * SCH_SLOT_LEVELS * SCH_FREE_LEVELS * SCH_FREE_LEVELS)

typedef struct {
  GrName name;
  int32_t number;
  UT_hash_handle hh;
} SchTargetName;

/* Targets of equal capacity that are not leaving. */
typedef struct {
  GrRes total;
  int32_t count;
} SchShape;

enum {
  SCH_TARGET_UP = 1,
  SCH_TARGET_LEAVES = 2,
  SCH_TARGET_QUARANTINED = 4
};

/* Targets as a structure of arrays; a target keeps its number while it is known. */
typedef struct {
  int32_t count; /* numbers in use or in free_numbers */
  int32_t capacity;
  SchTargetName **name; /* NULL: number not in use */
  uint32_t *group;      /* hashes */
  uint32_t *zone;
  GrRes *total;
  GrRes *reserved;
  GrRes *free;
  uint8_t *flags;
  int32_t *long_slots;
  SchEntry **tasks;
  SchEntry **reserved_for;
  int32_t *backfills; /* tasks let past the reservation */
  SchHealth *health;
  int32_t *cell; /* -1: not in the index */
  int32_t *cell_prev, *cell_next;
  int32_t *cells;                                                  /* first target of each cell */
  uint32_t columns[SCH_ACC_LEVELS][SCH_SLOT_LEVELS][SCH_FREE_LEVELS]; /* cells not empty */
  uint32_t rows[SCH_ACC_LEVELS][SCH_SLOT_LEVELS];                     /* rows not empty */
  GR_LIST (int32_t) free_numbers;
  SchTargetName *names;
  GrRes usable_total; /* sum of capacity over usable targets */
  GR_LIST (SchShape) shapes;
} SchTargets;

#define SCH_TIMER_SLOTS 1024
#define SCH_TIMER_STEP_MS 16

/* A hash kept for a time, for example of a cancelled task or an ended attempt. */
typedef struct SchMark {
  uint64_t key;
  int64_t until_ms;
  struct SchMark *prev, *next;
  UT_hash_handle hh;
} SchMark;

typedef struct {
  SchMark *table;
  SchMark *oldest;
} SchMarks;

struct SchState {
  SchOptions options;
  int64_t now_ms;
  SchTargets targets;
  SchEntry *entries; /* by task id */
  size_t entry_count;
  SchEntry *spare; /* linked by same_id */
  SchTeam *teams;
  SchKind *kinds;
  SchQueue *queues;
  SchGang *gangs;
  GR_LIST (SchQueue *) active[SCH_CLASS_COUNT];
  int64_t queued;
  int64_t running;
  GrRes bulk_used; /* reserved by batch and long work */
  SchEntry *timers[SCH_TIMER_SLOTS];
  int64_t timer_at; /* slots up to this one have been run */
  SchEntry *aged;   /* waiting tasks over the ageing time, oldest first */
  SchEntry *batch;  /* preemptible tasks on targets, latest start first */
  SchMarks cancelled;
  SchMarks ended;
  GR_LIST (int32_t) freed; /* targets whose free capacity grew in this step */
  bool refill;             /* limits or shares changed: try all queues */
  int32_t last_target;     /* of the latest end; used by a fault switch only */
  GrRes last_reserve;
};

/* sch_entry.c: task table, marks, timers */
SchEntry *sch_entry_find (const SchState *s, const GrName *id, int32_t attempt);
SchEntry *sch_entry_first (const SchState *s, const GrName *id); /* all attempts by same_id */
SchEntry *sch_entry_new (SchState *s, const SchTask *task);
void sch_entry_free (SchState *s, SchEntry *e); /* e is in no list other than the table */
uint64_t sch_attempt_hash (const GrName *id, int32_t attempt);
bool sch_marked (const SchMarks *marks, uint64_t key);
void sch_mark (SchMarks *marks, uint64_t key, int64_t now_ms);
void sch_marks_expire (SchMarks *marks, int64_t now_ms);
void sch_marks_clear (SchMarks *marks);
void sch_timer_set (SchState *s, SchEntry *e, int64_t at_ms);
void sch_timer_clear (SchState *s, SchEntry *e);
/* Next entry whose timer is due, with its timer cleared; NULL when there is none. */
SchEntry *sch_timer_next (SchState *s);

/* sch_target.c: targets, reservations, free-capacity index */
void sch_targets_init (SchTargets *t);
void sch_targets_clear (SchTargets *t);
int32_t sch_target_find (const SchTargets *t, const GrName *name);
int32_t sch_target_add (SchTargets *t, const GrName *name);
void sch_target_remove (SchTargets *t, int32_t i);
bool sch_target_usable (const SchTargets *t, int32_t i);
void sch_target_set (SchTargets *t, int32_t i, const GrRes *total, uint8_t flags);
void sch_target_take (SchState *s, int32_t i, SchEntry *e);
void sch_target_give_back (SchState *s, SchEntry *e);
void sch_target_reindex (SchTargets *t, int32_t i);
/* Best target for e among those with enough free; -1 if none was found. */
int32_t sch_target_pick (const SchState *s, const SchEntry *e);
/* Whether e may start on target i now, apart from quota and shares. */
bool sch_target_allows (const SchState *s, int32_t i, const SchEntry *e);
/* False if no known target has the capacity; *dim names the dimension that is short. */
bool sch_targets_could_fit (const SchTargets *t, const GrRes *need, GrResDim *dim);

/* sch_queue.c: waiting tasks */
void sch_queue_push (SchState *s, SchEntry *e);
void sch_queue_remove (SchState *s, SchEntry *e);
void sch_queues_clear (SchState *s);

/* sch_team.c: quotas and fair shares; sch_kind.c: estimates */
SchTeam *sch_team_get (SchState *s, const GrName *name);
void sch_teams_limit (SchState *s, const SchTeamLimit *limits, size_t count);
bool sch_team_allows (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim);
double sch_team_share (const SchState *s, const SchTeam *team);
SchKind *sch_kind_get (SchState *s, const SchTask *task);
void sch_kind_ran (SchKind *kind, int64_t run_ms);
int64_t sch_kind_run_ms (const SchKind *kind, const SchTask *task);
void sch_classify (const SchState *s, SchEntry *e);

/* sch_place.c: starting, holding and refusing */
void sch_emit (SchCmds *out, SchCmdKind kind, const SchEntry *e, SchWhy why);
void sch_refuse (SchState *s, SchEntry *e, SchWhy why, GrResDim dim, SchCmds *out);
void sch_end (SchState *s, SchEntry *e, SchEnd end, SchCmds *out);
bool sch_try_place (SchState *s, SchEntry *e, SchCmds *out);
/* Starts waiting work on a target whose free capacity grew. */
void sch_fill_target (SchState *s, int32_t i, SchCmds *out);
/* Tries the heads of all queues on any target. */
void sch_fill_all (SchState *s, SchCmds *out);
