#include "node/node_json.h"

#include <jansson.h>
#include <stdlib.h>

#define DEADLINE_NEVER INT64_MAX

/* Returns one field, or NULL if it is absent or err is set. A missing required field and a wrong
   type are errors. JSON_TRUE stands for either boolean. */
static json_t *
field (json_t *root, const char *name, json_type type, bool required, GrErr *err)
{
  if (err->code != GR_ERR_NONE)
    return NULL;
  json_t *value = json_object_get (root, name);
  if (!value) {
    if (required)
      gr_err_set (err, GR_ERR_MISSING, name, "field '%s' is missing", name);
    return NULL;
  }
  bool boolean = type == JSON_TRUE && json_is_boolean (value);
  if (!boolean && json_typeof (value) != type) {
    static const char *const types[] = { "an object", "an array",  "a string",  "a whole number",
                                         "a number",  "a boolean", "a boolean", "null" };
    gr_err_set (err, GR_ERR_INVALID, name, "field '%s' must be %s", name, types[type]);
    return NULL;
  }
  return value;
}

static GrName
name_field (json_t *root, const char *name, bool required, size_t max, GrErr *err)
{
  GrName out = { 0 };
  json_t *value = field (root, name, JSON_STRING, required, err);
  if (!value)
    return out;
  size_t len = json_string_length (value);
  if (len == 0 || len > max)
    gr_err_set (err, GR_ERR_INVALID, name, "'%s' has %zu bytes; allowed are 1 to %zu", name, len,
                max);
  else
    out = gr_name_cut ((GrStr){ json_string_value (value), len });
  return out;
}

static int64_t
int_field (json_t *root, const char *name, bool required, int64_t min, int64_t max, int64_t def,
           GrErr *err)
{
  json_t *value = field (root, name, JSON_INTEGER, required, err);
  if (!value)
    return def;
  int64_t number = json_integer_value (value);
  if (number < min || number > max)
    gr_err_set (err, GR_ERR_INVALID, name, "'%s' is %lld; allowed is %lld to %lld", name,
                (long long) number, (long long) min, (long long) max);
  return number;
}

static bool
bool_field (json_t *root, const char *name, bool required, bool def, GrErr *err)
{
  json_t *value = field (root, name, JSON_TRUE, required, err);
  return value ? json_is_true (value) : def;
}

static GrRes
demand_field (json_t *root, bool required, GrRes def, GrErr *err)
{
  json_t *value = field (root, "demand", JSON_OBJECT, required, err);
  if (!value)
    return def;
  GrRes demand = { 0 };
  const char *key;
  json_t *part;
  json_object_foreach (value, key, part)
  {
    int d = 0;
    while (d < GR_RES_COUNT && strcmp (key, gr_res_name ((GrResDim) d)) != 0)
      d++;
    if (d == GR_RES_COUNT)
      gr_err_set (err, GR_ERR_UNKNOWN_FIELD, key, "'%s' is not a dimension of a demand", key);
    else
      demand.v[d] = (int32_t) int_field (value, key, true, 0, INT32_MAX, 0, err);
  }
  return demand;
}

static JobPolicy
policy_field (json_t *root, GrErr *err)
{
  static const struct {
    const char *name;
    JobPolicy policy;
  } policies[] = { { "service", JOB_POLICY_SERVICE },
                   { "batch", JOB_POLICY_BATCH },
                   { "gang", JOB_POLICY_GANG } };
  json_t *value = field (root, "policy", JSON_STRING, true, err);
  for (size_t i = 0; value && i < sizeof policies / sizeof policies[0]; i++) {
    if (strcmp (json_string_value (value), policies[i].name) == 0)
      return policies[i].policy;
  }
  if (value)
    gr_err_set (err, GR_ERR_INVALID, "policy", "'%s'; allowed are service, batch, gang",
                json_string_value (value));
  return JOB_POLICY_BATCH;
}

/* A string is the payload itself; another JSON value except null becomes its compact JSON text. */
static void
set_payload (json_t *root, NodeSubmission *out)
{
  json_t *value = json_object_get (root, "payload");
  if (json_is_string (value)) {
    GrStr text = { json_string_value (value), json_string_length (value) };
    out->payload = gr_str_dup (text);
    out->spec.payload = (GrStr){ out->payload, text.len };
  } else if (value && !json_is_null (value)) {
    out->payload = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
    out->spec.payload = gr_str_from_c (out->payload);
  }
}

/* The priority comes from the team. The kind sets a run time and a demand that the caller did not
   give, and can make work exclusive or not idempotent, but not the reverse. */
