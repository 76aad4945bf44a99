// Shortens the lists of queues in the heartbeats of a pool's owner.
//
// An owner announces its queues to all processes several times a second, and
// nearly all of them are as before and have no pending jobs. Only some
// heartbeats hold the complete list; the others hold what has changed since the
// last complete one. All lists are ordered by queue.
//
// A lost heartbeat is made up for by the next one. After a lost complete list,
// a receiver has queues as they were in an earlier list until the next complete
// one. A submission that relies on that is checked again before its job is
// stored (queue_admission.h).

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

// Returns the list that ChangedLoads() has reduced to `changed`. The queues
// that `changed` leaves out have no pending jobs, and their wait is as in
// `complete`. O(n).
std::vector<QueueLoad> MergeLoads(std::span<const QueueLoad> complete,
                                  std::span<const QueueLoad> changed);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_QUEUE_LOADS_H_
