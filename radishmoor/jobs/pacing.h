// Throttles best-effort tasks so that they do not push the tail latency of
// latency-sensitive tasks on the same server above its limit.
//
// Designed for latency-sensitive tasks whose load changes within seconds, next
// to best-effort tasks that use all spare cores of the server.

#ifndef RADISHMOOR_JOBS_PACING_H_
#define RADISHMOOR_JOBS_PACING_H_

#include <cstdint>

namespace radishmoor {

// Returns the next pace of a best-effort task in percent of its full speed; 0
// pauses it. `worst_tail_ratio` is the largest ratio of tail latency to its
// limit among the latency-sensitive tasks of the server.
uint32_t NextPace(uint32_t current_percent, double worst_tail_ratio);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PACING_H_
