/* Follows a topic of the platform's log: the newest record of each key first, then every change. */
#pragma once

#include <uv.h>

#include "cell/cell_port.h"

typedef struct CellFollow CellFollow;

typedef struct {
  CellTopic topic;
  int64_t wait_ms;  /* how long a read may wait at the store for a record */
  int64_t pause_ms; /* between two reads, so that records are read several at a time */
  void (*on_entry) (void *user, const CellEntry *entry, int64_t offset);
  /* A key is missing from a new listing of the newest records. May be NULL. */
  void (*on_missing) (void *user, GrStr key);
  /* Everything up to end was told. */
  void (*on_read) (void *user, int64_t end);
  /* Outcome of each call. */
  void (*on_result) (void *user, bool ok);
  /* A call that does not wait at the store took so long. May be NULL. */
  void (*on_latency) (void *user, int64_t took_ms);
  void *user;
} CellFollowOptions;

CellFollow *cell_follow_new (uv_loop_t *loop, const CellPlatform *platform,
                             const CellFollowOptions *options);
void cell_follow_free (CellFollow *follow);
