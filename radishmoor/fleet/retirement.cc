#include "radishmoor/fleet/retirement.h"

namespace radishmoor {

void Retirement::ObserveState(Time now, const FleetState& state) {
  std::erase_if(closed_since_, [&](const auto& item) {
    const PoolState* pool = state.FindPool(item.first);
    return !pool || !pool->closed;
  });
  for (const auto& [id, pool] : state.pools) {
    if (pool.closed)
      closed_since_.emplace(id, now);
  }
}

void Retirement::ObserveLoads(Time now, std::span<const PoolLoad> loads) {
  for (const PoolLoad& load : loads)
    queues_[load.pool] = {now, load.queued};
}

bool Retirement::MayDrainFromClosedPool(Time now,
                                        const FleetState& state,
                                        const HostState& host) const {
  uint32_t active = 0;
  for (const auto& [id, other] : state.hosts) {
    if (other.pool == host.pool && other.phase == HostPhase::kActive)
      ++active;
  }
  if (active > 1)
    return true;
  auto closed = closed_since_.find(host.pool);
  if (closed == closed_since_.end())
    return false;
  // Entry processes learn of the closing within `margin`. A queue that is empty
  // after that receives no further requests.
  Time closing_known_at = closed->second + options_.margin;
  auto queue = queues_.find(host.pool);
  if (queue != queues_.end() && queue->second.queued == 0 &&
      queue->second.reported >= closing_known_at &&
      now - queue->second.reported <= options_.load_valid_for) {
    return true;
  }
  return options_.max_request_time > Duration::zero() &&
         now >= closing_known_at + options_.max_request_time;
}

std::optional<ConfigDelta> Retirement::MakePoolRemoval(const FleetState& state,
                                                       const PoolId& pool) {
  const PoolState* rules = state.FindPool(pool);
  if (!rules || !rules->closed)
    return std::nullopt;
  ConfigDelta delta;
  for (const auto& [id, host] : state.hosts) {
    bool retired = host.phase == HostPhase::kRetired;
    if (host.pool == pool && retired) {
      delta.removed_hosts.push_back(id);
    } else if (host.pool == pool || (host.wanted_pool == pool && !retired)) {
      return std::nullopt;
    }
  }
  delta.removed_pools.push_back(pool);
  return delta;
}

}  // namespace radishmoor
