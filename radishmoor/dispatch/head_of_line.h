// Policies against head-of-line blocking of short work behind long work.
//
//   HeadOfLinePolicy policy = RestartLong{};
//   bool is_long = ClassifiesLong(policy, pool_runs, operation);
//
// Work does not declare its run time, so every policy relies on what was
// observed. A run is long when it takes `kLongFactor` times the median run
// time of its pool.

#ifndef RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_
#define RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_

#include <optional>
#include <variant>

#include "radishmoor/base/run_times.h"
#include "radishmoor/base/time.h"

namespace radishmoor::dispatch {

// One queue in order of arrival.
struct Fifo {};

// Operations with a long mean run time may not use the last `reserved` share
// of the slots.
struct ReservedSlots {
  double reserved = 0.1;
};

// An operation is long while at least `aged_share` of its attempts in flight
// have run for a long time. Long operations wait behind short ones.
struct AgeReclassification {
  double reserved = 0.1;
  double aged_share = 0.9;
};

// An operation is long while its `quantile` is. Long operations wait behind
// short ones.
struct LearnedQuantiles {
  double reserved = 0.1;
  double quantile = 0.5;
};

// When short work waits and no slot is free, an idempotent attempt that has run
// for a long time is aborted and its request restarted later in the long
// class. The run time lost by aborts is at most `waste` of the completed run
// time plus `idle_credit` of the idle slot time.
struct RestartLong {
  // With 0.1, restarted requests were soon aborted again; with 0.3, stragglers
  // took twice as long as with 0.22.
  double reserved = 0.22;
  double waste = 0.02;
  double idle_credit = 0.5;
  // No restart while the long class has this many waiting requests per slot.
  // Without a bound, the queue took 5 s to recover from a peak; with 0.25, one
  // seed in five waited as long as with Fifo.
  double max_waiting = 0.4;
  bool on_demand = true;  // False: restart at the limit in any case.
};

using HeadOfLinePolicy = std::variant<Fifo,
                                      ReservedSlots,
                                      AgeReclassification,
                                      LearnedQuantiles,
                                      RestartLong>;

// What the dispatcher knows of one operation of a pool.
struct OperationState {
  RunTimes runs;
  int in_flight = 0;
  int aged_in_flight = 0;  // Running for a long time already.
};

// Run time from which an attempt counts as long; none while too few runs were
// observed.
std::optional<Duration> LongThreshold(const RunTimes& pool);

// True if a new request of the operation belongs to the long class.
bool ClassifiesLong(const HeadOfLinePolicy& policy,
                    const RunTimes& pool,
                    const OperationState& operation);

// Share of the slots that the long class leaves free.
double ReservedShare(const HeadOfLinePolicy& policy);

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_HEAD_OF_LINE_H_
