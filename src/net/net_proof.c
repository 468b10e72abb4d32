#include "net/net_proof.h"

#include <msgpack.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "base/gr_pack.h"

/* Handshake messages are small and flat; larger ones are refused before they are unpacked. */
#define HANDSHAKE_MAX_BYTES 1024

static void
append_field (GrBuf *out, GrStr field)
{
  unsigned char len[4] = { (unsigned char) (field.len >> 24), (unsigned char) (field.len >> 16),
                           (unsigned char) (field.len >> 8), (unsigned char) field.len };
  gr_buf_append (out, len, sizeof len);
  gr_buf_append_str (out, field);
}

static void
append_hello (GrBuf *out, const NetHello *hello)
{
  append_field (out, gr_name_str (&hello->vm.vm));
  GrName incarnation = gr_name_format ("%lld", (long long) hello->vm.incarnation);
  append_field (out, gr_name_str (&incarnation));
  append_field (out, gr_name_str (&hello->region));
  append_field (out, (GrStr){ (const char *) hello->nonce, NET_NONCE_BYTES });
}

void
net_proof_make (GrStr key, const NetHello *prover, const NetHello *verifier,
                unsigned char proof[NET_PROOF_BYTES])
{
  GrBuf text = { 0 };
  append_field (&text, GR_STR ("gentianrelay peer 1"));
  append_hello (&text, prover);
  append_hello (&text, verifier);
  unsigned int len = NET_PROOF_BYTES;
  HMAC (EVP_sha256 (), key.data ? key.data : "", (int) key.len, (unsigned char *) text.data,
        text.len, proof, &len);
  gr_buf_clear (&text);
}

bool
net_proof_equal (const unsigned char *a, const unsigned char *b)
{
  return CRYPTO_memcmp (a, b, NET_PROOF_BYTES) == 0;
}

static void
pack_str (msgpack_packer *packer, GrStr s)
{
  msgpack_pack_str (packer, s.len);
  msgpack_pack_str_body (packer, s.data, s.len);
}

void
net_hello_encode (const NetHello *hello, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 5);
  pack_str (&packer, GR_STR ("hello"));
  pack_str (&packer, gr_name_str (&hello->vm.vm));
  msgpack_pack_int64 (&packer, hello->vm.incarnation);
  pack_str (&packer, gr_name_str (&hello->region));
  msgpack_pack_bin (&packer, NET_NONCE_BYTES);
  msgpack_pack_bin_body (&packer, hello->nonce, NET_NONCE_BYTES);
}

static bool
is_str (const msgpack_object *object, GrStr text)
{
  return object->type == MSGPACK_OBJECT_STR
         && gr_str_equal ((GrStr){ object->via.str.ptr, object->via.str.size }, text);
}

static bool
read_name (const msgpack_object *object, GrName *name)
{
  return object->type == MSGPACK_OBJECT_STR
         && gr_name_set (name, (GrStr){ object->via.str.ptr, object->via.str.size })
         && name->len > 0;
}

static bool
read_int64 (const msgpack_object *object, int64_t *value)
{
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
    *value = object->via.i64;
    return true;
  }
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > INT64_MAX)
    return false;
  *value = (int64_t) object->via.u64;
  return true;
}

static bool
unpack_message (msgpack_unpacked *unpacked, GrStr body)
{
  return body.len <= HANDSHAKE_MAX_BYTES && gr_unpack_array (unpacked, body);
}

static bool
decode_hello (const msgpack_object_array *array, NetHello *hello)
{
  if (array->size != 5 || !is_str (&array->ptr[0], GR_STR ("hello"))
      || !read_name (&array->ptr[1], &hello->vm.vm)
      || !read_int64 (&array->ptr[2], &hello->vm.incarnation)
      || !read_name (&array->ptr[3], &hello->region))
    return false;
  const msgpack_object *nonce = &array->ptr[4];
  if (nonce->type != MSGPACK_OBJECT_BIN || nonce->via.bin.size != NET_NONCE_BYTES)
    return false;
  memcpy (hello->nonce, nonce->via.bin.ptr, NET_NONCE_BYTES);
  return true;
}

bool
net_hello_decode (GrStr body, NetHello *hello, GrErr *err)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = unpack_message (&unpacked, body) && decode_hello (&unpacked.data.via.array, hello);
  msgpack_unpacked_destroy (&unpacked);
  return ok || gr_err_set (err, GR_ERR_PROTOCOL, "hello", "malformed hello of %zu bytes", body.len);
}

void
net_proof_encode (const unsigned char proofs[][NET_PROOF_BYTES], size_t count, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 2);
  pack_str (&packer, GR_STR ("proof"));
  msgpack_pack_array (&packer, count);
  for (size_t i = 0; i < count; i++) {
    msgpack_pack_bin (&packer, NET_PROOF_BYTES);
    msgpack_pack_bin_body (&packer, proofs[i], NET_PROOF_BYTES);
  }
}

static bool
decode_proofs (const msgpack_object_array *array, unsigned char proofs[][NET_PROOF_BYTES],
               size_t max, size_t *count)
{
  if (array->size != 2 || !is_str (&array->ptr[0], GR_STR ("proof"))
      || array->ptr[1].type != MSGPACK_OBJECT_ARRAY || array->ptr[1].via.array.size > max)
    return false;
  const msgpack_object_array *list = &array->ptr[1].via.array;
  for (size_t i = 0; i < list->size; i++) {
    const msgpack_object *item = &list->ptr[i];
    if (item->type != MSGPACK_OBJECT_BIN || item->via.bin.size != NET_PROOF_BYTES)
      return false;
    memcpy (proofs[i], item->via.bin.ptr, NET_PROOF_BYTES);
  }
  *count = list->size;
  return true;
}

bool
net_proof_decode (GrStr body, unsigned char proofs[][NET_PROOF_BYTES], size_t max, size_t *count,
                  GrErr *err)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = unpack_message (&unpacked, body)
            && decode_proofs (&unpacked.data.via.array, proofs, max, count);
  msgpack_unpacked_destroy (&unpacked);
  return ok || gr_err_set (err, GR_ERR_PROTOCOL, "proof", "malformed proof of %zu bytes", body.len);
}
