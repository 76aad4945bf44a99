// Checks and counts over callers' records and execution logs, for the tests
// with real processes.

#ifndef RADISHMOOR_STANDINS_TESTING_CALL_CHECKS_H_
#define RADISHMOOR_STANDINS_TESTING_CALL_CHECKS_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/standins/testing/site_fixture.h"

namespace radishmoor {

using Calls = std::vector<CallRecord>;

// Bounds the tail of a test: long calls of 400 ms instead of 2 s.
inline LoadOptions ShortLoad(double rate, Duration duration) {
  LoadOptions options;
  options.rate = rate;
  options.duration = duration;
  options.long_factor = 20;
  options.deadline = Seconds(1);
  options.long_deadline = Seconds(3);
  return options;
}

inline bool Keyed(const CallRecord& call) {
  return !call.key.empty() && call.key != "-";
}

inline size_t Count(const Calls& calls, CallResult result) {
  return static_cast<size_t>(std::count_if(
      calls.begin(), calls.end(),
      [&](const CallRecord& call) { return call.result == result; }));
}

inline double CompletedShare(const Calls& calls) {
  return static_cast<double>(Count(calls, CallResult::kCompleted)) /
         static_cast<double>(std::max<size_t>(calls.size(), 1));
}

inline Calls Where(const Calls& calls,
                   const std::function<bool(const CallRecord&)>& condition) {
  Calls chosen;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(chosen),
               condition);
  return chosen;
}

// "reason status result: count" of all calls that did not complete.
inline std::string Summary(const Calls& calls) {
  std::map<std::string, int> counts;
  for (const CallRecord& call : calls) {
    if (call.result != CallResult::kCompleted) {
      ++counts[(Keyed(call) ? "keyed " : "idempotent ") + call.reason + " " +
               std::to_string(call.status) + " result " +
               std::to_string(static_cast<int>(call.result))];
    }
  }
  std::string text = std::to_string(calls.size()) + " calls, " +
                     std::to_string(Count(calls, CallResult::kCompleted)) +
                     " completed";
  for (const auto& [what, count] : counts)
    text += "; " + what + ": " + std::to_string(count);
  return text;
}

inline void CheckClean(const Site& site, const Calls& calls) {
  HistoryReport report = site.Check(calls);
  for (const std::string& violation : report.violations)
    UNSCOPED_INFO(violation);
  CHECK(report.violations.empty());
  CHECK(report.doubled == 0);
  CHECK(report.lost == 0);
  CHECK(report.completed > 0);
}

inline int64_t UnixMicros(const Site& site) {
  return site.loop.wall_now() * 1000;
}

// Starts on a backend server after `unix_us`.
inline size_t StartsAfter(const Site& site,
                          const BackendNode& backend,
                          int64_t unix_us) {
  auto runs = site.Executions(backend);
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const ExecutionRecord& run) {
        return run.event == "start" && run.unix_us > unix_us;
      }));
}

inline size_t Aborts(const Site& site) {
  auto runs = site.Executions();
  return static_cast<size_t>(std::count_if(
      runs.begin(), runs.end(),
      [](const ExecutionRecord& run) { return run.event == "abort"; }));
}

// True when every entry process has the accepted configuration in force.
inline bool AllInForce(Site& site) {
  auto head = static_cast<int64_t>(site.Config().version);
  return std::all_of(site.entries.begin(), site.entries.end(),
                     [&](const MemberNode& entry) {
                       return site.Status(entry, "in_force") == head;
                     });
}

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_TESTING_CALL_CHECKS_H_
