// Availability budgets: which hosts count as unavailable, and whether one more
// host of a pool may leave service.
//
//   HealthView health(options);
//   health.Observe(observations);
//   BudgetTable budgets(now, state, health);
//   if (budgets.MayMakeUnavailable(host)) ...  // commit the host's new phase
//
// The check and the reservation form one transaction: the caller commits the
// host's new phase with `config/head` expected at the version that was checked,
// so the commit fails if the configuration has changed since.

#ifndef RADISHMOOR_FLEET_BUDGET_H_
#define RADISHMOOR_FLEET_BUDGET_H_

#include <map>
#include <set>
#include <span>

#include "radishmoor/fleet/drain_gate.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct HealthOptions {
  // An older observation counts as unknown. Reports come every 3 s, so this
  // tolerates the loss of three in a row.
  Duration valid_for = Seconds(10);
};

// Health of hosts and reachability of zones.
class HealthView {
 public:
  explicit HealthView(HealthOptions options) : options_(options) {}

  // Keeps the newest observation of each host.
  void Observe(std::span<const HostObservation> observations);
  // Derives which zones are partitioned from the entry processes whose member
  // rows no longer change.
  void ObserveZones(Time now, const DrainGate& gate);
  // Drops observations of hosts that left the fleet.
  void DropRemovedHosts(const FleetState& state);

  HostHealth HealthOf(Time now, const HostState& host) const;
  bool IsHealthy(Time now, const HostState& host) const {
    return HealthOf(now, host) == HostHealth::kHealthy;
  }
  // Returns true if the host is healthy according to an observation made after
  // `since`.
  bool HealthySince(Time now, const HostState& host, Time since) const;
  // Number of requests running on the host by the latest observation; 0 if the
  // observation is too old or does not report them.
  uint32_t RunningRequests(Time now, const HostId& host) const;

  // Returns true if every registered entry process of the zone is silent. The
  // zone is then partitioned from the platform, and its hosts count as
  // unavailable.
  bool IsPartitioned(const ZoneId& zone) const {
    return partitioned_.contains(zone);
  }
  // Returns true if at least one entry process of the zone is silent. A drain
  // there would wait for an acknowledgement that does not come.
  bool WouldStallDrain(const ZoneId& zone) const {
    return stalled_.contains(zone);
  }

 private:
  HealthOptions options_;
  std::map<HostId, HostObservation> observations_;
  std::set<ZoneId> partitioned_;
  std::set<ZoneId> stalled_;
};

// Returns true if the host was moved to its current pool and has not served
// there yet. The pool never relied on such a host, so it does not count against
// the pool's budget.
bool IsNewInPool(const HostState& host);

// Unavailable and leaving hosts of each pool at one configuration version and
// time. Keeps references to `state` and `health`. Cost to build: O(hosts).
class BudgetTable {
 public:
  BudgetTable(Time now, const FleetState& state, const HealthView& health);

  // Returns true if the pool stays within its budget when the host starts to
  // drain. A host that is already unavailable is not counted twice. A closed
  // pool has no budget; its wave limit bounds the number of hosts that leave at
  // the same time.
  bool MayMakeUnavailable(const HostState& host) const;

  // Returns true if lost hosts and hosts taken out of service by control
  // together exceed the pool's budget.
  bool IsExceeded(const PoolId& pool) const;

  // Number of hosts of the pool that do not serve or are not healthy.
  uint32_t unavailable(const PoolId& pool) const;

 private:
  struct Counts {
    uint32_t unavailable = 0;
    uint32_t leaving = 0;  // Draining or drained.
  };

  bool Unavailable(const HostState& host) const;
  const Counts& CountsOf(const PoolId& pool) const;

  Time now_;
  const FleetState& state_;
  const HealthView& health_;
  std::map<PoolId, Counts> counts_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_BUDGET_H_
