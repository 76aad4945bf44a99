// Estimates how many cores the jobs that callers submit keep busy.
//
//   OfferedLoad load;
//   load.Add(now, core_seconds);   // For each job that arrives.
//   load.Cores(now);
//
// Designed for the first moments of a peak: running and waiting tasks show a
// peak only as fast as they accumulate, but the rate of arrivals shows it with
// the first jobs. A rate that is computed from few jobs is uncertain, so the
// estimate is reduced by its standard error.

#ifndef RADISHMOOR_JOBS_OFFERED_LOAD_H_
#define RADISHMOOR_JOBS_OFFERED_LOAD_H_

#include "radishmoor/base/time.h"

namespace radishmoor {

class OfferedLoad {
 public:
  // Counts a job that arrives now with this much work.
  void Add(Time now, double core_seconds);
  // Cores that the work which arrived in about the last second keeps busy.
  double Cores(Time now) const;

 private:
  // The factor by which both sums have decayed since the last Add().
  double DecayFactor(Time now) const;

  // Sums over all jobs, weighted by an exponential decay with their age.
  double core_seconds_ = 0;
  double jobs_ = 0;
  Time last_added_at_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_OFFERED_LOAD_H_
