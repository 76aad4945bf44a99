// Bounds the number of log lines about single runs.
//
//   RunLogSampler sampler;
//   if (sampler.Keep(now, job)) outbox.LogDecision("run-started", ...);
//
// Designed for pools that start thousands of tasks a second: two lines for each
// run would cost an owner a tenth of its processor time. Up to a rate of
// kMaxLinesPerSecond all lines are kept. Above it, those of every
// kJobsPerSample-th job are kept, chosen by the job's id, so that all processes
// keep the lines about the same jobs.

#ifndef RADISHMOOR_JOBS_RUN_LOG_SAMPLER_H_
#define RADISHMOOR_JOBS_RUN_LOG_SAMPLER_H_

#include <cstdint>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"

namespace radishmoor {

class RunLogSampler {
 public:
  static constexpr uint32_t kMaxLinesPerSecond = 200;
  static constexpr uint64_t kJobsPerSample = 16;

  // Returns whether a line about a run of the job is to be written.
  bool Keep(Time now, const JobId& job);
  uint64_t omitted() const { return omitted_; }

 private:
  Time second_began_at_;
  uint32_t lines_in_second_ = 0;
  uint64_t omitted_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_RUN_LOG_SAMPLER_H_