static void
apply_config (JobSpec *spec, const CfgTree *tree, bool demand_given)
{
  const CfgTeam *team = cfg_team (tree, &spec->team);
  const CfgKind *kind = spec->kind.len ? cfg_kind (tree, &spec->kind) : NULL;
  if (team)
    spec->priority = (int32_t) team->priority;
  if (!kind)
    return;
  spec->exclusive = spec->exclusive || kind->exclusive;
  spec->idempotent = spec->idempotent && kind->idempotent;
  if (spec->run_ms == 0)
    spec->run_ms = kind->run_ms;
  bool kind_has_demand = false;
  for (int d = 0; d < GR_RES_COUNT; d++)
    kind_has_demand = kind_has_demand || kind->demand.v[d] > 0;
  if (!demand_given && kind_has_demand)
    spec->demand = kind->demand;
}

bool
node_json_submission (GrStr body, bool request, const CfgTree *tree, NodeSubmission *out,
                      GrErr *err)
{
  memset (out, 0, sizeof *out);
  memset (err, 0, sizeof *err);
  JobSpec *spec = &out->spec;
  json_error_t json_err;
  json_t *root = json_loadb (body.data, body.len, JSON_REJECT_DUPLICATES, &json_err);
  if (!json_is_object (root)) {
    gr_err_set (err, GR_ERR_INVALID, "body", "line %d: %s", root ? 1 : json_err.line,
                root ? "not an object" : json_err.text);
    goto done;
  }
  /* Default demand of a request: one slot of an executor. */
  GrRes one_slot = { 0 };
  one_slot.v[GR_RES_SLOTS] = request ? 1 : 0;
  spec->id = name_field (root, "id", true, NODE_JOB_ID_MAX, err);
  spec->team = name_field (root, "team", true, GR_NAME_MAX, err);
  spec->kind = name_field (root, "kind", request, GR_NAME_MAX, err);
  spec->policy = request ? JOB_POLICY_REQUEST : policy_field (root, err);
  spec->idempotent = bool_field (root, "idempotent", request, true, err);
  spec->exclusive = bool_field (root, "exclusive", false, false, err);
  spec->urgent = bool_field (root, "urgent", false, false, err);
  spec->tasks = request ? 1 : (int32_t) int_field (root, "tasks", true, 1, JOB_TASKS_MAX, 1, err);
  bool service = spec->policy == JOB_POLICY_SERVICE;
  spec->deadline_unix_ms
      = int_field (root, "deadline_ms", !service, 1, INT64_MAX, DEADLINE_NEVER, err);
  spec->run_ms = int_field (root, "run_ms", false, 0, INT32_MAX, 0, err);
  spec->demand = demand_field (root, !request, one_slot, err);
  if (err->code == GR_ERR_NONE
      && gr_str_starts_with (gr_name_str (&spec->id), GR_STR (JOB_CONFIG_PREFIX)))
    gr_err_set (err, GR_ERR_INVALID, "id", "ids that begin with '%s' belong to the configuration",
                JOB_CONFIG_PREFIX);
  if (err->code != GR_ERR_NONE)
    goto done;
  set_payload (root, out);
  apply_config (spec, tree, json_object_get (root, "demand") != NULL);
done:
  json_decref (root);
  if (err->code != GR_ERR_NONE)
    node_json_clear (out);
  return err->code == GR_ERR_NONE;
}

void
node_json_clear (NodeSubmission *submission)
{
  free (submission->payload);
  submission->payload = NULL;
  submission->spec.payload = (GrStr){ NULL, 0 };
}

/* Length of the UTF-8 sequence at the start of text; 0 if it is malformed. */
static size_t
utf8_length (const unsigned char *text, size_t left)
{
  size_t len = text[0] < 0x80             ? 1
               : (text[0] & 0xE0) == 0xC0 ? 2
               : (text[0] & 0xF0) == 0xE0 ? 3
               : (text[0] & 0xF8) == 0xF0 ? 4
                                          : 0;
  if (len == 0 || len > left)
    return 0;
  for (size_t i = 1; i < len; i++) {
    if ((text[i] & 0xC0) != 0x80)
      return 0;
  }
  return len;
}

void
node_json_string (GrBuf *out, GrStr text)
{
  gr_buf_append (out, "\"", 1);
  for (size_t i = 0; i < text.len;) {
    unsigned char c = (unsigned char) text.data[i];
    size_t len = utf8_length ((const unsigned char *) text.data + i, text.len - i);
    if (c == '"' || c == '\\')
      gr_buf_printf (out, "\\%c", c);
    else if (c < 0x20)
      gr_buf_printf (out, "\\u%04x", c);
    else if (len == 0)
      gr_buf_append (out, "?", 1);
    else
      gr_buf_append (out, text.data + i, len);
    i += len ? len : 1;
  }
  gr_buf_append (out, "\"", 1);
}

