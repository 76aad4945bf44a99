#include "radishmoor/jobs/start_limiter.h"

#include <algorithm>

namespace radishmoor {
namespace {

// The process is late above the first delay and in time below the second one.
constexpr Duration kLateDelay = Milliseconds(60);
constexpr Duration kInTimeDelay = Milliseconds(25);
// The window shrinks at the second late observation in a row: one event that
// takes long makes one observation late.
constexpr uint32_t kMinLateObservations = 2;
// It shrinks only if at least this share of it was in use.
constexpr double kMinUsedShare = 0.5;
// Limits of the factor by which it shrinks at an observation.
constexpr double kMinReduction = 0.5;
constexpr double kMaxReduction = 0.8;
// Factor by which it grows at an observation of a process in time.
constexpr double kGrowth = 1.15;
// Answers are handled out of order by at most this time.
constexpr Duration kMaxAnswerDisorder = Milliseconds(150);

}  // namespace

uint32_t StartLimiter::Budget() const {
  return window() - std::min(window(), waiting());
}

void StartLimiter::OnSent(Time now, uint64_t order) {
  waiting_.emplace(order, now);
  most_waiting_ = std::max(most_waiting_, waiting());
}

void StartLimiter::OnReply(Time now, uint64_t order, Time sent, bool answered) {
  bool is_start = waiting_.erase(order) > 0;
  if (!answered)
    return;
  if (is_start)
    recent_round_trip_ = std::min(recent_round_trip_, now - sent);
  answered_sent_at_ = std::max(answered_sent_at_, sent);
  while (!waiting_.empty() &&
         answered_sent_at_ - waiting_.begin()->second > kMaxAnswerDisorder)
    waiting_.erase(waiting_.begin());
}

void StartLimiter::ObserveLag(Duration lag) {
  shortest_round_trip_ = std::min(shortest_round_trip_, recent_round_trip_);
  delay_ = lag;
  if (recent_round_trip_ != Duration::max())
    delay_ = std::max(lag, recent_round_trip_ - shortest_round_trip_);
  recent_round_trip_ = Duration::max();
  bool in_use = most_waiting_ >= kMinUsedShare * window_;
  most_waiting_ = waiting();
  if (delay_ < kLateDelay) {
    late_observations_ = 0;
    if (delay_ <= kInTimeDelay)
      window_ = std::min<double>(kMaxWindow, window_ * kGrowth);
    return;
  }
  ++late_observations_;
  if (late_observations_ < kMinLateObservations || !in_use)
    return;
  double factor = std::clamp(ToSeconds(kLateDelay) / ToSeconds(delay_),
                             kMinReduction, kMaxReduction);
  window_ = std::max<double>(kMinWindow, window_ * factor);
}

}  // namespace radishmoor
