#include "radishmoor/standins/history.h"

#include <algorithm>
#include <istream>
#include <map>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace radishmoor {
namespace {

constexpr char kAbsent[] = "-";

struct ExecutionCount {
  uint64_t starts = 0;
  uint64_t ends = 0;
};

using ExecutionCounts = std::map<std::string, ExecutionCount>;

std::string OrAbsent(const std::string& text) {
  return text.empty() ? kAbsent : text;
}

void CountEvent(ExecutionCounts& counts,
                const std::string& id,
                const std::string& event) {
  if (id == kAbsent)
    return;
  ExecutionCount& count = counts[id];
  if (event == "start")
    ++count.starts;
  if (event == "end")
    ++count.ends;
}

uint64_t StartCount(const ExecutionCounts& counts, const std::string& id) {
  auto it = counts.find(id);
  return it == counts.end() ? 0 : it->second.starts;
}

void CountResult(CallResult result, HistoryReport& report) {
  switch (result) {
    case CallResult::kCompleted:
      ++report.completed;
      return;
    case CallResult::kNotRun:
      ++report.not_run;
      return;
    case CallResult::kMayHaveRun:
      ++report.may_have_run;
      return;
    case CallResult::kClosed:
      ++report.closed;
      return;
    case CallResult::kLost:
      ++report.lost;
      return;
  }
}

}  // namespace

void WriteCall(std::ostream& out, const CallRecord& call) {
  out << call.request_id << ' ' << OrAbsent(call.key) << ' '
      << OrAbsent(call.service) << ' ' << call.long_running << ' '
      << static_cast<int>(call.result) << ' ' << call.status << ' '
      << OrAbsent(call.reason) << ' ' << OrAbsent(call.answered_id) << ' '
      << call.start_us << ' ' << call.latency_us << '\n';
}

std::vector<CallRecord> ReadCalls(std::istream& in) {
  std::vector<CallRecord> calls;
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    CallRecord call;
    int result = 0;
    fields >> call.request_id >> call.key >> call.service >>
        call.long_running >> result >> call.status >> call.reason >>
        call.answered_id >> call.start_us >> call.latency_us;
    if (!fields)
      throw std::runtime_error("bad history line: " + line);
    call.result = static_cast<CallResult>(result);
    calls.push_back(std::move(call));
  }
  return calls;
}

std::vector<ExecutionRecord> ReadExecutions(std::istream& in) {
  std::vector<ExecutionRecord> executions;
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    ExecutionRecord execution;
    fields >> execution.unix_us >> execution.event >> execution.pool >>
        execution.request_id >> execution.key;
    if (!fields)
      throw std::runtime_error("bad execution log line: " + line);
    executions.push_back(std::move(execution));
  }
  return executions;
}

HistoryReport CheckHistory(std::span<const CallRecord> calls,
                           std::span<const ExecutionRecord> executions) {
  ExecutionCounts by_request;
  ExecutionCounts by_key;
  std::map<std::string, std::string> key_of_request;
  for (const ExecutionRecord& execution : executions) {
    CountEvent(by_request, execution.request_id, execution.event);
    CountEvent(by_key, execution.key, execution.event);
    key_of_request[execution.request_id] = execution.key;
  }
  HistoryReport report;
  for (const auto& [key, count] : by_key) {
    if (count.starts > 1) {
      ++report.keys_started_repeatedly;
      report.violations.push_back("key " + key + " started " +
                                  std::to_string(count.starts) + " times");
    }
  }
  for (const CallRecord& call : calls) {
    ++report.calls;
    CountResult(call.result, report);
    if (call.result == CallResult::kLost) {
      report.violations.push_back("call " + call.request_id +
                                  " has no outcome");
    }
    if (call.result == CallResult::kNotRun &&
        StartCount(by_request, call.request_id) > 0) {
      report.violations.push_back("call " + call.request_id +
                                  " was refused as not-run but started");
    }
    if (call.result != CallResult::kCompleted)
      continue;
    bool answers_this_call =
        call.answered_id == call.request_id ||
        (call.key != kAbsent && key_of_request[call.answered_id] == call.key);
    if (!answers_this_call) {
      report.violations.push_back("call " + call.request_id +
                                  " got the answer of " + call.answered_id);
    }
    if (!executions.empty() && StartCount(by_request, call.answered_id) == 0) {
      report.violations.push_back("call " + call.request_id +
                                  " completed but never started");
    }
  }
  return report;
}

}  // namespace radishmoor
