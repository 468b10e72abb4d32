/* Internal state of the scheduler, shared by the files of src/sch. */
#pragma once

#include <stdlib.h>

#include <utlist.h>

#include "base/gr_hash_priv.h"
#include "sch/sch.h"

typedef struct SchEntry SchEntry;
typedef struct SchQueue SchQueue;

/* Classes of work, in the order in which they are served. */
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
  SCH_PHASE_HELD, /* part of a gang with capacity reserved, not committed yet */
  SCH_PHASE_STARTING,
  SCH_PHASE_RUNNING
} SchPhase;

/* A team; quota part and use are those on this VM. Bulk work is batch work and long requests,
   unless they are urgent. */
typedef struct {
  GrName name;
  int32_t weight;
  GrRes quota;
  GrRes used;
  GrRes used_not_bulk;   /* part of used that is not held by bulk work */
  double share;          /* dominant share of the usable targets, divided by the weight */
  double share_not_bulk; /* as share, of used_not_bulk */
  bool quota_blocked;    /* a queue of the team waits for its quota part */
  bool in_retry_teams;   /* is an element of SchState.retry_teams */
  UT_hash_handle hh;
} SchTeam;

/* Run times are counted in four buckets per power of two, from 1 ms to 2^24 ms. */
#define SCH_RUN_BUCKETS 96

/* Statistics of the tasks of one team and kind, found by the hash of both names. */
typedef struct SchKind {
  uint64_t key;
  uint16_t runs[SCH_RUN_BUCKETS];
  int32_t run_count;
  int32_t usage_reports;
  int32_t refs;                   /* entries that point to it */
  int64_t run_p50_ms, run_p90_ms; /* quantiles of runs */
  GrRes peak_used;                /* largest reported use; decays slowly */
  double fail_rate;               /* moving average */
  int32_t outcomes;               /* counted up to KIND_OUTCOMES_MIN only */
  struct SchKind *prev, *next;    /* least recently used first */
  UT_hash_handle hh;
} SchKind;

/* Parts of one gang that wait or hold capacity; parts that started are ordinary running tasks. */
typedef struct SchGang {
  uint64_t key; /* hash of job and attempt */
  GrName job;
  int32_t attempt;
  int32_t tasks;    /* size of the whole gang */
  int32_t waiting;  /* parts in SCH_PHASE_QUEUED */
  int32_t held;     /* parts in SCH_PHASE_HELD */
  int64_t retry_ms; /* earliest next attempt to place all parts */
  SchEntry *parts;
  struct SchGang *prev, *next; /* in order of arrival */
  UT_hash_handle hh;
} SchGang;

/* Replicas in one failure domain: the hash of a zone or of a group. */
typedef struct {
  uint32_t domain;
  int32_t count;
} SchDomainCount;

