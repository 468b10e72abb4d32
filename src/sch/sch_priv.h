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
  GrRes used_now;     /* part of it by work that is neither batch nor long */
  double share;       /* dominant share of the usable targets, divided by the weight */
  double share_now;   /* as share, of used_now */
  bool quota_blocked; /* a queue of the team waits for its quota part */
  bool retry;         /* in retry_teams */
  UT_hash_handle hh;
} SchTeam;

/* Run times are counted in buckets of a quarter octave, from 1 ms to 2^24 ms. */
#define SCH_RUN_BUCKETS 96

/* What was seen of the tasks of one team and kind, found by the hash of both names. */
typedef struct SchKind {
  uint64_t key;
  uint16_t runs[SCH_RUN_BUCKETS];
  int32_t run_count;
  int32_t ends;
  int32_t refs; /* tasks that point to it */
  int64_t run_p50_ms, run_p90_ms;
  GrRes seen;
  double fail_rate; /* moving average */
  int32_t outcomes;
  struct SchKind *prev, *next;
  UT_hash_handle hh;
} SchKind;

/* Parts of one gang that wait or hold here; parts that started are ordinary running tasks. */
typedef struct SchGang {
  uint64_t key; /* hash of job and attempt */
  GrName job;
  int32_t attempt;
  int32_t tasks; /* size of the whole gang */
  int32_t waiting;
  int32_t held;
  int64_t retry_ms; /* no try to place all parts before this time */
  SchEntry *parts;
  struct SchGang *prev, *next; /* in order of arrival */
  UT_hash_handle hh;
} SchGang;

typedef struct {
  uint32_t place;
  int32_t count;
} SchPlaceCount;

/* Where the replicas of a service run, as counts by zone and by group. */
typedef struct {
  GrName job;
  GR_LIST (SchPlaceCount) zones;
  GR_LIST (SchPlaceCount) groups;
  int32_t refs;
  UT_hash_handle hh;
} SchService;

/* Outcomes of one job, to distinguish a job that fails on every target from a target on which every
   job fails. */
typedef struct SchJobStat {
  uint64_t key;
  int32_t first_target; /* target of its first failure; -1: none */
  int32_t last_target;  /* target of its latest failure; -1: none */
  int32_t fails_first;  /* on first_target */
  int32_t fails_other;  /* on all other targets */
  int32_t successes;
  struct SchJobStat *prev, *next;
  UT_hash_handle hh;
} SchJobStat;

struct SchEntry {
  SchTask task;
  GrRes reserve; /* what it holds or will hold */
  SchPhase phase;
  SchClass class;
  int32_t target;          /* -1 while queued */
  int32_t reserved_target; /* keeps room for it while it waits; -1: none */
  int32_t claimed_target;  /* batch work there is being stopped for it; -1: none */
  int32_t avoid_target;    /* where its job failed last; -1: none */
  bool stopping;
  bool in_batch_list;
  SchWhy stop_why;
  bool is_long; /* counts against the share of long work */
  bool bulk;    /* counts against the share of batch work */
  bool probe;
  bool aged;
  SchTeam *team;
  SchKind *kind;
  SchGang *gang;
  SchService *service;
  SchQueue *queue;
  int64_t submit_ms;
  int64_t start_ms;
  int64_t latest_ms;        /* a later start misses the deadline */
  int64_t run_ms;           /* expected run time, median; 0 if not known */
  int64_t high_ms;          /* 9 of 10 runs are shorter; 0 if not known */
  int64_t preempt_retry_ms; /* no further preemption for it before this time */
  double work_ms;           /* share of the cell times expected run time */
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

/* Jobs recorded for one target. */
#define SCH_HEALTH_JOBS 16

/* Failures on a target since the last success on it. */
typedef struct {
  int32_t failures;
  int32_t records; /* entries used in job_keys and weights */
  uint64_t job_keys[SCH_HEALTH_JOBS];
  double weights[SCH_HEALTH_JOBS]; /* of each failure; negative logarithm of a probability */
  int64_t probe_ms;                /* earliest next probe */
  int64_t backoff_ms;              /* time between the latest failed probe and the next */
  int64_t cooldown_until_ms;
  SchEntry *probe; /* running probe; NULL: none */
} SchHealth;

/* The index keeps usable targets in buckets by their levels of free accelerators, slots, cpu and
   memory. */
#define SCH_ACC_LEVELS 5
#define SCH_SLOT_LEVELS 4
#define SCH_FREE_LEVELS 32
#define SCH_INDEX_BUCKETS (SCH_ACC_LEVELS * SCH_SLOT_LEVELS * SCH_FREE_LEVELS * SCH_FREE_LEVELS)

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
  SCH_TARGET_LEAVING = 2,
  SCH_TARGET_QUARANTINED = 4,
  SCH_TARGET_COOLDOWN = 8 /* refused a start or failed a task recently */
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
  int64_t *reserve_ms; /* when the room is expected to be free */
  int32_t *backfills;  /* tasks let past the reservation */
  GrRes *releasing;    /* held by tasks that are being stopped */
  GrRes *claimed;      /* demand of the waiting tasks with this claimed_target */
  SchHealth *health;
  int32_t *bucket; /* -1: not in the index */
  int32_t *bucket_prev, *bucket_next;
  int32_t *buckets; /* first target of each bucket */
  /* Bit sets of the buckets that are not empty: the memory levels of one cpu level, and the cpu
     levels of which any memory level is set. */
  uint32_t columns[SCH_ACC_LEVELS][SCH_SLOT_LEVELS][SCH_FREE_LEVELS];
  uint32_t rows[SCH_ACC_LEVELS][SCH_SLOT_LEVELS];
  GR_LIST (int32_t) free_numbers;
  SchTargetName *names;
  GrRes usable_total; /* sum of capacity over usable targets */
  int32_t usable;
  GR_LIST (SchShape) shapes;
} SchTargets;

