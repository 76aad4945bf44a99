#include "radishmoor/fleet/wave.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace radishmoor {
namespace {

RackKey RackOf(const HostState& host) {
  return {host.zone, host.rack};
}

// Returns true if the host serves again after the round. The canary's soak time
// counts from then.
bool HasCompletedRound(const FleetState& state, const HostState& host) {
  return !state.rules.maintenance.empty() &&
         host.maintained == state.rules.maintenance &&
         host.phase == HostPhase::kActive;
}

bool InSparePool(const FleetState& state, const HostState& host) {
  const PoolState* pool = state.FindPool(host.pool);
  return pool && pool->spare;
}

size_t RackLimit(const FleetState& state) {
  return std::max(state.rules.max_racks_in_maintenance, 1U);
}

bool BelowWaveLimit(const std::map<PoolId, uint32_t>& counts,
                    const FleetState& state,
                    const PoolId& id) {
  const PoolState* pool = state.FindPool(id);
  auto count = counts.find(id);
  return pool && (count == counts.end() ||
                  count->second < std::max(pool->wave_limit, 1U));
}

TimelineEvent WaveEvent(EventKind kind,
                        const FleetState& state,
                        std::string detail) {
  TimelineEvent event;
  event.kind = kind;
  event.config = state.version;
  event.detail = std::move(detail);
  return event;
}

}  // namespace

bool IsDue(const FleetState& state, const HostState& host) {
  if (state.rules.maintenance.empty() ||
      host.maintained == state.rules.maintenance) {
    return false;
  }
  const PoolState* pool = state.FindPool(host.pool);
  return host.phase != HostPhase::kRetired &&
         host.phase != HostPhase::kRebooting &&
         host.intent != HostIntent::kRetire && pool && !pool->closed;
}

bool InMaintenance(const FleetState& state, const HostState& host) {
  if (host.phase == HostPhase::kRebooting)
    return true;
  if (host.phase == HostPhase::kActive || IsNewInPool(host))
    return false;
  // After its reboot a host counts as in maintenance until it serves again.
  // Otherwise a second canary could start before the first one serves.
  bool returning = host.phase == HostPhase::kDrained &&
                   !state.rules.maintenance.empty() &&
                   host.maintained == state.rules.maintenance &&
                   host.intent == HostIntent::kServe;
  return returning || IsDue(state, host);
}

std::vector<HostId> MaintenanceOrder(const FleetState& state) {
  std::vector<const HostState*> due;
  for (const auto& [id, host] : state.hosts) {
    if (IsDue(state, host))
      due.push_back(&host);
  }
  std::sort(due.begin(), due.end(), [](const HostState* a, const HostState* b) {
    return std::tie(a->zone, a->rack, a->id) <
           std::tie(b->zone, b->rack, b->id);
  });
  auto canary = std::find_if(due.begin(), due.end(), [&](const HostState* h) {
    return InSparePool(state, *h);
  });
  if (canary != due.end())
    std::rotate(due.begin(), canary, canary + 1);
  std::vector<HostId> order;
  order.reserve(due.size());
  for (const HostState* host : due)
    order.push_back(host->id);
  return order;
}

std::vector<HostId> SoonDueHosts(const FleetState& state) {
  std::set<RackKey> next;
  std::vector<HostId> order = MaintenanceOrder(state);
  // The racks that may be in maintenance now, and as many that come next.
  size_t racks = 2 * RackLimit(state);
  for (const HostId& id : order) {
    RackKey rack = RackOf(*state.FindHost(id));
    if (next.size() < racks)
      next.insert(rack);
  }
  std::vector<HostId> soon;
  for (const auto& [id, host] : state.hosts) {
    const PoolState* pool = state.FindPool(host.pool);
    const PoolState* wanted = state.FindPool(host.wanted_pool);
    bool moving = host.wanted_pool != host.pool && wanted && !wanted->spare;
    bool leaving = host.phase != HostPhase::kActive ||
                   host.intent != HostIntent::kServe || (pool && pool->closed);
    bool due = IsDue(state, host) && next.contains(RackOf(host));
    if (moving || leaving || due)
      soon.push_back(id);
  }
  return soon;
}

void Wave::BeginRound(Time now, const FleetState& state) {
  round_ = state.rules.maintenance;
  round_started_at_ = now;
  report_ = {.round = round_};
  paused_ = false;
  failures_below_limit_since_ = now;
  completed_at_.clear();
  reboot_failed_.clear();
  bool any_due = false;
  for (const auto& [id, host] : state.hosts) {
    any_due |= IsDue(state, host);
    bool already_maintained = !round_.empty() && host.maintained == round_;
    report_.partial |= already_maintained;
  }
  // If no host is due when this process first sees the round, another process
  // has reported it.
  round_finished_ = round_.empty() || !any_due;
}

void Wave::ObserveHosts(Time now, const FleetState& state) {
  for (const auto& [id, host] : state.hosts) {
    if (HasCompletedRound(state, host))
      completed_at_.emplace(id, now);
    if (host.phase == HostPhase::kRebooting) {
      rebooting_since_.emplace(id, now);
    } else {
      rebooting_since_.erase(id);
      reboot_failed_.erase(id);
    }
  }
}

