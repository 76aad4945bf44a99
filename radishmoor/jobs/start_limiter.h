// Limits the rate at which an owner starts tasks to what its process can carry.
//
//   StartLimiter limiter;
//   limiter.ObserveLag(now, lag);            // Lateness of the event loop.
//   uint32_t budget = limiter.Budget(now);   // Starts that may be planned now.
//   limiter.CountStarts(now, planned);
//
// Designed for the peak of a large pool on a host with a fraction of a core.
// Without a limit, the answers of servers wait in the process's sockets for
// seconds; leases of running tasks then expire, and starts seem unanswered.
// With it, ready tasks wait in the queue, where the most urgent ones go first.
//
// There is no limit until the loop is late. The rate then falls below the one
// that made it late, and rises again while the loop is in time.

#ifndef RADISHMOOR_JOBS_START_LIMITER_H_
#define RADISHMOOR_JOBS_START_LIMITER_H_

#include <cstdint>
#include <optional>

#include "radishmoor/base/time.h"

namespace radishmoor {

class StartLimiter {
 public:
  void ObserveLag(Time now, Duration lag);
  // Returns the number of starts that may be planned now; UINT32_MAX if there
  // is no limit.
  uint32_t Budget(Time now);
  void CountStarts(Time now, uint32_t starts);
  bool limited() const { return rate_.has_value(); }

 private:
  void Refill(Time now);

  std::optional<double> rate_;  // Starts a second; none: no limit.
  double tokens_ = 0;
  Time refilled_at_;
  Time reduced_at_;
  Time grown_at_;
  // Moving average of the starts a second.
  double recent_rate_ = 0;
  Time counted_at_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_START_LIMITER_H_
