// Properties of the configuration: all readers of one log agree, the version never decreases, and
// the merge follows its rules for any contents and order of the files. For each property, a variant
// with one rule disabled must violate it; otherwise the property would not detect anything.
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include "cfg/cfg_publication.h"
#include "cfg/cfg_store.h"

namespace
{

constexpr int kChoiceCount = 72;

// Random choices of one case, drawn in advance. Shrinking sets choices to 0, which gives the
// simplest case.
class ChoiceSource
{
public:
  explicit ChoiceSource (const std::vector<uint32_t> &choices) : choices_ (choices)
  {
  }

  // Returns a number from 0 to count - 1; 0 after the last choice.
  int
  pick (int count)
  {
    uint32_t value = at_ < choices_.size () ? choices_[at_++] : 0;
    return static_cast<int> (value % static_cast<uint32_t> (count));
  }

private:
  const std::vector<uint32_t> &choices_;
  size_t at_ = 0;
};

rc::Gen<std::vector<uint32_t>>
choice_lists ()
{
  return rc::gen::resize (100, rc::gen::container<std::vector<uint32_t>> (
                                   kChoiceCount, rc::gen::inRange<uint32_t> (0, 1u << 16)));
}

struct File {
  std::string name;
  std::string text;
};

GrStr
view (const std::string &s)
{
  return GrStr{ s.data (), s.size () };
}

std::string
text_of (GrStr s)
{
  return s.len > 0 ? std::string (s.data, s.len) : std::string ();
}

std::string
text_of (const GrName &name)
{
  return text_of (gr_name_str (&name));
}

std::vector<CfgFile>
views (const std::vector<File> &files)
{
  std::vector<CfgFile> out;
  for (const File &file : files)
    out.push_back (CfgFile{ view (file.name), view (file.text) });
  return out;
}

void
append_value (void *user, GrStr key, GrStr value, const CfgOrigin *origin)
{
  auto *out = static_cast<std::string *> (user);
  *out += text_of (key) + "=" + text_of (value) + "@" + text_of (origin->file) + ":"
          + std::to_string (origin->line) + " " + text_of (origin->author) + "\n";
}

std::string
dump (const CfgTree *tree)
{
  std::string out;
  cfg_tree_values (tree, append_value, &out);
  return out;
}

// Result of one merge: its values or its problems.
struct Merged {
  bool ok = false;
  std::string values;
  std::vector<CfgProblem> problems;
  std::map<std::string, GrRes> quotas;
};

Merged
merge (const std::vector<File> &files, const CfgTreeFaults &faults)
{
  Merged out;
  std::vector<CfgFile> list = views (files);
  CfgProblems problems = {};
  CfgTree *tree = cfg_tree_build (list.data (), list.size (), nullptr, &faults, &problems);
  out.ok = tree != nullptr;
  out.problems.assign (problems.items, problems.items + problems.count);
  if (tree) {
    out.values = dump (tree);
    for (size_t i = 0; i < cfg_team_count (tree); i++)
      out.quotas[text_of (cfg_team_at (tree, i)->name)] = cfg_team_at (tree, i)->quota;
  }
  cfg_tree_free (tree);
  gr_list_clear (&problems);
  return out;
}

// --- one log and its readers -----------------------------------------------------------------

std::string
publication (int64_t base, int content)
{
  static const char *const authors[] = { "Ann", "Bob" };
  std::string text = content == 7 ? "team t { region = }"
                                  : "team t {\n region = r\n priority = "
                                        + std::to_string (content % 7) + "\n}\n";
  std::vector<File> files = { { "a.conf", text } };
  std::vector<CfgFile> list = views (files);
  GrName author = gr_name (authors[content % 2]);
  GrBuf out = {};
  cfg_publication_encode (base, &author, list.data (), list.size (), &out);
  std::string record = text_of (gr_buf_str (&out));
  gr_buf_clear (&out);
  return record;
}

struct Store {
  explicit Store (const CfgStoreFaults &faults) : store (cfg_store_new_faulty (&faults))
  {
  }
  ~Store ()
  {
    cfg_store_free (store);
  }
  Store (const Store &) = delete;
  Store &operator= (const Store &) = delete;

