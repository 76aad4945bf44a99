// State of one pool's scheduler that its classes share, and the limits that
// they obey.

#ifndef RADISHMOOR_JOBS_POOL_STATE_H_
#define RADISHMOOR_JOBS_POOL_STATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"
#include "radishmoor/jobs/job_table.h"
#include "radishmoor/jobs/outbox.h"
#include "radishmoor/jobs/placement_advice_cache.h"
#include "radishmoor/jobs/run_log_sampler.h"
#include "radishmoor/jobs/server_table.h"

namespace radishmoor {

// Limits and properties of the platform. The defaults suit a small site.
struct PlatformBounds {
  // Longest lease that may be granted to a backend server.
  Duration max_lease = Seconds(6);
  // Run time of a task that runs away from its data, as a multiple of its run
  // time near its data.
  double remote_data_slowdown = 1.5;
  // States of ended jobs are kept at least this long.
  Duration status_retention = Seconds(120);
  // Minimum time between the calls of two fleet coordinators for one host.
  Duration host_operation_lease = Seconds(3);
  // An accepted configuration is in force at every process within this time.
  Duration config_apply = Seconds(2);
  // Largest value of a row that the table service takes.
  size_t max_row_bytes = 65536;
  // Maximum number of calls per second that move or maintain hosts.
  double max_host_operations_per_second = 64;
};

// An owner that cannot renew its own lease continues to renew the leases of
// backend servers for this long. Before a successor starts tasks again that an
// unreachable server may still run, it waits for this time and for the last of
// these leases to expire.
inline constexpr Duration kUnrenewedLeaseExtension = Seconds(5);

// Nothing is planned when the last lease renewal is older than this, since the
// plan could probably not be stored.
inline constexpr Duration kMaxRenewalAgeForPlanning = Seconds(3);
// Other processes leave a lease to its holder for at least this long after its
// last renewal. An owner renews its lease at least every 400 ms.
inline constexpr Duration kOwnerLeaseLength = Milliseconds(1200);

struct QueueStats {
  // Moving average of the ratio of observed to estimated run times.
  double run_time_ratio = 1.0;
};

struct PoolCounters {
  uint64_t starts = 0;
  uint64_t starts_refused = 0;
  uint64_t starts_unanswered = 0;
  uint64_t starts_repeated = 0;
  uint64_t provisional_successes = 0;
  uint64_t server_probes = 0;
  uint64_t runs_done = 0;
  uint64_t runs_failed = 0;
  uint64_t runs_stopped = 0;
  uint64_t runs_lease_expired = 0;
  uint64_t runs_ended_with_gang = 0;
  uint64_t server_polls = 0;
  uint64_t commits = 0;
  uint64_t commits_unknown = 0;
  uint64_t commits_rejected = 0;
  uint64_t relocations = 0;
  uint64_t speculative_starts = 0;
  uint64_t unreadable_rows = 0;
};

struct JobPoolState {
  JobPoolState(PoolId pool_id, PlatformBounds platform_bounds)
      : pool(std::move(pool_id)), bounds(platform_bounds) {}

  // Returns the length of the leases that this owner grants to backend servers.
  Duration lease() const { return std::min(bounds.max_lease, kServerLease); }

  // Returns whether this owner may still extend the leases of backend servers.
  bool MayExtendLeases(Time now) const {
    return now - lease_renewed_at < kUnrenewedLeaseExtension;
  }
  // Returns whether this owner may start runs: no other process can have
  // acquired the pool's lease yet.
  bool MayStartRuns(Time now) const {
    return now - lease_renewed_at < lease_length;
  }

  PoolId pool;
  PlatformBounds bounds;
  FencingToken token = 0;
  // Earlier owners of the pool have sent no orders after this time.
  Time earlier_orders_until;
  // All leases that these orders granted have expired by this time, also those
  // of servers that had restarted unnoticed.
  Time earlier_leases_until;
  // When the stored commit that last renewed the pool's lease was sent.
  Time lease_renewed_at;
  // Time for which that renewal keeps other processes from acquiring the lease.
  Duration lease_length = kOwnerLeaseLength;
  bool standby = false;
  // All queues that this process has seen; a queue that was removed from the
  // configuration stays.
  std::map<QueueId, QueueConfig> queues;
  std::map<QueueId, QueueStats> stats;
  JobTable jobs;
  ServerTable servers;
  PlacementAdviceCache advice;
  // Runs in the phase kPlanned that no commit contains yet.
  std::map<JobId, std::vector<RunRef>> planned;
  // When restarts of servers were noticed, oldest first.
  std::deque<Time> recent_restarts;
  // The owner before has noted that restarts were frequent; they count as
  // frequent until this time.
  Time restarts_frequent_until;
  PoolCounters counters;
  RunLogSampler run_log;
  // A server has seen a successor's token: this process must not send orders
  // any more.
  bool fenced = false;

  // Length of the leases that owners grant to backend servers. It is long
  // enough for runs to survive a change of the owner, and short enough that the
  // tasks of a lost server start again soon.
  static constexpr Duration kServerLease = Milliseconds(3000);
  // Bits of a server's fencing token that this owner raises.
  static constexpr unsigned kEpochBits = 20;

  // Restarts are frequent if one server in kFrequentRestartDivisor, or more,
  // has restarted within kRestartMemory. A start that was not answered may then
  // well be carried out by a later incarnation of its server.
  static constexpr Duration kRestartMemory = Seconds(30);
  static constexpr size_t kFrequentRestartDivisor = 20;

  void AddRestart(Time now) { recent_restarts.push_back(now); }
  bool RestartsAreFrequent(Time now) {
    while (!recent_restarts.empty() &&
           now - recent_restarts.front() > kRestartMemory)
      recent_restarts.pop_front();
    return now < restarts_frequent_until ||
           (!recent_restarts.empty() &&
            recent_restarts.size() * kFrequentRestartDivisor >=
                servers.all().size());
  }

  // Returns the token of orders to the server. It is larger than those of
  // earlier owners, and it grows as ServerDoubt tells: once the present
  // incarnation has carried out one order, it refuses all earlier ones.
  FencingToken TokenFor(const ServerState& server) const {
    return (token << kEpochBits) +
           std::min(server.doubt.token_epoch, (1u << kEpochBits) - 1);
  }

  // Returns the settings that apply to the job: those of its queue, or those
  // that were stored with the job if this process has not seen the queue.
  const QueueSettings& SettingsOf(const JobSpec& spec) const {
    static constexpr QueueSettings kDefaults;
    auto queue = queues.find(spec.queue);
    if (queue != queues.end())
      return queue->second.settings;
    return spec.queue_settings ? *spec.queue_settings : kDefaults;
  }

  // Returns the estimate of a task's run time, corrected by the observed run
  // times of the job's queue.
  Duration ExpectedRunTime(const Job& job, const StepSpec& step) const {
    auto it = stats.find(job.spec.queue);
    double ratio = it == stats.end() ? 1.0 : it->second.run_time_ratio;
    return Duration(static_cast<int64_t>(
        static_cast<double>(step.estimate.count()) * ratio));
  }
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_STATE_H_
