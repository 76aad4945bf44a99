#include "radishmoor/jobs/pacing.h"

#include <algorithm>

namespace radishmoor {
namespace {

// Ratios of tail latency to its limit. From kCutTailRatio on the pace is
// halved, from kStopTailRatio on it falls to 25% or to 0, and up to
// kRaiseTailRatio it is raised. Measured tails are imprecise, so the margins
// are wide.
constexpr double kCutTailRatio = 0.85;
constexpr double kStopTailRatio = 1.0;
constexpr double kRaiseTailRatio = 0.65;
constexpr uint32_t kRaiseStepPercent = 15;
// Halving below this pace stops the tasks.
constexpr uint32_t kMinPacePercent = 10;

}  // namespace

uint32_t NextPace(uint32_t current_percent, double worst_tail_ratio) {
  if (worst_tail_ratio >= kStopTailRatio)
    return current_percent > 50 ? 25 : 0;
  if (worst_tail_ratio >= kCutTailRatio) {
    uint32_t half = current_percent / 2;
    return half < kMinPacePercent ? 0 : half;
  }
  if (worst_tail_ratio <= kRaiseTailRatio)
    return std::min(100u, current_percent + kRaiseStepPercent);
  return current_percent;
}

}  // namespace radishmoor