uint32_t Wave::CountFailures(Time now,
                             const FleetState& state,
                             const HealthView& health) const {
  uint32_t failures = 0;
  for (const auto& [id, since] : rebooting_since_) {
    if (reboot_failed_.contains(id) || now - since > options_.reboot_timeout)
      ++failures;
  }
  for (const auto& [id, at] : completed_at_) {
    const HostState* host = state.FindHost(id);
    // A partition makes every host of the zone unreachable, rebooted or not, so
    // it is no sign of a failed reboot.
    if (!host || now - at > options_.probation ||
        health.IsPartitioned(host->zone)) {
      continue;
    }
    HostHealth seen = health.HealthOf(now, *host);
    if (seen == HostHealth::kFailed || seen == HostHealth::kUnreachable)
      ++failures;
  }
  return failures;
}

void Wave::UpdatePause(Time now,
                       uint32_t failures,
                       uint32_t limit,
                       std::vector<FleetAction>* actions) {
  if (failures >= limit) {
    failures_below_limit_since_ = now;
    if (paused_)
      return;
    paused_ = true;
    ++pauses_;
    TimelineEvent event;
    event.kind = EventKind::kWavePaused;
    event.detail = "round=" + round_ + " failed=" + std::to_string(failures);
    actions->push_back(event);
    return;
  }
  if (!paused_ || now - failures_below_limit_since_ < options_.resume_after)
    return;
  paused_ = false;
  TimelineEvent event;
  event.kind = EventKind::kWaveStarted;
  event.detail = "round=" + round_ + " resumed";
  actions->push_back(event);
}

std::vector<FleetAction> Wave::Observe(Time now,
                                       const FleetState& state,
                                       const HealthView& health,
                                       const BudgetTable& budgets) {
  std::vector<FleetAction> actions;
  if (state.rules.maintenance != round_) {
    BeginRound(now, state);
    if (!round_finished_) {
      actions.emplace_back(
          WaveEvent(EventKind::kWaveStarted, state, "round=" + round_));
    }
  }
  ObserveHosts(now, state);
  // Until the canary has passed, a single failure pauses the wave.
  uint32_t limit =
      CanaryPassed(now, state, health) ? options_.pause_failures : 1;
  UpdatePause(now, CountFailures(now, state, health), limit, &actions);
  if (round_finished_)
    return actions;
  for (const auto& [id, pool] : state.pools) {
    uint32_t& used = report_.budget_used[id];
    used = std::max(used, budgets.unavailable(id));
  }
  for (const auto& [id, host] : state.hosts) {
    if (IsDue(state, host) || host.phase == HostPhase::kRebooting)
      return actions;
  }
  round_finished_ = true;
  report_.roll_out = now - round_started_at_;
  actions.emplace_back(report_);
  actions.emplace_back(
      WaveEvent(EventKind::kWaveFinished, state, "round=" + round_));
  return actions;
}

std::vector<HostId> Wave::FirstCompleted(const FleetState& state,
                                         size_t limit) const {
  std::vector<std::pair<Time, HostId>> completed;
  for (const auto& [id, at] : completed_at_) {
    const HostState* host = state.FindHost(id);
    if (host && host->phase == HostPhase::kActive)
      completed.emplace_back(at, id);
  }
  std::sort(completed.begin(), completed.end());
  completed.resize(std::min(completed.size(), limit));
  std::vector<HostId> hosts;
  hosts.reserve(completed.size());
  for (const auto& [at, id] : completed)
    hosts.push_back(id);
  return hosts;
}

bool Wave::CanaryPassed(Time now,
                        const FleetState& state,
                        const HealthView& health) const {
  for (const auto& [id, at] : completed_at_) {
    const HostState* host = state.FindHost(id);
    if (host && now - at >= options_.canary_soak &&
        health.IsHealthy(now, *host))
      return true;
  }
  return false;
}

WaveUsage Wave::Usage(Time now,
                      const FleetState& state,
                      const HealthView& health) const {
  WaveUsage usage;
  usage.canary_passed = CanaryPassed(now, state, health);
  for (const auto& [id, host] : state.hosts) {
    if (!InMaintenance(state, host))
      continue;
    ++usage.in_pool[host.pool];
    if (host.phase == HostPhase::kRebooting) {
      usage.rebooting_racks.insert(RackOf(host));
      ++usage.rebooting_in_pool[host.pool];
    }
    // A drain that waits for a silent entry process may last as long as a
    // partition. Counting it would stop the wave in all other zones.
    if (host.phase == HostPhase::kDraining &&
        health.WouldStallDrain(host.zone)) {
      continue;
    }
    usage.racks.insert(RackOf(host));
    usage.zones.insert(host.zone);
  }
  return usage;
}

bool Wave::MayStartDrain(const WaveUsage& usage,
                         const FleetState& state,
                         const HostState& host) const {
  if (paused_ || !IsDue(state, host) ||
      !BelowWaveLimit(usage.in_pool, state, host.pool)) {
    return false;
  }
  if (!usage.canary_passed)
    return usage.racks.empty() && completed_at_.empty();
  if (usage.racks.contains(RackOf(host)))
    return true;
  // Only one zone is in maintenance at a time, so that a faulty round affects
  // only one failure domain.
  bool other_zone = !usage.zones.empty() && !usage.zones.contains(host.zone);
  return !other_zone && usage.racks.size() < RackLimit(state);
}

bool Wave::MayReboot(const WaveUsage& usage,
                     const FleetState& state,
                     const HostState& host) const {
  if (paused_ || !BelowWaveLimit(usage.rebooting_in_pool, state, host.pool)) {
    return false;
  }
  // A host that was drained for another reason is not rebooted beside the
  // canary.
  if (!usage.canary_passed)
    return usage.rebooting_racks.empty() && completed_at_.empty();
  return usage.rebooting_racks.contains(RackOf(host)) ||
         usage.rebooting_racks.size() < RackLimit(state);
}

}  // namespace radishmoor
