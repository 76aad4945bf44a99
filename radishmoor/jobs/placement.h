// Decides which tasks start next, and on which server. The functions are pure.
//
// Order: designed for a queue whose demand exceeds its pool's capacity for some
// seconds. Long-running jobs come first, since every second without one of
// their tasks counts. Next come jobs that have begun and can still meet their
// objective, by least slack, so that the work done for them is not lost. Jobs
// that have not begun follow, small ones first: this completes the most jobs in
// time with the resources that are left. Jobs that can no longer meet their
// objective come last, so that a backlog does not make later jobs late as well;
// they are finished when demand falls.
//
// Placement: chooses the server with the smallest free share of cores among
// those that the task fits on, with penalties for distance from the data and
// for slowness. Packing tasks on few servers leaves others empty, which can be
// given up at once when demand falls, and keeps resources free for large tasks.
// Long-running tasks are packed on servers that already have some, for the same
// reason. A task that fits nowhere reserves the server with the most free CPU
// among those that can hold it later, so that smaller tasks do not starve it.

#ifndef RADISHMOOR_JOBS_PLACEMENT_H_
#define RADISHMOOR_JOBS_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"

namespace radishmoor {

struct JobOrderInput {
  uint32_t position = 0;  // Index of the job in the caller's list.
  uint32_t priority = 0;  // Of the job's queue; 0 comes first.
  bool long_running = false;
  Time objective;
  Time arrived;
  // Expected run time of the longest chain of steps that are not done.
  Duration remaining_chain{};
  bool begun = false;
  double remaining_work = 0;  // Core-seconds of the tasks that are not done.

  bool CanMeetObjective(Time now) const {
    return now + remaining_chain <= objective;
  }
};

// Returns the positions of the jobs in the order in which they start.
// O(n log n).
std::vector<uint32_t> OrderJobs(Time now, std::span<const JobOrderInput> jobs);

struct PlacementServer {
  uint32_t position = 0;  // Index of the server in the caller's list.
  RackId rack;
  std::span<const std::string> labels;
  Resources capacity;
  Resources free_resources;
  // Ratio of observed to expected run times, relative to the pool's.
  double slowness = 1.0;
  // False if starts have failed there and none has succeeded lately.
  bool trusted = true;
  uint32_t same_step_runs = 0;  // Runs of the same step and occurrence.
  // Runs with a limit on their tail latency, which best-effort tasks disturb.
  uint32_t latency_sensitive_runs = 0;
  uint32_t best_effort_runs = 0;
  uint32_t long_running_runs = 0;
  Resources used_by_long_running;
  bool reserved = false;      // Kept free for a task that fits nowhere now.
  bool leaving_soon = false;  // Due for maintenance or a move.
  bool task_failed_here = false;
};

struct PlacementTask {
  const StepSpec* step = nullptr;
  // True if one more failure fails the job. Such a task waits for a trusted
  // server.
  bool last_attempt = false;
  // The task has waited long enough for a trusted server. It runs on another
  // one unless a trusted server of a busy pool will have room for it.
  bool trust_wait_over = false;
  // Rack with most of the step's other runs, for colocated steps; may be empty.
  RackId preferred_rack;
  // Run time away from the data, as a multiple of the run time next to it.
  double remote_data_slowdown = 1.0;
};

// A server on which a task can start now.
struct RankedServer {
  size_t index = 0;  // In the list of servers that was ranked.
  // Penalty without the free share of the server's cores: distance from the
  // data, slowness, and failures.
  double drawbacks = 0;
};

// Returns the servers on which the task can start now, the best one first.
// O(n log n).
std::vector<RankedServer> RankServers(const PlacementTask& task,
                                      std::span<const PlacementServer> servers);

// Returns the index in `servers` of the best server for the task, or nothing if
// it fits on none or has to wait for a trusted one. O(n).
std::optional<size_t> ChooseServer(const PlacementTask& task,
                                   std::span<const PlacementServer> servers);

// Returns the index in `servers` of the server with the most free CPU among
// those that can hold the task once their other runs have ended, or nothing if
// there is none. Long-running ones do not end. O(n).
std::optional<size_t> ChooseReservation(
    const PlacementTask& task,
    std::span<const PlacementServer> servers);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_H_
