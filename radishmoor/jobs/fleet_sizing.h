// How many hosts each pool should have, and which moves lead there.
//
// Load that it answers: queues whose demand rises in turn to several times
// their mean, more than their pool holds, for some seconds, while the other
// pools are nearly idle. Hosts go where demand is, from standby pools first and
// then from pools with hosts to spare; hosts that no pool needs go to standby,
// where they cost nothing.
//
// A move costs as much as a host in a pool for a second or so, so a pool gives
// hosts up only when it had too many for a while, by the highest demand of that
// time. Before a new site is used nothing is known of its queues, so all keep
// theirs.

#ifndef RADISHMOOR_JOBS_FLEET_SIZING_H_
#define RADISHMOOR_JOBS_FLEET_SIZING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/peak_forecast.h"

namespace radishmoor {

struct PoolSizingInput {
  PoolId pool;
  bool standby = false;
  // Cores of running and ready tasks; of a pool with an owner that is heard.
  double demand_cores = 0;
  // What the work that arrives now needs.
  double offered_cores = 0;
  double cores_per_host = 1;
  uint32_t hosts = 0;          // In use, those on their way included.
  uint32_t silent_hosts = 0;   // Of these, without answers to the owner.
  uint32_t leaving_hosts = 0;  // Of these, being emptied for a move.
  uint32_t arriving_hosts =
      0;                   // Being emptied elsewhere for a move to this pool.
  uint32_t min_hosts = 0;  // Long-running tasks need as many.
  // Hosts that can be emptied at once, with little or nothing on them. Of a
  // standby pool, with those that are being emptied to go there.
  uint32_t spare_hosts = 0;
  bool figures_recent = true;
};

struct HostMoves {
  PoolId from;
  PoolId to;
  uint32_t count = 0;
};

class FleetSizing {
 public:
  // `new_site`: the queues have not been used yet. `forecast` is kept up to
  // date by its owner and outlives this object.
  FleetSizing(bool new_site, const PeakForecast& forecast)
      : new_site_(new_site), forecast_(forecast) {}

  // The moves to begin now. At most `limit` hosts.
  std::vector<HostMoves> Plan(Time now,
                              std::span<const PoolSizingInput> pools,
                              uint32_t limit);

 private:
  struct Sample {
    Time at;
    uint32_t needed = 0;  // Hosts.
  };
  struct History {
    double demand = 0;
    double slope = 0;  // Cores a second, smoothed.
    Time at;
    bool seen = false;
    std::deque<Sample> samples;  // Of the time that kSurplusTime looks back.
  };

  // Hosts that the pool needs now.
  uint32_t Needed(Time now, const PoolSizingInput& pool);
  // The most that it needed lately; never less than it has in the first
  // seconds.
  uint32_t NeededLately(Time now, const PoolSizingInput& pool);

  bool InStartTime(Time now) const;

  bool new_site_;
  bool used_ = false;
  std::map<PoolId, History> history_;
  const PeakForecast& forecast_;
  std::optional<Time> started_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_FLEET_SIZING_H_
