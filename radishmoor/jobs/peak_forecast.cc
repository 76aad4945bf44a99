#include "radishmoor/jobs/peak_forecast.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <vector>

namespace radishmoor {
namespace {

// A peak begins when the work offered to a pool needs at least this many hosts
// and this share of the maximum of the pool's last peak. It ends when the
// offered work falls below kPeakEndShare of the maximum of the current peak.
constexpr double kMinPeakHosts = 3;
constexpr double kPeakBeginShare = 0.4;
constexpr double kPeakEndShare = 0.25;
// Number of peaks that are remembered; enough for several rotations over a few
// pools.
constexpr size_t kMaxRecordedPeaks = 24;
// Peaks are regular if at least kMinIntervals intervals are known and the
// latest ones, up to kMaxIntervals, differ from their median by at most this
// share of it. Short intervals may differ by kMinIntervalTolerance.
constexpr size_t kMinIntervals = 3;
constexpr size_t kMaxIntervals = 5;
constexpr double kIntervalToleranceShare = 0.25;
constexpr Duration kMinIntervalTolerance = Milliseconds(600);
constexpr size_t kMinPoolsInRotation = 3;
// A predicted peak that is later than this is taken to have failed to appear.
constexpr Duration kMaxPeakDelay = Milliseconds(1500);
// Share of a pool's last peak for which hosts are requested in advance. The
// remaining hosts follow once the peak is observed.
constexpr double kPreparedShare = 0.8;

}  // namespace

void PeakForecast::Observe(Time now,
                           const PoolId& pool,
                           double offered_cores,
                           double cores_per_host) {
  PoolHistory& history = pools_[pool];
  double begin_cores = std::max(kMinPeakHosts * cores_per_host,
                                kPeakBeginShare * history.last_peak_cores);
  if (!history.in_peak && offered_cores >= begin_cores) {
    history.in_peak = true;
    history.max_offered_cores = 0;
    RecordPeakStart(now, pool);
  }
  if (history.in_peak) {
    history.max_offered_cores =
        std::max(history.max_offered_cores, offered_cores);
    history.last_peak_cores =
        std::max(history.last_peak_cores, history.max_offered_cores);
    if (offered_cores < kPeakEndShare * history.max_offered_cores) {
      history.in_peak = false;
      history.last_peak_cores = history.max_offered_cores;
    }
  }
  if (next_peak_ && now - next_peak_->begins_at > kMaxPeakDelay) {
    next_peak_.reset();
    recorded_peaks_.clear();
  }
}

void PeakForecast::RecordPeakStart(Time now, const PoolId& pool) {
  recorded_peaks_.push_back({pool, now});
  if (recorded_peaks_.size() > kMaxRecordedPeaks)
    recorded_peaks_.pop_front();
  PredictNextPeak();
}

std::optional<Duration> PeakForecast::PeakInterval() const {
  std::vector<Duration> intervals;
  for (size_t i = recorded_peaks_.size();
       i-- > 1 && intervals.size() < kMaxIntervals;)
    intervals.push_back(recorded_peaks_[i].began_at -
                        recorded_peaks_[i - 1].began_at);
  if (intervals.size() < kMinIntervals)
    return std::nullopt;
  std::sort(intervals.begin(), intervals.end());
  Duration median = intervals[intervals.size() / 2];
  Duration tolerance = std::max(
      kMinIntervalTolerance,
      Duration(static_cast<int64_t>(kIntervalToleranceShare *
                                    static_cast<double>(median.count()))));
  bool regular = median - intervals.front() <= tolerance &&
                 intervals.back() - median <= tolerance;
  return regular ? std::optional(median) : std::nullopt;
}

std::optional<PoolId> PeakForecast::NextPool() const {
  const PoolId& latest = recorded_peaks_.back().pool;
  // Looks for the pool that followed an earlier peak of the same pool.
  for (size_t i = recorded_peaks_.size() - 1; i-- > 0;) {
    if (recorded_peaks_[i].pool == latest)
      return recorded_peaks_[i + 1].pool;
  }
  // Every recorded peak is of another pool: the rotation is assumed to start
  // again with the first one.
  std::set<PoolId> seen;
  for (const Peak& peak : recorded_peaks_)
    seen.insert(peak.pool);
  bool whole_rotation = seen.size() >= kMinPoolsInRotation &&
                        seen.size() == recorded_peaks_.size();
  return whole_rotation ? std::optional(recorded_peaks_.front().pool)
                        : std::nullopt;
}

void PeakForecast::PredictNextPeak() {
  next_peak_.reset();
  std::optional<Duration> interval = PeakInterval();
  std::optional<PoolId> pool = NextPool();
  if (interval && pool)
    next_peak_ =
        ExpectedPeak{*pool, recorded_peaks_.back().began_at + *interval};
}

double PeakForecast::ExpectedCores(Time now,
                                   Duration lead,
                                   const PoolId& pool) const {
  auto history = pools_.find(pool);
  if (!next_peak_ || next_peak_->pool != pool || history == pools_.end() ||
      now + lead < next_peak_->begins_at)
    return 0;
  return kPreparedShare * history->second.last_peak_cores;
}

}  // namespace radishmoor