/* Number of replicas of a service in each zone and in each group. */
typedef struct {
  GrName job;
  GR_LIST (SchDomainCount) zones;
  GR_LIST (SchDomainCount) groups;
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

/* One attempt of a task, from its submit or inventory to its outcome. */
struct SchEntry {
  SchTask task;
  GrRes reserve; /* resources that it holds or will hold on its target */
  SchPhase phase;
  SchClass class;
  int32_t target;          /* -1 while queued */
  int32_t reserved_target; /* target reserved for it while it waits; -1: none */
  int32_t claimed_target;  /* batch work there is being stopped for it; -1: none */
  int32_t avoid_target;    /* of a retry: target of its job's latest failure; -1: none */
  bool stopping;
  bool in_batch_list;
  SchWhy stop_why;
  bool is_long; /* counts against the share of slots for long work */
  bool bulk;    /* counts against the common share of batch and long work */
  bool probe;
  bool aged;
  SchTeam *team;
  SchKind *kind;
  SchGang *gang;
  SchService *service;
  SchQueue *queue;
  int64_t submit_ms;
  int64_t start_ms;
  int64_t latest_start_ms;  /* a later start misses the deadline */
  int64_t run_ms;           /* expected run time, median; 0 if not known */
  int64_t run_p90_ms;       /* 9 of 10 runs are shorter; 0 if not known */
  int64_t preempt_retry_ms; /* earliest next preemption for it */
  double work_ms;           /* dominant share of the cell times expected run time */
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
  int32_t size_bits; /* bit lengths of the size and, for urgent and short work, of the run time */
  int32_t zero;
} SchQueueKey;

/* Waiting tasks of one class, team, priority and similar size, in FIFO order. */
struct SchQueue {
  SchQueueKey key;
  int32_t count;
  int32_t active_at; /* position in active[class]; -1: not active */
  SchWhy why;        /* why the task of it that was tried last still waits */
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
  int64_t backoff_ms; /* time from the latest failure in quarantine to the next probe */
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

/* Targets as a structure of arrays, indexed by number. A target keeps its number until it is
   removed; then the number is reused. */
typedef struct {
  int32_t count;        /* numbers in use or in free_numbers */
  int32_t capacity;     /* allocated length of the arrays */
  SchTargetName **name; /* NULL: number not in use */
  uint32_t *group;      /* hashes */
  uint32_t *zone;
  GrRes *total;
  GrRes *reserved;
  GrRes *free; /* total less reserved; may be negative after SCH_MSG_TARGET_UP */
  uint8_t *flags;
  int32_t *long_slots;     /* reserved by long work */
  SchEntry **tasks;        /* first task on the target */
  SchEntry **reserved_for; /* waiting task for which it is reserved; NULL: none */
  int64_t *reserve_fit_ms; /* when the reserved capacity is expected to be free */
  int32_t *backfills;      /* tasks started here while it is reserved for another */
  GrRes *releasing;        /* held by tasks that are being stopped */
  GrRes *claimed;          /* demand of the waiting tasks with this claimed_target */
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
  int32_t usable;     /* number of usable targets */
  GR_LIST (SchShape) shapes;
} SchTargets;

/* Timer wheel: number of slots, and the time that one slot covers. */
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

/* Waiting work is summed by the power of two (octave) of its expected run time. */
#define SCH_RUN_OCTAVES 32

struct SchState {
  SchOptions options;
  int64_t now_ms;
  SchTargets targets;
  SchEntry *entries; /* by task id */
  size_t entry_count;
  SchEntry *free_entries; /* for reuse, linked by same_id */
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
  int64_t queued;  /* waiting tasks */
  int64_t running; /* tasks that start or run */
  GrRes bulk_used; /* reserved by batch and long work */
  /* Slots that work other than long holds or waits for; bounds the share of long work. */
  int64_t short_slots;
  int64_t short_peak, short_peak_before; /* peaks of the current and the previous window */
  int64_t short_peak_ms;                 /* start of the current window */
  int64_t long_slots_pct;                /* current share, at most that of the options */
  bool bulk_blocked;                     /* a queue waits for the share of batch and long work */
  bool bulk_freed;                       /* some of that share became free in this step */
  /* Sum of work_ms of waiting urgent and short work, without and with slots, by octave of run
     time. */
  double backlog_ms[2][SCH_RUN_OCTAVES];
  SchEntry *timers[SCH_TIMER_SLOTS];
  int64_t timer_at;      /* latest wheel step whose timers have run */
  SchEntry *aged;        /* tasks that waited for the aging time, oldest first */
  SchEntry *batch;       /* preemptible tasks on targets, latest start first */
  int32_t reserved;      /* number of reserved targets */
  int32_t target_cursor; /* position of the latest partial scan of the targets */
  size_t queue_cursor;   /* start of the next sweep over the queues */
  bool gangs_dirty;      /* a gang may fit now: try to place gangs */
  bool refill;           /* limits changed or a period passed: sweep the queues */
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
  /* Of the latest end; used only by the test switch no_duplicate_end_check. */
  int32_t last_target;
  GrRes last_reserve;
};

/* sch_entry.c: task table, expiring sets, timers */
SchEntry *sch_entry_find (const SchState *s, const GrName *id, int32_t attempt);
/* First of the known attempts of a task; the others follow by same_id. NULL if none is known. */
SchEntry *sch_entry_first (const SchState *s, const GrName *id);
/* Adds an entry to the table; task is copied, and no attempt with its id and number exists. */
SchEntry *sch_entry_new (SchState *s, const SchTask *task);
/* Removes e, which is in no list other than the table. */
void sch_entry_free (SchState *s, SchEntry *e);
uint64_t sch_attempt_hash (const GrName *id, int32_t attempt);
bool sch_ttl_set_contains (const SchTtlSet *set, uint64_t key);
/* Adds key, or renews its expiry. */
void sch_ttl_set_add (SchTtlSet *set, uint64_t key, int64_t now_ms);
void sch_ttl_set_expire (SchTtlSet *set, int64_t now_ms);
void sch_ttl_set_clear (SchTtlSet *set);
/* Sets the only timer of e, replacing one that is set. */
void sch_timer_set (SchState *s, SchEntry *e, int64_t at_ms);
void sch_timer_clear (SchState *s, SchEntry *e);
/* Clears the timer of one entry whose timer is due and returns that entry; NULL if none is due. */
SchEntry *sch_timer_next (SchState *s);

/* sch_target.c: targets and reservations */
void sch_targets_init (SchTargets *t);
void sch_targets_clear (SchTargets *t);
/* Number of the target; -1 if it is not known. */
int32_t sch_target_find (const SchTargets *t, const GrName *name);
/* Adds a target without capacity and flags, and returns its number. */
int32_t sch_target_add (SchTargets *t, const GrName *name);
/* Removes target i, which holds no tasks. */
void sch_target_remove (SchState *s, int32_t i);
/* Whether target i may get any new work: it is up and has no other flag. */
bool sch_target_usable (const SchTargets *t, int32_t i);
/* Replaces the capacity and the flags of target i. */
void sch_target_set (SchState *s, int32_t i, const GrRes *total, uint8_t flags);
/* Sets some flags and clears others. */
void sch_target_flag (SchState *s, int32_t i, uint8_t set, uint8_t clear);
/* Assigns e to target i and reserves e->reserve on it. */
void sch_target_assign (SchState *s, int32_t i, SchEntry *e);
/* Releases what e holds on its target. */
void sch_target_release (SchState *s, SchEntry *e);
/* Increases the resources that a task on a target holds. */
void sch_target_grow (SchState *s, SchEntry *e, const GrRes *more);
/* Adjusts the share of slots for long work to the peak use by short work. */
void sch_target_update_long_share (SchState *s);
/* Reclassifies a task on a target as long. */
void sch_target_mark_long (SchState *s, SchEntry *e);
/* Whether e may start on target i now; does not check the quota part or the bulk share. */
bool sch_target_allows (const SchState *s, int32_t i, const SchEntry *e);
/* Whether the total capacity of some target that is not leaving holds need. If not, sets *dim to
   the dimension that is short on the target with the fewest short dimensions. */
bool sch_targets_could_fit (const SchTargets *t, const GrRes *need, GrResDim *dim);

/* sch_index.c: targets by free capacity */
void sch_index_init (SchTargets *t);
/* Moves target i to the bucket of its free capacity, or out of the index if it is not usable. */
void sch_index_update (SchTargets *t, int32_t i, bool usable);
/* Best fit: the target with the least free capacity left, among the examined ones that allow e; -1
   if none was found. */
int32_t sch_index_best_fit (const SchState *s, const SchEntry *e);

/* sch_spread.c: services over zones and groups */
/* Target in the zone, and then the group, with the fewest replicas of the service, among the
   examined ones that allow e; -1 if none was found. */
int32_t sch_spread_pick (SchState *s, const SchEntry *e);
/* Counts e, if it is a replica, in the zone and group of its target. */
void sch_spread_add (SchState *s, SchEntry *e);
void sch_spread_remove (SchState *s, SchEntry *e);
void sch_spread_clear (SchState *s);

/* sch_queue.c: waiting tasks */
void sch_queue_push (SchState *s, SchEntry *e);
void sch_queue_remove (SchState *s, SchEntry *e);
void sch_queues_clear (SchState *s);
/* Expected wait of urgent or short work with this run time: the sum of work_ms of the waiting work
   of about the same or a shorter run time. slots selects the work with or without slots. */
int64_t sch_queue_wait_ms (const SchState *s, bool slots, int64_t run_ms);

/* sch_team.c: quotas and fair shares */
/* Finds or adds a team. */
SchTeam *sch_team_get (SchState *s, const GrName *name);
/* Replaces the weights and quota parts of all teams; teams not listed get weight 1 and no quota. */
void sch_teams_limit (SchState *s, const SchTeamLimit *limits, size_t count);
/* Whether the quota part has need left; if not, sets *dim to the limiting dimension. */
bool sch_team_allows (const SchState *s, const SchTeam *team, const GrRes *need, GrResDim *dim);
/* As sch_team_allows, for a team that uses nothing: false if need can never start. */
bool sch_team_could_allow (const SchState *s, const SchTeam *team, const GrRes *need,
                           GrResDim *dim);
/* Adds (sign 1) or removes (sign -1) use by a task; bulk: it is batch or long work. */
void sch_team_use (SchState *s, SchTeam *team, const GrRes *change, int sign, bool bulk);
/* Moves use from other work to bulk work. */
void sch_team_mark_bulk (SchState *s, SchTeam *team, const GrRes *change);
void sch_teams_update_shares (SchState *s);

/* sch_kind.c: estimates */
/* Finds or adds the kind of a task and adds a reference; sch_kind_release drops it. */
SchKind *sch_kind_get (SchState *s, const SchTask *task);
void sch_kind_release (SchKind *kind);
/* Adds the run time of a task that succeeded, or a lower bound of that of a running task. */
void sch_kind_add_run (SchKind *kind, int64_t run_ms);
void sch_kind_add_usage (SchKind *kind, const GrRes *used);
/* Sets class, expected run time, is_long, bulk and work_ms of e. */
void sch_classify (const SchState *s, SchEntry *e);

/* sch_place.c: starts, refusals, stops and ends */
/* Appends a command about e; the result is valid until the next command is appended. */
SchCmd *sch_emit (SchCmds *out, SchCmdKind kind, const SchEntry *e, SchWhy why);
/* Refuses e and removes it; the remaining parts of its gang are refused too. */
void sch_refuse (SchState *s, SchEntry *e, SchWhy why, GrResDim dim, SchCmds *out);
/* Reports the end of e and removes it. If e is a part of a gang that is not committed, the other
   parts are refused. */
void sch_end (SchState *s, SchEntry *e, SchEnd end, SchCmds *out);
/* Emits SCH_CMD_STOP for a task on a target; a repeated stop keeps the first reason. */
void sch_stop (SchState *s, SchEntry *e, SchWhy why, SchCmds *out);
/* Removes e from all lists and from the table without emitting a command. */
void sch_drop (SchState *s, SchEntry *e);
/* Whether e may start, as far as that does not depend on the target; if not, sets *why, and *dim
   for SCH_WHY_QUOTA. */
bool sch_may_start (SchState *s, const SchEntry *e, SchWhy *why, GrResDim *dim);
/* Target for e, with the reason in *why; -1 if none allows it. */
int32_t sch_pick_target (SchState *s, const SchEntry *e, SchWhy *why);
/* Moves a waiting task to a target: starts it, or holds the capacity if it is part of a gang. */
void sch_place_on (SchState *s, SchEntry *e, int32_t target, SchWhy why, SchCmds *out);
/* Starts e on the target that it is assigned to. */
void sch_start (SchState *s, SchEntry *e, SchWhy why, SchCmds *out);
/* Places e and returns true if it may start and a target allows it. Otherwise stores why its queue
   waits and returns false; if only the target is missing, may preempt batch work. */
bool sch_try_place (SchState *s, SchEntry *e, SchCmds *out);

/* sch_fill.c: order in which waiting work is served */
/* Places waiting tasks after the changes of this step. */
void sch_fill (SchState *s, SchCmds *out);

/* sch_gang.c */
void sch_gang_join (SchState *s, SchEntry *e);
/* Removes e from its gang, if any; removes the gang with its last part. */
void sch_gang_leave (SchState *s, SchEntry *e);
/* Refuses all parts that wait or hold. */
void sch_gang_fail (SchState *s, SchGang *gang, SchWhy why, SchCmds *out);
/* Commits or releases the gangs of a job; attempt 0: of any attempt. */
void sch_gang_resolve (SchState *s, const GrName *job, int32_t attempt, bool commit, SchCmds *out);
/* Places waiting parts, oldest gang first. */
void sch_gangs_place (SchState *s, SchCmds *out);
/* Fails the gangs with a hold on target i, which takes no new work: they cannot be committed. */
void sch_gangs_fail_on (SchState *s, int32_t i, SchCmds *out);

/* sch_reserve.c: aging, reservations of targets, backfill */
/* Marks a waiting task as aged: it is served first in its class and may reserve a target. */
void sch_mark_aged (SchState *s, SchEntry *e);
/* Reserves for e the target that is expected to fit it first; false if none can be reserved. */
bool sch_reserve (SchState *s, SchEntry *e);
void sch_unreserve (SchState *s, SchEntry *e);
void sch_unreserve_target (SchState *s, int32_t i);
/* Reserves targets for the oldest aged tasks. */
void sch_reserve_aged (SchState *s);
/* Whether e may start on target i, which is reserved for another task. */
bool sch_backfill_allows (const SchState *s, int32_t i, const SchEntry *e);

/* sch_preempt.c */
/* Claims capacity that is being released, or preempts batch work, for a waiting task. Returns false
   if nothing was claimed. After a claim, does nothing for the same task for 2 s. */
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
/* Adds an entry with team, kind, reservation, class and latest start set. */
SchEntry *sch_add_entry (SchState *s, const SchTask *task);
void sch_on_cancel (SchState *s, const GrName *id, SchCmds *out);
void sch_on_start_result (SchState *s, const GrName *id, int32_t attempt, SchStartResult result,
                          SchCmds *out);
void sch_on_ended (SchState *s, const GrName *id, int32_t attempt, SchEnd end, int64_t run_ms,
                   SchCmds *out);
void sch_on_usage (SchState *s, const GrName *id, int32_t attempt, const GrRes *used, SchCmds *out);
void sch_on_timer (SchState *s, SchEntry *e, SchCmds *out);
/* Sets the timer of a waiting task to its latest start, hold deadline or aging time, whichever
   comes first. */
void sch_set_wait_timer (SchState *s, SchEntry *e);
void sch_on_target_up (SchState *s, const SchMsg *msg, SchCmds *out);
void sch_on_target_state (SchState *s, const SchMsg *msg, SchCmds *out);
void sch_on_target_gone (SchState *s, const GrName *name, SchCmds *out);
