// Reasons to take one host out of service, derived from the accepted
// configuration and the lending plan, and the changes of a host's phase.
// Nothing else records why a host is draining, so a controller that takes over
// derives the same reasons from the configuration log.

#ifndef RADISHMOOR_FLEET_MOVES_H_
#define RADISHMOOR_FLEET_MOVES_H_

#include <optional>

#include "radishmoor/fleet/lending.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct DrainReasons {
  bool retire = false;    // The host leaves the fleet.
  bool hold = false;      // The operator wants the host drained.
  bool maintain = false;  // The host is due for the current maintenance round.
  std::optional<PoolId> move_to;  // The pool to which the host moves.

  bool any() const { return retire || hold || maintain || move_to; }
};

// While `wave_paused`, maintenance is not among the reasons.
DrainReasons DrainReasonsOf(const FleetState& state,
                            const HostState& host,
                            const LendingPlan& plan,
                            bool wave_paused);

// Each returns the host after one change that control makes. `version` is the
// configuration version of that change.
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
