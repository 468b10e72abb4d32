/* Unit tests of the adapter's decoders: submissions, names of tasks, and answers to bad input. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "platform/plat.h"

/* Guards against bad input that is taken for something else (numbers that wrap, flags that are
   ignored) or refused without saying which field is wrong, and against refusing fields of later
   versions. */
static void
submissions_are_decoded_or_refused_by_field (void **state)
{
  (void) state;
  static const struct {
    const char *steps, *more; /* fields of the one step, and of the job */
    const char *field;        /* NULL: accepted */
  } cases[] = {
    { "\"count\":2", "", NULL },
    { "\"count\":2,\"later\":{\"a\":[1]}", ",\"alsoLater\":true", NULL },
    { "\"count\":2,\"longRunning\":true,\"maxUnavailable\":1", "", NULL },
    { "\"count\":2", ",\"repeatCount\":3,\"startAtMs\":1700000000000,\"intervalMs\":500", NULL },
    { "\"count\":0", "", "count" },
    { "\"count\":1,\"estimateMs\":1e15", "", "estimateMs" },
    { "\"count\":4294967298", "", "count" },
    { "\"count\":-1", "", "count" },
    { "\"count\":1,\"cpu\":-5", "", "cpu" },
    { "\"count\":1,\"memMb\":1e300", "", "memMb" },
    { "\"count\":1,\"maxUnavailable\":-1", "", "maxUnavailable" },
    { "\"count\":1,\"antiAffinity\":4294967297", "", "antiAffinity" },
    { "\"count\":1,\"dependsOn\":[0]", "", "dependsOn" },
    { "\"count\":1", ",\"repeatCount\":-1", "repeatCount" },
    { "\"count\":1", ",\"repeatCount\":1000000", "repeatCount" },
    { "\"count\":1", ",\"repeatCount\":2,\"intervalMs\":-1", "intervalMs" },
    { "\"count\":1", ",\"repeatCount\":2,\"startAtMs\":-1", "startAtMs" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf text = { 0 };
    gr_buf_printf (&text, "{\"spec\":\"x\",\"steps\":[{%s}]%s}", cases[i].steps, cases[i].more);
    DagStepSpec steps[DAG_MAX_STEPS];
    DagJobSpec spec = { .id = gr_name ("0123456789abcdef"), .queue = gr_name ("q") };
    json_t *body = NULL;
    GrErr err = { 0 };
    bool ok = plat_decode_job (gr_buf_str (&text), steps, &spec, &body, &err)
              && dag_check_job_spec (&spec, &err);
    if (ok != (cases[i].field == NULL))
      fail_msg ("%s: %s", text.data, ok ? "accepted" : err.detail);
    const char *wire_name = plat_field_name (&err.field);
    GrName field = wire_name ? gr_name (wire_name) : err.field;
    if (!ok && !gr_str_equal (gr_name_str (&field), gr_str_from_c (cases[i].field)))
      fail_msg ("%s: field %.*s", text.data, GR_NAME_ARG (field));
    json_decref (body);
    gr_buf_clear (&text);
  }
}

static void
malformed_bodies_are_refused (void **state)
{
  (void) state;
  static const char *const cases[] = {
    "", "{", "[]", "null", "{\"steps\":{}}", "{\"steps\":[]}", "{\"spec\":\"x\"}", "\xff\xfe"
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    DagStepSpec steps[DAG_MAX_STEPS];
    DagJobSpec spec = { 0 };
    json_t *body = NULL;
    GrErr err = { 0 };
    assert_false (plat_decode_job (gr_str_from_c (cases[i]), steps, &spec, &body, &err));
    assert_int_equal (err.code, GR_ERR_INVALID);
    json_decref (body);
  }
}

/* Guards against runs that are taken for those of another occurrence: a task's name holds the
   occurrence, which is 0 also for jobs without a timetable. */
static void
task_names_round_trip (void **state)
{
  (void) state;
  static const struct {
    const char *name, *job; /* job NULL: not a name */
    uint32_t step, index;
  } cases[] = { { "0123456789abcdef.0.1.17", "0123456789abcdef", 1, 17 },
                { "0123456789abcdef.3.0.2", "0123456789abcdef.3", 0, 2 },
                { "0123456789abcdef.0.1", NULL, 0, 0 },
                { "0123456789abcdef.0.1.2.3", NULL, 0, 0 },
                { "0123456789abcdef.a.1.2", NULL, 0, 0 },
                { "", NULL, 0, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    DagTaskRef task = { 0 };
    bool ok = plat_parse_task (cases[i].name, &task);
    assert_int_equal (ok, cases[i].job != NULL);
    if (!ok)
      continue;
    assert_true (gr_str_equal (gr_name_str (&task.job), gr_str_from_c (cases[i].job)));
    assert_int_equal (task.step, cases[i].step);
    assert_int_equal (task.index, cases[i].index);
    GrName name = plat_task_name (&task);
    assert_true (gr_str_equal (gr_name_str (&name), gr_str_from_c (cases[i].name)));
  }
}

static bool
decode_entry (GrStr entry, GrErr *err)
{
  DagTargetInfo info = { 0 };
  return plat_decode_target (NULL, GR_STR ("t1"), entry, &info, err);
}

/* Guards against the use of a target whose entry was written by something else. */
static void
foreign_target_entries_are_refused (void **state)
{
  (void) state;
  static const struct {
    const char *entry;
    bool ok;
  } cases[] = {
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
      "\"capacity\":{\"cpu\":1}}",
      true },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"odd\","
      "\"capacity\":{\"cpu\":1}}",
      false },
    { "{\"service\":7,\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
      "\"capacity\":{}}",
      false },
    { "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\"}", false },
    { "{\"service\":\"s\",\"state\":\"ready\",\"capacity\":{}}", false },
    { "\xff{", false },
    { "[1]", false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrErr err = { 0 };
    bool ok = decode_entry (gr_str_from_c (cases[i].entry), &err);
    if (ok != cases[i].ok)
      fail_msg ("%s: %s", cases[i].entry, ok ? "accepted" : err.detail);
  }
}

/* Guards against a leader that is blocked by looking up a name, and against numbers that wrap or
   that keep all later entries of a target out: an odd entry names no target. */
static void
entries_with_odd_values_are_refused_by_field (void **state)
{
  (void) state;
  static const struct {
    const char *address, *cpu, *more;
    const char *field; /* NULL: accepted */
  } cases[] = {
    { "10.1.2.3:8080", "16000", "", NULL },
    { "10.1.2.3:65535", "0", ",\"born\":1700000000000,\"sequence\":4", NULL },
    { "10.1.2.3:8080", "16000", ",\"labels\":[\"a\",\"r1\"],\"later\":{\"x\":[]}", NULL },
    { "10.1.2.3:99999", "16000", "", "address" },
    { "10.1.2.3:65536", "16000", "", "address" },
    { "10.1.2.3:0", "16000", "", "address" },
    { "10.1.2.3:-1", "16000", "", "address" },
    { "10.1.2.3:18446744073709551617", "16000", "", "address" },
    { "10.1.2.3", "16000", "", "address" },
    { ":8080", "16000", "", "address" },
    { "host:8080", "16000", "", "address" },
    { "10.1.2.300:8080", "16000", "", "address" },
    { "10.1.2.3:80/x?y=", "16000", "", "address" },
    { "10.1.2.3:8080", "2147483648", "", "cpu" },
    { "10.1.2.3:8080", "1e300", "", "cpu" },
    { "10.1.2.3:8080", "-1", "", "cpu" },
    { "10.1.2.3:8080", "\"16000\"", "", "cpu" },
    { "10.1.2.3:8080", "16000", ",\"born\":1e18", "born" },
    { "10.1.2.3:8080", "16000", ",\"born\":-4", "born" },
    { "10.1.2.3:8080", "16000", ",\"born\":\"x\"", "born" },
    { "10.1.2.3:8080", "16000", ",\"sequence\":9007199254740993000", "sequence" },
    { "10.1.2.3:8080", "16000", ",\"remainingMs\":1e200", "remainingMs" },
    { "10.1.2.3:8080", "16000", ",\"labels\":{}", "labels" },
    { "10.1.2.3:8080", "16000", ",\"labels\":[1,2]", "labels" },
    { "10.1.2.3:8080", "16000", ",\"machine\":7", "machine" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf text = { 0 };
    gr_buf_printf (&text,
                   "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"state\":\"ready\","
                   "\"capacity\":{\"cpu\":%s,\"memMb\":9,\"gpu\":0}%s}",
                   cases[i].address, cases[i].cpu, cases[i].more);
    GrErr err = { 0 };
    bool ok = decode_entry (gr_buf_str (&text), &err);
    if (ok != (cases[i].field == NULL))
      fail_msg ("%s: %s", text.data, ok ? "accepted" : err.detail);
    if (!ok && !gr_str_equal (gr_name_str (&err.field), gr_str_from_c (cases[i].field)))
      fail_msg ("%s: field %.*s", text.data, GR_NAME_ARG (err.field));
    gr_buf_clear (&text);
  }
}

/* Guards against a stack that overflows, and numbers that no type holds. */
static void
entries_that_cannot_be_parsed_are_refused (void **state)
{
  (void) state;
  static const struct {
    const char *before, *nested, *after;
    int times;
  } cases[] = { { "", "[", "", 1000000 },
                { "{\"a\":", "[", "", 100000 },
                { "", "{\"a\":", "1", 200000 },
                { "{\"capacity\":{\"cpu\":", "9", "}}", 1000 },
                { "{\"sequence\":1e", "9", "}", 40 },
                { "{\"sequence\":-", "9", "}", 30 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf text = { 0 };
    gr_buf_append_str (&text, gr_str_from_c (cases[i].before));
    for (int n = 0; n < cases[i].times; n++)
      gr_buf_append_str (&text, gr_str_from_c (cases[i].nested));
    gr_buf_append_str (&text, gr_str_from_c (cases[i].after));
    GrErr err = { 0 };
    assert_false (decode_entry (gr_buf_str (&text), &err));
    assert_int_equal (err.code, GR_ERR_PROTOCOL);
    gr_buf_clear (&text);
  }
}

/* Guards against a list that no VM reads any more because of the key of one entry. */
static void
listings_with_odd_keys_are_read (void **state)
{
  (void) state;
  static const struct {
    const char *text;
    int items; /* -1: malformed */
  } cases[] = {
    { "{\"items\":[{\"key\":\"t1\",\"value\":\"e30=\"}]}", 1 },
    { "{\"items\":[{\"key\":\"t\\u0000x\",\"value\":\"e30=\"},{\"key\":\"t2\"}]}", 2 },
    { "{\"items\":[{\"key\":\"\\ud83d\\ude00\\u0001\"},7,null]}", 3 },
    { "{\"items\":[]}", 0 },
    { "{\"items\":{}}", -1 },
    { "[]", -1 },
    { "", -1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    json_t *body = plat_parse_listing (gr_str_from_c (cases[i].text));
    assert_int_equal (body ? (int) json_array_size (json_object_get (body, "items")) : -1,
                      cases[i].items);
    json_decref (body);
  }
}

/* Decodes a configuration with two routes, of which the second is public. */
static bool
decode_config (const char *tenants, CellConfig *config, GrErr *err)
{
  GrBuf text = { 0 };
  gr_buf_printf (&text,
                 "{\"version\":3,\"routes\":["
                 "{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\",\"service\":\"s\"},"
                 "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\",\"service\":\"s\","
                 "\"public\":true},"
                 "{\"name\":\"o\",\"host\":\"h\",\"pathPrefix\":\"/o/\",\"service\":\"s\","
                 "\"public\":\"no\"}]%s}",
                 tenants);
  bool ok = plat_decode_config (NULL, gr_buf_str (&text), config, err);
  gr_buf_clear (&text);
  return ok;
}

/* Stands for the long name below. */
#define LONG_ACCOUNT "sha224:e55f0fbeac31fd070ee6f5dfb99c8ba10fd826f9462b045268aa9fd9"

/* Guards against a document with odd fields that stops a VM, opens the cell to callers without a
   key, or turns a limit into none. */
static void
accounts_with_odd_fields_are_left_out_or_limited (void **state)
{
  (void) state;
  static const struct {
    const char *tenants;
    const char *accounts;   /* "name weight cpu memory accelerators;" of each */
    const char *key, *name; /* account of the key; NULL: refused */
  } cases[] = {
    { "", "", "k1", "" },
    { ",\"tenants\":null", "", "k1", "" },
    { ",\"tenants\":[]", "", "k1", "" },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k1\"]}]", "A 1 0 0 0;", "k1", "A" },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k1\",7,\"\",null,\"k2\"],\"priority\":{}}]",
      "A 1 0 0 0;", "k2", "A" },
    { ",\"tenants\":[{\"name\":\"A\",\"weight\":2.5,\"maximum\":{\"cpu\":1500,\"memMb\":7,\"gpu\":"
      "1}}]",
      "A 2.5 1500 7 1;", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"maximum\":{\"cpu\":0.2,\"memMb\":1e300,\"gpu\":null}}]",
      "A 1 1 0 0;", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"maximum\":{\"cpu\":1073741824,\"memMb\":1073741825}}]",
      "A 1 1073741824 0 0;", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"weight\":-3},{\"name\":\"B\",\"weight\":1e300},"
      "{\"name\":\"C\",\"weight\":\"x\"}]",
      "A 0.001 0 0 0;B 1e+06 0 0 0;C 1 0 0 0;", "k1", NULL },
    { ",\"tenants\":[{\"apiKeys\":[\"k1\"]},{\"name\":\"\",\"apiKeys\":[\"k1\"]},{\"name\":[],"
      "\"apiKeys\":[\"k1\"]},7,null,\"x\",[\"k1\"]]",
      "", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":\"k1\"},{\"name\":\"B\",\"apiKeys\":[\"k1\"]}]",
      "B 1 0 0 0;", "k1", "B" },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k1\"],\"maximum\":{\"cpu\":-1}},"
      "{\"name\":\"B\",\"maximum\":[1]},{\"name\":\"C\",\"maximum\":{\"gpu\":\"1\"}}]",
      "", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k0\",\"k1\"]},"
      "{\"name\":\"B\",\"apiKeys\":[\"k1\"]}]",
      "A 1 0 0 0;B 1 0 0 0;", "k1", NULL },
    { ",\"tenants\":[{\"name\":\"A\",\"apiKeys\":[\"k1\",\"k1\"]},"
      "{\"name\":\"A\",\"apiKeys\":[\"k2\"]}]",
      "A 1 0 0 0;", "k1", "A" },
    { ",\"tenants\":[{\"name\":\"a name of more than sixty-three bytes, which an account may "
      "have\","
      "\"apiKeys\":[\"k1\"]}]",
      LONG_ACCOUNT " 1 0 0 0;", "k1", LONG_ACCOUNT },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellConfig config = { 0 };
    GrErr err = { 0 };
    GrName account;
    GrBuf seen = { 0 };
    if (!decode_config (cases[i].tenants, &config, &err))
      fail_msg ("%s: %s", cases[i].tenants, err.detail);
    gr_buf_append (&seen, "", 0);
    for (size_t a = 0; a < config.accounts.count; a++) {
      const DagAccount *found = &config.accounts.items[a];
      gr_buf_printf (&seen, "%.*s %g %d %d %d;", GR_NAME_ARG (found->name), found->weight,
                     found->maximum.v[GR_RES_CPU_MILLI], found->maximum.v[GR_RES_MEMORY_MB],
                     found->maximum.v[GR_RES_ACCELERATORS]);
    }
    assert_string_equal (seen.data, cases[i].accounts);
    GrStr key = gr_str_from_c (cases[i].key);
    const CellRoute *routes = config.routes.items;
    bool accepted = cell_config_check_key (&config, &routes[0], key, &account);
    if (accepted != (cases[i].name != NULL))
      fail_msg ("%s: accepted=%d", cases[i].tenants, accepted);
    if (accepted)
      assert_true (gr_str_equal (gr_name_str (&account), gr_str_from_c (cases[i].name)));
    /* On a public route the key does not matter, and names no account. */
    assert_true (cell_config_check_key (&config, &routes[1], key, &account));
    assert_int_equal (account.len, 0);
    assert_int_equal (cell_config_check_key (&config, &routes[2], key, &account), accepted);
    gr_buf_clear (&seen);
    cell_config_clear (&config);
    assert_null (config.keys);
  }
}

/* Guards against a document that removes the accounts by mistake: then any caller would be let in.
 */
static void
a_list_of_accounts_of_another_type_is_refused (void **state)
{
  (void) state;
  static const char *const cases[] = { "{}", "\"A\"", "7", "true", "false" };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    CellConfig config = { 0 };
    GrErr err = { 0 };
    GrBuf text = { 0 };
    gr_buf_printf (&text, ",\"tenants\":%s", cases[i]);
    assert_false (decode_config (text.data, &config, &err));
    assert_int_equal (err.code, GR_ERR_PROTOCOL);
    gr_buf_clear (&text);
    cell_config_clear (&config);
  }
}

