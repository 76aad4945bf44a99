#include "radishmoor/jobs/fleet_sizing.h"

#include <algorithm>
#include <cmath>

namespace radishmoor {
namespace {

// Share of a pool's cores that tasks can fill before short ones have to wait.
constexpr double kUsableShare = 0.8;
// A host that moves serves its new pool after about this time.
constexpr double kLeadSeconds = 1.8;
// Hosts for a foreseen peak must first be emptied elsewhere.
constexpr Duration kForecastLead = Milliseconds(1800);
constexpr Duration kSurplusTime = Milliseconds(1700);
// Queues are quiet before the first callers come: until a pool has this share
// of its cores in use, or the time has passed, all pools keep their hosts.
constexpr double kUsedShare = 0.25;
constexpr Duration kStartTime = Seconds(30);
// The slope follows demand with this weight at each plan.
constexpr double kDemandWeight = 0.7;
constexpr double kSlopeWeight = 0.3;
constexpr double kMaxRise = 0.5;
// A pool keeps as many, for the first jobs of a peak.
constexpr uint32_t kMinHosts = 4;
constexpr double kMaxStep = 1.0;  // Seconds; older samples say nothing.

}  // namespace

uint32_t FleetSizing::Needed(Time now, const PoolSizingInput& pool) {
  History& history = history_[pool.pool];
  double elapsed = ToSeconds(now - history.at);
  if (history.seen && elapsed > 0 && elapsed < kMaxStep) {
    double before = history.demand;
    history.demand += kDemandWeight * (pool.demand_cores - before);
    double slope = (history.demand - before) / elapsed;
    history.slope += kSlopeWeight * (slope - history.slope);
  } else {
    history.demand = pool.demand_cores;
    history.slope = 0;
  }
  history.seen = true;
  history.at = now;
  // One large job must not be taken for the beginning of a peak.
  double rise = std::min(std::max(0.0, history.slope) * kLeadSeconds,
                         kMaxRise * history.demand + pool.cores_per_host);
  double foreseen = forecast_.ExpectedCores(now, kForecastLead, pool.pool);
  double expected =
      std::max({history.demand + rise, pool.offered_cores, foreseen});
  double usable = std::max(1.0, pool.cores_per_host * kUsableShare);
  auto needed = static_cast<uint32_t>(std::ceil(expected / usable));
  needed = std::max({needed, pool.min_hosts, kMinHosts});
  history.samples.push_back({now, needed});
  while (now - history.samples.front().at > kSurplusTime)
    history.samples.pop_front();
  return needed;
}

bool FleetSizing::InStartTime(Time now) const {
  return new_site_ && !used_ && now - *started_ < kStartTime;
}

uint32_t FleetSizing::NeededLately(Time now, const PoolSizingInput& pool) {
  if (InStartTime(now))
    return pool.hosts;
  uint32_t most = 0;
  for (const Sample& sample : history_[pool.pool].samples)
    most = std::max(most, sample.needed);
  return most;
}

std::vector<HostMoves> FleetSizing::Plan(Time now,
                                         std::span<const PoolSizingInput> pools,
                                         uint32_t limit) {
  if (!started_)
    started_ = now;
  for (const PoolSizingInput& pool : pools) {
    double cores = pool.cores_per_host * pool.hosts;
    used_ = used_ ||
            (pool.figures_recent && pool.demand_cores > kUsedShare * cores);
  }
  struct Balance {
    const PoolSizingInput* pool = nullptr;
    uint32_t short_by = 0;
    uint32_t can_give = 0;     // To pools that are short of hosts.
    uint32_t can_put_off = 0;  // To standby.
  };
  std::vector<Balance> balances;
  PoolId standby;
  for (const PoolSizingInput& pool : pools) {
    Balance balance{&pool};
    if (pool.standby) {
      standby = pool.pool;
      balance.can_give = pool.spare_hosts;
      balances.push_back(balance);
      continue;
    }
    if (!pool.figures_recent)
      continue;
    uint32_t needed = Needed(now, pool);
    uint32_t lately = NeededLately(now, pool);
    uint32_t staying = pool.hosts - std::min(pool.hosts, pool.leaving_hosts +
                                                             pool.silent_hosts);
    uint32_t coming = staying + pool.arriving_hosts;
    balance.short_by = needed > coming ? needed - coming : 0;
    if (!InStartTime(now) && staying > needed)
      balance.can_give = std::min(staying - needed, pool.spare_hosts);
    if (staying > lately)
      balance.can_put_off = std::min(staying - lately, pool.spare_hosts);
    balances.push_back(balance);
  }
  std::stable_sort(balances.begin(), balances.end(),
                   [](const Balance& a, const Balance& b) {
                     return a.short_by > b.short_by;
                   });
  std::vector<HostMoves> moves;
  for (Balance& taker : balances) {
    for (int round = 0; round < 2; ++round) {
      for (Balance& giver : balances) {
        bool wanted_round = giver.pool->standby == (round == 0);
        uint32_t count = std::min({taker.short_by, giver.can_give, limit});
        if (!wanted_round || count == 0)
          continue;
        moves.push_back({giver.pool->pool, taker.pool->pool, count});
        taker.short_by -= count;
        giver.can_give -= count;
        giver.can_put_off -= std::min(giver.can_put_off, count);
        limit -= count;
      }
    }
  }
  if (standby.empty())
    return moves;
  for (const Balance& giver : balances) {
    uint32_t count = std::min(giver.can_put_off, limit);
    if (giver.pool->standby || count == 0)
      continue;
    moves.push_back({giver.pool->pool, standby, count});
    limit -= count;
  }
  return moves;
}

}  // namespace radishmoor
