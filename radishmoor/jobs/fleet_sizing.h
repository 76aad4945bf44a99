// Decides how many hosts each pool needs and which hosts move between pools.
//
// The sizing is meant for queues whose demand rises in rotation to several
// times its mean for some seconds, more than the hosts of the pool can serve,
// while the other pools are nearly idle. A pool that is short of hosts gets
// them from standby pools first and then from pools with spare hosts. Hosts
// that no pool needs go to a standby pool, where they cost nothing. While a
// pool is short of many hosts, they stay where they are: a pool in need gets
// them with one move in place of two.
//
// Late jobs need hosts too. Their work, the backlog, keeps hosts from going to
// standby and brings hosts that are there or would go there. It takes no host
// that another pool needs for jobs that can still be in time.
//
// A move costs about as much as a host in a pool costs in one second.
// Therefore a pool gives hosts to standby only if it had more than it needed
// for some time; the highest need of that time counts. On a new site nothing is
// known about the queues until they are used, so until then all pools keep
// their hosts.

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
  // Cores that running and ready tasks need, from the owner's heartbeat.
  double demand_cores = 0;
  // Cores that the arriving work keeps busy, from the owner's heartbeat.
  double offered_cores = 0;
  // Cores that the work of late jobs needs besides, from the owner's heartbeat.
  double backlog_cores = 0;
  double cores_per_host = 1;
  // Hosts that serve the pool or are moving to it. `silent_hosts` and
  // `leaving_hosts` are included, `arriving_hosts` are not.
  uint32_t hosts = 0;
  uint32_t silent_hosts = 0;   // Hosts that do not answer the pool's owner.
  uint32_t leaving_hosts = 0;  // Hosts being emptied for a move away.
  // Hosts of other pools being emptied for a move to this pool.
  uint32_t arriving_hosts = 0;
  uint32_t min_hosts = 0;  // Hosts that long-running tasks need.
  // Hosts that can be emptied soon because they run little or nothing. For a
  // standby pool this includes hosts that are being emptied to move there.
  uint32_t spare_hosts = 0;
  // False if no recent heartbeat of the pool's owner is known; the pool is then
  // left as it is.
  bool figures_recent = true;
};

struct HostMoves {
  PoolId from;
  PoolId to;
  uint32_t count = 0;
};

class FleetSizing {
 public:
  // `new_site` tells that the queues have not been used yet. `forecast` is
  // updated by the caller and must outlive this object.
  FleetSizing(bool new_site, const PeakForecast& forecast)
      : new_site_(new_site), forecast_(forecast) {}

  // Returns the moves to start now, of at most `limit` hosts in total. Each
  // call adds a sample to the demand history, so it should be made several
  // times a second.
  std::vector<HostMoves> Plan(Time now,
                              std::span<const PoolSizingInput> pools,
                              uint32_t limit);

 private:
  // Hosts that a pool needs.
  struct Need {
    uint32_t in_time = 0;  // For the jobs that can still be in time.
    uint32_t all = 0;      // For all jobs.
  };
  struct NeedSample {
    Time at;
    uint32_t needed_hosts = 0;  // For all jobs.
  };
  struct DemandHistory {
    double smoothed_cores = 0;
    double smoothed_slope = 0;  // Cores per second.
    double offered_cores = 0;   // At the last sample.
    double offered_slope = 0;   // Cores per second.
    Time updated_at;
    bool initialized = false;
    std::deque<NeedSample> samples;  // Of the last kSurplusWindow.
  };

  // Adds a sample to the pool's history. Returns the number of hosts that the
  // pool needs now.
  Need UpdateNeededHosts(Time now, const PoolSizingInput& pool);
  // Returns the largest number of hosts that the pool needed within
  // kSurplusWindow; in the startup period, the number that it has.
  uint32_t MaxRecentlyNeededHosts(Time now, const PoolSizingInput& pool);

  // Returns true while a new site has not been used and all pools keep their
  // hosts.
  bool InStartupPeriod(Time now) const;
  // Returns the cores that the pool is expected to need when hosts that are
  // moved now serve it.
  double ExpectedCores(Time now,
                       const PoolSizingInput& pool,
                       DemandHistory& history);

  bool new_site_;
  bool site_used_ = false;
  std::map<PoolId, DemandHistory> history_;
  const PeakForecast& forecast_;
  std::optional<Time> first_plan_at_;
  // When the pools together were last short of a considerable number of hosts.
  std::optional<Time> last_shortage_at_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_FLEET_SIZING_H_
