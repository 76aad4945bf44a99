// Retirement of a service: its pool is closed, its hosts leave in order, and at
// last the pool, its retired hosts and its lease are removed.

#ifndef RADISHMOOR_FLEET_RETIREMENT_H_
#define RADISHMOOR_FLEET_RETIREMENT_H_

#include <map>
#include <optional>
#include <span>

#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct RetirementOptions {
  // Largest deadline of a request. After closing, no queued request lives
  // longer. 0: unlimited, so that only an empty queue releases the last host.
  Duration max_request_time = Seconds(600);
  Duration margin = Seconds(6);
  // A load report older than this says nothing about the queue.
  Duration load_valid_for = Seconds(5);
};

class Retirement {
 public:
  explicit Retirement(RetirementOptions options) : options_(options) {}

  void ObserveState(Time now, const FleetState& state);
  void ObserveLoads(Time now, std::span<const PoolLoad> loads);

  // The host may leave its closed pool: others still serve the queue, or the
  // queue is empty by a report that is newer than the closing.
  bool MayDrainFromClosedPool(Time now,
                              const FleetState& state,
                              const HostState& host) const;

  // The change that removes a closed pool once no host belongs to it except
  // retired ones and none wants to join it; nothing while some remain.
  static std::optional<ConfigDelta> RemovePool(const FleetState& state,
                                               const PoolId& pool);

 private:
  struct QueueReport {
    Time reported{};
    uint64_t queued = 0;
  };

  RetirementOptions options_;
  std::map<PoolId, Time> closed_since_;
  std::map<PoolId, QueueReport> queues_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_RETIREMENT_H_
