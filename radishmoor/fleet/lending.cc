#include "radishmoor/fleet/lending.h"

#include <algorithm>
#include <cmath>

namespace radishmoor {
namespace {

// After a load report becomes older than this, the pool keeps the loans that it
// has.
constexpr Duration kLoadReportValidFor = Seconds(10);

struct Thresholds {
  double high = 0;
  double low = 0;
  Duration lend_after{};
  Duration return_after{};
};

Thresholds ThresholdsOf(const LendingPolicy& policy) {
  if (const auto* p = std::get_if<HysteresisLending>(&policy))
    return {p->high, p->low, p->lend_after, p->return_after};
  const auto& p = std::get<PredictiveLending>(policy);
  return {p.high, p.low, Duration::zero(), p.return_after};
}

size_t BinAt(const PredictiveLending& policy, Time at) {
  Duration offset = at.time_since_epoch() % policy.period;
  return static_cast<size_t>(offset.count() * policy.bins /
                             policy.period.count());
}

uint32_t HostsForLoad(double load, double load_per_host) {
  return static_cast<uint32_t>(std::ceil(load / load_per_host));
}

// Updates the time since which a condition holds; kTimeMax if it does not hold.
void UpdateConditionStart(Time now, bool holds, Time* since) {
  if (!holds)
    *since = kTimeMax;
  else
    *since = std::min(*since, now);
}

bool HasHeldFor(Time now, Time since, Duration duration) {
  return since != kTimeMax && now - since >= duration;
}

}  // namespace

void LendingPlanner::ObserveLoads(Time now, std::span<const PoolLoad> loads) {
  for (const PoolLoad& load : loads) {
    LoadHistory& history = pools_[load.pool];
    history.demand = load.demand;
    history.reported = now;
    RecordLoad(now, &history);
  }
}

void LendingPlanner::RecordLoad(Time now, LoadHistory* history) const {
  const auto* policy = std::get_if<PredictiveLending>(&policy_);
  if (!policy)
    return;
  if (history->bins.empty())
    history->bins.resize(policy->bins);
  size_t bin = BinAt(*policy, now);
  if (bin != history->current_bin) {
    Bin& finished = history->bins[history->current_bin];
    finished.load =
        finished.known
            ? (1 - policy->newest_period_weight) * finished.load +
                  policy->newest_period_weight * history->current_bin_max
            : history->current_bin_max;
    finished.known = true;
    history->current_bin = bin;
    history->current_bin_max = 0;
  }
  history->current_bin_max =
      std::max(history->current_bin_max, history->demand);
}

double LendingPlanner::ExpectedLoad(Time now,
                                    const LoadHistory& history) const {
  double expected = history.demand;
  const auto* policy = std::get_if<PredictiveLending>(&policy_);
  if (!policy || history.bins.empty())
    return expected;
  Duration width = policy->period / policy->bins;
  for (Time at = now; at <= now + policy->lead_time; at += width) {
    const Bin& bin = history.bins[BinAt(*policy, at)];
    if (bin.known)
      expected = std::max(expected, bin.load);
  }
  return expected;
}

uint32_t LendingPlanner::WantedLoans(Time now,
                                     LoadHistory* history,
                                     uint32_t own,
                                     uint32_t loans) const {
  Thresholds limits = ThresholdsOf(policy_);
  double load = ExpectedLoad(now, *history);
  uint32_t needed_at_high = HostsForLoad(load, limits.high);
  uint32_t loans_at_high = needed_at_high > own ? needed_at_high - own : 0;
  uint32_t needed_at_low = HostsForLoad(load, limits.low);
  uint32_t loans_at_low = needed_at_low > own ? needed_at_low - own : 0;
  UpdateConditionStart(now, loans_at_high > loans, &history->high_since);
  UpdateConditionStart(now, loans_at_low < loans, &history->low_since);
  if (HasHeldFor(now, history->high_since, limits.lend_after))
    return loans_at_high;
  if (HasHeldFor(now, history->low_since, limits.return_after))
    return loans_at_low;
  return loans;
}

LendingPlan LendingPlanner::Plan(Time now, const FleetState& state) {
  LendingPlan plan;
  std::vector<const HostState*> at_home;
  std::map<PoolId, std::vector<const HostState*>> on_loan;
  std::map<PoolId, uint32_t> own;
  for (const auto& [id, host] : state.hosts) {
    if (host.phase == HostPhase::kRetired)
      continue;
    const PoolState* home = state.FindPool(host.wanted_pool);
    if (!home || !home->spare) {
      ++own[host.pool];
    } else if (host.pool != host.wanted_pool) {
      on_loan[host.pool].push_back(&host);
    } else if (host.intent == HostIntent::kServe) {
      at_home.push_back(&host);
    }
  }
  // Hosts that are already out of service come first, so that no further host
  // needs to be drained for them.
  std::stable_sort(at_home.begin(), at_home.end(),
                   [](const HostState* a, const HostState* b) {
                     return (a->phase != HostPhase::kActive) >
                            (b->phase != HostPhase::kActive);
                   });
  bool lends = !std::holds_alternative<StaticLending>(policy_);
  size_t next = 0;
  for (const auto& [id, pool] : state.pools) {
    if (pool.spare)
      continue;
    std::vector<const HostState*>& loans = on_loan[id];
    auto count = static_cast<uint32_t>(loans.size());
    uint32_t wanted = 0;
    if (lends && !pool.closed) {
      auto history = pools_.find(id);
      bool fresh = history != pools_.end() &&
                   now - history->second.reported <= kLoadReportValidFor;
      wanted =
          fresh ? WantedLoans(now, &history->second, own[id], count) : count;
    }
    for (size_t i = 0; i < loans.size(); ++i)
      plan[loans[i]->id] = i < wanted ? id : loans[i]->wanted_pool;
    for (uint32_t n = count; n < wanted && next < at_home.size(); ++n)
      plan[at_home[next++]->id] = id;
  }
  for (; next < at_home.size(); ++next)
    plan[at_home[next]->id] = at_home[next]->wanted_pool;
  return plan;
}

}  // namespace radishmoor
