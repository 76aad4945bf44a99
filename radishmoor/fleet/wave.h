// Maintenance waves: in which order and how many due hosts may be taken, the
// pause on correlated failures, and the report of a round.
//
// A round is named by `rules.maintenance`. All its progress is in the
// configuration log: a host is due while `maintained` differs, and `maintained`
// is set by the change to kRebooting. A controller that takes over continues
// from there; only the timers of the canary and of the pause start again.

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
  // The first host of a round must stay healthy this long before the others.
  Duration canary_soak = Seconds(30);
  // This many hosts failing after their reboot pause the wave.
  uint32_t pause_failures = 2;
  // A failure counts against the round this long after the reboot.
  Duration probation = Seconds(900);
  // A host that has not returned by then counts as failed.
  Duration reboot_timeout = Seconds(900);
  // The wave resumes after failures stayed below the limit this long.
  Duration resume_after = Seconds(60);
};

// The host still needs the current round.
bool IsDue(const FleetState& state, const HostState& host);

// The host holds one of the places that the limits of a wave count.
bool InMaintenance(const FleetState& state, const HostState& host);

// Due hosts by zone, rack and id, the canary first: a host of a spare pool if
// one is due, since its loss costs least. Cost: O(hosts log hosts).
std::vector<HostId> MaintenanceOrder(const FleetState& state);

// The host will be drained soon: long work should not be placed on it. True for
// hosts that are leaving, moving or held, and for due hosts in the racks that
// are in maintenance or come next. Cost: O(hosts log hosts).
std::vector<HostId> SoonDueHosts(const FleetState& state);

using RackKey = std::pair<ZoneId, RackId>;

// Places that hosts in maintenance occupy, at one version and time.
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

  // Follows the round. Returns pause, resume and report actions.
  std::vector<FleetAction> Observe(Time now,
                                   const FleetState& state,
                                   const HealthView& health,
                                   const BudgetTable& budgets);

  // What the round occupies now. Cost: O(hosts).
  WaveUsage Usage(Time now,
                  const FleetState& state,
                  const HealthView& health) const;

  // The host may be drained for the round now, as far as the wave's own limits
  // go. Budgets are checked apart.
  bool MayStartDrain(const WaveUsage& usage,
                     const FleetState& state,
                     const HostState& host) const;

  // The drained host may be rebooted now.
  bool MayReboot(const WaveUsage& usage,
                 const FleetState& state,
                 const HostState& host) const;

  // The hosts that completed the round first and serve, at most `limit`. Their
  // health tells every control process whether the canary passed.
  std::vector<HostId> FirstCompleted(const FleetState& state,
                                     size_t limit) const;

  bool paused() const { return paused_; }
  uint64_t pauses() const { return pauses_; }

  // Sums for the report.
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