#define SCH_TIMER_SLOTS 1024
#define SCH_TIMER_STEP_MS 16

/* A hash with an expiry time, for example of a cancelled task or an ended attempt. */
typedef struct SchTtlKey {
  uint64_t key;
  int64_t until_ms;
  struct SchTtlKey *prev, *next;
  UT_hash_handle hh;
} SchTtlKey;

typedef struct {
  SchTtlKey *table;
  SchTtlKey *oldest; /* in order of expiry */
} SchTtlSet;

/* Expected run times of waiting work are counted in octaves. */
#define SCH_RUN_OCTAVES 32

struct SchState {
  SchOptions options;
  int64_t now_ms;
  SchTargets targets;
  SchEntry *entries; /* by task id */
  size_t entry_count;
  SchEntry *spare; /* linked by same_id */
  SchTeam *teams;
  SchKind *kinds;
  SchKind *kind_order; /* least recently used first */
  SchQueue *queues;
  SchGang *gangs;
  SchGang *gang_order;
  SchService *services;
  SchJobStat *job_stats;
  SchJobStat *job_order; /* oldest first */
  GR_LIST (SchQueue *) active[SCH_CLASS_COUNT];
  int64_t queued;
  int64_t running;
  GrRes bulk_used; /* reserved by batch and long work */
  /* Slots that short work held or waited for, to size the share of long work. */
  int64_t short_slots;
  int64_t short_peak, short_peak_before;
  int64_t short_peak_ms; /* when the present window began */
  int64_t long_slots_pct;
  bool bulk_blocked; /* a queue waits for the share of batch and long work */
  bool bulk_freed;
  /* Waiting urgent and short work by pool (without and with slots) and octave of run time. */
  double backlog_ms[2][SCH_RUN_OCTAVES];
  SchEntry *timers[SCH_TIMER_SLOTS];
  int64_t timer_at; /* slots up to this one have been run */
  SchEntry *aged;   /* waiting tasks over the ageing time, oldest first */
  SchEntry *batch;  /* preemptible tasks on targets, latest start first */
  int32_t reserved; /* targets that keep room */
  int32_t cursor;   /* where the next look at some of the targets begins */
  size_t sweep;     /* where the next look at some of the queues begins */
  bool gangs_dirty; /* a gang may fit now */
  bool refill;      /* limits or shares changed: try the queues */
  int64_t next_tick_ms;
  SchTtlSet cancelled;           /* hashes of task ids */
  SchTtlSet ended;               /* attempts that ended or were refused */
  SchTtlSet orphaned;            /* attempts on targets that are gone; they may still run */
  SchTtlSet failed_gangs;        /* keys of gangs of which a part was refused */
  GR_LIST (int32_t) freed;       /* targets whose free capacity grew in this step */
  GR_LIST (int32_t) preempting;  /* targets where tasks were preempted; may hold duplicates */
  GR_LIST (int32_t) cooldown;    /* targets with SCH_TARGET_COOLDOWN */
  GR_LIST (int32_t) quarantined; /* targets with SCH_TARGET_QUARANTINED */
  GR_LIST (SchTeam *) retry_teams;
  int32_t last_target; /* of the latest end; used by a fault switch only */
  GrRes last_reserve;
};

