#include "cell/cell_follow.h"

#include <stdlib.h>

/* Timeout of a call, in addition to the time that it may wait at the store. */
#define CALL_MARGIN_MS 900
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 400

struct CellFollow {
  uv_loop_t *loop;
  const CellPlatform *platform;
  CellFollowOptions options;
  uv_timer_t timer;
  bool in_flight; /* a call to the store is open */
  bool listed;    /* the listing of the newest records is complete */
  bool freeing;
  bool timer_closed;
  int64_t sent_at;       /* time of the open call */
  int64_t next_offset;   /* of the next record to read */
  int64_t listing_end;   /* end of the topic at the listing's first page */
  int64_t sent_clock_ms; /* time of the open call, by options.clock */
  /* The topic ended at known_end when a call that was sent at known_end_ms, by options.clock, was
     answered; 0: no such call yet. */
  int64_t known_end, known_end_ms;
  bool listing_started;
  GrBuf last_key;   /* last key of the previous page of the listing */
  int64_t retry_ms; /* current backoff; 0: the last call succeeded */
  /* Keys of the current listing, and those delivered before it. Kept only with on_missing. */
  GR_LIST (char *) listed_keys;
  GR_LIST (char *) known_keys;
};

static void send_next (CellFollow *follow);

static void
clear_keys (CellFollow *follow, bool known)
{
  if (known) {
    for (size_t i = 0; i < follow->known_keys.count; i++)
      free (follow->known_keys.items[i]);
    gr_list_clear (&follow->known_keys);
    return;
  }
  for (size_t i = 0; i < follow->listed_keys.count; i++)
    free (follow->listed_keys.items[i]);
  gr_list_clear (&follow->listed_keys);
}

static void
free_if_closed (CellFollow *follow)
{
  if (!follow->freeing || !follow->timer_closed || follow->in_flight)
    return;
  clear_keys (follow, true);
  clear_keys (follow, false);
  gr_buf_clear (&follow->last_key);
  free (follow);
}

static void
on_timer (uv_timer_t *timer)
{
  send_next (timer->data);
}

static void
note_end (CellFollow *follow, int64_t end)
{
  follow->known_end = end;
  follow->known_end_ms = follow->sent_clock_ms;
}

int64_t
cell_follow_written_after (const CellFollow *follow, int64_t offset)
{
  return offset >= 0 && offset >= follow->known_end ? follow->known_end_ms : 0;
}

