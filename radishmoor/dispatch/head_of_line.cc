#include "radishmoor/dispatch/head_of_line.h"

namespace radishmoor::dispatch {
namespace {

// Short runs with an exponential distribution exceed 10 medians once in a
// thousand; runs that are 100 times longer exceed them nine times in ten.
constexpr int kLongFactor = 10;
// Below this, one long run can move the median.
constexpr uint64_t kMinSamples = 32;

template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

bool MeanIsLong(Duration threshold, const OperationState& operation) {
  return operation.runs.samples() >= kMinSamples &&
         operation.runs.mean() >= threshold;
}

}  // namespace

std::optional<Duration> LongThreshold(const RunTimes& pool) {
  if (pool.samples() < kMinSamples) {
    return std::nullopt;
  }
  return kLongFactor * pool.Quantile(0.5);
}

bool ClassifiesLong(const HeadOfLinePolicy& policy,
                    const RunTimes& pool,
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
            return MeanIsLong(*threshold, operation);
          },
          [&](const AgeReclassification& age) {
            return operation.aged_in_flight > 0 &&
                   operation.aged_in_flight >=
                       age.aged_share * operation.in_flight;
          },
          [&](const LearnedQuantiles& learned) {
            return operation.runs.samples() >= kMinSamples &&
                   operation.runs.Quantile(learned.quantile) >= *threshold;
          },
          // Operations that are long as a rule need no restart to be known.
          [&](const RestartLong&) {
            return operation.runs.samples() >= kMinSamples &&
                   operation.runs.Quantile(0.5) >= *threshold;
          },
      },
      policy);
}

double ReservedShare(const HeadOfLinePolicy& policy) {
  return std::visit(
      Overloaded{[](const Fifo&) { return 0.0; },
                 [](const auto& other) { return other.reserved; }},
      policy);
}

}  // namespace radishmoor::dispatch
