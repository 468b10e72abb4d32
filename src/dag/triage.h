/* Triage under overload: which jobs can still meet their deadlines together.

   For overload of some seconds: more work arrives than the cell can end in time, or all callers
   return at once after an outage. If jobs were ordered by least slack alone, nearly all of them
   would then end a little late.

   The plan follows the algorithm of Moore and Hodgson: jobs are added by their deadline, earliest
   first, and where the work so far does not fit before a deadline, the job with the least worth for
   its remaining work is left out. What was left out is then tried again, most worth for its work
   first, since a large job may have made more room than was needed. Among accounts the worth for
   work falls with the work that an account has before the job, divided by its weight, so that the
   account with the most work for its weight loses jobs first. Jobs that are left out are planned in
   the same way for their hard deadlines, with the capacity that the others leave.

   Work is counted in one dimension, the one in which the cell has the most work for its capacity.
   It is treated as divisible. The functions are pure and need O(n log n) time. */
#pragma once

#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* From the best to the worst. */
typedef enum {
  TRIAGE_OBJECTIVE, /* meets its objective */
  TRIAGE_HARD,      /* left out; still meets its hard deadline */
  TRIAGE_NONE       /* left out; meets neither */
} TriageVerdict;

/* Amounts in the units of GrRes; times ms. */
typedef struct {
  double v[GR_RES_COUNT];
} TriageAmount;

typedef struct {
  TriageAmount work; /* demand times expected run time of the tasks that wait or will; runs that
                        were placed are not in it, so the more of a job is placed, the more worth
                        the rest has for its work */
  int64_t due_at;    /* the work has to be done by then to meet the objective */
  int64_t hard_due_at;
  double worth;
  TriageVerdict best;    /* the best that its critical path allows, however much room there is */
  int32_t priority;      /* 0 is the highest; jobs of higher priority are served first */
  bool beyond_share;     /* such jobs are served after all others */
  uint64_t account;      /* jobs of one account have the same number; 0: no account */
  double weight;         /* of the account */
  bool left_out;         /* in the previous plan: it is kept only if there is room to spare */
  TriageVerdict verdict; /* result */
} TriageJob;

/* A run that is under way. */
typedef struct {
  TriageAmount demand;
  int64_t ends_at; /* expected */
} TriageRun;

typedef struct {
  int64_t now_ms;
  TriageAmount capacity; /* without what long-running tasks take */
  const TriageRun *runs;
  size_t run_count;
} TriageCell;

typedef struct {
  GrResDim dim;    /* in which work was counted */
  double capacity; /* in that dimension */
  double running;  /* remaining work of the runs */
  double waiting;  /* sum of TriageJob.work */
  size_t left_out; /* jobs with a verdict other than TRIAGE_OBJECTIVE that could have met their
                      objective alone */
} TriageResult;

/* Sets the verdict of each job. */
TriageResult triage_plan (const TriageCell *cell, TriageJob *jobs, size_t count);

/* Earliest end of a job that comes after the work ahead, as a local time: it neither ends before
   its critical path allows nor before the cell has done that work and its own. */
int64_t triage_earliest_end (int64_t now_ms, double capacity, double ahead, double work,
                             int64_t critical_path_ms);

#ifdef __cplusplus
}
#endif
