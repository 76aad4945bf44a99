#include "radishmoor/fleet/moves.h"

#include "radishmoor/base/invariant.h"
#include "radishmoor/fleet/wave.h"

namespace radishmoor {
namespace {

// Returns the pool that the host should be in.
PoolId WantedPool(const FleetState& state,
                  const HostState& host,
                  const LendingPlan& plan) {
  const PoolState* current = state.FindPool(host.pool);
  const PoolState* wanted = state.FindPool(host.wanted_pool);
  if (!wanted || wanted->closed)
    return host.pool;
  if (!wanted->spare)
    return host.wanted_pool;
  // The lending plan places a host whose home is a spare pool.
  if (!current || current->closed)
    return host.wanted_pool;
  auto it = plan.find(host.id);
  if (it == plan.end())
    return host.pool;
  const PoolState* target = state.FindPool(it->second);
  return target && !target->closed ? it->second : host.wanted_pool;
}

}  // namespace

DrainReasons DrainReasonsOf(const FleetState& state,
                            const HostState& host,
                            const LendingPlan& plan,
                            bool wave_paused) {
  DrainReasons reasons;
  if (host.phase == HostPhase::kRetired)
    return reasons;
  PoolId target = WantedPool(state, host, plan);
  if (target != host.pool)
    reasons.move_to = target;
  const PoolState* pool = state.FindPool(host.pool);
  bool released = pool && pool->closed && !reasons.move_to;
  reasons.retire = host.intent == HostIntent::kRetire || released;
  reasons.hold = host.intent == HostIntent::kDrain;
  reasons.maintain = !wave_paused && IsDue(state, host);
  return reasons;
}

HostState StartDrain(HostState host, ConfigVersion version) {
  RADISHMOOR_INVARIANT("fleet.drain_from_active",
                       host.phase == HostPhase::kActive);
  host.phase = HostPhase::kDraining;
  host.drain_version = version;
  return host;
}

HostState FinishDrain(HostState host) {
  RADISHMOOR_INVARIANT("fleet.drained_from_draining",
                       host.phase == HostPhase::kDraining);
  host.phase = HostPhase::kDrained;
  return host;
}

HostState StartReboot(HostState host,
                      ConfigVersion version,
                      const std::string& round) {
  RADISHMOOR_INVARIANT("fleet.reboot_from_drained",
                       host.phase == HostPhase::kDrained);
  host.phase = HostPhase::kRebooting;
  // `drain_version` is the key of the reboot action. A new key for each round
  // gives the host one reboot per round, even if the next round begins before
  // the host serves again.
  host.drain_version = version;
  host.maintained = round;
  return host;
}

HostState FinishReboot(HostState host) {
  RADISHMOOR_INVARIANT("fleet.return_from_rebooting",
                       host.phase == HostPhase::kRebooting);
  host.phase = HostPhase::kDrained;
  return host;
}

HostState MoveToPool(HostState host, const PoolId& pool) {
  RADISHMOOR_INVARIANT("fleet.flip_only_drained",
                       host.phase == HostPhase::kDrained);
  host.pool = pool;
  ++host.epoch;
  host.drain_version = 0;
  return host;
}

HostState Activate(HostState host) {
  RADISHMOOR_INVARIANT(
      "fleet.activate_idle_or_draining",
      host.phase == HostPhase::kDrained || host.phase == HostPhase::kDraining);
  host.phase = HostPhase::kActive;
  return host;
}

HostState Retire(HostState host) {
  RADISHMOOR_INVARIANT("fleet.retire_only_drained",
                       host.phase == HostPhase::kDrained);
  host.phase = HostPhase::kRetired;
  return host;
}

}  // namespace radishmoor
