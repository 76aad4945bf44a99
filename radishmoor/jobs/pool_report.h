// A text report for operators on a pool as its owner sees it: the pool, its
// queues, its backend servers and the jobs that have not ended.

#ifndef RADISHMOOR_JOBS_POOL_REPORT_H_
#define RADISHMOOR_JOBS_POOL_REPORT_H_

#include <cstddef>
#include <string>

#include "radishmoor/jobs/pool_scheduler.h"

namespace radishmoor {

inline constexpr size_t kMaxReportedJobs = 100;

// Lists at most kMaxReportedJobs jobs, the oldest first. Visits all servers of
// the pool and sorts all open jobs.
std::string FormatPoolReport(Time now, const PoolScheduler& scheduler);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_POOL_REPORT_H_
