#include "cfg/cfg_store.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "cfg/cfg_publication.h"

/* Limits of the records that are buffered while the state before them is not known. */
#define PENDING_MAX 4096
#define PENDING_BYTES_MAX (64 * 1024 * 1024)

typedef struct {
  int64_t offset;
  char *data; /* owned */
  size_t len;
} Pending;

struct CfgStore {
  int64_t version;
  int64_t next;         /* first offset that the version does not reflect */
  int64_t latest_start; /* see cfg_store_latest_start() */
  CfgTree *tree;
  GrBuf in_force;            /* state record */
  size_t publication;        /* offset of the publication within in_force */
  GR_LIST (Pending) pending; /* buffered, at consecutive offsets, the first above next */
  size_t pending_bytes;
  CfgStoreFaults faults;
};

CfgStore *
cfg_store_new_faulty (const CfgStoreFaults *faults)
{
  CfgStore *store = gr_calloc (1, sizeof *store);
  store->faults = *faults;
  CfgProblems problems = { 0 };
  store->tree = cfg_tree_new (NULL, 0, &problems);
  gr_list_clear (&problems);
  return store;
}

CfgStore *
cfg_store_new (void)
{
  CfgStoreFaults none = { 0 };
  return cfg_store_new_faulty (&none);
}

static void
drop_pending (CfgStore *store, size_t count)
{
  for (size_t i = 0; i < count; i++) {
    store->pending_bytes -= store->pending.items[i].len;
    free (store->pending.items[i].data);
  }
  store->pending.count -= count;
  if (store->pending.count > 0)
    memmove (store->pending.items, store->pending.items + count,
             store->pending.count * sizeof (Pending));
}

void
cfg_store_free (CfgStore *store)
{
  if (!store)
    return;
  drop_pending (store, store->pending.count);
  gr_list_clear (&store->pending);
  gr_buf_clear (&store->in_force);
  cfg_tree_free (store->tree);
  free (store);
}

static void set_problem (CfgProblem *problem, GrErrCode code, const char *key, const char *format,
                         ...) __attribute__ ((format (printf, 4, 5)));

static void
set_problem (CfgProblem *problem, GrErrCode code, const char *key, const char *format, ...)
{
  memset (problem, 0, sizeof *problem);
  problem->code = code;
  problem->key = gr_name (key);
  va_list args;
  va_start (args, format);
  vsnprintf (problem->detail, sizeof problem->detail, format, args);
  va_end (args);
  cfg_text_clean (problem->detail, strlen (problem->detail));
}

static GrStr
publication_in_force (const CfgStore *store)
{
  GrStr record = gr_buf_str (&store->in_force);
  return (GrStr){ record.data + store->publication, record.len - store->publication };
}

/* Builds the tree of a publication. On failure, returns NULL and stores the first problem. */
static CfgTree *
build_tree (const CfgStore *store, const CfgPublication *publication, CfgProblem *problem)
{
  CfgProblems problems = { 0 };
  CfgTree *tree = cfg_tree_build (publication->files.items, publication->files.count,
                                  &publication->author, &store->faults.tree, &problems);
  if (problems.count > 0)
    *problem = problems.items[0];
  gr_list_clear (&problems);
  return tree;
}

/* Takes ownership of the tree. */
static void
put_in_force (CfgStore *store, int64_t version, GrStr publication, CfgTree *tree)
{
  cfg_tree_free (store->tree);
  store->tree = tree;
  store->version = version;
  CfgStateRecord state = { .version = version, .publication = publication };
  GrBuf record = { 0 };
  cfg_state_encode (&state, &record);
  gr_buf_clear (&store->in_force);
  store->in_force = record;
  store->publication = record.len - publication.len;
}

static void
set_next (CfgStore *store, int64_t next)
{
  store->next = next;
  if (store->in_force.len > 0)
    cfg_state_set_through (&store->in_force, next > 0 ? next - 1 : 0);
}

typedef struct {
  const CfgTree *other;
  CfgProblem *problem;

  bool in_both; /* only keys that both trees set */
  bool found;
} Difference;

