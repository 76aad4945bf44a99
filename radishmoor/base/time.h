// Points in time and durations for decision code. A Time is a point on the
// process's monotonic clock that the caller passes in; decision code never
// reads a clock.
//
//   Time deadline = now + Milliseconds(250);
//   if (now >= deadline) ...

#ifndef RADISHMOOR_BASE_TIME_H_
#define RADISHMOOR_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace radishmoor {

using Duration = std::chrono::microseconds;

// Clock type of Time. It has no now(), so that decision code cannot read it.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using Time = MonotonicClock::time_point;

constexpr Duration Microseconds(int64_t n) {
  return Duration(n);
}
constexpr Duration Milliseconds(int64_t n) {
  return Duration(n * 1000);
}
constexpr Duration Seconds(int64_t n) {
  return Duration(n * 1'000'000);
}

constexpr double ToSeconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}
constexpr double ToMilliseconds(Duration d) {
  return static_cast<double>(d.count()) / 1e3;
}

// Rounds towards zero. Used for the wire and the log.
constexpr int64_t WholeMilliseconds(Duration d) {
  return d.count() / 1000;
}
// Rounds up, as a Retry-After header needs it.
constexpr int64_t SecondsRoundedUp(Duration d) {
  return (d.count() + 999'999) / 1'000'000;
}

constexpr Time kTimeZero{};
constexpr Time kTimeMax = Time::max();

// Wall-clock milliseconds since the Unix epoch. Used only for the ages of
// idempotency keys and for the timeline, never for leases or deadlines.
using WallMillis = int64_t;

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_TIME_H_
