// Policies that keep long requests from blocking the short ones behind them
// (head-of-line blocking).
//
//   HeadOfLinePolicy policy = RestartLong{};
//   bool is_long = ClassifiesLong(policy, pool_runs, operation);
//
// Requests do not declare their run times, so every policy relies on observed
// ones. An attempt is long if it runs for at least LongThreshold(), a multiple
// of the median run time of its pool. A policy assigns each request to the
// short or to the long class. Requests of the long class wait behind those of
// the short class and leave the last `reserved_share` of the pool's slots free.

#ifndef RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_
#define RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_

#include <optional>
#include <variant>

#include "radishmoor/base/run_time_histogram.h"
#include "radishmoor/base/time.h"

namespace radishmoor::dispatch {

// All requests are in one class and start in order of arrival.
struct Fifo {};

// An operation is long if its mean run time is at least the threshold.
struct ReservedSlots {
  double reserved_share = 0.1;
};

// An operation is long while at least `long_attempt_share` of its attempts in
// flight are long.
struct AgeReclassification {
  double reserved_share = 0.1;
  double long_attempt_share = 0.9;
};

// An operation is long while the `quantile` of its run times is at least the
// threshold.
struct LearnedQuantiles {
  double reserved_share = 0.1;
  double quantile = 0.5;
};

// If a short request waits and no slot is free, a long attempt of an idempotent
// request is aborted. The request is queued again in the long class. The run
// time lost by aborts is at most `max_lost_share` of the completed run time
// plus `idle_credit` times the time that slots were idle.
struct RestartLong {
  // With 0.1, restarted requests were soon aborted again. With 0.3, the slowest
  // long requests took twice as long as with 0.22.
  double reserved_share = 0.22;
  double max_lost_share = 0.02;
  double idle_credit = 0.5;
  // No attempt is aborted while the long class has this many waiting requests
  // per slot. Without a bound, the queue took 5 s to recover from a peak. With
  // 0.25, requests waited as long as with Fifo in one of five simulation runs.
  double max_long_waiting_per_slot = 0.4;
  // If false, an attempt is aborted as soon as it is long, even if no short
  // request waits.
  bool on_demand = true;
};

using HeadOfLinePolicy = std::variant<Fifo,
                                      ReservedSlots,
                                      AgeReclassification,
                                      LearnedQuantiles,
                                      RestartLong>;

// Observations of one operation of a pool.
struct OperationState {
  RunTimeHistogram run_times;
  int in_flight = 0;       // Attempts.
  int long_in_flight = 0;  // Attempts in flight that are long already.
};

// Returns the run time from which an attempt is long, or nullopt while `pool`
// has too few samples.
std::optional<Duration> LongThreshold(const RunTimeHistogram& pool);

// Returns true if a new request of the operation belongs to the long class.
bool ClassifiesLong(const HeadOfLinePolicy& policy,
                    const RunTimeHistogram& pool,
                    const OperationState& operation);

// Returns the share of the slots that the long class leaves free.
double ReservedShare(const HeadOfLinePolicy& policy);

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_
