/* Reads a stream: drops duplicate appends by writer and sequence number, reports gaps left by
   retention. */
#include "lgs/lgs.h"

#include <msgpack.h>
#include <stdlib.h>

#include "base/gr_pack.h"

/* Newest sequence number of one writer. */
typedef struct {
  GrVmRef writer;
  int64_t seq;
} WriterSeq;

struct LgsReader {
  LgsOptions options;
  int64_t next;                    /* offset to read next */
  int64_t skipped;                 /* malformed appends */
  GR_LIST (WriterSeq) writer_seqs; /* sorted by VM id and incarnation */
};

LgsReader *
lgs_reader_new (const LgsOptions *options, int64_t from_offset, GrErr *err)
{
  LgsOptions checked = *options;
  lgs_options_defaults (&checked);
  if (from_offset < 0) {
    gr_err_set (err, GR_ERR_INVALID, "from_offset", "must not be negative");
    return NULL;
  }
  LgsReader *reader = gr_calloc (1, sizeof *reader);
  reader->options = checked;
  reader->next = from_offset;
  return reader;
}

void
lgs_reader_free (LgsReader *reader)
{
  if (!reader)
    return;
  gr_list_clear (&reader->writer_seqs);
  free (reader);
}

int64_t
lgs_reader_next (const LgsReader *reader)
{
  return reader->next;
}

int64_t
lgs_reader_skipped (const LgsReader *reader)
{
  return reader->skipped;
}

static int
compare_refs (const GrVmRef *a, const GrVmRef *b)
{
  int order = gr_name_compare (&a->vm, &b->vm);
  if (order != 0)
    return order;
  return (a->incarnation > b->incarnation) - (a->incarnation < b->incarnation);
}

/* Returns the entry of a writer, created with seq 0 if there is none. */
static WriterSeq *
find_or_add_writer_seq (LgsReader *reader, const GrVmRef *writer)
{
  size_t low = 0, high = reader->writer_seqs.count;
  while (low < high) {
    size_t middle = (low + high) / 2;
    if (compare_refs (&reader->writer_seqs.items[middle].writer, writer) < 0)
      low = middle + 1;
    else
      high = middle;
  }
  if (low < reader->writer_seqs.count
      && gr_vm_ref_equal (&reader->writer_seqs.items[low].writer, writer))
    return &reader->writer_seqs.items[low];
  WriterSeq newest = { .writer = *writer };
  gr_list_push (&reader->writer_seqs, newest);
  memmove (&reader->writer_seqs.items[low + 1], &reader->writer_seqs.items[low],
           (reader->writer_seqs.count - 1 - low) * sizeof newest);
  reader->writer_seqs.items[low] = newest;
  return &reader->writer_seqs.items[low];
}

static bool
get_int (const msgpack_object *object, int64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 >= INT64_MAX)
    return false;
  *value = (int64_t) object->via.u64;
  return true;
}

static bool
is_bytes (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_BIN;
}

/* Returns true if root is [vm, incarnation, seq, [record, ...]], and stores all but the records. */
static bool
check_body (const msgpack_object *root, GrVmRef *writer, int64_t *seq)
{
  if (root->via.array.size < 4)
    return false;
  const msgpack_object *items = root->via.array.ptr;
  if (items[0].type != MSGPACK_OBJECT_STR || items[0].via.str.size == 0
      || !gr_name_set (&writer->vm, (GrStr){ items[0].via.str.ptr, items[0].via.str.size })
      || !get_int (&items[1], &writer->incarnation) || !get_int (&items[2], seq) || *seq < 1
      || items[3].type != MSGPACK_OBJECT_ARRAY)
    return false;
  for (size_t i = 0; i < items[3].via.array.size; i++) {
    if (!is_bytes (&items[3].via.array.ptr[i]))
      return false;
  }
  return true;
}

static void
deliver (LgsReader *reader, int64_t offset, GrStr body, LgsRecordFunc func, void *user)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  GrVmRef writer;
  int64_t seq;
  if (gr_unpack_array (&unpacked, body) && check_body (&unpacked.data, &writer, &seq)) {
    WriterSeq *newest = find_or_add_writer_seq (reader, &writer);
    if (seq > newest->seq || reader->options.fault_no_dedupe) {
      if (seq > newest->seq)
        newest->seq = seq;
      const msgpack_object_array *records = &unpacked.data.via.array.ptr[3].via.array;
      for (size_t i = 0; i < records->size; i++)
        func (user, offset, &writer,
              (GrStr){ records->ptr[i].via.bin.ptr, records->ptr[i].via.bin.size });
    }
  } else {
    /* A malformed append is skipped; an error would stop every reader permanently. */
    reader->skipped++;
  }
  msgpack_unpacked_destroy (&unpacked);
}

/* Returns true if root is [first, end, [[offset, bin], ...]] with offsets in [first, end) that rise
   by one, and stores first and end. */
