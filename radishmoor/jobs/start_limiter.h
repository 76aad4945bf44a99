// Limits the starts of tasks that an owner has sent and that servers have not
// answered, so that its process keeps up with the answers.
//
//   StartLimiter limiter;
//   uint32_t budget = limiter.Budget();     // Starts that may be planned now.
//   limiter.OnSent(now, order);
//   limiter.OnReply(now, order, sent_at, true);
//   limiter.ObserveLag(lag);                // At a regular timer of the loop.
//
// Designed for the peak of a large pool on a host with a fraction of a core.
// Without a limit, the answers of servers wait in the process's sockets for
// seconds; leases of running tasks then expire, and starts seem unanswered.
// With it, ready tasks wait in the queue, where the most urgent ones go first.
//
// The limit is a window. The answers of servers open it again, so the rate of
// starts follows what the process and the servers handle, and a window that is
// too small costs little: one round trip for each window of starts. The window
// shrinks only if most of it is in use while, without interruption, the event
// loop is late or even the first answers to starts come late. This is what
// starts beyond the processor time of the process look like. After one long
// event or a pause of the host, the next answers are in time, and a loop that
// is late for another reason has few starts waiting.
//
// Starts that a server leaves unanswered do not count once an order of any kind
// that was sent some time later has been answered: their answers do not wait in
// this process.

#ifndef RADISHMOOR_JOBS_START_LIMITER_H_
#define RADISHMOOR_JOBS_START_LIMITER_H_

#include <cstdint>
#include <map>

#include "radishmoor/base/time.h"

namespace radishmoor {

class StartLimiter {
 public:
  static constexpr uint32_t kMaxWindow = 256;
  static constexpr uint32_t kMinWindow = 48;

  // Returns the number of starts that may be planned now. O(1).
  uint32_t Budget() const;
  // A start was sent with the order `order`, whose number is larger than those
  // of earlier orders. O(log n) for n waiting starts.
  void OnSent(Time now, uint64_t order);
  // An order of any kind that was sent at `sent` has been answered, or counts
  // as unanswered. O(log n).
  void OnReply(Time now, uint64_t order, Time sent, bool answered);
  void ObserveLag(Duration lag);
  // A plan has not tried to start `count` ready tasks: the budget was used up.
  void OnHeldBack(uint32_t count) { held_back_ += count; }

  uint32_t window() const { return static_cast<uint32_t>(window_); }
  // Returns whether the window is smaller than its maximum.
  bool limited() const { return window() < kMaxWindow; }
  uint32_t waiting() const { return static_cast<uint32_t>(waiting_.size()); }
  // Sum of the tasks that were held back, counted at each plan.
  uint64_t held_back() const { return held_back_; }
  // How late the process handled answers at the last observation, at least.
  Duration delay() const { return delay_; }

 private:
  double window_ = kMaxWindow;
  std::map<uint64_t, Time> waiting_;  // When each waiting start was sent.
  Time answered_sent_at_;  // When the latest answered order was sent.
  // The most starts that waited at a time since the last call of ObserveLag().
  uint32_t most_waiting_ = 0;
  uint32_t late_observations_ = 0;  // Without interruption, until now.
  // Shortest time from a start to its answer: ever, and since the last call of
  // ObserveLag(). The difference is time in the process.
  Duration shortest_round_trip_ = Duration::max();
  Duration recent_round_trip_ = Duration::max();
  Duration delay_{};
  uint64_t held_back_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_START_LIMITER_H_
