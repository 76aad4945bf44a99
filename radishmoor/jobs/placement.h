// Which tasks start next, and on which server. Pure decisions over values.
//
// Order, for the load in which a queue asks for more than its pool holds for
// some seconds: jobs that have begun and can still meet their objective come
// first, by least slack, so that the work done for them is not lost. Then those
// that have not begun, small ones first: the room that is left completes the
// most jobs in time that way. Jobs that can no longer meet their objective come
// last, so that a backlog does not make the following jobs late as well; they
// are finished when demand falls. Long-running tasks come before all, since
// each second that they are missing counts.
//
// Placement: the server with the smallest free share of cores among those that
// fit, with penalties for distance from the data and for slowness. Tasks on few
// servers leave others empty, which can be given up at once when demand falls,
// and leave room for large tasks. Long-running tasks gather on the servers that
// have some, for the same reason. A task that fits nowhere reserves the server
// that comes nearest, so that smaller tasks do not starve it.

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
  uint32_t position = 0;  // Of the job in the caller's list.
  uint32_t priority = 0;
  bool long_running = false;
  Time objective;
  Time arrived;
  Duration remaining_chain{};
  bool begun = false;
  double remaining_work = 0;  // Core-seconds of all tasks that are left.

  bool CanMeetObjective(Time now) const {
    return now + remaining_chain <= objective;
  }
};

// Positions in the order of start. O(n log n).
std::vector<uint32_t> OrderJobs(Time now, std::span<const JobOrderInput> jobs);

struct PlacementServer {
  uint32_t position = 0;  // Of the server in the caller's list.
  RackId rack;
  std::span<const std::string> labels;
  Resources capacity;
  Resources room;
  double slowness = 1.0;
  // Succeeded lately, and no suspicion stands against it.
  bool trusted = true;
  uint32_t same_step = 0;  // Runs of the same step and occurrence.
  // Runs with a tail limit, which tasks that use spare room would disturb.
  uint32_t latency_sensitive_runs = 0;
  uint32_t best_effort_runs = 0;
  uint32_t long_runs = 0;  // Of long-running steps.
  bool reserved = false;
  bool leaving_soon = false;  // Maintenance or a move comes soon.
  bool failed_before = false;
};

struct PlacementTask {
  const StepSpec* step = nullptr;
  // One more failure ends the job.
  bool last_attempt = false;
  // Racks that hold most of the step's other tasks, for colocated steps.
  RackId preferred_rack;
  double remote_data_slowdown = 1.0;
};

// Index into `servers` of the best server, or nothing if none fits. O(n).
std::optional<size_t> ChooseServer(const PlacementTask& task,
                                   std::span<const PlacementServer> servers);

// The server, among those that would fit the task when empty, that has the most
// room now. Nothing if no server could ever hold the task.
std::optional<size_t> ChooseReservation(
    const PlacementTask& task,
    std::span<const PlacementServer> servers);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PLACEMENT_H_
