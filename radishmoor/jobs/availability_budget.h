// Tells whether an order may make one more task of a long-running step
// unavailable.
//
// A task is missing from the moment at which its owner decides to stop it until
// a later run is at work. The stored progress has the decisions of earlier
// owners, and the servers' lists have the runs that are at work. A new owner
// counts a task as missing until a list shows its run.

#ifndef RADISHMOOR_JOBS_AVAILABILITY_BUDGET_H_
#define RADISHMOOR_JOBS_AVAILABILITY_BUDGET_H_

#include <cstdint>

#include "radishmoor/jobs/pool_state.h"

namespace radishmoor {

// Returns how many other tasks of the task's step are missing, or will be soon
// because their servers drain. O(tasks of the occurrence).
uint32_t CountMissingTasks(const JobPoolState& state,
                           Time now,
                           const Occurrence& occurrence,
                           const Task& task);

// Returns true if the step stays within its budget when this task is stopped.
bool MayBecomeMissing(const JobPoolState& state,
                      Time now,
                      const Job& job,
                      const Occurrence& occurrence,
                      const Task& task);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_AVAILABILITY_BUDGET_H_
