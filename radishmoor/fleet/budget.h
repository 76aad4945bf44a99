// Availability budgets: which hosts count as unavailable, and whether one more
// host of a pool may leave service.
//
//   HealthView health(options);
//   health.Observe(observations);
//   BudgetTable budgets(now, state, health);
//   if (budgets.MayMakeUnavailable(host)) ...   // commit against this very
//   version
//
// The check and the reservation are one transaction: the caller commits the
// host's new phase with `config/head` expected at the version checked here.

#ifndef RADISHMOOR_FLEET_BUDGET_H_
#define RADISHMOOR_FLEET_BUDGET_H_

#include <map>
#include <set>
#include <span>

#include "radishmoor/fleet/drain_gate.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct HealthOptions {
  // An older observation counts as unknown: three reports of 3 s lost.
  Duration valid_for = Seconds(10);
};

// Health of hosts and reachability of zones.
class HealthView {
 public:
  explicit HealthView(HealthOptions options) : options_(options) {}

  // Keeps the newest observation of each host.
  void Observe(std::span<const HostObservation> observations);
  // Derives the state of the zones from the silence of their members.
  void ObserveZones(Time now, const DrainGate& gate);
  // Drops observations of hosts that left the fleet.
  void DropRemovedHosts(const FleetState& state);

  HostHealth HealthOf(Time now, const HostState& host) const;
  bool IsHealthy(Time now, const HostState& host) const {
    return HealthOf(now, host) == HostHealth::kHealthy;
  }
  // Healthy by an observation made after `since`.
  bool HealthySince(Time now, const HostState& host, Time since) const;
  // Requests running by a valid observation, 0 when none is reported.
  uint32_t RunningRequests(Time now, const HostId& host) const;

  // Every registered entry process of the zone is silent: the zone is
  // partitioned from the platform and its hosts count as unavailable.
  bool IsPartitioned(const ZoneId& zone) const {
    return partitioned_.contains(zone);
  }
  // At least one is silent, so that a drain there could not be acknowledged.
  bool WouldStallDrain(const ZoneId& zone) const {
    return stalled_.contains(zone);
  }

 private:
  HealthOptions options_;
  std::map<HostId, HostObservation> observations_;
  std::set<ZoneId> partitioned_;
  std::set<ZoneId> stalled_;
};

// A host that a move brought to its new pool and that never served there. It
// takes nothing from the pool, so it does not count against its budget.
bool IsNewInPool(const HostState& host);

// Counts of all pools at one version and time. Cost to build: O(hosts).
class BudgetTable {
 public:
  BudgetTable(Time now, const FleetState& state, const HealthView& health);

  // The host may start to drain: the pool stays within its budget. A host that
  // is unavailable already takes nothing more. A closed pool has no budget;
  // its wave limit bounds the hosts that leave at once.
  bool MayMakeUnavailable(const HostState& host) const;

  // External losses and reservations together exceed the budget.
  bool IsExceeded(const PoolId& pool) const;

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
