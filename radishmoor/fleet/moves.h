// What control wants of one host, derived from the accepted configuration and
// the lending plan. Nothing else records why a host is draining, so a
// controller that takes over reaches the same answer from the log.

#ifndef RADISHMOOR_FLEET_MOVES_H_
#define RADISHMOOR_FLEET_MOVES_H_

#include <optional>

#include "radishmoor/fleet/lending.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct DrainReasons {
  bool retire = false;    // Leaves the fleet.
  bool hold = false;      // The operator wants it drained.
  bool maintain = false;  // Due for the current round.
  std::optional<PoolId> move_to;

  bool any() const { return retire || hold || maintain || move_to; }
};

// `wave_paused` leaves maintenance out.
DrainReasons DrainReasonsOf(const FleetState& state,
                            const HostState& host,
                            const LendingPlan& plan,
                            bool wave_paused);

// New values of a host for each change that control makes. `version` is that of
// the change.
HostState StartDrain(HostState host, ConfigVersion version);
HostState FinishDrain(HostState host);
HostState StartReboot(HostState host,
                      ConfigVersion version,
                      const std::string& round);
HostState FinishReboot(HostState host);
HostState MoveToPool(HostState host, const PoolId& pool);
HostState Activate(HostState host);
HostState Retire(HostState host);

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_MOVES_H_