/* sch_entry.c: task table, marks, timers */
SchEntry *sch_entry_find (const SchState *s, const GrName *id, int32_t attempt);
SchEntry *sch_entry_first (const SchState *s, const GrName *id); /* all attempts by same_id */
SchEntry *sch_entry_new (SchState *s, const SchTask *task);
void sch_entry_free (SchState *s, SchEntry *e); /* e is in no list other than the table */
uint64_t sch_attempt_hash (const GrName *id, int32_t attempt);
bool sch_ttl_set_contains (const SchTtlSet *set, uint64_t key);
void sch_ttl_set_add (SchTtlSet *set, uint64_t key, int64_t now_ms);
void sch_ttl_set_expire (SchTtlSet *set, int64_t now_ms);
void sch_ttl_set_clear (SchTtlSet *set);
void sch_timer_set (SchState *s, SchEntry *e, int64_t at_ms);
void sch_timer_clear (SchState *s, SchEntry *e);
/* Next entry whose timer is due, with its timer cleared; NULL when there is none. */
SchEntry *sch_timer_next (SchState *s);

/* sch_target.c: targets and reservations */
void sch_targets_init (SchTargets *t);
void sch_targets_clear (SchTargets *t);
int32_t sch_target_find (const SchTargets *t, const GrName *name);
int32_t sch_target_add (SchTargets *t, const GrName *name);
void sch_target_remove (SchState *s, int32_t i);
bool sch_target_usable (const SchTargets *t, int32_t i);
void sch_target_set (SchState *s, int32_t i, const GrRes *total, uint8_t flags);
void sch_target_flag (SchState *s, int32_t i, uint8_t set, uint8_t clear);
void sch_target_take (SchState *s, int32_t i, SchEntry *e);
void sch_target_give_back (SchState *s, SchEntry *e);
/* Adds to what a task on a target holds. */
void sch_target_grow (SchState *s, SchEntry *e, const GrRes *more);
/* Adapts the share of long work to the peak of short work. */
void sch_target_long_share (SchState *s);
/* Counts a task on a target as long from now on. */
void sch_target_now_long (SchState *s, SchEntry *e);
/* Whether e may start on target i now, apart from quota and shares. */
bool sch_target_allows (const SchState *s, int32_t i, const SchEntry *e);
/* False if no target that stays has the capacity; *dim names the dimension that is short. */
bool sch_targets_could_fit (const SchTargets *t, const GrRes *need, GrResDim *dim);

/* sch_index.c: targets by free capacity */
void sch_index_init (SchTargets *t);
void sch_index_update (SchTargets *t, int32_t i, bool usable);
/* Target with the least room left over among those that allow e; -1 if none was found. */
int32_t sch_index_best_fit (const SchState *s, const SchEntry *e);

/* sch_spread.c: services over zones and groups */
int32_t sch_spread_pick (SchState *s, const SchEntry *e);
void sch_spread_add (SchState *s, SchEntry *e);
void sch_spread_remove (SchState *s, SchEntry *e);
void sch_spread_clear (SchState *s);

/* sch_queue.c: waiting tasks */
void sch_queue_push (SchState *s, SchEntry *e);
void sch_queue_remove (SchState *s, SchEntry *e);
void sch_queues_clear (SchState *s);
/* Expected wait of urgent and short work with this run time, from the work ahead of it. */
int64_t sch_queue_wait_ms (const SchState *s, bool slots, int64_t run_ms);

/* sch_team.c: quotas and fair shares */
SchTeam *sch_team_get (SchState *s, const GrName *name);
void sch_teams_limit (SchState *s, const SchTeamLimit *limits, size_t count);
bool sch_team_allows (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim);
/* False if the quota part alone is too small. */
bool sch_team_could_allow (const SchState *s, const SchTeam *team, const GrRes *need,
                           GrResDim *dim);
/* Counts a change of use; bulk tells that batch or long work holds it. */
void sch_team_use (SchState *s, SchTeam *team, const GrRes *change, int sign, bool bulk);
void sch_team_now_bulk (SchState *s, SchTeam *team, const GrRes *change);
void sch_teams_update_shares (SchState *s);

/* sch_kind.c: estimates */
SchKind *sch_kind_get (SchState *s, const SchTask *task);
void sch_kind_release (SchKind *kind);
void sch_kind_ran (SchKind *kind, int64_t run_ms);
void sch_kind_used (SchKind *kind, const GrRes *used);
/* Sets class, expected run time and the shares it counts against. */
void sch_classify (const SchState *s, SchEntry *e);

