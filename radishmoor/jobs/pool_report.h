// What the owner of a pool believes, as text for operators: the pool, its
// queues, its backend servers and the jobs that have not ended.
//
// Costs a pass over servers and open jobs; at most kMaxReportedJobs are listed,
// the oldest first.

#ifndef RADISHMOOR_JOBS_POOL_REPORT_H_
#define RADISHMOOR_JOBS_POOL_REPORT_H_

#include <cstddef>
#include <string>

#include "radishmoor/jobs/pool_scheduler.h"

namespace radishmoor {

inline constexpr size_t kMaxReportedJobs = 100;

std::string PoolReport(Time now, const PoolScheduler& scheduler);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_REPORT_H_