  CfgVerdict
  record (int64_t offset, const std::string &bytes)
  {
    return cfg_store_record (store, offset, view (bytes), &problem);
  }

  std::string
  state () const
  {
    return text_of (cfg_store_record_in_force (store));
  }

  CfgStore *store;
  CfgProblem problem = {};
};

struct Log {
  std::vector<std::string> records;
  std::vector<std::string> states;  // state record after each offset; empty at version 0
  std::vector<int64_t> versions;    // after each offset
  std::vector<int64_t> snapshot_of; // last offset that the state record reflects, or -1
  int64_t latest_start = 0;         // the log alone restores the state for readers from here on
};

// Makes a log of publications based on the version in force, an older and a future one, repeated
// records, late snapshots and malformed records.
Log
make_log (ChoiceSource &source, const CfgStoreFaults &faults, int length)
{
  Log log;
  Store full_reader (faults);
  for (int64_t offset = 0; offset < length; offset++) {
    int64_t version = cfg_store_version (full_reader.store);
    int64_t snapshot_of = -1;
    std::string record;
    int action = source.pick (10);
    if (action >= 8 && offset > 0) {
      int64_t of = source.pick (static_cast<int> (offset));
      record = log.states[static_cast<size_t> (of)];
      if (!record.empty ())
        snapshot_of = of;
    } else if (action == 7 && offset > 0) {
      size_t of = static_cast<size_t> (source.pick (static_cast<int> (offset)));
      record = log.records[of];
      snapshot_of = log.snapshot_of[of];
    } else if (action == 6) {
      record = "garbage";
    } else {
      static const int shifts[] = { 0, 0, 0, -1, -2, 1 };
      int64_t base = version + shifts[source.pick (6)];
      record = publication (base < 0 ? 0 : base, source.pick (8));
    }
    full_reader.record (offset, record);
    log.records.push_back (record);
    log.states.push_back (full_reader.state ());
    log.versions.push_back (cfg_store_version (full_reader.store));
    log.snapshot_of.push_back (snapshot_of);
  }
  log.latest_start = cfg_store_latest_start (full_reader.store);
  return log;
}

void
offer (Store &reader, const Log &log, size_t of)
{
  if (!log.states[of].empty ())
    cfg_store_offer (reader.store, log.versions[of], view (log.states[of]));
}

// A reader may start at any offset, read records twice and receive state records from peers. Once
// it has the state before its first record, it agrees with the reader of the whole log. It has that
// state as soon as a state record, read or received, reflects all offsets before its start.
void
readers_agree (const CfgStoreFaults &faults, const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  const int length = 1 + source.pick (12);
  Log log = make_log (source, faults, length);
  const int64_t start = source.pick (length);
  Store reader (faults);
  bool known = start == 0;
  int64_t at = start;
  while (at < length) {
    int action = source.pick (6);
    if (action == 5) {
      size_t of = static_cast<size_t> (source.pick (length));
      offer (reader, log, of);
      known = known || (!log.states[of].empty () && static_cast<int64_t> (of) >= start - 1);
    } else if (action == 4 && at > start) {
      int64_t back = start + source.pick (static_cast<int> (at - start));
      reader.record (back, log.records[static_cast<size_t> (back)]);
    } else {
      reader.record (at, log.records[static_cast<size_t> (at)]);
      known = known || log.snapshot_of[static_cast<size_t> (at)] >= start - 1;
      at++;
    }
  }
  const int64_t version = log.versions.back ();
  RC_CLASSIFY (version > 1, "several versions");
  RC_CLASSIFY (start > 0 && known, "started late, state restored");
  RC_ASSERT (cfg_store_version (reader.store) <= version);
  RC_CLASSIFY (start > 0 && start <= log.latest_start,
               "started late, state restorable from the log");
  RC_ASSERT (known || start > log.latest_start);
  if (!known) {
    offer (reader, log, log.states.size () - 1);
    known = !log.states.back ().empty ();
  }
  if (known) {
    RC_ASSERT (cfg_store_version (reader.store) == version);
    RC_ASSERT (cfg_store_complete (reader.store));
    RC_ASSERT (cfg_store_next (reader.store) == length);
    RC_ASSERT (reader.state () == log.states.back ());
  }
}

// Neither a record nor a state record from a peer, however old, lowers the version in force; nor
// does an older state from a peer followed by records of the log.
void
version_never_decreases (const CfgStoreFaults &faults, const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  const int length = 1 + source.pick (10);
  Log log = make_log (source, CfgStoreFaults{}, length);
  Store reader (faults);
  int64_t at = source.pick (length);
  int64_t version = 0;
  for (int step = 0; step < 20; step++) {
    int action = source.pick (3);
    if (action == 0 && at < length) {
      reader.record (at, log.records[static_cast<size_t> (at)]);
      at++;
    } else if (action == 1) {
      offer (reader, log, static_cast<size_t> (source.pick (length)));
    } else {
      int64_t back = source.pick (length);
      reader.record (back, log.records[static_cast<size_t> (back)]);
    }
    RC_ASSERT (cfg_store_version (reader.store) >= version);
    version = cfg_store_version (reader.store);
  }
}

// Of several publications based on the same version, only the first valid one is accepted. If
// another one differs, its problem states a key that differs and the file and line that set it.
void
first_valid_publication_is_accepted (const CfgStoreFaults &faults,
                                     const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  Store reader (faults);
  Store second (faults);
  int64_t offset = 0;
  const int rounds = 1 + source.pick (3);
  for (int round = 0; round < rounds; round++) {
    const int64_t base = cfg_store_version (reader.store);
    const int publishers = 2 + source.pick (4);
    int accepted = 0;
    int accepted_content = -1;
    for (int p = 0; p < publishers; p++, offset++) {
      int content = source.pick (8);
      std::string record = publication (base, content);
      CfgVerdict verdict = reader.record (offset, record);
      RC_ASSERT (second.record (offset, record) == verdict);
      RC_ASSERT (memcmp (&reader.problem, &second.problem, sizeof reader.problem) == 0);
      second.record (source.pick (static_cast<int> (offset) + 1), record);
      if (accepted == 0) {
        RC_ASSERT (verdict == (content == 7 ? CFG_REJECTED : CFG_ACCEPTED));
        accepted_content = content;
      } else if (content == accepted_content) {
        RC_ASSERT (verdict == CFG_STALE);
      } else {
        RC_ASSERT (verdict == CFG_CONFLICT);
        if (content != 7 && content % 7 != accepted_content % 7) {
          RC_ASSERT (text_of (reader.problem.key) == "team.t.priority");
          RC_ASSERT (text_of (reader.problem.file) == "a.conf");
          RC_ASSERT (reader.problem.line == 3);
        }
      }
      accepted += verdict == CFG_ACCEPTED;
      if (accepted == 0)
        accepted_content = -1;
    }
    RC_ASSERT (accepted <= 1);
    RC_ASSERT (cfg_store_version (reader.store) == base + accepted);
    RC_ASSERT (cfg_store_version (second.store) == base + accepted);
    RC_ASSERT (second.state () == reader.state ());
  }
}

// --- merge -----------------------------------------------------------------------------------

// One assignment in a generated file.
struct Assignment {
  std::string file;
  int64_t line;
  std::string value;
  bool replaces;
};

struct Folder {
  std::vector<File> files;                               // sorted by name
  std::map<std::string, std::vector<Assignment>> by_key; // in merge order
};

bool is_limit (const std::string &key);

int64_t
count_lines (const std::string &text)
{
  int64_t lines = 0;
  for (char c : text)
    lines += c == '\n';
  return lines;
}

// Makes one file that declares two teams, and one to four files that set their priorities and
// limits, with comments and blank lines in between. On average, one in replace_in changes is listed
// in "replaces".
Folder
make_folder (ChoiceSource &source, int replace_in, bool limits_only)
{
  static const char *const names[] = { "10-a.conf", "2-b.conf", "20-c.conf", "B.conf", "a.conf" };
  static const char *const keys[]
      = { "team.x.priority", "team.y.priority", "limit.x.quota_slots", "limit.y.quota_slots" };
  static const char *const fillers[] = { "", "\n", "# c {\n", "/* a\n b */\n", "// x\n\n" };
  Folder folder;
  folder.files.push_back (
      { names[0], "team x { region = r quota_slots = 3 }\nteam y { region = r }\n" });
  const int count = 2 + source.pick (4);
  for (int f = 1; f < count; f++) {
    std::string body;
    std::string replaces;
    std::vector<std::pair<std::string, Assignment>> set;
    for (const char *name : keys) {
      const std::string key = name;
      if (source.pick (2) == 0 || (limits_only && !is_limit (key)))
        continue;
      const size_t last = key.rfind ('.');
      std::string section = key.substr (0, last);
      section[section.find ('.')] = ' ';
      const std::string value = std::to_string (1 + source.pick (4));
      const bool replace = !folder.by_key[key].empty () && source.pick (replace_in) == 0;
      if (replace)
        replaces += (replaces.empty () ? "\"" : ", \"") + key + "\"";
      body += fillers[source.pick (5)] + section + " {\n" + fillers[source.pick (5)];
      set.emplace_back (key, Assignment{ names[f], 1 + count_lines (body), value, replace });
      body += key.substr (last + 1) + " = " + value + " }\n";
    }
    const std::string head = replaces.empty () ? "" : "replaces = {" + replaces + "}\n";
    for (auto &entry : set) {
      entry.second.line += count_lines (head);
      folder.by_key[entry.first].push_back (entry.second);
    }
    folder.files.push_back ({ names[f], head + body });
  }
  return folder;
}

bool
is_limit (const std::string &key)
{
  return key.compare (0, 6, "limit.") == 0;
}

std::vector<File>
shuffled (ChoiceSource &source, std::vector<File> files)
{
  for (size_t i = files.size (); i > 1; i--)
    std::swap (files[i - 1], files[static_cast<size_t> (source.pick (static_cast<int> (i)))]);
  return files;
}

bool
same_problems (const std::vector<CfgProblem> &a, const std::vector<CfgProblem> &b)
{
  if (a.size () != b.size ())
    return false;
  for (size_t i = 0; i < a.size (); i++) {
    if (memcmp (&a[i], &b[i], sizeof a[i]) != 0)
      return false;
  }
  return true;
}

// The order in which the files are passed affects neither values, origins nor problems. The value
// in force is that of the last file by name that replaces it.
void
order_is_by_name (const CfgTreeFaults &faults, const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  Folder folder = make_folder (source, 1, false);
  Merged ordered = merge (folder.files, faults);
  Merged reordered = merge (shuffled (source, folder.files), faults);
  RC_ASSERT (ordered.ok == reordered.ok);
  RC_ASSERT (ordered.values == reordered.values);
  RC_ASSERT (same_problems (ordered.problems, reordered.problems));
  RC_ASSERT (ordered.ok);
  for (const auto &entry : folder.by_key) {
    if (entry.second.empty ())
      continue;
    const Assignment &last = entry.second.back ();
    std::string line
        = entry.first + "=" + last.value + "@" + last.file + ":" + std::to_string (last.line);
    RC_ASSERT (reordered.values.find (line) != std::string::npos);
  }
}

bool
has_conflict (const Merged &merged, const std::string &key, const Assignment &earlier,
              const Assignment &later)
{
  for (const CfgProblem &problem : merged.problems) {
    if (problem.code == GR_ERR_CONFLICT && text_of (problem.key) == key
        && text_of (problem.file) == later.file && problem.line == later.line
        && text_of (problem.other_file) == earlier.file && problem.other_line == earlier.line)
      return true;
  }
  return false;
}

// Exactly the changes that are not listed in "replaces" of their file are reported, with both files
// and lines.
void
changes_are_reported (const CfgTreeFaults &faults, const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  Folder folder = make_folder (source, 3, false);
  Merged merged = merge (shuffled (source, folder.files), faults);
  size_t expected = 0;
  for (const auto &entry : folder.by_key) {
    if (is_limit (entry.first) || entry.second.empty ())
      continue;
    Assignment current = entry.second.front ();
    for (const Assignment &assignment : entry.second) {
      if (assignment.replaces) {
        current = assignment;
      } else if (assignment.value != current.value) {
        RC_ASSERT (has_conflict (merged, entry.first, current, assignment));
        current = assignment;
        expected++;
      }
    }
  }
  RC_ASSERT (merged.problems.size () == expected);
  RC_ASSERT (merged.ok == (expected == 0));
}

// Of several limits, the smallest since the last replacement is in force. A team's quota in force
// is the smaller one of its own quota and its limit.
void
strictest_limit_holds (const CfgTreeFaults &faults, const std::vector<uint32_t> &choices)
{
  ChoiceSource source (choices);
  Folder folder = make_folder (source, 4, true);
  Merged merged = merge (shuffled (source, folder.files), faults);
  RC_ASSERT (merged.ok);
  for (const char *team : { "x", "y" }) {
    int expected = 0;
    for (const Assignment &assignment :
         folder.by_key[std::string ("limit.") + team + ".quota_slots"]) {
      int value = std::stoi (assignment.value);
      if (expected == 0 || assignment.replaces || value < expected)
        expected = value;
    }
    std::string key = std::string ("limit.") + team + ".quota_slots=";
    std::string line = key + std::to_string (expected) + "@";
    RC_ASSERT ((merged.values.find (key) != std::string::npos) == (expected > 0));
    RC_ASSERT (expected == 0 || merged.values.find (line) != std::string::npos);
    int own = team[0] == 'x' ? 3 : 0;
    int quota = own == 0 ? expected : expected == 0 || own < expected ? own : expected;
    RC_ASSERT (merged.quotas[team].v[GR_RES_SLOTS] == quota);
  }
}

// A malformed text is rejected or accepted independently of the environment, and does not affect
// how the next text is parsed. Both could go wrong because libconfuse's scanner keeps state between
// texts and expands references to environment variables.
void
malformed_text_does_not_affect_later_texts (const CfgTreeFaults &faults,
                                            const std::vector<uint32_t> &choices)
{
  static const char *const pieces[] = {
    "team x { region = r }\n",
    "\"",
    "'",
    "/*",
    "*/",
    "{",
    "}",
    "\\",
    "${GR_TEST}",
    "=",
    "+=",
    "kind k {",
    "replaces = {\"a.b.c\"",
    ",",
    "(",
    ")",
    "#",
    "//",
    "\n",
    "author = \"A\"",
    "\"\\x41\"",
    "\"\\0\"",
    "include(\"a\")",
    "cell {",
    "x",
    " ",
    "\r\n",
    "\xff",
    "priority = 1",
    "kind z { run_ms = \"${GR_TEST}\" }",
    "team \"y\" {",
  };
  ChoiceSource source (choices);
  Folder folder = make_folder (source, 1, false);
  Merged before = merge (folder.files, CfgTreeFaults{});
  std::string text;
  const int count = source.pick (12);
  for (int i = 0; i < count; i++)
    text += pieces[source.pick (static_cast<int> (sizeof pieces / sizeof pieces[0]))];
  RC_LOG () << text << "\n";
  setenv ("GR_TEST", "1", 1);
  Merged malformed = merge ({ { "a.conf", text } }, faults);
  setenv ("GR_TEST", "2", 1);
  Merged elsewhere = merge ({ { "a.conf", text } }, faults);
  RC_ASSERT (elsewhere.values == malformed.values);
  RC_ASSERT (same_problems (elsewhere.problems, malformed.problems));
  RC_ASSERT (malformed.ok == malformed.problems.empty ());
  for (const CfgProblem &problem : malformed.problems)
    RC_ASSERT (problem.line >= 1 && problem.line <= 1 + count_lines (text));
  Merged after = merge (folder.files, CfgTreeFaults{});
  RC_ASSERT (after.values == before.values);
  RC_ASSERT (same_problems (after.problems, before.problems));
}

// --- runs ------------------------------------------------------------------------------------

int failures = 0;

template <typename Faults>
void
check_property (const char *name, void (*property) (const Faults &, const std::vector<uint32_t> &))
{
  bool ok = rc::check (name, [property] {
    const auto choices = *choice_lists ();
    property (Faults{}, choices);
  });
  failures += !ok;
}

// Checks that a variant with a fault violates the property within as many cases as the property is
// checked with.
template <typename Faults>
void
check_fault_detected (const char *fault, const Faults &faults,
                      void (*property) (const Faults &, const std::vector<uint32_t> &))
{
  rc::detail::TestParams params = rc::detail::configuration ().testParams;
  params.disableShrinking = true;
  rc::detail::TestMetadata metadata;
  metadata.id = fault;
  metadata.description = fault;
  // A listener that does nothing: the expected failure must not be listed among those to reproduce.
  rc::detail::TestListenerAdapter no_op_listener;
  const auto result = rc::detail::checkTestable (
      [&faults, property] {
        const auto choices = *choice_lists ();
        property (faults, choices);
      },
      metadata, params, no_op_listener);
  rc::detail::FailureResult failure;
  bool caught = result.match (failure);
  printf ("broken variant %s: %s", fault, caught ? "caught" : "NOT CAUGHT");
  if (caught)
    printf (" after %d cases", failure.numSuccess + 1);
  printf ("\n");
  failures += !caught;
}

CfgStoreFaults
store_fault (bool CfgStoreFaults::*member)
{
  CfgStoreFaults faults = {};
  faults.*member = true;
  return faults;
}

CfgTreeFaults
tree_fault (bool CfgTreeFaults::*member)
{
  CfgTreeFaults faults = {};
  faults.*member = true;
  return faults;
}

} // namespace

