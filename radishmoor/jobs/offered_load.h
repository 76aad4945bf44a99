// How much work callers hand in, as the number of cores that it keeps busy.
//
//   OfferedLoad load;
//   load.Add(now, core_seconds);   // For each job that arrives.
//   load.Cores(now);
//
// Load that it answers: the first moments of a peak. Running and waiting tasks
// show a peak only as fast as they pile up; the rate of arrivals shows it with
// the first jobs. Few jobs say little about a rate, so the estimate is cut by
// its standard error.

#ifndef RADISHMOOR_JOBS_OFFERED_LOAD_H_
#define RADISHMOOR_JOBS_OFFERED_LOAD_H_

#include "radishmoor/base/time.h"

namespace radishmoor {

class OfferedLoad {
 public:
  void Add(Time now, double core_seconds);
  // Cores that the work of the last second or so keeps busy.
  double Cores(Time now) const;

 private:
  double Decay(Time now) const;

  // Sums in which older jobs count less.
  double core_seconds_ = 0;
  double jobs_ = 0;
  Time at_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_OFFERED_LOAD_H_
