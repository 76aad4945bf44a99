// Predicts which pool peaks next when pools peak in rotation.
//
//   PeakForecast forecast;
//   // For each pool, several times a second.
//   forecast.Observe(now, pool, offered_cores, cores_per_host);
//   double cores = forecast.ExpectedCores(now, lead, pool);
//
// The forecast is meant for queues that peak one after the other, at regular
// intervals and in the same order. It lets the fleet coordinator move hosts to
// a pool before the first jobs of its peak arrive, because a move takes some
// seconds.
//
// There is no prediction until every pool of the rotation has peaked and the
// intervals between the peaks are regular. The forecast is discarded when a
// predicted peak fails to appear.

#ifndef RADISHMOOR_JOBS_PEAK_FORECAST_H_
#define RADISHMOOR_JOBS_PEAK_FORECAST_H_

#include <deque>
#include <map>
#include <optional>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

class PeakForecast {
 public:
  // Records the load of a pool. `offered_cores` is the number of cores that the
  // arriving work keeps busy; `cores_per_host` is the size of one of its hosts.
  void Observe(Time now,
               const PoolId& pool,
               double offered_cores,
               double cores_per_host);

  // Returns the number of cores that the pool is expected to need within
  // `lead`, or 0 if no peak of the pool is predicted for that time.
  double ExpectedCores(Time now, Duration lead, const PoolId& pool) const;

 private:
  struct Peak {
    PoolId pool;
    Time began_at;
  };
  struct PoolHistory {
    bool in_peak = false;
    double max_offered_cores = 0;  // Maximum of the current or latest peak.
    // Maximum of the peak before. During a peak this follows
    // `max_offered_cores` if that is larger.
    double last_peak_cores = 0;
  };
  struct ExpectedPeak {
    PoolId pool;
    Time begins_at;
  };

  void RecordPeakStart(Time now, const PoolId& pool);
  void PredictNextPeak();
  // Returns the median interval between the latest peaks if they are regular.
  std::optional<Duration> PeakInterval() const;
  // Returns the pool that follows the latest one in the rotation, if the
  // recorded peaks show it.
  std::optional<PoolId> NextPool() const;

  std::map<PoolId, PoolHistory> pools_;
  std::deque<Peak> recorded_peaks_;  // In the order of their start.
  std::optional<ExpectedPeak> next_peak_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PEAK_FORECAST_H_
