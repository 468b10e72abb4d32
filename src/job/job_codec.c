/* Encoding of the records of the stream jobs-REGION as msgpack arrays. */
#include <msgpack.h>

#include "base/gr_pack.h"
#include "job/job_private.h"

/* Numbers of fields. Each record begins with the common ones (kind, id and epoch); those of its
   kind follow. */
enum {
  COMMON_FIELDS = 3,
  ACCEPT_FIELDS = 16,
  ATTEMPT_FIELDS = 2,
  TASK_END_FIELDS = 4,
  END_FIELDS = 3,
  CANCEL_FIELDS = 0,
  OPEN_FIELDS = 1
};

static void
pack_accept (msgpack_packer *packer, const JobRecord *record)
{
  const JobSpec *spec = &record->spec;
  gr_pack_bool (packer, record->must_record);
  gr_pack_bin (packer, gr_name_str (&spec->team));
  gr_pack_bin (packer, gr_name_str (&spec->kind));
  msgpack_pack_int (packer, spec->policy);
  gr_pack_bool (packer, spec->idempotent);
  gr_pack_bool (packer, spec->exclusive);
  gr_pack_bool (packer, spec->urgent);
  msgpack_pack_int32 (packer, spec->tasks);
  msgpack_pack_int32 (packer, spec->priority);
  for (int d = 0; d < GR_RES_COUNT; d++)
    msgpack_pack_int32 (packer, spec->demand.v[d]);
  msgpack_pack_int64 (packer, spec->run_ms);
  msgpack_pack_int64 (packer, spec->deadline_unix_ms);
  gr_pack_bin (packer, spec->payload);
}

void
job_record_encode (const JobRecord *record, GrBuf *out)
{
  static const size_t field_counts[] = {
    [JOB_RECORD_ACCEPT] = ACCEPT_FIELDS,     [JOB_RECORD_ATTEMPT] = ATTEMPT_FIELDS,
    [JOB_RECORD_TASK_END] = TASK_END_FIELDS, [JOB_RECORD_END] = END_FIELDS,
    [JOB_RECORD_CANCEL] = CANCEL_FIELDS,     [JOB_RECORD_OPEN] = OPEN_FIELDS,
  };
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, COMMON_FIELDS + field_counts[record->kind]);
  msgpack_pack_int (&packer, record->kind);
  gr_pack_bin (&packer, gr_name_str (&record->id));
  msgpack_pack_int64 (&packer, record->epoch);
  switch (record->kind) {
  case JOB_RECORD_ACCEPT:
    pack_accept (&packer, record);
    break;
  case JOB_RECORD_ATTEMPT:
    msgpack_pack_int32 (&packer, record->index);
    msgpack_pack_int32 (&packer, record->attempt);
    break;
  case JOB_RECORD_TASK_END:
    msgpack_pack_int32 (&packer, record->index);
    msgpack_pack_int (&packer, record->outcome);
    msgpack_pack_int (&packer, record->why);
    gr_pack_bin (&packer, record->answer);
    break;
  case JOB_RECORD_END:
    msgpack_pack_int (&packer, record->outcome);
    msgpack_pack_int (&packer, record->why);
    gr_pack_bin (&packer, record->answer);
    break;
  case JOB_RECORD_CANCEL:
    break;
  case JOB_RECORD_OPEN:
    msgpack_pack_int32 (&packer, record->index);
    break;
  }
}

/* Reads the fields of an array in order. ok becomes false at the first mismatch and stays so. */
typedef struct {
  const msgpack_object *fields;
  size_t count;
  size_t next;
  bool ok;
} FieldReader;

static const msgpack_object *
next_field (FieldReader *reader, msgpack_object_type type)
{
  static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };
  if (!reader->ok || reader->next >= reader->count || reader->fields[reader->next].type != type) {
    reader->ok = false;
    return &nil;
  }
  return &reader->fields[reader->next++];
}

