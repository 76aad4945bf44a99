// State that the parts of a pool's scheduler share, and its limits.

#ifndef RADISHMOOR_JOBS_POOL_STATE_H_
#define RADISHMOOR_JOBS_POOL_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"
#include "radishmoor/jobs/job_table.h"
#include "radishmoor/jobs/outbox.h"
#include "radishmoor/jobs/placement_advice_cache.h"
#include "radishmoor/jobs/server_table.h"

namespace radishmoor {

// Bounds that the platform sets. The defaults are those of a small site.
struct PlatformBounds {
  // Longest lease that a backend server grants.
  Duration max_lease = Seconds(6);
  // A task away from its data takes this many times as long.
  double remote_data_slowdown = 1.5;
  // States of ended jobs are kept at least this long.
  Duration status_retention = Seconds(120);
  // Two owners of a host's operations are at least this far apart.
  Duration host_operation_lease = Seconds(3);
  // Calls to move or maintain hosts that the platform takes in a second.
  double max_host_operations_per_second = 64;
};

// How long an owner whose lease is not renewed goes on extending leases of
// running tasks. A successor waits for it, and for the last lease, before it
// starts tasks anew that an unreachable server may still run.
inline constexpr Duration kUnrenewedLeaseExtension = Seconds(5);

// Observed run times of a queue, as a ratio to their estimates.
struct QueueStats {
  double run_time_ratio = 1.0;
};

struct PoolCounters {
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t starts_unanswered = 0;
  uint64_t runs_done = 0;
  uint64_t runs_failed = 0;
  uint64_t runs_stopped = 0;
  uint64_t runs_lease_expired = 0;
  uint64_t runs_ended_with_gang = 0;
  uint64_t server_polls = 0;
  uint64_t commits = 0;
  uint64_t commits_unknown = 0;
  uint64_t relocations = 0;
  uint64_t speculative_starts = 0;
  uint64_t unreadable_rows = 0;
};

struct JobPoolState {
  JobPoolState(PoolId pool_id, PlatformBounds platform_bounds)
      : pool(std::move(pool_id)), bounds(platform_bounds) {}

  // Length of the leases that this owner gives.
  Duration lease() const { return std::min(bounds.max_lease, kLease); }

  PoolId pool;
  PlatformBounds bounds;
  FencingToken token = 0;
  bool standby = false;
  std::map<QueueId, QueueConfig> queues;  // All that were ever seen.
  std::map<QueueId, QueueStats> stats;
  JobTable jobs;
  ServerTable servers;
  PlacementAdviceCache advice;
  // Runs in the phase kPlanned that no commit holds yet.
  std::map<JobId, std::vector<RunRef>> planned;
  PoolCounters counters;
  // The successor's token was seen: this process must not order anything.
  bool fenced = false;

  // Long enough to survive a change of the owner, short enough that the tasks
  // of a lost server start again soon.
  static constexpr Duration kLease = Milliseconds(3000);
  // A server's clock may be slow by 2%, and an order takes its time.
  static constexpr Duration kLeaseSlack = Milliseconds(260);

  const QueueConfig& QueueOf(const Job& job) {
    QueueConfig& queue = queues[job.spec.queue];
    queue.id = job.spec.queue;
    return queue;
  }

  Duration ExpectedRunTime(const Job& job, const StepSpec& step) const {
    auto it = stats.find(job.spec.queue);
    double ratio = it == stats.end() ? 1.0 : it->second.run_time_ratio;
    return Duration(static_cast<int64_t>(
        static_cast<double>(step.estimate.count()) * ratio));
  }
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_STATE_H_
