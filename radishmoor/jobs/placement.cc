#include "radishmoor/jobs/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishmoor {
namespace {

// Weights of a server's penalty beside the share of its cores that is free,
// which is between 0 and 1.
constexpr double kFarWeight = 2.0;   // For each unit of the far factor - 1.
constexpr double kSlowWeight = 1.0;  // For each unit of slowness - 1.
constexpr double kLeavingWeight = 0.5;
constexpr double kFailedBeforeWeight = 3.0;
constexpr double kSensitiveWeight = 0.6;  // For each run with a tail limit.
constexpr double kSpareRunWeight = 0.3;   // For each run that uses spare room.
constexpr double kGatherWeight = 0.5;     // With long-running tasks there.
// A server slower than this gets work only when no other fits.
constexpr double kTooSlow = 2.0;
constexpr double kTooSlowPenalty = 10.0;
// Of the logarithm of a job's work; two steps for each doubling.
constexpr double kSizeSteps = 2.0;
constexpr double kLeastWork = 0.01;  // Core-seconds.

bool HasLabel(std::span<const std::string> labels, const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool MayRun(const PlacementTask& task, const PlacementServer& server) {
  const StepSpec& step = *task.step;
  if (!HasLabel(server.labels, step.requirement))
    return false;
  if (step.max_per_server > 0 && server.same_step >= step.max_per_server)
    return false;
  return !task.last_attempt || server.trusted;
}

double FreeShare(const PlacementServer& server) {
  if (server.capacity.cpu_millis <= 0)
    return 0;
  return static_cast<double>(server.room.cpu_millis) /
         static_cast<double>(server.capacity.cpu_millis);
}

double Penalty(const PlacementTask& task, const PlacementServer& server) {
  const StepSpec& step = *task.step;
  double penalty = FreeShare(server);
  const RackId& wanted =
      step.data_rack.empty() ? task.preferred_rack : step.data_rack;
  if (!wanted.empty() && server.rack != wanted)
    penalty += kFarWeight * (task.remote_data_slowdown - 1);
  penalty += kSlowWeight * std::max(0.0, server.slowness - 1);
  if (server.slowness > kTooSlow)
    penalty += kTooSlowPenalty;
  if (server.leaving_soon)
    penalty += kLeavingWeight;
  if (server.failed_before)
    penalty += kFailedBeforeWeight;
  if (step.long_running && server.long_runs > 0)
    penalty -= kGatherWeight;
  if (step.best_effort)
    penalty += kSensitiveWeight * server.latency_sensitive_runs;
  if (step.tail_limit > Duration::zero())
    penalty += kSpareRunWeight * server.best_effort_runs;
  return penalty;
}

}  // namespace

std::vector<uint32_t> OrderJobs(Time now, std::span<const JobOrderInput> jobs) {
  using Key = std::tuple<int, uint32_t, int64_t, int64_t, uint32_t>;
  std::vector<Key> keys;
  keys.reserve(jobs.size());
  for (const JobOrderInput& job : jobs) {
    int64_t slack = (job.objective - now - job.remaining_chain).count();
    int64_t arrived = job.arrived.time_since_epoch().count();
    // Sizes that differ by less than half count as the same.
    auto size = static_cast<int64_t>(
        kSizeSteps * std::log2(std::max(job.remaining_work, kLeastWork)));
    if (job.long_running)
      keys.emplace_back(0, job.priority, arrived, 0, job.position);
    else if (job.CanMeetObjective(now) && job.begun)
      keys.emplace_back(1, job.priority, slack, arrived, job.position);
    else if (job.CanMeetObjective(now))
      keys.emplace_back(2, job.priority, size, slack, job.position);
    else
      keys.emplace_back(3, job.priority, job.begun ? 0 : 1, arrived,
                        job.position);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<uint32_t> order;
  order.reserve(keys.size());
  for (const Key& key : keys)
    order.push_back(std::get<4>(key));
  return order;
}

std::optional<size_t> ChooseServer(const PlacementTask& task,
                                   std::span<const PlacementServer> servers) {
  Resources request = task.step->counted_request();
  std::optional<size_t> best;
  double least = 0;
  for (size_t i = 0; i < servers.size(); ++i) {
    const PlacementServer& server = servers[i];
    if (server.reserved || !request.Fits(server.room) || !MayRun(task, server))
      continue;
    double penalty = Penalty(task, server);
    if (!best || penalty < least) {
      best = i;
      least = penalty;
    }
  }
  return best;
}

std::optional<size_t> ChooseReservation(
    const PlacementTask& task,
    std::span<const PlacementServer> servers) {
  Resources request = task.step->counted_request();
  std::optional<size_t> best;
  for (size_t i = 0; i < servers.size(); ++i) {
    const PlacementServer& server = servers[i];
    if (server.reserved || !request.Fits(server.capacity) ||
        !MayRun(task, server))
      continue;
    if (!best || server.room.cpu_millis > servers[*best].room.cpu_millis)
      best = i;
  }
  return best;
}

}  // namespace radishmoor
