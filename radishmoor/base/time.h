// Time as decision code sees it: a point on the process's own monotonic clock,
// passed in by the caller. Decision code never reads a clock.
//
//   Time deadline = now + Milliseconds(250);
//   if (now >= deadline) ...

#ifndef RADISHMOOR_BASE_TIME_H_
#define RADISHMOOR_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace radishmoor {

using Duration = std::chrono::microseconds;

// Tag clock; it has no now(), so that decision code cannot read it.
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

// Towards zero, for the wire and the log.
constexpr int64_t WholeMilliseconds(Duration d) {
  return d.count() / 1000;
}
// Rounded up, as in a Retry-After header.
constexpr int64_t SecondsRoundedUp(Duration d) {
  return (d.count() + 999'999) / 1'000'000;
}

constexpr Time kTimeZero{};
constexpr Time kTimeMax = Time::max();

// Wall-clock milliseconds since the Unix epoch. Only for key ages and the
// timeline, never for leases or deadlines.
using WallMillis = int64_t;

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_TIME_H_
