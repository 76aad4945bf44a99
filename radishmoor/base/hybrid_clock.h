// Hybrid logical clock: its timestamps are close to wall time, and a cause
// always sorts before its effect, even across processes whose wall clocks
// differ.
//
//   HybridTime sent = clock.Tick(wall_now);             // local event or send
//   HybridTime got = clock.Merge(wall_now, received);   // message receipt
//
// Source: Kulkarni et al., "Logical Physical Clocks" (2014).

#ifndef RADISHMOOR_BASE_HYBRID_CLOCK_H_
#define RADISHMOOR_BASE_HYBRID_CLOCK_H_

#include <algorithm>
#include <compare>
#include <cstdint>

#include "radishmoor/base/time.h"

namespace radishmoor {

struct HybridTime {
  WallMillis wall = 0;
  uint32_t logical = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

class HybridClock {
 public:
  // Stamps a local event. The result is larger than every earlier one.
  HybridTime Tick(WallMillis wall_now) {
    if (wall_now > last_.wall)
      return last_ = {wall_now, 0};
    ++last_.logical;
    return last_;
  }

  // Stamps the receipt of a message stamped `remote`.
  HybridTime Merge(WallMillis wall_now, HybridTime remote) {
    last_ = std::max(last_, remote);
    return Tick(wall_now);
  }

  HybridTime last() const { return last_; }

 private:
  HybridTime last_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BASE_HYBRID_CLOCK_H_
