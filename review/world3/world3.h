/* World of the cases of the third review: the store, the paths, the clients and the checker of
   soak/, with the disruptions of one case instead of drawn faults. */
#pragma once

#include "soak.h"

/* What a case does. Each function may be NULL. */
typedef struct {
  const char *name;
  /* Called once everything is started, and at each tick; now_ms counts from the start of the run.
     trouble is false if the disruption is left out. */
  void (*begin) (Soak *soak, bool trouble);
  void (*tick) (Soak *soak, int64_t now_ms, bool trouble);
  /* Of the path from the edge to the end. */
  SoakPathMode (*path) (const Soak *soak, int edge, SoakEnd end);
  /* Whether the reports of the target in this slot do not reach the store. */
  bool (*report_lost) (const Soak *soak, int slot);
  /* The target in the slot has started a run, kind 'S', or ended one, 'E'; how is empty for a
   * start.
   */
  void (*event) (Soak *soak, int slot, char kind, const char *task, int64_t at, const char *how);
  /* Judges what the checker of soak/ does not; returns the number of violations. */
  int (*judge) (Soak *soak);
  bool own; /* the checker of soak/ is not asked */
} Scenario;

extern const Scenario scenario_other_writer;
extern const Scenario scenario_dark_crash;
extern const Scenario scenario_reset_cut;
extern const Scenario scenario_loss_after_start;
extern const Scenario scenario_loss_after_handover;

/* Process id of the edge; 0: none. */
int world_edge_pid (int edge);
/* Edges whose process has ended by itself. */
int world_edges_ended (void);

/* Hands in a job at the first edge until it is accepted, and asks for its state. */
typedef struct {
  const char *id, *body;
  bool accepted;
  char state[16];
  int64_t next_at;
} OwnJob;

void own_job_tick (Soak *soak, OwnJob *job);
