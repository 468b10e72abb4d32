/* Constants and records of the world around the job module; see job_world.hh. */
#pragma once

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "job/job.h"

namespace job_test
{

constexpr int64_t kLeaseMs = 1000;
constexpr int64_t kStepMs = 50;
constexpr int64_t kWindowMs = 20000;
constexpr int kIds = 4;
constexpr int kSchedulers = 2;
/* Rounds without faults after which everything accepted must have ended. */
constexpr int kSettleRounds = 1200;

inline std::string
text (const GrName &name)
{
  return std::string (name.data, name.len);
}

inline GrName
name (const std::string &s)
{
  return gr_name (s.c_str ());
}

struct Choices {
  const std::vector<uint8_t> &bytes;
  size_t next = 0;

  bool
  exhausted () const
  {
    return next >= bytes.size ();
  }

  unsigned
  pick (unsigned count)
  {
    return exhausted () ? 0 : bytes[next++] % count;
  }

  bool
  one_in (unsigned count)
  {
    return !exhausted () && pick (count) == 0;
  }
};

enum class Fate {
  Queued,
  Running,
  Succeeded,
  Failed,
  Stopped
};

struct Attempt {
  Fate fate;
  int scheduler;
  bool cancel = false;
};

using AttemptKey = std::pair<std::string, int>;

/* What really happened to a task, as the targets saw it. */
struct Truth {
  int starts = 0;
  int running = 0;
  bool succeeded = false;
  bool told_not_run = false;
  bool told_cancelled = false;
  bool idempotent = true;
};

struct Place {
  int owner;
  int64_t epoch;
  AttemptKey key;
  int64_t deadline_ms;
  int scheduler;
};

struct Message {
  int to_owner;
  JobMsg msg;
  std::string answer;
};

struct Owner {
  JobState *state = nullptr;
  size_t read = 0; /* records of the log seen */
  int64_t epoch = 0;
  bool owns = false;
  bool paused = false;
  int64_t active_until_ms = 0;
  std::deque<std::pair<int64_t, std::string>> appends; /* in flight, in order */
};

} // namespace job_test
