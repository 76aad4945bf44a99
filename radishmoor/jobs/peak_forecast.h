// Foresees which pool is in demand next when pools peak by turns.
//
//   PeakForecast forecast;
//   forecast.Observe(now, pool, offered_cores);   // Each pool, some times a
//                                                 // second.
//   forecast.ExpectedCores(now, lead, pool);
//
// Load that it answers: queues that peak one after the other, at regular
// intervals and in the same order. A pool whose turn comes gets its hosts ahead
// of the first jobs, since a host takes some seconds to come.
//
// Nothing is foreseen before the pools have had a turn each at regular
// intervals, and nothing any more once an expected turn has not come.

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
  // `offered_cores`: what arriving work needs; `host_cores`: of a host.
  void Observe(Time now,
               const PoolId& pool,
               double offered_cores,
               double host_cores);

  // Cores that the pool is expected to need within `lead`; 0 if nothing is
  // foreseen.
  double ExpectedCores(Time now, Duration lead, const PoolId& pool) const;

 private:
  struct Turn {
    PoolId pool;
    Time began;
  };
  struct PoolHistory {
    bool peaks = false;
    double peak = 0;         // Largest of the turn under way.
    double last_height = 0;  // Of the turn before.
  };
  struct Expectation {
    PoolId pool;
    Time begins;
  };

  void BeginTurn(Time now, const PoolId& pool);
  void Expect();
  // The usual interval between turns, if there is one.
  std::optional<Duration> Interval() const;
  std::optional<PoolId> NextPool() const;

  std::map<PoolId, PoolHistory> pools_;
  std::deque<Turn> turns_;
  std::optional<Expectation> next_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PEAK_FORECAST_H_
