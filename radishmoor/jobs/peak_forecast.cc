#include "radishmoor/jobs/peak_forecast.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <vector>

namespace radishmoor {
namespace {

// A turn begins when a pool is offered work for this many hosts and this share
// of its highest peak, and ends below the other share of its present peak.
constexpr double kLeastHosts = 3;
constexpr double kBeginShare = 0.4;
constexpr double kEndShare = 0.25;
// Turns that are remembered: some rounds of a few pools.
constexpr size_t kMaxTurns = 24;
// Intervals that must agree, by this part of the median, and by no more than
// kLooseInterval in short ones.
constexpr size_t kMinIntervals = 3;
constexpr size_t kMaxIntervals = 5;
constexpr double kIntervalTolerance = 0.25;
constexpr Duration kLooseInterval = Milliseconds(600);
constexpr size_t kMinPools = 3;
// An expected turn that is this late does not come.
constexpr Duration kPatience = Milliseconds(1500);
// A peak is met with this share of what the last one took: the rest follows
// when it shows.
constexpr double kPreparedShare = 0.8;

}  // namespace

void PeakForecast::Observe(Time now,
                           const PoolId& pool,
                           double offered_cores,
                           double host_cores) {
  PoolHistory& history = pools_[pool];
  double begin =
      std::max(kLeastHosts * host_cores, kBeginShare * history.last_height);
  if (!history.peaks && offered_cores >= begin) {
    history.peaks = true;
    history.peak = 0;
    BeginTurn(now, pool);
  }
  if (history.peaks) {
    history.peak = std::max(history.peak, offered_cores);
    history.last_height = std::max(history.last_height, history.peak);
    if (offered_cores < kEndShare * history.peak) {
      history.peaks = false;
      history.last_height = history.peak;
    }
  }
  if (next_ && now - next_->begins > kPatience) {
    next_.reset();
    turns_.clear();
  }
}

void PeakForecast::BeginTurn(Time now, const PoolId& pool) {
  turns_.push_back({pool, now});
  if (turns_.size() > kMaxTurns)
    turns_.pop_front();
  Expect();
}

std::optional<Duration> PeakForecast::Interval() const {
  std::vector<Duration> intervals;
  for (size_t i = turns_.size(); i-- > 1 && intervals.size() < kMaxIntervals;)
    intervals.push_back(turns_[i].began - turns_[i - 1].began);
  if (intervals.size() < kMinIntervals)
    return std::nullopt;
  std::sort(intervals.begin(), intervals.end());
  Duration median = intervals[intervals.size() / 2];
  Duration tolerance =
      std::max(kLooseInterval,
               Duration(static_cast<int64_t>(
                   kIntervalTolerance * static_cast<double>(median.count()))));
  bool regular = median - intervals.front() <= tolerance &&
                 intervals.back() - median <= tolerance;
  return regular ? std::optional(median) : std::nullopt;
}

std::optional<PoolId> PeakForecast::NextPool() const {
  const PoolId& latest = turns_.back().pool;
  // The one that followed the latest pool before.
  for (size_t i = turns_.size() - 1; i-- > 0;) {
    if (turns_[i].pool == latest)
      return turns_[i + 1].pool;
  }
  // Otherwise the round begins anew.
  std::set<PoolId> seen;
  for (const Turn& turn : turns_)
    seen.insert(turn.pool);
  bool whole_round = seen.size() >= kMinPools && seen.size() == turns_.size();
  return whole_round ? std::optional(turns_.front().pool) : std::nullopt;
}

void PeakForecast::Expect() {
  next_.reset();
  std::optional<Duration> interval = Interval();
  std::optional<PoolId> pool = NextPool();
  if (interval && pool)
    next_ = Expectation{*pool, turns_.back().began + *interval};
}

double PeakForecast::ExpectedCores(Time now,
                                   Duration lead,
                                   const PoolId& pool) const {
  auto history = pools_.find(pool);
  if (!next_ || next_->pool != pool || history == pools_.end() ||
      now + lead < next_->begins)
    return 0;
  return kPreparedShare * history->second.last_height;
}

}  // namespace radishmoor