/* Guards against a valid header that is refused, and against an empty key or one of another scheme
   that is taken as a key. */
static void
keys_are_taken_from_their_header (void **state)
{
  (void) state;
  static const struct {
    const char *header, *key; /* NULL: none */
  } cases[] = { { "Bearer abc", "abc" },   { "bearer abc", "abc" },
                { "BEARER  a b ", "a b" }, { "Bearer", NULL },
                { "Bearer ", NULL },       { "Bearer   ", NULL },
                { "Basic abc", NULL },     { "", NULL },
                { "abc", NULL },           { "Bearerabc def", NULL } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrStr key = { 0 };
    bool ok = plat_bearer_key (gr_str_from_c (cases[i].header), &key);
    assert_int_equal (ok, cases[i].key != NULL);
    if (ok)
      assert_true (gr_str_equal (key, gr_str_from_c (cases[i].key)));
  }
}

/* Guards against short text that takes a hundred times its length once it is parsed, and against
   bounds that refuse valid documents. */
static void
documents_are_bounded_before_they_are_parsed (void **state)
{
  (void) state;
  static const struct {
    PlatJsonKind kind;
    const char *head, *unit;
    int units;
    const char *tail;
    bool ok;
  } cases[] = {
    { PLAT_JSON_JOB, "{\"spec\":\"", "[{,", 87000, "\"}", true },
    { PLAT_JSON_JOB, "{\"spec\":\"", "\\\"[", 80000, "\"}", true },
    { PLAT_JSON_JOB, "{\"steps\":[0", ",0", 30000, "]}", true },
    { PLAT_JSON_JOB, "{\"steps\":[0", ",0", 40000, "]}", false },
    { PLAT_JSON_JOB, "{\"steps\":[{}", ",{}", 40000, "]}", false },
    { PLAT_JSON_JOB, "", "[", 33, "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]", false },
    { PLAT_JSON_JOB, "", "[", 32, "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]", true },
    { PLAT_JSON_JOB, "", "[", 200000, "", false },
    { PLAT_JSON_CONFIG, "{\"routes\":[0", ",0", 131000, "]}", true },
    { PLAT_JSON_CONFIG, "{\"routes\":[0", ",0", 300000, "]}", false },
    { PLAT_JSON_LISTING, "{\"items\":[{}", ",{\"key\":\"a\",\"value\":\"e30=\"}", 20000, "]}",
      true },
    { PLAT_JSON_ANSWER, "{\"allowed\":[0", ",{}", 5000, "]}", false },
    { PLAT_JSON_TARGET, "{\"labels\":[0", ",0", 5000, "]}", false },
    { PLAT_JSON_INVENTORY, "{\"running\":[[]", ",[\"a.0.0.0\",1,\"\",0,5]", 1000, "]}", true },
    { PLAT_JSON_INVENTORY, "{\"running\":[0", ",{}", 70000, "]}", false },
    { PLAT_JSON_INVENTORY, "", "", 0, "", false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    GrBuf text = { 0 };
    gr_buf_append_str (&text, gr_str_from_c (cases[i].head));
    for (int u = 0; u < cases[i].units; u++)
      gr_buf_append_str (&text, gr_str_from_c (cases[i].unit));
    gr_buf_append_str (&text, gr_str_from_c (cases[i].tail));
    json_t *body = plat_json_load (gr_buf_str (&text), cases[i].kind);
    if ((body != NULL) != cases[i].ok)
      fail_msg ("case %zu should be %s", i, cases[i].ok ? "accepted" : "refused");
    json_decref (body);
    gr_buf_clear (&text);
  }
}

/* What a decoded name belongs to. */
typedef enum {
  OF_ROUTE,
  OF_QUEUE,
  OF_ACCOUNT,
  OF_STEP,
  OF_TARGET
} NameOwner;

/* Decodes the document and returns the name at the offset in the owner. */
static bool
read_name (NameOwner owner, GrStr doc, size_t offset, GrName *name)
{
  CellConfig config = { 0 };
  DagStepSpec steps[DAG_MAX_STEPS];
  DagJobSpec spec = { 0 };
  DagTargetInfo info = { 0 };
  json_t *body = NULL;
  GrErr err = { 0 };
  const void *found = NULL;
  switch (owner) {
  case OF_ROUTE:
  case OF_QUEUE:
  case OF_ACCOUNT:
    if (!plat_decode_config (NULL, doc, &config, &err))
      break;
    if (owner == OF_ACCOUNT)
      found = config.accounts.items;
    else
      found = owner == OF_ROUTE ? (void *) config.routes.items : (void *) config.queues.items;
    break;
  case OF_STEP:
    if (plat_decode_job (doc, steps, &spec, &body, &err))
      found = steps;
    break;
  case OF_TARGET:
    if (plat_decode_target (NULL, GR_STR ("t1"), doc, &info, &err))
      found = &info;
    break;
  }
  if (found)
    memcpy (name, (const char *) found + offset, sizeof *name);
  json_decref (body);
  cell_config_clear (&config);
  return found != NULL;
}

/* Guards against a name of legal length that is shortened, dropped, taken for another one, or for
   which a whole document is refused. */
static void
names_of_any_length_are_told_apart (void **state)
{
  (void) state;
#define ROUTE(name, host, service)                                                                 \
  "{\"version\":1,\"routes\":[{\"name\":\"" name "\",\"host\":\"" host "\",\"service\":\"" service \
  "\"}]}"
#define STEP(field) "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"" field "\":\"%s\"}]}"
#define TARGET(service, zone, more)                                                                \
  "{\"service\":\"" service "\",\"address\":\"10.1.2.3:80\",\"zone\":\"" zone                      \
  "\",\"state\":\"ready\",\"capacity\":{\"cpu\":1}" more "}"
  static const struct {
    const char *name;
    NameOwner owner;
    const char *doc; /* with a place for the name */
    size_t offset;
    bool may_be_empty;
  } cases[] = {
    { "route", OF_QUEUE, ROUTE ("%s", "h", "s"), offsetof (DagQueue, name), false },
    { "host", OF_ROUTE, ROUTE ("n", "%s", "s"), offsetof (CellRoute, host), false },
    { "service of a route", OF_QUEUE, ROUTE ("n", "h", "%s"), offsetof (DagQueue, service), false },
    { "account", OF_ACCOUNT, "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"%s\"}]}",
      offsetof (DagAccount, name), false },
    { "label of a step", OF_STEP, STEP ("requirements"), offsetof (DagStepSpec, label), true },
    { "rack of a step", OF_STEP, STEP ("affinity"), offsetof (DagStepSpec, near_rack), true },
    { "image of a step", OF_STEP, STEP ("image"), offsetof (DagStepSpec, image), true },
    { "service of a target", OF_TARGET, TARGET ("%s", "z", ""), offsetof (DagTargetInfo, service),
      false },
    { "zone of a target", OF_TARGET, TARGET ("s", "%s", ""), offsetof (DagTargetInfo, zone),
      false },
    { "VM of a target", OF_TARGET, TARGET ("s", "z", ",\"machine\":\"%s\""),
      offsetof (DagTargetInfo, vm), true },
    { "kind of a target", OF_TARGET, TARGET ("s", "z", ",\"labels\":[\"%s\",\"r\"]"),
      offsetof (DagTargetInfo, kind), true },
    { "rack of a target", OF_TARGET, TARGET ("s", "z", ",\"labels\":[\"k\",\"%s\"]"),
      offsetof (DagTargetInfo, rack), true },
  };
  static const size_t lengths[] = { 1, 63, 64, 75, 253, 1000, 262000 };
  size_t failed = 0;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    for (size_t l = 0; l < sizeof lengths / sizeof lengths[0]; l++) {
      /* Names that differ in their last byte, and the first one again. */
      GrName names[3] = { 0 };
      bool kept = true;
      char *text = gr_calloc (lengths[l] + 1, 1);
      memset (text, 'a', lengths[l]);
      for (size_t n = 0; n < 3; n++) {
        text[lengths[l] - 1] = n == 1 ? 'b' : 'a';
        GrBuf doc = { 0 };
        gr_buf_printf (&doc, cases[i].doc, text);
        kept &= read_name (cases[i].owner, gr_buf_str (&doc), cases[i].offset, &names[n]);
        gr_buf_clear (&doc);
      }
      GrStr whole = { text, lengths[l] };
      bool ok = kept && names[0].len > 0 && !gr_name_equal (&names[0], &names[1])
                && gr_name_equal (&names[0], &names[2])
                && (lengths[l] > GR_NAME_MAX || gr_str_equal (gr_name_str (&names[0]), whole));
      if (!ok) {
        print_error ("%s of %zu bytes: kept %d, '%.*s' and '%.*s'\n", cases[i].name, lengths[l],
                     kept, GR_NAME_ARG (names[0]), GR_NAME_ARG (names[1]));
        failed++;
      }
      free (text);
    }
    GrBuf doc = { 0 };
    GrName name = { 0 };
    gr_buf_printf (&doc, cases[i].doc, "");
    bool kept = read_name (cases[i].owner, gr_buf_str (&doc), cases[i].offset, &name);
    gr_buf_clear (&doc);
    if (kept != cases[i].may_be_empty || name.len > 0)
      fail_msg ("%s: an empty name is kept: %d", cases[i].name, kept);
  }
  assert_int_equal (failed, 0);
}

