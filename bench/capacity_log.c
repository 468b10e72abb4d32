/* Cost of the log writer and reader per record and append, and the rate of appends against the
   number of entry VMs, for the capacity page. Prints name=value lines. */
#include <msgpack.h>
#include <stdlib.h>

#include "capacity.h"
#include "lgs/lgs.h"

#define RECORD_BYTES 400
#define APPENDS 4000
/* As in node_stream.c: tick of the writer while records are pending, appends per second that all
   entry VMs share, and minimum interval between the appends of one VM. */
#define WRITER_TICK_MS 5
#define APPENDS_PER_S 200
#define APPEND_INTERVAL_MIN_MS 5
/* Assumed time in which the store answers an append. */
#define STORE_ANSWER_MS 10

static LgsOptions
make_options (void)
{
  LgsOptions options = { .stream = gr_name ("jobs-north"), .seed = 1 };
  options.self.vm = gr_name ("entry-01");
  options.self.incarnation = 1733299200000;
  lgs_options_defaults (&options);
  return options;
}

static int
write_buf (void *user, const char *data, size_t len)
{
  gr_buf_append (user, data, len);
  return 0;
}

static void
count_record (void *user, int64_t offset, const GrVmRef *writer, GrStr record)
{
  (void) offset;
  (void) writer;
  (void) record;
  ++*(int64_t *) user;
}

typedef struct {
  double write_us, read_us; /* per append */
  double append_bytes;
  double answer_bytes; /* size of one append in the answer to a read */
} Cost;

static Cost
measure (size_t records, size_t record_bytes)
{
  static const char data[4096];
  LgsOptions options = make_options ();
  options.group_interval_ms = 1;
  LgsWriter *writer = lgs_writer_new (&options, NULL);
  GrBuf answer = { 0 };
  msgpack_packer pk;
  msgpack_packer_init (&pk, &answer, write_buf);
  msgpack_pack_array (&pk, 3);
  msgpack_pack_int64 (&pk, 0);
  msgpack_pack_int64 (&pk, APPENDS);
  msgpack_pack_array (&pk, APPENDS);
  Cost cost = { 0 };
  LgsCmds cmds = { 0 };
  int64_t offset = 0;
  for (int64_t now = 1; offset < APPENDS; now++) {
    double start = capacity_cpu_us ();
    for (size_t i = 0; i < records; i++)
      lgs_writer_add (writer, (int64_t) i, (GrStr){ data, record_bytes }, NULL);
    gr_list_reset (&cmds);
    lgs_writer_tick (writer, now, &cmds);
    cost.write_us += capacity_cpu_us () - start;
    int64_t seq = 0;
    for (size_t i = 0; i < cmds.count; i++) {
      if (cmds.items[i].kind != LGS_CMD_APPEND)
        continue;
      seq = cmds.items[i].seq;
      cost.append_bytes += (double) cmds.items[i].bytes.len;
      msgpack_pack_array (&pk, 2);
      msgpack_pack_int64 (&pk, offset++);
      msgpack_pack_bin (&pk, cmds.items[i].bytes.len);
      msgpack_pack_bin_body (&pk, cmds.items[i].bytes.data, cmds.items[i].bytes.len);
    }
    gr_list_reset (&cmds);
    start = capacity_cpu_us ();
    lgs_writer_outcome (writer, seq, LGS_APPEND_OK, now, &cmds);
    cost.write_us += capacity_cpu_us () - start;
  }
  LgsReader *reader = lgs_reader_new (&options, 0, NULL);
  int64_t taken = 0;
  bool at_end;
  bool gap;
  double start = capacity_cpu_us ();
  bool ok
      = lgs_reader_take (reader, gr_buf_str (&answer), count_record, &taken, &at_end, &gap, NULL);
  cost.read_us = (capacity_cpu_us () - start) / APPENDS;
  if (!ok || taken != (int64_t) records * APPENDS)
    fprintf (stderr, "read %lld records\n", (long long) taken);
  cost.write_us /= APPENDS;
  cost.append_bytes /= APPENDS;
  cost.answer_bytes = (double) answer.len / APPENDS;
  gr_list_clear (&cmds);
  gr_buf_clear (&answer);
  lgs_reader_free (reader);
  lgs_writer_free (writer);
  return cost;
}

