// Lends hosts of spare pools to pools whose load peaks.
//
// A host whose `wanted_pool` is a spare pool has that pool as its home and may
// be moved to any other pool. `wanted_pool` stays the same during a loan, so no
// other record is needed to bring the host back.
//
//   LendingPlanner planner(HysteresisLending{});
//   planner.ObserveLoads(now, loads);
//   LendingPlan plan = planner.Plan(now, state);

#ifndef RADISHMOOR_FLEET_LENDING_H_
#define RADISHMOOR_FLEET_LENDING_H_

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

#include "radishmoor/fleet/types.h"

namespace radishmoor {

// The pool in which each spare host should be. A host without an entry stays
// where it is.
using LendingPlan = std::map<HostId, PoolId>;

// Lends nothing; hosts on loan return.
struct StaticLending {};

// Lends hosts while the load is high and takes them back while it is low.
struct HysteresisLending {
  // Lends when the load per host of the pool exceeds this share of one host's
  // capacity.
  double high = 0.9;
  // Takes hosts back when the load per host would stay at or below this share
  // without them.
  double low = 0.5;
  // How long the condition for lending or for taking back must hold.
  Duration lend_after = Seconds(2);
  Duration return_after = Seconds(30);
};

// Learns how the load of each pool changes over a period, and lends hosts
// before the load rises. `high`, `low` and `return_after` are as in
// HysteresisLending.
struct PredictiveLending {
  double high = 0.9;
  double low = 0.5;
  Duration period = Seconds(86400);
  uint32_t bins = 1440;  // Intervals into which the period is divided.
  // How far ahead to plan. Covers the time of a move: drain, drain gate and
  // admission to the new pool.
  Duration lead_time = Seconds(60);
  Duration return_after = Seconds(30);
  // Weight of the newest period, from 0 to 1, in the learned load of a bin.
  double newest_period_weight = 0.5;
};

using LendingPolicy =
    std::variant<StaticLending, HysteresisLending, PredictiveLending>;

class LendingPlanner {
 public:
  explicit LendingPlanner(LendingPolicy policy) : policy_(policy) {}

  void ObserveLoads(Time now, std::span<const PoolLoad> loads);

  // Cost: O(hosts + pools * bins in the lead time).
  LendingPlan Plan(Time now, const FleetState& state);

 private:
  struct Bin {
    // Weighted mean, over the periods, of the maximum load in this bin.
    double load = 0;
    bool known = false;
  };
  struct LoadHistory {
    double demand = 0;  // Last report, in hosts.
    Time reported{};
    Time high_since = kTimeMax;
    Time low_since = kTimeMax;
    std::vector<Bin> bins;
    size_t current_bin = 0;
    double current_bin_max = 0;
  };

  // Returns the load to plan for, in hosts: the last report or, when
  // predicting, the largest learned load within the lead time if that is
  // larger.
  double ExpectedLoad(Time now, const LoadHistory& history) const;
  void RecordLoad(Time now, LoadHistory* history) const;
  // Returns the number of hosts on loan that the pool should have. The pool
  // now has `own` hosts of its own and `loans` on loan.
  uint32_t WantedLoans(Time now,
                       LoadHistory* history,
                       uint32_t own,
                       uint32_t loans) const;

  LendingPolicy policy_;
  std::map<PoolId, LoadHistory> pools_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_LENDING_H_
