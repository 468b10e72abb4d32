/* Log streams over a store that refuses, loses, delays and duplicates appends. Guards against
   committed records that a reader misses, delivers twice or delivers out of order, against an
   unbounded queue, and against refused records that reach a reader. */
#include <map>
#include <queue>
#include <set>
#include <string>

#include <msgpack.h>
#include <rapidcheck.h>

#include "lgs/lgs.h"

namespace
{

struct Schedule {
  uint64_t seed;
  int writers;
  int length_ms;
  int outages;
  int fault_permille; /* per mille of appends outside outages that meet a store fault */
};

std::ostream &
operator<< (std::ostream &out, const Schedule &schedule)
{
  return out << "seed " << schedule.seed << ", " << schedule.writers << " writers, "
             << schedule.length_ms << " ms, " << schedule.outages << " outages, faults per mille "
             << schedule.fault_permille;
}

struct Rng {
  uint64_t state;

  int64_t
  range (int64_t low, int64_t high)
  {
    uint64_t z = (state += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    z ^= z >> 31;
    return low + (int64_t) (z % (uint64_t) (high - low + 1));
  }
};

struct Event {
  int64_t at;
  uint64_t order;
  int kind; /* 0: an append reaches the log, 1: an outcome arrives */
  size_t writer;
  int64_t generation; /* of the writer; an outcome for an earlier one is dropped */
  int64_t seq;
  LgsAppendOutcome outcome;
  std::string bytes;

