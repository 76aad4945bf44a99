// Seeded random numbers for decision code and tests.
//
//   Random random(seed);
//   Duration jitter = random.Between(Milliseconds(10), Milliseconds(20));
//
// The same seed gives the same sequence on every machine. The distributions are
// computed here because those of the standard library differ between
// implementations.

#ifndef RADISHMOOR_BASE_RANDOM_H_
#define RADISHMOOR_BASE_RANDOM_H_

#include <cmath>
#include <cstdint>
#include <random>

#include "radishmoor/base/time.h"

namespace radishmoor {

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t Next() { return engine_(); }

  // Uniform in [0, bound). `bound` must be above 0. The bias of the modulo is
  // below 2^-40 for the bounds used here.
  uint64_t Below(uint64_t bound) { return engine_() % bound; }

  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  bool Chance(double probability) { return Unit() < probability; }

  // Uniform in [low, high].
  Duration Between(Duration low, Duration high) {
    return low + Duration(static_cast<int64_t>(
                     Below(static_cast<uint64_t>((high - low).count()) + 1)));
  }

  // Exponentially distributed with the given mean.
  Duration Exponential(Duration mean) {
    return Duration(static_cast<int64_t>(-std::log1p(-Unit()) *
                                         static_cast<double>(mean.count())));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_RANDOM_H_
