/* Subscription to a topic of the platform's log: delivers the newest record of each key first, then
   every record that is appended. */
#pragma once

#include <uv.h>

#include "cell/cell_port.h"

typedef struct CellFollow CellFollow;

typedef struct {
  CellTopic topic;
  int64_t wait_ms;  /* longest time that a read waits at the store for a record */
  int64_t pause_ms; /* between two reads, so that records are read several at a time */
  /* Called for each record. offset is -1 for records of a listing. */
  void (*on_entry) (void *user, const CellEntry *entry, int64_t offset);
  /* Called for each key that is missing from a new listing but was in the previous one or in a
     record since then. May be NULL. */
  void (*on_missing) (void *user, GrStr key);
  /* Called after each complete listing and each read: all records before end were delivered. */
  void (*on_read) (void *user, int64_t end);
  /* Called with the outcome of each call to the store. */
  void (*on_result) (void *user, bool ok);
  /* Called with the round-trip time of each successful call that does not wait at the store. May be
     NULL. */
  void (*on_latency) (void *user, int64_t rtt_ms);
  /* Clock of cell_follow_written_after(), which also counts while the VM is suspended. May be NULL.
   */
  int64_t (*clock) (void);
  void *user;
} CellFollowOptions;

/* Copies the options. The platform must outlive the subscription. */
CellFollow *cell_follow_new (uv_loop_t *loop, const CellPlatform *platform,
                             const CellFollowOptions *options);
/* A lower bound of the time at which the record was written, by options.clock; 0: not known. For
   use by on_entry, with the offset that it was given. */
int64_t cell_follow_written_after (const CellFollow *follow, int64_t offset);
/* No callback runs after this. The memory is released when the open call has ended. */
void cell_follow_free (CellFollow *follow);
