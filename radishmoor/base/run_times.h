// Observed run times, of one pool or of one operation of a pool.
//
//   RunTimes runs;
//   runs.Add(Milliseconds(12));
//   Duration typical = runs.Quantile(0.5);
//
// A histogram with buckets of a quarter octave (so quantiles are at most 19%
// too high), halved every `fade_at` samples so that old samples fade out.
// Memory: 0.5 KB.

#ifndef RADISHMOOR_BASE_RUN_TIMES_H_
#define RADISHMOOR_BASE_RUN_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "radishmoor/base/time.h"

namespace radishmoor {

class RunTimes {
 public:
  explicit RunTimes(uint32_t fade_at = 1024) : fade_at_(fade_at) {}

  void Add(Duration run);

  // Zero without samples.
  Duration mean() const { return Duration(static_cast<int64_t>(mean_)); }
  // Upper edge of the bucket that holds the quantile. Zero without samples.
  Duration Quantile(double q) const;

  // Samples since the start, not reduced by the fading.
  uint64_t samples() const { return samples_; }

 private:
  static constexpr size_t kBuckets = 128;

  uint32_t fade_at_;
  std::array<uint32_t, kBuckets> counts_{};
  uint32_t total_ = 0;
  uint64_t samples_ = 0;
  double mean_ = 0;  // Microseconds; weight of a new sample is at least 1/512.
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_RUN_TIMES_H_