static int64_t
read_int (FieldReader *reader, int64_t min, int64_t max)
{
  if (reader->ok && reader->next < reader->count
      && reader->fields[reader->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
    int64_t value = reader->fields[reader->next++].via.i64;
    reader->ok = value >= min && value <= max;
    return reader->ok ? value : min;
  }
  const msgpack_object *object = next_field (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (!reader->ok || object->via.u64 > (uint64_t) INT64_MAX || (int64_t) object->via.u64 < min
      || (int64_t) object->via.u64 > max) {
    reader->ok = false;
    return min;
  }
  return (int64_t) object->via.u64;
}

static bool
read_bool (FieldReader *reader)
{
  const msgpack_object *object = next_field (reader, MSGPACK_OBJECT_BOOLEAN);
  return reader->ok && object->via.boolean;
}

static GrStr
read_str (FieldReader *reader)
{
  const msgpack_object *object = next_field (reader, MSGPACK_OBJECT_BIN);
  if (!reader->ok)
    return GR_STR ("");
  return (GrStr){ object->via.bin.ptr, object->via.bin.size };
}

static GrName
read_name (FieldReader *reader)
{
  GrName name;
  if (!gr_name_set (&name, read_str (reader)))
    reader->ok = false;
  return name;
}

static void
read_accept (FieldReader *reader, JobRecord *record)
{
  JobSpec *spec = &record->spec;
  record->must_record = read_bool (reader);
  spec->id = record->id;
  spec->team = read_name (reader);
  spec->kind = read_name (reader);
  spec->policy = (JobPolicy) read_int (reader, JOB_POLICY_REQUEST, JOB_POLICY_GANG);
  spec->idempotent = read_bool (reader);
  spec->exclusive = read_bool (reader);
  spec->urgent = read_bool (reader);
  spec->tasks = (int32_t) read_int (reader, 1, JOB_TASKS_MAX);
  spec->priority = (int32_t) read_int (reader, 0, INT32_MAX);
  for (int d = 0; d < GR_RES_COUNT; d++)
    spec->demand.v[d] = (int32_t) read_int (reader, 0, INT32_MAX);
  spec->run_ms = read_int (reader, 0, INT64_MAX);
  spec->deadline_unix_ms = read_int (reader, 0, INT64_MAX);
  spec->payload = read_str (reader);
}

static void
read_fields (FieldReader *reader, JobRecord *record)
{
  record->kind = (JobRecordKind) read_int (reader, JOB_RECORD_ACCEPT, JOB_RECORD_OPEN);
  record->id = read_name (reader);
  record->epoch = read_int (reader, 0, INT64_MAX);
  if (!reader->ok)
    return;
  switch (record->kind) {
  case JOB_RECORD_ACCEPT:
    read_accept (reader, record);
    break;
  case JOB_RECORD_ATTEMPT:
    record->index = (int32_t) read_int (reader, 0, JOB_TASKS_MAX - 1);
    record->attempt = (int32_t) read_int (reader, 1, INT32_MAX);
    break;
  case JOB_RECORD_TASK_END:
    record->index = (int32_t) read_int (reader, 0, JOB_TASKS_MAX - 1);
    record->outcome = (JobOutcome) read_int (reader, JOB_OUTCOME_COMPLETED, JOB_OUTCOME_UNKNOWN);
    record->why = (GrErrCode) read_int (reader, 0, GR_ERR_COUNT - 1);
    record->answer = read_str (reader);
    break;
  case JOB_RECORD_END:
    record->outcome = (JobOutcome) read_int (reader, JOB_OUTCOME_COMPLETED, JOB_OUTCOME_UNKNOWN);
    record->why = (GrErrCode) read_int (reader, 0, GR_ERR_COUNT - 1);
    record->answer = read_str (reader);
    break;
  case JOB_RECORD_CANCEL:
    break;
  case JOB_RECORD_OPEN:
    record->index = (int32_t) read_int (reader, 0, JOB_PARTS_MAX - 1);
    break;
  }
}

bool
job_record_decode (GrStr bytes, JobRecord *record, GrErr *err)
{
  memset (record, 0, sizeof *record);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, bytes);
  if (ok) {
    FieldReader reader = { unpacked.data.via.array.ptr, unpacked.data.via.array.size, 0, true };
    read_fields (&reader, record);
    ok = reader.ok && reader.next == reader.count
         && (record->id.len > 0 || record->kind == JOB_RECORD_OPEN);
  }
  /* Binary fields point into bytes, so the msgpack zone can be freed. */
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return gr_err_set (err, GR_ERR_PROTOCOL, "record", "malformed job record of %zu bytes",
                       bytes.len);
  return true;
}
