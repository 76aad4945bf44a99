#include "radishmoor/jobs/run_log_sampler.h"

#include "radishmoor/base/hash.h"

namespace radishmoor {

bool RunLogSampler::Keep(Time now, const JobId& job) {
  if (now - second_began_at_ >= Seconds(1)) {
    second_began_at_ = now;
    lines_in_second_ = 0;
  }
  if (++lines_in_second_ <= kMaxLinesPerSecond ||
      StableHash(job.view()) % kJobsPerSample == 0)
    return true;
  ++omitted_;
  return false;
}

}  // namespace radishmoor
