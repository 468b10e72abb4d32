/* Which account a job id belongs to.

   A job keeps the account of its submission, in a record of its own. The cancellation of an id that
   an account has not submitted is kept as an ended job under an id that names both: several
   accounts may cancel the same id, and each of them binds its own submissions only. */
#include <stdlib.h>

#include "dag/dag_priv.h"

/* Most account records without a job that one batch deletes; a batch has to stay small. */
#define ORPHANS_MAX 4096
/* "@" and the hash of the account, in hexadecimal. */
#define CANCELLED_SUFFIX_LEN 17

bool
dag_is_foreign (const DagState *dag, const GrName *id, const GrName *account)
{
  const DagJob *job = dag_find_job (dag, id);
  return job && job->client && !gr_name_equal (&job->client->policy.name, account);
}

GrName
dag_cancelled_id (const GrName *id, const GrName *account)
{
  int len
      = id->len < GR_NAME_MAX - CANCELLED_SUFFIX_LEN ? id->len : GR_NAME_MAX - CANCELLED_SUFFIX_LEN;
  return gr_name_format ("%.*s@%016llx", len, id->data,
                         (unsigned long long) gr_name_hash (account, 0));
}

DagCancelResult
dag_cancel_for (DagState *dag, const GrName *id, const GrName *account, int64_t call,
                int64_t now_ms)
{
  if (dag_is_foreign (dag, id, account))
    return DAG_CANCEL_FOREIGN;
  if (dag_find_job (dag, id))
    return dag_cancel (dag, id, call, now_ms);
  GrName cancelled = dag_cancelled_id (id, account);
  return dag_cancel (dag, &cancelled, call, now_ms);
}

static DagLoadedAccount *
find_loaded (const DagState *dag, const GrName *id)
{
  DagLoadedAccount *loaded = NULL;
  HASH_FIND (hh, dag->loaded_accounts, id->data, id->len, loaded);
  return loaded;
}

GrName
dag_loaded_account (const DagState *dag, const GrName *id)
{
  const DagLoadedAccount *loaded = find_loaded (dag, id);
  return loaded ? loaded->account : (GrName){ 0 };
}

bool
dag_load_account (DagState *dag, const GrName *id, const msgpack_object *object)
{
  GrName account;
  if (!dag_read_account (object, &account) || dag_find_job (dag, id))
    return false;
  DagLoadedAccount *loaded = find_loaded (dag, id);
  if (!loaded) {
    loaded = gr_calloc (1, sizeof *loaded);
    loaded->job = *id;
    HASH_ADD_KEYPTR (hh, dag->loaded_accounts, loaded->job.data, loaded->job.len, loaded);
  }
  loaded->account = account;
  return true;
}

void
dag_accounts_loaded (DagState *dag)
{
  for (const DagLoadedAccount *loaded = dag->loaded_accounts; loaded; loaded = loaded->hh.next) {
    if (!dag_find_job (dag, &loaded->job))
      gr_list_push (&dag->orphans, loaded->job);
  }
  gr_hash_clear (dag->loaded_accounts, free);
}

void
dag_pack_orphans (DagState *dag, DagRecords *out)
{
  for (size_t n = 0; n < ORPHANS_MAX && dag->orphans.count > 0; n++) {
    GrName id = dag->orphans.items[--dag->orphans.count];
    const DagJob *job = dag_find_job (dag, &id);
    /* The account record of a new job under the id replaces the old record. */
    if (!job || !job->client)
      dag_pack_account_drop (&id, out);
  }
}