static void
call_failed (CellFollow *follow)
{
  follow->retry_ms = follow->retry_ms == 0 ? RETRY_MIN_MS : follow->retry_ms * 2;
  if (follow->retry_ms > RETRY_MAX_MS)
    follow->retry_ms = RETRY_MAX_MS;
  follow->options.on_result (follow->options.user, false);
  uv_timer_start (&follow->timer, on_timer, (uint64_t) follow->retry_ms, 0);
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* Reports the known keys that the listing lacks, and replaces them by the listed ones. */
static void
finish_listing (CellFollow *follow)
{
  if (follow->options.on_missing) {
    if (follow->listed_keys.count > 0)
      qsort (follow->listed_keys.items, follow->listed_keys.count, sizeof (char *), compare_keys);
    for (size_t i = 0; i < follow->known_keys.count; i++) {
      char **key = &follow->known_keys.items[i];
      if (follow->listed_keys.count == 0
          || !bsearch (key, follow->listed_keys.items, follow->listed_keys.count, sizeof (char *),
                       compare_keys))
        follow->options.on_missing (follow->options.user, gr_str_from_c (*key));
    }
    clear_keys (follow, true);
    for (size_t i = 0; i < follow->listed_keys.count; i++)
      gr_list_push (&follow->known_keys, follow->listed_keys.items[i]);
    gr_list_reset (&follow->listed_keys);
  }
  follow->listed = true;
  follow->next_offset = follow->listing_end;
  gr_buf_clear (&follow->last_key);
  follow->options.on_read (follow->options.user, follow->next_offset);
}

static void
on_newest (void *user, CellStoreResult result, const CellEntry *entries, size_t count, bool more,
           int64_t end)
{
  CellFollow *follow = user;
  follow->in_flight = false;
  if (follow->freeing) {
    free_if_closed (follow);
    return;
  }
  if (result != CELL_STORE_OK) {
    call_failed (follow);
    return;
  }
  follow->retry_ms = 0;
  follow->options.on_result (follow->options.user, true);
  uv_update_time (follow->loop);
  if (follow->options.on_latency)
    follow->options.on_latency (follow->options.user,
                                (int64_t) uv_now (follow->loop) - follow->sent_at);
  if (!follow->listing_started) {
    /* The pages are not a snapshot: reads continue from the end of the topic at the first page. */
    follow->listing_started = true;
    follow->listing_end = end;
    note_end (follow, end);
  }
  for (size_t i = 0; i < count; i++) {
    follow->options.on_entry (follow->options.user, &entries[i], -1);
    if (follow->options.on_missing)
      gr_list_push (&follow->listed_keys, gr_str_dup (entries[i].key));
  }
  if (more && count > 0) {
    gr_buf_clear (&follow->last_key);
    gr_buf_append_str (&follow->last_key, entries[count - 1].key);
  } else {
    finish_listing (follow);
  }
  send_next (follow);
}

static void
add_known_key (CellFollow *follow, GrStr key)
{
  for (size_t i = 0; i < follow->known_keys.count; i++) {
    if (gr_str_equal (gr_str_from_c (follow->known_keys.items[i]), key))
      return;
  }
  gr_list_push (&follow->known_keys, gr_str_dup (key));
}

static void
on_read (void *user, CellStoreResult result, const CellEntry *entries, size_t count, int64_t offset,
         int64_t end)
{
  CellFollow *follow = user;
  follow->in_flight = false;
  if (follow->freeing) {
    free_if_closed (follow);
    return;
  }
  if (result == CELL_STORE_TRIMMED) {
    follow->options.on_result (follow->options.user, true);
    follow->listed = false;
    follow->listing_started = false;
    send_next (follow);
    return;
  }
  if (result != CELL_STORE_OK) {
    call_failed (follow);
    return;
  }
  follow->retry_ms = 0;
  follow->options.on_result (follow->options.user, true);
  for (size_t i = 0; i < count; i++) {
    follow->options.on_entry (follow->options.user, &entries[i], offset + (int64_t) i);
    if (follow->options.on_missing && entries[i].value.len > 0)
      add_known_key (follow, entries[i].key);
  }
  if (count > 0)
    follow->next_offset = offset + (int64_t) count;
  note_end (follow, end);
  follow->options.on_read (follow->options.user, follow->next_offset);
  if (follow->options.pause_ms > 0)
    uv_timer_start (&follow->timer, on_timer, (uint64_t) follow->options.pause_ms, 0);
  else
    send_next (follow);
}

static void
send_next (CellFollow *follow)
{
  if (follow->in_flight || follow->freeing)
    return;
  follow->in_flight = true;
  uv_timer_stop (&follow->timer);
  follow->sent_at = (int64_t) uv_now (follow->loop);
  if (follow->options.clock)
    follow->sent_clock_ms = follow->options.clock ();
  int64_t timeout_at
      = follow->sent_at + CALL_MARGIN_MS + (follow->listed ? follow->options.wait_ms : 0);
  const CellPlatform *platform = follow->platform;
  if (follow->listed)
    platform->read (platform->adapter, follow->options.topic, follow->next_offset,
                    follow->options.wait_ms, timeout_at, on_read, follow);
  else
    platform->newest (platform->adapter, follow->options.topic, gr_buf_str (&follow->last_key),
                      timeout_at, on_newest, follow);
}

CellFollow *
cell_follow_new (uv_loop_t *loop, const CellPlatform *platform, const CellFollowOptions *options)
{
  CellFollow *follow = gr_calloc (1, sizeof *follow);
  follow->loop = loop;
  follow->platform = platform;
  follow->options = *options;
  uv_timer_init (loop, &follow->timer);
  follow->timer.data = follow;
  send_next (follow);
  return follow;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  CellFollow *follow = handle->data;
  follow->timer_closed = true;
  free_if_closed (follow);
}

void
cell_follow_free (CellFollow *follow)
{
  if (!follow)
    return;
  follow->freeing = true;
  uv_close ((uv_handle_t *) &follow->timer, on_timer_closed);
}
