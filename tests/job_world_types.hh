/* Constants and types of the simulation in job_world.hh. */
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
constexpr int64_t kDeadlineMs = 20000;
constexpr int kIds = 4;
constexpr int kSchedulers = 2;
/* Number of rounds without faults within which all accepted work must end. */
constexpr int kFaultFreeRounds = 1200;

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

/* Random choices taken from a byte string; every choice is 0 or false once it is used up. */
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

enum class AttemptState {
  Queued,
  Running,
  Succeeded,
  Failed,
  Stopped
};

/* An attempt that a scheduler has. */
struct Attempt {
  AttemptState state;
  int scheduler;
  bool cancel = false; /* stop instead of succeed or fail */
};

/* Task id and attempt number. */
using AttemptKey = std::pair<std::string, int>;

/* What happened to a task on the targets, and which replies were sent about its job. */
struct TaskHistory {
  int starts = 0;
  int running = 0;
  bool succeeded = false;
  bool failed = false; /* an attempt failed or was lost with its target */
  bool replied_not_run = false;
  bool replied_cancelled = false;
  bool idempotent = true;
};

/* A PLACE command on its way to a scheduler. */
struct Place {
  int owner;
  int64_t epoch;
  AttemptKey key;
  int64_t deadline_ms;
  int scheduler;
};

/* A message on its way to an owner. */
struct Message {
  int to_owner;
  JobMsg msg;
  std::string answer; /* of a report */
};

/* One VM that can own the partition. */
struct Owner {
  JobState *state = nullptr;
  size_t read = 0; /* number of log records delivered to state */
  int64_t epoch = 0;
  bool owns = false;
  bool paused = false;
  int64_t active_until_ms = 0;
  std::deque<std::pair<int64_t, std::string>> appends; /* uncommitted: token, record */
};

} // namespace job_test
