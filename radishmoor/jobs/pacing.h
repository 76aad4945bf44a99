// Paces tasks that use spare room so that they do not push the tail of response
// times of serving tasks beside them above its limit.
//
// Load that it answers: serving tasks whose load changes within seconds, beside
// tasks that take all the room that is left.

#ifndef RADISHMOOR_JOBS_PACING_H_
#define RADISHMOOR_JOBS_PACING_H_

#include <cstdint>

namespace radishmoor {

// The next pace in percent, from the current one and the largest ratio of a
// tail to its limit among the serving tasks of the server.
uint32_t NextPace(uint32_t current, double worst_tail_ratio);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_PACING_H_