void
node_json_error (GrBuf *out, GrErrCode code, GrStr field, const char *detail)
{
  gr_buf_printf (out, "{\"error\":{\"code\":\"%s\",\"field\":", gr_err_name (code));
  node_json_string (out, field);
  gr_buf_printf (out, ",\"detail\":");
  node_json_string (out, gr_str_from_c (detail));
  gr_buf_printf (out, "}}");
}

/* Appends an error whose field is the name of why, or empty, and returns the status. */
static int
error_reply (GrBuf *out, int status, GrErrCode code, GrErrCode why, const char *detail)
{
  node_json_error (out, code, gr_str_from_c (why != GR_ERR_NONE ? gr_err_name (why) : ""), detail);
  return status;
}

static void
status_body (GrBuf *out, const GrName *id, const NodeReplyBody *reply)
{
  gr_buf_printf (out, "{\"id\":");
  node_json_string (out, gr_name_str (id));
  gr_buf_printf (out, ",\"phase\":\"%s\",\"outcome\":\"%s\"", job_phase_name (reply->phase),
                 job_outcome_name (reply->outcome));
  if (reply->why != GR_ERR_NONE)
    gr_buf_printf (out, ",\"why\":\"%s\"", gr_err_name (reply->why));
  if (reply->phase == JOB_ENDED) {
    gr_buf_printf (out, ",\"answer\":");
    node_json_string (out, reply->text);
  }
  gr_buf_printf (out, "}");
}

/* Reply to a synchronous request, or to a job that was refused. */
static int
outcome_reply (GrBuf *out, const GrName *id, const NodeReplyBody *reply)
{
  switch (reply->outcome) {
  case JOB_OUTCOME_COMPLETED:
    gr_buf_printf (out, "{\"id\":");
    node_json_string (out, gr_name_str (id));
    gr_buf_printf (out, ",\"outcome\":\"completed\",\"answer\":");
    node_json_string (out, reply->text);
    gr_buf_printf (out, "}");
    return 200;
  case JOB_OUTCOME_NOT_RUN:
    return error_reply (out, 503, GR_ERR_NOT_RUN, reply->why, "the request did not run");
  case JOB_OUTCOME_UNKNOWN:
    return error_reply (out, 504, GR_ERR_UNKNOWN, reply->why,
                        "whether the request ran cannot be known");
  case JOB_OUTCOME_FAILED:
    return error_reply (out, 502, GR_ERR_FAILED, reply->why, "the request ran and failed");
  case JOB_OUTCOME_CANCELLED:
    return error_reply (out, 409, GR_ERR_CANCELLED, reply->why, "the request was cancelled");
  case JOB_OUTCOME_NONE:
    break;
  }
  return error_reply (out, 504, GR_ERR_UNKNOWN, reply->why, "the request has not ended");
}

int
node_json_reply (GrBuf *out, NodeVerb verb, const GrName *id, const NodeReplyBody *reply)
{
  if (reply->outcome == JOB_OUTCOME_NONE && reply->why == GR_ERR_CONFLICT)
    return error_reply (out, 409, GR_ERR_CONFLICT, GR_ERR_NONE, "the id is in use for other work");
  if (reply->outcome == JOB_OUTCOME_NONE && reply->why == GR_ERR_NOT_FOUND)
    return error_reply (out, 404, GR_ERR_NOT_FOUND, GR_ERR_NONE, "no job has this id");
  if (reply->outcome == JOB_OUTCOME_NONE && reply->why == GR_ERR_UNAVAILABLE)
    return error_reply (out, 503, GR_ERR_UNAVAILABLE, GR_ERR_NONE,
                        "no owner was reached; repeat the id at any VM");
  switch (verb) {
  case NODE_VERB_REQUEST:
    return outcome_reply (out, id, reply);
  case NODE_VERB_JOB:
    if (reply->phase == JOB_ENDED && reply->outcome != JOB_OUTCOME_COMPLETED)
      return outcome_reply (out, id, reply);
    status_body (out, id, reply);
    return 202;
  case NODE_VERB_CANCEL:
  case NODE_VERB_WAIT:
    if (reply->why == GR_ERR_UNKNOWN && reply->text.len == 0
        && reply->outcome == JOB_OUTCOME_UNKNOWN && verb == NODE_VERB_CANCEL)
      return error_reply (out, 504, GR_ERR_UNKNOWN, GR_ERR_NONE, "the owner did not answer");
    status_body (out, id, reply);
    return 200;
  case NODE_VERB_EXPLAIN:
    gr_buf_printf (out, "{\"id\":");
    node_json_string (out, gr_name_str (id));
    gr_buf_printf (out, ",\"explain\":");
    node_json_string (out, reply->text);
    gr_buf_printf (out, "}");
    return 200;
  case NODE_VERB_COUNT:
    break;
  }
  return 500;
}
