#include "radishmoor/jobs/fleet_sizing.h"

#include <algorithm>
#include <cmath>

namespace radishmoor {
namespace {

// Share of a pool's cores that tasks can fill before short tasks have to wait.
constexpr double kUsableCoreShare = 0.8;
// Time from the decision to move a host until it serves its new pool.
constexpr double kMoveLeadSeconds = 1.8;
// Hosts are requested this long before a predicted peak, because they must
// first be emptied in another pool.
constexpr Duration kForecastLead = Milliseconds(1800);
// A pool gives hosts to standby only if it did not need them for this long.
constexpr Duration kSurplusWindow = Milliseconds(1700);
// The queues of a new site are quiet until the first callers come. All pools
// keep their hosts until a pool has this share of its cores in use, or until
// the startup period has passed.
constexpr double kSiteUsedShare = 0.25;
constexpr Duration kStartupPeriod = Seconds(30);
// Weights of the newest sample in the exponential averages of a pool's demand
// and of its slope. They apply per call of Plan().
constexpr double kDemandWeight = 0.7;
constexpr double kSlopeWeight = 0.3;
// The expected rise is limited to this share of the demand plus one host.
constexpr double kMaxRiseShare = 0.5;
// The expected rise of the offered work is limited to this share of it. A peak
// rises to its height within a few seconds.
constexpr double kMaxOfferedRiseShare = 1.0;
// The rise of less work than this many hosts can do is mostly noise, as it
// comes from few jobs.
constexpr double kMinRisingHosts = 24;
// Hosts do not go to standby for kShortageHold after the pools together lacked
// at least this share of all hosts.
constexpr double kShortageShare = 0.03;
constexpr uint32_t kMinShortageHosts = 8;
constexpr Duration kShortageHold = Milliseconds(1500);
// A pool keeps at least this many hosts for the first jobs of a peak.
constexpr uint32_t kMinHostsPerPool = 4;
// No slope is computed from two samples that are further apart than this.
constexpr double kMaxSampleGapSeconds = 1.0;

}  // namespace

double FleetSizing::ExpectedCores(Time now,
                                  const PoolSizingInput& pool,
                                  DemandHistory& history) {
  double elapsed = ToSeconds(now - history.updated_at);
  if (history.initialized && elapsed > 0 && elapsed < kMaxSampleGapSeconds) {
    double before = history.smoothed_cores;
    history.smoothed_cores += kDemandWeight * (pool.demand_cores - before);
    double slope = (history.smoothed_cores - before) / elapsed;
    history.smoothed_slope += kSlopeWeight * (slope - history.smoothed_slope);
    double offered_slope =
        (pool.offered_cores - history.offered_cores) / elapsed;
    history.offered_slope +=
        kSlopeWeight * (offered_slope - history.offered_slope);
  } else {
    history.smoothed_cores = pool.demand_cores;
    history.smoothed_slope = history.offered_slope = 0;
  }
  history.offered_cores = pool.offered_cores;
  history.initialized = true;
  history.updated_at = now;
  // The limit keeps one large job from being taken for the start of a peak.
  double expected_rise =
      std::min(std::max(0.0, history.smoothed_slope) * kMoveLeadSeconds,
               kMaxRiseShare * history.smoothed_cores + pool.cores_per_host);
  double offered_rise = 0;
  if (pool.offered_cores >= kMinRisingHosts * pool.cores_per_host) {
    offered_rise =
        std::min(std::max(0.0, history.offered_slope) * kMoveLeadSeconds,
                 kMaxOfferedRiseShare * pool.offered_cores);
  }
  return std::max({history.smoothed_cores + expected_rise,
                   pool.offered_cores + offered_rise,
                   forecast_.ExpectedCores(now, kForecastLead, pool.pool)});
}

FleetSizing::Need FleetSizing::UpdateNeededHosts(Time now,
                                                 const PoolSizingInput& pool) {
  DemandHistory& history = history_[pool.pool];
  double expected_cores = ExpectedCores(now, pool, history);
  double usable_cores_per_host =
      std::max(1.0, pool.cores_per_host * kUsableCoreShare);
  auto hosts_for = [&](double cores) {
    auto hosts =
        static_cast<uint32_t>(std::ceil(cores / usable_cores_per_host));
    return std::max({hosts, pool.min_hosts, kMinHostsPerPool});
  };
  Need needed{hosts_for(expected_cores),
              hosts_for(expected_cores + pool.backlog_cores)};
  history.samples.push_back({now, needed.all});
  while (now - history.samples.front().at > kSurplusWindow)
    history.samples.pop_front();
  return needed;
}

bool FleetSizing::InStartupPeriod(Time now) const {
  return new_site_ && !site_used_ && now - *first_plan_at_ < kStartupPeriod;
}

uint32_t FleetSizing::MaxRecentlyNeededHosts(Time now,
                                             const PoolSizingInput& pool) {
  if (InStartupPeriod(now))
    return pool.hosts;
  uint32_t most = 0;
  for (const NeedSample& sample : history_[pool.pool].samples)
    most = std::max(most, sample.needed_hosts);
  return most;
}

std::vector<HostMoves> FleetSizing::Plan(Time now,
                                         std::span<const PoolSizingInput> pools,
                                         uint32_t limit) {
  if (!first_plan_at_)
    first_plan_at_ = now;
  for (const PoolSizingInput& pool : pools) {
    double cores = pool.cores_per_host * pool.hosts;
    site_used_ = site_used_ || (pool.figures_recent &&
                                pool.demand_cores > kSiteUsedShare * cores);
  }
  struct Balance {
    const PoolSizingInput* pool = nullptr;
    uint32_t missing_hosts = 0;
    uint32_t missing_for_backlog = 0;  // Besides these.
    uint32_t surplus_for_pools = 0;
    uint32_t surplus_for_standby = 0;
  };
  std::vector<Balance> balances;
  PoolId standby;
  uint32_t all_hosts = 0;
  uint32_t all_missing = 0;
  for (const PoolSizingInput& pool : pools) {
    Balance balance{&pool};
    all_hosts += pool.hosts;
    if (pool.standby) {
      standby = pool.pool;
      balance.surplus_for_pools = pool.spare_hosts;
      balances.push_back(balance);
      continue;
    }
    if (!pool.figures_recent)
      continue;
    Need needed = UpdateNeededHosts(now, pool);
    uint32_t recently_needed = MaxRecentlyNeededHosts(now, pool);
    uint32_t staying = pool.hosts - std::min(pool.hosts, pool.leaving_hosts +
                                                             pool.silent_hosts);
    uint32_t staying_or_arriving = staying + pool.arriving_hosts;
    auto missing = [staying_or_arriving](uint32_t hosts) {
      return hosts - std::min(hosts, staying_or_arriving);
    };
    balance.missing_hosts = missing(needed.in_time);
    balance.missing_for_backlog = missing(needed.all) - balance.missing_hosts;
    all_missing += balance.missing_hosts;
    if (!InStartupPeriod(now) && staying > needed.in_time)
      balance.surplus_for_pools =
          std::min(staying - needed.in_time, pool.spare_hosts);
    if (staying > recently_needed)
      balance.surplus_for_standby =
          std::min(staying - recently_needed, pool.spare_hosts);
    balances.push_back(balance);
  }
  std::stable_sort(balances.begin(), balances.end(),
                   [](const Balance& a, const Balance& b) {
                     return a.missing_hosts > b.missing_hosts;
                   });
  std::vector<HostMoves> moves;
  auto move_hosts = [&](Balance& giver, Balance& receiver, uint32_t surplus,
                        uint32_t& missing) {
    uint32_t count = std::min({missing, surplus, limit});
    if (count == 0)
      return;
    moves.push_back({giver.pool->pool, receiver.pool->pool, count});
    missing -= count;
    giver.surplus_for_pools -= std::min(giver.surplus_for_pools, count);
    giver.surplus_for_standby -= std::min(giver.surplus_for_standby, count);
    limit -= count;
  };
  for (Balance& receiver : balances) {
    // Standby pools give hosts in the first round, other pools in the second.
    for (bool from_standby : {true, false}) {
      for (Balance& giver : balances) {
        if (giver.pool->standby == from_standby)
          move_hosts(giver, receiver, giver.surplus_for_pools,
                     receiver.missing_hosts);
      }
    }
  }
  // Of other pools, only hosts that would go to standby are given to backlog.
  for (Balance& receiver : balances) {
    for (bool from_standby : {true, false}) {
      for (Balance& giver : balances) {
        if (giver.pool->standby == from_standby)
          move_hosts(giver, receiver,
                     from_standby ? giver.surplus_for_pools
                                  : giver.surplus_for_standby,
                     receiver.missing_for_backlog);
      }
    }
  }
  if (all_missing >=
      std::max<double>(kMinShortageHosts, kShortageShare * all_hosts))
    last_shortage_at_ = now;
  if (standby.empty() ||
      (last_shortage_at_ && now - *last_shortage_at_ < kShortageHold))
    return moves;
  for (const Balance& giver : balances) {
    uint32_t count = std::min(giver.surplus_for_standby, limit);
    if (giver.pool->standby || count == 0)
      continue;
    moves.push_back({giver.pool->pool, standby, count});
    limit -= count;
  }
  return moves;
}

}  // namespace radishmoor
