// Lending of spare hosts to pools whose load peaks.
//
// A host whose `wanted_pool` is a spare pool is at home there and may be placed
// in any other pool; no further record is needed to bring it back.
//
//   LendingPolicy policy = HysteresisLending{options};
//   Lender lender(policy);
//   lender.ObserveLoads(now, loads);
//   LendingPlan plan = lender.Plan(now, state);

#ifndef RADISHMOOR_FLEET_LENDING_H_
#define RADISHMOOR_FLEET_LENDING_H_

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

#include "radishmoor/fleet/types.h"

namespace radishmoor {

// The pool in which a spare host should be. A host without entry stays where it
// is.
using LendingPlan = std::map<HostId, PoolId>;

// Lends nothing; hosts on loan return.
struct StaticLending {};

// Lends while the load is high, takes back while it is low.
struct HysteresisLending {
  double high = 0.9;  // Load for each host of the pool above which to lend.
  double low = 0.5;   // Load after the return below which to take back.
  Duration lend_after = Seconds(2);
  Duration return_after = Seconds(30);
};

// Learns the load of each pool over a period and lends before it rises.
struct PredictiveLending {
  double high = 0.9;
  double low = 0.5;
  Duration period = Seconds(86400);
  uint32_t bins = 1440;
  // Covers the drain, the gate and the admission of a move.
  Duration lead_time = Seconds(60);
  Duration return_after = Seconds(30);
  double newest_period_weight =
      0.5;  // Of the newest period in the learned load.
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
    double load = 0;
    bool known = false;
  };
  struct LoadHistory {
    double demand = 0;
    Time reported{};
    Time high_since = kTimeMax;
    Time low_since = kTimeMax;
    std::vector<Bin> bins;
    size_t current_bin = 0;
    double current_bin_max = 0;
  };

  // Load to plan for.
  double ExpectedLoad(Time now, const LoadHistory& history) const;
  void RecordLoad(Time now, LoadHistory* history) const;
  // Hosts on loan that the pool should have, given those it has.
  uint32_t WantedLoans(Time now,
                       LoadHistory* history,
                       uint32_t own,
                       uint32_t loans) const;

  LendingPolicy policy_;
  std::map<PoolId, LoadHistory> pools_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_LENDING_H_