/* Guards against a cell without any route after all its processes have started again: a process
   that runs goes on with the document before one that it refuses, but one that starts has none. */
static void
a_route_that_cannot_be_read_leaves_the_others (void **state)
{
  (void) state;
  static const char *const routes[] = {
    "{\"host\":\"h\",\"service\":\"s\"}",
    "{\"name\":\"\",\"host\":\"h\",\"service\":\"s\"}",
    "{\"name\":7,\"host\":\"h\",\"service\":\"s\"}",
    "{\"name\":\"n\",\"host\":null,\"service\":\"s\"}",
    "{\"name\":\"n\",\"host\":\"\",\"service\":\"s\"}",
    "{\"name\":\"n\",\"host\":\"h\"}",
    "{\"name\":\"n\",\"host\":\"h\",\"service\":[\"s\"]}",
    "{}",
    "[]",
    "null",
    "\"n\"",
    "7",
  };
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++) {
    CellConfig config = { 0 };
    GrErr err = { 0 };
    GrBuf text = { 0 };
    gr_buf_printf (&text,
                   "{\"version\":5,\"routes\":["
                   "{\"name\":\"a\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"service\":\"s\"},%s,"
                   "{\"name\":\"b\",\"host\":\"h\",\"pathPrefix\":\"/b/\",\"service\":\"s\"}]}",
                   routes[i]);
    if (!plat_decode_config (NULL, gr_buf_str (&text), &config, &err))
      fail_msg ("%s: %s", routes[i], err.detail);
    assert_int_equal (config.version, 5);
    assert_int_equal (config.routes.count, 2);
    assert_int_equal (config.queues.count, 2);
    assert_non_null (cell_config_find (&config, GR_STR ("h"), GR_STR ("/a/1")));
    assert_non_null (cell_config_find (&config, GR_STR ("h"), GR_STR ("/b/1")));
    gr_buf_clear (&text);
    cell_config_clear (&config);
  }
}

