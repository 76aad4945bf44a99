#include "radishmoor/fleet/budget.h"

namespace radishmoor {

void HealthView::Observe(std::span<const HostObservation> observations) {
  for (const HostObservation& observation : observations) {
    auto [it, added] = observations_.emplace(observation.host, observation);
    if (!added && observation.observed_at >= it->second.observed_at)
      it->second = observation;
  }
}

void HealthView::ObserveZones(Time now, const DrainGate& gate) {
  partitioned_.clear();
  stalled_.clear();
  std::set<ZoneId> reachable;
  for (const MemberView& member : gate.members().members) {
    if (member.role != MemberRole::kEntry || gate.IsConfirmedEnded(member))
      continue;
    (gate.IsSilent(now, member) ? stalled_ : reachable).insert(member.zone);
  }
  for (const ZoneId& zone : stalled_) {
    if (!reachable.contains(zone))
      partitioned_.insert(zone);
  }
}

void HealthView::DropRemovedHosts(const FleetState& state) {
  std::erase_if(observations_,
                [&](const auto& item) { return !state.FindHost(item.first); });
}

HostHealth HealthView::HealthOf(Time now, const HostState& host) const {
  if (IsPartitioned(host.zone))
    return HostHealth::kUnreachable;
  auto it = observations_.find(host.id);
  if (it == observations_.end() ||
      now - it->second.observed_at > options_.valid_for) {
    return HostHealth::kUnknown;
  }
  return it->second.health;
}

bool HealthView::HealthySince(Time now,
                              const HostState& host,
                              Time since) const {
  auto it = observations_.find(host.id);
  return it != observations_.end() && it->second.observed_at > since &&
         IsHealthy(now, host);
}

uint32_t HealthView::RunningRequests(Time now, const HostId& host) const {
  auto it = observations_.find(host);
  if (it == observations_.end() ||
      now - it->second.observed_at > options_.valid_for) {
    return 0;
  }
  return it->second.running.value_or(0);
}

bool IsNewInPool(const HostState& host) {
  return host.phase == HostPhase::kDrained && host.drain_version == 0;
}

BudgetTable::BudgetTable(Time now,
                         const FleetState& state,
                         const HealthView& health)
    : now_(now), state_(state), health_(health) {
  for (const auto& [id, host] : state.hosts) {
    Counts& counts = counts_[host.pool];
    if (Unavailable(host))
      ++counts.unavailable;
    if (host.phase == HostPhase::kDraining ||
        (host.phase == HostPhase::kDrained && !IsNewInPool(host))) {
      ++counts.leaving;
    }
  }
}

bool BudgetTable::Unavailable(const HostState& host) const {
  if (host.phase == HostPhase::kRetired || IsNewInPool(host))
    return false;
  return host.phase != HostPhase::kActive || !health_.IsHealthy(now_, host);
}

const BudgetTable::Counts& BudgetTable::CountsOf(const PoolId& pool) const {
  static const Counts kNone;
  auto it = counts_.find(pool);
  return it == counts_.end() ? kNone : it->second;
}

bool BudgetTable::MayMakeUnavailable(const HostState& host) const {
  const PoolState* pool = state_.FindPool(host.pool);
  if (!pool)
    return false;
  const Counts& counts = CountsOf(host.pool);
  if (pool->closed)
    return counts.leaving < std::max(pool->wave_limit, 1U);
  uint32_t after = counts.unavailable + (Unavailable(host) ? 0 : 1);
  return after <= pool->max_unavailable;
}

bool BudgetTable::IsExceeded(const PoolId& pool) const {
  const PoolState* rules = state_.FindPool(pool);
  return rules && !rules->closed &&
         CountsOf(pool).unavailable > rules->max_unavailable;
}

uint32_t BudgetTable::unavailable(const PoolId& pool) const {
  return CountsOf(pool).unavailable;
}

}  // namespace radishmoor
