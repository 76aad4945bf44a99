// Basic types of the job scheduler: jobs, their steps and tasks, the runs of a
// task on backend servers, and the part of the configuration that concerns
// them.
//
// A job belongs to a queue. Its steps consist of tasks; a step starts when all
// tasks of the steps that it names in `after` have succeeded. A job with
// `repeat_count` above 0 is recurring: it runs its steps once for each
// occurrence. Each start of a task on a backend server is a run. The run
// numbers of a task increase over all owners of the pool.

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

// The caller chooses the id of a job; it is unique over all queues.
using JobId = ShortId<struct JobIdTag>;
using QueueId = NameId<struct QueueIdTag>;
// Id of a backend server. A host that reboots or changes its pool comes back
// under another id; a server that crashed may return under the same id, as
// another incarnation.
using ServerId = NameId<struct ServerIdTag>;

// Milliseconds on a backend server's own steady clock.
using ServerMillis = int64_t;

// Increases with each change of a pool's owner. Backend servers refuse orders
// with a lower token than the highest that they have seen.
using FencingToken = uint64_t;

// Numbers the runs of a task, from 1.
using RunNumber = uint32_t;

struct Resources {
  int64_t cpu_millis = 0;  // Thousandths of a core.
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
  bool Fits(const Resources& available) const {
    return cpu_millis <= available.cpu_millis &&
           memory_mb <= available.memory_mb && gpus <= available.gpus;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

struct StepSpec {
  uint32_t count = 1;  // Number of tasks.
  Resources request;   // Resources of each task.
  // Rough estimate of a task's run time.
  Duration estimate{};
  // Indexes of the steps that have to succeed before this one starts.
  std::vector<uint32_t> after;
  // A run can resume from the checkpoint of an earlier run of its task.
  bool checkpointing = false;
  // All tasks start together and end together.
  bool gang = false;
  // The tasks are slower when they are spread over racks.
  bool colocated = false;
  // Two copies of a task may run at the same time.
  bool speculative = false;
  // The tasks run until the job is cancelled.
  bool long_running = false;
  // The tasks use the cores that other tasks leave idle; their cores do not
  // count against the server's capacity.
  bool best_effort = false;
  // Label that a server must have; empty: any server.
  std::string requirement;
  // Rack that holds the tasks' data; empty: none.
  RackId data_rack;
  // Maximum number of the step's tasks on one server; 0: no limit.
  uint32_t max_per_server = 0;
  std::string image;
  // Limit of the tail of the tasks' response times; 0: none. A step with a
  // limit is latency-sensitive.
  Duration tail_limit{};
  // Maximum number of tasks that the scheduler may make unavailable at once.
  uint32_t allowed_missing = 0;

  // Returns the part of a server's capacity that a task takes.
  Resources counted_request() const {
    Resources counted = request;
    if (best_effort)
      counted.cpu_millis = 0;
    return counted;
  }
};

// Returns the length of the longest path through the steps, where step i takes
// `duration_of(i)`.
template <typename DurationOf>
Duration LongestChain(std::span<const StepSpec> steps, DurationOf duration_of) {
  // A step may name steps with higher indexes in `after`, so one pass may not
  // be enough. The passes end when one changes nothing.
  std::vector<Duration> end(steps.size(), Duration::zero());
  Duration longest{};
  bool changed = true;
  for (size_t pass = 0; changed && pass < steps.size(); ++pass) {
    changed = false;
    for (size_t i = 0; i < steps.size(); ++i) {
      Duration start{};
      for (uint32_t predecessor : steps[i].after)
        start = std::max(start, end[predecessor]);
      Duration step_end = start + duration_of(i);
      changed = changed || step_end != end[i];
      end[i] = step_end;
      longest = std::max(longest, step_end);
    }
  }
  return longest;
}

// How long the placement adviser takes for a request, as the configuration
// states it.
struct AdviserPace {
  Duration per_request{};
  Duration per_server{};  // For each server in the request.

  friend bool operator==(const AdviserPace&, const AdviserPace&) = default;
};

// How the jobs of a queue are scheduled.
struct QueueSettings {
  uint32_t priority = 0;      // Jobs with lower values come first.
  uint32_t max_attempts = 1;  // A job fails at this many failures of one task.
  // A job should complete within latency_objective plus slack_factor times the
  // estimate of its longest path, counted from its arrival.
  double slack_factor = 1.0;
  Duration latency_objective{};
  // Each start needs a ticket of the placement adviser.
  bool needs_advice = false;
  AdviserPace adviser_pace;

  friend bool operator==(const QueueSettings&, const QueueSettings&) = default;
};

struct JobSpec {
  QueueId queue;
  // The queue's settings when the job was submitted. They apply when the
  // configuration does not have the queue any more. Absent if an earlier
  // version of this program has stored the job.
  std::optional<QueueSettings> queue_settings;
  std::string payload;  // Sent unchanged with the start of each run.
  std::vector<StepSpec> steps;
  uint32_t repeat_count = 0;  // Number of occurrences; 0: not recurring.
  WallMillis start_at = 0;    // Due time of a recurring job's first occurrence.
  Duration interval{};        // Time between the due times of two occurrences.
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

// Limits of a submitted job; CheckJob() refuses jobs beyond them.
inline constexpr size_t kMaxPayloadBytes = 4000;
inline constexpr uint32_t kMaxSteps = 64;
inline constexpr uint32_t kMaxTasksPerJob = 4096;

// Returns nothing if the job can be accepted, otherwise a message that tells
// what is wrong with it.
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

// Formats a task id as "job.occurrence.step.index", which is also its form on
// the wire. ParseTask() returns nothing if `text` does not have this form.
std::string FormatTask(const TaskId& task);
std::optional<TaskId> ParseTask(std::string_view text);

// A queue as the configuration describes it.
struct QueueConfig {
  QueueId id;
  // HTTP requests to this host name whose path begins with the prefix belong to
  // the queue. The prefix begins and ends with '/'.
  std::string host;
  std::string path_prefix;
  PoolId pool;
  QueueSettings settings;

  friend bool operator==(const QueueConfig&, const QueueConfig&) = default;
};

struct PoolConfig {
  PoolId id;
  // Hosts in a standby pool are switched off and cost nothing.
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

// An entry of the platform's list of backend servers.
struct ServerListing {
  ServerId id;
  PoolId pool;
  std::string address;  // "ip:port".
  ZoneId zone;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // Unix time in ms at which this incarnation started; 0: not known.
  WallMillis incarnation_started_at = 0;
  // Minimum time for which a draining server still stays.
  Duration remaining{};
};

// One pass of maintenance over a set of hosts.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<HostId> hosts;
  // Time allowed for the whole wave, counted from when it is first seen.
  Duration length{};
  uint32_t max_at_once = 1;  // Maximum number of hosts in maintenance at once.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_H_