static bool
check_response (const msgpack_object *root, int64_t *first, int64_t *end)
{
  if (root->via.array.size < 3)
    return false;
  const msgpack_object *items = root->via.array.ptr;
  if (!get_int (&items[0], first) || !get_int (&items[1], end) || *first > *end
      || items[2].type != MSGPACK_OBJECT_ARRAY)
    return false;
  int64_t previous = -1;
  for (size_t i = 0; i < items[2].via.array.size; i++) {
    const msgpack_object *entry = &items[2].via.array.ptr[i];
    int64_t offset;
    if (entry->type != MSGPACK_OBJECT_ARRAY || entry->via.array.size < 2
        || !get_int (&entry->via.array.ptr[0], &offset) || !is_bytes (&entry->via.array.ptr[1])
        || offset < *first || offset >= *end || (i > 0 && offset != previous + 1))
      return false;
    previous = offset;
  }
  return true;
}

bool
lgs_reader_take (LgsReader *reader, GrStr response, LgsRecordFunc func, void *user, bool *at_end,
                 bool *gap, GrErr *err)
{
  *at_end = false;
  *gap = false;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  int64_t first = 0, end = 0;
  bool ok = gr_unpack_array (&unpacked, response) && check_response (&unpacked.data, &first, &end);
  if (ok) {
    const msgpack_object_array *entries = &unpacked.data.via.array.ptr[2].via.array;
    int64_t expected = first > reader->next ? first : reader->next;
    /* A response that starts above the requested offset would skip records. */
    if (entries->size > 0 && (int64_t) entries->ptr[0].via.array.ptr[0].via.u64 > expected)
      ok = false;
  }
  if (ok) {
    const msgpack_object_array *entries = &unpacked.data.via.array.ptr[2].via.array;
    if (first > reader->next) {
      *gap = true;
      reader->next = first;
    }
    for (size_t i = 0; i < entries->size; i++) {
      const msgpack_object *entry = entries->ptr[i].via.array.ptr;
      int64_t offset = (int64_t) entry[0].via.u64;
      if (offset < reader->next)
        continue;
      reader->next = offset + 1;
      deliver (reader, offset, (GrStr){ entry[1].via.bin.ptr, entry[1].via.bin.size }, func, user);
    }
    *at_end = reader->next == end;
  } else {
    gr_err_set (err, GR_ERR_PROTOCOL, "log", "malformed response of %zu bytes", response.len);
  }
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}

void
lgs_reader_save (const LgsReader *reader, GrBuf *out)
{
  msgpack_packer packer;
  gr_pack_init (&packer, out);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_int64 (&packer, reader->next);
  msgpack_pack_array (&packer, reader->writer_seqs.count);
  for (size_t i = 0; i < reader->writer_seqs.count; i++) {
    const WriterSeq *entry = &reader->writer_seqs.items[i];
    msgpack_pack_array (&packer, 3);
    msgpack_pack_str (&packer, entry->writer.vm.len);
    msgpack_pack_str_body (&packer, entry->writer.vm.data, entry->writer.vm.len);
    msgpack_pack_int64 (&packer, entry->writer.incarnation);
    msgpack_pack_int64 (&packer, entry->seq);
  }
}

static bool
load_writer_seq (LgsReader *reader, const msgpack_object *entry)
{
  if (entry->type != MSGPACK_OBJECT_ARRAY || entry->via.array.size < 3)
    return false;
  const msgpack_object *items = entry->via.array.ptr;
  WriterSeq newest = { 0 };
  if (items[0].type != MSGPACK_OBJECT_STR
      || !gr_name_set (&newest.writer.vm, (GrStr){ items[0].via.str.ptr, items[0].via.str.size })
      || !get_int (&items[1], &newest.writer.incarnation) || !get_int (&items[2], &newest.seq))
    return false;
  find_or_add_writer_seq (reader, &newest.writer)->seq = newest.seq;
  return true;
}

LgsReader *
lgs_reader_restore (const LgsOptions *options, GrStr saved, GrErr *err)
{
  LgsReader *reader = lgs_reader_new (options, 0, err);
  if (!reader)
    return NULL;
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  bool ok = gr_unpack_array (&unpacked, saved) && unpacked.data.via.array.size >= 2
            && get_int (&unpacked.data.via.array.ptr[0], &reader->next)
            && unpacked.data.via.array.ptr[1].type == MSGPACK_OBJECT_ARRAY;
  if (ok) {
    const msgpack_object_array *entries = &unpacked.data.via.array.ptr[1].via.array;
    for (size_t i = 0; ok && i < entries->size; i++)
      ok = load_writer_seq (reader, &entries->ptr[i]);
  }
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    return reader;
  gr_err_set (err, GR_ERR_PROTOCOL, "saved", "malformed reader state of %zu bytes", saved.len);
  lgs_reader_free (reader);
  return NULL;
}