static void
report_difference (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  Difference *difference = user;
  GrStr other_value = { 0 };
  CfgOrigin other = { 0 };
  bool present = cfg_tree_explain (difference->other, key, &other_value, &other);
  if (difference->found || (difference->in_both && !present)
      || (present && gr_str_equal (value, other_value)))
    return;
  difference->found = true;
  CfgProblem *problem = difference->problem;
  problem->file = origin->file;
  problem->line = origin->line;
  problem->other_file = other.file;
  problem->other_line = other.line;
  problem->key = gr_name_cut (key);
}

/* Reports a key in which the refused publication and the version in force differ: the first one
   that both set to different values, else the first one that only one of them sets. */
static void
describe_conflict (const CfgStore *store, const CfgPublication *publication, CfgProblem *problem)
{
  CfgProblem invalid = { 0 };
  CfgTree *tree = build_tree (store, publication, &invalid);
  set_problem (problem, GR_ERR_CONFLICT, "",
               "the publication is based on version %lld; version %lld came first; "
               "allowed is the version in force",
               (long long) publication->base, (long long) store->version);
  if (!tree)
    return;
  Difference in_new = { .other = store->tree, .problem = problem, .in_both = true };
  cfg_tree_values (tree, report_difference, &in_new);
  in_new.in_both = false;
  if (!in_new.found)
    cfg_tree_values (tree, report_difference, &in_new);
  if (!in_new.found) {
    Difference in_old = { .other = tree, .problem = problem };
    cfg_tree_values (store->tree, report_difference, &in_old);
  }
  cfg_tree_free (tree);
}

static CfgVerdict
apply_publication (CfgStore *store, GrStr record, CfgProblem *problem)
{
  CfgPublication publication;
  GrErr err = { 0 };
  CfgVerdict verdict = CFG_REJECTED;
  CfgTree *tree = NULL;
  if (!cfg_publication_decode (record, &publication, &err)) {
    set_problem (problem, err.code, "", "%.*s: %s", GR_NAME_ARG (err.field), err.detail);
  } else if (store->version > 0 && gr_str_equal (record, publication_in_force (store))) {
    /* The publisher retried an append whose answer was lost. */
    set_problem (problem, GR_ERR_CONFLICT, "", "the publication is already in force");
    verdict = CFG_STALE;
  } else if (publication.base < store->version && !store->faults.ignore_base) {
    describe_conflict (store, &publication, problem);
    verdict = CFG_CONFLICT;
  } else if (publication.base > store->version) {
    set_problem (problem, GR_ERR_INVALID, "",
                 "the publication is based on version %lld; allowed is the version in force, %lld",
                 (long long) publication.base, (long long) store->version);
  } else if ((tree = build_tree (store, &publication, problem))) {
    put_in_force (store, store->version + 1, record, tree);
    verdict = CFG_ACCEPTED;
  }
  cfg_publication_clear (&publication);
  return verdict;
}

/* Decodes a state record and puts its publication in force if its version is higher. */
static CfgVerdict
apply_state (CfgStore *store, GrStr record, CfgStateRecord *state, CfgProblem *problem)
{
  GrErr err = { 0 };
  CfgPublication publication = { 0 };
  CfgVerdict verdict = CFG_REJECTED;
  if (!cfg_state_decode (record, state, &err)
      || !cfg_publication_decode (state->publication, &publication, &err)) {
    set_problem (problem, err.code, "", "%.*s: %s", GR_NAME_ARG (err.field), err.detail);
    goto done;
  }
  if (publication.base + 1 != state->version) {
    set_problem (problem, GR_ERR_INVALID, "",
                 "version %lld of the state record does not follow its base version %lld",
                 (long long) state->version, (long long) publication.base);
    goto done;
  }
  if (state->version <= store->version && !store->faults.offer_any) {
    verdict = CFG_STALE;
    goto done;
  }
  CfgTree *tree = build_tree (store, &publication, problem);
  if (!tree)
    goto done;
  put_in_force (store, state->version, state->publication, tree);
  verdict = CFG_ACCEPTED;

done:
  cfg_publication_clear (&publication);
  return verdict;
}

