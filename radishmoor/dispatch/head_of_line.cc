#include "radishmoor/dispatch/head_of_line.h"

namespace radishmoor::dispatch {
namespace {

// Exponentially distributed short runs exceed 10 medians once in a thousand;
// runs that are 100 times longer exceed them nine times in ten.
constexpr int kLongRunMedians = 10;
// With fewer samples, a single long run can shift the median.
constexpr uint64_t kMinLongRunSamples = 32;

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

bool MeanRunIsLong(Duration threshold, const OperationState& operation) {
  return operation.run_times.samples() >= kMinLongRunSamples &&
         operation.run_times.mean() >= threshold;
}

}  // namespace

std::optional<Duration> LongThreshold(const RunTimeHistogram& pool) {
  if (pool.samples() < kMinLongRunSamples) {
    return std::nullopt;
  }
  return kLongRunMedians * pool.Quantile(0.5);
}

bool ClassifiesLong(const HeadOfLinePolicy& policy,
                    const RunTimeHistogram& pool,
                    const OperationState& operation) {
  if (std::holds_alternative<Fifo>(policy)) {
    return false;
  }
  std::optional<Duration> threshold = LongThreshold(pool);
  if (!threshold) {
    return false;
  }
  return std::visit(
      Overloaded{
          [](const Fifo&) { return false; },
          [&](const ReservedSlots&) {
            return MeanRunIsLong(*threshold, operation);
          },
          [&](const AgeReclassification& age) {
            return operation.long_in_flight > 0 &&
                   operation.long_in_flight >=
                       age.long_attempt_share * operation.in_flight;
          },
          [&](const LearnedQuantiles& learned) {
            return operation.run_times.samples() >= kMinLongRunSamples &&
                   operation.run_times.Quantile(learned.quantile) >= *threshold;
          },
          // An operation whose typical run is long is classified up front, so
          // that its requests need no abort first.
          [&](const RestartLong&) {
            return operation.run_times.samples() >= kMinLongRunSamples &&
                   operation.run_times.Quantile(0.5) >= *threshold;
          },
      },
      policy);
}

double ReservedShare(const HeadOfLinePolicy& policy) {
  return std::visit(
      Overloaded{[](const Fifo&) { return 0.0; },
                 [](const auto& other) { return other.reserved_share; }},
      policy);
}

}  // namespace radishmoor::dispatch
