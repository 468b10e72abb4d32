/* Cost of merging and of publishing a configuration against its number of values, for the capacity
   page. Prints name=value lines. */
#include <stdlib.h>

#include "capacity.h"
#include "cfg/cfg.h"

#define FILES_MAX 32
#define TEAMS_PER_FILE 10

typedef struct {
  CfgFile files[FILES_MAX];
  GrBuf texts[FILES_MAX];
  GrName names[FILES_MAX];
  size_t count;
} Folder;

/* Makes files of ten teams with four values each. */
static Folder *
make_folder (size_t teams)
{
  Folder *folder = gr_calloc (1, sizeof *folder);
  for (size_t t = 0; t < teams; t++) {
    size_t f = t / TEAMS_PER_FILE;
    if (t % TEAMS_PER_FILE == 0) {
      folder->names[f] = gr_name_format ("%02zu-teams.conf", f);
      folder->count = f + 1;
      gr_buf_printf (&folder->texts[f], "author = \"Eleni Markou\"\n\n");
    }
    gr_buf_printf (&folder->texts[f],
                   "team team-%03zu {\n"
                   "  reason = \"Match evenings bring ten times the usual comments.\"\n"
                   "  region = north\n  priority = %zu\n"
                   "  quota_cpu_milli = 64000\n  quota_memory_mb = 131072\n}\n\n",
                   t, t % 1000);
  }
  for (size_t f = 0; f < folder->count; f++)
    folder->files[f] = (CfgFile){ gr_name_str (&folder->names[f]), gr_buf_str (&folder->texts[f]) };
  return folder;
}

static void
free_folder (Folder *folder)
{
  for (size_t f = 0; f < folder->count; f++)
    gr_buf_clear (&folder->texts[f]);
  free (folder);
}

static void
count_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  (void) key;
  (void) value;
  (void) origin;
  ++*(size_t *) user;
}

typedef struct {
  double values;
  double merge_us, accept_us;
  double record_bytes, state_bytes;
  double tree_heap, store_heap;
} Cost;

static Cost
measure (size_t teams)
{
  enum {
    ROUNDS = 20
  };
  Cost cost = { 0 };
  Folder *folder = make_folder (teams);
  CfgProblems problems = { 0 };
  double heap = capacity_heap_bytes ();
  CfgTree *tree = cfg_tree_new (folder->files, folder->count, &problems);
  cost.tree_heap = capacity_heap_bytes () - heap;
  size_t values = 0;
  if (tree)
    cfg_tree_values (tree, count_value, &values);
  else
    fprintf (stderr, "%s\n", problems.items[0].detail);
  cost.values = (double) values;
  cfg_tree_free (tree);
  double start = capacity_cpu_us ();
  for (int i = 0; i < ROUNDS; i++)
    cfg_tree_free (cfg_tree_new (folder->files, folder->count, &problems));
  cost.merge_us = (capacity_cpu_us () - start) / ROUNDS;
  heap = capacity_heap_bytes ();
  CfgStore *store = cfg_store_new ();
  double spent = 0;
  for (int i = 0; i < ROUNDS; i++) {
    GrBuf record = { 0 };
    GrName author = gr_name ("Eleni Markou");
    cfg_publication_encode (i, &author, folder->files, folder->count, &record);
    cost.record_bytes = (double) record.len;
    CfgProblem problem = { 0 };
    start = capacity_cpu_us ();
    CfgVerdict verdict = cfg_store_record (store, i, gr_buf_str (&record), &problem);
    spent += capacity_cpu_us () - start;
    if (verdict != CFG_ACCEPTED)
      fprintf (stderr, "publication not accepted, verdict %d: %s\n", (int) verdict, problem.detail);
    gr_buf_clear (&record);
  }
  cost.accept_us = spent / ROUNDS;
  cost.state_bytes = (double) cfg_store_record_in_force (store).len;
  cost.store_heap = capacity_heap_bytes () - heap;
  cfg_store_free (store);
  gr_list_clear (&problems);
  free_folder (folder);
  return cost;
}

int
main (void)
{
  static const size_t teams[] = { 10, 40, 110, 320 };
  enum {
    SIZES = sizeof teams / sizeof teams[0]
  };
  Cost c[SIZES];
  for (size_t i = 0; i < SIZES; i++) {
    c[i] = measure (teams[i]);
    printf ("config_values_teams_%zu=%.0f\n", teams[i], c[i].values);
    printf ("config_merge_us_teams_%zu=%.1f\n", teams[i], c[i].merge_us);
    printf ("config_accept_us_teams_%zu=%.1f\n", teams[i], c[i].accept_us);
    printf ("config_publication_bytes_teams_%zu=%.0f\n", teams[i], c[i].record_bytes);
  }
  const Cost *a = &c[0];
  const Cost *b = &c[SIZES - 1];
#define PRINT(name, field)                                                                         \
  printf ("config_" name "_per_value=%.2f\n",                                                      \
          capacity_slope (a->field, b->field, a->values, b->values))
  PRINT ("merge_us", merge_us);
  PRINT ("accept_us", accept_us);
  PRINT ("publication_bytes", record_bytes);
  PRINT ("state_record_bytes", state_bytes);
  PRINT ("tree_heap_bytes", tree_heap);
  PRINT ("store_heap_bytes", store_heap);
#undef PRINT
  return 0;
}
