// Retires a service whose pool the operator has closed: its hosts leave, the
// last one only after the queue is empty, and then the pool, its retired hosts
// and its lease are removed.

#ifndef RADISHMOOR_FLEET_RETIREMENT_H_
#define RADISHMOOR_FLEET_RETIREMENT_H_

#include <map>
#include <optional>
#include <span>

#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct RetirementOptions {
  // Largest time to the deadline of a request. After the pool was closed, no
  // request waits in its queue for longer. 0 means unlimited; the last host
  // then leaves only when the queue is empty.
  Duration max_request_time = Seconds(600);
  // Entry processes learn of the closing within this time.
  Duration margin = Seconds(6);
  // An older load report is not used.
  Duration load_valid_for = Seconds(5);
};

class Retirement {
 public:
  explicit Retirement(RetirementOptions options) : options_(options) {}

  void ObserveState(Time now, const FleetState& state);
  void ObserveLoads(Time now, std::span<const PoolLoad> loads);

  // Returns true if the host may leave its closed pool: other hosts still serve
  // the queue, a report made after the closing says that the queue is empty, or
  // every queued request has passed its deadline.
  bool MayDrainFromClosedPool(Time now,
                              const FleetState& state,
                              const HostState& host) const;

  // Returns the change that removes a closed pool and its retired hosts, or
  // nothing while a host that is not retired is in the pool or wants to join
  // it.
  static std::optional<ConfigDelta> MakePoolRemoval(const FleetState& state,
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