/* Appends per second of one writer that always has records to write, at the interval used with
   entry_vms entry VMs. */
static double
appends_per_s (int64_t entry_vms)
{
  LgsOptions options = make_options ();
  int64_t interval = entry_vms * 1000 / APPENDS_PER_S;
  options.group_interval_ms = interval < APPEND_INTERVAL_MIN_MS ? APPEND_INTERVAL_MIN_MS : interval;
  LgsWriter *writer = lgs_writer_new (&options, NULL);
  LgsCmds cmds = { 0 };
  int64_t appends = 0;
  int64_t seq = 0;
  int64_t answer_at_ms = INT64_MAX;
  for (int64_t now = 0; now < 100000; now += WRITER_TICK_MS) {
    if (now >= answer_at_ms) {
      gr_list_reset (&cmds);
      lgs_writer_outcome (writer, seq, LGS_APPEND_OK, now, &cmds);
      answer_at_ms = INT64_MAX;
    }
    lgs_writer_add (writer, now, GR_STR ("record"), NULL);
    gr_list_reset (&cmds);
    lgs_writer_tick (writer, now, &cmds);
    for (size_t i = 0; i < cmds.count; i++) {
      if (cmds.items[i].kind == LGS_CMD_APPEND) {
        appends++;
        seq = cmds.items[i].seq;
        answer_at_ms = now + STORE_ANSWER_MS;
      }
    }
  }
  gr_list_clear (&cmds);
  lgs_writer_free (writer);
  return (double) appends / 100;
}

int
main (void)
{
  static const size_t counts[] = { 1, 4, 16, 64 };
  enum {
    SIZES = sizeof counts / sizeof counts[0]
  };
  Cost c[SIZES];
  for (size_t i = 0; i < SIZES; i++) {
    c[i] = measure (counts[i], RECORD_BYTES);
    printf ("log_write_us_per_append_records_%zu=%.2f\n", counts[i], c[i].write_us);
    printf ("log_read_us_per_append_records_%zu=%.2f\n", counts[i], c[i].read_us);
    printf ("log_append_bytes_records_%zu=%.1f\n", counts[i], c[i].append_bytes);
  }
  double x0 = (double) counts[0];
  double x1 = (double) counts[SIZES - 1];
  const Cost *a = &c[0];
  const Cost *b = &c[SIZES - 1];
  double record = capacity_slope (a->append_bytes, b->append_bytes, x0, x1);
  printf ("log_write_us_per_record=%.3f\n", capacity_slope (a->write_us, b->write_us, x0, x1));
  printf ("log_read_us_per_record=%.3f\n", capacity_slope (a->read_us, b->read_us, x0, x1));
  printf ("log_framing_bytes_per_record=%.2f\n", record - RECORD_BYTES);
  printf ("log_framing_bytes_per_append=%.1f\n", a->append_bytes - record);
  printf ("log_read_framing_bytes_per_append=%.1f\n", a->answer_bytes - a->append_bytes);
  Cost large = measure (1, 4000);
  printf ("log_write_us_per_kb=%.3f\n", (large.write_us - a->write_us) / (4.0 - 0.4));
  printf ("log_read_us_per_kb=%.3f\n", (large.read_us - a->read_us) / (4.0 - 0.4));
  static const int64_t vms[] = { 3, 9, 18, 36, 72 };
  for (size_t i = 0; i < sizeof vms / sizeof vms[0]; i++) {
    double rate = appends_per_s (vms[i]);
    printf ("log_appends_per_s_per_writer_vms_%lld=%.2f\n", (long long) vms[i], rate);
    printf ("log_appends_per_s_all_vms_%lld=%.1f\n", (long long) vms[i], rate * (double) vms[i]);
  }
  return 0;
}
