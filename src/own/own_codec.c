/* msgpack encoding of ownership records and heartbeats.

   Record: [kind, vm, incarnation, key, epoch, to vm, to incarnation].
   Heartbeat: [vm, incarnation, seq, flags, owned hash, [[vm, incarnation, age, acknowledged],
   ...], moving key]. Arrays may be longer in later versions; further elements are ignored. */
#include "own/own.h"

#include <msgpack.h>

#include "base/gr_pack.h"

enum {
  FLAG_REPLY = 1,
  FLAG_PROMISE_WANTED = 2,
  FLAG_PROMISE_GIVEN = 4,
  FLAG_LEAVING = 8,
  FLAG_JOINING = 16
};

static void
pack_name (msgpack_packer *packer, const GrName *name)
{
  msgpack_pack_str (packer, name->len);
  msgpack_pack_str_body (packer, name->data, name->len);
}

static void
pack_ref (msgpack_packer *packer, const GrVmRef *ref)
{
  pack_name (packer, &ref->vm);
  msgpack_pack_int64 (packer, ref->incarnation);
}

static bool
get_name (const msgpack_object *object, GrName *name)
{
  return object->type == MSGPACK_OBJECT_STR
         && gr_name_set (name, (GrStr){ object->via.str.ptr, object->via.str.size });
}

static bool
get_int (const msgpack_object *object, int64_t min, int64_t max, int64_t *value)
{
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    *value = object->via.i64;
  else if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= INT64_MAX)
    *value = (int64_t) object->via.u64;
  else
    return false;
  return *value >= min && *value <= max;
}

static bool
get_ref (const msgpack_object *objects, GrVmRef *ref)
{
  return get_name (&objects[0], &ref->vm) && get_int (&objects[1], 0, INT64_MAX, &ref->incarnation);
}

void
own_record_encode (const OwnRecord *record, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 7);
  msgpack_pack_int (&packer, record->kind);
  pack_ref (&packer, &record->writer);
  pack_name (&packer, &record->key);
  msgpack_pack_int64 (&packer, record->epoch);
  pack_ref (&packer, &record->to);
}

/* Returns true if the fields that the kind of the record requires are set. */
static bool
record_is_complete (const OwnRecord *record)
{
  if (record->writer.vm.len == 0)
    return false;
  switch (record->kind) {
  case OWN_RECORD_CLAIM:
  case OWN_RECORD_REFRESH:
    return record->key.len > 0 && record->epoch > 0;
  case OWN_RECORD_HANDOVER:
    return record->key.len > 0 && record->epoch > 0 && record->to.vm.len > 0;
  case OWN_RECORD_GONE:
    return record->to.vm.len > 0;
  case OWN_RECORD_JOIN:
  case OWN_RECORD_LEAVE:
    return true;
  }
  return false;
}

static bool
read_record (const msgpack_object *root, OwnRecord *record)
{
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 7)
    return false;
  const msgpack_object *items = root->via.array.ptr;
  int64_t kind;
  if (!get_int (&items[0], OWN_RECORD_JOIN, OWN_RECORD_REFRESH, &kind))
    return false;
  record->kind = (OwnRecordKind) kind;
  return get_ref (&items[1], &record->writer) && get_name (&items[3], &record->key)
         && get_int (&items[4], 0, INT64_MAX - 1, &record->epoch)
         && get_ref (&items[5], &record->to) && record_is_complete (record);
}

bool
own_record_decode (GrStr bytes, OwnRecord *record, GrErr *err)
{
  memset (record, 0, sizeof *record);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, bytes) && read_record (&unpacked.data, record);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    gr_err_set (err, GR_ERR_PROTOCOL, "record", "malformed ownership record of %zu bytes",
                bytes.len);
  return ok;
}

void
own_heartbeat_encode (const OwnHeartbeat *heartbeat, GrBuf *out)
{
  int flags = (heartbeat->reply ? FLAG_REPLY : 0)
              | (heartbeat->promise_wanted ? FLAG_PROMISE_WANTED : 0)
              | (heartbeat->promise_given ? FLAG_PROMISE_GIVEN : 0)
              | (heartbeat->leaving ? FLAG_LEAVING : 0) | (heartbeat->joining ? FLAG_JOINING : 0);
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 7);
  pack_ref (&packer, &heartbeat->from);
  msgpack_pack_int64 (&packer, heartbeat->seq);
  msgpack_pack_int (&packer, flags);
  msgpack_pack_uint64 (&packer, heartbeat->owned_hash);
  msgpack_pack_array (&packer, heartbeat->peer_count);
  for (size_t i = 0; i < heartbeat->peer_count; i++) {
    msgpack_pack_array (&packer, 4);
    pack_ref (&packer, &heartbeat->peers[i].vm);
    msgpack_pack_int64 (&packer, heartbeat->peers[i].age_ms);
    if (heartbeat->peers[i].acknowledged)
      msgpack_pack_true (&packer);
    else
      msgpack_pack_false (&packer);
  }
  pack_name (&packer, &heartbeat->moving_key);
}

static bool
read_peer (const msgpack_object *object, OwnPeerAge *peer)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 4)
    return false;
  const msgpack_object *items = object->via.array.ptr;
  if (items[3].type != MSGPACK_OBJECT_BOOLEAN)
    return false;
  peer->acknowledged = items[3].via.boolean;
  return get_ref (&items[0], &peer->vm) && get_int (&items[2], -1, INT64_MAX, &peer->age_ms);
}

static bool
read_heartbeat (const msgpack_object *root, OwnHeartbeat *heartbeat)
{
  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 7)
    return false;
  const msgpack_object *items = root->via.array.ptr;
  int64_t flags;
  if (!get_ref (&items[0], &heartbeat->from) || heartbeat->from.vm.len == 0
      || !get_int (&items[2], 0, INT64_MAX, &heartbeat->seq)
      || !get_int (&items[3], 0, INT32_MAX, &flags)
      || items[4].type != MSGPACK_OBJECT_POSITIVE_INTEGER || items[5].type != MSGPACK_OBJECT_ARRAY
      || items[5].via.array.size > OWN_PEERS_MAX || !get_name (&items[6], &heartbeat->moving_key))
    return false;
  heartbeat->owned_hash = items[4].via.u64;
  heartbeat->reply = flags & FLAG_REPLY;
  heartbeat->promise_wanted = flags & FLAG_PROMISE_WANTED;
  heartbeat->promise_given = flags & FLAG_PROMISE_GIVEN;
  heartbeat->leaving = flags & FLAG_LEAVING;
  heartbeat->joining = flags & FLAG_JOINING;
  heartbeat->peer_count = items[5].via.array.size;
  for (size_t i = 0; i < heartbeat->peer_count; i++) {
    if (!read_peer (&items[5].via.array.ptr[i], &heartbeat->peers[i]))
      return false;
  }
  return true;
}

bool
own_heartbeat_decode (GrStr bytes, OwnHeartbeat *heartbeat, GrErr *err)
{
  memset (heartbeat, 0, sizeof *heartbeat);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, bytes) && read_heartbeat (&unpacked.data, heartbeat);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    gr_err_set (err, GR_ERR_PROTOCOL, "heartbeat", "malformed heartbeat of %zu bytes", bytes.len);
  return ok;
}