/* Guards against ids that are shortened: they are sent back to their target as they are. */
static void
ids_of_targets_are_whole_or_refused (void **state)
{
  (void) state;
  static const struct {
    size_t length;
    bool ok;
  } cases[] = { { 1, true }, { 63, true }, { 64, false }, { 75, false }, { 255, false } };
  char id[255];
  memset (id, 'a', sizeof id);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
    DagTargetInfo info = { 0 };
    GrErr err = { 0 };
    GrStr key = { id, cases[i].length };
    bool ok = plat_decode_target (NULL, key, gr_str_from_c (TARGET ("s", "z", "")), &info, &err);
    assert_int_equal (ok, cases[i].ok);
    if (ok)
      assert_true (gr_str_equal (gr_name_str (&info.id), key));
    else
      assert_true (gr_str_equal (gr_name_str (&err.field), GR_STR ("key")));
  }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (documents_are_bounded_before_they_are_parsed),
    cmocka_unit_test (submissions_are_decoded_or_refused_by_field),
    cmocka_unit_test (malformed_bodies_are_refused),
    cmocka_unit_test (task_names_round_trip),
    cmocka_unit_test (foreign_target_entries_are_refused),
    cmocka_unit_test (entries_with_odd_values_are_refused_by_field),
    cmocka_unit_test (entries_that_cannot_be_parsed_are_refused),
    cmocka_unit_test (listings_with_odd_keys_are_read),
    cmocka_unit_test (accounts_with_odd_fields_are_left_out_or_limited),
    cmocka_unit_test (a_list_of_accounts_of_another_type_is_refused),
    cmocka_unit_test (keys_are_taken_from_their_header),
    cmocka_unit_test (names_of_any_length_are_told_apart),
    cmocka_unit_test (a_route_that_cannot_be_read_leaves_the_others),
    cmocka_unit_test (ids_of_targets_are_whole_or_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
