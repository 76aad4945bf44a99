// Limits the jobs that a process stores itself because a pool's owner does not
// take them.
//
// Each such insert is a transaction in the pool's partition, which carries
// a limited number of transactions a second. Without a limit, the processes of
// a large site together fill the partition at a peak: a busy owner then cannot
// renew its lease, and no successor can acquire it. The processes share the
// inserts evenly, as far as each knows their number.

#ifndef RADISHMOOR_JOBS_INSERT_LIMITER_H_
#define RADISHMOOR_JOBS_INSERT_LIMITER_H_

#include <cstddef>
#include <map>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

class InsertLimiter {
 public:
  // Sets the number of live scheduler processes, this one included.
  void SetProcesses(size_t processes);

  // Returns whether this process may insert a job into the pool's partition
  // now. Counts the insert if so.
  bool TryInsert(Time now, const PoolId& pool);

  // Returns the number of inserts a second of this process into one partition.
  double rate() const;

 private:
  struct Budget {
    double inserts = 0;  // That may be made now.
    Time updated_at;
  };

  size_t processes_ = 1;
  std::map<PoolId, Budget> budgets_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_INSERT_LIMITER_H_