static CfgVerdict
apply_record (CfgStore *store, int64_t offset, GrStr record, CfgProblem *problem)
{
  CfgVerdict verdict;
  CfgStateRecord state;
  if (!cfg_is_state_record (record)) {
    verdict = apply_publication (store, record, problem);
  } else {
    verdict = apply_state (store, record, &state, problem);
    /* A reader that starts there buffers the records after state.through until this one. */
    int64_t start = state.through + 1 < offset ? state.through + 1 : offset;
    if (verdict != CFG_REJECTED && state.version == store->version && start > store->latest_start)
      store->latest_start = start;
    if (verdict == CFG_STALE)
      set_problem (problem, GR_ERR_CONFLICT, "",
                   "the version of the state record is not higher than the one in force");
  }
  set_next (store, offset + 1);
  return verdict;
}

/* Applies the buffered records that follow the known state without a gap. */
static void
apply_pending (CfgStore *store)
{
  size_t reflected = 0;
  while (reflected < store->pending.count && store->pending.items[reflected].offset < store->next)
    reflected++;
  drop_pending (store, reflected);
  size_t applied = 0;
  while (applied < store->pending.count && store->pending.items[applied].offset == store->next) {
    const Pending *item = &store->pending.items[applied++];
    CfgProblem ignored;
    apply_record (store, item->offset, (GrStr){ item->data, item->len }, &ignored);
  }
  drop_pending (store, applied);
}

/* Moves next past the offsets that the state reflects, if its version is the one in force, and
   applies the buffered records that follow. */
static void
advance_through (CfgStore *store, const CfgStateRecord *state)
{
  if (state->version == store->version && state->through >= store->next
      && !store->faults.ignore_through)
    set_next (store, state->through + 1);
  else
    set_next (store, store->next);
  apply_pending (store);
}

static CfgVerdict
buffer_record (CfgStore *store, int64_t offset, GrStr record, CfgProblem *problem)
{
  size_t count = store->pending.count;
  set_problem (problem, GR_ERR_UNAVAILABLE, "", "offsets before %lld are missing",
               (long long) offset);
  if (count > 0 && offset <= store->pending.items[count - 1].offset)
    return CFG_STALE;
  /* Records before a further gap cannot be applied in sequence with those after it. */
  if (count > 0
      && (offset != store->pending.items[count - 1].offset + 1 || count >= PENDING_MAX
          || store->pending_bytes + record.len > PENDING_BYTES_MAX))
    drop_pending (store, count);
  Pending item = { .offset = offset, .data = gr_str_dup (record), .len = record.len };
  gr_list_push (&store->pending, item);
  store->pending_bytes += record.len;
  CfgStateRecord state;
  CfgProblem ignored;
  if (!cfg_is_state_record (record))
    return CFG_STALE;
  CfgVerdict verdict = apply_state (store, record, &state, &ignored);
  if (verdict == CFG_REJECTED || state.through >= offset)
    return CFG_STALE;
  advance_through (store, &state);
  return verdict;
}

CfgVerdict
cfg_store_record (CfgStore *store, int64_t offset, GrStr record, CfgProblem *problem)
{
  CfgProblem ignored;
  if (!problem)
    problem = &ignored;
  memset (problem, 0, sizeof *problem);
  if (offset < store->next && !store->faults.ignore_through) {
    set_problem (problem, GR_ERR_CONFLICT, "", "the offset was already read");
    return CFG_STALE;
  }
  if (offset > store->next && !store->faults.ignore_gap)
    return buffer_record (store, offset, record, problem);
  return apply_record (store, offset, record, problem);
}

CfgVerdict
cfg_store_offer (CfgStore *store, int64_t version, GrStr record)
{
  CfgStateRecord state;
  CfgProblem ignored;
  GrErr err;
  if (!cfg_state_decode (record, &state, &err) || state.version != version)
    return CFG_REJECTED;
  CfgVerdict verdict = apply_state (store, record, &state, &ignored);
  if (verdict != CFG_REJECTED)
    advance_through (store, &state);
  return verdict;
}

int64_t
cfg_store_version (const CfgStore *store)
{
  return store->version;
}

int64_t
cfg_store_next (const CfgStore *store)
{
  return store->next;
}

int64_t
cfg_store_latest_start (const CfgStore *store)
{
  return store->latest_start;
}

bool
cfg_store_complete (const CfgStore *store)
{
  return store->pending.count == 0;
}

const CfgTree *
cfg_store_tree (const CfgStore *store)
{
  return store->tree;
}

GrStr
cfg_store_record_in_force (const CfgStore *store)
{
  return gr_buf_str (&store->in_force);
}
