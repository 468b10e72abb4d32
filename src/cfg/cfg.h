/* Configuration: a folder of small files that are merged in the order of their names and published
   through the log.

   CfgTree is one merged configuration with the origin of every value. CfgStore applies the records
   of the stream "config" and holds the version in force. Neither does any I/O: files are passed in
   as text, records as bytes. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_res.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One file of the folder. */
typedef struct {
  GrStr name; /* without the folder, for example "10-teams.conf" */
  GrStr text;
} CfgFile;

/* File, line, author and reason of a value in force. */
typedef struct {
  GrName file;
  int64_t line;
  GrName author;
  GrStr reason; /* valid as long as the tree; empty if none is given */
} CfgOrigin;

/* One reason why a configuration or a record is not accepted. The code is GR_ERR_CONFLICT,
   GR_ERR_INVALID, GR_ERR_UNKNOWN_FIELD or GR_ERR_MISSING for the contents of files. */
typedef struct {
  GrErrCode code;
  GrName file;
  int64_t line;      /* 0 if the problem concerns the whole file or a record */
  GrName other_file; /* conflict: the earlier file */
  int64_t other_line;
  GrName key;       /* "section.name.option"; empty if none is concerned */
  char detail[256]; /* the refused value and the allowed ones */
} CfgProblem;

typedef GR_LIST (CfgProblem) CfgProblems;

typedef enum {
  CFG_POLICY_SERVICE,
  CFG_POLICY_BATCH,
  CFG_POLICY_GANG
} CfgPolicy;

typedef struct {
  GrName name;
  GrName region;         /* home region of its callers */
  int64_t priority;      /* 0 to 1000; higher is scheduled first */
  GrRes quota;           /* 0: the dimension is not limited */
  GrName token_sha256_a; /* first half of the hex digest; empty: no token needed */
  GrName token_sha256_b; /* second half */
} CfgTeam;

/* A kind of request. */
typedef struct {
  GrName name;
  bool idempotent; /* a second run does no harm */
  bool exclusive;  /* must never run in two places at once */
  int64_t run_ms;  /* expected run time; 0 if not known */
  GrRes demand;
} CfgKind;

/* Work that is declared in the configuration: a section service, batch or gang. */
typedef struct {
  GrName name;
  CfgPolicy policy;
  GrName team;
  int64_t tasks;  /* number of tasks */
  int64_t run_ms; /* expected run time of a task; 0 if not known */
  GrRes demand;   /* of a task */
  GrStr payload;  /* text that every task receives; valid as long as the tree */
} CfgWork;

typedef struct {
  int64_t partitions;      /* per region; default 16 */
  int64_t max_attempts;    /* attempts of a task before it counts as failed; default 4 */
  int64_t task_lease_ms;   /* time a task runs without renewal of its lease; default 10000 */
  int64_t long_slots_pct;  /* share of an executor's slots that long work may hold; default 50 */
  int64_t long_after_ms;   /* expected run time from which work counts as long; default 2000 */
  int64_t queue_max;       /* waiting tasks per scheduler; default 50000 */
  int64_t batch_share_pct; /* share of the cell for batch and long work; default 90 */
} CfgCell;

typedef struct CfgTree CfgTree;

/* Merges files in the order of their names. Appends all problems found; returns NULL if there are
   any. The files may be released afterwards. */
CfgTree *cfg_tree_new (const CfgFile *files, size_t count, CfgProblems *problems);
void cfg_tree_free (CfgTree *tree);
const CfgCell *cfg_cell (const CfgTree *tree);
size_t cfg_team_count (const CfgTree *tree);
const CfgTeam *cfg_team_at (const CfgTree *tree, size_t i);
/* Both return NULL if the name is not configured. */
const CfgTeam *cfg_team (const CfgTree *tree, const GrName *name);
const CfgKind *cfg_kind (const CfgTree *tree, const GrName *name);
size_t cfg_kind_count (const CfgTree *tree);
const CfgKind *cfg_kind_at (const CfgTree *tree, size_t i);
size_t cfg_work_count (const CfgTree *tree);
const CfgWork *cfg_work_at (const CfgTree *tree, size_t i);
/* Called with each key as "section.name.option", in the order of the keys. */
typedef void (*CfgValueFunc) (void *user, GrStr key, GrStr value, const CfgOrigin *origin);
void cfg_tree_values (const CfgTree *tree, CfgValueFunc func, void *user);
/* Returns the value in force of a key and its origin, both valid as long as the tree; false if no
   file sets the key. */
bool cfg_tree_explain (const CfgTree *tree, GrStr key, GrStr *value, CfgOrigin *origin);

/* Appends the text encoding of one publication: base version, author and the files. Each append to
   the stream "config" holds exactly one publication or one state record, without the framing of
   src/lgs. The author and the file names must be valid for cfg_tree_new() and contain no
   newline. */
void cfg_publication_encode (int64_t base_version, const GrName *author, const CfgFile *files,
                             size_t count, GrBuf *out);

typedef struct CfgStore CfgStore;

typedef enum {
  CFG_ACCEPTED, /* the record's version is now in force */
  CFG_CONFLICT, /* the publication is based on an older version */
  CFG_REJECTED, /* malformed or invalid */
  CFG_STALE     /* no change: a repeated or old record, or one that is buffered */
} CfgVerdict;

CfgStore *cfg_store_new (void);
void cfg_store_free (CfgStore *store);
/* Applies one record of the stream "config". Records are passed in offset order; offsets start at 0
   and every append has its own. The verdict is the same for every reader. If problem is not NULL,
   it is set to the reason why the record was not accepted. If offsets are missing, for example
   because of retention, records are buffered with the verdict CFG_STALE until a state record or
   cfg_store_offer() supplies the state before them. */
CfgVerdict cfg_store_record (CfgStore *store, int64_t offset, GrStr record, CfgProblem *problem);
/* Applies a state record received from a peer, for use during an outage of the log or when offsets
   are missing. Its configuration comes into force only if its version is higher. Returns
   CFG_REJECTED if the record is malformed, invalid or of another version. */
CfgVerdict cfg_store_offer (CfgStore *store, int64_t version, GrStr record);
int64_t cfg_store_version (const CfgStore *store);
/* Offset of the first record that the version in force does not reflect; the next read starts
   here. */
int64_t cfg_store_next (const CfgStore *store);
/* Latest offset from which a new reader can restore the version in force from the log alone. Append
   the state record again before retention passes this offset. */
int64_t cfg_store_latest_start (const CfgStore *store);
/* False while records are buffered because offsets before them are missing. */
bool cfg_store_complete (const CfgStore *store);
/* Never NULL: version 0 is an empty folder with the defaults. Valid until the next
   call of cfg_store_record() or cfg_store_offer(). */
const CfgTree *cfg_store_tree (const CfgStore *store);
/* State record: the version in force, the last offset that it reflects and the publication. It is
   sent to peers, returned by GET /v1/config, and appended to the stream as a snapshot before
   retention passes the publication. Empty at version 0. Valid until the next call of
   cfg_store_record() or cfg_store_offer(). */
GrStr cfg_store_record_in_force (const CfgStore *store);

#ifdef __cplusplus
}
#endif
