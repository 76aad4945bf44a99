// Histogram of the run times of requests, for quantiles and a moving mean.
//
//   RunTimeHistogram runs;
//   runs.Add(Milliseconds(12));
//   Duration typical = runs.Quantile(0.5);
//
// Each bucket is a quarter octave wide, so quantiles are at most 19% too high.
// All counts are halved when they add up to `halving_threshold`, so that old
// samples fade out. Memory: 0.5 KB.

#ifndef RADISHMOOR_BASE_RUN_TIME_HISTOGRAM_H_
#define RADISHMOOR_BASE_RUN_TIME_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "radishmoor/base/time.h"

namespace radishmoor {

class RunTimeHistogram {
 public:
  explicit RunTimeHistogram(uint32_t halving_threshold = 1024)
      : halving_threshold_(halving_threshold) {}

  void Add(Duration run);

  // Mean run time, weighted towards new samples. Zero without samples.
  Duration mean() const { return Duration(static_cast<int64_t>(mean_)); }
  // Returns the upper edge of the bucket that holds the quantile `q`, which is
  // in [0, 1). Zero without samples.
  Duration Quantile(double q) const;

  // Number of samples added so far, not reduced by the halving.
  uint64_t samples() const { return samples_; }

 private:
  static constexpr size_t kBuckets = 128;

  uint32_t halving_threshold_;
  std::array<uint32_t, kBuckets> counts_{};
  uint32_t total_ = 0;
  uint64_t samples_ = 0;
  // Microseconds. A new sample has a weight of at least 1/512, so that old ones
  // fade out.
  double mean_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_RUN_TIME_HISTOGRAM_H_
