// Maintenance waves: the order in which due hosts are drained and rebooted, how
// many at a time, the pause on correlated failures, and the report of a round.
//
// `rules.maintenance` names the current round. All progress of the round is in
// the configuration log: a host is due while its `maintained` differs from the
// name, and the change to kRebooting sets `maintained`. A controller that takes
// over continues from there; only the timers of the canary and of the pause
// start again.

#ifndef RADISHMOOR_FLEET_WAVE_H_
#define RADISHMOOR_FLEET_WAVE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/fleet/budget.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct WaveOptions {
  // The canary, which is the first host of a round, must serve this long and be
  // healthy before other hosts are drained.
  Duration canary_soak = Seconds(30);
  // The wave pauses when this many hosts have failed after their reboot. Until
  // the canary has passed, one failure is enough.
  uint32_t pause_failures = 2;
  // A failed host counts against the round until this time has passed since it
  // returned to service.
  Duration probation = Seconds(900);
  // A host that is still rebooting after this time counts as failed.
  Duration reboot_timeout = Seconds(900);
  // The wave resumes after failures have stayed below the limit for this long.
  Duration resume_after = Seconds(60);
};

// Returns true if the host still needs the current round.
bool IsDue(const FleetState& state, const HostState& host);

// Returns true if the host counts against the limits of the wave.
bool InMaintenance(const FleetState& state, const HostState& host);

// Returns the due hosts ordered by zone, rack and id, but with the canary
// first: a host of a spare pool if one is due, since losing it costs least.
// Cost: O(hosts log hosts).
std::vector<HostId> MaintenanceOrder(const FleetState& state);

// Returns the hosts that are out of service or will be drained soon, on which
// long work should not be placed: hosts that are leaving, moving or held, and
// due hosts in the racks that are in maintenance or come next.
// Cost: O(hosts log hosts).
std::vector<HostId> SoonDueHosts(const FleetState& state);

using RackKey = std::pair<ZoneId, RackId>;

// What hosts in maintenance use of the wave's limits, at one configuration
// version and time.
struct WaveUsage {
  std::set<RackKey> racks;
  std::set<ZoneId> zones;
  std::set<RackKey> rebooting_racks;
  std::map<PoolId, uint32_t> in_pool;
  std::map<PoolId, uint32_t> rebooting_in_pool;
  bool canary_passed = false;
};

class Wave {
 public:
  explicit Wave(WaveOptions options) : options_(options) {}

  // Updates the state of the round. Returns the events of its start, pause,
  // resumption and end, and its report.
  std::vector<FleetAction> Observe(Time now,
                                   const FleetState& state,
                                   const HealthView& health,
                                   const BudgetTable& budgets);

  // Returns what the hosts in maintenance use of the limits now.
  // Cost: O(hosts).
  WaveUsage Usage(Time now,
                  const FleetState& state,
                  const HealthView& health) const;

  // Returns true if the wave's own limits allow the host to be drained for the
  // round now. The caller checks the pool's budget separately.
  bool MayStartDrain(const WaveUsage& usage,
                     const FleetState& state,
                     const HostState& host) const;

  // Returns true if the drained host may be rebooted now.
  bool MayReboot(const WaveUsage& usage,
                 const FleetState& state,
                 const HostState& host) const;

  // Returns at most `limit` hosts that serve, in the order in which they
  // completed the round. Their health tells every control process whether the
  // canary has passed.
  std::vector<HostId> FirstCompleted(const FleetState& state,
                                     size_t limit) const;

  bool paused() const { return paused_; }
  uint64_t pauses() const { return pauses_; }

  // Add to the sums in the report of the round.
  void CountMove() { ++report_.hosts_moved; }
  void CountReboot() { ++report_.hosts_maintained; }
  void CountInterruptedRequests(uint64_t requests) {
    report_.requests_cut += requests;
  }
  void OnRebootFailed(const HostId& host) { reboot_failed_[host] = true; }

 private:
  void BeginRound(Time now, const FleetState& state);
  void ObserveHosts(Time now, const FleetState& state);
  uint32_t CountFailures(Time now,
                         const FleetState& state,
                         const HealthView& health) const;
  void UpdatePause(Time now,
                   uint32_t failures,
                   uint32_t limit,
                   std::vector<FleetAction>* actions);
  bool CanaryPassed(Time now,
                    const FleetState& state,
                    const HealthView& health) const;

  WaveOptions options_;
  std::string round_;
  Time round_started_at_{};
  bool round_finished_ = true;
  WaveReport report_;

  bool paused_ = false;
  uint64_t pauses_ = 0;
  Time failures_below_limit_since_{};
  std::map<HostId, Time> completed_at_;
  std::map<HostId, Time> rebooting_since_;
  std::map<HostId, bool> reboot_failed_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_WAVE_H_
