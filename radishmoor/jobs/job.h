// Vocabulary of the job scheduler: jobs, their steps and tasks, the runs of a
// task on backend servers, and the part of the configuration that concerns
// them.
//
// A job belongs to a queue. Its steps consist of tasks; a step starts when all
// tasks of the steps that it names in `after` have succeeded. A job with
// `repeat_count` above 0 runs its steps once for each occurrence. Each start of
// a task on a backend server is a run; its numbers rise over all owners of the
// pool.

#ifndef RADISHMOOR_JOBS_JOB_H_
#define RADISHMOOR_JOBS_JOB_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

// Chosen by the caller; unique over all queues.
using JobId = NameId<struct JobIdTag>;
using QueueId = NameId<struct QueueIdTag>;
// One life of a backend server: a host that reboots or changes its pool comes
// back under another id. A crashed server may return under the same id.
using ServerId = NameId<struct ServerIdTag>;

// Milliseconds on a backend server's own steady clock.
using ServerMillis = int64_t;

// Rises with each change of a pool's owner. Backend servers refuse orders with
// a lower token than the highest that they have seen.
using FencingToken = uint64_t;

using RunNumber = uint32_t;

struct Resources {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t gpus = 0;

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
  }
  bool Fits(const Resources& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           gpus <= room.gpus;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

struct StepSpec {
  uint32_t count = 1;
  Resources request;  // Of each task.
  // Rough estimate of a task's duration.
  Duration estimate{};
  std::vector<uint32_t> after;
  bool checkpointing = false;
  // All tasks of one run start together and end together.
  bool gang = false;
  // The tasks are slower when they are spread over racks.
  bool colocated = false;
  // Two copies of a task may run at the same time.
  bool speculative = false;
  // The tasks run until the job is cancelled.
  bool long_running = false;
  // The tasks use what others leave; their cores do not count.
  bool best_effort = false;
  std::string requirement;
  RackId data_rack;
  uint32_t max_per_server = 0;  // 0: no limit.
  std::string image;
  Duration tail_limit{};  // 0: no limit.
  // Tasks that may be unavailable at once by acts of the scheduler.
  uint32_t allowed_missing = 0;

  // What a task takes from its server's capacity.
  Resources counted_request() const {
    Resources counted = request;
    if (best_effort)
      counted.cpu_millis = 0;
    return counted;
  }
};

// Longest path through the steps, each of which takes `duration_of(i)`.
template <typename DurationOf>
Duration LongestChain(std::span<const StepSpec> steps, DurationOf duration_of) {
  // Steps come after those they name, but not always in the order of their
  // numbers; a few passes settle the longest path.
  std::vector<Duration> end(steps.size(), Duration::zero());
  Duration longest{};
  bool changed = true;
  for (size_t pass = 0; changed && pass < steps.size(); ++pass) {
    changed = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      Duration before{};
      for (uint32_t b : steps[i].after)
        before = std::max(before, end[b]);
      Duration own_end = before + duration_of(i);
      changed = changed || own_end != end[i];
      end[i] = own_end;
      longest = std::max(longest, own_end);
    }
  }
  return longest;
}

struct JobSpec {
  QueueId queue;
  std::string payload;  // Passed on to each start as it is.
  std::vector<StepSpec> steps;
  uint32_t repeat_count = 0;
  WallMillis start_at = 0;
  Duration interval{};
  WallMillis submitted_at = 0;

  uint32_t occurrences() const { return repeat_count == 0 ? 1 : repeat_count; }
  bool scheduled() const { return repeat_count > 0; }
  bool long_running() const {
    for (const StepSpec& step : steps) {
      if (step.long_running)
        return true;
    }
    return false;
  }
  uint32_t tasks_per_occurrence() const {
    uint32_t total = 0;
    for (const StepSpec& step : steps)
      total += step.count;
    return total;
  }
};

// Hard limits of a submitted job.
inline constexpr size_t kMaxPayloadBytes = 4000;
inline constexpr uint32_t kMaxSteps = 64;
inline constexpr uint32_t kMaxTasksPerJob = 4096;

// Nothing if the job can be accepted; otherwise what is wrong with it.
std::optional<std::string> CheckJob(const JobSpec& spec);

enum class JobState : uint8_t {
  kQueued,
  kInProgress,
  kCompleted,
  kFailed,
  kCancelled,
};

constexpr bool IsFinal(JobState state) {
  return state >= JobState::kCompleted;
}

struct TaskId {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

struct RunRef {
  TaskId task;
  RunNumber run = 0;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// "job.occurrence.step.index", also the name on the wire.
std::string FormatTask(const TaskId& task);
std::optional<TaskId> ParseTask(std::string_view text);

// A queue as the configuration describes it.
struct QueueConfig {
  QueueId id;
  std::string host;         // Of the caller's request.
  std::string path_prefix;  // Begins and ends with '/'.
  PoolId pool;
  uint32_t priority = 0;  // 0 comes first.
  uint32_t max_attempts = 1;
  double slack_factor = 1.0;
  Duration latency_objective{};
  // Starts need a ticket of the placement adviser.
  bool needs_advice = false;

  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

struct PoolConfig {
  PoolId id;
  // Hosts in this pool are switched off and cost nothing.
  bool standby = false;

  friend bool operator==(const PoolConfig&, const PoolConfig&) = default;
};

struct JobConfig {
  ConfigVersion version = 0;
  std::vector<QueueConfig> queues;
  std::vector<PoolConfig> pools;

  const QueueConfig* FindQueue(const QueueId& id) const {
    for (const QueueConfig& queue : queues) {
      if (queue.id == id)
        return &queue;
    }
    return nullptr;
  }
  const PoolConfig* FindPool(const PoolId& id) const {
    for (const PoolConfig& pool : pools) {
      if (pool.id == id)
        return &pool;
    }
    return nullptr;
  }
};

// A line of the platform's list of backend servers.
struct ServerListing {
  ServerId id;
  PoolId pool;
  std::string address;  // "ip:port".
  ZoneId zone;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // Unix milliseconds of the start of this life.
  WallMillis incarnation_started_at = 0;
  // While draining: the least time that is left.
  Duration remaining{};
};

// One pass of maintenance over a set of hosts.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<HostId> hosts;
  Duration length{};
  uint32_t max_at_once = 1;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_H_
