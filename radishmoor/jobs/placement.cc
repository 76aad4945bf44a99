#include "radishmoor/jobs/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace radishmoor {
namespace {

// The penalty of a server is the free share of its cores, between 0 and 1, plus
// terms with the weights from kRemoteDataWeight to kLongRunningBonus.

// Multiplied by remote_data_slowdown - 1 if the server is away from the data.
constexpr double kRemoteDataWeight = 2.0;
// Multiplied by the server's slowness - 1.
constexpr double kExcessSlownessWeight = 1.0;
constexpr double kLeavingSoonWeight = 0.5;
constexpr double kTaskFailedHereWeight = 3.0;
// For a last attempt: if the server is not trusted.
constexpr double kUntrustedWeight = 5.0;
// For a best-effort task: for each latency-sensitive run on the server.
constexpr double kLatencySensitiveWeight = 0.6;
// For a latency-sensitive task: for each best-effort run on the server.
constexpr double kBestEffortWeight = 0.3;
// For a long-running task: subtracted if the server has long-running runs.
constexpr double kLongRunningBonus = 0.5;
// A server slower than this gets a task only if the task fits on no other.
constexpr double kMaxPreferredSlowness = 2.0;
constexpr double kSlowServerPenalty = 10.0;
// Jobs that have not begun are ordered by classes of work, this many for each
// doubling of the work.
constexpr double kSizeClassesPerDoubling = 2.0;
constexpr double kMinWorkCoreSeconds = 0.01;

bool HasLabel(std::span<const std::string> labels, const std::string& label) {
  return label.empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool MayRun(const PlacementTask& task, const PlacementServer& server) {
  const StepSpec& step = *task.step;
  if (!HasLabel(server.labels, step.requirement))
    return false;
  return step.max_per_server == 0 ||
         server.same_step_runs < step.max_per_server;
}

// Returns whether the task must not run on servers that are not trusted. A pool
// whose servers all have failures and no recent success has no trusted one.
bool NeedsTrustedServer(const PlacementTask& task,
                        std::span<const PlacementServer> servers) {
  if (!task.last_attempt || !task.trust_wait_over)
    return task.last_attempt;
  Resources request = task.step->counted_request();
  int64_t capacity = 0;
  int64_t free = 0;
  bool has_trusted_server = false;
  for (const PlacementServer& server : servers) {
    capacity += server.capacity.cpu_millis;
    free += server.free_resources.cpu_millis;
    has_trusted_server = has_trusted_server ||
                         (server.trusted && request.Fits(server.capacity) &&
                          HasLabel(server.labels, task.step->requirement));
  }
  bool busy = free < capacity / 2;
  return busy && has_trusted_server;
}

double FreeShare(const PlacementServer& server) {
  if (server.capacity.cpu_millis <= 0)
    return 0;
  return static_cast<double>(server.free_resources.cpu_millis) /
         static_cast<double>(server.capacity.cpu_millis);
}

double Drawbacks(const PlacementTask& task, const PlacementServer& server) {
  const StepSpec& step = *task.step;
  double penalty = 0;
  const RackId& wanted =
      step.data_rack.empty() ? task.preferred_rack : step.data_rack;
  if (!wanted.empty() && server.rack != wanted)
    penalty += kRemoteDataWeight * (task.remote_data_slowdown - 1);
  penalty += kExcessSlownessWeight * std::max(0.0, server.slowness - 1);
  if (server.slowness > kMaxPreferredSlowness)
    penalty += kSlowServerPenalty;
  if (server.leaving_soon)
    penalty += kLeavingSoonWeight;
  if (server.task_failed_here)
    penalty += kTaskFailedHereWeight;
  if (task.last_attempt && !server.trusted)
    penalty += kUntrustedWeight;
  if (step.long_running && server.long_running_runs > 0)
    penalty -= kLongRunningBonus;
  if (step.best_effort)
    penalty += kLatencySensitiveWeight * server.latency_sensitive_runs;
  if (step.tail_limit > Duration::zero())
    penalty += kBestEffortWeight * server.best_effort_runs;
  return penalty;
}

double Penalty(const PlacementTask& task, const PlacementServer& server) {
  return FreeShare(server) + Drawbacks(task, server);
}

// Returns whether the server has room now for a task of the step, and the label
// that the step needs.
bool MayHold(const StepSpec& step, const PlacementServer& server) {
  return !server.reserved &&
         step.counted_request().Fits(server.free_resources) &&
         HasLabel(server.labels, step.requirement);
}

bool CanStart(const PlacementTask& task,
              bool needs_trusted_server,
              const PlacementServer& server) {
  return MayHold(*task.step, server) && MayRun(task, server) &&
         (!needs_trusted_server || server.trusted);
}

}  // namespace

std::vector<uint32_t> OrderJobs(Time now, std::span<const JobOrderInput> jobs) {
  using Key = std::tuple<int, uint32_t, int64_t, int64_t, uint32_t>;
  std::vector<Key> keys;
  keys.reserve(jobs.size());
  for (const JobOrderInput& job : jobs) {
    int64_t slack = (job.objective - now - job.remaining_chain).count();
    int64_t arrived = job.arrived.time_since_epoch().count();
    // Jobs whose work differs by less than half share a class and are ordered
    // by slack.
    auto size_class = static_cast<int64_t>(
        kSizeClassesPerDoubling *
        std::log2(std::max(job.remaining_work, kMinWorkCoreSeconds)));
    if (job.long_running)
      keys.emplace_back(0, job.priority, arrived, 0, job.position);
    else if (job.CanMeetObjective(now) && job.begun)
      keys.emplace_back(1, job.priority, slack, arrived, job.position);
    else if (job.CanMeetObjective(now))
      keys.emplace_back(2, job.priority, size_class, slack, job.position);
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

std::vector<RankedServer> RankServers(
    const PlacementTask& task,
    std::span<const PlacementServer> servers) {
  bool needs_trusted_server = NeedsTrustedServer(task, servers);
  std::vector<RankedServer> ranked;
  for (size_t i = 0; i < servers.size(); ++i) {
    if (CanStart(task, needs_trusted_server, servers[i]))
      ranked.push_back({i, Drawbacks(task, servers[i])});
  }
  std::sort(ranked.begin(), ranked.end(),
            [&](const RankedServer& a, const RankedServer& b) {
              double penalty_a = a.drawbacks + FreeShare(servers[a.index]);
              double penalty_b = b.drawbacks + FreeShare(servers[b.index]);
              return std::tie(penalty_a, a.index) <
                     std::tie(penalty_b, b.index);
            });
  return ranked;
}

std::optional<size_t> ChooseServer(const PlacementTask& task,
                                   std::span<const PlacementServer> servers) {
  bool needs_trusted_server = NeedsTrustedServer(task, servers);
  std::optional<size_t> best;
  double least_penalty = 0;
  for (size_t i = 0; i < servers.size(); ++i) {
    const PlacementServer& server = servers[i];
    if (!CanStart(task, needs_trusted_server, server))
      continue;
    double penalty = Penalty(task, server);
    if (!best || penalty < least_penalty) {
      best = i;
      least_penalty = penalty;
    }
  }
  return best;
}

std::optional<size_t> ChooseReservation(
    const PlacementTask& task,
    std::span<const PlacementServer> servers) {
  Resources request = task.step->counted_request();
  bool needs_trusted_server = NeedsTrustedServer(task, servers);
  std::optional<size_t> best;
  for (size_t i = 0; i < servers.size(); ++i) {
    const PlacementServer& server = servers[i];
    Resources later_free = server.capacity;
    later_free -= server.used_by_long_running;
    if (server.reserved || !request.Fits(later_free) || !MayRun(task, server) ||
        (needs_trusted_server && !server.trusted))
      continue;
    if (!best || server.free_resources.cpu_millis >
                     servers[*best].free_resources.cpu_millis)
      best = i;
  }
  return best;
}

}  // namespace radishmoor
