#include "radishmoor/jobs/pacing.h"

#include <algorithm>

namespace radishmoor {
namespace {

// Above this share of the limit the pace is cut, below the other it is raised.
// The tail is a rough figure, so the margin is wide.
constexpr double kCutRatio = 0.85;
constexpr double kStopRatio = 1.0;
constexpr double kRaiseRatio = 0.65;
constexpr uint32_t kRaiseStep = 15;
constexpr uint32_t kMinPace = 10;

}  // namespace

uint32_t NextPace(uint32_t current, double worst_tail_ratio) {
  if (worst_tail_ratio >= kStopRatio)
    return current > 50 ? 25 : 0;
  if (worst_tail_ratio >= kCutRatio) {
    uint32_t half = current / 2;
    return half < kMinPace ? 0 : half;
  }
  if (worst_tail_ratio <= kRaiseRatio)
    return std::min(100u, current + kRaiseStep);
  return current;
}

}  // namespace radishmoor
