#include "radishmoor/fleet/lending.h"

#include <algorithm>
#include <cmath>

namespace radishmoor {
namespace {

// A report older than this says nothing; the loans of its pool stay.
constexpr Duration kLoadValidFor = Seconds(10);

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
  Duration into = at.time_since_epoch() % policy.period;
  return static_cast<size_t>(into.count() * policy.bins /
                             policy.period.count());
}

uint32_t HostsFor(double load, double level) {
  return static_cast<uint32_t>(std::ceil(load / level));
}

// Starts or clears the time since which a condition holds.
void Follow(Time now, bool holds, Time* since) {
  if (!holds)
    *since = kTimeMax;
  else
    *since = std::min(*since, now);
}

bool HeldFor(Time now, Time since, Duration time) {
  return since != kTimeMax && now - since >= time;
}

}  // namespace

void Lender::ObserveLoads(Time now, std::span<const PoolLoad> loads) {
  for (const PoolLoad& load : loads) {
    PoolMemory& memory = pools_[load.pool];
    memory.demand = load.demand;
    memory.reported = now;
    Learn(now, &memory);
  }
}

void Lender::Learn(Time now, PoolMemory* memory) const {
  const auto* policy = std::get_if<PredictiveLending>(&policy_);
  if (!policy)
    return;
  if (memory->bins.empty())
    memory->bins.resize(policy->bins);
  size_t bin = BinAt(*policy, now);
  if (bin != memory->current_bin) {
    Bin& done = memory->bins[memory->current_bin];
    done.load = done.known ? (1 - policy->weight) * done.load +
                                 policy->weight * memory->current_max
                           : memory->current_max;
    done.known = true;
    memory->current_bin = bin;
    memory->current_max = 0;
  }
  memory->current_max = std::max(memory->current_max, memory->demand);
}

double Lender::Expected(Time now, const PoolMemory& memory) const {
  double expected = memory.demand;
  const auto* policy = std::get_if<PredictiveLending>(&policy_);
  if (!policy || memory.bins.empty())
    return expected;
  Duration width = policy->period / policy->bins;
  for (Time at = now; at <= now + policy->lead; at += width) {
    const Bin& bin = memory.bins[BinAt(*policy, at)];
    if (bin.known)
      expected = std::max(expected, bin.load);
  }
  return expected;
}

uint32_t Lender::WantedLoans(Time now,
                             PoolMemory* memory,
                             uint32_t own,
                             uint32_t loans) const {
  Thresholds limits = ThresholdsOf(policy_);
  double load = Expected(now, *memory);
  uint32_t needed = HostsFor(load, limits.high);
  uint32_t for_high = needed > own ? needed - own : 0;
  uint32_t relaxed = HostsFor(load, limits.low);
  uint32_t for_low = relaxed > own ? relaxed - own : 0;
  Follow(now, for_high > loans, &memory->high_since);
  Follow(now, for_low < loans, &memory->low_since);
  if (HeldFor(now, memory->high_since, limits.lend_after))
    return for_high;
  if (HeldFor(now, memory->low_since, limits.return_after))
    return for_low;
  return loans;
}

LendingPlan Lender::Plan(Time now, const FleetState& state) {
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
  // Hosts that drain already come first, so that a drain is not wasted.
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
      auto memory = pools_.find(id);
      bool fresh = memory != pools_.end() &&
                   now - memory->second.reported <= kLoadValidFor;
      wanted =
          fresh ? WantedLoans(now, &memory->second, own[id], count) : count;
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