/* sch_place.c: starting, refusing and ending */
SchCmd *sch_emit (SchCmds *out, SchCmdKind kind, const SchEntry *e, SchWhy why);
void sch_refuse (SchState *s, SchEntry *e, SchWhy why, GrResDim dim, SchCmds *out);
void sch_end (SchState *s, SchEntry *e, SchEnd end, SchCmds *out);
void sch_stop (SchState *s, SchEntry *e, SchWhy why, SchCmds *out);
/* Forgets the task without a word. */
void sch_forget (SchState *s, SchEntry *e);
/* Checks that do not depend on the target. */
bool sch_may_start (SchState *s, const SchEntry *e, SchWhy *why, GrResDim *dim);
int32_t sch_pick (SchState *s, const SchEntry *e, SchWhy *why);
void sch_place_on (SchState *s, SchEntry *e, int32_t target, SchWhy why, SchCmds *out);
void sch_start (SchState *s, SchEntry *e, SchWhy why, SchCmds *out);
bool sch_try_place (SchState *s, SchEntry *e, SchCmds *out);

/* sch_fill.c: order in which waiting work is served */
void sch_fill (SchState *s, SchCmds *out);

/* sch_gang.c */
void sch_gang_join (SchState *s, SchEntry *e);
void sch_gang_leave (SchState *s, SchEntry *e);
/* Refuses all parts that wait or hold. */
void sch_gang_fail (SchState *s, SchGang *gang, SchWhy why, SchCmds *out);
void sch_gang_settle (SchState *s, const GrName *job, int32_t attempt, bool commit, SchCmds *out);
void sch_gangs_place (SchState *s, SchCmds *out);
/* Holds on a target that takes no new work cannot be committed. */
void sch_gangs_fail_on (SchState *s, int32_t i, SchCmds *out);

/* sch_reserve.c: ageing, reservations and backfill */
void sch_age (SchState *s, SchEntry *e);
bool sch_reserve (SchState *s, SchEntry *e);
void sch_unreserve (SchState *s, SchEntry *e);
void sch_unreserve_target (SchState *s, int32_t i);
void sch_reserve_aged (SchState *s);
bool sch_backfill_allows (const SchState *s, int32_t i, const SchEntry *e);

/* sch_preempt.c */
/* Claims capacity for a waiting task and stops preemptible batch work for it. Returns false if no
   capacity was claimed. Retried for one task at most every 2 s. */
bool sch_preempt_for (SchState *s, SchEntry *e, SchCmds *out);
/* Drops the claim of e, if any. */
void sch_unclaim (SchState *s, SchEntry *e);

/* sch_health.c */
/* Counts the outcome of e for its target, job and kind; quarantines or readmits the target. */
void sch_health_ended (SchState *s, SchEntry *e, SchEnd end, SchCmds *out);
/* Target of the job's latest failure; -1: none. */
int32_t sch_health_last_failed_target (const SchState *s, const GrName *job);
/* Removes target i from all lists of sch_health.c and sch_preempt.c. */
void sch_health_remove_target (SchState *s, int32_t i);
/* Starts a cooldown after target i refused a start. */
void sch_health_refused_start (SchState *s, int32_t i);
/* Ends the cooldowns that are over. */
void sch_health_tick (SchState *s);
/* Quarantined target on which e may be the next probe; -1: none. */
int32_t sch_health_probe (const SchState *s, const SchEntry *e);
void sch_health_clear (SchState *s);

/* sch_submit.c and sch_inventory.c: messages */
void sch_on_submit (SchState *s, const SchTask *task, SchCmds *out);
SchEntry *sch_add_entry (SchState *s, const SchTask *task);
void sch_on_cancel (SchState *s, const GrName *id, SchCmds *out);
void sch_on_start_result (SchState *s, const GrName *id, int32_t attempt, SchStartResult result,
                          SchCmds *out);
void sch_on_ended (SchState *s, const GrName *id, int32_t attempt, SchEnd end, int64_t run_ms,
                   SchCmds *out);
void sch_on_usage (SchState *s, const GrName *id, int32_t attempt, const GrRes *used, SchCmds *out);
void sch_on_timer (SchState *s, SchEntry *e, SchCmds *out);
/* Sets the next time at which a waiting task needs a look. */
void sch_wait_timer (SchState *s, SchEntry *e);
void sch_on_target_up (SchState *s, const SchMsg *msg, SchCmds *out);
void sch_on_target_state (SchState *s, const SchMsg *msg, SchCmds *out);
void sch_on_target_gone (SchState *s, const GrName *name, SchCmds *out);