int
main ()
{
  check_property ("readers of one log agree", readers_agree);
  check_property ("the version never decreases", version_never_decreases);
  check_property ("one of several concurrent publications is accepted",
                  first_valid_publication_is_accepted);
  check_property ("the merge order is by name", order_is_by_name);
  check_property ("changes without replaces are reported", changes_are_reported);
  check_property ("the strictest limit holds", strictest_limit_holds);
  check_property ("malformed texts do not affect later texts",
                  malformed_text_does_not_affect_later_texts);
  check_fault_detected ("ignore_gap", store_fault (&CfgStoreFaults::ignore_gap), readers_agree);
  check_fault_detected ("ignore_through", store_fault (&CfgStoreFaults::ignore_through),
                        readers_agree);
  check_fault_detected ("offer_any", store_fault (&CfgStoreFaults::offer_any),
                        version_never_decreases);
  check_fault_detected ("ignore_base", store_fault (&CfgStoreFaults::ignore_base),
                        first_valid_publication_is_accepted);
  check_fault_detected ("given_order", tree_fault (&CfgTreeFaults::given_order), order_is_by_name);
  check_fault_detected ("silent_change", tree_fault (&CfgTreeFaults::silent_change),
                        changes_are_reported);
  check_fault_detected ("loosest_limit", tree_fault (&CfgTreeFaults::loosest_limit),
                        strictest_limit_holds);
  check_fault_detected ("unchecked", tree_fault (&CfgTreeFaults::unchecked),
                        malformed_text_does_not_affect_later_texts);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
