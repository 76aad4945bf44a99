#include "radishmoor/jobs/offered_load.h"

#include <cmath>

namespace radishmoor {
namespace {

// The weight of a job falls to 1/e in this time. A host is ready about 2 s
// after it was requested, so the estimate must lag by less than that.
constexpr Duration kDecayTime = Milliseconds(800);

}  // namespace

double OfferedLoad::DecayFactor(Time now) const {
  return std::exp(-ToSeconds(now - last_added_at_) / ToSeconds(kDecayTime));
}

void OfferedLoad::Add(Time now, double core_seconds) {
  double decay = DecayFactor(now);
  core_seconds_ = core_seconds_ * decay + core_seconds;
  jobs_ = jobs_ * decay + 1;
  last_added_at_ = now;
}

double OfferedLoad::Cores(Time now) const {
  double decay = DecayFactor(now);
  double jobs = jobs_ * decay;
  if (jobs <= 1)
    return 0;
  double confidence = 1 - 1 / std::sqrt(jobs);
  return core_seconds_ * decay / ToSeconds(kDecayTime) * confidence;
}

}  // namespace radishmoor
