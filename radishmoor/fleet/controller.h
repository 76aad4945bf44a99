// The fleet controller of one control process: moves, availability budgets,
// maintenance waves, retirement and lending.
//
//   Controller controller(options, MemberId("c-1"), seed);
//   Perform(controller.SetConfig(now, state, head_row, snapshot));
//   Perform(controller.SetLeases(now, leases));
//   ...
//   Perform(controller.Tick(now));          // at next_wake() at the latest
//
// Every method returns the actions that follow from the input; the caller
// carries them out and returns StoreAnswers and PlatformResults. All progress
// is recorded in the configuration log. A controller's memory holds only timers
// and the platform's answers; a successor requests those answers again.
//
// Cost of each decision: O(hosts log hosts + draining hosts * members).

#ifndef RADISHMOOR_FLEET_CONTROLLER_H_
#define RADISHMOOR_FLEET_CONTROLLER_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "radishmoor/fleet/budget.h"
#include "radishmoor/fleet/change_writer.h"
#include "radishmoor/fleet/drain_gate.h"
#include "radishmoor/fleet/lending.h"
#include "radishmoor/fleet/moves.h"
#include "radishmoor/fleet/retirement.h"
#include "radishmoor/fleet/types.h"
#include "radishmoor/fleet/wave.h"

namespace radishmoor {

struct ControllerOptions {
  DrainGateOptions gate;
  HealthOptions health;
  WaveOptions wave;
  RetirementOptions retirement;
  ChangeWriterOptions writer;
  LendingPolicy lending = StaticLending{};
  // After a drain was cancelled to restore a pool's budget, no drain starts in
  // the pool for this long. Otherwise hosts whose health changes repeatedly
  // would make the controller drain one host after another.
  Duration cancelled_drain_hold = Seconds(30);
  // A platform action without a result is repeated after this time.
  Duration platform_retry = Seconds(10);
  // Prefix of the lease row's key; the row is deleted together with its pool.
  std::string lease_prefix = "lease/";
};

class Controller {
 public:
  Controller(ControllerOptions options, MemberId self, uint64_t seed);

  // Sets the accepted configuration. `head_row` is the version of the row
  // `config/head` that belongs to it, `snapshot` the snapshot that this row
  // names. Ignores a configuration older than the current one.
  std::vector<FleetAction> SetConfig(Time now,
                                     const FleetState& state,
                                     RowVersion head_row,
                                     ConfigVersion snapshot);
  std::vector<FleetAction> SetMembers(Time now, MemberList members);
  std::vector<FleetAction> SetHostList(Time now,
                                       std::span<const HostListEntry> hosts);
  // Adds health observations. They must cover hosts in every phase: a host that
  // returns from a reboot or a move is activated only when it is healthy.
  std::vector<FleetAction> SetHealth(
      Time now,
      std::span<const HostObservation> observations);
  // Sets all leases that the process holds now. A lease that is missing from
  // the list counts as lost.
  std::vector<FleetAction> SetLeases(Time now, std::vector<PoolLease> leases);
  std::vector<FleetAction> SetLoads(Time now, std::span<const PoolLoad> loads);
  std::vector<FleetAction> Handle(Time now, const StoreAnswer& answer);
  std::vector<FleetAction> Handle(Time now, const PlatformResult& result);
  std::vector<FleetAction> Tick(Time now);

  // When Tick should be called next, at most one second after the last
  // decision, since observations and member rows become outdated with time.
  Time next_wake() const { return next_wake_; }

  // Returns true if SoonDueHosts() of wave.h lists the host.
  bool IsSoonDue(const HostId& host) const { return soon_due_.contains(host); }
  // Returns why a draining host is not considered idle yet, for diagnostics.
  DrainGateResult CheckDrainGate(Time now, const HostId& host) const;
  bool wave_paused() const { return wave_.paused(); }
  // Returns Wave::FirstCompleted() for the accepted configuration.
  std::vector<HostId> FirstCompleted(size_t limit) const {
    return wave_.FirstCompleted(state_, limit);
  }
  const FleetState& state() const { return state_; }
  FleetCounters fleet_counters() const;

 private:
  struct Change {
    ConfigDelta delta;
    PoolId lease;  // The pool whose lease fences the change.
    std::vector<std::string> removed_rows;
  };

  // Keys of the latest actions sent to the platform for one host, and keys of
  // their results.
  struct PlatformState {
    uint64_t checkpoint_key = 0;    // Sent.
    uint64_t checkpointed_key = 0;  // Finished.
    uint64_t reboot_key = 0;
    uint64_t rebooted_key = 0;
    Time rebooted_at{};
    uint64_t admit_key = 0;
    uint64_t admitted_key = 0;
    Time retry_at{};
  };

  std::vector<FleetAction> Decide(Time now);
  // Makes the next Tick due at once and leaves the decision to it, so that
  // inputs that arrive together cost one decision.
  std::vector<FleetAction> DecideAtNextTick(Time now);
  void ObserveState(Time now);
  void ApplyResult(Time now, const WriteResult& result);
  void MarkLeaseFenced();
  void ReportChange(const ConfigDelta& delta);

  // Returns the pool's lease, or null if this process holds none that is valid
  // now.
  const PoolLease* ValidLease(Time now, const PoolId& pool) const;

  // Sends the platform actions that the committed phases of the hosts require,
  // and repeats those without a result.
  void RequestPlatformActions(Time now, const BudgetTable& budgets);
  bool WantsAdmission(const HostState& host, const BudgetTable& budgets) const;

  // Returns the next change to commit. In order of urgency: cancelling drains
  // of pools over their budget, advancing hosts that have left service,
  // removing empty closed pools, starting new drains.
  std::optional<Change> NextChange(Time now, const BudgetTable& budgets);
  std::optional<Change> CancelDrainOverBudget(Time now,
                                              const BudgetTable& budgets);
  std::optional<Change> AdvanceHosts(Time now, const BudgetTable& budgets);
  std::optional<HostState> AdvanceHost(Time now,
                                       const HostState& host,
                                       const BudgetTable& budgets) const;
  std::optional<HostState> AdvanceDrainedHost(Time now,
                                              const HostState& host,
                                              const BudgetTable& budgets) const;
  std::optional<Change> RemoveEmptyPool(Time now);
  std::optional<Change> StartNextDrain(Time now, const BudgetTable& budgets);
  bool MayStartDrain(Time now,
                     const HostState& host,
                     const BudgetTable& budgets);
  DrainReasons CurrentDrainReasons(const HostState& host) const;
  Change MakeHostChange(HostState next, const PoolId& lease) const;
  ConfigVersion next_version() const { return state_.version + 1; }

  ControllerOptions options_;
  MemberId self_;
  ChangeWriter writer_;
  DrainGate gate_;
  HealthView health_;
  Wave wave_;
  WaveUsage usage_;  // For the state on which NextChange decides.
  Retirement retirement_;
  LendingPlanner lending_planner_;
  LendingPlan lending_plan_;
  Time lending_planned_at_{};

  FleetState state_;
  HeadRow head_;
  std::map<PoolId, PoolLease> leases_;
  // Pools whose lease failed as a fence. The lease is not used until it has
  // other fence rows or versions.
  std::set<PoolId> fenced_leases_;
  PoolLease change_lease_;  // Fences the change in flight.
  std::map<PoolId, Time> no_new_drains_until_;
  std::map<HostId, PlatformState> platform_;
  std::set<HostId> soon_due_;
  std::vector<FleetAction> actions_;
  FleetCounters counters_;
  Time next_wake_{};
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_CONTROLLER_H_
