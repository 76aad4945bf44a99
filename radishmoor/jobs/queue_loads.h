// Shortens the lists of queues in the heartbeats of a pool's owner.
//
// An owner announces its queues to all processes several times a second, and
// nearly all of them are as before and have no pending jobs. Only some
// heartbeats hold the complete list; the others hold what has changed since the
// last complete one, so that a lost heartbeat does no harm. All lists are
// ordered by queue.

#ifndef RADISHMOOR_JOBS_QUEUE_LOADS_H_
#define RADISHMOOR_JOBS_QUEUE_LOADS_H_

#include <span>
#include <vector>

#include "radishmoor/jobs/messages.h"

namespace radishmoor {

// Returns the entries of `loads` that have pending jobs, or differ from
// `complete` in more than their load. O(n).
std::vector<QueueLoad> ChangedLoads(std::span<const QueueLoad> complete,
                                    std::span<const QueueLoad> loads);

// Returns the list that ChangedLoads(complete, list) == changed holds for. The
// queues that `changed` leaves out have no pending jobs. O(n).
std::vector<QueueLoad> MergeLoads(std::span<const QueueLoad> complete,
                                  std::span<const QueueLoad> changed);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_QUEUE_LOADS_H_
