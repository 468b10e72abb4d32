/* Configuration: a folder of small files merged in name order, published through the log.

   CfgTree is one merged configuration with the origin of every value. CfgStore follows the stream
   "config" and holds the version in force. Pure: files come as text, records as bytes. */
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

/* Where a value in force comes from. */
typedef struct {
  GrName file;
  int64_t line;
  GrName author;
  GrStr reason;
} CfgOrigin;

typedef struct {
  GrErrCode code; /* GR_ERR_CONFLICT, GR_ERR_INVALID, GR_ERR_UNKNOWN_FIELD, GR_ERR_MISSING */
  GrName file;
  int64_t line;
  GrName other_file; /* conflict: the earlier file */
  int64_t other_line;
  GrName key;
  char detail[256]; /* names the value and what is allowed */
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
  int64_t priority;      /* higher goes first; 0 to 1000 */
  GrRes quota;           /* 0 in a dimension: not limited there */
  GrName token_sha256_a; /* first and second half of the hex digest; empty: no token needed */
  GrName token_sha256_b;
} CfgTeam;

typedef struct {
  GrName name;
  bool idempotent;
  bool exclusive;
  int64_t run_ms; /* expected run time; 0 if not known */
  GrRes demand;
} CfgKind;

/* Work that the folder itself describes. */
typedef struct {
  GrName name;
  CfgPolicy policy;
  GrName team;
  int64_t tasks;
  int64_t run_ms;
  GrRes demand;
  GrStr payload;
} CfgWork;

typedef struct {
  int64_t partitions;      /* per region; default 16 */
  int64_t max_attempts;    /* default 4 */
  int64_t task_lease_ms;   /* default 10000 */
  int64_t long_slots_pct;  /* share of an executor's slots that long work may hold; default 50 */
  int64_t long_after_ms;   /* expected run time from which work counts as long; default 2000 */
  int64_t queue_max;       /* waiting tasks per scheduler; default 50000 */
  int64_t batch_share_pct; /* share of the cell that batch may hold; default 90 */
} CfgCell;

typedef struct CfgTree CfgTree;

/* Merges files in name order. Problems are appended; the tree is NULL if there is any. */
CfgTree *cfg_tree_new (const CfgFile *files, size_t count, CfgProblems *problems);
void cfg_tree_free (CfgTree *tree);
const CfgCell *cfg_cell (const CfgTree *tree);
size_t cfg_team_count (const CfgTree *tree);
const CfgTeam *cfg_team_at (const CfgTree *tree, size_t i);
const CfgTeam *cfg_team (const CfgTree *tree, const GrName *name);
const CfgKind *cfg_kind (const CfgTree *tree, const GrName *name);
size_t cfg_work_count (const CfgTree *tree);
const CfgWork *cfg_work_at (const CfgTree *tree, size_t i);
/* Visits every value in force as "section.name.option" in key order. */
typedef void (*CfgValueFunc) (void *user, GrStr key, GrStr value, const CfgOrigin *origin);
void cfg_tree_values (const CfgTree *tree, CfgValueFunc func, void *user);
/* False if the key has no value. */
bool cfg_tree_explain (const CfgTree *tree, GrStr key, GrStr *value, CfgOrigin *origin);

/* Text encoding of one publication: base version, author and the files. Each append to the stream
   "config" is exactly one publication or one state record, without the framing of lgs. Author and
   file names must be ones that cfg_tree_new() accepts, without line ends. */
void cfg_publication_encode (int64_t base_version, const GrName *author, const CfgFile *files,
                             size_t count, GrBuf *out);

typedef struct CfgStore CfgStore;

typedef enum {
  CFG_ACCEPTED,
  CFG_CONFLICT,
  CFG_REJECTED,
  CFG_STALE
} CfgVerdict;

CfgStore *cfg_store_new (void);
void cfg_store_free (CfgStore *store);
/* Takes one record of the stream "config" in offset order; offsets start at 0 and every append has
   its own. The verdict is the same for every reader. problem tells why a record was not accepted.
   A reader that finds offsets missing (retention) keeps records until a state record or an offer
   tells the state before them; until then their verdict is CFG_STALE. */
CfgVerdict cfg_store_record (CfgStore *store, int64_t offset, GrStr record, CfgProblem *problem);
/* Takes a peer's state record during an outage or after missing offsets. Its configuration is used
   only if its version is higher. CFG_REJECTED if the record is malformed or not of that version. */
CfgVerdict cfg_store_offer (CfgStore *store, int64_t version, GrStr record);
int64_t cfg_store_version (const CfgStore *store);
/* Offset of the first record that the version in force does not reflect: read on from here. */
int64_t cfg_store_next (const CfgStore *store);
/* Latest offset at which a new reader of the log can start and learn the version in force without a
   peer. Append the state record again before retention passes this offset. */
int64_t cfg_store_latest_start (const CfgStore *store);
/* False while offsets are missing before the records read last. */
bool cfg_store_complete (const CfgStore *store);
/* Never NULL: version 0 is an empty folder with the defaults. */
const CfgTree *cfg_store_tree (const CfgStore *store);
/* State record: version in force, the offset read through and the publication. It is handed to
   peers, answered by GET /v1/config, and appended to the stream as a snapshot before retention
   passes the publication. Empty at version 0. Valid until the next call with this store. */
GrStr cfg_store_record_in_force (const CfgStore *store);

#ifdef __cplusplus
}
#endif