  bool
  operator<(const Event &other) const
  {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct Writer {
  LgsWriter *lgs = nullptr;
  int64_t generation = 0; /* number of the process; a restart begins a new one */
  int64_t next_token = 0;
  std::vector<std::string> accepted; /* records of this generation by token */
};

struct Reader {
  LgsReader *lgs = nullptr;
  std::vector<std::string> records; /* delivered, as "vm/incarnation: record" */
};

struct Result {
  std::string violation;
  int64_t committed = 0, refused = 0, retries = 0, duplicates = 0;
};

constexpr int64_t QUEUE_MAX = 24;

void
on_record (void *user, int64_t, const GrVmRef *writer, GrStr record)
{
  auto *reader = static_cast<Reader *> (user);
  reader->records.push_back (std::string (writer->vm.data, writer->vm.len) + "/"
                             + std::to_string (writer->incarnation) + ": "
                             + std::string (record.data, record.len));
}

std::string
read_response (const std::vector<std::string> &log, int64_t from, int64_t max)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  int64_t end = (int64_t) log.size ();
  int64_t count = std::max<int64_t> (0, std::min (max, end - from));
  msgpack_pack_array (&packer, 3);
  msgpack_pack_int64 (&packer, 0);
  msgpack_pack_int64 (&packer, end);
  msgpack_pack_array (&packer, (size_t) count);
  for (int64_t offset = from; offset < from + count; offset++) {
    const std::string &bytes = log[(size_t) offset];
    msgpack_pack_array (&packer, 2);
    msgpack_pack_int64 (&packer, offset);
    msgpack_pack_bin (&packer, bytes.size ());
    msgpack_pack_bin_body (&packer, bytes.data (), bytes.size ());
  }
  std::string text (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return text;
}

class Run
{
public:
  Run (const Schedule &schedule, bool new_seq, bool no_dedupe)
      : m_schedule (schedule), m_rng{ schedule.seed }, m_no_dedupe (no_dedupe)
  {
    m_options.stream = gr_name ("jobs-r1");
    m_options.queue_max_records = QUEUE_MAX;
    m_options.append_max_bytes = 200;
    m_options.seed = schedule.seed;
    m_options.fault_new_seq_on_retry = new_seq;
    m_options.fault_no_dedupe = no_dedupe;
    m_writers.resize ((size_t) schedule.writers);
    for (size_t w = 0; w < m_writers.size (); w++)
      start_writer (w);
    m_readers.resize (3);
    for (Reader &reader : m_readers)
      reader.lgs = lgs_reader_new (&m_options, 0, nullptr);
    for (int i = 0; i < schedule.outages; i++) {
      int64_t start = m_rng.range (0, schedule.length_ms);
      m_outages.push_back ({ start, start + m_rng.range (100, 4000) });
    }
  }

  ~Run ()
  {
    for (Writer &writer : m_writers)
      lgs_writer_free (writer.lgs);
    for (Reader &reader : m_readers)
      lgs_reader_free (reader.lgs);
  }

  Result
  run ()
  {
    /* The last 12 s have no faults, so that every accepted record of a running writer commits. */
    int64_t end = m_schedule.length_ms + 12000;
    for (m_now = 0; m_now < end && m_result.violation.empty (); m_now += 10) {
      while (!m_events.empty () && m_events.top ().at <= m_now) {
        Event event = m_events.top ();
        m_events.pop ();
        if (event.kind == 0) {
          m_log.push_back (event.bytes);
        } else if (m_writers[event.writer].generation == event.generation) {
          LgsCmds cmds = {};
          lgs_writer_outcome (m_writers[event.writer].lgs, event.seq, event.outcome, m_now, &cmds);
          execute (event.writer, &cmds);
        }
      }
      for (size_t w = 0; w < m_writers.size (); w++)
        tick_writer (w);
      for (size_t r = 0; r < m_readers.size (); r++)
        tick_reader (r);
    }
    if (m_result.violation.empty ())
      check ();
    return m_result;
  }

private:
  void
  start_writer (size_t w)
  {
    Writer &writer = m_writers[w];
    lgs_writer_free (writer.lgs);
    writer.generation++;
    writer.next_token = 0;
    writer.accepted.clear ();
    LgsOptions options = m_options;
    options.self.vm = gr_name_format ("e%d", (int) w);
    options.self.incarnation = 1000 + writer.generation;
    writer.lgs = lgs_writer_new (&options, nullptr);
  }

  std::string
  origin (size_t w) const
  {
    return "e" + std::to_string (w) + "/" + std::to_string (1000 + m_writers[w].generation) + ": ";
  }

  bool
  store_down () const
  {
    for (const auto &outage : m_outages) {
      if (m_now >= outage.first && m_now < outage.second)
        return true;
    }
    return false;
  }

  void
  tick_writer (size_t w)
  {
    Writer &writer = m_writers[w];
    if (m_now < m_schedule.length_ms) {
      if (m_rng.range (0, 999) < 2) {
        start_writer (w);
        return;
      }
      for (int64_t n = m_rng.range (0, 20) == 0 ? m_rng.range (1, 8) : 0; n > 0; n--) {
        std::string record
            = std::to_string (writer.next_token) + std::string ((size_t) m_rng.range (0, 60), 'x');
        GrErr err = {};
        if (lgs_writer_add (writer.lgs, writer.next_token, { record.data (), record.size () },
                            &err)) {
          m_added.insert (origin (w) + record);
          writer.accepted.push_back (record);
          writer.next_token++;
        } else {
          m_result.refused++;
          if (err.code != GR_ERR_OVERLOADED)
            m_result.violation = "a full queue returned an error other than GR_ERR_OVERLOADED";
          /* The next accepted record gets the same token with other bytes. */
          m_refused.insert (origin (w) + record);
        }
      }
    }
    if ((int64_t) lgs_writer_queued (writer.lgs) > QUEUE_MAX)
      m_result.violation = "the queue exceeds its bound";
    LgsCmds cmds = {};
    lgs_writer_tick (writer.lgs, m_now, &cmds);
    execute (w, &cmds);
  }

  void
  push (int kind, int64_t delay, size_t w, int64_t seq, LgsAppendOutcome outcome,
        const std::string &bytes)
  {
    m_events.push (
        { m_now + delay, m_order++, kind, w, m_writers[w].generation, seq, outcome, bytes });
  }

  void
  execute (size_t w, LgsCmds *cmds)
  {
    for (size_t c = 0; c < cmds->count; c++) {
      const LgsCmd &cmd = cmds->items[c];
      if (cmd.kind == LGS_CMD_COMMITTED) {
        m_committed.insert (origin (w) + m_writers[w].accepted[(size_t) cmd.token]);
        m_result.committed++;
        continue;
      }
      std::string bytes (cmd.bytes.data, cmd.bytes.len);
      m_result.retries += !m_sent.insert (bytes).second;
      bool faulty = m_now < m_schedule.length_ms
                    && (store_down () || m_rng.range (0, 999) < m_schedule.fault_permille);
      switch (faulty ? m_rng.range (0, 4) : 5) {
      case 0:
        push (1, 5, w, cmd.seq, LGS_APPEND_REFUSED, "");
        break;
      case 1: /* the request is lost */
        push (1, 300, w, cmd.seq, LGS_APPEND_UNKNOWN, "");
        break;
      case 2: /* the response is lost */
        push (0, 5, w, cmd.seq, LGS_APPEND_OK, bytes);
        push (1, 300, w, cmd.seq, LGS_APPEND_UNKNOWN, "");
        break;
      case 3: /* reaches the log late, possibly after later appends */
        push (0, m_rng.range (300, 9000), w, cmd.seq, LGS_APPEND_OK, bytes);
        push (1, 300, w, cmd.seq, LGS_APPEND_UNKNOWN, "");
        break;
      case 4: /* reaches the log twice */
        push (0, 5, w, cmd.seq, LGS_APPEND_OK, bytes);
        push (0, m_rng.range (5, 9000), w, cmd.seq, LGS_APPEND_OK, bytes);
        push (1, 10, w, cmd.seq, LGS_APPEND_OK, "");
        break;
      default:
        push (0, 5, w, cmd.seq, LGS_APPEND_OK, bytes);
        push (1, 10, w, cmd.seq, LGS_APPEND_OK, "");
        break;
      }
    }
    gr_list_clear (cmds);
  }

  void
  tick_reader (size_t r)
  {
    Reader &reader = m_readers[r];
    if (m_rng.range (0, 9) != 0 || (store_down () && m_now < m_schedule.length_ms))
      return;
    /* A response may stop before the end of the stream or repeat records that were read already. */
    int64_t next = lgs_reader_next (reader.lgs);
    int64_t from = std::max<int64_t> (0, next - m_rng.range (0, 2));
    std::string bytes = read_response (m_log, from, m_rng.range (1, 40));
    bool at_end = false, gap = false;
    GrErr err = {};
    if (!lgs_reader_take (reader.lgs, { bytes.data (), bytes.size () }, on_record, &reader, &at_end,
                          &gap, &err)
        || gap)
      m_result.violation = "a reader refused a valid response or reported a gap";
    if (at_end != (lgs_reader_next (reader.lgs) == (int64_t) m_log.size ()))
      m_result.violation = "a reader reports a wrong end of the stream";
    /* One reader is restored from its snapshot from time to time. */
    if (r == 1 && m_rng.range (0, 19) == 0) {
      GrBuf saved = {};
      lgs_reader_save (reader.lgs, &saved);
      lgs_reader_free (reader.lgs);
      reader.lgs = lgs_reader_restore (&m_options, gr_buf_str (&saved), nullptr);
      gr_buf_clear (&saved);
    }
  }

  void
  check ()
  {
    for (size_t r = 0; r < m_readers.size (); r++) {
      Reader &reader = m_readers[r];
      for (bool at_end = false; !at_end;) {
        std::string bytes = read_response (m_log, lgs_reader_next (reader.lgs), 100);
        bool gap;
        if (!lgs_reader_take (reader.lgs, { bytes.data (), bytes.size () }, on_record, &reader,
                              &at_end, &gap, nullptr))
          break;
      }
      if (reader.records != m_readers[0].records)
        m_result.violation = "readers deliver different records";
    }
    std::set<std::string> seen;
    std::map<std::string, int64_t> newest;
    for (const std::string &record : m_readers[0].records) {
      if (!seen.insert (record).second)
        m_result.violation = "a record appears twice: " + record.substr (0, 20);
      if (m_refused.count (record) && !m_added.count (record))
        m_result.violation = "a refused record appears";
      size_t colon = record.find (": ");
      int64_t token = atoll (record.c_str () + colon + 2);
      auto at = newest.emplace (record.substr (0, colon), -1).first;
      if (token <= at->second)
        m_result.violation = "records of one writer are out of order";
      at->second = token;
    }
    for (const std::string &record : m_committed) {
      if (!seen.count (record))
        m_result.violation = "a committed record is missing";
    }
    for (size_t w = 0; w < m_writers.size (); w++) {
      if (lgs_writer_queued (m_writers[w].lgs) > 0 || lgs_writer_stalled (m_writers[w].lgs))
        m_result.violation = "a queue does not drain after the faults";
      for (const std::string &record : m_writers[w].accepted) {
        if (!seen.count (origin (w) + record))
          m_result.violation = "an accepted record of a running writer is missing";
      }
    }
    m_result.duplicates = (int64_t) m_log.size ()
                          - (int64_t) std::set<std::string> (m_log.begin (), m_log.end ()).size ();
  }

  Schedule m_schedule;
  Rng m_rng;
  bool m_no_dedupe;
  LgsOptions m_options = {};
  int64_t m_now = 0;
  uint64_t m_order = 0;
  std::vector<Writer> m_writers;
  std::vector<Reader> m_readers;
  std::vector<std::pair<int64_t, int64_t>> m_outages;
  std::vector<std::string> m_log;
  std::priority_queue<Event> m_events;
  std::set<std::string> m_added, m_refused, m_committed, m_sent;
  Result m_result;
};

rc::Gen<int>
whole_range (int low, int high)
{
  return rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high + 1));
}

bool
readers_see_each_committed_record_once ()
{
  Result sum;
  int64_t runs = 0;
  bool ok = rc::check ("committed records: none lost, repeated or reordered; bounded queue", [&] {
    Schedule schedule = *rc::gen::build<Schedule> (
        rc::gen::set (&Schedule::seed, rc::gen::arbitrary<uint64_t> ()),
        rc::gen::set (&Schedule::writers, whole_range (1, 3)),
        rc::gen::set (&Schedule::length_ms, whole_range (500, 6000)),
        rc::gen::set (&Schedule::outages, whole_range (0, 3)),
        rc::gen::set (&Schedule::fault_permille, whole_range (0, 600)));
    Result result = Run (schedule, false, false).run ();
    runs++;
    sum.committed += result.committed;
    sum.refused += result.refused;
    sum.retries += result.retries;
    sum.duplicates += result.duplicates;
    if (!result.violation.empty ())
      RC_FAIL (result.violation);
  });
  printf ("log streams: schedules=%lld committed=%lld refused=%lld retries=%lld duplicates=%lld\n",
          (long long) runs, (long long) sum.committed, (long long) sum.refused,
          (long long) sum.retries, (long long) sum.duplicates);
  return ok && sum.refused > 0 && sum.duplicates > 0;
}

/* Returns true if a writer or reader with the fault violates the property within 200 seeds. */
bool
broken_variant_is_caught (const char *name, bool new_seq, bool no_dedupe)
{
  for (uint64_t seed = 1; seed <= 200; seed++) {
    Result result = Run ({ seed, 2, 3000, 2, 300 }, new_seq, no_dedupe).run ();
    if (!result.violation.empty ()) {
      printf ("%s: caught at seed %llu: %s\n", name, (unsigned long long) seed,
              result.violation.c_str ());
      return true;
    }
  }
  printf ("%s: NOT caught in 200 seeds\n", name);
  return false;
}

} // namespace

int
main ()
{
  bool ok = readers_see_each_committed_record_once ();
  ok = broken_variant_is_caught ("fault_new_seq_on_retry", true, false) && ok;
  ok = broken_variant_is_caught ("fault_no_dedupe", false, true) && ok;
  return ok ? 0 : 1;
}
