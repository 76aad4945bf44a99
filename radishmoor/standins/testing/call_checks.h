// Checks and counts of the callers' call records and of the execution logs, for
// tests that run a Site of real processes.

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

// Returns a load whose long calls run for 400 ms instead of 2 s, so that a test
// does not wait long for the last calls.
inline LoadOptions ShortLoad(double rate, Duration duration) {
  LoadOptions options;
  options.rate = rate;
  options.duration = duration;
  options.long_factor = 20;
  options.deadline = Seconds(1);
  options.long_deadline = Seconds(3);
  return options;
}

inline bool IsKeyed(const CallRecord& call) {
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

inline Calls CallsWhere(
    const Calls& calls,
    const std::function<bool(const CallRecord&)>& condition) {
  Calls chosen;
  std::copy_if(calls.begin(), calls.end(), std::back_inserter(chosen),
               condition);
  return chosen;
}

// Returns the number of calls, the number of completed ones, and the number of
// others for each kind of call, reason, status and CallResult.
inline std::string SummarizeFailures(const Calls& calls) {
  std::map<std::string, int> counts;
  for (const CallRecord& call : calls) {
    if (call.result != CallResult::kCompleted) {
      ++counts[(IsKeyed(call) ? "keyed " : "idempotent ") + call.reason + " " +
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

inline void CheckNoViolations(const Site& site, const Calls& calls) {
  HistoryReport report = site.CheckCalls(calls);
  for (const std::string& violation : report.violations)
    UNSCOPED_INFO(violation);
  CHECK(report.violations.empty());
  CHECK(report.keys_started_repeatedly == 0);
  CHECK(report.lost == 0);
  CHECK(report.completed > 0);
}

inline int64_t UnixMicros(const Site& site) {
  return site.loop.wall_now() * 1000;
}

// Returns the number of starts on a backend server after `unix_us`.
inline size_t StartCountAfter(const Site& site,
                              const BackendProcess& backend,
                              int64_t unix_us) {
  auto runs = site.Executions(backend);
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const ExecutionRecord& run) {
        return run.event == "start" && run.unix_us > unix_us;
      }));
}

inline size_t AbortCount(const Site& site) {
  auto runs = site.Executions();
  return static_cast<size_t>(std::count_if(
      runs.begin(), runs.end(),
      [](const ExecutionRecord& run) { return run.event == "abort"; }));
}

// Returns true if the accepted configuration is in force in every entry
// process.
inline bool AllEntriesUpToDate(Site& site) {
  auto head = static_cast<int64_t>(site.AcceptedConfig().version);
  return std::all_of(site.entries.begin(), site.entries.end(),
                     [&](const MemberProcess& entry) {
                       return site.StatusField(entry, "in_force") == head;
                     });
}

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_TESTING_CALL_CHECKS_H_
