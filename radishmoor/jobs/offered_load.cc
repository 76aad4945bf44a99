#include "radishmoor/jobs/offered_load.h"

#include <cmath>

namespace radishmoor {
namespace {

// The weight of a job falls to 1/e in this time. A host is ready about 2 s
// after it is asked for, so the estimate must not lag by as much.
constexpr Duration kMemory = Milliseconds(800);

}  // namespace

double OfferedLoad::Decay(Time now) const {
  return std::exp(-ToSeconds(now - at_) / ToSeconds(kMemory));
}

void OfferedLoad::Add(Time now, double core_seconds) {
  double decay = Decay(now);
  core_seconds_ = core_seconds_ * decay + core_seconds;
  jobs_ = jobs_ * decay + 1;
  at_ = now;
}

double OfferedLoad::Cores(Time now) const {
  double decay = Decay(now);
  double jobs = jobs_ * decay;
  if (jobs <= 1)
    return 0;
  double certain = 1 - 1 / std::sqrt(jobs);
  return core_seconds_ * decay / ToSeconds(kMemory) * certain;
}

}  // namespace radishmoor
