#include "radishmoor/base/run_time_histogram.h"

#include <algorithm>
#include <cmath>

namespace radishmoor {

void RunTimeHistogram::Add(Duration run) {
  double micros = std::max<double>(1, static_cast<double>(run.count()));
  auto bucket = static_cast<size_t>(4 * std::log2(micros));
  ++counts_[std::min(bucket, kBuckets - 1)];
  ++total_;
  ++samples_;
  mean_ +=
      (micros - mean_) / static_cast<double>(std::min<uint64_t>(samples_, 512));
  if (total_ < halving_threshold_) {
    return;
  }
  total_ = 0;
  for (uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

Duration RunTimeHistogram::Quantile(double q) const {
  auto rank = static_cast<uint32_t>(q * total_);
  uint32_t seen = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (seen > rank) {
      return Duration(
          static_cast<int64_t>(std::exp2(static_cast<double>(bucket + 1) / 4)));
    }
  }
  return Duration(0);
}

}  // namespace radishmoor
